"""Hollow fronts beside real ones: they agree, a kind of word left out is found, and what is started ends."""

import asyncio
import math
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ponddoor.capacity import records
from ponddoor.rehearse import hollow_run, reckoning
from ponddoor.rehearse import hollow_table as tables
from ponddoor.rehearse.day import load_day, viewers_of
from ponddoor.rehearse.hollow_process import FaultRow, HollowProcess, Order
from ponddoor.rehearse.hollow_run import HollowRehearsal
from ponddoor.rehearse.places import Layout
from ponddoor.rehearse.run import RehearsalError
from ponddoor.settings.sexpr import SettingsError

DAYS = Path(__file__).parents[2] / "examples" / "scale"
SECOND = 1_000_000


def command(day: Path, *more: str) -> list[str]:
    return [sys.executable, "-m", "ponddoor.cli", "rehearse", str(day), *more]


def rehearsal(name: str, folder: Path, **shares: int) -> HollowRehearsal:
    told = {"file": str(DAYS / f"{name}.day"), "seed": 1, "shares": shares}
    (folder / "day.json").write_bytes(msgspec.json.encode(told))
    return HollowRehearsal(load_day(DAYS / f"{name}.day", shares=shares), folder)


def started(folder: Path) -> list[int]:
    """The numbers of the processes that were started for a run in this folder and have not ended."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                line = (entry / "cmdline").read_bytes()
                state = (entry / "stat").read_text().rpartition(")")[2].split()[0]
            except OSError:
                continue
            if str(folder).encode() in line and b"standin" in line and state != "Z":
                found.append(int(entry.name))
    return found


def test_a_hundred_fronts_of_which_eight_are_real(tmp_path: Path) -> None:
    out = tmp_path / "records.jsonl"
    played = command(DAYS / "hundred.day", "--json", "--keep", str(tmp_path), "--records", str(out))
    done = subprocess.run(played, capture_output=True, timeout=180)
    assert done.returncode == 0, done.stdout.decode() + done.stderr.decode()
    [run] = msgspec.json.decode(done.stdout, type=list[dict[str, Any]])
    told = run["hollow"]
    assert told["not_agreed"] == [], told
    kinds = {row["kind"] for row in told["kinds"]}
    assert {"ack", "all", "answer", "brief", "changes", "holders", "ours", "ping", "saw"} <= kinds
    [known] = [row for row in told["known"] if row["dead"]]
    assert all(0 < span < 30 for side in ("real", "hollow", "all") for span in known[side])
    assert run["breaches"] == [] and run["setups"]["started"] >= 0.9 * 8 * 62
    kept = records.read(out)
    wanted = {"scale.words.ping", "scale.bytes", "scale.keeper.bytes", "scale.know.dead.p99.killed-machine"}
    assert wanted <= {record.what for record in kept}
    under = "hundred-busy" if tables.busy(told["cost"]) else "hundred"
    assert all(record.size == 100 and record.under == under and record.seed == 1 for record in kept)


def test_a_kind_of_word_that_is_left_out_is_found(tmp_path: Path) -> None:
    """Each process of hollow fronts leaves out another kind; its fronts are held against the real ones.

    Of `all` a front says one word in six seconds: too few in a day so short, so it is not among them."""
    left_out = ("saw", "changes", "holders", "ours", "ping", "ack", "")
    run = rehearsal("small", tmp_path, hollow=3 * len(left_out))
    run.each, run.without = 3, left_out
    asyncio.run(run.play())
    real, hollow = run.sides
    for one in run.processes:
        mine = [s for s in hollow if one.first <= s.front < one.first + one.count and not s.keeps]
        assert mine, f"all fronts from {one.first} keep a part: nothing is compared"
        rows, apart = tables.kind_rows(real, mine)
        found = {line.partition(":")[0] for line in apart}
        assert one.without in found if one.without else not found, (one.without, apart, rows)


def test_places_strike_real_and_hollow_fronts(tmp_path: Path) -> None:
    run = rehearsal("places-16", tmp_path)
    result = asyncio.run(run.play())
    assert result.breaches == []
    dead = {known[2].name.split()[0]: known for known in run.found.known if known[2].dead}
    assert set(dead) == {"stopped", "cut", "moved"}
    for of_real, of_hollow, of_all in dead.values():
        assert of_real.pairs and of_hollow.pairs and of_all.most < 30, (of_real, of_hollow, of_all)
    back = {known[2].name.split()[0]: known[2] for known in run.found.known if not known[2].dead}
    assert back["stopped"].half < 30 and back["cut"].half < 30
    assert math.isinf(back["moved"].half)  # nobody is told of another address: that stands on the page
    assert started(tmp_path) == []


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_run_that_is_interrupted_ends_what_it_started(tmp_path: Path, number: signal.Signals) -> None:
    played = command(DAYS / "small.day", "--keep", str(tmp_path))
    process = subprocess.Popen(played, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    limit = time.monotonic() + 60
    while not any(tmp_path.glob("*/players.rec")) and time.monotonic() < limit:  # all are up by then
        time.sleep(0.1)
    assert len(started(tmp_path)) >= 14
    process.send_signal(number)
    _, said = process.communicate(timeout=30)
    assert process.returncode == 130 and b"interrupted: what was started is ended" in said, said.decode()
    assert started(tmp_path) == []


def test_a_run_that_takes_more_memory_than_was_reckoned_ends_itself(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hollow_run, "used_mb", lambda numbers: 1e6 if len(list(numbers)) > 3 else 0.0)
    run = rehearsal("small", tmp_path)
    with pytest.raises(RehearsalError, match="1000000 MB are used, .* were reckoned.*: ended"):
        asyncio.run(run.play())
    assert started(tmp_path) == []


def test_what_the_machine_cannot_bear_is_refused_with_one_line(tmp_path: Path) -> None:
    day = tmp_path / "large.day"
    site = DAYS / "scale.pond"
    day.write_text(f'(day large (site "{site}") (fronts 290) (hollow 2000) (servers 12) (each 1))')
    done = subprocess.run(command(day), capture_output=True, timeout=60)
    assert done.returncode == 2 and done.stdout == b""
    told = done.stderr.decode().strip().splitlines()[-1]
    wanted = r"large: 290 real and 2000 hollow fronts take \d+ processes; at most 300 are started"
    assert re.fullmatch(wanted, told), told


@pytest.mark.parametrize(
    ("has", "told"),
    [
        (reckoning.Machine(4000, 3900, 20_000), "half of this machine's memory is 2000 MB"),
        (reckoning.Machine(64_000, 2000, 20_000), "2000 MB are free"),
        (reckoning.Machine(64_000, 60_000, 512), "descriptors a process; 512 are allowed"),
    ],
)
def test_each_thing_that_there_is_too_little_of_is_named(has: reckoning.Machine, told: str) -> None:
    day = load_day(DAYS / "calm.day", shares={"hollow": 800})
    with pytest.raises(reckoning.TooLargeError, match=told):
        reckoning.check(day, has)
    assert reckoning.check(day, reckoning.Machine(64_000, 60_000, 20_000)).processes < 100


def test_hollow_fronts_are_refused_what_they_do_not_play(tmp_path: Path) -> None:
    site = DAYS / "scale.pond"
    bad = {
        "(shell node) (hollow 4)": "(shell front)",
        "(hollow 4) (at-once yes)": "(at-once no)",
        "(at 1s (place_killed (how rack)))": "(hollow N)",
        "(hollow 4) (at 1s (place_killed (how region) (which 7)))": "one of 0 to 0",
        "(hollow 2001)": "2000",
    }
    for text, wanted in bad.items():
        path = tmp_path / "bad.day"
        path.write_text(f'(day bad (site "{site}") (servers 12) (each 1) {text})')
        with pytest.raises(SettingsError) as problem:
            load_day(path)
        assert any(wanted in str(one) for one in problem.value.problems), (text, problem.value.problems)


def test_places_hold_each_front_once_and_lie_in_one_another() -> None:
    layout = Layout(zones=(0, 4, 1, 5, 2, 6, 3, 7), machine=4, rack=5, regions=2)
    for kind in ("machine", "rack", "zone", "region"):
        groups = layout.groups(kind, 820)
        assert sorted(front for group in groups for front in group) == list(range(820))
    assert [layout.count(kind, 820) for kind in ("machine", "rack", "zone", "region")] == [208, 48, 8, 2]
    for inner, outer in (("machine", "rack"), ("rack", "zone"), ("zone", "region")):
        around = [set(group) for group in layout.groups(outer, 820)]
        assert all(any(set(group) <= one for one in around) for group in layout.groups(inner, 820))


def test_all_fronts_of_a_day_have_the_same_load() -> None:
    day = load_day(DAYS / "hundred.day")
    for front in (0, 7, 8, 99):
        viewers = viewers_of(day, front)
        assert len(viewers) == 62 and all(viewer.front == front for viewer in viewers)
        assert all(at * SECOND <= viewer.at < (at + 1) * SECOND for at, viewer in enumerate(viewers))
    assert viewers_of(day, 3) == viewers_of(day, 3) != viewers_of(day, 4)


def test_faults_between_hollow_fronts_are_put_on_one_way(tmp_path: Path) -> None:
    async def play() -> None:
        day = load_day(DAYS / "small.day")
        process = HollowProcess(day.site, day, tuple(range(4, 8)), time.monotonic() + 5)
        cut, slow = FaultRow([4], [5, 0], cut=True), FaultRow([6], [7], delay=(0.1, 0.1))
        await process.order(Order("faults", faults=[cut, slow, FaultRow([7], [4], loss=0.5)]))
        assert process.passes(4, 5) is None and process.passes(5, 4) == 0.0
        assert process.passes(4, 0) == 0.0  # the relay is on the way there
        assert process.passes(6, 7) == pytest.approx(0.1)
        lost = sum(process.passes(7, 4) is None for _ in range(1000))
        assert 400 < lost < 600
        await process.order(Order("faults"))
        assert process.passes(4, 5) == 0.0
        before = process.changes
        process.changes = [(0, 4, 5, True)] * 500_000
        process.changed(4, 5, False)
        assert process.dropped == 1 and len(process.changes) == 500_000 and before == []

    asyncio.run(play())


def test_times_to_know_count_who_never_knew() -> None:
    killed = tables.Happened("killed", 100 * SECOND, frozenset({9}), True)
    back = tables.Happened("killed", 200 * SECOND, frozenset({9}), False)
    changes = [(at * SECOND, front, 9, dead) for at, front, dead in (
        (50, 1, True), (60, 1, False), (110, 1, True), (111, 2, True), (112, 3, True), (113, 9, True),
        (205, 1, False), (209, 2, False),
    )]  # fmt: skip
    rows = tables.knowledge([killed, back], changes, frozenset({0, 1, 2, 3}), 2, 300 * SECOND)
    (real, hollow, every), (_, _, alive) = rows
    assert (real.pairs, real.half, real.most) == (2, 10.0, math.inf)
    assert (hollow.pairs, hollow.half, hollow.most) == (2, 11.0, 12.0)
    assert (every.half, every.most) == (11.0, math.inf)
    assert (alive.pairs, alive.half, alive.most) == (3, 9.0, math.inf)


def test_agreement_is_within_five_in_a_hundred_and_one_period() -> None:
    def spans(first: int, words: int, size: int) -> list[tables.Span]:
        return [tables.Span(first + n, 100.0, {"ping": [words, size]}, {}, False, 1.0) for n in range(20)]

    known = tables.Known("killed", True, 10, 5.0, 9.0)
    late = tables.Known("killed", True, 10, 5.5, 10.5)
    real = spans(0, 1000, 60_000)
    assert tables.agreement(real, spans(20, 1049, 62_900), [(known, known, known)], 1.0).apart == []
    assert len(tables.agreement(real, spans(20, 1051, 60_000), [], 1.0).apart) == 2  # its kind, and all words
    assert len(tables.agreement(real, spans(20, 1000, 63_100), [], 1.0).apart) == 2
    assert len(tables.agreement(real, real, [(known, late, known)], 1.0).apart) == 1
    few = [tables.Span(0, 10.0, {"via": [30, 900]}, {}, False, 0.0)]
    none = [tables.Span(1, 10.0, {"ping": [0, 0]}, {}, False, 0.0)]
    assert any(line.startswith("via") for line in tables.agreement(few, none, [], 1.0).apart)
    silent = [tables.Span(n, 100.0, {}, {}, False, 0.0) for n in range(20)]
    once = [tables.Span(20 + n, 100.0, {"begun": [39 * (n == 0), 2535]}, {}, False, 0.0) for n in range(20)]
    often = [tables.Span(20 + n, 100.0, {"begun": [39, 2535]}, {}, False, 0.0) for n in range(20)]
    for said, agrees in ((once, True), (often, False)):  # one front told all others; each of twenty did
        rows, _ = tables.kind_rows(silent, said)
        assert rows[0].agrees((2000.0, 2000.0)) is agrees
