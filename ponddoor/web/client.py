"""An HTTP/1.1 client with pooled, bounded connections, one exchange at a time on each."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

import h11
import msgspec

from ponddoor.web.unread import has_unread

_READ = 65_536
MAX_RETRY_AFTER_S = 60.0  # s: a longer Retry-After is not heeded whole


class NotSentError(Exception):
    """Nothing was sent: no connection could be had. `why` says whether the pool or the network refused."""

    def __init__(self, why: str, pool_full: bool = False, connection_refused: bool = False) -> None:
        super().__init__(why)
        self.pool_full, self.connection_refused = pool_full, connection_refused


class BrokenError(Exception):
    """The connection was lost, or what came back is no HTTP, after the request may have been read."""


class UnexpectedStatusError(BrokenError):
    """An answer that is no stream: its status and headers, and the seconds that its Retry-After asks to stay
    away."""

    def __init__(self, status: int, retry_after_s: float, headers: dict[str, str] | None = None) -> None:
        super().__init__(f"status {status}")
        self.status, self.retry_after_s, self.headers = status, retry_after_s, headers or {}


class OversizeError(BrokenError):
    """A line or an answer over its bound; what came of it is thrown away."""


class LateError(Exception):
    """No whole answer within the time."""


@dataclass(slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        """The body as an object. Raises BrokenError where it is none."""
        try:
            return msgspec.json.decode(self.body, type=dict[str, object])
        except msgspec.MsgspecError as problem:
            raise BrokenError(f"a body that is no JSON object: {problem}") from None


@dataclass(slots=True, eq=False)
class _Wire:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection
    since: float = 0.0

    def close(self) -> None:
        self.writer.transport.abort()

    @property
    def dead(self) -> bool:
        """Whether the far end has closed, or said what nobody asked, read or unread: seen without a write."""
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
        fields = [("Host", host), *headers]
        if body:
            fields += [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        data = self.http.send(h11.Request(method=method, target=path, headers=fields)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        await self.writer.drain()

    async def event(self) -> h11.Event:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(_READ))
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Event):
                return event
            else:
                raise BrokenError("the answer did not end where it said")

    async def head(self) -> h11.Response:
        event = await self.event()
        if not isinstance(event, h11.Response):
            raise BrokenError("closed without an answer")
        return event


@dataclass(slots=True)
class Pool:
    """Connections to one address, `most` at once; idle ones are used newest first. Times in seconds."""

    host: str
    port: int
    max_connections: int = 64
    connect_timeout_s: float = 0.25
    idle_timeout_s: float = 30.0
    max_body_bytes: int = 1_000_000
    unsolicited_responses: int = 0  # answers that nobody had asked for
    _idle: deque[_Wire] = field(default_factory=deque)
    _out: set[_Wire] = field(default_factory=set)
    _opening: int = 0

    @property
    def open_connections(self) -> int:
        return len(self._idle) + len(self._out) + self._opening

    def close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close all; who waits for an answer gets BrokenError."""
        self.close_idle()
        for wire in list(self._out):
            wire.close()

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = 5.0,
        headers: tuple[tuple[str, str], ...] = (),
        content_type: str = "application/json",
    ) -> Response:
        """One exchange; a body of bytes goes as it is, of media type `content_type`, any other as JSON.

        Raises NotSentError, BrokenError or LateError; a late one's connection is closed."""
        try:
            async with asyncio.timeout(timeout):
                wire = await self._take()
                done = False
                try:
                    answer = await self._exchange(wire, method, path, body, headers, content_type)
                    done = wire.http.our_state is h11.DONE and wire.http.their_state is h11.DONE
                    return answer
                except (OSError, h11.RemoteProtocolError) as problem:
                    raise BrokenError(str(problem) or type(problem).__name__) from None
                finally:
                    self._give_back(wire, done)
        except TimeoutError:
            raise LateError(f"no answer in {timeout:g} s") from None

    async def _exchange(
        self,
        wire: _Wire,
        method: str,
        path: str,
        body: object,
        headers: tuple[tuple[str, str], ...],
        content_type: str,
    ) -> Response:
        data = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
        await wire.send(method, path, f"{self.host}:{self.port}", data, headers, content_type)
        head, text = await wire.head(), bytearray()
        while not isinstance(event := await wire.event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise BrokenError("closed in the middle of an answer")
            text += event.data
            if len(text) > self.max_body_bytes:
                raise OversizeError(f"an answer of more than {self.max_body_bytes} bytes")
        return Response(head.status_code, _headers(head), bytes(text))

    async def stream_lines(
        self, path: str, silence_timeout_s: float, max_line_bytes: int = 1_000_000
    ) -> AsyncGenerator[bytes, None]:
        """The lines of an endless answer, on a connection of its own. Ends only by raising: NotSentError,
        BrokenError, or LateError after `silence_timeout_s` seconds without a whole line."""
        wire = await self._open()
        try:
            async with asyncio.timeout(silence_timeout_s):
                await wire.send("GET", path, f"{self.host}:{self.port}", b"", ())
                head = await wire.head()
            if head.status_code != 200:
                headers = _headers(head)
                told = headers.get("retry-after", "")
                away = min(int(told), MAX_RETRY_AFTER_S) if told.isdigit() else 0.0
                raise UnexpectedStatusError(head.status_code, away, headers)
            text, loop = b"", asyncio.get_running_loop()
            due = loop.time() + silence_timeout_s
            while True:
                async with asyncio.timeout_at(due):
                    event = await wire.event()
                if not isinstance(event, h11.Data):
                    raise BrokenError("the stream ended")
                text += bytes(event.data)
                *whole, text = text.split(b"\n")
                if len(text) > max_line_bytes:
                    raise OversizeError(f"a line of more than {max_line_bytes} bytes")
                for line in whole:
                    yield line
                if whole:  # who stopped in a line, or drips, says nothing
                    due = loop.time() + silence_timeout_s
        except TimeoutError:
            raise LateError(f"silent for {silence_timeout_s:g} s") from None
        except (OSError, h11.RemoteProtocolError) as problem:
            raise BrokenError(str(problem) or type(problem).__name__) from None
        finally:
            self._out.discard(wire)
            wire.close()

    async def _take(self) -> _Wire:
        now = asyncio.get_running_loop().time()
        while self._idle:
            wire = self._idle.pop()
            if not wire.dead and now - wire.since < self.idle_timeout_s:
                self._out.add(wire)
                return wire
            wire.close()
        return await self._open()

    async def _open(self) -> _Wire:
        if self.open_connections >= self.max_connections:
            raise NotSentError(
                f"{self.max_connections} connections to {self.host}:{self.port} are open", pool_full=True
            )
        self._opening += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except TimeoutError:
            raise NotSentError(f"no connection in {self.connect_timeout_s:g} s") from None
        except OSError as problem:
            raise NotSentError(
                str(problem), connection_refused=isinstance(problem, ConnectionRefusedError)
            ) from None
        finally:
            self._opening -= 1
        wire = _Wire(reader, writer, h11.Connection(h11.CLIENT))
        self._out.add(wire)
        return wire

    def _give_back(self, wire: _Wire, done: bool) -> None:
        self._out.discard(wire)
        if done and wire.http.trailing_data[0]:
            # Guards against a far end that answers twice: the second answer would pass for the next one's.
            self.unsolicited_responses += 1
            done = False
        if done and not wire.dead:
            wire.http.start_next_cycle()
            wire.since = asyncio.get_running_loop().time()
            self._idle.append(wire)
        else:
            wire.close()


def _headers(head: h11.Response) -> dict[str, str]:
    with contextlib.suppress(UnicodeDecodeError):
        return {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
    return {}
