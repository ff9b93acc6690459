"""A TCP listener that can be made to let no new connection come up, as a machine that is cut off does."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

BACKLOG = 1024
FILLERS = 4  # connections that fill an accept queue of length 0


@dataclass(slots=True)
class StallableListener:
    """One address. `make` is called for the protocol of each accepted connection."""

    make: Callable[[], asyncio.Protocol]
    _socket: socket.socket | None = None
    _fillers: list[socket.socket] = field(default_factory=list)
    _filler_addresses: set[tuple[str, int]] = field(default_factory=set)
    _tasks: set[asyncio.Task[object]] = field(default_factory=set)

    def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError where the port is taken."""
        opened = self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, port))
        opened.listen(BACKLOG)
        opened.setblocking(False)
        asyncio.get_running_loop().add_reader(opened, self._accept)

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self._socket is not None:
            try:
                opened, peer = self._socket.accept()
            except OSError:
                return
            if peer in self._filler_addresses:
                opened.close()
                continue
            opened.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(self.make, opened))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stall(self) -> None:
        """From now on the kernel drops what wants to connect: the accept queue is full."""
        if self._socket is None or self._fillers:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._accept()
        self._socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._socket.getsockname())
            self._filler_addresses.add(filler.getsockname())
            self._fillers.append(filler)

    def resume(self) -> None:
        """Accept again."""
        if self._socket is None or not self._fillers:
            return
        self._close_fillers()
        self._socket.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def close(self) -> None:
        """New connections are refused from now on."""
        self._close_fillers()
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
