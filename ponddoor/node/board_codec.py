"""The notice board's lines and the list of the start, free of I/O, as messages that a roster takes."""

import re
from typing import Any

import msgspec
import xxhash

from ponddoor.front.roster import Entry, ListMessage
from ponddoor.node.lines import UnreadableError

MAX_LINE_BYTES = 1 << 24  # bytes of a line: 12,800 servers of a kibibyte each, and some more
LIST = "board"  # events of one start are one list
_STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
_SERVER = re.compile("s-([0-9a-f]{8})")


class _Member(msgspec.Struct, frozen=True):
    id: str
    phase: str
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0


class _Pool(msgspec.Struct, frozen=True):
    members: list[_Member]
    revision: int = 0
    complete: bool = False


class _Notice(msgspec.Struct, frozen=True):
    rev: int
    pool: _Pool | None = None


class _Known(msgspec.Struct, frozen=True):
    rev: int
    notices: list[_Notice]


def server_number(server: str) -> int:
    """The number by which all fronts know a server: that in its id, if it has one."""
    named = _SERVER.fullmatch(server)
    return int(named[1], 16) if named else xxhash.xxh32_intdigest(server.encode())


def server_id(number: int) -> str:
    """A server as the list names it, in logs; one whose id has no number is named by its hash."""
    return f"s-{number:08x}"


def encode_watch(last: int) -> bytes:
    """The request for every event after the last one in hand."""
    return b"watch %d\n" % last


def decode_line(line: bytes) -> ListMessage:
    """One line: an event, or the last number alone. Raises UnreadableError."""
    try:
        got = msgspec.json.decode(line, type=_Notice | int)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise UnreadableError(f"no event: {str(problem)[:80]}") from None
    return _message(got) if isinstance(got, _Notice) else ListMessage(LIST, got, [], beat=True)


def decode_initial_list(raw: Any) -> list[ListMessage]:
    """The events of the start. Raises UnreadableError."""
    try:
        return [_message(notice) for notice in msgspec.convert(raw, type=_Known).notices]
    except msgspec.MsgspecError as problem:
        raise UnreadableError(f"no list: {problem}") from None


def _message(notice: _Notice) -> ListMessage:
    if notice.pool is None:
        return ListMessage(LIST, notice.rev, [], beat=True)
    entries = [
        Entry(
            server_number(m.id),
            m.host_port,
            m.locality,
            m.flavor,
            m.cell,
            _STATES.get(m.phase, m.phase),
            m.size,
            round(m.up_since_ms * 1000),
        )
        for m in notice.pool.members
    ]
    return ListMessage(LIST, notice.rev, entries, None if notice.pool.complete else notice.rev - 1)
