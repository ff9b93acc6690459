"""Decodes and encodes the binary messages of viewers. Does no I/O.

A message is a length (2 bytes), a type (1 byte), a session id (8 bytes) and parameters, each with a code, a
length and a value. The platform's protocol page specifies each message. No other module knows the codes."""

import math
import struct
from dataclasses import dataclass, field

from ponddoor.node.lines import UnreadableError

MAX_MESSAGE_BYTES = 16_384
_MAX_WAIT_MS = 3_600_000.0
_HEADER = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")
_TYPE_SETUP = 1
_TYPE_PROGRESS = 6
_TYPE_ANSWER = 9
_TYPE_RELEASE = 12
_TYPE_RELEASE_ACK = 16
_TYPE_NOTE = 44
_TYPE_MOVE = 51
_TYPE_TEST = 52
_TYPE_TEST_RESULT = 53
_IGNORED_TYPES = frozenset(
    (_TYPE_PROGRESS, _TYPE_NOTE, _TYPE_TEST_RESULT)
)  # legal from a viewer, without effect
_PARAM_GROUP = 129
_PARAM_WAIT = 130
_PARAM_AGAIN = 132
_PARAM_TITLE = 133
_PARAM_ATTRIBUTES = 134  # `name:value` pairs, separated by semicolons
_PARAM_COME_BACK = 135
_PARAM_LENGTH = 139
_PARAM_CAUSE = 143
_PARAM_DESCRIPTION = 144
_CAUSE_ENDED = 16
_CAUSE_BUSY = 34
_CAUSE_LOST = 41
_CAUSE_FAILED = 47


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A viewer requests a session or, if `server` is not empty, hands over one that plays on that server.

    `wait` and `length` are in microseconds."""

    sess: str
    group: str
    wait: int
    title: str
    home: int
    span: int
    top: int
    viewer: int
    length: int | None
    again: bool
    server: str
    description: str


@dataclass(frozen=True, slots=True)
class UnusableRequest:
    """A request that is well-formed but has a missing or invalid parameter."""

    sess: str
    reason: str


@dataclass(frozen=True, slots=True)
class Release:
    """A viewer withdraws its request or ends its session."""

    sess: str


@dataclass(frozen=True, slots=True)
class ReadinessTest:
    """Asks whether this front can place sessions."""

    sess: str


@dataclass(frozen=True, slots=True)
class ReleaseAck:
    """A viewer acknowledges a release that this front sent."""

    sess: str


Message = SetupRequest | UnusableRequest | Release | ReadinessTest | ReleaseAck


@dataclass(slots=True)
class Reader:
    """Decodes the bytes of one connection. Buffers at most one message."""

    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> tuple[list[Message], str]:
        """Return the messages completed by `data`, and a protocol error (empty if there is none).

        After an error the connection has to be closed: the start of the next message is not known."""
        self._rest += data
        position, messages = 0, []
        try:
            while len(self._rest) - position >= 2:
                size = int.from_bytes(self._rest[position : position + 2])
                if not _HEADER.size - 2 <= size <= MAX_MESSAGE_BYTES - 2:
                    raise UnreadableError(
                        f"message length {size} is not between {_HEADER.size - 2} and {MAX_MESSAGE_BYTES - 2}"
                    )
                if len(self._rest) - position - 2 < size:
                    break
                message = _decode(bytes(self._rest[position : position + 2 + size]))
                position += 2 + size
                if message is not None:
                    messages.append(message)
        except UnreadableError as problem:
            self._rest.clear()
            return messages, str(problem)
        del self._rest[:position]
        return messages, ""

    @property
    def partial_bytes(self) -> int:
        """The number of bytes of a message that has been received in part; 0 if there is none."""
        return len(self._rest)


def _decode(message: bytes) -> Message | None:
    _, kind, number = _HEADER.unpack_from(message)
    sess, parameters, position = f"{number:016x}", dict[int, bytes](), _HEADER.size
    while position < len(message):
        if position + _PARAMETER.size > len(message):
            raise UnreadableError("parameter header truncated")
        code, size = _PARAMETER.unpack_from(message, position)
        position += _PARAMETER.size
        if position + size > len(message):
            raise UnreadableError(
                f"parameter {code} truncated: got {len(message) - position} of {size} bytes"
            )
        parameters[code] = message[position : position + size]
        position += size
    if kind == _TYPE_SETUP:
        return _decode_setup(sess, parameters)
    if kind == _TYPE_RELEASE:
        return Release(sess)
    if kind == _TYPE_TEST:
        return ReadinessTest(sess)
    if kind == _TYPE_RELEASE_ACK:
        return ReleaseAck(sess)
    if kind not in _IGNORED_TYPES:
        raise UnreadableError(f"unknown message type {kind}")
    return None


def _decode_setup(sess: str, parameters: dict[int, bytes]) -> SetupRequest | UnusableRequest:
    try:
        text = {code: value.decode() for code, value in parameters.items() if code != _PARAM_CAUSE}
        attributes = dict(part.split(":", 1) for part in text.get(_PARAM_ATTRIBUTES, "").split(";") if part)
        server = attributes.get("at", "")  # a session that is handed over plays already: nobody waits
        wait = 0.0 if server else _parse_number(text[_PARAM_WAIT], 0.0, _MAX_WAIT_MS)
        length = _parse_number(text[_PARAM_LENGTH], 0.0, 1e9) if _PARAM_LENGTH in text else None
        if not int(sess, 16):
            raise ValueError("session id is zero")
        if not wait and not server:
            raise ValueError("wait time is zero")
        int(text[_PARAM_TITLE], 16)
        return SetupRequest(
            sess,
            text[_PARAM_GROUP],
            round(wait * 1000),
            text[_PARAM_TITLE],
            int(_parse_number(attributes["home"], 0, 65535)),
            int(_parse_number(attributes["copies"], 1, 65535)),
            int(_parse_number(attributes["top"], 0, 255)),
            int(attributes.get("viewer", "0"), 16) % 2**64,
            None if length is None else round(length * 1000),
            _PARAM_AGAIN in text or "again" in attributes,
            server,
            text.get(_PARAM_DESCRIPTION, ""),
        )
    except (ValueError, KeyError) as problem:
        return UnusableRequest(sess, f"{type(problem).__name__}: {str(problem)[:100]}")


def _parse_number(text: str, least: float, most: float) -> float:
    value = float(text)
    if not math.isfinite(value) or not least <= value <= most:
        raise ValueError(f"{text[:20]} is not between {least:.0f} and {most:.0f}")
    return value


def encode_playing(sess: str, description: str) -> bytes:
    """The session plays. `description` is the media server's and is passed on unchanged."""
    return _encode(_TYPE_ANSWER, sess, (_PARAM_DESCRIPTION, description.encode()))


def encode_busy(sess: str, come_back: int) -> bytes:
    """A busy-reply: the viewer may retry, after `come_back` microseconds if that is not zero."""
    retry_after = ((_PARAM_COME_BACK, str(come_back // 1000).encode()),) if come_back > 0 else ()
    return _encode(_TYPE_RELEASE, sess, (_PARAM_CAUSE, bytes([_CAUSE_BUSY])), *retry_after)


def encode_failed(sess: str) -> bytes:
    """The request failed: the session is torn down before it played."""
    return _encode(_TYPE_RELEASE, sess, (_PARAM_CAUSE, bytes([_CAUSE_FAILED])))


def encode_ended(sess: str, lost: bool) -> bytes:
    """A session that played is over: it was lost, or ended at its server."""
    return _encode(_TYPE_RELEASE, sess, (_PARAM_CAUSE, bytes([_CAUSE_LOST if lost else _CAUSE_ENDED])))


def encode_moved(sess: str) -> bytes:
    """A session that played ends here, and the viewer is to request it again."""
    return _encode(_TYPE_MOVE, sess)


def encode_test_result(sess: str, passed: bool) -> bytes:
    """The reply to a readiness test."""
    return _encode(_TYPE_TEST_RESULT, sess, (_PARAM_CAUSE, bytes([passed])))


def _encode(kind: int, sess: str, *parameters: tuple[int, bytes]) -> bytes:
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    return _HEADER.pack(_HEADER.size - 2 + len(body), kind, int(sess, 16)) + body
