"""The engine: every scenario in `scenarios/`, and a fault in the decisions."""

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
ASK = ViewerRequest("t", 0, 0, 0, 3, 2, 2_000_000)


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path, play_engine: Callable[[Path], None]) -> None:
    play_engine(path)


class Faulty:
    """Decisions that send one SETUP and then fail."""

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


def engine_of(decisions: Faulty) -> Engine:
    site = loads(site_text())
    return Engine(decisions, site.facts_of(0, 1), AdmissionGate(site.limits, LagMeter(1 << 60)))


def test_a_fault_in_the_decisions_loses_nobody() -> None:
    engine = engine_of(Faulty())
    for sess in ("a", "b"):
        engine.request(0, sess, ASK, None)
    out = engine.setup_answered(1000, "a", 0, 1, ev.Result.FULL, {}, {})
    assert [e.answer.kind for e in out if isinstance(e, fx.Reply)] == ["torn-down"]
    assert (engine.sessions_held, engine.requests_in_hand, engine.counts.faults) == (1, 1, 1)


class AnswersTwice(Faulty):
    """Decisions that answer, and answer again."""

    def session(self, request: ev.SessionRequest) -> Script:
        yield act.BusyReply(request.req_id, 0)
        yield act.TearDown(request.req_id)


def test_only_the_first_answer_goes_out() -> None:
    engine = engine_of(AnswersTwice())
    _, out = engine.request(0, "a", ASK, None)
    assert [e.answer.kind for e in out if isinstance(e, fx.Reply)] == [
        "busy"
    ] and engine.requests_in_hand == 0


class AnswersThenSends(Faulty):
    """Decisions that answer, and send a SETUP all the same."""

    def __init__(self) -> None:
        self.got: list[object] = []

    def session(self, request: ev.SessionRequest) -> Script:
        yield act.BusyReply(request.req_id, 0)
        self.got.append((yield act.Setup(request.req_id, 1, 1_000_000)))


def test_who_is_answered_is_not_sent_on_while_remembered() -> None:
    decisions = AnswersThenSends()
    engine = engine_of(decisions)
    _, out = engine.request(0, "a", ASK, "again")
    assert engine.find("a") is not None
    assert not any(isinstance(e, fx.SendSetup) for e in out)
    match decisions.got:
        case [ev.Ended(result=ev.Result.MOOT, final=True)]:
            pass
        case _:
            raise AssertionError(decisions.got)


STEP = st.tuples(
    st.sampled_from(["ask", "started", "full", "error", "reset", "left", "lost", "wait"]),
    st.integers(0, 5),
    st.integers(0, 2),
    st.integers(0, 700_000),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=60))
def test_any_course_answers_each_request_once_with_one_setup_out(
    steps: list[tuple[str, int, int, int]],
) -> None:
    site = loads(site_text())
    facts = site.facts_of(0, 1)
    engine = Engine(Front(facts, 0), facts, AdmissionGate(site.limits, LagMeter(1 << 60)))
    rows = tuple(ev.ServerRow(n, 0, 0, n, ev.ServerState.READY, 2.0, 0) for n in range(3))
    answers: dict[str, str] = {}
    out: dict[str, tuple[int, int]] = {}
    now, asked = 20_000_000, 0

    def take(effects: list[fx.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, fx.SendSetup):
                assert effect.sess not in out, "two SETUPs out"
                out[effect.sess] = (effect.attempt, effect.server)
            elif isinstance(effect, fx.SendTeardown) and out.get(effect.sess, (-1,))[0] == effect.attempt:
                del out[effect.sess]
            elif isinstance(effect, fx.Reply):
                assert effect.sess not in answers, "answered twice"
                answers[effect.sess] = effect.answer.kind

    take(engine.server_news(0, ev.NewsScope.CACHED, rows))
    for what, who, server, pause in steps:
        sess = f"s{who}"
        while (due := engine.next_due) is not None and due <= now + pause:
            take(engine.run_due_timers(due))
        now += pause
        if what == "ask":
            sess, asked = f"s{asked}", asked + 1
            take(engine.request(now, sess, ASK, None)[1])
        elif what == "left":
            take(engine.viewer_left(now, sess))
        elif what == "lost":
            take(engine.server_lost(now, server))
        elif what != "wait" and sess in out:
            attempt, at = out.pop(sess)
            result = None if what == "started" else ev.Result(what)
            take(engine.setup_answered(now, sess, attempt, at, result, {}, {}))
    while (due := engine.next_due) is not None and due <= now + 3_000_000:
        take(engine.run_due_timers(due))
    assert set(answers) == {f"s{n}" for n in range(asked)} and engine.requests_in_hand == 0
