"""The log of requests and sessions: one line when a request ends, when a session stands, when it is over, and
when its release is sent.

`ponddoor timeline` joins these lines with those about connections to servers."""

from dataclasses import dataclass

import structlog

from ponddoor.front.pump import SECOND, clock
from ponddoor.node.board_codec import server_id

MAX_LINES_PER_SECOND = 100
MAX_LATE_LINES_PER_SECOND = 100  # beside those
log = structlog.get_logger("sessions")


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended. Times in microseconds of the front's clock; `submitted_at` is None if it never
    reached the decisions, `setup_sent_at` if no SETUP was sent."""

    session: str
    connection: int
    how: str
    reason: str
    received_at: int
    submitted_at: int | None
    setup_sent_at: int | None
    attempts: int
    ended_at: int
    deadline: int

    @property
    def is_late(self) -> bool:
        """Whether its time was over."""
        return self.ended_at > self.deadline

    def fields(self) -> dict[str, object]:
        """What is logged: milliseconds from one step to the next."""
        steps = (self.received_at, self.submitted_at, self.setup_sent_at, self.ended_at)
        taken = [step for step in steps if step is not None]
        names = [
            name
            for name, step in zip(("received", "queued_ms", "decided_ms", "rest_ms"), steps, strict=True)
            if step is not None
        ]
        waits = {
            name: (step - before) // 1000
            for name, before, step in zip(names[1:], taken[:-1], taken[1:], strict=True)
        }
        return {
            "viewer_connection": self.connection, "how": self.how, "why": self.reason,
            "attempts": self.attempts, **waits, "left_ms": (self.deadline - self.ended_at) // 1000,
        }  # fmt: skip


@dataclass(slots=True)
class SessionLog:
    """Writes at most MAX_LINES_PER_SECOND lines, and counts the lines dropped beyond that."""

    lines_dropped: int = 0
    _second: int = 0
    _lines: int = 0
    _late_lines: int = 0

    def request_ended(self, end: RequestEnd) -> None:
        """A request was answered or taken back, or ended with its connection."""
        self._write("request-ended", end.session, end.is_late, **end.fields())

    def session_standing(self, session: str, server: int, connection: int) -> None:
        """A session stands: its request was answered, or it was handed over. `connection` is its viewer's."""
        self._write("session-stands", session, server=server_id(server), viewer_connection=connection)

    def session_over(self, session: str, reason: str) -> None:
        """A standing session is over."""
        self._write("session-over", session, why=reason)

    def session_released(self, session: str, connection: int, resent: bool) -> None:
        """A session's release was written to a viewers' connection; `resent` if not for the first time."""
        self._write("session-released", session, viewer_connection=connection, again=resent)

    def _write(self, event: str, session: str, late: bool = False, **fields: object) -> None:
        second = clock() // SECOND
        if second != self._second:
            self._second, self._lines, self._late_lines = second, 0, 0
        self._lines += not late
        self._late_lines += late
        if (self._late_lines if late else self._lines) > (
            MAX_LATE_LINES_PER_SECOND if late else MAX_LINES_PER_SECOND
        ):
            self.lines_dropped += 1
        else:
            log.info(event, session=session, **fields)
