"""The shell of the fronts' words: one UDP socket, sealed datagrams to and from the configured fronts."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ponddoor.front.sealed import PayloadTooLongError, Seal
from ponddoor.interface.words import kind_of
from ponddoor.settings.site import Site

UDP_IP_HEADER_BYTES = 28  # bytes of IPv4 and UDP around a datagram (RFC 791, RFC 768)
log = structlog.get_logger("words")


def wall_clock_us() -> int:
    """The wall clock in microseconds."""
    return time.time_ns() // 1000


@dataclass(slots=True)
class GossipTraffic:
    """Words one way by kind: of each how many, and their bytes with the headers around them."""

    kinds: dict[str, list[int]] = field(default_factory=dict)

    def add(self, payload: bytes, datagram: bytes) -> None:
        held = self.kinds.setdefault(kind_of(payload), [0, 0])
        held[0] += 1
        held[1] += len(datagram) + UDP_IP_HEADER_BYTES

    def combined_with(self, other: "GossipTraffic") -> "GossipTraffic":
        """Both together, as a copy."""
        made = GossipTraffic({kind: list(row) for kind, row in self.kinds.items()})
        for kind, (words, size) in other.kinds.items():
            held = made.kinds.setdefault(kind, [0, 0])
            held[0], held[1] = held[0] + words, held[1] + size
        return made


@dataclass(slots=True)
class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives words. A datagram must come from its sender's configured address."""

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
        got = self.seal.open(wall_clock_us(), data)
        if got is None:
            for peer, fronts in self.seal.miscounted.items():
                if peer not in self._reported_miscounts:
                    self._reported_miscounts.add(peer)
                    log.error("fronts-miscounted", peer=peer, theirs=fronts, ours=self.seal.fronts)
            return
        peer, payload = got
        if addr[:2] != self.site.fronts[peer].words:
            self._count("address")
            return
        self.received_traffic.add(payload, data)
        self.on_message(peer, payload)

    def error_received(self, exc: Exception) -> None:
        self._count("unreachable")

    def send(self, peer: int | None, payload: bytes) -> None:
        """Tell one front, or all others. A word that can't be sent is lost, and counted."""
        peers = [peer] if peer is not None else [n for n in range(len(self.site.fronts)) if n != self.me]
        for number in peers:
            if not 0 <= number < len(self.site.fronts) or number == self.me or self._transport is None:
                self._count("nobody")
                continue
            try:
                datagram = self.seal.seal(wall_clock_us(), payload)
                self._send_datagram(number, datagram)
                self.sent += 1
                self.sent_traffic.add(payload, datagram)
            except PayloadTooLongError:
                self._count("too-long")
            except OSError:
                self._count("unreachable")

    def _send_datagram(self, number: int, datagram: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, self.site.fronts[number].words)

    def _count(self, why: str) -> None:
        self.lost[why] = self.lost.get(why, 0) + 1

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
