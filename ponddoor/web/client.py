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
MOST_AWAY = 60.0  # s: a longer Retry-After is not heeded whole


class NotSentError(Exception):
    """Nothing was sent: no connection could be had. `why` says whether the pool or the network refused."""

    def __init__(self, why: str, pool_full: bool = False, refused: bool = False) -> None:
        super().__init__(why)
        self.pool_full, self.refused = pool_full, refused


class BrokenError(Exception):
    """The connection was lost, or what came back is no HTTP, after the request may have been read."""


class TurnedAwayError(BrokenError):
    """An answer that is no stream: its status and headers, and the seconds that its Retry-After asks to stay
    away."""

    def __init__(self, status: int, stay_away: float, headers: dict[str, str] | None = None) -> None:
        super().__init__(f"status {status}")
        self.status, self.stay_away, self.headers = status, stay_away, headers or {}


class OversizeError(BrokenError):
    """A line or an answer over its bound; what came of it is thrown away."""


class LateError(Exception):
    """No whole answer within the time."""


@dataclass(slots=True)
class Answer:
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
        kind: str = "application/json",
    ) -> None:
        fields = [("Host", host), *headers]
        if body:
            fields += [("Content-Type", kind), ("Content-Length", str(len(body)))]
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
    most: int = 64
    connect_time: float = 0.25
    idle_time: float = 30.0
    most_body: int = 1_000_000
    unasked: int = 0  # answers that nobody had asked for
    _idle: deque[_Wire] = field(default_factory=deque)
    _out: set[_Wire] = field(default_factory=set)
    _opening: int = 0

    @property
    def open(self) -> int:
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
        kind: str = "application/json",
    ) -> Answer:
        """One exchange; a body of bytes goes as it is, of media type `kind`, any other as JSON.

        Raises NotSentError, BrokenError or LateError; a late one's connection is closed."""
        try:
            async with asyncio.timeout(timeout):
                wire = await self._take()
                done = False
                try:
                    answer = await self._exchange(wire, method, path, body, headers, kind)
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
        kind: str,
    ) -> Answer:
        data = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
        await wire.send(method, path, f"{self.host}:{self.port}", data, headers, kind)
        head, text = await wire.head(), bytearray()
        while not isinstance(event := await wire.event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise BrokenError("closed in the middle of an answer")
            text += event.data
            if len(text) > self.most_body:
                raise OversizeError(f"an answer of more than {self.most_body} bytes")
        return Answer(head.status_code, _headers(head), bytes(text))

    async def lines(
        self, path: str, silence: float, most_line: int = 1_000_000
    ) -> AsyncGenerator[bytes, None]:
        """The lines of an endless answer, on a connection of its own. Ends only by raising: NotSentError,
        BrokenError, or LateError after `silence` seconds without a whole line."""
        wire = await self._open()
        try:
            async with asyncio.timeout(silence):
                await wire.send("GET", path, f"{self.host}:{self.port}", b"", ())
                head = await wire.head()
            if head.status_code != 200:
                headers = _headers(head)
                told = headers.get("retry-after", "")
                away = min(int(told), MOST_AWAY) if told.isdigit() else 0.0
                raise TurnedAwayError(head.status_code, away, headers)
            text, loop = b"", asyncio.get_running_loop()
            due = loop.time() + silence
            while True:
                async with asyncio.timeout_at(due):
                    event = await wire.event()
                if not isinstance(event, h11.Data):
                    raise BrokenError("the stream ended")
                text += bytes(event.data)
                *whole, text = text.split(b"\n")
                if len(text) > most_line:
                    raise OversizeError(f"a line of more than {most_line} bytes")
                for line in whole:
                    yield line
                if whole:  # who stopped in a line, or drips, says nothing
                    due = loop.time() + silence
        except TimeoutError:
            raise LateError(f"silent for {silence:g} s") from None
        except (OSError, h11.RemoteProtocolError) as problem:
            raise BrokenError(str(problem) or type(problem).__name__) from None
        finally:
            self._out.discard(wire)
            wire.close()

    async def _take(self) -> _Wire:
        now = asyncio.get_running_loop().time()
        while self._idle:
            wire = self._idle.pop()
            if not wire.dead and now - wire.since < self.idle_time:
                self._out.add(wire)
                return wire
            wire.close()
        return await self._open()

    async def _open(self) -> _Wire:
        if self.open >= self.most:
            raise NotSentError(f"{self.most} connections to {self.host}:{self.port} are open", pool_full=True)
        self._opening += 1
        try:
            async with asyncio.timeout(self.connect_time):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except TimeoutError:
            raise NotSentError(f"no connection in {self.connect_time:g} s") from None
        except OSError as problem:
            raise NotSentError(str(problem), refused=isinstance(problem, ConnectionRefusedError)) from None
        finally:
            self._opening -= 1
        wire = _Wire(reader, writer, h11.Connection(h11.CLIENT))
        self._out.add(wire)
        return wire

    def _give_back(self, wire: _Wire, done: bool) -> None:
        self._out.discard(wire)
        if done and wire.http.trailing_data[0]:
            # Guards against a far end that answers twice: the second answer would pass for the next one's.
            self.unasked += 1
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
