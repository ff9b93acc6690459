"""What is said of the target from records: marks, verdicts, the ranking, processes of a node."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from ponddoor.capacity.project import (
    Mark,
    Projection,
    Verdict,
    crossing,
    processes,
    project,
    ranking,
    series_of,
)
from ponddoor.capacity.records import Record, RecordError
from ponddoor.capacity.rows import ROLES
from ponddoor.capacity.targets import Target, load_target

ROOT = Path(__file__).parents[2]
SIZES = (20, 50, 100, 200, 400, 820)


@pytest.fixture
def target() -> Target:
    return load_target(ROOT / "docs" / "capacity" / "target.pond")


def records(
    what: str,
    under: str,
    of: str,
    unit: str,
    sizes: tuple[float, ...],
    figure: Callable[[float], float],
    repetitions: int = 3,
    commit: str = "a",
    how: str = "virtual",
) -> list[Record]:
    return [
        Record(what=what, under=under, of=of, size=size, repetition=k, seed=k, figure=figure(size), unit=unit,
               how=how, commit=commit, cores=8, command="made up")
        for size in sizes
        for k in range(repetitions)
    ]  # fmt: skip


def only(target: Target, held: list[Record]) -> Projection:
    row = next(
        row
        for role in ROLES
        for row in role.rows
        if (row.what, row.under, row.of) == (held[0].what, held[0].under, held[0].of)
    )
    return project(target, held)[row.what, row.under, row.of][0]


def test_marks_say_how_a_figure_is_known(target: Target) -> None:
    def line(n: float) -> float:
        return 100 + n

    def mark(sizes: tuple[float, ...], repetitions: int = 3) -> Projection:
        return only(target, records("control.bytes", "calm", "fronts", "B/s", sizes, line, repetitions))

    measured = mark(SIZES)
    assert (measured.mark, measured.figure, measured.far) == (Mark.MEASURED, 920, 1.0)
    between = mark((100, 400, 800, 1600))
    assert between.mark is Mark.INTERPOLATED and between.figure == pytest.approx(920)
    beyond = mark((25, 50, 100, 205))
    assert beyond.mark is Mark.EXTRAPOLATED and beyond.figure == pytest.approx(920) and beyond.far == 4
    few = mark((100, 200, 400))
    assert (few.mark, few.figure, few.known_at, few.verdict) == (Mark.LAST, 500, 400, Verdict.OPEN)
    assert mark(SIZES[:5], repetitions=2).mark is Mark.LAST
    assert mark((820,), repetitions=1).mark is Mark.MEASURED


def test_a_need_without_a_record_is_not_measured(target: Target) -> None:
    found = project(target, [])
    assert all(one.mark is Mark.NONE for several in found.values() for one in several)
    assert len(found["front.probes", "held", "servers"]) == len(target.servers) == 2


def test_verdicts_and_the_size_from_which_a_need_is_over(target: Target) -> None:
    within = only(target, records("control.cpu", "calm", "fronts", "core", SIZES, lambda n: 0.001))
    assert within.verdict is Verdict.WITHIN and within.over_from is None
    over = only(target, records("control.cpu", "roll", "fronts", "core", SIZES, lambda n: 1e-4 * n))
    assert over.verdict is Verdict.OVER and over.over_from == pytest.approx(200)
    last = only(target, records("control.cpu", "roll", "fronts", "core", (100, 400), lambda n: 1e-4 * n))
    assert last.verdict is Verdict.OVER and last.over_from == 400  # no fit: the least size seen over


def test_where_a_need_crosses_a_limit() -> None:
    def need(n: float) -> float:
        return 5 + 0.3 * n

    assert crossing(need, 65, 1, 820) == pytest.approx(200, rel=1e-6)
    assert crossing(need, 1, 1, 820) == 1
    assert crossing(need, 1_000, 1, 820) is None


def test_a_time_that_was_not_reached_is_a_lower_bound_and_no_point_of_a_curve(target: Target) -> None:
    held = records("config.in-force.all", "calm", "fronts", "s", SIZES, lambda n: 3.0)
    held += records("config.in-force.all", "calm-unreached", "fronts", "s", (820,), lambda n: 8.0, 1)
    one = only(target, held)
    assert one.fit is None and one.more and one.verdict is Verdict.OPEN


def test_a_figure_is_multiplied_by_what_the_target_asks_of_it(target: Target) -> None:
    held = records("delivery.cpu", "delivering", "connections", "s", (1e3, 5e3, 1e4, 2e4), lambda n: 1e-4)
    one = only(target, held)
    assert one.unit == "core" and one.figure == pytest.approx(target.delivered * 1e-4)
    assert one.verdict is Verdict.OVER and one.far == pytest.approx(target.sessions / 2e4)
    assert one.over_from == pytest.approx(0.5 * target.each / 1e-4)  # half a core: as many as fill it
    few = only(target, held[:9])
    assert (few.mark, few.verdict) == (Mark.LAST, Verdict.OPEN)
    assert few.figure == pytest.approx(1e-4 * 1e4 / target.each)  # of what was measured, and no more


def test_figures_of_the_newer_text_replace_those_of_the_older_and_trials_count_nowhere(
    target: Target,
) -> None:
    old = records("control.words", "calm", "fronts", "1/s", SIZES, lambda n: 9.0, commit="old")
    new = records("control.words", "calm", "fronts", "1/s", SIZES, lambda n: 2.0, commit="new")
    tried = records("control.words", "calm", "fronts", "1/s", SIZES, lambda n: 7.0, how="trial")
    assert only(target, old + new).figure == 2
    later = records("control.words", "calm", "fronts", "1/s", (820,), lambda n: 5.0, 1, commit="later")
    assert only(target, new + later).figure == pytest.approx(3)  # one of three repetitions is newer
    assert only(target, new + tried).figure == 2
    busy = records("control.words", "calm-busy", "fronts", "1/s", SIZES, lambda n: 7.0)
    assert not series_of([*tried, *busy])


def test_runs_that_name_their_units_and_failures_otherwise_fill_the_same_rows(target: Target) -> None:
    seen = records("control.bytes", "calm", "fronts", "bytes/s/front", (820,), lambda n: 90.0, how="sockets")
    assert only(target, seen).figure == 90
    know = records("know.zone.dead.99", "any-day", "fronts", "s", (820,), lambda n: 94.0, how="sockets")
    assert project(target, know)["know.dead.p99", "zone", "fronts"][0].figure == 94
    large = records("config.instance-memory", "calm", "fronts", "MB, most", (820,), lambda n: 55.0)
    assert only(target, large).figure == pytest.approx(55e6)


def test_another_unit_than_the_row_s_is_refused(target: Target) -> None:
    with pytest.raises(RecordError, match="control.cpu calm: records in s, expected core"):
        project(target, records("control.cpu", "calm", "fronts", "s", SIZES, lambda n: 1.0))


def test_the_smallest_fleet_comes_first_and_a_missing_mechanism_before_it(
    target: Target, tmp_path: Path
) -> None:
    held = records("control.cpu", "calm", "fronts", "core", SIZES, lambda n: 1e-4 * n)
    held += records("control.cpu", "roll", "fronts", "core", SIZES, lambda n: 2e-4 * n)
    held += records("resize.stretch", "all", "sessions", "s", (1e3, 1e4, 2e4, 6e4), lambda n: 1.4e-5 * n)
    every = [one for several in project(target, held).values() for one in several]
    for one in every:  # all modules but one are there
        if one.row.module and "follower" not in one.row.module:
            (tmp_path / one.row.module).parent.mkdir(parents=True, exist_ok=True)
            (tmp_path / one.row.module).touch()
    found = ranking(every, target, tmp_path)
    assert [(one.first.row.what, one.missing) for one in found] == [
        ("config.bytes.with-headers", True),
        ("control.cpu", False),
        ("resize.stretch", False),
    ]
    assert found[0].fronts == 1
    assert found[1].fronts == pytest.approx(100) and found[1].first.row.under == "roll"
    assert found[2].fronts == pytest.approx(0.2 / 1.4e-5 / target.sessions * 820)


def test_processes_of_a_node_are_what_its_tightest_need_asks(target: Target) -> None:
    sizes = (1e3, 5e3, 1e4, 2e4)
    held = records("delivery.cpu", "delivering", "connections", "s", sizes, lambda n: 2e-4)
    held += records("delivery.p99", "delivering", "connections", "s", sizes, lambda n: 2e-5 * n)
    held += records("viewers.memory", "delivering", "connections", "B", sizes, lambda n: 4e7 + 2e4 * n)
    found = processes(target, project(target, held))
    assert found.needed == 6  # 10,000 connections by the percentile; 25,519 by the processor
    assert found.memory == pytest.approx(6 * 4e7 + 2e4 * target.sessions, rel=0.01)
    assert not processes(target, project(target, [])).counted
    growing = records("delivery.cpu", "delivering", "connections", "s", sizes, lambda n: 1e-8 * n)
    assert processes(target, project(target, growing)).needed == 3  # a core is half full at 22,592
    few = records("delivery.p99", "delivering", "connections", "s", (1e3, 1e4, 2e4), lambda n: 1.9e-5 * n)
    assert processes(target, project(target, few)).needed == 6  # 10,000 were in time; 20,000 were not
    tight = replace(target, delivery_within=100_000)
    assert processes(tight, project(tight, held)).needed == 12
