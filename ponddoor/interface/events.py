"""The events that a front's host passes to its decisions.

Names of classes and fields are written to traces. Times and durations are in microseconds. `req_id` is the
number of a session's request, `attempt` counts the SETUPs of a request from 0, `server` is the number of a
server and `lag` how long its answer took."""

from dataclasses import dataclass, field
from enum import Enum

from ponddoor.interface.facts import SiteFacts


class ServerState(Enum):
    """A server's state in the list of servers."""

    GONE = 0
    DRAINING = 1
    READY = 2


class NewsScope(Enum):
    """How the rows of a ServerNews relate to the list that the front has: changed rows only, the whole list,
    the whole list from a stored copy, or no rows because the list can not be reached."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Result(Enum):
    """How a SETUP, or the session that it began, ended.

    FULL is a server's refusal. MOOT is a SETUP that was not run because it could not be sent or was no
    longer needed."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class NoteKind(Enum):
    """What the value of a Note is: the share of the stream's rate that is delivered, the session's rung, or
    the load asked of the server's link or of its rack's uplink, as a ratio to its capacity."""

    DELIVERED = 1
    RUNG = 2
    LINK_ASKED = 3
    UPLINK_ASKED = 4


@dataclass(frozen=True, slots=True)
class ServerRow:
    """One server's entry in the list of servers.

    `kind` is an index into `Plant.streams`. `weight` times `Plant.kb_per_weight` is its link's capacity.
    `started_at` is when its process started, 0 if that is not known."""

    server: int
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at: int


@dataclass(frozen=True, slots=True)
class ServerNews:
    """A change of the list of servers, or the list itself."""

    scope: NewsScope
    rows: tuple[ServerRow, ...] = ()


@dataclass(frozen=True, slots=True)
class Means:
    """What a player reports that it can receive, after the checks of `ponddoor.hints`.

    `taken` is when it measured. `throughput_kb` is the throughput it measured and `top_kb` the highest rate
    that it can use, in kB a second. `buffer` is how much media it has buffered and `due` the time until it
    needs more; `starved` is whether it has run out. None is not reported."""

    taken: int
    throughput_kb: float | None = None
    top_kb: float | None = None
    buffer: int | None = None
    due: int | None = None
    starved: bool = False


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer requests a session.

    `key` identifies the request to servers that remember keys. The title lies in `span` cells from the cell
    `home` on. `top` is the highest rung that the viewer can use, `time_left` the time in which it must be
    answered and `length_hint` the expected length of the session. `moved` is set if the viewer's session was
    ended by a Move, `again` if it says that it has requested the session before."""

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
    """A session that already plays when the front starts, taken over from the process before it."""

    request: SessionRequest
    server: int


@dataclass(frozen=True, slots=True)
class Note:
    """A server reports a value about a session or about its own links; `kind` says which."""

    req_id: int
    kind: NoteKind
    value: float
    server: int


@dataclass(frozen=True, slots=True)
class PlayerHint:
    """A later report of a player on what it can receive."""

    req_id: int
    means: Means


@dataclass(frozen=True, slots=True)
class ServerHint:
    """A server's report on itself, after the checks of `ponddoor.hints`.

    `taken` is when it measured and `duress` whether it is overloaded. `throughput_kb` is its estimate of a
    stream's throughput and `suggested_kb` the highest rate that it suggests, in kB a second. `held` is how
    long it delays its answers. None is not reported."""

    server: int
    taken: int
    duress: bool = False
    throughput_kb: float | None = None
    suggested_kb: float | None = None
    held: int | None = None


@dataclass(frozen=True, slots=True)
class Started:
    """A SETUP succeeded: the session plays."""

    req_id: int
    attempt: int
    server: int
    lag: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A SETUP failed, or the session that it began has ended.

    `final` is set if the viewer needs no answer any more. `report` holds the server's load report by field
    name, as in Probed."""

    req_id: int
    attempt: int
    server: int
    result: Result
    final: bool
    lag: int
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ViewerLeft:
    """The viewer has left; its request needs no answer any more."""

    req_id: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe, with the server's load report by field name."""

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
    """The timer with this cookie has expired."""

    cookie: int


@dataclass(frozen=True, slots=True)
class NewTerms:
    """The configuration has changed for requests that come from now on; existing sessions keep theirs."""

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
