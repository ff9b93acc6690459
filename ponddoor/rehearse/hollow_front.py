"""A hollow front: the decisions, engine and cores of a real one behind its own socket for words.

Its viewers are those of the day at its number, fed to the engine; its servers are pretended in the process.
Of what a real front has it lacks the HTTP servers, the connections to list and servers, seats and hints. It
is killed, stopped and started anew as a process would be, by order."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any, Protocol

import numpy as np

from ponddoor.decide import Front
from ponddoor.front import effects as fx
from ponddoor.front.acting import DeadFronts
from ponddoor.front.effects import Answer, Effect, ViewerRequest
from ponddoor.front.engine import Engine, stable_id
from ponddoor.front.limits import AdmissionGate, LagMeter
from ponddoor.front.pump import SECOND, Pump, clock
from ponddoor.front.reconnect import ReconnectSchedule
from ponddoor.front.sealed import Seal
from ponddoor.front.words import GossipSocket, GossipTraffic, wall_clock_us
from ponddoor.interface import events as ev
from ponddoor.interface.words import kind_of
from ponddoor.rehearse.day import Day, Viewer, viewers_of
from ponddoor.rehearse.hollow_following import Followers
from ponddoor.rehearse.hollow_servers import PretendedServer
from ponddoor.settings.site import Site

TRIES = 8  # of one viewer
BACKLOG = 500  # words that wait at a front which stands still, as at a socket's buffer


class Around(Protocol):
    """What a hollow front finds in its process."""

    site: Site
    day: Day
    lag: LagMeter
    without: str
    followers: Followers | None

    def server(self, number: int) -> PretendedServer | None: ...
    def servers(self) -> list[PretendedServer]: ...
    def rows(self) -> tuple[ev.ServerRow, ...]: ...
    def passes(self, source: int, target: int) -> float | None: ...
    def changed(self, front: int, other: int, dead: bool) -> None: ...


class HollowPump(Pump):
    """A pump that stands still while its process would."""

    frozen = False
    missed = False

    def _on_timer(self) -> None:
        if self.frozen:
            self.missed = True
            return
        super()._on_timer()

    def thaw(self) -> None:
        self.frozen = False
        if self.missed:
            self.missed = False
            super()._on_timer()


class HollowWords(GossipSocket):
    """A front's words, on which the faults in force between hollow fronts are put where they leave.

    Words to a real front pass the rehearsal's relay, which puts them on there."""

    passes: Callable[[int, int], float | None] = staticmethod(lambda source, target: 0.0)
    without: str = ""  # a kind of word that is left out, to see that this is found

    def send(self, peer: int | None, payload: bytes) -> None:
        if not self.without or kind_of(payload) != self.without:
            super().send(peer, payload)

    def _send_datagram(self, number: int, datagram: bytes) -> None:
        wait = self.passes(self.me, number)
        if wait is None:
            return
        if wait > 0:
            asyncio.get_running_loop().call_later(wait, super()._send_datagram, number, datagram)
        else:
            super()._send_datagram(number, datagram)


@dataclass(slots=True)
class _Seen:
    """A viewer in one of its tries."""

    viewer: Viewer
    tries: int
    end: int  # us, of the front's clock
    leaving: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class _Life:
    """One life of a hollow front."""

    decisions: Front
    engine: Engine
    pump: HollowPump
    words: HollowWords
    standings: DeadFronts = field(default_factory=DeadFronts)
    epoch: int = 0


class HollowFront:
    """One front's place; a life runs in it from `start` to `kill`."""

    def __init__(self, around: Around, me: int) -> None:
        self.around, self.me = around, me
        self.life: _Life | None = None
        self.starts, self.began = 0, 0
        self.counts: dict[str, int] = {}
        self.out, self.come = GossipTraffic(), GossipTraffic()  # of lives that are over
        self._rng = np.random.default_rng([around.day.seed, 73, me])
        self._viewers = deque[Viewer]()
        self._seen: dict[str, _Seen] = {}
        self._numbers = count()
        self._calls: set[asyncio.TimerHandle] = set()
        self._waiting: deque[Callable[[int], list[Effect]]] = deque(maxlen=BACKLOG)

    # Life

    async def start(self, port: int | None = None) -> None:
        """Begin a life, at the site's address or another port. Raises OSError where that can't be had."""
        around, now = self.around, clock()
        site = around.site
        if port is not None:
            place = replace(site.fronts[self.me], words=("127.0.0.1", port))
            site = replace(site, fronts=(*site.fronts[: self.me], place, *site.fronts[self.me + 1 :]))
        self.starts += 1
        seed = (around.day.seed * 1000 + self.me) * 1000 + self.starts
        facts = replace(site.facts_of(self.me, seed), wall=wall_clock_us() - now)
        decisions = Front(facts, now)
        engine = Engine(decisions, facts, AdmissionGate(site.limits, around.lag))
        pump = HollowPump(engine, self._carry_out)
        seal = Seal(site.words.key, self.me, len(site.fronts), site.words.age)
        words = HollowWords(site, self.me, seal, self._heard)
        words.passes, words.without = around.passes, around.without
        self.life = _Life(decisions, engine, pump, words, epoch=self.starts)
        await words.start()
        if around.followers is not None:
            around.followers.begin(self.me, facts)
        known = around.rows() if self.starts > 1 else ()  # a first life has no list on disk
        self.apply(lambda now: engine.server_news(now, ev.NewsScope.CACHED, known))
        grace, step = facts.rules.drain_grace, site.listing.retry
        schedule = ReconnectSchedule(self.me, facts.fronts, grace, facts.seed, step)
        self._after(schedule.start(clock()) - clock(), self.listed)

    def kill(self) -> None:
        """End as a killed process does: nobody is told."""
        life, self.life = self.life, None
        if life is None:
            return
        if self.around.followers is not None:
            self.around.followers.end(self.me)
        life.words.close()
        life.pump.frozen = True
        life.pump.close()
        self.out, self.come = self._ever(life)
        self._waiting.clear()
        for server in self.around.servers():
            server.lose(self.me)
        for sess in list(self._seen):
            self._broken(sess)

    def stop(self) -> None:
        """Stand still as a stopped process does."""
        if self.life is not None:
            self.life.pump.frozen = True

    def go(self) -> None:
        """Go on: first the timers that are due, then what came meanwhile."""
        if self.life is None:
            return
        self.life.pump.thaw()
        while self._waiting:
            self.apply(self._waiting.popleft())

    def close(self) -> None:
        """The process ends."""
        for handle in self._calls:
            handle.cancel()
        if self.life is not None:
            self.life.words.close()
            self.life.pump.close()

    def apply(self, call: Callable[[int], list[Effect]]) -> None:
        life = self.life
        if life is None:
            return
        if life.pump.frozen:
            self._waiting.append(call)
            return
        life.pump.apply(call)
        self.look()

    def look(self) -> None:
        """Tell when this front takes another for dead, or for alive again."""
        if self.life is not None and not self.life.pump.frozen:
            for other, dead in self.life.standings.changes(self.life.decisions.fleet.presence).items():
                self.around.changed(self.me, other, dead)

    def listed(self) -> None:
        """All of the list, as it is now."""
        if self.life is not None:
            engine, rows = self.life.engine, self.around.rows()
            self.apply(lambda now: engine.server_news(now, ev.NewsScope.FULL, rows))

    def news(self, scope: ev.NewsScope, rows: tuple[ev.ServerRow, ...]) -> None:
        if self.life is not None:
            engine = self.life.engine
            self.apply(lambda now: engine.server_news(now, scope, rows))

    def _heard(self, peer: int, payload: bytes) -> None:
        if self.life is not None:
            engine = self.life.engine
            self.apply(lambda now: engine.peer_message(now, peer, payload))

    def _after(self, wait: int, call: Callable[[], None]) -> None:
        """Call in so many microseconds."""

        def carry() -> None:
            self._calls.discard(handle)
            call()

        handle = asyncio.get_running_loop().call_later(max(wait, 0) / SECOND, carry)
        self._calls.add(handle)

    # What the engine wants

    def _carry_out(self, effect: Effect) -> None:
        life = self.life
        if life is None:
            return
        engine = life.engine
        match effect:
            case fx.SendGossip(peer, payload):
                life.words.send(peer, payload)
            case fx.SendSetup(sess, attempt, number):
                server = self.around.server(number)

                def answered(
                    result: ev.Result | None, report: dict[str, float], asked: dict[str, float]
                ) -> None:
                    if self.life is life:
                        self.apply(
                            lambda now: engine.setup_answered(
                                now, sess, attempt, number, result, report, asked
                            )
                        )

                if server is None:
                    answered(ev.Result.MOOT, {}, {})
                else:
                    server.set_up(effect, self.me, life.epoch, answered)
            case fx.SendTeardown(sess, attempt, number):
                server = self.around.server(number)
                if server is not None and server.up:
                    server.cancel((sess, attempt))
            case fx.SendRung(sess, attempt, number, rung):
                server = self.around.server(number)
                if server is not None:
                    server.set_rung(sess, attempt, rung)
            case fx.SendProbe(number):
                self._probe(life, number)
            case fx.Reply(sess, answer):
                self._replied(sess, answer)
            case fx.Push(sess, "ended" | "moved" as what, value):
                self._ended(sess, what, str(value))
            case _:
                return  # no connections to close, no list to watch, no log

    def _probe(self, life: _Life, number: int) -> None:
        def outcome(lag: int, result: ev.Result, report: dict[str, float]) -> None:
            if self.life is life:
                self.apply(lambda now: life.engine.probe_answered(now, number, lag, result, report))

        server = self.around.server(number)
        if server is None:
            outcome(0, ev.Result.CONNECT_FAILED, {})
        else:
            server.probed(self.around.site.servers.probe_timeout, outcome)

    # Viewers

    def open(self, begin: int) -> None:
        """The day's viewers come from a moment of the clock on (us)."""
        self.began = begin
        self._viewers = deque(viewers_of(self.around.day, self.me))
        self._next()

    def _next(self) -> None:
        if self._viewers:
            self._after(self.began + self._viewers[0].at - clock(), self._comes)

    def _comes(self) -> None:
        viewer = self._viewers.popleft()
        last = self.began + self.around.day.length
        self._ask(_Seen(viewer, 0, min(self.began + viewer.at + viewer.stay, last)))
        self._next()

    def _ask(self, seen: _Seen, moved: bool = False) -> None:
        """One try of a viewer."""
        now = clock()
        if seen.tries >= TRIES or now >= seen.end - SECOND // 5:
            return
        seen.tries += 1
        if self.life is None or self.life.pump.frozen:
            self._count("not-taken")
            self._again(seen, 0)
            return
        site, viewer = self.around.site, seen.viewer
        group, place = site.facts.groups[viewer.group], site.titles.find(viewer.title)
        if place is None:
            self._count("no-such-title")
            return
        length = round((seen.end - now) * float(self._rng.uniform(0.7, 1.4)))
        top = min(viewer.top, group.top, len(site.facts.ladder.rate_kb) - 1)
        ask = ViewerRequest(viewer.title, viewer.group, viewer.tenant, place.home, place.span, top,
                  group.setup_timeout, length, stable_id(f"v{viewer.number}"), seen.tries > 1,
                  moved)  # fmt: skip
        sess = f"h{self.me}.{self.starts}.{next(self._numbers)}"
        self._seen[sess] = seen
        engine = self.life.engine
        self.apply(lambda now: engine.request(now, sess, ask, None)[1])

    def _replied(self, sess: str, answer: Answer) -> None:
        seen = self._seen.get(sess)
        self._count(answer.kind)
        if seen is None:
            return
        if answer.kind == "playing":
            self._after(seen.end - clock(), lambda: self._leaves(sess))
            return
        del self._seen[sess]
        if answer.kind != "left":
            self._again(seen, answer.come_back)

    def _leaves(self, sess: str) -> None:
        if self._seen.pop(sess, None) is not None and self.life is not None:
            engine = self.life.engine
            self._count("over")
            self.apply(lambda now: engine.viewer_left(now, sess))

    def _ended(self, sess: str, what: str, why: str) -> None:
        seen = self._seen.pop(sess, None)
        if seen is not None:
            self._count(what)
            if what == "moved":
                self._after(3 * SECOND // 10, lambda: self._ask(seen, True))
            elif why != "over":
                self._again(seen, 0)

    def stream_over(self, sess: str) -> None:
        """A stream ended at its server: its viewer sees that, and leaves the session."""
        if self.life is not None and sess in self._seen:
            engine = self.life.engine
            self.apply(lambda now: engine.viewer_left(now, sess))
            self._broken(sess)

    def _broken(self, sess: str) -> None:
        seen = self._seen.pop(sess, None)
        if seen is not None:
            self._count("broken")
            self._again(seen, 0)

    def _again(self, seen: _Seen, come_back: int) -> None:
        day = self.around.day
        if float(self._rng.random()) <= day.returns:
            pause = max(round(float(self._rng.uniform(*day.come_back))), come_back)
            self._after(pause, lambda: self._ask(seen))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # What is told of it

    def _ever(self, life: _Life) -> tuple[GossipTraffic, GossipTraffic]:
        """What it said and heard in the lives before this one, and in this one."""
        return self.out.combined_with(life.words.sent_traffic), self.come.combined_with(
            life.words.received_traffic
        )

    def told(self) -> dict[str, Any]:
        """Its words by kind in all its lives, and what it holds."""
        life = self.life
        out, come = (self.out, self.come) if life is None else self._ever(life)
        told = {
            "lives": life is not None,
            "starts": self.starts,
            "at_us": clock(),
            "out": out.kinds,
            "in": come.kinds,
            "tries": self.counts,
            "keeps": [],
        }
        if life is None:
            return told
        fleet = life.decisions.fleet
        return told | {
            "lost": life.words.lost,
            "refused": life.words.seal.refused,
            "keeps": [group for group in fleet.groups if self.me in fleet.owners(group)],
            "held": life.engine.sessions_held,
            "faults": life.engine.counts.faults,
            "decision_s": life.engine.counts.decision_ns / 1e9,
            "setups": life.engine.counts.setups,
        }
