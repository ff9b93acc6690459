"""The shell towards the notice board: one connection, every event once and in order."""

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
from ponddoor.node.start import Address, NodeSettings
from ponddoor.web.connecting import connect_within
from ponddoor.web.timing import read_within

ROWS_A_TURN = 500  # of the list that the engine is fed with in one turn of the loop
SILENCE_TIMEOUT_S = 2.4  # s: the last number comes each second
CONNECT_TIMEOUT_S = (
    1.0  # s: of the four after which news counts as told, with two tries and the pauses between them
)
CATCH_UP_S = 0.05  # s after `watch`, in which what it has to tell comes: the protocol's slack
log = structlog.get_logger("board")


@dataclass(slots=True)
class DiscoveryClient:
    """Feeds the engine with the list. `learned` is told each change at once, `asked` when
    what the board has to tell to a node that begins has come, or can't be had."""

    roster: Roster
    engine: Engine
    apply: Apply
    learned: Callable[[ListChange], None]
    asked: Callable[[], None]
    schedule: ReconnectSchedule
    reserve: DescriptorReserve
    address: Address = ("", 0)
    disconnects: int = 0
    _following: asyncio.Task[None] | None = None
    _rows: deque[ev.ServerRow] = field(default_factory=deque)  # told, and not yet fed to the engine
    _feeding: bool = False

    def start(self, place: NodeSettings) -> None:
        """The list of the start, then what follows."""
        for message in place.known_notices:
            self.roster.take(message)
        known = self.roster.all()
        self.learned(known)
        self.apply(lambda now: self.engine.news(now, ev.NewsScope.CACHED, known.rows))
        self._follow_from(place.board, self.schedule.start(clock()))

    def move_to(self, address: Address) -> None:
        """Follow the board at this address from the last number in hand, as all nodes are told to at once."""
        self._follow_from(address, self.schedule.moved(clock()))

    def _follow_from(self, address: Address, due: int) -> None:
        self.close()
        self.address = address
        self._following = asyncio.create_task(self._follow(address, due))

    async def _follow(self, address: Address, due: int) -> None:
        while True:
            await asyncio.sleep(max(due - clock(), 0) / SECOND)
            how, why = await self._watch(address)
            self.asked()
            now = clock()
            due = self.schedule.lost(now, how, int(SILENCE_TIMEOUT_S * SECOND) if how is Loss.SILENT else 0)
            self.disconnects += 1
            log.info(
                "board-broke",
                how=how.value,
                why=why,
                last=self.roster.version,
                tries=self.schedule.tries,
                age_ms=self.schedule.age(now) // 1000,
                again_in_ms=(due - now) // 1000,
            )

    async def _watch(self, address: Address) -> tuple[Loss, str]:
        """Follow until it ends: how, and in words."""
        try:
            opened = await self._connect(address)
            reader, writer = await asyncio.open_connection(sock=opened)
        except TimeoutError:
            return Loss.LATE, f"no connection in {CONNECT_TIMEOUT_S:g} s"
        except OSError as problem:
            return Loss.REFUSED, str(problem)
        try:
            writer.write(board_codec.encode_watch(self.roster.version))
            asyncio.get_running_loop().call_later(CATCH_UP_S, self.asked)
            lines, due = LineReader(board_codec.MAX_LINE_BYTES), clock() + int(SILENCE_TIMEOUT_S * SECOND)
            # Only what is whole is a sign: a board that stopped in a line, or drips, tells nothing
            while data := await read_within(max(due - clock(), 0) / SECOND, reader, 65_536):
                for line in lines.feed(data):
                    self._handle_line(line)
                    self.schedule.heard(clock())
                    due = clock() + int(SILENCE_TIMEOUT_S * SECOND)
                    self.asked()
            return Loss.BROKEN, "ended"
        except TimeoutError:
            return Loss.SILENT, f"nothing in {SILENCE_TIMEOUT_S:g} s"
        except (OSError, GapError, UnreadableError) as problem:
            return Loss.BROKEN, f"{type(problem).__name__} {problem}"
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                writer.transport.abort()

    async def _connect(self, address: Address) -> socket.socket:
        """A connection; where no descriptor is left, by one of those reserved."""
        try:
            return await connect_within(CONNECT_TIMEOUT_S, *address)
        except OSError as problem:
            if not is_resource_exhaustion(problem) or not self.reserve.release():
                raise
        return await connect_within(CONNECT_TIMEOUT_S, *address)

    def _handle_line(self, line: bytes) -> None:
        change = self.roster.take(board_codec.decode_line(line))
        if change is not None:
            self.learned(change)
            # What may no longer be used is heard first
            self._rows.extend(sorted(change.rows, key=lambda row: row.state is ev.ServerState.READY))
            if not self._feeding:
                self._feed()

    def _feed(self) -> None:
        """Some rows a turn: between them what has come is read, and every state is a whole one. The shells
        know the whole change by now, so nothing goes out to a server that may no longer be used."""
        rows = tuple(self._rows.popleft() for _ in range(min(ROWS_A_TURN, len(self._rows))))
        self._feeding = bool(self._rows)
        if self._feeding:
            asyncio.get_running_loop().call_soon(self._feed)
        self.apply(lambda now: self.engine.news(now, ev.NewsScope.CHANGES, rows))

    def close(self) -> None:
        if self._following is not None:
            self._following.cancel()
