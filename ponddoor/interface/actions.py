"""The actions that a front's decisions request from their host.

The generators of the decisions (`interface.script`) yield them to `runtime.driver`. Four suspend the
generator: `Setup` until Started, Ended or ViewerLeft; `Play` until Ended or ViewerLeft; `Wait` until its
time, when the generator is resumed with None, or until ViewerLeft; `WaitForPeerMessage` likewise, or until
the next PeerMessage. All others are requested and the generator goes on at once.

Times and durations are in microseconds. `req_id` is the number of a session's request, `server` that of a
server.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Setup:
    """Send a SETUP to a server. It fails if there is no answer within `timeout` (0: within the viewer's
    time)."""

    req_id: int
    server: int
    timeout: int


@dataclass(frozen=True, slots=True)
class Play:
    """Suspend until the session that plays ends."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Suspend until a time."""

    until: int


@dataclass(frozen=True, slots=True)
class WaitForPeerMessage:
    """Suspend until the next message of another front, at most until a time (None: without limit)."""

    until: int | None


@dataclass(frozen=True, slots=True)
class Wake:
    """End the wait of another session's generator at a time, at the earliest once the generators that are
    due by then have run. Does nothing if it does not wait for a time."""

    req_id: int
    at: int


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the rung of a session's stream."""

    req_id: int
    rung: int


@dataclass(frozen=True, slots=True)
class BusyReply:
    """Answer a request finally: it is refused. `come_back` is how long the viewer should wait before it asks
    again (0: no advice)."""

    req_id: int
    come_back: int


@dataclass(frozen=True, slots=True)
class TearDown:
    """Answer a request finally: the session failed."""

    req_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Abandon one SETUP of a request; `attempt` counts its SETUPs from 0."""

    req_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End a session that plays, so that its viewer requests it again from this front and it can be placed
    anew."""

    req_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server: ask it for its load report."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to one other front, or to all others (`peer` None)."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Begin or end the watch on the list of servers."""

    active: bool


@dataclass(frozen=True, slots=True)
class FetchServers:
    """Fetch the full list of servers once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerDue with this cookie at a time. Only the runtime requests timers."""

    due: int
    cookie: int


Action = (
    Setup
    | Play
    | Wait
    | WaitForPeerMessage
    | Wake
    | SetRung
    | BusyReply
    | TearDown
    | Cancel
    | Move
    | Probe
    | CloseIdle
    | SendPeerMessage
    | Watch
    | FetchServers
    | Log
    | SetTimer
)
