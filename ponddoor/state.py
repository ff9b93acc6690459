"""What a front remembers of sessions, servers, links and racks. Nothing here decides.

Times are in microseconds of the front's own clock, rates, demand and capacity in kB a second."""

import bisect
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from ponddoor.fleet.evidence import Observation
from ponddoor.interface import events as ev
from ponddoor.interface import words
from ponddoor.interface.facts import Ladder, ServiceGroup
from ponddoor.interface.seeded_random import LONG_AGO, SeededRandom

__all__ = ["LONG_AGO", "SeededRandom", "LinkState", "Server", "Sess"]


@dataclass(slots=True)
class LinkState:
    """A server's link or a rack's uplink: its nominal capacity, the demand that we know of, and its last load
    reports.

    `known_demand` holds (time, demand) pairs in order of time, `reports` pairs of the time of measurement and
    the ratio of demand to capacity. `shortage` is the time of the last shortage and the rate that was
    delivered then."""

    capacity_kb: float
    known_demand: list[tuple[int, float]] = field(default_factory=lambda: [(0, 0.0)])
    reports: list[tuple[int, float]] = field(default_factory=list)
    shortage: tuple[int, float] | None = None

    def add_report(self, measured_at: int, ratio: float) -> None:
        """Adds a load report; the last three are kept."""
        self.reports = [*self.reports[-2:], (measured_at, ratio)]

    def unaccounted_demand(self) -> float:
        """Demand of the last report that we did not know of. The report describes the moment of its
        measurement, so the demand known at that moment is subtracted, not today's."""
        measured_at, ratio = self.reports[-1]
        return ratio * self.capacity_kb - self.known_demand_at(measured_at)

    def known_demand_at(self, moment: int) -> float:
        return self.known_demand[max(bisect.bisect_right(self.known_demand, (moment, math.inf)) - 1, 0)][1]


class QueueKey(NamedTuple):
    """Sessions with equal keys may be sent to the same servers at the same times."""

    home: int
    span: int
    seats: tuple[int, int] | None  # None where seats are not counted
    is_retry: bool
    req_id: int  # of a session that has servers of its own, as its set-up may have run; otherwise 0


@dataclass(slots=True)
class Sess:
    """One session, from its request to its end.

    `attempts` has the server, the time and the result (None while it is awaited) of each SETUP. `means` is
    the last hint of what the player can take. `viewer_done`: the viewer has had the final answer or has left.
    """

    req: ev.SessionRequest
    group: ServiceGroup
    ladder: Ladder
    deadline: int
    rung: int
    top: int
    server: int = -1
    viewer_done: bool = False
    playing_since: int | None = None
    attempts: list[tuple[int, int, ev.Result | None]] = field(default_factory=list)
    means: ev.Means | None = None
    queue_key: QueueKey | None = None  # of the queue for paced servers that it waits in
    asleep: bool = False  # in that queue, until it is woken or its deadline comes
    gives_up: bool = False  # no server can be sent to before its deadline

    def rate(self, rung: int) -> float:
        """The session's rate at a rung, in kB a second."""
        return self.ladder.rate_kb[rung] * self.group.rate_factor

    def seat_key(self) -> tuple[int, int]:
        return (self.req.title, self.req.service_group)


@dataclass(slots=True)
class Arrivals:
    """The most recent requests as (time, home, span): when each came, and which cells hold its title."""

    max_samples: int
    samples: list[tuple[int, int, int]] = field(default_factory=list)
    # Counts at `_counted_at`, by period and place: one decision asks for the same ones several times
    _counts: dict[tuple[int, tuple[int, int]], int] = field(default_factory=dict)
    _counted_at: int = LONG_AGO

    def record(self, now: int, home: int, span: int) -> None:
        self.samples = [*self.samples[1 - self.max_samples :], (now, home, span)]
        self._counts.clear()

    def rate_per_s(self, now: int, period: int, place: tuple[int, int] | None = None) -> float:
        """Arrivals a second over a period, at least one arrival in it. On a busy front the samples cover less
        than the period; the rate is then taken over the time that they cover.

        With `place` (a cell and the number of cells), only requests for titles in that cell count."""
        if len(self.samples) >= self.max_samples:
            period = min(period, max(now - self.samples[0][0], 1))
        return max(self.count_within(now, period, place), 1) * 1_000_000 / period

    def count_within(self, now: int, period: int, place: tuple[int, int] | None = None) -> int:
        """The number of sampled arrivals in the last `period`; `place` as for `rate_per_s`."""
        if now != self._counted_at:
            self._counts.clear()
            self._counted_at = now
        key = period, place or (0, 1)
        if key not in self._counts:
            self._counts[key] = self._count(now - period, *key[1])
        return self._counts[key]

    def _count(self, since: int, cell: int, cells: int) -> int:
        first = bisect.bisect_right(self.samples, since, key=lambda sample: sample[0])
        return sum((cell - home) % cells < span for _, home, span in self.samples[first:])


@dataclass(slots=True)
class RackLoad:
    """Demand on the links and the uplink of a rack and the capacity left over, as of `computed_at`.

    `known_demand` is the list of the rack's uplink at that time: it is replaced on every change, so a
    comparison by identity tells whether anything has changed. `residual_kb` and `demand_kb` are by server. In
    a large rack `stale_servers` have to be recomputed, and `refresh_offset` is the position of the first link
    of the last periodic refresh."""

    computed_at: int
    known_demand: list[tuple[int, float]]
    residual_kb: dict[int, float]
    demand_kb: dict[int, float]
    positive_residual_kb: float  # the sum of the links' residuals that are above 0
    total_demand_kb: float
    uplink_residual_kb: float = 0.0
    refresh_offset: int = 0
    stale_servers: set[int] = field(default_factory=set)

    @property
    def residual_divisor_kb(self) -> float:
        """The sum of the positive residuals, at least 1 so that it can be divided by."""
        return max(self.positive_residual_kb, 1.0)

    def set_link(self, server: int, residual_kb: float, demand_kb: float) -> None:
        """Replaces the figures of a server's link and updates the sums."""
        self.remove_link(server)
        self.residual_kb[server], self.demand_kb[server] = residual_kb, demand_kb
        self.positive_residual_kb += max(residual_kb, 0.0)
        self.total_demand_kb += demand_kb

    def remove_link(self, server: int) -> None:
        """Removes the figures of a server that has left the rack."""
        self.positive_residual_kb -= max(self.residual_kb.pop(server, 0.0), 0.0)
        self.total_demand_kb -= self.demand_kb.pop(server, 0.0)


@dataclass(slots=True, eq=False)
class Server:
    """One server as this front sees it.

    The `unsent_` fields hold what this front has learned and not yet passed on to the owners of the server's
    group, the `sent_` fields what it last told them."""

    row: ev.ServerRow
    link: LinkState
    sessions: dict[int, Sess] = field(default_factory=dict)
    setup_outcomes: list[tuple[int, bool]] = field(default_factory=list)  # (time, whether it succeeded)
    delivery_notes: list[tuple[int, float]] = field(default_factory=list)  # (time, ratio delivered)
    told_warm_at: int = LONG_AGO  # time of the last query to which an owner replied that it is warm
    unused_grant_at: int = LONG_AGO  # time of the query that brought a grant which has not been used
    trial_granted_at: int = LONG_AGO  # when this front, as an owner, last granted a trial SETUP
    last_setup_at: int = LONG_AGO
    arrival_probe_at: int = LONG_AGO  # when it was last probed before a placement
    unsent_report: tuple[int, float] | None = None  # a load report: (measured at, ratio)
    unsent_delivery: tuple[int, float] | None = None  # a delivery note: (time, ratio delivered)
    unsent_outcome: bool = False  # whether there are set-up outcomes to pass on
    reported_load: float = 0.0  # load ratio of the link as last reported, not corrected by delivery notes
    sent_demand_kb: float = 0.0
    sent_warm: bool = False  # whether we had a session there from before the server could be cold
    # An owner's last reply: when it was asked, idle capacity and demand, both without this front's sessions
    last_reply: tuple[int, float, float] = (LONG_AGO, 0.0, 0.0)
    cached_own_demand: float | None = None  # None: to be recomputed
    seen_down_at: int | None = None  # when it last refused or reset a connection; None: it is up
    seen_up_at: int = LONG_AGO  # when it was first seen up again after that
    order: int = 0  # position among all servers, by when discovery first named them

    def own_demand(self) -> float:
        """Demand of this front's sessions. Viewers of one live title at one rung share a stream, so each
        further one costs only the fraction `ladder.join` of its rate."""
        if self.cached_own_demand is None:
            total, streams = 0.0, set()
            for sess in self.sessions.values():
                rate = sess.rate(sess.rung)
                if sess.group.live:
                    stream = (*sess.seat_key(), sess.rung)
                    rate *= sess.ladder.join if stream in streams else 1.0
                    streams.add(stream)
                total += rate
            self.cached_own_demand = total
        return self.cached_own_demand

    def apply_reply(self, queried_at: int, status: words.ServerStatus) -> None:
        """Records an owner's reply to the query sent at `queried_at`."""
        self.last_reply = (queried_at, status.idle_kb + status.asker_kb, status.asked_kb - status.asker_kb)
        self.told_warm_at = queried_at if status.warm else LONG_AGO
        self.unused_grant_at = queried_at if status.granted else self.unused_grant_at

    def outcomes_since(self, since: int) -> Observation:
        """Counts and times of the set-ups that ended at this server after `since`."""
        failures = [ended_at for ended_at, ok in self.setup_outcomes if ended_at > since and not ok]
        successes = [ended_at for ended_at, ok in self.setup_outcomes if ended_at > since and ok]
        last_failure, last_success = max(failures, default=LONG_AGO), max(successes, default=LONG_AGO)
        return Observation(len(failures), len(successes), last_failure, last_success)

    def has_session_from_before(self, moment: int) -> bool:
        """Whether a session of this front has played there since `moment` or earlier. False while the server
        is taken to be down, as its sessions are lost then."""
        starts = (s.playing_since for s in self.sessions.values() if s.playing_since is not None)
        return self.seen_down_at is None and any(start <= moment for start in starts)

    def take_update(self, now: int, since: int, warm: bool) -> words.ServerRate:
        """Returns the update for the owners: our demand there and everything unsent, which counts as sent
        from here on. Set-up outcomes are those after `since`."""
        load, delivered = (
            words.Sample(s[1], now - s[0]) if s else None for s in (self.unsent_report, self.unsent_delivery)
        )
        seen = self.outcomes_since(since)
        failed_age, succeeded_age = now - max(seen.failed_at, since), now - max(seen.succeeded_at, since)
        outcomes = (
            words.SetupOutcomes(seen.failed, seen.succeeded, failed_age, succeeded_age)
            if self.unsent_outcome
            else None
        )
        self.sent_demand_kb, self.sent_warm = self.own_demand(), warm
        self.unsent_report, self.unsent_delivery, self.unsent_outcome = None, None, False
        return words.ServerRate(self.row.server, self.sent_demand_kb, load, delivered, warm, outcomes)

    def invalidate_demand(self) -> None:
        """To be called after a change of the sessions or of their rungs."""
        self.cached_own_demand = None

    def process_started_at(self) -> int:
        """When the server's process last started, as far as discovery or our own connections tell."""
        return max(self.row.started_at or LONG_AGO, self.seen_up_at)
