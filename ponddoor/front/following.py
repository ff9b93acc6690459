"""The I/O shell of a front's follower: carries out the effects of `front/follower.py` over TCP and on disk.

One task makes all calls of the core, one after another, from a bounded queue. A call that may take long
(reading a full state, checking a version) runs in a thread; its effects are carried out on the event loop."""

import asyncio
import contextlib
import os
import re
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import structlog

from ponddoor.front.follower import (
    CONNECT_TIMEOUT_US,
    MAX_LINE_BYTES,
    Disconnect,
    Effect,
    Fetch,
    Follower,
    LogEvent,
    Persist,
    PutInForce,
    SendReport,
    Watch,
)
from ponddoor.front.pump import SECOND, clock
from ponddoor.front.reconnect import Loss
from ponddoor.front.words import wall_clock_us
from ponddoor.settings.sexpr import MOST_BYTES
from ponddoor.settings.site import Address
from ponddoor.web.client import (
    BrokenError,
    LateError,
    NotSentError,
    OversizeError,
    Pool,
    UnexpectedStatusError,
)

REPORT_TIMEOUT_S = 2.0
MAX_FULL_STATE_BYTES = 2 * MOST_BYTES  # some characters take two bytes
MAX_QUEUED_CALLS = 200  # to the core; with a full queue the watch stops reading
LONG_LINE_BYTES = 20_000  # longer lines are processed in a thread, not on the event loop
Call = Callable[[int], list[Effect]]  # of the core, with the time in us
log = structlog.get_logger("config")


class Following:
    """The I/O shell of one front's follower.

    `put_in_force` puts a version in force; it is called on the event loop, never inside a call of an engine.
    `state_file` is the file that a restart reads; with None nothing is stored."""

    def __init__(
        self,
        follower: Follower,
        instances: tuple[Address, ...],
        put_in_force: Callable[[PutInForce], None],
        state_file: Path | None,
    ) -> None:
        self.follower, self.instances = follower, instances
        self._put_in_force, self._file = put_in_force, state_file
        self.counts: dict[str, int] = {}  # of failures that the shell met, by reason
        # Called with each version that can't be used here, and the reason
        self.on_version_refused: Callable[[int, str], None] | None = None
        self._startup_effects: list[Effect] | None = None
        self._calls: asyncio.Queue[tuple[Call, bool]] = asyncio.Queue(MAX_QUEUED_CALLS)
        # Runs the watch or the request for the full state
        self._connection_task: asyncio.Task[None] | None = None
        self._connection_number = 0  # of the current connection; input of earlier ones is dropped
        self._tasks: set[asyncio.Task[None]] = set()  # writes, reports and calls that wait for the queue
        self._runner: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_queued = False

    # Start and stop

    def recover(self) -> None:
        """Read the stored state; a version that is to be in force at once is put in force during this call.

        Blocks on the disk, which is acceptable as the front serves nobody yet."""
        data = b""
        if self._file is not None:
            try:
                data = self._file.read_bytes()
            except FileNotFoundError:
                pass
            except OSError as problem:
                log.error("config-kept-unreadable", why=str(problem))
        remaining, effects = list[Effect](), self.follower.begin(clock(), wall_clock_us(), data)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Persist):
                effects += self.follower.write_finished(clock(), effect.number, self._write(effect.data))
            elif isinstance(effect, PutInForce):
                self._put_in_force(effect)
            else:
                remaining.append(effect)
        self._startup_effects = remaining

    def begin(self) -> None:
        """Start following; reads the stored state first unless `recover` has done so."""
        if self._startup_effects is None:
            self.recover()
        self._runner = asyncio.create_task(self._run())
        for effect in self._startup_effects or ():
            self._carry_out(effect)
        self._set_timer()

    async def close(self) -> None:
        """Stop following, and wait for the tasks to end. A write in progress completes."""
        await asyncio.gather(*self.end(), return_exceptions=True)

    def end(self) -> "list[asyncio.Task[None]]":
        """Stop at once, as a killed process does; returns the cancelled tasks, which end a little later."""
        self._cancel_timer()
        tasks = [task for task in (self._runner, self._connection_task, *self._tasks) if task is not None]
        for task in tasks:
            task.cancel()
        return tasks

    # Calls of the core

    async def _run(self) -> None:
        while True:
            call, in_thread = await self._calls.get()
            try:
                for effect in await asyncio.to_thread(call, clock()) if in_thread else call(clock()):
                    self._carry_out(effect)
            except Exception:
                # A fault in the core must not end the task: the version in force stays, the next call is made
                self._count("faults")
                log.exception("config-fault")
                self._set_timer(SECOND)
            else:
                self._set_timer()

    def _queue_call(self, call: Call, in_thread: bool = False) -> None:
        """Queue a call without waiting, even if the queue is full; there is at most one of each kind."""
        try:
            self._calls.put_nowait((call, in_thread))
        except asyncio.QueueFull:
            task = asyncio.create_task(self._calls.put((call, in_thread)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _set_timer(self, min_wait_us: int = 0) -> None:
        self._cancel_timer()
        due = self.follower.next_due
        if due is not None and not self._due_queued:
            wait = max(due - clock(), min_wait_us) / SECOND
            self._timer = asyncio.get_running_loop().call_later(wait, self._queue_due_call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _queue_due_call(self) -> None:
        self._timer, self._due_queued = None, True
        evaluate_at = self.follower.evaluate_at
        self._queue_call(self._run_due, evaluate_at is not None and evaluate_at <= clock())

    def _run_due(self, now: int) -> list[Effect]:
        self._due_queued = False
        return self.follower.run_due(now)

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

    # Effects of the core

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Watch(instance, after):
                self._replace_connection(self._watch(self._connection_number + 1, instance, after))
            case Fetch(instance):
                self._replace_connection(self._fetch(self._connection_number + 1, instance))
            case Disconnect():
                self._replace_connection(None)
            case Persist(number, data):
                self._start_task(self._persist(number, data))
            case PutInForce():
                self._put_in_force(effect)
            case SendReport():
                self._start_task(self._send_report(effect))
            case LogEvent(level, event, detail):
                getattr(log, level)(event, detail=detail, front=self.follower.front_number)
                if event == "config-refused" and self.on_version_refused is not None:
                    self.on_version_refused(*self.follower.refused)

    def _replace_connection(self, coroutine: "Coroutine[Any, Any, None] | None") -> None:
        """Replace the connection: close the previous one and start the new one, if any."""
        self._connection_number += 1
        if self._connection_task is not None:
            self._connection_task.cancel()
        self._connection_task = None if coroutine is None else asyncio.create_task(coroutine)

    def _start_task(self, coroutine: "Coroutine[Any, Any, None]") -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Instances

    async def _watch(self, connection: int, instance: int, after: int) -> None:
        host, port = self.instances[instance]
        pool = Pool(host, port, 1, CONNECT_TIMEOUT_US / SECOND)
        path = f"/config/watch?after={after}&front={self.follower.front_number}"
        try:
            # The core detects silence by its own timer; this time-out only covers the loss of that timer
            async for line in pool.stream_lines(
                path, 2 * self.follower.silence_timeout_us / SECOND, MAX_LINE_BYTES
            ):
                receive = partial(self._if_current, connection, self._receive_line, instance, line)
                await self._calls.put((receive, len(line) > LONG_LINE_BYTES))
            outcome = partial(self._if_current, connection, self._connection_lost, instance, Loss.BROKEN, 0)
        except UnexpectedStatusError as problem:
            if problem.status == 410:
                newest = _version_in_tag(problem.headers.get("etag", ""))
                outcome = partial(self._if_current, connection, self._history_unavailable, instance, newest)
            else:
                outcome = partial(
                    self._if_current,
                    connection,
                    self._connection_lost,
                    instance,
                    Loss.TURNED_AWAY,
                    int(problem.retry_after_s * SECOND),
                )
        except (NotSentError, BrokenError, LateError) as problem:
            outcome = partial(
                self._if_current, connection, self._connection_lost, instance, self._loss_for(problem), 0
            )
        finally:
            pool.close()
        await self._calls.put((outcome, False))

    async def _fetch(self, connection: int, instance: int) -> None:
        host, port = self.instances[instance]
        pool = Pool(host, port, 1, CONNECT_TIMEOUT_US / SECOND, max_body_bytes=MAX_FULL_STATE_BYTES)
        try:
            answer = await pool.request(
                "GET", "/config/file", timeout=self.follower.silence_timeout_us / SECOND
            )
            if answer.status != 200:
                raise UnexpectedStatusError(answer.status, 0.0, answer.headers)
            number, text = _version_in_tag(answer.headers.get("etag", "")), answer.body.decode()
            if number < 0:
                raise BrokenError("answer of GET /config/file has no version in its ETag")
            outcome = partial(
                self._if_current,
                connection,
                self._receive_full_state,
                instance,
                number,
                text,
                answer.headers.get("config-digest", ""),
            )
        except UnicodeDecodeError:
            self._count("no-text")
            outcome = partial(self._if_current, connection, self._connection_lost, instance, Loss.BROKEN, 0)
        except (NotSentError, BrokenError, LateError) as problem:
            outcome = partial(
                self._if_current, connection, self._connection_lost, instance, self._loss_for(problem), 0
            )
        finally:
            pool.close()
        await self._calls.put((outcome, True))

    def _if_current(
        self, connection: int, call: Callable[..., list[Effect]], *arguments: Any
    ) -> list[Effect]:
        """Make a call unless its connection has been replaced while the call was queued.

        The last argument is the time."""
        if connection == self._connection_number:
            return call(*arguments)
        self._count("late")
        return []

    def _receive_line(self, instance: int, line: bytes, now: int) -> list[Effect]:
        return self.follower.receive_line(now, instance, line)

    def _receive_full_state(
        self, instance: int, number: int, text: str, digest: str, now: int
    ) -> list[Effect]:
        return self.follower.receive_full_state(now, instance, number, text, digest)

    def _history_unavailable(self, instance: int, newest: int, now: int) -> list[Effect]:
        return self.follower.history_unavailable(now, instance, newest)

    def _connection_lost(self, instance: int, loss: Loss, stay_away: int, now: int) -> list[Effect]:
        return self.follower.connection_lost(now, instance, loss, 0, stay_away)

    def _loss_for(self, problem: Exception) -> Loss:
        match problem:
            case NotSentError():
                return Loss.REFUSED if problem.connection_refused else Loss.LATE
            case LateError():
                return Loss.SILENT
            case OversizeError():
                self._count("oversize")
            case UnexpectedStatusError():
                return Loss.TURNED_AWAY
        return Loss.BROKEN

    async def _send_report(self, effect: SendReport) -> None:
        host, port = self.instances[effect.instance]
        pool = Pool(host, port, 1, CONNECT_TIMEOUT_US / SECOND)
        failure = ""
        try:
            answer = await pool.request("POST", "/config/fronts", effect.report, REPORT_TIMEOUT_S)
            failure = "" if answer.status == 204 else f"status {answer.status}"
        except (NotSentError, BrokenError, LateError) as problem:
            failure = str(problem)
        finally:
            pool.close()
        if failure:
            self._count("reports-not-taken")
        await self._calls.put((partial(self._report_finished, not failure), False))

    def _report_finished(self, ok: bool, now: int) -> list[Effect]:
        return self.follower.report_finished(now, ok)

    # Storage

    async def _persist(self, number: int, data: bytes) -> None:
        ok = await asyncio.to_thread(self._write, data)
        await self._calls.put((partial(self._write_finished, number, ok), False))

    def _write_finished(self, number: int, ok: bool, now: int) -> list[Effect]:
        return self.follower.write_finished(now, number, ok)

    def _write(self, data: bytes) -> bool:
        """Replace the state file; returns whether the data is durable.

        The data is written to a temporary file that is renamed, so that a crash leaves the old or the new
        state. The folder is synced too, as a version in force must not be lost. Without a state file this
        succeeds."""
        if self._file is None:
            return True
        temporary = self._file.with_name(f"{self._file.name}.new")
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._file)
            folder = os.open(self._file.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as problem:
            self._count("not-written")
            log.warning("config-not-written", why=str(problem), file=str(self._file))
            with contextlib.suppress(OSError):
                temporary.unlink(missing_ok=True)
            return False
        return True


def _version_in_tag(tag: str) -> int:
    """The version that an entity tag names; -1 if it names none."""
    match = re.fullmatch(r'"v(\d{1,16})"', tag.strip())
    return int(match[1]) if match else -1
