"""An HTTP/1.1 client with a bounded pool of connections, each of which carries one exchange at a time."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import TypeVar

import h11
import msgspec

from ponddoor.web.unread import has_unread

_READ_BYTES = 65_536
MAX_RETRY_AFTER_S = 60.0  # a longer Retry-After is cut to this

DecodedT = TypeVar("DecodedT")


class NotSentError(Exception):
    """Nothing was sent, as no connection was available.

    `pool_full` if the pool was at its limit, `connection_refused` if the address refused the connection."""

    def __init__(self, reason: str, pool_full: bool = False, connection_refused: bool = False) -> None:
        super().__init__(reason)
        self.pool_full, self.connection_refused = pool_full, connection_refused


class BrokenError(Exception):
    """The connection was lost or the response is invalid; the request may have been processed."""


class UnexpectedStatusError(BrokenError):
    """The response has a status other than 200, so it is not the requested stream or document.

    `retry_after_s` is a stream's Retry-After, MAX_RETRY_AFTER_S at most; 0 if it gives no seconds."""

    def __init__(self, status: int, retry_after_s: float, headers: dict[str, str] | None = None) -> None:
        super().__init__(f"status {status}")
        self.status, self.retry_after_s, self.headers = status, retry_after_s, headers or {}


def decode_json(data: bytes, expected: type[DecodedT]) -> DecodedT:
    """Decode received JSON. Raises BrokenError if it is not valid JSON of this type."""
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BrokenError(f"unusable JSON: {str(error)[:100]}") from None


class OversizeError(BrokenError):
    """A line or a response exceeds its size limit; what was received of it is discarded."""


class LateError(Exception):
    """The response was not complete within the time-out."""


@dataclass(slots=True)
class Response:
    """A complete response. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        """The body as a JSON object. Raises BrokenError if it is not one."""
        return decode_json(self.body, dict[str, object])


@dataclass(slots=True, eq=False)
class _ClientConnection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection
    idle_since: float = 0.0  # in seconds of the event loop's clock

    def close(self) -> None:
        self.writer.transport.abort()

    @property
    def is_unusable(self) -> bool:
        """Whether the server has closed, or has sent anything without a request, read or unread.

        Found without a write, so that no request is lost on a closed connection."""
        return self.reader.at_eof() or self.writer.is_closing() or has_unread(self.writer.transport)

    async def send(
        self,
        method: str,
        path: str,
        host: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        content_type: str = "application/json",
    ) -> None:
        """Send a request; `content_type` is that of its body, if there is one."""
        fields = [("Host", host), *headers]
        if body:
            fields += [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        data = self.http.send(h11.Request(method=method, target=path, headers=fields)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        await self.writer.drain()

    async def read_event(self) -> h11.Event:
        """The next event of the response; informational (1xx) responses are skipped."""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(_READ_BYTES))
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Event):
                return event
            else:
                raise BrokenError("data after the end of the response")

    async def read_head(self) -> h11.Response:
        event = await self.read_event()
        if not isinstance(event, h11.Response):
            raise BrokenError("connection closed before a response")
        return event


@dataclass(slots=True)
class Pool:
    """Connections to one address, `max_connections` at most. The one that was idle for the shortest is used
    first; one that was idle for `idle_timeout_s` is closed instead of used."""

    host: str
    port: int
    max_connections: int = 64
    connect_timeout_s: float = 0.25
    idle_timeout_s: float = 30.0
    max_body_bytes: int = 1_000_000
    unsolicited_responses: int = 0  # responses received without a request
    _idle: deque[_ClientConnection] = field(default_factory=deque)
    _in_use: set[_ClientConnection] = field(default_factory=set)
    _connecting_count: int = 0

    @property
    def open_connections(self) -> int:
        """Connections that are idle, in use or being opened."""
        return len(self._idle) + len(self._in_use) + self._connecting_count

    def close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close all connections; requests in progress raise BrokenError."""
        self.close_idle()
        for connection in list(self._in_use):
            connection.close()

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = 5.0,
        headers: tuple[tuple[str, str], ...] = (),
        content_type: str = "application/json",
    ) -> Response:
        """The response to one request, whatever its status, within `timeout` seconds.

        A body of bytes is sent as it is, any other as JSON. Raises NotSentError, BrokenError, or LateError;
        after the last two the connection is closed."""
        try:
            async with asyncio.timeout(timeout):
                connection = await self._acquire()
                reusable = False
                try:
                    response = await self._exchange(connection, method, path, body, headers, content_type)
                    reusable = (
                        connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE
                    )
                    return response
                except (OSError, h11.RemoteProtocolError) as error:
                    raise BrokenError(str(error) or type(error).__name__) from None
                finally:
                    self._release(connection, reusable)
        except TimeoutError:
            raise LateError(f"no complete response within {timeout:g} s") from None

    async def _exchange(
        self,
        connection: _ClientConnection,
        method: str,
        path: str,
        body: object,
        headers: tuple[tuple[str, str], ...],
        content_type: str,
    ) -> Response:
        data = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
        await connection.send(method, path, f"{self.host}:{self.port}", data, headers, content_type)
        head, response_body = await connection.read_head(), bytearray()
        while not isinstance(event := await connection.read_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise BrokenError("connection closed in the middle of a response")
            response_body += event.data
            if len(response_body) > self.max_body_bytes:
                raise OversizeError(f"response body exceeds {self.max_body_bytes} bytes")
        return Response(head.status_code, _headers(head), bytes(response_body))

    async def stream_lines(
        self, path: str, silence_timeout_s: float, max_line_bytes: int = 1_000_000
    ) -> AsyncGenerator[bytes, None]:
        """The lines of an endless response to GET, on a connection of its own.

        Ends only by an exception: NotSentError; UnexpectedStatusError, OversizeError or another BrokenError;
        or LateError after `silence_timeout_s` without a whole line."""
        connection = await self._connect()
        try:
            async with asyncio.timeout(silence_timeout_s):
                await connection.send("GET", path, f"{self.host}:{self.port}", b"", ())
                head = await connection.read_head()
            if head.status_code != 200:
                headers = _headers(head)
                retry_after = headers.get("retry-after", "")
                retry_after_s = min(int(retry_after), MAX_RETRY_AFTER_S) if retry_after.isdigit() else 0.0
                raise UnexpectedStatusError(head.status_code, retry_after_s, headers)
            partial_line, loop = b"", asyncio.get_running_loop()
            deadline = loop.time() + silence_timeout_s
            while True:
                async with asyncio.timeout_at(deadline):
                    event = await connection.read_event()
                if not isinstance(event, h11.Data):
                    raise BrokenError("the stream ended")
                partial_line += bytes(event.data)
                *lines, partial_line = partial_line.split(b"\n")
                if len(partial_line) > max_line_bytes:
                    raise OversizeError(f"line exceeds {max_line_bytes} bytes")
                for line in lines:
                    yield line
                if lines:  # bytes of a line that is not complete don't count as a sign of life
                    deadline = loop.time() + silence_timeout_s
        except TimeoutError:
            raise LateError(f"no whole line within {silence_timeout_s:g} s") from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise BrokenError(str(error) or type(error).__name__) from None
        finally:
            self._in_use.discard(connection)
            connection.close()

    async def _acquire(self) -> _ClientConnection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_unusable and now - connection.idle_since < self.idle_timeout_s:
                self._in_use.add(connection)
                return connection
            connection.close()
        return await self._connect()

    async def _connect(self) -> _ClientConnection:
        if self.open_connections >= self.max_connections:
            raise NotSentError(
                f"pool is full: {self.max_connections} connections to {self.host}:{self.port} are open",
                pool_full=True,
            )
        self._connecting_count += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except TimeoutError:
            raise NotSentError(f"not connected within {self.connect_timeout_s:g} s") from None
        except OSError as error:
            raise NotSentError(
                str(error), connection_refused=isinstance(error, ConnectionRefusedError)
            ) from None
        finally:
            self._connecting_count -= 1
        connection = _ClientConnection(reader, writer, h11.Connection(h11.CLIENT))
        self._in_use.add(connection)
        return connection

    def _release(self, connection: _ClientConnection, reusable: bool) -> None:
        self._in_use.discard(connection)
        if reusable and connection.http.trailing_data[0]:
            # The server answered twice: the second response would be taken for that to the next request.
            self.unsolicited_responses += 1
            reusable = False
        if reusable and not connection.is_unusable:
            connection.http.start_next_cycle()
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()


def _headers(head: h11.Response) -> dict[str, str]:
    """The headers of a response; none if a name is not ASCII."""
    with contextlib.suppress(UnicodeDecodeError):
        return {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
    return {}
