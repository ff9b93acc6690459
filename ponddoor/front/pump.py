"""The one way into an engine: the clock, effects in order, one timer. Each shell of sockets runs on one."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine

SECOND = 1_000_000
Apply = Callable[[Callable[[int], list[Effect]]], None]  # `Pump.apply`, as the shells know it


def clock() -> int:
    """The front's own clock: monotonic, whole microseconds."""
    return time.monotonic_ns() // 1000


class Pump:
    """Calls one engine and hands what it wants to `carry_out`."""

    def __init__(self, engine: Engine, carry_out: Callable[[Effect], None]) -> None:
        self._engine, self._carry_out = engine, carry_out
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: int | None = None
        self._applying = False
        self._queue: deque[Effect] = deque()

    def apply(self, call: Callable[[int], list[Effect]]) -> None:
        """Call the engine at the clock, carry out what it wants in order, and set the timer anew."""
        self._queue += call(clock())
        if self._applying:
            return
        self._applying = True
        try:
            while self._queue:
                self._carry_out(self._queue.popleft())
        finally:
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
        self.apply(self._engine.due)

    def close(self) -> None:
        """No timer comes any more."""
        if self._timer is not None:
            self._timer.cancel()
