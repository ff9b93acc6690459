"""The backoff of connects: how often an address is tried, and when again."""

from random import Random

import pytest

from ponddoor.front.backoff import FIRST_WAIT_US, MAX_WAIT_US, UNREADABLE_LINE_WAIT_US, ConnectBackoff

SECOND = 1_000_000
MOST_IN_A_SECOND = 2.5
RELEASE_LIMIT = 8 * SECOND


def tries(seed: int, until: int) -> list[int]:
    """When an address that always fails is tried, where something wants it all the time."""
    backoff, now, made = ConnectBackoff(Random(seed)), 0, list[int]()
    while now < until:
        made.append(now)
        backoff.failed(now)
        now += max(backoff.wait(now), 1)
    return made


@pytest.mark.parametrize("seed", range(20))
def test_an_address_that_fails_is_tried_seldom_and_within_the_limit_of_a_release(seed: int) -> None:
    made = tries(seed, RELEASE_LIMIT)
    assert sum(at < SECOND for at in made) <= MOST_IN_A_SECOND
    gaps = [later - earlier for earlier, later in zip(made[1:], made[2:], strict=False)]
    assert min(gaps) >= FIRST_WAIT_US and max(gaps) < 1.5 * MAX_WAIT_US
    assert len(made) >= 4


def test_a_connection_of_use_ends_the_backoff() -> None:
    backoff = ConnectBackoff(Random(1))
    backoff.failed(0)
    backoff.failed(0)
    assert backoff.wait(0) >= FIRST_WAIT_US
    backoff.succeeded()
    assert backoff.wait(0) == 0


def test_an_answer_spoilt_now_and_then_leaves_a_release_time_to_go_out_within_a_second() -> None:
    for seed in range(20):
        backoff = ConnectBackoff(Random(seed))
        backoff.failed(0, UNREADABLE_LINE_WAIT_US)
        assert backoff.wait(0) == 0
        backoff.failed(0, UNREADABLE_LINE_WAIT_US)
        again = backoff.wait(0)
        backoff.failed(again, UNREADABLE_LINE_WAIT_US)
        assert again + backoff.wait(again) <= FIRST_WAIT_US * 9 // 8


def test_a_hold_shortens_no_wait_and_counts_no_failure() -> None:
    backoff = ConnectBackoff(Random(1))
    backoff.delay(0, UNREADABLE_LINE_WAIT_US)
    assert backoff.wait(0) == UNREADABLE_LINE_WAIT_US and backoff.failures == 0
    backoff.failed(0)
    backoff.failed(0)
    backoff.delay(0, UNREADABLE_LINE_WAIT_US)
    assert backoff.wait(0) >= FIRST_WAIT_US


def test_a_wait_is_no_longer_than_the_most_that_is_asked_for_and_begins_anew_with_each_hold() -> None:
    backoff = ConnectBackoff(Random(1))
    for _ in range(5):
        backoff.failed(0)
    assert backoff.wait(0) >= MAX_WAIT_US and backoff.wait(0, SECOND) == SECOND
    assert backoff.wait(SECOND // 2, SECOND) == SECOND // 2 and backoff.wait(SECOND, SECOND) == 0
    held = ConnectBackoff(Random(1))
    held.delay(100 * SECOND, UNREADABLE_LINE_WAIT_US)
    assert held.wait(100 * SECOND, SECOND) == UNREADABLE_LINE_WAIT_US
