"""Runs one front as a process: assembles the engine and its connections, and handles the signals."""

import asyncio
import contextlib
import secrets
import signal
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import structlog

from ponddoor.decide import Front
from ponddoor.fleet.presence import Connectivity
from ponddoor.fleet.shown import shown
from ponddoor.front import effects as fx
from ponddoor.front.acting import ActiveMechanisms, DeadFronts, unchanged_decisions
from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.follower import Follower, PutInForce
from ponddoor.front.following import Following
from ponddoor.front.hinting import Hinting
from ponddoor.front.limits import SAMPLE_PERIOD_US, AdmissionGate, LagMeter
from ponddoor.front.listing import ListClient
from ponddoor.front.metrics import Metrics, Sample
from ponddoor.front.pump import SECOND, Pump, clock
from ponddoor.front.reconnect import ReconnectSchedule
from ponddoor.front.roster import Roster
from ponddoor.front.sealed import Seal
from ponddoor.front.seating import Seating
from ponddoor.front.servers import Servers
from ponddoor.front.taking import (
    Terms,
    initial_terms,
    reasons_against,
    reasons_against_start,
    site_at_start,
    updated_terms,
)
from ponddoor.front.trace import Tracer
from ponddoor.front.viewers import Viewers
from ponddoor.front.words import GossipSocket, wall_clock_us
from ponddoor.interface.events import ServerState
from ponddoor.interface.facts import SiteFacts
from ponddoor.runtime.driver import Decisions
from ponddoor.seats.core import Seats, Timing
from ponddoor.settings.limits import Limits
from ponddoor.settings.sexpr import SettingsError
from ponddoor.settings.site import FollowSide, Site, load
from ponddoor.web.server import Server, ServerLimits
from ponddoor.web.timing import within

# At a stop, how long requests that have arrived may take to be answered.
FINAL_ANSWERS_TIMEOUT_S = 1.0
log = structlog.get_logger("front")
DecisionsFactory = Callable[[SiteFacts, int], Decisions]


def http_bounds(limits: Limits) -> ServerLimits:
    return ServerLimits(
        limits.connections,
        limits.per_address,
        limits.header_bytes,
        limits.body_bytes,
        limits.header_time / SECOND,
        limits.idle_time / SECOND,
        limits.write_time / SECOND,
    )


class FrontProcess:
    """Assembles a front. Call `start`, then `run`, which returns once the front has drained, or `stop`.

    `kept` is the file in which the server list is kept; seats and the shared configuration are kept beside
    it. `seed` is random by default. `make_decisions` makes the decision logic from the facts and the time in
    microseconds. `trace` is the file to write a trace to. `record_event` is called with the events that an
    audit needs."""

    def __init__(
        self,
        site: Site,
        me: int,
        kept: Path | None = None,
        seed: int | None = None,
        make_decisions: DecisionsFactory = Front,
        log_requests: bool = False,
        trace: Path | None = None,
        record_event: Callable[..., None] | None = None,
    ) -> None:
        self._start_site, self.site, self.me, self._log_requests = site, site, me, log_requests
        self._record_event = record_event
        seed = secrets.randbits(64) if seed is None else seed
        self._terms: Terms | None = None
        self.following = self._make_following(site.follow, seed, kept) if site.follow is not None else None
        if self.following is not None:
            self.following.recover()  # sets `site` to the kept version, which the rest is made from
        site, terms = self.site, self._terms or initial_terms(self.site)
        now = clock()
        facts = replace(site.facts_of(me, seed), wall=wall_clock_us() - now)
        self.decisions = make_decisions(facts, now)
        self.gate = AdmissionGate(site.limits, LagMeter(now + SAMPLE_PERIOD_US))
        self.engine = Engine(self.decisions, facts, self.gate)
        self._pump = Pump(self.engine, self._carry_out)
        self.apply = self._pump.apply
        self.tracer = Tracer(trace, facts, now) if trace is not None else None
        self.engine.on_event_handled = self.tracer.write_event if self.tracer is not None else None
        self.metrics = Metrics(self._metric_samples, self._fleet_state)
        self.hinting: Hinting | None = None
        wall_offset_us = now - wall_clock_us()
        roster = Roster(site.zones, site.kinds, facts.plant.cells, wall_offset_us)
        self.servers = Servers(site, me, secrets.randbits(48), self.engine, self.apply)
        self.servers.sends_group_terms = self.following is not None
        drain_grace, retry_step = facts.rules.drain_grace, site.listing.retry
        schedule = ReconnectSchedule(me, facts.fronts, drain_grace, facts.seed, retry_step)
        on_list_change = self.servers.apply_list_change
        self.listing = ListClient(site, me, roster, self.engine, self.apply, on_list_change, kept, schedule)
        seal = Seal(site.words.key, me, len(site.fronts), site.words.age)
        self.words = GossipSocket(site, me, seal, self._handle_payload)
        self.viewers = Viewers(
            terms, self.engine, self.apply, self._server_address, self.metrics.observe_answer
        )
        self.seating = self._make_seating(kept) if site.seats.limits else None
        if self.seating is not None and record_event is not None:
            self.seating.record_event = record_event
        self.viewers.seating = self.seating
        self.viewers.record_event = record_event if self.following is not None else None
        if site.hints:
            hinting = Hinting(site, me, self.engine, self.apply, clock)
            self.hinting = self.viewers.hinting = self.servers.hinting = hinting
        self.web = Server(self.viewers.handle, http_bounds(site.limits))
        self.metrics_web = Server(
            self.metrics.handle, ServerLimits(max_connections=50, max_connections_per_address=50)
        )
        self.active_mechanisms, self.dead_fronts = ActiveMechanisms(), DeadFronts()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()
        self.port = 0
        self._terms = terms

    # Effects of the engine

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.SendSetup() | fx.SendTeardown() | fx.SendRung() | fx.SendProbe() | fx.CloseIdle():
                self.servers.carry_out(effect)
            case fx.SendGossip(peer, payload):
                self.words.send(peer, payload)
            case fx.WatchList(active):
                self.listing.watch(active)
            case fx.FetchList():
                self.listing.fetch()
            case fx.WriteLog(level, event, sess, detail):
                getattr(log, level)(event, session=sess, detail=detail)
            case fx.Reply(sess, answer):
                if self._log_requests:
                    log.info("answer", session=sess, kind=answer.kind, server=answer.server, rung=answer.rung)
                self.viewers.carry_out(effect)
            case fx.Push():
                self.viewers.carry_out(effect)

    def _handle_payload(self, peer: int, payload: bytes) -> None:
        if self.seating is not None and self.seating.handle_payload(peer, payload):
            return
        self.apply(lambda now: self.engine.peer_message(now, peer, payload))

    def _server_address(self, server: int) -> str:
        entry = self.listing.roster.entries.get(server)
        return entry.address if entry is not None else ""

    def _make_seating(self, kept: Path | None) -> Seating:
        terms = self.site.seats
        timing = Timing(
            terms.token, terms.lease, terms.drift, max_wait=terms.borrow_wait, retry_after=terms.come_back
        )
        folder = (kept or Path(f"front-{self.me}")).with_suffix(".seats")
        return Seating(
            self.me,
            len(self.site.fronts),
            terms.limits,
            timing,
            self.site.words.key,
            folder,
            clock,
            self.words.send,
            self.viewers.seat_ended,
            lambda reason: self._stopping.set(),
        )

    # Start and run

    async def start(self) -> None:
        """Binds the addresses and starts. Raises OSError if an address cannot be bound."""
        addresses = self.site.fronts[self.me]
        if len(self.site.fronts) > 1 and (self.site.facts.permissions.messages or self.site.seats.limits):
            await self.words.start()
        if self.seating is not None:
            self.seating.start()
        self.gate.lag.due = clock() + SAMPLE_PERIOD_US
        self.listing.begin()
        if self.following is not None:
            self.following.begin()
        self.port = await self.web.start(*addresses.viewers)
        await self.metrics_web.start(*addresses.metrics)
        self._tasks = [asyncio.create_task(self._sample_lag()), asyncio.create_task(self._log_changes())]
        log.info("front-started", me=self.me, fronts=len(self.site.fronts), port=self.port)

    async def _sample_lag(self) -> None:
        while True:
            await asyncio.sleep(max(self.gate.lag.due - clock(), 0) / SECOND)
            late_us = self.gate.lag.tick(clock())
            self.metrics.observe_loop_lag(late_us / SECOND)
            if self._record_event is not None and isinstance(self.decisions, Front):
                for front, dead in self.dead_fronts.changes(self.decisions.fleet.presence).items():
                    self._record_event("stands", front=front, dead=dead)
            if late_us > self.site.limits.loop_lag:
                log.warning("loop-late", ms=late_us // 1000)

    async def _log_changes(self) -> None:
        limits_logged: set[str] = set()
        while True:
            await asyncio.sleep(1)
            if isinstance(self.decisions, Front):
                self.active_mechanisms.log_changes(self.decisions, clock())
            limits_now = {name for name in self.engine.counts.answers if name.startswith("limit ")}
            for name in sorted(limits_now - limits_logged):
                log.warning("limit-reached", limit=name.removeprefix("limit "))
            limits_logged = limits_now

    def reload(self, path: Path) -> bool:
        """Reads the site file again and applies what can change without a restart: limits, seats and node.

        Returns False and changes nothing if the file has problems, or if a version of the shared
        configuration is in force, because then that version sets the limits."""
        if self.terms.version:
            refusal = f"version {self.terms.version} of the shared configuration is in force; file ignored"
            log.warning("reload-refused", problems=[refusal])
            return False
        try:
            loaded = load(path)
        except SettingsError as error:
            log.error("reload-refused", problems=[str(problem) for problem in error.problems])
            return False
        site = replace(self.site, limits=loaded.limits, seats=loaded.seats, node=loaded.node)
        if self.seating is not None:
            self.seating.set_limits(loaded.seats.limits)
        parts = ("facts", "zones", "kinds", "titles", "servers", "listing", "fronts", "words", "follow")
        changed_parts = [name for name in parts if getattr(loaded, name) != getattr(self.site, name)]
        if changed_parts:
            log.warning("reload-needs-restart", parts=changed_parts)
        self.site = site
        self._terms = self.viewers.terms = replace(self.terms, site=site)
        self.gate.limits = loaded.limits
        self.web.limits = http_bounds(loaded.limits)
        log.info("reloaded")
        return True

    # The shared configuration

    @property
    def terms(self) -> Terms:
        """The configuration that applies to new requests."""
        return self._terms or initial_terms(self.site)

    def _make_following(self, side: FollowSide, seed: int, kept: Path | None) -> Following:
        drain_grace = self._start_site.facts.rules.drain_grace
        follower = Follower(
            self.me,
            len(self._start_site.fronts),
            len(side.instances),
            seed,
            drain_grace,
            side.folder,
            self._unusable_reasons,
            side.silence,
            side.report_every,
        )
        config_file = kept.with_suffix(".config") if kept is not None else None
        following = Following(follower, side.instances, self._take_version, config_file)
        following.on_version_refused = self._on_version_refused
        return following

    def _on_version_refused(self, number: int, reason: str) -> None:
        if self._record_event is not None:
            self._record_event("version-refused", front=self.me, version=number, why=reason)

    def _unusable_reasons(self, version: Site) -> tuple[str, ...]:
        """The reasons why this front cannot apply a version now. Is also called from other threads."""
        terms = self._terms
        return (
            reasons_against_start(self._start_site, version)
            if terms is None
            else reasons_against(terms, version)
        )

    def _take_version(self, version: PutInForce) -> None:
        """Puts a version in force. Before the start it becomes the site. Later it is applied as a whole
        between two calls of the engine."""
        if self._terms is None:
            self.site = site_at_start(self._start_site, version.site)
            self._terms = initial_terms(self.site, version.number, version.digest)
        else:
            self.apply(lambda now: self._put_in_force(now, version))
        log.info("config-in-force", version=version.number, digest=version.digest)
        if self._record_event is not None:
            self._record_event("in-force", front=self.me, version=version.number, digest=version.digest)

    def _put_in_force(self, now: int, version: PutInForce) -> list[Effect]:
        old_terms = self.terms
        self._terms = self.viewers.terms = new_terms = updated_terms(
            old_terms, version.site, version.number, version.digest
        )
        self.site = site = new_terms.site
        if self.hinting is not None:
            self.hinting.site = site
        self.gate.limits, self.web.limits = site.limits, http_bounds(site.limits)
        if self.seating is not None and site.seats != old_terms.site.seats:
            self.seating.set_limits(site.seats.limits)
        # The other facts are fixed at the start or are this front's own.
        old_facts = self.engine.facts
        facts = replace(
            old_facts,
            groups=site.facts.groups,
            tenants=site.facts.tenants,
            ladder=site.facts.ladder,
            over_share_utility=site.facts.over_share_utility,
        )
        return self.engine.update_facts(now, facts) if facts != old_facts else []

    def drain(self) -> None:
        """Refuses new requests from now on. The second call stops the front."""
        if self.gate.draining:
            self._stopping.set()
        self.gate.draining = True
        log.info("draining", in_hand=self.engine.requests_in_hand, held=self.engine.sessions_held)

    async def run(self, path: Path | None = None) -> None:
        """Serves until SIGTERM or SIGINT has drained the front, or a second signal stops it.

        SIGHUP reloads the site file at `path`."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain)
        if path is not None:
            loop.add_signal_handler(signal.SIGHUP, self.reload, path)
        deadline: int | None = None
        while not self._stopping.is_set():
            with contextlib.suppress(TimeoutError):
                await within(0.05, self._stopping.wait())
            if self.gate.draining:
                deadline = deadline or clock() + self.site.limits.drain_time
                if self.engine.requests_in_hand == 0 and (
                    self.engine.sessions_held == 0 or clock() >= deadline
                ):
                    break
        await self.stop()

    async def stop(self) -> None:
        """Answers the requests that wait, tears down the sessions that play, then closes every socket."""
        self.gate.draining = self.web.closing = True
        self.apply(self.engine.stop)
        await self.web.shut_down(FINAL_ANSWERS_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)
        await self.servers.close(1.0)
        await self.listing.close()
        if self.following is not None:
            await self.following.close()
        if self.seating is not None:
            await self.seating.close()
        self.words.close()
        await self.web.close()
        await self.metrics_web.close()
        await asyncio.sleep(0)  # the event loop drops closed sockets in its next iteration
        self._pump.close()
        if self.tracer is not None:
            self.engine.on_event_handled = None
            self.tracer.close()
        if self.hinting is not None and self.hinting.intake.counts:
            log.info(
                "hints",
                **{name.replace(" ", "_"): count for name, count in self.hinting.intake.counts.items()},
            )
        log.info("front-stopped", me=self.me)

    def kill(self) -> None:
        """Ends without notifying anyone, as a killed process does. For tests."""
        for task in [*self._tasks, *self.servers.tasks]:
            task.cancel()
        if self.following is not None:
            self.following.end()
        self._pump.close()

    # Metrics

    def _metric_samples(self) -> Iterator[Sample]:
        counts, seal = self.engine.counts, self.words.seal
        yield (
            "counter",
            "answers",
            "Final answers, by kind; a limit that refused is named.",
            "kind",
            _floats(counts.answers),
        )
        yield "counter", "setups", "SETUPs, by result.", "result", _floats(counts.setups)
        yield (
            "counter",
            "stray_answers",
            "Answers to SETUPs that were over, by result.",
            "result",
            _floats(counts.stray),
        )
        yield "counter", "decision_faults", "Exceptions in the decisions.", "", {"": counts.faults}
        yield (
            "counter",
            "decision_seconds",
            "Time spent in the decisions.",
            "",
            {"": counts.decision_ns / 1e9},
        )
        yield (
            "gauge",
            "requests_in_hand",
            "Requests not yet answered.",
            "",
            {"": self.engine.requests_in_hand},
        )
        yield "gauge", "sessions_held", "Sessions waiting or playing.", "", {"": self.engine.sessions_held}
        yield "gauge", "connections", "Viewers' connections.", "", {"": self.web.open_connections}
        yield (
            "counter",
            "connections_turned_away",
            "Connections over a limit.",
            "",
            {"": self.web.rejected_connections},
        )
        yield (
            "counter",
            "malformed_requests",
            "Requests that are no HTTP, too large or too slow.",
            "",
            {"": self.web.malformed_requests},
        )
        yield "counter", "words_told", "Words sent to other fronts.", "", {"": self.words.sent}
        yield (
            "counter",
            "words_lost",
            "Words that could not be sent or were from elsewhere, by reason.",
            "why",
            _floats(self.words.lost),
        )
        yield (
            "counter",
            "words_refused",
            "Datagrams that were not to be trusted, by reason.",
            "why",
            _floats(seal.refused),
        )
        if self.following is not None:
            yield from self._config_samples(self.following)
        if self.seating is not None:
            yield from self._seat_samples(self.seating.core)
        if self.hinting is not None:
            intake = self.hinting.intake
            yield "counter", "hints", "Hints, by what became of them.", "what", _floats(intake.counts)
            doubted: dict[str, int] = {}
            for kind, _ in intake.trust.untrusted_sources():
                doubted[kind] = doubted.get(kind, 0) + 1
            yield "gauge", "hint_sources_doubted", "Sources not believed now.", "kind", _floats(doubted)
        yield (
            "gauge",
            "list_version",
            "Version of the server list in hand.",
            "",
            {"": self.listing.roster.version},
        )
        yield (
            "gauge",
            "list_reachable",
            "Whether the server list is in reach.",
            "",
            {"": self.listing.reachable},
        )
        yield (
            "counter",
            "list_ignored",
            "News of the list that was old or said twice.",
            "",
            {"": self.listing.roster.ignored},
        )
        yield (
            "counter",
            "teardowns_dropped",
            "Teardowns that no server took.",
            "",
            {"": self.servers.dropped_teardowns},
        )
        if isinstance(self.decisions, Front):
            front, now = self.decisions, clock()
            with unchanged_decisions(front, now):
                servers = [s for s in front.servers.values() if s.row.state is not ServerState.GONE]
                idle = {str(number): kb for number, kb in front.idle_by_server(servers, 1.0).items()}
                resting = {str(s.row.server): float(front.setup_backoff_until(s) > now) for s in servers}
                avoided = {str(s.row.server): float(front.is_avoided(s)) for s in servers}
                fleet_samples = list(self._fleet_samples(front, now)) if front.fleet.gossip_enabled else []
            yield from fleet_samples
            yield "gauge", "avoided", "Whether a server is avoided by others' evidence.", "server", avoided
            yield (
                "gauge",
                "idle_kb",
                "Idle of each server as the account has it, kB a second.",
                "server",
                idle,
            )
            yield "gauge", "resting", "Whether a server rests after failures.", "server", resting

    def _fleet_state(self) -> dict[str, Any]:
        """The body of GET /fleet, which `ponddoor fleet show` prints."""
        if not isinstance(self.decisions, Front):
            return {}
        front, now = self.decisions, clock()
        with unchanged_decisions(front, now):
            servers = [number for number, s in front.servers.items() if s.row.state is not ServerState.GONE]
            words = {"out": self.words.sent_traffic.kinds, "in": self.words.received_traffic.kinds}
            process_state = {"words": words, "processor_s": time.process_time(), "at_us": now}
            return shown(front.fleet, servers) | process_state

    def _fleet_samples(self, front: Front, now: int) -> Iterator[Sample]:
        fleet, counts = front.fleet, dict[str, float]()
        for member in fleet.presence.members:
            state = fleet.presence.state_of(member).value
            counts[state] = counts.get(state, 0) + 1
        yield "gauge", "fronts", "Other fronts, as this one takes them to stand.", "stands", counts
        yield (
            "gauge",
            "fronts_reached",
            "Share of the last pings that were answered.",
            "",
            {"": fleet.presence.ack_ratio()},
        )
        yield (
            "gauge",
            "fleet_hears",
            "How this front hears the others: 1 at the one that holds.",
            "how",
            {level.value: float(fleet.presence.connectivity(now) is level) for level in Connectivity},
        )
        yield (
            "gauge",
            "groups_whole",
            "Groups of servers of which all that is asked is known here.",
            "",
            {"": sum(map(fleet.is_synced, fleet.groups))},
        )
        yield (
            "gauge",
            "parts_lent_here",
            "Parts of budgets lent to this front, by group.",
            "group",
            {str(group): len(fleet.shares.lenders_of(now, group)) for group in fleet.groups},
        )
        yield "counter", "grants", "Sends granted to other fronts.", "", {"": fleet.shares.granted}
        yield "counter", "lent_refused", "Parts refused: of an earlier life.", "", {"": fleet.shares.fenced}
        yield "counter", "counts_refused", "Words on counts that were old.", "", {"": fleet.counts.refused}

    def _config_samples(self, following: Following) -> Iterator[Sample]:
        follower = following.follower
        apart_s = 0.0 if follower.apart_since is None else (clock() - follower.apart_since) / SECOND
        for name, text, value in (
            (
                "config_version",
                "Version of the shared configuration in force; 0: none yet.",
                follower.version,
            ),
            ("config_head", "Newest version known here.", follower.head),
            ("config_refused", "A newer version that can't be used here; 0: none.", follower.refused[0]),
            ("config_apart_seconds", "For how long no instance with a leader was heard.", apart_s),
        ):
            yield "gauge", name, text, "", {"": float(value)}
        counts = {**follower.counts, **following.counts}
        yield "counter", "config_follow", "What came of following, by kind.", "what", _floats(counts)

    def _seat_samples(self, core: Seats) -> Iterator[Sample]:
        held = sum(len(share.seats) for share in core.shares.values())
        yield "gauge", "seats_held", "Seats granted by this front that run.", "", {"": held}
        lent = sum(loan.count for table in core.lease_tables.values() for loan in table.leases.values())
        yield "gauge", "seats_lent", "Seats this home has lent, to itself as well.", "", {"": lent}
        yield "counter", "seats_refused", "Seats refused, by reason.", "why", _floats(core.refusals)
        yield (
            "counter",
            "seat_messages",
            "Messages to other fronts about seats.",
            "",
            {"": core.sent_messages},
        )


def _floats(counts: dict[str, int]) -> dict[str, float]:
    return {name: float(count) for name, count in counts.items()}
