"""Group commit: many records wait for one sync, which runs beside the event loop."""

import asyncio
from collections.abc import Callable

import structlog

from ponddoor.store.files import DiskError
from ponddoor.store.journal import Journal, StoppedError

CLOSE_LIMIT_S = 2.0  # for a write that is under way
log = structlog.get_logger("store")


class Committer:
    """Commits whatever was appended, again and again, while there is something.

    `durable` is told the newest number, `failed` why nothing will become durable any more; a full disk is
    tried again every `again` seconds."""

    def __init__(
        self,
        journal: Journal,
        durable: Callable[[int], None],
        failed: Callable[[str], None],
        again: float = 0.5,
    ) -> None:
        self._journal, self._durable, self._failed, self._again = journal, durable, failed, again
        self._task: asyncio.Task[None] | None = None
        self._wanted = False
        self.full = 0

    def wake(self) -> None:
        """Something was appended."""
        self._wanted = True
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._wanted:
            self._wanted = False
            try:
                batch = self._journal.take()
                written = await asyncio.to_thread(self._journal.write, batch)
                self._durable(self._journal.settle(written))
            except DiskError as problem:
                if not problem.full or self._journal.failure:
                    self._failed(str(problem))
                    return
                self.full += 1
                self._wanted = True
                await asyncio.sleep(self._again)
            except StoppedError as problem:
                self._failed(str(problem))
                return

    async def close(self) -> None:
        """Let a write that is under way end, and say what its end came to if nobody was told."""
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=CLOSE_LIMIT_S)
            if self._task.done() and not self._task.cancelled() and (problem := self._task.exception()):
                log.error("commit-failed", exc_info=problem)
        self._journal.close()
