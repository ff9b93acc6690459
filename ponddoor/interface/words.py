"""Messages between fronts, and their encoding as datagrams of at most 225 bytes; longer messages are split.

Every message but a query carries the sender's incarnation. `unpack` returns None for a datagram that is
empty or of an unknown kind, and reads a truncated one up to its last complete row. Ages are in
microseconds, rates in kB/s."""

import struct
from dataclasses import dataclass
from enum import IntEnum

# Headers
_INCARNATION = struct.Struct(">I")
_RATE_UPDATE = struct.Struct(">II")
_HOLDERS_QUERY = struct.Struct(">HIII")
_IN_USE_QUERY = struct.Struct(">H")
_QUERY_REPLY = struct.Struct(">IHH")
_SHARE_LEASE = struct.Struct(">IIH")
_PING = struct.Struct(">HIB")
_PING_TARGET = struct.Struct(">HB")
_BOOTSTRAP_REPLY = struct.Struct(">IB")
# Rows
_RATE = struct.Struct(">IHBBBBBBB")
_PLAIN_RATE = struct.Struct(">IH")
_STATUS = struct.Struct(">IhHHBBBB")
_BRIEF_STATUS = struct.Struct(">IhHH")
_GROUP = struct.Struct(">H")
_MEMBER_ROW = struct.Struct(">HIBH")
_OBSERVATION = struct.Struct(">IBBB")

_RATE_STEP_KB = 4.0  # unit of rates on the wire
_SAMPLE_AGE_STEP_US = 20_000
_OUTCOME_AGE_STEP_US = 40_000
_NO_SAMPLE = 255
_FLAG = 0x8000  # highest bit of a rate: warm for a sent rate or the asker's rate, granted for the rate in all
_NO_FRONT = 0xFFFF
MAX_DATAGRAM_BYTES = 225
MAX_RATES = (MAX_DATAGRAM_BYTES - 1 - _RATE_UPDATE.size) // _RATE.size  # rows a datagram
MAX_PLAIN_RATES = (MAX_DATAGRAM_BYTES - 1 - _RATE_UPDATE.size) // _PLAIN_RATE.size
MAX_STATUSES = (MAX_DATAGRAM_BYTES - 1 - _QUERY_REPLY.size) // _STATUS.size
MAX_BRIEF_STATUSES = (MAX_DATAGRAM_BYTES - 1 - _QUERY_REPLY.size) // _BRIEF_STATUS.size
MAX_MEMBER_ROWS = 8
MAX_GROUPS = 64
MAX_OBSERVATIONS = (
    MAX_DATAGRAM_BYTES - 1 - _BOOTSTRAP_REPLY.size - MAX_MEMBER_ROWS * _MEMBER_ROW.size
) // _OBSERVATION.size


class _Kind(IntEnum):
    """The first byte of a datagram. The member names in lower case are metric labels."""

    CHANGES = 0  # RateUpdate of the rates that changed
    ALL = 1  # RateUpdate of all rates
    OURS = 2  # InUseQuery
    HOLDERS = 3  # HoldersQuery
    ANSWER = 4  # QueryReply
    BEGUN = 5  # FullUpdateRequest
    LENDING = 6  # ShareLease
    PING = 7  # Ping
    ACK = 8  # Ack
    VIA = 9  # PingRequest
    ASK_NEWS = 10  # BootstrapRequest
    NEWS = 11  # BootstrapReply
    BRIEF = 12  # QueryReply without what others observed
    SAW = 13  # RateUpdate of changes, with the load, delivery and set-up outcomes that the sender observed


_NAMES = {kind.value: kind.name.lower().replace("_", "-") for kind in _Kind}
KINDS = tuple(_NAMES.values())


@dataclass(frozen=True, slots=True)
class Sample:
    """A figure that was reported or noted of a server, and its age."""

    value: float
    age: int


@dataclass(frozen=True, slots=True)
class SetupOutcomes:
    """Recent set-ups at a server that failed and that succeeded, and the age of the last of each."""

    failed: int
    succeeded: int
    failed_age: int = 0
    succeeded_age: int = 0


@dataclass(frozen=True, slots=True)
class ServerRate:
    """The rate that the sender requests of a server, with what only the sender received about it.

    `load` is its reported load, `delivered` the delivered share of a requested rate, `outcomes` how the
    sender's set-ups ended there. `warm`: the sender has a session there that began before the server could
    be cold."""

    server: int
    rate_kb: float
    load: Sample | None = None
    delivered: Sample | None = None
    warm: bool = False
    outcomes: SetupOutcomes | None = None


@dataclass(frozen=True, slots=True)
class RateUpdate:
    """The sender's rates at servers of the receiver's groups: all if `full`, else those that changed."""

    incarnation: int
    stamp: int
    rates: tuple[ServerRate, ...]
    full: bool


@dataclass(frozen=True, slots=True)
class InUseQuery:
    """Asks for the status of the servers at which the sender has sessions."""

    number: int


@dataclass(frozen=True, slots=True)
class HoldersQuery:
    """Asks for the status of the best holders of a title."""

    number: int
    home: int
    span: int
    zone: int


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """The status of a server: its residual capacity, and the rate requested of it in all and by the asker.

    `warm`: a session plays there that began before the server could be cold. `witnesses_against` and
    `outcomes` are what others than the asker observed of it. `granted`: the asker may now send a set-up
    that needs a grant."""

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
    """The reply to a query. The asker may lend its budget shares in answer to `lease_request`; 0 is none."""

    incarnation: int
    number: int
    lease_request: int
    statuses: tuple[ServerStatus, ...]
    brief: bool = False  # reply to an InUseQuery, without what others observed


@dataclass(frozen=True, slots=True)
class FullUpdateRequest:
    """Asks for all rates: the sender has started, or has become an owner of a group."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ShareLease:
    """Lends the sender's budget shares of these groups to the receiver.

    `borrower_incarnation` and `number` are those of the receiver's lease request."""

    incarnation: int
    borrower_incarnation: int
    number: int
    groups: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MemberRow:
    """The membership state of a front. `accuser` is a front that suspects it, None if it is not suspected.

    A front increments `refutations` to refute a suspicion within an incarnation."""

    front: int
    incarnation: int
    refutations: int
    accuser: int | None


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks the receiver to acknowledge."""

    number: int
    incarnation: int
    refutations: int
    rows: tuple[MemberRow, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a ping of `target`; if `missed`, `target` did not answer the indirect ping either."""

    number: int
    incarnation: int
    refutations: int
    rows: tuple[MemberRow, ...]
    target: int
    missed: bool = False


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping `target` for the sender (SWIM's ping-req)."""

    number: int
    incarnation: int
    refutations: int
    rows: tuple[MemberRow, ...]
    target: int


@dataclass(frozen=True, slots=True)
class BootstrapRequest:
    """Asks what is known of fronts and servers: the sender has started."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class BootstrapReply:
    """Fronts that the sender takes for suspect or dead, and its own set-up outcomes by server."""

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


def pack(message: Message) -> list[bytes]:
    """Encodes a message as one or more datagrams."""
    match message:
        case RateUpdate(incarnation, stamp, rates, full):
            rows = [
                _RATE.pack(
                    r.server,
                    _pack_flagged(r.rate_kb, r.warm),
                    *_pack_sample(r.load),
                    *_pack_sample(r.delivered),
                    *_pack_outcomes(r.outcomes),
                )
                for r in rates
            ]
            header, has_samples = (
                _RATE_UPDATE.pack(incarnation, stamp),
                any(r.load or r.delivered or r.outcomes for r in rates),
            )
            if has_samples and not full:
                return _split(_Kind.SAW, _Kind.SAW, header, rows, MAX_RATES)
            rows = [row[: _PLAIN_RATE.size] for row in rows]
            return _split(_Kind.ALL if full else _Kind.CHANGES, _Kind.CHANGES, header, rows, MAX_PLAIN_RATES)
        case InUseQuery(number):
            return [bytes([_Kind.OURS]) + _IN_USE_QUERY.pack(number)]
        case HoldersQuery(number, home, span, zone):
            return [bytes([_Kind.HOLDERS]) + _HOLDERS_QUERY.pack(number, home, span, zone)]
        case QueryReply(incarnation, number, lease_request, statuses, brief):
            rows = [
                _STATUS.pack(
                    s.server,
                    _rate_steps(s.idle_kb, 32767, -32768),
                    _pack_flagged(s.asked_kb, s.granted),
                    _pack_flagged(s.asker_kb, s.warm),
                    min(s.witnesses_against, 255),
                    *_pack_outcomes(s.outcomes),
                )
                for s in statuses
            ]
            kind, max_rows = _Kind.ANSWER, MAX_STATUSES
            if brief:
                rows, kind, max_rows = (
                    [row[: _BRIEF_STATUS.size] for row in rows],
                    _Kind.BRIEF,
                    MAX_BRIEF_STATUSES,
                )
            return _split(kind, kind, _QUERY_REPLY.pack(incarnation, number, lease_request), rows, max_rows)
        case FullUpdateRequest(incarnation):
            return [bytes([_Kind.BEGUN]) + _INCARNATION.pack(incarnation)]
        case ShareLease(incarnation, borrower_incarnation, number, groups):
            packed_groups = b"".join(map(_GROUP.pack, groups))
            return [
                bytes([_Kind.LENDING])
                + _SHARE_LEASE.pack(incarnation, borrower_incarnation, number)
                + packed_groups
            ]
        case Ping(number, incarnation, refutations, member_rows):
            return [
                bytes([_Kind.PING])
                + _PING.pack(number, incarnation, refutations)
                + _pack_member_rows(member_rows)
            ]
        case Ack(number, incarnation, refutations, member_rows, target, missed):
            return [
                bytes([_Kind.ACK])
                + _PING.pack(number, incarnation, refutations)
                + _PING_TARGET.pack(target, missed)
                + _pack_member_rows(member_rows)
            ]
        case PingRequest(number, incarnation, refutations, member_rows, target):
            return [
                bytes([_Kind.VIA])
                + _PING.pack(number, incarnation, refutations)
                + _PING_TARGET.pack(target, 0)
                + _pack_member_rows(member_rows)
            ]
        case BootstrapRequest(incarnation):
            return [bytes([_Kind.ASK_NEWS]) + _INCARNATION.pack(incarnation)]
        case BootstrapReply(incarnation, member_rows, observations):
            packed_observations = b"".join(
                _OBSERVATION.pack(server, *_pack_outcomes(outcomes)) for server, outcomes in observations
            )
            return [
                bytes([_Kind.NEWS])
                + _BOOTSTRAP_REPLY.pack(incarnation, len(member_rows))
                + _pack_member_rows(member_rows)
                + packed_observations
            ]


def unpack(payload: bytes) -> Message | None:
    """Decodes a datagram; None if it holds no message."""
    kind, body = payload[0] if payload else -1, payload[1:]
    try:
        return _unpack(kind, body)
    except struct.error:  # truncated within a header
        return None


def kind_of(payload: bytes) -> str:
    """The metric label of a datagram's kind; `other` if the kind is unknown."""
    return _NAMES.get(payload[0], "other") if payload else "other"


def _unpack(kind: int, body: bytes) -> Message | None:
    match kind:
        case _Kind.CHANGES | _Kind.ALL | _Kind.SAW:
            incarnation, stamp = _RATE_UPDATE.unpack_from(body)
            rows = _complete_rows(_RATE if kind == _Kind.SAW else _PLAIN_RATE, body[_RATE_UPDATE.size :])
            rates = tuple(_unpack_rate(*row) for row in rows)
            return RateUpdate(incarnation, stamp, rates, kind == _Kind.ALL)
        case _Kind.OURS:
            return InUseQuery(*_IN_USE_QUERY.unpack_from(body))
        case _Kind.HOLDERS:
            return HoldersQuery(*_HOLDERS_QUERY.unpack_from(body))
        case _Kind.ANSWER | _Kind.BRIEF:
            incarnation, number, lease_request = _QUERY_REPLY.unpack_from(body)
            brief, rest = kind == _Kind.BRIEF, body[_QUERY_REPLY.size :]
            rows = _complete_rows(_BRIEF_STATUS if brief else _STATUS, rest)
            return QueryReply(
                incarnation, number, lease_request, tuple(_unpack_status(*row) for row in rows), brief
            )
        case _Kind.BEGUN:
            return FullUpdateRequest(*_INCARNATION.unpack_from(body))
        case _Kind.LENDING:
            incarnation, borrower_incarnation, number = _SHARE_LEASE.unpack_from(body)
            return ShareLease(
                incarnation,
                borrower_incarnation,
                number,
                tuple(row[0] for row in _complete_rows(_GROUP, body[_SHARE_LEASE.size :])),
            )
        case _Kind.PING:
            number, incarnation, refutations = _PING.unpack_from(body)
            return Ping(number, incarnation, refutations, _unpack_member_rows(body[_PING.size :]))
        case _Kind.ACK | _Kind.VIA:
            number, incarnation, refutations = _PING.unpack_from(body)
            target, missed = _PING_TARGET.unpack_from(body, _PING.size)
            member_rows = _unpack_member_rows(body[_PING.size + _PING_TARGET.size :])
            if kind == _Kind.VIA:
                return PingRequest(number, incarnation, refutations, member_rows, target)
            return Ack(number, incarnation, refutations, member_rows, target, missed > 0)
        case _Kind.ASK_NEWS:
            return BootstrapRequest(*_INCARNATION.unpack_from(body))
        case _Kind.NEWS:
            incarnation, count = _BOOTSTRAP_REPLY.unpack_from(body)
            rows_end = _BOOTSTRAP_REPLY.size + count * _MEMBER_ROW.size
            observation_rows = _complete_rows(_OBSERVATION, body[rows_end:])
            observations = tuple(
                (server, _unpack_outcomes(*outcomes) or SetupOutcomes(0, 0))
                for server, *outcomes in observation_rows
            )
            return BootstrapReply(
                incarnation, _unpack_member_rows(body[_BOOTSTRAP_REPLY.size : rows_end]), observations
            )
    return None


def _unpack_rate(
    server: int,
    rate: int,
    load: int = _NO_SAMPLE,
    load_age: int = 0,
    delivered: int = _NO_SAMPLE,
    delivered_age: int = 0,
    *packed_outcomes: int,
) -> ServerRate:
    outcomes = _unpack_outcomes(*packed_outcomes) if packed_outcomes else None
    return ServerRate(
        server,
        (rate & ~_FLAG) * _RATE_STEP_KB,
        _unpack_sample(load, load_age),
        _unpack_sample(delivered, delivered_age),
        rate >= _FLAG,
        outcomes,
    )


def _unpack_status(
    server: int, idle: int, asked: int, by_asker: int, witnesses_against: int = 0, *packed_outcomes: int
) -> ServerStatus:
    outcomes = _unpack_outcomes(*packed_outcomes) if packed_outcomes else None
    return ServerStatus(
        server,
        idle * _RATE_STEP_KB,
        (asked & ~_FLAG) * _RATE_STEP_KB,
        (by_asker & ~_FLAG) * _RATE_STEP_KB,
        by_asker >= _FLAG,
        witnesses_against,
        outcomes or SetupOutcomes(0, 0),
        asked >= _FLAG,
    )


def _complete_rows(row: struct.Struct, body: bytes) -> list[tuple[int, ...]]:
    return list(row.iter_unpack(body[: len(body) // row.size * row.size]))


def _split(
    first_kind: int, further_kind: int, header: bytes, rows: list[bytes], max_rows: int
) -> list[bytes]:
    starts = range(0, max(len(rows), 1), max_rows)
    return [
        bytes([further_kind if start else first_kind]) + header + b"".join(rows[start : start + max_rows])
        for start in starts
    ]


def _rate_steps(rate_kb: float, most: int, least: int = 0) -> int:
    return max(least, min(round(rate_kb / _RATE_STEP_KB), most))


def _pack_flagged(rate_kb: float, flag: bool) -> int:
    return _rate_steps(rate_kb, _FLAG - 1) | (_FLAG if flag else 0)


def _pack_sample(sample: Sample | None) -> tuple[int, int]:
    return (
        (min(round(sample.value * 100), 254), min(sample.age // _SAMPLE_AGE_STEP_US, 255))
        if sample
        else (_NO_SAMPLE, _NO_SAMPLE)
    )


def _unpack_sample(value: int, age: int) -> Sample | None:
    return None if value == _NO_SAMPLE else Sample(value / 100, age * _SAMPLE_AGE_STEP_US)


def _pack_outcomes(outcomes: SetupOutcomes | None) -> tuple[int, int, int]:
    """Both counts in half a byte each, and both ages in steps."""
    if outcomes is None or not (outcomes.failed or outcomes.succeeded):
        return 0, 0, 0
    counts = min(outcomes.failed, 15) << 4 | min(outcomes.succeeded, 15)
    return (
        counts,
        min(outcomes.failed_age // _OUTCOME_AGE_STEP_US, 255),
        min(outcomes.succeeded_age // _OUTCOME_AGE_STEP_US, 255),
    )


def _unpack_outcomes(counts: int, failed_age: int, succeeded_age: int) -> SetupOutcomes | None:
    if not counts:
        return None
    return SetupOutcomes(
        counts >> 4, counts & 15, failed_age * _OUTCOME_AGE_STEP_US, succeeded_age * _OUTCOME_AGE_STEP_US
    )


def _pack_member_rows(rows: tuple[MemberRow, ...]) -> bytes:
    return b"".join(
        _MEMBER_ROW.pack(r.front, r.incarnation, r.refutations, _NO_FRONT if r.accuser is None else r.accuser)
        for r in rows[:MAX_MEMBER_ROWS]
    )


def _unpack_member_rows(body: bytes) -> tuple[MemberRow, ...]:
    return tuple(
        MemberRow(front, incarnation, refutations, None if accuser == _NO_FRONT else accuser)
        for front, incarnation, refutations, accuser in _complete_rows(_MEMBER_ROW, body)[:MAX_MEMBER_ROWS]
    )
