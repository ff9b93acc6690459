"""Parts of a budget that all fronts draw on together, such as the set-ups that a cold server bears.

The limit is cut into equal parts, one for each front of the fleet, whether it lives or not: the sum of the
parts is the limit, for every set of fronts that hear nothing. A front that need not use its part lends it to
a keeper, for a lease; the keeper grants from what is lent to it, one send at a time, to whoever asks. It is
the lending of the seats (docs/notes/seats.md) with the roles turned round: there a home lends what is its
own, here each front is the home of its part, and the keeper borrows.

Why the sum holds. A part is lent in answer to a keeper's question. The lender counts the lease from its
answer, with the margin for drift, and uses nothing of its part meanwhile; the keeper counts from its
question, less the margin: it stops before the lender begins again, whatever was lost or late. Numbers name a
question,
and the keeper's life is their fence: an answer to a question of an earlier life lends nothing. A front that
has just begun may have lent in the life before: it uses no part of its own for a lease. A grant is one send,
good for as long as its question is waited for. Nothing is kept over a restart, and nothing needs to be."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_LEASE_REQUESTS = 64  # of one front, that an answer may still come to


@dataclass(slots=True)
class _Lender:
    """A keeper's questions to one front, and until when that one's parts are lent to us, by group."""

    number: int = 0
    asked: "OrderedDict[int, int]" = field(default_factory=OrderedDict)  # number: when it went out
    until: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Bucket:
    """What may be granted of one budget now, in sends, as of a moment when so many parts were lent."""

    level: float
    at: int
    parts: int = 0


class Shares:
    """One front's parts, and what is lent to it. A group names the budgets whose parts are lent together."""

    def __init__(self, fronts: int, now: int, lease: int, drift: float = 0.01) -> None:
        self.fronts, self.lease, self.drift = fronts, lease, drift
        self._own_share_usable_at = now + self._lender_lease()
        self._lent: dict[int, tuple[int, int, int]] = {}  # group: until when, to whom, and its life
        self._lenders: dict[int, _Lender] = {}
        self._buckets: dict[int, _Bucket] = {}
        self.granted = self.fenced = 0

    def _lender_lease(self) -> int:
        return round(self.lease * (1 + 2 * self.drift))

    def _borrower_lease(self) -> int:
        return round(self.lease * (1 - 2 * self.drift))

    # The lender

    def may_lend(self, now: int, group: int, keeper: int, life: int) -> bool:
        """Guards against a part that is lent to two: with another keeper, or lent by our life before, it
        stays until that lease is over. A keeper's later life has nothing of what the one before was lent."""
        if now < self._own_share_usable_at:
            return False
        until, to, theirs = self._lent.get(group, (now, keeper, life))
        return now >= until or (to == keeper and theirs <= life)

    def lend(self, now: int, groups: tuple[int, ...], keeper: int, life: int) -> None:
        """Our parts of these are a keeper's from now on: the word that says so goes out."""
        for group in groups:
            self._lent[group] = now + self._lender_lease(), keeper, life

    def may_use_own(self, now: int, group: int) -> bool:
        """Whether our own part may be used: it is not lent, and cannot be by an earlier life of ours."""
        return now >= self._own_share_usable_at and now >= self._lent.get(group, (now, 0, 0))[0]

    # The keeper

    def lease_request(self, now: int, front: int) -> int:
        """The number to put to an answer to a front: its own word may lend its parts under it. 0: none."""
        lender = self._lenders.setdefault(front, _Lender())
        last = next(reversed(lender.asked.values()), None)
        if last is not None and now - last < self.lease // 8:
            return lender.number  # asked a moment ago: it counts from then
        lender.number = lender.number % 65535 + 1
        lender.asked[lender.number] = now
        while len(lender.asked) > MAX_LEASE_REQUESTS:
            lender.asked.popitem(last=False)
        return lender.number

    def accept_lease(self, now: int, front: int, ours: bool, number: int, groups: tuple[int, ...]) -> bool:
        """A front lends us its parts, in answer to a question; `ours`: of this life."""
        lender = self._lenders.get(front)
        asked = lender.asked.get(number) if lender is not None else None
        if not ours or lender is None or asked is None:
            self.fenced += 1
            return False
        until = asked + self._borrower_lease()
        for group in groups:
            lender.until[group] = max(lender.until.get(group, 0), until)
        return until > now

    def lenders_of(self, now: int, group: int) -> set[int]:
        """Whose parts of a group are lent to us now."""
        return {front for front, lender in self._lenders.items() if lender.until.get(group, 0) > now}

    def grant(self, now: int, group: int, budget: int, slot: float, burst: float) -> bool:
        """Whether one send of a budget may be granted now: the limit is one in each `slot` (us) of the whole
        fleet, of which the parts that are lent to us are ours, and so many may follow at once."""
        parts = len(self.lenders_of(now, group))
        bucket = self._buckets.get(budget)
        if bucket is None:
            if len(self._buckets) >= 4096:
                self._buckets.clear()
            bucket = self._buckets[budget] = _Bucket(0.0, now)
        # What is lent only now has earned nothing until now
        passed, earning = now - bucket.at, min(parts, bucket.parts)
        bucket.at, bucket.parts = now, parts
        bucket.level = min(burst, bucket.level + passed * earning / self.fronts / slot)
        if not parts or bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        self.granted += 1
        return True

    def reset_accrual(self, now: int) -> None:
        """Guards against a moment in which we stood still ourselves, and then grant what had gathered."""
        for bucket in self._buckets.values():
            bucket.at = now
