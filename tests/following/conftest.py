"""Configuration instances served over loopback and fronts that follow them, all in one process."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ponddoor.config.api import Api
from ponddoor.config.machine import taken_apart
from ponddoor.front.process import FrontProcess
from ponddoor.raft import member as raft_member
from ponddoor.raft.member import ClusterMember
from ponddoor.settings.sexpr import parse
from ponddoor.settings.site import Address, FollowSide
from ponddoor.web.server import Server, ServerLimits
from tests.config.test_api import Served, served
from tests.front.conftest import World, living


@pytest.fixture(autouse=True)
def short_raft_tick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens elections and commits; the default tick is 0.05 s."""
    monkeypatch.setattr(raft_member, "TICK", 0.02)


class Fleet:
    """The fronts of a world and the configuration instances that they follow."""

    def __init__(self, world: World, instances: Served) -> None:
        self.world, self.instances = world, instances

    async def commit(self, sets: dict[str, str], drops: tuple[str, ...] = ()) -> int:
        """Commit a change of configuration items; returns the number of the new version."""
        body = {"who": "me", "why": "a reason", "sets": sets, "drops": list(drops)}
        answer = await self.instances.call("POST", "/config", body)
        assert answer.status == 200, answer.body
        version = answer.json()["version"]
        assert isinstance(version, int)
        return version

    async def wait_in_force(self, version: int) -> None:
        """Wait until a version is in force at all fronts. Raises TimeoutError after 15 s."""
        await self.world.until(lambda: all(front.terms.version == version for front in self.world.fronts), 15)

    async def change(self, sets: dict[str, str], drops: tuple[str, ...] = ()) -> int:
        """Commit a change and wait until it is in force at all fronts; returns the number of the version."""
        version = await self.commit(sets, drops)
        await self.wait_in_force(version)
        return version

    def initial_items(self) -> dict[str, str]:
        """The configuration items of the world's site by key, which `fleet` commits as version 1."""
        return taken_apart(parse(self.world.text, "world"))

    async def restart_front(
        self, front_number: int = 0, instances: tuple[Address, ...] | None = None
    ) -> FrontProcess:
        """Stop a front and start it from its own site file and its stored version.

        With `instances` it follows these instead of the previous ones."""
        await self.world.fronts[front_number].stop()
        site = self.world.site
        assert site.follow is not None
        follow = site.follow if instances is None else replace(site.follow, instances=instances)
        front = self.world.fronts[front_number] = await self.world.front(
            front_number, replace(site, follow=follow)
        )
        return front

    async def close_apis(self) -> None:
        """Close the APIs of all instances, so that no front can reach one."""
        for web in self.instances.webs:
            await web.close()

    async def stop_instance(self, number: int) -> None:
        await self.instances.webs[number].close()
        await self.instances.members[number].stop()

    async def restart_instance(self, number: int) -> None:
        """Start a stopped instance from its journal, at its previous addresses."""
        stopped = self.instances.members[number]
        member = ClusterMember(stopped.identity, stopped.first, stopped.addresses, stopped.folder)
        api = Api(member, self.instances.apis)
        self.instances.members[number], self.instances.made[number] = member, api
        self.instances.webs[number] = Server(api.handle, ServerLimits())
        await member.start()
        await self.instances.webs[number].start(*self.instances.apis[number])


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, instances: int = 1, fronts: int = 1, commit_site: bool = True, **parts: Any
) -> AsyncIterator[Fleet]:
    """Run a number of instances and of fronts that follow them; further options go to `World`.

    With `commit_site` the site of the world is committed as version 1 and in force at all fronts."""
    async with served(folder / "instances", instances) as cluster:
        apis = " ".join(f'(instance "{host}:{port}")' for host, port in cluster.apis.values())
        follow = f"(follow {apis} (silence 1500ms) (report-every 100ms))"
        world = World(fronts, kept=folder / "kept.list", seats=follow + parts.pop("seats", ""), **parts)
        async with living(world):
            deployment = Fleet(world, cluster)
            if commit_site:
                await deployment.change(deployment.initial_items())
            yield deployment


def follow_settings(world: World) -> FollowSide:
    """The `follow` form of the world's site file."""
    assert world.site.follow is not None
    return world.site.follow
