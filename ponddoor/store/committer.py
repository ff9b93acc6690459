"""Group commit: the records appended during one sync share the next.

The sync runs in a thread, so that it does not block the event loop."""

import asyncio
from collections.abc import Callable

import structlog

from ponddoor.store.files import DiskError
from ponddoor.store.journal import Journal, StoppedError

CLOSE_TIMEOUT_S = 2.0  # for a write in progress
log = structlog.get_logger("store")


class Committer:
    """Commits the records of a journal until none are pending.

    `on_durable` is called after each commit with the number of the last durable record. `on_failure` is
    called with the reason when the journal has failed and no more records will become durable. While the disk
    is full, the commit is retried every `retry_delay_s` seconds."""

    def __init__(
        self,
        journal: Journal,
        on_durable: Callable[[int], None],
        on_failure: Callable[[str], None],
        retry_delay_s: float = 0.5,
    ) -> None:
        self._journal, self._on_durable, self._on_failure, self._retry_delay_s = (
            journal,
            on_durable,
            on_failure,
            retry_delay_s,
        )
        self._task: asyncio.Task[None] | None = None
        self._commit_requested = False
        self.full_disk_errors = 0

    def wake(self) -> None:
        """Starts a commit of the appended records. To be called after each append, on the event loop."""
        self._commit_requested = True
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._commit_requested:
            self._commit_requested = False
            try:
                batch = self._journal.take_batch()
                written = await asyncio.to_thread(self._journal.write_batch, batch)
                self._on_durable(self._journal.mark_durable(written))
            except DiskError as error:
                if not error.full or self._journal.failure:
                    self._on_failure(str(error))
                    return
                self.full_disk_errors += 1
                self._commit_requested = True
                await asyncio.sleep(self._retry_delay_s)
            except StoppedError as error:
                self._on_failure(str(error))
                return

    async def close(self) -> None:
        """Waits at most CLOSE_TIMEOUT_S for a commit in progress, logs an exception that ended it, and closes
        the journal."""
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=CLOSE_TIMEOUT_S)
            if self._task.done() and not self._task.cancelled() and (error := self._task.exception()):
                log.error("commit-failed", exc_info=error)
        self._journal.close()
