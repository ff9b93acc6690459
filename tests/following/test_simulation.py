"""Followers in a simulated world: schedules, their bounds, and the guards taken out."""

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

FOUND_WITHIN = 60  # schedules


def test_every_bound_holds_and_much_is_seen() -> None:
    found = played(0, 300)
    assert found.taken > 5000 and found.refused > 1000 and found.crashes > 1000
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
        assert found.counts[reason] > 10, reason


@pytest.mark.parametrize("guard", MUTANTS)
def test_a_guard_that_is_taken_out_is_found(guard: str) -> None:
    make, shape = MUTANTS[guard]
    ran, problem = explore(0, FOUND_WITHIN, make, shape)
    assert problem, f"{ran} schedules without {guard}"


@pytest.mark.parametrize("shape", [restarting, spoilt, dropping, away])
def test_the_whole_core_holds_where_guards_matter(shape: object) -> None:
    assert callable(shape)
    assert explore(0, 15, shape=shape) == (15, "")


def test_one_seed_is_one_course() -> None:
    assert Simulation(drawn(11)).run() == Simulation(drawn(11)).run()


def test_the_target_fleet_comes_back_evenly() -> None:
    found = Simulation(absence(1, 820, 30, False)).run()
    assert found.herd <= 2 and found.latest <= 9_000_000


def test_the_least_schedule_still_fails() -> None:
    make, shape = MUTANTS["the floor after a restart"]
    ran, _ = explore(0, FOUND_WITHIN, make, shape)
    least = shrunk(shape(ran - 1), make)
    assert isinstance(least, Schedule) and least.versions <= shape(ran - 1).versions
    with pytest.raises(BoundBrokenError):
        Simulation(least, make).run()


def test_the_command_tells_what_it_found() -> None:
    run = CliRunner().invoke
    assert run(config, ["followers", "simulate", "--count", "3"]).output == "3 schedules; every bound held\n"
    broken = run(config, ["followers", "simulate", "--count", "60", "--without", "never back"])
    assert broken.exit_code == 1 and "least: Schedule(" in broken.output
    assert run(config, ["followers", "simulate", "--without", "nothing"]).exit_code == 2
    assert run(config, ["followers", "return", "--fronts", "60", "--apart", "20"]).exit_code == 0
