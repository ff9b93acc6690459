"""What a front remembers of sessions, servers, links and racks. Nothing here decides."""

import bisect
import math
from dataclasses import dataclass, field

from ponddoor.interface import events as ev
from ponddoor.interface.facts import Ladder, ServiceGroup

LONG_AGO = -(1 << 60)


@dataclass(slots=True)
class Pipe:
    """A server's link or a rack's uplink: what is told of it, what we know to ask of it, and its reports."""

    kb: float
    known: list[tuple[int, float]] = field(default_factory=lambda: [(0, 0.0)])
    loads: list[tuple[int, float]] = field(default_factory=list)  # (taken at, asked over what it gives)
    short: tuple[int, float] | None = None  # when last seen short, what it gave

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
    means: ev.Means | None = None           # what its player can take, by its last word

    def rate(self, rung: int) -> float:
        return self.ladder.rate_kb[rung] * self.group.rate_factor

    def seat(self) -> tuple[int, int]:
        return (self.req.title, self.req.service_group)


@dataclass(slots=True)
class Server:
    """One server as this front sees it."""

    row: ev.ServerRow
    link: Pipe
    sessions: dict[int, Sess] = field(default_factory=dict)
    ends: list[tuple[int, bool]] = field(default_factory=list)    # (when, whether it went well)
    notes: list[tuple[int, float]] = field(default_factory=list)  # (when, share delivered)
    peers: dict[int, float] = field(default_factory=dict)   # what other fronts last said to ask
    theirs: float = 0.0                                      # and the sum of it
    warm: set[int] = field(default_factory=set)              # the fronts that last said that it is warm
    warm_at: int = LONG_AGO                                  # when a hub's word last said so
    sent: int = LONG_AGO
    inquired: int = LONG_AGO                # when it was last probed for an arrival
    heard: tuple[int, float] | None = None  # a report that came to us and is still to be told
    felt: tuple[int, float] | None = None   # a note on the share delivered, likewise
    reported: float = 0.0                   # the link as last reported, whatever short notes say
    said: float = 0.0                       # our rate there as last told
    told: tuple[int, float, float] = (LONG_AGO, 0.0, 0.0)  # a hub's word: when, idle and asked, without ours
    ours: float | None = None               # the sum of our sessions' rates, while it holds
    lost: int | None = None                 # when it was last seen to be down
    back: int = LONG_AGO                    # when it was first seen to be up again

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

    def hear(self, peer: int, kb: float) -> None:
        """What a front says to ask of it now."""
        self.theirs += kb - self.peers.get(peer, 0.0)
        self.peers[peer] = kb
        if not kb:
            del self.peers[peer]
            self.warm.discard(peer)
            self.theirs = self.theirs if self.peers else 0.0

    def changed(self) -> None:
        """Its sessions or their rungs are others now: what they ask is summed anew."""
        self.ours = None

    def started(self) -> int:
        """When its process last started, as far as the list or we have seen."""
        return max(self.row.started_at or LONG_AGO, self.back)


class Chance:
    """A linear congruential generator; its high bits are used."""

    def __init__(self, seed: int) -> None:
        self._state = seed

    def draw(self, below: int) -> int:
        self._state = (self._state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return ((self._state >> 32) * below) >> 32
