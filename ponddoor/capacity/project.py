"""Reckons the target from records: each figure measured, interpolated or extrapolated, and how far."""

import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import ceil, isfinite, sqrt
from pathlib import Path

import msgspec

from ponddoor.capacity.fits import LEAST_REPETITIONS, LEAST_SIZES, Fit, Point, enough, fitted
from ponddoor.capacity.records import Record, RecordError, read
from ponddoor.capacity.rows import ROLES, Limit, Row, amounts, limits
from ponddoor.capacity.targets import SECOND, Target

UNITS = {  # as runs write them: in the rows', and by how much
    "words/s/front": ("1/s", 1.0),
    "words/s": ("1/s", 1.0),
    "bytes/s/front": ("B/s", 1.0),
    "B/s a front": ("B/s", 1.0),
    "B/s an instance, most": ("B/s", 1.0),
    "cores an instance, most": ("core", 1.0),
    "MB, most": ("B", 1e6),
    "MB": ("B", 1e6),
}
_KNOWN = re.compile(r"know\.([a-z0-9-]+)\.(dead|alive)\.(50|99)")
_PLACED = re.compile(r"(scale\.know\.(?:dead|alive)\.(?:half|p99))\.([a-z]+)-\d+")
UNREACHED = "-unreached"  # behind a condition: the run ended before it came about
BUSY = "-busy"  # behind a condition: the machine was too busy, the run says nothing
SAME = 0.005  # a size counts as measured where it lies off by no more


class Mark(Enum):
    """How a figure is known."""

    MEASURED = "measured"
    INTERPOLATED = "interpolated"
    EXTRAPOLATED = "extrapolated"
    LAST = "last measured"  # at another size; no fit is claimed
    NONE = "not measured"


class Verdict(Enum):
    """How a need stands to its limit."""

    WITHIN = "within"
    OVER = "over"
    OPEN = "open"  # nothing is claimed at the target
    NO_LIMIT = "no limit stated"


@dataclass(frozen=True, slots=True)
class Series:
    """All figures of one need, run in one way."""

    what: str
    under: str
    of: str
    unit: str
    how: str
    points: tuple[Point, ...]
    unreached: frozenset[float]  # sizes of which a repetition at least was not reached

    def mean(self, size: float) -> float:
        found = [point.figure for point in self.points if point.size == size]
        return sum(found) / len(found)

    @property
    def sizes(self) -> list[float]:
        return sorted({point.size for point in self.points})

    @property
    def repetitions(self) -> int:
        """The fewest of a size."""
        return min(sum(point.size == size for point in self.points) for size in self.sizes)


def crossing(need: Callable[[float], float], limit: float, first: float, last: float) -> float | None:
    """The least size from `first` to `last` at which a need is over a limit; None where none is."""
    if need(first) > limit:
        return first
    if need(last) <= limit:
        return None
    low, high = first, last
    for _ in range(200):
        middle = sqrt(low * high)
        low, high = (low, middle) if need(middle) > limit else (middle, high)
    return high


@dataclass(frozen=True, slots=True)
class Projection:
    """One row at one size of the target."""

    row: Row
    size: float  # of the target
    series: Series | None
    fit: Fit | None
    mark: Mark
    figure: float  # in the row's total unit
    known_at: float  # the size it was measured at, or the nearest measured one
    more: bool  # the run ended first: the figure is a lower bound
    limit: Limit | None
    factor: float  # what the record's figure is multiplied by at the target's size

    @property
    def unit(self) -> str:
        return self.row.total or self.row.unit

    @property
    def far(self) -> float:
        """The target's size in multiples of the nearest measured one."""
        return self.size / self.known_at if self.known_at else 0.0

    @property
    def verdict(self) -> Verdict:
        if self.limit is None:
            return Verdict.NO_LIMIT
        if self.mark is Mark.NONE:
            return Verdict.OPEN
        if self.figure > self.limit.most:
            return Verdict.OVER
        return Verdict.OPEN if self.mark is Mark.LAST or self.more else Verdict.WITHIN

    def need(self, size: float, figure: float) -> float:
        """What a record's figure at a size means; what is multiplied is spread evenly over the size."""
        return figure * self.factor * (size / self.size if self.row.times else 1.0)

    def fitted(self, size: float) -> float:
        """The need at a size by the fit."""
        return self.need(size, self.fit.at(size)) if self.fit is not None else 0.0

    @property
    def measured(self) -> dict[float, float]:
        """The mean need at each measured size."""
        held = self.series
        return {} if held is None else {size: self.need(size, held.mean(size)) for size in held.sizes}

    @property
    def over_from(self) -> float | None:
        """The least size at which the need is over its limit, by the fit or else of those measured."""
        if self.limit is None or self.series is None:
            return None
        if self.fit is not None:
            last = max(self.size, self.series.sizes[-1])
            return crossing(self.fitted, self.limit.most, 1.0, last)
        return next((size for size, need in self.measured.items() if need > self.limit.most), None)


Key = tuple[str, str, str]


def read_files(folder: Path) -> dict[str, list[Record]]:
    """The records of a folder by the name of their file. Raises RecordError, also where a record can't be of
    a measurement or two of one need have different units."""
    found = {path.name: read(path) for path in sorted(folder.glob("*.jsonl"))}
    units: dict[str, tuple[str, str]] = {}
    for name, records in found.items():
        for number, record in enumerate(records, 1):
            place = f"{folder / name}:{number}"
            if not (isfinite(record.size) and record.size > 0 and isfinite(record.figure)):
                told = f"size {record.size}, figure {record.figure}"
                raise RecordError(f"{place}: {told}: finite ones, a size over 0")
            same = canonical(record)
            first = units.setdefault(same.what, (same.unit, place))
            if same.unit != first[0]:
                raise RecordError(f"{place}: {same.what} in {same.unit}, but in {first[0]} at {first[1]}")
    return found


def canonical(record: Record) -> Record:
    """A record in the names and units of the rows: runs that write their tables themselves say more in their
    units (`B/s a front`), and put a failure into the name of a time to know."""
    unit, by = UNITS.get(record.unit, (record.unit, 1.0))
    what, under = record.what, record.under
    known = _KNOWN.fullmatch(what)
    if known is not None:
        what, under = f"know.{known[2]}.{'half' if known[3] == '50' else 'p99'}", known[1]
    placed = _PLACED.fullmatch(what)
    if placed is not None:
        what, under = placed[1], placed[2]
    if (what, under, unit) == (record.what, record.under, record.unit):
        return record
    return msgspec.structs.replace(record, what=what, under=under, unit=unit, figure=record.figure * by)


def left_out(record: Record) -> bool:
    """Whether a record is in no table."""
    return record.how == "trial" or record.under.endswith(BUSY)


def series_of(records: Iterable[Record]) -> dict[Key, list[Series]]:
    """Records by need, one series for each way of running, the fullest first.

    Trials are left out: they are of no text that stands; and so are runs on too busy a machine. Where a
    repetition of a size was measured again at another commit, what comes last in the files counts alone."""
    kept: dict[tuple[str, str, str, str, float], list[Record]] = defaultdict(list)
    for record in records:
        if left_out(record):
            continue
        record = canonical(record)
        under = record.under.removesuffix(UNREACHED)
        held = kept[record.what, under, record.of, record.how, record.size]
        run = (record.seed, record.repetition)
        held[:] = [one for one in held if (one.seed, one.repetition) != run or one.commit == record.commit]
        held.append(record)
    grouped: dict[tuple[str, str, str, str], list[Record]] = defaultdict(list)
    for (what, under, of, how, _), held in kept.items():
        grouped[what, under, of, how] += held
    found: dict[Key, list[Series]] = defaultdict(list)
    for (what, under, of, how), held in grouped.items():
        # Runs by hand number each seed 0: a repetition is the place among those of its size.
        counts: dict[float, int] = defaultdict(int)
        points = []
        for one in held:
            points.append(Point(one.size, counts[one.size], one.figure))
            counts[one.size] += 1
        late = frozenset(one.size for one in held if one.under.endswith(UNREACHED))
        found[what, under, of].append(Series(what, under, of, held[0].unit, how, tuple(points), late))
    for several in found.values():
        several.sort(key=lambda one: (not enough(one.points), -len(one.sizes), -one.sizes[-1], one.how))
    return dict(found)


def projected(row: Row, target: Target, series: Mapping[Key, list[Series]]) -> list[Projection]:
    """A row at each size that the target has for it. Raises RecordError where records have another unit."""
    sizes = amounts(target)
    limit = limits(target)[row.limit] if row.limit else None
    factor = sizes[row.times][0] if row.times else 1.0
    held = series.get((row.what, row.under, row.of))
    wanted = list(dict.fromkeys(sizes[row.at or row.of]))
    if not held:
        return [
            Projection(row, size, None, None, Mark.NONE, 0.0, 0.0, False, limit, factor) for size in wanted
        ]
    if held[0].unit != row.unit:
        raise RecordError(f"{row.what} {row.under}: records in {held[0].unit}, expected {row.unit}")
    return [at_size(row, size, held[0], limit, factor) for size in wanted]


def at_size(row: Row, size: float, series: Series, limit: Limit | None, factor: float = 1.0) -> Projection:
    """What a series says of a size."""
    # Where a run ended first its figure is no point of a curve.
    fit = None if series.unreached else fitted(series.points)
    least, most = series.sizes[0], series.sizes[-1]
    near = min(series.sizes, key=lambda one: abs(one - size))
    if abs(near - size) <= SAME * size:
        mark, figure, at = Mark.MEASURED, series.mean(near), near
    elif fit is None:
        mark, figure, at = Mark.LAST, series.mean(most), most
    else:
        mark = Mark.INTERPOLATED if least <= size <= most else Mark.EXTRAPOLATED
        figure, at = fit.at(size), (most if size >= least else least)
    more = at in series.unreached
    made = Projection(row, size, series, fit, mark, figure, at, more, limit, factor)
    return replace(made, figure=made.need(at if mark is Mark.LAST else size, figure))


def why_unfitted(series: Series) -> str:
    """Why a series has no fit."""
    if series.unreached:
        return "not reached within the run"
    if len(series.sizes) < LEAST_SIZES:
        return f"{len(series.sizes)} of the {LEAST_SIZES} sizes that a fit needs"
    if not enough(series.points):
        return f"{series.repetitions} of the {LEAST_REPETITIONS} repetitions that a fit needs"
    return "no form fits"


@dataclass(frozen=True, slots=True)
class Crossing:
    """A need that fails on the way to the target: from so many fronts on, if every amount grows in step."""

    projections: tuple[Projection, ...]  # the first to fail of them first
    fronts: float
    missing: bool  # no mechanism at all

    @property
    def first(self) -> Projection:
        return self.projections[0]

    @property
    def stated(self) -> bool:
        """Whether the operators state the limit."""
        return self.first.limit is not None and self.first.limit.stated


def ranking(projections: Iterable[Projection], target: Target, root: Path) -> list[Crossing]:
    """What fails, the smallest fleet first, at one fleet what the operators state first. One line for each
    mechanism that is missing, and for each need over all conditions that it fails under."""
    missing: dict[str, list[Projection]] = defaultdict(list)
    over: dict[tuple[str, str], list[tuple[float, Projection]]] = defaultdict(list)
    for one in projections:
        if one.limit is None and one.row.module:
            continue
        if not one.row.module or not (root / one.row.module).exists():
            missing[one.row.module or one.row.since].append(one)
        elif one.verdict is Verdict.OVER:
            # Over at the target alone where no less size shows it.
            part = min(1.0, (one.over_from or one.size) / one.size)
            over[one.row.what, one.row.of].append((max(1.0, part * target.fronts), one))
    found = [Crossing(tuple(held), 1.0, True) for held in missing.values()]
    for several in over.values():
        several.sort(key=lambda pair: (pair[0], -pair[1].figure))
        found.append(Crossing(tuple(one for _, one in several), several[0][0], False))
    return sorted(found, key=lambda one: (one.fronts, not one.missing, not one.stated, one.first.row.what))


@dataclass(frozen=True, slots=True)
class Processes:
    """How many processes one front node needs, by each need that bounds what one process takes."""

    bounds: tuple[tuple[str, float, Projection], ...]  # need, sessions that one process bears, from what
    needed: int  # a node; 0 where nothing bounds it
    memory: float  # of all processes of a node; 0 where it is not measured

    @property
    def counted(self) -> bool:
        return self.needed > 0


def processes(target: Target, found: Mapping[Key, list[Projection]]) -> Processes:
    """Processes a node, where every process takes its part of the node's viewers.

    A process bears what keeps its processor under the `fill`, its 99th percentile and its longest stretch
    under the limit; what was not measured bounds nothing, and the page says so."""
    bounds: list[tuple[str, float, Projection]] = []
    for key, name in (
        (("delivery.cpu", "delivering", "connections"), "processor of deliveries"),
        (("delivery.p99", "delivering", "connections"), "99 in 100 deliveries in time"),
        (("resize.stretch", "all", "sessions"), "longest stretch of the loop"),
    ):
        one = _one(found, key)
        if one is None or one.series is None or one.limit is None:
            continue
        if one.fit is None:
            # No more is claimed than what was measured to be in time; the least size where none was.
            within = [size for size, need in one.measured.items() if need <= one.limit.most]
            bounds.append((name, max(within, default=one.series.sizes[0]), one))
        elif one.over_from is not None:
            bounds.append((name, one.over_from, one))
    needed = max((ceil(target.sessions / bound) for _, bound, _ in bounds), default=0)
    memory = _one(found, ("viewers.memory", "delivering", "connections"))
    total = 0.0
    if needed and memory is not None and memory.series is not None:
        total = needed * at_size(memory.row, target.sessions / needed, memory.series, None).figure
    return Processes(tuple(bounds), needed, total)


def _one(found: Mapping[Key, list[Projection]], key: Key) -> Projection | None:
    held = found.get(key)
    return held[0] if held and held[0].mark is not Mark.NONE else None


def project(target: Target, records: Iterable[Record]) -> dict[Key, list[Projection]]:
    """All rows of the page by their key, in its order. Raises RecordError."""
    series = series_of(records)
    rows = [row for role in ROLES for row in role.rows]
    return {(row.what, row.under, row.of): projected(row, target, series) for row in rows}


def viewers_reached(target: Target, fronts: int) -> float:
    """Viewers whose front is gone."""
    return fronts * target.sessions


def a_day(often: float, span: int) -> float:
    """How often a day something happens that happens so often in a span (us)."""
    return often * 86_400 * SECOND / span
