"""Connects the seat logic of one front to its journal, its clock, its callers and the other fronts."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog

from ponddoor.front.words import wall_clock_us
from ponddoor.seats.core import Effect, Expired, Granted, Key, Message, Refused, Seats, Send, Timing, Write
from ponddoor.seats.tokens import Token, encode_token
from ponddoor.seats.wire import decode_message, encode_message
from ponddoor.store.committer import Committer
from ponddoor.store.files import Disk
from ponddoor.store.journal import Journal

TICK_PERIOD_S = 0.05
# A snapshot replaces the journal after this many records.
SNAPSHOT_AFTER_RECORDS = 20_000
log = structlog.get_logger("seats")


def _ignore_event(event: str, **fields: Any) -> None:
    """The default of `record_event`: records nothing."""


@dataclass(slots=True)
class Seating:
    """All seats of one front.

    `send` sends a payload to another front. `on_expired` is called with each seat that expires. `on_failure`
    is called with the reason when the disk or a tick has failed: no more seats are granted then, and the
    front must stop. `record_event` is called for every seat that is granted, kept over a restart, given back
    or expired. `clock` is in microseconds."""

    me: int
    fronts: int
    limits: dict[Key, int]
    timing: Timing
    key: bytes
    folder: Path
    clock: Callable[[], int]
    send: Callable[[int, bytes], None]
    on_expired: Callable[[str], None]
    on_failure: Callable[[str], None]
    record_event: Callable[..., None] = _ignore_event
    core: Seats = field(init=False)
    dropped_lines: list[str] = field(default_factory=list)
    recovered_records: int = 0
    lost_messages: int = 0
    _journal: Journal = field(init=False)
    _committer: Committer = field(init=False)
    _records_at_start: int = 0
    _records_since_snapshot: int = 0
    _last_ticket: int = 0
    _waiting: dict[int, asyncio.Future[Granted | Refused]] = field(default_factory=dict)
    _tick_task: asyncio.Task[None] | None = None
    _failed: str = ""
    _refusal: str = ""  # the reason for refusing every request after a failure or a stop; else empty

    def start(self) -> None:
        """Recovers the seats from the journal and starts. Raises LockedError, DamagedError or DiskError."""
        self._journal = Journal(Disk(self.folder))
        recovery = self._journal.open()
        self.dropped_lines, self.recovered_records = recovery.dropped, len(recovery.records)
        for line in recovery.dropped:
            log.warning("journal-tail-dropped", what=line)
        epochs = [row[1] for row in [*(recovery.state or []), *recovery.records] if row and row[0] == "begun"]
        now = self.clock()
        self.core = Seats(
            self.me, self.fronts, self.limits, self.timing, max([*epochs, wall_clock_us()]) + 1, now
        )
        self.core.recover(now, recovery.state, recovery.records)
        self._records_at_start = self._journal.next_number - 1
        kept_seats = [seat for share in self.core.shares.values() for seat in share.seats]
        self.record_event("seats-kept", front=self.me, seats=kept_seats)
        self._committer = Committer(self._journal, self._on_durable, self._fail)
        self._apply_effects(self.core.start(now))
        self._tick_task = asyncio.create_task(self._tick())
        if self.core.no_leases_until > now:
            log.warning("no-journal", wait_ms=(self.core.no_leases_until - now) // 1000)

    async def take(self, key: Key, viewer: str, sess: str) -> Granted | Refused:
        """Takes a seat for a session, or returns the refusal."""
        return await self._request(lambda now, ticket: self.core.take(now, ticket, key, viewer, sess))

    async def renew(self, token: Token, viewer: str) -> Granted | Refused:
        """Renews a seat: returns its next generation, or the refusal."""
        key = (token.tenant, token.entitlement)
        return await self._request(
            lambda now, ticket: self.core.renew(now, ticket, key, token.seat, viewer, token.generation)
        )

    def give_back(self, key: Key, seat: str, viewer: str) -> None:
        """Returns a seat before it expires."""
        effects = [] if self._failed else self.core.give_back(self.clock(), key, seat, viewer)
        if effects:
            self.record_event("seat-back", front=self.me, seat=seat, why="given-back")
        self._apply_effects(effects)

    def token_status(self, token: Token) -> dict[str, Any]:
        """The state of a token's seat: its newest generation (0 once it has ended) and the time left."""
        seat = self.core.share((token.tenant, token.entitlement)).seats.get(token.seat)
        left_us = 0 if seat is None else max(0, seat.expires - self.clock())
        return {
            "tenant": token.tenant,
            "entitlement": token.entitlement,
            "session": token.sess,
            "generation": token.generation,
            "newest": seat.generation if seat is not None and left_us else 0,
            "runs": left_us > 0,
            "expires_in_ms": left_us / 1000,
        }

    def token(self, grant: Granted) -> str:
        """The signed token of a grant. It expires by the wall clock, in microseconds."""
        expires_us = wall_clock_us() + grant.expires - self.clock()
        token = Token(*grant.key, grant.viewer, grant.sess, grant.seat, grant.generation, self.me, expires_us)
        return encode_token(token, self.key)

    def handle_payload(self, peer: int, payload: bytes) -> bool:
        """Handles a payload from another front. Returns False if it is not a message about seats."""
        message = decode_message(payload)
        if message is None:
            return False
        if not self._failed:
            self._apply_effects(self.core.receive(self.clock(), peer, message))
        return True

    def set_limits(self, limits: dict[Key, int]) -> None:
        """Replaces the limits of all entitlements."""
        self._apply_effects(self.core.set_limits(self.clock(), limits))

    def entitlement_rows(self) -> list[dict[str, Any]]:
        """The state of each entitlement at this front, for GET /seats."""
        now, rows = self.clock(), []
        for key in sorted(set(self.core.limits) | set(self.core.shares) | set(self.core.lease_tables)):
            share, table = self.core.shares.get(key), self.core.lease_tables.get(key)
            rows.append(
                {
                    "tenant": key[0],
                    "entitlement": key[1],
                    "limit": self.core.limits.get(key, 0),
                    "held": len(share.seats) if share else 0,
                    "share": share.count if share else 0,
                    "share_ends_in_ms": max(0, share.expires - now) // 1000 if share else 0,
                    "waiting": len(share.waiting) if share else 0,
                    "lent": {str(peer): lent.count for peer, lent in table.leases.items()} if table else {},
                }
            )
        return rows

    async def close(self) -> None:
        """Stops. Requests that wait and all later ones are refused with "front-stopped"."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._refusal = self._refusal or "front-stopped"
        self._answer_all("front-stopped")
        await self._committer.close()

    async def _request(self, call: Callable[[int, int], list[Effect]]) -> Granted | Refused:
        self._last_ticket += 1
        ticket = self._last_ticket
        if self._refusal:
            return Refused(ticket, self._refusal)
        future: asyncio.Future[Granted | Refused] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        try:
            self._apply_effects(call(self.clock(), ticket))
            return await future
        finally:
            self._waiting.pop(ticket, None)

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Write(_, record):
                    self._journal.append(record)
                    self._records_since_snapshot += 1
                    self._committer.wake()
                case Send(peer, message):
                    self._send_message(peer, message)
                case Granted(ticket) | Refused(ticket):
                    if isinstance(effect, Granted) and effect.generation == 1:
                        self.record_event("seat", front=self.me, seat=effect.seat, sess=effect.sess)
                    future = self._waiting.get(ticket)
                    if future is not None and not future.done():
                        future.set_result(effect)
                    elif isinstance(effect, Granted) and future is None and effect.generation == 1:
                        # The caller was cancelled while it waited.
                        self.give_back(effect.key, effect.seat, effect.viewer)
                case Expired(seat):
                    self.record_event("seat-back", front=self.me, seat=seat, why="expired")
                    self.on_expired(seat)

    def _send_message(self, peer: int, message: Message) -> None:
        try:
            self.send(peer, encode_message(message))
        except OSError:
            self.lost_messages += 1

    def _on_durable(self, number: int) -> None:
        self._apply_effects(self.core.on_durable(self.clock(), number - self._records_at_start))
        if (
            self._records_since_snapshot >= SNAPSHOT_AFTER_RECORDS
            and self._journal.durable_number == self._journal.next_number - 1
        ):
            self._journal.snapshot(self.core.state())
            self._records_since_snapshot = 0

    def _fail(self, reason: str, refusal: str = "disk-failed") -> None:
        """Stops granting after a failed sync or an exception in a tick.

        Requests that wait and all later ones are refused with `refusal`."""
        self._failed, self._refusal = reason, refusal
        self._answer_all(refusal)  # first: an error in a later line must not leave callers waiting
        self.on_failure(reason)
        log.error(refusal, why=reason)

    def _answer_all(self, reason: str) -> None:
        for ticket, future in self._waiting.items():
            if not future.done():
                future.set_result(Refused(ticket, reason))

    async def _tick(self) -> None:
        try:
            while not self._failed:
                await asyncio.sleep(TICK_PERIOD_S)
                self._apply_effects(self.core.tick(self.clock()))
        except Exception as error:
            self._fail(f"tick: {type(error).__name__}: {error}", "faulted")
            raise
