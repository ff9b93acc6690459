"""Which fronts live, by their words alone: SWIM's pings (Das, Gupta and Motivala, 2002), with the corrections
of Lifeguard (Dadgar, Phillips and Currey, 2018). docs/notes/fleet.md has the ways weighed.

Each period a front pings one other, in an order that it shuffles; one that does not answer is pinged by three
others, and only then suspected. A suspicion travels with the words, and dies when the suspect answers it with
a higher `bump`. What a front concludes, that another is dead, it concludes alone and tells nobody: a word
that says so would let one front bury all others. A `life` is a front's start by its Unix clock; it names what
the front says from then on, and orders its lives.

A front that was itself stopped, or hears nothing, holds its own silence against nobody."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ponddoor.interface import words
from ponddoor.interface.chance import LONG_AGO, SeededRandom

DAY_TENTHS_S = 864_000  # in the steps of a life, tenths of a second
PING_REQUEST_FANOUT = 3  # who are asked to ping one that did not answer us
MAX_CONFIRMATIONS = 3  # accusers after the first, with whom a suspicion is believed soonest
OUTCOMES_KEPT = 8  # pings of which the outcome is kept
MAX_HEALTH_MULTIPLIER = 8
MAX_RELAYED_PINGS = 64  # pings for others that are out at once
DEAD_PING_ROUNDS = 4  # of so many rounds, one asks those who are dead too
Out = list[tuple[int, words.Message]]


class FrontState(Enum):
    """How another front stands, as far as this one knows."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Connectivity(Enum):
    """How this front hears the others."""

    FULL = "well"
    PARTIAL = "part"  # many do not answer, others do
    NONE = "nothing"  # neither answers nor any other word
    INBOUND_ONLY = "unheard"  # others' words come, but nobody answers ours


class PingOutcome(Enum):
    """What became of a ping."""

    ANSWERED = "answered"
    MISSED = "missed"  # others answered us, it did not
    SILENT = "silent"  # nobody answered


@dataclass(frozen=True, slots=True)
class Timing:
    """Microseconds: between two pings, until an answer is late, and how long a suspicion runs."""

    ping_period: int
    ack_timeout: int
    min_suspicion: int
    max_suspicion: int


@dataclass(slots=True)
class Member:
    """Another front. `by` are its accusers; `met` is when any word of its own last came."""

    incarnation: int = 0
    refutations: int = 0
    suspected_at: int | None = None
    accusers: set[int] = field(default_factory=set)
    heard_at: int = LONG_AGO
    corrected_at: int = LONG_AGO


@dataclass(slots=True)
class _Ping:
    """The ping that is out."""

    number: int
    target: int
    sent: int
    helped: bool = False
    nacks: int = 0
    answered: bool = False


class Presence:
    """One front's view of the others. `due` is to be called at `next_due`; what comes back is to be sent."""

    def __init__(self, me: int, fronts: int, life: int, now: int, timing: Timing, seed: int) -> None:
        self.me, self.fronts, self.timing, self.chance = me, fronts, timing, SeededRandom(seed)
        self.chance.draw(2)
        self.incarnation, self.refutations, self._first, self._born = life, 0, life, now
        self.members = {front: Member() for front in range(fronts) if front != me}
        self.health_multiplier = 0
        self.unanswered_in_row = 0  # pings in a row that nobody answered, nor any helper
        self.outcomes: deque[PingOutcome] = deque(maxlen=OUTCOMES_KEPT)
        self.version = 0  # counts changes of how anybody stands
        self.next_due = now + self.chance.draw(timing.ping_period)
        self.refuted = 0
        self._ping: _Ping | None = None
        self._number = 0
        self._ring: list[int] = []
        self._rounds = 0
        self._gossip_counts: dict[int, int] = {}  # front: how often its row was told
        # By number: for whom we ping, under which number of its own, whom, until when
        self._relayed: dict[int, tuple[int, int, int, int]] = {}
        self._dead: set[int] = set()
        self._suspects: set[int] = set()  # who is suspected and not dead yet
        self._last_heard_at = LONG_AGO  # when any word last came

    # What is known

    def state_of(self, front: int) -> FrontState:
        """As of the last `due`, or word. Of a front that is not of the fleet: dead."""
        if front == self.me:
            return FrontState.ALIVE
        member = self.members.get(front)
        if member is None or front in self._dead:
            return FrontState.DEAD
        return FrontState.ALIVE if member.suspected_at is None else FrontState.SUSPECT

    def dead_fronts(self) -> list[int]:
        """Who is taken for dead."""
        return sorted(self._dead)

    def live_count(self) -> int:
        """Fronts that are not dead, this one among them."""
        return self.fronts - len(self._dead)

    def ack_ratio(self) -> float:
        """The share of the fleet that answers us, from the last pings; 1 where none was sent yet."""
        if not self.outcomes:
            return 1.0
        return sum(one is PingOutcome.ANSWERED for one in self.outcomes) / len(self.outcomes)

    def connectivity(self, now: int) -> Connectivity:
        """Whether this front is the one that hears nothing. With a few pings out it has no opinion yet."""
        if self.unanswered_in_row >= PING_REQUEST_FANOUT:
            heard = now - self._last_heard_at < PING_REQUEST_FANOUT * self.timing.ping_period
            return Connectivity.INBOUND_ONLY if heard else Connectivity.NONE
        return Connectivity.FULL if self.ack_ratio() >= 0.6 else Connectivity.PARTIAL

    def incarnation_of(self, front: int) -> int:
        """The life in which a front was last heard of; 0 if never."""
        member = self.members.get(front)
        return self.incarnation if front == self.me else member.incarnation if member is not None else 0

    def is_plausible(self, now: int, life: int) -> bool:
        """Guards against a life that nobody can have begun: one over a day ahead of our own clock."""
        return 0 < life <= self._first + (now - self._born) // 100_000 + DAY_TENTHS_S

    # What happens

    def accept_message(self, now: int, front: int, life: int) -> bool:
        """A word of its own has come; whether it counts: one of an earlier life does not."""
        member = self.members.get(front)
        if member is None or not self.is_plausible(now, life) or life < member.incarnation:
            return False
        self._last_heard_at = member.heard_at = now
        if life > member.incarnation:
            self._merge_row(now, words.MemberRow(front, life, 0, None))
        if front in self._dead:  # heard again: our own evidence goes first
            self._dead.discard(front)
            member.suspected_at = None
            self.version += 1
        return True

    def stale_incarnation_reply(self, now: int, front: int, life: int) -> Out:
        """Guards against a front whose clock was set back since its last start, and whom nobody would hear:
        it is told of the life that it has to outdo, once in a while."""
        member = self.members.get(front)
        if (
            member is None
            or not 0 < life < member.incarnation
            or now - member.corrected_at < self.timing.ping_period
        ):
            return []
        member.corrected_at = now
        self._number = (self._number + 1) % 65536
        row = words.MemberRow(front, member.incarnation, member.refutations, None)
        return [(front, words.Ping(self._number, self.incarnation, self.refutations, (row,)))]

    def poll(self, now: int) -> Out:
        """What is to be sent now."""
        out: Out = []
        if now < self.next_due:
            return out
        late = now - self.next_due > self.timing.ack_timeout + self.timing.ping_period
        for number in [number for number, one in self._relayed.items() if one[3] <= now]:
            peer, theirs, of, _ = self._relayed.pop(number)
            out.append((peer, self._make_ack(now, peer, theirs, of, missed=True)))
        ping = self._ping
        if late:  # we were stopped ourselves: who did not answer then may well have
            self._ping, ping = None, None
            self.health_multiplier = min(self.health_multiplier + 1, MAX_HEALTH_MULTIPLIER)
        wait = self.timing.ack_timeout * (1 + self.health_multiplier)
        if ping is not None and not ping.answered and not ping.helped and now >= ping.sent + wait:
            ping.helped = True
            helpers = self._random_live_fronts(PING_REQUEST_FANOUT, {ping.target})
            out += [(peer, self._make_ping_request(now, peer, ping)) for peer in helpers]
        if ping is None or now >= ping.sent + max(self.timing.ping_period, 2 * wait):
            out += self._next_ping(now, ping)
        self._expire(now)
        self.next_due = self._next_due(now)
        return out

    def receive(self, now: int, peer: int, word: words.Message) -> Out:
        """A word of presence has come from another front."""
        if not isinstance(word, words.Ping | words.Ack | words.PingRequest) or not self.accept_message(
            now, peer, word.incarnation
        ):
            return []
        self._merge_row(now, words.MemberRow(peer, word.incarnation, word.refutations, None))
        for row in word.rows:
            self._merge_row(now, row)
        match word:
            case words.Ping(number):
                return [(peer, self._make_ack(now, peer, number, self.me))]
            case words.PingRequest(number, _, _, _, target) if target in self.members:
                if len(self._relayed) >= MAX_RELAYED_PINGS:
                    return []
                self._number = (self._number + 1) % 65536
                until = now + self.timing.ack_timeout * (1 + self.health_multiplier)
                self._relayed[self._number] = (peer, number, target, until)
                self.next_due = min(self.next_due, until)
                return [(target, self._make_ping(now, target, self._number))]
            case words.Ack(number, _, _, _, of, missed):
                return self._take_ack(now, peer, number, of, missed)
        return []

    # Inside

    def _take_ack(self, now: int, peer: int, number: int, of: int, missed: bool) -> Out:
        relayed = self._relayed.get(number)
        if relayed is not None and relayed[2] == peer == of and not missed:
            del self._relayed[number]
            return [(relayed[0], self._make_ack(now, relayed[0], relayed[1], of))]
        ping = self._ping
        if ping is not None and ping.number == number and ping.target == of:
            if missed:
                ping.nacks += 1
            elif not ping.answered:
                ping.answered = True
                self.health_multiplier = max(self.health_multiplier - 1, 0)
        return []

    def _next_ping(self, now: int, ping: _Ping | None) -> Out:
        """The ping that is out has ended; the next goes out."""
        if ping is not None:
            member = self.members[ping.target]
            missed = PingOutcome.MISSED if ping.nacks else PingOutcome.SILENT
            self.unanswered_in_row = (
                self.unanswered_in_row + 1 if missed is PingOutcome.SILENT and not ping.answered else 0
            )
            if ping.answered or member.incarnation:  # who never was heard may not have begun
                self.outcomes.append(PingOutcome.ANSWERED if ping.answered else missed)
            if not ping.answered:
                self.health_multiplier = min(
                    self.health_multiplier + (ping.nacks == 0), MAX_HEALTH_MULTIPLIER
                )
                # Guards against a front that hears nothing and accuses all: it holds its tongue
                if self.connectivity(now) is not Connectivity.NONE and member.heard_at < ping.sent:
                    self._merge_row(
                        now, words.MemberRow(ping.target, member.incarnation, member.refutations, self.me)
                    )
        if not self._ring:
            self._rounds += 1
            ask_dead = self._rounds % DEAD_PING_ROUNDS == 1
            self._ring = [front for front in self.members if ask_dead or front not in self._dead]
            for at in range(len(self._ring) - 1, 0, -1):
                other = self.chance.draw(at + 1)
                self._ring[at], self._ring[other] = self._ring[other], self._ring[at]
        if not self._ring:
            self._ping = None
            return []
        self._number = (self._number + 1) % 65536
        self._ping = _Ping(self._number, self._ring.pop(), now)
        return [(self._ping.target, self._make_ping(now, self._ping.target, self._number))]

    def _next_due(self, now: int) -> int:
        ping, wait = self._ping, self.timing.ack_timeout * (1 + self.health_multiplier)
        if ping is None:
            return now + self.timing.ping_period
        over = ping.sent + max(self.timing.ping_period, 2 * wait)
        soon = over if ping.answered or ping.helped else min(ping.sent + wait, over)
        return max(min([soon, *(one[3] for one in self._relayed.values())]), now + 1)

    def _random_live_fronts(self, count: int, without: Iterable[int]) -> list[int]:
        able = [front for front in self.members if front not in self._dead and front not in without]
        found: list[int] = []
        while able and len(found) < count:
            found.append(able.pop(self.chance.draw(len(able))))
        return found

    def merge_row(self, now: int, row: words.MemberRow) -> None:
        """A row that came with other news."""
        self._merge_row(now, row)

    def suspect_or_dead_rows(self, most: int) -> tuple[words.MemberRow, ...]:
        """The rows of who is suspected or dead, so many at most."""
        rows = [
            words.MemberRow(front, m.incarnation, m.refutations, min(m.accusers, default=self.me))
            for front, m in self.members.items()
            if m.suspected_at is not None
        ]
        return tuple(rows[:most])

    def random_live_fronts(self, count: int) -> list[int]:
        """So many other fronts that live, by chance."""
        return self._random_live_fronts(count, ())

    def _merge_row(self, now: int, row: words.MemberRow) -> None:
        """Join a row to what is known: the later life, bump and suspicion win, in any order."""
        if not self.is_plausible(now, row.incarnation) and row.incarnation:
            return
        if row.front == self.me:
            self._refute(row)
            return
        member = self.members.get(row.front)
        if member is None or (row.incarnation, row.refutations) < (member.incarnation, member.refutations):
            return
        if (row.incarnation, row.refutations) > (member.incarnation, member.refutations):
            held = member.incarnation
            changed = member.suspected_at is not None or row.incarnation > held or row.front in self._dead
            member.incarnation, member.refutations, member.suspected_at, member.accusers = (
                row.incarnation,
                row.refutations,
                None,
                set(),
            )
            self._dead.discard(row.front)
            self._suspects.discard(row.front)
            self.version += changed
            if (
                changed and row.incarnation == held
            ):  # a suspicion is answered; of a new life its own words tell
                self._gossip_counts[row.front] = 0
        if (
            row.accuser is not None
            and row.accuser not in member.accusers
            and len(member.accusers) <= MAX_CONFIRMATIONS
        ):
            if member.suspected_at is None:
                member.suspected_at = now
                self._suspects.add(row.front)
                self.version += 1
            member.accusers.add(row.accuser)
            self._gossip_counts[row.front] = 0

    def _refute(self, row: words.MemberRow) -> None:
        """What is said of us. An accusation is answered, and a later life of ours outdone: our clock was set
        back since, or somebody talks nonsense within a day."""
        if row.incarnation > self.incarnation:
            self.incarnation, self.refutations = row.incarnation + 1, 0
            self.refuted += 1
        elif row.accuser is not None and (row.incarnation, row.refutations) >= (
            self.incarnation,
            self.refutations,
        ):
            self.incarnation, self.refutations = (
                (self.incarnation, row.refutations + 1)
                if row.refutations < 255
                else (self.incarnation + 1, 0)
            )
            self.health_multiplier = min(self.health_multiplier + 1, MAX_HEALTH_MULTIPLIER)
            self.refuted += 1

    def _expire(self, now: int) -> None:
        if self.connectivity(now) in (Connectivity.NONE, Connectivity.INBOUND_ONLY):
            return  # nobody could have answered us
        for front in list(self._suspects):
            member = self.members[front]
            if member.suspected_at is None or member.heard_at > member.suspected_at:
                continue  # we have heard it ourselves since
            more = min(len(member.accusers) - 1, MAX_CONFIRMATIONS)
            span = self.timing.max_suspicion - self.timing.min_suspicion
            part = 1 - math.log(1 + more) / math.log(1 + MAX_CONFIRMATIONS)
            if now - member.suspected_at >= self.timing.min_suspicion + round(span * part):
                self._dead.add(front)
                self._suspects.discard(front)
                self.version += 1

    def _rows_for(self, to: int) -> tuple[words.MemberRow, ...]:
        """The rows that were told least, what is held against the hearer first; each is told a few times."""
        enough = 3 * max(self.fronts, 2).bit_length()
        fresh = sorted(self._gossip_counts, key=lambda front: (self._gossip_counts[front], front))
        accused = self.members[to].suspected_at is not None
        chosen = [to] * accused + [front for front in fresh if front != to][: words.MAX_MEMBER_ROWS - accused]
        rows = []
        for front in chosen:
            member = self.members[front]
            accuser = min(member.accusers, default=self.me) if member.suspected_at is not None else None
            if front != to and accuser is not None:  # each telling names another accuser
                accuser = sorted(member.accusers)[self._gossip_counts.get(front, 0) % len(member.accusers)]
            rows.append(words.MemberRow(front, member.incarnation, member.refutations, accuser))
            if front in self._gossip_counts:
                self._gossip_counts[front] += 1
                if self._gossip_counts[front] >= enough:
                    del self._gossip_counts[front]
        return tuple(rows)

    def _make_ping(self, now: int, to: int, number: int) -> words.Ping:
        return words.Ping(number, self.incarnation, self.refutations, self._rows_for(to))

    def _make_ping_request(self, now: int, to: int, ping: _Ping) -> words.PingRequest:
        return words.PingRequest(
            ping.number, self.incarnation, self.refutations, self._rows_for(to), ping.target
        )

    def _make_ack(self, now: int, to: int, number: int, of: int, missed: bool = False) -> words.Ack:
        return words.Ack(number, self.incarnation, self.refutations, self._rows_for(to), of, missed)
