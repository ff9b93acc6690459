"""The server list as a front holds it, free of I/O: versions in order, gaps, what is kept on disk."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from ponddoor.interface import events as ev

STATES = {"gone": ev.ServerState.GONE, "draining": ev.ServerState.DRAINING, "ready": ev.ServerState.READY}


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """One server as the list writes it. `started_us` is the wall clock's, 0 for long ago."""

    server: int
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_us: int = 0


class ListMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """News of the list: all of it where `since` is None, else what changed since that version."""

    list_id: str
    version: int
    servers: list[Entry]
    since: int | None = None
    beat: bool = False


@dataclass(frozen=True, slots=True)
class ListChange:
    """What a message changes: rows for the decisions, new or changed entries, servers that are gone."""

    rows: tuple[ev.ServerRow, ...]
    entries: tuple[Entry, ...] = ()
    gone: tuple[int, ...] = ()


class Kept(Enum):
    """What a front finds on disk at its start."""

    NONE = "none"
    WHOLE = "whole"
    CUT_OFF = "cut-off"
    DAMAGED = "damaged"
    OTHER_GENERATION = "other-generation"


class _Head(msgspec.Struct, frozen=True):
    checksum: str
    size: int
    generation: str
    written: int


class GapError(Exception):
    """A message does not follow the version in hand: all of the list must be asked for."""


@dataclass(slots=True)
class Roster:
    """The list in hand. `wall_offset` is added to wall-clock times to get the front's own clock."""

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
        """Apply news; None where it is old or said twice. Raises GapError where something is missing."""
        if message.beat:
            if (message.list_id, message.version) != (self.list_id, self.version):
                raise GapError(f"the list is at {message.version}, we at {self.version}")
            return None
        same = message.list_id == self.list_id
        if same and message.version <= self.version:
            self.ignored += 1
            return None
        if message.since is not None and (not same or message.since != self.version):
            raise GapError(f"changes since {message.since}, the version in hand is {self.version}")
        self.list_id, self.version = message.list_id, message.version
        return self._apply(message.servers, message.since is None)

    def _apply(self, told: list[Entry], whole: bool) -> ListChange:
        """What entries change. Of a whole list most say what is known, and cost no more than that look."""
        named, changed, rows = set[int](), dict[int, Entry](), dict[int, ev.ServerRow]()
        for entry in told:
            number = entry.server
            if self.entries.get(number) == entry and number not in changed:
                named.add(number)
                continue
            entry = self._whole(entry)
            row = self._row(entry)
            if row is None:
                continue
            named.add(number)
            changed[number], rows[number] = entry, row
        removed = [self.entries[number] for number in self.entries.keys() - named] if whole else []
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
        """All that is in hand, as one change."""
        return ListChange(self.rows(), tuple(self.entries.values()))

    def _whole(self, entry: Entry) -> Entry:
        """Of a server that is gone the list may tell no more than that."""
        held = self.entries.get(entry.server)
        return msgspec.structs.replace(held, state="gone") if held and entry.state == "gone" else entry

    def _row(self, entry: Entry) -> ev.ServerRow | None:
        host, _, port = entry.address.rpartition(":")
        known = entry.zone in self.zones and entry.kind in self.kinds and entry.state in STATES
        placed = 0 <= entry.cell < self.cells and 0 <= entry.server < 2**32 and entry.weight > 0
        if not (known and placed and host and port.isdigit()):
            # Guards against a list of another site or a newer form: what can't be used is left out, counted.
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
        """What is kept on disk: a head, then the list as one message. `written` by the wall clock, us."""
        body = msgspec.json.encode(ListMessage(self.list_id, self.version, list(self.entries.values())))
        head = _Head(xxhash.xxh64_hexdigest(body), len(body), self._generation(), written)
        return msgspec.json.encode(head) + b"\n" + body

    def restore(self, data: bytes) -> tuple[Kept, int]:
        """Take back what was kept, and when it was written; what is not whole or not ours changes nothing."""
        first, _, body = data.partition(b"\n")
        if not first:
            return Kept.NONE, 0
        try:
            head = msgspec.json.decode(first, type=_Head)
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
        """What the numbers in a list stand for: a list kept under another layout would be read wrong."""
        return xxhash.xxh64_hexdigest(repr((self.zones, self.kinds, self.cells)).encode())


def decode(line: bytes) -> ListMessage:
    """A line of the list's stream. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(line, type=ListMessage)


def encode(message: ListMessage) -> bytes:
    return msgspec.json.encode(message)
