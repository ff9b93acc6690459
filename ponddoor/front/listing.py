"""The I/O layer towards the server list: a watched stream or fetched copies, and a copy on disk."""

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
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool, UnexpectedStatusError

CONNECT_TIMEOUT_S = 1.0  # for all addresses together
log = structlog.get_logger("list")


@dataclass(slots=True)
class ListClient:
    """Feeds the server list to one front's engine. `on_change` is called with each change."""

    site: Site
    me: int
    roster: Roster
    engine: Engine
    apply: Apply
    on_change: Callable[[ListChange], None]
    cache_path: Path | None
    schedule: ReconnectSchedule
    reachable: bool = False
    failures: int = 0
    due: int = 0  # when the next connection is tried
    _address_index: int = 0
    _watch_task: asyncio.Task[None] | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def begin(self) -> None:
        """Load the list kept on disk, however old, or none; then watch the list if the site has it pushed."""
        data = (
            self.cache_path.read_bytes() if self.cache_path is not None and self.cache_path.exists() else b""
        )
        kept, written = self.roster.restore(data)
        if kept is Kept.WHOLE:
            age_s = max(wall_clock_us() - written, 0) // SECOND if written else None
            log.info(
                "list-at-hand", servers=len(self.roster.entries), age_s=age_s, version=self.roster.version
            )
        elif kept is not Kept.NONE:
            log.warning("kept-list-not-taken", why=kept.value, file=str(self.cache_path))
        restored = self.roster.all()
        self.on_change(restored)
        self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.CACHED, restored.rows))
        self.due = self.schedule.start(clock())
        if not self.site.facts.asked_discovery:
            self.watch(True)

    def watch(self, active: bool) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if active:
            self._watch_task = asyncio.create_task(self._watch())

    def fetch(self) -> None:
        task = asyncio.create_task(self._fetch())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pool(self) -> Pool:
        """A pool for the current address. A failure moves on to the next, as one may be slow or half dead."""
        addresses = (self.site.listing.address, *self.site.listing.others)
        host, port = addresses[(self.me + self._address_index) % len(addresses)]
        return Pool(host, port, 4, CONNECT_TIMEOUT_S / len(addresses), 5.0, max_body_bytes=50_000_000)

    async def _watch(self) -> None:
        """Follow the list: with reconnects if the site has it pushed, else once (the decisions ask again)."""
        only_once = self.site.facts.asked_discovery
        while True:
            await asyncio.sleep(max(self.due - clock(), 0) / SECOND)
            loss, elapsed, min_wait, reason = await self._follow()
            now = clock()
            self.due = self.schedule.lost(now, loss, elapsed, min_wait)
            self._address_index += 1
            if self.reachable or self.failures == 0:
                log.warning(
                    "list-out-of-reach",
                    how=loss.value,
                    why=reason,
                    version=self.roster.version,
                    again_in_ms=(self.due - now) // 1000,
                )
            self.reachable, self.failures = False, self.failures + 1
            if only_once:
                self.apply(lambda now: self.engine.server_news(now, ev.NewsScope.FAILED, ()))
                return

    async def _follow(self) -> tuple[Loss, int, int, str]:
        """Follow the list until the stream ends.

        Returns how it ended, how long ago (us), the wait that the list asked for (us), and the reason."""
        pool, silence_us = self._pool(), self.site.listing.silence
        path = f"/watch?front={self.me}&list={self.roster.list_id}&version={self.roster.version}"
        try:
            async for line in pool.stream_lines(path, silence_us / SECOND, 50_000_000):
                message = decode(line)
                if not self.reachable:
                    self.reachable = True
                    log.info("list-reached", version=message.version, tries=self.schedule.tries)
                self._take(message)
                self.schedule.heard(clock())
        except GapError as error:
            log.info("list-gap", why=str(error))
            self.roster.list_id, self.roster.version = "", 0
            return Loss.BROKEN, 0, 0, str(error)
        except UnexpectedStatusError as error:
            return Loss.TURNED_AWAY, 0, int(error.retry_after_s * SECOND), str(error)
        except LateError as error:
            return Loss.SILENT, silence_us, 0, str(error)
        except NotSentError as error:
            return Loss.REFUSED if error.connection_refused else Loss.LATE, 0, 0, str(error)
        except (BrokenError, msgspec.MsgspecError) as error:
            return Loss.BROKEN, 0, 0, str(error)
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
        self._write_cache()

    def _write_cache(self) -> None:
        """Write the list to a second file and rename it: a crash leaves the old list or the new one."""
        if self.cache_path is None:
            return
        new_path = self.cache_path.with_suffix(".new")
        try:
            with new_path.open("wb") as file:
                file.write(self.roster.to_bytes(wall_clock_us()))
                file.flush()
                os.fsync(file.fileno())
            new_path.replace(self.cache_path)
        except OSError as error:
            log.warning("list-not-kept", why=str(error))

    async def close(self) -> None:
        tasks = [*self._tasks, *([self._watch_task] if self._watch_task else [])]
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
