"""Runs the fronts of the simulator: passes each event to its instance, and answers each batch once."""

import struct
from typing import BinaryIO

from ponddoor.decide import Front
from ponddoor.interface.events import Event
from ponddoor.platform.facts import MalformedError, ms_to_us
from ponddoor.runtime.driver import Driver
from ponddoor.simhost import codec

_HEADER = struct.Struct(">IdI")


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises MalformedError for invalid input."""
    reader = codec.Reader()
    drivers: dict[int, Driver] = {}
    while header := source.read(_HEADER.size):
        if len(header) < _HEADER.size:
            raise MalformedError(f"batch header cut short: got {len(header)} of {_HEADER.size} bytes")
        size, clock_ms, count = _HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise MalformedError(f"batch cut short: got {len(body)} of {size} bytes")
        now, replies = ms_to_us(clock_ms), []
        for front, event in reader.decode_batch(body, count):
            replies.append(_handle(drivers, front, now, event))
        sink.write(codec.encode_reply(b"".join(replies)))
        sink.flush()


def _handle(
    drivers: dict[int, Driver], front: int, now: int, event: codec.Boot | codec.Killed | Event
) -> bytes:
    if isinstance(event, codec.Killed):
        drivers.pop(front, None)
        return b""
    try:
        if isinstance(event, codec.Boot):
            drivers[front] = Driver(Front(event.facts, now))
            return b""
        if front not in drivers:
            raise MalformedError(f"event for instance {front}, which is not running")
        return codec.encode_actions(front, drivers[front].handle(now, event))
    except MalformedError:
        raise
    except Exception as problem:  # a fault in the decisions of one instance is reported on the wire
        return codec.encode_internal_error(front, f"{type(problem).__name__}: {problem}")
