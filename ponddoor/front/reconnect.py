"""When a front connects to its server list: at its start, after a loss, after an order to move, in an outage.

Free of I/O: times in microseconds go in, the time of the next try comes out. HTTP front, node and follower of
the shared configuration use it alike. Fronts that start, lose the list or find it down at the same time would
otherwise try in step for ever. A fleet's tries are spread by the front's number, with jitter within its part.

Source of the bounds: the platform's protocol page ("The notice board", "Bad peers") for the first seconds
after a loss; after a failed call a change counts as told 6 s after the list had it and could be reached."""

from dataclasses import dataclass, field
from enum import Enum

from ponddoor.state import SeededRandom

SECOND = 1_000_000
FLEET_TRIES_PER_S = 30  # first tries a second, while the bounds leave room for so few
RETRY_PERIOD_US = 4 * SECOND  # between the beginnings of two tries of a front in a long outage
RETRY_PERIOD_SLACK_US = (
    4 * SECOND // 5
)  # by which one may be late; with a connection 1 s late 5.8 of the 6 s are used
MIN_RETRY_INTERVAL_US = 20_000  # us between two tries of one front


class Loss(Enum):
    """How the list was lost, or a try failed."""

    REFUSED = "refused"  # nothing listens there
    LATE = "late"  # no connection came up in time: the machine or the link
    SILENT = "silent"  # a connection that stays open and tells nothing more
    BROKEN = "broken"  # it ended, or told what can't be used
    TURNED_AWAY = "turned-away"  # an answer that says to come later


# How long after the loss its news counts as told; of a silence, `lost` is told how much has gone by
NEWS_LIMITS_US = {
    Loss.REFUSED: 2 * SECOND,
    Loss.BROKEN: 2 * SECOND,
    Loss.LATE: 4 * SECOND,
    Loss.SILENT: 4 * SECOND,
    Loss.TURNED_AWAY: 4 * SECOND,
}
REDIRECT_LIMIT_US = 4 * SECOND  # likewise after an order to follow another address


@dataclass(slots=True)
class ReconnectSchedule:
    """One front's tries. `me` counts from 0 below `fronts`; times are microseconds.

    `grace` is how long news at a start may take, `step` the longest wait after the first failure, `period`
    what lies between the beginnings of two tries in a long outage."""

    me: int
    fronts: int
    grace: int
    seed: int
    step: int = SECOND
    period: int = RETRY_PERIOD_US
    tries: int = 0  # that failed since anything was heard
    losses: dict[str, int] = field(default_factory=dict)
    out_since: int | None = None
    last_heard: int | None = None
    _begun: int = 0  # when the last try began
    _chance: SeededRandom = field(init=False)

    def __post_init__(self) -> None:
        self._chance = SeededRandom(self.seed ^ 0x9E3779B97F4A7C15)  # the decisions draw from the seed itself
        self._chance.draw(2)

    def start(self, now: int) -> int:
        """The first try: the list of the start is in hand, what is told since counts at once."""
        self.tries, self.out_since = 0, now
        return self._begin(now + self._place(self.grace // 3))

    def moved(self, now: int) -> int:
        """The first try at another address, which all were told to follow in the same moment."""
        self.tries, self.out_since = 0, now
        return self._begin(now + self._place(REDIRECT_LIMIT_US // 3))

    def heard(self, now: int) -> None:
        """Something whole came from the list."""
        self.tries, self.out_since, self.last_heard = 0, None, now

    def age(self, now: int) -> int:
        """For how long nothing was heard from the list (us); 0 where it never was."""
        return 0 if self.last_heard is None else now - self.last_heard

    def lost(self, now: int, how: Loss, gone: int = 0, stay_away: int = 0) -> int:
        """When to try next. `gone` is how long ago it happened, `stay_away` what the answer asked for."""
        self.losses[how.value] = self.losses.get(how.value, 0) + 1
        first, left = self.out_since is None, max(NEWS_LIMITS_US[how] - gone, SECOND // 2)
        self.out_since = now - gone if self.out_since is None else self.out_since
        if first:  # all that had it lose it together
            return self._begin(now + max(stay_away, MIN_RETRY_INTERVAL_US) + self._place(left // 3))
        self.tries = min(self.tries + 1, 30)
        if now - self.out_since >= REDIRECT_LIMIT_US:
            return self._begin(self._next_in_period(now, stay_away))
        wait = self._chance.draw(self._longest_wait(left))
        # Who is told when to come back is told the same as all others: chance goes on top
        return self._begin(now + stay_away + max(wait, MIN_RETRY_INTERVAL_US))

    def _begin(self, at: int) -> int:
        self._begun = at
        return at

    def _next_in_period(self, now: int, stay_away: int) -> int:
        """This front's own moment in the period, so that the fleet's tries are even.

        It is sooner where that moment lies too far from the beginning of the last try."""
        assert self.out_since is not None
        since, mine = (
            now + stay_away + MIN_RETRY_INTERVAL_US - self.out_since,
            self.period * self.me // max(self.fronts, 1),
        )
        own = self.out_since + mine + -(-(since - mine) // self.period) * self.period
        if stay_away:
            return own
        return max(min(own, self._begun + self.period + RETRY_PERIOD_SLACK_US), now + MIN_RETRY_INTERVAL_US)

    def _longest_wait(self, left: int) -> int:
        """Grown with each failure, short of what the rules leave."""
        return min(min(left // 3, self.step) << self.tries, REDIRECT_LIMIT_US // 3)

    def _place(self, spread: int) -> int:
        """This front's place: an equal part of the spread by its number, and chance in the part's first half,
        so that neighbours never meet."""
        spread = min(spread, self.fronts * SECOND // FLEET_TRIES_PER_S)
        part = max(spread // max(self.fronts, 1), 1)
        return part * self.me + self._chance.draw(max(part // 2, 1))
