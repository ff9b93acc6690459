"""Every request and session that a front answers for, with its state and its deadline. Free of I/O.

A request belongs to the connection that it came by: it is answered there and given up with it. A session
that stands belongs to none; the release that ends it is pending until its viewer acknowledges it, and is sent
again on another connection where the one it was written to ends or stays silent (the platform's protocol
page: what ends a session may be sent on any connection from viewers, within 1 s).

Times are microseconds. Each method is one whole transition; nothing else may change a record."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from ponddoor.obligations.violations import Invariant, Violations

SECOND = 1_000_000
RESEND_INTERVAL_US = SECOND // 5  # without an acknowledgement; four of these fit into the second of the rule
SETTLE_AFTER_US = SECOND // 2  # how long a connection must outlive a release that nobody acknowledges
RELEASE_DEADLINE_US = SECOND
UNSENT_RELEASE_TIMEOUT_US = 30 * SECOND  # a release that no connection takes
ACK_TIMEOUT_US = 8 * SECOND  # a release that was sent and never acknowledged
MAX_REPEATS = 4  # for want of an acknowledgement; more only where a connection ends
MAX_PENDING_RELEASES = 4096
EARLY_RELEASE_TIMEOUT_US = SECOND  # how long a release is remembered whose session is not known yet
MAX_EARLY_RELEASES = 4096
MAX_TRANSITIONS = 8  # transitions kept of a record
ANSWER_GRACE_US = 200_000  # after its deadline a request without an answer is an error of ours

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Phase(Enum):
    """The state of a record."""

    RECEIVED = "received"  # read whole; the decisions have not been asked yet
    WAITING = "waiting"  # the decisions have it
    STANDING = "standing"  # answered: the session plays
    RELEASING = "releasing"  # over; its viewer has not been heard to know
    CLOSED = "closed"


class CloseReason(Enum):
    """Why a record was closed."""

    ANSWERED = "answered"
    GIVEN_UP = "given-up"
    ENDED_BY_VIEWER = "ended-by-viewer"
    ACKNOWLEDGED = "acknowledged"
    SETTLED = "settled"  # the connection outlived the release; nobody here acknowledges
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
    """One request, and the session that came of it."""

    session: str
    phase: Phase
    phase_since: int
    deadline: int  # of the phase
    connection: ConnectionT | None
    release_message: bytes = b""  # the release, while it is pending
    expects_ack: bool = True  # whether viewers acknowledge such a message
    sent_at: int | None = None
    sent_on: list[ConnectionT] = field(default_factory=list)
    history: "deque[str]" = field(default_factory=lambda: deque(maxlen=MAX_TRANSITIONS))


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """What the end of a connection leaves: set-ups that end with it, releases to be sent on another."""

    ended_requests: tuple[str, ...]
    resend: tuple[str, ...]


@dataclass(slots=True)
class Sessions(Generic[ConnectionT]):
    """All records of one front."""

    violations: Violations = field(default_factory=Violations)
    counts: dict[str, int] = field(default_factory=dict)
    viewers_acknowledge: bool = False  # whether viewers have been heard to acknowledge releases
    _records: dict[str, Record[ConnectionT]] = field(default_factory=dict)
    _open_on: dict[ConnectionT, dict[str, None]] = field(default_factory=dict)
    _standing_on: dict[ConnectionT, dict[str, None]] = field(default_factory=dict)
    _received: dict[str, None] = field(default_factory=dict)
    _pending: dict[str, None] = field(default_factory=dict)
    _early: dict[str, int] = field(default_factory=dict)

    # What may be looked at

    def find(self, session: str) -> Record[ConnectionT] | None:
        """The record of a session that is not closed."""
        return self._records.get(session)

    def waiting_connection(self, session: str) -> ConnectionT | None:
        """The connection on which a set-up is open."""
        record = self._records.get(session)
        return record.connection if record is not None and record.phase in OPEN_PHASES else None

    def open_requests_on(self, connection: ConnectionT) -> tuple[str, ...]:
        """The set-ups that are open on a connection."""
        return tuple(self._open_on.get(connection, ()))

    def has_open_requests(self, connection: ConnectionT) -> bool:
        """Whether a set-up is open on a connection."""
        return connection in self._open_on

    def has_standing_sessions(self, connection: ConnectionT) -> bool:
        """Whether a session that stands came by a connection."""
        return connection in self._standing_on

    def open_requests(self) -> list[str]:
        """All set-ups without an answer."""
        return [session for sessions in self._open_on.values() for session in sessions]

    @property
    def received_count(self) -> int:
        """Set-ups that the decisions have not been asked about yet."""
        return len(self._received)

    @property
    def standing_count(self) -> int:
        """Sessions that stand."""
        return sum(record.phase is Phase.STANDING for record in self._records.values())

    @property
    def pending_releases(self) -> tuple[str, ...]:
        """Sessions whose release has not been heard."""
        return tuple(self._pending)

    # Requests

    def receive(self, now: int, session: str, connection: ConnectionT, wait: int) -> None:
        """A set-up was read whole; its viewer waits `wait`."""
        if session in self._records:
            self._violated(Invariant.LEGAL_TRANSITION, self._records[session], "received again")
            return
        record = Record(session, Phase.RECEIVED, now, now + wait, connection)
        self._records[session] = record
        self._received[session] = None
        self._open_on.setdefault(connection, {})[session] = None
        self._note(record, now, "received")

    def submit(self, now: int, session: str) -> bool:
        """The decisions are asked; False where it has ended by now."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.RECEIVED:
            return False
        return self._move(record, now, Phase.WAITING, "submitted")

    def answer(self, now: int, session: str, stands: bool) -> ConnectionT | None:
        """The one answer to a set-up: the connection it goes to, None where nobody waits."""
        record = self._records.get(session)
        if record is None or record.phase not in OPEN_PHASES:
            if record is not None:
                self._violated(Invariant.ONE_ANSWER, record, "answered again")
            return None
        connection = record.connection
        self._forget_open(record)
        if not stands:
            self._close(record, now, CloseReason.ANSWERED)
            return connection
        if record.phase is Phase.RECEIVED:
            self._violated(Invariant.LEGAL_TRANSITION, record, "stands without the decisions")
            self._move(record, now, Phase.WAITING, "submitted")
        self._move(record, now, Phase.STANDING, "answered: stands")
        self._stand_on(record)
        return connection

    def end_by_viewer(self, now: int, session: str) -> Phase | None:
        """Its viewer is done, with waiting or with the session: the phase it was in, None if not known."""
        record = self._records.get(session)
        if record is None:
            self._remember_early(now, session)
            return None
        phase = record.phase
        self._forget_open(record)
        self._close(
            record, now, CloseReason.GIVEN_UP if phase in OPEN_PHASES else CloseReason.ENDED_BY_VIEWER
        )
        return phase

    def overdue_requests(self, now: int) -> list[str]:
        """Set-ups whose time is over and that nobody has answered: a violation, to be answered at once."""
        late = []
        for sessions in self._open_on.values():
            for session in sessions:
                record = self._records[session]
                if now > record.deadline + ANSWER_GRACE_US:
                    self._violated(Invariant.ANSWERED_IN_TIME, record, "its time is over")
                    late.append(session)
        return late

    # Sessions

    def hand_over(self, now: int, session: str, connection: ConnectionT) -> bool:
        """A session that stands already; False where its viewer has ended it before it was known."""
        if session in self._records:
            return True
        record = Record(session, Phase.STANDING, now, now, connection)
        self._records[session] = record
        self._note(record, now, "handed over")
        if self._early.pop(session, -EARLY_RELEASE_TIMEOUT_US) > now - EARLY_RELEASE_TIMEOUT_US:
            self._close(record, now, CloseReason.ENDED_BY_VIEWER)
            return False
        self._stand_on(record)
        return True

    def end_session(self, now: int, session: str, message: bytes, expects_ack: bool = True) -> bool:
        """A session that stood is over, and its viewer is owed `message`; False where nobody is.

        `expects_ack` tells whether viewers acknowledge such a message at all."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.STANDING:
            return False
        self._forget_standing(record)
        self._move(record, now, Phase.RELEASING, "over")
        record.deadline, record.release_message = now + RELEASE_DEADLINE_US, message
        record.expects_ack = expects_ack
        self._pending[session] = None
        if len(self._pending) > MAX_PENDING_RELEASES:
            oldest = self._records[next(iter(self._pending))]
            self._close(oldest, now, CloseReason.EXPIRED)
        return True

    def end_without_release(self, now: int, session: str) -> None:
        """A session is over and its viewer is owed nothing: it ended it."""
        record = self._records.get(session)
        if record is not None and record.phase is Phase.STANDING:
            self._close(record, now, CloseReason.ENDED_BY_VIEWER)

    # Releases

    def due_releases(self, now: int) -> list[Record[ConnectionT]]:
        """Releases to be sent now: not sent yet, or not acknowledged in time."""
        found = []
        for session in list(self._pending):
            record = self._records[session]
            if record.sent_at is None:
                if now - record.phase_since > UNSENT_RELEASE_TIMEOUT_US:
                    self._close(record, now, CloseReason.EXPIRED)
                else:
                    found.append(record)
            elif self.viewers_acknowledge and record.expects_ack:
                if now - record.phase_since > ACK_TIMEOUT_US:
                    self._close(record, now, CloseReason.EXPIRED)
                elif now - record.sent_at >= RESEND_INTERVAL_US and len(record.sent_on) <= MAX_REPEATS:
                    found.append(record)
            elif now - record.sent_at >= SETTLE_AFTER_US:
                self._close(record, now, CloseReason.SETTLED)
        return found

    def release_sent(self, now: int, session: str, connection: ConnectionT) -> None:
        """A release was written to a connection."""
        record = self._records.get(session)
        if record is None or record.phase is not Phase.RELEASING:
            return
        if record.sent_at is None and now > record.deadline:
            self.count("release-late")
        self.count("release-sent" if not record.sent_on else "release-repeated")
        record.connection, record.sent_at = connection, now
        record.sent_on.append(connection)
        self._note(record, now, "release sent" if len(record.sent_on) == 1 else "release repeated")

    def release_acknowledged(self, now: int, session: str) -> None:
        """A viewer has heard a release."""
        self.viewers_acknowledge = True
        record = self._records.get(session)
        if record is not None and record.phase is Phase.RELEASING:
            if now > record.deadline:
                self.count("release-heard-late")
            self._close(record, now, CloseReason.ACKNOWLEDGED)

    # Connections

    def connection_ended(self, now: int, connection: ConnectionT) -> ConnectionEnd:
        """A connection is gone: its open set-ups end, releases written to it and not heard are due again."""
        ended_requests = self.open_requests_on(connection)
        for session in ended_requests:
            self.end_by_viewer(now, session)
        for session in self._standing_on.pop(connection, {}):
            self._records[session].connection = None
        resend = []
        for session in self._pending:
            record = self._records[session]
            if record.connection is connection:
                record.connection, record.sent_at = None, None
                resend.append(session)
        return ConnectionEnd(ended_requests, tuple(resend))

    def connection_closing(self, connection: ConnectionT) -> None:
        """The front is about to close a connection: no set-up may be open on it."""
        for session in self.open_requests_on(connection):
            record = self._records[session]
            self._violated(Invariant.CLOSED_WITHOUT_WAITING, record, "closed without an answer")

    # Inside

    def count(self, what: str) -> None:
        """Count what became of requests and releases."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _move(self, record: Record[ConnectionT], now: int, phase: Phase, what: str) -> bool:
        if phase not in ALLOWED_TRANSITIONS[record.phase]:
            self._violated(Invariant.LEGAL_TRANSITION, record, f"{record.phase.value} to {phase.value}")
            return False
        if record.phase is Phase.RECEIVED:
            self._received.pop(record.session, None)
        record.phase, record.phase_since = phase, now
        self._note(record, now, what)
        return True

    def _close(self, record: Record[ConnectionT], now: int, reason: CloseReason) -> None:
        self._forget_standing(record)
        self._pending.pop(record.session, None)
        self._move(record, now, Phase.CLOSED, reason.value)
        self._records.pop(record.session, None)
        self.count(reason.value)

    def _stand_on(self, record: Record[ConnectionT]) -> None:
        if record.connection is not None:
            self._standing_on.setdefault(record.connection, {})[record.session] = None

    def _forget_open(self, record: Record[ConnectionT]) -> None:
        self._forget_in(self._open_on, record)

    def _forget_standing(self, record: Record[ConnectionT]) -> None:
        self._forget_in(self._standing_on, record)

    @staticmethod
    def _forget_in(table: dict[ConnectionT, dict[str, None]], record: Record[ConnectionT]) -> None:
        if record.connection is None:
            return
        sessions = table.get(record.connection)
        if sessions is not None:
            sessions.pop(record.session, None)
            if not sessions:
                del table[record.connection]

    def _remember_early(self, now: int, session: str) -> None:
        self._early[session] = now
        while self._early:
            oldest = next(iter(self._early))
            if (
                len(self._early) <= MAX_EARLY_RELEASES
                and self._early[oldest] > now - EARLY_RELEASE_TIMEOUT_US
            ):
                break
            del self._early[oldest]

    def _note(self, record: Record[ConnectionT], now: int, what: str) -> None:
        record.history.append(f"{now} {what}")

    def _violated(self, invariant: Invariant, record: Record[ConnectionT], detail: str) -> None:
        self.violations.add(invariant, record.session, detail, tuple(record.history))
