"""An HTTP/1.1 server (RFC 9110, RFC 9112) whose every wait, size and count has a bound.

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

from ponddoor.web.timing import read_within
from ponddoor.web.unread import has_unread

_READ = 65_536
BodyT = TypeVar("BodyT")
_NO_ROOM = b'{"error":"too-many-connections","detail":"no room for this connection"}'


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one server takes. Times in seconds, sizes in bytes."""

    max_connections: int = 10_000
    max_connections_per_address: int = 10_000
    max_header_bytes: int = 16_000
    max_body_bytes: int = 16_000
    request_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 5.0


class HttpError(Exception):
    """An answer that is an error: status, a word for programs, a sentence for people."""

    def __init__(
        self, status: int, code: str, detail: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        super().__init__(detail)
        self.status, self.code, self.detail, self.headers = status, code, detail, headers

    def reply(self) -> "Reply":
        return Reply(self.status, {"error": self.code, "detail": self.detail}, self.headers)


@dataclass(slots=True)
class Request:
    """One request; names of headers are in lower case."""

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
    """One answer: a body that is written as JSON, bytes as they are, or lines while they come."""

    status: int
    body: object = None
    headers: tuple[tuple[str, str], ...] = ()
    lines: AsyncIterator[bytes] | None = None
    close_unanswered: bool = False  # close the connection without a word (stand-ins that fail on purpose)
    truncate_at_bytes: int = 0  # write so many bytes of the answer, then close (likewise)


Handler = Callable[[Request], Awaitable[Reply]]


class _ClosedError(Exception):
    """The client is gone, or so slow that it counts as gone."""


ACCEPT_TURNS = 8  # of the loop, from a connection that waits to be accepted to its first bytes handled
END_CHECK_S = 0.001  # between two looks at the connections at the end
LINGER_S = 1.0  # a client may need so long to read its last answer, before a close that would destroy it
LINGERING_LIMIT = 64  # connections that linger at once; past that they end at once


class Server:
    """Serves one address. `closing` makes every answer the last of its connection."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self._handler, self.limits = handler, limits
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _Connection] = {}
        self._lingering = 0
        self._by_address: dict[str, int] = {}
        self.closing = False
        self.requests_in_progress = 0  # requests that have come whole and are not answered yet
        self.rejected_connections = 0
        self.malformed_requests = 0

    async def start(self, host: str, port: int) -> int:
        """Listen; returns the port. Raises OSError where the address can't be had."""
        self._server = await asyncio.start_server(self._accept, host, port, backlog=4096)
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def shut_down(self, seconds: float) -> None:
        """Answer what has come by now, each answer the last of its connection, and listen no more.

        Connections end once they are between two requests with nothing unread; streams of lines, which have
        no end of their own, are left to `close`. It takes `seconds` at most.
        A connection that waits to be accepted would be reset by the close."""
        self.closing = True
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self.stop_listening()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            left = [one for one in self._connections.values() if not one.ended and not one.streaming]
            if not left:
                return
            idle = [one for one in left if one.is_idle]
            await asyncio.sleep(END_CHECK_S)  # what was read in that turn has begun a request by now
            for connection in idle:
                if connection.is_idle:
                    connection.end()

    async def close(self) -> None:
        """Stop listening and end every connection at once."""
        self.stop_listening()
        while self._connections:
            self.abort_connections()
            await asyncio.wait(set(self._connections), timeout=0.2)

    def abort_connections(self) -> None:
        """Cut every connection where it is; go on listening."""
        for task in list(self._connections):
            task.cancel()

    @property
    def open_connections(self) -> int:
        return len(self._connections)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = str(writer.get_extra_info("peername", ("?",))[0])
        task = asyncio.current_task()
        held = self._by_address.get(peer, 0)
        if task is None:
            return
        if (
            len(self._connections) >= self.limits.max_connections
            or held >= self.limits.max_connections_per_address
        ):
            # Guards against connections without end: the newcomer is told so, whoever is here stays served.
            self.rejected_connections += 1
            with contextlib.suppress(OSError):
                writer.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
                    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(_NO_ROOM), _NO_ROOM)
                )
                writer.close()
            return
        connection = self._connections[task] = _Connection(self, self._handler, reader, writer, peer)
        self._by_address[peer] = held + 1
        try:
            if await connection.run() and self._lingering < LINGERING_LIMIT:
                await self._linger(connection)
        except (_ClosedError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            del self._connections[task]
            self._by_address[peer] -= 1
            if not self._by_address[peer]:
                del self._by_address[peer]

    async def _linger(self, connection: "_Connection") -> None:
        """A close in stages (RFC 9112, section 9.6): with bytes unread it would reset the connection, which
        may destroy the last answer."""
        self._lingering += 1
        try:
            connection.end()
            async with asyncio.timeout(LINGER_S):
                while await connection.reader.read(_READ):
                    pass
        except TimeoutError:
            pass
        finally:
            self._lingering -= 1


class _Connection:
    """One connection, a request after the other."""

    def __init__(
        self,
        server: Server,
        handler: Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> None:
        self.server, self.handler, self.limits = server, handler, server.limits
        self.reader, self.writer, self.peer = reader, writer, peer
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes)
        self.ended = False  # nothing more is written
        self.streaming = False  # the answer is a stream of lines
        self._begun = False  # a request has begun and is not answered

    @property
    def is_idle(self) -> bool:
        """Whether it is between two requests with nothing unread."""
        return not self._begun and not has_unread(self.writer.transport)

    def end(self) -> None:
        """Write no more; the client may still read, and close."""
        self.ended = True
        if not self.writer.transport.is_closing():
            self.writer.write_eof()

    async def run(self) -> bool:
        """Serve until its end; whether the client may not have read the last answer yet."""
        while True:
            try:
                request = await self._request()
            except h11.RemoteProtocolError as problem:
                self.server.malformed_requests += 1
                status = problem.error_status_hint if 400 <= problem.error_status_hint < 500 else 400
                await self._refuse(HttpError(status, "malformed-request", str(problem)))
                return True
            except HttpError as problem:
                self.server.malformed_requests += 1
                await self._refuse(problem)
                return True
            if request is None:
                return False
            self.server.requests_in_progress += 1
            try:
                reply = await self._handled(request)
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
            self._begun = False

    async def _refuse(self, problem: HttpError) -> None:
        """A last answer to what could not be read; the connection closes behind it."""
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write_reply(None, problem.reply())

    async def _request(self) -> Request | None:
        """The next request, whole; None where the client closed between two."""
        head: h11.Request | None = None
        body = bytearray()
        loop, begun = asyncio.get_running_loop(), False
        limit = loop.time() + self.limits.idle_timeout_s
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                if not begun and self.h11.trailing_data[0]:
                    begun, limit = self._begin(), loop.time() + self.limits.request_timeout_s
                if self.h11.they_are_waiting_for_100_continue:
                    await self._send(h11.InformationalResponse(status_code=100, headers=[]))
                data = await self._read(limit)
                if data is None:
                    if not begun and head is None:
                        return None  # idle for too long: closed between two requests, nobody waits
                    raise HttpError(408, "too-slow", "the request did not come in time")
                if data == b"" and head is None and not begun:
                    return None
                if not begun and data:
                    begun, limit = self._begin(), loop.time() + self.limits.request_timeout_s
                self.h11.receive_data(data)
            elif isinstance(event, h11.Request):
                head, begun, limit = event, self._begin(), loop.time() + self.limits.request_timeout_s
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise HttpError(413, "body-too-large", f"more than {self.limits.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return self._made(head, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return None
            else:  # h11.PAUSED: a request in front of this one is not answered; can't be, we answer in turn
                raise _ClosedError

    def _begin(self) -> bool:
        self._begun = True
        return True

    def _made(self, head: h11.Request, body: bytes) -> Request:
        try:
            target = urlsplit(head.target.decode("ascii"))
            path = tuple(unquote(part, errors="strict") for part in target.path.strip("/").split("/"))
            query = dict(parse_qsl(target.query, keep_blank_values=True, max_num_fields=50))
        except (ValueError, UnicodeDecodeError) as problem:
            raise HttpError(400, "malformed-target", str(problem)) from None
        headers: dict[str, str] = {}
        for raw, value in head.headers:  # a field in several lines is one (RFC 9110, section 5.3)
            name, text = raw.decode("ascii"), value.decode("latin-1")
            headers[name] = f"{headers[name]}, {text}" if name in headers else text
        return Request(head.method.decode("ascii"), path, query, headers, body, self.peer)

    async def _read(self, limit: float) -> bytes | None:
        """What comes next; empty at the end of the stream, None at the limit."""
        left = limit - asyncio.get_running_loop().time()
        try:
            return await read_within(max(left, 0.001), self.reader, _READ)
        except TimeoutError:
            return None

    async def _handled(self, request: Request) -> Reply:
        """The handler's answer, with an eye on the connection meanwhile."""
        watch = asyncio.create_task(self._watch(request))
        try:
            return await self.handler(request)
        except HttpError as problem:
            return problem.reply()
        finally:
            watch.cancel()
            await asyncio.wait((watch,))  # not awaited itself: a cancel of ours must not pass for its own

    async def _watch(self, request: Request) -> None:
        """Reads ahead while a request is in hand, a little at most, to see the client go."""
        ahead = 0
        while ahead < _READ:
            data = b""
            with contextlib.suppress(OSError):
                data = await self.reader.read(4096)
            if not data:
                request.disconnected.set()
                if request.on_disconnect is not None:
                    request.on_disconnect()
                return
            ahead += len(data)
            self.h11.receive_data(data)

    async def _send(self, event: h11.Event) -> None:
        data = self.h11.send(event)
        if data:
            self.writer.write(data)
        try:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await self.writer.drain()
        except TimeoutError:  # guards against readers so slow that answers would pile up
            raise _ClosedError from None

    async def _write_reply(self, request: Request | None, reply: Reply) -> None:
        text = (
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
            headers.append(("Content-Length", str(len(text))))
        if self.server.closing or request is None:
            headers.append(("Connection", "close"))
        try:
            reason = HTTPStatus(reply.status).phrase
        except ValueError:
            reason = ""
        head = h11.Response(status_code=reply.status, headers=headers, reason=reason)
        if reply.truncate_at_bytes:
            self.writer.write(((self.h11.send(head) or b"") + text)[: reply.truncate_at_bytes])
            return
        data = self.h11.send(head) or b""
        if reply.lines is not None:
            self.writer.write(data)
            self.streaming = True
            await self._write_lines(reply.lines)
            self.streaming = False
            return
        if text and (request is None or request.method != "HEAD"):
            data += self.h11.send(h11.Data(data=text)) or b""
        self.writer.write(data)
        await self._send(h11.EndOfMessage())

    async def _write_lines(self, lines: AsyncIterator[bytes]) -> None:
        """A stream of lines; what the client sends meanwhile is an end or is read over."""
        closed = asyncio.create_task(self._until_closed())
        turn = asyncio.create_task(_next(lines))
        try:
            while True:
                await asyncio.wait({closed, turn}, return_when=asyncio.FIRST_COMPLETED)
                if closed.done():
                    raise _ClosedError
                line = turn.result()
                if line is None:
                    break
                await self._send(h11.Data(data=line))
                turn = asyncio.create_task(_next(lines))
            await self._send(h11.EndOfMessage())
        finally:
            for task in (closed, turn):
                task.cancel()
            await asyncio.gather(closed, turn, return_exceptions=True)
            close = getattr(lines, "aclose", None)
            if close is not None:
                await close()

    async def _until_closed(self) -> None:
        with contextlib.suppress(OSError):
            while await self.reader.read(4096):
                pass


async def _next(lines: AsyncIterator[bytes]) -> bytes | None:
    return await anext(lines, None)


def decode_json_body(body: bytes, body_type: type[BodyT]) -> BodyT:
    """A JSON body as a msgspec struct. Raises HttpError 400 that names the field."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.MsgspecError as problem:
        raise HttpError(400, "malformed-body", str(problem)) from None
