"""`ponddoor capacity`: what one machine measures of the fleet ahead, and what follows from it.

Exit codes as everywhere: 0 done; 1 page or picture and records differ; 2 input that can't be used."""

import difflib
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from ponddoor.capacity.records import RecordError
from ponddoor.settings.sexpr import SettingsError

T = TypeVar("T")
ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
_SHOWN = 20  # lines of a difference
RECORDS = click.option(
    "--records", "folder", type=click.Path(file_okay=False, path_type=Path), help="Folder of .jsonl files."
)
TARGET = click.option("--target", "aim", type=click.Path(dir_okay=False, path_type=Path), help="Target file.")


@click.group()
def capacity() -> None:
    """Measure, fit and project what the fleet ahead needs, against the limits of its target."""


def usable(make: Callable[[], T]) -> T:
    """What is made, or one clear line for each thing that is wrong with the input and exit 2."""
    from ponddoor.capacity.page import PageError
    from ponddoor.capacity.plot import PictureError

    try:
        return make()
    except SettingsError as problem:
        for one in problem.problems:
            click.echo(str(one), err=True)
    except (RecordError, PageError, PictureError) as problem:
        click.echo(str(problem), err=True)
    sys.exit(2)


@capacity.command()
@RECORDS
@TARGET
@click.option("--page", type=click.Path(dir_okay=False, path_type=Path), help="The page to write.")
@click.option("--picture", type=click.Path(dir_okay=False, path_type=Path), help="With --check: the plot.")
@click.option("--check", is_flag=True, help="Write nothing; exit 1 where page or plot and records differ.")
def project(
    folder: Path | None, aim: Path | None, page: Path | None, picture: Path | None, check: bool
) -> None:
    """Write the tables of docs/CAPACITY.md from the committed records."""
    from ponddoor.capacity.page import rewritten, tables
    from ponddoor.capacity.plot import digest, drawn_from
    from ponddoor.capacity.project import read_files
    from ponddoor.capacity.targets import load_target

    target = usable(lambda: load_target(aim or DOCS / "capacity" / "target.pond"))
    files = usable(lambda: read_files(folder or DOCS / "capacity" / "records"))
    held = page or DOCS / "CAPACITY.md"
    text, now = usable(lambda: rewritten(held, tables(target, files, ROOT)))
    count = sum(map(len, files.values()))
    if not check:
        held.write_text(now)
        click.echo(f"{held}: {count} records of {len(files)} files")
        return
    differ = list(
        difflib.unified_diff(text.splitlines(), now.splitlines(), "page", "records", lineterm="", n=0)
    )
    for line in differ[:_SHOWN]:
        click.echo(line)
    old = usable(lambda: drawn_from(picture or DOCS / "capacity" / "need.png"))
    stale = old != digest(target, (record for records in files.values() for record in records))
    if stale:
        click.echo("the plot is of other records: ponddoor capacity plot")
    sys.exit(1 if differ or stale else 0)


@capacity.command()
@RECORDS
@TARGET
@click.option(
    "--to", "picture", type=click.Path(dir_okay=False, path_type=Path), help="The picture to write."
)
def plot(folder: Path | None, aim: Path | None, picture: Path | None) -> None:
    """Draw need over size with the limits drawn in."""
    from ponddoor.capacity.plot import draw
    from ponddoor.capacity.project import read_files
    from ponddoor.capacity.targets import load_target

    target = usable(lambda: load_target(aim or DOCS / "capacity" / "target.pond"))
    files = usable(lambda: read_files(folder or DOCS / "capacity" / "records"))
    records = [record for held in files.values() for record in held]
    to = picture or DOCS / "capacity" / "need.png"
    count = usable(lambda: draw(target, records, to))
    click.echo(f"{to}: {count} needs of {len(records)} records")
