"""Sessions that end while their node is down, with real node processes."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from ponddoor.soak.plan import Fault, FaultKind
from ponddoor.soak.run import SoakRun
from tests.soak.test_regressions import plan

SECONDS = 9.0
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
