"""Ends of sessions that are read before the hand-over of the session. Does no I/O.

After a restart a front connects to servers before it listens to viewers, and a server releases the sessions
that ended meanwhile on the first connection that it gets. The front is handed its sessions only after its
first readiness test. So an end of a session that the front does not hold is remembered, for a hand-over that
names the session later.

An end counts only for hand-overs of sessions at the server that it came from. Every server has a limit of its
own, so that one that sends ends without number displaces no other's. A server that exceeds its limit may have
ended any session: until that is RETENTION_US ago, every session handed over at it counts as ended.

Times are in microseconds.

Source: the platform's protocol page (a set-up with `at`; "sends its release on the next connection to be
opened as well")."""

import itertools
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

SECOND = 1_000_000
RETENTION_US = 30 * SECOND  # from reading an end, or from the first readiness test if that is later
MAX_ENDS = 8192  # for all sources together, each of which may use an equal share
MIN_ENDS_PER_SOURCE = 16  # with very many sources
MAX_DROPPED = 2  # sources or ends that one event drops: each adds one at most

SourceT = TypeVar("SourceT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """The end of a session. `certain` is whether the source named the session itself."""

    reason: str
    certain: bool = True


@dataclass(slots=True)
class _Source:
    """The ends from one source by session, the oldest first, each with the time at which it was read."""

    ends: dict[str, tuple[int, EarlyEnd]] = field(default_factory=dict)
    all_ended_at: int | None = None
    written_at: int = 0


@dataclass(slots=True)
class EarlyEnds(Generic[SourceT]):
    """The remembered ends, by their source: a server, or whatever else can end a session."""

    _sources: dict[SourceT, _Source] = field(default_factory=dict)  # the least recently written first
    _tested_at: int | None = None

    def __len__(self) -> int:
        """The number of ends that are kept."""
        return sum(len(source.ends) for source in self._sources.values())

    def readiness_tested(self, now: int) -> None:
        """The front has passed a readiness test. Nothing expires before the first one."""
        if self._tested_at is None:
            self._tested_at = now

    def remember(self, now: int, source: SourceT, session: str, reason: str) -> None:
        """An end of a session that is not held was read."""
        written = self._written(now, source)
        written.ends.pop(session, None)
        written.ends[session] = now, EarlyEnd(reason)
        self._limit(now, written)

    def all_ended(self, now: int, source: SourceT) -> None:
        """Every session that was at this source until now has ended."""
        self._written(now, source).all_ended_at = now

    def forget(self, source: SourceT, session: str) -> None:
        """The source takes the session anew, so an earlier end says nothing of it."""
        if source in self._sources:
            self._sources[source].ends.pop(session, None)

    def take(self, now: int, source: SourceT, session: str) -> EarlyEnd | None:
        """The end of a session that is handed over now, None if none is known. Forgets it."""
        written = self._sources.get(source)
        if written is None:
            return None
        read_at, end = written.ends.pop(session, (now, None))
        if end is not None and not self._has_expired(now, read_at):
            return end
        if written.all_ended_at is not None and not self._has_expired(now, written.all_ended_at):
            return EarlyEnd("lost", certain=False)
        return None

    def _written(self, now: int, source: SourceT) -> _Source:
        """The record of a source, which becomes the most recently written one."""
        self._forget_expired_sources(now)
        written = self._sources.pop(source, None) or _Source()
        written.written_at = now
        self._sources[source] = written
        return written

    def _forget_expired_sources(self, now: int) -> None:
        for source, oldest in list(itertools.islice(self._sources.items(), MAX_DROPPED)):
            if not self._has_expired(now, oldest.written_at):
                return
            del self._sources[source]

    def _limit(self, now: int, written: _Source) -> None:
        """Drop expired ends of a source, and its oldest ones beyond its share."""
        share = max(MAX_ENDS // len(self._sources), MIN_ENDS_PER_SOURCE)
        for session, (read_at, _) in list(itertools.islice(written.ends.items(), MAX_DROPPED)):
            if not self._has_expired(now, read_at):
                if len(written.ends) <= share:
                    return
                written.all_ended_at = now
            del written.ends[session]

    def _has_expired(self, now: int, since: int) -> bool:
        return self._tested_at is not None and now - max(since, self._tested_at) >= RETENTION_US
