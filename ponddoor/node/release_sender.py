"""Writes the releases of sessions to connections from viewers, until their viewers are known to have heard.

`ponddoor.obligations.release_delivery` tells which copies are due; here are the order of the connections, the
timer and the log."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ponddoor.front.pump import SECOND, clock
from ponddoor.node.session_log import ReleaseCopy, SessionLog
from ponddoor.node.viewer_connection import ConnectionTable, ViewerConnection
from ponddoor.obligations.release_delivery import DeliveryEnd, PendingRelease
from ponddoor.obligations.sessions import Sessions

NO_CONNECTION_RETRY_US = SECOND // 20  # while there is no connection to write a release to

Release = PendingRelease[ViewerConnection]


@dataclass(slots=True)
class ReleaseSender:
    """Writes the releases of one node to its connections from viewers."""

    sessions: Sessions[ViewerConnection]
    connections: ConnectionTable
    session_log: SessionLog
    _timer: asyncio.TimerHandle | None = field(default=None, init=False)
    _timer_at: int = field(default=0, init=False)
    _closed: bool = field(default=False, init=False)

    def __post_init__(self) -> None:
        self.sessions.on_delivery_end = self._log_delivery_end

    def release(self, session: str, message: bytes) -> None:
        """End a standing session, and tell its viewer with this message."""
        if self.sessions.end_session(clock(), session, message):
            self.send_due()

    def send_due(self) -> None:
        """Write every copy that is due, and look again when the next one is."""
        now = clock()
        copies = self.sessions.delivery.due(now, self.connections.release_candidates)
        self._write(now, copies)
        self._set_timer(now, wrote=bool(copies))

    def connection_spoke(self, connection: ViewerConnection) -> None:
        """A message was received: what the connection may have missed follows once that is handled."""
        now = clock()
        self.sessions.delivery.connection_spoke(now, connection)
        self._set_timer(now, wrote=True)

    def viewer_asks(self, connection: ViewerConnection, session: str) -> None:
        """A viewer hands over a session on this connection that has ended here: it has not heard of that."""
        release = self.sessions.delivery.viewer_asks(session, connection)
        if release is not None:
            self._write(clock(), {connection: [release]})

    def write_before_close(self, connection: ViewerConnection) -> None:
        """Write the releases that a connection was not offered yet, since it is about to be closed."""
        releases = self.sessions.delivery.copies_before_close(connection)
        if releases:
            self._write(clock(), {connection: releases})

    def write_all(self) -> None:
        """Write each pending release to every connection that was not offered it yet."""
        now = clock()
        candidates = self.connections.release_candidates()
        self._write(now, self.sessions.delivery.offer_all_now(candidates))

    def _write(self, now: int, copies: Mapping[ViewerConnection, Sequence[Release]]) -> None:
        written = dict[str, tuple[Release, list[ReleaseCopy]]]()
        for connection, releases in copies.items():
            connection.write(b"".join(release.message for release in releases))
            copy = ReleaseCopy(connection.number, connection.silent_for(now))
            for release in releases:
                written.setdefault(release.session, (release, []))[1].append(copy)
        for release, its_copies in written.values():
            self.sessions.release_copied(now, release, len(its_copies))
            self.session_log.session_released(release.session, release.rounds, its_copies)

    def _log_delivery_end(self, now: int, release: Release, how: DeliveryEnd) -> None:
        self.session_log.release_ended(release.session, how.value, release.copies, now - release.ended_at)

    def _set_timer(self, now: int, wrote: bool) -> None:
        due = self.sessions.delivery.next_due
        if due is None or self._closed:
            return
        if due <= now and not wrote:
            due = now + NO_CONNECTION_RETRY_US
        if self._timer is not None:
            if self._timer_at <= due:
                return
            self._timer.cancel()
        self._timer_at = due
        delay_s = max(due - now, 0) / SECOND
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._timer_expired)

    def _timer_expired(self) -> None:
        self._timer = None
        self.send_due()

    def close(self) -> None:
        """The process ends: what is still pending is left to the next one."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.sessions.delivery.leave_all(clock())
