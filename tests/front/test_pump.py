"""The pump's timers: few in a turn of the event loop, and after the input that came before them."""

import asyncio
import socket
import time
from typing import cast

from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.pump import MAX_TIMERS_PER_TURN, Pump, clock

STALL_S = 0.05
SHARED_TIMERS = 300


class TimersOnly:
    """Stands in for an engine: timers alone. `seen` has what happened, in order."""

    def __init__(self, seen: list[str]) -> None:
        self.seen, self.due = seen, list[int]()

    @property
    def next_due(self) -> int | None:
        return min(self.due, default=None)

    def run_due_timers(self, now: int, due_by: int | None = None, limit: int | None = None) -> list[Effect]:
        ran = sorted(due for due in self.due if due <= (now if due_by is None else due_by))[:limit]
        self.due = self.due[len(ran) :]
        self.seen += ["timers"] * len(ran)
        return []


class Reader(asyncio.Protocol):
    def __init__(self, seen: list[str]) -> None:
        self.seen = seen

    def data_received(self, data: bytes) -> None:
        self.seen += [data.decode()]


def make_pump(seen: list[str]) -> tuple[Pump, TimersOnly]:
    engine = TimersOnly(seen)
    return Pump(cast(Engine, engine), lambda effect: None), engine


def test_input_that_came_during_a_stall_is_read_before_a_timer_that_fell_due_in_it() -> None:
    async def run() -> list[str]:
        seen = list[str]()
        pump, engine = make_pump(seen)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(lambda: Reader(seen), sock=ours)
        engine.due = [clock() + 10_000]
        pump.apply(lambda now: [])

        def stall() -> None:
            # Behind this turn's poll, and ahead of the timer
            theirs.send(b"read")
            time.sleep(STALL_S)

        loop.call_at(loop.time() + 0.0099, stall)
        while len(seen) < 2:
            await asyncio.sleep(0.001)
        transport.close()
        theirs.close()
        pump.close()
        return seen

    assert asyncio.run(run()) == ["read", "timers"]


def test_timers_that_are_due_together_do_not_share_one_turn() -> None:
    async def run() -> list[int]:
        seen = list[str]()
        pump, engine = make_pump(seen)
        engine.due = [clock()] * SHARED_TIMERS
        pump.apply(lambda now: [])
        ran_by_turn, before = list[int](), 0
        while engine.due:
            await asyncio.sleep(0)
            ran_by_turn.append(len(seen) - before)
            before = len(seen)
        pump.close()
        return ran_by_turn

    ran_by_turn = asyncio.run(run())
    assert sum(ran_by_turn) == SHARED_TIMERS
    assert max(ran_by_turn) <= MAX_TIMERS_PER_TURN


def test_no_timer_runs_after_the_pump_is_closed() -> None:
    async def run() -> list[str]:
        seen = list[str]()
        pump, engine = make_pump(seen)
        engine.due = [clock()]
        pump.apply(lambda now: [])
        await asyncio.sleep(0)
        pump.close()
        for _ in range(10):
            await asyncio.sleep(0)
        return seen

    assert asyncio.run(run()) == []
