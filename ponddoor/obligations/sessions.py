"""The state and the deadline of every request and session that a front answers for. Does no I/O.

A request belongs to the connection that it was received on: it is answered there and ends with it. A session
that stands belongs to no connection. Once it has ended its viewer has to be told: see `release_delivery`.

Times are in microseconds. Each method makes one whole transition; nothing else may change a record."""

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from ponddoor.obligations.early_ends import EarlyEnd, EarlyEnds
from ponddoor.obligations.release_delivery import (
    RELEASE_DEADLINE_US,
    DeliveryEnd,
    PendingRelease,
    ReleaseDelivery,
)
from ponddoor.obligations.violations import Invariant, Violations

SECOND = 1_000_000
MAX_TRANSITIONS = 8  # kept of each record
ANSWER_GRACE_US = 200_000  # a request unanswered this long after its deadline is an internal fault

ENDED, ENDED_BY_VIEWER = "over", "viewer-gone"  # why a session is over

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Phase(Enum):
    """The state of a record."""

    RECEIVED = "received"  # read completely, but not submitted to the engine yet
    WAITING = "waiting"  # submitted to the engine
    STANDING = "standing"  # answered: the session plays
    RELEASING = "releasing"  # the session has ended; its viewer may not know that
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
    EXPIRED = "expired"  # this and the following: see DeliveryEnd
    DISPLACED = "displaced"
    LEFT = "left"


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
    deadline: int  # of the answer
    connection: ConnectionT | None
    received_at: int = 0
    submitted_at: int | None = None
    setup_sent_at: int | None = None  # the first SETUP
    setups_sent: int = 0
    history: "deque[str]" = field(default_factory=lambda: deque(maxlen=MAX_TRANSITIONS))


@dataclass(slots=True)
class Sessions(Generic[ConnectionT]):
    """All records of one front."""

    violations: Violations = field(default_factory=Violations)
    counts: dict[str, int] = field(default_factory=dict)
    delivery: ReleaseDelivery[ConnectionT] = field(init=False)
    on_delivery_end: Callable[[int, PendingRelease[ConnectionT], DeliveryEnd], None] | None = None
    _records: dict[str, Record[ConnectionT]] = field(default_factory=dict)
    _open_by_connection: dict[ConnectionT, dict[str, None]] = field(default_factory=dict)
    _standing_by_connection: dict[ConnectionT, dict[str, None]] = field(default_factory=dict)
    _unsubmitted: dict[str, None] = field(default_factory=dict)
    _early_ends: EarlyEnds[EndSource] = field(default_factory=EarlyEnds)

    def __post_init__(self) -> None:
        self.delivery = ReleaseDelivery(self.violations, self._delivery_ended)

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

    def open_count_on(self, connection: ConnectionT) -> int:
        """The number of requests that are open on a connection."""
        return len(self._open_by_connection.get(connection, ()))

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

    def end_session(self, now: int, session: str, message: bytes) -> bool:
        """End a session that stands, and begin the delivery of its release `message`.

        Returns False if the session does not stand."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.STANDING:
            return False
        own_connection = record.connection
        self._unindex_standing(record)
        self._transition(record, now, Phase.RELEASING, "session ended")
        self.delivery.begin(now, session, message, own_connection)
        return True

    def end_without_release(self, now: int, session: str) -> None:
        """End a session whose viewer has ended it and so needs no release."""
        record = self._records.get(session)
        if record is not None and record.phase is Phase.STANDING:
            self._close(record, now, CloseReason.ENDED_BY_VIEWER)

    # Releases

    def release_copied(self, now: int, release: PendingRelease[ConnectionT], count: int) -> None:
        """Record that `count` copies of a release were written."""
        is_first = release.copies == count
        if is_first and now > release.ended_at + RELEASE_DEADLINE_US:
            self.count("release-late")
        if is_first:
            self.count("release-sent")
        self.count("release-repeated", count - is_first)
        record = self._records.get(release.session)
        if record is not None and record.phase is Phase.RELEASING:
            self._record_transition(record, now, f"release sent, {release.copies} copies")

    def release_acknowledged(self, now: int, session: str) -> None:
        """Record that a viewer has acknowledged a release."""
        release = self.delivery.find(session)
        if release is not None and now > release.ended_at + RELEASE_DEADLINE_US:
            self.count("release-heard-late")
        self.delivery.end(now, session, DeliveryEnd.ACKNOWLEDGED)

    def _delivery_ended(self, now: int, release: PendingRelease[ConnectionT], how: DeliveryEnd) -> None:
        record = self._records.get(release.session)
        if record is not None and record.phase is Phase.RELEASING:
            self._close(record, now, CloseReason(how.value))
        if self.on_delivery_end is not None:
            self.on_delivery_end(now, release, how)

    # Connections

    def connection_ended(self, now: int, connection: ConnectionT) -> tuple[str, ...]:
        """End the open requests of a closed connection, and have releases sent elsewhere that it had last.

        Returns the sessions of the requests."""
        ended_requests = self.open_requests_on(connection)
        for session in ended_requests:
            self.end_by_viewer(now, session)
        for session in self._standing_by_connection.pop(connection, {}):
            self._records[session].connection = None
        self.delivery.connection_ended(now, connection)
        return ended_requests

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

    def count(self, event: str, number: int = 1) -> None:
        """Add to the counter of `event`."""
        self.counts[event] = self.counts.get(event, 0) + number

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
        self._transition(record, now, Phase.CLOSED, reason.value)
        self._records.pop(record.session, None)
        self.count(reason.value)
        self.delivery.end(now, record.session, DeliveryEnd.ENDED_BY_VIEWER)

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
