"""Whether every message that one media server has sent about the end of a session has been received.

Does no I/O; times are in microseconds. A lease (`lease.py`) tells that a server lives. This module tells that
no message was missed, which takes proofs of its own:

    event                                         effect
    first session at the server                   proven: nothing can have been missed
    a message within PROOF_TIMEOUT_US of the      proven: all that ended before the opening has been received
      opening of its connection                   (restricted if later than PROMPT_ANSWER_US, see below)
    the first message after a doubt               no proof: its connection was opened before the silence ended
    a later message on any connection             no proof; after a silence a refresh may begin at once
    connect accepted                              no proof, unless there is no doubt and a message came
                                                  no more than PROMPT_ANSWER_US before
    no message at all while a SETUP, probe or     doubt, from the last message on
      sign of life waited for its answer
    a refresh without proof                       doubt, from the last message on; from the last proof on if
                                                  the server sent messages on other connections all the while
    this process was paused                       nothing is given up before a refresh had its time

A server that was paused while a connection was opened may have lost messages then. An answer later than
PROMPT_ANSWER_US is therefore a proof only if it answers the sign of life requested on a refresh, and only if
it is the second such answer in a row.

A refresh is a connection that is opened beside the one in use. One is due REFRESH_INTERVAL_US after the last
proof, REFRESH_ON_MESSAGE_AFTER_US after it if a message is received then, and at once in case of doubt.
Sessions whose messages may have been missed are over if no proof follows within the duration of a lease.

Source: the platform's protocol page ("sends its release on the next connection to be opened as well"; "if no
release could be sent, within 8 s of its end")."""

from dataclasses import dataclass

from ponddoor.obligations.lease import LEASE_DURATION_US, PAUSE_THRESHOLD_US, RELEASE_LIMIT_US, SECOND

PROOF_TIMEOUT_US = SECOND // 2  # from opening a sound connection to the first answer on it
PROMPT_ANSWER_US = SECOND // 10
REFRESH_INTERVAL_US = RELEASE_LIMIT_US - 2 * SECOND  # leaves time for three refreshes and the release
REFRESH_ON_MESSAGE_AFTER_US = (
    REFRESH_INTERVAL_US // 2
)  # a recent message saves the request for a sign of life
REFRESH_RETRY_INTERVAL_US = SECOND // 2
SILENCE_THRESHOLD_US = SECOND  # a message after a longer silence shows that the server sends again


@dataclass(slots=True)
class Completeness:
    """What is proven about the messages of one server.

    `refresh_delay` is how long this front waits before a refresh in case of doubt, so that fronts that doubt
    a server at the same time do not all connect to it at once."""

    refresh_delay: int = 0
    proven_until: int = 0  # messages about sessions that ended by then have been received
    doubted_from: int | None = None  # messages about sessions that ended later may have been missed
    _silence_ended_at: int = 0
    _late_answer_pending: bool = False  # the last answer was not prompt; a second one confirms it
    _next_refresh_at: int = 0
    _checked_at: int | None = None
    _grace_until: int = 0  # after a pause of this process

    def mark_unused(self, now: int) -> None:
        """No session or SETUP depends on the server, so nothing can be missed."""
        self._prove(now)
        self._checked_at = None

    def message_received(self, now: int, opened_at: int, age: int, on_refresh: bool) -> None:
        """A message was received on a connection that was opened at `opened_at` and established `age` ago.

        `on_refresh` is whether a sign of life was requested on the connection when it was established."""
        if age > (PROOF_TIMEOUT_US if on_refresh else PROMPT_ANSWER_US):
            return
        if self.doubted_from is not None and opened_at < self._silence_ended_at:
            self._next_refresh_at = now
        elif age > PROMPT_ANSWER_US and not self._late_answer_pending:
            self._late_answer_pending, self._next_refresh_at = True, now
        else:
            self._prove(opened_at)

    def _prove(self, opened_at: int) -> None:
        self.proven_until, self.doubted_from = max(self.proven_until, opened_at), None
        self._late_answer_pending = False

    def doubt(self, now: int, last_message_at: int) -> None:
        """A request had no answer in time, and nothing was received since `last_message_at`."""
        if self.doubted_from is None:
            self._next_refresh_at = max(self._next_refresh_at, now + self.refresh_delay)
        self._doubt_from(max(last_message_at, self.proven_until))

    def refresh_failed(self, now: int, opened_at: int, last_message_at: int) -> None:
        """A refresh that was opened at `opened_at` has ended without proof.

        The last message was received at `last_message_at`, on another connection."""
        sent_throughout = last_message_at > opened_at >= self._silence_ended_at
        self._doubt_from(self.proven_until if sent_throughout else max(last_message_at, self.proven_until))

    def _doubt_from(self, since: int) -> None:
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
        if self.doubted_from is not None or self._late_answer_pending:
            return True
        return (
            standing_since is not None and now - max(self.proven_until, standing_since) >= REFRESH_INTERVAL_US
        )

    def refresh_due_on_message(self, now: int, standing_since: int | None) -> bool:
        """Whether a refresh has to begin because a message is received now."""
        if now < self._next_refresh_at or standing_since is None or self.doubted_from is not None:
            return False
        return now - max(self.proven_until, standing_since) >= REFRESH_ON_MESSAGE_AFTER_US

    def candidate_opened(self, now: int, opened_at: int, last_message_at: int) -> bool:
        """The connection of a refresh, opened at `opened_at`, is established.

        Returns whether that is proof enough. If not, a sign of life has to be requested on it."""
        if self.doubted_from is not None or now - last_message_at > PROMPT_ANSWER_US:
            return False
        self._prove(opened_at)
        return True

    def expiry_cutoff(self, now: int) -> int | None:
        """Sessions that have stood since the returned time or longer are over; None if no session is.

        The proof that no message about them was missed is overdue."""
        overdue = self.doubted_from is not None and now > self.doubted_from + LEASE_DURATION_US
        return now - LEASE_DURATION_US if overdue and now >= self._grace_until else None
