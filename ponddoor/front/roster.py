"""The server list as a front holds it, free of I/O: order of versions, gaps, and the copy kept on disk."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from ponddoor.interface import events as ev

STATES = {"gone": ev.ServerState.GONE, "draining": ev.ServerState.DRAINING, "ready": ev.ServerState.READY}


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """One server in the list. `started_us` is wall-clock time, 0 if the server started long ago."""

    server: int
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_us: int = 0


class ListMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """A message of the list: the whole list if `since` is None, else the changes since that version.

    `beat` marks a heartbeat, which only says which version is current."""

    list_id: str
    version: int
    servers: list[Entry]
    since: int | None = None
    beat: bool = False


@dataclass(frozen=True, slots=True)
class ListChange:
    """What a message changes: rows for the decisions, new or changed entries, and servers that are gone."""

    rows: tuple[ev.ServerRow, ...]
    entries: tuple[Entry, ...] = ()
    gone: tuple[int, ...] = ()


class Kept(Enum):
    """The state of the copy that a front finds on disk at its start."""

    NONE = "none"
    WHOLE = "whole"
    CUT_OFF = "cut-off"
    DAMAGED = "damaged"
    OTHER_GENERATION = "other-generation"


class _Head(msgspec.Struct, frozen=True):
    """The first line of the file: checksum and size of the rest, its generation, and when it was written."""

    checksum: str
    size: int
    generation: str
    written: int


class GapError(Exception):
    """A message does not follow the version in hand; the whole list must be requested."""


@dataclass(slots=True)
class Roster:
    """The list in hand.

    `wall_offset` is added to wall-clock times to get the front's own clock. `ignored` counts old or repeated
    messages, `unusable` entries that are not for this site."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    cells: int
    wall_offset: int
    list_id: str = ""
    version: int = 0
    entries: dict[int, Entry] = field(default_factory=dict)
    ignored: int = 0
    unusable: int = 0

    def take(self, message: ListMessage) -> ListChange | None:
        """Apply a message and return the change, or None if it is old or repeated.

        Raises GapError if a version in between is missing."""
        if message.beat:
            if (message.list_id, message.version) != (self.list_id, self.version):
                raise GapError(f"the list is at version {message.version}, this front at {self.version}")
            return None
        same_list = message.list_id == self.list_id
        if same_list and message.version <= self.version:
            self.ignored += 1
            return None
        if message.since is not None and (not same_list or message.since != self.version):
            raise GapError(
                f"the message has changes since version {message.since}, this front is at {self.version}"
            )
        self.list_id, self.version = message.list_id, message.version
        return self._apply(message.servers, message.since is None)

    def _apply(self, received: list[Entry], is_whole: bool) -> ListChange:
        """Apply entries. Most entries of a whole list are unchanged; these cost one comparison each."""
        named, changed, rows = set[int](), dict[int, Entry](), dict[int, ev.ServerRow]()
        for entry in received:
            number = entry.server
            if self.entries.get(number) == entry and number not in changed:
                named.add(number)
                continue
            entry = self._completed(entry)
            row = self._row(entry)
            if row is None:
                continue
            named.add(number)
            changed[number], rows[number] = entry, row
        removed = [self.entries[number] for number in self.entries.keys() - named] if is_whole else []
        for entry in removed:
            row = self._row(msgspec.structs.replace(entry, state="gone"))
            if row is not None:
                rows[entry.server] = row
        gone = [entry.server for entry in removed]
        gone += [number for number, entry in changed.items() if entry.state == "gone"]
        entries = {number: entry for number, entry in changed.items() if entry.state != "gone"}
        self.entries |= entries
        for number in gone:
            self.entries.pop(number, None)
        return ListChange(tuple(rows.values()), tuple(entries.values()), tuple(gone))

    def all(self) -> ListChange:
        """The whole list in hand, as one change."""
        return ListChange(self.rows(), tuple(self.entries.values()))

    def _completed(self, entry: Entry) -> Entry:
        """The entry; for a server that is gone with the fields of the last one, as the list may omit them."""
        known = self.entries.get(entry.server)
        return msgspec.structs.replace(known, state="gone") if known and entry.state == "gone" else entry

    def _row(self, entry: Entry) -> ev.ServerRow | None:
        host, _, port = entry.address.rpartition(":")
        is_known = entry.zone in self.zones and entry.kind in self.kinds and entry.state in STATES
        is_in_range = 0 <= entry.cell < self.cells and 0 <= entry.server < 2**32 and entry.weight > 0
        if not (is_known and is_in_range and host and port.isdigit()):
            # A list of another site or of a newer format may have entries that are unusable here.
            self.unusable += 1
            return None
        started = entry.started_us + self.wall_offset if entry.started_us else 0
        return ev.ServerRow(
            entry.server,
            self.zones.index(entry.zone),
            self.kinds.index(entry.kind),
            entry.cell,
            STATES[entry.state],
            entry.weight,
            started,
        )

    def rows(self) -> tuple[ev.ServerRow, ...]:
        return tuple(row for entry in self.entries.values() if (row := self._row(entry)) is not None)

    def to_bytes(self, written: int = 0) -> bytes:
        """The copy for the disk: a head, then the list as one message. `written` is wall-clock time in us."""
        body = msgspec.json.encode(ListMessage(self.list_id, self.version, list(self.entries.values())))
        head = _Head(xxhash.xxh64_hexdigest(body), len(body), self._generation(), written)
        return msgspec.json.encode(head) + b"\n" + body

    def restore(self, data: bytes) -> tuple[Kept, int]:
        """Restore the copy from disk and return its state and when it was written.

        A copy that is not whole or has another generation changes nothing."""
        head_line, _, body = data.partition(b"\n")
        if not head_line:
            return Kept.NONE, 0
        try:
            head = msgspec.json.decode(head_line, type=_Head)
            if len(body) < head.size:
                return Kept.CUT_OFF, head.written
            if xxhash.xxh64_hexdigest(body) != head.checksum:
                return Kept.DAMAGED, head.written
            if head.generation != self._generation():
                return Kept.OTHER_GENERATION, head.written
            self.take(msgspec.json.decode(body, type=ListMessage))
        except (msgspec.MsgspecError, GapError):
            return Kept.DAMAGED, 0
        return Kept.WHOLE, head.written

    def _generation(self) -> str:
        """A hash of what zone, kind and cell numbers stand for: a copy made under others would be misread."""
        return xxhash.xxh64_hexdigest(repr((self.zones, self.kinds, self.cells)).encode())


def decode(line: bytes) -> ListMessage:
    """Decode a line of the list's stream. Raises msgspec.MsgspecError."""
    try:
        return msgspec.json.decode(line, type=ListMessage)
    except (UnicodeDecodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)[:100]) from None


def encode(message: ListMessage) -> bytes:
    return msgspec.json.encode(message)
