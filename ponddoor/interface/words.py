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
MESSAGE = 225
RATES = (MESSAGE - 1 - _TELLING.size) // _RATE.size  # rows a message
PLAIN_RATES = (MESSAGE - 1 - _TELLING.size) // _PLAIN.size
ROOMS = (MESSAGE - 1 - _ANSWERED.size) // _ROOM.size
BRIEF_ROOMS = (MESSAGE - 1 - _ANSWERED.size) // _BRIEF.size
ROWS = 8  # of presence in a message
GROUPS = 64
NEWS = (MESSAGE - 1 - _COUNT.size - ROWS * _ROW.size) // _SAW.size


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

    figure: float
    age: int


@dataclass(frozen=True, slots=True)
class Ends:
    """Set-ups at a server that failed and that went well lately, and how long ago the last of each did."""

    failed: int
    well: int
    failed_age: int = 0
    well_age: int = 0


@dataclass(frozen=True, slots=True)
class Rate:
    """What the teller asks of a server, with the load and the share delivered that came to it alone, whether
    it has a session there that began before the server could be cold, and how its set-ups there ended."""

    server: int
    kb: float
    load: Sample | None = None
    share: Sample | None = None
    warm: bool = False
    ends: Ends | None = None


@dataclass(frozen=True, slots=True)
class Telling:
    """The teller's rates: all of them that the hearer keeps, or those that changed."""

    life: int
    stamp: int
    rates: tuple[Rate, ...]
    whole: bool


@dataclass(frozen=True, slots=True)
class AskOurs:
    """A question: how the servers stand where the asker has sessions."""

    number: int


@dataclass(frozen=True, slots=True)
class AskHolders:
    """A question: how the best holders of a title stand."""

    number: int
    home: int
    span: int
    zone: int


@dataclass(frozen=True, slots=True)
class Room:
    """How a server stands: its idle, what is asked of it, what of that is the asker's, whether a session
    plays there that began before the server could be cold, what others than the asker saw of it (`against`:
    so many), and whether the asker may send there now what needs a grant."""

    server: int
    idle: float
    asked: float
    theirs: float
    warm: bool = False
    against: int = 0
    ends: Ends = Ends(0, 0)
    granted: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a question. `lend`: the number under which the asker may lend its parts."""

    life: int
    number: int
    lend: int
    rooms: tuple[Room, ...]
    brief: bool = False  # without what others saw: of where the asker plays


@dataclass(frozen=True, slots=True)
class Begun:
    """The teller has begun, or begun to keep a group: it is to be told all."""

    life: int


@dataclass(frozen=True, slots=True)
class Lending:
    """The teller lends its parts of these groups; `keeper` is the hearer's life as it put the question."""

    life: int
    keeper: int
    number: int
    groups: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Row:
    """A front's life and bump, and who accuses it of silence."""

    front: int
    life: int
    bump: int
    accuser: int | None


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there?"""

    number: int
    life: int
    bump: int
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """`of` is there; or it did not answer the teller either."""

    number: int
    life: int
    bump: int
    rows: tuple[Row, ...]
    of: int
    missed: bool = False


@dataclass(frozen=True, slots=True)
class Via:
    """Ping `target` for the teller."""

    number: int
    life: int
    bump: int
    rows: tuple[Row, ...]
    target: int


@dataclass(frozen=True, slots=True)
class AskNews:
    """The teller has begun: what is known of fronts and servers?"""

    life: int


@dataclass(frozen=True, slots=True)
class News:
    """What the teller knows: fronts in trouble, and what it saw of servers itself."""

    life: int
    rows: tuple[Row, ...]
    saw: tuple[tuple[int, Ends], ...]


Word = Telling | AskOurs | AskHolders | Answer | Begun | Lending | Ping | Ack | Via | AskNews | News


def pack(word: Word) -> list[bytes]:
    """The messages that say a word."""
    match word:
        case Telling(life, stamp, rates, whole):
            rows = [
                _RATE.pack(
                    r.server, _flagged(r.kb, r.warm), *_sample(r.load), *_sample(r.share), *_ends(r.ends)
                )
                for r in rates
            ]
            head, more = _TELLING.pack(life, stamp), any(r.load or r.share or r.ends for r in rates)
            if more and not whole:
                return _split(_Kind.SAW, _Kind.SAW, head, rows, RATES)
            rows = [row[: _PLAIN.size] for row in rows]
            return _split(_Kind.ALL if whole else _Kind.CHANGES, _Kind.CHANGES, head, rows, PLAIN_RATES)
        case AskOurs(number):
            return [bytes([_Kind.OURS]) + _OURS_ASKED.pack(number)]
        case AskHolders(number, home, span, zone):
            return [bytes([_Kind.HOLDERS]) + _QUESTION.pack(number, home, span, zone)]
        case Answer(life, number, lend, rooms, brief):
            rows = [
                _ROOM.pack(
                    r.server,
                    _steps(r.idle, 32767, -32768),
                    _flagged(r.asked, r.granted),
                    _flagged(r.theirs, r.warm),
                    min(r.against, 255),
                    *_ends(r.ends),
                )
                for r in rooms
            ]
            kind, most = _Kind.ANSWER, ROOMS
            if brief:
                rows, kind, most = [row[: _BRIEF.size] for row in rows], _Kind.BRIEF, BRIEF_ROOMS
            return _split(kind, kind, _ANSWERED.pack(life, number, lend), rows, most)
        case Begun(life):
            return [bytes([_Kind.BEGUN]) + _LIFE.pack(life)]
        case Lending(life, keeper, number, groups):
            lent = b"".join(map(_GROUP.pack, groups))
            return [bytes([_Kind.LENDING]) + _LENT.pack(life, keeper, number) + lent]
        case Ping(number, life, bump, told):
            return [bytes([_Kind.PING]) + _HEARD.pack(number, life, bump) + _rows(told)]
        case Ack(number, life, bump, told, of, missed):
            return [bytes([_Kind.ACK]) + _HEARD.pack(number, life, bump) + _OF.pack(of, missed) + _rows(told)]
        case Via(number, life, bump, told, target):
            return [bytes([_Kind.VIA]) + _HEARD.pack(number, life, bump) + _OF.pack(target, 0) + _rows(told)]
        case AskNews(life):
            return [bytes([_Kind.ASK_NEWS]) + _LIFE.pack(life)]
        case News(life, told, saw):
            seen = b"".join(_SAW.pack(server, *_ends(ends)) for server, ends in saw)
            return [bytes([_Kind.NEWS]) + _COUNT.pack(life, len(told)) + _rows(told) + seen]


def unpack(payload: bytes) -> Word | None:
    """What a message says; None if nothing."""
    kind, body = payload[0] if payload else -1, payload[1:]
    try:
        return _unpack(kind, body)
    except struct.error:  # cut short where it can't be
        return None


def kind_of(payload: bytes) -> str:
    """The name of a message's kind, to be counted under; `other` where it is none of these."""
    return _NAMES.get(payload[0], "other") if payload else "other"


def _unpack(kind: int, body: bytes) -> Word | None:
    match kind:
        case _Kind.CHANGES | _Kind.ALL | _Kind.SAW:
            life, stamp = _TELLING.unpack_from(body)
            rows = _whole(_RATE if kind == _Kind.SAW else _PLAIN, body[_TELLING.size :])
            rates = tuple(_read_rate(*row) for row in rows)
            return Telling(life, stamp, rates, kind == _Kind.ALL)
        case _Kind.OURS:
            return AskOurs(*_OURS_ASKED.unpack_from(body))
        case _Kind.HOLDERS:
            return AskHolders(*_QUESTION.unpack_from(body))
        case _Kind.ANSWER | _Kind.BRIEF:
            life, number, lend = _ANSWERED.unpack_from(body)
            brief, after = kind == _Kind.BRIEF, body[_ANSWERED.size :]
            rows = _whole(_BRIEF if brief else _ROOM, after)
            return Answer(life, number, lend, tuple(_read_room(*row) for row in rows), brief)
        case _Kind.BEGUN:
            return Begun(*_LIFE.unpack_from(body))
        case _Kind.LENDING:
            life, keeper, number = _LENT.unpack_from(body)
            return Lending(life, keeper, number, tuple(row[0] for row in _whole(_GROUP, body[_LENT.size :])))
        case _Kind.PING:
            number, life, bump = _HEARD.unpack_from(body)
            return Ping(number, life, bump, _read_rows(body[_HEARD.size :]))
        case _Kind.ACK | _Kind.VIA:
            number, life, bump = _HEARD.unpack_from(body)
            of, missed = _OF.unpack_from(body, _HEARD.size)
            told = _read_rows(body[_HEARD.size + _OF.size :])
            if kind == _Kind.VIA:
                return Via(number, life, bump, told, of)
            return Ack(number, life, bump, told, of, missed > 0)
        case _Kind.ASK_NEWS:
            return AskNews(*_LIFE.unpack_from(body))
        case _Kind.NEWS:
            life, count = _COUNT.unpack_from(body)
            after = _COUNT.size + count * _ROW.size
            seen = _whole(_SAW, body[after:])
            saw = tuple((server, _read_ends(*ends) or Ends(0, 0)) for server, *ends in seen)
            return News(life, _read_rows(body[_COUNT.size : after]), saw)
    return None


def _read_rate(
    at: int, kb: int, load: int = _NONE, age: int = 0, share: int = _NONE, since: int = 0, *ends: int
) -> Rate:
    told = _read_ends(*ends) if ends else None
    return Rate(at, (kb & ~_WARM) * _KB, _read(load, age), _read(share, since), kb >= _WARM, told)


def _read_room(at: int, idle: int, asked: int, theirs: int, against: int = 0, *ends: int) -> Room:
    told = _read_ends(*ends) if ends else None
    return Room(
        at,
        idle * _KB,
        (asked & ~_WARM) * _KB,
        (theirs & ~_WARM) * _KB,
        theirs >= _WARM,
        against,
        told or Ends(0, 0),
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
    return (min(round(sample.figure * 100), 254), min(sample.age // _AGE, 255)) if sample else (_NONE, _NONE)


def _read(figure: int, age: int) -> Sample | None:
    return None if figure == _NONE else Sample(figure / 100, age * _AGE)


def _ends(ends: Ends | None) -> tuple[int, int, int]:
    """Tries in half a byte each, and both ages."""
    if ends is None or not (ends.failed or ends.well):
        return 0, 0, 0
    counts = min(ends.failed, 15) << 4 | min(ends.well, 15)
    return counts, min(ends.failed_age // _SPAN, 255), min(ends.well_age // _SPAN, 255)


def _read_ends(counts: int, failed_age: int, well_age: int) -> Ends | None:
    if not counts:
        return None
    return Ends(counts >> 4, counts & 15, failed_age * _SPAN, well_age * _SPAN)


def _rows(rows: tuple[Row, ...]) -> bytes:
    return b"".join(
        _ROW.pack(r.front, r.life, r.bump, _NOBODY if r.accuser is None else r.accuser) for r in rows[:ROWS]
    )


def _read_rows(body: bytes) -> tuple[Row, ...]:
    return tuple(
        Row(front, life, bump, None if accuser == _NOBODY else accuser)
        for front, life, bump, accuser in _whole(_ROW, body)[:ROWS]
    )
