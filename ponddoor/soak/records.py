"""What the stand-ins of a soak run write down. Times are seconds of the monotonic clock."""

from dataclasses import dataclass, field
from enum import Enum

FOREVER = float("inf")


class AnswerKind(Enum):
    """What a viewer is told."""

    STANDS = "stands"
    REFUSED = "refused"
    FAILED = "failed"


class AttemptEnd(Enum):
    """How an attempt at a server ended."""

    STANDS = "stands"
    REFUSED = "refused"  # it never ran
    ERROR = "error"
    GIVEN_UP = "given up"
    RESET = "reset"


class SessionEnd(Enum):
    """Who ended a session that stood."""

    SERVER = "server"
    SERVER_DIED = "server died"
    NODE = "node"


@dataclass(slots=True)
class NodeLife:
    """One process of a node, from its start to its end."""

    node: int
    started_at: float
    ready_at: float = FOREVER
    sigterm_at: float = FOREVER
    killed_at: float = FOREVER
    exited_at: float = FOREVER
    exit_code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)
    drained: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by server: told, told back
    connected: list[tuple[float, float]] = field(
        default_factory=list
    )  # of viewers: while a connection was open and its link sound

    @property
    def over_at(self) -> float:
        """When the process was gone."""
        return min(self.killed_at, self.exited_at)


@dataclass(slots=True)
class Request:
    """A set-up that a viewer has written whole to an open connection."""

    id: str
    life: NodeLife
    class_name: str
    once: bool
    sent_at: float
    deadline_at: float
    answers: list[tuple[float, AnswerKind]] = field(default_factory=list)
    given_up_at: float = FOREVER
    connection_ended_at: float = FOREVER
    resent: bool = False  # sent again: its connection was ended while it was under way
    crossing_s: float = 0.0  # then: how long the first that had no answer there had been sent
    is_resent: bool = False
    by_bad_client: bool = False  # owed a refusal, an error or a close, and nothing more
    link_troubled: bool = False  # its link held, delayed or dropped something while it was under way


@dataclass(slots=True)
class Attempt:
    """A set-up that has reached a server whole."""

    server: str
    arrived_at: float
    ended_at: float = FOREVER
    end: AttemptEnd | None = None


@dataclass(slots=True)
class Session:
    """A session that stood at a server."""

    request: str
    server: str
    life: NodeLife  # the process that answers for it now
    up_at: float
    ended_at: float = FOREVER
    end: SessionEnd | None = None
    told_node_at: float = FOREVER  # when the node had its server's release
    heard_at: float = FOREVER  # when its viewer heard that it is over
    viewer_ends_at: float = FOREVER  # when its viewer first wrote that it ends it
    viewer_released_at: float = FOREVER  # likewise, on a connection that outlived the message
    handed_over_at: float = FOREVER
    told_before: tuple[float, NodeLife] | None = None  # a process before this one had its server's release
    repeated_to: NodeLife | None = None  # the process whose connection its server's second release went to


@dataclass(slots=True)
class Opening:
    """A connection that a node has opened to a server."""

    at: float
    first_message_at: float = FOREVER  # when a message of the server first passed on it

    def message_passed(self, at: float) -> None:
        """A message of the server has passed."""
        self.first_message_at = min(self.first_message_at, at)


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, by whom and how."""

    rule: str
    at: float
    what: str
