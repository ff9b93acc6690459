"""What the cases 6, 7 and 9 share: a folder, processes of the project's own programs, a server list, a relay.

Every address is one of the loopback range, every port a free one. What passes is written to `record.txt` of
the case. The server list and the relay are small stand-ins: the list follows "Server list" of
docs/protocol.md, the relay passes bytes on unchanged but for what a case asks of it. Only the standard
library is used here."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PYTHON = str(ROOT / ".venv" / "bin" / "python")
HOST = "127.0.0.1"
HELD, CANNOT, BROKEN = 0, 2, 3  # how a check ends; run.sh ends with 1 where the rule was broken
KEY = "5d2f6a0c91b84e37a1c0d9f2e4b65870"
ABORT = struct.pack("ii", 1, 0)


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing of the rule."""


def free_ports(count: int) -> list[int]:
    """Free ports, all different; TCP and UDP."""
    held: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            tcp = socket.socket()
            held.append(tcp)
            tcp.bind((HOST, 0))
            port = int(tcp.getsockname()[1])
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            held.append(udp)
            with contextlib.suppress(OSError):
                udp.bind((HOST, port))
                ports.append(port)
    finally:
        for one in held:
            one.close()
    return ports


@dataclass(frozen=True)
class Answer:
    """An HTTP answer; status 0 if none came."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: dict[str, Any] = field(default_factory=dict)
    why: str = ""


async def call(
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    within: float = 6.0,
) -> Answer:
    """One request on a connection of its own."""
    data = b"" if body is None else json.dumps(body).encode()
    head = {"Host": f"{HOST}:{port}", "Connection": "close", **(headers or {})}
    if data:
        head |= {"Content-Type": "application/json", "Content-Length": str(len(data))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
    writer = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + data)
            await writer.drain()
            raw = await reader.read(-1)
    except (OSError, TimeoutError) as problem:
        return Answer(0, why=type(problem).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()
    if not raw:
        return Answer(0, why="closed without an answer")
    top, _, rest = raw.partition(b"\r\n\r\n")
    first, *fields = top.decode("latin-1").split("\r\n")
    named = {name.strip().lower(): value.strip() for name, _, value in (one.partition(":") for one in fields)}
    try:
        got = json.loads(rest) if rest else {}
    except ValueError:
        got = {}
    return Answer(int(first.split()[1]), named, got if isinstance(got, dict) else {"value": got})


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, bytes] | None:
    """Method, target and body of the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        method, target, _ = head.decode("latin-1").split("\r\n")[0].split(" ")
        length = 0
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        return method, target, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


class ServerList:
    """The server list: the same servers all the time, told whole to whoever watches, then a beat a second."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = entries
        self.server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)

    def _message(self, beat: bool) -> bytes:
        told = {"list_id": "review", "version": 1, "servers": [] if beat else self.entries, "beat": beat}
        return json.dumps(told).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (got := await read_request(reader)) is not None:
                method, target, _ = got
                if target.startswith("/watch"):
                    await self._stream(writer, "version=1" in target and "list=review" in target)
                    return
                body = b'{"others": 0.0}' if method == "POST" else self._message(False)
                kind = b"Content-Type: application/json\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (kind, len(body), body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _stream(self, writer: asyncio.StreamWriter, known: bool) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        line = self._message(known)
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(1)
            line = self._message(True)


class Relay:
    """Passes connections on to one port. `held_back` may hold bytes of the far end back for some seconds, by
    the first bytes that the near end sent on that connection; each time it is asked for one piece. `altered`
    may change such bytes, but not their number."""

    def __init__(self, to: int) -> None:
        self.to = to
        self.port = 0
        self.held_back: Callable[[bytes], float] = lambda first: 0.0
        self.altered: Callable[[bytes, bytes], bytes] = lambda first, data: data
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.resets_left = 0  # so many new connections are reset once their first bytes have come
        self._listener: socket.socket | None = None

    async def start(self) -> int:
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen(64)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        self._spawn(self._accept())
        return self.port

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._listener is not None
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            self._spawn(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.append(writer)
        if self.resets_left:
            self.resets_left -= 1
            await reader.read(1)
            _reset(writer)
            return
        try:
            there, back = await asyncio.open_connection(HOST, self.to)
        except OSError:
            writer.transport.abort()
            return
        self.writers.append(back)
        first = bytearray()
        ways = [
            asyncio.ensure_future(self._pump(reader, back, first, False)),
            asyncio.ensure_future(self._pump(there, writer, first, True)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            writer.close()
            back.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytearray, answers: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not answers and len(first) < 200:
                    first += data
                if answers and (wait := self.held_back(bytes(first))) > 0:
                    await asyncio.sleep(wait)
                if answers:
                    data = self.altered(bytes(first), data)
                writer.write(data)
                await writer.drain()

    def reset(self) -> int:
        """Reset every connection at once; returns how many were open."""
        count = 0
        for writer in self.writers:
            if not writer.transport.is_closing():
                count += 1
                _reset(writer)
        self.writers.clear()
        return count

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self.reset()
        if self._listener is not None:
            self._listener.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, not with an orderly end."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    writer.transport.abort()


class Case:
    """One run of one case: a temporary folder, processes, and the record."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.processes: list[asyncio.subprocess.Process] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.note("begin", trouble=self.trouble)

    def note(self, what: str, /, **fields: object) -> None:
        """A line of the record: seconds since the begin, what, and its fields."""
        told = " ".join(f"{name}={value!r}" for name, value in fields.items())
        self.record.write(f"{time.monotonic() - self.began:8.3f} {what} {told}\n")
        self.record.flush()

    async def program(self, name: str, *words: str) -> asyncio.subprocess.Process:
        """One of the project's own programs, as a process of its own; its log goes to the case's folder."""
        log = (self.folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            PYTHON, "-m", "ponddoor.cli", *words, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.note("started", program=name, words=" ".join(words))
        return process

    async def front(self, site: Path, me: int) -> asyncio.subprocess.Process:
        words = (
            "front",
            "--site",
            str(site),
            "--me",
            str(me),
            "--kept",
            str(self.folder / f"front-{me}.list"),
        )
        return await self.program(f"front-{me}", *words)

    async def media(
        self, site: Path, number: int, port: int, work_ms: float = 0.0
    ) -> asyncio.subprocess.Process:
        """A media server of the project's own stand-ins, that has run for long."""
        words = ["standin", "media", "--site", str(site), "--number", str(number), "--port", str(port)]
        words += ["--zone", "north", "--kind", "two-core", "--cell", "0", "--warm"]
        words += ["--record", str(self.folder / f"media-{number}.records")]
        words += ["--work-ms", str(work_ms)] if work_ms else []
        return await self.program(f"media-{number}", *words)

    async def asked(self, port: int, method: str, path: str, body: object = None, **more: Any) -> Answer:
        """A request of a client, with its answer, both in the record."""
        answer = await call(port, method, path, body, **more)
        self.note("request", port=port, method=method, path=path, sent=body)
        self.note("answer", port=port, path=path, status=answer.status, got=answer.body, why=answer.why)
        return answer

    async def until(self, what: str, ready: Callable[[], Awaitable[bool]], within: float = 20.0) -> None:
        """Wait for a step of the set-up. Raises CannotRunError."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await ready():
                self.note("ready", what=what)
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{what}: not within {within:g} s")

    def spawn(self, work: Awaitable[None]) -> None:
        self.tasks.append(asyncio.ensure_future(work))

    async def end_processes(self) -> None:
        """End all that was started, by its id."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()

    def close(self) -> None:
        """Add the programs' logs to the record and remove the folder."""
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                self.record.write(f"log {log.stem}: {line[:400]}\n")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Player:
    """A player: attached to a media server's stream of one session until it ends."""

    def __init__(self, case: Case, server: str, sess: str) -> None:
        self.case, self.sess, self.port = case, sess, int(server.rpartition(":")[2])
        self.lines, self.over, self.last = 0, "", 0.0
        case.spawn(self._play())

    @property
    def plays(self) -> bool:
        """Whether media came within the last two seconds and the stream has not ended."""
        return not self.over and time.monotonic() - self.last < 2

    async def _play(self) -> None:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(f"GET /play/{self.sess} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            while line := await reader.readline():
                if b'"over"' in line:
                    self.over = "told that it is over"
                    break
                if b'"share"' in line:
                    self.lines, self.last = self.lines + 1, time.monotonic()
            self.over = self.over or "connection ended"
        except OSError as problem:
            self.over = type(problem).__name__
        finally:
            if writer is not None:
                writer.transport.abort()
        self.case.note("player-ended", sess=self.sess, why=self.over)


def site_text(list_port: int, fronts: list[tuple[int, int, int]], more: str = "") -> str:
    """A site file like examples/seats.pond, with one zone. `fronts`: ports for viewers, words, metrics."""
    places = "\n".join(
        f'    (front {number} (viewers "{HOST}:{v}") (words "{HOST}:{w}") (metrics "{HOST}:{m}"))'
        for number, (v, w, m) in enumerate(fronts)
    )
    return f"""(site review
  (zones north)
  (kinds (kind two-core (streams 30)))
  (groups (group training (start-target 1s) (setup-timeout 5s) (utility 1)))
  (ladder
    (rung (rate 230kB/s) (utility 0.2)) (rung (rate 400kB/s) (utility 0.4))
    (rung (rate 700kB/s) (utility 0.6))
    (rung (rate 1200kB/s) (utility 0.8)) (rung (rate 2MB/s) (utility 1))
    (switch-cost 600ms) (shortfall-cost 6))
  (plant (cells 1) (racks 1) (link-per-weight 3.5MB/s) (uplink 40MB/s))
  (rules (cold 10s) (cold-from 0.4) (drain-grace 500ms) (fall-multiple 2.5) (fall 1s) (answer-grace 40ms))
  (permissions (messages yes) (max-setups 3) (come-back 500ms) (connect-timeout 250ms))
  (reporting (how inline) (fields util))
  (titles (unlisted everywhere))
  (list (mode push) (address "{HOST}:{list_port}") (retry 500ms) (silence 3s))
  (fronts
{places})
  {more}
  (words (key "{KEY}"))
  (limits (in-hand 500) (held 5000) (loop-lag 250ms)))
"""


def entry(number: int, port: int) -> dict[str, Any]:
    """A server as the list names it: two cores, started long ago."""
    return {
        "server": number, "address": f"{HOST}:{port}", "zone": "north", "kind": "two-core", "cell": 0,
        "state": "ready", "weight": 2.0, "started_us": 0,
    }  # fmt: skip


def run(folder: Path, work: Callable[[Case], Awaitable[tuple[int, str]]], within: float = 110.0) -> None:
    """Run a case and end with its status: 0 the rule held, 3 it was broken, 2 the case could not run."""

    async def whole() -> int:
        case = Case(folder)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(within):
                code, told = await work(case)
        except (
            Exception,
            asyncio.CancelledError,
        ) as problem:  # whatever it was: the processes are ended, and nothing is said of the rule
            code, told = CANNOT, f"could not run: {type(problem).__name__}: {str(problem)[:500]}"
        finally:
            await case.end_processes()
        case.note("verdict", code=code, told=told)
        case.close()
        print(f"{folder.name}: {told} (status {code}, {time.monotonic() - case.began:.0f} s)")
        return code

    sys.exit(asyncio.run(whole()))
