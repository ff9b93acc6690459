"""What a member keeps, as records of a journal (ponddoor/store), and what they say after a crash.

Free of I/O itself. A record is a list: ["vote", term, vote], ["entries", [entry...]],
["snapshot", alone, snapshot] or ["me", cluster, member]; one of no known kind is refused."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ponddoor.raft.core import Entry, Member, Snapshot, WriteEntries, WriteSnapshot, WriteVote


class UnknownRecordError(Exception):
    """A journal of a later version, or none of ours: a member must not go on as if it had read all of it."""


def _plain(value: Any) -> Any:
    return msgspec.to_builtins(value, builtin_types=(bytes,))


def record_of(write: WriteVote | WriteEntries | WriteSnapshot) -> list[Any]:
    """The record that makes a write durable."""
    match write:
        case WriteVote(_, term, vote):
            return ["vote", term, vote]
        case WriteEntries(_, entries):
            return ["entries", [_plain(entry) for entry in entries]]
        case WriteSnapshot(_, snapshot, alone):
            return ["snapshot", alone, _plain(snapshot)]


@dataclass(slots=True)
class Kept:
    """What the records of a journal amount to."""

    term: int = 0
    vote: Member | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    cluster: str = ""
    member: Member | None = None

    def take(self, record: list[Any]) -> None:
        """The next record. Raises UnknownRecordError."""
        match record:
            case ["vote", int(term), vote]:
                self.term, self.vote = term, vote
            case ["entries", list(raw)]:
                fresh = [msgspec.convert(one, Entry, builtin_types=(bytes,)) for one in raw]
                self.entries = [e for e in self.entries if e.index < fresh[0].index] + fresh
            case ["snapshot", bool(alone), raw]:
                held = msgspec.convert(raw, Snapshot, builtin_types=(bytes,))
                self.snapshot = held
                self.entries = [] if alone else [e for e in self.entries if e.index > held.index]
            case ["me", str(cluster), int(member)]:
                self.cluster, self.member = cluster, member
            case _:
                raise UnknownRecordError(f"a record {str(record)[:60]}")

    def state(self) -> list[list[Any]]:
        """All of it as records, for a snapshot of the journal."""
        made: list[list[Any]] = [["vote", self.term, self.vote]]
        if self.member is not None:
            made.append(["me", self.cluster, self.member])
        if self.snapshot is not None:
            made.append(["snapshot", True, _plain(self.snapshot)])
        if self.entries:
            made.append(["entries", [_plain(entry) for entry in self.entries]])
        return made


def kept_of(state: list[list[Any]] | None, records: list[list[Any]]) -> Kept:
    """What a journal held. Raises UnknownRecordError."""
    kept = Kept()
    for record in [*(state or []), *records]:
        kept.take(record)
    return kept
