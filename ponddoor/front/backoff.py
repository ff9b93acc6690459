"""When a connection that failed is tried again: exponential backoff with jitter, free of I/O.

Times in microseconds. Everything that would connect to one address shares one backoff. Source of the
doubling and the jitter: Brooker, "Exponential Backoff And Jitter", 2015 (equal jitter)."""

from dataclasses import dataclass
from random import Random

FIRST_WAIT = 1_000_000
LONGEST_WAIT = 2_000_000


@dataclass(slots=True)
class ConnectBackoff:
    """Of one address. `not_before` is when it may be tried next; after a first failure that is at once."""

    random: Random
    failures: int = 0
    not_before: int = 0

    def failed(self, now: int) -> None:
        """A connection did not come up, or ended before it was of any use."""
        self.failures += 1
        if self.failures > 1:
            wait = min(FIRST_WAIT << min(self.failures - 2, 8), LONGEST_WAIT)
            self.not_before = now + wait + self.random.randrange(wait // 2)

    def succeeded(self) -> None:
        """A connection was of use."""
        self.failures, self.not_before = 0, 0

    def wait(self, now: int) -> int:
        """How long from now the next try has to wait."""
        return max(self.not_before - now, 0)
