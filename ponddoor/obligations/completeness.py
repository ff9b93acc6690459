"""Whether all that one server had to say has been heard. Free of I/O; times are microseconds.

A lease (`lease.py`) says that a server lives; this says that nothing was missed, by proofs of its own:

    event                                         effect
    the first session at a server                 proven: nothing there can have been missed
    a message within PROOF_TIMEOUT_US of the      proven: what was over before the opening is heard
      opening of its connection                   (PROMPT or not, see below)
    the first message after a doubt               no proof: the connection was opened before the silence ended
    a later message, on whatever connection       no proof; after a silence a refresh may begin at once
    a connect that is accepted                    no proof, but PROMPT behind a message and without doubt
    a set-up, test or sign of life in whose       doubt, from the last message on
      time nothing at all came
    a refresh that proves nothing                 doubt, from the last message on; from the last proof on
                                                  where the server spoke elsewhere all the while
    this process stood                            nothing is given up before a refresh had its time

The server may have stood as its connection opened, and have lost then what it had to say: an answer that is
not PROMPT_ANSWER_US is a proof only to a sign of life on a refresh, and only as the second in a row.

A refresh is a connection that is opened beside the one in use. One is due REFRESH_INTERVAL_US after the last
proof, with a message that comes REFRESH_ON_MESSAGE_AFTER_US after it or later, and at once where there is
doubt. What is doubted and not proven by the limit of the lease is over.

Source: the platform's protocol page ("sends its release on the next connection to be opened as well"; "if no
release could be sent, within 8 s of its end")."""

from dataclasses import dataclass

from ponddoor.obligations.lease import LEASE_DURATION_US, PAUSE_THRESHOLD_US, RELEASE_LIMIT_US, SECOND

PROOF_TIMEOUT_US = SECOND // 2  # of its opening a sound connection carries an answer
PROMPT_ANSWER_US = SECOND // 10
REFRESH_INTERVAL_US = RELEASE_LIMIT_US - 2 * SECOND  # leaves three refreshes and the release
REFRESH_ON_MESSAGE_AFTER_US = REFRESH_INTERVAL_US // 2  # a message that came anyway saves a sign of life
REFRESH_RETRY_INTERVAL_US = SECOND // 2
SILENCE_THRESHOLD_US = SECOND  # after which a message says that a server speaks again


@dataclass(slots=True)
class Completeness:
    """What was heard of one server. `turn` is how long this front waits where many doubt together."""

    turn: int = 0
    proven_until: int = 0  # all that was over by then has been heard
    doubted_from: int | None = None  # what was over by then has been heard, if the last proof is older
    _spoke_at: int = 0  # the first message after a silence
    _unconfirmed: bool = False  # the last answer was not prompt
    _retry_at: int = 0
    _looked_at: int | None = None
    _excused_until: int = 0

    def mark_unused(self, now: int) -> None:
        """Nothing depends on the server: nothing can be missed."""
        self._prove(now)
        self._looked_at = None

    def message_received(self, now: int, opened_at: int, age: int, on_refresh: bool) -> None:
        """A message came on a connection that was opened at `opened_at` and has been up for `age`;
        `on_refresh` is whether a sign of life was asked for as it came up."""
        if age > (PROOF_TIMEOUT_US if on_refresh else PROMPT_ANSWER_US):
            return
        if self.doubted_from is not None and opened_at < self._spoke_at:
            self._retry_at = now
        elif age > PROMPT_ANSWER_US and not self._unconfirmed:
            self._unconfirmed, self._retry_at = True, now
        else:
            self._prove(opened_at)

    def _prove(self, opened_at: int) -> None:
        self.proven_until, self.doubted_from = max(self.proven_until, opened_at), None
        self._unconfirmed = False

    def doubt(self, now: int, heard_at: int) -> None:
        """Something had no answer, and the last message came at `heard_at`."""
        if self.doubted_from is None:
            self._retry_at = max(self._retry_at, now + self.turn)
        self._doubt_from(max(heard_at, self.proven_until))

    def refresh_failed(self, now: int, opened_at: int, heard_at: int) -> None:
        """A connection that was opened at `opened_at` to prove it has not; the last message, on another
        connection, came at `heard_at`."""
        spoke_throughout = heard_at > opened_at >= self._spoke_at
        self._doubt_from(self.proven_until if spoke_throughout else max(heard_at, self.proven_until))

    def _doubt_from(self, since: int) -> None:
        self.doubted_from = since if self.doubted_from is None else min(self.doubted_from, since)

    def silence_ended(self, now: int) -> None:
        """A message came after a silence: what is doubted can be asked for now."""
        self._spoke_at, self._retry_at = now, min(self._retry_at, now)

    def refresh_began(self, now: int) -> None:
        """A connection is being opened to prove it."""
        self._retry_at = now + REFRESH_RETRY_INTERVAL_US

    def record_check(self, now: int) -> None:
        """Called with each look, so that it is known whether this process stood."""
        last, self._looked_at = self._looked_at, now
        if last is not None and now - last > PAUSE_THRESHOLD_US:
            self._excused_until = now + RELEASE_LIMIT_US - REFRESH_INTERVAL_US

    def refresh_due(self, now: int, standing_since: int | None) -> bool:
        """Whether a refresh is to begin; the session that stands longest does so since `standing_since`."""
        if now < self._retry_at:
            return False
        if self.doubted_from is not None or self._unconfirmed:
            return True
        return (
            standing_since is not None and now - max(self.proven_until, standing_since) >= REFRESH_INTERVAL_US
        )

    def refresh_due_on_message(self, now: int, standing_since: int | None) -> bool:
        """Whether a refresh is to begin with a message that has come now."""
        if now < self._retry_at or standing_since is None or self.doubted_from is not None:
            return False
        return now - max(self.proven_until, standing_since) >= REFRESH_ON_MESSAGE_AFTER_US

    def candidate_opened(self, now: int, opened_at: int, heard_at: int) -> bool:
        """A refresh came up, and the last message came at `heard_at`. Whether that is proof enough; if not,
        a sign of life is to be asked for on it."""
        if self.doubted_from is not None or now - heard_at > PROMPT_ANSWER_US:
            return False
        self._prove(opened_at)
        return True

    def expiry_cutoff(self, now: int) -> int | None:
        """Sessions that have stood since then or longer are over: what they may have missed is overdue."""
        overdue = self.doubted_from is not None and now > self.doubted_from + LEASE_DURATION_US
        return now - LEASE_DURATION_US if overdue and now >= self._excused_until else None
