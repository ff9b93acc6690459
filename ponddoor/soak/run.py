"""Plays one plan: starts the processes and the stand-ins, strikes the faults, asks the oracle."""

import asyncio
import itertools
import json
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

import msgspec

from ponddoor.rehearse.run import free_ports
from ponddoor.soak.conditions import SOUND
from ponddoor.soak.discovery import ANY_HOST, ANY_NETWORK, FIRST_NETWORK, Discovery, Member, State
from ponddoor.soak.links import Trouble
from ponddoor.soak.oracle import Oracle
from ponddoor.soak.overload import send_bursts, set_rates, share_core, stand_still
from ponddoor.soak.plan import Fault, Plan, ServerFault
from ponddoor.soak.processes import NODE, NodeProcess
from ponddoor.soak.records import FOREVER, AnswerKind, NodeLife, Session, Violation
from ponddoor.soak.server_links import FaultDraw
from ponddoor.soak.servers import MediaServer, Mode, SharedListener
from ponddoor.soak.viewers import ViewerPool

LAG_SAMPLE_S = 0.01
SETTLE_S = 1.5  # after the last fault, until the judgement
BUSY_CODE = "import time\nend = time.monotonic() + {seconds}\nwhile time.monotonic() < end: pass"
BUSY_PROCESSES = 6
CHANGES_A_SECOND, ROWS_OF_A_CHANGE = 5, 20
REPLACED_STEPS = 5
MAX_STALL_S = 2.0
SERVER_MODES = {
    "server_hangs": Mode.HANGS,
    "server_silent": Mode.SILENT,
    "server_errors": Mode.ERRORS,
    "server_full": Mode.FULL,
    "server_spoils": Mode.SPOILS,
}
LINK_TROUBLES = {
    "links_hold": Trouble.HOLDS,
    "links_hold_to_viewers": Trouble.HOLDS_TO_VIEWER,
    "links_hold_to_nodes": Trouble.HOLDS_TO_NODE,
    "links_drop_to_viewers": Trouble.DROPS_TO_VIEWER,
    "all_links_drop_to_viewers": Trouble.DROPS_TO_VIEWER,
    "links_delay": Trouble.DELAYS,
}
DISCOVERY_STATES = {
    "discovery_refuses": State.REFUSES,
    "discovery_hangs": State.HANGS,
    "discovery_slow": State.SLOW,
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run came to."""

    violations: list[Violation]
    requests: int
    served: int
    refused: int
    sessions: int
    lives: int
    exited: int  # processes that ended after SIGTERM before SIGKILL came
    worst_lag_s: float
    crossings: dict[str, int]  # releases whose connection was ended in their instant, by how it ended
    longest_turn_s: float = 0.0  # of a node, as its log tells
    cpu_s: float = 0.0  # of the processes that ran at the end
    connects_to_resetting: float = 0.0  # of a server and node in each second of that fault, at most
    usual: int = 0  # requests of usual viewers at the overloaded node
    usual_served: int = 0
    cut_for_unknown: int = 0  # sessions that stood, ended as nobody could know of it


@dataclass(slots=True)
class SoakRun:
    """One run in one folder. `program` is what is started as a node."""

    plan: Plan
    folder: Path
    program: tuple[str, ...] = NODE
    nodes: list[NodeProcess] = field(default_factory=list)
    pools: list[ViewerPool] = field(default_factory=list)
    servers: list[MediaServer] = field(default_factory=list)
    retired: list[MediaServer] = field(default_factory=list)
    oracle: Oracle = field(init=False)
    discovery: Discovery = field(init=False)
    _rng: Random = field(init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server_ids: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    _burners: list[asyncio.subprocess.Process] = field(default_factory=list)
    _shared: SharedListener | None = None
    _shared_port: int = 0
    _by_number: dict[int, MediaServer] = field(default_factory=dict)
    _listed: dict[str, Member] = field(default_factory=dict)  # every server as the list last told it
    _resetting: list[tuple[MediaServer, float, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.oracle = Oracle(self.plan.drain_grace_ms / 1000)
        self._rng = Random(self.plan.seed)

    async def play(self) -> Outcome:
        """Play the plan. What was started is ended by id, however this ends."""
        lag = asyncio.create_task(self._measure_lag())
        try:
            await self._set_up()
            faults = [asyncio.create_task(self._strike(fault)) for fault in self.plan.faults]
            faults += [asyncio.create_task(self._put_in_condition(one)) for one in self.plan.server_faults]
            await asyncio.sleep(self.plan.seconds)
            await asyncio.gather(*faults)
            await asyncio.sleep(SETTLE_S)
            return self._outcome(time.monotonic())
        finally:
            lag.cancel()
            await self._tear_down()

    @property
    def crossed(self) -> int:
        """Releases whose connection was ended in their instant."""
        return sum(pool.crossed.total() for pool in self.pools)

    # Start and end

    async def _set_up(self) -> None:
        plan = self.plan
        hosts = tuple(f"127.0.1.{number + 1}" for number in range(plan.nodes))
        ports = free_ports(3 + 2 * plan.nodes)
        self._shared_port = ports.pop()
        peer_ports = [ports.pop() for _ in range(plan.nodes)] if plan.racks else []
        peers = tuple(f"{host}:{port}" for host, port in zip(hosts, peer_ports, strict=False))
        if plan.racks:
            self._shared = SharedListener(self._server_at)
            self._shared.start(self._shared_port)
        self.discovery = Discovery(self.oracle, hosts, tuple(ports[:2]), self._life_of)
        await self.discovery.start()
        for _ in range(plan.servers):
            self.servers.append(await self._new_server())
        self._publish([self._member(server, "in_service") for server in self.servers])
        ids = itertools.count(plan.seed * 1_000_000 + 1)
        for number, port in enumerate(ports[2 : 2 + plan.nodes]):
            listen = f"{hosts[number]}:{port}"
            self.nodes.append(
                NodeProcess(
                    plan, number, listen, self.folder, self.oracle, self.discovery, self.program, peers
                )
            )
            rng = Random(plan.seed * 1000 + number)
            self.pools.append(ViewerPool(plan, self.oracle, rng, (hosts[number], port), ids))
        await asyncio.gather(*(self._start_node(number) for number in range(plan.nodes)))
        self._begin_overload()
        for pool in self.pools:
            pool.start()

    def _begin_overload(self) -> None:
        overload = self.plan.overload
        if overload is None:
            return
        set_rates(self.pools, overload)
        node, pool = self.nodes[overload.node], self.pools[overload.node]
        works = (
            share_core(node, overload.core_share),
            stand_still(node, overload.stall_s),
            send_bursts(pool, overload.burst),
        )
        for work in works:
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _tear_down(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for burner in self._burners:
            if burner.returncode is None:
                burner.kill()
            await burner.wait()
        await asyncio.gather(*(pool.close() for pool in self.pools), return_exceptions=True)
        await asyncio.gather(*(node.end() for node in self.nodes), return_exceptions=True)
        for server in (*self.servers, *self.retired):
            server.close()
        if self._shared is not None:
            self._shared.close()
        self.discovery.close()
        await asyncio.sleep(0)

    def _life_of(self, host: str) -> NodeLife | None:
        numbers = [int(part) for part in host.split(".")]
        number = numbers[1] - FIRST_NETWORK if numbers[1] >= FIRST_NETWORK else numbers[3] - 1
        return self.nodes[number].life if number < len(self.nodes) else None

    async def _new_server(self) -> MediaServer:
        hosts = tuple(f"127.0.1.{number + 1}" for number in range(self.plan.nodes))
        number = next(self._server_ids)
        server = MediaServer(
            f"s-{number:08x}",
            self.oracle,
            Random(self.plan.seed * 7919 + number),
            self.plan.servers_acknowledge,
            hosts,
            self._life_of,
            self._session_ends,
            self._shared_port if self._shared is not None else free_ports(1)[0],
            self.plan.session_s,
        )
        links = self.plan.server_links
        if links is not None:
            rng = Random(self.plan.seed * 6007 + number)
            server.link_faults = FaultDraw(links.share, links.in_a_row, rng)
        self._by_number[number] = server
        if self._shared is None:
            server.start()
        return server

    def _server_at(self, host: str) -> MediaServer | None:
        _, _, high, low = (int(part) for part in host.split("."))
        server = self._by_number.get(high * 250 + low)
        return server if server is not None and server.in_service else None

    def _member(self, server: MediaServer, phase: str, started: bool = False) -> Member:
        up_since = time.time() * 1000 if started else 0.0
        number = int(server.id[2:], 16)
        address = f"{ANY_HOST}{server.port}"
        if self._shared is not None:
            address = f"{ANY_NETWORK}{number // 250}.{number % 250}:{server.port}"
        return Member(server.id, address, phase, number % (self.plan.racks or 4), up_since)

    def _session_ends(self, session: Session) -> None:
        self.pools[session.life.node].cross_release(session)

    async def _start_node(self, number: int) -> None:
        node, pool = self.nodes[number], self.pools[number]

        async def is_ready() -> bool:
            pool.life = node.life
            return await pool.is_ready()

        playing = [one for one in pool.playing.values() if one.life.node == number]
        pool.playing.clear()
        life = await node.start(is_ready)
        if life.ready_at < FOREVER and playing:
            await pool.hand_over(life, playing)

    async def _measure_lag(self) -> None:
        due = time.monotonic() + LAG_SAMPLE_S
        while True:
            await asyncio.sleep(max(due - time.monotonic(), 0))
            now = time.monotonic()
            if now - due > 0.005:
                self.oracle.note_lag(now, now - due)
            due = now + LAG_SAMPLE_S

    def _note_invariants(self, ended_at: float) -> None:
        """What the nodes' own run-time checks found. A late answer is judged by the oracle: the page allows
        half a second, the check begins to answer by itself after a fifth."""
        for node in self.nodes:
            for line in node.log_lines("invariant-violated"):
                if "answered-in-time" not in line:
                    self.oracle.broken("invariant", ended_at, f"node {node.number}: {line.strip()[:300]}")
            for line in (*node.log_lines("effect-failed"), *node.log_lines("check-failed")):
                self.oracle.broken("invariant", ended_at, f"node {node.number}: {line.strip()[:300]}")

    def _outcome(self, ended_at: float) -> Outcome:
        self._note_invariants(ended_at)
        for pool in self.pools:
            pool.note_open_connections()
        violations = self.oracle.verdict(ended_at)
        answers = [kind for one in self.oracle.requests.values() for _, kind in one.answers]
        return Outcome(
            violations,
            len(self.oracle.requests),
            answers.count(AnswerKind.STANDS),
            answers.count(AnswerKind.REFUSED),
            len(self.oracle.sessions),
            len(self.oracle.lives),
            sum(life.sigterm_at < life.exited_at < life.killed_at for life in self.oracle.lives),
            self.oracle.longest_lag,
            dict(sum((pool.crossed for pool in self.pools), Counter[str]())),
            self._longest_turn_s(),
            sum(node.cpu_s for node in self.nodes),
            self._connects_to_resetting(),
            *self._usual_at_overloaded(),
            self.oracle.cut_for_unknown,
        )

    def _usual_at_overloaded(self) -> tuple[int, int]:
        """Requests of usual viewers at the overloaded node, and how many of them were served."""
        if self.plan.overload is None:
            return 0, 0
        requests = [
            one
            for one in self.oracle.requests.values()
            if one.life.node == self.plan.overload.node and not one.by_bad_client
        ]
        kinds = [kind for one in requests for _, kind in one.answers]
        return len(requests), kinds.count(AnswerKind.STANDS)

    def _longest_turn_s(self) -> float:
        lines = [line for node in self.nodes for line in node.log_lines('"event": "state"')]
        return max((json.loads(line)["lag_us"] for line in lines), default=0) / 1e6

    def _connects_to_resetting(self) -> float:
        """The most connects that one server had of a node in each second while it reset them."""
        rates = [
            sum(since <= at < until for at in server.connects) / max(until - since, 1.0) / len(self.nodes)
            for server, since, until in self._resetting
        ]
        return max(rates, default=0.0)

    # Faults

    async def _strike(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        kind = fault.kind
        if kind in SERVER_MODES:
            await self._server_mode(fault, SERVER_MODES[kind])
        elif kind in LINK_TROUBLES:
            await self._pool(fault).links_fail(LINK_TROUBLES[kind], fault.seconds, kind.startswith("all_"))
        elif kind in DISCOVERY_STATES:
            await self._discovery_state(DISCOVERY_STATES[kind], fault.seconds)
        else:
            handlers: dict[str, Callable[[Fault], Awaitable[None]]] = {
                "terminate": self._terminate,
                "terminate_in_stall": self._terminate_in_stall,
                "kill": self._kill,
                "reload": self._reload,
                "reload_in_drain": self._reload_in_drain,
                "pause": self._pause,
                "starve": self._starve,
                "server_dies": self._server_dies,
                "server_drains": self._server_drains,
                "server_drops_connections": self._server_drops,
                "discovery_flaps": self._discovery_flaps,
                "client_resets": self._client_resets,
                "client_leaves": self._client_leaves,
                "client_crowd": self._client_crowd,
                "client_garbage": self._client_garbage,
                "client_pieces": self._client_pieces,
                "release_crossings": self._release_crossings,
                "list_changes": self._list_changes,
                "list_halves": self._list_halves,
                "list_wholes": self._list_wholes,
                "servers_replaced": self._servers_replaced,
                "servers_reset": self._servers_reset,
            }
            await handlers[kind](fault)

    def _pool(self, fault: Fault) -> ViewerPool:
        return self.pools[fault.target % len(self.pools)]

    def _server(self, fault: Fault) -> MediaServer:
        return self.servers[fault.target % len(self.servers)]

    def _claim(self, fault: Fault) -> NodeProcess | None:
        """The node of a fault, unless another fault ends or starts it now."""
        node = self.nodes[fault.target % len(self.nodes)]
        if node.busy:
            return None
        node.busy = True
        return node

    async def _terminate(self, fault: Fault) -> None:
        await self._restart(fault, NodeProcess.terminate)

    async def _terminate_in_stall(self, fault: Fault) -> None:
        async def end(node: NodeProcess) -> None:
            node.send(signal.SIGSTOP)
            ending = asyncio.create_task(node.terminate())
            await asyncio.sleep(min(fault.seconds, MAX_STALL_S))
            node.send(signal.SIGCONT)
            await ending

        await self._restart(fault, end)

    async def _kill(self, fault: Fault) -> None:
        await self._restart(fault, NodeProcess.kill)

    async def _restart(self, fault: Fault, end: Callable[[NodeProcess], Awaitable[None]]) -> None:
        if (node := self._claim(fault)) is not None:
            await end(node)
            await asyncio.sleep(self.plan.down_s)
            await self._start_node(node.number)
            node.busy = False

    async def _reload(self, fault: Fault) -> None:
        node = self.nodes[fault.target % len(self.nodes)]
        if node.busy or node.life is None or time.monotonic() < node.life.ready_at + 1.0:
            return
        for _ in range(2):
            node.board = 1 - node.board
            node.write_configuration()
            node.send(signal.SIGHUP)

    async def _reload_in_drain(self, fault: Fault) -> None:
        async def end(node: NodeProcess) -> None:
            ending = asyncio.create_task(node.terminate())
            await asyncio.sleep(0.3)
            node.board = 1 - node.board
            node.write_configuration()
            node.send(signal.SIGHUP)
            node.send(signal.SIGTERM)
            await ending

        await self._restart(fault, end)

    async def _pause(self, fault: Fault) -> None:
        if (node := self._claim(fault)) is not None:
            node.send(signal.SIGSTOP)
            await asyncio.sleep(min(fault.seconds, 0.4))
            node.send(signal.SIGCONT)
            node.busy = False

    async def _starve(self, fault: Fault) -> None:
        code = BUSY_CODE.format(seconds=min(fault.seconds, 3.0))
        for _ in range(BUSY_PROCESSES):
            self._burners.append(await asyncio.create_subprocess_exec(sys.executable, "-c", code))

    async def _server_mode(self, fault: Fault, mode: Mode) -> None:
        server = self._server(fault)
        server.set_mode(mode)
        await asyncio.sleep(fault.seconds)
        if server.mode is mode:
            server.set_mode(Mode.WELL)

    async def _put_in_condition(self, fault: ServerFault) -> None:
        """A later fault of the same server and node takes the place of an earlier one."""
        await asyncio.sleep(fault.at)
        server = self.servers[fault.target % len(self.servers)]
        nodes = range(self.plan.nodes) if fault.node < 0 else (fault.node % self.plan.nodes,)
        for node in nodes:
            server.set_condition(node, fault.condition)
        await asyncio.sleep(fault.seconds)
        for node in nodes:
            if server.condition(node) is fault.condition:
                server.set_condition(node, SOUND)

    async def _server_dies(self, fault: Fault) -> None:
        """Another server takes its place once the list has told both."""
        place = fault.target % len(self.servers)
        server = self.servers[place]
        await server.die()
        self.retired.append(server)
        fresh = self.servers[place] = await self._new_server()
        await asyncio.sleep(min(fault.seconds, 1.0))
        self._publish([self._member(server, "terminated")])
        self._publish([self._member(fresh, "in_service", started=True)])

    async def _server_drains(self, fault: Fault) -> None:
        server = self._server(fault)
        self._publish([self._member(server, "terminating")])
        await asyncio.sleep(fault.seconds)
        if server in self.servers:
            self._publish([self._member(server, "in_service")])

    def _publish(self, members: list[Member], whole: bool = False) -> None:
        self._listed |= {member.id: member for member in members}
        self.discovery.publish(members, whole)

    def _some_toggled(self, count: int) -> list[Member]:
        """Some of the listed servers in their other phase: one that drains is in service again."""
        listed = [server for server in self.servers if server.id in self._listed]
        chosen = self._rng.sample(listed, min(count, len(listed)))
        drains = [self._listed[server.id].phase == "in_service" for server in chosen]
        return [
            replace(self._listed[server.id], phase="terminating" if drain else "in_service")
            for server, drain in zip(chosen, drains, strict=True)
        ]

    async def _list_changes(self, fault: Fault) -> None:
        until = time.monotonic() + fault.seconds
        while time.monotonic() < until:
            self._publish(self._some_toggled(ROWS_OF_A_CHANGE))
            await asyncio.sleep(1 / CHANGES_A_SECOND)

    async def _list_halves(self, fault: Fault) -> None:
        """Events that each put half of all servers into their other phase."""
        until = time.monotonic() + fault.seconds
        while time.monotonic() < until:
            self._publish(self._some_toggled(len(self.servers) // 2))
            await asyncio.sleep(1.0)

    async def _list_wholes(self, fault: Fault) -> None:
        until = time.monotonic() + fault.seconds
        while time.monotonic() < until:
            changed = {member.id: member for member in self._some_toggled(len(self.servers) // 10)}
            listed = [self._listed[server.id] for server in self.servers if server.id in self._listed]
            self._publish([changed.get(member.id, member) for member in listed], whole=True)
            await asyncio.sleep(1.0)

    async def _servers_replaced(self, fault: Fault) -> None:
        for _ in range(REPLACED_STEPS):
            rows = list[Member]()
            for place in self._rng.sample(range(len(self.servers)), len(self.servers) // 50 or 1):
                server = self.servers[place]
                await server.die()
                self.retired.append(server)
                fresh = self.servers[place] = await self._new_server()
                rows += [self._member(server, "terminated"), self._member(fresh, "in_service", started=True)]
            self._publish(rows)
            await asyncio.sleep(fault.seconds / REPLACED_STEPS)

    async def _servers_reset(self, fault: Fault) -> None:
        struck = self._rng.sample(self.servers, len(self.servers) // 4 or 1)
        since = time.monotonic()
        for server in struck:
            server.set_mode(Mode.RESETS)
        await asyncio.sleep(fault.seconds)
        self._resetting += [(server, since, time.monotonic()) for server in struck]
        for server in struck:
            if server.mode is Mode.RESETS:
                server.set_mode(Mode.WELL)

    async def _server_drops(self, fault: Fault) -> None:
        self._server(fault).reset_connections()

    async def _discovery_state(self, state: State, seconds: float) -> None:
        if self.discovery.state is State.WELL:
            await self.discovery.set_state(state)
            await asyncio.sleep(seconds)
            await self.discovery.set_state(State.WELL)

    async def _discovery_flaps(self, fault: Fault) -> None:
        for _ in range(3):
            await self._discovery_state(State.REFUSES, 1.0)
            await asyncio.sleep(0.3)

    async def _client_resets(self, fault: Fault) -> None:
        self._pool(fault).reset_some()

    async def _client_leaves(self, fault: Fault) -> None:
        pool = self._pool(fault)
        pool.leaves_early = True
        await asyncio.sleep(fault.seconds)
        pool.leaves_early = False

    async def _client_crowd(self, fault: Fault) -> None:
        await self._pool(fault).crowd(2 * self.plan.sockets, min(fault.seconds, 3.0))

    async def _client_garbage(self, fault: Fault) -> None:
        await self._pool(fault).garbage(min(fault.seconds, 3.0))

    async def _client_pieces(self, fault: Fault) -> None:
        pool = self._pool(fault)
        pool.in_pieces = True
        await asyncio.sleep(fault.seconds)
        pool.in_pieces = False

    async def _release_crossings(self, fault: Fault) -> None:
        pool = self._pool(fault)
        pool.crossings = True
        await asyncio.sleep(fault.seconds)
        pool.crossings = False


def encode_plan(plan: Plan) -> str:
    """A plan as one line of JSON."""
    return msgspec.json.encode(plan).decode()
