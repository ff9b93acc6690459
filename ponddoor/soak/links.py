"""The links between stand-in viewers and nodes, which can hold, delay or drop what passes on them.

A link is a TCP connection to the node on one side; on the other side it is the transport of a viewer's
protocol. While it holds a direction nothing of it is delivered, not even the end of the connection, and
nothing is lost. What is dropped never comes again, so such a link can only be reset. As the oracle has it, a
link is sound while nothing of this happens."""

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SOCKET_OPTIONS = (socket.SOL_SOCKET, socket.SO_LINGER)


class Trouble(Enum):
    """What happens to what passes on a link."""

    HOLDS = "holds"
    HOLDS_TO_VIEWER = "holds to the viewer"
    HOLDS_TO_NODE = "holds to the node"
    DROPS_TO_VIEWER = "drops to the viewer"
    DELAYS = "delays"


STRIKES_VIEWER = (Trouble.HOLDS, Trouble.HOLDS_TO_VIEWER, Trouble.DROPS_TO_VIEWER)
STRIKES_NODE = (Trouble.HOLDS, Trouble.HOLDS_TO_NODE)


class _Direction:
    """One direction of a link: deliveries in order, which can be held, dropped or late."""

    def __init__(self) -> None:
        self.holds = self.drops = False
        self.delay_s = 0.0
        self._waiting: deque[tuple[float, Callable[[], None]]] = deque()

    def pass_on(self, deliver: Callable[[], None], droppable: bool = True) -> None:
        """Deliver now, or in its turn."""
        if self.drops and droppable:
            return
        if not (self.holds or self.delay_s or self._waiting):
            deliver()
            return
        self._waiting.append((time.monotonic() + self.delay_s, deliver))
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self.deliver_due)

    def deliver_due(self) -> None:
        """Deliver what has waited for its time, unless the direction holds."""
        while self._waiting and not self.holds and self._waiting[0][0] <= time.monotonic():
            self._waiting.popleft()[1]()

    def clear(self) -> None:
        """Forget what waits."""
        self._waiting.clear()

    def resume(self) -> None:
        """Deliver all that waits."""
        self.holds, self.delay_s = False, 0.0
        while self._waiting:
            self._waiting.popleft()[1]()


class Link(asyncio.Transport):
    """The transport of one viewer's protocol, over a connection to a node."""

    def __init__(self, viewer: asyncio.Protocol) -> None:
        super().__init__()
        self.viewer = viewer
        self.node_side = _NodeSide(self)
        self.trouble: Trouble | None = None
        self._to_viewer, self._to_node = _Direction(), _Direction()
        self._closing = False

    @property
    def sound(self) -> bool:
        """Whether nothing is held, delayed or dropped."""
        return self.trouble is None

    def begin(self, trouble: Trouble, delay_s: float = 0.0) -> None:
        """From now on there is this trouble."""
        self.trouble = trouble
        self._to_viewer.holds = trouble in (Trouble.HOLDS, Trouble.HOLDS_TO_VIEWER)
        self._to_node.holds = trouble in STRIKES_NODE
        self._to_viewer.drops = trouble is Trouble.DROPS_TO_VIEWER
        if trouble is Trouble.DELAYS:
            self._to_viewer.delay_s = self._to_node.delay_s = delay_s

    def end(self) -> None:
        """The trouble is over: what waits is delivered. A link that dropped something is reset before."""
        self.trouble, self._to_viewer.drops = None, False
        self._to_node.resume()
        self._to_viewer.resume()

    def reset(self) -> None:
        """The connection is reset on both sides at once, and what waits is lost."""
        self._closing = True
        self._to_viewer.clear()
        self._to_node.clear()
        self.node_side.reset()

    # The side of the node

    def from_node(self, data: bytes) -> None:
        self._to_viewer.pass_on(lambda: self.viewer.data_received(data))

    def node_ended(self, error: Exception | None) -> None:
        """The connection to the node has ended, by whichever side."""

        def lost() -> None:
            self._closing = True
            self.viewer.connection_lost(error)

        self._to_viewer.pass_on(lost, droppable=False)

    # The side of the viewer

    def write(self, data: Any) -> None:
        if not self._closing:
            self._to_node.pass_on(lambda: self.node_side.write(bytes(data)))

    def write_eof(self) -> None:
        self._to_node.pass_on(self.node_side.write_eof)

    def close(self) -> None:
        self._closing = True
        self._to_node.pass_on(self.node_side.close)

    def abort(self) -> None:
        """The viewer resets the connection; the node learns of it once that gets there."""
        self._closing = True
        self._to_node.pass_on(self.node_side.reset)

    def is_closing(self) -> bool:
        return self._closing or (not self._to_viewer.holds and self.node_side.is_closing)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.node_side.extra_info(name, default)


class _NodeSide(asyncio.Protocol):
    """The connection to the node."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._transport: asyncio.Transport | None = None

    @property
    def is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def extra_info(self, name: str, default: Any) -> Any:
        return default if self._transport is None else self._transport.get_extra_info(name, default)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._link.viewer.connection_made(self._link)

    def data_received(self, data: bytes) -> None:
        self._link.from_node(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.node_ended(exc)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def write_eof(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        if self._transport is None:
            return
        with contextlib.suppress(OSError):
            self._transport.get_extra_info("socket").setsockopt(*SOCKET_OPTIONS, RESET_ON_CLOSE)
        self._transport.abort()
