"""When a front comes to the list: at its start, after a break, a silence, an order to move, in an outage.

Free of I/O: moments in microseconds go in, the moment of the next try comes out, and chance is the front's
own. Node and front use it alike. Guards against a fleet that comes in step: hundreds of fronts that begin,
lose the list or find it down in the same moment see the same and would do the same, for ever. It may harm
where few fronts have a list that bears them all at once: each waits a little for nothing.

Three things bound it. What the rules leave: news counts as told at a known time after the list was lost
(the platform's protocol page, "The notice board" and "Bad peers"), so two tries and the time that one takes
must fit before. The fleet: places within a spread go by a front's number, with chance inside each place, so
that the sum is even by construction. And an outage: past what the rules leave nothing is gained by haste, and
all fronts together try at most `TRIES` times a second, however many they are."""

from dataclasses import dataclass, field
from enum import Enum

from ponddoor.state import Chance

SECOND = 1_000_000
TRIES = 30  # a second, of the whole fleet in a long outage, on average
SELDOM = 6 * SECOND  # the mean wait of one front then, at least
LEAST = 20_000  # between two tries of one front


class Loss(Enum):
    """How the list was lost, or a try failed."""

    REFUSED = "refused"  # nothing listens there
    LATE = "late"  # no connection came up in time: the machine or the link
    SILENT = "silent"  # a connection that stays open and tells nothing more
    BROKEN = "broken"  # it ended, or told what can't be used
    TURNED_AWAY = "turned-away"  # an answer that says to come later


# How long after the loss its news counts as told; of a silence, `lost` is told how much has gone by
LEFT = {Loss.REFUSED: 2 * SECOND, Loss.BROKEN: 2 * SECOND, Loss.LATE: 4 * SECOND, Loss.SILENT: 4 * SECOND,
        Loss.TURNED_AWAY: 4 * SECOND}  # fmt: skip
MOVED = 4 * SECOND  # likewise after an order to follow another address


@dataclass(slots=True)
class Coming:
    """One front's tries. `me` counts from 0 below `fronts`; `grace` is how long news at a start may take."""

    me: int
    fronts: int
    grace: int
    seed: int
    step: int = SECOND  # the longest wait after the first failure; less where the rules leave less
    even: int = 0  # the period of tries in a long outage, at a place by number; 0: waits that grow
    tries: int = 0  # that failed since anything was heard
    losses: dict[str, int] = field(default_factory=dict)
    out_since: int | None = None
    _chance: Chance = field(init=False)

    def __post_init__(self) -> None:
        self._chance = Chance(self.seed ^ 0x9E3779B97F4A7C15)  # the decisions draw from the seed itself
        self._chance.draw(2)

    def start(self, now: int) -> int:
        """The first try: the list of the start is in hand, what is told since counts at once."""
        self.tries, self.out_since = 0, now
        return now + self._place(self.grace // 3)

    def moved(self, now: int) -> int:
        """The first try at another address, which all were told to follow in the same moment."""
        self.tries, self.out_since = 0, now
        return now + self._place(MOVED // 3)

    def heard(self, now: int) -> None:
        """Something whole came from the list."""
        self.tries, self.out_since = 0, None

    def lost(self, now: int, how: Loss, gone: int = 0, stay_away: int = 0) -> int:
        """When to try next. `gone` is how long ago it happened, `stay_away` what the answer asked for."""
        self.losses[how.value] = self.losses.get(how.value, 0) + 1
        first, left = self.out_since is None, max(LEFT[how] - gone, SECOND // 2)
        self.out_since = now - gone if self.out_since is None else self.out_since
        if first:  # all that had it lose it together
            return now + max(stay_away, LEAST) + self._place(left // 3)
        self.tries = min(self.tries + 1, 30)
        if self.even and now - self.out_since >= MOVED:
            return self._next_even(now, stay_away)
        wait = self._chance.draw(self._cap(now, left))
        # Who is told when to come back is told the same as all others: chance goes on top
        return now + stay_away + max(wait, LEAST)

    def _next_even(self, now: int, stay_away: int) -> int:
        """The next moment of this front's own in each period. Guards against a fleet that was cut off
        together and comes back in one second: its tries stay as even as its numbers are."""
        assert self.out_since is not None
        since, mine = now + stay_away + LEAST - self.out_since, self.even * self.me // max(self.fronts, 1)
        return self.out_since + mine + -(-(since - mine) // self.even) * self.even

    def _cap(self, now: int, left: int) -> int:
        """The longest wait: grown with each failure, short of what the rules leave until that has passed."""
        assert self.out_since is not None
        longest = max(2 * SELDOM, 2 * self.fronts * SECOND // TRIES)
        grown = min(min(left // 3, self.step) << self.tries, longest)
        return min(grown, MOVED // 3) if now - self.out_since < MOVED else grown

    def _place(self, spread: int) -> int:
        """This front's place: an equal part of the spread by its number, and chance in the part's first half,
        so that neighbours never meet."""
        spread = min(spread, self.fronts * SECOND // TRIES)
        part = max(spread // max(self.fronts, 1), 1)
        return part * self.me + self._chance.draw(max(part // 2, 1))
