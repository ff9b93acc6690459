"""Evidence on servers: the set-up outcomes that fronts observed, with witness, age and number of tries.

Fronts exchange observations, not verdicts. Of each witness only the latest report counts, by incarnation
and stamp, and a report expires after `ttl`. Each reader draws its own conclusion; a witness counts once,
however often its report arrives."""

from collections.abc import Iterable
from dataclasses import dataclass

from ponddoor.interface.seeded_random import LONG_AGO

MAX_SERVERS = 4096  # with evidence held
MAX_TRIES = 15  # successes or failures that one report can hold


@dataclass(frozen=True, slots=True)
class Observation:
    """One front's recent set-ups at a server: how many failed and succeeded, and when each last happened."""

    failed: int = 0
    succeeded: int = 0
    failed_at: int = LONG_AGO
    succeeded_at: int = LONG_AGO

    def newest(self) -> int:
        return max(self.failed_at, self.succeeded_at)


@dataclass(frozen=True, slots=True)
class EvidenceSummary:
    """Sums of several fronts' observations. `witnesses_against`: fronts whose last set-up there failed."""

    witnesses_against: int = 0
    failed: int = 0
    tries: int = 0
    failed_at: int = LONG_AGO
    succeeded_at: int = LONG_AGO

    def is_bad(self, witnesses: int, own: int = LONG_AGO) -> bool:
        """Whether the evidence condemns a server.

        At least `witnesses` fronts are against it, half of all tries failed, and the last failure is newer
        than the last success and than our own last try, at `own`."""
        failure_is_newest = self.failed_at > max(self.succeeded_at, own)
        return self.witnesses_against >= witnesses and failure_is_newest and 2 * self.failed >= self.tries


NO_EVIDENCE = EvidenceSummary()


@dataclass(frozen=True, slots=True)
class _Report:
    incarnation: int
    stamp: int
    observation: Observation


class Evidence:
    """All evidence that a front holds. Times are in its own microseconds."""

    def __init__(self, ttl: int) -> None:
        self.ttl = ttl
        self._reports: dict[int, dict[int, _Report]] = {}  # server: reports by witness
        self._summaries: dict[
            int, tuple[int, EvidenceSummary]
        ] = {}  # from an owner's reply, and when it came
        self.refused = 0  # reports beyond the limit of servers

    def record(
        self, now: int, witness: int, incarnation: int, stamp: int, server: int, observation: Observation
    ) -> bool:
        """Records a witness's report on a server. False if it is expired, not newer, or beyond the limit."""
        if observation.newest() <= now - self.ttl:
            return False
        reports = self._reports.get(server)
        if reports is None:
            if len(self._reports) >= MAX_SERVERS:
                self._remove_expired(now)
            if len(self._reports) >= MAX_SERVERS:
                self.refused += 1
                return False
            reports = self._reports[server] = {}
        current = reports.get(witness)
        if current is not None and (incarnation, stamp) <= (current.incarnation, current.stamp):
            return False
        reports[witness] = _Report(incarnation, stamp, observation)
        return True

    def record_summary(self, now: int, server: int, summary: EvidenceSummary) -> None:
        """Records the summary of all other fronts' reports that a group owner sent in a reply."""
        if server in self._summaries or len(self._summaries) < MAX_SERVERS:
            self._summaries[server] = (now, summary)

    def forget(self, server: int) -> None:
        """Removes all evidence on a server whose process was replaced."""
        self._reports.pop(server, None)
        self._summaries.pop(server, None)

    def summary(self, now: int, server: int, without: int = -1) -> EvidenceSummary:
        """Summarizes the unexpired reports of all witnesses except `without`, or returns an owner's summary
        if that is newer or the only evidence."""
        reports = self._reports.get(server)
        received = self._summaries.get(server)
        if received is not None and (received[0] <= now - self.ttl or not reports):
            summary = received[1] if received[0] > now - self.ttl else NO_EVIDENCE
            return summary if max(summary.failed_at, summary.succeeded_at) > now - self.ttl else NO_EVIDENCE
        against = failed = tries = 0
        failed_at = succeeded_at = LONG_AGO
        expired = []
        for witness, report in (reports or {}).items():
            observation = report.observation
            if observation.newest() <= now - self.ttl:
                expired.append(witness)
                continue
            if witness == without:
                continue
            against += observation.failed_at > observation.succeeded_at
            failed, tries = (
                failed + observation.failed,
                tries + observation.failed + observation.succeeded,
            )
            failed_at, succeeded_at = (
                max(failed_at, observation.failed_at),
                max(succeeded_at, observation.succeeded_at),
            )
        for witness in expired:
            del self._reports[server][witness]
        own = EvidenceSummary(against, failed, tries, failed_at, succeeded_at)
        return (
            max(own, received[1], key=lambda s: max(s.failed_at, s.succeeded_at))
            if received is not None
            else own
        )

    def by_witness(self, now: int, witness: int, max_rows: int) -> list[tuple[int, Observation]]:
        """One front's observations by server: of failing servers first, then newest first."""
        rows = [
            (server, reports[witness].observation)
            for server, reports in self._reports.items()
            if witness in reports and reports[witness].observation.newest() > now - self.ttl
        ]
        rows.sort(key=lambda r: (r[1].failed_at <= r[1].succeeded_at, -r[1].newest(), r[0]))
        return rows[:max_rows]

    def witnesses(self, server: int) -> dict[int, Observation]:
        """The observations of a server by witness, for display."""
        return {witness: report.observation for witness, report in self._reports.get(server, {}).items()}

    def servers(self) -> Iterable[int]:
        return self._reports.keys() | self._summaries.keys()

    def _remove_expired(self, now: int) -> None:
        for server in list(self._reports):
            self.summary(now, server)
            if not self._reports[server]:
                del self._reports[server]
