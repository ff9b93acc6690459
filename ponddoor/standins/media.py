"""A media server that shares its link and its rack's uplink among its streams, and fails when told to.

It follows docs/protocol.md. Faults come on a control socket: slow, hang, vanish, fast_errors, neighbour,
report_late, answer_lost, origin_slow, drain. What passes is recorded as an observer beside it would."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy as np
import xxhash

from ponddoor.audit.records import Recorder
from ponddoor.front.roster import Entry
from ponddoor.hints import cmcd, cmsd
from ponddoor.settings.site import Site
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.server import HttpError, Reply, Request, Server, ServerLimits, decode_json_body
from ponddoor.web.timing import within

TICK = 0.1
SETUP_MS = (40.0, 120.0)
FRONT_GRACE = 1.0
DETACH_GRACE = 1.0
UNEVEN, VARY = 0.15, 0.12  # how far links lie off what is told, and rates off the ladder
BURST = 3.0  # times its rate, that a segment may come at most
SLACK = 2  # set-ups beyond the pace that chance may bring


class Setup(msgspec.Struct, frozen=True):
    """A SETUP as it comes."""

    sess: str
    front: int
    epoch: int
    attempt: int
    title: str
    group: int
    rung: int
    timeout_us: int
    top: int = 255
    attach_us: int = 5_000_000
    group_name: str = ""  # where the site may change in service: by what terms this session plays
    rates_kb: tuple[float, ...] = ()


class Rung(msgspec.Struct, frozen=True):
    """A change of rung."""

    rung: int


class Fault(msgspec.Struct, frozen=True):
    """What the control socket takes."""

    kind: str
    on: bool = True
    size: float = 1.0
    how: str = ""


@dataclass(slots=True)
class Stream:
    """One stream that runs."""

    setup: Setup
    rung: int
    factor: float
    began: float
    attached: int = 0
    detached_at: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    over: bool = False
    fetched: int | None = None  # the rung of the segment that its player asked for last

    @property
    def taken(self) -> int:
        return self.rung if self.fetched is None else self.fetched


class MediaServer:
    """One media server; `start`, then faults as they come, then `close`."""

    def __init__(
        self, site: Site, entry: Entry, recorder: Recorder, seed: int = 1, warm: bool = True, part: float = 1
    ) -> None:
        """`part`: of its link, its rack's uplink and its places, what the fronts that ask here may use."""
        self.site, self.entry, self.rec, self.work_ms = site, entry, recorder, SETUP_MS
        self.rng = np.random.default_rng([seed, entry.server])
        plant = site.facts.plant
        rack = np.random.default_rng([seed, 1_000_003, entry.cell % plant.racks])
        uneven = 1 + UNEVEN * float(self.rng.uniform(-1, 1))
        self.link_kb = part * entry.weight * plant.kb_per_weight * uneven
        self.uplink_kb = part * plant.uplink_kb * (1 + UNEVEN * float(rack.uniform(-1, 1)))
        self.places = part * plant.streams[site.kinds.index(entry.kind)]
        self.started_us = 0 if warm else time.time_ns() // 1000
        self.begun_at = -1e9 if warm else time.monotonic()
        self.streams: dict[tuple[str, int], Stream] = {}
        self.pending: dict[tuple[str, int], asyncio.Event] = {}
        self.tombs: deque[tuple[str, int]] = deque(maxlen=10_000)
        self.notes: dict[int, tuple[int, asyncio.Queue[dict[str, Any]]]] = {}
        self.front_lost: dict[int, float] = {}
        self.faults: dict[str, Fault] = {}
        self.awake = asyncio.Event()
        self.awake.set()
        self.recent: deque[float] = deque()
        self.fallen = False
        self.rack_others, self.share, self.short_before = 0.0, 1.0, False
        self.history: deque[tuple[float, dict[str, float]]] = deque(maxlen=100)
        self.web = Server(self.handle, ServerLimits(idle_timeout_s=300, write_timeout_s=30))
        self.control = Server(
            self.handle_control, ServerLimits(max_connections=20, max_connections_per_address=20)
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.delayed: set[asyncio.TimerHandle] = set()

    async def start(self, control_port: int = 0) -> tuple[int, int]:
        """Listen; returns the port and the control socket's port."""
        host, _, port = self.entry.address.rpartition(":")
        got = await self.web.start(host, int(port))
        self.entry = msgspec.structs.replace(self.entry, address=f"{host}:{got}", started_us=self.started_us)
        self.rec.note(
            "begin",
            server=self.entry.server,
            started_us=self.started_us,
            warm=self.started_us == 0,
            kind=self.site.kinds.index(self.entry.kind),
        )
        control = await self.control.start(host, control_port)
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.register())]
        return got, control

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for handle in self.delayed:
            handle.cancel()
        await self.web.close()
        await self.control.close()

    # The link

    def warmth(self) -> float:
        rules = self.site.facts.rules
        age = (time.monotonic() - self.begun_at) * 1e6
        return min(1.0, rules.cold_from + (1 - rules.cold_from) * age / rules.cold)

    def link(self) -> float:
        kb = self.link_kb * self.warmth()
        slow, neighbour = self.faults.get("slow"), self.faults.get("neighbour")
        kb = kb / slow.size if slow else kb
        return kb * (1 - neighbour.size) if neighbour and int(time.monotonic() / 2) % 2 == 0 else kb

    def uplink(self) -> float:
        slow = self.faults.get("origin_slow")
        return self.uplink_kb / slow.size if slow else self.uplink_kb

    def rates(self, stream: Stream) -> tuple[float, ...]:
        """What each rung of a session takes: by the terms told with it, else by those of the file."""
        facts, told = self.site.facts, stream.setup.rates_kb
        factor = 1.0 if told else facts.groups[stream.setup.group].rate_factor
        return told or tuple(rate * factor for rate in facts.ladder.rate_kb)

    def rate(self, stream: Stream) -> float:
        return self.rates(stream)[stream.taken] * stream.factor

    def asked(self) -> float:
        return sum(self.rate(stream) for stream in self.streams.values())

    def load(self) -> dict[str, float]:
        asked = self.asked()
        return {
            "link_asked": asked / self.link(),
            "uplink_asked": (asked + self.rack_others) / self.uplink(),
            "util": min(1.0, asked / self.link()),
            "streams": float(len(self.streams)),
        }

    def report(self) -> dict[str, float]:
        """The reported fields: refreshed now and then, late and noisy."""
        late = 0.3 + (self.faults["report_late"].size if "report_late" in self.faults else 0.0)
        upto = time.monotonic() - late
        load = next((load for at, load in reversed(self.history) if at <= upto), None) or self.load()
        noise = 1 + 0.05 * float(self.rng.uniform(-1, 1))
        return {name: load[name] * noise for name in self.site.facts.report_fields}

    async def tick(self) -> None:
        plant, told, last_told, said = self.site.facts.plant, 0.0, 0.0, 0.0
        while True:
            await asyncio.sleep(TICK)
            if not self.awake.is_set():
                continue
            now, load = time.monotonic(), self.load()
            share = min(1.0, 1 / max(load["link_asked"], 1e-9), 1 / max(load["uplink_asked"], 1e-9))
            self.share = 0.5 * self.share + 0.5 * share
            self.history.append((now, load))
            if self.site.hints and now - said >= 1:
                said = now
                self.tell_hints()
            if now - told >= 1 and (self.share < 0.98 or self.short_before):
                told, self.short_before = now, self.share < 0.98
                self.tell_all("delivered", self.share)
            if plant.note_every and now - last_told >= plant.note_every / 1e6:
                last_told = now
                self.tell_all("link", load["link_asked"])
                if "uplink_asked" in self.site.facts.report_fields:
                    self.tell_all("uplink", load["uplink_asked"])
            for key, stream in list(self.streams.items()):
                setup = stream.setup
                idle = DETACH_GRACE if stream.detached_at else setup.attach_us / 1e6
                if not stream.attached and now - (stream.detached_at or stream.began) > idle:
                    self.end(key, "viewer-gone")
                held = self.notes.get(setup.front)
                lost = self.front_lost.setdefault(setup.front, stream.began) if held is None else now
                if held is not None and held[0] != setup.epoch or now - max(lost, stream.began) > FRONT_GRACE:
                    self.end(key, "front-gone")

    def tell_all(self, note: str, value: float) -> None:
        late = self.site.facts.plant.note_delay / 1e6
        if note != "delivered" and "report_late" in self.faults:
            late += self.faults["report_late"].size
        handle: asyncio.TimerHandle

        def tell() -> None:
            self.delayed.discard(handle)
            for _, queue in self.notes.values():
                if queue.qsize() < 1000:
                    queue.put_nowait({"note": note, "value": value})

        handle = asyncio.get_running_loop().call_later(late, tell)
        self.delayed.add(handle)

    async def register(self) -> None:
        """Heartbeats to the list, which answers with what the rest of the rack asks."""
        host, port = self.site.listing.address
        pool = Pool(host, port, 2, 0.5)
        while True:
            if self.awake.is_set() or self.faults.get("hang"):
                body = {"entry": self.entry, "asked_kb": self.asked()}
                with contextlib.suppress(NotSentError, BrokenError, LateError):
                    answer = await pool.request("POST", "/register", body, 0.5)
                    self.rack_others = msgspec.json.decode(answer.body, type=dict[str, float]).get(
                        "others", 0.0
                    )
            await asyncio.sleep(0.2)

    # Requests

    async def handle(self, request: Request) -> Reply:
        match request.method, request.path:
            case "POST", ("setups",):
                return await self.setup(request)
            case "DELETE", ("setups", sess, attempt):
                self.rec.note("teardown", sess=sess, attempt=int(attempt), server=self.entry.server)
                await self.awake.wait()
                self.cancel((sess, int(attempt)))
                return Reply(204)
            case "PUT", ("setups", sess, attempt, "rung"):
                rung = decode_json_body(request.body, Rung).rung
                self.rec.note("rung", sess=sess, attempt=int(attempt), rung=rung, server=self.entry.server)
                await self.awake.wait()
                stream = self.streams.get((sess, int(attempt)))
                if stream is None or not 0 <= rung < len(self.rates(stream)):
                    raise HttpError(404, "no-such-stream", sess)
                stream.rung = rung
                stream.changed.set()
                return Reply(204)
            case "GET", ("load",):
                await self.awake.wait()
                return Reply(200, {"server": self.entry.server, "report": self.report()})
            case "GET", ("notes",):
                await self.awake.wait()
                return self.follow(int(request.query["front"]), int(request.query["epoch"]))
            case "GET", ("play", sess):
                await self.awake.wait()
                return Reply(200, lines=self.play(self.found(sess)))
            case "GET", ("segment", sess):
                await self.awake.wait()
                return await self.segment(sess, self.found(sess), request)
            case _:
                raise HttpError(404, "no-such-resource", "/".join(request.path)[:100])

    def found(self, sess: str) -> Stream:
        found = next((stream for key, stream in self.streams.items() if key[0] == sess), None)
        if found is None:
            raise HttpError(404, "no-such-stream", sess)
        return found

    async def segment(self, sess: str, stream: Stream, request: Request) -> Reply:
        """One second of media at the rung asked for, at the shared rate; a byte stands for a hundred."""
        rates = self.rates(stream)
        asked = request.query.get("rung", "")
        stream.fetched = min(int(asked), len(rates) - 1, stream.setup.top) if asked.isdigit() else stream.rung
        said = cmcd.read_headers(request.headers).values
        load, rate, wanted = self.load(), self.rate(stream), said.get("rtp")
        speed = min(BURST, 1 / max(load["link_asked"], 1e-9), 1 / max(load["uplink_asked"], 1e-9))
        takes = 1 / speed
        if isinstance(wanted, int) and wanted > 0:
            takes = max(takes, rate / (wanted / 8))
        await asyncio.sleep(takes)
        await self.awake.wait()
        if stream.over:
            raise HttpError(404, "no-such-stream", sess)
        held = self.notes.get(stream.setup.front)
        dynamic = cmsd.write_dynamic([self.hop(rate * speed)])
        if self.site.hints and held is not None and held[1].qsize() < 1000:
            carried = {name: text for name, text in request.headers.items() if name.startswith("cmcd-")}
            held[1].put_nowait(
                {
                    "note": "hints",
                    "sess": sess,
                    "cmcd": carried,
                    "value": rate / takes,
                    "cmsd": {"dynamic": dynamic},
                }
            )
        fixed = {"br": round(rate * 8), "d": 1000, "ot": "v", "st": "v", "ht": round(takes * 1000)}
        headers = (
            ("Content-Type", "video/mp4"),
            (cmsd.STATIC_HEADER, cmsd.write_static(fixed)),
            (cmsd.DYNAMIC_HEADER, dynamic),
        )
        return Reply(200, bytes(round(rate * 10)), headers)

    def hop(self, kb: float) -> cmsd.Hop:
        """What this server says of itself, or is made to say."""
        duress, lie = self.share < 0.98, self.faults.get("hint_lies")
        if lie is not None:
            duress = lie.how != "idle"
        return cmsd.Hop(f"media-{self.entry.server}", {"etp": round(kb * 8), "du": duress})

    def tell_hints(self) -> None:
        """CMSD to all fronts, by the notes and as late as they are; it tells how old it is."""
        mean = self.link() / max(len(self.streams), 1)
        text, measured = cmsd.write_dynamic([self.hop(mean)]), time.monotonic()
        late, lie = self.site.facts.plant.note_delay / 1e6, self.faults.get("hint_late")
        handle: asyncio.TimerHandle

        def tell() -> None:
            self.delayed.discard(handle)
            age = 0.0 if "hint_stuck" in self.faults else (time.monotonic() - measured) * 1000
            for _, queue in self.notes.values():
                if queue.qsize() < 1000:
                    queue.put_nowait({"note": "cmsd", "cmsd": {"dynamic": text}, "age_ms": age})

        late += lie.size if lie is not None else 0.0
        handle = asyncio.get_running_loop().call_later(late, tell)
        self.delayed.add(handle)

    async def setup(self, request: Request) -> Reply:
        got = decode_json_body(request.body, Setup)
        key, server = (got.sess, got.attempt), self.entry.server
        self.rec.note(
            "setup",
            sess=got.sess,
            attempt=got.attempt,
            server=server,
            front=got.front,
            epoch=got.epoch,
            rung=got.rung,
            group=got.group,
            title=got.title,
            timeout_us=got.timeout_us,
            **({"rates_kb": got.rates_kb} if got.rates_kb else {}),
        )
        self.fall_if_rushed()
        gone = asyncio.create_task(self.gone(request, got))
        try:
            work = float(self.rng.uniform(*self.work_ms)) / 1000
            slow = self.faults.get("slow")
            over = self.pending[key] = asyncio.Event()
            if work > 0:
                with contextlib.suppress(TimeoutError):
                    await within(work * (slow.size if slow else 1), over.wait())
            while not over.is_set() and (self.fallen or not self.awake.is_set()):
                with contextlib.suppress(TimeoutError):
                    await within(0.05, over.wait())
            result = self.outcome(got, over.is_set())
        finally:
            self.pending.pop(key, None)
            gone.cancel()
        told = ("link_asked", "uplink_asked") if self.site.facts.plant.note_every else ()
        asked = {name.removesuffix("_asked"): self.load()[name] for name in told}
        lost = self.faults.get("answer_lost")
        if lost and float(self.rng.uniform()) < lost.size and result == "started":
            self.rec.note("answer-lost", sess=got.sess, attempt=got.attempt, server=server, how=lost.how)
            if lost.how != "reset":
                await request.disconnected.wait()
            return Reply(500, close_unanswered=True)
        self.rec.note("outcome", sess=got.sess, attempt=got.attempt, server=server, result=result)
        inline = self.site.facts.reporting.value == "inline"
        body = {
            "sess": got.sess,
            "attempt": got.attempt,
            "result": result,
            "asked": asked,
            "report": self.report() if inline else {},
        }
        return Reply({"started": 200, "full": 503, "error": 500, "cancelled": 409}[result], body)

    async def gone(self, request: Request, got: Setup) -> None:
        await request.disconnected.wait()
        self.rec.note("given-up", sess=got.sess, attempt=got.attempt, server=self.entry.server)
        self.cancel((got.sess, got.attempt))

    def outcome(self, got: Setup, over: bool) -> str:
        key, errors = (got.sess, got.attempt), self.faults.get("fast_errors")
        if over or key in self.tombs:
            return "cancelled"
        if errors and float(self.rng.uniform()) < errors.size:
            return "error"
        refuse = self.site.facts.plant.refuse_at
        if len(self.streams) >= self.places or (refuse and self.asked() >= refuse * self.link()):
            return "full"
        if "drain" in self.faults:
            return "full"
        title = np.random.default_rng(xxhash.xxh32_intdigest(got.title))
        factor = 1 + VARY * float(title.uniform(-1, 1)) + 0.05 * float(self.rng.uniform(-1, 1))
        self.streams[key] = Stream(got, got.rung, factor, time.monotonic())
        self.rec.note(
            "started",
            sess=got.sess,
            attempt=got.attempt,
            server=self.entry.server,
            front=got.front,
            group=got.group,
            title=got.title,
        )
        return "started"

    def fall_if_rushed(self) -> None:
        """A cold server that is sent too many set-ups within the rule's window falls over and stays down."""
        rules, now = self.site.facts.rules, time.monotonic()
        self.recent.append(now)
        while self.recent and self.recent[0] < now - rules.fall / 1e6:
            self.recent.popleft()
        pace = self.places / (rules.cold / 1e6) * self.warmth() * rules.fall_multiple * rules.fall / 1e6
        if (now - self.begun_at) * 1e6 < rules.cold and len(self.recent) > pace + SLACK and not self.fallen:
            self.rec.note("fell", server=self.entry.server, sent=len(self.recent), allowed=pace)
            self.fallen = True
            for key in list(self.streams):
                self.end(key, "fell")

    def cancel(self, key: tuple[str, int]) -> None:
        self.tombs.append(key)
        if key in self.pending:
            self.pending[key].set()
        if key in self.streams:
            self.end(key, "teardown")

    def end(self, key: tuple[str, int], why: str) -> None:
        stream = self.streams.pop(key, None)
        if stream is None:
            return
        stream.over = True
        stream.changed.set()
        setup = stream.setup
        self.rec.note(
            "ended", sess=key[0], attempt=key[1], server=self.entry.server, why=why, front=setup.front
        )
        held = self.notes.get(setup.front)
        if held is not None and held[0] == setup.epoch and why == "viewer-gone":
            held[1].put_nowait({"note": "ended", "sess": key[0], "attempt": key[1], "why": why})

    def follow(self, front: int, epoch: int) -> Reply:
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        mine = [key for key, s in self.streams.items() if (s.setup.front, s.setup.epoch) == (front, epoch)]
        queue.put_nowait({"note": "hello", "started_us": self.started_us or 1, "streams": mine})
        self.notes[front] = (epoch, queue)
        self.front_lost.pop(front, None)
        return Reply(200, lines=self.note_lines(front, queue))

    async def note_lines(self, front: int, queue: "asyncio.Queue[dict[str, Any]]") -> AsyncIterator[bytes]:
        try:
            while True:
                try:
                    line = await within(0.5, queue.get())
                except TimeoutError:
                    line = {"note": "beat"}
                await self.awake.wait()
                yield msgspec.json.encode(line) + b"\n"
        finally:
            held = self.notes.get(front)
            if held is not None and held[1] is queue:
                del self.notes[front]
                self.front_lost[front] = time.monotonic()

    async def play(self, stream: Stream) -> AsyncIterator[bytes]:
        stream.attached += 1
        try:
            while not stream.over:
                stream.changed.clear()
                yield msgspec.json.encode({"rung": stream.rung, "share": self.share}) + b"\n"
                with contextlib.suppress(TimeoutError):
                    await within(0.5, stream.changed.wait())
                await self.awake.wait()
            yield b'{"over":true}\n'
        finally:
            stream.attached -= 1
            stream.detached_at = time.monotonic()

    # Faults

    async def handle_control(self, request: Request) -> Reply:
        if request.method == "GET":
            return Reply(200, {"streams": [list(key) for key in self.streams], "asked": self.asked()})
        self.fault(decode_json_body(request.body, Fault))
        return Reply(204)

    def fault(self, fault: Fault) -> None:
        """Begin or end a trouble."""
        self.rec.note("fault", kind=fault.kind, on=fault.on, size=fault.size, server=self.entry.server)
        if fault.on:
            self.faults[fault.kind] = fault
        else:
            self.faults.pop(fault.kind, None)
        if fault.kind in ("hang", "vanish"):
            if fault.on:
                self.awake.clear()
                return
            if fault.kind == "vanish":
                self.begin_anew()
            self.awake.set()

    def begin_anew(self) -> None:
        """The machine is back: a new process on the old address, cold, that knows nothing."""
        for key in list(self.streams):
            self.end(key, "vanished")
        self.started_us, self.begun_at, self.fallen = time.time_ns() // 1000, time.monotonic(), False
        self.notes.clear()
        self.recent.clear()
        self.tombs.clear()
        self.entry = msgspec.structs.replace(self.entry, started_us=self.started_us)
        self.rec.note(
            "begin",
            server=self.entry.server,
            started_us=self.started_us,
            warm=False,
            kind=self.site.kinds.index(self.entry.kind),
        )
        self.web.abort_connections()
