"""Which parts of a configuration version a front takes over, and why it can't take others; free of I/O.

Sessions, seats and the log of decisions refer to service groups and tenants by number. For the life of a
front a number keeps its meaning: a name that a version removes keeps its number and admits no new sessions, a
new name gets the next number, and a name that returns gets its old one. The numbers of two fronts may
therefore differ; no message between fronts contains them.

Some parts are fixed when the front starts, as the decisions or an I/O shell depend on them (reporting times,
links and racks, the rules of SETUPs). A version that changes such a part is refused as a whole, with the
names of the parts, and is taken at the next start. A front's own place (fronts, words, list, hints, node,
follow) comes from its own site file; what a version says about it is ignored."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from ponddoor.interface.facts import ServiceGroup, Tenant
from ponddoor.settings.site import SeatTerms, Site

MAX_NUMBERS = 1000  # of service groups, and of tenants, in one life of a front
T = TypeVar("T", ServiceGroup, Tenant)

# The parts of a site that can't change in service, by the form that sets them
FIXED_PARTS: dict[str, Callable[[Site], object]] = {
    "zones": lambda site: site.zones,
    "kinds": lambda site: (site.kinds, site.facts.plant.streams),
    "plant": lambda site: replace(site.facts.plant, streams=()),
    "rules": lambda site: site.facts.rules,
    "permissions": lambda site: site.facts.permissions,
    "prices": lambda site: site.facts.prices,
    "reporting": lambda site: (site.facts.reporting, site.facts.report_fields),
    "servers": lambda site: site.servers,
    "entitlements' times": lambda site: replace(site.seats, limits={}),
}


@dataclass(frozen=True, slots=True)
class Terms:
    """The terms on which a front admits new sessions.

    `site` lists every service group and tenant under its number in this front's life; `groups` and `tenants`
    map the names of those that are open to their numbers."""

    site: Site
    groups: dict[str, int]
    tenants: dict[str, int]
    min_start_target_us: int  # at the front's start; the fleet's timing derives from it
    has_entitlements: bool  # at the front's start
    version: int = 0
    digest: str = ""

    def number_of_group(self, name: str) -> int | None:
        """The number of a service group that is or was open; None for an unknown name."""
        return _number_of(name, self.site.facts.groups)

    def number_of_tenant(self, name: str) -> int | None:
        """The number of a tenant that is or was open; 0 for any name while the site has no tenants."""
        return _number_of(name, self.site.facts.tenants) if self.site.facts.tenants else 0


def initial_terms(site: Site, version: int = 0, digest: str = "") -> Terms:
    """The terms of a front that starts with a site, from its own file or from a version."""
    groups, tenants = site.facts.groups, site.facts.tenants
    return Terms(
        site,
        _open_numbers(groups, groups),
        _open_numbers(tenants, tenants),
        _min_start_target_us(site),
        bool(site.seats.limits),
        version,
        digest,
    )


# At the start: all of a version except the front's own place


def site_at_start(own: Site, version: Site) -> Site:
    """The site of a version with this front's own place in it.

    `reasons_against_start` must have returned no reason."""
    fronts = tuple(
        replace(place, zone=version.zones.index(own.zones[place.zone])) if own.zones else place
        for place in own.fronts
    )
    facts = replace(version.facts, fronts=own.facts.fronts, asked_discovery=own.facts.asked_discovery)
    return replace(
        version,
        name=own.name,
        facts=facts,
        fronts=fronts,
        listing=own.listing,
        words=own.words,
        hints=own.hints,
        node=own.node,
        follow=own.follow,
    )


def reasons_against_start(own: Site, version: Site) -> tuple[str, ...]:
    """The reasons why a front can't start with a version; empty if it can."""
    reasons: list[str] = []
    missing = sorted({own.zones[place.zone] for place in own.fronts if own.zones} - set(version.zones))
    if missing:
        reasons.append(f"zones: no {', '.join(missing)}, which fronts of this file are in")
    sends_messages = version.facts.permissions.messages and len(own.fronts) > 1
    if (sends_messages or version.seats.limits) and not any(own.words.key):
        reasons.append("words: no key in this front's own file")
    return tuple(reasons)


# In service


def reasons_against(current: Terms, version: Site) -> tuple[str, ...]:
    """The reasons why a front in service can't take a version; empty if it can."""
    reasons = [
        f"{name}: only at a start"
        for name, part in FIXED_PARTS.items()
        if part(current.site) != part(version)
    ]
    if _min_start_target_us(version) != current.min_start_target_us:
        reasons.append(
            f"groups: least start target {_min_start_target_us(version)} us, "
            f"{current.min_start_target_us} us until the next start"
        )
    if version.seats.limits and not current.has_entitlements:
        reasons.append("entitlements: none at this front's start")
    for kind, current_names, new_names in (
        ("groups", _names(current.site.facts.groups), _names(version.facts.groups)),
        ("tenants", _names(current.site.facts.tenants), _names(version.facts.tenants)),
    ):
        numbers = len(dict.fromkeys([*current_names, *new_names]))
        if numbers > MAX_NUMBERS:
            reasons.append(f"{kind}: {numbers} names in this front's life, {MAX_NUMBERS} at most")
    if bool(current.site.facts.tenants) != bool(version.facts.tenants):
        # Requests to a site without tenants count for tenant number 0, which would change its meaning
        reasons.append("tenants: none, or the first, only at a start")
    return tuple(reasons)


def updated_terms(current: Terms, version: Site, number: int, digest: str) -> Terms:
    """The terms of a front after it has taken a version; `reasons_against` must have returned no reason."""
    old, new = current.site.facts, version.facts
    groups, tenants = _numbered(old.groups, new.groups), _numbered(old.tenants, new.tenants)
    facts = replace(
        old, groups=groups, tenants=tenants, ladder=new.ladder, over_share_utility=new.over_share_utility
    )
    seats: SeatTerms = replace(current.site.seats, limits=version.seats.limits)
    site = replace(current.site, facts=facts, titles=version.titles, limits=version.limits, seats=seats)
    return replace(
        current,
        site=site,
        groups=_open_numbers(groups, new.groups),
        tenants=_open_numbers(tenants, new.tenants),
        version=number,
        digest=digest,
    )


def _numbered(old: tuple[T, ...], new: tuple[T, ...]) -> tuple[T, ...]:
    """All entries of this front's life under their numbers, with their newest terms; new ones come last."""
    by_name: dict[str, T] = {entry.name: entry for entry in old}
    return tuple((by_name | {entry.name: entry for entry in new}).values())


def _open_numbers(numbered: tuple[T, ...], new: tuple[T, ...]) -> dict[str, int]:
    """The numbers of the entries that a version names, by name."""
    open_names = set(_names(new))
    return {entry.name: number for number, entry in enumerate(numbered) if entry.name in open_names}


def _number_of(name: str, numbered: tuple[T, ...]) -> int | None:
    return next((number for number, entry in enumerate(numbered) if entry.name == name), None)


def _names(entries: tuple[T, ...]) -> list[str]:
    return [entry.name for entry in entries]


def _min_start_target_us(site: Site) -> int:
    return min((group.start_target for group in site.facts.groups), default=0)
