"""What all fronts together send to a cold server: the sum of turns, keepers' grants, sends to what is only
perhaps cold and further attempts stays within what it bears and chance, for fleets of every size.

Whole fronts (decisions and driver) in virtual time, one server that holds every title, and far more demand
than it bears. Chance is the seed's."""

import heapq
import itertools
import math
from copy import deepcopy
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any

import msgspec
import pytest

from ponddoor.decide import Front
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.platform.facts import site_facts
from ponddoor.runtime.driver import Driver
from tests.test_simhost import FACTS

SECOND = 1_000_000
STREAMS, COLD, COLD_FROM, MULTIPLE, FALL = 30, 9 * SECOND, 0.5, 2.5, SECOND
SERVER = 7


def facts_of(me: int, fronts: int, seed: int, talk: bool) -> Any:
    raw: dict[str, Any] = deepcopy(FACTS) | {"balancers": fronts, "me": me}
    raw["permissions"] |= {"mayTell": talk, "maxAttempts": 3}
    raw["safety"] |= {"cold": COLD / 1000, "coldFrom": COLD_FROM, "fall": FALL / 1000}
    raw["safety"] |= {"fallMultiple": MULTIPLE}
    raw["specifics"] |= {"kindStreams": [STREAMS], "positions": 1, "groups": 1}
    facts, _ = site_facts(seed, msgspec.json.encode(raw))
    return facts


@dataclass
class Fleet:
    """So many fronts, of which some have just begun and some hear nothing of the others."""

    fronts: int
    seed: int
    talk: bool = True
    restarted: float = 0.0
    deaf: float = 0.0
    told: bool = True  # of the start, by the list
    lost: bool = False  # a process that died and is back, with the list silent about it
    demand: float = 4.0  # times what the server bears
    fails: float = 0.2  # of set-ups: they are tried again
    seconds: int = 8
    sends: list[int] = field(default_factory=list)
    now: int = 0

    def run(self) -> list[int]:
        self.random, self.order = Random(self.seed), itertools.count()
        self.queue: list[tuple[int, int, Any]] = []
        self.requests = [itertools.count(1) for _ in range(self.fronts)]
        begins, self.up = 60 * SECOND, 60 * SECOND
        self.deafs = {me for me in range(self.fronts) if self.random.random() < self.deaf}
        self.drivers: list[Driver] = []
        for me in range(self.fronts):
            new = self.random.random() < self.restarted
            now = begins - SECOND // 2 if new else 0
            facts = replace(facts_of(me, self.fronts, self.seed * 1000 + me, self.talk), wall=0)
            self.drivers.append(Driver(Front(facts, now)))
            self.put(now, partial(self.feed, me, self.row(0)))
        self.put(begins, self.starts)
        rate = self.demand * self.bears(0) * SECOND / FALL / SECOND
        at = float(begins)
        while at < begins + self.seconds * SECOND:
            at += self.random.expovariate(rate)
            self.put(round(at), self.asks)
        self.end = begins + self.seconds * SECOND
        while self.queue and self.queue[0][0] < self.end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        return self.sends

    def bears(self, age: int) -> float:
        """What the server bears in the rule's span at that age."""
        warm = COLD_FROM + (1 - COLD_FROM) * min(age / COLD, 1.0)
        return STREAMS * warm * MULTIPLE * FALL / COLD

    def put(self, at: int, call: Any) -> None:
        heapq.heappush(self.queue, (at, next(self.order), call))

    def feed(self, me: int, event: ev.Event) -> None:
        for action in self.drivers[me].handle(self.now, event):
            match action:
                case act.SetTimer(at, cookie):
                    self.put(max(at, self.now), partial(self.feed, me, ev.TimerDue(cookie)))
                case act.SendPeerMessage(peer, payload):
                    for to in range(self.fronts) if peer is None else [peer]:
                        if to != me and not {me, to} & self.deafs:
                            late = self.now + self.random.randrange(2000, 10_000)
                            self.put(late, partial(self.feed, to, ev.PeerMessage(me, payload)))
                case act.Setup(req_id):
                    self.sends.append(self.now)
                    self.put(self.now + 60_000, partial(self.answers, me, req_id))
                case _:
                    pass

    def row(self, started: int) -> ev.ServerNews:
        row = ev.ServerRow(SERVER, 0, 0, 0, ev.ServerState.READY, 40.0, started)
        return ev.ServerNews(ev.NewsScope.CHANGES, (row,))

    def starts(self) -> None:
        """The new process is up."""
        for me in range(self.fronts):
            if self.told:
                self.feed(me, self.row(self.now))
            elif self.lost:  # its connection broke: all see it, none is told more
                self.front(me).servers[SERVER].seen_down_at = self.now

    def front(self, me: int) -> Front:
        front = self.drivers[me]._front
        assert isinstance(front, Front)
        return front

    def asks(self) -> None:
        me = self.random.randrange(self.fronts)
        number = next(self.requests[me])
        wait = 2 * SECOND
        asked = ev.SessionRequest(number, 0, 0, number, number, wait, None, 0, 1, 2, False, False, None)
        self.feed(me, asked)

    def answers(self, me: int, req_id: int) -> None:
        sess = self.front(me).sessions.get(req_id)
        if sess is None:
            return
        attempt = len(sess.attempts) - 1
        if self.random.random() < self.fails:
            self.feed(me, ev.Ended(req_id, attempt, SERVER, ev.Result.ERROR, False, 60_000, {}))
        else:
            self.feed(me, ev.Started(req_id, attempt, SERVER, 60_000))

    def most_over(self) -> float:
        """The most that a span had beyond what the server bore then, in parts of 2 roots and 2."""
        worst, first = 0.0, 0
        for last, at in enumerate(self.sends):
            while self.sends[first] <= at - FALL:
                first += 1
            bears = self.bears(at - FALL - self.up if at - FALL > self.up else 0)
            worst = max(worst, (last - first + 1 - bears) / (2 * math.sqrt(bears) + 2))
        return worst


CASES: dict[str, dict[str, Any]] = {
    "told": {},
    "told, no messages": {"talk": False},
    "told, half just begun": {"restarted": 0.5},
    "told, two in five deaf": {"deaf": 0.4},
    "told, half begun, two in five deaf": {"restarted": 0.5, "deaf": 0.4},
    "not told, its connections broke": {"told": False, "lost": True},
    "not told, its connections broke, no messages": {"told": False, "lost": True, "talk": False},
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("fronts", [3, 20, 30, 200])
def test_all_fronts_together_keep_to_what_a_cold_server_bears(case: str, fronts: int) -> None:
    seeds, seconds = (1, 2) if fronts < 200 else (1,), 8 if fronts < 200 else 4
    for seed in seeds:
        fleet = Fleet(fronts, seed, seconds=seconds, **CASES[case])
        fleet.run()
        assert fleet.most_over() <= 1.0, (case, seed, len(fleet.sends))


@pytest.mark.parametrize("case", ["told, no messages", "not told, its connections broke"])
def test_without_turns_the_sum_does_not_hold(case: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each front spaced by its share alone, the first send free: what a lost server got before."""
    monkeypatch.setattr(
        Front,
        "paced_until",
        lambda self, server: (server.last_setup_at + self.cold_slot_us(server) * self.facts.fronts),
    )
    over = []
    for seed in (1, 2, 3):
        fleet = Fleet(30, seed, **CASES[case])
        fleet.run()
        over.append(fleet.most_over())
    assert max(over) > 1.0, over


def test_a_fleet_of_twenty_still_uses_what_a_cold_server_bears() -> None:
    """The bound is no standstill: a third of the pace at least comes."""
    fleet = Fleet(20, 1)
    fleet.run()
    assert len(fleet.sends) >= fleet.bears(0) * fleet.seconds * SECOND / FALL / 3
