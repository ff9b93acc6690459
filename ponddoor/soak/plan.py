"""What one soak run plays, drawn from a seed and kept as JSON, so that a run can be played again."""

from pathlib import Path
from random import Random
from typing import Any, Literal

import msgspec

from ponddoor.soak.conditions import CONNECTIONS, LOSSES, PROCESSES, SOUND, SPEECHES, Condition

MIN_KILL_DEADLINE_S = 0.7  # the protocol page: SIGKILL comes the longest deadline and this after SIGTERM
MAX_KILL_DEADLINE_S = 3.0  # a longer deadline is counted as this
MAX_PROCESSES = 48
MAX_SERVERS_OF_ONE_PROCESS = 12_800  # of a plan with racks
MAX_SECONDS = 120.0
SERVERS_OF_A_RACK = 5
SHORT_SESSIONS_S, LONG_SESSIONS_S = (0.1, 3.0), (0.1, 12.0)
MIDDLE_SESSIONS_S = (2.0, 9.0)
UNSEEN_LOSSES = ("releases", "all_but_answers")  # beside set-ups that are answered
UNSEEN_LOSS_S = 1.0
DOWN_S = (0.2, 1.5)  # of a node in a restart
CORE_SHARES = (0.1, 0.25, 0.25, 0.5, 1.0)
STALLS_S = (0.0, 0.5, 1.7)  # "stand still for 1,300 to 2,000 ms", of nodes with half of a core or more
OVERLOAD_SETUPS_PER_S = (25.0, 50.0, 90.0)
BURST_SETUPS = 300  # "hundreds of requests at once" (DAYS.md)
OVERLOAD_STREAMS = 47  # of a server: cold, it takes so few set-ups that requests wait for it

FaultKind = Literal[
    "terminate",  # SIGTERM, then SIGKILL at the earliest moment that the page allows, then a new process
    "terminate_in_stall",  # likewise, with the process stopped from before SIGTERM on, for some time
    "kill",  # SIGKILL, then a new process
    "reload",  # SIGHUP, twice in a row, with another address of discovery
    "reload_in_drain",  # SIGTERM, then SIGHUP and a second SIGTERM
    "pause",  # SIGSTOP, then SIGCONT
    "starve",  # busy processes beside the nodes
    "server_hangs",  # takes set-ups and answers nothing
    "server_silent",  # reads nothing and says nothing
    "server_dies",  # refuses connections, resets those that are open; comes back as a new server
    "server_drains",  # is told to drain, then comes back
    "server_errors",
    "server_full",
    "server_drops_connections",  # resets the open ones, with set-ups out
    "server_spoils",  # sends lines that can't be read, second answers, answers under unknown ids
    "discovery_refuses",
    "discovery_hangs",  # takes connections and says nothing
    "discovery_slow",
    "discovery_flaps",  # comes back for a moment
    "client_resets",  # resets connections under set-ups
    "client_leaves",  # gives set-ups up early
    "client_crowd",  # opens many connections that say nothing
    "client_garbage",
    "client_pieces",  # writes messages in pieces
    "release_crossings",  # ends the connection in the instant in which its session is released
    "list_changes",  # five events a second, of twenty rows each
    "list_halves",  # events that each change half of all servers
    "list_wholes",  # the whole list anew each second
    "servers_replaced",  # one server in ten goes, and a new one takes its place, in steps
    "servers_reset",  # a quarter of the servers resets whatever connects
    "links_hold",  # between viewers and a node: nothing is delivered; then all is, or the link is reset
    "links_hold_to_viewers",
    "links_hold_to_nodes",
    "links_drop_to_viewers",  # what the node writes is lost, until the link is reset
    "all_links_drop_to_viewers",  # likewise, on every link of now
    "links_delay",  # each delivery is late
]
LINK_KINDS: tuple[FaultKind, ...] = (
    "links_hold",
    "links_hold",
    "links_hold_to_viewers",
    "links_hold_to_nodes",
    "links_drop_to_viewers",
    "all_links_drop_to_viewers",
    "links_delay",
)
MAX_LINK_FAULTS = 4
LINK_SEEDS = 7_000_000  # added to a plan's seed: its other faults are drawn as without these
MANY_SERVERS_KINDS = ("list_changes", "list_halves", "list_wholes", "servers_replaced", "servers_reset")
OVERLOAD_FAULTS: tuple[FaultKind, ...] = (
    "terminate",
    "terminate_in_stall",
    "kill",
    "pause",
    "starve",
    "server_hangs",
    "server_errors",
    "server_drops_connections",
    "client_resets",
    "client_leaves",
    "client_crowd",
    "client_pieces",
)
FAULT_KINDS: tuple[str, ...] = tuple(
    kind
    for kind in FaultKind.__args__  # type: ignore[attr-defined]
    if kind not in (*MANY_SERVERS_KINDS, *LINK_KINDS, "terminate_in_stall")
)  # fmt: skip


class ServiceClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests as the settings name it."""

    name: str
    deadline_ms: float
    semantics: Literal["repeatable", "once"]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault. Times in seconds of the run; `target` is taken modulo the number of nodes or servers."""

    kind: FaultKind
    at: float
    seconds: float
    target: int


class ServerFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A server is in some condition towards one node, or with `node` -1 towards all. Times in seconds."""

    condition: Condition
    at: float
    seconds: float
    target: int
    node: int = -1


class ServerLinks(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the connections to servers: the share that has one, and the share among those that open after
    a connection with one."""

    share: float
    in_a_row: float


class Overload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node that is asked for more than its share of a core can work off."""

    node: int
    core_share: float  # of its process; 1: all of a core
    setups_per_s: float  # of its usual viewers
    burst: int  # set-ups that a bad client writes at once and takes back together; 0: no such client
    stall_s: float = 0.0  # for so long the process stands still, again and again; 0: never


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole run."""

    seed: int
    seconds: float
    nodes: int
    servers: int
    connections: int  # of viewers to each node
    interval_ms: float  # mean time between two set-ups on a connection
    viewers_acknowledge: bool
    servers_acknowledge: bool
    drain_grace_ms: float
    sockets: int
    classes: tuple[ServiceClass, ...]
    faults: tuple[Fault, ...]
    kind: str = "mixed"  # of the draw
    racks: int = 0  # of servers that one process stands in for, two to a title; 0: each server holds all
    server_faults: tuple[ServerFault, ...] = ()
    session_s: tuple[float, float] = SHORT_SESSIONS_S  # how long a session stands
    reports: Literal["inline", "on_probe"] = "inline"  # on_probe: nodes probe from their start on
    down_s: float = 0.0  # from the end of a node's process to the start of the next
    streams: int = 300  # that a server can carry
    overload: Overload | None = None
    server_links: ServerLinks | None = None

    @property
    def kill_delay_s(self) -> float:
        """From SIGTERM to the earliest SIGKILL that the protocol page allows."""
        longest = max(one.deadline_ms for one in self.classes) / 1000
        return min(longest, MAX_KILL_DEADLINE_S) + MIN_KILL_DEADLINE_S


class PlanError(Exception):
    """A plan that can't be played; the text is one line."""


def draw(seed: int, seconds: float = 20.0, nodes: int = 0) -> Plan:
    """The plan of a seed. With `nodes` 0 their number is drawn too."""
    rng = Random(seed)
    drawn_nodes = rng.randint(3, 8)
    count = nodes or drawn_nodes
    servers = rng.randint(3, 8)
    classes = tuple(
        ServiceClass(
            f"{rng.choice(('gold', 'fern', 'relay', 'x-9'))}-{number}",
            rng.choice((300.0, 600.0, 1000.0, 2000.0, 3000.0, 5000.0)),
            rng.choice(("repeatable", "repeatable", "once")),
        )
        for number in range(rng.randint(1, 3))
    )
    faults = [_fault(rng, seconds) for _ in range(rng.randint(6, 14))]
    # Signals come in series: a second and a third shutdown overlap the first
    series_at, first = rng.uniform(0.25, 0.5) * seconds, rng.randrange(count)
    series = rng.choice(("terminate", "terminate", "reload_in_drain", "kill"))
    faults += [
        Fault(series, round(series_at + 0.4 * number, 3), 1.0, first + number)  # type: ignore[arg-type]
        for number in range(min(3, count))
    ]
    if rng.random() < 0.35:
        faults.append(Fault("client_crowd", round(series_at, 3), 3.0, first))
    drawn = Plan(
        seed=seed,
        seconds=seconds,
        nodes=count,
        servers=servers,
        connections=rng.randint(2, 6),
        interval_ms=rng.uniform(60, 250),
        viewers_acknowledge=rng.random() < 0.8,
        servers_acknowledge=rng.random() < 0.5,
        drain_grace_ms=rng.choice((300.0, 500.0, 1000.0)),
        sockets=rng.choice((256, 512)),
        classes=classes,
        faults=tuple(sorted(faults, key=lambda one: one.at)),
    )
    return with_link_faults(drawn)


def with_link_faults(plan: Plan) -> Plan:
    """The plan with faults of the links between viewers and nodes, behind its other ones."""
    rng = Random(plan.seed + LINK_SEEDS)
    faults = tuple(
        Fault(
            rng.choice(LINK_KINDS),
            round(rng.uniform(0.05, 0.7) * plan.seconds, 3),
            round(rng.choice((rng.uniform(0.2, 1.5), rng.uniform(1.0, 6.0))), 3),
            rng.randrange(1000),
        )
        for _ in range(rng.randint(1, MAX_LINK_FAULTS))
    )
    return msgspec.structs.replace(plan, faults=(*plan.faults, *faults))


def draw_shutdown(seed: int) -> Plan:
    """Two nodes that are terminated while their servers hang, are full, err or are well."""
    rng = Random(seed)
    deadline_ms = rng.choice((300.0, 600.0, 1000.0, 2000.0, 3000.0, 5000.0))
    seconds = min(deadline_ms / 1000, MAX_KILL_DEADLINE_S) + 2.5
    trouble: Any = rng.choice(("server_hangs", "server_full", "server_errors", "server_silent", None))
    struck = rng.randint(1, 2) if trouble is not None else 0
    faults = [Fault("terminate", 1.0, 1.0, 0), Fault("terminate", round(1.0 + rng.random(), 3), 1.0, 1)]
    faults += [Fault(trouble, 0.5, seconds, server) for server in range(struck)]
    if rng.random() < 0.3:
        faults.append(Fault("client_crowd", 1.2, 2.0, 0))
    drawn = Plan(
        seed, seconds, 2, 2, 6, 50.0, True, False, 500.0, 256,
        (ServiceClass("gold", deadline_ms, "repeatable"),), tuple(faults), "shutdown",
    )  # fmt: skip
    return with_link_faults(drawn)


def draw_crossings(seed: int, seconds: float) -> Plan:
    """Connections end in the instant in which their sessions are released."""
    faults = tuple(Fault("release_crossings", 0.0, seconds, node) for node in range(4))
    classes = (ServiceClass("gold", 3000.0, "repeatable"),)
    drawn = Plan(
        seed, seconds, 4, 3, 8, 50.0, bool(seed % 2), False, 500.0, 256, classes, faults, "crossings"
    )
    return with_link_faults(drawn)


def draw_links(seed: int, seconds: float, nodes: int = 0) -> Plan:
    """A handful of nodes whose viewers' links fail again and again, and little else."""
    rng = Random(seed)
    mixed = draw(seed, seconds, nodes or rng.randint(3, 5))
    others = rng.sample(mixed.faults, rng.randint(0, 3))
    struck = tuple(
        Fault(rng.choice(LINK_KINDS), round(begin * seconds, 3), round(rng.uniform(0.5, 6.0), 3), node)
        for node in range(mixed.nodes)
        for begin in (rng.uniform(0.05, 0.3), rng.uniform(0.3, 0.5), rng.uniform(0.5, 0.7))
    )
    return msgspec.structs.replace(
        mixed,
        kind="links",
        connections=rng.choice((2, 3, 8, 24)),
        interval_ms=rng.choice((100.0, 400.0, 1000.0)),
        faults=(*struck, *others),
        session_s=rng.choice((SHORT_SESSIONS_S, LONG_SESSIONS_S)),
    )


def draw_many_servers(seed: int, seconds: float, nodes: int = 0, servers: int = 0) -> Plan:
    """Hundreds or thousands of servers, changes of the list, and the faults of `draw` beside them."""
    rng = Random(seed)
    drawn_nodes, drawn_servers = rng.randint(3, 6), rng.choice((800, 1600, 3200))
    mixed = draw(seed, seconds, nodes or drawn_nodes)
    changes: Any = rng.sample(MANY_SERVERS_KINDS, rng.randint(2, 4))
    faults = [
        Fault(kind, round(rng.uniform(0.05, 0.4) * seconds, 3), round(rng.uniform(2.0, 0.6 * seconds), 3), 0)
        for kind in changes
    ]
    count = servers or drawn_servers
    return msgspec.structs.replace(
        mixed,
        servers=count,
        racks=max(count // SERVERS_OF_A_RACK, 1),
        sockets=672,
        faults=tuple(sorted((*mixed.faults, *faults), key=lambda one: one.at)),
        kind="many-servers",
    )


def draw_server_conditions(seed: int, seconds: float, nodes: int = 0) -> Plan:
    """Servers whose process, connections and speech fail each for itself, with the faults of `draw` beside
    them. Every second seed has no other fault of servers, so that sessions stay long enough at those."""
    rng = Random(seed)
    mixed = draw(seed, seconds, nodes or rng.randint(3, 5))
    faults = tuple(
        one for one in mixed.faults if seed % 2 or not one.kind.startswith(("server_", "pause", "starve"))
    )
    server_faults = tuple(_server_fault(rng, seconds) for _ in range(rng.randint(3, 8)))
    return msgspec.structs.replace(
        mixed,
        kind="server-conditions",
        servers=max(mixed.servers, 4),
        connections=max(mixed.connections, 4),
        faults=faults,
        server_faults=server_faults,
        session_s=rng.choice((SHORT_SESSIONS_S, SHORT_SESSIONS_S, LONG_SESSIONS_S)),
    )


def draw_restarts(seed: int, seconds: float, nodes: int = 0) -> Plan:
    """Every node is terminated or killed once or twice, with the faults of `draw` beside that."""
    rng = Random(seed)
    mixed = draw(seed, seconds, nodes or rng.randint(3, 5))
    ends: tuple[FaultKind, ...] = ("terminate", "kill")
    restarts = [
        Fault(rng.choice(ends), round(rng.uniform(begin, begin + 0.25) * seconds, 3), 1.0, node)
        for node in range(mixed.nodes)
        for begin in (0.1, 0.45)
        if rng.random() < 0.8
    ]
    return msgspec.structs.replace(
        mixed,
        kind="restarts",
        faults=tuple(sorted((*mixed.faults, *restarts), key=lambda one: one.at)),
        session_s=rng.choice((SHORT_SESSIONS_S, LONG_SESSIONS_S)),
        reports="on_probe",
        down_s=round(rng.uniform(*DOWN_S), 3),
    )


def draw_server_links(seed: int, seconds: float, nodes: int = 0) -> Plan:
    """Connections to servers that fail, often two in a row, and some of the faults of `draw` beside them."""
    rng = Random(seed)
    mixed = draw(seed, seconds, nodes or rng.randint(1, 4))
    others = [one for one in mixed.faults if not one.kind.startswith(("server_", "pause", "starve"))]
    return msgspec.structs.replace(
        mixed,
        kind="server-links",
        servers=4,
        interval_ms=rng.choice((200.0, 400.0, 800.0)),
        faults=tuple(rng.sample(others, min(len(others), rng.randint(0, 4)))),
        session_s=MIDDLE_SESSIONS_S,
        server_links=ServerLinks(rng.choice((0.07, 0.3, 0.6)), rng.choice((0.3, 0.8))),
    )


def overload(
    seed: int, seconds: float, load: Overload, faults: tuple[Fault, ...] = (), once: bool = False
) -> Plan:
    """Three nodes, of which one is overloaded, and three servers that die and are replaced by cold ones."""
    deaths = tuple(Fault("server_dies", round(seconds / 3, 3), 1.0, server) for server in range(3))
    classes: tuple[ServiceClass, ...] = (ServiceClass("gold", 3000.0, "repeatable"),)
    if once:
        classes = (*classes, ServiceClass("fern", 3000.0, "once"))
    return Plan(
        seed=seed,
        seconds=seconds,
        nodes=3,
        servers=3,
        connections=8,
        interval_ms=2000.0,
        viewers_acknowledge=True,
        servers_acknowledge=False,
        drain_grace_ms=500.0,
        sockets=256,
        classes=classes,
        faults=tuple(sorted((*deaths, *faults), key=lambda one: one.at)),
        kind="overload",
        session_s=LONG_SESSIONS_S,
        reports="on_probe",
        down_s=0.7,
        streams=OVERLOAD_STREAMS,
        overload=load,
    )


def draw_overload(seed: int, seconds: float) -> Plan:
    """An overloaded node; every second seed with faults of nodes and viewers beside that."""
    rng = Random(seed)
    core_share, setups_per_s = rng.choice(CORE_SHARES), rng.choice(OVERLOAD_SETUPS_PER_S)
    stall_s = rng.choice(STALLS_S) if core_share >= 0.5 else 0.0
    load = Overload(0, core_share, setups_per_s, rng.choice((0, BURST_SETUPS, BURST_SETUPS)), stall_s)
    once = rng.random() < 0.3
    faults = list[Fault]()
    if seed % 2 == 0:
        kinds: Any = rng.sample(OVERLOAD_FAULTS, rng.randint(2, 5))
        faults = [
            Fault(kind, round(rng.uniform(0.2, 0.7) * seconds, 3), 2.0, rng.choice((0, 0, 1)))
            for kind in kinds
        ]
    return with_link_faults(overload(seed, seconds, load, tuple(faults), once))


def _server_fault(rng: Random, seconds: float) -> ServerFault:
    drawn = SOUND
    while drawn == SOUND:
        process: Any = rng.choice(PROCESSES)
        connections: Any = rng.choice(CONNECTIONS)
        speech: Any = rng.choice(SPEECHES)
        after_s = round(rng.choice((0.0, 0.2, 1.0, 2.0, 4.0, 6.0)), 3)
        loss: Any = rng.choice(LOSSES)
        # Half of the losses come alone: nothing else at the server tells of them
        if rng.random() < 0.5:
            drawn = Condition(loss=loss)
        else:
            drawn = Condition(process, connections, speech, after_s)
    at = rng.uniform(0.05, 0.4) * seconds
    lasts = rng.choice((0.2, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 10.0, 10.0, 30.0))
    if drawn.loss in UNSEEN_LOSSES:
        lasts = min(lasts, UNSEEN_LOSS_S)
    node = rng.choice((-1, -1, rng.randrange(8)))
    return ServerFault(drawn, round(at, 3), min(lasts, seconds - at), rng.randrange(1000), node)


def _fault(rng: Random, seconds: float) -> Fault:
    kind: Any = rng.choice(FAULT_KINDS)
    at = rng.uniform(0.1, 0.75) * seconds
    return Fault(kind, round(at, 3), round(rng.uniform(0.3, 6.0), 3), rng.randrange(1000))


def load(path: Path) -> Plan:
    """A plan from a file. Raises PlanError."""
    try:
        plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {' '.join(str(error).split())[:200]}") from None
    check(plan, str(path))
    return plan


def check(plan: Plan, where: str) -> None:
    """Raises PlanError for what the machine can't bear or nobody could play."""
    if not 1 <= plan.nodes <= MAX_PROCESSES:
        raise PlanError(f"{where}: {plan.nodes} nodes; 1 to {MAX_PROCESSES} can be played")
    most_servers = MAX_SERVERS_OF_ONE_PROCESS if plan.racks else MAX_PROCESSES
    if not 1 <= plan.servers <= most_servers:
        raise PlanError(f"{where}: {plan.servers} servers; 1 to {most_servers} can be played")
    if plan.overload is not None and not 0.01 <= plan.overload.core_share <= 1:
        raise PlanError(
            f"{where}: a share of {plan.overload.core_share:g} of a core; 0.01 to 1 can be played"
        )
    if not 0 <= plan.racks <= plan.servers:
        raise PlanError(f"{where}: {plan.racks} racks; each has a server at least")
    if not 1 <= plan.seconds <= MAX_SECONDS:
        raise PlanError(f"{where}: {plan.seconds:g} seconds; 1 to {MAX_SECONDS:g} can be played")
    if not plan.classes or any(not 0 < one.deadline_ms <= 60_000 for one in plan.classes):
        raise PlanError(f"{where}: each run has a class, with a deadline up to 60 s")
    if not 1 <= plan.connections <= 64 or plan.interval_ms < 1 or plan.sockets < 64:
        raise PlanError(f"{where}: 1 to 64 connections, an interval of 1 ms, 64 descriptors at least")
