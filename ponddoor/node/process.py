"""One node: the engine, its connections to viewers, servers, peers and discovery, its clock and signals."""

import asyncio
import contextlib
import resource
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

import structlog

from ponddoor.decide import Front
from ponddoor.front import effects as fx
from ponddoor.front.acting import ActiveMechanisms, server_account
from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.limits import SAMPLE_PERIOD_US, AdmissionGate, LagMeter
from ponddoor.front.pump import SECOND, Pump, clock
from ponddoor.front.reconnect import ReconnectSchedule
from ponddoor.front.roster import ListChange, Roster
from ponddoor.node.board import DiscoveryClient
from ponddoor.node.descriptors import DescriptorReserve, MemoryGauge
from ponddoor.node.early import EarlySignal
from ponddoor.node.partial_messages import partial_budget_bytes
from ponddoor.node.servers import Servers
from ponddoor.node.start import NodeSettings, StartError, read_settings
from ponddoor.node.viewers import Viewers
from ponddoor.node.words import GossipSocket
from ponddoor.obligations.drain import DrainPhase, DrainSchedule
from ponddoor.obligations.setup_rule import SetupRule
from ponddoor.settings.limits import Limits
from ponddoor.web.timing import within
from ponddoor.web.unread import has_unread

TICK_INTERVAL_US = SECOND // 4
STATE_LOG_INTERVAL_US = 5 * SECOND
IN_HAND_LIMIT = 2000
SESSION_LIMIT = 20_000
SERVER_IDLE_LIMIT_US = 20 * SECOND  # after which an unneeded connection to a server is closed
LAST_SIGN_TIMEOUT_US = 3 * SECOND // 10  # of signs of life requested as a shutdown begins
UNANSWERED_MARGIN_US = SECOND // 4  # for the releases of sessions that end unanswered in a shutdown
DRAIN_TICK_INTERVAL_US = SECOND // 50
FLUSH_TIMEOUT_US = SECOND // 10  # for the last writes to leave, at the end of the shutdown
RESERVED_DESCRIPTORS = 64  # for everything but connections to viewers and servers
# The protocol lets viewers hold up to a third of the descriptors, so their limit is never lower than that
VIEWER_SHARE_DIVISOR = 3
log = structlog.get_logger("node")


class Node:
    """One node on the platform. `run` serves until a signal ends it."""

    def __init__(self, settings: NodeSettings, log_accounts: bool = False) -> None:
        """With `log_accounts` the node logs what it assumes of each server at each tick."""
        self.log_accounts = log_accounts
        process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.socket_limit = (
            min(settings.socket_limit, process_limit)
            if process_limit != resource.RLIM_INFINITY
            else settings.socket_limit
        )
        self.settings, now = settings, clock()
        facts = replace(settings.facts, wall=time.time_ns() // 1000 - now)
        limits = Limits(
            in_hand=IN_HAND_LIMIT, held=SESSION_LIMIT, connections=0, per_address=0, header_bytes=0,
            body_bytes=0, header_time=0, idle_time=0, write_time=0, loop_lag=1 << 60, repeats=0,
            repeat_time=0, followers=0, drain_time=0,
        )  # fmt: skip
        self.front = Front(facts, now)
        self.engine = Engine(self.front, facts, AdmissionGate(limits, LagMeter(1 << 60)))
        self.pump = Pump(self.engine, self._carry_out)
        groups = tuple(group.name for group in facts.groups)
        apply = self.pump.apply
        connect_timeout = facts.permissions.connect_timeout
        self.servers = Servers(self.engine, apply, groups, connect_timeout, facts.me, facts.fronts)
        self.servers.random.seed(facts.seed)
        self.viewers = Viewers(self.engine, apply, self.servers, groups, 0)
        self.servers.violations = self.viewers.sessions.violations
        setup_rule = SetupRule(self.viewers.sessions, lambda connection: has_unread(connection.transport))
        self.servers.judge_setup = setup_rule.judge
        roster = Roster(settings.zones, settings.kinds, facts.plant.cells, now - time.time_ns() // 1000)
        schedule = ReconnectSchedule(facts.me, facts.fronts, facts.rules.drain_grace, facts.seed)
        self.reserve = DescriptorReserve()
        self.discovery = DiscoveryClient(
            roster,
            self.engine,
            apply,
            self._apply_list_change,
            self.servers.enable_setups,
            schedule,
            self.reserve,
        )
        self.gossip = GossipSocket(
            settings, lambda peer, data: apply(lambda now: self.engine.peer_message(now, peer, data))
        )
        self.acting = ActiveMechanisms()
        self.memory = MemoryGauge()
        self.drain: DrainSchedule | None = None
        self._lag_timer: asyncio.TimerHandle | None = None
        self._shutdown_requested = asyncio.Event()
        self._max_lag_us = 0

    def _apply_list_change(self, change: ListChange) -> None:
        self.servers.apply_list_change(change)
        available, share = self.socket_limit - RESERVED_DESCRIPTORS, self.socket_limit // VIEWER_SHARE_DIVISOR
        self.viewers.max_connections = max(available - len(self.servers.links), share)
        self.servers.max_connections = max(available - self.viewers.max_connections, share)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.SendSetup() | fx.SendTeardown() | fx.SendRung() | fx.SendProbe() | fx.CloseIdle():
                self.servers.carry_out(effect)
            case fx.Reply() | fx.Push():
                self.viewers.carry_out(effect)
            case fx.SendGossip(peer, payload):
                self.gossip.send(peer, payload)
            case fx.WriteLog(level, event, sess, detail):
                getattr(log, level)(event, session=sess, detail=detail)
            case fx.WatchList() | fx.FetchList():
                pass  # the notice board sends its list and changes unasked

    # Signals

    def reload(self, path: Path) -> None:
        """Move to the notice board that the settings file names now. An unusable file changes nothing."""
        self.reserve.release()
        try:
            address = read_settings(path).board
        except StartError as problem:
            log.error("reload-refused", why=str(problem))
            return
        finally:
            self.reserve.refill()
        log.info("reloaded", board=address)
        if address != self.discovery.address:
            self.discovery.move_to(address)

    def begin_shutdown(self, signalled_at: int | None = None) -> None:
        """Begin the shutdown. `signalled_at` is the time of the signal, by default that of the event loop's
        last turn: a signal that came while the process stood still is handled after that.

        Does nothing if the shutdown has begun already."""
        if self.drain is not None:
            return
        if signalled_at is None:
            now = clock()
            signalled_at = now - self.engine.gate.lag.lag(now)
        longest_timeout = max(group.setup_timeout for group in self.settings.facts.groups)
        self.drain = DrainSchedule.after_sigterm(signalled_at, longest_timeout)
        self.viewers.drain = self.drain
        self.servers.enter_phase(DrainPhase.FORWARDING)
        self.servers.unanswered_due_at = max(
            self.drain.sigterm_at + LAST_SIGN_TIMEOUT_US, self.drain.refuse_from - UNANSWERED_MARGIN_US
        )
        self._shutdown_requested.set()
        log.info(
            "told-to-end",
            in_hand=self.engine.requests_in_hand,
            held=self.engine.sessions_held,
            refuse_in_ms=(self.drain.refuse_from - self.drain.sigterm_at) // 1000,
            answer_in_ms=(self.drain.answer_by - self.drain.sigterm_at) // 1000,
        )

    def _follow_signals(self, path: Path, early: Sequence[EarlySignal]) -> None:
        """Install the signal handlers, then handle `early`, the signals that came before that.

        In the reverse order a signal that arrives between the two steps would be lost."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload, path)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_shutdown)
        if any(received.number == signal.SIGHUP for received in early):
            self.reload(path)
        for received in early:
            if received.number in (signal.SIGTERM, signal.SIGINT):
                self.begin_shutdown(received.received_at_ns // 1000)

    async def run(self, path: Path, early: Sequence[EarlySignal] = ()) -> None:
        """Serve until a signal and the end of the drain. Raises OSError if an address cannot be bound."""
        await self.gossip.start()
        self.discovery.start(self.settings)
        # SETUPs wait for the list until two thirds of the drain grace have passed: the first third is for the
        # node's turn to ask for the list, the second for the answer
        setups_enabled_after = 2 * self.settings.facts.rules.drain_grace / 3 / SECOND
        asyncio.get_running_loop().call_later(setups_enabled_after, self.servers.enable_setups)
        self._follow_signals(path, early)
        self.engine.gate.lag.due = clock()
        self._sample_lag()
        await self.viewers.start(*self.settings.listen)
        self.viewers.ready = True
        log.debug("facts", facts=self.settings.facts, limits=self.settings.socket_limit)
        self.reserve.refill()
        memory_kb = self.memory.resident_kb()
        self.viewers.partial_messages.budget_bytes = partial_budget_bytes(self.settings.memory_mb, memory_kb)
        log.info("node-started", name=self.settings.name, me=self.settings.facts.me, memory_kb=memory_kb)
        due, log_at = clock() + TICK_INTERVAL_US, clock() + STATE_LOG_INTERVAL_US
        while self.drain is None:
            await self._wait_until(due)
            now = clock()
            self._max_lag_us, due = max(self._max_lag_us, now - due), max(due + TICK_INTERVAL_US, now)
            self._tick(now)
            if self.log_accounts:
                log.debug("account", rows=server_account(self.front, now))
            if now >= log_at:
                log_at = now + STATE_LOG_INTERVAL_US
                self.acting.log_changes(self.front, now)
                self._log_state()
        await self._shut_down(self.drain)

    def _sample_lag(self) -> None:
        self.engine.gate.lag.tick(clock())
        self._lag_timer = asyncio.get_running_loop().call_later(SAMPLE_PERIOD_US / SECOND, self._sample_lag)

    async def _wait_until(self, due: int) -> None:
        """Sleep until `due` or the beginning of the shutdown."""
        with contextlib.suppress(TimeoutError):
            await within(max(due - clock(), 0) / SECOND, self._shutdown_requested.wait())

    def _tick(self, now: int) -> None:
        idle_limit = min(SERVER_IDLE_LIMIT_US, 2 * self.settings.server_idle_timeout_us // 3)
        self._check("servers", lambda: self.servers.tick(now, idle_limit))
        self._check("viewers", lambda: self.viewers.tick(now))
        self._check("descriptors", self.reserve.refill)

    def _check(self, part: str, check: Callable[[], None]) -> None:
        """Run one periodic check. An error in it must not end the process with all requests that it holds."""
        try:
            check()
        except Exception:
            self.engine.counts.faults += 1
            log.exception("check-failed", part=part)

    async def _shut_down(self, drain: DrainSchedule) -> None:
        """Go through the phases of the shutdown, each from its time in the schedule on."""
        while drain.phase(clock()) is DrainPhase.FORWARDING:
            await asyncio.sleep(DRAIN_TICK_INTERVAL_US / SECOND)
            self._tick(clock())
        log.info(
            "drain-phase",
            phase="refusing",
            in_hand=self.engine.requests_in_hand,
            held=self.engine.sessions_held,
        )
        self.engine.gate.draining, self.viewers.ready = True, False
        self.servers.enter_phase(DrainPhase.REFUSING)
        await self.viewers.stop_accepting(drain.answer_by)
        while drain.phase(clock()) is DrainPhase.REFUSING and not self._is_drained():
            self.viewers.close_idle()
            await asyncio.sleep(DRAIN_TICK_INTERVAL_US / SECOND)
            self._tick(clock())
        log.info(
            "drain-phase",
            phase="closing",
            in_hand=self.engine.requests_in_hand,
            held=self.engine.sessions_held,
        )
        await self._close(drain)

    def _is_drained(self) -> bool:
        """Whether no request is open, no session plays and no message is left to be sent."""
        viewers = self.viewers
        return not (
            self.engine.sessions_held
            or viewers.has_unfinished_requests
            or viewers.sessions.delivery.has_unoffered
            or self.servers.unsent
        )

    def _log_state(self) -> None:
        counts, viewers, servers = self.engine.counts, self.viewers, self.servers
        log.info(
            "state", in_hand=self.engine.requests_in_hand, held=self.engine.sessions_held,
            viewers=len(viewers.connections), servers=len(servers.links),
            releases_pending=len(viewers.sessions.delivery),
            sessions=viewers.sessions.counts, violations=viewers.sessions.violations.counts,
            lag_us=self._max_lag_us, memory_kb=self.memory.resident_kb(),
            partial_bytes=viewers.partial_messages.total_bytes,
            faults=counts.faults, answers=counts.answers, setups=counts.setups, stray=counts.stray,
            viewers_seen=viewers.counts, servers_seen=servers.counts,
            session_lines_left_out=viewers.session_log.lines_dropped,
            leases=servers.lease_counts(clock()),
            unknown_intervals=servers.unknown_intervals,
            words=self.gossip.sent, words_lost=self.gossip.lost,
            board_breaks=self.discovery.disconnects,
            board_losses=self.discovery.schedule.losses,
            board_age_ms=self.discovery.schedule.age(clock()) // 1000,
        )  # fmt: skip
        self._max_lag_us = 0

    async def _close(self, drain: DrainSchedule) -> None:
        """Close everything in order: viewers' connections once all requests are answered and read, servers'
        connections once they are flushed, discovery, gossip, the timer and the reserved descriptors."""
        until = max(clock(), drain.answer_by) + FLUSH_TIMEOUT_US
        self.servers.enter_phase(DrainPhase.CLOSING)
        await self.viewers.close(until)
        await self.servers.close(until)
        self.discovery.close()
        self.gossip.close()
        self.pump.close()
        if self._lag_timer is not None:
            self._lag_timer.cancel()
        self.reserve.close()
        self._log_state()
        log.info("node-ended")
