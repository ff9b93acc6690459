"""The fleet package: its classes and their algebraic laws, the simulation, and variants without a guard."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.fleet.counts import Counts
from ponddoor.fleet.evidence import Evidence, Observation
from ponddoor.fleet.explore import explore_all
from ponddoor.fleet.mutants import (
    MUTANTS,
    WIDE_MARGIN,
    LentUseShares,
    NoStartDelayShares,
    UnexpiringShares,
    UnfencedShares,
    drifting,
)
from ponddoor.fleet.presence import Connectivity, FrontState, Presence, Timing
from ponddoor.fleet.shares import Shares
from ponddoor.fleet.shown import differences, shown
from ponddoor.fleet.simulation import Schedule, Simulation, drawn, explore, shrunk
from ponddoor.fleet.view import Fleet, Terms
from ponddoor.interface import words
from tests.conftest import SITE

SECOND = 1_000_000
TIMING = Timing(SECOND, SECOND // 12, 4 * SECOND, 8 * SECOND)

# Membership


class PresenceNetwork:
    """Several fronts on a network without loss. Deaf fronts receive nothing; stopped ones do nothing."""

    def __init__(self, fronts: int) -> None:
        self.presences = [Presence(me, fronts, 100, 0, TIMING, me + 1) for me in range(fronts)]
        self.now = 0
        self.deaf: set[int] = set()
        self.stopped: set[int] = set()
        self.sent = 0

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += 10_000
            for me, presence in enumerate(self.presences):
                if me not in self.stopped and presence.next_due <= self.now:
                    self.send(me, presence.poll(self.now))

    def send(self, sender: int, outgoing: list[tuple[int, words.Message]]) -> None:
        for receiver, message in outgoing:
            self.sent += 1
            if receiver not in self.deaf and receiver not in self.stopped:
                self.send(receiver, self.presences[receiver].receive(self.now, sender, message))

    def states_of(self, front: int) -> set[FrontState]:
        """The states in which the other running fronts see a front."""
        others = [
            presence for me, presence in enumerate(self.presences) if me != front and me not in self.stopped
        ]
        return {presence.state_of(front) for presence in others}


def test_a_front_paused_for_three_seconds_is_only_suspected_and_a_stopped_one_is_declared_dead() -> None:
    network = PresenceNetwork(6)
    network.run(10)
    network.stopped = {3}
    network.run(3)
    assert FrontState.SUSPECT in network.states_of(3) and FrontState.DEAD not in network.states_of(3)
    network.stopped = set()
    network.run(10)
    assert network.states_of(3) == {FrontState.ALIVE} and network.presences[3].refuted >= 1
    network.stopped = {3}
    network.run(30)
    assert network.states_of(3) == {FrontState.DEAD} and network.presences[0].live_count() == 5
    network.stopped = set()
    network.run(60)
    assert network.states_of(3) == {FrontState.ALIVE}


def test_a_front_that_receives_nothing_detects_it_and_declares_no_front_dead() -> None:
    network = PresenceNetwork(6)
    network.run(10)
    network.deaf = {2}
    network.run(30)
    deaf = network.presences[2]
    assert deaf.connectivity(network.now) is Connectivity.NONE and deaf.live_count() == 6
    assert all(
        presence.connectivity(network.now) is not Connectivity.NONE
        for me, presence in enumerate(network.presences)
        if me != 2
    )
    network.deaf = set()
    network.run(60)
    assert deaf.connectivity(network.now) is Connectivity.FULL and network.states_of(2) == {FrontState.ALIVE}


def test_messages_per_front_do_not_grow_with_the_fleet() -> None:
    rates = []
    for fronts in (10, 100):
        network = PresenceNetwork(fronts)
        network.run(20)
        rates.append(network.sent / fronts / 20)
    assert max(rates) < 2.5 and max(rates) - min(rates) < 0.5, rates


def test_a_single_false_accuser_gets_no_front_declared_dead() -> None:
    network = PresenceNetwork(5)
    network.run(5)
    for _ in range(30):
        rows = tuple(
            words.MemberRow(n, network.presences[n].incarnation, network.presences[n].refutations, 4)
            for n in range(4)
        )
        for receiver in range(4):
            network.send(
                receiver, network.presences[receiver].receive(network.now, 4, words.Ping(1, 100, 0, rows))
            )
        network.run(2)
    assert all(network.states_of(n) <= {FrontState.ALIVE, FrontState.SUSPECT} for n in range(4))


# Counts

Updates = list[tuple[int, int, int, bool, list[tuple[int, float, bool]]]]


@st.composite
def histories(draw: Callable[..., Any]) -> Updates:
    """The updates that a few fronts send, by incarnation and stamp. Amounts depend only on stamp and key."""
    updates: Updates = []
    for front in range(draw(st.integers(1, 3))):
        stamp = 0
        for incarnation in range(1, draw(st.integers(1, 3)) + 1):
            for _ in range(draw(st.integers(0, 3))):
                stamp += 1
                keys = draw(st.sets(st.integers(0, 3), max_size=3))
                rows = [(key, float(stamp * 10 + key), stamp % 2 == 0) for key in sorted(keys)]
                updates.append((front, incarnation, stamp, draw(st.booleans()), rows))
    return updates


def counts_from(updates: Updates) -> Counts:
    counts = Counts()
    for front, incarnation, stamp, full, rows in updates:
        counts.update(0, front, incarnation, stamp, full, rows)
    return counts


def comparable(counts: Counts) -> Any:
    """The state without fronts of which no update was applied."""
    return {front: row for front, row in counts.state().items() if row[2] or row[1] >= 0 or row[0] > 0}


def merged(*parts: Counts) -> Any:
    counts = Counts()
    for part in parts:
        counts.merge(0, part.state())
    return comparable(counts)


@settings(max_examples=300, deadline=None)
@given(histories(), st.randoms(use_true_random=False))
def test_merging_counts_is_commutative_associative_and_idempotent(updates: Updates, chance: Any) -> None:
    a, b, c = (counts_from([update for update in updates if chance.random() < 0.7]) for _ in range(3))
    assert merged(a, b) == merged(b, a)
    ab, bc = Counts(), Counts()
    for counts, parts in ((ab, (a, b)), (bc, (b, c))):
        for part in parts:
            counts.merge(0, part.state())
    assert merged(ab, c) == merged(a, bc)
    assert merged(a, a, b, a) == merged(a, b)


@settings(max_examples=300, deadline=None)
@given(histories(), st.randoms(use_true_random=False))
def test_repeated_and_reordered_updates_give_the_same_counts(updates: Updates, chance: Any) -> None:
    reordered = [*updates, *chance.sample(updates, len(updates) // 2)]
    chance.shuffle(reordered)
    expected, actual = counts_from(updates), counts_from(reordered)
    assert comparable(expected) == comparable(actual)
    for key in range(4):
        assert expected.likely(key) == pytest.approx(actual.likely(key))


def test_a_dead_fronts_amounts_stay_possible_until_its_sessions_are_known_to_have_ended() -> None:
    counts = Counts()
    counts.update(0, 1, 5, 1, True, [(7, 100.0, False)])
    counts.update(SECOND, 2, 5, 1, True, [(7, 40.0, False)])
    counts.set_doubted(1, True)
    bounds = counts.bounds(2 * SECOND, 7, SECOND * 3 // 2)
    assert (bounds.least, bounds.likely, bounds.most, bounds.oldest_age) == (40.0, 40.0, 140.0, 2 * SECOND)
    assert counts.bounds(9 * SECOND, 7, SECOND).least == 0.0
    counts.update(
        3 * SECOND, 1, 6, 1, True, []
    )  # a new incarnation: its earlier sessions are no longer its own
    assert counts.bounds(3 * SECOND, 7, SECOND * 9).most == 40.0
    counts.clear_key(7)
    assert counts.bounds(3 * SECOND, 7, SECOND * 9).most == 0.0


# Evidence


def test_a_witness_counts_once_and_evidence_expires() -> None:
    evidence = Evidence(8 * SECOND)
    for stamp in range(1, 6):
        evidence.record(0, 1, 1, stamp, 7, Observation(failed=stamp, failed_at=0))
    assert evidence.summary(0, 7).witnesses_against == 1 and not evidence.summary(0, 7).is_bad(2)
    evidence.record(0, 2, 1, 1, 7, Observation(failed=1, failed_at=0))
    assert evidence.summary(0, 7).is_bad(2) and not evidence.summary(0, 7, without=2).is_bad(2)
    assert not evidence.summary(0, 7).is_bad(2, own=1)  # a later try of our own takes precedence
    evidence.record(SECOND, 3, 1, 1, 7, Observation(succeeded=1, succeeded_at=SECOND))
    assert not evidence.summary(SECOND, 7).is_bad(2)
    assert evidence.summary(9 * SECOND + 1, 7).tries == 0


# Budget shares


def test_no_share_is_usable_by_two_fronts_despite_crashes_and_losses() -> None:
    states, problem = explore_all()
    assert not problem and states > 2000


@pytest.mark.parametrize("make", [UnfencedShares, UnexpiringShares, NoStartDelayShares, LentUseShares])
def test_without_a_guard_a_share_is_usable_by_two_fronts(make: type[Shares]) -> None:
    assert explore_all(make)[1]


def test_an_owner_grants_no_more_than_the_shares_lent_to_it_allow() -> None:
    borrower, now, granted = Shares(10, 0, 4 * SECOND), 10 * SECOND, 0
    for front in range(5):  # half of the ten shares
        number = borrower.lease_request(now, front)
        assert borrower.accept_lease(now, front, True, number, (0,))
    for _ in range(300):
        now += 10_000
        granted += borrower.grant(now, 0, 7, 100_000, 2.0)
    assert 13 <= granted <= 15 + 2  # the fleet may send one each 100 ms, for three seconds
    later = now + 4 * SECOND
    assert not borrower.grant(later, 0, 7, 100_000, 2.0)


# Simulation


@pytest.mark.parametrize("first", range(0, 48, 8))
def test_every_check_holds_in_random_schedules(first: int) -> None:
    assert explore(first, 8) == (8, "")


def test_every_check_holds_with_large_clock_drift_and_a_wide_margin() -> None:
    assert explore(0, 8, WIDE_MARGIN, drifting) == (8, "")


def _explore_mutant(name: str) -> tuple[str, int, str]:
    ran, problem = explore(0, 60, *MUTANTS[name])
    return name, ran, problem


def test_the_simulation_finds_every_missing_guard() -> None:
    with ProcessPoolExecutor(4) as pool:
        for name, ran, problem in pool.map(_explore_mutant, MUTANTS):
            assert problem, f"no check failed without {name} in {ran} schedules"


def test_a_failing_schedule_is_shrunk() -> None:
    make, _ = MUTANTS["the safe part"]
    least = shrunk(drawn(0), make)
    assert least.crashes == least.cuts == least.pauses == 0 and least.fronts == 3


def test_the_same_seed_gives_the_same_run() -> None:
    assert Simulation(Schedule(5)).run() == Simulation(Schedule(5)).run()


# Messages

OUTCOMES = st.builds(words.SetupOutcomes, st.integers(1, 15), st.integers(0, 15))
MEMBER_ROW = st.builds(
    words.MemberRow,
    st.integers(0, 300),
    st.integers(0, 2**32 - 1),
    st.integers(0, 255),
    st.none() | st.integers(0, 300),
)
MEMBER_ROWS = st.lists(MEMBER_ROW, max_size=words.MAX_MEMBER_ROWS).map(tuple)
INCARNATION = st.integers(1, 2**32 - 1)
NUMBER = st.integers(0, 65535)
MESSAGES = st.one_of(
    st.builds(words.Ping, NUMBER, INCARNATION, st.integers(0, 255), MEMBER_ROWS),
    st.builds(words.Ack, NUMBER, INCARNATION, st.integers(0, 255), MEMBER_ROWS, NUMBER, st.booleans()),
    st.builds(words.PingRequest, NUMBER, INCARNATION, st.integers(0, 255), MEMBER_ROWS, NUMBER),
    st.builds(words.FullUpdateRequest, INCARNATION),
    st.builds(words.BootstrapRequest, INCARNATION),
    st.builds(
        words.ShareLease,
        INCARNATION,
        INCARNATION,
        NUMBER,
        st.lists(NUMBER, max_size=words.MAX_GROUPS).map(tuple),
    ),
    st.builds(
        words.BootstrapReply,
        INCARNATION,
        MEMBER_ROWS,
        st.lists(st.tuples(INCARNATION, OUTCOMES), max_size=words.MAX_OBSERVATIONS).map(tuple),
    ),
    st.builds(words.HoldersQuery, NUMBER, NUMBER, NUMBER, st.integers(0, 9)),
)


@settings(max_examples=400, deadline=None)
@given(MESSAGES)
def test_every_message_is_unpacked_from_its_bytes(message: words.Message) -> None:
    (datagram,) = words.pack(message)
    assert len(datagram) <= words.MAX_DATAGRAM_BYTES and words.unpack(datagram) == message


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=256))
def test_unpacking_arbitrary_bytes_raises_nothing(data: bytes) -> None:
    words.unpack(data)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 2000)), max_size=60), st.booleans())
def test_long_messages_are_split_into_datagrams_within_the_limit(
    rows: list[tuple[int, int]], full: bool
) -> None:
    rates = tuple(words.ServerRate(server, 4.0 * steps) for server, steps in rows)
    datagrams = words.pack(words.RateUpdate(3, 4, rates, full))
    assert max(map(len, datagrams)) <= words.MAX_DATAGRAM_BYTES
    unpacked: list[words.ServerRate] = []
    for datagram in datagrams:
        message = words.unpack(datagram)
        assert isinstance(message, words.RateUpdate) and (message.incarnation, message.stamp) == (3, 4)
        unpacked += message.rates
    assert tuple(unpacked) == rates


def test_the_views_of_two_fronts_are_compared() -> None:
    terms = Terms(2, 2, TIMING, 8 * SECOND, 4 * SECOND, 0.6, 0.4, 2)
    first, second = (Fleet(_site(me), 0, terms, 2) for me in (0, 1))
    views = [shown(fleet, [7]) for fleet in (first, second)]
    assert differences(*views) == []
    first.evidence.record(0, 3, 1, 1, 7, Observation(failed=2, failed_at=0))
    first.presence._merge_row(0, words.MemberRow(4, 0, 0, 2))
    lines = differences(shown(first, [7]), shown(second, [7]))
    assert any(line.startswith("server 7: 1") for line in lines)
    assert any(line.startswith("front 4: suspect") for line in lines)


def _site(me: int) -> Any:
    from dataclasses import replace

    return replace(SITE, me=me, fronts=6, permissions=replace(SITE.permissions, messages=True))
