"""What the fronts share: the cores one by one, their laws, the simulation, and the guards taken out."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.fleet.counts import Counts
from ponddoor.fleet.evidence import Evidence, Observation
from ponddoor.fleet.explore import explore_all
from ponddoor.fleet.mutants import MUTANTS, WIDE, Endless, Greedy, Hasty, Unfenced, drifting
from ponddoor.fleet.presence import Connectivity, FrontState, Presence, Timing
from ponddoor.fleet.shares import Shares
from ponddoor.fleet.shown import differences, shown
from ponddoor.fleet.simulation import Schedule, Simulation, drawn, explore, shrunk
from ponddoor.fleet.view import Fleet, Terms
from ponddoor.interface import words
from tests.conftest import SITE

SECOND = 1_000_000
TIMING = Timing(SECOND, SECOND // 12, 4 * SECOND, 8 * SECOND)

# Presence


class Ring:
    """Some fronts' presences on a net that loses nothing, but of who stands still."""

    def __init__(self, fronts: int) -> None:
        self.each = [Presence(me, fronts, 100, 0, TIMING, me + 1) for me in range(fronts)]
        self.now = 0
        self.deaf: set[int] = set()
        self.stopped: set[int] = set()
        self.sent = 0

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += 10_000
            for me, one in enumerate(self.each):
                if me not in self.stopped and one.next_due <= self.now:
                    self.say(me, one.poll(self.now))

    def say(self, me: int, out: list[tuple[int, words.Message]]) -> None:
        for to, word in out:
            self.sent += 1
            if to not in self.deaf and to not in self.stopped:
                self.say(to, self.each[to].receive(self.now, me, word))

    def stands(self, front: int) -> set[FrontState]:
        others = [one for me, one in enumerate(self.each) if me != front and me not in self.stopped]
        return {one.state_of(front) for one in others}


def test_a_front_that_stops_for_two_seconds_is_not_dead_and_one_that_dies_is() -> None:
    ring = Ring(6)
    ring.run(10)
    ring.stopped = {3}
    ring.run(3)
    assert FrontState.SUSPECT in ring.stands(3) and FrontState.DEAD not in ring.stands(3)
    ring.stopped = set()
    ring.run(10)
    assert ring.stands(3) == {FrontState.ALIVE} and ring.each[3].refuted >= 1
    ring.stopped = {3}
    ring.run(30)
    assert ring.stands(3) == {FrontState.DEAD} and ring.each[0].live_count() == 5
    ring.stopped = set()
    ring.run(60)
    assert ring.stands(3) == {FrontState.ALIVE}


def test_who_hears_nothing_knows_it_and_buries_nobody() -> None:
    ring = Ring(6)
    ring.run(10)
    ring.deaf = {2}
    ring.run(30)
    deaf = ring.each[2]
    assert deaf.connectivity(ring.now) is Connectivity.NONE and deaf.live_count() == 6
    assert all(
        one.connectivity(ring.now) is not Connectivity.NONE for me, one in enumerate(ring.each) if me != 2
    )
    ring.deaf = set()
    ring.run(60)
    assert deaf.connectivity(ring.now) is Connectivity.FULL and ring.stands(2) == {FrontState.ALIVE}


def test_words_a_front_do_not_grow_with_the_fleet() -> None:
    rates = []
    for fronts in (10, 100):
        ring = Ring(fronts)
        ring.run(20)
        rates.append(ring.sent / fronts / 20)
    assert max(rates) < 2.5 and max(rates) - min(rates) < 0.5, rates


def test_one_liar_buries_nobody() -> None:
    ring = Ring(5)
    ring.run(5)
    for _ in range(30):
        rows = tuple(
            words.MemberRow(n, ring.each[n].incarnation, ring.each[n].refutations, 4) for n in range(4)
        )
        for to in range(4):
            ring.say(to, ring.each[to].receive(ring.now, 4, words.Ping(1, 100, 0, rows)))
        ring.run(2)
    assert all(ring.stands(n) <= {FrontState.ALIVE, FrontState.SUSPECT} for n in range(4))


# Counts

Told = list[tuple[int, int, int, bool, list[tuple[int, float, bool]]]]


@st.composite
def histories(draw: Callable[..., Any]) -> Told:
    """What a few fronts said, in the order of their lives and stamps: an amount is its stamp's alone."""
    said: Told = []
    for front in range(draw(st.integers(1, 3))):
        stamp = 0
        for life in range(1, draw(st.integers(1, 3)) + 1):
            for _ in range(draw(st.integers(0, 3))):
                stamp += 1
                keys = draw(st.sets(st.integers(0, 3), max_size=3))
                rows = [(key, float(stamp * 10 + key), stamp % 2 == 0) for key in sorted(keys)]
                said.append((front, life, stamp, draw(st.booleans()), rows))
    return said


def heard(said: Told) -> Counts:
    counts = Counts()
    for front, life, stamp, whole, rows in said:
        counts.update(0, front, life, stamp, whole, rows)
    return counts


def plain(counts: Counts) -> Any:
    """Without fronts that told nothing that counts."""
    return {front: row for front, row in counts.state().items() if row[2] or row[1] >= 0 or row[0] > 0}


def joined(*all_of: Counts) -> Any:
    counts = Counts()
    for one in all_of:
        counts.merge(0, one.state())
    return plain(counts)


@settings(max_examples=300, deadline=None)
@given(histories(), st.randoms(use_true_random=False))
def test_merging_counts_is_commutative_associative_and_idempotent(said: Told, chance: Any) -> None:
    a, b, c = (heard([one for one in said if chance.random() < 0.7]) for _ in range(3))
    assert joined(a, b) == joined(b, a)
    ab, bc = Counts(), Counts()
    for counts, parts in ((ab, (a, b)), (bc, (b, c))):
        for part in parts:
            counts.merge(0, part.state())
    assert joined(ab, c) == joined(a, bc)
    assert joined(a, a, b, a) == joined(a, b)


@settings(max_examples=300, deadline=None)
@given(histories(), st.randoms(use_true_random=False))
def test_words_twice_and_in_any_order_come_to_the_same(said: Told, chance: Any) -> None:
    other = [*said, *chance.sample(said, len(said) // 2)]
    chance.shuffle(other)
    one, two = heard(said), heard(other)
    assert plain(one) == plain(two)
    for key in range(4):
        assert one.likely(key) == pytest.approx(two.likely(key))


def test_a_dead_fronts_part_stays_possible_until_its_end_is_known() -> None:
    counts = Counts()
    counts.update(0, 1, 5, 1, True, [(7, 100.0, False)])
    counts.update(SECOND, 2, 5, 1, True, [(7, 40.0, False)])
    counts.set_doubted(1, True)
    bounds = counts.bounds(2 * SECOND, 7, SECOND * 3 // 2)
    assert (bounds.least, bounds.likely, bounds.most, bounds.oldest_age) == (40.0, 40.0, 140.0, 2 * SECOND)
    assert counts.bounds(9 * SECOND, 7, SECOND).least == 0.0
    counts.update(3 * SECOND, 1, 6, 1, True, [])  # a new life: what it held is not its own any more
    assert counts.bounds(3 * SECOND, 7, SECOND * 9).most == 40.0
    counts.clear_key(7)
    assert counts.bounds(3 * SECOND, 7, SECOND * 9).most == 0.0


# Evidence


def test_a_witness_is_one_voice_and_evidence_dies() -> None:
    held = Evidence(8 * SECOND)
    for stamp in range(1, 6):
        held.record(0, 1, 1, stamp, 7, Observation(failed=stamp, failed_at=0))
    assert held.summary(0, 7).witnesses_against == 1 and not held.summary(0, 7).is_bad(2)
    held.record(0, 2, 1, 1, 7, Observation(failed=1, failed_at=0))
    assert held.summary(0, 7).is_bad(2) and not held.summary(0, 7, without=2).is_bad(2)
    assert not held.summary(0, 7).is_bad(2, own=1)  # what went well for us since goes first
    held.record(SECOND, 3, 1, 1, 7, Observation(succeeded=1, succeeded_at=SECOND))
    assert not held.summary(SECOND, 7).is_bad(2)
    assert held.summary(9 * SECOND + 1, 7).tries == 0


# Shares


def test_a_part_is_never_with_two_whatever_crashes_or_is_lost() -> None:
    states, problem = explore_all()
    assert not problem and states > 2000


@pytest.mark.parametrize("make", [Unfenced, Endless, Hasty, Greedy])
def test_without_a_guard_a_part_is_with_two(make: type[Shares]) -> None:
    assert explore_all(make)[1]


def test_a_keeper_grants_what_is_lent_and_no_more() -> None:
    keeper, now, granted = Shares(10, 0, 4 * SECOND), 10 * SECOND, 0
    for front in range(5):  # half of ten parts
        number = keeper.lease_request(now, front)
        assert keeper.accept_lease(now, front, True, number, (0,))
    for _ in range(300):
        now += 10_000
        granted += keeper.grant(now, 0, 7, 100_000, 2.0)
    assert 13 <= granted <= 15 + 2  # one in 100 ms of the whole fleet, for three seconds
    later = now + 4 * SECOND
    assert not keeper.grant(later, 0, 7, 100_000, 2.0)


# All together


@pytest.mark.parametrize("first", range(0, 48, 8))
def test_every_bound_holds_in_drawn_schedules(first: int) -> None:
    assert explore(first, 8) == (8, "")


def test_every_bound_holds_where_clocks_drift_far_with_a_wide_margin() -> None:
    assert explore(0, 8, WIDE, drifting) == (8, "")


def _found(name: str) -> tuple[str, int, str]:
    ran, problem = explore(0, 60, *MUTANTS[name])
    return name, ran, problem


def test_each_guard_taken_out_is_found() -> None:
    with ProcessPoolExecutor(4) as pool:
        for name, ran, problem in pool.map(_found, MUTANTS):
            assert problem, f"{name} was not missed in {ran} schedules"


def test_a_failing_schedule_is_shrunk() -> None:
    make, _ = MUTANTS["the safe part"]
    least = shrunk(drawn(0), make)
    assert least.crashes == least.cuts == least.pauses == 0 and least.fronts == 3


def test_the_same_seed_plays_the_same() -> None:
    assert Simulation(Schedule(5)).run() == Simulation(Schedule(5)).run()


# Words

ENDS = st.builds(words.SetupOutcomes, st.integers(1, 15), st.integers(0, 15))
ROW = st.builds(
    words.MemberRow,
    st.integers(0, 300),
    st.integers(0, 2**32 - 1),
    st.integers(0, 255),
    st.none() | st.integers(0, 300),
)
ROWS = st.lists(ROW, max_size=words.MAX_MEMBER_ROWS).map(tuple)
LIFE, NUMBER = st.integers(1, 2**32 - 1), st.integers(0, 65535)
WORDS = st.one_of(
    st.builds(words.Ping, NUMBER, LIFE, st.integers(0, 255), ROWS),
    st.builds(words.Ack, NUMBER, LIFE, st.integers(0, 255), ROWS, NUMBER, st.booleans()),
    st.builds(words.PingRequest, NUMBER, LIFE, st.integers(0, 255), ROWS, NUMBER),
    st.builds(words.FullUpdateRequest, LIFE),
    st.builds(words.BootstrapRequest, LIFE),
    st.builds(words.ShareLease, LIFE, LIFE, NUMBER, st.lists(NUMBER, max_size=words.MAX_GROUPS).map(tuple)),
    st.builds(
        words.BootstrapReply,
        LIFE,
        ROWS,
        st.lists(st.tuples(LIFE, ENDS), max_size=words.MAX_OBSERVATIONS).map(tuple),
    ),
    st.builds(words.HoldersQuery, NUMBER, NUMBER, NUMBER, st.integers(0, 9)),
)


@settings(max_examples=400, deadline=None)
@given(WORDS)
def test_every_word_comes_back_from_its_bytes(word: words.Message) -> None:
    (message,) = words.pack(word)
    assert len(message) <= words.MAX_DATAGRAM_BYTES and words.unpack(message) == word


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=256))
def test_any_bytes_are_a_word_or_nothing(data: bytes) -> None:
    words.unpack(data)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 2000)), max_size=60), st.booleans())
def test_long_words_are_split_and_none_is_too_long(rows: list[tuple[int, int]], whole: bool) -> None:
    rates = tuple(words.ServerRate(at, 4.0 * steps) for at, steps in rows)
    messages = words.pack(words.RateUpdate(3, 4, rates, whole))
    assert max(map(len, messages)) <= words.MAX_DATAGRAM_BYTES
    got: list[words.ServerRate] = []
    for message in messages:
        word = words.unpack(message)
        assert isinstance(word, words.RateUpdate) and (word.incarnation, word.stamp) == (3, 4)
        got += word.rates
    assert tuple(got) == rates


def test_two_fronts_views_are_compared() -> None:
    terms = Terms(2, 2, TIMING, 8 * SECOND, 4 * SECOND, 0.6, 0.4, 2)
    one, two = (Fleet(_site(me), 0, terms, 2) for me in (0, 1))
    views = [shown(fleet, [7]) for fleet in (one, two)]
    assert differences(*views) == []
    one.evidence.record(0, 3, 1, 1, 7, Observation(failed=2, failed_at=0))
    one.presence._merge_row(0, words.MemberRow(4, 0, 0, 2))
    found = differences(shown(one, [7]), shown(two, [7]))
    assert any(line.startswith("server 7: 1") for line in found)
    assert any(line.startswith("front 4: suspect") for line in found)


def _site(me: int) -> Any:
    from dataclasses import replace

    return replace(SITE, me=me, fronts=6, permissions=replace(SITE.permissions, messages=True))
