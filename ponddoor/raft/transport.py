"""Members' streams on asyncio: one connection to each peer for what we send, one from each for what we hear.

What can't be sent at once waits in a bounded queue; a full one drops the oldest, which Raft repeats. A peer
that is refused is told nothing and counted."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ponddoor.raft.core import Member, Message
from ponddoor.raft.wire import (
    MOST_GREETING,
    Channel,
    Frames,
    Identity,
    RefusedError,
    greeting,
    opened,
    welcomed,
)

QUEUE = 256  # messages that wait for one peer
GREET_WITHIN = 2.0
CONNECT_WITHIN = 1.0
SILENCE = 30.0
AGAIN = (0.05, 1.0)
MOST_CONNECTIONS = 200
log = structlog.get_logger("raft")


@dataclass(slots=True)
class _Peer:
    address: tuple[str, int]
    waiting: deque[Message] = field(default_factory=deque)
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    up: bool = False


@dataclass(slots=True)
class Transport:
    """All streams of one member. `heard` takes what comes in, from whom."""

    mine: Identity
    heard: Callable[[Member, Message], None]
    peers: dict[Member, _Peer] = field(default_factory=dict)
    removed: dict[Member, int] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _incoming: dict[asyncio.Task[None], Member | None] = field(default_factory=dict)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    async def start(self, host: str, port: int) -> int:
        """Listen; returns the port. Raises OSError where the address can't be had."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def know(self, addresses: dict[Member, tuple[str, int]]) -> None:
        """Whom to send to, and where; who is not named any more is let go."""
        for member in [
            member for member in self.peers if addresses.get(member) != self.peers[member].address
        ]:
            peer = self.peers.pop(member)
            if peer.task is not None:
                peer.task.cancel()
        for member, address in addresses.items():
            if member != self.mine.me and member not in self.peers:
                peer = self.peers[member] = _Peer(address)
                peer.task = asyncio.create_task(self._feed(member, peer))

    def send(self, to: Member, message: Message) -> None:
        peer = self.peers.get(to)
        if peer is None:
            self.count("no-such-peer")
            return
        if len(peer.waiting) >= QUEUE:
            peer.waiting.popleft()
            self.count("queue-full")
        peer.waiting.append(message)
        peer.ready.set()

    async def _feed(self, member: Member, peer: _Peer) -> None:
        wait = AGAIN[0]
        while True:
            writer = None
            try:
                async with asyncio.timeout(CONNECT_WITHIN):
                    reader, writer = await asyncio.open_connection(*peer.address)
                channel = await self._greet(reader, writer, member)
                peer.up, wait = True, AGAIN[0]
                peer.waiting.clear()  # what waited while nobody heard is old
                gone = asyncio.create_task(reader.read(1))  # a peer sends nothing here: its end ends the read
                try:
                    await self._send_on(peer, channel, writer, gone)
                finally:
                    gone.cancel()
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ConnectionError):
                self.count("connection-lost" if peer.up else "no-connection")
            except RefusedError as problem:
                self.count(f"refused {problem.why}")
                log.warning("peer-refused", peer=member, why=problem.why, detail=str(problem))
            finally:
                peer.up = False
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(wait)
            wait = min(2 * wait, AGAIN[1])

    async def _greet(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, member: Member
    ) -> Channel:
        said, frame = greeting(self.mine, member)
        writer.write(frame)
        async with asyncio.timeout(GREET_WITHIN):
            return opened(self.mine, said, await _one_frame(reader))

    async def _send_on(
        self, peer: _Peer, channel: Channel, writer: asyncio.StreamWriter, gone: "asyncio.Task[bytes]"
    ) -> None:
        while True:
            ready = asyncio.create_task(peer.ready.wait())
            try:
                await asyncio.wait({ready, gone}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                ready.cancel()
            if gone.done():
                raise ConnectionError("the peer has closed")
            peer.ready.clear()
            while peer.waiting:
                writer.write(channel.seal(peer.waiting.popleft()))
                async with asyncio.timeout(SILENCE):
                    await writer.drain()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is None or len(self._incoming) >= MOST_CONNECTIONS:
            self.count("too-many-connections")
            writer.transport.abort()
            return
        self._incoming[task] = None
        try:
            async with asyncio.timeout(GREET_WITHIN):
                said, channel, answer = welcomed(self.mine, await _one_frame(reader), self.removed)
            writer.write(answer)
            self._incoming[task] = said.me
            await self._hear(reader, said.me, channel)
        except RefusedError as problem:
            self.count(f"refused {problem.why}")
            log.warning("peer-refused", why=problem.why, detail=str(problem))
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            self.count("connection-ended")
        except asyncio.CancelledError:
            if self._server is not None and self._server.is_serving():
                raise
        finally:
            del self._incoming[task]
            writer.transport.abort()

    async def _hear(self, reader: asyncio.StreamReader, peer: Member, channel: Channel) -> None:
        frames = Frames()
        while data := await reader.read(65_536):
            for frame in frames.feed(data):
                message = channel.open(frame)
                if message is None:
                    self.count("unknown-kind")
                else:
                    self.heard(peer, message)

    def turn_away(self, member: Member, generation: int) -> None:
        """A member was taken out: its connections end, and it comes back only as a later generation."""
        self.removed[member] = max(generation, self.removed.get(member, -1))
        for task, peer in list(self._incoming.items()):
            if peer == member:
                task.cancel()

    async def close(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            server.close()
        tasks = [peer.task for peer in self.peers.values() if peer.task is not None] + list(self._incoming)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


async def _one_frame(reader: asyncio.StreamReader) -> bytes:
    """A greeting's frame. Raises RefusedError where it is too large, IncompleteReadError at the end."""
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > MOST_GREETING:
        raise RefusedError("frame-too-large", f"a greeting of {size} bytes")
    return await reader.readexactly(size)
