"""The end of the sending direction, also of a connection that the other side has reset."""

import asyncio
import select
import socket
import struct

from ponddoor.web.half_close import half_close

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Recorder(asyncio.Protocol):
    def __init__(self) -> None:
        self.ended = asyncio.get_running_loop().create_future()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set_result(exc)


async def connected() -> tuple[asyncio.Transport, Recorder, socket.socket]:
    loop = asyncio.get_running_loop()
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        ours = socket.create_connection(listening.getsockname())
        theirs, _ = listening.accept()
    ours.setblocking(False)
    transport, protocol = await loop.create_connection(Recorder, sock=ours)
    return transport, protocol, theirs


def test_half_close_of_a_connection_that_was_reset_and_not_read_yet_raises_nothing() -> None:
    async def run() -> Exception | None:
        transport, protocol, theirs = await connected()
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        theirs.close()
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLHUP)
        assert poll.poll(1000), "the reset has not arrived"
        half_close(transport)
        ended: Exception | None = await asyncio.wait_for(protocol.ended, 1.0)
        return ended

    assert isinstance(asyncio.run(run()), ConnectionResetError)


def test_other_side_reads_the_end_of_a_half_closed_connection() -> None:
    async def run() -> bytes:
        transport, _, theirs = await connected()
        transport.write(b"last")
        half_close(transport)
        theirs.setblocking(False)
        loop = asyncio.get_running_loop()
        read = await loop.sock_recv(theirs, 10) + await loop.sock_recv(theirs, 10)
        transport.close()
        theirs.close()
        return read

    assert asyncio.run(run()) == b"last"
