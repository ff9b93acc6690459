"""When a failed connection is tried again: exponential backoff with jitter, free of I/O.

Times are in microseconds. Everything that would connect to one address shares one backoff. The doubling and
the jitter follow Brooker, "Exponential Backoff And Jitter", 2015 (equal jitter)."""

from dataclasses import dataclass
from random import Random

FIRST_WAIT_US = 1_000_000
UNREADABLE_LINE_WAIT_US = 250_000  # after an unreadable line, which a healthy server may send occasionally
MAX_WAIT_US = 2_000_000  # before jitter


@dataclass(slots=True)
class ConnectBackoff:
    """The backoff of one address.

    `not_before` is when it may be tried next: at once after a first failure. `waits_since` is when the
    current wait began."""

    random: Random
    failures: int = 0
    not_before: int = 0
    waits_since: int = 0

    def failed(self, now: int, first_wait: int = FIRST_WAIT_US) -> None:
        """Record that a connection was not established, or ended before it was useful.

        `first_wait` is the wait after the second failure in a row."""
        self.failures, self.waits_since = self.failures + 1, now
        if self.failures > 1:
            wait = min(first_wait << min(self.failures - 2, 8), MAX_WAIT_US)
            self.not_before = now + wait + self.random.randrange(wait // 2)

    def delay(self, now: int, wait: int) -> None:
        """Delay the next try by at least `wait` without counting a failure."""
        self.not_before, self.waits_since = max(self.not_before, now + wait), now

    def succeeded(self) -> None:
        """Record that a connection was useful."""
        self.failures, self.not_before = 0, 0

    def wait(self, now: int, max_wait: int = MAX_WAIT_US + MAX_WAIT_US // 2) -> int:
        """How long the next try has to wait from `now`; at most `max_wait` from the start of the wait."""
        return max(min(self.not_before, self.waits_since + max_wait) - now, 0)
