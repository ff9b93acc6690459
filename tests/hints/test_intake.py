"""Which hints are taken, and whom a front believes: what was measured wins."""

from typing import Any

import pytest

from ponddoor.hints.fields import TypedValue
from ponddoor.hints.intake import MAX_AGE_US, MAX_HINTS_PER_S, SECOND, Intake
from ponddoor.hints.trust import Trust
from ponddoor.interface.events import Means, ServerHint

NOW = 100 * SECOND


class Desk:
    """An intake with one session `x` of viewer `v` of tenant `t` at server 1, at 200 kB a second."""

    def __init__(self) -> None:
        self.intake, self.now = Intake(), NOW
        self.intake.update_session(self.now, "x", "v", "t", 1, 200.0)
        self.later(5)

    def later(self, seconds: float, share: float | None = 1.0) -> None:
        self.now += round(seconds * SECOND)
        if share is not None:
            self.intake.record_server_share(self.now, 1, share)

    def told(self, sess: str = "x", age: int = 0, origin: str = "report", **values: Any) -> Means | None:
        return self.intake.accept_session_hints(self.now, sess, values, age, origin)

    def said(self, age: int = 0, **values: Any) -> ServerHint | None:
        return self.intake.accept_server_hints(self.now, 1, values, age)

    def count(self, what: str) -> int:
        return self.intake.counts.get(what, 0)


@pytest.fixture
def desk() -> Desk:
    return Desk()


def test_units_become_ours(desk: Desk) -> None:
    desk.intake.record_session_rate(desk.now, "x", 1000.0, 2000.0)
    got = desk.told(mtp=8000, tb=4000, rtp=16_000, bl=2500, dl=900, bs=False)
    assert got == Means(desk.now, 1000.0, 500.0, 2_500_000, 900_000, False)
    desk.later(6, share=None)
    lists = desk.told(mtp=(TypedValue(100, "a"), TypedValue(800, "v")), bs=(TypedValue(True, "v"),))
    assert lists == Means(desk.now, starved=True)
    assert desk.told(sess="x", sf="d") is None and desk.count("dropped nothing-in-it") == 1


def test_hints_carry_their_age(desk: Desk) -> None:
    got = desk.told(age=2 * SECOND, tb=800)
    assert got is not None and got.taken == desk.now - 2 * SECOND
    assert desk.told(age=3 * SECOND, mtp=900) is None and desk.count("dropped overtaken") == 1
    assert desk.told(age=MAX_AGE_US + 1, mtp=900) is None and desk.count("dropped too-old") == 1
    assert desk.told(age=-2 * SECOND, mtp=900) is None and desk.count("dropped from-the-future") == 1


def test_hints_that_come_five_seconds_late_count_as_old_and_give_way_to_fresh_ones(desk: Desk) -> None:
    late = desk.told(age=5 * SECOND, tb=800)
    assert late is not None and late.taken == desk.now - 5 * SECOND
    desk.later(1)
    assert desk.told(tb=900) == Means(desk.now, top_kb=112.5)
    desk.later(1)
    assert desk.told(age=5 * SECOND, tb=800) is None  # it was said before the one that counts
    hint = desk.said(age=5 * SECOND, du=True)
    assert hint is not None and hint.taken == desk.now - 5 * SECOND


def test_hints_of_nobody_and_of_another_session_are_dropped(desk: Desk) -> None:
    assert desk.told(sess="y", mtp=800) is None
    assert desk.told(origin="passed-on", sid="other", mtp=800) is None
    desk.intake.remove_session("x")
    assert desk.told(mtp=800) is None
    assert desk.count("dropped no-such-session") == 2 and desk.count("dropped other-session") == 1


def test_a_storm_is_sampled_and_bounded(desk: Desk) -> None:
    taken = 0
    for number in range(3000):
        desk.now += 100
        desk.intake.update_session(desk.now, f"s{number}", "", "", 1, 200.0)
        taken += desk.told(sess=f"s{number}", mtp=800) is not None
    assert taken == MAX_HINTS_PER_S and desk.count("dropped storm") == 1000
    desk.later(2)
    assert [desk.told(mtp=800) is not None for _ in range(3)] == [True, False, False]
    desk.later(0.1, share=0.8)
    assert desk.told(mtp=800) is None and desk.count("dropped sampled") == 1
    assert desk.told(mtp=800, bs=True) is not None  # who begins to starve is heard at once


def test_the_tables_are_bounded() -> None:
    intake = Intake(Trust(max_sources=3), max_sessions=2)
    for number in range(5):
        intake.update_session(NOW, f"s{number}", "", "", 1, 1.0)
        intake.trust.add_verdict(("viewer", str(number)), False)
    assert list(intake.sessions) == ["s3", "s4"] and intake.counts["sessions-forgotten"] == 3
    assert len(intake.trust.verdicts) == 3 and intake.trust.evicted == 2


def test_who_always_cries_starvation_is_not_believed_until_it_agrees_again(desk: Desk) -> None:
    for _ in range(4):
        desk.later(1)
        assert desk.told(bs=True, bl=200) is None  # all is delivered: the measured share wins
    assert desk.count("contradicted starved-at-full-share") == 4
    assert ("viewer", "t/v") in desk.intake.trust.untrusted_sources()
    desk.later(1)
    assert desk.told(mtp=8000) is None and desk.count("disbelieved viewer") == 1
    for _ in range(8):
        desk.later(1)
        last = desk.told(mtp=8000)
    assert last is not None and desk.intake.trust.untrusted_sources() == []


def test_starving_is_believed_where_the_share_was_short(desk: Desk) -> None:
    desk.later(1, share=0.7)
    desk.later(1, share=1.0)
    assert desk.told(bs=True, bl=0) is not None
    desk.later(1)
    assert desk.told(bs=True, bl=20_000) is None and desk.count("contradicted starved-and-full") == 1


def test_less_than_its_server_saw_it_take(desk: Desk) -> None:
    desk.intake.record_session_rate(desk.now, "x", 400.0)
    assert desk.told(mtp=8 * 250) is None and desk.count("contradicted less-than-delivered") == 1
    for _ in range(4):
        desk.later(0.6)
        last = desk.told(mtp=8 * 300)
    assert last is not None
    desk.later(5)  # what was seen is old by now
    assert desk.told(mtp=8 * 100) is not None


def test_a_throughput_counts_where_it_is_the_players_own_limit(desk: Desk) -> None:
    def heard(mtp: int, gets: float = 0.0, offered: float = 0.0) -> float | None:
        desk.later(1)
        if gets:
            desk.intake.record_session_rate(desk.now, "x", gets, offered)
        got = desk.told(mtp=mtp)
        assert got is not None
        return got.throughput_kb

    assert heard(8 * 300, 300.0, 900.0) == 300.0  # it takes a third of what it is offered
    assert (
        heard(8 * 300, 300.0, 310.0) is None
    )  # it takes all: a bound would only repeat how full the link is
    desk.later(5)
    assert heard(8 * 150) == 150.0  # its server says nothing: less than its rung at a full share
    assert heard(8 * 250) is None
    desk.later(1, share=0.7)
    assert desk.told(mtp=8 * 150, bl=900) == Means(desk.now, buffer=900_000)


def test_nothing_is_held_against_a_hint_that_nothing_was_measured_for(desk: Desk) -> None:
    desk.later(6, share=None)
    assert desk.told(bs=True, bl=9000) is not None
    desk.later(1)
    desk.intake.update_session(desk.now, "x", "v", "t", 1, 400.0)  # a new rung: shares say little yet
    assert desk.told(bs=True, bl=9000) is not None


def test_a_tenant_that_lies_is_disbelieved_as_a_whole_and_its_neighbour_is_not(desk: Desk) -> None:
    for number in range(20):
        desk.intake.update_session(desk.now, f"l{number}", f"l{number}", "liar", 1, 200.0)
    desk.intake.update_session(desk.now, "fresh", "fresh", "liar", 1, 200.0)
    desk.later(3)
    for number in range(20):
        desk.told(sess=f"l{number}", bs=True)
    assert desk.told(sess="fresh", mtp=8000) is None and desk.count("disbelieved tenant") == 1
    assert desk.told(mtp=8000) is not None
    assert desk.intake.accept_request_hints(desk.now, "new", "liar", {"mtp": 800}) is None
    assert desk.intake.accept_request_hints(desk.now, "new", "t", {"mtp": 800}) == Means(desk.now, 100.0)


def test_a_server_at_ease_while_its_share_is_short(desk: Desk) -> None:
    for _ in range(3):
        desk.later(1, share=0.6)
        assert desk.said(etp=9000) is None
    assert desk.count("contradicted at-ease-while-short") == 3
    desk.later(1, share=1.0)
    assert desk.said(etp=9000) is None and desk.count("disbelieved server") == 1
    for _ in range(12):
        desk.later(1)
        last = desk.said(etp=9000)
    assert last is not None and last.throughput_kb == 1125.0


def test_duress_may_come_before_the_shortage_but_not_stay_without_one(desk: Desk) -> None:
    first = desk.said(du=True, mb=800, ht=40)
    assert first == ServerHint(1, desk.now, True, None, 100.0, 40_000)
    for _ in range(8):
        desk.later(1)
        last = desk.said(du=True)
    assert last is None and desk.count("contradicted duress-at-full-share") == 3
    desk.intake.remove_server(1)
    assert desk.intake.accept_server_hints(desk.now, 1, {"du": True}, 0) is None  # its name is still doubted


def test_a_server_whose_clock_stands_still_is_not_heard_twice(desk: Desk) -> None:
    assert desk.said(age=SECOND, du=True) is not None
    desk.now += SECOND // 2
    assert desk.said(age=3 * SECOND // 2, du=True) is None and desk.count("dropped overtaken") == 1
