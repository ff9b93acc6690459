"""The keys of CMCD and CMSD: their kind, carrier group, unit, rounding and bounds, as published.

CMCD version 1 is CTA-5004 (2020), version 2 CTA-5004-A; CMSD is CTA-5006 (2022). Wire words live here and in
the codecs beside, nowhere else."""

from dataclasses import dataclass
from enum import Enum

LONGEST_ID = 64  # characters of cid and sid
LONGEST_TEXT = 1024  # of every other string
MOST_LIST = 32  # members of a list
MOST_INTEGER = 999_999_999_999_999  # RFC 9651, section 3.3.1


class Kind(Enum):
    """What a value is: the bare items of RFC 9651 that the two specifications use."""

    INTEGER = "integer"
    DECIMAL = "decimal"
    BOOLEAN = "boolean"
    STRING = "string"
    TOKEN = "token"


class Group(Enum):
    """The request header that carries a key; in CMSD the one header of its sort."""

    REQUEST = "CMCD-Request"
    OBJECT = "CMCD-Object"
    STATUS = "CMCD-Status"
    SESSION = "CMCD-Session"
    STATIC = "CMSD-Static"
    DYNAMIC = "CMSD-Dynamic"


@dataclass(frozen=True, slots=True)
class Key:
    """One key. `nearest` is what a sender rounds to; `many` says that version 2 may send a list of
    values, each with its object type; `omitted` is the value that is not sent."""

    name: str
    kind: Kind
    group: Group
    since: int = 1
    unit: str = ""
    nearest: int = 1
    longest: int = LONGEST_TEXT
    tokens: tuple[str, ...] = ()
    many: bool = False
    omitted: object = None


_OBJECT_TYPES = ("m", "a", "v", "av", "i", "c", "tt", "k", "o")
_FORMATS = ("d", "h", "s", "o")
_STATES = ("s", "p", "k", "r", "a", "w", "e", "f", "q", "d")
_EVENTS = (
    "abe", "abs", "ae", "as", "b", "bc", "c", "ce", "e", "h", "m", "pc", "pe", "pr", "ps", "rr", "sk", "t",
    "um",
)  # fmt: skip


def _integer(name: str, group: Group, unit: str, since: int = 1, nearest: int = 1, many: bool = False) -> Key:
    return Key(name, Kind.INTEGER, group, since, unit, nearest, many=many)


def _flag(name: str, group: Group, since: int = 1, many: bool = False) -> Key:
    return Key(name, Kind.BOOLEAN, group, since, many=many, omitted=False)


def _text(name: str, group: Group, since: int = 1, longest: int = LONGEST_TEXT, many: bool = False) -> Key:
    return Key(name, Kind.STRING, group, since, longest=longest, many=many)


def _token(name: str, group: Group, tokens: tuple[str, ...], since: int = 1) -> Key:
    return Key(name, Kind.TOKEN, group, since, tokens=tokens)


def _table(*keys: Key) -> dict[str, Key]:
    return {key.name: key for key in keys}


_R, _O, _S, _N = Group.REQUEST, Group.OBJECT, Group.STATUS, Group.SESSION

CMCD = _table(
    # version 1
    _integer("br", _O, "kbps", many=True),
    _integer("bl", _R, "ms", nearest=100, many=True),
    _flag("bs", _S, many=True),
    _text("cid", _N, longest=LONGEST_ID),
    _integer("d", _O, "ms"),
    _integer("dl", _R, "ms", nearest=100),
    _integer("mtp", _R, "kbps", nearest=100, many=True),
    _text("nor", _R, many=True),
    _text("nrr", _R),
    _token("ot", _O, _OBJECT_TYPES),
    Key("pr", Kind.DECIMAL, _N, omitted=1.0),
    _integer("rtp", _S, "kbps", nearest=100),
    _token("sf", _N, _FORMATS),
    _text("sid", _N, longest=LONGEST_ID),
    _token("st", _N, ("v", "l")),
    _flag("su", _R),
    _integer("tb", _O, "kbps", many=True),
    Key("v", Kind.INTEGER, _N, omitted=1),
    # version 2
    _integer("ab", _O, "kbps", 2, many=True),
    _flag("bg", _S, 2),
    _integer("bsa", _S, "", 2, many=True),
    _integer("bsd", _S, "ms", 2, many=True),
    _integer("bsda", _S, "ms", 2, many=True),
    _text("cdn", _S, 2),
    _text("cen", _S, 2),
    _text("cmsdd", _R, 2),
    _text("cmsds", _R, 2),
    _integer("dfa", _S, "", 2),
    _token("e", _S, _EVENTS, 2),
    _text("ec", _S, 2, many=True),
    _text("h", _S, 2),
    _integer("lab", _O, "kbps", 2, many=True),
    _integer("lb", _O, "kbps", 2, many=True),
    _integer("ltc", _R, "ms", 2),
    _integer("msd", _N, "ms", 2),
    _flag("nr", _S, 2),
    _integer("pb", _S, "kbps", 2, many=True),
    _integer("pt", _S, "ms", 2),
    _integer("rc", _R, "", 2),
    _text("smrt", _R, 2),
    _integer("sn", _S, "", 2),
    _token("sta", _S, _STATES, 2),
    _integer("tab", _O, "kbps", 2, many=True),
    _integer("tbl", _R, "ms", 2, many=True),
    _integer("tpb", _O, "kbps", 2, many=True),
    _integer("ts", _S, "ms since 1970", 2),
    _integer("ttfb", _R, "ms", 2),
    _integer("ttfbb", _R, "ms", 2),
    _integer("ttlb", _R, "ms", 2),
    _text("url", _R, 2),
)

CMSD_STATIC = _table(
    _integer("at", Group.STATIC, "ms since 1970"),
    _integer("br", Group.STATIC, "kbps"),
    _integer("d", Group.STATIC, "ms"),
    _integer("ht", Group.STATIC, "ms"),
    _text("n", Group.STATIC),
    _text("nor", Group.STATIC),
    _text("nrr", Group.STATIC),
    _token("ot", Group.STATIC, _OBJECT_TYPES),
    _token("sf", Group.STATIC, _FORMATS),
    _token("st", Group.STATIC, ("v", "l")),
    _flag("su", Group.STATIC),
    Key("v", Kind.INTEGER, Group.STATIC, omitted=1),
)

CMSD_DYNAMIC = _table(
    _flag("du", Group.DYNAMIC),
    _integer("etp", Group.DYNAMIC, "kbps"),
    _integer("mb", Group.DYNAMIC, "kbps"),
    _integer("rd", Group.DYNAMIC, "ms"),
    _integer("rtt", Group.DYNAMIC, "ms"),
)
