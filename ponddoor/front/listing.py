"""The shell towards the server list: a pushed stream or asked copies, and the last list kept on disk."""

import asyncio
import contextlib
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import structlog

from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.front.reconnect import Loss, ReconnectSchedule
from ponddoor.front.roster import GapError, Kept, ListChange, ListMessage, Roster, decode
from ponddoor.front.words import wall_clock_us
from ponddoor.interface import events as ev
from ponddoor.settings.site import Site
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool, TurnedAwayError

CONNECT = 1.0  # s
log = structlog.get_logger("list")


@dataclass(slots=True)
class ListClient:
    """Feeds one front's engine with the list. `on_change` is told each change."""

    site: Site
    me: int
    roster: Roster
    engine: Engine
    apply: Apply
    on_change: Callable[[ListChange], None]
    kept: Path | None
    schedule: ReconnectSchedule
    reachable: bool = False
    failures: int = 0
    due: int = 0  # when the list is tried next
    _turn: int = 0
    _watching: asyncio.Task[None] | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def begin(self) -> None:
        """The list that was kept, however old, or none; then the news, where it is pushed."""
        data = self.kept.read_bytes() if self.kept is not None and self.kept.exists() else b""
        found, written = self.roster.restore(data)
        if found is Kept.WHOLE:
            age = max(wall_clock_us() - written, 0) // SECOND if written else None
            log.info("list-at-hand", servers=len(self.roster.entries), age_s=age, version=self.roster.version)
        elif found is not Kept.NONE:
            log.warning("kept-list-not-taken", why=found.value, file=str(self.kept))
        found_list = self.roster.all()
        self.on_change(found_list)
        self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.CACHED, found_list.rows))
        self.due = self.schedule.start(clock())
        if not self.site.facts.asked_discovery:
            self.watch(True)

    def watch(self, active: bool) -> None:
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if active:
            self._watching = asyncio.create_task(self._watch())

    def fetch(self) -> None:
        task = asyncio.create_task(self._fetch())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pool(self) -> Pool:
        """Guards against one address that is slow or half dead: each failure turns to the next."""
        addresses = (self.site.listing.address, *self.site.listing.others)
        host, port = addresses[(self.me + self._turn) % len(addresses)]
        return Pool(host, port, 4, CONNECT / len(addresses), 5.0, most_body=50_000_000)

    async def _watch(self) -> None:
        """Where the list is pushed it is asked for again and again; where it is asked, the decisions ask."""
        once = self.site.facts.asked_discovery
        while True:
            await asyncio.sleep(max(self.due - clock(), 0) / SECOND)
            how, gone, stay_away, why = await self._follow()
            now = clock()
            self.due = self.schedule.lost(now, how, gone, stay_away)
            self._turn += 1
            if self.reachable or self.failures == 0:
                log.warning(
                    "list-out-of-reach",
                    how=how.value,
                    why=why,
                    version=self.roster.version,
                    again_in_ms=(self.due - now) // 1000,
                )
            self.reachable, self.failures = False, self.failures + 1
            if once:
                self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.FAILED, ()))
                return

    async def _follow(self) -> tuple[Loss, int, int, str]:
        """Follow the list until it ends: how, how long ago, how long it asks to stay away, and why."""
        pool, silence = self._pool(), self.site.listing.silence
        path = f"/watch?front={self.me}&list={self.roster.list_id}&version={self.roster.version}"
        try:
            async for line in pool.lines(path, silence / SECOND, 50_000_000):
                message = decode(line)
                if not self.reachable:
                    self.reachable = True
                    log.info("list-reached", version=message.version, tries=self.schedule.tries)
                self._take(message)
                self.schedule.heard(clock())
        except GapError as problem:
            log.info("list-gap", why=str(problem))
            self.roster.list_id, self.roster.version = "", 0
            return Loss.BROKEN, 0, 0, str(problem)
        except TurnedAwayError as problem:
            return Loss.TURNED_AWAY, 0, int(problem.stay_away * SECOND), str(problem)
        except LateError as problem:
            return Loss.SILENT, silence, 0, str(problem)
        except NotSentError as problem:
            return Loss.REFUSED if problem.refused else Loss.LATE, 0, 0, str(problem)
        except (BrokenError, msgspec.MsgspecError) as problem:
            return Loss.BROKEN, 0, 0, str(problem)
        finally:
            pool.close()
        return Loss.BROKEN, 0, 0, "ended"

    async def _fetch(self) -> None:
        pool = self._pool()
        try:
            answer = await pool.request("GET", "/servers", timeout=2.0)
            message = decode(answer.body)
            if (message.list_id, message.version) != (self.roster.list_id, self.roster.version):
                self._take(message)
        except (BrokenError, LateError, NotSentError, GapError, msgspec.MsgspecError):
            self.failures += 1
            self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.FAILED, ()))
        finally:
            pool.close()

    def _take(self, message: ListMessage) -> None:
        change = self.roster.take(message)
        if change is None:
            return
        self.on_change(change)
        self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.CHANGES, change.rows))
        self._keep()

    def _keep(self) -> None:
        """Written beside and renamed in, so that a crash leaves the old list or the new one."""
        if self.kept is None:
            return
        beside = self.kept.with_suffix(".new")
        try:
            with beside.open("wb") as file:
                file.write(self.roster.to_bytes(wall_clock_us()))
                file.flush()
                os.fsync(file.fileno())
            beside.replace(self.kept)
        except OSError as problem:
            log.warning("list-not-kept", why=str(problem))

    async def close(self) -> None:
        tasks = [*self._tasks, *([self._watching] if self._watching else [])]
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
