"""Encodes the messages about seats that fronts send each other.

A message is a marker byte, the index of its kind, and a msgpack array of its fields in the order of
`__slots__`: neither that order nor the order of the kinds may change. The messages are sent sealed, as all
messages between fronts are."""

import msgspec

from ponddoor.seats.core import LeaseRequest, LeaseResponse, Message, Recall

MARKER_BYTE = 0x80  # no message of ponddoor.interface.words begins with it
_KINDS: tuple[type[LeaseRequest] | type[LeaseResponse] | type[Recall], ...] = (
    LeaseRequest,
    LeaseResponse,
    Recall,
)


def encode_message(message: Message) -> bytes:
    """The bytes of a message, from its marker byte on."""
    row = [getattr(message, name) for name in message.__slots__]
    return bytes([MARKER_BYTE, _KINDS.index(type(message))]) + msgspec.msgpack.encode(row)


def decode_message(payload: bytes) -> Message | None:
    """The message in a payload; None if the payload is not a well-formed message about seats."""
    if len(payload) < 2 or payload[0] != MARKER_BYTE or payload[1] >= len(_KINDS):
        return None
    kind = _KINDS[payload[1]]
    try:
        row = msgspec.msgpack.decode(payload[2:], type=list[object])
        return msgspec.convert(dict(zip(kind.__slots__, row, strict=True)), type=kind)
    except (msgspec.MsgspecError, ValueError):
        return None
