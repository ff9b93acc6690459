"""The shell of a front that follows the committed configuration: what `front/follower.py` wants done, over
TCP and on disk.

The core is called from one task alone, a call after the other: what comes waits in a bounded line. A call
that may take long (a whole state read, a version checked) runs beside the loop; what it wants done is done on
it."""

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
    TurnedAwayError,
)

ANSWER = 2.0  # s, for a report
MOST_WHOLE = 2 * MOST_BYTES  # bytes of a whole state: of its characters some take two
AHEAD = 200  # calls that wait for the core; a watch that brings more waits itself
LONG_LINE = 20_000  # bytes of a line that is read beside the loop
Call = Callable[[int], list[Effect]]  # into the core, at a moment
log = structlog.get_logger("config")


class Following:
    """One front's shell. `take` puts a version in force: it is called on the loop, never inside a call of an
    engine. `kept` is the file that a restart begins from; None: nothing is kept."""

    def __init__(
        self,
        follower: Follower,
        instances: tuple[Address, ...],
        take: Callable[[PutInForce], None],
        kept: Path | None,
    ) -> None:
        self.follower, self.instances, self._take, self._file = follower, instances, take, kept
        self.counts: dict[str, int] = {}  # what the shell itself refused, by reason
        self.refused: Callable[[int, str], None] | None = None  # told of each version that can't be used here
        self._pending: list[Effect] | None = None
        self._calls: asyncio.Queue[tuple[Call, bool]] = asyncio.Queue(AHEAD)
        self._link: asyncio.Task[None] | None = None  # the watch, or a whole state that was asked for
        self._turn = 0  # counts those: what an earlier one brought is nothing any more
        self._beside: set[asyncio.Task[None]] = set()  # what is kept, and what is told
        self._runner: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_waits = False

    # Life

    def recover(self) -> None:
        """Take up what was kept: where a version is to be in force at once, `take` is called in here. It may
        block, on the disk: nobody is served yet."""
        data = b""
        if self._file is not None:
            try:
                data = self._file.read_bytes()
            except FileNotFoundError:
                pass
            except OSError as problem:
                log.error("config-kept-unreadable", why=str(problem))
        pending, effects = list[Effect](), self.follower.begin(clock(), wall_clock_us(), data)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Persist):
                effects += self.follower.write_finished(clock(), effect.number, self._write(effect.data))
            elif isinstance(effect, PutInForce):
                self._take(effect)
            else:
                pending.append(effect)
        self._pending = pending

    def begin(self) -> None:
        """Begin to follow; what was kept is taken up first, where `recover` has not done so."""
        if self._pending is None:
            self.recover()
        self._runner = asyncio.create_task(self._run())
        for effect in self._pending or ():
            self._carry_out(effect)
        self._set_timer()

    async def close(self) -> None:
        """End. What is being written is written whole."""
        await asyncio.gather(*self.end(), return_exceptions=True)

    def end(self) -> "list[asyncio.Task[None]]":
        """End at once, as a killed process does; returns what ends a little later."""
        self._close_timer()
        tasks = [task for task in (self._runner, self._link, *self._beside) if task is not None]
        for task in tasks:
            task.cancel()
        return tasks

    # Into the core

    async def _run(self) -> None:
        while True:
            call, long = await self._calls.get()
            try:
                for effect in await asyncio.to_thread(call, clock()) if long else call(clock()):
                    self._carry_out(effect)
            except Exception:
                # Guards against a fault in here: what is in force stays, and what comes next is looked at
                self._count("faults")
                log.exception("config-fault")
                self._set_timer(SECOND)
            else:
                self._set_timer()

    def _soon(self, call: Call, long: bool = False) -> None:
        """A call that never waits for room: there is at most one of each kind that comes by here."""
        try:
            self._calls.put_nowait((call, long))
        except asyncio.QueueFull:
            task = asyncio.create_task(self._calls.put((call, long)))
            self._beside.add(task)
            task.add_done_callback(self._beside.discard)

    def _set_timer(self, least: int = 0) -> None:
        self._close_timer()
        due = self.follower.next_due
        if due is not None and not self._due_waits:
            wait = max(due - clock(), least) / SECOND
            self._timer = asyncio.get_running_loop().call_later(wait, self._due)

    def _close_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _due(self) -> None:
        self._timer, self._due_waits = None, True
        decide = self.follower.evaluate_at
        self._soon(self._fall_due, decide is not None and decide <= clock())

    def _fall_due(self, now: int) -> list[Effect]:
        self._due_waits = False
        return self.follower.run_due(now)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Out of the core

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Watch(instance, after):
                self._connect(self._watch(self._turn + 1, instance, after))
            case Fetch(instance):
                self._connect(self._fetch(self._turn + 1, instance))
            case Disconnect():
                self._connect(None)
            case Persist(number, data):
                self._start(self._keep(number, data))
            case PutInForce():
                self._take(effect)
            case SendReport():
                self._start(self._tell(effect))
            case LogEvent(level, event, detail):
                getattr(log, level)(event, detail=detail, front=self.follower.me)
                if event == "config-refused" and self.refused is not None:
                    self.refused(*self.follower.refused)

    def _connect(self, work: "Coroutine[Any, Any, None] | None") -> None:
        """One connection to one instance at a time: the one before is closed."""
        self._turn += 1
        if self._link is not None:
            self._link.cancel()
        self._link = None if work is None else asyncio.create_task(work)

    def _start(self, work: "Coroutine[Any, Any, None]") -> None:
        task = asyncio.create_task(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)

    # Instances

    async def _watch(self, turn: int, instance: int, after: int) -> None:
        host, port = self.instances[instance]
        pool = Pool(host, port, 1, CONNECT_TIMEOUT_US / SECOND)
        path = f"/config/watch?after={after}&front={self.follower.me}"
        try:
            # The core ends a silence by its own clock; this one only guards against a lost timer
            async for line in pool.lines(path, 2 * self.follower.silence / SECOND, MAX_LINE_BYTES):
                came = partial(self._of, turn, self._line, instance, line)
                await self._calls.put((came, len(line) > LONG_LINE))
            lost = partial(self._of, turn, self._lost, instance, Loss.BROKEN, 0)
        except TurnedAwayError as problem:
            if problem.status == 410:
                newest = _number(problem.headers.get("etag", ""))
                lost = partial(self._of, turn, self._not_kept, instance, newest)
            else:
                lost = partial(
                    self._of, turn, self._lost, instance, Loss.TURNED_AWAY, int(problem.stay_away * SECOND)
                )
        except (NotSentError, BrokenError, LateError) as problem:
            lost = partial(self._of, turn, self._lost, instance, self._how(problem), 0)
        finally:
            pool.close()
        await self._calls.put((lost, False))

    async def _fetch(self, turn: int, instance: int) -> None:
        host, port = self.instances[instance]
        pool = Pool(host, port, 1, CONNECT_TIMEOUT_US / SECOND, most_body=MOST_WHOLE)
        try:
            answer = await pool.request("GET", "/config/file", timeout=self.follower.silence / SECOND)
            if answer.status != 200:
                raise TurnedAwayError(answer.status, 0.0, answer.headers)
            number, text = _number(answer.headers.get("etag", "")), answer.body.decode()
            if number < 0:
                raise BrokenError("a whole state without its version")
            got = partial(
                self._of, turn, self._whole, instance, number, text, answer.headers.get("config-digest", "")
            )
        except UnicodeDecodeError:
            self._count("no-text")
            got = partial(self._of, turn, self._lost, instance, Loss.BROKEN, 0)
        except (NotSentError, BrokenError, LateError) as problem:
            got = partial(self._of, turn, self._lost, instance, self._how(problem), 0)
        finally:
            pool.close()
        await self._calls.put((got, True))

    def _of(self, turn: int, call: Callable[..., list[Effect]], *about: Any) -> list[Effect]:
        """Guards against lines that waited while the core turned away from what brought them. The last of
        `about` is the moment."""
        if turn == self._turn:
            return call(*about)
        self._count("late")
        return []

    def _line(self, instance: int, line: bytes, now: int) -> list[Effect]:
        return self.follower.receive_line(now, instance, line)

    def _whole(self, instance: int, number: int, text: str, digest: str, now: int) -> list[Effect]:
        return self.follower.receive_full_state(now, instance, number, text, digest)

    def _not_kept(self, instance: int, newest: int, now: int) -> list[Effect]:
        return self.follower.history_unavailable(now, instance, newest)

    def _lost(self, instance: int, how: Loss, stay_away: int, now: int) -> list[Effect]:
        return self.follower.connection_lost(now, instance, how, 0, stay_away)

    def _how(self, problem: Exception) -> Loss:
        match problem:
            case NotSentError():
                return Loss.REFUSED if problem.refused else Loss.LATE
            case LateError():
                return Loss.SILENT
            case OversizeError():
                self._count("oversize")
            case TurnedAwayError():
                return Loss.TURNED_AWAY
        return Loss.BROKEN

    async def _tell(self, effect: SendReport) -> None:
        host, port = self.instances[effect.instance]
        pool = Pool(host, port, 1, CONNECT_TIMEOUT_US / SECOND)
        why = ""
        try:
            answer = await pool.request("POST", "/config/fronts", effect.report, ANSWER)
            why = "" if answer.status == 204 else f"status {answer.status}"
        except (NotSentError, BrokenError, LateError) as problem:
            why = str(problem)
        finally:
            pool.close()
        if why:
            self._count("reports-not-taken")
        await self._calls.put((partial(self._told, not why), False))

    def _told(self, ok: bool, now: int) -> list[Effect]:
        return self.follower.report_finished(now, ok)

    # The disk

    async def _keep(self, number: int, data: bytes) -> None:
        ok = await asyncio.to_thread(self._write, data)
        await self._calls.put((partial(self._kept, number, ok), False))

    def _kept(self, number: int, ok: bool, now: int) -> list[Effect]:
        return self.follower.write_finished(now, number, ok)

    def _write(self, data: bytes) -> bool:
        """Written beside and renamed in, so that a crash leaves the old state or the new one; the folder is
        synced as well, for what is in force must not be forgotten. Where nothing is to be kept, it is so."""
        if self._file is None:
            return True
        beside = self._file.with_name(f"{self._file.name}.new")
        try:
            with beside.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            beside.replace(self._file)
            folder = os.open(self._file.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as problem:
            self._count("not-written")
            log.warning("config-not-written", why=str(problem), file=str(self._file))
            with contextlib.suppress(OSError):
                beside.unlink(missing_ok=True)
            return False
        return True


def _number(tag: str) -> int:
    """The version that an entity tag names; -1 where it names none."""
    found = re.fullmatch(r'"v(\d{1,16})"', tag.strip())
    return int(found[1]) if found else -1
