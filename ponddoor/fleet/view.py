"""One front's view of the fleet for its decisions: membership, requested rates, evidence and budget shares.

Each group of servers (consecutive racks) has as owners the first few live fronts by rendezvous hashing
(Thaler and Ravishankar, 1998): all fronts with the same membership view name the same owners, and the loss
of a front moves only its own groups. Owners receive the rates that all fronts request in their group, and
answer queries. In a small fleet every front owns all groups and no queries are sent."""

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
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import Script
from ponddoor.interface.seeded_random import SeededRandom

INCARNATION_EPOCH_US = 1_767_225_600_000_000  # 2026-01-01, incarnation 0
MAX_RANKED = 8  # fronts ranked for a group
RatesFor = Callable[[int], list[words.ServerRate]]  # all our rates in the groups of an owner


@dataclass(frozen=True, slots=True)
class Terms:
    """Parameters of the fleet view. Times are in microseconds."""

    owners_per_group: int
    all_own_up_to: int  # in a fleet of up to so many fronts each owns all groups
    timing: Timing
    evidence_ttl: int
    lease: int
    min_updated_ratio: float  # share of the other fronts whose full update a synced group needs
    min_ack_ratio: float  # share of pings that must be answered for a group to count as synced
    bootstrap_replies_per_period: int


@dataclass(slots=True)
class _Query:
    """A query that was sent, and the owners whose reply is awaited."""

    sent: int
    awaited: set[int]


class Fleet:
    """One front's view of the fleet. Set `now` before each call.

    `gossip_enabled`: messages are permitted and there are other fronts."""

    def __init__(self, facts: SiteFacts, now: int, terms: Terms, groups: int) -> None:
        self.groups = range(groups)
        self.me, self.fronts, self.terms, self.started_at, self.now = facts.me, facts.fronts, terms, now, now
        self.gossip_enabled = facts.permissions.messages and facts.fronts > 1
        self.queries_owners = self.gossip_enabled and facts.fronts > terms.all_own_up_to
        # In tenths of a second, which fit into four bytes for thirteen years
        incarnation = max(1, (now + facts.wall - (INCARNATION_EPOCH_US if facts.wall else 0)) // 100_000)
        self.presence = Presence(
            facts.me, facts.fronts, incarnation, now, terms.timing, facts.seed ^ 0x5DEECE66D
        )
        self.counts, self.evidence = Counts(), Evidence(terms.evidence_ttl)
        self.shares = Shares(facts.fronts, now, terms.lease)
        self.stamp = 0
        self.synced_since: dict[int, int] = {}  # by group, for the synced groups
        self.silent_owners: set[int] = set()  # owners that left a query unanswered and sent nothing since
        # By owner: its incarnation, the number of its last lease request, and when that arrived
        self.lease_requests: dict[int, tuple[int, int, int]] = {}
        self.outbox: list[tuple[int | None, words.Message]] = []
        self._owners: dict[int, tuple[int, tuple[int, ...]]] = {}  # group: membership version, owners
        self._owned_since: dict[int, int] = {}  # by group, for the groups that we own
        self._queries: dict[int, _Query] = {}
        self._number, self._full_update_wanted = 0, set[int]()
        self._full_update_sent_to: dict[int, int] = {}  # front: its incarnation at our last full update
        # When to ask all for full updates that are still missing; fronts that start with us send them unasked
        self._request_all_at: int | None = now + 3 * terms.timing.ack_timeout
        self._seen_version, self._requested_all_at = -1, now - terms.timing.ping_period
        self._bootstrap_replies: tuple[int, int] = (now, 0)  # start of the period, replies sent in it
        self.synced_cache: dict[int, tuple[int, bool]] = {}
        if self.gossip_enabled:
            self._owned_since = {group: now for group in self.groups if facts.me in self.owners(group)}

    # Ownership of groups

    def owners(self, group: int) -> tuple[int, ...]:
        """The fronts that own a group: the first by rank that are not dead."""
        cached = self._owners.get(group)
        if cached is not None and cached[0] == self.presence.version:
            return cached[1]
        if self.fronts <= self.terms.all_own_up_to:
            owners = tuple(
                front for front in range(self.fronts) if self.presence.state_of(front) is not FrontState.DEAD
            )
        else:
            ranked = _ranked(group, self.fronts)
            alive = [front for front in ranked if self.presence.state_of(front) is not FrontState.DEAD]
            owners = tuple((alive or ranked)[: self.terms.owners_per_group])
        self._owners[group] = (self.presence.version, owners)
        return owners

    def other_owners(self, group: int) -> tuple[int, ...]:
        """The owners of a group except this front."""
        return tuple(front for front in self.owners(group) if front != self.me)

    def owner_to_query(self, group: int) -> int | None:
        """The owner that this front queries about a group, or None if it owns the group itself.

        Fronts are spread over the owners by their number; a silent owner is used only if all are silent."""
        owners = self.owners(group)
        if self.me in owners:
            return None
        first = self.me % len(owners)
        order = owners[first:] + owners[:first]
        return next((owner for owner in order if owner not in self.silent_owners), order[0])

    def most_owners_silent(self) -> bool:
        """Whether most owners are silent, so that few of them receive our updates."""
        return 2 * len(self.silent_owners) > len(self.all_owners())

    def group_of(self, rack: int, racks: int) -> int:
        """The group of a rack. Consecutive racks form a group: the holders of a title are mostly in one."""
        return rack * len(self.groups) // racks

    def sample_groups(
        self, groups_with_repeats: list[int], max_groups: int, chance: SeededRandom
    ) -> list[int]:
        """Up to `max_groups` of a title's groups: the first, which is its home's, and others at random."""
        groups = list(dict.fromkeys(groups_with_repeats))
        while len(groups) > max_groups:
            del groups[1 + chance.draw(len(groups) - 1)]
        return groups

    def is_synced(self, group: int) -> bool:
        """Whether we know the rates that the fleet requests in a group: we own it, enough pings are
        answered, and most fronts have sent a full update since we became an owner."""
        since, now = self._owned_since.get(group), self.now
        if since is None:
            self.synced_since.pop(group, None)
            return False
        cached = self.synced_cache.get(group)
        if cached is not None and cached[0] > now - 50_000:  # owners are queried hundreds of times a second
            return cached[1]
        needed = self.terms.min_updated_ratio * (self.fronts - 1)
        updated = sum(
            o.full_update_at is not None and o.full_update_at >= since and not o.doubted
            for o in self.counts.origins.values()
        )
        synced = updated >= needed and self.presence.ack_ratio() >= self.terms.min_ack_ratio
        self.synced_cache[group] = (now, synced)
        if synced:
            self.synced_since.setdefault(group, now)
        else:
            self.synced_since.pop(group, None)
        return synced

    # Messages

    def receive(self, peer: int, message: words.Message | None) -> set[int]:
        """Handles a message; replies go to `outbox`. Returns the servers whose rate may have changed."""
        now, changed = self.now, set[int]()
        if message is None or isinstance(message, words.InUseQuery | words.HoldersQuery):
            return changed
        if not self.presence.accept_message(now, peer, message.incarnation):
            self.outbox += self.presence.stale_incarnation_reply(now, peer, message.incarnation)
            return changed
        match message:
            case words.Ping() | words.Ack() | words.PingRequest():
                self.outbox += self.presence.receive(now, peer, message)
            case words.RateUpdate(incarnation, stamp, rates, full):
                rows = [(rate.server, rate.rate_kb, rate.warm) for rate in rates]
                changed = self.counts.update(now, peer, incarnation, stamp, full, rows)
                for rate in rates:
                    if rate.outcomes is not None:
                        self.evidence.record(
                            now, peer, incarnation, stamp, rate.server, observation_of(now, rate.outcomes)
                        )
            case words.ShareLease(_, borrower_incarnation, number, groups):
                self.shares.accept_lease(
                    now, peer, borrower_incarnation == self.presence.incarnation, number, groups
                )
            case words.BootstrapRequest():
                self._send_bootstrap_reply(now, peer)
            case words.BootstrapReply(_, member_rows, observations):
                for row in member_rows:
                    self.presence.merge_row(now, row)
                for server, outcomes in observations:
                    self.evidence.record(
                        now, peer, message.incarnation, 0, server, observation_of(now, outcomes)
                    )
            case words.FullUpdateRequest():
                self._full_update_sent_to.pop(peer, None)
                self._full_update_wanted.add(peer)
        self.silent_owners.discard(peer)
        return changed | self._follow_membership(now)

    def _follow_membership(self, now: int) -> set[int]:
        """Applies membership changes to the counts and to the ownership of groups; requests full updates if
        due.

        Returns the servers whose requested rate may have changed."""
        changed: set[int] = set()
        if self._seen_version != self.presence.version:
            self._seen_version = self.presence.version
            for front in self.counts.origins:
                changed |= self.counts.set_doubted(front, self.presence.state_of(front) is FrontState.DEAD)
            owned = {group for group in self.groups if self.me in self.owners(group)}
            if owned - self._owned_since.keys() and self._request_all_at is None:
                self._request_all_at = max(now, self._requested_all_at + self.terms.timing.ping_period)
            self._owned_since = {group: self._owned_since.get(group, now) for group in owned}
        if self._request_all_at is not None and now >= self._request_all_at:
            self._request_all_at, self._requested_all_at = None, now
            if self.queries_owners and not all(map(self.is_synced, self._owned_since)):
                self.outbox.append((None, words.FullUpdateRequest(self.presence.incarnation)))
        return changed

    def all_owners(self) -> set[int]:
        """The other fronts that own any group."""
        return (
            {front for group in self.groups for front in self.other_owners(group)}
            if self.gossip_enabled
            else set()
        )

    def needs_full_update(self, owner: int) -> bool:
        """Whether an owner restarted since our last full update to it, or never got one."""
        sent_to = self._full_update_sent_to.get(owner)
        return sent_to is None or (sent_to > 0 and sent_to != self.presence.incarnation_of(owner))

    def _send_bootstrap_reply(self, now: int, peer: int) -> None:
        """Sends what we know to a front that has started: a limited number of replies a period, and none
        while we have just started ourselves."""
        since, count = self._bootstrap_replies
        if now - since >= self.terms.timing.ping_period:
            since, count = now, 0
        just_started = now - self.started_at < self.terms.timing.max_suspicion
        if just_started or count >= self.terms.bootstrap_replies_per_period:
            self._bootstrap_replies = (since, count)
            return
        self._bootstrap_replies = (since, count + 1)
        # Only our own observations: those of another front would arrive by many ways and count several times
        own = self.evidence.by_witness(now, self.me, words.MAX_OBSERVATIONS)
        observations = tuple((server, outcomes_of(now, observation)) for server, observation in own)
        member_rows = self.presence.suspect_or_dead_rows(words.MAX_MEMBER_ROWS)
        self.outbox.append((peer, words.BootstrapReply(self.presence.incarnation, member_rows, observations)))

    def record_own(self, server: int, observation: Observation) -> None:
        """Records our own observation of a server as evidence of one witness."""
        if self.gossip_enabled:
            self.evidence.record(self.now, self.me, self.presence.incarnation, self.now, server, observation)

    def status_for(
        self, peer: int, server: int, idle_kb: float, asked_kb: float, warm: bool, granted: bool
    ) -> words.ServerStatus:
        """The status of a server for a peer, with the peer's own rate and the evidence of others."""
        summary = self.evidence.summary(self.now, server, peer)
        asker_kb = self.counts.amount_of(peer, server)
        return words.ServerStatus(
            server,
            idle_kb,
            asked_kb,
            asker_kb,
            warm,
            summary.witnesses_against,
            outcomes_of_summary(self.now, summary),
            granted,
        )

    # Scripts for the decisions to yield from

    def gossip(self, on_change: Callable[[int], None], rates: RatesFor) -> Script:
        """Runs membership and answers requests for full updates, without end.

        At its start a front sends bootstrap requests to two random fronts, and does not wait for the
        replies."""
        self.outbox += [
            (peer, words.BootstrapRequest(self.presence.incarnation))
            for peer in self.presence.random_live_fronts(2)
            if self.queries_owners
        ]
        while True:
            self.outbox += self.presence.poll(self.now)
            for server in self._follow_membership(self.now):
                on_change(server)
            outgoing, self.outbox = self.outbox, []
            for peer, message in outgoing:
                yield from _send(peer, message)
            if self._full_update_wanted:
                wanting, self._full_update_wanted = self._full_update_wanted & self.all_owners(), set()
                for owner in sorted(wanting):
                    yield from self.send_full_update(owner, rates(owner))
            yield act.WaitForPeerMessage(
                min(self.presence.next_due, self._request_all_at or self.presence.next_due)
            )

    def send_changes(self, rates: Iterable[tuple[int, words.ServerRate]]) -> Script:
        """Sends changed rates, given with their groups, to the owners of each group."""
        by_owner: dict[int, list[words.ServerRate]] = {}
        for group, rate in rates:
            for owner in self.other_owners(group):
                by_owner.setdefault(owner, []).append(rate)
        for owner, changed_rates in by_owner.items():
            self.stamp += 1
            yield from _send(
                owner, words.RateUpdate(self.presence.incarnation, self.stamp, tuple(changed_rates), False)
            )

    def send_full_update(self, owner: int, rates: list[words.ServerRate]) -> Script:
        """Sends an owner all our rates in its groups."""
        self._full_update_sent_to[owner] = self.presence.incarnation_of(owner)
        self.stamp += 1
        yield from _send(owner, words.RateUpdate(self.presence.incarnation, self.stamp, tuple(rates), True))

    def refresh(self, turn: int, turns: int, rates: RatesFor) -> Script:
        """Anti-entropy: sends full updates to the owners whose turn it is, which repairs lost updates, also
        those of rates that have ended."""
        for owner in sorted(self.all_owners()):
            if self.needs_full_update(owner) or turn % turns == owner % turns:
                yield from self.send_full_update(owner, rates(owner))

    def query(self, groups: Iterable[int], make_query: Callable[[int], words.Message], until: int) -> Script:
        """Queries the owners of groups and waits for the replies until a time. An owner that does not reply
        is marked silent, and not waited for until it sends something."""
        owners = {owner for group in groups if (owner := self.owner_to_query(group)) is not None}
        if not self.queries_owners or not owners:
            return
        self._number = number = self._number % 65535 + 1
        expired = self.now - self.terms.timing.ping_period
        for expired_number in [n for n, query in self._queries.items() if query.sent <= expired]:
            del self._queries[expired_number]
        query = self._queries[number] = _Query(self.now, owners - self.silent_owners)
        for owner in sorted(owners):
            yield from _send(owner, make_query(number))
        while query.awaited and self.now < until:
            yield act.WaitForPeerMessage(until)
        self.silent_owners |= query.awaited
        query.awaited.clear()

    def match_reply(self, peer: int, reply: words.QueryReply) -> int | None:
        """Records a reply. Returns when its query was sent; None if there is none, or it was too long ago."""
        query = self._queries.get(reply.number)
        late = query is None or self.now - query.sent > self.terms.timing.ping_period
        if query is None or late or reply.incarnation != self.presence.incarnation_of(peer):
            return None
        query.awaited.discard(peer)
        for status in reply.statuses if not reply.brief else ():
            self.evidence.record_summary(self.now, status.server, summary_of_status(self.now, status))
        if reply.lease_request:
            self.lease_requests[peer] = (reply.incarnation, reply.lease_request, self.now)
        return query.sent

    def reply(self, peer: int, number: int, statuses: list[words.ServerStatus], brief: bool) -> Script:
        """Replies to a query as an owner, and requests the asker's shares along with it."""
        lease_request = self.shares.lease_request(self.now, peer)
        yield from _send(
            peer, words.QueryReply(self.presence.incarnation, number, lease_request, tuple(statuses), brief)
        )

    def lend_shares(self, groups: Iterable[int]) -> Script:
        """Lends our shares of groups to the owners that we query, if these requested them recently."""
        by_owner: dict[int, list[int]] = {}
        for group in groups if self.queries_owners else ():
            owner = self.owner_to_query(group)
            request = (
                self.lease_requests.get(owner)
                if owner is not None and owner not in self.silent_owners
                else None
            )
            if owner is None or request is None or self.now - request[2] >= self.terms.lease // 2:
                continue
            if self.shares.may_lend(self.now, group, owner, request[0]):
                by_owner.setdefault(owner, []).append(group)
        for owner, lendable in by_owner.items():
            incarnation, number, _ = self.lease_requests[owner]
            lent = tuple(lendable[: words.MAX_GROUPS])
            self.shares.lend(self.now, lent, owner, incarnation)
            yield from _send(owner, words.ShareLease(self.presence.incarnation, incarnation, number, lent))


def _send(peer: int | None, message: words.Message) -> Script:
    for datagram in words.pack(message):
        yield act.SendPeerMessage(peer, datagram)


def summary_of_status(now: int, status: words.ServerStatus) -> EvidenceSummary:
    """The evidence of other fronts in an owner's reply. The reverse of `outcomes_of_summary`."""
    observation = observation_of(now, status.outcomes)
    return EvidenceSummary(
        status.witnesses_against,
        observation.failed,
        observation.failed + observation.succeeded,
        observation.failed_at,
        observation.succeeded_at,
    )


def outcomes_of_summary(now: int, summary: EvidenceSummary) -> words.SetupOutcomes:
    return outcomes_of(
        now,
        Observation(summary.failed, summary.tries - summary.failed, summary.failed_at, summary.succeeded_at),
    )


def observation_of(now: int, outcomes: words.SetupOutcomes) -> Observation:
    """Outcomes of a message as times of our clock. They seem newer than they are by the message's delay."""
    never = Observation().failed_at
    return Observation(
        outcomes.failed,
        outcomes.succeeded,
        now - outcomes.failed_age if outcomes.failed else never,
        now - outcomes.succeeded_age if outcomes.succeeded else never,
    )


def outcomes_of(now: int, observation: Observation) -> words.SetupOutcomes:
    """An observation as ages, for a message. The reverse of `observation_of`."""
    return words.SetupOutcomes(
        observation.failed,
        observation.succeeded,
        now - observation.failed_at if observation.failed else 0,
        now - observation.succeeded_at if observation.succeeded else 0,
    )


@functools.lru_cache(maxsize=4096)  # shared by all fronts of a process
def _ranked(group: int, fronts: int) -> list[int]:
    """The first fronts of a group by rank."""
    return heapq.nsmallest(MAX_RANKED, range(fronts), key=lambda front: _rank(group, front))


def _rank(group: int, front: int) -> int:
    return xxhash.xxh32_intdigest(struct.pack(">II", group, front))
