"""Reads and writes the values of hints as structured fields (RFC 9651), checked against a table of keys.

The library http_sf does the parsing. A value that its key does not allow costs that key alone; if a text is
not a valid structured field, each member of it is parsed alone. Reading raises no error on bad input: each
value that is lost is counted under a reason."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Any

import http_sf
from http_sf import StructuredFieldError, Token

from ponddoor.hints.keys import MAX_INTEGER, MAX_LIST_MEMBERS, MAX_STRING_CHARACTERS, Key, Kind

CODEC_ERRORS = (StructuredFieldError, UnicodeEncodeError, ValueError, OverflowError, RecursionError)
_MEMBER_TEXT = re.compile(r'(?:[^,"]|"(?:[^"\\]|\\.)*"?)+')  # up to the next comma outside a string
_MEMBER = re.compile(r"([A-Za-z*][A-Za-z0-9_.*-]{0,63})(?:=(.*))?", re.DOTALL)


@dataclass(frozen=True, slots=True)
class TypedValue:
    """A member of a list of CMCD version 2: a value and the object type it is for ("" if not given)."""

    value: Any
    object_type: str = ""


# The value of a key: int, float, bool, str or a tuple of TypedValue; of a custom key also a Token
Value = Any
Values = dict[str, Value]


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of one carrier (a header, query argument or body) is read; an excess is lost and counted."""

    max_characters: int = 4096
    max_keys: int = 64


@dataclass(slots=True)
class ReadResult:
    """What was read of a carrier: the values by key, and how many were lost, by reason."""

    values: Values = field(default_factory=dict)
    lost: dict[str, int] = field(default_factory=dict)

    def add_lost(self, reason: str, times: int = 1) -> None:
        self.lost[reason] = self.lost.get(reason, 0) + times

    def merge(self, addition: "ReadResult") -> None:
        """Adds another part of the same carrier. A key that occurs twice keeps its first value."""
        for name, value in addition.values.items():
            if name in self.values:
                self.add_lost("key-twice")
            else:
                self.values[name] = value
        for reason, times in addition.lost.items():
            self.add_lost(reason, times)


def is_custom(name: str) -> bool:
    """Whether a key is custom: such keys contain a hyphen (CTA-5004, section 3.2)."""
    return "-" in name


def read_dictionary(text: str, keys: Mapping[str, Key], bounds: Bounds) -> ReadResult:
    """Reads the dictionary in one header or query argument."""
    read = ReadResult()
    members = parse(text, "dictionary", bounds, read)
    if isinstance(members, dict):
        add_valid_members(members, keys, bounds, read)
    return read


def parse(text: str, top_level_type: str, bounds: Bounds, read: ReadResult) -> Any:
    """The members of a "dictionary" or "list", unchecked.

    Returns None for a text that is too long or a list that is malformed, and counts it in `read`."""
    if not text.strip():
        return {} if top_level_type == "dictionary" else []
    if len(text) > bounds.max_characters:
        read.add_lost("too-long")
        return None
    try:
        return http_sf.parse(
            text.encode("ascii"),
            tltype=top_level_type,
            on_duplicate_key=lambda name, context: read.add_lost("key-twice"),
        )
    except CODEC_ERRORS:
        if top_level_type == "dictionary":
            return _parse_members_singly(text, read)
        read.add_lost("malformed-header")
        return None


def _parse_members_singly(text: str, read: ReadResult) -> dict[str, Any]:
    """The members of a malformed dictionary, each parsed alone, so that only the malformed ones are lost.

    Also reads custom keys with capitals, which CTA-5004 uses although RFC 9651 does not allow them."""
    members: dict[str, Any] = {}
    for member_text in _MEMBER_TEXT.findall(text):
        match = _MEMBER.fullmatch(member_text.strip())
        if match is None or (match[1] != match[1].lower() and not is_custom(match[1])):
            read.add_lost("malformed-key")
            continue
        try:
            single_member: Any = http_sf.parse(
                ("?1" if match[2] is None else match[2]).encode("ascii"), tltype="list"
            )
            [members[match[1]]] = single_member
        except CODEC_ERRORS:
            read.add_lost("malformed-key")
    if not members and not read.lost:
        read.add_lost("malformed-header")
    return members


def add_valid_members(
    members: Mapping[str, Any], keys: Mapping[str, Key], bounds: Bounds, read: ReadResult
) -> None:
    """Adds to `read` the members that their keys allow. A member is a value, a pair of a value and its
    parameters, or a list of either.

    A key that is not in the table is added as well; if it has no hyphen it also counts as unknown."""
    for index, (name, member) in enumerate(members.items()):
        if index >= bounds.max_keys:
            read.add_lost("too-many-keys", len(members) - index)
            return
        key = keys.get(name)
        if key is None:
            item = member[0] if isinstance(member, tuple) else member
            item = float(item) if isinstance(item, Decimal) else item
            usable = isinstance(item, (int, float, str, Token)) and len(str(item)) <= MAX_STRING_CHARACTERS
            if not usable:
                read.add_lost("unusable-custom")
                continue
            if not is_custom(name):
                read.add_lost("unknown-key")
            read.values[name] = item
            continue
        value = _valid_value(key, member, read)
        if value is not None:
            read.values[name] = value


def _valid_value(key: Key, member: Any, read: ReadResult) -> Value | None:
    """A member's value, or of a list the values that are valid. Returns None if none is, and counts why."""
    item = member[0] if isinstance(member, tuple) else member
    if not isinstance(item, list):
        return _valid_item(key, item, read)
    if not key.allows_list:
        read.add_lost("wrong-type")
        return None
    if len(item) > MAX_LIST_MEMBERS:
        read.add_lost("list-too-long")
        return None
    typed_values = []
    for inner_member in item:
        inner_item, parameters = inner_member if isinstance(inner_member, tuple) else (inner_member, {})
        value = _valid_item(key, inner_item, read)
        if value is not None:
            typed_values.append(
                TypedValue(value, next((name for name, flag in parameters.items() if flag is True), ""))
            )
    return tuple(typed_values) or None


def _valid_item(key: Key, item: Any, read: ReadResult) -> Value | None:
    """A bare item as its key's kind of value. Returns None if it is not one, and counts why."""
    reason = "wrong-type"
    match key.kind:
        case Kind.INTEGER if isinstance(item, int) and not isinstance(item, bool):
            if 0 <= item <= MAX_INTEGER:
                return item
            reason = "out-of-range"
        case Kind.DECIMAL if isinstance(item, (int, float, Decimal)) and not isinstance(item, bool):
            if math.isfinite(item) and 0 <= item <= 1000:
                return float(item)
            reason = "out-of-range"
        case Kind.BOOLEAN if isinstance(item, bool):
            return item
        case Kind.STRING if isinstance(item, str) and not isinstance(item, Token):
            if len(item) <= key.max_characters:
                return item
            reason = "too-long"
        case Kind.TOKEN if isinstance(item, (str, Token)):
            if str(item) in key.tokens:
                return str(item)
            reason = "unknown-token"
        case _:
            pass
    read.add_lost(reason)
    return None


def round_value(key: Key, value: Value) -> Value:
    """A value as a sender must give it: integers rounded as their key requires, decimals to three places."""
    if isinstance(value, tuple):
        return tuple(TypedValue(round_value(key, member.value), member.object_type) for member in value)
    if key.kind is Kind.INTEGER and not isinstance(value, bool):
        return (round(value) + key.rounding_step // 2) // key.rounding_step * key.rounding_step
    if key.kind is Kind.DECIMAL:
        return round(float(value), 3)
    return value


def serialize_members(values: Mapping[str, Value], keys: Mapping[str, Key]) -> dict[str, str]:
    """Each member as `key=value`, by key in alphabetical order, without values that absence implies.

    Raises ValueError if a value can't be written."""
    texts: dict[str, str] = {}
    for name in sorted(values):
        key = keys.get(name)
        value = values[name] if key is None else round_value(key, values[name])
        if key is not None and value == key.omitted_value and type(value) is type(key.omitted_value):
            continue
        try:
            if not _MEMBER.fullmatch(name) or "=" in name:
                raise ValueError("its name is not a valid key")
            text = "" if value is True else f"={http_sf.ser([_to_member(key, value)])}"
            texts[name] = name + text
        except (*CODEC_ERRORS, TypeError, AttributeError) as error:
            raise ValueError(f"{name}: {value!r} can't be written: {error}") from None
    return texts


def _to_member(key: Key | None, value: Value) -> Any:
    """A value as the library's pair of an item, or a list of them, and parameters."""
    if isinstance(value, tuple):
        return (
            [
                (_to_item(key, member.value), {member.object_type: True} if member.object_type else {})
                for member in value
            ],
            {},
        )
    return (_to_item(key, value), {})


def _to_item(key: Key | None, value: Value) -> Any:
    if key is not None and key.kind is Kind.TOKEN:
        return Token(value)
    return Decimal(str(value)) if isinstance(value, float) else value
