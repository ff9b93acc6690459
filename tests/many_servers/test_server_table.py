"""Every index of the server table equals a plain computation, after any sequence of changes."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ponddoor import server_table
from ponddoor.interface import events as ev
from ponddoor.interface.events import ServerState
from ponddoor.server_table import ServerTable
from ponddoor.state import Server

from .harness import FrontHarness, make_facts

CELLS = 6
COLD_US = 1000
SERVER_NUMBERS = st.integers(1, 12)
SESSION: Any = object()  # the table does not look into sessions


class TableMachine(RuleBasedStateMachine):
    """Makes random changes to one table. As in a front, a server that is gone stays known."""

    def __init__(self) -> None:
        super().__init__()
        self.plant = make_facts(12, racks=CELLS).plant
        self.table = ServerTable(self.plant)
        self.now = 0

    def server(self, number: int) -> Server | None:
        return self.table.get(number)

    @rule(
        number=SERVER_NUMBERS,
        cell=st.integers(0, CELLS - 1),
        state=st.sampled_from(list(ServerState)),
        weight=st.floats(0.5, 4.0),
        started=st.sampled_from((0, 1)),
    )
    def put_row(self, number: int, cell: int, state: ServerState, weight: float, started: int) -> None:
        row = ev.ServerRow(number, 0, 0, cell, state, weight, started * self.now)
        server = self.table.get(number) or self.table.add(row)
        self.table.update_row(server, row)

    @rule(number=SERVER_NUMBERS, request=st.integers(1, 3))
    def begin_session(self, number: int, request: int) -> None:
        if (server := self.server(number)) is not None:
            server.sessions[request] = SESSION
            self.table.sessions_changed(server)

    @rule(number=SERVER_NUMBERS, request=st.integers(1, 3))
    def end_session(self, number: int, request: int) -> None:
        if (server := self.server(number)) is not None and request in server.sessions:
            del server.sessions[request]
            self.table.sessions_changed(server)

    @rule(number=SERVER_NUMBERS, age=st.integers(0, 500), ratio=st.floats(0.0, 3.0))
    def report(self, number: int, age: int, ratio: float) -> None:
        if (server := self.server(number)) is not None:
            server.link.add_report(max(self.now - age, 0), ratio)
            self.table.reports_changed(server)

    @rule(number=SERVER_NUMBERS)
    def forget_reports(self, number: int) -> None:
        if (server := self.server(number)) is not None:
            server.link.reports = []
            self.table.reports_changed(server)

    @rule(duration=st.integers(1, 400))
    def wait(self, duration: int) -> None:
        self.now += duration

    @rule()
    def take_unsent(self) -> None:
        assert self.table.in_use() == [s for s in self.table.take_unsent() if s.sessions]

    @invariant()
    def indices_equal_the_plain_computation(self) -> None:
        servers, table = list(self.table.by_number.values()), self.table
        running = [s for s in servers if s.row.state is not ServerState.GONE]
        ready = [s for s in servers if s.row.state is ServerState.READY]
        assert table.ready == ready
        assert sorted(table.running) == sorted(s.row.server for s in running)
        assert table.by_rack == [[s for s in running if s.row.cell % CELLS == r] for r in range(CELLS)]
        for home in range(CELLS):
            for span in (1, 2, CELLS, CELLS + 1):
                expected = [s for s in ready if self.plant.holds(s.row.cell, home, span)]
                assert table.holders(home, span) == expected
        assert table.in_use() == [s for s in servers if s.sessions]

    @invariant()
    def sums_equal_the_plain_sums(self) -> None:
        servers, since = list(self.table.by_number.values()), self.now - 300
        loads = [s.link.reports[-1][1] for s in servers if s.link.reports and s.link.reports[-1][0] > since]
        mean = self.table.mean_reported_load(since)
        assert mean is None if not loads else mean == pytest.approx(sum(loads) / len(loads))
        assert self.table.total_capacity_kb == pytest.approx(sum(s.link.capacity_kb for s in servers))
        cold = {s.row.server for s in self.table.cold_servers(self.now, COLD_US)}
        restarted = {
            s.row.server for s in servers if s.row.started_at and self.now - s.process_started_at() < COLD_US
        }
        assert cold >= {s for s in restarted if self.table.by_number[s].row.state is ServerState.READY}


TestServerTable = TableMachine.TestCase
TestServerTable.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_gone_servers_without_sessions_are_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_table, "MAX_GONE_SERVERS", 10)
    harness = FrontHarness(make_facts(100), 100)
    _, server = harness.start(3)
    rows = [ev.ServerRow(n, 0, 0, n % 20, ServerState.GONE, 1.0, 0) for n in range(1, 101)]
    harness.feed(ev.ServerNews(ev.NewsScope.CHANGES, tuple(rows)))
    assert len(harness.front.servers) <= 11 and server in harness.front.servers
