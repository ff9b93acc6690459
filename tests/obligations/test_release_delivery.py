"""The delivery of releases: which connection gets a copy when, how much that costs, and what ends it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ponddoor.obligations.release_delivery import (
    ANEW_AFTER_US,
    DELIVERY_LIMIT_US,
    MAX_COPIES_PER_CALL,
    MAX_PENDING_RELEASES,
    RELEASE_DEADLINE_US,
    ROUND_INTERVAL_US,
    SECOND,
    UNWRITTEN_LIMIT_US,
    DeliveryEnd,
    PendingRelease,
    ReleaseDelivery,
)
from ponddoor.obligations.violations import Violations

STEP_US = SECOND // 20
SOUND, NEW = 0, 1_000_000
MESSAGE = b"over"


class World:
    """Connections by number, of which the first ones are the best, and the times of their copies."""

    def __init__(self, connections: int) -> None:
        self.now = 0
        self.connections = list(range(connections))
        self.ends = dict[str, DeliveryEnd]()
        self.violations = Violations()
        self.delivery = ReleaseDelivery[int](self.violations, self._ended)
        self.copies = list[tuple[int, int, str]]()  # time, connection, session
        self.most_of_a_call = 0

    def _ended(self, now: int, release: PendingRelease[int], how: DeliveryEnd) -> None:
        self.ends[release.session] = how

    def begin(self, session: str, own_connection: int | None = None) -> None:
        self.delivery.begin(self.now, session, MESSAGE, own_connection)
        self.write()

    def write(self) -> None:
        copies = self.delivery.due(self.now, lambda: self.connections)
        made = [(self.now, one, release.session) for one, releases in copies.items() for release in releases]
        self.copies += made
        self.most_of_a_call = max(self.most_of_a_call, len(made))

    def run(self, duration: int) -> None:
        until = self.now + duration
        while self.now < until:
            self.now += STEP_US
            self.write()

    def speaks(self, connection: int) -> None:
        self.delivery.connection_spoke(self.now, connection)
        self.write()

    def told(self, session: str) -> set[int]:
        return {connection for _, connection, one in self.copies if one == session}


def test_release_that_is_acknowledged_costs_one_message() -> None:
    world = World(85)
    world.begin("a", own_connection=3)
    world.delivery.end(world.now, "a", DeliveryEnd.ACKNOWLEDGED)
    world.run(2 * SECOND)
    assert world.copies == [(0, 3, "a")] and world.ends == {"a": DeliveryEnd.ACKNOWLEDGED}
    assert world.delivery.next_due is None


@pytest.mark.parametrize("own_connection", [None, 84])
@pytest.mark.parametrize("connections", [1, 2, 3, 4, 5, 8, 20, 85, 700])
def test_every_connection_has_one_copy_within_the_deadline(
    connections: int, own_connection: int | None
) -> None:
    """Copies went to four further connections at most, however many there were."""
    own = None if own_connection is None else min(own_connection, connections - 1)
    world = World(connections)
    world.begin("a", own)
    world.run(RELEASE_DEADLINE_US - 2 * ROUND_INTERVAL_US)
    assert world.told("a") == set(range(connections)) and len(world.copies) == connections
    world.run(DELIVERY_LIMIT_US)
    assert len(world.copies) == connections
    assert world.ends == {"a": DeliveryEnd.EXPIRED} and not world.violations.counts


def test_rounds_widen_and_begin_with_the_best_connections() -> None:
    world = World(85)
    world.begin("a", own_connection=40)
    sizes = []
    for _ in range(4):
        sizes.append(len(world.told("a")))
        world.run(ROUND_INTERVAL_US)
    assert sizes == [1, 3, 7, 15] and world.told("a") == set(range(85))
    in_rounds = {one for at, one, _ in world.copies if at < 4 * ROUND_INTERVAL_US}
    assert in_rounds == {40, *range(14)}


def test_sound_connection_is_tried_second_if_it_spoke_last() -> None:
    world = World(85)
    world.begin("a", own_connection=84)
    world.run(ROUND_INTERVAL_US)
    assert SOUND in world.told("a") and len(world.copies) == 3


def test_release_whose_connection_ends_is_sent_elsewhere_at_once() -> None:
    world = World(2)
    world.begin("a", own_connection=1)
    world.connections.remove(1)
    world.delivery.connection_ended(world.now, 1)
    world.write()
    assert world.copies == [(0, 1, "a"), (0, 0, "a")]


@pytest.mark.parametrize("after", [0, ROUND_INTERVAL_US, SECOND, 2 * SECOND, DELIVERY_LIMIT_US - STEP_US])
def test_connection_that_opens_and_speaks_is_told_at_once(after: int) -> None:
    world = World(3)
    world.begin("a", own_connection=1)
    world.run(after)
    world.speaks(NEW)
    assert world.copies[-1] == (world.now, NEW, "a")
    world.run(DELIVERY_LIMIT_US)
    assert [one for _, one, _ in world.copies].count(NEW) == 1


def test_connection_that_speaks_after_a_silence_is_told_once_more() -> None:
    world = World(2)
    world.speaks(SOUND)
    world.begin("a")
    world.run(ANEW_AFTER_US)
    world.speaks(SOUND)
    world.speaks(SOUND)
    world.run(ANEW_AFTER_US)
    world.speaks(SOUND)
    assert [one for _, one, _ in world.copies].count(SOUND) == 2


def test_connection_that_goes_on_speaking_is_told_once() -> None:
    world = World(2)
    world.speaks(SOUND)
    world.begin("a")
    for _ in range(20):
        world.run(ANEW_AFTER_US // 4)
        world.speaks(SOUND)
    assert [one for _, one, _ in world.copies].count(SOUND) == 1


def test_release_without_any_connection_is_written_to_the_first_one() -> None:
    world = World(0)
    world.begin("a")
    world.run(DELIVERY_LIMIT_US + SECOND)
    assert world.delivery.pending == ("a",) and not world.copies
    world.connections = [5]
    world.run(STEP_US)
    assert world.told("a") == {5}


def test_release_without_any_connection_expires() -> None:
    world = World(0)
    world.begin("a")
    world.run(UNWRITTEN_LIMIT_US + STEP_US)
    assert world.ends == {"a": DeliveryEnd.EXPIRED} and not world.violations.counts


def test_release_that_gives_way_to_others_is_a_violation() -> None:
    world = World(1)
    for number in range(MAX_PENDING_RELEASES + 1):
        world.begin(str(number))
    assert world.ends == {"0": DeliveryEnd.DISPLACED}
    assert world.violations.counts == {"viewer-told": 1}


def test_release_that_is_left_before_all_connections_had_it_is_a_violation() -> None:
    world = World(3)
    world.begin("a")
    world.delivery.leave_all(world.now)
    assert world.violations.counts == {"viewer-told": 1}


def test_releases_that_all_connections_had_may_be_left() -> None:
    world = World(3)
    world.begin("a", own_connection=2)
    offered = world.delivery.offer_all_now(world.connections)
    world.delivery.leave_all(world.now)
    assert set(offered) == {0, 1} and world.ends == {"a": DeliveryEnd.LEFT}
    assert not world.violations.counts


def test_connection_that_is_closed_is_told_first_what_it_was_not_offered() -> None:
    world = World(3)
    world.begin("a", own_connection=2)
    assert [one.session for one in world.delivery.copies_before_close(1)] == ["a"]
    assert not world.delivery.copies_before_close(1) and not world.delivery.copies_before_close(2)


def test_copies_of_one_call_are_limited_with_thousands_of_releases() -> None:
    """4,000 releases that 84 of 85 connections don't deliver: 340,000 copies."""
    world = World(85)
    for number in range(4000):
        world.begin(str(number), own_connection=1 + number % 84)
    calls = 0
    while any(world.delivery.find(str(number)).offered_to_all is False for number in range(4000)):  # type: ignore[union-attr]
        calls += 1
        world.now += STEP_US
        world.write()
    assert world.most_of_a_call <= MAX_COPIES_PER_CALL + 85
    assert len(world.copies) == 4000 * 85 and not world.violations.counts


@given(
    st.lists(
        st.tuples(st.sampled_from(["end", "speak", "close", "open", "ack", "run"]), st.integers(0, 8)),
        max_size=60,
    )
)
def test_each_release_reaches_every_connection_that_stays(steps: list[tuple[str, int]]) -> None:
    world = World(4)
    opened = {number: 0 for number in world.connections}
    ended = dict[str, int]()
    for kind, number in steps:
        match kind:
            case "end":
                session = str(len(ended))
                ended[session] = world.now
                world.begin(session, number if number in opened else None)
            case "speak" if number in opened:
                world.speaks(number)
            case "close" if number in opened:
                del opened[number]
                world.connections.remove(number)
                world.delivery.connection_ended(world.now, number)
                world.write()
            case "open" if number not in opened:
                opened[number] = world.now
                world.connections.append(number)
            case "ack":
                world.delivery.end(world.now, str(number), DeliveryEnd.ACKNOWLEDGED)
            case "run":
                world.run(ROUND_INTERVAL_US * number // 2)
    world.run(SECOND)
    for session in world.delivery.pending:
        since = ended[session]
        assert {one for one, at in opened.items() if at <= since} <= world.told(session)
    assert not world.violations.counts
