"""All decisions of one front: the server and the rung of every session, from its request to its end.

The caller is `ponddoor.runtime.driver.Driver`: it sets the clock, passes every event to `Front.observe` and
runs the generators `session`, `handed_over` and `upkeep`. What these yield and are resumed with is defined in
`ponddoor/interface` (facts, events, actions, words); what a front remembers is in `ponddoor/state.py`.
docs/design.md relates this module to the design.

Mechanisms beyond the design:
1. admission: the six rules, checked at the one place that every SETUP passes (`Front.eligible_holders`);
2. health: backoff of a server after failed set-ups, then a trial by a single session
   (`Front.setup_backoff_until`);
3. retries: set-up timeouts that leave time for another holder (`Front.setup_timeout`);
4. gossip: rates, load reports and evidence are sent to the owners of a group of racks, which reply to
   queries (`Front.update_owners`, `Front.answer_queries`; the data is kept in `ponddoor/fleet`);
5. a query to owners, or probes of two holders, before a placement where demand is not fully known
   (`Front.inquire`);
6. a busy-reply where no holder has capacity left and most of our sessions are at the lowest rung
   (`Front.place`).

Times are in microseconds, rates, demand and capacity in kB a second.
"""

import functools
import heapq
import itertools
import math
from collections.abc import Iterable
from dataclasses import replace

from ponddoor.fleet.presence import Timing
from ponddoor.fleet.view import Fleet, Terms
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import words
from ponddoor.interface.events import Result, ServerState
from ponddoor.interface.facts import Effect, Reporting, Scope, SiteFacts
from ponddoor.interface.script import ResumeValue, Script, Subscript
from ponddoor.server_table import ServerTable
from ponddoor.setup_queue import SetupQueue
from ponddoor.state import LONG_AGO, Arrivals, LinkState, QueueKey, RackLoad, SeededRandom, Server, Sess

SECOND = 1_000_000  # in microseconds
# Fraction of a link or uplink kept free for true rates above the ladder's and for raises by other fronts
HEADROOM_RATIO = 0.04
RESIZE_PERIOD_TARGETS = 5  # in start targets
ARRIVAL_SAMPLES = 60  # most recent arrivals that are remembered
MIN_GAIN_COST_RATIO = 1.5  # a change of rung has to gain this multiple of its switching cost
LENGTH_HALVING_SESSIONS = 60  # after so many ended sessions, what was learned of their lengths is halved
# Assumed age of a load report on arrival: reports do not tell when they were measured
REPORT_AGE_US = SECOND // 3
# Demand counts as steady around a report if its minimum there is at least this fraction of its maximum
STEADY_DEMAND_RATIO = 0.7
# A report older than twice this is not used; delivery notes and the fleet's mean load stand in for it
REPORT_MISSING_US = 4 * SECOND
PROBE_BUDGET_POINTS = 0.01  # points of service that probing may cost
# A holder in our zone, or with sessions of ours, is preferred if it has this fraction of the most idle
PREFERRED_IDLE_RATIO = 0.5
# After a shortage an uplink's assumed capacity grows by this fraction each second
UPLINK_REGAIN_RATIO_PER_S = 0.02
# Lowest capacity that a shortage can make us assume, as a fraction of an uplink's nominal capacity
MIN_UPLINK_RATIO = 0.25
GOSSIP_PERIOD_TARGETS = 2  # in start targets
FULL_SYNC_ROUNDS = 16  # every so many rounds an owner is sent all rates, not only the changes
FULL_MESH_FRONTS = 3  # up to so many fronts, each owns all groups of racks
OWNERS_PER_GROUP = 3  # with more fronts
# Arrival rate that one group is made for, if each front has one arrival in each start target
ARRIVALS_PER_S_PER_GROUP = 50
# In a group that we own, all demand counts as known if this fraction of the other fronts has sent us all
# its rates
MIN_UPDATED_RATIO = 0.6
# and this fraction of our pings is answered
MIN_ACK_RATIO = 0.4
GROUPS_QUERIED = 3  # for one arrival
REPLY_TIMEOUT_US = SECOND // 12  # for an owner's reply or a probe's answer
DEAD_AFTER_ROUNDS = 4  # a front that does not answer is dead after so many gossip periods at the earliest
# Fraction of a holder's idle capacity that one arrival may take
IDLE_SHARE_RATIOS = (
    0.5,  # all demand on the holder is known
    0.34,  # it has reported its load recently
    0.25,  # its load is estimated
)
COLD_PACE_RATIO = 0.4  # fraction of a cold server's pace that the fronts together expect to use
# Arrivals that may choose the same holder before its known demand includes them. Up to this many competing
# fronts, changes of rung need no random spreading
LOW_CONTENTION_FRONTS = 4
PLAYER_HINT_TTL_US = 8 * SECOND  # how long a player's hint counts
# Waiting sessions that a SETUP wakes; two, so that all are soon placed once their servers are warm
WOKEN_PER_SETUP = 2
THROUGHPUT_USE_RATIO = 0.9  # fraction of a player's measured throughput that a rung may use
FIRST_SETUP_BACKOFF_US = SECOND  # after a failed set-up; doubled with each further failure
MAX_BACKOFF_DOUBLINGS = 3
# Up to this many holders of a title are all compared, and up to this many links of a rack all summed
MAX_COMPARED = 64
SAMPLED_HOLDERS = 32  # drawn at random from more holders; also the links of one refresh of a large rack
SAMPLED_IN_USE = 8  # drawn in addition from those with sessions of ours
RACK_REFRESH_PERIOD_US = SECOND // 100  # shortest time between periodic refreshes of a large rack
# Fronts that have to report failures before we avoid a server that we know nothing bad of
MIN_WITNESSES = 2
# Results that prove that the SETUP has not been executed
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class Front:
    """The decisions of one front. `servers` has all known servers by number, `uplinks` and `group_by_rack`
    are indexed by rack number."""

    def __init__(self, facts: SiteFacts, now: int) -> None:
        self.facts, self.now, self.started_at, self.chance = facts, now, now, SeededRandom(facts.seed)
        self.table = ServerTable(facts.plant)
        self.servers, self.by_rack = self.table.by_number, self.table.by_rack
        self.uplinks = [LinkState(facts.plant.uplink_kb) for _ in range(facts.plant.racks or 1)]
        self.sessions: dict[int, Sess] = {}
        self.setup_queues: dict[QueueKey, SetupQueue] = {}
        self.turns_until = LONG_AGO  # until when the heads of these queues have their turns
        self.seats_in_use: dict[tuple[int, int], int] = {}
        # Play time of all sessions together, and the number of sessions that have ended
        self.total_play_us, self.ended_sessions = 0, 0
        self.setup_lags: list[int] = []  # durations of the last successful set-ups
        self.arrivals = Arrivals(ARRIVAL_SAMPLES)
        self.request_times: list[int] = []  # requests in the time span of the retry budget
        self.retry_times: list[int] = []  # retries in the same span
        self.watching, self.mean_load_at, self.mean_load = False, LONG_AGO, 0.0
        target = min((group.start_target for group in facts.groups), default=SECOND)
        self.resize_period_us, self.gossip_period_us = (
            RESIZE_PERIOD_TARGETS * target,
            GOSSIP_PERIOD_TARGETS * target,
        )
        timing = Timing(
            self.gossip_period_us,
            REPLY_TIMEOUT_US,
            DEAD_AFTER_ROUNDS * self.gossip_period_us,
            2 * DEAD_AFTER_ROUNDS * self.gossip_period_us,
        )
        terms = Terms(
            OWNERS_PER_GROUP,
            FULL_MESH_FRONTS,
            timing,
            FIRST_SETUP_BACKOFF_US << MAX_BACKOFF_DOUBLINGS,
            DEAD_AFTER_ROUNDS * self.gossip_period_us,
            MIN_UPDATED_RATIO,
            MIN_ACK_RATIO,
            2,  # replies to fronts that have just started, per gossip period
        )
        group_count = min(len(self.uplinks), 1 + facts.fronts * SECOND // target // ARRIVALS_PER_S_PER_GROUP)
        self.fleet = Fleet(facts, now, terms, group_count)
        self.group_by_rack = [
            self.fleet.group_of(rack, len(self.uplinks)) for rack in range(len(self.uplinks))
        ]
        self.last_rack_of_group = {group: rack for rack, group in enumerate(self.group_by_rack)}
        # The last message of another front: its bytes and what they were decoded to
        self.last_message: tuple[bytes, words.Message | None] = b"", None
        self.rack_loads: dict[int, RackLoad] = {}
        self.rack_load_ttl_us = REPLY_TIMEOUT_US // 4 if self.fleet.queries_owners else 0
        self.idle_share_ratios = [max(ratio, 1 / facts.fronts) for ratio in IDLE_SHARE_RATIOS]
        self.probes_report_load = facts.permissions.probes and facts.reporting is Reporting.ON_PROBE

    def clock(self, now: int) -> None:
        """Sets the time for all that follows until the next call."""
        self.now = self.fleet.now = now

    def setup_backoff_until(self, server: Server) -> int:
        """When a server may be tried again after failed set-ups; 0 unless the last one failed.

        This treats servers alike that do not answer, hang, fail set-ups, are overloaded or are cut off: there
        is no need to tell them apart. Where set-ups fail at random on all servers, all are in backoff, and
        the holder whose backoff ends first is taken."""
        failures = sum(not ok for _, ok in server.setup_outcomes)
        backoff_us = FIRST_SETUP_BACKOFF_US << min(failures - 1, MAX_BACKOFF_DOUBLINGS) if failures else 0
        return (
            server.setup_outcomes[-1][0] + backoff_us if failures and not server.setup_outcomes[-1][1] else 0
        )

    def is_avoided(self, server: Server) -> bool:
        """Whether other fronts' evidence speaks against a server, so that not each of many fronts has to find
        out by itself. It may be tried while it has a recent unused grant.

        Our own evidence prevails where it is newer, and the evidence of a single front is not enough
        (`EvidenceSummary.is_bad`). If two fronts are cut off from a server, all avoid it needlessly until
        another front reports a success or the evidence expires."""
        evidence = self.fleet.evidence.summary(self.now, server.row.server, self.facts.me)
        own_last = max((ended_at for ended_at, _ in server.setup_outcomes), default=LONG_AGO)
        return (
            evidence.is_bad(MIN_WITNESSES, own_last) and server.unused_grant_at <= self.now - REPLY_TIMEOUT_US
        )

    def observe(self, event: ev.Event) -> None:
        """Records an event. The scripts that wait for it are resumed by the caller afterwards."""
        match event:
            case ev.ServerNews():
                self.record_server_news(event)
            case ev.SessionRequest():
                self.arrivals.record(self.now, event.home, event.span)
                since = self.now - self.facts.rules.resend_span
                self.request_times = [*(at for at in self.request_times if at > since), self.now]
            case ev.Started():
                self.setup_lags = [*self.setup_lags[-29:], event.lag]
                self.record_setup_outcome(self.servers[event.server], True)
            case ev.Ended():
                self.record_end(event)
            case ev.Note():
                self.record_note(event)
            case ev.Probed():
                self.record_probe(event)
            case ev.PeerMessage():
                self.record_peer_message(event)
            case ev.PlayerHint() if event.req_id in self.sessions:
                self.sessions[event.req_id].means = event.means
            case ev.ServerHint() if event.server in self.servers and event.duress:
                self.add_link_report(self.servers[event.server], event.taken, 1.0)
            case ev.ViewerLeft() if event.req_id in self.sessions:
                self.sessions[event.req_id].viewer_done = True

    def record_server_news(self, news: ev.ServerNews) -> None:
        self.watching = news.scope is not ev.NewsScope.FAILED
        if news.scope in (
            ev.NewsScope.FULL,
            ev.NewsScope.CACHED,
        ):  # a server missing from a full list is gone
            named = {row.server for row in news.rows}
            for server in [s for number, s in self.table.running.items() if number not in named]:
                self.record_row(replace(server.row, state=ServerState.GONE))
        for row in news.rows:
            self.record_row(row)

    def record_row(self, row: ev.ServerRow) -> None:
        server = self.servers.get(row.server) or self.table.add(row)
        if row.state is ServerState.GONE:
            row = replace(server.row, state=ServerState.GONE)  # the row of a server that is gone may be bare
        elif row.started_at > server.row.started_at:  # a new process: observations of the old one are void
            server.setup_outcomes, server.delivery_notes, server.link.reports, server.seen_down_at = (
                [],
                [],
                [],
                None,
            )
            server.told_warm_at = LONG_AGO
            self.table.reports_changed(server)
            self.fleet.evidence.forget(row.server)
            self.fleet.counts.clear_key(row.server)
        rack_before = self.running_rack(server)
        self.table.update_row(server, row)
        self.mark_stale(server)
        if rack_before != (rack_after := self.running_rack(server)):
            self.move_demand(server, rack_before, rack_after)

    def running_rack(self, server: Server) -> int | None:
        """The number of its rack; None if the server is gone."""
        running = server.row.server in self.table.running
        return self.rack_number(server) if running else None

    def move_demand(self, server: Server, rack_before: int | None, rack_after: int | None) -> None:
        """Moves a server's known demand from the sum of its old rack to that of its new one. Only large racks
        keep such a sum; for the others it is computed anew from the links."""
        demand = server.link.known_demand[-1][1]
        for number, change in ((rack_before, -demand), (rack_after, demand)):
            if number is not None and change and len(self.by_rack[number]) > MAX_COMPARED:
                uplink = self.uplinks[number]
                uplink.known_demand = [
                    *uplink.known_demand[-99:],
                    (self.now, uplink.known_demand[-1][1] + change),
                ]
            if number is not None and (load := self.rack_loads.get(number)) is not None:
                load.stale_servers.add(server.row.server)

    def record_probe(self, event: ev.Probed) -> None:
        server, ok = self.servers.get(event.server), event.result is Result.SERVED
        if server is None:
            return
        # An answered probe proves that the server runs, not that set-ups succeed
        if not ok or server.seen_down_at is not None:
            self.record_setup_outcome(server, ok)
        self.record_report(server, event.report)

    def add_link_report(self, server: Server, measured_at: int, ratio: float) -> None:
        """Adds a load report of a server's link."""
        server.link.add_report(measured_at, ratio)
        self.table.reports_changed(server)
        self.mark_stale(server)

    def mark_stale(self, server: Server) -> None:
        """Marks a link for recomputation before the next use of its rack's load, if the rack is large."""
        if (load := self.rack_loads.get(server.row.cell % len(self.uplinks))) is not None:
            load.stale_servers.add(server.row.server)

    def record_setup_outcome(self, server: Server, ok: bool) -> None:
        """Records that a set-up, or a probe that stands for one, succeeded or failed."""
        server.setup_outcomes = [*server.setup_outcomes[-5:], (self.now, ok)]
        self.fleet.record_own(
            server.row.server,
            server.outcomes_since(self.now - (FIRST_SETUP_BACKOFF_US << MAX_BACKOFF_DOUBLINGS)),
        )
        server.unsent_outcome |= not ok or self.fleet.evidence.summary(self.now, server.row.server).failed > 0
        self.table.mark_unsent(server)
        if ok and server.seen_down_at is not None:
            # Its process may have restarted without discovery having told us yet
            restart_unlisted = server.row.started_at < server.seen_down_at
            server.seen_up_at, server.seen_down_at = self.now if restart_unlisted else server.seen_up_at, None
            self.table.mark_possibly_cold(server)

    def record_end(self, event: ev.Ended) -> None:
        sess, server = self.sessions.get(event.req_id), self.servers.get(event.server)
        if sess is None or server is None:
            return
        self.record_report(server, event.report)
        if event.result in (Result.CONNECT_FAILED, Result.RESET):
            server.seen_down_at = self.now
        if event.result is Result.FULL and self.facts.plant.refuse_at:
            self.add_link_report(server, self.now, max(self.facts.plant.refuse_at, 1.0))
        elif event.result is Result.ERROR and (
            also_failed := [
                self.servers[number]
                for number, _, result in sess.attempts
                if result is Result.ERROR and number != event.server and number in self.servers
            ]
        ):
            # Two servers have failed the same request, so the request is at fault: the failure is not counted
            # against this server, and the last one is taken back for the others
            for blamed in also_failed:
                failures = [i for i, (_, ok) in enumerate(blamed.setup_outcomes) if not ok]
                blamed.setup_outcomes = [
                    outcome for i, outcome in enumerate(blamed.setup_outcomes) if i not in failures[-1:]
                ]
        elif event.result not in (Result.SERVED, Result.CANCELLED, Result.MOOT):
            self.record_setup_outcome(server, False)
        sess.attempts[event.attempt] = (*sess.attempts[event.attempt][:2], event.result)
        if event.result is Result.SERVED and sess.playing_since is not None:
            self.ended_sessions += 1
        self.release(sess)
        if sess.viewer_done:
            self.close_session(sess)

    def record_note(self, note: ev.Note) -> None:
        sess, server = self.sessions.get(note.req_id), self.servers.get(note.server)
        if sess is None or server is None:
            return
        just_started = sess.playing_since is None or self.now - sess.playing_since < SECOND // 10
        measured_at = self.now if just_started else self.now - self.facts.plant.note_delay
        match note.kind:
            case ev.NoteKind.RUNG:
                sess.rung = round(note.value)
                self.update_known_demand(server)
            case ev.NoteKind.LINK_ASKED:
                server.reported_load = note.value
                self.add_link_report(server, measured_at, note.value)
            case ev.NoteKind.UPLINK_ASKED:
                self.uplink(server).add_report(measured_at, note.value)
            case ev.NoteKind.DELIVERED:
                server.unsent_delivery = (measured_at, note.value)
                self.table.mark_unsent(server)
                self.record_delivery(server, measured_at, note.value)

    def record_delivery(self, server: Server, measured_at: int, ratio: float) -> None:
        """Learns from a note which fraction of its sessions' rates a server delivered.

        This finds overload where titles exceed the rate of their rung, and where load reports are late, are
        missing or do not go beyond 1. The better of the last two notes counts, so that a brief pause, which
        shows in one note only, moves no sessions. If most servers of a rack fall short at once, the uplink is
        short, unless most of their links are full."""
        server.delivery_notes = [*server.delivery_notes[-1:], (measured_at, ratio)]
        best_ratio = max(ratio for _, ratio in server.delivery_notes)
        if ratio >= 0.98:  # full delivery disproves the earlier reports of a shortage
            server.link.reports = [
                (reported_at, load)
                for reported_at, load in server.link.reports
                if load < 1 or reported_at > measured_at
            ]
            self.table.reports_changed(server)
        if best_ratio >= 0.98 or len(server.delivery_notes) < 2:
            return
        uplink = self.uplink(server)
        if (
            "uplink_asked" in self.facts.report_fields
            and self.has_recent_report(uplink)
            and uplink.reports[-1][1] >= 0.97
            and server.reported_load < min(uplink.reports[-1][1], 0.97)
        ):
            uplink.add_report(measured_at, max(1 / max(best_ratio, 0.1), uplink.reports[-1][1]))
            return
        rack_servers = self.rack_servers(server)
        if len(rack_servers) > MAX_COMPARED:  # in a large rack the servers with sessions of ours suffice
            rack_servers = [s for s in self.table.in_use() if self.uplink(s) is uplink][:MAX_COMPARED]
        in_use = [s for s in rack_servers if s.sessions or self.fleet.counts.likely(s.row.server)]
        short_ratios = [
            s.delivery_notes[-1][1]
            for s in in_use
            if s.delivery_notes
            and s.delivery_notes[-1][1] < 0.98
            and s.delivery_notes[-1][0] > measured_at - 2 * SECOND
        ]
        full_links = sum(s.link.reports[-1][1] >= 0.99 for s in in_use if self.has_recent_report(s.link))
        if len(short_ratios) < 2 or 2 * len(short_ratios) <= len(in_use) or 2 * full_links > len(in_use):
            self.add_link_report(server, measured_at, 1 / max(best_ratio, 0.1))
        elif "uplink_asked" not in self.facts.report_fields and self.is_demand_steady(uplink, measured_at):
            demand = (
                uplink.known_demand_at(measured_at)
                if self.all_demand_known(server)
                else self.rack_demand(server)
            )
            uplink.shortage = (measured_at, demand * max(*short_ratios, 0.1))

    def record_report(self, server: Server, report: dict[str, float]) -> None:
        """Records the load fields of a report that came with a probe or the end of a set-up."""
        measured_at, ratio = self.now - REPORT_AGE_US, report.get("link_asked", report.get("util"))
        if ratio is not None:
            if (
                "link_asked" not in report
                and ratio >= 0.99
                and server.delivery_notes
                and server.delivery_notes[-1][1] < 0.98
            ):
                # `util` does not go beyond 1: the delivery notes tell how far demand exceeds capacity
                ratio = 1 / max(server.delivery_notes[-1][1], 0.1)
            self.add_link_report(server, measured_at, ratio)
            server.unsent_report, server.reported_load = (measured_at, ratio), ratio
            self.table.mark_unsent(server)
        if "uplink_asked" in report:
            self.uplink(server).add_report(measured_at, report["uplink_asked"])

    def record_peer_message(self, message: ev.PeerMessage) -> None:
        decoded = words.unpack(message.payload)
        self.last_message = message.payload, decoded
        for number in self.fleet.receive(message.peer, decoded):
            self.update_known_demand_of(number)
        if isinstance(decoded, words.QueryReply):
            queried_at = self.fleet.match_reply(message.peer, decoded)
            for status in decoded.statuses if queried_at is not None else ():
                if (server := self.servers.get(status.server)) is not None and queried_at is not None:
                    server.apply_reply(queried_at, status)
        elif isinstance(decoded, words.RateUpdate):
            for rate in [rate for rate in decoded.rates if rate.server in self.servers]:
                server = self.servers[rate.server]
                if rate.delivered and (
                    not server.delivery_notes or server.delivery_notes[-1][0] < self.now - rate.delivered.age
                ):
                    self.record_delivery(server, self.now - rate.delivered.age, rate.delivered.value)
                measured_at = self.now - (rate.load.age if rate.load else 0)
                if rate.load and (not server.link.reports or server.link.reports[-1][0] < measured_at):
                    self.add_link_report(server, measured_at, rate.load.value)

    def uplink(self, server: Server) -> LinkState:
        """The uplink of the server's rack."""
        return self.uplinks[server.row.cell % len(self.uplinks)]

    def has_recent_report(self, link: LinkState) -> bool:
        return bool(link.reports) and link.reports[-1][0] > self.now - 2 * REPORT_MISSING_US

    def update_known_demand(self, server: Server) -> None:
        """Recomputes the known demand on a server's link and on its rack's uplink after a change of our
        sessions there or of the rates that other fronts told us."""
        self.table.sessions_changed(server)
        demand = server.own_demand() + self.fleet.counts.likely(server.row.server)
        before = server.link.known_demand[-1][1]
        server.link.known_demand = [*server.link.known_demand[-39:], (self.now, demand)]
        self.mark_stale(server)
        uplink, rack_servers = self.uplink(server), self.rack_servers(server)
        rack_demand = (
            sum(s.link.known_demand[-1][1] for s in rack_servers)
            if len(rack_servers) <= MAX_COMPARED
            else uplink.known_demand[-1][1]
            + (demand - before if self.running_rack(server) is not None else 0.0)
        )
        uplink.known_demand = [*uplink.known_demand[-99:], (self.now, rack_demand)]

    def update_known_demand_of(self, number: int) -> None:
        """As `update_known_demand`, by the server's number; unknown servers are ignored."""
        if number in self.servers:
            self.update_known_demand(self.servers[number])

    def all_demand_known(self, server: Server) -> bool:
        """Whether we own the server's group and know the rates of most fronts there."""
        return self.fleet.is_synced(self.group_of(server))

    def group_of(self, server: Server) -> int:
        return self.group_by_rack[server.row.cell % len(self.uplinks)]

    def mean_fleet_load(self) -> float:
        """Mean load ratio of the servers, by their recent reports. Without any report, the other fronts are
        assumed to have as much demand as this one."""
        if self.mean_load_at != self.now:
            load = self.table.mean_reported_load(self.now - 2 * REPORT_MISSING_US)
            if load is None:
                fleet_demand = sum(s.own_demand() for s in self.table.in_use()) * self.facts.fronts
                load = fleet_demand / max(self.table.total_capacity_kb, 1.0)
            self.mean_load_at, self.mean_load = self.now, load
        return self.mean_load

    def demand(self, server: Server) -> float:
        """Demand on a server's link: from an owner's reply, else the known rates if they are complete, else
        the last load report plus what is known to have changed since.

        Without a recent report, a server is assumed to be as loaded as the mean of those with one, and less
        if it started recently. Otherwise no session would go to a server with an old high report, and none
        would bring a new one. This is wrong where the servers without reports are the loaded ones."""
        if self.has_recent_reply(server):
            return server.last_reply[2] + server.own_demand()
        known = server.link.known_demand[-1][1]
        if self.all_demand_known(server):
            return known
        if self.has_recent_report(server.link):
            return max(server.own_demand(), server.link.unaccounted_demand() + known)
        age_ratio = (self.now - server.process_started_at()) / self.facts.rules.cold
        return max(
            server.own_demand(), server.link.capacity_kb * self.mean_fleet_load() * min(1.0, age_ratio)
        )

    def has_recent_reply(self, server: Server) -> bool:
        return server.last_reply[0] > self.now - self.gossip_period_us

    def idle_by_server(self, servers: list[Server], share: float | None = None) -> dict[int, float]:
        """Idle capacity of these servers that this front may use, negative where demand exceeds capacity: the
        link's capacity less headroom and demand, limited to the server's share of its rack's idle uplink.

        All fronts see the same idle capacity at the same time, so a front takes only a `share` of it. By
        default that is the share of one arrival, which is smaller where the load is estimated."""
        idle_by_number = dict[int, float]()
        racks = {s.row.server: s.row.cell % len(self.uplinks) for s in servers}
        for server in servers:  # in large racks these links are recomputed as of now
            self.mark_stale(server)
        loads = {rack: self.rack_load(rack) for rack in set(racks.values())}
        for server in servers:
            number, link = server.row.server, server.link
            load = loads[racks[number]]
            residual, uncertainty = (
                load.residual_kb.get(number, 0.0),
                0 if self.all_demand_known(server) else 1 if self.has_recent_report(link) else 2,
            )
            usable = min(
                residual * (share or self.idle_share_ratios[uncertainty]),
                load.uplink_residual_kb * residual / load.residual_divisor_kb * (share or 1),
            )
            idle = usable if residual > 0 else residual
            uplink_excess = (
                load.uplink_residual_kb * load.demand_kb.get(number, 0.0) / max(load.total_demand_kb, 1.0)
            )
            idle_by_number[number] = idle if load.uplink_residual_kb >= 0 else min(residual, uplink_excess)
        for server in filter(self.has_recent_reply, servers):
            residual = server.last_reply[1] - server.own_demand()
            idle_by_number[server.row.server] = (
                residual * (share or self.idle_share_ratios[0]) if residual > 0 else residual
            )
        return idle_by_number

    def rack_load(self, number: int) -> RackLoad:
        """Demand and residual capacity of a rack's links and uplink.

        In a fleet that queries its owners, the result is kept until the rack's known demand changes, for
        `rack_load_ttl_us` at most: most of an owner's processor time goes here. Large racks are kept up to
        date link by link (`refresh_rack_load`)."""
        uplink, rack_servers = self.uplinks[number], self.by_rack[number]
        cached, large = self.rack_loads.get(number), len(rack_servers) > MAX_COMPARED
        if cached is not None and large:
            self.refresh_rack_load(number, cached)
            return cached
        if (
            cached is not None
            and not large
            and cached.known_demand is uplink.known_demand
            and self.now - cached.computed_at < self.rack_load_ttl_us
        ):
            return cached
        demand_kb = {s.row.server: self.demand(s) for s in rack_servers}
        residual_kb = {
            s.row.server: self.link_capacity(s) * (1 - HEADROOM_RATIO) - demand_kb[s.row.server]
            for s in rack_servers
        }
        positive_kb = sum(kb for kb in residual_kb.values() if kb > 0)
        load = RackLoad(
            self.now, uplink.known_demand, residual_kb, demand_kb, positive_kb, sum(demand_kb.values())
        )
        load.uplink_residual_kb = self.uplink_residual(uplink, load.total_demand_kb)
        self.rack_loads[number] = load
        return load

    def refresh_rack_load(self, number: int, load: RackLoad) -> None:
        """Updates the load of a large rack: the stale links and, once in a while, the next few in turn."""
        stale, load.stale_servers = load.stale_servers, set()
        if self.now - load.computed_at >= RACK_REFRESH_PERIOD_US:
            load.computed_at, rack_servers = self.now, self.by_rack[number]
            load.refresh_offset = (load.refresh_offset + SAMPLED_HOLDERS) % len(rack_servers)
            stale.update(
                s.row.server
                for s in rack_servers[load.refresh_offset : load.refresh_offset + SAMPLED_HOLDERS]
            )
        for server_number in sorted(stale):
            server = self.servers.get(server_number)
            gone = server is None or server.row.state is ServerState.GONE
            if server is None or gone or self.rack_number(server) != number:
                load.remove_link(server_number)
            else:
                demand = self.demand(server)
                load.set_link(
                    server_number, self.link_capacity(server) * (1 - HEADROOM_RATIO) - demand, demand
                )
        load.uplink_residual_kb = self.uplink_residual(self.uplinks[number], load.total_demand_kb)

    def uplink_residual(self, uplink: LinkState, links_demand_kb: float) -> float:
        """Residual capacity of an uplink, given the sum of the demand on its rack's links. Recent reports of
        the uplink itself take precedence over that sum."""
        total = links_demand_kb
        if "uplink_asked" in self.facts.report_fields and self.has_recent_report(uplink):
            total = uplink.unaccounted_demand() + uplink.known_demand[-1][1]
        return self.uplink_capacity(uplink, total) * (1 - HEADROOM_RATIO) - total

    def rack_number(self, server: Server) -> int:
        return server.row.cell % len(self.uplinks)

    def rack_demand(self, server: Server) -> float:
        """Total demand on the links of the server's rack."""
        rack_servers = self.rack_servers(server)
        if len(rack_servers) <= MAX_COMPARED:
            return sum(map(self.demand, rack_servers))
        return self.rack_load(self.rack_number(server)).total_demand_kb

    def arrival_share(self) -> float:
        """The share of a holder's idle capacity that one arrival may take, so that it suffices for all that
        are expected there before known demand includes the first."""
        facts = self.facts
        delay = (
            REPLY_TIMEOUT_US
            if self.fleet.gossip_enabled
            else facts.plant.note_delay + facts.plant.note_every // 2
        )
        fleet_arrivals_per_s = self.arrivals.rate_per_s(self.now, 10 * SECOND) * facts.fronts
        concurrent = fleet_arrivals_per_s / max(len(self.table.ready), 1) * delay / SECOND
        return 1 / (1 + min(concurrent, (facts.fronts - 1)))

    def rack_servers(self, server: Server) -> list[Server]:
        """All servers of the server's rack that are not gone."""
        return self.by_rack[server.row.cell % len(self.uplinks)]

    def link_capacity(self, server: Server) -> float:
        """Capacity of a server's link: the median of what reports showed (known demand over reported load
        ratio) where all demand is known, else the nominal one, reduced while the server is cold."""
        link, cold, cold_ratio = server.link, self.facts.rules.cold, self.facts.rules.cold_from
        # Reports of `util` do not go beyond 1. Near 1 demand may exceed capacity, so they must not make us
        # assume more than the nominal capacity
        reliable_below = math.inf if "link_asked" in self.facts.report_fields else 0.9
        estimates = (
            sorted(
                min(
                    link.known_demand_at(measured_at) / ratio,
                    math.inf if ratio < reliable_below else link.capacity_kb,
                )
                for measured_at, ratio in link.reports
                if ratio > 0.25
                and measured_at > self.fleet.synced_since[self.group_of(server)]
                and self.is_demand_steady(link, measured_at)
            )
            if self.all_demand_known(server)
            else []
        )
        if estimates:
            return min(max(estimates[len(estimates) // 2], link.capacity_kb * 0.1), link.capacity_kb * 1.6)
        return link.capacity_kb * min(
            1.0, cold_ratio + (1 - cold_ratio) * (self.now - server.process_started_at()) / cold
        )

    def is_demand_steady(self, link: LinkState, measured_at: int) -> bool:
        """Whether known demand was steady around a report, so that a capacity may be learned from it.

        The age of a report is only estimated. If known demand changes fast, as after a loss of sessions, a
        tenth of the true capacity would be learned. During a long rise nothing is learned."""
        known = [link.known_demand_at(measured_at + shift) for shift in (-REPORT_AGE_US, 0, REPORT_AGE_US)]
        return min(known) >= STEADY_DEMAND_RATIO * max(known)

    def uplink_capacity(self, uplink: LinkState, demand_kb: float) -> float:
        """Capacity of an uplink: the nominal one or, after a shortage, the rate that was delivered then.
        While there is no further shortage, it is raised little by little, up to slightly above demand."""
        since, capacity = uplink.shortage or (self.started_at, uplink.capacity_kb)
        if "uplink_asked" in self.facts.report_fields:
            return uplink.capacity_kb
        capacity = max(capacity, uplink.capacity_kb * MIN_UPLINK_RATIO)
        return min(
            capacity * (1 + UPLINK_REGAIN_RATIO_PER_S * (self.now - since) / SECOND),
            max(capacity, uplink.capacity_kb, demand_kb * 1.1),
        )

    def utility_per_rate(self, sess: Sess, rung: int) -> float:
        """Utility per rate of the step to `rung` from the rung below."""
        ladder, rung = sess.ladder, min(rung, len(sess.ladder.rate_kb) - 1)  # a ladder may have one rung
        step_kb = sess.rate(rung) - sess.rate(rung - 1)
        return sess.group.utility * (ladder.utility[rung] - ladder.utility[rung - 1]) / max(step_kb, 1e-9)

    def assign_rungs(self, sessions: list[Sess], budget_kb: float, max_rungs: list[int]) -> list[int]:
        """The design's greedy loop: all sessions start at their floor, then the session whose next step has
        the highest utility per rate takes it, until the budget is used up. Returns a rung per session."""
        # The floor is a term of the service group: it holds also for players that can use less
        rungs = [sess.group.floor for sess in sessions]
        budget_kb -= sum(sess.rate(rung) for sess, rung in zip(sessions, rungs, strict=True))
        steps = [
            (-self.utility_per_rate(sess, rung + 1), i)
            for i, (sess, rung) in enumerate(zip(sessions, rungs, strict=True))
            if rung < max_rungs[i]
        ]
        heapq.heapify(steps)
        while steps:
            _, i = heapq.heappop(steps)
            step_kb = sessions[i].rate(rungs[i] + 1) - sessions[i].rate(rungs[i])
            if step_kb > budget_kb:  # the budget only shrinks, so no later step of this session fits either
                continue
            rungs[i] += 1
            budget_kb -= step_kb
            if rungs[i] < max_rungs[i]:
                heapq.heappush(steps, (-self.utility_per_rate(sessions[i], rungs[i] + 1), i))
        return rungs

    def usable_rung(self, sess: Sess) -> int:
        """The highest rung that the player can use, by its last hint if that is recent.

        Rates beyond it would be reserved and not used, and a starving player is not raised. If a player's
        measurement is low only for a moment, the limit lasts until its next hint or the hint's expiry."""
        means, rung = sess.means, sess.top
        if means is None or means.taken <= self.now - PLAYER_HINT_TTL_US:
            return rung
        max_rate_kb = min(means.top_kb or math.inf, (means.throughput_kb or math.inf) * THROUGHPUT_USE_RATIO)
        while rung > sess.group.floor and sess.rate(rung) > max_rate_kb:
            rung -= 1
        hold = sess.playing_since is not None and self.is_starving(sess)
        return max(min(rung, sess.rung), sess.group.floor) if hold else rung

    def is_starving(self, sess: Sess) -> bool:
        """Whether the player's recent hint says that it has starved or runs out of media in half a second."""
        means = sess.means
        if means is None or means.taken <= self.now - PLAYER_HINT_TTL_US:
            return False
        time_left = min(SECOND if value is None else value for value in (means.buffer, means.due))
        return means.starved or time_left < SECOND // 2

    def place(self, sess: Sess) -> Server | None:
        """Chooses the server of a session and sets its rung. None: no holder is eligible, or none has
        capacity left and most of our sessions are at their floor.

        The rung is sized by the holders' pooled idle capacity, the holder with the most idle capacity is
        taken (a holder in our zone or in use may have less), and the rung is lowered until it fits there."""
        eligible = self.eligible_holders(sess)
        if not eligible:
            return None
        candidates = [s for s in eligible if self.setup_backoff_until(s) <= self.now]
        candidates = (
            [s for s in candidates if all(s.row.server != number for number, _, _ in sess.attempts)]
            or candidates
            or [min(eligible, key=lambda s: (self.setup_backoff_until(s), s.row.server))]
        )
        # At most half of a title's holders are avoided: other fronts' evidence must not leave none
        avoided = list(filter(self.is_avoided, candidates))[: len(eligible) // 2]
        candidates = [s for s in candidates if s not in avoided] or candidates
        candidates = list(filter(self.has_recent_reply, candidates)) or candidates
        idle = self.idle_by_server(candidates)
        # Fronts with the same view must not all choose the same one of several equal holders
        first = self.chance.draw(len(candidates))
        by_idle = sorted(candidates[first:] + candidates[:first], key=lambda s: -idle[s.row.server])
        best, min_ratio = by_idle[0], PREFERRED_IDLE_RATIO if self.facts.prices.cross_zone > 0 else 1.0
        same_zone = next((s for s in by_idle if s.row.zone == self.facts.zone), best)
        best = same_zone if idle[same_zone.row.server] >= min_ratio * idle[best.row.server] > 0 else best
        # With hundreds of fronts, not each should connect to all servers and ask all of them for signs of
        # life: a server that has sessions of ours is good enough. Our sessions alone could fill a link this
        # way, so it must have at least half of the best one's idle capacity
        in_use = next((s for s in by_idle if s.sessions and s.row.zone == best.row.zone), best)
        many_fronts = self.fleet.gossip_enabled and self.facts.fronts > LOW_CONTENTION_FRONTS
        best = (
            in_use
            if many_fronts and idle[in_use.row.server] >= PREFERRED_IDLE_RATIO * idle[best.row.server] > 0
            else best
        )
        if idle[best.row.server] < 0:
            playing = [s for s in self.sessions.values() if s.playing_since is not None]
            # Few sessions can be lowered to make room: one more would cost the others more than it gains
            if sum(s.rung <= s.group.floor for s in playing) * 2 > len(playing) > 1:
                return None
        holder_count = self.table.holder_count(sess.req.home, sess.req.span)
        holders_per_sample = (
            holder_count / (SAMPLED_HOLDERS + SAMPLED_IN_USE) if holder_count > MAX_COMPARED else 1.0
        )
        pooled_idle = sum(max(0.0, kb) for kb in idle.values()) * holders_per_sample
        sess.rung = self.assign_rungs([sess], pooled_idle, [self.usable_rung(sess)])[0]
        max_rate_kb = min(
            idle[best.row.server], self.idle_by_server([best], self.arrival_share())[best.row.server]
        )
        while sess.rung > sess.group.floor and sess.rate(sess.rung) > max_rate_kb:
            sess.rung = self.assign_rungs([sess], pooled_idle, [sess.rung - 1])[0]
        return best

    # Admission: every SETUP passes these rules when it is sent

    def eligible_holders(self, sess: Sess, paced: bool = True) -> list[Server]:
        """The holders of the session's title to which a SETUP may be sent now; without `paced`, also those
        that may be sent to later because they are, or may be, cold."""
        if self.retries_exhausted(sess) or 0 < sess.group.seats <= self.seats_in_use.get(sess.seat_key(), 0):
            return []
        return [
            s
            for s in self.candidate_holders(sess.req.home, sess.req.span)
            if self.may_resend(sess, s) and not (paced and self.paced_until(s) > self.now)
        ]

    def candidate_holders(self, home: int, span: int) -> list[Server]:
        """The holders of a title; if there are very many, a random sample and some that we have sessions on.

        Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001: the best of a few
        drawn at random is close to the best of all."""
        count, holds = self.table.holder_count(home, span), self.facts.plant.holds
        if count <= MAX_COMPARED:
            return self.table.holders(home, span)
        sampled = self.table.holders_at_positions(
            home, span, (self.chance.draw(count) for _ in range(SAMPLED_HOLDERS))
        )
        in_use = [
            s
            for s in self.table.in_use()
            if s.row.state is ServerState.READY and holds(s.row.cell, home, span)
        ]
        first = self.chance.draw(max(len(in_use), 1))
        sampled_in_use = (in_use[first:] + in_use[:first])[:SAMPLED_IN_USE]
        return sorted({s.row.server: s for s in (*sampled, *sampled_in_use)}.values(), key=lambda s: s.order)

    def retries_exhausted(self, sess: Sess) -> bool:
        """Whether no further SETUP may be sent for a session: it has used up its attempts, or the retry
        budget is spent. `serve` never has more than one SETUP of a session in flight."""
        rules, since = self.facts.rules, self.now - self.facts.rules.resend_span
        if rules.spare_setups is None or not sess.attempts:
            return len(sess.attempts) >= self.facts.permissions.max_attempts
        requests, retries = (
            sum(at > since for at in self.request_times),
            sum(at >= since for at in self.retry_times),
        )
        over_budget = retries + 1 > rules.spare_setups + rules.resend_ratio * requests
        return over_budget or len(sess.attempts) >= self.facts.permissions.max_attempts

    def may_resend(self, sess: Sess, server: Server) -> bool:
        """Whether the set-up may be sent again, to this server, given the earlier attempts.

        An unsafe set-up: only if it is proven that none was executed. A keyed one: also to servers that
        remember the key together with those that may have executed it, for as long as they remember it."""
        if not sess.attempts or sess.group.effect is Effect.SAFE:
            return True
        may_have_run = [
            (self.servers[number].row, sent_at)
            for number, sent_at, result in sess.attempts
            if result not in NEVER_RAN and number in self.servers
        ]
        if all(result in NEVER_RAN for _, _, result in sess.attempts):
            return True
        if len(may_have_run) < sum(result not in NEVER_RAN for _, _, result in sess.attempts):
            return False  # a server that may have executed it is not known any more
        shares_memory = {
            Scope.ALL: True,
            Scope.ZONE: all(row.zone == server.row.zone for row, _ in may_have_run),
            Scope.CELL: all(row.cell == server.row.cell for row, _ in may_have_run),
        }[sess.group.scope]
        return (
            sess.group.effect is Effect.KEYED
            and shares_memory
            and all(self.now < sent_at + sess.group.memory for _, sent_at in may_have_run)
        )

    def paced_until(self, server: Server) -> int:
        """When this front may next send to a server that is cold or may be; 0 or a past time: now.

        If the server is known to be cold, or was seen down, time is divided into slots of one set-up each and
        the fronts take turns. In N slots at most N set-ups plus one run of them are sent, even if fronts do
        not hear each other. If this front has just started and no front says that the server is warm, its own
        set-ups are spaced by its share of the slots; the first one need not wait for a turn."""
        rules, fronts = self.facts.rules, self.facts.fronts
        known_cold = self.is_cold(server)
        if (
            not known_cold
            and server.seen_down_at is None
            and (self.now - self.started_at >= rules.cold or self.is_warm(server))
        ):
            return 0
        if server.unused_grant_at > self.now - REPLY_TIMEOUT_US:
            return 0
        slot_us = self.cold_slot_us(server)
        if not known_cold and server.seen_down_at is None:
            return server.last_setup_at + slot_us * fronts
        if (
            known_cold
            and self.fleet.queries_owners
            and not self.fleet.shares.may_use_own(self.now, self.group_of(server))
        ):
            # Our share is lent, or may have been in our previous incarnation: an owner has to grant the send
            return self.now + REPLY_TIMEOUT_US
        run = min(
            fronts,
            int(COLD_PACE_RATIO * SECOND / (slot_us * self.arrival_rate(server))),
            self.cold_burst(slot_us),
        )
        slot = (self.now + self.facts.wall) // slot_us
        slots_since_turn = (slot - self.facts.me) % fronts
        if (
            slots_since_turn < max(run, 1)
            and server.last_setup_at + self.facts.wall < (slot - slots_since_turn) * slot_us
        ):
            return 0
        return (slot + fronts - slots_since_turn) * slot_us - self.facts.wall

    def is_cold(self, server: Server) -> bool:
        """Whether the server's process started too recently to take its full rate of set-ups."""
        return self.now - server.process_started_at() < self.facts.rules.cold

    def cold_slot_us(self, server: Server) -> int:
        """Time between two set-ups at the rate that a server can take when it has just started."""
        rules = self.facts.rules
        setups_per_cold_period = (
            self.facts.plant.streams[server.row.kind] * rules.cold_from * rules.fall_multiple
        )
        return int(rules.cold / max(setups_per_cold_period, 0.01))

    def cold_burst(self, slot_us: int) -> int:
        """Set-ups that may be sent at once to a cold server, in our turn or as one owner's grants.

        With N slots in the span of the rule (`rules.fall`), 2 * sqrt(N) + 2 set-ups above N are put down to
        chance. That allowance, less the set-ups that arrive late as connecting takes time, is divided among
        the sources of bursts: the turns and each owner of the group."""
        sources, delayed = (
            1 + OWNERS_PER_GROUP if self.fleet.queries_owners else 1,
            self.facts.permissions.connect_timeout / slot_us,
        )
        return max(1, int((2 * math.sqrt(self.facts.rules.fall / slot_us) + 2 - delayed) / sources))

    def arrival_rate(self, server: Server) -> float:
        """Arrivals a second that could go to a server: the mean of the last ten seconds, or the number in the
        last second less one, if that is more."""
        place = server.row.cell, self.facts.plant.cells
        return max(
            self.arrivals.rate_per_s(self.now, 10 * SECOND, place),
            self.arrivals.count_within(self.now, SECOND, place) - 1,
        )

    def is_warm(self, server: Server) -> bool:
        """Whether a front has a session there that began before the server could be cold: this one, one that
        told us, or one that told an owner. A process that dies resets its connections, so a front with such a
        session knows that the process has not been restarted."""
        return (
            server.told_warm_at > self.now - self.gossip_period_us
            or self.has_warm_session(server)
            or self.fleet.counts.is_flagged(server.row.server)
        )

    def has_warm_session(self, server: Server) -> bool:
        """Whether a session of ours there is old enough to prove that the server is not cold."""
        return server.has_session_from_before(self.now - self.facts.rules.cold)

    def may_reply_busy(self, sess: Sess) -> bool:
        """Whether the viewer may be told to come back: the set-up was not executed or may be repeated."""
        return (
            all(result in NEVER_RAN for _, _, result in sess.attempts)
            or sess.group.effect is Effect.SAFE
            or (sess.group.effect, sess.group.scope) == (Effect.KEYED, Scope.ALL)
        )

    def open_session(self, req: ev.SessionRequest) -> Sess:
        group = self.facts.groups[req.service_group]
        top = min(req.top, group.top, len(self.facts.ladder.rate_kb) - 1)
        sess = Sess(req, group, self.facts.ladder, self.now + req.time_left, group.floor, top)
        sess.means = req.means
        return self.sessions.setdefault(req.req_id, sess)

    def session(self, req: ev.SessionRequest) -> Script:
        """The script of a requested session: sets it up and ends with the viewer's final answer."""
        sess = self.open_session(req)
        yield from self.serve(sess)
        yield from self.leave_queue(sess)
        self.close_session(sess)

    def serve(self, sess: Sess) -> Script:
        """Places the session and sends SETUPs, one at a time, until it plays, the viewer has left or there is
        no holder to try before the deadline; then it is refused."""
        req_id, permissions = sess.req.req_id, self.facts.permissions
        while self.now < sess.deadline:
            yield from self.inquire(sess)
            if sess.viewer_done:
                return
            server = self.place(sess) if self.now < sess.deadline else None
            if server is None:
                unpaced = self.eligible_holders(sess, paced=False)
                next_try = min(map(self.paced_until, unpaced), default=sess.deadline)
                if self.now < next_try < sess.deadline:
                    result: ResumeValue = yield from self.wait_in_queue(sess, next_try)
                elif (next_try := self.retry_at(sess)) > self.now:
                    result = yield act.Wait(next_try)
                else:
                    break
                if sess.gives_up and not sess.viewer_done:
                    break
            else:
                self.record_setup(sess, server)
                yield from self.leave_queue(sess, WOKEN_PER_SETUP)
                yield from self.send_updates([server])
                if sess.top >= sess.group.floor:
                    yield act.SetRung(req_id, sess.rung)
                result = yield act.Setup(req_id, server.row.server, self.setup_timeout(sess))
            if isinstance(result, ev.Started):
                sess.playing_since = self.now
                yield act.Play()
                return
            if isinstance(result, ev.ViewerLeft) or (isinstance(result, ev.Ended) and result.final):
                return
            if (
                server is not None
                and server.unsent_outcome
                and server.setup_outcomes
                and not server.setup_outcomes[-1][1]
            ):
                yield from self.send_updates([server])  # other fronts may be about to send there
        # The answer is sent at once, without waiting for the deadline. The come-back time is drawn between a
        # quarter and three quarters of the longest that players heed, so that viewers who are refused
        # together do not come back together
        max_come_back = permissions.max_come_back if permissions.come_back else 0
        come_back = max_come_back // 4 + self.chance.draw(max_come_back // 2)
        yield act.BusyReply(req_id, come_back) if self.may_reply_busy(sess) else act.TearDown(req_id)

    # The queue for paced servers. If all that wait tried at each slot, the work for one SETUP would grow with
    # their number

    def queue_key(self, sess: Sess) -> QueueKey:
        """Equal for sessions to which the same servers are open."""
        may_have_run = any(result not in NEVER_RAN for _, _, result in sess.attempts)
        has_own_servers = may_have_run and sess.group.effect is not Effect.SAFE
        return QueueKey(
            sess.req.home,
            sess.req.span,
            sess.seat_key() if sess.group.seats > 0 else None,
            bool(sess.attempts),
            sess.req.req_id if has_own_servers else 0,
        )

    def wait_in_queue(self, sess: Sess, next_try: int) -> Subscript[ResumeValue]:
        """Waits for the pace of the session's servers, which open at `next_try`, in order of arrival: only
        the head of the queue tries then, and those behind it are woken as it is placed.

        Those whose deadline is before `next_try` give up now."""
        key = self.queue_key(sess)
        if sess.queue_key != key:
            yield from self.leave_queue(sess)
            sess.queue_key = key
        queue = self.setup_queues.setdefault(key, SetupQueue())
        queue.join(sess)
        is_head = queue.head is sess
        if is_head:
            queue.next_try = next_try
            for expired in queue.take_expired(next_try):
                expired.gives_up = True
                yield act.Wake(expired.req.req_id, self.now)
        result = yield from self.sleep(sess, next_try if is_head else sess.deadline)
        if is_head and result is None:
            return (yield from self.await_turn(sess))
        return result

    def sleep(self, sess: Sess, until: int) -> Subscript[ResumeValue]:
        sess.asleep = True
        result = yield act.Wait(until)
        sess.asleep = False
        return result

    def await_turn(self, sess: Sess) -> Subscript[ResumeValue]:
        """The heads of several queues whose servers open at the same time try in order of arrival."""
        if self.now <= self.turns_until:
            return None
        heads = [
            head
            for queue in self.setup_queues.values()
            if queue.next_try <= self.now and (head := queue.head) is not None
        ]
        in_turn = sorted(head.req.req_id for head in heads if head is sess or head.asleep)
        if len(in_turn) < 2:
            return None
        self.turns_until = self.now + len(in_turn)
        own_turn = in_turn.index(sess.req.req_id)
        for turn, req_id in enumerate(in_turn):
            if turn != own_turn:
                yield act.Wake(req_id, self.now + turn)
        return (yield from self.sleep(sess, self.now + own_turn)) if own_turn else None

    def leave_queue(self, sess: Sess, woken: int = 0) -> Script:
        """Takes the session out of its queue, if it is in one, and wakes the first `woken` of those behind
        it. If it was the head, the next one is woken in any case, as that is the head now."""
        key, sess.queue_key = sess.queue_key, None
        if key is None:
            return
        queue = self.setup_queues[key]
        was_head = queue.leave(sess)
        for behind in queue.first_asleep(max(woken, int(was_head))):
            yield act.Wake(behind.req.req_id, self.now)
        if not queue:
            del self.setup_queues[key]

    def retry_at(self, sess: Sess) -> int:
        """When to try again to place a moved player, which can wait while it plays from its buffer; now, if
        it can't wait or an attempt has been made."""
        means = sess.means
        if means is None or not sess.req.moved or sess.attempts:
            return self.now
        until = min(means.taken + (means.buffer or 0) - SECOND, sess.deadline - SECOND // 10)
        return max(self.now, min(self.now + SECOND // 2, until))

    def handed_over(self, event: ev.HandedOver) -> Script:
        """The script of a session that already played when this front started."""
        sess = self.open_session(event.request)
        if event.server in self.servers:
            self.record_setup(sess, self.servers[event.server])
        sess.playing_since = self.now
        yield act.Play()
        self.close_session(sess)

    def setup_timeout(self, sess: Sess) -> int:
        """A timeout for the next SETUP that leaves time for another holder before the start target, if
        possible. It is at least three times the usual duration of a set-up, so that servers that are merely
        slow are not all given up."""
        time_left = sess.deadline - self.now
        if sess.group.effect is Effect.UNSAFE or len(sess.attempts) >= self.facts.permissions.max_attempts:
            return time_left
        target_at = sess.deadline - sess.req.time_left + sess.group.start_target
        usual_lag = sorted(self.setup_lags)[len(self.setup_lags) // 2] if self.setup_lags else 0
        return min(
            time_left,
            max((target_at - self.now) * 45 // 100, sess.group.start_target // 5, 3 * usual_lag),
        )

    def record_setup(self, sess: Sess, server: Server) -> None:
        """Counts a SETUP, as it is sent, in known demand, seats, pacing and the retry budget."""
        if sess.attempts:
            since = self.now - self.facts.rules.resend_span
            self.retry_times = [*(at for at in self.retry_times if at >= since), self.now]
        sess.attempts.append((server.row.server, self.now, None))
        sess.server, server.last_setup_at, server.unused_grant_at = server.row.server, self.now, LONG_AGO
        server.sessions[sess.req.req_id] = sess
        self.seats_in_use[sess.seat_key()] = self.seats_in_use.get(sess.seat_key(), 0) + 1
        self.update_known_demand(server)

    def release(self, sess: Sess) -> None:
        """Frees the session's seat and its demand on its server, if it still holds them."""
        server = self.servers.get(sess.server)
        if server is not None and server.sessions.pop(sess.req.req_id, None) is not None:
            self.seats_in_use[sess.seat_key()] -= 1
            self.update_known_demand(server)

    def close_session(self, sess: Sess) -> None:
        """Ends a session whose viewer has been answered. As long as a SETUP has no result, the session keeps
        its seat and its demand."""
        sess.viewer_done = True
        if all(result is not None for _, _, result in sess.attempts):
            self.release(sess)
            self.sessions.pop(sess.req.req_id, None)

    def upkeep(self) -> Iterable[Script]:
        """The scripts that run for as long as the front does."""
        scripts = [
            (True, self.resize_sessions()),
            (self.facts.asked_discovery, self.watch_servers()),
            (self.probes_report_load, self.probe_servers()),
            (self.fleet.queries_owners, self.answer_queries()),
            (self.fleet.gossip_enabled, self.fleet.gossip(self.update_known_demand_of, self.rates_for)),
            (self.fleet.gossip_enabled, self.update_owners()),
        ]
        return [script for enabled, script in scripts if enabled]

    def resize_sessions(self) -> Script:
        """Adjusts the rungs of all playing sessions once per period. Fronts start at different offsets."""
        yield act.Wait(self.now + SECOND + self.resize_period_us * self.facts.me // max(1, self.facts.fronts))
        while True:
            next_time = self.now + self.resize_period_us
            if self.sessions:
                groups = {self.group_of(s) for s in self.table.in_use()}
                yield from self.fleet.query(groups, words.InUseQuery, self.now + REPLY_TIMEOUT_US)
            for server in self.table.in_use():
                yield from self.resize_server(server)
            yield act.Wait(next_time)
            self.total_play_us += self.resize_period_us * sum(
                s.playing_since is not None for s in self.sessions.values()
            )
            if self.ended_sessions > LENGTH_HALVING_SESSIONS:
                self.total_play_us, self.ended_sessions = self.total_play_us // 2, self.ended_sessions // 2

    def resize_server(self, server: Server) -> Script:
        """Assigns rungs to a server's playing sessions within our share of its idle capacity, and makes those
        changes that are needed or gain more than they cost."""
        load_known = (
            self.all_demand_known(server)
            or self.has_recent_reply(server)
            or self.has_recent_report(server.link)
        )
        playing = [s for s in server.sessions.values() if s.playing_since is not None] if load_known else []
        own, total = server.own_demand(), max(self.demand(server), 1.0)
        # Estimated number of fronts that may raise sessions on this server at the same time
        competing = min(self.facts.fronts, max(LOW_CONTENTION_FRONTS, total / max(own, 1.0)))
        residual = self.idle_by_server([server], 1 / competing)[server.row.server]
        residual *= own / max(total, own) if residual < 0 else 1
        # With many competing fronts, each one's share would be less than a step and never be used: instead a
        # random few of the fronts take a larger share
        if residual > 0 and competing > LOW_CONTENTION_FRONTS:
            residual *= (
                competing / LOW_CONTENTION_FRONTS
                if self.chance.draw(1000) * competing < LOW_CONTENTION_FRONTS * 1000
                else 0
            )
        used = sum(s.rate(s.rung) for s in playing)
        # Among equal gains, starving sessions are the last to be raised and the first to be lowered
        playing.sort(key=self.is_starving)
        wanted_rungs = zip(
            playing,
            self.assign_rungs(playing, used + residual, [self.usable_rung(s) for s in playing]),
            strict=True,
        )
        for sess, rung in sorted(
            wanted_rungs, key=lambda w: (w[1] > w[0].rung, self.utility_per_rate(w[0], max(w[0].rung, 1)))
        ):
            change_kb = sess.rate(rung) - sess.rate(sess.rung)
            # With many competing fronts, each lowers its sessions only at random, lest all do so at once
            may_lower = (
                competing <= LOW_CONTENTION_FRONTS or self.chance.draw(1000) * change_kb > residual * 2000
            )
            unusable = change_kb < 0 and sess.rung > self.usable_rung(sess)
            if (
                unusable
                or (change_kb < 0 and residual < 0 and may_lower)
                or (0 < change_kb <= residual and self.net_gain(sess, rung) > 0)
            ):
                sess.rung = rung
                residual -= change_kb
                yield act.SetRung(sess.req.req_id, rung)
        self.update_known_demand(server)

    def net_gain(self, sess: Sess, rung: int) -> float:
        """Utility that a change of rung gains over the session's expected remaining time, less its cost.

        Without a hint of the length, the expected time is the play time of all sessions divided by the number
        of ends seen. A mean over ended sessions would be too short: short sessions end first."""
        ladder, played, hint = sess.ladder, self.now - (sess.playing_since or self.now), sess.req.length_hint
        remaining = max(self.total_play_us // (self.ended_sessions + 1), self.resize_period_us)
        remaining = remaining if hint is None else max(hint - played, 0)
        utility_gain = ladder.utility[rung] - ladder.utility[sess.rung]
        return sess.group.utility * (
            utility_gain * remaining / SECOND - MIN_GAIN_COST_RATIO * ladder.switch_cost_s
        )

    def inquire(self, sess: Sess) -> Script:
        """Before a placement, asks the owners of the title's groups for the best holders. If no eligible
        holder's demand is known after that, as owners are gone or messages were lost, two holders are probed.

        Where replies are slow, this delays the placement by up to the reply timeout."""
        req, until = sess.req, min(self.now + REPLY_TIMEOUT_US, sess.deadline)
        groups = self.groups_holding(req.home, req.span)
        make_query = functools.partial(words.HoldersQuery, home=req.home, span=req.span, zone=self.facts.zone)
        yield from self.fleet.query(
            self.fleet.sample_groups(groups, GROUPS_QUERIED, self.chance), make_query, until
        )
        eligible = [s for s in self.eligible_holders(sess) if self.setup_backoff_until(s) <= self.now]
        if not self.probes_report_load or any(
            self.all_demand_known(s) or self.has_recent_reply(s) for s in eligible
        ):
            return
        preferred = [s for s in eligible if s.row.zone == self.facts.zone] or eligible
        first = self.chance.draw(max(len(preferred), 1))
        probed = (preferred[first:] + preferred[:first])[:2]
        for server in probed:
            # In a burst of arrivals, a probe that was sent for another one is used instead
            if server.arrival_probe_at <= self.now - REPORT_AGE_US:
                server.arrival_probe_at = self.now
                yield act.Probe(server.row.server)
        yield act.Wait(
            min(until, max((s.arrival_probe_at + REPLY_TIMEOUT_US for s in probed), default=self.now))
        )

    def groups_holding(self, home: int, span: int) -> list[int]:
        """The groups whose racks hold a title, that of its home first."""
        cells, racks, offset = self.facts.plant.cells, len(self.uplinks), 0
        groups = dict[int, None]()
        while offset < min(span, cells):
            cell = (home + offset) % cells
            group = self.group_by_rack[cell % racks]
            groups[group] = None
            offset += min(self.last_rack_of_group[group] - cell % racks, cells - 1 - cell) + 1
        return list(groups)

    def known_holders(self, home: int, span: int) -> list[Server]:
        """The holders of a title on which all demand is known."""
        if self.table.holder_count(home, span) > MAX_COMPARED:
            return [s for s in self.candidate_holders(home, span) if self.all_demand_known(s)]
        holds, racks = self.facts.plant.holds, self.facts.plant.racks_of(home, span)
        return [
            s
            for rack in racks
            for s in self.by_rack[rack]
            if holds(s.row.cell, home, span) and self.all_demand_known(s) and s.row.state is ServerState.READY
        ]

    def answer_queries(self) -> Script:
        """Replies, as an owner, to queries of other fronts: with the status of the servers that the asker
        uses, or of a title's eight best holders, those of the asker's zone preferred, and two cold ones."""
        while True:
            event = yield act.WaitForPeerMessage(None)
            query = (
                self.last_message[1]
                if isinstance(event, ev.PeerMessage) and self.last_message[0] is event.payload
                else None
            )
            match event, query:
                case ev.PeerMessage(), words.InUseQuery(number):
                    used_by_asker = self.fleet.counts.amounts_of(event.peer)
                    servers = [
                        s
                        for server_number in used_by_asker
                        if (s := self.servers.get(server_number))
                        and self.all_demand_known(s)
                        and s.row.state is not ServerState.GONE
                    ]
                    idle, granted = self.idle_by_server(servers, 1.0), None
                case ev.PeerMessage(), words.HoldersQuery(number, home, span, zone):
                    servers = self.known_holders(home, span)
                    idle = self.idle_by_server(servers, 1.0)
                    servers.sort(
                        key=lambda s: -idle[s.row.server]
                        * (1.0 if s.row.zone == zone else PREFERRED_IDLE_RATIO)
                    )
                    cold = list(filter(self.is_cold, servers))
                    servers = [s for s in servers if s not in cold][:8] + cold[:2]
                    granted = next((s for s in servers if self.may_grant(s, event.peer)), None)
                case _:
                    continue
            if not any(self.fleet.is_synced(group) for group in self.fleet.groups):
                continue  # we know no more than the asker
            statuses = [
                self.fleet.status_for(
                    event.peer,
                    s.row.server,
                    idle[s.row.server],
                    self.demand(s),
                    self.is_warm(s),
                    s is granted,
                )
                for s in servers
            ]
            yield from self.fleet.reply(event.peer, number, statuses, isinstance(query, words.InUseQuery))

    def may_grant(self, server: Server, peer: int) -> bool:
        """Whether to grant a front one SETUP to a server that is cold, out of the shares lent to us, or one
        trial on behalf of the fleet to a server that is avoided.

        Without grants, hundreds of fronts would each hold a share of a cold server that is too small to use,
        and would each try a bad server by themselves."""
        evidence = self.fleet.evidence.summary(self.now, server.row.server, peer)
        if evidence.is_bad(MIN_WITNESSES):
            may_try = self.facts.me in self.fleet.owners(self.group_of(server))[:2] and not self.is_cold(
                server
            )
            backoff_over = (
                may_try
                and max(evidence.failed_at, server.trial_granted_at) <= self.now - FIRST_SETUP_BACKOFF_US
            )
            server.trial_granted_at = self.now if backoff_over else server.trial_granted_at
            return backoff_over
        slot_us, budget = self.cold_slot_us(server), server.row.server
        return self.is_cold(server) and self.fleet.shares.grant(
            self.now, self.group_of(server), budget, slot_us, self.cold_burst(slot_us)
        )

    def probe_servers(self) -> Script:
        """Probes the servers in turn, as often as the price of a probe allows. With gossip, the fronts share
        the work."""
        for turn in itertools.count(1):
            ready = self.table.ready
            # With gossip, fronts share their reports: each probes where its sessions keep a connection open
            if self.fleet.gossip_enabled:
                ready = [s for s in self.table.in_use() if s.row.state is ServerState.READY] or ready
            if ready and not self.fleet.most_owners_silent():
                first = len(ready) * self.facts.me // self.facts.fronts
                yield act.Probe(ready[(first + turn) % len(ready)].row.server)
            probes_per_arrival = PROBE_BUDGET_POINTS / max(self.facts.prices.probe, PROBE_BUDGET_POINTS / 4)
            # Recomputed each second: a wait computed before the first arrivals would be far too long
            probed_at = self.now
            while (
                due := probed_at
                + max(
                    SECOND // 10,
                    int(SECOND / (self.arrivals.rate_per_s(self.now, 30 * SECOND) * probes_per_arrival)),
                )
            ) > self.now:
                yield act.Wait(min(due, self.now + SECOND))

    def send_updates(self, servers: list[Server]) -> Script:
        """Sends our demand on these servers, and what we learned of them, to the owners of their groups."""
        rates = [
            (
                self.group_of(s),
                s.take_update(
                    self.now,
                    self.now - (FIRST_SETUP_BACKOFF_US << MAX_BACKOFF_DOUBLINGS),
                    self.has_warm_session(s),
                ),
            )
            for s in servers
            if self.fleet.gossip_enabled
        ]
        yield from self.fleet.send_changes(rates)

    def rates_for(self, owner: int) -> list[words.ServerRate]:
        """Our demand on each server of the groups that a front owns."""
        return [
            words.ServerRate(s.row.server, s.own_demand(), warm=self.has_warm_session(s))
            for s in self.table.in_use()
            if owner in self.fleet.other_owners(self.group_of(s))
        ]

    def update_owners(self) -> Script:
        """Sends the owners what has changed, once per gossip period, and lends them our shares of the servers
        that are cold."""
        yield act.Wait(self.now + SECOND // 10)  # by then the sessions handed over have been recorded
        for turn in itertools.count():
            yield from self.fleet.refresh(turn, FULL_SYNC_ROUNDS, self.rates_for)
            yield from self.send_updates(
                [
                    s
                    for s in self.table.take_unsent()
                    if s.unsent_report
                    or s.unsent_delivery
                    or s.unsent_outcome
                    or s.sent_demand_kb != s.own_demand()
                    or s.sent_warm != self.has_warm_session(s)
                ]
            )
            cold = self.table.cold_servers(self.now, self.facts.rules.cold)
            yield from self.fleet.lend_shares(sorted({self.group_of(s) for s in cold}))
            yield act.Wait(self.now + self.gossip_period_us)

    def watch_servers(self) -> Script:
        """Keeps a subscription to discovery and renews it, after a jittered delay, when it fails."""
        while True:
            yield act.Watch(True)
            self.watching = True
            while self.watching:
                yield act.Wait(self.now + SECOND)
            yield act.Wait(self.now + SECOND + self.chance.draw(SECOND))
