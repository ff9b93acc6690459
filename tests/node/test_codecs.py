"""The node's codecs: results do not depend on how the bytes are split, and any bytes give messages or a named
error."""

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
STREAMS = st.lists(st.one_of(MESSAGES, st.binary(max_size=40)), max_size=6)
PIECE_SIZES = st.lists(st.integers(1, 200), min_size=1, max_size=30)
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


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    """Splits the data into pieces of these sizes, which are repeated in order."""
    pieces, offset, count = [], 0, 0
    while offset < len(data):
        pieces.append(data[offset : offset + sizes[count % len(sizes)]])
        offset, count = offset + sizes[count % len(sizes)], count + 1
    return pieces


@given(STREAMS, PIECE_SIZES)
def test_viewer_messages_are_decoded_however_they_are_split(parts: list[bytes], sizes: list[int]) -> None:
    data = b"".join(parts)
    whole, whole_problem = viewer_codec.Reader().feed(data)
    reader, messages, problem = viewer_codec.Reader(), list[viewer_codec.Message](), ""
    for piece in split(data, sizes):
        decoded, problem = reader.feed(piece)
        messages += decoded
        if problem:
            break
        assert len(reader._rest) <= viewer_codec.MAX_MESSAGE_BYTES
    assert (messages, bool(problem)) == (whole, bool(whole_problem))


@given(st.lists(st.one_of(LINES, st.binary(max_size=60)), max_size=6), PIECE_SIZES)
def test_lines_are_read_and_decoded_however_they_are_split(rows: list[bytes], sizes: list[int]) -> None:
    data = b"\n".join(rows)
    whole = LineReader(20_000).feed(data)
    reader, lines = LineReader(20_000), list[bytes]()
    for piece in split(data, sizes):
        lines += reader.feed(piece)
    assert lines == whole == data.split(b"\n")[:-1]
    for line in whole:
        for decode in (server_codec.decode_line, board_codec.decode_line):
            with contextlib.suppress(UnreadableError):
                decode(line)


@pytest.mark.parametrize("pieces", [[b"x" * 101], [b"x" * 60, b"x" * 60], [b"x" * 101 + b"\n"]])
def test_a_line_over_the_limit_is_rejected_and_not_buffered(pieces: list[bytes]) -> None:
    reader = LineReader(100)
    with pytest.raises(UnreadableError):
        for piece in pieces:
            reader.feed(piece)
    assert not reader.partial


def test_a_setup_request_is_decoded() -> None:
    (request,), problem = viewer_codec.Reader().feed(
        setup_request("1", at="s-00c41f7a", description="a\r\n\u00e9")
    )
    assert isinstance(request, viewer_codec.SetupRequest) and not problem
    assert (request.sess, request.home, request.span, request.top, request.description) == (
        "0000000000abc001",
        0,
        4,
        2,
        "a\r\n\u00e9",
    )
    assert board_codec.server_number(request.server) == 0x00C41F7A


def test_events_of_the_notice_board_are_decoded() -> None:
    pool = {"revision": 7, "complete": False, "members": [{"id": "s-00c41f7a", "phase": "terminated"}]}
    change = board_codec.decode_line(json.dumps({"rev": 41, "pool": pool}).encode())
    assert (change.version, change.since, change.servers[0].state) == (41, 40, "gone")
    assert board_codec.decode_line(b"41").beat and board_codec.decode_line(b'{"rev":41}').beat
