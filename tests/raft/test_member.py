"""Members as they run: journals, streams and the configuration, on loopback in one process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs

from ponddoor.config.machine import Change, Outcome, taken_apart
from ponddoor.raft import member as shell
from ponddoor.raft.core import Members, Role, as_voter, with_learner, without
from ponddoor.raft.member import ClusterMember, ForeignDiskError, NotTakenError
from ponddoor.raft.wire import Identity
from ponddoor.rehearse.run import free_ports
from ponddoor.settings.sexpr import parse
from ponddoor.store.files import Disk, DiskError, LockedError
from ponddoor.web.timing import within
from tests.front.conftest import site_text

KEY = bytes(range(32))
FIRST = taken_apart(parse(site_text(ports=[1, 2, 3], list_port=9), "t"))


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shell, "TICK", 0.02)


class Cluster:
    """Some members, each with a folder and a port of its own."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder, self.count = folder, count
        self.ports = free_ports(count + 1)
        self.members: dict[int, ClusterMember] = {}

    def addresses(self, last: int | None = None) -> dict[int, tuple[str, int]]:
        return {n: ("127.0.0.1", self.ports[n]) for n in range(self.count if last is None else last)}

    async def start(
        self, me: int, first: Members | None = None, last: int | None = None, cluster: str = "c"
    ) -> None:
        first = Members(frozenset(range(self.count))) if first is None else first
        made = ClusterMember(
            Identity(cluster, me, 0, KEY), first, self.addresses(last), self.folder / str(me)
        )
        await made.start()
        self.members[me] = made

    async def kill(self, me: int) -> None:
        """End without a word, as far as one process can: nothing more goes out."""
        await self.members.pop(me).stop()

    async def until(self, done: Callable[[], Any]) -> None:
        async with asyncio.timeout(10):
            while not done():
                await asyncio.sleep(0.005)

    async def leader(self) -> ClusterMember:
        def leading() -> list[ClusterMember]:
            return [
                m
                for m in self.members.values()
                if m.raft.role is Role.LEADER and m.raft.commit >= m.raft.snapshot.index
            ]

        await self.until(leading)
        return max(leading(), key=lambda m: m.raft.term)

    async def change(self, sets: dict[str, str], serial: int, drops: tuple[str, ...] = ()) -> Outcome:
        """As a client does: ask who leads, and again with the same serial until there is an answer."""
        async with asyncio.timeout(10):
            while True:
                made = await self.leader()
                with contextlib.suppress(NotTakenError, TimeoutError):
                    async with asyncio.timeout(1):
                        return await made.change(Change("me", "why", 1, sets, list(drops)), "client", serial)
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def cluster(folder: Path, count: int = 3) -> AsyncIterator[Cluster]:
    made = Cluster(folder, count)
    for me in range(count):
        await made.start(me)
    try:
        yield made
    finally:
        for held in list(made.members.values()):
            await held.stop()


def limits(number: int) -> dict[str, str]:
    return {"limits": f"(limits (drain-time {number}s))"}


def test_a_leader_that_has_just_begun_refuses_nothing_by_what_it_has_not_applied(tmp_path: Path) -> None:
    async def live() -> None:
        async with cluster(tmp_path, 1) as made:
            assert (await made.change(FIRST, 1)).version == 1
            await made.kill(0)
            await made.start(0)
            member = made.members[0]
            async with asyncio.timeout(10):
                while member.raft.role is not Role.LEADER:
                    await asyncio.sleep(0)
            assert member.machine.number == 0  # its log is there, and nothing of it is applied yet
            assert (await member.change(Change("me", "why", 1, limits(7)))).version == 2

    asyncio.run(within(60, live()))


def test_three_agree_lose_their_leader_and_agree_again(tmp_path: Path) -> None:
    async def live() -> None:
        async with cluster(tmp_path) as made:
            assert (await made.change(FIRST, 1)).version == 1
            assert (await made.change(limits(2), 2)).version == 2
            assert (await made.change(limits(2), 2)).why == "applied-before"  # the same again is applied once
            old = (await made.leader()).identity.me
            await made.kill(old)
            assert (await made.change(limits(3), 3)).version == 3
            await made.start(old)
            await made.until(lambda: all(m.machine.number == 3 for m in made.members.values()))
            texts = {str(sorted(m.machine.items.items())) for m in made.members.values()}
            assert len(texts) == 1
            leader = await made.leader()
            read = await leader.read()
            assert read.number == 3 and read.history[-1].who == "me"
            other = next(m for m in made.members.values() if m is not leader)
            with pytest.raises(NotTakenError, match="not-leading") as caught:
                await other.read()
            assert caught.value.leader == leader.identity.me

    asyncio.run(within(60, live()))


def test_one_alone_is_a_cluster_and_keeps_what_it_acknowledged(tmp_path: Path) -> None:
    async def live() -> None:
        async with cluster(tmp_path, 1) as made:
            await made.change(FIRST, 1)
            bad = await made.change({"ladder": "(ladder)"}, 2)
            assert bad.why == "unusable"
            with pytest.raises(LockedError):
                await made.start(0)
            await made.kill(0)
            await made.start(0)
            await made.leader()
            await made.until(lambda: made.members[0].machine.number == 1)
            await made.kill(0)
            with pytest.raises(ForeignDiskError):
                await made.start(0, cluster="another")

    asyncio.run(within(60, live()))


def test_a_member_learns_votes_and_takes_over_and_another_leaves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shell, "COMPACT_AFTER", 5)

    async def live() -> None:
        made = Cluster(tmp_path, 4)
        three = Members(frozenset({0, 1, 2}))
        for me in range(3):
            await made.start(me, three)
        try:
            await made.change(FIRST, 1)
            for serial in range(2, 12):
                await made.change(limits(serial), serial)
            leader = await made.leader()
            assert leader.raft.snapshot.index > 0
            await made.start(3, Members(frozenset()))  # it knows nobody yet: it waits to be told
            await leader.members(with_learner(leader.raft.members, 3))
            await made.until(lambda: made.members[3].machine.number == 11)  # by a snapshot
            await leader.members(as_voter(leader.raft.members, 3))
            leader.hand_over(3)
            await made.until(lambda: made.members[3].raft.role is Role.LEADER)
            gone = leader.identity.me
            await made.until(lambda: made.members[3].raft.commit == made.members[3].raft.last_index)
            await made.members[3].members(without(made.members[3].raft.members, gone))
            await made.kill(gone)
            assert (await made.change(limits(50), 50)).version == 12
            assert made.members[3].status()["voters"] == sorted({0, 1, 2, 3} - {gone})
        finally:
            for held in list(made.members.values()):
                await held.stop()

    asyncio.run(within(60, live()))


class Gone(Disk):
    """A disk that takes nothing more."""

    def append(self, name: str, data: bytes) -> None:
        raise DiskError("the disk is gone")

    def truncate(self, name: str, size: int) -> None:
        raise DiskError("the disk is gone")


def test_a_disk_that_fails_ends_its_member_and_who_waits_is_told(tmp_path: Path) -> None:
    async def live() -> None:
        async with cluster(tmp_path) as made:
            await made.change(FIRST, 1)
            leader = await made.leader()
            leader._journal.files = Gone(tmp_path / "gone")
            with pytest.raises(NotTakenError, match="disk-failed"):
                await leader.change(Change("me", "why", 1, limits(2)), "client", 2)
            with pytest.raises(NotTakenError, match="disk-failed"):
                await leader.read()
            del made.members[leader.identity.me]
            assert (await made.change(limits(3), 3)).version in (2, 3)
            await leader.stop()

    asyncio.run(within(60, live()))


def test_a_member_that_has_stopped_leaves_nobody_waiting(tmp_path: Path) -> None:
    async def live() -> None:
        async with cluster(tmp_path, 1) as made:
            member = await made.leader()
            await made.kill(0)
            with pytest.raises(NotTakenError, match="stopped"):
                await within(5, member.read())
            with pytest.raises(NotTakenError, match="stopped"):
                await within(5, member.change(Change("me", "why", 0, FIRST), "client", 1))

    asyncio.run(within(60, live()))


def test_a_log_line_that_fails_leaves_nobody_waiting(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def live() -> None:
        async with cluster(tmp_path) as made:
            await made.change(FIRST, 1)
            leader = await made.leader()
            leader._journal.files = Gone(tmp_path / "gone")
            monkeypatch.setattr(shell, "log", None)
            with pytest.raises(NotTakenError, match="disk-failed"):
                await within(5, leader.change(Change("me", "why", 1, limits(2)), "client", 2))
            monkeypatch.undo()
            del made.members[leader.identity.me]
            with capture_logs() as lines:
                await leader.stop()
            assert [line["event"] for line in lines if line["log_level"] == "error"] == ["commit-failed"]

    asyncio.run(within(60, live()))


def test_a_fault_in_a_tick_leaves_nobody_waiting(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def faulty() -> None:
        raise RuntimeError("a fault")

    async def live() -> None:
        async with cluster(tmp_path) as made:
            await made.change(FIRST, 1)
            leader = await made.leader()
            for other in [number for number in made.members if made.members[number] is not leader]:
                await made.kill(other)
            waiting = asyncio.create_task(
                leader.change(Change("me", "why", 1, limits(2)), "client", 2)
            )  # no majority
            while not leader._calls:
                await asyncio.sleep(0)
            monkeypatch.setattr(leader.raft, "tick", faulty)
            with pytest.raises(NotTakenError, match="faulted"):
                await within(5, waiting)

    asyncio.run(within(60, live()))
