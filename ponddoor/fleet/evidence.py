"""What the fronts saw of servers: evidence, each piece with its witness, its age and its number of tries.

No front's judgement travels. Of each witness the newest word counts, by its life and stamp; what is older
than `ttl` is gone. Who reads it decides; a witness's word is one voice, however often it is told."""

from collections.abc import Iterable
from dataclasses import dataclass

from ponddoor.interface.chance import LONG_AGO

MAX_SERVERS = 4096  # of which evidence is held
MAX_TRIES = 15  # tries of a kind that one word tells


@dataclass(frozen=True, slots=True)
class Observation:
    """What one front saw of a server lately: set-ups that failed and that went well, the last of each."""

    failed: int = 0
    succeeded: int = 0
    failed_at: int = LONG_AGO
    succeeded_at: int = LONG_AGO

    def newest(self) -> int:
        return max(self.failed_at, self.succeeded_at)


@dataclass(frozen=True, slots=True)
class EvidenceSummary:
    """What others saw of a server: fronts whose newest end there was bad, all their tries, and the newest."""

    witnesses_against: int = 0
    failed: int = 0
    tries: int = 0
    failed_at: int = LONG_AGO
    succeeded_at: int = LONG_AGO

    def is_bad(self, witnesses: int, own: int = LONG_AGO) -> bool:
        """Whether so many witnesses speak against a server, half of all tries failed, and neither a try that
        went well nor our own last one, at `own`, is newer than the last that failed."""
        newer = self.failed_at > max(self.succeeded_at, own)
        return self.witnesses_against >= witnesses and newer and 2 * self.failed >= self.tries


NO_EVIDENCE = EvidenceSummary()


@dataclass(frozen=True, slots=True)
class _Report:
    incarnation: int
    stamp: int
    seen: Observation


class Evidence:
    """All evidence in hand. Times in the front's own microseconds."""

    def __init__(self, ttl: int) -> None:
        self.ttl = ttl
        self._reports: dict[int, dict[int, _Report]] = {}
        self._sums: dict[int, tuple[int, EvidenceSummary]] = {}  # what a keeper's answer told, and when
        self.refused = 0

    def record(self, now: int, witness: int, life: int, stamp: int, server: int, seen: Observation) -> bool:
        """A witness's word of a server; whether it was news."""
        if seen.newest() <= now - self.ttl:
            return False
        reports = self._reports.get(server)
        if reports is None:
            if len(self._reports) >= MAX_SERVERS:
                self._tidy(now)
            if len(self._reports) >= MAX_SERVERS:
                self.refused += 1
                return False
            reports = self._reports[server] = {}
        held = reports.get(witness)
        if held is not None and (life, stamp) <= (held.incarnation, held.stamp):
            return False
        reports[witness] = _Report(life, stamp, seen)
        return True

    def record_summary(self, now: int, server: int, view: EvidenceSummary) -> None:
        """A keeper's answer: what it has from all others."""
        if server in self._sums or len(self._sums) < MAX_SERVERS:
            self._sums[server] = (now, view)

    def forget(self, server: int) -> None:
        """Its process is another one now."""
        self._reports.pop(server, None)
        self._sums.pop(server, None)

    def summary(self, now: int, server: int, without: int = -1) -> EvidenceSummary:
        """What the witnesses but one saw, of the time that evidence ttl; or a keeper's sum of that."""
        reports = self._reports.get(server)
        told = self._sums.get(server)
        if told is not None and (told[0] <= now - self.ttl or not reports):
            view = told[1] if told[0] > now - self.ttl else NO_EVIDENCE
            return view if max(view.failed_at, view.succeeded_at) > now - self.ttl else NO_EVIDENCE
        against = failed = tries = 0
        failed_at = well_at = LONG_AGO
        gone = []
        for witness, word in (reports or {}).items():
            seen = word.seen
            if seen.newest() <= now - self.ttl:
                gone.append(witness)
                continue
            if witness == without:
                continue
            against += seen.failed_at > seen.succeeded_at
            failed, tries = failed + seen.failed, tries + seen.failed + seen.succeeded
            failed_at, well_at = max(failed_at, seen.failed_at), max(well_at, seen.succeeded_at)
        for witness in gone:
            del self._reports[server][witness]
        own = EvidenceSummary(against, failed, tries, failed_at, well_at)
        return max(own, told[1], key=lambda v: max(v.failed_at, v.succeeded_at)) if told is not None else own

    def by_witness(self, now: int, witness: int, most: int) -> list[tuple[int, Observation]]:
        """What one front saw: of bad servers first, the newest first, so many at most."""
        rows = [
            (server, reports[witness].seen)
            for server, reports in self._reports.items()
            if witness in reports and reports[witness].seen.newest() > now - self.ttl
        ]
        rows.sort(key=lambda r: (r[1].failed_at <= r[1].succeeded_at, -r[1].newest(), r[0]))
        return rows[:most]

    def witnesses(self, server: int) -> dict[int, Observation]:
        """Who says what, for people."""
        return {witness: word.seen for witness, word in self._reports.get(server, {}).items()}

    def servers(self) -> Iterable[int]:
        return self._reports.keys() | self._sums.keys()

    def _tidy(self, now: int) -> None:
        for server in list(self._reports):
            self.summary(now, server)
            if not self._reports[server]:
                del self._reports[server]
