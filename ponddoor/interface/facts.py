"""A front's configuration, which its host passes to the decisions at the start and with each NewTerms.

Names of classes and fields are written to traces. Times and durations are in microseconds, rates in kB a
second.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a SETUP that may have run can be sent again: always, only where the servers remember its key,
    or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers share their memory of the keys of SETUPs."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reporting(Enum):
    """When servers report their load: in their answers to SETUPs, in answers to probes, or never."""

    INLINE = "inline"
    ON_PROBE = "on_probe"
    OFF = "off"


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """The terms of one service group.

    `start_target` is the time within which a session should start and `setup_timeout` the time after which a
    SETUP counts as failed. `memory` is how long servers remember a key, for the servers in `scope`. `floor`
    and `top` are its lowest and highest rung, `seats` the sessions that may hold one title at a time (0: no
    limit). Viewers of one `live` title at one rung share a stream. `rate_factor` multiplies the rates of the
    ladder."""

    name: str
    start_target: int
    setup_timeout: int
    utility: float
    effect: Effect
    scope: Scope
    memory: int
    floor: int
    top: int
    seats: int
    live: bool
    rate_factor: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, with the requests a second over all fronts that are within its quota, and its share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(frozen=True, slots=True)
class Ladder:
    """The rungs, with the rate and the utility of each.

    `switch_cost_s` is the cost of a change of rung, in seconds of utility, and `short_cost` that of a stream
    delivered short. `join` is the part of its rate that a further viewer of a shared live stream adds."""

    rate_kb: tuple[float, ...]
    utility: tuple[float, ...]
    switch_cost_s: float
    short_cost: float
    join: float


@dataclass(frozen=True, slots=True)
class Plant:
    """The servers, links and racks, as configured.

    `kb_per_weight` is a link's capacity per unit of its server's weight, `uplink_kb` that of each rack's
    uplink. `streams` has the nominal streams of each kind of server. Servers refuse SETUPs when the load
    ratio of their link is over `refuse_at` (0: they do not). Notes come `note_delay` late, every
    `note_every`."""

    cells: int
    racks: int
    kb_per_weight: float
    uplink_kb: float
    streams: tuple[int, ...]
    refuse_at: float
    note_delay: int
    note_every: int

    def holds(self, cell: int, home: int, span: int) -> bool:
        """Whether a cell holds titles of this home and span."""
        return (cell - home) % self.cells < span

    def racks_of(self, home: int, span: int) -> list[int]:
        """The racks that hold titles of this home and span, that of the home cell first."""
        racks = self.racks or 1
        return list(
            dict.fromkeys((home + offset) % self.cells % racks for offset in range(min(span, self.cells)))
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the rules that SETUPs must keep, whatever the decisions prefer.

    `cold` is how long a server warms up after its start; `cold_from` is the part of its pace with which it
    begins. In any window of `fall`, a cold server may get `fall_multiple` times its pace at that warmth. A
    SETUP may still go to a draining server within `drain_grace` of the news, and a viewer may be answered
    `answer_grace` after its time. `spare_setups` plus `resend_ratio` times the requests within `resend_span`
    is the budget for further SETUPs (None: no limit). `ask_every` is not used by the decisions."""

    cold: int
    cold_from: float
    drain_grace: int
    fall_multiple: float
    fall: int
    answer_grace: int
    ask_every: int
    spare_setups: int | None
    resend_ratio: float
    resend_span: int


@dataclass(frozen=True, slots=True)
class Permissions:
    """The mechanisms that the operator allows, and their limits.

    `come_back` is whether a busy-reply may advise when to ask again, after `max_come_back` at most."""

    probes: bool
    messages: bool
    cancel: bool
    max_attempts: int
    come_back: bool
    max_come_back: int
    connect_timeout: int


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that the score loses for each session that crosses zones, probe, message of full size and
    move."""

    cross_zone: float
    probe: float
    message: float
    move: float


@dataclass(frozen=True, slots=True)
class SiteFacts:
    """The whole configuration of one front.

    `me` is its number among all `fronts`. `asked_discovery` is whether the list of servers comes only on
    request and not by itself; `report_fields` are the fields of a load report. A request over its tenant's
    quota has `over_share_utility` times its utility. `wall` is what to add to the front's own clock for the
    Unix time, as of its start."""

    me: int
    fronts: int
    zone: int
    seed: int
    asked_discovery: bool
    reporting: Reporting
    report_fields: tuple[str, ...]
    over_share_utility: float
    groups: tuple[ServiceGroup, ...]
    tenants: tuple[Tenant, ...]
    ladder: Ladder
    plant: Plant
    rules: Rules
    permissions: Permissions
    prices: Prices
    wall: int = 0
