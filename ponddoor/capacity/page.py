"""The tables of docs/CAPACITY.md, written between markers from a target and its records.

A table stands between `<!-- capacity NAME -->` and `<!-- capacity end -->`; all else is written by hand."""

import re
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

from ponddoor.capacity.fits import Fit, Shape, fitted
from ponddoor.capacity.project import (
    Crossing,
    Key,
    Mark,
    Projection,
    Series,
    Verdict,
    a_day,
    at_size,
    left_out,
    processes,
    project,
    ranking,
    series_of,
    viewers_reached,
    why_unfitted,
)
from ponddoor.capacity.records import Record
from ponddoor.capacity.rows import CONDITIONS, FRONT_NODE, KINDS, ROLES, Role, limits
from ponddoor.capacity.targets import SECOND, Target

_MARKER = re.compile(r"(<!-- capacity ([a-z-]+) -->\n)(.*?)(<!-- capacity end -->)", re.DOTALL)
_OF_FAILURES = {
    "machine": "one",
    "restart": "replaced",
    "rack": "rack",
    "zone": "zone",
    "apart": "apart-3600",
}
_PATH = re.compile(r"(?<=\s)/\S*/(?=docs/)")
MOST_BYTES = 4_000_000
Found = Mapping[Key, list[Projection]]


class PageError(Exception):
    """A page that can't be used: `str` names the file and what is wrong."""


def told(figure: float, unit: str) -> str:
    """A figure with three digits, in a unit that a reader takes in at once."""
    size = abs(figure)
    if unit in ("B", "B/s"):
        for by, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB")):
            if size >= by:
                return f"{_digits(figure / by)} {name}{unit[1:]}"
        return f"{_digits(figure)} {unit}"
    if unit == "s":
        for by, name in ((1.0, "s"), (1e-3, "ms"), (1e-6, "us")):
            if size >= by or by == 1e-6:
                return f"{_digits(figure / by)} {name}" if size else "0 s"
    if unit == "core":
        return f"{_digits(figure)} cores" if size >= 1 else f"{_digits(figure * 100)}% of a core"
    return _digits(figure) + {"1": "", "1/s": " a second"}.get(unit, f" {unit}")


def _digits(figure: float) -> str:
    """Three digits, thousands set off."""
    if figure == 0:
        return "0"
    if abs(figure) >= 1000:
        return format(float(format(figure, ".3g")), ",.0f")
    return format(figure, ".3g")


def slope(fit: Fit, unit: str, of: str) -> str:
    """A fit as one reads it: `2 kB/s + 3 B/s x fronts`."""
    if fit.shape is Shape.CONSTANT:
        return f"{told(fit.base, unit)}, constant"
    if fit.shape is Shape.POWER:
        return f"{told(fit.value, unit)} x {of}^{fit.power:.2f}"
    grown = {Shape.LINEAR: of, Shape.N_LOG_N: f"{of} x ln {of}", Shape.SQUARED: f"{of} squared"}[fit.shape]
    base = f"{told(fit.base, unit)} + " if abs(fit.base) > 1e-9 * abs(fit.at(fit.sizes[-1])) else ""
    return f"{base}{told(fit.value, unit)} x {grown}"


def _off(fit: Fit, unit: str) -> str:
    return f"{told(fit.low, unit)} to {told(fit.high, unit)}; {fit.residual:.1%}"


def _known(one: Projection) -> str:
    if one.series is None or one.mark is Mark.NONE:
        return Mark.NONE.value
    if one.mark is Mark.LAST:
        return f"not known: {_digits(one.known_at)} were measured at most"
    if one.mark is Mark.EXTRAPOLATED:
        which = "largest" if one.far > 1 else "least"
        return f"extrapolated, {_digits(one.far)} times the {which}"
    if one.mark is Mark.INTERPOLATED:
        return str(one.mark.value)
    times = sum(point.size == one.known_at for point in one.series.points)
    return "measured once" if times == 1 else f"measured {times} times"


def _short(one: Projection) -> str:
    """How a figure is known, where there is little room."""
    if one.mark is Mark.EXTRAPOLATED:
        return f" (extrapolated {_digits(one.far)} x)"
    return f" (at {_digits(one.known_at)})" if one.mark is Mark.LAST else ""


def _at(one: Projection) -> str:
    return f"{_digits(one.known_at if one.mark is Mark.LAST else one.size)} {one.row.of}"


def _verdict(one: Projection) -> str:
    if one.limit is None or one.mark is Mark.NONE:
        return one.verdict.value if one.limit is None else "-"
    by = one.figure / one.limit.most
    if one.verdict is Verdict.OVER:
        return f"**over**, {_digits(by)} times"
    return f"{one.verdict.value}, {_part(by)} of it" if one.verdict is Verdict.WITHIN else "open"


def _part(by: float) -> str:
    return "under 1%" if by < 0.01 else f"{by:.0%}"


def _carried(module: str, root: Path) -> str:
    return f"`{module}`" if module and (root / module).exists() else "**missing**"


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    return "".join(f"{line}\n" for line in [*lines, *(f"| {' | '.join(row)} |" for row in rows)])


def _figure(one: Projection) -> str:
    if one.mark is Mark.NONE:
        return "-"
    return f"{'more than ' if one.more else ''}{told(one.figure, one.unit)}"


def _role(role: Role, found: Found, root: Path) -> str:
    head = ("need", "under", "slope", "least to greatest; off at most", "at", "figure", "known", "limit",
            "verdict", "carried by")  # fmt: skip
    rows: list[tuple[str, ...]] = []
    blank: dict[tuple[str, str, str], list[str]] = {}  # needs without a record: one line for all conditions
    for row in role.rows:
        several = found[row.what, row.under, row.of]
        if all(one.mark is Mark.NONE for one in several):
            blank.setdefault((row.need, row.of, row.module), []).append(row.under)
            continue
        for one in several:
            fit = one.fit
            limit = one.limit
            rows.append(
                (
                    row.need,
                    row.under,
                    slope(fit, row.unit, row.of) if fit else why_unfitted(one.series) if one.series else "-",
                    _off(fit, row.unit) if fit else "-",
                    _at(one),
                    _figure(one),
                    _known(one),
                    "-"
                    if limit is None
                    else told(limit.most, limit.unit) + ("" if limit.stated else " (ours)"),
                    _verdict(one),
                    _carried(row.module, root),
                )
            )
    for (need, of, module), under in blank.items():
        without = ("-", "-", of, "-", Mark.NONE.value, "-", "-")
        rows.append((need, ", ".join(under), *without, _carried(module, root)))
    return f"State: {role.state}. Messages: {role.messages}.\n\n{_table(head, dict.fromkeys(rows))}"


def _together(found: Found, target: Target) -> str:
    """What control needs of one front in all, calm, under each of its limits."""
    held = limits(target)
    rows = []
    for name in FRONT_NODE:
        parts = [
            one
            for (_, under, _), several in found.items()
            for one in several
            if under == "calm" and one.row.limit == name and one.row in ROLES[0].rows
        ]
        known = [one for one in parts if one.mark is not Mark.NONE]
        total, most = sum(one.figure for one in known), held[name].most
        out = [one.row.need for one in parts if one.mark is Mark.NONE]
        shown = _part(total / most) if known else "-"
        figure = told(total, held[name].unit) if known else Mark.NONE.value
        rows.append((name, figure, told(most, held[name].unit), shown, ", ".join(out) or "nothing"))
    return _table(("limit of a front node", "all of it, calm", "limit", "part of it", "not in the sum"), rows)


def _kinds(series: Mapping[Key, list[Series]], target: Target) -> str:
    """Words and bytes by kind at the target's fronts, over the conditions."""
    shown = ""
    for what, unit, name in (("control.words", "1/s", "Words"), ("control.bytes", "B/s", "Bytes")):
        rows = []
        for kind in KINDS:
            cells = []
            for under in CONDITIONS:
                held = series.get((f"{what}.{kind}", under, "fronts"))
                if not held:
                    cells.append("-")
                    continue
                one = at_size(ROLES[0].rows[0], target.fronts, held[0], None)
                cells.append(told(one.figure, unit) + _short(one))
            if any(cell != "-" for cell in cells):
                rows.append((kind, *cells))
        if rows:
            shown += f"{name} of one front at {target.fronts} fronts:\n\n"
            shown += _table(("kind", *CONDITIONS), rows) + "\n"
    return shown.rstrip("\n") + "\n" if shown else "Not measured.\n"


def _target(target: Target) -> str:
    rows = [
        ("front nodes", f"{target.fronts}"),
        ("connections", f"{target.connections:,}, {_digits(target.sessions)} a front node"),
        ("shards of topics", f"{target.shards:,}"),
        ("listeners of the largest topic", f"{target.listeners:,}"),
        ("deliveries", f"{_digits(target.deliveries)} a second, {_digits(target.delivered)} a front node; "
         f"each connection one in {target.each:.1f} s; {target.delivery_part:.0%} within "
         f"{told(target.delivery_within / SECOND, 's')}"),
        ("places", f"{target.regions} regions, {target.zones} zones"),
        ("changes of configuration", f"{_digits(target.changes)} a day, one in "
         f"{target.day / SECOND / target.changes:.0f} s; in force within "
         f"{told(target.change_within / SECOND, 's')}"),
        ("control, a front node", f"{told(target.control_core, 'core')}, {told(target.control_memory, 'B')}, "
         f"{told(target.control_bytes, 'B/s')}"),
        ("machines for control", f"{target.machines}"),
        *((f"failure: {one.name}", f"{_digits(a_day(one.often, one.span))} a day")
          for one in target.failures),
    ]  # fmt: skip
    read = [(one.name, one.value, one.reason) for one in target.readings]
    read += [(f"failure: {one.name}", f"{one.fronts} fronts", one.reading) for one in target.failures]
    return (
        _table(("told", "value"), rows) + "\nRead into it by us:\n\n" + _table(("what", "value", "why"), read)
    )


def _failures(target: Target, found: Found) -> str:
    def cell(name: str, under: str) -> str:
        held = found.get((name, under, "fronts"))
        return f"{_figure(held[0])} ({_known(held[0])})" if held and held[0].series else Mark.NONE.value

    each = found["decide.cpu", "request", "sessions"][0]
    rows = []
    for one in target.failures:
        under = _OF_FAILURES.get(one.name, "")
        reached, often = viewers_reached(target, one.fronts), a_day(one.often, one.span)
        apart = one.lasts and not one.fronts
        cut = one.name in ("zone", "apart")
        rows.append(
            (
                one.name,
                _digits(often),
                f"{one.fronts}",
                "none loses its front" if apart else f"{_digits(reached)}; {_digits(often * reached)} a day",
                "-" if apart else f"{one.fronts / (target.fronts - one.fronts):.1%}",
                "-" if apart else _returned(target, one.fronts, each),
                cell("know.dead.half", under),
                cell("know.dead.p99", under),
                cell("know.alive.p99", under),
                cell("config.in-force.all", "zone-cut") if cut else "-",
            )
        )
    head = (
        "failure",
        "a day",
        "fronts lost",
        "viewers reached (reckoned)",
        "more on each other front (reckoned)",
        "their requests decided there after (reckoned)",
        "half of the others know after",
        "99% know after",
        "once back, 99% know after",
        "once back, the configuration is in force after",
    )
    return _table(head, rows)


def _returned(target: Target, fronts: int, each: Projection) -> str:
    """How long a core of each other front decides the requests of those who come back to it."""
    if each.mark is Mark.NONE:
        return Mark.NONE.value
    requests = viewers_reached(target, fronts) / (target.fronts - fronts)
    return f"{told(requests * each.figure, 's')} ({_known(each)})"


def _machines(target: Target, found: Found) -> str:
    held = processes(target, found)
    if not held.counted:
        return "Not measured: no record bounds what one process takes.\n"
    rows = [
        (name, _digits(bound), f"{-(-target.sessions // bound):.0f}", _known(one))
        for name, bound, one in held.bounds
    ]
    shown = _table(("bounded by", "connections a process", "processes a front node", "known"), rows)
    everything = held.needed * target.fronts
    by_core = -(-everything // max(1, int(target.machine_cores)))
    shown += (
        f"\nSo {held.needed} processes a front node, {everything:,} in all. With a core for each that is "
        f"{by_core:,} machines of {target.machine_cores} cores"
    )
    if held.memory:
        by_memory = -(-held.memory * target.fronts // target.machine_memory)
        shown += (
            f"; their memory, {told(held.memory, 'B')} a front node, alone would take {by_memory:,.0f} "
            f"machines of {told(target.machine_memory, 'B')}"
        )
    return shown + ".\n\n" + _split(target, found, held.needed)


def _split(target: Target, found: Found, needed: int) -> str:
    """What control needs of a node where each of its processes is a front of the fleet."""
    held, rows = limits(target), []
    fronts = target.fronts * needed
    for key, limit in (
        (("control.bytes", "calm", "fronts"), "control-bytes"),
        (("control.cpu", "calm", "fronts"), "control-core"),
        (("control.memory", "calm", "fronts"), "control-memory"),
    ):
        one = found[key][0]
        if one.series is None:
            rows.append((key[0], "not measured", "-", "-"))
            continue
        then = at_size(one.row, fronts, one.series, held[limit])
        if then.mark is Mark.LAST:
            rows.append((key[0], "-", "open", _known(then)))
            continue
        of_node = then.figure * needed
        by = of_node / held[limit].most
        verdict = f"**over**, {_digits(by)} times" if by > 1 else f"within, {_part(by)} of it"
        rows.append((key[0], told(of_node, held[limit].unit), verdict, _known(then)))
    return (
        f"Where each process is a front of the fleet there are {fronts:,} of them, and one front node needs "
        f"for control, calm:\n\n" + _table(("need", "a front node", "verdict", "known"), rows)
    )


def _limits_of(module: str) -> Iterable[str]:
    return (row.limit for role in ROLES for row in role.rows if row.module == module and row.unit == "s")


def _ranking(crossings: Sequence[Crossing], target: Target, root: Path) -> str:
    if not crossings:
        return "Nothing that was measured is over a limit.\n"
    rows, held = [], limits(target)
    for number, one in enumerate(crossings, 1):
        first = one.first
        needs = ", ".join(dict.fromkeys(p.row.need for p in one.projections))
        under = ", ".join(dict.fromkeys(p.row.under for p in one.projections))
        bounds = list(dict.fromkeys(p.limit for p in one.projections if p.limit))
        if one.missing:
            since = first.row.since
            if not bounds:  # what has replaced it stands under the limit that it fails
                bounds = [held[name] for name in dict.fromkeys(_limits_of(since)) if name]
            built = since and (root / since).exists()
            why = f"no mechanism before; since then `{since}`" if built else "no mechanism"
            seen = [p for p in one.projections if not p.row.module and p.series]
            why += "".join(f"; measured: {_figure(p)} of {_digits(p.known_at)}" for p in seen)
        else:
            why = f"{_figure(first)} at {_at(first)} ({_known(first)})"
        rows.append(
            (
                f"{number}",
                f"{needs} ({under})",
                why,
                ", ".join(told(limit.most, limit.unit) for limit in bounds) or "-",
                "operators" if any(limit.stated for limit in bounds) or one.missing else "ours",
                f"{one.fronts:,.0f}",
            )
        )
    head = ("", "need", "why", "limit", "whose", "fails from so many fronts on")
    return _table(head, rows)


def _unmeasured(found: Found) -> str:
    lines: dict[str, list[str]] = {}
    for role in ROLES:
        for row in role.rows:
            if all(one.mark is Mark.NONE for one in found[row.what, row.under, row.of]):
                conditions = lines.setdefault(f"{role.title}: {row.need} (`{row.what}` over {row.of})", [])
                conditions.append(row.under)
    if not lines:
        return "Every row has a record.\n"
    return "".join(f"- {name}: {', '.join(dict.fromkeys(under))}\n" for name, under in lines.items())


def _further(series: Mapping[Key, list[Series]], records: Iterable[Record]) -> str:
    """Records that no row shows, and trials, which no row may show."""
    rows_of = {(row.what, row.under, row.of) for role in ROLES for row in role.rows}
    rows = []
    kinds = 0
    for key, several in sorted(series.items()):
        if _of_kind(key) and key[1] not in CONDITIONS:
            kinds += len(several)
            continue
        for one in several[1:] if key in rows_of or _of_kind(key) else several:
            fit = fitted(one.points) if not one.unreached else None
            last = told(one.mean(one.sizes[-1]), one.unit)
            shown = slope(fit, one.unit, one.of) if fit else why_unfitted(one)
            rows.append(
                (f"`{one.what}`", one.under, one.how, f"{_digits(one.sizes[-1])} {one.of}", last, shown)
            )
    out = sum(map(left_out, records))
    noted = f"\n{out} figures of trials, or of runs on too busy a machine, are in no table.\n" if out else ""
    if kinds:
        noted += f"\n{kinds} more series are of words and bytes by kind under other conditions.\n"
    if not rows:
        return "None.\n" + noted
    return _table(("what", "under", "run as", "largest size", "figure there", "slope"), rows) + noted


def _of_kind(key: Key) -> bool:
    what, _, kind = key[0].rpartition(".")
    return what in ("control.words", "control.bytes", "scale.words", "scale.bytes") and kind in KINDS


def _sources(files: Mapping[str, list[Record]]) -> str:
    rows = []
    for name, records in files.items():
        # Where a file lay on the machine that measured says nothing to who measures anew.
        commands = list(dict.fromkeys(_PATH.sub("", record.command) for record in records))
        more = f" and {len(commands) - 1} more" if len(commands) > 1 else ""
        rows.append(
            (
                name,
                f"{len(records):,}",
                ", ".join(dict.fromkeys(record.how for record in records)),
                ", ".join(dict.fromkeys(f"`{record.commit}`" for record in records)),
                ", ".join(dict.fromkeys(f"{record.cores}" for record in records)),
                f"`{commands[0]}`{more}" if commands else "-",
            )
        )
    if not rows:
        return "No records yet.\n"
    return _table(("file", "records", "run as", "text", "cores", "command"), rows)


def tables(target: Target, files: Mapping[str, list[Record]], root: Path) -> dict[str, str]:
    """All tables by the name of their marker. Raises RecordError. `root`: where the modules lie."""
    records = [record for held in files.values() for record in held]
    found, series = project(target, records), series_of(records)
    crossings = ranking((one for several in found.values() for one in several), target, root)
    made = {role.mark: _role(role, found, root) for role in ROLES}
    return made | {
        "target": _target(target),
        "together": _together(found, target),
        "kinds": _kinds(series, target),
        "machines": _machines(target, found),
        "failures": _failures(target, found),
        "ranking": _ranking(crossings, target, root),
        "unmeasured": _unmeasured(found),
        "further": _further(series, records),
        "sources": _sources(files),
    }


def rewritten(page: Path, made: Mapping[str, str]) -> tuple[str, str]:
    """A page's text, and the same with its tables as they are made now. Raises PageError where a marker is
    missing, unknown, twice or not ended."""
    try:
        data = page.read_bytes()
        text = data.decode()
    except OSError as problem:
        raise PageError(f"{page}: {problem.strerror or problem}") from None
    except UnicodeDecodeError:
        raise PageError(f"{page}: no UTF-8") from None
    if len(data) > MOST_BYTES:
        raise PageError(f"{page}: over {MOST_BYTES} bytes")
    seen = [match[2] for match in _MARKER.finditer(text)]
    wrong = [name for name in seen if name not in made or seen.count(name) > 1]
    absent = [name for name in made if name not in seen]
    if wrong or absent or text.count("<!-- capacity ") != 2 * len(seen):
        told_of = (
            f"unknown, twice or not ended: {', '.join(wrong) or '-'}; missing: {', '.join(absent) or '-'}"
        )
        raise PageError(f"{page}: its markers: {told_of}")
    return text, _MARKER.sub(lambda match: f"{match[1]}{made[match[2]]}{match[4]}", text)
