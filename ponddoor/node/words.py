"""The UDP socket for gossip messages between the fronts of a platform, each known by its address."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import structlog

from ponddoor.node.start import NodeSettings

MAX_DATAGRAM_BYTES = 256
log = structlog.get_logger("words")


@dataclass(slots=True)
class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives gossip messages.

    `on_message` gets the sender's number and the payload. `lost` counts messages that could not be sent and
    datagrams that are too long or not from another front."""

    settings: NodeSettings
    on_message: Callable[[int, bytes], None]
    sent: int = 0
    lost: int = 0
    _transport: asyncio.DatagramTransport | None = None
    _numbers: dict[tuple[str, int], int] = field(default_factory=dict)  # of the fronts by address

    def __post_init__(self) -> None:
        self._numbers = {address: number for number, address in enumerate(self.settings.peers)}

    async def start(self) -> None:
        """Bind the socket, if the settings have an address for it. Raises OSError if that fails."""
        if self.settings.peer_listen is not None:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.settings.peer_listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        peer = self._numbers.get(addr[:2], self.settings.facts.me)
        if peer == self.settings.facts.me or len(data) > MAX_DATAGRAM_BYTES:
            self.lost += 1
            return
        self.on_message(peer, data)

    def error_received(self, exc: Exception) -> None:
        self.lost += 1

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one front, or with None to the address that reaches all."""
        address = self.settings.peers_all if peer is None else self._address_of(peer)
        if address is None or self._transport is None or len(payload) > MAX_DATAGRAM_BYTES:
            self.lost += 1
            return
        self._transport.sendto(payload, address)
        self.sent += 1

    def _address_of(self, peer: int) -> tuple[str, int] | None:
        is_peer = 0 <= peer < len(self.settings.peers) and peer != self.settings.facts.me
        return self.settings.peers[peer] if is_peer else None

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
