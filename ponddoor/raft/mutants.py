"""The core with one guard taken out each, and schedules where it matters: each must be found."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from ponddoor.raft.core import Effect, Entry, Raft, Readable, Restore, Send, Voted, WriteVote
from ponddoor.raft.simulation import Schedule, drawn


class CountsOldTerms(Raft):
    """Commits entries of earlier terms by counting who has them."""

    def _may_commit(self, index: int) -> bool:
        return True


class VoteNotDurable(Raft):
    """Answers a request for a vote before term and vote are durable."""

    def _when_durable(self, send: Send) -> list[Effect]:
        return [send] if isinstance(send.message, Voted) else super()._when_durable(send)

    def _write_vote(self) -> list[Effect]:
        out = super()._write_vote()
        return [replace(one, term=0, vote=None) if isinstance(one, WriteVote) else one for one in out]


class NoSessions(Raft):
    """Applies a proposal as often as it is in the log."""

    def _is_first(self, entry: Entry) -> bool:
        return True


class ChangesEarly(Raft):
    """Changes members before an entry of its own term is committed: the bug of single-server changes."""

    def _leads_surely(self) -> bool:
        return True


class ReadsAtOnce(Raft):
    """Answers reads without a round of heartbeats."""

    def read(self, ticket: int) -> list[Effect]:
        out = super().read(ticket)
        if self.reads and self.reads[-1].ticket == ticket:
            return [Readable(ticket, self.reads.pop().index), *out]
        return out


class RestoresTwice(Raft):
    """Takes a snapshot that comes again for a new one, and applies it over what came since."""

    def _take_piece(self, sender: int, got: object) -> list[Effect]:
        out = super()._take_piece(sender, got)  # type: ignore[arg-type]
        again = not any(isinstance(effect, Restore) for effect in out) and self.snapshot.index
        return [*out, Restore(self.snapshot)] if again else out


def crowded(seed: int) -> Schedule:
    """Leaders that change all the time, with entries that only some have."""
    rng = Random(seed)
    return replace(
        drawn(seed), members=rng.choice([3, 5]), spare=0, crashes=4, cuts=4, pauses=0, changes=0, loss=0.1,
        slow=0.0, seconds=25, clients=6, compact=0.0, batch=1, hunted=0.9,
    )  # fmt: skip


def changing(seed: int) -> Schedule:
    """New leaders that change members at once, and are cut off with some others before that is heard."""
    return replace(
        drawn(seed), members=4, spare=0, crashes=0, cuts=0, pauses=0, changes=0, seconds=14, loss=0.1,
        slow=0.0, double=0.0, clients=2, compact=0.0, hunted=1.0, hunt_within=4_000, eager=1.0, skew=0.3,
    )  # fmt: skip


def compacting(seed: int) -> Schedule:
    """Followers that fall behind a log that is folded often."""
    return replace(drawn(seed), members=3, crashes=8, cuts=6, compact=0.3, loss=0.2, double=0.3, slow=0.2)


def stale(seed: int) -> Schedule:
    """Leaders that are cut off while their clock is slow, and clients that read a lot."""
    return replace(
        drawn(seed), members=3, spare=0, crashes=0, cuts=12, pauses=0, changes=0, seconds=25, loss=0.0,
        slow=0.0, clients=12, reads=1.0, skew=0.6, hunted=0.5, compact=0.0,
    )  # fmt: skip


Shape = Callable[[int], Schedule]
MUTANTS: dict[str, tuple[type[Raft], Shape]] = {
    "old terms are not counted": (CountsOldTerms, crowded),
    "a vote is durable": (VoteNotDurable, crowded),
    "clients' sessions": (NoSessions, drawn),
    "one change at a time, of a sure leader": (ChangesEarly, changing),
    "a round before a read": (ReadsAtOnce, stale),
    "a snapshot is applied once": (RestoresTwice, compacting),
}
