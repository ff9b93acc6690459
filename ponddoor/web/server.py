"""An HTTP/1.1 server (RFC 9110, RFC 9112) that bounds every wait, message size and connection count.

A handler is a coroutine function from a Request to a Reply; an HttpError that it raises becomes the response.
While it runs, the connection is watched: if the client disconnects, `Request.disconnected` is set and
`Request.on_disconnect` is called."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

from ponddoor.web.half_close import half_close
from ponddoor.web.timing import read_within
from ponddoor.web.unread import has_unread

_READ_BYTES = 65_536
BodyT = TypeVar("BodyT")
_CONNECTION_LIMIT_BODY = b'{"error":"too-many-connections","detail":"no room for this connection"}'


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one server.

    The head of a request must arrive within `request_timeout_s` of its first byte, its body within the same
    time after the head. A connection without a request is closed after `idle_timeout_s`, one whose client
    does not read what is sent after `write_timeout_s`."""

    max_connections: int = 10_000
    max_connections_per_address: int = 10_000
    max_header_bytes: int = 16_000
    max_body_bytes: int = 16_000
    request_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 5.0


class HttpError(Exception):
    """An error response: status, an error code for programs, a description for people."""

    def __init__(
        self, status: int, code: str, detail: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        super().__init__(detail)
        self.status, self.code, self.detail, self.headers = status, code, detail, headers

    def reply(self) -> "Reply":
        return Reply(self.status, {"error": self.code, "detail": self.detail}, self.headers)


@dataclass(slots=True)
class Request:
    """One request. Header names are in lower case; `path` holds the decoded segments."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client_address: str
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    on_disconnect: Callable[[], None] | None = None


@dataclass(slots=True)
class Reply:
    """One response: a body of bytes that is sent as it is, any other body as JSON, or a stream of lines."""

    status: int
    body: object = None
    headers: tuple[tuple[str, str], ...] = ()
    lines: AsyncIterator[bytes] | None = None
    close_unanswered: bool = False  # close without a response: the client has left, or a simulated failure
    truncate_at_bytes: int = 0  # if not 0, send only so many bytes, then close (a simulated failure)


Handler = Callable[[Request], Awaitable[Reply]]


class _ClosedError(Exception):
    """The client has disconnected, or reads so slowly that it is treated as disconnected."""


ACCEPT_LOOP_TURNS = 8  # event-loop turns from a connection in the accept queue to its first bytes handled
SHUTDOWN_CHECK_INTERVAL_S = 0.001
LINGER_TIMEOUT_S = 1.0  # for a client to read its last response, which an immediate close could destroy
MAX_LINGERING_CONNECTIONS = 64  # at the same time; further ones are closed at once


class Server:
    """Serves one address. If `closing` is set, every response is the last one of its connection."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self._handler, self.limits = handler, limits
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _Connection] = {}
        self._lingering_count = 0
        self._count_by_address: dict[str, int] = {}
        self.closing = False
        self.requests_in_progress = 0  # received in full and not answered yet
        self.rejected_connections = 0
        self.malformed_requests = 0

    async def start(self, host: str, port: int) -> int:
        """Listen; returns the port. Raises OSError if the address can't be bound."""
        self._server = await asyncio.start_server(self._accept, host, port, backlog=4096)
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def shut_down(self, timeout_s: float) -> None:
        """Stop listening, answer the requests that have arrived, and close connections once they are idle.

        Returns when no connection is left but streams of lines, which have no end and are left to `close`, or
        after `timeout_s`. Closing the listening socket would reset connections in its accept queue, so they
        are accepted first."""
        self.closing = True
        for _ in range(ACCEPT_LOOP_TURNS):
            await asyncio.sleep(0)
        self.stop_listening()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            remaining = [c for c in self._connections.values() if not c.write_closed and not c.streaming]
            if not remaining:
                return
            idle = [connection for connection in remaining if connection.is_idle]
            # Bytes that were read in this turn of the loop have begun a request when the sleep ends.
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            for connection in idle:
                if connection.is_idle:
                    connection.close_write()

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        self.stop_listening()
        while self._connections:
            self.abort_connections()
            await asyncio.wait(set(self._connections), timeout=0.2)

    def abort_connections(self) -> None:
        """Abort every connection, in the middle of a response too; go on listening."""
        for task in list(self._connections):
            task.cancel()

    @property
    def open_connections(self) -> int:
        return len(self._connections)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = str(writer.get_extra_info("peername", ("?",))[0])
        task = asyncio.current_task()
        address_count = self._count_by_address.get(address, 0)
        if task is None:
            return
        if (
            len(self._connections) >= self.limits.max_connections
            or address_count >= self.limits.max_connections_per_address
        ):
            # Bounds the number of connections: a new one gets a 503, those that are open stay served.
            self.rejected_connections += 1
            with contextlib.suppress(OSError):
                writer.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
                    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(_CONNECTION_LIMIT_BODY), _CONNECTION_LIMIT_BODY)
                )
                writer.close()
            return
        connection = self._connections[task] = _Connection(self, self._handler, reader, writer, address)
        self._count_by_address[address] = address_count + 1
        try:
            if await connection.run() and self._lingering_count < MAX_LINGERING_CONNECTIONS:
                await self._linger(connection)
        except (_ClosedError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            del self._connections[task]
            self._count_by_address[address] -= 1
            if not self._count_by_address[address]:
                del self._count_by_address[address]

    async def _linger(self, connection: "_Connection") -> None:
        """Close in stages (RFC 9112, section 9.6): closing with unread bytes resets the connection, which may
        destroy the last response before the client has read it."""
        self._lingering_count += 1
        try:
            connection.close_write()
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while await connection.reader.read(_READ_BYTES):
                    pass
        except TimeoutError:
            pass
        finally:
            self._lingering_count -= 1


class _Connection:
    """One connection, whose requests are answered one after the other."""

    def __init__(
        self,
        server: Server,
        handler: Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client_address: str,
    ) -> None:
        self.server, self.handler, self.limits = server, handler, server.limits
        self.reader, self.writer, self.client_address = reader, writer, client_address
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes)
        self.write_closed = False
        self.streaming = False  # a stream of lines is being sent
        self._request_begun = False  # a request has begun and is not answered yet

    @property
    def is_idle(self) -> bool:
        """Whether it is between two requests and nothing is unread."""
        return not self._request_begun and not has_unread(self.writer.transport)

    def close_write(self) -> None:
        """Send the end of the stream; the client can still read what was sent, and close."""
        self.write_closed = True
        if not self.writer.transport.is_closing():
            half_close(self.writer.transport)

    async def run(self) -> bool:
        """Serve until the connection ends. Returns whether the last response may still be unread."""
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                self.server.malformed_requests += 1
                status = error.error_status_hint if 400 <= error.error_status_hint < 500 else 400
                await self._send_error(HttpError(status, "malformed-request", str(error)))
                return True
            except HttpError as error:
                self.server.malformed_requests += 1
                await self._send_error(error)
                return True
            if request is None:
                return False
            self.server.requests_in_progress += 1
            try:
                reply = await self._handle(request)
                if reply.close_unanswered:
                    return False
                await self._write_reply(request, reply)
            finally:
                self.server.requests_in_progress -= 1
            if (
                self.h11.our_state is not h11.DONE
                or self.h11.their_state is not h11.DONE
                or self.server.closing
            ):
                return not reply.truncate_at_bytes
            self.h11.start_next_cycle()
            self._request_begun = False

    async def _send_error(self, error: HttpError) -> None:
        """Answer a request that could not be read; the connection closes after this response."""
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write_reply(None, error.reply())

    async def _read_request(self) -> Request | None:
        """The next request in full; None if the connection ended or timed out between two requests.

        Raises HttpError, and h11.RemoteProtocolError, if the request is malformed, too large or too slow."""
        head: h11.Request | None = None
        body = bytearray()
        loop, begun = asyncio.get_running_loop(), False
        deadline = loop.time() + self.limits.idle_timeout_s
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                if not begun and self.h11.trailing_data[0]:
                    begun, deadline = self._begin_request(), loop.time() + self.limits.request_timeout_s
                if self.h11.they_are_waiting_for_100_continue:
                    await self._send(h11.InformationalResponse(status_code=100, headers=[]))
                data = await self._read(deadline)
                if data is None:
                    if not begun and head is None:
                        return None  # idle timeout between two requests: the client expects no response
                    raise HttpError(408, "too-slow", "the request did not come in time")
                if data == b"" and head is None and not begun:
                    return None
                if not begun and data:
                    begun, deadline = self._begin_request(), loop.time() + self.limits.request_timeout_s
                self.h11.receive_data(data)
            elif isinstance(event, h11.Request):
                head, begun, deadline = (
                    event,
                    self._begin_request(),
                    loop.time() + self.limits.request_timeout_s,
                )
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise HttpError(413, "body-too-large", f"more than {self.limits.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return self._parse_request(head, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return None
            else:  # h11.PAUSED: the previous request is unanswered; impossible, as they are answered in turn
                raise _ClosedError

    def _begin_request(self) -> bool:
        self._request_begun = True
        return True

    def _parse_request(self, head: h11.Request, body: bytes) -> Request:
        """Raises HttpError 400 if the request target is malformed."""
        try:
            target = urlsplit(head.target.decode("ascii"))
            path = tuple(unquote(part, errors="strict") for part in target.path.strip("/").split("/"))
            query = dict(parse_qsl(target.query, keep_blank_values=True, max_num_fields=50))
        except (ValueError, UnicodeDecodeError) as error:
            raise HttpError(400, "malformed-target", str(error)) from None
        headers: dict[str, str] = {}
        for (
            raw_name,
            raw_value,
        ) in head.headers:  # field lines of one name are combined (RFC 9110, section 5.3)
            name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        return Request(head.method.decode("ascii"), path, query, headers, body, self.client_address)

    async def _read(self, deadline: float) -> bytes | None:
        """The next bytes; empty at the end of the stream, None at the deadline."""
        remaining_s = deadline - asyncio.get_running_loop().time()
        try:
            return await read_within(max(remaining_s, 0.001), self.reader, _READ_BYTES)
        except TimeoutError:
            return None

    async def _handle(self, request: Request) -> Reply:
        """The handler's reply; the connection is watched while the handler runs."""
        watch = asyncio.create_task(self._watch_for_disconnect(request))
        try:
            return await self.handler(request)
        except HttpError as error:
            return error.reply()
        finally:
            watch.cancel()
            # Not awaited directly: a cancellation of this task must not be taken for that of the watch.
            await asyncio.wait((watch,))

    async def _watch_for_disconnect(self, request: Request) -> None:
        """Read ahead while a request is handled, up to a bound, to notice when the client disconnects."""
        read_ahead_bytes = 0
        while read_ahead_bytes < _READ_BYTES:
            data = b""
            with contextlib.suppress(OSError):
                data = await self.reader.read(4096)
            if not data:
                request.disconnected.set()
                if request.on_disconnect is not None:
                    request.on_disconnect()
                return
            read_ahead_bytes += len(data)
            self.h11.receive_data(data)

    async def _send(self, event: h11.Event) -> None:
        data = self.h11.send(event)
        if data:
            self.writer.write(data)
        try:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await self.writer.drain()
        except TimeoutError:  # responses would pile up in memory for a client that reads too slowly
            raise _ClosedError from None

    async def _write_reply(self, request: Request | None, reply: Reply) -> None:
        """Send a response; without a request, or if the server is closing, the last one of the connection."""
        body = (
            b""
            if reply.body is None
            else (reply.body if isinstance(reply.body, bytes) else msgspec.json.encode(reply.body))
        )
        headers = [(name, value) for name, value in reply.headers]
        if reply.lines is not None:
            headers += [("Content-Type", "application/x-ndjson"), ("Transfer-Encoding", "chunked")]
        else:
            if not any(name.lower() == "content-type" for name, _ in headers):
                headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        if self.server.closing or request is None:
            headers.append(("Connection", "close"))
        try:
            reason = HTTPStatus(reply.status).phrase
        except ValueError:
            reason = ""
        head = h11.Response(status_code=reply.status, headers=headers, reason=reason)
        if reply.truncate_at_bytes:
            self.writer.write(((self.h11.send(head) or b"") + body)[: reply.truncate_at_bytes])
            return
        data = self.h11.send(head) or b""
        if reply.lines is not None:
            self.writer.write(data)
            self.streaming = True
            await self._write_lines(reply.lines)
            self.streaming = False
            return
        if body and (request is None or request.method != "HEAD"):
            data += self.h11.send(h11.Data(data=body)) or b""
        self.writer.write(data)
        await self._send(h11.EndOfMessage())

    async def _write_lines(self, lines: AsyncIterator[bytes]) -> None:
        """Send a stream of lines. Bytes that the client sends meanwhile are discarded.

        Raises _ClosedError once the client closes the connection."""
        closed = asyncio.create_task(self._read_until_closed())
        next_line = asyncio.create_task(_next_line(lines))
        try:
            while True:
                await asyncio.wait({closed, next_line}, return_when=asyncio.FIRST_COMPLETED)
                if closed.done():
                    raise _ClosedError
                line = next_line.result()
                if line is None:
                    break
                await self._send(h11.Data(data=line))
                next_line = asyncio.create_task(_next_line(lines))
            await self._send(h11.EndOfMessage())
        finally:
            for task in (closed, next_line):
                task.cancel()
            await asyncio.gather(closed, next_line, return_exceptions=True)
            close = getattr(lines, "aclose", None)
            if close is not None:
                await close()

    async def _read_until_closed(self) -> None:
        with contextlib.suppress(OSError):
            while await self.reader.read(4096):
                pass


async def _next_line(lines: AsyncIterator[bytes]) -> bytes | None:
    """The next line; None at the end."""
    return await anext(lines, None)


def decode_json_body(body: bytes, body_type: type[BodyT]) -> BodyT:
    """A JSON body as an instance of `body_type`. Raises HttpError 400 whose detail names the field."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.MsgspecError as error:
        raise HttpError(400, "malformed-body", str(error)) from None
