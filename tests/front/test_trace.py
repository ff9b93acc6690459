"""A trace of a live front, with words, faults and timers, is decided the same to the byte when replayed."""

import asyncio
from pathlib import Path

import pytest

from ponddoor.front.process import FrontProcess
from ponddoor.front.trace import TraceError, replay
from ponddoor.standins.media import Fault

from .conftest import World, living


def test_the_same_inputs_are_decided_the_same(tmp_path: Path) -> None:
    path = tmp_path / "front.trace"

    async def live() -> None:
        world = World(fronts=2, permissions="(messages yes) (probes yes)")
        async with living(world):
            await world.fronts.pop(0).stop()
            made = FrontProcess(world.site, 0, None, seed=9, trace=path)
            await made.start()
            world.fronts.append(made)
            await world.until(lambda: world.ready(made))
            world.media[0].fault(Fault("fast_errors", size=1.0))
            world.media[1].fault(Fault("slow", size=30))
            await asyncio.gather(*(world.ask(number % 2) for number in range(24)))
            await world.media[2].close()
            await asyncio.gather(*(world.ask(0) for _ in range(4)))

    asyncio.run(live())
    found = replay(path)
    assert (found.different, found.first_difference) == (0, "") and found.same > 60
    assert {
        "SessionRequest",
        "Started",
        "Ended",
        "TimerDue",
        "PeerMessage",
        "ServerNews",
    } <= found.events.keys()
    lines = path.read_bytes().splitlines()
    path.write_bytes(b"\n".join([*lines[:9], lines[9][:20]]))
    assert replay(path).same == 8  # a last line that was cut off is left out
    path.write_bytes(b'{"version":99}\n')
    with pytest.raises(TraceError):
        replay(path)
