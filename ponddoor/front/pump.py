"""The one way into an engine: the clock, effects in order, one timer. Each shell of sockets runs on one."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import structlog

from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine

SECOND = 1_000_000
Apply = Callable[[Callable[[int], list[Effect]]], None]  # `Pump.apply`, as the shells know it
log = structlog.get_logger("pump")


def clock() -> int:
    """The front's own clock: monotonic, whole microseconds."""
    return time.monotonic_ns() // 1000


LOOP_TURNS = (
    4  # of the loop, from what our sockets have to its last consequence (an end is told a turn after it)
)


def after_pending_reads(call: Callable[[], None], turns: int = LOOP_TURNS) -> None:
    """Call back once every byte, and every close, that has reached our sockets by now is handled.

    A turn of the loop asks the sockets first, then calls what was due, then what the sockets had."""
    later = (lambda: after_pending_reads(call, turns - 1)) if turns > 1 else call
    asyncio.get_running_loop().call_soon(later)


class Pump:
    """Calls one engine and hands what it wants to `carry_out`."""

    def __init__(self, engine: Engine, carry_out: Callable[[Effect], None]) -> None:
        self._engine, self._carry_out = engine, carry_out
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: int | None = None
        self._applying = False
        self._queue: deque[Effect] = deque()

    def apply(self, call: Callable[[int], list[Effect]]) -> None:
        """Call the engine at the clock, carry out what it wants in order, and set the timer anew.

        Guards against a fault in one effect or call, which would leave those behind it undone and no timer
        set, for good. An effect's is logged and counted, a call's is its caller's."""
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
            return  # one that comes earlier than it must finds nothing due and is set anew
        self.close()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_later(max(due - clock(), 0) / SECOND, self._due)

    def _due(self) -> None:
        self._timer_at, self._timer = None, None
        self.apply(self._engine.run_due_timers)

    def close(self) -> None:
        """No timer comes any more."""
        if self._timer is not None:
            self._timer.cancel()
