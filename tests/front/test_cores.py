"""Parts of a front without I/O: versions of the server list, authenticated datagrams, and event loop lag."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.front.limits import SAMPLE_PERIOD_US, LagMeter
from ponddoor.front.roster import Entry, GapError, Kept, ListMessage, Roster, decode, encode
from ponddoor.front.sealed import MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, PayloadTooLongError, Seal
from ponddoor.interface.events import ServerState

KEY = bytes(range(32))
MAX_AGE_US = 10_000_000
NOW = 1_700_000_000_000_000  # wall clock, us


def make_roster() -> Roster:
    return Roster(("north",), ("box",), 3, -1000)


def entry(server: int, state: str = "ready", **changes: object) -> Entry:
    return msgspec.structs.replace(Entry(server, "127.0.0.1:1", "north", "box", 1, state, 2.0), **changes)


def test_old_and_repeated_versions_change_nothing() -> None:
    roster = make_roster()
    assert roster.take(ListMessage("l", 4, [entry(1)])) is not None
    change = ListMessage("l", 5, [entry(1, "draining")], since=4)
    applied = roster.take(change)
    assert applied is not None and [row.server for row in applied.rows] == [1]
    assert applied.rows[0].state is ServerState.DRAINING
    assert roster.take(change) is None and roster.take(ListMessage("l", 3, [entry(1)])) is None
    assert roster.rows()[0].state is ServerState.DRAINING and roster.ignored == 2


@pytest.mark.parametrize(
    "message",
    [
        ListMessage("l", 9, [], since=7),
        ListMessage("other", 5, [], since=4),
        ListMessage("l", 6, [], beat=True),
    ],
    ids=["gap", "another list", "beat ahead"],
)
def test_a_message_that_does_not_follow_the_version_raises_a_gap_error(message: ListMessage) -> None:
    roster = make_roster()
    roster.take(ListMessage("l", 4, [entry(1)]))
    with pytest.raises(GapError):
        roster.take(message)
    assert roster.version == 4


def test_a_list_with_a_new_id_is_taken_whatever_its_version() -> None:
    roster = make_roster()
    roster.take(ListMessage("l", 40, [entry(1)]))
    assert roster.take(ListMessage("new", 2, [entry(2)])) is not None
    assert [row.server for row in roster.rows()] == [2]


def test_entries_of_another_site_are_ignored_and_counted() -> None:
    roster = make_roster()
    unusable = [
        entry(2, zone="moon"),
        entry(3, kind="x"),
        entry(4, cell=3),
        entry(5, address="nowhere"),
        entry(6, "odd"),
        entry(7, weight=0.0),
    ]
    roster.take(ListMessage("l", 1, [entry(1), *unusable]))
    assert [row.server for row in roster.rows()] == [1] and roster.unusable == len(unusable)


def test_the_start_time_of_a_server_survives_storage_on_disk() -> None:
    roster, restored = make_roster(), make_roster()
    roster.take(ListMessage("l", 4, [entry(1, started_us=50_000)]))
    assert restored.restore(roster.to_bytes(7)) == (Kept.WHOLE, 7) and restored.rows() == roster.rows()
    assert restored.rows()[0].started_at == 49_000 and restored.version == 4


def test_an_incomplete_or_foreign_list_on_disk_is_recognised_and_not_used() -> None:
    roster, foreign = make_roster(), make_roster()
    roster.take(ListMessage("l", 4, [entry(1)]))
    foreign.cells += 1
    data = roster.to_bytes()
    for state, stored in (
        (Kept.CUT_OFF, data[:-1]),
        (Kept.CUT_OFF, data[: data.index(b"\n") + 1]),
        (Kept.DAMAGED, data[:20]),
        (Kept.DAMAGED, data.replace(b"ready", b"READY")),
        (Kept.OTHER_GENERATION, foreign.to_bytes()),
        (Kept.NONE, b""),
    ):
        fresh = make_roster()
        assert fresh.restore(stored)[0] is state and fresh.entries == {}


@settings(max_examples=60, derandomize=True)
@given(st.binary(max_size=60))
def test_a_malformed_line_of_the_list_raises_only_the_decoding_error(line: bytes) -> None:
    try:
        message = decode(line)
    except msgspec.MsgspecError:
        return
    assert decode(encode(message)) == message


def seals() -> tuple[Seal, Seal]:
    return Seal(KEY, 0, 3, MAX_AGE_US), Seal(KEY, 1, 3, MAX_AGE_US)


def test_messages_are_accepted_once_and_in_any_order() -> None:
    sender, receiver = seals()
    first, second = sender.seal(NOW, b"one"), sender.seal(NOW, b"two")
    assert [receiver.open(NOW, datagram) for datagram in (second, first)] == [(0, b"two"), (0, b"one")]
    assert receiver.open(NOW, first) is None and receiver.refused == {"replayed": 1}


def test_datagrams_hold_256_bytes() -> None:
    sender, _ = seals()
    assert len(sender.seal(NOW, bytes(MAX_PAYLOAD_BYTES))) == MAX_DATAGRAM_BYTES == 256
    with pytest.raises(PayloadTooLongError):
        sender.seal(NOW, bytes(MAX_PAYLOAD_BYTES + 1))


@pytest.mark.parametrize(
    ("reason", "seal", "wall"),
    [
        ("forged", Seal(bytes(32), 0, 3, MAX_AGE_US), NOW),
        ("miscounted", Seal(KEY, 0, 4, MAX_AGE_US), NOW),
        ("foreign", Seal(KEY, 1, 3, MAX_AGE_US), NOW),
        ("foreign", Seal(KEY, 7, 3, MAX_AGE_US), NOW),
        ("old", Seal(KEY, 0, 3, MAX_AGE_US), NOW + MAX_AGE_US + 1),
        ("old", Seal(KEY, 0, 3, MAX_AGE_US), NOW - MAX_AGE_US - 1),
    ],
)
def test_an_untrusted_datagram_is_refused_with_its_reason(reason: str, seal: Seal, wall: int) -> None:
    _, receiver = seals()
    assert receiver.open(wall, seal.seal(NOW, b"x")) is None and receiver.refused == {reason: 1}


@settings(max_examples=200, derandomize=True)
@given(st.integers(0, 60), st.integers(1, 255), st.booleans())
def test_a_datagram_with_a_changed_or_missing_byte_is_refused(position: int, flip: int, cut: bool) -> None:
    sender, receiver = seals()
    data = bytearray(sender.seal(NOW, b"a word of a few bytes"))
    position %= len(data)
    data[position] ^= flip
    assert receiver.open(NOW, bytes(data[:position]) if cut else bytes(data)) is None


def test_messages_after_a_restart_are_accepted_although_the_clock_barely_advanced() -> None:
    sender, receiver = seals()
    assert receiver.open(NOW, sender.seal(NOW, b"x")) and receiver.open(
        NOW, Seal(KEY, 0, 3, MAX_AGE_US).seal(NOW + 1, b"y")
    )


def test_lag_counts_before_the_late_tick_and_until_the_next_punctual_one() -> None:
    meter = LagMeter(due=SAMPLE_PERIOD_US)
    assert meter.lag(SAMPLE_PERIOD_US) == 0 and meter.lag(SAMPLE_PERIOD_US + 300_000) == 300_000
    meter.tick(SAMPLE_PERIOD_US + 300_000)
    assert meter.lag(SAMPLE_PERIOD_US + 300_001) == 300_000
    meter.tick(meter.due)
    assert meter.lag(meter.due) == 0
