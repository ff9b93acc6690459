"""When a connection that failed is tried again: exponential backoff with jitter, free of I/O.

Times in microseconds. Everything that would connect to one address shares one backoff. Source of the
doubling and the jitter: Brooker, "Exponential Backoff And Jitter", 2015 (equal jitter)."""

from dataclasses import dataclass
from random import Random

FIRST_WAIT_US = 1_000_000
UNREADABLE_LINE_WAIT_US = (
    250_000  # after a line that can't be read, which a server that is well may say now and then
)
MAX_WAIT_US = 2_000_000


@dataclass(slots=True)
class ConnectBackoff:
    """Of one address. `not_before` is when it may be tried next; after a first failure that is at once."""

    random: Random
    failures: int = 0
    not_before: int = 0
    waits_since: int = 0

    def failed(self, now: int, first_wait: int = FIRST_WAIT_US) -> None:
        """A connection did not come up, or ended before it was of any use. `first_wait` is that after the
        second failure in a row."""
        self.failures, self.waits_since = self.failures + 1, now
        if self.failures > 1:
            wait = min(first_wait << min(self.failures - 2, 8), MAX_WAIT_US)
            self.not_before = now + wait + self.random.randrange(wait // 2)

    def delay(self, now: int, wait: int) -> None:
        """The next try waits so long; nothing has failed."""
        self.not_before, self.waits_since = max(self.not_before, now + wait), now

    def succeeded(self) -> None:
        """A connection was of use."""
        self.failures, self.not_before = 0, 0

    def wait(self, now: int, most: int = MAX_WAIT_US + MAX_WAIT_US // 2) -> int:
        """How long from now the next try has to wait: no longer than `most` from when it began to."""
        return max(min(self.not_before, self.waits_since + most) - now, 0)
