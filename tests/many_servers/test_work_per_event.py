"""The work of one event does not grow with the number of servers that it does not concern."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from ponddoor.interface import events as ev

from .harness import SECOND, FrontHarness, lines_run_by, make_facts, make_row

SERVER_COUNTS = (200, 800, 3200, 12_800)
# Lines run relative to the same event with fewest servers; random choices and sessions differ a little
MAX_GROWTH_RATIO = 1.5
CHANGED_ROWS = 20
PLAYING_SESSIONS = 6


def list_change(harness: FrontHarness) -> int:
    """Twenty rows of the list change their state."""
    rows = [make_row(harness.site, server, ev.ServerState.DRAINING) for server in range(1, CHANGED_ROWS + 1)]
    return lines_run_by(lambda: harness.feed(ev.ServerNews(ev.NewsScope.CHANGES, tuple(rows))))


def replaced_servers(harness: FrontHarness) -> int:
    """Twenty servers are gone and twenty new ones are listed."""
    first = harness.servers + 1
    gone = [make_row(harness.site, server, ev.ServerState.GONE) for server in range(1, CHANGED_ROWS + 1)]
    new = [replace(make_row(harness.site, first + n), started_at=harness.now) for n in range(CHANGED_ROWS)]
    return lines_run_by(lambda: harness.feed(ev.ServerNews(ev.NewsScope.CHANGES, (*gone, *new))))


def set_up(harness: FrontHarness) -> int:
    """A session is placed, after a query to owners."""
    return lines_run_by(lambda: harness.set_up(7))


def refusal(harness: FrontHarness) -> int:
    """A session is refused because all holders of its title drain."""
    cells = harness.site.plant.cells
    holders = [s for s in range(1, harness.servers + 1) if (s % cells - 7) % cells < 2]
    rows = tuple(make_row(harness.site, server, ev.ServerState.DRAINING) for server in holders)
    harness.feed(ev.ServerNews(ev.NewsScope.CHANGES, rows))
    return lines_run_by(lambda: (harness.request(7), harness.run_until(harness.now + SECOND // 4)))


def release(harness: FrontHarness) -> int:
    """A session that plays ends at its server."""
    number, server = harness.start(11)
    ended = ev.Ended(number, 0, server, ev.Result.SERVED, True, SECOND, {})
    return lines_run_by(lambda: harness.feed(ended))


def report(harness: FrontHarness) -> int:
    """A probe brings a server's load."""
    return lines_run_by(lambda: harness.feed(ev.Probed(9, 1000, ev.Result.SERVED, {"link_asked": 0.4})))


def failure(harness: FrontHarness) -> int:
    """A SETUP fails at its server and another server is tried."""
    number, setup = harness.set_up(23)
    ended = ev.Ended(number, 0, setup.server, ev.Result.CONNECT_FAILED, False, SECOND, {})
    return lines_run_by(lambda: harness.feed(ended))


def period(harness: FrontHarness) -> int:
    """Ten seconds in which a few sessions play and nothing else happens."""
    for home in range(PLAYING_SESSIONS):
        harness.start(30 + 2 * home)
    return lines_run_by(lambda: harness.run_until(harness.now + 10 * SECOND))


def note(harness: FrontHarness) -> int:
    """A server delivers less than it should, twice."""
    number, server = harness.start(11)
    harness.run_until(harness.now + SECOND)
    notes = [ev.Note(number, ev.NoteKind.DELIVERED, 0.5, server)] * 2
    return lines_run_by(lambda: [harness.feed(event) for event in notes])


EVENTS = (list_change, replaced_servers, set_up, refusal, release, report, failure, note, period)


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_work_does_not_grow_with_servers_that_the_event_does_not_concern(
    event: Callable[[FrontHarness], int],
) -> None:
    line_counts = {}
    for count in SERVER_COUNTS:
        harness = FrontHarness(make_facts(count), count)
        harness.run_until(harness.now + SECOND)
        line_counts[count] = event(harness)
    assert max(line_counts.values()) <= MAX_GROWTH_RATIO * line_counts[SERVER_COUNTS[0]], line_counts


def set_ups(harness: FrontHarness) -> int:
    """Ten sessions of a title that all servers hold are placed one after another."""
    all_cells = harness.site.plant.cells
    return lines_run_by(lambda: [harness.set_up(7, span=all_cells) for _ in range(10)])


@pytest.mark.parametrize(
    "event",
    [list_change, replaced_servers, set_ups, release, report, note, period],
    ids=lambda event: event.__name__,
)
@pytest.mark.parametrize("racks", [1, 8, None], ids=["one rack", "few racks", "racks of five"])
def test_work_does_not_grow_where_every_server_holds_the_title(
    event: Callable[[FrontHarness], int], racks: int | None
) -> None:
    line_counts = {}
    for count in SERVER_COUNTS[1:]:  # with 200 servers, many are sampled twice
        harness = FrontHarness(make_facts(count, racks=racks), count)
        harness.run_until(harness.now + SECOND)
        harness.set_up(3, span=harness.site.plant.cells)  # creates the sums of large racks
        line_counts[count] = event(harness)
    assert max(line_counts.values()) <= MAX_GROWTH_RATIO * line_counts[SERVER_COUNTS[1]], line_counts
