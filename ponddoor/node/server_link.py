"""The link to one media server: queued messages, the connection in use, and the lease of the sessions there.

The engine is told what the end of a connection means. Connection refused: no SETUP was processed and no
session is left at the server. Connection broken: its SETUPs are lost, but no session that plays.
`ponddoor.obligations.lease` defines which messages of a server prove that its sessions stand;
`ponddoor.obligations.completeness` defines when a connection is opened beside the one in use, to receive
messages that may have been missed. `connection_refresh` manages these further connections."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.backoff import UNREADABLE_LINE_WAIT_US, ConnectBackoff
from ponddoor.front.pump import SECOND, after_pending_reads, clock
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.node.board_codec import server_id
from ponddoor.node.connection_refresh import ConnectionRefresh, Connections
from ponddoor.node.descriptors import is_resource_exhaustion
from ponddoor.node.link_releases import LinkReleases, ReleasesOwner
from ponddoor.node.server_connection import ServerConnection
from ponddoor.node.server_messages import MessageOwner, Outgoing, ServerMessages
from ponddoor.obligations.completeness import Completeness
from ponddoor.obligations.lease import Lease, LeaseAction, LeaseEvent
from ponddoor.obligations.setup_rule import JudgeSetup, Verdict
from ponddoor.web.connecting import connect_within
from ponddoor.web.unread import has_unread

# If a connection to a server that the list has removed still works after this time, another server has its
# address
ADDRESS_REUSE_TIMEOUT_US = SECOND
PARTIAL_LINE_TIMEOUT_US = SECOND // 4  # from the first byte of a line to its end
# A server is given up this long after the end of its lease if received data is still unread
UNREAD_GRACE_US = SECOND // 4
SIGN_TIMEOUT_US = SECOND // 2  # of the first sign of life on a connection
MAX_BACKOFF_WITH_SESSIONS_US = SECOND  # between two connects to a server at which sessions stand
MAX_QUEUED_MESSAGES = 1000  # for one connection
# On a connection that this front closes although it works
RELEASE_READ_AFTER_US = SECOND
log = structlog.get_logger("servers")


class LinkOwner(MessageOwner, Connections, ReleasesOwner, Protocol):
    """What a link needs of the object that owns all links."""

    random: Random
    setups_enabled: bool
    open_links: "dict[ServerLink, None]"

    @property
    def reconnects_for_sessions(self) -> bool: ...
    @property
    def judge_setup(self) -> JudgeSetup: ...
    def mark_used(self, link: "ServerLink") -> None: ...
    def make_room(self) -> bool: ...
    def connect_delay(self) -> int: ...
    def end_sessions(self, link: "ServerLink", reason: str, standing_since: int | None = None) -> None: ...


@dataclass(slots=True, eq=False)
class ServerLink:
    """The state of a front towards one server. Times are in microseconds.

    `queued` are messages that wait for a connection, `gone_since` is when the list was found to have removed
    a connected server."""

    servers: LinkOwner
    number: int
    entry: Entry
    connection: ServerConnection | None = None
    connect_task: asyncio.Task[None] | None = None
    queued: list[Outgoing] = field(default_factory=list)
    last_used_at: int = 0
    gone_since: int | None = None
    connect_timer: asyncio.TimerHandle | None = None
    backoff: ConnectBackoff = field(init=False)
    lease: Lease = field(init=False)
    refresh: ConnectionRefresh = field(init=False)
    messages: ServerMessages = field(init=False)
    releases: LinkReleases = field(init=False)

    def __post_init__(self) -> None:
        self.releases = LinkReleases(self)
        self.backoff = ConnectBackoff(self.servers.random)
        self.lease = Lease(self.servers.connect_timeout)
        self.refresh = ConnectionRefresh(self, Completeness(self.servers.connect_delay()))
        self.messages = ServerMessages(self)

    def send(self, item: Outgoing) -> None:
        """Write a message, or queue it: a SETUP until all received data is read, any other message until
        there is a connection."""
        self.last_used_at = clock()
        self.servers.mark_used(self)
        if self.connection is not None and not isinstance(item, fx.SendSetup):
            self.messages.write(self.connection, item)
        elif len(self.queued) < MAX_QUEUED_MESSAGES:
            self.queued.append(item)
            if self.connection is None:
                self.connect()
            else:
                self._send_after_pending_reads(item)
        else:
            self.servers.count("too-many-waiting")
            self.servers.fail_unsent(item, ev.Result.MOOT)

    @property
    def needed(self) -> bool:
        """Whether messages are queued or unanswered, or sessions play at the server."""
        plays = self.servers.engine.has_sessions_at(self.number)
        return bool(self.queued or self.messages.probes or self.has_setups or plays)

    @property
    def has_setups(self) -> bool:
        """Whether a SETUP is unanswered on any connection."""
        in_use = self.connection is not None and self.connection.setups
        return bool(in_use or self.refresh.has_setups)

    @property
    def active(self) -> bool:
        """Whether `tick` has something to check here."""
        connects = (
            self.connection is not None or self.connect_task is not None or self.connect_timer is not None
        )
        return bool(connects or self.releases.pending or self.refresh.has_further_connections or self.needed)

    def send_queued(self) -> None:
        """Schedule each queued message to be sent."""
        for item in self.queued:
            self._send_after_pending_reads(item)

    def _send_after_pending_reads(self, item: Outgoing, reads_awaited: int = 0) -> None:
        """Send a queued message once all data received so far is read: it may say that the viewer has left
        or that the server drains."""
        if self.servers.setups_enabled:
            after_pending_reads(lambda: self._send_queued_item(item, reads_awaited))

    def _send_queued_item(self, item: Outgoing, reads_awaited: int) -> None:
        if self.connection is None:
            return
        index = next((i for i, queued in enumerate(self.queued) if queued is item), None)
        if index is None:
            return
        verdict = Verdict.SEND
        if isinstance(item, fx.SendSetup):
            verdict = self.servers.judge_setup(clock(), item.sess, reads_awaited)
        if verdict is Verdict.AWAIT_READS:
            self._send_after_pending_reads(item, reads_awaited + 1)
            return
        del self.queued[index]
        if verdict is Verdict.SEND:
            self.messages.write(self.connection, item)
        else:
            self.servers.fail_unsent(item, ev.Result.MOOT)

    def connect(self) -> None:
        """Connect now. While the backoff after failures lasts, fail the queued messages instead."""
        if self.connection is not None or self.connect_task is not None:
            return
        if self._backoff_wait(clock()):
            self.servers.count("connects-held-back")
            self._fail_queued(ev.Result.CONNECT_FAILED)
            if self.releases.pending:
                self.connect_staggered()
            return
        self._cancel_connect_timer()
        if not self.servers.make_room():
            self.servers.count("no-room")
            self._fail_queued(ev.Result.MOOT)
        else:
            self.connect_task = asyncio.create_task(self._connect())
            self.servers.open_links[self] = None
            self.servers.mark_used(self)

    def _backoff_wait(self, now: int) -> int:
        """The time until the next connect is allowed, which is shorter where sessions stand: their server
        has to be heard within the lease."""
        if self.servers.engine.has_sessions_at(self.number):
            return self.backoff.wait(now, MAX_BACKOFF_WITH_SESSIONS_US)
        return self.backoff.wait(now)

    def connect_staggered(self) -> None:
        """Connect after this front's connect delay, so that fronts that lost a server at the same time do
        not all connect to it at once. Not for SETUPs, which do not wait that long."""
        if not self.releases.pending and not self.servers.reconnects_for_sessions:
            return
        if self.connection is None and self.connect_task is None and self.connect_timer is None:
            self.servers.mark_used(self)
            wait = max(self.servers.connect_delay(), self._backoff_wait(clock()) + 1) / SECOND
            self.connect_timer = asyncio.get_running_loop().call_later(wait, self._connect_timer_due)

    def _connect_timer_due(self) -> None:
        self.connect_timer = None
        self.connect()

    def _cancel_connect_timer(self) -> None:
        if self.connect_timer is not None:
            self.connect_timer.cancel()
            self.connect_timer = None

    async def _connect(self) -> None:
        host, _, port = self.entry.address.rpartition(":")
        connection, timeout_s = ServerConnection(self), self.servers.connect_timeout / SECOND
        try:
            opened = await connect_within(timeout_s, host, int(port))
            await asyncio.get_running_loop().create_connection(lambda: connection, sock=opened)
        except (OSError, TimeoutError) as problem:
            self.connect_task = None
            if isinstance(problem, ConnectionResetError):
                self._reset_at_once(connection)
            self._connect_failed(connection, problem)
            return
        self.connect_task = None
        self.refresh.connection_opened(connection)
        if connection.transport is None or connection.transport.is_closing():
            self.refresh.stop_awaiting(connection, "reset at once")
            self._connect_failed(connection, ConnectionResetError())
        elif self.connection is None:
            self._connection_established(connection)
        else:
            self.refresh.candidate_opened(connection)

    def _reset_at_once(self, connection: ServerConnection) -> None:
        """The server has accepted a connection that was reset before this process saw it established."""
        self.refresh.connection_opened(connection)
        self.refresh.stop_awaiting(connection, "reset at once")

    def _connect_failed(self, connection: ServerConnection, problem: Exception) -> None:
        if self.connection is not None:
            self.refresh.candidate_failed(connection, f"no connection: {problem!r}")
            return
        self.servers.open_links.pop(self, None)
        if isinstance(problem, OSError) and is_resource_exhaustion(problem):
            self._connect_out_of_resources(problem)
        else:
            self._server_unreachable(problem)

    def _connection_established(self, connection: ServerConnection) -> None:
        self.connection, self.last_used_at = connection, clock()
        self.servers.open_links[self] = None
        self.servers.count("connected")
        self.log_connection("connection-opened", connection)
        unproven = self.lease.connected(clock()) or self.refresh.completeness.doubted_from is not None
        # The answer to a queued SETUP may prove as much
        unproven = unproven or (self.refresh.completeness.is_suspected(clock()) and not self.queued)
        request_sign = unproven and self.servers.engine.has_sessions_at(self.number)
        for sess, due_since in self.releases.take_pending().items():
            self.releases.send(connection, clock(), sess, due_since)
        if request_sign:
            self.request_sign_of_life(connection)
        self.send_queued()

    def request_sign_of_life(self, connection: ServerConnection) -> None:
        """Send a probe that any live server answers, without a load report."""
        self.lease.sign_requested(clock())
        self.servers.count("sign-asked")
        connection.request_sign_of_life(clock(), self.servers.new_id())

    def log_connection(self, event: str, connection: ServerConnection, **more: object) -> None:
        """Log an event of a connection, with the server and the connection's number."""
        log.info(event, server=server_id(self.number), connection=connection.number, **more)

    def open_extra_connection(self) -> bool:
        """Open a further connection beside the one in use. Returns False if there is none in use, a connect
        is in progress, the server is gone, or the limit of connections is reached."""
        if self.connection is None or self.connect_task is not None or self.entry.state == "gone":
            return False
        if not self.servers.make_room():
            self.servers.count("no-room")
            return False
        self.connect_task = asyncio.create_task(self._connect())
        return True

    def switch_to(self, connection: ServerConnection) -> ServerConnection | None:
        """Use this connection from now on. Returns the previous one."""
        old, self.connection = self.connection, connection
        return old

    def release(self, now: int, sess: str) -> None:
        """Send a release on the connection in use, or keep it for the next one."""
        self.servers.mark_used(self)
        self.releases.release(now, sess, now)

    def keep_release(self, sess: str, due_since: int) -> None:
        """Keep a release for the next connection, on which it is sent first."""
        self.servers.mark_used(self)
        self.releases.keep(sess, due_since)

    def end_unproven_sessions(self, now: int, standing_since: int) -> None:
        """Release and end the sessions that have stood since `standing_since` or longer: it was not proven
        within the limit that no message about them was missed."""
        for held in self.servers.engine.sessions_at(self.number):
            if held.standing_since <= standing_since:
                self.release(now, held.sess)
        self.servers.end_sessions(self, "unproven", standing_since)

    def _connect_out_of_resources(self, problem: OSError) -> None:
        """This machine lacked a descriptor or memory for the connection; that is no failure of the server."""
        self.servers.count("no-descriptor")
        log.warning("no-descriptor", server=server_id(self.number), why=str(problem))
        self._fail_queued(ev.Result.MOOT)

    def _server_unreachable(self, problem: Exception) -> None:
        """A connect failed, so no queued message was processed. If it was refused, the process is dead and
        its sessions are over."""
        now = clock()
        self.backoff.failed(now)
        if isinstance(problem, ConnectionRefusedError):
            self.servers.count("connect-refused")
            self.lease.connect_refused(now)
            self.releases.pending.clear()
            self.queued = [item for item in self.queued if not isinstance(item, fx.SendTeardown)]
            self.servers.end_sessions(self, "refused")
        else:
            failure = "late" if isinstance(problem, TimeoutError) else "failed"
            self.servers.count(f"connect-{failure}")
            self.lease.record_event(now, LeaseEvent.BROKEN, f"connect {failure}")
        self._fail_queued(ev.Result.CONNECT_FAILED)

    def _fail_queued(self, result: ev.Result) -> None:
        """Fail all queued messages as not sent; keep releases for the next connection."""
        queued, self.queued = self.queued, []
        for item in queued:
            if isinstance(item, fx.SendTeardown):
                self.keep_release(item.sess, clock())
            else:
                self.servers.fail_unsent(item, result)

    def withdraw_setup(self, sess: str, attempt: int) -> bool:
        """Remove a SETUP that is still queued. Returns whether there was one."""
        kept = [
            item
            for item in self.queued
            if not (isinstance(item, fx.SendSetup) and (item.sess, item.attempt) == (sess, attempt))
        ]
        withdrawn = len(kept) < len(self.queued)
        self.queued = kept
        return withdrawn

    def handle_line(self, connection: ServerConnection, line: bytes) -> None:
        """Process a received line. Raises UnreadableError if it is not a valid message."""
        if self.connection is connection or self.refresh.owns(connection):
            self.messages.handle_line(connection, line)

    def message_received(self, now: int, connection: ServerConnection, probe_id: str) -> None:
        """Renew the lease, and note what the message, an answer to this probe if any, proves about missed
        messages."""
        silent_for = now - (self.lease.last_message_at or now)
        connection.received_message = True
        self.lease.message_received(now)
        if connection.was_useful(now):
            self.backoff.succeeded()
        self.refresh.message_received(now, connection, silent_for, probe_id)

    def request_timed_out(self, now: int, since: int) -> None:
        """A message sent at `since` had no answer in its time. If nothing was received since then, earlier
        messages of the server may be lost too."""
        self.refresh.completeness.suspect(now)
        last_message_at = self.lease.last_message_at or 0
        if last_message_at <= since:
            self.refresh.completeness.doubt(now, last_message_at)

    def protocol_error(self, connection: ServerConnection, reason: str) -> None:
        """End a connection on which invalid data was received: nothing that follows can be trusted."""
        if self.connection is connection:
            self.servers.count("spoilt")
            self._back_off_after_protocol_error(connection)
            self.lease.record_event(clock(), LeaseEvent.MALFORMED_INPUT, reason[:80])
            self._end_connection(connection, f"protocol error: {reason}")
        else:
            self.refresh.connection_ended(connection, f"protocol error: {reason}")

    def _back_off_after_protocol_error(self, connection: ServerConnection) -> None:
        now = clock()
        if connection.received_message:
            self.backoff.delay(now, UNREADABLE_LINE_WAIT_US)
        else:
            self.backoff.failed(now, UNREADABLE_LINE_WAIT_US)

    def fail_connections(self, reason: str) -> None:
        """End all connections to the server as broken."""
        self.refresh.end_all(reason)
        if self.connection is not None:
            self.connection_failed(self.connection, reason)

    def close_connection(self, connection: ServerConnection, reason: str) -> None:
        """Close a working connection that is not needed; data already written to it is still sent."""
        self.refresh.drop_candidate()
        connection.releases.read_through(clock() - RELEASE_READ_AFTER_US)
        if connection.transport is not None:
            connection.transport.close()
        self._end_connection(connection, reason)

    def connection_failed(self, connection: ServerConnection, reason: str) -> None:
        """End a connection that has broken: its SETUPs are lost, sessions that play are not."""
        now = clock()
        if self.connection is not connection:
            self.refresh.connection_ended(connection, reason)
            return
        if not connection.closed_by_server:
            self.refresh.completeness.suspect(now)
        if connection.failed_early(now):
            self.backoff.failed(now)
        elif connection.was_useful(now):
            self.backoff.succeeded()
        self._end_connection(connection, reason)

    def _end_connection(self, connection: ServerConnection, reason: str) -> None:
        connection.abort()
        if self.connection is not connection:
            return
        now = clock()
        self.connection = None
        self.refresh.stop_awaiting(connection, reason)
        self.servers.open_links.pop(self, None)
        self.servers.count("connection-ended")
        self.lease.record_event(now, LeaseEvent.BROKEN, reason[:80])
        probes = self.messages.take_pending_probes()
        has_unproven = self.releases.keep_unproven(now, connection)
        self.log_connection(
            "connection-broke", connection, why=reason, setups=len(connection.setups), tests=len(probes)
        )
        if (candidate := self.refresh.detach_candidate()) is not None:
            self._connection_established(candidate)
        self.fail_setups(connection)
        for sent_at in probes:
            self.servers.probe_answered(self.number, now - sent_at, ev.Result.RESET, {})
        if self.queued and self.connection is None:
            self.connect()
        elif has_unproven:
            self.connect_staggered()
        if self.servers.engine.has_sessions_at(self.number):
            if self.entry.state == "gone":
                self.servers.end_sessions(self, "gone")
            else:
                self.connect_staggered()

    def fail_setups(self, connection: ServerConnection) -> None:
        """Tell the engine that the unanswered SETUPs of a connection ended with it."""
        setups, connection.setups = connection.setups, {}
        for sess, setup in setups.items():
            self.servers.setup_answered(sess, setup.attempt, self.number, ev.Result.RESET, {})

    def tick(self, now: int, idle: int) -> None:
        """Check what depends on time: the lease, missing and idle connections, partial lines. `idle` is the
        time in microseconds after which an unused connection is closed."""
        connection, plays = self.connection, self.servers.engine.has_sessions_at(self.number)
        if connection is None and (plays or self.releases.pending):
            self.connect_staggered()
        if connection is not None and plays and self.entry.state == "gone":
            # A new server that has taken the address answers in place of the one that is gone
            self.gone_since = self.gone_since or now
            if now - self.gone_since > ADDRESS_REUSE_TIMEOUT_US:
                for held in self.servers.engine.sessions_at(self.number):
                    self.releases.send(connection, now, held.sess, now)
                self.close_connection(connection, "server is gone from the list, but its address answers")
                return
        overdue_since = self.releases.overdue_since(now)
        if overdue_since is not None:
            self.refresh.completeness.doubt(now, overdue_since)
        self.refresh.tick(now, plays or self.has_setups or overdue_since is not None)
        self._request_proof(now)
        self._check_lease(now, plays)
        if connection is not None and self.connection is connection and not has_unread(connection.transport):
            self._check_connection(connection, now, plays, idle)

    def _request_proof(self, now: int) -> None:
        """Request a sign of life on a new connection on which nothing was received that proves its interval.
        If that stays without any message, the server is doubted."""
        connection, intervals = self.connection, self.refresh.completeness.intervals
        oldest_session = self.servers.engine.standing_since(self.number)
        if connection is None or oldest_session is None or not intervals.awaits(connection.number):
            return
        requested_at = connection.first_sign_requested_at
        if requested_at is None:
            if self.servers.draining or intervals.sign_due(connection.number, now, oldest_session):
                self.request_sign_of_life(connection)
        elif not connection.received_message and now - requested_at > SIGN_TIMEOUT_US:
            self.refresh.completeness.doubt(now, self.lease.last_message_at or 0)

    def _check_lease(self, now: int, plays: bool) -> None:
        connection = self.connection
        if not plays and not self.has_setups:
            self.lease.mark_unused(now)
            return
        due = self.lease.check(now, connection is not None)
        # This process may have been paused: received data that it has not read yet is read first
        unread = connection is not None and has_unread(connection.transport)
        if due is LeaseAction.REQUEST_SIGN and connection is not None and not unread:
            if self.refresh.begin(now, sign_wanted=True):
                self.lease.sign_requested(now)  # the request is sent when the new connection is open
            else:
                self.request_sign_of_life(connection)
        elif due is LeaseAction.GIVE_UP and not (unread and now <= self.lease.expires_at + UNREAD_GRACE_US):
            self.give_up(now, "silent")

    def _check_connection(self, connection: ServerConnection, now: int, plays: bool, idle: int) -> None:
        if connection.partial_since is not None and now - connection.partial_since > PARTIAL_LINE_TIMEOUT_US:
            self.servers.count("partial-line")
            self.lease.record_event(now, LeaseEvent.MALFORMED_INPUT, "partial line")
            self.connection_failed(connection, "partial line")
        elif (
            not plays and not self.has_setups and not self.messages.probes and now - self.last_used_at > idle
        ):
            self.close_connection(connection, "idle")

    def give_up(self, now: int, reason: str) -> None:
        """End all connections and sessions of a server whose lease is over, and queue the sessions' releases
        in case the server still lives."""
        self.fail_connections(reason)
        for held in self.servers.engine.sessions_at(self.number):
            self.keep_release(held.sess, now)
        self.servers.end_sessions(self, reason)

    @property
    def unsent(self) -> bool:
        """Whether a message still has to be written to this server."""
        if self.queued or self.releases.pending:
            return True
        connections = (self.connection, *self.refresh.retiring)
        return any(connection is not None and connection.unsent_bytes > 0 for connection in connections)

    def close(self) -> None:
        """Close all connections; data already written to them is still sent."""
        self._cancel_connect_timer()
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.close()
        if self.connect_task is not None:
            self.connect_task.cancel()
        self.refresh.close()
        self.servers.open_links.pop(self, None)
        self.messages.take_pending_probes()
