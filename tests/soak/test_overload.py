"""A node that is asked for more than its share of a core can work off, with real node processes."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from ponddoor.soak.plan import BURST_SETUPS, Fault, Overload, draw_overload, overload
from ponddoor.soak.run import SoakRun

SECONDS, RANDOM_SECONDS = 20.0, 14.0
RANDOM_SEEDS = (2, 4)  # even: with faults of nodes and viewers


@pytest.mark.parametrize(("setups_per_s", "core_share"), [(50.0, 0.25), (90.0, 0.1)])
def test_no_request_is_lost_beside_bursts_at_a_node_with_part_of_a_core(
    setups_per_s: float, core_share: float, tmp_path: Path
) -> None:
    load = Overload(0, core_share, setups_per_s, BURST_SETUPS)
    run = SoakRun(overload(1, SECONDS, load), tmp_path)
    outcome = asyncio.run(run.play())
    assert outcome.usual > SECONDS * setups_per_s / 2
    broken = [f"{one.rule}: {one.what}" for one in outcome.violations]
    assert not broken, "\n".join(broken)


def test_requests_that_came_while_a_node_stood_still_are_answered_in_their_time(tmp_path: Path) -> None:
    """Their time was counted from when they were read: those that waited were answered 1.3 s too late."""
    load = Overload(0, 1.0, 25.0, 0, stall_s=1.7)
    run = SoakRun(overload(1, SECONDS, load), tmp_path)
    outcome = asyncio.run(run.play())
    lost = [one.what for one in outcome.violations if one.rule == "lost"]
    assert not lost, "\n".join(lost)


def test_requests_are_answered_before_sigkill_if_sigterm_came_in_a_stall(tmp_path: Path) -> None:
    """The shutdown was scheduled from when the signal was handled: set-ups waited beyond SIGKILL."""
    faults = tuple(Fault("terminate_in_stall", 2.0 + node / 4, 1.8, node) for node in range(3))
    deaths = tuple(Fault("server_dies", 1.0, 0.1, server) for server in range(3))
    load = Overload(0, 1.0, 50.0, 0)
    made = overload(1, SECONDS / 2, load, faults)
    made = msgspec.structs.replace(made, faults=tuple(sorted((*deaths, *faults), key=lambda one: one.at)))
    outcome = asyncio.run(SoakRun(made, tmp_path).play())
    broken = [f"{one.rule}: {one.what}" for one in outcome.violations]
    assert not broken, "\n".join(broken)


def test_no_rule_is_broken_at_an_overloaded_node_under_overlapping_faults(tmp_path: Path) -> None:
    async def both() -> list[str]:
        runs = []
        for seed in RANDOM_SEEDS:
            folder = tmp_path / str(seed)
            folder.mkdir()
            runs.append(SoakRun(draw_overload(seed, RANDOM_SECONDS), folder).play())
        outcomes = await asyncio.gather(*runs)
        return [f"{one.rule}: {one.what}" for outcome in outcomes for one in outcome.violations]

    broken = asyncio.run(both())
    assert not broken, "\n".join(broken)
