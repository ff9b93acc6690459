"""Sessions that end while their node is down, with real node processes."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from ponddoor.soak.plan import Fault, FaultKind, draw_restarts
from ponddoor.soak.run import SoakRun
from tests.soak.test_regressions import plan

SECONDS, RANDOM_SECONDS = 9.0, 14.0
NODES = 3
DOWN_S = 0.7


@pytest.mark.parametrize("end", ["terminate", "kill"])
def test_sessions_that_end_while_their_node_is_down_are_released(end: FaultKind, tmp_path: Path) -> None:
    """Their server's release came before their hand-over, was dropped, and they stood for good."""
    faults = tuple(Fault(end, 2.0 + number / 2, 1.0, number) for number in range(NODES))
    made = plan(300.0, SECONDS, faults, nodes=NODES, servers=3)
    run = SoakRun(msgspec.structs.replace(made, reports="on_probe", down_s=DOWN_S), tmp_path)
    outcome = asyncio.run(run.play())
    handed_over = [one for one in run.oracle.sessions.values() if one.handed_over_at < one.up_at + SECONDS]
    ended_before = [one for one in handed_over if one.ended_at < one.handed_over_at]
    assert len(ended_before) >= NODES and len(handed_over) > len(ended_before)
    broken = [one.what for one in outcome.violations]
    assert not broken, "\n".join(broken)


def test_no_rule_is_broken_by_restarts_under_overlapping_faults(tmp_path: Path) -> None:
    async def both() -> list[str]:
        runs = []
        for seed in (1, 2):
            folder = tmp_path / str(seed)
            folder.mkdir()
            runs.append(SoakRun(draw_restarts(seed, RANDOM_SECONDS, NODES), folder).play())
        outcomes = await asyncio.gather(*runs)
        return [f"{one.rule}: {one.what}" for outcome in outcomes for one in outcome.violations]

    broken = asyncio.run(both())
    assert not broken, "\n".join(broken)
