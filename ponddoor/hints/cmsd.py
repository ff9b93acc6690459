"""CMSD (CTA-5006): what servers and intermediaries say, static and dynamic. Free of I/O."""

from dataclasses import dataclass, field

import http_sf
from http_sf import StructuredFieldError

from ponddoor.hints.fields import (
    Bounds,
    ReadResult,
    Values,
    add_valid_members,
    parse,
    read_dictionary,
    serialize_members,
)
from ponddoor.hints.keys import CMSD_DYNAMIC_KEYS, CMSD_STATIC_KEYS, MAX_STRING_CHARACTERS

STATIC_HEADER, DYNAMIC_HEADER = "CMSD-Static", "CMSD-Dynamic"
MOST_HOPS = 16
BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class Hop:
    """What one intermediary says; the first in the header is the origin, the last is next to the player."""

    name: str
    values: Values = field(default_factory=dict)


def read_static(text: str, bounds: Bounds = BOUNDS) -> ReadResult:
    return read_dictionary(text, CMSD_STATIC_KEYS, bounds)


def write_static(values: Values) -> str:
    """Raises ValueError where a value can't be written."""
    return ",".join(serialize_members(values, CMSD_STATIC_KEYS).values())


def read_dynamic(text: str, bounds: Bounds = BOUNDS) -> tuple[list[Hop], ReadResult]:
    """The intermediaries in order, and what was lost. An entry without a name costs that entry."""
    read, hops = ReadResult(), list[Hop]()
    members = parse(text, "list", bounds, read)
    for number, member in enumerate(members or []):
        if number >= MOST_HOPS:
            read.add_lost("too-many-hops", len(members) - number)
            break
        name, about = member
        if (
            not isinstance(name, str)
            or isinstance(name, http_sf.Token)
            or not 0 < len(name) <= MAX_STRING_CHARACTERS
        ):
            read.add_lost("malformed-hop")
            continue
        inner = ReadResult()
        add_valid_members(about, CMSD_DYNAMIC_KEYS, bounds, inner)
        for why, times in inner.lost.items():
            read.add_lost(why, times)
        hops.append(Hop(name, inner.values))
    return hops, read


def write_dynamic(hops: list[Hop]) -> str:
    """Raises ValueError where a value can't be written."""
    made = []
    for hop in hops:
        try:
            made.append(http_sf.ser([(hop.name, {})]))
        except StructuredFieldError as problem:
            raise ValueError(f"{hop.name!r} can't be an intermediary's name: {problem}") from None
        if any(name != name.lower() for name in hop.values):
            raise ValueError(f"{hop.name}: a parameter has no capitals")
        made[-1] += "".join(f";{text}" for text in serialize_members(hop.values, CMSD_DYNAMIC_KEYS).values())
    return ",".join(made)


def appended(text: str | None, hop: Hop, bounds: Bounds = BOUNDS) -> str:
    """A header as an intermediary passes it on: with its own entry last; what can't be read is left out."""
    hops, _ = read_dynamic(text or "", bounds)
    return write_dynamic([*hops[: MOST_HOPS - 1], hop])
