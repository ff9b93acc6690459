"""Counts over the fleet, by who counted: a register for each front and key, joined by life and stamp.

Each front writes its own registers alone. A later life outdoes an earlier one whole, a later stamp an earlier
one, and a telling of all voids what it does not name. So joining is commutative, associative and idempotent,
and words that come twice, late or out of order do nothing (Shapiro and others, "Conflict-free Replicated Data
Types", 2011: a map of last-writer registers, with one writer each).

What is read has bounds. A front that is taken for dead may have sessions that play on: its part is left out
of the likely figure, and of the most that may be only once its sessions are known to have ended."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_KEYS = 4096  # that one front may tell of


@dataclass(frozen=True, slots=True)
class Bounds:
    """A count over the fleet: at least, as far as known, at most; `since`: how old its oldest part is."""

    least: float
    likely: float
    most: float
    oldest_age: int


@dataclass(slots=True)
class Cell:
    """What one front last told of one key. `flag` is a bit that it told along."""

    stamp: int
    amount: float
    flag: bool
    received_at: int


@dataclass(slots=True)
class Origin:
    """One front's registers. `void`: what was told before this stamp and not since counts no more."""

    incarnation: int = 0
    void_before: int = -1
    stamp: int = -1
    full_update_at: int | None = None  # when a telling of all last came
    doubted: bool = False
    cells: dict[int, Cell] = field(default_factory=dict)


class Counts:
    """The registers of all fronts, as one front has them. Times in its own microseconds."""

    def __init__(self) -> None:
        self.origins: dict[int, Origin] = {}
        self._likely: dict[int, float] = {}
        self._holders: dict[int, dict[int, Cell]] = {}
        self.refused = 0

    def update(
        self,
        now: int,
        front: int,
        life: int,
        stamp: int,
        whole: bool,
        rows: Iterable[tuple[int, float, bool]],
    ) -> set[int]:
        """A front's own word. Returns the keys of which the likely figure may have changed."""
        origin = self.origins.setdefault(front, Origin())
        if life < origin.incarnation:
            self.refused += 1
            return set()
        changed: set[int] = set()
        if life > origin.incarnation:  # its sessions of the life before are not its own any more
            changed |= self.clear(front)
            origin = self.origins.setdefault(front, Origin(life))
            origin.incarnation = life
        for key, amount, flag in rows:
            held = origin.cells.get(key)
            older = stamp < origin.void_before or (held is not None and stamp <= held.stamp)
            if older or (held is None and len(origin.cells) >= MAX_KEYS):
                self.refused += 1
                continue
            self._put(front, origin, key, Cell(stamp, max(amount, 0.0), flag, now))
            changed.add(key)
        if whole and stamp > origin.void_before:
            origin.void_before = stamp
            for key in [key for key, cell in origin.cells.items() if cell.stamp < stamp]:
                self._drop(front, origin, key)
                changed.add(key)
            origin.full_update_at = now
        origin.stamp = max(origin.stamp, stamp)
        return changed

    def set_doubted(self, front: int, doubted: bool) -> set[int]:
        """A front is taken for dead, or no longer: its part counts as at most, and not as likely."""
        origin = self.origins.get(front)
        if origin is None or origin.doubted == doubted:
            return set()
        sign = -1.0 if doubted else 1.0
        for key, cell in origin.cells.items():
            self._likely[key] = self._likely.get(key, 0.0) + sign * cell.amount
        origin.doubted = doubted
        return set(origin.cells)

    def clear(self, front: int, key: int | None = None) -> set[int]:
        """What a front told, of one key or all, is known to have ended. A later word of that life stands."""
        origin = self.origins.get(front)
        if origin is None:
            return set()
        keys = list(origin.cells) if key is None else [key] * (key in origin.cells)
        for one in keys:
            self._drop(front, origin, one)
        if key is None:
            origin.doubted, origin.full_update_at = False, None
            origin.void_before = origin.stamp = -1
        return set(keys)

    def clear_key(self, key: int) -> None:
        """All that anybody had there has ended: its process is another one now."""
        for front in list(self._holders.get(key, ())):
            self.clear(front, key)

    def likely(self, key: int) -> float:
        """The sum of all but doubted fronts."""
        return self._likely.get(key, 0.0)

    def amount_of(self, front: int, key: int) -> float:
        """What one front last told."""
        cell = self._holders.get(key, {}).get(front)
        return cell.amount if cell is not None else 0.0

    def is_flagged(self, key: int) -> bool:
        """Whether a front that is not doubted told the bit, and asks something there."""
        holders = self._holders.get(key, {})
        flagged = (front for front, cell in holders.items() if cell.flag and cell.amount > 0)
        return any(not self.origins[front].doubted for front in flagged)

    def amounts_of(self, front: int) -> dict[int, float]:
        """All that one front has told."""
        origin = self.origins.get(front)
        return {key: cell.amount for key, cell in origin.cells.items()} if origin is not None else {}

    def bounds(self, now: int, key: int, fresh: int) -> Bounds:
        """A key's figure. What is older than `fresh` may have ended: it is not in the least."""
        least = likely = most = 0.0
        oldest = now
        for front, cell in self._holders.get(key, {}).items():
            doubted = self.origins[front].doubted
            most += cell.amount
            likely += 0.0 if doubted else cell.amount
            least += cell.amount if not doubted and cell.received_at > now - fresh else 0.0
            oldest = min(oldest, cell.received_at)
        return Bounds(least, likely, most, now - oldest)

    def state(self) -> dict[int, tuple[int, int, dict[int, tuple[int, float, bool]]]]:
        """All registers, without what is of this front alone (times, doubts)."""
        return {
            front: (
                o.incarnation,
                o.void_before,
                {key: (c.stamp, c.amount, c.flag) for key, c in o.cells.items()},
            )
            for front, o in self.origins.items()
        }

    def merge(self, now: int, state: dict[int, tuple[int, int, dict[int, tuple[int, float, bool]]]]) -> None:
        """Join another front's registers to these."""
        for front, (life, void, cells) in state.items():
            origin = self.origins.setdefault(front, Origin())
            if life < origin.incarnation:
                continue
            for key, (stamp, amount, flag) in cells.items():
                self.update(now, front, life, stamp, False, [(key, amount, flag)])
            self.update(now, front, life, void, True, [])

    def _put(self, front: int, origin: Origin, key: int, cell: Cell) -> None:
        self._drop(front, origin, key)
        origin.cells[key] = cell
        self._holders.setdefault(key, {})[front] = cell
        if not origin.doubted:
            self._likely[key] = self._likely.get(key, 0.0) + cell.amount

    def _drop(self, front: int, origin: Origin, key: int) -> None:
        cell = origin.cells.pop(key, None)
        if cell is None:
            return
        holders = self._holders[key]
        del holders[front]
        if not holders:  # also against sums that drift
            del self._holders[key]
            self._likely.pop(key, None)
        elif not origin.doubted:
            self._likely[key] -= cell.amount
