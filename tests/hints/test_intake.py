"""Which hints a front accepts and which sources it trusts: measurements take precedence over hints."""

from typing import Any

import pytest

from ponddoor.hints.fields import TypedValue
from ponddoor.hints.intake import MAX_AGE_US, MAX_HINTS_PER_S, SECOND, Intake
from ponddoor.hints.trust import Trust
from ponddoor.interface.events import Means, ServerHint

NOW = 100 * SECOND


class IntakeHarness:
    """An intake and its clock, with a session `x` of viewer `v` of tenant `t` on server 1, at 200 kB/s."""

    def __init__(self) -> None:
        self.intake, self.now = Intake(), NOW
        self.intake.update_session(self.now, "x", "v", "t", 1, 200.0)
        self.advance(5)

    def advance(self, seconds: float, share: float | None = 1.0) -> None:
        """Moves the clock, and records the server's share unless it is None."""
        self.now += round(seconds * SECOND)
        if share is not None:
            self.intake.record_server_share(self.now, 1, share)

    def accept_player(
        self, sess: str = "x", age: int = 0, origin: str = "report", **values: Any
    ) -> Means | None:
        return self.intake.accept_session_hints(self.now, sess, values, age, origin)

    def accept_server(self, age: int = 0, **values: Any) -> ServerHint | None:
        return self.intake.accept_server_hints(self.now, 1, values, age)

    def count(self, outcome: str) -> int:
        return self.intake.counts.get(outcome, 0)


@pytest.fixture
def harness() -> IntakeHarness:
    return IntakeHarness()


def test_values_are_converted_to_kb_a_second_and_microseconds(harness: IntakeHarness) -> None:
    harness.intake.record_session_rate(harness.now, "x", 1000.0, 2000.0)
    means = harness.accept_player(mtp=8000, tb=4000, rtp=16_000, bl=2500, dl=900, bs=False)
    assert means == Means(harness.now, 1000.0, 500.0, 2_500_000, 900_000, False)
    harness.advance(6, share=None)
    from_lists = harness.accept_player(
        mtp=(TypedValue(100, "a"), TypedValue(800, "v")), bs=(TypedValue(True, "v"),)
    )
    assert from_lists == Means(harness.now, starved=True)
    assert harness.accept_player(sess="x", sf="d") is None and harness.count("dropped nothing-in-it") == 1


def test_a_hint_that_is_overtaken_too_old_or_from_the_future_is_dropped(harness: IntakeHarness) -> None:
    means = harness.accept_player(age=2 * SECOND, tb=800)
    assert means is not None and means.taken == harness.now - 2 * SECOND
    assert harness.accept_player(age=3 * SECOND, mtp=900) is None and harness.count("dropped overtaken") == 1
    assert (
        harness.accept_player(age=MAX_AGE_US + 1, mtp=900) is None and harness.count("dropped too-old") == 1
    )
    assert (
        harness.accept_player(age=-2 * SECOND, mtp=900) is None
        and harness.count("dropped from-the-future") == 1
    )


def test_a_hint_five_seconds_late_is_accepted_unless_a_fresher_one_was(harness: IntakeHarness) -> None:
    late = harness.accept_player(age=5 * SECOND, tb=800)
    assert late is not None and late.taken == harness.now - 5 * SECOND
    harness.advance(1)
    assert harness.accept_player(tb=900) == Means(harness.now, top_kb=112.5)
    harness.advance(1)
    assert harness.accept_player(age=5 * SECOND, tb=800) is None  # it was measured before the accepted one
    hint = harness.accept_server(age=5 * SECOND, du=True)
    assert hint is not None and hint.taken == harness.now - 5 * SECOND


def test_hints_of_unknown_sessions_and_of_another_session_are_dropped(harness: IntakeHarness) -> None:
    assert harness.accept_player(sess="y", mtp=800) is None
    assert harness.accept_player(origin="passed-on", sid="other", mtp=800) is None
    harness.intake.remove_session("x")
    assert harness.accept_player(mtp=800) is None
    assert harness.count("dropped no-such-session") == 2 and harness.count("dropped other-session") == 1


def test_a_storm_of_reports_is_limited_and_a_session_is_sampled(harness: IntakeHarness) -> None:
    accepted = 0
    for number in range(3000):
        harness.now += 100
        harness.intake.update_session(harness.now, f"s{number}", "", "", 1, 200.0)
        accepted += harness.accept_player(sess=f"s{number}", mtp=800) is not None
    assert accepted == MAX_HINTS_PER_S and harness.count("dropped storm") == 1000
    harness.advance(2)
    assert [harness.accept_player(mtp=800) is not None for _ in range(3)] == [True, False, False]
    harness.advance(0.1, share=0.8)
    assert harness.accept_player(mtp=800) is None and harness.count("dropped sampled") == 1
    # The start of starvation is exempt from sampling.
    assert harness.accept_player(mtp=800, bs=True) is not None


def test_the_tables_of_sessions_and_sources_are_bounded() -> None:
    intake = Intake(Trust(max_sources=3), max_sessions=2)
    for number in range(5):
        intake.update_session(NOW, f"s{number}", "", "", 1, 1.0)
        intake.trust.add_verdict(("viewer", str(number)), False)
    assert list(intake.sessions) == ["s3", "s4"] and intake.counts["sessions-forgotten"] == 3
    assert len(intake.trust.verdicts) == 3 and intake.trust.evicted == 2


def test_a_player_that_always_reports_starvation_is_not_trusted_until_its_hints_agree(
    harness: IntakeHarness,
) -> None:
    for _ in range(4):
        harness.advance(1)
        assert harness.accept_player(bs=True, bl=200) is None  # contradicts the measured full share
    assert harness.count("contradicted starved-at-full-share") == 4
    assert ("viewer", "t/v") in harness.intake.trust.untrusted_sources()
    harness.advance(1)
    assert harness.accept_player(mtp=8000) is None and harness.count("disbelieved viewer") == 1
    for _ in range(8):
        harness.advance(1)
        last = harness.accept_player(mtp=8000)
    assert last is not None and harness.intake.trust.untrusted_sources() == []


def test_starvation_is_accepted_after_a_short_share(harness: IntakeHarness) -> None:
    harness.advance(1, share=0.7)
    harness.advance(1, share=1.0)
    assert harness.accept_player(bs=True, bl=0) is not None
    harness.advance(1)
    assert (
        harness.accept_player(bs=True, bl=20_000) is None
        and harness.count("contradicted starved-and-full") == 1
    )


def test_much_less_throughput_than_was_delivered_is_a_contradiction(harness: IntakeHarness) -> None:
    harness.intake.record_session_rate(harness.now, "x", 400.0)
    assert (
        harness.accept_player(mtp=8 * 250) is None and harness.count("contradicted less-than-delivered") == 1
    )
    for _ in range(4):
        harness.advance(0.6)
        last = harness.accept_player(mtp=8 * 300)
    assert last is not None
    harness.advance(5)  # the measured rate has expired
    assert harness.accept_player(mtp=8 * 100) is not None


def test_a_throughput_is_used_only_if_it_is_the_players_own_limit(harness: IntakeHarness) -> None:
    def accepted_kb(mtp: int, received: float = 0.0, offered: float = 0.0) -> float | None:
        harness.advance(1)
        if received:
            harness.intake.record_session_rate(harness.now, "x", received, offered)
        means = harness.accept_player(mtp=mtp)
        assert means is not None
        return means.throughput_kb

    assert accepted_kb(8 * 300, 300.0, 900.0) == 300.0  # receives a third of the offered rate
    # It receives nearly all of the offered rate: its throughput only reflects how full the link is.
    assert accepted_kb(8 * 300, 300.0, 310.0) is None
    harness.advance(5)
    assert accepted_kb(8 * 150) == 150.0  # offered rate unknown: below the rung's rate at a full share
    assert accepted_kb(8 * 250) is None
    harness.advance(1, share=0.7)
    assert harness.accept_player(mtp=8 * 150, bl=900) == Means(harness.now, buffer=900_000)


def test_a_hint_without_measurements_to_compare_with_is_accepted(harness: IntakeHarness) -> None:
    harness.advance(6, share=None)
    assert harness.accept_player(bs=True, bl=9000) is not None
    harness.advance(1)
    # After a change of rung, shares say little.
    harness.intake.update_session(harness.now, "x", "v", "t", 1, 400.0)
    assert harness.accept_player(bs=True, bl=9000) is not None


def test_a_tenant_with_false_hints_is_not_trusted_as_a_whole_and_another_tenant_is(
    harness: IntakeHarness,
) -> None:
    for number in range(20):
        harness.intake.update_session(harness.now, f"s{number}", f"s{number}", "distrusted", 1, 200.0)
    harness.intake.update_session(harness.now, "fresh", "fresh", "distrusted", 1, 200.0)
    harness.advance(3)
    for number in range(20):
        harness.accept_player(sess=f"s{number}", bs=True)
    assert harness.accept_player(sess="fresh", mtp=8000) is None and harness.count("disbelieved tenant") == 1
    assert harness.accept_player(mtp=8000) is not None
    assert harness.intake.accept_request_hints(harness.now, "new", "distrusted", {"mtp": 800}) is None
    assert harness.intake.accept_request_hints(harness.now, "new", "t", {"mtp": 800}) == Means(
        harness.now, 100.0
    )


def test_a_server_that_reports_no_duress_while_its_share_is_short_loses_trust(harness: IntakeHarness) -> None:
    for _ in range(3):
        harness.advance(1, share=0.6)
        assert harness.accept_server(etp=9000) is None
    assert harness.count("contradicted at-ease-while-short") == 3
    harness.advance(1, share=1.0)
    assert harness.accept_server(etp=9000) is None and harness.count("disbelieved server") == 1
    for _ in range(12):
        harness.advance(1)
        last = harness.accept_server(etp=9000)
    assert last is not None and last.throughput_kb == 1125.0


def test_duress_may_precede_a_short_share_but_not_last_without_one(harness: IntakeHarness) -> None:
    first = harness.accept_server(du=True, mb=800, ht=40)
    assert first == ServerHint(1, harness.now, True, None, 100.0, 40_000)
    for _ in range(8):
        harness.advance(1)
        last = harness.accept_server(du=True)
    assert last is None and harness.count("contradicted duress-at-full-share") == 3
    harness.intake.remove_server(1)
    # It is still not trusted after its removal.
    assert harness.intake.accept_server_hints(harness.now, 1, {"du": True}, 0) is None


def test_a_server_hint_that_was_taken_at_the_same_time_as_the_last_is_dropped(harness: IntakeHarness) -> None:
    # If a server's clock stands still, the age of its hints grows with the time that passes.
    assert harness.accept_server(age=SECOND, du=True) is not None
    harness.now += SECOND // 2
    assert (
        harness.accept_server(age=3 * SECOND // 2, du=True) is None
        and harness.count("dropped overtaken") == 1
    )
