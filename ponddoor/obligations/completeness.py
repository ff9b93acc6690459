"""When a connection to one media server is opened to receive ends of sessions that may have been missed.

Does no I/O; times are in microseconds. A lease (`lease.py`) tells that a server lives.
`unproven_intervals.py` tells which ends of sessions may have been missed. This module decides when the next
connection is due:

    event                                         effect
    first session at the server                   nothing can have been missed
    a message that proves its interval            no doubt about what follows the opening of its connection
    a late answer                                 a refresh at once, to confirm it
    no message at all while a SETUP, probe or     doubt, from the last message on
      sign of life waited for its answer
    a refresh without proof                       doubt, from the last message on; from the last opening on if
                                                  the server sent messages on other connections all the while
    this process was paused                       nothing is given up before a refresh had its time

A refresh is a connection that is opened beside the one in use. One is due REFRESH_INTERVAL_US after the last
opening, REFRESH_ON_MESSAGE_AFTER_US after it if a message is received then, and at once in case of doubt.
Sessions whose messages may have been missed are over if no proof follows within the duration of a lease.

Source: the platform's protocol page ("sends its release on the next connection to be opened as well"; "if no
release could be sent, within 8 s of its end")."""

from dataclasses import dataclass, field

from ponddoor.obligations.lease import LEASE_DURATION_US, PAUSE_THRESHOLD_US, RELEASE_LIMIT_US, SECOND
from ponddoor.obligations.unproven_intervals import Interval, ReceivedMessage, UnprovenIntervals

REFRESH_INTERVAL_US = RELEASE_LIMIT_US - 2 * SECOND  # leaves time for three refreshes and the release
# A recent message saves the request for a sign of life
REFRESH_ON_MESSAGE_AFTER_US = REFRESH_INTERVAL_US // 2
REFRESH_RETRY_INTERVAL_US = SECOND // 2
SILENCE_THRESHOLD_US = SECOND  # a message after a longer silence shows that the server sends again
PROMPT_ANSWER_US = SECOND // 10  # a server that was heard so recently is not silent


@dataclass(slots=True)
class Completeness:
    """What is proven about the messages of one server.

    `refresh_delay` is how long this front waits before a refresh in case of doubt, so that fronts that doubt
    a server at the same time do not all connect to it at once."""

    refresh_delay: int = 0
    proven_until: int = 0  # the opening of the latest connection whose interval is proven
    doubted_from: int | None = None  # messages about sessions that ended later may have been missed
    intervals: UnprovenIntervals = field(default_factory=UnprovenIntervals)
    _silence_ended_at: int = 0
    _failing_since: int | None = None  # when the first of the refreshes without proof was begun
    _suspected_at: int = -RELEASE_LIMIT_US
    _next_refresh_at: int = 0
    _checked_at: int | None = None
    _grace_until: int = 0  # after a pause of this process

    def mark_unused(self, now: int) -> None:
        """No session or SETUP depends on the server, so nothing can be missed."""
        self._prove(now)
        self.intervals.reset(now)
        self._checked_at = None

    def connection_opened(self, now: int, connection: int, opened_at: int, last_message_at: int) -> bool:
        """A connection that was begun at `opened_at` is established.

        Returns whether it can be used at once, as the server was heard just before. If not, a sign of life
        has to be requested on it first."""
        suspected = self.is_suspected(now)
        self.intervals.opened(connection, now, opened_at, not suspected)
        return not suspected and now - last_message_at <= PROMPT_ANSWER_US

    def message_received(self, now: int, opened_at: int, message: ReceivedMessage) -> list[Interval]:
        """A message was received on a connection that was opened at `opened_at`. Returns the intervals that
        it proves."""
        opened_in_silence = self.doubted_from is not None and opened_at < self._silence_ended_at
        awaited_confirmation = self.intervals.awaits_confirmation
        proven = self.intervals.received(message, opened_in_silence)
        if proven:
            self._prove(opened_at)
        elif self.intervals.awaits_confirmation and not awaited_confirmation:
            self._next_refresh_at = now
        return proven

    def _prove(self, opened_at: int) -> None:
        self._failing_since = None
        self.proven_until, self.doubted_from = max(self.proven_until, opened_at), None

    def is_suspected(self, now: int) -> bool:
        """Whether something was lost, or may have been, in the last 8 s."""
        return self.doubted_from is not None or now - self._suspected_at <= RELEASE_LIMIT_US

    def suspect(self, now: int) -> None:
        """A request had no answer, or a connection broke: what is said on others may be lost as well, so that
        they are asked for a sign of life as they open."""
        self._suspected_at = now
        self.intervals.distrust()

    def doubt(self, now: int, last_message_at: int) -> None:
        """A request had no answer in time, and nothing was received since `last_message_at`."""
        self.suspect(now)
        if self.doubted_from is None:
            self._next_refresh_at = max(self._next_refresh_at, now + self.refresh_delay)
        self._doubt_from(last_message_at)

    def refresh_failed(self, now: int, opened_at: int, last_message_at: int) -> None:
        """A refresh that was begun at `opened_at` has ended without proof.

        The last message was received at `last_message_at`, on another connection."""
        self.suspect(now)
        if self._failing_since is None or self._failing_since < self._silence_ended_at:
            self._failing_since = opened_at
        sent_throughout = last_message_at > self._failing_since >= self._silence_ended_at
        self._doubt_from(0 if sent_throughout else last_message_at)

    def _doubt_from(self, since: int) -> None:
        """Doubt what was said since then, or since the last opening: intervals tell of what was before."""
        since = max(since, self.intervals.last_opened_at)
        self.doubted_from = since if self.doubted_from is None else min(self.doubted_from, since)

    def silence_ended(self, now: int) -> None:
        """A message was received after a silence, so a refresh that is due can begin now."""
        self._silence_ended_at, self._next_refresh_at = now, min(self._next_refresh_at, now)

    def refresh_began(self, now: int) -> None:
        """The connection of a refresh is being opened."""
        self._next_refresh_at = now + REFRESH_RETRY_INTERVAL_US

    def record_check(self, now: int) -> None:
        """Called every 0.25 s while in use, to detect that this process was paused."""
        last, self._checked_at = self._checked_at, now
        if last is not None and now - last > PAUSE_THRESHOLD_US:
            self._grace_until = now + RELEASE_LIMIT_US - REFRESH_INTERVAL_US

    def refresh_due(self, now: int, standing_since: int | None) -> bool:
        """Whether a refresh has to begin.

        `standing_since` is when the oldest session at the server began to stand, None if there is none."""
        if now < self._next_refresh_at:
            return False
        if self.doubted_from is not None or self.intervals.awaits_confirmation:
            return True
        return (
            standing_since is not None
            and now - max(self.intervals.last_opened_at, standing_since) >= REFRESH_INTERVAL_US
        )

    def refresh_due_on_message(self, now: int, standing_since: int | None) -> bool:
        """Whether a refresh has to begin because a message is received now."""
        if now < self._next_refresh_at or standing_since is None or self.doubted_from is not None:
            return False
        return now - max(self.intervals.last_opened_at, standing_since) >= REFRESH_ON_MESSAGE_AFTER_US

    def expiry_cutoff(self, now: int) -> int | None:
        """Sessions that have stood since the returned time or longer are over; None if no session is.

        The proof that no message about them was missed is overdue."""
        if now < self._grace_until:
            return None
        doubted_from = (
            None if self.doubted_from is None else max(self.doubted_from, self.intervals.answered_until)
        )
        overdue = doubted_from is not None and now > doubted_from + LEASE_DURATION_US
        cutoffs = (now - LEASE_DURATION_US if overdue else None, self.intervals.expiry_cutoff(now))
        return max((cutoff for cutoff in cutoffs if cutoff is not None), default=None)
