"""Stand-in media servers of a soak run."""

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

from ponddoor.soak.conditions import SOUND, Condition, Message
from ponddoor.soak.oracle import Oracle
from ponddoor.soak.records import FOREVER, Attempt, AttemptEnd, NodeLife, Opening, Session, SessionEnd
from ponddoor.soak.server_links import FaultDraw, FaultyLink, FaultyTransport
from ponddoor.soak.stallable_listener import StallableListener
from ponddoor.soak.wire import MAX_MESSAGE_BYTES, Cause, server_line

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
ANSWER_S = (0.0, 0.05)  # from a set-up to its answer
NO_CONNECT_SHARE, NO_CONNECT_S = 0.2, 0.4  # behind a faulty link
UNREAD_S = 0.5  # a release that was written so long before a reset may not have been read
RUBBISH, PIECE = b"\x00\xff{noise\n", b"{"


class Mode(Enum):
    """How a server behaves."""

    WELL = "well"
    HANGS = "hangs"
    SILENT = "silent"
    FULL = "full"
    ERRORS = "errors"
    SPOILS = "spoils"
    RESETS = "resets"  # whatever connects; only behind a shared listener


MUTE_MODES = (Mode.HANGS, Mode.SILENT, Mode.RESETS)  # no proof of life reaches a node


@dataclass(slots=True)
class MediaServer:
    """One server. Each node has an address of its own for it; `life_of` tells the process behind one."""

    id: str
    oracle: Oracle
    rng: Random
    acknowledges: bool
    hosts: tuple[str, ...]
    life_of: Callable[[str], NodeLife | None]
    on_session_end: Callable[[Session], None]
    port: int
    session_s: tuple[float, float]  # how long a session stands
    mode: Mode = Mode.WELL
    standing: dict[str, Session] = field(default_factory=dict)
    connections: "set[_Connection]" = field(default_factory=set)
    release_again: dict[int, list[Session]] = field(default_factory=dict)  # by node, for its next connection
    in_service: bool = True
    connects: list[float] = field(default_factory=list)  # when nodes connected
    link_faults: FaultDraw | None = None  # of the connections that nodes open
    _troubles: set[str] = field(default_factory=set)  # why it can't be judged by what reaches it
    _conditions: dict[int, Condition] = field(default_factory=dict)  # by node, where it is not sound
    _listeners: list[StallableListener] = field(default_factory=list)  # by node

    def start(self) -> None:
        """Listen. Raises OSError where the port is taken."""
        for host in self.hosts:
            listener = StallableListener(self._accepted)
            listener.start(host, self.port)
            self._listeners.append(listener)

    def _accepted(self) -> asyncio.Protocol:
        self.connects.append(time.monotonic())
        connection = _Connection(self)
        return connection if self.link_faults is None else FaultyLink(connection, self._schedule_faults)

    def _schedule_faults(self, transport: FaultyTransport) -> None:
        assert self.link_faults is not None
        life = self.life_of(transport.get_extra_info("sockname")[0])
        node = -1 if life is None else life.node
        cause = f"link {id(transport)}"
        transport.on_fault = lambda: self._trouble_begins(time.monotonic(), cause)
        transport.on_reset = lambda: self.forget_unread_releases(node)
        transport.on_end = lambda: self._link_ended(node, cause)
        for fault in self.link_faults.draw(node):
            transport.schedule(fault)

    def _link_ended(self, node: int, cause: str) -> None:
        """After a faulty connection, sometimes none comes up for a while."""
        if cause not in self._troubles:
            return
        self._trouble_ends(time.monotonic(), cause)
        assert self.link_faults is not None
        if node < len(self._listeners) and self.link_faults.random.random() < NO_CONNECT_SHARE:
            listener = self._listeners[node]
            listener.stall()
            asyncio.get_running_loop().call_later(NO_CONNECT_S, listener.resume)

    def condition(self, node: int) -> Condition:
        """How it behaves towards a node, beside its mode."""
        return self._conditions.get(node, SOUND)

    def set_condition(self, node: int, condition: Condition) -> None:
        """Behave like this towards one node from now on."""
        now, was = time.monotonic(), self.condition(node)
        if was.mute and not condition.mute:
            self.oracle.note_heard_again(self.id, node, now)
        elif condition.mute and not was.mute:
            self.oracle.note_mute(self.id, node, now)
        if condition != SOUND:
            self._trouble_begins(now, f"node {node}")
        else:
            self._trouble_ends(now, f"node {node}")
        self._conditions[node] = condition
        if node < len(self._listeners):
            listener = self._listeners[node]
            if condition.connections == "never":
                listener.stall()
            else:
                listener.resume()
        for connection in list(self.connections):
            if connection.node == node:
                if condition.connections == "forgotten":
                    connection.forget()
                connection.condition_changed()

    def _trouble_begins(self, now: float, cause: str) -> None:
        """A trouble of a server lasts from its first cause to the end of its last."""
        if not self._troubles:
            self.oracle.server_troubles.setdefault(self.id, []).append((now, FOREVER))
        self._troubles.add(cause)

    def _trouble_ends(self, now: float, cause: str) -> None:
        if cause not in self._troubles:
            return
        self._troubles.remove(cause)
        if not self._troubles:
            begin, _ = self.oracle.server_troubles[self.id][-1]
            self.oracle.server_troubles[self.id][-1] = (begin, now + 1.0)

    def end_session(self, session: Session, how: SessionEnd) -> None:
        """A session is over here."""
        if self.standing.pop(session.request, None) is None:
            return
        session.ended_at, session.end = time.monotonic(), how
        if how is SessionEnd.SERVER:
            self._release(session)

    def _release(self, session: Session) -> None:
        """On the connection of its set-up, else on any of the node, and on the next one that it opens: on no
        other. What could not be written, or was lost on its way, is not said again on one that was open."""
        node = session.life.node
        self.release_again.setdefault(node, []).append(session)
        for connection in sorted(self.connections, key=lambda one: session.request not in one.brought):
            if connection.node == node and connection.open and connection.speaks:
                if connection.say_end(session, message="release"):
                    self.on_session_end(session)
                return

    def set_mode(self, mode: Mode) -> None:
        """Behave like this from now on."""
        now = time.monotonic()
        unreachable = (Mode.SILENT, Mode.RESETS)
        if self.mode in unreachable and mode not in unreachable:
            self._trouble_ends(now, "mode")
        elif mode in unreachable and self.mode not in unreachable:
            self._trouble_begins(now, "mode")
        for node in range(len(self.hosts)):
            if mode in MUTE_MODES and self.mode not in MUTE_MODES:
                self.oracle.note_mute(self.id, node, now)
            elif self.mode in MUTE_MODES and mode not in MUTE_MODES:
                self.oracle.note_heard_again(self.id, node, now)
        was, self.mode = self.mode, mode
        if was is Mode.SILENT:
            for connection in list(self.connections):
                connection.read_on()
        if mode is Mode.RESETS:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset every open connection, with what is out on it."""
        if self.connections:
            self.forget_unread_releases()
        for connection in list(self.connections):
            connection.reset()

    def forget_unread_releases(self, node: int | None = None) -> None:
        """A release written just before a reset may be destroyed: it counts from the next connection of its
        node. Without a node, the connections of all were reset."""
        now = time.monotonic()
        for session in self.oracle.sessions.values():
            unread = now - session.told_node_at < UNREAD_S and session.heard_at > now
            if unread and session.server == self.id and node in (None, session.life.node):
                session.told_node_at = FOREVER

    async def die(self) -> None:
        """The process ends: connections are reset, sessions are cut, new connections are refused."""
        self.in_service = False
        self._close_listeners()
        self._trouble_begins(time.monotonic(), "dead")
        for session in list(self.standing.values()):
            self.end_session(session, SessionEnd.SERVER_DIED)
        self.release_again.clear()
        self.reset_connections()

    def close(self) -> None:
        """The end of the run."""
        self._close_listeners()
        for connection in list(self.connections):
            connection.reset()

    def _close_listeners(self) -> None:
        for listener in self._listeners:
            listener.close()


class SharedListener:
    """One listener for any number of servers: each has an address of its own in each node's network."""

    def __init__(self, server_at: Callable[[str], MediaServer | None]) -> None:
        """`server_at` tells the server behind an address; None where none is in service."""
        self._server_at = server_at
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    def start(self, port: int) -> None:
        """Listen on every loopback address. Raises OSError where the port is taken."""
        opened = self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind(("0.0.0.0", port))
        opened.listen(4096)
        opened.setblocking(False)
        asyncio.get_running_loop().add_reader(opened, self._accept, opened)

    def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                opened, _ = listener.accept()
            except OSError:
                return
            server = self._server_at(opened.getsockname()[0])
            if server is not None:
                server.connects.append(time.monotonic())
            if server is None or server.mode is Mode.RESETS:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                opened.close()
                continue
            opened.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(self._connect(server, opened))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, server: MediaServer, opened: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: _Connection(server), opened)

    def close(self) -> None:
        """The end of the run."""
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()


class _Connection(asyncio.Protocol):
    """One connection from a node."""

    def __init__(self, server: MediaServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.unread = bytearray()  # what came while the server was silent
        self.out: dict[str, Attempt] = {}
        self.brought: set[str] = set()  # sessions whose set-up came on it
        self.life: NodeLife | None = None
        self.spoilt = False  # something unreadable was sent: the node reads nothing after it
        self.forgotten = False  # the server takes it for gone: nothing is read or written any more
        self.timers: list[asyncio.TimerHandle] = []
        self.opening = Opening(time.monotonic())

    @property
    def open(self) -> bool:
        usable = self.transport is not None and not self.transport.is_closing()
        return usable and not self.spoilt and not self.forgotten

    @property
    def condition(self) -> Condition:
        return self.server.condition(self.node)

    @property
    def reads(self) -> bool:
        return self.server.mode is not Mode.SILENT and self.condition.reads

    @property
    def speaks(self) -> bool:
        return self.server.mode is not Mode.SILENT and self.condition.speaks

    def condition_changed(self) -> None:
        """Ends, rubbish and pieces come by timers of their own; what was unread is read once it may be."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        condition, loop = self.condition, asyncio.get_running_loop()
        if condition.ends_connections:
            self.timers.append(loop.call_later(condition.after_s, self._end_by_condition))
        if condition.speech in ("rubbish", "pieces") and condition.reads:
            self._say_no_message()
        if self.reads:
            self.read_on()

    def _end_by_condition(self) -> None:
        if self.transport is None:
            return
        if self.condition.connections == "reset":
            self.reset()
        else:
            self._end_all(AttemptEnd.RESET)
            self.transport.close()

    def _say_no_message(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        rubbish = self.condition.speech == "rubbish"
        self.transport.write(RUBBISH if rubbish else PIECE)
        self.spoilt = True
        self.timers.append(asyncio.get_running_loop().call_later(1.0, self._say_no_message))

    @property
    def node(self) -> int:
        return -1 if self.life is None else self.life.node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.life = self.server.life_of(transport.get_extra_info("sockname")[0])
        self.server.connections.add(self)
        self.server.oracle.note_opening(self.server.id, self.node, self.opening)
        if self.condition != SOUND:
            self.condition_changed()
        if self.speaks:
            self.say_owed_releases()

    def say_owed_releases(self) -> None:
        """As a connection opens, and never later. What follows rubbish is not read: it stays owed."""
        if not self.open:
            return
        for session in self.server.release_again.pop(self.node, []):
            if self.life is not None and session.told_node_at < self.life.started_at:
                session.told_node_at = FOREVER  # to a process that is gone
            session.repeated_to = self.life
            self.say_end(session)

    def say_end(self, session: Session, message: Message = "other") -> bool:
        """Release a session, and note when its node has that. Returns whether it was not lost here."""

        def told() -> None:
            session.told_node_at = min(session.told_node_at, time.monotonic())

        return self.say("down", session.request, Cause.ENDED, message=message, passed=told)

    def forget(self) -> None:
        """The server takes the connection for gone, without a word: set-ups open on it are given up."""
        self.forgotten = True
        self._end_all(AttemptEnd.GIVEN_UP)

    def connection_lost(self, exc: Exception | None) -> None:
        for timer in self.timers:
            timer.cancel()
        self.server.connections.discard(self)
        self._end_all(AttemptEnd.RESET)

    def _end_all(self, end: AttemptEnd) -> None:
        for attempt in self.out.values():
            attempt.ended_at, attempt.end = time.monotonic(), end
        self.out.clear()

    def reset(self) -> None:
        self.server.connections.discard(self)
        self._end_all(AttemptEnd.RESET)
        if self.transport is not None:
            self.transport.abort()

    def say(
        self,
        kind: str,
        session: str,
        cause: int | None = None,
        message: Message = "other",
        passed: Callable[[], None] = lambda: None,
        **fields: Any,
    ) -> bool:
        """Write a message, and call `passed` once it has passed the link. Returns whether it was written."""
        if not self.open or self.transport is None or self.condition.loses(message):
            return False
        line = server_line(kind, session, cause, **fields)

        def noted() -> None:
            self.opening.message_passed(time.monotonic())
            passed()

        if isinstance(self.transport, FaultyTransport):
            self.transport.write_noted(line, noted)
        else:
            self.transport.write(line)
            noted()
        return True

    def data_received(self, data: bytes) -> None:
        if self.forgotten:
            return
        if not self.reads:
            self.unread += data
            return
        self.buffer += data
        while b"\n" in self.buffer:
            line, _, self.buffer = self.buffer.partition(b"\n")
            if len(line) > MAX_MESSAGE_BYTES:
                self.server.oracle.broken(
                    "wire", time.monotonic(), f"a line of {len(line)} bytes to a server"
                )
                self.reset()
                return
            if not self.condition.loses_all_to_server:
                self.take(json.loads(line))

    def read_on(self) -> None:
        data, self.unread = bytes(self.unread), bytearray()
        if data:
            self.data_received(data)

    def take(self, got: dict[str, Any]) -> None:
        session = str(got["ref"])
        match got["t"]:
            case "new":
                self.set_up(session, str(got.get("d", "")))
            case "down":
                self.release(session)
            case "hb":
                fields: dict[str, Any] = {"load": "x0:0.1;x1:0.1;busy:0.1"} if got.get("c") else {}
                if self.server.mode is not Mode.HANGS and self.speaks:
                    self.say("hb_ok", session, 1, **fields)

    def set_up(self, request: str, description: str) -> None:
        server = self.server
        attempt = Attempt(server.id, time.monotonic())
        server.oracle.attempts.setdefault(request, []).append(attempt)
        self.out[request] = attempt
        if request not in server.oracle.requests:
            server.oracle.broken("wire", attempt.arrived_at, f"a set-up {request} that no viewer sent")
        if description != f"of {request}\r\n":
            server.oracle.broken("wire", attempt.arrived_at, f"{request} came with another description")
        if server.mode is not Mode.HANGS:
            delay = server.rng.uniform(*ANSWER_S)
            asyncio.get_running_loop().call_later(delay, self.answer, request, attempt)

    def answer(self, request: str, attempt: Attempt) -> None:
        if self.out.get(request) is not attempt or not self.open:
            return
        server = self.server
        if server.mode in (Mode.HANGS, Mode.SILENT) or not self.speaks:
            return
        if server.mode in (Mode.FULL, Mode.ERRORS):
            full = server.mode is Mode.FULL
            self._ended(request, AttemptEnd.REFUSED if full else AttemptEnd.ERROR)
            self.say("down", request, Cause.REFUSED if full else Cause.ERROR, message="answer")
            return
        if server.mode is Mode.SPOILS and server.rng.random() < 0.3 and self.transport is not None:
            self.transport.write(server.rng.choice((b"\x00\xff{noise\n", b"x" * 20_000, b'{"t":"up"}\n')))
            self.spoilt = True
            server.forget_unread_releases()
            return
        self._ended(request, AttemptEnd.STANDS)
        life = self.life or server.oracle.requests[request].life
        session = Session(request, server.id, life, time.monotonic())
        server.oracle.sessions[request] = server.standing[request] = session
        self.brought.add(request)
        for _ in range(2 if server.mode is Mode.SPOILS else 1):
            self.say("up", request, message="answer", description=f"for {request}")
        lasts = server.rng.uniform(*server.session_s)
        asyncio.get_running_loop().call_later(lasts, server.end_session, session, SessionEnd.SERVER)

    def _ended(self, request: str, end: AttemptEnd) -> None:
        attempt = self.out.pop(request)
        attempt.ended_at, attempt.end = time.monotonic(), end

    def release(self, request: str) -> None:
        if request in self.out:
            self._ended(request, AttemptEnd.GIVEN_UP)
            return
        session = self.server.standing.get(request)
        if session is not None:
            self.server.end_session(session, SessionEnd.NODE)
        if self.server.acknowledges and self.speaks:
            with contextlib.suppress(OSError):
                self.say("ack", request)
