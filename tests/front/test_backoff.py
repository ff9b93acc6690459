"""Connect backoff: how often a failing address is tried, and when the next try is due."""

from random import Random

import pytest

from ponddoor.front.backoff import FIRST_WAIT_US, MAX_WAIT_US, UNREADABLE_LINE_WAIT_US, ConnectBackoff

SECOND = 1_000_000
MAX_TRIES_IN_FIRST_SECOND = 2.5
RELEASE_LIMIT_US = 8 * SECOND


def try_times(seed: int, until: int) -> list[int]:
    """The times of the tries of an address that always fails, if a connection is wanted all the time."""
    backoff, now, times = ConnectBackoff(Random(seed)), 0, list[int]()
    while now < until:
        times.append(now)
        backoff.failed(now)
        now += max(backoff.wait(now), 1)
    return times


@pytest.mark.parametrize("seed", range(20))
def test_a_failing_address_is_tried_seldom_but_within_the_time_limit_of_a_release(seed: int) -> None:
    times = try_times(seed, RELEASE_LIMIT_US)
    assert sum(moment < SECOND for moment in times) <= MAX_TRIES_IN_FIRST_SECOND
    gaps = [later - earlier for earlier, later in zip(times[1:], times[2:], strict=False)]
    assert min(gaps) >= FIRST_WAIT_US and max(gaps) < 1.5 * MAX_WAIT_US
    assert len(times) >= 4


def test_a_useful_connection_ends_the_backoff() -> None:
    backoff = ConnectBackoff(Random(1))
    backoff.failed(0)
    backoff.failed(0)
    assert backoff.wait(0) >= FIRST_WAIT_US
    backoff.succeeded()
    assert backoff.wait(0) == 0


def test_after_occasional_unreadable_lines_a_release_can_be_sent_within_about_a_second() -> None:
    for seed in range(20):
        backoff = ConnectBackoff(Random(seed))
        backoff.failed(0, UNREADABLE_LINE_WAIT_US)
        assert backoff.wait(0) == 0
        backoff.failed(0, UNREADABLE_LINE_WAIT_US)
        first_wait = backoff.wait(0)
        backoff.failed(first_wait, UNREADABLE_LINE_WAIT_US)
        assert first_wait + backoff.wait(first_wait) <= FIRST_WAIT_US * 9 // 8


def test_a_delay_shortens_no_wait_and_counts_no_failure() -> None:
    backoff = ConnectBackoff(Random(1))
    backoff.delay(0, UNREADABLE_LINE_WAIT_US)
    assert backoff.wait(0) == UNREADABLE_LINE_WAIT_US and backoff.failures == 0
    backoff.failed(0)
    backoff.failed(0)
    backoff.delay(0, UNREADABLE_LINE_WAIT_US)
    assert backoff.wait(0) >= FIRST_WAIT_US


def test_a_wait_is_limited_by_max_wait_and_begins_anew_with_each_delay() -> None:
    backoff = ConnectBackoff(Random(1))
    for _ in range(5):
        backoff.failed(0)
    assert backoff.wait(0) >= MAX_WAIT_US and backoff.wait(0, SECOND) == SECOND
    assert backoff.wait(SECOND // 2, SECOND) == SECOND // 2 and backoff.wait(SECOND, SECOND) == 0
    delayed = ConnectBackoff(Random(1))
    delayed.delay(100 * SECOND, UNREADABLE_LINE_WAIT_US)
    assert delayed.wait(100 * SECOND, SECOND) == UNREADABLE_LINE_WAIT_US
