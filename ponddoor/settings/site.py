"""One file describes a site; this turns it into what each part of the program is told.

`load` reads and checks a file whole. Docs: docs/operating.md has every field with its unit and default."""

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from ponddoor.interface import facts as fx
from ponddoor.settings.check import Form, top_form
from ponddoor.settings.limits import Limits
from ponddoor.settings.sexpr import Listing, Node, Problem, SettingsError, parse, read, word

Address = tuple[str, int]
SECOND = 1_000_000
MOST_INSTANCES = 100


@dataclass(frozen=True, slots=True)
class TitlePlace:
    """The cells that hold a title: `span` of them in a row from `home`."""

    home: int
    span: int


@dataclass(frozen=True, slots=True)
class Titles:
    """Where titles lie; `unlisted` holds those not named, None if they are unknown."""

    listed: dict[str, TitlePlace]
    unlisted: TitlePlace | None

    def find(self, title: str) -> TitlePlace | None:
        return self.listed.get(title, self.unlisted)


@dataclass(frozen=True, slots=True)
class ServerSide:
    """How a front reaches media servers."""

    connections: int
    idle_time: int
    notes_silence: int
    probe_timeout: int
    attach_time: int


@dataclass(frozen=True, slots=True)
class ListSide:
    """How a front reaches the server list. `others` are further addresses of the same list."""

    address: Address
    retry: int
    silence: int
    others: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class FrontPlace:
    """One front's zone and addresses."""

    zone: int
    viewers: Address
    words: Address
    metrics: Address


@dataclass(frozen=True, slots=True)
class WordsSide:
    """The key of the fronts' words and how old a word may be."""

    key: bytes
    age: int


@dataclass(frozen=True, slots=True)
class FollowSide:
    """Where the front follows the shared configuration: the APIs of the instances that agree on it. Times in
    microseconds: `silence` after which one is left, `report_every` between two reports to them. `folder` is
    where paths in the versions count from."""

    instances: tuple[Address, ...]
    silence: int
    report_every: int
    folder: Path = Path()


@dataclass(frozen=True, slots=True)
class SeatTerms:
    """How many may play at once by (tenant, entitlement), and how long seats and shares run
    (microseconds)."""

    limits: dict[tuple[str, str], int]
    token: int
    lease: int
    drift: float
    borrow_wait: int
    come_back: int


@dataclass(frozen=True, slots=True)
class Site:
    """Everything a site file says."""

    name: str
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    facts: fx.SiteFacts
    titles: Titles
    limits: Limits
    servers: ServerSide
    listing: ListSide
    fronts: tuple[FrontPlace, ...]
    words: WordsSide
    seats: SeatTerms
    hints: bool
    node: tuple[Node, ...]
    follow: FollowSide | None = None

    def facts_of(self, me: int, seed: int | None = None) -> fx.SiteFacts:
        """What front `me` is told at its start. Raises IndexError for a front the file does not have."""
        drawn = secrets.randbits(64) if seed is None else seed
        return replace(self.facts, me=me, zone=self.fronts[me].zone, seed=drawn)

    def group_names(self) -> tuple[str, ...]:
        return tuple(group.name for group in self.facts.groups)


def load(path: Path) -> Site:
    """The site a file describes. Raises SettingsError with all that is wrong."""
    return check(read(path), str(path), path.parent)


def loads(text: str, file: str = "<text>") -> Site:
    """The site a text describes. Raises SettingsError with all that is wrong."""
    return check(parse(text, file), file, Path())


def check(nodes: Sequence[Node], file: str, folder: Path) -> Site:
    """The site that parsed lists describe; paths in it count from `folder`."""
    problems: list[Problem] = []
    site = _site(top_form(nodes, "site", file, problems), folder)
    if problems:
        raise SettingsError(sorted(problems, key=lambda p: (p.place.line, p.place.column)))
    return site


def _site(top: Form, folder: Path) -> Site:
    zones = _names(top, "zones")
    ladder, rungs = _ladder(top.section("ladder"))
    kinds, streams = _kinds(top)
    plant = _plant(top, streams)
    groups = _groups(top, rungs)
    facts = fx.SiteFacts(
        me=0,
        fronts=1,
        zone=0,
        seed=0,
        asked_discovery=False,
        reporting=fx.Reporting.OFF,
        report_fields=(),
        over_share_utility=top.number("over-share-utility", 1.0, 0, 1),
        groups=groups,
        tenants=_tenants(top),
        ladder=ladder,
        plant=plant,
        rules=_rules(top),
        permissions=_permissions(top),
        prices=_prices(top),
    )
    reporting, names = _reporting(top)
    titles, limits = _titles(top, plant.cells), _limits(top.section("limits"))
    asked, listing = _list(top)
    fronts = _fronts(top, zones)
    facts = replace(
        facts, fronts=max(1, len(fronts)), asked_discovery=asked, reporting=reporting, report_fields=names
    )
    seats = _seats(top.section("entitlements"), [tenant.name for tenant in facts.tenants])
    needs_key = bool(seats.limits) or (facts.permissions.messages and len(fronts) > 1)
    words = _words(top.section("words"), folder, needs_key)
    site = Site(
        top.words[0].text if top.words else "site",
        tuple(zones),
        kinds,
        facts,
        titles,
        limits,
        _servers(top.section("servers")),
        listing,
        fronts,
        words,
        seats,
        top.flag("hints", True),
        (top.node,),
        _follow(top, folder),
    )
    top.done(words=1)
    return site


def _names(top: Form, name: str) -> list[str]:
    held = top.one(name)
    if held is None:
        return []
    names: list[str] = []
    for atom in held.words:
        if atom.text in names:
            held.problem(atom.place, f"{atom} again", "each name once")
        names.append(atom.text)
    if not names:
        held.problem(held.place, f"no names in ({name})", "one at least")
    held.done(words=len(held.words))
    return names


def _ladder(held: Form) -> tuple[fx.Ladder, int]:
    rates: list[float] = []
    utilities: list[float] = []
    for rung in held.many("rung"):
        rate, utility = rung.rate("rate"), rung.number("utility", None, 0, 1)
        if rates and (rate <= rates[-1] or utility < utilities[-1]):
            rung.problem(
                rung.place,
                f"a rung of {rate:g}kB/s and utility {utility:g}",
                f"more than the rung before ({rates[-1]:g}kB/s, {utilities[-1]:g})",
            )
        rates.append(rate)
        utilities.append(utility)
        rung.done()
    if not rates:
        held.problem(
            held.place, "a ladder without rungs", "(rung (rate 500kB/s) (utility 0.5)) at least once"
        )
        rates, utilities = [1.0], [1.0]
    ladder = fx.Ladder(
        tuple(rates),
        tuple(utilities),
        held.time("switch-cost", 0) / SECOND,
        held.number("shortfall-cost", 1.0, 0, 100),
        held.number("join", 1.0, 0, 1),
    )
    held.done()
    return ladder, len(rates)


def _kinds(top: Form) -> tuple[tuple[str, ...], tuple[int, ...]]:
    held = top.section("kinds")
    kinds: list[tuple[str, int]] = []
    for name, kind in held.named("kind", "kind"):
        kinds.append((name, kind.whole("streams", None, 1)))
        kind.done(words=1)
    if not kinds:
        top.problem(held.place, "no kinds of servers", "(kinds (kind NAME (streams N)))")
    held.done()
    return tuple(kind[0] for kind in kinds), tuple(kind[1] for kind in kinds)


def _plant(top: Form, streams: tuple[int, ...]) -> fx.Plant:
    held = top.section("plant")
    cells, racks = held.whole("cells", None, 1, 65535), held.whole("racks", None, 1, 65535)
    plant = fx.Plant(
        cells=cells or 1,
        racks=racks or 1,
        kb_per_weight=held.rate("link-per-weight"),
        uplink_kb=held.rate("uplink"),
        streams=streams,
        refuse_at=held.number("refuse-at", 0.0, 0, 100),
        note_delay=held.time("note-delay", 0),
        note_every=held.time("note-every", 0),
    )
    if 0 < cells < racks:
        held.problem(
            held.place, f"{plant.racks} racks for {plant.cells} cells", "as many cells as racks at least"
        )
    held.done()
    return plant


def _groups(top: Form, rungs: int) -> tuple[fx.ServiceGroup, ...]:
    held, groups = top.section("groups"), []
    for name, group in held.named("group", "service group"):
        floor, most = group.whole("floor", 0, 0, rungs - 1), group.whole("top", rungs - 1, 0, rungs - 1)
        if floor > most:
            group.problem(group.place, f"floor {floor} above top {most}", "a floor at or below the top")
        target, timeout = group.time("start-target"), group.time("setup-timeout")
        if target > timeout:
            group.problem(
                group.place,
                f"a start target of {target}us after {timeout}us",
                "a start target within the setup timeout",
            )
        groups.append(
            fx.ServiceGroup(
                name,
                target,
                timeout,
                group.number("utility", 1.0, 0.001, 1000),
                fx.Effect(group.choice("effect", [effect.value for effect in fx.Effect], "safe")),
                fx.Scope(group.choice("scope", [scope.value for scope in fx.Scope], "all")),
                group.time("memory", 5 * SECOND),
                floor,
                most,
                group.whole("seats", 0),
                group.flag("live", False),
                group.number("rate-factor", 1.0, 0.01, 100),
            )
        )
        group.done(words=1)
    if not groups:
        top.problem(held.place, "no service groups", "(groups (group NAME (start-target 1s) ...))")
    held.done()
    return tuple(groups)


def _tenants(top: Form) -> tuple[fx.Tenant, ...]:
    held = top.section("tenants")
    tenants: list[fx.Tenant] = []
    for name, unit in held.named("tenant", "tenant"):
        tenants.append(fx.Tenant(name, unit.number("quota", None, 0.001), unit.number("share", None, 0, 1)))
        unit.done(words=1)
    if sum(tenant.share for tenant in tenants) > 1.000001:
        held.problem(held.place, f"shares of {sum(t.share for t in tenants):g} in all", "1 at most")
    held.done()
    return tuple(tenants)


def _rules(top: Form) -> fx.Rules:
    held = top.section("rules")
    budget = held.one("budget", needed=False)
    rules = fx.Rules(
        cold=held.time("cold", 12 * SECOND),
        cold_from=held.number("cold-from", 0.4, 0.01, 1),
        drain_grace=held.time("drain-grace", SECOND // 2),
        fall_multiple=held.number("fall-multiple", 2.5, 1, 100),
        fall=held.time("fall", SECOND, 1000),
        answer_grace=held.time("answer-grace", 40_000),
        ask_every=held.time("ask-every", 10 * SECOND),
        spare_setups=budget.whole("spare", None) if budget else None,
        resend_ratio=budget.number("ratio", None, 0, 100) if budget else 0.0,
        resend_span=budget.time("span", None, 1000) if budget else 0,
    )
    if budget:
        budget.done()
    held.done()
    return rules


def _permissions(top: Form) -> fx.Permissions:
    held = top.section("permissions")
    longest = held.time("come-back", 0)
    allowed = fx.Permissions(
        probes=held.flag("probes", False),
        messages=held.flag("messages", False),
        cancel=True,
        max_attempts=held.whole("max-setups", 3, 1, 100),
        come_back=longest > 0,
        max_come_back=longest,
        connect_timeout=held.time("connect-timeout", SECOND // 4, 1000),
    )
    held.done()
    return allowed


def _prices(top: Form) -> fx.Prices:
    held = top.section("prices")
    prices = fx.Prices(
        *(held.number(name, 0.0, 0, 100) for name in ("cross-zone", "probe", "message", "move"))
    )
    held.done()
    return prices


FIELDS = {"util": "util", "link-asked": "link_asked", "uplink-asked": "uplink_asked", "streams": "streams"}


def _reporting(top: Form) -> tuple[fx.Reporting, tuple[str, ...]]:
    held = top.section("reporting")
    how = held.choice("how", ["off", "inline", "on-probe"], "off")
    wanted = held.one("fields", needed=False)
    names = [held.position(atom, list(FIELDS), "a report field") for atom in (wanted.words if wanted else ())]
    held.done()
    return fx.Reporting(how.replace("-", "_")), tuple(
        list(FIELDS.values())[at] for at in names if at is not None
    )


def _titles(top: Form, cells: int) -> Titles:
    held, listed = top.section("titles"), {}
    for name, title in held.named("title", "title"):
        listed[name] = TitlePlace(
            title.whole("home", None, 0, cells - 1), title.whole("span", None, 1, cells)
        )
        title.done(words=1)
    unlisted = held.choice("unlisted", ["everywhere", "unknown"], "unknown" if listed else "everywhere")
    held.done()
    return Titles(listed, TitlePlace(0, cells) if unlisted == "everywhere" else None)


def _limits(held: Form) -> Limits:
    limits = Limits(
        in_hand=held.whole("in-hand", 500, 1, 1_000_000),
        held=held.whole("held", 20_000, 1, 1_000_000),
        connections=held.whole("connections", 10_000, 1, 1_000_000),
        per_address=held.whole("per-address", 10_000, 1, 1_000_000),
        header_bytes=held.size("header-size", 16_000, 200, 1_000_000),
        body_bytes=held.size("body-size", 16_000, 10, 10_000_000),
        header_time=held.time("header-time", 5 * SECOND, 1000),
        idle_time=held.time("idle-time", 60 * SECOND, 1000),
        write_time=held.time("write-time", 5 * SECOND, 1000),
        loop_lag=held.time("loop-lag", SECOND // 4, 1000),
        repeats=held.whole("repeats", 40_000, 1, 1_000_000),
        repeat_time=held.time("repeat-time", 60 * SECOND),
        followers=held.whole("followers", 1000, 1, 1_000_000),
        drain_time=held.time("drain-time", 30 * SECOND),
    )
    if limits.per_address > limits.connections:
        held.problem(
            held.place, f"{limits.per_address} connections an address", f"{limits.connections} at most"
        )
    held.done()
    return limits


def _servers(held: Form) -> ServerSide:
    side = ServerSide(
        connections=held.whole("connections", 64, 1, 10_000),
        idle_time=held.time("idle-time", 30 * SECOND, 1000),
        notes_silence=held.time("notes-silence", 3 * SECOND, 100_000),
        probe_timeout=held.time("probe-timeout", SECOND // 4, 1000),
        attach_time=held.time("attach-time", 5 * SECOND, 1000),
    )
    held.done()
    return side


def _list(top: Form) -> tuple[bool, ListSide]:
    held = top.one("list")
    if held is None:
        return False, ListSide(("127.0.0.1", 0), SECOND, 3 * SECOND)
    asked = held.choice("mode", ["push", "ask"], "push") == "ask"
    side = ListSide(
        held.address("address"),
        held.time("retry", SECOND, 1000),
        held.time("silence", 3 * SECOND, 100_000),
        tuple(other.address("address") for other in held.many("other")),
    )
    held.done()
    return asked, side


def _follow(top: Form, folder: Path) -> FollowSide | None:
    held = top.one("follow", needed=False)
    if held is None:
        return None
    instances: list[Address] = []
    for one in held.many("instance"):
        address = _address(one)
        if address in instances:
            one.problem(one.place, f"instance {address[0]}:{address[1]} again", "each instance once")
        instances.append(address)
    if not instances:
        held.problem(held.place, "no instance", '(instance "HOST:PORT") once at least')
    if len(instances) > MOST_INSTANCES:
        held.problem(held.place, f"{len(instances)} instances", f"{MOST_INSTANCES} at most")
    side = FollowSide(
        tuple(instances),
        held.time("silence", 3 * SECOND, 1_100_000),  # a beat comes each second
        held.time("report-every", 5 * SECOND, 100_000),
        folder,
    )
    held.done()
    return side


def _address(held: Form) -> Address:
    """The address that a field (name "HOST:PORT") holds."""
    inner = Form(Listing((word("in"), held.node), held.place), held.problems)
    return inner.address(held.node.head)


def _fronts(top: Form, zones: list[str]) -> tuple[FrontPlace, ...]:
    held = top.one("fronts")
    places: list[FrontPlace] = []
    taken: dict[Address, str] = {}
    for name, front in held.named("front", "front") if held else ():
        if name != str(len(places)):
            front.problem(
                front.name().place, f"front {name}", f"front {len(places)}: they count from 0 in order"
            )
        place = FrontPlace(
            front.index("zone", zones, "a zone", 0 if len(zones) < 2 else None),
            front.address("viewers"),
            front.address("words"),
            front.address("metrics"),
        )
        for what, address in (("viewers", place.viewers), ("words", place.words), ("metrics", place.metrics)):
            own = f"the {what} of front {name}"
            key = (f"{'udp' if what == 'words' else 'tcp'} {address[0]}", address[1])
            if address[1] and key in taken:
                front.problem(
                    front.place, f"{own} at {address[0]}:{address[1]}", f"another: {taken[key]} are there"
                )
            taken[key] = own
        places.append(place)
        front.done(words=1)
    if held and not places:
        held.problem(held.place, "no fronts", "(front 0 (viewers ...) (words ...) (metrics ...))")
    if held:
        held.done()
    return tuple(places)


def _seats(held: Form, tenants: list[str]) -> SeatTerms:
    limits: dict[tuple[str, str], int] = {}
    for one in held.many("entitlement"):
        name, tenant = one.name(), one.index("tenant", tenants, "a tenant") if tenants else 0
        key = (tenants[tenant] if tenants else "", name.text)
        if key in limits:
            one.problem(name.place, f"entitlement {name} again", "each entitlement of a tenant once")
        limits[key] = one.whole("limit", None, 0)
        one.done(words=1)
    terms = SeatTerms(
        limits,
        held.time("token", 10 * SECOND, 100_000),
        held.time("lease", 30 * SECOND, 300_000),
        held.number("drift", 0.01, 0, 0.2),
        held.time("borrow-wait", SECOND // 2, 1000),
        held.time("come-back", SECOND),
    )
    if terms.lease < 2 * terms.token:
        held.problem(
            held.place, f"a lease of {terms.lease}us for tokens of {terms.token}us", "twice a token's life"
        )
    held.done()
    return terms


def _words(held: Form, folder: Path, needed: bool) -> WordsSide:
    text, file = held.text("key", ""), held.text("key-file", "")
    if file:
        try:
            text = (folder / file).read_text().strip()
        except OSError as problem:
            held.problem(held.place, f"{file}: {problem.strerror}", "a readable key file")
            text = "00" * 32
    try:
        key = bytes.fromhex(text)
    except ValueError:
        key = b""
    if (needed or text) and len(key) < 16:
        held.problem(
            held.place,
            "a key that is no 16 bytes in hexadecimal" if text else "no key",
            '(key-file "FILE") or (key "HEX") of 16 bytes at least',
        )
    side = WordsSide(key or bytes(16), held.time("age", 10 * SECOND, 1000))
    held.done()
    return side
