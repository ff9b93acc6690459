"""A day: a small text file of arrivals and troubles with times. The same file and seed draw the same day.

docs/operating.md has every field. Times in the drawn day are microseconds from its begin."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import numpy as np

from ponddoor.rehearse import changes
from ponddoor.rehearse.changes import Instances, Pace, instances_of, pace_of
from ponddoor.rehearse.places import MOST_HOLLOW, Layout
from ponddoor.settings.check import Form, top_form
from ponddoor.settings.sexpr import Problem, SettingsError, read
from ponddoor.settings.site import Site, load

SECOND = 1_000_000
# name: whether it strikes servers, the fields it takes with their least, most and default
TROUBLES: dict[str, dict[str, tuple[float, float, float]]] = {
    "crash": {"part": (0, 1, 0.2)},
    "vanish": {"part": (0, 1, 0.15)},
    "slow": {"part": (0, 1, 0.2), "size": (1, 100, 3)},
    "hang": {"part": (0, 1, 0.15)},
    "fast_errors": {"part": (0, 1, 0.15), "size": (0, 1, 0.6)},
    "neighbour": {"part": (0, 1, 0.4), "size": (0, 0.95, 0.5)},
    "report_late": {"part": (0, 1, 1), "size": (0, 60, 3)},
    "answer_lost": {"part": (0, 1, 0.5), "size": (0, 1, 0.3)},
    "hot_key": {"size": (0, 1, 0.15)},
    "zone_loss": {"fronts": (0, 1, 0), "silent": (0, 1, 0)},
    "deploy": {"part": (0, 1, 0.6), "size": (0, 1, 0.15), "drain": (0, 60, 3)},
    "discovery_down": {},
    "balancer_roll": {"part": (0, 1, 1), "down": (0, 60, 0.8)},
    "origin_slow": {"size": (1, 100, 3)},
    "peer_down": {"part": (0, 1, 1)},
    "front_deaths": {"every": (0.1, 60, 3), "down": (0, 60, 0.8)},
    "words_lost": {"size": (0, 1, 0.2)},
    "hint_lies": {"part": (0, 1, 0.2)},
    "hint_late": {"part": (0, 1, 0.5), "size": (0, 60, 5)},
    "hint_stuck": {"part": (0, 1, 0.2)},
    "connections_cut": {"size": (0, 1, 0.1)},
    "fronts_killed": {"part": (0, 1, 0.7), "down": (0, 60, 1), "apart": (0, 60, 0)},
    "fronts_ended": {"part": (0, 1, 1), "down": (0, 60, 1), "apart": (0, 60, 0)},
    "fronts_stopped": {"part": (0, 1, 1)},
    "fronts_told": {"part": (0, 1, 1)},
    "link_cut": {"part": (0, 1, 1)},
    "link_stall": {"part": (0, 1, 1)},
    "link_lossy": {"part": (0, 1, 1), "size": (0, 1, 0.2)},
    "link_slow": {"part": (0, 1, 1), "size": (0, 60, 0.2)},
    "link_narrow": {"part": (0, 1, 1), "size": (100, 1e9, 10_000)},
    "link_reset": {"part": (0, 1, 1)},
    **changes.TROUBLES,
    "place_killed": {"which": (-1, 10_000, -1)},
    "place_stopped": {"which": (-1, 10_000, -1)},
    "place_cut": {"which": (-1, 10_000, -1)},
    "place_moved": {"which": (-1, 10_000, -1)},
}
_PLACES = ("machine", "rack", "zone", "region")
_LINKS = ("list", "servers", "fronts", "list-out", "servers-out", "fronts-out", "list-in", "servers-in",
          "fronts-in", "instances", "instances-out", "instances-in")  # fmt: skip

HOWS: dict[str, tuple[str, ...]] = {
    "answer_lost": ("silent", "reset"),
    "hint_lies": ("idle", "duress"),
    **{kind: _LINKS for kind in TROUBLES if kind.startswith("link_")},
    **changes.HOWS,
    **{kind: _PLACES for kind in TROUBLES if kind.startswith("place_")},
    "place_cut": (*_PLACES, *(f"{place}-{way}" for place in _PLACES for way in ("out", "in"))),
}


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: when it begins and how long it lasts, in microseconds, and its figures."""

    kind: str
    at: int
    length: int
    figures: dict[str, float]
    how: str


@dataclass(frozen=True, slots=True)
class Day:
    """A day as its file has it."""

    name: str
    site: Site
    length: int
    seed: int
    servers: int
    fronts: int
    rate: float
    swing: float
    zipf: float
    stay: tuple[int, int]
    small: float
    returns: float
    come_back: tuple[int, int]
    mix: tuple[float, ...]
    troubles: tuple[Trouble, ...]
    entitlement: str = ""
    segments: bool = False
    heed: float = 1.0
    liars: float = 0.0
    weak: float = 0.0
    malformed: float = 0.0
    candid: bool = False  # those who would lie tell the truth, to be compared
    shell: str = "front"  # the program that is played: `front`, or the platform's `node`
    cold: bool = False  # servers begin cold, at the day's begin
    at_once: bool = False  # all fronts begin at the day's begin, and viewers do not wait for them
    answers: float = 0.0  # what the list bears a second (0: all), its queue, and how long it stays fallen
    queue: int = 100
    fall: int = 5 * SECOND
    instances: Instances | None = None  # that agree on the configuration, and how it changes
    changes: Pace | None = None
    each: float = 0.0  # viewers a second at every front, from which the rate is reckoned; 0: as `rate` says
    hollow: int = 0  # fronts without viewers beside the real ones, numbered after them
    layout: Layout = Layout()
    count: tuple[int, int] = (0, 0)  # from when to when words are counted


@dataclass(frozen=True, slots=True)
class Viewer:
    """One viewer: when it comes, where, and what it wants. `stay` in microseconds."""

    number: int
    at: int
    zone: int
    group: int
    tenant: int
    title: str
    top: int
    stay: int
    front: int = -1  # where it asks; -1: at any of its zone


def load_day(
    path: Path, seed: int | None = None, hints: bool | None = None, shares: Mapping[str, float] | None = None
) -> Day:
    """The day a file describes, with hints or without where `hints` says so, and other `shares` of players.

    Raises SettingsError with all that is wrong, also with the site it names."""
    problems: list[Problem] = []
    top = top_form(read(path), "day", str(path), problems)
    site_path = path.parent / top.text("site")
    site = load(site_path)
    site = site if hints is None else replace(site, hints=hints)
    load_part = top.number("load", 0.0, 0, 10)
    servers = top.whole("servers", 15, 1, 1000)
    stay = _span(top, "stay", (20 * SECOND, 60 * SECOND))
    rate = top.number("rate", 0.0, 0, 100_000) or _rate(site, servers, load_part or 0.7, stay)
    mixed = top.one("mix", needed=False)
    named = [group.name for group in site.facts.groups]
    mix = [mixed.number(name, 0.0) for name in named] if mixed else [1.0] * len(named)
    if mixed:
        mixed.done()
    if sum(mix) <= 0:
        top.problem(top.place, "a mix of nothing", "a share above 0 of one service group")
        mix = [1.0] * len(mix)
    day = Day(
        name=top.words[0].text if top.words else path.stem,
        site=site,
        length=top.time("length", 60 * SECOND, SECOND),
        seed=top.whole("seed", 1),
        servers=servers,
        fronts=top.whole("fronts", len(site.fronts), 1, 300),
        rate=rate,
        swing=top.number("swing", 0.3, 0, 1),
        zipf=top.number("zipf", 0.8, 0, 3),
        stay=stay,
        small=top.number("small-screens", 0.25, 0, 1),
        returns=top.number("returns", 0.9, 0, 1),
        come_back=_span(top, "come-back", (SECOND // 2, 3 * SECOND)),
        mix=tuple(share / sum(mix) for share in mix),
        troubles=tuple(trouble for form in top.many("at") for trouble in _trouble(form)),
    )
    entitlement = top.text("entitlement", "")
    if entitlement and entitlement not in {name for _, name in site.seats.limits}:
        top.problem(top.place, f"entitlement {entitlement}", f"one that {site.name} has")
    day = replace(day, entitlement=entitlement)
    players = top.section("players")
    told: dict[str, Any] = {name: players.flag(name, False) for name in ("segments", "candid")}
    for name, usual in (("heed", 1.0), ("liars", 0.0), ("weak", 0.0), ("malformed", 0.0)):
        told[name] = players.number(name, usual, 0, 1)
    day = replace(day, **told)
    players.done()
    bears = top.section("list")
    shell, cold = top.choice("shell", ("front", "node"), "front"), top.flag("cold", False)
    day = replace(day, shell=shell, cold=cold, at_once=top.flag("at-once", False))
    answers, queue = bears.number("answers", 0.0, 0, 1e6), bears.whole("queue", 100, 1, 1_000_000)
    day = replace(day, answers=answers, queue=queue, fall=bears.time("fall", 5 * SECOND))
    bears.done()
    day = replace(day, instances=instances_of(top), changes=pace_of(top))
    _fits_instances(top, day)
    hollow, each = top.whole("hollow", 0, 0, MOST_HOLLOW), top.number("each", 0.0, 0, 1000)
    day = replace(day, hollow=hollow, each=each, layout=_layout(top.section("places"), site))
    day = replace(day, count=_span(top, "count", (day.length // 4, day.length)))
    day = replace(day, **(shares or {}))  # type: ignore[arg-type]
    if day.each:
        day = replace(day, rate=day.each * (day.fronts + day.hollow))
    _fits_hollow(top, day)
    top.done(words=1)
    if day.servers < site.facts.plant.cells:
        found = f"{day.servers} servers for {site.facts.plant.cells} cells of {site.name}"
        top.problem(top.place, found, "a server for each cell at least, or titles lie nowhere")
    if problems:
        raise SettingsError(sorted(problems, key=lambda p: (p.place.line, p.place.column)))
    if seed is None:
        return day
    return replace(day, seed=seed)


def _fits_instances(top: Form, day: Day) -> None:
    if day.instances is not None and day.shell != "front":
        top.problem(top.place, "(instances ...) with (shell node)", "(shell front): nodes do not follow")
    asked = [t.kind for t in day.troubles if t.kind in changes.TROUBLES or t.how.startswith("instances")]
    if day.instances is None and (day.changes is not None or asked):
        found = "(changes ...)" if day.changes is not None else asked[0]
        top.problem(top.place, f"{found} without instances", "(instances N)")


def _layout(held: Form, site: Site) -> Layout:
    """(places (machine FRONTS) (rack MACHINES) (regions N))"""
    zones = tuple([place.zone for place in site.fronts] or [0])
    machine, rack = held.whole("machine", 4, 1, 1000), held.whole("rack", 5, 1, 1000)
    made = Layout(zones, machine, rack, held.whole("regions", 1, 1, 100))
    held.done()
    return made


def _fits_hollow(top: Form, day: Day) -> None:
    """Hollow fronts are played with what they follow, and troubles by place with the fronts they strike."""
    if not day.hollow:
        if any(trouble.kind.startswith("place_") for trouble in day.troubles):
            top.problem(top.place, "a trouble by place without hollow fronts", "(hollow N)")
        return
    wants = {
        "(shell front)": day.shell == "front",
        "a site without hints: (hints no)": not day.site.hints,
        "no entitlement": not day.entitlement,
        "words between fronts: (messages yes)": day.site.facts.permissions.messages,
        "(at-once no)": not day.at_once,
    }
    for wanted, kept in wants.items():
        if not kept:
            top.problem(top.place, f"hollow fronts in {day.name}", wanted)
    for trouble in day.troubles:
        if trouble.kind.startswith("place_") and trouble.figures["which"] >= 0:
            most = day.layout.count(trouble.how.partition("-")[0], day.fronts + day.hollow)
            if trouble.figures["which"] >= most:
                found = f"{trouble.how} {trouble.figures['which']:g}"
                top.problem(top.place, found, f"one of 0 to {most - 1}")


def _span(top: Form, name: str, default: tuple[int, int]) -> tuple[int, int]:
    held = top.one(name, needed=False)
    if held is None:
        return default
    low, high = held.time("from", default[0]), held.time("to", default[1])
    if low > high:
        held.problem(held.place, f"from {low}us to {high}us", "the shorter one first")
    held.done()
    return low, high


def _rate(site: Site, servers: int, load: float, stay: tuple[int, int]) -> float:
    """New sessions a second that fill so much of all links at the middle rung."""
    facts = site.facts
    middle = facts.ladder.rate_kb[len(facts.ladder.rate_kb) // 2]
    links = sum(weight_of(site, n) for n in range(servers)) * facts.plant.kb_per_weight
    return load * links / (middle * (stay[0] + stay[1]) / 2 / SECOND)


def weight_of(site: Site, number: int) -> float:
    """A stand-in's weight: its kind's places over the smallest kind's, times two."""
    streams = site.facts.plant.streams
    return 2.0 * streams[number % len(streams)] / min(streams)


def _trouble(form: Form) -> list[Trouble]:
    """(at TIME (KIND (for TIME) (FIGURE value)...)...)"""
    when = form.measure(form.name(), {"s": SECOND, "ms": 1000, "min": 60 * SECOND}, 0, 3600 * SECOND)
    made = []
    for kind, figures in TROUBLES.items():
        for held in form.many(kind):
            got = {name: held.number(name, usual, low, high) for name, (low, high, usual) in figures.items()}
            hows = HOWS.get(kind)
            how = held.choice("how", hows, hows[0]) if hows else ""
            made.append(Trouble(kind, round(when or 0), held.time("for", 10 * SECOND), got, how))
            held.done()
    if not made:
        form.problem(form.place, "no trouble", f"one of: {', '.join(TROUBLES)}")
    form.done(words=1)
    return made


def viewers_of(day: Day, front: int) -> list[Viewer]:
    """The viewers of one front of a day with hollow ones: one in each slot of the same length, at a moment of
    it by chance, so that all fronts are asked as often and differ by nothing else."""
    rng = np.random.default_rng([day.seed, 71, front])
    facts, slot = day.site.facts, SECOND * (day.fronts + day.hollow) / day.rate
    titles = sorted(day.site.titles.listed) or [f"title-{n}" for n in range(40)]
    popular = np.array([1 / (rank + 1) ** day.zipf for rank in range(len(titles))])
    order = np.random.default_rng([day.seed, 72]).permutation(len(titles))  # the same are popular everywhere
    shares = np.array([tenant.share for tenant in facts.tenants] or [1.0])
    made = []
    for at in range(int(day.length / slot)):
        group = int(rng.choice(len(day.mix), p=day.mix))
        title = titles[int(order[int(rng.choice(len(titles), p=popular / popular.sum()))])]
        most = facts.groups[group].top
        small = rng.random() < day.small
        top = max(facts.groups[group].floor, int(rng.integers(0, most + 1))) if small else most
        tenant = int(rng.choice(len(shares), p=shares / shares.sum()))
        when, stay = round((at + rng.random()) * slot), int(rng.uniform(*day.stay))
        zone = day.layout.zone(front)
        made.append(Viewer(front * 1_000_000 + at, when, zone, group, tenant, title, top, stay, front))
    return made


def draw(day: Day) -> list[Viewer]:
    """All viewers of a day, drawn ahead from its seed, in order of their coming."""
    if day.hollow:
        drawn = [viewer for front in range(day.fronts) for viewer in viewers_of(day, front)]
        return sorted(drawn, key=lambda viewer: viewer.at)
    rng = np.random.default_rng([day.seed, 5])
    site, facts = day.site, day.site.facts
    titles = sorted(site.titles.listed) or [f"title-{n}" for n in range(40)]
    if site.titles.unlisted is not None:
        titles += [f"title-{n}" for n in range(max(0, 40 - len(titles)))]
    popular = np.array([1 / (rank + 1) ** day.zipf for rank in range(len(titles))])
    order = rng.permutation(len(titles))
    shares = [tenant.share for tenant in facts.tenants] or [1.0]
    hot = [t for t in day.troubles if t.kind == "hot_key"]
    viewers: list[Viewer] = []
    at = 0.0
    while True:
        wave = 1 + day.swing * np.sin(2 * np.pi * at / max(day.length / 2, 1))
        at += float(rng.exponential(SECOND / (day.rate * wave)))
        if at >= day.length:
            return viewers
        group = int(rng.choice(len(day.mix), p=day.mix))
        crowd = [t for t in hot if t.at <= at < t.at + t.length]
        pick = int(order[int(rng.choice(len(titles), p=popular / popular.sum()))])
        if crowd and rng.random() < sum(t.figures["size"] for t in crowd):
            pick = int(order[-1])
        most = facts.groups[group].top
        small = rng.random() < day.small
        top = max(facts.groups[group].floor, int(rng.integers(0, most + 1))) if small else most
        zone = int(rng.integers(0, len(site.zones) or 1))
        tenant = int(rng.choice(len(shares), p=np.array(shares) / sum(shares)))
        stay = int(rng.uniform(*day.stay))
        viewers.append(Viewer(len(viewers), round(at), zone, group, tenant, titles[pick], top, stay))
