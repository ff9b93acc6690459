"""Whether a SETUP may be written, by the state of its request at that moment."""

import pytest

from ponddoor.obligations.sessions import Sessions
from ponddoor.obligations.setup_rule import MAX_READS_AWAITED, SetupRule, Verdict
from ponddoor.obligations.violations import Invariant

WAIT_US = 1_000_000


def open_request(unread: bool = False) -> tuple[Sessions[str], SetupRule[str]]:
    sessions = Sessions[str]()
    sessions.receive(0, "s", "viewer", WAIT_US)
    sessions.submit(0, "s")
    return sessions, SetupRule(sessions, lambda connection: unread)


def test_setup_of_an_open_request_is_sent() -> None:
    sessions, rule = open_request()
    assert rule.judge(WAIT_US, "s", 0) is Verdict.SEND
    assert not sessions.violations.counts


@pytest.mark.parametrize("end", ["withdrawn", "answered", "connection ended"])
def test_setup_of_a_request_that_has_ended_is_not_sent(end: str) -> None:
    sessions, rule = open_request()
    match end:
        case "withdrawn":
            sessions.end_by_viewer(1, "s")
        case "answered":
            sessions.answer(1, "s", False)
        case _:
            sessions.connection_ended(1, "viewer")
    assert rule.judge(2, "s", 0) is Verdict.ENDED
    assert sessions.violations.counts == {Invariant.FORWARDED_WHILE_OPEN.value: 1}


def test_setup_whose_viewer_waits_no_longer_is_not_sent() -> None:
    sessions, rule = open_request()
    assert rule.judge(WAIT_US + 1, "s", 0) is Verdict.EXPIRED
    assert sessions.counts["setup-expired"] == 1 and not sessions.violations.counts


def test_setup_waits_until_what_its_viewer_wrote_is_read_but_not_for_ever() -> None:
    _, rule = open_request(unread=True)
    verdicts = [rule.judge(1, "s", awaited) for awaited in range(MAX_READS_AWAITED + 1)]
    assert verdicts == [Verdict.AWAIT_READS] * MAX_READS_AWAITED + [Verdict.SEND]
