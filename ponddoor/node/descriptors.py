"""Descriptors that a node keeps for what must not fail for want of one, and files that it holds open."""

import contextlib
import errno
import os
from dataclasses import dataclass, field
from typing import TextIO

RESERVED = 2  # for a configuration that is read and a connection to the list
LOCAL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def is_resource_exhaustion(problem: OSError) -> bool:
    """Whether this machine had no means, so that nobody else is to blame."""
    return problem.errno in LOCAL_ERRORS


@dataclass(slots=True)
class DescriptorReserve:
    """Descriptors that are given back when one is needed, and taken again when there are some."""

    _held: list[int] = field(default_factory=list)

    def refill(self) -> None:
        """Hold as many as are reserved, or as many as there are."""
        with contextlib.suppress(OSError):
            while len(self._held) < RESERVED:
                self._held.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))

    def release(self) -> bool:
        """Make one free. Returns whether there was one."""
        if not self._held:
            return False
        os.close(self._held.pop())
        return True

    def close(self) -> None:
        """Hold none any more."""
        while self.release():
            pass


class MemoryGauge:
    """What of the process is in memory. The file stays open, so that no look needs a descriptor."""

    def __init__(self) -> None:
        """Raises OSError where the system does not tell."""
        self._file = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)

    def resident_kb(self) -> int:
        """kB in memory; 0 where the system does not tell."""
        try:
            return int(os.pread(self._file, 128, 0).split()[1]) * PAGE_KB
        except OSError:
            return 0


class LogStream:
    """A text stream that drops what can't be written: a log that is full or has no reader stops no work."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write, or count what was dropped."""
        try:
            return self._stream.write(text)
        except (OSError, ValueError):
            self.dropped += 1
            return len(text)

    def flush(self) -> None:
        """Write out what is buffered, or drop it."""
        with contextlib.suppress(OSError, ValueError):
            self._stream.flush()
