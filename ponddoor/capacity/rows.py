"""What the page shows, in one place: which record fills a row, at which size of the target, under which limit
and which module carries it. A new record fills its row with no code changed elsewhere.

docs/capacity/NAMES.md says what each record means."""

from dataclasses import dataclass

from ponddoor.capacity.targets import SECOND, Target

FOLLOWER = "ponddoor/front/follower.py"
PRESENCE, FLEET, DECIDE = "ponddoor/fleet/presence.py", "ponddoor/fleet/view.py", "ponddoor/decide.py"
VIEWERS, SERVERS = "ponddoor/front/viewers.py", "ponddoor/front/servers.py"
COMING, COUNTS = "ponddoor/front/reconnect.py", "ponddoor/fleet/counts.py"
RAFT, API = "ponddoor/raft/core.py", "ponddoor/config/api.py"
CONDITIONS = ("calm", "loss-10", "roll", "zone-dead", "arrivals", "rude")
LOST = ("one", "rack", "zone", "apart-60", "apart-3600", "replaced")
PLAYED = ("calm", "loss-10", "roll", "zone-dead")  # scale runs
PLACES = ("machine", "rack", "zone", "region")
CHANGES = ("calm", "loss-10", "instance-killed", "zone-cut", "fast", "all-at-once")
ARRIVALS = "arrivals a second and front"
KINDS = (
    "changes", "all", "ours", "holders", "answer", "begun", "lending", "ping", "ack", "via", "ask-news",
    "news", "brief", "saw",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Limit:
    """The most that a need may be, in the unit of its record; `stated` by the operators, or else ours."""

    name: str
    most: float
    unit: str
    stated: bool


@dataclass(frozen=True, slots=True)
class Row:
    """One need of a role. `times` names an amount that the figure is multiplied by, with the unit that
    results; `at` the amount of the target whose size counts where it is not that of `of`. No `module`:
    nothing carries it; `since`: what does now, where this row shows how it was before."""

    need: str
    what: str
    under: str
    of: str
    unit: str
    module: str
    limit: str = ""
    at: str = ""
    times: str = ""
    total: str = ""
    since: str = ""


@dataclass(frozen=True, slots=True)
class Role:
    """A part of the fleet: what it keeps, what it hears and says, and its needs."""

    mark: str
    title: str
    state: str
    messages: str
    rows: tuple[Row, ...]


def limits(target: Target) -> dict[str, Limit]:
    """All limits by name."""
    late = target.delivery_within / SECOND
    made = (
        Limit("control-core", target.control_core, "core", True),
        Limit("control-memory", target.control_memory, "B", True),
        Limit("control-bytes", target.control_bytes, "B/s", True),
        Limit("in-force", target.change_within / SECOND, "s", True),
        Limit("delivery", late, "s", True),
        # A stretch of the loop holds up every delivery of its front: longer ones break the same promise.
        Limit("stretch", late, "s", True),
        Limit("fill", target.fill, "core", False),
        Limit("instance", target.instance_core, "core", False),
        Limit("memory", target.machine_memory, "B", False),
    )
    return {limit.name: limit for limit in made}


def amounts(target: Target) -> dict[str, tuple[float, ...]]:
    """The sizes of the target by the name of what is counted; two where the operators did not tell."""
    return {
        "fronts": (target.fronts,),
        "servers": target.servers,
        "sessions": (target.sessions,),
        "connections": (target.sessions,),
        "titles": (target.shards,),
        "holders": tuple(target.holders(servers) for servers in target.servers),
        "listeners": (target.listeners / target.fronts,),
        "delivered": (target.delivered,),
        ARRIVALS: tuple(target.sessions * SECOND / stay for stay in target.stays),
    }


def _control() -> tuple[Row, ...]:
    shown = (
        ("words sent", "control.words", "1/s", ""),
        ("bytes sent", "control.bytes", "B/s", "control-bytes"),
        ("processor", "control.cpu", "core", "control-core"),
        ("memory", "control.memory", "B", "control-memory"),
    )
    words = tuple(
        Row(need, what, under, "fronts", unit, FLEET, limit)
        for need, what, unit, limit in shown
        for under in CONDITIONS
    )
    follows = (
        ("bytes for the configuration", "config.bytes.with-headers", "B/s", "control-bytes"),
        ("processor for the configuration", "config.cpu", "core", "control-core"),
    )
    config = tuple(
        Row(need, what, under, "fronts", unit, FOLLOWER, limit)
        for need, what, unit, limit in follows
        for under in CHANGES
    )
    arriving = tuple(
        Row(f"{need}, by arrivals", what, "arrivals-50", ARRIVALS, unit, FLEET, limit)
        for need, what, unit, limit in shown[:3]
    )
    return (*words, *arriving, Row("`Begun` heard", "begun.words", "roll", "fronts", "1/s", FLEET), *config)


def _decisions() -> tuple[Row, ...]:
    over = ("titles", "holders", "servers", "sessions")
    return (
        *(Row("one request decided", "decide.cpu", "request", of, "s", DECIDE) for of in over),
        *(Row("memory of the decisions", "decide.memory", "held", of, "B", DECIDE, "memory") for of in over),
    )


ROLES = (
    Role(
        "front-control",
        "Front, control",
        "how each other front stands, counts and evidence by origin, parts lent; the configuration in force",
        "pings and answers, tellings to keepers, questions to them; the configuration's watch",
        _control(),
    ),
    Role(
        "front-data",
        "Front, data",
        "its sessions and their terms, requests in hand, repeats; links and racks of all servers",
        "requests of viewers, SETUPs, probes and signs of life to each server",
        (
            Row("longest stretch, all resized", "resize.stretch", "all", "sessions", "s", DECIDE, "stretch"),
            Row("memory of the sessions", "resize.memory", "all", "sessions", "B", DECIDE, "memory"),
            Row("longest stretch, one title resized", "title.stretch", "one-title", "sessions", "s", DECIDE,
                "stretch", at="listeners"),
            *_decisions(),
            Row("memory, idle viewers", "viewers.memory", "idle", "connections", "B", VIEWERS, "memory"),
            Row("memory, viewers served", "viewers.memory", "delivering", "connections", "B", VIEWERS,
                "memory"),
            Row("processor, idle viewers", "viewers.cpu", "idle", "connections", "core", VIEWERS, "fill"),
            Row("processor, deliveries", "delivery.cpu", "delivering", "connections", "s", VIEWERS, "fill",
                times="delivered", total="core"),
            Row("99 in 100 deliveries within", "delivery.p99", "delivering", "connections", "s", VIEWERS,
                "delivery"),
            Row("connections to servers", "front.connections", "held", "servers", "1", SERVERS),
            Row("handshakes", "front.handshakes", "held", "servers", "1/s", SERVERS),
            Row("probes", "front.probes", "held", "servers", "1/s", SERVERS),
            Row("signs of life asked for", "front.signs", "held", "servers", "1/s", SERVERS),
        ),
    ),
    Role(
        "keeper",
        "Keeper (a front that keeps parts of the account)",
        "the registers of every front that tells it, for each part that it keeps",
        "tellings and questions in, answers out",
        tuple(
            Row(need, what, under, of, unit, COUNTS, limit)
            for need, what, unit, limit in (
                ("words taken", "keeper.fan-in", "1/s", ""),
                ("bytes taken", "keeper.bytes", "B/s", "control-bytes"),
                ("processor", "keeper.cpu", "core", "control-core"),
            )
            for under, of in (
                ("calm", "fronts"), ("arrivals", "fronts"), ("roll", "fronts"), ("arrivals-50", ARRIVALS),
            )
        ),
    ),
    Role(
        "scale",
        "The scale run: real and hollow fronts on sockets, few viewers",
        "as of a front and its keeper",
        "the same, over real UDP",
        (
            *(Row(need, what, under, "fronts", unit, FLEET, limit)
              for need, what, unit, limit in (
                  ("words sent", "scale.words", "1/s", ""),
                  ("bytes sent", "scale.bytes", "B/s", "control-bytes"),
                  ("bytes sent by the busiest", "scale.keeper.bytes.out", "B/s", "control-bytes"),
                  ("words taken by the busiest", "scale.keeper.fan-in", "1/s", ""),
                  ("bytes taken by the busiest", "scale.keeper.bytes", "B/s", "control-bytes"),
                  ("processor of a real front, all it does", "scale.cpu.real", "core", ""),
                  ("processor of a hollow front, all it does", "scale.cpu.hollow", "core", ""),
              )
              for under in PLAYED),
            *(Row(f"{need} {part} of pairs", f"scale.know.{name}.{mark}", under, "fronts", "s", PRESENCE)
              for name, need in (("dead", "dead known by"), ("alive", "alive again known by"))
              for mark, part in (("half", "50%"), ("p99", "99%"))
              for under in PLACES),
        ),
    ),
    Role(
        "instance",
        "Instance of the configuration, and what follows it",
        "the log since the last snapshot, the forms of the site file by key, clients' sessions",
        "appends among five, changes from clients, a watch for each front that follows it",
        (
            *(Row("changes committed", "config.changes", under, "fronts", "1/s", RAFT)
              for under in ("calm", "fast")),
            *(Row(need, f"config.instance-{what}", under, "fronts", unit, API, limit)
              for need, what, unit, limit in (
                  ("processor of the busiest", "cpu", "core", "instance"),
                  ("memory of the largest", "memory", "B", ""),
                  ("bytes of the busiest", "bytes", "B/s", ""),
              )
              for under in CHANGES),
            *(Row("in force everywhere after", "config.in-force.all", under, "fronts", "s", FOLLOWER,
                  "in-force")
              for under in CHANGES),
            Row("fronts that ever have a change in force, as they were", "config.in-force", "no-follow",
                "fronts", "fronts", "", since=FOLLOWER),
            *(Row("99.9% have it after", "config.in-force.p999", under, "fronts", "s", FOLLOWER, "in-force")
              for under in CHANGES),
            *(Row("most a second over the mean", "config.herd", under, "fronts", "times", FOLLOWER)
              for under in ("zone-cut", "instance-killed")),
        ),
    ),
    Role(
        "list",
        "The list, as we load it",
        "a watch for each front",
        "events to each watcher; tries of fronts that come back",
        (
            Row("watchers", "list.watchers", "calm", "fronts", "1", COMING),
            Row("events written", "list.events", "roll", "fronts", "1/s", COMING),
            Row("bytes written", "list.bytes", "roll", "fronts", "B/s", COMING),
            *(Row("most tries in a second", "list.peak", under, "fronts", "1/s", COMING)
              for under in ("outage", "break", "start")),
            Row("99% have it again after", "list.return", "outage", "fronts", "s", COMING),
        ),
    ),
    Role(
        "server",
        "A media server, as we load it",
        "a connection or more of each front, its sessions",
        "SETUPs, handshakes, probes, signs of life",
        tuple(
            Row(need, what, "held", "fronts", unit, SERVERS)
            for need, what, unit in (
                ("connections", "server.connections", "1"),
                ("handshakes", "server.handshakes", "1/s"),
                ("probes", "server.probes", "1/s"),
                ("signs of life", "server.signs", "1/s"),
            )
        ),
    ),
    Role(
        "know",
        "Time for the fleet to know",
        "as of the front's control",
        "pings and suspicions",
        (
            *(Row(f"{need} {part} of pairs", f"know.{name}.{mark}", under, "fronts", "s", PRESENCE)
              for name, need in (("dead", "dead known by"), ("alive", "alive again known by"))
              for mark, part in (("half", "50%"), ("p99", "99%"))
              for under in LOST),
            *(Row("pairs wrongly dead at most", "know.wrong", under, "fronts", "pairs", PRESENCE)
              for under in LOST),
        ),
    ),
)  # fmt: skip
FRONT_NODE = ("control-core", "control-memory", "control-bytes")  # limits of all processes of a node
