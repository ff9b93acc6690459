"""The server list: learns from heartbeats, late, and pushes numbered versions to the fronts.

Control: discovery_down (out of reach of the fronts), drain and remove of one server."""

import asyncio
import time
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import msgspec
import numpy as np

from ponddoor.audit.records import Recorder
from ponddoor.front.pump import clock
from ponddoor.front.roster import Entry, ListMessage
from ponddoor.settings.site import Site
from ponddoor.standins.capacity import Capacity, Verdict
from ponddoor.web.server import HttpError, Reply, Request, Server, ServerLimits, decode_json_body
from ponddoor.web.timing import within

HISTORY = 1000
SILENT = (2.0, 4.0)  # seconds without a heartbeat, after which a server is listed as gone
RETRY_AFTER = 1  # s, as a list that turns away tells
LATE = (0.3, 1.5)  # seconds until a change is listed


class Beat(msgspec.Struct, frozen=True):
    """A heartbeat."""

    entry: Entry
    asked_kb: float


class Order(msgspec.Struct, frozen=True):
    """What the control socket takes: discovery_down, drain or remove."""

    kind: str
    on: bool = True
    server: int = -1


class ServerList:
    """One list; `start`, then heartbeats and orders."""

    def __init__(
        self,
        site: Site,
        recorder: Recorder,
        seed: int = 1,
        late: tuple[float, float] = LATE,
        capacity: Capacity | None = None,
    ) -> None:
        self.site, self.rec, self.late = site, recorder, late
        self.capacity = capacity or Capacity(0.0)
        self.rng = np.random.default_rng([seed, 77])
        self.list_id, self.version = f"list-{time.time_ns():x}", 1
        self.entries: dict[int, Entry] = {}
        self.changes: list[ListMessage] = []
        self.beats: dict[int, tuple[float, Beat]] = {}
        self.seen: dict[int, int] = {}
        self.draining: set[int] = set()
        self.down = False
        self.news = asyncio.Event()
        self.web = Server(self.handle, ServerLimits(idle_timeout_s=300))
        self.control = Server(
            self.handle_control, ServerLimits(max_connections=20, max_connections_per_address=20)
        )
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int | None = None, control_port: int = 0) -> tuple[int, int]:
        host, own = self.site.listing.address
        got = await self.web.start(host, own if port is None else port)
        self.spawn(self.watch_silence())
        return got, await self.control.start(host, control_port)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await self.web.close()
        await self.control.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def publish(self, *entries: Entry) -> None:
        """List changes at once under a new version."""
        message = ListMessage(self.list_id, self.version + 1, list(entries), self.version)
        self.version += 1
        self.changes = [*self.changes[-HISTORY:], message]
        for entry in entries:
            self.entries[entry.server] = entry
        self.wake()

    async def publish_late(self, entry: Entry) -> None:
        await asyncio.sleep(float(self.rng.uniform(*self.late)))
        if entry.server not in self.draining or entry.state != "ready":
            self.publish(entry)

    async def watch_silence(self) -> None:
        limits: dict[int, float] = {}
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for server, (at, _) in list(self.beats.items()):
                limit = limits.setdefault(server, float(self.rng.uniform(*SILENT)))
                entry = self.entries.get(server)
                if now - at > limit and entry is not None and entry.state != "gone":
                    del limits[server], self.beats[server]
                    self.seen.pop(server, None)
                    self.publish(msgspec.structs.replace(entry, state="gone"))

    async def handle(self, request: Request) -> Reply:
        match request.method, request.path:
            case "POST", ("register",):
                return Reply(200, {"others": self.registered(decode_json_body(request.body, Beat))})
            case "GET", ("servers",) if not self.down:
                return Reply(200, self.whole())
            case "GET", ("watch",):
                query = request.query
                if (turned := await self.borne(int(query.get("front", "0")))) is not None:
                    return turned
                version = int(query.get("version", "0")) if query.get("list") == self.list_id else 0
                return Reply(200, lines=self.lines(int(query.get("front", "0")), version))
            case _ if self.down:
                return Reply(503, close_unanswered=True)
            case _:
                raise HttpError(404, "no-such-resource", "/".join(request.path)[:100])

    async def borne(self, front: int) -> Reply | None:
        """None where the list answers; it slows down, turns away and falls over as its capacity has it."""
        falls = len(self.capacity.falls)
        verdict, takes = (Verdict.FALLEN, 0) if self.down else self.capacity.ask(clock())
        self.rec.note("came", front=front, verdict="refuses" if self.down else verdict.value)
        if len(self.capacity.falls) > falls:
            self.rec.note("list-fell", times=len(self.capacity.falls))
            self.wake()
        if verdict is Verdict.FALLEN:
            return Reply(503, close_unanswered=True)
        if verdict is Verdict.TURNED_AWAY:
            return Reply(503, headers=(("Retry-After", str(RETRY_AFTER)),))
        await asyncio.sleep(takes / 1e6)
        self.rec.note("has-list", front=front, last=self.version)
        return None

    def wake(self) -> None:
        waiting, self.news = self.news, asyncio.Event()
        waiting.set()

    def registered(self, beat: Beat) -> float:
        server = beat.entry.server
        self.beats[server] = (time.monotonic(), beat)
        if self.seen.get(server) != beat.entry.started_us:
            self.seen[server] = beat.entry.started_us
            self.draining.discard(server)
            if beat.entry.started_us == 0:
                self.publish(beat.entry)
            else:
                self.spawn(self.publish_late(beat.entry))
        racks = self.site.facts.plant.racks
        return sum(
            other.asked_kb
            for number, (_, other) in self.beats.items()
            if number != server and other.entry.cell % racks == beat.entry.cell % racks
        )

    def whole(self) -> ListMessage:
        rows = [entry for entry in self.entries.values() if entry.state != "gone"]
        return ListMessage(self.list_id, self.version, rows)

    async def lines(self, front: int, version: int) -> AsyncIterator[bytes]:
        while not self.down and not self.capacity.fallen(clock()):
            waiting = self.news
            if version != self.version:
                first = next((i for i, m in enumerate(self.changes) if m.since == version), None)
                for message in self.changes[first:] if first is not None else [self.whole()]:
                    rows = [[entry.server, entry.state, entry.started_us] for entry in message.servers]
                    self.rec.note(
                        "told", front=front, version=message.version, rows=rows, full=message.since is None
                    )
                    yield msgspec.json.encode(message) + b"\n"
                    version = message.version
                continue
            yield msgspec.json.encode(ListMessage(self.list_id, version, [], beat=True)) + b"\n"
            try:
                await within(1.0, waiting.wait())
            except TimeoutError:
                continue

    async def handle_control(self, request: Request) -> Reply:
        self.order(decode_json_body(request.body, Order))
        return Reply(204)

    def order(self, order: Order) -> None:
        self.rec.note("order", kind=order.kind, on=order.on, server=order.server)
        if order.kind == "discovery_down":
            self.down = order.on
            self.wake()
            return
        entry = self.entries.get(order.server)
        if entry is None:
            raise HttpError(404, "no-such-server", str(order.server))
        state = "draining" if order.kind == "drain" else "gone"
        self.draining.add(order.server)
        if state == "gone":
            self.beats.pop(order.server, None)
            self.publish(msgspec.structs.replace(entry, state=state))
        else:
            self.spawn(self.publish_late(msgspec.structs.replace(entry, state=state)))
