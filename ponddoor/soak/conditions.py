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
]
Speech = Literal[
    "right",
    "none",
    "rubbish",  # lines that can't be read
    "pieces",  # half a line, a byte a second
]
PROCESSES: tuple[str, ...] = Process.__args__  # type: ignore[attr-defined]
CONNECTIONS: tuple[str, ...] = Connections.__args__  # type: ignore[attr-defined]
SPEECHES: tuple[str, ...] = Speech.__args__  # type: ignore[attr-defined]
SHORT_CONNECTION_S = 0.3  # one that ends sooner may carry no answer


class Condition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server's behaviour towards one node. Times in seconds."""

    process: Process = "runs"
    connections: Connections = "stay"
    speech: Speech = "right"
    after_s: float = 0.0  # of "reset" and "closed"

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
        return not self.speaks or short or self.connections == "never"


SOUND = Condition()
