"""The log of sessions: one line when a session stands, when it is over, and when its release is sent.

`ponddoor timeline` joins these lines with those about connections to servers."""

from dataclasses import dataclass

import structlog

from ponddoor.front.pump import SECOND, clock
from ponddoor.node.board_codec import server_id

MAX_LINES_PER_SECOND = 100
log = structlog.get_logger("sessions")


@dataclass(slots=True)
class SessionLog:
    """Writes at most MAX_LINES_PER_SECOND lines, and counts the lines dropped beyond that."""

    lines_dropped: int = 0
    _second: int = 0
    _lines: int = 0

    def session_standing(self, session: str, server: int, connection: int) -> None:
        """A session stands: its request was answered, or it was handed over. `connection` is its viewer's."""
        self._write("session-stands", session, server=server_id(server), viewer_connection=connection)

    def session_over(self, session: str, reason: str) -> None:
        """A standing session is over."""
        self._write("session-over", session, why=reason)

    def session_released(self, session: str, connection: int, resent: bool) -> None:
        """A session's release was written to a viewers' connection; `resent` if not for the first time."""
        self._write("session-released", session, viewer_connection=connection, again=resent)

    def _write(self, event: str, session: str, **fields: object) -> None:
        second = clock() // SECOND
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self.lines_dropped += 1
        else:
            log.info(event, session=session, **fields)
