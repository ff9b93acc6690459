"""The little that the store asks of a disk, and the real one. `ponddoor.store.faulty` is one that fails."""

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class DiskError(Exception):
    """The disk refused; `full` says that there was no room, and that nothing else is wrong."""

    def __init__(self, why: str, full: bool = False) -> None:
        super().__init__(why)
        self.full = full


class LockedError(Exception):
    """Another process has this store open."""


class Files(Protocol):
    """Files of one folder, by name. All raise DiskError. Nothing is durable before `sync`, a name not before
    `sync_names`."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def append(self, name: str, data: bytes) -> None: ...
    def truncate(self, name: str, size: int) -> None: ...
    def sync(self, name: str) -> None: ...
    def sync_names(self) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def lock(self) -> None: ...
    def close(self) -> None: ...


class Disk:
    """A folder on a real disk."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open: dict[str, int] = {}
        self._lock: int | None = None
        folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(path.name for path in self._folder.iterdir() if path.name != "lock")

    def read(self, name: str) -> bytes:
        try:
            return (self._folder / name).read_bytes()
        except OSError as problem:
            raise _refused(problem) from None

    def append(self, name: str, data: bytes) -> None:
        try:
            handle, view = self._handle(name), memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
        except OSError as problem:
            raise _refused(problem) from None

    def truncate(self, name: str, size: int) -> None:
        try:
            os.ftruncate(self._handle(name), size)
        except OSError as problem:
            raise _refused(problem) from None

    def sync(self, name: str) -> None:
        try:
            os.fsync(self._handle(name))
        except OSError as problem:
            raise _refused(problem) from None

    def sync_names(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        except OSError as problem:
            raise _refused(problem) from None
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        self._shut(old)
        try:
            os.replace(self._folder / old, self._folder / new)
        except OSError as problem:
            raise _refused(problem) from None

    def remove(self, name: str) -> None:
        self._shut(name)
        try:
            (self._folder / name).unlink(missing_ok=True)
        except OSError as problem:
            raise _refused(problem) from None

    def lock(self) -> None:
        """Guards against two processes on one store. Raises LockedError."""
        self._lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            raise LockedError(f"{self._folder} is in use by another process") from None

    def close(self) -> None:
        for name in list(self._open):
            self._shut(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _handle(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self._folder / name, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        return self._open[name]

    def _shut(self, name: str) -> None:
        handle = self._open.pop(name, None)
        if handle is not None:
            os.close(handle)


def _refused(problem: OSError) -> DiskError:
    return DiskError(problem.strerror or str(problem), problem.errno in (errno.ENOSPC, errno.EDQUOT))
