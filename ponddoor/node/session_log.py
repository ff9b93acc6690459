"""The log of sessions: a line as each begins to stand, is over, and is released to its viewer.

`ponddoor timeline` joins these lines with those of connections to servers."""

from dataclasses import dataclass

import structlog

from ponddoor.front.pump import SECOND, clock
from ponddoor.node.board_codec import server_id

MAX_LINES_PER_SECOND = 100
log = structlog.get_logger("sessions")


@dataclass(slots=True)
class SessionLog:
    """Writes a bounded number of lines in each second, and counts those that it leaves out."""

    lines_dropped: int = 0
    _second: int = 0
    _lines: int = 0

    def session_standing(self, session: str, server: int, connection: int) -> None:
        """A set-up was answered: the session stands. `connection` is the viewer's."""
        self._write("session-stands", session, server=server_id(server), viewer_connection=connection)

    def session_over(self, session: str, why: str) -> None:
        """A session that stood is over."""
        self._write("session-over", session, why=why)

    def session_released(self, session: str, connection: int, again: bool) -> None:
        """Its release was written to a viewer's connection."""
        self._write("session-released", session, viewer_connection=connection, again=again)

    def _write(self, event: str, session: str, **more: object) -> None:
        second = clock() // SECOND
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self.lines_dropped += 1
        else:
            log.info(event, session=session, **more)
