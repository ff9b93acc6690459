"""Runs scenarios of one node on loopback against simulated viewers, media servers and notice boards.

A scenario has one step in each line: `SUBJECT VERB ARGUMENT ...`. `given` sets limits and timeouts before the
start. `node` is the node, names that begin with `v` or `w` are connections of viewers, with `b` notice
boards, and all others media servers. `s1` is server 1; a name without a number is bound, when it is used
first, to the first server without a name that has received a message. Sessions are small numbers.

`receives` expects the very next message. `receives nothing` sends a readiness test and expects its result to
be the next message."""

import asyncio
import contextlib
import json
import struct
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest

from ponddoor.front.pump import clock
from ponddoor.node import board as node_board
from ponddoor.node import process as node_process
from ponddoor.node import server_link as node_server_link
from ponddoor.node import viewers as node_viewers
from ponddoor.node.process import Node
from ponddoor.node.start import read_settings
from ponddoor.obligations import drain, lease
from ponddoor.rehearse.run import free_ports
from ponddoor.web.timing import within
from tests.test_simhost import FACTS

STEP_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_US = 50_000
PATCHED_LIMITS = {
    "board_silence_timeout_s": (node_board, "SILENCE_TIMEOUT_S"),
    "lease_us": (lease, "LEASE_DURATION_US"),
    "sign_of_life_after_us": (lease, "SIGN_OF_LIFE_AFTER_US"),
    "address_reuse_timeout_us": (node_server_link, "ADDRESS_REUSE_TIMEOUT_US"),
    "silent_connection_timeout_us": (node_viewers, "SILENT_CONNECTION_TIMEOUT_US"),
    "partial_message_timeout_us": (node_viewers, "PARTIAL_MESSAGE_TIMEOUT_US"),
    "partial_line_timeout_us": (node_server_link, "PARTIAL_LINE_TIMEOUT_US"),
    "forward_for_us": (drain, "FORWARDING_DURATION_US"),
    "tick_interval_us": (node_process, "TICK_INTERVAL_US"),
    "reserved_descriptors": (node_process, "RESERVED_DESCRIPTORS"),
    "viewer_share_divisor": (node_process, "VIEWER_SHARE_DIVISOR"),
}
MESSAGE_TYPES = {9: "playing", 12: "release", 51: "moved", 53: "test-result"}
CAUSES = {"busy": 34, "failed": 47, "lost": 41, "ended": 16}
MALFORMED_LINES = {
    "noise": b"\x00\xff{noise\n",
    "endless": b"x" * 20_000,
    "half": b'{"t":"up","ref":"0000',
    "wrong-id": b'{"t":"up","ref":"1","f":{},"d":"x"}\n',
    "no-cause": b'{"t":"down","ref":"%016x","f":{}}\n',
}


def session_id(number: str) -> str:
    return f"{0xABC000 + int(number):016x}"


def encode_parameter(code: int, value: bytes) -> bytes:
    return struct.pack(">BH", code, len(value)) + value


def encode_message(kind: int, number: str, *parameters: bytes) -> bytes:
    body = b"".join(parameters)
    return struct.pack(">HBQ", 9 + len(body), kind, int(session_id(number), 16)) + body


def setup_request(number: str, **changes: str) -> bytes:
    fields = {
        "group": "talks",
        "wait": "3000",
        "title": "7f3a9c21e0b4d655",
        "home": "0",
        "copies": "4",
        "top": "2",
        "description": f"of {number}\r\n",
        **changes,
    }
    attributes = ";".join(
        f"{name}:{fields[name]}" for name in ("home", "copies", "top", "at") if name in fields
    )
    parameters = {
        129: fields["group"],
        130: fields["wait"],
        133: fields["title"],
        134: attributes,
        144: fields["description"],
    }
    return encode_message(
        1, number, *(encode_parameter(code, text.encode()) for code, text in parameters.items())
    )


class Connection:
    """The remote end of a connection of the node. Queues the messages received, and None at the end."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, binary: bool) -> None:
        self.writer, self.received = writer, asyncio.Queue[Any]()
        self.read_task = asyncio.create_task(self._read(reader, binary))

    async def _read(self, reader: asyncio.StreamReader, binary: bool) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                if binary:
                    size = int.from_bytes(await reader.readexactly(2))
                    await self.received.put(await reader.readexactly(size))
                else:
                    await self.received.put(json.loads(await reader.readuntil(b"\n")))
        await self.received.put(None)

    def abort(self) -> None:
        self.writer.transport.abort()


class MediaServer:
    """A media server. Messages received on any of its connections are queued, except for heartbeats."""

    def __init__(self) -> None:
        self.received, self.connections, self.listening = asyncio.Queue[Any](), list[Connection](), True
        self.listener: asyncio.Server | None = None
        self.ignores_heartbeats, self.heartbeats_answered = False, 0

    async def start(self, port: int) -> None:
        self.listener = await asyncio.start_server(self._accept, "127.0.0.1", port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer, False)
        self.connections.append(connection)
        while (message := await connection.received.get()) is not None:
            if message["t"] == "hb" and not self.ignores_heartbeats:
                self.heartbeats_answered += 1
                load = {"load": "x0:0.1"} if message["c"] else {}
                self.write({"t": "hb_ok", "ref": message["ref"], "f": load, "c": 1}, connection)
            elif message["t"] != "hb":
                await self.received.put((connection, message))

    def write(self, row: dict[str, Any] | bytes, connection: Connection | None = None) -> None:
        (connection or self.connections[-1]).writer.write(
            row if isinstance(row, bytes) else json.dumps(row).encode() + b"\n"
        )


class Harness:
    """One node and everything that it communicates with."""

    def __init__(self, directory: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.directory, self.monkeypatch = directory, monkeypatch
        self.platform_settings = deepcopy(FACTS) | {"localities": ["north"], "skus": ["box"]}
        self.media_servers: dict[int, MediaServer] = {}
        self.servers_by_name: dict[str, MediaServer] = {}
        self.viewers: dict[str, Connection] = {}
        self.boards: dict[str, tuple[asyncio.Server, asyncio.Queue[Connection]]] = {}
        self.board_connections: dict[str, Connection] = {}
        self.last, self.server_count, self.socket_limit, self.started = 1, 2, 256, False
        self.path = directory / "node.json"

    # Start and end

    def given(self, *words: str) -> None:
        for name, _, value in (word.partition("=") for word in words):
            if name in PATCHED_LIMITS:
                self.monkeypatch.setattr(*PATCHED_LIMITS[name], json.loads(value))
            elif name in ("server_count", "socket_limit"):
                setattr(self, name, int(value))
            else:
                self.platform_settings["permissions"][name] = json.loads(value)

    def list_row(self, number: int, state: str = "in_service", started_at: float = 0) -> dict[str, Any]:
        return {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{self.ports[number]}",
            "locality": "north",
            "flavor": "box",
            "cell": number % 4,
            "phase": state,
            "size": 20,
            "up_since_ms": started_at,
        }

    def write_settings(self, board: str) -> None:
        server = self.boards[board][0]
        rows = [self.list_row(number) for number in range(1, self.server_count + 1)]
        pool = {"revision": 1, "complete": True, "members": rows}
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.ports[0]}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.socket_limit},
                    "board": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
                    "settings": self.platform_settings,
                    "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
                }
            )
        )

    async def start(self) -> None:
        self.ports = free_ports(self.server_count + 4)
        for number in range(1, self.server_count + 1):
            await self.start_server(number)
        await self.start_board("b")
        self.write_settings("b")
        self.node = Node(read_settings(self.path))
        self.run_task = asyncio.create_task(self.node.run(self.path))
        self.started = True
        while not self.node.viewers.ready:
            assert not self.run_task.done()
            await asyncio.sleep(0)

    async def start_server(self, number: int) -> None:
        server = self.media_servers[number] = MediaServer()
        await server.start(self.ports[number])

    async def start_board(self, name: str) -> None:
        accepted: asyncio.Queue[Connection] = asyncio.Queue()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first_line = await reader.readline()
            connection = Connection(reader, writer, False)
            connection.first_line = first_line.decode().strip()  # type: ignore[attr-defined]
            await accepted.put(connection)

        self.boards[name] = await asyncio.start_server(accept, "127.0.0.1", 0), accepted

    async def end(self) -> None:
        self.run_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.run_task
        for connection in [
            *self.viewers.values(),
            *(c for server in self.media_servers.values() for c in server.connections),
        ]:
            connection.abort()
            connection.read_task.cancel()
        await self.node.servers.close(clock() + CLOSE_TIMEOUT_US)
        self.node.discovery.close()
        self.node.gossip.close()
        self.node.pump.close()
        await self.node.viewers.close(clock() + CLOSE_TIMEOUT_US)
        assert not self.node.viewers.sessions.violations.counts

    # Steps

    async def play(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            try:
                if words:
                    await within(STEP_TIMEOUT_S, self.step(*words))
            except (AssertionError, TimeoutError) as problem:
                raise AssertionError(f"line {number}: {line}: {problem!r}") from None

    async def step(self, subject: str, verb: str, *arguments: str) -> None:
        if subject == "given":
            self.given(verb, *arguments)
            return
        if not self.started:
            await self.start()
        if subject == "node":
            await self.node_step(verb, *arguments)
        elif subject[0] in "vw":
            await self.viewer_step(subject, verb, *arguments)
        elif subject[0] == "b":
            await self.board_step(subject, verb, *arguments)
        else:
            await self.server_step(subject, verb, *arguments)

    async def node_step(self, verb: str, *arguments: str) -> None:
        match verb:
            case "reloads":
                if arguments[0] == "nonsense":
                    self.path.write_text("{")
                else:
                    await self.start_board(arguments[0])
                    self.write_settings(arguments[0])
                self.node.reload(self.path)
            case "begins-shutdown":
                self.node.begin_shutdown()
            case "exits":
                await self.run_task
            case "holds":
                expected = dict(word.split("=") for word in arguments)
                while any(str(self.state()[name]) != value for name, value in expected.items()):
                    await asyncio.sleep(0.01)

    def state(self) -> dict[str, int]:
        node = self.node
        return {
            "sessions": node.engine.sessions_held,
            "in_hand": node.engine.requests_in_hand,
            "servers": len(node.servers.links),
            "viewers": len(node.viewers.connections),
            "listed": len(node.discovery.roster.entries),
            "version": node.discovery.roster.version,
            "standing": node.viewers.sessions.standing_count,
            "open_requests": len(node.viewers.sessions.open_requests()),
        }

    async def viewer_step(self, subject: str, verb: str, *arguments: str) -> None:
        if subject not in self.viewers:
            self.viewers[subject] = Connection(
                *await asyncio.open_connection("127.0.0.1", self.ports[0]), True
            )
        connection = self.viewers[subject]
        match verb, arguments:
            case "opens", _:
                pass
            case "requests", (number, *changes):
                connection.writer.write(setup_request(number, **dict(word.split("=") for word in changes)))
            case "requests-escaped", (number,):
                connection.writer.write(setup_request(number, description="\x01" * 8000))
            case "requests-all", (first, last):
                connection.writer.write(
                    b"".join(setup_request(str(n)) for n in range(int(first), int(last) + 1))
                )
            case "withdraws-all", (first, last):
                rows = (
                    encode_message(12, str(n), encode_parameter(143, b"\x10"))
                    for n in range(int(first), int(last) + 1)
                )
                connection.writer.write(b"".join(rows))
            case "releases" | "withdraws", (number,):
                cause = b"\x1f" if verb == "releases" else b"\x10"
                connection.writer.write(encode_message(12, number, encode_parameter(143, cause)))
            case "acknowledges", (number,):
                connection.writer.write(encode_message(16, number))
            case "sends", (text,):
                connection.writer.write(bytes.fromhex(text))
            case "floods", (size,):
                connection.writer.write(b"\xff" * int(size))
            case "closes", ():
                connection.writer.close()
            case "receives", ("nothing",):
                connection.writer.write(encode_message(52, "0", encode_parameter(143, b"\0")))
                await self.expect(connection, "test-result", "0")
            case "tests-then-receives", (word, number):
                connection.writer.write(encode_message(52, "0", encode_parameter(143, b"\0")))
                await self.expect(connection, "test-result", "0")
                await self.expect(connection, word, number)
            case "receives", (word, *number):
                await self.expect(connection, word, *number)
            case _:
                raise ValueError(verb)

    async def expect(self, connection: Connection, word: str, number: str = "", *_: str) -> None:
        message = await connection.received.get()
        if word == "close":
            assert message is None, message
            return
        assert message is not None, "closed"
        kind, rest = message[0], message[9:]
        parameters = dict[int, bytes]()
        while rest:
            code, size = struct.unpack_from(">BH", rest)
            parameters[code], rest = rest[3 : 3 + size], rest[3 + size :]
        cause = parameters.get(143, b"\xff")[0]
        actual = MESSAGE_TYPES[kind] if kind != 12 else next(w for w, c in CAUSES.items() if c == cause)
        assert (actual, message[1:9].hex()) == (word, session_id(number)), (
            actual,
            message[1:9].hex(),
        )
        if actual == "playing":
            assert parameters[144] == f"for {number}\r\n\u00e9".encode()
        if actual == "busy":
            assert 0 < int(parameters[135]) <= 500

    async def server_step(self, subject: str, verb: str, *arguments: str) -> None:
        if verb == "receives":
            server, (connection, message) = await self.next_message(subject)
            kind, number, *fields = arguments
            assert (message["t"], message["ref"]) == (kind, session_id(number)), message
            if kind == "new":
                assert (message["d"], message["f"]["key"]) == (
                    f"of {number}\r\n",
                    "7f3a9c21e0b4d655",
                ), message
                assert 0 < int(message["f"]["left"]) <= 3000 and set(message["f"]) == {
                    "class",
                    "left",
                    "key",
                    "rung",
                }
            for word in fields:
                name, _, value = word.partition("=")
                assert str(message["c"] if name == "c" else message["f"][name]) == value, message
            return
        server = (
            self.media_servers[int(subject[1:])] if subject[1:].isdigit() else self.servers_by_name[subject]
        )
        match verb, arguments:
            case "answers", (number,):
                server.write({"t": "up", "ref": session_id(number), "f": {}, "d": f"for {number}\r\n\u00e9"})
            case "ends", (number, cause):
                server.write(
                    {"t": "down", "ref": session_id(number), "f": {"load": "x0:0.9"}, "c": int(cause)}
                )
            case "notes", (number, note, value):
                server.write({"t": "tell", "ref": session_id(number), "f": {"note": note, "value": value}})
            case "sends-malformed", (line,):
                server.write(MALFORMED_LINES[line])
            case "drops-connections", ():
                for connection in server.connections:
                    connection.abort()
            case "stops", ():
                assert server.listener is not None
                server.listener.close()
                for connection in server.connections:
                    connection.abort()
            case "answers-heartbeats", (count,):
                expected_count = server.heartbeats_answered + int(count)
                while server.heartbeats_answered < expected_count:
                    await asyncio.sleep(0.001)
            case "is-connected", ():
                while not server.connections:
                    await asyncio.sleep(0.001)
            case "ignores-heartbeats", ():
                server.ignores_heartbeats = True
            case _:
                raise ValueError(verb)

    async def next_message(self, subject: str) -> tuple[MediaServer, Any]:
        """Return the next message at a server. A new name is bound to the first unnamed server with one."""
        if subject in self.servers_by_name:
            return self.servers_by_name[subject], await self.servers_by_name[subject].received.get()
        unnamed = [
            server for server in self.media_servers.values() if server not in self.servers_by_name.values()
        ]
        while True:
            for server in unnamed:
                if not server.received.empty():
                    self.servers_by_name[subject] = server
                    return server, server.received.get_nowait()
            await asyncio.sleep(0.001)

    async def board_step(self, subject: str, verb: str, *arguments: str) -> None:
        match verb, arguments:
            case "is-watched", (last,):
                connection = self.board_connections[subject] = await self.boards[subject][1].get()
                assert connection.first_line == f"watch {last}", connection.first_line  # type: ignore[attr-defined]
            case "sends-change", (rev, number, state, *started_at):
                rows = [self.list_row(int(number), state, float(started_at[0]) if started_at else 0)]
                pool = {"revision": int(rev), "complete": False, "members": rows}
                self.board_connections[subject].writer.write(
                    json.dumps({"rev": int(rev), "pool": pool}).encode() + b"\n"
                )
            case "sends-revision", (rev,):
                self.board_connections[subject].writer.write(rev.encode() + b"\n")
            case "sends-and-closes", (text,):
                self.board_connections[subject].writer.write(text.encode())
                self.board_connections[subject].writer.close()


@pytest.fixture
def play_node(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[str], None]:
    """Returns a function that runs one scenario."""

    def play(text: str) -> None:
        async def run() -> None:
            harness = Harness(tmp_path, monkeypatch)
            try:
                await harness.play(text)
            finally:
                if harness.started:
                    await harness.end()

        asyncio.run(run())

    return play
