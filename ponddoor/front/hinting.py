"""Passes the CMCD and CMSD hints of players and servers to the engine, and makes the CMSD for players."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ponddoor.front.effects import Effect, ViewerRequest
from ponddoor.front.engine import Engine, Phase, SessionRecord
from ponddoor.hints import cmcd, cmsd
from ponddoor.hints.fields import ReadResult, Values
from ponddoor.hints.intake import KB_PER_KBIT, Intake
from ponddoor.interface.events import Means, ServerHint
from ponddoor.settings.site import Site
from ponddoor.web.server import HttpError, Request, decode_json_body

MILLISECOND = 1000  # in microseconds


@dataclass(slots=True)
class Hinting:
    """All hints of one front.

    `apply` calls the engine with the time of the clock. `clock` is the front's own, in microseconds.
    `servers` holds the last believed hint of each server."""

    site: Site
    me: int
    engine: Engine
    apply: Callable[[Callable[[int], list[Effect]]], None]
    clock: Callable[[], int]
    intake: Intake = field(default_factory=Intake)
    servers: dict[int, ServerHint] = field(default_factory=dict)

    # From players

    def on_request(
        self, request: Request, body: dict[str, Any] | None, viewer_request: ViewerRequest
    ) -> Means | None:
        """Handles the hints on a request for a session. Returns None if it has none."""
        read = self._read(request, body)
        if not read.values:
            return None
        return self.intake.accept_request_hints(self.clock(), *self._source(viewer_request), read.values)

    def take_reports(self, sess: str, request: Request) -> int:
        """Handles a player's reports on its session. Returns how many were accepted. Raises HttpError 415."""
        media_type = request.headers.get("content-type", "").partition(";")[0].strip().lower()
        now = self.clock()
        if media_type == cmcd.REPORT_MEDIA_TYPE:
            reports, read = cmcd.read_reports(request.body)
            self.intake.count_lost(read.lost)
        elif media_type in ("", "application/json"):
            body = decode_json_body(request.body, dict[str, Any]) if request.body else None
            reports = [self._read(request, body).values]
        else:
            raise HttpError(
                415, "unknown-media-type", f"{media_type[:100]}: {cmcd.REPORT_MEDIA_TYPE} or application/json"
            )
        return sum(
            self._take_player_hint(now, sess, values, age_us, "report")
            for values, age_us in _reports_with_age(reports)
        )

    def _read(self, request: Request, body: dict[str, Any] | None) -> ReadResult:
        """Reads the hints on a request from its headers, query and body."""
        read = cmcd.read_request(request.headers, request.query.get(cmcd.QUERY_ARGUMENT, ""), body)
        self.intake.count_lost(read.lost)
        return read

    def _take_player_hint(self, now: int, sess: str, values: Values, age_us: int, origin: str) -> bool:
        """Passes a player's hint to the engine. Returns whether it was accepted."""
        self._update_session(now, sess)
        means = self.intake.accept_session_hints(now, sess, values, age_us, origin)
        if means is not None:
            self.apply(lambda engine_now: self.engine.player_hint(engine_now, sess, means))
        return means is not None

    def _update_session(self, now: int, sess: str) -> None:
        """Tells the intake the state of a session that a hint is about."""
        record = self.engine.find(sess)
        if record is None or record.phase is not Phase.PLAYING:
            self.intake.remove_session(sess)
        else:
            self.intake.update_session(
                now, sess, *self._source(record.request), record.server, record.rate_kb
            )

    def _source(self, viewer_request: ViewerRequest) -> tuple[str, str]:
        """The viewer and the tenant whose trust applies to a session's hints; each empty if not given."""
        tenants = self.site.facts.tenants
        return str(viewer_request.viewer) if viewer_request.viewer else "", tenants[
            viewer_request.tenant
        ].name if tenants else ""

    def session_ended(self, sess: str) -> None:
        self.intake.remove_session(sess)

    # From servers

    def segment_request(
        self, server: int, sess: str, headers: dict[str, str], dynamic: str, received_kb: float, age_us: int
    ) -> None:
        """Handles what a server reports of a segment request.

        `headers` are the player's CMCD headers, `dynamic` is the server's CMSD-Dynamic with the rate that it
        could have delivered, and `received_kb` is the rate in kB a second at which the player received the
        segment (0 if unknown)."""
        record = self.engine.find(sess)
        if record is None or record.server != server:
            self.intake.count("dropped other-server")
            return
        now = self.clock()
        read = cmcd.read_headers(headers)
        self.intake.count_lost(read.lost)
        if received_kb > 0:
            self._update_session(now, sess)
            hops, dynamic_read = cmsd.read_dynamic(dynamic)
            self.intake.count_lost(dynamic_read.lost)
            offered = hops[-1].values.get("etp", 0) if hops else 0
            self.intake.record_session_rate(now - age_us, sess, received_kb, offered * KB_PER_KBIT)
        if read.values:
            self._take_player_hint(now, sess, read.values, age_us, "passed-on")

    def server_cmsd(self, server: int, dynamic: str, static: str, age_us: int) -> None:
        """Handles a server's CMSD. Its last entry is the server's own, as that of the hop nearest to us."""
        hops, read = cmsd.read_dynamic(dynamic)
        static_read = cmsd.read_static(static)
        read.merge(static_read)
        self.intake.count_lost(read.lost)
        if not hops:
            return
        values = hops[-1].values | {
            name: static_read.values[name] for name in ("ht",) if name in static_read.values
        }
        hint = self.intake.accept_server_hints(self.clock(), server, values, age_us)
        if hint is not None:
            self.servers[server] = hint
            self.apply(lambda now: self.engine.server_hint(now, hint))

    def server_delivered(self, server: int, share: float) -> None:
        """Handles the delivered share that a server reports."""
        self.intake.record_server_share(self.clock(), server, share)

    def server_alive(self, server: int) -> None:
        """Handles a note without a share: the server is taken to deliver the last known share still."""
        source = self.intake.servers.get(server)
        self.intake.record_server_share(self.clock(), server, source.share if source is not None else 1.0)

    def server_gone(self, server: int) -> None:
        self.intake.remove_server(server)
        self.servers.pop(server, None)

    # To players

    def dynamic(self, record: SessionRecord) -> str:
        """The CMSD-Dynamic header of a session: the player should request at most its current rung."""
        hint = self.servers.get(record.server)
        values: Values = {"mb": round(record.rate_kb / KB_PER_KBIT)}
        if hint is not None:
            values["du"] = hint.duress
            if hint.throughput_kb is not None:
                values["etp"] = round(hint.throughput_kb / KB_PER_KBIT)
        return cmsd.write_dynamic([cmsd.Hop(f"{self.site.name}-{self.me}", values)])


def _reports_with_age(reports: list[Values]) -> list[tuple[Values, int]]:
    """Each report with its age in microseconds, oldest first.

    The age is relative to the newest report, whose age counts as 0, because the player's clock may differ
    from ours. A report without a time has age 0."""
    stamps = [ts if isinstance(ts := values.get("ts"), int) else None for values in reports]
    newest = max((ts for ts in stamps if ts is not None), default=0)
    aged = [
        (values, 0 if ts is None else (newest - ts) * MILLISECOND)
        for values, ts in zip(reports, stamps, strict=True)
    ]
    return sorted(aged, key=lambda report: -report[1])
