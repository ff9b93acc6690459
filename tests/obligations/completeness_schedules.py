"""Plays schedules of one server's silences against the two proofs, and judges when ends were heard.

A session that ends while what the server says is lost is said again on the next connection to be opened, and
on no other. What is lost: nothing, all, or all but the answers to set-ups. Times are microseconds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ponddoor.node.connection_refresh import CANDIDATE_TIMEOUT_US
from ponddoor.obligations.completeness import PROOF_TIMEOUT_US, Completeness
from ponddoor.obligations.lease import SECOND, Lease, LeaseAction

LOOK = SECOND // 4
TICK = SECOND // 20
TRAFFIC = SECOND // 2  # between two set-ups on the connection in use
ANSWERED_AFTER = SECOND // 50
SLACK = SECOND // 20  # the protocol page's, on sockets
HEARD_WITHIN = 8 * SECOND
PROVABLE_FOR = 7 * SECOND // 4  # a server that speaks so long can be asked: nothing of it is given up then
MUTE_AT_LEAST = 3 * SECOND  # a server that says nothing for less is not given up
START = 100 * SECOND
RUN_OUT = 20 * SECOND


class Step(Enum):
    """What a schedule is made of."""

    LOSE_ALL = "lose-all"
    LOSE_ALL_BUT_ANSWERS = "lose-all-but-answers"
    SPEAK = "speak"
    FORGET = "forget"  # the server takes the connection in use for gone
    END = "end"  # a session at the server ends
    BUSY = "busy"
    QUIET = "quiet"
    WAIT = "wait"  # a second
    WAIT_LONG = "wait-long"  # three


class Wrong(Enum):
    """What the two proofs may do wrong."""

    LEFT_WAITING = "left waiting"
    LEFT_IN_ANOTHER_TROUBLE = "left waiting: the server was in another trouble as the next refresh came"
    CUT = "cut while it could be heard"
    CUT_IN_A_PAUSE = "cut in a pause of its server"


@dataclass(slots=True)
class Connection:
    """One connection to the server."""

    opened_at: int
    forgotten: bool = False
    answer_at: int | None = None  # of the sign of life that was asked for as it opened


@dataclass(slots=True)
class Played:
    """One schedule under way. One session that lives stands there throughout."""

    completeness: Completeness
    lease: Lease
    now: int = START
    loss: Step = Step.SPEAK
    speaks_since: int = 0
    loss_since: int = 0  # but for moments in which nothing could be proven
    busy: bool = True
    setup_out_since: int | None = None
    next_setup: int = 0
    connection: Connection = field(default_factory=lambda: Connection(START))
    candidate: Connection | None = None
    owed: list[tuple[int, int]] = field(default_factory=list)  # ends that nobody could tell, and the trouble
    troubles: int = 0
    asked_answer_at: int | None = None
    wrong: Wrong | None = None

    @property
    def speaks(self) -> bool:
        return self.loss is Step.SPEAK

    def step(self, step: Step) -> None:
        match step:
            case Step.LOSE_ALL | Step.LOSE_ALL_BUT_ANSWERS | Step.SPEAK if step is not self.loss:
                self.troubles += self.speaks
                if step is Step.SPEAK:
                    self.speaks_since = self.now
                elif self.speaks and self.now - self.speaks_since > PROVABLE_FOR:
                    self.loss_since = self.now
                self.loss = step
            case Step.FORGET:
                self.connection.forgotten = True
            case Step.END if not self.speaks or self.connection.forgotten:
                self.owed.append((self.now, self.troubles))
            case Step.BUSY | Step.QUIET:
                self.busy = step is Step.BUSY
            case Step.WAIT:
                self.run(SECOND)
            case Step.WAIT_LONG:
                self.run(3 * SECOND)
        self.run(TICK)

    def run(self, length: int) -> None:
        until = self.now + length
        while self.now < until and self.wrong is None:
            self.now += TICK
            self._traffic()
            self._signs()
            if self.now % LOOK < TICK:
                self._look()
            if self.owed and self.now - self.owed[0][0] > HEARD_WITHIN:
                another = self.owed[0][1] < self.troubles
                self.wrong = Wrong.LEFT_IN_ANOTHER_TROUBLE if another else Wrong.LEFT_WAITING

    def _traffic(self) -> None:
        out = self.setup_out_since
        if out is not None:
            if self.loss is not Step.LOSE_ALL and not self.connection.forgotten:
                self._message(self.connection)
                self.setup_out_since = None
            elif self.now - out >= SECOND // 2:
                self.setup_out_since = None
                if (self.lease.last_message_at or 0) <= out:
                    self.completeness.doubt(self.now, self.lease.last_message_at or 0)
        elif self.busy and self.now >= self.next_setup:
            self.setup_out_since, self.next_setup = self.now, self.now + TRAFFIC

    def _signs(self) -> None:
        if self.asked_answer_at is not None and self.now >= self.asked_answer_at:
            self.asked_answer_at = None
            if self.speaks and not self.connection.forgotten:
                self._message(self.connection)
        candidate = self.candidate
        if candidate is not None and candidate.answer_at is not None and self.now >= candidate.answer_at:
            if self.loss is Step.LOSE_ALL:
                return  # the server stands: it reads the sign once it runs on
            candidate.answer_at = None
            if self.speaks:
                if self.now - candidate.opened_at <= SLACK:
                    self.owed.clear()
                self._message(candidate)

    def _message(self, connection: Connection) -> None:
        on_refresh = connection is self.candidate
        silent_for = self.now - (self.lease.last_message_at or self.now)
        self.lease.message_received(self.now)
        if on_refresh:
            self.connection, self.candidate, self.setup_out_since = connection, None, None
        if silent_for > SECOND:
            self.completeness.silence_ended(self.now)
        age = self.now - connection.opened_at
        self.completeness.message_received(self.now, connection.opened_at, age, on_refresh)
        if self.candidate is None and self.completeness.refresh_due_on_message(self.now, START):
            self._refresh()
            opened = self.candidate
            if opened is not None and self.completeness.candidate_opened(self.now, self.now, self.now):
                opened.answer_at = None
                self.connection, self.candidate, self.setup_out_since = opened, None, None

    def _look(self) -> None:
        self.completeness.record_check(self.now)
        heard_at = self.lease.last_message_at or 0
        candidate = self.candidate
        if candidate is not None:
            limit = PROOF_TIMEOUT_US if heard_at > candidate.opened_at else CANDIDATE_TIMEOUT_US
            if self.now - candidate.opened_at > limit:
                self.candidate = None
                self.completeness.refresh_failed(self.now, candidate.opened_at, heard_at)
        if self.candidate is None and self.completeness.refresh_due(self.now, START):
            self._refresh()
        due = self.lease.check(self.now, True)
        over_since = self.completeness.expiry_cutoff(self.now)
        if due is LeaseAction.GIVE_UP or (over_since is not None and over_since >= START):
            self._give_up()
        elif due is LeaseAction.REQUEST_SIGN:
            if self.candidate is None:
                self._refresh()
            else:
                self.asked_answer_at = self.now + ANSWERED_AFTER
            self.lease.sign_requested(self.now)

    def _refresh(self) -> None:
        self.completeness.refresh_began(self.now)
        self.candidate = Connection(self.now, answer_at=self.now + ANSWERED_AFTER)
        if self.speaks:
            self.owed.clear()

    def _give_up(self) -> None:
        provable = self.speaks and self.now - self.speaks_since > PROVABLE_FOR
        if provable:
            self.wrong = Wrong.CUT
        elif not self.speaks and self.now - self.loss_since < MUTE_AT_LEAST:
            self.wrong = Wrong.CUT_IN_A_PAUSE
        self.owed.clear()
        self.completeness.mark_unused(self.now)
        self.lease.mark_unused(self.now)


def verdict(
    schedule: tuple[Step, ...], make: Callable[[], Completeness], connect_timeout: int
) -> Wrong | None:
    """What is wrong with how the two proofs took a schedule."""
    played = Played(make(), Lease(connect_timeout))
    played.lease.grant(START)
    played.lease.message_received(START)
    played.completeness.mark_unused(START)
    for step in schedule:
        if played.wrong is None:
            played.step(step)
    played.step(Step.SPEAK)
    played.run(RUN_OUT)
    return played.wrong
