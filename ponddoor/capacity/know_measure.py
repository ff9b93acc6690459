"""How long the fleet takes to know: who died, who is back, who is apart; and who is wrongly taken for dead.

Pairs are counted: a living front, and one that it has to take for dead, or for alive again."""

import time

from ponddoor.capacity.measure import Figure, Measurement
from ponddoor.capacity.virtual_measure import SECOND, Course, Node, VirtualFleet

LOSS = 0.01
SETTLED = 20 * SECOND  # before anything happens
LONGEST = 900 * SECOND  # that is waited for anything
CALM = 60 * SECOND  # in which nothing happens but loss
HALF, MOST = 0.5, 0.99
CONDITIONS = ("calm", "one", "rack", "zone", "apart-60", "apart-3600", "replaced", "start")
RACKS = 40  # in all


class Knowing(VirtualFleet):
    """A fleet that counts which pairs know. `matters`: whom each front has to take for dead."""

    def __init__(self, course: Course) -> None:
        super().__init__(course)
        self.versions = [-1] * course.fronts
        self.dead: list[set[int]] = [set() for _ in range(course.fronts)]
        self.matters: list[set[int]] = [set() for _ in range(course.fronts)]
        self.pairs = self.known = self.wrong = self.most_wrong = 0
        self.since, self.rising = 0, True
        self.reached: dict[float, int] = {}

    def watch(self, node: Node) -> None:
        presence = node.core.fleet.presence
        if presence.version != self.versions[node.number]:
            self.versions[node.number] = presence.version
            self.look(node.number, set(presence.dead_fronts()))

    def look(self, number: int, now_dead: set[int]) -> None:
        held, matters = self.dead[number], self.matters[number]
        if held == now_dead:
            return
        known = len(now_dead & matters) - len(held & matters)
        self.dead[number] = now_dead
        self.known += known
        self.wrong += len(now_dead) - len(held) - known
        self.most_wrong = max(self.most_wrong, self.wrong)
        if known:
            self.mark()

    def mark(self) -> None:
        part = self.known if self.rising else self.pairs - self.known
        for share in (HALF, MOST):
            if share not in self.reached and part >= share * self.pairs:
                self.reached[share] = self.now

    def expect(self, matters: list[set[int]], rising: bool) -> None:
        """From now on these have to be taken for dead (rising) or, as they are back, for alive."""
        self.matters, self.rising, self.since, self.reached = matters, rising, self.now, {}
        up = [node.number for node in self.up()]
        self.pairs = sum(len(matters[number]) for number in up)
        self.known = sum(len(self.dead[number] & matters[number]) for number in up)
        self.wrong = sum(len(self.dead[number] - matters[number]) for number in up)
        self.mark()

    def stop(self, node: Node) -> None:
        super().stop(node)
        self.dead[node.number], self.versions[node.number] = set(), -1

    def wait(self, most: int, least: int = 0) -> None:
        """Until 99% know, and for so long at least."""
        end = self.now + most
        while MOST not in self.reached and self.now < end:
            self.run_until(min(self.now + SECOND, end))
        self.run_until(max(self.now, self.since + least))

    def told(self, what: str, under: str) -> list[Figure]:
        """The times since; where a share was not reached, how long was waited, under another condition."""
        found = []
        for name, share in (("half", HALF), ("p99", MOST)):
            at = self.reached.get(share)
            late = "" if at is not None else f"{under}-unreached"
            figure = ((at if at is not None else self.now) - self.since) / SECOND
            found.append(Figure(f"know.{what}.{name}", figure, "s", late))
        return found


def play(size: int, under: str, seed: int) -> list[Figure]:
    """One fleet. Raises ValueError for an unknown condition."""
    world = Knowing(Course(size, seed, LOSS))
    everybody, nobody = set(range(size)), [set[int]() for _ in range(size)]
    world.start_all()
    begun, began_at = time.process_time(), world.now
    found: list[Figure]
    if under == "start":
        world.run_until(SECOND)
        world.expect([everybody - {number} for number in range(size)], False)
        world.matters, world.most_wrong = nobody, 0
        world.wrong, world.known = world.known, 0
        found = _started(world)
    else:
        world.run_until(SECOND)
        world.acquaint()
        world.run_until(SETTLED)
        world.count_anew()
        world.most_wrong = 0
        begun, began_at = time.process_time(), world.now
        if under == "calm":
            world.run_until(world.now + CALM)
            found = []
        elif under.startswith("apart-"):
            found = _apart(world, under, int(under.removeprefix("apart-")) * SECOND)
        else:
            count = {"one": 1, "replaced": 1, "rack": max(2, size // RACKS), "zone": size // 8}[under]
            found = _died(world, under, max(count, 1), 300 * SECOND if under == "replaced" else 0)
    took = time.process_time() - begun
    return [
        *found,
        Figure("know.wrong", world.most_wrong, "pairs"),
        Figure("know.factor", (world.now - began_at) / SECOND / took, "times"),
    ]


def _died(world: Knowing, under: str, count: int, away: int) -> list[Figure]:
    """So many neighbours die at once; when that is known, and they were away so long, they begin anew."""
    first = world.rng.randrange(world.course.fronts)
    gone = [world.nodes[(first + at) % world.course.fronts] for at in range(count)]
    dead = {node.number for node in gone}
    for node in gone:
        world.stop(node)
    matters = [dead if node.up else set[int]() for node in world.nodes]
    world.expect(matters, True)
    world.wait(LONGEST, away)
    found = world.told("dead", under)
    world.expect(matters, False)
    for node in gone:
        world.schedule_after(0, SECOND, lambda node=node: world.start(node))  # type: ignore[misc]
    world.wait(LONGEST)
    return found + world.told("alive", under)


def _apart(world: Knowing, under: str, lasts: int) -> list[Figure]:
    """Two halves of the zones hear nothing of one another for a while."""
    zones, nodes = range(world.course.zones), world.nodes
    half = world.course.zones // 2
    world.cut = {(a, b) for a in zones for b in zones if (a < half) != (b < half)}
    matters = [{o.number for o in nodes if (o.zone < half) != (node.zone < half)} for node in nodes]
    world.expect(matters, True)
    world.run_until(world.now + lasts)
    found = world.told("dead", under)
    world.cut = set()
    world.expect(matters, False)
    world.wait(LONGEST)
    return found + world.told("alive", under)


def _started(world: Knowing) -> list[Figure]:
    """All began within one second: who is taken for dead though none is, until one pair in a thousand is."""
    pairs = world.course.fronts * (world.course.fronts - 1)
    last = world.now
    while world.now < LONGEST:
        world.run_until(world.now + SECOND)
        if world.wrong > pairs / 1000:
            last = world.now
        elif world.now - last > 60 * SECOND:
            break
    return [Figure("know.wrong-until", last / SECOND, "s")]


MEASUREMENTS = {
    "know": Measurement(
        "fronts", (20, 50, 100, 200, 400, 820), CONDITIONS, "virtual", play, 2000, 50_000, 500.0
    )
}
