"""The work of one event does not grow with servers that it does not name."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from ponddoor.interface import events as ev

from .fleet import SECOND, DrivenFront, facts, row, steps_of

COUNTS = (200, 800, 3200, 12_800)
GROWTH = 1.5  # over the same event with 200 servers: chance draws and sessions differ a little
CHANGED_ROWS = 20
PLAYING = 6


def list_change(driven: DrivenFront) -> int:
    """Twenty rows of the list change their state."""
    rows = [row(driven.site, server, ev.ServerState.DRAINING) for server in range(1, CHANGED_ROWS + 1)]
    return steps_of(lambda: driven.do(ev.ServerNews(ev.NewsScope.CHANGES, tuple(rows))))


def replaced_servers(driven: DrivenFront) -> int:
    """Twenty servers go and twenty new ones come."""
    first = driven.servers + 1
    gone = [row(driven.site, server, ev.ServerState.GONE) for server in range(1, CHANGED_ROWS + 1)]
    new = [replace(row(driven.site, first + n), started_at=driven.now) for n in range(CHANGED_ROWS)]
    return steps_of(lambda: driven.do(ev.ServerNews(ev.NewsScope.CHANGES, (*gone, *new))))


def set_up(driven: DrivenFront) -> int:
    """A session is placed, with the question to keepers before it."""
    return steps_of(lambda: driven.set_up(7))


def refusal(driven: DrivenFront) -> int:
    """A session whose title no server may serve is turned away."""
    cells = driven.site.plant.cells
    held = [s for s in range(1, driven.servers + 1) if (s % cells - 7) % cells < 2]
    rows = tuple(row(driven.site, server, ev.ServerState.DRAINING) for server in held)
    driven.do(ev.ServerNews(ev.NewsScope.CHANGES, rows))
    return steps_of(lambda: (driven.request(7), driven.run_until(driven.now + SECOND // 4)))


def release(driven: DrivenFront) -> int:
    """A session that plays ends at its server."""
    number, server = driven.start(11)
    ended = ev.Ended(number, 0, server, ev.Result.SERVED, True, SECOND, {})
    return steps_of(lambda: driven.do(ended))


def report(driven: DrivenFront) -> int:
    """A probe brings a server's load."""
    return steps_of(lambda: driven.do(ev.Probed(9, 1000, ev.Result.SERVED, {"link_asked": 0.4})))


def failure(driven: DrivenFront) -> int:
    """A set-up fails at its server and goes on to another."""
    number, setup = driven.set_up(23)
    ended = ev.Ended(number, 0, setup.server, ev.Result.CONNECT_FAILED, False, SECOND, {})
    return steps_of(lambda: driven.do(ended))


def period(driven: DrivenFront) -> int:
    """Ten seconds in which a few sessions play and nothing else happens."""
    for home in range(PLAYING):
        driven.start(30 + 2 * home)
    return steps_of(lambda: driven.run_until(driven.now + 10 * SECOND))


def note(driven: DrivenFront) -> int:
    """A server delivers less than it should, twice."""
    number, server = driven.start(11)
    driven.run_until(driven.now + SECOND)
    notes = [ev.Note(number, ev.NoteKind.DELIVERED, 0.5, server)] * 2
    return steps_of(lambda: [driven.do(one) for one in notes])


EVENTS = (list_change, replaced_servers, set_up, refusal, release, report, failure, note, period)


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_work_does_not_grow_with_servers_that_an_event_does_not_name(
    event: Callable[[DrivenFront], int],
) -> None:
    steps = {}
    for count in COUNTS:
        driven = DrivenFront(facts(count), count)
        driven.run_until(driven.now + SECOND)
        steps[count] = event(driven)
    assert max(steps.values()) <= GROWTH * steps[COUNTS[0]], steps


def set_ups(driven: DrivenFront) -> int:
    """Ten sessions begin, one after another."""
    everywhere = driven.site.plant.cells
    return steps_of(lambda: [driven.set_up(7, span=everywhere) for _ in range(10)])


@pytest.mark.parametrize(
    "event",
    [list_change, replaced_servers, set_ups, release, report, note, period],
    ids=lambda event: event.__name__,
)
@pytest.mark.parametrize("racks", [1, 8, None], ids=["one rack", "few racks", "racks of five"])
def test_work_does_not_grow_where_every_server_holds_the_title(
    event: Callable[[DrivenFront], int], racks: int | None
) -> None:
    steps = {}
    for count in COUNTS[1:]:  # of 200 servers many are drawn twice
        driven = DrivenFront(facts(count, racks=racks), count)
        driven.run_until(driven.now + SECOND)
        driven.set_up(3, span=driven.site.plant.cells)  # the sums of large racks are kept from now on
        steps[count] = event(driven)
    assert max(steps.values()) <= GROWTH * steps[COUNTS[1]], steps
