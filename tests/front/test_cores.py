"""The cores beside the engine: the list's versions, sealed words, the lag of the loop."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.front.limits import SAMPLE_PERIOD_US, LagMeter
from ponddoor.front.roster import Entry, GapError, Kept, ListMessage, Roster, decode, encode
from ponddoor.front.sealed import MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, PayloadTooLongError, Seal
from ponddoor.interface.events import ServerState

KEY, AGE, NOW = bytes(range(32)), 10_000_000, 1_700_000_000_000_000


def roster() -> Roster:
    return Roster(("north",), ("box",), 3, -1000)


def entry(server: int, state: str = "ready", **other: object) -> Entry:
    return msgspec.structs.replace(Entry(server, "127.0.0.1:1", "north", "box", 1, state, 2.0), **other)


def test_versions_out_of_order_or_doubled_change_nothing() -> None:
    held = roster()
    assert held.take(ListMessage("l", 4, [entry(1)])) is not None
    change = ListMessage("l", 5, [entry(1, "draining")], since=4)
    got = held.take(change)
    assert got is not None and [row.server for row in got.rows] == [1]
    assert got.rows[0].state is ServerState.DRAINING
    assert held.take(change) is None and held.take(ListMessage("l", 3, [entry(1)])) is None
    assert held.rows()[0].state is ServerState.DRAINING and held.ignored == 2


@pytest.mark.parametrize(
    "message",
    [
        ListMessage("l", 9, [], since=7),
        ListMessage("other", 5, [], since=4),
        ListMessage("l", 6, [], beat=True),
    ],
    ids=["gap", "another list", "beat ahead"],
)
def test_what_does_not_follow_asks_for_the_whole_list(message: ListMessage) -> None:
    held = roster()
    held.take(ListMessage("l", 4, [entry(1)]))
    with pytest.raises(GapError):
        held.take(message)
    assert held.version == 4


def test_a_list_that_began_anew_counts_from_its_own_versions() -> None:
    held = roster()
    held.take(ListMessage("l", 40, [entry(1)]))
    assert held.take(ListMessage("new", 2, [entry(2)])) is not None
    assert [row.server for row in held.rows()] == [2]


def test_entries_of_another_site_are_left_out_and_counted() -> None:
    held = roster()
    odd = [
        entry(2, zone="moon"),
        entry(3, kind="x"),
        entry(4, cell=3),
        entry(5, address="nowhere"),
        entry(6, "odd"),
        entry(7, weight=0.0),
    ]
    held.take(ListMessage("l", 1, [entry(1), *odd]))
    assert [row.server for row in held.rows()] == [1] and held.unusable == len(odd)


def test_a_server_keeps_its_start_over_the_disk() -> None:
    held, again = roster(), roster()
    held.take(ListMessage("l", 4, [entry(1, started_us=50_000)]))
    assert again.restore(held.to_bytes(7)) == (Kept.WHOLE, 7) and again.rows() == held.rows()
    assert again.rows()[0].started_at == 49_000 and again.version == 4


def test_a_kept_list_that_is_not_whole_or_not_ours_is_told_apart() -> None:
    held, other = roster(), roster()
    held.take(ListMessage("l", 4, [entry(1)]))
    other.cells += 1
    data = held.to_bytes()
    for found, kept in (
        (Kept.CUT_OFF, data[:-1]),
        (Kept.CUT_OFF, data[: data.index(b"\n") + 1]),
        (Kept.DAMAGED, data[:20]),
        (Kept.DAMAGED, data.replace(b"ready", b"READY")),
        (Kept.OTHER_GENERATION, other.to_bytes()),
        (Kept.NONE, b""),
    ):
        fresh = roster()
        assert fresh.restore(kept)[0] is found and fresh.entries == {}


@settings(max_examples=60, derandomize=True)
@given(st.binary(max_size=60))
def test_no_line_of_the_list_is_more_than_refused(line: bytes) -> None:
    try:
        message = decode(line)
    except msgspec.MsgspecError:
        return
    assert decode(encode(message)) == message


def seals() -> tuple[Seal, Seal]:
    return Seal(KEY, 0, 3, AGE), Seal(KEY, 1, 3, AGE)


def test_words_come_through_once_and_in_any_order() -> None:
    mine, theirs = seals()
    first, second = mine.seal(NOW, b"one"), mine.seal(NOW, b"two")
    assert [theirs.open(NOW, d) for d in (second, first)] == [(0, b"two"), (0, b"one")]
    assert theirs.open(NOW, first) is None and theirs.refused == {"replayed": 1}


def test_datagrams_hold_256_bytes() -> None:
    mine, _ = seals()
    assert len(mine.seal(NOW, bytes(MAX_PAYLOAD_BYTES))) == MAX_DATAGRAM_BYTES == 256
    with pytest.raises(PayloadTooLongError):
        mine.seal(NOW, bytes(MAX_PAYLOAD_BYTES + 1))


@pytest.mark.parametrize(
    ("why", "other", "wall"),
    [
        ("forged", Seal(bytes(32), 0, 3, AGE), NOW),
        ("miscounted", Seal(KEY, 0, 4, AGE), NOW),
        ("foreign", Seal(KEY, 1, 3, AGE), NOW),
        ("foreign", Seal(KEY, 7, 3, AGE), NOW),
        ("old", Seal(KEY, 0, 3, AGE), NOW + AGE + 1),
        ("old", Seal(KEY, 0, 3, AGE), NOW - AGE - 1),
    ],
)
def test_words_that_are_not_to_be_trusted(why: str, other: Seal, wall: int) -> None:
    _, theirs = seals()
    assert theirs.open(wall, other.seal(NOW, b"x")) is None and theirs.refused == {why: 1}


@settings(max_examples=200, derandomize=True)
@given(st.integers(0, 60), st.integers(1, 255), st.booleans())
def test_any_byte_changed_or_cut_is_refused(at: int, flip: int, cut: bool) -> None:
    mine, theirs = seals()
    data = bytearray(mine.seal(NOW, b"a word of a few bytes"))
    at %= len(data)
    data[at] ^= flip
    assert theirs.open(NOW, bytes(data[:at]) if cut else bytes(data)) is None


def test_words_after_a_restart_are_new_though_the_clock_stood_still() -> None:
    mine, theirs = seals()
    assert theirs.open(NOW, mine.seal(NOW, b"x")) and theirs.open(
        NOW, Seal(KEY, 0, 3, AGE).seal(NOW + 1, b"y")
    )


def test_lag_counts_before_its_tick_and_until_the_next_in_time() -> None:
    meter = LagMeter(due=SAMPLE_PERIOD_US)
    assert meter.lag(SAMPLE_PERIOD_US) == 0 and meter.lag(SAMPLE_PERIOD_US + 300_000) == 300_000
    meter.tick(SAMPLE_PERIOD_US + 300_000)
    assert meter.lag(SAMPLE_PERIOD_US + 300_001) == 300_000
    meter.tick(meter.due)
    assert meter.lag(meter.due) == 0
