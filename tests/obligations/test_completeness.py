"""Proofs that no message of a server was missed, doubts about it, and the end of unproven sessions."""

from collections.abc import Iterable, Iterator
from itertools import product
from random import Random

import pytest

from ponddoor.obligations.completeness import PROMPT_ANSWER_US, REFRESH_INTERVAL_US, Completeness
from ponddoor.obligations.lease import LEASE_DURATION_US, SECOND
from tests.obligations.completeness_schedules import Fault, Step, find_fault

CONNECT_TIMEOUT_US = SECOND // 4
SHORT_SCHEDULE_STEPS = 3
LONG_SCHEDULE_COUNT, LONG_SCHEDULE_STEPS = 2000, 14
STEPS_WITHOUT_PARTIAL_LOSS: list[Step] = [step for step in Step if step is not Step.LOSE_ALL_BUT_ANSWERS]
# The two faults have tests of their own
TOLERATED_FAULTS = (None, Fault.NOT_RECEIVED_IN_SECOND_OUTAGE, Fault.GIVEN_UP_IN_SHORT_PAUSE)


class RefreshesOnlyOnDoubt(Completeness):
    def refresh_due(self, now: int, standing_since: int | None) -> bool:
        return super().refresh_due(now, None)


class AnyMessageProves(Completeness):
    def message_received(self, now: int, opened_at: int, age: int, on_refresh: bool) -> None:
        self._prove(now)


class ConnectProves(Completeness):
    def refresh_began(self, now: int) -> None:
        super().refresh_began(now)
        self._prove(now)


class DoubtsNothing(Completeness):
    def _doubt_from(self, since: int) -> None:
        pass


class RetriesRefreshLate(Completeness):
    def refresh_began(self, now: int) -> None:
        self._next_refresh_at = now + REFRESH_INTERVAL_US


class FirstMessageAfterSilenceProves(Completeness):
    def message_received(self, now: int, opened_at: int, age: int, on_refresh: bool) -> None:
        self._silence_ended_at = 0
        super().message_received(now, opened_at, age, on_refresh)


class MessagesMoveDoubtForward(Completeness):
    def silence_ended(self, now: int) -> None:
        super().silence_ended(now)
        if self.doubted_from is not None:
            self.doubted_from = now


class DoubtsFromLastProof(Completeness):
    def doubt(self, now: int, last_message_at: int) -> None:
        super().doubt(now, self.proven_until)


class WaitsAfterSilence(Completeness):
    def silence_ended(self, now: int) -> None:
        self._silence_ended_at, self._next_refresh_at = now, now + 4 * SECOND


CLASSES_WITHOUT_GUARD = (
    RefreshesOnlyOnDoubt,
    AnyMessageProves,
    ConnectProves,
    DoubtsNothing,
    RetriesRefreshLate,
    FirstMessageAfterSilenceProves,
    MessagesMoveDoubtForward,
    DoubtsFromLastProof,
    WaitsAfterSilence,
)


def random_schedules(
    steps: list[Step], seeds: Iterable[int] = range(LONG_SCHEDULE_COUNT)
) -> Iterator[tuple[Step, ...]]:
    for seed in seeds:
        yield tuple(Random(seed).choices(steps, k=LONG_SCHEDULE_STEPS))


def fault_in(schedule: tuple[Step, ...]) -> Fault | None:
    return find_fault(schedule, Completeness, CONNECT_TIMEOUT_US)


def test_short_schedules_reveal_each_end_and_give_up_no_provable_session() -> None:
    for schedule in product(Step, repeat=SHORT_SCHEDULE_STEPS):
        assert fault_in(schedule) is None, [step.value for step in schedule]


def test_long_schedules_reveal_each_end_and_give_up_no_provable_session() -> None:
    for schedule in random_schedules(STEPS_WITHOUT_PARTIAL_LOSS):
        assert fault_in(schedule) in TOLERATED_FAULTS, [step.value for step in schedule]


def test_end_is_received_if_messages_are_lost_again_at_the_next_refresh() -> None:
    for schedule in random_schedules(STEPS_WITHOUT_PARTIAL_LOSS, (*range(2 * LONG_SCHEDULE_COUNT), 10275)):
        assert fault_in(schedule) is not Fault.NOT_RECEIVED_IN_SECOND_OUTAGE, [
            step.value for step in schedule
        ]


def test_end_is_received_if_its_server_still_answers_setups() -> None:
    for schedule in random_schedules(list(Step)):
        assert fault_in(schedule) in TOLERATED_FAULTS, [step.value for step in schedule]


def test_session_is_not_given_up_in_a_pause_of_its_server_of_three_seconds() -> None:
    for schedule in random_schedules(STEPS_WITHOUT_PARTIAL_LOSS):
        assert fault_in(schedule) is not Fault.GIVEN_UP_IN_SHORT_PAUSE, [step.value for step in schedule]


@pytest.mark.parametrize(
    "tested_class", CLASSES_WITHOUT_GUARD, ids=lambda tested_class: str(tested_class.__name__)
)
def test_completeness_without_one_of_its_guards_is_detected(tested_class: type[Completeness]) -> None:
    for schedule in random_schedules(list(Step)):
        if find_fault(schedule, tested_class, CONNECT_TIMEOUT_US) is not None and fault_in(schedule) is None:
            return
    raise AssertionError(f"no fault detected in {LONG_SCHEDULE_COUNT} schedules")


def test_refresh_is_due_an_interval_after_the_last_proof_if_a_session_stands_that_long() -> None:
    completeness = Completeness()
    completeness.message_received(SECOND, SECOND, PROMPT_ANSWER_US, True)
    assert not completeness.refresh_due(SECOND + REFRESH_INTERVAL_US - 1, 0) and completeness.refresh_due(
        SECOND + REFRESH_INTERVAL_US, 0
    )
    assert not completeness.refresh_due(10 * SECOND, 10 * SECOND - REFRESH_INTERVAL_US + 1)
    assert not completeness.refresh_due(100 * SECOND, None)


def test_no_session_expires_without_doubt() -> None:
    assert Completeness().expiry_cutoff(1000 * SECOND) is None


def test_doubted_sessions_expire_after_a_lease_unless_this_process_was_paused() -> None:
    completeness = Completeness()
    completeness.doubt(2 * SECOND, SECOND)
    limit_at = SECOND + LEASE_DURATION_US
    assert completeness.expiry_cutoff(limit_at) is None
    assert completeness.expiry_cutoff(limit_at + 1) == limit_at + 1 - LEASE_DURATION_US
    completeness.record_check(2 * SECOND)
    completeness.record_check(limit_at + 1)
    assert completeness.expiry_cutoff(limit_at + 1) is None
