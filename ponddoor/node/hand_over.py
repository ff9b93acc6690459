"""Takes over sessions that play already, and ends those that have ended before their hand-over.

A node that starts is handed the sessions of the process before it, after its first readiness test. Some have
ended meanwhile, and this process may have read that before: from the session's server, from its viewer, or,
for all sessions at a server, from the server list (`ponddoor.obligations.early_ends`). Their viewers do not
know of the end, and no later message tells it, so such a session is released at its hand-over.

Source: the platform's protocol page (a set-up with `at`: "No answer is wanted"; "What has stood and is over
must be released towards its client")."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ponddoor.front import effects as fx
from ponddoor.front.effects import ViewerRequest
from ponddoor.front.engine import Engine
from ponddoor.front.pump import Apply, clock
from ponddoor.node.session_log import SessionLog
from ponddoor.node.viewer_connection import ViewerConnection
from ponddoor.obligations.early_ends import EarlyEnd, EarlyEnds
from ponddoor.obligations.sessions import Sessions


class SessionServers(Protocol):
    """What a hand-over needs of the object that owns all servers; `early_ends` are the ends by server."""

    early_ends: EarlyEnds[int]

    def expect_sessions(self, server: int) -> None:
        """A session that plays at this server already was handed over."""


@dataclass(slots=True)
class HandOvers:
    """The hand-overs to one node. `count` increments the counter of an event."""

    engine: Engine
    apply: Apply
    servers: SessionServers
    sessions: Sessions[ViewerConnection]
    session_log: SessionLog
    count: Callable[[str], None]

    def readiness_tested(self) -> None:
        """The node has passed a readiness test, so its sessions are handed over now."""
        now = clock()
        self.sessions.readiness_tested(now)
        self.servers.early_ends.readiness_tested(now)

    def take_over(
        self, connection: ViewerConnection, session: str, viewer_request: ViewerRequest, server: int
    ) -> None:
        """Hold a session that plays at a server, or release it if it is known to have ended."""
        now = clock()
        ended_here = self.sessions.hand_over(now, session, connection)
        ended_at_server = self.servers.early_ends.take(now, server, session)
        self.session_log.session_standing(session, server, connection.number)
        if ended_here is not None or ended_at_server is not None:
            self._end(session, server, ended_at_server)
            return
        self.apply(lambda now: self.engine.handed_over(now, session, viewer_request, server))
        if self.engine.find(session) is None:
            self.count("too-many-sessions")
            self._end(session, server, EarlyEnd("lost", certain=False))
            return
        self.servers.expect_sessions(server)

    def _end(self, session: str, server: int, ended_at_server: EarlyEnd | None) -> None:
        """Release a session that was over before its hand-over; at its server too, unless that has ended it.

        A session that its viewer has ended, or whose move its viewer has heard of, is not handed over. So its
        viewer is owed the release, whatever the server's reason, unless its own release was read here."""
        self.count("ended-before-hand-over")
        if ended_at_server is None or not ended_at_server.certain:
            self.release_at_server(session, server)
        reason = "lost" if ended_at_server is not None and ended_at_server.reason == "lost" else "over"
        self.apply(lambda _: [fx.Push(session, "ended", reason)])

    def release_at_server(self, session: str, server: int) -> None:
        """Release a session that the engine does not hold, at a server that the list may not name yet."""
        self.servers.expect_sessions(server)
        self.apply(lambda _: [fx.SendTeardown(session, 0, server)])
