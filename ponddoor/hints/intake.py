"""What a front makes of the hints that reach it: which it takes, from whom, how old, and whether it believes
them.

Free of I/O: the clock, decoded hints and the measured share come in; `Means` and `ServerHint` for the
decisions come out, or nothing and a reason in `counts`. Times are whole microseconds.

Hints are checked against what was measured. A player that says it gets less than is delivered to it, or that
it starves with a full buffer or a full share, contradicts; so does a server that is at ease while its share
is short, or in duress while all is delivered. The measured share wins: the hint is dropped, and its source
believed less."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from typing import Any

from ponddoor.hints.cmcd import one_of
from ponddoor.hints.fields import Values
from ponddoor.hints.trust import Source, Trust
from ponddoor.interface.events import Means, ServerHint

SECOND = 1_000_000
KB_PER_KBIT = 1 / 8
OLDEST = 10 * SECOND  # a hint older than this is dropped
AHEAD = SECOND  # so far ahead of ours may a source's clock seem, by what it says of a hint's age
EVERY = SECOND // 2  # of one session a hint is taken so often, its starving ones excepted
STORM = 2000  # hints a second that are taken in all
MEASURED_FOR = 4 * SECOND  # so long a measured share says how things are
SHORT = 0.9  # a share under which delivery counts as short
LESS = 0.7  # of what is delivered, that a player may say it gets
OWN = 0.8  # of what a server could give, under which what is taken shows the player's own limit
DEEP = 5 * SECOND  # who has so much buffered does not starve
SETTLED = 2 * SECOND  # after a change of rung or a start, shares say little
DURESS_MAY_LEAD = 5 * SECOND  # so long a server may be in duress before its share falls
MOST = 50_000


@dataclass(slots=True)
class Seen:
    """One session as the hints are checked against: its source, what it gets, and its last hint."""

    viewer: str
    tenant: str
    server: int
    rate_kb: float
    since: int
    gets_kb: float | None = None  # what its server saw it take, could have given, and when
    offered_kb: float = 0.0
    gets_at: int = -(1 << 60)
    last: int = -(1 << 60)
    means: Means | None = None


@dataclass(slots=True)
class Measured:
    """One server: its share as measured, and its own last word."""

    share: float = 1.0
    at: int = -(1 << 60)
    duress_since: int | None = None
    short_at: int = -(1 << 60)
    taken: int = -(1 << 60)


@dataclass(slots=True)
class Intake:
    """All hints of one front."""

    trust: Trust = field(default_factory=Trust)
    counts: dict[str, int] = field(default_factory=dict)
    most: int = MOST
    sessions: OrderedDict[str, Seen] = field(default_factory=OrderedDict)
    servers: dict[int, Measured] = field(default_factory=dict)
    _lately: deque[int] = field(default_factory=deque)

    def count(self, what: str, times: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + times

    def count_lost(self, reasons: dict[str, int]) -> None:
        """What a codec could not use, by its reasons."""
        for why, times in reasons.items():
            self.count(f"lost {why}", times)

    # Sessions

    def update_session(
        self, now: int, sess: str, viewer: str, tenant: str, server: int, rate_kb: float
    ) -> None:
        """A session plays at a server, at the rate of its rung in kB a second."""
        held = self.sessions.pop(sess, None)
        if held is None:
            held = Seen(viewer, tenant, server, rate_kb, now)
        elif (held.server, held.rate_kb) != (server, rate_kb):
            held.server, held.rate_kb, held.since = server, rate_kb, now
        self.sessions[sess] = held
        if len(self.sessions) > self.most:
            self.sessions.popitem(last=False)
            self.count("sessions-forgotten")

    def remove_session(self, sess: str) -> None:
        self.sessions.pop(sess, None)

    def accept_request_hints(self, now: int, viewer: str, tenant: str, values: Values) -> Means | None:
        """The hints on a request for a session."""
        if not values or not self._admit(now):
            return None
        means = self._means(now, values, 0)
        if means is None or not self._believed(viewer, tenant):
            return None
        self.count("taken on-request")
        return means

    def accept_session_hints(
        self, now: int, sess: str, values: Values, age: int = 0, origin: str = "report"
    ) -> Means | None:
        """Hints of a session that plays: from its player's reports, or passed on by its server."""
        held = self.sessions.get(sess)
        if held is None:
            self.count("dropped no-such-session")
            return None
        said = values.get("sid")
        if isinstance(said, str) and said != sess and origin == "passed-on":
            self.count("dropped other-session")  # a server mixed two sessions up
            return None
        means = self._means(now, values, age)
        if means is None:
            return None
        if held.means is not None and means.taken <= held.means.taken:
            self.count("dropped overtaken")
            return None
        urgent = means.starved and not (held.means is not None and held.means.starved)
        if now - held.last < EVERY and not urgent:
            self.count("dropped sampled")
            return None
        if not self._admit(now):
            return None
        held.last, held.means = now, means
        verdict = self._contradiction(now, held, means)
        if verdict is not None:
            for source in _sources(held.viewer, held.tenant):
                self.trust.judge(source, not verdict)
        if verdict:
            self.count(f"contradicted {verdict}")
            return None
        if not self._believed(held.viewer, held.tenant):
            return None
        self.count(f"taken {origin}")
        if means.throughput_kb is not None and not self._own_limit(now, held, means.throughput_kb):
            self.count("throughput is the server's")
            means = replace(means, throughput_kb=None)
        return means

    def _own_limit(self, now: int, held: Seen, throughput_kb: float) -> bool:
        """Whether a throughput is the player's own limit, and not what its server gave it.

        Guards against a bound that only repeats how full a link is: a session there would never be raised
        again. It may harm where a server does not say what it could give: then a player's limit shows
        once it gets less than its rung while the share is full."""
        if held.gets_kb is not None and now - held.gets_at <= MEASURED_FOR and held.offered_kb > 0:
            return held.gets_kb < OWN * held.offered_kb
        server = self.servers.get(held.server)
        full = server is not None and now - server.at <= MEASURED_FOR and server.share >= 0.98
        return full and throughput_kb < held.rate_kb

    def _believed(self, viewer: str, tenant: str) -> bool:
        for source in _sources(viewer, tenant):
            if not self.trust.believed(source):
                self.count(f"disbelieved {source[0]}")
                return False
        return True

    def _admit(self, now: int) -> bool:
        """Guards against a storm of reports: so many a second are looked at, the others cost a count."""
        while self._lately and self._lately[0] <= now - SECOND:
            self._lately.popleft()
        if len(self._lately) >= STORM:
            self.count("dropped storm")
            return False
        self._lately.append(now)
        return True

    def _means(self, now: int, values: Values, age: int) -> Means | None:
        if not -AHEAD <= age <= OLDEST:
            self.count("dropped too-old" if age > 0 else "dropped from-the-future")
            return None
        rate = {name: _number(values.get(name)) for name in ("mtp", "tb", "tpb", "rtp", "bl", "dl")}
        tops = [kbps for kbps in (rate["tb"], rate["tpb"], rate["rtp"]) if kbps]
        means = Means(
            taken=now - max(age, 0),
            throughput_kb=rate["mtp"] * KB_PER_KBIT if rate["mtp"] else None,
            top_kb=min(tops) * KB_PER_KBIT if tops else None,
            buffer=None if rate["bl"] is None else round(rate["bl"] * 1000),
            due=None if rate["dl"] is None else round(rate["dl"] * 1000),
            starved=one_of(values.get("bs")) is True,
        )
        if means == Means(means.taken):
            self.count("dropped nothing-in-it")
            return None
        return means

    def _contradiction(self, now: int, held: Seen, means: Means) -> str | None:
        """What a hint contradicts, "" where it agrees, None where nothing was measured to hold it against."""
        server = self.servers.get(held.server)
        if server is None or now - server.at > MEASURED_FOR or now - held.since < SETTLED:
            return None
        if means.starved and means.buffer is not None and means.buffer >= DEEP:
            return "starved-and-full"
        if means.starved and server.share >= 0.98 and now - server.short_at > MEASURED_FOR:
            return "starved-at-full-share"
        gets = held.gets_kb if now - held.gets_at <= MEASURED_FOR else None
        if gets is not None and means.throughput_kb is not None and means.throughput_kb < LESS * gets:
            return "less-than-delivered"
        return ""

    # Servers

    def record_server_share(self, now: int, server: int, share: float) -> None:
        """A server's share as delivered, by the notes or by what its streams get."""
        held = self.servers.setdefault(server, Measured())
        held.share, held.at = share, now
        if share < SHORT:
            held.short_at = now

    def record_session_rate(self, now: int, sess: str, rate_kb: float, offered_kb: float = 0.0) -> None:
        """What a server saw a session take, and could have given, in kB a second while it fetched."""
        held = self.sessions.get(sess)
        if held is not None:
            held.gets_kb, held.offered_kb, held.gets_at = rate_kb, offered_kb, now

    def remove_server(self, server: int) -> None:
        self.servers.pop(server, None)

    def accept_server_hints(self, now: int, server: int, values: Values, age: int) -> ServerHint | None:
        """A server's own entry in CMSD-Dynamic, and the held time of CMSD-Static."""
        held, source = self.servers.setdefault(server, Measured()), ("server", str(server))
        if not -AHEAD <= age <= OLDEST:
            self.count("dropped too-old" if age > 0 else "dropped from-the-future")
            return None
        taken, duress = now - max(age, 0), values.get("du") is True
        if taken <= held.taken:
            self.count("dropped overtaken")  # also a clock that stands still
            return None
        held.taken = taken
        held.duress_since = (now if held.duress_since is None else held.duress_since) if duress else None
        if now - held.at <= MEASURED_FOR:
            at_ease = not duress and held.share < SHORT
            stuck = (
                held.duress_since is not None
                and now - held.duress_since > DURESS_MAY_LEAD
                and held.short_at < held.duress_since
            )
            self.trust.judge(source, not (at_ease or stuck))
            if at_ease or stuck:
                self.count("contradicted " + ("at-ease-while-short" if at_ease else "duress-at-full-share"))
                return None
        if not self.trust.believed(source):
            self.count("disbelieved server")
            return None
        self.count("taken server")
        rate = {name: _number(values.get(name)) for name in ("etp", "mb", "ht")}
        return ServerHint(
            server,
            taken,
            duress,
            rate["etp"] * KB_PER_KBIT if rate["etp"] else None,
            rate["mb"] * KB_PER_KBIT if rate["mb"] else None,
            None if rate["ht"] is None else round(rate["ht"] * 1000),
        )


def _sources(viewer: str, tenant: str) -> list[Source]:
    named = [("viewer", f"{tenant}/{viewer}")] if viewer else []
    return [*named, ("tenant", tenant)] if tenant else named


def _number(value: Any) -> float | None:
    one = one_of(value)
    return float(one) if isinstance(one, (int, float)) and not isinstance(one, bool) else None
