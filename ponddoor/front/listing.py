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
from ponddoor.front.pump import Apply
from ponddoor.front.roster import Entry, GapError, ListMessage, Roster, decode
from ponddoor.interface import events as ev
from ponddoor.settings.site import Site
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool

SECOND = 1_000_000
log = structlog.get_logger("list")


@dataclass(slots=True)
class ListKeeper:
    """Feeds one front's engine with the list. `learned` is told the entries in hand after each change."""

    site: Site
    me: int
    roster: Roster
    engine: Engine
    apply: Apply
    learned: Callable[[dict[int, Entry]], None]
    kept: Path | None
    reachable: bool = False
    failures: int = 0
    _watching: asyncio.Task[None] | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def begin(self) -> None:
        """The list that was kept, or none; then the news, where it is pushed."""
        kept = self.kept.read_bytes() if self.kept is not None and self.kept.exists() else b""
        if kept and not self.roster.restore(kept):
            log.warning("kept-list-damaged", file=str(self.kept))
        rows = self.roster.rows()
        self.learned(self.roster.entries)
        self.apply(lambda now: self.engine.news(now, ev.NewsScope.CACHED, rows))
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
        host, port = self.site.listing.address
        return Pool(host, port, 4, 1.0, 5.0, most_body=50_000_000)

    async def _watch(self) -> None:
        """Where the list is pushed it is asked for again and again; where it is asked, the decisions ask."""
        once = self.site.facts.asked_discovery
        silence, retry = self.site.listing.silence / SECOND, self.site.listing.retry / SECOND
        while True:
            pool = self._pool()
            path = f"/watch?front={self.me}&list={self.roster.list_id}&version={self.roster.version}"
            try:
                async for line in pool.lines(path, silence, 50_000_000):
                    message = decode(line)
                    if not self.reachable:
                        self.reachable = True
                        log.info("list-reached", version=message.version)
                    self._take(message)
            except GapError as problem:
                log.info("list-gap", why=str(problem))
                self.roster.list_id, self.roster.version = "", 0
                if not once:
                    continue
            except (BrokenError, LateError, NotSentError, msgspec.MsgspecError) as problem:
                self.failures += 1
                if self.reachable:
                    self.reachable = False
                    log.warning("list-out-of-reach", why=str(problem), version=self.roster.version)
            finally:
                pool.close()
            if once:
                self.apply(lambda now: self.engine.news(now, ev.NewsScope.FAILED, ()))
                return
            await asyncio.sleep(retry)

    async def _fetch(self) -> None:
        pool = self._pool()
        try:
            answer = await pool.request("GET", "/servers", timeout=2.0)
            message = decode(answer.body)
            if (message.list_id, message.version) != (self.roster.list_id, self.roster.version):
                self._take(message)
        except (BrokenError, LateError, NotSentError, GapError, msgspec.MsgspecError):
            self.failures += 1
            self.apply(lambda now: self.engine.news(now, ev.NewsScope.FAILED, ()))
        finally:
            pool.close()

    def _take(self, message: ListMessage) -> None:
        got = self.roster.take(message)
        if got is None:
            return
        scope, rows = got
        self.learned(self.roster.entries)
        self.apply(lambda now: self.engine.news(now, scope, rows))
        self._keep()

    def _keep(self) -> None:
        """Written beside and renamed in, so that a crash leaves the old list or the new one."""
        if self.kept is None:
            return
        beside = self.kept.with_suffix(".new")
        try:
            with beside.open("wb") as file:
                file.write(self.roster.to_bytes())
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
