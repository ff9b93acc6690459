"""The node's codecs: any split of the bytes gives the same, any bytes give messages or a named error."""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ponddoor.node import board_codec, server_codec, viewer_codec
from ponddoor.node.lines import LineReader, UnreadableError

from .conftest import encode_message, encode_parameter, setup_request

MESSAGES = st.sampled_from(
    [
        setup_request("1"),
        setup_request("2", group="x"),
        setup_request("3", wait="nan"),
        setup_request("4", at="s-00000001"),
        encode_message(12, "5", encode_parameter(143, b"\x10")),
        encode_message(52, "6"),
        encode_message(6, "7"),
        encode_message(16, "8"),
    ]
)
PIECES = st.lists(st.one_of(MESSAGES, st.binary(max_size=40)), max_size=6)
CUTS = st.lists(st.integers(1, 200), min_size=1, max_size=30)
LINES = st.sampled_from(
    [
        b'{"t":"up","ref":"9b1f03aa5c7e2d41","f":{},"d":"x"}',
        b'{"t":"down","ref":"9b1f03aa5c7e2d41","f":{},"c":34}',
        b'{"t":"hb_ok","ref":"9b1f03aa5c7e2d41","f":{"load":"x0:1;x:nan;:;q"},"c":1}',
        b"41",
        b"[1]",
        b"null",
        b'{"rev":41,"pool":{"members":[{"id":"s-00c41f7a","phase":"terminated"}]}}',
        b"\xff\xfe",
        b"[" * 9000,
        b'{"t":"tell","ref":"9b1f03aa5c7e2d41","f":{"note":"d","value":"1e999"}}',
    ]
)


def cut(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces, at, turn = [], 0, 0
    while at < len(data):
        pieces.append(data[at : at + sizes[turn % len(sizes)]])
        at, turn = at + sizes[turn % len(sizes)], turn + 1
    return pieces


@given(PIECES, CUTS)
def test_viewers_messages_in_any_pieces(pieces: list[bytes], sizes: list[int]) -> None:
    data = b"".join(pieces)
    whole, problem = viewer_codec.Reader().feed(data)
    reader, found, why = viewer_codec.Reader(), list[viewer_codec.Message](), ""
    for piece in cut(data, sizes):
        got, why = reader.feed(piece)
        found += got
        if why:
            break
        assert len(reader._rest) <= viewer_codec.MAX_MESSAGE_BYTES
    assert (found, bool(why)) == (whole, bool(problem))


@given(st.lists(st.one_of(LINES, st.binary(max_size=60)), max_size=6), CUTS)
def test_lines_in_any_pieces(rows: list[bytes], sizes: list[int]) -> None:
    data = b"\n".join(rows)
    whole = LineReader(20_000).feed(data)
    lines, found = LineReader(20_000), list[bytes]()
    for piece in cut(data, sizes):
        found += lines.feed(piece)
    assert found == whole == data.split(b"\n")[:-1]
    for line in whole:
        for read in (server_codec.decode_line, board_codec.decode_line):
            with contextlib.suppress(UnreadableError):
                read(line)


@pytest.mark.parametrize("pieces", [[b"x" * 101], [b"x" * 60, b"x" * 60], [b"x" * 101 + b"\n"]])
def test_a_line_without_an_end_is_not_kept(pieces: list[bytes]) -> None:
    lines = LineReader(100)
    with pytest.raises(UnreadableError):
        for piece in pieces:
            lines.feed(piece)
    assert not lines.partial


def test_what_a_viewer_asks() -> None:
    (got,), why = viewer_codec.Reader().feed(setup_request("1", at="s-00c41f7a", description="a\r\n\u00e9"))
    assert isinstance(got, viewer_codec.SetupRequest) and not why
    assert (got.sess, got.home, got.span, got.top, got.description) == (
        "0000000000abc001",
        0,
        4,
        2,
        "a\r\n\u00e9",
    )
    assert board_codec.server_number(got.server) == 0x00C41F7A


def test_an_event_of_the_board() -> None:
    pool = {"revision": 7, "complete": False, "members": [{"id": "s-00c41f7a", "phase": "terminated"}]}
    got = board_codec.decode_line(json.dumps({"rev": 41, "pool": pool}).encode())
    assert (got.version, got.since, got.servers[0].state) == (41, 40, "gone")
    assert board_codec.decode_line(b"41").beat and board_codec.decode_line(b'{"rev":41}').beat
