"""What the kernel knows of a stand-in's connection before its loop does."""

import asyncio
import select


def has_ended(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side's end has reached the socket, also where this loop has not read it yet."""
    opened = None if transport is None else transport.get_extra_info("socket")
    if opened is None or opened.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(opened.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
