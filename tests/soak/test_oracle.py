"""The oracle finds each guard that is taken out, and nothing where all is refused."""

import asyncio
import sys
from pathlib import Path

import msgspec
import pytest

from ponddoor.soak.conditions import Condition
from ponddoor.soak.oracle import Oracle
from ponddoor.soak.plan import LONG_SESSIONS_S, Fault, Plan, draw
from ponddoor.soak.records import (
    FOREVER,
    AnswerKind,
    Attempt,
    AttemptEnd,
    NodeLife,
    Request,
    Session,
    SessionEnd,
)
from ponddoor.soak.run import Outcome, SoakRun
from tests.soak.mutants import MUTANTS
from tests.soak.test_regressions import plan
from tests.soak.test_server_conditions import struck_plan

AT_ONCE = 4
LONGER_S = {"asks_seldom": 14.0, "offers_to_no_further_connection": 11.0}
TERMINATED = (
    Fault("server_hangs", 0.5, 9.0, 0),
    Fault("terminate", 1.5, 1.0, 0),
    Fault("terminate", 1.6, 1.0, 1),
)


def plan_for(mutant: str) -> Plan:
    """A short run that a node without this guard does not pass."""
    faults: tuple[Fault, ...] = TERMINATED
    # In the instant of the kill a set-up has to be out, which takes many connections
    crowded = mutant == "keeps_connections_until_the_kill"
    changes = {"nodes": 2, "servers": 2, "connections": 40 if crowded else 6}
    match mutant:
        case "connects_renew_sessions":
            return struck_plan(Condition("hangs", "reset", after_s=2.0))
        case "rubbish_renews_sessions":
            return struck_plan(Condition("runs", "stay", "rubbish"))
        case "never_connects_anew":
            forgotten = struck_plan(Condition("runs", "forgotten"), lasting=(0.5,))
            return msgspec.structs.replace(forgotten, session_s=LONG_SESSIONS_S)
        case "any_message_proves":
            return struck_plan(Condition("stands"), lasting=(4.0,))
        case "writes_a_release_once":
            faults = (Fault("release_crossings", 0.0, 7.0, 0), Fault("release_crossings", 0.0, 7.0, 1))
        case "offers_to_no_further_connection":
            faults = tuple(Fault("all_links_drop_to_viewers", 0.5, 2.0, node) for node in range(2))
        case "ignores_drains":
            faults = (Fault("server_drains", 1.0, 3.0, 0),)
        case "asks_seldom":
            faults = (Fault("discovery_refuses", 0.5, 5.0, 0), Fault("server_drains", 6.0, 2.0, 0))
        case "sends_for_clients_that_left":
            faults = (Fault("server_hangs", 0.5, 4.0, 0), Fault("client_leaves", 0.5, 5.0, 0))
        case "gives_up_nothing_at_servers":
            # One server hangs at a time, and the others have room for what goes on elsewhere
            faults = tuple(Fault("server_hangs", 0.5 + number, 0.9, number) for number in range(6))
            changes |= {"servers": 4, "connections": 4}
        case "repeats_what_runs_once":
            faults = (Fault("server_errors", 0.5, 4.0, 0), Fault("server_drops_connections", 2.0, 1.0, 1))
        case "answers_twice" | "keeps_sessions_at_servers":
            faults = ()
    longer_ms = {"closes_without_answers": 5000.0, "gives_up_nothing_at_servers": 3000.0}
    deadline_ms = longer_ms.get(mutant, 1000.0)
    made = plan(deadline_ms, LONGER_S.get(mutant, 7.0), faults, **changes)
    if mutant == "repeats_what_runs_once":
        once = msgspec.structs.replace(made.classes[0], semantics="once")
        made = msgspec.structs.replace(made, classes=(once,))
    return made


async def play(made: Plan, folder: Path, program: tuple[str, ...], room: asyncio.Semaphore) -> Outcome:
    folder.mkdir()
    async with room:
        return await SoakRun(made, folder, program).play()


# Its fault lies in microseconds of a crowd; it is played by hand, with many seeds
BY_HAND = {"closes_the_listener_at_once"}


def test_each_guard_that_is_taken_out_is_found(tmp_path: Path) -> None:
    async def all_of_them() -> dict[str, Outcome]:
        room = asyncio.Semaphore(AT_ONCE)
        names = [name for name in MUTANTS if name not in BY_HAND]
        runs = (
            play(plan_for(name), tmp_path / name, (sys.executable, "-m", "tests.soak.mutants", name), room)
            for name in names
        )
        return dict(zip(names, await asyncio.gather(*runs), strict=True))

    outcomes = asyncio.run(all_of_them())
    assert not [name for name, outcome in outcomes.items() if not outcome.violations]


@pytest.mark.parametrize(
    ("crossing_s", "noticed_late_s", "lost"),
    [(0.04, 0.0, False), (0.06, 0.0, True), (0.06, 0.02, False), (0.09, 0.02, True)],
)
def test_a_set_up_is_excused_only_within_the_crossing_that_the_page_allows(
    crossing_s: float, noticed_late_s: float, lost: bool
) -> None:
    oracle = Oracle(0.5)
    request = Request("1", NodeLife(0, 0.0), "gold", False, 10.0, 11.0)
    request.connection_ended_at = 10.0 + crossing_s
    request.resent, request.crossing_s = True, crossing_s
    oracle.requests["1"] = request
    if noticed_late_s:
        oracle.note_lag(request.connection_ended_at, noticed_late_s)
    assert bool(oracle.verdict(20.0)) is lost


@pytest.mark.parametrize(("stalled_s", "twice"), [(0.0, True), (0.3, True), (0.4, False)])
def test_two_attempts_are_out_at_once_unless_a_stall_hid_the_end_of_the_first(
    stalled_s: float, twice: bool
) -> None:
    oracle = Oracle(0.5)
    request = Request("1", NodeLife(0, 0.0), "gold", False, 10.0, 11.0)
    request.answers.append((10.6, AnswerKind.FAILED))
    oracle.requests["1"] = request
    second = Attempt("b", 10.1)
    first = Attempt("a", 10.0, second.arrived_at + 0.42, AttemptEnd.GIVEN_UP)
    oracle.attempts["1"] = [first, second]
    oracle.note_lag(second.arrived_at + stalled_s, stalled_s)
    assert bool(oracle.verdict(20.0)) is twice


@pytest.mark.parametrize(
    ("told_s", "viewer_ended_s", "broken"),
    [
        (10.0, FOREVER, True),
        (10.0, 10.9, False),
        (10.0, 11.1, True),
        (17.5, 18.0, False),
        (17.5, 18.1, True),
        (FOREVER, 17.9, False),
        (FOREVER, 18.1, True),
    ],
)
def test_a_viewer_that_ends_its_session_in_time_is_owed_no_release(
    told_s: float, viewer_ended_s: float, broken: bool
) -> None:
    oracle = Oracle(0.5)
    life = NodeLife(0, 0.0, ready_at=1.0, connected=[(2.0, FOREVER)])
    request = Request("1", life, "gold", False, 9.0, 10.0)
    request.answers.append((9.1, AnswerKind.STANDS))
    oracle.requests["1"] = request
    session = Session("1", "a", life, 9.1, ended_at=10.0, end=SessionEnd.SERVER, told_node_at=told_s)
    session.viewer_released_at = viewer_ended_s
    oracle.sessions["1"] = session
    assert any(one.rule == "release" for one in oracle.verdict(30.0)) is broken


@pytest.mark.parametrize(("answered_s", "late"), [(11.94, False), (11.96, True)])
def test_a_pause_within_the_time_that_a_pause_gives_counts_too(answered_s: float, late: bool) -> None:
    oracle = Oracle(0.5)
    life = NodeLife(0, 0.0, ready_at=1.0, pauses=[(10.5, 10.7), (11.6, 11.8)])
    request = Request("1", life, "gold", False, 10.0, 11.0)
    request.answers.append((answered_s, AnswerKind.FAILED))
    oracle.requests["1"] = request
    assert bool(oracle.verdict(30.0)) is late


def test_a_release_counts_where_a_connection_is_still_open_at_the_end(tmp_path: Path) -> None:
    run = SoakRun(plan(1000.0, 1.0, (), nodes=1), tmp_path)
    asyncio.run(run.play())
    assert any(ended == FOREVER for life in run.oracle.lives for _, ended in life.connected)


def test_a_node_that_refuses_all_breaks_no_rule(tmp_path: Path) -> None:
    program = (sys.executable, str(Path(__file__).parent / "refusing_node.py"))
    outcome = asyncio.run(SoakRun(draw(7, 12.0, 4), tmp_path, program).play())
    assert outcome.requests > 100 and outcome.served == 0
    broken = [one.what for one in outcome.violations]
    assert not broken, "\n".join(broken)


def cut_session(mute: tuple[float, float] | None, viewer_ends_at: float = FOREVER) -> Oracle:
    """A session that its node ended at 20; its server was mute in the span `mute`."""
    oracle = Oracle(0.5)
    request = Request("1", NodeLife(0, 0.0), "gold", False, 10.0, 11.0)
    request.answers.append((10.1, AnswerKind.STANDS))
    oracle.requests["1"] = request
    session = Session("1", "s", request.life, 10.1, 20.0, SessionEnd.NODE)
    session.viewer_ends_at = viewer_ends_at
    oracle.sessions["1"] = session
    if mute is not None:
        oracle.mute_spans["s", 0] = [mute]
    return oracle


@pytest.mark.parametrize(
    ("mute", "viewer_ends_at", "cut"),
    [
        (None, FOREVER, True),
        (None, 19.9, False),
        ((12.0, FOREVER), FOREVER, False),
        ((17.5, FOREVER), FOREVER, True),
        ((12.0, 19.0), FOREVER, False),
        ((12.0, 18.0), FOREVER, True),
    ],
)
def test_a_session_is_cut_by_right_only_after_a_silence_of_its_server(
    mute: tuple[float, float] | None, viewer_ends_at: float, cut: bool
) -> None:
    broken = {one.rule for one in cut_session(mute, viewer_ends_at).verdict(40.0)}
    assert ("cut" in broken) is cut


def test_a_session_is_cut_when_its_viewer_hears_of_it_however_late_its_server_does() -> None:
    for heard_s, cut in ((13.9, False), (15.6, True), (FOREVER, True)):
        oracle = cut_session((4.0, 14.0))
        oracle.sessions["1"].heard_at = heard_s
        assert any(one.rule == "cut" for one in oracle.verdict(30.0)) is cut


@pytest.mark.parametrize(
    ("sound", "sigterm_at", "told_again_s", "broken"),
    [
        ([(0.0, 9.5)], FOREVER, FOREVER, False),
        ([(0.0, 12.0)], FOREVER, FOREVER, True),  # the process had a link and the time
        ([(0.0, 9.5)], 11.0, FOREVER, True),  # it was told to end, and had to leave it to the next one
        ([(0.0, 9.5)], FOREVER, 13.5, True),
    ],
)
def test_an_end_that_died_with_a_killed_process_without_a_sound_link_is_nobodys(
    sound: list[tuple[float, float]], sigterm_at: float, told_again_s: float, broken: bool
) -> None:
    """Its server says a release on one further connection alone, which was one of that process."""
    oracle = Oracle(0.5)
    killed = NodeLife(0, 0.0, sigterm_at=sigterm_at, killed_at=12.0, exited_at=12.0, connected=sound)
    life = NodeLife(0, 12.5, ready_at=13.0, connected=[(13.0, FOREVER)])
    session = Session("1", "s", life, 5.0, 10.0, SessionEnd.SERVER, told_again_s, handed_over_at=13.1)
    session.told_before = (10.5, killed)
    oracle.lives, oracle.sessions = [killed, life], {"1": session}
    assert any(one.rule == "release" for one in oracle.verdict(40.0)) is broken


@pytest.mark.parametrize(("again_at", "parted"), [(15.4, False), (15.6, True)])
def test_two_silences_are_one_where_a_node_may_have_missed_what_is_between(
    again_at: float, parted: bool
) -> None:
    oracle = Oracle(0.5)
    oracle.note_mute("s", 0, 10.0)
    oracle.note_heard_again("s", 0, 14.0)
    oracle.note_mute("s", 0, again_at)
    assert len(oracle.mute_spans["s", 0]) == 1 + parted


@pytest.mark.parametrize(("heard_s", "broken"), [(20.9, False), (21.1, True)])
def test_a_viewer_hears_of_a_session_that_its_node_has_ended(heard_s: float, broken: bool) -> None:
    oracle = cut_session((14.0, FOREVER))
    session = oracle.sessions["1"]
    session.heard_at = heard_s
    session.life.connected.append((0.0, FOREVER))
    assert any(one.rule == "release" for one in oracle.verdict(40.0)) is broken


def test_a_release_that_its_server_says_after_eight_seconds_is_due_by_then() -> None:
    oracle = cut_session(None)
    session = oracle.sessions["1"]
    session.end, session.told_node_at, session.heard_at = SessionEnd.SERVER, 32.0, 32.1
    session.life.connected.append((0.0, FOREVER))
    assert [one.rule for one in oracle.verdict(40.0)] == ["release"]
