"""Helpers for the front's tests: an engine driven by a scenario, and a fleet on loopback in one process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from ponddoor.audit.records import Recorder
from ponddoor.audit.rules import Breach, audit
from ponddoor.decide import Front
from ponddoor.front import effects as fx
from ponddoor.front.effects import Effect, ViewerRequest
from ponddoor.front.engine import Engine, RepeatError
from ponddoor.front.limits import AdmissionGate, LagMeter
from ponddoor.front.process import FrontProcess
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.rehearse.run import free_ports
from ponddoor.settings.site import Site, loads
from ponddoor.standins.listing import ServerList
from ponddoor.standins.media import MediaServer
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool, Response

SITE = """
(site small
  (zones north)
  (kinds (kind box (streams {streams})))
  (groups (group clips (start-target {target}) (setup-timeout {timeout}) (utility 1) {group}))
  (ladder (rung (rate 100kB/s) (utility 0.4)) (rung (rate 300kB/s) (utility 0.7))
    (rung (rate 900kB/s) (utility 1)))
  (plant (cells 3) (racks 1) (link-per-weight 20MB/s) (uplink 400MB/s))
  (rules (cold {cold}) (cold-from 0.4) (drain-grace 200ms) (fall 1s) {rules})
  (permissions (max-setups 3) (come-back 400ms) (connect-timeout 250ms) {permissions})
  (reporting (how inline) (fields link-asked))
  (list (mode {mode}) (address "127.0.0.1:{list}") (retry 50ms) (silence 1500ms))
  (fronts {fronts})
  (words (key "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"))
  {seats}
  (servers (notes-silence 1500ms) (attach-time 20s))
  (limits (drain-time 0s) {limits}))
"""
DEFAULTS = {
    "streams": 400,
    "target": "400ms",
    "timeout": "2s",
    "group": "",
    "cold": "2s",
    "rules": "",
    "permissions": "",
    "limits": "",
    "seats": "",
    "mode": "push",
}
SETUP_RESULTS = {
    "full": ev.Result.FULL,
    "error": ev.Result.ERROR,
    "reset": ev.Result.RESET,
    "connect_failed": ev.Result.CONNECT_FAILED,
}


def site_text(fronts: int = 1, list_port: int = 0, ports: list[int] | None = None, **parts: Any) -> str:
    port = iter(ports or [0] * 3 * fronts)
    front_texts = " ".join(
        f'(front {me} (zone north) (viewers "127.0.0.1:{next(port)}") (words "127.0.0.1:{next(port)}") '
        f'(metrics "127.0.0.1:{next(port)}"))'
        for me in range(fronts)
    )
    return SITE.format(**{**DEFAULTS, **parts}, list=list_port, fronts=front_texts)


class EnginePlayer:
    """Runs a scenario on one engine. Its steps, separated by line ends or semicolons, are:

    - `given PART=VALUE ...` sets a part of the site, a server or a limit,
    - `at 20s EVENT ...` advances the time and passes an event to the engine,
    - `expect [no|just N] EFFECT ...` checks the effects since the last `at`."""

    def __init__(self) -> None:
        self.parts: dict[str, Any] = {}
        self.servers: list[int] = []
        self.engine: Engine | None = None
        self.now, self.seen = 20_000_000, [""]

    def play(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            for step in filter(None, (part.split() for part in line.split("#")[0].split(";"))):
                try:
                    getattr(self, step[0])(*step[1:])
                except AssertionError as error:
                    raise AssertionError(f"line {number}: {line}: {error}") from None

    def given(self, *words: str) -> None:
        for name, _, value in (text.partition("=") for text in words):
            if name == "server":
                self.servers.append(int(value))
            elif name == "limit":
                limit, _, amount = value.partition(":")
                self.parts["limits"] = self.parts.get("limits", "") + f" ({limit} {amount})"
            else:
                self.parts[name] = value.replace("_", " ")

    def begin(self) -> Engine:
        site = loads(site_text(**self.parts))
        facts = site.facts_of(0, 1)
        gate = AdmissionGate(site.limits, LagMeter(1 << 60))
        self.engine = Engine(Front(facts, 0), facts, gate)
        rows = tuple(
            ev.ServerRow(n, 0, 0, i % 3, ev.ServerState.READY, 2.0, 0) for i, n in enumerate(self.servers)
        )
        self.record_effects(self.engine.server_news(0, ev.NewsScope.CACHED, rows))
        return self.engine

    def record_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case fx.SendSetup(sess, attempt, server):
                    self.seen.append(f"setup {sess} {attempt} {server}")
                case fx.SendTeardown(sess, attempt, server):
                    self.seen.append(f"teardown {sess} {attempt} {server}")
                case fx.Reply(sess, answer):
                    self.seen.append(f"reply {sess} {answer.kind} {answer.reason}".strip())
                case fx.Push(sess, event, value):
                    self.seen.append(f"push {sess} {event} {value}")
                case fx.SendRung(sess, attempt, _, rung):
                    self.seen.append(f"rung {sess} {attempt} {rung}")
                case fx.WriteLog(level, event):
                    self.seen.append(f"say {level} {event}")
                case _:
                    self.seen.append(type(effect).__name__.lower())

    def at(self, moment: str, event: str = "", *words: str) -> None:
        engine = self.engine or self.begin()
        self.seen = []
        until_us = round(float(moment.rstrip("s")) * 1_000_000)
        while (due := engine.next_due) is not None and due <= until_us:
            self.now = max(self.now, due)
            self.record_effects(engine.run_due_timers(self.now))
        self.now = until_us
        arguments = [word for word in words if "=" not in word]
        options = dict(word.split("=") for word in words if "=" in word)
        if event:
            self.record_effects(self.handle_event(engine, event, arguments, options))

    def handle_event(
        self, engine: Engine, event: str, arguments: list[str], options: dict[str, str]
    ) -> list[Effect]:
        name, numbers = arguments[0], [int(text) for text in arguments[1:] if text.isdigit()]
        if event == "ask":
            viewer_request = ViewerRequest(
                options.get("title", "t"), 0, 0, 0, 3, 2, int(options.get("wait", 2_000_000))
            )
            try:
                record, effects = engine.request(self.now, name, viewer_request, options.get("key"))
            except RepeatError:
                self.seen.append("otherwise")
                return []
            self.seen.append(f"held {record.sess}" if record else "held nobody")
            return effects
        if event == "left":
            return engine.viewer_left(self.now, name)
        if event == "gone":
            row = ev.ServerRow(int(name), 0, 0, 0, ev.ServerState.DRAINING, 2.0, 0)
            return engine.server_news(self.now, ev.NewsScope.CHANGES, (row,))
        if event == "lost":
            return engine.server_lost(self.now, int(name))
        if event == "ended":
            return engine.stream_ended(self.now, name, numbers[0], arguments[2])
        if event == "drain":
            engine.gate.draining = True
            return []
        if event == "stop":
            return engine.stop(self.now)
        if event == "late":
            engine.gate.lag.due = self.now - int(name)
            return []
        result = None if event == "started" else SETUP_RESULTS[event]
        return engine.setup_answered(self.now, name, numbers[0], numbers[1], result, {}, {})

    def expect(self, *words: str) -> None:
        wanted = " ".join(words[{"no": 1, "just": 2}.get(words[0], 0) :])
        seen = [line for line in self.seen if f"{line} ".startswith(f"{wanted} ")]
        satisfied = len(seen) == int(words[1]) if words[0] == "just" else bool(seen) != (words[0] == "no")
        assert satisfied, self.seen


@pytest.fixture
def play_engine() -> Callable[[Path], None]:
    return lambda path: EnginePlayer().play(path.read_text())


class World:
    """A server list, media servers and fronts in one process, on loopback, with records kept in memory."""

    def __init__(
        self, fronts: int = 1, servers: int = 3, deciding: Any = Front, kept: Path | None = None, **parts: Any
    ) -> None:
        parts = {"target": "1s", **parts}
        if "loop-lag" not in parts.get("limits", ""):  # all share one event loop, and the machine may be busy
            parts["limits"] = parts.get("limits", "") + " (loop-lag 5s)"
        ports = free_ports(3 * fronts + 1)
        self.list_port, self.front_ports = ports[0], ports[1::3]
        self.text = site_text(fronts, ports[0], ports[1:], **parts)
        self.site: Site = loads(self.text)
        self.recorder, self.deciding, self.kept, self.count = Recorder(None, "world"), deciding, kept, fronts
        self.listing = ServerList(self.site, self.recorder, late=(0.0, 0.05))
        self.media = [
            MediaServer(
                self.site, Entry(100 + n, "127.0.0.1:0", "north", "box", n % 3, "ready", 2.0), self.recorder
            )
            for n in range(servers)
        ]
        self.fronts: list[FrontProcess] = []
        self.names = iter(range(10**9))

    async def start(self) -> None:
        await self.listing.start()
        for media in self.media:
            await media.start()
        await self.until(lambda: len(self.listing.entries) == len(self.media))
        for me in range(self.count):
            self.fronts.append(await self.front(me))
        await self.until(lambda: all(self.ready(front) for front in self.fronts))

    async def front(self, me: int, site: Site | None = None) -> FrontProcess:
        kept = self.kept.with_name(f"{me}-{self.kept.name}") if self.kept is not None else None
        front = FrontProcess(site or self.site, me, kept, seed=me + 1, make_decisions=self.deciding)
        await front.start()
        return front

    def ready(self, front: FrontProcess) -> bool:
        links = front.servers.links.values()
        return sum(link.up for link in links) >= len(self.media)

    async def stop(self) -> None:
        for front in self.fronts:
            await front.stop()
        for media in self.media:
            await media.close()
        await self.listing.close()

    async def until(self, done: Callable[[], Any], within: float = 8.0) -> None:
        """Waits for a condition. Raises TimeoutError, which fails the test, after `within` seconds."""
        async with asyncio.timeout(within):
            while not done():
                await asyncio.sleep(0.005)

    async def ask(self, me: int = 0, key: str | None = None, timeout: float = 5.0, **body: Any) -> Response:
        """Sends one viewer's request and records it as a player does."""
        name = f"v{next(self.names)}"
        wait = self.site.facts.groups[0].setup_timeout
        self.recorder.note("ask", ask=name, front=me, wait_us=wait, group=0)
        pool = Pool("127.0.0.1", self.front_ports[me], 10, 1.0)
        headers = (("Idempotency-Key", key),) if key else ()
        try:
            answer = await pool.request(
                "POST", "/sessions", {"title": "t", "group": "clips", **body}, timeout, headers
            )
        except (BrokenError, LateError, NotSentError) as error:
            self.recorder.note("no-answer", ask=name, front=me, why=type(error).__name__)
            raise
        finally:
            pool.close()
        state = answer.json()
        self.recorder.note(
            "answer",
            ask=name,
            front=me,
            status=answer.status,
            state=state.get("state", ""),
            sess=state.get("session", ""),
            unasked=0,
        )
        return answer

    async def call(self, method: str, path: str, me: int = 0, body: Any = None) -> Response:
        pool = Pool("127.0.0.1", self.front_ports[me], 10, 1.0)
        try:
            return await pool.request(method, path, body)
        finally:
            pool.close()

    def streams(self) -> list[tuple[str, int]]:
        return [key for media in self.media for key in media.streams]

    def seen(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """The recorded rows of a kind whose fields have the given values."""
        return [
            row
            for row in self.recorder.rows
            if row["what"] == what and all(row.get(name) == value for name, value in fields.items())
        ]

    def breaches(self, slack_us: int = 60_000) -> list[Breach]:
        return audit(self.recorder.rows, self.site.facts, slack_us)


Test = Callable[[World], Coroutine[Any, Any, None]]


@pytest.fixture
def in_world() -> Callable[..., None]:
    """Runs a test coroutine in a new World. With `audited` the audit must find no broken rule."""

    def run(test: Test, audited: bool = True, **parts: Any) -> None:
        async def live() -> None:
            world = World(**parts)
            async with living(world):
                await test(world)
            if audited:
                assert world.breaches() == []

        asyncio.run(live())

    return run


@contextlib.asynccontextmanager
async def living(world: World) -> AsyncIterator[None]:
    await world.start()
    try:
        yield
    finally:
        await world.stop()
