"""Variants of the fleet's classes that each lack one guard, with schedules in which that guard matters.

The simulation must find every one: in the tests, and with `ponddoor fleet simulate --without NAME`."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from ponddoor.fleet.counts import Counts
from ponddoor.fleet.evidence import Evidence, Observation
from ponddoor.fleet.presence import Presence
from ponddoor.fleet.shares import Shares
from ponddoor.fleet.simulation import Schedule, drawn
from ponddoor.fleet.view import Fleet, Terms
from ponddoor.interface.facts import SiteFacts


class UnfencedShares(Shares):
    """A borrower accepts what was lent to its earlier incarnation."""

    def accept_lease(
        self, now: int, front: int, is_current: bool, number: int, groups: tuple[int, ...]
    ) -> bool:
        return super().accept_lease(now, front, True, number, groups)


class UnexpiringShares(Shares):
    """The lease lasts far longer at the borrower than at the lender."""

    def _borrower_lease(self) -> int:
        return 4 * self.lease


class MarginlessShares(Shares):
    """Leases have no margin for clock drift."""

    def _lender_lease(self) -> int:
        return self.lease

    def _borrower_lease(self) -> int:
        return self.lease


class TwiceLentShares(Shares):
    """A share is lent to any borrower, also while it is lent to another."""

    def may_lend(self, now: int, group: int, borrower: int, incarnation: int) -> bool:
        return True


class NoStartDelayShares(Shares):
    """A front uses its share right after its start, although its earlier incarnation may have lent it."""

    def may_use_own(self, now: int, group: int) -> bool:
        self._own_share_usable_at = now
        return super().may_use_own(now, group)


class LentUseShares(Shares):
    """A front uses its own share even while it is lent."""

    def may_use_own(self, now: int, group: int) -> bool:
        return now >= self._own_share_usable_at


class AnyIncarnationCounts(Counts):
    """Updates of an earlier incarnation are applied like any other."""

    def update(
        self,
        now: int,
        front: int,
        incarnation: int,
        stamp: int,
        full: bool,
        rows: Iterable[tuple[int, float, bool]],
    ) -> set[int]:
        origin = self.origins.get(front)
        return super().update(
            now,
            front,
            incarnation if origin is None else max(incarnation, origin.incarnation),
            stamp,
            full,
            rows,
        )


class AnyStampCounts(Counts):
    """The update that arrives last wins, in whatever order they were sent."""

    def update(
        self,
        now: int,
        front: int,
        incarnation: int,
        stamp: int,
        full: bool,
        rows: Iterable[tuple[int, float, bool]],
    ) -> set[int]:
        origin = self.origins.get(front)
        if origin is not None and origin.incarnation == incarnation:
            for key, _, _ in list(rows):
                if key in origin.cells:
                    origin.cells[key].stamp = min(origin.cells[key].stamp, stamp - 1)
        return super().update(now, front, incarnation, stamp, full, rows)


class AnyIncarnationPresence(Presence):
    """Messages of an earlier incarnation are accepted like any other."""

    def accept_message(self, now: int, front: int, incarnation: int) -> bool:
        member = self.members.get(front)
        return super().accept_message(
            now, front, max(incarnation, member.incarnation) if member is not None else incarnation
        )


class _FleetWith(Fleet):
    """A Fleet with other classes for its parts."""

    shares_kind: type[Shares] = Shares
    counts_kind: type[Counts] = Counts
    evidence_kind: type[Evidence] = Evidence
    presence_kind: type[Presence] = Presence
    drift: float = 0.01

    def __init__(self, facts: SiteFacts, now: int, terms: Terms, groups: int) -> None:
        super().__init__(facts, now, terms, groups)
        self.shares = self.shares_kind(facts.fronts, now, terms.lease, self.drift)
        self.counts = self.counts_kind()
        self.evidence = self.evidence_kind(terms.evidence_ttl)
        incarnation, seed = self.presence.incarnation, facts.seed
        self.presence = self.presence_kind(facts.me, facts.fronts, incarnation, now, terms.timing, seed)


class RepeatCountingEvidence(Evidence):
    """Each report counts as one of a further witness, also of the same front."""

    def record(
        self, now: int, witness: int, incarnation: int, stamp: int, server: int, observation: Observation
    ) -> bool:
        return super().record(now, witness * 100_000 + stamp, incarnation, stamp, server, observation)


def _fleet_with(**kinds: Any) -> type[Fleet]:
    return type("_Made", (_FleetWith,), kinds)


def restarting(seed: int) -> Schedule:
    """Fronts crash often, and messages arrive long after they were sent."""
    return replace(drawn(seed), crashes=20, slow=0.3, double=0.3, loss=0.0, cuts=0, fronts=5, late=2_000_000,
                   wall_steps=0.0, rogues=0, max_downtime=300_000)  # fmt: skip


def drifting(seed: int) -> Schedule:
    """Clocks drift by as much as a wide margin allows, and the queries move between owners."""
    return replace(
        drawn(seed), drift=0.2, loss=0.0, slow=0.0, crashes=0, pauses=0, cuts=6, fronts=5, rogues=0
    )


def with_rogue(seed: int) -> Schedule:
    """One front sends invalid messages."""
    return replace(drawn(seed), rogues=1, fronts=5, loss=0.0)


def partitioned(seed: int) -> Schedule:
    """Many partitions, so that the queries move between owners."""
    return replace(drawn(seed), cuts=6, crashes=0, pauses=0, fronts=5, seconds=20)


WIDE_MARGIN = _fleet_with(drift=0.2)  # no guard is missing; the margin fits `drifting`
MUTANTS: dict[str, tuple[type[Fleet], Any]] = {
    "the fence": (_fleet_with(shares_kind=UnfencedShares), restarting),
    "the expiry": (_fleet_with(shares_kind=UnexpiringShares), partitioned),
    "the drift margin": (_fleet_with(shares_kind=MarginlessShares, drift=0.2), drifting),
    "one holder of a part": (_fleet_with(shares_kind=TwiceLentShares), partitioned),
    "silence after a start": (_fleet_with(shares_kind=NoStartDelayShares), restarting),
    "the safe part": (_fleet_with(shares_kind=LentUseShares), drawn),
    "the life": (
        _fleet_with(counts_kind=AnyIncarnationCounts, presence_kind=AnyIncarnationPresence),
        restarting,
    ),
    "the stamp": (_fleet_with(counts_kind=AnyStampCounts), restarting),
    "independence": (_fleet_with(evidence_kind=RepeatCountingEvidence), with_rogue),
}
