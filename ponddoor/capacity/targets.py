"""The target of the fleet ahead, from an S-expression file: what the operators tell, and our readings of it.

`(target NAME (fronts N) (connections N) ... (failures ...) (readings ...))`; docs/capacity/target.pond has
all fields."""

import math
from dataclasses import dataclass, replace
from pathlib import Path

from ponddoor.settings.check import SIZES, TIMES, Form, top_form
from ponddoor.settings.sexpr import Problem, SettingsError, read

SECOND = 1_000_000
_LONG = 1_000_000 * 86_400 * 400  # us: the longest span of a failure


@dataclass(frozen=True, slots=True)
class Failure:
    """One failure of the target's list: so often in `span` us; takes so many fronts; `lasts` us, or 0."""

    name: str
    often: float
    span: int
    fronts: int
    lasts: int
    reading: str


@dataclass(frozen=True, slots=True)
class Reading:
    """A value that the operators did not tell, and why we take it."""

    name: str
    value: str
    reason: str


@dataclass(frozen=True, slots=True)
class Target:
    """Everything a target file says. Times in us, memory and bytes in bytes, cores as shares of one."""

    name: str
    fronts: int
    connections: int
    shards: int
    listeners: int
    deliveries: float  # a second
    delivery_within: int
    delivery_part: float
    regions: int
    zones: int
    changes: float  # a day
    change_within: int
    control_core: float
    control_memory: int
    control_bytes: int  # a second
    machines: int
    failures: tuple[Failure, ...]
    servers: tuple[int, ...]  # two values at least: nobody told how many
    stays: tuple[int, ...]  # how long a session lasts: two values at least
    day: int
    machine_cores: int
    machine_memory: int
    fill: float
    instance_core: float
    readings: tuple[Reading, ...]

    @property
    def sessions(self) -> float:
        """Connections that one front node holds; each is taken for a session."""
        return self.connections / self.fronts

    @property
    def delivered(self) -> float:
        """Deliveries of one front node in a second."""
        return self.deliveries / self.fronts

    @property
    def each(self) -> float:
        """Seconds between two deliveries to one connection."""
        return self.connections / self.deliveries

    def holders(self, servers: int) -> int:
        """Servers that the largest topic needs at least, where every server bears as many sessions."""
        return max(1, math.ceil(self.listeners * servers / self.connections))


def load_target(path: Path) -> Target:
    """The target a file describes. Raises SettingsError with all that is wrong."""
    problems: list[Problem] = []
    top = top_form(read(path), "target", str(path), problems)
    name = top.name().text
    deliveries, places, changes, control = (
        _needed(top, part) for part in ("deliveries", "places", "changes", "control")
    )
    failures = _needed(top, "failures")
    held = [_failure(text, form) for text, form in failures.named("failure", "failure")]
    if not held:
        failures.problem(failures.place, "no failure", "(failure NAME ...) once at least")
    read_in = _needed(top, "readings")
    readings: list[Reading] = []
    servers = tuple(round(_amount(form, readings, 1, 1e6)) for form in read_in.many("servers"))
    if len(servers) < 2:
        read_in.problem(read_in.place, f"{len(servers)} of (servers N ...)", "two values at least")
    stays = tuple(_span(form, readings) for form in read_in.many("session"))
    if len(stays) < 2:
        read_in.problem(read_in.place, f"{len(stays)} of (session TIME ...)", "two values at least")
    day = read_in.one("day")
    machine = _needed(read_in, "machine")
    target = Target(
        name=name,
        fronts=top.whole("fronts", low=1, high=1_000_000),
        connections=top.whole("connections", low=1, high=10**12),
        shards=top.whole("shards", low=1, high=10**9),
        listeners=top.whole("listeners", low=1, high=10**12),
        deliveries=deliveries.number("rate", low=0.001),
        delivery_within=deliveries.time("within", low=1),
        delivery_part=deliveries.number("part", low=0.01, high=1.0),
        regions=places.whole("regions", low=1, high=1000),
        zones=places.whole("zones", low=1, high=1000),
        changes=changes.number("a-day", low=0.001),
        change_within=changes.time("within", low=1),
        control_core=control.number("core", low=1e-6, high=1000.0),
        control_memory=_bytes(control, "memory"),
        control_bytes=_bytes(control, "bytes"),
        machines=top.whole("machines", low=1, high=10_000),
        failures=tuple(held),
        servers=servers,
        stays=stays,
        day=_span(day, readings) if day else 1,
        machine_cores=machine.whole("cores", low=1, high=10_000),
        machine_memory=_bytes(machine, "memory"),
        fill=_share(read_in, "fill", readings),
        instance_core=_share(read_in, "instance", readings),
        readings=(),
    )
    shown = f"{target.machine_cores} cores, {target.machine_memory / 1e9:g} GB"
    readings.append(Reading("machine", shown, machine.text("reason")))
    for form in (deliveries, places, changes, control, failures, machine, read_in):
        form.done()
    top.done(words=1)
    if problems:
        raise SettingsError(sorted(problems, key=lambda p: (p.place.line, p.place.column)))
    return replace(target, readings=tuple(readings))


def _needed(form: Form, name: str) -> Form:
    return form.one(name) or form.section(name)


def _bytes(form: Form, name: str) -> int:
    got = form.value(name, None, lambda atom: form.measure(atom, SIZES, 1, 1e15))
    return round(got or 1)


def _failure(name: str, form: Form) -> Failure:
    made = Failure(
        name,
        form.number("often", low=0.001),
        form.time("span", low=1, high=_LONG),
        form.whole("fronts", high=1_000_000),
        form.time("lasts", 0, high=_LONG),
        form.text("reading"),
    )
    form.done(words=1)
    return made


def _amount(form: Form, readings: list[Reading], low: float, high: float) -> float:
    """The one number of `(NAME N (reason "..."))`, noted as a reading."""
    got = form.measure(form.name(), {}, low, high)
    readings.append(Reading(form.node.head, str(form.name()), form.text("reason")))
    form.done(words=1)
    return low if got is None else got


def _share(form: Form, name: str, readings: list[Reading]) -> float:
    held = form.one(name)
    return _amount(held, readings, 0.001, 1.0) if held else 1.0


def _span(form: Form, readings: list[Reading]) -> int:
    got = form.measure(form.name(), TIMES, 1, _LONG)
    readings.append(Reading(form.node.head, str(form.name()), form.text("reason")))
    form.done(words=1)
    return round(got or 1)
