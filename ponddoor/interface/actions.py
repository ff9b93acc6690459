"""What a front asks for.

A generator of the decisions yields these. `Setup` is resumed with Started, Ended or ViewerLeft; `Play`
with Ended or ViewerLeft; `Wait` with None at its time, or earlier with ViewerLeft; `WaitForPeerMessage`
likewise, or with the next PeerMessage. All others take effect at once.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Setup:
    """Ask a server to start the session."""

    req_id: int
    server: int
    timeout: int


@dataclass(frozen=True, slots=True)
class Play:
    """Hold the session until it ends."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until a moment."""

    until: int


@dataclass(frozen=True, slots=True)
class WaitForPeerMessage:
    """Wait for the next message of another front, until a moment at most (None: for ever)."""

    until: int | None


@dataclass(frozen=True, slots=True)
class SetRung:
    """Choose the session's rung."""

    req_id: int
    rung: int


@dataclass(frozen=True, slots=True)
class BusyReply:
    """Final answer: turned away, with the time after which to come back (0: no advice)."""

    req_id: int
    come_back: int


@dataclass(frozen=True, slots=True)
class TearDown:
    """Final answer: failed."""

    req_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up waiting for one SETUP."""

    req_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End a session that plays; its viewer comes back to this front."""

    req_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to one front, or to all others."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to news of the servers, or end that."""

    active: bool


@dataclass(frozen=True, slots=True)
class FetchServers:
    """Ask once for the full list of servers."""


@dataclass(frozen=True, slots=True)
class Log:
    """Record a line."""

    text: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue. Only the runtime asks for this."""

    due: int
    cookie: int


Action = (
    Setup
    | Play
    | Wait
    | WaitForPeerMessage
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
