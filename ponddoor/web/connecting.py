"""Opens TCP connections with a time-out that tolerates pauses of this process."""

import asyncio
import contextlib
import socket

from ponddoor.web.timing import within


async def connect_within(timeout_s: float, host: str, port: int) -> socket.socket:
    """A connected, non-blocking socket. Raises OSError, and TimeoutError after `timeout_s`.

    If this process is not scheduled until the time-out is over, the connection may have been established in
    the meantime. It is then returned, as it may already carry data."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    tcp_socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await within(timeout_s, asyncio.get_running_loop().sock_connect(tcp_socket, (host, port)))
    except TimeoutError:
        if not _is_connected(tcp_socket):
            tcp_socket.close()
            raise
    except BaseException:
        tcp_socket.close()
        raise
    return tcp_socket


def _is_connected(tcp_socket: socket.socket) -> bool:
    with contextlib.suppress(OSError):
        tcp_socket.getpeername()
        return True
    return False
