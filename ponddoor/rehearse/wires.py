"""Relays between the fronts' word sockets, so that a rehearsal can cut them: one UDP socket a direction."""

import asyncio
import functools
import random
from dataclasses import dataclass, field

Address = tuple[str, int]


class _End(asyncio.DatagramProtocol):
    def __init__(self, wires: "Wires", mine: int, other: int) -> None:
        self._wires, self._mine, self._other = wires, mine, other

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._wires.pass_on(self._mine, self._other, data)


@dataclass(slots=True)
class Wires:
    """Front `i` knows socket (i, j) as front `j`; what it sends there leaves from (j, i) for `j`."""

    fronts: list[Address]
    cut: set[int] = field(default_factory=set)
    lost: float = 0.0  # the share of datagrams that go astray
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    _ends: dict[tuple[int, int], asyncio.DatagramTransport] = field(default_factory=dict)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        numbers = range(len(self.fronts))
        for mine, other in [(i, j) for i in numbers for j in numbers if i != j]:
            transport, _ = await loop.create_datagram_endpoint(
                functools.partial(_End, self, mine, other), local_addr=("127.0.0.1", 0)
            )
            self._ends[(mine, other)] = transport

    def known_as(self, mine: int, other: int) -> Address:
        """The address under which front `mine` knows front `other`."""
        host, port = self._ends[(mine, other)].get_extra_info("sockname")[:2]
        return str(host), int(port)

    def pass_on(self, mine: int, other: int, data: bytes) -> None:
        if self.lost and self.rng.random() < self.lost:
            return
        if mine not in self.cut and other not in self.cut:
            self._ends[(other, mine)].sendto(data, self.fronts[other])

    def close(self) -> None:
        for transport in self._ends.values():
            transport.close()
