"""Measurements against stand-ins on loopback: a front beside the bare relay in one run, many sessions held.

Each process under test is bound to a core of its own; servers and generator use the others."""

import asyncio
import contextlib
import os
import pstats
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ponddoor.decide import Front
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.load.generator import Generator, Outcome
from ponddoor.rehearse.run import RehearsalError, free_ports
from ponddoor.runtime.driver import Driver
from ponddoor.settings.site import loads
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.timing import within

SITE = """(site load (zones here) (kinds (kind box (streams 1000000)))
  (groups (group clips (start-target 2s) (setup-timeout 10s) (utility 1)))
  (ladder (rung (rate 200kB/s) (utility 0.25)) (rung (rate 400kB/s) (utility 0.5))
    (rung (rate 700kB/s) (utility 0.7)) (rung (rate 1.2MB/s) (utility 0.85)) (rung (rate 2MB/s) (utility 1))
    (switch-cost 100ms))
  (plant (cells {servers}) (racks 1) (link-per-weight {link}MB/s) (uplink {uplink}MB/s) (note-delay 500ms))
  (rules (cold 1s)) (permissions (max-setups 3) (come-back 500ms))
  (reporting (how inline) (fields link-asked))
  (list (address "127.0.0.1:{list}") (retry 200ms))
  (fronts (front 0 (viewers "127.0.0.1:{viewers}") (words "127.0.0.1:{words}")
    (metrics "127.0.0.1:{metrics}")))
  (servers (connections 512) (attach-time 3600s))
  (limits (in-hand 20000) (held 200000) (repeats 1000) (repeat-time 1s) (loop-lag 30s) (connections 50000)
    (per-address 50000) (followers 50000) (drain-time 0s)))
"""


@dataclass(slots=True)
class Bed:
    """List and servers that answer at once, and what is tested in front of them."""

    folder: Path
    servers: int
    link: float = 1e4
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    viewers: int = 0
    metrics: int = 0

    @property
    def site(self) -> Path:
        return self.folder / "load.pond"

    async def start(self) -> None:
        listing, self.viewers, words, self.metrics, *self.ports = free_ports(4 + self.servers)
        self.site.write_text(
            SITE.format(
                servers=self.servers,
                link=self.link,
                uplink=self.link * 1e3,
                list=listing,
                viewers=self.viewers,
                words=words,
                metrics=self.metrics,
            )
        )
        await self.spawn(None, "standin", "list", "--site", str(self.site))
        for number, port in enumerate(self.ports):
            await self.spawn(
                1 + number % 4,
                "standin",
                "media",
                "--site",
                str(self.site),
                "--number",
                str(number + 1),
                "--cell",
                str(number),
                "--zone",
                "here",
                "--kind",
                "box",
                "--weight",
                "1",
                "--port",
                str(port),
                "--warm",
                "--work-ms",
                "0",
            )
        for port in self.ports:
            await self.until(port, "/load", b"report")

    async def spawn(self, core: int | None, *arguments: str) -> asyncio.subprocess.Process:
        def bind() -> None:
            cores = sorted(os.sched_getaffinity(0))
            if core is not None:
                os.sched_setaffinity(0, {cores[core % len(cores)]})

        with (self.folder / "log").open("ab") as log:
            made = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ponddoor.cli", *arguments, preexec_fn=bind, stdout=log, stderr=log
            )
        self.processes.append(made)
        return made

    async def until(self, port: int, path: str, text: bytes, within: float = 30.0) -> None:
        limit = time.monotonic() + within
        while time.monotonic() < limit:
            pool = Pool("127.0.0.1", port, 1, 1.0)
            with contextlib.suppress(NotSentError, BrokenError, LateError):
                if text in (await pool.request("GET", path)).body:
                    return
            pool.close()
            await asyncio.sleep(0.1)
        told = (self.folder / "log").read_text()[-1000:]
        raise RehearsalError(f"nothing at port {port}: {told}")

    async def front(self, *arguments: str) -> asyncio.subprocess.Process:
        made = await self.spawn(
            0,
            "--log-level",
            "warning",
            "front",
            "--site",
            str(self.site),
            "--me",
            "0",
            "--kept",
            str(self.folder / "kept"),
            "--seed",
            "1",
            *arguments,
        )
        await self.until(self.metrics, "/metrics", b'ponddoor_idle_kb{server="%d"}' % self.servers)
        return made

    async def relay(self, port: int) -> asyncio.subprocess.Process:
        made = await self.spawn(
            0, "load", "relay", "--port", str(port), *(f"127.0.0.1:{server}" for server in self.ports)
        )
        await self.until(port, "/nothing", b"no-such-resource")
        return made

    def generator(self, port: int, leave: bool = True) -> Generator:
        return Generator([("127.0.0.1", port)], ["clips"], [f"title-{n}" for n in range(50)], leave=leave)

    async def end(self, process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        with contextlib.suppress(TimeoutError):
            await within(10, process.wait())
        if process.returncode is None:
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def bed(servers: int, link: float = 1e4) -> AsyncIterator[Bed]:
    with tempfile.TemporaryDirectory(prefix="ponddoor-load-") as folder:
        made = Bed(Path(folder), servers, link)
        try:
            await made.start()
            yield made
        finally:
            await asyncio.gather(*(made.end(process) for process in made.processes))


def cpu_seconds(pid: int) -> float:
    """CPU time of a process so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_bytes(pid: int) -> int:
    """Resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def beside_relay(seconds: float, rounds: int, servers: int, in_hand: int) -> dict[str, Any]:
    """Front and relay in turn on one core: set-ups a second with requests always in hand, then the whole
    distribution of the time to answer at half of the front's rate; CPU time a session from both."""
    result: dict[str, Any] = {"rounds": []}
    async with bed(servers) as made:
        relay_port = free_ports(1)[0]
        tested = {
            "front": (await made.front(), made.viewers),
            "relay": (await made.relay(relay_port), relay_port),
        }
        rates: dict[str, list[float]] = {"front": [], "relay": []}
        cpu: dict[str, list[float]] = {"front": [], "relay": []}
        for name in tested:
            await made.generator(tested[name][1]).in_hand(in_hand, 1.0)  # warm
        for turn in range(rounds):
            for name in ("front", "relay") if turn % 2 else ("relay", "front"):
                process, port = tested[name]
                before = cpu_seconds(process.pid)
                got = await made.generator(port).in_hand(in_hand, seconds)
                rates[name].append(got.playing_per_s)
                cpu[name].append(
                    (cpu_seconds(process.pid) - before) / max(1, got.states.get("playing", 0)) * 1e6
                )
        half = sorted(rates["front"])[rounds // 2] / 2
        latency: dict[str, Outcome] = {}
        for name, (_, port) in tested.items():
            latency[name] = await made.generator(port).open_loop(half, seconds * 2)
        result["rounds"] = rates
        pairs = sorted(mine / bare for mine, bare in zip(rates["front"], rates["relay"], strict=True))
        result["ratio_of_each_round"] = pairs
        result["ratio"] = pairs[rounds // 2]
        result["cpu_us_per_session"] = {name: sorted(values)[rounds // 2] for name, values in cpu.items()}
        result["half_load_per_s"] = half
        result["at_half_load"] = {name: out.as_dict() for name, out in latency.items()}
    return result


async def split_cpu(seconds: float, servers: int, in_hand: int) -> dict[str, Any]:
    """Where a front's CPU time goes, by a profile of its own process: HTTP, decisions, the rest."""
    async with bed(servers) as made:
        profile = made.folder / "profile"
        front = await made.front("--profile", str(profile))
        got = await made.generator(made.viewers).in_hand(in_hand, seconds)
        await made.end(front)
        sums = {"http": 0.0, "decisions": 0.0, "loop and sockets": 0.0, "engine and shells": 0.0, "rest": 0.0}
        stats: Any = pstats.Stats(str(profile))
        for (file, _, name), (_, _, own, _, _) in stats.stats.items():
            sums[_kind(file, name)] += own
        waiting = sum(own for (_, _, name), (_, _, own, _, _) in stats.stats.items() if "poll" in name)
        sums["loop and sockets"] -= waiting
        total, sessions = sum(sums.values()), max(1, got.states.get("playing", 0))
        return {
            "sessions": sessions,
            "share": {name: value / total for name, value in sums.items()},
            "note": "shares of profiled CPU time; a profile slows small calls more than large ones",
        }


def _kind(file: str, name: str) -> str:
    if "h11" in file or "/web/" in file or "msgspec" in name:
        return "http"
    if file.endswith(("decide.py", "state.py", "driver.py")) or "/interface/" in file:
        return "decisions"
    if "asyncio" in file or "selectors" in file or "socket" in name or "poll" in name:
        return "loop and sockets"
    return "engine and shells" if "/front/" in file else "rest"


async def held(count: int, seconds: float, servers: int) -> dict[str, Any]:
    """Many sessions held by one front: memory a session, lag of its loop, and its rounds of resizing."""
    link = count * 1.2 / servers  # MB a second: room for a rung under the top
    async with bed(servers, link) as made:
        front = await made.front()
        before = memory_bytes(front.pid)
        began = time.monotonic()
        got = await made.generator(made.viewers, leave=False).in_hand(64, 600, count)
        filled, after = time.monotonic() - began, memory_bytes(front.pid)
        lag_before, cpu_before = await lag(made.metrics), cpu_seconds(front.pid)
        await asyncio.sleep(seconds)
        lag_after = await lag(made.metrics)
        counts = {edge: lag_after[edge] - lag_before.get(edge, 0.0) for edge in lag_after}
        total = counts.get("+Inf", 0.0)
        p99 = next((edge for edge, below in counts.items() if below >= 0.99 * total), "?")
        worst = next((edge for edge, below in counts.items() if below >= total), "?")
        return {
            "held": got.states,
            "filled_in_s": filled,
            "memory_bytes_per_session": (after - before) / count,
            "loop_lag_p99_at_most_s": p99,
            "loop_lag_worst_at_most_s": worst,
            "samples": total,
            "resize_round_s": resize_round(count, servers),
            "cpu_share_while_held": (cpu_seconds(front.pid) - cpu_before) / seconds,
        }


def resize_round(count: int, servers: int) -> float:
    """Seconds of the longest round of resizing with so many sessions at a front: virtual time, no sockets."""
    link = count * 1.2 / servers
    site = loads(
        SITE.format(servers=servers, link=link, uplink=link * 1e3, list=1, viewers=2, words=3, metrics=4)
    )
    front = Front(site.facts_of(0, 1), 0)
    driver, now, longest = Driver(front), 10_000_000, 0.0  # its first pace is over
    timers: list[tuple[int, int]] = []
    last: dict[int, int] = {}

    def feed(event: ev.Event) -> list[act.Action]:
        actions = driver.handle(now, event)
        timers.extend((one.due, one.cookie) for one in actions if isinstance(one, act.SetTimer))
        return actions

    rows = (ev.ServerRow(n, 0, 0, n, ev.ServerState.READY, 1.0, 0) for n in range(servers))
    feed(ev.ServerNews(ev.NewsScope.CACHED, tuple(rows)))
    for number in range(count):
        asked = feed(ev.SessionRequest(number, 0, 0, 0, number, 9_000_000, None, 0, servers, 4))
        sent = next((one for one in asked if isinstance(one, act.Setup)), None)
        if sent is not None:
            feed(ev.Started(number, 0, sent.server, 1000))
            last[sent.server] = number
    for turn in range(6):
        timers.sort()
        at, cookie = timers.pop(0)
        now = max(now, at)
        for server, number in last.items():  # every other round there is too much, then room
            feed(ev.Note(number, ev.NoteKind.LINK_ASKED, 1.2 if turn % 2 else 0.8, server))
        begun = time.perf_counter()
        feed(ev.TimerDue(cookie))
        longest = max(longest, time.perf_counter() - begun)
    return longest


async def lag(port: int) -> dict[str, float]:
    """How late a front's loop ran, from its metrics: samples below each edge, in seconds."""
    pool = Pool("127.0.0.1", port, 1, 5.0)
    text = (await pool.request("GET", "/metrics", timeout=30.0)).body.decode()
    pool.close()
    rows = [line for line in text.splitlines() if line.startswith("ponddoor_loop_lag_seconds_bucket")]
    return {row.split('le="')[1].split('"')[0]: float(row.rsplit(" ", 1)[1]) for row in rows}


def shown(result: dict[str, Any], as_json: bool) -> str:
    """For people: the figures, without the encoded histograms."""
    if as_json:
        return msgspec.json.encode(result).decode()
    lines: list[str] = []

    def walk(value: Any, name: str) -> None:
        if isinstance(value, dict):
            for key, inner in value.items():
                if key != "histogram":
                    walk(inner, f"{name}{key}: ")
        elif isinstance(value, list):
            lines.append(f"{name}{', '.join(f'{v:.4g}' for v in value)}")
        else:
            lines.append(f"{name}{value:.4g}" if isinstance(value, float) else f"{name}{value}")

    walk(result, "")
    return "\n".join(lines)
