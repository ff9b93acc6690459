"""Deterministic discrete-event simulation: virtual time, faulty links between nodes, and machines with disks.

The same seed gives the same run every time. Links lose, duplicate, delay, reorder and cut off messages;
machines crash, also in the middle of a disk operation. The simulations of seats, Raft, the config service's
followers and the fleet of fronts are built on it."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any, TypeVar

from ponddoor.store.faulty import CrashError, FaultyFiles
from ponddoor.store.files import DiskError
from ponddoor.store.journal import Journal, StoppedError

Plan = TypeVar("Plan")  # a simulation's schedule: a dataclass of its faults and sizes


@dataclass(frozen=True, slots=True)
class LinkModel:
    """What may happen to a message on a link: the probabilities that it is lost, duplicated or late, and the
    longest delay in microseconds of a message that is in time and of one that is late."""

    loss_ratio: float
    duplicate_ratio: float
    late_ratio: float
    max_usual_delay_us: int
    max_late_delay_us: int


class World:
    """Virtual time in microseconds and the events that are due. Links lose, duplicate and delay messages only
    while `faults_enabled` is set."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.faults_enabled = Random(seed), 0, True
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.steps = 0

    def schedule_at(self, moment: int, callback: Callable[[], None]) -> None:
        """Run a callback at a time; at once if that time has passed."""
        heapq.heappush(self._events, (max(moment, self.now), next(self._sequence), callback))

    def schedule_after(self, min_delay: int, max_delay: int, callback: Callable[[], None]) -> None:
        """Run a callback after a random delay from this range, both ends included."""
        self.schedule_at(self.now + self.rng.randint(min_delay, max_delay), callback)

    def run_until(self, end: int) -> None:
        """Run all events that are due by `end`; `check_invariants` is called after each."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
            self.steps += 1
            self.check_invariants()
        self.now = max(self.now, end)

    def check_invariants(self) -> None:
        """Override to check what must hold after every event; raises where it does not."""

    def is_partitioned(self, sender: int, receiver: int) -> bool:
        """Override to say whether messages from sender to receiver are cut off now."""
        return False

    def transmit(self, sender: int, receiver: int, links: LinkModel, arrive: Callable[[], None]) -> int:
        """Send a message; `arrive` is called for each copy. Returns how many copies will arrive."""
        copies = 1
        if self.is_partitioned(sender, receiver):
            copies = 0
        elif self.faults_enabled:
            copies = (
                0 if self.rng.random() < links.loss_ratio else 1 + (self.rng.random() < links.duplicate_ratio)
            )
        for _ in range(copies):
            late = self.faults_enabled and self.rng.random() < links.late_ratio
            self.schedule_after(500, links.max_late_delay_us if late else links.max_usual_delay_us, arrive)
        return copies


@dataclass(slots=True)
class Machine:
    """A machine with a disk, and the journal on it while the machine is up.

    `clock_rate` is how fast its clock runs, relative to virtual time. `starts` changes with each start and
    crash of its process, so that callbacks of a process that has crashed since can be ignored.
    `last_record_at_start` is the number of the journal's last record when this process started: the record
    numbers that its core uses count from there."""

    number: int
    clock_rate: float
    files: FaultyFiles
    journal: Journal | None = None
    starts: int = 0
    committing: bool = False
    last_record_at_start: int = 0


class WorldWithDisks(World):
    """A world of machines that write journals."""

    def __init__(self, seed: int, disk_errors: float) -> None:
        super().__init__(seed)
        self.disk_errors = disk_errors  # the probability of one at each commit

    def new_disk(self) -> FaultyFiles:
        return FaultyFiles(Random(self.rng.getrandbits(32)))

    # A simulation overrides these for its own kind of machine

    def on_crash(self, machine: Any) -> None:
        """Called when a machine has crashed, or must stop because its journal failed."""
        raise NotImplementedError

    def on_durable(self, machine: Any, number: int) -> None:
        """Called when a machine's records up to a number are durable: tells its core and carries out the
        effects that the core returns."""
        raise NotImplementedError

    def snapshot_state(self, machine: Any) -> Any:
        """The state that a snapshot of the machine's journal holds."""
        raise NotImplementedError

    # Journals

    def append_record(self, machine: Any, record: Any) -> None:
        """Append a record to the journal; it becomes durable with a commit 0.2 to 20 ms later."""
        machine.journal.append(record)
        if not machine.committing:
            machine.committing = True
            start = machine.starts
            self.schedule_after(200, 20_000, lambda: self.commit_journal(machine, start))

    def commit_journal(self, machine: Any, start: int) -> None:
        """Make the appended records durable. After a disk error it is tried again, unless the journal failed.

        Does nothing if the machine has crashed since the commit was scheduled."""
        if machine.starts != start or machine.journal is None:
            return
        machine.committing = False
        if self.faults_enabled and self.rng.random() < self.disk_errors:
            machine.files.pending_faults[self.rng.choice(["append", "sync"])] = self.rng.choice(
                ["full", "error"]
            )
        try:
            durable = machine.journal.commit()
        except CrashError:
            self.on_crash(machine)
            return
        except (DiskError, StoppedError):
            if machine.journal.failure:  # the process must not go on as if its records were durable
                self.on_crash(machine)
                return
            machine.committing = True
            self.schedule_after(20_000, 60_000, lambda: self.commit_journal(machine, start))
            return
        self.on_durable(machine, durable - machine.last_record_at_start)
        if machine.starts == start and self.rng.random() < 0.03:
            self.take_snapshot(machine)

    def take_snapshot(self, machine: Any) -> None:
        """Replace the journal's records by a snapshot, if all of them are durable: the snapshot must not hold
        state of records that are not."""
        if machine.journal.durable_number != machine.journal.next_number - 1:
            return
        try:
            machine.journal.snapshot(self.snapshot_state(machine))
        except CrashError:
            self.on_crash(machine)
        except DiskError:
            if machine.journal is not None and machine.journal.failure:
                self.on_crash(machine)


def find_failing_seed(
    first: int, count: int, run: Callable[[int], Any], failure: type[Exception]
) -> tuple[int, str]:
    """Run `count` seeds from `first` until one raises `failure`; returns how many ran and the error's text,
    which is empty if none did."""
    for number in range(count):
        try:
            run(first + number)
        except failure as problem:
            return number + 1, str(problem)
    return count, ""


def minimise_schedule(
    plan: Plan,
    names: tuple[str, ...],
    minimums: dict[str, int],
    run: Callable[[Plan], Any],
    failure: type[Exception],
) -> Plan:
    """A smaller schedule that still raises `failure`: each named field is set to its minimum (0 where none is
    given) or halved for as long as that keeps the failure."""

    def fails(candidate: Plan) -> bool:
        try:
            run(candidate)
        except failure:
            return True
        return False

    improved = fails(plan)
    while improved:
        improved = False
        for name in names:
            value, low = getattr(plan, name), minimums.get(name, 0)
            for smaller in (low, value // 2 if isinstance(value, int) else value / 2):
                if low <= smaller < value and (isinstance(value, int) or smaller == 0 or value > 0.01):
                    candidate: Plan = replace(plan, **{name: smaller})  # type: ignore[type-var]
                    if fails(candidate):
                        plan, improved = candidate, True
                        break
    return plan
