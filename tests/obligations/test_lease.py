"""The lease of the sessions at a server: what renews it, and when it ends."""

from collections.abc import Iterator
from itertools import product
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ponddoor.obligations.lease import LEASE_DURATION_US, SECOND, Lease, LeaseAction, LeaseEvent, LeaseState
from tests.obligations.lease_schedules import GIVE_UP_DEADLINE_US, Fault, Step, find_fault

CONNECT_TIMEOUT_US = SECOND // 4
SHORT_SCHEDULE_STEPS = 5
LONG_SCHEDULE_COUNT, LONG_SCHEDULE_STEPS = 2000, 12


def make_lease() -> Lease:
    return Lease(CONNECT_TIMEOUT_US)


class RenewsOnConnect(Lease):
    def connected(self, now: int) -> bool:
        request_sign = super().connected(now)
        self._renew(now)
        return request_sign


class RenewsOnMalformedInput(Lease):
    def record_event(self, now: int, event: LeaseEvent, detail: str = "") -> None:
        super().record_event(now, event, detail)
        if event is LeaseEvent.MALFORMED_INPUT:
            self._renew(now)


class RequestsNoSignOnNewConnections(Lease):
    def connected(self, now: int) -> bool:
        super().connected(now)
        self._sign_requested_at = 1 << 60
        return False


class IgnoresOwnPauses(Lease):
    def _extend_after_pause(self, now: int) -> None:
        pass


class ExtendsOnEachCheck(Lease):
    def _extend_after_pause(self, now: int) -> None:
        self.expires_at = max(self.expires_at, now + LEASE_DURATION_US - self.sign_of_life_after)


class RenewsOnSignRequest(Lease):
    def sign_requested(self, now: int) -> None:
        super().sign_requested(now)
        self.expires_at = now + LEASE_DURATION_US


class IgnoresMessages(Lease):
    def message_received(self, now: int) -> None:
        self.last_message_at = now


class GivesUpOnReset(Lease):
    def record_event(self, now: int, event: LeaseEvent, detail: str = "") -> None:
        super().record_event(now, event, detail)
        if event is LeaseEvent.BROKEN:
            self.expires_at = now


LEASES_WITHOUT_GUARD = (
    RenewsOnConnect,
    RenewsOnMalformedInput,
    RequestsNoSignOnNewConnections,
    IgnoresOwnPauses,
    ExtendsOnEachCheck,
    RenewsOnSignRequest,
    IgnoresMessages,
    GivesUpOnReset,
)


def assert_no_fault(schedule: tuple[Step, ...], fault: Fault | None) -> None:
    assert fault in (None, Fault.GIVEN_UP_IN_SHORT_PAUSE), f"{fault}: {[step.value for step in schedule]}"


def random_schedules() -> Iterator[tuple[Step, ...]]:
    for seed in range(LONG_SCHEDULE_COUNT):
        yield tuple(Random(seed).choices(list(Step), k=LONG_SCHEDULE_STEPS))


def test_lease_follows_its_server_in_every_short_schedule() -> None:
    for schedule in product(Step, repeat=SHORT_SCHEDULE_STEPS):
        assert_no_fault(schedule, find_fault(schedule, make_lease))


def test_lease_follows_its_server_in_long_random_schedules() -> None:
    for schedule in random_schedules():
        assert_no_fault(schedule, find_fault(schedule, make_lease))


def test_server_that_pauses_for_three_seconds_is_not_given_up() -> None:
    for schedule in random_schedules():
        fault = find_fault(schedule, make_lease)
        assert fault is not Fault.GIVEN_UP_IN_SHORT_PAUSE, [step.value for step in schedule]


@pytest.mark.parametrize(
    "lease_class", LEASES_WITHOUT_GUARD, ids=lambda lease_class: str(lease_class.__name__)
)
def test_lease_without_one_of_its_guards_is_detected(lease_class: type[Lease]) -> None:
    for schedule in random_schedules():
        if find_fault(schedule, lambda: lease_class(CONNECT_TIMEOUT_US)) not in (
            None,
            Fault.GIVEN_UP_IN_SHORT_PAUSE,
        ):
            return
    raise AssertionError(f"no fault detected in {LONG_SCHEDULE_COUNT} schedules")


def test_refused_connect_ends_the_lease_at_once() -> None:
    lease = make_lease()
    lease.grant(0)
    lease.connect_refused(SECOND)
    assert lease.state is LeaseState.DEAD and lease.check(SECOND + 1, False) is LeaseAction.GIVE_UP


def test_lease_that_was_unused_begins_anew() -> None:
    lease = make_lease()
    lease.message_received(0)
    lease.mark_unused(SECOND)
    assert lease.check(100 * SECOND, True) is LeaseAction.NOTHING
    assert lease.check(100 * SECOND + LEASE_DURATION_US, True) is not LeaseAction.GIVE_UP


def test_kept_events_are_limited_and_described_with_their_ages() -> None:
    lease = make_lease()
    for number in range(100):
        lease.record_event(number * SECOND, LeaseEvent.BROKEN, "reset")
    assert (
        lease.describe_events(100 * SECOND)[-1] == "1000 ms ago broken reset"
        and len(lease.describe_events(0)) < 20
    )


class LeaseMachine(RuleBasedStateMachine):
    """Events and checks in any order: the lease ends LEASE_DURATION_US after its renewal, and no sooner."""

    def __init__(self) -> None:
        super().__init__()
        self.lease, self.now, self.renewed_at = make_lease(), 0, 0
        self.given_up = False
        self.lease.grant(0)

    @rule()
    def receive_message(self) -> None:
        self.lease.message_received(self.now)
        self.renewed_at, self.given_up = self.now, False

    @rule()
    def connect(self) -> None:
        if not self.given_up and self.lease.connected(self.now):
            self.lease.sign_requested(self.now)

    @rule(event=st.sampled_from((LeaseEvent.BROKEN, LeaseEvent.MALFORMED_INPUT)))
    def connection_broken_or_malformed_input(self, event: LeaseEvent) -> None:
        self.lease.record_event(self.now, event)

    @precondition(lambda self: not self.given_up)
    @rule(wait=st.integers(1, SECOND), connected=st.booleans())
    def check_lease(self, wait: int, connected: bool) -> None:
        self.now += wait
        action = self.lease.check(self.now, connected)
        self.given_up = action is LeaseAction.GIVE_UP
        assert self.given_up == (self.now > self.renewed_at + LEASE_DURATION_US)
        if action is LeaseAction.REQUEST_SIGN:
            assert connected
            self.lease.sign_requested(self.now)

    @invariant()
    def is_overdue_only_after_its_end(self) -> None:
        if self.lease.is_overdue(self.now, 0):
            assert self.now > self.renewed_at + LEASE_DURATION_US
        assert LEASE_DURATION_US <= GIVE_UP_DEADLINE_US


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
