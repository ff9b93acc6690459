"""One connection of viewers, and which connections make room for others."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from ponddoor.front.pump import SECOND, clock
from ponddoor.node import viewer_codec as codec

PARTIAL_MESSAGE_LIMIT = 3 * SECOND // 2  # a message that has begun has so long to end
SILENT_LIMIT = 2 * SECOND  # a connection that has brought nothing of use so long after it opened is closed
NEW_FOR = SECOND // 4  # so long a new connection has to bring something before it makes room for others
WRITE_BUFFER_LIMIT = 1 << 18  # bytes that a viewer may leave unread
LINGER = SECOND  # a viewer may need so long to read what was written, before a close that would destroy it
log = structlog.get_logger("viewers")
_numbers = itertools.count(1)


class Handler(Protocol):
    """What a connection tells of itself."""

    def opened(self, connection: "ViewerConnection") -> None:
        """It has been accepted."""

    def take(self, connection: "ViewerConnection", message: codec.Message) -> None:
        """A whole message has come."""

    def request_close(self, connection: "ViewerConnection", why: str) -> None:
        """It is of no use any more."""

    def closed(self, connection: "ViewerConnection") -> None:
        """It is gone."""

    def count(self, what: str) -> None:
        """Count what happened."""


class ViewerConnection(asyncio.Protocol):
    """Reads messages off one connection and writes to it. `proven` once something of use came, `trusted` once
    a session came by it."""

    def __init__(self, handler: Handler) -> None:
        self.handler, self.reader = handler, codec.Reader()
        self.number = next(_numbers)  # of this process, for the log
        self.transport: asyncio.Transport | None = None
        self.opened_at = clock()
        self.proven = self.trusted = self.finishing = False
        self.wrote_at = 0
        self.partial_since: int | None = None

    @property
    def open(self) -> bool:
        """Whether what is written to it may still arrive."""
        return self.transport is not None and not self.finishing and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.handler.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.finishing:
            return
        messages, why = self.reader.feed(data)
        for message in messages:
            if not self.open:
                return
            self.handler.take(self, message)
        now = clock()
        if why:
            self.handler.request_close(self, "unreadable")
        if messages or not self.reader.partial:  # what is left has begun only now
            self.partial_since = None
        if self.reader.partial:
            self.partial_since = self.partial_since or now

    def connection_lost(self, exc: Exception | None) -> None:
        self.handler.closed(self)

    def write(self, data: bytes) -> None:
        """Write, unless it is closing. A viewer that leaves too much unread is cut."""
        if self.transport is None or not self.open:
            return
        self.wrote_at = clock()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT:
            self.handler.count("does-not-read")
            self.transport.abort()

    def finish(self, linger: bool) -> None:
        """Write no more. With `linger` the viewer has a second to read and to close: a connection closed with
        bytes unread is reset, which may destroy what was written to it."""
        if self.transport is None or self.finishing:
            return
        if linger and not self.transport.is_closing():
            self.finishing = True
            self.transport.write_eof()
        else:
            self.transport.close()
        if self.finishing or self.transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(LINGER / SECOND, self.transport.abort)


@dataclass(slots=True)
class ConnectionTable:
    """All connections of viewers in order of use, those with sessions apart from those without."""

    all: dict[ViewerConnection, None] = field(default_factory=dict)
    _strangers: dict[ViewerConnection, None] = field(default_factory=dict)
    _trusted: dict[ViewerConnection, None] = field(default_factory=dict)
    _with_sessions: dict[ViewerConnection, None] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.all)

    def add(self, connection: ViewerConnection) -> None:
        """A new connection."""
        self.all[connection] = None
        self.used(connection, False)

    def remove(self, connection: ViewerConnection) -> None:
        """A connection is gone or closing."""
        for pool in (self.all, self._strangers, self._trusted, self._with_sessions):
            pool.pop(connection, None)

    def used(self, connection: ViewerConnection, has_sessions: bool) -> None:
        """Put it behind all others of its pool."""
        if connection not in self.all:
            return
        for pool in (self._strangers, self._trusted, self._with_sessions):
            pool.pop(connection, None)
        pool = self._trusted if connection.trusted else self._strangers
        (self._with_sessions if has_sessions else pool)[connection] = None

    def eviction_candidate(self, has_open: Callable[[ViewerConnection], bool]) -> ViewerConnection | None:
        """Which connection makes room for a new one: of strangers the idle first, then those long about a
        message, then those that have had their test; then those that sessions came by, then any without an
        open set-up. None where all have one."""
        new_since = clock() - NEW_FOR

        def idle(one: ViewerConnection) -> bool:
            return one.partial_since is None and not has_open(one)

        # What is cheap to tell comes first: `has_open` may ask the socket
        return (
            _first(self._strangers, lambda one: one.opened_at <= new_since and idle(one))
            or _first(self._strangers, lambda one: one.opened_at <= new_since and not has_open(one))
            or _first(self._strangers, lambda one: one.proven and idle(one))
            or _first(self._trusted, idle)
            or _first(self._with_sessions, idle)
            or _first(self.all, lambda one: not has_open(one))
        )

    def release_candidates(self) -> list[ViewerConnection]:
        """Connections for what ends a session: those that sessions came by, then the proven, then the others
        that are not new; of each the one opened last first."""
        known_since = clock() - NEW_FOR
        usable = [one for one in reversed(self.all) if one.open]
        usable = [one for one in usable if one.trusted or one.proven or one.opened_at <= known_since]
        return sorted(usable, key=lambda one: (not one.trusted, not one.proven))


def _first(
    connections: Iterable[ViewerConnection], fits: Callable[[ViewerConnection], bool]
) -> ViewerConnection | None:
    return next(filter(fits, connections), None)
