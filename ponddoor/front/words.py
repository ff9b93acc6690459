"""The UDP socket for gossip messages: authenticated datagrams to and from the configured fronts."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ponddoor.front.sealed import PayloadTooLongError, Seal
from ponddoor.interface.words import kind_of
from ponddoor.settings.site import Site

UDP_IP_HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram (RFC 791, RFC 768)
log = structlog.get_logger("words")


def wall_clock_us() -> int:
    """The wall clock in microseconds."""
    return time.time_ns() // 1000


@dataclass(slots=True)
class GossipTraffic:
    """Gossip messages in one direction: by kind, their number and bytes including IP and UDP headers."""

    kinds: dict[str, list[int]] = field(default_factory=dict)

    def add(self, payload: bytes, datagram: bytes) -> None:
        row = self.kinds.setdefault(kind_of(payload), [0, 0])
        row[0] += 1
        row[1] += len(datagram) + UDP_IP_HEADER_BYTES

    def combined_with(self, other: "GossipTraffic") -> "GossipTraffic":
        """The sum of both, as a new object."""
        total = GossipTraffic({kind: list(row) for kind, row in self.kinds.items()})
        for kind, (messages, size) in other.kinds.items():
            row = total.kinds.setdefault(kind, [0, 0])
            row[0], row[1] = row[0] + messages, row[1] + size
        return total


@dataclass(slots=True)
class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives gossip messages. A datagram must come from its sender's configured address.

    `on_message` gets the sender's number and the payload. `lost` counts, by reason, messages that could not
    be sent and datagrams from a wrong address; `seal` counts the datagrams that it refuses."""

    site: Site
    me: int
    seal: Seal
    on_message: Callable[[int, bytes], None]
    lost: dict[str, int] = field(default_factory=dict)
    sent: int = 0
    sent_traffic: GossipTraffic = field(default_factory=GossipTraffic)
    received_traffic: GossipTraffic = field(default_factory=GossipTraffic)
    _transport: asyncio.DatagramTransport | None = None
    _reported_miscounts: set[int] = field(default_factory=set)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.site.fronts[self.me].words
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        opened = self.seal.open(wall_clock_us(), data)
        if opened is None:
            for peer, fronts in self.seal.miscounted.items():
                if peer not in self._reported_miscounts:
                    self._reported_miscounts.add(peer)
                    log.error("fronts-miscounted", peer=peer, theirs=fronts, ours=self.seal.fronts)
            return
        peer, payload = opened
        if addr[:2] != self.site.fronts[peer].words:
            self._count_lost("address")
            return
        self.received_traffic.add(payload, data)
        self.on_message(peer, payload)

    def error_received(self, exc: Exception) -> None:
        self._count_lost("unreachable")

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one front, or with None to all others. A message that cannot be sent is counted as lost."""
        peers = [peer] if peer is not None else [n for n in range(len(self.site.fronts)) if n != self.me]
        for number in peers:
            if not 0 <= number < len(self.site.fronts) or number == self.me or self._transport is None:
                self._count_lost("nobody")
                continue
            try:
                datagram = self.seal.seal(wall_clock_us(), payload)
                self._send_datagram(number, datagram)
                self.sent += 1
                self.sent_traffic.add(payload, datagram)
            except PayloadTooLongError:
                self._count_lost("too-long")
            except OSError:
                self._count_lost("unreachable")

    def _send_datagram(self, number: int, datagram: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, self.site.fronts[number].words)

    def _count_lost(self, reason: str) -> None:
        self.lost[reason] = self.lost.get(reason, 0) + 1

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
