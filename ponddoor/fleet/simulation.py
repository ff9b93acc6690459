"""Deterministic simulation of the fleet package: the same seed gives the same schedule every time.

Fronts have clocks that drift and wall clocks that are set; the network loses, duplicates, delays (up to
seconds), reorders and partitions, one way or both; fronts crash and restart, pause, or send invalid
messages. Each front sends the rates that it requests of servers and its observations of them, lends its
shares, and asks for grants.

Checked after every 16th step: no front's share of a budget is usable by two at once; an owner never
replaces an amount by one of an earlier incarnation or stamp, and holds only amounts that the front sent; no
server that works is condemned. Checked at the end, after a quiet time: all fronts see each other alive, the
sums are what the fronts request, and the shares that fronts do not use are lent to the owners."""

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
ACK_TIMEOUT = SECOND // 12
TERMS = Terms(
    owners_per_group=2,
    all_own_up_to=2,
    timing=Timing(PERIOD, ACK_TIMEOUT, 4 * PERIOD, 8 * PERIOD),
    evidence_ttl=8 * SECOND,
    lease=4 * PERIOD,
    min_updated_ratio=0.6,
    min_ack_ratio=0.4,
    bootstrap_replies_per_period=2,
)
SERVERS = range(1, 4)
GROUPS = 2
SLOT_US = 50_000  # of the budget of one server
BURST = 2.0
HOUR = 3600 * SECOND
FAILING_SERVER = 1  # its set-ups fail for all fronts


class BoundBrokenError(Exception):
    """A check failed. The text names the seed, which replays the run."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """The sizes and fault probabilities of one schedule, drawn from its seed. Times in us but `seconds`."""

    seed: int
    fronts: int = 5
    seconds: int = 20
    loss: float = 0.1
    double: float = 0.1  # probability that a message is duplicated
    slow: float = 0.05  # probability that a message is delayed up to `late`
    late: int = 5 * SECOND
    crashes: int = 3
    cuts: int = 2  # network partitions
    pauses: int = 2
    drift: float = 0.01
    wall_steps: float = 0.2  # probability that a front restarts with its wall clock set by an hour
    rogues: int = 0  # fronts that send invalid messages
    max_downtime: int = 4 * SECOND  # after a crash


@dataclass(slots=True)
class Node:
    """A simulated front: its clocks, and its view, rates and waiting scripts while it is up."""

    number: int
    clock_rate: float
    clock_offset: int
    wall_clock: int
    rogue: bool = False
    fleet: Fleet | None = None
    starts: int = 0  # starts and crashes so far: tells callbacks of an earlier start apart
    paused_until: int = 0
    rates: dict[int, float] | None = None  # requested rate by server
    waiting: list[tuple[Script, int | None]] | None = None  # scripts that wait, with their deadline


@dataclass(slots=True)
class RunStats:
    """Totals of a run."""

    steps: int = 0
    messages: int = 0
    grants: int = 0
    own: int = 0  # sends that a front could make out of its own share
    lent: int = 0  # shares that were lent at the end
    refuted: int = 0
    crashes: int = 0


class Simulation(World):
    """Runs one schedule. `make` creates a front's Fleet, so that a variant without a guard can be run too."""

    def __init__(self, plan: Schedule, make: Callable[..., Fleet] = Fleet) -> None:
        super().__init__(plan.seed)
        self.plan, self.make, self.stats = plan, make, RunStats()
        self.links = LinkModel(plan.loss, plan.double, plan.slow, 30_000, plan.late)
        self.cut: set[tuple[int, int]] = set()  # (sender, receiver) pairs that are partitioned
        self.nodes = [
            Node(n, 1 + plan.drift * self.rng.uniform(-1, 1), self.rng.randrange(HOUR), 9 * HOUR)
            for n in range(plan.fronts)
        ]
        for node in self.nodes[: plan.rogues]:
            node.rogue = True
        # (front, incarnation): every (server, rate) that the front sent
        self.sent: dict[tuple[int, int], set[tuple[int, float]]] = {}
        # (receiver and its start, front, server): the latest (incarnation, stamp) that it held
        self.newest: dict[tuple[int, int, int], tuple[int, int]] = {}
        self.pause_ends: dict[int, int] = {}  # by front

    def clock(self, node: Node) -> int:
        return node.clock_offset + round(self.now * node.clock_rate)

    def is_partitioned(self, sender: int, receiver: int) -> bool:
        return (sender, receiver) in self.cut

    def fail(self, violation: str) -> None:
        raise BoundBrokenError(f"seed {self.plan.seed}: {violation} at {self.now} us")

    def run(self) -> RunStats:
        """Runs the schedule. Raises BoundBrokenError."""
        plan, end = self.plan, self.plan.seconds * SECOND
        for node in self.nodes:
            self.schedule_after(0, SECOND, lambda node=node: self._start(node))  # type: ignore[misc]
        for count, fault in ((plan.crashes, self._crash), (plan.cuts, self._cut), (plan.pauses, self._pause)):
            for _ in range(count):
                self.schedule_after(2 * SECOND, end * 3 // 4, fault)
        self.run_until(end)
        self.faults_enabled = False
        self.cut.clear()
        for node in self.nodes:
            node.paused_until = 0
        self.run_until(end + plan.late)
        self._check_settled()
        return self.stats

    def _settling_time(self) -> int:
        """Long enough that every front has pinged all others and suspicions have ended."""
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
            wall=INCARNATION_EPOCH_US + node.wall_clock - node.clock_offset,
        )  # fmt: skip

    def _start(self, node: Node) -> None:
        if node.fleet is not None:
            return
        node.starts += 1
        now = self.clock(node)
        fleet = node.fleet = self.make(self._facts(node), now, TERMS, GROUPS)
        node.rates = {}
        node.waiting = []
        self._run_script(node, fleet.gossip(lambda server: None, lambda owner: self._rates(node, owner)))
        start = node.starts
        self.schedule_after(0, PERIOD, lambda: self._turn(node, start, 0))

    def _group(self, server: int) -> int:
        return server % GROUPS

    def _rates(self, node: Node, owner: int) -> list[words.ServerRate]:
        assert node.fleet is not None and node.rates is not None
        return [
            words.ServerRate(server, rate_kb)
            for server, rate_kb in node.rates.items()
            if rate_kb and owner in node.fleet.other_owners(self._group(server))
        ]

    def _turn(self, node: Node, start: int, turn: int) -> None:
        """What a front does in each period: changes a rate, reports outcomes, lends shares, sends queries."""
        if node.fleet is None or node.starts != start:
            return
        if self.now >= node.paused_until:
            fleet, rng = node.fleet, self.rng
            fleet.now = self.clock(node)
            assert node.rates is not None
            server = rng.choice(SERVERS)
            if self.faults_enabled:
                node.rates[server] = 4.0 * rng.randrange(0, 50)
                fails = server == FAILING_SERVER
                outcomes = words.SetupOutcomes(2, 0) if fails else words.SetupOutcomes(0, 2)
                rate = words.ServerRate(server, node.rates[server], outcomes=outcomes)
                if node.rogue:
                    rate = replace(
                        rate, rate_kb=4.0 * rng.randrange(30_000), outcomes=words.SetupOutcomes(15, 0)
                    )
                    node.rates[server] = rate.rate_kb
                self._run_script(node, fleet.send_changes([(self._group(server), rate)]))
            self._run_script(node, fleet.refresh(turn, 4, lambda owner: self._rates(node, owner)))
            self._run_script(node, fleet.lend_shares(range(GROUPS)))
            for server in (rng.choice([1, 3]), 2):  # one of each group
                self._run_script(node, self._request_grant(node, server))
            if node.rogue and self.faults_enabled:
                self._send_invalid(node)
        self.schedule_at(
            self.now + round(PERIOD * node.clock_rate), lambda: self._turn(node, start, turn + 1)
        )

    def _send_invalid(self, node: Node) -> None:
        """Sends well-formed false messages: all others are suspect, some in an impossible incarnation, and
        all servers fail."""
        assert node.fleet is not None
        receiver = self.rng.choice([n for n in range(self.plan.fronts) if n != node.number])
        incarnation = node.fleet.presence.incarnation
        rows = tuple(
            words.MemberRow(n, self.rng.choice([1, 2**32 - 1, self._incarnation(n)]), 255, node.number)
            for n in range(self.plan.fronts)
            if n != node.number
        )
        observations = tuple((server, words.SetupOutcomes(15, 0)) for server in SERVERS)
        for message in (
            words.Ping(1, incarnation, 0, rows[: words.MAX_MEMBER_ROWS]),
            words.BootstrapReply(incarnation, (), observations),
        ):
            self._send(node, receiver, words.pack(message)[0])

    def _incarnation(self, number: int) -> int:
        fleet = self.nodes[number].fleet
        return fleet.presence.incarnation if fleet is not None else 1

    def _request_grant(self, node: Node, server: int) -> Script:
        """Queries the owners for a grant to send to a server; counts when its own share would allow it."""
        fleet, group = node.fleet, self._group(server)
        assert fleet is not None
        if fleet.shares.may_use_own(fleet.now, group):
            self.stats.own += 1
        yield from fleet.query(
            [group], lambda number: words.HoldersQuery(number, server, 1, 0), fleet.now + ACK_TIMEOUT
        )

    def _run_script(self, node: Node, script: Script, value: Any = None) -> None:
        """Runs a script until it waits for a message or ends."""
        assert node.waiting is not None and node.fleet is not None
        while True:
            try:
                action = script.send(value)
            except StopIteration:
                return
            value = None
            match action:
                case act.SendPeerMessage(peer, payload):
                    others = [n for n in range(self.plan.fronts) if n != node.number]
                    for receiver in others if peer is None else [peer]:
                        self._send(node, receiver, payload)
                case act.WaitForPeerMessage(until):
                    node.waiting.append((script, until))
                    if until is not None:
                        self._schedule_wake(node, until)
                    return

    def _schedule_wake(self, node: Node, until: int) -> None:
        start, remaining = node.starts, max(until - self.clock(node), 0)
        self.schedule_at(self.now + round(remaining / node.clock_rate) + 1, lambda: self._wake(node, start))

    def _wake(self, node: Node, start: int) -> None:
        if node.fleet is None or node.starts != start:
            return
        if self.now < node.paused_until:
            self.schedule_at(node.paused_until, lambda: self._wake(node, start))
            return
        now = node.fleet.now = self.clock(node)
        assert node.waiting is not None
        due = [entry for entry in node.waiting if entry[1] is not None and entry[1] <= now]
        node.waiting = [entry for entry in node.waiting if entry not in due]
        for script, _ in due:
            self._run_script(node, script)

    def _send(self, node: Node, receiver: int, payload: bytes) -> None:
        self.stats.messages += 1
        message = words.unpack(payload)
        if isinstance(message, words.RateUpdate):
            sent = self.sent.setdefault((node.number, message.incarnation), set())
            sent.update((rate.server, rate.rate_kb) for rate in message.rates)
        self.transmit(node.number, receiver, self.links, lambda: self._arrive(node.number, receiver, payload))

    def _arrive(self, sender: int, receiver: int, payload: bytes) -> None:
        node = self.nodes[receiver]
        if node.fleet is None:
            return
        if self.now < node.paused_until:
            self.schedule_at(node.paused_until, lambda: self._arrive(sender, receiver, payload))
            return
        fleet, message = node.fleet, words.unpack(payload)
        fleet.now = self.clock(node)
        fleet.receive(sender, message)
        match message:
            case words.QueryReply():
                fleet.match_reply(sender, message)
            case words.HoldersQuery(number, server):
                group = self._group(server)
                if receiver in fleet.owners(group):
                    granted = fleet.shares.grant(fleet.now, group, server, SLOT_US, BURST)
                    self.stats.grants += granted
                    status = fleet.status_for(
                        sender, server, 0.0, fleet.counts.likely(server), False, granted
                    )
                    self._run_script(node, fleet.reply(sender, number, [status], False))
        assert node.waiting is not None
        scripts, node.waiting = node.waiting, []
        for script, _ in scripts:
            self._run_script(node, script)

    # Faults

    def _random_node(self) -> Node:
        return self.nodes[self.rng.randrange(len(self.nodes))]

    def _crash(self) -> None:
        node = self._random_node()
        if node.fleet is None or not self.faults_enabled:
            return
        node.fleet, node.rates, node.waiting = None, None, None
        node.starts += 1
        self.stats.crashes += 1
        if self.rng.random() < self.plan.wall_steps:
            node.wall_clock += self.rng.choice([-HOUR, HOUR])
        self.schedule_after(100_000, self.plan.max_downtime, lambda: self._start(node))

    def _cut(self) -> None:
        """Partitions some fronts from the others for a while, in one direction or both."""
        numbers = range(self.plan.fronts)
        side = {n for n in numbers if self.rng.random() < 0.35}
        one_way, inbound = self.rng.random() < 0.4, self.rng.random() < 0.5
        from_side = {(a, b) for a in side for b in numbers if b not in side}
        to_side = {(b, a) for a, b in from_side}
        cut = (to_side if inbound else from_side) if one_way else from_side | to_side
        self.cut |= cut
        self.schedule_after(SECOND, 8 * SECOND, lambda: self.cut.difference_update(cut))

    def _pause(self) -> None:
        self._random_node().paused_until = self.now + self.rng.randint(200_000, 5 * SECOND)

    # Checks

    def check_invariants(self) -> None:
        self.stats.steps = self.steps
        if self.steps % 16:
            return
        up = [node for node in self.nodes if node.fleet is not None]
        for group in range(GROUPS):
            for node in up:
                self._check_single_holder(node, group, up)
        for node in up:
            self._check_registers(node)
            self._check_condemnations(node)

    def _check_single_holder(self, lender: Node, group: int, up: list[Node]) -> None:
        """At most one front may use the lender's share."""
        assert lender.fleet is not None
        # A paused front uses nothing; on resuming it decides by its clock of that time
        holders = [lender.number] if lender.fleet.shares.may_use_own(self.clock(lender), group) else []
        for borrower in up:
            if borrower is lender or borrower.fleet is None:
                continue
            if lender.number in borrower.fleet.shares.lenders_of(self.clock(borrower), group):
                holders.append(borrower.number)
        if len(holders) > 1:
            self.fail(f"front {lender.number}'s share of group {group} is usable by fronts {holders}")

    def _check_registers(self, node: Node) -> None:
        """Registers never go back to an older stamp, and hold only what their front sent."""
        assert node.fleet is not None
        for front, origin in node.fleet.counts.origins.items():
            for server, cell in origin.cells.items():
                key, version = (
                    (node.number * 1000 + node.starts, front, server),
                    (origin.incarnation, cell.stamp),
                )
                if version < self.newest.get(key, version):
                    self.fail(
                        f"front {node.number} went back to an older rate of front {front} at server {server}"
                    )
                self.newest[key] = version
                if (server, cell.amount) not in self.sent.get((front, origin.incarnation), set()):
                    self.fail(
                        f"front {node.number} holds a rate at server {server} that front {front} never sent"
                    )

    def _check_condemnations(self, node: Node) -> None:
        """The reports of one rogue front must not condemn a server that works."""
        fleet = node.fleet
        for server in SERVERS:
            if fleet is None or server == FAILING_SERVER or node.rogue:
                continue
            summary = fleet.evidence.summary(fleet.now, server, node.number)
            if summary.is_bad(2):
                self.fail(f"front {node.number} condemns server {server} by {summary}")

    def _check_settled(self) -> None:
        """Checks the state after a quiet time without faults."""
        for node in self.nodes:
            if node.fleet is None:
                self._start(node)
        self.run_until(self.now + self._settling_time())
        for node in self.nodes:
            fleet = node.fleet
            assert fleet is not None
            not_alive = [
                n for n in range(self.plan.fronts) if fleet.presence.state_of(n) is not FrontState.ALIVE
            ]
            if not_alive:
                self.fail(f"front {node.number} takes fronts {not_alive} for suspect or dead after quiet")
            if self.plan.fronts > 1 and fleet.presence.connectivity(fleet.now) is not Connectivity.FULL:
                self.fail(
                    f"front {node.number} has connectivity {fleet.presence.connectivity(fleet.now).value} "
                    "after quiet"
                )
        for group in range(GROUPS):
            for owner in {front for node in self.nodes if node.fleet for front in node.fleet.owners(group)}:
                self._check_sums(self.nodes[owner], group)
        self._check_lent()

    def _check_sums(self, owner: Node, group: int) -> None:
        """An owner is synced, and its sums are the rates that all others request."""
        fleet = owner.fleet
        assert fleet is not None
        if not fleet.is_synced(group):
            self.fail(f"owner {owner.number} of group {group} is not synced after quiet")
        for server in SERVERS:
            if self._group(server) != group:
                continue
            actual = sum((node.rates or {}).get(server, 0.0) for node in self.nodes if node is not owner)
            bounds = fleet.counts.bounds(fleet.now, server, HOUR)
            if not bounds.least <= actual <= bounds.most or abs(bounds.likely - actual) > 0.5:
                self.fail(
                    f"owner {owner.number} has {bounds} of server {server}, {actual:g} kB/s are requested"
                )

    def _check_lent(self) -> None:
        """Nine in ten of the shares of fronts that do not own a group are lent to its owners."""
        for group in range(GROUPS):
            owners = self.nodes[0].fleet.owners(group) if self.nodes[0].fleet else ()
            lent: set[int] = set()
            for owner in owners:
                fleet = self.nodes[owner].fleet
                lent |= fleet.shares.lenders_of(fleet.now, group) if fleet is not None else set()
            self.stats.lent += len(lent)
            others = self.plan.fronts - len(owners)
            if len(lent - set(owners)) < 0.9 * others and self.plan.drift <= 0.01:
                self.fail(f"{len(lent)} of {others} shares of group {group} are lent after quiet")


def drawn(seed: int) -> Schedule:
    """A random schedule."""
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
    """Runs schedules until one fails; returns how many ran, and what failed."""
    return find_failing_seed(first, count, lambda seed: Simulation(shape(seed), make).run(), BoundBrokenError)


def shrunk(plan: Schedule, make: Callable[..., Fleet] = Fleet) -> Schedule:
    """The smallest form of a failing schedule that still fails."""
    names = ("crashes", "cuts", "pauses", "rogues", "fronts", "seconds", "loss", "double", "slow")
    minimums = {"fronts": 3, "seconds": 4}
    return minimise_schedule(
        plan, names, minimums, lambda candidate: Simulation(candidate, make).run(), BoundBrokenError
    )
