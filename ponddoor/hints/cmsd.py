"""Reads and writes CMSD (CTA-5006): the hints of media servers and intermediaries in response headers.

Free of I/O. CMSD-Static describes the object; CMSD-Dynamic has an entry of each hop that the response passed.
Reading raises no error on bad input but counts what is lost."""

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
MAX_HOPS = 16
DEFAULT_BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class Hop:
    """The entry of one server or intermediary in CMSD-Dynamic.

    The first entry in the header is the origin's, the last is that of the hop nearest to the player."""

    name: str
    values: Values = field(default_factory=dict)


def read_static(text: str, bounds: Bounds = DEFAULT_BOUNDS) -> ReadResult:
    return read_dictionary(text, CMSD_STATIC_KEYS, bounds)


def write_static(values: Values) -> str:
    """The CMSD-Static header. Raises ValueError if a value can't be written."""
    return ",".join(serialize_members(values, CMSD_STATIC_KEYS).values())


def read_dynamic(text: str, bounds: Bounds = DEFAULT_BOUNDS) -> tuple[list[Hop], ReadResult]:
    """Reads the entries of CMSD-Dynamic. Returns them in order, and what was lost.

    An entry without a valid name is lost alone."""
    read, hops = ReadResult(), list[Hop]()
    members = parse(text, "list", bounds, read)
    for index, member in enumerate(members or []):
        if index >= MAX_HOPS:
            read.add_lost("too-many-hops", len(members) - index)
            break
        name, parameters = member
        if (
            not isinstance(name, str)
            or isinstance(name, http_sf.Token)
            or not 0 < len(name) <= MAX_STRING_CHARACTERS
        ):
            read.add_lost("malformed-hop")
            continue
        hop_read = ReadResult()
        add_valid_members(parameters, CMSD_DYNAMIC_KEYS, bounds, hop_read)
        for reason, times in hop_read.lost.items():
            read.add_lost(reason, times)
        hops.append(Hop(name, hop_read.values))
    return hops, read


def write_dynamic(hops: list[Hop]) -> str:
    """The CMSD-Dynamic header. Raises ValueError if a name or a value can't be written."""
    entries = []
    for hop in hops:
        try:
            entries.append(http_sf.ser([(hop.name, {})]))
        except StructuredFieldError as error:
            raise ValueError(f"{hop.name!r} can't be an intermediary's name: {error}") from None
        if any(name != name.lower() for name in hop.values):
            raise ValueError(f"{hop.name}: a key in CMSD-Dynamic may have no capitals")
        entries[-1] += "".join(
            f";{text}" for text in serialize_members(hop.values, CMSD_DYNAMIC_KEYS).values()
        )
    return ",".join(entries)


def append_hop(text: str | None, hop: Hop, bounds: Bounds = DEFAULT_BOUNDS) -> str:
    """The CMSD-Dynamic header that an intermediary passes on: the entries that it can read, then its own.

    At most MAX_HOPS entries are kept. Raises ValueError if an entry can't be written."""
    hops, _ = read_dynamic(text or "", bounds)
    return write_dynamic([*hops[: MAX_HOPS - 1], hop])
