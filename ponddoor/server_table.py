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
from ponddoor.state import LinkState, Server

MOST_GONE = 1024  # servers that have gone and are still known
LEAST_REPORT_ENDS = 64  # ends of reports that are kept before those of replaced reports are dropped
FIXED_POINT = 1 << 80  # sums are whole numbers of this part: every float over 1e-8 is one, and none drifts

_by_order = attrgetter("order")


class ServerTable:
    """All servers by number; `ready`, and `by_rack` of all that have not gone, in their order."""

    def __init__(self, plant: Plant) -> None:
        self.plant = plant
        self.all: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.by_rack: list[list[Server]] = [[] for _ in range(plant.racks or 1)]
        self.running: dict[int, Server] = {}  # that have not gone
        self.untold: dict[int, Server] = {}  # of which something has changed since it was last told
        self._by_cell: dict[int, list[Server]] = {}  # ready ones, by cell modulo the site's cells
        self._in_use: dict[int, Server] = {}
        self._recent: dict[int, Server] = {}  # that may be cold
        self._gone: dict[int, None] = {}
        self._next_order = 0
        self._kb = 0
        self._reports: dict[int, tuple[int, float]] = {}  # the last load of each: (taken at, ratio)
        self._report_ends: list[tuple[int, int]] = []  # a heap of (taken at, server)
        self._ratios = 0

    # Rows of the list

    def get(self, number: int) -> Server | None:
        """The server of a number, also one that has gone."""
        return self.all.get(number)

    def add(self, row: ev.ServerRow) -> Server:
        """A server that is named for the first time; `put_row` follows."""
        server = self.all[row.server] = Server(row, LinkState(0.0), order=self._next_order)
        self._next_order += 1
        self._index(server)
        return server

    def put_row(self, server: Server, row: ev.ServerRow) -> None:
        """A server's row is another one now."""
        if self._place(server.row) != self._place(row):
            self._take_out(server)
            server.row = row
            self._index(server)
        server.row = row
        kb = row.weight * self.plant.kb_per_weight
        self._kb += _fixed(kb) - _fixed(server.link.capacity_kb)
        server.link.capacity_kb = kb
        if row.started_at:
            self.may_be_cold(server)
        if row.state is ServerState.GONE:
            self._note_gone(server)
        else:
            self._gone.pop(row.server, None)

    def _place(self, row: ev.ServerRow) -> tuple[int, ServerState]:
        return row.cell, row.state

    def _index(self, server: Server) -> None:
        row = server.row
        if row.state is ServerState.GONE:
            return
        self.running[row.server] = server
        bisect.insort(self.by_rack[row.cell % len(self.by_rack)], server, key=_by_order)
        if row.state is ServerState.READY:
            bisect.insort(self.ready, server, key=_by_order)
            cell = self._by_cell.setdefault(row.cell % self.plant.cells, [])
            bisect.insort(cell, server, key=_by_order)

    def _take_out(self, server: Server) -> None:
        row = server.row
        if row.state is ServerState.GONE:
            return
        del self.running[row.server]
        _remove(self.by_rack[row.cell % len(self.by_rack)], server)
        if row.state is ServerState.READY:
            _remove(self.ready, server)
            _remove(self._by_cell[row.cell % self.plant.cells], server)

    def _note_gone(self, server: Server) -> None:
        """The oldest of those that have gone are forgotten, but for those with sessions."""
        self._gone[server.row.server] = None
        if len(self._gone) > MOST_GONE:
            oldest = next((number for number in self._gone if number not in self._in_use), None)
            if oldest is not None:
                self._forget(oldest)

    def _forget(self, number: int) -> None:
        del self._gone[number]
        server = self.all.pop(number)
        self._kb -= _fixed(server.link.capacity_kb)
        self.untold.pop(number, None)
        self._recent.pop(number, None)
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

    def holders_at(self, home: int, span: int, places: Iterable[int]) -> list[Server]:
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

    def use(self, server: Server) -> None:
        """Its sessions, or their rungs, have changed."""
        server.invalidate_demand()
        self.untold[server.row.server] = server
        if server.sessions:
            self._in_use[server.row.server] = server
        else:
            self._in_use.pop(server.row.server, None)

    def in_use(self) -> list[Server]:
        """The servers with sessions of ours, in their order."""
        return sorted(self._in_use.values(), key=_by_order)

    def to_tell(self, server: Server) -> None:
        """Something came to us of a server that others are told."""
        self.untold[server.row.server] = server

    def take_untold(self) -> list[Server]:
        """In their order, those with news for others, and those in use: theirs change with time alone."""
        untold, self.untold = self.untold | self._in_use, {}
        return sorted(untold.values(), key=_by_order)

    def may_be_cold(self, server: Server) -> None:
        """Its process has started anew."""
        self._recent[server.row.server] = server

    def cold(self, now: int, lasts: int) -> list[Server]:
        """The ready servers that started less than `lasts` ago."""
        for number in [n for n, server in self._recent.items() if now - server.process_started_at() >= lasts]:
            del self._recent[number]
        return [server for server in self._recent.values() if server.row.state is ServerState.READY]

    # Sums

    @property
    def kb(self) -> float:
        """What all links give together."""
        return self._kb / FIXED_POINT

    def reported(self, server: Server) -> None:
        """The reports of a server's link have changed."""
        number = server.row.server
        self._drop_report(number)
        if server.link.reports:
            taken, ratio = self._reports[number] = server.link.reports[-1]
            self._ratios += _fixed(ratio)
            heapq.heappush(self._report_ends, (taken, number))
            if len(self._report_ends) > 2 * len(self._reports) + LEAST_REPORT_ENDS:
                self._report_ends = [(at, one) for one, (at, _) in self._reports.items()]
                heapq.heapify(self._report_ends)

    def mean_report(self, since: int) -> float | None:
        """The mean of the last reports of servers that were taken after a moment; None without any."""
        while self._report_ends and self._report_ends[0][0] <= since:
            taken, number = heapq.heappop(self._report_ends)
            if self._reports.get(number, (None, 0.0))[0] == taken:
                self._drop_report(number)
        return self._ratios / FIXED_POINT / len(self._reports) if self._reports else None

    def _drop_report(self, number: int) -> None:
        held = self._reports.pop(number, None)
        if held is not None:
            self._ratios -= _fixed(held[1])


def _fixed(value: float) -> int:
    return round(value * FIXED_POINT)


def _remove(servers: list[Server], server: Server) -> None:
    at = bisect.bisect_left(servers, server.order, key=_by_order)
    assert servers[at] is server
    del servers[at]
