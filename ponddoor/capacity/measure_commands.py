"""`ponddoor capacity measure`: a measurement over its sizes, into a file of records."""

import importlib
import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ponddoor.capacity.measure import Measurement

MODULES = {
    "control": "control", "rate": "control", "know": "know", "resize": "loop", "titles": "loop",
    "holders": "loop", "servers": "loop", "sessions": "loop", "viewers": "sockets", "watchers": "sockets",
    "signs": "sockets", "boxes": "sockets", "coming": "coming",
}  # fmt: skip


REPETITIONS = 100


def measurement(what: str) -> "Measurement":
    """The measurement of a name; loaded only when it is wanted, since it brings all cores along."""
    module = importlib.import_module(f"ponddoor.capacity.{MODULES[what]}_measure")
    found: Measurement = module.MEASUREMENTS[what]
    return found


@click.command()
@click.argument("what", type=click.Choice(list(MODULES)))
@click.option("--seed", type=int, required=True, help="Of all chance; each repetition's is drawn from it.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="Records are added to this file.",
)
@click.option("--size", "sizes", type=int, multiple=True, help="Instead of the sizes of the slope.")
@click.option("--under", "conditions", multiple=True, help="Instead of all conditions.")
@click.option(
    "--repetition",
    "repetitions",
    type=click.IntRange(0, REPETITIONS),
    multiple=True,
    default=(0, 1, 2),
    show_default=True,
)
def measure(
    what: str,
    seed: int,
    out: Path,
    sizes: tuple[int, ...],
    conditions: tuple[str, ...],
    repetitions: tuple[int, ...],
) -> None:
    """Measure one thing over its sizes.

    Records are written as they come; docs/capacity/NAMES.md has their names."""
    from ponddoor.capacity.measure import MeasureError, measured

    found, command = measurement(what), shlex.join(["ponddoor", *sys.argv[1:]])
    sizes, conditions = sizes or found.sizes, conditions or found.conditions
    try:
        for line in measured(what, found, sizes, conditions, seed, repetitions, out, command):
            click.echo(line, err=True)
    except (MeasureError, OSError) as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
