"""Fronts that follow the configuration under a deterministic simulation: from one seed the same schedule.

The cores of the followers are the real ones. In every fourth schedule so are the instances: Raft's cores with
disks, in the world of their own simulation (ponddoor/raft/simulation.py). In the others they are a bounded
model of what Raft promises, so that more can go wrong in less time: one committed log, by the real state
machine; instances that have a part of it from its beginning, lag, restart with less than they had, lead a
minority for a while, and say so late. Between them connections: lines in order, cut anywhere, half open,
doubled, lost, spoilt, told of late; links cut both ways or one. Fronts crash, also between a writing and its
taking up, and are back with what is on their disk.

After each step: no front goes back over its whole life, what is put in force is bit for bit what was
committed, and nothing that the front can't use. The whole state is asked for once in an absence. After quiet
all are at the newest version that they can use within 9 s; a fleet that was cut off together comes back
evenly."""

import functools
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ponddoor.config.machine import Change, Machine, assembled, packed, shown, taken_apart
from ponddoor.config.rollout import Report
from ponddoor.front.follower import (
    CONNECT_TIMEOUT_US,
    FULL_STATE_ABSENCE_US,
    Disconnect,
    Effect,
    Fetch,
    Follower,
    LogEvent,
    Persist,
    Phase,
    PutInForce,
    SendReport,
    State,
    Watch,
)
from ponddoor.front.reconnect import Loss
from ponddoor.raft import simulation as raft
from ponddoor.settings.sexpr import Listing, parse
from ponddoor.settings.site import Site, check
from ponddoor.world import LinkModel, World, find_failing_seed, minimise_schedule

SECOND = 1_000_000
HOUR = 3600 * SECOND
RETURN = 9 * SECOND  # after which all have the newest that they can use
INSTANCES = 5
MOST_WATCHERS = 500
WATCH_AHEAD = 100
APART = 1_500_000  # how long an instance has heard of no leader when it says so
STEP = 10_000  # of real Raft cores beside this world
VERSIONS = 160  # in the log of which a schedule plays a part
MOST_AT_ONCE = 100_000  # steps in one moment: a core that wants to be called for ever ends a run, not a day
MOST_REQUESTS = 12  # of one front in one second, whatever happens
BASE = """
(site harbour (zones east west) (kinds (kind vod (streams 80)))
  (plant (cells 8) (racks 2) (link-per-weight 100MB/s) (uplink 1GB/s))
  (ladder (rung (rate 500kB/s) (utility 0.5)) (rung (rate 1MB/s) (utility 1)))
  (groups (group film (start-target 1s) (setup-timeout 3s)) (group news (start-target 1s) (setup-timeout 2s)))
  (permissions (max-setups 3)) (limits (held 1000)) (titles (title opera (home 0) (span 2)))
  (list (address "127.0.0.1:9"))
  (fronts (front 0 (zone east) (viewers "127.0.0.1:1") (words "127.0.0.1:2") (metrics "127.0.0.1:3"))))
"""


class BoundBrokenError(Exception):
    """What followers promise was broken. Names the seed, which replays it."""


@dataclass(frozen=True, slots=True)
class Committed:
    """One version as instances tell it."""

    number: int
    line: bytes
    text: str
    digest: str
    whole: str  # the state in one order of forms


NOTHING = Committed(0, b"", shown({}), "", "")  # committed yet


@functools.cache
def committed() -> tuple[Committed, ...]:
    """The log, by the real state machine: changes of limits, groups and titles, some that no front can use,
    some that a few can't, and some that no front takes while it serves."""
    rng, machine = Random(20), Machine()
    machine.apply(1, packed(Change("a", "begin", 1, taken_apart(parse(BASE, "<base>")))))
    versions = [_told(machine)]
    while len(versions) < VERSIONS:
        sets: dict[str, str] = {}
        drops: list[str] = []
        if rng.random() < 0.6:
            sets["limits"] = f"(limits (held {rng.randint(100, 900)}{rng.choice('0000012367')}))"
        if rng.random() < 0.3:
            key, name = rng.choice([("groups", "group"), ("titles", "title")]), f"n{rng.randint(0, 5)}"
            if f"{key[0]}/{name}" in machine.items and rng.random() < 0.5:
                drops.append(f"{key[0]}/{name}")
            elif key[0] == "groups":
                sets[f"groups/{name}"] = (
                    f"(group {name} (start-target 1s) (setup-timeout {rng.randint(2, 9)}s))"
                )
            else:
                sets[f"titles/{name}"] = f"(title {name} (home {rng.randint(0, 5)}) (span 2))"
        if "7" in machine.items["permissions"].text or rng.random() < 0.06:
            sets["permissions"] = f"(permissions (max-setups {3 if rng.random() < 0.5 else 7}))"
        index = len(versions) + 1
        if machine.apply(index, packed(Change("a", "next", index, sets, drops))).version:
            versions.append(_told(machine))
    return tuple(versions)


def _told(machine: Machine) -> Committed:
    """As the administration API tells it."""
    version = machine.history[-1]
    row = {
        "version": version.number,
        "who": version.who,
        "why": version.why,
        "when_us": version.when_us,
        "keys": [step.key for step in version.steps],
        "steps": version.steps,
        "digest": version.digest,
    }
    whole = _canonical(assembled(machine.items))
    return Committed(version.number, msgspec.json.encode(row), shown(machine.items), version.digest, whole)


def _canonical(listing: Listing) -> str:
    return "\n".join(sorted(map(str, listing.items)))


class Quick(Follower):
    """What is parsed and checked again and again for one text is remembered: for speed alone."""

    _known_forms: dict[tuple[str, str], Listing] = {}
    _known_texts: dict[str, dict[str, Listing]] = {}
    _known_sites: dict[str, Site] = {}

    def _parse_item(self, key: str, text: str) -> Listing:
        held = self._known_forms.get((key, text))
        if held is None:
            held = self._known_forms[key, text] = super()._parse_item(key, text)
        return held

    def _parse_items(self, text: str) -> dict[str, Listing]:
        held = self._known_texts.get(text)
        if held is None:
            held = self._known_texts[text] = super()._parse_items(text)
        return dict(held)

    def _check_site(self, state: State) -> Site:
        whole = str(assembled(state.items, state.forms))
        held = self._known_sites.get(whole)
        if held is None:
            held = self._known_sites[whole] = super()._check_site(state)
        for known in (self._known_sites, self._known_forms, self._known_texts):
            if len(known) > 5000:
                known.clear()
        return held


def unusable(me: int, site: Site, serving: Site | None) -> tuple[str, ...]:
    """What a front can't use: some versions no front can, some a part of them, some only while it serves."""
    last = site.limits.held % 10
    reasons = ["no front can"] if last == 7 else []
    reasons += ["this front can't"] if last in (1, 2, 3, 6) and me % 4 == last % 4 else []
    if serving is not None and serving.facts.permissions.max_attempts != site.facts.permissions.max_attempts:
        reasons.append("permissions can't change in service")
    return tuple(reasons)


@dataclass(frozen=True, slots=True)
class Schedule:
    """The sizes and chances of one schedule, drawn from its seed."""

    seed: int
    fronts: int = 5
    seconds: int = 20
    versions: int = 20
    bursts: int = 1  # of up to ten versions in a moment
    loss: float = 0.1
    slow: float = 0.05
    cuts: int = 3
    splits: int = 2
    crashes: int = 4
    kills: int = 3  # of instances
    lag: float = 0.2  # the chance that an instance applies late
    breaks: float = 0.01  # of a connection, at a line
    doubled: float = 0.05
    dropped: float = 0.01  # of a line, while its connection stands
    spoilt: float = 0.01
    sloppy: float = 0.3  # that a connection which was left still tells something
    disk_errors: float = 0.05
    hunted: float = 0.1  # that a front crashes at a writing, or just after it takes a version
    keeps: int = 1000  # versions in an instance's history
    apart: int = 0  # seconds that all fronts are cut off from all instances, together
    raft: bool = (
        False  # the instances are real Raft cores with disks, under the trouble of their own schedule
    )
    dead: int = 0  # machines of instances that are gone for good, and answer nothing
    parted: int = 0  # seconds that half of the fronts reach two instances alone, which have no leader


@dataclass(slots=True)
class Connection:
    """One request to an instance and what comes back, in order; `sent` is the version told last."""

    front: "Front"
    instance: "Instance"
    wants: Watch | Fetch
    life: int  # of the front
    left: bool = False  # by the front
    ended: bool = False  # at the instance
    sent: int = -1  # not accepted yet
    waiting: deque[tuple[str, Any, bool]] = field(default_factory=deque)
    pumping: bool = False


@dataclass(slots=True)
class Instance:
    """One that agrees with the others: how much of the log it has applied."""

    number: int
    applied: int = 0
    up: bool = True
    dead: bool = False
    life: int = 0
    heard_leader: int = 0
    slow_until: int = 0
    connections: list[Connection] = field(default_factory=list)
    requests: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Front:
    """One front: what runs there, what is on its disk, and what it ever had in force."""

    number: int
    follower: Follower | None = None
    life: int = 0  # counts its starts and crashes, in here
    last_life: int = 0  # as it told it
    disk: bytes = b""
    serving: Site | None = None
    ever: int = 0
    timer: int = -1
    connection: Connection | None = None
    writing: tuple[int, bytes] | None = None
    told: Report | None = None  # the newest that came to an instance
    told_at: int = -HOUR
    heard_at: int = -HOUR  # when a line that is right came last
    whole_at: int = -HOUR - 1  # and the whole state
    wholes: int = 0  # since it last heard a beat, or something that was not right
    second: tuple[int, int] = (0, 0)  # which one, and requests in it
    asked: int = 0


@dataclass(slots=True)
class Found:
    """What a run saw."""

    steps: int = 0
    taken: int = 0
    refused: int = 0
    crashes: int = 0
    wholes: int = 0
    watches: int = 0
    reports: int = 0
    latest: int = 0  # us from quiet until the last front was at the newest
    busiest: int = 0  # requests of one front in a second
    herd: float = 0.0  # the busiest second of an instance after a return, over the mean
    counts: Counter[str] = field(default_factory=Counter)


class Simulation(World):
    """One schedule. `make` builds the core, so that one with a guard taken out can be run as well."""

    def __init__(self, plan: Schedule, make: Callable[..., Follower] = Quick) -> None:
        super().__init__(plan.seed)
        self.plan, self.make, self.found = plan, make, Found()
        self.links = LinkModel(plan.loss, 0.0, plan.slow, 20_000, SECOND)
        self.log = committed()
        last = len(self.log) - plan.versions - 10 * plan.bursts - 5
        self.head = self.rng.randint(1, max(last, 1))
        self.instances = [Instance(number, self.head) for number in range(INSTANCES)]
        self.fronts = [Front(number) for number in range(plan.fronts)]
        self.cut: set[tuple[int, int]] = set()
        self.touched: list[Front] = []  # in this step
        self.moment = (0, 0)  # the moment, and steps in it
        self.sides: list[int] = [0] * INSTANCES  # the side of a split that each instance is on
        for instance in self.instances[: plan.dead]:
            instance.up, instance.dead = False, True

    def fail(self, why: str) -> None:
        raise BoundBrokenError(f"seed {self.plan.seed}: {why} at {self.now}")

    def is_partitioned(self, sender: int, to: int) -> bool:
        """Instances count from 0, fronts from INSTANCES."""
        return (sender, to) in self.cut

    def run(self) -> Found:
        """Play the schedule. Raises BoundBrokenError."""
        plan, end = self.plan, self.plan.seconds * SECOND
        self._begin_instances()
        for front in self.fronts:
            self.schedule_after(
                0,
                SECOND if plan.apart == 0 else SECOND // 10,
                lambda f=front: self._start(f),  # type: ignore[misc]
            )
        for count, what in (
            (plan.versions, self._commit),
            (plan.bursts, self._burst),
            (plan.cuts, self._some_cut),
            (plan.splits, self._some_split),
            (plan.crashes, self._some_crash),
            (plan.kills, self._some_kill),
        ):
            for _ in range(count):
                self.schedule_after(SECOND // 2, end, what)
        if plan.apart:
            self._all_apart(end)
        if plan.parted:
            self._parted(end)
        self.run_until(end)
        self._quiet()
        return self.found

    def _all_apart(self, end: int) -> None:
        """All fronts are cut off from all instances together, as a zone is."""
        self.run_until(end - self.plan.apart * SECOND)
        links = [(i, INSTANCES + f) for i in range(INSTANCES) for f in range(len(self.fronts))]
        self.cut |= {*links, *((b, a) for a, b in links)}

    def _parted(self, end: int) -> None:
        """Two instances have no leader, and half of the fronts reach them alone: these stay, say so, and ask
        seldom; the others move to those that have a leader."""
        self.run_until(end - self.plan.parted * SECOND)
        self.sides = [0, 0, 0, 1, 1]
        alone = [front for front in self.fronts if front.number % 2]
        links = [(i, INSTANCES + front.number) for i in range(3) for front in alone]
        self.cut |= {*links, *((b, a) for a, b in links)}
        self.run_until(self.now + 10 * SECOND)
        before, began = [(front.ever, front.asked) for front in self.fronts], self.now
        self.run_until(end)
        most = 4 + 3 * self.plan.parted // 15
        for front, (ever, asked) in zip(self.fronts, before, strict=True):
            held = front.follower
            assert held is not None
            if front not in alone:
                if not self._well(front) or self.sides[held.current_instance]:
                    self._say_behind(front)
            elif held.apart_since is None or held.apart_since > began or front.ever != ever:
                self.fail(
                    f"front {front.number} is apart since {held.apart_since}, {front.ever} after {ever}"
                )
            if front.asked - asked > most:
                self.fail(
                    f"front {front.number} asks {front.asked - asked} times while apart, {most} at most"
                )

    def _quiet(self) -> None:
        """The trouble is over: all are at the newest that they can use in time, and so it goes on."""
        self.faults_enabled = False
        self.cut.clear()
        self._calm_instances()
        for instance in self.instances:
            instance.requests.clear()
        for front in self.fronts:
            if front.follower is None:
                self._start(front)
        began = self.now
        while self.now < began + RETURN:
            self.run_until(self.now + SECOND // 10)
            if not all(self._well(front) for front in self.fronts):
                self.found.latest = self.now - began
        for front in self.fronts:
            if not self._well(front):
                self._say_behind(front)
        if self.plan.apart or self.plan.parted:
            self._herd(began)
        least, together = self.head, self.rng.random() < 0.5
        for _ in range(4):
            self._commit()
            self.run_until(self.now + (0 if together else SECOND // 2))
        self.run_until(self.now + RETURN)
        for front in self.fronts:
            self._newest_of(front, least)
            self._known(front)
            assert front.follower is not None
            for reason, count in front.follower.counts.items():
                self.found.counts[reason] += count

    def _known(self, front: Front) -> None:
        """What is in force at a front is known by its report."""
        held, told = front.follower, front.told
        assert held is not None
        here = (held.life, held.version, held.digest, held.refused[0], 0)
        there = told and (told.life, told.version, told.digest, told.refused, told.apart_ms)
        if here != there:
            self.fail(f"front {front.number} is at {here}, it has told {there}")

    def _say_behind(self, front: Front) -> None:
        held = front.follower
        assert held is not None
        self.fail(
            f"front {front.number} is at version {held.version} of {self.head}, refused {held.refused}, "
            f"knows {held.verified.number}, {held.phase.value} instance {held.current_instance}"
        )

    def _at_newest(self, front: Front) -> bool:
        held = front.follower
        if held is None or held.pending_write is not None:
            return False
        if held.version == self.head:
            return True
        why = unusable(front.number, self._site(self.head), front.serving)
        return held.refused[0] == self.head and bool(why)

    def _well(self, front: Front) -> bool:
        """At the newest, and with an instance that has a leader."""
        held = front.follower
        well = (
            held is not None
            and held.phase is Phase.WATCHING
            and held.usable_line_received
            and held.apart_since is None
        )
        return well and self._at_newest(front)

    def _newest_of(self, front: Front, least: int) -> None:
        """Of versions that came one after the other the last good one is in force, and a bad one is told."""
        held = front.follower
        assert held is not None
        if not self._at_newest(front):
            self._say_behind(front)
        good = [
            number
            for number in range(least + 1, self.head + 1)
            if not unusable(front.number, self._site(number), front.serving)
        ]
        if good and held.version < good[-1]:
            self.fail(f"front {front.number} is at version {held.version}, {good[-1]} was good")

    @staticmethod
    @functools.cache
    def _site(number: int) -> Site:
        return check(parse(committed()[number - 1].text, "<log>"), "<log>", Path())

    def _herd(self, began: int) -> None:
        """In no second of the return there are more than twice the mean of requests: at all instances, and at
        each one, where there are enough to speak of a mean; else chance is given three of its deviations."""
        asked = [[(at - began) // SECOND for at in one.requests] for one in self.instances]
        span = 1 + max((second for seconds in asked for second in seconds), default=0)
        for name, seconds in (*enumerate(asked), ("in all", sum(asked, []))):
            mean, busiest = len(seconds) / span, max(Counter(seconds).values(), default=0)
            bound = 2 * mean if mean >= 8 else 2 * mean + 3 * math.sqrt(mean)
            if mean >= 8:
                self.found.herd = max(self.found.herd, busiest / mean)
            if busiest > bound:
                self.fail(f"{busiest} requests in a second at instance {name}, {mean:.1f} on average")

    # Instances

    def _begin_instances(self) -> None:
        for instance in self.instances:
            self._tick(instance, instance.life)

    def _calm_instances(self) -> None:
        """All that are not gone are up and together."""
        self.sides = [0] * INSTANCES
        for instance in self.instances:
            instance.up, instance.slow_until = not instance.dead, 0
            instance.heard_leader = self.now

    def _majority(self) -> set[int]:
        """The instances that have a leader."""
        for side in set(self.sides):
            there = {n for n in range(INSTANCES) if self.sides[n] == side and self.instances[n].up}
            if len(there) > INSTANCES // 2:
                return there
        return set()

    def _commit(self) -> None:
        there = self._majority()
        if not there or self.head >= len(self.log):
            return
        self.head += 1
        leads = min(there)
        for number in there:
            late = self.rng.randint(1_000, 40_000) if number != leads else 0
            if self.faults_enabled and self.rng.random() < self.plan.lag:
                late = self.rng.randint(0, 4 * SECOND)
                self.instances[number].slow_until = max(self.instances[number].slow_until, self.now + late)
            head, life = self.head, self.instances[number].life
            self.schedule_after(late, late, lambda n=number, h=head, k=life: self._applies(n, h, k))  # type: ignore[misc]

    def _burst(self) -> None:
        for _ in range(self.rng.randint(2, 10)):
            self._commit()

    def _applies(self, number: int, head: int, life: int) -> None:
        instance = self.instances[number]
        if not instance.up or instance.life != life or head <= instance.applied:
            return
        instance.applied = head
        for connection in list(instance.connections):
            self._tell_versions(connection)

    def _tick(self, instance: Instance, life: int) -> None:
        """An instance hears of its leader, and what it lacks."""
        if instance.up and instance.life == life:
            if instance.number in self._majority():
                instance.heard_leader = self.now
                if instance.applied < self.head and self.now >= instance.slow_until:
                    self._applies(instance.number, self.head, life)
            for connection in list(instance.connections):
                if connection.sent >= 0 and isinstance(connection.wants, Watch):
                    self._send(connection, "line", self._beat(instance))
        life = instance.life
        self.schedule_at(self.now + SECOND // 2, lambda: self._tick(instance, life))

    def _is_apart(self, instance: Instance) -> bool:
        return self.now - instance.heard_leader > APART

    def _beat(self, instance: Instance) -> bytes:
        apart = self._is_apart(instance)
        return msgspec.json.encode({"beat": instance.applied, "apart": apart})

    def _some_split(self) -> None:
        """Instances are cut off from one another: a former leader goes on telling what it has."""
        self.sides = [self.rng.randint(0, 1) for _ in range(INSTANCES)]
        self.schedule_after(SECOND // 2, 8 * SECOND, self._together)

    def _together(self) -> None:
        self.sides = [0] * INSTANCES

    def _some_kill(self) -> None:
        instance = self.instances[self.rng.randrange(INSTANCES)]
        if not instance.up or not self.faults_enabled:
            return
        instance.up, instance.life = False, instance.life + 1
        for connection in list(instance.connections):
            self._break(connection)
        self.schedule_after(SECOND // 5, 4 * SECOND, lambda: self._again(instance))

    def _again(self, instance: Instance) -> None:
        """It is back with what its disk says is committed, which may be less than it told before."""
        if instance.up or instance.dead:
            return
        instance.up, instance.heard_leader = True, 0
        instance.applied = self.rng.randint(max(instance.applied - 8, 1), instance.applied)
        instance.slow_until = self.now + self.rng.randint(0, 2 * SECOND)

    # Connections

    def _connect(self, front: Front, wants: Watch | Fetch) -> None:
        self._leave(front)
        connection = Connection(front, self.instances[wants.instance], wants, front.life)
        front.connection = connection
        second, count = front.second
        count = count + 1 if second == self.now // SECOND else 1
        front.second, front.asked = (self.now // SECOND, count), front.asked + 1
        self.found.busiest = max(self.found.busiest, count)
        if count > MOST_REQUESTS:
            self.fail(f"front {front.number} asks {count} times in a second")
        here, there = INSTANCES + front.number, wants.instance
        arrives = self.transmit(here, there, self.links, lambda: self._accept(connection))
        if not arrives:
            self.schedule_at(self.now + CONNECT_TIMEOUT_US, lambda: self._ends(connection, Loss.LATE))

    def _accept(self, connection: Connection) -> None:
        instance, front = connection.instance, connection.front
        here, there = INSTANCES + front.number, instance.number
        if connection.left:
            return
        if self.is_partitioned(there, here):
            self.schedule_at(self.now + CONNECT_TIMEOUT_US, lambda: self._ends(connection, Loss.LATE))
            return
        if instance.dead:
            self.schedule_at(self.now + CONNECT_TIMEOUT_US, lambda: self._ends(connection, Loss.LATE))
            return
        if not instance.up:
            self.schedule_after(500, 20_000, lambda: self._ends(connection, Loss.REFUSED))
            return
        instance.requests.append(self.now)
        if self.faults_enabled and self.rng.random() < self.plan.breaks:
            self._send(connection, "turned-away", None)
            return
        connection.sent = 0
        instance.connections.append(connection)
        if isinstance(connection.wants, Fetch):
            self.found.wholes += 1
            held = self.log[instance.applied - 1] if instance.applied else NOTHING
            self._send(connection, "whole", (held.number, held.text, held.digest))
            return
        self.found.watches += 1
        long = self.now - front.heard_at > FULL_STATE_ABSENCE_US + SECOND
        if long and connection.wants.after < instance.applied and front.whole_at <= front.heard_at:
            self.fail(f"front {front.number} makes up for a long absence step by step")
        after = connection.wants.after
        if not max(instance.applied - self.plan.keeps, 0) <= after <= instance.applied:
            known = instance.applied if self.rng.random() < 0.7 else -1
            self._send(connection, "not-kept", known)
            return
        connection.sent = after
        self._send(connection, "line", self._beat(instance))
        self._tell_versions(connection)

    def _tell_versions(self, connection: Connection) -> None:
        if connection.sent < 0 or not isinstance(connection.wants, Watch):
            return
        instance = connection.instance
        if instance.applied - connection.sent > WATCH_AHEAD:
            self._break(connection)
            return
        for number in range(connection.sent + 1, instance.applied + 1):
            self._send(connection, "line", self.log[number - 1].line)
        connection.sent = max(instance.applied, connection.sent)

    def _send(self, connection: Connection, what: str, held: Any) -> None:
        """Something goes to the front, after what went before; it may be spoilt, doubled or lost."""
        if connection.ended:
            return
        plan, draw = self.plan, self.rng.random() if self.faults_enabled else 1.0
        if draw < plan.breaks:
            self._break(connection)
            return
        if draw < plan.breaks + plan.dropped and what == "line":
            return
        right = True
        if plan.breaks + plan.dropped <= draw < plan.breaks + plan.dropped + plan.spoilt:
            spoilt = self._spoilt(what, held)
            right, held = spoilt == held, spoilt
        connection.waiting.append((what, held, right))
        if self.faults_enabled and what == "line" and self.rng.random() < plan.doubled:
            connection.waiting.append((what, held, right))
        if not connection.pumping:
            connection.pumping = True
            self._pump_later(connection)

    def _spoilt(self, what: str, held: Any) -> Any:
        """Cut off, altered, or nonsense."""
        how = self.rng.randint(0, 2)
        if what == "line":
            if how == 0:
                return held[: self.rng.randrange(len(held))]
            if how == 1:
                return held.replace(b"held ", b"held 1", 1)
            return self.rng.choice([b"", b"{}", b"[[", b"\xff\x00", b'{"beat":-4}', b'{"version":0}'])
        if what == "whole":
            number, text, digest = held
            if how == 0:
                return number, text[: self.rng.randrange(len(text))], digest
            if how == 1:
                return number, text.replace("held ", "held 1", 1), digest
            return number, "", digest
        return held

    def _pump_later(self, connection: Connection) -> None:
        late = self.faults_enabled and self.rng.random() < self.plan.loss + self.plan.slow
        self.schedule_after(300, 400_000 if late else 8_000, lambda: self._pump(connection))

    def _pump(self, connection: Connection) -> None:
        """What waits arrives in its order; over a link that is cut it waits on."""
        front = connection.front
        if self.is_partitioned(connection.instance.number, INSTANCES + front.number):
            self.schedule_after(200_000, 400_000, lambda: self._pump(connection))
            return
        connection.pumping = False
        if connection.waiting:
            what, held, right = connection.waiting.popleft()
            if connection.waiting:
                connection.pumping = True
                self._pump_later(connection)
            self._arrives(connection, what, held, right)

    def _break(self, connection: Connection) -> None:
        """It ends at the instance; the front hears of it, or not."""
        self._end(connection)
        connection.waiting.clear()
        if self.rng.random() < 0.8 or not self.faults_enabled:
            front = connection.front
            if not self.is_partitioned(connection.instance.number, INSTANCES + front.number):
                self.schedule_after(500, 30_000, lambda: self._ends(connection, Loss.BROKEN))

    def _end(self, connection: Connection) -> None:
        connection.ended = True
        if connection in connection.instance.connections:
            connection.instance.connections.remove(connection)

    def _leave(self, front: Front) -> None:
        connection, front.connection = front.connection, None
        if connection is None:
            return
        connection.left = True
        self.schedule_after(500, 20_000, lambda: self._end(connection))

    def _stale(self, connection: Connection) -> bool:
        """Whether what comes of a connection is nothing to its front any more."""
        if connection.life != connection.front.life:
            return True
        if not connection.left and connection.front.connection is connection:
            return False
        front = connection.front
        return front.follower is None or not self.faults_enabled or self.rng.random() >= self.plan.sloppy

    def _ends(self, connection: Connection, how: Loss) -> None:
        front = connection.front
        if self._stale(connection) or front.follower is None:
            return
        if front.connection is connection:
            front.connection = None
        connection.left = True
        self._carry_out(front, front.follower.connection_lost(self.now, connection.wants.instance, how))

    def _arrives(self, connection: Connection, what: str, held: Any, right: bool) -> None:
        front, instance = connection.front, connection.wants.instance
        if self._stale(connection) or front.follower is None:
            return
        core, stale = front.follower, front.connection is not connection
        right = right or (what == "whole" and held[0] == core.verified.number)  # its text is not looked at
        if not right:
            front.wholes = 0
        elif not stale and what == "line":
            front.heard_at = self.now
        match what:
            case "line":
                effects = core.receive_line(self.now, instance, held)
                if right and held.startswith(b'{"beat"') and not stale:
                    front.wholes = 0
            case "whole":
                number, text, digest = held
                awaited = core.phase is Phase.FETCHING and core.current_instance == instance and not stale
                if right and awaited and number >= core.verified.number:
                    front.wholes, front.whole_at = front.wholes + 1, self.now
                    if front.wholes > 1:
                        self.fail(f"front {front.number} asked for the whole state twice in an absence")
                connection.left = True
                effects = core.receive_full_state(self.now, instance, number, text, digest)
            case "not-kept":
                connection.left, front.wholes = True, 0  # there is no other way from here
                effects = core.history_unavailable(self.now, instance, held)
            case _:
                connection.left = True
                effects = core.connection_lost(self.now, instance, Loss.TURNED_AWAY, 0, SECOND)
        self._carry_out(front, effects)

    def _some_cut(self) -> None:
        """Links between instances and some fronts are cut, all or one way, for a while."""
        fronts = [INSTANCES + n for n in range(len(self.fronts)) if self.rng.random() < 0.5]
        instances = [n for n in range(INSTANCES) if self.rng.random() < 0.7]
        gone = {(a, b) for a in fronts for b in instances}
        back = {(b, a) for a, b in gone}
        gone = self.rng.choice([gone, back, gone | back, gone | back])
        self.cut |= gone
        self.schedule_after(SECOND // 2, 8 * SECOND, lambda: self.cut.difference_update(gone))

    # Fronts

    def _start(self, front: Front) -> None:
        if front.follower is not None:
            return
        front.life += 1
        front.serving, front.writing, front.timer, front.wholes = None, None, -1, 0
        front.told_at = -HOUR
        number = front.number
        wall = self._wall(front)
        front.follower = self.make(
            number,
            len(self.fronts),
            INSTANCES,
            self.rng.getrandbits(32),
            3 * SECOND,
            Path(),
            lambda site: unusable(number, site, front.serving),
        )
        effects = front.follower.begin(self.now, wall, front.disk)
        front.last_life = front.follower.life
        self._carry_out(front, effects)

    def _wall(self, front: Front) -> int:
        """The Unix clock of a front's machine, which may have been set back; not beside a disk that fails."""
        kept = msgspec.json.decode(front.disk.partition(b"\n")[0])["life"] if front.disk else 0
        back = self.faults_enabled and kept == front.last_life and self.rng.random() < 0.2
        return HOUR + self.now - (self.rng.randint(0, HOUR) if back else 0)

    def _some_crash(self) -> None:
        self._crash(self.fronts[self.rng.randrange(len(self.fronts))])

    def _crash(self, front: Front) -> None:
        if front.follower is None or not self.faults_enabled:
            return
        self.found.crashes += 1
        for reason, count in front.follower.counts.items():
            self.found.counts[reason] += count
        self._leave(front)
        if front.writing is not None and self.rng.random() < 0.5:
            front.disk = front.writing[1]  # it became durable, and nobody was told
        front.follower, front.serving, front.writing = None, None, None
        front.life += 1
        life = front.life
        self.schedule_after(
            SECOND // 10, 3 * SECOND, lambda: self._start(front) if front.life == life else None
        )

    def _carry_out(self, front: Front, effects: list[Effect]) -> None:
        self.touched.append(front)
        life = front.life
        for effect in effects:
            if front.life != life:
                return
            match effect:
                case Watch() | Fetch():
                    self._connect(front, effect)
                case Disconnect():
                    self._leave(front)
                case Persist(number, data):
                    self._keep(front, number, data)
                case PutInForce():
                    self._takes(front, effect)
                case SendReport(instance, report):
                    self._tell(front, instance, report)
                case LogEvent(_, event, _):
                    self.found.refused += event == "config-refused"
        self._timed(front)

    def _tell(self, front: Front, instance: int, report: Report) -> None:
        self.found.reports += 1
        if self.now < front.told_at + 5 * SECOND:
            self.fail(f"front {front.number} reports again after {self.now - front.told_at} us")
        front.told_at, life = self.now, front.life
        away = self.is_partitioned(INSTANCES + front.number, instance) or not self.instances[instance].up
        ok = not away and (not self.faults_enabled or self.rng.random() >= self.plan.loss)
        newest = front.told is None or (report.life, report.number) > (front.told.life, front.told.number)
        if ok and newest:
            front.told = report
        self.schedule_after(1_000, 40_000, lambda: self._told(front, life, ok))

    def _told(self, front: Front, life: int, ok: bool) -> None:
        if front.life == life and front.follower is not None:
            self._carry_out(front, front.follower.report_finished(self.now, ok))

    def _keep(self, front: Front, number: int, data: bytes) -> None:
        if front.writing is not None:
            self.fail(f"front {front.number} writes twice at once")
        front.writing = (number, data)
        life = front.life
        if self.faults_enabled and self.rng.random() < self.plan.hunted:
            self.schedule_after(0, 30_000, lambda: self._crash(front) if front.life == life else None)
        self.schedule_after(500, 20_000, lambda: self._durable(front, life))

    def _durable(self, front: Front, life: int) -> None:
        if front.life != life or front.writing is None or front.follower is None:
            return
        (number, data), front.writing = front.writing, None
        ok = not (self.faults_enabled and self.rng.random() < self.plan.disk_errors)
        if ok:
            front.disk = data
        self._carry_out(front, front.follower.write_finished(self.now, number, ok))

    def _takes(self, front: Front, take: PutInForce) -> None:
        """A version is in force: it must not be older, must be what was committed, and usable."""
        self.found.taken += 1
        again = front.serving is None and take.number == front.ever
        if take.number <= front.ever and not again:
            self.fail(f"front {front.number} takes version {take.number} after {front.ever}")
        if take.number > self.head:
            self.fail(f"front {front.number} takes version {take.number}, {self.head} are committed")
        held = self.log[take.number - 1]
        [listing] = take.site.node
        assert isinstance(listing, Listing)
        if _canonical(listing) != held.whole or take.digest != held.digest:
            self.fail(f"front {front.number} takes a version {take.number} that is not the committed one")
        why = unusable(front.number, take.site, front.serving)
        if why:
            self.fail(f"front {front.number} takes version {take.number}: {why[0]}")
        front.ever, front.serving = take.number, take.site
        if self.faults_enabled and self.rng.random() < self.plan.hunted / 2:
            life = front.life
            self.schedule_after(0, 30_000, lambda: self._crash(front) if front.life == life else None)

    def _timed(self, front: Front) -> None:
        """Have it called when it wants to be."""
        if front.follower is None:
            return
        due = front.follower.next_due
        if due is None or (self.now <= front.timer <= due):
            return
        front.timer = max(due, self.now)
        life, moment = front.life, front.timer
        self.schedule_at(moment, lambda: self._due(front, life, moment))

    def _due(self, front: Front, life: int, moment: int) -> None:
        if front.life != life or front.follower is None or front.timer != moment:
            return
        front.timer = -1
        self._carry_out(front, front.follower.run_due(self.now))

    def check_invariants(self) -> None:
        """After each step: what a front says is in force is what it took, and it never says less."""
        self.found.steps = self.steps
        self.moment = (self.now, self.moment[1] + 1 if self.now == self.moment[0] else 0)
        if self.moment[1] > MOST_AT_ONCE:
            self.fail("time stands still")
        touched, self.touched = self.touched, []
        for front in touched:
            held = front.follower
            if held is not None and held.version and (held.version != front.ever or front.serving is None):
                self.fail(f"front {front.number} says {held.version}, {front.ever} is in force")
            if held is not None and held.phase is not Phase.DISCONNECTED and front.connection is None:
                self.fail(f"front {front.number} is {held.phase.value} and asks nobody")


class OverRaft(Simulation):
    """The instances are real Raft cores with disks, in the world of their own simulation, which is let go on
    step by step beside this one. The n-th value that they apply is the n-th version."""

    def __init__(self, plan: Schedule, make: Callable[..., Follower] = Quick) -> None:
        super().__init__(plan, make)
        rng = Random(plan.seed * 7919 + 17)
        self.raft = raft.Simulation(raft.Schedule(
            plan.seed, members=INSTANCES, spare=0, clients=1, seconds=plan.seconds, loss=rng.choice([0, 0.1]),
            crashes=rng.randint(0, 6), cuts=rng.randint(0, 4), pauses=rng.randint(0, 2), changes=0,
            hunted=rng.choice([0, 0.2]), compact=rng.choice([0, 0.02, 0.1]),
        ))  # fmt: skip
        self.head = 0
        for instance in self.instances:
            instance.applied = 0

    def _begin_instances(self) -> None:
        self.raft.begin(self.plan.seconds * SECOND)
        self._beside()

    def _beside(self) -> None:
        """What the members have done since, they have done."""
        try:
            self.raft._until(self.now)
        except raft.ViolatedError as problem:
            self.fail(f"of the members: {problem}")
        self.head = len(self.raft.applied_by)
        for instance, node in zip(self.instances, self.raft.nodes, strict=True):
            up = node.raft is not None
            if instance.up and (not up or len(node.state) < instance.applied):
                for connection in list(instance.connections):
                    self._break(connection)
            instance.up = up
            if not up or len(node.state) < instance.applied:
                instance.applied = 0
            if up and self.now >= node.paused_until and len(node.state) > instance.applied:
                instance.applied = len(node.state)
                for connection in list(instance.connections):
                    self._tell_versions(connection)
            if up and self.now % (SECOND // 2) < STEP and self.now >= node.paused_until:
                for connection in list(instance.connections):
                    if connection.sent >= 0 and isinstance(connection.wants, Watch):
                        self._send(connection, "line", self._beat(instance))
        self.schedule_at(self.now + STEP, self._beside)

    def _is_apart(self, instance: Instance) -> bool:
        core = self.raft.nodes[instance.number].raft
        return core is None or core.apart

    def _calm_instances(self) -> None:
        self.raft.calm()

    def _commit(self) -> None:
        """Once the trouble is over: under it the members' own clients propose."""
        if not self.faults_enabled:
            self.raft._propose("last", self.head + 1)

    def _burst(self) -> None:
        return

    _some_split = _some_kill = _burst


def simulation(plan: Schedule, make: Callable[..., Follower] = Quick) -> Simulation:
    """The world that a schedule is played in."""
    return (OverRaft if plan.raft else Simulation)(plan, make)


def drawn(seed: int) -> Schedule:
    """A schedule of any shape."""
    rng = Random(seed * 7919 + 11)
    if seed % 20 == 19:
        return returning(seed)
    return Schedule(
        seed, raft=seed % 4 == 1, fronts=rng.choice([1, 2, 4, 4, 6]), seconds=rng.randint(8, 25),
        versions=rng.randint(5, 30), bursts=rng.randint(0, 3), loss=rng.choice([0, 0.1, 0.3]),
        slow=rng.choice([0, 0.05, 0.2]), cuts=rng.randint(0, 5), splits=rng.randint(0, 3),
        crashes=rng.randint(0, 8), kills=rng.randint(0, 6), lag=rng.choice([0, 0.2, 0.5]),
        breaks=rng.choice([0, 0.01, 0.05]),
        doubled=rng.choice([0, 0.1]), dropped=rng.choice([0, 0.01, 0.05]), spoilt=rng.choice([0, 0.01, 0.05]),
        sloppy=rng.choice([0, 0.3]), disk_errors=rng.choice([0, 0.1]), hunted=rng.choice([0, 0.1, 0.4]),
        keeps=rng.choice([3, 10, 1000]),
    )  # fmt: skip


def returning(seed: int) -> Schedule:
    """A fleet that is cut off together, or a half of it with a minority, and comes back; nothing else."""
    rng = Random(seed * 7919 + 13)
    away, minority = rng.choice([10, 20, 70]), rng.random() < 0.4
    if minority:
        return absence(seed, 20, away + 40, True)
    return replace(absence(seed, rng.choice([50, 80]), away, False), dead=rng.choice([0, 0, 1]))


def absence(seed: int, fronts: int, away: int, minority: bool) -> Schedule:
    """The trouble is one absence of so many seconds, while versions go on."""
    return Schedule(
        seed, fronts=fronts, seconds=away + 6, versions=6, bursts=0, loss=0.0, slow=0.0, cuts=0, splits=0,
        crashes=0, kills=0, lag=0.0, breaks=0.0, doubled=0.0, dropped=0.0, spoilt=0.0, sloppy=0.0,
        disk_errors=0.0, hunted=0.0, apart=0 if minority else away, parted=away if minority else 0,
    )  # fmt: skip


def explore(
    first: int, count: int, make: Callable[..., Follower] = Quick, shape: Callable[[int], Schedule] = drawn
) -> tuple[int, str]:
    """Run schedules one after the other until one fails; returns how many ran and what failed."""
    return find_failing_seed(first, count, lambda seed: simulation(shape(seed), make).run(), BoundBrokenError)


def shrunk(plan: Schedule, make: Callable[..., Follower] = Quick) -> Schedule:
    """The least of a failing schedule that still fails."""
    names = ("crashes", "cuts", "splits", "kills", "bursts", "fronts", "versions", "seconds", "loss", "slow",
             "lag", "breaks", "doubled", "dropped", "spoilt", "sloppy", "disk_errors", "hunted")  # fmt: skip
    least = {"fronts": 1, "seconds": 2, "versions": 1}
    return minimise_schedule(
        plan, names, least, lambda other: simulation(other, make).run(), BoundBrokenError
    )


def played(first: int, count: int, shape: Callable[[int], Schedule] = drawn) -> Found:
    """What schedules saw in all. Raises BoundBrokenError."""
    total = Found()
    for seed in range(first, first + count):
        found = simulation(shape(seed)).run()
        for name in ("steps", "taken", "refused", "crashes", "wholes", "watches", "reports"):
            setattr(total, name, getattr(total, name) + getattr(found, name))
        total.latest, total.busiest = max(total.latest, found.latest), max(total.busiest, found.busiest)
        total.herd = max(total.herd, found.herd)
        total.counts += found.counts
    return total
