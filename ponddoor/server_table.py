"""The servers that a front knows, with an index for each question that is asked of many at once.

Nothing here decides. Every index is kept as rows, sessions and reports change, so that no question costs more
than what it names; `tests/many_servers` compares each with the plain computation. Orders are those in which
the list first named the servers. Times in microseconds, rates in kB a second."""

import bisect
import heapq
from collections.abc import Iterable
from operator import attrgetter

from ponddoor.interface import events as ev
from ponddoor.interface.events import ServerState
from ponddoor.interface.facts import Plant
from ponddoor.state import Pipe, Server

MAX_GONE_SERVERS = 1024  # servers that have gone and are still known
MAX_STALE_REPORTS = 64  # ends of reports that are kept before those of replaced reports are dropped
# Sums are kept as integer multiples of 1 / FIXED_POINT_SCALE, which represents every float over 1e-8 exactly, so
# that adding and subtracting values does not accumulate rounding errors.
FIXED_POINT_SCALE = 1 << 80

_by_order = attrgetter("order")


class ServerTable:
    """All servers by number; `ready`, and `by_rack` of all that have not gone, in their order."""

    def __init__(self, plant: Plant) -> None:
        self.plant = plant
        self.by_number: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.by_rack: list[list[Server]] = [[] for _ in range(plant.racks or 1)]
        self.running: dict[int, Server] = {}  # that have not gone
        self.unsent: dict[int, Server] = {}  # of which something has changed since it was last told
        self._by_cell: dict[int, list[Server]] = {}  # ready ones, by cell modulo the site's cells
        self._in_use: dict[int, Server] = {}
        self._possibly_cold: dict[int, Server] = {}  # that may be cold
        self._gone_numbers: dict[int, None] = {}
        self._next_order = 0
        self._total_kb_fixed = 0
        self._last_reports: dict[int, tuple[int, float]] = {}  # the last load of each: (taken at, ratio)
        self._reports_by_time: list[tuple[int, int]] = []  # a heap of (taken at, server)
        self._ratio_sum_fixed = 0

    # Rows of the list

    def get(self, number: int) -> Server | None:
        """The server of a number, also one that has gone."""
        return self.by_number.get(number)

    def add(self, row: ev.ServerRow) -> Server:
        """A server that is named for the first time; `put_row` follows."""
        server = self.by_number[row.server] = Server(row, Pipe(0.0), order=self._next_order)
        self._next_order += 1
        self._add_to_indices(server)
        return server

    def update_row(self, server: Server, row: ev.ServerRow) -> None:
        """A server's row is another one now."""
        if self._cell_and_state(server.row) != self._cell_and_state(row):
            self._remove_from_indices(server)
            server.row = row
            self._add_to_indices(server)
        server.row = row
        kb = row.weight * self.plant.kb_per_weight
        self._total_kb_fixed += _to_fixed_point(kb) - _to_fixed_point(server.link.kb)
        server.link.kb = kb
        if row.started_at:
            self.mark_possibly_cold(server)
        if row.state is ServerState.GONE:
            self._evict_gone(server)
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
        _remove_sorted(self.by_rack[row.cell % len(self.by_rack)], server)
        if row.state is ServerState.READY:
            _remove_sorted(self.ready, server)
            _remove_sorted(self._by_cell[row.cell % self.plant.cells], server)

    def _evict_gone(self, server: Server) -> None:
        """The oldest of those that have gone are forgotten, but for those with sessions."""
        self._gone_numbers[server.row.server] = None
        if len(self._gone_numbers) > MAX_GONE_SERVERS:
            oldest = next((number for number in self._gone_numbers if number not in self._in_use), None)
            if oldest is not None:
                self._forget(oldest)

    def _forget(self, number: int) -> None:
        del self._gone_numbers[number]
        server = self.by_number.pop(number)
        self._total_kb_fixed -= _to_fixed_point(server.link.kb)
        self.unsent.pop(number, None)
        self._possibly_cold.pop(number, None)
        self._drop_report(number)

    # What holds a title, what is used, what may be cold

    def holders(self, home: int, span: int) -> list[Server]:
        """The ready servers that hold a title of this home and span, in their order."""
        cells = self.plant.cells
        if span >= cells:
            return self.ready
        lists = [self._by_cell.get((home + at) % cells, ()) for at in range(span)]
        return sorted((server for one in lists for server in one), key=_by_order)

    def holder_count(self, home: int, span: int) -> int:
        """How many ready servers hold a title of this home and span."""
        cells = self.plant.cells
        if span >= cells:
            return len(self.ready)
        return sum(len(self._by_cell.get((home + at) % cells, ())) for at in range(span))

    def holders_at_positions(self, home: int, span: int, places: Iterable[int]) -> list[Server]:
        """Those at these places among all holders, from 0; in their order."""
        cells, wanted = self.plant.cells, sorted(set(places))
        if span >= cells:
            return [self.ready[place] for place in wanted]
        found, first, taken = list[Server](), 0, 0
        for at in range(span):
            held = self._by_cell.get((home + at) % cells, [])
            while taken < len(wanted) and wanted[taken] < first + len(held):
                found.append(held[wanted[taken] - first])
                taken += 1
            first += len(held)
        return sorted(found, key=_by_order)

    def sessions_changed(self, server: Server) -> None:
        """Its sessions, or their rungs, have changed."""
        server.changed()
        self.unsent[server.row.server] = server
        if server.sessions:
            self._in_use[server.row.server] = server
        else:
            self._in_use.pop(server.row.server, None)

    def in_use(self) -> list[Server]:
        """The servers with sessions of ours, in their order."""
        return sorted(self._in_use.values(), key=_by_order)

    def mark_unsent(self, server: Server) -> None:
        """Something came to us of a server that others are told."""
        self.unsent[server.row.server] = server

    def take_unsent(self) -> list[Server]:
        """In their order, those with news for others, and those in use: theirs change with time alone."""
        untold, self.unsent = self.unsent | self._in_use, {}
        return sorted(untold.values(), key=_by_order)

    def mark_possibly_cold(self, server: Server) -> None:
        """Its process has started anew."""
        self._possibly_cold[server.row.server] = server

    def cold_servers(self, now: int, lasts: int) -> list[Server]:
        """The ready servers that started less than `lasts` ago."""
        for number in [n for n, server in self._possibly_cold.items() if now - server.started() >= lasts]:
            del self._possibly_cold[number]
        return [server for server in self._possibly_cold.values() if server.row.state is ServerState.READY]

    # Sums

    @property
    def total_kb(self) -> float:
        """What all links give together."""
        return self._total_kb_fixed / FIXED_POINT_SCALE

    def reports_changed(self, server: Server) -> None:
        """The reports of a server's link have changed."""
        number = server.row.server
        self._drop_report(number)
        if server.link.loads:
            taken, ratio = self._last_reports[number] = server.link.loads[-1]
            self._ratio_sum_fixed += _to_fixed_point(ratio)
            heapq.heappush(self._reports_by_time, (taken, number))
            if len(self._reports_by_time) > 2 * len(self._last_reports) + MAX_STALE_REPORTS:
                self._reports_by_time = [(at, one) for one, (at, _) in self._last_reports.items()]
                heapq.heapify(self._reports_by_time)

    def mean_reported_load(self, since: int) -> float | None:
        """The mean of the last reports of servers that were taken after a moment; None without any."""
        while self._reports_by_time and self._reports_by_time[0][0] <= since:
            taken, number = heapq.heappop(self._reports_by_time)
            if self._last_reports.get(number, (None, 0.0))[0] == taken:
                self._drop_report(number)
        return (
            self._ratio_sum_fixed / FIXED_POINT_SCALE / len(self._last_reports)
            if self._last_reports
            else None
        )

    def _drop_report(self, number: int) -> None:
        held = self._last_reports.pop(number, None)
        if held is not None:
            self._ratio_sum_fixed -= _to_fixed_point(held[1])


def _to_fixed_point(value: float) -> int:
    return round(value * FIXED_POINT_SCALE)


def _remove_sorted(servers: list[Server], server: Server) -> None:
    at = bisect.bisect_left(servers, server.order, key=_by_order)
    assert servers[at] is server
    del servers[at]
