"""The HTTP client writes nothing to a connection whose end it could have read."""

import asyncio
import contextlib
import socket

import pytest

from ponddoor.web.client import LateError, Pool
from ponddoor.web.timing import within

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
PATIENCE_S = 5.0


def test_a_request_is_not_written_to_an_idle_connection_whose_end_is_unread() -> None:
    async def course() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setblocking(False)
            pool = Pool("127.0.0.1", listening.getsockname()[1])

            async def answers_one() -> socket.socket:
                accepted, _ = await loop.sock_accept(listening)
                assert b"GET" in await loop.sock_recv(accepted, 1000)
                await loop.sock_sendall(accepted, ANSWER)
                return accepted

            for _ in range(2):
                answering = asyncio.create_task(answers_one())
                answer = await pool.request("GET", "/", None, PATIENCE_S)
                assert answer.status == 200
                (await answering).close()
            pool.close()

    asyncio.run(within(4 * PATIENCE_S, course()))


def test_a_stream_that_drips_bytes_without_a_whole_line_is_silent() -> None:
    async def drips(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nline\n\r\n")
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(b"1\r\nx\r\n")
                await writer.drain()
                await asyncio.sleep(0.01)

    async def course() -> None:
        server = await asyncio.start_server(drips, "127.0.0.1", 0)
        pool, got = Pool("127.0.0.1", server.sockets[0].getsockname()[1]), list[bytes]()
        try:
            with pytest.raises(LateError):
                async for line in pool.stream_lines("/", 0.3):
                    got.append(line)
            assert got == [b"line"]
        finally:
            pool.close()
            server.close()

    asyncio.run(within(PATIENCE_S, course()))
