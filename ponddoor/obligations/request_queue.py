"""The requests that are read and not submitted yet: in turn over the connections, and refused in time if
there are more than can be worked off. Does no I/O.

Source: Nagle, "On Packet Switches with Infinite Storage", RFC 970, 1985 (a queue for each source, served in
turn); Demers, Keshav and Shenker, "Analysis and Simulation of a Fair Queueing Algorithm", 1989 (what
overflows is taken from the longest queue). Times are in microseconds."""

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

INITIAL_COST_US = 500
INITIAL_REQUESTS = 8  # as if so many had been measured at INITIAL_COST_US
MEASURED_REQUESTS = 64  # once so many are counted, the older ones count half

ConnectionT = TypeVar("ConnectionT", bound=Hashable)
RequestT = TypeVar("RequestT")


@dataclass(slots=True)
class RequestCost:
    """The time that one request takes this front, with all other work and with waits for the processor."""

    _elapsed_us: float = INITIAL_COST_US * INITIAL_REQUESTS
    _requests: float = INITIAL_REQUESTS

    @property
    def mean_us(self) -> float:
        """The mean of the requests measured last."""
        return self._elapsed_us / self._requests

    def record(self, elapsed_us: int, requests: int) -> None:
        """Count requests that were worked off in a time that was spent on nothing but requests."""
        self._elapsed_us += elapsed_us
        self._requests += requests
        if self._requests > MEASURED_REQUESTS:
            self._elapsed_us /= 2
            self._requests /= 2


@dataclass(slots=True)
class RequestQueue(Generic[ConnectionT, RequestT]):
    """Requests by connection. Each connection with requests has its turn, and is served one in a turn."""

    _by_connection: dict[ConnectionT, dict[str, RequestT]] = field(default_factory=dict)
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def add(self, connection: ConnectionT, session: str, request: RequestT) -> None:
        """Add a request behind the others of its connection."""
        requests = self._by_connection.setdefault(connection, {})
        self._count += session not in requests
        requests[session] = request

    def discard(self, connection: ConnectionT, session: str) -> None:
        """Remove a request that has ended."""
        requests = self._by_connection.get(connection, {})
        if requests.pop(session, None) is not None:
            self._count -= 1
            if not requests:
                del self._by_connection[connection]

    def discard_connection(self, connection: ConnectionT) -> None:
        """Remove the requests of a connection that has ended."""
        self._count -= len(self._by_connection.pop(connection, ()))

    def take(self) -> RequestT | None:
        """Remove the oldest request of the connection whose turn it is."""
        connection = next(iter(self._by_connection), None)
        if connection is None:
            return None
        requests = self._by_connection.pop(connection)
        request = requests.pop(next(iter(requests)))
        self._count -= 1
        if requests:
            self._by_connection[connection] = requests
        return request

    def take_from_longest(self) -> RequestT | None:
        """Remove the newest request of the connection that has most."""
        if not self._by_connection:
            return None
        connection = max(self._by_connection, key=lambda one: len(self._by_connection[one]))
        requests = self._by_connection[connection]
        _, request = requests.popitem()
        self._count -= 1
        if not requests:
            del self._by_connection[connection]
        return request
