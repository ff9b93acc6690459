"""Members' streams: what opens and what does not, on bytes alone and on loopback."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ponddoor.raft.core import (
    Append,
    Appended,
    Entry,
    Kind,
    Members,
    Message,
    Piece,
    Taken,
    TakeOver,
    Vote,
    Voted,
)
from ponddoor.raft.transport import QUEUE, Transport
from ponddoor.raft.wire import (
    MOST,
    Channel,
    Frames,
    Identity,
    RefusedError,
    framed,
    greeting,
    opened,
    welcomed,
)

KEY = bytes(range(32))
A, B = Identity("pond", 0, 0, KEY), Identity("pond", 1, 0, KEY)
NUMBER = st.integers(0, 2**60)
MEMBERS = st.builds(Members, st.frozensets(st.integers(0, 9)), st.frozensets(st.integers(10, 19)))
DATA = st.binary(max_size=30)
ENTRY = st.builds(
    Entry, NUMBER, NUMBER, st.sampled_from(Kind), DATA, st.text(max_size=5), NUMBER, st.none() | MEMBERS
)
MESSAGES = st.one_of(
    st.builds(Vote, NUMBER, NUMBER, NUMBER, st.booleans(), st.booleans()),
    st.builds(Voted, NUMBER, st.booleans(), st.booleans()),
    st.builds(Append, NUMBER, NUMBER, NUMBER, st.lists(ENTRY, max_size=3).map(tuple), NUMBER, NUMBER),
    st.builds(Appended, NUMBER, st.booleans(), NUMBER, NUMBER, NUMBER),
    st.builds(Piece, NUMBER, NUMBER, NUMBER, MEMBERS, st.just((("c", 1, 2),)), NUMBER, st.binary(max_size=30),
              st.booleans(), NUMBER),
    st.builds(Taken, NUMBER, NUMBER, NUMBER, st.booleans(), NUMBER),
    st.builds(TakeOver, NUMBER),
)  # fmt: skip


def frame_of(data: bytes) -> bytes:
    [frame] = Frames().feed(data)
    return frame


def pair(
    mine: Identity = A, theirs: Identity = B, removed: dict[int, int] | None = None
) -> tuple[Channel, Channel]:
    said, data = greeting(mine, 1)
    _, far, answer = welcomed(theirs, frame_of(data), removed or {})
    return opened(mine, said, frame_of(answer)), far


def refused(work: Any) -> str:
    with pytest.raises(RefusedError) as caught:
        work()
    return caught.value.why


@given(st.lists(MESSAGES, max_size=4), st.data())
def test_what_is_sealed_opens_on_the_other_side_however_it_is_cut(messages: list[Message], data: Any) -> None:
    near, far = pair()
    stream, frames, got = (
        b"".join(near.seal(message) for message in messages),
        Frames(),
        list[Message | None](),
    )
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        got += [far.open(frame) for frame in frames.feed(stream[:size])]
        stream = stream[size:]
    assert got == messages
    assert near.open(frame_of(far.seal(TakeOver(1)))) == TakeOver(1)


def test_frames_that_are_changed_repeated_or_from_elsewhere_do_not_open() -> None:
    near, far = pair()
    first, second = frame_of(near.seal(TakeOver(1))), frame_of(near.seal(TakeOver(2)))
    assert refused(lambda: pair()[1].open(first)) == "forged-frame"  # another connection
    assert refused(lambda: replace(far).open(second)) == "forged-frame"  # out of order
    assert refused(lambda: replace(far).open(first[:-1] + b"\0")) == "forged-frame"
    assert refused(lambda: replace(near).open(first)) == "forged-frame"  # its own, sent back
    assert far.open(first) == TakeOver(1)
    assert refused(lambda: replace(far, taken=1).open(first)) == "forged-frame"  # again
    assert refused(lambda: Frames().feed((MOST + 1).to_bytes(4, "big"))) == "frame-too-large"


def test_who_is_turned_away() -> None:
    assert refused(lambda: pair(replace(A, cluster="sea"))) == "another-cluster"
    assert refused(lambda: pair(A, replace(B, me=2))) == "another-member"
    assert refused(lambda: pair(replace(A, key=bytes(32)))) == "forged-greeting"
    assert refused(lambda: pair(A, B, {0: 0})) == "removed-generation"
    assert pair(replace(A, generation=1), B, {0: 0})[0].version == 1
    assert refused(lambda: pair(replace(A, versions=(3,)))) == "no-common-version"
    assert refused(lambda: welcomed(B, b"x" * 50, {})) == "forged-greeting"


def test_old_and_new_versions_talk() -> None:
    near, far = pair(replace(A, versions=(1,)), replace(B, versions=(1, 2)))
    assert near.version == far.version == 1 and far.open(frame_of(near.seal(TakeOver(4)))) == TakeOver(4)


def test_members_on_loopback_hear_each_other_again_after_a_cut() -> None:
    async def live() -> None:
        heard: list[tuple[int, Message]] = []
        near = Transport(A, lambda peer, message: None)
        far = Transport(B, lambda peer, message: heard.append((peer, message)))
        port = await far.start("127.0.0.1", 0)
        near.know({1: ("127.0.0.1", port)})

        async def until_heard(term: int) -> None:
            async with asyncio.timeout(8):
                while (0, TakeOver(term)) not in heard:
                    near.send(1, TakeOver(term))
                    await asyncio.sleep(0.01)

        await until_heard(1)
        far.turn_away(0, -1)  # cuts it; its generation may come back
        await until_heard(2)
        near.know({})
        near.send(1, TakeOver(3))
        assert near.counts["no-such-peer"] == 1
        await near.close()
        await far.close()

    asyncio.run(live())


def test_strangers_and_silence_cost_a_connection_and_nothing_else() -> None:
    async def live() -> None:
        far = Transport(B, lambda peer, message: None)
        port = await far.start("127.0.0.1", 0)
        for text in (b"GET / HTTP/1.1\r\n\r\n", framed(b"x" * 40), b"\0\0\0\5abc"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(text)
            writer.write_eof()
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            writer.close()
        async with asyncio.timeout(5):
            while sum(far.counts.values()) < 3:
                await asyncio.sleep(0.01)
        assert far.counts["refused frame-too-large"] == far.counts["refused forged-greeting"] == 1
        near = Transport(replace(A, cluster="sea"), lambda peer, message: None)
        near.know({1: ("127.0.0.1", port)})
        for _ in range(QUEUE + 5):
            near.send(1, TakeOver(1))
        assert near.counts["queue-full"] == 5
        async with asyncio.timeout(5):
            while "refused another-cluster" not in far.counts:
                await asyncio.sleep(0.01)
        await near.close()
        await far.close()

    asyncio.run(live())
