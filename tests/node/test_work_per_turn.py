"""The cost of a list change, a connect and a tick of a node does not grow with the number of servers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from ponddoor.front.effects import ViewerRequest
from ponddoor.front.engine import Engine
from ponddoor.front.limits import AdmissionGate, LagMeter
from ponddoor.front.pump import Pump, clock
from ponddoor.front.roster import Entry, ListMessage, Roster
from ponddoor.node.servers import MAX_NEEDED_OVER_LIMIT, MAX_SESSIONS_ENDED_PER_TURN, Servers
from ponddoor.obligations.lease import LEASE_DURATION_US
from ponddoor.settings.site import loads
from tests.front.conftest import site_text
from tests.many_servers.harness import SECOND, FrontHarness, lines_run_by, make_facts

SERVER_COUNTS = (200, 3200, 12_800)
MAX_GROWTH = 1.5
CHANGED_ROWS = 20


class ServerSide:
    """The server list and the links of a node, without sockets."""

    def __init__(self, servers: int) -> None:
        driven = FrontHarness(make_facts(servers), servers)
        self.roster = Roster(("north",), ("box",), driven.site.plant.cells, 0)
        engine = Engine(
            driven.front, driven.site, AdmissionGate(loads(site_text()).limits, LagMeter(1 << 60))
        )
        pump = Pump(engine, lambda effect: None)
        self.servers = Servers(engine, pump.apply, ("g",), SECOND // 4)
        self.entries = [entry(number, driven.site.plant.cells) for number in range(1, servers + 1)]
        self.update_list(self.entries, None)

    def update_list(self, entries: list[Entry], since: int | None) -> None:
        change = self.roster.take(ListMessage("l", self.roster.version + 1, entries, since))
        assert change is not None
        self.servers.apply_list_change(change)


def entry(number: int, cells: int, state: str = "ready") -> Entry:
    return Entry(number, f"127.0.0.1:{1 + number % 60_000}", "north", "box", number % cells, state, 1.0)


def test_connections_that_are_all_needed_are_limited() -> None:
    async def run() -> None:
        server_side = ServerSide(200)
        server_side.servers.max_connections = 20
        for link in server_side.servers.links.values():
            link.connect()
        assert len(server_side.servers.open_links) == 20 + MAX_NEEDED_OVER_LIMIT
        assert server_side.servers.counts["no-room"] == 200 - 20 - MAX_NEEDED_OVER_LIMIT

    asyncio.run(run())


def test_few_sessions_end_per_turn_when_many_servers_fall_silent_at_once() -> None:
    async def run() -> None:
        server_side, sessions, started_at = ServerSide(200), 2000, clock()
        engine = server_side.servers.engine
        for number in range(sessions):
            server = 1 + number % 200
            server_side.servers.apply(
                lambda now, number=number, server=server: engine.handed_over(  # type: ignore[misc]
                    now, f"{number:016x}", ViewerRequest("t", 0, 0, 0, 8, 9, 3 * SECOND), server
                )
            )
            server_side.servers.mark_used(server_side.servers.links[server])
        for elapsed in range(0, LEASE_DURATION_US + SECOND // 4, SECOND // 4):
            server_side.servers.tick(started_at + elapsed, 60 * SECOND)
        assert engine.sessions_held == sessions
        server_side.servers.tick(started_at + LEASE_DURATION_US + SECOND // 2, 60 * SECOND)
        assert engine.sessions_held >= sessions - MAX_SESSIONS_ENDED_PER_TURN
        while engine.sessions_held:
            held_before = engine.sessions_held
            await asyncio.sleep(0)
            assert held_before - MAX_SESSIONS_ENDED_PER_TURN <= engine.sessions_held < held_before
        for link in server_side.servers.links.values():
            link.close()

    asyncio.run(run())


def list_change(server_side: ServerSide) -> int:
    """The steps of a list change in which CHANGED_ROWS servers start to drain."""
    changed = [entry(number, server_side.roster.cells, "draining") for number in range(1, CHANGED_ROWS + 1)]
    return lines_run_by(lambda: server_side.update_list(changed, server_side.roster.version))


def tick(server_side: ServerSide) -> int:
    """The steps of the tick, which runs every quarter of a second."""
    return lines_run_by(lambda: server_side.servers.tick(clock(), 20 * SECOND))


def connect(server_side: ServerSide) -> int:
    """The steps of starting to connect to one server."""
    return lines_run_by(server_side.servers.links[7].connect)


def enable_setups(server_side: ServerSide) -> int:
    """The steps of allowing SETUPs."""
    return lines_run_by(server_side.servers.enable_setups)


@pytest.mark.parametrize(
    "event", [list_change, tick, connect, enable_setups], ids=lambda event: event.__name__
)
def test_work_does_not_grow_with_the_number_of_servers(event: Callable[[ServerSide], int]) -> None:
    steps = {}
    for count in SERVER_COUNTS:

        async def run(count: int = count) -> int:
            return event(ServerSide(count))

        measured: Coroutine[Any, Any, int] = run()
        steps[count] = asyncio.run(measured)
    assert max(steps.values()) <= MAX_GROWTH * steps[SERVER_COUNTS[0]], steps
