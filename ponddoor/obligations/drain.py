"""The schedule of a shutdown, made once at SIGTERM from the settings. Times are in microseconds.

Source: the platform's protocol page, "Figures". New connections arrive for up to 0.4 s after SIGTERM, and
requests for 0.2 s more. SIGKILL comes no sooner than 0.7 s plus the longest deadline, of which at most 3 s
count, after SIGTERM. A request that SIGKILL finds unanswered is lost if it arrived more than 0.7 s after
SIGTERM."""

from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
KILL_DELAY_US = 700_000  # from SIGTERM and the longest deadline to SIGKILL
MAX_COUNTED_DEADLINE_US = 3 * SECOND
FORWARDING_DURATION_US = 700_000  # a request that arrives later is lost if SIGKILL finds it unanswered
MIN_ATTEMPT_TIME_US = 100_000  # a shorter attempt is not worth making
KILL_MARGIN_US = 300_000  # from the last answer to SIGKILL, as the process may get little processor time


class DrainPhase(Enum):
    """How requests and connections are handled."""

    SERVING = "serving"  # no shutdown
    FORWARDING = "forwarding"  # requests are forwarded to servers, with the time that is left
    REFUSING = "refusing"  # requests are refused, idle connections close, no new ones are accepted
    CLOSING = "closing"  # every open request is answered, every connection closes, the process ends


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The times of one shutdown: FORWARDING until `refuse_from`, REFUSING until `answer_by`, then CLOSING.

    SIGKILL has to be expected from `kill_at` on."""

    sigterm_at: int
    refuse_from: int
    answer_by: int
    kill_at: int

    @classmethod
    def after_sigterm(cls, sigterm_at: int, longest_deadline: int) -> "DrainSchedule":
        """The schedule for a SIGTERM at `sigterm_at` if no request waits longer than `longest_deadline`."""
        kill_at = sigterm_at + min(longest_deadline, MAX_COUNTED_DEADLINE_US) + KILL_DELAY_US
        answer_by = kill_at - KILL_MARGIN_US
        refuse_from = min(sigterm_at + FORWARDING_DURATION_US, answer_by - MIN_ATTEMPT_TIME_US)
        return cls(sigterm_at, refuse_from, answer_by, kill_at)

    def phase(self, now: int) -> DrainPhase:
        """The phase at `now`, which is not before SIGTERM."""
        if now < self.refuse_from:
            return DrainPhase.FORWARDING
        return DrainPhase.REFUSING if now < self.answer_by else DrainPhase.CLOSING

    def limit_wait(self, now: int, wait: int) -> int:
        """Limit the time that a request may wait so that it is answered by `answer_by`; at least 1 us."""
        return max(1, min(wait, self.answer_by - now))
