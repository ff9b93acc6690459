"""CMCD (CTA-5004): a player's hints in their three carriers, and the event and interval reports of version 2.

Free of I/O. `read_request` gathers what one request carries; `write_*` make each carrier."""

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
REPORT_MEDIA_TYPE = "application/cmcd"  # the media type of a batch of reports (version 2)
MOST_REPORTS = 100
BOUNDS = Bounds()


def read_headers(headers: Mapping[str, str], bounds: Bounds = BOUNDS) -> ReadResult:
    """The four headers (names in lower case). A key in the wrong header is kept and counted: proxies fold."""
    read = ReadResult()
    for header in HEADERS:
        text = headers.get(header.value.lower())
        if text is None:
            continue
        part = read_dictionary(text, CMCD_KEYS, bounds)
        for name in part.values:
            if name in CMCD_KEYS and CMCD_KEYS[name].header is not header:
                part.add_lost("wrong-header")
        read.merge(part)
    return read


def read_argument(text: str, bounds: Bounds = BOUNDS) -> ReadResult:
    """The value of the argument `CMCD`, its percent coding undone."""
    return read_dictionary(text, CMCD_KEYS, bounds)


def read_query(query: str, bounds: Bounds = BOUNDS) -> ReadResult:
    """The argument `CMCD` of a query string, still in its percent coding."""
    read = ReadResult()
    if len(query) > 3 * bounds.max_characters:
        read.add_lost("too-long")
        return read
    try:
        found = parse_qs(query, max_num_fields=100, errors="strict").get(QUERY_ARGUMENT, [])
    except ValueError:
        read.add_lost("malformed-query")
        return read
    for text in found[:1]:
        read.merge(read_argument(text, bounds))
    if len(found) > 1:
        read.add_lost("argument-twice", len(found) - 1)
    return read


def read_json(text: bytes, bounds: Bounds = BOUNDS) -> ReadResult:
    """A JSON object: booleans, numbers and strings; tokens are strings there."""
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


def read_members(members: object, bounds: Bounds = BOUNDS) -> ReadResult:
    """The same of a JSON object that is decoded already. Members of lists are values, or {"value", "of"}."""
    read = ReadResult()
    if not isinstance(members, dict):
        read.add_lost("malformed-json")
        return read
    shaped = {
        str(name): [_typed(one) for one in member] if isinstance(member, list) else member
        for name, member in members.items()
    }
    add_valid_members(shaped, CMCD_KEYS, bounds, read)
    return read


def _typed(one: object) -> object:
    if isinstance(one, dict) and one.keys() <= {"value", "of"}:
        of = one.get("of")
        return (one.get("value"), {of: True} if isinstance(of, str) and of else {})
    return (one, {})


def read_request(
    headers: Mapping[str, str], argument: str = "", body: object = None, bounds: Bounds = BOUNDS
) -> ReadResult:
    """All that a request carries. Where two carriers disagree on a key, the key is lost."""
    parts = [read_headers(headers, bounds), read_argument(argument, bounds)]
    if body is not None:
        parts.append(read_members(body, bounds))
    whole, disputed = ReadResult(), set[str]()
    for part in parts:
        for name, value in part.values.items():
            if whole.values.setdefault(name, value) != value:
                disputed.add(name)
        for why, times in part.lost.items():
            whole.add_lost(why, times)
    for name in sorted(disputed):
        del whole.values[name]
        whole.add_lost("carriers-disagree")
    return whole


def read_reports(
    text: bytes, bounds: Bounds = BOUNDS, most: int = MOST_REPORTS
) -> tuple[list[Values], ReadResult]:
    """A batch of reports of version 2, one a line: the reports with an event, and what was lost."""
    all_of, reports = ReadResult(), list[Values]()
    try:
        lines = text.decode("ascii").splitlines()
    except UnicodeDecodeError:
        all_of.add_lost("malformed-reports")
        return [], all_of
    if len(lines) > most:
        all_of.add_lost("too-many-reports", len(lines) - most)
    for line in lines[:most]:
        if not line.strip():
            continue
        read = read_dictionary(line, CMCD_KEYS, bounds)
        for why, times in read.lost.items():
            all_of.add_lost(why, times)
        if "e" in read.values:
            reports.append(read.values)
        elif not read.lost:
            all_of.add_lost("no-event")
    return reports, all_of


def write_headers(values: Values) -> dict[str, str]:
    """The headers that carry these values; custom keys go with the session's. Raises ValueError."""
    made: dict[str, list[str]] = {}
    for name, text in serialize_members(values, CMCD_KEYS).items():
        header = CMCD_KEYS[name].header if name in CMCD_KEYS else Header.SESSION
        made.setdefault(header.value, []).append(text)
    return {name: ",".join(parts) for name, parts in sorted(made.items())}


def write_query(values: Values) -> str:
    """The query argument, percent-coded. Raises ValueError."""
    return f"{QUERY_ARGUMENT}={quote(','.join(serialize_members(values, CMCD_KEYS).values()), safe='')}"


def write_json(values: Values) -> bytes:
    """The JSON object. Raises ValueError where a value can't be written."""
    serialize_members(values, CMCD_KEYS)  # the same checks as on every carrier
    made: dict[str, object] = {}
    for name in sorted(values):
        key = CMCD_KEYS.get(name)
        value = values[name] if key is None else round_value(key, values[name])
        if key is not None and value == key.omitted_value and type(value) is type(key.omitted_value):
            continue
        if isinstance(value, tuple):
            value = [
                {"value": one.value, "of": one.object_type} if one.object_type else one.value for one in value
            ]
        made[name] = str(value) if isinstance(value, Token) else value
    return msgspec.json.encode(made)


def write_reports(reports: list[Values]) -> bytes:
    """A batch, one report a line. Raises ValueError, also for a report without an event."""
    for report in reports:
        if "e" not in report:
            raise ValueError("a report needs its event, e")
    return b"\n".join(
        ",".join(serialize_members(report, CMCD_KEYS).values()).encode("ascii") for report in reports
    )


def one_of(value: object, kind: str = "v") -> object:
    """The one value that matters of a list of version 2: that of an object type, else the first."""
    if not isinstance(value, tuple):
        return value
    of_kind = [one.value for one in value if isinstance(one, TypedValue) and one.object_type == kind]
    return of_kind[0] if of_kind else value[0].value
