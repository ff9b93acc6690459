"""One connection to a server on the platform: bytes to lines, and what is out on it."""

import asyncio
import itertools
from dataclasses import dataclass
from typing import Protocol

from ponddoor.front.pump import SECOND, clock
from ponddoor.node import server_codec as codec
from ponddoor.node.lines import LineReader, UnreadableError

OF_USE_AFTER = SECOND  # a connection that ends sooner, and on which nothing was heard, has failed
RELEASE_SETTLED = SECOND  # a release on a connection that is open so long after has been read, if it is sound
RELEASE_KEPT = 8 * SECOND  # for a connection that turns out not to be
MOST_UNHEARD_RELEASES = 1000
MOST_GIVEN_UP = 1000
_numbers = itertools.count(1)


class ConnectionOwner(Protocol):
    """Who is told what happens on a connection."""

    def take(self, connection: "ServerConnection", line: bytes) -> None:
        """A line has come. Raises UnreadableError for one that is no message."""

    def unreadable(self, connection: "ServerConnection", why: str) -> None:
        """What came is no message."""

    def connection_failed(self, connection: "ServerConnection", why: str) -> None:
        """The connection is of no use any more."""


@dataclass(frozen=True, slots=True)
class SetupOut:
    """A SETUP without an answer."""

    attempt: int
    sent_at: int
    timeout: int


class ServerConnection(asyncio.Protocol):
    """`setups` are out on it, `given_up` those an answer may still cross, `released` when sessions were
    released on it that the server has not acknowledged."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner, self.lines = owner, LineReader(codec.MOST)
        self.number = next(_numbers)  # of this process, for the log
        self.transport: asyncio.Transport | None = None
        self.setups: dict[str, SetupOut] = {}
        self.given_up: dict[str, int] = {}
        self.released: dict[str, int] = {}
        self.partial_since: int | None = None
        self.opened_at = clock()
        self.established_at: int | None = None
        self.heard = False  # the server has said a message on it
        self.ended = False  # nothing that comes is read any more
        self.read_to_its_end = False  # the server has ended it, and so has read what was written before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.established_at = transport, clock()

    def data_received(self, data: bytes) -> None:
        now = clock()
        try:
            lines = self.lines.feed(data)
            if lines:  # what is left has begun only now
                self.partial_since = None
            for line in lines:
                if not self.ended:
                    self.owner.take(self, line)
        except UnreadableError as problem:
            self.owner.unreadable(self, str(problem))
        self.partial_since = (self.partial_since or now) if self.lines.partial else None

    def connection_lost(self, exc: Exception | None) -> None:
        self.read_to_its_end = exc is None and not self.ended
        self.owner.connection_failed(self, f"closed: {exc}")

    def write(self, data: bytes) -> None:
        """Write a line."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """End it; what was not sent yet is dropped."""
        self.ended = True
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """End our side: what was written leaves, and what the server has written still comes."""
        if self.transport is not None and self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()

    @property
    def unsent(self) -> int:
        """Bytes that have not left yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def was_of_use(self, now: int) -> bool:
        """Whether the server said something on it, and it lasted."""
        return self.heard and now - self.opened_at >= OF_USE_AFTER

    def ended_at_once(self, now: int) -> bool:
        """Whether it ends before it was of any use."""
        return not self.heard and now - self.opened_at < OF_USE_AFTER

    def age(self, now: int) -> int:
        """Since it came up (us); 0 before."""
        return 0 if self.established_at is None else now - self.established_at

    def give_up(self, sess: str) -> None:
        """A SETUP that is out is waited for no longer."""
        self.given_up[sess] = self.setups.pop(sess).attempt
        if len(self.given_up) > MOST_GIVEN_UP:
            del self.given_up[next(iter(self.given_up))]
        self.write(codec.give_up(sess))

    def release(self, now: int, sess: str) -> None:
        """A release is pending until it is acknowledged, or until the connection has outlived it."""
        while self.released:
            oldest = next(iter(self.released))
            full = len(self.released) >= MOST_UNHEARD_RELEASES
            if not full and now - self.released[oldest] < RELEASE_KEPT:
                break
            del self.released[oldest]
        self.released[sess] = now
        self.write(codec.release(sess))

    def unheard_releases(self, now: int, doubted_from: int | None) -> list[str]:
        """Releases that the server may not have read; where it is doubted, all from then on."""
        since = now - RELEASE_SETTLED if doubted_from is None else min(doubted_from, now - RELEASE_SETTLED)
        return [sess for sess, at in self.released.items() if at > since]
