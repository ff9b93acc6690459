"""Which version each front has in force: what a front tells, what an instance keeps, what all of it says.

Free of I/O. A front numbers its reports within its life (its start by the Unix clock), so that of two of one
front the newer counts, whichever instance heard it and in whatever order they came. An instance keeps the
newest of each front, in memory alone: after its restart fronts come to it anew and tell it."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

MOST_FRONTS = 4096  # reports of so many fronts are kept by one instance
FORGOTTEN = 6 * 3_600_000_000  # us: who was not heard for so long and follows nowhere is no front any more
GONE = 10_000_000  # us: who is watched for nowhere, and was not heard for so long, is gone
SHOWN = 20  # fronts that are shown by number, of each kind

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a front tells of itself. `life` is its start by the Unix clock (us), `number` of the report in
    that life, from 1. `version` is in force since `age_ms` ago as it was told, 0: none yet. `head` is the
    newest it knows of; `refused` a newer one that it can't use, and `why`. `apart_ms`: for how long it has
    heard of no instance that is not apart."""

    front: Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    life: Count
    number: Count
    version: Count
    digest: Annotated[str, msgspec.Meta(max_length=40)]
    age_ms: Count
    head: Count
    refused: Count = 0
    why: Annotated[str, msgspec.Meta(max_length=200)] = ""
    apart_ms: Count = 0

    @property
    def order(self) -> tuple[int, int]:
        """Of two reports of one front the later one has the higher."""
        return self.life, self.number


@dataclass(slots=True)
class Reports:
    """The newest report of each front that one instance has heard, and when it came (us, its own clock)."""

    most: int = MOST_FRONTS
    held: dict[int, tuple[Report, int]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)  # what came, by what became of it

    def take(self, now: int, report: Report) -> str:
        """Keep a report. Returns an empty word, or why it is refused: `old` or `too-many`."""
        why = self._refusal(now, report)
        if not why:
            self.held[report.front] = (report, now)
        self.count(why or "taken")
        return why

    def _refusal(self, now: int, report: Report) -> str:
        held = self.held.get(report.front)
        if held is not None:
            # Guards against a report that was on its way while a newer one came: its front has gone on.
            return "" if report.order > held[0].order else "old"
        if len(self.held) < self.most:
            return ""
        # Guards against a table without end. It harms a front beyond so many: it is shown as never heard.
        oldest = min(self.held, key=lambda front: self.held[front][1])
        if now - self.held[oldest][1] < FORGOTTEN:
            return "too-many"
        del self.held[oldest]
        return ""

    def forget(self, now: int, watching: Container[int]) -> None:
        """Guards against fronts that are no more and would be missed for ever. It harms one that is cut off
        for longer: it is shown as never heard, where their number is told."""
        gone = [f for f, (_, came) in self.held.items() if f not in watching and now - came >= FORGOTTEN]
        for front in gone:
            del self.held[front]

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


class Row(msgspec.Struct, frozen=True):
    """What an instance says of one front; `watching`: it follows the configuration there now."""

    front: int
    watching: bool = False
    ago_ms: int = 0
    report: Report | None = None


class Told(msgspec.Struct, frozen=True):
    """What one instance says: its newest version, for how long it has had it (ms; -1: not since its start),
    and its fronts. `next`: there are more behind this front."""

    me: int
    version: int
    digest: str
    since_ms: int
    apart: bool
    rows: list[Row]
    next: int | None = None
    counts: dict[str, int] = {}


class Stand(msgspec.Struct, frozen=True):
    """How one front stands to a version: `in-force`, `lagging`, `refused`, `differs`, `gone` or `unheard`.
    `for_ms` is how long ago it took what it has, as of now; `heard_ms` how long ago it told that."""

    front: int
    how: str
    version: int = 0
    for_ms: int = 0
    heard_ms: int = 0
    why: str = ""
    apart_ms: int = 0


HOWS = ("in-force", "lagging", "refused", "differs", "gone", "unheard")


class Rollout(msgspec.Struct, frozen=True):
    """How far a version has come. `version` is 0 where no instance has any."""

    version: int
    digest: str
    since_ms: int
    stands: list[Stand]
    out_of_reach: dict[int, str]  # instances that could not be asked, and why
    apart: list[int]  # instances that are

    def count(self) -> dict[str, int]:
        found = dict.fromkeys(HOWS, 0)
        for stand in self.stands:
            found[stand.how] += 1
        return found

    @property
    def whole(self) -> bool:
        """Whether all fronts have it in force."""
        return bool(self.version) and all(stand.how == "in-force" for stand in self.stands)


def merged(
    told: Iterable[Told], out_of_reach: dict[int, str], version: int | None = None, fronts: int | None = None
) -> Rollout:
    """What all instances say together, of one version or the newest. `fronts`: so many there are, from 0; if
    it is not told, those that an instance has heard of."""
    all_told = list(told)
    newest = max(all_told, key=lambda one: (one.version, one.since_ms), default=None)
    wanted = version if version is not None else newest.version if newest is not None else 0
    having = [one for one in all_told if one.version == wanted]
    digest = next((one.digest for one in having if one.digest), "")
    since = max((one.since_ms for one in having), default=-1)
    best: dict[int, Row] = {}
    watched: set[int] = set()
    for row in (row for one in all_told for row in one.rows):
        if row.watching:
            watched.add(row.front)
        held = best.get(row.front)
        if held is None or _order(row) > _order(held):
            best[row.front] = row
    numbers = sorted(best) if fronts is None else range(fronts)
    stands = [_stand(number, best.get(number), number in watched, wanted, digest) for number in numbers]
    apart = sorted(one.me for one in all_told if one.apart)
    return Rollout(wanted, digest, since, stands, out_of_reach, apart)


def _order(row: Row) -> tuple[int, int, int]:
    return (*row.report.order, -row.ago_ms) if row.report is not None else (-1, -1, 0)


def _stand(front: int, row: Row | None, watched: bool, wanted: int, digest: str) -> Stand:
    report = row.report if row is not None else None
    if row is None or report is None:
        return Stand(front, "unheard")
    for_ms, apart = report.age_ms + row.ago_ms, report.apart_ms
    about = (front, report.version, for_ms, row.ago_ms)
    if report.version >= wanted:
        # Also of a front that is gone: none goes back, so it has this one whenever it comes again.
        differs = report.version == wanted and digest and report.digest and report.digest != digest
        how, why = ("differs", f"digest {report.digest}, not {digest}") if differs else ("in-force", "")
    elif report.refused > report.version:
        how, why = "refused", f"version {report.refused}: {report.why}"
    elif not watched and row.ago_ms * 1000 >= GONE:
        how, why = "gone", ""
    else:
        how, why = "lagging", ""
    return Stand(about[0], how, about[1], about[2], about[3], why, apart)


def lines(found: Rollout) -> list[str]:
    """For people: a line for the whole, then one for each front that has not the version in force."""
    counts = found.count()
    told = ", ".join(f"{counts[how]} {how}" for how in HOWS if counts[how] or how == "in-force")
    since = f", committed {_seconds(found.since_ms)} ago" if found.since_ms >= 0 else ""
    out = [f"version {found.version} of {len(found.stands)} fronts: {told}{since}"]
    having = [stand.for_ms for stand in found.stands if stand.how == "in-force"]
    if having:
        out.append(f"taken {_seconds(min(having))} to {_seconds(max(having))} ago")
    out += [f"instance {number} is out of reach: {why}" for number, why in sorted(found.out_of_reach.items())]
    out += [f"instance {number} is apart" for number in found.apart]
    for how in HOWS[1:]:
        held = [stand for stand in found.stands if stand.how == how]
        out += [_line(stand) for stand in held[:SHOWN]]
        out += [f"and {len(held) - SHOWN} more that are {how}"] if len(held) > SHOWN else []
    apart = [stand.front for stand in found.stands if stand.apart_ms]
    if apart:
        out.append(f"{len(apart)} fronts were apart when they last told: {_few(apart)}")
    return out


def _line(stand: Stand) -> str:
    if stand.how == "unheard":
        return f"front {stand.front} unheard"
    has = f"version {stand.version} for {_seconds(stand.for_ms)}" if stand.version else "no version yet"
    why = f": {stand.why}" if stand.why else ""
    return f"front {stand.front} {stand.how}, {has}, heard {_seconds(stand.heard_ms)} ago{why}"


def _few(numbers: list[int]) -> str:
    rest = f" and {len(numbers) - SHOWN} more" if len(numbers) > SHOWN else ""
    return ", ".join(map(str, numbers[:SHOWN])) + rest


def _seconds(ms: int) -> str:
    return f"{ms / 1000:.1f} s"


def to_json(found: Rollout) -> dict[str, Any]:
    """For programs."""
    return {**msgspec.to_builtins(found), "counts": found.count(), "whole": found.whole}
