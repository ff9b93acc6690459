"""The shell towards viewers on the platform: binary messages on any number of connections.

A set-up is answered on its connection and given up with it; a session that plays belongs to none."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.effects import Answer, Ask
from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock, once_read
from ponddoor.node import viewer_codec as codec
from ponddoor.node.board_codec import number_of

SILENT = 2 * SECOND  # a connection that has brought nothing of use so long after it opened is closed
HALF = 3 * SECOND // 2  # so is one that does not end a message it has begun
FRESH = SECOND // 4  # so long a new connection has to bring something before it makes room for others
OWED = 4096  # releases that wait for a connection from viewers
OWED_TIME = 30 * SECOND
SAID = 20  # lines about requests that can't be used
BUFFERED = 1 << 18  # bytes that a viewer may leave unread
AT_ONCE = 4  # connections accepted in a turn of the loop: with the turns until room is made, and those that
# are being closed, a crowd takes fewer descriptors beyond its part than are spare
BACKLOG = 1024  # connections that the machine may hold until then
READING = SECOND  # a viewer may need so long to read what was written, before a close that would destroy it
TURNS = 8  # of the loop, from a connection that may be accepted to its first bytes handled
LEAVING = 16  # connections that are left so long; past that they end at once
log = structlog.get_logger("viewers")


class _Wire(asyncio.Protocol):
    """One connection of viewers. `proven` once something of use came."""

    def __init__(self, viewers: "Viewers") -> None:
        self.viewers, self.reader = viewers, codec.Reader()
        self.transport: asyncio.Transport | None = None
        self.waiting: dict[str, None] = {}
        self.opened = clock()
        self.proven = self.trusted = self.leaving = False
        self.playing = 0  # sessions that came by it and stand
        self.wrote = 0
        self.half_since: int | None = None

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.leaving and not self.transport.is_closing()

    @property
    def busy(self) -> bool:
        """Whether somebody is answered on it, or has begun to ask."""
        return bool(self.waiting) or self.half_since is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        log.debug("opened", wire=id(self), here=len(self.viewers.wires))
        self.viewers.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.leaving:
            return
        messages, why = self.reader.feed(data)
        for message in messages:
            if not self.open:
                return
            self.viewers.take(self, message)
        now = clock()
        if why:
            self.viewers.close_wire(self, "unreadable")
        if messages or not self.reader.partial:  # what is left has begun only now
            self.half_since = None
        if self.reader.partial:
            self.half_since = self.half_since or now

    def connection_lost(self, exc: Exception | None) -> None:
        self.viewers.closed(self)

    def write(self, data: bytes) -> None:
        if self.transport is None or not self.open:
            return
        self.wrote = clock()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > BUFFERED:
            self.viewers.count("does-not-read")
            self.transport.abort()

    def finish(self, linger: bool) -> None:
        """No more is said. With `linger` the viewer has a second to read and to close.

        Guards against a reset, which a connection closed with bytes unread gets, and which may destroy what
        was written to it on its way. It may harm where descriptors are short: few linger at a time."""
        if self.transport is None or self.leaving:
            return
        if linger and not self.transport.is_closing():
            self.leaving = True
            self.transport.write_eof()
        else:
            self.transport.close()
        if self.leaving or self.transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(READING / SECOND, self.transport.abort)


def _first(wires: Iterable[_Wire], fits: Callable[[_Wire], bool]) -> _Wire | None:
    return next(filter(fits, wires), None)


@dataclass(slots=True)
class Viewers:
    """All viewers of one front. At most `most` connections; `attend` is told where sessions play."""

    engine: Engine
    apply: Apply
    attend: Callable[[int], None]
    groups: tuple[str, ...]
    most: int
    ready: bool = False
    wires: dict[_Wire, None] = field(default_factory=dict)
    waiting: dict[str, _Wire] = field(default_factory=dict)
    standing: dict[str, _Wire] = field(default_factory=dict)
    coming: dict[str, Ask] = field(default_factory=dict)  # set-ups that the decisions do not know yet
    owed: deque[tuple[int, bytes]] = field(default_factory=deque)
    counts: dict[str, int] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _pools: tuple[dict[_Wire, None], ...] = field(default_factory=lambda: ({}, {}, {}))
    _making_room: bool = False
    _leaving: list[int] = field(default_factory=list)  # when the last were left to read

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    async def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError where the address can't be had."""
        listening = socket.create_server((host, port), backlog=BACKLOG)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Wire(self), sock=listening, backlog=AT_ONCE)
        listening.listen(BACKLOG)  # the loop takes for both what it accepts in a turn and what may wait

    # Connections

    def opened(self, wire: _Wire) -> None:
        self.wires[wire] = None
        self._file(wire)
        self._make_room()

    def _file(self, wire: _Wire) -> None:
        """Into its pool, behind all others: strangers, those that a session came by, those that have one."""
        for pool in self._pools:
            pool.pop(wire, None)
        if wire in self.wires:
            self._pools[2 if wire.playing else wire.trusted][wire] = None

    def _make_room(self) -> None:
        """Guards against crowds of connections: an idle one makes room for a new one. It is chosen once all
        that has come is read: one that has just asked is not idle."""
        if len(self.wires) > self.most and not self._making_room:
            self._making_room = True
            once_read(self._made_room)

    def _made_room(self) -> None:
        self._making_room = False
        # One just opened is about to ask: closed for the next, a burst would end all but its last. Of
        # strangers the idle go first, then those long about a message, then those that have had their test.
        fresh = clock() - FRESH
        strangers, known, with_sessions = self._pools
        while len(self.wires) > self.most:
            wire = (
                _first(strangers, lambda one: not one.busy and one.opened <= fresh)
                or _first(strangers, lambda one: not one.waiting and one.opened <= fresh)
                or _first(strangers, lambda one: not one.busy and one.proven)
                or _first(known, lambda one: not one.busy)
                or _first(with_sessions, lambda one: not one.busy)
                or _first(self.wires, lambda one: not one.waiting)
            )
            if wire is None:
                self.close_wire(next(reversed(self.wires)), "too-many-connections")
            else:
                self.close_wire(wire, "made-room")

    def close_wire(self, wire: _Wire, why: str) -> None:
        self.count(why)
        log.debug(
            "closing",
            wire=id(wire),
            why=why,
            age=clock() - wire.opened,
            proven=wire.proven,
            trusted=wire.trusted,
            waiting=len(wire.waiting),
        )
        self._forget(wire)
        self._give_up(wire)
        leaving = [at for at in self._leaving if clock() - at < READING]
        linger = len(leaving) < LEAVING and clock() - wire.wrote < READING
        self._leaving = [*leaving, clock()] if linger else leaving
        wire.finish(linger)

    def _forget(self, wire: _Wire) -> None:
        self.wires.pop(wire, None)
        self._file(wire)

    def closed(self, wire: _Wire) -> None:
        self._forget(wire)
        self._give_up(wire)

    def _give_up(self, wire: _Wire) -> None:
        """Set-ups end with their connection, sessions that play do not."""
        waiting, wire.waiting = wire.waiting, {}
        for sess in waiting:
            self._left(sess)

    def _left(self, sess: str) -> None:
        wire = self.waiting.pop(sess, None)
        if wire is not None:
            wire.waiting.pop(sess, None)
        self._ended(sess)
        if self.coming.pop(sess, None) is not None:
            self.count("taken-back")
        else:
            self.apply(lambda now: self.engine.left(now, sess))

    def _stands(self, sess: str, wire: _Wire) -> None:
        self.standing[sess] = wire
        wire.playing += 1
        self._file(wire)

    def _ended(self, sess: str) -> _Wire | None:
        """The connection that a session that stood came by."""
        wire = self.standing.pop(sess, None)
        if wire is not None:
            wire.playing -= 1
            self._file(wire)
        return wire

    # Messages

    def take(self, wire: _Wire, message: codec.Message) -> None:
        self._file(wire)
        log.debug("viewer-says", wire=id(wire), said=message)
        match message:
            case codec.Asked():
                self._asked(wire, message)
            case codec.Unusable(sess, why):
                self._unusable(wire, sess, why)
            case codec.Ended(sess):
                # Guards against a stranger that gives up another's set-up: that belongs to its connection,
                # and nobody would be answered. A session that stands may be ended from any.
                if self.waiting.get(sess, wire) is wire and (sess in wire.waiting or sess in self.standing):
                    wire.proven = True
                    self._left(sess)
            case codec.Tested(sess):
                wire.proven = True
                wire.write(codec.tested(sess, self.ready))

    def _asked(self, wire: _Wire, asked: codec.Asked) -> None:
        plant, ladder = self.engine.facts.plant, self.engine.facts.ladder
        usable = (
            asked.group in self.groups
            and asked.home < plant.cells
            and asked.span <= plant.cells
            and asked.top < len(ladder.rate_kb)
        )
        if not usable:
            self._unusable(wire, asked.sess, "out of range")
            return
        ask = Ask(
            asked.title,
            self.groups.index(asked.group),
            0,
            asked.home,
            asked.span,
            asked.top,
            asked.wait,
            asked.length,
            asked.viewer,
            asked.again,
            False,
            asked.description,
        )
        sess, known = asked.sess, self._known(asked.sess)
        wire.proven = True
        if asked.at:
            if not known:
                server = number_of(asked.at)
                self._stands(sess, wire)
                self.apply(lambda now: self.engine.handed_over(now, sess, ask, server))
                self.attend(server)
            return
        if known:
            self._again(wire, sess)
            return
        self.waiting[sess] = wire
        wire.waiting[sess] = None
        read = clock()
        self.coming[sess] = ask
        if len(self.coming) + self.engine.in_hand <= self.engine.gate.limits.in_hand:
            once_read(lambda: self._request(sess, ask, read))
        else:  # the engine says that it is too much
            self._request(sess, ask, read)

    def _request(self, sess: str, ask: Ask, read: int) -> None:
        """Guards against set-ups that what came with them takes back, or asks again under the same id: each
        counted as an arrival, by which probes are paced, and put its questions to keepers."""
        if self.coming.get(sess) is ask:  # else it has ended by now
            del self.coming[sess]
            ask = replace(ask, wait=max(ask.wait - (clock() - read), 1))
            self.apply(lambda now: self.engine.request(now, sess, ask, None)[1])

    def _known(self, sess: str) -> bool:
        return sess in self.coming or self.engine.find(sess) is not None

    def _again(self, wire: _Wire, sess: str) -> None:
        """Guards against an id used twice: the session that has it, if another's, is left as it is."""
        self.count("id-used-twice")
        first = self.waiting.get(sess)
        if first is wire:
            self._left(sess)
            wire.write(codec.failed(sess))
        elif first is not None and wire.trusted and not first.trusted:
            # Guards against a stranger's copy that was read before the viewer's own set-up: who has had
            # sessions here is answered, and the stranger's is given up. It may harm nobody who is trusted.
            self.count("overtaken")
            self._left(sess)
            wire.write(codec.failed(sess))
            if not first.waiting:
                self.close_wire(first, "closed-for-id")
        elif wire.waiting:
            wire.write(codec.failed(sess))
        else:
            self.close_wire(wire, "closed-for-id")

    def _unusable(self, wire: _Wire, sess: str, why: str) -> None:
        self.count("unusable")
        if self.counts["unusable"] <= SAID:
            log.info("unusable", session=sess, why=why)
        if self._known(sess):
            self._again(wire, sess)
        else:
            wire.write(codec.failed(sess))

    # What the engine wants

    def carry_out(self, effect: fx.Reply | fx.Push) -> None:
        log.debug("to-viewer", effect=effect)
        match effect:
            case fx.Reply(sess, answer):
                self._reply(sess, answer)
            case fx.Push(sess, "ended", why):
                wire = self._ended(sess)
                if wire is not None and why != "viewer-gone":
                    self._release(wire, codec.over(sess, why == "lost"))
            case fx.Push(sess, "moved"):
                wire = self._ended(sess)
                if wire is not None:
                    self._release(wire, codec.moved(sess))

    def _reply(self, sess: str, answer: Answer) -> None:
        wire = self.waiting.pop(sess, None)
        if wire is None:
            return
        wire.waiting.pop(sess, None)
        match answer.kind:
            case "playing":
                wire.trusted = True
                self._stands(sess, wire)
                wire.write(codec.stands(sess, answer.passed))
            case "busy":
                wire.write(codec.busy(sess, answer.come_back))
            case "torn-down":
                wire.write(codec.failed(sess))

    def _release(self, wire: _Wire, message: bytes) -> None:
        """On the session's own connection, else on one that sessions came by, else on the next that opens."""
        if not wire.open:
            wire = next((one for one in reversed(self.wires) if one.trusted and one.open), wire)
        if wire.open:
            wire.write(message)
        elif len(self.owed) < OWED:
            self.owed.append((clock(), message))
        else:
            self.count("too-many-owed")

    def look(self, now: int) -> None:
        """Called every quarter of a second or so."""
        for wire in list(self.wires):
            if wire.half_since is not None and now - wire.half_since > HALF:
                self.close_wire(wire, "half-a-message")
            elif not wire.proven and now - wire.opened > SILENT:
                self.close_wire(wire, "silent")
        self._make_room()
        proven = next((one for one in reversed(self.wires) if one.proven and one.open), None)
        while self.owed and (proven is not None or now - self.owed[0][0] > OWED_TIME):
            _, message = self.owed.popleft()
            if proven is not None:
                proven.write(message)

    @property
    def busy(self) -> bool:
        return any(wire.busy for wire in self.wires)

    async def accept_no_more(self) -> None:
        """Nobody new; who has come by now is taken in, and what they have sent by now is read."""
        for _ in range(TURNS):
            await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """End every connection once what was written to it has been read, or a second has passed."""
        wires = list(self.wires)
        for wire in wires:
            wire.finish(True)
        until = clock() + READING
        while self.wires and clock() < until:
            await asyncio.sleep(0.01)
        for wire in list(self.wires):
            if wire.transport is not None:
                wire.transport.abort()
