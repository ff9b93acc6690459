"""Decides which hints a front uses: checks their age, rate and source, and compares them with measurements.

Free of I/O: the caller passes in the time, the decoded hints and the measured shares. Accepted hints come
back as `Means` and `ServerHint`, for the engine; for a dropped hint the result is None and the reason is
added to `counts`. Times and ages are whole microseconds, rates are in kB a second. A share is the part of
its streams' rate that a server delivers.

Measurements take precedence over hints. A player's hint contradicts them if it reports much less throughput
than is delivered, or starvation with a full buffer or at a full share. A server's hint contradicts them if it
reports no duress while its share is short, or lasting duress while all is delivered. Such a hint is dropped
and lowers the trust in its source."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from typing import Any

from ponddoor.hints.cmcd import main_value
from ponddoor.hints.fields import Values
from ponddoor.hints.trust import Source, Trust
from ponddoor.interface.events import Means, ServerHint

SECOND = 1_000_000  # in microseconds
KB_PER_KBIT = 1 / 8
MAX_AGE_US = 10 * SECOND
MAX_CLOCK_AHEAD_US = SECOND  # a source's clock may be ahead of ours: an age may be negative by this much
MIN_HINT_INTERVAL_US = SECOND // 2  # between the hints used of one session; a new starvation is exempt
MAX_HINTS_PER_S = 2000  # over all players
MEASUREMENT_LIFETIME_US = 4 * SECOND  # an older measurement is not compared with hints
SHORT_SHARE_RATIO = 0.9  # delivery is short if the share is below this
MIN_REPORTED_RATIO = 0.7  # a player's throughput contradicts if below this part of the rate delivered to it
OWN_LIMIT_RATIO = 0.8  # a player that takes less than this part of what its server offers limits itself
FULL_BUFFER_US = 5 * SECOND  # a player with this much buffered media is not starved
SETTLING_TIME_US = 2 * SECOND  # after a start or a change of rung, shares say little about the session
MAX_DURESS_LEAD_US = 5 * SECOND  # a server may report duress this long before its share falls
MAX_SESSIONS = 50_000


@dataclass(slots=True)
class MeasuredSession:
    """A playing session: the source of its hints, the rate delivered to it, and its last hint.

    `rate_kb` is the rate of its rung, and `unchanged_since` the time since which its server and rung are the
    same. `received_kb` is the rate at which its server saw it receive, and `offered_kb` the rate that the
    server could have delivered (0 if unknown), both measured at `received_at`. `last_hint_at` is when a hint
    last passed the rate limits, and `means` is that hint."""

    viewer: str
    tenant: str
    server: int
    rate_kb: float
    unchanged_since: int
    received_kb: float | None = None
    offered_kb: float = 0.0
    received_at: int = -(1 << 60)
    last_hint_at: int = -(1 << 60)
    means: Means | None = None


@dataclass(slots=True)
class MeasuredServer:
    """A server: its measured share, when that was last short, and the state of its own hints.

    `duress_since` is when it began to report duress (None if it reports none), and `last_taken` is when its
    last hint was taken, by that hint's age."""

    share: float = 1.0
    measured_at: int = -(1 << 60)
    duress_since: int | None = None
    last_short_at: int = -(1 << 60)
    last_taken: int = -(1 << 60)


@dataclass(slots=True)
class Intake:
    """The hints of one front: its playing sessions and servers, the trust in the sources, and the counters.

    Holds at most `max_sessions` sessions; beyond that, the one that was updated longest ago is removed."""

    trust: Trust = field(default_factory=Trust)
    counts: dict[str, int] = field(default_factory=dict)
    max_sessions: int = MAX_SESSIONS
    sessions: OrderedDict[str, MeasuredSession] = field(default_factory=OrderedDict)
    servers: dict[int, MeasuredServer] = field(default_factory=dict)
    _admitted_at: deque[int] = field(default_factory=deque)

    def count(self, outcome: str, times: int = 1) -> None:
        self.counts[outcome] = self.counts.get(outcome, 0) + times

    def count_lost(self, reasons: dict[str, int]) -> None:
        """Counts the values that a codec could not use, by reason."""
        for reason, times in reasons.items():
            self.count(f"lost {reason}", times)

    # Sessions

    def update_session(
        self, now: int, sess: str, viewer: str, tenant: str, server: int, rate_kb: float
    ) -> None:
        """Records that a session plays from a server, at the rate of its rung in kB a second."""
        session = self.sessions.pop(sess, None)
        if session is None:
            session = MeasuredSession(viewer, tenant, server, rate_kb, now)
        elif (session.server, session.rate_kb) != (server, rate_kb):
            session.server, session.rate_kb, session.unchanged_since = server, rate_kb, now
        self.sessions[sess] = session
        if len(self.sessions) > self.max_sessions:
            self.sessions.popitem(last=False)
            self.count("sessions-forgotten")

    def remove_session(self, sess: str) -> None:
        self.sessions.pop(sess, None)

    def accept_request_hints(self, now: int, viewer: str, tenant: str, values: Values) -> Means | None:
        """Checks the hints on a request for a session. Returns None if they are dropped."""
        if not values or not self._admit(now):
            return None
        means = self._to_means(now, values, 0)
        if means is None or not self._is_trusted(viewer, tenant):
            return None
        self.count("taken on-request")
        return means

    def accept_session_hints(
        self, now: int, sess: str, values: Values, age: int = 0, origin: str = "report"
    ) -> Means | None:
        """Checks the hints of a playing session. Returns None if they are dropped.

        `origin` is "report" if the player reported them to the front and "passed-on" if its server did. The
        throughput is left out of the result unless it shows a limit of the player itself."""
        session = self.sessions.get(sess)
        if session is None:
            self.count("dropped no-such-session")
            return None
        stated_sess = values.get("sid")
        if isinstance(stated_sess, str) and stated_sess != sess and origin == "passed-on":
            self.count("dropped other-session")  # the server attributed them to the wrong session
            return None
        means = self._to_means(now, values, age)
        if means is None:
            return None
        if session.means is not None and means.taken <= session.means.taken:
            self.count("dropped overtaken")
            return None
        starts_starving = means.starved and not (session.means is not None and session.means.starved)
        if now - session.last_hint_at < MIN_HINT_INTERVAL_US and not starts_starving:
            self.count("dropped sampled")
            return None
        if not self._admit(now):
            return None
        session.last_hint_at, session.means = now, means
        contradiction = self._contradiction(now, session, means)
        if contradiction is not None:
            for source in _sources(session.viewer, session.tenant):
                self.trust.add_verdict(source, not contradiction)
        if contradiction:
            self.count(f"contradicted {contradiction}")
            return None
        if not self._is_trusted(session.viewer, session.tenant):
            return None
        self.count(f"taken {origin}")
        if means.throughput_kb is not None and not self._is_own_limit(now, session, means.throughput_kb):
            self.count("throughput is the server's")
            means = replace(means, throughput_kb=None)
        return means

    def _is_own_limit(self, now: int, session: MeasuredSession, throughput_kb: float) -> bool:
        """Whether a throughput is the player's own limit rather than what its server delivers.

        A bound that only reflects a full link would keep the session's rung from ever being raised again. If
        the server does not report the rate that it offers, the player's limit is recognised only while it
        receives less than the rate of its rung at a full share."""
        if (
            session.received_kb is not None
            and now - session.received_at <= MEASUREMENT_LIFETIME_US
            and session.offered_kb > 0
        ):
            return session.received_kb < OWN_LIMIT_RATIO * session.offered_kb
        server = self.servers.get(session.server)
        at_full_share = (
            server is not None
            and now - server.measured_at <= MEASUREMENT_LIFETIME_US
            and server.share >= 0.98
        )
        return at_full_share and throughput_kb < session.rate_kb

    def _is_trusted(self, viewer: str, tenant: str) -> bool:
        for source in _sources(viewer, tenant):
            if not self.trust.is_trusted(source):
                self.count(f"disbelieved {source[0]}")
                return False
        return True

    def _admit(self, now: int) -> bool:
        """Whether a hint is within MAX_HINTS_PER_S. In a storm of reports the excess costs only a count."""
        while self._admitted_at and self._admitted_at[0] <= now - SECOND:
            self._admitted_at.popleft()
        if len(self._admitted_at) >= MAX_HINTS_PER_S:
            self.count("dropped storm")
            return False
        self._admitted_at.append(now)
        return True

    def _to_means(self, now: int, values: Values, age: int) -> Means | None:
        """Converts CMCD values to our units. Returns None if their age is out of range or none is used."""
        if not -MAX_CLOCK_AHEAD_US <= age <= MAX_AGE_US:
            self.count("dropped too-old" if age > 0 else "dropped from-the-future")
            return None
        numbers = {name: _to_number(values.get(name)) for name in ("mtp", "tb", "tpb", "rtp", "bl", "dl")}
        top_rates = [kbps for kbps in (numbers["tb"], numbers["tpb"], numbers["rtp"]) if kbps]
        means = Means(
            taken=now - max(age, 0),
            throughput_kb=numbers["mtp"] * KB_PER_KBIT if numbers["mtp"] else None,
            top_kb=min(top_rates) * KB_PER_KBIT if top_rates else None,
            buffer=None if numbers["bl"] is None else round(numbers["bl"] * 1000),
            due=None if numbers["dl"] is None else round(numbers["dl"] * 1000),
            starved=main_value(values.get("bs")) is True,
        )
        if means == Means(means.taken):
            self.count("dropped nothing-in-it")
            return None
        return means

    def _contradiction(self, now: int, session: MeasuredSession, means: Means) -> str | None:
        """How a hint contradicts the measurements: "" if it agrees, None if none is recent."""
        server = self.servers.get(session.server)
        if (
            server is None
            or now - server.measured_at > MEASUREMENT_LIFETIME_US
            or now - session.unchanged_since < SETTLING_TIME_US
        ):
            return None
        if means.starved and means.buffer is not None and means.buffer >= FULL_BUFFER_US:
            return "starved-and-full"
        if means.starved and server.share >= 0.98 and now - server.last_short_at > MEASUREMENT_LIFETIME_US:
            return "starved-at-full-share"
        received_kb = session.received_kb if now - session.received_at <= MEASUREMENT_LIFETIME_US else None
        if (
            received_kb is not None
            and means.throughput_kb is not None
            and means.throughput_kb < MIN_REPORTED_RATIO * received_kb
        ):
            return "less-than-delivered"
        return ""

    # Servers

    def record_server_share(self, now: int, server: int, share: float) -> None:
        """Records the share that a server delivers, by its notes or by the rates of its streams."""
        measured = self.servers.setdefault(server, MeasuredServer())
        measured.share, measured.measured_at = share, now
        if share < SHORT_SHARE_RATIO:
            measured.last_short_at = now

    def record_session_rate(self, now: int, sess: str, rate_kb: float, offered_kb: float = 0.0) -> None:
        """Records a session's rate while it fetched, and the rate that its server could have delivered.

        Both are as measured by the server, in kB a second; `offered_kb` is 0 if unknown."""
        session = self.sessions.get(sess)
        if session is not None:
            session.received_kb, session.offered_kb, session.received_at = rate_kb, offered_kb, now

    def remove_server(self, server: int) -> None:
        self.servers.pop(server, None)

    def accept_server_hints(self, now: int, server: int, values: Values, age: int) -> ServerHint | None:
        """Checks a server's own entry in CMSD-Dynamic, together with the key ht of its CMSD-Static.

        Returns None if the hint is dropped."""
        measured, source = self.servers.setdefault(server, MeasuredServer()), ("server", str(server))
        if not -MAX_CLOCK_AHEAD_US <= age <= MAX_AGE_US:
            self.count("dropped too-old" if age > 0 else "dropped from-the-future")
            return None
        taken, duress = now - max(age, 0), values.get("du") is True
        if taken <= measured.last_taken:
            self.count("dropped overtaken")  # this also covers a server whose clock stands still
            return None
        measured.last_taken = taken
        measured.duress_since = (
            (now if measured.duress_since is None else measured.duress_since) if duress else None
        )
        if now - measured.measured_at <= MEASUREMENT_LIFETIME_US:
            at_ease = not duress and measured.share < SHORT_SHARE_RATIO
            unfounded_duress = (
                measured.duress_since is not None
                and now - measured.duress_since > MAX_DURESS_LEAD_US
                and measured.last_short_at < measured.duress_since
            )
            self.trust.add_verdict(source, not (at_ease or unfounded_duress))
            if at_ease or unfounded_duress:
                self.count("contradicted " + ("at-ease-while-short" if at_ease else "duress-at-full-share"))
                return None
        if not self.trust.is_trusted(source):
            self.count("disbelieved server")
            return None
        self.count("taken server")
        numbers = {name: _to_number(values.get(name)) for name in ("etp", "mb", "ht")}
        return ServerHint(
            server,
            taken,
            duress,
            numbers["etp"] * KB_PER_KBIT if numbers["etp"] else None,
            numbers["mb"] * KB_PER_KBIT if numbers["mb"] else None,
            None if numbers["ht"] is None else round(numbers["ht"] * 1000),
        )


def _sources(viewer: str, tenant: str) -> list[Source]:
    """The sources that a player's hint counts for: its viewer and its tenant, if known."""
    viewer_sources = [("viewer", f"{tenant}/{viewer}")] if viewer else []
    return [*viewer_sources, ("tenant", tenant)] if tenant else viewer_sources


def _to_number(value: Any) -> float | None:
    number = main_value(value)
    return float(number) if isinstance(number, (int, float)) and not isinstance(number, bool) else None
