"""The simulation of followers: schedules keep all bounds, and mutants without one guard are detected."""

import pytest
from click.testing import CliRunner

from ponddoor.config.commands import config
from ponddoor.config.followers import (
    BoundBrokenError,
    Schedule,
    Simulation,
    absence,
    drawn,
    explore,
    played,
    shrunk,
)
from ponddoor.config.followers_mutants import MUTANTS, away, dropping, restarting, spoilt

MUTANT_SCHEDULES = 60  # a mutant must fail within this many schedules


def test_all_bounds_hold_and_every_kind_of_fault_occurs() -> None:
    totals = played(0, 300)
    assert totals.taken > 5000 and totals.refused > 1000 and totals.crashes > 1000
    for reason in (
        "gap",
        "differs",
        "missing-lines",
        "nonsense",
        "lagging",
        "late",
        "silent",
        "apart",
        "not-kept",
    ):
        assert totals.counts[reason] > 10, reason


@pytest.mark.parametrize("guard", MUTANTS)
def test_a_mutant_without_a_guard_breaks_a_bound(guard: str) -> None:
    make, shape = MUTANTS[guard]
    schedules_run, problem = explore(0, MUTANT_SCHEDULES, make, shape)
    assert problem, f"no bound broken in {schedules_run} schedules without {guard}"


@pytest.mark.parametrize("shape", [restarting, spoilt, dropping, away])
def test_the_unchanged_core_keeps_all_bounds_in_the_schedules_that_expose_mutants(shape: object) -> None:
    assert callable(shape)
    assert explore(0, 15, shape=shape) == (15, "")


def test_a_run_is_reproducible_from_its_seed() -> None:
    assert Simulation(drawn(11)).run() == Simulation(drawn(11)).run()


def test_the_fronts_of_a_full_size_fleet_reconnect_evenly_after_an_outage() -> None:
    result = Simulation(absence(1, 820, 30, False)).run()
    assert result.herd <= 2 and result.latest <= 9_000_000


def test_a_minimised_schedule_still_breaks_the_bound() -> None:
    make, shape = MUTANTS["the floor after a restart"]
    schedules_run, _ = explore(0, MUTANT_SCHEDULES, make, shape)
    minimised = shrunk(shape(schedules_run - 1), make)
    assert isinstance(minimised, Schedule) and minimised.versions <= shape(schedules_run - 1).versions
    with pytest.raises(BoundBrokenError):
        Simulation(minimised, make).run()


def test_the_command_prints_its_result_and_fails_on_a_broken_bound() -> None:
    run = CliRunner().invoke
    assert run(config, ["followers", "simulate", "--count", "3"]).output == "3 schedules; every bound held\n"
    broken = run(config, ["followers", "simulate", "--count", "60", "--without", "never back"])
    assert broken.exit_code == 1 and "least: Schedule(" in broken.output
    assert run(config, ["followers", "simulate", "--without", "nothing"]).exit_code == 2
    assert run(config, ["followers", "return", "--fronts", "60", "--apart", "20"]).exit_code == 0
