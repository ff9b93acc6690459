"""What a front says, takes and costs for control: words and bytes by kind, processor time, memory.

Whole fronts with servers and viewers, in virtual time. Processor time is that of the cores alone: sockets and
the seal come on top, as measured on loopback."""

import time
from collections import Counter

from ponddoor.capacity.measure import Figure, Measurement, resident
from ponddoor.capacity.virtual_measure import HEADERS, KINDS, SEALED, SECOND, Course, VirtualFleet

SETTLED = 12 * SECOND
PLAYED = 30 * SECOND
ARRIVALS = 1.0  # a second and front
RUDE = 0.9  # of the arrivals of bad clients that leave again at once
ROLLED = SECOND  # one front begins anew so often
DOWN = 2 * SECOND
FIXED = 50  # fronts, where it is the arrivals that grow
CONDITIONS = ("calm", "loss-10", "roll", "zone-dead", "arrivals", "rude")


def course_of(size: int, under: str, seed: int) -> Course:
    servers = max(12, size // 4)
    loss = {"loss-10": 0.1, "calm": 0.0}.get(under, 0.01)
    arrivals = {"arrivals": ARRIVALS, "rude": 4 * ARRIVALS}.get(under, 0.0)
    return Course(size, seed, loss, servers, arrivals, RUDE if under == "rude" else 0.0)


def play(size: int, under: str, seed: int) -> list[Figure]:
    """One fleet."""
    return played(course_of(size, under, seed), under)


def rate(size: int, under: str, seed: int) -> list[Figure]:
    """A fleet of a fixed size to whose fronts so many viewers come a second each."""
    return played(Course(FIXED, seed, 0.01, max(12, FIXED // 4), float(size)), under)


def played(course: Course, under: str) -> list[Figure]:
    """What a front of this course says, takes and costs."""
    before, size = resident(), course.fronts
    world = VirtualFleet(course)
    world.start_all()
    world.run_until(SECOND)
    world.acquaint()
    world.run_until(SETTLED)
    memory = (resident() - before) / size
    if under == "zone-dead":
        for node in world.nodes:
            if node.zone == world.course.zones - 1:
                world.stop(node)
    world.count_anew()
    if under == "roll":
        _roll(world)
    took = time.process_time()
    world.run_until(world.now + PLAYED)
    took = time.process_time() - took
    return [*_figures(world, took), Figure("control.memory", memory, "B")]


def _roll(world: VirtualFleet) -> None:
    for turn in range(PLAYED // ROLLED):
        node = world.nodes[turn % world.course.fronts]
        world.schedule_at(world.now + turn * ROLLED, lambda node=node: world.stop(node))  # type: ignore[misc]
        world.schedule_at(world.now + turn * ROLLED + DOWN, lambda node=node: world.start(node))  # type: ignore[misc]


def _figures(world: VirtualFleet, took: float) -> list[Figure]:
    seconds = (world.now - world.counted_from) / SECOND
    living = max(len(world.up()), 1)
    said, told = Counter[int](), Counter[int]()
    for node in world.nodes:
        said += node.said
        told += node.told
    each = 1 / living / seconds
    found = [
        Figure("control.words", said.total() * each, "1/s"),
        Figure("control.bytes", (told.total() + HEADERS * said.total()) * each, "B/s"),
        Figure("control.sealed", (told.total() + (HEADERS + SEALED) * said.total()) * each, "B/s"),
    ]
    for kind, name in enumerate(KINDS):
        if said[kind]:
            found.append(Figure(f"control.words.{name}", said[kind] * each, "1/s"))
            found.append(Figure(f"control.bytes.{name}", (told[kind] + HEADERS * said[kind]) * each, "B/s"))
    busiest = max(world.nodes, key=lambda node: node.taken)
    begun = said[KINDS.index("begun")]
    if world.course.arrivals:
        probed = world.answered["probed"] / seconds
        found += [
            Figure("server.probes", probed / world.course.servers, "1/s", "held"),
            Figure("control.probes", probed / living, "1/s"),
            Figure("control.answers", world.answered["playing"] * each, "1/s"),
            Figure("control.refusals", world.answered["refused"] * each, "1/s"),
        ]
    return [
        *found,
        Figure("control.cpu", sum(node.cpu for node in world.nodes) / 1e9 * each, "core"),
        Figure("keeper.fan-in", busiest.taken / seconds, "1/s"),
        Figure("keeper.bytes", busiest.taken_bytes / seconds, "B/s"),
        Figure("keeper.cpu", max(node.cpu for node in world.nodes) / 1e9 / seconds, "core"),
        Figure("keeper.sent", max(sum(n.said.values()) for n in world.nodes) / seconds, "1/s"),
        Figure("begun.words", begun * each, "1/s"),
        Figure("virtual.factor", seconds / took, "times"),
    ]


MEASUREMENTS = {
    "control": Measurement(
        "fronts", (20, 50, 100, 200, 400, 820), CONDITIONS, "virtual", play, 2000, 100_000, 2500.0
    ),
    "rate": Measurement(
        "arrivals a second and front", (2, 4, 8, 16), ("arrivals-50",), "virtual", rate, 50, 4_000_000
    ),
}
