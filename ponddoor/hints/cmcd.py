"""Reads and writes CMCD (CTA-5004): a player's hints in headers, query argument and JSON, and in reports.

Free of I/O. `read_request` combines all that one request carries. Reading raises no error on bad input but
counts what is lost. Reports, for events and at intervals, belong to version 2."""

from collections.abc import Mapping
from urllib.parse import parse_qs, quote

import msgspec
from http_sf import Token

from ponddoor.hints.fields import (
    Bounds,
    ReadResult,
    TypedValue,
    Values,
    add_valid_members,
    read_dictionary,
    round_value,
    serialize_members,
)
from ponddoor.hints.keys import CMCD_KEYS, Header

HEADERS = (Header.OBJECT, Header.REQUEST, Header.SESSION, Header.STATUS)
QUERY_ARGUMENT = "CMCD"
REPORT_MEDIA_TYPE = "application/cmcd"  # of a batch of reports
MAX_REPORTS = 100
DEFAULT_BOUNDS = Bounds()


def read_headers(headers: Mapping[str, str], bounds: Bounds = DEFAULT_BOUNDS) -> ReadResult:
    """Reads the four headers, whose names must be in lower case.

    A key in the wrong header is kept but counted, because proxies may merge headers."""
    read = ReadResult()
    for header in HEADERS:
        text = headers.get(header.value.lower())
        if text is None:
            continue
        header_read = read_dictionary(text, CMCD_KEYS, bounds)
        for name in header_read.values:
            if name in CMCD_KEYS and CMCD_KEYS[name].header is not header:
                header_read.add_lost("wrong-header")
        read.merge(header_read)
    return read


def read_argument(text: str, bounds: Bounds = DEFAULT_BOUNDS) -> ReadResult:
    """Reads the value of the query argument `CMCD`, after percent-decoding."""
    return read_dictionary(text, CMCD_KEYS, bounds)


def read_query(query: str, bounds: Bounds = DEFAULT_BOUNDS) -> ReadResult:
    """Reads the argument `CMCD` of a query string that is still percent-encoded."""
    read = ReadResult()
    if len(query) > 3 * bounds.max_characters:
        read.add_lost("too-long")
        return read
    try:
        arguments = parse_qs(query, max_num_fields=100, errors="strict").get(QUERY_ARGUMENT, [])
    except ValueError:
        read.add_lost("malformed-query")
        return read
    for text in arguments[:1]:
        read.merge(read_argument(text, bounds))
    if len(arguments) > 1:
        read.add_lost("argument-twice", len(arguments) - 1)
    return read


def read_json(text: bytes, bounds: Bounds = DEFAULT_BOUNDS) -> ReadResult:
    """Reads a JSON object of booleans, numbers and strings. Tokens are strings in JSON."""
    read = ReadResult()
    if len(text) > bounds.max_characters:
        read.add_lost("too-long")
        return read
    try:
        members = msgspec.json.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        read.add_lost("malformed-json")
        return read
    return read_members(members, bounds)


def read_members(members: object, bounds: Bounds = DEFAULT_BOUNDS) -> ReadResult:
    """Reads a JSON object that is already decoded.

    A member of a list is a value or an object of "value" and its object type "of"."""
    read = ReadResult()
    if not isinstance(members, dict):
        read.add_lost("malformed-json")
        return read
    converted = {
        str(name): [_to_typed_member(item) for item in member] if isinstance(member, list) else member
        for name, member in members.items()
    }
    add_valid_members(converted, CMCD_KEYS, bounds, read)
    return read


def _to_typed_member(item: object) -> object:
    """A member of a JSON list as a pair of its value and parameters, as the structured fields have it."""
    if isinstance(item, dict) and item.keys() <= {"value", "of"}:
        object_type = item.get("of")
        return (
            item.get("value"),
            {object_type: True} if isinstance(object_type, str) and object_type else {},
        )
    return (item, {})


def read_request(
    headers: Mapping[str, str], argument: str = "", body: object = None, bounds: Bounds = DEFAULT_BOUNDS
) -> ReadResult:
    """Reads all that a request carries: its headers, the decoded query argument, and the decoded JSON body.

    A key whose values differ between these carriers is lost."""
    carriers = [read_headers(headers, bounds), read_argument(argument, bounds)]
    if body is not None:
        carriers.append(read_members(body, bounds))
    combined, conflicting = ReadResult(), set[str]()
    for carrier in carriers:
        for name, value in carrier.values.items():
            if combined.values.setdefault(name, value) != value:
                conflicting.add(name)
        for reason, times in carrier.lost.items():
            combined.add_lost(reason, times)
    for name in sorted(conflicting):
        del combined.values[name]
        combined.add_lost("carriers-disagree")
    return combined


def read_reports(
    text: bytes, bounds: Bounds = DEFAULT_BOUNDS, max_reports: int = MAX_REPORTS
) -> tuple[list[Values], ReadResult]:
    """Reads a batch of reports, one per line. Returns the reports that have an event, and what was lost."""
    total, reports = ReadResult(), list[Values]()
    try:
        lines = text.decode("ascii").splitlines()
    except UnicodeDecodeError:
        total.add_lost("malformed-reports")
        return [], total
    if len(lines) > max_reports:
        total.add_lost("too-many-reports", len(lines) - max_reports)
    for line in lines[:max_reports]:
        if not line.strip():
            continue
        read = read_dictionary(line, CMCD_KEYS, bounds)
        for reason, times in read.lost.items():
            total.add_lost(reason, times)
        if "e" in read.values:
            reports.append(read.values)
        elif not read.lost:
            total.add_lost("no-event")
    return reports, total


def write_headers(values: Values) -> dict[str, str]:
    """The headers that carry these values, with custom keys in CMCD-Session.

    Raises ValueError if a value can't be written."""
    members_by_header: dict[str, list[str]] = {}
    for name, text in serialize_members(values, CMCD_KEYS).items():
        header = CMCD_KEYS[name].header if name in CMCD_KEYS else Header.SESSION
        members_by_header.setdefault(header.value, []).append(text)
    return {name: ",".join(members) for name, members in sorted(members_by_header.items())}


def write_query(values: Values) -> str:
    """The query argument, percent-encoded. Raises ValueError if a value can't be written."""
    return f"{QUERY_ARGUMENT}={quote(','.join(serialize_members(values, CMCD_KEYS).values()), safe='')}"


def write_json(values: Values) -> bytes:
    """The JSON object. Raises ValueError if a value can't be written."""
    # Called only for its checks, so that all carriers raise the same errors
    serialize_members(values, CMCD_KEYS)
    members: dict[str, object] = {}
    for name in sorted(values):
        key = CMCD_KEYS.get(name)
        value = values[name] if key is None else round_value(key, values[name])
        if key is not None and value == key.omitted_value and type(value) is type(key.omitted_value):
            continue
        if isinstance(value, tuple):
            value = [
                {"value": item.value, "of": item.object_type} if item.object_type else item.value
                for item in value
            ]
        members[name] = str(value) if isinstance(value, Token) else value
    return msgspec.json.encode(members)


def write_reports(reports: list[Values]) -> bytes:
    """A batch of reports, one per line.

    Raises ValueError if a value can't be written or a report has no event."""
    for report in reports:
        if "e" not in report:
            raise ValueError("a CMCD report needs its event, the key e")
    return b"\n".join(
        ",".join(serialize_members(report, CMCD_KEYS).values()).encode("ascii") for report in reports
    )


def main_value(value: object, object_type: str = "v") -> object:
    """A single value as it is; of a list of version 2, the value for the object type, else the first one.

    The default object type is video."""
    if not isinstance(value, tuple):
        return value
    matching = [
        item.value for item in value if isinstance(item, TypedValue) and item.object_type == object_type
    ]
    return matching[0] if matching else value[0].value
