"""What the engine wants done by the shells around it. Times are microseconds."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ViewerRequest:
    """A viewer's request for a session, checked against the site. Two are equal where the viewer said the
    same, whatever the site said of it meanwhile."""

    title: str
    service_group: int
    tenant: int
    home: int = field(compare=False)  # by the version in force as it came, as are `span` and `top`
    span: int = field(compare=False)
    top: int = field(compare=False)
    wait: int = field(compare=False)  # a repeat has less of it left
    length: int | None = None
    viewer: int = 0
    again: bool = False
    moved: bool = False
    description: str = ""  # passed on to the server as it is
    asked_top: int = 255  # the rung that the viewer named


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer: `kind` is playing, busy, torn-down or left; `why` names a limit of the front,
    `passed` is what the server gave for the viewer."""

    kind: str
    server: int = -1
    rung: int = 0
    come_back: int = 0
    why: str = ""
    passed: str = ""


@dataclass(frozen=True, slots=True)
class SendSetup:
    """ViewerRequest a server to start a session; the answer goes to `Engine.setup_answered`."""

    sess: str
    attempt: int
    server: int
    request: ViewerRequest
    rung: int
    timeout: int


@dataclass(frozen=True, slots=True)
class SendTeardown:
    """End one attempt at a server, whether it still waits or plays; nothing comes back."""

    sess: str
    attempt: int
    server: int


@dataclass(frozen=True, slots=True)
class SendRung:
    """Change the rung of a session that plays."""

    sess: str
    attempt: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class SendProbe:
    """ViewerRequest a server for its load; the answer goes to `Engine.probe_answered`."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send bytes to one other front, or to all."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to the server list, or end that."""

    active: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """ViewerRequest once for the whole list."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer whoever waits for a session."""

    sess: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class Push:
    """Tell whoever follows a session: `what` is rung, ended or moved."""

    sess: str
    what: str
    value: str | int = ""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the log."""

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
