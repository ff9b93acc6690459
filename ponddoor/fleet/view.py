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
from ponddoor.fleet.evidence import Evidence, EvidenceSummary, Observation
from ponddoor.fleet.presence import FrontState, Presence, Timing
from ponddoor.fleet.shares import Shares
from ponddoor.interface import actions as act
from ponddoor.interface import words
from ponddoor.interface.chance import SeededRandom
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import Script

INCARNATION_EPOCH_US = 1_767_225_600_000_000  # us: 2026-01-01, from which lives count
MAX_RANKED = 8  # fronts that are kept in order for a group
RatesFor = Callable[[int], list[words.ServerRate]]  # all that we ask of what a keeper keeps


@dataclass(frozen=True, slots=True)
class Terms:
    """What the decisions want of the fleet. Times in microseconds; `few`: so many fronts all keep all."""

    owners_per_group: int
    all_own_up_to: int
    timing: Timing
    evidence_ttl: int
    lease: int
    min_told_ratio: float  # the share of the fleet that has to have told us, before we know what is asked
    min_ack_ratio: float  # and the share that has to answer us now
    bootstrap_replies_per_period: int  # of what was learned, to who has just begun: so often in a period


@dataclass(slots=True)
class _Question:
    """A question that is out: when it went, and whose answer is waited for."""

    sent: int
    waited: set[int]


class Fleet:
    """One front's view of the fleet. `talks`: words are allowed, and somebody is there to hear them."""

    def __init__(self, facts: SiteFacts, now: int, terms: Terms, groups: int) -> None:
        self.groups = range(groups)
        self.me, self.fronts, self.terms, self.started_at, self.now = facts.me, facts.fronts, terms, now, now
        self.gossip_enabled = facts.permissions.messages and facts.fronts > 1
        self.queries_owners = self.gossip_enabled and facts.fronts > terms.all_own_up_to
        # Tenths of a second, which four bytes hold for thirteen years
        life = max(1, (now + facts.wall - (INCARNATION_EPOCH_US if facts.wall else 0)) // 100_000)
        self.presence = Presence(facts.me, facts.fronts, life, now, terms.timing, facts.seed ^ 0x5DEECE66D)
        self.counts, self.evidence = Counts(), Evidence(terms.evidence_ttl)
        self.shares = Shares(facts.fronts, now, terms.lease)
        self.stamp = 0
        self.synced_since: dict[int, int] = {}  # of a group of which we know what all ask
        self.silent_owners: set[int] = set()  # keepers that did not answer, and were not heard since
        # Of a keeper: its life, its last question, and when that came, to lend under it
        self.lease_requests: dict[int, tuple[int, int, int]] = {}
        self.outbox: list[tuple[int | None, words.Message]] = []
        self._owners: dict[int, tuple[int, tuple[int, ...]]] = {}
        self._owned_since: dict[int, int] = {}  # group: since when we keep it
        self._questions: dict[int, _Question] = {}
        self._number, self._full_update_wanted = 0, set[int]()
        self._full_update_sent_to: dict[int, int] = {}  # front: its life when we last told it all
        # When all are to be asked to tell us all, if they have not: who begins with us tells us unasked
        self._request_all_at: int | None = now + 3 * terms.timing.ack_timeout
        self._seen_version, self._requested_all_at = -1, now - terms.timing.ping_period
        self._bootstrap_replies: tuple[int, int] = (now, 0)
        self.synced_cache: dict[int, tuple[int, bool]] = {}
        if self.gossip_enabled:
            self._owned_since = {group: now for group in self.groups if facts.me in self.owners(group)}

    # Who keeps what

    def owners(self, group: int) -> tuple[int, ...]:
        """The fronts that keep a group: the first by rank that are not dead."""
        held = self._owners.get(group)
        if held is not None and held[0] == self.presence.version:
            return held[1]
        if self.fronts <= self.terms.all_own_up_to:
            found = tuple(
                one for one in range(self.fronts) if self.presence.state_of(one) is not FrontState.DEAD
            )
        else:
            ranked = _ranked(group, self.fronts)
            alive = [front for front in ranked if self.presence.state_of(front) is not FrontState.DEAD]
            found = tuple((alive or ranked)[: self.terms.owners_per_group])
        self._owners[group] = (self.presence.version, found)
        return found

    def other_owners(self, group: int) -> tuple[int, ...]:
        """Its keepers but this front."""
        return tuple(front for front in self.owners(group) if front != self.me)

    def owner_to_query(self, group: int) -> int | None:
        """The keeper to ask of a group, by our number; who is silent comes last. None: we keep it."""
        keepers = self.owners(group)
        if self.me in keepers:
            return None
        first = self.me % len(keepers)
        order = keepers[first:] + keepers[:first]
        return next((one for one in order if one not in self.silent_owners), order[0])

    def most_owners_silent(self) -> bool:
        """Whether most keepers are silent: what we tell reaches few."""
        return 2 * len(self.silent_owners) > len(self.all_owners())

    def group_of(self, rack: int, racks: int) -> int:
        """Racks that follow one another are one group: a title mostly lies in one."""
        return rack * len(self.groups) // racks

    def sample_groups(self, of: list[int], most: int, chance: SeededRandom) -> list[int]:
        """Some of these groups: of a title that lies everywhere its home's and others by chance."""
        groups = list(dict.fromkeys(of))
        while len(groups) > most:
            del groups[1 + chance.draw(len(groups) - 1)]
        return groups

    def is_synced(self, group: int) -> bool:
        """Whether we know what all ask in a group: we keep it, the fleet answers us, and most of it has told
        us all since we keep it."""
        since, now = self._owned_since.get(group), self.now
        if since is None:
            self.synced_since.pop(group, None)
            return False
        held = self.synced_cache.get(group)
        if held is not None and held[0] > now - 50_000:  # keepers are asked hundreds of times a second
            return held[1]
        need = self.terms.min_told_ratio * (self.fronts - 1)
        told = sum(
            o.full_update_at is not None and o.full_update_at >= since and not o.doubted
            for o in self.counts.origins.values()
        )
        whole = told >= need and self.presence.ack_ratio() >= self.terms.min_ack_ratio
        self.synced_cache[group] = (now, whole)
        if whole:
            self.synced_since.setdefault(group, now)
        else:
            self.synced_since.pop(group, None)
        return whole

    # Words

    def receive(self, peer: int, word: words.Message | None) -> set[int]:
        """Take a word in. Returns the servers of which what is asked has changed; what is to be said waits in
        `out`."""
        now, changed = self.now, set[int]()
        if word is None or isinstance(word, words.InUseQuery | words.HoldersQuery):
            return changed
        if not self.presence.accept_message(now, peer, word.incarnation):  # of an earlier life, or nonsense
            self.outbox += self.presence.stale_incarnation_reply(now, peer, word.incarnation)
            return changed
        match word:
            case words.Ping() | words.Ack() | words.PingRequest():
                self.outbox += self.presence.receive(now, peer, word)
            case words.RateUpdate(life, stamp, rates, whole):
                rows = [(rate.server, rate.rate_kb, rate.warm) for rate in rates]
                changed = self.counts.update(now, peer, life, stamp, whole, rows)
                for rate in rates:
                    if rate.outcomes is not None:
                        self.evidence.record(
                            now, peer, life, stamp, rate.server, observation_of(now, rate.outcomes)
                        )
            case words.ShareLease(_, theirs, number, groups):
                self.shares.accept_lease(now, peer, theirs == self.presence.incarnation, number, groups)
            case words.BootstrapRequest():
                self._send_bootstrap_reply(now, peer)
            case words.BootstrapReply(_, rows, saw):
                for row in rows:
                    self.presence.merge_row(now, row)
                for server, ends in saw:
                    self.evidence.record(now, peer, word.incarnation, 0, server, observation_of(now, ends))
            case words.FullUpdateRequest():
                self._full_update_sent_to.pop(peer, None)
                self._full_update_wanted.add(peer)
        self.silent_owners.discard(peer)
        return changed | self._follow_membership(now)

    def _follow_membership(self, now: int) -> set[int]:
        """Who is taken for dead, or is back, is so in the counts too; groups may have other keepers."""
        changed: set[int] = set()
        if self._seen_version != self.presence.version:
            self._seen_version = self.presence.version
            for front in self.counts.origins:
                changed |= self.counts.set_doubted(front, self.presence.state_of(front) is FrontState.DEAD)
            kept = {group for group in self.groups if self.me in self.owners(group)}
            if kept - self._owned_since.keys() and self._request_all_at is None:
                self._request_all_at = max(now, self._requested_all_at + self.terms.timing.ping_period)
            self._owned_since = {group: self._owned_since.get(group, now) for group in kept}
        if self._request_all_at is not None and now >= self._request_all_at:
            self._request_all_at, self._requested_all_at = None, now
            if self.queries_owners and not all(map(self.is_synced, self._owned_since)):
                self.outbox.append((None, words.FullUpdateRequest(self.presence.incarnation)))
        return changed

    def all_owners(self) -> set[int]:
        """The other fronts that keep any group."""
        return (
            {front for group in self.groups for front in self.other_owners(group)}
            if self.gossip_enabled
            else set()
        )

    def needs_full_update(self, keeper: int) -> bool:
        """Whether a keeper has to be told all: it has begun anew, or never was told by us."""
        told = self._full_update_sent_to.get(keeper)
        return told is None or (told > 0 and told != self.presence.incarnation_of(keeper))

    def _send_bootstrap_reply(self, now: int, peer: int) -> None:
        """What we know, to a front that has just begun: a bounded number of times in a period, and nothing
        while we have just begun ourselves."""
        since, count = self._bootstrap_replies
        if now - since >= self.terms.timing.ping_period:
            since, count = now, 0
        fresh = now - self.started_at < self.terms.timing.max_suspicion
        if fresh or count >= self.terms.bootstrap_replies_per_period:
            self._bootstrap_replies = (since, count)
            return
        self._bootstrap_replies = (since, count + 1)
        # Guards against one front's word that comes by many ways: only what we saw ourselves goes on
        own = self.evidence.by_witness(now, self.me, words.MAX_OBSERVATIONS)
        saw = tuple((server, outcomes_of(now, seen)) for server, seen in own)
        troubled = self.presence.suspect_or_dead_rows(words.MAX_MEMBER_ROWS)
        self.outbox.append((peer, words.BootstrapReply(self.presence.incarnation, troubled, saw)))

    def record_own(self, server: int, seen: Observation) -> None:
        """What we saw of a server ourselves: one voice among the others'."""
        if self.gossip_enabled:
            self.evidence.record(self.now, self.me, self.presence.incarnation, self.now, server, seen)

    def status_for(
        self, peer: int, server: int, idle: float, asked: float, warm: bool, granted: bool
    ) -> words.ServerStatus:
        """How a server stands, with what is the asker's and what others than it saw."""
        view = self.evidence.summary(self.now, server, peer)
        theirs = self.counts.amount_of(peer, server)
        return words.ServerStatus(
            server,
            idle,
            asked,
            theirs,
            warm,
            view.witnesses_against,
            outcomes_of_summary(self.now, view),
            granted,
        )

    # What is said: scripts for the decisions to yield from

    def gossip(self, changed: Callable[[int], None], rates: RatesFor) -> Script:
        """Who is there. A keeper that has just begun wants to be told all; so does another who has: at once.
        A front that begins asks two, drawn by chance, for what they know, and waits for nothing."""
        self.outbox += [
            (peer, words.BootstrapRequest(self.presence.incarnation))
            for peer in self.presence.random_live_fronts(2)
            if self.queries_owners
        ]
        while True:
            self.outbox += self.presence.poll(self.now)
            for number in self._follow_membership(self.now):
                changed(number)
            out, self.outbox = self.outbox, []
            for peer, word in out:
                yield from _send(peer, word)
            if self._full_update_wanted:
                begun, self._full_update_wanted = self._full_update_wanted & self.all_owners(), set()
                for keeper in sorted(begun):
                    yield from self.send_full_update(keeper, rates(keeper))
            yield act.WaitForPeerMessage(
                min(self.presence.next_due, self._request_all_at or self.presence.next_due)
            )

    def send_changes(self, rates: Iterable[tuple[int, words.ServerRate]]) -> Script:
        """What changed at servers of these groups, to the keepers of each."""
        by_keeper: dict[int, list[words.ServerRate]] = {}
        for group, rate in rates:
            for keeper in self.other_owners(group):
                by_keeper.setdefault(keeper, []).append(rate)
        for keeper, told in by_keeper.items():
            self.stamp += 1
            yield from _send(
                keeper, words.RateUpdate(self.presence.incarnation, self.stamp, tuple(told), False)
            )

    def send_full_update(self, keeper: int, rates: list[words.ServerRate]) -> Script:
        """All that we ask of what a keeper keeps."""
        self._full_update_sent_to[keeper] = self.presence.incarnation_of(keeper)
        self.stamp += 1
        yield from _send(keeper, words.RateUpdate(self.presence.incarnation, self.stamp, tuple(rates), True))

    def refresh(self, turn: int, turns: int, rates: RatesFor) -> Script:
        """All to the keepers whose turn it is: lost words are made good, also those that all is over."""
        for keeper in sorted(self.all_owners()):
            if self.needs_full_update(keeper) or turn % turns == keeper % turns:
                yield from self.send_full_update(keeper, rates(keeper))

    def query(self, groups: Iterable[int], question: Callable[[int], words.Message], until: int) -> Script:
        """Ask the keepers of groups and wait a little; who does not answer is given up, and not waited for
        until it is heard again."""
        keepers = {keeper for group in groups if (keeper := self.owner_to_query(group)) is not None}
        if not self.queries_owners or not keepers:
            return
        self._number = number = self._number % 65535 + 1
        old = self.now - self.terms.timing.ping_period
        for one in [one for one, held in self._questions.items() if held.sent <= old]:
            del self._questions[one]
        held = self._questions[number] = _Question(self.now, keepers - self.silent_owners)
        for keeper in sorted(keepers):
            yield from _send(keeper, question(number))
        while held.waited and self.now < until:
            yield act.WaitForPeerMessage(until)
        self.silent_owners |= held.waited
        held.waited.clear()

    def match_reply(self, peer: int, answer: words.QueryReply) -> int | None:
        """When the question went out that this answers; None where none did, or long ago."""
        held = self._questions.get(answer.number)
        late = held is None or self.now - held.sent > self.terms.timing.ping_period
        if held is None or late or answer.incarnation != self.presence.incarnation_of(peer):
            return None
        held.waited.discard(peer)
        for room in answer.statuses if not answer.brief else ():
            self.evidence.record_summary(self.now, room.server, summary_of_status(self.now, room))
        if answer.lease_request:
            self.lease_requests[peer] = (answer.incarnation, answer.lease_request, self.now)
        return held.sent

    def reply(self, peer: int, number: int, rooms: list[words.ServerStatus], brief: bool) -> Script:
        """A keeper's answer; it asks along for the asker's parts."""
        lend = self.shares.lease_request(self.now, peer)
        yield from _send(peer, words.QueryReply(self.presence.incarnation, number, lend, tuple(rooms), brief))

    def lend_shares(self, groups: Iterable[int]) -> Script:
        """Our parts of these groups, to the keepers that we ask, in answer to a question that came lately."""
        by_keeper: dict[int, list[int]] = {}
        for group in groups if self.queries_owners else ():
            keeper = self.owner_to_query(group)
            asked = (
                self.lease_requests.get(keeper)
                if keeper is not None and keeper not in self.silent_owners
                else None
            )
            if keeper is None or asked is None or self.now - asked[2] >= self.terms.lease // 2:
                continue
            if self.shares.may_lend(self.now, group, keeper, asked[0]):
                by_keeper.setdefault(keeper, []).append(group)
        for keeper, kept in by_keeper.items():
            life, number, _ = self.lease_requests[keeper]
            lent = tuple(kept[: words.MAX_GROUPS])
            self.shares.lend(self.now, lent, keeper, life)
            yield from _send(keeper, words.ShareLease(self.presence.incarnation, life, number, lent))


def _send(peer: int | None, word: words.Message) -> Script:
    for message in words.pack(word):
        yield act.SendPeerMessage(peer, message)


def summary_of_status(now: int, room: words.ServerStatus) -> EvidenceSummary:
    """What a keeper's answer tells of others' evidence."""
    seen = observation_of(now, room.outcomes)
    return EvidenceSummary(
        room.witnesses_against, seen.failed, seen.failed + seen.succeeded, seen.failed_at, seen.succeeded_at
    )


def outcomes_of_summary(now: int, view: EvidenceSummary) -> words.SetupOutcomes:
    """The reverse."""
    return outcomes_of(
        now, Observation(view.failed, view.tries - view.failed, view.failed_at, view.succeeded_at)
    )


def observation_of(now: int, ends: words.SetupOutcomes) -> Observation:
    """What a word tells, in our time. A word that was late is taken for fresher than it is, by so much."""
    never = Observation().failed_at
    return Observation(
        ends.failed,
        ends.succeeded,
        now - ends.failed_age if ends.failed else never,
        now - ends.succeeded_age if ends.succeeded else never,
    )


def outcomes_of(now: int, seen: Observation) -> words.SetupOutcomes:
    """The reverse."""
    return words.SetupOutcomes(
        seen.failed,
        seen.succeeded,
        now - seen.failed_at if seen.failed else 0,
        now - seen.succeeded_at if seen.succeeded else 0,
    )


@functools.lru_cache(maxsize=4096)  # the same for all fronts of a process
def _ranked(group: int, fronts: int) -> list[int]:
    """The first fronts of a group by rank."""
    return heapq.nsmallest(MAX_RANKED, range(fronts), key=lambda front: _rank(group, front))


def _rank(group: int, front: int) -> int:
    return xxhash.xxh32_intdigest(struct.pack(">II", group, front))
