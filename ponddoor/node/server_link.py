"""One server on the platform: what waits for it, the connection in use, and the lease of the sessions there.

What a connection's end means is told to the engine: refused, nothing ran and no session is left there;
broken, its SETUPs are lost and no session that plays. `ponddoor.obligations.lease` has what a server must
say for its sessions to stand, `completeness` when a connection is opened beside the one in use to hear what
may have been missed; `connection_refresh` keeps such connections."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import structlog

from ponddoor.front import effects as fx
from ponddoor.front.backoff import SPOILT_WAIT, ConnectBackoff
from ponddoor.front.pump import SECOND, clock, once_read
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.node import server_codec as codec
from ponddoor.node.board_codec import server_id
from ponddoor.node.connection_refresh import ConnectionRefresh, Connections
from ponddoor.node.descriptors import is_resource_exhaustion
from ponddoor.node.server_connection import ServerConnection
from ponddoor.node.server_messages import MessageOwner, Outgoing, ServerMessages
from ponddoor.obligations.completeness import Completeness
from ponddoor.obligations.lease import Due, Lease, Sign
from ponddoor.web.connecting import connect_within
from ponddoor.web.unread import has_unread

ADDRESS_REUSE_TIMEOUT_US = (
    SECOND  # a server told gone that is answered for so long: a new one has its address
)
PARTIAL_LINE_TIMEOUT_US = SECOND // 4  # a line that takes longer than this to end does not end
UNREAD_GRACE_US = SECOND // 4  # what has come as a lease ends is read first, for so long
MAX_BACKOFF_WITH_SESSIONS_US = SECOND  # between two connects to a server where sessions stand, at most
MAX_QUEUED_MESSAGES = 1000  # messages that wait for one connection
MAX_PENDING_RELEASES = 1000  # for a server out of reach, or unread on a connection that may end
log = structlog.get_logger("servers")


class LinkOwner(MessageOwner, Connections, Protocol):
    """What a link needs of the shell that owns all of them."""

    random: Random
    setups_enabled: bool
    open_links: "dict[ServerLink, None]"

    def mark_used(self, link: "ServerLink") -> None: ...
    def make_room(self) -> bool: ...
    def connect_delay(self) -> int: ...
    def end_sessions(self, link: "ServerLink", why: str, standing_since: int | None = None) -> None: ...


@dataclass(slots=True, eq=False)
class ServerLink:
    """What a front holds towards one server."""

    servers: LinkOwner
    number: int
    entry: Entry
    connection: ServerConnection | None = None
    connect_task: asyncio.Task[None] | None = None
    queued: list[Outgoing] = field(default_factory=list)
    pending_releases: dict[str, None] = field(default_factory=dict)  # for the next connection
    last_used_at: int = 0
    gone_since: int | None = None
    connect_timer: asyncio.TimerHandle | None = None
    backoff: ConnectBackoff = field(init=False)
    lease: Lease = field(init=False)
    refresh: ConnectionRefresh = field(init=False)
    messages: ServerMessages = field(init=False)

    def __post_init__(self) -> None:
        self.backoff = ConnectBackoff(self.servers.random)
        self.lease = Lease(self.servers.connect_timeout)
        self.refresh = ConnectionRefresh(self, Completeness(self.servers.connect_delay()))
        self.messages = ServerMessages(self)

    def send(self, item: Outgoing) -> None:
        """Write a message, or keep it until the connection is there; a SETUP, until all is read."""
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
        """Whether the connection carries something, or sessions play there."""
        plays = self.servers.engine.plays_at(self.number)
        return bool(self.queued or self.messages.probes or self.has_setups or plays)

    @property
    def has_setups(self) -> bool:
        """Whether a SETUP is out on a connection."""
        in_use = self.connection is not None and self.connection.setups
        return bool(in_use or self.refresh.has_setups)

    @property
    def active(self) -> bool:
        """Whether time alone can bring something here."""
        connects = (
            self.connection is not None or self.connect_task is not None or self.connect_timer is not None
        )
        return bool(connects or self.pending_releases or self.refresh.retiring or self.needed)

    def send_queued(self) -> None:
        """What waits may go out, each message for itself."""
        for item in self.queued:
            self._send_after_pending_reads(item)

    def _send_after_pending_reads(self, item: Outgoing) -> None:
        """It goes out once all that has come by now is read: its viewer may have left, or its server drain,
        with the message that says so unread."""
        if self.servers.setups_enabled:
            once_read(lambda: self._send_queued_item(item))

    def _send_queued_item(self, item: Outgoing) -> None:
        if self.connection is None:
            return
        place = next((at for at, one in enumerate(self.queued) if one is item), None)
        if place is not None:
            del self.queued[place]
            self.messages.write(self.connection, item)

    def connect(self) -> None:
        """Connect now or, after failures, once the backoff allows it: what waits is answered by then."""
        if self.connection is not None or self.connect_task is not None:
            return
        if self._backoff_wait(clock()):
            self.servers.count("connects-held-back")
            self._fail_queued(ev.Result.CONNECT_FAILED)
            if self.pending_releases:
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
        """How long the next connect has to wait: where sessions stand they must be heard of in time."""
        if self.servers.engine.plays_at(self.number):
            return self.backoff.wait(now, MAX_BACKOFF_WITH_SESSIONS_US)
        return self.backoff.wait(now)

    def connect_staggered(self) -> None:
        """Connect after this front's part of a connect timeout: fronts that lost a server together do not
        connect to it together. No SETUP waits for it."""
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
        connection, limit = ServerConnection(self), self.servers.connect_timeout / SECOND
        try:
            opened = await connect_within(limit, host, int(port))
            await asyncio.get_running_loop().create_connection(lambda: connection, sock=opened)
        except (OSError, TimeoutError) as problem:
            self.connect_task = None
            self._connect_failed(connection, problem)
            return
        self.connect_task = None
        if connection.transport is None or connection.transport.is_closing():
            self._connect_failed(connection, ConnectionResetError())
        elif self.connection is None:
            self._connection_established(connection)
        else:
            self.refresh.candidate_opened(connection)

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
        self.connection = connection
        self.servers.open_links[self] = None
        self.servers.count("connected")
        self.log_connection("connection-opened", connection)
        unproven = self.lease.connected(clock()) or self.refresh.completeness.doubted_from is not None
        asks = unproven and self.servers.engine.plays_at(self.number)
        pending, self.pending_releases = self.pending_releases, {}
        for sess in pending:
            connection.release(clock(), sess)
        if asks:
            self.request_sign_of_life(connection)
        self.send_queued()

    def request_sign_of_life(self, connection: ServerConnection) -> None:
        """Ask the server whether it lives."""
        self.lease.asked(clock())
        self.servers.count("sign-asked")
        connection.write(codec.encode_probe(self.servers.new_id(), False))

    def log_connection(self, event: str, connection: ServerConnection, **more: object) -> None:
        """A line about a connection."""
        log.info(event, server=server_id(self.number), connection=connection.number, **more)

    def open_extra_connection(self) -> bool:
        """Open a connection beside the one in use. False where there is none, or no room for another."""
        if self.connection is None or self.connect_task is not None or self.entry.state == "gone":
            return False
        if not self.servers.make_room():
            self.servers.count("no-room")
            return False
        self.connect_task = asyncio.create_task(self._connect())
        return True

    def switch_to(self, connection: ServerConnection) -> ServerConnection | None:
        """This connection is in use from now on; returns the one that was."""
        old, self.connection = self.connection, connection
        return old

    def resend_release(self, now: int, sess: str) -> None:
        """A release that may not have been read goes out on the connection in use, or on the next."""
        self.servers.count("releases-repeated")
        self.release(now, sess)

    def release(self, now: int, sess: str) -> None:
        """A release goes out on the connection in use, or on the next."""
        if self.connection is not None:
            self.connection.release(now, sess)
        else:
            self.queue_release(sess)

    def end_unproven_sessions(self, now: int, standing_since: int) -> None:
        """What the sessions that have stood so long may have missed is overdue: they are over."""
        for held in self.servers.engine.playing_at(self.number):
            if held.standing_since <= standing_since:
                self.release(now, held.sess)
        self.servers.end_sessions(self, "unproven", standing_since)

    def _connect_out_of_resources(self, problem: OSError) -> None:
        """The machine gives us no connection: nothing ran, and the server is not to blame."""
        self.servers.count("no-descriptor")
        log.warning("no-descriptor", server=server_id(self.number), why=str(problem))
        self._fail_queued(ev.Result.MOOT)

    def _server_unreachable(self, problem: Exception) -> None:
        """No connection came up: nothing that waited for it ran. Refused, the process is dead."""
        now = clock()
        self.backoff.failed(now)
        if isinstance(problem, ConnectionRefusedError):
            self.servers.count("connect-refused")
            self.lease.refused(now)
            self.pending_releases.clear()
            self.queued = [item for item in self.queued if not isinstance(item, fx.SendTeardown)]
            self.servers.end_sessions(self, "refused")
        else:
            what = "late" if isinstance(problem, TimeoutError) else "failed"
            self.servers.count(f"connect-{what}")
            self.lease.note(now, Sign.BROKEN, f"connect {what}")
        self._fail_queued(ev.Result.CONNECT_FAILED)

    def _fail_queued(self, why: ev.Result) -> None:
        """What waits is answered as never sent; releases wait for the next connection."""
        waiting, self.queued = self.queued, []
        for item in waiting:
            if isinstance(item, fx.SendTeardown):
                self.queue_release(item.sess)
            else:
                self.servers.fail_unsent(item, why)

    def queue_release(self, sess: str) -> None:
        """A release that can't be sent now goes out first on the next connection."""
        self.servers.mark_used(self)
        if len(self.pending_releases) < MAX_PENDING_RELEASES:
            self.pending_releases[sess] = None
        else:
            self.servers.count("too-many-pending-releases")

    def withdraw_setup(self, sess: str, attempt: int) -> bool:
        """Take back a SETUP that has not gone out yet."""
        kept = [
            one
            for one in self.queued
            if not (isinstance(one, fx.SendSetup) and (one.sess, one.attempt) == (sess, attempt))
        ]
        found = len(kept) < len(self.queued)
        self.queued = kept
        return found

    def handle_line(self, connection: ServerConnection, line: bytes) -> None:
        """A line has come. Raises UnreadableError for one that is no message."""
        if self.connection is connection or self.refresh.owns(connection):
            self.messages.handle_line(connection, line)

    def message_received(self, now: int, connection: ServerConnection) -> None:
        """A message came: the server lives, and what it had to say may be proven heard."""
        silent_for = now - (self.lease.proven_at or now)
        connection.received_message = True
        self.lease.heard(now)
        if connection.was_useful(now):
            self.backoff.succeeded()
        self.refresh.message_received(now, connection, silent_for)

    def request_timed_out(self, now: int, since: int) -> None:
        """Something had no answer in its time. Doubt, if nothing at all has come since."""
        heard_at = self.lease.proven_at or 0
        if heard_at <= since:
            self.refresh.completeness.doubt(now, heard_at)

    def protocol_error(self, connection: ServerConnection, why: str) -> None:
        """What came is no message: nothing on this connection can be believed any more."""
        if self.connection is connection:
            self.servers.count("spoilt")
            self._back_off_after_protocol_error(connection)
            self.lease.note(clock(), Sign.NO_MESSAGE, why[:80])
            self._end_connection(connection, f"spoilt: {why}")
        else:
            self.refresh.connection_ended(connection, f"spoilt: {why}")

    def _back_off_after_protocol_error(self, connection: ServerConnection) -> None:
        now = clock()
        if connection.received_message:
            self.backoff.hold(now, SPOILT_WAIT)
        else:
            self.backoff.failed(now, SPOILT_WAIT)

    def fail_connections(self, why: str) -> None:
        """No connection to the server is of any use any more."""
        self.refresh.end_all(why)
        if self.connection is not None:
            self.connection_failed(self.connection, why)

    def close_connection(self, connection: ServerConnection, why: str) -> None:
        """The connection is sound and not needed: what was written to it still leaves."""
        self.refresh.drop_candidate()
        if connection.transport is not None:
            connection.transport.close()
        self._end_connection(connection, why)

    def connection_failed(self, connection: ServerConnection, why: str) -> None:
        """The connection is of no use any more: its SETUPs are lost, sessions that play are not."""
        now = clock()
        if self.connection is not connection:
            self.refresh.connection_ended(connection, why)
            return
        if connection.failed_early(now):
            self.backoff.failed(now)
        elif connection.was_useful(now):
            self.backoff.succeeded()
        self._end_connection(connection, why)

    def _end_connection(self, connection: ServerConnection, why: str) -> None:
        connection.abort()
        if self.connection is not connection:
            return
        now = clock()
        self.connection = None
        self.servers.open_links.pop(self, None)
        self.servers.count("connection-ended")
        self.lease.note(now, Sign.BROKEN, why[:80])
        tests = self.messages.take_pending_probes()
        unheard = connection.unconfirmed_releases(now, self.refresh.completeness.doubted_from)
        for sess in unheard:
            self.servers.count("releases-repeated")
            self.queue_release(sess)
        self.log_connection(
            "connection-broke", connection, why=why, setups=len(connection.setups), tests=len(tests)
        )
        if (candidate := self.refresh.detach_candidate()) is not None:
            self._connection_established(candidate)
        self.fail_setups(connection)
        for began in tests:
            self.servers.probe_answered(self.number, now - began, ev.Result.RESET, {})
        if self.queued and self.connection is None:
            self.connect()
        elif unheard:
            self.connect_staggered()
        if self.servers.engine.plays_at(self.number):
            if self.entry.state == "gone":
                self.servers.end_sessions(self, "gone")
            else:
                self.connect_staggered()

    def fail_setups(self, connection: ServerConnection) -> None:
        """The SETUPs that are out on a connection have ended with it."""
        setups, connection.setups = connection.setups, {}
        for sess, out in setups.items():
            self.servers.setup_answered(sess, out.attempt, self.number, ev.Result.RESET, {})

    def tick(self, now: int, idle: int) -> None:
        """What time alone brings: a lease that ends, partial lines, idle connections, connections wanted."""
        connection, plays = self.connection, self.servers.engine.plays_at(self.number)
        if connection is None and (plays or self.pending_releases):
            self.connect_staggered()
        if connection is not None and plays and self.entry.state == "gone":
            # A new server that has taken the address answers for the one that has gone
            self.gone_since = self.gone_since or now
            if now - self.gone_since > ADDRESS_REUSE_TIMEOUT_US:
                self.connection_failed(connection, "gone, and something answers there")
                return
        self.refresh.tick(now, plays or self.has_setups)
        self._check_lease(now, plays)
        if connection is not None and self.connection is connection and not has_unread(connection.transport):
            self._check_connection(connection, now, plays, idle)

    def _check_lease(self, now: int, plays: bool) -> None:
        connection = self.connection
        if not plays and not self.has_setups:
            self.lease.unused(now)
            return
        due = self.lease.look(now, connection is not None)
        # What has come is read first: this process may have stood meanwhile
        unread = connection is not None and has_unread(connection.transport)
        if due is Due.ASK and connection is not None and not unread:
            if self.refresh.begin(now, sign_wanted=True):
                self.lease.asked(now)  # on the new connection, as it comes up
            else:
                self.request_sign_of_life(connection)
        elif due is Due.GIVE_UP and not (unread and now <= self.lease.expires_at + UNREAD_GRACE_US):
            self.give_up(now, "silent")

    def _check_connection(self, connection: ServerConnection, now: int, plays: bool, idle: int) -> None:
        if connection.partial_since is not None and now - connection.partial_since > PARTIAL_LINE_TIMEOUT_US:
            self.servers.count("partial-line")
            self.lease.note(now, Sign.NO_MESSAGE, "partial line")
            self.connection_failed(connection, "partial line")
        elif (
            not plays and not self.has_setups and not self.messages.probes and now - self.last_used_at > idle
        ):
            self.close_connection(connection, "idle")

    def give_up(self, now: int, why: str) -> None:
        """Nothing proves that the sessions there stand: they are over, and owed a release at the server."""
        self.fail_connections(why)
        for held in self.servers.engine.playing_at(self.number):
            self.queue_release(held.sess)
        self.servers.end_sessions(self, why)

    @property
    def unsent(self) -> bool:
        """Whether something is still to be written here."""
        if self.queued or self.pending_releases:
            return True
        connections = (self.connection, *self.refresh.retiring)
        return any(one is not None and one.unsent_bytes > 0 for one in connections)

    def close(self) -> None:
        """What has been written still leaves."""
        self._cancel_connect_timer()
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.close()
        if self.connect_task is not None:
            self.connect_task.cancel()
        self.refresh.close()
        self.servers.open_links.pop(self, None)
        self.messages.take_pending_probes()
