"""A rehearsal of nodes: `python -m ponddoor.node` as processes, the platform as stand-ins round them."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ponddoor.front.pump import SECOND
from ponddoor.front.roster import Entry
from ponddoor.platform.facts import as_settings
from ponddoor.rehearse.day import weight_of
from ponddoor.rehearse.run import READY_WITHIN, Box, Rehearsal, RehearsalError, free_ports
from ponddoor.standins.capacity import Capacity
from ponddoor.standins.platform import Board, Platform, Viewers
from ponddoor.standins.platform import Box as Server

CAN = ("crash", "deploy", "discovery_down", "zone_loss", "hot_key", "balancer_roll", "front_deaths",
       "peer_down", "words_lost", "fast_errors")  # fmt: skip
LIST_LATE = 1.0  # s until the board has what became of a server
NODE = (sys.executable, "-m", "ponddoor.node")


@dataclass(slots=True)
class NodeRehearsal(Rehearsal):
    """The same day and troubles as of fronts; the platform's side lives in this process."""

    board: Board | None = None
    world: Platform | None = None
    viewers: Viewers | None = None
    places: dict[tuple[int, str], tuple[str, int]] = field(default_factory=dict)  # a front's link to a server
    draws: int = 0
    program: tuple[str, ...] = NODE  # what is started as a node; tests start one with a guard taken out
    tree: Path | None = None  # another work tree, whose nodes are played instead of our own

    async def _set_up(self) -> None:
        day = self.day
        odd = {t.kind for t in day.troubles if not t.kind.startswith(("fronts_", "link_"))} - set(CAN)
        if odd:
            raise RehearsalError(f"nodes are not played with {', '.join(sorted(odd))}")
        self.front_ports = [(a, b, 0) for a, b in zip(*[iter(free_ports(2 * day.fronts))] * 2, strict=True)]
        self.world = Platform(day, self.rec, self._whose)
        self.board = Board(self.rec, self._whose, self._at, Capacity(day.answers, day.queue, day.fall))
        self.list_ports = (await self.board.start())[1], 0
        await self._links()
        cells = day.site.facts.plant.cells
        self.boxes = [Box(self._number(), n % cells, 0, 0) for n in range(day.servers)]
        started = time.time_ns() // 1000 if day.cold else 0
        entries = [await self._start_server(box, started) for box in self.boxes]
        self.board.publish(*entries)
        self.viewers = Viewers(
            day, self.world, [("127.0.0.1", viewers) for viewers, _, _ in self.front_ports]
        )
        for me in range(day.fronts):
            self._write_file(me)
        if not day.at_once:
            await asyncio.gather(*(self._start_front(me) for me in range(day.fronts)))
            await asyncio.gather(*(self._until_up(me) for me in range(day.fronts)))

    def _whose(self, port: int) -> int:
        return int(self.network.owner.get(port, "front -1").partition(" ")[2])

    def _at(self, me: int, entry: Entry) -> str:
        host, port = self.places.get((me, entry.address), ("127.0.0.1", 1))
        return f"{host}:{port}"

    async def _start_server(self, box: Box, started_us: int) -> Entry:
        """A server and each front's link to it."""
        assert self.world is not None
        site = self.day.site
        entry = Entry(
            box.number,
            "",
            site.zones[box.cell % len(site.zones)],
            site.kinds[box.cell % len(site.kinds)],
            box.cell,
            "ready",
            weight_of(site, box.cell),
            started_us,
        )
        server = Server(self.day, self.world, entry)
        host, port = await server.start()
        server.entry = msgspec.structs.replace(entry, address=f"{host}:{port}")
        self.world.boxes[box.number] = server
        for me in range(self.day.fronts):
            where = await self.network.stream(f"front {me}", f"server {box.number}", (host, port))
            self.places[(me, server.entry.address)] = where
        return server.entry

    def _write_file(self, me: int) -> None:
        """What node `me` is told at a start: the board's events until now, and a new seed."""
        assert self.board is not None
        site, (viewers, words, _) = self.day.site, self.front_ports[me]
        self.draws += 1
        facts = site.facts_of(me % len(site.fronts))
        settings = as_settings(facts, site.zones, site.kinds)
        settings |= {"me": me, "balancers": self.day.fronts, "zone": self._zone(me)}
        told = {
            "name": f"n{me}",
            "listen": f"127.0.0.1:{viewers}",
            "board": "{}:{}".format(*self.list_links[me]),
            "seed": f"{self.day.seed * 1_000_003 + self.draws * 7919 + me:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
            "known": self.board.known(me),
            "peer_listen": f"127.0.0.1:{words}",
            "peers": ["{}:{}".format(*place) for place in self.word_ports],
        }
        path = self.folder / f"node-{me}.json"
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps(told))
        beside.replace(path)

    async def _start_front(self, me: int) -> None:
        assert self.world is not None
        self.starts += 1
        self.world.epochs[me] = self.world.epochs.get(me, 0) + 1
        self._write_file(me)
        told = {
            "BALANCER_NAME": f"n{me}",
            "BALANCER_LISTEN": f"127.0.0.1:{self.front_ports[me][0]}",
            "BALANCER_CONFIG": str(self.folder / f"node-{me}.json"),
        }
        with (self.folder / f"front-{me}.log").open("ab") as log:
            self.fronts[me] = await asyncio.create_subprocess_exec(
                *self.program,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **told},
                cwd=self.tree,
            )
        self.rec.note("began", front=me)

    async def _until_up(self, me: int) -> None:
        assert self.viewers is not None
        limit = time.monotonic() + READY_WITHIN
        while not await self.viewers.passes(me):
            if time.monotonic() > limit or self.fronts[me].returncode is not None:
                raise RehearsalError(f"front {me} did not come up: see the logs in {self.folder}")
            await asyncio.sleep(0.05)

    async def _kill_front(self, me: int, *how: Any) -> None:
        await Rehearsal._kill_front(self, me, *how)
        if not self.stopping and self.viewers is not None:
            with contextlib.suppress(RehearsalError):
                await self._until_up(me)
                await self.viewers.hand_over(me)

    async def _play_day(self) -> dict[str, Any]:
        assert self.viewers is not None and self.world is not None
        length = self.day.length / SECOND
        begin = time.monotonic() + 0.5
        self.rec.note("day-begins", moment=round(begin * SECOND))
        troubles = [asyncio.create_task(self._trouble(begin, trouble)) for trouble in self.day.troubles]
        playing = asyncio.create_task(self.viewers.run(begin))
        if self.day.at_once:
            await asyncio.gather(*(self._start_front(me) for me in range(self.day.fronts)))
        longest = max(group.setup_timeout for group in self.day.site.facts.groups) / SECOND
        limit = begin + length + longest + 20
        while not playing.done() and time.monotonic() < limit:
            if self.progress is not None:
                self.progress(min(1.0, max(0.0, (time.monotonic() - begin) / length)))
            await asyncio.wait((playing,), timeout=0.2)
        for task in troubles:
            if task.done() and not task.cancelled() and (problem := task.exception()):
                raise RehearsalError(f"a trouble could not be caused: {problem!r}")
            task.cancel()
        if not playing.done():
            playing.cancel()
            raise RehearsalError("the viewers did not finish")
        dead = [me for me, process in self.fronts.items() if process.returncode not in (None, 0, -9)]
        if dead:
            raise RehearsalError(f"fronts ended by themselves: {dead}, see the logs in {self.folder}")
        return playing.result()

    # Troubles that strike the platform

    async def _tell_fronts(self, some: list[int]) -> None:
        """A new configuration moves the board for these: the file is replaced, then SIGHUP goes to all."""
        for me in some:
            there = ("127.0.0.1", self.list_ports[0])
            self.list_links[me] = await self.network.stream(f"front {me}", "list", there)
            self._write_file(me)
        self._signal(some, signal.SIGHUP)

    def _later_publish(self, box: Box, state: str) -> None:
        async def tell() -> None:
            assert self.board is not None
            await asyncio.sleep(LIST_LATE)
            self._publish(box, state)

        self._later(tell())

    def _publish(self, box: Box, state: str) -> None:
        assert self.board is not None and self.world is not None
        server = self.world.boxes[box.number]
        self.board.publish(msgspec.structs.replace(server.entry, state=state))

    async def _crash(self, boxes: list[Box], lasts: float) -> None:
        assert self.world is not None
        for box in boxes:
            self.rec.note("killed", process=f"media {box.number}")
            self.world.boxes[box.number].close()
            self._later_publish(box, "gone")
        await asyncio.sleep(lasts)
        for box in boxes if not self.stopping else ():
            box.number = self._number()
            await self._start_server(box, time.time_ns() // 1000)
            self._later_publish(box, "ready")

    async def _deploy(self, lasts: float, part: float, size: float, drain: float) -> None:
        todo, batch = self._some(part), max(1, round(size * len(self.boxes)))
        batches = [todo[at : at + batch] for at in range(0, len(todo), batch)]
        for boxes in batches:
            begun = time.monotonic()
            for box in boxes:
                self._publish(box, "draining")
            await asyncio.sleep(drain)
            await self._crash(boxes, 0.0)
            await asyncio.sleep(max(0.0, lasts / len(batches) - (time.monotonic() - begun)))

    async def _fault(self, boxes: list[Box], kind: str, lasts: float, size: float, how: str) -> None:
        assert self.world is not None
        if kind != "fast_errors":
            await self._crash(boxes, lasts)
            return
        struck = [self.world.boxes[box.number] for box in boxes]
        self.rec.note("failing", servers=[box.number for box in boxes], part=size)
        for server in struck:
            server.failing = size
        await asyncio.sleep(lasts)
        for server in struck:
            server.failing = 0.0
        self.rec.note("well-again", servers=[box.number for box in boxes])

    async def _order(self, **body: Any) -> None:
        assert self.board is not None
        self.board.fail("refuses" if body["on"] else "")

    async def _stop(self) -> None:
        if self.viewers is not None:
            self.viewers.close()
        await Rehearsal._stop(self)
        if self.world is not None and self.board is not None:
            self.board.close()
            for server in self.world.boxes.values():
                server.close()
