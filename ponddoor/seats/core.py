"""Counts the seats of one front without I/O: takes messages, the time and finished writes, and returns
messages, writes and replies. docs/notes/seats.md compares the alternatives and shows why this design is safe.

Each entitlement has one home front, which leases shares of the limit to all fronts. A front grants seats only
from a share that it holds, never beyond the end of the lease, and no seat before its record is durable. All
times are whole microseconds of the front's own clock. Clocks may differ in rate by `drift_ratio`; nothing
else is assumed of them.

- `number` orders a front's requests to a home. A response is accepted unless one to a later request has been
  accepted, or a request for fewer seats was sent after its own request.
- `epoch` identifies one run of the requesting front: a response to a request of an earlier run is ignored.
- `home_epoch` identifies one run of the home and is the fencing token: a request that was made for an earlier
  run changes nothing."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import xxhash

Key = tuple[str, str]  # tenant, entitlement


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in microseconds, and limits.

    `seat_lifetime` is how long a seat runs between renewals, `lease` how long a share runs. `drift_ratio` is
    the most by which the rate of a clock is wrong. `retry_interval` is the time between requests to a home
    that does not answer, and between recalls. A request waits up to `max_wait` for a share; `max_waiting`
    requests of an entitlement may wait at once. No seat is granted for less than `min_seat_lifetime`, or half
    of `seat_lifetime` if that is less. Surplus seats are returned to the home after `surplus_retention`. A
    refused viewer may try again after `retry_after`."""

    seat_lifetime: int = 10_000_000
    lease: int = 30_000_000
    drift_ratio: float = 0.01
    retry_interval: int = 100_000
    max_wait: int = 500_000
    min_seat_lifetime: int = 1_000_000
    surplus_retention: int = 3_000_000
    max_waiting: int = 10_000
    retry_after: int = 1_000_000

    def lender_lease(self) -> int:
        """How long the home counts a share as leased: longer than the borrower uses it at any clock drift."""
        return round(self.lease * (1 + 2 * self.drift_ratio))

    def borrower_lease(self) -> int:
        return round(self.lease * (1 - 2 * self.drift_ratio))


# Messages between fronts


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A front requests a share of `wanted` seats in total; `used` seats of its share are granted now."""

    key: Key
    epoch: int
    number: int
    home_epoch: int
    wanted: int
    used: int


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The home's response to a LeaseRequest: the front's whole share.

    `count` is -1 if the request was made for an earlier run of the home: it leases nothing and tells only
    `home_epoch`. `exhausted` says that the home has no more seats and other fronts hold none in reserve."""

    key: Key
    epoch: int
    number: int
    home_epoch: int
    count: int
    exhausted: bool = False


@dataclass(frozen=True, slots=True)
class Recall:
    """The home asks a front to return the seats that it does not need."""

    key: Key
    home_epoch: int


Message = LeaseRequest | LeaseResponse | Recall


# Effects, which the caller carries out


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
    """The reply to the request `ticket`: a seat, its generation, and when it expires."""

    ticket: int
    seat: str
    key: Key
    viewer: str
    sess: str
    generation: int
    expires: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The reply to the request `ticket`: no seat. `reason` is an error code of the protocol; a retry is
    welcome after `retry_after` microseconds."""

    ticket: int
    reason: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Expired:
    """A seat has expired and is free again: its session must end."""

    seat: str
    sess: str


Effect = Send | Write | Granted | Refused | Expired


# State


@dataclass(slots=True)
class Seat:
    """A granted seat. `record_number` is the number of the record of its newest generation."""

    seat: str
    key: Key
    viewer: str
    sess: str
    generation: int
    expires: int
    record_number: int = 0


@dataclass(slots=True)
class Share:
    """What this front may grant of one entitlement, its seats, and its requests to the home."""

    count: int = 0
    expires: int = 0
    request_number: int = 0
    lowering_request: int = 0  # the newest request for fewer seats than the share may have
    accepted_request: int = 0  # the newest request whose response was accepted
    home_epoch: int = 0
    sent_requests: dict[int, tuple[int, int]] = field(
        default_factory=dict
    )  # by number: when sent, and for how many seats
    requested_at: int = -(1 << 60)
    refuse_new_until: int = 0  # the home is exhausted: requests for new seats are refused at once
    scarce_until: int = 0  # other fronts need seats: none is held in reserve
    surplus_since: int | None = None
    seats: dict[str, Seat] = field(default_factory=dict)
    seat_by_session: dict[tuple[str, str], str] = field(default_factory=dict)  # by viewer and session
    expiries: list[tuple[int, str]] = field(
        default_factory=list
    )  # a heap; a renewed seat has an entry for each of its expiry times
    waiting: deque["WaitingRequest"] = field(default_factory=deque)


@dataclass(slots=True)
class WaitingRequest:
    """A viewer's request that waits for a share."""

    ticket: int
    deadline: int
    viewer: str
    sess: str
    renewed_seat: str = ""  # empty in a request for a new seat
    generation: int = 0  # that the viewer presented, in a renewal


@dataclass(slots=True)
class Lease:
    """The share that the home has leased to one front.

    `epoch` and `number` are those of the front's newest request, `used` is how many seats it reported as
    granted. `record_number` is the number of the record of the newest change of `count`."""

    count: int
    expires: int
    epoch: int = 0
    number: int = 0
    used: int = 0
    record_number: int = 0


@dataclass(slots=True)
class LeaseTable:
    """The home's leases of one entitlement, by borrowing front."""

    leases: dict[int, Lease] = field(default_factory=dict)
    recalled_at: int = -(1 << 60)


def home_front(key: Key, fronts: int) -> int:
    """The home front of an entitlement, by rendezvous hashing (Thaler and Ravishankar, 1998)."""
    name = "\0".join(key)
    return max(range(fronts), key=lambda front: (xxhash.xxh64_intdigest(f"{name}\0{front}"), front))


class Seats:
    """The seats of all entitlements at one front, as borrower and as home. Each entry point takes the time
    `now` and returns effects, which are to be carried out in order."""

    def __init__(
        self, me: int, fronts: int, limits: dict[Key, int], timing: Timing, epoch: int, now: int
    ) -> None:
        self.me, self.fronts, self.limits, self.timing = me, fronts, dict(limits), timing
        self.epoch = epoch
        self.shares: dict[Key, Share] = {}
        self.lease_tables: dict[Key, LeaseTable] = {}
        # Without a journal, leases of an earlier run are unknown: wait until all of them have expired.
        self.no_leases_until = now + timing.lender_lease()
        self.last_record = self.last_durable_record = 0
        self.created_seats = 0
        self.refusals: dict[str, int] = {}
        self.sent_messages = 0
        self._delayed_effects: deque[tuple[int, Effect]] = deque()

    # Recovery

    def recover(self, now: int, state: Any, records: list[Any]) -> None:
        """Restores the durable state: a snapshot and the records after it. Granted seats stay valid; each
        lease is taken to begin now, as its start is not recorded."""
        if state is None and not records:
            return
        self.no_leases_until = now
        for record in [*(state or []), *records]:
            self._apply_record(now, record)
        for share in self.shares.values():
            for seat in list(share.seats.values()):
                seat.expires = min(seat.expires, now + self.timing.seat_lifetime)
                heapq.heappush(share.expiries, (seat.expires, seat.seat))
            self._expire_seats(now, share)
        for table in self.lease_tables.values():
            for lease in table.leases.values():
                lease.expires = now + self.timing.lender_lease()

    def _apply_record(self, now: int, record: list[Any]) -> None:
        match record:
            case ["seat", seat, tenant, entitlement, viewer, sess, generation, expires]:
                self._add_seat(Seat(seat, (tenant, entitlement), viewer, sess, generation, expires))
            case ["back", seat, tenant, entitlement]:
                self._remove_seat(self.share((tenant, entitlement)), seat)
            case ["lent", tenant, entitlement, peer, 0]:
                self.lease_table((tenant, entitlement)).leases.pop(peer, None)
            case ["lent", tenant, entitlement, peer, count]:
                self.lease_table((tenant, entitlement)).leases[peer] = Lease(count, now)
            case _:
                return  # "begun", or a kind of record that only newer versions use

    def state(self) -> list[Any]:
        """The whole state as records, for a snapshot."""
        seats = [_seat_record(seat) for share in self.shares.values() for seat in share.seats.values()]
        leases = [
            ["lent", *key, peer, lease.count]
            for key, table in self.lease_tables.items()
            for peer, lease in table.leases.items()
            if lease.count
        ]
        return [["begun", self.epoch], *seats, *leases]

    # Entry points

    def start(self, now: int) -> list[Effect]:
        """Writes the first record of a run, which tells the next run that there was one, and its epoch."""
        return [self._write(["begun", self.epoch])]

    def take(self, now: int, ticket: int, key: Key, viewer: str, sess: str) -> list[Effect]:
        """Takes a seat for a viewer's session; a repeated request gets the seat that the session has."""
        if key not in self.limits:
            return [self._refuse(ticket, "no-such-entitlement")]
        share = self.share(key)
        effects = self._expire_seats(now, share)
        return effects + self._enqueue(
            now, key, WaitingRequest(ticket, now + self.timing.max_wait, viewer, sess)
        )

    def renew(self, now: int, ticket: int, key: Key, seat: str, viewer: str, generation: int) -> list[Effect]:
        """Renews a seat for a viewer that presents one of its generations.

        The newest generation is extended as the next one. The generation before it is a renewal whose reply
        was lost, and gets the same reply again. All others are refused."""
        share = self.share(key)
        effects = self._expire_seats(now, share)
        held = share.seats.get(seat)
        if held is None:
            return [*effects, self._refuse(ticket, "expired")]
        if held.viewer != viewer:
            return [*effects, self._refuse(ticket, "not-yours")]
        if generation == held.generation - 1:
            return effects + self._when_durable(held.record_number, self._granted(ticket, held), now)
        if generation != held.generation:
            reason = "superseded" if generation < held.generation else "never-given"
            return [*effects, self._refuse(ticket, reason)]
        request = WaitingRequest(
            ticket, min(now + self.timing.max_wait, held.expires), viewer, held.sess, seat, generation
        )
        return effects + self._enqueue(now, key, request)

    def give_back(self, now: int, key: Key, seat: str, viewer: str) -> list[Effect]:
        """Frees a viewer's seat at once; a repeated call has no effect."""
        share = self.share(key)
        held = share.seats.get(seat)
        if held is None or held.viewer != viewer:
            return []
        self._remove_seat(share, seat)
        effects = [self._write(["back", seat, *key]), *self._serve_waiting(now, key)]
        return effects + self._adjust_share(now, key, share) if now < share.scarce_until else effects

    def set_limits(self, now: int, limits: dict[Key, int]) -> list[Effect]:
        """Replaces the limits. Seats above a lowered limit keep running; unused ones are recalled, and no
        more are leased until the leases are within it."""
        self.limits = dict(limits)
        effects: list[Effect] = []
        for key, table in self.lease_tables.items():
            effects += self._remove_expired_leases(now, key, table)
            if self._leased_count(table) > self.limits.get(key, 0):
                effects += self._recall_unused(now, key, table)
        return effects

    def on_durable(self, now: int, number: int) -> list[Effect]:
        """All records up to `number` are durable: returns the effects that waited for them."""
        self.last_durable_record = max(self.last_durable_record, number)
        effects: list[Effect] = []
        while self._delayed_effects and self._delayed_effects[0][0] <= self.last_durable_record:
            effects += self._release(now, self._delayed_effects.popleft()[1])
        return effects

    def receive(self, now: int, peer: int, message: Message) -> list[Effect]:
        """Handles a message from another front."""
        match message:
            case LeaseRequest():
                return self._receive_request(now, peer, message)
            case LeaseResponse():
                return self._receive_response(now, peer, message)
            case Recall(key, _):
                if peer != home_front(key, self.fronts) or key not in self.shares:
                    return []
                share = self.shares[key]
                share.scarce_until = now + 2 * self.timing.surplus_retention
                needed = len(share.seats) + len(share.waiting)
                return self._request_lease(now, key, needed) if needed < share.count else []

    def tick(self, now: int) -> list[Effect]:
        """To be called periodically: expires seats, refuses requests past their deadline, renews leases."""
        effects: list[Effect] = []
        for key, share in self.shares.items():
            effects += self._expire_seats(now, share)
            while share.waiting and share.waiting[0].deadline <= now:
                request = share.waiting.popleft()
                effects.append(self._refuse(request.ticket, "no-seat", self.timing.retry_after))
            effects += self._adjust_share(now, key, share)
        return effects

    # The borrower

    def share(self, key: Key) -> Share:
        return self.shares.setdefault(key, Share())

    def _add_seat(self, seat: Seat) -> None:
        share = self.share(seat.key)
        share.seats[seat.seat] = seat
        share.seat_by_session[(seat.viewer, seat.sess)] = seat.seat
        heapq.heappush(share.expiries, (seat.expires, seat.seat))

    def _remove_seat(self, share: Share, name: str) -> Seat | None:
        seat = share.seats.pop(name, None)
        if seat is not None:
            share.seat_by_session.pop((seat.viewer, seat.sess), None)
        return seat

    def _usable_count(self, now: int, share: Share) -> int:
        """The size of the share, 0 if its lease has expired."""
        return share.count if share.expires > now else 0

    def _expire_seats(self, now: int, share: Share) -> list[Effect]:
        effects: list[Effect] = []
        while share.expiries and share.expiries[0][0] <= now:
            _, name = heapq.heappop(share.expiries)
            seat = share.seats.get(name)
            if seat is not None and seat.expires <= now:
                self._remove_seat(share, name)
                effects.append(Expired(name, seat.sess))
        return effects

    def _enqueue(self, now: int, key: Key, request: WaitingRequest) -> list[Effect]:
        share = self.share(key)
        if len(share.waiting) >= self.timing.max_waiting:
            return [self._refuse(request.ticket, "too-many-waiting", self.timing.retry_after)]
        share.waiting.append(request)
        effects = self._serve_waiting(now, key)
        return effects + self._adjust_share(now, key, share)

    def _serve_waiting(self, now: int, key: Key) -> list[Effect]:
        """Serves waiting requests in order, as far as the share allows; nothing else grants seats."""
        share, timing, effects = self.share(key), self.timing, list[Effect]()
        while share.waiting:
            request = share.waiting[0]
            lifetime = min(now + timing.seat_lifetime, share.expires) - now
            if self._usable_count(now, share) == 0 or lifetime < min(
                timing.min_seat_lifetime, timing.seat_lifetime // 2
            ):
                return effects
            if request.renewed_seat:
                share.waiting.popleft()
                renewed = share.seats.get(request.renewed_seat)
                if renewed is None or renewed.expires <= now:
                    effects.append(self._refuse(request.ticket, "expired"))
                    continue
                seat = renewed
                if seat.generation == request.generation:  # else a repeat of this renewal was served before
                    seat.generation += 1
                    seat.expires = max(seat.expires, now + lifetime)
                    heapq.heappush(share.expiries, (seat.expires, seat.seat))
            elif (session_seat := share.seat_by_session.get((request.viewer, request.sess))) is not None:
                share.waiting.popleft()  # a repeated request: the session has a seat already
                seat = share.seats[session_seat]
                effects += self._when_durable(seat.record_number, self._granted(request.ticket, seat), now)
                continue
            else:
                if len(share.seats) >= self._usable_count(now, share):
                    return effects
                share.waiting.popleft()
                self.created_seats += 1
                name = f"{self.me}.{self.epoch}.{self.created_seats}"
                seat = Seat(name, key, request.viewer, request.sess, 1, now + lifetime)
                self._add_seat(seat)
            write = self._write(_seat_record(seat))
            seat.record_number = write.number
            effects += [
                write,
                *self._when_durable(seat.record_number, self._granted(request.ticket, seat), now),
            ]
        return effects

    def _adjust_share(self, now: int, key: Key, share: Share) -> list[Effect]:
        """Requests from the home what this front needs: more seats for waiting requests, a renewal of the
        lease before it expires, or fewer seats once there has been a surplus for a while."""
        used, usable = len(share.seats), self._usable_count(now, share)
        new_requests = sum(not request.renewed_seat for request in share.waiting)
        needed = used + new_requests
        scarce = now < share.scarce_until
        reserve = 0 if scarce else max(1, needed // 4)
        effects: list[Effect] = []
        if new_requests and now < share.refuse_new_until:
            effects, needed = self._refuse_new_requests(share), len(share.seats)
        unanswered = (
            share.accepted_request < share.request_number
            and now - share.requested_at < self.timing.retry_interval
        )
        if needed > usable or share.waiting:
            return effects if unanswered else effects + self._request_lease(now, key, needed + reserve)
        if (needed or usable) and share.expires - now < 2 * self.timing.borrower_lease() // 3:
            renewal_interval = self.timing.lease // 12
            return (
                effects + self._request_lease(now, key, max(usable, needed))
                if now - share.requested_at >= renewal_interval
                else effects
            )
        if usable > needed + 2 * reserve + (not scarce):
            share.surplus_since = now if share.surplus_since is None else share.surplus_since
            if scarce or now - share.surplus_since >= self.timing.surplus_retention:
                share.surplus_since = None
                return effects + self._request_lease(now, key, needed + reserve)
        else:
            share.surplus_since = None
        return effects

    def _refuse_new_requests(self, share: Share) -> list[Effect]:
        """Refuses all waiting requests for new seats; renewals go on waiting for the lease."""
        effects: list[Effect] = []
        renewals = deque(request for request in share.waiting if request.renewed_seat)
        for request in share.waiting:
            if not request.renewed_seat:
                effects.append(self._refuse(request.ticket, "no-seat", self.timing.retry_after))
        share.waiting = renewals
        return effects

    def _request_lease(self, now: int, key: Key, wanted: int) -> list[Effect]:
        """Sends a request to the home. One for fewer seats lowers the share at once, before it is sent."""
        if now < self.no_leases_until:
            return []
        share = self.share(key)
        share.request_number += 1
        share.requested_at = now
        oldest = now - self.timing.lease // 2
        share.sent_requests = {
            number: request for number, request in share.sent_requests.items() if request[0] > oldest
        }
        pending = [
            count for number, (_, count) in share.sent_requests.items() if number > share.accepted_request
        ]
        if wanted < max([share.count, *pending]):
            # Guards against a late response to an earlier request for more seats: the home has taken the
            # difference back by then. This also applies while no share is held yet.
            share.count, share.lowering_request = min(share.count, wanted), share.request_number
            share.refuse_new_until = now  # the home gets seats back: new requests wait for them
        share.sent_requests[share.request_number] = (now, wanted)
        used = len(share.seats)
        home, request = (
            home_front(key, self.fronts),
            LeaseRequest(key, self.epoch, share.request_number, share.home_epoch, wanted, used),
        )
        # Guards against a crash that brings freed seats back after the home has leased them to another front:
        # their records are durable before the home learns that they are free.
        return self._when_durable(self.last_record, Send(home, request), now)

    def _receive_response(self, now: int, peer: int, response: LeaseResponse) -> list[Effect]:
        share = self.shares.get(response.key)
        if share is None or peer != home_front(response.key, self.fronts) or response.epoch != self.epoch:
            return []
        if (
            response.number not in share.sent_requests
            or response.number < share.lowering_request
            or response.number <= share.accepted_request
        ):
            # Guards against an outdated response. Its count must not replace that of a later response, whose
            # lease it would run under, nor that of a later request for fewer seats.
            return []
        share.accepted_request = response.number
        if response.count < 0:
            if share.home_epoch == response.home_epoch:
                return []
            share.home_epoch = response.home_epoch
            used = len(share.seats)
            return self._request_lease(
                now, response.key, max(used + len(share.waiting) + 1, self._usable_count(now, share))
            )
        sent_at, _ = share.sent_requests[response.number]
        share.expires = max(share.expires, sent_at + self.timing.borrower_lease())
        share.count = response.count
        effects = self._serve_waiting(now, response.key)
        if response.exhausted:
            # The home has no more seats: requests that wait, or arrive shortly, are refused at once.
            share.refuse_new_until = now + self.timing.retry_interval // 4
            effects += self._refuse_new_requests(share)
        return effects

    # The home

    def lease_table(self, key: Key) -> LeaseTable:
        return self.lease_tables.setdefault(key, LeaseTable())

    def _leased_count(self, table: LeaseTable) -> int:
        return sum(lease.count for lease in table.leases.values())

    def _remove_expired_leases(self, now: int, key: Key, table: LeaseTable) -> list[Effect]:
        """Removes expired leases and records it.

        Guards against a restart of the home that revives an expired lease whose seats were leased again: its
        removal is in the journal before any new lease of its seats."""
        expired = [peer for peer, lease in table.leases.items() if lease.expires <= now]
        for peer in expired:
            del table.leases[peer]
        return [self._write(["lent", *key, peer, 0]) for peer in expired]

    def _receive_request(self, now: int, peer: int, request: LeaseRequest) -> list[Effect]:
        """Answers a front's request. A lease is lowered only by a request of its borrower."""
        key = request.key
        if home_front(key, self.fronts) != self.me or now < self.no_leases_until or key not in self.limits:
            return []
        if request.home_epoch != self.epoch:
            # Guards against a request for fewer seats from before this home's restart, which arrives after a
            # later one for more.
            return self._send(now, peer, LeaseResponse(key, request.epoch, request.number, self.epoch, -1))
        table = self.lease_table(key)
        effects = self._remove_expired_leases(now, key, table)
        leased = self._leased_count(table)
        lease = table.leases.get(peer) or Lease(0, now)
        if (request.epoch, request.number) < (lease.epoch, lease.number):
            return effects
        free = max(0, self.limits[key] - leased)
        count = (
            request.wanted
            if request.wanted <= lease.count
            else lease.count + min(request.wanted - lease.count, free)
        )
        previous_count, lease.count = lease.count, count
        lease.epoch, lease.number, lease.used = request.epoch, request.number, request.used
        lease.expires = now + self.timing.lender_lease()
        table.leases[peer] = lease
        # If other fronts hold seats in reserve, they are recalled and the borrower waits for them; only if
        # there are none is it told that the home is exhausted.
        reserve = any(
            peer_lease.count > peer_lease.used
            for borrower, peer_lease in table.leases.items()
            if borrower != peer
        )
        exhausted = count < request.wanted and request.wanted > previous_count and not reserve
        response = LeaseResponse(key, request.epoch, request.number, self.epoch, count, exhausted)
        if count != previous_count:
            write = self._write(["lent", *key, peer, count])
            lease.record_number = write.number
            effects.append(write)
        # Guards against a duplicated request: its second response waits for the record as the first does.
        effects += self._when_durable(lease.record_number, Send(peer, response), now)
        if count < request.wanted or leased > self.limits[key]:
            effects += self._recall_unused(now, key, table)
        return effects

    def _recall_unused(self, now: int, key: Key, table: LeaseTable) -> list[Effect]:
        if now - table.recalled_at < self.timing.retry_interval:
            return []
        table.recalled_at = now
        peers = [peer for peer, lease in table.leases.items() if lease.count > lease.used]
        return [effect for peer in peers for effect in self._send(now, peer, Recall(key, self.epoch))]

    # Records, and the effects that wait until they are durable

    def _write(self, record: list[Any]) -> Write:
        self.last_record += 1
        return Write(self.last_record, record)

    def _when_durable(self, number: int, effect: Effect, now: int) -> list[Effect]:
        """The effect, once record `number` is durable.

        Guards against a crash that loses a grant or lease whose reply was sent: no reply precedes its
        record."""
        if number <= self.last_durable_record:
            return self._release(now, effect)
        position = len(self._delayed_effects)
        while position and self._delayed_effects[position - 1][0] > number:
            position -= 1
        self._delayed_effects.insert(position, (number, effect))
        return []

    def _release(self, now: int, effect: Effect) -> list[Effect]:
        """Returns an effect whose record is durable, as it is to be carried out now."""
        if isinstance(effect, Send):
            return self._send(now, effect.peer, effect.message)
        if isinstance(effect, Granted) and effect.seat not in self.share(effect.key).seats:
            return [self._refuse(effect.ticket, "expired")]  # given back while the reply waited
        return [effect]

    def _send(self, now: int, peer: int, message: Message) -> list[Effect]:
        """Sends a message; one to this front itself is handled at once."""
        if peer == self.me:
            return self.receive(now, self.me, message)
        self.sent_messages += 1
        return [Send(peer, message)]

    def _granted(self, ticket: int, seat: Seat) -> Granted:
        return Granted(ticket, seat.seat, seat.key, seat.viewer, seat.sess, seat.generation, seat.expires)

    def _refuse(self, ticket: int, reason: str, retry_after: int = 0) -> Refused:
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        return Refused(ticket, reason, retry_after)


def _seat_record(seat: Seat) -> list[Any]:
    return ["seat", seat.seat, *seat.key, seat.viewer, seat.sess, seat.generation, seat.expires]
