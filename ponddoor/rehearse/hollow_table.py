"""What a day with hollow fronts tells: words by kind, cost, times to know, and whether hollow fronts agree
with the real ones beside them. Free of I/O.

Fronts that keep no part of the account are compared with one another, since who keeps is drawn by number and
few real fronts do; of those who keep, the answers to a question are compared. A kind of which few words were
said is held to the count that chance allows."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ponddoor.capacity.records import Record, cores

WITHIN = 0.05  # by which words and bytes of a kind may differ
ENOUGH = 1600  # words of a kind on each side, from which chance is well under that
UNLIKELY = 1e-5  # of fewer words: a chance under which two counts are not of one rate
KEEPERS_SAY = ("answer", "brief")  # only who keeps a part says these
TO_ALL = "begun"
ASKED = {"answer": "holders", "brief": "ours"}  # and in answer to these
SECOND = 1_000_000
LATE = "hollow: loop, share of time late"
BUSY = 0.05  # of the time late: the machine was too busy for what a run says of times and words
COSTS = {  # figures of the cost, by the line of the table that has them
    "real: processor, share of a core a front": ("scale.cpu.real", "core"),
    "hollow: processor, share of a core a front": ("scale.cpu.hollow", "core"),
    "memory of all processes, most, MB": ("scale.run.memory", "MB"),
    "hollow: loop, most late, ms": ("scale.run.late", "ms"),
    LATE: ("scale.run.late.share", "1"),
}
WORDS, BYTES = "1/s", "B/s"
Kinds = dict[str, list[int]]
Change = tuple[int, int, int, bool]  # (us, front, other, whether it takes the other for dead from now on)


@dataclass(frozen=True, slots=True)
class Seen:
    """What one front had said (`out`) and heard (`into`) by kind at a moment (us); `cost` in seconds."""

    front: int
    life: int
    at: int
    out: Kinds
    into: Kinds
    keeps: bool
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Span:
    """What one front said in a span of time."""

    front: int
    seconds: float
    out: Kinds
    into: Kinds
    keeps: bool
    cost: float


@dataclass(frozen=True, slots=True)
class Happened:
    """Fronts that were killed (`dead`), or were back, at a moment (us). `name` tells the place."""

    name: str
    at: int
    fronts: frozenset[int]
    dead: bool


@dataclass(frozen=True, slots=True)
class Known:
    """How long until half, and 99 in 100, of pairs of a living front and one it happened to knew (s)."""

    name: str
    dead: bool
    pairs: int
    half: float
    most: float


@dataclass(frozen=True, slots=True)
class KindRow:
    """Words and bytes a front a second of a kind, of real and of hollow fronts; of the keepers' kinds a
    question. `counts` are the words that this rests on."""

    kind: str
    real: tuple[float, float]
    hollow: tuple[float, float]
    counts: tuple[int, int]

    def apart(self) -> tuple[float, float]:
        """By how much hollow lies off real, in words and in bytes."""
        return tuple(  # type: ignore[return-value]
            (h - r) / r if r else (0.0 if not h else math.inf)
            for r, h in zip(self.real, self.hollow, strict=True)
        )

    def agrees(self, weights: tuple[float, float]) -> bool:
        """Within 5%; of few words within what chance allows. `weights` are the fronts and seconds behind
        each count."""
        if min(self.counts) >= ENOUGH:
            return max(map(abs, self.apart())) <= WITHIN
        return max(map(abs, self.apart())) <= WITHIN or chance(self.counts, weights) >= UNLIKELY


@dataclass(slots=True)
class Agreement:
    """The rows of a run's table, and where hollow fronts do not agree with real ones."""

    kinds: list[KindRow] = field(default_factory=list)
    known: list[tuple[Known, Known, Known]] = field(default_factory=list)  # real, hollow, all
    apart: list[str] = field(default_factory=list)


def chance(counts: tuple[int, int], weights: tuple[float, float]) -> float:
    """How likely it is that words of one rate divide so, or less evenly, over two sides of these weights:
    both tails of the binomial, with the counts' sum held fixed (Przyborowski and Wilenski, 1940)."""
    whole, part = sum(counts), weights[0] / max(sum(weights), 1e-9)
    if not whole or not 0 < part < 1:
        return 1.0

    def mass(n: int) -> float:
        ways = math.lgamma(whole + 1) - math.lgamma(n + 1) - math.lgamma(whole - n + 1)
        return math.exp(ways + n * math.log(part) + (whole - n) * math.log(1 - part))

    low = sum(mass(n) for n in range(counts[0] + 1))
    high = sum(mass(n) for n in range(counts[0], whole + 1))
    return min(1.0, 2 * min(low, high))


def spans(before: Iterable[Seen], after: Iterable[Seen]) -> list[Span]:
    """What each front said between two moments; who did not live through is left out."""
    first = {seen.front: seen for seen in before}
    made = []
    for last in after:
        begun = first.get(last.front)
        if begun is None or begun.life != last.life or last.at <= begun.at:
            continue
        out, into = _less(last.out, begun.out), _less(last.into, begun.into)
        seconds, keeps = (last.at - begun.at) / SECOND, last.keeps or begun.keeps
        made.append(Span(last.front, seconds, out, into, keeps, last.cost - begun.cost))
    return made


def _less(last: Kinds, first: Kinds) -> Kinds:
    none = [0, 0]
    return {
        kind: [n - m for n, m in zip(row, first.get(kind, none), strict=True)] for kind, row in last.items()
    }


def total(some: Iterable[Span], kind: str, into: bool = False) -> tuple[int, int]:
    """Words and bytes of a kind, or heard of it, over these fronts."""
    words = size = 0
    for span in some:
        row = (span.into if into else span.out).get(kind, (0, 0))
        words, size = words + row[0], size + row[1]
    return words, size


def kind_rows(real: list[Span], hollow: list[Span]) -> tuple[list[KindRow], list[str]]:
    """A row for each kind, and the kinds in which hollow fronts do not agree."""
    rows, apart = [], []
    kinds = sorted({kind for span in [*real, *hollow] for kind in span.out})
    plain = [[span for span in side if not span.keeps] for side in (real, hollow)]
    for kind in kinds:
        if kind in KEEPERS_SAY:
            sides = [[span for span in side if span.keeps] for side in (real, hollow)]
            weights = [float(total(side, ASKED[kind], into=True)[0]) for side in sides]
            if not all(weights):
                continue  # no keeper of one sort was asked: nothing to compare
        else:
            sides = plain
            weights = [sum(span.seconds for span in side) for side in sides]
        sums = [total(side, kind) for side in sides]
        each = [(n / max(w, 1e-9), b / max(w, 1e-9)) for (n, b), w in zip(sums, weights, strict=True)]
        # Said to all at once: what chance draws is the saying, not each of its words
        heard_by = max(span.front for span in [*real, *hollow]) if kind == TO_ALL else 1
        row = KindRow(kind, each[0], each[1], (sums[0][0] // heard_by, sums[1][0] // heard_by))
        rows.append(row)
        if not row.agrees((weights[0], weights[1])):
            apart.append(f"{kind}: {row.real[0]:.3f} real, {row.hollow[0]:.3f} hollow")
    return rows, apart


def known(happened: Happened, changes: Iterable[Change], observers: frozenset[int], until: int) -> Known:
    """How long it took these observers; a pair that did not come to know by `until` counts as never."""
    took: dict[tuple[int, int], int] = {}
    stood: dict[tuple[int, int], bool] = {}
    for at, front, other, dead in changes:
        if front not in observers or other not in happened.fronts or at >= until:
            continue
        if at < happened.at:
            stood[front, other] = dead
        elif dead is happened.dead:
            took.setdefault((front, other), at - happened.at)
    pairs = len(observers) * len(happened.fronts)
    if not happened.dead:  # who was not taken for dead before need not be found to live
        pairs = sum(stood.values())
        took = {pair: span for pair, span in took.items() if stood.get(pair, False)}
    ordered = sorted(took.values())

    def quantile(part: float) -> float:
        need = max(1, math.ceil(part * pairs))
        return ordered[need - 1] / SECOND if pairs and len(ordered) >= need else math.inf

    return Known(happened.name, happened.dead, pairs, quantile(0.5), quantile(0.99))


def knowledge(
    events: list[Happened], changes: list[Change], lived: frozenset[int], real: int, end: int
) -> list[tuple[Known, Known, Known]]:
    """Of each event: how long real fronts took, hollow ones, and all, of those that lived throughout."""
    rows = []
    for event in events:
        later = [one.at for one in events if one.at > event.at and one.fronts & event.fronts]
        until = min(later, default=end)
        some = lived - event.fronts
        sides = (frozenset(f for f in some if f < real), frozenset(f for f in some if f >= real), some)
        rows.append(tuple(known(event, changes, side, until) for side in sides))
    return rows  # type: ignore[return-value]


def agreement(
    real: list[Span], hollow: list[Span], learned: list[tuple[Known, Known, Known]], period: float
) -> Agreement:
    """The table's rows; hollow fronts agree where `apart` is empty. `period` in seconds."""
    rows, apart = kind_rows(real, hollow)
    plain = [rates([span for span in side if not span.keeps]) for side in (real, hollow)]
    for what, one, other in zip(("words", "bytes"), *plain, strict=True):
        if one and abs(other - one) > WITHIN * one:
            apart.append(f"all kinds, {what}: {one:.2f} real, {other:.2f} hollow")
    for of_real, of_hollow, _ in learned:
        if not of_real.dead:
            continue  # few pairs, each found when it is pinged by chance: shown, and not judged
        for name in ("half", "most"):
            one, other = getattr(of_real, name), getattr(of_hollow, name)
            if math.isinf(one) and math.isinf(other):
                continue
            if math.isinf(one) or math.isinf(other) or abs(one - other) > period:
                what = "dead" if of_real.dead else "alive"
                apart.append(f"{of_real.name}, {what}, {name}: {one:.2f} s real, {other:.2f} s hollow")
    return Agreement(rows, learned, apart)


def lines(found: Agreement, real: list[Span], hollow: list[Span], cost: dict[str, float]) -> list[str]:
    """The table of a run."""
    said = [f"{'words a front a second, bytes with headers':44}{'real':>16}{'hollow':>16}{'apart':>16}"]
    for row in found.kinds:
        words, size = row.apart()
        name = f"{row.kind} a question" if row.kind in KEEPERS_SAY else row.kind
        few = " few" if min(row.counts) < ENOUGH else ""
        said.append(
            f"  {name:42}{row.real[0]:8.3f}{row.real[1]:8.1f}{row.hollow[0]:8.3f}{row.hollow[1]:8.1f}"
            f"{words:+8.1%}{size:+8.1%}{few}"
        )
    for name, keeps in (("all kinds, who keeps nothing", False), ("all kinds, who keeps a part", True)):
        sides = [[span for span in side if span.keeps is keeps] for side in (real, hollow)]
        each = [rates(side) for side in sides]
        both = zip(each, sides, strict=True)
        told = "".join(f"{e[0]:8.2f}{e[1]:8.1f}" if side else f"{'-':>16}" for e, side in both)
        said.append(f"  {name:42}{told}  ({len(sides[0])} real, {len(sides[1])} hollow)")
    for name, figure in cost.items():
        said.append(f"{name:44}{figure:16.4g}")
    if found.known:
        said.append(f"{'time to know, s: half and 99%':44}{'real':>16}{'hollow':>16}{'all':>16}")
    for sides_known in found.known:
        one = sides_known[0]
        name = f"{one.name} {'dead' if one.dead else 'alive'}"
        said.append(f"  {name:42}" + "".join(f"{k.half:8.2f}{k.most:8.2f}" for k in sides_known))
    if busy(cost):
        said.append(
            f"the machine was too busy: loops were late {cost[LATE]:.0%} of the time, this run says nothing"
        )
    said += [f"NOT AGREED: {line}" for line in found.apart] or ["hollow fronts agree with real ones"]
    return said


def rates(some: list[Span], into: bool = False) -> tuple[float, float]:
    """Words and bytes a front a second, of all kinds; or heard."""
    seconds = max(sum(span.seconds for span in some), 1e-9)
    rows = [row for span in some for row in (span.into if into else span.out).values()]
    return sum(row[0] for row in rows) / seconds, sum(row[1] for row in rows) / seconds


def busy(cost: dict[str, float]) -> bool:
    """Whether the machine had too little left for a run; its records are kept apart."""
    return cost.get(LATE, 0.0) > BUSY


@dataclass(frozen=True, slots=True)
class Run:
    """Which run: the day's name and seed, the text's commit, the command, and which of several."""

    name: str
    seed: int
    commit: str
    command: str
    repetition: int


def records(
    run: Run,
    everybody: list[Span],
    sides: tuple[list[Span], list[Span]],
    found: Agreement,
    cost: dict[str, float],
) -> list[Record]:
    """The figures of a run over its size, as the page reads them. Words are those of all fronts, what they
    said in lives that ended among them as far as it is told; `sides` are the fronts that were not struck."""
    fronts, under = int(cost["fronts"]), run.name + ("-busy" if busy(cost) else "")

    def made(what: str, figure: float, unit: str) -> Record:
        return Record(
            what=what, under=under, of="fronts", size=fronts, repetition=run.repetition, seed=run.seed,
            figure=figure, unit=unit, how="sockets", commit=run.commit, cores=cores(), command=run.command,
        )  # fmt: skip

    out = []
    seconds = max(sum(span.seconds for span in everybody), 1e-9)
    for kind in sorted({kind for span in everybody for kind in span.out}):
        words, size = total(everybody, kind)
        out.append(made(f"scale.words.{kind}", words / seconds, WORDS))
        out.append(made(f"scale.bytes.{kind}", size / seconds, BYTES))
    words_all, bytes_all = rates(everybody)
    out += [made("scale.words", words_all, WORDS), made("scale.bytes", bytes_all, BYTES)]
    for side, some in zip(("real", "hollow"), sides, strict=True):
        if some:
            out.append(made(f"scale.bytes.all.{side}", rates(some)[1], BYTES))
    if everybody:
        words_in, bytes_in = max(rates([span], into=True) for span in everybody)
        out.append(made("scale.keeper.fan-in", words_in, WORDS))
        out.append(made("scale.keeper.bytes", bytes_in, BYTES))
        out.append(made("scale.keeper.bytes.out", max(rates([span])[1] for span in everybody), BYTES))
    keepers = [span for span in everybody if span.keeps]
    if keepers:
        out.append(made("scale.keepers.bytes.out", rates(keepers)[1], BYTES))
    out += [made(what, cost[key], unit) for key, (what, unit) in COSTS.items() if key in cost]
    for _, _, of_all in found.known:
        kind, place, *_ = of_all.name.split()
        state = "dead" if of_all.dead else "alive"
        for part, figure in (("half", of_all.half), ("p99", of_all.most)):
            if math.isfinite(figure):
                out.append(made(f"scale.know.{state}.{part}.{kind}-{place}", figure, "s"))
    return out if everybody else []


def as_dict(found: Agreement, cost: dict[str, float]) -> dict[str, Any]:
    """The table for scripts."""
    return {
        "kinds": [
            {"kind": r.kind, "real": r.real, "hollow": r.hollow, "words": r.counts, "apart": r.apart()}
            for r in found.kinds
        ],
        "known": [
            {
                "what": k[0].name,
                "dead": k[0].dead,
                "real": [k[0].half, k[0].most],
                "hollow": [k[1].half, k[1].most],
                "all": [k[2].half, k[2].most],
            }
            for k in found.known
        ],
        "not_agreed": found.apart,
        "cost": cost,
    }
