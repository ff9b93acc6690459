"""The I/O layer towards the media servers: SETUPs, rungs, teardowns, probes, and a stream of notes from each.

docs/protocol.md describes every message. Each server has a pool of connections; answers go to the engine."""

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
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool, decode_json

SECOND = 1_000_000
TEARDOWN_ATTEMPTS = 3
_RESULTS = {"full": ev.Result.FULL, "error": ev.Result.ERROR, "cancelled": ev.Result.CANCELLED}
log = structlog.get_logger("servers")


class SetupAnswer(msgspec.Struct, frozen=True):
    """A media server's answer to a SETUP.

    `result` is started, full, error or cancelled. `asked` may have, as `link` and `uplink`, the load asked of
    the server's link and of its rack's uplink, as ratios to their capacity."""

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
    """A line of a server's stream of notes.

    `note` is hello, beat, ended, delivered, link, uplink, hints or cmsd. `started_us` identifies the server's
    process, `streams` has the session and attempt of each stream that it runs for this front."""

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
    """A front's connections to one server. `up` says whether its stream of notes is established."""

    entry: Entry
    pool: Pool
    notes: asyncio.Task[None] | None = None
    up: bool = False


@dataclass(slots=True)
class Servers:
    """All media servers of one front. `apply` calls the engine and carries out its effects."""

    site: Site
    me: int
    epoch: int
    engine: Engine
    apply: Apply
    links: dict[int, _Link] = field(default_factory=dict)
    setups: dict[tuple[str, int], asyncio.Task[None]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    dropped_teardowns: int = 0
    _leaving: set[int] = field(default_factory=set)  # removed from the list, but with sessions left
    hinting: Hinting | None = None
    sends_group_terms: bool = False  # as the site may change, a SETUP carries the group's name and rates

    def apply_list_change(self, change: ListChange) -> None:
        """Connect to servers that are new in the list, and drop removed ones without sessions."""
        for entry in change.entries:
            number = entry.server
            self._leaving.discard(number)
            link = self.links.get(number)
            if link is not None and link.entry.address != entry.address:
                self._drop(number)
                link = None
            if link is None:
                host, _, port = entry.address.rpartition(":")
                settings = self.site.servers
                connect_timeout_s = self.site.facts.permissions.connect_timeout / SECOND
                pool = Pool(
                    host, int(port), settings.connections, connect_timeout_s, settings.idle_time / SECOND
                )
                self.links[number] = link = _Link(entry, pool)
                link.notes = asyncio.create_task(self._follow_notes(number, link))
            else:
                link.entry = entry
        self._leaving.update(number for number in change.gone if number in self.links)
        for number in sorted(self._leaving):
            if not self.engine.sessions_at(number):
                self._drop(number)

    def _drop(self, number: int) -> None:
        if self.hinting is not None:
            self.hinting.server_gone(number)
        self._leaving.discard(number)
        link = self.links.pop(number)
        if link.notes is not None:
            link.notes.cancel()
        link.pool.close()

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.SendSetup(sess, attempt):
                task = self._spawn(self._send_setup(effect))
                self.setups[(sess, attempt)] = task
                task.add_done_callback(lambda _: self.setups.pop((sess, attempt), None))
            case fx.SendTeardown(sess, attempt, server):
                pending = self.setups.pop((sess, attempt), None)
                if pending is not None:
                    pending.cancel()
                self._spawn(self._send_teardown(sess, attempt, server))
            case fx.SendRung():
                self._spawn(self._send_rung(effect))
            case fx.SendProbe(server):
                self._spawn(self._send_probe(server))
            case fx.CloseIdle(server):
                if server in self.links:
                    self.links[server].pool.close_idle()
            case _:
                raise TypeError(f"{effect} is not an effect on a media server")

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _send_setup(self, effect: fx.SendSetup) -> None:
        link, request = self.links.get(effect.server), effect.request
        if link is None:
            self._setup_answered(effect, ev.Result.MOOT)
            return
        body = {
            "sess": effect.sess,
            "front": self.me,
            "epoch": self.epoch,
            "attempt": effect.attempt,
            "title": request.title,
            "group": request.service_group,
            "rung": effect.rung,
            "top": request.top,
            "timeout_us": effect.timeout,
            "attach_us": self.site.servers.attach_time,
        }
        session = self.engine.find(effect.sess) if self.sends_group_terms else None
        if session is not None:
            rates_kb = [rate * session.group.rate_factor for rate in session.ladder.rate_kb]
            body |= {"group_name": session.group.name, "rates_kb": rates_kb}
        try:
            # The engine's timer normally ends the wait; this longer limit holds if that timer is lost.
            answer = await link.pool.request("POST", "/setups", body, effect.timeout / SECOND + 5)
            setup = decode_json(answer.body, SetupAnswer)
            if (setup.sess, setup.attempt) != (effect.sess, effect.attempt):
                # A server that answers twice: the surplus answer would be taken for that of the next SETUP.
                link.pool.close_idle()
                raise BrokenError("the server answered a different SETUP on this connection")
            result = None if setup.result == "started" else _RESULTS.get(setup.result, ev.Result.ERROR)
            self._setup_answered(effect, result, setup.report, setup.asked)
        except NotSentError as error:
            self._setup_answered(effect, ev.Result.MOOT if error.pool_full else ev.Result.CONNECT_FAILED)
        except (BrokenError, LateError):
            self._setup_answered(effect, ev.Result.RESET)

    def _setup_answered(
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

    async def _send_teardown(self, sess: str, attempt: int, server: int) -> None:
        """Tear down an attempt, with retries while the server is listed, so that no stream goes on."""
        for failures in range(TEARDOWN_ATTEMPTS):
            link = self.links.get(server)
            if link is None:
                return
            with contextlib.suppress(NotSentError, BrokenError, LateError):
                await link.pool.request("DELETE", f"/setups/{sess}/{attempt}", timeout=1.0)
                return
            await asyncio.sleep(0.2 * 2**failures)
        self.dropped_teardowns += 1

    async def _send_rung(self, effect: fx.SendRung) -> None:
        link = self.links.get(effect.server)
        if link is None:
            return
        path, body = f"/setups/{effect.sess}/{effect.attempt}/rung", {"rung": effect.rung}
        for _ in range(2):
            session = self.engine.find(effect.sess)
            if session is None or session.rung != effect.rung:
                return  # superseded by a later change
            with contextlib.suppress(NotSentError, BrokenError, LateError):
                await link.pool.request("PUT", path, body, timeout=1.0)
                return

    async def _send_probe(self, server: int) -> None:
        link, started_at = self.links.get(server), asyncio.get_running_loop().time()
        result, report = ev.Result.CONNECT_FAILED, {}
        if link is not None:
            try:
                timeout_s = self.site.servers.probe_timeout / SECOND
                answer = await link.pool.request("GET", "/load", timeout=timeout_s)
                load = decode_json(answer.body, ProbeAnswer)
                if load.server != server:
                    raise BrokenError(f"server {load.server} answered a probe of server {server}")
                result, report = ev.Result.SERVED, load.report
            except NotSentError as error:
                result = ev.Result.MOOT if error.pool_full else ev.Result.CONNECT_FAILED
            except LateError:
                result = ev.Result.TIMEOUT
            except BrokenError:
                result = ev.Result.RESET
        lag = round((asyncio.get_running_loop().time() - started_at) * SECOND)
        self.apply(lambda now: self.engine.probe_answered(now, server, lag, result, report))

    async def _follow_notes(self, number: int, link: _Link) -> None:
        """Keep the stream of notes established.

        A server that refuses connections, is silent, or comes back as a new process has lost our sessions. A
        connection that breaks does not mean that: the next one lists the streams that still run."""
        path = f"/notes?front={self.me}&epoch={self.epoch}"
        silence_s, retry_wait_s, process_started_us = self.site.servers.notes_silence / SECOND, 0.05, 0
        while True:
            reason = "closed"
            try:
                async for line in link.pool.stream_lines(path, silence_s):
                    note = decode_json(line, NoteLine)
                    if note.note == "hello":
                        if not link.up or process_started_us != note.started_us:
                            log.info("notes-up", server=number)
                        link.up, retry_wait_s = True, 0.05
                        still_running = frozenset((sess, attempt) for sess, attempt in note.streams)
                        if process_started_us not in (0, note.started_us):
                            still_running = frozenset()
                        process_started_us = note.started_us
                        self._end_lost_sessions(number, still_running)
                        self._tear_down_unknown(number, note.streams)
                    else:
                        self._handle_note(number, note)
            except BrokenError as error:
                reason = str(error)
                if (
                    link.up
                ):  # perhaps the connection alone is at fault: the next one lists the streams that run
                    link.up = False
                    continue
            except (LateError, NotSentError) as error:
                reason = str(error)
            if link.up or self.engine.sessions_at(number):
                log.info("notes-lost", server=number, why=reason)
            link.up = False
            self._end_lost_sessions(number, frozenset())
            link.pool.close_idle()
            await asyncio.sleep(retry_wait_s)
            retry_wait_s = min(retry_wait_s * 2, 1.0)

    def _end_lost_sessions(self, number: int, still_running: frozenset[tuple[str, int]]) -> None:
        self.apply(lambda now: self.engine.server_lost(now, number, still_running))

    def _tear_down_unknown(self, number: int, streams: list[tuple[str, int]]) -> None:
        """Tear down streams whose sessions ended here while their server was silent."""
        for sess, attempt in streams:
            session = self.engine.find(sess)
            if session is None or session.end_reason or session.attempt != attempt:
                self._spawn(self._send_teardown(sess, attempt, number))

    def _handle_note(self, number: int, note: NoteLine) -> None:
        kinds = {
            "delivered": ev.NoteKind.DELIVERED,
            "link": ev.NoteKind.LINK_ASKED,
            "uplink": ev.NoteKind.UPLINK_ASKED,
        }
        if self.hinting is not None:
            self._pass_hints(self.hinting, number, note)
        if note.note == "ended":
            self.apply(lambda now: self.engine.stream_ended(now, note.sess, note.attempt, note.why))
        elif note.note in kinds:
            self.apply(lambda now: self.engine.server_note(now, number, kinds[note.note], note.value))

    def _pass_hints(self, hinting: Hinting, number: int, note: NoteLine) -> None:
        """Pass on hints that a server forwards from players, gives of itself, or implies by notes."""
        age_us = round(min(max(note.age_ms, -3.6e6), 3.6e6) * 1000)
        match note.note:
            case "delivered":
                hinting.server_delivered(number, note.value)
            case "hints":
                hinting.segment_request(
                    number, note.sess, note.cmcd, note.cmsd.get("dynamic", ""), note.value, age_us
                )
            case "cmsd":
                hinting.server_cmsd(number, note.cmsd.get("dynamic", ""), note.cmsd.get("static", ""), age_us)
            case _:
                hinting.server_alive(number)

    async def close(self, wait: float) -> None:
        """Wait up to `wait` seconds for pending requests such as teardowns, then close everything."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=wait)
        for task in list(self.tasks):
            task.cancel()
        for number in list(self.links):
            self._drop(number)
