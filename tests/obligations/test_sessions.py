"""The records of requests and sessions: single sequences of events, and all events in random order."""

from collections.abc import Callable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ponddoor.obligations.early_ends import MAX_ENDS, RETENTION_US, EarlyEnd
from ponddoor.obligations.release_delivery import DELIVERY_LIMIT_US
from ponddoor.obligations.sessions import Phase, Sessions

SECOND = 1_000_000
RELEASE_MESSAGE = b"over"


def make_standing(sessions: Sessions[str], session: str = "a", connection: str = "v") -> None:
    sessions.receive(0, session, connection, SECOND)
    assert sessions.submit(0, session)
    assert sessions.answer(0, session, True) == connection


def test_request_is_answered_once() -> None:
    sessions = Sessions[str]()
    sessions.receive(0, "a", "v", SECOND)
    assert sessions.answer(1, "a", False) == "v" and sessions.answer(2, "a", False) is None
    assert not sessions.has_open_requests("v") and not sessions.violations.counts


def test_end_of_a_connection_ends_its_requests_and_no_session() -> None:
    sessions = Sessions[str]()
    make_standing(sessions)
    sessions.receive(1, "b", "v", SECOND)
    assert sessions.connection_ended(2, "v") == ("b",)
    assert sessions.standing_count == 1 and sessions.find("b") is None


def test_record_is_closed_as_the_delivery_of_its_release_ends() -> None:
    ends: tuple[tuple[str, Callable[[Sessions[str]], Any]], ...] = (
        ("acknowledged", lambda sessions: sessions.release_acknowledged(1, "a")),
        ("ended-by-viewer", lambda sessions: sessions.end_by_viewer(1, "a")),
        ("expired", lambda sessions: sessions.delivery.due(60 * SECOND, list)),
        ("left", lambda sessions: sessions.delivery.leave_all(1)),
    )
    for how, end in ends:
        sessions = Sessions[str]()
        make_standing(sessions)
        assert sessions.end_session(0, "a", RELEASE_MESSAGE) and sessions.delivery.pending == ("a",)
        end(sessions)
        assert sessions.find("a") is None and not sessions.delivery.pending
        assert sessions.counts[how] == 1 and not sessions.violations.counts


def test_release_that_is_read_before_the_hand_over_ends_the_session() -> None:
    """A release that was read over a second before the hand-over was forgotten, and the session stood."""
    for hand_over_at, stands in ((RETENTION_US - 1, False), (RETENTION_US, True)):
        sessions = Sessions[str]()
        sessions.readiness_tested(0)
        assert sessions.end_by_viewer(0, "a") is None
        assert (sessions.hand_over(hand_over_at, "a", "v") is None) is stands


def test_release_that_is_read_long_before_the_readiness_test_ends_the_session() -> None:
    sessions = Sessions[str]()
    assert sessions.end_by_viewer(0, "a") is None
    sessions.readiness_tested(2 * RETENTION_US)
    assert sessions.hand_over(3 * RETENTION_US - 1, "a", "v") == EarlyEnd("viewer-gone")


def test_releases_without_number_end_no_session_that_they_do_not_name() -> None:
    sessions = Sessions[str]()
    for number in range(MAX_ENDS + 1):
        sessions.end_by_viewer(0, str(number))
    assert sessions.hand_over(1, "a", "v") is None and sessions.standing_count == 1


def test_unanswered_request_is_a_violation() -> None:
    violations = list[Any]()
    sessions = Sessions[str]()
    sessions.violations.on_violation = violations.append
    sessions.receive(0, "a", "v", SECOND)
    assert not sessions.overdue_requests(SECOND) and sessions.overdue_requests(2 * SECOND) == ["a"]
    assert violations[0].session == "a" and violations[0].history == ("0 received",)


class SessionsMachine(RuleBasedStateMachine):
    """Requests, answers, releases, acknowledgements and ends of connections in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.sessions = Sessions[int]()
        self.now, self.request_count = 0, 0
        self.answer_counts: dict[str, int] = {}
        self.unsent_ends: dict[str, int] = {}
        self.ended: set[str] = set()
        self.open_connections = {0, 1, 2}

    @rule(step=st.integers(1, 300_000))
    def time_passes(self, step: int) -> None:
        self.now += step
        copies = self.sessions.delivery.due(self.now, lambda: sorted(self.open_connections))
        for connection, releases in copies.items():
            assert connection in self.open_connections
            for release in releases:
                record = self.sessions.find(release.session)
                assert record is not None and record.phase is Phase.RELEASING
                self.sessions.release_copied(self.now, release, 1)
                self.unsent_ends.pop(release.session, None)

    @rule(connection=st.integers(0, 2))
    def receive(self, connection: int) -> None:
        self.request_count += 1
        self.open_connections.add(connection)
        self.sessions.receive(self.now, str(self.request_count), connection, SECOND)

    def _pick(self, data: Any) -> str:
        return str(data.draw(st.integers(1, self.request_count)))

    @precondition(lambda self: self.request_count)
    @rule(data=st.data(), stands=st.booleans())
    def answer(self, data: Any, stands: bool) -> None:
        session = self._pick(data)
        record = self.sessions.find(session)
        if record is not None and record.phase in (Phase.STANDING, Phase.RELEASING):
            return  # the engine answers each request once
        if stands and not self.sessions.submit(self.now, session) and record is None:
            assert self.sessions.answer(self.now, session, stands) is None
            return
        if self.sessions.answer(self.now, session, stands) is not None:
            self.answer_counts[session] = self.answer_counts.get(session, 0) + 1

    @precondition(lambda self: self.request_count)
    @rule(data=st.data())
    def session_ends(self, data: Any) -> None:
        session = self._pick(data)
        if self.sessions.end_session(self.now, session, RELEASE_MESSAGE):
            self.unsent_ends[session] = self.now
            self.ended.add(session)

    @precondition(lambda self: self.request_count)
    @rule(data=st.data())
    def viewer_ends(self, data: Any) -> None:
        session = self._pick(data)
        phase = self.sessions.end_by_viewer(self.now, session)
        self.unsent_ends.pop(session, None)
        if phase in (None, Phase.STANDING, Phase.RELEASING):
            self.ended.add(session)

    @precondition(lambda self: self.request_count)
    @rule(data=st.data())
    def acknowledge(self, data: Any) -> None:
        session = self._pick(data)
        self.sessions.release_acknowledged(self.now, session)
        self.unsent_ends.pop(session, None)

    @precondition(lambda self: self.request_count)
    @rule(data=st.data(), connection=st.integers(0, 2))
    def hand_over(self, data: Any, connection: int) -> None:
        session = self._pick(data)
        if self.sessions.find(session) is None and session not in self.ended:
            return  # it was refused, or never stood
        self.open_connections.add(connection)
        end = self.sessions.hand_over(self.now, session, connection)
        if end is not None and self.sessions.end_session(self.now, session, RELEASE_MESSAGE):
            self.unsent_ends[session] = self.now

    @rule(connection=st.integers(0, 2))
    def connection_ends(self, connection: int) -> None:
        self.open_connections.discard(connection)
        ended_requests = self.sessions.connection_ended(self.now, connection)
        assert all(self.sessions.find(session) is None for session in ended_requests)

    @invariant()
    def no_invariant_is_violated(self) -> None:
        assert not self.sessions.violations.counts

    @invariant()
    def no_request_is_answered_twice(self) -> None:
        assert all(count == 1 for count in self.answer_counts.values())

    @invariant()
    def no_session_stands_again_after_its_end(self) -> None:
        records = (self.sessions.find(session) for session in self.ended)
        assert not any(record is not None and record.phase is Phase.STANDING for record in records)

    @invariant()
    def unsent_releases_are_pending(self) -> None:
        assert set(self.unsent_ends) <= set(self.sessions.delivery.pending) | self._expired()

    def _expired(self) -> set[str]:
        limit = DELIVERY_LIMIT_US
        return {session for session, since in self.unsent_ends.items() if self.now - since > limit}

    @invariant()
    def open_requests_are_on_open_connections(self) -> None:
        for connection in (0, 1, 2):
            if connection not in self.open_connections:
                assert not self.sessions.has_open_requests(connection)


TestSessionsMachine = SessionsMachine.TestCase
TestSessionsMachine.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
