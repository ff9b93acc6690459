"""Ends that are read before a hand-over: which one counts, and how many are kept."""

import tracemalloc

import pytest

from ponddoor.obligations.early_ends import (
    MAX_DROPPED,
    MAX_ENDS,
    MIN_ENDS_PER_SOURCE,
    RETENTION_US,
    EarlyEnd,
    EarlyEnds,
)

OVER, UNCERTAIN = EarlyEnd("over"), EarlyEnd("lost", certain=False)
BAD_SERVER, GOOD_SERVER = 0, 1
FLOOD = 200_000  # what a server writes in ten seconds at 20,000 ends a second
MAX_MEMORY_BYTES = 8_000_000


def test_end_counts_for_its_session_at_its_server_once() -> None:
    ends = EarlyEnds[int]()
    ends.remember(0, GOOD_SERVER, "a", "over")
    assert ends.take(1, BAD_SERVER, "a") is None and ends.take(1, GOOD_SERVER, "b") is None
    assert ends.take(1, GOOD_SERVER, "a") == OVER and ends.take(1, GOOD_SERVER, "a") is None


def test_end_is_forgotten_with_a_new_setup_at_its_server() -> None:
    ends = EarlyEnds[int]()
    ends.remember(0, GOOD_SERVER, "a", "over")
    ends.forget(BAD_SERVER, "a")
    ends.forget(GOOD_SERVER, "a")
    assert ends.take(1, GOOD_SERVER, "a") is None


@pytest.mark.parametrize(
    ("read_at", "tested_at", "expires_at"),
    [(0, RETENTION_US, 2 * RETENTION_US), (2 * RETENTION_US, RETENTION_US, 3 * RETENTION_US)],
    ids=["read before the readiness test", "read later"],
)
def test_end_expires_after_its_retention_and_never_before_the_readiness_test(
    read_at: int, tested_at: int, expires_at: int
) -> None:
    for now, end in ((expires_at - 1, OVER), (expires_at, None)):
        ends = EarlyEnds[int]()
        ends.remember(min(read_at, tested_at), BAD_SERVER, "b", "over")
        ends.readiness_tested(tested_at)
        ends.readiness_tested(tested_at + 1)
        ends.remember(read_at, GOOD_SERVER, "a", "over")
        assert ends.take(now, GOOD_SERVER, "a") == end


def test_expired_ends_of_all_servers_are_dropped_a_few_with_each_end() -> None:
    ends = EarlyEnds[int]()
    ends.readiness_tested(0)
    for server in range(100):
        ends.remember(server, server, "a", "over")
    ends.remember(RETENTION_US + 49, 100, "a", "over")
    assert len(ends) == 101 - MAX_DROPPED
    for number in range(60):
        ends.remember(RETENTION_US + 49, 100, f"{number}", "over")
    assert len(ends) == 50 + 61


def test_flood_from_one_server_displaces_no_end_of_another_in_bounded_memory() -> None:
    tracemalloc.start()
    ends = EarlyEnds[int]()
    ends.remember(0, GOOD_SERVER, "owed", "over")
    for number in range(FLOOD):
        ends.remember(number, BAD_SERVER, f"{number:016x}", "over")
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(ends) <= MAX_ENDS and memory_bytes < MAX_MEMORY_BYTES
    assert ends.take(FLOOD, GOOD_SERVER, "owed") == OVER


def test_sessions_at_a_server_that_exceeds_its_limit_count_as_ended() -> None:
    ends = EarlyEnds[int]()
    ends.remember(0, GOOD_SERVER, "x", "over")
    ends.remember(0, BAD_SERVER, "evicted", "over")
    for number in range(MAX_ENDS):
        ends.remember(1, BAD_SERVER, f"{number:016x}", "over")
    assert ends.take(2, BAD_SERVER, "evicted") == UNCERTAIN and ends.take(2, GOOD_SERVER, "evicted") is None
    ends.readiness_tested(3)
    assert ends.take(3 + RETENTION_US, BAD_SERVER, "evicted") is None


def test_ends_of_very_many_servers_are_bounded_and_each_keeps_some() -> None:
    ends, servers = EarlyEnds[int](), 3200
    for number in range(MIN_ENDS_PER_SOURCE):
        for server in range(servers):
            ends.remember(number, server, f"{number:016x}", "over")
    assert all(ends.take(20, server, f"{15:016x}") == OVER for server in range(servers))
    for number in range(100, 200):
        for server in range(servers):
            ends.remember(number, server, f"{number:016x}", "over")
    assert len(ends) <= servers * MIN_ENDS_PER_SOURCE


def test_sessions_at_a_server_that_lost_all_count_as_ended() -> None:
    ends = EarlyEnds[int]()
    ends.remember(0, GOOD_SERVER, "a", "over")
    ends.all_ended(1, GOOD_SERVER)
    assert ends.take(2, GOOD_SERVER, "a") == OVER and ends.take(2, GOOD_SERVER, "b") == UNCERTAIN
    assert ends.take(2, BAD_SERVER, "b") is None
