"""Replaying the trace of a front, with gossip, faults and timers, gives the same actions byte for byte."""

import asyncio
from pathlib import Path

import pytest

from ponddoor.front.process import FrontProcess
from ponddoor.front.trace import TraceError, replay
from ponddoor.standins.media import Fault

from .conftest import World, living


def test_a_replayed_trace_gives_the_same_actions(tmp_path: Path) -> None:
    path = tmp_path / "front.trace"

    async def live() -> None:
        world = World(fronts=2, permissions="(messages yes) (probes yes)")
        async with living(world):
            await world.fronts.pop(0).stop()
            front = FrontProcess(world.site, 0, None, seed=9, trace=path)
            await front.start()
            world.fronts.append(front)
            await world.until(lambda: world.ready(front))
            world.media[0].fault(Fault("fast_errors", size=1.0))
            world.media[1].fault(Fault("slow", size=30))
            await asyncio.gather(*(world.ask(number % 2) for number in range(24)))
            await world.media[2].close()
            await asyncio.gather(*(world.ask(0) for _ in range(4)))

    asyncio.run(live())
    result = replay(path)
    assert (result.different, result.first_difference) == (0, "") and result.same > 60
    assert {
        "SessionRequest",
        "Started",
        "Ended",
        "TimerDue",
        "PeerMessage",
        "ServerNews",
    } <= result.events.keys()
    lines = path.read_bytes().splitlines()
    path.write_bytes(b"\n".join([*lines[:9], lines[9][:20]]))
    assert replay(path).same == 8  # a truncated last line is ignored
    path.write_bytes(b'{"version":99}\n')
    with pytest.raises(TraceError):
        replay(path)
