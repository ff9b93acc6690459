"""Shares of a budget that all fronts spend together, such as the set-ups that a cold server can take.

The limit is divided into equal shares, one for each front of the fleet, alive or not: the shares add up to
the limit whatever fronts are partitioned. A front that does not need its share lends it to an owner of the
group, for the time of a lease; the owner (here: the borrower) grants single sends from the shares lent to
it to any front that asks. Seats are lent in the same way (docs/notes/seats.md) with the roles reversed:
there a home lends what is its own, here each front is the home of its share and the group owner borrows it.

Why the sum stays within the limit: a share is lent in response to a borrower's lease request. The lender
counts the lease from its response, plus a margin for clock drift, and does not use its share meanwhile; the
borrower counts it from its request, less the margin. So the borrower stops before the lender resumes,
whatever is lost or late. Requests are numbered, and the borrower's incarnation is the fencing token: a
response to a request of an earlier incarnation lends nothing. A front that has just started may have lent
its share in its previous incarnation, and does not use it for the time of a lease. A grant is one send,
valid for as long as the asker waits for its reply. No state needs to survive a restart."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_LEASE_REQUESTS = 64  # of one front, that a response may still arrive for


@dataclass(slots=True)
class _Lender:
    """The lease requests to one front, and until when its shares are lent to us, by group."""

    number: int = 0
    requested_at: "OrderedDict[int, int]" = field(default_factory=OrderedDict)  # by request number
    until: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Bucket:
    """The token bucket of one budget: sends that may be granted, as of a time, with so many shares lent."""

    level: float
    updated_at: int
    shares: int = 0


class Shares:
    """One front's own shares, and those lent to it. All budgets of a group are lent together."""

    def __init__(self, fronts: int, now: int, lease: int, drift: float = 0.01) -> None:
        self.fronts, self.lease, self.drift = fronts, lease, drift
        self._own_share_usable_at = now + self._lender_lease()
        self._lent: dict[int, tuple[int, int, int]] = {}  # group: end of lease, borrower, its incarnation
        self._lenders: dict[int, _Lender] = {}
        self._buckets: dict[int, _Bucket] = {}
        self.granted = self.fenced = 0

    def _lender_lease(self) -> int:
        return round(self.lease * (1 + 2 * self.drift))

    def _borrower_lease(self) -> int:
        return round(self.lease * (1 - 2 * self.drift))

    # The lender

    def may_lend(self, now: int, group: int, borrower: int, incarnation: int) -> bool:
        """Whether our share of a group may be lent to a borrower.

        A share must not be lent to two: one lent to another borrower, or possibly by our previous
        incarnation, stays so until that lease has ended. A borrower's later incarnation cannot use what was
        lent to an earlier one, so it may be lent the share anew."""
        if now < self._own_share_usable_at:
            return False
        until, lent_to, lent_incarnation = self._lent.get(group, (now, borrower, incarnation))
        return now >= until or (lent_to == borrower and lent_incarnation <= incarnation)

    def lend(self, now: int, groups: tuple[int, ...], borrower: int, incarnation: int) -> None:
        """Marks our shares of these groups as lent; call it when the ShareLease is sent."""
        for group in groups:
            self._lent[group] = now + self._lender_lease(), borrower, incarnation

    def may_use_own(self, now: int, group: int) -> bool:
        """Whether our own share may be used: it is not lent, and cannot be by our previous incarnation."""
        return now >= self._own_share_usable_at and now >= self._lent.get(group, (now, 0, 0))[0]

    # The borrower

    def lease_request(self, now: int, front: int) -> int:
        """The number of the lease request to send to a front, under which it may lend its shares."""
        lender = self._lenders.setdefault(front, _Lender())
        last = next(reversed(lender.requested_at.values()), None)
        if last is not None and now - last < self.lease // 8:
            return lender.number  # repeats a recent request, whose lease counts from the first time
        lender.number = lender.number % 65535 + 1
        lender.requested_at[lender.number] = now
        while len(lender.requested_at) > MAX_LEASE_REQUESTS:
            lender.requested_at.popitem(last=False)
        return lender.number

    def accept_lease(
        self, now: int, front: int, is_current: bool, number: int, groups: tuple[int, ...]
    ) -> bool:
        """Accepts shares that a front lends in response to a request; `is_current`: of our current
        incarnation.

        False if the request is unknown or of an earlier incarnation, or if the lease has already ended."""
        lender = self._lenders.get(front)
        requested_at = lender.requested_at.get(number) if lender is not None else None
        if not is_current or lender is None or requested_at is None:
            self.fenced += 1
            return False
        until = requested_at + self._borrower_lease()
        for group in groups:
            lender.until[group] = max(lender.until.get(group, 0), until)
        return until > now

    def lenders_of(self, now: int, group: int) -> set[int]:
        """The fronts whose shares of a group are lent to us now."""
        return {front for front, lender in self._lenders.items() if lender.until.get(group, 0) > now}

    def grant(self, now: int, group: int, budget: int, slot: float, burst: float) -> bool:
        """Grants one send of a budget if the shares lent to us allow it.

        The whole fleet may send once in each `slot` (us); we grant that rate times the share of the fleet
        that has lent to us, with up to `burst` sends at once."""
        shares = len(self.lenders_of(now, group))
        bucket = self._buckets.get(budget)
        if bucket is None:
            if len(self._buckets) >= 4096:
                self._buckets.clear()
            bucket = self._buckets[budget] = _Bucket(0.0, now)
        # A share that was lent since the last update has earned nothing yet
        elapsed, earning = now - bucket.updated_at, min(shares, bucket.shares)
        bucket.updated_at, bucket.shares = now, shares
        bucket.level = min(burst, bucket.level + elapsed * earning / self.fronts / slot)
        if not shares or bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        self.granted += 1
        return True

    def reset_accrual(self, now: int) -> None:
        """Restarts accrual after a pause of this front, so that it does not grant what accrued meanwhile."""
        for bucket in self._buckets.values():
            bucket.updated_at = now
