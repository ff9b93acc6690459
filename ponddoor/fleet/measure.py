"""Measures messages by fleet size, and budget shares in use by message loss, in virtual time."""

from dataclasses import replace
from typing import Any

from ponddoor.fleet.simulation import GROUPS, BoundBrokenError, Schedule, Simulation


class SteadySimulation(Simulation):
    """A fleet whose only fault is message loss; its state at the end is measured and not checked."""

    def _check_settled(self) -> None:
        return


def steady(fronts: int, loss: float, seconds: int, seed: int) -> dict[str, float]:
    """Runs one fleet. Returns messages per front and second, the share of budget shares that are lent or
    usable by their own front at the end, and whether a check failed."""
    plan = replace(Schedule(seed), fronts=fronts, seconds=seconds, loss=loss, double=0.0, slow=0.0, crashes=0,
                   cuts=0, pauses=0, late=0)  # fmt: skip
    run, broken = SteadySimulation(plan), 0
    try:
        run.run()
    except BoundBrokenError:
        broken = 1
    in_use = 0
    for group in range(GROUPS):
        lent: set[int] = set()
        for node in run.nodes:
            if node.fleet is not None:
                lent |= node.fleet.shares.lenders_of(run.clock(node), group)
        own = {n.number for n in run.nodes if n.fleet and n.fleet.shares.may_use_own(run.clock(n), group)}
        in_use += len(lent | own)
    return {
        "words a front a second": round(run.stats.messages / fronts / seconds, 2),
        "parts in use": round(in_use / fronts / GROUPS, 3),
        "bound broken": broken,
    }


def table(fleets: tuple[int, ...], losses: tuple[float, ...], seconds: int, seed: int) -> dict[str, Any]:
    """Results of `steady` by fleet size without loss, and by message loss with twelve fronts."""
    rows: dict[str, Any] = {f"{fronts} fronts": steady(fronts, 0.0, seconds, seed) for fronts in fleets}
    return rows | {f"12 fronts, {loss:.0%} lost": steady(12, loss, 3 * seconds, seed) for loss in losses}
