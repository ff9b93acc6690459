"""The HTTP server doesn't close a connection with a request, or a response, that may still be unread."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ponddoor.web import server as web_server
from ponddoor.web import timing
from ponddoor.web.server import Reply, Request, Server, ServerLimits
from ponddoor.web.timing import within

GET_REQUEST = b"GET /thing HTTP/1.1\r\nHost: here\r\n\r\n"
TIMEOUT_S = 5.0


async def echo_path(request: Request) -> Reply:
    return Reply(200, {"path": request.path})


def run_scenario(scenario: Callable[[Server, socket.socket], Awaitable[None]], **limits: Any) -> None:
    """Run a scenario with a server that has these limits, and one connection to it."""

    async def run() -> None:
        server = Server(echo_path, ServerLimits(**limits))
        port = await server.start("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", port))
        client.setblocking(False)
        try:
            await within(4 * TIMEOUT_S, scenario(server, client))
        finally:
            client.close()
            await server.close()

    asyncio.run(run())


async def read_until(client: socket.socket, expected: bytes) -> bytes:
    received = b""
    while expected not in received:
        data = await within(TIMEOUT_S, asyncio.get_running_loop().sock_recv(client, 65_536))
        assert data, received
        received += data
    return received


async def wait_for_open_connections(server: Server, count: int) -> None:
    while server.open_connections != count:
        await asyncio.sleep(0)


def test_an_error_response_is_not_destroyed_by_the_rest_of_the_request() -> None:
    async def scenario(server: Server, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        head = b"POST /thing HTTP/1.1\r\nHost: here\r\nContent-Length: 2000000\r\n\r\n"
        await loop.sock_sendall(client, head + b"x" * 1000)
        assert b"413" in await read_until(client, b"body-too-large")
        for _ in range(20):
            await loop.sock_sendall(client, b"x" * 10_000)
        assert await within(TIMEOUT_S, loop.sock_recv(client, 100)) == b""  # end of the stream, no reset
        client.shutdown(socket.SHUT_WR)
        await within(TIMEOUT_S, wait_for_open_connections(server, 0))

    run_scenario(scenario, max_body_bytes=500)


def test_a_connection_is_closed_though_its_client_never_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(web_server, "LINGER_TIMEOUT_S", 0.05)

    async def scenario(server: Server, client: socket.socket) -> None:
        await asyncio.get_running_loop().sock_sendall(client, b"nonsense\r\n\r\n")
        await read_until(client, b"malformed-request")
        await within(TIMEOUT_S, wait_for_open_connections(server, 0))

    run_scenario(scenario)


def test_a_request_that_has_begun_before_the_shutdown_is_answered() -> None:
    async def scenario(server: Server, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, GET_REQUEST[:20])
        await within(TIMEOUT_S, wait_for_open_connections(server, 1))
        loop.call_later(0.05, client.send, GET_REQUEST[20:])

        async def shut_down() -> None:
            await server.shut_down(TIMEOUT_S)
            await server.close()

        shutdown_task = asyncio.create_task(shut_down())
        assert b"200 OK" in await read_until(client, b'"path"')
        await within(TIMEOUT_S, shutdown_task)

    run_scenario(scenario)


def test_a_shutdown_closes_an_idle_connection_without_waiting_for_its_client() -> None:
    async def scenario(server: Server, client: socket.socket) -> None:
        await within(TIMEOUT_S, wait_for_open_connections(server, 1))
        await within(TIMEOUT_S, server.shut_down(100.0))
        assert await within(TIMEOUT_S, asyncio.get_running_loop().sock_recv(client, 100)) == b""

    run_scenario(scenario)


def test_a_request_that_arrives_as_the_idle_timeout_expires_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(server: Server, client: socket.socket) -> None:
        sent = list[None]()

        async def within_then_send_request(timeout_s: float, work: Awaitable[Any]) -> Any:
            try:
                return await within(timeout_s, work)
            except TimeoutError:
                if not sent:
                    sent.append(None)
                    client.send(GET_REQUEST)
                raise

        monkeypatch.setattr(timing, "within", within_then_send_request)
        assert b"200 OK" in await read_until(client, b'"path"')

    run_scenario(scenario, idle_timeout_s=0.02)
