"""All decisions of one ponddoor front: the server and the rung of every session, from arrival to end.

The caller is `ponddoor.runtime.driver.Driver`: it sets the clock, hands every event to `Front.observe` and
runs the generators `session`, `handed_over` and `upkeep`. What they yield and are resumed with is in
`ponddoor/interface` (facts, events, actions, words), what a front remembers in `ponddoor/state.py`.
docs/design.md tells how this follows the design.

Beside the design stand these mechanisms:
1. the guard: the six rules, at the one place that every SETUP passes (`Front.open_to`);
2. health: a server that fails is rested, then tried by one session at a time (`rested_until`);
3. further SETUPs: set-up timeouts that leave room for another holder (`Front.patience`);
4. fronts' word: rates, reports and evidence told to the keepers of a rack, who answer who asks (`telling`,
   `answering`; what is kept of it is in `ponddoor/fleet`);
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
from ponddoor.state import LONG_AGO, Arrivals, Pipe, SeededRandom, Server, Sess, Standing

SECOND = 1_000_000
HEADROOM = 0.04  # of a link or uplink, left for true rates above the ladder and for others' raises
RESIZE_EVERY = 5  # start targets
ARRIVALS = 60  # of which the moments are kept
PAYS = 1.5  # a change of rung must earn its cost so many times over
LENGTHS = 60  # ended sessions, after which what was learned of their lengths counts half
REPORT_AGE = SECOND // 3  # how old a report is taken to be when it comes
STEADY = 0.7  # of the most known around a report, that must have been known all the time
MISSING = 4 * SECOND  # without a report for so long, short-delivery notes stand in
PROBE_POINTS = 0.01  # of service, that probing may cost
NEAR = 0.5  # of the most idle, with which a holder of the own zone is taken
REGAIN = 0.02  # of an uplink seen short, that is tried again each second
LEAST = 0.25  # of a told uplink, that a shortage can leave
TELL_EVERY = 2  # start targets
ALL_EVERY = 16  # so many tellings, all is told and not only what changed
FEW = 3  # so many fronts all keep the whole account; of more, each part of it has KEEPERS
KEEPERS = 3
BEARS = 50  # arrivals a second, one a front in each start target, that a part is made for
KNOWN, REACH = 0.6, 0.4  # of the fleet, that has told us and that answers: the account is whole
ASKED = 3  # parts of the account that are asked about for an arrival
ASK_WAIT = SECOND // 12  # how long an answer of a keeper or a probe is waited for
SILENT = 4  # tellings, after which a front that does not answer is dead, at the soonest
PARTS = (0.5, 0.34, 0.25)  # of a holder's idle an arrival takes: all is known, a report came, a guess
COLD_USE = 0.4  # of a cold server's pace, that the fronts expect to use together
CROWD = 4  # arrivals that may meet at a holder before the account knows
MEANS_AGE = 8 * SECOND  # how long a player's word on what it can take counts
TAKES = 0.9  # of the throughput that a player measured, that a rung may use
REST = SECOND  # a failing server's first rest; doubled with each further failure
LONGEST = 3  # so often
MOST_COMPARED = 64  # holders of a title that are all looked at, and links of a rack that are all summed
DRAWN, DRAWN_IN_USE = 32, 8  # of more holders, those drawn by chance, and those drawn where we play
ROLL_EVERY = SECOND // 100  # some links of a large rack are reckoned anew, so often at most
AGAINST = 2  # fronts whose word it takes to avoid a server that we know nothing bad of
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class Front:
    def __init__(self, facts: SiteFacts, now: int) -> None:
        self.facts, self.now, self.born, self.chance = facts, now, now, SeededRandom(facts.seed)
        self.table = ServerTable(facts.plant)
        self.servers, self.by_rack = self.table.by_number, self.table.by_rack
        self.racks = [Pipe(facts.plant.uplink_kb) for _ in range(facts.plant.racks or 1)]
        self.sessions: dict[int, Sess] = {}
        self.seats: dict[tuple[int, int], int] = {}
        self.played, self.over = 0, 0  # how long sessions played in all, and how many ended
        self.lags: list[int] = []  # how long the last set-ups took
        self.arrivals = Arrivals(ARRIVALS)
        self.taken: list[int] = []  # requests within the budget's span
        self.resent: list[int] = []  # further SETUPs within it
        self.watching, self.reckoned, self.usual_load = False, LONG_AGO, 0.0
        target = min((group.start_target for group in facts.groups), default=SECOND)
        self.resize_every, self.tell_every = RESIZE_EVERY * target, TELL_EVERY * target
        timing = Timing(self.tell_every, ASK_WAIT, SILENT * self.tell_every, 2 * SILENT * self.tell_every)
        terms = Terms(KEEPERS, FEW, timing, REST << LONGEST, SILENT * self.tell_every, KNOWN, REACH, 2)
        parts = min(len(self.racks), 1 + facts.fronts * SECOND // target // BEARS)
        self.fleet = Fleet(facts, now, terms, parts)
        self.groups = [self.fleet.group_of(rack, len(self.racks)) for rack in range(len(self.racks))]
        self.last_rack = {group: rack for rack, group in enumerate(self.groups)}
        self.word: tuple[bytes, words.Message | None] = b"", None  # the last that came
        self.stood: dict[int, Standing] = {}
        self.lasts = ASK_WAIT // 4 if self.fleet.queries_owners else 0
        self.parts = [max(part, 1 / facts.fronts) for part in PARTS]
        self.told_by_probes = facts.permissions.probes and facts.reporting is Reporting.ON_PROBE

    def clock(self, now: int) -> None:
        self.now = self.fleet.now = now

    def rested_until(self, server: Server) -> int:
        """Guards against servers that are silent, stand still or fail set-ups; none need be told apart.

        It covers overloaded and cut-off ones too. It may harm where set-ups fail by chance everywhere: then
        all rest, and the holder whose rest ends first is taken."""
        bad = sum(not well for _, well in server.ends)
        rest = REST << min(bad - 1, LONGEST) if bad else 0
        return server.ends[-1][0] + rest if bad and not server.ends[-1][1] else 0

    def condemned(self, server: Server) -> bool:
        """Guards against a server that is bad for all, which each of many fronts would find out alone.

        Our own evidence goes first where it is newer, one front's word condemns nothing (`View.bad`). It may
        harm where two fronts are cut off from a server: until another tells, or while evidence counts."""
        view = self.fleet.evidence.summary(self.now, server.row.server, self.facts.me)
        own = max((at for at, _ in server.ends), default=LONG_AGO)
        return view.is_bad(AGAINST, own) and server.grant <= self.now - ASK_WAIT

    def observe(self, event: ev.Event) -> None:
        match event:
            case ev.ServerNews():
                self.learn_list(event)
            case ev.SessionRequest():
                self.arrivals.note(self.now, event.home, event.span)
                since = self.now - self.facts.rules.resend_span
                self.taken = [*(at for at in self.taken if at > since), self.now]
            case ev.Started():
                self.lags = [*self.lags[-29:], event.lag]
                self.judge(self.servers[event.server], True)
            case ev.Ended():
                self.learn_end(event)
            case ev.Note():
                self.learn_note(event)
            case ev.Probed():
                self.learn_probe(event)
            case ev.PeerMessage():
                self.learn_word(event)
            case ev.PlayerHint() if event.req_id in self.sessions:
                self.sessions[event.req_id].means = event.means
            case ev.ServerHint() if event.server in self.servers and event.duress:
                self.load(self.servers[event.server], event.taken, 1.0)
            case ev.ViewerLeft() if event.req_id in self.sessions:
                self.sessions[event.req_id].over = True

    def learn_list(self, news: ev.ServerNews) -> None:
        self.watching = news.scope is not ev.NewsScope.FAILED
        if news.scope in (ev.NewsScope.FULL, ev.NewsScope.CACHED):  # whoever is not named is gone
            named = {row.server for row in news.rows}
            for server in [s for number, s in self.table.running.items() if number not in named]:
                self.learn_row(replace(server.row, state=ServerState.GONE))
        for row in news.rows:
            self.learn_row(row)

    def learn_row(self, row: ev.ServerRow) -> None:
        held = self.servers.get(row.server) or self.table.add(row)
        if row.state is ServerState.GONE:
            row = replace(held.row, state=ServerState.GONE)  # its entry may tell no more than that
        elif row.started_at > held.row.started_at:  # a new process: what was seen of the old one is void
            held.ends, held.notes, held.link.loads, held.lost = [], [], [], None
            held.warm_at = LONG_AGO
            self.table.reports_changed(held)
            self.fleet.evidence.forget(row.server)
            self.fleet.counts.clear_key(row.server)
        before = self.running_rack(held)
        self.table.update_row(held, row)
        self.reckon_anew(held)
        if before != (after := self.running_rack(held)):
            self.book_move(held, before, after)

    def running_rack(self, server: Server) -> int | None:
        """The number of its rack; None where it has gone."""
        running = server.row.server in self.table.running
        return self.number_of_rack(server) if running else None

    def book_move(self, server: Server, before: int | None, after: int | None) -> None:
        """What is asked of a large rack's links is kept as a sum, which a server has left or joined."""
        asked = server.link.known[-1][1]
        for number, change in ((before, -asked), (after, asked)):
            if number is not None and change and len(self.by_rack[number]) > MOST_COMPARED:
                rack = self.racks[number]
                rack.known = [*rack.known[-99:], (self.now, rack.known[-1][1] + change)]
            if number is not None and (held := self.stood.get(number)) is not None:
                held.changed.add(server.row.server)

    def learn_probe(self, event: ev.Probed) -> None:
        server, well = self.servers.get(event.server), event.result is Result.SERVED
        if server is None:
            return
        if not well or server.lost is not None:  # an answered probe only proves that it runs
            self.judge(server, well)
        self.learn_report(server, event.report)

    def load(self, server: Server, taken: int, ratio: float) -> None:
        """A report of a server's link, of the moment it was taken."""
        server.link.load(taken, ratio)
        self.table.reports_changed(server)
        self.reckon_anew(server)

    def reckon_anew(self, server: Server) -> None:
        """Something is known of a link that its rack's sums do not have."""
        if (held := self.stood.get(server.row.cell % len(self.racks))) is not None:
            held.changed.add(server.row.server)

    def judge(self, server: Server, well: bool) -> None:
        server.ends = [*server.ends[-5:], (self.now, well)]
        self.fleet.record_own(server.row.server, server.seen(self.now - (REST << LONGEST)))
        server.ended |= not well or self.fleet.evidence.summary(self.now, server.row.server).failed > 0
        self.table.mark_unsent(server)
        if well and server.lost is not None:
            unseen = server.row.started_at < server.lost  # it may have restarted, and the list not know yet
            server.back, server.lost = self.now if unseen else server.back, None
            self.table.mark_possibly_cold(server)

    def learn_end(self, event: ev.Ended) -> None:
        sess, server = self.sessions.get(event.req_id), self.servers.get(event.server)
        if sess is None or server is None:
            return
        self.learn_report(server, event.report)
        if event.result in (Result.CONNECT_FAILED, Result.RESET):
            server.lost = self.now
        if event.result is Result.FULL and self.facts.plant.refuse_at:
            self.load(server, self.now, max(self.facts.plant.refuse_at, 1.0))
        elif event.result is Result.ERROR and (
            blamed := [
                self.servers[at]
                for at, _, end in sess.attempts
                if end is Result.ERROR and at != event.server and at in self.servers
            ]
        ):
            for other in blamed:  # guards against a request that no server can use: two say so, none rests
                bad = [i for i, (_, well) in enumerate(other.ends) if not well]
                other.ends = [end for i, end in enumerate(other.ends) if i not in bad[-1:]]
        elif event.result not in (Result.SERVED, Result.CANCELLED, Result.MOOT):
            self.judge(server, False)
        sess.attempts[event.attempt] = (*sess.attempts[event.attempt][:2], event.result)
        if event.result is Result.SERVED and sess.began is not None:
            self.over += 1
        self.release(sess)
        if sess.over:
            self.close(sess)

    def learn_note(self, note: ev.Note) -> None:
        sess, server = self.sessions.get(note.req_id), self.servers.get(note.server)
        if sess is None or server is None:
            return
        fresh = sess.began is None or self.now - sess.began < SECOND // 10
        taken = self.now if fresh else self.now - self.facts.plant.note_delay
        match note.kind:
            case ev.NoteKind.RUNG:
                sess.rung = round(note.value)
                self.book(server)
            case ev.NoteKind.LINK_ASKED:
                server.reported = note.value
                self.load(server, taken, note.value)
            case ev.NoteKind.UPLINK_ASKED:
                self.rack(server).load(taken, note.value)
            case ev.NoteKind.DELIVERED:
                server.felt = (taken, note.value)
                self.table.mark_unsent(server)
                self.learn_shortage(server, taken, note.value)

    def learn_shortage(self, server: Server, taken: int, share: float) -> None:
        """Guards against titles above their rung and reports that are late, missing or stop at full.

        The milder of the last two notes counts, so that a brief pause, which fills one, diverts nobody.
        Most of a rack's servers short at once are short of uplink unless most of their links are full."""
        server.notes = [*server.notes[-1:], (taken, share)]
        mild = max(share for _, share in server.notes)
        if share >= 0.98:  # what is delivered in full is not short: reports that it was are void
            server.link.loads = [(at, ratio) for at, ratio in server.link.loads if ratio < 1 or at > taken]
            self.table.reports_changed(server)
        if mild >= 0.98 or len(server.notes) < 2:
            return
        rack = self.rack(server)
        if (
            "uplink_asked" in self.facts.report_fields
            and self.fresh(rack)
            and rack.loads[-1][1] >= 0.97
            and server.reported < min(rack.loads[-1][1], 0.97)
        ):
            rack.load(taken, max(1 / max(mild, 0.1), rack.loads[-1][1]))
            return
        mates = self.mates(server)
        if len(mates) > MOST_COMPARED:  # of a large rack those where we play tell enough
            mates = [m for m in self.table.in_use() if self.rack(m) is rack][:MOST_COMPARED]
        played = [m for m in mates if m.sessions or self.fleet.counts.likely(m.row.server)]
        short = [
            m.notes[-1][1]
            for m in played
            if m.notes and m.notes[-1][1] < 0.98 and m.notes[-1][0] > taken - 2 * SECOND
        ]
        full = sum(m.link.loads[-1][1] >= 0.99 for m in played if self.fresh(m.link))
        if len(short) < 2 or 2 * len(short) <= len(played) or 2 * full > len(played):
            self.load(server, taken, 1 / max(mild, 0.1))
        elif "uplink_asked" not in self.facts.report_fields and self.steady(rack, taken):
            asked = rack.known_at(taken) if self.whole(server) else self.asked_of_rack(server)
            rack.short = (taken, asked * max(*short, 0.1))

    def learn_report(self, server: Server, report: dict[str, float]) -> None:
        taken, ratio = self.now - REPORT_AGE, report.get("link_asked", report.get("util"))
        if ratio is not None:
            if "link_asked" not in report and ratio >= 0.99 and server.notes and server.notes[-1][1] < 0.98:
                ratio = 1 / max(server.notes[-1][1], 0.1)  # util stops at full: the notes tell how far over
            self.load(server, taken, ratio)
            server.heard, server.reported = (taken, ratio), ratio
            self.table.mark_unsent(server)
        if "uplink_asked" in report:
            self.rack(server).load(taken, report["uplink_asked"])

    def learn_word(self, message: ev.PeerMessage) -> None:
        word = words.unpack(message.payload)
        self.word = message.payload, word
        for number in self.fleet.receive(message.peer, word):
            self.rebook(number)
        if isinstance(word, words.QueryReply):
            asked = self.fleet.match_reply(message.peer, word)
            for room in word.statuses if asked is not None else ():
                if (server := self.servers.get(room.server)) is not None and asked is not None:
                    server.take(asked, room)
        elif isinstance(word, words.RateUpdate):
            for rate in [rate for rate in word.rates if rate.server in self.servers]:
                server = self.servers[rate.server]
                if rate.delivered and (
                    not server.notes or server.notes[-1][0] < self.now - rate.delivered.age
                ):
                    self.learn_shortage(server, self.now - rate.delivered.age, rate.delivered.value)
                taken = self.now - (rate.load.age if rate.load else 0)
                if rate.load and (not server.link.loads or server.link.loads[-1][0] < taken):
                    self.load(server, taken, rate.load.value)

    def rack(self, server: Server) -> Pipe:
        return self.racks[server.row.cell % len(self.racks)]

    def fresh(self, pipe: Pipe) -> bool:
        return bool(pipe.loads) and pipe.loads[-1][0] > self.now - 2 * MISSING

    def book(self, server: Server) -> None:
        """What we know to be asked of a link and of its rack's uplink has changed."""
        self.table.sessions_changed(server)
        asked = server.own() + self.fleet.counts.likely(server.row.server)
        before = server.link.known[-1][1]
        server.link.known = [*server.link.known[-39:], (self.now, asked)]
        self.reckon_anew(server)
        rack, mates = self.rack(server), self.mates(server)
        in_all = (
            sum(s.link.known[-1][1] for s in mates)
            if len(mates) <= MOST_COMPARED
            else rack.known[-1][1] + (asked - before if self.running_rack(server) is not None else 0.0)
        )
        rack.known = [*rack.known[-99:], (self.now, in_all)]

    def rebook(self, number: int) -> None:
        if number in self.servers:
            self.book(self.servers[number])

    def whole(self, server: Server) -> bool:
        """Whether most fronts' rates are known, so that all that is asked of its rack is."""
        return self.fleet.is_synced(self.group(server))

    def group(self, server: Server) -> int:
        return self.groups[server.row.cell % len(self.racks)]

    def usual(self) -> float:
        """The fleet's usual load, by the reports; without any, others are taken to ask as much as we do."""
        if self.reckoned != self.now:
            load = self.table.mean_reported_load(self.now - 2 * MISSING)
            if load is None:
                ours = sum(s.own() for s in self.table.in_use()) * self.facts.fronts
                load = ours / max(self.table.total_kb, 1.0)
            self.reckoned, self.usual_load = self.now, load
        return self.usual_load

    def asked(self, server: Server) -> float:
        """What is asked of a link: a hub's word, or the last reports and what we know to have changed since.

        Guards against old word: long unheard of, a server counts as full as those with a report, one started
        since as emptier, or nobody is sent to bring news. It may harm where the silent are the full ones."""
        if self.hinted(server):
            return server.told[2] + server.own()
        known = server.link.known[-1][1]
        if self.whole(server):
            return known
        if self.fresh(server.link):
            return max(server.own(), server.link.unknown() + known)
        age = (self.now - server.started()) / self.facts.rules.cold
        return max(server.own(), server.link.kb * self.usual() * min(1.0, age))

    def hinted(self, server: Server) -> bool:
        return server.told[0] > self.now - self.tell_every

    def idles(self, servers: list[Server], part: float | None = None) -> dict[int, float]:
        """Told link less headroom and what is asked, capped by its share of its rack's idle uplink.

        Every front sees the same idle at once, so we take but our `part` of the link's; an arrival's part
        is less where the load is guessed from others."""
        found = dict[int, float]()
        numbers = {s.row.server: s.row.cell % len(self.racks) for s in servers}
        for server in servers:  # of large racks these links are reckoned as of now
            self.reckon_anew(server)
        stands = {number: self.standing(number) for number in set(numbers.values())}
        for server in servers:
            at, link = server.row.server, server.link
            stand = stands[numbers[at]]
            room, blind = stand.rooms.get(at, 0.0), 0 if self.whole(server) else 1 if self.fresh(link) else 2
            share = min(room * (part or self.parts[blind]), stand.spare * room / stand.positive * (part or 1))
            ours = share if room > 0 else room
            ours_short = stand.spare * stand.asked.get(at, 0.0) / max(stand.in_all, 1.0)
            found[at] = ours if stand.spare >= 0 else min(room, ours_short)
        for server in filter(self.hinted, servers):
            room = server.told[1] - server.own()
            found[server.row.server] = room * (part or self.parts[0]) if room > 0 else room
        return found

    def standing(self, number: int) -> Standing:
        """A rack's links and uplink: each link's room, the uplink's spare, and what is asked of them.

        Kept until what we know of the rack changes, a hub's for a little: most of its time goes here."""
        rack, mates = self.racks[number], self.by_rack[number]
        held, large = self.stood.get(number), len(mates) > MOST_COMPARED
        if held is not None and large:
            self.refresh(number, held)
            return held
        if held is not None and not large and held.known is rack.known and self.now - held.at < self.lasts:
            return held
        asked = {s.row.server: self.asked(s) for s in mates}
        rooms = {s.row.server: self.gives(s) * (1 - HEADROOM) - asked[s.row.server] for s in mates}
        open_kb = sum(kb for kb in rooms.values() if kb > 0)
        stands = Standing(self.now, rack.known, rooms, asked, open_kb, sum(asked.values()))
        stands.spare = self.spare(rack, stands.in_all)
        self.stood[number] = stands
        return stands

    def refresh(self, number: int, held: Standing) -> None:
        """The sums of a large rack, with what has changed in it, and some links in turn."""
        changed, held.changed = held.changed, set()
        if self.now - held.at >= ROLL_EVERY:
            held.at, mates = self.now, self.by_rack[number]
            held.turn = (held.turn + DRAWN) % len(mates)
            changed.update(s.row.server for s in mates[held.turn : held.turn + DRAWN])
        for at in sorted(changed):
            server = self.servers.get(at)
            gone = server is None or server.row.state is ServerState.GONE
            if server is None or gone or self.number_of_rack(server) != number:
                held.drop(at)
            else:
                asked = self.asked(server)
                held.put(at, self.gives(server) * (1 - HEADROOM) - asked, asked)
        held.spare = self.spare(self.racks[number], held.in_all)

    def spare(self, rack: Pipe, in_all: float) -> float:
        """Of a rack's uplink, where so much is asked of its links."""
        total = in_all
        if "uplink_asked" in self.facts.report_fields and self.fresh(rack):
            total = rack.unknown() + rack.known[-1][1]
        return self.gives_rack(rack, total) * (1 - HEADROOM) - total

    def number_of_rack(self, server: Server) -> int:
        return server.row.cell % len(self.racks)

    def asked_of_rack(self, server: Server) -> float:
        mates = self.mates(server)
        if len(mates) <= MOST_COMPARED:
            return sum(map(self.asked, mates))
        return self.standing(self.number_of_rack(server)).in_all

    def arrivals_part(self) -> float:
        """Of a holder's idle that an arrival takes: as many others come there before the account knows."""
        facts = self.facts
        age = ASK_WAIT if self.fleet.gossip_enabled else facts.plant.note_delay + facts.plant.note_every // 2
        come = self.arrivals.rate(self.now, 10 * SECOND) * facts.fronts
        meet = come / max(len(self.table.ready), 1) * age / SECOND
        return 1 / (1 + min(meet, (facts.fronts - 1)))

    def mates(self, server: Server) -> list[Server]:
        return self.by_rack[server.row.cell % len(self.racks)]

    def gives(self, server: Server) -> float:
        """A link as told, a cold server's as cold as it is, or as learned: known rate over reported ratio."""
        link, cold, least = server.link, self.facts.rules.cold, self.facts.rules.cold_from
        # Guards against a link believed wide as reports stop at full: near full they prove no more than told
        stops = math.inf if "link_asked" in self.facts.report_fields else 0.9
        seen = (
            sorted(
                min(link.known_at(taken) / ratio, math.inf if ratio < stops else link.kb)
                for taken, ratio in link.loads
                if ratio > 0.25
                and taken > self.fleet.synced_since[self.group(server)]
                and self.steady(link, taken)
            )
            if self.whole(server)
            else []
        )
        if seen:
            return min(max(seen[len(seen) // 2], link.kb * 0.1), link.kb * 1.6)
        return link.kb * min(1.0, least + (1 - least) * (self.now - server.started()) / cold)

    def steady(self, pipe: Pipe, taken: int) -> bool:
        """Guards against learning what a pipe gives from a report whose age is only guessed, while what is
        known to be asked changes fast: after a loss a tenth would be learned. It may harm in a long rise."""
        known = [pipe.known_at(taken + shift) for shift in (-REPORT_AGE, 0, REPORT_AGE)]
        return min(known) >= STEADY * max(known)

    def gives_rack(self, rack: Pipe, total: float) -> float:
        """An uplink as told or, once short, as the shortage showed; while nobody is short, a little more."""
        since, uplink = rack.short or (self.born, rack.kb)
        if "uplink_asked" in self.facts.report_fields:
            return rack.kb
        uplink = max(uplink, rack.kb * LEAST)
        return min(uplink * (1 + REGAIN * (self.now - since) / SECOND), max(uplink, rack.kb, total * 1.1))

    def gain(self, sess: Sess, rung: int) -> float:
        """Utility per rate of the step from the rung below."""
        ladder, rung = sess.ladder, min(rung, len(sess.ladder.rate_kb) - 1)  # a ladder may have one rung
        step = sess.rate(rung) - sess.rate(rung - 1)
        return sess.group.utility * (ladder.utility[rung] - ladder.utility[rung - 1]) / max(step, 1e-9)

    def size(self, sessions: list[Sess], budget: float, caps: list[int]) -> list[int]:
        """The design's loop: all at the lowest rung, then a step for whoever gains most utility per rate."""
        rungs = [sess.group.floor for sess in sessions]  # also of who can use less: the terms come first
        budget -= sum(sess.rate(rung) for sess, rung in zip(sessions, rungs, strict=True))
        steps = [
            (-self.gain(sess, rung + 1), i)
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
                heapq.heappush(steps, (-self.gain(sessions[i], rungs[i] + 1), i))
        return rungs

    def usable(self, sess: Sess) -> int:
        """The highest rung that a player can use, by its own word while that is fresh.

        Guards against rates that nobody takes, and against raising who starves. It may harm where a player's
        measure is low for a moment: until its next word, or for as long as one counts."""
        means, rung = sess.means, sess.top
        if means is None or means.taken <= self.now - MEANS_AGE:
            return rung
        most = min(means.top_kb or math.inf, (means.throughput_kb or math.inf) * TAKES)
        while rung > sess.group.floor and sess.rate(rung) > most:
            rung -= 1
        held = sess.began is not None and self.starving(sess)
        return max(min(rung, sess.rung), sess.group.floor) if held else rung

    def starving(self, sess: Sess) -> bool:
        means = sess.means
        if means is None or means.taken <= self.now - MEANS_AGE:
            return False
        soon = min(SECOND if left is None else left for left in (means.buffer, means.due))
        return means.starved or soon < SECOND // 2

    def place(self, sess: Sess) -> Server | None:
        """Size by the holders' pooled idle, take the one with most, cap the rung to fit and size again."""
        open_now = self.open_to(sess)
        if not open_now:
            return None
        fit = [s for s in open_now if self.rested_until(s) <= self.now]
        fit = (
            [s for s in fit if all(s.row.server != at for at, _, _ in sess.attempts)]
            or fit
            or [min(open_now, key=lambda s: (self.rested_until(s), s.row.server))]
        )
        # Guards against hearsay that would leave nobody: half of a title's holders are avoided at most
        avoided = list(filter(self.condemned, fit))[: len(open_now) // 2]
        fit = [s for s in fit if s not in avoided] or fit
        fit = list(filter(self.hinted, fit)) or fit
        idle = self.idles(fit)
        first = self.chance.draw(len(fit))  # fronts that see alike must not all take the same of equals
        by_idle = sorted(fit[first:] + fit[:first], key=lambda s: -idle[s.row.server])
        best, close = by_idle[0], NEAR if self.facts.prices.cross_zone > 0 else 1.0
        near = next((s for s in by_idle if s.row.zone == self.facts.zone), best)
        best = near if idle[near.row.server] >= close * idle[best.row.server] > 0 else best
        # Guards against hundreds of fronts that each connect to all servers and ask all for signs of life:
        # where we have sessions is good enough. It may harm where ours alone fill a link: half its idle stays
        met = next((s for s in by_idle if s.sessions and s.row.zone == best.row.zone), best)
        many = self.fleet.gossip_enabled and self.facts.fronts > CROWD
        best = met if many and idle[met.row.server] >= NEAR * idle[best.row.server] > 0 else best
        if idle[best.row.server] < 0:
            playing = [s for s in self.sessions.values() if s.began is not None]
            if sum(s.rung <= s.group.floor for s in playing) * 2 > len(playing) > 1:
                return None  # few could be cut to make room: one more costs the others more than it earns
        count = self.table.holder_count(sess.req.home, sess.req.span)
        more = count / (DRAWN + DRAWN_IN_USE) if count > MOST_COMPARED else 1.0
        pooled = sum(max(0.0, kb) for kb in idle.values()) * more
        sess.rung = self.size([sess], pooled, [self.usable(sess)])[0]
        most = min(idle[best.row.server], self.idles([best], self.arrivals_part())[best.row.server])
        while sess.rung > sess.group.floor and sess.rate(sess.rung) > most:
            sess.rung = self.size([sess], pooled, [sess.rung - 1])[0]
        return best

    # The guard: every SETUP passes here, at the moment it is sent

    def open_to(self, sess: Sess, paced: bool = True) -> list[Server]:
        """The holders of its title that a SETUP may go to now; without `paced`, also those that are cold."""
        if self.spent(sess) or 0 < sess.group.seats <= self.seats.get(sess.seat(), 0):
            return []
        return [
            s
            for s in self.compared(sess.req.home, sess.req.span)
            if self.may_repeat(sess, s) and not (paced and self.paced_until(s) > self.now)
        ]

    def compared(self, home: int, span: int) -> list[Server]:
        """The holders of a title or, of very many, some by chance and some of those where we play.

        Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001: the best of a few
        drawn by chance is close to the best of all."""
        count, holds = self.table.holder_count(home, span), self.facts.plant.holds
        if count <= MOST_COMPARED:
            return self.table.holders(home, span)
        drawn = self.table.holders_at_positions(home, span, (self.chance.draw(count) for _ in range(DRAWN)))
        ours = [
            s
            for s in self.table.in_use()
            if s.row.state is ServerState.READY and holds(s.row.cell, home, span)
        ]
        first = self.chance.draw(max(len(ours), 1))
        some = (ours[first:] + ours[:first])[:DRAWN_IN_USE]
        return sorted({s.row.server: s for s in (*drawn, *some)}.values(), key=lambda s: s.order)

    def spent(self, sess: Sess) -> bool:
        """Whether no SETUP may follow: too many, or none left in the budget; `serve` has but one out."""
        rules, since = self.facts.rules, self.now - self.facts.rules.resend_span
        if rules.spare_setups is None or not sess.attempts:
            return len(sess.attempts) >= self.facts.permissions.max_attempts
        taken, resent = sum(at > since for at in self.taken), sum(at >= since for at in self.resent)
        over = resent + 1 > rules.spare_setups + rules.resend_ratio * taken
        return over or len(sess.attempts) >= self.facts.permissions.max_attempts

    def may_repeat(self, sess: Sess, server: Server) -> bool:
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
        known = self.cold(server)
        if not known and server.lost is None and (self.now - self.born >= rules.cold or self.warm(server)):
            return 0
        if server.grant > self.now - ASK_WAIT:
            return 0
        slot = self.slot(server)
        if not known and server.lost is None:
            return server.sent + slot * fronts
        if (
            known
            and self.fleet.queries_owners
            and not self.fleet.shares.may_use_own(self.now, self.group(server))
        ):
            return self.now + ASK_WAIT  # our part is lent, or may be by our life before: a keeper grants
        run = min(fronts, int(COLD_USE * SECOND / (slot * self.wanted_rate(server))), self.burst(slot))
        turn = (self.now + self.facts.wall) // slot
        since = (turn - self.facts.me) % fronts
        if since < max(run, 1) and server.sent + self.facts.wall < (turn - since) * slot:
            return 0
        return (turn + fronts - since) * slot - self.facts.wall

    def cold(self, server: Server) -> bool:
        return self.now - server.started() < self.facts.rules.cold

    def slot(self, server: Server) -> int:
        """The time that one set-up takes of what a server bears when it is coldest (us)."""
        rules = self.facts.rules
        per_warming = self.facts.plant.streams[server.row.kind] * rules.cold_from * rules.fall_multiple
        return int(rules.cold / max(per_warming, 0.01))

    def burst(self, slot: int) -> int:
        """Set-ups that may come at once, by turns or by one keeper's grants: together the two roots and two
        that are chance beyond the N slots of the rule's span, less those that a connection holds back."""
        among, late = (
            1 + KEEPERS if self.fleet.queries_owners else 1,
            self.facts.permissions.connect_timeout / slot,
        )
        return max(1, int((2 * math.sqrt(self.facts.rules.fall / slot) + 2 - late) / among))

    def wanted_rate(self, server: Server) -> float:
        """Arrivals a second that could go to a server: by ten seconds, or by one where that has more."""
        place = server.row.cell, self.facts.plant.cells
        return max(
            self.arrivals.rate(self.now, 10 * SECOND, place),
            self.arrivals.lately(self.now, SECOND, place) - 1,
        )

    def warm(self, server: Server) -> bool:
        """Whether somebody has a session there that began before the server could be cold: we, a front that
        told us, or one that told a hub. A process that dies resets its connections, so who has one knows."""
        return (
            server.warm_at > self.now - self.tell_every
            or self.old(server)
            or self.fleet.counts.is_flagged(server.row.server)
        )

    def old(self, server: Server) -> bool:
        return server.old(self.now - self.facts.rules.cold)

    def may_refuse(self, sess: Sess) -> bool:
        return (
            all(end in NEVER_RAN for _, _, end in sess.attempts)
            or sess.group.effect is Effect.SAFE
            or (sess.group.effect, sess.group.scope) == (Effect.KEYED, Scope.ALL)
        )

    def open(self, req: ev.SessionRequest) -> Sess:
        group = self.facts.groups[req.service_group]
        top = min(req.top, group.top, len(self.facts.ladder.rate_kb) - 1)
        sess = Sess(req, group, self.facts.ladder, self.now + req.time_left, group.floor, top)
        sess.means = req.means
        return self.sessions.setdefault(req.req_id, sess)

    def session(self, req: ev.SessionRequest) -> Script:
        sess = self.open(req)
        yield from self.serve(sess)
        self.close(sess)

    def serve(self, sess: Sess) -> Script:
        req_id, allowed = sess.req.req_id, self.facts.permissions
        while self.now < sess.deadline:
            yield from self.inquire(sess)
            if sess.over:
                return
            server = self.place(sess) if self.now < sess.deadline else None
            if server is None:
                later = self.open_to(sess, paced=False)
                chance = min(map(self.paced_until, later), default=sess.deadline)
                if not self.now < chance < sess.deadline and (chance := self.later(sess)) <= self.now:
                    break
                got: ResumeValue = yield act.Wait(chance)
            else:
                self.commit(sess, server)
                yield from self.tell([server])
                if sess.top >= sess.group.floor:
                    yield act.SetRung(req_id, sess.rung)
                got = yield act.Setup(req_id, server.row.server, self.patience(sess))
            if isinstance(got, ev.Started):
                sess.began = self.now
                yield act.Play()
                return
            if isinstance(got, ev.ViewerLeft) or (isinstance(got, ev.Ended) and got.final):
                return
            if server is not None and server.ended and server.ends and not server.ends[-1][1]:
                yield from self.tell([server])  # others may be about to send there
        # Given up: the answer goes out at once. Guards against viewers that come back together as they were
        # turned away: a quarter to three quarters of the longest come-back time that they heed, by chance
        most = allowed.max_come_back if allowed.come_back else 0
        advice = most // 4 + self.chance.draw(most // 2)
        yield act.BusyReply(req_id, advice) if self.may_refuse(sess) else act.TearDown(req_id)

    def later(self, sess: Sess) -> int:
        """When a moved player that plays on from a deep buffer is tried again; now, where it can't wait."""
        means = sess.means
        if means is None or not sess.req.moved or sess.attempts:
            return self.now
        until = min(means.taken + (means.buffer or 0) - SECOND, sess.deadline - SECOND // 10)
        return max(self.now, min(self.now + SECOND // 2, until))

    def handed_over(self, event: ev.HandedOver) -> Script:
        sess = self.open(event.request)
        if event.server in self.servers:
            self.commit(sess, self.servers[event.server])
        sess.began = self.now
        yield act.Play()
        self.close(sess)

    def patience(self, sess: Sess) -> int:
        """A set-up timeout that leaves time for another holder before the start target, if it can.

        Guards against giving up everywhere what is only slow: three times the usual is waited for."""
        left = sess.deadline - self.now
        if sess.group.effect is Effect.UNSAFE or len(sess.attempts) >= self.facts.permissions.max_attempts:
            return left
        target = sess.deadline - sess.req.time_left + sess.group.start_target
        usual = sorted(self.lags)[len(self.lags) // 2] if self.lags else 0
        return min(left, max((target - self.now) * 45 // 100, sess.group.start_target // 5, 3 * usual))

    def commit(self, sess: Sess, server: Server) -> None:
        """A SETUP goes out: the account, the seats, the pace and the budget know it at once."""
        if sess.attempts:
            since = self.now - self.facts.rules.resend_span
            self.resent = [*(at for at in self.resent if at >= since), self.now]
        sess.attempts.append((server.row.server, self.now, None))
        sess.server, server.sent, server.grant = server.row.server, self.now, LONG_AGO
        server.sessions[sess.req.req_id] = sess
        self.seats[sess.seat()] = self.seats.get(sess.seat(), 0) + 1
        self.book(server)

    def release(self, sess: Sess) -> None:
        server = self.servers.get(sess.server)
        if server is not None and server.sessions.pop(sess.req.req_id, None) is not None:
            self.seats[sess.seat()] -= 1
            self.book(server)

    def close(self, sess: Sess) -> None:
        """The viewer is answered; a SETUP still out keeps its seat and its rate until its outcome."""
        sess.over = True
        if all(end is not None for _, _, end in sess.attempts):
            self.release(sess)
            self.sessions.pop(sess.req.req_id, None)

    def upkeep(self) -> Iterable[Script]:
        wanted = [
            (True, self.resizing()),
            (self.facts.asked_discovery, self.watch()),
            (self.told_by_probes, self.probing()),
            (self.fleet.queries_owners, self.answering()),
            (self.fleet.gossip_enabled, self.fleet.gossip(self.rebook, self.rates)),
            (self.fleet.gossip_enabled, self.telling()),
        ]
        return [script for want, script in wanted if want]

    def resizing(self) -> Script:
        yield act.Wait(self.now + SECOND + self.resize_every * self.facts.me // max(1, self.facts.fronts))
        while True:
            next_time = self.now + self.resize_every
            if self.sessions:
                groups = {self.group(s) for s in self.table.in_use()}
                yield from self.fleet.query(groups, words.InUseQuery, self.now + ASK_WAIT)
            for server in self.table.in_use():
                yield from self.resize(server)
            yield act.Wait(next_time)
            self.played += self.resize_every * sum(s.began is not None for s in self.sessions.values())
            if self.over > LENGTHS:
                self.played, self.over = self.played // 2, self.over // 2

    def resize(self, server: Server) -> Script:
        """Size a server's playing sessions within our share of its idle; only changes that pay."""
        known = self.whole(server) or self.hinted(server) or self.fresh(server.link)
        mine = [s for s in server.sessions.values() if s.began is not None] if known else []
        own, asked = server.own(), max(self.asked(server), 1.0)
        contend = min(self.facts.fronts, max(CROWD, asked / max(own, 1.0)))  # fronts that raise there with us
        room = self.idles([server], 1 / contend)[server.row.server]
        room *= own / max(asked, own) if room < 0 else 1
        if room > 0 and contend > CROWD:  # a part under a step would never be taken: some take a larger one
            room *= contend / CROWD if self.chance.draw(1000) * contend < CROWD * 1000 else 0
        spent = sum(s.rate(s.rung) for s in mine)
        mine.sort(key=self.starving)  # of like gain they have the last step up, and the first down
        want = zip(mine, self.size(mine, spent + room, [self.usable(s) for s in mine]), strict=True)
        for sess, rung in sorted(want, key=lambda w: (w[1] > w[0].rung, self.gain(w[0], max(w[0].rung, 1)))):
            need = sess.rate(rung) - sess.rate(sess.rung)
            sure = contend <= CROWD or self.chance.draw(1000) * need > room * 2000  # many: by chance
            idles = need < 0 and sess.rung > self.usable(sess)
            if idles or (need < 0 and room < 0 and sure) or (0 < need <= room and self.earns(sess, rung) > 0):
                sess.rung = rung
                room -= need
                yield act.SetRung(sess.req.req_id, rung)
        self.book(server)

    def earns(self, sess: Sess, rung: int) -> float:
        """What a change of rung earns over the time the session is likely to have left, less its cost.

        That is all time played over the ends seen: those that end first, early on, are the short ones."""
        ladder, played, hint = sess.ladder, self.now - (sess.began or self.now), sess.req.length_hint
        left = max(self.played // (self.over + 1), self.resize_every)
        left = left if hint is None else max(hint - played, 0)
        more = ladder.utility[rung] - ladder.utility[sess.rung]
        return sess.group.utility * (more * left / SECOND - PAYS * ladder.switch_cost_s)

    def inquire(self, sess: Sess) -> Script:
        """Guards against placing blind, where the account is not whole: asks keepers, else probes two.

        It covers keepers that are gone, and messages that are lost. It may harm where answers are slow."""
        req, until = sess.req, min(self.now + ASK_WAIT, sess.deadline)
        groups = self.groups_of(req.home, req.span)
        question = functools.partial(words.HoldersQuery, home=req.home, span=req.span, zone=self.facts.zone)
        yield from self.fleet.query(self.fleet.sample_groups(groups, ASKED, self.chance), question, until)
        open_now = [s for s in self.open_to(sess) if self.rested_until(s) <= self.now]
        if not self.told_by_probes or any(self.whole(s) or self.hinted(s) for s in open_now):
            return
        near = [s for s in open_now if s.row.zone == self.facts.zone] or open_now
        first = self.chance.draw(max(len(near), 1))
        two = (near[first:] + near[:first])[:2]
        for server in two:
            if server.inquired <= self.now - REPORT_AGE:  # guards against a burst that asks the same twice
                server.inquired = self.now
                yield act.Probe(server.row.server)
        yield act.Wait(min(until, max((s.inquired + ASK_WAIT for s in two), default=self.now)))

    def groups_of(self, home: int, span: int) -> list[int]:
        """The groups whose racks hold a title, its home's first."""
        cells, racks, at = self.facts.plant.cells, len(self.racks), 0
        found = dict[int, None]()
        while at < min(span, cells):
            cell = (home + at) % cells
            group = self.groups[cell % racks]
            found[group] = None
            at += min(self.last_rack[group] - cell % racks, cells - 1 - cell) + 1
        return list(found)

    def holders_kept(self, home: int, span: int) -> list[Server]:
        """The holders of a title of which we know what all ask."""
        if self.table.holder_count(home, span) > MOST_COMPARED:
            return [s for s in self.compared(home, span) if self.whole(s)]
        holds, racks = self.facts.plant.holds, self.facts.plant.racks_of(home, span)
        return [
            s
            for rack in racks
            for s in self.by_rack[rack]
            if holds(s.row.cell, home, span) and self.whole(s) and s.row.state is ServerState.READY
        ]

    def answering(self) -> Script:
        """A keeper's answers: the best holders, the asker's zone first, and the best cold ones."""
        while True:
            got = yield act.WaitForPeerMessage(None)
            word = self.word[1] if isinstance(got, ev.PeerMessage) and self.word[0] is got.payload else None
            match got, word:
                case ev.PeerMessage(), words.InUseQuery(number):
                    theirs = self.fleet.counts.amounts_of(got.peer)
                    about = [
                        s
                        for at in theirs
                        if (s := self.servers.get(at))
                        and self.whole(s)
                        and s.row.state is not ServerState.GONE
                    ]
                    idle, granted = self.idles(about, 1.0), None
                case ev.PeerMessage(), words.HoldersQuery(number, home, span, zone):
                    about = self.holders_kept(home, span)
                    idle = self.idles(about, 1.0)
                    about.sort(key=lambda s: -idle[s.row.server] * (1.0 if s.row.zone == zone else NEAR))
                    cold = list(filter(self.cold, about))
                    about = [s for s in about if s not in cold][:8] + cold[:2]
                    granted = next((s for s in about if self.may_grant(s, got.peer)), None)
                case _:
                    continue
            if not any(self.fleet.is_synced(group) for group in self.fleet.groups):
                continue  # we know no better than who asks
            rooms = [
                self.fleet.status_for(
                    got.peer, s.row.server, idle[s.row.server], self.asked(s), self.warm(s), s is granted
                )
                for s in about
            ]
            yield from self.fleet.reply(got.peer, number, rooms, isinstance(word, words.InUseQuery))

    def may_grant(self, server: Server, peer: int) -> bool:
        """One send to what may be cold, out of the parts lent to us; or a try, for all, of what is avoided.

        Guards against hundreds of fronts that each keep a part they can't use, or each try a bad server."""
        view = self.fleet.evidence.summary(self.now, server.row.server, peer)
        if view.is_bad(AGAINST):
            first = self.facts.me in self.fleet.owners(self.group(server))[:2] and not self.cold(server)
            rested = first and max(view.failed_at, server.tried) <= self.now - REST
            server.tried = self.now if rested else server.tried
            return rested
        slot, budget = self.slot(server), server.row.server
        return self.cold(server) and self.fleet.shares.grant(
            self.now, self.group(server), budget, slot, self.burst(slot)
        )

    def probing(self) -> Script:
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
            worth = PROBE_POINTS / max(self.facts.prices.probe, PROBE_POINTS / 4)
            # Guards against a wait reckoned before anybody came: it is reckoned anew each second
            probed = self.now
            while (
                due := probed
                + max(SECOND // 10, int(SECOND / (self.arrivals.rate(self.now, 30 * SECOND) * worth)))
            ) > self.now:
                yield act.Wait(min(due, self.now + SECOND))

    def tell(self, servers: list[Server]) -> Script:
        """Our rates at these, and what came to us of them since, to the keepers of each."""
        rates = [
            (self.group(s), s.said_now(self.now, self.now - (REST << LONGEST), self.old(s)))
            for s in servers
            if self.fleet.gossip_enabled
        ]
        yield from self.fleet.send_changes(rates)

    def rates(self, keeper: int) -> list[words.ServerRate]:
        return [
            words.ServerRate(s.row.server, s.own(), warm=self.old(s))
            for s in self.table.in_use()
            if keeper in self.fleet.other_owners(self.group(s))
        ]

    def telling(self) -> Script:
        yield act.Wait(self.now + SECOND // 10)  # the sessions handed over are in by then
        for turn in itertools.count():
            yield from self.fleet.refresh(turn, ALL_EVERY, self.rates)
            yield from self.tell(
                [
                    s
                    for s in self.table.take_unsent()
                    if s.heard or s.felt or s.ended or s.said != s.own() or s.said_warm != self.old(s)
                ]
            )
            cold = self.table.cold_servers(self.now, self.facts.rules.cold)
            yield from self.fleet.lend_shares(sorted({self.group(s) for s in cold}))
            yield act.Wait(self.now + self.tell_every)

    def watch(self) -> Script:
        while True:
            yield act.Watch(True)
            self.watching = True
            while self.watching:
                yield act.Wait(self.now + SECOND)
            yield act.Wait(self.now + SECOND + self.chance.draw(SECOND))
