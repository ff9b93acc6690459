"""The shell towards viewers on the platform: binary messages on any number of connections.

Who waits where, what stands and which releases are pending is kept by `ponddoor.obligations.sessions`."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.effects import Answer, Ask
from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock, once_read
from ponddoor.node import viewer_codec as codec
from ponddoor.node.board_codec import server_number
from ponddoor.node.listener import Listener
from ponddoor.node.session_log import SessionLog
from ponddoor.node.viewer_connection import (
    LINGER,
    PARTIAL_MESSAGE_LIMIT,
    SILENT_LIMIT,
    ConnectionTable,
    ViewerConnection,
)
from ponddoor.obligations.drain import DrainSchedule
from ponddoor.obligations.sessions import Phase, Sessions
from ponddoor.obligations.violations import Violation, Violations
from ponddoor.web.unread import has_unread

UNUSABLE_LOGGED = 20  # lines about requests that can't be used
LINGERING_LIMIT = 16  # connections that linger at once; past that they end at once
RELEASE_CHECK = SECOND // 20  # between two looks at pending releases
LAST_FLUSH = SECOND // 20  # of the end, for what was written last to be read
CLOSE_CHECK_S = 0.001  # between two looks at the connections that have something unread at the end
FLUSH_CHECK_S = 0.005  # between two looks at what was written last
log = structlog.get_logger("viewers")


@dataclass(slots=True)
class Viewers:
    """All viewers of one front. At most `most` connections; `attend` is told where sessions play."""

    engine: Engine
    apply: Apply
    attend: Callable[[int], None]
    groups: tuple[str, ...]
    most: int
    ready: bool = False
    drain: DrainSchedule | None = None
    connections: ConnectionTable = field(default_factory=ConnectionTable)
    sessions: Sessions[ViewerConnection] = field(init=False)
    counts: dict[str, int] = field(default_factory=dict)
    session_log: SessionLog = field(default_factory=SessionLog)
    _listener: Listener | None = None
    _making_room: bool = False
    _lingering: list[int] = field(default_factory=list)  # when the last were left to read
    _release_timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.sessions = Sessions(Violations(self._violated))

    def count(self, what: str) -> None:
        """Count what happened."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _violated(self, violation: Violation) -> None:
        log.error(
            "invariant-violated",
            invariant=violation.invariant.value,
            session=violation.session,
            detail=violation.detail,
            history=violation.history,
        )

    async def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError where the address can't be had."""
        self._listener = Listener(lambda: ViewerConnection(self))
        self._listener.start(host, port)

    # Connections

    def opened(self, connection: ViewerConnection) -> None:
        """A connection has been accepted."""
        log.debug("opened", connection=connection.number, here=len(self.connections))
        self.connections.add(connection)
        self._make_room()

    def _used(self, connection: ViewerConnection) -> None:
        self.connections.used(connection, self.sessions.brought(connection))

    def _make_room(self) -> None:
        """An idle connection makes room for a new one; one that has just asked is not idle."""
        if len(self.connections) > self.most and not self._making_room:
            self._making_room = True
            asyncio.get_running_loop().call_soon(self._evict)

    def _evict(self) -> None:
        self._making_room = False
        while len(self.connections) > self.most:
            connection = self.connections.eviction_candidate(self._is_in_use)
            if connection is not None:
                self.close_connection(connection, "evicted")
                continue
            newest = next(reversed(self.connections.all))
            if has_unread(newest.transport):
                self._make_room()
                return
            self.close_connection(newest, "too-many-connections")

    def _is_in_use(self, connection: ViewerConnection) -> bool:
        """Whether a set-up is open on it, or may be in what is unread."""
        return self.sessions.is_open_on(connection) or has_unread(connection.transport)

    def request_close(self, connection: ViewerConnection, why: str) -> None:
        """Nothing after what came can be read on it."""
        self.close_connection(connection, why)

    def close_connection(self, connection: ViewerConnection, why: str, linger: bool | None = None) -> None:
        """The one way in which this front closes a connection: what is open on it is answered first."""
        self.count(why)
        for session in self.sessions.open_on(connection):
            self.answer_now(session, why)
        self.sessions.closing(connection)
        log.debug(
            "closing",
            connection=connection.number,
            why=why,
            age_us=clock() - connection.opened_at,
            proven=connection.proven,
            trusted=connection.trusted,
        )
        self._gone(connection)
        connection.finish(self._may_linger(connection) if linger is None else linger)

    def _may_linger(self, connection: ViewerConnection) -> bool:
        now = clock()
        lingering = [at for at in self._lingering if now - at < LINGER]
        linger = len(lingering) < LINGERING_LIMIT and now - connection.wrote_at < LINGER
        self._lingering = [*lingering, now] if linger else lingering
        return linger

    def closed(self, connection: ViewerConnection) -> None:
        """A connection has ended, by whomever."""
        self._gone(connection)

    def _gone(self, connection: ViewerConnection) -> None:
        """Set-ups end with their connection, sessions that play do not; releases not heard go elsewhere."""
        self.connections.remove(connection)
        end = self.sessions.connection_ended(clock(), connection)
        for session in end.given_up:
            self._withdraw(session)
        if end.resend:
            self._send_releases()

    def _withdraw(self, session: str) -> None:
        self.apply(lambda now: self.engine.left(now, session))

    def answer_now(self, session: str, why: str) -> None:
        """A set-up can't wait any longer: it is answered in this instant."""
        record = self.sessions.find(session)
        if record is None:
            return
        if record.phase is Phase.RECEIVED:
            self._reply(session, Answer("busy", come_back=self.engine.come_back, why=why))
        else:
            self.apply(lambda now: self.engine.answer_now(now, session, why))

    # Messages

    def take(self, connection: ViewerConnection, message: codec.Message) -> None:
        """A whole message has come."""
        self._used(connection)
        log.debug("viewer-says", connection=connection.number, said=message)
        match message:
            case codec.SetupRequest():
                self._asked(connection, message)
            case codec.UnusableRequest(session, why):
                self._unusable(connection, session, why)
            case codec.Release(session):
                self._viewer_ends(connection, session)
            case codec.ReleaseAck(session):
                self.sessions.acknowledged(clock(), session)
            case codec.ReadinessTest(session):
                connection.proven = True
                connection.write(codec.encode_test_result(session, self.ready))

    def _viewer_ends(self, connection: ViewerConnection, session: str) -> None:
        """A set-up is given up on its own connection alone, lest a stranger give up another's: nobody would
        be answered. A session that stands may be ended from any."""
        if self.sessions.waits(session) not in (None, connection):
            return
        phase = self.sessions.give_up(clock(), session)
        if phase is None or phase is Phase.RELEASING:
            return
        if phase is Phase.STANDING:
            self.session_log.session_over(session, "ended by its viewer")
        connection.proven = True
        if phase is Phase.RECEIVED:
            self.count("taken-back")
        else:
            self._withdraw(session)

    def _asked(self, connection: ViewerConnection, asked: codec.SetupRequest) -> None:
        plant, ladder = self.engine.facts.plant, self.engine.facts.ladder
        usable = (
            asked.group in self.groups
            and asked.home < plant.cells
            and asked.span <= plant.cells
            and asked.top < len(ladder.rate_kb)
        )
        if not usable:
            self._unusable(connection, asked.sess, "out of range")
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
        connection.proven = True
        if asked.at:
            self._handed_over(connection, asked.sess, ask, server_number(asked.at))
        elif self._known(asked.sess):
            self._again(connection, asked.sess)
        else:
            self._receive(connection, asked.sess, ask)

    def _handed_over(self, connection: ViewerConnection, session: str, ask: Ask, server: int) -> None:
        if self._known(session):
            return
        plays = self.sessions.hand_over(clock(), session, connection)
        self._used(connection)
        self.session_log.session_standing(session, server, connection.number)
        self.apply(lambda now: self.engine.handed_over(now, session, ask, server))
        self.attend(server)
        if not plays:  # its viewer has ended it already, on another connection
            self.count("released-before-hand-over")
            self._withdraw(session)

    def _receive(self, connection: ViewerConnection, session: str, ask: Ask) -> None:
        """The decisions are asked once all that has come is read: a set-up that is taken back by what came
        with it is no arrival, by which probes are paced."""
        read_at = clock()
        self.sessions.receive(read_at, session, connection, ask.wait)
        if self.sessions.received + self.engine.in_hand <= self.engine.gate.limits.in_hand:
            once_read(lambda: self._submit(session, ask, read_at))
        else:  # the engine says that it is too much
            self._submit(session, ask, read_at)

    def _submit(self, session: str, ask: Ask, read_at: int) -> None:
        now = clock()
        record = self.sessions.find(session)
        if record is None or record.since != read_at or not self.sessions.submit(now, session):
            return  # it has ended by now, or its id was used again
        wait = max(ask.wait - (now - read_at), 1)
        if self.drain is not None:
            wait = self.drain.time_for(now, wait)
        self.apply(lambda now: self.engine.request(now, session, replace(ask, wait=wait), None)[1])

    def _known(self, session: str) -> bool:
        return self.sessions.find(session) is not None or self.engine.find(session) is not None

    def _again(self, connection: ViewerConnection, session: str) -> None:
        """An id is used twice: the session that has it, if another's, is left as it is."""
        self.count("id-used-twice")
        first = self.sessions.waits(session)
        if first is connection:
            self._fail(connection, session)
        elif first is not None and connection.trusted and not first.trusted:
            # A stranger's copy was read before the viewer's own set-up: who has had sessions here is answered
            self.count("overtaken")
            self._fail(connection, session)
            if not self.sessions.is_open_on(first):
                self.close_connection(first, "closed-for-id")
        elif self.sessions.is_open_on(connection):
            connection.write(codec.encode_failed(session))
        else:
            self.close_connection(connection, "closed-for-id")

    def _fail(self, connection: ViewerConnection, session: str) -> None:
        """The set-up under an id ends, and whoever used the id again is told that it failed."""
        phase = self.sessions.give_up(clock(), session)
        if phase is Phase.RECEIVED:
            self.count("taken-back")
        else:
            self._withdraw(session)
        connection.write(codec.encode_failed(session))

    def _unusable(self, connection: ViewerConnection, session: str, why: str) -> None:
        self.count("unusable")
        if self.counts["unusable"] <= UNUSABLE_LOGGED:
            log.info("unusable", session=session, why=why)
        if self._known(session):
            self._again(connection, session)
        else:
            connection.write(codec.encode_failed(session))

    # What the engine wants

    def carry_out(self, effect: fx.Reply | fx.Push) -> None:
        """Answer a set-up, or tell of the end of a session."""
        log.debug("to-viewer", effect=effect)
        match effect:
            case fx.Reply(session, answer):
                self._reply(session, answer)
            case fx.Push(session, "ended", "viewer-gone"):
                self.session_log.session_over(session, "viewer-gone")
                self.sessions.end_silently(clock(), session)
            case fx.Push(session, "ended", why):
                self.session_log.session_over(session, str(why))
                self._release(session, codec.encode_ended(session, why == "lost"))
            case fx.Push(session, "moved"):
                self.session_log.session_over(session, "moved")
                self._release(session, codec.encode_moved(session), acknowledged=False)

    def _reply(self, session: str, answer: Answer) -> None:
        connection = self.sessions.answer(clock(), session, answer.kind == "playing")
        if connection is None:
            return
        log.debug("answered", session=session, kind=answer.kind, why=answer.why)
        match answer.kind:
            case "playing":
                connection.trusted = True
                self._used(connection)
                held = self.engine.find(session)
                self.session_log.session_standing(
                    session, -1 if held is None else held.server, connection.number
                )
                connection.write(codec.encode_playing(session, answer.passed))
            case "busy":
                connection.write(codec.encode_busy(session, answer.come_back))
            case _:
                connection.write(codec.encode_failed(session))

    # Releases

    def _release(self, session: str, message: bytes, acknowledged: bool = True) -> None:
        """On the session's own connection, else on another: a session that stands belongs to none."""
        record = self.sessions.find(session)
        own = record.connection if record is not None else None
        if not self.sessions.end(clock(), session, message, acknowledged):
            return
        if own is not None and own.open:
            self._write_release(own, session, message)
        self._send_releases()

    def _write_release(self, connection: ViewerConnection, session: str, message: bytes) -> None:
        connection.write(message)
        record = self.sessions.find(session)
        self.session_log.session_released(
            session, connection.number, record is not None and bool(record.tried)
        )
        self.sessions.sent(clock(), session, connection)

    def _send_releases(self) -> None:
        due = self.sessions.due(clock())
        candidates = self.connections.release_candidates() if due else []
        for record in due if candidates else ():
            untried = (one for one in candidates if one not in record.tried)
            connection = next(untried, candidates[0])
            self._write_release(connection, record.session, record.message)
        if self.sessions.pending and self._release_timer is None:
            loop = asyncio.get_running_loop()
            self._release_timer = loop.call_later(RELEASE_CHECK / SECOND, self._releases_due)

    def _releases_due(self) -> None:
        self._release_timer = None
        self._send_releases()

    # Time

    def look(self, now: int) -> None:
        """Called every quarter of a second or so."""
        for connection in list(self.connections.all):
            begun = connection.partial_since
            if begun is not None and now - begun > PARTIAL_MESSAGE_LIMIT:
                if not has_unread(connection.transport):  # the rest may have come while this process stood
                    self.close_connection(connection, "partial-message")
            elif self._is_silent(connection, now):
                self.close_connection(connection, "silent")
        self._make_room()
        for session in self.sessions.overdue(now):
            self.answer_now(session, "overdue")

    def _is_silent(self, connection: ViewerConnection, now: int) -> bool:
        """Whether it has brought nothing of use, a begun message and what is unread included."""
        if connection.proven or now - connection.opened_at <= SILENT_LIMIT:
            return False
        return connection.partial_since is None and not has_unread(connection.transport)

    @property
    def busy(self) -> bool:
        """Whether a set-up is open, or a message has begun, on any connection."""
        return bool(self.sessions.open_requests()) or any(
            connection.partial_since is not None for connection in self.connections.all
        )

    # The end

    async def accept_no_more(self, until: int) -> None:
        """Nobody new; who has come by now is taken in."""
        if self._listener is not None:
            loop = asyncio.get_running_loop()
            await self._listener.close(loop.time() + (until - clock()) / SECOND)

    def close_idle(self) -> None:
        """Close connections with no set-up open, no session that stands and nothing unread."""
        for connection in list(self.connections.all):
            if not self.sessions.brought(connection) and self._is_between_messages(connection):
                self.close_connection(connection, "drained", linger=True)

    def _is_between_messages(self, connection: ViewerConnection) -> bool:
        return connection.partial_since is None and not self._is_in_use(connection)

    def answer_all(self) -> None:
        """Answer every open set-up now."""
        for session in self.sessions.open_requests():
            self.answer_now(session, "draining")

    async def close(self, until: int) -> None:
        """Answer every set-up, then end every connection once what it brought is read and answered and what
        was written to it has been read, `until` at the latest."""
        await self.accept_no_more(until)
        connections = list(self.connections.all)
        while self.connections.all and clock() < until - LAST_FLUSH:
            self.answer_all()
            for connection in list(self.connections.all):
                if self._is_between_messages(connection):
                    self.close_connection(connection, "ended", linger=True)
            await asyncio.sleep(CLOSE_CHECK_S)
        if self._release_timer is not None:
            self._release_timer.cancel()
        for connection in list(self.connections.all):
            self.close_connection(connection, "ended", linger=True)
        while any(_is_connected(one) for one in connections) and clock() < until:
            await asyncio.sleep(FLUSH_CHECK_S)
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()


def _is_connected(connection: ViewerConnection) -> bool:
    return connection.transport is not None and not connection.transport.is_closing()
