"""The rule that decides whether a SETUP may be written to a server now. Does no I/O."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from ponddoor.obligations.sessions import Phase, Sessions
from ponddoor.obligations.violations import Invariant

MAX_READS_AWAITED = 3  # of a viewer that goes on writing: then its SETUP is sent all the same

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Verdict(Enum):
    """What is to be done with a SETUP."""

    SEND = "send"
    AWAIT_READS = "await-reads"  # its viewer has written what is not read yet: it may have left
    EXPIRED = "expired"  # its viewer waits no longer
    ENDED = "ended"  # its request was answered or withdrawn


JudgeSetup = Callable[[int, str, int], Verdict]  # the type of `SetupRule.judge`


@dataclass(slots=True)
class SetupRule(Generic[ConnectionT]):
    """Judges by the state of the request at this moment, not at that of the decision.

    A SETUP of a request that has ended is a fault of the front, which withdraws it as the request ends; it is
    counted as a violation and not sent."""

    sessions: Sessions[ConnectionT]
    has_unread: Callable[[ConnectionT], bool]

    def judge(self, now: int, session: str, reads_awaited: int) -> Verdict:
        """`reads_awaited` is how often this SETUP was judged AWAIT_READS before. One that is judged SEND is
        recorded as sent."""
        record = self.sessions.find(session)
        if record is None or record.phase is not Phase.WAITING or record.connection is None:
            history = () if record is None else tuple(record.history)
            detail = "a SETUP was due for a request that has ended"
            self.sessions.violations.add(Invariant.FORWARDED_WHILE_OPEN, session, detail, history)
            return Verdict.ENDED
        if now > record.deadline:
            self.sessions.count("setup-expired")
            return Verdict.EXPIRED
        if reads_awaited < MAX_READS_AWAITED and self.has_unread(record.connection):
            self.sessions.count("setup-awaits-reads")
            return Verdict.AWAIT_READS
        self.sessions.setup_sent(now, session)
        return Verdict.SEND
