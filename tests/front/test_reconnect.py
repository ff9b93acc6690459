"""Connecting to the list again: the core alone, for whole fleets in virtual time."""

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
GRACE = SECOND // 2


def fleet(fronts: int) -> list[ReconnectSchedule]:
    return [ReconnectSchedule(me, fronts, GRACE, seed=1000 + me) for me in range(fronts)]


@pytest.mark.parametrize("fronts", [20, 100, 300, 1000, 5000])
@pytest.mark.parametrize("how", ["start", "moved", "break", "silence"])
def test_a_spread_is_even(fronts: int, how: str) -> None:
    begin: dict[str, Callable[[ReconnectSchedule], int]] = {
        "start": lambda front: front.start(0),
        "moved": lambda front: front.moved(0),
        "break": lambda front: front.lost(0, Loss.BROKEN),
        "silence": lambda front: front.lost(0, Loss.SILENT, 2_400_000),
    }
    limits = {"start": GRACE, "moved": REDIRECT_LIMIT_US, "break": 2 * SECOND, "silence": 1_600_000}
    moments = [begin[how](front) for front in fleet(fronts)]
    assert max(moments) <= limits[how] // 2  # a second try fits before what is told counts
    span = max(moments) - min(moments)
    for window in (10_000, 100_000):
        if span > window:
            assert peak(moments, window) <= max(3 * fronts * window / span, 2)


@pytest.mark.parametrize("fronts", [20, 200, 300, 1000, 5000])
def test_a_long_outage_costs_one_try_of_each_front_a_period(fronts: int) -> None:
    minute = 60 * SECOND
    tries, back = outage(fleet(fronts), 5 * minute)
    late = [at for at in tries if at >= 60 * SECOND]
    assert len(late) / 240 <= 1.01 * fronts * SECOND / RETRY_PERIOD_US
    assert peak(late, SECOND) <= 2 * len(late) / 240 and len(back) == fronts


def pushed(each: list[Any], capacity: Capacity, until: int) -> tuple[int, int]:
    """A fleet that begins at a list which can be pushed over: how often it fell, and who has it at the end.

    Who has it loses it when it falls. Who is turned away or finds it fallen tries again as its core says."""
    due = [(front.start(0), me) for me, front in enumerate(each)]
    heapq.heapify(due)
    has: set[int] = set()
    while due and due[0][0] < until:
        at, me = heapq.heappop(due)
        falls = len(capacity.falls)
        verdict, _ = capacity.ask(at)
        if len(capacity.falls) > falls:
            for one in sorted(has):
                heapq.heappush(due, (each[one].lost(at, Loss.BROKEN), one))
            has.clear()
        if verdict is Verdict.SERVED:
            has.add(me)
            if isinstance(each[me], ReconnectSchedule):
                each[me].heard(at)
        else:
            how = Loss.BROKEN if verdict is Verdict.TURNED_AWAY else Loss.REFUSED
            heapq.heappush(due, (each[me].lost(at, how), me))
    return len(capacity.falls), len(has)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("answers", [60, 100, 150])
def test_a_list_that_was_pushed_over_is_not_pushed_over_again_and_again(answers: int, seed: int) -> None:
    spread = [ReconnectSchedule(me, 300, GRACE, seed * 7919 + me) for me in range(300)]
    falls, have = pushed(spread, Capacity(answers, answers // 2, 5 * SECOND), 90 * SECOND)
    assert falls <= 2 and have == 300
    in_step = [InStep() for _ in range(300)]
    falls, have = pushed(in_step, Capacity(answers, answers // 2, 5 * SECOND), 90 * SECOND)
    assert falls >= 10 and have < 300


def test_what_the_rules_leave_is_used() -> None:
    """News of a list that is back counts 4 s after it was lost: nobody waits longer for a try before."""
    for front in fleet(200):
        at, last = front.start(0), 0
        while at < REDIRECT_LIMIT_US:
            assert at - last <= REDIRECT_LIMIT_US // 3 + MIN_RETRY_INTERVAL_US
            last, at = at, front.lost(at, Loss.REFUSED)


def test_hearing_from_it_ends_the_growth() -> None:
    front = fleet(200)[199]
    at = front.start(0)
    for _ in range(12):
        at = front.lost(at, Loss.LATE)
    assert front.tries == 12
    front.heard(at)
    assert front.lost(at, Loss.BROKEN) - at <= 2 * SECOND // 3 + MIN_RETRY_INTERVAL_US


def test_who_is_told_when_to_come_back_comes_no_sooner_and_not_in_step() -> None:
    told = [front.lost(0, Loss.TURNED_AWAY, 0, 5 * SECOND) for front in fleet(40)]
    again = [
        front.lost(at, Loss.TURNED_AWAY, 0, 5 * SECOND) - at
        for front, at in zip(fleet(40), told, strict=True)
    ]
    assert min(told) >= 5 * SECOND and min(again) >= 5 * SECOND
    assert max(Counter(at // 10_000 for at in told).values()) <= 3


def test_losses_are_told_apart() -> None:
    front = fleet(3)[0]
    front.start(0)
    for how in Loss:
        front.lost(0, how)
    assert front.losses == {how.value: 1 for how in Loss}


TRY_TAKES = {Loss.REFUSED: 0, Loss.LATE: SECOND, Loss.SILENT: 3_400_000}  # us: connecting, then silence
TOLD_WITHIN = 6 * SECOND  # us: a change counts as told so long after it could be had again
CONNECTION_LATE = SECOND  # us: a connection may come up so late


def asked_again(fronts: int, outage: int, how: Loss) -> tuple[list[int], int]:
    """A fleet loses the list at 0: its tries until the return, and the longest wait for one after it (us)."""
    each = fleet(fronts)
    due = [(front.lost(0, Loss.BROKEN), me) for me, front in enumerate(each)]
    heapq.heapify(due)
    tries, latest = list[int](), 0
    while due:
        at, me = heapq.heappop(due)
        if at >= outage:
            latest = max(latest, at - outage)
        else:
            tries.append(at)
            heapq.heappush(due, (each[me].lost(at + TRY_TAKES[how], how), me))
    return tries, latest


@pytest.mark.parametrize("fronts", [5, 30, 200, 820])
@pytest.mark.parametrize("outage", [8, 30, 120])
@pytest.mark.parametrize("how", list(TRY_TAKES))
def test_every_front_is_told_within_six_seconds_after_an_outage(fronts: int, outage: int, how: Loss) -> None:
    _, latest = asked_again(fronts, outage * SECOND, how)
    assert latest + CONNECTION_LATE <= TOLD_WITHIN


@pytest.mark.parametrize("fronts", [5, 30, 200, 820])
@pytest.mark.parametrize("how", list(TRY_TAKES))
def test_tries_in_an_outage_stay_within_twice_their_mean_in_each_second(fronts: int, how: Loss) -> None:
    tries, _ = asked_again(fronts, 120 * SECOND, how)
    late = [at for at in tries if at >= 20 * SECOND]
    assert peak(late, SECOND) <= 2 * len(late) / 100
