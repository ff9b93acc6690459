"""What happens to a front."""

from dataclasses import dataclass, field
from enum import Enum

from ponddoor.interface.facts import SiteFacts


class ServerState(Enum):
    """What the list says of a server."""

    GONE = 0
    DRAINING = 1
    READY = 2


class NewsScope(Enum):
    """How a piece of news relates to the list in hand."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Result(Enum):
    """How a SETUP, or the session it began, ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class NoteKind(Enum):
    """What a note on a session tells."""

    DELIVERED = 1
    RUNG = 2
    LINK_ASKED = 3
    UPLINK_ASKED = 4


@dataclass(frozen=True, slots=True)
class ServerRow:
    """One server as the list has it."""

    server: int
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at: int


@dataclass(frozen=True, slots=True)
class ServerNews:
    """News of the list of servers."""

    scope: NewsScope
    rows: tuple[ServerRow, ...] = ()


@dataclass(frozen=True, slots=True)
class Means:
    """What a player can take, by its own word, as far as it is believed: rates in kB a second, its buffer and
    the time until it needs media in microseconds; `taken` is when it measured."""

    taken: int
    throughput_kb: float | None = None
    top_kb: float | None = None
    buffer: int | None = None
    due: int | None = None
    starved: bool = False


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer wants a session."""

    req_id: int
    service_group: int
    tenant: int
    key: int
    title: int
    time_left: int
    length_hint: int | None
    home: int
    span: int
    top: int
    moved: bool = False
    again: bool = False
    means: Means | None = None


@dataclass(frozen=True, slots=True)
class HandedOver:
    """A session that plays already when the front starts."""

    request: SessionRequest
    server: int


@dataclass(frozen=True, slots=True)
class Note:
    """News of a session's server: the share delivered, the rung, or what is asked of a link."""

    req_id: int
    kind: NoteKind
    value: float
    server: int


@dataclass(frozen=True, slots=True)
class PlayerHint:
    """A player's later word on what it can take."""

    req_id: int
    means: Means


@dataclass(frozen=True, slots=True)
class ServerHint:
    """A server's own word, as far as it is believed: whether it is in duress, what it takes a stream to get
    and suggests at most (kB a second), and how long it holds answers back (us); `taken` is when it
    measured."""

    server: int
    taken: int
    duress: bool = False
    throughput_kb: float | None = None
    suggested_kb: float | None = None
    held: int | None = None


@dataclass(frozen=True, slots=True)
class Started:
    """The session plays."""

    req_id: int
    attempt: int
    server: int
    lag: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A SETUP or the session it began is over; `final` if nothing more is owed to the viewer."""

    req_id: int
    attempt: int
    server: int
    result: Result
    final: bool
    lag: int
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ViewerLeft:
    """The viewer is gone; nothing is owed."""

    req_id: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe."""

    server: int
    lag: int
    result: Result
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another front."""

    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer has come due."""

    cookie: int


@dataclass(frozen=True, slots=True)
class NewTerms:
    """The site is another one from here on, for who asks now; sessions that there are keep their terms."""

    facts: SiteFacts


Event = (
    ServerNews
    | SessionRequest
    | HandedOver
    | Note
    | Started
    | Ended
    | ViewerLeft
    | Probed
    | PeerMessage
    | TimerDue
    | PlayerHint
    | ServerHint
    | NewTerms
)
