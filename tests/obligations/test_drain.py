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
    phases = [drain.phase(sigterm_at + at) for at in range(0, 4 * SECOND, 1000)]
    assert phases == sorted(phases, key=list(DrainPhase).index)


def test_set_ups_are_forwarded_for_as_long_as_the_page_sends_them() -> None:
    drain = DrainSchedule.after_sigterm(0, 3 * SECOND)
    assert drain.phase(699_999) is DrainPhase.FORWARDING and drain.phase(700_000) is DrainPhase.REFUSING


@pytest.mark.parametrize(("now", "wait", "time"), [(0, SECOND, SECOND), (600_000, 3 * SECOND, 2_800_000)])
def test_a_set_up_waits_no_longer_than_until_all_is_answered(now: int, wait: int, time: int) -> None:
    assert DrainSchedule.after_sigterm(0, 3 * SECOND).limit_wait(now, wait) == time


def test_a_set_up_that_comes_too_late_has_the_least_time() -> None:
    drain = DrainSchedule.after_sigterm(0, 3 * SECOND)
    assert drain.limit_wait(drain.answer_by + 5, SECOND) == 1
