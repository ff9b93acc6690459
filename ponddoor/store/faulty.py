"""An in-memory disk that fails as real ones do, driven by a seeded generator: for tests and simulations.

At a crash, data that was not synced may be lost, in whole or by pages, in any order; a rename that was not
followed by `sync_names` may be undone. `pending_faults` makes the next call of each named operation fail.
`operations_until_crash` counts down with each operation; at 0 the next one crashes while it runs."""

from dataclasses import dataclass, field
from random import Random

from ponddoor.store.files import DiskError, LockedError

PAGE_BYTES = 64


class CrashError(Exception):
    """The simulated machine crashed during a disk operation; the caller then calls `FaultyFiles.crash`."""


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    durable_data: bytes = b""


@dataclass(slots=True)
class FaultyFiles:
    """One directory on a simulated disk.

    `operations_until_crash` is -1 while no crash is due. `operations` counts the operations that can fail."""

    rng: Random
    files: dict[str, _File] = field(default_factory=dict)
    durable_names: dict[str, _File] = field(default_factory=dict)
    pending_faults: dict[str, str] = field(default_factory=dict)  # by operation: "full" or "error"
    operations_until_crash: int = -1
    capacity_bytes: int = 1 << 30
    locked: bool = False
    operations: int = 0

    def _begin_operation(self, operation: str) -> None:
        """Counts an operation. Raises CrashError if the crash is due, DiskError if a fault is pending."""
        self.operations += 1
        if self.operations_until_crash >= 0:
            self.operations_until_crash -= 1
            if self.operations_until_crash < 0:
                raise CrashError(operation)
        fault = self.pending_faults.pop(operation, "")
        if fault:
            raise DiskError(f"injected fault: {operation} failed ({fault})", full=fault == "full")

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise DiskError(f"{name} does not exist on the simulated disk")
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes) -> None:
        target = self.files.setdefault(name, _File())
        used = sum(len(file.data) for file in self.files.values())
        try:
            self._begin_operation("append")
            if used + len(data) > self.capacity_bytes:
                raise DiskError(
                    f"simulated disk full: {used} + {len(data)} of {self.capacity_bytes} bytes", full=True
                )
        except (CrashError, DiskError):
            target.data += data[: self.rng.randint(0, len(data))]  # a partial write, cut at any byte
            raise
        target.data += data

    def truncate(self, name: str, size: int) -> None:
        self._begin_operation("truncate")
        target = self.files.setdefault(name, _File())
        del target.data[size:]

    def sync(self, name: str) -> None:
        self._begin_operation("sync")
        target = self.files.setdefault(name, _File())
        target.durable_data = bytes(target.data)

    def sync_names(self) -> None:
        self._begin_operation("sync_names")
        self.durable_names = dict(self.files)

    def rename(self, old: str, new: str) -> None:
        self._begin_operation("rename")
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._begin_operation("remove")
        self.files.pop(name, None)

    def lock(self) -> None:
        if self.locked:
            raise LockedError("the simulated disk is locked by another process")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def crash(self) -> None:
        """Reduces the disk to what survives a crash: name changes that were not synced survive all or not at
        all, and each page of data that was not synced by chance. Clears the lock and all pending faults."""
        directory = self.files if self.rng.random() < 0.5 else self.durable_names
        surviving_files = dict(directory)
        for file in {id(file): file for file in (*self.files.values(), *surviving_files.values())}.values():
            data = bytearray(file.durable_data)
            for offset in range(0, len(file.data), PAGE_BYTES):
                if (
                    bytes(file.data[offset : offset + PAGE_BYTES])
                    != file.durable_data[offset : offset + PAGE_BYTES]
                    and self.rng.random() < 0.5
                ):
                    if len(data) < offset:
                        data += bytes(offset - len(data))
                    data[offset : offset + PAGE_BYTES] = file.data[offset : offset + PAGE_BYTES]
            file.data, file.durable_data = data, bytes(data)
        self.files = surviving_files
        self.durable_names = dict(surviving_files)
        self.operations_until_crash, self.locked = -1, False
        self.pending_faults.clear()
