"""Connections and what is written to them, on real sockets: viewers at a front, fronts at list and server.

The process under test is a command of its own; the clients live in the process that measures. All stops by
itself. Processor time is the process's own, by the kernel's count."""

import asyncio
import contextlib
import os
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from ponddoor.audit.records import Recorder
from ponddoor.capacity.measure import Figure, Measurement
from ponddoor.front.roster import Entry
from ponddoor.load.measure import SITE, Bed, cpu_seconds, lag, memory_bytes
from ponddoor.rehearse.run import free_ports
from ponddoor.settings.site import load
from ponddoor.standins.media import MediaServer
from ponddoor.web.client import Pool

SECONDS = 20.0  # of a count
EVERY = 10.0  # seconds between two deliveries to one connection
AT_ONCE = 200  # connections that come up at the same time
SESSIONS = 50  # that the connections ask about
CHANGES = 40  # of the list, within a count
BOXES = 4


class _Unbound(Bed):
    """A bed whose processes run where the system puts them: the machine is shared."""

    async def spawn(self, core: int | None, *arguments: str) -> asyncio.subprocess.Process:
        return await super().spawn(None, *arguments)


class Client(asyncio.Protocol):
    """One connection that is kept: asks, and counts what comes."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.asked = 0.0
        self.times: list[float] = []
        self.lines = self.bytes = 0
        self.beats = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, problem: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        self.lines += data.count(b"\n{") + data.startswith(b"{")
        self.beats += data.count(b'"beat"') - data.count(b'"beat":false')
        if self.asked:  # one short answer, which comes in one piece
            self.times.append(time.monotonic() - self.asked)
            self.asked = 0.0

    def ask(self, path: str, intended: float = 0.0) -> None:
        if self.transport is not None:
            self.asked = intended or time.monotonic()
            self.transport.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def count_anew(self) -> None:
        self.times, self.lines, self.bytes, self.beats = [], 0, 0, 0


async def connected(port: int, count: int) -> list[Client]:
    """So many connections, some at a time. Raises OSError where one can't be had."""
    loop, found = asyncio.get_running_loop(), list[Client]()
    while len(found) < count:
        some = min(AT_ONCE, count - len(found))
        made = await asyncio.gather(*(loop.create_connection(Client, "127.0.0.1", port) for _ in range(some)))
        found += [client for _, client in made]
    return found


async def _sessions(port: int) -> list[str]:
    pool, found = Pool("127.0.0.1", port, 4, 5.0), list[str]()
    for number in range(SESSIONS):
        body = {"title": f"title-{number}", "group": "clips"}
        answer: dict[str, Any] = (await pool.request("POST", "/sessions", body, 30.0)).json()
        if answer.get("state") == "playing":
            found.append(str(answer["session"]))
    pool.close()
    return found


async def _viewers(size: int, under: str) -> list[Figure]:
    with tempfile.TemporaryDirectory(prefix="ponddoor-measure-") as folder:
        bed = _Unbound(Path(folder), BOXES)
        try:
            await bed.start()
            front = await bed.front()
            sessions = await _sessions(bed.viewers)
            if not sessions:
                raise OSError("no session was had at the front under test")
            empty = memory_bytes(front.pid)
            begun, lags = cpu_seconds(front.pid), await lag(bed.metrics)
            clients = await connected(bed.viewers, size)
            if under == "following":
                for number, client in enumerate(clients):
                    client.ask(f"/sessions/{sessions[number % len(sessions)]}/events")
            else:  # each once, so that each holds what it holds after an answer
                await _deliver(clients, sessions, EVERY)
            came = cpu_seconds(front.pid) - begun
            for client in clients:
                client.count_anew()
            before, at = cpu_seconds(front.pid), time.monotonic()
            if under == "delivering":
                await _deliver(clients, sessions, SECONDS)
            else:
                await asyncio.sleep(SECONDS)
            took, cpu = time.monotonic() - at, cpu_seconds(front.pid) - before
            memory = memory_bytes(front.pid)
            late = {edge: below - lags.get(edge, 0.0) for edge, below in (await lag(bed.metrics)).items()}
            found = [worst_lag(late, under)]
            lost = sum(client.transport is None for client in clients)
            times = np.array([one for client in clients for one in client.times] or [0.0])
            found += [
                Figure("viewers.memory", memory, "B"),
                Figure("viewers.memory-each", (memory - empty) / size, "B"),
                Figure("viewers.cpu", cpu / took, "core"),
                Figure("viewers.lost", lost, "1"),
                Figure("viewers.coming", came / size, "s"),
            ]
            if under == "delivering":
                found += [
                    Figure("delivery.cpu", cpu / max(len(times), 1), "s"),
                    Figure("delivery.p50", float(np.quantile(times, 0.5)), "s"),
                    Figure("delivery.p99", float(np.quantile(times, 0.99)), "s"),
                    Figure("delivery.rate", len(times) / took, "1/s"),
                ]
            if under == "following":
                found.append(Figure("beat.rate", sum(c.beats for c in clients) / took, "1/s"))
            for client in clients:
                if client.transport is not None:
                    client.transport.abort()
            return found
        finally:
            await asyncio.gather(*(bed.end(process) for process in bed.processes))


def worst_lag(late: dict[str, float], under: str) -> Figure:
    """The edge of the bucket with the latest sample of a front's loop, while viewers came and were counted;
    of one beyond all edges the last edge, as not reached."""
    edges = sorted((edge for edge in late if edge != "+Inf"), key=float)
    for edge in edges:
        if late[edge] >= late["+Inf"]:
            return Figure("viewers.lag", float(edge), "s")
    return Figure("viewers.lag", float(edges[-1]), "s", f"{under}-unreached")


async def _deliver(clients: list[Client], sessions: list[str], seconds: float) -> None:
    """Each connection asks in turn, one round in `EVERY`; what is late is counted from when it was due."""
    begun, rounds = time.monotonic() + 0.05, max(1, round(seconds / EVERY))
    gap = EVERY / len(clients)
    for turn in range(rounds):
        for number, client in enumerate(clients):
            due = begun + turn * EVERY + number * gap
            while (left := due - time.monotonic()) > 0:
                await asyncio.sleep(left)
            client.ask(f"/sessions/{sessions[number % len(sessions)]}", due)
            if number % 50 == 0:
                await asyncio.sleep(0)
    limit = time.monotonic() + 5
    while any(client.asked and client.transport for client in clients) and time.monotonic() < limit:
        await asyncio.sleep(0.05)


async def _list(size: int) -> list[Figure]:
    """So many watchers at the stand-in list; boxes register and are gone again."""
    with tempfile.TemporaryDirectory(prefix="ponddoor-measure-") as folder:
        bed = _Unbound(Path(folder), BOXES)
        try:
            await bed.start()
            port = _list_port(bed.site)
            await bed.until(port, "/servers", b"version")
            process = bed.processes[0]
            empty = memory_bytes(process.pid)
            clients = await connected(port, size)
            for number, client in enumerate(clients):
                client.ask(f"/watch?front={number}&list=none&version=0")
            await _until_lines(clients)
            for client in clients:
                client.count_anew()
            before, at = cpu_seconds(process.pid), time.monotonic()
            pool = Pool("127.0.0.1", port, 4, 5.0)
            for number in range(CHANGES):  # servers of new starts: each is listed once, a little late
                entry = {
                    "server": 1000 + number,
                    "address": f"127.0.0.1:{20_000 + number}",
                    "zone": "here",
                    "kind": "box",
                    "cell": number % BOXES,
                    "state": "ready",
                    "weight": 1.0,
                    "started_us": 0,
                }
                await pool.request("POST", "/register", {"entry": entry, "asked_kb": 0.0}, 5.0)
                await asyncio.sleep(max(0.0, at + (number + 1) * SECONDS / 2 / CHANGES - time.monotonic()))
            # They are silent then, and listed as gone
            await asyncio.sleep(max(0.0, at + SECONDS - time.monotonic()))
            took, cpu = time.monotonic() - at, cpu_seconds(process.pid) - before
            pool.close()
            beats = sum(client.beats for client in clients)
            lines = sum(client.lines for client in clients)
            told = sum(client.bytes for client in clients)
            memory = memory_bytes(process.pid) - empty
            for client in clients:
                if client.transport is not None:
                    client.transport.abort()
            return [
                Figure("list.watchers", size, "1", "calm"),
                Figure("list.events", (lines - beats) / took, "1/s"),
                Figure("list.beats", beats / took, "1/s"),
                Figure("list.bytes", told / took, "B/s"),
                Figure("list.cpu", cpu / took, "core"),
                Figure("list.memory", memory, "B"),
            ]
        finally:
            await asyncio.gather(*(bed.end(process) for process in bed.processes))


async def _until_lines(clients: list[Client]) -> None:
    limit = time.monotonic() + 30
    while any(not client.lines for client in clients):
        if time.monotonic() > limit:
            raise OSError("streams under test did not begin within 30 s")
        await asyncio.sleep(0.05)


def _list_port(site: Path) -> int:
    return load(site).listing.address[1]


async def _server(size: int) -> list[Figure]:
    """One media server, as we load it: so many fronts follow its notes; some probes."""
    with tempfile.TemporaryDirectory(prefix="ponddoor-measure-") as folder:
        bed = _Unbound(Path(folder), 1)
        try:
            await bed.start()
            process, port = bed.processes[1], bed.ports[0]
            empty = memory_bytes(process.pid)
            begun = cpu_seconds(process.pid)
            clients = await connected(port, size)
            for number, client in enumerate(clients):
                client.ask(f"/notes?front={number}&epoch=1")
            await _until_lines(clients)
            came = cpu_seconds(process.pid) - begun
            for client in clients:
                client.count_anew()
            before, at = cpu_seconds(process.pid), time.monotonic()
            await asyncio.sleep(SECONDS / 2)
            took, cpu = time.monotonic() - at, cpu_seconds(process.pid) - before
            beats, told = sum(c.beats for c in clients), sum(c.bytes for c in clients)
            memory = memory_bytes(process.pid) - empty
            for client in clients:
                if client.transport is not None:
                    client.transport.abort()
            return [
                Figure("server.connections", size, "1"),
                Figure("server.signs", beats / took, "1/s"),
                Figure("server.bytes", told / took, "B/s"),
                Figure("server.cpu", cpu / took, "core"),
                Figure("server.coming", came / size, "s"),
                Figure("server.memory", memory, "B"),
            ]
        finally:
            await asyncio.gather(*(bed.end(process) for process in bed.processes))


async def _boxes(size: int) -> list[Figure]:
    """One front that hears so many media servers, and nobody watches: what that alone takes."""
    with tempfile.TemporaryDirectory(prefix="ponddoor-measure-") as folder:
        bed, boxes = _Unbound(Path(folder), 0), list[MediaServer]()
        listing, bed.viewers, said, bed.metrics = free_ports(4)
        bed.site.write_text(SITE.format(servers=size, link=1e4, uplink=1e7, list=listing, viewers=bed.viewers,
                                        words=said, metrics=bed.metrics))  # fmt: skip
        site = load(bed.site)
        try:
            await bed.spawn(None, "standin", "list", "--site", str(bed.site))
            await bed.until(listing, "/servers", b"version")
            for number in range(size):
                entry = Entry(number + 1, "127.0.0.1:0", "here", "box", number, "ready", 1.0)
                box = MediaServer(site, entry, Recorder(None, "box"), 1, True)
                await box.start()
                boxes.append(box)
            bed.servers = size  # the front is up when it knows the last of them
            front = await bed.front()
            limit = time.monotonic() + 30
            while sum(bool(box.notes) for box in boxes) < size:
                if time.monotonic() > limit:
                    raise OSError(f"the front under test did not come to all of {size} servers within 30 s")
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            before, at = cpu_seconds(front.pid), time.monotonic()
            await asyncio.sleep(SECONDS / 2)
            took, cpu = time.monotonic() - at, cpu_seconds(front.pid) - before
            sockets = sum(os.readlink(one).startswith("socket:") for one in _files(front.pid))
            return [
                Figure("front.connections", sockets, "1"),
                Figure("front.cpu", cpu / took, "core"),
                Figure("front.memory", memory_bytes(front.pid), "B"),
            ]
        finally:
            await asyncio.gather(*(box.close() for box in boxes))
            await asyncio.gather(*(bed.end(process) for process in bed.processes))


def _files(pid: int) -> list[Path]:
    return [one for one in Path(f"/proc/{pid}/fd").iterdir() if one.is_symlink()]


def _run(work: Coroutine[Any, Any, list[Figure]]) -> list[Figure]:
    with contextlib.suppress(msgspec.MsgspecError):
        return asyncio.run(work)
    return []


def viewers(size: int, under: str, seed: int) -> list[Figure]:
    return _run(_viewers(size, under))


def watchers(size: int, under: str, seed: int) -> list[Figure]:
    return _run(_list(size))


def signs(size: int, under: str, seed: int) -> list[Figure]:
    return _run(_server(size))


def boxes(size: int, under: str, seed: int) -> list[Figure]:
    return _run(_boxes(size))


MEASUREMENTS = {
    "boxes": Measurement(
        "servers", (5, 10, 20, 40, 80), ("held",), "sockets", boxes, 500, 2_000_000, descriptors=10
    ),
    "viewers": Measurement(
        "connections",
        (1000, 3000, 6000, 12_000, 18_000),
        ("idle", "delivering", "following"),
        "sockets",
        viewers,
        20_000,
        100_000,
        descriptors=1,
    ),
    "watchers": Measurement(
        "fronts", (20, 50, 100, 200, 400, 820), ("roll",), "sockets", watchers, 5000, 200_000, descriptors=1
    ),
    "signs": Measurement(
        "fronts", (20, 50, 100, 200, 400, 820), ("held",), "sockets", signs, 5000, 200_000, descriptors=1
    ),
}
