"""Ends the sending direction of a connection."""

import asyncio
import contextlib


def half_close(transport: asyncio.WriteTransport) -> None:
    """Send what is written and then the end of the stream; input is still received.

    A connection that the other side has reset can't be half-closed (ENOTCONN). The event loop reports its
    end once it reads it, so nothing is left to be done here."""
    with contextlib.suppress(OSError):
        transport.write_eof()
