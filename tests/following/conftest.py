"""Instances that agree, served over loopback, and fronts that follow them, all in one process."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ponddoor.config.api import Api
from ponddoor.config.machine import taken_apart
from ponddoor.front.process import FrontProcess
from ponddoor.raft import member as shell
from ponddoor.raft.member import ClusterMember
from ponddoor.settings.sexpr import parse
from ponddoor.settings.site import Address, FollowSide
from ponddoor.web.server import Bounds, Server
from tests.config.test_api import Served, served
from tests.front.conftest import World, living


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shell, "TICK", 0.02)


class Fleet:
    """Fronts in a world, and the instances that they follow."""

    def __init__(self, world: World, instances: Served) -> None:
        self.world, self.instances = world, instances

    async def commit(self, sets: dict[str, str], drops: tuple[str, ...] = ()) -> int:
        """A change; returns its version."""
        body = {"who": "me", "why": "a reason", "sets": sets, "drops": list(drops)}
        answer = await self.instances.call("POST", "/config", body)
        assert answer.status == 200, answer.body
        version = answer.json()["version"]
        assert isinstance(version, int)
        return version

    async def wait_in_force(self, version: int) -> None:
        """Wait until all fronts have it."""
        await self.world.until(lambda: all(front.terms.version == version for front in self.world.fronts), 15)

    async def change(self, sets: dict[str, str], drops: tuple[str, ...] = ()) -> int:
        version = await self.commit(sets, drops)
        await self.wait_in_force(version)
        return version

    def initial_items(self) -> dict[str, str]:
        """The site of the world, as the first version has it."""
        return taken_apart(parse(self.world.text, "world"))

    async def restart_front(self, me: int = 0, instances: tuple[Address, ...] | None = None) -> FrontProcess:
        """A front ends and begins anew, by its own file and what it kept; it may follow others."""
        await self.world.fronts[me].stop()
        site = self.world.site
        assert site.follow is not None
        side = site.follow if instances is None else replace(site.follow, instances=instances)
        made = self.world.fronts[me] = await self.world.front(me, replace(site, follow=side))
        return made

    async def close_apis(self) -> None:
        """No instance is in reach any more."""
        for web in self.instances.webs:
            await web.close()

    async def stop_instance(self, number: int) -> None:
        """An instance ends."""
        await self.instances.webs[number].close()
        await self.instances.members[number].stop()

    async def restart_instance(self, number: int) -> None:
        """It begins anew, by its journal."""
        old = self.instances.members[number]
        member = ClusterMember(old.identity, old.first, old.addresses, old.folder)
        api = Api(member, self.instances.apis)
        self.instances.members[number], self.instances.made[number] = member, api
        self.instances.webs[number] = Server(api.handle, Bounds())
        await member.start()
        await self.instances.webs[number].start(*self.instances.apis[number])


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, instances: int = 1, fronts: int = 1, begun: bool = True, **parts: Any
) -> AsyncIterator[Fleet]:
    """Instances and fronts; with the world's site as version 1 in force, unless it is not begun."""
    async with served(folder / "instances", instances) as made:
        apis = " ".join(f'(instance "{host}:{port}")' for host, port in made.apis.values())
        follow = f"(follow {apis} (silence 1500ms) (report-every 100ms))"
        world = World(fronts, kept=folder / "kept.list", seats=follow + parts.pop("seats", ""), **parts)
        async with living(world):
            found = Fleet(world, made)
            if begun:
                await found.change(found.initial_items())
            yield found


def follow_settings(world: World) -> FollowSide:
    assert world.site.follow is not None
    return world.site.follow
