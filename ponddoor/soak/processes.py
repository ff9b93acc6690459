"""Node processes of a soak run: configurations, signals, ends."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ponddoor.soak.discovery import Discovery
from ponddoor.soak.oracle import Oracle
from ponddoor.soak.plan import Plan
from ponddoor.soak.records import FOREVER, NodeLife

READY_LIMIT_S = 30.0
MANY_SERVERS_KB = 200_000.0  # kB/s for each unit of weight, of all servers of a plan with racks together
NODE = (sys.executable, "-m", "ponddoor.node")


def settings(plan: Plan, node: int) -> dict[str, Any]:
    """The settings object of the protocol page, with what the plan draws."""
    classes = plan.classes
    return {
        "accounts": [],
        "balancers": plan.nodes,
        "discovery": "pushed",
        "me": node,
        "zone": 0,
        "layer": 0,
        "localities": ["north"],
        "skus": ["box"],
        "stages": ["media"],
        "tick": 10.0,
        "weights": "nominal",
        "workload": "streams",
        "worthBy": "work",
        "overShareWorth": 0.1,
        "clientHabits": {"marksRetry": True},
        "lanes": [
            {
                "aim": one.deadline_ms / 3,
                "deadline": one.deadline_ms,
                "group": "all",
                "lateValue": 0.0,
                "memorySpan": 5000.0,
                "name": one.name,
                "semantics": one.semantics,
                "streaming": True,
                "value": 1.0,
            }
            for one in classes
        ],
        "permissions": {
            "cancelling": True,
            "connIdle": 30000.0,
            "connectTimeout": 250.0,
            "maxAttempts": 3,
            "maxRetryAfter": 500.0,
            "mayTell": bool(plan.racks),
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "maxOpen": 1000000,
            "maxStreams": 1048576,
        },
        "prices": {"crossZone": 0.0, "probe": 0.0, "peer": 0.0, "moves": 0.0},
        "reporting": {"fields": ["x0"], "how": plan.reports},
        "safety": {
            "cold": 9000.0,
            "coldFrom": 0.5,
            "drainGrace": plan.drain_grace_ms,
            "fall": 1000.0,
            "fallMultiple": 3.0,
            "graceToAnswer": 40.0,
        },
        "specifics": {
            "changeCostsS": 0.5,
            "classSeats": [0] * len(classes),
            "classTop": [2] * len(classes),
            "floorByClass": [0] * len(classes),
            "groups": plan.racks or 2,
            "kbPerWeight": MANY_SERVERS_KB / plan.servers if plan.racks else 1000.0,
            "kindStreams": [plan.streams],
            "ladderWorth": [0.2, 0.6, 1.0],
            "live": [False] * len(classes),
            "positions": plan.racks or 4,
            "rackKb": 90000.0,
            "rateFactor": [1.0] * len(classes),
            "rungKb": [100.0, 300.0, 900.0],
            "shortfallCost": 6.0,
        },
    }


@dataclass(slots=True)
class NodeProcess:
    """One node: the process of now, its configuration file, and the record of each process."""

    plan: Plan
    number: int
    listen: str
    folder: Path
    oracle: Oracle
    discovery: Discovery
    program: tuple[str, ...] = NODE
    peers: tuple[str, ...] = ()  # where the nodes hear one another, by number
    board: int = 0  # which of discovery's two ports the configuration names
    life: NodeLife | None = None
    starts: int = 0
    busy: bool = False  # somebody is ending or starting it
    _process: asyncio.subprocess.Process | None = None
    _watch: asyncio.Task[None] | None = None
    _paused_at: float = field(default=FOREVER)

    @property
    def path(self) -> Path:
        """Its configuration."""
        return self.folder / f"node-{self.number}.json"

    def write_configuration(self) -> None:
        """Replace the file whole."""
        host = self.discovery.hosts[self.number]
        told = {
            "name": f"n{self.number}",
            "listen": self.listen,
            "seed": f"{self.plan.seed * 1009 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.plan.sockets},
            "board": f"{host}:{self.discovery.ports[self.board]}",
            "settings": settings(self.plan, self.number),
        }
        if self.peers:
            told |= {"peer_listen": self.peers[self.number], "peers": list(self.peers)}
        beside = self.path.with_suffix(".new")
        known = self.discovery.for_node(self.discovery.known(), self.number)
        beside.write_text(f'{json.dumps(told)[:-1]}, "known": {known}}}')
        beside.replace(self.path)

    async def start(self, is_ready: Callable[[], Any]) -> NodeLife:
        """A new process; returns once it passes a test, or its time for that is over."""
        self.starts += 1
        self.write_configuration()
        told = {
            "BALANCER_NAME": f"n{self.number}",
            "BALANCER_LISTEN": self.listen,
            "BALANCER_CONFIG": str(self.path),
        }
        life = NodeLife(self.number, time.monotonic())
        self.oracle.lives.append(life)
        self.discovery.note_started(life)
        with (self.folder / f"node-{self.number}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.program,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **told},
            )
        self.life = life
        self._watch = asyncio.create_task(self._note_end(self._process, life))
        while time.monotonic() < life.started_at + READY_LIMIT_S and life.over_at == FOREVER:
            if await is_ready():
                life.ready_at = time.monotonic()
                break
            await asyncio.sleep(0.02)
        return life

    async def _note_end(self, process: asyncio.subprocess.Process, life: NodeLife) -> None:
        code = await process.wait()
        life.exited_at, life.exit_code = time.monotonic(), code

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if there is one."""
        if self._process is None or self._process.returncode is not None or self.life is None:
            return
        now = time.monotonic()
        if number is signal.SIGTERM:
            self.life.sigterm_at = min(self.life.sigterm_at, now)
        if number is signal.SIGKILL:
            self.life.killed_at = min(self.life.killed_at, now)
        if number is signal.SIGSTOP:
            self._paused_at = now
        if number is signal.SIGCONT and self._paused_at < FOREVER:
            self.life.pauses.append((self._paused_at, now))
            self._paused_at = FOREVER
        self._process.send_signal(number)

    def set_running(self, running: bool) -> None:
        """Let the process run or not, within its share of a core. No limit is extended for this."""
        if self._process is not None and self._process.returncode is None and self._paused_at == FOREVER:
            self._process.send_signal(signal.SIGCONT if running else signal.SIGSTOP)

    @property
    def cpu_s(self) -> float:
        """Processor time of the process of now, in seconds; 0 where it has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_lines(self, word: str) -> list[str]:
        """The lines of its log with a word in them."""
        path = self.folder / f"node-{self.number}.log"
        return [line for line in path.read_text(errors="replace").splitlines() if word in line]

    async def terminate(self) -> None:
        """SIGTERM, then SIGKILL at the earliest moment of the protocol page."""
        self.send(signal.SIGTERM)
        assert self.life is not None and self._watch is not None
        due = self.life.sigterm_at + self.plan.kill_delay_s
        await asyncio.wait((self._watch,), timeout=max(due - time.monotonic(), 0))
        await self.kill()

    async def kill(self) -> None:
        """SIGKILL, and the end of the process."""
        self.send(signal.SIGKILL)
        if self._watch is not None:
            await self._watch

    async def end(self) -> None:
        """The end of the run."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        if self._watch is not None:
            await self._watch
