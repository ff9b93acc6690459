"""A disk in memory that fails as real ones do, from a seed: for tests and the simulation.

At a crash, data that was not synced may be lost, in whole or by pages, in any order; a rename that was not
followed by `sync_names` may be undone. `pending_faults` makes the next call of each named operation fail.
`operations_until_crash` counts down with each operation; at 0 the next one crashes while it runs."""

from dataclasses import dataclass, field
from random import Random

from ponddoor.store.files import DiskError, LockedError

PAGE = 64


class CrashError(Exception):
    """The machine stops here."""


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""


@dataclass(slots=True)
class FaultyFiles:
    """One folder on a disk that fails."""

    rng: Random
    files: dict[str, _File] = field(default_factory=dict)
    durable_names: dict[str, _File] = field(default_factory=dict)
    pending_faults: dict[str, str] = field(default_factory=dict)  # operation: "full" or "error", once
    operations_until_crash: int = -1
    capacity_bytes: int = 1 << 30
    locked: bool = False
    operations: int = 0

    def _step(self, what: str) -> None:
        self.operations += 1
        if self.operations_until_crash >= 0:
            self.operations_until_crash -= 1
            if self.operations_until_crash < 0:
                raise CrashError(what)
        how = self.pending_faults.pop(what, "")
        if how:
            raise DiskError(f"{what} failed", full=how == "full")

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise DiskError(f"no file {name}")
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes) -> None:
        held = self.files.setdefault(name, _File())
        used = sum(len(file.data) for file in self.files.values())
        try:
            self._step("append")
            if used + len(data) > self.capacity_bytes:
                raise DiskError("no room", full=True)
        except (CrashError, DiskError):
            held.data += data[: self.rng.randint(0, len(data))]  # cut at any byte
            raise
        held.data += data

    def truncate(self, name: str, size: int) -> None:
        self._step("truncate")
        held = self.files.setdefault(name, _File())
        del held.data[size:]

    def sync(self, name: str) -> None:
        self._step("sync")
        held = self.files.setdefault(name, _File())
        held.durable = bytes(held.data)

    def sync_names(self) -> None:
        self._step("sync_names")
        self.durable_names = dict(self.files)

    def rename(self, old: str, new: str) -> None:
        self._step("rename")
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._step("remove")
        self.files.pop(name, None)

    def lock(self) -> None:
        if self.locked:
            raise LockedError("in use")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def crash(self) -> None:
        """The machine stops: unsynced pages and names survive or not, each by chance."""
        names = self.files if self.rng.random() < 0.5 else self.durable_names
        kept = dict(names)
        for file in {id(file): file for file in (*self.files.values(), *kept.values())}.values():
            after = bytearray(file.durable)
            for at in range(0, len(file.data), PAGE):
                if (
                    bytes(file.data[at : at + PAGE]) != file.durable[at : at + PAGE]
                    and self.rng.random() < 0.5
                ):
                    if len(after) < at:
                        after += bytes(at - len(after))
                    after[at : at + PAGE] = file.data[at : at + PAGE]
            file.data, file.durable = after, bytes(after)
        self.files = kept
        self.durable_names = dict(kept)
        self.operations_until_crash, self.locked = -1, False
        self.pending_faults.clear()
