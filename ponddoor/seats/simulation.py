"""The core of the seats under a deterministic simulation: from one seed the same schedule every time.

Several fronts with drifting clocks and disks that fail, a network that loses, doubles, delays and reorders,
viewers that take, renew, repeat, give back, vanish and cheat, crashes at any disk operation, disks lost.
After every step the seats that are granted and run, by the clock of the front that granted them, are counted:
they never exceed the limit. After the trouble every seat comes back, and the whole limit can be granted
again."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ponddoor.seats.core import (
    Effect,
    Expired,
    Granted,
    Key,
    Refused,
    Seats,
    Send,
    Timing,
    Write,
)
from ponddoor.store.faulty import CrashError
from ponddoor.store.journal import Journal
from ponddoor.world import LinkModel, Machine, WorldWithDisks, find_failing_seed

TICK = 50_000


class ExceededError(Exception):
    """More seats ran than the limit, or not all came back. Names the seed, which replays it."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """The sizes and chances of one schedule, drawn from its seed."""

    seed: int
    fronts: int = 3
    viewers: int = 12
    limit: int = 4
    seconds: int = 40
    loss: float = 0.1
    double: float = 0.1
    slow: float = 0.05
    crashes: int = 4
    disk_losses: float = 0.15
    drift: float = 0.01
    down: int = 6_000_000
    cuts: int = 0
    timing: Timing = Timing(
        token=2_000_000, lease=5_000_000, retry=80_000, borrow_wait=400_000, least_life=200_000, idle=800_000
    )


@dataclass(slots=True)
class Node(Machine):
    """One front: its clock, disk, and what runs there while it is up."""

    offset: int = 0
    core: Seats | None = None
    epoch: int = 0


@dataclass(slots=True)
class Claim:
    """What a viewer was told: a seat that runs until a moment of its front's clock."""

    front: int
    seat: str
    generation: int
    expires: int


@dataclass(frozen=True, slots=True)
class Asked:
    """What a ticket was for: a renewal of the generation shown, or a seat (0) that `then` is told of."""

    who: str
    shown: int
    at: int
    then: Callable[[str, str], None]


@dataclass(slots=True)
class Found:
    """What a run saw."""

    steps: int = 0
    granted: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    messages: int = 0
    most: int = 0
    crashes: int = 0
    wrong_refusals: int = 0
    grant_ms: list[float] = field(default_factory=list)


class Simulation(WorldWithDisks):
    """One schedule. `make` builds the core, so that one with a guard taken out can be run as well."""

    def __init__(self, plan: Schedule, make: Callable[..., Seats] = Seats) -> None:
        super().__init__(plan.seed, 0.02)
        self.plan, self.make = plan, make
        self.key: Key = ("t", "e")
        self.limit = self.allowed = plan.limit
        self.found = Found()
        self.tickets = itertools.count(1)
        self.asked: dict[int, Asked] = {}
        self.claims: dict[str, Claim] = {}
        self.cut: set[int] = set()
        self.links = LinkModel(plan.loss, plan.double, plan.slow, 40_000, 2 * plan.timing.lease)
        self.nodes = [
            Node(
                n,
                1 + plan.drift * self.rng.uniform(-1, 1),
                offset=self.rng.randrange(10**9),
                files=self.new_disk(),
            )
            for n in range(plan.fronts)
        ]

    def is_partitioned(self, sender: int, to: int) -> bool:
        return sender in self.cut or to in self.cut

    def clock(self, node: Node) -> int:
        return node.offset + round(self.now * node.clock_rate)

    def run(self) -> Found:
        """Play the schedule. Raises ExceededError."""
        plan, end = self.plan, self.plan.seconds * 1_000_000
        for node in self.nodes:
            self._start(node)
        for viewer in range(plan.viewers):
            self.schedule_after(0, 3_000_000, lambda viewer=viewer: self._viewer(f"v{viewer}", 0))  # type: ignore[misc]
        for _ in range(plan.crashes):
            self.schedule_after(1_000_000, end * 2 // 3, self._some_crash)
        for _ in range(plan.cuts):
            self.schedule_after(1_000_000, end * 2 // 3, self._cut_off)
        self.run_until(end)
        self.faults_enabled = False
        self.cut.clear()
        for node in self.nodes:
            node.files.operations_until_crash = -1
            node.files.pending_faults.clear()
            if node.core is None:
                self._start(node)
        quiet = 3 * plan.timing.lease
        self.run_until(end + quiet)
        self._came_back()
        return self.found

    def check_invariants(self) -> None:
        self.found.steps = self.steps
        running = self._running()
        self.found.most = max(self.found.most, running)
        if running > self.allowed:
            raise ExceededError(f"seed {self.plan.seed}: {running} seats of {self.allowed} at {self.now}")

    def _running(self) -> int:
        return sum(self.clock(self.nodes[claim.front]) < claim.expires for claim in self.claims.values())

    def _came_back(self) -> None:
        now = [self.clock(node) for node in self.nodes]
        self.claims = {seat: claim for seat, claim in self.claims.items() if now[claim.front] < claim.expires}
        got: list[str] = []
        first = self.nodes[self.rng.randrange(len(self.nodes))]
        for number in range(self.limit):
            self._take(first, f"last{number}", lambda sess, seat: got.append(seat))
        self.run_until(self.now + 4 * self.plan.timing.borrow_wait)
        if len(got) < self.limit:
            for number in range(self.limit):
                self._take(first, f"last{number}", lambda sess, seat: got.append(seat))
            self.run_until(self.now + self.plan.timing.lease)
        if len(set(got)) < self.limit:
            raise ExceededError(f"seed {self.plan.seed}: {len(set(got))} of {self.limit} seats came back")

    # Fronts

    def _start(self, node: Node) -> None:
        node.starts += 1
        node.files.locked = False
        journal = Journal(node.files, segment_bytes=2000)
        try:
            held = journal.open()
        except CrashError:
            self.on_crash(node)
            return
        now = self.clock(node)
        before = [row[1] for row in [*(held.state or []), *held.records] if row[0] == "begun"]
        node.epoch = max(before + [node.epoch if held.records or held.state else now]) + 1
        limits, timing = {self.key: self.limit}, self.plan.timing
        core = self.make(node.number, self.plan.fronts, limits, timing, node.epoch, now)
        core.recover(now, held.state, held.records)
        node.core, node.journal, node.committing = core, journal, False
        node.last_record_at_start = journal.next_number - 1
        self._carry_out(node, core.begin(now))
        start = node.starts
        self.schedule_after(0, TICK, lambda: self._tick(node, start))

    def _tick(self, node: Node, start: int) -> None:
        if node.core is None or node.starts != start:
            return
        self._carry_out(node, node.core.tick(self.clock(node)))
        self.schedule_at(self.now + TICK, lambda: self._tick(node, start))

    def on_crash(self, node: Node) -> None:
        """The machine stops; what was not durable may be gone, now and then the whole disk."""
        node.core = node.journal = None
        node.starts += 1
        self.found.crashes += 1
        node.files.crash()
        if self.faults_enabled and self.rng.random() < self.plan.disk_losses:
            node.files = self.new_disk()
        start = node.starts
        self.schedule_after(
            50_000,
            self.plan.down,
            lambda: self._start(node) if node.starts == start and node.core is None else None,
        )

    def _some_crash(self) -> None:
        node = self.nodes[self.rng.randrange(len(self.nodes))]
        if node.core is None or not self.faults_enabled:
            return
        if self.rng.random() < 0.5:
            # Crashes in the middle of one of its next disk operations
            node.files.operations_until_crash = self.rng.randint(0, 6)
        else:
            self.on_crash(node)

    def _cut_off(self) -> None:
        """One front hears nobody and is heard by nobody, for longer than a lease or not."""
        number = self.rng.randrange(len(self.nodes))
        self.cut.add(number)
        self.schedule_after(1_000_000, 3 * self.plan.timing.lease, lambda: self.cut.discard(number))

    def _carry_out(self, node: Node, effects: list[Effect]) -> None:
        start = node.starts
        for effect in effects:
            if node.starts != start:
                return
            match effect:
                case Write(_, record):
                    self.append_record(node, record)
                case Send(peer, message):
                    self._send(node.number, peer, message)
                case Granted():
                    self._granted(node, effect)
                case Refused(ticket, why):
                    self.found.refused[why] = self.found.refused.get(why, 0) + 1
                    if why == "no-seat" and self._running() < self.limit:
                        self.found.wrong_refusals += 1
                    self.asked.pop(ticket, None)
                case Expired():
                    pass

    def on_durable(self, node: Node, number: int) -> None:
        assert node.core is not None
        self._carry_out(node, node.core.durable(self.clock(node), number))

    def snapshot_state(self, node: Node) -> Any:
        assert node.core is not None
        return node.core.state()

    def _send(self, sender: int, peer: int, message: Any) -> None:
        self.found.messages += 1
        self.transmit(sender, peer, self.links, lambda: self._arrive(sender, peer, message))

    def _arrive(self, sender: int, peer: int, message: Any) -> None:
        node = self.nodes[peer]
        if node.core is not None:
            self._carry_out(node, node.core.heard(self.clock(node), sender, message))

    # Viewers

    def _viewer(self, name: str, number: int) -> None:
        """One session after the other, at any front."""
        if not self.faults_enabled:
            return
        node, sess = self.nodes[self.rng.randrange(len(self.nodes))], f"{name}.{number}"
        self._take(node, sess, self._plays)
        if self.rng.random() < 0.3:  # a repeat that may cross the answer
            self.schedule_after(0, 300_000, lambda: self._take(node, sess, self._plays))
        self.schedule_after(500_000, 8_000_000, lambda: self._viewer(name, number + 1))

    def _take(self, node: Node, sess: str, then: Callable[[str, str], None]) -> None:
        if node.core is None:
            return
        ticket = next(self.tickets)
        self.asked[ticket] = Asked(sess, 0, self.now, then)
        self._carry_out(
            node, node.core.take(self.clock(node), ticket, self.key, sess.partition(".")[0], sess)
        )

    def _granted(self, node: Node, got: Granted) -> None:
        asked = self.asked.pop(got.ticket, None)
        if asked is None:
            return
        self.found.granted += 1
        self.found.grant_ms.append((self.now - asked.at) / 1000)
        old = self.claims.get(got.seat)
        if old is None or old.generation <= got.generation:
            self.claims[got.seat] = Claim(node.number, got.seat, got.generation, got.expires)
        if asked.shown and (got.generation > asked.shown + 1 or asked.who != got.viewer):
            told = f"{asked.who} showed generation {asked.shown}, got {got.generation} of {got.viewer}"
            raise ExceededError(f"seed {self.plan.seed}: {told}")
        if not asked.shown:
            asked.then(got.sess, got.seat)

    def _plays(self, sess: str, seat: str) -> None:
        viewer, left = sess.partition(".")[0], self.rng.randint(0, 6)
        self.schedule_after(0, 500_000, lambda: self._go_on(viewer, seat, left))

    def _go_on(self, viewer: str, seat: str, left: int) -> None:
        """Renew a few times, then give back or vanish; now and then cheat."""
        claim = self.claims.get(seat)
        if claim is None or not self.faults_enabled:
            return
        node, chance = self.nodes[claim.front], self.rng.random()
        if left == 0:
            if chance < 0.6 and node.core is not None:
                self._give_back(node, viewer, claim)
            return
        if node.core is not None:
            generation = claim.generation - (chance < 0.15) - (chance < 0.05) + (chance > 0.97)
            who = "thief" if 0.9 < chance < 0.95 else viewer
            self._renew(node, claim, who, generation)
            if chance < 0.4:  # the same renewal again, crossing the first
                self.schedule_after(0, 200_000, lambda: self._renew(node, claim, viewer, generation))
        self.schedule_after(300_000, 1_500_000, lambda: self._go_on(viewer, seat, left - 1))

    def _renew(self, node: Node, claim: Claim, viewer: str, generation: int) -> None:
        if node.core is None:
            return
        ticket = next(self.tickets)
        self.asked[ticket] = Asked(viewer, generation, self.now, lambda sess, seat: None)
        now = self.clock(node)
        self._carry_out(node, node.core.renew(now, ticket, self.key, claim.seat, viewer, generation))

    def _give_back(self, node: Node, viewer: str, claim: Claim) -> None:
        assert node.core is not None
        effects = node.core.give_back(self.clock(node), self.key, claim.seat, viewer)
        self.claims.pop(claim.seat, None)  # the viewer has stopped before it said so
        self._carry_out(node, effects)


def drawn(seed: int) -> Schedule:
    """A schedule of any shape."""
    rng = Random(seed * 7919 + 1)
    return Schedule(
        seed,
        fronts=rng.choice([2, 3, 3, 5]),
        viewers=rng.randint(4, 24),
        limit=rng.randint(1, 8),
        seconds=rng.randint(10, 40),
        loss=rng.choice([0, 0.1, 0.3]),
        double=rng.choice([0, 0.1, 0.3]),
        slow=rng.choice([0, 0.05, 0.2]),
        crashes=rng.randint(0, 8),
        disk_losses=rng.choice([0, 0, 0.3]),
        drift=rng.choice([0, 0.01]),
        cuts=rng.choice([0, 0, 1, 3]),
    )


def explore(
    first: int, count: int, make: Callable[..., Seats] = Seats, shape: Callable[[int], Schedule] = drawn
) -> tuple[int, str]:
    """Run schedules one after the other until one fails; returns how many ran and what failed."""
    return find_failing_seed(first, count, lambda seed: Simulation(shape(seed), make).run(), ExceededError)
