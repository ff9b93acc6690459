"""Many hollow fronts in one process: the list that they follow, the faults between them, and the control.

The rehearsal gives orders (`Order`) and asks what there is to tell, both as JSON on a port of its own. The
process ends by itself at its last moment, whatever becomes of the rehearsal."""

import asyncio
import random
import resource
import signal
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ponddoor.front.limits import SAMPLE_PERIOD_US, LagMeter
from ponddoor.front.pump import SECOND, clock
from ponddoor.front.roster import GapError, Roster, decode
from ponddoor.front.words import wall_clock_us
from ponddoor.interface import events as ev
from ponddoor.rehearse.day import Day
from ponddoor.rehearse.hollow_following import Followers
from ponddoor.rehearse.hollow_front import HollowFront
from ponddoor.rehearse.hollow_servers import PretendedServer
from ponddoor.settings.site import Site
from ponddoor.standins.media import Fault
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.server import HttpError, Reply, Request, Server, ServerLimits, decode_json_body

LATE = 80_000  # us, about what a front waits for another's answer
MOST_CHANGES = 500_000  # of who stands how, that are kept to be told
RACKS_EVERY = 0.2  # s, after which servers learn what the rest of their rack is asked
BODY = 2_000_000  # bytes of an order
log = structlog.get_logger("hollow")


class FaultRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault on words from any of `source` to any of `target`. Delay in seconds, drawn between both."""

    source: list[int]
    target: list[int]
    cut: bool = False
    loss: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the rehearsal wants: `begin` (moment, us of the monotonic clock), `kill`, `stop`, `go`, `start`
    (fronts, with their ports where these are others), `faults` (all), `down` and `fault` (of servers)."""

    kind: str
    fronts: list[int] = []
    ports: dict[int, int] = {}
    moment: int = 0
    faults: list[FaultRow] = []
    servers: list[int] = []
    fault: Fault | None = None


@dataclass(frozen=True, slots=True)
class Rule:
    """A fault in force between hollow fronts."""

    source: frozenset[int]
    target: frozenset[int]
    cut: bool
    loss: float
    delay: tuple[float, float]


@dataclass(slots=True)
class HollowProcess:
    """The fronts `mine` of a day, of which the first `day.fronts` are real."""

    site: Site
    day: Day
    mine: tuple[int, ...]
    until: float  # s, of the monotonic clock
    followers: Followers | None = None  # of the configuration
    lag: LagMeter = field(default_factory=lambda: LagMeter(clock() + SAMPLE_PERIOD_US))
    fronts: dict[int, HollowFront] = field(default_factory=dict)
    pretended: dict[int, PretendedServer] = field(default_factory=dict)
    rules: tuple[Rule, ...] = ()
    without: str = ""  # a kind of word that the fronts here leave out
    changes: list[tuple[int, int, int, bool]] = field(default_factory=list)  # (at, front, other, dead)
    dropped: int = 0
    late: int = 0  # us, the most since the viewers began
    late_sum: int = 0  # us, of all moments that were later than LATE
    began: int = 0  # us, when the viewers began
    over: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _rng: random.Random = field(default_factory=lambda: random.Random(1))
    _listed: asyncio.Event = field(default_factory=asyncio.Event)
    _control: Server = field(init=False)
    roster: Roster = field(init=False)

    def __post_init__(self) -> None:
        self._control = Server(
            self.handle, ServerLimits(max_connections=20, max_connections_per_address=20, max_body_bytes=BODY)
        )
        self.roster = Roster(
            self.site.zones, self.site.kinds, self.site.facts.plant.cells, clock() - wall_clock_us()
        )
        self._rng = random.Random(self.day.seed * 1000 + (self.mine[0] if self.mine else 0))
        self.fronts = {me: HollowFront(self, me) for me in self.mine}

    async def run(self, control: int, out: Path | None = None) -> None:
        """Serve until told to end, or the last moment. Raises OSError where an address can't be had."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.over.set)
        await self._control.start("127.0.0.1", control)
        loop.call_later(max(0.0, self.until - time.monotonic()), self.over.set)
        self._tasks = [asyncio.create_task(work) for work in (self._follow(), self._sample(), self._racks())]
        try:
            await self.over.wait()
        finally:
            if out is not None:
                out.write_bytes(msgspec.json.encode(self.told()))
            for task in self._tasks:
                task.cancel()
            for front in self.fronts.values():
                front.close()
            for server in self.pretended.values():
                server.end_all()
            await self._control.close()

    # What the fronts find round them

    def server(self, number: int) -> PretendedServer | None:
        return self.pretended.get(number)

    def servers(self) -> list[PretendedServer]:
        return list(self.pretended.values())

    def rows(self) -> tuple[ev.ServerRow, ...]:
        return self.roster.rows()

    def passes(self, source: int, target: int) -> float | None:
        """How long a word takes, in seconds; None: it is lost. Words to real fronts meet faults elsewhere."""
        if not self.rules or target < self.day.fronts:
            return 0.0
        wait = 0.0
        for rule in self.rules:
            if source in rule.source and target in rule.target:
                if rule.cut or (rule.loss and self._rng.random() < rule.loss):
                    return None
                wait = max(wait, self._rng.uniform(*rule.delay) if rule.delay[1] else 0.0)
        return wait

    def changed(self, front: int, other: int, dead: bool) -> None:
        if len(self.changes) >= MOST_CHANGES:
            self.dropped += 1
            return
        self.changes.append((clock(), front, other, dead))

    # The list

    async def _follow(self) -> None:
        """One connection to the list for all fronts here; each is told as if it had its own."""
        host, port = self.site.listing.address
        silence = self.site.listing.silence / SECOND
        while True:
            pool = Pool(host, port, 2, 1.0, 5.0, max_body_bytes=50_000_000)
            path = f"/watch?front={self.mine[0]}&list={self.roster.list_id}&version={self.roster.version}"
            try:
                async for line in pool.stream_lines(path, silence, 50_000_000):
                    self._take(line)
            except GapError:
                self.roster.list_id, self.roster.version = "", 0
            except (BrokenError, LateError, NotSentError, msgspec.MsgspecError) as problem:
                log.warning("list-out-of-reach", why=str(problem))
            finally:
                pool.close()
            await asyncio.sleep(0.2)

    def _take(self, line: bytes) -> None:
        change = self.roster.take(decode(line))
        if change is None:
            return
        self._listed.set()
        part = len(self.mine) / (self.day.fronts + self.day.hollow)
        for entry in change.entries:
            number = entry.server
            held = self.pretended.get(number)
            if held is None:
                made = PretendedServer(self.site, entry, self.day.seed, part, self.noted, self.stream_over)
                self.pretended[number] = made
                made.begin()
            else:
                held.listed(entry)
        for number in change.gone:
            if number in self.pretended:
                self.pretended.pop(number).end_all()
                self._lost(number)
        for front in self.fronts.values():
            front.news(ev.NewsScope.CHANGES, change.rows)

    def noted(self, server: int, kind: ev.NoteKind, value: float) -> None:
        for front in self.fronts.values():
            if (life := front.life) is not None:
                front.apply(lambda now, engine=life.engine: engine.server_note(now, server, kind, value))  # type: ignore[misc]

    def stream_over(self, front: int, sess: str, attempt: int) -> None:
        self.fronts[front].stream_over(sess)

    def _lost(self, server: int) -> None:
        """Connections to a server broke and nothing listens there: its sessions are over."""
        for front in self.fronts.values():
            if (life := front.life) is not None:
                front.apply(lambda now, engine=life.engine: engine.server_lost(now, server))  # type: ignore[misc]

    async def _racks(self) -> None:
        racks = self.site.facts.plant.racks
        while True:
            await asyncio.sleep(RACKS_EVERY)
            asked: dict[int, float] = {}
            for server in self.pretended.values():
                rack = server.entry.cell % racks
                asked[rack] = asked.get(rack, 0.0) + server.asked()
            for server in self.pretended.values():
                server.rack_others = asked[server.entry.cell % racks] - server.asked()

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(max(self.lag.due - clock(), 0) / SECOND)
            late = self.lag.tick(clock())
            self.late, self.late_sum = max(self.late, late), self.late_sum + (late if late > LATE else 0)

    # Orders

    async def handle(self, request: Request) -> Reply:
        match request.method, request.path:
            case "GET", ("told",):
                return Reply(200, self.told())
            case "GET", ("ready",):
                return Reply(200, {"listed": len(self.roster.entries), "lives": self._lives()})
            case "POST", ("order",):
                await self.order(decode_json_body(request.body, Order))
                return Reply(204)
            case _:
                raise HttpError(404, "no-such-resource", "GET /told and /ready, POST /order")

    def _lives(self) -> int:
        return sum(front.life is not None for front in self.fronts.values())

    async def order(self, order: Order) -> None:
        """Carry out an order. Raises HttpError for what is unknown."""
        fronts = [self.fronts[me] for me in order.fronts if me in self.fronts]
        match order.kind:
            case "start":
                for front in fronts:
                    if front.life is None:
                        await front.start(order.ports.get(front.me))
            case "begin":
                self.late, self.late_sum, self.began = 0, 0, clock()
                _each(self.fronts.values(), lambda front: front.open(order.moment))
            case "kill":
                _each(fronts, HollowFront.kill)
            case "stop":
                _each(fronts, HollowFront.stop)
            case "go":
                _each(fronts, HollowFront.go)
            case "faults":
                self.rules = tuple(
                    Rule(frozenset(row.source), frozenset(row.target), row.cut, row.loss, row.delay)
                    for row in order.faults
                )
            case "down":
                for number in order.servers:
                    if (server := self.pretended.get(number)) is not None:
                        server.down()
                        self._lost(number)
            case "fault" if order.fault is not None:
                for number in order.servers:
                    if (server := self.pretended.get(number)) is not None:
                        server.struck(order.fault)
            case _:
                raise HttpError(422, "no-such-order", order.kind[:100])

    def told(self) -> dict[str, Any]:
        """Of each front its words by kind; what all took each other for; what the process cost."""
        return {
            "fronts": {str(me): front.told() for me, front in self.fronts.items()},
            "changes": self.changes,
            "dropped": self.dropped,
            "at_us": clock(),
            "processor_s": time.process_time(),
            "memory_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            "late_ms": self.late / 1000,
            "late": self.late_sum / max(clock() - self.began, 1),
        }


def _each(fronts: Iterable[HollowFront], call: Callable[[HollowFront], None]) -> None:
    for front in fronts:
        call(front)
