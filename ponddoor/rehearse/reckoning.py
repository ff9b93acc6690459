"""What a day with hollow fronts takes of the machine: reckoned before it is played, and watched meanwhile."""

import os
import resource
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ponddoor.rehearse.day import Day

MOST_PROCESSES = 300
PROCESS_MB = 45.0  # one of the stand-ins or fronts, what it has for itself
HOLLOW_MB, HOLLOW_KB_A_FRONT = 0.7, 3.0  # one hollow front, and for each other front that it knows
REAL_KB_A_FRONT = 20.0
EACH = 25  # hollow fronts a process
SPARE = 200  # descriptors of a process that are not of a front
LEFT_MB = 500.0  # of the machine's memory that must stay free while a day is played


class TooLargeError(Exception):
    """A day that the machine can't bear: one line says of what there is too little."""


@dataclass(frozen=True, slots=True)
class Need:
    """Processes, memory in MB, and the most descriptors of one process."""

    processes: int
    memory_mb: float
    descriptors: int


@dataclass(frozen=True, slots=True)
class Machine:
    """What there is: memory in all and free, in MB, and descriptors a process."""

    memory_mb: float
    free_mb: float
    descriptors: int


def machine() -> Machine:
    """This machine, now. Raises OSError where it does not tell."""
    told = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, _, rest = line.partition(":")
        told[name] = float(rest.split()[0]) / 1024
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Machine(told["MemTotal"], told["MemAvailable"], soft if soft > 0 else 1 << 20)


def hollow_processes(day: Day) -> int:
    return -(-day.hollow // EACH)


def need(day: Day) -> Need:
    """What a day takes: fronts, servers, instances, list, players, hollow processes, the rehearsal itself."""
    everybody = day.fronts + day.hollow
    instances = day.instances.count if day.instances is not None else 0
    processes = day.fronts + day.servers + hollow_processes(day) + 3 + instances
    memory = processes * PROCESS_MB + day.hollow * (HOLLOW_MB + HOLLOW_KB_A_FRONT * everybody / 1024)
    memory += day.fronts * REAL_KB_A_FRONT * everybody / 1024
    relayed = everybody + day.fronts * 4  # a place for each front's words, both ends of each way to the list
    if day.instances is not None and day.instances.follow:
        relayed += everybody * (instances + 4)  # a way to each instance, both ends of a watch and of a report
    played = 4 * (round(day.rate * day.stay[1] / 1e6) * day.fronts // everybody)  # connections of the players
    return Need(processes, memory, max(relayed, 2 * EACH, played) + SPARE)


def check(day: Day, has: Machine) -> Need:
    """What a day takes. Raises TooLargeError where that is more than the machine bears."""
    wants, name = need(day), f"{day.name}: {day.fronts} real and {day.hollow} hollow fronts"
    if wants.processes > MOST_PROCESSES:
        raise TooLargeError(f"{name} take {wants.processes} processes; at most {MOST_PROCESSES} are started")
    if wants.memory_mb > has.memory_mb / 2:
        half = f"half of this machine's memory is {has.memory_mb / 2:.0f} MB"
        raise TooLargeError(f"{name} take {wants.memory_mb:.0f} MB; {half}")
    if wants.memory_mb > has.free_mb - LEFT_MB:
        raise TooLargeError(f"{name} take {wants.memory_mb:.0f} MB; {has.free_mb:.0f} MB are free")
    if wants.descriptors > has.descriptors:
        allowed = f"{has.descriptors} are allowed"
        raise TooLargeError(f"{name} take {wants.descriptors} descriptors a process; {allowed}")
    return wants


def used_mb(processes: Iterable[int]) -> float:
    """The memory that these processes hold each for itself, by number; one that has ended holds none."""
    pages = 0
    for number in processes:
        try:
            _, resident, shared, *_ = map(int, Path(f"/proc/{number}/statm").read_text().split())
            pages += resident - shared
        except (OSError, ValueError):
            continue
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
