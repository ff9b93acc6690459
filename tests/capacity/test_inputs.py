"""Spoilt targets and records: one clear line for each thing wrong, status 2, nothing written."""

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from ponddoor.capacity.commands import capacity
from ponddoor.capacity.records import Record
from ponddoor.capacity.targets import load_target
from ponddoor.settings.sexpr import SettingsError

ROOT = Path(__file__).parents[2]
TARGET = ROOT / "docs" / "capacity" / "target.pond"
GOOD = Record(what="control.bytes", under="calm", of="fronts", size=20.0, repetition=0, seed=1, figure=83.0,
              unit="B/s", how="virtual", commit="a", cores=8, command="made up")  # fmt: skip


def test_the_target_holds_every_line_that_the_operators_told() -> None:
    held = load_target(TARGET)
    assert (held.fronts, held.connections, held.shards, held.listeners) == (820, 49_000_000, 200_000, 360_000)
    assert (held.deliveries, held.delivery_within, held.delivery_part) == (4.8e6, 200_000, 0.99)
    assert (held.regions, held.zones, held.machines) == (2, 8, 5)
    assert (held.changes, held.change_within) == (3300, 9_000_000)
    assert (held.control_core, held.control_memory, held.control_bytes) == (0.02, 128_000_000, 3_000)
    assert [one.name for one in held.failures] == ["machine", "restart", "rack", "zone", "apart"]
    assert [one.often for one in held.failures][:2] == [2, 74] and held.failures[4].lasts == 3_600_000_000
    assert len(held.servers) == 2
    assert all(one.reason for one in held.readings) and all(one.reading for one in held.failures)


@pytest.mark.parametrize(
    ("old", "new", "found"),
    [
        (
            "(fronts 820)",
            "(fronts many)",
            "target.pond:3:11: found many, expected a whole number with no unit",
        ),
        ("(fronts 820)", "", "no (fronts ...)"),
        ("(fronts 820)", "(fronts 0)", "a whole number from 1"),
        ("(within 9s)", "(within 9)", "a number with us or ms or s"),
        ("(part 0.99)", "(part 99)", "from 0.01 to 1"),
        ("(machines 5)", "(machines 5) (moons 2)", "unknown field (moons ...)"),
        ("(zones 8)", "(zones 8) (zones 9)", "a second (zones ...)"),
        ("(failure rack", "(failure zone", "failure zone again"),
        ("(memory 128MB)", "(memory 128)", "a number with B or kB"),
        ("(servers 937", "(servants 937", "1 of (servers N ...)"),
        ("(target", "(aim", "expected (target ...)"),
        ("; what the operators tell", "(", "the end of the file"),
    ],
)
def test_a_spoilt_target_is_told_by_its_place(tmp_path: Path, old: str, new: str, found: str) -> None:
    text = TARGET.read_text()
    spoilt = tmp_path / "target.pond"
    spoilt.write_text(text.replace(old, new, 1) if old in text else new + text)
    with pytest.raises(SettingsError) as told:
        load_target(spoilt)
    assert found in str(told.value) and str(spoilt) in str(told.value)
    page = tmp_path / "page.md"
    page.write_text("as it was")
    got = run("project", "--target", str(spoilt), "--page", str(page))
    assert got.exit_code == 2 and len(got.stderr.splitlines()) == len(told.value.problems)
    assert page.read_text() == "as it was"


@pytest.mark.parametrize(
    ("line", "found"),
    [
        (b"{}\n", "missing required field"),
        (b"nonsense\n", "malformed"),
        (msgspec.json.encode(GOOD)[:-9] + b"\n", "a.jsonl:2"),
        (msgspec.json.encode(GOOD), "cut short"),
        (msgspec.json.encode(GOOD).replace(b'"size":20.0', b'"size":0'), "size 0"),
        (msgspec.json.encode(GOOD).replace(b'"size":20.0', b'"size":1e999'), "a.jsonl:2"),
        (
            msgspec.json.encode(GOOD).replace(b'"B/s"', b'"kB/s"') + b"\n",
            "control.bytes in kB/s, but in B/s at",
        ),
        (msgspec.json.encode(GOOD).replace(b'"seed"', b'"sed"') + b"\n", "unknown field"),
        (b'{"what":"' + b"x" * 20_000 + b'"}\n', "more than 10000 bytes"),
        (b"\xff\xfe\n", "a.jsonl:2"),
    ],
)
def test_a_spoilt_record_is_one_line_and_status_2(tmp_path: Path, line: bytes, found: str) -> None:
    end = b"" if found == "cut short" or line.endswith(b"\n") else b"\n"
    (tmp_path / "a.jsonl").write_bytes(msgspec.json.encode(GOOD) + b"\n" + line + end)
    page, picture = tmp_path / "page.md", tmp_path / "need.png"
    page.write_text("as it was")
    for command in (("project", "--page", str(page)), ("plot", "--to", str(picture))):
        got = run(*command, "--records", str(tmp_path))
        assert got.exit_code == 2 and len(got.stderr.splitlines()) == 1
        assert found in got.stderr and "a.jsonl:2" in got.stderr
    assert page.read_text() == "as it was" and not picture.exists()


def run(*arguments: str) -> Result:
    return CliRunner().invoke(capacity, arguments)
