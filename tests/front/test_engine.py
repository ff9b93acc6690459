"""The engine: every scenario in `scenarios/`, faulty decisions, and random sequences of events."""

from collections.abc import Callable, Iterable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.decide import Front
from ponddoor.front import effects as fx
from ponddoor.front.effects import ViewerRequest
from ponddoor.front.engine import Engine
from ponddoor.front.limits import AdmissionGate, LagMeter
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import Script
from ponddoor.settings.site import loads

from .conftest import site_text

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
REQUEST = ViewerRequest("t", 0, 0, 0, 3, 2, 2_000_000)


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path, play_engine: Callable[[Path], None]) -> None:
    play_engine(path)


class FaultyDecisions:
    """Decisions that send one SETUP and then raise an exception."""

    facts: SiteFacts

    def clock(self, now: int) -> None: ...

    def observe(self, event: ev.Event) -> None: ...

    def session(self, request: ev.SessionRequest) -> Script:
        yield act.Setup(request.req_id, 1, 1_000_000)
        raise ZeroDivisionError

    def handed_over(self, event: ev.HandedOver) -> Script:
        yield act.Play()

    def upkeep(self) -> Iterable[Script]:
        return []


def engine_with(decisions: FaultyDecisions) -> Engine:
    site = loads(site_text())
    return Engine(decisions, site.facts_of(0, 1), AdmissionGate(site.limits, LagMeter(1 << 60)))


def test_a_fault_in_the_decisions_ends_only_the_session_concerned() -> None:
    engine = engine_with(FaultyDecisions())
    for sess in ("a", "b"):
        engine.request(0, sess, REQUEST, None)
    effects = engine.setup_answered(1000, "a", 0, 1, ev.Result.FULL, {}, {})
    assert [effect.answer.kind for effect in effects if isinstance(effect, fx.Reply)] == ["torn-down"]
    assert (engine.sessions_held, engine.requests_in_hand, engine.counts.faults) == (1, 1, 1)


class AnsweringTwice(FaultyDecisions):
    """Decisions that answer a request twice."""

    def session(self, request: ev.SessionRequest) -> Script:
        yield act.BusyReply(request.req_id, 0)
        yield act.TearDown(request.req_id)


def test_only_the_first_answer_is_sent() -> None:
    engine = engine_with(AnsweringTwice())
    _, effects = engine.request(0, "a", REQUEST, None)
    assert [effect.answer.kind for effect in effects if isinstance(effect, fx.Reply)] == [
        "busy"
    ] and engine.requests_in_hand == 0


class SetupAfterAnswer(FaultyDecisions):
    """Decisions that answer a request and then send a SETUP for it."""

    def __init__(self) -> None:
        self.outcomes: list[object] = []

    def session(self, request: ev.SessionRequest) -> Script:
        yield act.BusyReply(request.req_id, 0)
        self.outcomes.append((yield act.Setup(request.req_id, 1, 1_000_000)))


def test_no_setup_is_sent_for_an_answered_session_that_is_still_remembered() -> None:
    decisions = SetupAfterAnswer()
    engine = engine_with(decisions)
    _, effects = engine.request(0, "a", REQUEST, "again")
    assert engine.find("a") is not None
    assert not any(isinstance(effect, fx.SendSetup) for effect in effects)
    match decisions.outcomes:
        case [ev.Ended(result=ev.Result.MOOT, final=True)]:
            pass
        case _:
            raise AssertionError(decisions.outcomes)


STEP = st.tuples(
    st.sampled_from(["ask", "started", "full", "error", "reset", "left", "lost", "wait"]),
    st.integers(0, 5),
    st.integers(0, 2),
    st.integers(0, 700_000),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=60))
def test_each_request_is_answered_once_with_at_most_one_setup_pending(
    steps: list[tuple[str, int, int, int]],
) -> None:
    site = loads(site_text())
    facts = site.facts_of(0, 1)
    engine = Engine(Front(facts, 0), facts, AdmissionGate(site.limits, LagMeter(1 << 60)))
    rows = tuple(ev.ServerRow(n, 0, 0, n, ev.ServerState.READY, 2.0, 0) for n in range(3))
    answers: dict[str, str] = {}
    pending: dict[str, tuple[int, int]] = {}  # session: attempt and server
    now, requests = 20_000_000, 0

    def check(effects: list[fx.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, fx.SendSetup):
                assert effect.sess not in pending, "two SETUPs pending"
                pending[effect.sess] = (effect.attempt, effect.server)
            elif isinstance(effect, fx.SendTeardown) and pending.get(effect.sess, (-1,))[0] == effect.attempt:
                del pending[effect.sess]
            elif isinstance(effect, fx.Reply):
                assert effect.sess not in answers, "answered twice"
                answers[effect.sess] = effect.answer.kind

    check(engine.server_news(0, ev.NewsScope.CACHED, rows))
    for kind, number, server, pause in steps:
        sess = f"s{number}"
        while (due := engine.next_due) is not None and due <= now + pause:
            check(engine.run_due_timers(due))
        now += pause
        if kind == "ask":
            sess, requests = f"s{requests}", requests + 1
            check(engine.request(now, sess, REQUEST, None)[1])
        elif kind == "left":
            check(engine.viewer_left(now, sess))
        elif kind == "lost":
            check(engine.server_lost(now, server))
        elif kind != "wait" and sess in pending:
            attempt, setup_server = pending.pop(sess)
            result = None if kind == "started" else ev.Result(kind)
            check(engine.setup_answered(now, sess, attempt, setup_server, result, {}, {}))
    while (due := engine.next_due) is not None and due <= now + 3_000_000:
        check(engine.run_due_timers(due))
    assert set(answers) == {f"s{n}" for n in range(requests)} and engine.requests_in_hand == 0
