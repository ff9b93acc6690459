"""Members' streams, free of I/O: frames, a greeting, and what is not to be trusted.

A frame is its length (u32, big-endian) and so many bytes: a body and the first 16 bytes of HMAC-SHA-256 (RFC
2104) over the connection's nonces, the sender's direction, the frame's number and the body. The greeting of
the opener is JSON: versions it speaks, cluster, who it is, whom it means, a generation and a nonce; the
answer has the version that both speak and a nonce of its own. A frame that is cut, repeated, out of order or
from another connection does not open. Bodies are msgpack, a name and a message; unknown fields of a later
version are passed over."""

import secrets
import struct
from dataclasses import dataclass, field

import msgspec
from cryptography.hazmat.primitives.constant_time import bytes_eq
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.hmac import HMAC

from ponddoor.raft.core import Append, Appended, Member, Message, Piece, Taken, TakeOver, Vote, Voted

VERSIONS = (1,)  # that this program speaks; a rolling upgrade needs one in common
MOST = 4_000_000  # bytes of a frame
MOST_GREETING = 4096
_LENGTH = struct.Struct(">I")
_MAC = 16
KINDS: dict[str, type[Message]] = {
    kind.__name__: kind for kind in (Vote, Voted, Append, Appended, Piece, Taken, TakeOver)
}


class RefusedError(Exception):
    """A peer, or something it sent, is not to be trusted; `why` is a word for metrics."""

    def __init__(self, why: str, detail: str = "") -> None:
        super().__init__(detail or why)
        self.why = why


class Greeting(msgspec.Struct, frozen=True):
    """What an opener says of itself."""

    versions: tuple[int, ...]
    cluster: str
    me: int
    you: int
    generation: int
    nonce: str


class Welcome(msgspec.Struct, frozen=True):
    """The answer to it."""

    version: int
    nonce: str


@dataclass(slots=True)
class Frames:
    """Cuts a stream of bytes into frames. Raises RefusedError where one is too large."""

    most: int = MOST
    _held: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        self._held += data
        found: list[bytes] = []
        while len(self._held) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._held)
            if size > self.most:
                raise RefusedError("frame-too-large", f"{size} bytes, {self.most} at most")
            if len(self._held) < _LENGTH.size + size:
                break
            found.append(bytes(self._held[_LENGTH.size : _LENGTH.size + size]))
            del self._held[: _LENGTH.size + size]
        return found


def framed(body: bytes) -> bytes:
    return _LENGTH.pack(len(body)) + body


@dataclass(slots=True)
class Channel:
    """One connection after its greeting: seals what goes out and opens what comes in, in order."""

    key: bytes
    nonces: bytes
    opener: bool
    version: int
    sent: int = 0
    taken: int = 0

    def _mac(self, from_opener: bool, number: int, body: bytes) -> bytes:
        mac = HMAC(self.key, SHA256())
        mac.update(
            self.nonces + (b"o" if from_opener else b"a") + struct.pack(">BQ", self.version, number) + body
        )
        return mac.finalize()[:_MAC]

    def seal(self, message: Message) -> bytes:
        """A frame. Raises ValueError where it is too large to be read."""
        body = msgspec.msgpack.encode([type(message).__name__, message])
        self.sent += 1
        if len(body) + _MAC > MOST:
            raise ValueError(f"a message of {len(body)} bytes")
        return framed(body + self._mac(self.opener, self.sent, body))

    def open(self, frame: bytes) -> Message | None:
        """The message in a frame, None for one of a kind that a later version has. Raises RefusedError."""
        body, mac = frame[:-_MAC], frame[-_MAC:]
        self.taken += 1
        if len(frame) <= _MAC or not bytes_eq(self._mac(not self.opener, self.taken, body), mac):
            raise RefusedError("forged-frame")
        try:
            name, raw = msgspec.msgpack.decode(body)
            kind = KINDS.get(name)
            return None if kind is None else msgspec.convert(raw, kind)
        except (msgspec.MsgspecError, TypeError, ValueError) as problem:
            raise RefusedError("malformed-frame", str(problem)[:200]) from None


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a member is: its cluster, number, generation (raised when it comes back without its disk) and
    key."""

    cluster: str
    me: Member
    generation: int
    key: bytes
    versions: tuple[int, ...] = VERSIONS


def greeting(mine: Identity, peer: Member) -> tuple[Greeting, bytes]:
    """The opener's greeting and its frame."""
    said = Greeting(mine.versions, mine.cluster, mine.me, peer, mine.generation, secrets.token_hex(16))
    body = msgspec.json.encode(said)
    return said, framed(body + _plain_mac(mine.key, b"greeting", body))


def _plain_mac(key: bytes, what: bytes, body: bytes) -> bytes:
    mac = HMAC(key, SHA256())
    mac.update(what + body)
    return mac.finalize()[:_MAC]


def _checked(key: bytes, what: bytes, frame: bytes) -> bytes:
    body, mac = frame[:-_MAC], frame[-_MAC:]
    if len(frame) <= _MAC or not bytes_eq(_plain_mac(key, what, body), mac):
        raise RefusedError("forged-greeting")
    return body


def welcomed(mine: Identity, frame: bytes, removed: dict[Member, int]) -> tuple[Greeting, Channel, bytes]:
    """Judge a greeting: the peer's word, the channel, and the answer's frame.

    `removed` has the last generation of members that were taken out: who comes with it, or an earlier one, is
    turned away. Raises RefusedError."""
    try:
        said = msgspec.json.decode(_checked(mine.key, b"greeting", frame), type=Greeting)
    except msgspec.MsgspecError as problem:
        raise RefusedError("malformed-greeting", str(problem)) from None
    if said.cluster != mine.cluster:
        raise RefusedError("another-cluster", said.cluster[:100])
    if said.you != mine.me:
        raise RefusedError("another-member", f"meant {said.you}, this is {mine.me}")
    if said.generation <= removed.get(said.me, -1):
        raise RefusedError("removed-generation", f"member {said.me}, generation {said.generation}")
    common = sorted(set(said.versions) & set(mine.versions))
    if not common:
        raise RefusedError("no-common-version", f"{said.versions} and {mine.versions}")
    answer = Welcome(common[-1], secrets.token_hex(16))
    body = msgspec.json.encode(answer)
    nonces = (said.nonce + answer.nonce).encode()
    frame_out = framed(body + _plain_mac(mine.key, b"welcome" + said.nonce.encode(), body))
    return said, Channel(mine.key, nonces, False, answer.version), frame_out


def opened(mine: Identity, said: Greeting, frame: bytes) -> Channel:
    """The opener's channel, from the answer to its greeting. Raises RefusedError."""
    try:
        body = _checked(mine.key, b"welcome" + said.nonce.encode(), frame)
        answer = msgspec.json.decode(body, type=Welcome)
    except msgspec.MsgspecError as problem:
        raise RefusedError("malformed-greeting", str(problem)) from None
    if answer.version not in mine.versions:
        raise RefusedError("no-common-version", str(answer.version))
    return Channel(mine.key, (said.nonce + answer.nonce).encode(), True, answer.version)
