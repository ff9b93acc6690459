"""Admission control of one front, free of I/O: its limits, and the lag of its event loop."""

from dataclasses import dataclass

from ponddoor.settings.limits import Limits

SAMPLE_PERIOD_US = 50_000  # between two ticks that measure the lag of the event loop


@dataclass(slots=True)
class LagMeter:
    """Measures how late the event loop runs, from ticks that should come every SAMPLE_PERIOD_US.

    An overdue tick counts before it comes, so that work which queued up behind a blocked loop is seen as late
    by whichever callback runs first. A late tick counts until the next punctual one."""

    due: int
    last: int = 0

    def tick(self, now: int) -> int:
        """Record a tick and return how late it was, in microseconds."""
        self.last = max(0, now - self.due)
        self.due = now + SAMPLE_PERIOD_US
        return self.last

    def lag(self, now: int) -> int:
        return max(self.last, now - self.due, 0)


@dataclass(slots=True)
class AdmissionGate:
    """Decides whether a front admits one more request."""

    limits: Limits
    lag: LagMeter
    draining: bool = False

    def refusal(self, now: int, in_hand: int, held: int, repeats: int) -> str:
        """The name of the limit that refuses one more request, or an empty string.

        `repeats` is the number of idempotency keys in use, or -1 for a request without one."""
        if self.draining:
            return "draining"
        if self.lag.lag(now) > self.limits.loop_lag:
            # A request admitted now would be handled too late; after a single stall this refuses needlessly.
            return "loop-lag"
        if in_hand >= self.limits.in_hand:
            return "requests-in-hand"
        if held >= self.limits.held:
            return "sessions-held"
        return "repeats" if repeats >= self.limits.repeats else ""
