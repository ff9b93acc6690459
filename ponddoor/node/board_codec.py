"""Decodes the JSON lines of the platform's discovery service, the notice board, without I/O.

Lines and the initial list of the settings become messages for a `Roster`."""

import re
from typing import Any

import msgspec
import xxhash

from ponddoor.front.roster import Entry, ListMessage
from ponddoor.node.lines import UnreadableError

MAX_LINE_BYTES = 1 << 24  # room for 12,800 servers of 1 KiB each, and more
LIST_ID = "board"  # the same for all messages: the events of the notice board continue the initial list
_STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
_SERVER_ID = re.compile("s-([0-9a-f]{8})")


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
    """Servers of the list: all of them if `complete`, else the changed ones."""

    members: list[_Member]
    revision: int = 0
    complete: bool = False


class _Notice(msgspec.Struct, frozen=True):
    """An event of the list, by its revision; without `pool` it is only a heartbeat."""

    rev: int
    pool: _Pool | None = None


class _Known(msgspec.Struct, frozen=True):
    """The initial list, as the settings contain it."""

    rev: int
    notices: list[_Notice]


def server_number(server: str) -> int:
    """The number that all fronts use for a server: the one in its id, or a hash of an id without one."""
    match = _SERVER_ID.fullmatch(server)
    return int(match[1], 16) if match else xxhash.xxh32_intdigest(server.encode())


def server_id(number: int) -> str:
    """The id of a server for logs. It differs from that of the list if the list's has no number."""
    return f"s-{number:08x}"


def encode_watch(last: int) -> bytes:
    """The request for every event after revision `last`."""
    return b"watch %d\n" % last


def decode_line(line: bytes) -> ListMessage:
    """Decode a line: an event, or the last revision alone, as a heartbeat. Raises UnreadableError."""
    try:
        notice = msgspec.json.decode(line, type=_Notice | int)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise UnreadableError(f"not an event of the server list: {str(problem)[:80]}") from None
    return _message(notice) if isinstance(notice, _Notice) else ListMessage(LIST_ID, notice, [], beat=True)


def decode_initial_list(raw: Any) -> list[ListMessage]:
    """The events of the initial list in the settings. Raises UnreadableError."""
    try:
        return [_message(notice) for notice in msgspec.convert(raw, type=_Known).notices]
    except msgspec.MsgspecError as problem:
        raise UnreadableError(f"not an initial server list: {problem}") from None


def _message(notice: _Notice) -> ListMessage:
    if notice.pool is None:
        return ListMessage(LIST_ID, notice.rev, [], beat=True)
    entries = [
        Entry(
            server_number(member.id),
            member.host_port,
            member.locality,
            member.flavor,
            member.cell,
            _STATES.get(member.phase, member.phase),
            member.size,
            round(member.up_since_ms * 1000),
        )
        for member in notice.pool.members
    ]
    return ListMessage(LIST_ID, notice.rev, entries, None if notice.pool.complete else notice.rev - 1)
