"""Encodes and decodes the JSON lines that nodes and media servers exchange, without I/O.

The platform's protocol page describes each message. Keys and kinds of the wire occur only in this module."""

import math
import re
from dataclasses import dataclass

import msgspec

from ponddoor.front.effects import ViewerRequest
from ponddoor.interface import events as ev
from ponddoor.node.lines import UnreadableError
from ponddoor.platform.facts import report_field_name

MAX_LINE_BYTES = 16_384
_SESSION_ID = re.compile("[0-9a-f]{16}")
# Codes that nodes send, the first two of ends, the third of a probe
_GIVEN_UP, _ENDED_BY_VIEWER, _WITH_REPORT = 16, 31, 1
_RESULT_OF_FAILED_SETUP = {34: ev.Result.FULL, 47: ev.Result.ERROR, 102: ev.Result.MOOT}
_REASON_OF_ENDED_SESSION = {16: "over", 31: "viewer-gone"}
_NOTE_KINDS = {
    "d": ev.NoteKind.DELIVERED,
    "r": ev.NoteKind.RUNG,
    "l": ev.NoteKind.LINK_ASKED,
    "u": ev.NoteKind.UPLINK_ASKED,
}
_IGNORED_KINDS = frozenset(("wait", "gauge", "step", "shift", "hb", "new"))


@dataclass(frozen=True, slots=True)
class SetupAccepted:
    """A SETUP succeeded: the session plays. `passed` is the description to pass on to the viewer."""

    sess: str
    passed: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """A SETUP failed, with `setup_result`, or the session is over, for `end_reason` (a value of the engine).

    Which of the two is meant depends on whether the SETUP has been answered."""

    sess: str
    setup_result: ev.Result
    end_reason: str
    report: dict[str, float]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """The answer to a probe, of which `sess` is the id."""

    sess: str
    healthy: bool
    report: dict[str, float]


@dataclass(frozen=True, slots=True)
class SessionNote:
    """A note on a session that plays."""

    sess: str
    kind: ev.NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class ReleaseAck:
    """The acknowledgement of a release."""

    sess: str


Message = SetupAccepted | SessionEnded | ProbeAnswered | SessionNote | ReleaseAck


class _Line(msgspec.Struct, frozen=True):
    """A line of the wire: kind `t`, session or probe `ref`, fields `f`, code `c`, description `d`."""

    t: str
    ref: str
    f: dict[str, str | int | float] = {}
    c: int | None = None
    d: str | None = None


def decode_line(line: bytes) -> Message | None:
    """Decode a line; None for a message that nodes ignore. Raises UnreadableError."""
    try:
        message = msgspec.json.decode(line, type=_Line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise UnreadableError(f"not a server message: {str(problem)[:80]}") from None
    if not _SESSION_ID.fullmatch(message.ref):
        raise UnreadableError(f"ref {message.ref[:20]!r} is not an id of 16 hexadecimal digits")
    match message.t:
        case "up":
            if message.d is None:
                raise UnreadableError("answer to a SETUP without a description")
            return SetupAccepted(message.ref, message.d)
        case "down":
            if message.c is None:
                raise UnreadableError("end of a session without a code")
            setup_result = _RESULT_OF_FAILED_SETUP.get(message.c, ev.Result.RESET)
            return SessionEnded(
                message.ref,
                setup_result,
                _REASON_OF_ENDED_SESSION.get(message.c, "lost"),
                _report(message.f.get("load")),
            )
        case "hb_ok":
            return ProbeAnswered(message.ref, message.c == 1, _report(message.f.get("load")))
        case "tell":
            return _session_note(message)
        case "ack":
            return ReleaseAck(message.ref)
    if message.t not in _IGNORED_KINDS:
        raise UnreadableError(f"unknown message kind {message.t[:20]!r}")
    return None


def _session_note(message: _Line) -> SessionNote | None:
    kind = _NOTE_KINDS.get(str(message.f.get("note")))
    try:
        value = float(message.f.get("value", "nan"))
    except ValueError:
        raise UnreadableError("note whose value is not a number") from None
    if kind is None:
        return None
    if not 0 <= value < 1e6:
        raise UnreadableError(f"note with value {value}, expected 0 or more and less than 1e6")
    return SessionNote(message.ref, kind, value)


def _report(text: str | int | float | None) -> dict[str, float]:
    """The values of a load report by our field names; unreadable, negative and infinite ones are left out."""
    report = {}
    for part in str(text or "").split(";"):
        name, _, figure = part.partition(":")
        try:
            value = float(figure)
        except ValueError:
            continue
        if math.isfinite(value) and value >= 0:
            report[report_field_name(name)] = value
    return report


def encode_setup(sess: str, ask: ViewerRequest, group: str, rung: int, timeout: int) -> bytes:
    """A SETUP; `timeout` is in microseconds."""
    fields = {"class": group, "left": str(max(timeout // 1000, 1)), "key": ask.title, "rung": str(rung)}
    return _encode({"t": "new", "ref": sess, "f": fields, "d": ask.description})


def encode_give_up(sess: str) -> bytes:
    """Tells the server that a SETUP is no longer waited for."""
    return _encode({"t": "down", "ref": sess, "f": {}, "c": _GIVEN_UP})


def encode_release(sess: str) -> bytes:
    """Ends a session that plays."""
    return _encode({"t": "down", "ref": sess, "f": {}, "c": _ENDED_BY_VIEWER})


def encode_rung(sess: str, number: int) -> bytes:
    return _encode({"t": "step", "ref": sess, "f": {"rung": str(number)}})


def encode_probe(probe_id: str, with_report: bool) -> bytes:
    """A probe that requests a load report, or only a sign of life."""
    return _encode({"t": "hb", "ref": probe_id, "f": {}, "c": _WITH_REPORT if with_report else 0})


def _encode(message: dict[str, object]) -> bytes:
    return msgspec.json.encode(message) + b"\n"
