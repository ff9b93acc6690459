"""Which releases a server may not have read: what proves it, and what is sent again."""

from ponddoor.obligations.lease import RELEASE_LIMIT_US, SECOND
from ponddoor.obligations.server_releases import MAX_UNPROVEN_RELEASES, ServerReleases


def with_releases(*times: int) -> ServerReleases:
    releases = ServerReleases()
    for number, now in enumerate(times):
        assert releases.sent(now, str(number), now) is None
    return releases


def test_release_is_unproven_however_long_its_connection_stays_open() -> None:
    """It counted as read after a second."""
    releases = with_releases(0)
    assert releases.take_unproven(5 * SECOND) == {"0": 0}


def test_acknowledgement_proves_one_release() -> None:
    releases = with_releases(1, 2)
    assert releases.proven("0") and not releases.proven("0")
    assert releases.take_unproven(3) == {"1": 2}


def test_answer_proves_the_releases_that_were_written_before_its_message() -> None:
    releases = with_releases(1, 2, 3)
    releases.read_through(2)
    assert releases.oldest_sent_at(4) == 2
    assert releases.take_unproven(4) == {"1": 2, "2": 3}


def test_release_is_due_no_longer_than_its_rule_wants_however_often_it_is_sent() -> None:
    releases = ServerReleases()
    releases.sent(7 * SECOND, "a", 0)
    assert releases.take_unproven(RELEASE_LIMIT_US) == {"a": 0}
    releases.sent(RELEASE_LIMIT_US, "a", 0)
    assert releases.oldest_sent_at(RELEASE_LIMIT_US + 1) is None


def test_release_that_is_forgotten_for_another_is_named() -> None:
    releases = with_releases(*range(MAX_UNPROVEN_RELEASES))
    assert releases.sent(MAX_UNPROVEN_RELEASES, "next", MAX_UNPROVEN_RELEASES) == "0"
