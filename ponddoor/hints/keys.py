"""The keys of CMCD and CMSD as published: the kind of their values, their header, unit, rounding and limits.

CMCD version 1 is CTA-5004 (2020), version 2 is CTA-5004-A; CMSD is CTA-5006 (2022). The names and
formats on the wire are defined here and in the codecs `cmcd` and `cmsd`, nowhere else."""

from dataclasses import dataclass
from enum import Enum

MAX_ID_CHARACTERS = 64  # of cid and sid
MAX_STRING_CHARACTERS = 1024  # of all other strings
MAX_LIST_MEMBERS = 32
MAX_INTEGER = 999_999_999_999_999  # RFC 9651, section 3.3.1


class Kind(Enum):
    """The type of a value: the bare items of RFC 9651 that the two specifications use."""

    INTEGER = "integer"
    DECIMAL = "decimal"
    BOOLEAN = "boolean"
    STRING = "string"
    TOKEN = "token"


class Header(Enum):
    """The header that carries a key: a request header in CMCD, a response header in CMSD."""

    REQUEST = "CMCD-Request"
    OBJECT = "CMCD-Object"
    STATUS = "CMCD-Status"
    SESSION = "CMCD-Session"
    STATIC = "CMSD-Static"
    DYNAMIC = "CMSD-Dynamic"


@dataclass(frozen=True, slots=True)
class Key:
    """A key and the values that it allows.

    `since_version` is the version of the specification that introduced it. A sender rounds integers to a
    multiple of `rounding_step`, and does not send `omitted_value`, which absence implies. If `allows_list`
    is set, version 2 may send a list of values, each with its object type. `max_characters` limits strings,
    and `tokens` are the tokens that are allowed."""

    name: str
    kind: Kind
    header: Header
    since_version: int = 1
    unit: str = ""
    rounding_step: int = 1
    max_characters: int = MAX_STRING_CHARACTERS
    tokens: tuple[str, ...] = ()
    allows_list: bool = False
    omitted_value: object = None


_OBJECT_TYPES = ("m", "a", "v", "av", "i", "c", "tt", "k", "o")
_STREAMING_FORMATS = ("d", "h", "s", "o")
_PLAYER_STATES = ("s", "p", "k", "r", "a", "w", "e", "f", "q", "d")
_EVENT_TYPES = (
    "abe", "abs", "ae", "as", "b", "bc", "c", "ce", "e", "h", "m", "pc", "pe", "pr", "ps", "rr", "sk", "t",
    "um",
)  # fmt: skip


def _integer(
    name: str,
    header: Header,
    unit: str,
    since_version: int = 1,
    rounding_step: int = 1,
    allows_list: bool = False,
) -> Key:
    return Key(name, Kind.INTEGER, header, since_version, unit, rounding_step, allows_list=allows_list)


def _boolean(name: str, header: Header, since_version: int = 1, allows_list: bool = False) -> Key:
    return Key(name, Kind.BOOLEAN, header, since_version, allows_list=allows_list, omitted_value=False)


def _string(
    name: str,
    header: Header,
    since_version: int = 1,
    max_characters: int = MAX_STRING_CHARACTERS,
    allows_list: bool = False,
) -> Key:
    return Key(
        name, Kind.STRING, header, since_version, max_characters=max_characters, allows_list=allows_list
    )


def _token(name: str, header: Header, tokens: tuple[str, ...], since_version: int = 1) -> Key:
    return Key(name, Kind.TOKEN, header, since_version, tokens=tokens)


def _keys_by_name(*keys: Key) -> dict[str, Key]:
    return {key.name: key for key in keys}


_REQUEST, _OBJECT, _STATUS, _SESSION = Header.REQUEST, Header.OBJECT, Header.STATUS, Header.SESSION

CMCD_KEYS = _keys_by_name(
    # version 1
    _integer("br", _OBJECT, "kbps", allows_list=True),
    _integer("bl", _REQUEST, "ms", rounding_step=100, allows_list=True),
    _boolean("bs", _STATUS, allows_list=True),
    _string("cid", _SESSION, max_characters=MAX_ID_CHARACTERS),
    _integer("d", _OBJECT, "ms"),
    _integer("dl", _REQUEST, "ms", rounding_step=100),
    _integer("mtp", _REQUEST, "kbps", rounding_step=100, allows_list=True),
    _string("nor", _REQUEST, allows_list=True),
    _string("nrr", _REQUEST),
    _token("ot", _OBJECT, _OBJECT_TYPES),
    Key("pr", Kind.DECIMAL, _SESSION, omitted_value=1.0),
    _integer("rtp", _STATUS, "kbps", rounding_step=100),
    _token("sf", _SESSION, _STREAMING_FORMATS),
    _string("sid", _SESSION, max_characters=MAX_ID_CHARACTERS),
    _token("st", _SESSION, ("v", "l")),
    _boolean("su", _REQUEST),
    _integer("tb", _OBJECT, "kbps", allows_list=True),
    Key("v", Kind.INTEGER, _SESSION, omitted_value=1),
    # version 2
    _integer("ab", _OBJECT, "kbps", 2, allows_list=True),
    _boolean("bg", _STATUS, 2),
    _integer("bsa", _STATUS, "", 2, allows_list=True),
    _integer("bsd", _STATUS, "ms", 2, allows_list=True),
    _integer("bsda", _STATUS, "ms", 2, allows_list=True),
    _string("cdn", _STATUS, 2),
    _string("cen", _STATUS, 2),
    _string("cmsdd", _REQUEST, 2),
    _string("cmsds", _REQUEST, 2),
    _integer("dfa", _STATUS, "", 2),
    _token("e", _STATUS, _EVENT_TYPES, 2),
    _string("ec", _STATUS, 2, allows_list=True),
    _string("h", _STATUS, 2),
    _integer("lab", _OBJECT, "kbps", 2, allows_list=True),
    _integer("lb", _OBJECT, "kbps", 2, allows_list=True),
    _integer("ltc", _REQUEST, "ms", 2),
    _integer("msd", _SESSION, "ms", 2),
    _boolean("nr", _STATUS, 2),
    _integer("pb", _STATUS, "kbps", 2, allows_list=True),
    _integer("pt", _STATUS, "ms", 2),
    _integer("rc", _REQUEST, "", 2),
    _string("smrt", _REQUEST, 2),
    _integer("sn", _STATUS, "", 2),
    _token("sta", _STATUS, _PLAYER_STATES, 2),
    _integer("tab", _OBJECT, "kbps", 2, allows_list=True),
    _integer("tbl", _REQUEST, "ms", 2, allows_list=True),
    _integer("tpb", _OBJECT, "kbps", 2, allows_list=True),
    _integer("ts", _STATUS, "ms since 1970", 2),
    _integer("ttfb", _REQUEST, "ms", 2),
    _integer("ttfbb", _REQUEST, "ms", 2),
    _integer("ttlb", _REQUEST, "ms", 2),
    _string("url", _REQUEST, 2),
)

CMSD_STATIC_KEYS = _keys_by_name(
    _integer("at", Header.STATIC, "ms since 1970"),
    _integer("br", Header.STATIC, "kbps"),
    _integer("d", Header.STATIC, "ms"),
    _integer("ht", Header.STATIC, "ms"),
    _string("n", Header.STATIC),
    _string("nor", Header.STATIC),
    _string("nrr", Header.STATIC),
    _token("ot", Header.STATIC, _OBJECT_TYPES),
    _token("sf", Header.STATIC, _STREAMING_FORMATS),
    _token("st", Header.STATIC, ("v", "l")),
    _boolean("su", Header.STATIC),
    Key("v", Kind.INTEGER, Header.STATIC, omitted_value=1),
)

CMSD_DYNAMIC_KEYS = _keys_by_name(
    _boolean("du", Header.DYNAMIC),
    _integer("etp", Header.DYNAMIC, "kbps"),
    _integer("mb", Header.DYNAMIC, "kbps"),
    _integer("rd", Header.DYNAMIC, "ms"),
    _integer("rtt", Header.DYNAMIC, "ms"),
)
