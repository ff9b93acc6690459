"""Faults of single connections between nodes and stand-in media servers.

A faulty link is the transport of a server's protocol, over the connection that the node opened. Each link has
at most one fault, which begins some time after the connection was accepted. Neither side is told of it, but
for a reset. All times are in seconds."""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random
from typing import Any

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
LOST_BEFORE_RESET_S = 0.2
LOSS_LENGTH_S = 0.5
MAX_START_S = 4.0  # from accepting a connection to its fault
MAX_DELAY_S = 2.0
AT_ONCE_SHARE = 0.5  # of the faults that follow another one


class FaultKind(Enum):
    """What happens on a link."""

    RESET = "reset"
    RESET_AFTER_LOSS = "reset-after-loss"  # what passed in its last LOST_BEFORE_RESET_S is lost
    SILENT = "silent"  # nothing is delivered any more, and the connection stays open
    LATE = "late"  # what the server writes is delivered later
    LOSS = "loss"  # what passes for `length_s` is lost, in both directions


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault that begins `start_s` after the connection was accepted.

    `length_s` is the length of a loss, or the delay of what is late, which is late from the start on."""

    kind: FaultKind
    start_s: float = 0.0
    length_s: float = 0.0

    @classmethod
    def draw(cls, random: Random) -> "LinkFault":
        """A fault of a random kind and start."""
        kind = random.choice(list(FaultKind))
        length_s = random.uniform(0.0, MAX_DELAY_S) if kind is FaultKind.LATE else LOSS_LENGTH_S
        return cls(kind, random.uniform(0.0, MAX_START_S), length_s)


@dataclass(slots=True)
class FaultDraw:
    """Draws the faults of the connections to one server, each by itself but for faults in a row.

    `share` is that of the connections with a fault, `in_a_row` the share among those that open after one."""

    share: float
    in_a_row: float
    random: Random
    _struck: set[int] = field(default_factory=set)  # the nodes whose last connection had a fault

    def draw(self, node: int) -> tuple[LinkFault, ...]:
        """The faults of a connection that a node opens now."""
        follows = node in self._struck
        self._struck.discard(node)
        if self.random.random() >= (self.in_a_row if follows else self.share):
            return ()
        self._struck.add(node)
        fault = LinkFault.draw(self.random)
        at_once = follows and self.random.random() < AT_ONCE_SHARE
        return (replace(fault, start_s=0.0) if at_once else fault,)


class FaultyTransport(asyncio.Transport):
    """The transport of a server's connection whose link has faults. `protocol` is that of the server."""

    def __init__(self, protocol: asyncio.Protocol, transport: asyncio.Transport) -> None:
        super().__init__()
        self._protocol, self._transport = protocol, transport
        self.on_fault: Callable[[], None] = lambda: None  # called as a fault begins
        self.on_reset: Callable[[], None] = lambda: None  # called as a fault resets the connection
        self.on_end: Callable[[], None] = lambda: None  # called as the connection has ended
        self._loses = False
        self.passes_end = True  # whether the server is told that the node has closed its direction
        self._delay_s = 0.0
        self._late: deque[tuple[float, Callable[[], None]]] = deque()

    def schedule(self, fault: LinkFault) -> None:
        """Have this fault begin in its time."""
        loop, kind = asyncio.get_running_loop(), fault.kind
        if kind is FaultKind.LATE:
            self._delay_s = fault.length_s
            self.on_fault()
            return
        start_s = fault.start_s
        if kind is FaultKind.RESET_AFTER_LOSS:
            start_s = max(start_s - LOST_BEFORE_RESET_S, 0.0)
        if start_s <= 0:
            self._begin(fault)
        else:
            loop.call_later(start_s, self._begin, fault)

    def _begin(self, fault: LinkFault) -> None:
        loop = asyncio.get_running_loop()
        self.on_fault()
        if fault.kind is FaultKind.RESET:
            self.reset()
            return
        self._loses = True
        self.passes_end = fault.kind is not FaultKind.SILENT
        if fault.kind is FaultKind.RESET_AFTER_LOSS:
            loop.call_later(LOST_BEFORE_RESET_S, self.reset)
        elif fault.kind is FaultKind.LOSS:
            loop.call_later(fault.length_s, self._stop_losing)

    def _stop_losing(self) -> None:
        self._loses = False

    def reset(self) -> None:
        """Reset the connection; what is late is lost."""
        self.on_reset()
        self._late.clear()
        opened = self._transport.get_extra_info("socket")
        if opened is not None and not self._transport.is_closing():
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    # From the node

    def received(self, data: bytes) -> None:
        """The node has sent this."""
        if not self._loses:
            self._protocol.data_received(data)

    # From the server

    def _pass_on(self, deliver: Callable[[], None]) -> None:
        if self._loses:
            return
        if not self._delay_s:
            deliver()
            return
        loop = asyncio.get_running_loop()
        self._late.append((loop.time() + self._delay_s, deliver))
        loop.call_later(self._delay_s, self._deliver_due)

    def _deliver_due(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._late and self._late[0][0] <= now + 0.001:
            self._late.popleft()[1]()

    def write(self, data: Any) -> None:
        self.write_noted(bytes(data), lambda: None)

    def write_noted(self, data: bytes, passed: Callable[[], None]) -> None:
        """Write, and call `passed` once it is handed to the node's connection; never if it is lost."""

        def deliver() -> None:
            if not self._transport.is_closing():
                self._transport.write(data)
                passed()

        self._pass_on(deliver)

    def write_eof(self) -> None:
        self._pass_on(self._transport.write_eof)

    def close(self) -> None:
        self._pass_on(self._transport.close)

    def abort(self) -> None:
        self._transport.abort()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)


class FaultyLink(asyncio.Protocol):
    """Passes the events of an accepted connection on to the server's protocol, over a link with faults.

    `prepare` schedules them on the transport before the protocol is told of it."""

    def __init__(self, protocol: asyncio.Protocol, prepare: Callable[[FaultyTransport], None]) -> None:
        self._protocol, self._prepare = protocol, prepare
        self.transport: FaultyTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = FaultyTransport(self._protocol, transport)
        self._prepare(self.transport)
        self._protocol.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.received(data)

    def eof_received(self) -> bool | None:
        """Keep a connection open whose end the link does not deliver."""
        assert self.transport is not None
        return self._protocol.eof_received() if self.transport.passes_end else True

    def connection_lost(self, exc: Exception | None) -> None:
        assert self.transport is not None
        self._protocol.connection_lost(exc)
        self.transport.on_end()
