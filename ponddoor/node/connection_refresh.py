"""The connections to one server beside the one in use: one that is opened to prove that nothing was missed,
and those that were replaced, which end once nothing is out on them."""

from dataclasses import dataclass, field
from typing import Protocol

from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, clock
from ponddoor.node.server_connection import ServerConnection
from ponddoor.obligations.completeness import PROOF_WITHIN, SILENCE, Completeness
from ponddoor.obligations.lease import Lease
from ponddoor.web.unread import has_unread

CANDIDATE_TIMEOUT_US = SECOND  # for a server that says nothing anywhere: what it was asked may be lost
HALF_CLOSE_TIMEOUT_US = SECOND  # from the end of our side to that of the server's
MAX_RETIRING = 2


class Connections(Protocol):
    """What a refresh needs of the shell that owns all links."""

    engine: Engine
    connect_timeout: int
    extra_connections: dict[ServerConnection, None]

    def count(self, what: str) -> None: ...


class RefreshedLink(Protocol):
    """What a refresh needs of its link."""

    number: int
    lease: Lease

    @property
    def servers(self) -> Connections: ...
    def open_extra_connection(self) -> bool: ...
    def switch_to(self, connection: ServerConnection) -> ServerConnection | None: ...
    def request_sign_of_life(self, connection: ServerConnection) -> None: ...
    def log_connection(self, event: str, connection: ServerConnection, **more: object) -> None: ...
    def fail_setups(self, connection: ServerConnection) -> None: ...
    def resend_release(self, now: int, sess: str) -> None: ...
    def end_unproven_sessions(self, now: int, standing_since: int) -> None: ...


@dataclass(slots=True)
class Retirement:
    """A connection that was replaced."""

    since: int
    half_closed_at: int | None = None


@dataclass(slots=True)
class ConnectionRefresh:
    """Of one link, which tells it what happens on these connections."""

    link: RefreshedLink
    completeness: Completeness
    candidate: ServerConnection | None = None
    retiring: dict[ServerConnection, Retirement] = field(default_factory=dict)
    _sign_wanted: bool = False  # whatever else proves it

    # What may be looked at

    def owns(self, connection: ServerConnection) -> bool:
        """Whether it is one of these."""
        return connection is self.candidate or connection in self.retiring

    @property
    def has_setups(self) -> bool:
        """Whether a SETUP is out on a connection that was replaced."""
        return any(one.setups for one in self.retiring)

    def connection_of_setup(self, sess: str, attempt: int) -> ServerConnection | None:
        """The replaced connection on which a SETUP is out."""
        for one in self.retiring:
            if (out := one.setups.get(sess)) is not None and out.attempt == attempt:
                return one
        return None

    # A refresh

    def begin(self, now: int, sign_wanted: bool = False) -> bool:
        """Open a connection to hear what may have been missed, and, if wanted, a sign of life. False where
        there is no room for it."""
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

    def candidate_opened(self, candidate: ServerConnection) -> None:
        """It came up."""
        now, doubted_from = clock(), self.completeness.doubted_from
        self.candidate = candidate
        self.link.servers.extra_connections[candidate] = None
        doubted_ms = None if doubted_from is None else (now - doubted_from) // 1000
        self.link.log_connection("connection-opened", candidate, beside=True, doubted_ms=doubted_ms)
        proven = self.completeness.came_up(now, candidate.opened_at, self.link.lease.proven_at or 0)
        if proven and not self._sign_wanted:
            self._promote(now, candidate)
        else:
            self.link.request_sign_of_life(candidate)

    def candidate_failed(self, connection: ServerConnection, why: str) -> None:
        """It has proven nothing."""
        self.link.servers.count("refreshes-failed")
        self.link.log_connection("refresh-failed", connection, why=why)
        self.completeness.refresh_failed(clock(), connection.opened_at, self.link.lease.proven_at or 0)

    def message_received(self, now: int, connection: ServerConnection, silent_for: int) -> None:
        """A message came on any connection to the server, after a silence of this length."""
        on_refresh = connection is self.candidate
        if on_refresh:
            self._promote(now, connection)
        if silent_for > SILENCE:
            self.completeness.speaks_again(now)
        self.completeness.answered(now, connection.opened_at, connection.age(now), on_refresh)
        standing_since = self.link.servers.engine.standing_since(self.link.number)
        if self.completeness.refresh_due_with_message(now, standing_since):
            self.begin(now)

    def _promote(self, now: int, candidate: ServerConnection) -> None:
        """The server speaks on the new connection: it takes the place of the one in use."""
        self.detach_candidate()
        self.link.servers.count("connections-replaced")
        self.link.log_connection("connection-in-use", candidate, age_ms=candidate.age(now) // 1000)
        old = self.link.switch_to(candidate)
        if old is None:
            return
        self.link.servers.extra_connections[old] = None
        self.retiring[old] = Retirement(now)
        if self.completeness.doubted_from is not None:
            for sess in old.unconfirmed_releases(now, self.completeness.doubted_from):
                del old.unacknowledged_releases[sess]
                self.link.resend_release(now, sess)

    def detach_candidate(self) -> ServerConnection | None:
        """The new connection, which is none of these any more."""
        candidate, self.candidate = self.candidate, None
        if candidate is not None:
            self.link.servers.extra_connections.pop(candidate, None)
        return candidate

    def drop_candidate(self) -> None:
        """The new connection is not wanted any more."""
        if (candidate := self.detach_candidate()) is not None:
            candidate.abort()

    # Ends

    def forget_release(self, sess: str) -> None:
        """A session is set up anew: its earlier release must not be repeated."""
        for one in self.retiring:
            one.unacknowledged_releases.pop(sess, None)

    def connection_ended(self, connection: ServerConnection, why: str) -> None:
        """One of these connections has ended, or is of no use any more."""
        if connection is self.candidate:
            self.detach_candidate()
            self.candidate_failed(connection, why)
        elif self.retiring.pop(connection, None) is not None:
            self.link.log_connection("connection-ended", connection, why=why, setups=len(connection.setups))
            self.link.servers.extra_connections.pop(connection, None)
            self.link.fail_setups(connection)
            now = clock()
            for sess in () if connection.closed_by_server else connection.unconfirmed_releases(now, None):
                self.link.resend_release(now, sess)
        connection.abort()

    def end_all(self, why: str) -> None:
        """None of these is of any use any more."""
        self.drop_candidate()
        for connection in list(self.retiring):
            self.connection_ended(connection, why)

    def close(self) -> None:
        """What has been written still leaves."""
        for connection in (self.detach_candidate(), *self.retiring):
            if connection is not None and connection.transport is not None:
                connection.transport.close()
        for connection in self.retiring:
            self.link.servers.extra_connections.pop(connection, None)
        self.retiring.clear()

    # Time

    def tick(self, now: int, in_use: bool) -> None:
        """What time alone brings; `in_use` is whether anything depends on the server."""
        self._check_retiring(now)
        if not in_use:
            self.completeness.unused(now)
            return
        self.completeness.looks(now)
        candidate = self.candidate
        if candidate is not None and self._has_timed_out(now, candidate):
            if has_unread(candidate.transport):
                return
            self.connection_ended(candidate, "no answer on it")
        standing_since = self.link.servers.engine.standing_since(self.link.number)
        if self.completeness.refresh_due(now, standing_since):
            self.begin(now)
        over_since = self.completeness.over_if_standing_since(now)
        if over_since is not None and standing_since is not None and standing_since <= over_since:
            self.link.end_unproven_sessions(now, over_since)

    def _has_timed_out(self, now: int, candidate: ServerConnection) -> bool:
        """Whether it has proven nothing in its time: less where the server speaks on another connection."""
        heard_at = self.link.lease.proven_at or 0
        speaks_elsewhere = candidate.established_at is not None and heard_at > candidate.established_at
        return candidate.age(now) > (PROOF_WITHIN if speaks_elsewhere else CANDIDATE_TIMEOUT_US)

    def _check_retiring(self, now: int) -> None:
        """End what nothing is out on: a test is answered, or late, within a connect timeout."""
        for connection, retirement in list(self.retiring.items()):
            if retirement.half_closed_at is None:
                if not connection.setups and now - retirement.since > self.link.servers.connect_timeout:
                    connection.half_close()
                    retirement.half_closed_at = now
            elif now - retirement.half_closed_at > HALF_CLOSE_TIMEOUT_US:
                self.connection_ended(connection, "does not end")
