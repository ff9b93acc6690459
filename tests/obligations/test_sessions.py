"""The records of requests and sessions: single courses, and random orders of all that may happen."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ponddoor.obligations.sessions import (
    ACK_TIMEOUT_US,
    EARLY_RELEASE_TIMEOUT_US,
    MAX_REPEATS,
    RESEND_INTERVAL_US,
    SETTLE_AFTER_US,
    ConnectionEnd,
    Phase,
    Sessions,
)

SECOND = 1_000_000
OVER = b"over"


def standing(sessions: Sessions[str], session: str = "a", connection: str = "v") -> None:
    sessions.receive(0, session, connection, SECOND)
    assert sessions.submit(0, session)
    assert sessions.answer(0, session, True) == connection


def test_a_request_is_answered_once() -> None:
    sessions = Sessions[str]()
    sessions.receive(0, "a", "v", SECOND)
    assert sessions.answer(1, "a", False) == "v" and sessions.answer(2, "a", False) is None
    assert not sessions.has_open_requests("v") and not sessions.violations.counts


def test_the_end_of_a_connection_ends_its_set_ups_and_no_session() -> None:
    sessions = Sessions[str]()
    standing(sessions)
    sessions.receive(1, "b", "v", SECOND)
    assert sessions.connection_ended(2, "v") == ConnectionEnd(("b",), ())
    assert sessions.standing_count == 1 and sessions.find("b") is None


def test_a_release_whose_connection_ends_is_due_again_at_once() -> None:
    sessions = Sessions[str]()
    standing(sessions)
    assert sessions.end_session(10, "a", OVER)
    sessions.release_sent(10, "a", "v")
    assert not sessions.due_releases(11)
    assert sessions.connection_ended(11, "v").resend == ("a",)
    assert [record.session for record in sessions.due_releases(11)] == ["a"]


def test_a_release_that_is_not_acknowledged_is_repeated_a_few_times() -> None:
    sessions = Sessions[str]()
    sessions.release_acknowledged(0, "x")
    standing(sessions)
    sessions.end_session(0, "a", OVER)
    sent = 0
    for now in range(0, ACK_TIMEOUT_US + SECOND, RESEND_INTERVAL_US // 4):
        for record in sessions.due_releases(now):
            sessions.release_sent(now, record.session, "v")
            sent += 1
    assert sent == 1 + MAX_REPEATS and not sessions.pending_releases


def test_where_nobody_acknowledges_a_release_is_settled_with_time() -> None:
    sessions = Sessions[str]()
    standing(sessions)
    sessions.end_session(0, "a", OVER)
    sessions.release_sent(0, "a", "v")
    assert not sessions.due_releases(SETTLE_AFTER_US) and not sessions.pending_releases


def test_a_release_that_comes_before_its_hand_over_ends_the_session() -> None:
    for later, plays in ((EARLY_RELEASE_TIMEOUT_US - 1, False), (EARLY_RELEASE_TIMEOUT_US, True)):
        sessions = Sessions[str]()
        assert sessions.end_by_viewer(0, "a") is None
        assert sessions.hand_over(later, "a", "v") is plays


def test_a_set_up_that_nobody_answers_is_a_violation() -> None:
    told = list[Any]()
    sessions = Sessions[str]()
    sessions.violations.on_violation = told.append
    sessions.receive(0, "a", "v", SECOND)
    assert not sessions.overdue_requests(SECOND) and sessions.overdue_requests(2 * SECOND) == ["a"]
    assert told[0].session == "a" and told[0].history == ("0 received",)


class AnyOrder(RuleBasedStateMachine):
    """Requests, answers, ends, acknowledgements and ends of connections in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.sessions = Sessions[int]()
        self.now, self.ids = 0, 0
        self.answered: dict[str, int] = {}
        self.owed: dict[str, int] = {}
        self.open_connections = {0, 1, 2}

    @rule(step=st.integers(1, 300_000))
    def time_passes(self, step: int) -> None:
        self.now += step
        for record in self.sessions.due_releases(self.now):
            assert record.phase is Phase.RELEASING
            usable = sorted(self.open_connections)
            if usable:
                self.sessions.release_sent(self.now, record.session, usable[record.phase_since % len(usable)])
                self.owed.pop(record.session, None)

    @rule(connection=st.integers(0, 2))
    def receive(self, connection: int) -> None:
        self.ids += 1
        self.open_connections.add(connection)
        self.sessions.receive(self.now, str(self.ids), connection, SECOND)

    def _pick(self, data: Any) -> str:
        return str(data.draw(st.integers(1, self.ids)))

    @precondition(lambda self: self.ids)
    @rule(data=st.data(), stands=st.booleans())
    def answer(self, data: Any, stands: bool) -> None:
        session = self._pick(data)
        record = self.sessions.find(session)
        if record is not None and record.phase in (Phase.STANDING, Phase.RELEASING):
            return  # the engine answers once
        if stands and not self.sessions.submit(self.now, session) and record is None:
            assert self.sessions.answer(self.now, session, stands) is None
            return
        if self.sessions.answer(self.now, session, stands) is not None:
            self.answered[session] = self.answered.get(session, 0) + 1

    @precondition(lambda self: self.ids)
    @rule(data=st.data())
    def session_ends(self, data: Any) -> None:
        session = self._pick(data)
        if self.sessions.end_session(self.now, session, OVER):
            self.owed[session] = self.now

    @precondition(lambda self: self.ids)
    @rule(data=st.data())
    def viewer_ends(self, data: Any) -> None:
        session = self._pick(data)
        self.sessions.end_by_viewer(self.now, session)
        self.owed.pop(session, None)

    @precondition(lambda self: self.ids)
    @rule(data=st.data())
    def acknowledge(self, data: Any) -> None:
        session = self._pick(data)
        self.sessions.release_acknowledged(self.now, session)
        self.owed.pop(session, None)

    @rule(connection=st.integers(0, 2))
    def connection_ends(self, connection: int) -> None:
        self.open_connections.discard(connection)
        end = self.sessions.connection_ended(self.now, connection)
        assert all(self.sessions.find(session) is None for session in end.ended_requests)
        assert set(end.resend) <= set(self.sessions.pending_releases)

    @invariant()
    def no_invariant_is_violated(self) -> None:
        assert not self.sessions.violations.counts

    @invariant()
    def every_request_is_answered_once_at_most(self) -> None:
        assert all(count == 1 for count in self.answered.values())

    @invariant()
    def what_is_owed_is_pending(self) -> None:
        assert set(self.owed) <= set(self.sessions.pending_releases) | self._expired()

    def _expired(self) -> set[str]:
        return {session for session, since in self.owed.items() if self.now - since > ACK_TIMEOUT_US}

    @invariant()
    def open_set_ups_are_on_open_connections(self) -> None:
        for connection in (0, 1, 2):
            if connection not in self.open_connections:
                assert not self.sessions.has_open_requests(connection)


TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
