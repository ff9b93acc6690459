"""Reconnecting to the server list: schedules of whole fleets in virtual time, without I/O."""

import heapq
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from ponddoor.front.reconnect import (
    MIN_RETRY_INTERVAL_US,
    REDIRECT_LIMIT_US,
    RETRY_PERIOD_US,
    Loss,
    ReconnectSchedule,
)
from ponddoor.load.coming import InStep, outage
from ponddoor.rehearse.sums import peak
from ponddoor.standins.capacity import Capacity, Verdict

SECOND = 1_000_000
START_LIMIT = SECOND // 2


def fleet(fronts: int) -> list[ReconnectSchedule]:
    return [ReconnectSchedule(me, fronts, START_LIMIT, seed=1000 + me) for me in range(fronts)]


@pytest.mark.parametrize("fronts", [20, 100, 300, 1000, 5000])
@pytest.mark.parametrize("occasion", ["start", "moved", "break", "silence"])
def test_first_tries_of_a_fleet_are_spread_evenly(fronts: int, occasion: str) -> None:
    first_try: dict[str, Callable[[ReconnectSchedule], int]] = {
        "start": lambda front: front.start(0),
        "moved": lambda front: front.moved(0),
        "break": lambda front: front.lost(0, Loss.BROKEN),
        "silence": lambda front: front.lost(0, Loss.SILENT, 2_400_000),
    }
    limits = {"start": START_LIMIT, "moved": REDIRECT_LIMIT_US, "break": 2 * SECOND, "silence": 1_600_000}
    moments = [first_try[occasion](front) for front in fleet(fronts)]
    assert max(moments) <= limits[occasion] // 2  # leaves time for a second try within the limit
    span = max(moments) - min(moments)
    for window in (10_000, 100_000):
        if span > window:
            assert peak(moments, window) <= max(3 * fronts * window / span, 2)


@pytest.mark.parametrize("fronts", [20, 200, 300, 1000, 5000])
def test_in_a_long_outage_each_front_tries_once_per_period(fronts: int) -> None:
    minute = 60 * SECOND
    tries, returns = outage(fleet(fronts), 5 * minute)
    late = [moment for moment in tries if moment >= 60 * SECOND]
    assert len(late) / 240 <= 1.01 * fronts * SECOND / RETRY_PERIOD_US
    assert peak(late, SECOND) <= 2 * len(late) / 240 and len(returns) == fronts


def play_overload(schedules: list[Any], capacity: Capacity, until: int) -> tuple[int, int]:
    """A fleet starts at a list that fails under overload; the number of failures and of connected fronts.

    A failure breaks all connections. A front that is turned away or finds the list down follows its
    schedule."""
    due = [(front.start(0), me) for me, front in enumerate(schedules)]
    heapq.heapify(due)
    connected: set[int] = set()
    while due and due[0][0] < until:
        now, me = heapq.heappop(due)
        falls_before = len(capacity.falls)
        verdict, _ = capacity.ask(now)
        if len(capacity.falls) > falls_before:
            for front in sorted(connected):
                heapq.heappush(due, (schedules[front].lost(now, Loss.BROKEN), front))
            connected.clear()
        if verdict is Verdict.SERVED:
            connected.add(me)
            if isinstance(schedules[me], ReconnectSchedule):
                schedules[me].heard(now)
        else:
            loss = Loss.BROKEN if verdict is Verdict.TURNED_AWAY else Loss.REFUSED
            heapq.heappush(due, (schedules[me].lost(now, loss), me))
    return len(capacity.falls), len(connected)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("answers", [60, 100, 150])
def test_a_list_that_failed_under_overload_does_not_keep_failing(answers: int, seed: int) -> None:
    spread = [ReconnectSchedule(me, 300, START_LIMIT, seed * 7919 + me) for me in range(300)]
    falls, connected = play_overload(spread, Capacity(answers, answers // 2, 5 * SECOND), 90 * SECOND)
    assert falls <= 2 and connected == 300
    in_step = [InStep() for _ in range(300)]
    falls, connected = play_overload(in_step, Capacity(answers, answers // 2, 5 * SECOND), 90 * SECOND)
    assert falls >= 10 and connected < 300


def test_no_wait_exceeds_a_third_of_the_limit_in_a_short_outage() -> None:
    """Changes of a list that is reachable again count 4 s after its loss; no wait before may be longer."""
    for front in fleet(200):
        try_at, last_try_at = front.start(0), 0
        while try_at < REDIRECT_LIMIT_US:
            assert try_at - last_try_at <= REDIRECT_LIMIT_US // 3 + MIN_RETRY_INTERVAL_US
            last_try_at, try_at = try_at, front.lost(try_at, Loss.REFUSED)


def test_a_message_from_the_list_resets_the_backoff() -> None:
    front = fleet(200)[199]
    try_at = front.start(0)
    for _ in range(12):
        try_at = front.lost(try_at, Loss.LATE)
    assert front.tries == 12
    front.heard(try_at)
    assert front.lost(try_at, Loss.BROKEN) - try_at <= 2 * SECOND // 3 + MIN_RETRY_INTERVAL_US


def test_a_front_told_when_to_retry_does_so_no_sooner_and_with_jitter() -> None:
    first = [front.lost(0, Loss.TURNED_AWAY, 0, 5 * SECOND) for front in fleet(40)]
    waits = [
        front.lost(moment, Loss.TURNED_AWAY, 0, 5 * SECOND) - moment
        for front, moment in zip(fleet(40), first, strict=True)
    ]
    assert min(first) >= 5 * SECOND and min(waits) >= 5 * SECOND
    assert max(Counter(moment // 10_000 for moment in first).values()) <= 3


def test_losses_are_counted_by_kind() -> None:
    front = fleet(3)[0]
    front.start(0)
    for loss in Loss:
        front.lost(0, loss)
    assert front.losses == {loss.value: 1 for loss in Loss}


# Until a try has failed in this way; that of a silent list includes the time to connect.
TRY_DURATION_US = {Loss.REFUSED: 0, Loss.LATE: SECOND, Loss.SILENT: 3_400_000}
KNOWN_WITHIN_US = 6 * SECOND  # after the list is reachable again, a change counts as known
CONNECT_DELAY_US = SECOND  # a connection may take this long


def play_outage(fronts: int, outage: int, loss: Loss) -> tuple[list[int], int]:
    """A fleet loses the list at 0: its tries in the outage, and the longest wait for a try after it (us)."""
    schedules = fleet(fronts)
    due = [(front.lost(0, Loss.BROKEN), me) for me, front in enumerate(schedules)]
    heapq.heapify(due)
    tries, latest = list[int](), 0
    while due:
        now, me = heapq.heappop(due)
        if now >= outage:
            latest = max(latest, now - outage)
        else:
            tries.append(now)
            heapq.heappush(due, (schedules[me].lost(now + TRY_DURATION_US[loss], loss), me))
    return tries, latest


@pytest.mark.parametrize("fronts", [5, 30, 200, 820])
@pytest.mark.parametrize("outage", [8, 30, 120])
@pytest.mark.parametrize("loss", list(TRY_DURATION_US))
def test_every_front_knows_changes_within_six_seconds_after_an_outage(
    fronts: int, outage: int, loss: Loss
) -> None:
    _, latest = play_outage(fronts, outage * SECOND, loss)
    assert latest + CONNECT_DELAY_US <= KNOWN_WITHIN_US


@pytest.mark.parametrize("fronts", [5, 30, 200, 820])
@pytest.mark.parametrize("loss", list(TRY_DURATION_US))
def test_tries_in_an_outage_stay_within_twice_their_mean_in_each_second(fronts: int, loss: Loss) -> None:
    tries, _ = play_outage(fronts, 120 * SECOND, loss)
    late = [moment for moment in tries if moment >= 20 * SECOND]
    assert peak(late, SECOND) <= 2 * len(late) / 100
