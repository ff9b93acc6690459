"""How the fronts of a rehearsed day followed the configuration, from its records alone: the time from each
commit until it is in force, who refused, what it cost, and an audit.

A front has a version in force when it says so of that one or a newer one. A front that was cut off from every
instance is counted from the end of that. Times in seconds in figures, microseconds in rows."""

import bisect
import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from ponddoor.audit.rules import SLACK, Breach
from ponddoor.capacity.records import Record
from ponddoor.rehearse.changes import Instances, Kind
from ponddoor.rehearse.sums import evenness

SECOND = 1_000_000
HEADERS = 80  # bytes of IPv4 and TCP around what one write sends, and of its acknowledgement
DUE = 9 * SECOND  # a version committed later than this before the end is not judged
BUSY = 0.05  # of the time that hollow processes were late: times say nothing from here on
SHOWN = 12  # versions in the table: the slowest
RULES = ("one version a request", "never back", "whole", "refusal kept", "committed once")
Row = dict[str, Any]


@dataclass(slots=True)
class Spread:
    """How one version came to the fronts: sorted times, in seconds, of those who have it in force."""

    version: int
    kind: str
    why: str
    at: int
    after: list[float]
    missing: list[int]
    refused: list[int]
    real: list[float] = field(default_factory=list)  # of `after`, those of real fronts
    returned: list[float] = field(default_factory=list)  # and those that count from the end of a cut

    def until(self, part: float) -> float | None:
        """When this part of those who could take it had it; None where that many never did."""
        need = max(1, math.ceil(part * (len(self.after) + len(self.missing))))
        return self.after[need - 1] if need <= len(self.after) else None


@dataclass(slots=True)
class Followed:
    """What a day showed of its configuration. `figures` are by the names of records, with their units."""

    fronts: int
    under: str
    spreads: list[Spread]
    figures: dict[str, tuple[float, str]]
    breaches: list[Breach] = field(default_factory=list)
    decided: int = 0  # requests that were seen to be decided under one version or two

    def records(self, command: str, seed: int, repetition: int, commit: str, cores: int) -> list[Record]:
        """One record a figure. Those of a run on a machine that was too busy stand apart."""
        late, _ = self.figures.get("config.loops-late", (0.0, ""))
        under = self.under + ("-busy" if late >= BUSY else "")
        return [
            Record(
                what=what, under=under, of="fronts", size=self.fronts, repetition=repetition, seed=seed,
                figure=round(figure, 6), unit=unit, how="sockets", commit=commit, cores=cores,
                command=command,
            )
            for what, (figure, unit) in self.figures.items()
        ]  # fmt: skip

    def beside(self, before: "Followed") -> None:
        """Add what following costs: the process time of this run's fronts over that of the same day with
        fronts that did not follow."""
        for name, of in (("hollow", "config.hollow-cpu"), ("real", "config.front-cpu")):
            if of in self.figures and of in before.figures and before.under == "no-follow":
                more = self.figures[of][0] - before.figures[of][0]
                self.figures[f"config.cpu.{name}"] = more, "core"
                self.figures["config.cpu"] = more, "core"  # of the real ones, where there are any

    def rows(self) -> dict[str, Any]:
        """For the table of a rehearsal."""
        shown: dict[str, Any] = {"configuration, conditions": self.under}
        for what, (figure, unit) in self.figures.items():
            shown[f"{what}, {unit}"] = round(figure, 4)
        slowest = sorted(self.spreads, key=lambda one: (-len(one.missing), -(one.until(1.0) or 0.0)))[:SHOWN]
        for one in sorted(slowest, key=lambda one: one.version):
            times = " ".join("never" if t is None else f"{t:.2f}" for t in map(one.until, (0.5, 0.999, 1.0)))
            told = f", {len(one.refused)} refused it" if one.refused else ""
            told += f", missing at {_few(one.missing)}" if one.missing else ""
            shown[f"version {one.version} ({one.kind}): half, 99.9%, all have it after, s"] = times + told
        return shown


def _few(numbers: list[int]) -> str:
    return " ".join(map(str, numbers[:10])) + (f" and {len(numbers) - 10} more" if len(numbers) > 10 else "")


def followed(rows: list[Row], fronts: int, hollow: int, wanted: Instances) -> Followed:
    """What the records of a day say; fronts are numbered from 0, the hollow ones after the real."""
    end = max((row["at"] for row in rows), default=0)
    since = next((row["moment"] for row in rows if row["what"] == "config-measured-from"), end)
    moments, versions = _in_force(rows)
    refused: dict[int, set[int]] = defaultdict(set)
    for row in rows:
        if row["what"] == "version-refused":
            refused[row["version"]].add(row["front"])
    kinds = {f"change {row['number']}": row["kind"] for row in rows if row["what"] == "change-sent"}
    cuts = _cuts(rows, end)
    spreads = []
    for row in rows:
        if row["what"] != "committed" or row["at"] < since or row["at"] + DUE > end:
            continue
        version, kind = row["version"], kinds.get(row["why"], "unknown")
        after, real, missing, returned = list[float](), list[float](), list[int](), list[float]()
        for front in range(fronts + hollow):
            found = bisect.bisect_left(versions[front], version)
            if found == len(versions[front]):
                if front not in refused[version]:
                    missing.append(front)
                continue
            got = moments[front][found]
            begun = max([row["at"], *(min(to, got) for begin, to in cuts[front] if begin < got)])
            after.append(max(0, got - begun) / SECOND)
            if front < fronts:
                real.append(after[-1])
            if begun > row["at"]:
                returned.append(after[-1])
        known = sorted(refused[version])
        spreads.append(
            Spread(version, kind, row["why"], row["at"], sorted(after), missing, known, real, returned)
        )
    breaches = _audit(rows, fronts, kinds) + _audit_terms(rows, moments, versions)
    made = Followed(fronts + hollow, wanted.under, spreads, {}, breaches)
    made.decided = sum(row["what"] == "decided" for row in rows)
    made.figures = _figures(rows, made, since, end, fronts, hollow)
    return made


def _in_force(rows: list[Row]) -> tuple[dict[int, list[int]], dict[int, list[int]]]:
    """Of each front, the moments at which a newer version came into force, and those versions."""
    moments: dict[int, list[int]] = defaultdict(list)
    versions: dict[int, list[int]] = defaultdict(list)
    for row in rows:
        if row["what"] == "in-force" and row["version"] > max(versions[row["front"]], default=-1):
            moments[row["front"]].append(row["at"])
            versions[row["front"]].append(row["version"])
    return moments, versions


def _cuts(rows: list[Row], end: int) -> dict[int, list[tuple[int, int]]]:
    """Of each front, from when to when it was cut off from all instances at once."""
    instances = {f"instance {row['instance']}" for row in rows if row["what"] == "instance-sums"}
    open_, found = dict[str, tuple[int, set[int]]](), defaultdict[int, list[tuple[int, int]]](list)
    for row in rows:
        if row["what"] not in ("link-fault", "link-whole") or not row["fault"]["cut"]:
            continue
        key = repr(row["ways"])
        if row["what"] == "link-fault":
            struck = set[int]()
            for one, other in row["ways"]:
                struck |= _struck(one, other, instances) | _struck(other, one, instances)
            open_[key] = row["at"], struck
        elif key in open_:
            begun, struck = open_.pop(key)
            for front in struck:
                found[front].append((begun, row["at"]))
    for begun, struck in open_.values():
        for front in struck:
            found[front].append((begun, end))
    return found


def _struck(mine: list[str], theirs: list[str], instances: set[str]) -> set[int]:
    if theirs and not instances <= set(theirs):
        return set()
    return {int(name.removeprefix("front ")) for name in mine if name.startswith("front ")}


def _audit(rows: list[Row], fronts: int, kinds: dict[str, str]) -> list[Breach]:
    """What must never be: from what fronts, instances and the rehearsal wrote down."""
    found: list[Breach] = []
    newest: dict[int, int] = {}
    digests: dict[int, str] = {}
    refused: set[tuple[int, int]] = set()
    once: dict[str, int] = {}
    unfit = {
        row["version"]
        for row in rows
        if row["what"] == "committed" and kinds.get(row["why"]) == Kind.REFUSED_BY_FRONTS.value
    }
    for row in rows:
        what, at, who = row["what"], row["at"], f"front {row.get('front')}"
        if what == "decided" and row["first"] != row["answer"]:
            told = f"{row['sess']} came under version {row['first']} and was answered under {row['answer']}"
            found.append(Breach(RULES[0], row["who"], at, told))
        elif what == "version-refused":
            refused.add((row["front"], row["version"]))
        elif what == "in-force":
            front, version = row["front"], row["version"]
            if version < newest.get(front, 0):
                found.append(Breach(RULES[1], who, at, f"{version} after {newest[front]}"))
            newest[front] = max(version, newest.get(front, 0))
            if digests.setdefault(version, row["digest"]) != row["digest"]:
                found.append(Breach(RULES[2], who, at, f"version {version} with another digest"))
            if (front, version) in refused or (front < fronts and version in unfit):
                found.append(Breach(RULES[3], who, at, f"version {version}, which can't be taken, in force"))
        elif what == "committed":
            if once.setdefault(row["why"], row["version"]) != row["version"]:
                found.append(
                    Breach(RULES[4], row["why"], at, f"versions {once[row['why']]}, {row['version']}")
                )
            if kinds.get(row["why"]) == Kind.REFUSED_BY_INSTANCES.value:
                found.append(Breach(RULES[3], row["why"], at, "committed though it can't be used"))
    return found


def _audit_terms(
    rows: list[Row], moments: dict[int, list[int]], versions: dict[int, list[int]]
) -> list[Breach]:
    """What servers were told of a session's rates, against the versions that its front had in force from the
    viewer's request to the SETUP: all its SETUPs go by one of them, and by the same."""
    sent = [row for row in rows if row["what"] == "change-sent"]
    tops = {f"change {row['number']}": float(row.get("top_kb", 0)) for row in sent}
    top_at = sorted(
        (int(row["version"]), tops[row["why"]])
        for row in rows
        if row["what"] == "committed" and tops.get(row["why"])
    )
    came = {row["ask"]: int(row["at"]) for row in reversed(rows) if row["what"] == "ask"}
    answers = [row for row in rows if row["what"] == "answer"]
    asked = {row["sess"]: came.get(row["ask"], int(row["at"])) for row in answers}
    first: dict[str, tuple[float, ...]] = {}
    found: list[Breach] = []
    for row in rows:
        if row["what"] != "setup" or not row.get("rates_kb"):
            continue
        front, at, told, sess = row["front"], row["at"], tuple(row["rates_kb"]), row["sess"]
        if first.setdefault(sess, told) != told:
            found.append(Breach(RULES[0], sess, at, f"rates {told} after {first[sess]}"))
        if sess not in asked:
            continue  # nobody got an answer: when it was asked is not known
        begun = bisect.bisect_right(moments[front], asked[sess]) - 1
        until = bisect.bisect_right(moments[front], at + SLACK)
        tops_then = {_top(top_at, version) for version in versions[front][max(begun, 0) : until]}
        if begun < 0 or None in tops_then:
            continue  # its own file's rates, which no change has set yet
        if not any(top is not None and abs(top - told[-1]) < 1e-6 * top for top in tops_then):
            found.append(Breach(RULES[0], sess, at, f"top rung {told[-1]} kB/s, in force {tops_then}"))
    return found


def _top(top_at: list[tuple[int, float]], version: int) -> float | None:
    """The top rung's rate as of a version; None before any change of it."""
    at = bisect.bisect_right(top_at, (version, math.inf))
    return top_at[at - 1][1] if at else None


def _at(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, max(0, math.ceil(part * len(ordered)) - 1))]


def _figures(
    rows: list[Row], found: Followed, since: int, end: int, fronts: int, hollow: int
) -> dict[str, tuple[float, str]]:
    everybody, made = fronts + hollow, dict[str, tuple[float, str]]()
    good = [one for one in found.spreads if one.kind == Kind.GOOD.value]
    made["config.versions"] = float(len(found.spreads)), "versions"
    committed = sum(row["what"] == "committed" and row["at"] >= since for row in rows)
    made["config.changes"] = committed / max((end - since) / SECOND, 1e-9), "1/s"
    if good:
        made["config.in-force"] = float(min(len(one.after) for one in good)), "fronts"
    times = sorted(time for one in good for time in one.after)
    if times and not any(one.missing for one in good):
        made["config.in-force.p50"] = _at(times, 0.5), "s"
        made["config.in-force.p999"] = _at(times, 0.999), "s"
        made["config.in-force.all"] = times[-1], "s"
        returned = sorted(time for one in good for time in one.returned)
        if returned and len(returned) < len(times):
            never_cut = sorted((Counter(times) - Counter(returned)).elements())
            made["config.in-force.not-cut.p999"] = _at(never_cut, 0.999), "s"
            made["config.in-force.not-cut.all"] = never_cut[-1], "s"
            made["config.in-force.returned.p50"] = _at(returned, 0.5), "s"
            made["config.in-force.returned.all"] = returned[-1], "s"
        real = sorted(time for one in good for time in one.real)
        if hollow and real:  # hollow ones are believed where these are alike
            made["config.in-force.real.p50"] = _at(real, 0.5), "s"
            made["config.in-force.real.p999"] = _at(real, 0.999), "s"
    made["config.refused"] = float(sum(len(one.refused) for one in found.spreads)), "refusals"
    asked = [row["known"] for row in rows if row["what"] == "title-asked"]
    if asked:
        made["config.title-known"] = float(sum(known is True for known in asked)), "fronts"
    rollouts = [row for row in rows if row["what"] == "rollout"]
    if rollouts and rollouts[-1]["counts"]:
        made["config.rollout"] = float(rollouts[-1]["counts"]["in-force"]), "fronts, as ponddoor config tells"
    until = max((row["at"] for row in rows if row["what"] == "instance-sums"), default=end)
    over = max((until - since) / SECOND, 1e-9)
    sums = [row for row in rows if row["what"] == "instance-sums"]
    if sums:
        passed = sum(row["received"] + row["sent"] for row in sums)
        made["config.bytes"] = passed / everybody / over, "B/s a front"
        headers = HEADERS * sum(row["writes"] for row in sums)
        made["config.bytes.with-headers"] = (passed + headers) / everybody / over, "B/s a front"
        most = max(row["received"] + row["sent"] for row in sums)
        made["config.instance-bytes"] = most / over, "B/s an instance, most"
        made["config.instance-raft-bytes"] = max(row["raft"] for row in sums) / over, "B/s an instance, most"
        made["config.instance-cpu"] = max(row["seconds"] for row in sums) / over, "cores an instance, most"
        made["config.instance-memory"] = max(row["memory"] for row in sums) / 1e6, "MB, most"
        made["config.connections"] = max(row["most_connections"] for row in sums), "at one instance, most"
        requests = [n for row in sums for n in row["requests"]]
        made["config.requests"] = sum(requests) / over, "requests a second at all"
    used = {row["process"]: row["seconds"] for row in rows if row["what"] == "process-sums"}
    spent = [seconds for name, seconds in used.items() if name.startswith("front ")]
    empty = [seconds for name, seconds in used.items() if name.startswith("hollow ")]
    if spent:
        made["config.front-cpu"] = sum(spent) / len(spent) / over, "cores a real front, all it does"
    if empty and hollow:
        made["config.hollow-cpu"] = sum(empty) / hollow / over, "cores a hollow front, all it does"
    for name, methods in (("config.herd", ("GET",)), ("config.herd.with-reports", ("GET", "POST"))):
        herd = _herd(rows, methods)
        if herd is not None:
            made[name] = herd, "times"
    return made


def _herd(rows: list[Row], methods: tuple[str, ...]) -> float | None:
    """The most requests in a second over the mean, while those who were cut off come back."""
    told = [row for row in rows if row["what"] == "instance-requests" and row["method"] in methods]
    moments = sorted(at for row in told for at in row["moments"])
    worst: float | None = None
    for row in rows:
        if row["what"] != "link-whole" or not row["fault"]["cut"]:
            continue
        mine = moments[bisect.bisect_left(moments, row["at"]) : bisect.bisect_right(moments, row["at"] + DUE)]
        if len(mine) >= 10:
            worst = max(worst or 0.0, evenness(mine, SECOND))
    return worst
