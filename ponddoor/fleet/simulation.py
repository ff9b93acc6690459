"""The cores of the fleet under a deterministic simulation: from one seed the same schedule every time.

Fronts with clocks that drift, and walls that are set; a network that loses, doubles, delays for seconds,
reorders and cuts, one way or both; fronts that crash and are back, stand still, or talk nonsense. Each tells
what it asks of servers and what it saw there, lends its parts, and asks for grants.

After every step: nobody's part of a budget is with two at once. Of what a keeper holds: no word of an earlier
life or stamp ever took the place of a later one, nothing stands that its front never told, and what may
still play is in the most. A front that stood still for less than a suspicion runs is buried by nobody. After
quiet: all that live see each other so, the sums are what the fronts ask, and the keepers lend on what most
fronts do not use."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from ponddoor.fleet.presence import Connectivity, FrontState, Timing
from ponddoor.fleet.view import INCARNATION_EPOCH_US, Fleet, Terms
from ponddoor.interface import actions as act
from ponddoor.interface import facts as fx
from ponddoor.interface import words
from ponddoor.interface.script import Script
from ponddoor.world import LinkModel, World, find_failing_seed, minimise_schedule

SECOND = 1_000_000
PERIOD = SECOND // 2
WAIT = SECOND // 12
TERMS = Terms(
    owners_per_group=2,
    all_own_up_to=2,
    timing=Timing(PERIOD, WAIT, 4 * PERIOD, 8 * PERIOD),
    evidence_ttl=8 * SECOND,
    lease=4 * PERIOD,
    min_updated_ratio=0.6,
    min_ack_ratio=0.4,
    bootstrap_replies_per_period=2,
)
SERVERS = range(1, 4)
GROUPS = 2
SLOT = 50_000  # us: of the budget of one server
BURST = 2.0
HOUR = 3600 * SECOND
FAILING = 1  # the server that fails for all, in a while


class BoundBrokenError(Exception):
    """What the fleet shares went out of its bounds. Names the seed, which replays it."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """The sizes and chances of one schedule, drawn from its seed."""

    seed: int
    fronts: int = 5
    seconds: int = 20
    loss: float = 0.1
    double: float = 0.1
    slow: float = 0.05
    late: int = 5 * SECOND
    crashes: int = 3
    cuts: int = 2
    pauses: int = 2
    drift: float = 0.01
    walls: float = 0.2  # the chance that a front is back with its wall clock set by an hour
    rogues: int = 0
    down: int = 4 * SECOND  # how long a front that crashed is away at most


@dataclass(slots=True)
class Node:
    """One front while it is up: its clock, what it asks, and its scripts."""

    number: int
    rate: float
    offset: int
    wall: int
    rogue: bool = False
    fleet: Fleet | None = None
    starts: int = 0
    paused_until: int = 0
    asks: dict[int, float] | None = None
    listening: list[tuple[Script, int | None]] | None = None


@dataclass(slots=True)
class Found:
    """What a run saw."""

    steps: int = 0
    messages: int = 0
    grants: int = 0
    own: int = 0
    lent: int = 0
    refuted: int = 0
    crashes: int = 0


class Simulation(World):
    """One schedule. `make` builds a front's fleet, so that one with a guard taken out can be run as well."""

    def __init__(self, plan: Schedule, make: Callable[..., Fleet] = Fleet) -> None:
        super().__init__(plan.seed)
        self.plan, self.make, self.found = plan, make, Found()
        self.links = LinkModel(plan.loss, plan.double, plan.slow, 30_000, plan.late)
        self.cut: set[tuple[int, int]] = set()
        self.nodes = [
            Node(n, 1 + plan.drift * self.rng.uniform(-1, 1), self.rng.randrange(HOUR), 9 * HOUR)
            for n in range(plan.fronts)
        ]
        for node in self.nodes[: plan.rogues]:
            node.rogue = True
        self.told: dict[tuple[int, int], set[tuple[int, float]]] = {}  # (front, life): (server, amount)
        self.newest: dict[tuple[int, int, int], tuple[int, int]] = {}  # (holder's life, front, server)
        self.stood: dict[int, int] = {}  # front: it stood still until then, and never for long

    def clock(self, node: Node) -> int:
        return node.offset + round(self.now * node.rate)

    def is_partitioned(self, sender: int, to: int) -> bool:
        return (sender, to) in self.cut

    def fail(self, why: str) -> None:
        raise BoundBrokenError(f"seed {self.plan.seed}: {why} at {self.now}")

    def run(self) -> Found:
        """Play the schedule. Raises BoundBrokenError."""
        plan, end = self.plan, self.plan.seconds * SECOND
        for node in self.nodes:
            self.schedule_after(0, SECOND, lambda node=node: self._start(node))  # type: ignore[misc]
        for count, what in ((plan.crashes, self._crash), (plan.cuts, self._cut), (plan.pauses, self._pause)):
            for _ in range(count):
                self.schedule_after(2 * SECOND, end * 3 // 4, what)
        self.run_until(end)
        self.faults_enabled = False
        self.cut.clear()
        for node in self.nodes:
            node.paused_until = 0
        self.run_until(end + plan.late)
        self._settled()
        return self.found

    def _round(self) -> int:
        """Until every front has pinged all, and suspicions are over."""
        return PERIOD * (4 * self.plan.fronts + 12)

    # Fronts

    def _facts(self, node: Node) -> fx.SiteFacts:
        safe, all_ = fx.Effect.SAFE, fx.Scope.ALL
        group = fx.ServiceGroup("g", SECOND, SECOND, 1.0, safe, all_, 0, 0, 0, 0, False, 1.0)
        return fx.SiteFacts(
            node.number, self.plan.fronts, 0, self.rng.getrandbits(32), False, fx.Reporting.OFF, (), 1.0,
            (group,), (), fx.Ladder((1.0,), (1.0,), 0.0, 0.0, 1.0), fx.Plant(3, 2, 1.0, 1.0, (1,), 0.0, 0, 0),
            fx.Rules(SECOND, 0.4, 0, 1.0, SECOND, 0, 0, None, 0.0, 0),
            fx.Permissions(False, True, True, 1, True, 0, 0), fx.Prices(0.0, 0.0, 0.0, 0.0),
            wall=INCARNATION_EPOCH_US + node.wall - node.offset,
        )  # fmt: skip

    def _start(self, node: Node) -> None:
        if node.fleet is not None:
            return
        node.starts += 1
        now = self.clock(node)
        fleet = node.fleet = self.make(self._facts(node), now, TERMS, GROUPS)
        node.asks = {}
        node.listening = []
        self._play(node, fleet.gossip(lambda server: None, lambda keeper: self._rates(node, keeper)))
        life = node.starts
        self.schedule_after(0, PERIOD, lambda: self._turn(node, life, 0))

    def _group(self, server: int) -> int:
        return server % GROUPS

    def _rates(self, node: Node, keeper: int) -> list[words.ServerRate]:
        assert node.fleet is not None and node.asks is not None
        return [
            words.ServerRate(server, kb)
            for server, kb in node.asks.items()
            if kb and keeper in node.fleet.other_owners(self._group(server))
        ]

    def _turn(self, node: Node, life: int, turn: int) -> None:
        """What a front does in each period: other rates, an end of a set-up, a part lent, a question."""
        if node.fleet is None or node.starts != life:
            return
        if self.now >= node.paused_until:
            fleet, rng = node.fleet, self.rng
            fleet.now = self.clock(node)
            assert node.asks is not None
            server = rng.choice(SERVERS)
            if self.faults_enabled:
                node.asks[server] = 4.0 * rng.randrange(0, 50)
                bad = server == FAILING
                seen = words.SetupOutcomes(2, 0) if bad else words.SetupOutcomes(0, 2)
                rate = words.ServerRate(server, node.asks[server], outcomes=seen)
                if node.rogue:
                    rate = replace(
                        rate, rate_kb=4.0 * rng.randrange(30_000), outcomes=words.SetupOutcomes(15, 0)
                    )
                    node.asks[server] = rate.rate_kb
                self._play(node, fleet.send_changes([(self._group(server), rate)]))
            self._play(node, fleet.refresh(turn, 4, lambda keeper: self._rates(node, keeper)))
            self._play(node, fleet.lend_shares(range(GROUPS)))
            for server in (rng.choice([1, 3]), 2):  # of either group one
                self._play(node, self._wants(node, server))
            if node.rogue and self.faults_enabled:
                self._nonsense(node)
        self.schedule_at(self.now + round(PERIOD * node.rate), lambda: self._turn(node, life, turn + 1))

    def _nonsense(self, node: Node) -> None:
        """Within the format: all others are silent, all servers bad for everybody, a life that can't be."""
        assert node.fleet is not None
        to = self.rng.choice([n for n in range(self.plan.fronts) if n != node.number])
        life = node.fleet.presence.incarnation
        rows = tuple(
            words.MemberRow(n, self.rng.choice([1, 2**32 - 1, self._life(n)]), 255, node.number)
            for n in range(self.plan.fronts)
            if n != node.number
        )
        saw = tuple((server, words.SetupOutcomes(15, 0)) for server in SERVERS)
        for word in (
            words.Ping(1, life, 0, rows[: words.MAX_MEMBER_ROWS]),
            words.BootstrapReply(life, (), saw),
        ):
            self._send(node, to, words.pack(word)[0])

    def _life(self, number: int) -> int:
        fleet = self.nodes[number].fleet
        return fleet.presence.incarnation if fleet is not None else 1

    def _wants(self, node: Node, server: int) -> Script:
        """A send to a server out of a budget: our own part's, else a keeper's grant."""
        fleet, group = node.fleet, self._group(server)
        assert fleet is not None
        if fleet.shares.may_use_own(fleet.now, group):
            self.found.own += 1
        yield from fleet.query(
            [group], lambda number: words.HoldersQuery(number, server, 1, 0), fleet.now + WAIT
        )

    def _play(self, node: Node, script: Script, value: Any = None) -> None:
        assert node.listening is not None and node.fleet is not None
        while True:
            try:
                action = script.send(value)
            except StopIteration:
                return
            value = None
            match action:
                case act.SendPeerMessage(peer, payload):
                    others = [n for n in range(self.plan.fronts) if n != node.number]
                    for to in others if peer is None else [peer]:
                        self._send(node, to, payload)
                case act.WaitForPeerMessage(until):
                    node.listening.append((script, until))
                    if until is not None:
                        self._later(node, until)
                    return

    def _later(self, node: Node, until: int) -> None:
        life, left = node.starts, max(until - self.clock(node), 0)
        self.schedule_at(self.now + round(left / node.rate) + 1, lambda: self._wake(node, life))

    def _wake(self, node: Node, life: int) -> None:
        if node.fleet is None or node.starts != life:
            return
        if self.now < node.paused_until:
            self.schedule_at(node.paused_until, lambda: self._wake(node, life))
            return
        now = node.fleet.now = self.clock(node)
        assert node.listening is not None
        due = [one for one in node.listening if one[1] is not None and one[1] <= now]
        node.listening = [one for one in node.listening if one not in due]
        for script, _ in due:
            self._play(node, script)

    def _send(self, node: Node, to: int, payload: bytes) -> None:
        self.found.messages += 1
        word = words.unpack(payload)
        if isinstance(word, words.RateUpdate):
            told = self.told.setdefault((node.number, word.incarnation), set())
            told.update((rate.server, rate.rate_kb) for rate in word.rates)
        self.transmit(node.number, to, self.links, lambda: self._arrive(node.number, to, payload))

    def _arrive(self, sender: int, to: int, payload: bytes) -> None:
        node = self.nodes[to]
        if node.fleet is None:
            return
        if self.now < node.paused_until:
            self.schedule_at(node.paused_until, lambda: self._arrive(sender, to, payload))
            return
        fleet, word = node.fleet, words.unpack(payload)
        fleet.now = self.clock(node)
        fleet.receive(sender, word)
        match word:
            case words.QueryReply():
                fleet.match_reply(sender, word)
            case words.HoldersQuery(number, server):
                group = self._group(server)
                if to in fleet.owners(group):
                    granted = fleet.shares.grant(fleet.now, group, server, SLOT, BURST)
                    self.found.grants += granted
                    room = fleet.status_for(sender, server, 0.0, fleet.counts.likely(server), False, granted)
                    self._play(node, fleet.reply(sender, number, [room], False))
        assert node.listening is not None
        scripts, node.listening = node.listening, []
        for script, _ in scripts:
            self._play(node, script)

    # Troubles

    def _some(self) -> Node:
        return self.nodes[self.rng.randrange(len(self.nodes))]

    def _crash(self) -> None:
        node = self._some()
        if node.fleet is None or not self.faults_enabled:
            return
        node.fleet, node.asks, node.listening = None, None, None
        node.starts += 1
        self.found.crashes += 1
        if self.rng.random() < self.plan.walls:
            node.wall += self.rng.choice([-HOUR, HOUR])
        self.schedule_after(100_000, self.plan.down, lambda: self._start(node))

    def _cut(self) -> None:
        """Some hear nothing of the others, or are heard by none, or both, for a while."""
        numbers = range(self.plan.fronts)
        side = {n for n in numbers if self.rng.random() < 0.35}
        one_way, turned = self.rng.random() < 0.4, self.rng.random() < 0.5
        there = {(a, b) for a in side for b in numbers if b not in side}
        back = {(b, a) for a, b in there}
        gone = (back if turned else there) if one_way else there | back
        self.cut |= gone
        self.schedule_after(SECOND, 8 * SECOND, lambda: self.cut.difference_update(gone))

    def _pause(self) -> None:
        self._some().paused_until = self.now + self.rng.randint(200_000, 5 * SECOND)

    # What holds

    def check_invariants(self) -> None:
        self.found.steps = self.steps
        if self.steps % 16:
            return
        up = [node for node in self.nodes if node.fleet is not None]
        for group in range(GROUPS):
            for node in up:
                self._one_holder(node, group, up)
        for node in up:
            self._registers(node)
            self._judgements(node)

    def _one_holder(self, owner: Node, group: int, up: list[Node]) -> None:
        assert owner.fleet is not None
        # A front that stands still uses nothing; what it would think on waking is by its clock of then
        holders = [owner.number] if owner.fleet.shares.may_use_own(self.clock(owner), group) else []
        for keeper in up:
            if keeper is owner or keeper.fleet is None:
                continue
            if owner.number in keeper.fleet.shares.lenders_of(self.clock(keeper), group):
                holders.append(keeper.number)
        if len(holders) > 1:
            self.fail(f"front {owner.number}'s part of group {group} is with {holders}")

    def _registers(self, node: Node) -> None:
        assert node.fleet is not None
        for front, origin in node.fleet.counts.origins.items():
            for server, cell in origin.cells.items():
                key, now = (node.number * 1000 + node.starts, front, server), (origin.incarnation, cell.stamp)
                if now < self.newest.get(key, now):
                    self.fail(f"front {node.number} went back to an older word of front {front}")
                self.newest[key] = now
                if (server, cell.amount) not in self.told.get((front, origin.incarnation), set()):
                    self.fail(f"front {node.number} holds what front {front} never told")

    def _judgements(self, node: Node) -> None:
        """One front's word condemns nothing."""
        fleet = node.fleet
        for server in SERVERS:
            if fleet is None or server == FAILING or node.rogue:
                continue
            view = fleet.evidence.summary(fleet.now, server, node.number)
            if view.is_bad(2):
                self.fail(f"front {node.number} condemns server {server} by {view}")

    def _settled(self) -> None:
        """After quiet."""
        for node in self.nodes:
            if node.fleet is None:
                self._start(node)
        self.run_until(self.now + self._round())
        for node in self.nodes:
            fleet = node.fleet
            assert fleet is not None
            wrong = [n for n in range(self.plan.fronts) if fleet.presence.state_of(n) is not FrontState.ALIVE]
            if wrong:
                self.fail(f"front {node.number} takes {wrong} for gone after quiet")
            if self.plan.fronts > 1 and fleet.presence.connectivity(fleet.now) is not Connectivity.FULL:
                self.fail(
                    f"front {node.number} hears {fleet.presence.connectivity(fleet.now).value} after quiet"
                )
        for group in range(GROUPS):
            for keeper in {front for node in self.nodes if node.fleet for front in node.fleet.owners(group)}:
                self._sums(self.nodes[keeper], group)
        self._lent()

    def _sums(self, keeper: Node, group: int) -> None:
        fleet = keeper.fleet
        assert fleet is not None
        if not fleet.is_synced(group):
            self.fail(f"keeper {keeper.number} of group {group} is not told all after quiet")
        for server in SERVERS:
            if self._group(server) != group:
                continue
            truth = sum((node.asks or {}).get(server, 0.0) for node in self.nodes if node is not keeper)
            bounds = fleet.counts.bounds(fleet.now, server, HOUR)
            if not bounds.least <= truth <= bounds.most or abs(bounds.likely - truth) > 0.5:
                self.fail(f"keeper {keeper.number} has {bounds} of server {server}, {truth} are asked")

    def _lent(self) -> None:
        """Nine in ten of the parts that a group's keepers do not hold themselves are lent to one of them."""
        for group in range(GROUPS):
            keepers = self.nodes[0].fleet.owners(group) if self.nodes[0].fleet else ()
            lent: set[int] = set()
            for keeper in keepers:
                fleet = self.nodes[keeper].fleet
                lent |= fleet.shares.lenders_of(fleet.now, group) if fleet is not None else set()
            self.found.lent += len(lent)
            others = self.plan.fronts - len(keepers)
            if len(lent - set(keepers)) < 0.9 * others and self.plan.drift <= 0.01:
                self.fail(f"{len(lent)} of {others} parts of group {group} are lent after quiet")


def drawn(seed: int) -> Schedule:
    """A schedule of any shape."""
    rng = Random(seed * 7919 + 5)
    return Schedule(
        seed,
        fronts=rng.choice([3, 4, 5, 5, 8, 12]),
        seconds=rng.randint(8, 20),
        loss=rng.choice([0, 0.1, 0.3]),
        double=rng.choice([0, 0.1, 0.3]),
        slow=rng.choice([0, 0.05, 0.2]),
        crashes=rng.randint(0, 6),
        cuts=rng.randint(0, 3),
        pauses=rng.randint(0, 3),
        drift=rng.choice([0, 0.01]),
        rogues=rng.choice([0, 0, 0, 1]),
    )


def explore(
    first: int, count: int, make: Callable[..., Fleet] = Fleet, shape: Callable[[int], Schedule] = drawn
) -> tuple[int, str]:
    """Run schedules one after the other until one fails; returns how many ran and what failed."""
    return find_failing_seed(first, count, lambda seed: Simulation(shape(seed), make).run(), BoundBrokenError)


def shrunk(plan: Schedule, make: Callable[..., Fleet] = Fleet) -> Schedule:
    """The least of a failing schedule that still fails."""
    names = ("crashes", "cuts", "pauses", "rogues", "fronts", "seconds", "loss", "double", "slow")
    least = {"fronts": 3, "seconds": 4}
    return minimise_schedule(
        plan, names, least, lambda other: Simulation(other, make).run(), BoundBrokenError
    )
