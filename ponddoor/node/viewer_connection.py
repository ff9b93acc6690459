"""One connection from viewers, and the table that decides which connection is evicted for a new one."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from ponddoor.front.pump import SECOND, clock
from ponddoor.node import viewer_codec as codec
from ponddoor.web.half_close import half_close

PARTIAL_MESSAGE_TIMEOUT_US = 3 * SECOND // 2  # from the first byte of a message to its last
SILENT_CONNECTION_TIMEOUT_US = 2 * SECOND  # for a connection that has sent no valid message since it opened
NEW_CONNECTION_GRACE_US = SECOND // 4  # a connection younger than this is evicted after older ones
WRITE_BUFFER_LIMIT_BYTES = 1 << 18  # a viewer that leaves more unread is disconnected
READ_SIZE_BYTES = 1 << 13  # in one turn of the event loop, of each connection
LINGER_TIMEOUT_US = SECOND  # how long a viewer has to read what was written before its connection is closed
log = structlog.get_logger("viewers")
_numbers = itertools.count(1)
_read_buffer = memoryview(bytearray(READ_SIZE_BYTES))  # of all connections: what is read is taken at once


class Handler(Protocol):
    """Receives the events of a connection."""

    def connection_opened(self, connection: "ViewerConnection") -> None:
        """The connection has been accepted."""

    def message_received(self, connection: "ViewerConnection", message: codec.Message) -> None:
        """A message has been received completely."""

    def request_close(self, connection: "ViewerConnection", reason: str) -> None:
        """Nothing more can be read from the connection, and it has to be closed."""

    def connection_closed(self, connection: "ViewerConnection") -> None:
        """The connection has ended."""

    def partial_changed(self, connection: "ViewerConnection", size: int, is_new: bool) -> None:
        """The connection holds `size` bytes of an incomplete message; `is_new` if that has just begun."""

    def count(self, event: str) -> None:
        """Increment the counter of `event`."""


class ViewerConnection(asyncio.BufferedProtocol):
    """Decodes messages from one connection and writes to it.

    `proven` is set once a valid message was received, `trusted` once a session was placed for a request from
    this connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler, self.reader = handler, codec.Reader()
        self.number = next(_numbers)  # identifies the connection in the log of this process
        self.transport: asyncio.Transport | None = None
        self.opened_at = clock()
        self.proven = self.trusted = self.finishing = False
        self.wrote_at = 0
        self.read_at: int | None = None
        self.partial_since: int | None = None

    @property
    def open(self) -> bool:
        """Whether data written to the connection can still reach the viewer."""
        return self.transport is not None and not self.finishing and not self.transport.is_closing()

    def silent_for(self, now: int) -> int:
        """The time since a byte was read from the connection, or since it was accepted."""
        return now - (self.opened_at if self.read_at is None else self.read_at)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.handler.connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle the messages that end in newly read bytes."""
        if self.finishing:
            return
        self.read_at = clock()
        messages, error = self.reader.feed(data)
        for message in messages:
            if not self.open:
                return
            self.handler.message_received(self, message)
        now = clock()
        if error:
            self.handler.request_close(self, "unreadable")
        # Bytes left over after a complete message belong to a message that begins with this read
        is_new = bool(messages) or self.partial_since is None
        held = self.reader.partial_bytes
        self.partial_since = None if not held else now if is_new else self.partial_since
        self.handler.partial_changed(self, held, is_new)

    def connection_lost(self, exc: Exception | None) -> None:
        self.handler.connection_closed(self)

    def write(self, data: bytes) -> None:
        """Write unless the connection is closing. Disconnects a viewer that leaves too much unread."""
        if self.transport is None or not self.open:
            return
        self.wrote_at = clock()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            self.handler.count("does-not-read")
            self.transport.abort()

    def finish(self, linger: bool) -> None:
        """Stop writing and close the connection.

        With `linger` only the write side is closed at first, and the viewer has LINGER_TIMEOUT_US to read
        and to close: closing a socket with unread input resets the connection, which may discard data that
        was written but not yet read by the viewer."""
        if self.transport is None or self.finishing:
            return
        if linger and not self.transport.is_closing():
            self.finishing = True
            half_close(self.transport)
        else:
            self.transport.close()
        if self.finishing or self.transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(LINGER_TIMEOUT_US / SECOND, self.transport.abort)


@dataclass(slots=True)
class ConnectionTable:
    """All connections from viewers.

    `all` is in order of acceptance. Each connection is also in one pool, least recently used first:
    connections with standing sessions, other trusted ones, or the rest (strangers)."""

    all: dict[ViewerConnection, None] = field(default_factory=dict)
    _strangers: dict[ViewerConnection, None] = field(default_factory=dict)
    _trusted: dict[ViewerConnection, None] = field(default_factory=dict)
    _with_sessions: dict[ViewerConnection, None] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.all)

    def add(self, connection: ViewerConnection) -> None:
        self.all[connection] = None
        self.mark_used(connection, False)

    def remove(self, connection: ViewerConnection) -> None:
        for pool in (self.all, self._strangers, self._trusted, self._with_sessions):
            pool.pop(connection, None)

    def mark_used(self, connection: ViewerConnection, has_sessions: bool) -> None:
        """Make a connection the most recently used one of the pool that it belongs to now."""
        if connection not in self.all:
            return
        for pool in (self._strangers, self._trusted, self._with_sessions):
            pool.pop(connection, None)
        pool = self._trusted if connection.trusted else self._strangers
        (self._with_sessions if has_sessions else pool)[connection] = None

    def eviction_candidate(
        self, has_open_request: Callable[[ViewerConnection], bool]
    ) -> ViewerConnection | None:
        """Choose the connection to close for a new one; None if all have an open request.

        In order: idle strangers past their grace period, strangers past it that are in the middle of a
        message, idle proven strangers, any other strangers, idle trusted connections, idle connections with
        sessions, and finally any connection without an open request. A connection is idle if no message has
        been received in part and no request is open."""
        grace_start = clock() - NEW_CONNECTION_GRACE_US

        def is_idle(connection: ViewerConnection) -> bool:
            return connection.partial_since is None and not has_open_request(connection)

        # The cheap conditions come first: `has_open_request` may poll the socket
        return (
            _first(self._strangers, lambda c: c.opened_at <= grace_start and is_idle(c))
            or _first(self._strangers, lambda c: c.opened_at <= grace_start and not has_open_request(c))
            or _first(self._strangers, lambda c: c.proven and is_idle(c))
            or _first(self._strangers, lambda c: not has_open_request(c))
            or _first(self._trusted, is_idle)
            or _first(self._with_sessions, is_idle)
            or _first(self.all, lambda c: not has_open_request(c))
        )

    def release_candidates(self) -> list[ViewerConnection]:
        """Connections to send releases on, best first: trusted, then proven, then others past their grace
        period; in each class the one first that sent something last."""
        now = clock()
        grace_start = now - NEW_CONNECTION_GRACE_US
        usable = (connection for connection in self.all if connection.open)
        candidates = [c for c in usable if c.trusted or c.proven or c.opened_at <= grace_start]
        return sorted(candidates, key=lambda c: (not c.trusted, not c.proven, c.silent_for(now)))


def _first(
    connections: Iterable[ViewerConnection], matches: Callable[[ViewerConnection], bool]
) -> ViewerConnection | None:
    return next(filter(matches, connections), None)
