"""The file operations that the journal needs, and their implementation on a real file system.

`ponddoor.store.faulty` implements them in memory, with injected faults."""

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class DiskError(Exception):
    """A file operation failed. `full` is set if the only cause is a full disk or an exhausted quota, so that
    the operation may be tried again."""

    def __init__(self, reason: str, full: bool = False) -> None:
        super().__init__(reason)
        self.full = full


class LockedError(Exception):
    """Another process has these files open."""


class Files(Protocol):
    """The files of one directory, addressed by name. Operations raise DiskError.

    Appended or truncated data is durable only after `sync`; a created, renamed or removed name only after
    `sync_names`. `append`, `truncate` and `sync` create a file that does not exist. `lock` raises
    LockedError; `close` releases the lock."""

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
    """The files of a directory of the operating system, which is created if it does not exist."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._descriptors: dict[str, int] = {}
        self._lock_descriptor: int | None = None
        directory.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(path.name for path in self._directory.iterdir() if path.name != "lock")

    def read(self, name: str) -> bytes:
        try:
            return (self._directory / name).read_bytes()
        except OSError as error:
            raise _disk_error(error) from None

    def append(self, name: str, data: bytes) -> None:
        try:
            descriptor, remaining = self._descriptor(name), memoryview(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]
        except OSError as error:
            raise _disk_error(error) from None

    def truncate(self, name: str, size: int) -> None:
        try:
            os.ftruncate(self._descriptor(name), size)
        except OSError as error:
            raise _disk_error(error) from None

    def sync(self, name: str) -> None:
        try:
            os.fsync(self._descriptor(name))
        except OSError as error:
            raise _disk_error(error) from None

    def sync_names(self) -> None:
        descriptor = os.open(self._directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        except OSError as error:
            raise _disk_error(error) from None
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        self._close_file(old)
        try:
            os.replace(self._directory / old, self._directory / new)
        except OSError as error:
            raise _disk_error(error) from None

    def remove(self, name: str) -> None:
        self._close_file(name)
        try:
            (self._directory / name).unlink(missing_ok=True)
        except OSError as error:
            raise _disk_error(error) from None

    def lock(self) -> None:
        """Takes an exclusive lock on the directory until `close`, so that only one process writes to it.

        Raises LockedError if another process holds it."""
        self._lock_descriptor = os.open(self._directory / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
            raise LockedError(f"{self._directory} is locked by another process") from None

    def close(self) -> None:
        for name in list(self._descriptors):
            self._close_file(name)
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    def _descriptor(self, name: str) -> int:
        """The open descriptor of a file, for reading and appending; opens or creates the file if needed."""
        if name not in self._descriptors:
            self._descriptors[name] = os.open(
                self._directory / name, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600
            )
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _disk_error(error: OSError) -> DiskError:
    return DiskError(error.strerror or str(error), error.errno in (errno.ENOSPC, errno.EDQUOT))
