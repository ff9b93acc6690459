"""Signals that come before a node's event loop has its handlers."""

from typing import NamedTuple


class EarlySignal(NamedTuple):
    """The signal's number, and when it came (nanoseconds of the monotonic clock)."""

    number: int
    received_at_ns: int
