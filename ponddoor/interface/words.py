"""What fronts say to one another, and the bytes of it. A message holds 225 bytes; longer words are split.

Every word but a question names its teller's `life`. What is empty or of no known kind says nothing; what is
cut short is read as far as it goes."""

import struct
from dataclasses import dataclass
from enum import IntEnum

_TELLING, _RATE, _PLAIN = struct.Struct(">II"), struct.Struct(">IHBBBBBBB"), struct.Struct(">IH")
_QUESTION, _OURS_ASKED = struct.Struct(">HIII"), struct.Struct(">H")
_ANSWERED, _ROOM, _BRIEF = struct.Struct(">IHH"), struct.Struct(">IhHHBBBB"), struct.Struct(">IhHH")
_LIFE, _LENT, _GROUP = struct.Struct(">I"), struct.Struct(">IIH"), struct.Struct(">H")
_HEARD, _OF, _ROW = struct.Struct(">HIB"), struct.Struct(">HB"), struct.Struct(">HIBH")
_SAW, _COUNT = struct.Struct(">IBBB"), struct.Struct(">IB")
_KB, _AGE, _SPAN, _NONE = 4.0, 20_000, 40_000, 255  # steps of rates and ages, no sample
_WARM = 0x8000  # of the rate of the teller, or of the asker, or that a send is granted: the highest bit
_NOBODY = 0xFFFF
MAX_DATAGRAM_BYTES = 225
MAX_RATES = (MAX_DATAGRAM_BYTES - 1 - _TELLING.size) // _RATE.size  # rows a message
MAX_PLAIN_RATES = (MAX_DATAGRAM_BYTES - 1 - _TELLING.size) // _PLAIN.size
MAX_STATUSES = (MAX_DATAGRAM_BYTES - 1 - _ANSWERED.size) // _ROOM.size
MAX_BRIEF_STATUSES = (MAX_DATAGRAM_BYTES - 1 - _ANSWERED.size) // _BRIEF.size
MAX_MEMBER_ROWS = 8  # of presence in a message
MAX_GROUPS = 64
MAX_OBSERVATIONS = (MAX_DATAGRAM_BYTES - 1 - _COUNT.size - MAX_MEMBER_ROWS * _ROW.size) // _SAW.size


class _Kind(IntEnum):
    """The first byte of a message."""

    CHANGES = 0
    ALL = 1
    OURS = 2
    HOLDERS = 3
    ANSWER = 4
    BEGUN = 5
    LENDING = 6
    PING = 7
    ACK = 8
    VIA = 9
    ASK_NEWS = 10
    NEWS = 11
    BRIEF = 12
    SAW = 13  # changes, with what came to the teller


_NAMES = {kind.value: kind.name.lower().replace("_", "-") for kind in _Kind}
KINDS = tuple(_NAMES.values())


@dataclass(frozen=True, slots=True)
class Sample:
    """What was reported or noted of a server, and how long ago."""

    value: float
    age: int


@dataclass(frozen=True, slots=True)
class SetupOutcomes:
    """Set-ups at a server that failed and that went well lately, and how long ago the last of each did."""

    failed: int
    succeeded: int
    failed_age: int = 0
    succeeded_age: int = 0


@dataclass(frozen=True, slots=True)
class ServerRate:
    """What the teller asks of a server, with the load and the share delivered that came to it alone, whether
    it has a session there that began before the server could be cold, and how its set-ups there ended."""

    server: int
    rate_kb: float
    load: Sample | None = None
    delivered: Sample | None = None
    warm: bool = False
    outcomes: SetupOutcomes | None = None


@dataclass(frozen=True, slots=True)
class RateUpdate:
    """The teller's rates: all of them that the hearer keeps, or those that changed."""

    incarnation: int
    stamp: int
    rates: tuple[ServerRate, ...]
    full: bool


@dataclass(frozen=True, slots=True)
class InUseQuery:
    """A question: how the servers stand where the asker has sessions."""

    number: int


@dataclass(frozen=True, slots=True)
class HoldersQuery:
    """A question: how the best holders of a title stand."""

    number: int
    home: int
    span: int
    zone: int


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """How a server stands: its idle, what is asked of it, what of that is the asker's, whether a session
    plays there that began before the server could be cold, what others than the asker saw of it (`against`:
    so many), and whether the asker may send there now what needs a grant."""

    server: int
    idle_kb: float
    asked_kb: float
    asker_kb: float
    warm: bool = False
    witnesses_against: int = 0
    outcomes: SetupOutcomes = SetupOutcomes(0, 0)
    granted: bool = False


@dataclass(frozen=True, slots=True)
class QueryReply:
    """The answer to a question. `lend`: the number under which the asker may lend its parts."""

    incarnation: int
    number: int
    lease_request: int
    statuses: tuple[ServerStatus, ...]
    brief: bool = False  # without what others saw: of where the asker plays


@dataclass(frozen=True, slots=True)
class FullUpdateRequest:
    """The teller has begun, or begun to keep a group: it is to be told all."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ShareLease:
    """The teller lends its parts of these groups; `keeper` is the hearer's life as it put the question."""

    incarnation: int
    borrower_incarnation: int
    number: int
    groups: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MemberRow:
    """A front's life and bump, and who accuses it of silence."""

    front: int
    incarnation: int
    refutations: int
    accuser: int | None


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there?"""

    number: int
    incarnation: int
    refutations: int
    rows: tuple[MemberRow, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """`of` is there; or it did not answer the teller either."""

    number: int
    incarnation: int
    refutations: int
    rows: tuple[MemberRow, ...]
    target: int
    missed: bool = False


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ping `target` for the teller."""

    number: int
    incarnation: int
    refutations: int
    rows: tuple[MemberRow, ...]
    target: int


@dataclass(frozen=True, slots=True)
class BootstrapRequest:
    """The teller has begun: what is known of fronts and servers?"""

    incarnation: int


@dataclass(frozen=True, slots=True)
class BootstrapReply:
    """What the teller knows: fronts in trouble, and what it saw of servers itself."""

    incarnation: int
    rows: tuple[MemberRow, ...]
    observations: tuple[tuple[int, SetupOutcomes], ...]


Message = (
    RateUpdate
    | InUseQuery
    | HoldersQuery
    | QueryReply
    | FullUpdateRequest
    | ShareLease
    | Ping
    | Ack
    | PingRequest
    | BootstrapRequest
    | BootstrapReply
)


def pack(word: Message) -> list[bytes]:
    """The messages that say a word."""
    match word:
        case RateUpdate(life, stamp, rates, whole):
            rows = [
                _RATE.pack(
                    r.server,
                    _flagged(r.rate_kb, r.warm),
                    *_sample(r.load),
                    *_sample(r.delivered),
                    *_ends(r.outcomes),
                )
                for r in rates
            ]
            head, more = _TELLING.pack(life, stamp), any(r.load or r.delivered or r.outcomes for r in rates)
            if more and not whole:
                return _split(_Kind.SAW, _Kind.SAW, head, rows, MAX_RATES)
            rows = [row[: _PLAIN.size] for row in rows]
            return _split(_Kind.ALL if whole else _Kind.CHANGES, _Kind.CHANGES, head, rows, MAX_PLAIN_RATES)
        case InUseQuery(number):
            return [bytes([_Kind.OURS]) + _OURS_ASKED.pack(number)]
        case HoldersQuery(number, home, span, zone):
            return [bytes([_Kind.HOLDERS]) + _QUESTION.pack(number, home, span, zone)]
        case QueryReply(life, number, lend, rooms, brief):
            rows = [
                _ROOM.pack(
                    r.server,
                    _steps(r.idle_kb, 32767, -32768),
                    _flagged(r.asked_kb, r.granted),
                    _flagged(r.asker_kb, r.warm),
                    min(r.witnesses_against, 255),
                    *_ends(r.outcomes),
                )
                for r in rooms
            ]
            kind, most = _Kind.ANSWER, MAX_STATUSES
            if brief:
                rows, kind, most = [row[: _BRIEF.size] for row in rows], _Kind.BRIEF, MAX_BRIEF_STATUSES
            return _split(kind, kind, _ANSWERED.pack(life, number, lend), rows, most)
        case FullUpdateRequest(life):
            return [bytes([_Kind.BEGUN]) + _LIFE.pack(life)]
        case ShareLease(life, keeper, number, groups):
            lent = b"".join(map(_GROUP.pack, groups))
            return [bytes([_Kind.LENDING]) + _LENT.pack(life, keeper, number) + lent]
        case Ping(number, life, bump, told):
            return [bytes([_Kind.PING]) + _HEARD.pack(number, life, bump) + _rows(told)]
        case Ack(number, life, bump, told, of, missed):
            return [bytes([_Kind.ACK]) + _HEARD.pack(number, life, bump) + _OF.pack(of, missed) + _rows(told)]
        case PingRequest(number, life, bump, told, target):
            return [bytes([_Kind.VIA]) + _HEARD.pack(number, life, bump) + _OF.pack(target, 0) + _rows(told)]
        case BootstrapRequest(life):
            return [bytes([_Kind.ASK_NEWS]) + _LIFE.pack(life)]
        case BootstrapReply(life, told, saw):
            seen = b"".join(_SAW.pack(server, *_ends(ends)) for server, ends in saw)
            return [bytes([_Kind.NEWS]) + _COUNT.pack(life, len(told)) + _rows(told) + seen]


def unpack(payload: bytes) -> Message | None:
    """What a message says; None if nothing."""
    kind, body = payload[0] if payload else -1, payload[1:]
    try:
        return _unpack(kind, body)
    except struct.error:  # cut short where it can't be
        return None


def kind_of(payload: bytes) -> str:
    """The name of a message's kind, to be counted under; `other` where it is none of these."""
    return _NAMES.get(payload[0], "other") if payload else "other"


def _unpack(kind: int, body: bytes) -> Message | None:
    match kind:
        case _Kind.CHANGES | _Kind.ALL | _Kind.SAW:
            life, stamp = _TELLING.unpack_from(body)
            rows = _whole(_RATE if kind == _Kind.SAW else _PLAIN, body[_TELLING.size :])
            rates = tuple(_read_rate(*row) for row in rows)
            return RateUpdate(life, stamp, rates, kind == _Kind.ALL)
        case _Kind.OURS:
            return InUseQuery(*_OURS_ASKED.unpack_from(body))
        case _Kind.HOLDERS:
            return HoldersQuery(*_QUESTION.unpack_from(body))
        case _Kind.ANSWER | _Kind.BRIEF:
            life, number, lend = _ANSWERED.unpack_from(body)
            brief, after = kind == _Kind.BRIEF, body[_ANSWERED.size :]
            rows = _whole(_BRIEF if brief else _ROOM, after)
            return QueryReply(life, number, lend, tuple(_read_room(*row) for row in rows), brief)
        case _Kind.BEGUN:
            return FullUpdateRequest(*_LIFE.unpack_from(body))
        case _Kind.LENDING:
            life, keeper, number = _LENT.unpack_from(body)
            return ShareLease(
                life, keeper, number, tuple(row[0] for row in _whole(_GROUP, body[_LENT.size :]))
            )
        case _Kind.PING:
            number, life, bump = _HEARD.unpack_from(body)
            return Ping(number, life, bump, _read_rows(body[_HEARD.size :]))
        case _Kind.ACK | _Kind.VIA:
            number, life, bump = _HEARD.unpack_from(body)
            of, missed = _OF.unpack_from(body, _HEARD.size)
            told = _read_rows(body[_HEARD.size + _OF.size :])
            if kind == _Kind.VIA:
                return PingRequest(number, life, bump, told, of)
            return Ack(number, life, bump, told, of, missed > 0)
        case _Kind.ASK_NEWS:
            return BootstrapRequest(*_LIFE.unpack_from(body))
        case _Kind.NEWS:
            life, count = _COUNT.unpack_from(body)
            after = _COUNT.size + count * _ROW.size
            seen = _whole(_SAW, body[after:])
            saw = tuple((server, _read_ends(*ends) or SetupOutcomes(0, 0)) for server, *ends in seen)
            return BootstrapReply(life, _read_rows(body[_COUNT.size : after]), saw)
    return None


def _read_rate(
    at: int, kb: int, load: int = _NONE, age: int = 0, share: int = _NONE, since: int = 0, *ends: int
) -> ServerRate:
    told = _read_ends(*ends) if ends else None
    return ServerRate(at, (kb & ~_WARM) * _KB, _read(load, age), _read(share, since), kb >= _WARM, told)


def _read_room(at: int, idle: int, asked: int, theirs: int, against: int = 0, *ends: int) -> ServerStatus:
    told = _read_ends(*ends) if ends else None
    return ServerStatus(
        at,
        idle * _KB,
        (asked & ~_WARM) * _KB,
        (theirs & ~_WARM) * _KB,
        theirs >= _WARM,
        against,
        told or SetupOutcomes(0, 0),
        asked >= _WARM,
    )


def _whole(row: struct.Struct, body: bytes) -> list[tuple[int, ...]]:
    return list(row.iter_unpack(body[: len(body) // row.size * row.size]))


def _split(first: int, further: int, head: bytes, rows: list[bytes], most: int) -> list[bytes]:
    starts = range(0, max(len(rows), 1), most)
    return [bytes([further if at else first]) + head + b"".join(rows[at : at + most]) for at in starts]


def _steps(kb: float, most: int, least: int = 0) -> int:
    return max(least, min(round(kb / _KB), most))


def _flagged(kb: float, warm: bool) -> int:
    return _steps(kb, _WARM - 1) | (_WARM if warm else 0)


def _sample(sample: Sample | None) -> tuple[int, int]:
    return (min(round(sample.value * 100), 254), min(sample.age // _AGE, 255)) if sample else (_NONE, _NONE)


def _read(figure: int, age: int) -> Sample | None:
    return None if figure == _NONE else Sample(figure / 100, age * _AGE)


def _ends(ends: SetupOutcomes | None) -> tuple[int, int, int]:
    """Tries in half a byte each, and both ages."""
    if ends is None or not (ends.failed or ends.succeeded):
        return 0, 0, 0
    counts = min(ends.failed, 15) << 4 | min(ends.succeeded, 15)
    return counts, min(ends.failed_age // _SPAN, 255), min(ends.succeeded_age // _SPAN, 255)


def _read_ends(counts: int, failed_age: int, well_age: int) -> SetupOutcomes | None:
    if not counts:
        return None
    return SetupOutcomes(counts >> 4, counts & 15, failed_age * _SPAN, well_age * _SPAN)


def _rows(rows: tuple[MemberRow, ...]) -> bytes:
    return b"".join(
        _ROW.pack(r.front, r.incarnation, r.refutations, _NOBODY if r.accuser is None else r.accuser)
        for r in rows[:MAX_MEMBER_ROWS]
    )


def _read_rows(body: bytes) -> tuple[MemberRow, ...]:
    return tuple(
        MemberRow(front, life, bump, None if accuser == _NOBODY else accuser)
        for front, life, bump, accuser in _whole(_ROW, body)[:MAX_MEMBER_ROWS]
    )
