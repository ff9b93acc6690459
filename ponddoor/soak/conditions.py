"""How a stand-in server behaves towards a node: by process, connections and speech, each for itself."""

from typing import Literal

import msgspec

Process = Literal[
    "runs",
    "stands",  # reads and writes nothing; the kernel still accepts connections
    "hangs",  # reads, and answers nothing
]
Connections = Literal[
    "stay",
    "reset",  # each is reset `after_s` after it opened
    "closed",  # likewise, closed plainly
    "never",  # new ones never come up; those that are open stay
    "forgotten",  # those that are open are taken for gone without a word; new ones are sound
]
Speech = Literal[
    "right",
    "none",
    "rubbish",  # lines that can't be read
    "pieces",  # half a line, a byte a second
]
Loss = Literal[
    "nothing",
    "to_node",  # whatever the server writes
    "to_server",  # whatever the node writes
    "both",
    "releases",  # of what the server writes on connections that were open already
    "all_but_answers",  # of what the server writes
]
Message = Literal["answer", "release", "other"]  # that a server writes
PROCESSES: tuple[str, ...] = Process.__args__  # type: ignore[attr-defined]
CONNECTIONS: tuple[str, ...] = Connections.__args__  # type: ignore[attr-defined]
SPEECHES: tuple[str, ...] = Speech.__args__  # type: ignore[attr-defined]
LOSSES: tuple[str, ...] = Loss.__args__  # type: ignore[attr-defined]
SHORT_CONNECTION_S = 0.3  # one that ends sooner may carry no answer


class Condition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server's behaviour towards one node. Times in seconds."""

    process: Process = "runs"
    connections: Connections = "stay"
    speech: Speech = "right"
    after_s: float = 0.0  # of "reset" and "closed"
    loss: Loss = "nothing"  # whole lines that vanish on open connections, which stay open

    @property
    def reads(self) -> bool:
        """Whether what comes is read."""
        return self.process != "stands"

    @property
    def speaks(self) -> bool:
        """Whether it says what the protocol wants of it."""
        return self.process == "runs" and self.speech == "right"

    @property
    def ends_connections(self) -> bool:
        """Whether connections end by themselves."""
        return self.connections in ("reset", "closed")

    @property
    def mute(self) -> bool:
        """Whether no proof that it is alive can reach a node."""
        short = self.ends_connections and self.after_s < SHORT_CONNECTION_S
        lost = self.loss not in ("nothing", "releases")
        return not self.speaks or short or self.connections == "never" or lost

    def loses(self, message: Message) -> bool:
        """Whether a message of the server vanishes on its way."""
        match self.loss:
            case "to_node" | "both":
                return True
            case "releases":
                return message == "release"
            case "all_but_answers":
                return message != "answer"
        return False

    @property
    def loses_all_to_server(self) -> bool:
        """Whether what the node writes vanishes on its way."""
        return self.loss in ("to_server", "both")


SOUND = Condition()
