"""The page and its plot are those of the committed records, and a difference is found."""

import shutil
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from ponddoor.capacity.commands import capacity
from ponddoor.capacity.plot import drawn_from
from ponddoor.capacity.records import Record
from ponddoor.capacity.rows import ROLES

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"


def run(*arguments: str) -> Result:
    return CliRunner().invoke(capacity, arguments)


def test_page_and_plot_are_of_the_committed_records() -> None:
    got = run("project", "--check")
    assert got.exit_code == 0, f"{got.output}{got.stderr}"


@pytest.fixture(scope="module")
def made(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A page, its plot and records of their own."""
    folder = tmp_path_factory.mktemp("made")
    (folder / "records").mkdir()
    lines = [
        msgspec.json.encode(
            Record(what="control.bytes", under="calm", of="fronts", size=size, repetition=k, seed=k,
                   figure=float(80 + size + k), unit="B/s", how="virtual", commit="abc", cores=8,
                   command="made up")
        ) + b"\n"
        for size in (20, 50, 100, 200)
        for k in range(3)
    ]  # fmt: skip
    (folder / "records" / "a.jsonl").write_bytes(b"".join(lines))
    shutil.copy(DOCS / "CAPACITY.md", folder / "page.md")
    held = ["--records", str(folder / "records")]
    assert run("plot", *held, "--to", str(folder / "need.png")).exit_code == 0
    assert run("project", *held, "--page", str(folder / "page.md")).exit_code == 0
    return folder


@pytest.fixture
def copy(made: Path, tmp_path: Path) -> list[str]:
    """A copy that a test may spoil, and how it is checked."""
    shutil.copytree(made, tmp_path, dirs_exist_ok=True)
    named = {"--records": "records", "--page": "page.md", "--picture": "need.png"}
    return [*(part for option, name in named.items() for part in (option, str(tmp_path / name))), "--check"]


def test_what_is_written_is_what_is_checked_and_says_how_far(copy: list[str], tmp_path: Path) -> None:
    assert run("project", *copy).exit_code == 0
    line = next(
        line for line in (tmp_path / "page.md").read_text().splitlines() if "bytes sent | calm" in line
    )
    assert "extrapolated, 4.1 times the largest" in line and "within, 30% of it" in line
    assert "81 B/s + 1 B/s x fronts" in line


@pytest.mark.parametrize(
    ("file", "old", "new"),
    [
        ("records/a.jsonl", '"figure":282.0', '"figure":300.0'),
        ("page.md", "within, 30% of it", "within, 20% of it"),
    ],
)
def test_a_figure_changed_on_either_side_is_found(
    copy: list[str], tmp_path: Path, file: str, old: str, new: str
) -> None:
    held = tmp_path / file
    assert old in held.read_text()
    held.write_text(held.read_text().replace(old, new))
    before = (tmp_path / "page.md").read_text()
    got = run("project", *copy)
    assert got.exit_code == 1 and got.output
    assert (tmp_path / "page.md").read_text() == before  # a check writes nothing


def test_a_plot_of_other_records_is_found(copy: list[str], tmp_path: Path) -> None:
    assert drawn_from(tmp_path / "need.png")
    shutil.copy(DOCS / "capacity" / "need.png", tmp_path / "need.png")
    got = run("project", *copy)
    assert got.exit_code == 1 and "the plot is of other records" in got.output


def test_a_record_fills_its_row_with_no_code_changed(copy: list[str], tmp_path: Path) -> None:
    made = (tmp_path / "page.md").read_text()
    know = Record(what="know.dead.p99", under="zone", of="fronts", size=820, repetition=0, seed=1,
                  figure=94.0, unit="s", how="virtual", commit="abc", cores=8, command="made up")  # fmt: skip
    with (tmp_path / "records" / "a.jsonl").open("ab") as file:
        file.write(msgspec.json.encode(know) + b"\n")
    assert run("project", *copy[:-1]).exit_code == 0
    now = (tmp_path / "page.md").read_text()
    assert "94 s (measured once)" not in made and "94 s (measured once)" in now  # of the zone's failure
    line = next(line for line in now.splitlines() if "| dead known by 99% of pairs | zone |" in line)
    assert "| 1 of the 4 sizes that a fit needs |" in line
    assert "| 820 fronts | 94 s | measured once |" in line


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("<!-- capacity keeper -->", "<!-- capacity keepers -->"),
        ("<!-- capacity keeper -->", "<!-- capacity list -->"),
        ("<!-- capacity end -->", ""),
        ("<!-- capacity list -->", ""),
    ],
)
def test_a_spoilt_marker_is_one_line_and_status_2(
    copy: list[str], tmp_path: Path, old: str, new: str
) -> None:
    page = tmp_path / "page.md"
    page.write_text(page.read_text().replace(old, new, 1))
    before = page.read_text()
    got = run("project", *copy[:-1])
    assert got.exit_code == 2 and len(got.stderr.splitlines()) == 1 and str(page) in got.stderr
    assert page.read_text() == before


def test_names_and_modules_of_the_rows_are_written_down() -> None:
    names = (DOCS / "capacity" / "NAMES.md").read_text()
    rows = [row for role in ROLES for row in role.rows]
    assert not [row.what for row in rows if row.what not in names]
    assert len({(row.what, row.under, row.of) for row in rows}) == len(rows)
