"""The schedule of a shutdown, made once at SIGTERM from the settings. Times in microseconds.

Source: the platform's protocol page, "Figures". New connections come for up to 0.4 s after SIGTERM and
set-ups for 0.2 s more; SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s after
SIGTERM; what it finds unanswered is lost if it came more than 0.7 s after SIGTERM."""

from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
KILL_DELAY_US = 700_000
MAX_COUNTED_DEADLINE_US = 3 * SECOND
FORWARDING_DURATION_US = 700_000  # after this a set-up that SIGKILL finds unanswered is lost
MIN_ATTEMPT_TIME_US = 100_000  # less than this is not worth an attempt
KILL_MARGIN_US = 300_000  # kept before SIGKILL, for a process that gets little processor time


class DrainPhase(Enum):
    """What is done with set-ups and connections."""

    SERVING = "serving"  # no shutdown
    FORWARDING = "forwarding"  # set-ups are forwarded, with the time that is left
    REFUSING = "refusing"  # set-ups are refused at once, idle connections close, nobody new is accepted
    CLOSING = "closing"  # everything is answered, every connection closes, the process ends


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """When each phase of a shutdown begins."""

    sigterm_at: int
    refuse_from: int
    answer_by: int
    kill_at: int

    @classmethod
    def after_sigterm(cls, sigterm_at: int, longest_deadline: int) -> "DrainSchedule":
        """The schedule for a SIGTERM at `sigterm_at` where no class waits longer than `longest_deadline`."""
        kill_at = sigterm_at + min(longest_deadline, MAX_COUNTED_DEADLINE_US) + KILL_DELAY_US
        answer_by = kill_at - KILL_MARGIN_US
        refuse_from = min(sigterm_at + FORWARDING_DURATION_US, answer_by - MIN_ATTEMPT_TIME_US)
        return cls(sigterm_at, refuse_from, answer_by, kill_at)

    def phase(self, now: int) -> DrainPhase:
        """The phase at a moment."""
        if now < self.refuse_from:
            return DrainPhase.FORWARDING
        return DrainPhase.REFUSING if now < self.answer_by else DrainPhase.CLOSING

    def limit_wait(self, now: int, wait: int) -> int:
        """How long a set-up that would wait `wait` may wait: all is answered by `answer_by`."""
        return max(1, min(wait, self.answer_by - now))
