"""The shell of the seats of one front: its journal, its messages, its tickets and its tokens."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog

from ponddoor.front.words import wall_clock_us
from ponddoor.seats.core import Effect, Expired, Granted, Key, Message, Refused, Seats, Send, Timing, Write
from ponddoor.seats.tokens import Token, made
from ponddoor.seats.wire import pack, unpack
from ponddoor.store.committer import Committer
from ponddoor.store.files import Disk
from ponddoor.store.journal import Journal

TICK = 0.05
SNAPSHOT_AFTER = 20_000  # records, after which the journal is folded into a snapshot
log = structlog.get_logger("seats")


def _unnoted(what: str, **fields: Any) -> None:
    """Where nobody keeps a record."""


@dataclass(slots=True)
class Seating:
    """All seats of one front. `send` takes a payload to one other front, `ended` the session of a seat that
    ran out, `broken` why the disk failed: then nothing more is granted, and the front must stop. `noted` is
    told of every seat that is granted, kept over a restart, or back."""

    me: int
    fronts: int
    limits: dict[Key, int]
    timing: Timing
    key: bytes
    folder: Path
    clock: Callable[[], int]
    send: Callable[[int, bytes], None]
    ended: Callable[[str], None]
    broken: Callable[[str], None]
    noted: Callable[..., None] = _unnoted
    core: Seats = field(init=False)
    dropped: list[str] = field(default_factory=list)
    recovered: int = 0
    lost_messages: int = 0
    _journal: Journal = field(init=False)
    _committer: Committer = field(init=False)
    _first: int = 0
    _since: int = 0
    _tickets: int = 0
    _waiting: dict[int, asyncio.Future[Granted | Refused]] = field(default_factory=dict)
    _ticking: asyncio.Task[None] | None = None
    _failed: str = ""
    _refusal: str = ""  # what who asks is told, once the disk has failed or the front has stopped

    def start(self) -> None:
        """Recover and begin. Raises LockedError, DamagedError or DiskError."""
        self._journal = Journal(Disk(self.folder))
        held = self._journal.open()
        self.dropped, self.recovered = held.dropped, len(held.records)
        for line in held.dropped:
            log.warning("journal-tail-dropped", what=line)
        begun = [row[1] for row in [*(held.state or []), *held.records] if row and row[0] == "begun"]
        now = self.clock()
        self.core = Seats(
            self.me, self.fronts, self.limits, self.timing, max([*begun, wall_clock_us()]) + 1, now
        )
        self.core.recover(now, held.state, held.records)
        self._first = self._journal.next_number - 1
        kept = [seat for share in self.core.shares.values() for seat in share.seats]
        self.noted("seats-kept", front=self.me, seats=kept)
        self._committer = Committer(self._journal, self._durable, self._fail)
        self._run(self.core.begin(now))
        self._ticking = asyncio.create_task(self._tick())
        if self.core.silent_until > now:
            log.warning("no-journal", wait_ms=(self.core.silent_until - now) // 1000)

    async def take(self, key: Key, viewer: str, sess: str) -> Granted | Refused:
        """A seat for a session, or why there is none."""
        return await self._ask(lambda now, ticket: self.core.take(now, ticket, key, viewer, sess))

    async def renew(self, token: Token, viewer: str) -> Granted | Refused:
        """The next generation of a seat, or why not."""
        key = (token.tenant, token.entitlement)
        return await self._ask(
            lambda now, ticket: self.core.renew(now, ticket, key, token.seat, viewer, token.generation)
        )

    def give_back(self, key: Key, seat: str, viewer: str) -> None:
        effects = [] if self._failed else self.core.give_back(self.clock(), key, seat, viewer)
        if effects:
            self.noted("seat-back", front=self.me, seat=seat, why="given-back")
        self._run(effects)

    def look(self, token: Token) -> dict[str, Any]:
        """What a token is worth now: its newest generation, and how long the seat still runs."""
        held = self.core.share((token.tenant, token.entitlement)).seats.get(token.seat)
        left = 0 if held is None else max(0, held.expires - self.clock())
        return {
            "tenant": token.tenant,
            "entitlement": token.entitlement,
            "session": token.sess,
            "generation": token.generation,
            "newest": held.generation if held is not None and left else 0,
            "runs": left > 0,
            "expires_in_ms": left / 1000,
        }

    def token(self, got: Granted) -> str:
        """The signed token of a grant; its time is told by the wall clock."""
        expires = wall_clock_us() + got.expires - self.clock()
        text = Token(*got.key, got.viewer, got.sess, got.seat, got.generation, self.me, expires)
        return made(text, self.key)

    def heard(self, peer: int, payload: bytes) -> bool:
        """Whether a front's payload was about seats."""
        message = unpack(payload)
        if message is None:
            return False
        if not self._failed:
            self._run(self.core.heard(self.clock(), peer, message))
        return True

    def set_limits(self, limits: dict[Key, int]) -> None:
        self._run(self.core.set_limits(self.clock(), limits))

    def shown(self) -> list[dict[str, Any]]:
        """Each entitlement as this front sees it, for operators."""
        now, rows = self.clock(), []
        for key in sorted(set(self.core.limits) | set(self.core.shares) | set(self.core.books)):
            share, book = self.core.shares.get(key), self.core.books.get(key)
            rows.append(
                {
                    "tenant": key[0],
                    "entitlement": key[1],
                    "limit": self.core.limits.get(key, 0),
                    "held": len(share.seats) if share else 0,
                    "share": share.count if share else 0,
                    "share_ends_in_ms": max(0, share.until - now) // 1000 if share else 0,
                    "waiting": len(share.waiting) if share else 0,
                    "lent": {str(peer): lent.count for peer, lent in book.lent.items()} if book else {},
                }
            )
        return rows

    async def close(self) -> None:
        """Who waits is answered, and so is at once whoever asks from now on."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._refusal = self._refusal or "front-stopped"
        self._answer_all("front-stopped")
        await self._committer.close()

    async def _ask(self, call: Callable[[int, int], list[Effect]]) -> Granted | Refused:
        self._tickets += 1
        ticket = self._tickets
        if self._refusal:
            return Refused(ticket, self._refusal)
        future: asyncio.Future[Granted | Refused] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        try:
            self._run(call(self.clock(), ticket))
            return await future
        finally:
            self._waiting.pop(ticket, None)

    def _run(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Write(_, record):
                    self._journal.append(record)
                    self._since += 1
                    self._committer.wake()
                case Send(peer, message):
                    self._tell(peer, message)
                case Granted(ticket) | Refused(ticket):
                    if isinstance(effect, Granted) and effect.generation == 1:
                        self.noted("seat", front=self.me, seat=effect.seat, sess=effect.sess)
                    future = self._waiting.get(ticket)
                    if future is not None and not future.done():
                        future.set_result(effect)
                    elif isinstance(effect, Granted) and future is None and effect.generation == 1:
                        self.give_back(effect.key, effect.seat, effect.viewer)  # nobody waits for it any more
                case Expired(seat):
                    self.noted("seat-back", front=self.me, seat=seat, why="expired")
                    self.ended(seat)

    def _tell(self, peer: int, message: Message) -> None:
        try:
            self.send(peer, pack(message))
        except OSError:
            self.lost_messages += 1

    def _durable(self, number: int) -> None:
        self._run(self.core.durable(self.clock(), number - self._first))
        if self._since >= SNAPSHOT_AFTER and self._journal.durable == self._journal.next_number - 1:
            self._journal.snapshot(self.core.state())
            self._since = 0

    def _fail(self, why: str, refusal: str = "disk-failed") -> None:
        """Grant nothing more, after a sync that failed or a fault of ours. Who waits, and whoever asks
        from now on, is refused for `refusal`."""
        self._failed, self._refusal = why, refusal
        self._answer_all(refusal)  # before the log line: one that fails must leave nobody waiting
        self.broken(why)
        log.error(refusal, why=why)

    def _answer_all(self, why: str) -> None:
        for ticket, future in self._waiting.items():
            if not future.done():
                future.set_result(Refused(ticket, why))

    async def _tick(self) -> None:
        try:
            while not self._failed:
                await asyncio.sleep(TICK)
                self._run(self.core.tick(self.clock()))
        except Exception as problem:
            self._fail(f"tick: {type(problem).__name__}: {problem}", "faulted")
            raise
