"""What a front is told at its start."""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a set-up that may have run can be sent again."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers remember a keyed set-up together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reporting(Enum):
    """When servers report their load."""

    INLINE = "inline"
    ON_PROBE = "on_probe"
    OFF = "off"


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """The terms of one service group."""

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
    """A tenant and the requests a second, over all fronts, that lie within its share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(frozen=True, slots=True)
class Ladder:
    """The rungs: the rate of each in kB a second and what each earns."""

    rate_kb: tuple[float, ...]
    utility: tuple[float, ...]
    switch_cost_s: float
    short_cost: float
    join: float


@dataclass(frozen=True, slots=True)
class Plant:
    """What is told of servers, links and racks."""

    cells: int
    racks: int
    kb_per_weight: float
    uplink_kb: float
    streams: tuple[int, ...]
    refuse_at: float
    note_delay: int
    note_every: int

    def holds(self, cell: int, home: int, span: int) -> bool:
        """Whether a title of this home and span lies in a cell."""
        return (cell - home) % self.cells < span

    def racks_of(self, home: int, span: int) -> list[int]:
        """The racks that hold such a title, its home's first."""
        racks = self.racks or 1
        return list(dict.fromkeys((home + at) % self.cells % racks for at in range(min(span, self.cells))))


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules."""

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
    """What the site allows."""

    probes: bool
    messages: bool
    cancel: bool
    max_attempts: int
    come_back: bool
    max_come_back: int
    connect_timeout: int


@dataclass(frozen=True, slots=True)
class Prices:
    """Points of service taken off: for each session crossing zones, probe, full message and move."""

    cross_zone: float
    probe: float
    message: float
    move: float


@dataclass(frozen=True, slots=True)
class SiteFacts:
    """Everything a front is told at its start."""

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
    wall: int = 0  # us to add to the front's own clock for the Unix clock, as of its start
