"""Deterministic simulation of the count of seats: the same seed gives the same schedule every time.

Several fronts have drifting clocks and failing disks. The network loses, duplicates, delays and reorders
messages. Viewers take seats, renew them, repeat requests, give seats back, vanish, and present tokens that
are not theirs. Fronts crash at any disk operation, and some lose their disk.

After every step the granted seats that have not expired, by the clock of the front that granted them, must
not exceed the limit. After the faults end, all seats must become free, so that the whole limit can be
granted."""

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

TICK_PERIOD_US = 50_000


class SeatInvariantError(Exception):
    """More seats ran than the limit, a renewal got a grant that is not its own, or not all seats became free.
    The text names the seed, which reproduces the run."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """The sizes and faults of one simulated run.

    `loss_ratio`, `duplicate_ratio` and `late_ratio` are probabilities for each message, `disk_loss_ratio` for
    each crash. A crashed front is down for up to `max_downtime` microseconds."""

    seed: int
    fronts: int = 3
    viewers: int = 12
    limit: int = 4
    duration_s: int = 40
    loss_ratio: float = 0.1
    duplicate_ratio: float = 0.1
    late_ratio: float = 0.05
    crashes: int = 4
    disk_loss_ratio: float = 0.15
    drift_ratio: float = 0.01
    max_downtime: int = 6_000_000
    partitions: int = 0
    timing: Timing = Timing(
        seat_lifetime=2_000_000,
        lease=5_000_000,
        retry_interval=80_000,
        max_wait=400_000,
        min_seat_lifetime=200_000,
        surplus_retention=800_000,
    )


@dataclass(slots=True)
class Node(Machine):
    """One front: its clock, its disk, and its core while the front is up."""

    clock_offset: int = 0
    core: Seats | None = None
    epoch: int = 0


@dataclass(slots=True)
class HeldSeat:
    """A seat as its viewer knows it: the newest generation that was granted, and when that expires by the
    clock of the granting front."""

    front: int
    seat: str
    generation: int
    expires: int


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A viewer's request without a reply yet.

    `requester` is the viewer of a renewal, the session of a request for a new seat. `presented_generation` is
    0 in a request for a new seat; once that is granted, `on_granted` is called with the session and the
    seat."""

    requester: str
    presented_generation: int
    requested_at: int
    on_granted: Callable[[str, str], None]


@dataclass(slots=True)
class RunResult:
    """The counts of a run. `refused_while_free` is how often "no-seat" was answered while fewer seats than
    the limit ran; `grant_ms` are the times from request to grant."""

    steps: int = 0
    granted: int = 0
    refusals: dict[str, int] = field(default_factory=dict)
    messages: int = 0
    max_running: int = 0
    crashes: int = 0
    refused_while_free: int = 0
    grant_ms: list[float] = field(default_factory=list)


class Simulation(WorldWithDisks):
    """One run of a schedule. `make_core` builds a front's core: Seats, or a mutant of it."""

    def __init__(self, plan: Schedule, make_core: Callable[..., Seats] = Seats) -> None:
        super().__init__(plan.seed, 0.02)
        self.plan, self.make_core = plan, make_core
        self.key: Key = ("t", "e")
        self.limit = self.max_allowed = plan.limit
        self.result = RunResult()
        self.tickets = itertools.count(1)
        self.pending: dict[int, PendingRequest] = {}
        self.held_seats: dict[str, HeldSeat] = {}
        self.partitioned: set[int] = set()
        self.links = LinkModel(
            plan.loss_ratio, plan.duplicate_ratio, plan.late_ratio, 40_000, 2 * plan.timing.lease
        )
        self.nodes = [
            Node(
                n,
                1 + plan.drift_ratio * self.rng.uniform(-1, 1),
                clock_offset=self.rng.randrange(10**9),
                files=self.new_disk(),
            )
            for n in range(plan.fronts)
        ]

    def is_partitioned(self, sender: int, receiver: int) -> bool:
        return sender in self.partitioned or receiver in self.partitioned

    def clock(self, node: Node) -> int:
        return node.clock_offset + round(self.now * node.clock_rate)

    def run(self) -> RunResult:
        """Runs the schedule. Raises SeatInvariantError."""
        plan, end = self.plan, self.plan.duration_s * 1_000_000
        for node in self.nodes:
            self._start_front(node)
        for viewer in range(plan.viewers):
            self.schedule_after(0, 3_000_000, lambda viewer=viewer: self._run_viewer(f"v{viewer}", 0))  # type: ignore[misc]
        for _ in range(plan.crashes):
            self.schedule_after(1_000_000, end * 2 // 3, self._crash_random_front)
        for _ in range(plan.partitions):
            self.schedule_after(1_000_000, end * 2 // 3, self._partition_random_front)
        self.run_until(end)
        self.faults_enabled = False
        self.partitioned.clear()
        for node in self.nodes:
            node.files.operations_until_crash = -1
            node.files.pending_faults.clear()
            if node.core is None:
                self._start_front(node)
        recovery_time = 3 * plan.timing.lease
        self.run_until(end + recovery_time)
        self._check_all_seats_free()
        return self.result

    def check_invariants(self) -> None:
        self.result.steps = self.steps
        running = self._running_count()
        self.result.max_running = max(self.result.max_running, running)
        if running > self.max_allowed:
            raise SeatInvariantError(
                f"seed {self.plan.seed}: {running} seats run, the limit is {self.max_allowed}, "
                f"at virtual time {self.now}"
            )

    def _running_count(self) -> int:
        return sum(self.clock(self.nodes[held.front]) < held.expires for held in self.held_seats.values())

    def _check_all_seats_free(self) -> None:
        """Takes as many seats as the limit allows. The first attempt may be refused while other fronts still
        hold shares; the second, after a wait, must not be."""
        now = [self.clock(node) for node in self.nodes]
        self.held_seats = {
            seat: held for seat, held in self.held_seats.items() if now[held.front] < held.expires
        }
        seats: list[str] = []
        front = self.nodes[self.rng.randrange(len(self.nodes))]
        for number in range(self.limit):
            self._request_seat(front, f"last{number}", lambda sess, seat: seats.append(seat))
        self.run_until(self.now + 4 * self.plan.timing.max_wait)
        if len(seats) < self.limit:
            for number in range(self.limit):
                self._request_seat(front, f"last{number}", lambda sess, seat: seats.append(seat))
            self.run_until(self.now + self.plan.timing.lease)
        if len(set(seats)) < self.limit:
            raise SeatInvariantError(
                f"seed {self.plan.seed}: {len(set(seats))} of {self.limit} seats could be granted after "
                "the faults ended"
            )

    # Fronts

    def _start_front(self, node: Node) -> None:
        node.starts += 1
        node.files.locked = False
        journal = Journal(node.files, segment_bytes=2000)
        try:
            recovery = journal.open()
        except CrashError:
            self.on_crash(node)
            return
        now = self.clock(node)
        epochs = [row[1] for row in [*(recovery.state or []), *recovery.records] if row[0] == "begun"]
        node.epoch = max(epochs + [node.epoch if recovery.records or recovery.state else now]) + 1
        limits, timing = {self.key: self.limit}, self.plan.timing
        core = self.make_core(node.number, self.plan.fronts, limits, timing, node.epoch, now)
        core.recover(now, recovery.state, recovery.records)
        node.core, node.journal, node.committing = core, journal, False
        node.last_record_at_start = journal.next_number - 1
        self._apply_effects(node, core.start(now))
        start = node.starts
        self.schedule_after(0, TICK_PERIOD_US, lambda: self._tick(node, start))

    def _tick(self, node: Node, start: int) -> None:
        if node.core is None or node.starts != start:
            return
        self._apply_effects(node, node.core.tick(self.clock(node)))
        self.schedule_at(self.now + TICK_PERIOD_US, lambda: self._tick(node, start))

    def on_crash(self, node: Node) -> None:
        """Stops a front's process and restarts it later. Data that was not durable may be lost, and with the
        probability `disk_loss_ratio` the whole disk."""
        node.core = node.journal = None
        node.starts += 1
        self.result.crashes += 1
        node.files.crash()
        if self.faults_enabled and self.rng.random() < self.plan.disk_loss_ratio:
            node.files = self.new_disk()
        start = node.starts
        self.schedule_after(
            50_000,
            self.plan.max_downtime,
            lambda: self._start_front(node) if node.starts == start and node.core is None else None,
        )

    def _crash_random_front(self) -> None:
        node = self.nodes[self.rng.randrange(len(self.nodes))]
        if node.core is None or not self.faults_enabled:
            return
        if self.rng.random() < 0.5:
            # Crashes in the middle of one of its next disk operations
            node.files.operations_until_crash = self.rng.randint(0, 6)
        else:
            self.on_crash(node)

    def _partition_random_front(self) -> None:
        """Cuts one front off from all others, for less or more than the time of a lease."""
        number = self.rng.randrange(len(self.nodes))
        self.partitioned.add(number)
        self.schedule_after(1_000_000, 3 * self.plan.timing.lease, lambda: self.partitioned.discard(number))

    def _apply_effects(self, node: Node, effects: list[Effect]) -> None:
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
                    self._on_granted(node, effect)
                case Refused(ticket, reason):
                    self.result.refusals[reason] = self.result.refusals.get(reason, 0) + 1
                    if reason == "no-seat" and self._running_count() < self.limit:
                        self.result.refused_while_free += 1
                    self.pending.pop(ticket, None)
                case Expired():
                    pass

    def on_durable(self, node: Node, number: int) -> None:
        assert node.core is not None
        self._apply_effects(node, node.core.on_durable(self.clock(node), number))

    def snapshot_state(self, node: Node) -> Any:
        assert node.core is not None
        return node.core.state()

    def _send(self, sender: int, peer: int, message: Any) -> None:
        self.result.messages += 1
        self.transmit(sender, peer, self.links, lambda: self._deliver(sender, peer, message))

    def _deliver(self, sender: int, peer: int, message: Any) -> None:
        node = self.nodes[peer]
        if node.core is not None:
            self._apply_effects(node, node.core.receive(self.clock(node), sender, message))

    # Viewers

    def _run_viewer(self, name: str, number: int) -> None:
        """Starts a viewer's session at a random front, and schedules its next one."""
        if not self.faults_enabled:
            return
        node, sess = self.nodes[self.rng.randrange(len(self.nodes))], f"{name}.{number}"
        self._request_seat(node, sess, self._play)
        if self.rng.random() < 0.3:  # a repeated request that may cross the reply to the first
            self.schedule_after(0, 300_000, lambda: self._request_seat(node, sess, self._play))
        self.schedule_after(500_000, 8_000_000, lambda: self._run_viewer(name, number + 1))

    def _request_seat(self, node: Node, sess: str, on_granted: Callable[[str, str], None]) -> None:
        if node.core is None:
            return
        ticket = next(self.tickets)
        self.pending[ticket] = PendingRequest(sess, 0, self.now, on_granted)
        self._apply_effects(
            node, node.core.take(self.clock(node), ticket, self.key, sess.partition(".")[0], sess)
        )

    def _on_granted(self, node: Node, grant: Granted) -> None:
        request = self.pending.pop(grant.ticket, None)
        if request is None:
            return
        self.result.granted += 1
        self.result.grant_ms.append((self.now - request.requested_at) / 1000)
        known = self.held_seats.get(grant.seat)
        if known is None or known.generation <= grant.generation:
            self.held_seats[grant.seat] = HeldSeat(node.number, grant.seat, grant.generation, grant.expires)
        if request.presented_generation and (
            grant.generation > request.presented_generation + 1 or request.requester != grant.viewer
        ):
            problem = (
                f"{request.requester} presented generation {request.presented_generation} "
                f"and was granted generation {grant.generation} of {grant.viewer}"
            )
            raise SeatInvariantError(f"seed {self.plan.seed}: {problem}")
        if not request.presented_generation:
            request.on_granted(grant.sess, grant.seat)

    def _play(self, sess: str, seat: str) -> None:
        viewer, renewals_left = sess.partition(".")[0], self.rng.randint(0, 6)
        self.schedule_after(0, 500_000, lambda: self._continue_session(viewer, seat, renewals_left))

    def _continue_session(self, viewer: str, seat: str, renewals_left: int) -> None:
        """Renews the seat until no renewals are left, then gives it back or vanishes. Some renewals present a
        wrong generation, or come from a viewer who does not hold the seat."""
        held = self.held_seats.get(seat)
        if held is None or not self.faults_enabled:
            return
        node, chance = self.nodes[held.front], self.rng.random()
        if renewals_left == 0:
            if chance < 0.6 and node.core is not None:
                self._give_back(node, viewer, held)
            return
        if node.core is not None:
            generation = held.generation - (chance < 0.15) - (chance < 0.05) + (chance > 0.97)
            renewer = "thief" if 0.9 < chance < 0.95 else viewer
            self._renew(node, held, renewer, generation)
            if chance < 0.4:  # the same renewal repeated, which may cross the reply to the first
                self.schedule_after(0, 200_000, lambda: self._renew(node, held, viewer, generation))
        self.schedule_after(
            300_000, 1_500_000, lambda: self._continue_session(viewer, seat, renewals_left - 1)
        )

    def _renew(self, node: Node, held: HeldSeat, viewer: str, generation: int) -> None:
        if node.core is None:
            return
        ticket = next(self.tickets)
        self.pending[ticket] = PendingRequest(viewer, generation, self.now, lambda sess, seat: None)
        now = self.clock(node)
        self._apply_effects(node, node.core.renew(now, ticket, self.key, held.seat, viewer, generation))

    def _give_back(self, node: Node, viewer: str, held: HeldSeat) -> None:
        assert node.core is not None
        effects = node.core.give_back(self.clock(node), self.key, held.seat, viewer)
        self.held_seats.pop(held.seat, None)  # the viewer stops playing before it gives the seat back
        self._apply_effects(node, effects)


def random_schedule(seed: int) -> Schedule:
    """A schedule whose sizes and faults are drawn from its seed."""
    rng = Random(seed * 7919 + 1)
    return Schedule(
        seed,
        fronts=rng.choice([2, 3, 3, 5]),
        viewers=rng.randint(4, 24),
        limit=rng.randint(1, 8),
        duration_s=rng.randint(10, 40),
        loss_ratio=rng.choice([0, 0.1, 0.3]),
        duplicate_ratio=rng.choice([0, 0.1, 0.3]),
        late_ratio=rng.choice([0, 0.05, 0.2]),
        crashes=rng.randint(0, 8),
        disk_loss_ratio=rng.choice([0, 0, 0.3]),
        drift_ratio=rng.choice([0, 0.01]),
        partitions=rng.choice([0, 0, 1, 3]),
    )


def run_schedules(
    first: int,
    count: int,
    make_core: Callable[..., Seats] = Seats,
    make_schedule: Callable[[int], Schedule] = random_schedule,
) -> tuple[int, str]:
    """Runs the schedules of `count` seeds from `first` until one fails; returns how many ran and the error's
    text, which is empty if none failed."""
    return find_failing_seed(
        first, count, lambda seed: Simulation(make_schedule(seed), make_core).run(), SeatInvariantError
    )
