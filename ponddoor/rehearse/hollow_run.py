"""A day with hollow fronts beside real ones: starts them in groups, strikes by place, counts their words.

Hollow fronts send to one another directly, with the faults put on at their own sockets; words to and from
real fronts pass the relay as ever. What is started is ended by number, also when the run is interrupted."""

import asyncio
import random
import signal
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from ponddoor.audit.records import read
from ponddoor.capacity.records import Record
from ponddoor.decide import GOSSIP_PERIOD_TARGETS
from ponddoor.front.pump import clock
from ponddoor.rehearse import hollow_table as tables
from ponddoor.rehearse.day import SECOND, Trouble
from ponddoor.rehearse.hollow_process import FaultRow, Order
from ponddoor.rehearse.hollow_table import Happened, Seen
from ponddoor.rehearse.reckoning import EACH, LEFT_MB, check, machine, used_mb
from ponddoor.rehearse.relay import Fault, Network, Rule
from ponddoor.rehearse.run import Box, Rehearsal, RehearsalError, Result, free_ports
from ponddoor.settings.sexpr import Node, write
from ponddoor.standins.media import Fault as ServerFault
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.timing import within

HOLLOW = -2  # the site as hollow fronts see it
GROUP = 6  # processes that come up at a time
AFTER = 60.0  # s after the day, when hollow processes end by themselves
EARLY = 0.5  # s before the day's end, when the count ends: then all viewers leave at once
LATEST = 400.0  # s until the day begins, at most


@dataclass(slots=True)
class _Process:
    """A process of hollow fronts: which, and where it takes orders."""

    first: int
    count: int
    control: int
    without: str = ""
    process: asyncio.subprocess.Process | None = None


@dataclass(slots=True)
class HollowRehearsal(Rehearsal):
    """A day of real and hollow fronts; numbers from `day.fronts` on are hollow."""

    hollow_ports: list[int] = field(default_factory=list)
    processes: list[_Process] = field(default_factory=list)
    events: list[Happened] = field(default_factory=list)
    struck: set[int] = field(default_factory=set)  # fronts that were killed, stopped or moved
    first: list[Seen] = field(default_factory=list)
    last: list[Seen] = field(default_factory=list)
    cost: dict[str, float] = field(default_factory=dict)
    found: tables.Agreement = field(default_factory=tables.Agreement)
    sides: tuple[list[tables.Span], list[tables.Span]] = field(default_factory=lambda: ([], []))
    each: int = EACH  # hollow fronts a process
    without: tuple[str, ...] = ()  # kinds of words that the processes leave out in turn, to see it found
    all_spans: list[tables.Span] = field(default_factory=list)  # those that were struck among them
    most_mb: float = 0.0
    ended_by: str = ""
    begin: float | None = None
    cut: set[int] = field(default_factory=set)  # fronts of places that were cut off
    changes: list[tuple[int, int, int, bool]] = field(default_factory=list)  # (at, front, other, dead)
    end: int = 0  # us, when the count ended
    fronts_down: set[int] = field(default_factory=set)  # hollow ones that do not live now

    async def play(self) -> Result:
        """Play the day. Raises TooLargeError before anything is started where the machine can't bear it,
        and CancelledError when told to end by SIGINT or SIGTERM, once all that was started has ended."""
        need = check(self.day, machine())
        self.cost["processes reckoned"], self.cost["memory reckoned, MB"] = need.processes, need.memory_mb
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        watching = asyncio.create_task(self._watch_memory(task, need.memory_mb))
        try:
            result = await Rehearsal.play(self)
        except asyncio.CancelledError:
            if self.ended_by:
                raise RehearsalError(self.ended_by) from None
            raise
        finally:
            watching.cancel()
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(number)
        self._reckon()
        if result.config is not None:  # a run on a machine that was too busy is known by this
            late = self.cost.get("hollow: loop, share of time late", 0.0)
            result.config.figures["config.loops-late"] = late, "share of time, hollow processes"
        result.hollow = tables.lines(self.found, *self.sides, self.cost)
        result.hollow_dict = tables.as_dict(self.found, self.cost)
        return result

    async def _watch_memory(self, playing: asyncio.Task[Any], reckoned: float) -> None:
        """Guards against a reckoning that was wrong: a run that takes too much ends itself."""
        half = machine().memory_mb / 2
        while True:
            await asyncio.sleep(1)
            used, has = used_mb(self._numbers()), machine()
            self.most_mb = max(self.most_mb, used)
            if used > half or has.free_mb < LEFT_MB / 2:
                self.ended_by = (
                    f"{self.day.name}: {used:.0f} MB are used, {reckoned:.0f} were reckoned, half of the "
                    f"machine is {half:.0f}, {has.free_mb:.0f} are free: ended"
                )
                playing.cancel()
                return

    def _numbers(self) -> list[int]:
        """The numbers of all processes that run now."""
        some = [*self.fronts.values(), *self.others, *(box.process for box in self.boxes if box.process)]
        return [process.pid for process in some if process.returncode is None]

    # Start

    @property
    def _all(self) -> int:
        return self.day.fronts + self.day.hollow

    async def _links(self) -> None:
        await Rehearsal._links(self)
        processes = -(-self.day.hollow // self.each)
        ports = free_ports(self.day.hollow + processes)
        self.hollow_ports = [ports.pop() for _ in range(self.day.hollow)]
        for at, port in enumerate(self.hollow_ports):
            name = f"front {self.day.fronts + at}"
            self.word_ports.append(await self.network.post(name, ("127.0.0.1", port)))
        for at in range(processes):
            count, first = min(self.each, self.day.hollow - at * self.each), self.day.fronts + at * self.each
            without = self.without[at % len(self.without)] if self.without else ""
            self.processes.append(_Process(first, count, ports.pop(), without))
        (self.folder / f"site-{HOLLOW}.pond").write_text(write([self._site(HOLLOW)]))

    def _front_forms(self, me: int) -> list[Node]:
        """Real fronts are known at the relay; hollow ones too, but to one another."""
        made = Rehearsal._front_forms(self, me)
        for at, port in enumerate(self.hollow_ports):
            front = self.day.fronts + at
            told = ("127.0.0.1", port) if me == HOLLOW else self.word_ports[front]
            made.append(self._front_form(front, 0, told, 0))
        return made

    def _bears(self) -> tuple[str, ...]:
        return "--part", repr(self.day.fronts / self._all)

    async def _start_boxes(self) -> None:
        for at in range(0, len(self.boxes), GROUP):
            some = self.boxes[at : at + GROUP]
            await asyncio.gather(*(self._start_box(box, warm=True) for box in some))
            await self._until(partial(self._listed, at + len(some)), "the media servers")

    async def _listed(self, count: int) -> bool:
        got = await self._get(self.list_ports[0], "/servers")
        return got is not None and len(msgspec.json.decode(got)["servers"]) >= count

    async def _start_fronts(self) -> None:
        until = time.monotonic() + LATEST + self.day.length / SECOND + AFTER
        for at in range(0, len(self.processes), GROUP):
            some = self.processes[at : at + GROUP]
            for one in some:
                one.process = await self._spawn_hollow(one, until)
            for one in some:
                await self._until(partial(self._hollow_ready, one), f"hollow fronts from {one.first}")
        for at in range(0, self.day.fronts, GROUP):
            numbers = range(at, min(at + GROUP, self.day.fronts))
            for me in numbers:
                await self._start_front(me)
            for me in numbers:
                await self._until(partial(self._front_up, me), f"front {me}")
        for one in self.processes:  # all are there: words find their hearers
            await self._tell(one, Order("start", fronts=list(range(one.first, one.first + one.count))))

    async def _spawn_hollow(self, one: _Process, until: float) -> asyncio.subprocess.Process:
        name = f"hollow-{one.first}"
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ponddoor.cli", "standin", "hollow", "--site",
                str(self.folder / f"site-{HOLLOW}.pond"), "--day", str(self.folder / "day.json"),
                "--first", str(one.first), "--count", str(one.count), "--control", str(one.control),
                "--until", repr(until), "--out", str(self.folder / f"{name}.json"),
                *(["--without", one.without] if one.without else []),
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        self.others.append(process)
        return process

    async def _hollow_ready(self, one: _Process) -> bool:
        got = await self._get(one.control, "/ready")
        return got is not None and msgspec.json.decode(got)["listed"] >= self.day.servers

    async def _tell(self, one: _Process, order: Order) -> None:
        """Give an order. Raises RehearsalError where it is not taken."""
        pool = Pool("127.0.0.1", one.control, 1, 2.0)
        try:
            answer = await pool.request("POST", "/order", msgspec.to_builtins(order, str_keys=True), 20.0)
            if answer.status != 204:
                problem = f"did not take {order.kind}: {answer.body!r}"
                raise RehearsalError(f"hollow fronts from {one.first} {problem}")
        except (NotSentError, BrokenError, LateError) as problem:
            raise RehearsalError(f"hollow fronts from {one.first} do not answer: {problem!r}") from None
        finally:
            pool.close()

    async def _tell_all(self, order: Order) -> None:
        await asyncio.gather(*(self._tell(one, order) for one in self.processes))

    # The day

    async def _play_day(self) -> dict[str, Any]:
        """As without hollow fronts, whose viewers begin in the same moment."""
        counting = asyncio.create_task(self._count())
        try:
            players = await Rehearsal._play_day(self)
            await within(AFTER, counting)
        except TimeoutError:
            raise RehearsalError("the fronts did not tell what they said") from None
        finally:
            counting.cancel()
        return players

    async def _begins(self, begin: float) -> None:
        await self._tell_all(Order("begin", moment=round(begin * SECOND)))
        self.begin = begin

    async def _count(self) -> None:
        """What all have said at the begin and the end of the count."""
        while self.begin is None:
            await asyncio.sleep(0.05)
        first, last = (self.begin + moment / SECOND for moment in self.day.count)
        whole = self.begin + self.day.length / SECOND - EARLY
        await asyncio.sleep(max(0.0, first - time.monotonic()))
        self.first = await self._seen()
        await asyncio.sleep(max(0.0, min(last, whole) - time.monotonic()))
        self.last = await self._seen()
        await asyncio.sleep(max(0.0, whole - time.monotonic()))
        self.end = clock()
        await asyncio.gather(*(self._take_told(one) for one in self.processes))

    async def _seen(self) -> list[Seen]:
        """What every front that lives has said until now."""
        seen: list[Seen] = []
        keepers: set[int] = set()
        for me in range(self.day.fronts):
            got = await self._get(self.front_ports[me][2], "/fleet")
            if got is None:
                continue
            told = msgspec.json.decode(got)
            keepers |= {one for group in told["groups"].values() for one in group["keepers"]}
            seen.append(Seen(me, told["life"], told["at_us"], told["words"]["out"], told["words"]["in"],
                             me in keepers, told["processor_s"]))  # fmt: skip
        for one in self.processes:
            told = await self._told(one)
            cost = told["processor_s"] / one.count
            for name, front in told["fronts"].items():
                keeps = bool(front["keeps"])
                seen.append(Seen(int(name), 0, front["at_us"], front["out"], front["in"], keeps, cost))
        return seen

    async def _told(self, one: _Process) -> dict[str, Any]:
        pool = Pool("127.0.0.1", one.control, 1, 2.0, max_body_bytes=200_000_000)
        try:
            answer = await pool.request("GET", "/told", timeout=30.0)
            told: dict[str, Any] = msgspec.json.decode(answer.body)
            return told
        except (NotSentError, BrokenError, LateError) as problem:
            raise RehearsalError(f"hollow fronts from {one.first} do not answer: {problem!r}") from None
        finally:
            pool.close()

    async def _take_told(self, one: _Process) -> None:
        told = await self._told(one)
        self.changes += [(at, front, other, dead) for at, front, other, dead in told["changes"]]
        figures = {
            "loop, most late, ms": told["late_ms"],
            "loop, share of time late": told["late"],
            "changes not kept": told["dropped"],
        }
        for name, figure in figures.items():
            self.cost[f"hollow: {name}"] = max(self.cost.get(f"hollow: {name}", 0), figure)

    # Troubles

    def _made_network(self) -> Network:
        return _Watched(self.rec.note, random.Random(self.day.seed), changed=self._push_faults)

    def _push_faults(self) -> None:
        """The faults between fronts have changed: every hollow process has the new table."""
        rows = []
        for rule in self.network.rules:
            source, target = self._numbered(rule.source), self._numbered(rule.target)
            if source and target:
                fault = rule.fault
                rows.append(FaultRow(source, target, fault.cut or fault.stall, fault.loss, fault.delay))
        if not self.stopping:
            self._later(self._tell_all(Order("faults", faults=rows)))

    def _numbered(self, parties: frozenset[str]) -> list[int]:
        """The fronts among parties; none named: all."""
        if not parties:
            return list(range(self._all))
        return [int(name.removeprefix("front ")) for name in parties if name.startswith("front ")]

    def _parties(self, kind: str) -> set[str]:
        if kind != "fronts":
            return Rehearsal._parties(self, kind)
        return {f"front {me}" for me in range(self._all)}

    def _up(self) -> list[int]:
        """The fronts that live, real and hollow ones mixed."""
        hollow = [me for me in range(self.day.fronts, self._all) if me not in self.fronts_down]
        some = [*Rehearsal._up(self), *hollow]
        random.Random(self.day.seed).shuffle(some)
        return some

    def _pids(self) -> dict[str, int]:
        held = [(one.first, one.process) for one in self.processes if one.process is not None]
        hollow = {f"hollow {first}": process.pid for first, process in held if process.returncode is None}
        return Rehearsal._pids(self) | hollow

    def _real(self, fronts: Iterable[int]) -> list[int]:
        return [me for me in fronts if me < self.day.fronts]

    async def _order_fronts(
        self, kind: str, fronts: Iterable[int], ports: dict[int, int] | None = None
    ) -> None:
        """An order to the processes that hold these hollow fronts."""
        some = set(fronts)
        for one in self.processes:
            mine = [me for me in range(one.first, one.first + one.count) if me in some]
            if mine:
                await self._tell(one, Order(kind, fronts=mine, ports=ports or {}))

    def _signal(self, fronts: list[int], number: signal.Signals) -> None:
        self.struck |= set(fronts)
        Rehearsal._signal(self, self._real(fronts), number)
        orders = {signal.SIGSTOP: "stop", signal.SIGCONT: "go", signal.SIGTERM: "kill"}
        if number in orders:
            self._later(self._order_fronts(orders[number], [me for me in fronts if me >= self.day.fronts]))

    async def _kill_front(self, me: int, down: float, number: signal.Signals = signal.SIGKILL) -> None:
        self.struck.add(me)
        if me < self.day.fronts:
            await Rehearsal._kill_front(self, me, down, number)
            return
        await self._kill_hollow([me])
        await asyncio.sleep(down)
        await self._start_hollow([me])

    async def _kill_hollow(self, fronts: list[int]) -> None:
        self.fronts_down |= set(fronts)
        await self._order_fronts("kill", fronts)

    async def _start_hollow(self, fronts: list[int], moved: bool = False) -> None:
        if self.stopping or not fronts:
            return
        ports = dict(zip(fronts, free_ports(len(fronts)), strict=True)) if moved else None
        await self._order_fronts("start", fronts, ports)
        self.fronts_down -= set(fronts)

    async def _trouble(self, begin: float, trouble: Trouble) -> None:
        if not trouble.kind.startswith("place_") and trouble.kind != "balancer_roll":
            await Rehearsal._trouble(self, begin, trouble)
            return
        await asyncio.sleep(max(0.0, begin + trouble.at / SECOND - time.monotonic()))
        if trouble.kind == "balancer_roll":
            await self._roll(trouble.length / SECOND, trouble.figures["part"], trouble.figures["down"])
            return
        place, _, way = trouble.how.partition("-")
        groups = self.day.layout.groups(place, self._all)
        which = int(trouble.figures["which"])
        which = int(self.rng.integers(len(groups))) if which < 0 else which
        fronts, lasts, kind = groups[which], trouble.length / SECOND, trouble.kind.removeprefix("place_")
        name = f"{kind} {trouble.how} {which} ({len(fronts)} fronts)"
        self.rec.note("trouble", kind=trouble.kind, place=trouble.how, which=which, fronts=fronts)
        (self.cut if kind == "cut" else self.struck).update(fronts)
        hollow = [me for me in fronts if me >= self.day.fronts]
        match kind:
            case "killed" | "moved":
                self._happened(name, fronts, True)
                for me in self._real(fronts):
                    self._kill(f"front {me}", self.fronts[me])
                await self._kill_hollow(hollow)
                await asyncio.sleep(lasts)
                if self.stopping:
                    return
                self._happened(name, fronts, False)
                for me in self._real(fronts):
                    await self.fronts[me].wait()
                    if kind == "moved":
                        self._move(me)
                    await self._start_front(me)
                await self._start_hollow(hollow, kind == "moved")
            case "stopped":
                self._happened(name, fronts, True)
                self._signal(fronts, signal.SIGSTOP)
                await asyncio.sleep(lasts)
                self._happened(name, fronts, False)
                self._signal(fronts, signal.SIGCONT)
            case "cut":
                mine = {f"front {me}" for me in fronts}
                theirs = (self._parties("fronts") - mine) | self._parties("instances")
                source, target = (theirs, mine) if way == "in" else (mine, theirs)
                self._happened(name, fronts, True)
                rules = self.network.put(source, target, Fault(cut=True), both=not way)
                await asyncio.sleep(lasts)
                self._happened(name, fronts, False)
                self.network.lift(rules)

    async def _roll(self, lasts: float, part: float, down: float) -> None:
        """Fronts are restarted at an even pace, as many at a time as the time wants."""
        some = self._up()
        count = max(1, round(part * len(some)))
        self.rec.note("trouble", kind="balancer_roll", fronts=some[:count])
        begun = time.monotonic()
        for at, me in enumerate(some[:count]):
            await asyncio.sleep(max(0.0, begun + at * lasts / count - time.monotonic()))
            self._later(self._kill_front(me, down))

    def _move(self, me: int) -> None:
        """A real front begins anew with its words at another address, of which the others are not told."""
        viewers, _, metrics = self.front_ports[me]
        self.front_ports[me] = (viewers, free_ports(1)[0], metrics)
        (self.folder / f"site-{me}.pond").write_text(write([self._site(me)]))

    def _happened(self, name: str, fronts: list[int], dead: bool) -> None:
        self.events.append(Happened(name, clock(), frozenset(fronts), dead))

    # Servers

    def _kill(self, what: str, process: asyncio.subprocess.Process | None) -> None:
        Rehearsal._kill(self, what, process)
        if what.startswith("media "):
            self._later(self._tell_all(Order("down", servers=[int(what.removeprefix("media "))])))

    async def _fault(self, boxes: list[Box], kind: str, lasts: float, size: float, how: str) -> None:
        async def tell(on: bool) -> None:
            struck = ServerFault(kind, on, size, how)
            await self._tell_all(Order("fault", servers=[box.number for box in boxes], fault=struck))

        async def both() -> None:
            await tell(True)
            await asyncio.sleep(lasts)
            await tell(False)

        await asyncio.gather(Rehearsal._fault(self, boxes, kind, lasts, size, how), both())

    # What it brought

    def _reckon(self) -> None:
        """The table of the run, from what all have told and the records of the real fronts."""
        rows, _ = read(self.folder)
        for row in rows:
            if row["what"] == "stands" and row["who"].startswith("front "):
                front = int(row["who"].removeprefix("front "))
                self.changes.append((row["at"], front, row["front"], row["dead"]))
        self.changes.sort()
        self.all_spans = tables.spans(self.first, self.last)
        made = [span for span in self.all_spans if span.front not in self.struck]
        real = [span for span in made if span.front < self.day.fronts]
        hollow = [span for span in made if span.front >= self.day.fronts]
        self.sides = (real, hollow)
        lived = frozenset(range(self._all)) - self.struck - self.cut
        period = (
            GOSSIP_PERIOD_TARGETS * min(group.start_target for group in self.day.site.facts.groups) / SECOND
        )
        learned = tables.knowledge(self.events, self.changes, lived, self.day.fronts, self.end)
        self.found = tables.agreement(real, hollow, learned, period)
        for name, side in (("real", real), ("hollow", hollow)):
            spent, seconds = sum(span.cost for span in side), sum(span.seconds for span in side)
            self.cost[f"{name}: processor, share of a core a front"] = spent / max(seconds, 1e-9)
        self.cost["fronts"] = self._all
        self.cost["memory of all processes, most, MB"] = self.most_mb
        self.cost["the rehearsal itself, most late, ms"] = self.late / 1000

    def records(self, commit: str, command: str, repetition: int) -> list[Record]:
        """The figures of the run that was played, by a command."""
        run = tables.Run(self.day.name, self.day.seed, commit, command, repetition)
        return tables.records(run, self.all_spans, self.sides, self.found, self.cost)


class _Watched(Network):
    """A network that tells when its faults change."""

    def __init__(self, note: Callable[..., None], rng: random.Random, changed: Callable[[], None]) -> None:
        super().__init__(note, rng)
        self.changed = changed

    def put(self, source: set[str], target: set[str], fault: Fault, both: bool = True) -> list[Rule]:
        made = Network.put(self, source, target, fault, both)
        self.changed()
        return made

    def lift(self, made: list[Rule]) -> None:
        Network.lift(self, made)
        self.changed()
