"""Releases to servers whose connection delivers nothing of what the node writes, and stays open."""

import asyncio
from typing import Any

import pytest

from .conftest import Connection, Harness, MediaServer, encode_message, encode_parameter, session_id
from .test_crossings import RawViewer, connect_proven_viewer, run_steps, start_node

SERVER = 1
ENDED_BY_VIEWER = b"\x1f"
RELEASE_LIMIT_S = 8.05
UNREAD_S = 1.5  # longer than a release once took to count as read


@pytest.fixture
def harness(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(tmp_path, monkeypatch)


async def set_up_two(harness: Harness) -> RawViewer:
    """Sessions 1 and 2 stand at the one server."""
    await start_node(harness, "server_count=1")
    viewer = await connect_proven_viewer(harness)
    for number in ("1", "2"):
        await harness.step("v", "requests", number)
        await harness.step("S", "receives", "new", number)
        await harness.step("S", "answers", number)
        await harness.step("v", "receives", "playing", number)
    return viewer


def viewer_ends(viewer: RawViewer, number: str) -> None:
    viewer.send(encode_message(12, number, encode_parameter(143, ENDED_BY_VIEWER)))


async def receive_release(server: MediaServer, connection: Connection, number: str) -> None:
    """A release of this session comes on another connection than this one."""
    async with asyncio.timeout(RELEASE_LIMIT_S):
        while True:
            received_on, message = await server.received.get()
            if (message["t"], message["ref"]) == (
                "down",
                session_id(number),
            ) and received_on is not connection:
                return


def test_release_is_sent_again_when_its_connection_is_reset_long_after_it(harness: Harness) -> None:
    """It counted as read a second after it was written, and its session stood at the server for good."""

    async def steps(harness: Harness) -> None:
        viewer = await set_up_two(harness)
        server = harness.media_servers[SERVER]
        unread = server.connections[-1]
        viewer_ends(viewer, "1")
        await asyncio.sleep(UNREAD_S)
        unread.abort()
        await receive_release(server, unread, "1")

    run_steps(harness, steps)


def test_release_that_an_acknowledging_server_leaves_unacknowledged_is_sent_again(harness: Harness) -> None:
    """Nothing else was under way to the server, so nothing told that the connection delivers nothing."""

    async def steps(harness: Harness) -> None:
        viewer = await set_up_two(harness)
        server = harness.media_servers[SERVER]
        unread = server.connections[-1]
        viewer_ends(viewer, "1")
        await harness.step("S", "receives", "down", "1", "c=31")
        server.write({"t": "ack", "ref": session_id("1"), "f": {}})
        viewer_ends(viewer, "2")
        await receive_release(server, unread, "2")

    run_steps(harness, steps)
