"""What fronts say to one another, and the bytes of it. A message holds 225 bytes; longer words are split.

What is empty or of no known kind says nothing; what is cut short is read as far as it goes.
"""

import struct
from dataclasses import dataclass

_CHANGES, _ALL, _OURS, _HOLDERS, _ANSWER = range(5)
_RATE, _QUESTION, _ROOM = struct.Struct(">IHBBBB"), struct.Struct(">III"), struct.Struct(">IhHH")
_KB, _AGE, _NONE, _A_MESSAGE = 4.0, 20_000, 255, 22  # steps of rates and ages, no sample, rows a message
_WARM = 0x8000  # of the rate of the teller, or of the asker: the highest bit


@dataclass(frozen=True, slots=True)
class Sample:
    """What was reported or noted of a server, and how long ago."""

    figure: float
    age: int


@dataclass(frozen=True, slots=True)
class Rate:
    """What the teller asks of a server, with the load and the share delivered that came to it alone, and
    whether it has a session there that began before the server could be cold."""

    server: int
    kb: float
    load: Sample | None = None
    share: Sample | None = None
    warm: bool = False


@dataclass(frozen=True, slots=True)
class Telling:
    """The teller's rates: all of them, or those that changed."""

    rates: tuple[Rate, ...]
    whole: bool


@dataclass(frozen=True, slots=True)
class AskOurs:
    """A question: how the servers stand where the asker has sessions."""


@dataclass(frozen=True, slots=True)
class AskHolders:
    """A question: how the best holders of a title stand."""

    home: int
    span: int
    zone: int


@dataclass(frozen=True, slots=True)
class Room:
    """How a server stands: its idle, what is asked of it, what of that is the asker's, and whether a session
    plays there that began before the server could be cold."""

    server: int
    idle: float
    asked: float
    theirs: float
    warm: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a question."""

    rooms: tuple[Room, ...]


Word = Telling | AskOurs | AskHolders | Answer


def pack(word: Word) -> list[bytes]:
    """The messages that say a word."""
    match word:
        case Telling(rates, whole):
            rows = [_RATE.pack(r.server, _flagged(r.kb, r.warm), *_sample(r.load), *_sample(r.share))
                    for r in rates]
            return _split(_ALL if whole else _CHANGES, _CHANGES, rows)
        case AskOurs():
            return [bytes([_OURS])]
        case AskHolders(home, span, zone):
            return [bytes([_HOLDERS]) + _QUESTION.pack(home, span, zone)]
        case Answer(rooms):
            rows = [_ROOM.pack(r.server, _steps(r.idle, 32767, -32768), _steps(r.asked, 65535),
                               _flagged(r.theirs, r.warm)) for r in rooms]
            return _split(_ANSWER, _ANSWER, rows)


def unpack(payload: bytes) -> Word | None:
    """What a message says; None if nothing."""
    kind, body = payload[0] if payload else -1, payload[1:]
    if kind in (_CHANGES, _ALL):
        rows = _RATE.iter_unpack(body[:len(body) // _RATE.size * _RATE.size])
        return Telling(tuple(Rate(at, (kb & ~_WARM) * _KB, _read(load, age), _read(share, since), kb >= _WARM)
                             for at, kb, load, age, share, since in rows), kind == _ALL)
    if kind == _OURS:
        return AskOurs()
    if kind == _HOLDERS and len(body) >= _QUESTION.size:
        return AskHolders(*_QUESTION.unpack_from(body))
    if kind == _ANSWER:
        rooms = _ROOM.iter_unpack(body[:len(body) // _ROOM.size * _ROOM.size])
        return Answer(tuple(Room(at, idle * _KB, asked * _KB, (theirs & ~_WARM) * _KB, theirs >= _WARM)
                            for at, idle, asked, theirs in rooms))
    return None


def _split(first: int, further: int, rows: list[bytes]) -> list[bytes]:
    starts = range(0, max(len(rows), 1), _A_MESSAGE)
    return [bytes([further if at else first]) + b"".join(rows[at:at + _A_MESSAGE]) for at in starts]


def _steps(kb: float, most: int, least: int = 0) -> int:
    return max(least, min(round(kb / _KB), most))


def _flagged(kb: float, warm: bool) -> int:
    return _steps(kb, _WARM - 1) | (_WARM if warm else 0)


def _sample(sample: Sample | None) -> tuple[int, int]:
    return (min(round(sample.figure * 100), 254), min(sample.age // _AGE, 255)) if sample else (_NONE, _NONE)


def _read(figure: int, age: int) -> Sample | None:
    return None if figure == _NONE else Sample(figure / 100, age * _AGE)
