"""All decisions of one ponddoor front: the server and the rung of every session, from arrival to end.

The caller is `ponddoor.runtime.driver.Driver`: it sets the clock, hands every event to `Front.observe` and
runs the generators `session`, `handed_over` and `upkeep`. What they yield and are resumed with is in
`ponddoor/interface` (facts, events, actions, words), what a front remembers in `ponddoor/state.py`.
docs/design.md tells how this follows the design.

Beside the design stand these mechanisms:
1. the guard: the six rules, at the one place that every SETUP passes (`Front.eligible_holders`);
2. health: a server that fails is rested, then tried by one session at a time (`setup_backoff_until`);
3. further SETUPs: set-up timeouts that leave room for another holder (`Front.setup_timeout`);
4. fronts' word: rates, reports and evidence told to the keepers of a rack, who answer who asks
   (`update_owners`, `answer_queries`; what is kept of it is in `ponddoor/fleet`);
5. an inquiry before a placement, of keepers or of two holders, where the account is not whole (`inquire`);
6. a busy-reply where no holder has room and most of our sessions are at the lowest rung (`place`).
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
from ponddoor.interface.script import ResumeValue, Script
from ponddoor.server_table import ServerTable
from ponddoor.state import LONG_AGO, Arrivals, LinkState, RackLoad, SeededRandom, Server, Sess

SECOND = 1_000_000
HEADROOM_RATIO = 0.04  # of a link or uplink, left for true rates above the ladder and for others' raises
RESIZE_PERIOD_TARGETS = 5  # start targets
ARRIVAL_SAMPLES = 60  # of which the moments are kept
MIN_GAIN_COST_RATIO = 1.5  # a change of rung must earn its cost so many times over
LENGTH_HALVING_SESSIONS = 60  # ended sessions, after which what was learned of their lengths counts half
REPORT_AGE_US = SECOND // 3  # how old a report is taken to be when it comes
STEADY_DEMAND_RATIO = 0.7  # of the most known around a report, that must have been known all the time
REPORT_MISSING_US = 4 * SECOND  # without a report for so long, short-delivery notes stand in
PROBE_BUDGET_POINTS = 0.01  # of service, that probing may cost
PREFERRED_IDLE_RATIO = 0.5  # of the most idle, with which a holder of the own zone is taken
UPLINK_REGAIN_RATIO_PER_S = 0.02  # of an uplink seen short, that is tried again each second
MIN_UPLINK_RATIO = 0.25  # of a told uplink, that a shortage can leave
GOSSIP_PERIOD_TARGETS = 2  # start targets
FULL_SYNC_ROUNDS = 16  # so many tellings, all is told and not only what changed
FULL_MESH_FRONTS = (
    3  # so many fronts all keep the whole account; of more, each part of it has OWNERS_PER_GROUP
)
OWNERS_PER_GROUP = 3
ARRIVALS_PER_S_PER_GROUP = 50  # arrivals a second, one a front in each start target, that a part is made for
MIN_KNOWN_RATIO, MIN_REACH_RATIO = (
    0.6,
    0.4,
)  # of the fleet, that has told us and that answers: the account is whole
GROUPS_QUERIED = 3  # parts of the account that are asked about for an arrival
REPLY_TIMEOUT_US = SECOND // 12  # how long an answer of a keeper or a probe is waited for
DEAD_AFTER_ROUNDS = 4  # tellings, after which a front that does not answer is dead, at the soonest
IDLE_SHARE_RATIOS = (
    0.5,
    0.34,
    0.25,
)  # of a holder's idle an arrival takes: all is known, a report came, a guess
COLD_PACE_RATIO = 0.4  # of a cold server's pace, that the fronts expect to use together
LOW_CONTENTION_FRONTS = 4  # arrivals that may meet at a holder before the account knows
PLAYER_HINT_TTL_US = 8 * SECOND  # how long a player's word on what it can take counts
THROUGHPUT_USE_RATIO = 0.9  # of the throughput that a player measured, that a rung may use
FIRST_SETUP_BACKOFF_US = SECOND  # a failing server's first rest; doubled with each further failure
MAX_BACKOFF_DOUBLINGS = 3  # so often
MAX_COMPARED = 64  # holders of a title that are all looked at, and links of a rack that are all summed
SAMPLED_HOLDERS, SAMPLED_IN_USE = (
    32,
    8,
)  # of more holders, those drawn by chance, and those drawn where we play
RACK_REFRESH_PERIOD_US = SECOND // 100  # some links of a large rack are reckoned anew, so often at most
MIN_WITNESSES = 2  # fronts whose word it takes to avoid a server that we know nothing bad of
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class Front:
    def __init__(self, facts: SiteFacts, now: int) -> None:
        self.facts, self.now, self.created_at, self.chance = facts, now, now, SeededRandom(facts.seed)
        self.table = ServerTable(facts.plant)
        self.servers, self.by_rack = self.table.by_number, self.table.by_rack
        self.uplinks = [LinkState(facts.plant.uplink_kb) for _ in range(facts.plant.racks or 1)]
        self.sessions: dict[int, Sess] = {}
        self.seats_in_use: dict[tuple[int, int], int] = {}
        self.total_play_us, self.ended_sessions = 0, 0  # how long sessions played in all, and how many ended
        self.setup_lags: list[int] = []  # how long the last set-ups took
        self.arrivals = Arrivals(ARRIVAL_SAMPLES)
        self.request_times: list[int] = []  # requests within the budget's span
        self.retry_times: list[int] = []  # further SETUPs within it
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
            MIN_KNOWN_RATIO,
            MIN_REACH_RATIO,
            2,
        )
        parts = min(len(self.uplinks), 1 + facts.fronts * SECOND // target // ARRIVALS_PER_S_PER_GROUP)
        self.fleet = Fleet(facts, now, terms, parts)
        self.group_by_rack = [
            self.fleet.group_of(rack, len(self.uplinks)) for rack in range(len(self.uplinks))
        ]
        self.last_rack_of_group = {group: rack for rack, group in enumerate(self.group_by_rack)}
        self.last_message: tuple[bytes, words.Message | None] = b"", None  # the last that came
        self.rack_loads: dict[int, RackLoad] = {}
        self.rack_load_ttl_us = REPLY_TIMEOUT_US // 4 if self.fleet.queries_owners else 0
        self.idle_share_ratios = [max(part, 1 / facts.fronts) for part in IDLE_SHARE_RATIOS]
        self.probes_report_load = facts.permissions.probes and facts.reporting is Reporting.ON_PROBE

    def clock(self, now: int) -> None:
        self.now = self.fleet.now = now

    def setup_backoff_until(self, server: Server) -> int:
        """Guards against servers that are silent, stand still or fail set-ups; none need be told apart.

        It covers overloaded and cut-off ones too. It may harm where set-ups fail by chance everywhere: then
        all rest, and the holder whose rest ends first is taken."""
        bad = sum(not well for _, well in server.setup_outcomes)
        rest = FIRST_SETUP_BACKOFF_US << min(bad - 1, MAX_BACKOFF_DOUBLINGS) if bad else 0
        return server.setup_outcomes[-1][0] + rest if bad and not server.setup_outcomes[-1][1] else 0

    def is_avoided(self, server: Server) -> bool:
        """Guards against a server that is bad for all, which each of many fronts would find out alone.

        Our own evidence goes first where it is newer, one front's word condemns nothing (`View.bad`). It may
        harm where two fronts are cut off from a server: until another tells, or while evidence counts."""
        view = self.fleet.evidence.summary(self.now, server.row.server, self.facts.me)
        own = max((at for at, _ in server.setup_outcomes), default=LONG_AGO)
        return view.is_bad(MIN_WITNESSES, own) and server.unused_grant_at <= self.now - REPLY_TIMEOUT_US

    def observe(self, event: ev.Event) -> None:
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
        if news.scope in (ev.NewsScope.FULL, ev.NewsScope.CACHED):  # whoever is not named is gone
            named = {row.server for row in news.rows}
            for server in [s for number, s in self.table.running.items() if number not in named]:
                self.record_row(replace(server.row, state=ServerState.GONE))
        for row in news.rows:
            self.record_row(row)

    def record_row(self, row: ev.ServerRow) -> None:
        held = self.servers.get(row.server) or self.table.add(row)
        if row.state is ServerState.GONE:
            row = replace(held.row, state=ServerState.GONE)  # its entry may tell no more than that
        elif row.started_at > held.row.started_at:  # a new process: what was seen of the old one is void
            held.setup_outcomes, held.delivery_notes, held.link.reports, held.seen_down_at = [], [], [], None
            held.told_warm_at = LONG_AGO
            self.table.reports_changed(held)
            self.fleet.evidence.forget(row.server)
            self.fleet.counts.clear_key(row.server)
        before = self.running_rack(held)
        self.table.update_row(held, row)
        self.mark_stale(held)
        if before != (after := self.running_rack(held)):
            self.move_demand(held, before, after)

    def running_rack(self, server: Server) -> int | None:
        """The number of its rack; None where it has gone."""
        running = server.row.server in self.table.running
        return self.rack_number(server) if running else None

    def move_demand(self, server: Server, before: int | None, after: int | None) -> None:
        """What is asked of a large rack's links is kept as a sum, which a server has left or joined."""
        asked = server.link.known_demand[-1][1]
        for number, change in ((before, -asked), (after, asked)):
            if number is not None and change and len(self.by_rack[number]) > MAX_COMPARED:
                rack = self.uplinks[number]
                rack.known_demand = [*rack.known_demand[-99:], (self.now, rack.known_demand[-1][1] + change)]
            if number is not None and (held := self.rack_loads.get(number)) is not None:
                held.stale_servers.add(server.row.server)

    def record_probe(self, event: ev.Probed) -> None:
        server, well = self.servers.get(event.server), event.result is Result.SERVED
        if server is None:
            return
        if not well or server.seen_down_at is not None:  # an answered probe only proves that it runs
            self.record_setup_outcome(server, well)
        self.record_report(server, event.report)

    def add_link_report(self, server: Server, taken: int, ratio: float) -> None:
        """A report of a server's link, of the moment it was taken."""
        server.link.add_report(taken, ratio)
        self.table.reports_changed(server)
        self.mark_stale(server)

    def mark_stale(self, server: Server) -> None:
        """Something is known of a link that its rack's sums do not have."""
        if (held := self.rack_loads.get(server.row.cell % len(self.uplinks))) is not None:
            held.stale_servers.add(server.row.server)

    def record_setup_outcome(self, server: Server, well: bool) -> None:
        server.setup_outcomes = [*server.setup_outcomes[-5:], (self.now, well)]
        self.fleet.record_own(
            server.row.server,
            server.outcomes_since(self.now - (FIRST_SETUP_BACKOFF_US << MAX_BACKOFF_DOUBLINGS)),
        )
        server.unsent_outcome |= (
            not well or self.fleet.evidence.summary(self.now, server.row.server).failed > 0
        )
        self.table.mark_unsent(server)
        if well and server.seen_down_at is not None:
            unseen = (
                server.row.started_at < server.seen_down_at
            )  # it may have restarted, and the list not know yet
            server.seen_up_at, server.seen_down_at = self.now if unseen else server.seen_up_at, None
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
            blamed := [
                self.servers[at]
                for at, _, end in sess.attempts
                if end is Result.ERROR and at != event.server and at in self.servers
            ]
        ):
            for other in blamed:  # guards against a request that no server can use: two say so, none rests
                bad = [i for i, (_, well) in enumerate(other.setup_outcomes) if not well]
                other.setup_outcomes = [
                    end for i, end in enumerate(other.setup_outcomes) if i not in bad[-1:]
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
        fresh = sess.playing_since is None or self.now - sess.playing_since < SECOND // 10
        taken = self.now if fresh else self.now - self.facts.plant.note_delay
        match note.kind:
            case ev.NoteKind.RUNG:
                sess.rung = round(note.value)
                self.update_known_demand(server)
            case ev.NoteKind.LINK_ASKED:
                server.reported_load = note.value
                self.add_link_report(server, taken, note.value)
            case ev.NoteKind.UPLINK_ASKED:
                self.uplink(server).add_report(taken, note.value)
            case ev.NoteKind.DELIVERED:
                server.unsent_delivery = (taken, note.value)
                self.table.mark_unsent(server)
                self.record_delivery(server, taken, note.value)

    def record_delivery(self, server: Server, taken: int, share: float) -> None:
        """Guards against titles above their rung and reports that are late, missing or stop at full.

        The milder of the last two notes counts, so that a brief pause, which fills one, diverts nobody.
        Most of a rack's servers short at once are short of uplink unless most of their links are full."""
        server.delivery_notes = [*server.delivery_notes[-1:], (taken, share)]
        mild = max(share for _, share in server.delivery_notes)
        if share >= 0.98:  # what is delivered in full is not short: reports that it was are void
            server.link.reports = [
                (at, ratio) for at, ratio in server.link.reports if ratio < 1 or at > taken
            ]
            self.table.reports_changed(server)
        if mild >= 0.98 or len(server.delivery_notes) < 2:
            return
        rack = self.uplink(server)
        if (
            "uplink_asked" in self.facts.report_fields
            and self.has_recent_report(rack)
            and rack.reports[-1][1] >= 0.97
            and server.reported_load < min(rack.reports[-1][1], 0.97)
        ):
            rack.add_report(taken, max(1 / max(mild, 0.1), rack.reports[-1][1]))
            return
        mates = self.rack_servers(server)
        if len(mates) > MAX_COMPARED:  # of a large rack those where we play tell enough
            mates = [m for m in self.table.in_use() if self.uplink(m) is rack][:MAX_COMPARED]
        played = [m for m in mates if m.sessions or self.fleet.counts.likely(m.row.server)]
        short = [
            m.delivery_notes[-1][1]
            for m in played
            if m.delivery_notes
            and m.delivery_notes[-1][1] < 0.98
            and m.delivery_notes[-1][0] > taken - 2 * SECOND
        ]
        full = sum(m.link.reports[-1][1] >= 0.99 for m in played if self.has_recent_report(m.link))
        if len(short) < 2 or 2 * len(short) <= len(played) or 2 * full > len(played):
            self.add_link_report(server, taken, 1 / max(mild, 0.1))
        elif "uplink_asked" not in self.facts.report_fields and self.is_demand_steady(rack, taken):
            asked = rack.known_demand_at(taken) if self.all_demand_known(server) else self.rack_demand(server)
            rack.shortage = (taken, asked * max(*short, 0.1))

    def record_report(self, server: Server, report: dict[str, float]) -> None:
        taken, ratio = self.now - REPORT_AGE_US, report.get("link_asked", report.get("util"))
        if ratio is not None:
            if (
                "link_asked" not in report
                and ratio >= 0.99
                and server.delivery_notes
                and server.delivery_notes[-1][1] < 0.98
            ):
                ratio = 1 / max(
                    server.delivery_notes[-1][1], 0.1
                )  # util stops at full: the notes tell how far over
            self.add_link_report(server, taken, ratio)
            server.unsent_report, server.reported_load = (taken, ratio), ratio
            self.table.mark_unsent(server)
        if "uplink_asked" in report:
            self.uplink(server).add_report(taken, report["uplink_asked"])

    def record_peer_message(self, message: ev.PeerMessage) -> None:
        word = words.unpack(message.payload)
        self.last_message = message.payload, word
        for number in self.fleet.receive(message.peer, word):
            self.update_known_demand_of(number)
        if isinstance(word, words.QueryReply):
            asked = self.fleet.match_reply(message.peer, word)
            for room in word.statuses if asked is not None else ():
                if (server := self.servers.get(room.server)) is not None and asked is not None:
                    server.apply_reply(asked, room)
        elif isinstance(word, words.RateUpdate):
            for rate in [rate for rate in word.rates if rate.server in self.servers]:
                server = self.servers[rate.server]
                if rate.delivered and (
                    not server.delivery_notes or server.delivery_notes[-1][0] < self.now - rate.delivered.age
                ):
                    self.record_delivery(server, self.now - rate.delivered.age, rate.delivered.value)
                taken = self.now - (rate.load.age if rate.load else 0)
                if rate.load and (not server.link.reports or server.link.reports[-1][0] < taken):
                    self.add_link_report(server, taken, rate.load.value)

    def uplink(self, server: Server) -> LinkState:
        return self.uplinks[server.row.cell % len(self.uplinks)]

    def has_recent_report(self, pipe: LinkState) -> bool:
        return bool(pipe.reports) and pipe.reports[-1][0] > self.now - 2 * REPORT_MISSING_US

    def update_known_demand(self, server: Server) -> None:
        """What we know to be asked of a link and of its rack's uplink has changed."""
        self.table.sessions_changed(server)
        asked = server.own_demand() + self.fleet.counts.likely(server.row.server)
        before = server.link.known_demand[-1][1]
        server.link.known_demand = [*server.link.known_demand[-39:], (self.now, asked)]
        self.mark_stale(server)
        rack, mates = self.uplink(server), self.rack_servers(server)
        in_all = (
            sum(s.link.known_demand[-1][1] for s in mates)
            if len(mates) <= MAX_COMPARED
            else rack.known_demand[-1][1] + (asked - before if self.running_rack(server) is not None else 0.0)
        )
        rack.known_demand = [*rack.known_demand[-99:], (self.now, in_all)]

    def update_known_demand_of(self, number: int) -> None:
        if number in self.servers:
            self.update_known_demand(self.servers[number])

    def all_demand_known(self, server: Server) -> bool:
        """Whether most fronts' rates are known, so that all that is asked of its rack is."""
        return self.fleet.is_synced(self.group_of(server))

    def group_of(self, server: Server) -> int:
        return self.group_by_rack[server.row.cell % len(self.uplinks)]

    def mean_fleet_load(self) -> float:
        """The fleet's usual load, by the reports; without any, others are taken to ask as much as we do."""
        if self.mean_load_at != self.now:
            load = self.table.mean_reported_load(self.now - 2 * REPORT_MISSING_US)
            if load is None:
                ours = sum(s.own_demand() for s in self.table.in_use()) * self.facts.fronts
                load = ours / max(self.table.total_kb, 1.0)
            self.mean_load_at, self.mean_load = self.now, load
        return self.mean_load

    def demand(self, server: Server) -> float:
        """What is asked of a link: a hub's word, or the last reports and what we know to have changed since.

        Guards against old word: long unheard of, a server counts as full as those with a report, one started
        since as emptier, or nobody is sent to bring news. It may harm where the silent are the full ones."""
        if self.has_recent_reply(server):
            return server.last_reply[2] + server.own_demand()
        known = server.link.known_demand[-1][1]
        if self.all_demand_known(server):
            return known
        if self.has_recent_report(server.link):
            return max(server.own_demand(), server.link.unaccounted_demand() + known)
        age = (self.now - server.process_started_at()) / self.facts.rules.cold
        return max(server.own_demand(), server.link.capacity_kb * self.mean_fleet_load() * min(1.0, age))

    def has_recent_reply(self, server: Server) -> bool:
        return server.last_reply[0] > self.now - self.gossip_period_us

    def idle_by_server(self, servers: list[Server], part: float | None = None) -> dict[int, float]:
        """Told link less headroom and what is asked, capped by its share of its rack's idle uplink.

        Every front sees the same idle at once, so we take but our `part` of the link's; an arrival's part
        is less where the load is guessed from others."""
        found = dict[int, float]()
        numbers = {s.row.server: s.row.cell % len(self.uplinks) for s in servers}
        for server in servers:  # of large racks these links are reckoned as of now
            self.mark_stale(server)
        stands = {number: self.rack_load(number) for number in set(numbers.values())}
        for server in servers:
            at, link = server.row.server, server.link
            stand = stands[numbers[at]]
            room, blind = (
                stand.residual_kb.get(at, 0.0),
                0 if self.all_demand_known(server) else 1 if self.has_recent_report(link) else 2,
            )
            share = min(
                room * (part or self.idle_share_ratios[blind]),
                stand.uplink_residual_kb * room / stand.residual_divisor_kb * (part or 1),
            )
            ours = share if room > 0 else room
            ours_short = (
                stand.uplink_residual_kb * stand.demand_kb.get(at, 0.0) / max(stand.total_demand_kb, 1.0)
            )
            found[at] = ours if stand.uplink_residual_kb >= 0 else min(room, ours_short)
        for server in filter(self.has_recent_reply, servers):
            room = server.last_reply[1] - server.own_demand()
            found[server.row.server] = room * (part or self.idle_share_ratios[0]) if room > 0 else room
        return found

    def rack_load(self, number: int) -> RackLoad:
        """A rack's links and uplink: each link's room, the uplink's spare, and what is asked of them.

        Kept until what we know of the rack changes, a hub's for a little: most of its time goes here."""
        rack, mates = self.uplinks[number], self.by_rack[number]
        held, large = self.rack_loads.get(number), len(mates) > MAX_COMPARED
        if held is not None and large:
            self.refresh_rack_load(number, held)
            return held
        if (
            held is not None
            and not large
            and held.known_demand is rack.known_demand
            and self.now - held.computed_at < self.rack_load_ttl_us
        ):
            return held
        asked = {s.row.server: self.demand(s) for s in mates}
        rooms = {
            s.row.server: self.link_capacity(s) * (1 - HEADROOM_RATIO) - asked[s.row.server] for s in mates
        }
        open_kb = sum(kb for kb in rooms.values() if kb > 0)
        stands = RackLoad(self.now, rack.known_demand, rooms, asked, open_kb, sum(asked.values()))
        stands.uplink_residual_kb = self.uplink_residual(rack, stands.total_demand_kb)
        self.rack_loads[number] = stands
        return stands

    def refresh_rack_load(self, number: int, held: RackLoad) -> None:
        """The sums of a large rack, with what has changed in it, and some links in turn."""
        changed, held.stale_servers = held.stale_servers, set()
        if self.now - held.computed_at >= RACK_REFRESH_PERIOD_US:
            held.computed_at, mates = self.now, self.by_rack[number]
            held.refresh_offset = (held.refresh_offset + SAMPLED_HOLDERS) % len(mates)
            changed.update(
                s.row.server for s in mates[held.refresh_offset : held.refresh_offset + SAMPLED_HOLDERS]
            )
        for at in sorted(changed):
            server = self.servers.get(at)
            gone = server is None or server.row.state is ServerState.GONE
            if server is None or gone or self.rack_number(server) != number:
                held.remove_link(at)
            else:
                asked = self.demand(server)
                held.set_link(at, self.link_capacity(server) * (1 - HEADROOM_RATIO) - asked, asked)
        held.uplink_residual_kb = self.uplink_residual(self.uplinks[number], held.total_demand_kb)

    def uplink_residual(self, rack: LinkState, in_all: float) -> float:
        """Of a rack's uplink, where so much is asked of its links."""
        total = in_all
        if "uplink_asked" in self.facts.report_fields and self.has_recent_report(rack):
            total = rack.unaccounted_demand() + rack.known_demand[-1][1]
        return self.uplink_capacity(rack, total) * (1 - HEADROOM_RATIO) - total

    def rack_number(self, server: Server) -> int:
        return server.row.cell % len(self.uplinks)

    def rack_demand(self, server: Server) -> float:
        mates = self.rack_servers(server)
        if len(mates) <= MAX_COMPARED:
            return sum(map(self.demand, mates))
        return self.rack_load(self.rack_number(server)).total_demand_kb

    def arrival_share(self) -> float:
        """Of a holder's idle that an arrival takes: as many others come there before the account knows."""
        facts = self.facts
        age = (
            REPLY_TIMEOUT_US
            if self.fleet.gossip_enabled
            else facts.plant.note_delay + facts.plant.note_every // 2
        )
        come = self.arrivals.rate_per_s(self.now, 10 * SECOND) * facts.fronts
        meet = come / max(len(self.table.ready), 1) * age / SECOND
        return 1 / (1 + min(meet, (facts.fronts - 1)))

    def rack_servers(self, server: Server) -> list[Server]:
        return self.by_rack[server.row.cell % len(self.uplinks)]

    def link_capacity(self, server: Server) -> float:
        """A link as told, a cold server's as cold as it is, or as learned: known rate over reported ratio."""
        link, cold, least = server.link, self.facts.rules.cold, self.facts.rules.cold_from
        # Guards against a link believed wide as reports stop at full: near full they prove no more than told
        stops = math.inf if "link_asked" in self.facts.report_fields else 0.9
        seen = (
            sorted(
                min(link.known_demand_at(taken) / ratio, math.inf if ratio < stops else link.capacity_kb)
                for taken, ratio in link.reports
                if ratio > 0.25
                and taken > self.fleet.synced_since[self.group_of(server)]
                and self.is_demand_steady(link, taken)
            )
            if self.all_demand_known(server)
            else []
        )
        if seen:
            return min(max(seen[len(seen) // 2], link.capacity_kb * 0.1), link.capacity_kb * 1.6)
        return link.capacity_kb * min(
            1.0, least + (1 - least) * (self.now - server.process_started_at()) / cold
        )

    def is_demand_steady(self, pipe: LinkState, taken: int) -> bool:
        """Guards against learning what a pipe gives from a report whose age is only guessed, while what is
        known to be asked changes fast: after a loss a tenth would be learned. It may harm in a long rise."""
        known = [pipe.known_demand_at(taken + shift) for shift in (-REPORT_AGE_US, 0, REPORT_AGE_US)]
        return min(known) >= STEADY_DEMAND_RATIO * max(known)

    def uplink_capacity(self, rack: LinkState, total: float) -> float:
        """An uplink as told or, once short, as the shortage showed; while nobody is short, a little more."""
        since, uplink = rack.shortage or (self.created_at, rack.capacity_kb)
        if "uplink_asked" in self.facts.report_fields:
            return rack.capacity_kb
        uplink = max(uplink, rack.capacity_kb * MIN_UPLINK_RATIO)
        return min(
            uplink * (1 + UPLINK_REGAIN_RATIO_PER_S * (self.now - since) / SECOND),
            max(uplink, rack.capacity_kb, total * 1.1),
        )

    def utility_per_rate(self, sess: Sess, rung: int) -> float:
        """Utility per rate of the step from the rung below."""
        ladder, rung = sess.ladder, min(rung, len(sess.ladder.rate_kb) - 1)  # a ladder may have one rung
        step = sess.rate(rung) - sess.rate(rung - 1)
        return sess.group.utility * (ladder.utility[rung] - ladder.utility[rung - 1]) / max(step, 1e-9)

    def assign_rungs(self, sessions: list[Sess], budget: float, caps: list[int]) -> list[int]:
        """The design's loop: all at the lowest rung, then a step for whoever gains most utility per rate."""
        rungs = [sess.group.floor for sess in sessions]  # also of who can use less: the terms come first
        budget -= sum(sess.rate(rung) for sess, rung in zip(sessions, rungs, strict=True))
        steps = [
            (-self.utility_per_rate(sess, rung + 1), i)
            for i, (sess, rung) in enumerate(zip(sessions, rungs, strict=True))
            if rung < caps[i]
        ]
        heapq.heapify(steps)
        while steps:
            _, i = heapq.heappop(steps)
            step = sessions[i].rate(rungs[i] + 1) - sessions[i].rate(rungs[i])
            if step > budget:  # the budget only shrinks: this session has had its last step
                continue
            rungs[i] += 1
            budget -= step
            if rungs[i] < caps[i]:
                heapq.heappush(steps, (-self.utility_per_rate(sessions[i], rungs[i] + 1), i))
        return rungs

    def usable_rung(self, sess: Sess) -> int:
        """The highest rung that a player can use, by its own word while that is fresh.

        Guards against rates that nobody takes, and against raising who starves. It may harm where a player's
        measure is low for a moment: until its next word, or for as long as one counts."""
        means, rung = sess.means, sess.top
        if means is None or means.taken <= self.now - PLAYER_HINT_TTL_US:
            return rung
        most = min(means.top_kb or math.inf, (means.throughput_kb or math.inf) * THROUGHPUT_USE_RATIO)
        while rung > sess.group.floor and sess.rate(rung) > most:
            rung -= 1
        held = sess.playing_since is not None and self.is_starving(sess)
        return max(min(rung, sess.rung), sess.group.floor) if held else rung

    def is_starving(self, sess: Sess) -> bool:
        means = sess.means
        if means is None or means.taken <= self.now - PLAYER_HINT_TTL_US:
            return False
        soon = min(SECOND if left is None else left for left in (means.buffer, means.due))
        return means.starved or soon < SECOND // 2

    def place(self, sess: Sess) -> Server | None:
        """Size by the holders' pooled idle, take the one with most, cap the rung to fit and size again."""
        open_now = self.eligible_holders(sess)
        if not open_now:
            return None
        fit = [s for s in open_now if self.setup_backoff_until(s) <= self.now]
        fit = (
            [s for s in fit if all(s.row.server != at for at, _, _ in sess.attempts)]
            or fit
            or [min(open_now, key=lambda s: (self.setup_backoff_until(s), s.row.server))]
        )
        # Guards against hearsay that would leave nobody: half of a title's holders are avoided at most
        avoided = list(filter(self.is_avoided, fit))[: len(open_now) // 2]
        fit = [s for s in fit if s not in avoided] or fit
        fit = list(filter(self.has_recent_reply, fit)) or fit
        idle = self.idle_by_server(fit)
        first = self.chance.draw(len(fit))  # fronts that see alike must not all take the same of equals
        by_idle = sorted(fit[first:] + fit[:first], key=lambda s: -idle[s.row.server])
        best, close = by_idle[0], PREFERRED_IDLE_RATIO if self.facts.prices.cross_zone > 0 else 1.0
        near = next((s for s in by_idle if s.row.zone == self.facts.zone), best)
        best = near if idle[near.row.server] >= close * idle[best.row.server] > 0 else best
        # Guards against hundreds of fronts that each connect to all servers and ask all for signs of life:
        # where we have sessions is good enough. It may harm where ours alone fill a link: half its idle stays
        met = next((s for s in by_idle if s.sessions and s.row.zone == best.row.zone), best)
        many = self.fleet.gossip_enabled and self.facts.fronts > LOW_CONTENTION_FRONTS
        best = (
            met if many and idle[met.row.server] >= PREFERRED_IDLE_RATIO * idle[best.row.server] > 0 else best
        )
        if idle[best.row.server] < 0:
            playing = [s for s in self.sessions.values() if s.playing_since is not None]
            if sum(s.rung <= s.group.floor for s in playing) * 2 > len(playing) > 1:
                return None  # few could be cut to make room: one more costs the others more than it earns
        count = self.table.holder_count(sess.req.home, sess.req.span)
        more = count / (SAMPLED_HOLDERS + SAMPLED_IN_USE) if count > MAX_COMPARED else 1.0
        pooled = sum(max(0.0, kb) for kb in idle.values()) * more
        sess.rung = self.assign_rungs([sess], pooled, [self.usable_rung(sess)])[0]
        most = min(idle[best.row.server], self.idle_by_server([best], self.arrival_share())[best.row.server])
        while sess.rung > sess.group.floor and sess.rate(sess.rung) > most:
            sess.rung = self.assign_rungs([sess], pooled, [sess.rung - 1])[0]
        return best

    # The guard: every SETUP passes here, at the moment it is sent

    def eligible_holders(self, sess: Sess, paced: bool = True) -> list[Server]:
        """The holders of its title that a SETUP may go to now; without `paced`, also those that are cold."""
        if self.retries_exhausted(sess) or 0 < sess.group.seats <= self.seats_in_use.get(sess.seat_key(), 0):
            return []
        return [
            s
            for s in self.candidate_holders(sess.req.home, sess.req.span)
            if self.may_resend(sess, s) and not (paced and self.paced_until(s) > self.now)
        ]

    def candidate_holders(self, home: int, span: int) -> list[Server]:
        """The holders of a title or, of very many, some by chance and some of those where we play.

        Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001: the best of a few
        drawn by chance is close to the best of all."""
        count, holds = self.table.holder_count(home, span), self.facts.plant.holds
        if count <= MAX_COMPARED:
            return self.table.holders(home, span)
        drawn = self.table.holders_at_positions(
            home, span, (self.chance.draw(count) for _ in range(SAMPLED_HOLDERS))
        )
        ours = [
            s
            for s in self.table.in_use()
            if s.row.state is ServerState.READY and holds(s.row.cell, home, span)
        ]
        first = self.chance.draw(max(len(ours), 1))
        some = (ours[first:] + ours[:first])[:SAMPLED_IN_USE]
        return sorted({s.row.server: s for s in (*drawn, *some)}.values(), key=lambda s: s.order)

    def retries_exhausted(self, sess: Sess) -> bool:
        """Whether no SETUP may follow: too many, or none left in the budget; `serve` has but one out."""
        rules, since = self.facts.rules, self.now - self.facts.rules.resend_span
        if rules.spare_setups is None or not sess.attempts:
            return len(sess.attempts) >= self.facts.permissions.max_attempts
        taken, resent = (
            sum(at > since for at in self.request_times),
            sum(at >= since for at in self.retry_times),
        )
        over = resent + 1 > rules.spare_setups + rules.resend_ratio * taken
        return over or len(sess.attempts) >= self.facts.permissions.max_attempts

    def may_resend(self, sess: Sess, server: Server) -> bool:
        """Unsafe: only after proof that nothing ran. Keyed: only where and while the key is remembered."""
        if not sess.attempts or sess.group.effect is Effect.SAFE:
            return True
        ran = [
            (self.servers[at].row, sent)
            for at, sent, end in sess.attempts
            if end not in NEVER_RAN and at in self.servers
        ]
        if all(end in NEVER_RAN for _, _, end in sess.attempts):
            return True
        if len(ran) < sum(end not in NEVER_RAN for _, _, end in sess.attempts):
            return False  # a server where it may have run is forgotten
        same = {
            Scope.ALL: True,
            Scope.ZONE: all(row.zone == server.row.zone for row, _ in ran),
            Scope.CELL: all(row.cell == server.row.cell for row, _ in ran),
        }[sess.group.scope]
        return (
            sess.group.effect is Effect.KEYED
            and same
            and all(self.now < sent + sess.group.memory for _, sent in ran)
        )

    def paced_until(self, server: Server) -> int:
        """When this front may next send to a server that is cold, or may be.

        Known to be cold, or lost: time is cut into slots that each hold one set-up, and fronts take turns: in
        a span of N slots come N sends and a run of them, whoever is deaf. Where we have just begun and nobody
        tells that it is warm, our own sends are spaced by our share; the first waits for no turn."""
        rules, fronts = self.facts.rules, self.facts.fronts
        known = self.is_cold(server)
        if (
            not known
            and server.seen_down_at is None
            and (self.now - self.created_at >= rules.cold or self.is_warm(server))
        ):
            return 0
        if server.unused_grant_at > self.now - REPLY_TIMEOUT_US:
            return 0
        slot = self.cold_slot_us(server)
        if not known and server.seen_down_at is None:
            return server.last_setup_at + slot * fronts
        if (
            known
            and self.fleet.queries_owners
            and not self.fleet.shares.may_use_own(self.now, self.group_of(server))
        ):
            return (
                self.now + REPLY_TIMEOUT_US
            )  # our part is lent, or may be by our life before: a keeper grants
        run = min(
            fronts, int(COLD_PACE_RATIO * SECOND / (slot * self.arrival_rate(server))), self.cold_burst(slot)
        )
        turn = (self.now + self.facts.wall) // slot
        since = (turn - self.facts.me) % fronts
        if since < max(run, 1) and server.last_setup_at + self.facts.wall < (turn - since) * slot:
            return 0
        return (turn + fronts - since) * slot - self.facts.wall

    def is_cold(self, server: Server) -> bool:
        return self.now - server.process_started_at() < self.facts.rules.cold

    def cold_slot_us(self, server: Server) -> int:
        """The time that one set-up takes of what a server bears when it is coldest (us)."""
        rules = self.facts.rules
        per_warming = self.facts.plant.streams[server.row.kind] * rules.cold_from * rules.fall_multiple
        return int(rules.cold / max(per_warming, 0.01))

    def cold_burst(self, slot: int) -> int:
        """Set-ups that may come at once, by turns or by one keeper's grants: together the two roots and two
        that are chance beyond the N slots of the rule's span, less those that a connection holds back."""
        among, late = (
            1 + OWNERS_PER_GROUP if self.fleet.queries_owners else 1,
            self.facts.permissions.connect_timeout / slot,
        )
        return max(1, int((2 * math.sqrt(self.facts.rules.fall / slot) + 2 - late) / among))

    def arrival_rate(self, server: Server) -> float:
        """Arrivals a second that could go to a server: by ten seconds, or by one where that has more."""
        place = server.row.cell, self.facts.plant.cells
        return max(
            self.arrivals.rate_per_s(self.now, 10 * SECOND, place),
            self.arrivals.count_within(self.now, SECOND, place) - 1,
        )

    def is_warm(self, server: Server) -> bool:
        """Whether somebody has a session there that began before the server could be cold: we, a front that
        told us, or one that told a hub. A process that dies resets its connections, so who has one knows."""
        return (
            server.told_warm_at > self.now - self.gossip_period_us
            or self.has_warming_session(server)
            or self.fleet.counts.is_flagged(server.row.server)
        )

    def has_warming_session(self, server: Server) -> bool:
        return server.has_session_from_before(self.now - self.facts.rules.cold)

    def may_reply_busy(self, sess: Sess) -> bool:
        return (
            all(end in NEVER_RAN for _, _, end in sess.attempts)
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
        sess = self.open_session(req)
        yield from self.serve(sess)
        self.close_session(sess)

    def serve(self, sess: Sess) -> Script:
        req_id, allowed = sess.req.req_id, self.facts.permissions
        while self.now < sess.deadline:
            yield from self.inquire(sess)
            if sess.viewer_done:
                return
            server = self.place(sess) if self.now < sess.deadline else None
            if server is None:
                later = self.eligible_holders(sess, paced=False)
                chance = min(map(self.paced_until, later), default=sess.deadline)
                if not self.now < chance < sess.deadline and (chance := self.retry_at(sess)) <= self.now:
                    break
                got: ResumeValue = yield act.Wait(chance)
            else:
                self.record_setup(sess, server)
                yield from self.send_updates([server])
                if sess.top >= sess.group.floor:
                    yield act.SetRung(req_id, sess.rung)
                got = yield act.Setup(req_id, server.row.server, self.setup_timeout(sess))
            if isinstance(got, ev.Started):
                sess.playing_since = self.now
                yield act.Play()
                return
            if isinstance(got, ev.ViewerLeft) or (isinstance(got, ev.Ended) and got.final):
                return
            if (
                server is not None
                and server.unsent_outcome
                and server.setup_outcomes
                and not server.setup_outcomes[-1][1]
            ):
                yield from self.send_updates([server])  # others may be about to send there
        # Given up: the answer goes out at once. Guards against viewers that come back together as they were
        # turned away: a quarter to three quarters of the longest come-back time that they heed, by chance
        most = allowed.max_come_back if allowed.come_back else 0
        advice = most // 4 + self.chance.draw(most // 2)
        yield act.BusyReply(req_id, advice) if self.may_reply_busy(sess) else act.TearDown(req_id)

    def retry_at(self, sess: Sess) -> int:
        """When a moved player that plays on from a deep buffer is tried again; now, where it can't wait."""
        means = sess.means
        if means is None or not sess.req.moved or sess.attempts:
            return self.now
        until = min(means.taken + (means.buffer or 0) - SECOND, sess.deadline - SECOND // 10)
        return max(self.now, min(self.now + SECOND // 2, until))

    def handed_over(self, event: ev.HandedOver) -> Script:
        sess = self.open_session(event.request)
        if event.server in self.servers:
            self.record_setup(sess, self.servers[event.server])
        sess.playing_since = self.now
        yield act.Play()
        self.close_session(sess)

    def setup_timeout(self, sess: Sess) -> int:
        """A set-up timeout that leaves time for another holder before the start target, if it can.

        Guards against giving up everywhere what is only slow: three times the usual is waited for."""
        left = sess.deadline - self.now
        if sess.group.effect is Effect.UNSAFE or len(sess.attempts) >= self.facts.permissions.max_attempts:
            return left
        target = sess.deadline - sess.req.time_left + sess.group.start_target
        usual = sorted(self.setup_lags)[len(self.setup_lags) // 2] if self.setup_lags else 0
        return min(left, max((target - self.now) * 45 // 100, sess.group.start_target // 5, 3 * usual))

    def record_setup(self, sess: Sess, server: Server) -> None:
        """A SETUP goes out: the account, the seats, the pace and the budget know it at once."""
        if sess.attempts:
            since = self.now - self.facts.rules.resend_span
            self.retry_times = [*(at for at in self.retry_times if at >= since), self.now]
        sess.attempts.append((server.row.server, self.now, None))
        sess.server, server.last_setup_at, server.unused_grant_at = server.row.server, self.now, LONG_AGO
        server.sessions[sess.req.req_id] = sess
        self.seats_in_use[sess.seat_key()] = self.seats_in_use.get(sess.seat_key(), 0) + 1
        self.update_known_demand(server)

    def release(self, sess: Sess) -> None:
        server = self.servers.get(sess.server)
        if server is not None and server.sessions.pop(sess.req.req_id, None) is not None:
            self.seats_in_use[sess.seat_key()] -= 1
            self.update_known_demand(server)

    def close_session(self, sess: Sess) -> None:
        """The viewer is answered; a SETUP still out keeps its seat and its rate until its outcome."""
        sess.viewer_done = True
        if all(end is not None for _, _, end in sess.attempts):
            self.release(sess)
            self.sessions.pop(sess.req.req_id, None)

    def upkeep(self) -> Iterable[Script]:
        wanted = [
            (True, self.resize_sessions()),
            (self.facts.asked_discovery, self.watch_servers()),
            (self.probes_report_load, self.probe_servers()),
            (self.fleet.queries_owners, self.answer_queries()),
            (self.fleet.gossip_enabled, self.fleet.gossip(self.update_known_demand_of, self.demand_messages)),
            (self.fleet.gossip_enabled, self.update_owners()),
        ]
        return [script for want, script in wanted if want]

    def resize_sessions(self) -> Script:
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
        """Size a server's playing sessions within our share of its idle; only changes that pay."""
        known = (
            self.all_demand_known(server)
            or self.has_recent_reply(server)
            or self.has_recent_report(server.link)
        )
        mine = [s for s in server.sessions.values() if s.playing_since is not None] if known else []
        own, asked = server.own_demand(), max(self.demand(server), 1.0)
        contend = min(
            self.facts.fronts, max(LOW_CONTENTION_FRONTS, asked / max(own, 1.0))
        )  # fronts that raise there with us
        room = self.idle_by_server([server], 1 / contend)[server.row.server]
        room *= own / max(asked, own) if room < 0 else 1
        if (
            room > 0 and contend > LOW_CONTENTION_FRONTS
        ):  # a part under a step would never be taken: some take a larger one
            room *= (
                contend / LOW_CONTENTION_FRONTS
                if self.chance.draw(1000) * contend < LOW_CONTENTION_FRONTS * 1000
                else 0
            )
        spent = sum(s.rate(s.rung) for s in mine)
        mine.sort(key=self.is_starving)  # of like gain they have the last step up, and the first down
        want = zip(
            mine, self.assign_rungs(mine, spent + room, [self.usable_rung(s) for s in mine]), strict=True
        )
        for sess, rung in sorted(
            want, key=lambda w: (w[1] > w[0].rung, self.utility_per_rate(w[0], max(w[0].rung, 1)))
        ):
            need = sess.rate(rung) - sess.rate(sess.rung)
            sure = (
                contend <= LOW_CONTENTION_FRONTS or self.chance.draw(1000) * need > room * 2000
            )  # many: by chance
            idles = need < 0 and sess.rung > self.usable_rung(sess)
            if (
                idles
                or (need < 0 and room < 0 and sure)
                or (0 < need <= room and self.net_gain(sess, rung) > 0)
            ):
                sess.rung = rung
                room -= need
                yield act.SetRung(sess.req.req_id, rung)
        self.update_known_demand(server)

    def net_gain(self, sess: Sess, rung: int) -> float:
        """What a change of rung earns over the time the session is likely to have left, less its cost.

        That is all time played over the ends seen: those that end first, early on, are the short ones."""
        ladder, played, hint = sess.ladder, self.now - (sess.playing_since or self.now), sess.req.length_hint
        left = max(self.total_play_us // (self.ended_sessions + 1), self.resize_period_us)
        left = left if hint is None else max(hint - played, 0)
        more = ladder.utility[rung] - ladder.utility[sess.rung]
        return sess.group.utility * (more * left / SECOND - MIN_GAIN_COST_RATIO * ladder.switch_cost_s)

    def inquire(self, sess: Sess) -> Script:
        """Guards against placing blind, where the account is not whole: asks keepers, else probes two.

        It covers keepers that are gone, and messages that are lost. It may harm where answers are slow."""
        req, until = sess.req, min(self.now + REPLY_TIMEOUT_US, sess.deadline)
        groups = self.groups_holding(req.home, req.span)
        question = functools.partial(words.HoldersQuery, home=req.home, span=req.span, zone=self.facts.zone)
        yield from self.fleet.query(
            self.fleet.sample_groups(groups, GROUPS_QUERIED, self.chance), question, until
        )
        open_now = [s for s in self.eligible_holders(sess) if self.setup_backoff_until(s) <= self.now]
        if not self.probes_report_load or any(
            self.all_demand_known(s) or self.has_recent_reply(s) for s in open_now
        ):
            return
        near = [s for s in open_now if s.row.zone == self.facts.zone] or open_now
        first = self.chance.draw(max(len(near), 1))
        two = (near[first:] + near[:first])[:2]
        for server in two:
            if (
                server.arrival_probe_at <= self.now - REPORT_AGE_US
            ):  # guards against a burst that asks the same twice
                server.arrival_probe_at = self.now
                yield act.Probe(server.row.server)
        yield act.Wait(
            min(until, max((s.arrival_probe_at + REPLY_TIMEOUT_US for s in two), default=self.now))
        )

    def groups_holding(self, home: int, span: int) -> list[int]:
        """The groups whose racks hold a title, its home's first."""
        cells, racks, at = self.facts.plant.cells, len(self.uplinks), 0
        found = dict[int, None]()
        while at < min(span, cells):
            cell = (home + at) % cells
            group = self.group_by_rack[cell % racks]
            found[group] = None
            at += min(self.last_rack_of_group[group] - cell % racks, cells - 1 - cell) + 1
        return list(found)

    def known_holders(self, home: int, span: int) -> list[Server]:
        """The holders of a title of which we know what all ask."""
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
        """A keeper's answers: the best holders, the asker's zone first, and the best cold ones."""
        while True:
            got = yield act.WaitForPeerMessage(None)
            word = (
                self.last_message[1]
                if isinstance(got, ev.PeerMessage) and self.last_message[0] is got.payload
                else None
            )
            match got, word:
                case ev.PeerMessage(), words.InUseQuery(number):
                    theirs = self.fleet.counts.amounts_of(got.peer)
                    about = [
                        s
                        for at in theirs
                        if (s := self.servers.get(at))
                        and self.all_demand_known(s)
                        and s.row.state is not ServerState.GONE
                    ]
                    idle, granted = self.idle_by_server(about, 1.0), None
                case ev.PeerMessage(), words.HoldersQuery(number, home, span, zone):
                    about = self.known_holders(home, span)
                    idle = self.idle_by_server(about, 1.0)
                    about.sort(
                        key=lambda s: -idle[s.row.server]
                        * (1.0 if s.row.zone == zone else PREFERRED_IDLE_RATIO)
                    )
                    cold = list(filter(self.is_cold, about))
                    about = [s for s in about if s not in cold][:8] + cold[:2]
                    granted = next((s for s in about if self.may_grant(s, got.peer)), None)
                case _:
                    continue
            if not any(self.fleet.is_synced(group) for group in self.fleet.groups):
                continue  # we know no better than who asks
            rooms = [
                self.fleet.status_for(
                    got.peer, s.row.server, idle[s.row.server], self.demand(s), self.is_warm(s), s is granted
                )
                for s in about
            ]
            yield from self.fleet.reply(got.peer, number, rooms, isinstance(word, words.InUseQuery))

    def may_grant(self, server: Server, peer: int) -> bool:
        """One send to what may be cold, out of the parts lent to us; or a try, for all, of what is avoided.

        Guards against hundreds of fronts that each keep a part they can't use, or each try a bad server."""
        view = self.fleet.evidence.summary(self.now, server.row.server, peer)
        if view.is_bad(MIN_WITNESSES):
            first = self.facts.me in self.fleet.owners(self.group_of(server))[:2] and not self.is_cold(server)
            rested = (
                first and max(view.failed_at, server.trial_granted_at) <= self.now - FIRST_SETUP_BACKOFF_US
            )
            server.trial_granted_at = self.now if rested else server.trial_granted_at
            return rested
        slot, budget = self.cold_slot_us(server), server.row.server
        return self.is_cold(server) and self.fleet.shares.grant(
            self.now, self.group_of(server), budget, slot, self.cold_burst(slot)
        )

    def probe_servers(self) -> Script:
        """Probe in turn, as often as the price allows; messages share the work among fronts."""
        for turn in itertools.count(1):
            ready = self.table.ready
            if (
                self.fleet.gossip_enabled
            ):  # all are told what each hears: where we play the connection is there
                ready = [s for s in self.table.in_use() if s.row.state is ServerState.READY] or ready
            if ready and not self.fleet.most_owners_silent():
                first = len(ready) * self.facts.me // self.facts.fronts
                yield act.Probe(ready[(first + turn) % len(ready)].row.server)
            worth = PROBE_BUDGET_POINTS / max(self.facts.prices.probe, PROBE_BUDGET_POINTS / 4)
            # Guards against a wait reckoned before anybody came: it is reckoned anew each second
            probed = self.now
            while (
                due := probed
                + max(SECOND // 10, int(SECOND / (self.arrivals.rate_per_s(self.now, 30 * SECOND) * worth)))
            ) > self.now:
                yield act.Wait(min(due, self.now + SECOND))

    def send_updates(self, servers: list[Server]) -> Script:
        """Our rates at these, and what came to us of them since, to the keepers of each."""
        rates = [
            (
                self.group_of(s),
                s.take_update(
                    self.now,
                    self.now - (FIRST_SETUP_BACKOFF_US << MAX_BACKOFF_DOUBLINGS),
                    self.has_warming_session(s),
                ),
            )
            for s in servers
            if self.fleet.gossip_enabled
        ]
        yield from self.fleet.send_changes(rates)

    def demand_messages(self, keeper: int) -> list[words.ServerRate]:
        return [
            words.ServerRate(s.row.server, s.own_demand(), warm=self.has_warming_session(s))
            for s in self.table.in_use()
            if keeper in self.fleet.other_owners(self.group_of(s))
        ]

    def update_owners(self) -> Script:
        yield act.Wait(self.now + SECOND // 10)  # the sessions handed over are in by then
        for turn in itertools.count():
            yield from self.fleet.refresh(turn, FULL_SYNC_ROUNDS, self.demand_messages)
            yield from self.send_updates(
                [
                    s
                    for s in self.table.take_unsent()
                    if s.unsent_report
                    or s.unsent_delivery
                    or s.unsent_outcome
                    or s.sent_demand_kb != s.own_demand()
                    or s.sent_warm != self.has_warming_session(s)
                ]
            )
            cold = self.table.cold_servers(self.now, self.facts.rules.cold)
            yield from self.fleet.lend_shares(sorted({self.group_of(s) for s in cold}))
            yield act.Wait(self.now + self.gossip_period_us)

    def watch_servers(self) -> Script:
        while True:
            yield act.Watch(True)
            self.watching = True
            while self.watching:
                yield act.Wait(self.now + SECOND)
            yield act.Wait(self.now + SECOND + self.chance.draw(SECOND))
