"""Mutants of the core, each without one of its guards: the simulation must find a failing seed for each.

They are run by the tests and by `ponddoor seats simulate --without`."""

from dataclasses import dataclass, fields, replace
from typing import Any

from ponddoor.seats.core import Effect, Key, LeaseRequest, Seats, Timing
from ponddoor.seats.simulation import Schedule, random_schedule


class NoFencingTokenSeats(Seats):
    """A home that accepts requests from before its restart."""

    def _receive_request(self, now: int, peer: int, request: LeaseRequest) -> list[Effect]:
        return super()._receive_request(now, peer, replace(request, home_epoch=self.epoch))


class NoDurabilitySeats(Seats):
    """Sends grants and lease responses before their record is durable."""

    def _when_durable(self, number: int, effect: Effect, now: int) -> list[Effect]:
        return self._release(now, effect)


class NoGenerationCheckSeats(Seats):
    """Renews a seat whatever generation is presented."""

    def renew(self, now: int, ticket: int, key: Key, seat: str, viewer: str, generation: int) -> list[Effect]:
        held = self.share(key).seats.get(seat)
        newest = held.generation if held is not None else generation
        return super().renew(now, ticket, key, seat, viewer, newest)


@dataclass(frozen=True, slots=True)
class NoMarginTiming(Timing):
    """Leases that last as long at the borrower as at the home, whatever the drift of their clocks."""

    def lender_lease(self) -> int:
        return self.lease

    def borrower_lease(self) -> int:
        return self.lease


class NoDriftMarginSeats(Seats):
    """Leases without the margin for clock drift."""

    def __init__(self, me: int, fronts: int, limits: dict[Key, int], timing: Timing, *rest: int) -> None:
        values: dict[str, Any] = {field.name: getattr(timing, field.name) for field in fields(timing)}
        super().__init__(me, fronts, limits, NoMarginTiming(**values), *rest)


def drift_schedule(seed: int) -> Schedule:
    """Clocks with much drift, and fronts cut off for longer than a lease: here the drift margin matters."""
    plan = random_schedule(seed)
    timing = replace(plan.timing, drift_ratio=0.05, min_seat_lifetime=1000)
    return replace(
        plan,
        timing=timing,
        drift_ratio=0.05,
        loss_ratio=0.0,
        late_ratio=0.0,
        crashes=0,
        viewers=40,
        limit=4,
        fronts=3,
        partitions=8,
        duration_s=60,
    )


def restart_schedule(seed: int) -> Schedule:
    """Homes that crash often and restart at once, and messages that arrive long after they were sent."""
    plan = random_schedule(seed)
    return replace(
        plan, timing=replace(plan.timing, surplus_retention=200_000), limit=4, duration_s=40,
        loss_ratio=0.0, late_ratio=0.3, duplicate_ratio=0.5, crashes=60, disk_loss_ratio=0.0, viewers=24,
        fronts=3, max_downtime=200_000,
    )  # fmt: skip


# By the name of the missing guard: the mutant, and the schedules that expose it.
MUTANTS: dict[str, tuple[type[Seats], Any]] = {
    "the fencing number": (NoFencingTokenSeats, restart_schedule),
    "the drift margin": (NoDriftMarginSeats, drift_schedule),
    "durable before granted": (NoDurabilitySeats, random_schedule),
    "the generation check": (NoGenerationCheckSeats, random_schedule),
}
