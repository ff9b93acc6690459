"""What one front knows of the others, for its decisions: the one way in and out of the cores of the fleet.

Each group of servers (racks that follow one another) has its keepers: so many fronts that live, by
rendezvous hashing (Thaler and Ravishankar, 1998), so that all who know the same fronts name the same keepers,
and the loss of a front moves its groups alone. Keepers are told what is asked in their group and answer who
asks. With few fronts each keeps all, and nobody asks."""

import functools
import heapq
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from ponddoor.fleet.counts import Counts
from ponddoor.fleet.evidence import Evidence, Seen, View
from ponddoor.fleet.presence import Presence, Stands, Timing
from ponddoor.fleet.shares import Shares
from ponddoor.interface import actions as act
from ponddoor.interface import words
from ponddoor.interface.chance import SeededRandom
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import Script

EPOCH = 1_767_225_600_000_000  # us: 2026-01-01, from which lives count
RANKED = 8  # fronts that are kept in order for a group
Rates = Callable[[int], list[words.Rate]]  # all that we ask of what a keeper keeps


@dataclass(frozen=True, slots=True)
class Terms:
    """What the decisions want of the fleet. Times in microseconds; `few`: so many fronts all keep all."""

    keepers: int
    few: int
    timing: Timing
    evidence: int
    lease: int
    known: float  # the share of the fleet that has to have told us, before we know what is asked
    reach: float  # and the share that has to answer us now
    gives: int  # of what was learned, to who has just begun: so often in a period


@dataclass(slots=True)
class _Question:
    """A question that is out: when it went, and whose answer is waited for."""

    sent: int
    waited: set[int]


class Fleet:
    """One front's view of the fleet. `talks`: words are allowed, and somebody is there to hear them."""

    def __init__(self, facts: SiteFacts, now: int, terms: Terms, groups: int) -> None:
        self.groups = range(groups)
        self.me, self.fronts, self.terms, self.born, self.now = facts.me, facts.fronts, terms, now, now
        self.talks = facts.permissions.messages and facts.fronts > 1
        self.asks = self.talks and facts.fronts > terms.few
        # Tenths of a second, which four bytes hold for thirteen years
        life = max(1, (now + facts.wall - (EPOCH if facts.wall else 0)) // 100_000)
        self.presence = Presence(facts.me, facts.fronts, life, now, terms.timing, facts.seed ^ 0x5DEECE66D)
        self.counts, self.evidence = Counts(), Evidence(terms.evidence)
        self.shares = Shares(facts.fronts, now, terms.lease)
        self.stamp = 0
        self.whole_since: dict[int, int] = {}  # of a group of which we know what all ask
        self.quiet: set[int] = set()  # keepers that did not answer, and were not heard since
        # Of a keeper: its life, its last question, and when that came, to lend under it
        self.lenders: dict[int, tuple[int, int, int]] = {}
        self.out: list[tuple[int | None, words.Word]] = []
        self._keepers: dict[int, tuple[int, tuple[int, ...]]] = {}
        self._kept: dict[int, int] = {}  # group: since when we keep it
        self._questions: dict[int, _Question] = {}
        self._number, self._begun = 0, set[int]()
        self._told: dict[int, int] = {}  # front: its life when we last told it all
        # When all are to be asked to tell us all, if they have not: who begins with us tells us unasked
        self._ask_all_at: int | None = now + 3 * terms.timing.wait
        self._seen_version, self._asked_all = -1, now - terms.timing.period
        self._gave: tuple[int, int] = (now, 0)
        self.looked: dict[int, tuple[int, bool]] = {}
        if self.talks:
            self._kept = {group: now for group in self.groups if facts.me in self.keepers(group)}

    # Who keeps what

    def keepers(self, group: int) -> tuple[int, ...]:
        """The fronts that keep a group: the first by rank that are not dead."""
        held = self._keepers.get(group)
        if held is not None and held[0] == self.presence.version:
            return held[1]
        if self.fronts <= self.terms.few:
            found = tuple(one for one in range(self.fronts) if self.presence.stands(one) is not Stands.DEAD)
        else:
            ranked = _ranked(group, self.fronts)
            alive = [front for front in ranked if self.presence.stands(front) is not Stands.DEAD]
            found = tuple((alive or ranked)[: self.terms.keepers])
        self._keepers[group] = (self.presence.version, found)
        return found

    def others(self, group: int) -> tuple[int, ...]:
        """Its keepers but this front."""
        return tuple(front for front in self.keepers(group) if front != self.me)

    def asked_of(self, group: int) -> int | None:
        """The keeper to ask of a group, by our number; who is silent comes last. None: we keep it."""
        keepers = self.keepers(group)
        if self.me in keepers:
            return None
        first = self.me % len(keepers)
        order = keepers[first:] + keepers[:first]
        return next((one for one in order if one not in self.quiet), order[0])

    def deaf(self) -> bool:
        """Whether most keepers are silent: what we tell reaches few."""
        return 2 * len(self.quiet) > len(self.all_keepers())

    def group_of(self, rack: int, racks: int) -> int:
        """Racks that follow one another are one group: a title mostly lies in one."""
        return rack * len(self.groups) // racks

    def asked_about(self, of: list[int], most: int, chance: SeededRandom) -> list[int]:
        """Some of these groups: of a title that lies everywhere its home's and others by chance."""
        groups = list(dict.fromkeys(of))
        while len(groups) > most:
            del groups[1 + chance.draw(len(groups) - 1)]
        return groups

    def whole(self, group: int) -> bool:
        """Whether we know what all ask in a group: we keep it, the fleet answers us, and most of it has told
        us all since we keep it."""
        since, now = self._kept.get(group), self.now
        if since is None:
            self.whole_since.pop(group, None)
            return False
        held = self.looked.get(group)
        if held is not None and held[0] > now - 50_000:  # keepers are asked hundreds of times a second
            return held[1]
        need = self.terms.known * (self.fronts - 1)
        told = sum(
            o.whole_at is not None and o.whole_at >= since and not o.doubted
            for o in self.counts.origins.values()
        )
        whole = told >= need and self.presence.reach() >= self.terms.reach
        self.looked[group] = (now, whole)
        if whole:
            self.whole_since.setdefault(group, now)
        else:
            self.whole_since.pop(group, None)
        return whole

    # Words

    def hear(self, peer: int, word: words.Word | None) -> set[int]:
        """Take a word in. Returns the servers of which what is asked has changed; what is to be said waits in
        `out`."""
        now, changed = self.now, set[int]()
        if word is None or isinstance(word, words.AskOurs | words.AskHolders):
            return changed
        if not self.presence.met(now, peer, word.life):  # of an earlier life, or nonsense
            self.out += self.presence.correction(now, peer, word.life)
            return changed
        match word:
            case words.Ping() | words.Ack() | words.Via():
                self.out += self.presence.heard(now, peer, word)
            case words.Telling(life, stamp, rates, whole):
                rows = [(rate.server, rate.kb, rate.warm) for rate in rates]
                changed = self.counts.tell(now, peer, life, stamp, whole, rows)
                for rate in rates:
                    if rate.ends is not None:
                        self.evidence.tell(now, peer, life, stamp, rate.server, seen_at(now, rate.ends))
            case words.Lending(_, theirs, number, groups):
                self.shares.lent(now, peer, theirs == self.presence.life, number, groups)
            case words.AskNews():
                self._give(now, peer)
            case words.News(_, rows, saw):
                for row in rows:
                    self.presence.learn(now, row)
                for server, ends in saw:
                    self.evidence.tell(now, peer, word.life, 0, server, seen_at(now, ends))
            case words.Begun():
                self._told.pop(peer, None)
                self._begun.add(peer)
        self.quiet.discard(peer)
        return changed | self._follow(now)

    def _follow(self, now: int) -> set[int]:
        """Who is taken for dead, or is back, is so in the counts too; groups may have other keepers."""
        changed: set[int] = set()
        if self._seen_version != self.presence.version:
            self._seen_version = self.presence.version
            for front in self.counts.origins:
                changed |= self.counts.doubt(front, self.presence.stands(front) is Stands.DEAD)
            kept = {group for group in self.groups if self.me in self.keepers(group)}
            if kept - self._kept.keys() and self._ask_all_at is None:
                self._ask_all_at = max(now, self._asked_all + self.terms.timing.period)
            self._kept = {group: self._kept.get(group, now) for group in kept}
        if self._ask_all_at is not None and now >= self._ask_all_at:
            self._ask_all_at, self._asked_all = None, now
            if self.asks and not all(map(self.whole, self._kept)):
                self.out.append((None, words.Begun(self.presence.life)))
        return changed

    def all_keepers(self) -> set[int]:
        """The other fronts that keep any group."""
        return {front for group in self.groups for front in self.others(group)} if self.talks else set()

    def wants_all(self, keeper: int) -> bool:
        """Whether a keeper has to be told all: it has begun anew, or never was told by us."""
        told = self._told.get(keeper)
        return told is None or (told > 0 and told != self.presence.life_of(keeper))

    def _give(self, now: int, peer: int) -> None:
        """What we know, to a front that has just begun: a bounded number of times in a period, and nothing
        while we have just begun ourselves."""
        since, count = self._gave
        if now - since >= self.terms.timing.period:
            since, count = now, 0
        fresh = now - self.born < self.terms.timing.most
        if fresh or count >= self.terms.gives:
            self._gave = (since, count)
            return
        self._gave = (since, count + 1)
        # Guards against one front's word that comes by many ways: only what we saw ourselves goes on
        own = self.evidence.of(now, self.me, words.NEWS)
        saw = tuple((server, ends_of(now, seen)) for server, seen in own)
        troubled = self.presence.troubled(words.ROWS)
        self.out.append((peer, words.News(self.presence.life, troubled, saw)))

    def saw(self, server: int, seen: Seen) -> None:
        """What we saw of a server ourselves: one voice among the others'."""
        if self.talks:
            self.evidence.tell(self.now, self.me, self.presence.life, self.now, server, seen)

    def room(
        self, peer: int, server: int, idle: float, asked: float, warm: bool, granted: bool
    ) -> words.Room:
        """How a server stands, with what is the asker's and what others than it saw."""
        view = self.evidence.view(self.now, server, peer)
        theirs = self.counts.part(peer, server)
        return words.Room(server, idle, asked, theirs, warm, view.against, ends_in(self.now, view), granted)

    # What is said: scripts for the decisions to yield from

    def talking(self, changed: Callable[[int], None], rates: Rates) -> Script:
        """Who is there. A keeper that has just begun wants to be told all; so does another who has: at once.
        A front that begins asks two, drawn by chance, for what they know, and waits for nothing."""
        self.out += [(peer, words.AskNews(self.presence.life)) for peer in self.presence.some(2) if self.asks]
        while True:
            self.out += self.presence.due(self.now)
            for number in self._follow(self.now):
                changed(number)
            out, self.out = self.out, []
            for peer, word in out:
                yield from _say(peer, word)
            if self._begun:
                begun, self._begun = self._begun & self.all_keepers(), set()
                for keeper in sorted(begun):
                    yield from self.tell_all(keeper, rates(keeper))
            yield act.WaitForPeerMessage(
                min(self.presence.next_due, self._ask_all_at or self.presence.next_due)
            )

    def tell(self, rates: Iterable[tuple[int, words.Rate]]) -> Script:
        """What changed at servers of these groups, to the keepers of each."""
        by_keeper: dict[int, list[words.Rate]] = {}
        for group, rate in rates:
            for keeper in self.others(group):
                by_keeper.setdefault(keeper, []).append(rate)
        for keeper, told in by_keeper.items():
            self.stamp += 1
            yield from _say(keeper, words.Telling(self.presence.life, self.stamp, tuple(told), False))

    def tell_all(self, keeper: int, rates: list[words.Rate]) -> Script:
        """All that we ask of what a keeper keeps."""
        self._told[keeper] = self.presence.life_of(keeper)
        self.stamp += 1
        yield from _say(keeper, words.Telling(self.presence.life, self.stamp, tuple(rates), True))

    def refresh(self, turn: int, turns: int, rates: Rates) -> Script:
        """All to the keepers whose turn it is: lost words are made good, also those that all is over."""
        for keeper in sorted(self.all_keepers()):
            if self.wants_all(keeper) or turn % turns == keeper % turns:
                yield from self.tell_all(keeper, rates(keeper))

    def ask(self, groups: Iterable[int], question: Callable[[int], words.Word], until: int) -> Script:
        """Ask the keepers of groups and wait a little; who does not answer is given up, and not waited for
        until it is heard again."""
        keepers = {keeper for group in groups if (keeper := self.asked_of(group)) is not None}
        if not self.asks or not keepers:
            return
        self._number = number = self._number % 65535 + 1
        old = self.now - self.terms.timing.period
        for one in [one for one, held in self._questions.items() if held.sent <= old]:
            del self._questions[one]
        held = self._questions[number] = _Question(self.now, keepers - self.quiet)
        for keeper in sorted(keepers):
            yield from _say(keeper, question(number))
        while held.waited and self.now < until:
            yield act.WaitForPeerMessage(until)
        self.quiet |= held.waited
        held.waited.clear()

    def answered(self, peer: int, answer: words.Answer) -> int | None:
        """When the question went out that this answers; None where none did, or long ago."""
        held = self._questions.get(answer.number)
        late = held is None or self.now - held.sent > self.terms.timing.period
        if held is None or late or answer.life != self.presence.life_of(peer):
            return None
        held.waited.discard(peer)
        for room in answer.rooms if not answer.brief else ():
            self.evidence.sum(self.now, room.server, sum_of(self.now, room))
        if answer.lend:
            self.lenders[peer] = (answer.life, answer.lend, self.now)
        return held.sent

    def answer(self, peer: int, number: int, rooms: list[words.Room], brief: bool) -> Script:
        """A keeper's answer; it asks along for the asker's parts."""
        lend = self.shares.question(self.now, peer)
        yield from _say(peer, words.Answer(self.presence.life, number, lend, tuple(rooms), brief))

    def lend(self, groups: Iterable[int]) -> Script:
        """Our parts of these groups, to the keepers that we ask, in answer to a question that came lately."""
        by_keeper: dict[int, list[int]] = {}
        for group in groups if self.asks else ():
            keeper = self.asked_of(group)
            asked = self.lenders.get(keeper) if keeper is not None and keeper not in self.quiet else None
            if keeper is None or asked is None or self.now - asked[2] >= self.terms.lease // 2:
                continue
            if self.shares.may_lend(self.now, group, keeper, asked[0]):
                by_keeper.setdefault(keeper, []).append(group)
        for keeper, kept in by_keeper.items():
            life, number, _ = self.lenders[keeper]
            lent = tuple(kept[: words.GROUPS])
            self.shares.lend(self.now, lent, keeper, life)
            yield from _say(keeper, words.Lending(self.presence.life, life, number, lent))


def _say(peer: int | None, word: words.Word) -> Script:
    for message in words.pack(word):
        yield act.SendPeerMessage(peer, message)


def sum_of(now: int, room: words.Room) -> View:
    """What a keeper's answer tells of others' evidence."""
    seen = seen_at(now, room.ends)
    return View(room.against, seen.failed, seen.failed + seen.well, seen.failed_at, seen.well_at)


def ends_in(now: int, view: View) -> words.Ends:
    """The reverse."""
    return ends_of(now, Seen(view.failed, view.tries - view.failed, view.failed_at, view.well_at))


def seen_at(now: int, ends: words.Ends) -> Seen:
    """What a word tells, in our time. A word that was late is taken for fresher than it is, by so much."""
    never = Seen().failed_at
    return Seen(
        ends.failed,
        ends.well,
        now - ends.failed_age if ends.failed else never,
        now - ends.well_age if ends.well else never,
    )


def ends_of(now: int, seen: Seen) -> words.Ends:
    """The reverse."""
    return words.Ends(
        seen.failed,
        seen.well,
        now - seen.failed_at if seen.failed else 0,
        now - seen.well_at if seen.well else 0,
    )


@functools.lru_cache(maxsize=4096)  # the same for all fronts of a process
def _ranked(group: int, fronts: int) -> list[int]:
    """The first fronts of a group by rank."""
    return heapq.nsmallest(RANKED, range(fronts), key=lambda front: _rank(group, front))


def _rank(group: int, front: int) -> int:
    return xxhash.xxh32_intdigest(struct.pack(">II", group, front))
