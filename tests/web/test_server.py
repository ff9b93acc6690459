"""The HTTP server closes no connection over what a client has sent or may not have read."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ponddoor.web import server as web_server
from ponddoor.web import timing
from ponddoor.web.server import Reply, Request, Server, ServerLimits
from ponddoor.web.timing import within

GET = b"GET /thing HTTP/1.1\r\nHost: here\r\n\r\n"
PATIENCE_S = 5.0


async def answers(request: Request) -> Reply:
    return Reply(200, {"path": request.path})


def played(course: Callable[[Server, socket.socket], Awaitable[None]], **limits: Any) -> None:
    """Play something against a server, with one connection to it."""

    async def whole() -> None:
        server = Server(answers, ServerLimits(**limits))
        port = await server.start("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", port))
        client.setblocking(False)
        try:
            await within(4 * PATIENCE_S, course(server, client))
        finally:
            client.close()
            await server.close()

    asyncio.run(whole())


async def read_until(client: socket.socket, wanted: bytes) -> bytes:
    got = b""
    while wanted not in got:
        data = await within(PATIENCE_S, asyncio.get_running_loop().sock_recv(client, 65_536))
        assert data, got
        got += data
    return got


async def open_connections(server: Server, count: int) -> None:
    while server.open_connections != count:
        await asyncio.sleep(0)


def test_a_refusal_is_not_destroyed_by_the_rest_of_the_request() -> None:
    async def course(server: Server, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        head = b"POST /thing HTTP/1.1\r\nHost: here\r\nContent-Length: 2000000\r\n\r\n"
        await loop.sock_sendall(client, head + b"x" * 1000)
        assert b"413" in await read_until(client, b"body-too-large")
        for _ in range(20):
            await loop.sock_sendall(client, b"x" * 10_000)
        assert await within(PATIENCE_S, loop.sock_recv(client, 100)) == b""  # its end, and no reset
        client.shutdown(socket.SHUT_WR)
        await within(PATIENCE_S, open_connections(server, 0))

    played(course, max_body_bytes=500)


def test_a_client_that_never_closes_does_not_hold_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(web_server, "LINGER_TIMEOUT_S", 0.05)

    async def course(server: Server, client: socket.socket) -> None:
        await asyncio.get_running_loop().sock_sendall(client, b"nonsense\r\n\r\n")
        await read_until(client, b"malformed-request")
        await within(PATIENCE_S, open_connections(server, 0))

    played(course)


def test_a_request_that_has_begun_before_the_end_is_answered() -> None:
    async def course(server: Server, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, GET[:20])
        await within(PATIENCE_S, open_connections(server, 1))
        loop.call_later(0.05, client.send, GET[20:])

        async def end() -> None:
            await server.shut_down(PATIENCE_S)
            await server.close()

        ending = asyncio.create_task(end())
        assert b"200 OK" in await read_until(client, b'"path"')
        await within(PATIENCE_S, ending)

    played(course)


def test_an_idle_connection_ends_at_the_end_without_waiting_for_its_client() -> None:
    async def course(server: Server, client: socket.socket) -> None:
        await within(PATIENCE_S, open_connections(server, 1))
        await within(PATIENCE_S, server.shut_down(100.0))
        assert await within(PATIENCE_S, asyncio.get_running_loop().sock_recv(client, 100)) == b""

    played(course)


def test_an_idle_limit_does_not_close_over_a_request_that_came_in_its_instant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def course(server: Server, client: socket.socket) -> None:
        sent = list[None]()

        async def crossed(seconds: float, work: Awaitable[Any]) -> Any:
            try:
                return await within(seconds, work)
            except TimeoutError:
                if not sent:
                    sent.append(None)
                    client.send(GET)
                raise

        monkeypatch.setattr(timing, "within", crossed)
        assert b"200 OK" in await read_until(client, b'"path"')

    played(course, idle_timeout_s=0.02)
