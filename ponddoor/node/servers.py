"""The shell towards servers on the platform: all of them, and which of them has a connection."""

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass, field
from random import Random

import msgspec
import structlog

from ponddoor.front import effects as fx
from ponddoor.front.effects import Effect
from ponddoor.front.engine import Engine
from ponddoor.front.pump import SECOND, Apply, clock
from ponddoor.front.roster import ListChange
from ponddoor.interface import events as ev
from ponddoor.node.board_codec import server_id
from ponddoor.node.server_connection import ServerConnection
from ponddoor.node.server_link import MAX_PENDING_RELEASES, ServerLink
from ponddoor.node.server_messages import Outgoing
from ponddoor.obligations.violations import Invariant, Violations

UNLISTED_TIMEOUT_US = (
    13 * SECOND // 2
)  # a session is handed over at a server that the list may name so much later
MAX_UNLISTED_SERVERS = 4096
MAX_NEEDED_OVER_LIMIT = 32  # connections over the limit where every one is needed
MAX_GONE_SERVERS = 16_384  # whose numbers are kept
MAX_SESSIONS_ENDED_PER_TURN = 100  # sessions of lost servers that end in one turn of the loop
MAX_IDS_LOGGED = 20  # sessions that one line of the log names
LEASE_OVERDUE_AFTER_US = (
    SECOND // 2
)  # past its end a lease is carried out by the check, which is a fault of ours
FLUSH_POLL_S = 0.01  # between two looks at what was written last
log = structlog.get_logger("servers")


@dataclass(slots=True)
class Servers:
    """All servers of one front. `apply` calls the engine at the clock and carries out its effects."""

    engine: Engine
    apply: Apply
    groups: tuple[str, ...]
    connect_timeout: int
    me: int = 0
    fronts: int = 1
    links: dict[int, ServerLink] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    random: Random = field(default_factory=Random)  # of the backoff's jitter
    max_connections: int = 1 << 30  # connections at once
    setups_enabled: bool = False
    violations: Violations = field(default_factory=Violations)
    open_links: dict[ServerLink, None] = field(
        default_factory=dict
    )  # or connecting, the longest unused first
    extra_connections: dict[ServerConnection, None] = field(
        default_factory=dict
    )  # further connections of links
    _active_links: dict[ServerLink, None] = field(default_factory=dict)  # that a look may find something at
    _unlisted_since: dict[int, int] = field(default_factory=dict)  # servers of hand-overs, since when
    _unlisted_releases: dict[int, dict[str, None]] = field(default_factory=dict)
    _ending_sessions: dict[int, deque[tuple[str, int]]] = field(
        default_factory=dict
    )  # sessions that end, by server
    _ending_scheduled: bool = False
    _gone_servers: dict[int, None] = field(
        default_factory=dict
    )  # servers that the list has named and removed
    _message_ids: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def enable_setups(self) -> None:
        """The list has told what came since the list of the start, or can't: SETUPs may go out.

        Before that they wait: a drain that the list has counts as told from the start of this process."""
        if not self.setups_enabled:
            self.setups_enabled = True
            for link in list(self._active_links):
                link.send_queued()

    @property
    def unsent(self) -> bool:
        """Whether something is still to be written."""
        return any(link.unsent for link in self._active_links)

    def mark_used(self, link: ServerLink) -> None:
        """A link is used, or waits for something: it is looked at from now on."""
        self._active_links[link] = None
        if link in self.open_links:
            del self.open_links[link]
            self.open_links[link] = None

    def make_room(self) -> bool:
        """Whether one more may be opened. Where all connections that the descriptors allow are open, the one
        that was of no use for longest is closed; where every one is needed, a few more are allowed."""
        if len(self.open_links) + len(self.extra_connections) < self.max_connections:
            return True
        free = (link for link in self.open_links if link.connection is not None and not link.needed)
        oldest = next(free, None)
        if oldest is not None:
            assert oldest.connection is not None
            oldest.close_connection(oldest.connection, "made room")
        count = len(self.open_links) + len(self.extra_connections)
        return oldest is not None or count < self.max_connections + MAX_NEEDED_OVER_LIMIT

    def connect_delay(self) -> int:
        """How long this front waits before it connects where many do: its part of a connect timeout (us)."""
        return self.connect_timeout * self.me // max(self.fronts, 1)

    def new_id(self) -> str:
        """An id for a message that belongs to no session."""
        return f"{next(self._message_ids):016x}"

    def apply_list_change(self, change: ListChange) -> None:
        """The list has changed."""
        for entry in change.entries:
            number = entry.server
            link = self.links.get(number)
            place = entry.address, entry.started_us
            if link is None:
                self.links[number] = ServerLink(self, number, entry)
                self._server_listed(self.links[number])
            elif (link.entry.address, link.entry.started_us) == place:
                link.entry = entry
            else:  # another process: what played there is over
                self.links[number] = ServerLink(self, number, entry)
                self.end_sessions(link, "another process at its address")
                self._discard(link)
        for number in change.gone:
            if (link := self.links.get(number)) is None:
                continue
            link.entry = msgspec.structs.replace(link.entry, state="gone")
            self._remember_gone(number)
            if link.connection is None:
                self.end_sessions(link, "gone")
            self._active_links[link] = None
            self._remove_if_unused(link)

    def _remove_if_unused(self, link: ServerLink) -> None:
        """A server that has gone is forgotten once nothing of ours is left there."""
        busy = self.engine.plays_at(link.number) or link.queued or link.has_setups
        if link.entry.state == "gone" and not busy:
            if self.links.get(link.number) is link:
                del self.links[link.number]
            self._discard(link)

    def _discard(self, link: ServerLink) -> None:
        """The link is of no use any more: no look finds it."""
        self._fail_link(link)
        self._active_links.pop(link, None)
        self.open_links.pop(link, None)

    def _fail_link(self, link: ServerLink) -> None:
        """Nothing goes out on this link any more. What waited is answered in the next turn: the decisions
        have heard the news by then that we are in the middle of, and would else choose the same again."""
        waiting, link.queued = link.queued, []
        for item in waiting:
            asyncio.get_running_loop().call_soon(self.fail_unsent, item, ev.Result.CONNECT_FAILED)
        link.fail_connections("gone")
        link.close()

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.SendSetup() | fx.SendRung() | fx.SendProbe():
                link = self.links.get(effect.server)
                if link is None:
                    self.fail_unsent(effect, ev.Result.MOOT)
                else:
                    link.send(effect)
            case fx.SendTeardown(sess, attempt, server):
                link = self.links.get(server)
                if link is None:
                    self._release_unlisted(server, sess)
                elif not link.withdraw_setup(sess, attempt):
                    link.send(effect)
            case fx.CloseIdle(server):
                link = self.links.get(server)
                if link is not None and link.connection is not None and not (link.has_setups or link.queued):
                    link.close_connection(link.connection, "let go")
            case _:
                raise TypeError(f"{effect} is not for servers")

    def fail_unsent(self, item: Outgoing, why: ev.Result) -> None:
        match item:
            case fx.SendSetup(sess, attempt, server):
                self.setup_answered(sess, attempt, server, why, {})
            case fx.SendProbe(server):
                self.probe_answered(server, 0, why, {})

    def setup_answered(
        self,
        sess: str,
        attempt: int,
        server: int,
        result: ev.Result | None,
        report: dict[str, float],
        passed: str = "",
    ) -> None:
        self.apply(
            lambda now: self.engine.setup_answered(now, sess, attempt, server, result, report, {}, passed)
        )

    def probe_answered(self, server: int, lag: int, result: ev.Result, report: dict[str, float]) -> None:
        self.apply(lambda now: self.engine.probed(now, server, lag, result, report))

    def end_sessions(self, link: ServerLink, why: str, standing_since: int | None = None) -> None:
        """What plays at a server now is over, or what has stood since then or longer; many sessions end in
        slices, a turn of the loop each."""
        held = self.engine.playing_at(link.number)
        if standing_since is not None:
            held = [one for one in held if one.standing_since <= standing_since]
        if not held or link.number in self._ending_sessions:
            return
        log.info(
            "sessions-lost",
            server=server_id(link.number),
            why=why,
            sessions=len(held),
            ids=[one.sess for one in held[:MAX_IDS_LOGGED]],
            signs=link.lease.chain(clock()),
        )
        self._ending_sessions[link.number] = deque((one.sess, one.attempt) for one in held)
        if not self._ending_scheduled:
            self._ending_scheduled = True
            asyncio.get_running_loop().call_soon(self._end_next_sessions)

    def _end_next_sessions(self) -> None:
        left = MAX_SESSIONS_ENDED_PER_TURN
        while self._ending_sessions and left:
            number, sessions = next(iter(self._ending_sessions.items()))
            while sessions and left:
                sess, attempt = sessions.popleft()
                left -= 1
                self._end_session(sess, attempt)
            if not sessions:
                del self._ending_sessions[number]
        self._ending_scheduled = bool(self._ending_sessions)
        if self._ending_scheduled:
            asyncio.get_running_loop().call_soon(self._end_next_sessions)

    def _end_session(self, sess: str, attempt: int) -> None:
        self.apply(lambda now: self.engine.stream_ended(now, sess, attempt, "lost"))

    def expect_sessions(self, server: int) -> None:
        """Sessions play there from before our start: what the server says of them needs a connection.

        A server that the list does not name yet is waited for; one that it has removed is gone."""
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
        """The list names a server for the first time: sessions may play there, releases may be pending."""
        self._gone_servers.pop(link.number, None)
        self._unlisted_since.pop(link.number, None)
        for sess in self._unlisted_releases.pop(link.number, {}):
            link.queue_release(sess)
        if link.pending_releases or self.engine.plays_at(link.number):
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
        """Called every quarter of a second or so."""
        for link in list(self._active_links):
            link.tick(now, idle)
            self._remove_if_unused(link)
            if not link.active:
                self._active_links.pop(link, None)
        self._check_unlisted(now)
        self._check_leases(now)

    def _check_leases(self, now: int) -> None:
        """No session stands at a server past its lease, whatever a look has left undone."""
        for number in self.engine.servers_in_use():
            link = self.links.get(number)
            if link is None and number not in self._unlisted_since:
                self._report_overdue(number, "no link", ())
                self._server_lost(number)
            elif number in self._ending_sessions:
                continue  # it is being carried out
            elif link is not None and link.lease.is_overdue(now, LEASE_OVERDUE_AFTER_US):
                self._report_overdue(number, "lease over", tuple(link.lease.chain(now)))
                link.give_up(now, "overdue")

    def _report_overdue(self, number: int, why: str, signs: tuple[str, ...]) -> None:
        self.violations.add(Invariant.LEASE_IN_TIME, server_id(number), why, signs)

    def lease_counts(self, now: int) -> dict[str, int]:
        """Servers with sessions by the state of their lease, and the oldest proof of any (ms)."""
        told, oldest = dict[str, int](), 0
        for number in self.engine.servers_in_use():
            if (link := self.links.get(number)) is not None:
                told[link.lease.state.value] = told.get(link.lease.state.value, 0) + 1
                oldest = max(oldest, now - (link.lease.proven_at or now))
        return told | {"oldest_proof_ms": oldest // 1000}

    async def close(self, until: int) -> None:
        """End every connection once what was written to it has left, `until` at the latest."""
        while any(link.unsent for link in self._active_links if link.connection) and clock() < until:
            await asyncio.sleep(FLUSH_POLL_S)
        for link in {**self._active_links, **self.open_links}:
            link.close()
