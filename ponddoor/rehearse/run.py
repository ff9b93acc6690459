"""Plays a day: fronts, media servers, list and players as processes of their own on free loopback ports."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from ponddoor.audit.records import Recorder, read
from ponddoor.audit.rules import SLACK, Account, Breach, audit
from ponddoor.audit.seats import SeatsSeen, seats_seen
from ponddoor.rehearse.changes import Planned, plan
from ponddoor.rehearse.day import SECOND, Day, Trouble, weight_of
from ponddoor.rehearse.followed import Followed, followed
from ponddoor.rehearse.hollow_following import FOLLOWS
from ponddoor.rehearse.instances import SETTLED_WITHIN, Instances, InstancesError, knows_title
from ponddoor.rehearse.relay import Fault, Network
from ponddoor.rehearse.sums import sums
from ponddoor.settings.sexpr import Listing, Node, form, word, write
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.timing import within

READY_WITHIN = 60.0
OWN = -1  # the site as the stand-ins see it: past the relay
FAULTS = ("vanish", "slow", "hang", "fast_errors", "neighbour", "report_late", "answer_lost", "hint_lies",
          "hint_late", "hint_stuck")  # fmt: skip


class RehearsalError(Exception):
    """A rehearsal that could not be played: a process did not start or ended before its time."""


@dataclass(slots=True)
class Box:
    """A media server's place: its number, cell and addresses, and the process that runs there."""

    number: int
    cell: int
    port: int
    control: int
    process: asyncio.subprocess.Process | None = None


@dataclass(slots=True)
class Result:
    """What a rehearsal brought."""

    day: str
    seed: int
    decisions: str
    players: dict[str, Any]
    breaches: list[Breach]
    left_out: list[str]
    setups: dict[str, int]
    fell: int
    folder: Path
    seats: SeatsSeen | None = None
    sums: dict[str, float] = field(default_factory=dict)  # what reached the list and the servers
    config: Followed | None = None  # how fronts followed the configuration
    hollow: list[str] = field(default_factory=list)  # the table of hollow fronts, for people
    hollow_dict: dict[str, Any] = field(default_factory=dict)  # and for scripts

    @property
    def whole(self) -> float:
        return float(self.players["whole"])

    @property
    def worst_window(self) -> float:
        return float(min(self.players["windows"]))

    @property
    def worst_group(self) -> float:
        return float(min(self.players["groups"].values()))


_GUARDS: list[socket.socket] = []  # each holds the first port of a block that is ours while we live
_BLOCK = 64
_left: dict[int, deque[int]] = {}  # by process: the ports of its blocks that were not handed out yet


def free_ports(count: int) -> list[int]:
    """Ports on loopback that nothing holds now, outside the range the kernel hands out by itself.

    Guards against two rehearsals at once that find the same ports: each takes whole blocks, and holds one
    port of a block for as long as it lives. What a call leaves of a block the next one takes, but never a
    process that was forked meanwhile: it has blocks of its own. Raises RehearsalError where there are not
    enough."""
    left = _left.setdefault(os.getpid(), deque())
    found: list[int] = []
    blocks: list[int] | None = None
    while len(found) < count:
        if not left:
            if blocks is None:
                blocks = list(range(12_000, 32_000, _BLOCK))
                random.SystemRandom().shuffle(blocks)
            left.extend(_block_of(blocks))
        port = left.popleft()
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            found.append(port)
    return found


def _block_of(blocks: list[int]) -> range:
    """The ports of the next block that nobody has. Raises RehearsalError."""
    while blocks:
        first, guard = blocks.pop(), socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        _GUARDS.append(guard)
        return range(first + 1, first + _BLOCK)
    raise RehearsalError("not enough free ports")


@dataclass(slots=True)
class Rehearsal:
    """One day in one folder. `progress` is told the part that has passed."""

    day: Day
    folder: Path
    decisions: str = "ponddoor"
    progress: Callable[[float], None] | None = None
    trace: bool = False
    starts: int = 0
    boxes: list[Box] = field(default_factory=list)
    fronts: dict[int, asyncio.subprocess.Process] = field(default_factory=dict)
    others: list[asyncio.subprocess.Process] = field(default_factory=list)
    front_ports: list[tuple[int, int, int]] = field(default_factory=list)
    list_ports: tuple[int, int] = (0, 0)
    list_links: list[tuple[str, int]] = field(default_factory=list)  # where each front finds the list
    stopping: bool = False
    late: int = 0  # us
    next_number: int = 1000
    rng: np.random.Generator = field(default_factory=np.random.default_rng)
    rec: Recorder = field(default_factory=lambda: Recorder(None, "rehearse"))
    network: Network = field(default_factory=Network)
    word_ports: list[tuple[str, int]] = field(default_factory=list)  # under which all know each front
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    instances: Instances | None = None
    follows: dict[int, list[tuple[str, int]]] = field(default_factory=dict)  # where a front finds instances

    async def play(self) -> Result:
        """Play the day to its end. Raises RehearsalError where a process fails that should not."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if any(self.folder.glob("*.rec")):
            raise RehearsalError(f"{self.folder} holds records of another run")
        self.rng = np.random.default_rng([self.day.seed, 31])
        self.rec = Recorder(self.folder / "rehearse.rec", "rehearse")
        try:
            await self._set_up()
            self._later(self._watch_lag())
            players = await self._play_day()
        finally:
            await self._stop()
        rows, left_out = read(self.folder)
        breaches = audit(rows, self.day.site.facts, SLACK + self.late)
        setups: dict[str, int] = {}
        for row in rows:
            if row["what"] == "outcome":
                setups[row["result"]] = setups.get(row["result"], 0) + 1
        fell = sum(row["what"] == "fell" for row in rows)
        seats = seats_seen(Account(rows, self.day.site.facts)) if self.day.entitlement else None
        reached = sums(rows, self.day.fronts) | {"the rehearsal itself, most late, ms": self.late // 1000}
        config = None
        if self.day.instances is not None:
            config = followed(rows, self.day.fronts, self.day.hollow, self.day.instances)
            if turned_away := self.network.turned_away:
                config.figures["config.relay-full"] = float(turned_away), "connections turned away"
            config.figures["config.rehearsal-late"] = self.late / SECOND, "s, the relay's process, most"
            breaches = breaches + config.breaches
        return Result(
            self.day.name, self.day.seed, self.decisions, players, breaches, left_out, setups, fell,
            self.folder, seats, reached, config,
        )  # fmt: skip

    async def _set_up(self) -> None:
        day = self.day
        ports = free_ports(2 + 2 * day.servers + 3 * day.fronts)
        self.list_ports = (ports.pop(), ports.pop())
        self.front_ports = [(ports.pop(), ports.pop(), ports.pop()) for _ in range(day.fronts)]
        await self._links()
        if day.instances is not None:
            await self._begin_instances()
        for me in range(OWN, day.fronts):
            (self.folder / f"site-{me}.pond").write_text(write([self._site(me)]))
        cells = day.site.facts.plant.cells
        self.boxes = [Box(self._number(), n % cells, ports.pop(), ports.pop()) for n in range(day.servers)]
        bears = ("--answers", str(day.answers), "--queue", str(day.queue), "--fall", str(day.fall / SECOND))
        listing = await self._spawn("list", "standin", "list", "--control", str(self.list_ports[1]), *bears)
        self.others.append(listing)
        await self._until(self._list_up, "the list")
        await self._start_boxes()
        if not day.at_once:
            await self._start_fronts()

    async def _start_boxes(self) -> None:
        await asyncio.gather(*(self._start_box(box, warm=True) for box in self.boxes))
        await self._until(self._all_listed, "the media servers")

    async def _start_fronts(self) -> None:
        for me in range(self.day.fronts):
            await self._start_front(me)
        for me in range(self.day.fronts):
            await self._until(partial(self._front_up, me), f"front {me}")

    async def _begin_instances(self) -> None:
        """The instances with the day's site as their first version, and each front's links to them."""
        assert self.day.instances is not None
        wanted, rng = self.day.instances, np.random.default_rng([self.day.seed, 37])
        ports = free_ports(2 * wanted.count)
        made = Instances(wanted, self.folder, self.network, self.rec.note, rng, ports, self._pids)
        self.instances = made
        try:
            await made.begin(self._shared_site())
        except InstancesError as problem:
            raise RehearsalError(str(problem)) from None
        if wanted.follow:
            for me in range(self.day.fronts + self.day.hollow):
                self.follows[me] = await made.links(f"front {me}")
            (self.folder / FOLLOWS).write_bytes(msgspec.json.encode(self.follows))

    def _shared_site(self) -> Listing:
        """The day's site as all share it: its own fronts, and the rest as this run has it."""
        top = self.day.site.node[0]
        assert isinstance(top, Listing)
        own = [item for item in top.items if isinstance(item, Listing) and item.head == "fronts"]
        here = self._site(OWN)
        others = [item for item in here.items if not (isinstance(item, Listing) and item.head == "fronts")]
        return Listing((*others, *own), here.place)

    def _pids(self) -> dict[str, int]:
        up = {me: process.pid for me, process in self.fronts.items() if process.returncode is None}
        return {f"front {me}": pid for me, pid in up.items()}

    def _planned(self) -> list[Planned]:
        if self.day.changes is None:
            return []
        cells = self.day.site.facts.plant.cells
        return plan(self.day.changes, self._shared_site(), cells, self.day.length)

    async def _settle_instances(self) -> None:
        """Once the day is over: what each front knows of the last good change."""
        assert self.instances is not None
        site = self.day.site
        group, tenants = site.group_names()[0], site.facts.tenants
        tenant = tenants[0].name if tenants else ""

        async def ask(me: int, title: str) -> bool | None:
            return await knows_title(("127.0.0.1", self.front_ports[me][0]), group, tenant, title)

        up = [me for me, process in self.fronts.items() if process.returncode is None]
        everybody = self.day.fronts + self.day.hollow
        work = self.instances.settle(ask, up, everybody)
        try:
            await within(SETTLED_WITHIN * 3, work)
        except TimeoutError:
            raise RehearsalError(f"the instances did not tell what they know: see {self.folder}") from None
        if problem := self.instances.problem():
            raise RehearsalError(problem)

    async def _watch_lag(self) -> None:
        """How late this process, which relays all, was at most: records may lie so much further apart."""
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.late = max(self.late, int((time.monotonic() - due) * SECOND))

    def _number(self) -> int:
        self.next_number += 1
        return self.next_number

    async def _links(self) -> None:
        """Every link of the day passes through the relay."""
        self.network = self._made_network()
        for me, (_, words, _) in enumerate(self.front_ports):
            self.word_ports.append(await self.network.post(f"front {me}", ("127.0.0.1", words)))
            there = ("127.0.0.1", self.list_ports[0])
            self.list_links.append(await self.network.stream(f"front {me}", "list", there))

    def _made_network(self) -> Network:
        return Network(self.rec.note, random.Random(self.day.seed))

    def _zone(self, me: int) -> int:
        """A day may have more fronts than its site: they take its fronts' zones in turn."""
        return self.day.site.fronts[me % len(self.day.site.fronts)].zone

    def _front_forms(self, me: int) -> list[Node]:
        """Every front's place as front `me` is to see it."""
        made: list[Node] = []
        for other, (viewers, words, metrics) in enumerate(self.front_ports):
            told = ("127.0.0.1", words) if other == me else self.word_ports[other]
            made.append(self._front_form(other, viewers, told, metrics))
        return made

    def _front_form(self, front: int, viewers: int, words: tuple[str, int], metrics: int) -> Listing:
        zone = self.day.site.zones[self._zone(front)]
        return form(
            "front",
            word(str(front)),
            form("zone", word(zone)),
            form("viewers", f"127.0.0.1:{viewers}"),
            form("words", f"{words[0]}:{words[1]}"),
            form("metrics", f"127.0.0.1:{metrics}"),
        )

    def _site(self, me: int) -> Listing:
        """The day's site at this run's addresses, as front `me` is to see it, or the stand-ins (`OWN`)."""
        items: list[Node] = []
        top = self.day.site.node[0]
        assert isinstance(top, Listing)
        for item in top.items:
            match item.head if isinstance(item, Listing) else "":
                case "fronts":
                    items.append(form("fronts", *self._front_forms(me)))
                case "words":
                    items.append(form("words", form("key", self.day.site.words.key.hex())))
                case "list" if isinstance(item, Listing):
                    kept = [i for i in item.items if not (isinstance(i, Listing) and i.head == "address")]
                    host, port = ("127.0.0.1", self.list_ports[0]) if me < 0 else self.list_links[me]
                    items.append(Listing((*kept, form("address", f"{host}:{port}")), item.place))
                case "hints":
                    continue
                case _:
                    items.append(item)
        if me in self.follows and self.instances is not None:
            items.append(self.instances.follow_form(self.follows[me]))
        items.append(form("hints", word("yes" if self.day.site.hints else "no")))
        return Listing(tuple(items), top.place)

    async def _spawn(self, name: str, *arguments: str, site: int = OWN) -> asyncio.subprocess.Process:
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ponddoor.cli",
                *arguments,
                "--site",
                str(self.folder / f"site-{site}.pond"),
                "--record",
                str(self.folder / f"{name}.rec"),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def _start_box(self, box: Box, warm: bool) -> None:
        site = self.day.site
        kind = site.kinds[box.cell % len(site.kinds)]
        box.process = await self._spawn(
            f"media-{box.number}", "standin", "media", "--number", str(box.number), "--cell", str(box.cell),
            "--zone", site.zones[box.cell % len(site.zones)], "--kind", kind, "--weight",
            str(weight_of(site, box.cell)), "--port", str(box.port), "--control", str(box.control), "--seed",
            str(self.day.seed), *(["--warm"] if warm else []), *self._bears(),
        )  # fmt: skip

    def _bears(self) -> tuple[str, ...]:
        """What else a media server is told of what it bears."""
        return ()

    async def _start_front(self, me: int) -> None:
        self.starts += 1
        traced = ["--trace", str(self.folder / f"front-{me}-{self.starts}.trace")] if self.trace else []
        self.fronts[me] = await self._spawn(
            f"front-{me}", "front", "--me", str(me), "--kept", str(self.folder / f"front-{me}.list"),
            "--decisions", self.decisions, "--seed", str(self.day.seed * 1000 + me), *traced, site=me,
        )  # fmt: skip

    async def _until(self, done: Callable[[], Any], what: str) -> None:
        limit = time.monotonic() + READY_WITHIN
        while not await done():
            if time.monotonic() > limit:
                raise RehearsalError(f"{what} did not come up in {READY_WITHIN:g} s: see {self.folder}")
            await asyncio.sleep(0.1)

    async def _get(self, port: int, path: str) -> bytes | None:
        pool = Pool("127.0.0.1", port, 2, 1.0)
        try:
            return (await pool.request("GET", path, timeout=2.0)).body
        except (NotSentError, BrokenError, LateError):
            return None
        finally:
            pool.close()

    async def _list_up(self) -> bool:
        return await self._get(self.list_ports[0], "/servers") is not None

    async def _all_listed(self) -> bool:
        got = await self._get(self.list_ports[0], "/servers")
        return got is not None and len(msgspec.json.decode(got)["servers"]) >= self.day.servers

    async def _front_up(self, me: int) -> bool:
        got = await self._get(self.front_ports[me][2], "/metrics")
        return got is not None and b"ponddoor_list_reachable 1.0" in got

    async def _play_day(self) -> dict[str, Any]:
        length = self.day.length / SECOND
        silent = self.day.site.seats.lease * 1.05 / SECOND if self.day.entitlement else 0.0
        begin = time.monotonic() + 2.5 + silent  # fronts without a journal grant nothing for a lease
        out = self.folder / "players.json"
        ports = (part for viewers, _, _ in self.front_ports for part in ("--front", f"127.0.0.1:{viewers}"))
        players = await self._spawn(
            "players",
            "standin",
            "players",
            "--day",
            str(self.folder / "day.json"),
            "--begin",
            repr(begin),
            "--out",
            str(out),
            *ports,
        )
        self.others.append(players)
        await self._begins(begin)
        troubles = [asyncio.create_task(self._trouble(begin, trouble)) for trouble in self.day.troubles]
        if self.instances is not None:
            self.instances.play(begin, self._planned())
        if self.day.at_once:
            await asyncio.gather(*(self._start_front(me) for me in range(self.day.fronts)))
        longest = max(group.setup_timeout for group in self.day.site.facts.groups) / SECOND
        limit = begin + length + longest + 20
        while players.returncode is None and time.monotonic() < limit:
            if self.progress is not None:
                self.progress(min(1.0, max(0.0, (time.monotonic() - begin) / length)))
            with contextlib.suppress(TimeoutError):
                await within(0.2, players.wait())
        for task in troubles:
            if task.done() and not task.cancelled() and (problem := task.exception()):
                raise RehearsalError(f"a trouble could not be caused: {problem!r}")
            task.cancel()
        if self.instances is not None:
            await self._settle_instances()
        if not out.exists():
            raise RehearsalError(f"the players did not finish: see {self.folder / 'players.log'}")
        got: dict[str, Any] = msgspec.json.decode(out.read_bytes())
        return got

    async def _begins(self, begin: float) -> None:
        """The day begins at this moment of the monotonic clock."""

    def _up(self) -> list[int]:
        """The fronts that live."""
        return [me for me, process in self.fronts.items() if process.returncode is None]

    # Troubles

    async def _trouble(self, begin: float, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, begin + trouble.at / SECOND - time.monotonic()))
        self.rec.note("trouble", kind=trouble.kind, length=trouble.length, figures=trouble.figures)
        lasts, figures = trouble.length / SECOND, trouble.figures
        match trouble.kind:
            case "crash":
                await self._crash(self._some(figures["part"]), lasts)
            case kind if kind in FAULTS:
                boxes, size = self._some(figures["part"]), figures.get("size", 1.0)
                await self._fault(boxes, kind, lasts, size, trouble.how)
            case "origin_slow":
                racks = self.day.site.facts.plant.racks
                short = {int(r) for r in self.rng.choice(racks, max(1, round(0.3 * racks)), replace=False)}
                boxes = [box for box in self.boxes if box.cell % racks in short]
                await self._fault(boxes, "origin_slow", lasts, figures["size"], "")
            case "zone_loss":
                await self._zone_loss(lasts, figures["fronts"] > 0.5, figures["silent"] > 0.5)
            case "deploy":
                await self._deploy(lasts, figures["part"], figures["size"], figures["drain"])
            case "discovery_down":
                await self._order(kind="discovery_down", on=True)
                await asyncio.sleep(lasts)
                await self._order(kind="discovery_down", on=False)
            case "balancer_roll":
                some = self._up()
                count = max(1, round(figures["part"] * len(some)))
                for me in some[:count]:
                    await self._kill_front(me, figures["down"])
                    await asyncio.sleep(max(0.0, lasts / count - figures["down"]))
            case "peer_down":
                count = max(1, round(figures["part"] * len(self.fronts)))
                cut = {f"front {me}" for me in list(self.fronts)[:count]}
                rules = self.network.put(cut, self._parties("fronts"), Fault(cut=True))
                await asyncio.sleep(lasts)
                self.network.lift(rules)
            case "front_deaths":
                end = time.monotonic() + lasts
                while (pause := float(self.rng.exponential(figures["every"]))) < end - time.monotonic():
                    await asyncio.sleep(pause)
                    if up := self._up():
                        self._later(self._kill_front(up[int(self.rng.integers(len(up)))], figures["down"]))
            case "words_lost":
                fronts = self._parties("fronts")
                rules = self.network.put(fronts, fronts, Fault(loss=figures["size"]), both=False)
                await asyncio.sleep(lasts)
                self.network.lift(rules)
            case "fronts_killed" | "fronts_ended":
                sent = signal.SIGKILL if trouble.kind == "fronts_killed" else signal.SIGTERM
                for me in self._some_fronts(figures["part"]):
                    self._later(self._kill_front(me, figures["down"], sent))
                    await asyncio.sleep(figures["apart"])
            case "fronts_stopped":
                some = self._some_fronts(figures["part"])
                self._signal(some, signal.SIGSTOP)
                await asyncio.sleep(lasts)
                self._signal(some, signal.SIGCONT)
            case "fronts_told":
                await self._tell_fronts(self._some_fronts(figures["part"]))
            case kind if kind.startswith("instances_") and self.instances is not None:
                await self.instances.trouble(kind, trouble.how, lasts, figures)
            case kind if kind.startswith("link_"):
                await self._link_trouble(kind, trouble.how, lasts, figures)
            case _:  # hot_key is in the arrivals, connections_cut in the players
                return

    def _parties(self, kind: str) -> set[str]:
        if kind == "list":
            return {"list"}
        if kind == "instances":
            return self.instances.parties() if self.instances is not None else set()
        return {f"front {me}" for me in range(self.day.fronts)} if kind == "fronts" else self._servers()

    def _servers(self) -> set[str]:
        return {f"server {box.number}" for box in self.boxes}

    def _some_fronts(self, part: float) -> list[int]:
        up = self._up()
        count = min(len(up), max(1, round(part * len(up))))
        return sorted(up[int(n)] for n in self.rng.choice(len(up), count, replace=False))

    def _signal(self, fronts: list[int], number: signal.Signals) -> None:
        """Send a signal to these processes of the program in one go."""
        self.rec.note("signal", number=number.name, fronts=fronts)
        for me in fronts:
            if self.fronts[me].returncode is None:
                self.fronts[me].send_signal(number)

    async def _tell_fronts(self, some: list[int]) -> None:
        self._signal(some, signal.SIGHUP)

    async def _link_trouble(self, kind: str, how: str, lasts: float, figures: dict[str, float]) -> None:
        """A fault between a part of the fronts and the list, the servers, or the other fronts."""
        to, _, way = how.partition("-")
        mine, theirs = {f"front {me}" for me in self._some_fronts(figures["part"])}, self._parties(to)
        source, target = (theirs, mine) if way == "in" else (mine, theirs)
        if kind == "link_reset":
            self.network.reset(mine, theirs)
            return
        size = figures.get("size", 0.0)
        fault = {
            "link_cut": Fault(cut=True),
            "link_stall": Fault(stall=True),
            "link_lossy": Fault(loss=size, resent=size if to == "instances" else 0.0),
            "link_slow": Fault(delay=(size / 2, size)),
            "link_narrow": Fault(rate=size),
        }[kind]
        rules = self.network.put(source, target, fault, both=not way)
        await asyncio.sleep(lasts)
        self.network.lift(rules)

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _some(self, part: float) -> list[Box]:
        count = max(1, round(part * len(self.boxes)))
        return [self.boxes[int(n)] for n in self.rng.choice(len(self.boxes), count, replace=False)]

    def _kill(self, what: str, process: asyncio.subprocess.Process | None) -> None:
        self.rec.note("killed", process=what)
        if process is not None and process.returncode is None:
            process.kill()

    async def _crash(self, boxes: list[Box], lasts: float) -> None:
        for box in boxes:
            self._kill(f"media {box.number}", box.process)
        await asyncio.sleep(lasts)
        if not self.stopping:
            await asyncio.gather(*(self._start_box(box, warm=False) for box in boxes))

    async def _fault(self, boxes: list[Box], kind: str, lasts: float, size: float, how: str) -> None:
        async def tell(on: bool) -> None:
            body = {"kind": kind, "on": on, "size": size, "how": how}
            await asyncio.gather(*(self._control(box.control, body) for box in boxes))

        await tell(True)
        await asyncio.sleep(lasts)
        await tell(False)

    async def _control(self, port: int, body: dict[str, Any]) -> None:
        pool = Pool("127.0.0.1", port, 2, 1.0)
        with contextlib.suppress(NotSentError, BrokenError, LateError):  # it may be down by another trouble
            await pool.request("POST", "/fault", body, 2.0)
        pool.close()

    async def _order(self, **body: Any) -> None:
        await self._control(self.list_ports[1], body)

    async def _zone_loss(self, lasts: float, with_fronts: bool, silent: bool) -> None:
        zones = self.day.site.zones
        zone = int(self.rng.integers(0, len(zones)))
        boxes = [box for box in self.boxes if box.cell % len(zones) == zone]
        mine = [me for me in self.fronts if self._zone(me) == zone] if with_fronts else []
        await asyncio.gather(
            self._fault(boxes, "vanish", lasts, 1.0, "") if silent else self._crash(boxes, lasts),
            *(self._kill_front(me, lasts) for me in mine),
        )

    async def _kill_front(self, me: int, down: float, number: signal.Signals = signal.SIGKILL) -> None:
        if number == signal.SIGKILL:
            self._kill(f"front {me}", self.fronts[me])
        else:
            self._signal([me], number)
        await self.fronts[me].wait()
        await asyncio.sleep(down)
        if not self.stopping:
            await self._start_front(me)

    async def _deploy(self, lasts: float, part: float, size: float, drain: float) -> None:
        todo = self._some(part)
        batch = max(1, round(size * len(self.boxes)))
        batches = [todo[at : at + batch] for at in range(0, len(todo), batch)]
        for boxes in batches:
            begun = time.monotonic()
            for box in boxes:
                await self._order(kind="drain", server=box.number)
                await self._control(box.control, {"kind": "drain"})
            await asyncio.sleep(drain)
            for box in boxes:
                self._kill(f"media {box.number}", box.process)
                await self._order(kind="remove", server=box.number)
                box.number = self._number()
                box.port, box.control = free_ports(2)
                await self._start_box(box, warm=False)
            await asyncio.sleep(max(0.0, lasts / len(batches) - (time.monotonic() - begun)))

    async def _stop(self) -> None:
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        if self.instances is not None:
            await self.instances.stop()
        everybody = [*self.fronts.values(), *self.others, *(box.process for box in self.boxes if box.process)]
        for process in everybody:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await within(5, asyncio.gather(*(process.wait() for process in everybody)))
        for process in everybody:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self.network.close()
