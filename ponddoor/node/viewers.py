"""Serves viewers over the platform's binary protocol, on any number of connections.

The state of requests, standing sessions and pending releases is kept by `ponddoor.obligations.sessions`."""

import asyncio
from dataclasses import dataclass, field, replace

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.effects import Answer, ViewerRequest
from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.node import viewer_codec as codec
from ponddoor.node.admission import Admission, ReceivedRequest
from ponddoor.node.board_codec import server_number
from ponddoor.node.hand_over import HandOvers, SessionServers
from ponddoor.node.listener import Listener
from ponddoor.node.partial_messages import PartialMessages
from ponddoor.node.release_sender import ReleaseSender
from ponddoor.node.session_log import RequestEnd, SessionLog
from ponddoor.node.viewer_connection import (
    LINGER_TIMEOUT_US,
    PARTIAL_MESSAGE_TIMEOUT_US,
    SILENT_CONNECTION_TIMEOUT_US,
    ConnectionTable,
    ViewerConnection,
)
from ponddoor.obligations.drain import DrainSchedule
from ponddoor.obligations.sessions import OPEN_PHASES, Phase, Record, Sessions
from ponddoor.obligations.violations import Violation, Violations
from ponddoor.web.unread import has_unread

MAX_UNUSABLE_LOGGED = 20  # log lines about unusable requests, in the life of the process
CONNECTION_SHARE_DIVISOR = 4  # one connection may have this part of the requests in hand
LINGERING_LIMIT = 16  # connections that linger at the same time; further ones are closed at once
FINAL_FLUSH_US = SECOND // 20  # the end of the shutdown, in which viewers read what was written last
CLOSE_CHECK_INTERVAL_S = 0.001  # while connections still have unread input during the shutdown
FLUSH_CHECK_INTERVAL_S = 0.005  # while viewers have not closed their connections during the final flush
log = structlog.get_logger("viewers")


@dataclass(slots=True)
class Viewers:
    """Handles the connections, requests and sessions of all viewers of one front.

    Keeps at most `max_connections` open."""

    engine: Engine
    apply: Apply
    servers: SessionServers
    groups: tuple[str, ...]
    max_connections: int
    ready: bool = False
    drain: DrainSchedule | None = None
    connections: ConnectionTable = field(default_factory=ConnectionTable)
    sessions: Sessions[ViewerConnection] = field(init=False)
    counts: dict[str, int] = field(default_factory=dict)
    session_log: SessionLog = field(default_factory=SessionLog)
    _releases: ReleaseSender = field(init=False)
    _hand_overs: HandOvers = field(init=False)
    _admission: Admission = field(init=False)
    _listener: Listener | None = None
    partial_messages: PartialMessages = field(default_factory=PartialMessages)
    _eviction_scheduled: bool = False
    # Start times of the connections that may still linger
    _linger_starts: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.sessions = Sessions(Violations(self._log_violation))
        self._releases = ReleaseSender(self.sessions, self.connections, self.session_log)
        start_targets = (group.start_target for group in self.engine.facts.groups)
        self._admission = Admission(
            lambda request: self._submit(request),
            self._refuse,
            lambda now: (self.engine.next_due or now) < now,
            min(start_targets, default=SECOND) // 2,
        )
        self._hand_overs = HandOvers(
            self.engine, self.apply, self.servers, self.sessions, self.session_log, self.count
        )

    def count(self, event: str) -> None:
        """Increment the counter of `event`."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def _log_violation(self, violation: Violation) -> None:
        log.error(
            "invariant-violated",
            invariant=violation.invariant.value,
            session=violation.session,
            detail=violation.detail,
            history=violation.history,
        )

    async def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError if the address cannot be bound."""
        self._listener = Listener(lambda: ViewerConnection(self))
        self._listener.start(host, port)

    # Connections

    def connection_opened(self, connection: ViewerConnection) -> None:
        """Register an accepted connection, and evict another one if there are too many."""
        log.debug("opened", connection=connection.number, here=len(self.connections))
        self.connections.add(connection)
        self._schedule_eviction()

    def _mark_used(self, connection: ViewerConnection) -> None:
        self.connections.mark_used(connection, self.sessions.has_standing_sessions(connection))

    def _schedule_eviction(self) -> None:
        """Evict idle connections in the next turn of the event loop if there are too many.

        A connection with a request that was only just read, or with unread input, is not idle."""
        if len(self.connections) > self.max_connections and not self._eviction_scheduled:
            self._eviction_scheduled = True
            asyncio.get_running_loop().call_soon(self._evict)

    def _evict(self) -> None:
        self._eviction_scheduled = False
        while len(self.connections) > self.max_connections:
            connection = self.connections.eviction_candidate(self._is_in_use)
            if connection is not None:
                self.close_connection(connection, "evicted")
                continue
            newest = next(reversed(self.connections.all))
            if has_unread(newest.transport):
                self._schedule_eviction()
                return
            self.close_connection(newest, "too-many-connections")

    def _is_in_use(self, connection: ViewerConnection) -> bool:
        """Whether a request is open on a connection, or may be in its unread input."""
        return self.sessions.has_open_requests(connection) or has_unread(connection.transport)

    def partial_changed(self, connection: ViewerConnection, size: int, is_new: bool) -> None:
        """A connection holds so much of a message that is not complete. Close others if all hold too much."""
        if connection not in self.connections.all:
            return
        self.partial_messages.update(connection, size, is_new)
        while (excess := self.partial_messages.excess()) is not None:
            self.close_connection(excess, "partial-messages-too-large")

    def request_close(self, connection: ViewerConnection, reason: str) -> None:
        """Close a connection whose further input cannot be decoded."""
        self.close_connection(connection, reason)

    def close_connection(self, connection: ViewerConnection, reason: str, linger: bool | None = None) -> None:
        """Answer the open requests of a connection, then close it. Every close by this front takes this path.

        `linger` None lets the connection linger if it was written to lately and few others linger."""
        self.count(reason)
        for session in self.sessions.open_requests_on(connection):
            self.answer_now(session, reason)
        self.sessions.connection_closing(connection)
        if connection.proven:
            self._releases.write_before_close(connection)
        log.debug(
            "closing",
            connection=connection.number,
            why=reason,
            age_us=clock() - connection.opened_at,
            proven=connection.proven,
            trusted=connection.trusted,
        )
        self._remove_connection(connection)
        connection.finish(self._may_linger(connection) if linger is None else linger)

    def _may_linger(self, connection: ViewerConnection) -> bool:
        now = clock()
        lingering = [start for start in self._linger_starts if now - start < LINGER_TIMEOUT_US]
        linger = len(lingering) < LINGERING_LIMIT and now - connection.wrote_at < LINGER_TIMEOUT_US
        self._linger_starts = [*lingering, now] if linger else lingering
        return linger

    def connection_closed(self, connection: ViewerConnection) -> None:
        """A connection has been closed by either side."""
        self._remove_connection(connection)

    def _remove_connection(self, connection: ViewerConnection) -> None:
        """Withdraw the connection's open requests, and go on with the releases that were sent on it last.

        Standing sessions go on."""
        self.connections.remove(connection)
        self.partial_messages.remove(connection)
        self._admission.connection_ended(connection)
        for session in self.sessions.open_requests_on(connection):
            self._log_request_end(session, "withdrawn", "its connection ended")
        for session in self.sessions.connection_ended(clock(), connection):
            self._withdraw(session)
        if self.sessions.delivery.pending:
            self._releases.send_due()

    def _withdraw(self, session: str) -> None:
        self.apply(lambda now: self.engine.viewer_left(now, session))

    def answer_now(self, session: str, reason: str) -> None:
        """Answer an open request at once, without waiting for a server."""
        record = self.sessions.find(session)
        if record is None:
            return
        if record.phase is Phase.RECEIVED:
            self._reply(session, Answer("busy", come_back=self.engine.come_back, reason=reason))
        else:
            self.apply(lambda now: self.engine.answer_now(now, session, reason))

    # Messages

    def message_received(self, connection: ViewerConnection, message: codec.Message) -> None:
        """Handle one message."""
        self._mark_used(connection)
        log.debug("viewer-says", connection=connection.number, said=message)
        self._releases.connection_spoke(connection)
        match message:
            case codec.SetupRequest():
                self._handle_request(connection, message)
            case codec.UnusableRequest(session, reason):
                self._reject_unusable(connection, session, reason)
            case codec.Release(session):
                self._handle_release(connection, session)
            case codec.ReleaseAck(session):
                self.sessions.release_acknowledged(clock(), session)
            case codec.ReadinessTest(session):
                connection.proven = True
                connection.write(codec.encode_test_result(session, self.ready))
                if self.ready:
                    self._hand_overs.readiness_tested()

    def _handle_release(self, connection: ViewerConnection, session: str) -> None:
        """Withdraw an open request, or end a standing session.

        A request can only be withdrawn on its own connection: otherwise a stranger could withdraw it, and its
        viewer would never be answered. A standing session can be ended from any connection."""
        if self.sessions.waiting_connection(session) not in (None, connection):
            return
        self._log_request_end(session, "withdrawn", "by its viewer")
        phase = self.sessions.end_by_viewer(clock(), session)
        if phase is None or phase is Phase.RELEASING:
            return
        if phase is Phase.STANDING:
            self.session_log.session_over(session, "ended by its viewer")
        connection.proven = True
        if phase is Phase.RECEIVED:
            self.count("taken-back")
            self._admission.ended(connection, session)
        else:
            self._withdraw(session)

    def _handle_request(self, connection: ViewerConnection, request: codec.SetupRequest) -> None:
        plant, ladder = self.engine.facts.plant, self.engine.facts.ladder
        usable = (
            request.group in self.groups
            and request.home < plant.cells
            and request.span <= plant.cells
            and request.top < len(ladder.rate_kb)
        )
        if not usable:
            is_new = not self._is_known(request.sess)
            self._reject_unusable(connection, request.sess, "a parameter is out of range")
            if request.server and is_new:
                self._hand_overs.release_at_server(request.sess, server_number(request.server))
            return
        viewer_request = ViewerRequest(
            request.title,
            self.groups.index(request.group),
            0,
            request.home,
            request.span,
            request.top,
            request.wait,
            request.length,
            request.viewer,
            request.again,
            False,
            request.description,
        )
        connection.proven = True
        if request.server:
            self._take_over(connection, request.sess, viewer_request, server_number(request.server))
        elif self._is_known(request.sess):
            self._handle_duplicate(connection, request.sess)
        else:
            self._receive(connection, request.sess, viewer_request)

    def _take_over(
        self, connection: ViewerConnection, session: str, viewer_request: ViewerRequest, server: int
    ) -> None:
        if not self._is_known(session):
            self._hand_overs.take_over(connection, session, viewer_request, server)
            self._mark_used(connection)
        else:
            self._releases.viewer_asks(connection, session)

    def _receive(self, connection: ViewerConnection, session: str, viewer_request: ViewerRequest) -> None:
        """Register a request, to be submitted in its turn."""
        read_at = clock()
        # It may have come at any time since the event loop ran last, as after a stall
        wait = viewer_request.wait - self.engine.gate.lag.lag(read_at)
        self.sessions.receive(read_at, session, connection, wait)
        request = ReceivedRequest(connection, session, viewer_request, read_at)
        in_hand_limit = self.engine.gate.limits.in_hand
        if self.sessions.open_count_on(connection) > in_hand_limit // CONNECTION_SHARE_DIVISOR:
            self._refuse(request)
        elif self.sessions.received_count + self.engine.requests_in_hand <= in_hand_limit:
            self._admission.received(request)
        else:  # over the limit: the engine answers busy at once
            self._submit(request)

    def _find_received(self, request: ReceivedRequest) -> Record[ViewerConnection] | None:
        """The record of a request that is not submitted yet; None if it has ended. The record found by its id
        may be that of a later request."""
        record = self.sessions.find(request.session)
        is_same = record is not None and record.received_at == request.read_at
        return record if record is not None and is_same and record.phase is Phase.RECEIVED else None

    def _submit(self, request: ReceivedRequest) -> bool:
        """Submit a request to the engine, or refuse it if its time is up. Returns False if it has ended."""
        now, session = clock(), request.session
        record = self._find_received(request)
        if record is None:
            return False
        wait = record.deadline - now
        if self.drain is not None:
            wait = self.drain.limit_wait(now, wait)
        if wait <= 0:
            self.answer_now(session, "no-time-left")
            return True
        self.sessions.submit(now, session)
        viewer_request = replace(request.viewer_request, wait=wait)
        self.apply(lambda now: self.engine.request(now, session, viewer_request, None)[1])
        return True

    def _refuse(self, request: ReceivedRequest) -> None:
        """Refuse a request that this front can't work off in time."""
        if self._find_received(request) is not None:
            self.count("overloaded")
            self.answer_now(request.session, "overloaded")

    def _is_known(self, session: str) -> bool:
        return self.sessions.find(session) is not None or self.engine.find(session) is not None

    def _handle_duplicate(self, connection: ViewerConnection, session: str) -> None:
        """Handle a request whose id is in use already.

        If the first request is open on the same connection, one failure answers both. If it is open on an
        untrusted connection and the duplicate comes on a trusted one, the first request ends. Otherwise the
        existing request or session is left as it is: it may be that of another viewer."""
        self.count("id-used-twice")
        first = self.sessions.waiting_connection(session)
        if first is connection:
            self._fail_duplicate(connection, session)
        elif first is not None and connection.trusted and not first.trusted:
            # A stranger's copy was read before the viewer's own request: the trusted connection is answered
            self.count("overtaken")
            self._fail_duplicate(connection, session)
            if not self.sessions.has_open_requests(first):
                self.close_connection(first, "closed-for-id")
        elif self.sessions.has_open_requests(connection):
            connection.write(codec.encode_failed(session))
        else:
            self.close_connection(connection, "closed-for-id")

    def _fail_duplicate(self, connection: ViewerConnection, session: str) -> None:
        """End the request with this id, and report its failure on the connection that used the id again."""
        self._log_request_end(session, "failed", "its id was used twice")
        phase = self.sessions.end_by_viewer(clock(), session)
        if phase is Phase.RECEIVED:
            self.count("taken-back")
        else:
            self._withdraw(session)
        connection.write(codec.encode_failed(session))

    def _reject_unusable(self, connection: ViewerConnection, session: str, reason: str) -> None:
        self.count("unusable")
        if self.counts["unusable"] <= MAX_UNUSABLE_LOGGED:
            log.info("unusable", session=session, why=reason)
        if self._is_known(session):
            self._handle_duplicate(connection, session)
        else:
            connection.write(codec.encode_failed(session))

    # Effects of the engine

    def carry_out(self, effect: fx.Reply | fx.Push) -> None:
        """Send an answer to a request, or the release of a session."""
        log.debug("to-viewer", effect=effect)
        match effect:
            case fx.Reply(session, answer):
                self._reply(session, answer)
            case fx.Push(session, "ended", "viewer-gone"):
                self.session_log.session_over(session, "viewer-gone")
                self.sessions.end_without_release(clock(), session)
            case fx.Push(session, "ended", reason):
                self.session_log.session_over(session, str(reason))
                self._releases.release(session, codec.encode_ended(session, reason == "lost"))
            case fx.Push(session, "moved"):
                self.session_log.session_over(session, "moved")
                self._releases.release(session, codec.encode_moved(session))

    def _log_request_end(self, session: str, how: str, reason: str) -> None:
        """Log the end of an open request, before it ends."""
        record = self.sessions.find(session)
        if record is None or record.phase not in OPEN_PHASES or record.connection is None:
            return
        self.session_log.request_ended(
            RequestEnd(
                session,
                record.connection.number,
                how,
                reason,
                record.received_at,
                record.submitted_at,
                record.setup_sent_at,
                record.setups_sent,
                clock(),
                record.deadline,
            )
        )

    def _reply(self, session: str, answer: Answer) -> None:
        self._log_request_end(session, answer.kind, answer.reason)
        connection = self.sessions.answer(clock(), session, answer.kind == "playing")
        if connection is None:
            return
        log.debug("answered", session=session, kind=answer.kind, why=answer.reason)
        match answer.kind:
            case "playing":
                connection.trusted = True
                self._mark_used(connection)
                held = self.engine.find(session)
                self.session_log.session_standing(
                    session, -1 if held is None else held.server, connection.number
                )
                connection.write(codec.encode_playing(session, answer.viewer_text))
            case "busy":
                connection.write(codec.encode_busy(session, answer.come_back))
            case _:
                connection.write(codec.encode_failed(session))

    # Time

    def tick(self, now: int) -> None:
        """Close connections that time out, and answer overdue requests. Called a few times a second."""
        for connection in list(self.connections.all):
            partial_since = connection.partial_since
            if partial_since is not None and now - partial_since > PARTIAL_MESSAGE_TIMEOUT_US:
                # The rest may have arrived while this process was not scheduled
                if not has_unread(connection.transport):
                    self.close_connection(connection, "partial-message")
            elif self._is_silent(connection, now):
                self.close_connection(connection, "silent")
        self._schedule_eviction()
        for session in self.sessions.overdue_requests(now):
            self.answer_now(session, "overdue")

    def _is_silent(self, connection: ViewerConnection, now: int) -> bool:
        """Whether a connection has sent nothing of use in time; partial messages and unread input count."""
        if connection.proven or now - connection.opened_at <= SILENT_CONNECTION_TIMEOUT_US:
            return False
        return connection.partial_since is None and not has_unread(connection.transport)

    @property
    def has_unfinished_requests(self) -> bool:
        """Whether a request is open, or a message has been received in part, on any connection."""
        return bool(self.sessions.open_requests()) or any(
            connection.partial_since is not None for connection in self.connections.all
        )

    # Shutdown

    async def stop_accepting(self, until: int) -> None:
        """Accept the connections in the backlog, then close the listener, by `until` at the latest."""
        if self._listener is not None:
            loop = asyncio.get_running_loop()
            await self._listener.close(loop.time() + (until - clock()) / SECOND)

    def close_idle(self) -> None:
        """Close connections that have no open request, standing session, partial message or unread input."""
        for connection in list(self.connections.all):
            if not self.sessions.has_standing_sessions(connection) and self._is_idle(connection):
                self.close_connection(connection, "drained", linger=True)

    def _is_idle(self, connection: ViewerConnection) -> bool:
        return connection.partial_since is None and not self._is_in_use(connection)

    def answer_all(self) -> None:
        """Answer every open request now."""
        for session in self.sessions.open_requests():
            self.answer_now(session, "draining")

    async def close(self, until: int) -> None:
        """Stop accepting, answer every request and close every connection, by `until` at the latest.

        A connection is closed once its input is read and answered; then its viewer has time to read the
        answers, before what is still open is aborted."""
        await self.stop_accepting(until)
        connections = list(self.connections.all)
        while self.connections.all and clock() < until - FINAL_FLUSH_US:
            self.answer_all()
            for connection in list(self.connections.all):
                if self._is_idle(connection):
                    self.close_connection(connection, "ended", linger=True)
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        self._releases.write_all()
        for connection in list(self.connections.all):
            self.close_connection(connection, "ended", linger=True)
        self._releases.close()
        while any(_is_connected(connection) for connection in connections) and clock() < until:
            await asyncio.sleep(FLUSH_CHECK_INTERVAL_S)
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()


def _is_connected(connection: ViewerConnection) -> bool:
    return connection.transport is not None and not connection.transport.is_closing()
