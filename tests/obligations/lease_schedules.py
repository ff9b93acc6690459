"""Simulates one server with a lease through a schedule of steps, and judges when it was given up.

The server sends messages or is silent. A connection that ended is opened again after 0.5 s. A server that
sends answers a request for a sign of life after 0.1 s. Times are in microseconds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ponddoor.obligations.lease import SECOND, Lease, LeaseAction, LeaseEvent

STEP_DURATION_US = SECOND // 4
RECONNECT_DELAY_US = SECOND // 2
ANSWER_DELAY_US = SECOND // 10
# From the last message, besides pauses of the process; the rest of 8 s is for the release
GIVE_UP_DEADLINE_US = 15 * SECOND // 2
MIN_SILENCE_US = 3 * SECOND // 2  # before a server may be given up
TOLERATED_PAUSE_US = 3 * SECOND  # a server that pauses for less should not be given up
AUDIBLE_THRESHOLD_US = 5 * SECOND // 4  # a server that sends so long is heard: it is asked each second
GRACE_AFTER_PAUSE_US = 2 * SECOND  # added to the limit for each pause of the process
FINAL_RUN_US = 12 * SECOND  # after the steps of a schedule


class Step(Enum):
    """A step of a schedule."""

    RESET = "reset"
    REPEATED_RESETS = "repeated-resets"  # three, each as its connection has just opened
    MALFORMED_INPUT = "malformed-input"
    MESSAGE = "message"
    STOP_SENDING = "stop-sending"
    RESUME_SENDING = "resume-sending"
    WAIT = "wait"  # for 2 s
    PAUSE_PROCESS = "pause-process"  # the process that holds the lease does not run for 5 s


class Fault(Enum):
    """A way in which a lease may fail."""

    KEPT_PAST_LIMIT = "kept past the limit"
    GIVEN_UP_WHILE_AUDIBLE = "given up while its messages could be received"
    GIVEN_UP_IN_SHORT_PAUSE = "given up in a pause of less than 3 s"


@dataclass(slots=True)
class Simulation:
    """One server and its lease, in the course of a schedule."""

    lease: Lease
    now: int = 0
    sends: bool = True
    connected: bool = True
    audible: bool = True  # it sends, and a connection is open
    audible_since: int = -SECOND * 60
    silent_since: int = 0
    reconnect_at: int = 0
    answer_at: int | None = None
    last_message_at: int = 0
    pauses: list[tuple[int, int]] = field(default_factory=list)
    given_up_at: int | None = None

    def step(self, step: Step) -> None:
        match step:
            case Step.RESET:
                self._reset()
            case Step.REPEATED_RESETS:
                for _ in range(3):
                    self._reset()
                    self.run(RECONNECT_DELAY_US + 1)
            case Step.MALFORMED_INPUT if self.connected:
                self.lease.record_event(self.now, LeaseEvent.MALFORMED_INPUT)
            case Step.MESSAGE if self.connected and self.sends:
                self._receive_message()
            case Step.STOP_SENDING if self.sends:
                self.sends = False
                self._update_audible()
            case Step.RESUME_SENDING:
                self.sends = True
                self._update_audible()
            case Step.WAIT:
                self.run(2 * SECOND)
            case Step.PAUSE_PROCESS:
                self.pauses.append((self.now, self.now + 5 * SECOND))
                self.now += 5 * SECOND
        self.run(STEP_DURATION_US)

    def run(self, length: int) -> None:
        until = self.now + length
        while self.now < until and self.given_up_at is None:
            self.now = min(self.now + STEP_DURATION_US // 2, until)
            if not self.connected and self.now >= self.reconnect_at:
                self._connect()
            if self.answer_at is not None and self.now >= self.answer_at:
                self.answer_at = None
                if self.sends and self.connected:
                    self._receive_message()
            self._check()

    def _check(self) -> None:
        action = self.lease.check(self.now, self.connected)
        if action is LeaseAction.REQUEST_SIGN:
            self._request_sign()
        elif action is LeaseAction.GIVE_UP:
            self.given_up_at = self.now

    def _update_audible(self) -> None:
        was_audible, self.audible = self.audible, self.sends and self.connected
        if self.audible and not was_audible:
            self.audible_since = self.now
        elif was_audible and not self.audible and self.now - self.audible_since >= AUDIBLE_THRESHOLD_US:
            self.silent_since = self.now

    def _reset(self) -> None:
        if self.connected:
            self.connected, self.answer_at = False, None
            self._update_audible()
            self.reconnect_at = self.now + RECONNECT_DELAY_US
            self.lease.record_event(self.now, LeaseEvent.BROKEN)

    def _connect(self) -> None:
        self.connected = True
        self._update_audible()
        if self.lease.connected(self.now):
            self._request_sign()

    def _request_sign(self) -> None:
        self.lease.sign_requested(self.now)
        self.answer_at = self.now + ANSWER_DELAY_US

    def _receive_message(self) -> None:
        self.lease.message_received(self.now)
        self.last_message_at = self.now


def find_fault(schedule: tuple[Step, ...], make_lease: Callable[[], Lease]) -> Fault | None:
    """Run a schedule. Returns what the lease did wrong, None if nothing."""
    simulation = Simulation(make_lease())
    simulation.lease.grant(0)
    for step in schedule:
        if simulation.given_up_at is None:
            simulation.step(step)
    simulation.run(FINAL_RUN_US)
    given_up_at = simulation.given_up_at
    pauses = [(begin, end) for begin, end in simulation.pauses if end > simulation.last_message_at]
    allowed = GIVE_UP_DEADLINE_US + sum(end - begin + GRACE_AFTER_PAUSE_US for begin, end in pauses)
    if not simulation.sends and (given_up_at or simulation.now) > simulation.last_message_at + allowed:
        return Fault.KEPT_PAST_LIMIT
    if given_up_at is None:
        return None
    silent_until = simulation.audible_since if simulation.audible else given_up_at
    if (
        given_up_at - silent_until >= AUDIBLE_THRESHOLD_US
        or silent_until - simulation.silent_since < MIN_SILENCE_US
    ):
        return Fault.GIVEN_UP_WHILE_AUDIBLE
    return (
        Fault.GIVEN_UP_IN_SHORT_PAUSE if silent_until - simulation.silent_since < TOLERATED_PAUSE_US else None
    )
