"""The shell towards media servers: SETUPs, rungs, teardowns, probes, and a stream of notes from each.

docs/protocol.md has every message. One pool of connections a server; what comes back goes to the engine."""

import asyncio
import contextlib
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec
import structlog

from ponddoor.front import effects as fx
from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.hinting import Hinting
from ponddoor.front.pump import Apply
from ponddoor.front.roster import Entry, ListChange
from ponddoor.interface import events as ev
from ponddoor.settings.site import Site
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool

SECOND = 1_000_000
TEARDOWN_ATTEMPTS = 3
_RESULTS = {"full": ev.Result.FULL, "error": ev.Result.ERROR, "cancelled": ev.Result.CANCELLED}
log = structlog.get_logger("servers")


class SetupAnswer(msgspec.Struct, frozen=True):
    """A media server's answer to a SETUP; `result` is started, full, error or cancelled."""

    sess: str
    attempt: int
    result: str
    report: dict[str, float] = {}
    asked: dict[str, float] = {}


class ProbeAnswer(msgspec.Struct, frozen=True):
    """A media server's answer to a probe."""

    server: int
    report: dict[str, float] = {}


class NoteLine(msgspec.Struct, frozen=True):
    """A line of a server's notes; `note` is hello, beat, ended, delivered, link or uplink."""

    note: str
    sess: str = ""
    attempt: int = 0
    why: str = ""
    value: float = 0.0
    started_us: int = 0
    streams: list[tuple[str, int]] = []
    cmcd: dict[str, str] = {}
    cmsd: dict[str, str] = {}
    age_ms: float = 0.0


@dataclass(slots=True)
class _Link:
    """What a front holds towards one server."""

    entry: Entry
    pool: Pool
    notes: asyncio.Task[None] | None = None
    up: bool = False


@dataclass(slots=True)
class Servers:
    """All media servers of one front. `apply` calls the engine at the clock and carries out its effects."""

    site: Site
    me: int
    epoch: int
    engine: Engine
    apply: Apply
    links: dict[int, _Link] = field(default_factory=dict)
    setups: dict[tuple[str, int], asyncio.Task[None]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    dropped_teardowns: int = 0
    _leaving: set[int] = field(default_factory=set)  # gone from the list, with sessions left
    hinting: Hinting | None = None
    sends_group_terms: bool = False  # the site may change: a server is told by what terms a session plays

    def apply_list_change(self, change: ListChange) -> None:
        """The list has changed: connect to who is new, let go of who is gone and holds nothing."""
        for entry in change.entries:
            number = entry.server
            self._leaving.discard(number)
            link = self.links.get(number)
            if link is not None and link.entry.address != entry.address:
                self._drop(number)
                link = None
            if link is None:
                host, _, port = entry.address.rpartition(":")
                side = self.site.servers
                connect = self.site.facts.permissions.connect_timeout / SECOND
                pool = Pool(host, int(port), side.connections, connect, side.idle_time / SECOND)
                self.links[number] = link = _Link(entry, pool)
                link.notes = asyncio.create_task(self._follow(number, link))
            else:
                link.entry = entry
        self._leaving.update(number for number in change.gone if number in self.links)
        for number in sorted(self._leaving):
            if not self.engine.sessions_at(number):
                self._drop(number)

    def _drop(self, number: int) -> None:
        if self.hinting is not None:
            self.hinting.gone(number)
        self._leaving.discard(number)
        link = self.links.pop(number)
        if link.notes is not None:
            link.notes.cancel()
        link.pool.close()

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.SendSetup(sess, attempt):
                task = self._spawn(self._setup(effect))
                self.setups[(sess, attempt)] = task
                task.add_done_callback(lambda _: self.setups.pop((sess, attempt), None))
            case fx.SendTeardown(sess, attempt, server):
                waiting = self.setups.pop((sess, attempt), None)
                if waiting is not None:
                    waiting.cancel()
                self._spawn(self._teardown(sess, attempt, server))
            case fx.SendRung():
                self._spawn(self._rung(effect))
            case fx.SendProbe(server):
                self._spawn(self._probe(server))
            case fx.CloseIdle(server):
                if server in self.links:
                    self.links[server].pool.close_idle()
            case _:
                raise TypeError(f"{effect} is not for servers")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _setup(self, effect: fx.SendSetup) -> None:
        link, ask = self.links.get(effect.server), effect.request
        if link is None:
            self._answered(effect, ev.Result.MOOT)
            return
        body = {
            "sess": effect.sess,
            "front": self.me,
            "epoch": self.epoch,
            "attempt": effect.attempt,
            "title": ask.title,
            "group": ask.service_group,
            "rung": effect.rung,
            "top": ask.top,
            "timeout_us": effect.timeout,
            "attach_us": self.site.servers.attach_time,
        }
        held = self.engine.find(effect.sess) if self.sends_group_terms else None
        if held is not None:
            rates = [rate * held.group.rate_factor for rate in held.ladder.rate_kb]
            body |= {"group_name": held.group.name, "rates_kb": rates}
        try:
            # the engine's own timer ends the wait; this one only guards against a lost timer
            answer = await link.pool.request("POST", "/setups", body, effect.timeout / SECOND + 5)
            got = msgspec.json.decode(answer.body, type=SetupAnswer)
            if (got.sess, got.attempt) != (effect.sess, effect.attempt):
                # Guards against a server that answers twice: the second answer would pass for this SETUP's.
                link.pool.close_idle()
                raise BrokenError("an answer to another SETUP")
            result = None if got.result == "started" else _RESULTS.get(got.result, ev.Result.ERROR)
            self._answered(effect, result, got.report, got.asked)
        except NotSentError as problem:
            self._answered(effect, ev.Result.MOOT if problem.pool_full else ev.Result.CONNECT_FAILED)
        except (BrokenError, LateError, msgspec.MsgspecError):
            self._answered(effect, ev.Result.RESET)

    def _answered(
        self,
        effect: fx.SendSetup,
        result: ev.Result | None,
        report: dict[str, float] | None = None,
        asked: dict[str, float] | None = None,
    ) -> None:
        self.setups.pop((effect.sess, effect.attempt), None)
        self.apply(
            lambda now: self.engine.setup_answered(
                now, effect.sess, effect.attempt, effect.server, result, report or {}, asked or {}
            )
        )

    async def _teardown(self, sess: str, attempt: int, server: int) -> None:
        """Guards against streams left running: tried again while the server is there to hear it."""
        for attempt_no in range(TEARDOWN_ATTEMPTS):
            link = self.links.get(server)
            if link is None:
                return
            with contextlib.suppress(NotSentError, BrokenError, LateError):
                await link.pool.request("DELETE", f"/setups/{sess}/{attempt}", timeout=1.0)
                return
            await asyncio.sleep(0.2 * 2**attempt_no)
        self.dropped_teardowns += 1

    async def _rung(self, effect: fx.SendRung) -> None:
        link = self.links.get(effect.server)
        if link is None:
            return
        path, body = f"/setups/{effect.sess}/{effect.attempt}/rung", {"rung": effect.rung}
        for _ in range(2):
            held = self.engine.find(effect.sess)
            if held is None or held.rung != effect.rung:
                return  # another change has overtaken this one
            with contextlib.suppress(NotSentError, BrokenError, LateError):
                await link.pool.request("PUT", path, body, timeout=1.0)
                return

    async def _probe(self, server: int) -> None:
        link, began = self.links.get(server), asyncio.get_running_loop().time()
        result, report = ev.Result.CONNECT_FAILED, {}
        if link is not None:
            try:
                timeout = self.site.servers.probe_timeout / SECOND
                answer = await link.pool.request("GET", "/load", timeout=timeout)
                got = msgspec.json.decode(answer.body, type=ProbeAnswer)
                if got.server != server:
                    raise BrokenError("another server's load")
                result, report = ev.Result.SERVED, got.report
            except NotSentError as problem:
                result = ev.Result.MOOT if problem.pool_full else ev.Result.CONNECT_FAILED
            except LateError:
                result = ev.Result.TIMEOUT
            except (BrokenError, msgspec.MsgspecError):
                result = ev.Result.RESET
        lag = round((asyncio.get_running_loop().time() - began) * SECOND)
        self.apply(lambda now: self.engine.probe_answered(now, server, lag, result, report))

    async def _follow(self, number: int, link: _Link) -> None:
        """Keeps the stream of notes up. A server that refuses connections, is silent, or comes back as a new
        process has lost our sessions."""
        path = f"/notes?front={self.me}&epoch={self.epoch}"
        silence, wait, started = self.site.servers.notes_silence / SECOND, 0.05, 0
        while True:
            broken = "closed"
            try:
                async for line in link.pool.lines(path, silence):
                    got = msgspec.json.decode(line, type=NoteLine)
                    if got.note == "hello":
                        if not link.up or started != got.started_us:
                            log.info("notes-up", server=number)
                        link.up, wait = True, 0.05
                        still = frozenset((sess, attempt) for sess, attempt in got.streams)
                        if started not in (0, got.started_us):
                            still = frozenset()
                        started = got.started_us
                        self._lose(number, still)
                        self._sweep(number, got.streams)
                    else:
                        self._noted(number, got)
            except BrokenError as problem:
                broken = str(problem)
                if link.up:  # a connection alone may be lost: what still plays is told on the next one
                    link.up = False
                    continue
            except (LateError, NotSentError, msgspec.MsgspecError) as problem:
                broken = str(problem)
            if link.up or self.engine.sessions_at(number):
                log.info("notes-lost", server=number, why=broken)
            link.up = False
            self._lose(number, frozenset())
            link.pool.close_idle()
            await asyncio.sleep(wait)
            wait = min(wait * 2, 1.0)

    def _lose(self, number: int, still: frozenset[tuple[str, int]]) -> None:
        self.apply(lambda now: self.engine.server_lost(now, number, still))

    def _sweep(self, number: int, streams: list[tuple[str, int]]) -> None:
        """Guards against streams left running at a server that was silent while we gave them up."""
        for sess, attempt in streams:
            held = self.engine.find(sess)
            if held is None or held.end_reason or held.attempt != attempt:
                self._spawn(self._teardown(sess, attempt, number))

    def _noted(self, number: int, got: NoteLine) -> None:
        kinds = {
            "delivered": ev.NoteKind.DELIVERED,
            "link": ev.NoteKind.LINK_ASKED,
            "uplink": ev.NoteKind.UPLINK_ASKED,
        }
        if self.hinting is not None:
            self._hinted(self.hinting, number, got)
        if got.note == "ended":
            self.apply(lambda now: self.engine.stream_ended(now, got.sess, got.attempt, got.why))
        elif got.note in kinds:
            self.apply(lambda now: self.engine.server_note(now, number, kinds[got.note], got.value))

    def _hinted(self, hinting: Hinting, number: int, got: NoteLine) -> None:
        """What a server passes on of its players, says of itself, or shows by its notes."""
        age = round(min(max(got.age_ms, -3.6e6), 3.6e6) * 1000)
        match got.note:
            case "delivered":
                hinting.measured(number, got.value)
            case "hints":
                hinting.passed_on(number, got.sess, got.cmcd, got.cmsd.get("dynamic", ""), got.value, age)
            case "cmsd":
                hinting.server_said(number, got.cmsd.get("dynamic", ""), got.cmsd.get("static", ""), age)
            case _:
                hinting.alive(number)

    async def close(self, wait: float) -> None:
        """Let teardowns under way finish, then close everything."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=wait)
        for task in list(self.tasks):
            task.cancel()
        for number in list(self.links):
            self._drop(number)
