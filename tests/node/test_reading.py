"""How much of a viewers' connection is read in one turn of the event loop."""

import asyncio
import socket

from ponddoor.node import viewer_codec as codec
from ponddoor.node.viewer_connection import READ_SIZE_BYTES, ViewerConnection

from .conftest import setup_request

BURST = 300


class Received:
    """Counts what a connection reads."""

    def __init__(self) -> None:
        self.messages, self.closed = 0, False

    def connection_opened(self, connection: ViewerConnection) -> None:
        pass

    def message_received(self, connection: ViewerConnection, message: codec.Message) -> None:
        self.messages += 1

    def request_close(self, connection: ViewerConnection, reason: str) -> None:
        self.closed = True

    def connection_closed(self, connection: ViewerConnection) -> None:
        self.closed = True

    def partial_changed(self, connection: ViewerConnection, size: int, is_new: bool) -> None:
        pass

    def count(self, event: str) -> None:
        pass


def test_burst_in_one_write_is_read_over_several_turns() -> None:
    async def run() -> list[int]:
        received = Received()
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(lambda: ViewerConnection(received), sock=ours)
        theirs.sendall(b"".join(setup_request(str(number)) for number in range(BURST)))
        read_by_turn, before = list[int](), 0
        while received.messages < BURST and not received.closed:
            await asyncio.sleep(0)
            read_by_turn.append(received.messages - before)
            before = received.messages
        transport.close()
        theirs.close()
        return read_by_turn

    read_by_turn = asyncio.run(run())
    assert sum(read_by_turn) == BURST
    assert max(read_by_turn) <= READ_SIZE_BYTES // len(setup_request("1")) + 1
