"""The bytes of what fronts say about seats: a marker, then msgpack. They travel as the fronts' words do,
sealed."""

import msgspec

from ponddoor.seats.core import LeaseRequest, LeaseResponse, Message, Recall

MARK = 0x80  # no word of ponddoor.interface.words begins so
_KINDS: tuple[type[LeaseRequest] | type[LeaseResponse] | type[Recall], ...] = (
    LeaseRequest,
    LeaseResponse,
    Recall,
)


def encode_message(message: Message) -> bytes:
    """The bytes of a message."""
    row = [getattr(message, name) for name in message.__slots__]
    return bytes([MARK, _KINDS.index(type(message))]) + msgspec.msgpack.encode(row)


def decode_message(payload: bytes) -> Message | None:
    """What bytes say; None where they are no message about seats."""
    if len(payload) < 2 or payload[0] != MARK or payload[1] >= len(_KINDS):
        return None
    kind = _KINDS[payload[1]]
    try:
        row = msgspec.msgpack.decode(payload[2:], type=list[object])
        return msgspec.convert(dict(zip(kind.__slots__, row, strict=True)), type=kind)
    except (msgspec.MsgspecError, ValueError):
        return None
