"""The log of requests and sessions: one line when a request ends, when a session stands, when it is over,
each time that its release is sent, and when the delivery of the release ends.

`ponddoor timeline` joins these lines with those about connections to servers."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import structlog

from ponddoor.front.pump import SECOND, clock
from ponddoor.node.board_codec import server_id

MAX_LINES_PER_SECOND = 200  # of requests that are late, and as many of all else
MAX_COPIES_LOGGED = 16  # connections in one line
log = structlog.get_logger("sessions")


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended. Times in microseconds of the front's clock; `submitted_at` is None if it never
    reached the decisions, `setup_sent_at`, of the first SETUP, if none was sent."""

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
        fields: dict[str, object] = {
            "viewer_connection": self.connection,
            "how": self.how,
            "why": self.reason,
            "attempts": self.attempts,
            "left_ms": (self.deadline - self.ended_at) // 1000,
        }
        since = self.received_at
        steps = (
            ("queued_ms", self.submitted_at),
            ("decided_ms", self.setup_sent_at),
            ("rest_ms", self.ended_at),
        )
        for name, at in steps:
            if at is not None:
                fields[name] = (at - since) // 1000
                since = at
        return fields


@dataclass(frozen=True, slots=True)
class ReleaseCopy:
    """A release was written to a connection from which nothing was read for `silent_for` microseconds."""

    connection: int
    silent_for: int


@dataclass(slots=True)
class SessionLog:
    """Writes at most MAX_LINES_PER_SECOND lines of either kind, and counts the lines dropped beyond that."""

    lines_dropped: int = 0
    _second: int = 0
    _lines: dict[bool, int] = field(
        default_factory=dict
    )  # in this second, by whether they are of late requests

    def request_ended(self, end: RequestEnd) -> None:
        """A request was answered or taken back, or ended with its connection."""
        self._write("request-ended", end.session, end.is_late, **end.fields())

    def session_standing(self, session: str, server: int, connection: int) -> None:
        """A session stands: its request was answered, or it was handed over. `connection` is its viewer's."""
        self._write("session-stands", session, server=server_id(server), viewer_connection=connection)

    def session_over(self, session: str, reason: str) -> None:
        """A standing session is over."""
        self._write("session-over", session, why=reason)

    def session_released(self, session: str, attempt: int, copies: Sequence[ReleaseCopy]) -> None:
        """A session's release was written to viewers' connections. `attempt` counts from 1."""
        logged = copies[:MAX_COPIES_LOGGED]
        self._write(
            "session-released",
            session,
            attempt=attempt,
            copies=len(copies),
            viewer_connections=[copy.connection for copy in logged],
            silent_ms=[copy.silent_for // 1000 for copy in logged],
        )

    def release_ended(self, session: str, how: str, copies: int, after_us: int) -> None:
        """The delivery of a release ended, `after_us` after the end of its session."""
        self._write("release-ended", session, how=how, copies=copies, after_ms=after_us // 1000)

    def _write(self, event: str, session: str, late: bool = False, **fields: object) -> None:
        second = clock() // SECOND
        if second != self._second:
            self._second, self._lines = second, {}
        self._lines[late] = self._lines.get(late, 0) + 1
        if self._lines[late] > MAX_LINES_PER_SECOND:
            self.lines_dropped += 1
        else:
            log.info(event, session=session, **fields)
