"""One connection to a media server: splits received bytes into lines and keeps what is unanswered on it."""

import asyncio
import itertools
from dataclasses import dataclass
from typing import Protocol

from ponddoor.front.pump import SECOND, clock
from ponddoor.node import server_codec as codec
from ponddoor.node.lines import LineReader, UnreadableError
from ponddoor.obligations.server_releases import ServerReleases
from ponddoor.web.half_close import half_close

USEFUL_AFTER_US = SECOND  # a connection that ends sooner, without any message, counts as a failure
MAX_ABANDONED_SETUPS = 1000
MAX_SIGNS_REQUESTED = 16
_numbers = itertools.count(1)


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def handle_line(self, connection: "ServerConnection", line: bytes) -> None:
        """A line was received. Raises UnreadableError if it is not a valid message."""

    def protocol_error(self, connection: "ServerConnection", reason: str) -> None:
        """Invalid data was received."""

    def connection_failed(self, connection: "ServerConnection", reason: str) -> None:
        """The connection is closed or broken."""


@dataclass(frozen=True, slots=True)
class PendingSetup:
    """A SETUP without an answer. Times are in microseconds."""

    attempt: int
    sent_at: int
    timeout: int


class ServerConnection(asyncio.Protocol):
    """A connection to a media server.

    By session id, `setups` are the unanswered SETUPs and `abandoned_setups` the attempts that were given up
    but whose answer may already be on its way. `releases` are those that the server may not have read.
    `number` identifies the connection in the log."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner, self.lines = owner, LineReader(codec.MAX_LINE_BYTES)
        self.number = next(_numbers)
        self.transport: asyncio.Transport | None = None
        self.setups: dict[str, PendingSetup] = {}
        self.abandoned_setups: dict[str, int] = {}
        self.releases = ServerReleases()
        self.signs_requested: dict[str, int] = {}  # by the id of the request, when it was written
        self.usable_at_once = False  # as its server was heard just before it was opened
        self._first_sign: tuple[str, int] | None = None  # the id of the request, and when it was written
        self.partial_since: int | None = None  # when the line began that is not complete yet
        self.opened_at = clock()
        self.established_at: int | None = None
        self.received_message = False
        self.aborted = False  # received data is ignored from then on
        self.closed_by_server = False  # the server closed it, and so has read all that was written before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.established_at = transport, clock()

    def data_received(self, data: bytes) -> None:
        now = clock()
        try:
            lines = self.lines.feed(data)
            if lines:  # a partial line at the end has begun only now
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
        """Write an encoded line."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection and drop data that is not sent yet."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()

    def half_close(self) -> None:
        """Close the sending direction: written data is still sent, and the server's data still received."""
        if self.transport is not None and self.transport.can_write_eof() and not self.transport.is_closing():
            half_close(self.transport)

    @property
    def unsent_bytes(self) -> int:
        """The size of the write buffer's content."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def was_useful(self, now: int) -> bool:
        """Whether a message was received on it and it lasted at least USEFUL_AFTER_US."""
        return self.received_message and now - self.opened_at >= USEFUL_AFTER_US

    def failed_early(self, now: int) -> bool:
        """Whether no message was received on it and it lasted less than USEFUL_AFTER_US."""
        return not self.received_message and now - self.opened_at < USEFUL_AFTER_US

    def age(self, now: int) -> int:
        """The time since it was established, in microseconds; 0 before."""
        return 0 if self.established_at is None else now - self.established_at

    def give_up(self, sess: str) -> None:
        """Tell the server that an unanswered SETUP is no longer waited for."""
        self.abandoned_setups[sess] = self.setups.pop(sess).attempt
        if len(self.abandoned_setups) > MAX_ABANDONED_SETUPS:
            del self.abandoned_setups[next(iter(self.abandoned_setups))]
        self.write(codec.encode_give_up(sess))

    def release(self, now: int, sess: str, due_since: int) -> str | None:
        """Send a release. Returns a session whose unproven release is forgotten for it."""
        self.write(codec.encode_release(sess))
        return self.releases.sent(now, sess, due_since)

    def request_sign_of_life(self, now: int, request_id: str) -> None:
        """Send a probe that any live server answers, without a load report."""
        if len(self.signs_requested) >= MAX_SIGNS_REQUESTED:
            del self.signs_requested[next(iter(self.signs_requested))]
        self.signs_requested[request_id] = now
        self._first_sign = self._first_sign or (request_id, now)
        self.write(codec.encode_probe(request_id, False))

    @property
    def first_sign_requested_at(self) -> int | None:
        """When a sign of life was requested on it for the first time; None if never."""
        return None if self._first_sign is None else self._first_sign[1]

    def is_first_sign(self, request_id: str) -> bool:
        """Whether a request was the first one for a sign of life on it."""
        return self._first_sign is not None and self._first_sign[0] == request_id

    def sign_received(self, request_id: str) -> None:
        """A sign of life may have been received."""
        requested_at = self.signs_requested.pop(request_id, None)
        if requested_at is not None:
            self.releases.read_through(requested_at)
