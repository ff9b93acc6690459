"""Settings: whole or not at all, and every problem at its place."""

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.cli import main
from ponddoor.rehearse.day import draw, load_day
from ponddoor.settings.sexpr import Atom, Listing, Node, Place, SettingsError, parse, write
from ponddoor.settings.site import load, loads

GOOD = """(site s
  (zones a b)
  (kinds (kind box (streams 10)))
  (groups (group g (start-target 1s) (setup-timeout 2s)))
  (ladder (rung (rate 100kB/s) (utility 0.5)) (rung (rate 1MB/s) (utility 1)))
  (plant (cells 4) (racks 2) (link-per-weight 2.5MB/s) (uplink 9MB/s))
  (list (address "127.0.0.1:1"))
  (fronts (front 0 (zone a) (viewers "127.0.0.1:2") (words "127.0.0.1:3") (metrics "127.0.0.1:4"))))
"""


def problems(text: str) -> list[str]:
    with pytest.raises(SettingsError) as found:
        loads(text, "f")
    return [str(problem) for problem in found.value.problems]


def test_units_come_out_as_microseconds_and_kilobytes() -> None:
    site = loads(GOOD.replace("1s)", "1500ms)"))
    assert site.facts.groups[0].start_target == 1_500_000
    assert site.facts.ladder.rate_kb == (100.0, 1000.0) and site.facts.plant.kb_per_weight == 2500.0


CASES = {
    "a unit that is none": (
        "1s)",
        "1sec)",
        "f:4:34: found 1sec, expected a number with us or ms or s or min or h",
    ),
    "a number without unit": ("9MB/s", "9", "f:6:64: found 9, expected a number with kB/s or MB/s or GB/s"),
    "out of range": (
        "(streams 10)",
        "(streams 0)",
        "f:3:29: found 0, expected a whole number from 1 to 2147483648",
    ),
    "no whole number": (
        "(cells 4)",
        "(cells 4.5)",
        "f:6:17: found 4.5, expected a whole number from 1 to 65535",
    ),
    "an unknown field": (
        "(cells 4)",
        "(cells 4) (moons 1)",
        "f:6:20: found unknown field (moons ...), expected one of: ",
    ),
    "a field twice": (
        "(cells 4)",
        "(cells 4) (cells 5)",
        "f:6:20: found a second (cells ...), expected one, as at f:6:10",
    ),
    "a field missing": ("(racks 2)", "", "f:6:3: found no (racks ...) in (plant ...), expected (racks ...)"),
    "a name twice": (
        "(group g",
        "(group g (start-target 1s) (setup-timeout 2s)) (group g",
        "found service group g again",
    ),
    "a zone that is not there": ("(zone a)", "(zone c)", "found c, expected a zone: a, b"),
    "rungs that fall": (
        "1MB/s",
        "50kB/s",
        "found a rung of 50kB/s and utility 1, expected more than the rung before",
    ),
    "a target after the timeout": (
        "(start-target 1s)",
        "(start-target 3s)",
        "found a start target of 3000000us after",
    ),
    "racks beyond cells": ("(racks 2)", "(racks 9)", "found 9 racks for 4 cells"),
    "an address that is none": ('"127.0.0.1:2"', '"here"', 'found "here", expected an address such as'),
    "an address twice": (
        "127.0.0.1:4",
        "127.0.0.1:2",
        "found the metrics of front 0 at 127.0.0.1:2, expected another",
    ),
    "fronts out of order": ("(front 0", "(front 1", "found front 1, expected front 0"),
    "a text without quotes": ('"127.0.0.1:1"', "(x)", "found (address (x)), expected (address VALUE)"),
    "two forms": ("(site s", "(site t) (site s", "found a second form (site ...), expected one (site ...)"),
    "words after the name": ("(site s", "(site s extra", "found extra, expected nothing more in (site ...)"),
    "an open list": (
        '(metrics "127.0.0.1:4"))))',
        '(metrics "127.0.0.1:4")))',
        "found the end of the file, expected ')'",
    ),
    "an open text": ('"127.0.0.1:4"', '"127.0.0.1:4', "expected"),
    "a key that is short": (
        "(list",
        '(words (key "00")) (list',
        "found a key that is no 16 bytes in hexadecimal",
    ),
    "a key file that is not there": (
        "(list",
        '(words (key-file "none")) (list',
        "found none: No such file or directory",
    ),
    "shares beyond all": (
        "(list",
        "(tenants (tenant x (share 0.7) (quota 1)) (tenant y (share 0.7) (quota 1))) (list",
        "found shares of 1.4 in all, expected 1 at most",
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_a_problem_names_its_place(case: tuple[str, str, str]) -> None:
    old, new, expected = case
    assert old in GOOD
    found = problems(GOOD.replace(old, new, 1))
    assert any(expected in line for line in found), found
    assert all(line.startswith("f:") for line in found)


def test_all_problems_come_at_once_in_the_order_of_the_file() -> None:
    text = (
        GOOD.replace("(streams 10)", "(streams none)").replace("(cells 4)", "(cells 0)").replace("9MB/s", "9")
    )
    assert [line.split(":")[1] for line in problems(text)] == ["3", "6", "6"]


def test_a_site_written_back_says_the_same() -> None:
    site = loads(GOOD)
    assert loads(write(site.node)).facts == site.facts


NODES = st.recursive(
    st.builds(
        lambda text: Atom(text, True, Place("-", 1, 1)),
        st.text(st.characters(exclude_characters="\n"), max_size=5),
    )
    | st.builds(
        lambda text: Atom(text, False, Place("-", 1, 1)), st.from_regex(r"[a-z0-9./-]{1,6}", fullmatch=True)
    ),
    lambda inner: st.builds(
        lambda items: Listing(tuple(items), Place("-", 1, 1)), st.lists(inner, max_size=4)
    ),
    max_leaves=12,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(NODES, max_size=4))
def test_what_is_written_is_read_as_it_was(items: list[Node]) -> None:
    listing = Listing(tuple(items), Place("-", 1, 1))
    assert str(parse(write([listing]), "-")[0]) == str(listing)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text('()"; \\\nab1.', max_size=30))
def test_any_text_is_read_or_refused_with_its_place(text: str) -> None:
    try:
        loads(text, "f")
    except SettingsError as problem:
        assert all(one.place.line >= 1 and one.place.column >= 1 for one in problem.problems)


def test_check_exits_with_two_and_every_problem(tmp_path: Path) -> None:
    file = tmp_path / "site.pond"
    file.write_text(GOOD.replace("(streams 10)", "(streams none)").replace("(cells 4)", "(cells 0)"))
    got = CliRunner().invoke(main, ["check", str(file)])
    assert got.exit_code == 2 and got.stderr.count(f"{file}:") == 2
    file.write_text(GOOD)
    assert CliRunner().invoke(main, ["check", str(file)]).exit_code == 0
    assert CliRunner().invoke(main, ["check", str(tmp_path / "none")]).exit_code == 2


DAY = """(day d (site "site.pond") (length 20s) (seed 3) (servers 4) (rate 5)
  (at 5s (crash (part 0.5) (for 3s)) (hot_key (size 0.5) (for 5s))))
"""


def test_a_day_draws_the_same_viewers_from_the_same_seed(tmp_path: Path) -> None:
    (tmp_path / "site.pond").write_text(GOOD)
    file = tmp_path / "d.day"
    file.write_text(DAY)
    day = load_day(file)
    viewers = draw(day)
    assert viewers == draw(load_day(file)) != draw(load_day(file, seed=4)) and 50 < len(viewers) < 170
    assert [trouble.kind for trouble in day.troubles] == ["crash", "hot_key"] and day.troubles[
        0
    ].at == 5_000_000
    crowd = [v.title for v in viewers if 5_000_000 <= v.at < 10_000_000]
    assert max(map(crowd.count, crowd)) > len(crowd) / 3


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("crash", "crush", "unknown field"),
        ("(part 0.5)", "(part 2)", "from 0 to 1"),
        ("(servers 4)", "(servers 2)", "a server for each"),
        ("(at 5s", "(at soon", "a number with s or ms or min"),
    ],
)
def test_a_day_with_a_problem_is_not_played(tmp_path: Path, old: str, new: str, expected: str) -> None:
    (tmp_path / "site.pond").write_text(GOOD)
    file = tmp_path / "d.day"
    file.write_text(DAY.replace(old, new, 1))
    with pytest.raises(SettingsError, match=expected):
        load_day(file)


def test_sites_are_loaded_with_paths_from_their_own_folder(tmp_path: Path) -> None:
    (tmp_path / "key").write_text("00" * 32 + "\n")
    (tmp_path / "site.pond").write_text(GOOD.replace("(list", '(words (key-file "key")) (list'))
    assert load(tmp_path / "site.pond").words.key == bytes(32)
