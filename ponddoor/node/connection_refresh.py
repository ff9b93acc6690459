"""The connections to one server beside the one in use: one that is opened to prove that nothing was missed,
and those that were replaced, which end once nothing is out on them."""

from dataclasses import dataclass, field

from ponddoor.front.pump import SECOND
from ponddoor.node.server_connection import ServerConnection
from ponddoor.obligations.completeness import PROOF_WITHIN, Completeness

CANDIDATE_LIMIT = SECOND  # for a server that says nothing anywhere: what it was asked may be lost
FINISH_LIMIT = SECOND  # from the end of our side to that of the server's
MOST_RETIRING = 2


@dataclass(slots=True)
class Retirement:
    """A connection that was replaced."""

    since: int
    finishing_since: int | None = None


@dataclass(slots=True)
class ConnectionRefresh:
    """Of one server. What happens on a connection that it holds, it is told by the link."""

    completeness: Completeness
    candidate: ServerConnection | None = None
    retiring: dict[ServerConnection, Retirement] = field(default_factory=dict)

    def holds(self, connection: ServerConnection) -> bool:
        """Whether it is one of ours."""
        return connection is self.candidate or connection in self.retiring

    @property
    def has_setups(self) -> bool:
        """Whether a SETUP is out on a connection that was replaced."""
        return any(one.setups for one in self.retiring)

    def connection_of_setup(self, sess: str, attempt: int) -> ServerConnection | None:
        """The replaced connection on which a SETUP is out."""
        for one in self.retiring:
            if (out := one.setups.get(sess)) is not None and out.attempt == attempt:
                return one
        return None

    def forget_release(self, sess: str) -> None:
        """A session is set up anew: its earlier release must not be repeated."""
        for one in self.retiring:
            one.released.pop(sess, None)

    def may_begin(self) -> bool:
        """Whether there is room for one more connection."""
        return self.candidate is None and len(self.retiring) < MOST_RETIRING

    def candidate_failed(self, now: int, heard_at: int) -> bool:
        """Whether the candidate has proven nothing in its time. The last message came at `heard_at`."""
        candidate = self.candidate
        if candidate is None or candidate.established_at is None:
            return False
        speaks_elsewhere = heard_at > candidate.established_at
        return candidate.age(now) > (PROOF_WITHIN if speaks_elsewhere else CANDIDATE_LIMIT)

    def retire(self, now: int, connection: ServerConnection) -> None:
        """A connection was replaced: it ends once nothing is out on it."""
        self.retiring[connection] = Retirement(now)

    def look(self, now: int, tests_within: int) -> list[ServerConnection]:
        """End what nothing is out on any more; tests are answered or late after `tests_within`. Returns the
        connections whose servers do not end their side."""
        overdue = []
        for connection, retirement in self.retiring.items():
            if retirement.finishing_since is not None:
                if now - retirement.finishing_since > FINISH_LIMIT:
                    overdue.append(connection)
            elif not connection.setups and now - retirement.since > tests_within:
                connection.finish()
                retirement.finishing_since = now
        return overdue

    def close(self) -> None:
        """What has been written still leaves."""
        for connection in (*self.retiring, *([self.candidate] if self.candidate is not None else [])):
            if connection.transport is not None:
                connection.transport.close()
        self.retiring.clear()
        self.candidate = None
