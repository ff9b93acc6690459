"""Counts violated invariants at run time, with the record's id and its last transitions."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class Invariant(Enum):
    """What must hold of every request, session, lease and release."""

    LEGAL_TRANSITION = "legal-transition"
    ONE_ANSWER = "one-answer"
    ANSWERED_IN_TIME = "answered-in-time"
    LEASE_IN_TIME = "lease-in-time"  # no session stands at a server past its lease
    CLOSED_WITHOUT_WAITING = "closed-without-waiting"  # no connection is closed with a set-up open on it


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated invariant."""

    invariant: Invariant
    session: str
    detail: str
    history: tuple[str, ...]


@dataclass(slots=True)
class Violations:
    """The count of each invariant, and who is told: the shell logs, a test fails."""

    on_violation: Callable[[Violation], None] | None = None
    counts: dict[str, int] = field(default_factory=dict)

    def add(self, invariant: Invariant, session: str, detail: str, history: tuple[str, ...] = ()) -> None:
        """Count a violation and tell of it."""
        self.counts[invariant.value] = self.counts.get(invariant.value, 0) + 1
        if self.on_violation is not None:
            self.on_violation(Violation(invariant, session, detail, history))
