"""The core with one guard taken out each: the simulation must find every one (tests, `ponddoor seats
mutants`)."""

from dataclasses import dataclass, fields, replace
from typing import Any

from ponddoor.seats.core import Effect, Key, LeaseRequest, Seats, Timing
from ponddoor.seats.simulation import Schedule, random_schedule


class NoFence(Seats):
    """A home that takes words from before its restart."""

    def _receive_request(self, now: int, peer: int, request: LeaseRequest) -> list[Effect]:
        return super()._receive_request(now, peer, replace(request, home_epoch=self.epoch))


class NotDurable(Seats):
    """Grants and loans go out before their record is durable."""

    def _when_durable(self, number: int, effect: Effect, now: int) -> list[Effect]:
        return self._release(now, effect)


class NoGeneration(Seats):
    """Any generation passes for the newest."""

    def renew(self, now: int, ticket: int, key: Key, seat: str, viewer: str, generation: int) -> list[Effect]:
        held = self.share(key).seats.get(seat)
        shown = held.generation if held is not None else generation
        return super().renew(now, ticket, key, seat, viewer, shown)


@dataclass(frozen=True, slots=True)
class NoMargin(Timing):
    """A lease that runs as long at the borrower as at the home, whatever their clocks do."""

    def lender_lease(self) -> int:
        return self.lease

    def borrower_lease(self) -> int:
        return self.lease


class NoDriftMargin(Seats):
    """Leases without the margin for drift."""

    def __init__(self, me: int, fronts: int, limits: dict[Key, int], timing: Timing, *rest: int) -> None:
        bare: dict[str, Any] = {field.name: getattr(timing, field.name) for field in fields(timing)}
        super().__init__(me, fronts, limits, NoMargin(**bare), *rest)


def drifting(seed: int) -> Schedule:
    """Clocks that drift far, and fronts cut off for longer than a lease: where the margin matters."""
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


def restarting(seed: int) -> Schedule:
    """Homes that restart often and at once, and words that arrive long after they were sent."""
    plan = random_schedule(seed)
    return replace(
        plan, timing=replace(plan.timing, surplus_retention=200_000), limit=4, duration_s=40,
        loss_ratio=0.0, late_ratio=0.3, duplicate_ratio=0.5, crashes=60, disk_loss_ratio=0.0, viewers=24,
        fronts=3, max_downtime=200_000,
    )  # fmt: skip


MUTANTS: dict[str, tuple[type[Seats], Any]] = {
    "the fencing number": (NoFence, restarting),
    "the drift margin": (NoDriftMargin, drifting),
    "durable before granted": (NotDurable, random_schedule),
    "the generation check": (NoGeneration, random_schedule),
}
