"""The JSON lines of servers, free of I/O: the platform's protocol page has each. Its words live here."""

import math
import re
from dataclasses import dataclass

import msgspec

from ponddoor.front.effects import Ask
from ponddoor.interface import events as ev
from ponddoor.node.lines import UnreadableError
from ponddoor.platform.facts import report_field_name

MAX_LINE_BYTES = 16_384  # bytes of a line
_SESSION_ID = re.compile("[0-9a-f]{16}")
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
    """A SETUP is answered: the session plays, with what the server gave for the viewer."""

    sess: str
    passed: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """A SETUP failed (`before`), or the session it began is over (`after`, a word of the engine)."""

    sess: str
    before: ev.Result
    after: str
    report: dict[str, float]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe is answered."""

    sess: str
    well: bool
    report: dict[str, float]


@dataclass(frozen=True, slots=True)
class SessionNote:
    """A note on a session that plays."""

    sess: str
    kind: ev.NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class ReleaseAcknowledged:
    """A release is acknowledged."""

    sess: str


Message = SetupAccepted | SessionEnded | ProbeAnswered | SessionNote | ReleaseAcknowledged


class _Line(msgspec.Struct, frozen=True):
    t: str
    ref: str
    f: dict[str, str | int | float] = {}
    c: int | None = None
    d: str | None = None


def decode_line(line: bytes) -> Message | None:
    """What a line says; None for what is of no interest. Raises UnreadableError."""
    try:
        got = msgspec.json.decode(line, type=_Line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise UnreadableError(f"no message: {str(problem)[:80]}") from None
    if not _SESSION_ID.fullmatch(got.ref):
        raise UnreadableError("no id of a session")
    match got.t:
        case "up":
            if got.d is None:
                raise UnreadableError("an answer without a description")
            return SetupAccepted(got.ref, got.d)
        case "down":
            if got.c is None:
                raise UnreadableError("an end without a cause")
            before = _RESULT_OF_FAILED_SETUP.get(got.c, ev.Result.RESET)
            return SessionEnded(
                got.ref, before, _REASON_OF_ENDED_SESSION.get(got.c, "lost"), _report(got.f.get("load"))
            )
        case "hb_ok":
            return ProbeAnswered(got.ref, got.c == 1, _report(got.f.get("load")))
        case "tell":
            return _session_note(got)
        case "ack":
            return ReleaseAcknowledged(got.ref)
    if got.t not in _IGNORED_KINDS:
        raise UnreadableError("a message of no known kind")
    return None


def _session_note(got: _Line) -> SessionNote | None:
    kind = _NOTE_KINDS.get(str(got.f.get("note")))
    try:
        value = float(got.f.get("value", "nan"))
    except ValueError:
        raise UnreadableError("a note without a figure") from None
    if kind is None:
        return None
    if not 0 <= value < 1e6:
        raise UnreadableError("a note without a figure")
    return SessionNote(got.ref, kind, value)


def _report(text: str | int | float | None) -> dict[str, float]:
    """The figures of a report; what can't be read of it says nothing."""
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


def encode_setup(sess: str, ask: Ask, group: str, rung: int, timeout: int) -> bytes:
    """A SETUP; `timeout` in microseconds."""
    fields = {"class": group, "left": str(max(timeout // 1000, 1)), "key": ask.title, "rung": str(rung)}
    return _encode({"t": "new", "ref": sess, "f": fields, "d": ask.description})


def encode_give_up(sess: str) -> bytes:
    """A SETUP is waited for no longer."""
    return _encode({"t": "down", "ref": sess, "f": {}, "c": _GIVEN_UP})


def encode_release(sess: str) -> bytes:
    """A session that plays ends."""
    return _encode({"t": "down", "ref": sess, "f": {}, "c": _ENDED_BY_VIEWER})


def encode_rung(sess: str, number: int) -> bytes:
    return _encode({"t": "step", "ref": sess, "f": {"rung": str(number)}})


def encode_probe(sess: str, with_report: bool) -> bytes:
    """A probe, with the wish for a report or as a mere sign of life."""
    return _encode({"t": "hb", "ref": sess, "f": {}, "c": _WITH_REPORT if with_report else 0})


def _encode(message: dict[str, object]) -> bytes:
    return msgspec.json.encode(message) + b"\n"
