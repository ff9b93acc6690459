"""What a front remembers of sessions, servers, links and racks. Nothing here decides."""

import bisect
import math
from dataclasses import dataclass, field

from ponddoor.fleet.evidence import Observation
from ponddoor.interface import events as ev
from ponddoor.interface import words
from ponddoor.interface.chance import LONG_AGO, SeededRandom
from ponddoor.interface.facts import Ladder, ServiceGroup

__all__ = ["LONG_AGO", "SeededRandom", "LinkState", "Server", "Sess"]


@dataclass(slots=True)
class LinkState:
    """A server's link or a rack's uplink: what is told of it, what we know to ask of it, and its reports."""

    capacity_kb: float
    known_demand: list[tuple[int, float]] = field(default_factory=lambda: [(0, 0.0)])
    reports: list[tuple[int, float]] = field(default_factory=list)  # (taken at, asked over what it gives)
    shortage: tuple[int, float] | None = None  # when last seen short, what it gave

    def add_report(self, taken: int, ratio: float) -> None:
        """A report, of the moment it was taken."""
        self.reports = [*self.reports[-2:], (taken, ratio)]

    def unaccounted_demand(self) -> float:
        """What others ask, by the last report: it speaks of its moment, so what was known then is off."""
        taken, ratio = self.reports[-1]
        return ratio * self.capacity_kb - self.known_demand_at(taken)

    def known_demand_at(self, moment: int) -> float:
        return self.known_demand[max(bisect.bisect_right(self.known_demand, (moment, math.inf)) - 1, 0)][1]


@dataclass(slots=True)
class Sess:
    """One session, from its request to its end."""

    req: ev.SessionRequest
    group: ServiceGroup
    ladder: Ladder
    deadline: int
    rung: int
    top: int
    server: int = -1
    viewer_done: bool = False
    playing_since: int | None = None
    attempts: list[tuple[int, int, ev.Result | None]] = field(default_factory=list)  # (server, sent at, end)
    means: ev.Means | None = None  # what its player can take, by its last word

    def rate(self, rung: int) -> float:
        return self.ladder.rate_kb[rung] * self.group.rate_factor

    def seat_key(self) -> tuple[int, int]:
        return (self.req.title, self.req.service_group)


@dataclass(slots=True)
class Arrivals:
    """The last requests: when they came, and where their titles lie."""

    max_samples: int
    samples: list[tuple[int, int, int]] = field(default_factory=list)  # (when, home, span)

    def record(self, at: int, home: int, span: int) -> None:
        self.samples = [*self.samples[1 - self.max_samples :], (at, home, span)]

    def rate_per_s(self, now: int, span: int, place: tuple[int, int] | None = None) -> float:
        """Arrivals a second: of a busy front the samples reach back less than the span (us). Where a place is
        named, a cell of so many, those whose titles lie there."""
        if len(self.samples) >= self.max_samples:
            span = min(span, max(now - self.samples[0][0], 1))
        return max(self.count_within(now, span, place), 1) * 1_000_000 / span

    def count_within(self, now: int, span: int, place: tuple[int, int] | None = None) -> int:
        cell, cells = place or (0, 1)
        return sum(at > now - span and (cell - home) % cells < wide for at, home, wide in self.samples)


@dataclass(slots=True)
class RackLoad:
    """A rack's links and uplink, as reckoned at a moment. Rates in kB a second.

    `changed` are the servers of which something is known since, to be reckoned anew in a large rack."""

    computed_at: int
    known_demand: list[
        tuple[int, float]
    ]  # the rack's, by identity: another one where the account has changed
    residual_kb: dict[int, float]  # of each link
    demand_kb: dict[int, float]
    positive_residual_kb: float  # the sum of the rooms over 0
    total_demand_kb: float  # of what is asked
    uplink_residual_kb: float = 0.0  # of the uplink
    refresh_offset: int = 0  # the first link that was reckoned in turn last
    stale_servers: set[int] = field(default_factory=set)

    @property
    def residual_divisor_kb(self) -> float:
        """The sum of the rooms over 0, to divide by."""
        return max(self.positive_residual_kb, 1.0)

    def set_link(self, server: int, room: float, asked: float) -> None:
        """A link is reckoned anew."""
        self.remove_link(server)
        self.residual_kb[server], self.demand_kb[server] = room, asked
        self.positive_residual_kb += max(room, 0.0)
        self.total_demand_kb += asked

    def remove_link(self, server: int) -> None:
        """A link is none of the rack's any more."""
        self.positive_residual_kb -= max(self.residual_kb.pop(server, 0.0), 0.0)
        self.total_demand_kb -= self.demand_kb.pop(server, 0.0)


@dataclass(slots=True, eq=False)
class Server:
    """One server as this front sees it."""

    row: ev.ServerRow
    link: LinkState
    sessions: dict[int, Sess] = field(default_factory=dict)
    setup_outcomes: list[tuple[int, bool]] = field(default_factory=list)  # (when, whether it went well)
    delivery_notes: list[tuple[int, float]] = field(default_factory=list)  # (when, share delivered)
    told_warm_at: int = LONG_AGO  # when a keeper's word last said that it is warm
    unused_grant_at: int = LONG_AGO  # when we asked for the grant that we have not used
    trial_granted_at: int = LONG_AGO  # when we last let a front try it for all
    last_setup_at: int = LONG_AGO
    arrival_probe_at: int = LONG_AGO  # when it was last probed for an arrival
    unsent_report: tuple[int, float] | None = None  # a report that came to us and is still to be told
    unsent_delivery: tuple[int, float] | None = None  # a note on the share delivered, likewise
    unsent_outcome: bool = False  # and the end of a set-up
    reported_load: float = 0.0  # the link as last reported, whatever short notes say
    sent_demand_kb: float = 0.0  # our rate there as last told
    sent_warm: bool = False  # and whether we had an old session there
    last_reply: tuple[int, float, float] = (
        LONG_AGO,
        0.0,
        0.0,
    )  # a keeper's: when, idle and asked, without ours
    cached_own_demand: float | None = None  # the sum of our sessions' rates, while it holds
    seen_down_at: int | None = None  # when it was last seen to be down
    seen_up_at: int = LONG_AGO  # when it was first seen to be up again
    order: int = 0  # among all servers, by when the list first named it

    def own_demand(self) -> float:
        """What our sessions ask of it; viewers of one live title at one rung share a stream."""
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

    def apply_reply(self, asked: int, room: words.ServerStatus) -> None:
        """A keeper's word, in answer to a question of ours of that moment."""
        self.last_reply = (asked, room.idle_kb + room.asker_kb, room.asked_kb - room.asker_kb)
        self.told_warm_at = asked if room.warm else LONG_AGO
        self.unused_grant_at = asked if room.granted else self.unused_grant_at

    def outcomes_since(self, since: int) -> Observation:
        """How our set-ups there ended since a moment."""
        failed = [at for at, well in self.setup_outcomes if at > since and not well]
        went_well = [at for at, well in self.setup_outcomes if at > since and well]
        last, last_well = max(failed, default=LONG_AGO), max(went_well, default=LONG_AGO)
        return Observation(len(failed), len(went_well), last, last_well)

    def has_session_from_before(self, since: int) -> bool:
        """Whether a session of ours there began before a moment, and was not lost since."""
        began = (s.playing_since for s in self.sessions.values() if s.playing_since is not None)
        return self.seen_down_at is None and any(at <= since for at in began)

    def take_update(self, now: int, since: int, warm: bool) -> words.ServerRate:
        """Our rate there, and what came to us since we last said so: that is said once."""
        load, share = (
            words.Sample(s[1], now - s[0]) if s else None for s in (self.unsent_report, self.unsent_delivery)
        )
        seen = self.outcomes_since(since)
        failed_age, well_age = now - max(seen.failed_at, since), now - max(seen.succeeded_at, since)
        told = (
            words.SetupOutcomes(seen.failed, seen.succeeded, failed_age, well_age)
            if self.unsent_outcome
            else None
        )
        self.sent_demand_kb, self.sent_warm = self.own_demand(), warm
        self.unsent_report, self.unsent_delivery, self.unsent_outcome = None, None, False
        return words.ServerRate(self.row.server, self.sent_demand_kb, load, share, warm, told)

    def invalidate_demand(self) -> None:
        """Its sessions or their rungs are others now: what they ask is summed anew."""
        self.cached_own_demand = None

    def process_started_at(self) -> int:
        """When its process last started, as far as the list or we have seen."""
        return max(self.row.started_at or LONG_AGO, self.seen_up_at)
