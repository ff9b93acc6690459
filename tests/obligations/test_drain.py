"""The schedule of a shutdown."""

import pytest

from ponddoor.obligations.drain import DrainPhase, DrainSchedule

SECOND = 1_000_000


@pytest.mark.parametrize("deadline_ms", [100, 300, 600, 1000, 2000, 3000, 5000, 60_000])
def test_every_phase_ends_before_the_earliest_sigkill(deadline_ms: int) -> None:
    sigterm_at = 17 * SECOND
    drain = DrainSchedule.after_sigterm(sigterm_at, deadline_ms * 1000)
    assert drain.kill_at == sigterm_at + min(deadline_ms * 1000, 3 * SECOND) + 700_000
    assert sigterm_at < drain.refuse_from < drain.answer_by < drain.kill_at
    assert drain.kill_at - drain.answer_by >= 300_000
    phases = [drain.phase(sigterm_at + elapsed) for elapsed in range(0, 4 * SECOND, 1000)]
    assert phases == sorted(phases, key=list(DrainPhase).index)


def test_requests_are_forwarded_until_700_ms_after_sigterm() -> None:
    drain = DrainSchedule.after_sigterm(0, 3 * SECOND)
    assert drain.phase(699_999) is DrainPhase.FORWARDING and drain.phase(700_000) is DrainPhase.REFUSING


@pytest.mark.parametrize(
    ("now", "wait", "limited_wait"), [(0, SECOND, SECOND), (600_000, 3 * SECOND, 2_800_000)]
)
def test_wait_of_a_request_is_limited_by_the_time_of_the_last_answer(
    now: int, wait: int, limited_wait: int
) -> None:
    assert DrainSchedule.after_sigterm(0, 3 * SECOND).limit_wait(now, wait) == limited_wait


def test_wait_of_a_request_after_the_last_answer_is_the_minimum() -> None:
    drain = DrainSchedule.after_sigterm(0, 3 * SECOND)
    assert drain.limit_wait(drain.answer_by + 5, SECOND) == 1
