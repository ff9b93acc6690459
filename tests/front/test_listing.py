"""The connection to the server list: half-dead addresses, and a list that turns fronts away."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from ponddoor.front.process import FrontProcess
from ponddoor.standins.capacity import Capacity

from .conftest import World

Run = Callable[..., None]


async def restart_front(world: World, *addresses: tuple[str, int]) -> FrontProcess:
    """Restart front 0 with these addresses of the list, in order of preference."""
    await world.fronts[0].stop()
    listing = replace(world.site.listing, address=addresses[0], others=addresses[1:])
    world.fronts[0] = front = await world.front(0, replace(world.site, listing=listing))
    return front


@pytest.mark.parametrize("loss", ["silent", "refused"])
def test_a_half_dead_address_does_not_delay_the_start(in_world: Run, loss: str) -> None:
    async def scenario(world: World) -> None:
        accepted: list[asyncio.StreamWriter] = []
        silent_server = await asyncio.start_server(lambda _, writer: accepted.append(writer), "127.0.0.1", 0)
        port = silent_server.sockets[0].getsockname()[1]
        if loss == "refused":
            silent_server.close()
            await silent_server.wait_closed()
        front = await restart_front(world, ("127.0.0.1", port), world.site.listing.address)
        answer = await world.ask()  # a viewer is answered even before the list has arrived
        assert answer.json()["state"] in ("playing", "busy-replied")
        await world.until(lambda: front.listing.reachable)
        assert front.listing.schedule.losses == {loss: 1}
        silent_server.close()
        for writer in accepted:
            writer.close()

    in_world(scenario, audited=False)


def test_a_front_that_is_turned_away_waits_as_long_as_it_is_told(in_world: Run) -> None:
    async def scenario(world: World) -> None:
        world.listing.capacity = Capacity(1.0, queue=0)
        front = await restart_front(world, world.site.listing.address)
        await world.until(lambda: front.listing.schedule.losses == {"turned-away": 1})
        wait_us = front.listing.due - int(asyncio.get_running_loop().time() * 1e6)
        world.listing.capacity = Capacity(0.0)
        assert wait_us > 900_000  # Retry-After says 1 s, to which jitter is added
        await world.until(lambda: front.listing.reachable)

    in_world(scenario, audited=False)
