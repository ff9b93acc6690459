"""The releases of one link to a media server: those that wait for a connection, and those sent on one.

`ponddoor.obligations.server_releases` defines what proves that the server has read a release."""

from dataclasses import dataclass, field
from typing import Protocol

from ponddoor.front.pump import SECOND
from ponddoor.node.board_codec import server_id
from ponddoor.node.server_connection import ServerConnection
from ponddoor.obligations.violations import Invariant, Violations

# For a server that can't be reached, or that may not have read them on a connection that ended
MAX_PENDING_RELEASES = 1000
# A server that acknowledges releases has not read one that it leaves unacknowledged for so long
ACK_TIMEOUT_US = SECOND // 2


class ReleasesOwner(Protocol):
    """What these releases need of the object that owns all links."""

    violations: Violations

    def count(self, event: str) -> None: ...


class ReleasedLink(Protocol):
    """What these releases need of their link."""

    number: int
    connection: ServerConnection | None

    @property
    def servers(self) -> ReleasesOwner: ...


@dataclass(slots=True)
class LinkReleases:
    """`pending` are the sessions whose release is sent first on the next connection, with the time since
    which it is due. `acknowledged` is whether the server has acknowledged one."""

    link: ReleasedLink
    pending: dict[str, int] = field(default_factory=dict)
    acknowledged: bool = False

    def release(self, now: int, sess: str, due_since: int) -> None:
        """Send a release on the connection in use, or keep it for the next one."""
        if self.link.connection is not None:
            self.send(self.link.connection, now, sess, due_since)
        else:
            self.keep(sess, due_since)

    def send(self, connection: ServerConnection, now: int, sess: str, due_since: int) -> None:
        """Write a release to a connection."""
        displaced = connection.release(now, sess, due_since)
        if displaced is not None:
            self._forgotten(displaced, "too many releases that the server may not have read")

    def resend(self, now: int, sess: str, due_since: int) -> None:
        """Send a release again that the server may not have read."""
        self.link.servers.count("releases-repeated")
        self.release(now, sess, due_since)

    def keep(self, sess: str, due_since: int) -> None:
        """Keep a release for the next connection."""
        if len(self.pending) < MAX_PENDING_RELEASES:
            self.pending[sess] = due_since
        else:
            self._forgotten(sess, "too many releases wait for a connection")

    def take_pending(self) -> dict[str, int]:
        """Stop keeping releases. Returns when each was due first, by session."""
        pending, self.pending = self.pending, {}
        return pending

    def keep_unproven(self, now: int, connection: ServerConnection) -> bool:
        """Keep the releases that a connection which ends may not have delivered. Returns whether there are
        any."""
        unproven = connection.releases.take_unproven(now)
        for sess, due_since in unproven.items():
            self.link.servers.count("releases-repeated")
            self.keep(sess, due_since)
        return bool(unproven)

    def acknowledge(self, connection: ServerConnection, sess: str) -> None:
        """The server has acknowledged a release."""
        self.acknowledged |= connection.releases.proven(sess)

    def oldest_unproven(self, now: int) -> int | None:
        """When the oldest release on the connection in use was written that the server may not have read."""
        return None if self.link.connection is None else self.link.connection.releases.oldest_sent_at(now)

    def overdue_since(self, now: int) -> int | None:
        """When a release was written that the server, which acknowledges releases, should have acknowledged
        by now; None if there is none."""
        sent_at = self.oldest_unproven(now) if self.acknowledged else None
        return sent_at if sent_at is not None and now - sent_at > ACK_TIMEOUT_US else None

    def _forgotten(self, sess: str, reason: str) -> None:
        self.link.servers.count("releases-forgotten")
        detail = f"its release at {server_id(self.link.number)} is forgotten: {reason}"
        self.link.servers.violations.add(Invariant.SERVER_TOLD, sess, detail)
