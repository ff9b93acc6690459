"""Stand-in viewers of a soak run: a few connections to each node, which are used until the node's end."""

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from collections.abc import Awaitable
from dataclasses import dataclass, field
from random import Random

from ponddoor.soak import wire
from ponddoor.soak.links import Link, Trouble
from ponddoor.soak.oracle import CROSSING_S, Oracle
from ponddoor.soak.plan import Plan, ServiceClass
from ponddoor.soak.records import FOREVER, AnswerKind, NodeLife, Request, Session
from ponddoor.soak.sockets import has_ended

NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.4  # the protocol page: so long new connections may come
RECONNECT_S = 0.05
RACKS_OF_A_TITLE = 2
VIEWER_ENDS = 0.3  # the share of sessions that their viewers end
GIVE_UP_GRACE_S = 0.5  # a viewer waits so long over its time
HALF_CLOSED_S = 0.1  # how long a viewer reads on after it has ended its side
ENDS_A_WAIT = (wire.MessageType.ANSWER, wire.MessageType.RELEASE, wire.MessageType.MOVE)
LINK_DELAY_S = (0.02, 0.3)
REOPENS_AFTER_S = (0.2, 2.5)  # when another viewer connects although all links fail
Address = tuple[str, int]


@dataclass(slots=True)
class ViewerPool:
    """All viewers of one node, over all its processes."""

    plan: Plan
    oracle: Oracle
    rng: Random
    address: Address
    ids: "itertools.count[int]"
    life: NodeLife | None = None
    connections: "list[_Connection]" = field(default_factory=list)
    playing: dict[str, Session] = field(default_factory=dict)
    interval_s: float = 0.0  # mean time between two set-ups on a connection
    take_back_share: float = 0.0  # of the set-ups, that their viewers take back
    take_back_within_s: float = 0.0
    leaves_early: bool = False
    in_pieces: bool = False
    crossings: bool = False  # connections end in the instant in which their sessions are released
    crossed: "Counter[str]" = field(default_factory=Counter)  # by how the connection ended
    links: set[Link] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    stopping: bool = False

    def __post_init__(self) -> None:
        self.interval_s = self.plan.interval_ms / 1000

    def start(self) -> None:
        """Every connection sends set-ups from now on."""
        for _ in range(self.plan.connections):
            self.spawn(self._use_connections())

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something until the end of the run."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def may_connect(self) -> bool:
        """Whether the platform would send somebody to this node now."""
        life, now = self.life, time.monotonic()
        if life is None or life.ready_at > now or life.over_at <= now:
            return False
        return now < life.sigterm_at + NEW_CONNECTIONS_AFTER_SIGTERM_S

    async def connect(self) -> "_Connection | None":
        """A new connection to the node's process of now; None where it takes none."""
        life = self.life
        if life is None:
            return None
        try:
            loop, connection = asyncio.get_running_loop(), _Connection(self, life)
            link = Link(connection)
            await asyncio.wait_for(loop.create_connection(lambda: link.node_side, *self.address), 1.0)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _use_connections(self) -> None:
        while not self.stopping:
            connection = await self.connect() if self.may_connect() else None
            if connection is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            while connection.open and not self.stopping:
                connection.ask(self.rng.choice(self.plan.classes))
                await asyncio.sleep(self.rng.expovariate(1 / self.interval_s))

    def place_of_title(self) -> wire.Place:
        """Where a title lies: on two racks of a plan with racks, else on all servers."""
        if not self.plan.racks:
            return wire.Place(0, 4)
        copies = min(RACKS_OF_A_TITLE, self.plan.racks)
        return wire.Place(self.rng.randrange(self.plan.racks), copies)

    async def is_ready(self) -> bool:
        """Whether the node passes a test."""
        connection = await self.connect()
        if connection is None:
            return False
        connection.write(wire.test_message())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(connection.tested.wait(), 1.0)
        passed = connection.tested.is_set()
        connection.close()
        return passed

    async def hand_over(self, life: NodeLife, playing: list[Session]) -> None:
        """The process of now is handed the sessions that viewers of the one before hold to be playing: some
        may have ended meanwhile."""
        connection = await self.connect()
        if connection is None:
            return
        for session in playing:
            if session.told_node_at < life.started_at:
                session.told_before = session.told_node_at, session.life
                session.told_node_at = FOREVER
            session.life, session.handed_over_at = life, time.monotonic()
            self.playing[session.request] = session
            request = self.oracle.requests.get(session.request)
            class_name = request.class_name if request is not None else self.plan.classes[0].name
            message = wire.set_up(session.request, class_name, 0, session.server, place=self.place_of_title())
            connection.write(message)
        await asyncio.sleep(0.2)
        connection.close()

    # Messages

    def answered(self, connection: "_Connection", message: wire.ViewerMessage) -> None:
        """A message that ends a wait or a session."""
        now, request = time.monotonic(), self.oracle.requests.get(message.session)
        session = self.oracle.sessions.get(message.session)
        if message.type == wire.MessageType.ANSWER:
            self._note(connection, message.session, AnswerKind.STANDS)
            if session is not None and request is not None and session.heard_at == FOREVER:
                self._play(session)
            return
        if self.plan.viewers_acknowledge and message.type == wire.MessageType.RELEASE:
            usable = [connection, *self.connections]
            next((one for one in usable if one.open), connection).write(wire.release_heard(message.session))
        if session is not None and request is not None and request.link_troubled:
            self._stop_waiting(request)
            session.heard_at = min(session.heard_at, now)
        if session is not None and self._stands_for_viewer(message.session):
            session.heard_at = min(session.heard_at, now)
            self.playing.pop(message.session, None)
            return
        refused = message.cause in wire.REFUSALS
        self._note(connection, message.session, AnswerKind.REFUSED if refused else AnswerKind.FAILED)

    def _stop_waiting(self, request: Request) -> None:
        """A session is over whose answer is still held by its link."""
        for connection in self.connections:
            if connection.waiting.pop(request.id, None) is not None:
                request.given_up_at = min(request.given_up_at, time.monotonic())

    def _stands_for_viewer(self, request_id: str) -> bool:
        request = self.oracle.requests.get(request_id)
        return request is None or any(kind is AnswerKind.STANDS for _, kind in request.answers)

    def _note(self, connection: "_Connection", request_id: str, kind: AnswerKind) -> None:
        request = self.oracle.requests.get(request_id)
        if request is None:
            self.oracle.broken("wire", time.monotonic(), f"an answer to {request_id}, which nobody asked")
            return
        if request.given_up_at < time.monotonic():
            return
        request.answers.append((time.monotonic(), kind))
        connection.waiting.pop(request_id, None)

    def _play(self, session: Session) -> None:
        self.playing[session.request] = session
        if self.rng.random() < VIEWER_ENDS:
            delay = self.rng.uniform(0.05, 2.0)
            asyncio.get_running_loop().call_later(delay, self._viewer_ends, session)

    def _viewer_ends(self, session: Session) -> None:
        """On any connection of viewers to the node."""
        usable = [one for one in self.connections if one.sound and not one.pieces and not one.by_bad_client]
        if session.heard_at < FOREVER or not usable or session.request not in self.playing:
            return
        connection = self.rng.choice(usable)
        session.viewer_ends_at = min(session.viewer_ends_at, time.monotonic())
        connection.write(wire.release(session.request, wire.Cause.ENDED_BY_VIEWER))
        del self.playing[session.request]
        asyncio.get_running_loop().call_later(CROSSING_S, self._note_viewer_release, connection, session)

    def _note_viewer_release(self, connection: "_Connection", session: Session) -> None:
        """A release that crosses the end of its connection is nobody's fault; the viewer sends it again."""
        if connection.sound:
            session.viewer_released_at = time.monotonic() - CROSSING_S
        else:
            self.playing[session.request] = session
            self._viewer_ends(session)

    # Faults

    def cross_release(self, session: Session) -> None:
        """A session is being released: end the connection it came by, within two milliseconds."""
        usable = (one for one in self.connections if one.open and session.request in one.brought)
        connection = next(usable, None)
        others = [one for one in self.connections if one is not connection and one.open]
        if not self.crossings or connection is None or not others:
            return
        how = self.rng.choice((connection.reset, connection.close, connection.half_close))
        self.crossed[how.__name__] += 1
        if self.rng.random() < 0.5:
            how()
        else:
            asyncio.get_running_loop().call_later(self.rng.uniform(0, 0.002), how)

    async def links_fail(self, trouble: Trouble, seconds: float, all_links: bool) -> None:
        """Links of now fail: some, all but one, or all. Then they deliver what they held, or are reset.
        Others may connect meanwhile."""
        usable = [one for one in self.connections if one.sound]
        counts = (len(usable) // 2, len(usable) - 1, len(usable), len(usable))
        count = len(usable) if all_links else self.rng.choice(counts)
        struck = self.rng.sample(usable, max(count, min(len(usable), 1)))
        for connection in struck:
            connection.begin_trouble(trouble, self.rng.uniform(*LINK_DELAY_S))
        if len(struck) == len(usable) and self.rng.random() < 0.7:
            asyncio.get_running_loop().call_later(self.rng.uniform(*REOPENS_AFTER_S), self._another_viewer)
        await asyncio.sleep(seconds)
        resets = self.rng.random() < 0.4
        for connection in struck:
            connection.end_trouble(resets)

    def _another_viewer(self) -> None:
        if not self.stopping:
            self.spawn(self._use_connections())

    def reset_some(self) -> None:
        """Reset half of the connections, with set-ups out on them."""
        usable = [one for one in self.connections if one.open]
        for connection in usable[: len(usable) // 2 + 1]:
            connection.reset()

    async def crowd(self, count: int, seconds: float) -> None:
        """Connections that say nothing."""
        crowd = [one for _ in range(count) if (one := await self.connect()) is not None]
        for connection in crowd:
            connection.silent = True
        await asyncio.sleep(seconds)
        for connection in crowd:
            connection.close()

    async def garbage(self, seconds: float) -> None:
        """Connections that send what can't be read."""
        until = time.monotonic() + seconds
        unusable = wire.set_up("f" * 16, "none", -5)
        samples = (b"\xff" * 400, b"\0\0\0\0", b"\x00\x10\x01" + b"\x07" * 30, unusable)
        while time.monotonic() < until and not self.stopping:
            connection = await self.connect()
            if connection is not None:
                connection.silent = True
                connection.write(self.rng.choice(samples))
            await asyncio.sleep(0.1)
            if connection is not None:
                connection.close()

    def note_open_connections(self) -> None:
        """Those that are open when the run is judged."""
        for connection in self.connections:
            connection.note_sound_until(FOREVER)

    async def close(self) -> None:
        """The end of the run."""
        self.stopping = True
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in list(self.connections):
            connection.reset()
        for link in list(self.links):
            link.end()
            link.reset()


class _Connection(asyncio.Protocol):
    """One connection of viewers to one process of a node."""

    def __init__(self, pool: ViewerPool, life: NodeLife) -> None:
        self.pool, self.life = pool, life
        self.transport: Link | None = None
        self.buffer = bytearray()
        self.waiting: dict[str, Request] = {}
        self.brought: set[str] = set()
        self.opened_at = time.monotonic()
        self.tested = asyncio.Event()
        self.sound_since = self.opened_at
        self.silent = self.half_closed = self.by_bad_client = False
        self.pieces: list[bytes] = []

    @property
    def open(self) -> bool:
        usable = self.transport is not None and not self.transport.is_closing()
        return usable and not self.silent and not self.half_closed

    @property
    def sound(self) -> bool:
        """Whether it is open, and its link delivers what is written."""
        return self.open and self.transport is not None and self.transport.sound

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, Link)
        self.transport = transport
        self.opened_at = self.sound_since = time.monotonic()
        self.pool.connections.append(self)
        self.pool.links.add(transport)

    def begin_trouble(self, trouble: Trouble, delay_s: float) -> None:
        """The link fails from now on."""
        if self.transport is None:
            return
        self.note_sound_until(time.monotonic())
        self.sound_since = FOREVER
        for request in self.waiting.values():
            request.link_troubled = True
        self.transport.begin(trouble, delay_s)

    def end_trouble(self, resets: bool) -> None:
        """The link delivers again, or is reset."""
        if self.transport is None:
            return
        if resets or self.transport.trouble is Trouble.DROPS_TO_VIEWER:
            self._end(by_node=False)
            self.transport.reset()
        self.transport.end()
        self.sound_since = time.monotonic()

    def note_sound_until(self, at: float) -> None:
        """It was open, and its link sound, until now."""
        if not self.silent and self.sound_since < at:
            self.life.connected.append((self.sound_since, at))

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        try:
            messages = wire.decode(self.buffer)
        except wire.WireError as error:
            self.pool.oracle.broken("wire", time.monotonic(), f"a node sent {error}")
            self.reset()
            return
        for message in messages:
            if message.type == wire.MessageType.TEST_RESULT:
                self.tested.set()
            elif message.type in ENDS_A_WAIT and not self.silent:
                self.pool.answered(self, message)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(by_node=True)

    def _end(self, by_node: bool) -> None:
        """Whoever ended it: what waits here gets no answer on it any more."""
        if self not in self.pool.connections:
            return
        self.pool.connections.remove(self)
        now = time.monotonic()
        self.note_sound_until(now)
        waiting, self.waiting = list(self.waiting.values()), {}
        crossing_s = max((now - request.sent_at for request in waiting), default=0.0)
        for request in waiting:
            if not by_node or self.half_closed:  # "a viewer that stops waiting ... no answer is then owed"
                request.given_up_at = min(request.given_up_at, now)
                continue
            request.connection_ended_at = now
            # What may cross a close, the oracle judges
            if (
                not request.is_resent
                and not self.by_bad_client
                and self.life.killed_at > now
                and not self.pool.stopping
            ):
                request.resent, request.crossing_s = True, crossing_s
                self.pool.spawn(self._send_again(request))

    async def _send_again(self, request: Request) -> None:
        """Once, on a new connection. A node that takes no connection has not taken the set-up."""
        connection = await self.pool.connect()
        service_class = next(one for one in self.pool.plan.classes if one.name == request.class_name)
        if connection is not None:
            connection.ask(service_class, is_resent=True)

    # What viewers do

    def write(self, data: bytes) -> None:
        if self.pieces:  # a message has begun: this one comes behind it
            self.pieces.append(data)
        elif self.transport is not None and not self.transport.is_closing() and not self.half_closed:
            self.transport.write(data)

    def ask(self, service_class: ServiceClass, is_resent: bool = False) -> None:
        """Send a set-up."""
        pool, now = self.pool, time.monotonic()
        if not self.open or self.pieces or (self.sound and has_ended(self.transport)):
            return
        wait = service_class.deadline_ms / 1000
        if pool.rng.random() < 0.1:
            wait *= pool.rng.uniform(0.02, 1.0)  # a viewer's later try has less time left
        request, data = self._new_request(service_class, now, wait)
        request.is_resent = is_resent
        loop = asyncio.get_running_loop()
        if pool.in_pieces and pool.rng.random() < 0.5 and not is_resent:
            cut = pool.rng.randrange(1, len(data))
            self.write(data[:cut])
            self.pieces = [data[cut:]]
            loop.call_later(pool.rng.uniform(0.01, 0.3), self._rest, request)
            return
        self.write(data)
        self._sent(request)

    def _new_request(self, service_class: ServiceClass, now: float, wait: float) -> tuple[Request, bytes]:
        """A set-up and the message that asks for it."""
        ident = f"{next(self.pool.ids):016x}"
        data = wire.set_up(ident, service_class.name, wait * 1000, place=self.pool.place_of_title())
        is_once = service_class.semantics == "once"
        return Request(ident, self.life, service_class.name, is_once, now, now + wait), data

    def ask_together(self, service_class: ServiceClass, count: int) -> list[Request]:
        """Write set-ups of a bad client at once."""
        now, wait = time.monotonic(), service_class.deadline_ms / 1000
        made = [self._new_request(service_class, now, wait) for _ in range(count)]
        self.write(b"".join(data for _, data in made))
        for request, _ in made:
            request.by_bad_client, request.link_troubled = True, not self.sound
            self.pool.oracle.requests[request.id] = self.waiting[request.id] = request
        return [request for request, _ in made]

    def take_back(self, requests: list[Request]) -> None:
        """Take back together what has no answer yet."""
        unanswered = [request for request in requests if self.waiting.pop(request.id, None) is not None]
        for request in unanswered:
            request.given_up_at = time.monotonic()
        self.write(b"".join(wire.release(request.id, wire.Cause.ENDED) for request in unanswered))

    def _rest(self, request: Request) -> None:
        rest, self.pieces = b"".join(self.pieces), []
        if self.open:
            wait = request.deadline_at - request.sent_at
            self.write(rest)
            request.sent_at = time.monotonic()
            request.deadline_at = request.sent_at + wait
            self._sent(request)

    def _sent(self, request: Request) -> None:
        pool, loop = self.pool, asyncio.get_running_loop()
        pool.oracle.requests[request.id] = request
        self.waiting[request.id] = request
        request.link_troubled = not self.sound
        self.brought.add(request.id)
        limit = request.deadline_at - request.sent_at + GIVE_UP_GRACE_S + 2.0
        if pool.leaves_early and pool.rng.random() < 0.5:
            limit = pool.rng.uniform(0.0, 0.2)
        elif pool.take_back_share and pool.rng.random() < pool.take_back_share:
            limit = pool.rng.uniform(0.0, pool.take_back_within_s)
        loop.call_later(limit, self._give_up, request)

    def _give_up(self, request: Request) -> None:
        if request.id in self.waiting and self.open:
            self.take_back([request])
            if not self.sound:  # as far as the viewer knows its word has not arrived
                others = (one for one in self.pool.connections if one.sound)
                if (other := next(others, None)) is not None:
                    other.write(wire.release(request.id, wire.Cause.ENDED))

    def reset(self) -> None:
        self._end(by_node=False)
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        self._end(by_node=False)
        if self.transport is not None:
            self.transport.close()

    def half_close(self) -> None:
        """End our side and read on: to the node this is a client that has left."""
        if self.transport is not None and self.open:
            self.half_closed = True
            for request in self.waiting.values():
                request.given_up_at = min(request.given_up_at, time.monotonic())
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(HALF_CLOSED_S, self.close)
