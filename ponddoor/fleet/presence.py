"""Membership and failure detection between fronts: SWIM (Das, Gupta and Motivala, 2002) with the extensions
of Lifeguard (Dadgar, Phillips and Currey, 2018). docs/notes/fleet.md compares the alternatives.

Each period a front pings one other front, in shuffled round-robin order. One that does not answer is pinged
through three others, and suspected if it still does not answer. Suspicions are gossiped on pings and acks,
and the suspect refutes one by sending a higher refutation number. A front decides alone that another is
dead and does not gossip it: otherwise a single front could have all others declared dead. An incarnation is
the time a front started at, by its Unix clock: it orders the starts of a front, and with the refutation
number it is SWIM's incarnation number.

A front that was paused itself, or receives nothing, suspects no other front. Times are in microseconds."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ponddoor.interface import words
from ponddoor.interface.seeded_random import LONG_AGO, SeededRandom

DAY_TENTHS_S = 864_000  # a day in the unit of incarnations, tenths of a second
PING_REQUEST_FANOUT = 3  # fronts that are asked to ping one that did not answer
MAX_CONFIRMATIONS = 3  # accusers beyond the first that shorten a suspicion to its minimum
OUTCOMES_KEPT = 8
MAX_HEALTH_MULTIPLIER = 8
MAX_RELAYED_PINGS = 64  # outstanding pings on behalf of other fronts
DEAD_PING_ROUNDS = 4  # dead fronts are pinged in one of so many rounds
Outgoing = list[tuple[int, words.Message]]


class FrontState(Enum):
    """The state of another front in this front's view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Connectivity(Enum):
    """Whether this front reaches the others and receives from them."""

    FULL = "well"
    PARTIAL = "part"  # many do not answer, others do
    NONE = "nothing"  # neither acks nor any other messages arrive
    INBOUND_ONLY = "unheard"  # messages of others arrive, but no acks of our pings


class PingOutcome(Enum):
    """How a ping ended."""

    ANSWERED = "answered"
    MISSED = "missed"  # the helpers answered us, the target did not
    SILENT = "silent"  # neither the target nor a helper answered


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of the failure detector, in microseconds."""

    ping_period: int
    ack_timeout: int
    min_suspicion: int
    max_suspicion: int


@dataclass(slots=True)
class Member:
    """What is known of another front. `heard_at`: when its own last message, of any kind, arrived."""

    incarnation: int = 0
    refutations: int = 0
    suspected_at: int | None = None
    accusers: set[int] = field(default_factory=set)
    heard_at: int = LONG_AGO
    corrected_at: int = LONG_AGO  # when it was last told of its later incarnation


@dataclass(slots=True)
class _Ping:
    """The outstanding ping of the current period."""

    number: int
    target: int
    sent: int
    indirect: bool = False  # others have been asked to ping the target too
    nacks: int = 0
    answered: bool = False


class Presence:
    """One front's view of the membership. Call `poll` at `next_due`; send what the methods return."""

    def __init__(self, me: int, fronts: int, incarnation: int, now: int, timing: Timing, seed: int) -> None:
        self.me, self.fronts, self.timing, self.chance = me, fronts, timing, SeededRandom(seed)
        self.chance.draw(2)
        self.incarnation, self.refutations, self._first_incarnation, self._started_at = (
            incarnation,
            0,
            incarnation,
            now,
        )
        self.members = {front: Member() for front in range(fronts) if front != me}
        self.health_multiplier = 0  # Lifeguard's local health multiplier: 0 is healthy
        self.unanswered_in_row = 0  # consecutive pings that neither the target nor a helper answered
        self.outcomes: deque[PingOutcome] = deque(maxlen=OUTCOMES_KEPT)
        self.version = 0  # incremented when the state of any front changes
        self.next_due = now + self.chance.draw(timing.ping_period)
        self.refuted = 0  # suspicions and later incarnations of ours that we refuted
        self._ping: _Ping | None = None
        self._number = 0
        self._ring: list[int] = []  # fronts yet to be pinged in this round
        self._rounds = 0
        self._gossip_counts: dict[int, int] = {}  # front: how often its row was gossiped
        # By number: the front that we ping for, the number of its request, the target, the deadline
        self._relayed: dict[int, tuple[int, int, int, int]] = {}
        self._dead: set[int] = set()
        self._suspects: set[int] = set()  # suspected and not yet dead
        self._last_heard_at = LONG_AGO  # when a message of any front last arrived

    # Queries

    def state_of(self, front: int) -> FrontState:
        """The state as of the last `poll` or message. A number outside the fleet is DEAD."""
        if front == self.me:
            return FrontState.ALIVE
        member = self.members.get(front)
        if member is None or front in self._dead:
            return FrontState.DEAD
        return FrontState.ALIVE if member.suspected_at is None else FrontState.SUSPECT

    def dead_fronts(self) -> list[int]:
        return sorted(self._dead)

    def live_count(self) -> int:
        """Fronts that are not dead, including this one."""
        return self.fronts - len(self._dead)

    def ack_ratio(self) -> float:
        """The share of the last pings that were answered; 1 if none has ended yet."""
        if not self.outcomes:
            return 1.0
        return sum(outcome is PingOutcome.ANSWERED for outcome in self.outcomes) / len(self.outcomes)

    def connectivity(self, now: int) -> Connectivity:
        """How this front reaches the others. It counts as cut off after several unanswered pings in a row."""
        if self.unanswered_in_row >= PING_REQUEST_FANOUT:
            receiving = now - self._last_heard_at < PING_REQUEST_FANOUT * self.timing.ping_period
            return Connectivity.INBOUND_ONLY if receiving else Connectivity.NONE
        return Connectivity.FULL if self.ack_ratio() >= 0.6 else Connectivity.PARTIAL

    def incarnation_of(self, front: int) -> int:
        """The latest known incarnation of a front; 0 if it was never heard of."""
        member = self.members.get(front)
        return self.incarnation if front == self.me else member.incarnation if member is not None else 0

    def is_plausible(self, now: int, incarnation: int) -> bool:
        """False for an incarnation more than a day ahead of our own clock: no front can have started then."""
        return 0 < incarnation <= self._first_incarnation + (now - self._started_at) // 100_000 + DAY_TENTHS_S

    # Messages and timers

    def accept_message(self, now: int, front: int, incarnation: int) -> bool:
        """Records that a front sent a message.

        False if the message must be ignored: its incarnation is an earlier one, or not plausible."""
        member = self.members.get(front)
        if member is None or not self.is_plausible(now, incarnation) or incarnation < member.incarnation:
            return False
        self._last_heard_at = member.heard_at = now
        if incarnation > member.incarnation:
            self._merge_row(now, words.MemberRow(front, incarnation, 0, None))
        if front in self._dead:  # its own message proves that it is alive
            self._dead.discard(front)
            member.suspected_at = None
            self.version += 1
        return True

    def stale_incarnation_reply(self, now: int, front: int, incarnation: int) -> Outgoing:
        """Tells a front the later incarnation that we know of it, at most once in a ping period.

        A front whose clock was set back before it restarted would otherwise be ignored by all: it has to
        use an incarnation above that one."""
        member = self.members.get(front)
        if (
            member is None
            or not 0 < incarnation < member.incarnation
            or now - member.corrected_at < self.timing.ping_period
        ):
            return []
        member.corrected_at = now
        self._number = (self._number + 1) % 65536
        row = words.MemberRow(front, member.incarnation, member.refutations, None)
        return [(front, words.Ping(self._number, self.incarnation, self.refutations, (row,)))]

    def poll(self, now: int) -> Outgoing:
        """Runs due timers: fails relayed pings, sends ping requests and the next ping, expires suspicions."""
        outgoing: Outgoing = []
        if now < self.next_due:
            return outgoing
        late = now - self.next_due > self.timing.ack_timeout + self.timing.ping_period
        for number in [number for number, relayed in self._relayed.items() if relayed[3] <= now]:
            peer, peer_number, target, _ = self._relayed.pop(number)
            outgoing.append((peer, self._make_ack(now, peer, peer_number, target, missed=True)))
        ping = self._ping
        if late:  # this front was paused: an ack may have been sent meanwhile
            self._ping, ping = None, None
            self.health_multiplier = min(self.health_multiplier + 1, MAX_HEALTH_MULTIPLIER)
        timeout = self.timing.ack_timeout * (1 + self.health_multiplier)
        if ping is not None and not ping.answered and not ping.indirect and now >= ping.sent + timeout:
            ping.indirect = True
            helpers = self._random_live_fronts(PING_REQUEST_FANOUT, {ping.target})
            outgoing += [(peer, self._make_ping_request(now, peer, ping)) for peer in helpers]
        if ping is None or now >= ping.sent + max(self.timing.ping_period, 2 * timeout):
            outgoing += self._next_ping(now, ping)
        self._expire_suspicions(now)
        self.next_due = self._next_due(now)
        return outgoing

    def receive(self, now: int, peer: int, message: words.Message) -> Outgoing:
        """Handles a ping, ack or ping request of another front; ignores other messages."""
        if not isinstance(message, words.Ping | words.Ack | words.PingRequest) or not self.accept_message(
            now, peer, message.incarnation
        ):
            return []
        self._merge_row(now, words.MemberRow(peer, message.incarnation, message.refutations, None))
        for row in message.rows:
            self._merge_row(now, row)
        match message:
            case words.Ping(number):
                return [(peer, self._make_ack(now, peer, number, self.me))]
            case words.PingRequest(number, _, _, _, target) if target in self.members:
                if len(self._relayed) >= MAX_RELAYED_PINGS:
                    return []
                self._number = (self._number + 1) % 65536
                deadline = now + self.timing.ack_timeout * (1 + self.health_multiplier)
                self._relayed[self._number] = (peer, number, target, deadline)
                self.next_due = min(self.next_due, deadline)
                return [(target, self._make_ping(now, target, self._number))]
            case words.Ack(number, _, _, _, target, missed):
                return self._receive_ack(now, peer, number, target, missed)
        return []

    # Internals

    def _receive_ack(self, now: int, peer: int, number: int, target: int, missed: bool) -> Outgoing:
        relayed = self._relayed.get(number)
        if relayed is not None and relayed[2] == peer == target and not missed:
            del self._relayed[number]
            return [(relayed[0], self._make_ack(now, relayed[0], relayed[1], target))]
        ping = self._ping
        if ping is not None and ping.number == number and ping.target == target:
            if missed:
                ping.nacks += 1
            elif not ping.answered:
                ping.answered = True
                self.health_multiplier = max(self.health_multiplier - 1, 0)
        return []

    def _next_ping(self, now: int, ping: _Ping | None) -> Outgoing:
        """Evaluates the ping that has ended, and sends the next one."""
        if ping is not None:
            member = self.members[ping.target]
            missed = PingOutcome.MISSED if ping.nacks else PingOutcome.SILENT
            self.unanswered_in_row = (
                self.unanswered_in_row + 1 if missed is PingOutcome.SILENT and not ping.answered else 0
            )
            if ping.answered or member.incarnation:  # a front never heard of may not have started yet
                self.outcomes.append(PingOutcome.ANSWERED if ping.answered else missed)
            if not ping.answered:
                self.health_multiplier = min(
                    self.health_multiplier + (ping.nacks == 0), MAX_HEALTH_MULTIPLIER
                )
                # A front that receives nothing must not accuse all others
                if self.connectivity(now) is not Connectivity.NONE and member.heard_at < ping.sent:
                    self._merge_row(
                        now,
                        words.MemberRow(ping.target, member.incarnation, member.refutations, self.me),
                    )
        if not self._ring:
            self._rounds += 1
            include_dead = self._rounds % DEAD_PING_ROUNDS == 1
            self._ring = [front for front in self.members if include_dead or front not in self._dead]
            for index in range(len(self._ring) - 1, 0, -1):
                swap = self.chance.draw(index + 1)
                self._ring[index], self._ring[swap] = self._ring[swap], self._ring[index]
        if not self._ring:
            self._ping = None
            return []
        self._number = (self._number + 1) % 65536
        self._ping = _Ping(self._number, self._ring.pop(), now)
        return [(self._ping.target, self._make_ping(now, self._ping.target, self._number))]

    def _next_due(self, now: int) -> int:
        ping, timeout = self._ping, self.timing.ack_timeout * (1 + self.health_multiplier)
        if ping is None:
            return now + self.timing.ping_period
        ping_end = ping.sent + max(self.timing.ping_period, 2 * timeout)
        due = ping_end if ping.answered or ping.indirect else min(ping.sent + timeout, ping_end)
        return max(min([due, *(relayed[3] for relayed in self._relayed.values())]), now + 1)

    def _random_live_fronts(self, count: int, without: Iterable[int]) -> list[int]:
        candidates = [front for front in self.members if front not in self._dead and front not in without]
        chosen: list[int] = []
        while candidates and len(chosen) < count:
            chosen.append(candidates.pop(self.chance.draw(len(candidates))))
        return chosen

    def merge_row(self, now: int, row: words.MemberRow) -> None:
        """Merges a membership row that arrived in another message, such as a bootstrap reply."""
        self._merge_row(now, row)

    def suspect_or_dead_rows(self, max_rows: int) -> tuple[words.MemberRow, ...]:
        """The rows of fronts that are suspect or dead."""
        rows = [
            words.MemberRow(front, m.incarnation, m.refutations, min(m.accusers, default=self.me))
            for front, m in self.members.items()
            if m.suspected_at is not None
        ]
        return tuple(rows[:max_rows])

    def random_live_fronts(self, count: int) -> list[int]:
        """Up to `count` other fronts that are not dead, drawn at random."""
        return self._random_live_fronts(count, ())

    def _merge_row(self, now: int, row: words.MemberRow) -> None:
        """Merges a row: the later incarnation, refutation and suspicion win, in any order of arrival."""
        if not self.is_plausible(now, row.incarnation) and row.incarnation:
            return
        if row.front == self.me:
            self._refute(row)
            return
        member = self.members.get(row.front)
        if member is None or (row.incarnation, row.refutations) < (member.incarnation, member.refutations):
            return
        if (row.incarnation, row.refutations) > (member.incarnation, member.refutations):
            known_incarnation = member.incarnation
            changed = (
                member.suspected_at is not None
                or row.incarnation > known_incarnation
                or row.front in self._dead
            )
            member.incarnation, member.refutations, member.suspected_at, member.accusers = (
                row.incarnation,
                row.refutations,
                None,
                set(),
            )
            self._dead.discard(row.front)
            self._suspects.discard(row.front)
            self.version += changed
            # A refutation is gossiped on; of a new incarnation the front's own messages tell
            if changed and row.incarnation == known_incarnation:
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
        """Refutes a suspicion of this front, or a row that names a later incarnation of it.

        A later incarnation is named if our clock was set back since, or if a front sends invalid rows
        within a day of our clock. This front then uses the incarnation after that one."""
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

    def _expire_suspicions(self, now: int) -> None:
        """Declares suspects dead whose suspicion timed out; the timeout shrinks with each further accuser."""
        if self.connectivity(now) in (Connectivity.NONE, Connectivity.INBOUND_ONLY):
            return  # no front could have answered us
        for front in list(self._suspects):
            member = self.members[front]
            if member.suspected_at is None or member.heard_at > member.suspected_at:
                continue  # it has sent us a message since
            confirmations = min(len(member.accusers) - 1, MAX_CONFIRMATIONS)
            span = self.timing.max_suspicion - self.timing.min_suspicion
            ratio = 1 - math.log(1 + confirmations) / math.log(1 + MAX_CONFIRMATIONS)
            if now - member.suspected_at >= self.timing.min_suspicion + round(span * ratio):
                self._dead.add(front)
                self._suspects.discard(front)
                self.version += 1

    def _rows_for(self, receiver: int) -> tuple[words.MemberRow, ...]:
        """The rows to gossip on a message: first a suspicion of the receiver, then the least gossiped rows.
        Each row is gossiped a limited number of times, logarithmic in the size of the fleet."""
        gossip_limit = 3 * max(self.fronts, 2).bit_length()
        least_gossiped = sorted(self._gossip_counts, key=lambda front: (self._gossip_counts[front], front))
        accused = self.members[receiver].suspected_at is not None
        chosen = [receiver] * accused + [front for front in least_gossiped if front != receiver][
            : words.MAX_MEMBER_ROWS - accused
        ]
        rows = []
        for front in chosen:
            member = self.members[front]
            accuser = min(member.accusers, default=self.me) if member.suspected_at is not None else None
            if front != receiver and accuser is not None:  # name each accuser in turn
                accuser = sorted(member.accusers)[self._gossip_counts.get(front, 0) % len(member.accusers)]
            rows.append(words.MemberRow(front, member.incarnation, member.refutations, accuser))
            if front in self._gossip_counts:
                self._gossip_counts[front] += 1
                if self._gossip_counts[front] >= gossip_limit:
                    del self._gossip_counts[front]
        return tuple(rows)

    def _make_ping(self, now: int, receiver: int, number: int) -> words.Ping:
        return words.Ping(number, self.incarnation, self.refutations, self._rows_for(receiver))

    def _make_ping_request(self, now: int, receiver: int, ping: _Ping) -> words.PingRequest:
        return words.PingRequest(
            ping.number, self.incarnation, self.refutations, self._rows_for(receiver), ping.target
        )

    def _make_ack(self, now: int, receiver: int, number: int, target: int, missed: bool = False) -> words.Ack:
        return words.Ack(number, self.incarnation, self.refutations, self._rows_for(receiver), target, missed)
