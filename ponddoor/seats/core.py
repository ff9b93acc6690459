"""The count of seats of one front, free of I/O: messages, clock and finished writes in; messages, writes and
answers out. docs/notes/seats.md has the ways weighed, and why this is safe.

Each entitlement has one home front. It lends the others shares, bounded in time; a front grants seats only
from a share it holds, no longer than the share runs, and no seat before the record of it is durable. All
times are whole microseconds of the front's own clock; clocks may drift by `drift` of their rate, nothing else
is asked.

- `number` orders a front's questions to a home; an answer counts unless a later one came, or a question for
  less went out after its own.
- `fence` names one life of the home: questions that were written for an earlier life change nothing.
- `epoch` names one life of the asking front, likewise."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import xxhash

Key = tuple[str, str]  # tenant, entitlement


@dataclass(frozen=True, slots=True)
class Timing:
    """How long things run. `token` is a seat's life between renewals, `lease` a share's."""

    token: int = 10_000_000
    lease: int = 30_000_000
    drift: float = 0.01
    retry: int = 100_000
    max_wait: int = 500_000
    least_life: int = 1_000_000
    idle: int = 3_000_000
    waiting: int = 10_000
    retry_after: int = 1_000_000

    def at_home(self) -> int:
        """How long a home takes a share to run: longer than any drift makes it at the borrower."""
        return round(self.lease * (1 + 2 * self.drift))

    def at_borrower(self) -> int:
        return round(self.lease * (1 - 2 * self.drift))


# Messages between fronts


@dataclass(frozen=True, slots=True)
class Ask:
    """A front wants so many seats of an entitlement in all; `used` of them play."""

    key: Key
    epoch: int
    number: int
    fence: int
    want: int
    used: int


@dataclass(frozen=True, slots=True)
class Lend:
    """The home's answer. `count` is -1 where only the fence is told; `wanted` says that others lack seats."""

    key: Key
    epoch: int
    number: int
    fence: int
    count: int
    wanted: bool = False


@dataclass(frozen=True, slots=True)
class Recall:
    """The home asks for what a front does not need."""

    key: Key
    fence: int


Message = Ask | Lend | Recall


# What the core wants done


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another front; it may be lost."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class Write:
    """A record to make durable; `on_durable` is told its number, which counts from 1 without a gap."""

    number: int
    record: list[Any]


@dataclass(frozen=True, slots=True)
class Granted:
    """The answer to a ticket: a seat, its generation, and when it expires."""

    ticket: int
    seat: str
    key: Key
    viewer: str
    sess: str
    generation: int
    expires: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The answer to a ticket: no seat. `reason` is a code of the protocol, `retry_after` in microseconds."""

    ticket: int
    reason: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Expired:
    """A seat ran out and is back: its session must not go on."""

    seat: str
    sess: str


Effect = Send | Write | Granted | Refused | Expired


# State


@dataclass(slots=True)
class Seat:
    """One seat that is granted."""

    seat: str
    key: Key
    viewer: str
    sess: str
    generation: int
    expires: int
    written: int = 0


@dataclass(slots=True)
class Share:
    """What this front may grant of one entitlement, and its questions to the home."""

    count: int = 0
    expires: int = 0
    number: int = 0
    lowered: int = 0
    accepted: int = 0
    fence: int = 0
    sent: dict[int, tuple[int, int]] = field(default_factory=dict)  # number: when sent, and for how many
    asked_at: int = -(1 << 60)
    full_until: int = 0
    scarce_until: int = 0  # others lack seats: none is held in reserve
    idle_since: int | None = None
    seats: dict[str, Seat] = field(default_factory=dict)
    owners: dict[tuple[str, str], str] = field(default_factory=dict)  # (viewer, session): seat
    ends: list[tuple[int, str]] = field(
        default_factory=list
    )  # a heap; a seat that was extended is in it again
    waiting: deque["Waiting"] = field(default_factory=deque)


@dataclass(slots=True)
class Waiting:
    """A request that needs a share first."""

    ticket: int
    until: int
    viewer: str
    sess: str
    renews: str = ""  # the seat, where it is a renewal, and the generation that was shown
    generation: int = 0


@dataclass(slots=True)
class Lent:
    """What the home has lent to one front."""

    count: int
    until: int
    epoch: int = 0
    number: int = 0
    used: int = 0
    written: int = 0


@dataclass(slots=True)
class LeaseTable:
    """What the home keeps of one entitlement."""

    leases: dict[int, Lent] = field(default_factory=dict)
    recalled_at: int = -(1 << 60)


def home_of(key: Key, fronts: int) -> int:
    """The home front of an entitlement, by rendezvous hashing (Thaler and Ravishankar, 1998)."""
    name = "\0".join(key)
    return max(range(fronts), key=lambda front: (xxhash.xxh64_intdigest(f"{name}\0{front}"), front))


class Seats:
    """All entitlements of one front. Every way in takes `now` and returns effects in order."""

    def __init__(
        self, me: int, fronts: int, limits: dict[Key, int], timing: Timing, epoch: int, now: int
    ) -> None:
        self.me, self.fronts, self.limits, self.timing = me, fronts, dict(limits), timing
        self.epoch = epoch
        self.shares: dict[Key, Share] = {}
        self.lease_tables: dict[Key, LeaseTable] = {}
        self.no_leases_until = (
            now + timing.at_home()
        )  # without a journal: all that may run from before lapses
        self.written = self.durable_to = 0
        self.made = 0
        self.refusals: dict[str, int] = {}
        self.sent_messages = 0
        self._held_back: deque[tuple[int, Effect]] = deque()

    # Recovery

    def recover(self, now: int, state: Any, records: list[Any]) -> None:
        """Take back what was durable. Grants that run are honoured; what was lent is taken to run anew."""
        if state is None and not records:
            return
        self.no_leases_until = now
        for record in [*(state or []), *records]:
            self._apply(now, record)
        for share in self.shares.values():
            for seat in list(share.seats.values()):
                seat.expires = min(seat.expires, now + self.timing.token)
                heapq.heappush(share.ends, (seat.expires, seat.seat))
            self._expire(now, share)
        for table in self.lease_tables.values():
            for lent in table.leases.values():
                lent.until = now + self.timing.at_home()

    def _apply(self, now: int, record: list[Any]) -> None:
        match record:
            case ["seat", seat, tenant, name, viewer, sess, generation, expires]:
                self._keep(Seat(seat, (tenant, name), viewer, sess, generation, expires))
            case ["back", seat, tenant, name]:
                self._drop(self.share((tenant, name)), seat)
            case ["lent", tenant, name, peer, 0]:
                self.lease_table((tenant, name)).leases.pop(peer, None)
            case ["lent", tenant, name, peer, count]:
                self.lease_table((tenant, name)).leases[peer] = Lent(count, now)
            case _:
                return  # begun, or a kind of a newer version that says nothing here

    def state(self) -> list[Any]:
        """All of it as records, for a snapshot."""
        seats = [_seat_record(seat) for share in self.shares.values() for seat in share.seats.values()]
        lent = [
            ["lent", *key, peer, lent.count]
            for key, table in self.lease_tables.items()
            for peer, lent in table.leases.items()
            if lent.count
        ]
        return [["begun", self.epoch], *seats, *lent]

    # What is asked of this front

    def start(self, now: int) -> list[Effect]:
        """The first record of a life, so that the next knows there was one."""
        return [self._write(["begun", self.epoch])]

    def take(self, now: int, ticket: int, key: Key, viewer: str, sess: str) -> list[Effect]:
        """A viewer wants a seat for a session; asked again, it gets the one it has."""
        if key not in self.limits:
            return [self._refuse(ticket, "no-such-entitlement")]
        share = self.share(key)
        out = self._expire(now, share)
        return out + self._wait(now, key, Waiting(ticket, now + self.timing.max_wait, viewer, sess))

    def renew(self, now: int, ticket: int, key: Key, seat: str, viewer: str, generation: int) -> list[Effect]:
        """A viewer shows a seat's generation. The newest is extended under the next one; the one before it, a
        renewal whose answer was lost, gets the same answer again; older ones and others are refused."""
        share = self.share(key)
        out = self._expire(now, share)
        held = share.seats.get(seat)
        if held is None:
            return [*out, self._refuse(ticket, "expired")]
        if held.viewer != viewer:
            return [*out, self._refuse(ticket, "not-yours")]
        if generation == held.generation - 1:
            return out + self._after(held.written, self._granted(ticket, held), now)
        if generation != held.generation:
            reason = "superseded" if generation < held.generation else "never-given"
            return [*out, self._refuse(ticket, reason)]
        waiting = Waiting(
            ticket, min(now + self.timing.max_wait, held.expires), viewer, held.sess, seat, generation
        )
        return out + self._wait(now, key, waiting)

    def give_back(self, now: int, key: Key, seat: str, viewer: str) -> list[Effect]:
        """A seat is free at once; asked twice, nothing more happens."""
        share = self.share(key)
        held = share.seats.get(seat)
        if held is None or held.viewer != viewer:
            return []
        self._drop(share, seat)
        out = [self._write(["back", seat, *key]), *self._serve(now, key)]
        return out + self._tend(now, key, share) if now < share.scarce_until else out

    def set_limits(self, now: int, limits: dict[Key, int]) -> list[Effect]:
        """Limits change in service. Nobody is cut; none is granted or lent until it fits."""
        self.limits = dict(limits)
        out: list[Effect] = []
        for key, table in self.lease_tables.items():
            out += self._lapse(now, key, table)
            if self._lent(table) > self.limits.get(key, 0):
                out += self._recall(now, key, table)
        return out

    def on_durable(self, now: int, number: int) -> list[Effect]:
        """All writes up to a number are durable: what waited for them goes out."""
        self.durable_to = max(self.durable_to, number)
        out: list[Effect] = []
        while self._held_back and self._held_back[0][0] <= self.durable_to:
            out += self._pass(now, self._held_back.popleft()[1])
        return out

    def receive(self, now: int, peer: int, message: Message) -> list[Effect]:
        """A message from another front."""
        match message:
            case Ask():
                return self._asked(now, peer, message)
            case Lend():
                return self._lend(now, peer, message)
            case Recall(key, _):
                if peer != home_of(key, self.fronts) or key not in self.shares:
                    return []
                share = self.shares[key]
                share.scarce_until = now + 2 * self.timing.idle
                need = len(share.seats) + len(share.waiting)
                return self._ask(now, key, need) if need < share.count else []

    def tick(self, now: int) -> list[Effect]:
        """To be called at `next_due` or a little later: seats expire, waits end, shares are renewed."""
        out: list[Effect] = []
        for key, share in self.shares.items():
            out += self._expire(now, share)
            while share.waiting and share.waiting[0].until <= now:
                waiting = share.waiting.popleft()
                out.append(self._refuse(waiting.ticket, "no-seat", self.timing.retry_after))
            out += self._tend(now, key, share)
        return out

    # The borrower

    def share(self, key: Key) -> Share:
        return self.shares.setdefault(key, Share())

    def _keep(self, seat: Seat) -> None:
        share = self.share(seat.key)
        share.seats[seat.seat] = seat
        share.owners[(seat.viewer, seat.sess)] = seat.seat
        heapq.heappush(share.ends, (seat.expires, seat.seat))

    def _drop(self, share: Share, name: str) -> Seat | None:
        seat = share.seats.pop(name, None)
        if seat is not None:
            share.owners.pop((seat.viewer, seat.sess), None)
        return seat

    def _held(self, now: int, share: Share) -> int:
        return share.count if share.expires > now else 0

    def _expire(self, now: int, share: Share) -> list[Effect]:
        out: list[Effect] = []
        while share.ends and share.ends[0][0] <= now:
            _, name = heapq.heappop(share.ends)
            held = share.seats.get(name)
            if held is not None and held.expires <= now:
                self._drop(share, name)
                out.append(Expired(name, held.sess))
        return out

    def _wait(self, now: int, key: Key, waiting: Waiting) -> list[Effect]:
        share = self.share(key)
        if len(share.waiting) >= self.timing.waiting:
            return [self._refuse(waiting.ticket, "too-many-waiting", self.timing.retry_after)]
        share.waiting.append(waiting)
        out = self._serve(now, key)
        return out + self._tend(now, key, share)

    def _serve(self, now: int, key: Key) -> list[Effect]:
        """Who waits is served in order, as far as the share goes: the one place where a seat is granted."""
        share, timing, out = self.share(key), self.timing, list[Effect]()
        while share.waiting:
            waiting = share.waiting[0]
            life = min(now + timing.token, share.expires) - now
            if self._held(now, share) == 0 or life < min(timing.least_life, timing.token // 2):
                return out
            if waiting.renews:
                share.waiting.popleft()
                found = share.seats.get(waiting.renews)
                if found is None or found.expires <= now:
                    out.append(self._refuse(waiting.ticket, "expired"))
                    continue
                held = found
                if held.generation == waiting.generation:  # else its twin was served before it
                    held.generation += 1
                    held.expires = max(held.expires, now + life)
                    heapq.heappush(share.ends, (held.expires, held.seat))
            elif (owned := share.owners.get((waiting.viewer, waiting.sess))) is not None:
                share.waiting.popleft()  # asked again: it has its seat already
                held = share.seats[owned]
                out += self._after(held.written, self._granted(waiting.ticket, held), now)
                continue
            else:
                if len(share.seats) >= self._held(now, share):
                    return out
                share.waiting.popleft()
                self.made += 1
                name = f"{self.me}.{self.epoch}.{self.made}"
                held = Seat(name, key, waiting.viewer, waiting.sess, 1, now + life)
                self._keep(held)
            write = self._write(_seat_record(held))
            held.written = write.number
            out += [write, *self._after(held.written, self._granted(waiting.ticket, held), now)]
        return out

    def _tend(self, now: int, key: Key, share: Share) -> list[Effect]:
        """Ask the home for what is needed: more for who waits, the lease again, less when idle for a
        while."""
        used, held = len(share.seats), self._held(now, share)
        fresh = sum(not waiting.renews for waiting in share.waiting)
        need = used + fresh
        scarce = now < share.scarce_until
        spare = 0 if scarce else max(1, need // 4)
        out: list[Effect] = []
        if fresh and now < share.full_until:
            out, need = self._turn_away(share), len(share.seats)
        unanswered = share.accepted < share.number and now - share.asked_at < self.timing.retry
        if need > held or share.waiting:
            return out if unanswered else out + self._ask(now, key, need + spare)
        if (need or held) and share.expires - now < 2 * self.timing.at_borrower() // 3:
            pause = self.timing.lease // 12
            return out + self._ask(now, key, max(held, need)) if now - share.asked_at >= pause else out
        if held > need + 2 * spare + (not scarce):
            share.idle_since = now if share.idle_since is None else share.idle_since
            if scarce or now - share.idle_since >= self.timing.idle:
                share.idle_since = None
                return out + self._ask(now, key, need + spare)
        else:
            share.idle_since = None
        return out

    def _turn_away(self, share: Share) -> list[Effect]:
        """Who wants a new seat is answered at once; who renews one still waits for the lease."""
        out: list[Effect] = []
        renewals = deque(waiting for waiting in share.waiting if waiting.renews)
        for waiting in share.waiting:
            if not waiting.renews:
                out.append(self._refuse(waiting.ticket, "no-seat", self.timing.retry_after))
        share.waiting = renewals
        return out

    def _ask(self, now: int, key: Key, want: int) -> list[Effect]:
        """A question to the home. One for less than we hold lowers our share before it goes out."""
        if now < self.no_leases_until:
            return []
        share = self.share(key)
        share.number += 1
        share.asked_at = now
        recent = now - self.timing.lease // 2
        share.sent = {number: asked for number, asked in share.sent.items() if asked[0] > recent}
        hoped = [many for number, (_, many) in share.sent.items() if number > share.accepted]
        if want < max([share.count, *hoped]):
            # Guards against an answer to a question for more that comes after this word for less: the home
            # has taken the difference back by then, also where no share was held yet.
            share.count, share.lowered = min(share.count, want), share.number
            share.full_until = now  # the home has what comes back: who comes now waits for it
        share.sent[share.number] = (now, want)
        used = len(share.seats)
        home, ask = home_of(key, self.fronts), Ask(key, self.epoch, share.number, share.fence, want, used)
        # Guards against seats that come back in a crash after their room was given up: what is freed is
        # durable before the home hears that it is free.
        return self._after(self.written, Send(home, ask), now)

    def _lend(self, now: int, peer: int, lend: Lend) -> list[Effect]:
        share = self.shares.get(lend.key)
        if share is None or peer != home_of(lend.key, self.fronts) or lend.epoch != self.epoch:
            return []
        if lend.number not in share.sent or lend.number < share.lowered or lend.number <= share.accepted:
            # Guards against an answer that is overtaken: by a later one, whose time it would run under with
            # another count, or by our own word for less.
            return []
        share.accepted = lend.number
        if lend.count < 0:
            if share.fence == lend.fence:
                return []
            share.fence = lend.fence
            used = len(share.seats)
            return self._ask(now, lend.key, max(used + len(share.waiting) + 1, self._held(now, share)))
        sent, _ = share.sent[lend.number]
        share.expires = max(share.expires, sent + self.timing.at_borrower())
        share.count = lend.count
        out = self._serve(now, lend.key)
        if (
            lend.wanted
        ):  # the home has no more: who waits, and who comes in the next moment, is answered at once
            share.full_until = now + self.timing.retry // 4
            out += self._turn_away(share)
        return out

    # The home

    def lease_table(self, key: Key) -> LeaseTable:
        return self.lease_tables.setdefault(key, LeaseTable())

    def _lent(self, table: LeaseTable) -> int:
        return sum(lent.count for lent in table.leases.values())

    def _lapse(self, now: int, key: Key, table: LeaseTable) -> list[Effect]:
        """Guards against a share that lapsed and was lent elsewhere, and runs anew after our restart: that it
        lapsed stands in the journal before whatever is lent from it."""
        gone = [peer for peer, lent in table.leases.items() if lent.until <= now]
        for peer in gone:
            del table.leases[peer]
        return [self._write(["lent", *key, peer, 0]) for peer in gone]

    def _asked(self, now: int, peer: int, ask: Ask) -> list[Effect]:
        """A front's question. What is lent is never lowered but by its borrower's own word."""
        key = ask.key
        if home_of(key, self.fronts) != self.me or now < self.no_leases_until or key not in self.limits:
            return []
        if ask.fence != self.epoch:
            # Guards against a word for less from before our restart, overtaken since by one for more.
            return self._to(now, peer, Lend(key, ask.epoch, ask.number, self.epoch, -1))
        table = self.lease_table(key)
        out = self._lapse(now, key, table)
        in_all = self._lent(table)
        lent = table.leases.get(peer) or Lent(0, now)
        if (ask.epoch, ask.number) < (lent.epoch, lent.number):
            return out
        free = max(0, self.limits[key] - in_all)
        count = ask.want if ask.want <= lent.count else lent.count + min(ask.want - lent.count, free)
        before, lent.count = lent.count, count
        lent.epoch, lent.number, lent.used = ask.epoch, ask.number, ask.used
        lent.until = now + self.timing.at_home()
        table.leases[peer] = lent
        # What others hold in reserve is called back, and who asks waits for it; else it is turned away.
        reserve = any(one.count > one.used for other, one in table.leases.items() if other != peer)
        short = count < ask.want and ask.want > before and not reserve
        answer = Lend(key, ask.epoch, ask.number, self.epoch, count, short)
        if count != before:
            write = self._write(["lent", *key, peer, count])
            lent.written = write.number
            out.append(write)
        # Guards against a question that comes twice: its second answer waits for the record like the first.
        out += self._after(lent.written, Send(peer, answer), now)
        if count < ask.want or in_all > self.limits[key]:
            out += self._recall(now, key, table)
        return out

    def _recall(self, now: int, key: Key, table: LeaseTable) -> list[Effect]:
        if now - table.recalled_at < self.timing.retry:
            return []
        table.recalled_at = now
        idle = [peer for peer, lent in table.leases.items() if lent.count > lent.used]
        return [effect for peer in idle for effect in self._to(now, peer, Recall(key, self.epoch))]

    # Writes, and what waits for them

    def _write(self, record: list[Any]) -> Write:
        self.written += 1
        return Write(self.written, record)

    def _after(self, number: int, effect: Effect, now: int) -> list[Effect]:
        """Guards against a grant that a crash would forget: nothing goes out before its record is durable."""
        if number <= self.durable_to:
            return self._pass(now, effect)
        at = len(self._held_back)
        while at and self._held_back[at - 1][0] > number:
            at -= 1
        self._held_back.insert(at, (number, effect))
        return []

    def _pass(self, now: int, effect: Effect) -> list[Effect]:
        if isinstance(effect, Send):
            return self._to(now, effect.peer, effect.message)
        if isinstance(effect, Granted) and effect.seat not in self.share(effect.key).seats:
            return [self._refuse(effect.ticket, "expired")]  # given back before its answer could go out
        return [effect]

    def _to(self, now: int, peer: int, message: Message) -> list[Effect]:
        if peer == self.me:
            return self.receive(now, self.me, message)
        self.sent_messages += 1
        return [Send(peer, message)]

    def _granted(self, ticket: int, held: Seat) -> Granted:
        return Granted(ticket, held.seat, held.key, held.viewer, held.sess, held.generation, held.expires)

    def _refuse(self, ticket: int, reason: str, retry_after: int = 0) -> Refused:
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        return Refused(ticket, reason, retry_after)


def _seat_record(seat: Seat) -> list[Any]:
    return ["seat", seat.seat, *seat.key, seat.viewer, seat.sess, seat.generation, seat.expires]
