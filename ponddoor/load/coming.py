"""The core that comes to the list alone, in virtual time: whole fleets, beside tries in step as before.

Every fleet begins in the same moment, finds the list down for a while, follows it, loses it once more and is
told to move. What a try costs in time is left out, so that the sums are those of the core alone."""

import heapq
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from ponddoor.front.reconnect import Loss, ReconnectSchedule
from ponddoor.rehearse.sums import evenness, peak

SECOND = 1_000_000
GRACE = SECOND // 2  # us: how long news may take at a start
DOWN = 120 * SECOND  # how long the first outage lasts


class InStep:
    """Tries as they were before: at once, then 0.05 s doubled to 0.5 s, with no chance in it."""

    def __init__(self) -> None:
        self.wait = 0

    def start(self, now: int) -> int:
        self.wait = 50_000
        return now

    moved = start

    def lost(self, now: int, how: Loss) -> int:
        at, self.wait = now + self.wait, min(2 * self.wait, SECOND // 2)
        return at


def outage(each: list[Any], lasts: int = DOWN) -> tuple[list[int], list[int]]:
    """Tries of a fleet that begins while the list is down, and how long after its return each has it (us)."""
    due = [(front.start(0), me) for me, front in enumerate(each)]
    heapq.heapify(due)
    tries, back = list[int](), list[int]()
    while due:
        at, me = heapq.heappop(due)
        if at >= lasts:
            back.append(at - lasts)
        else:
            tries.append(at)
            heapq.heappush(due, (each[me].lost(at, Loss.REFUSED), me))
    return tries, sorted(back)


def figures(fronts: int, seed: int, in_step: bool = False) -> dict[str, float]:
    """One fleet's sums."""

    def fleet() -> list[Any]:
        if in_step:
            return [InStep() for _ in range(fronts)]
        return [ReconnectSchedule(me, fronts, GRACE, seed * 1_000_003 + me) for me in range(fronts)]

    tries, back = outage(fleet())
    late = [at for at in tries if at >= 10 * SECOND]
    found: dict[str, float] = {}
    events: dict[str, Callable[[Any], int]] = {
        "start": lambda one: int(one.start(0)),
        "break": lambda one: int(one.lost(0, Loss.BROKEN)),
        "move": lambda one: int(one.moved(0)),
    }
    for name, event in events.items():
        moments = [event(one) for one in fleet()]
        found[f"{name}: most in 10 ms"] = peak(moments, 10_000)
        found[f"{name}: peak over mean, 10 ms"] = round(evenness(moments, 10_000), 2)
        found[f"{name}: peak over mean, 100 ms"] = round(evenness(moments, 100_000), 2)
        found[f"{name}: last, s"] = round(max(moments) / SECOND, 2)
    seconds = (DOWN - 10 * SECOND) / SECOND
    found["outage: tries a second after 10 s"] = round(len(late) / seconds, 2)
    found["outage: tries a second a front"] = round(len(late) / seconds / fronts, 3)
    found["outage: most in 100 ms after 10 s"] = peak(late, SECOND // 10)
    for name, part in (("half", 0.5), ("99%", 0.99), ("all", 1.0)):
        found[f"list back: {name} have it after, s"] = round(back[-int(-part * fronts // 1) - 1] / SECOND, 2)
    return found


def table(fleets: tuple[int, ...], seeds: tuple[int, ...]) -> dict[str, Any]:
    """The worst of the seeds for each fleet, and tries in step beside it."""
    found: dict[str, Any] = {}
    for fronts in fleets:
        runs = [figures(fronts, seed) for seed in seeds]
        found[f"{fronts} fronts"] = {name: max(run[name] for run in runs) for name in runs[0]}
        found[f"{fronts} in step"] = figures(fronts, 0, in_step=True)
    return found


def plot(fleets: tuple[int, ...], seed: int, picture: Path) -> None:
    """Tries at the list in each 100 ms of an outage of two minutes and after it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    drawn, axes = plt.subplots(len(fleets), 1, figsize=(9, 2.4 * len(fleets)), sharex=True, squeeze=False)
    for axis, fronts in zip(axes[:, 0], fleets, strict=True):
        now = [ReconnectSchedule(me, fronts, GRACE, seed * 1_000_003 + me) for me in range(fronts)]
        for name, fleet in (("in step, as before", [InStep() for _ in range(fronts)]), ("spread", now)):
            tries, back = outage(list(fleet))
            moments = np.array([*tries, *(at + DOWN for at in back)]) / SECOND
            edges = np.arange(0, DOWN / SECOND + 30, 0.1)
            counts, _ = np.histogram(moments, edges)
            axis.step(edges[:-1], counts, where="post", label=name, linewidth=0.8)
        axis.set_yscale("symlog")
        axis.set_ylabel(f"tries in 100 ms\n{fronts} fronts")
        axis.axvline(DOWN / SECOND, color="grey", linewidth=0.8)
    axes[0, 0].legend(loc="upper right")
    axes[-1, 0].set_xlabel("s since all began; the list is back at the line")
    drawn.tight_layout()
    drawn.savefig(picture, dpi=90)
    plt.close(drawn)
