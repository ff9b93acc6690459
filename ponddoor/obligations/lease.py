"""The lease of the sessions at one media server: until when they are assumed to stand.

Does no I/O; times are in microseconds. Only what the server itself sends in the protocol renews a lease:

    event                             renews   effect
    first session at an unused server yes      the lease begins anew
    a valid message                   yes      the server runs, reads and sends
    connect accepted                  no       the kernel of a paused process accepts connections too; if the
                                               last renewal is more than UNPROVEN_AFTER_US ago, a sign of life
                                               is requested on the new connection
    malformed input                   no       any process could have sent it
    connect refused                   no       the server process is dead: the lease ends at once
    connection reset, closed, timed   no       sessions do not depend on a connection
      out or malformed
    this process was paused           no       the lease is extended by the time that a sign of life takes

A sign of life is the answer to a request that any live server answers.

Source of the limit: the platform's protocol page ("if no release could be sent, within 8 s of its end")."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000
RELEASE_LIMIT_US = 8 * SECOND  # from the end of a session to its release, if none could be sent sooner
# The last 0.75 s of the limit are reserved: 0.25 s until a check sees that the lease is over, 0.5 s for the
# release. Before that, the time after SIGN_OF_LIFE_AFTER_US suffices for seven connects of 0.25 s.
LEASE_DURATION_US = RELEASE_LIMIT_US - 3 * SECOND // 4
SIGN_OF_LIFE_AFTER_US = LEASE_DURATION_US - 7 * SECOND // 4  # without a message
MIN_CONNECT_TIMEOUTS = 3  # that remain after the request for a sign of life if the settings have long ones
UNPROVEN_AFTER_US = SIGN_OF_LIFE_AFTER_US // 2  # since the last renewal
SIGN_REQUEST_INTERVAL_US = SECOND  # repeated because a server that hung may have dropped the request
PAUSE_THRESHOLD_US = SECOND  # between two checks, which come every 0.25 s: this process was paused
MAX_EVENTS = 12  # kept for the log


class LeaseEvent(Enum):
    """What was observed of a server, as written to the log."""

    GRANTED = "granted"
    MESSAGE = "message"
    CONNECTED = "connected"
    MALFORMED_INPUT = "no-message"
    REFUSED = "refused"
    BROKEN = "broken"
    SIGN_REQUESTED = "sign-asked"
    PROCESS_PAUSED = "we-stood"


class LeaseState(Enum):
    """What is assumed about a server."""

    UNKNOWN = "unknown"  # never observed, or no session depends on it
    ALIVE = "alive"
    SUSPECT = "suspect"  # a sign of life is due
    DEAD = "dead"  # its sessions are over


class LeaseAction(Enum):
    """What the caller of a check has to do."""

    NOTHING = "nothing"
    REQUEST_SIGN = "ask"  # request a sign of life
    GIVE_UP = "give-up"  # end the sessions at the server


@dataclass(slots=True)
class Lease:
    """The lease of all sessions at one server. `connect_timeout` is that of the settings."""

    connect_timeout: int
    state: LeaseState = LeaseState.UNKNOWN
    last_message_at: int | None = None
    request_sign_at: int = 0
    expires_at: int = 0
    events: "deque[tuple[int, LeaseEvent, str]]" = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    _sign_requested_at: int | None = None  # on the current connection, since the last renewal
    _renewed_at: int = 0
    _checked_at: int | None = None

    @property
    def sign_of_life_after(self) -> int:
        """The time since the last renewal after which a sign of life is requested."""
        before_connects = LEASE_DURATION_US - MIN_CONNECT_TIMEOUTS * self.connect_timeout
        return min(SIGN_OF_LIFE_AFTER_US, max(LEASE_DURATION_US // 2, before_connects))

    def grant(self, now: int) -> None:
        """Begin the lease with a new session at a server on which none depended.

        The server is assumed to be alive until the opposite is observed."""
        self.record_event(now, LeaseEvent.GRANTED)
        self._renew(now)

    def message_received(self, now: int) -> None:
        """Renew the lease: a valid message of the protocol was received."""
        if not self.events or self.events[-1][1] is not LeaseEvent.MESSAGE:
            self.record_event(now, LeaseEvent.MESSAGE)
        else:
            self.events[-1] = (now, LeaseEvent.MESSAGE, "")
        self.last_message_at = now
        self._renew(now)

    def _renew(self, now: int) -> None:
        self.state, self._sign_requested_at, self._renewed_at = LeaseState.ALIVE, None, now
        self.request_sign_at, self.expires_at = now + self.sign_of_life_after, now + LEASE_DURATION_US

    def connected(self, now: int) -> bool:
        """A connect was accepted. Returns whether a sign of life has to be requested on the connection."""
        self.record_event(now, LeaseEvent.CONNECTED)
        self._sign_requested_at = None
        if self.state is LeaseState.DEAD:
            self.state = LeaseState.UNKNOWN
        return now - self._renewed_at > UNPROVEN_AFTER_US

    def sign_requested(self, now: int) -> None:
        """A sign of life was requested."""
        self.record_event(now, LeaseEvent.SIGN_REQUESTED)
        self._sign_requested_at = now

    def connect_refused(self, now: int) -> None:
        """End the lease: no process listens at the server's address."""
        self.record_event(now, LeaseEvent.REFUSED)
        self.state, self.expires_at = LeaseState.DEAD, min(self.expires_at, now)

    def record_event(self, now: int, event: LeaseEvent, detail: str = "") -> None:
        """Keep an event for the log. It does not renew the lease."""
        self.events.append((now, event, detail))

    def check(self, now: int, connected: bool) -> LeaseAction:
        """Return what is due by now. Called every 0.25 s while sessions depend on the server.

        `connected` is whether there is a connection on which a sign of life can be requested."""
        self._extend_after_pause(now)
        if self.state is LeaseState.UNKNOWN:
            self.grant(now)
        if now > self.expires_at:
            self.state = LeaseState.DEAD
            return LeaseAction.GIVE_UP
        if now <= self.request_sign_at:
            return LeaseAction.NOTHING
        self.state = LeaseState.SUSPECT
        requested_recently = (
            self._sign_requested_at is not None and now - self._sign_requested_at < SIGN_REQUEST_INTERVAL_US
        )
        return LeaseAction.REQUEST_SIGN if connected and not requested_recently else LeaseAction.NOTHING

    def mark_unused(self, now: int) -> None:
        """No session or SETUP depends on the server now."""
        self._checked_at, self.state = None, LeaseState.UNKNOWN

    def _extend_after_pause(self, now: int) -> None:
        """Leave time for a sign of life if this process was paused, as it read no messages meanwhile."""
        last, self._checked_at = self._checked_at, now
        if last is None or now - last <= PAUSE_THRESHOLD_US:
            return
        self.record_event(now, LeaseEvent.PROCESS_PAUSED, f"{(now - last) // 1000} ms")
        if self.state is not LeaseState.DEAD:
            self.expires_at = max(self.expires_at, now + LEASE_DURATION_US - self.sign_of_life_after)

    def is_overdue(self, now: int, slack: int) -> bool:
        """Whether the lease is in use and ended more than `slack` ago without being given up."""
        return self.state is not LeaseState.UNKNOWN and now > self.expires_at + slack

    def describe_events(self, now: int) -> list[str]:
        """The kept events for the log, oldest first, each with its age in milliseconds."""
        return [
            f"{(now - happened_at) // 1000} ms ago {event.value}{' ' + detail if detail else ''}"
            for happened_at, event, detail in self.events
        ]
