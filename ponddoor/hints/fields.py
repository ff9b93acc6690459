"""Values of hints as structured fields (RFC 9651, by a library), checked key by key against a table.

A value that its key can't have costs that key; in text that is no structured field each member is tried
alone. Nothing here raises on bad input: every loss is counted under its reason."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Any

import http_sf
from http_sf import StructuredFieldError, Token

from ponddoor.hints.keys import LONGEST_TEXT, MOST_INTEGER, MOST_LIST, Key, Kind

FAULTS = (StructuredFieldError, UnicodeEncodeError, ValueError, OverflowError, RecursionError)
_PART = re.compile(r'(?:[^,"]|"(?:[^"\\]|\\.)*"?)+')  # up to a comma that is in no string
_MEMBER = re.compile(r"([A-Za-z*][A-Za-z0-9_.*-]{0,63})(?:=(.*))?", re.DOTALL)


@dataclass(frozen=True, slots=True)
class Typed:
    """A member of a list of version 2: a value and the object type it is of ("" where none was said)."""

    value: Any
    of: str = ""


# What a key holds: int, float, bool, str, or a tuple of Typed; of custom keys any bare item, Token among them
Value = Any
Values = dict[str, Value]


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is read of one carrier: `characters` of its text, and `keys`; more is left unread and counted."""

    characters: int = 4096
    keys: int = 64


@dataclass(slots=True)
class ReadResult:
    """What a carrier held: values by key, and how often what was lost, by reason."""

    values: Values = field(default_factory=dict)
    lost: dict[str, int] = field(default_factory=dict)

    def lose(self, why: str, times: int = 1) -> None:
        self.lost[why] = self.lost.get(why, 0) + times

    def merge(self, other: "ReadResult") -> None:
        """Add another part of the same carrier; a key that comes twice keeps its first value."""
        for name, value in other.values.items():
            if name in self.values:
                self.lose("key-twice")
            else:
                self.values[name] = value
        for why, times in other.lost.items():
            self.lose(why, times)


def custom(name: str) -> bool:
    """Whether a key is somebody's own: those carry a hyphen (CTA-5004, section 3.2)."""
    return "-" in name


def read_dictionary(text: str, keys: Mapping[str, Key], bounds: Bounds) -> ReadResult:
    """The dictionary in one header or query argument."""
    read = ReadResult()
    members = parsed(text, "dictionary", bounds, read)
    if isinstance(members, dict):
        check(members, keys, bounds, read)
    return read


def parsed(text: str, kind: str, bounds: Bounds, read: ReadResult) -> Any:
    if not text.strip():
        return {} if kind == "dictionary" else []
    if len(text) > bounds.characters:
        read.lose("too-long")
        return None
    try:
        return http_sf.parse(
            text.encode("ascii"), tltype=kind, on_duplicate_key=lambda name, where: read.lose("key-twice")
        )
    except FAULTS:
        if kind == "dictionary":
            return _salvaged(text, read)
        read.lose("malformed-header")
        return None


def _salvaged(text: str, read: ReadResult) -> dict[str, Any]:
    """The members of a dictionary one by one, so that a malformed one costs itself alone.

    Also where custom keys are in capitals, as CTA-5004 writes them though RFC 9651 has none."""
    members: dict[str, Any] = {}
    for part in _PART.findall(text):
        found = _MEMBER.fullmatch(part.strip())
        if found is None or (found[1] != found[1].lower() and not custom(found[1])):
            read.lose("malformed-key")
            continue
        try:
            alone: Any = http_sf.parse(
                ("?1" if found[2] is None else found[2]).encode("ascii"), tltype="list"
            )
            [members[found[1]]] = alone
        except FAULTS:
            read.lose("malformed-key")
    if not members and not read.lost:
        read.lose("malformed-header")
    return members


def check(members: Mapping[str, Any], keys: Mapping[str, Key], bounds: Bounds, read: ReadResult) -> None:
    """Take each member that its key allows. Members are (value, parameters), a bare one, or lists of such."""
    for number, (name, member) in enumerate(members.items()):
        if number >= bounds.keys:
            read.lose("too-many-keys", len(members) - number)
            return
        key = keys.get(name)
        if key is None:
            bare = member[0] if isinstance(member, tuple) else member
            bare = float(bare) if isinstance(bare, Decimal) else bare
            usable = isinstance(bare, (int, float, str, Token)) and len(str(bare)) <= LONGEST_TEXT
            if not usable:
                read.lose("unusable-custom")
                continue
            if not custom(name):
                read.lose("unknown-key")
            read.values[name] = bare
            continue
        value = _value(key, member, read)
        if value is not None:
            read.values[name] = value


def _value(key: Key, member: Any, read: ReadResult) -> Value | None:
    bare = member[0] if isinstance(member, tuple) else member
    if not isinstance(bare, list):
        return _bare(key, bare, read)
    if not key.many:
        read.lose("wrong-type")
        return None
    if len(bare) > MOST_LIST:
        read.lose("list-too-long")
        return None
    held = []
    for one in bare:
        inner, about = one if isinstance(one, tuple) else (one, {})
        value = _bare(key, inner, read)
        if value is not None:
            held.append(Typed(value, next((name for name, flag in about.items() if flag is True), "")))
    return tuple(held) or None


def _bare(key: Key, bare: Any, read: ReadResult) -> Value | None:
    """One bare item in the shape its key has, or None, counted."""
    why = "wrong-type"
    match key.kind:
        case Kind.INTEGER if isinstance(bare, int) and not isinstance(bare, bool):
            if 0 <= bare <= MOST_INTEGER:
                return bare
            why = "out-of-range"
        case Kind.DECIMAL if isinstance(bare, (int, float, Decimal)) and not isinstance(bare, bool):
            if math.isfinite(bare) and 0 <= bare <= 1000:
                return float(bare)
            why = "out-of-range"
        case Kind.BOOLEAN if isinstance(bare, bool):
            return bare
        case Kind.STRING if isinstance(bare, str) and not isinstance(bare, Token):
            if len(bare) <= key.longest:
                return bare
            why = "too-long"
        case Kind.TOKEN if isinstance(bare, (str, Token)):
            if str(bare) in key.tokens:
                return str(bare)
            why = "unknown-token"
        case _:
            pass
    read.lose(why)
    return None


def rounded(key: Key, value: Value) -> Value:
    """A value as a sender gives it: integers to the nearest that the specification names."""
    if isinstance(value, tuple):
        return tuple(Typed(rounded(key, one.value), one.of) for one in value)
    if key.kind is Kind.INTEGER and not isinstance(value, bool):
        return (round(value) + key.nearest // 2) // key.nearest * key.nearest
    if key.kind is Kind.DECIMAL:
        return round(float(value), 3)
    return value


def written(values: Mapping[str, Value], keys: Mapping[str, Key]) -> dict[str, str]:
    """Each member as `key=value`, by key in alphabetical order, without those that say nothing.

    Raises ValueError where a value can't be written."""
    made: dict[str, str] = {}
    for name in sorted(values):
        key = keys.get(name)
        value = values[name] if key is None else rounded(key, values[name])
        if key is not None and value == key.omitted and type(value) is type(key.omitted):
            continue
        try:
            if not _MEMBER.fullmatch(name) or "=" in name:
                raise ValueError("no key")
            text = "" if value is True else f"={http_sf.ser([_member(key, value)])}"
            made[name] = name + text
        except (*FAULTS, TypeError, AttributeError) as problem:
            raise ValueError(f"{name}: {value!r} can't be written: {problem}") from None
    return made


def _member(key: Key | None, value: Value) -> Any:
    if isinstance(value, tuple):
        return ([(_item(key, one.value), {one.of: True} if one.of else {}) for one in value], {})
    return (_item(key, value), {})


def _item(key: Key | None, value: Value) -> Any:
    if key is not None and key.kind is Kind.TOKEN:
        return Token(value)
    return Decimal(str(value)) if isinstance(value, float) else value
