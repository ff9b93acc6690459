"""File descriptors: a reserve for operations that must not fail for lack of one, and files kept open."""

import contextlib
import errno
import os
from dataclasses import dataclass, field
from typing import TextIO

RESERVE_SIZE = 2  # for reading the configuration and for a connection to the discovery service
RESOURCE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def is_resource_exhaustion(problem: OSError) -> bool:
    """Whether an operation failed because this machine lacked a resource, and so not because of a peer."""
    return problem.errno in RESOURCE_ERRNOS


@dataclass(slots=True)
class DescriptorReserve:
    """Holds open descriptors, to release one when it is needed and to reopen it when one is available."""

    _held: list[int] = field(default_factory=list)

    def refill(self) -> None:
        """Open descriptors up to RESERVE_SIZE, or as many as the system allows."""
        with contextlib.suppress(OSError):
            while len(self._held) < RESERVE_SIZE:
                self._held.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))

    def release(self) -> bool:
        """Close one descriptor. Returns whether there was one."""
        if not self._held:
            return False
        os.close(self._held.pop())
        return True

    def close(self) -> None:
        """Close all descriptors."""
        while self.release():
            pass


class MemoryGauge:
    """Reads the resident memory of this process. The file stays open, so that reading needs no descriptor."""

    def __init__(self) -> None:
        """Raises OSError if the system has no such file."""
        self._file = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)

    def resident_kb(self) -> int:
        """The resident memory in kB; 0 if it can't be read."""
        try:
            return int(os.pread(self._file, 128, 0).split()[1]) * PAGE_KB
        except OSError:
            return 0


class LogStream:
    """A text stream that drops what can't be written, so that a full or closed log does not stop the node."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write the text, or count it as dropped."""
        try:
            return self._stream.write(text)
        except (OSError, ValueError):
            self.dropped += 1
            return len(text)

    def flush(self) -> None:
        """Flush the stream; errors are ignored."""
        with contextlib.suppress(OSError, ValueError):
            self._stream.flush()
