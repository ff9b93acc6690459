"""Messages that are received in part: their bytes are held within a budget over all connections."""

import asyncio
import struct
from typing import Any

import pytest

from ponddoor.node.partial_messages import MIN_BUDGET_BYTES, PartialMessages, partial_budget_bytes
from ponddoor.node.viewer_connection import ViewerConnection

from .conftest import Harness, setup_request
from .test_crossings import RawViewer, run_steps, start_node

MB = 1 << 20
PARTIAL_MESSAGE = struct.pack(">HB", 16_000, 1) + bytes(10_000)


@pytest.fixture
def harness(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(tmp_path, monkeypatch)


def connection(trusted: bool = False) -> ViewerConnection:
    made = ViewerConnection(None)  # type: ignore[arg-type]
    made.trusted = trusted
    return made


def test_budget_is_a_part_of_the_memory_that_is_left() -> None:
    assert partial_budget_bytes(64, 32 * 1024) == 8 * MB
    assert partial_budget_bytes(32, 40 * 1024) == MIN_BUDGET_BYTES


def test_longest_waiting_stranger_is_closed_first_and_a_viewer_with_sessions_last() -> None:
    held = PartialMessages(budget_bytes=100)
    served, first, second = connection(trusted=True), connection(), connection()
    for one in (served, first, second):
        held.update(one, 40, is_new=True)
    assert held.excess() is first
    held.update(first, 40, is_new=True)  # another message of it
    assert held.excess() is second
    held.remove(second)
    assert held.excess() is None and held.total_bytes == 80
    held.update(served, 90, is_new=False)
    held.remove(first)
    held.update(served, 101, is_new=False)
    assert held.excess() is served
    held.update(served, 0, is_new=False)
    assert held.total_bytes == 0


def test_bytes_of_partial_messages_stay_within_their_budget(harness: Harness) -> None:
    """A process with 900 such connections held 17 MB more than its limit."""

    async def steps(harness: Harness) -> None:
        await start_node(harness, "server_count=1")
        node = harness.node.viewers
        node.partial_messages.budget_bytes = 5 * len(PARTIAL_MESSAGE)
        usual = RawViewer(harness)
        usual.send(setup_request("1"))
        await harness.step("S", "receives", "new", "1")
        await harness.step("S", "answers", "1")
        assert (await usual.receive())[0] == 9
        usual.send(setup_request("2")[:30])
        bad = [RawViewer(harness) for _ in range(20)]
        for viewer in bad:
            viewer.send(PARTIAL_MESSAGE)
        while node.counts.get("partial-messages-too-large", 0) < 16:
            await asyncio.sleep(0.001)
        assert node.partial_messages.total_bytes <= node.partial_messages.budget_bytes
        assert await bad[0].receive() == b""
        usual.send(setup_request("2")[30:])
        await harness.step("S", "receives", "new", "2")

    run_steps(harness, steps)
