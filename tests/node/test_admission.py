"""Requests between their reading and their submission, without sockets."""

import asyncio
import time
from typing import cast

from ponddoor.front.effects import ViewerRequest
from ponddoor.front.pump import SECOND, clock
from ponddoor.node.admission import (
    MAX_SUBMITTED_PER_TURN,
    MAX_SUBMITTED_WHILE_BEHIND,
    Admission,
    ReceivedRequest,
)
from ponddoor.node.viewer_connection import ViewerConnection

REQUEST = ViewerRequest("t", 0, 0, 0, 4, 2, 3 * SECOND, None, 1, False, False, "")
MAX_WAIT_US = SECOND // 2
BURST = 300
STALL_S = 0.3


class Worker:
    """Works off requests for some time each. `submitted` and `refused` have their ids in order."""

    def __init__(self, cost_s: float) -> None:
        self.cost_s = cost_s
        self.submitted, self.refused = list[str](), list[str]()
        self.waited_us = dict[str, int]()
        self.is_behind = False
        self.admission = Admission(
            self.submit,
            lambda one: self.refused.append(one.session),
            lambda _: self.is_behind,
            MAX_WAIT_US,
        )

    def submit(self, request: ReceivedRequest) -> bool:
        time.sleep(self.cost_s)
        self.waited_us[request.session] = clock() - request.read_at
        self.submitted.append(request.session)
        return True

    def receive(self, connection: str, count: int) -> None:
        for number in range(count):
            request = ReceivedRequest(
                cast(ViewerConnection, connection), f"{connection}{number}", REQUEST, clock()
            )
            self.admission.received(request)

    async def drain(self, count: int) -> None:
        while len(self.submitted) + len(self.refused) < count:
            await asyncio.sleep(0)


def test_burst_of_one_connection_is_refused_where_it_can_not_be_worked_off_in_time() -> None:
    async def run() -> Worker:
        worker = Worker(0.005)
        worker.receive("burst", BURST)
        for number in range(8):
            worker.receive(f"usual{number}-", 2)
        await worker.drain(BURST + 16)
        return worker

    worker = asyncio.run(run())
    assert worker.refused and all(session.startswith("burst") for session in worker.refused)
    usual = {session: us for session, us in worker.waited_us.items() if session.startswith("usual")}
    assert len(usual) == 16
    # Three rounds of nine connections, whose requests take 5 ms
    assert max(usual.values()) < MAX_WAIT_US


def test_burst_that_can_be_worked_off_in_time_is_not_refused() -> None:
    async def run() -> Worker:
        worker = Worker(0.0)
        worker.receive("burst", BURST)
        await worker.drain(BURST)
        return worker

    assert asyncio.run(run()).refused == []


def test_requests_behind_a_single_stall_are_not_refused() -> None:
    async def run() -> Worker:
        worker = Worker(0.0)
        worker.receive("before", BURST)
        await worker.drain(BURST)
        worker.receive("stalled", 20)
        worker.cost_s = STALL_S
        await worker.drain(BURST + 1)
        worker.cost_s = 0.0
        worker.receive("behind", BURST // 3)
        await worker.drain(BURST + 20 + BURST // 3)
        return worker

    assert asyncio.run(run()).refused == []


def test_other_callbacks_run_between_a_few_requests_of_a_burst() -> None:
    async def run(is_behind: bool) -> int:
        worker = Worker(0.0)
        worker.is_behind = is_behind
        worker.receive("burst", BURST)
        most = before = 0
        while len(worker.submitted) < BURST:
            await asyncio.sleep(0)
            most, before = max(most, len(worker.submitted) - before), len(worker.submitted)
        return most

    assert asyncio.run(run(False)) <= MAX_SUBMITTED_PER_TURN
    assert asyncio.run(run(True)) <= MAX_SUBMITTED_WHILE_BEHIND


def test_request_that_ends_before_its_turn_is_not_submitted() -> None:
    async def run() -> Worker:
        worker = Worker(0.0)
        worker.receive("a", 20)
        for _ in range(5):
            await asyncio.sleep(0)
        for number in range(10, 20):
            worker.admission.ended(cast(ViewerConnection, "a"), f"a{number}")
        await worker.drain(10)
        for _ in range(10):
            await asyncio.sleep(0)
        return worker

    assert asyncio.run(run()).submitted == [f"a{number}" for number in range(10)]
