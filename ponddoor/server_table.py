"""The servers that a front knows, with an index for each question that is asked of many servers at once.

The table makes no decisions. Every index is kept up to date as rows, sessions and reports change, so that the
cost of a query depends only on the servers that it returns or names; `tests/many_servers` compares each index
with a plain computation. "In order" means the order in which the list of servers first named them. Times are
in microseconds, rates in kB a second."""

import bisect
import heapq
from collections.abc import Iterable
from operator import attrgetter

from ponddoor.interface import events as ev
from ponddoor.interface.events import ServerState
from ponddoor.interface.facts import Plant
from ponddoor.state import LinkState, Server

MAX_GONE_SERVERS = 1024  # servers that are gone from the list and still known
# The heap of reports is rebuilt when it is longer than twice the current reports plus this.
REPORT_HEAP_SLACK = 64
# Sums are integers in units of 1 / FIXED_POINT_SCALE. Every float over 1e-8 is a whole number of them, so
# that adding and subtracting values does not accumulate rounding errors.
FIXED_POINT_SCALE = 1 << 80

_by_order = attrgetter("order")


class ServerTable:
    """All known servers by number, and their indices.

    `ready` and `by_rack` are in order; `by_rack` and `running` have all servers that are not gone. `unsent`
    has the servers with changes that other fronts have not been sent yet."""

    def __init__(self, plant: Plant) -> None:
        self.plant = plant
        self.by_number: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.by_rack: list[list[Server]] = [[] for _ in range(plant.racks or 1)]
        self.running: dict[int, Server] = {}
        self.unsent: dict[int, Server] = {}
        self._by_cell: dict[int, list[Server]] = {}  # ready servers, by cell modulo the site's cells
        self._in_use: dict[int, Server] = {}
        self._possibly_cold: dict[int, Server] = {}
        self._gone_numbers: dict[int, None] = {}  # oldest first
        self._next_order = 0
        self._total_capacity_fixed = 0
        self._last_reports: dict[int, tuple[int, float]] = {}  # server: (measured at, load ratio)
        self._reports_by_time: list[tuple[int, int]] = []  # a heap of (measured at, server)
        self._ratio_sum_fixed = 0

    # Rows of the list

    def get(self, number: int) -> Server | None:
        """The server of a number, which may be gone."""
        return self.by_number.get(number)

    def add(self, row: ev.ServerRow) -> Server:
        """Add a server that is named for the first time; the caller calls `update_row` next."""
        server = self.by_number[row.server] = Server(row, LinkState(0.0), order=self._next_order)
        self._next_order += 1
        self._add_to_indices(server)
        return server

    def update_row(self, server: Server, row: ev.ServerRow) -> None:
        """Replace a server's row."""
        if self._cell_and_state(server.row) != self._cell_and_state(row):
            self._remove_from_indices(server)
            server.row = row
            self._add_to_indices(server)
        server.row = row
        capacity_kb = row.weight * self.plant.kb_per_weight
        self._total_capacity_fixed += _to_fixed_point(capacity_kb) - _to_fixed_point(server.link.capacity_kb)
        server.link.capacity_kb = capacity_kb
        if row.started_at:
            self.mark_possibly_cold(server)
        if row.state is ServerState.GONE:
            self._add_gone(server)
        else:
            self._gone_numbers.pop(row.server, None)

    def _cell_and_state(self, row: ev.ServerRow) -> tuple[int, ServerState]:
        return row.cell, row.state

    def _add_to_indices(self, server: Server) -> None:
        row = server.row
        if row.state is ServerState.GONE:
            return
        self.running[row.server] = server
        bisect.insort(self.by_rack[row.cell % len(self.by_rack)], server, key=_by_order)
        if row.state is ServerState.READY:
            bisect.insort(self.ready, server, key=_by_order)
            cell = self._by_cell.setdefault(row.cell % self.plant.cells, [])
            bisect.insort(cell, server, key=_by_order)

    def _remove_from_indices(self, server: Server) -> None:
        row = server.row
        if row.state is ServerState.GONE:
            return
        del self.running[row.server]
        _remove_ordered(self.by_rack[row.cell % len(self.by_rack)], server)
        if row.state is ServerState.READY:
            _remove_ordered(self.ready, server)
            _remove_ordered(self._by_cell[row.cell % self.plant.cells], server)

    def _add_gone(self, server: Server) -> None:
        """Note that a server is gone. Over the limit, forgets the oldest gone server without sessions."""
        self._gone_numbers[server.row.server] = None
        if len(self._gone_numbers) > MAX_GONE_SERVERS:
            oldest = next((number for number in self._gone_numbers if number not in self._in_use), None)
            if oldest is not None:
                self._forget(oldest)

    def _forget(self, number: int) -> None:
        del self._gone_numbers[number]
        server = self.by_number.pop(number)
        self._total_capacity_fixed -= _to_fixed_point(server.link.capacity_kb)
        self.unsent.pop(number, None)
        self._possibly_cold.pop(number, None)
        self._drop_report(number)

    # Holders of titles, servers in use and servers that may be cold

    def holders(self, home: int, span: int) -> list[Server]:
        """The ready servers that hold a title of this home and span, in order."""
        cells = self.plant.cells
        if span >= cells:
            return self.ready
        cell_lists = [self._by_cell.get((home + offset) % cells, ()) for offset in range(span)]
        return sorted((server for cell_list in cell_lists for server in cell_list), key=_by_order)

    def holder_count(self, home: int, span: int) -> int:
        """How many ready servers hold a title of this home and span."""
        cells = self.plant.cells
        if span >= cells:
            return len(self.ready)
        return sum(len(self._by_cell.get((home + offset) % cells, ())) for offset in range(span))

    def holders_at_positions(self, home: int, span: int, positions: Iterable[int]) -> list[Server]:
        """The holders at these positions, from 0, in a fixed enumeration of all holders; returned in order.

        Costs no more than the title's cells and the positions, however many holders there are."""
        cells, wanted = self.plant.cells, sorted(set(positions))
        if span >= cells:
            return [self.ready[position] for position in wanted]
        selected, first_position, taken = list[Server](), 0, 0
        for offset in range(span):
            cell_list = self._by_cell.get((home + offset) % cells, [])
            while taken < len(wanted) and wanted[taken] < first_position + len(cell_list):
                selected.append(cell_list[wanted[taken] - first_position])
                taken += 1
            first_position += len(cell_list)
        return sorted(selected, key=_by_order)

    def sessions_changed(self, server: Server) -> None:
        """To be called when a server's sessions or their rungs have changed."""
        server.invalidate_demand()
        self.unsent[server.row.server] = server
        if server.sessions:
            self._in_use[server.row.server] = server
        else:
            self._in_use.pop(server.row.server, None)

    def in_use(self) -> list[Server]:
        """The servers with sessions of this front, in order."""
        return sorted(self._in_use.values(), key=_by_order)

    def mark_unsent(self, server: Server) -> None:
        """Note that there is something about a server to send to other fronts."""
        self.unsent[server.row.server] = server

    def take_unsent(self) -> list[Server]:
        """The servers with something to send to other fronts, in order; clears `unsent`.

        Includes all servers in use, as what is sent of them can change with time alone."""
        unsent, self.unsent = self.unsent | self._in_use, {}
        return sorted(unsent.values(), key=_by_order)

    def mark_possibly_cold(self, server: Server) -> None:
        """Note that a server's process has been restarted."""
        self._possibly_cold[server.row.server] = server

    def cold_servers(self, now: int, duration: int) -> list[Server]:
        """The ready servers that started less than `duration` ago."""
        for number in [
            n for n, server in self._possibly_cold.items() if now - server.process_started_at() >= duration
        ]:
            del self._possibly_cold[number]
        return [server for server in self._possibly_cold.values() if server.row.state is ServerState.READY]

    # Sums

    @property
    def total_capacity_kb(self) -> float:
        """The capacity of all links together, in kB a second."""
        return self._total_capacity_fixed / FIXED_POINT_SCALE

    def reports_changed(self, server: Server) -> None:
        """To be called when the load reports of a server's link have changed."""
        number = server.row.server
        self._drop_report(number)
        if server.link.reports:
            measured_at, ratio = self._last_reports[number] = server.link.reports[-1]
            self._ratio_sum_fixed += _to_fixed_point(ratio)
            heapq.heappush(self._reports_by_time, (measured_at, number))
            if len(self._reports_by_time) > 2 * len(self._last_reports) + REPORT_HEAP_SLACK:
                self._reports_by_time = [
                    (time, server_id) for server_id, (time, _) in self._last_reports.items()
                ]
                heapq.heapify(self._reports_by_time)

    def mean_reported_load(self, since: int) -> float | None:
        """The mean load ratio of the servers' last reports, if measured after `since`; None without any.

        Older reports are dropped for good."""
        while self._reports_by_time and self._reports_by_time[0][0] <= since:
            measured_at, number = heapq.heappop(self._reports_by_time)
            if self._last_reports.get(number, (None, 0.0))[0] == measured_at:
                self._drop_report(number)
        return (
            self._ratio_sum_fixed / FIXED_POINT_SCALE / len(self._last_reports)
            if self._last_reports
            else None
        )

    def _drop_report(self, number: int) -> None:
        report = self._last_reports.pop(number, None)
        if report is not None:
            self._ratio_sum_fixed -= _to_fixed_point(report[1])


def _to_fixed_point(value: float) -> int:
    return round(value * FIXED_POINT_SCALE)


def _remove_ordered(servers: list[Server], server: Server) -> None:
    """Remove a server from a list that is in order."""
    position = bisect.bisect_left(servers, server.order, key=_by_order)
    assert servers[position] is server
    del servers[position]
