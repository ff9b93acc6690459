"""Releases of sessions whose viewers' connections deliver nothing: what is written there is not read, and the
connections stay open."""

import asyncio
import socket
import struct
from typing import Any

import pytest

from ponddoor.front import effects as fx

from .conftest import Harness, encode_message, session_id, setup_request
from .test_crossings import RawViewer, connect_proven_viewer, run_steps, start_node

ANSWER, RELEASE, RELEASE_ACK, MOVE = 9, 12, 16, 51
CAUSE_ENDED = "16"
RELEASE_LIMIT_S = 1.05  # the protocol page: 1 s, and 50 ms on sockets
REOPENED_AFTER_S = 1.5
FIRST, SESSION, LATER = "1", "2", "3"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


@pytest.fixture
def harness(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(tmp_path, monkeypatch)


async def start_with_one_server(harness: Harness) -> None:
    await start_node(harness, "server_count=1")


async def set_up(harness: Harness, viewer: RawViewer, number: str) -> None:
    """A session stands that was requested on this connection."""
    viewer.send(setup_request(number))
    await harness.step("S", "receives", "new", number)
    await harness.step("S", "answers", number)
    message = await viewer.receive()
    assert (message[0], message[1:9].hex()) == (ANSWER, session_id(number))


async def receive_end(viewer: RawViewer, number: str, kind: int = RELEASE) -> None:
    """The end of a session comes on this connection, within its limit."""
    async with asyncio.timeout(RELEASE_LIMIT_S):
        while (message := await viewer.receive())[1:9].hex() != session_id(number):
            assert message, "closed"
    assert message[0] == kind


async def acknowledge(harness: Harness, viewer: RawViewer, number: str) -> None:
    viewer.send(encode_message(RELEASE_ACK, number))
    while harness.node.viewers.sessions.delivery.pending:
        await asyncio.sleep(0.001)


async def acknowledge_one_release(harness: Harness, viewer: RawViewer) -> None:
    """A viewer of this process acknowledges the release of another session."""
    await set_up(harness, viewer, FIRST)
    await harness.step("S", "ends", FIRST, CAUSE_ENDED)
    await receive_end(viewer, FIRST)
    await acknowledge(harness, viewer, FIRST)


def reset(viewer: RawViewer) -> None:
    viewer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    viewer.close()


@pytest.mark.parametrize("acknowledged_before", [True, False])
@pytest.mark.parametrize("reset_after_s", [0.1, 0.4, 0.7, 1.5, None])
def test_release_written_to_a_link_that_delivers_nothing_is_heard_on_another(
    harness: Harness, reset_after_s: float | None, acknowledged_before: bool
) -> None:
    """It counted as heard 0.5 s after it was written, unless a viewer had acknowledged another one before."""

    async def steps(harness: Harness) -> None:
        await start_with_one_server(harness)
        sound = await connect_proven_viewer(harness)
        if acknowledged_before:
            await acknowledge_one_release(harness, sound)
        unread = RawViewer(harness)
        await set_up(harness, unread, SESSION)
        await harness.step("S", "ends", SESSION, CAUSE_ENDED)
        if reset_after_s is not None:
            asyncio.get_running_loop().call_later(reset_after_s, reset, unread)
        await receive_end(sound, SESSION)
        await acknowledge(harness, sound, SESSION)

    run_steps(harness, steps)


def test_move_written_to_a_link_that_delivers_nothing_is_heard_on_another(harness: Harness) -> None:
    """Viewers don't acknowledge a move, so it was never sent again."""

    async def steps(harness: Harness) -> None:
        await start_with_one_server(harness)
        sound = await connect_proven_viewer(harness)
        await acknowledge_one_release(harness, sound)
        unread = RawViewer(harness)
        await set_up(harness, unread, SESSION)
        harness.node.viewers.carry_out(fx.Push(SESSION_ID, "moved"))
        await receive_end(sound, SESSION, MOVE)

    run_steps(harness, steps)


@pytest.mark.parametrize("acknowledged_before", [True, False])
@pytest.mark.parametrize("count", [3, 4, 5, 8, 20])
def test_release_is_heard_however_many_links_deliver_nothing(
    harness: Harness, count: int, acknowledged_before: bool
) -> None:
    """It was repeated four times, each time on one connection, the youngest first."""

    async def steps(harness: Harness) -> None:
        await start_with_one_server(harness)
        sound = await connect_proven_viewer(harness)
        if acknowledged_before:
            await acknowledge_one_release(harness, sound)
        unread = [RawViewer(harness) for _ in range(count + 1)]
        for number, viewer in enumerate(unread):
            await set_up(harness, viewer, str(int(LATER) + number))
        await harness.step("S", "ends", LATER, CAUSE_ENDED)
        await receive_end(sound, LATER)

    run_steps(harness, steps)


@pytest.mark.parametrize("acknowledged_before", [True, False])
def test_release_is_heard_on_a_connection_that_opens_after_all_others_deliver_nothing(
    harness: Harness, acknowledged_before: bool
) -> None:
    """Once it had been written four times, or after 0.5 s, it was sent nowhere any more."""

    async def steps(harness: Harness) -> None:
        await start_with_one_server(harness)
        first, second = await connect_proven_viewer(harness), await connect_proven_viewer(harness)
        if acknowledged_before:
            await acknowledge_one_release(harness, first)
        await set_up(harness, second, SESSION)
        await harness.step("S", "ends", SESSION, CAUSE_ENDED)
        await asyncio.sleep(REOPENED_AFTER_S)
        reopened = RawViewer(harness)
        reopened.send(setup_request(LATER))
        await harness.step("S", "receives", "new", LATER)
        await receive_end(reopened, SESSION)

    run_steps(harness, steps)


def test_viewer_that_hands_over_a_session_whose_release_it_has_missed_is_told_again(harness: Harness) -> None:
    """The release had been written to its connection before, so the hand-over was ignored."""

    async def steps(harness: Harness) -> None:
        await start_with_one_server(harness)
        viewer = await connect_proven_viewer(harness)
        await set_up(harness, viewer, SESSION)
        await harness.step("S", "ends", SESSION, CAUSE_ENDED)
        await receive_end(viewer, SESSION)
        viewer.send(setup_request(SESSION, at="s-00000001", wait="0"))
        await receive_end(viewer, SESSION)
        await acknowledge(harness, viewer, SESSION)

    run_steps(harness, steps)


SESSION_ID = session_id(SESSION)
