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
MAX_TIMERS_PER_TURN = 16
READ_TURNS = 2  # until every socket that was readable has been read once


def after_pending_reads(callback: Callable[[], None], turns: int = LOOP_TURNS) -> None:
    """Call back after every byte and every close that has reached our sockets by now is handled.

    A turn of the event loop polls the sockets, then runs due timers, then the callbacks of ready sockets."""
    scheduled = (lambda: after_pending_reads(callback, turns - 1)) if turns > 1 else callback
    asyncio.get_running_loop().call_soon(scheduled)


class Pump:
    """Calls one engine and passes its effects to `carry_out`.

    Timers run once all input that came before they were due has been read: it may be the answer, or the end,
    that a timer would miss after a stall. A few run at once, then the sockets are read again."""

    def __init__(self, engine: Engine, carry_out: Callable[[Effect], None]) -> None:
        self._engine, self._carry_out = engine, carry_out
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: int | None = None
        self._timers_pending = False  # due timers run after the pending reads
        self._applying = self._closed = False
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
        if due is None or self._timers_pending or self._closed:
            return
        if self._timer_at is not None and self._timer_at <= due:
            return  # a timer that fires too early finds nothing due and is set again
        self._cancel_timer()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_later(max(due - clock(), 0) / SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_at, self._timer, self._timers_pending = None, None, True
        due_by = clock()
        after_pending_reads(lambda: self._run_timers(due_by), READ_TURNS)

    def _run_timers(self, due_by: int) -> None:
        if self._closed:
            return
        self._timers_pending = False
        self.apply(lambda now: self._engine.run_due_timers(now, due_by, MAX_TIMERS_PER_TURN))
        due = self._engine.next_due
        if due is not None and due <= due_by:  # more than run in one turn
            self._timers_pending = True
            self._cancel_timer()
            asyncio.get_running_loop().call_soon(self._run_timers, due_by)

    def _cancel_timer(self) -> None:
        self._timer_at = None
        if self._timer is not None:
            self._timer.cancel()

    def close(self) -> None:
        """Run no timer any more."""
        self._closed = True
        self._cancel_timer()
