"""What of a version of the configuration a front takes in service, and why not; free of I/O.

Service groups and tenants are known by numbers: sessions, seats and the account keep them. In a front's life
a number means the same for good: what a version drops keeps its number and admits nobody new, what is new
comes last, what comes back has its old one. So the numbers of two fronts may differ; nothing that they tell
each other has any.

What hangs on the front's start, in the decisions or in a shell (the account's timing, links and racks, the
rules of set-ups), can't change while it serves: a version that changes it is refused whole, with the names of
the parts, and is taken at the next start. Where a front stands (fronts, words, list, hints, node, follow) is
its own file's; what a version says of it counts for nobody."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from ponddoor.interface.facts import ServiceGroup, Tenant
from ponddoor.settings.site import SeatTerms, Site

MOST_NUMBERS = 1000  # service groups, and tenants, in one life of a front
T = TypeVar("T", ServiceGroup, Tenant)

# What can't change in service, by the form that says it
FIXED: dict[str, Callable[[Site], object]] = {
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
    """What a front goes by for who comes now. `site` has service groups and tenants under the numbers of this
    front's life; `groups` and `tenants` are those that are open, by name."""

    site: Site
    groups: dict[str, int]
    tenants: dict[str, int]
    least: int  # start target at the front's start: the fleet's timing hangs on it
    seats: bool  # the front began with entitlements
    version: int = 0
    digest: str = ""

    def number_of_group(self, name: str) -> int | None:
        """The number of a service group that is open or was."""
        return _number(name, self.site.facts.groups)

    def number_of_tenant(self, name: str) -> int | None:
        """Likewise; 0 while the site has no tenants, as in a request that names none."""
        return _number(name, self.site.facts.tenants) if self.site.facts.tenants else 0


def begun(site: Site, version: int = 0, digest: str = "") -> Terms:
    """A front begins by a site, its own file's or a version's."""
    groups, tenants = site.facts.groups, site.facts.tenants
    return Terms(
        site,
        _open(groups, groups),
        _open(tenants, tenants),
        _least(site),
        bool(site.seats.limits),
        version,
        digest,
    )


# At a start: all of a version, but where the front stands


def at_start(own: Site, version: Site) -> Site:
    """A front's own place in the site that a version describes; `unusable_at_start` must have found
    nothing."""
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


def unusable_at_start(own: Site, version: Site) -> tuple[str, ...]:
    """Why a front can't begin by a version."""
    found: list[str] = []
    missing = sorted({own.zones[place.zone] for place in own.fronts if own.zones} - set(version.zones))
    if missing:
        found.append(f"zones: no {', '.join(missing)}, where fronts of this file stand")
    talks = version.facts.permissions.messages and len(own.fronts) > 1
    if (talks or version.seats.limits) and not any(own.words.key):
        found.append("words: no key in this front's own file")
    return tuple(found)


# In service


def unusable(held: Terms, version: Site) -> tuple[str, ...]:
    """Why a front that serves can't take a version; empty: it can."""
    found = [f"{name}: only at a start" for name, part in FIXED.items() if part(held.site) != part(version)]
    if _least(version) != held.least:
        found.append(f"groups: least start target {_least(version)} us, {held.least} us until the next start")
    if version.seats.limits and not held.seats:
        found.append("entitlements: none at this front's start")
    for what, ours, theirs in (
        ("groups", _names(held.site.facts.groups), _names(version.facts.groups)),
        ("tenants", _names(held.site.facts.tenants), _names(version.facts.tenants)),
    ):
        numbers = len(dict.fromkeys([*ours, *theirs]))
        if numbers > MOST_NUMBERS:
            found.append(f"{what}: {numbers} names in this front's life, {MOST_NUMBERS} at most")
    if bool(held.site.facts.tenants) != bool(version.facts.tenants):
        # Requests of a site without tenants count as the first tenant's: the number would change its meaning
        found.append("tenants: none, or the first, only at a start")
    return tuple(found)


def taken(held: Terms, version: Site, number: int, digest: str) -> Terms:
    """What a front goes by once it has taken a version; `unusable` must have found nothing."""
    old, new = held.site.facts, version.facts
    groups, tenants = _numbered(old.groups, new.groups), _numbered(old.tenants, new.tenants)
    facts = replace(
        old, groups=groups, tenants=tenants, ladder=new.ladder, over_share_utility=new.over_share_utility
    )
    seats: SeatTerms = replace(held.site.seats, limits=version.seats.limits)
    site = replace(held.site, facts=facts, titles=version.titles, limits=version.limits, seats=seats)
    return replace(
        held,
        site=site,
        groups=_open(groups, new.groups),
        tenants=_open(tenants, new.tenants),
        version=number,
        digest=digest,
    )


def _numbered(old: tuple[T, ...], new: tuple[T, ...]) -> tuple[T, ...]:
    """All that ever was, each under its number and by its newest terms; what is new comes last."""
    named: dict[str, T] = {one.name: one for one in old}
    return tuple((named | {one.name: one for one in new}).values())


def _open(numbered: tuple[T, ...], new: tuple[T, ...]) -> dict[str, int]:
    named = set(_names(new))
    return {one.name: number for number, one in enumerate(numbered) if one.name in named}


def _number(name: str, among: tuple[T, ...]) -> int | None:
    return next((number for number, one in enumerate(among) if one.name == name), None)


def _names(of: tuple[T, ...]) -> list[str]:
    return [one.name for one in of]


def _least(site: Site) -> int:
    return min((group.start_target for group in site.facts.groups), default=0)
