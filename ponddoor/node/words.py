"""The shell of the fronts' words on the platform: one UDP socket, each peer known by its address."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import structlog

from ponddoor.node.start import NodeSettings

MOST = 256  # bytes of a datagram
log = structlog.get_logger("words")


@dataclass(slots=True)
class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives words. What can't be sent, or comes from elsewhere, is lost and counted."""

    place: NodeSettings
    heard: Callable[[int, bytes], None]
    sent: int = 0
    lost: int = 0
    _transport: asyncio.DatagramTransport | None = None
    _numbers: dict[tuple[str, int], int] = field(default_factory=dict)  # of the fronts, by their addresses

    def __post_init__(self) -> None:
        self._numbers = {address: number for number, address in enumerate(self.place.peers)}

    async def start(self) -> None:
        """Raises OSError where the address can't be had."""
        if self.place.peer_listen is not None:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.place.peer_listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        peer = self._numbers.get(addr[:2], self.place.facts.me)
        if peer == self.place.facts.me or len(data) > MOST:
            self.lost += 1
            return
        self.heard(peer, data)

    def error_received(self, exc: Exception) -> None:
        self.lost += 1

    def send(self, peer: int | None, payload: bytes) -> None:
        to = self.place.peers_all if peer is None else self._of(peer)
        if to is None or self._transport is None or len(payload) > MOST:
            self.lost += 1
            return
        self._transport.sendto(payload, to)
        self.sent += 1

    def _of(self, peer: int) -> tuple[str, int] | None:
        within = 0 <= peer < len(self.place.peers) and peer != self.place.facts.me
        return self.place.peers[peer] if within else None

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
