"""What a front remembers of sessions, servers, links and racks. Nothing here decides."""

import bisect
import math
from dataclasses import dataclass, field

from ponddoor.fleet.evidence import Observation
from ponddoor.interface import events as ev
from ponddoor.interface import words
from ponddoor.interface.chance import LONG_AGO, SeededRandom
from ponddoor.interface.facts import Ladder, ServiceGroup

__all__ = ["LONG_AGO", "SeededRandom", "Pipe", "Server", "Sess"]


@dataclass(slots=True)
class Pipe:
    """A server's link or a rack's uplink: what is told of it, what we know to ask of it, and its reports."""

    kb: float
    known: list[tuple[int, float]] = field(default_factory=lambda: [(0, 0.0)])
    loads: list[tuple[int, float]] = field(default_factory=list)  # (taken at, asked over what it gives)
    short: tuple[int, float] | None = None  # when last seen short, what it gave

    def load(self, taken: int, ratio: float) -> None:
        """A report, of the moment it was taken."""
        self.loads = [*self.loads[-2:], (taken, ratio)]

    def unknown(self) -> float:
        """What others ask, by the last report: it speaks of its moment, so what was known then is off."""
        taken, ratio = self.loads[-1]
        return ratio * self.kb - self.known_at(taken)

    def known_at(self, moment: int) -> float:
        return self.known[max(bisect.bisect_right(self.known, (moment, math.inf)) - 1, 0)][1]


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
    over: bool = False
    began: int | None = None
    attempts: list[tuple[int, int, ev.Result | None]] = field(default_factory=list)  # (server, sent at, end)
    means: ev.Means | None = None  # what its player can take, by its last word

    def rate(self, rung: int) -> float:
        return self.ladder.rate_kb[rung] * self.group.rate_factor

    def seat(self) -> tuple[int, int]:
        return (self.req.title, self.req.service_group)


@dataclass(slots=True)
class Arrivals:
    """The last requests: when they came, and where their titles lie."""

    most: int
    kept: list[tuple[int, int, int]] = field(default_factory=list)  # (when, home, span)

    def note(self, at: int, home: int, span: int) -> None:
        self.kept = [*self.kept[1 - self.most :], (at, home, span)]

    def rate(self, now: int, span: int, place: tuple[int, int] | None = None) -> float:
        """Arrivals a second: of a busy front the samples reach back less than the span (us). Where a place is
        named, a cell of so many, those whose titles lie there."""
        if len(self.kept) >= self.most:
            span = min(span, max(now - self.kept[0][0], 1))
        return max(self.lately(now, span, place), 1) * 1_000_000 / span

    def lately(self, now: int, span: int, place: tuple[int, int] | None = None) -> int:
        cell, cells = place or (0, 1)
        return sum(at > now - span and (cell - home) % cells < wide for at, home, wide in self.kept)


@dataclass(slots=True)
class Standing:
    """A rack's links and uplink, as reckoned at a moment. Rates in kB a second.

    `changed` are the servers of which something is known since, to be reckoned anew in a large rack."""

    at: int
    known: list[tuple[int, float]]  # the rack's, by identity: another one where the account has changed
    rooms: dict[int, float]  # of each link
    asked: dict[int, float]
    open_kb: float  # the sum of the rooms over 0
    in_all: float  # of what is asked
    spare: float = 0.0  # of the uplink
    turn: int = 0  # the first link that was reckoned in turn last
    changed: set[int] = field(default_factory=set)

    @property
    def positive(self) -> float:
        """The sum of the rooms over 0, to divide by."""
        return max(self.open_kb, 1.0)

    def put(self, server: int, room: float, asked: float) -> None:
        """A link is reckoned anew."""
        self.drop(server)
        self.rooms[server], self.asked[server] = room, asked
        self.open_kb += max(room, 0.0)
        self.in_all += asked

    def drop(self, server: int) -> None:
        """A link is none of the rack's any more."""
        self.open_kb -= max(self.rooms.pop(server, 0.0), 0.0)
        self.in_all -= self.asked.pop(server, 0.0)


@dataclass(slots=True, eq=False)
class Server:
    """One server as this front sees it."""

    row: ev.ServerRow
    link: Pipe
    sessions: dict[int, Sess] = field(default_factory=dict)
    ends: list[tuple[int, bool]] = field(default_factory=list)  # (when, whether it went well)
    notes: list[tuple[int, float]] = field(default_factory=list)  # (when, share delivered)
    warm_at: int = LONG_AGO  # when a keeper's word last said that it is warm
    grant: int = LONG_AGO  # when we asked for the grant that we have not used
    tried: int = LONG_AGO  # when we last let a front try it for all
    sent: int = LONG_AGO
    inquired: int = LONG_AGO  # when it was last probed for an arrival
    heard: tuple[int, float] | None = None  # a report that came to us and is still to be told
    felt: tuple[int, float] | None = None  # a note on the share delivered, likewise
    ended: bool = False  # and the end of a set-up
    reported: float = 0.0  # the link as last reported, whatever short notes say
    said: float = 0.0  # our rate there as last told
    said_warm: bool = False  # and whether we had an old session there
    told: tuple[int, float, float] = (LONG_AGO, 0.0, 0.0)  # a keeper's: when, idle and asked, without ours
    ours: float | None = None  # the sum of our sessions' rates, while it holds
    lost: int | None = None  # when it was last seen to be down
    back: int = LONG_AGO  # when it was first seen to be up again
    order: int = 0  # among all servers, by when the list first named it

    def own(self) -> float:
        """What our sessions ask of it; viewers of one live title at one rung share a stream."""
        if self.ours is None:
            total, streams = 0.0, set()
            for sess in self.sessions.values():
                rate = sess.rate(sess.rung)
                if sess.group.live:
                    stream = (*sess.seat(), sess.rung)
                    rate *= sess.ladder.join if stream in streams else 1.0
                    streams.add(stream)
                total += rate
            self.ours = total
        return self.ours

    def take(self, asked: int, room: words.ServerStatus) -> None:
        """A keeper's word, in answer to a question of ours of that moment."""
        self.told = (asked, room.idle_kb + room.asker_kb, room.asked_kb - room.asker_kb)
        self.warm_at = asked if room.warm else LONG_AGO
        self.grant = asked if room.granted else self.grant

    def seen(self, since: int) -> Observation:
        """How our set-ups there ended since a moment."""
        failed = [at for at, well in self.ends if at > since and not well]
        went_well = [at for at, well in self.ends if at > since and well]
        last, last_well = max(failed, default=LONG_AGO), max(went_well, default=LONG_AGO)
        return Observation(len(failed), len(went_well), last, last_well)

    def old(self, since: int) -> bool:
        """Whether a session of ours there began before a moment, and was not lost since."""
        began = (s.began for s in self.sessions.values() if s.began is not None)
        return self.lost is None and any(at <= since for at in began)

    def said_now(self, now: int, since: int, warm: bool) -> words.ServerRate:
        """Our rate there, and what came to us since we last said so: that is said once."""
        load, share = (words.Sample(s[1], now - s[0]) if s else None for s in (self.heard, self.felt))
        seen = self.seen(since)
        failed_age, well_age = now - max(seen.failed_at, since), now - max(seen.succeeded_at, since)
        told = words.SetupOutcomes(seen.failed, seen.succeeded, failed_age, well_age) if self.ended else None
        self.said, self.said_warm = self.own(), warm
        self.heard, self.felt, self.ended = None, None, False
        return words.ServerRate(self.row.server, self.said, load, share, warm, told)

    def changed(self) -> None:
        """Its sessions or their rungs are others now: what they ask is summed anew."""
        self.ours = None

    def started(self) -> int:
        """When its process last started, as far as the list or we have seen."""
        return max(self.row.started_at or LONG_AGO, self.back)
