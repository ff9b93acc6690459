"""A new server at the address of one that is gone: which of the two a session is at, and who releases it."""

import time
from typing import Any

import pytest

from ponddoor.front.roster import Entry, ListMessage
from ponddoor.node.replaced_servers import ReplacedServers

from .conftest import Harness
from .test_crossings import run_steps, start_node

OLD, NEW = 1, 2
RELEASED = "c=31"


@pytest.fixture
def harness(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(tmp_path, monkeypatch)


async def start_with_address_of_the_old_server(harness: Harness) -> None:
    await start_node(harness, "server_count=1", "address_reuse_timeout_us=50000")
    harness.ports[NEW] = harness.ports[OLD]
    await harness.step("b", "is-watched", "1")


async def list_new_server(harness: Harness, revision: int) -> None:
    started_ms = str(time.time() * 1000)
    await harness.step("b", "sends-change", str(revision), str(NEW), "in_service", started_ms)


@pytest.mark.parametrize("first", ["added", "removed"])
def test_session_set_up_at_a_new_server_under_the_old_number_is_released_there(
    harness: Harness, first: str
) -> None:
    """It was ended at its viewer as that of the server that is gone, and stood at the new one for good."""

    async def steps(harness: Harness) -> None:
        await start_with_address_of_the_old_server(harness)
        await harness.step("v", "requests", "1")
        await harness.step("S", "receives", "new", "1")
        await harness.step("S", "answers", "1")
        await harness.step("v", "receives", "playing", "1")
        if first == "added":
            await list_new_server(harness, 2)
        else:
            await harness.step("b", "sends-change", "2", str(OLD), "terminated")
        await harness.step("v", "receives", "lost", "1")
        await harness.step("S", "receives", "down", "1", RELEASED)

    run_steps(harness, steps)


def test_new_server_at_an_old_address_ends_the_old_one_before_the_list_does(harness: Harness) -> None:
    """Set-ups for the old one went to the new one for seconds."""

    async def steps(harness: Harness) -> None:
        await start_with_address_of_the_old_server(harness)
        await list_new_server(harness, 2)
        await harness.step("node", "holds", "servers=1", "listed=1")
        await harness.step("b", "sends-change", "3", str(OLD), "terminated")
        await harness.step("node", "holds", "version=3", "servers=1", "listed=1")
        await harness.step("v", "requests", "1")
        await harness.step("S", "receives", "new", "1")
        await harness.step("S", "answers", "1")
        await harness.step("v", "receives", "playing", "1")
        held = next(iter(harness.node.engine.sessions_at(NEW)))
        assert held.server == NEW

    run_steps(harness, steps)


def test_set_up_that_a_new_server_answers_under_the_old_number_is_released_there(harness: Harness) -> None:
    """Its release was for a server that is gone, and was dropped."""

    async def steps(harness: Harness) -> None:
        await start_with_address_of_the_old_server(harness)
        await harness.step("v", "requests", "1")
        await harness.step("S", "receives", "new", "1")
        await list_new_server(harness, 2)
        await harness.step("S", "receives", "down", "1", RELEASED)

    run_steps(harness, steps)


def entry(server: int, address: str = "127.0.0.1:1", started_us: int = 0, state: str = "ready") -> Entry:
    return Entry(server, address, "north", "box", 0, state, 20.0, started_us)


def change(*entries: Entry) -> ListMessage:
    return ListMessage("list", 2, list(entries), since=1)


def gone(message: ListMessage) -> list[int]:
    return [one.server for one in message.servers if one.state == "gone"]


def test_server_whose_address_a_later_one_has_is_gone() -> None:
    replaced = ReplacedServers()
    assert not gone(replaced.complete(change(entry(OLD), entry(3, "127.0.0.1:3"))))
    assert gone(replaced.complete(change(entry(NEW, started_us=5)))) == [OLD]
    assert gone(replaced.complete(change(entry(OLD)))) == [OLD]
    assert not gone(replaced.complete(change(entry(NEW, started_us=5))))


def test_order_of_two_servers_in_a_whole_list_does_not_matter() -> None:
    for servers in ([entry(OLD), entry(NEW, started_us=5)], [entry(NEW, started_us=5), entry(OLD)]):
        message = ReplacedServers().complete(ListMessage("list", 1, servers))
        assert gone(message) == [OLD] and len(message.servers) == 2


def test_server_with_a_new_address_leaves_the_old_one_free() -> None:
    replaced = ReplacedServers()
    replaced.complete(change(entry(OLD)))
    replaced.complete(change(entry(OLD, "127.0.0.1:9", started_us=3)))
    assert not gone(replaced.complete(change(entry(NEW, started_us=5))))


def test_address_of_a_server_that_the_list_removed_is_free() -> None:
    replaced = ReplacedServers()
    replaced.complete(change(entry(OLD)))
    assert gone(replaced.complete(change(entry(OLD, "", state="gone")))) == [OLD]
    assert not gone(replaced.complete(change(entry(NEW, started_us=5))))
