"""An append-only journal of records with snapshots, over `Files`.

It uses no clock and no threads. The caller decides when to commit, and can commit many records at once in
another thread (see ponddoor.store.committer).

The frame of a record, in order, integers big-endian: magic (4 bytes), length of the body (u32), record number
(u64), number of the last record known to be durable when this one was appended (u64), format version (u8),
xxh64 of all these fields and the body (8 bytes), body (MessagePack). Record numbers rise by one. A segment is
named after its first record, a snapshot after the last record that it covers.

Recovery reads the newest snapshot and the records after it, up to the first that can't be read. The rest is
dropped and reported if a crash can have left it. If any record in the files says that the unreadable one was
durable, the data is damaged and the journal refuses to open. Damage at the very end can't be told from a torn
write."""

import struct
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from ponddoor.store.files import DiskError, Files

FORMAT_VERSION = 1
MAGIC = b"pJr\x01"
_HEADER = struct.Struct(">4sIQQB")
_CHECKSUM_BYTES = 8
MAX_BODY_BYTES = 16_000_000  # a frame that claims a longer body is taken for corrupt


class DamagedError(Exception):
    """A durable record or a snapshot can't be read.

    The journal stays closed; segments and snapshots are left as they are."""


class StoppedError(Exception):
    """The journal failed before and accepts no more records.

    Records appended since the last successful commit may or may not be durable."""


@dataclass(frozen=True, slots=True)
class Recovery:
    """The contents of a journal: the state of its snapshot (None without one) and the records after it.

    `dropped` describes, for the log, each unfinished write of a crash that recovery dropped."""

    state: Any
    records: list[Any]
    dropped: list[str]


@dataclass(frozen=True, slots=True)
class Batch:
    """Frames that are written and synced together, and the number of the last record."""

    frames: list[bytes]
    last_number: int


@dataclass(slots=True)
class Journal:
    """One journal. Call `open` first, then `append`, `commit` and `snapshot`.

    `durable_number` is the number of the last durable record. `failure` is the error that stopped the
    journal, empty while it works. A segment that has reached `segment_bytes` is followed by a new one."""

    files: Files
    segment_bytes: int = 4_000_000
    next_number: int = 1
    durable_number: int = 0
    failure: str = ""
    _segment_name: str = ""  # empty if the next batch starts a new segment
    _segment_size_bytes: int = 0
    _pending: list[bytes] = field(default_factory=list)

    def open(self) -> Recovery:
        """Locks the files, recovers their contents and prepares for appending.

        Raises LockedError, DamagedError or DiskError; the lock is not held then."""
        self.files.lock()
        try:
            return self._recover()
        except BaseException:
            self.files.close()
            raise

    def _recover(self) -> Recovery:
        """Reads the newest snapshot and the records after it, and removes what a crash left unfinished."""
        names, dropped = self.files.names(), list[str]()
        for name in [name for name in names if name.endswith(".new")]:
            dropped.append(f"{name}: unfinished snapshot removed")
            self.files.remove(name)
        snapshots = sorted((name for name in names if name.endswith(".snap")), reverse=True)
        state, snapshot_number = None, 0
        for name in snapshots:
            snapshot_frames = _decode_frames(self.files.read(name))[0]
            if not snapshot_frames:
                raise DamagedError(f"{name}: the newest snapshot can't be read; journal not opened")
            state, snapshot_number = snapshot_frames[0][3], int(name.removesuffix(".snap").split("-")[1])
            break
        segments = sorted(name for name in names if name.endswith(".log"))
        records: list[Any] = []
        next_number, break_location, newest_durable = snapshot_number + 1, "", 0
        for index, name in enumerate(segments):
            data = self.files.read(name)
            frames, intact_end = _decode_frames(data)
            for offset, number, known_durable, body, _ in frames:
                newest_durable = max(newest_durable, known_durable)
                if break_location or offset > intact_end:
                    continue
                if number > next_number:
                    break_location = (
                        break_location or f"{name}, byte {offset}: record {next_number} is missing"
                    )
                elif number == next_number:
                    records.append(body)
                    next_number += 1
            if not break_location and intact_end < len(data):
                break_location = f"{name}, byte {intact_end}: incomplete or corrupt record"
            if break_location and index == len(segments) - 1 and newest_durable < next_number:
                dropped.append(
                    f"{break_location}; {len(data) - intact_end} bytes follow the intact part of {name}"
                )
        if break_location and newest_durable >= next_number:
            raise DamagedError(
                f"{break_location}, but records up to {newest_durable} were durable; journal not opened"
            )
        if break_location and not dropped:
            dropped.append(break_location)
        self.next_number, self.durable_number = next_number, next_number - 1
        if break_location or dropped:
            self._truncate_segments(segments, next_number)
        self._segment_name, self._segment_size_bytes = "", 0
        return Recovery(state, records, dropped)

    def _truncate_segments(self, segments: list[str], next_number: int) -> None:
        """Cuts each segment after its intact records below `next_number`.

        What a crash left behind would otherwise be read together with records that are appended later."""
        for name in segments:
            data, size = self.files.read(name), 0
            frames = _decode_frames(data)[0]
            for offset, number, _, _, end in frames:
                if number < next_number and offset == size:
                    size = end
            if size < len(data):
                self.files.truncate(name, size)
                self.files.sync(name)
        self.files.sync_names()

    def append(self, record: Any) -> int:
        """Queues a record for the next commit; returns its number. Raises StoppedError.

        The record is durable once `durable_number` has reached its number."""
        if self.failure:
            raise StoppedError(self.failure)
        number = self.next_number
        self.next_number += 1
        self._pending.append(_encode_frame(number, self.durable_number, record))
        return number

    def commit(self) -> int:
        """Makes all appended records durable; returns the number of the last durable record.

        Raises DiskError. If it has `full` set and `failure` is still empty, the records stay queued for the
        next commit. Otherwise the journal has failed and raises StoppedError from then on: a failed sync may
        have lost written data, so a later sync that succeeds would not make that data durable."""
        return self.mark_durable(self.write_batch(self.take_batch()))

    def take_batch(self) -> "Batch":
        """The first step of a commit: takes the queued records. Raises StoppedError."""
        if self.failure:
            raise StoppedError(self.failure)
        frames, self._pending = self._pending, []
        return Batch(frames, self.next_number - 1)

    def write_batch(self, batch: "Batch") -> "Batch":
        """The second step: writes and syncs the batch. Raises DiskError as `commit` does.

        It may run in another thread while records are appended."""
        if not batch.frames:
            return batch
        new_segment = not self._segment_name
        if new_segment:
            self._segment_name, self._segment_size_bytes = f"journal-{self.durable_number + 1:020d}.log", 0
        data = b"".join(batch.frames)
        try:
            self.files.append(self._segment_name, data)
        except DiskError as error:
            self._undo_append(error)
            self._pending = batch.frames + self._pending
            raise
        try:
            self.files.sync(self._segment_name)
            if new_segment:
                self.files.sync_names()
        except DiskError as error:
            self.failure = f"sync of {self._segment_name} failed: {error}"
            raise
        self._segment_size_bytes += len(data)
        if self._segment_size_bytes >= self.segment_bytes:
            self._segment_name = ""
        return batch

    def mark_durable(self, batch: "Batch") -> int:
        """The third step: advances `durable_number` past a batch that was written; returns it."""
        self.durable_number = (
            max(self.durable_number, batch.last_number) if batch.frames else self.durable_number
        )
        return self.durable_number

    def _undo_append(self, error: DiskError) -> None:
        """Removes the partial data of a write that failed on a full disk. After any other error, or if that
        removal fails, the journal has failed."""
        if error.full:
            try:
                self.files.truncate(self._segment_name, self._segment_size_bytes)
                self._segment_name = "" if self._segment_size_bytes == 0 else self._segment_name
                return
            except DiskError as truncate_error:
                error = truncate_error
        self.failure = f"write to {self._segment_name} failed: {error}"

    def snapshot(self, state: Any) -> None:
        """Replaces the durable records by a snapshot; `state` must reflect exactly these records.

        The snapshot is written under a temporary name, synced and renamed; only then are older files removed.
        No batch may be in the middle of its write, as its segment may be removed. Raises StoppedError or
        DiskError. An error of the snapshot's own write, unless the disk is full, makes the journal fail."""
        if self.failure:
            raise StoppedError(self.failure)
        last_number = self.durable_number
        name, temporary_name = f"state-{last_number:020d}.snap", f"state-{last_number:020d}.new"
        try:
            self.files.remove(temporary_name)
            self.files.append(temporary_name, _encode_frame(last_number, last_number, state))
            self.files.sync(temporary_name)
            self.files.rename(temporary_name, name)
            self.files.sync_names()
        except DiskError as error:
            if not error.full:
                self.failure = f"writing snapshot {name} failed: {error}"
            raise
        self._segment_name = ""
        for old in self.files.names():
            kind, _, number = old.partition("-")
            if (kind == "state" and old.endswith(".snap") and old < name) or (
                kind == "journal" and int(number.removesuffix(".log")) <= last_number
            ):
                self.files.remove(old)
        self.files.sync_names()

    def close(self) -> None:
        self.files.close()


def _encode_frame(number: int, durable_number: int, record: Any) -> bytes:
    body = msgspec.msgpack.encode(record)
    header = _HEADER.pack(MAGIC, len(body), number, durable_number, FORMAT_VERSION)
    return header + xxhash.xxh64_digest(header + body) + body


def _decode_frames(data: bytes) -> tuple[list[tuple[int, int, int, Any, int]], int]:
    """All intact records of a file, also those after a break, and the offset of the first break.

    A record is (offset, number, last number known durable when it was appended, body, end offset)."""
    records: list[tuple[int, int, int, Any, int]] = []
    offset, intact_end, unbroken = 0, 0, True
    while offset < len(data):
        decoded = _decode_frame(data, offset)
        if decoded is not None:
            number, known_durable, body, end = decoded
            records.append((offset, number, known_durable, body, end))
            offset = end
            intact_end = offset if unbroken else intact_end
            continue
        unbroken = False
        offset = data.find(MAGIC, offset + 1)
        if offset < 0:
            break
    return records, intact_end


def _decode_frame(data: bytes, offset: int) -> tuple[int, int, Any, int] | None:
    """The record at an offset as (number, last number known durable, body, end offset); None if it is not
    intact or of a newer format version."""
    if len(data) - offset < _HEADER.size + _CHECKSUM_BYTES:
        return None
    magic, length, number, known_durable, version = _HEADER.unpack_from(data, offset)
    begin, end = offset + _HEADER.size + _CHECKSUM_BYTES, offset + _HEADER.size + _CHECKSUM_BYTES + length
    if magic != MAGIC or length > MAX_BODY_BYTES or end > len(data) or version > FORMAT_VERSION:
        return None
    header, body = data[offset : offset + _HEADER.size], data[begin:end]
    if xxhash.xxh64_digest(header + body) != data[offset + _HEADER.size : begin]:
        return None
    try:
        return number, known_durable, msgspec.msgpack.decode(body), end
    except msgspec.MsgspecError:
        return None
