"""The HTTP client doesn't reuse a connection that the server has closed, and detects silent streams."""

import asyncio
import contextlib
import socket

import pytest

from ponddoor.web.client import LateError, Pool
from ponddoor.web.timing import within

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_S = 5.0


def test_a_request_is_not_written_to_an_idle_connection_whose_end_is_unread() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            pool = Pool("127.0.0.1", listener.getsockname()[1])

            async def answer_one_request() -> socket.socket:
                accepted, _ = await loop.sock_accept(listener)
                assert b"GET" in await loop.sock_recv(accepted, 1000)
                await loop.sock_sendall(accepted, RESPONSE)
                return accepted

            for _ in range(2):
                server_task = asyncio.create_task(answer_one_request())
                response = await pool.request("GET", "/", None, TIMEOUT_S)
                assert response.status == 200
                (await server_task).close()
            pool.close()

    asyncio.run(within(4 * TIMEOUT_S, scenario()))


def test_a_stream_that_sends_bytes_without_a_whole_line_times_out() -> None:
    async def send_partial_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nline\n\r\n")
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(b"1\r\nx\r\n")
                await writer.drain()
                await asyncio.sleep(0.01)

    async def scenario() -> None:
        server = await asyncio.start_server(send_partial_line, "127.0.0.1", 0)
        pool, received = Pool("127.0.0.1", server.sockets[0].getsockname()[1]), list[bytes]()
        try:
            with pytest.raises(LateError):
                async for line in pool.stream_lines("/", 0.3):
                    received.append(line)
            assert received == [b"line"]
        finally:
            pool.close()
            server.close()

    asyncio.run(within(TIMEOUT_S, scenario()))
