"""How a hollow front follows the configuration: the real core and shell over real TCP, through the relay.

A version is checked whole and kept as at a real front; what is lacking is the engine that would take it.
What is kept stays in the process, which outlives its fronts' lives: hundreds that wait for one disk at each
version would measure that disk."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import msgspec

from ponddoor.audit.records import Recorder
from ponddoor.front.follower import Follower, PutInForce
from ponddoor.front.following import Following
from ponddoor.interface.facts import SiteFacts
from ponddoor.settings.site import Address, Site

FOLLOWS = "follows.json"


class HollowFollowing(Following):
    """The shell of one hollow front."""

    held: bytes = b""  # what was kept last

    async def _persist(self, number: int, data: bytes) -> None:
        self.held = data
        await self._calls.put((partial(self._write_finished, number, True), False))

    def _write(self, data: bytes) -> bool:
        self.held = data
        return True


@dataclass(slots=True)
class Followers:
    """All of one process: where each front finds the instances, and what is written down of each."""

    folder: Path
    note: Callable[..., None]
    addresses: dict[int, tuple[Address, ...]] = field(default_factory=dict)
    running: dict[int, HollowFollowing] = field(default_factory=dict)
    kept: dict[int, bytes] = field(default_factory=dict)  # of fronts whose life ended
    _closing: set[asyncio.Task[None]] = field(default_factory=set)

    def begin(self, me: int, facts: SiteFacts) -> None:
        """A life of a front begins to follow; nothing where this day's fronts do not."""
        if me not in self.addresses:
            return
        self.end(me)

        def usable(site: Site) -> tuple[str, ...]:
            return ()

        def take(effect: PutInForce) -> None:
            self.note("in-force", front=me, version=effect.number, digest=effect.digest)

        follower = Follower(
            me,
            facts.fronts,
            len(self.addresses[me]),
            facts.seed,
            facts.rules.drain_grace,
            self.folder,
            usable,
        )
        path = self.folder / f"front-{me}.config"
        if held := self.kept.get(me):
            path.write_bytes(held)
        made = HollowFollowing(follower, self.addresses[me], take, path)
        self.running[me] = made
        made.begin()

    def end(self, me: int) -> None:
        """A life ends: what it had open is closed."""
        held = self.running.pop(me, None)
        if held is not None:
            self.kept[me] = held.held
            task = asyncio.create_task(held.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)


def followers_in(folder: Path, name: str) -> Followers:
    """Those of a process of a run, by what the rehearsal wrote into the folder; none where it wrote
    nothing."""
    made = Followers(folder, Recorder(folder / f"{name}.rec", name).note)
    path = folder / FOLLOWS
    if path.exists():
        told = msgspec.json.decode(path.read_bytes(), type=dict[int, list[tuple[str, int]]])
        made.addresses = {front: tuple(places) for front, places in told.items()}
    return made
