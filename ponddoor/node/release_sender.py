"""Sends the releases of sessions to their viewers, again where a connection ends or nobody acknowledges.

`ponddoor.obligations.sessions` tells which releases are due; here is the choice of the connection and the
timer."""

import asyncio
from dataclasses import dataclass

from ponddoor.front.pump import SECOND, clock
from ponddoor.node.session_log import SessionLog
from ponddoor.node.viewer_connection import ConnectionTable, ViewerConnection
from ponddoor.obligations.sessions import Sessions

CHECK_INTERVAL_US = SECOND // 20  # while releases are pending


@dataclass(slots=True)
class ReleaseSender:
    """Writes the releases of one node to its connections from viewers."""

    sessions: Sessions[ViewerConnection]
    connections: ConnectionTable
    session_log: SessionLog
    _timer: asyncio.TimerHandle | None = None

    def release(self, session: str, message: bytes, acknowledged: bool = True) -> None:
        """Send the release of a standing session, on the connection of its request or, if that is closed, on
        another: the protocol lets a release go out on any connection.

        `acknowledged` is whether viewers acknowledge this kind of message."""
        record = self.sessions.find(session)
        own = record.connection if record is not None else None
        if not self.sessions.end_session(clock(), session, message, acknowledged):
            return
        if own is not None and own.open:
            self._write(own, session, message)
        self.send_due()

    def send_due(self) -> None:
        """Send every release that is due, and look again later while one is pending."""
        due = self.sessions.due_releases(clock())
        candidates = self.connections.release_candidates() if due else []
        for record in due if candidates else ():
            untried = (candidate for candidate in candidates if candidate not in record.sent_on)
            connection = next(untried, candidates[0])
            self._write(connection, record.session, record.release_message)
        if self.sessions.pending_releases and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_US / SECOND, self._timer_expired)

    def _write(self, connection: ViewerConnection, session: str, message: bytes) -> None:
        connection.write(message)
        record = self.sessions.find(session)
        self.session_log.session_released(
            session, connection.number, record is not None and bool(record.sent_on)
        )
        self.sessions.release_sent(clock(), session, connection)

    def _timer_expired(self) -> None:
        self._timer = None
        self.send_due()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
