"""The links of a rehearsal: every byte and datagram between two parties passes here, where faults are put on.

A party is a name: `front 3`, `server 1004`, `list`. A fault is in force between two sets of parties, one way
or both, from `put` to `lift`; each change is recorded with its moment, so that a test can say what was in
force when. On TCP a cut and a stall hold the bytes, as a link that is gone would: a stall lets them go when
it is lifted, a cut ends the connection then. A stream loses no bytes, so its loss (`resent`) shows as delay:
each segment goes astray with that chance, and it and all behind it wait until it is sent again (RFC 6298:
200 ms as kernels have it, doubled each time; 1 s for what opens a connection). Chance is drawn from the
seed."""

import asyncio
import contextlib
import functools
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Address = tuple[str, int]
READ = 65_536
HELD = 1 << 20  # bytes that one direction holds while it can't pass them on
ABORT = struct.pack("ii", 1, 0)
SEGMENT = 1460  # bytes
RESENT_AFTER, OPENED_AFTER = 0.2, 1.0  # s until a lost segment, and a lost opening, are sent again
MOST_RESENT = 8
MOST_WIRES = 5000  # connections at a time


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a link. Times in seconds, `rate` in bytes a second (0: as fast as it goes)."""

    cut: bool = False
    stall: bool = False
    loss: float = 0.0  # the share of datagrams that go astray
    delay: tuple[float, float] = (0.0, 0.0)
    rate: float = 0.0
    resent: float = 0.0  # the share of a stream's segments that go astray and are sent again


@dataclass(frozen=True, slots=True)
class Rule:
    """A fault in force on what goes from one of `source` to one of `target`; none named: any."""

    source: frozenset[str]
    target: frozenset[str]
    fault: Fault

    def meets(self, source: str, target: str) -> bool:
        return (not self.source or source in self.source) and (not self.target or target in self.target)


@dataclass(slots=True)
class Network:
    """All links. `note` records; `owner` tells whose a relayed connection is, by the port it leaves from;
    `passed` is told what goes through streams, and `opened` which connections reach the far end."""

    note: Callable[..., None] = lambda what, **fields: None
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    rules: list[Rule] = field(default_factory=list)
    owner: dict[int, str] = field(default_factory=dict)
    passed: Callable[[str, str, bytes], None] | None = None
    opened: Callable[[str, str, int], None] | None = None  # with 1 as it opens and -1 as it ends
    most_wires: int = MOST_WIRES
    turned_away: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _wires: set["_Wire"] = field(default_factory=set)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _posts: dict[str, "_Post"] = field(default_factory=dict)
    _from: dict[Address, "_Post"] = field(default_factory=dict)  # whose a word is, by where it comes from

    def put(self, source: set[str], target: set[str], fault: Fault, both: bool = True) -> list[Rule]:
        """A fault from now on; what comes back lifts it."""
        made = [Rule(frozenset(source), frozenset(target), fault)]
        if both:
            made.append(Rule(frozenset(target), frozenset(source), fault))
        self.rules.extend(made)
        self._say("link-fault", made, fault)
        return made

    def lift(self, made: list[Rule]) -> None:
        """End a fault. Connections over a link that was cut are reset: their bytes are gone."""
        self.rules = [rule for rule in self.rules if all(rule is not one for one in made)]
        self._say("link-whole", made, made[0].fault)
        if made[0].fault.cut:
            self._reset(made)

    def reset(self, source: set[str], target: set[str]) -> None:
        """Reset every connection between these at once."""
        rule = Rule(frozenset(source), frozenset(target), Fault())
        self._say("link-reset", [rule], rule.fault)
        self._reset([rule])

    def _reset(self, rules: list[Rule]) -> None:
        for wire in list(self._wires):
            if any(rule.meets(wire.source, wire.target) for rule in rules):
                wire.abort()

    def _say(self, what: str, rules: list[Rule], fault: Fault) -> None:
        shown = {name: getattr(fault, name) for name in ("cut", "stall", "loss", "delay", "rate", "resent")}
        self.note(what, ways=[[sorted(r.source), sorted(r.target)] for r in rules], fault=shown)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def between(self, source: str, target: str) -> Fault:
        """All that is in force one way, as one fault."""
        found = [rule.fault for rule in self.rules if rule.meets(source, target)]
        if not found:
            return Fault()
        rates = [fault.rate for fault in found if fault.rate]
        cut, stall = any(fault.cut for fault in found), any(fault.stall for fault in found)
        loss, delay = max(fault.loss for fault in found), max(fault.delay for fault in found)
        resent = max(fault.resent for fault in found)
        return Fault(cut, stall, loss, delay, min(rates, default=0.0), resent)

    async def passable(self, source: str, target: str) -> Fault:
        """Wait until a link passes bytes; what else is wrong with it."""
        while (fault := self.between(source, target)).cut or fault.stall:
            await self._changed.wait()
        return fault

    def wait_of(self, fault: Fault, size: int) -> float:
        return self.rng.uniform(*fault.delay) + (size / fault.rate if fault.rate else 0.0)

    def resent_after(self, fault: Fault, size: int, first: float = RESENT_AFTER) -> float:
        """How long so many bytes of a stream wait for what went astray of them, in seconds. Segments of one
        sending are sent again side by side, so the one that goes astray most often tells."""
        if not fault.resent:
            return 0.0
        worst = 0
        for _ in range(-(-size // SEGMENT)):
            times = 0
            while times < MOST_RESENT and self.rng.random() < fault.resent:
                times += 1
            worst = max(worst, times)
        return float(first * (2**worst - 1))

    async def stream(self, source: str, target: str, to: Address, port: int = 0) -> Address:
        """A link for connections from one party to another; where the first finds it."""
        accept = functools.partial(self._accept, source, target, to)
        server = await asyncio.start_server(accept, "127.0.0.1", port, limit=HELD, backlog=1024)
        self._servers.append(server)
        host, got = server.sockets[0].getsockname()[:2]
        return str(host), int(got)

    async def _accept(
        self,
        source: str,
        target: str,
        to: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if len(self._wires) >= self.most_wires:
            # Guards against a fleet that tries anew while this process lags: it would take all descriptors,
            # and then do nothing but say so.
            self.turned_away += 1
            _abort(writer)
            return
        wire = _Wire(self, source, target)
        wire.writers.append(writer)
        self._wires.add(wire)
        try:
            fault = await self.passable(source, target)  # a connection that can't get through never comes up
            if (wait := self.resent_after(fault, 1, OPENED_AFTER)) > 0:
                await asyncio.sleep(wait)
            if wire.ended:  # over a link that was cut: its opening never reached the far end
                return
            # Bound first: the far end asks whose it is before the connect has returned here.
            sock = socket.socket()
            sock.setblocking(False)
            sock.bind(("127.0.0.1", 0))
            self.owner[sock.getsockname()[1]] = source
            await asyncio.get_running_loop().sock_connect(sock, to)
            there, back = await asyncio.open_connection(sock=sock, limit=HELD)
            wire.writers.append(back)
            if wire.ended:
                raise ConnectionResetError
            if self.opened is not None:
                self.opened(source, target, 1)
                wire.reached = True
            ways = (self._pump(reader, back, source, target), self._pump(there, writer, target, source))
            wire.tasks = [asyncio.create_task(way) for way in ways]
            await asyncio.wait(wire.tasks, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):  # cancelled: the rehearsal ends
            wire.abort()
        finally:
            if wire.reached and self.opened is not None:
                self.opened(source, target, -1)
            for task in wire.tasks:
                task.cancel()
            for one in wire.writers:
                one.close()
            self._wires.discard(wire)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        """Pass bytes on until one side ends. A reset passes on as a reset."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ):
                fault = await self.passable(source, target)
                wait = self.wait_of(fault, len(data)) + self.resent_after(fault, len(data))
                if wait > 0:
                    await asyncio.sleep(wait)
                if self.passed is not None:
                    self.passed(source, target, data)
                writer.write(data)
                await writer.drain()
            return
        _abort(writer)

    # Datagrams

    async def post(self, party: str, to: Address) -> Address:
        """The address under which all others know a party's word socket; what comes there is passed on."""
        loop = asyncio.get_running_loop()
        transport, made = await loop.create_datagram_endpoint(
            lambda: _Post(self, party, to), local_addr=("127.0.0.1", 0)
        )
        made.transport = transport
        self._posts[party] = self._from[to] = made
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def pass_on(self, post: "_Post", data: bytes, came_from: Any) -> None:
        """Guards against a word that nobody of the fleet sent: who it is from is known by its address."""
        sender = self._from.get(came_from)
        if sender is None:
            return
        fault = self.between(sender.party, post.party)
        if fault.cut or fault.stall or self.rng.random() < fault.loss:
            return
        wait = self.wait_of(fault, len(data))
        if wait > 0:
            asyncio.get_running_loop().call_later(wait, sender.send, data, post.to)
        else:
            sender.send(data, post.to)

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for wire in list(self._wires):
            wire.abort()
        for post in self._posts.values():
            if post.transport is not None:
                post.transport.close()


class _Wire:
    """One connection through the relay."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network, self.source, self.target = network, source, target
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.ended = self.reached = False

    def abort(self) -> None:
        self.ended = True
        for writer in self.writers:
            _abort(writer)


class _Post(asyncio.DatagramProtocol):
    """One party's place for words."""

    def __init__(self, network: Network, party: str, to: Address) -> None:
        self.network, self.party, self.to = network, party, to
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.network.pass_on(self, data, addr[:2])

    def send(self, data: bytes, to: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, to)


def _abort(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, not with an orderly end."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    writer.transport.abort()
