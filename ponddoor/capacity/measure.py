"""One measurement after the other, each size, condition and repetition in a process of its own.

So what one run leaves behind is in no other's memory. What a machine can't bear is refused before anything
is started; records are written as they come, so that what was measured stays when the rest is interrupted."""

import gc
import multiprocessing
import os
import signal
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from ponddoor.capacity import records
from ponddoor.capacity.virtual_measure import seeded

LOOK = 0.5  # seconds between two looks at whether the parent is there
SHARE = 0.5  # of the memory that is free now, that a run may take


class MeasureError(Exception):
    """What can't be measured here: `str` says why in one line."""


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a run, in the words of docs/capacity/NAMES.md."""

    what: str
    figure: float
    unit: str
    under: str = ""  # where it is not the run's own


@dataclass(frozen=True, slots=True)
class Measurement:
    """What can be measured: `play` takes a size, a condition and a seed. `bytes_each` is what one of the size
    holds at most, `square` what each pair does; `descriptors` how many files one of the size takes."""

    of: str
    sizes: tuple[int, ...]
    conditions: tuple[str, ...]
    how: str
    play: Callable[[int, str, int], list[Figure]]
    most: int
    bytes_each: float
    square: float = 0.0
    descriptors: int = 0


def free_memory() -> int:
    """Bytes that processes may still take on this machine."""
    with open("/proc/meminfo", encoding="ascii") as file:
        for line in file:
            if line.startswith("MemAvailable:"):
                return int(line.split()[1]) * 1024
    return 1 << 30


def resident() -> int:
    """Bytes of memory that this process holds."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def refuse(what: str, found: Measurement, size: int, free: int, descriptors: int) -> None:
    """Raises MeasureError for a size that makes no sense or that the machine can't bear."""
    if not 2 <= size <= found.most:
        raise MeasureError(f"{what}: {size} {found.of}, 2 to {found.most} can be measured")
    need = round(size * found.bytes_each + size * size * found.square)
    if need > free * SHARE:
        told = f"need {need >> 20} MB, {round(free * SHARE) >> 20} MB may be taken here"
        raise MeasureError(f"{what}: {size} {found.of} {told}")
    if size * found.descriptors + 200 > descriptors:
        told = f"need {size * found.descriptors + 200} descriptors, {descriptors} are allowed"
        raise MeasureError(f"{what}: {size} {found.of} {told}")


def ends_with(parent: int) -> None:
    """Have this process interrupted when its parent is gone: guards against a run, and processes under test,
    that go on for nobody."""

    def look() -> None:
        while os.getppid() == parent:
            time.sleep(LOOK)
        os.kill(os.getpid(), signal.SIGINT)

    threading.Thread(target=look, daemon=True).start()


def played(found: Measurement, size: int, under: str, seed: int) -> list[Figure]:
    """One run, in a new process. Raises what the run raises."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, context, ends_with, (os.getpid(),)) as pool:
        return pool.submit(found.play, size, under, seed).result()


def measured(
    what: str,
    found: Measurement,
    sizes: tuple[int, ...],
    conditions: tuple[str, ...],
    seed: int,
    repetitions: tuple[int, ...],
    out: Path,
    command: str,
) -> Iterator[str]:
    """Measure and write records; yields a line for each run. Raises MeasureError, OSError."""
    import resource

    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    for under in conditions:
        if under not in found.conditions:
            raise MeasureError(f"{what}: no condition {under}, expected {', '.join(found.conditions)}")
    for size in sizes:
        refuse(what, found, size, free_memory(), allowed)
    commit, count = records.commit_of(Path(__file__).parent), records.cores()
    for under in conditions:
        for size in sizes:
            for repetition in repetitions:
                begun = time.monotonic()
                figures = played(found, size, under, seeded(seed, repetition))
                records.write(out, (
                    records.Record(
                        what=one.what, under=one.under or under, of=found.of, size=size,
                        repetition=repetition, seed=seed, figure=one.figure, unit=one.unit, how=found.how,
                        commit=commit, cores=count, command=command,
                    ) for one in figures
                ))  # fmt: skip
                took = time.monotonic() - begun
                yield f"{what} {under}: {size} {found.of}, repetition {repetition}: {took:.1f} s"
