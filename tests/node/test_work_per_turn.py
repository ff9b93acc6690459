"""The node's shells: what a change of the list, a connect and a look cost does not grow with servers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from ponddoor.front.effects import Ask
from ponddoor.front.engine import Engine
from ponddoor.front.limits import Gate, LagMeter
from ponddoor.front.pump import Pump, clock
from ponddoor.front.roster import Entry, ListMessage, Roster
from ponddoor.node.servers import MAX_NEEDED_OVER_LIMIT, MAX_SESSIONS_ENDED_PER_TURN, Servers
from ponddoor.obligations.lease import SILENT_LIMIT
from ponddoor.settings.site import loads
from tests.front.conftest import site_text
from tests.many_servers.fleet import SECOND, DrivenFront, facts, steps_of

COUNTS = (200, 3200, 12_800)
GROWTH = 1.5
CHANGED_ROWS = 20


class Shell:
    """A node's servers and list without its sockets."""

    def __init__(self, servers: int) -> None:
        driven = DrivenFront(facts(servers), servers)
        self.roster = Roster(("north",), ("box",), driven.site.plant.cells, 0)
        engine = Engine(driven.front, driven.site, Gate(loads(site_text()).limits, LagMeter(1 << 60)))
        pump = Pump(engine, lambda effect: None)
        self.servers = Servers(engine, pump.apply, ("g",), SECOND // 4)
        self.entries = [entry(number, driven.site.plant.cells) for number in range(1, servers + 1)]
        self.tell(self.entries, None)

    def tell(self, entries: list[Entry], since: int | None) -> None:
        change = self.roster.take(ListMessage("l", self.roster.version + 1, entries, since))
        assert change is not None
        self.servers.apply_list_change(change)


def entry(number: int, cells: int, state: str = "ready") -> Entry:
    return Entry(number, f"127.0.0.1:{1 + number % 60_000}", "north", "box", number % cells, state, 1.0)


def test_connections_to_servers_that_are_all_needed_are_bounded() -> None:
    async def run() -> None:
        shell = Shell(200)
        shell.servers.max_connections = 20
        for link in shell.servers.links.values():
            link.connect()
        assert len(shell.servers.open_links) == 20 + MAX_NEEDED_OVER_LIMIT
        assert shell.servers.counts["no-room"] == 200 - 20 - MAX_NEEDED_OVER_LIMIT

    asyncio.run(run())


def test_sessions_at_many_servers_that_fall_silent_together_end_in_bounded_turns() -> None:
    async def run() -> None:
        shell, sessions, began_at = Shell(200), 2000, clock()
        engine = shell.servers.engine
        for number in range(sessions):
            server = 1 + number % 200
            shell.servers.apply(
                lambda now, number=number, server=server: engine.handed_over(  # type: ignore[misc]
                    now, f"{number:016x}", Ask("t", 0, 0, 0, 8, 9, 3 * SECOND), server
                )
            )
            shell.servers.mark_used(shell.servers.links[server])
        for look in range(0, SILENT_LIMIT + SECOND // 4, SECOND // 4):
            shell.servers.tick(began_at + look, 60 * SECOND)
        assert engine.held == sessions
        shell.servers.tick(began_at + SILENT_LIMIT + SECOND // 2, 60 * SECOND)
        assert engine.held >= sessions - MAX_SESSIONS_ENDED_PER_TURN
        while engine.held:
            before = engine.held
            await asyncio.sleep(0)
            assert before - MAX_SESSIONS_ENDED_PER_TURN <= engine.held < before
        for link in shell.servers.links.values():
            link.close()

    asyncio.run(run())


def list_change(shell: Shell) -> int:
    """Twenty rows of the list change their state."""
    changed = [entry(number, shell.roster.cells, "draining") for number in range(1, CHANGED_ROWS + 1)]
    return steps_of(lambda: shell.tell(changed, shell.roster.version))


def tick(shell: Shell) -> int:
    """The look that comes each quarter of a second."""
    return steps_of(lambda: shell.servers.tick(clock(), 20 * SECOND))


def connect(shell: Shell) -> int:
    """A connection to one server begins."""
    return steps_of(shell.servers.links[7].connect)


def enable_setups(shell: Shell) -> int:
    """SETUPs may go out."""
    return steps_of(shell.servers.enable_setups)


@pytest.mark.parametrize(
    "event", [list_change, tick, connect, enable_setups], ids=lambda event: event.__name__
)
def test_work_of_the_shell_does_not_grow_with_servers(event: Callable[[Shell], int]) -> None:
    steps = {}
    for count in COUNTS:

        async def run(count: int = count) -> int:
            return event(Shell(count))

        play: Coroutine[Any, Any, int] = run()
        steps[count] = asyncio.run(play)
    assert max(steps.values()) <= GROWTH * steps[COUNTS[0]], steps
