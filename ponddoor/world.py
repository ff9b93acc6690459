"""One simulated world for the cores: a clock, what is to happen, links that fail, and machines with disks.

From one seed the same course every time. Links lose, double, delay, reorder and cut; machines crash, also in
the middle of a disk operation. The simulations of seats, Raft and the fleet are built on it."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any, TypeVar

from ponddoor.store.faulty import CrashError, FaultyFiles
from ponddoor.store.files import DiskError
from ponddoor.store.journal import Journal, StoppedError

Plan = TypeVar("Plan")  # a schedule: a dataclass


@dataclass(frozen=True, slots=True)
class Links:
    """The chances of a message, and how long it takes at most (us), usually and when it is late."""

    loss: float
    double: float
    slow: float
    usual: int
    late: int


class World:
    """Virtual time in microseconds. While `faults` are on, links lose, double and delay."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.faults = Random(seed), 0, True
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.steps = 0

    def at(self, moment: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(moment, self.now), next(self.order), what))

    def after(self, least: int, most: int, what: Callable[[], None]) -> None:
        self.at(self.now + self.rng.randint(least, most), what)

    def until(self, end: int) -> None:
        """Let all happen that is due by then; `checked` is called after each step."""
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heapq.heappop(self.events)
            what()
            self.steps += 1
            self.checked()
        self.now = max(self.now, end)

    def checked(self) -> None:
        """What has to hold after every step; a simulation raises here."""

    def apart(self, sender: int, to: int) -> bool:
        """Whether nothing passes from one to the other now."""
        return False

    def pass_on(self, sender: int, to: int, links: Links, arrive: Callable[[], None]) -> int:
        """Send a message; how many copies will arrive."""
        copies = 1
        if self.apart(sender, to):
            copies = 0
        elif self.faults:
            copies = 0 if self.rng.random() < links.loss else 1 + (self.rng.random() < links.double)
        for _ in range(copies):
            late = self.faults and self.rng.random() < links.slow
            self.after(500, links.late if late else links.usual, arrive)
        return copies


@dataclass(slots=True)
class Machine:
    """A machine with a disk, and the journal on it while it is up."""

    number: int
    rate: float
    files: FaultyFiles
    journal: Journal | None = None
    life: int = 0
    committing: bool = False
    first_write: int = 0


class Disks(World):
    """A world of machines that write journals."""

    def __init__(self, seed: int, disk_errors: float) -> None:
        super().__init__(seed)
        self.disk_errors = disk_errors

    def disk(self) -> FaultyFiles:
        return FaultyFiles(Random(self.rng.getrandbits(32)))

    # What a simulation says of its machines

    def down(self, machine: Any) -> None:
        """It has crashed."""
        raise NotImplementedError

    def durable(self, machine: Any, number: int) -> None:
        """Its writes up to a number are durable: its core is told, and what that wants is carried out."""
        raise NotImplementedError

    def state_of(self, machine: Any) -> Any:
        """What a snapshot of its journal holds."""
        raise NotImplementedError

    # Journals

    def write(self, machine: Any, record: Any) -> None:
        """A record that becomes durable a little later."""
        machine.journal.append(record)
        if not machine.committing:
            machine.committing = True
            life = machine.life
            self.after(200, 20_000, lambda: self.commit(machine, life))

    def commit(self, machine: Any, life: int) -> None:
        if machine.life != life or machine.journal is None:
            return
        machine.committing = False
        if self.faults and self.rng.random() < self.disk_errors:
            machine.files.fail[self.rng.choice(["append", "sync"])] = self.rng.choice(["full", "error"])
        try:
            durable = machine.journal.commit()
        except CrashError:
            self.down(machine)
            return
        except (DiskError, StoppedError):
            if machine.journal.failed:  # the process must not go on as if it had not
                self.down(machine)
                return
            machine.committing = True
            self.after(20_000, 60_000, lambda: self.commit(machine, life))
            return
        self.durable(machine, durable - machine.first_write)
        if machine.life == life and self.rng.random() < 0.03:
            self.fold(machine)

    def fold(self, machine: Any) -> None:
        """The journal is folded into a snapshot, when all of it is durable: what is not must not be in it."""
        if machine.journal.durable != machine.journal.next_number - 1:
            return
        try:
            machine.journal.snapshot(self.state_of(machine))
        except CrashError:
            self.down(machine)
        except DiskError:
            if machine.journal is not None and machine.journal.failed:
                self.down(machine)


def first_to_fail(
    first: int, count: int, play: Callable[[int], Any], broken: type[Exception]
) -> tuple[int, str]:
    """Play seeds one after the other until one breaks; returns how many ran and what broke."""
    for number in range(count):
        try:
            play(first + number)
        except broken as problem:
            return number + 1, str(problem)
    return count, ""


def least_of(
    plan: Plan,
    names: tuple[str, ...],
    least: dict[str, int],
    play: Callable[[Plan], Any],
    broken: type[Exception],
) -> Plan:
    """The least of a schedule that still breaks: each named trouble is left out or halved if it can be."""

    def fails(other: Plan) -> bool:
        try:
            play(other)
        except broken:
            return True
        return False

    better = fails(plan)
    while better:
        better = False
        for name in names:
            value, low = getattr(plan, name), least.get(name, 0)
            for smaller in (low, value // 2 if isinstance(value, int) else value / 2):
                if low <= smaller < value and (isinstance(value, int) or smaller == 0 or value > 0.01):
                    other: Plan = replace(plan, **{name: smaller})  # type: ignore[type-var]
                    if fails(other):
                        plan, better = other, True
                        break
    return plan
