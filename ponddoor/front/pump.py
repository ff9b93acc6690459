"""Drives an engine: calls it with the clock, carries out its effects in order, and keeps its timer.

The parts that own sockets call the engine only through `Pump.apply`."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import structlog

from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine

SECOND = 1_000_000
Apply = Callable[[Callable[[int], list[Effect]]], None]  # the type of `Pump.apply`
log = structlog.get_logger("pump")


def clock() -> int:
    """The front's monotonic clock in whole microseconds."""
    return time.monotonic_ns() // 1000


# Turns of the event loop until what the sockets hold is handled; a close is reported one turn later.
LOOP_TURNS = 4


def after_pending_reads(callback: Callable[[], None], turns: int = LOOP_TURNS) -> None:
    """Call back after every byte and every close that has reached our sockets by now is handled.

    A turn of the event loop polls the sockets, then runs due timers, then the callbacks of ready sockets."""
    scheduled = (lambda: after_pending_reads(callback, turns - 1)) if turns > 1 else callback
    asyncio.get_running_loop().call_soon(scheduled)


class Pump:
    """Calls one engine and passes its effects to `carry_out`."""

    def __init__(self, engine: Engine, carry_out: Callable[[Effect], None]) -> None:
        self._engine, self._carry_out = engine, carry_out
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: int | None = None
        self._applying = False
        self._queue: deque[Effect] = deque()

    def apply(self, call: Callable[[int], list[Effect]]) -> None:
        """Call the engine with the current time, carry out its effects in order, and set the timer.

        An exception from an effect is logged and counted, one from `call` is raised to the caller. In both
        cases the remaining effects are carried out and the timer is set, or no timer would run again."""
        try:
            self._queue += call(clock())
        finally:
            if not self._applying:
                self._drain()

    def _drain(self) -> None:
        self._applying = True
        while self._queue:
            effect = self._queue.popleft()
            try:
                self._carry_out(effect)
            except Exception:
                self._engine.counts.faults += 1
                log.exception("effect-failed", effect=effect)
        self._applying = False
        self._set_timer()

    def _set_timer(self) -> None:
        due = self._engine.next_due
        if due is None or (self._timer_at is not None and self._timer_at <= due):
            return  # a timer that fires too early finds nothing due and is set again
        self.close()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_later(max(due - clock(), 0) / SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_at, self._timer = None, None
        self.apply(self._engine.run_due_timers)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
