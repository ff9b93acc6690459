"""A whole fleet in virtual time, without checks: the shared cores of each front, over links that lose.

`Bare` fronts are what tells who lives (`fleet.view.Fleet`), `Whole` ones all decisions through the driver
that the shells use, with servers and viewers played from the seed. What a shell adds (sockets, the seal) is
left out. Same seed, same words; only processor time and memory are the machine's."""

import gc
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from ponddoor.decide import (
    DEAD_AFTER_ROUNDS,
    FIRST_SETUP_BACKOFF_US,
    FULL_MESH_FRONTS,
    GOSSIP_PERIOD_TARGETS,
    MAX_BACKOFF_DOUBLINGS,
    MIN_ACK_RATIO,
    MIN_UPDATED_RATIO,
    OWNERS_PER_GROUP,
    REPLY_TIMEOUT_US,
    Front,
)  # fmt: skip
from ponddoor.fleet.presence import Timing
from ponddoor.fleet.view import INCARNATION_EPOCH_US, Fleet, Terms
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import words
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import Script
from ponddoor.runtime.driver import Driver
from ponddoor.settings.site import loads
from ponddoor.world import LinkModel, World

SECOND = 1_000_000
HEADERS = 28  # bytes of IP and UDP a word; the sealed words of the HTTP front have SEALED more
SEALED = 29
KINDS = ("changes", "all", "ours", "holders", "answer", "begun", "lending", "ping", "ack", "via", "ask-news",
         "news", "brief", "saw")  # fmt: skip
TARGET = SECOND // 2  # the start target, of which two are a period of presence
PERIOD = GOSSIP_PERIOD_TARGETS * TARGET
LATE = 10_000  # us: a word takes so long at most
LENGTH = 60 * SECOND  # a session plays so long on average
SPAN = 4  # cells that hold a title

SITE = """(site virtual (zones {zones}) (kinds (kind box (streams 1000000)))
  (groups (group clips (start-target 500ms) (setup-timeout 3s) (utility 1)))
  (ladder (rung (rate 200kB/s) (utility 0.25)) (rung (rate 400kB/s) (utility 0.5))
    (rung (rate 700kB/s) (utility 0.7)) (rung (rate 1.2MB/s) (utility 0.85)) (rung (rate 2MB/s) (utility 1))
    (switch-cost 100ms))
  (plant (cells {servers}) (racks {racks}) (link-per-weight {link}MB/s) (uplink {uplink}MB/s)
    (note-delay 500ms))
  (rules (cold 10s) (cold-from 0.4) (drain-grace 500ms) (fall-multiple 2.5) (fall 1s) (answer-grace 40ms))
  (permissions (probes yes) (messages yes) (max-setups 3) (come-back 500ms) (connect-timeout 250ms))
  (prices (cross-zone 0.02) (probe 0.01) (message 0.01) (move 0.1))
  (reporting (how on-probe) (fields link-asked))
  (titles (unlisted everywhere))
  (list (address "127.0.0.1:1") (retry 200ms))
  (fronts (front 0 (zone z0) (viewers "127.0.0.1:2") (words "127.0.0.1:3") (metrics "127.0.0.1:4"))))
"""


@dataclass(frozen=True, slots=True)
class Course:
    """One run. Times in microseconds; `arrivals` a second and front, `rude` the share of them that leave at
    once and come again; `servers` of all, 0: presence alone (bare fronts)."""

    fronts: int
    seed: int
    loss: float = 0.0
    servers: int = 0
    arrivals: float = 0.0
    rude: float = 0.0
    zones: int = 8


def facts(course: Course) -> SiteFacts:
    """What all fronts of a course are told; each has its own number, zone and seed on top."""
    servers = max(course.servers, SPAN)
    # Room for a rung in the middle: some resizing, no shortage
    link = max(1.0, course.fronts * course.arrivals * LENGTH / SECOND * 1.2 / servers)
    text = SITE.format(
        zones=" ".join(f"z{number}" for number in range(course.zones)),
        servers=servers,
        racks=max(1, servers // 6),
        link=round(link, 3),
        uplink=round(link * 12, 3),
    )
    return replace(loads(text).facts_of(0, course.seed), fronts=course.fronts)


@dataclass(slots=True)
class Node:
    """One front: its cores while it is up, and what it said and took since it was counted last."""

    number: int
    zone: int
    up: bool = False
    life: int = 0  # counts its starts, so that what was meant for an earlier one is void
    core: Any = None
    armed: int = 0  # of a bare one: when its timer is due
    said: Counter[int] = field(default_factory=Counter)  # words by kind
    told: Counter[int] = field(default_factory=Counter)  # bytes by kind, without headers
    taken: int = 0
    taken_bytes: int = 0
    cpu: int = 0  # ns
    attempts: dict[int, int] = field(default_factory=dict)


class Bare:
    """What tells who lives, of one front, without decisions."""

    def __init__(self, told: SiteFacts, now: int) -> None:
        timing = Timing(PERIOD, REPLY_TIMEOUT_US, DEAD_AFTER_ROUNDS * PERIOD, 2 * DEAD_AFTER_ROUNDS * PERIOD)
        terms = Terms(
            OWNERS_PER_GROUP,
            FULL_MESH_FRONTS,
            timing,
            FIRST_SETUP_BACKOFF_US << MAX_BACKOFF_DOUBLINGS,
            DEAD_AFTER_ROUNDS * PERIOD,
            MIN_UPDATED_RATIO,
            MIN_ACK_RATIO,
            2,
        )
        self.fleet = Fleet(told, now, terms, 1)
        self.script: Script = self.fleet.gossip(lambda server: None, lambda owner: [])
        self.until = 0

    def turn(self, now: int) -> list[act.SendPeerMessage]:
        """What the script says until it waits again, until `until`."""
        self.fleet.now = now
        said: list[act.SendPeerMessage] = []
        for action in self.script:
            if isinstance(action, act.SendPeerMessage):
                said.append(action)
            elif isinstance(action, act.WaitForPeerMessage):
                self.until = action.until if action.until is not None else now + PERIOD
                return said
        return said

    def hear(self, now: int, peer: int, payload: bytes) -> list[act.SendPeerMessage]:
        self.fleet.now = now
        self.fleet.receive(peer, words.unpack(payload))
        return self.turn(now)


class Whole:
    """All decisions of one front."""

    def __init__(self, told: SiteFacts, now: int) -> None:
        self.front = Front(told, now)
        self.driver = Driver(self.front)
        self.fleet = self.front.fleet


class VirtualFleet(World):
    """Fronts, links between them, and for whole fronts servers that answer and viewers that come.

    `watch` is called for a front whose view of the others may have changed."""

    def __init__(self, course: Course) -> None:
        super().__init__(course.seed)
        self.course, self.facts = course, facts(course)
        self.links = LinkModel(course.loss, 0.0, 0.0, LATE, LATE)
        self.nodes = [Node(n, n * course.zones // course.fronts) for n in range(course.fronts)]
        self.cut: set[tuple[int, int]] = set()  # zones, one way
        self.asked = [0.0] * (course.servers + 1)  # kB a second, at each server
        self.rates = self.facts.ladder.rate_kb
        self.playing: dict[tuple[int, int, int], tuple[int, int]] = {}  # (front, life, request): server, rung
        self.counted_from = 0
        self.numbers = 0
        self.answered: Counter[str] = Counter()

    # Fronts

    def start(self, node: Node) -> None:
        """A front begins, in a new life."""
        node.up, node.life, node.armed = True, node.life + 1, 0
        told = replace(
            self.facts,
            me=node.number,
            zone=node.zone,
            seed=self.rng.getrandbits(32),
            wall=INCARNATION_EPOCH_US,
        )
        begun = time.thread_time_ns()
        node.core = Whole(told, self.now) if self.course.servers else Bare(told, self.now)
        node.cpu += time.thread_time_ns() - begun
        if self.course.servers:
            ready, count, zones = ev.ServerState.READY, self.course.servers, self.course.zones
            rows = tuple(ev.ServerRow(s, s * zones // count, 0, s, ready, 1.0, 0) for s in range(count))
            self.feed(node, ev.ServerNews(ev.NewsScope.FULL, rows))
            if self.course.arrivals:
                self.next_arrival(node, node.life)
        else:
            self.bare(node, node.life)

    def start_all(self, within: int = SECOND) -> None:
        for node in self.nodes:
            self.schedule_after(0, within, lambda node=node: self.start(node))  # type: ignore[misc]

    def acquaint(self) -> None:
        """As after hours together: each front has heard every other. A fleet that has just begun has not, for
        as long as a round of pings takes; that is a condition of its own."""
        for node in self.up():
            for other in self.up():
                if other is not node:
                    presence = other.core.fleet.presence
                    node.core.fleet.presence.accept_message(self.now, other.number, presence.incarnation)

    def stop(self, node: Node) -> None:
        """A front is gone at once, with what it had in hand."""
        node.up, node.core = False, None
        node.life += 1
        node.attempts.clear()
        for key in [key for key in self.playing if key[0] == node.number]:
            server, rung = self.playing.pop(key)
            self.asked[server] -= self.rates[rung]

    def up(self) -> list[Node]:
        return [node for node in self.nodes if node.up]

    def watch(self, node: Node) -> None:
        """Its view may have changed; a measurement looks here."""

    # Words

    def is_partitioned(self, sender: int, to: int) -> bool:
        return bool(self.cut) and (self.nodes[sender].zone, self.nodes[to].zone) in self.cut

    def send(self, node: Node, tells: Iterable[act.SendPeerMessage]) -> None:
        for tell in tells:
            payload, kind = tell.payload, tell.payload[0]
            targets = [tell.peer] if tell.peer is not None else [n for n in range(self.course.fronts)
                                                                if n != node.number]  # fmt: skip
            node.said[kind] += len(targets)
            node.told[kind] += len(targets) * len(payload)
            for to in targets:
                self.transmit(node.number, to, self.links,
                             lambda to=to, payload=payload: self.arrive(node.number, to, payload))  # type: ignore[misc]  # fmt: skip

    def arrive(self, sender: int, to: int, payload: bytes) -> None:
        node = self.nodes[to]
        if not node.up:
            return
        node.taken += 1
        node.taken_bytes += len(payload) + HEADERS
        if self.course.servers:
            self.feed(node, ev.PeerMessage(sender, payload))
            return
        begun = time.thread_time_ns()
        said = node.core.hear(self.now, sender, payload)
        node.cpu += time.thread_time_ns() - begun
        self.said_bare(node, said)

    def bare(self, node: Node, life: int) -> None:
        """The timer of a bare front."""
        if node.life != life or not node.up or self.now < node.armed:
            return
        node.armed = 0
        begun = time.thread_time_ns()
        said = node.core.turn(self.now)
        node.cpu += time.thread_time_ns() - begun
        self.said_bare(node, said)

    def said_bare(self, node: Node, said: list[act.SendPeerMessage]) -> None:
        if said:
            self.send(node, said)
        due = max(node.core.until, self.now + 1)
        if not node.armed or due < node.armed:  # one timer is enough: a later moment is asked for as it comes
            node.armed, life = due, node.life
            self.schedule_at(due, lambda: self.bare(node, life))
        self.watch(node)

    # Decisions, servers and viewers

    def feed(self, node: Node, event: ev.Event) -> None:
        begun = time.thread_time_ns()
        actions = node.core.driver.handle(self.now, event)
        node.cpu += time.thread_time_ns() - begun
        life = node.life
        tells: list[act.SendPeerMessage] = []
        for action in actions:
            match action:
                case act.SendPeerMessage():
                    tells.append(action)
                case act.SetTimer(at, cookie):
                    self.schedule_at(at, lambda cookie=cookie: self.later(node, life, ev.TimerDue(cookie)))  # type: ignore[misc]
                case act.Probe(server):
                    self.schedule_after(1000, LATE, lambda server=server: self.probed(node, life, server))  # type: ignore[misc]
                case act.Setup(req_id, server, _):
                    node.attempts[req_id] = node.attempts.get(req_id, -1) + 1
                    self.schedule_after(2000, 4 * LATE, lambda one=action: self.set_up(node, life, one))  # type: ignore[misc]
                case act.SetRung(req_id, rung) if (node.number, life, req_id) in self.playing:
                    server, held = self.playing[node.number, life, req_id]
                    self.playing[node.number, life, req_id] = server, rung
                    self.asked[server] += self.rates[rung] - self.rates[held]
                case act.BusyReply() | act.TearDown():
                    self.answered["refused"] += 1
                    node.attempts.pop(action.req_id, None)
        self.send(node, tells)
        self.watch(node)

    def later(self, node: Node, life: int, event: ev.Event) -> None:
        if node.up and node.life == life:
            self.feed(node, event)

    def report(self, server: int) -> dict[str, float]:
        return {"link_asked": self.asked[server] / self.facts.plant.kb_per_weight}

    def probed(self, node: Node, life: int, server: int) -> None:
        self.answered["probed"] += 1
        self.later(node, life, ev.Probed(server, 5000, ev.Result.SERVED, self.report(server)))

    def set_up(self, node: Node, life: int, asked: act.Setup) -> None:
        if not node.up or node.life != life:
            return
        key, attempt = (node.number, life, asked.req_id), node.attempts.get(asked.req_id)
        if attempt is None:
            return
        self.answered["playing"] += 1
        rung = node.core.front.sessions[asked.req_id].rung
        self.playing[key] = asked.server, rung
        self.asked[asked.server] += self.rates[rung]
        self.feed(node, ev.Started(asked.req_id, attempt, asked.server, 20_000))
        lasts = round(self.rng.expovariate(1 / LENGTH))
        self.schedule_at(self.now + lasts, lambda: self.ended(node, life, asked.req_id, attempt))

    def ended(self, node: Node, life: int, req_id: int, attempt: int) -> None:
        held = self.playing.pop((node.number, life, req_id), None)
        if held is None:
            return
        self.asked[held[0]] -= self.rates[held[1]]
        node.attempts.pop(req_id, None)
        self.feed(node, ev.Ended(req_id, attempt, held[0], ev.Result.SERVED, True, 0, self.report(held[0])))

    def next_arrival(self, node: Node, life: int) -> None:
        gap = round(self.rng.expovariate(self.course.arrivals / SECOND))
        self.schedule_at(self.now + gap, lambda: self.arrival(node, life))

    def arrival(self, node: Node, life: int) -> None:
        if not node.up or node.life != life:
            return
        self.numbers += 1
        number = self.numbers
        home = self.rng.randrange(self.course.servers)
        asked = ev.SessionRequest(number, 0, 0, number, home, 3 * SECOND, None, home, SPAN, 4)
        self.feed(node, asked)
        if self.course.rude and self.rng.random() < self.course.rude:
            # A client that leaves before it is answered, or as it is
            self.schedule_after(1000, 30_000, lambda: self.left(node, life, number))
        self.next_arrival(node, life)

    def left(self, node: Node, life: int, number: int) -> None:
        if not node.up or node.life != life or number not in node.core.front.sessions:
            return
        self.answered["left"] += 1
        held = self.playing.pop((node.number, life, number), None)
        if held is not None:
            self.asked[held[0]] -= self.rates[held[1]]
        attempt = node.attempts.pop(number, None)
        self.feed(node, ev.ViewerLeft(number))
        if attempt is not None and number in node.core.front.sessions:  # its set-up is taken down
            server = node.core.front.sessions[number].server
            self.feed(node, ev.Ended(number, attempt, server, ev.Result.CANCELLED, True, 0, {}))

    # Sums

    def count_anew(self) -> None:
        """What was said and taken until now counts no more, and memory is not looked through from now on: a
        collection over all fronts would count as the time of the one that happens to run."""
        gc.collect()
        gc.freeze()
        gc.disable()
        self.counted_from = self.now
        self.answered.clear()
        for node in self.nodes:
            node.said.clear()
            node.told.clear()
            node.taken = node.taken_bytes = node.cpu = 0


def seeded(seed: int, repetition: int) -> int:
    """The seed of a repetition."""
    return Random(f"{seed}/{repetition}").getrandbits(31)
