"""Requests that wait for cold servers: the work for one SETUP, and who is served."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from ponddoor.decide import Front
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import facts as fx
from ponddoor.interface.script import ResumeValue, Subscript
from ponddoor.runtime.driver import Driver
from ponddoor.state import Server, Sess
from tests.conftest import SITE

SECOND = 1_000_000
SERVERS, FRONTS, CELLS = 3, 3, 12
STREAMS = 47
SETUP_US = SECOND // 20
MAX_EVENTS_PER_SETUP_GROWTH = 2.0


class WakesAll(Front):
    """Every session that waits tries at each slot of its servers."""

    def wait_in_queue(self, sess: Sess, next_try: int) -> Subscript[ResumeValue]:
        return (yield act.Wait(next_try))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request: when it comes, its number, the cell of its title, and when its viewer takes it back."""

    at: int
    req_id: int
    home: int = 0
    span: int = CELLS
    leaves_at: int | None = None


@dataclass(slots=True)
class Fleet:
    """One front and servers that have all just started; each SETUP is answered after SETUP_US."""

    make: Callable[[fx.SiteFacts, int], Front] = Front
    group: fx.ServiceGroup = SITE.groups[0]
    now: int = 60 * SECOND
    served: dict[int, int] = field(default_factory=dict)  # by request: when its SETUP was sent
    answered: dict[int, int] = field(default_factory=dict)  # by request: when it was refused or failed
    events: int = 0
    driver: Driver = field(init=False)
    _due: list[tuple[int, int, ev.Event]] = field(default_factory=list)
    _order: int = 0

    def __post_init__(self) -> None:
        plant = replace(SITE.plant, cells=CELLS, racks=3, kb_per_weight=1e6, streams=(STREAMS,))
        site = replace(SITE, fronts=FRONTS, plant=plant, groups=(self.group,))
        self.driver = Driver(self.make(site, 0))
        rows = tuple(
            ev.ServerRow(number, 0, 0, number * CELLS // SERVERS, ev.ServerState.READY, 1.0, self.now)
            for number in range(SERVERS)
        )
        self.push(self.now, ev.ServerNews(ev.NewsScope.CACHED, rows))

    def push(self, at: int, event: ev.Event) -> None:
        self._order += 1
        heapq.heappush(self._due, (at, self._order, event))

    def arrive(self, arrival: Arrival) -> None:
        request = ev.SessionRequest(
            arrival.req_id, 0, 0, arrival.req_id, 1, 3 * SECOND, None, arrival.home, arrival.span, 9
        )
        self.push(arrival.at, request)
        if arrival.leaves_at is not None:
            self.push(arrival.leaves_at, ev.ViewerLeft(arrival.req_id))

    def run(self, until: int) -> None:
        while self._due and self._due[0][0] <= until:
            at, _, event = heapq.heappop(self._due)
            self.now = max(self.now, at)
            self.events += 1
            for action in self.driver.handle(self.now, event):
                self.carry_out(action)

    def carry_out(self, action: act.Action) -> None:
        match action:
            case act.SetTimer(due, cookie):
                self.push(due, ev.TimerDue(cookie))
            case act.Setup(req_id, server, _):
                self.served[req_id] = self.now
                self.push(self.now + SETUP_US, ev.Started(req_id, 0, server, SETUP_US))
            case act.BusyReply(req_id) | act.TearDown(req_id):
                self.answered[req_id] = self.now
            case _:
                pass


def arrivals(rng: Random, per_s: float, seconds: float) -> list[Arrival]:
    """Requests at random times, a third of which are taken back."""
    made, at = list[Arrival](), 60 * SECOND
    while (at := at + round(rng.expovariate(per_s) * SECOND)) < (60 + seconds) * SECOND:
        leaves = at + round(rng.uniform(0, 1.5) * SECOND) if rng.random() < 1 / 3 else None
        made.append(Arrival(at, len(made) + 1, leaves_at=leaves))
    return made


def played(
    days: list[Arrival],
    make: Callable[[fx.SiteFacts, int], Front] = Front,
    group: fx.ServiceGroup = SITE.groups[0],
) -> Fleet:
    """A front that has been through these arrivals."""
    fleet = Fleet(make, group)
    for arrival in days:
        fleet.arrive(arrival)
    fleet.run(days[-1].at + 4 * SECOND)
    return fleet


def test_work_for_one_setup_does_not_grow_with_the_requests_that_wait() -> None:
    def events_per_setup(waiting: int) -> float:
        fleet = Fleet()
        for number in range(waiting):
            fleet.arrive(Arrival(fleet.now + number, number + 1))
        fleet.run(fleet.now + SECOND)
        fleet.events, before = 0, len(fleet.served)
        fleet.run(fleet.now + SECOND)
        return fleet.events / (len(fleet.served) - before)

    assert events_per_setup(300) <= MAX_EVENTS_PER_SETUP_GROWTH * events_per_setup(10)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("per_s", [5.0, 25.0, 100.0])
def test_same_requests_are_served_at_the_same_times_as_if_all_tried(seed: int, per_s: float) -> None:
    days = arrivals(Random(seed), per_s, 6.0)
    queued, all_try = played(days), played(days, WakesAll)
    assert queued.served == all_try.served
    assert set(queued.answered) == set(all_try.answered)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("per_s", [5.0, 25.0, 100.0])
def test_as_many_requests_are_served_where_titles_have_different_servers(seed: int, per_s: float) -> None:
    rng = Random(seed)
    days = [
        replace(arrival, home=rng.choice((0, 4, 8)), span=rng.choice((4, 8, 12)))
        for arrival in arrivals(Random(seed), per_s, 6.0)
    ]
    queued, all_try = played(days), played(days, WakesAll)
    assert abs(len(queued.served) - len(all_try.served)) <= 1


@pytest.mark.parametrize("per_s", [5.0, 100.0])
def test_every_request_is_answered_in_time(per_s: float) -> None:
    days = arrivals(Random(3), per_s, 6.0)
    fleet = played(days)
    for arrival in days:
        answered_at = min(
            fleet.answered.get(arrival.req_id, 1 << 60), fleet.served.get(arrival.req_id, 1 << 60)
        )
        assert arrival.leaves_at is not None or answered_at <= arrival.at + 3 * SECOND
        assert not (arrival.req_id in fleet.answered and arrival.req_id in fleet.served)


def test_burst_that_is_taken_back_costs_no_decision_for_each_of_its_requests() -> None:
    decided = list[int]()

    class Counted(Front):
        def place(self, sess: Sess) -> Server | None:
            decided.append(sess.req.req_id)
            return super().place(sess)

    fleet = Fleet(Counted)
    for number in range(300):
        fleet.arrive(Arrival(fleet.now, number + 1, leaves_at=fleet.now + SECOND // 2))
    fleet.run(fleet.now + SECOND // 2 - 1)
    decided.clear()
    fleet.run(fleet.now + 2)
    assert len(decided) <= 2
