"""One node: the engine, its shells on the platform's messages, the clock, and the signals."""

import asyncio
import contextlib
import resource
import signal
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import structlog

from ponddoor.decide import Front
from ponddoor.front import effects as fx
from ponddoor.front.acting import Acting, account
from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.limits import Gate, LagMeter
from ponddoor.front.pump import SECOND, Pump, clock
from ponddoor.front.reconnect import ReconnectSchedule
from ponddoor.front.roster import ListChange, Roster
from ponddoor.node.board import DiscoveryClient
from ponddoor.node.descriptors import DescriptorReserve, MemoryGauge
from ponddoor.node.early import EarlySignal
from ponddoor.node.servers import Servers
from ponddoor.node.start import NodeSettings, StartError, read_settings
from ponddoor.node.viewers import Viewers
from ponddoor.node.words import GossipSocket
from ponddoor.obligations.drain import DrainPhase, DrainSchedule
from ponddoor.settings.limits import Limits
from ponddoor.web.timing import within

LOOK = SECOND // 4
STATE_EVERY = 5 * SECOND
IN_HAND_LIMIT, SESSIONS_LIMIT = 2000, 20_000
IDLE_LIMIT = 20 * SECOND  # for a connection to a server that nothing depends on
DRAIN_LOOK = SECOND // 50  # while the node ends
FLUSH = SECOND // 10  # for what was written last to leave, at the end
SPARE_DESCRIPTORS = 64  # kept for everything but viewers and servers
VIEWERS_SHARE = 3  # the protocol: viewers hold a third of the descriptors at most; they are never given less
log = structlog.get_logger("node")


class Node:
    """Assembles a node; `run` until it is told to end."""

    def __init__(self, place: NodeSettings, watched: bool = False) -> None:
        """With `watched` the log tells what is believed of each server, at each look."""
        self.watched = watched
        bound = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.sockets = (
            min(place.socket_limit, bound) if bound != resource.RLIM_INFINITY else place.socket_limit
        )
        self.place, now = place, clock()
        facts = replace(place.facts, wall=time.time_ns() // 1000 - now)
        limits = Limits(
            in_hand=IN_HAND_LIMIT, held=SESSIONS_LIMIT, connections=0, per_address=0, header_bytes=0,
            body_bytes=0, header_time=0, idle_time=0, write_time=0, loop_lag=1 << 60, repeats=0,
            repeat_time=0, followers=0, drain_time=0,
        )  # fmt: skip
        self.front = Front(facts, now)
        self.engine = Engine(self.front, facts, Gate(limits, LagMeter(1 << 60)))
        self.pump = Pump(self.engine, self._carry_out)
        groups = tuple(group.name for group in facts.groups)
        apply = self.pump.apply
        connect = facts.permissions.connect_timeout
        self.servers = Servers(self.engine, apply, groups, connect, facts.me, facts.fronts)
        self.servers.random.seed(facts.seed)
        self.viewers = Viewers(self.engine, apply, self.servers.expect_sessions, groups, 0)
        self.servers.violations = self.viewers.sessions.violations
        roster = Roster(place.zones, place.kinds, facts.plant.cells, now - time.time_ns() // 1000)
        schedule = ReconnectSchedule(facts.me, facts.fronts, facts.rules.drain_grace, facts.seed)
        self.reserve = DescriptorReserve()
        self.board = DiscoveryClient(
            roster, self.engine, apply, self._learned, self.servers.enable_setups, schedule, self.reserve
        )
        self.words = GossipSocket(
            place, lambda peer, data: apply(lambda at: self.engine.word(at, peer, data))
        )
        self.acting = Acting()
        self.memory = MemoryGauge()
        self.drain: DrainSchedule | None = None
        self._told_to_end = asyncio.Event()
        self._most_lag = 0

    def _learned(self, change: ListChange) -> None:
        self.servers.apply_list_change(change)
        left, part = self.sockets - SPARE_DESCRIPTORS, self.sockets // VIEWERS_SHARE
        self.viewers.max_connections = max(left - len(self.servers.links), part)
        self.servers.max_connections = max(left - self.viewers.max_connections, part)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.SendSetup() | fx.SendTeardown() | fx.SendRung() | fx.SendProbe() | fx.CloseIdle():
                self.servers.carry_out(effect)
            case fx.Reply() | fx.Push():
                self.viewers.carry_out(effect)
            case fx.SendWord(peer, payload):
                self.words.send(peer, payload)
            case fx.Say(level, event, sess, detail):
                getattr(log, level)(event, session=sess, detail=detail)
            case fx.WatchList() | fx.FetchList():
                pass  # the board tells unasked

    # Signals

    def reload(self, path: Path) -> None:
        """Follow the board that the file names now. A file that can't be used changes nothing."""
        self.reserve.release()
        try:
            board = read_settings(path).board
        except StartError as problem:
            log.error("reload-refused", why=str(problem))
            return
        finally:
            self.reserve.refill()
        log.info("reloaded", board=board)
        if board != self.board.address:
            self.board.move_to(board)

    def end(self, told_at: int | None = None) -> None:
        """Begin the shutdown, by a schedule that is made once; `told_at` is when the signal came."""
        if self.drain is not None:
            return
        longest = max(group.setup_timeout for group in self.place.facts.groups)
        self.drain = DrainSchedule.after_sigterm(clock() if told_at is None else told_at, longest)
        self.viewers.drain = self.drain
        self._told_to_end.set()
        log.info(
            "told-to-end",
            in_hand=self.engine.in_hand,
            held=self.engine.held,
            refuse_in_ms=(self.drain.refuse_from - self.drain.told_at) // 1000,
            answer_in_ms=(self.drain.answer_by - self.drain.told_at) // 1000,
        )

    def _follow_signals(self, path: Path, early: Sequence[EarlySignal]) -> None:
        """From here on signals reach us; `early` are those that came before, looked at once all reach us:
        looked at sooner, one that comes after the look and before the handler would be heard by nobody."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload, path)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.end)
        if any(one.number == signal.SIGHUP for one in early):
            self.reload(path)
        for one in early:
            if one.number in (signal.SIGTERM, signal.SIGINT):
                self.end(one.received_at_ns // 1000)

    async def run(self, path: Path, early: Sequence[EarlySignal] = ()) -> None:
        """Serve until SIGTERM and the end of the drain. Raises OSError where an address can't be had."""
        await self.words.start()
        self.board.start(self.place)
        # The first third of the grace is for the turn in which the list is asked, the second for its answer
        until = 2 * self.place.facts.rules.drain_grace / 3 / SECOND
        asyncio.get_running_loop().call_later(until, self.servers.enable_setups)
        self._follow_signals(path, early)
        await self.viewers.start(*self.place.listen)
        self.viewers.ready = True
        log.debug("facts", facts=self.place.facts, limits=self.place.socket_limit)
        self.reserve.refill()
        memory_kb = self.memory.resident_kb()
        log.info("node-started", name=self.place.name, me=self.place.facts.me, memory_kb=memory_kb)
        due, say = clock() + LOOK, clock() + STATE_EVERY
        while self.drain is None:
            await self._wait_until(due)
            now = clock()
            self._most_lag, due = max(self._most_lag, now - due), max(due + LOOK, now)
            self._look(now)
            if self.watched:
                log.debug("account", rows=account(self.front, now))
            if now >= say:
                say = now + STATE_EVERY
                self.acting.look(self.front, now)
                self._say()
        await self._end_by(self.drain)

    async def _wait_until(self, due: int) -> None:
        """Sleep, or until SIGTERM."""
        with contextlib.suppress(TimeoutError):
            await within(max(due - clock(), 0) / SECOND, self._told_to_end.wait())

    def _look(self, now: int) -> None:
        self.servers.tick(now, min(IDLE_LIMIT, 2 * self.place.server_idle_timeout_us // 3))
        self.viewers.tick(now)
        self.reserve.refill()

    async def _end_by(self, drain: DrainSchedule) -> None:
        """The shutdown: forward, refuse, close, each from its time in the schedule on."""
        while drain.phase(clock()) is DrainPhase.FORWARDING:
            await asyncio.sleep(DRAIN_LOOK / SECOND)
            self._look(clock())
        log.info("drain-phase", phase="refusing", in_hand=self.engine.in_hand, held=self.engine.held)
        self.engine.gate.draining, self.viewers.ready = True, False
        await self.viewers.stop_accepting(drain.answer_by)
        while drain.phase(clock()) is DrainPhase.REFUSING and not self._nothing_left():
            self.viewers.close_idle()
            await asyncio.sleep(DRAIN_LOOK / SECOND)
            self._look(clock())
        log.info("drain-phase", phase="closing", in_hand=self.engine.in_hand, held=self.engine.held)
        await self._close(drain)

    def _nothing_left(self) -> bool:
        """Whether nobody waits or plays, and nothing is left to be said."""
        viewers = self.viewers
        return not (
            self.engine.held
            or viewers.has_unfinished_requests
            or viewers.sessions.pending
            or self.servers.unsent
        )

    def _say(self) -> None:
        counts, viewers, servers = self.engine.counts, self.viewers, self.servers
        log.info(
            "state", in_hand=self.engine.in_hand, held=self.engine.held, viewers=len(viewers.connections),
            servers=len(servers.links), releases_pending=len(viewers.sessions.pending),
            sessions=viewers.sessions.counts, violations=viewers.sessions.violations.counts,
            lag_us=self._most_lag, memory_kb=self.memory.resident_kb(),
            faults=counts.faults, answers=counts.answers, setups=counts.setups, stray=counts.stray,
            viewers_seen=viewers.counts, servers_seen=servers.counts,
            session_lines_left_out=viewers.session_log.lines_dropped,
            leases=servers.lease_counts(clock()), words=self.words.sent, words_lost=self.words.lost,
            board_breaks=self.board.disconnects,
            board_losses=self.board.schedule.losses, board_age_ms=self.board.schedule.age(clock()) // 1000,
        )  # fmt: skip
        self._most_lag = 0

    async def _close(self, drain: DrainSchedule) -> None:
        """The end, in its order: every set-up is answered, viewers' connections end once read, servers' once
        written; then the list, the peers' messages and the clock."""
        until = max(clock(), drain.answer_by) + FLUSH
        await self.viewers.close(until)
        await self.servers.close(until)
        self.board.close()
        self.words.close()
        self.pump.close()
        self.reserve.close()
        self._say()
        log.info("node-ended")
