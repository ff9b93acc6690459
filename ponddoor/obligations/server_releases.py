"""The releases written to one connection to a media server, until it is proven that the server has read them.

Does no I/O; times are in microseconds. A connection that stays open proves nothing: what is written to it may
never be delivered. A server has read a release once it

    acknowledges it
    answers a message that was written to the same connection later
    closes the connection after this front has closed its direction of it

What is unproven as the connection ends or is replaced is sent again on the next one, until RELEASE_LIMIT_US
after the release was due first.

Source: the platform's protocol page ("The session is cut by a release from the front node"; "within 8 s of
its end")."""

from dataclasses import dataclass, field

from ponddoor.obligations.lease import RELEASE_LIMIT_US

MAX_UNPROVEN_RELEASES = 1000


@dataclass(frozen=True, slots=True)
class SentRelease:
    """When a release was due first, and when it was written to this connection."""

    due_since: int
    sent_at: int


@dataclass(slots=True)
class ServerReleases:
    """The unproven releases of one connection by session, in the order of writing."""

    _sent: dict[str, SentRelease] = field(default_factory=dict)

    def sent(self, now: int, session: str, due_since: int) -> str | None:
        """A release is written now. Returns a session whose release is forgotten for it, as there are too
        many."""
        self._expire(now)
        displaced = next(iter(self._sent)) if len(self._sent) >= MAX_UNPROVEN_RELEASES else None
        if displaced is not None:
            del self._sent[displaced]
        self._sent.pop(session, None)
        self._sent[session] = SentRelease(due_since, now)
        return displaced

    def proven(self, session: str) -> bool:
        """A server has acknowledged a release, or a new SETUP of the session takes its place. Returns whether
        it was unproven."""
        return self._sent.pop(session, None) is not None

    def read_through(self, sent_at: int) -> None:
        """The server has read all that was written before `sent_at`."""
        while self._sent:
            oldest = next(iter(self._sent))
            if self._sent[oldest].sent_at >= sent_at:
                return
            del self._sent[oldest]

    def oldest_sent_at(self, now: int) -> int | None:
        """When the oldest unproven release was written; None if there is none."""
        self._expire(now)
        return next((release.sent_at for release in self._sent.values()), None)

    def take_unproven(self, now: int) -> dict[str, int]:
        """Stop waiting for proofs. Returns when each unproven release was due first, by session."""
        self._expire(now)
        unproven, self._sent = self._sent, {}
        return {session: release.due_since for session, release in unproven.items()}

    def _expire(self, now: int) -> None:
        expired = [one for one, release in self._sent.items() if now - release.due_since > RELEASE_LIMIT_US]
        for session in expired:
            del self._sent[session]
