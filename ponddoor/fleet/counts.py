"""Amounts counted over the fleet: one register for each front and key, merged by incarnation and stamp.

Only a front itself writes its registers. A later incarnation replaces all registers of an earlier one, a
later stamp replaces an earlier one, and a full update clears the keys that it does not contain. Merging is
thus commutative, associative and idempotent, and updates that arrive twice, late or out of order have no
effect (Shapiro and others, "Conflict-free Replicated Data Types", 2011: a map of last-writer-wins registers
with one writer each).

Sums are given with bounds. Sessions of a front that is taken for dead may play on: its amounts are left out
of the likely sum at once, and of the greatest possible sum only when its sessions are known to have
ended."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_KEYS = 4096  # of one front


@dataclass(frozen=True, slots=True)
class Bounds:
    """A sum over the fleet: its least, likely and greatest value, and the age of its oldest amount."""

    least: float
    likely: float
    most: float
    oldest_age: int


@dataclass(slots=True)
class Cell:
    """One front's register for one key. `flag` is a bit that the front sent with the amount."""

    stamp: int
    amount: float
    flag: bool
    received_at: int


@dataclass(slots=True)
class Origin:
    """One front's registers. Amounts with a stamp before `void_before` are void unless sent again since."""

    incarnation: int = 0
    void_before: int = -1
    stamp: int = -1
    full_update_at: int | None = None  # when the last full update arrived
    doubted: bool = False  # taken for dead
    cells: dict[int, Cell] = field(default_factory=dict)


class Counts:
    """The registers of all fronts, as known to one front. Times are in its own microseconds."""

    def __init__(self) -> None:
        self.origins: dict[int, Origin] = {}
        self._likely: dict[int, float] = {}
        self._holders: dict[int, dict[int, Cell]] = {}  # key: registers by front
        self.refused = 0  # updates that were ignored as old, or beyond the limit of keys

    def update(
        self,
        now: int,
        front: int,
        incarnation: int,
        stamp: int,
        full: bool,
        rows: Iterable[tuple[int, float, bool]],
    ) -> set[int]:
        """Applies a front's update; `full` if it contains all of its keys. Rows are (key, amount, flag).

        Returns the keys whose likely sum may have changed."""
        origin = self.origins.setdefault(front, Origin())
        if incarnation < origin.incarnation:
            self.refused += 1
            return set()
        changed: set[int] = set()
        if (
            incarnation > origin.incarnation
        ):  # sessions of the earlier incarnation are no longer the front's own
            changed |= self.clear(front)
            origin = self.origins.setdefault(front, Origin(incarnation))
            origin.incarnation = incarnation
        for key, amount, flag in rows:
            current = origin.cells.get(key)
            stale = stamp < origin.void_before or (current is not None and stamp <= current.stamp)
            if stale or (current is None and len(origin.cells) >= MAX_KEYS):
                self.refused += 1
                continue
            self._put(front, origin, key, Cell(stamp, max(amount, 0.0), flag, now))
            changed.add(key)
        if full and stamp > origin.void_before:
            origin.void_before = stamp
            for key in [key for key, cell in origin.cells.items() if cell.stamp < stamp]:
                self._drop(front, origin, key)
                changed.add(key)
            origin.full_update_at = now
        origin.stamp = max(origin.stamp, stamp)
        return changed

    def set_doubted(self, front: int, doubted: bool) -> set[int]:
        """Marks whether a front is taken for dead: its amounts then count as possible, and not as likely.

        Returns the keys whose likely sum may have changed."""
        origin = self.origins.get(front)
        if origin is None or origin.doubted == doubted:
            return set()
        sign = -1.0 if doubted else 1.0
        for key, cell in origin.cells.items():
            self._likely[key] = self._likely.get(key, 0.0) + sign * cell.amount
        origin.doubted = doubted
        return set(origin.cells)

    def clear(self, front: int, key: int | None = None) -> set[int]:
        """Removes a front's amounts, of one key or of all: its sessions are known to have ended. A later
        update of the same incarnation is accepted. Returns the keys that were removed."""
        origin = self.origins.get(front)
        if origin is None:
            return set()
        keys = list(origin.cells) if key is None else [key] * (key in origin.cells)
        for removed_key in keys:
            self._drop(front, origin, removed_key)
        if key is None:
            origin.doubted, origin.full_update_at = False, None
            origin.void_before = origin.stamp = -1
        return set(keys)

    def clear_key(self, key: int) -> None:
        """Removes all fronts' amounts at a key: the server's process was replaced, so its sessions ended."""
        for front in list(self._holders.get(key, ())):
            self.clear(front, key)

    def likely(self, key: int) -> float:
        """The sum over all fronts that are not doubted."""
        return self._likely.get(key, 0.0)

    def amount_of(self, front: int, key: int) -> float:
        """The amount that one front last sent, even if it is doubted."""
        cell = self._holders.get(key, {}).get(front)
        return cell.amount if cell is not None else 0.0

    def is_flagged(self, key: int) -> bool:
        """Whether a front that is not doubted sent the flag with an amount above zero."""
        holders = self._holders.get(key, {})
        flagged = (front for front, cell in holders.items() if cell.flag and cell.amount > 0)
        return any(not self.origins[front].doubted for front in flagged)

    def amounts_of(self, front: int) -> dict[int, float]:
        """The amounts of one front by key."""
        origin = self.origins.get(front)
        return {key: cell.amount for key, cell in origin.cells.items()} if origin is not None else {}

    def bounds(self, now: int, key: int, fresh: int) -> Bounds:
        """A key's sum with bounds. The least leaves out amounts older than `fresh`, which may have ended."""
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
        """All registers, without what is local to this front (times, doubts)."""
        return {
            front: (
                o.incarnation,
                o.void_before,
                {key: (c.stamp, c.amount, c.flag) for key, c in o.cells.items()},
            )
            for front, o in self.origins.items()
        }

    def merge(self, now: int, state: dict[int, tuple[int, int, dict[int, tuple[int, float, bool]]]]) -> None:
        """Merges another front's registers into these."""
        for front, (incarnation, void_before, cells) in state.items():
            origin = self.origins.setdefault(front, Origin())
            if incarnation < origin.incarnation:
                continue
            for key, (stamp, amount, flag) in cells.items():
                self.update(now, front, incarnation, stamp, False, [(key, amount, flag)])
            self.update(now, front, incarnation, void_before, True, [])

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
        if not holders:  # also resets the sum, which accumulates rounding errors
            del self._holders[key]
            self._likely.pop(key, None)
        elif not origin.doubted:
            self._likely[key] -= cell.amount
