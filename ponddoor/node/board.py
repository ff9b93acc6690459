"""Follows the server list of the platform's discovery service, the notice board, over one connection."""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.front.reconnect import Loss, ReconnectSchedule
from ponddoor.front.roster import GapError, ListChange, Roster
from ponddoor.interface import events as ev
from ponddoor.node import board_codec
from ponddoor.node.descriptors import DescriptorReserve, is_resource_exhaustion
from ponddoor.node.lines import LineReader, UnreadableError
from ponddoor.node.replaced_servers import ReplacedServers
from ponddoor.node.start import Address, NodeSettings
from ponddoor.web.connecting import connect_within
from ponddoor.web.timing import read_within

MAX_ROWS_PER_TURN = 500  # passed to the engine in one iteration of the event loop
SILENCE_TIMEOUT_S = 2.4  # the notice board sends its last revision every second
# Changes count as known 4 s after such a loss: two attempts to connect and the waits between them fit in
CONNECT_TIMEOUT_S = 1.0
# After `watch` the notice board sends what has changed within this time, the protocol's slack
CATCH_UP_S = 0.05
log = structlog.get_logger("board")


@dataclass(slots=True)
class DiscoveryClient:
    """Applies the initial server list and all later events, each once and in order, to the engine.

    `on_change` is called with each change as soon as it is received, `on_caught_up` when the changes since
    the initial list have been received or are not available."""

    roster: Roster
    engine: Engine
    apply: Apply
    on_change: Callable[[ListChange], None]
    on_caught_up: Callable[[], None]
    schedule: ReconnectSchedule
    reserve: DescriptorReserve
    address: Address = ("", 0)
    disconnects: int = 0  # lost connections and failed attempts
    _replaced: ReplacedServers = field(default_factory=ReplacedServers)
    _watch_task: asyncio.Task[None] | None = None
    _pending_rows: deque[ev.ServerRow] = field(default_factory=deque)  # not yet passed to the engine
    _feed_scheduled: bool = False

    def start(self, settings: NodeSettings) -> None:
        """Apply the initial list of the settings, then follow the notice board."""
        for message in settings.known_notices:
            self.roster.take(self._replaced.complete(message))
        known = self.roster.all()
        self.on_change(known)
        self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.CACHED, known.rows))
        self._watch_from(settings.board, self.schedule.start(clock()))

    def move_to(self, address: Address) -> None:
        """Follow the notice board at another address, from the last revision on. All nodes are told to do so
        at the same time, so the first attempt is delayed by the schedule."""
        self._watch_from(address, self.schedule.moved(clock()))

    def _watch_from(self, address: Address, due: int) -> None:
        self.close()
        self.address = address
        self._watch_task = asyncio.create_task(self._keep_watching(address, due))

    async def _keep_watching(self, address: Address, due: int) -> None:
        while True:
            await asyncio.sleep(max(due - clock(), 0) / SECOND)
            loss, reason = await self._watch(address)
            self.on_caught_up()
            now = clock()
            due = self.schedule.lost(now, loss, int(SILENCE_TIMEOUT_S * SECOND) if loss is Loss.SILENT else 0)
            self.disconnects += 1
            log.info(
                "board-broke",
                how=loss.value,
                why=reason,
                last=self.roster.version,
                tries=self.schedule.tries,
                age_ms=self.schedule.age(now) // 1000,
                again_in_ms=(due - now) // 1000,
            )

    async def _watch(self, address: Address) -> tuple[Loss, str]:
        """Follow the list until the connection is lost. Returns the kind of loss and the reason as text."""
        try:
            opened = await self._connect(address)
            reader, writer = await asyncio.open_connection(sock=opened)
        except TimeoutError:
            return Loss.LATE, f"no connection in {CONNECT_TIMEOUT_S:g} s"
        except OSError as problem:
            return Loss.REFUSED, str(problem)
        try:
            writer.write(board_codec.encode_watch(self.roster.version))
            asyncio.get_running_loop().call_later(CATCH_UP_S, self.on_caught_up)
            lines, due = LineReader(board_codec.MAX_LINE_BYTES), clock() + int(SILENCE_TIMEOUT_S * SECOND)
            # Only a complete line extends the timeout: a notice board that stops or trickles within a line
            # counts as silent
            while data := await read_within(max(due - clock(), 0) / SECOND, reader, 65_536):
                for line in lines.feed(data):
                    self._handle_line(line)
                    self.schedule.heard(clock())
                    due = clock() + int(SILENCE_TIMEOUT_S * SECOND)
                    self.on_caught_up()
            return Loss.BROKEN, "ended"
        except TimeoutError:
            return Loss.SILENT, f"no complete line in {SILENCE_TIMEOUT_S:g} s"
        except (OSError, GapError, UnreadableError) as problem:
            return Loss.BROKEN, f"{type(problem).__name__} {problem}"
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                writer.transport.abort()

    async def _connect(self, address: Address) -> socket.socket:
        """Connect; if this machine is out of descriptors, use one of the reserve."""
        try:
            return await connect_within(CONNECT_TIMEOUT_S, *address)
        except OSError as problem:
            if not is_resource_exhaustion(problem) or not self.reserve.release():
                raise
        return await connect_within(CONNECT_TIMEOUT_S, *address)

    def _handle_line(self, line: bytes) -> None:
        change = self.roster.take(self._replaced.complete(board_codec.decode_line(line)))
        if change is not None:
            self.on_change(change)
            # The engine gets the servers that may no longer be used first
            self._pending_rows.extend(sorted(change.rows, key=lambda row: row.state is ev.ServerState.READY))
            if not self._feed_scheduled:
                self._feed()

    def _feed(self) -> None:
        """Pass at most MAX_ROWS_PER_TURN rows to the engine, the rest in later turns of the event loop.

        Received data is read between the turns, and each intermediate state of the engine is consistent. The
        engine may still choose a server that can no longer be used, but nothing is sent there: `on_change`
        has passed the whole change to the links."""
        rows = tuple(
            self._pending_rows.popleft() for _ in range(min(MAX_ROWS_PER_TURN, len(self._pending_rows)))
        )
        self._feed_scheduled = bool(self._pending_rows)
        if self._feed_scheduled:
            asyncio.get_running_loop().call_soon(self._feed)
        self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.CHANGES, rows))

    def close(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
