"""One member as it runs: Raft's core over a journal and streams, with the configuration as its state machine.

The core decides; here are the clock, the disk and the sockets. A disk that fails ends the member: it answers
nothing more, and whoever waits is told."""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog

from ponddoor.config.machine import Change, Machine, Outcome, Version, packed
from ponddoor.raft.core import (
    Accepted,
    Commit,
    Effect,
    Entry,
    Kind,
    Limits,
    Member,
    Members,
    Message,
    Raft,
    Readable,
    Refused,
    Restore,
    Role,
    Send,
    WriteEntries,
    WriteSnapshot,
    WriteVote,
)
from ponddoor.raft.storage import Kept, kept_of, record_of
from ponddoor.raft.transport import Transport
from ponddoor.raft.wire import Identity
from ponddoor.store.committer import Committer
from ponddoor.store.files import Disk
from ponddoor.store.journal import Journal

TICK = 0.05
COMPACT_AFTER = 1000  # entries, after which the log is folded into a snapshot
FOLD_AFTER = 2000  # records, after which the journal is
MOST_WAITING = 2000
log = structlog.get_logger("raft")


class NotTakenError(Exception):
    """A change or a read that this member can't take; `why` is a word, `leader` who could, if that is
    known."""

    def __init__(self, why: str, leader: Member | None = None) -> None:
        super().__init__(why)
        self.why, self.leader = why, leader


class ForeignDiskError(Exception):
    """A journal of another cluster or member."""


@dataclass(slots=True)
class _Call:
    """Somebody who waits: for a proposal at (index, term), or for a read."""

    future: "asyncio.Future[Any]"
    index: int = 0
    term: int = 0


@dataclass(slots=True)
class ClusterMember:
    """One member. `start`, then `change`, `read` and `members`, then `stop`. `committed` is told each
    version, `restored` that a snapshot has brought several at once."""

    identity: Identity
    first: Members  # who begins the cluster; what the journal says later counts more
    addresses: dict[Member, tuple[str, int]]
    folder: Path
    limits: Limits = field(default_factory=Limits)
    committed: Callable[[Version], None] = lambda version: None
    restored: Callable[[], None] = lambda: None
    machine: Machine = field(default_factory=Machine)
    raft: Raft = field(init=False)
    transport: Transport = field(init=False)
    failed: str = ""
    _kept: Kept = field(default_factory=Kept)
    _journal: Journal = field(init=False)
    _committer: Committer = field(init=False)
    _first_write: int = 0
    _records: int = 0
    _tickets: int = 0
    _calls: dict[int, _Call] = field(default_factory=dict)
    _reads: list[tuple[int, int]] = field(default_factory=list)  # (index, ticket) that wait to be applied
    _ticking: asyncio.Task[None] | None = None
    _refusal: str = ""  # what who asks is told, once the member has failed or stopped
    _queue: list[Effect] = field(default_factory=list)
    _carrying: bool = False
    _applied: int = 0  # what the machine has: the core is ahead while its effects are carried out

    async def start(self) -> int:
        """Recover and begin; returns the port. Raises LockedError, DamagedError, DiskError,
        UnknownRecordError or ForeignDiskError, and OSError where the address can't be had."""
        self._journal = Journal(Disk(self.folder))
        held = self._journal.open()
        for line in held.dropped:
            log.warning("journal-tail-dropped", what=line)
        me, cluster = self.identity.me, self.identity.cluster
        try:
            self._kept = kept_of(held.state, held.records)
            if self._kept.member not in (None, me) or self._kept.cluster not in ("", cluster):
                told = f"{self.folder} is of member {self._kept.member} of {self._kept.cluster}"
                raise ForeignDiskError(told)
        except BaseException:
            self._journal.close()
            raise
        self._first_write = self._journal.next_number - 1
        self._committer = Committer(self._journal, self._durable, self._fail)
        if self._kept.member is None:
            self._keep(["me", cluster, me])
            self._first_write += 1
        self.raft = Raft(me, self.first, self.limits, secrets.randbits(64), self._kept.snapshot)
        self.transport = Transport(self.identity, self._heard)
        host, port = self.addresses[me]
        got = await self.transport.start(host, port)
        self._carry(self.raft.recover(self._kept.term, self._kept.vote, self._kept.entries))
        self.transport.know(self.addresses)
        self._ticking = asyncio.create_task(self._tick())
        return got

    # What is asked of it

    async def change(self, change: Change, client: str = "", serial: int = 0) -> Outcome:
        """Commit a change; returns what became of it. Raises NotTakenError, which for `unknown` and `stopped`
        means that it may yet be committed: ask again with the same client and serial."""
        # Guards against a leader that has just begun, or has changes on their way: what they make of the
        # configuration is not known here yet, so nothing can be said of a change that may come after them.
        whole = self.raft.role is Role.LEADER and self._applied == self.raft.last_index
        tried = self.machine.tried(change) if whole else Outcome(1)
        if not tried.version and tried.why in ("malformed", "unusable"):
            return tried  # the log is spared
        data = packed(change)
        outcome: Outcome = await self._call(lambda ticket: self.raft.propose(ticket, data, client, serial))
        return outcome

    async def read(self) -> Machine:
        """The configuration as of all that was committed before this was asked. Raises NotTakenError."""
        await self._call(self.raft.read)
        return self.machine

    async def members(self, members: Members) -> None:
        """Commit a change of members. Raises NotTakenError."""
        await self._call(lambda ticket: self.raft.change_members(ticket, members))

    def hand_over(self, member: Member) -> None:
        """Have another member lead. Raises NotTakenError."""
        effects = self.raft.hand_over(0, member)
        refused = next((effect for effect in effects if isinstance(effect, Refused)), None)
        if refused is not None:
            raise NotTakenError(refused.why, refused.leader)
        self._carry(effects)

    def know(self, addresses: dict[Member, tuple[str, int]]) -> None:
        """Where members are, as members come and go."""
        self.addresses = addresses
        self.transport.know(addresses)

    @property
    def apart(self) -> bool:
        """Whether what is committed elsewhere may not come here: no leader with a majority is known."""
        return bool(self.failed) or self.raft.apart

    def status(self) -> dict[str, Any]:
        """For operators."""
        raft = self.raft
        return {
            "me": raft.me,
            "role": raft.role.value,
            "leader": raft.leader,
            "term": raft.term,
            "last": raft.last_index,
            "commit": raft.commit,
            "applied": raft.applied,
            "snapshot": raft.snapshot.index,
            "version": self.machine.number,
            "failed": self.failed,
            "apart": self.apart,
            "voters": sorted(raft.members.voters),
            "learners": sorted(raft.members.learners),
            "match": {str(member): progress.match for member, progress in raft.progress.items()},
            "heard_ticks": {str(member): progress.heard for member, progress in raft.progress.items()},
            "refused": dict(self.transport.counts),
        }

    async def stop(self) -> None:
        """Who waits is answered, and so is at once whoever asks from now on."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._refusal = self._refusal or "stopped"
        self._answer_all("stopped")
        await self.transport.close()
        await self._committer.close()

    async def _call(self, ask: Callable[[int], list[Effect]]) -> Any:
        if self._refusal:
            raise NotTakenError(self._refusal)
        if len(self._calls) >= MOST_WAITING:
            raise NotTakenError("too-many-waiting", self.raft.leader)
        self._tickets += 1
        ticket = self._tickets
        call = self._calls[ticket] = _Call(asyncio.get_running_loop().create_future())
        try:
            self._carry(ask(ticket))
            return await call.future
        finally:
            self._calls.pop(ticket, None)

    # What happens to it

    async def _tick(self) -> None:
        due = time.monotonic()
        try:
            while not self.failed:
                # After a stall at most one tick is made up for
                due = max(due + TICK, time.monotonic() - TICK)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                self._carry(self.raft.tick())
        except Exception as problem:
            self._fail(f"tick: {type(problem).__name__}: {problem}", "faulted")
            raise

    def _heard(self, peer: Member, message: Message) -> None:
        if not self.failed:
            self._carry(self.raft.heard(peer, message))

    def _durable(self, number: int) -> None:
        self._carry(self.raft.durable(number - self._first_write))
        if self._records >= FOLD_AFTER and self._journal.durable_number == self._journal.next_number - 1:
            self._journal.snapshot(self._kept.state())
            self._records = 0

    def _fail(self, why: str, refusal: str = "disk-failed") -> None:
        """Say nothing more, after a sync that failed or a fault of this program. Who waits, and whoever asks
        from now on, is refused for `refusal`."""
        self.failed, self._refusal = why, refusal
        self._answer_all(refusal)  # before the log line: one that fails must leave nobody waiting
        log.error(refusal, why=why)

    def _answer_all(self, why: str) -> None:
        for call in list(self._calls.values()):
            if not call.future.done():
                call.future.set_exception(NotTakenError(why))

    def _keep(self, record: list[Any]) -> None:
        self._journal.append(record)
        self._kept.take(record)
        self._records += 1
        self._committer.wake()

    def _carry(self, effects: list[Effect]) -> None:
        """Carry out effects in order, also those that come of them."""
        self._queue += effects
        if self._carrying:
            return
        self._carrying = True
        try:
            while self._queue and not self.failed:
                self._carry_out(self._queue.pop(0))
        finally:
            self._carrying = False

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case WriteVote() | WriteEntries() | WriteSnapshot():
                self._keep(record_of(effect))
            case Send(to, message):
                self.transport.send(to, message)
            case Commit(entry, first):
                self._commit(entry, first)
            case Restore(snapshot):
                self.machine.restore(snapshot.data)
                self._applied = snapshot.index
                self._lose_old(snapshot.index)
                self.restored()
            case Accepted(ticket, index, term):
                if ticket in self._calls:
                    self._calls[ticket].index, self._calls[ticket].term = index, term
            case Refused(ticket, why, leader):
                self._fail_call(ticket, NotTakenError(why, leader))
            case Readable(ticket, index):
                self._reads.append((index, ticket))
                self._answer_reads()

    def _commit(self, entry: Entry, first: bool) -> None:
        self._applied = entry.index
        outcome = Outcome(0, "applied-before")
        if entry.kind is Kind.VALUE and first:
            outcome = self.machine.apply(entry.index, entry.data)
            if outcome.version:
                self.committed(self.machine.history[-1])
        for call in list(self._calls.values()):
            if call.index == entry.index and not call.future.done():
                if call.term == entry.term:
                    call.future.set_result(outcome)
                else:
                    call.future.set_exception(NotTakenError("overwritten", self.raft.leader))
        self._answer_reads()
        if self.raft.applied - self.raft.snapshot.index >= COMPACT_AFTER and self.raft.applied == entry.index:
            self._queue += self.raft.compact(self.machine.state())

    def _lose_old(self, index: int) -> None:
        """A snapshot came over proposals that wait: whether they are in it, nobody here can say."""
        for call in self._calls.values():
            if 0 < call.index <= index and not call.future.done():
                call.future.set_exception(NotTakenError("unknown", self.raft.leader))

    def _answer_reads(self) -> None:
        for index, ticket in list(self._reads):
            if index <= self._applied:
                self._reads.remove((index, ticket))
                call = self._calls.get(ticket)
                if call is not None and not call.future.done():
                    call.future.set_result(None)

    def _fail_call(self, ticket: int, problem: NotTakenError) -> None:
        call = self._calls.get(ticket)
        if call is not None and not call.future.done():
            call.future.set_exception(problem)
