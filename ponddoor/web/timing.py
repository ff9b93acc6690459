"""Time-outs of waits.

`asyncio.wait_for` is not used: in Python 3.11 it may lose a cancellation that coincides with its end."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

ResultT = TypeVar("ResultT")
FINAL_READ_TIMEOUT_S = 0.01  # for the loop to deliver data that arrived while this process was not scheduled


async def within(timeout_s: float, work: Awaitable[ResultT]) -> ResultT:
    """The result of `work`. Raises TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        return await work


async def read_within(timeout_s: float, reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """The next data, `max_bytes` at most; empty at the end of the stream.

    Raises TimeoutError if none has arrived after `timeout_s`. If this process is not scheduled until the
    time-out is over, data that has arrived in the meantime is still read."""
    try:
        return await within(timeout_s, reader.read(max_bytes))
    except TimeoutError:
        return await within(FINAL_READ_TIMEOUT_S, reader.read(max_bytes))
