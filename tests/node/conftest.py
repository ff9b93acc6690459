"""One node on loopback under a scenario: viewers, servers and the notice board are played line by line.

A line is `WHO DOES WHAT ...`. Sessions are small numbers; `v` and `w` name viewers' connections, `b` the
board, every other letter a server, bound to the first one that a line finds it at. `hears` and `gets` wait
for the very next message; `hears nothing` asks for a test and expects its answer next."""

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

PATIENCE = 5.0
SOON = 50_000  # us
TIMES = {
    "silence": (node_board, "SILENCE_TIMEOUT_S"),
    "gone": (lease, "SILENT_LIMIT"),
    "quiet": (lease, "SIGN_OF_LIFE_AFTER"),
    "taken": (node_server_link, "ADDRESS_REUSE_TIMEOUT_US"),
    "silent": (node_viewers, "SILENT_CONNECTION_TIMEOUT_US"),
    "half": (node_viewers, "PARTIAL_MESSAGE_TIMEOUT_US"),
    "half_a_line": (node_server_link, "PARTIAL_LINE_TIMEOUT_US"),
    "last": (drain, "FORWARD_FOR"),
    "look": (node_process, "TICK_INTERVAL_US"),
    "spare": (node_process, "RESERVED_DESCRIPTORS"),
    "share": (node_process, "VIEWER_SHARE_DIVISOR"),
}
BINARY = {9: "stands", 12: "ends", 51: "moved", 53: "tested"}
CAUSES = {"busy": 34, "failed": 47, "lost": 41, "over": 16}
SPOILT = {
    "noise": b"\x00\xff{noise\n",
    "endless": b"x" * 20_000,
    "half": b'{"t":"up","ref":"0000',
    "wrong-id": b'{"t":"up","ref":"1","f":{},"d":"x"}\n',
    "no-cause": b'{"t":"down","ref":"%016x","f":{}}\n',
}


def sess(number: str) -> str:
    return f"{0xABC000 + int(number):016x}"


def parameter(code: int, value: bytes) -> bytes:
    return struct.pack(">BH", code, len(value)) + value


def message(kind: int, number: str, *parameters: bytes) -> bytes:
    body = b"".join(parameters)
    return struct.pack(">HBQ", 9 + len(body), kind, int(sess(number), 16)) + body


def set_up(number: str, **other: str) -> bytes:
    told = {
        "group": "talks",
        "wait": "3000",
        "title": "7f3a9c21e0b4d655",
        "home": "0",
        "copies": "4",
        "top": "2",
        "say": f"of {number}\r\n",
        **other,
    }
    more = ";".join(f"{k}:{told[k]}" for k in ("home", "copies", "top", "at") if k in told)
    codes = {129: told["group"], 130: told["wait"], 133: told["title"], 134: more, 144: told["say"]}
    return message(1, number, *(parameter(code, text.encode()) for code, text in codes.items()))


class Talk:
    """One connection: whole messages come into a queue, None at its end."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, binary: bool) -> None:
        self.writer, self.came = writer, asyncio.Queue[Any]()
        self.task = asyncio.create_task(self._read(reader, binary))

    async def _read(self, reader: asyncio.StreamReader, binary: bool) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                if binary:
                    size = int.from_bytes(await reader.readexactly(2))
                    await self.came.put(await reader.readexactly(size))
                else:
                    await self.came.put(json.loads(await reader.readuntil(b"\n")))
        await self.came.put(None)

    def end(self) -> None:
        self.writer.transport.abort()


class Box:
    """A server: what comes on any of its connections is in one queue."""

    def __init__(self) -> None:
        self.came, self.talks, self.listening = asyncio.Queue[Any](), list[Talk](), True
        self.server: asyncio.Server | None = None
        self.dumb, self.signs = False, 0

    async def start(self, port: int) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        talk = Talk(reader, writer, False)
        self.talks.append(talk)
        while (got := await talk.came.get()) is not None:
            if got["t"] == "hb" and not self.dumb:
                self.signs += 1
                load = {"load": "x0:0.1"} if got["c"] else {}
                self.write({"t": "hb_ok", "ref": got["ref"], "f": load, "c": 1}, talk)
            elif got["t"] != "hb":
                await self.came.put((talk, got))

    def write(self, row: dict[str, Any] | bytes, talk: Talk | None = None) -> None:
        (talk or self.talks[-1]).writer.write(
            row if isinstance(row, bytes) else json.dumps(row).encode() + b"\n"
        )


class World:
    def __init__(self, folder: Path, patch: pytest.MonkeyPatch) -> None:
        self.folder, self.patch = folder, patch
        self.facts = deepcopy(FACTS) | {"localities": ["north"], "skus": ["box"]}
        self.boxes: dict[int, Box] = {}
        self.named: dict[str, Box] = {}
        self.talks: dict[str, Talk] = {}
        self.boards: dict[str, tuple[asyncio.Server, asyncio.Queue[Talk]]] = {}
        self.watching: dict[str, Talk] = {}
        self.last, self.servers, self.sockets, self.started = 1, 2, 256, False
        self.path = folder / "node.json"

    # The start

    def given(self, *words: str) -> None:
        for name, _, value in (word.partition("=") for word in words):
            if name in TIMES:
                self.patch.setattr(*TIMES[name], json.loads(value))
            elif name in ("servers", "sockets"):
                setattr(self, name, int(value))
            else:
                self.facts["permissions"][name] = json.loads(value)

    def row(self, number: int, state: str = "in_service", up: float = 0) -> dict[str, Any]:
        return {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{self.ports[number]}",
            "locality": "north",
            "flavor": "box",
            "cell": number % 4,
            "phase": state,
            "size": 20,
            "up_since_ms": up,
        }

    def write_file(self, board: str) -> None:
        server = self.boards[board][0]
        rows = [self.row(number) for number in range(1, self.servers + 1)]
        pool = {"revision": 1, "complete": True, "members": rows}
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.ports[0]}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                    "board": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
                    "settings": self.facts,
                    "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
                }
            )
        )

    async def begin(self) -> None:
        self.ports = free_ports(self.servers + 4)
        for number in range(1, self.servers + 1):
            await self.box(number)
        await self.board("b")
        self.write_file("b")
        self.node = Node(read_settings(self.path))
        self.task = asyncio.create_task(self.node.run(self.path))
        self.started = True
        while not self.node.viewers.ready:
            assert not self.task.done()
            await asyncio.sleep(0)

    async def box(self, number: int) -> None:
        box = self.boxes[number] = Box()
        await box.start(self.ports[number])

    async def board(self, name: str) -> None:
        came: asyncio.Queue[Talk] = asyncio.Queue()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first = await reader.readline()
            talk = Talk(reader, writer, False)
            talk.first = first.decode().strip()  # type: ignore[attr-defined]
            await came.put(talk)

        self.boards[name] = await asyncio.start_server(accept, "127.0.0.1", 0), came

    async def end(self) -> None:
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        for talk in [*self.talks.values(), *(t for box in self.boxes.values() for t in box.talks)]:
            talk.end()
            talk.task.cancel()
        await self.node.servers.close(clock() + SOON)
        self.node.discovery.close()
        self.node.gossip.close()
        self.node.pump.close()
        await self.node.viewers.close(clock() + SOON)
        assert not self.node.viewers.sessions.violations.counts

    # Steps

    async def play(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            try:
                if words:
                    await within(PATIENCE, self.step(*words))
            except (AssertionError, TimeoutError) as problem:
                raise AssertionError(f"line {number}: {line}: {problem!r}") from None

    async def step(self, who: str, does: str, *what: str) -> None:
        if who == "given":
            self.given(does, *what)
            return
        if not self.started:
            await self.begin()
        if who == "node":
            await self.node_does(does, *what)
        elif who[0] in "vw":
            await self.viewer(who, does, *what)
        elif who[0] == "b":
            await self.board_does(who, does, *what)
        else:
            await self.server(who, does, *what)

    async def node_does(self, does: str, *what: str) -> None:
        match does:
            case "reloads":
                if what[0] == "nonsense":
                    self.path.write_text("{")
                else:
                    await self.board(what[0])
                    self.write_file(what[0])
                self.node.reload(self.path)
            case "is-told-to-end":
                self.node.begin_shutdown()
            case "ends":
                await self.task
            case "holds":
                expected = dict(word.split("=") for word in what)
                while any(str(self.holds()[name]) != value for name, value in expected.items()):
                    await asyncio.sleep(0.01)

    def holds(self) -> dict[str, int]:
        node = self.node
        return {
            "sessions": node.engine.held,
            "waiting": node.engine.in_hand,
            "servers": len(node.servers.links),
            "viewers": len(node.viewers.connections),
            "listed": len(node.discovery.roster.entries),
            "version": node.discovery.roster.version,
            "standing": node.viewers.sessions.standing,
            "asked": len(node.viewers.sessions.open_requests()),
        }

    async def viewer(self, who: str, does: str, *what: str) -> None:
        if who not in self.talks:
            self.talks[who] = Talk(*await asyncio.open_connection("127.0.0.1", self.ports[0]), True)
        talk = self.talks[who]
        match does, what:
            case "opens", _:
                pass
            case "asks", (number, *other):
                talk.writer.write(set_up(number, **dict(word.split("=") for word in other)))
            case "asks-escaped", (number,):
                talk.writer.write(set_up(number, say="\x01" * 8000))
            case "asks-all", (first, last):
                talk.writer.write(b"".join(set_up(str(n)) for n in range(int(first), int(last) + 1)))
            case "gives-up-all", (first, last):
                rows = (
                    message(12, str(n), parameter(143, b"\x10")) for n in range(int(first), int(last) + 1)
                )
                talk.writer.write(b"".join(rows))
            case "releases" | "gives-up", (number,):
                cause = b"\x1f" if does == "releases" else b"\x10"
                talk.writer.write(message(12, number, parameter(143, cause)))
            case "sends", (text,):
                talk.writer.write(bytes.fromhex(text))
            case "pours", (size,):
                talk.writer.write(b"\xff" * int(size))
            case "closes", ():
                talk.writer.close()
            case "hears", ("nothing",):
                talk.writer.write(message(52, "0", parameter(143, b"\0")))
                await self.hears(talk, "tested", "0")
            case "tests-then-hears", (word, number):
                talk.writer.write(message(52, "0", parameter(143, b"\0")))
                await self.hears(talk, "tested", "0")
                await self.hears(talk, word, number)
            case "hears", (word, *number):
                await self.hears(talk, word, *number)
            case _:
                raise ValueError(does)

    async def hears(self, talk: Talk, word: str, number: str = "", *_: str) -> None:
        got = await talk.came.get()
        if word == "close":
            assert got is None, got
            return
        assert got is not None, "closed"
        kind, rest = got[0], got[9:]
        found = dict[int, bytes]()
        while rest:
            code, size = struct.unpack_from(">BH", rest)
            found[code], rest = rest[3 : 3 + size], rest[3 + size :]
        cause = found.get(143, b"\xff")[0]
        said = BINARY[kind] if kind != 12 else next(w for w, c in CAUSES.items() if c == cause)
        assert (said, got[1:9].hex()) == (word, sess(number)), (said, got[1:9].hex())
        if said == "stands":
            assert found[144] == f"for {number}\r\n\u00e9".encode()
        if said == "busy":
            assert 0 < int(found[135]) <= 500

    async def server(self, who: str, does: str, *what: str) -> None:
        if does in ("gets", "keeps"):
            box, (talk, got) = await self.find(who)
            kind, number, *more = what
            assert (got["t"], got["ref"]) == (kind, sess(number)), got
            if kind == "new":
                assert (got["d"], got["f"]["key"]) == (f"of {number}\r\n", "7f3a9c21e0b4d655"), got
                assert 0 < int(got["f"]["left"]) <= 3000 and set(got["f"]) == {"class", "left", "key", "rung"}
            for word in more:
                name, _, value = word.partition("=")
                assert str(got["c"] if name == "c" else got["f"][name]) == value, got
            return
        box = self.boxes[int(who[1:])] if who[1:].isdigit() else self.named[who]
        match does, what:
            case "answers", (number,):
                box.write({"t": "up", "ref": sess(number), "f": {}, "d": f"for {number}\r\n\u00e9"})
            case "ends", (number, cause):
                box.write({"t": "down", "ref": sess(number), "f": {"load": "x0:0.9"}, "c": int(cause)})
            case "notes", (number, note, value):
                box.write({"t": "tell", "ref": sess(number), "f": {"note": note, "value": value}})
            case "spoils", (how,):
                box.write(SPOILT[how])
            case "drops", ():
                for talk in box.talks:
                    talk.end()
            case "dies", ():
                assert box.server is not None
                box.server.close()
                for talk in box.talks:
                    talk.end()
            case "gives-signs", (count,):
                until = box.signs + int(count)
                while box.signs < until:
                    await asyncio.sleep(0.001)
            case "talks", ():
                while not box.talks:
                    await asyncio.sleep(0.001)
            case "falls-silent", ():
                box.dumb = True
            case _:
                raise ValueError(does)

    async def find(self, who: str) -> tuple[Box, Any]:
        """The next message at a server; a name that is new is bound to whichever has one."""
        if who in self.named:
            return self.named[who], await self.named[who].came.get()
        free = [box for box in self.boxes.values() if box not in self.named.values()]
        while True:
            for box in free:
                if not box.came.empty():
                    self.named[who] = box
                    return box, box.came.get_nowait()
            await asyncio.sleep(0.001)

    async def board_does(self, who: str, does: str, *what: str) -> None:
        match does, what:
            case "is-asked", (last,):
                talk = self.watching[who] = await self.boards[who][1].get()
                assert talk.first == f"watch {last}", talk.first  # type: ignore[attr-defined]
            case "tells", (rev, number, state, *up):
                rows = [self.row(int(number), state, float(up[0]) if up else 0)]
                pool = {"revision": int(rev), "complete": False, "members": rows}
                self.watching[who].writer.write(json.dumps({"rev": int(rev), "pool": pool}).encode() + b"\n")
            case "counts", (rev,):
                self.watching[who].writer.write(rev.encode() + b"\n")
            case "breaks", (text,):
                self.watching[who].writer.write(text.encode())
                self.watching[who].writer.close()


@pytest.fixture
def play_node(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[str], None]:
    """Plays one scenario."""

    def play(text: str) -> None:
        async def run() -> None:
            world = World(tmp_path, monkeypatch)
            try:
                await world.play(text)
            finally:
                if world.started:
                    await world.end()

        asyncio.run(run())

    return play
