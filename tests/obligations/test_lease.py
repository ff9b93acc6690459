"""The lease of sessions at a server: what renews it, and until when it runs."""

from collections.abc import Iterator
from itertools import product
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ponddoor.obligations.lease import LEASE_DURATION_US, SECOND, Lease, LeaseAction, LeaseEvent, LeaseState
from tests.obligations.lease_schedules import RELEASED_WITHIN, Step, Wrong, verdict

CONNECT_TIMEOUT = SECOND // 4
EXHAUSTIVE_LENGTH = 5
LONG_SCHEDULES, LONG_LENGTH = 2000, 12


def lease() -> Lease:
    return Lease(CONNECT_TIMEOUT)


class RenewsOnConnect(Lease):
    def connected(self, now: int) -> bool:
        asks = super().connected(now)
        self._renew(now)
        return asks


class RenewsOnBytes(Lease):
    def record_event(self, now: int, sign: LeaseEvent, detail: str = "") -> None:
        super().record_event(now, sign, detail)
        if sign is LeaseEvent.MALFORMED_INPUT:
            self._renew(now)


class AsksNothingOnNewConnections(Lease):
    def connected(self, now: int) -> bool:
        super().connected(now)
        self._sign_requested_at = 1 << 60
        return False


class JudgesItsOwnStanding(Lease):
    def _extend_after_pause(self, now: int) -> None:
        pass


class ExcusesEachLook(Lease):
    def _extend_after_pause(self, now: int) -> None:
        self.expires_at = max(self.expires_at, now + LEASE_DURATION_US - self.sign_of_life_after)


class RenewsOnAsking(Lease):
    def sign_requested(self, now: int) -> None:
        super().sign_requested(now)
        self.expires_at = now + LEASE_DURATION_US


class IgnoresMessages(Lease):
    def message_received(self, now: int) -> None:
        self.last_message_at = now


class GivesUpOnReset(Lease):
    def record_event(self, now: int, sign: LeaseEvent, detail: str = "") -> None:
        super().record_event(now, sign, detail)
        if sign is LeaseEvent.BROKEN:
            self.expires_at = now


GUARDS_TAKEN_OUT = (
    RenewsOnConnect,
    RenewsOnBytes,
    AsksNothingOnNewConnections,
    JudgesItsOwnStanding,
    ExcusesEachLook,
    RenewsOnAsking,
    IgnoresMessages,
    GivesUpOnReset,
)


def assert_right(schedule: tuple[Step, ...], wrong: Wrong | None) -> None:
    assert wrong in (None, Wrong.GIVEN_UP_IN_A_PAUSE), f"{wrong}: {[step.value for step in schedule]}"


def drawn_schedules() -> Iterator[tuple[Step, ...]]:
    for seed in range(LONG_SCHEDULES):
        yield tuple(Random(seed).choices(list(Step), k=LONG_LENGTH))


def test_every_short_schedule_releases_what_is_over_and_keeps_what_is_proven() -> None:
    for schedule in product(Step, repeat=EXHAUSTIVE_LENGTH):
        assert_right(schedule, verdict(schedule, lease))


def test_long_drawn_schedules_release_what_is_over_and_keep_what_is_proven() -> None:
    for schedule in drawn_schedules():
        assert_right(schedule, verdict(schedule, lease))


def test_a_server_that_pauses_for_three_seconds_is_not_given_up() -> None:
    for schedule in drawn_schedules():
        wrong = verdict(schedule, lease)
        assert wrong is not Wrong.GIVEN_UP_IN_A_PAUSE, [step.value for step in schedule]


@pytest.mark.parametrize("without", GUARDS_TAKEN_OUT, ids=lambda one: str(one.__name__))
def test_each_guard_taken_out_is_found(without: type[Lease]) -> None:
    for schedule in drawn_schedules():
        if verdict(schedule, lambda: without(CONNECT_TIMEOUT)) not in (None, Wrong.GIVEN_UP_IN_A_PAUSE):
            return
    raise AssertionError(f"not found in {LONG_SCHEDULES} schedules")


def test_a_refused_connect_ends_the_lease_at_once() -> None:
    held = lease()
    held.grant(0)
    held.connect_refused(SECOND)
    assert held.state is LeaseState.DEAD and held.check(SECOND + 1, False) is LeaseAction.GIVE_UP


def test_a_lease_on_which_nothing_depended_for_long_begins_anew() -> None:
    held = lease()
    held.message_received(0)
    held.mark_unused(SECOND)
    assert held.check(100 * SECOND, True) is LeaseAction.NOTHING
    assert held.check(100 * SECOND + LEASE_DURATION_US, True) is not LeaseAction.GIVE_UP


def test_the_chain_of_signs_is_bounded_and_tells_ages() -> None:
    held = lease()
    for number in range(100):
        held.record_event(number * SECOND, LeaseEvent.BROKEN, "reset")
    assert (
        held.describe_events(100 * SECOND)[-1] == "1000 ms ago broken reset"
        and len(held.describe_events(0)) < 20
    )


class LeaseMachine(RuleBasedStateMachine):
    """Any order of signs and looks: the lease runs out after the last message, neither sooner nor later."""

    def __init__(self) -> None:
        super().__init__()
        self.lease, self.now, self.renewed_at = lease(), 0, 0
        self.given_up = False
        self.lease.grant(0)

    @rule()
    def message(self) -> None:
        self.lease.message_received(self.now)
        self.renewed_at, self.given_up = self.now, False

    @rule()
    def accepted(self) -> None:
        if not self.given_up and self.lease.connected(self.now):
            self.lease.sign_requested(self.now)

    @rule(sign=st.sampled_from((LeaseEvent.BROKEN, LeaseEvent.MALFORMED_INPUT)))
    def ended_or_bytes(self, sign: LeaseEvent) -> None:
        self.lease.record_event(self.now, sign)

    @precondition(lambda self: not self.given_up)
    @rule(wait=st.integers(1, SECOND), connected=st.booleans())
    def check(self, wait: int, connected: bool) -> None:
        self.now += wait
        due = self.lease.check(self.now, connected)
        self.given_up = due is LeaseAction.GIVE_UP
        assert self.given_up == (self.now > self.renewed_at + LEASE_DURATION_US)
        if due is LeaseAction.REQUEST_SIGN:
            assert connected
            self.lease.sign_requested(self.now)

    @invariant()
    def is_overdue_only_past_the_limit(self) -> None:
        if self.lease.is_overdue(self.now, 0):
            assert self.now > self.renewed_at + LEASE_DURATION_US
        assert LEASE_DURATION_US <= RELEASED_WITHIN


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
