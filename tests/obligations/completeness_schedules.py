"""Simulates one server through a schedule of lost messages, and judges when ended sessions became known.

The simulation uses both a lease and a completeness proof. If the message about the end of a session is lost,
the server sends it again on the next connection that is opened, and on no other. The server loses no
messages, all, or all but the answers to SETUPs. Times are in microseconds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ponddoor.node.connection_refresh import CANDIDATE_TIMEOUT_US
from ponddoor.obligations.completeness import PROOF_TIMEOUT_US, Completeness
from ponddoor.obligations.lease import SECOND, Lease, LeaseAction

CHECK_INTERVAL_US = SECOND // 4
TICK_US = SECOND // 20  # the simulated time advances in such steps
SETUP_INTERVAL_US = SECOND // 2  # on the connection in use
ANSWER_DELAY_US = SECOND // 50
SOCKET_TOLERANCE_US = SECOND // 20  # that the protocol page allows for messages on sockets
END_MESSAGE_DEADLINE_US = 8 * SECOND  # from the end of a session
# A server that loses nothing for this long can be asked: no session may be given up then
PROVABLE_THRESHOLD_US = 7 * SECOND // 4
MIN_SILENCE_US = 3 * SECOND  # a server that is silent for less is not given up
START_US = 100 * SECOND
FINAL_RUN_US = 20 * SECOND


class Step(Enum):
    """A step of a schedule."""

    LOSE_ALL = "lose-all"
    LOSE_ALL_BUT_ANSWERS = "lose-all-but-answers"
    SEND_ALL = "send-all"
    DROP_CONNECTION = "drop-connection"  # the server regards the connection in use as lost
    END_SESSION = "end-session"
    BUSY = "busy"  # SETUPs are sent from now on
    IDLE = "idle"  # no SETUPs are sent from now on
    WAIT = "wait"  # for 1 s
    WAIT_LONG = "wait-long"  # for 3 s


class Fault(Enum):
    """A way in which lease and completeness proof may fail together."""

    NOT_RECEIVED = "the end of a session stayed unknown"
    NOT_RECEIVED_IN_SECOND_OUTAGE = (
        "the end of a session stayed unknown: messages were lost again at the next refresh"
    )
    GIVEN_UP_WHILE_PROVABLE = "given up while the proof was possible"
    GIVEN_UP_IN_SHORT_PAUSE = "given up in a pause of less than 3 s"


@dataclass(slots=True)
class Connection:
    """One connection to the server."""

    opened_at: int
    dropped_by_server: bool = False
    answer_at: int | None = None  # to the sign of life requested when it was opened


@dataclass(slots=True)
class Simulation:
    """One server in the course of a schedule. One session stands there throughout."""

    completeness: Completeness
    lease: Lease
    now: int = START_US
    loss: Step = Step.SEND_ALL
    sends_since: int = 0
    loss_since: int = 0  # ignoring times without loss that were too short for a proof
    busy: bool = True
    setup_sent_at: int | None = None
    next_setup_at: int = 0
    connection: Connection = field(default_factory=lambda: Connection(START_US))
    candidate: Connection | None = None
    # Time and number of the outage of each end whose message was lost
    missed_ends: list[tuple[int, int]] = field(default_factory=list)
    outages: int = 0
    sign_answer_at: int | None = None
    fault: Fault | None = None

    @property
    def sends_all(self) -> bool:
        return self.loss is Step.SEND_ALL

    def step(self, step: Step) -> None:
        match step:
            case Step.LOSE_ALL | Step.LOSE_ALL_BUT_ANSWERS | Step.SEND_ALL if step is not self.loss:
                self.outages += self.sends_all
                if step is Step.SEND_ALL:
                    self.sends_since = self.now
                elif self.sends_all and self.now - self.sends_since > PROVABLE_THRESHOLD_US:
                    self.loss_since = self.now
                self.loss = step
            case Step.DROP_CONNECTION:
                self.connection.dropped_by_server = True
            case Step.END_SESSION if not self.sends_all or self.connection.dropped_by_server:
                self.missed_ends.append((self.now, self.outages))
            case Step.BUSY | Step.IDLE:
                self.busy = step is Step.BUSY
            case Step.WAIT:
                self.run(SECOND)
            case Step.WAIT_LONG:
                self.run(3 * SECOND)
        self.run(TICK_US)

    def run(self, length: int) -> None:
        until = self.now + length
        while self.now < until and self.fault is None:
            self.now += TICK_US
            self._exchange_setups()
            self._answer_sign_requests()
            if self.now % CHECK_INTERVAL_US < TICK_US:
                self._check()
            if self.missed_ends and self.now - self.missed_ends[0][0] > END_MESSAGE_DEADLINE_US:
                second_outage = self.missed_ends[0][1] < self.outages
                self.fault = Fault.NOT_RECEIVED_IN_SECOND_OUTAGE if second_outage else Fault.NOT_RECEIVED

    def _exchange_setups(self) -> None:
        sent_at = self.setup_sent_at
        if sent_at is not None:
            if self.loss is not Step.LOSE_ALL and not self.connection.dropped_by_server:
                self._receive_message(self.connection)
                self.setup_sent_at = None
            elif self.now - sent_at >= SECOND // 2:
                self.setup_sent_at = None
                if (self.lease.last_message_at or 0) <= sent_at:
                    self.completeness.doubt(self.now, self.lease.last_message_at or 0)
        elif self.busy and self.now >= self.next_setup_at:
            self.setup_sent_at, self.next_setup_at = self.now, self.now + SETUP_INTERVAL_US

    def _answer_sign_requests(self) -> None:
        if self.sign_answer_at is not None and self.now >= self.sign_answer_at:
            self.sign_answer_at = None
            if self.sends_all and not self.connection.dropped_by_server:
                self._receive_message(self.connection)
        candidate = self.candidate
        if candidate is not None and candidate.answer_at is not None and self.now >= candidate.answer_at:
            if self.loss is Step.LOSE_ALL:
                return  # the server is paused: it reads the request once it runs again
            candidate.answer_at = None
            if self.sends_all:
                if self.now - candidate.opened_at <= SOCKET_TOLERANCE_US:
                    self.missed_ends.clear()
                self._receive_message(candidate)

    def _receive_message(self, connection: Connection) -> None:
        on_refresh = connection is self.candidate
        silent_for = self.now - (self.lease.last_message_at or self.now)
        self.lease.message_received(self.now)
        if on_refresh:
            self.connection, self.candidate, self.setup_sent_at = connection, None, None
        if silent_for > SECOND:
            self.completeness.silence_ended(self.now)
        age = self.now - connection.opened_at
        self.completeness.message_received(self.now, connection.opened_at, age, on_refresh)
        if self.candidate is None and self.completeness.refresh_due_on_message(self.now, START_US):
            self._refresh()
            new_candidate = self.candidate
            if new_candidate is not None and self.completeness.candidate_opened(self.now, self.now, self.now):
                new_candidate.answer_at = None
                self.connection, self.candidate, self.setup_sent_at = new_candidate, None, None

    def _check(self) -> None:
        self.completeness.record_check(self.now)
        last_message_at = self.lease.last_message_at or 0
        candidate = self.candidate
        if candidate is not None:
            limit = PROOF_TIMEOUT_US if last_message_at > candidate.opened_at else CANDIDATE_TIMEOUT_US
            if self.now - candidate.opened_at > limit:
                self.candidate = None
                self.completeness.refresh_failed(self.now, candidate.opened_at, last_message_at)
        if self.candidate is None and self.completeness.refresh_due(self.now, START_US):
            self._refresh()
        action = self.lease.check(self.now, True)
        expiry_cutoff = self.completeness.expiry_cutoff(self.now)
        if action is LeaseAction.GIVE_UP or (expiry_cutoff is not None and expiry_cutoff >= START_US):
            self._give_up()
        elif action is LeaseAction.REQUEST_SIGN:
            if self.candidate is None:
                self._refresh()
            else:
                self.sign_answer_at = self.now + ANSWER_DELAY_US
            self.lease.sign_requested(self.now)

    def _refresh(self) -> None:
        self.completeness.refresh_began(self.now)
        self.candidate = Connection(self.now, answer_at=self.now + ANSWER_DELAY_US)
        if self.sends_all:
            self.missed_ends.clear()

    def _give_up(self) -> None:
        provable = self.sends_all and self.now - self.sends_since > PROVABLE_THRESHOLD_US
        if provable:
            self.fault = Fault.GIVEN_UP_WHILE_PROVABLE
        elif not self.sends_all and self.now - self.loss_since < MIN_SILENCE_US:
            self.fault = Fault.GIVEN_UP_IN_SHORT_PAUSE
        self.missed_ends.clear()
        self.completeness.mark_unused(self.now)
        self.lease.mark_unused(self.now)


def find_fault(
    schedule: tuple[Step, ...], make_completeness: Callable[[], Completeness], connect_timeout: int
) -> Fault | None:
    """Run a schedule. Returns what lease and completeness proof did wrong, None if nothing."""
    simulation = Simulation(make_completeness(), Lease(connect_timeout))
    simulation.lease.grant(START_US)
    simulation.lease.message_received(START_US)
    simulation.completeness.mark_unused(START_US)
    for step in schedule:
        if simulation.fault is None:
            simulation.step(step)
    simulation.step(Step.SEND_ALL)
    simulation.run(FINAL_RUN_US)
    return simulation.fault
