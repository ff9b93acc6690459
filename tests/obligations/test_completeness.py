"""Whether all that a server had to say was heard: what proves it, what throws doubt on it, what is over."""

from collections.abc import Iterable, Iterator
from itertools import product
from random import Random

import pytest

from ponddoor.obligations.completeness import PROMPT_ANSWER_US, REFRESH_INTERVAL_US, Completeness
from ponddoor.obligations.lease import LEASE_DURATION_US, SECOND
from tests.obligations.completeness_schedules import Step, Wrong, verdict

CONNECT_TIMEOUT = SECOND // 4
EXHAUSTIVE_LENGTH = 3
LONG_SCHEDULES, LONG_LENGTH = 2000, 14
WHOLE_LOSSES: list[Step] = [step for step in Step if step is not Step.LOSE_ALL_BUT_ANSWERS]
KNOWN = (None, Wrong.LEFT_IN_ANOTHER_TROUBLE, Wrong.CUT_IN_A_PAUSE)  # the two have tests of their own


class RefreshesOnDoubtAlone(Completeness):
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


class TriesOnce(Completeness):
    def refresh_began(self, now: int) -> None:
        self._next_refresh_at = now + REFRESH_INTERVAL_US


class FirstMessageSettles(Completeness):
    def message_received(self, now: int, opened_at: int, age: int, on_refresh: bool) -> None:
        self._silence_ended_at = 0
        super().message_received(now, opened_at, age, on_refresh)


class MessagesMoveTheDoubt(Completeness):
    def silence_ended(self, now: int) -> None:
        super().silence_ended(now)
        if self.doubted_from is not None:
            self.doubted_from = now


class DoubtsFromTheLastProof(Completeness):
    def doubt(self, now: int, heard_at: int) -> None:
        super().doubt(now, self.proven_until)


class WaitsBehindSilence(Completeness):
    def silence_ended(self, now: int) -> None:
        self._silence_ended_at, self._next_refresh_at = now, now + 4 * SECOND


GUARDS_TAKEN_OUT = (
    RefreshesOnDoubtAlone,
    AnyMessageProves,
    ConnectProves,
    DoubtsNothing,
    TriesOnce,
    FirstMessageSettles,
    MessagesMoveTheDoubt,
    DoubtsFromTheLastProof,
    WaitsBehindSilence,
)


def drawn(steps: list[Step], seeds: Iterable[int] = range(LONG_SCHEDULES)) -> Iterator[tuple[Step, ...]]:
    for seed in seeds:
        yield tuple(Random(seed).choices(steps, k=LONG_LENGTH))


def wrong_with(schedule: tuple[Step, ...]) -> Wrong | None:
    return verdict(schedule, Completeness, CONNECT_TIMEOUT)


def test_every_short_schedule_hears_each_end_and_cuts_nothing_that_can_be_proven() -> None:
    for schedule in product(Step, repeat=EXHAUSTIVE_LENGTH):
        assert wrong_with(schedule) is None, [step.value for step in schedule]


def test_long_schedules_hear_each_end_and_cut_nothing_that_can_be_proven() -> None:
    for schedule in drawn(WHOLE_LOSSES):
        assert wrong_with(schedule) in KNOWN, [step.value for step in schedule]


def test_an_end_is_heard_though_its_server_is_in_trouble_again_at_the_next_refresh() -> None:
    for schedule in drawn(WHOLE_LOSSES, (*range(2 * LONG_SCHEDULES), 10275)):
        assert wrong_with(schedule) is not Wrong.LEFT_IN_ANOTHER_TROUBLE, [step.value for step in schedule]


def test_an_end_is_heard_though_its_server_goes_on_to_answer_set_ups() -> None:
    for schedule in drawn(list(Step)):
        assert wrong_with(schedule) in KNOWN, [step.value for step in schedule]


def test_a_session_is_not_cut_in_a_pause_of_its_server_of_three_seconds() -> None:
    for schedule in drawn(WHOLE_LOSSES):
        assert wrong_with(schedule) is not Wrong.CUT_IN_A_PAUSE, [step.value for step in schedule]


@pytest.mark.parametrize("without", GUARDS_TAKEN_OUT, ids=lambda one: str(one.__name__))
def test_each_guard_taken_out_is_found(without: type[Completeness]) -> None:
    for schedule in drawn(list(Step)):
        if verdict(schedule, without, CONNECT_TIMEOUT) is not None and wrong_with(schedule) is None:
            return
    raise AssertionError(f"not found in {LONG_SCHEDULES} schedules")


def test_a_proof_is_due_again_after_its_time_where_a_session_stands_so_long() -> None:
    held = Completeness()
    held.message_received(SECOND, SECOND, PROMPT_ANSWER_US, True)
    assert not held.refresh_due(SECOND + REFRESH_INTERVAL_US - 1, 0) and held.refresh_due(
        SECOND + REFRESH_INTERVAL_US, 0
    )
    assert not held.refresh_due(10 * SECOND, 10 * SECOND - REFRESH_INTERVAL_US + 1)
    assert not held.refresh_due(100 * SECOND, None)


def test_nothing_is_over_while_nothing_is_doubted() -> None:
    assert Completeness().expiry_cutoff(1000 * SECOND) is None


def test_what_is_doubted_is_over_by_the_limit_of_the_lease_unless_this_process_stood() -> None:
    held = Completeness()
    held.doubt(2 * SECOND, SECOND)
    at = SECOND + LEASE_DURATION_US
    assert held.expiry_cutoff(at) is None
    assert held.expiry_cutoff(at + 1) == at + 1 - LEASE_DURATION_US
    held.record_check(2 * SECOND)
    held.record_check(at + 1)
    assert held.expiry_cutoff(at + 1) is None
