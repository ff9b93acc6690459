"""Accepts connections in small batches. Before it closes it accepts those that are still in the backlog."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

import structlog

# Connections accepted in one turn of the event loop. Small, so that in a burst idle connections are evicted
# before the burst uses up the descriptors
ACCEPT_BATCH_SIZE = 4
LISTEN_BACKLOG = 1024
ACCEPT_RETRY_DELAY_S = 0.1  # after accept failed
log = structlog.get_logger("listener")


class Listener:
    """Listens on one address and connects each accepted socket to a new protocol instance."""

    def __init__(self, protocol_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self._protocol_factory = protocol_factory
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[None]] = set()

    def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError if the address cannot be bound."""
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self._resume()

    def _resume(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_batch)

    def _accept_batch(self) -> None:
        for _ in range(ACCEPT_BATCH_SIZE):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept one connection. Returns whether one was waiting and could be accepted."""
        if self._socket is None:
            return False
        try:
            accepted, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as problem:  # no descriptor left, or the network is down: both may pass
            log.warning("not-accepted", why=str(problem))
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)
            return False
        task = asyncio.get_running_loop().create_task(self._open(accepted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    async def _open(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        with contextlib.suppress(OSError):
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().connect_accepted_socket(self._protocol_factory, accepted)

    async def close(self, until: float) -> None:
        """Accept all connections in the backlog, then stop listening, by `until` (loop time) at the latest.

        Where that is over, as after a stall, a full backlog is still accepted: its connections have been
        taken by this machine, and requests on them have to be answered. Closing a listener resets the
        connections in its backlog and loses data sent on them. This can still happen to a connection that
        comes up in the microseconds between the last accept and the close."""
        loop = asyncio.get_running_loop()
        if self._socket is None:
            return
        loop.remove_reader(self._socket)
        count = 0
        while count < LISTEN_BACKLOG or loop.time() < until:
            accepted = sum(self._accept() for _ in range(ACCEPT_BATCH_SIZE))
            if not accepted:
                break
            count += accepted
            await asyncio.sleep(0)
        loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        while self._opening:
            await asyncio.sleep(0)
