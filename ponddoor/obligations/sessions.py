"""The state and the deadline of every request and session that a front answers for. Does no I/O.

A request belongs to the connection that it was received on: it is answered there and ends with it. A session
that stands belongs to no connection. The release that ends it is pending until its viewer acknowledges it,
and is sent again on another connection if the one that it was written to ends or no acknowledgement comes in
time (the platform's protocol page: what ends a session may be sent on any connection from viewers, within
1 s).

Times are in microseconds. Each method makes one whole transition; nothing else may change a record."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from ponddoor.obligations.early_ends import EarlyEnd, EarlyEnds
from ponddoor.obligations.violations import Invariant, Violations

SECOND = 1_000_000
RESEND_INTERVAL_US = SECOND // 5  # without an acknowledgement; four of these fit into RELEASE_DEADLINE_US
SETTLE_AFTER_US = SECOND // 2  # if viewers don't acknowledge: from writing a release to closing its record
RELEASE_DEADLINE_US = SECOND  # from the end of a session to its release
UNSENT_RELEASE_TIMEOUT_US = 30 * SECOND  # for a release that could be written to no connection
ACK_TIMEOUT_US = 8 * SECOND  # for a release that was written but is not acknowledged
MAX_REPEATS = 4  # for lack of an acknowledgement; more are sent only if a connection ends
MAX_PENDING_RELEASES = 4096
MAX_TRANSITIONS = 8  # kept of each record
ANSWER_GRACE_US = 200_000  # a request unanswered this long after its deadline is an internal fault

ENDED, ENDED_BY_VIEWER = "over", "viewer-gone"  # why a session is over

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Phase(Enum):
    """The state of a record."""

    RECEIVED = "received"  # read completely, but not submitted to the engine yet
    WAITING = "waiting"  # submitted to the engine
    STANDING = "standing"  # answered: the session plays
    RELEASING = "releasing"  # the session has ended; its viewer has not acknowledged that
    CLOSED = "closed"


class EndSource(Enum):
    """How the end of a session is known that is handed over after it."""

    HELD = "held"  # the session was held here, and ended
    UNKNOWN = "unknown"  # a viewer released a session that was not held


class CloseReason(Enum):
    """Why a record was closed."""

    ANSWERED = "answered"
    WITHDRAWN = "given-up"
    ENDED_BY_VIEWER = "ended-by-viewer"
    ACKNOWLEDGED = "acknowledged"
    SETTLED = "settled"  # viewers do not acknowledge; the connection lasted SETTLE_AFTER_US after the release
    EXPIRED = "expired"


ALLOWED_TRANSITIONS = {
    Phase.RECEIVED: frozenset((Phase.WAITING, Phase.CLOSED)),
    Phase.WAITING: frozenset((Phase.STANDING, Phase.CLOSED)),
    Phase.STANDING: frozenset((Phase.RELEASING, Phase.CLOSED)),
    Phase.RELEASING: frozenset((Phase.CLOSED,)),
    Phase.CLOSED: frozenset[Phase](),
}
OPEN_PHASES = (Phase.RECEIVED, Phase.WAITING)


@dataclass(slots=True)
class Record(Generic[ConnectionT]):
    """One request, and the session that it led to."""

    session: str
    phase: Phase
    phase_since: int
    deadline: int  # of the answer, or of the release once the session has ended
    connection: ConnectionT | None
    received_at: int = 0
    submitted_at: int | None = None
    setup_sent_at: int | None = None  # the first SETUP
    setups_sent: int = 0
    release_message: bytes = b""  # while the release is pending
    expects_ack: bool = True  # whether viewers acknowledge this kind of message
    sent_at: int | None = None  # None if the release has to be sent
    sent_on: list[ConnectionT] = field(default_factory=list)  # one entry for each time it was sent
    history: "deque[str]" = field(default_factory=lambda: deque(maxlen=MAX_TRANSITIONS))


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The requests that ended with a connection, and the sessions whose release has to be sent again."""

    ended_requests: tuple[str, ...]
    resend: tuple[str, ...]


@dataclass(slots=True)
class Sessions(Generic[ConnectionT]):
    """All records of one front."""

    violations: Violations = field(default_factory=Violations)
    counts: dict[str, int] = field(default_factory=dict)
    viewers_acknowledge: bool = False  # whether any viewer has acknowledged a release yet
    _records: dict[str, Record[ConnectionT]] = field(default_factory=dict)
    _open_by_connection: dict[ConnectionT, dict[str, None]] = field(default_factory=dict)
    _standing_by_connection: dict[ConnectionT, dict[str, None]] = field(default_factory=dict)
    _unsubmitted: dict[str, None] = field(default_factory=dict)
    _pending: dict[str, None] = field(default_factory=dict)
    _early_ends: EarlyEnds[EndSource] = field(default_factory=EarlyEnds)

    # Queries

    def find(self, session: str) -> Record[ConnectionT] | None:
        """The record of a session, None if it is closed or unknown."""
        return self._records.get(session)

    def waiting_connection(self, session: str) -> ConnectionT | None:
        """The connection on which the request for this session is open, None if it is not open."""
        record = self._records.get(session)
        return record.connection if record is not None and record.phase in OPEN_PHASES else None

    def open_requests_on(self, connection: ConnectionT) -> tuple[str, ...]:
        """The sessions whose requests are open on a connection."""
        return tuple(self._open_by_connection.get(connection, ()))

    def has_open_requests(self, connection: ConnectionT) -> bool:
        """Whether a request is open on a connection."""
        return connection in self._open_by_connection

    def has_standing_sessions(self, connection: ConnectionT) -> bool:
        """Whether a session stands that was requested on a connection."""
        return connection in self._standing_by_connection

    def open_requests(self) -> list[str]:
        """The sessions of all requests without an answer."""
        return [session for sessions in self._open_by_connection.values() for session in sessions]

    @property
    def received_count(self) -> int:
        """The number of requests that are not submitted to the engine yet."""
        return len(self._unsubmitted)

    @property
    def standing_count(self) -> int:
        """The number of sessions that stand."""
        return sum(record.phase is Phase.STANDING for record in self._records.values())

    @property
    def pending_releases(self) -> tuple[str, ...]:
        """The sessions whose release is not sent, or is sent but not acknowledged."""
        return tuple(self._pending)

    # Requests

    def receive(self, now: int, session: str, connection: ConnectionT, wait: int) -> None:
        """Register a request that was read completely; its viewer waits `wait` for the answer."""
        if session in self._records:
            self._report_violation(
                Invariant.LEGAL_TRANSITION, self._records[session], "a request with the same id was received"
            )
            return
        record = Record(session, Phase.RECEIVED, now, now + wait, connection, now)
        self._records[session] = record
        self._unsubmitted[session] = None
        self._open_by_connection.setdefault(connection, {})[session] = None
        self._record_transition(record, now, "received")

    def submit(self, now: int, session: str) -> bool:
        """Record that a request is submitted to the engine. Returns False if it has ended by now."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.RECEIVED:
            return False
        record.submitted_at = now
        return self._transition(record, now, Phase.WAITING, "submitted")

    def setup_sent(self, now: int, session: str) -> None:
        """Record that a SETUP for an open request is written to a server now."""
        record = self._records[session]
        record.setups_sent += 1
        if record.setup_sent_at is None:
            record.setup_sent_at = now

    def answer(self, now: int, session: str, stands: bool) -> ConnectionT | None:
        """Record the answer to a request; with `stands`, its session stands from now on.

        Returns the connection to write the answer to, None if the request is not open."""
        record = self._records.get(session)
        if record is None or record.phase not in OPEN_PHASES:
            if record is not None:
                self._report_violation(Invariant.ONE_ANSWER, record, "its request was answered a second time")
            return None
        connection = record.connection
        self._unindex_open(record)
        if not stands:
            self._close(record, now, CloseReason.ANSWERED)
            return connection
        if record.phase is Phase.RECEIVED:
            self._report_violation(
                Invariant.LEGAL_TRANSITION, record, "its request was answered before it was submitted"
            )
            self._transition(record, now, Phase.WAITING, "submitted")
        self._transition(record, now, Phase.STANDING, "answered: session stands")
        self._index_standing(record)
        return connection

    def end_by_viewer(self, now: int, session: str) -> Phase | None:
        """End a request or session that its viewer has ended. Returns its phase until now, None if unknown.

        A release of an unknown session is remembered, since its hand-over may be read only after it."""
        record = self._records.get(session)
        if record is None:
            self._early_ends.remember(now, EndSource.UNKNOWN, session, ENDED_BY_VIEWER)
            return None
        phase = record.phase
        self._unindex_open(record)
        self._close(
            record, now, CloseReason.WITHDRAWN if phase in OPEN_PHASES else CloseReason.ENDED_BY_VIEWER
        )
        return phase

    def overdue_requests(self, now: int) -> list[str]:
        """Report requests that are not answered within ANSWER_GRACE_US of their deadline as violations.

        Returns their sessions; the caller has to answer them at once."""
        overdue = []
        for sessions in self._open_by_connection.values():
            for session in sessions:
                record = self._records[session]
                if now > record.deadline + ANSWER_GRACE_US:
                    self._report_violation(
                        Invariant.ANSWERED_IN_TIME,
                        record,
                        f"its request is unanswered {(now - record.deadline) // 1000} ms after its deadline",
                    )
                    overdue.append(session)
        return overdue

    # Sessions

    def readiness_tested(self, now: int) -> None:
        """The front has passed a readiness test, so its sessions are handed over now."""
        self._early_ends.readiness_tested(now)

    def hand_over(self, now: int, session: str, connection: ConnectionT) -> EarlyEnd | None:
        """Register a session that stands already. Returns its end if it has ended before.

        Unless its viewer has ended it, the caller has to end it with `end_session`: its viewer does not know
        of the end."""
        if session in self._records:
            return None
        record = Record(session, Phase.STANDING, now, now, connection)
        self._records[session] = record
        self._record_transition(record, now, "handed over")
        self._index_standing(record)
        end = self._take_early_end(now, session)
        if end is not None and end.reason == ENDED_BY_VIEWER:
            self._close(record, now, CloseReason.ENDED_BY_VIEWER)
        return end

    def _take_early_end(self, now: int, session: str) -> EarlyEnd | None:
        """The end of a session, if one was named. Viewers that send releases without number end no other."""
        for source in EndSource:
            end = self._early_ends.take(now, source, session)
            if end is not None and end.certain:
                return end
        return None

    def end_session(self, now: int, session: str, message: bytes, expects_ack: bool = True) -> bool:
        """End a session that stands, and make its release `message` due.

        `expects_ack` is whether viewers acknowledge this kind of message. Returns False if the session
        does not stand."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.STANDING:
            return False
        self._unindex_standing(record)
        self._transition(record, now, Phase.RELEASING, "session ended")
        record.deadline, record.release_message = now + RELEASE_DEADLINE_US, message
        record.expects_ack = expects_ack
        self._pending[session] = None
        if len(self._pending) > MAX_PENDING_RELEASES:
            oldest = self._records[next(iter(self._pending))]
            self._close(oldest, now, CloseReason.EXPIRED)
        return True

    def end_without_release(self, now: int, session: str) -> None:
        """End a session whose viewer has ended it and so needs no release."""
        record = self._records.get(session)
        if record is not None and record.phase is Phase.STANDING:
            self._close(record, now, CloseReason.ENDED_BY_VIEWER)

    # Releases

    def due_releases(self, now: int) -> list[Record[ConnectionT]]:
        """The records of the releases to be sent now: not sent yet, or not acknowledged in time.

        Closes records whose release has timed out or settled."""
        due = []
        for session in list(self._pending):
            record = self._records[session]
            if record.sent_at is None:
                if now - record.phase_since > UNSENT_RELEASE_TIMEOUT_US:
                    self._close(record, now, CloseReason.EXPIRED)
                else:
                    due.append(record)
            elif self.viewers_acknowledge and record.expects_ack:
                if now - record.phase_since > ACK_TIMEOUT_US:
                    self._close(record, now, CloseReason.EXPIRED)
                elif now - record.sent_at >= RESEND_INTERVAL_US and len(record.sent_on) <= MAX_REPEATS:
                    due.append(record)
            elif now - record.sent_at >= SETTLE_AFTER_US:
                self._close(record, now, CloseReason.SETTLED)
        return due

    def release_sent(self, now: int, session: str, connection: ConnectionT) -> None:
        """Record that a release was written to a connection."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.RELEASING:
            return
        if record.sent_at is None and now > record.deadline:
            self.count("release-late")
        self.count("release-sent" if not record.sent_on else "release-repeated")
        record.connection, record.sent_at = connection, now
        record.sent_on.append(connection)
        self._record_transition(
            record, now, "release sent" if len(record.sent_on) == 1 else "release repeated"
        )

    def release_acknowledged(self, now: int, session: str) -> None:
        """Record that a viewer has acknowledged a release."""
        self.viewers_acknowledge = True
        record = self._records.get(session)
        if record is not None and record.phase is Phase.RELEASING:
            if now > record.deadline:
                self.count("release-heard-late")
            self._close(record, now, CloseReason.ACKNOWLEDGED)

    # Connections

    def connection_ended(self, now: int, connection: ConnectionT) -> ConnectionEnd:
        """End the open requests of a closed connection, and make its unacknowledged releases due again."""
        ended_requests = self.open_requests_on(connection)
        for session in ended_requests:
            self.end_by_viewer(now, session)
        for session in self._standing_by_connection.pop(connection, {}):
            self._records[session].connection = None
        resend = []
        for session in self._pending:
            record = self._records[session]
            if record.connection is connection:
                record.connection, record.sent_at = None, None
                resend.append(session)
        return ConnectionEnd(ended_requests, tuple(resend))

    def connection_closing(self, connection: ConnectionT) -> None:
        """The front is about to close a connection. Reports each request open on it as a violation."""
        for session in self.open_requests_on(connection):
            record = self._records[session]
            self._report_violation(
                Invariant.CLOSED_WITHOUT_WAITING,
                record,
                "its connection is closed before its request is answered",
            )

    # Internals

    def count(self, event: str) -> None:
        """Increment the counter of `event`."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def _transition(self, record: Record[ConnectionT], now: int, phase: Phase, event: str) -> bool:
        if phase not in ALLOWED_TRANSITIONS[record.phase]:
            self._report_violation(
                Invariant.LEGAL_TRANSITION, record, f"{record.phase.value} to {phase.value}"
            )
            return False
        if record.phase is Phase.RECEIVED:
            self._unsubmitted.pop(record.session, None)
        record.phase, record.phase_since = phase, now
        self._record_transition(record, now, event)
        return True

    def _close(self, record: Record[ConnectionT], now: int, reason: CloseReason) -> None:
        if record.phase in (Phase.STANDING, Phase.RELEASING):
            by_viewer = reason is CloseReason.ENDED_BY_VIEWER
            self._early_ends.remember(
                now, EndSource.HELD, record.session, ENDED_BY_VIEWER if by_viewer else ENDED
            )
        self._unindex_standing(record)
        self._pending.pop(record.session, None)
        self._transition(record, now, Phase.CLOSED, reason.value)
        self._records.pop(record.session, None)
        self.count(reason.value)

    def _index_standing(self, record: Record[ConnectionT]) -> None:
        if record.connection is not None:
            self._standing_by_connection.setdefault(record.connection, {})[record.session] = None

    def _unindex_open(self, record: Record[ConnectionT]) -> None:
        self._unindex(self._open_by_connection, record)

    def _unindex_standing(self, record: Record[ConnectionT]) -> None:
        self._unindex(self._standing_by_connection, record)

    @staticmethod
    def _unindex(
        sessions_by_connection: dict[ConnectionT, dict[str, None]], record: Record[ConnectionT]
    ) -> None:
        if record.connection is None:
            return
        sessions = sessions_by_connection.get(record.connection)
        if sessions is not None:
            sessions.pop(record.session, None)
            if not sessions:
                del sessions_by_connection[record.connection]

    def _record_transition(self, record: Record[ConnectionT], now: int, event: str) -> None:
        record.history.append(f"{now} {event}")

    def _report_violation(self, invariant: Invariant, record: Record[ConnectionT], detail: str) -> None:
        self.violations.add(invariant, record.session, detail, tuple(record.history))
