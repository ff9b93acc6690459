"""One connection to a server on the platform: bytes to lines, and what is out on it."""

import asyncio
import itertools
from dataclasses import dataclass
from typing import Protocol

from ponddoor.front.pump import SECOND, clock
from ponddoor.node import server_codec as codec
from ponddoor.node.lines import LineReader, UnreadableError

USEFUL_AFTER_US = SECOND  # a connection that ends sooner, and on which nothing was heard, has failed
RELEASE_CONFIRMED_AFTER_US = (
    SECOND  # a release on a connection that is open so long after has been read, if it is sound
)
RELEASE_RETENTION_US = 8 * SECOND  # for a connection that turns out not to be
MAX_UNACKNOWLEDGED_RELEASES = 1000
MAX_ABANDONED_SETUPS = 1000
_numbers = itertools.count(1)


class ConnectionOwner(Protocol):
    """Who is told what happens on a connection."""

    def handle_line(self, connection: "ServerConnection", line: bytes) -> None:
        """A line has come. Raises UnreadableError for one that is no message."""

    def protocol_error(self, connection: "ServerConnection", why: str) -> None:
        """What came is no message."""

    def connection_failed(self, connection: "ServerConnection", why: str) -> None:
        """The connection is of no use any more."""


@dataclass(frozen=True, slots=True)
class PendingSetup:
    """A SETUP without an answer."""

    attempt: int
    sent_at: int
    timeout: int


class ServerConnection(asyncio.Protocol):
    """`setups` are out on it, `given_up` those an answer may still cross, `released` when sessions were
    released on it that the server has not acknowledged."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner, self.lines = owner, LineReader(codec.MAX_LINE_BYTES)
        self.number = next(_numbers)  # of this process, for the log
        self.transport: asyncio.Transport | None = None
        self.setups: dict[str, PendingSetup] = {}
        self.abandoned_setups: dict[str, int] = {}
        self.unacknowledged_releases: dict[str, int] = {}
        self.partial_since: int | None = None
        self.opened_at = clock()
        self.established_at: int | None = None
        self.received_message = False  # the server has said a message on it
        self.aborted = False  # nothing that comes is read any more
        self.closed_by_server = False  # the server has ended it, and so has read what was written before

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
                if not self.aborted:
                    self.owner.handle_line(self, line)
        except UnreadableError as problem:
            self.owner.protocol_error(self, str(problem))
        self.partial_since = (self.partial_since or now) if self.lines.partial else None

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed_by_server = exc is None and not self.aborted
        self.owner.connection_failed(self, f"closed: {exc}")

    def write(self, data: bytes) -> None:
        """Write a line."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """End it; what was not sent yet is dropped."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()

    def half_close(self) -> None:
        """End our side: what was written leaves, and what the server has written still comes."""
        if self.transport is not None and self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that have not left yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def was_useful(self, now: int) -> bool:
        """Whether the server said something on it, and it lasted."""
        return self.received_message and now - self.opened_at >= USEFUL_AFTER_US

    def failed_early(self, now: int) -> bool:
        """Whether it ends before it was of any use."""
        return not self.received_message and now - self.opened_at < USEFUL_AFTER_US

    def age(self, now: int) -> int:
        """Since it came up (us); 0 before."""
        return 0 if self.established_at is None else now - self.established_at

    def give_up(self, sess: str) -> None:
        """A SETUP that is out is waited for no longer."""
        self.abandoned_setups[sess] = self.setups.pop(sess).attempt
        if len(self.abandoned_setups) > MAX_ABANDONED_SETUPS:
            del self.abandoned_setups[next(iter(self.abandoned_setups))]
        self.write(codec.encode_give_up(sess))

    def release(self, now: int, sess: str) -> None:
        """A release is pending until it is acknowledged, or until the connection has outlived it."""
        while self.unacknowledged_releases:
            oldest = next(iter(self.unacknowledged_releases))
            full = len(self.unacknowledged_releases) >= MAX_UNACKNOWLEDGED_RELEASES
            if not full and now - self.unacknowledged_releases[oldest] < RELEASE_RETENTION_US:
                break
            del self.unacknowledged_releases[oldest]
        self.unacknowledged_releases[sess] = now
        self.write(codec.encode_release(sess))

    def unconfirmed_releases(self, now: int, doubted_from: int | None) -> list[str]:
        """Releases that the server may not have read; where it is doubted, all from then on."""
        since = (
            now - RELEASE_CONFIRMED_AFTER_US
            if doubted_from is None
            else min(doubted_from, now - RELEASE_CONFIRMED_AFTER_US)
        )
        return [sess for sess, at in self.unacknowledged_releases.items() if at > since]
