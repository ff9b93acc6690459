"""One front's decisions with any number of servers in a site of a fixed shape, driven event by event."""

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
PER_RACK = 5
FRONTS = 200
TITLE_RACKS = 2
TOTAL_KB = 40_000_000.0  # of all servers together, however many they are
PACKAGE = str(Path(sys.modules["ponddoor"].__path__[0]))


def facts(servers: int, fronts: int = FRONTS, racks: int | None = None, seed: int = 1) -> fx.SiteFacts:
    """A site of racks of five servers, with messages between fronts and reports on probes."""
    cells = racks or max(servers // PER_RACK, 1)
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


def row(site: fx.SiteFacts, server: int, state: ev.ServerState = ev.ServerState.READY) -> ev.ServerRow:
    """A server's row; servers fill the cells in turn."""
    return ev.ServerRow(server, 0, 0, server % site.plant.cells, state, 1.0, 0)


def steps_of(call: Callable[[], object]) -> int:
    """How many lines of the package a call runs, loops counted each time round."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        if not frame.f_code.co_filename.startswith(PACKAGE):
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


@dataclass(slots=True)
class DrivenFront:
    """A front, its clock and its timers; `log` has every action with its time."""

    site: fx.SiteFacts
    servers: int
    now: int = 60 * SECOND
    log: list[tuple[int, act.Action]] = field(default_factory=list)
    front: Front = field(init=False)
    driver: Driver = field(init=False)
    timers: list[tuple[int, int, int]] = field(default_factory=list)
    _order: int = 0
    _requests: int = 0

    def __post_init__(self) -> None:
        self.front = Front(self.site, 0)
        self.driver = Driver(self.front)
        rows = tuple(row(self.site, server) for server in range(1, self.servers + 1))
        self.do(ev.ServerNews(ev.NewsScope.CACHED, rows))

    def do(self, event: ev.Event) -> list[act.Action]:
        """Feed one event; timers are kept, the other actions returned."""
        actions = self.driver.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, act.SetTimer):
                self._order += 1
                heapq.heappush(self.timers, (action.due, self._order, action.cookie))
        return [action for action in actions if not isinstance(action, act.SetTimer)]

    def run_until(self, moment: int) -> list[act.Action]:
        """Fire every timer up to a moment."""
        out: list[act.Action] = []
        while self.timers and self.timers[0][0] <= moment:
            at, _, cookie = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            out += self.do(ev.TimerDue(cookie))
        self.now = max(self.now, moment)
        return out

    def request(self, home: int, **other: Any) -> tuple[int, list[act.Action]]:
        """A viewer asks for a title of two racks; returns the request's number."""
        self._requests += 1
        told = {
            "service_group": 0,
            "tenant": 0,
            "key": self._requests,
            "title": home + 1,
            "time_left": 3 * SECOND,
            "length_hint": None,
            "home": home % self.site.plant.cells,
            "span": min(TITLE_RACKS, self.site.plant.cells),
            "top": 9,
        } | other
        return self._requests, self.do(ev.SessionRequest(req_id=self._requests, **told))

    def set_up(self, home: int, **other: Any) -> tuple[int, act.Setup]:
        """Ask until a SETUP goes out, firing the timers it waits for."""
        number, actions = self.request(home, **other)
        until = self.now + SECOND
        while not (found := [a for a in actions if isinstance(a, act.Setup) and a.req_id == number]):
            assert self.timers and self.timers[0][0] <= until, "no SETUP went out"
            actions = self.run_until(self.timers[0][0])
        return number, found[0]

    def start(self, home: int) -> tuple[int, int]:
        """A session that plays: its number and its server."""
        number, setup = self.set_up(home)
        self.do(ev.Started(number, 0, setup.server, 50_000))
        return number, setup.server
