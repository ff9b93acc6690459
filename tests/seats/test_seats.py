"""Tests of seats: replies to viewers, lease messages, the simulation, and mutants that lack a guard."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ponddoor.seats.core import (
    Effect,
    Expired,
    Granted,
    Key,
    LeaseRequest,
    LeaseResponse,
    Refused,
    Seats,
    Send,
    Timing,
    Write,
    home_front,
)
from ponddoor.seats.explore import explore_states
from ponddoor.seats.mutants import MUTANTS, NoDurabilitySeats
from ponddoor.seats.simulation import SeatInvariantError, Simulation, random_schedule, run_schedules

KEY: Key = ("t", "e")
TIMING = Timing(seat_lifetime=2_000_000, lease=6_000_000)
START_US = 100_000_000


class SingleFront:
    """One front. Its records are durable at once, unless `writes_pending` is set; its messages are collected.

    With `fronts` 1 it is the home of all entitlements."""

    def __init__(self, limit: int = 2, fronts: int = 1, me: int = 0) -> None:
        self.core = Seats(me, fronts, {KEY: limit}, TIMING, 7, 0)
        self.now, self.writes_pending, self.seen = START_US, False, list[Effect]()
        self.records: list[Any] = []
        self.run(self.core.start(self.now))

    def run(self, effects: list[Effect]) -> list[Effect]:
        """Carries out the writes; returns all other effects, with those that waited for the writes."""
        seen: list[Effect] = []
        while effects:
            effect, effects = effects[0], effects[1:]
            if isinstance(effect, Write):
                self.records.append(effect.record)
                if not self.writes_pending:
                    effects += self.core.on_durable(self.now, effect.number)
            else:
                seen.append(effect)
        self.seen += seen
        return seen

    def take(self, viewer: str, sess: str = "s") -> list[Effect]:
        return self.run(self.core.take(self.now, 1, KEY, viewer, sess))

    def renew(self, seat: Granted, viewer: str | None = None, generation: int | None = None) -> list[Effect]:
        presented = seat.generation if generation is None else generation
        return self.run(self.core.renew(self.now, 2, KEY, seat.seat, viewer or seat.viewer, presented))


def only_grant(effects: list[Effect]) -> Granted:
    assert len(effects) == 1 and isinstance(effects[0], Granted), effects
    return effects[0]


def refusal_reason(effects: list[Effect]) -> str:
    assert len(effects) == 1 and isinstance(effects[0], Refused), effects
    return effects[0].reason


def test_the_limit_holds_and_a_repeated_request_gets_the_same_seat() -> None:
    front = SingleFront()
    first = only_grant(front.take("a"))
    assert only_grant(front.take("a")) == first
    only_grant(front.take("b"))
    assert refusal_reason(front.take("c")) == "no-seat"
    assert (
        refusal_reason(front.run(front.core.take(front.now, 1, ("t", "x"), "a", "s")))
        == "no-such-entitlement"
    )


def test_each_renewal_has_one_defined_reply() -> None:
    front = SingleFront()
    first = only_grant(front.take("a"))
    front.now += 1_000_000
    second = only_grant(front.renew(first))
    assert (second.generation, second.expires) == (2, front.now + TIMING.seat_lifetime)
    front.now += 500_000
    assert only_grant(front.renew(first)) == second  # a repeat after a lost reply does not extend the seat
    third = only_grant(front.renew(second))
    assert refusal_reason(front.renew(first)) == "superseded"
    assert refusal_reason(front.renew(third, generation=9)) == "never-given"
    assert refusal_reason(front.renew(third, viewer="thief")) == "not-yours"
    front.now = third.expires
    assert [type(effect) for effect in front.renew(third)] == [Expired, Refused]


def test_a_seat_is_free_after_it_is_given_back_and_after_it_expires() -> None:
    front = SingleFront(limit=1)
    first = only_grant(front.take("a"))
    assert refusal_reason(front.take("b")) == "no-seat"
    front.run(front.core.give_back(front.now, KEY, first.seat, "thief"))
    assert refusal_reason(front.take("b")) == "no-seat"
    front.run(front.core.give_back(front.now, KEY, first.seat, "a"))
    front.run(front.core.give_back(front.now, KEY, first.seat, "a"))
    second = only_grant(front.take("b"))
    front.now = second.expires
    assert front.run(front.core.tick(front.now))[0] == Expired(second.seat, "s")
    only_grant(front.take("c"))


def test_no_seat_is_granted_before_its_record_is_durable() -> None:
    front = SingleFront()
    only_grant(front.take("a"))
    front.writes_pending = True
    assert front.take("b") == [] == front.take("b")
    front.writes_pending = False
    assert {
        type(effect) for effect in front.run(front.core.on_durable(front.now, front.core.last_record))
    } == {Granted}


def test_a_renewal_that_waits_for_its_record_is_refused_if_the_seat_was_given_back() -> None:
    front = SingleFront()
    first = only_grant(front.take("a"))
    front.writes_pending = True
    assert front.renew(first) == []
    front.run(front.core.give_back(front.now, KEY, first.seat, "a"))
    front.writes_pending = False
    assert refusal_reason(front.run(front.core.on_durable(front.now, front.core.last_record))) == "expired"


def test_a_lowered_limit_ends_no_seat_and_grants_none_until_enough_are_free() -> None:
    front = SingleFront(limit=3)
    held = [only_grant(front.take(viewer)) for viewer in "abc"]
    front.run(front.core.set_limits(front.now, {KEY: 1}))
    front.now += 500_000
    assert all(isinstance(effect, Granted) for effect in front.renew(held[0]))
    for seat in held[:2]:
        front.run(front.core.give_back(front.now, KEY, seat.seat, seat.viewer))
        front.now += 4 * TIMING.surplus_retention
        held[2] = only_grant(front.renew(held[2])) if front.now < held[2].expires else held[2]
        front.run(front.core.tick(front.now))
    front.run(front.core.tick(front.now + TIMING.surplus_retention))
    only_grant(front.take("d"))
    assert refusal_reason(front.take("e")) == "no-seat"


def test_a_front_without_a_journal_grants_no_seat_until_earlier_leases_have_expired() -> None:
    front = SingleFront()
    front.core = Seats(0, 1, {KEY: 1}, TIMING, 8, front.now)
    front.run(front.core.start(front.now))
    assert front.take("a") == []
    front.now += TIMING.lender_lease()
    front.run(front.core.tick(front.now))
    only_grant(front.take("b"))


def test_a_restarted_front_keeps_its_granted_seats() -> None:
    front = SingleFront(limit=1)
    first = only_grant(front.take("a"))
    front.core = Seats(0, 1, {KEY: 1}, TIMING, 8, front.now)
    front.core.recover(front.now, None, front.records)
    front.run(front.core.start(front.now))
    assert refusal_reason(front.take("b")) == "no-seat"
    front.now += 1_000_000
    assert only_grant(front.renew(first)).generation == 2
    from_snapshot = Seats(0, 1, {KEY: 1}, TIMING, 9, front.now)
    from_snapshot.recover(front.now, front.core.state(), [])
    assert from_snapshot.state()[1:] == front.core.state()[1:]


def lease_response(core: Seats, number: int, count: int, home_epoch: int = 5) -> LeaseResponse:
    return LeaseResponse(KEY, core.epoch, number, home_epoch, count)


def borrower() -> tuple[SingleFront, int]:
    """A front that is not the home of the entitlement, and the number of the home."""
    home = home_front(KEY, 2)
    front = SingleFront(limit=9, fronts=2, me=1 - home)
    return front, home


def test_an_outdated_or_foreign_lease_response_is_ignored() -> None:
    front, home = borrower()
    core = front.core
    front.take("a")
    requests = [effect.message for effect in front.seen if isinstance(effect, Send)]
    first = requests[0]
    assert isinstance(first, LeaseRequest) and first.wanted >= 1
    front.now += 200_000
    front.run(core.tick(front.now))
    front.run(core.receive(front.now, home, lease_response(core, 2, 3)))
    assert core.share(KEY).count == 3
    # To an earlier request than the accepted one, to a request that was never sent, from a front that is not
    # the home, and to a request of an earlier run.
    front.run(core.receive(front.now, home, lease_response(core, 1, 9)))
    front.run(core.receive(front.now, home, lease_response(core, 99, 9)))
    front.run(core.receive(front.now, 1 - home, lease_response(core, 2, 9)))
    front.run(core.receive(front.now, home, LeaseResponse(KEY, core.epoch - 1, 2, 5, 9)))
    assert core.share(KEY).count == 3


def test_a_response_that_arrives_after_a_request_for_fewer_seats_is_ignored() -> None:
    """Also if the front held no share when it sent the request for fewer seats: the home lowers the lease on
    that request, so the seats of the earlier, larger response are no longer leased to the front."""
    front, home = borrower()
    core = front.core
    for viewer in "abc":
        front.take(viewer)
    front.now += 200_000
    front.run(core.tick(front.now))
    front.now += TIMING.max_wait  # the three requests are refused
    front.run(core.tick(front.now))
    front.take("d")
    front.now += 200_000
    front.run(core.tick(front.now))
    wanted_counts = [
        effect.message.wanted
        for effect in front.seen
        if isinstance(effect, Send) and isinstance(effect.message, LeaseRequest)
    ]
    assert max(wanted_counts) > wanted_counts[-1]
    front.run(
        core.receive(
            front.now,
            home,
            lease_response(core, 1 + wanted_counts.index(max(wanted_counts)), max(wanted_counts)),
        )
    )
    assert core.share(KEY).count == 0
    front.run(core.receive(front.now, home, lease_response(core, len(wanted_counts), wanted_counts[-1])))
    assert core.share(KEY).count == wanted_counts[-1]


def test_a_home_leases_nothing_on_a_request_from_before_its_restart() -> None:
    front = SingleFront(limit=9, fronts=2, me=home_front(KEY, 2))
    peer = 1 - front.core.me
    sent = front.run(front.core.receive(front.now, peer, LeaseRequest(KEY, 3, 4, 6, 5, 0)))
    assert sent == [Send(peer, LeaseResponse(KEY, 3, 4, 7, -1))]  # tells the home's epoch, leases nothing
    sent = front.run(front.core.receive(front.now, peer, LeaseRequest(KEY, 3, 5, 7, 5, 0)))
    assert sent == [Send(peer, LeaseResponse(KEY, 3, 5, 7, 5))]
    # An earlier request than the last one.
    assert front.run(front.core.receive(front.now, peer, LeaseRequest(KEY, 3, 4, 7, 1, 0))) == []
    assert front.core.lease_table(KEY).leases[peer].count == 5


def test_the_response_to_a_duplicated_request_waits_for_the_record_too() -> None:
    front = SingleFront(limit=9, fronts=2, me=home_front(KEY, 2))
    front.writes_pending, peer = True, 1 - front.core.me
    request = LeaseRequest(KEY, 3, 5, 7, 5, 0)
    assert (
        front.run(front.core.receive(front.now, peer, request))
        == []
        == front.run(front.core.receive(front.now, peer, request))
    )
    assert len(front.run(front.core.on_durable(front.now, front.core.last_record))) == 2


def test_a_simulated_schedule_gives_the_same_result_in_each_run() -> None:
    first, second = (Simulation(random_schedule(17)).run() for _ in range(2))
    assert first == second and first.granted > 10


@pytest.mark.parametrize("first", range(0, 300, 50))
def test_no_simulated_schedule_exceeds_the_limit_and_all_seats_become_free(first: int) -> None:
    assert run_schedules(first, 50) == (50, "")


@pytest.mark.parametrize("name", MUTANTS)
def test_the_simulation_finds_each_missing_guard(name: str) -> None:
    make_core, make_schedule = MUTANTS[name]
    ran, problem = run_schedules(0, 600, make_core, make_schedule)
    assert problem, f"no failure in {ran} schedules"
    seed = int(problem.split()[1].rstrip(":"))
    with pytest.raises(SeatInvariantError, match=f"seed {seed}:"):
        Simulation(make_schedule(seed), make_core).run()


def test_no_state_of_a_small_model_exceeds_the_limit() -> None:
    """The model with one seat; with two seats it is run outside CI."""
    states, problem = explore_states(limit=1)
    assert states > 1000 and not problem
    assert explore_states(limit=1, core_class=NoDurabilitySeats)[1]


class SeatsStateMachine(RuleBasedStateMachine):
    """Two fronts; Hypothesis chooses the order of messages, losses, duplicates, crashes and waits."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.last_ticket = START_US, 0
        self.cores = [Seats(me, 2, {KEY: 2}, TIMING, 1, 0) for me in range(2)]
        self.durable_records: list[list[Any]] = [[], []]
        self.pending_records: list[list[Any]] = [[], []]
        self.durable_counts = [0, 0]  # of records since the front started
        self.in_flight: list[tuple[int, Send]] = []
        self.held_seats: dict[str, tuple[str, int]] = {}  # by seat: its viewer and when it expires
        for me, core in enumerate(self.cores):
            self.apply_effects(me, core.start(self.now))
            self.commit(me)

    def apply_effects(self, me: int, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Write(_, record):
                    self.pending_records[me].append(record)
                case Send():
                    self.in_flight.append((me, effect))
                case Granted(_, seat, _, viewer, _, _, expires):
                    self.held_seats[seat] = (viewer, expires)

    @rule(me=st.integers(0, 1))
    def commit(self, me: int) -> None:
        self.durable_records[me] += self.pending_records[me]
        self.durable_counts[me] += len(self.pending_records[me])
        self.pending_records[me] = []
        self.apply_effects(me, self.cores[me].on_durable(self.now, self.durable_counts[me]))

    @rule(me=st.integers(0, 1), viewer=st.integers(0, 4))
    def take(self, me: int, viewer: int) -> None:
        self.last_ticket += 1
        self.apply_effects(me, self.cores[me].take(self.now, self.last_ticket, KEY, f"v{viewer}", "s"))

    @rule(index=st.integers(0, 20), duplicated=st.booleans(), lost=st.booleans())
    def deliver(self, index: int, duplicated: bool, lost: bool) -> None:
        if self.in_flight:
            sender, sent = self.in_flight[index % len(self.in_flight)]
            if not duplicated:
                del self.in_flight[index % len(self.in_flight)]
            if not lost:
                self.apply_effects(sent.peer, self.cores[sent.peer].receive(self.now, sender, sent.message))

    @rule(index=st.integers(0, 20), renew=st.booleans())
    def renew_or_give_back(self, index: int, renew: bool) -> None:
        if not self.held_seats:
            return
        seat = sorted(self.held_seats)[index % len(self.held_seats)]
        viewer, _ = self.held_seats[seat]
        me = int(seat.partition(".")[0])
        if renew:
            held = self.cores[me].share(KEY).seats.get(seat)
            presented = held.generation if held is not None else 1
            self.last_ticket += 1
            self.apply_effects(
                me, self.cores[me].renew(self.now, self.last_ticket, KEY, seat, viewer, presented)
            )
        else:
            del self.held_seats[seat]
            self.apply_effects(me, self.cores[me].give_back(self.now, KEY, seat, viewer))

    @rule(pause=st.sampled_from([50_000, 400_000, 2_000_000, 7_000_000]))
    def wait(self, pause: int) -> None:
        self.now += pause
        for me, core in enumerate(self.cores):
            self.apply_effects(me, core.tick(self.now))

    @rule(me=st.integers(0, 1))
    def crash(self, me: int) -> None:
        self.pending_records[me] = []
        core = Seats(me, 2, {KEY: 2}, TIMING, self.cores[me].epoch + 1, self.now)
        core.recover(self.now, None, self.durable_records[me])
        self.cores[me], self.durable_counts[me] = core, 0
        self.apply_effects(me, core.start(self.now))

    @invariant()
    def the_limit_holds(self) -> None:
        assert sum(expires > self.now for _, expires in self.held_seats.values()) <= 2


TestSeatsStateMachine = SeatsStateMachine.TestCase
TestSeatsStateMachine.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
