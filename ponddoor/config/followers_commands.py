"""`ponddoor config followers`: the simulation of fronts that follow the configuration."""

import sys

import click


@click.group()
def followers() -> None:
    """Fronts that follow the configuration, in a simulated world."""


@followers.command()
@click.option("--first", type=int, default=0, show_default=True, help="The first seed.")
@click.option("--count", type=int, default=100, show_default=True)
@click.option("--without", type=str, help="Take a guard out, by its name.")
def simulate(first: int, count: int, without: str | None) -> None:
    """Play schedules of the followers' cores from their seeds; exit 1, the seed and its least form where one
    fails."""
    from ponddoor.config.followers import Quick, drawn, explore, shrunk
    from ponddoor.config.followers_mutants import MUTANTS

    if without is not None and without not in MUTANTS:
        click.echo(f"one of: {', '.join(MUTANTS)}", err=True)
        sys.exit(2)
    make, shape = MUTANTS[without] if without is not None else (Quick, drawn)
    ran, problem = explore(first, count, make, shape)
    click.echo(f"{ran} schedules; {problem or 'every bound held'}")
    if problem:
        click.echo(f"least: {shrunk(shape(first + ran - 1), make)}")
    sys.exit(1 if problem else 0)


@followers.command(name="return")
@click.option("--fronts", type=click.IntRange(1, 2000), default=820, show_default=True)
@click.option("--apart", type=click.IntRange(1, 7200), default=600, show_default=True, help="Seconds.")
@click.option("--minority", is_flag=True, help="Half of the fronts are with two instances, not cut off.")
@click.option("--seed", type=int, default=1, show_default=True)
def return_(fronts: int, apart: int, minority: bool, seed: int) -> None:
    """A fleet that is cut off from all instances together and comes back: how long it takes until all are at
    the newest version, and the busiest second of an instance over its mean. Exit 1 where a bound breaks."""
    from ponddoor.config.followers import BoundBrokenError, Simulation, absence

    try:
        found = Simulation(absence(seed, fronts, apart, minority)).run()
    except BoundBrokenError as problem:
        click.echo(str(problem))
        sys.exit(1)
    click.echo(
        f"{fronts} fronts, {apart} s: all at the newest after {found.latest / 1e6:.1f} s, the busiest second "
        f"{found.herd:.2f} of the mean, {found.wholes} whole states, {found.watches} watches, "
        f"{found.reports} reports"
    )
