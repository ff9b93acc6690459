"""The shell of the hints of one front: what requests, reports and servers carry goes in, CMSD comes out."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ponddoor.front.effects import Effect, ViewerRequest
from ponddoor.front.engine import Engine, Phase, SessionRecord
from ponddoor.hints import cmcd, cmsd
from ponddoor.hints.fields import Read, Values
from ponddoor.hints.intake import KB_PER_KBIT, Intake
from ponddoor.interface.events import Means, ServerHint
from ponddoor.settings.site import Site
from ponddoor.web.server import HttpError, Request, decoded

MILLISECOND = 1000


@dataclass(slots=True)
class Hinting:
    """All hints of one front. `apply` calls the engine at the clock; `clock` is the front's own."""

    site: Site
    me: int
    engine: Engine
    apply: Callable[[Callable[[int], list[Effect]]], None]
    clock: Callable[[], int]
    intake: Intake = field(default_factory=Intake)
    servers: dict[int, ServerHint] = field(default_factory=dict)  # what each last said and was believed

    # From players

    def on_request(self, request: Request, body: dict[str, Any] | None, ask: ViewerRequest) -> Means | None:
        """The hints on a request for a session."""
        read = self._read(request, body)
        if not read.values:
            return None
        return self.intake.asked(self.clock(), *self._source(ask), read.values)

    def report(self, sess: str, request: Request) -> int:
        """A player's reports on its session; returns how many were taken. Raises HttpError 415."""
        kind = request.headers.get("content-type", "").partition(";")[0].strip().lower()
        now = self.clock()
        if kind == cmcd.REPORTS:
            reports, read = cmcd.read_reports(request.body)
            self.intake.lost(read.lost)
        elif kind in ("", "application/json"):
            body = decoded(request.body, dict[str, Any]) if request.body else None
            reports = [self._read(request, body).values]
        else:
            raise HttpError(415, "unknown-media-type", f"{kind[:100]}: {cmcd.REPORTS} or application/json")
        return sum(self._told(now, sess, values, age, "report") for values, age in _aged(reports))

    def _read(self, request: Request, body: dict[str, Any] | None) -> Read:
        read = cmcd.read_request(request.headers, request.query.get(cmcd.ARGUMENT, ""), body)
        self.intake.lost(read.lost)
        return read

    def _told(self, now: int, sess: str, values: Values, age: int, origin: str) -> bool:
        self._register(now, sess)
        means = self.intake.told(now, sess, values, age, origin)
        if means is not None:
            self.apply(lambda at: self.engine.player_hint(at, sess, means))
        return means is not None

    def _register(self, now: int, sess: str) -> None:
        held = self.engine.find(sess)
        if held is None or held.phase is not Phase.PLAYING:
            self.intake.over(sess)
        else:
            self.intake.playing(now, sess, *self._source(held.request), held.server, held.rate_kb)

    def _source(self, ask: ViewerRequest) -> tuple[str, str]:
        """The viewer and the tenant by which a session's hints are judged, empty where none is named."""
        tenants = self.site.facts.tenants
        return str(ask.viewer) if ask.viewer else "", tenants[ask.tenant].name if tenants else ""

    def over(self, sess: str) -> None:
        self.intake.over(sess)

    # From servers

    def passed_on(
        self, server: int, sess: str, headers: dict[str, str], dynamic: str, gets_kb: float, age: int
    ) -> None:
        """What a server saw on a segment request: the player's hints, the rate at which it took the segment,
        and in its own CMSD what it could have given."""
        held = self.engine.find(sess)
        if held is None or held.server != server:
            self.intake.count("dropped other-server")
            return
        now = self.clock()
        read = cmcd.read_headers(headers)
        self.intake.lost(read.lost)
        if gets_kb > 0:
            self._register(now, sess)
            hops, lost = cmsd.read_dynamic(dynamic)
            self.intake.lost(lost.lost)
            offered = hops[-1].values.get("etp", 0) if hops else 0
            self.intake.took(now - age, sess, gets_kb, offered * KB_PER_KBIT)
        if read.values:
            self._told(now, sess, read.values, age, "passed-on")

    def server_said(self, server: int, dynamic: str, static: str, age: int) -> None:
        """A server's CMSD: its own entry is the last one, next to us."""
        hops, read = cmsd.read_dynamic(dynamic)
        fixed = cmsd.read_static(static)
        read.take(fixed)
        self.intake.lost(read.lost)
        if not hops:
            return
        values = hops[-1].values | {name: fixed.values[name] for name in ("ht",) if name in fixed.values}
        hint = self.intake.server_said(self.clock(), server, values, age)
        if hint is not None:
            self.servers[server] = hint
            self.apply(lambda now: self.engine.server_hint(now, hint))

    def measured(self, server: int, share: float) -> None:
        self.intake.measured(self.clock(), server, share)

    def alive(self, server: int) -> None:
        """A server that is heard and says nothing of its share still delivers what it last did."""
        held = self.intake.servers.get(server)
        self.intake.measured(self.clock(), server, held.share if held is not None else 1.0)

    def gone(self, server: int) -> None:
        self.intake.gone(server)
        self.servers.pop(server, None)

    # To players

    def dynamic(self, held: SessionRecord) -> str:
        """CMSD-Dynamic for a session that plays: its rung in force is the most it should ask for."""
        said = self.servers.get(held.server)
        values: Values = {"mb": round(held.rate_kb / KB_PER_KBIT)}
        if said is not None:
            values["du"] = said.duress
            if said.throughput_kb is not None:
                values["etp"] = round(said.throughput_kb / KB_PER_KBIT)
        return cmsd.write_dynamic([cmsd.Hop(f"{self.site.name}-{self.me}", values)])


def _aged(reports: list[Values]) -> list[tuple[Values, int]]:
    """Each report with its age in microseconds, oldest first.

    By the player's own clock against its newest report, which counts as taken now: its clock need not be
    ours. One without a time is as new as the newest."""
    stamps = [ts if isinstance(ts := values.get("ts"), int) else None for values in reports]
    newest = max((ts for ts in stamps if ts is not None), default=0)
    aged = [
        (values, 0 if ts is None else (newest - ts) * MILLISECOND)
        for values, ts in zip(reports, stamps, strict=True)
    ]
    return sorted(aged, key=lambda one: -one[1])
