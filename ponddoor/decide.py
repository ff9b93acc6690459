"""All decisions of one ponddoor front: the server and the rung of every session, from arrival to end.

The caller is `ponddoor.runtime.driver.Driver`: it sets the clock, hands every event to `Front.observe` and
runs the generators `session`, `handed_over` and `upkeep`. What they yield and are resumed with is in
`ponddoor/interface` (facts, events, actions). docs/design.md tells how this follows the design.

Beside the design stand these mechanisms:
1. the guard: the six rules, at the one place that every SETUP passes (`Front.barred`);
2. health: a server that fails is rested, then tried by one session at a time (`Server.rested_until`);
3. further SETUPs: set-up timeouts that leave room for another holder (`Front.patience`);
4. fronts' word: rates and reports told to a few hubs, which answer who asks (`Front.telling`, `answering`);
5. an inquiry before a placement, of a hub or of two holders, where the account is not whole (`inquire`).
"""

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import words
from ponddoor.interface.events import Result, ServerState
from ponddoor.interface.facts import Effect, Reporting, Scope, ServiceGroup, SiteFacts
from ponddoor.interface.script import Resumed, Script

SECOND = 1_000_000
LONG_AGO = -(1 << 60)
HEADROOM = 0.04           # of a link or uplink, left for true rates above the ladder and for others' raises
RESIZE_EVERY = 5 * SECOND
PAYS = 5.0                # a change of rung must earn its cost so many times over
REPORT_AGE = SECOND // 3  # how old a report is taken to be when it comes
MISSING = 4 * SECOND      # without a report for so long, short-delivery notes stand in
PROBE_POINTS = 0.01       # of service, that probing may cost
NEAR = 0.5                # of the most idle, with which a holder of the own zone is taken
REGAIN = 0.02             # of an uplink seen short, that is tried again each second
TELL_EVERY = 2 * SECOND
ALL_EVERY = 8             # so many tellings, all is told and not only what changed
HUBS = 3                  # fronts that are told of all sessions: the first by number
ASK_WAIT = SECOND // 12   # how long an answer of a hub or a probe is waited for
KNOWN_PART = 0.5          # of a holder's idle, that an arrival takes
GUESSED_PART = 0.25       # the same, where its load is not known but guessed
COLD_USE = 0.4            # of a cold server's pace, that the fronts expect to use together
CROWD = 4                 # arrivals that may meet at a holder before the account knows
REST = SECOND             # a failing server's first rest; doubled with each further failure
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


@dataclass(slots=True)
class Pipe:
    """A server's link or a rack's uplink: what is told of it, what we know to ask of it, and its reports."""

    kb: float
    known: list[tuple[int, float]] = field(default_factory=lambda: [(0, 0.0)])
    loads: list[tuple[int, float]] = field(default_factory=list)  # (taken at, asked over what it gives)

    def book(self, now: int, kb: float) -> None:
        if abs(kb - self.known[-1][1]) > 1.0:
            self.known = [*self.known[-39:], (now, kb)]

    def known_at(self, moment: int) -> float:
        return next((kb for at, kb in reversed(self.known) if at <= moment), self.known[0][1])

    def load(self, taken: int, ratio: float) -> None:
        self.loads = [*self.loads[-2:], (taken, ratio)]

    def fresh(self, now: int) -> bool:
        return bool(self.loads) and self.loads[-1][0] > now - 2 * MISSING

    def learned(self) -> float:
        """What the pipe gives: where all that is asked is known, the reports' ratios tell; else as told."""
        seen = [self.known_at(taken) / ratio for taken, ratio in self.loads if ratio > 0.25]
        return min(max(sorted(seen)[len(seen) // 2], self.kb * 0.1), self.kb * 1.6) if seen else self.kb

    def unknown(self, now: int) -> float:
        """What others ask, by the last reports: each speaks of its moment, so what was known then is off."""
        fresh = [(taken, ratio) for taken, ratio in self.loads if taken >= self.loads[-1][0] - 3 * SECOND]
        weights = [2.0 ** i for i in range(len(fresh))]
        return sum(weight * (ratio * self.kb - self.known_at(taken))
                   for weight, (taken, ratio) in zip(weights, fresh, strict=True)) / sum(weights)


@dataclass(slots=True)
class Sess:
    """One session, from its request to its end."""

    req: ev.SessionRequest
    group: ServiceGroup
    deadline: int
    rung: int
    top: int
    server: int = -1
    over: bool = False
    began: int | None = None
    attempts: list[tuple[int, int, Result | None]] = field(default_factory=list)  # (server, sent at, end)

    def seat(self) -> tuple[int, int]:
        return (self.req.title, self.req.service_group)


@dataclass(slots=True)
class Server:
    """One server as this front sees it."""

    row: ev.ServerRow
    link: Pipe
    sessions: dict[int, Sess] = field(default_factory=dict)
    ends: list[tuple[int, bool]] = field(default_factory=list)      # (when, whether it went well)
    notes: list[tuple[int, float]] = field(default_factory=list)    # (when, share delivered)
    peers: dict[int, float] = field(default_factory=dict)  # what each other front asks there, by its last word
    sent: int = LONG_AGO
    heard: tuple[int, float] | None = None  # a report that came to us and is still to be told
    felt: tuple[int, float] | None = None   # a note on the share delivered, likewise
    said: float = 0.0         # our rate there as last told
    told: tuple[int, float, float] = (LONG_AGO, 0.0, 0.0)  # a hub's word: when, idle and asked, without ours
    lost: int | None = None     # when it was last seen to be down
    back: int = LONG_AGO      # when it was first seen to be up again

    def rested_until(self) -> int:
        """Guards against servers that are silent, stand still or fail set-ups; none need be told apart.

        It covers overloaded and cut-off ones too. It may harm where set-ups fail by chance everywhere: then
        all rest, and the holder whose rest ends first is taken.
        """
        bad = sum(not well for _, well in self.ends)
        return self.ends[-1][0] + REST * (1 << min(bad - 1, 3)) if bad and not self.ends[-1][1] else 0


class Front:
    """The decisions of one front."""

    def __init__(self, facts: SiteFacts, now: int) -> None:
        self.facts, self.now, self.born, self.chance = facts, now, now, facts.seed
        self.servers: dict[int, Server] = {}
        self.racks = [Pipe(facts.plant.uplink_kb) for _ in range(max(1, facts.plant.racks))]
        self.sessions: dict[int, Sess] = {}
        self.seats: dict[tuple[int, int], int] = {}
        self.lengths: list[int] = []
        self.arrivals: list[int] = []               # when the last requests came
        self.taken: list[int] = []                  # requests within the budget's span
        self.resent: list[int] = []                 # further SETUPs within it
        self.watching = False
        self.heard: dict[int, int] = {}             # when each other front last spoke
        self.by_rack: list[list[Server]] = [[] for _ in self.racks]
        self.hubs = [i for i in range(min(HUBS, facts.fronts)) if i != facts.me and facts.permissions.messages]
        self.asks = bool(self.hubs) and facts.me >= HUBS
        self.hub, self.answered, self.deaf = facts.me % HUBS, now, False
        self.outlook: tuple[int, bool, float | None] = (LONG_AGO, False, None)

    def clock(self, now: int) -> None:
        self.now = now

    def draw(self, below: int) -> int:
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return ((self.chance >> 32) * below) >> 32

    def observe(self, event: ev.Event) -> None:
        match event:
            case ev.ServerNews():
                self.learn_list(event)
            case ev.SessionRequest():
                self.arrivals = [*self.arrivals[-59:], self.now]
                since = self.now - self.facts.rules.resend_span
                self.taken = [*(at for at in self.taken if at > since), self.now]
            case ev.Started():
                self.judge(self.servers[event.server], True)
            case ev.Ended():
                self.learn_end(event)
            case ev.Note():
                self.learn_note(event)
            case ev.Probed():
                server, well = self.servers[event.server], event.result is Result.SERVED
                if not well or server.lost is not None:  # an answered probe only proves that it runs
                    self.judge(server, well)
                self.learn_report(server, event.report)
            case ev.PeerMessage():
                self.learn_word(event)
            case ev.ViewerLeft():
                if sess := self.sessions.get(event.req_id):
                    sess.over = True

    def learn_list(self, news: ev.ServerNews) -> None:
        self.watching = news.scope is not ev.NewsScope.FAILED
        if news.scope in (ev.NewsScope.FULL, ev.NewsScope.CACHED):
            for server in self.servers.values():  # whoever is not named below is gone
                server.row = replace(server.row, state=ServerState.GONE)
        for row in news.rows:
            held = self.servers.setdefault(row.server, Server(row, Pipe(0.0)))
            if row.state is ServerState.GONE:
                row = replace(held.row, state=ServerState.GONE)  # its entry may tell no more than that
            elif row.started_at > held.row.started_at:  # a new process: what was seen of the old one is void
                held.ends, held.notes, held.link.loads, held.lost = [], [], [], None
            held.row = row
            held.link.kb = row.weight * self.facts.plant.kb_per_weight
        self.by_rack = [[] for _ in self.racks]
        for server in self.servers.values():
            if server.row.state is not ServerState.GONE:
                self.by_rack[server.row.cell % len(self.racks)].append(server)

    def judge(self, server: Server, well: bool) -> None:
        server.ends = [*server.ends[-5:], (self.now, well)]
        if well and server.lost is not None:
            unseen = server.row.started_at < server.lost  # it may have restarted, and the list not know yet
            server.back, server.lost = self.now if unseen else server.back, None

    def learn_end(self, event: ev.Ended) -> None:
        sess, server = self.sessions.get(event.req_id), self.servers.get(event.server)
        if sess is None or server is None:
            return
        self.learn_report(server, event.report)
        if event.result in (Result.CONNECT_FAILED, Result.RESET):
            server.lost = self.now
        if event.result is Result.FULL and self.facts.plant.refuse_at:
            server.link.load(self.now, max(self.facts.plant.refuse_at, 1.0))
        elif event.result not in (Result.SERVED, Result.CANCELLED, Result.MOOT):
            self.judge(server, False)
        sess.attempts[event.attempt] = (*sess.attempts[event.attempt][:2], event.result)
        if event.result is Result.SERVED and sess.began is not None:
            self.lengths = [*self.lengths[-29:], self.now - sess.began]
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
                server.link.load(taken, note.value)
            case ev.NoteKind.UPLINK_ASKED:
                self.rack(server).load(taken, note.value)
            case ev.NoteKind.DELIVERED:
                server.felt = (taken, note.value)
                self.learn_shortage(server, taken, note.value)

    def learn_shortage(self, server: Server, taken: int, share: float) -> None:
        """Guards against titles above their rung and reports that are late, missing or stop at full.

        The milder of the last two notes counts, so that a brief pause, which fills one, diverts nobody.
        Most of a rack's servers short at once are short of uplink unless most of their links are full.
        """
        server.notes = [*server.notes[-1:], (taken, share)]
        mild = max(share for _, share in server.notes)
        if share >= 0.98:  # what is delivered in full is not short: reports that it was are void
            server.link.loads = [(at, ratio) for at, ratio in server.link.loads if ratio < 1 or at > taken]
        if mild >= 0.98 or len(server.notes) < 2:
            return
        played = [m for m in self.mates(server) if m.sessions or any(m.peers.values())]
        short = [m.notes[-1][1] for m in played
                 if m.notes and m.notes[-1][1] < 0.98 and m.notes[-1][0] > taken - 2 * SECOND]
        last = server.link.loads[-1] if server.link.loads else (0, 0.0)
        if last[0] > taken - MISSING and last[1] < 0.9 and "uplink_asked" in self.facts.report_fields:
            return  # the link is reported to have room, and the uplink is reported as well
        full = sum(m.link.loads[-1][1] >= 0.99 for m in played if m.link.fresh(self.now))
        if len(short) < 2 or 2 * len(short) <= len(played) or 2 * full > len(played):
            server.link.load(taken, max(1 / max(mild, 0.1), last[1] if last[0] > taken - MISSING else 0.0))
        elif "uplink_asked" not in self.facts.report_fields:
            self.rack(server).load(taken, 1 / max(*short, 0.1))

    def learn_report(self, server: Server, report: dict[str, float]) -> None:
        taken, ratio = self.now - REPORT_AGE, report.get("link_asked", report.get("util"))
        if ratio is not None:
            if "link_asked" not in report and ratio >= 0.99 and server.notes and server.notes[-1][1] < 0.98:
                ratio = 1 / max(server.notes[-1][1], 0.1)  # util stops at full: the notes tell how far over
            server.link.load(taken, ratio)
            server.heard = (taken, ratio)
        if "uplink_asked" in report:
            self.rack(server).load(taken, report["uplink_asked"])

    def learn_word(self, message: ev.PeerMessage) -> None:
        word, recent = words.unpack(message.payload), self.now - 4 * TELL_EVERY
        if isinstance(word, words.Answer):
            self.answered, self.deaf = self.now, False
            for room in word.rooms:
                if (server := self.servers.get(room.server)) is not None:
                    server.told = (self.now, room.idle + room.theirs, room.asked - room.theirs)
        elif isinstance(word, words.Telling):
            if word.whole:
                for server in [s for s in self.servers.values() if s.peers.pop(message.peer, 0.0)]:
                    self.book(server)
            if word.whole or self.heard.get(message.peer, LONG_AGO) > recent:
                self.heard[message.peer] = self.now  # long unheard, more than the last changes is missing
            for rate in word.rates:
                if (server := self.servers.get(rate.server)) is None:
                    continue
                server.peers[message.peer] = rate.kb
                self.book(server)
                if rate.share and (not server.notes or server.notes[-1][0] < self.now - rate.share.age):
                    self.learn_shortage(server, self.now - rate.share.age, rate.share.figure)
                if rate.load and (not server.link.loads or server.link.loads[-1][0] < self.now - rate.load.age):
                    server.link.load(self.now - rate.load.age, rate.load.figure)

    def rack(self, server: Server) -> Pipe:
        return self.racks[server.row.cell % len(self.racks)]

    def rate(self, sess: Sess, rung: int) -> float:
        return self.facts.ladder.rate_kb[rung] * sess.group.rate_factor

    def own(self, server: Server) -> float:
        """What our sessions ask of a server; viewers of one live title at one rung share a stream."""
        total, streams = 0.0, set()
        for sess in server.sessions.values():
            stream = (sess.req.title, sess.req.service_group, sess.rung)
            shared = sess.group.live and stream in streams
            total += self.rate(sess, sess.rung) * (self.facts.ladder.join if shared else 1.0)
            streams.add(stream)
        return total

    def book(self, server: Server) -> None:
        heard = [kb for peer, kb in server.peers.items() if self.heard.get(peer, 0) > self.now - 4 * TELL_EVERY]
        server.link.book(self.now, self.own(server) + sum(heard))
        self.rack(server).book(self.now, sum(s.link.known[-1][1] for s in self.mates(server)))

    def view(self) -> tuple[int, bool, float | None]:
        """Whether most other fronts' rates are known, so that all that is asked is, and the fleet's usual load."""
        if self.outlook[0] != self.now:
            heard = sum(when > self.now - 4 * TELL_EVERY for when in self.heard.values())
            loads = [s.link.loads[-1][1] for s in self.servers.values() if s.link.fresh(self.now)]
            self.outlook = (self.now, self.facts.permissions.messages and heard >= 0.6 * (self.facts.fronts - 1),
                            sum(loads) / len(loads) if loads else None)
        return self.outlook

    def whole(self) -> bool:
        return self.view()[1]

    def asked(self, server: Server) -> float:
        """What is asked of a link: a hub's word, or the last reports and what we know to have changed since.

        Guards against old word of shortage: long without a report, a server counts as full as those with one,
        or nobody is sent there to bring news. It may harm where the silent ones are the full ones."""
        if server.told[0] > self.now - TELL_EVERY:
            return server.told[2] + self.own(server)
        known = server.link.known[-1][1]
        if self.whole():
            return known
        if server.link.fresh(self.now):
            return max(self.own(server), server.link.unknown(self.now) + known)
        if (usual := self.view()[2]) is not None:
            age = (self.now - max(server.row.started_at or LONG_AGO, server.back)) / (3 * self.facts.rules.cold)
            return max(self.own(server), server.link.kb * usual * min(1.0, age))
        ours = sum(map(self.own, self.servers.values())) * self.facts.fronts / len(self.servers)
        return max(known, 0.0 if server.peers else ours)

    def known(self, server: Server) -> bool:
        """Whether what is asked of a server is known, or else guessed from others."""
        return self.whole() or server.told[0] > self.now - TELL_EVERY or server.link.fresh(self.now)

    def idles(self, servers: list[Server], part: float | None = 1.0) -> dict[int, float]:
        """Told link less headroom and what is asked, capped by its share of its rack's idle uplink.

        Every front sees the same idle at once, so we take but our `part` of the link's."""
        found: dict[int, float] = {}
        for rack in sorted({s.row.cell % len(self.racks) for s in servers}):
            found |= self.rack_idles(rack, part)
        for server in servers:
            if server.told[0] > self.now - TELL_EVERY:
                room = server.told[1] - self.own(server)
                found[server.row.server] = room * (KNOWN_PART if part is None else part) if room > 0 else room
        return {s.row.server: found.get(s.row.server, 0.0) for s in servers}

    def rack_idles(self, number: int, part: float | None) -> dict[int, float]:
        rack, mates = self.racks[number], self.by_rack[number]
        parts = {s.row.server: part if part is not None else KNOWN_PART if self.known(s) else GUESSED_PART
                 for s in mates}
        asked = {s.row.server: self.asked(s) for s in mates}
        rooms = {s.row.server: self.gives(s) * (1 - HEADROOM) - asked[s.row.server] for s in mates}
        total = in_all = sum(asked.values())
        if "uplink_asked" in self.facts.report_fields and rack.loads:
            total = rack.unknown(self.now) + rack.known[-1][1]
        spare = self.gives_rack(rack, mates) * (1 - HEADROOM) - total
        if spare < 0:
            return {at: min(room, spare * asked[at] / max(in_all, 1.0)) for at, room in rooms.items()}
        positive = sum(kb for kb in rooms.values() if kb > 0)
        return {at: min(room * parts[at], spare * room / positive) if room > 0 else room for at, room in rooms.items()}

    def mates(self, server: Server) -> list[Server]:
        return self.by_rack[server.row.cell % len(self.racks)]

    def gives(self, server: Server) -> float:
        """A link as learned or told; a cold server's is cold too."""
        if self.whole() and server.link.loads:
            return server.link.learned()
        cold, least = self.facts.rules.cold, self.facts.rules.cold_from
        age = self.now - max(server.row.started_at or LONG_AGO, server.back)
        return server.link.kb * min(1.0, least + (1 - least) * age / cold)

    def gives_rack(self, rack: Pipe, mates: list[Server]) -> float:
        """An uplink as told or, once short, as the shortage shows; while nobody is short, a little more."""
        if "uplink_asked" in self.facts.report_fields:
            return rack.kb
        uplink, since, total = rack.kb, self.born, sum(map(self.asked, mates))
        if rack.loads:
            since = rack.loads[-1][0]
            uplink = (rack.known_at(since) if self.whole() else total) / rack.loads[-1][1]
        return min(uplink * (1 + REGAIN * (self.now - since) / SECOND), max(uplink, rack.kb, total * 1.1))

    def gain(self, sess: Sess, rung: int) -> float:
        """Utility per rate of the step from the rung below."""
        ladder = self.facts.ladder
        step = self.rate(sess, rung) - self.rate(sess, rung - 1)
        return sess.group.utility * (ladder.utility[rung] - ladder.utility[rung - 1]) / max(step, 1e-9)

    def size(self, sessions: list[Sess], budget: float, cap: dict[int, int]) -> dict[int, int]:
        """The design's loop: all at the lowest rung, then a step for whoever gains most utility per rate."""
        rungs = {sess.req.req_id: min(sess.group.floor, sess.top) for sess in sessions}
        budget -= sum(self.rate(sess, rungs[sess.req.req_id]) for sess in sessions)
        heap = sorted((-self.gain(sess, rungs[sess.req.req_id] + 1), i) for i, sess in enumerate(sessions)
                      if rungs[sess.req.req_id] < cap[sess.req.req_id])
        while heap:
            i = heapq.heappop(heap)[1]
            sess, rung = sessions[i], rungs[sessions[i].req.req_id] + 1
            step = self.rate(sess, rung) - self.rate(sess, rung - 1)
            if step > budget:
                continue
            budget -= step
            rungs[sess.req.req_id] = rung
            if rung < cap[sess.req.req_id]:
                heapq.heappush(heap, (-self.gain(sess, rung + 1), i))
        return rungs

    def place(self, sess: Sess) -> Server | None:
        """Size by the holders' pooled idle, take the one with most, cap the rung to fit and size again."""
        open_now = [s for s in self.servers.values() if not self.barred(sess, s)]
        if not open_now:
            return None
        tried = {server for server, _, _ in sess.attempts}
        fit = [s for s in open_now if s.rested_until() <= self.now]
        fit = ([s for s in fit if s.row.server not in tried] or fit
               or [min(open_now, key=lambda s: (s.rested_until(), s.row.server))])
        fit = [s for s in fit if s.told[0] > self.now - TELL_EVERY] or fit
        idle = self.idles(fit, None)
        first = self.draw(len(fit))  # fronts that see alike must not all take the same of equals
        by_idle = sorted(fit[first:] + fit[:first], key=lambda s: -idle[s.row.server])
        best, close = by_idle[0], NEAR if self.facts.prices.cross_zone > 0 else 1.0
        near = next((s for s in by_idle if s.row.zone == self.facts.zone), best)
        best = near if idle[near.row.server] >= close * idle[best.row.server] > 0 else best
        pooled, me = sum(max(0.0, kb) for kb in idle.values()), sess.req.req_id
        sess.rung = self.size([sess], pooled, {me: sess.top})[me]
        while sess.rung > sess.group.floor and self.rate(sess, sess.rung) > idle[best.row.server]:
            sess.rung = self.size([sess], pooled, {me: sess.rung - 1})[me]
        return best

    # The guard: every SETUP passes here, at the moment it is sent

    def barred(self, sess: Sess, server: Server, paced: bool = True) -> bool:
        row, plant = server.row, self.facts.plant
        return (row.state is not ServerState.READY
                or (row.cell - sess.req.home) % plant.cells >= sess.req.span
                or self.spent(sess)
                or not self.may_repeat(sess, server)
                or 0 < sess.group.seats <= self.seats.get(sess.seat(), 0)
                or (paced and self.paced_until(server) > self.now))

    def spent(self, sess: Sess) -> bool:
        """Whether no SETUP may follow: too many, or none left in the budget; `serve` has but one out."""
        rules, since = self.facts.rules, self.now - self.facts.rules.resend_span
        taken, resent = sum(at > since for at in self.taken), sum(at >= since for at in self.resent)
        over = rules.spare_setups is not None and resent + 1 > rules.spare_setups + rules.resend_ratio * taken
        return len(sess.attempts) >= self.facts.permissions.max_attempts or (over and bool(sess.attempts))

    def may_repeat(self, sess: Sess, server: Server) -> bool:
        """Unsafe: only after proof that nothing ran. Keyed: only where and while the key is remembered."""
        ran = [(self.servers[at].row, sent) for at, sent, end in sess.attempts if end not in NEVER_RAN]
        if not ran or sess.group.effect is Effect.SAFE:
            return True
        same = {Scope.ALL: True, Scope.ZONE: all(row.zone == server.row.zone for row, _ in ran),
                Scope.CELL: all(row.cell == server.row.cell for row, _ in ran)}[sess.group.scope]
        return (sess.group.effect is Effect.KEYED and same
                and all(self.now < sent + sess.group.memory for _, sent in ran))

    def paced_until(self, server: Server) -> int:
        """When this front may next send to a server that is cold, or may be.

        Known to be cold: time is cut into slots that each hold one set-up, and the fronts take turns. Only
        perhaps cold (seen down, or we have just begun ourselves): our own sends are spaced by our share.
        """
        rules, fronts = self.facts.rules, self.facts.fronts
        known = self.now - max(server.row.started_at or LONG_AGO, server.back) < rules.cold
        if not known and server.lost is None and self.now - self.born >= rules.cold:
            return 0
        per_slot = self.facts.plant.streams[server.row.kind] * rules.cold_from * rules.fall_multiple
        slot = int(rules.cold / max(per_slot, 0.01))
        if not known:
            return server.sent + slot * fronts
        turn, lately = self.now // slot, sum(at > self.now - SECOND for at in self.arrivals) - 1
        rate = max(self.arrival_rate(10 * SECOND), lately)
        run, since = max(1, min(fronts, int(COLD_USE * SECOND / (slot * rate)))), (turn - self.facts.me) % fronts
        if since < run and server.sent < (turn - since) * slot:
            return 0
        return (turn + fronts - since) * slot

    def arrival_rate(self, span: int) -> float:
        """Our requests a second over the last while, this one included."""
        return max(sum(at > self.now - span for at in self.arrivals), 1) * SECOND / span

    def may_refuse(self, sess: Sess) -> bool:
        ran, group = any(end not in NEVER_RAN for _, _, end in sess.attempts), sess.group
        known = group.effect is Effect.KEYED and group.scope is Scope.ALL
        return not ran or known or group.effect is Effect.SAFE

    def open(self, req: ev.SessionRequest) -> Sess:
        group = self.facts.groups[req.service_group]
        top = min(req.top, group.top, len(self.facts.ladder.rate_kb) - 1)
        sess = Sess(req, group, self.now + req.time_left, group.floor, top)
        self.sessions[req.req_id] = sess
        return sess

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
                later = [s for s in self.servers.values() if not self.barred(sess, s, paced=False)]
                chance = min(map(self.paced_until, later), default=sess.deadline)
                if chance >= sess.deadline:
                    break
                got: Resumed = yield act.Wait(chance)
            else:
                timeout = self.patience(sess)
                self.commit(sess, server)
                yield from self.tell([server], False)
                if sess.top >= sess.group.floor:
                    yield act.SetRung(req_id, sess.rung)
                got = yield act.Setup(req_id, server.row.server, timeout)
            if isinstance(got, ev.Started):
                sess.began = self.now
                yield act.Play()
                return
            if isinstance(got, ev.ViewerLeft) or (isinstance(got, ev.Ended) and got.final):
                return
        # Given up: the answer goes out at once, with half the longest come-back time that viewers heed
        advice = allowed.max_come_back // 2 if allowed.come_back else 0
        yield act.BusyReply(req_id, advice) if self.may_refuse(sess) else act.TearDown(req_id)

    def handed_over(self, event: ev.HandedOver) -> Script:
        sess = self.open(event.request)
        if event.server in self.servers:
            self.commit(sess, self.servers[event.server])
        sess.began = self.now
        yield act.Play()
        self.close(sess)

    def patience(self, sess: Sess) -> int:
        """A set-up timeout that leaves time for another holder before the start target, if it can."""
        left = sess.deadline - self.now
        last = len(sess.attempts) + 1 >= self.facts.permissions.max_attempts
        if last or sess.group.effect is Effect.UNSAFE:
            return left
        target = sess.deadline - sess.req.time_left + sess.group.start_target
        return min(left, max((target - self.now) * 45 // 100, sess.group.start_target // 5))

    def commit(self, sess: Sess, server: Server) -> None:
        """A SETUP goes out: the account, the seats, the pace and the budget know it at once."""
        if sess.attempts:
            since = self.now - self.facts.rules.resend_span
            self.resent = [*(at for at in self.resent if at >= since), self.now]
        sess.attempts.append((server.row.server, self.now, None))
        sess.server, server.sent = server.row.server, self.now
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
        wanted = [(True, self.resizing), (self.facts.asked_discovery, self.watch),
                  (self.facts.permissions.probes and self.facts.reporting is not Reporting.OFF, self.probing),
                  (self.hubs, self.telling), (self.hubs and not self.asks, self.answering)]
        return [script() for want, script in wanted if want]

    def resizing(self) -> Script:
        yield act.Wait(self.now + SECOND + RESIZE_EVERY * self.facts.me // max(1, self.facts.fronts))
        while True:
            next_time = self.now + RESIZE_EVERY
            if self.sessions:
                yield from self.ask(words.AskOurs(), self.now + ASK_WAIT)
            for server in [s for s in self.servers.values() if s.sessions]:
                for sess, rung in self.resized(server):
                    sess.rung = rung
                    yield act.SetRung(sess.req.req_id, rung)
                self.book(server)
            yield act.Wait(next_time)

    def resized(self, server: Server) -> list[tuple[Sess, int]]:
        """Size a server's playing sessions within our share of its idle; only changes that pay."""
        mine = [s for s in server.sessions.values() if s.began is not None]
        if not mine or server.row.state is ServerState.GONE:
            return []
        own, asked = self.own(server), max(self.asked(server), 1.0)
        contend = min(self.facts.fronts, max(CROWD, asked / max(own, 1.0)))  # fronts that raise there with us
        room = self.idles([server], 1 / contend)[server.row.server]
        room *= own / max(asked, own) if room < 0 else 1
        spent = sum(self.rate(s, s.rung) for s in mine)
        want = self.size(mine, spent + room, {s.req.req_id: s.top for s in mine})
        changed = []
        for sess in sorted(mine, key=lambda s: (want[s.req.req_id] > s.rung, self.gain(s, max(s.rung, 1)))):
            rung, need = want[sess.req.req_id], self.rate(sess, want[sess.req.req_id]) - self.rate(sess, sess.rung)
            if (need < 0 and room < 0) or (0 < need <= room and self.earns(sess, rung) > 0):
                changed.append((sess, rung))
                room -= need
        return changed

    def left(self, sess: Sess) -> int:
        played, hint = self.now - (sess.began or self.now), sess.req.length_hint
        longer = sorted(length for length in self.lengths if length > played)
        left = longer[len(longer) // 2] - played if longer else max(played, RESIZE_EVERY)
        return left if hint is None else max(hint - played, 0)

    def earns(self, sess: Sess, rung: int) -> float:
        """What a change of rung earns over the time the session is likely to have left, less its cost."""
        ladder, left = self.facts.ladder, self.left(sess) / SECOND
        more = ladder.utility[rung] - ladder.utility[sess.rung]
        return sess.group.utility * (more * left - PAYS * ladder.switch_cost_s)

    def inquire(self, sess: Sess) -> Script:
        """Guards against placing blind, where the account is not whole: asks a hub, else probes two holders.

        It covers hubs that are gone, and messages that are lost. It may harm where answers are slow."""
        req = sess.req
        until = min(self.now + ASK_WAIT, sess.deadline)
        yield from self.ask(words.AskHolders(req.home, req.span, self.facts.zone), until)
        if self.whole() or not self.facts.permissions.probes or (self.asks and not self.deaf):
            return
        open_now = [s for s in self.servers.values() if not self.barred(sess, s) and s.rested_until() <= self.now]
        near = [s for s in open_now if s.row.zone == self.facts.zone] or open_now
        first, wanted = self.draw(max(len(near), 1)), 0
        for server in (near[first:] + near[:first])[:2]:
            yield act.Probe(server.row.server)
            wanted += 1
        if wanted:
            yield act.Wait(until)

    def ask(self, question: words.Word, until: int) -> Script:
        """Ask a hub and wait a little; one that does not answer is given up for the next, without a wait."""
        if not self.asks:
            return
        since = self.now
        yield act.Tell(self.hub, words.pack(question)[0])
        while self.answered <= since and not self.deaf and self.now < until:
            yield act.Listen(until)
        if self.answered <= since:
            self.hub, self.deaf = (self.hub + 1) % HUBS, True

    def answering(self) -> Script:
        """A hub's answers: some of the best holders, in all and in the asker's zone, cold ones apart."""
        while True:
            got = yield act.Listen(None)
            word = words.unpack(got.payload) if isinstance(got, ev.PeerMessage) and self.whole() else None
            if not isinstance(got, ev.PeerMessage) or not isinstance(word, words.AskOurs | words.AskHolders):
                continue
            about = [s for s in self.servers.values() if s.row.state is ServerState.READY]
            if isinstance(word, words.AskOurs):
                about = [s for s in about if s.peers.get(got.peer)]
            idle = self.idles(about)
            if isinstance(word, words.AskHolders):
                about = sorted((s for s in about if (s.row.cell - word.home) % self.facts.plant.cells < word.span
                                and s.rested_until() <= self.now), key=lambda s: -idle[s.row.server])
                cold = [s for s in about if self.paced_until(s)]
                warm = [s for s in about if s not in cold]
                near = [s for s in warm if s.row.zone == word.zone]
                about = list({s.row.server: s for s in (*warm[:4], *near[:4], *cold[:2])}.values())
            rooms = [words.Room(s.row.server, idle[s.row.server], self.asked(s), s.peers.get(got.peer, 0.0))
                     for s in about]
            for message in words.pack(words.Answer(tuple(rooms))):
                yield act.Tell(got.peer, message)

    def probing(self) -> Script:
        """Probe in turn, as often as the price allows; messages share the work among fronts."""
        for turn in itertools.count(1):
            ready = [s for s in self.servers.values() if s.row.state is ServerState.READY]
            if ready and not self.deaf:
                first = len(ready) * self.facts.me // self.facts.fronts
                yield act.Probe(ready[(first + turn) % len(ready)].row.server)
            per_s = self.arrival_rate(30 * SECOND) * PROBE_POINTS / max(self.facts.prices.probe, PROBE_POINTS / 4)
            yield act.Wait(self.now + max(SECOND // 10, int(SECOND / per_s)))

    def tell(self, servers: list[Server], whole: bool) -> Script:
        """Tell the hubs our rates, and what came to us alone."""
        rates = []
        for server in servers:
            told = [words.Sample(s[1], self.now - s[0]) if s else None for s in (server.heard, server.felt)]
            server.said, server.heard, server.felt = self.own(server), None, None
            rates.append(words.Rate(server.row.server, server.said, *told))
        for message in words.pack(words.Telling(tuple(rates), whole)):
            for hub in self.hubs:
                yield act.Tell(hub, message)

    def telling(self) -> Script:
        yield act.Wait(self.now + SECOND // 10)  # the sessions handed over are in by then
        for turn in itertools.count():
            whole = turn % ALL_EVERY == 0
            yield from self.tell([s for s in self.servers.values() if s.heard or s.felt
                                  or s.said != self.own(s) or (whole and s.sessions)], whole)
            yield act.Wait(self.now + TELL_EVERY)

    def watch(self) -> Script:
        while True:
            yield act.Watch(True)
            self.watching = True
            while self.watching:
                yield act.Wait(self.now + SECOND)
            yield act.Wait(self.now + SECOND + self.draw(SECOND))
