"""All media servers of one front on the platform: links, connections and the sessions that they hold."""

import asyncio
import itertools
import time
from collections import deque
from dataclasses import dataclass, field
from random import Random

import msgspec
import structlog

from ponddoor.front import effects as fx
from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.front.roster import Entry, ListChange
from ponddoor.interface import events as ev
from ponddoor.node.board_codec import server_id
from ponddoor.node.link_releases import MAX_PENDING_RELEASES
from ponddoor.node.server_connection import ServerConnection
from ponddoor.node.server_link import ServerLink
from ponddoor.node.server_messages import Outgoing
from ponddoor.obligations.drain import DrainPhase
from ponddoor.obligations.early_ends import EarlyEnds
from ponddoor.obligations.setup_rule import JudgeSetup, Verdict
from ponddoor.obligations.violations import Invariant, Violations

# A session may be handed over at a server that the server list names only later
UNLISTED_TIMEOUT_US = 13 * SECOND // 2
MAX_UNLISTED_SERVERS = 4096
MAX_NEEDED_OVER_LIMIT = 32  # connections above `max_connections` while every open one is needed
MAX_GONE_SERVERS = 16_384  # removed servers that are remembered
MAX_SESSIONS_ENDED_PER_TURN = 100  # of lost servers, in one iteration of the event loop
MAX_IDS_LOGGED = 20  # session ids in one log line
# A lease that is still in use this long after its end should have been ended by `tick`: an internal fault
LEASE_OVERDUE_AFTER_US = SECOND // 2
START_TIME_TOLERANCE_US = SECOND  # between a server's clock and ours
FLUSH_POLL_S = 0.01
log = structlog.get_logger("servers")


def _send_any(now: int, session: str, reads_awaited: int) -> Verdict:
    """Where no requests of viewers are kept."""
    return Verdict.SEND


@dataclass(slots=True)
class Servers:
    """All servers of one front. `apply` calls the engine with the current time and executes its effects.

    Times are in microseconds. `connect_timeout` is that of the settings; `me` is the number of this front,
    from 0 below `fronts`."""

    engine: Engine
    apply: Apply
    groups: tuple[str, ...]
    connect_timeout: int
    me: int = 0
    fronts: int = 1
    links: dict[int, ServerLink] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    random: Random = field(default_factory=Random)  # for the jitter of the backoff
    max_connections: int = 1 << 30
    setups_enabled: bool = False
    phase: DrainPhase = DrainPhase.SERVING
    unanswered_due_at: int | None = None  # in a shutdown
    violations: Violations = field(default_factory=Violations)
    judge_setup: JudgeSetup = _send_any
    early_ends: EarlyEnds[int] = field(default_factory=EarlyEnds)  # by server
    # Links with a connection, open or being opened, the least recently used first
    open_links: dict[ServerLink, None] = field(default_factory=dict)
    # Connections of a link besides the one in use
    extra_connections: dict[ServerConnection, None] = field(default_factory=dict)
    # Links that `tick` has to check
    _active_links: dict[ServerLink, None] = field(default_factory=dict)
    # Servers with handed-over sessions that the list does not name yet, with the time of the first hand-over
    _unlisted_since: dict[int, int] = field(default_factory=dict)
    _unlisted_releases: dict[int, dict[str, None]] = field(default_factory=dict)
    # Sessions that are about to be ended as lost: (session, attempt) by server
    _ending_sessions: dict[int, deque[tuple[str, int]]] = field(default_factory=dict)
    _ending_scheduled: bool = False
    # The newest link to each address
    _by_address: dict[str, ServerLink] = field(default_factory=dict)
    # Servers that are gone, by number, with the one that has their address; the longest known first
    _successors: dict[int, int] = field(default_factory=dict)
    # Servers that the list has named and removed, the longest known first
    _gone_servers: dict[int, None] = field(default_factory=dict)
    _message_ids: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    def enable_setups(self) -> None:
        """Allow SETUPs to be sent, once the changes since the initial server list are known or unavailable.

        SETUPs wait until then, because a drain that the list announces binds this process from its start."""
        if not self.setups_enabled:
            self.setups_enabled = True
            for link in list(self._active_links):
                link.send_queued()

    def enter_phase(self, phase: DrainPhase) -> None:
        """Open connections in this phase of the shutdown for what still has to be sent alone.

        On a new connection a server repeats a release that its viewer may not have read, and on no later one.
        It has to be one of the next process, as this one may have no connection left to tell the viewer."""
        self.phase = phase

    @property
    def draining(self) -> bool:
        """Whether the shutdown has begun."""
        return self.phase is not DrainPhase.SERVING

    def ends_unanswered(self, now: int) -> bool:
        """Whether sessions are ended now whose end the next process could not learn of."""
        due_at = self.unanswered_due_at
        return self.phase is DrainPhase.FORWARDING and due_at is not None and now >= due_at

    @property
    def reconnects_for_sessions(self) -> bool:
        """Whether a server with sessions is connected to although nothing has to be sent to it."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.FORWARDING)

    @property
    def unsent(self) -> bool:
        """Whether a message still has to be written to a server."""
        return any(link.unsent for link in self._active_links)

    def mark_used(self, link: ServerLink) -> None:
        """Have `tick` check this link, and make it the most recently used one."""
        self._active_links[link] = None
        if link in self.open_links:
            del self.open_links[link]
            self.open_links[link] = None

    def make_room(self) -> bool:
        """Return whether one more connection may be opened.

        At the limit, the least recently used connection that is not needed is closed. If every one is
        needed, up to MAX_NEEDED_OVER_LIMIT more are allowed."""
        if len(self.open_links) + len(self.extra_connections) < self.max_connections:
            return True
        unneeded = (link for link in self.open_links if link.connection is not None and not link.needed)
        oldest = next(unneeded, None)
        if oldest is not None:
            assert oldest.connection is not None
            oldest.close_connection(oldest.connection, "least recently used, closed at the connection limit")
        count = len(self.open_links) + len(self.extra_connections)
        return oldest is not None or count < self.max_connections + MAX_NEEDED_OVER_LIMIT

    def connect_delay(self) -> int:
        """The time (us) that this front waits before it connects when many fronts are likely to connect at
        once: its own share of a connect timeout, by its number."""
        return self.connect_timeout * self.me // max(self.fronts, 1)

    def new_id(self) -> str:
        """A new id for a message that belongs to no session."""
        return f"{next(self._message_ids):016x}"

    def apply_list_change(self, change: ListChange) -> None:
        """Create, update and remove links after a change of the server list."""
        for entry in change.entries:
            number = entry.server
            link = self.links.get(number)
            process = entry.address, entry.started_us
            if link is None:
                self._server_listed(self._new_link(number, entry))
            elif (link.entry.address, link.entry.started_us) == process:
                link.entry = entry
            else:
                self._process_replaced(link, entry)
        for number in change.gone:
            if (link := self.links.get(number)) is None:
                continue
            link.entry = msgspec.structs.replace(link.entry, state="gone")
            self._remember_gone(number)
            successor = self._by_address.get(link.entry.address)
            if successor is not None and successor is not link:
                self._hand_to_successor(link, successor)
            elif link.connection is None:
                self.end_sessions(link, "gone")
            self._active_links[link] = None
            self._remove_if_unused(link)

    def _process_replaced(self, link: ServerLink, entry: Entry) -> None:
        """The list tells of another process, which does not have the sessions of the previous one.

        Those that were set up after its start, before the list told of it, stand there: all are ended, so
        these have to be released at it."""
        fresh = self._new_link(link.number, entry)
        if entry.address == link.entry.address:
            self._release_since_start(link, fresh)
        self.end_sessions(link, "another process at its address")
        self.early_ends.all_ended(clock(), link.number)
        self._discard(link)

    def _hand_to_successor(self, link: ServerLink, successor: ServerLink) -> None:
        """A new server has the address of one that is gone. What was set up there under the old number since
        the new one's start stands at that, and so may what is not answered yet."""
        self._successors[link.number] = successor.number
        if len(self._successors) > MAX_GONE_SERVERS:
            del self._successors[next(iter(self._successors))]
        self._release_since_start(link, successor)
        self.end_sessions(link, "another server at its address")
        self._fail_link(link)
        for sess, due_since in link.releases.take_pending().items():
            successor.keep_release(sess, due_since)
        if successor.releases.pending:
            successor.connect_staggered()

    def _release_since_start(self, link: ServerLink, successor: ServerLink) -> None:
        """Release the sessions at the new process that were set up over the link to the old one."""
        started_at = successor.entry.started_us + clock() - time.time_ns() // 1000
        for held in self.engine.sessions_at(link.number):
            if held.standing_since >= started_at - START_TIME_TOLERANCE_US:
                successor.release(clock(), held.sess)
        if successor.releases.pending:
            successor.connect_staggered()

    def _new_link(self, number: int, entry: Entry) -> ServerLink:
        link = self.links[number] = self._by_address[entry.address] = ServerLink(self, number, entry)
        return link

    def _remove_if_unused(self, link: ServerLink) -> None:
        """Remove the link to a server that is gone, once no session or message depends on it."""
        busy = self.engine.has_sessions_at(link.number) or link.queued or link.has_setups
        if link.entry.state == "gone" and not busy:
            if self.links.get(link.number) is link:
                del self.links[link.number]
            self._discard(link)

    def _discard(self, link: ServerLink) -> None:
        """Close a link that is no longer used and stop checking it."""
        self._fail_link(link)
        self._active_links.pop(link, None)
        self.open_links.pop(link, None)
        if self._by_address.get(link.entry.address) is link:
            del self._by_address[link.entry.address]

    def _fail_link(self, link: ServerLink) -> None:
        """Close a link. Its queued messages fail in the next turn of the event loop: by then the engine has
        processed the list change that is being applied now; earlier it would choose the same server again."""
        queued, link.queued = link.queued, []
        for item in queued:
            asyncio.get_running_loop().call_soon(self.fail_unsent, item, ev.Result.CONNECT_FAILED)
        link.fail_connections("gone")
        link.close()

    def carry_out(self, effect: Effect) -> None:
        """Execute an effect of the engine that is for a server. Raises TypeError for any other."""
        match effect:
            case fx.SendSetup() | fx.SendRung() | fx.SendProbe():
                link = self.links.get(effect.server)
                if link is None or self._takes_nothing(link, effect):
                    self.fail_unsent(effect, ev.Result.MOOT)
                else:
                    link.send(effect)
            case fx.SendTeardown(sess, attempt, server):
                link = self.links.get(self._successors.get(server, server))
                if link is None:
                    self._release_unlisted(server, sess)
                elif not link.withdraw_setup(sess, attempt):
                    link.send(effect)
            case fx.CloseIdle(server):
                link = self.links.get(server)
                if link is not None and link.connection is not None and not (link.has_setups or link.queued):
                    link.close_connection(link.connection, "idle, closed on request of the engine")
            case _:
                raise TypeError(f"{effect} is not addressed to a server")

    def _takes_nothing(self, link: ServerLink, effect: Effect) -> bool:
        """Whether a message can't be sent: another server has the address, or no connection may be opened for
        this one any more."""
        is_too_late = link.connection is None and self.draining and isinstance(effect, fx.SendProbe)
        return is_too_late or link.number in self._successors

    def fail_unsent(self, item: Outgoing, result: ev.Result) -> None:
        """Tell the engine that a SETUP or probe was not sent; other messages need no answer."""
        match item:
            case fx.SendSetup(sess, attempt, server):
                self.setup_answered(sess, attempt, server, result, {})
            case fx.SendProbe(server):
                self.probe_answered(server, 0, result, {})

    def setup_answered(
        self,
        sess: str,
        attempt: int,
        server: int,
        result: ev.Result | None,
        report: dict[str, float],
        passed: str = "",
    ) -> None:
        """Tell the engine the outcome of a SETUP: None if the session stands, with the description `passed`
        on to its viewer."""
        self.apply(
            lambda now: self.engine.setup_answered(now, sess, attempt, server, result, report, {}, passed)
        )

    def probe_answered(self, server: int, lag: int, result: ev.Result, report: dict[str, float]) -> None:
        """Tell the engine the outcome of a probe, after `lag` microseconds."""
        self.apply(lambda now: self.engine.probe_answered(now, server, lag, result, report))

    def end_sessions(self, link: ServerLink, reason: str, standing_since: int | None = None) -> None:
        """End the sessions at a server as lost: all, or only those that have stood since `standing_since` or
        longer. At most MAX_SESSIONS_ENDED_PER_TURN end in one turn of the event loop."""
        lost = self.engine.sessions_at(link.number)
        if standing_since is not None:
            lost = [held for held in lost if held.standing_since <= standing_since]
        if not lost or link.number in self._ending_sessions:
            return
        log.info(
            "sessions-lost",
            server=server_id(link.number),
            why=reason,
            sessions=len(lost),
            ids=[held.sess for held in lost[:MAX_IDS_LOGGED]],
            signs=link.lease.describe_events(clock()),
        )
        self._ending_sessions[link.number] = deque((held.sess, held.attempt) for held in lost)
        if not self._ending_scheduled:
            self._ending_scheduled = True
            asyncio.get_running_loop().call_soon(self._end_next_sessions)

    def _end_next_sessions(self) -> None:
        remaining = MAX_SESSIONS_ENDED_PER_TURN
        while self._ending_sessions and remaining:
            number, sessions = next(iter(self._ending_sessions.items()))
            while sessions and remaining:
                sess, attempt = sessions.popleft()
                remaining -= 1
                self._end_session(sess, attempt)
            if not sessions:
                del self._ending_sessions[number]
        self._ending_scheduled = bool(self._ending_sessions)
        if self._ending_scheduled:
            asyncio.get_running_loop().call_soon(self._end_next_sessions)

    def _end_session(self, sess: str, attempt: int) -> None:
        self.apply(lambda now: self.engine.stream_ended(now, sess, attempt, "lost"))

    def expect_sessions(self, server: int) -> None:
        """Connect to a server at which sessions from before this process's start were handed over, to
        receive its messages about them.

        A server that the list does not name yet is waited for; one that the list has removed is lost."""
        link = self.links.get(server)
        if link is not None:
            link.lease.grant(clock())
            link.connect_staggered()
            return
        self.count("handed-over-unlisted")
        if server in self._gone_servers or len(self._unlisted_since) >= MAX_UNLISTED_SERVERS:
            self._server_lost(server)
        else:
            self._unlisted_since.setdefault(server, clock())

    def _server_listed(self, link: ServerLink) -> None:
        """Connect to a server that is new in the list if sessions or pending releases are waiting for it."""
        self._successors.pop(link.number, None)
        if link.number in self._gone_servers:
            del self._gone_servers[link.number]
            self.early_ends.all_ended(clock(), link.number)
        self._unlisted_since.pop(link.number, None)
        for sess in self._unlisted_releases.pop(link.number, {}):
            link.keep_release(sess, clock())
        if link.releases.pending or self.engine.has_sessions_at(link.number):
            link.connect_staggered()

    def _release_unlisted(self, server: int, sess: str) -> None:
        if server in self._unlisted_since:
            pending = self._unlisted_releases.setdefault(server, {})
            if len(pending) < MAX_PENDING_RELEASES:
                pending[sess] = None

    def _server_lost(self, server: int) -> None:
        self.apply(lambda now: self.engine.server_lost(now, server))

    def _remember_gone(self, number: int) -> None:
        self._gone_servers[number] = None
        if len(self._gone_servers) > MAX_GONE_SERVERS:
            del self._gone_servers[next(iter(self._gone_servers))]

    def _check_unlisted(self, now: int) -> None:
        for server, since in list(self._unlisted_since.items()):
            if now - since > UNLISTED_TIMEOUT_US:
                del self._unlisted_since[server]
                self._unlisted_releases.pop(server, None)
                self._server_lost(server)

    def tick(self, now: int, idle: int) -> None:
        """Check everything that depends on time; called about every quarter of a second. Connections that
        were not used for `idle` microseconds are closed."""
        for link in list(self._active_links):
            link.tick(now, idle)
            self._remove_if_unused(link)
            if not link.active:
                self._active_links.pop(link, None)
        self._check_unlisted(now)
        self._check_leases(now)

    def _check_leases(self, now: int) -> None:
        """Give up every server whose lease is over and that the ticks of the links have missed."""
        for number in self.engine.servers_in_use():
            link = self.links.get(number)
            if link is None and number not in self._unlisted_since:
                self._report_overdue(number, "no link", ())
                self._server_lost(number)
            elif number in self._ending_sessions:
                continue  # its sessions are being ended
            elif link is not None and link.lease.is_overdue(now, LEASE_OVERDUE_AFTER_US):
                self._report_overdue(number, "lease over", tuple(link.lease.describe_events(now)))
                link.give_up(now, "overdue")

    def _report_overdue(self, number: int, reason: str, signs: tuple[str, ...]) -> None:
        self.violations.add(Invariant.LEASE_IN_TIME, server_id(number), reason, signs)

    def lease_counts(self, now: int) -> dict[str, int]:
        """The number of servers with sessions by the state of their lease, and under "oldest_proof_ms" the
        age of the oldest last message among them."""
        counts, oldest = dict[str, int](), 0
        for number in self.engine.servers_in_use():
            if (link := self.links.get(number)) is not None:
                counts[link.lease.state.value] = counts.get(link.lease.state.value, 0) + 1
                oldest = max(oldest, now - (link.lease.last_message_at or now))
        return counts | {"oldest_proof_ms": oldest // 1000}

    @property
    def unknown_intervals(self) -> int:
        """The number of intervals in which ends of sessions may have been missed for good."""
        return sum(link.refresh.completeness.intervals.unknown_count for link in self._active_links)

    async def close(self, until: int) -> None:
        """Close every connection once all written data has been sent, at `until` at the latest."""
        while any(link.unsent for link in self._active_links if link.connection) and clock() < until:
            await asyncio.sleep(FLUSH_POLL_S)
        for link in {**self._active_links, **self.open_links}:
            link.close()
