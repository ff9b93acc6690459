"""What the shared cores cost and keep, in virtual time: words over the size, parts in use over loss."""

from dataclasses import replace
from typing import Any

from ponddoor.fleet.simulation import GROUPS, BoundBrokenError, Schedule, Simulation


class Steady(Simulation):
    """A fleet with nothing but loss in it; what it has after its time is looked at, not judged."""

    def _settled(self) -> None:
        return


def steady(fronts: int, loss: float, seconds: int, seed: int) -> dict[str, float]:
    """One fleet: words a front a second, the share of parts that is lent or its owner's to use at the end,
    and whether a bound was broken."""
    plan = replace(Schedule(seed), fronts=fronts, seconds=seconds, loss=loss, double=0.0, slow=0.0, crashes=0,
                   cuts=0, pauses=0, late=0)  # fmt: skip
    run, broken = Steady(plan), 0
    try:
        run.run()
    except BoundBrokenError:
        broken = 1
    used = 0
    for group in range(GROUPS):
        lent: set[int] = set()
        for node in run.nodes:
            if node.fleet is not None:
                lent |= node.fleet.shares.lenders_of(run.clock(node), group)
        own = {n.number for n in run.nodes if n.fleet and n.fleet.shares.may_use_own(run.clock(n), group)}
        used += len(lent | own)
    return {
        "words a front a second": round(run.found.messages / fronts / seconds, 2),
        "parts in use": round(used / fronts / GROUPS, 3),
        "bound broken": broken,
    }


def table(fleets: tuple[int, ...], losses: tuple[float, ...], seconds: int, seed: int) -> dict[str, Any]:
    """Words over the size of the fleet, and parts in use over the loss of words, with twelve fronts."""
    found: dict[str, Any] = {f"{n} fronts": steady(n, 0.0, seconds, seed) for n in fleets}
    return found | {f"12 fronts, {loss:.0%} lost": steady(12, loss, 3 * seconds, seed) for loss in losses}
