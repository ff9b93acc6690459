"""An append-only journal of records with snapshots, over `Files`. No clock, no threads: the caller says when
to commit, and may do so elsewhere for many records at once (ponddoor.store.committer).

A record's frame: 4 bytes of magic, then big-endian length of the body (u32), number (u64), the newest number
known to be durable when it was written (u64), version (u8), xxh64 over all of that and the body (8 bytes),
the body (msgpack). Numbers rise by one. Segments are named after their first record, snapshots after the last
record they hold.

Recovery takes the newest whole snapshot and the records after it. The first record that can't be read ends
it: what follows is dropped and told, if it can be what a crash left. A later record that was written when the
broken one was known to be durable proves damage, and then the store refuses to open. Damage at the very end
can't be told from a torn write."""

import struct
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from ponddoor.store.files import DiskError, Files

VERSION = 1
MAGIC = b"pJr\x01"
_HEAD = struct.Struct(">4sIQQB")
_SUM = 8
MOST_BODY = 16_000_000


class DamagedError(Exception):
    """What was durable can't be read. Nothing is opened, nothing is changed."""


class StoppedError(Exception):
    """The store failed before and takes nothing more: what it last took may or may not be durable."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """What a store held. `dropped` says what a crash left behind, in words."""

    state: Any
    records: list[Any]
    dropped: list[str]


@dataclass(frozen=True, slots=True)
class Batch:
    """Frames that are written together, and the number of the last."""

    frames: list[bytes]
    upto: int


@dataclass(slots=True)
class Journal:
    """One store. `open` first; then `append`, `commit`, `snapshot`."""

    files: Files
    segment_bytes: int = 4_000_000
    next_number: int = 1
    durable_number: int = 0
    failure: str = ""
    _segment: str = ""
    _size: int = 0
    _pending: list[bytes] = field(default_factory=list)

    def open(self) -> Recovered:
        """Lock, read, and be ready to append. Raises LockedError, DamagedError or DiskError."""
        self.files.lock()
        try:
            return self._recover()
        except BaseException:
            self.files.close()
            raise

    def _recover(self) -> Recovered:
        names, dropped = self.files.names(), list[str]()
        for name in [name for name in names if name.endswith(".new")]:
            dropped.append(f"{name}: a snapshot that was not finished")
            self.files.remove(name)
        snapshots = sorted((name for name in names if name.endswith(".snap")), reverse=True)
        state, upto = None, 0
        for name in snapshots:
            whole = _frames(self.files.read(name))[0]
            if not whole:
                raise DamagedError(f"{name}: a finished snapshot that can't be read")
            state, upto = whole[0][3], int(name.removesuffix(".snap").split("-")[1])
            break
        segments = sorted(name for name in names if name.endswith(".log"))
        records: list[Any] = []
        number, broken_at, newest = upto + 1, "", 0
        for at, name in enumerate(segments):
            data = self.files.read(name)
            frames, good = _frames(data)
            for offset, found, synced, body, _ in frames:
                newest = max(newest, synced)
                if broken_at or offset > good:
                    continue
                if found > number:
                    broken_at = broken_at or f"{name} at byte {offset}: record {number} is missing"
                elif found == number:
                    records.append(body)
                    number += 1
            if not broken_at and good < len(data):
                broken_at = f"{name} at byte {good}: a record that is not whole"
            if broken_at and at == len(segments) - 1 and newest < number:
                dropped.append(f"{broken_at}; {len(data) - good} bytes behind it")
        if broken_at and newest >= number:
            raise DamagedError(f"{broken_at}, but records up to {newest} were durable")
        if broken_at and not dropped:
            dropped.append(broken_at)
        self.next_number, self.durable_number = number, number - 1
        if broken_at or dropped:
            self._cut_off(segments, number)
        self._segment, self._size = "", 0
        return Recovered(state, records, dropped)

    def _cut_off(self, segments: list[str], number: int) -> None:
        """What a crash left behind is taken away, so that it can't follow what comes now."""
        for name in segments:
            data, size = self.files.read(name), 0
            frames = _frames(data)[0]
            for offset, found, _, _, end in frames:
                if found < number and offset == size:
                    size = end
            if size < len(data):
                self.files.truncate(name, size)
                self.files.sync(name)
        self.files.sync_names()

    def append(self, record: Any) -> int:
        """Take a record in; returns its number. It is durable when `durable_number` has reached that."""
        if self.failure:
            raise StoppedError(self.failure)
        number = self.next_number
        self.next_number += 1
        self._pending.append(_frame(number, self.durable_number, record))
        return number

    def commit(self) -> int:
        """Make all that was appended durable; returns the newest durable number.

        Raises DiskError with `full` where there was no room: the records are kept for the next try. After any
        other DiskError the store has failed: a sync that failed may have lost what was written, and must not
        be tried again as if it had not."""
        return self.settle(self.write(self.take()))

    def take(self) -> "Batch":
        """The first of commit's three parts: what there is to write."""
        if self.failure:
            raise StoppedError(self.failure)
        taken, self._pending = self._pending, []
        return Batch(taken, self.next_number - 1)

    def write(self, batch: "Batch") -> "Batch":
        """The second, which may run in another thread while records are appended: write and sync."""
        if not batch.frames:
            return batch
        fresh = not self._segment
        if fresh:
            self._segment, self._size = f"journal-{self.durable_number + 1:020d}.log", 0
        data = b"".join(batch.frames)
        try:
            self.files.append(self._segment, data)
        except DiskError as problem:
            self._undo(problem)
            self._pending = batch.frames + self._pending
            raise
        try:
            self.files.sync(self._segment)
            if fresh:
                self.files.sync_names()
        except DiskError as problem:
            self.failure = f"sync failed: {problem}"
            raise
        self._size += len(data)
        if self._size >= self.segment_bytes:
            self._segment = ""
        return batch

    def settle(self, batch: "Batch") -> int:
        """The third: what was written is durable."""
        self.durable_number = max(self.durable_number, batch.upto) if batch.frames else self.durable_number
        return self.durable_number

    def _undo(self, problem: DiskError) -> None:
        """A write that was cut is taken back; where that fails too, the store has failed."""
        if problem.full:
            try:
                self.files.truncate(self._segment, self._size)
                self._segment = "" if self._size == 0 else self._segment
                return
            except DiskError as again:
                problem = again
        self.failure = f"write failed: {problem}"

    def snapshot(self, state: Any) -> None:
        """Keep a state that holds all committed records, and forget those. It is written beside, synced and
        renamed in; only then are old files removed."""
        if self.failure:
            raise StoppedError(self.failure)
        upto = self.durable_number
        name, beside = f"state-{upto:020d}.snap", f"state-{upto:020d}.new"
        try:
            self.files.remove(beside)
            self.files.append(beside, _frame(upto, upto, state))
            self.files.sync(beside)
            self.files.rename(beside, name)
            self.files.sync_names()
        except DiskError as problem:
            if not problem.full:
                self.failure = f"snapshot failed: {problem}"
            raise
        self._segment = ""
        for old in self.files.names():
            kind, _, number = old.partition("-")
            if (kind == "state" and old.endswith(".snap") and old < name) or (
                kind == "journal" and int(number.removesuffix(".log")) <= upto
            ):
                self.files.remove(old)
        self.files.sync_names()

    def close(self) -> None:
        self.files.close()


def _frame(number: int, synced: int, record: Any) -> bytes:
    body = msgspec.msgpack.encode(record)
    head = _HEAD.pack(MAGIC, len(body), number, synced, VERSION)
    return head + xxhash.xxh64_digest(head + body) + body


def _frames(data: bytes) -> tuple[list[tuple[int, int, int, Any, int]], int]:
    """All whole records as (offset, number, synced, body, end), also behind broken ones; the first break."""
    found: list[tuple[int, int, int, Any, int]] = []
    at, good, intact = 0, 0, True
    while at < len(data):
        got = _one(data, at)
        if got is not None:
            number, synced, body, at_next = got
            found.append((at, number, synced, body, at_next))
            at = at_next
            good = at if intact else good
            continue
        intact = False
        at = data.find(MAGIC, at + 1)
        if at < 0:
            break
    return found, good


def _one(data: bytes, at: int) -> tuple[int, int, Any, int] | None:
    if len(data) - at < _HEAD.size + _SUM:
        return None
    magic, length, number, synced, version = _HEAD.unpack_from(data, at)
    begin, end = at + _HEAD.size + _SUM, at + _HEAD.size + _SUM + length
    if magic != MAGIC or length > MOST_BODY or end > len(data) or version > VERSION:
        return None
    head, body = data[at : at + _HEAD.size], data[begin:end]
    if xxhash.xxh64_digest(head + body) != data[at + _HEAD.size : begin]:
        return None
    try:
        return number, synced, msgspec.msgpack.decode(body), end
    except msgspec.MsgspecError:
        return None
