"""Detects data that was received but not read yet, so that no connection is closed before it is handled."""

import asyncio
import select


def has_unread(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes or the end of the stream are waiting on a transport's socket.

    Unless reading is paused, the event loop passes them to the protocol in its next turn."""
    tcp_socket = None if transport is None else transport.get_extra_info("socket")
    if transport is None or tcp_socket is None or transport.is_closing() or tcp_socket.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(tcp_socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
