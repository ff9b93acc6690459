"""The shell towards the notice board: one connection, every event once and in order."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from ponddoor.front.engine import Engine
from ponddoor.front.pump import Apply
from ponddoor.front.roster import Entry, GapError, Roster
from ponddoor.interface import events as ev
from ponddoor.node import board_codec
from ponddoor.node.lines import Lines, UnreadableError
from ponddoor.node.start import Address, Place
from ponddoor.web.timing import within

SILENCE = 2.4  # s: the last number comes each second
CONNECT = 1.0  # s
RETRY = (0.05, 0.5)  # s between tries, doubled from the first to the last
log = structlog.get_logger("board")


@dataclass(slots=True)
class Board:
    """Feeds the engine with the list. `learned` is told the entries in hand after each change."""

    roster: Roster
    engine: Engine
    apply: Apply
    learned: Callable[[dict[int, Entry]], None]
    address: Address = ("", 0)
    breaks: int = 0
    _following: asyncio.Task[None] | None = None

    def begin(self, place: Place) -> None:
        """The list of the start, then what follows."""
        for message in place.known:
            self.roster.take(message)
        self.learned(self.roster.entries)
        rows = self.roster.rows()
        self.apply(lambda now: self.engine.news(now, ev.NewsScope.CACHED, rows))
        self.follow(place.board)

    def follow(self, address: Address) -> None:
        """Follow the board at this address from the last number in hand."""
        self.close()
        self.address = address
        self._following = asyncio.create_task(self._follow(address))

    async def _follow(self, address: Address) -> None:
        wait = RETRY[0]
        while True:
            since, why = self.roster.version, "ended"
            try:
                await self._watch(address)
            except (OSError, TimeoutError, GapError, UnreadableError) as problem:
                why = f"{type(problem).__name__} {problem}"
            self.breaks += 1
            log.info("board-broke", why=why, last=self.roster.version)
            wait = RETRY[0] if self.roster.version != since else min(wait * 2, RETRY[1])
            await asyncio.sleep(wait)

    async def _watch(self, address: Address) -> None:
        """Raises what ends it: a break, a silence, a line that can't be read, a number left out."""
        reader, writer = await within(CONNECT, asyncio.open_connection(*address))
        try:
            writer.write(board_codec.watch(self.roster.version))
            lines = Lines(board_codec.MOST)
            while data := await within(SILENCE, reader.read(65_536)):
                for line in lines.feed(data):
                    self._take(line)
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                writer.transport.abort()

    def _take(self, line: bytes) -> None:
        got = self.roster.take(board_codec.read(line))
        if got is not None:
            scope, rows = got
            self.learned(self.roster.entries)
            self.apply(lambda now: self.engine.news(now, scope, rows))

    def close(self) -> None:
        if self._following is not None:
            self._following.cancel()
