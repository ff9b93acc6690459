"""The connections of a link beside the one in use.

A refresh opens a candidate connection, to prove that no message of the server was missed. When the server
sends a message on the candidate, the candidate replaces the connection in use. A replaced connection is kept
as retiring until no SETUP is unanswered on it.

A candidate on which nothing was received in time lingers: what the server has written to it first is written
to no later connection, and may still arrive."""

from dataclasses import dataclass, field
from typing import Protocol

from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, clock
from ponddoor.node.link_releases import LinkReleases
from ponddoor.node.server_connection import ServerConnection
from ponddoor.obligations.completeness import SILENCE_THRESHOLD_US, Completeness
from ponddoor.obligations.lease import LEASE_DURATION_US, Lease
from ponddoor.obligations.unproven_intervals import Interval, ReceivedMessage
from ponddoor.web.unread import has_unread

# For a candidate of a server that is silent on all connections: the request sent on it may be lost
CANDIDATE_TIMEOUT_US = SECOND
HEARD_ELSEWHERE_TIMEOUT_US = SECOND // 2  # likewise, if the server is heard on another connection
# From closing our direction of a connection until the server closes its own, behind all that it has written
HALF_CLOSE_TIMEOUT_US = 3 * SECOND
MAX_RETIRING = 4
MAX_LINGERING = 4


class Connections(Protocol):
    """What a refresh needs of the object that owns all links."""

    engine: Engine
    connect_timeout: int
    extra_connections: dict[ServerConnection, None]

    @property
    def draining(self) -> bool: ...
    def ends_unanswered(self, now: int) -> bool: ...
    def count(self, event: str) -> None: ...


class RefreshedLink(Protocol):
    """What a refresh needs of its link."""

    number: int
    lease: Lease
    releases: LinkReleases
    connection: ServerConnection | None

    @property
    def servers(self) -> Connections: ...
    def open_extra_connection(self) -> bool: ...
    def switch_to(self, connection: ServerConnection) -> ServerConnection | None: ...
    def request_sign_of_life(self, connection: ServerConnection) -> None: ...
    def log_connection(self, event: str, connection: ServerConnection, **more: object) -> None: ...
    def fail_setups(self, connection: ServerConnection) -> None: ...
    def end_unproven_sessions(self, now: int, standing_since: int) -> None: ...


@dataclass(slots=True)
class Retirement:
    """When a connection was replaced, and when our direction of it was closed; in microseconds."""

    since: int
    half_closed_at: int | None = None


@dataclass(slots=True)
class ConnectionRefresh:
    """The further connections of one link. The link calls it for each of their events.

    `lingering` are former candidates on which nothing was received in time, the oldest first."""

    link: RefreshedLink
    completeness: Completeness
    candidate: ServerConnection | None = None
    retiring: dict[ServerConnection, Retirement] = field(default_factory=dict)
    lingering: dict[ServerConnection, None] = field(default_factory=dict)
    _sign_wanted: bool = False  # request a sign of life even if the open connection is proof enough

    # Queries

    def owns(self, connection: ServerConnection) -> bool:
        """Whether the connection is the candidate, a retiring or a lingering one."""
        return connection is self.candidate or connection in self.retiring or connection in self.lingering

    @property
    def has_further_connections(self) -> bool:
        """Whether there is a retiring or a lingering connection, which `tick` has to check."""
        return bool(self.retiring or self.lingering)

    @property
    def has_setups(self) -> bool:
        """Whether a SETUP is unanswered on a retiring connection."""
        return any(connection.setups for connection in self.retiring)

    def connection_of_setup(self, sess: str, attempt: int) -> ServerConnection | None:
        """The retiring connection on which this attempt is unanswered."""
        for connection in self.retiring:
            if (setup := connection.setups.get(sess)) is not None and setup.attempt == attempt:
                return connection
        return None

    # The candidate

    def begin(self, now: int, sign_wanted: bool = False) -> bool:
        """Open a candidate, and request a sign of life on it in any case if `sign_wanted`. Returns False if
        there is a candidate already, no further connection is possible, or the shutdown has begun and the
        server is owed no release."""
        if self.link.servers.draining and not self._may_have_lost_release(now):
            return False
        if (
            self.candidate is not None
            or len(self.retiring) >= MAX_RETIRING
            or not self.link.open_extra_connection()
        ):
            return False
        self._sign_wanted = sign_wanted
        self.completeness.refresh_began(now)
        self.link.servers.count("refreshes")
        return True

    def _may_have_lost_release(self, now: int) -> bool:
        """Whether the server may not have read a release on the connection in use, which is doubted."""
        doubted = self.completeness.doubted_from is not None
        return doubted and self.link.releases.oldest_unproven(now) is not None

    def connection_opened(self, connection: ServerConnection) -> None:
        """A connection is established, whatever it is used for: the server owes it what ended before."""
        now, last_message_at = clock(), self.link.lease.last_message_at or 0
        connection.usable_at_once = self.completeness.connection_opened(
            now, connection.number, connection.opened_at, last_message_at
        )

    def candidate_opened(self, candidate: ServerConnection) -> None:
        """The candidate is established: use it at once if the server is heard, or request a sign of life."""
        now, doubted_from = clock(), self.completeness.doubted_from
        self.candidate = candidate
        self.link.servers.extra_connections[candidate] = None
        doubted_ms = None if doubted_from is None else (now - doubted_from) // 1000
        self.link.log_connection("connection-opened", candidate, beside=True, doubted_ms=doubted_ms)
        if candidate.usable_at_once and not self._sign_wanted:
            self._promote(now, candidate)
        else:
            self.link.request_sign_of_life(candidate)

    def candidate_failed(self, connection: ServerConnection, reason: str) -> None:
        """The candidate could not be opened, or nothing was received on it in time."""
        self.link.servers.count("refreshes-failed")
        self.link.log_connection("refresh-failed", connection, why=reason)
        self.completeness.refresh_failed(clock(), connection.opened_at, self.link.lease.last_message_at or 0)
        in_use = self.link.connection
        if connection.established_at is None and in_use is not None:
            self.link.request_sign_of_life(in_use)  # whether the server is heard although no connect succeeds

    def message_received(self, now: int, connection: ServerConnection, silent_for: int, sign_id: str) -> None:
        """A message was received on any connection to the server, after `silent_for` microseconds without.

        `sign_id` is the id of the probe that it answers, if any."""
        if connection is self.candidate or (connection in self.lingering and self._is_doubted):
            self._promote(now, connection)
        if silent_for > SILENCE_THRESHOLD_US:
            self.completeness.silence_ended(now)
        answers_first_sign = connection.is_first_sign(sign_id)
        message = ReceivedMessage(connection.number, connection.age(now), answers_first_sign)
        proven = self.completeness.message_received(now, connection.opened_at, message)
        for interval in proven:
            self._log_interval("interval-proven", connection, now, interval)
        if connection in self.lingering and not self.completeness.intervals.awaits(connection.number):
            self._retire(now, connection)
        standing_since = self.link.servers.engine.standing_since(self.link.number)
        if self.completeness.refresh_due_on_message(now, standing_since):
            self.begin(now)

    @property
    def _is_doubted(self) -> bool:
        return self.completeness.doubted_from is not None

    def _log_interval(
        self, event: str, connection: ServerConnection, now: int, interval: Interval, **more: object
    ) -> None:
        began_ms, ended_ms = (now - interval.begin) // 1000, (now - interval.end) // 1000
        self.link.log_connection(event, connection, began_ms_ago=began_ms, ended_ms_ago=ended_ms, **more)

    def _promote(self, now: int, connection: ServerConnection) -> None:
        """Use a further connection instead of the one in use, which retires. If that one is doubted, the
        releases that may be lost on it are sent again."""
        if connection is self.candidate:
            self.detach_candidate()
        elif connection in self.lingering:
            del self.lingering[connection]
            self.link.servers.extra_connections.pop(connection, None)
        self.link.servers.count("connections-replaced")
        self.link.log_connection("connection-in-use", connection, age_ms=connection.age(now) // 1000)
        old = self.link.switch_to(connection)
        if old is None:
            return
        if self.completeness.intervals.awaits(old.number) and not old.setups:
            self._let_linger(old)
        else:
            self._retire(now, old)
        if self._is_doubted:
            self._resend_releases(now, old)

    def _retire(self, now: int, connection: ServerConnection) -> None:
        """Close a connection once no SETUP is unanswered on it."""
        self.lingering.pop(connection, None)
        self.link.servers.extra_connections[connection] = None
        self.retiring[connection] = Retirement(now)

    def _resend_releases(self, now: int, connection: ServerConnection) -> None:
        for sess, due_since in connection.releases.take_unproven(now).items():
            self.link.releases.resend(now, sess, due_since)

    def detach_candidate(self) -> ServerConnection | None:
        """Stop managing the candidate, and return it."""
        candidate, self.candidate = self.candidate, None
        if candidate is not None:
            self.link.servers.extra_connections.pop(candidate, None)
        return candidate

    def drop_candidate(self) -> None:
        """Abort the candidate."""
        if (candidate := self.detach_candidate()) is not None:
            self.stop_awaiting(candidate, "not needed any more")
            candidate.abort()

    def _let_candidate_linger(self) -> None:
        """Nothing was received on the candidate in time: it may still come, beside other refreshes."""
        if (candidate := self.detach_candidate()) is None:
            return
        self.candidate_failed(candidate, "no message on the new connection in time")
        self._let_linger(candidate)

    def _let_linger(self, connection: ServerConnection) -> None:
        """Read a connection on beside the one in use: what the server owes it may still come."""
        if len(self.lingering) >= MAX_LINGERING:
            self.connection_ended(next(iter(self.lingering)), "too many connections without a message")
        self.lingering[connection] = None
        self.link.servers.extra_connections[connection] = None

    # Ends

    def forget_release(self, sess: str) -> None:
        """A new SETUP for this session is sent: an earlier release of it must not be sent again."""
        for connection in (*self.retiring, *self.lingering):
            connection.releases.proven(sess)

    def stop_awaiting(self, connection: ServerConnection, reason: str) -> None:
        """A connection has ended: what the server owed it and was not received stays unknown for good."""
        interval = self.completeness.intervals.ended(connection.number)
        if interval is not None:
            self.link.servers.count("intervals-unknown")
            self._log_interval("interval-unknown", connection, clock(), interval, why=reason)

    def connection_ended(self, connection: ServerConnection, reason: str) -> None:
        """Stop managing a connection that has ended or broken, and abort it."""
        self.stop_awaiting(connection, reason)
        if connection is self.candidate:
            self.detach_candidate()
            self.candidate_failed(connection, reason)
        elif connection in self.lingering:
            del self.lingering[connection]
            self._further_connection_ended(connection)
        elif self.retiring.pop(connection, None) is not None:
            self.link.log_connection(
                "connection-ended", connection, why=reason, setups=len(connection.setups)
            )
            self._further_connection_ended(connection)
        connection.abort()

    def _further_connection_ended(self, connection: ServerConnection) -> None:
        self.link.servers.extra_connections.pop(connection, None)
        self.link.fail_setups(connection)
        if not connection.closed_by_server:
            self._resend_releases(clock(), connection)

    def end_all(self, reason: str) -> None:
        """End the candidate, and all retiring and lingering connections as broken."""
        self.drop_candidate()
        for connection in [*self.retiring, *self.lingering]:
            self.connection_ended(connection, reason)

    def close(self) -> None:
        """Close all these connections; data already written to them is still sent."""
        for connection in (self.detach_candidate(), *self.retiring, *self.lingering):
            if connection is not None and connection.transport is not None:
                connection.transport.close()
        for connection in (*self.retiring, *self.lingering):
            self.link.servers.extra_connections.pop(connection, None)
        self.retiring.clear()
        self.lingering.clear()

    # Time

    def tick(self, now: int, in_use: bool) -> None:
        """Check what depends on time; `in_use` is whether sessions or SETUPs depend on the server."""
        self._check_retiring(now)
        if not in_use:
            self.completeness.mark_unused(now)
        self._check_lingering(now)
        if not in_use:
            return
        self.completeness.record_check(now)
        candidate = self.candidate
        if candidate is not None and self._has_timed_out(now, candidate):
            if has_unread(candidate.transport):
                return
            self._let_candidate_linger()
        standing_since = self.link.servers.engine.standing_since(self.link.number)
        if standing_since is not None:
            self.completeness.intervals.forget_before(standing_since)
        if self.completeness.refresh_due(now, standing_since):
            self.begin(now)
        self._end_unproven_sessions(now, standing_since)

    def _end_unproven_sessions(self, now: int, standing_since: int | None) -> None:
        """End the sessions whose end may have been missed, once it is too late for a proof.

        In a shutdown, the next process is told of what ended since the last connection was opened, and of
        nothing before: what is unanswered then ends while viewers can be told."""
        servers = self.link.servers
        if not servers.draining:
            over_since = self.completeness.expiry_cutoff(now)
        elif servers.ends_unanswered(now):
            over_since = self.completeness.intervals.unanswered_end
        else:
            return
        if over_since is not None and standing_since is not None and standing_since <= over_since:
            self.link.end_unproven_sessions(now, over_since)

    def _check_lingering(self, now: int) -> None:
        """End the lingering connections on which nothing is awaited any more."""
        for connection in list(self.lingering):
            if not self.completeness.intervals.awaits(connection.number):
                self.connection_ended(connection, "no session depends on it")
            elif connection.age(now) > LEASE_DURATION_US and not has_unread(connection.transport):
                self.connection_ended(connection, "no message on it within the lease")

    def _has_timed_out(self, now: int, candidate: ServerConnection) -> bool:
        """Whether the candidate has had no message in its time, which is shorter if the server has sent
        messages on another connection meanwhile."""
        last_message_at = self.link.lease.last_message_at or 0
        heard_elsewhere = candidate.established_at is not None and last_message_at > candidate.established_at
        return candidate.age(now) > (HEARD_ELSEWHERE_TIMEOUT_US if heard_elsewhere else CANDIDATE_TIMEOUT_US)

    def _check_retiring(self, now: int) -> None:
        """Close retiring connections without unanswered SETUPs. A connect timeout after their replacement,
        no probe on them is unanswered either."""
        for connection, retirement in list(self.retiring.items()):
            if retirement.half_closed_at is None:
                if not connection.setups and now - retirement.since > self.link.servers.connect_timeout:
                    connection.half_close()
                    retirement.half_closed_at = now
            elif now - retirement.half_closed_at > HALF_CLOSE_TIMEOUT_US:
                self.connection_ended(connection, "server did not close it in time")
