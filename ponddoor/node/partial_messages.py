"""The bytes held of messages received in part, over all connections from viewers, within a budget."""

from dataclasses import dataclass, field

from ponddoor.node.viewer_connection import ViewerConnection

MIN_BUDGET_BYTES = 1 << 18
HEADROOM_DIVISOR = 4  # the share of the memory that is left after the start
BYTES_PER_MB = 1 << 20


def partial_budget_bytes(memory_mb: float, resident_kb: int) -> int:
    """The budget of a process that may use `memory_mb` and uses `resident_kb` once it has started."""
    headroom = int(memory_mb * BYTES_PER_MB) - resident_kb * 1024
    return max(headroom // HEADROOM_DIVISOR, MIN_BUDGET_BYTES)


@dataclass(slots=True)
class PartialMessages:
    """The connections that are in the middle of a message, the longest waiting first, and the bytes held."""

    budget_bytes: int = 1 << 30
    _sizes: dict[ViewerConnection, int] = field(default_factory=dict)
    _total: int = 0

    @property
    def total_bytes(self) -> int:
        """The bytes that all connections hold."""
        return self._total

    def update(self, connection: ViewerConnection, size: int, is_new: bool) -> None:
        """A connection holds `size` bytes now; with `is_new` they are of a message that has just begun."""
        if is_new:
            self.remove(connection)
        self._total += size - self._sizes.get(connection, 0)
        if size:
            self._sizes[connection] = size
        else:
            self._sizes.pop(connection, None)

    def remove(self, connection: ViewerConnection) -> None:
        """A connection has ended, or holds nothing any more."""
        self._total -= self._sizes.pop(connection, 0)

    def excess(self) -> ViewerConnection | None:
        """The connection to be closed for the budget, None while it is kept: the longest waiting one that no
        session was placed for, or else the longest waiting."""
        if self._total <= self.budget_bytes:
            return None
        untrusted = (connection for connection in self._sizes if not connection.trusted)
        return next(untrusted, None) or next(iter(self._sizes))
