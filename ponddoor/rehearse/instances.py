"""The instances of a rehearsed day: members that agree on the configuration, as processes of their own.

They are started as an operator would (`ponddoor raft serve`), with the cluster's file and key in the run's
folder, and given the day's site as the first version. Every link passes the relay: members among each other,
and each front's links to all of them. Changes go by the API to whoever leads. What is noted: when a version
was first told by any instance (that is its commit, to within a wake-up), what passed on each link, and the
process time of every instance and front."""

import asyncio
import contextlib
import os
import secrets
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import msgspec
import numpy as np

from ponddoor.config.commands import Client
from ponddoor.config.machine import taken_apart
from ponddoor.rehearse.changes import Instances as Wanted
from ponddoor.rehearse.changes import Planned
from ponddoor.rehearse.relay import Address, Fault, Network, Rule
from ponddoor.settings.sexpr import Listing, Node, form, write
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.timing import within

SECOND = 1_000_000
READY_WITHIN = 30.0
SETTLED_WITHIN = 9.0  # s that fronts have for the last change
SAMPLE = 0.5  # s between looks at process time: what a killed process did since is lost
TICKS = os.sysconf("SC_CLK_TCK")
ASKED = (b"GET ", b"POST ")
MOST_REQUESTS = 1_000_000


class InstancesError(Exception):
    """Instances that could not be played: `str` says which and why."""


def process_seconds(pid: int) -> float | None:
    """Processor time of a process so far, in seconds, to within 10 ms; None where there is none."""
    try:
        told = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = told.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid: int) -> int:
    """Memory of a process in bytes; 0 where there is none."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except OSError:
        return 0


@dataclass(slots=True)
class Instance:
    """One member: its addresses, its process, and what its processes used so far."""

    number: int
    peers: Address
    api: Address
    process: asyncio.subprocess.Process | None = None
    seconds: float = 0.0  # of processes that ended
    last: float = 0.0  # of the one that runs
    memory: int = 0

    @property
    def party(self) -> str:
        return f"instance {self.number}"

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Instances:
    """All instances of a day in its folder. `note` records; `pids` tells the processes of fronts by name."""

    wanted: Wanted
    folder: Path
    network: Network
    note: Callable[..., None]
    rng: np.random.Generator
    ports: list[int]
    pids: Callable[[], dict[str, int]] = dict
    all: list[Instance] = field(default_factory=list)
    stopping: bool = False
    _sending: asyncio.Event = field(default_factory=asyncio.Event)
    _linked: set[str] = field(default_factory=set)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _seen: int = 0  # the newest version that any instance told
    _title: tuple[str, float] = ("", 0.0)  # that the newest committed change added, and when
    _bytes: Counter[tuple[str, str]] = field(default_factory=Counter)
    _writes: Counter[tuple[str, str]] = field(default_factory=Counter)
    _open: Counter[str] = field(default_factory=Counter)
    _most_open: Counter[str] = field(default_factory=Counter)
    _requests: Counter[tuple[str, int]] = field(default_factory=Counter)  # by instance and second
    _asked: dict[str, list[int]] = field(default_factory=lambda: {"GET": [], "POST": []})  # moments
    _used: dict[str, tuple[int, float, float]] = field(default_factory=dict)  # pid, ended ones', this one's
    _before: dict[str, float] = field(default_factory=dict)  # process time before the day began

    # Begin

    async def begin(self, site: Listing) -> None:
        """Start all, wait until one leads, and give them the first version. Raises InstancesError."""
        held = iter(self.ports)
        for number in range(self.wanted.count):
            self.all.append(Instance(number, ("127.0.0.1", next(held)), ("127.0.0.1", next(held))))
        (self.folder / "cluster.key").write_text(secrets.token_hex(32))
        for one in self.all:
            await self._write_cluster(one)
            await self._start(one)
        self.network.passed, self.network.opened = self._passed, self._came
        await self._until_led()
        items = taken_apart([site])
        body = {"who": "rehearse", "why": "begin", "sets": items, "drops": [], "needs": {}}
        version = await self._send(body)
        if version != 1:
            raise InstancesError(f"the first version is {version}, see {self.folder}")
        self._tasks = [asyncio.create_task(self._watch(one)) for one in self.all]

    async def _write_cluster(self, me: Instance) -> None:
        """Each member finds the others through the relay, and itself where it listens."""
        members: list[Node] = []
        for other in self.all:
            peers = other.peers
            if other is not me:
                peers = await self.network.stream(me.party, other.party, other.peers)
            told = (form("peers", _shown(peers)), form("api", _shown(other.api)))
            members.append(form("member", other.number, *told))
        whole = form("cluster", "rehearsed", form("key-file", "cluster.key"), *members)
        (self.folder / f"cluster-{me.number}.pond").write_text(write([whole]))

    async def _start(self, one: Instance) -> None:
        with (self.folder / f"instance-{one.number}.log").open("ab") as log:
            one.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ponddoor.cli", "raft", "serve", "--cluster",
                str(self.folder / f"cluster-{one.number}.pond"), "--me", str(one.number), "--folder",
                str(self.folder / f"instance-{one.number}"),
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip

    async def _until_led(self) -> None:
        limit = time.monotonic() + READY_WITHIN
        while await self.leader() is None:
            if time.monotonic() > limit:
                raise InstancesError(f"no instance leads after {READY_WITHIN:g} s: see {self.folder}")
            await asyncio.sleep(0.1)

    async def leader(self) -> Instance | None:
        """Who says that it leads now."""
        for one in self.all:
            told = await self._get(one, "/cluster") if one.up else None
            if told is not None and told.get("role") == "leader":
                return one
        return None

    async def _get(self, one: Instance, path: str) -> dict[str, Any] | None:
        pool = Pool(*one.api, 2, 1.0)
        try:
            return dict((await pool.request("GET", path, None, 2.0)).json())
        except (NotSentError, BrokenError, LateError):
            return None
        finally:
            pool.close()

    # Links of those who follow

    async def links(self, party: str) -> list[Address]:
        """Where a party finds each instance, past the relay."""
        self._linked.add(party)
        return [await self.network.stream(party, one.party, one.api) for one in self.all]

    def follow_form(self, addresses: Iterable[Address]) -> Listing:
        """What a site file says of the instances that are followed."""
        return form("follow", *(form("instance", _shown(place)) for place in addresses))

    def parties(self) -> set[str]:
        return {one.party for one in self.all}

    def _passed(self, source: str, target: str, data: bytes) -> None:
        if source not in self._linked and target not in self._linked:
            if source.startswith("instance ") and target.startswith("instance "):
                self._bytes[("raft", source)] += len(data)
            return
        one = target if target.startswith("instance ") else source
        if not one.startswith("instance "):
            return
        way = "in" if one == target else "out"
        self._bytes[(way, one)] += len(data)
        self._writes[(way, one)] += 1
        if way == "in" and data.startswith(ASKED):
            now = time.monotonic_ns() // 1000
            self._requests[(one, now // SECOND)] += 1
            asked = self._asked["GET" if data.startswith(b"GET") else "POST"]
            if len(asked) < MOST_REQUESTS:
                asked.append(now)

    def _came(self, source: str, target: str, more: int) -> None:
        if source in self._linked and target.startswith("instance "):
            self._open[target] += more
            self._most_open[target] = max(self._most_open[target], self._open[target])

    # The day

    def play(self, begin: float, planned: list[Planned]) -> None:
        """Send the changes, each at its moment after `begin` (s of the monotonic clock), and measure."""
        self._bytes.clear()
        self._writes.clear()
        self._requests.clear()
        self._look()
        self._before = self._seconds()
        self.note("config-measured-from", moment=round(begin * SECOND))
        self._tasks.append(asyncio.create_task(self._send_all(begin, planned)))
        self._tasks.append(asyncio.create_task(self._sample()))

    async def _send_all(self, begin: float, planned: list[Planned]) -> None:
        for change in planned:
            await asyncio.sleep(max(0.0, begin + change.at / SECOND - time.monotonic()))
            body = {
                "who": "rehearse",
                "why": change.why,
                "sets": change.sets,
                "drops": list(change.drops),
                "needs": {},
            }
            self.note(
                "change-sent",
                number=change.number,
                kind=change.kind.value,
                title=change.title,
                top_kb=change.top_kb,
            )
            sending, self._sending = self._sending, asyncio.Event()
            sending.set()
            version = await self._send(body)
            self.note("change-answered", number=change.number, version=version, kind=change.kind.value)
            if version > 0 and change.title:
                self._title = change.title, time.monotonic()

    async def _send(self, body: dict[str, Any]) -> int:
        """The version that a change made; 0 where it can't be used, -1 where nobody answered."""
        try:
            answer = await Client([one.api for one in self.all]).call("POST", "/config", body)
        except click.ClickException as problem:
            self.note("change-unanswered", why=str(problem.message)[:300])
            return -1
        if answer.status != 200:
            self.note("change-refused", status=answer.status, why=answer.body.decode(errors="replace")[:300])
            return 0
        return msgspec.convert(answer.json()["version"], int)

    async def _watch(self, one: Instance) -> None:
        """When this instance tells each version: the first of all to tell it shows its commit."""
        while True:
            pool = Pool(*one.api, 2, 1.0)
            with contextlib.suppress(NotSentError, BrokenError, LateError, msgspec.MsgspecError):
                async for line in pool.stream_lines(f"/config/watch?after={self._seen}", 3.0):
                    told = msgspec.json.decode(line, type=dict[str, Any])
                    version = int(told.get("version", 0))
                    if version > self._seen:
                        self._seen = version
                        self.note(
                            "committed",
                            version=version,
                            why=told["why"],
                            when_us=told["when_us"],
                            instance=one.number,
                            line=len(line) + 1,
                        )
            pool.close()
            await asyncio.sleep(0.1)

    async def _sample(self) -> None:
        while True:
            self._look()
            await asyncio.sleep(SAMPLE)

    def _look(self) -> None:
        for one in self.all:
            if one.up and one.process is not None:
                one.last = process_seconds(one.process.pid) or one.last
                one.memory = max(one.memory, resident(one.process.pid))
        for name, pid in self.pids().items():
            at, ended, last = self._used.get(name, (pid, 0.0, 0.0))
            if at != pid:
                at, ended, last = pid, ended + last, 0.0
            self._used[name] = (at, ended, process_seconds(pid) or last)

    def _seconds(self) -> dict[str, float]:
        mine = {one.party: one.seconds + one.last for one in self.all}
        return mine | {name: ended + last for name, (_, ended, last) in self._used.items()}

    async def settle(self, ask: Callable[[int, str], Any], fronts: Iterable[int], everybody: int) -> None:
        """At a day's end: what each front knows of the last title that a change added, asked of itself where
        that change had its time, and what all of them have told the instances. Notes all sums."""
        title, since = self._title
        if title and time.monotonic() - since >= SETTLED_WITHIN:
            for me in fronts:
                self.note("title-asked", front=me, title=title, known=await ask(me, title))
        if self.wanted.follow:
            await self._roll_out(everybody)
        self.sums()

    async def _roll_out(self, everybody: int) -> None:
        """What an operator is told by `ponddoor config rollout`."""
        asking = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ponddoor.cli", "config", "rollout", "--cluster",
            str(self.folder / "cluster-0.pond"), "--fronts", str(everybody), "--json",
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        told, _ = await asking.communicate()
        found = msgspec.json.decode(told, type=dict[str, Any]) if told else {}
        self.note("rollout", status=asking.returncode, **{k: found.get(k) for k in ("version", "counts")})

    def sums(self) -> None:
        """Note what was counted until now."""
        self._look()
        used = {name: seconds - self._before.get(name, 0.0) for name, seconds in self._seconds().items()}
        for one in self.all:
            name = one.party
            self.note(
                "instance-sums",
                instance=one.number,
                seconds=used.pop(name),
                memory=one.memory,
                received=self._bytes[("in", name)],
                sent=self._bytes[("out", name)],
                writes=self._writes[("in", name)] + self._writes[("out", name)],
                raft=self._bytes[("raft", name)],
                most_connections=self._most_open[name],
                requests=[n for (to, _), n in sorted(self._requests.items()) if to == name],
            )
        for name, seconds in used.items():
            self.note("process-sums", process=name, seconds=seconds)
        for method, moments in self._asked.items():
            self.note("instance-requests", method=method, moments=moments)

    # Troubles

    async def trouble(self, kind: str, how: str, lasts: float, figures: dict[str, float]) -> None:
        """One trouble of a day, for so many seconds."""
        if kind == "instances_cut":
            await self._cut(self._some(figures["part"]), how, lasts)
            return
        end = time.monotonic() + lasts
        while True:
            asked = time.monotonic()
            if how == "any":
                struck = self._some(figures["part"])
            else:
                if how == "leader-in-change":
                    await self._sending.wait()
                leads = await self.leader()
                struck = [leads] if leads is not None else []
            for one in struck:
                self.kill(one)
            await asyncio.sleep(figures["down"])
            if not self.stopping:
                for one in struck:
                    await self._start(one)
                    self.note("began", process=one.party)
            pause = asked + figures["every"] - time.monotonic()
            if time.monotonic() + pause >= end:
                return
            await asyncio.sleep(max(0.0, pause))

    def _some(self, part: float) -> list[Instance]:
        up = [one for one in self.all if one.up]
        count = min(len(up), max(1, round(part * len(self.all))))
        return [up[int(n)] for n in self.rng.choice(len(up), count, replace=False)]

    def kill(self, one: Instance) -> None:
        """End one's process at once, as a machine that is lost does."""
        self.note("killed", process=one.party)
        if one.process is not None and one.up:
            one.last = process_seconds(one.process.pid) or one.last
            one.seconds, one.last = one.seconds + one.last, 0.0
            one.process.kill()

    async def _cut(self, some: list[Instance], how: str, lasts: float) -> None:
        struck = {one.party for one in some}
        others = set[str]()
        others |= self.parties() - struck if how in ("all", "peers") else set()
        others |= self._linked if how in ("all", "fronts") else set()
        rules: list[Rule] = self.network.put(struck, others, Fault(cut=True))
        await asyncio.sleep(lasts)
        self.network.lift(rules)

    # End

    async def stop(self) -> None:
        """End what runs: asked first, killed after two seconds."""
        self.stopping = True
        for task in self._tasks:
            task.cancel()
        held = [one.process for one in self.all if one.process is not None and one.up]
        for process in held:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await within(2, asyncio.gather(*(process.wait() for process in held)))
        for process in held:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()

    def problem(self) -> str:
        """What went wrong with a task of this day; empty where nothing did."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and (problem := task.exception()):
                return f"the instances' day went wrong: {problem!r}"
        return ""


def _shown(place: Address) -> str:
    return f"{place[0]}:{place[1]}"


async def knows_title(address: Address, group: str, tenant: str, title: str) -> bool | None:
    """Whether a front takes a title for one of its site's: asked with a key that is too long, which is
    refused after the title is looked up (400) and before a session begins; 404 where it is not known. None
    where the front does not say."""
    pool = Pool(*address, 2, 1.0)
    body = {"title": title, "group": group, "tenant": tenant}
    try:
        got = await pool.request("POST", "/sessions", body, 2.0, (("Idempotency-Key", "x" * 201),))
        return {400: True, 404: False}.get(got.status)
    except (NotSentError, BrokenError, LateError):
        return None
    finally:
        pool.close()
