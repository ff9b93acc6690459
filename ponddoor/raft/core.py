"""One member of a Raft cluster, free of I/O: ticks, messages, proposals and finished writes in; messages,
writes and committed entries out.

After Ongaro, "Consensus: Bridging Theory and Practice" (2014); section numbers below are that text's. Chance
is a short LCG from a seed. Times are ticks. Every way in returns effects in order; the caller carries them
out, and tells by `durable` which writes have reached the disk. No answer that promises something goes out
before the write that says so is durable; what a leader sends its followers need not wait (10.2.1)."""

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum

Member = int


class Kind(Enum):
    """What an entry holds."""

    VALUE = 0
    EMPTY = 1  # a leader's first of its term
    MEMBERS = 2


class Role(Enum):
    """What a member is now."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Members:
    """Who votes, and who only learns until it has caught up."""

    voters: frozenset[Member]
    learners: frozenset[Member] = frozenset()

    def everybody(self) -> list[Member]:
        return sorted(self.voters | self.learners)

    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log. `client` and `serial` name a proposal, so that a repeat is applied once."""

    term: int
    index: int
    kind: Kind = Kind.VALUE
    data: bytes = b""
    client: str = ""
    serial: int = 0
    members: Members | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that was applied up to an entry; `clients` has each client's last proposal: serial and index."""

    index: int
    term: int
    members: Members
    data: bytes = b""
    clients: tuple[tuple[str, int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds and times. Times in ticks, sizes in bytes, `window` in messages out to one follower."""

    election: int = 10
    heartbeat: int = 2
    batch: int = 64
    batch_bytes: int = 65_536
    window: int = 8
    proposals: int = 1000  # entries proposed and not yet committed
    entry_bytes: int = 1_000_000
    piece: int = 32_768
    reads: int = 1000
    clients: int = 10_000
    caught_up: int = 16  # a learner so few entries behind may be made a voter
    apart: int = 40  # without a leader that leads for so long, a member is apart; an election takes less


# Messages


@dataclass(frozen=True, slots=True)
class Vote:
    """A request for a vote; `pre` only asks whether one would be given (9.6), `forced` is by transfer."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    forced: bool = False


@dataclass(frozen=True, slots=True)
class Voted:
    """The answer to it; `term` is the voter's, or the asked one where a pre-vote is given."""

    term: int
    given: bool
    pre: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after one that both should have, and what is committed. `round` counts its heartbeats."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The answer: entries up to `match` are the leader's and durable; else where the logs may part."""

    term: int
    ok: bool
    match: int
    round: int
    conflict_term: int = 0


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of a snapshot, from `offset`; `more` follow."""

    term: int
    index: int
    last_term: int
    members: Members
    clients: tuple[tuple[str, int, int], ...]
    offset: int
    data: bytes
    more: bool
    round: int


@dataclass(frozen=True, slots=True)
class Taken:
    """The answer to a piece: how far the snapshot of that index has come."""

    term: int
    index: int
    offset: int
    done: bool
    round: int


@dataclass(frozen=True, slots=True)
class TakeOver:
    """A leader asks a follower to stand at once (3.10)."""

    term: int


Message = Vote | Voted | Append | Appended | Piece | Taken | TakeOver


# What the core wants done


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member; it may be lost."""

    to: Member
    message: Message


@dataclass(frozen=True, slots=True)
class WriteVote:
    """Make term and vote durable."""

    number: int
    term: int
    vote: Member | None


@dataclass(frozen=True, slots=True)
class WriteEntries:
    """Make entries durable; what the log had from the first one's index on is void."""

    number: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Make a snapshot durable; the log up to it is void, and all of it where `alone`."""

    number: int
    snapshot: Snapshot
    alone: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """An entry to apply, in order, each once. `first` is False where its proposal was applied before."""

    entry: Entry
    first: bool


@dataclass(frozen=True, slots=True)
class Restore:
    """A snapshot takes the place of all that was applied."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Readable:
    """A read may be answered from what is applied, once that is up to `index` (6.4)."""

    ticket: int
    index: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal or a read is not taken: `why`, and who leads, as far as is known."""

    ticket: int
    why: str
    leader: Member | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """A proposal is in this leader's log at an index; it counts when it is committed in that term."""

    ticket: int
    index: int
    term: int


Effect = Send | WriteVote | WriteEntries | WriteSnapshot | Commit | Restore | Readable | Refused | Accepted


class BrokenPromiseError(Exception):
    """What can't be if all members follow the rules: the log must not go on from here."""


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other member."""

    next: int
    match: int = 0
    probing: bool = True  # one message at a time until it is known where the logs meet
    out: deque[int] = field(default_factory=deque)  # last indices of appends out
    piece: int | None = None  # offset of the snapshot that is sent
    waits: int = 0  # ticks since something was sent that must be answered
    heard: int = 0  # ticks since it was last heard
    round: int = 0


@dataclass(slots=True)
class Reading:
    """A read that waits for a round of heartbeats."""

    ticket: int
    index: int
    round: int


class Raft:
    """One member. `recover` first where there is something to recover, then ticks and messages."""

    def __init__(
        self, me: Member, members: Members, limits: Limits, seed: int, snapshot: Snapshot | None = None
    ) -> None:
        self.me, self.limits, self._chance = me, limits, seed
        self.term = 0
        self.vote: Member | None = None
        self.snapshot = snapshot or Snapshot(0, 0, members)
        self.log: list[Entry] = []  # those after the snapshot
        self.members = self.snapshot.members
        self.members_at = self.snapshot.index
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.commit = self.applied = self.snapshot.index
        self.clients = {client: (serial, index) for client, serial, index in self.snapshot.clients}
        self.written = self.durable_to = 0
        self.durable_index = self.snapshot.index  # entries up to it are durable here
        self._writing: deque[tuple[int, int]] = deque()  # (write, last index it makes durable)
        self._held: deque[tuple[int, Send]] = deque()
        self.progress: dict[Member, Progress] = {}
        self.votes: dict[Member, bool] = {}
        self.standing_pre = False
        self.elapsed = self.timeout = 0
        self.alone = 0  # ticks since it last was, or knew, a leader with a majority
        self.beat = self.round = 0
        self.reads: deque[Reading] = deque()
        self.transfer: Member | None = None
        self.transfer_ticks = 0
        self._coming: tuple[int, int, bytearray] | None = None  # a snapshot that comes in: index, term, data
        self._draw()

    # Recovery

    def recover(self, term: int, vote: Member | None, entries: list[Entry]) -> list[Effect]:
        """Take back what was durable. Entries must follow the snapshot without a gap."""
        self.term, self.vote = term, vote
        for number, entry in enumerate(entries):
            if entry.index != self.snapshot.index + 1 + number:
                raise BrokenPromiseError(
                    f"entry {entry.index} where {self.snapshot.index + 1 + number} belongs"
                )
        self.log = list(entries)
        self.durable_index = self.last_index
        self._learn_members()
        return [Restore(self.snapshot)] if self.snapshot.index else []

    # The log

    @property
    def last_index(self) -> int:
        return self.log[-1].index if self.log else self.snapshot.index

    def term_at(self, index: int) -> int | None:
        """The term of an entry, None where the log does not have it (any more)."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else None

    def _from(self, index: int) -> list[Entry]:
        return self.log[index - self.snapshot.index - 1 :]

    def _append(self, entries: list[Entry]) -> list[Effect]:
        first = entries[0].index
        if first <= self.commit:
            raise BrokenPromiseError(f"member {self.me}: entry {first} is committed and would be overwritten")
        self.log = [*self.log[: first - self.snapshot.index - 1], *entries]
        # Guards against a durable index that counts entries which were overwritten: it falls first.
        self.durable_index = min(self.durable_index, first - 1)
        self._writing = deque((number, min(last, first - 1)) for number, last in self._writing)
        self._learn_members()
        self.written += 1
        self._writing.append((self.written, self.last_index))
        return [WriteEntries(self.written, tuple(entries))]

    def _learn_members(self) -> None:
        """The newest members in the log count, committed or not (4.1)."""
        newest = next((entry for entry in reversed(self.log) if entry.members is not None), None)
        held = newest.members if newest is not None else None
        self.members = held or self.snapshot.members
        self.members_at = newest.index if newest is not None else self.snapshot.index
        if self.role is Role.LEADER:
            others = [member for member in self.members.everybody() if member != self.me]
            self.progress = {m: self.progress.get(m) or Progress(self.last_index + 1) for m in others}

    # Durability

    def durable(self, number: int) -> list[Effect]:
        """All writes up to a number are durable: what waited for them goes out, and counts."""
        self.durable_to = max(self.durable_to, number)
        while self._writing and self._writing[0][0] <= self.durable_to:
            self.durable_index = max(self.durable_index, self._writing.popleft()[1])
        out: list[Effect] = []
        while self._held and self._held[0][0] <= self.durable_to:
            out.append(self._held.popleft()[1])
        if self.role is Role.CANDIDATE and not self.standing_pre and not self.votes.get(self.me):
            out += self._count_own_vote()
        return out + self._advance()

    def _when_durable(self, send: Send) -> list[Effect]:
        """Guards against an answer that a crash would forget: it waits for all that was written before it."""
        if self.written <= self.durable_to:
            return [send]
        self._held.append((self.written, send))
        return []

    def _write_vote(self) -> list[Effect]:
        self.written += 1
        return [WriteVote(self.written, self.term, self.vote)]

    # Time

    def _draw(self) -> None:
        """An election timeout of one to two times the least, by chance."""
        self._chance = (self._chance * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        self.timeout = self.limits.election + ((self._chance >> 32) * self.limits.election >> 32)
        self.elapsed = 0

    def tick(self) -> list[Effect]:
        """A tick of the clock has passed."""
        self.alone = 0 if self._in_touch() else self.alone + 1
        if self.role is not Role.LEADER:
            self.elapsed += 1
            if self.elapsed >= self.timeout and self.me in self.members.voters:
                return self._stand(pre=True)
            return []
        out: list[Effect] = []
        for progress in self.progress.values():
            progress.heard += 1
            progress.waits += 1
        if not self._heard_by_majority():
            # Guards against a leader that is cut off and does not know (6.2): clients must look elsewhere.
            return self._follow(self.term, None)
        if self.transfer is not None:
            self.transfer_ticks += 1
            if self.transfer_ticks > self.limits.election:
                self.transfer = None  # it did not take over: proposals are taken again
        self.beat += 1
        if self.beat >= self.limits.heartbeat:
            self.beat = 0
            out += self._round()
        return out

    def _heard_by_majority(self) -> bool:
        """Whether a majority has answered this leader lately."""
        heard = sum(self.progress[m].heard <= self.limits.election for m in self._other_voters())
        return heard + (self.me in self.members.voters) >= self.members.quorum()

    def _in_touch(self) -> bool:
        """Whether it leads a majority, or has heard a leader lately."""
        if self.role is Role.LEADER:
            return self._heard_by_majority()
        return self.leader is not None and self.elapsed <= self.limits.election

    @property
    def apart(self) -> bool:
        """Whether what it knows to be committed may be old: for a while it has neither heard a leader nor led
        a majority. A usual election is over sooner, so one that dies sends nobody elsewhere."""
        return self.alone >= self.limits.apart

    def _other_voters(self) -> list[Member]:
        return [member for member in sorted(self.members.voters) if member != self.me]

    # Elections

    def _stand(self, pre: bool, forced: bool = False) -> list[Effect]:
        """Stand for election, or ask first whether that could be won, which disturbs nobody (9.6)."""
        self._draw()
        self.role, self.leader, self.standing_pre, self.votes = Role.CANDIDATE, None, pre, {}
        out: list[Effect] = []
        if not pre:
            self.term, self.vote = self.term + 1, self.me
            out += self._write_vote()
        asked = Vote(self.term + pre, self.last_index, self.term_at(self.last_index) or 0, pre, forced)
        out += [Send(member, asked) for member in self._other_voters()]
        if pre:
            self.votes[self.me] = True
            out += self._count()
        return out

    def _count_own_vote(self) -> list[Effect]:
        self.votes[self.me] = True
        return self._count()

    def _count(self) -> list[Effect]:
        given = sum(self.votes.get(member, False) for member in self.members.voters)
        refused = sum(not self.votes.get(member, True) for member in self.members.voters)
        if given >= self.members.quorum():
            return self._stand(pre=False) if self.standing_pre else self._lead()
        if refused >= self.members.quorum():
            return self._follow(self.term, None)
        return []

    def _lead(self) -> list[Effect]:
        self.role, self.leader, self.votes = Role.LEADER, self.me, {}
        self.progress, self.reads, self.transfer = {}, deque(), None
        self.beat = 0
        self._learn_members()
        # An entry of its own term, so that it learns what is committed (6.4) and may change members (4.1).
        out = self._append([Entry(self.term, self.last_index + 1, Kind.EMPTY)])
        return out + self._round() + self._advance()

    def _follow(self, term: int, leader: Member | None) -> list[Effect]:
        """Be a follower, in a later term or in this one."""
        out: list[Effect] = []
        refused = "not-leading" if self.role is Role.LEADER else ""
        if term > self.term:
            self.term, self.vote = term, None
            out += self._write_vote()
        if self.role is not Role.FOLLOWER:
            self._draw()
        self.role, self.leader, self.votes, self.progress = Role.FOLLOWER, leader, {}, {}
        if refused:
            out += [Refused(read.ticket, refused, leader) for read in self.reads]
        self.reads, self.transfer = deque(), None
        return out

    def _asked_for_vote(self, sender: Member, ask: Vote) -> list[Effect]:
        if ask.term < self.term:
            return self._when_durable(Send(sender, Voted(self.term, False, ask.pre)))
        lease = self.elapsed < self.limits.election and self.leader is not None
        if (lease or self.role is Role.LEADER) and not ask.forced:
            # Guards against a member that was away and would unseat a leader whom all others hear (4.2.3).
            return []
        out: list[Effect] = []
        if ask.term > self.term and not ask.pre:
            out += self._follow(ask.term, None)
        mine = (self.term_at(self.last_index) or 0, self.last_index)
        able = (ask.last_term, ask.last_index) >= mine
        if ask.pre:
            given = able and ask.term > self.term
            return out + self._when_durable(
                Send(sender, Voted(ask.term if given else self.term, given, True))
            )
        given = able and self.vote in (None, sender)
        if given and self.vote is None:
            self.vote = sender
            out += self._write_vote()
            self._draw()
        return out + self._when_durable(Send(sender, Voted(self.term, given)))

    def _voted(self, sender: Member, answer: Voted) -> list[Effect]:
        if answer.term > self.term and not (answer.pre and answer.given):
            return self._follow(answer.term, None)
        wanted = self.term + 1 if self.standing_pre and answer.given else self.term
        if self.role is not Role.CANDIDATE or answer.pre != self.standing_pre or answer.term != wanted:
            return []
        self.votes[sender] = answer.given
        return self._count()

    # Messages

    def heard(self, sender: Member, message: Message) -> list[Effect]:
        """A message from another member."""
        match message:
            case Vote():
                return self._asked_for_vote(sender, message)
            case Voted():
                return self._voted(sender, message)
            case Append() | Piece():
                if message.term < self.term:
                    told = Appended(self.term, False, 0, message.round)
                    return self._when_durable(Send(sender, told))
                out = self._follow(message.term, sender) if self._must_follow(message.term) else []
                self.leader, self.elapsed = sender, 0
                return out + (
                    self._take_append(sender, message)
                    if isinstance(message, Append)
                    else self._take_piece(sender, message)
                )
            case Appended() | Taken():
                if message.term > self.term:
                    return self._follow(message.term, None)
                progress = self.progress.get(sender)
                if self.role is not Role.LEADER or message.term < self.term or progress is None:
                    return []
                progress.heard = 0
                progress.round = max(progress.round, message.round)
                out = (
                    self._appended(sender, progress, message)
                    if isinstance(message, Appended)
                    else self._piece_taken(sender, progress, message)
                )
                return out + self._advance() + self._confirm_reads()
            case TakeOver(term):
                if term == self.term and self.role is Role.FOLLOWER and self.me in self.members.voters:
                    return self._stand(pre=False, forced=True)
                return []

    def _must_follow(self, term: int) -> bool:
        if term == self.term and self.role is Role.LEADER:
            raise BrokenPromiseError(f"two leaders in term {term}")
        return term > self.term or self.role is not Role.FOLLOWER

    # Followers

    def _take_append(self, sender: Member, got: Append) -> list[Effect]:
        if got.prev_index < self.snapshot.index:
            # what is in our snapshot is committed, and so the leader's as well
            entries = [entry for entry in got.entries if entry.index > self.snapshot.index]
            prev_index, prev_term = self.snapshot.index, self.snapshot.term
        else:
            entries, prev_index, prev_term = list(got.entries), got.prev_index, got.prev_term
        mine = self.term_at(prev_index)
        if mine != prev_term:
            told = self._conflict(prev_index, got.round)
            return self._when_durable(Send(sender, told))
        last = max(prev_index, got.entries[-1].index if got.entries else 0, got.prev_index)
        fresh = next((n for n, entry in enumerate(entries) if self.term_at(entry.index) != entry.term), None)
        out = self._append(entries[fresh:]) if fresh is not None else []
        out += self._commit_to(min(got.commit, last))
        return out + self._when_durable(Send(sender, Appended(self.term, True, last, got.round)))

    def _conflict(self, index: int, round_: int) -> Appended:
        """Where the leader should try: our last entry, or the first of the term that we have there (5.3)."""
        term = self.term_at(index)
        if term is None:
            return Appended(self.term, False, min(index - 1, self.last_index), round_)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return Appended(self.term, False, max(index - 1, self.snapshot.index), round_, term)

    def _take_piece(self, sender: Member, got: Piece) -> list[Effect]:
        def told(offset: int, done: bool) -> list[Effect]:
            return self._when_durable(Send(sender, Taken(self.term, got.index, offset, done, got.round)))

        if got.index <= self.commit:
            return told(0, True)  # all of it is here already
        if self._coming is None or self._coming[:2] != (got.index, got.last_term):
            self._coming = (got.index, got.last_term, bytearray())
        data = self._coming[2]
        if got.offset != len(data):
            return told(len(data), False)  # a piece was lost or comes twice: go on from here
        data += got.data
        if got.more:
            return told(len(data), False)
        snapshot = Snapshot(got.index, got.last_term, got.members, bytes(data), got.clients)
        self._coming = None
        return [*self._install(snapshot), *told(0, True)]

    def _install(self, snapshot: Snapshot) -> list[Effect]:
        alone = self.term_at(snapshot.index) != snapshot.term
        self.log = [] if alone else self._from(snapshot.index + 1)
        self.snapshot = snapshot
        self.commit = self.applied = snapshot.index
        self.clients = {client: (serial, index) for client, serial, index in snapshot.clients}
        self.written += 1
        # What the log still has was written before: the snapshot's write makes it durable up to its index.
        self._writing.append((self.written, snapshot.index))
        if alone:
            self.durable_index = min(self.durable_index, snapshot.index)
            self._writing = deque((number, min(last, snapshot.index)) for number, last in self._writing)
        self._learn_members()
        return [WriteSnapshot(self.written, snapshot, alone), Restore(snapshot)]

    # Leaders

    def _round(self) -> list[Effect]:
        """A heartbeat to all: whoever answers it confirms that we still lead."""
        self.round += 1
        out: list[Effect] = []
        for member, progress in self.progress.items():
            out += self._feed(member, progress, beat=True)
        return out + self._confirm_reads()

    def _feed(self, member: Member, progress: Progress, beat: bool = False) -> list[Effect]:
        """Send what a member lacks, as far as its window goes; an empty message at least on a heartbeat."""
        limits, out = self.limits, list[Effect]()
        if progress.waits > 2 * limits.heartbeat and (progress.out or progress.piece is not None):
            # Guards against a window filled by messages that were lost: start again from what is known.
            progress.out.clear()
            progress.next, progress.probing = progress.match + 1, True
        if progress.next <= self.snapshot.index:
            return self._feed_piece(member, progress, beat)
        while (
            len(progress.out) < (1 if progress.probing else limits.window)
            and progress.next <= self.last_index
        ):
            batch = self._batch(progress.next)
            out.append(self._append_to(member, progress.next, batch))
            progress.out.append(batch[-1].index)
            progress.waits = 0
            if progress.probing:
                break
            progress.next = batch[-1].index + 1
        if beat and not out:
            out.append(self._append_to(member, progress.next, []))
        return out

    def _batch(self, first: int) -> list[Entry]:
        batch: list[Entry] = []
        size = 0
        for entry in self._from(first)[: self.limits.batch]:
            size += len(entry.data)
            if batch and size > self.limits.batch_bytes:
                break
            batch.append(entry)
        return batch

    def _append_to(self, member: Member, first: int, entries: list[Entry]) -> Send:
        term = self.term_at(first - 1)
        assert term is not None
        return Send(member, Append(self.term, first - 1, term, tuple(entries), self.commit, self.round))

    def _feed_piece(self, member: Member, progress: Progress, beat: bool) -> list[Effect]:
        held = self.snapshot
        if progress.piece is None:
            progress.piece, progress.waits = 0, self.limits.heartbeat * 3
        if not beat and progress.waits <= 2 * self.limits.heartbeat:
            return []
        progress.waits = 0
        data = held.data[progress.piece : progress.piece + self.limits.piece]
        more = progress.piece + len(data) < len(held.data)
        about = (held.index, held.term, held.members, held.clients)
        piece = Piece(self.term, *about, progress.piece, data, more, self.round)
        return [Send(member, piece)]

    def _appended(self, member: Member, progress: Progress, got: Appended) -> list[Effect]:
        if got.ok:
            if got.match > self.last_index:
                raise BrokenPromiseError(f"member {member} has entry {got.match}, the leader does not")
            progress.match = max(progress.match, got.match)
            progress.next = max(progress.next, progress.match + 1)
            while progress.out and progress.out[0] <= progress.match:
                progress.out.popleft()
            progress.probing = False
            if progress.piece is not None and progress.next > self.snapshot.index:
                progress.piece = None
            out = self._feed(member, progress)
            if self.transfer == member and progress.match == self.last_index:
                out.append(Send(member, TakeOver(self.term)))
            return out
        if got.match >= progress.next or got.match < progress.match:
            return []  # an old answer
        # Back to our last entry of the term that it has there, or to where it says (5.3).
        index = got.match
        if got.conflict_term:
            mine = [e.index for e in self._from(self.snapshot.index + 1) if e.term == got.conflict_term]
            index = max([index, *(at for at in mine if at < progress.next - 1)])
        progress.next, progress.probing = max(index, progress.match) + 1, True
        progress.out.clear()
        return self._feed(member, progress, beat=True)

    def _piece_taken(self, member: Member, progress: Progress, got: Taken) -> list[Effect]:
        if got.done:
            progress.match = max(progress.match, got.index)
            progress.next = max(progress.next, progress.match + 1)
            progress.piece, progress.probing = None, True
            progress.out.clear()
            return self._feed(member, progress, beat=True)
        if progress.piece is None or got.index != self.snapshot.index:
            return []
        progress.piece, progress.waits = got.offset, self.limits.heartbeat * 3
        return self._feed_piece(member, progress, beat=False)

    # Commitment

    def _advance(self) -> list[Effect]:
        """A leader commits what a quorum has durably, if it is of its own term (3.6.2)."""
        if self.role is not Role.LEADER:
            return []
        held = {m: self.progress[m].match for m in self._other_voters()}
        if self.me in self.members.voters:
            held[self.me] = self.durable_index
        ordered = sorted(held.values(), reverse=True)
        if len(ordered) < self.members.quorum():
            return []
        index = ordered[self.members.quorum() - 1]
        if index <= self.commit or not self._may_commit(index):
            return []
        out = self._commit_to(index)
        for member, progress in list(self.progress.items()):
            out += self._feed(member, progress, beat=not progress.out)
        if self.me not in self.members.voters and self.commit >= self.members_at:
            out += self._follow(self.term, None)  # it removed itself, and that is committed (4.2.2)
        return out

    def _may_commit(self, index: int) -> bool:
        """Guards against an entry of an earlier term that a quorum has and a leader overwrites (3.6.2)."""
        return self.term_at(index) == self.term

    def _commit_to(self, index: int) -> list[Effect]:
        out: list[Effect] = []
        self.commit = max(self.commit, min(index, self.last_index))
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log[self.applied - self.snapshot.index - 1]
            first = self._is_first(entry)
            out.append(Commit(entry, first))
        return out

    def _is_first(self, entry: Entry) -> bool:
        """Guards against a proposal that its client sent again, and that is in the log twice (6.3).

        It harms a client that was forgotten, heard longest ago among too many: its repeat counts."""
        if not entry.client:
            return True
        serial, _ = self.clients.pop(entry.client, (0, 0))
        first = entry.serial > serial
        held = (entry.serial, entry.index) if first else (serial, _)
        self.clients[entry.client] = held
        if len(self.clients) > self.limits.clients:
            del self.clients[next(iter(self.clients))]
        return first

    # What is asked of a member

    def propose(self, ticket: int, data: bytes, client: str = "", serial: int = 0) -> list[Effect]:
        """A value for the log; Accepted says where, Commit that it counts."""
        why = self._cannot_propose(len(data))
        if why:
            return [Refused(ticket, why, self.leader)]
        entry = Entry(self.term, self.last_index + 1, Kind.VALUE, data, client, serial)
        return self._propose(ticket, entry)

    def _cannot_propose(self, size: int) -> str:
        if self.role is not Role.LEADER:
            return "not-leading"
        if self.transfer is not None:
            return "handing-over"
        if size > self.limits.entry_bytes:
            return "too-large"
        if self.last_index - self.commit >= self.limits.proposals:
            return "too-many-proposals"
        return ""

    def _propose(self, ticket: int, entry: Entry) -> list[Effect]:
        out: list[Effect] = [Accepted(ticket, entry.index, entry.term), *self._append([entry])]
        for member, progress in list(self.progress.items()):
            out += self._feed(member, progress)
        return out + self._advance()

    def change_members(self, ticket: int, members: Members) -> list[Effect]:
        """One member more or less, or a learner made a voter; one change at a time (4.1)."""
        why = self._cannot_propose(0) or self._cannot_change(members)
        if why:
            return [Refused(ticket, why, self.leader)]
        entry = Entry(self.term, self.last_index + 1, Kind.MEMBERS, members=members)
        return self._propose(ticket, entry)

    def _cannot_change(self, members: Members) -> str:
        if self.members_at > self.commit:
            return "change-under-way"
        if not self._leads_surely():
            return "not-yet-leading"
        changed = self.members.voters ^ members.voters
        if len(changed) > 1 or not members.voters or members.voters & members.learners:
            return "more-than-one"
        for member in sorted(members.voters - self.members.voters):
            progress = self.progress.get(member)
            if progress is None or not progress.match:
                return "not-caught-up"
            if progress.match + self.limits.caught_up < self.last_index:
                return "not-caught-up"
        return ""

    def _leads_surely(self) -> bool:
        """Guards against the bug of single-server changes: two leaders may each know one change that the
        other does not, until an entry of its own term is committed (Ongaro, raft-dev, 2015)."""
        return self.term_at(self.commit) == self.term

    def hand_over(self, ticket: int, member: Member) -> list[Effect]:
        """Have another voter lead (3.10)."""
        if self.role is not Role.LEADER or member not in self.members.voters or member == self.me:
            return [
                Refused(ticket, "not-leading" if self.role is not Role.LEADER else "no-voter", self.leader)
            ]
        self.transfer, self.transfer_ticks = member, 0
        progress = self.progress[member]
        if progress.match == self.last_index:
            return [Send(member, TakeOver(self.term))]
        return self._feed(member, progress)

    def read(self, ticket: int) -> list[Effect]:
        """A read that must see all that was committed before it was asked (6.4)."""
        if self.role is not Role.LEADER:
            return [Refused(ticket, "not-leading", self.leader)]
        if self.term_at(self.commit) != self.term:
            return [Refused(ticket, "not-yet-leading", self.leader)]
        if len(self.reads) >= self.limits.reads:
            return [Refused(ticket, "too-many-reads", self.leader)]
        self.reads.append(Reading(ticket, self.commit, self.round + 1))
        return self._round()

    def _confirm_reads(self) -> list[Effect]:
        """A read is answered when a quorum has answered a heartbeat sent after it came."""
        if self.role is not Role.LEADER:
            return []
        rounds = [self.progress[m].round for m in self._other_voters()]
        rounds += [self.round] if self.me in self.members.voters else []
        ordered = sorted(rounds, reverse=True)
        if len(ordered) < self.members.quorum():
            return []
        sure, out = ordered[self.members.quorum() - 1], list[Effect]()
        while self.reads and self.reads[0].round <= sure:
            read = self.reads.popleft()
            out.append(Readable(read.ticket, read.index))
        return out

    def compact(self, data: bytes) -> list[Effect]:
        """The caller has all that is applied as one snapshot: the log up to it may go."""
        if self.applied == self.snapshot.index:
            return []
        term = self.term_at(self.applied)
        assert term is not None
        members = self.snapshot.members
        for entry in self.log[: self.applied - self.snapshot.index]:
            members = entry.members or members
        clients = tuple((client, serial, index) for client, (serial, index) in self.clients.items())
        rest = self._from(self.applied + 1)
        self.snapshot = Snapshot(self.applied, term, members, data, clients)
        self.log = rest
        self._learn_members()
        self.written += 1
        self._writing.append((self.written, self.snapshot.index))
        for progress in self.progress.values():
            progress.piece = None  # a snapshot under way begins anew with this one
        return [WriteSnapshot(self.written, self.snapshot, False)]


def with_learner(members: Members, member: Member) -> Members:
    return replace(members, learners=members.learners | {member})


def as_voter(members: Members, member: Member) -> Members:
    return Members(members.voters | {member}, members.learners - {member})


def without(members: Members, member: Member) -> Members:
    return Members(members.voters - {member}, members.learners - {member})
