"""Every index of the server table equals the plain computation, after any order of changes."""

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

from .fleet import DrivenFront, facts

CELLS = 6
COLD = 1000
numbers = st.integers(1, 12)
SESSION: Any = object()


class TableMachine(RuleBasedStateMachine):
    """Changes one table; servers outlive their rows here as they do in a front."""

    def __init__(self) -> None:
        super().__init__()
        self.plant = facts(12, racks=CELLS).plant
        self.table = ServerTable(self.plant)
        self.now = 0

    def server(self, number: int) -> Server | None:
        return self.table.get(number)

    @rule(
        number=numbers,
        cell=st.integers(0, CELLS - 1),
        state=st.sampled_from(list(ServerState)),
        weight=st.floats(0.5, 4.0),
        started=st.sampled_from((0, 1)),
    )
    def tell_row(self, number: int, cell: int, state: ServerState, weight: float, started: int) -> None:
        row = ev.ServerRow(number, 0, 0, cell, state, weight, started * self.now)
        held = self.table.get(number) or self.table.add(row)
        self.table.update_row(held, row)

    @rule(number=numbers, request=st.integers(1, 3))
    def begin_session(self, number: int, request: int) -> None:
        if (server := self.server(number)) is not None:
            server.sessions[request] = SESSION
            self.table.sessions_changed(server)

    @rule(number=numbers, request=st.integers(1, 3))
    def end_session(self, number: int, request: int) -> None:
        if (server := self.server(number)) is not None and request in server.sessions:
            del server.sessions[request]
            self.table.sessions_changed(server)

    @rule(number=numbers, taken=st.integers(0, 500), ratio=st.floats(0.0, 3.0))
    def report(self, number: int, taken: int, ratio: float) -> None:
        if (server := self.server(number)) is not None:
            server.link.add_report(max(self.now - taken, 0), ratio)
            self.table.reports_changed(server)

    @rule(number=numbers)
    def forget_reports(self, number: int) -> None:
        if (server := self.server(number)) is not None:
            server.link.reports = []
            self.table.reports_changed(server)

    @rule(passed=st.integers(1, 400))
    def wait(self, passed: int) -> None:
        self.now += passed

    @rule()
    def tell_all(self) -> None:
        assert self.table.in_use() == [s for s in self.table.take_unsent() if s.sessions]

    @invariant()
    def indices_are_the_plain_computation(self) -> None:
        every, table = list(self.table.by_number.values()), self.table
        running = [s for s in every if s.row.state is not ServerState.GONE]
        ready = [s for s in every if s.row.state is ServerState.READY]
        assert table.ready == ready
        assert sorted(table.running) == sorted(s.row.server for s in running)
        assert table.by_rack == [[s for s in running if s.row.cell % CELLS == r] for r in range(CELLS)]
        for home in range(CELLS):
            for span in (1, 2, CELLS, CELLS + 1):
                held = [s for s in ready if self.plant.holds(s.row.cell, home, span)]
                assert table.holders(home, span) == held
        assert table.in_use() == [s for s in every if s.sessions]

    @invariant()
    def sums_are_the_plain_sums(self) -> None:
        every, since = list(self.table.by_number.values()), self.now - 300
        loads = [s.link.reports[-1][1] for s in every if s.link.reports and s.link.reports[-1][0] > since]
        mean = self.table.mean_reported_load(since)
        assert mean is None if not loads else mean == pytest.approx(sum(loads) / len(loads))
        assert self.table.total_kb == pytest.approx(sum(s.link.capacity_kb for s in every))
        cold = {s.row.server for s in self.table.cold_servers(self.now, COLD)}
        told = {s.row.server for s in every if s.row.started_at and self.now - s.process_started_at() < COLD}
        assert cold >= {s for s in told if self.table.by_number[s].row.state is ServerState.READY}


TestServerTable = TableMachine.TestCase
TestServerTable.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_servers_that_have_gone_are_forgotten_but_for_those_with_sessions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_table, "MAX_GONE_SERVERS", 10)
    driven = DrivenFront(facts(100), 100)
    _, server = driven.start(3)
    rows = [ev.ServerRow(n, 0, 0, n % 20, ServerState.GONE, 1.0, 0) for n in range(1, 101)]
    driven.do(ev.ServerNews(ev.NewsScope.CHANGES, tuple(rows)))
    assert len(driven.front.servers) <= 11 and server in driven.front.servers
