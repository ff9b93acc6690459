"""The binary messages of viewers, free of I/O: the platform's page of the protocol has each.

A message is a length of two bytes, a type, a session of eight, and parameters of a code, a length and a
value. Its words live here."""

import math
import struct
from dataclasses import dataclass, field

from ponddoor.node.lines import UnreadableError

MAX_MESSAGE_BYTES = 16_384  # bytes of a message
_LONGEST_WAIT = 3_600_000.0  # ms
_HEAD, _PARAMETER = struct.Struct(">HBQ"), struct.Struct(">BH")
_ASK, _PROGRESS, _ANSWER, _RELEASE, _HEARD, _NOTE, _MOVE, _TEST, _TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
_FREE = frozenset((_PROGRESS, _NOTE, _TESTED))  # from viewers these mean nothing
_GROUP, _WAIT, _AGAIN, _TITLE, _MORE, _COME_BACK, _LENGTH, _CAUSE, _DESCRIPTION = (
    129, 130, 132, 133, 134, 135, 139, 143, 144)  # fmt: skip
_OVER, _BUSY, _LOST, _FAILED = 16, 34, 41, 47


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A viewer wants a session, or (with `at`) has one at that server. Times in microseconds."""

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
    at: str
    description: str


@dataclass(frozen=True, slots=True)
class UnusableRequest:
    """A request that can be read and not used."""

    sess: str
    why: str


@dataclass(frozen=True, slots=True)
class Release:
    """A viewer is done: with waiting, or with a session that stands."""

    sess: str


@dataclass(frozen=True, slots=True)
class ReadinessTest:
    """Somebody asks whether this front can place."""

    sess: str


@dataclass(frozen=True, slots=True)
class ReleaseAck:
    """A viewer acknowledges a release."""

    sess: str


Message = SetupRequest | UnusableRequest | Release | ReadinessTest | ReleaseAck


@dataclass(slots=True)
class Reader:
    """Decodes one connection's bytes; keeps no more than one message."""

    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> tuple[list[Message], str]:
        """The messages that are whole now, and why nothing after them can be read (empty: all is well).

        After such a word the connection is of no use: what comes later has no beginning."""
        self._rest += data
        at, found = 0, []
        try:
            while len(self._rest) - at >= 2:
                size = int.from_bytes(self._rest[at : at + 2])
                if not _HEAD.size - 2 <= size <= MAX_MESSAGE_BYTES - 2:
                    raise UnreadableError(f"a message of {size} bytes")
                if len(self._rest) - at - 2 < size:
                    break
                message = _read(bytes(self._rest[at : at + 2 + size]))
                at += 2 + size
                if message is not None:
                    found.append(message)
        except UnreadableError as problem:
            self._rest.clear()
            return found, str(problem)
        del self._rest[:at]
        return found, ""

    @property
    def partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._rest)


def _read(message: bytes) -> Message | None:
    _, kind, number = _HEAD.unpack_from(message)
    sess, parameters, at = f"{number:016x}", dict[int, bytes](), _HEAD.size
    while at < len(message):
        if at + _PARAMETER.size > len(message):
            raise UnreadableError("a parameter is cut short")
        code, size = _PARAMETER.unpack_from(message, at)
        at += _PARAMETER.size
        if at + size > len(message):
            raise UnreadableError(f"parameter {code}: {size} bytes told, {len(message) - at} there")
        parameters[code] = message[at : at + size]
        at += size
    if kind == _ASK:
        return _asked(sess, parameters)
    if kind == _RELEASE:
        return Release(sess)
    if kind == _TEST:
        return ReadinessTest(sess)
    if kind == _HEARD:
        return ReleaseAck(sess)
    if kind not in _FREE:
        raise UnreadableError(f"a message of type {kind}")
    return None


def _asked(sess: str, parameters: dict[int, bytes]) -> SetupRequest | UnusableRequest:
    try:
        text = {code: value.decode() for code, value in parameters.items() if code != _CAUSE}
        more = dict(part.split(":", 1) for part in text.get(_MORE, "").split(";") if part)
        at = more.get("at", "")  # of a session that plays nobody waits for an answer
        wait = 0.0 if at else _number(text[_WAIT], 0.0, _LONGEST_WAIT)
        length = _number(text[_LENGTH], 0.0, 1e9) if _LENGTH in text else None
        if not int(sess, 16):
            raise ValueError("no id")
        if not wait and not at:
            raise ValueError("no time to wait")
        int(text[_TITLE], 16)
        return SetupRequest(
            sess,
            text[_GROUP],
            round(wait * 1000),
            text[_TITLE],
            int(_number(more["home"], 0, 65535)),
            int(_number(more["copies"], 1, 65535)),
            int(_number(more["top"], 0, 255)),
            int(more.get("viewer", "0"), 16) % 2**64,
            None if length is None else round(length * 1000),
            _AGAIN in text or "again" in more,
            at,
            text.get(_DESCRIPTION, ""),
        )
    except (ValueError, KeyError) as problem:
        return UnusableRequest(sess, f"{type(problem).__name__}: {str(problem)[:100]}")


def _number(text: str, least: float, most: float) -> float:
    value = float(text)
    if not math.isfinite(value) or not least <= value <= most:
        raise ValueError(f"a figure of {text[:20]}")
    return value


def encode_playing(sess: str, description: str) -> bytes:
    """The session plays; the description is the server's."""
    return _message(_ANSWER, sess, (_DESCRIPTION, description.encode()))


def encode_busy(sess: str, come_back: int) -> bytes:
    """Turned away, trying again is harmless; with the time after which to come back (us), if there is one."""
    advice = ((_COME_BACK, str(come_back // 1000).encode()),) if come_back > 0 else ()
    return _message(_RELEASE, sess, (_CAUSE, bytes([_BUSY])), *advice)


def encode_failed(sess: str) -> bytes:
    """Torn down before it played."""
    return _message(_RELEASE, sess, (_CAUSE, bytes([_FAILED])))


def encode_ended(sess: str, lost: bool) -> bytes:
    """A session that stood is over: it came to its end, or was cut."""
    return _message(_RELEASE, sess, (_CAUSE, bytes([_LOST if lost else _OVER])))


def encode_moved(sess: str) -> bytes:
    """A session that stood ends here, and the viewer comes again."""
    return _message(_MOVE, sess)


def encode_test_result(sess: str, passed: bool) -> bytes:
    return _message(_TESTED, sess, (_CAUSE, bytes([passed])))


def _message(kind: int, sess: str, *parameters: tuple[int, bytes]) -> bytes:
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    return _HEAD.pack(_HEAD.size - 2 + len(body), kind, int(sess, 16)) + body
