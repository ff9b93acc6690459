"""Changes of configuration on a rehearsed day: what its file says of them, and each change, drawn ahead.

A good change adds a title `change-N` (one asks a front for it and knows whether it has the version), drops an
older one, and may set a limit, a service group's utility or the top rung's rate, which a SETUP tells to its
server. A bad one either does not pass the file's own
checks, so that the instances refuse it, or changes the prices, which no front can change in service: the
version is committed, and the next good change puts the prices back. Times are microseconds from the day's
begin."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np

from ponddoor.settings.check import RATES, Form
from ponddoor.settings.sexpr import Atom, Listing, Node, form, word

SECOND = 1_000_000
KEPT_TITLES = 3
CALM = 12 * SECOND  # at a day's end, so that each change has its 9 s
MOST = 10_000
TROUBLES: dict[str, dict[str, tuple[float, float, float]]] = {
    "instances_killed": {"part": (0, 1, 0.2), "every": (0.5, 600, 20), "down": (0, 60, 5)},
    "instances_cut": {"part": (0, 1, 0.2)},
}
HOWS = {
    "instances_killed": ("any", "leader", "leader-in-change"),
    "instances_cut": ("all", "peers", "fronts"),
}


class Kind(Enum):
    """What becomes of a change: fronts take it, fronts refuse it, or the instances do."""

    GOOD = "good"
    REFUSED_BY_FRONTS = "refused-by-fronts"
    REFUSED_BY_INSTANCES = "refused-by-instances"


@dataclass(frozen=True, slots=True)
class Instances:
    """The instances of a day: `(instances 5 (follow yes) (under "calm"))`. `under` names the conditions in
    the records; where fronts do not follow, that is what is measured."""

    count: int
    follow: bool
    conditions: str

    @property
    def under(self) -> str:
        return self.conditions if self.follow else "no-follow"


@dataclass(frozen=True, slots=True)
class Pace:
    """How changes come: `(changes (every 26s) (from 2s) (bad 0.1) (seed 3))`, or `(a-minute 100)`."""

    every: int
    begin: int
    bad: float
    seed: int


@dataclass(frozen=True, slots=True)
class Planned:
    """One change: when it is sent, and what it says."""

    number: int
    at: int
    kind: Kind
    sets: dict[str, str]
    drops: tuple[str, ...]
    title: str  # that it adds; empty where it adds none
    top_kb: float = 0.0  # the top rung's rate that it sets; 0: it sets none

    @property
    def why(self) -> str:
        """What its version is known by."""
        return f"change {self.number}"


def instances_of(top: Form) -> Instances | None:
    """What a day says of its instances."""
    held = top.one("instances", needed=False)
    if held is None:
        return None
    text = held.words[0].text if held.words else ""
    count = int(text) if text.isdigit() else 0
    if not 1 <= count <= 9:
        held.problem(held.place, f"{text or 'no'} instances", "1 to 9")
    made = Instances(count, held.flag("follow", True), held.text("under", "calm"))
    held.done(words=1)
    return made


def pace_of(top: Form) -> Pace | None:
    """What a day says of its changes."""
    held = top.one("changes", needed=False)
    if held is None:
        return None
    a_minute = held.number("a-minute", 0.0, 0, 6000)
    every = held.time("every", 26 * SECOND, SECOND // 100)
    if a_minute:
        if held.has("every"):
            held.problem(held.place, "(every ...) and (a-minute ...)", "one of them")
        every = round(60 * SECOND / a_minute)
    made = Pace(every, held.time("from", 2 * SECOND), held.number("bad", 0.0, 0, 1), held.whole("seed", 1))
    held.done()
    return made


def plan(pace: Pace, site: Listing, cells: int, length: int) -> list[Planned]:
    """All changes of a day of that length on a site, from the pace's seed. The last leaves room for its
    time."""
    rng = np.random.default_rng([pace.seed, 41])
    prices = _form(site, "prices") or form("prices", form("probe", 0))
    others = _with(prices, "message", 0.02)
    groups = [item for part in [_form(site, "groups")] if part for item in part.items[1:] if _head(item)]
    made: list[Planned] = []
    titles: list[str] = []
    ladder = _form(site, "ladder")
    put_back = False
    for number, at in enumerate(range(pace.begin, max(length - CALM, pace.begin + 1), pace.every)):
        if number >= MOST:
            break
        bad, which, home = rng.random() < pace.bad, int(rng.integers(0, 4)), int(rng.integers(0, cells))
        pick = int(rng.integers(0, max(len(groups), 1)))
        if bad and which < 2:
            sets = {"limits": "(limits (held 0))"}
            made.append(Planned(number, at, Kind.REFUSED_BY_INSTANCES, sets, (), ""))
            continue
        if bad:
            sets = {"prices": str(others)}
            if not put_back:
                made.append(Planned(number, at, Kind.REFUSED_BY_FRONTS, sets, (), ""))
                put_back = True
                continue
        title = f"change-{number}"
        sets = {f"titles/{title}": str(form("title", title, form("home", home), form("span", 1)))}
        titles.append(title)
        drops = (f"titles/{titles.pop(0)}",) if len(titles) > KEPT_TITLES else ()
        if put_back:
            sets["prices"], put_back = str(prices), False
        if which == 1:
            sets["limits"] = str(_with(_form(site, "limits") or form("limits"), "held", 5000 + number))
        if which == 2 and groups:
            group = groups[pick]
            assert isinstance(group, Listing)
            name = group.items[1]
            assert isinstance(name, Atom)
            sets[f"groups/{name.text}"] = str(_with(group, "utility", 1 + number % 7))
        top_kb = 0.0
        if which == 3 and ladder is not None:
            sets["ladder"], top_kb = _raised(ladder, 1 + (1 + number % 9) / 100)
        made.append(Planned(number, at, Kind.GOOD, sets, drops, title, top_kb))
    return made


def _form(site: Listing, head: str) -> Listing | None:
    return next((item for item in site.items if isinstance(item, Listing) and item.head == head), None)


def _head(node: Node) -> str:
    return node.head if isinstance(node, Listing) else ""


def _raised(ladder: Listing, factor: float) -> tuple[str, float]:
    """The ladder with its top rung's rate so many times as high, and that rate, kB a second."""
    last = [item for item in ladder.items if _head(item) == "rung"][-1]
    assert isinstance(last, Listing)
    rate = next(item for item in last.items if _head(item) == "rate")
    assert isinstance(rate, Listing) and isinstance(rate.items[1], Atom)
    found = re.fullmatch(r"([0-9.]+)([A-Za-z/]+)", rate.items[1].text)
    assert found is not None
    kb = round(float(found[1]) * RATES[found[2]] * factor, 3)
    kept = [item for item in last.items if item is not rate]
    top = Listing((kept[0], form("rate", word(f"{kb:g}kB/s")), *kept[1:]), last.place)
    return str(Listing(tuple(top if item is last else item for item in ladder.items), ladder.place)), kb


def _with(held: Listing, field: str, value: float) -> Listing:
    """A form with one field set anew."""
    kept: Sequence[Node] = [item for item in held.items if _head(item) != field]
    return Listing((*kept, form(field, value)), held.place)
