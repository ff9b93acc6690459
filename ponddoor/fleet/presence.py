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

DAY = 864_000  # in the steps of a life, tenths of a second
HELPERS = 3  # who are asked to ping one that did not answer us
CONFIRMED = 3  # accusers after the first, with whom a suspicion is believed soonest
LOOKED = 8  # pings of which the outcome is kept
MOST_HEALTH = 8
RELAYED = 64  # pings for others that are out at once
DEAD_EACH = 4  # of so many rounds, one asks those who are dead too
Out = list[tuple[int, words.Word]]


class Stands(Enum):
    """How another front stands, as far as this one knows."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Hears(Enum):
    """How this front hears the others."""

    WELL = "well"
    PART = "part"  # many do not answer, others do
    NOTHING = "nothing"  # neither answers nor any other word
    UNHEARD = "unheard"  # others' words come, but nobody answers ours


class Outcome(Enum):
    """What became of a ping."""

    ANSWERED = "answered"
    MISSED = "missed"  # others answered us, it did not
    SILENT = "silent"  # nobody answered


@dataclass(frozen=True, slots=True)
class Timing:
    """Microseconds: between two pings, until an answer is late, and how long a suspicion runs."""

    period: int
    wait: int
    least: int
    most: int


@dataclass(slots=True)
class Member:
    """Another front. `by` are its accusers; `met` is when any word of its own last came."""

    life: int = 0
    bump: int = 0
    since: int | None = None  # suspected since
    by: set[int] = field(default_factory=set)
    met: int = LONG_AGO
    corrected: int = LONG_AGO


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
        self.life, self.bump, self._first, self._born = life, 0, life, now
        self.members = {front: Member() for front in range(fronts) if front != me}
        self.health = 0
        self.silent = 0  # pings in a row that nobody answered, nor any helper
        self.outcomes: deque[Outcome] = deque(maxlen=LOOKED)
        self.version = 0  # counts changes of how anybody stands
        self.next_due = now + self.chance.draw(timing.period)
        self.refuted = 0
        self._ping: _Ping | None = None
        self._number = 0
        self._ring: list[int] = []
        self._rounds = 0
        self._rumours: dict[int, int] = {}  # front: how often its row was told
        # By number: for whom we ping, under which number of its own, whom, until when
        self._relayed: dict[int, tuple[int, int, int, int]] = {}
        self._dead: set[int] = set()
        self._suspects: set[int] = set()  # who is suspected and not dead yet
        self._words = LONG_AGO  # when any word last came

    # What is known

    def stands(self, front: int) -> Stands:
        """As of the last `due`, or word. Of a front that is not of the fleet: dead."""
        if front == self.me:
            return Stands.ALIVE
        member = self.members.get(front)
        if member is None or front in self._dead:
            return Stands.DEAD
        return Stands.ALIVE if member.since is None else Stands.SUSPECT

    def dead(self) -> list[int]:
        """Who is taken for dead."""
        return sorted(self._dead)

    def live(self) -> int:
        """Fronts that are not dead, this one among them."""
        return self.fronts - len(self._dead)

    def reach(self) -> float:
        """The share of the fleet that answers us, from the last pings; 1 where none was sent yet."""
        if not self.outcomes:
            return 1.0
        return sum(one is Outcome.ANSWERED for one in self.outcomes) / len(self.outcomes)

    def hears(self, now: int) -> Hears:
        """Whether this front is the one that hears nothing. With a few pings out it has no opinion yet."""
        if self.silent >= HELPERS:
            heard = now - self._words < HELPERS * self.timing.period
            return Hears.UNHEARD if heard else Hears.NOTHING
        return Hears.WELL if self.reach() >= 0.6 else Hears.PART

    def life_of(self, front: int) -> int:
        """The life in which a front was last heard of; 0 if never."""
        member = self.members.get(front)
        return self.life if front == self.me else member.life if member is not None else 0

    def believable(self, now: int, life: int) -> bool:
        """Guards against a life that nobody can have begun: one over a day ahead of our own clock."""
        return 0 < life <= self._first + (now - self._born) // 100_000 + DAY

    # What happens

    def met(self, now: int, front: int, life: int) -> bool:
        """A word of its own has come; whether it counts: one of an earlier life does not."""
        member = self.members.get(front)
        if member is None or not self.believable(now, life) or life < member.life:
            return False
        self._words = member.met = now
        if life > member.life:
            self._take(now, words.Row(front, life, 0, None))
        if front in self._dead:  # heard again: our own evidence goes first
            self._dead.discard(front)
            member.since = None
            self.version += 1
        return True

    def correction(self, now: int, front: int, life: int) -> Out:
        """Guards against a front whose clock was set back since its last start, and whom nobody would hear:
        it is told of the life that it has to outdo, once in a while."""
        member = self.members.get(front)
        if member is None or not 0 < life < member.life or now - member.corrected < self.timing.period:
            return []
        member.corrected = now
        self._number = (self._number + 1) % 65536
        row = words.Row(front, member.life, member.bump, None)
        return [(front, words.Ping(self._number, self.life, self.bump, (row,)))]

    def due(self, now: int) -> Out:
        """What is to be sent now."""
        out: Out = []
        if now < self.next_due:
            return out
        late = now - self.next_due > self.timing.wait + self.timing.period
        for number in [number for number, one in self._relayed.items() if one[3] <= now]:
            peer, theirs, of, _ = self._relayed.pop(number)
            out.append((peer, self._ack(now, peer, theirs, of, missed=True)))
        ping = self._ping
        if late:  # we were stopped ourselves: who did not answer then may well have
            self._ping, ping = None, None
            self.health = min(self.health + 1, MOST_HEALTH)
        wait = self.timing.wait * (1 + self.health)
        if ping is not None and not ping.answered and not ping.helped and now >= ping.sent + wait:
            ping.helped = True
            helpers = self._some(HELPERS, {ping.target})
            out += [(peer, self._asks(now, peer, ping)) for peer in helpers]
        if ping is None or now >= ping.sent + max(self.timing.period, 2 * wait):
            out += self._next(now, ping)
        self._expire(now)
        self.next_due = self._when(now)
        return out

    def heard(self, now: int, peer: int, word: words.Word) -> Out:
        """A word of presence has come from another front."""
        if not isinstance(word, words.Ping | words.Ack | words.Via) or not self.met(now, peer, word.life):
            return []
        self._take(now, words.Row(peer, word.life, word.bump, None))
        for row in word.rows:
            self._take(now, row)
        match word:
            case words.Ping(number):
                return [(peer, self._ack(now, peer, number, self.me))]
            case words.Via(number, _, _, _, target) if target in self.members:
                if len(self._relayed) >= RELAYED:
                    return []
                self._number = (self._number + 1) % 65536
                until = now + self.timing.wait * (1 + self.health)
                self._relayed[self._number] = (peer, number, target, until)
                self.next_due = min(self.next_due, until)
                return [(target, self._says(now, target, self._number))]
            case words.Ack(number, _, _, _, of, missed):
                return self._answered(now, peer, number, of, missed)
        return []

    # Inside

    def _answered(self, now: int, peer: int, number: int, of: int, missed: bool) -> Out:
        relayed = self._relayed.get(number)
        if relayed is not None and relayed[2] == peer == of and not missed:
            del self._relayed[number]
            return [(relayed[0], self._ack(now, relayed[0], relayed[1], of))]
        ping = self._ping
        if ping is not None and ping.number == number and ping.target == of:
            if missed:
                ping.nacks += 1
            elif not ping.answered:
                ping.answered = True
                self.health = max(self.health - 1, 0)
        return []

    def _next(self, now: int, ping: _Ping | None) -> Out:
        """The ping that is out has ended; the next goes out."""
        if ping is not None:
            member = self.members[ping.target]
            missed = Outcome.MISSED if ping.nacks else Outcome.SILENT
            self.silent = self.silent + 1 if missed is Outcome.SILENT and not ping.answered else 0
            if ping.answered or member.life:  # who never was heard may not have begun
                self.outcomes.append(Outcome.ANSWERED if ping.answered else missed)
            if not ping.answered:
                self.health = min(self.health + (ping.nacks == 0), MOST_HEALTH)
                # Guards against a front that hears nothing and accuses all: it holds its tongue
                if self.hears(now) is not Hears.NOTHING and member.met < ping.sent:
                    self._take(now, words.Row(ping.target, member.life, member.bump, self.me))
        if not self._ring:
            self._rounds += 1
            ask_dead = self._rounds % DEAD_EACH == 1
            self._ring = [front for front in self.members if ask_dead or front not in self._dead]
            for at in range(len(self._ring) - 1, 0, -1):
                other = self.chance.draw(at + 1)
                self._ring[at], self._ring[other] = self._ring[other], self._ring[at]
        if not self._ring:
            self._ping = None
            return []
        self._number = (self._number + 1) % 65536
        self._ping = _Ping(self._number, self._ring.pop(), now)
        return [(self._ping.target, self._says(now, self._ping.target, self._number))]

    def _when(self, now: int) -> int:
        ping, wait = self._ping, self.timing.wait * (1 + self.health)
        if ping is None:
            return now + self.timing.period
        over = ping.sent + max(self.timing.period, 2 * wait)
        soon = over if ping.answered or ping.helped else min(ping.sent + wait, over)
        return max(min([soon, *(one[3] for one in self._relayed.values())]), now + 1)

    def _some(self, count: int, without: Iterable[int]) -> list[int]:
        able = [front for front in self.members if front not in self._dead and front not in without]
        found: list[int] = []
        while able and len(found) < count:
            found.append(able.pop(self.chance.draw(len(able))))
        return found

    def learn(self, now: int, row: words.Row) -> None:
        """A row that came with other news."""
        self._take(now, row)

    def troubled(self, most: int) -> tuple[words.Row, ...]:
        """The rows of who is suspected or dead, so many at most."""
        rows = [
            words.Row(front, m.life, m.bump, min(m.by, default=self.me))
            for front, m in self.members.items()
            if m.since is not None
        ]
        return tuple(rows[:most])

    def some(self, count: int) -> list[int]:
        """So many other fronts that live, by chance."""
        return self._some(count, ())

    def _take(self, now: int, row: words.Row) -> None:
        """Join a row to what is known: the later life, bump and suspicion win, in any order."""
        if not self.believable(now, row.life) and row.life:
            return
        if row.front == self.me:
            self._of_us(row)
            return
        member = self.members.get(row.front)
        if member is None or (row.life, row.bump) < (member.life, member.bump):
            return
        if (row.life, row.bump) > (member.life, member.bump):
            held = member.life
            changed = member.since is not None or row.life > held or row.front in self._dead
            member.life, member.bump, member.since, member.by = row.life, row.bump, None, set()
            self._dead.discard(row.front)
            self._suspects.discard(row.front)
            self.version += changed
            if changed and row.life == held:  # a suspicion is answered; of a new life its own words tell
                self._rumours[row.front] = 0
        if row.accuser is not None and row.accuser not in member.by and len(member.by) <= CONFIRMED:
            if member.since is None:
                member.since = now
                self._suspects.add(row.front)
                self.version += 1
            member.by.add(row.accuser)
            self._rumours[row.front] = 0

    def _of_us(self, row: words.Row) -> None:
        """What is said of us. An accusation is answered, and a later life of ours outdone: our clock was set
        back since, or somebody talks nonsense within a day."""
        if row.life > self.life:
            self.life, self.bump = row.life + 1, 0
            self.refuted += 1
        elif row.accuser is not None and (row.life, row.bump) >= (self.life, self.bump):
            self.life, self.bump = (self.life, row.bump + 1) if row.bump < 255 else (self.life + 1, 0)
            self.health = min(self.health + 1, MOST_HEALTH)
            self.refuted += 1

    def _expire(self, now: int) -> None:
        if self.hears(now) in (Hears.NOTHING, Hears.UNHEARD):
            return  # nobody could have answered us
        for front in list(self._suspects):
            member = self.members[front]
            if member.since is None or member.met > member.since:
                continue  # we have heard it ourselves since
            more = min(len(member.by) - 1, CONFIRMED)
            span = self.timing.most - self.timing.least
            part = 1 - math.log(1 + more) / math.log(1 + CONFIRMED)
            if now - member.since >= self.timing.least + round(span * part):
                self._dead.add(front)
                self._suspects.discard(front)
                self.version += 1

    def _rows(self, to: int) -> tuple[words.Row, ...]:
        """The rows that were told least, what is held against the hearer first; each is told a few times."""
        enough = 3 * max(self.fronts, 2).bit_length()
        fresh = sorted(self._rumours, key=lambda front: (self._rumours[front], front))
        accused = self.members[to].since is not None
        chosen = [to] * accused + [front for front in fresh if front != to][: words.ROWS - accused]
        rows = []
        for front in chosen:
            member = self.members[front]
            accuser = min(member.by, default=self.me) if member.since is not None else None
            if front != to and accuser is not None:  # each telling names another accuser
                accuser = sorted(member.by)[self._rumours.get(front, 0) % len(member.by)]
            rows.append(words.Row(front, member.life, member.bump, accuser))
            if front in self._rumours:
                self._rumours[front] += 1
                if self._rumours[front] >= enough:
                    del self._rumours[front]
        return tuple(rows)

    def _says(self, now: int, to: int, number: int) -> words.Ping:
        return words.Ping(number, self.life, self.bump, self._rows(to))

    def _asks(self, now: int, to: int, ping: _Ping) -> words.Via:
        return words.Via(ping.number, self.life, self.bump, self._rows(to), ping.target)

    def _ack(self, now: int, to: int, number: int, of: int, missed: bool = False) -> words.Ack:
        return words.Ack(number, self.life, self.bump, self._rows(to), of, missed)
