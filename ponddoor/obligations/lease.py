"""Until when the sessions at one server are taken to stand. Free of I/O; times are microseconds.

A lease is renewed by what the server itself says in the protocol, and by nothing else:

    event                            renews   what it does
    granted: a session is new here   yes      a lease that nothing depended on begins anew
    a message that could be read     yes      the server runs, reads and speaks
    connect accepted                 no       its kernel accepts, also for a process that stands; a lease
                                              renewed over UNPROVEN_AFTER ago asks for a sign
    bytes that are no message        no       anybody may send them
    connect refused                  no       the process is dead: the lease is over
    reset, closed, late, not read    no       sessions belong to no connection
    this process stood               no       at least what a sign of life takes is left of the lease

Source of the limit: the platform's protocol page ("if no release could be sent, within 8 s of its end")."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000
RELEASE_LIMIT_US = 8 * SECOND  # what could not be released sooner must be, so long after its end
# What the limit leaves is shared: a quarter of a second for the look that sees the silence, a half for the
# release, and before that time for seven connects of a quarter of a second.
LEASE_DURATION_US = RELEASE_LIMIT_US - 3 * SECOND // 4
SIGN_OF_LIFE_AFTER_US = LEASE_DURATION_US - 7 * SECOND // 4  # of silence, a sign of life is asked for
LEAST_TRIES = 3  # connect timeouts that are left at least, where the settings have longer ones
UNPROVEN_AFTER = SIGN_OF_LIFE_AFTER_US // 2  # from this age of a lease a new connection is asked for a sign
ASKED_AGAIN_AFTER = SECOND  # a sign of life: a server that hung may have dropped the wish for one
PAUSE_THRESHOLD_US = SECOND  # between two looks, which come every quarter of a second: this process stood
HISTORY = 12  # signs kept


class LeaseEvent(Enum):
    """What there was to see of a server."""

    GRANTED = "granted"
    MESSAGE = "message"
    CONNECTED = "connected"
    MALFORMED_INPUT = "no-message"
    REFUSED = "refused"
    BROKEN = "broken"
    SIGN_REQUESTED = "sign-asked"
    PROCESS_PAUSED = "we-stood"


class LeaseState(Enum):
    """What is believed of a server."""

    UNKNOWN = "unknown"  # never heard of, or nothing depends on it
    ALIVE = "alive"
    SUSPECT = "suspect"  # a sign of life is due
    DEAD = "dead"  # its sessions are over


class LeaseAction(Enum):
    """What a look at a lease calls for."""

    NOTHING = "nothing"
    REQUEST_SIGN = "ask"  # for a sign of life
    GIVE_UP = "give-up"  # what plays there is over


@dataclass(slots=True)
class Lease:
    """The lease of all sessions at one server. `connect_timeout` is that of the settings."""

    connect_timeout: int
    state: LeaseState = LeaseState.UNKNOWN
    last_message_at: int | None = None  # the last message
    ask_at: int = 0
    expires_at: int = 0
    events: "deque[tuple[int, LeaseEvent, str]]" = field(default_factory=lambda: deque(maxlen=HISTORY))
    _asked_at: int | None = None  # on this connection, since the last message
    _renewed_at: int = 0
    _looked_at: int | None = None

    @property
    def quiet_limit(self) -> int:
        """Of silence, after which a sign of life is asked for."""
        for_tries = LEASE_DURATION_US - LEAST_TRIES * self.connect_timeout
        return min(SIGN_OF_LIFE_AFTER_US, max(LEASE_DURATION_US // 2, for_tries))

    def grant(self, now: int) -> None:
        """A session is new at a server on which nothing depended: it is believed until heard of otherwise."""
        self.record_event(now, LeaseEvent.GRANTED)
        self._renew(now)

    def message_received(self, now: int) -> None:
        """A message of the protocol came."""
        if not self.events or self.events[-1][1] is not LeaseEvent.MESSAGE:
            self.record_event(now, LeaseEvent.MESSAGE)
        else:
            self.events[-1] = (now, LeaseEvent.MESSAGE, "")
        self.last_message_at = now
        self._renew(now)

    def _renew(self, now: int) -> None:
        self.state, self._asked_at, self._renewed_at = LeaseState.ALIVE, None, now
        self.ask_at, self.expires_at = now + self.quiet_limit, now + LEASE_DURATION_US

    def connected(self, now: int) -> bool:
        """A connect was accepted; whether a sign of life is to be asked for on it."""
        self.record_event(now, LeaseEvent.CONNECTED)
        self._asked_at = None
        if self.state is LeaseState.DEAD:
            self.state = LeaseState.UNKNOWN
        return now - self._renewed_at > UNPROVEN_AFTER

    def sign_requested(self, now: int) -> None:
        """A sign of life was asked for."""
        self.record_event(now, LeaseEvent.SIGN_REQUESTED)
        self._asked_at = now

    def connect_refused(self, now: int) -> None:
        """A connect was refused: no process is there."""
        self.record_event(now, LeaseEvent.REFUSED)
        self.state, self.expires_at = LeaseState.DEAD, min(self.expires_at, now)

    def record_event(self, now: int, sign: LeaseEvent, detail: str = "") -> None:
        """Keep a sign that renews nothing, for the log."""
        self.events.append((now, sign, detail))

    def check(self, now: int, connected: bool) -> LeaseAction:
        """What time has brought, while sessions depend on it. `connected`: a sign could be asked for."""
        self._excuse(now)
        if self.state is LeaseState.UNKNOWN:
            self.grant(now)
        if now > self.expires_at:
            self.state = LeaseState.DEAD
            return LeaseAction.GIVE_UP
        if now <= self.ask_at:
            return LeaseAction.NOTHING
        self.state = LeaseState.SUSPECT
        asked_of_late = self._asked_at is not None and now - self._asked_at < ASKED_AGAIN_AFTER
        return LeaseAction.REQUEST_SIGN if connected and not asked_of_late else LeaseAction.NOTHING

    def mark_unused(self, now: int) -> None:
        """Nothing depends on it now."""
        self._looked_at, self.state = None, LeaseState.UNKNOWN

    def _excuse(self, now: int) -> None:
        """No server is given up for a silence in which this process did not look."""
        last, self._looked_at = self._looked_at, now
        if last is None or now - last <= PAUSE_THRESHOLD_US:
            return
        self.record_event(now, LeaseEvent.PROCESS_PAUSED, f"{(now - last) // 1000} ms")
        if self.state is not LeaseState.DEAD:
            self.expires_at = max(self.expires_at, now + LEASE_DURATION_US - self.quiet_limit)

    def is_overdue(self, now: int, slack: int) -> bool:
        """Whether a lease in use ended so long ago, and nothing was done about it."""
        return self.state is not LeaseState.UNKNOWN and now > self.expires_at + slack

    def describe_events(self, now: int) -> list[str]:
        """The signs kept, oldest first, each with its age in milliseconds."""
        return [
            f"{(now - at) // 1000} ms ago {sign.value}{' ' + detail if detail else ''}"
            for at, sign, detail in self.events
        ]
