"""When a front connects to its server list: at its start, after a loss, after a redirect, and in an outage.

Free of I/O: times in microseconds are passed in, the time of the next try is returned. The HTTP front, the
node and the follower of the shared configuration all use it. Fronts that start, lose the list or find it
down at the same time would otherwise retry in step for ever. The tries of a fleet are spread by the front's
number, with jitter within its slot.

The limits for the first seconds after a loss come from the platform's protocol page ("The notice board", "Bad
peers"). After a failed call, a change counts as known 6 s after the list had it and could be reached."""

from dataclasses import dataclass, field
from enum import Enum

from ponddoor.state import SeededRandom

SECOND = 1_000_000
FLEET_TRIES_PER_S = 30  # rate of first tries that the spread aims at, where the limits leave that much time
RETRY_PERIOD_US = 4 * SECOND  # between the starts of two tries of a front in a long outage
# By how much such a try may be late: with a connection that takes 1 s, 5.8 s of the 6 s are then used.
RETRY_PERIOD_SLACK_US = 4 * SECOND // 5
MIN_RETRY_INTERVAL_US = 20_000


class Loss(Enum):
    """How the list was lost, or a try failed."""

    REFUSED = "refused"  # nothing listens at the address
    LATE = "late"  # no connection was established in time: the machine or the network is at fault
    SILENT = "silent"  # the connection stays open without messages
    BROKEN = "broken"  # the connection ended or sent something unusable
    TURNED_AWAY = "turned-away"  # the list answered that the front should retry later


# How long after the loss a change of the list counts as known; `lost` is told how much of it has passed.
NEWS_LIMITS_US = {
    Loss.REFUSED: 2 * SECOND,
    Loss.BROKEN: 2 * SECOND,
    Loss.LATE: 4 * SECOND,
    Loss.SILENT: 4 * SECOND,
    Loss.TURNED_AWAY: 4 * SECOND,
}
REDIRECT_LIMIT_US = 4 * SECOND  # likewise, after an order to use another address


@dataclass(slots=True)
class ReconnectSchedule:
    """The tries of one front, whose number is `me` of 0 to `fronts` - 1. Times are in microseconds.

    `start_limit` is how long the list may take to arrive at a start, `first_wait_limit` the longest wait
    after the first failure, `period` the time between the starts of two tries in a long outage. `tries`
    counts the failures since the list was last heard, `losses` all failures by kind."""

    me: int
    fronts: int
    start_limit: int
    seed: int
    first_wait_limit: int = SECOND
    period: int = RETRY_PERIOD_US
    tries: int = 0
    losses: dict[str, int] = field(default_factory=dict)
    outage_since: int | None = None
    last_heard: int | None = None
    _last_try_at: int = 0
    _random: SeededRandom = field(init=False)

    def __post_init__(self) -> None:
        # Not the seed itself: the decisions draw from that.
        self._random = SeededRandom(self.seed ^ 0x9E3779B97F4A7C15)
        self._random.draw(2)

    def start(self, now: int) -> int:
        """The time of the first try at a start, when changes since the list in hand are due at once."""
        self.tries, self.outage_since = 0, now
        return self._schedule(now + self._slot(self.start_limit // 3))

    def moved(self, now: int) -> int:
        """The time of the first try at another address, to which all fronts are redirected at once."""
        self.tries, self.outage_since = 0, now
        return self._schedule(now + self._slot(REDIRECT_LIMIT_US // 3))

    def heard(self, now: int) -> None:
        """Record that a complete message came from the list."""
        self.tries, self.outage_since, self.last_heard = 0, None, now

    def age(self, now: int) -> int:
        """How long ago the list was last heard; 0 if never."""
        return 0 if self.last_heard is None else now - self.last_heard

    def lost(self, now: int, loss: Loss, elapsed: int = 0, min_wait: int = 0) -> int:
        """The time of the next try after a failure.

        `elapsed` is how long ago the failure began, `min_wait` the wait that the list's answer asked for."""
        self.losses[loss.value] = self.losses.get(loss.value, 0) + 1
        is_first, remaining = self.outage_since is None, max(NEWS_LIMITS_US[loss] - elapsed, SECOND // 2)
        self.outage_since = now - elapsed if self.outage_since is None else self.outage_since
        if is_first:  # all fronts that were connected lose the list at the same time
            return self._schedule(now + max(min_wait, MIN_RETRY_INTERVAL_US) + self._slot(remaining // 3))
        self.tries = min(self.tries + 1, 30)
        if now - self.outage_since >= REDIRECT_LIMIT_US:
            return self._schedule(self._next_in_period(now, min_wait))
        wait = self._random.draw(self._longest_wait(remaining))
        # The list asks every front for the same wait, so jitter is added to it.
        return self._schedule(now + min_wait + max(wait, MIN_RETRY_INTERVAL_US))

    def _schedule(self, try_at: int) -> int:
        self._last_try_at = try_at
        return try_at

    def _next_in_period(self, now: int, min_wait: int) -> int:
        """The front's own slot in the period, so that the fleet's tries are even.

        It is sooner if that slot lies too long after the start of the last try."""
        assert self.outage_since is not None
        earliest, offset = (
            now + min_wait + MIN_RETRY_INTERVAL_US - self.outage_since,
            self.period * self.me // max(self.fronts, 1),
        )
        slot = self.outage_since + offset + -(-(earliest - offset) // self.period) * self.period
        if min_wait:
            return slot
        return max(
            min(slot, self._last_try_at + self.period + RETRY_PERIOD_SLACK_US), now + MIN_RETRY_INTERVAL_US
        )

    def _longest_wait(self, remaining: int) -> int:
        """The upper end of the random wait: doubles with each failure, within what the limits leave."""
        return min(min(remaining // 3, self.first_wait_limit) << self.tries, REDIRECT_LIMIT_US // 3)

    def _slot(self, spread: int) -> int:
        """The front's offset within `spread`: an equal part by its number, with jitter in the first half of
        the part, so that the tries of neighbours never coincide."""
        spread = min(spread, self.fronts * SECOND // FLEET_TRIES_PER_S)
        part = max(spread // max(self.fronts, 1), 1)
        return part * self.me + self._random.draw(max(part // 2, 1))
