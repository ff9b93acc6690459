"""Signals that arrive before a node's event loop has installed its signal handlers."""

from typing import NamedTuple


class EarlySignal(NamedTuple):
    """A signal's number and the time of its arrival, in nanoseconds of the monotonic clock."""

    number: int
    received_at_ns: int
