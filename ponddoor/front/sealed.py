"""The fronts' words on UDP, free of I/O: sealed with a keyed MAC, opened once, or counted as what is wrong.

A datagram is: version (u8), sender (u16), fronts in all (u16), sent at (u64, microseconds of the wall clock,
rising with each word of a sender), the payload, and the first 16 bytes of HMAC-SHA-256 (RFC 2104) over all
before it."""

import struct
from dataclasses import dataclass, field

from cryptography.hazmat.primitives.constant_time import bytes_eq
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.hmac import HMAC

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # bytes of a datagram
_HEAD = struct.Struct(">BHHQ")
_MAC = 16
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - _HEAD.size - _MAC  # bytes of a payload
_WINDOW = 64  # words of one sender that are remembered, so that late ones are taken once


class PayloadTooLongError(Exception):
    """A payload that does not fit into a datagram."""


@dataclass(slots=True)
class _Heard:
    """The words of one sender that were taken: the newest `_WINDOW` stamps."""

    stamps: list[int] = field(default_factory=list)

    def fresh(self, stamp: int) -> bool:
        if stamp in self.stamps or (len(self.stamps) >= _WINDOW and stamp < self.stamps[0]):
            return False
        self.stamps = sorted([*self.stamps, stamp])[-_WINDOW:]
        return True


@dataclass(slots=True)
class Seal:
    """Seals and opens the words of one front. `age`: how old a word may be by both clocks, microseconds."""

    key: bytes
    me: int
    fronts: int
    age: int
    refused: dict[str, int] = field(default_factory=dict)
    miscounted: dict[int, int] = field(default_factory=dict)
    _last: int = 0
    _heard: dict[int, _Heard] = field(default_factory=dict)

    def seal(self, wall: int, payload: bytes) -> bytes:
        """The datagram that carries a payload. Raises PayloadTooLongError."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise PayloadTooLongError(f"{len(payload)} bytes, {MAX_PAYLOAD_BYTES} fit")
        self._last = max(wall, self._last + 1)
        body = _HEAD.pack(VERSION, self.me, self.fronts, self._last) + payload
        return body + self._mac(body)

    def open(self, wall: int, datagram: bytes) -> tuple[int, bytes] | None:
        """The sender and the payload; None, and counted by reason, where a datagram is not to be trusted."""
        why = self._wrong(wall, datagram)
        if why:
            self.refused[why] = self.refused.get(why, 0) + 1
            return None
        _, sender, _, _ = _HEAD.unpack_from(datagram)
        return int(sender), datagram[_HEAD.size : -_MAC]

    def _wrong(self, wall: int, datagram: bytes) -> str:
        if len(datagram) < _HEAD.size + _MAC:
            return "cut"
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return "long"
        body, mac = datagram[:-_MAC], datagram[-_MAC:]
        if not bytes_eq(self._mac(body), mac):
            return "forged"
        version, sender, fronts, sent = _HEAD.unpack_from(body)
        if version != VERSION:
            return "version"
        if fronts != self.fronts:
            # Guards against fronts that divide the fleet by different numbers: both would be wrong.
            self.miscounted[sender] = fronts
            return "miscounted"
        if sender == self.me or sender >= self.fronts:
            return "foreign"
        if abs(wall - sent) > self.age:
            return "old"
        return "" if self._heard.setdefault(sender, _Heard()).fresh(sent) else "replayed"

    def _mac(self, body: bytes) -> bytes:
        mac = HMAC(self.key, SHA256())
        mac.update(body)
        return mac.finalize()[:_MAC]
