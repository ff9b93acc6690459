"""Members under a deterministic simulation: from one seed the same schedule every time.

A network that loses, doubles, delays, reorders and cuts, also one way; members that pause, crash at any disk
operation, lose their disk, and tick at rates of their own; clients that repeat what was not answered; members
added and removed in the middle. After every step: one leader a term, what is committed the same everywhere
and in every later leader's log, nothing acknowledged lost, nothing applied twice. After quiet the cluster
takes proposals again."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from ponddoor.raft.core import (
    Accepted,
    BrokenPromiseError,
    Commit,
    Effect,
    Entry,
    Kind,
    Limits,
    Members,
    Raft,
    Readable,
    Refused,
    Restore,
    Role,
    Send,
    Snapshot,
    WriteEntries,
    WriteSnapshot,
    WriteVote,
    as_voter,
    with_learner,
    without,
)
from ponddoor.raft.storage import Kept, kept_of, record_of
from ponddoor.store.faulty import CrashError
from ponddoor.store.journal import Journal
from ponddoor.world import LinkModel, Machine, WorldWithDisks, find_failing_seed, minimise_schedule

TICK = 50_000
LIMITS = Limits(batch=4, window=3, piece=64, proposals=50, caught_up=4, clients=100)


class ViolatedError(Exception):
    """A promise of Raft was broken. Names the seed, which replays it."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """The sizes and chances of one schedule, drawn from its seed."""

    seed: int
    members: int = 3
    spare: int = 1
    clients: int = 3
    seconds: int = 20
    loss: float = 0.1
    double: float = 0.1
    slow: float = 0.05
    crashes: int = 4
    disk_losses: float = 0.0
    cuts: int = 2
    pauses: int = 2
    changes: int = 2
    skew: float = 0.2
    compact: float = 0.02
    reads: float = 0.3
    batch: int = 4
    hunted: float = 0.0  # the chance that a new leader crashes at once, or is cut off
    hunt_within: int = 60_000
    eager: float = 0.0  # the chance that a new leader changes members at once


@dataclass(slots=True)
class Node(Machine):
    """One member: its disk, and what runs there while it is up."""

    raft: Raft | None = None
    kept: Kept = field(default_factory=Kept)
    paused_until: int = 0
    applied: int = 0
    state: list[bytes] = field(default_factory=list)  # the values applied, in order


@dataclass(slots=True)
class Call:
    """A client's proposal that is not answered yet."""

    client: str
    serial: int
    index: int = 0
    term: int = 0


@dataclass(slots=True)
class Found:
    """What a run saw."""

    steps: int = 0
    committed: int = 0
    acknowledged: int = 0
    repeated: int = 0
    reads: int = 0
    leaders: int = 0
    crashes: int = 0
    changes: int = 0
    snapshots: int = 0


class Simulation(WorldWithDisks):
    """One schedule. `make` builds the core, so that one with a guard taken out can be run as well."""

    def __init__(self, plan: Schedule, make: Callable[..., Raft] = Raft) -> None:
        super().__init__(plan.seed, 0.01)
        self.plan, self.make, self.found = plan, make, Found()
        self.tickets = itertools.count(1)
        self.links = LinkModel(plan.loss, plan.double, plan.slow, 30_000, 2_000_000)
        first = Members(frozenset(range(plan.members)))
        self.first = first
        self.nodes = [
            Node(n, 1 + plan.skew * self.rng.uniform(-1, 1), self.new_disk())
            for n in range(plan.members + plan.spare)
        ]
        self.cut: set[tuple[int, int]] = set()
        self.leaders: dict[int, int] = {}  # term: who led it
        self.log: dict[int, Entry] = {}  # what is committed
        self.committed_in: dict[int, int] = {}  # index: the lowest term in which it was seen to be
        self.applied_by: dict[tuple[str, int], int] = {}  # (client, serial): where it was applied
        self.acked: dict[tuple[str, int], int] = {}
        self.calls: dict[int, Call] = {}
        self.done: set[tuple[str, int]] = set()
        self.reads: dict[int, int] = {}  # ticket: what was acknowledged when it was asked
        self.newest = 0  # the highest index that was acknowledged

    def is_partitioned(self, sender: int, to: int) -> bool:
        return (sender, to) in self.cut or to >= len(self.nodes)

    def fail(self, why: str) -> None:
        raise ViolatedError(f"seed {self.plan.seed}: {why} at {self.now}")

    def run(self) -> Found:
        """Play the schedule. Raises ViolatedError."""
        end = self.plan.seconds * 1_000_000
        self.begin(end)
        self._until(end)
        self.calm()
        self._until(end + 10_000_000)
        self._goes_on()
        return self.found

    def begin(self, end: int) -> None:
        """Start the members and clients; trouble comes until shortly before the end."""
        plan = self.plan
        for node in self.nodes[: plan.members]:
            self._start(node)
        for client in range(plan.clients):
            self.schedule_after(0, 1_000_000, lambda c=client: self._client(f"c{c}", 1))  # type: ignore[misc]
        for count, what in (
            (plan.crashes, self._some_crash),
            (plan.cuts, self._some_cut),
            (plan.pauses, self._some_pause),
            (plan.changes, self._some_change),
        ):
            for _ in range(count):
                self.schedule_after(500_000, end * 3 // 4, what)

    def calm(self) -> None:
        """The trouble is over, and who is down is back."""
        self.faults_enabled = False
        self.cut.clear()
        for node in self.nodes:
            node.files.operations_until_crash = -1
            node.files.pending_faults.clear()
            node.paused_until = 0
            if node.raft is None and node.starts:
                self._start(node)

    def _until(self, end: int) -> None:
        try:
            self.run_until(end)
        except BrokenPromiseError as problem:
            self.fail(str(problem))

    def check_invariants(self) -> None:
        self.found.steps = self.steps

    def _goes_on(self) -> None:
        """After the trouble there is a leader, and what is proposed is committed on all."""
        before = len(self.acked)
        for _ in range(40):
            self._propose("last", 1)
            self._until(self.now + 500_000)
            if ("last", 1) in self.acked:
                break
        if len(self.acked) == before:
            roles = {n.number: (n.raft.role.value, n.raft.term) for n in self.nodes if n.raft is not None}
            self.fail(f"nothing is committed after quiet: {roles}")
        self._until(self.now + 3_000_000)
        leader = self._leader()
        if leader is None or leader.raft is None:
            self.fail("no leader after quiet")
            return
        for number in sorted(leader.raft.members.voters):
            node = self.nodes[number]
            if node.raft is not None and node.state != leader.state:
                self.fail(f"member {number} applied {len(node.state)} values, the leader {len(leader.state)}")

    # Members

    def _start(self, node: Node) -> None:
        node.starts += 1
        node.files.locked = False
        journal = Journal(node.files, segment_bytes=3000)
        try:
            held = journal.open()
        except CrashError:
            self.on_crash(node)
            return
        kept = kept_of(held.state, held.records)
        members = self.first if node.number < self.plan.members else Members(frozenset())
        limits = replace(LIMITS, batch=self.plan.batch)
        raft = self.make(node.number, members, limits, self.rng.getrandbits(32), kept.snapshot)
        node.raft, node.journal, node.kept, node.committing = raft, journal, kept, False
        node.last_record_at_start = journal.next_number - 1
        node.applied, node.state = 0, []
        self._carry_out(node, raft.recover(kept.term, kept.vote, kept.entries))
        start = node.starts
        self.schedule_after(0, TICK, lambda: self._tick(node, start))

    def _tick(self, node: Node, start: int) -> None:
        if node.raft is None or node.starts != start:
            return
        if self.now >= node.paused_until:
            self._carry_out(node, node.raft.tick())
        self.schedule_at(self.now + round(TICK * node.clock_rate), lambda: self._tick(node, start))

    def on_crash(self, node: Node) -> None:
        node.raft = node.journal = None
        node.starts += 1
        self.found.crashes += 1
        node.files.crash()
        start = node.starts
        self.schedule_after(
            100_000,
            3_000_000,
            lambda: self._start(node) if node.starts == start and node.raft is None else None,
        )

    def _some_crash(self) -> None:
        node = self.nodes[self.rng.randrange(len(self.nodes))]
        if node.raft is None or not self.faults_enabled:
            return
        if self.rng.random() < 0.5:
            node.files.operations_until_crash = self.rng.randint(0, 6)
        else:
            self.on_crash(node)

    def _hunt(self, node: Node, start: int) -> None:
        """A new leader crashes, or hears nobody for a while."""
        if node.raft is None or node.starts != start:
            return
        if self.rng.random() < 0.5 and not self.plan.eager:
            self.on_crash(node)
            return
        side = {n.number for n in self.nodes if n is node or self.rng.random() < 0.25}
        rest = [n.number for n in self.nodes if n.number not in side]
        gone = {(a, b) for a in side for b in rest} | {(b, a) for a in side for b in rest}
        self.cut |= gone
        self.schedule_after(300_000, 3_000_000, lambda: self.cut.difference_update(gone))

    def _some_cut(self) -> None:
        """Some links are cut, all or one way, for a while."""
        numbers = [node.number for node in self.nodes]
        side = {n for n in numbers if self.rng.random() < 0.5}
        both = self.rng.random() < 0.6
        gone = {(a, b) for a in side for b in numbers if b not in side}
        gone |= {(b, a) for a, b in gone} if both else set()
        self.cut |= gone
        self.schedule_after(500_000, 4_000_000, lambda: self.cut.difference_update(gone))

    def _some_pause(self) -> None:
        node = self.nodes[self.rng.randrange(len(self.nodes))]
        node.paused_until = self.now + self.rng.randint(200_000, 3_000_000)

    def _some_change(self) -> None:
        """A member more or less; a learner first, a voter once it has caught up."""
        leader = self._leader()
        if leader is None or leader.raft is None or not self.faults_enabled:
            return
        members = leader.raft.members
        outside = [n.number for n in self.nodes if n.number not in members.everybody()]
        if members.learners:
            wanted = as_voter(members, min(members.learners))
        elif outside and self.rng.random() < 0.7:
            wanted = with_learner(members, outside[0])
        elif len(members.voters) > 2:
            wanted = without(members, self.rng.choice(sorted(members.voters)))
        else:
            return
        for number in wanted.everybody():
            if not self.nodes[number].starts:
                self._start(self.nodes[number])
        self._carry_out(leader, leader.raft.change_members(next(self.tickets), wanted))
        self.schedule_after(
            300_000, 1_500_000, self._some_change if members.learners != wanted.learners else lambda: None
        )

    def _leader(self) -> Node | None:
        leading = [n for n in self.nodes if n.raft is not None and n.raft.role is Role.LEADER]
        return max(leading, key=lambda n: n.raft.term if n.raft else 0, default=None)

    # Effects

    def _carry_out(self, node: Node, effects: list[Effect]) -> None:
        start = node.starts
        for effect in effects:
            if node.starts != start:
                return
            match effect:
                case WriteVote() | WriteEntries() | WriteSnapshot():
                    record = record_of(effect)
                    node.kept.take(record)
                    self.found.snapshots += isinstance(effect, WriteSnapshot)
                    self.append_record(node, record)
                case Send(to, message):
                    self._send(node.number, to, message)
                case Commit(entry, first):
                    self._applied(node, entry, first)
                case Restore(snapshot):
                    self._restored(node, snapshot)
                case Accepted(ticket, index, term):
                    call = self.calls.get(ticket)
                    if call is not None:
                        call.index, call.term = index, term
                case Refused(ticket):
                    self.calls.pop(ticket, None)
                    self.reads.pop(ticket, None)
                case Readable(ticket, index):
                    self.found.reads += 1
                    if index < self.reads.pop(ticket, 0):
                        self.fail(f"a read at member {node.number} may miss what was acknowledged")
        self._check(node)

    def _check(self, node: Node) -> None:
        raft = node.raft
        if raft is None or raft.role is not Role.LEADER or self.leaders.get(raft.term) == node.number:
            return
        if raft.term in self.leaders:
            self.fail(f"members {self.leaders[raft.term]} and {node.number} lead term {raft.term}")
        self.leaders[raft.term] = node.number
        self.found.leaders += 1
        if self.faults_enabled and self.plan.eager and self.rng.random() < self.plan.eager:
            self.schedule_after(0, 2_000, self._some_change)
        if self.faults_enabled and self.plan.hunted and self.rng.random() < self.plan.hunted:
            start = node.starts
            self.schedule_after(0, self.plan.hunt_within, lambda: self._hunt(node, start))
        for index, entry in self.log.items():
            # Leader completeness (5.4) speaks of terms from that of the commit on: one that stood still may
            # learn late that it won a term which the others have left behind
            later = raft.term >= self.committed_in[index]
            if later and index > raft.snapshot.index and raft.term_at(index) != entry.term:
                self.fail(f"member {node.number} leads term {raft.term} without committed entry {index}")

    def _applied(self, node: Node, entry: Entry, first: bool) -> None:
        if entry.index != node.applied + 1:
            self.fail(f"member {node.number} applied {entry.index} after {node.applied}")
        node.applied = entry.index
        held = self.log.setdefault(entry.index, entry)
        assert node.raft is not None
        term = node.raft.term
        self.committed_in[entry.index] = min(self.committed_in.get(entry.index, term), term)
        if held != entry:
            self.fail(f"entry {entry.index} is {held} and {entry}")
        self.found.committed = len(self.log)
        name = (entry.client, entry.serial)
        if entry.kind is Kind.VALUE and first:
            if self.applied_by.setdefault(name, entry.index) != entry.index:
                self.fail(f"proposal {name} applied at {self.applied_by[name]} and {entry.index}")
            node.state.append(entry.data)
        self.found.repeated += not first
        for ticket, call in list(self.calls.items()):
            if (call.index, call.term) == (entry.index, entry.term):
                del self.calls[ticket]
                self.acked[(call.client, call.serial)] = entry.index
                self.newest = max(self.newest, entry.index)
                self.found.acknowledged += 1
        if node.raft is not None and self.rng.random() < self.plan.compact:
            data = b"\n".join(node.state)
            number, start = node.applied, node.starts
            self.schedule_at(self.now, lambda: self._compact(node, start, number, data))

    def _compact(self, node: Node, start: int, number: int, data: bytes) -> None:
        if node.raft is not None and node.starts == start and node.raft.applied == number:
            self._carry_out(node, node.raft.compact(data))

    def _restored(self, node: Node, snapshot: Snapshot) -> None:
        if snapshot.index < node.applied:
            self.fail(f"member {node.number} went back from {node.applied} to {snapshot.index}")
        node.applied = snapshot.index
        node.state = snapshot.data.split(b"\n") if snapshot.data else []

    def on_durable(self, node: Node, number: int) -> None:
        assert node.raft is not None
        self._carry_out(node, node.raft.durable(number))

    def snapshot_state(self, node: Node) -> Any:
        return node.kept.state()

    def _send(self, sender: int, to: int, message: Any) -> None:
        self.transmit(sender, to, self.links, lambda: self._arrive(sender, to, message))

    def _arrive(self, sender: int, to: int, message: Any) -> None:
        node = self.nodes[to]
        if node.raft is None:
            return
        if self.now < node.paused_until:
            self.schedule_at(node.paused_until, lambda: self._arrive(sender, to, message))
            return
        self._carry_out(node, node.raft.heard(sender, message))

    # Clients

    def _client(self, name: str, serial: int) -> None:
        """One proposal after the other, each sent again until it is acknowledged; now and then a read."""
        if not self.faults_enabled:
            return
        if (name, serial) in self.acked:
            serial += 1
        self._propose(name, serial)
        if self.rng.random() < self.plan.reads:
            node = self.nodes[self.rng.randrange(len(self.nodes))]
            if node.raft is not None and self.now >= node.paused_until:
                ticket = next(self.tickets)
                self.reads[ticket] = self.newest
                self._carry_out(node, node.raft.read(ticket))
        self.schedule_after(50_000, 600_000, lambda: self._client(name, serial))

    def _propose(self, name: str, serial: int) -> None:
        able = [n for n in self.nodes if n.raft is not None and self.now >= n.paused_until]
        leading = [n for n in able if n.raft is not None and n.raft.role is Role.LEADER]
        if not leading:
            return
        node = leading[self.rng.randrange(len(leading))]
        assert node.raft is not None
        ticket = next(self.tickets)
        self.calls[ticket] = Call(name, serial)
        data = f"{name}.{serial}".encode()
        self._carry_out(node, node.raft.propose(ticket, data, name, serial))


def drawn(seed: int) -> Schedule:
    """A schedule of any shape."""
    rng = Random(seed * 7919 + 3)
    return Schedule(
        seed, members=rng.choice([1, 2, 3, 3, 3, 5]), spare=rng.randint(0, 2), clients=rng.randint(1, 5),
        seconds=rng.randint(6, 20), loss=rng.choice([0, 0.1, 0.3]), double=rng.choice([0, 0.1, 0.3]),
        slow=rng.choice([0, 0.05, 0.2]), crashes=rng.randint(0, 8), cuts=rng.randint(0, 4),
        pauses=rng.randint(0, 4), changes=rng.randint(0, 5), skew=rng.choice([0, 0.3]),
        compact=rng.choice([0, 0.02, 0.1]),
    )  # fmt: skip


def explore(
    first: int, count: int, make: Callable[..., Raft] = Raft, shape: Callable[[int], Schedule] = drawn
) -> tuple[int, str]:
    """Run schedules one after the other until one fails; returns how many ran and what failed."""
    return find_failing_seed(first, count, lambda seed: Simulation(shape(seed), make).run(), ViolatedError)


def shrunk(plan: Schedule, make: Callable[..., Raft] = Raft) -> Schedule:
    """The least of a failing schedule that still fails."""
    names = ("crashes", "cuts", "pauses", "changes", "spare", "clients", "seconds", "loss", "double", "slow",
             "skew", "compact")  # fmt: skip
    least = {"clients": 1, "seconds": 1}
    return minimise_schedule(plan, names, least, lambda other: Simulation(other, make).run(), ViolatedError)
