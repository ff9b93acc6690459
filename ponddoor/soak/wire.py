"""The platform's messages as the oracle and its stand-ins read and write them.

Written from the protocol page alone: nothing of `ponddoor.node` is imported, so that an error of the node's
codecs is not repeated here."""

import json
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

MAX_MESSAGE_BYTES = 16_384
_HEADER = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")


class MessageType(IntEnum):
    """Types of the binary messages between viewers and front nodes."""

    SETUP = 1
    ANSWER = 9
    RELEASE = 12
    RELEASE_HEARD = 16
    MOVE = 51
    TEST = 52
    TEST_RESULT = 53
    RUNG = 60


class Cause(IntEnum):
    """Causes of a release, on both wires."""

    ENDED = 16
    ENDED_BY_VIEWER = 31
    REFUSED = 34
    CUT = 41
    ERROR = 47


REFUSALS = frozenset((34, 42, 102))


class Parameter(IntEnum):
    """Codes of the parameters of a binary message."""

    CLASS = 129
    WAIT_MS = 130
    TITLE = 133
    FIGURES = 134
    COME_BACK_MS = 135
    CAUSE = 143
    DESCRIPTION = 144


class WireError(Exception):
    """What came does not follow the protocol page."""


@dataclass(frozen=True, slots=True)
class ViewerMessage:
    """One whole binary message."""

    type: int
    session: str
    parameters: dict[int, bytes]

    @property
    def cause(self) -> int:
        """The cause, or -1 where there is none."""
        value = self.parameters.get(Parameter.CAUSE, b"")
        return value[0] if len(value) == 1 else -1


def encode(kind: int, session: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """One binary message."""
    rows = (parameters or {}).items()
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in rows)
    return _HEADER.pack(_HEADER.size - 2 + len(body), kind, int(session, 16)) + body


def decode(buffer: bytearray) -> list[ViewerMessage]:
    """Take the whole messages off a buffer. Raises WireError."""
    found = []
    while len(buffer) >= 2:
        size = int.from_bytes(buffer[:2])
        if not _HEADER.size - 2 <= size <= MAX_MESSAGE_BYTES - 2:
            raise WireError(f"a length of {size}")
        if len(buffer) < 2 + size:
            break
        found.append(_message(bytes(buffer[: 2 + size])))
        del buffer[: 2 + size]
    return found


def _message(data: bytes) -> ViewerMessage:
    _, kind, session = _HEADER.unpack_from(data)
    parameters = dict[int, bytes]()
    at = _HEADER.size
    while at < len(data):
        if at + _PARAMETER.size > len(data):
            raise WireError("a parameter is cut short")
        code, size = _PARAMETER.unpack_from(data, at)
        at += _PARAMETER.size
        if at + size > len(data):
            raise WireError(f"parameter {code} is cut short")
        parameters[code] = data[at : at + size]
        at += size
    return ViewerMessage(kind, f"{session:016x}", parameters)


@dataclass(frozen=True, slots=True)
class Place:
    """Where a title lies: its home, and over how many positions from there on."""

    home: int
    copies: int


EVERYWHERE = Place(0, 4)


def set_up(
    session: str, class_name: str, wait_ms: float, at_server: str = "", place: Place = EVERYWHERE
) -> bytes:
    """A set-up, or (with `at_server`) the hand-over of a session that plays there."""
    figures = f"home:{place.home};copies:{place.copies};top:2;viewer:00000000b4d65521"
    if at_server:
        figures += f";at:{at_server}"
    return encode(
        MessageType.SETUP,
        session,
        {
            Parameter.CLASS: class_name.encode(),
            Parameter.WAIT_MS: f"{wait_ms:.0f}".encode(),
            Parameter.TITLE: b"7f3a9c21e0b4d655",
            Parameter.FIGURES: figures.encode(),
            Parameter.DESCRIPTION: f"of {session}\r\n".encode(),
        },
    )


def release(session: str, cause: Cause) -> bytes:
    """A viewer gives up its set-up or ends its session."""
    return encode(MessageType.RELEASE, session, {Parameter.CAUSE: bytes([cause])})


def release_heard(session: str) -> bytes:
    """A viewer has heard a release."""
    return encode(MessageType.RELEASE_HEARD, session)


def test_message() -> bytes:
    """A viewer's question whether a node takes set-ups."""
    return encode(MessageType.TEST, "0" * 16, {Parameter.CAUSE: b"\0"})


def server_line(kind: str, session: str, cause: int | None = None, **fields: Any) -> bytes:
    """One JSON line of a server; `description` is put beside the fields."""
    row: dict[str, Any] = {"t": kind, "ref": session, "f": {}}
    if cause is not None:
        row["c"] = cause
    if "description" in fields:
        row["d"] = fields.pop("description")
    row["f"] = fields
    return json.dumps(row).encode() + b"\n"
