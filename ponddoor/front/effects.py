"""Effects: what the engine asks the I/O layer around it to carry out. Times are in microseconds."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ViewerRequest:
    """A viewer's request for a session, checked against the site.

    Two requests are equal if the viewer sent the same; what the site in force added is not compared. The
    title lies in `span` cells from the cell `home` on. `top` is the highest rung that the viewer can use,
    `wait` the time in which it must be answered, `length` the expected length of the session. `moved` is set
    if the viewer's session was ended by a move, `again` if the viewer says that it requested it before."""

    title: str
    service_group: int
    tenant: int
    home: int = field(compare=False)  # from the site version in force when it came, like `span` and `top`
    span: int = field(compare=False)
    top: int = field(compare=False)
    wait: int = field(compare=False)  # time left until an answer is due; a repeat has less of it
    length: int | None = None
    viewer: int = 0
    again: bool = False
    moved: bool = False
    description: str = ""  # passed on to the server unchanged
    asked_top: int = 255  # the highest rung that the viewer asked for


@dataclass(frozen=True, slots=True)
class Answer:
    """The only and final answer to a request.

    `kind` is playing, busy, torn-down or left. `come_back` is the time after which a retry is welcome, 0 if
    unknown. `reason` names a limit of the front or a fault. `viewer_text` is what the server passed on to the
    viewer."""

    kind: str
    server: int = -1
    rung: int = 0
    come_back: int = 0
    reason: str = ""
    viewer_text: str = ""


@dataclass(frozen=True, slots=True)
class SendSetup:
    """Send a SETUP to a server; the outcome goes to `Engine.setup_answered`."""

    sess: str
    attempt: int
    server: int
    request: ViewerRequest
    rung: int
    timeout: int


@dataclass(frozen=True, slots=True)
class SendTeardown:
    """End one attempt at a server, whether it is pending or plays; the engine expects no answer."""

    sess: str
    attempt: int
    server: int


@dataclass(frozen=True, slots=True)
class SendRung:
    """Change the rung of a playing session."""

    sess: str
    attempt: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe a server for its load; the answer goes to `Engine.probe_answered`."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message to one other front, or to all if `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class WatchList:
    """Begin or end watching the server list."""

    active: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the whole server list once."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Give the answer to the viewers that wait for a session."""

    sess: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class Push:
    """Notify those who follow a session's events: `kind` is rung, ended or moved."""

    sess: str
    kind: str
    value: str | int = ""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line."""

    level: str
    event: str
    sess: str = ""
    detail: str = ""


Effect = (
    SendSetup
    | SendTeardown
    | SendRung
    | SendProbe
    | CloseIdle
    | SendGossip
    | WatchList
    | FetchList
    | Reply
    | Push
    | WriteLog
)
