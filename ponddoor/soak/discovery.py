"""A stand-in of the platform's discovery service: numbered events of the list of servers."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ponddoor.soak.oracle import Oracle
from ponddoor.soak.records import FOREVER, NodeLife
from ponddoor.soak.sockets import has_ended

HEARTBEAT_S = 1.0
SLOW_S = 0.4  # how long a slow service takes to begin to answer
ANY_HOST = "HOST:"  # in an event, for each node's own address of the servers
ANY_NETWORK = "NETWORK."  # likewise, for each node's own network of servers that one process stands in for
FIRST_NETWORK = 10  # the second number of the first node's network
SETTLED_S = 0.1  # after a trouble, until connections are taken again


class State(Enum):
    """How discovery behaves."""

    WELL = "well"
    REFUSES = "refuses"
    HANGS = "hangs"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Member:
    """One server as an event writes it."""

    id: str
    address: str
    phase: str
    cell: int
    up_since_ms: float = 0.0

    def as_row(self) -> dict[str, Any]:
        """The row of the protocol page."""
        return {
            "id": self.id,
            "host_port": self.address,
            "locality": "north",
            "flavor": "box",
            "cell": self.cell,
            "phase": self.phase,
            "size": 20,
            "up_since_ms": self.up_since_ms,
        }


@dataclass(slots=True)
class Discovery:
    """Each node has an address of its own for it, on two ports: a new configuration names the other one."""

    oracle: Oracle
    hosts: tuple[str, ...]
    ports: tuple[int, ...]
    life_of: Callable[[str], NodeLife | None]
    events: list[tuple[list[Member], bool]] = field(default_factory=list)  # and whether it is the whole list
    _texts: list[str] = field(default_factory=list)  # of each event
    state: State = State.WELL
    _listeners: list[asyncio.Server] = field(default_factory=list)
    _open: set[asyncio.StreamWriter] = field(default_factory=set)
    _news: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen. Raises OSError where a port is taken."""
        for port in self.ports:
            listener = await asyncio.start_server(self._accept, self.hosts, port, backlog=1024)
            self._listeners.append(listener)

    def publish(self, members: list[Member], whole: bool = False) -> None:
        """A change of the list; the first one is all of it, as a `whole` one is."""
        whole = whole or not self.events
        self.events.append((members, whole))
        self._texts.append(self._text(len(self.events), members, whole))
        self.oracle.removed.update(one.id for one in members if one.phase == "terminated")
        self.oracle.events.append((time.monotonic(), len(self.events)))
        self._wake()

    def known(self) -> str:
        """What a configuration tells of the list, as JSON."""
        notices = ",".join(self._texts)
        return f'{{"rev":{len(self._texts)},"notices":[{notices}]}}'

    @staticmethod
    def _text(number: int, members: list[Member], whole: bool) -> str:
        rows = [member.as_row() for member in members]
        return json.dumps({"rev": number, "pool": {"revision": number, "complete": whole, "members": rows}})

    def for_node(self, text: str, node: int) -> str:
        """Events as a node gets them, with its own addresses of the servers."""
        text = text.replace(ANY_NETWORK, f"127.{FIRST_NETWORK + node}.")
        return text.replace(ANY_HOST, f"{self.hosts[node]}:")

    def _wake(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def set_state(self, state: State) -> None:
        """Behave like this from now on."""
        now = time.monotonic()
        if self.state is not State.WELL and self.oracle.discovery_troubles:
            begin, end = self.oracle.discovery_troubles[-1]
            self.oracle.discovery_troubles[-1] = (begin, min(end, now + SETTLED_S))
        was, self.state = self.state, state
        if state is not State.WELL:
            self.oracle.discovery_troubles.append((now, FOREVER))
        if state is State.REFUSES:
            for listener in self._listeners:
                listener.close()
            self._listeners.clear()
            for writer in list(self._open):
                writer.transport.abort()
        elif was is State.REFUSES:
            await self.start()
        self._wake()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        life = self.life_of(writer.get_extra_info("sockname")[0])
        self._open.add(writer)
        try:
            first = await reader.readline()
            if self.state is State.HANGS:
                await reader.read()
                return
            if self.state is State.SLOW:
                await asyncio.sleep(SLOW_S)
            if life is not None:
                await self._tell(life, int(first.split()[1]), writer)
        except (OSError, ValueError, IndexError, asyncio.CancelledError):
            return
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    async def _tell(self, life: NodeLife, last: int, writer: asyncio.StreamWriter) -> None:
        number = self.oracle.lives.index(life)
        writer.transport.set_write_buffer_limits(0)  # what the kernel has taken is told
        while not writer.is_closing() and not has_ended(writer.transport):
            news = self._news
            if self.state is not State.HANGS:
                while last < len(self.events) and not has_ended(writer.transport):
                    last += 1
                    line = self.for_node(self._texts[last - 1], life.node)
                    writer.write(line.encode() + b"\n")
                    await writer.drain()
                    self._note_told(number, life, last)
                writer.write(b"%d\n" % last)
                await writer.drain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), HEARTBEAT_S)

    def _note_told(self, number: int, life: NodeLife, event: int) -> None:
        now = time.monotonic()
        for earlier in range(event, 0, -1):
            if (number, earlier) in self.oracle.known_at:
                break
            self.oracle.known_at[number, earlier] = now
        for member in self.events[event - 1][0]:
            spans = life.drained.setdefault(member.id, [])
            ended = not spans or spans[-1][1] < FOREVER
            if member.phase == "in_service" and not ended:
                spans[-1] = (spans[-1][0], now)
            elif member.phase != "in_service" and ended:
                spans.append((now, FOREVER))

    def note_started(self, life: NodeLife) -> None:
        """A process begins with a configuration that has every event until now."""
        number = self.oracle.lives.index(life)
        for event in range(1, len(self.events) + 1):
            self._note_told(number, life, event)

    def close(self) -> None:
        """The end of the run."""
        for listener in self._listeners:
            listener.close()
        for writer in list(self._open):
            writer.transport.abort()
