"""Runs one front's decisions, event by event, on a site of a fixed shape with any number of servers."""

import heapq
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import FrameType
from typing import Any

from ponddoor.decide import Front
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import facts as fx
from ponddoor.runtime.driver import Driver
from tests.conftest import SITE

SECOND = 1_000_000
SERVERS_PER_RACK = 5
FRONTS = 200
RACKS_PER_TITLE = 2
TOTAL_KB = 40_000_000.0  # kB a second of all servers together, whatever their number
PACKAGE = str(Path(sys.modules["ponddoor"].__path__[0]))


def make_facts(servers: int, fronts: int = FRONTS, racks: int | None = None, seed: int = 1) -> fx.SiteFacts:
    """The facts of a site with messages between fronts and reports on probes; its racks have five servers
    each, unless their number is given."""
    cells = racks or max(servers // SERVERS_PER_RACK, 1)
    plant = replace(
        SITE.plant,
        cells=cells,
        racks=cells,
        kb_per_weight=TOTAL_KB / servers,
        uplink_kb=0.8 * TOTAL_KB / cells,
        streams=(2000,),
    )
    permissions = replace(SITE.permissions, probes=True, messages=True)
    return replace(SITE, fronts=fronts, seed=seed, plant=plant, permissions=permissions, me=3 % fronts)


def make_row(site: fx.SiteFacts, server: int, state: ev.ServerState = ev.ServerState.READY) -> ev.ServerRow:
    """The row of a server in the list; consecutive servers are in consecutive cells."""
    return ev.ServerRow(server, 0, 0, server % site.plant.cells, state, 1.0, 0)


def lines_run_by(call: Callable[[], object]) -> int:
    """How many lines of the package a call runs; each pass of a loop counts."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        if not frame.f_code.co_filename.startswith(PACKAGE):
            return None
        count += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
    return count


@dataclass(slots=True)
class FrontHarness:
    """A front with its clock and timers; `log` has every action with its time."""

    site: fx.SiteFacts
    servers: int
    now: int = 60 * SECOND
    log: list[tuple[int, act.Action]] = field(default_factory=list)
    front: Front = field(init=False)
    driver: Driver = field(init=False)
    timers: list[tuple[int, int, int]] = field(default_factory=list)
    _timer_count: int = 0
    _request_count: int = 0

    def __post_init__(self) -> None:
        self.front = Front(self.site, 0)
        self.driver = Driver(self.front)
        rows = tuple(make_row(self.site, server) for server in range(1, self.servers + 1))
        self.feed(ev.ServerNews(ev.NewsScope.CACHED, rows))

    def feed(self, event: ev.Event) -> list[act.Action]:
        """Pass one event to the front. Keeps the timers that it requests and returns its other actions."""
        actions = self.driver.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, act.SetTimer):
                self._timer_count += 1
                heapq.heappush(self.timers, (action.due, self._timer_count, action.cookie))
        return [action for action in actions if not isinstance(action, act.SetTimer)]

    def run_until(self, end: int) -> list[act.Action]:
        """Fire every timer that is due by `end`; returns the actions."""
        actions: list[act.Action] = []
        while self.timers and self.timers[0][0] <= end:
            due, _, cookie = heapq.heappop(self.timers)
            self.now = max(self.now, due)
            actions += self.feed(ev.TimerDue(cookie))
        self.now = max(self.now, end)
        return actions

    def request(self, home: int, **options: Any) -> tuple[int, list[act.Action]]:
        """A viewer requests a title that two racks hold; returns the request's number and the actions."""
        self._request_count += 1
        values = {
            "service_group": 0,
            "tenant": 0,
            "key": self._request_count,
            "title": home + 1,
            "time_left": 3 * SECOND,
            "length_hint": None,
            "home": home % self.site.plant.cells,
            "span": min(RACKS_PER_TITLE, self.site.plant.cells),
            "top": 9,
        } | options
        return self._request_count, self.feed(ev.SessionRequest(req_id=self._request_count, **values))

    def set_up(self, home: int, **options: Any) -> tuple[int, act.Setup]:
        """Request a title and fire timers until its SETUP is sent; returns the request's number and the
        SETUP.

        Raises AssertionError if none is sent within a second."""
        number, actions = self.request(home, **options)
        deadline = self.now + SECOND
        while not (setups := [a for a in actions if isinstance(a, act.Setup) and a.req_id == number]):
            assert self.timers and self.timers[0][0] <= deadline, "no SETUP went out"
            actions = self.run_until(self.timers[0][0])
        return number, setups[0]

    def start(self, home: int) -> tuple[int, int]:
        """Start a session; returns its number and its server."""
        number, setup = self.set_up(home)
        self.feed(ev.Started(number, 0, setup.server, 50_000))
        return number, setup.server
