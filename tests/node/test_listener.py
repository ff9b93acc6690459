"""The backlog of a listener that closes."""

import asyncio
import socket

import pytest

from ponddoor.node.listener import Listener
from ponddoor.rehearse.run import free_ports

CONNECTIONS = 30


class Accepted(asyncio.Protocol):
    def __init__(self, read: list[bytes]) -> None:
        self.read = read

    def data_received(self, data: bytes) -> None:
        self.read.append(data)


@pytest.mark.parametrize("seconds_left", [1.0, -1.0])
def test_connections_in_the_backlog_are_accepted_also_if_the_time_is_over(seconds_left: float) -> None:
    """The node stood still until its time to close; the kernel reset what had connected meanwhile."""

    async def run() -> list[bytes]:
        read = list[bytes]()
        listener, port = Listener(lambda: Accepted(read)), free_ports(1)[0]
        listener.start("127.0.0.1", port)
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
        for client in clients:
            client.sendall(b"request")
        await listener.close(asyncio.get_running_loop().time() + seconds_left)
        while len(read) < CONNECTIONS:
            await asyncio.sleep(0)
        for client in clients:
            client.close()
        return read

    async def limited() -> list[bytes]:
        return await asyncio.wait_for(run(), 5.0)

    assert asyncio.run(limited()) == [b"request"] * CONNECTIONS
