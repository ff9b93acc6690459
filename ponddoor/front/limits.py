"""The limits of one front itself, free of I/O: who is taken in, and how late the event loop is."""

from dataclasses import dataclass

from ponddoor.settings.limits import Limits

SAMPLE_PERIOD_US = 50_000  # the loop is sampled so often, in microseconds


@dataclass(slots=True)
class LagMeter:
    """How late the event loop runs, from ticks that should come every SAMPLE_PERIOD_US microseconds.

    A tick that is overdue counts before it comes, so that work that piled up behind a blocked loop is seen as
    late by whichever runs first. A late tick counts until the next one in time."""

    due: int
    last: int = 0

    def tick(self, now: int) -> int:
        """A tick came; returns how late it was."""
        self.last = max(0, now - self.due)
        self.due = now + SAMPLE_PERIOD_US
        return self.last

    def lag(self, now: int) -> int:
        return max(self.last, now - self.due, 0)


@dataclass(slots=True)
class AdmissionGate:
    """Whether a front takes one more request; a refusal is the name of the limit that is reached."""

    limits: Limits
    lag: LagMeter
    draining: bool = False

    def refusal(self, now: int, in_hand: int, held: int, repeats: int) -> str:
        """The limit that stands in the way of one more, or an empty word."""
        if self.draining:
            return "draining"
        if self.lag.lag(now) > self.limits.loop_lag:
            # Guards against work begun too late to matter; harms where one long stall is all there was.
            return "loop-lag"
        if in_hand >= self.limits.in_hand:
            return "requests-in-hand"
        if held >= self.limits.held:
            return "sessions-held"
        return "repeats" if repeats >= self.limits.repeats else ""
