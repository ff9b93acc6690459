"""The longest stretch of a front's loop, and what sessions, titles and servers cost the decisions.

A whole front's cores, driven as the shells drive them; servers answer at once, the clock is the run's own.
Times are processor time of the thread, so that a busy machine is not in them."""

import statistics
import time
from dataclasses import replace

from ponddoor.capacity.measure import Figure, Measurement, resident
from ponddoor.capacity.virtual_measure import SITE
from ponddoor.decide import Front
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.runtime.driver import Driver
from ponddoor.settings.site import loads

SECOND = 1_000_000
ROUNDS = 6
REQUESTS = 300  # timed, of which the median counts
BASE = {"titles": 2000, "holders": 4, "servers": 100, "sessions": 2000}
LISTENERS, FRONTS = 360_000, 820  # of the largest title, over so many fronts


class LoneFront:
    """One front with sessions that play, and the means to time what it does."""

    def __init__(self, servers: int, sessions: int, titles: int, holders: int) -> None:
        holding = min(servers, holders) if titles == 1 else servers
        link = max(1.0, sessions * 1.2 / holding)  # MB a second: room for a rung under the top
        text = SITE.format(
            zones="z0", servers=servers, racks=max(1, servers // 6), link=link, uplink=round(link * 1e3, 3)
        )
        facts = loads(text).facts_of(0, 1)
        facts = replace(facts, permissions=replace(facts.permissions, messages=False, probes=False))
        self.servers, self.titles, self.holders = servers, titles, holders
        self.front, self.now = Front(facts, 0), 10 * SECOND  # its first pace is over
        self.driver, self.number = Driver(self.front), 0
        self.timers: list[tuple[int, int]] = []
        self.last: dict[int, int] = {}  # server: a session there
        rows = (ev.ServerRow(n, 0, 0, n, ev.ServerState.READY, 1.0, 0) for n in range(servers))
        self.feed(ev.ServerNews(ev.NewsScope.FULL, tuple(rows)))

    def feed(self, event: ev.Event) -> list[act.Action]:
        actions = self.driver.handle(self.now, event)
        self.timers += [(one.due, one.cookie) for one in actions if isinstance(one, act.SetTimer)]
        return actions

    def come(self, title: int) -> tuple[int, int | None]:
        """One viewer comes and plays: its request, and where."""
        self.number, number = self.number + 1, self.number
        # Homes by a stride that is prime to most counts, so that neighbours in number are none in place
        home = title * 7919 % self.servers
        span = min(self.holders, self.servers)
        asked = self.feed(ev.SessionRequest(number, 0, 0, number, title, 9 * SECOND, None, home, span, 4))
        sent = next((one for one in asked if isinstance(one, act.Setup)), None)
        if sent is None:
            return number, None
        self.feed(ev.Started(number, 0, sent.server, 1000))
        return number, sent.server

    def fill(self, sessions: int) -> None:
        for number in range(sessions):
            req_id, server = self.come(number % self.titles)
            if server is not None:
                self.last[server] = req_id

    def leave(self, number: int, server: int) -> None:
        self.feed(ev.Ended(number, 0, server, ev.Result.SERVED, True, 1000, {}))

    def rounds(self) -> list[float]:
        """Seconds of each round of resizing: every other time there is too much, then room."""
        found = []
        for turn in range(ROUNDS):
            self.timers.sort()
            at, cookie = self.timers.pop(0)
            self.now = max(self.now, at)
            for server, number in self.last.items():
                value = 1.2 if turn % 2 else 0.8
                self.feed(ev.Note(number, ev.NoteKind.LINK_ASKED, value, server))
            begun = time.thread_time_ns()
            self.feed(ev.TimerDue(cookie))
            found.append((time.thread_time_ns() - begun) / 1e9)
        return found


def resize(size: int, under: str, seed: int) -> list[Figure]:
    """All sessions of one front are resized. `one-title`: they are all of one title."""
    before = resident()
    one = LoneFront(15, size, 1 if under == "one-title" else max(1, size // 4), 4)
    empty = resident()
    begun = time.thread_time_ns()
    one.fill(size)
    filled = (time.thread_time_ns() - begun) / 1e9
    memory = resident() - empty
    rounds = one.rounds()
    held = sum(sess.playing_since is not None for sess in one.front.sessions.values())
    name = "title" if under == "one-title" else "resize"
    return [
        Figure(f"{name}.stretch", max(rounds), "s"),
        Figure(f"{name}.cpu", sum(rounds) / ROUNDS / (one.front.resize_period_us / SECOND), "core"),
        Figure(f"{name}.memory", memory, "B"),
        Figure(f"{name}.held", held, "1"),
        Figure(f"{name}.arrival", filled / size, "s"),
        Figure(f"{name}.empty", empty - before, "B"),
    ]


def decide(of: str, size: int, under: str, seed: int) -> list[Figure]:
    """One request decided while all else is held fast; and what the decisions hold."""
    base = BASE | {of: size}
    base["servers"] = max(base["servers"], base["holders"])
    before = resident()
    one = LoneFront(base["servers"], max(base["sessions"], 1), base["titles"], base["holders"])
    one.fill(base["sessions"])
    if of == "titles":  # each was asked for once; what is left of it is what it costs
        for title in range(size):
            number, server = one.come(title)
            if server is not None:
                one.leave(number, server)
    memory = resident() - before
    taken = []
    for turn in range(REQUESTS):
        begun = time.thread_time_ns()
        number, server = one.come((seed + turn * 31) % base["titles"])
        taken.append((time.thread_time_ns() - begun) / 1e9)
        if server is not None:
            one.leave(number, server)
    return [Figure("decide.cpu", statistics.median(taken), "s"), Figure("decide.memory", memory, "B", "held")]


def titles(size: int, under: str, seed: int) -> list[Figure]:
    return decide("titles", size, under, seed)


def holders(size: int, under: str, seed: int) -> list[Figure]:
    return decide("holders", size, under, seed)


def servers(size: int, under: str, seed: int) -> list[Figure]:
    return decide("servers", size, under, seed)


def sessions(size: int, under: str, seed: int) -> list[Figure]:
    return decide("sessions", size, under, seed)


MEASUREMENTS = {
    "resize": Measurement("sessions", (1000, 3000, 10_000, 20_000, 40_000, 60_000), ("all", "one-title"),
                          "cores", resize, 200_000, 6000),
    "titles": Measurement("titles", (1000, 10_000, 50_000, 200_000), ("request",), "cores", titles,
                          1_000_000, 1000),
    "holders": Measurement("holders", (2, 8, 32, 96), ("request",), "cores", holders, 2000, 50_000),
    "servers": Measurement("servers", (20, 100, 300, 1000), ("request",), "cores", servers, 5000, 50_000),
    "sessions": Measurement("sessions", (1000, 5000, 20_000, 60_000), ("request",), "cores", sessions,
                            200_000, 6000),
}  # fmt: skip
