"""Authentication of gossip messages between fronts over UDP, free of I/O.

A datagram is: version (u8), sender (u16), number of fronts (u16), time sent (u64, microseconds of the wall
clock, strictly increasing per sender), the payload, and the first 16 bytes of an HMAC-SHA-256 (RFC 2104) over
all before it. A datagram is accepted once; refused ones are counted by reason."""

import struct
from dataclasses import dataclass, field

from cryptography.hazmat.primitives.constant_time import bytes_eq
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.hmac import HMAC

VERSION = 1
MAX_DATAGRAM_BYTES = 256
_HEAD = struct.Struct(">BHHQ")
_MAC_BYTES = 16
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - _HEAD.size - _MAC_BYTES
_REPLAY_WINDOW = 64  # stamps remembered per sender, so that messages out of order are accepted once


class PayloadTooLongError(Exception):
    """A payload does not fit into a datagram."""


@dataclass(slots=True)
class _ReplayWindow:
    """The newest `_REPLAY_WINDOW` stamps that were accepted from one sender."""

    stamps: list[int] = field(default_factory=list)

    def accept(self, stamp: int) -> bool:
        if stamp in self.stamps or (len(self.stamps) >= _REPLAY_WINDOW and stamp < self.stamps[0]):
            return False
        self.stamps = sorted([*self.stamps, stamp])[-_REPLAY_WINDOW:]
        return True


@dataclass(slots=True)
class Seal:
    """Seals and opens the datagrams of one front.

    `max_age` is by how many microseconds the stamp may differ from the receiver's clock. `refused` counts
    refused datagrams by reason. `miscounted` has, by sender, a number of fronts that differs from ours."""

    key: bytes
    me: int
    fronts: int
    max_age: int
    refused: dict[str, int] = field(default_factory=dict)
    miscounted: dict[int, int] = field(default_factory=dict)
    _last_stamp: int = 0
    _windows: dict[int, _ReplayWindow] = field(default_factory=dict)

    def seal(self, wall_us: int, payload: bytes) -> bytes:
        """The datagram that carries a payload. Raises PayloadTooLongError."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise PayloadTooLongError(f"payload of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES} bytes")
        self._last_stamp = max(wall_us, self._last_stamp + 1)
        body = _HEAD.pack(VERSION, self.me, self.fronts, self._last_stamp) + payload
        return body + self._mac(body)

    def open(self, wall_us: int, datagram: bytes) -> tuple[int, bytes] | None:
        """The sender and the payload, or None if the datagram is refused."""
        reason = self._refusal(wall_us, datagram)
        if reason:
            self.refused[reason] = self.refused.get(reason, 0) + 1
            return None
        _, sender, _, _ = _HEAD.unpack_from(datagram)
        return int(sender), datagram[_HEAD.size : -_MAC_BYTES]

    def _refusal(self, wall_us: int, datagram: bytes) -> str:
        if len(datagram) < _HEAD.size + _MAC_BYTES:
            return "cut"
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return "long"
        body, mac = datagram[:-_MAC_BYTES], datagram[-_MAC_BYTES:]
        if not bytes_eq(self._mac(body), mac):
            return "forged"
        version, sender, fronts, sent = _HEAD.unpack_from(body)
        if version != VERSION:
            return "version"
        if fronts != self.fronts:
            # Fronts that divide the fleet by different numbers would both compute wrong shares.
            self.miscounted[sender] = fronts
            return "miscounted"
        if sender == self.me or sender >= self.fronts:
            return "foreign"
        if abs(wall_us - sent) > self.max_age:
            return "old"
        return "" if self._windows.setdefault(sender, _ReplayWindow()).accept(sent) else "replayed"

    def _mac(self, body: bytes) -> bytes:
        mac = HMAC(self.key, SHA256())
        mac.update(body)
        return mac.finalize()[:_MAC_BYTES]
