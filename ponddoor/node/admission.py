"""Submits the requests that were read to the engine: a few in each turn of the event loop, in turn over the
viewers' connections. What can't be worked off soon is refused at once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ponddoor.front.effects import ViewerRequest
from ponddoor.front.pump import after_pending_reads, clock
from ponddoor.node.viewer_connection import ViewerConnection
from ponddoor.obligations.request_queue import RequestCost, RequestQueue

MAX_SUBMITTED_PER_TURN = 4
MAX_SUBMITTED_WHILE_BEHIND = 1  # fewer than the timers that run in a turn, so that these catch up
MAX_TURN_COST_US = 100_000  # a longer turn is a stall: it says nothing of the requests that come next
MAX_REFUSED_PER_TURN = 8  # a refusal takes about a tenth of the work of a decision


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it was read."""

    connection: ViewerConnection
    session: str
    viewer_request: ViewerRequest
    read_at: int


@dataclass(slots=True)
class Admission:
    """The requests between their reading and their submission.

    A request that would wait for longer than `max_wait` microseconds, by the measured cost of those before
    it, is refused: the newest of the connection that has most waiting, so that a client that asks for too
    much is refused and the others are not. What is accepted already goes first: while the engine's timers
    are overdue, fewer requests are submitted."""

    submit: Callable[[ReceivedRequest], bool]  # returns whether it had not ended yet
    refuse: Callable[[ReceivedRequest], None]
    is_behind: Callable[[int], bool]  # whether work for accepted requests was due before this time
    max_wait: int
    queue: RequestQueue[ViewerConnection, ReceivedRequest] = field(default_factory=RequestQueue)
    cost: RequestCost = field(default_factory=RequestCost)
    _batch: list[ReceivedRequest] = field(default_factory=list)
    _turn_scheduled: bool = False
    _last_turn_at: int = 0
    _submitted_last: int = 0

    def received(self, request: ReceivedRequest) -> None:
        """Queue a request once all input that has arrived by now is read.

        A request that is withdrawn by input that arrived with it does not reach the engine, where it would
        count as an arrival; the rate of arrivals paces the probes."""
        if not self._batch:
            batch = self._batch
            asyncio.get_running_loop().call_soon(self._close_batch)
            after_pending_reads(lambda: self._enqueue(batch))
        self._batch.append(request)

    def ended(self, connection: ViewerConnection, session: str) -> None:
        """A request has ended before it was submitted."""
        self.queue.discard(connection, session)

    def connection_ended(self, connection: ViewerConnection) -> None:
        """The requests of a connection have ended with it."""
        self.queue.discard_connection(connection)

    def _close_batch(self) -> None:
        self._batch = []

    def _enqueue(self, batch: list[ReceivedRequest]) -> None:
        for request in batch:
            self.queue.add(request.connection, request.session, request)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self.queue and not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._turn_scheduled = False
        now = clock()
        if self._submitted_last:
            self._record_cost(now - self._last_turn_at)
        self._refuse_excess()
        self._last_turn_at, self._submitted_last = now, 0
        limit = MAX_SUBMITTED_WHILE_BEHIND if self.is_behind(now) else MAX_SUBMITTED_PER_TURN
        while self._submitted_last < limit and (request := self.queue.take()) is not None:
            self._submitted_last += self.submit(request)
        if not self.queue:  # the time until the next request comes is no work
            self._record_cost(clock() - now)
            self._submitted_last = 0
        self._schedule_turn()

    def _record_cost(self, elapsed_us: int) -> None:
        self.cost.record(min(elapsed_us, MAX_TURN_COST_US), self._submitted_last)

    def _refuse_excess(self) -> None:
        max_waiting = max(self.max_wait / self.cost.mean_us, MAX_SUBMITTED_PER_TURN)
        for _ in range(MAX_REFUSED_PER_TURN):
            if len(self.queue) <= max_waiting:
                return
            request = self.queue.take_from_longest()
            if request is not None:
                self.refuse(request)
