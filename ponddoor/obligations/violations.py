"""Counts and reports invariants that are violated at run time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class Invariant(Enum):
    """What must hold for every request, session and lease, under the names written to the log."""

    LEGAL_TRANSITION = "legal-transition"  # a record changes only as `sessions.ALLOWED_TRANSITIONS` permits
    ONE_ANSWER = "one-answer"  # a request is answered once
    FORWARDED_WHILE_OPEN = "forwarded-while-open"  # a SETUP is written while its request is open
    ANSWERED_IN_TIME = "answered-in-time"  # a request is answered by its deadline
    LEASE_IN_TIME = "lease-in-time"  # no session stands at a server whose lease is over
    VIEWER_TOLD = "viewer-told"  # a release is delivered until a proof, or the time of the rule, ends that
    SERVER_TOLD = "server-told"  # a release to a server is not forgotten for lack of room
    CLOSED_WITHOUT_WAITING = "closed-without-waiting"  # no connection is closed while a request is open on it


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation. `history` are the last transitions of the record, or the last events of the lease."""

    invariant: Invariant
    session: str  # or the id of the server, for a lease
    detail: str
    history: tuple[str, ...]


@dataclass(slots=True)
class Violations:
    """The number of violations of each invariant. Calls `on_violation`, if set, with each one."""

    on_violation: Callable[[Violation], None] | None = None
    counts: dict[str, int] = field(default_factory=dict)

    def add(self, invariant: Invariant, session: str, detail: str, history: tuple[str, ...] = ()) -> None:
        """Count and report a violation."""
        self.counts[invariant.value] = self.counts.get(invariant.value, 0) + 1
        if self.on_violation is not None:
            self.on_violation(Violation(invariant, session, detail, history))
