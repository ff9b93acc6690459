"""One front as one process: the engine, its shells, the clock, and the signals."""

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
from ponddoor.front.follower import Follower, Take
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
from ponddoor.front.taking import Terms, at_start, begun, taken, unusable, unusable_at_start
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
from ponddoor.web.server import Bounds, Server
from ponddoor.web.timing import within

LAST_ANSWERS_S = 1.0  # at the end, for answers to what has come
log = structlog.get_logger("front")
Deciding = Callable[[SiteFacts, int], Decisions]


def bounds_of(limits: Limits) -> Bounds:
    return Bounds(
        limits.connections,
        limits.per_address,
        limits.header_bytes,
        limits.body_bytes,
        limits.header_time / SECOND,
        limits.idle_time / SECOND,
        limits.write_time / SECOND,
    )


class FrontProcess:
    """Assembles a front. `start`, then `run` until it is told to drain, or `stop`."""

    def __init__(
        self,
        site: Site,
        me: int,
        kept: Path | None = None,
        seed: int | None = None,
        deciding: Deciding = Front,
        log_requests: bool = False,
        trace: Path | None = None,
        noted: Callable[..., None] | None = None,
    ) -> None:
        self._own, self.site, self.me, self._log_requests = site, site, me, log_requests
        self._noted = noted
        seed = secrets.randbits(64) if seed is None else seed
        self._terms: Terms | None = None
        self.following = self._followed(site.follow, seed, kept) if site.follow is not None else None
        if self.following is not None:
            self.following.recover()  # what was in force is the site, before anything is made of it
        site, terms = self.site, self._terms or begun(self.site)
        now = clock()
        facts = replace(site.facts_of(me, seed), wall=wall_clock_us() - now)
        self.decisions = deciding(facts, now)
        self.gate = AdmissionGate(site.limits, LagMeter(now + SAMPLE_PERIOD_US))
        self.engine = Engine(self.decisions, facts, self.gate)
        self._pump = Pump(self.engine, self._carry_out)
        self.apply = self._pump.apply
        self.tracer = Tracer(trace, facts, now) if trace is not None else None
        self.engine.on_event_handled = self.tracer.fed if self.tracer is not None else None
        self.metrics = Metrics(self._samples, self._fleet)
        self.hinting: Hinting | None = None
        offset = now - wall_clock_us()
        roster = Roster(site.zones, site.kinds, facts.plant.cells, offset)
        self.servers = Servers(site, me, secrets.randbits(48), self.engine, self.apply)
        self.servers.sends_group_terms = self.following is not None
        grace, step = facts.rules.drain_grace, site.listing.retry
        schedule = ReconnectSchedule(me, facts.fronts, grace, facts.seed, step)
        learned = self.servers.apply_list_change
        self.listing = ListClient(site, me, roster, self.engine, self.apply, learned, kept, schedule)
        seal = Seal(site.words.key, me, len(site.fronts), site.words.age)
        self.words = GossipSocket(site, me, seal, self._heard)
        self.viewers = Viewers(terms, self.engine, self.apply, self._address, self.metrics.answered)
        self.seating = self._seats(kept) if site.seats.limits else None
        if self.seating is not None and noted is not None:
            self.seating.record_event = noted
        self.viewers.seating = self.seating
        self.viewers.record_event = noted if self.following is not None else None
        if site.hints:
            hinting = Hinting(site, me, self.engine, self.apply, clock)
            self.hinting = self.viewers.hinting = self.servers.hinting = hinting
        self.web = Server(self.viewers.handle, bounds_of(site.limits))
        self.metrics_web = Server(self.metrics.handle, Bounds(connections=50, per_address=50))
        self.acting, self.standings = ActiveMechanisms(), DeadFronts()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()
        self.port = 0
        self._terms = terms

    # What the engine wants

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

    def _heard(self, peer: int, payload: bytes) -> None:
        if self.seating is not None and self.seating.handle_payload(peer, payload):
            return
        self.apply(lambda now: self.engine.peer_message(now, peer, payload))

    def _address(self, server: int) -> str:
        entry = self.listing.roster.entries.get(server)
        return entry.address if entry is not None else ""

    def _seats(self, kept: Path | None) -> Seating:
        terms = self.site.seats
        timing = Timing(
            terms.token, terms.lease, terms.drift, borrow_wait=terms.borrow_wait, come_back=terms.come_back
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
            lambda why: self._stopping.set(),
        )

    # Life

    async def start(self) -> None:
        """Take the addresses and begin. Raises OSError where an address can't be had."""
        place = self.site.fronts[self.me]
        if len(self.site.fronts) > 1 and (self.site.facts.permissions.messages or self.site.seats.limits):
            await self.words.start()
        if self.seating is not None:
            self.seating.start()
        self.gate.lag.due = clock() + SAMPLE_PERIOD_US
        self.listing.begin()
        if self.following is not None:
            self.following.begin()
        self.port = await self.web.start(*place.viewers)
        await self.metrics_web.start(*place.metrics)
        self._tasks = [asyncio.create_task(self._sample_lag()), asyncio.create_task(self._look())]
        log.info("front-started", me=self.me, fronts=len(self.site.fronts), port=self.port)

    async def _sample_lag(self) -> None:
        while True:
            await asyncio.sleep(max(self.gate.lag.due - clock(), 0) / SECOND)
            late = self.gate.lag.tick(clock())
            self.metrics.lagged(late / SECOND)
            if self._noted is not None and isinstance(self.decisions, Front):
                for front, dead in self.standings.changes(self.decisions.fleet.presence).items():
                    self._noted("stands", front=front, dead=dead)
            if late > self.site.limits.loop_lag:
                log.warning("loop-late", ms=late // 1000)

    async def _look(self) -> None:
        reached: set[str] = set()
        while True:
            await asyncio.sleep(1)
            if isinstance(self.decisions, Front):
                self.acting.log_changes(self.decisions, clock())
            now_reached = {word for word in self.engine.counts.answers if word.startswith("limit ")}
            for word in sorted(now_reached - reached):
                log.warning("limit-reached", limit=word.removeprefix("limit "))
            reached = now_reached

    def reload(self, path: Path) -> bool:
        """Take over what can change in service: the limits. A file with problems changes nothing, nor does
        any where a version of the shared configuration is in force: the limits are that one's."""
        if self.terms.version:
            counts = f"version {self.terms.version} of the shared configuration counts, not the file"
            log.warning("reload-refused", problems=[counts])
            return False
        try:
            fresh = load(path)
        except SettingsError as problem:
            log.error("reload-refused", problems=[str(one) for one in problem.problems])
            return False
        kept = replace(self.site, limits=fresh.limits, seats=fresh.seats, node=fresh.node)
        if self.seating is not None:
            self.seating.set_limits(fresh.seats.limits)
        parts = ("facts", "zones", "kinds", "titles", "servers", "listing", "fronts", "words", "follow")
        other = [name for name in parts if getattr(fresh, name) != getattr(self.site, name)]
        if other:
            log.warning("reload-needs-restart", parts=other)
        self.site = kept
        self._terms = self.viewers.terms = replace(self.terms, site=kept)
        self.gate.limits = fresh.limits
        self.web.bounds = bounds_of(fresh.limits)
        log.info("reloaded")
        return True

    # The shared configuration

    @property
    def terms(self) -> Terms:
        """What who comes now is decided by."""
        return self._terms or begun(self.site)

    def _followed(self, side: FollowSide, seed: int, kept: Path | None) -> Following:
        grace = self._own.facts.rules.drain_grace
        core = Follower(
            self.me,
            len(self._own.fronts),
            len(side.instances),
            seed,
            grace,
            side.folder,
            self._unusable,
            side.silence,
            side.report_every,
        )
        file = kept.with_suffix(".config") if kept is not None else None
        made = Following(core, side.instances, self._take, file)
        made.refused = self._refused
        return made

    def _refused(self, number: int, why: str) -> None:
        if self._noted is not None:
            self._noted("version-refused", front=self.me, version=number, why=why)

    def _unusable(self, version: Site) -> tuple[str, ...]:
        """Why this front can't take a version now; called beside the loop as well."""
        held = self._terms
        return unusable_at_start(self._own, version) if held is None else unusable(held, version)

    def _take(self, version: Take) -> None:
        """Put a version in force: before the start it is the site, later it is taken between two turns of the
        engine, whole before anything else runs."""
        if self._terms is None:
            self.site = at_start(self._own, version.site)
            self._terms = begun(self.site, version.number, version.digest)
        else:
            self.apply(lambda now: self._put_in_force(now, version))
        log.info("config-in-force", version=version.number, digest=version.digest)
        if self._noted is not None:
            self._noted("in-force", front=self.me, version=version.number, digest=version.digest)

    def _put_in_force(self, now: int, version: Take) -> list[Effect]:
        held = self.terms
        self._terms = self.viewers.terms = fresh = taken(held, version.site, version.number, version.digest)
        self.site = site = fresh.site
        if self.hinting is not None:
            self.hinting.site = site
        self.gate.limits, self.web.bounds = site.limits, bounds_of(site.limits)
        if self.seating is not None and site.seats != held.site.seats:
            self.seating.set_limits(site.seats.limits)
        # What is told at each start, and what is this front's own, stays as it was
        old = self.engine.facts
        facts = replace(
            old,
            groups=site.facts.groups,
            tenants=site.facts.tenants,
            ladder=site.facts.ladder,
            over_share_utility=site.facts.over_share_utility,
        )
        return self.engine.update_facts(now, facts) if facts != old else []

    def drain(self) -> None:
        """No new requests; the second call ends it."""
        if self.gate.draining:
            self._stopping.set()
        self.gate.draining = True
        log.info("draining", in_hand=self.engine.requests_in_hand, held=self.engine.sessions_held)

    async def run(self, path: Path | None = None) -> None:
        """Serve until SIGTERM has drained the front, or a second one ends it."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        if path is not None:
            loop.add_signal_handler(signal.SIGHUP, self.reload, path)
        limit: int | None = None
        while not self._stopping.is_set():
            with contextlib.suppress(TimeoutError):
                await within(0.05, self._stopping.wait())
            if self.gate.draining:
                limit = limit or clock() + self.site.limits.drain_time
                if self.engine.requests_in_hand == 0 and (self.engine.sessions_held == 0 or clock() >= limit):
                    break
        await self.stop()

    async def stop(self) -> None:
        """End: what waits is answered, what plays is torn down, then every socket closes."""
        self.gate.draining = self.web.closing = True
        self.apply(self.engine.stop)
        await self.web.finish(LAST_ANSWERS_S)
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
        await asyncio.sleep(0)  # closed sockets leave the loop in its next round
        self._pump.close()
        if self.tracer is not None:
            self.engine.on_event_handled = None
            self.tracer.close()
        if self.hinting is not None and self.hinting.intake.counts:
            log.info("hints", **{k.replace(" ", "_"): n for k, n in self.hinting.intake.counts.items()})
        log.info("front-stopped", me=self.me)

    def kill(self) -> None:
        """End as a killed process does: sockets close, nobody is told (tests)."""
        for task in [*self._tasks, *self.servers.tasks]:
            task.cancel()
        if self.following is not None:
            self.following.end()
        self._pump.close()

    # What metrics show

    def _samples(self) -> Iterator[Sample]:
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
            {"": self.web.turned_away},
        )
        yield (
            "counter",
            "malformed_requests",
            "Requests that are no HTTP, too large or too slow.",
            "",
            {"": self.web.malformed},
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
            for kind, _ in intake.trust.doubted():
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
                rows = [s for s in front.servers.values() if s.row.state is not ServerState.GONE]
                idle = {str(number): kb for number, kb in front.idle_by_server(rows, 1.0).items()}
                rests = {str(s.row.server): float(front.setup_backoff_until(s) > now) for s in rows}
                avoided = {str(s.row.server): float(front.is_avoided(s)) for s in rows}
                fleet = list(self._fleet_samples(front, now)) if front.fleet.gossip_enabled else []
            yield from fleet
            yield "gauge", "avoided", "Whether a server is avoided by others' evidence.", "server", avoided
            yield (
                "gauge",
                "idle_kb",
                "Idle of each server as the account has it, kB a second.",
                "server",
                idle,
            )
            yield "gauge", "resting", "Whether a server rests after failures.", "server", rests

    def _fleet(self) -> dict[str, Any]:
        """What `ponddoor fleet show` shows."""
        if not isinstance(self.decisions, Front):
            return {}
        front, now = self.decisions, clock()
        with unchanged_decisions(front, now):
            servers = [n for n, s in front.servers.items() if s.row.state is not ServerState.GONE]
            words = {"out": self.words.sent_traffic.kinds, "in": self.words.received_traffic.kinds}
            used = {"words": words, "processor_s": time.process_time(), "at_us": now}
            return shown(front.fleet, servers) | used

    def _fleet_samples(self, front: Front, now: int) -> Iterator[Sample]:
        fleet, stands = front.fleet, dict[str, float]()
        for one in fleet.presence.members:
            name = fleet.presence.state_of(one).value
            stands[name] = stands.get(name, 0) + 1
        yield "gauge", "fronts", "Other fronts, as this one takes them to stand.", "stands", stands
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
            {how.value: float(fleet.presence.connectivity(now) is how) for how in Connectivity},
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
        core = following.follower
        apart = 0.0 if core.apart_since is None else (clock() - core.apart_since) / SECOND
        for name, text, value in (
            ("config_version", "Version of the shared configuration in force; 0: none yet.", core.version),
            ("config_head", "Newest version known here.", core.head),
            ("config_refused", "A newer version that can't be used here; 0: none.", core.refused[0]),
            ("config_apart_seconds", "For how long no instance with a leader was heard.", apart),
        ):
            yield "gauge", name, text, "", {"": float(value)}
        counts = {**core.counts, **following.counts}
        yield "counter", "config_follow", "What came of following, by kind.", "what", _floats(counts)

    def _seat_samples(self, core: Seats) -> Iterator[Sample]:
        held = sum(len(share.seats) for share in core.shares.values())
        yield "gauge", "seats_held", "Seats granted by this front that run.", "", {"": held}
        lent = sum(one.count for book in core.books.values() for one in book.lent.values())
        yield "gauge", "seats_lent", "Seats this home has lent, to itself as well.", "", {"": lent}
        yield "counter", "seats_refused", "Seats refused, by reason.", "why", _floats(core.refused)
        yield "counter", "seat_messages", "Messages to other fronts about seats.", "", {"": core.messages}


def _floats(table: dict[str, int]) -> dict[str, float]:
    return {word: float(count) for word, count in table.items()}
