"""Measurements at small sizes: the same figures for the same seed, every kind of word, what is refused."""

import contextlib
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from ponddoor.capacity import control_measure, know_measure, loop_measure, records, sockets_measure
from ponddoor.capacity.measure import Figure, MeasureError, refuse
from ponddoor.capacity.measure_commands import MODULES, measurement
from ponddoor.capacity.virtual_measure import KINDS, SECOND, Course, VirtualFleet
from ponddoor.cli import main
from ponddoor.interface import words

MACHINES_OWN = ("cpu", "memory", "factor")  # figures of the machine, not of the seed


def of_the_seed(figures: list[Figure]) -> list[Figure]:
    return [one for one in figures if not one.what.endswith(MACHINES_OWN)]


def by_name(figures: list[Figure]) -> dict[str, float]:
    return {one.what + (f" {one.under}" if one.under else ""): one.figure for one in figures}


def command(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["capacity", "measure", *arguments])


def test_kinds_are_those_of_the_words() -> None:
    said: list[words.Message] = [
        words.RateUpdate(1, 1, (), False), words.RateUpdate(1, 1, (), True), words.InUseQuery(1),
        words.HoldersQuery(1, 0, 1, 0), words.QueryReply(1, 1, 0, ()), words.FullUpdateRequest(1),
        words.ShareLease(1, 1, 1, ()), words.Ping(1, 1, 0), words.Ack(1, 1, 0, (), 1),
        words.PingRequest(1, 1, 0, (), 1), words.BootstrapRequest(1), words.BootstrapReply(1, (), ()),
        words.QueryReply(1, 1, 0, (), True),
        words.RateUpdate(1, 1, (words.ServerRate(1, 4.0, words.Sample(1.0, 0)),), False),
    ]  # fmt: skip
    assert [words.pack(word)[0][0] for word in said] == list(range(len(KINDS)))


@pytest.mark.parametrize("under", ["one", "zone", "apart-60"])
def test_time_to_know_is_the_seeds(under: str) -> None:
    once, again = (know_measure.play(16, under, 7) for _ in range(2))
    assert of_the_seed(once) == of_the_seed(again)
    found = by_name(once)
    # A suspicion runs four periods at least, and none of these fleets is large
    assert 4 <= found["know.dead.half"] <= found["know.dead.p99"] < 30
    assert found["know.alive.half"] <= found["know.alive.p99"] < 120


def test_nobody_is_dead_in_the_calm_and_the_dead_are() -> None:
    fleet = know_measure.Knowing(Course(12, 3, loss=0.0))
    fleet.start_all()
    fleet.run_until(SECOND)
    fleet.acquaint()
    fleet.run_until(30 * SECOND)
    assert fleet.most_wrong == 0
    assert by_name(know_measure.play(12, "calm", 3))["know.wrong"] == 0  # with one word in a hundred lost
    fleet.stop(fleet.nodes[5])
    fleet.run_until(60 * SECOND)
    assert all(fleet.dead[node.number] == {5} for node in fleet.up())


def test_what_is_not_reached_says_so() -> None:
    fleet = know_measure.Knowing(Course(12, 3))
    fleet.start_all()
    fleet.run_until(SECOND)
    fleet.expect([{1} if number != 1 else set() for number in range(12)], True)
    fleet.wait(2 * SECOND)  # it lives: nobody takes it for dead
    told = fleet.told("dead", "one")
    assert [(one.figure, one.under) for one in told] == [(2.0, "one-unreached")] * 2


def test_control_counts_every_kind_that_is_said() -> None:
    once, again = (control_measure.play(12, "arrivals", 5) for _ in range(2))
    assert of_the_seed(once) == of_the_seed(again)
    found = by_name(once)
    kinds = {name.removeprefix("control.words.") for name in found if name.startswith("control.words.")}
    assert {"ping", "ack", "changes", "all", "ours", "holders", "answer"} <= kinds <= set(KINDS)
    for sort in ("words", "bytes"):
        parts = sum(figure for name, figure in found.items() if name.startswith(f"control.{sort}."))
        assert parts == pytest.approx(found[f"control.{sort}"])
    # A ping a period and an answer to each, with nothing lost but one in a hundred
    assert 0.9 < found["control.words.ping"] < 1.5


def test_a_roll_begins_anew() -> None:
    found = by_name(control_measure.play(12, "roll", 5))
    assert found["control.words.ask-news"] > 0 and found["keeper.fan-in"] >= found["control.words"]


def test_sessions_of_viewers_who_leave_are_let_go() -> None:
    fleet = VirtualFleet(Course(4, 9, 0.0, 12, 3.0, 0.9))
    fleet.start_all()
    fleet.run_until(40 * SECOND)
    held = sum(len(node.core.front.sessions) for node in fleet.nodes)
    assert fleet.answered["left"] > 200
    # One in ten stays for a minute; those that leave hold nothing
    assert len(fleet.playing) <= held <= len(fleet.playing) + 20
    assert sum(fleet.asked) == pytest.approx(
        sum(fleet.rates[rung] for _, rung in fleet.playing.values()), abs=1e-3
    )


def test_all_sessions_are_resized_in_one_stretch() -> None:
    found = by_name(loop_measure.resize(300, "all", 1))
    assert found["resize.held"] == 300 and found["resize.stretch"] > 0 and found["resize.memory"] > 0
    assert by_name(loop_measure.resize(300, "one-title", 1))["title.held"] == 300


def test_a_request_is_decided_while_all_else_is_held() -> None:
    one = loop_measure.LoneFront(20, 50, 10, 4)
    one.fill(50)
    number, server = one.come(3)
    assert server is not None and len(one.front.sessions) == 51
    one.leave(number, server)
    assert len(one.front.sessions) == 50


def test_connections_and_deliveries_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sockets_measure, "SECONDS", 2.0)
    monkeypatch.setattr(sockets_measure, "EVERY", 1.0)
    found = by_name(sockets_measure.viewers(20, "delivering", 1))
    assert found["viewers.lost"] == 0 and found["delivery.p50"] <= found["delivery.p99"]
    assert 0 < found["delivery.rate"] <= 21


def test_a_lag_beyond_the_last_bucket_is_said_to_be_more() -> None:
    within = sockets_measure.worst_lag({"0.1": 7.0, "0.5": 9.0, "1.0": 9.0, "+Inf": 9.0}, "idle")
    beyond = sockets_measure.worst_lag({"0.1": 7.0, "0.5": 9.0, "1.0": 9.0, "+Inf": 10.0}, "idle")
    assert (within.figure, within.under) == (0.5, "")
    assert (beyond.figure, beyond.under) == (1.0, "idle-unreached")


def test_records_name_how_to_get_them_again(tmp_path: Path) -> None:
    out = tmp_path / "know.jsonl"
    done = command("know", "--seed", "3", "--out", str(out), "--size", "8", "--under", "one",
                   "--repetition", "0", "--repetition", "1")  # fmt: skip
    assert done.exit_code == 0, done.output
    found = records.read(out)
    assert {(one.size, one.repetition, one.seed, one.how, one.of) for one in found} == {
        (8, 0, 3, "virtual", "fronts"),
        (8, 1, 3, "virtual", "fronts"),
    }
    assert {"know.dead.p99", "know.alive.p99", "know.wrong"} <= {one.what for one in found}


def test_what_was_started_ends_with_the_command(tmp_path: Path) -> None:
    asked = ["capacity", "measure", "viewers", "--seed", "1", "--out", str(tmp_path / "none.jsonl"),
             "--size", "50", "--under", "idle"]  # fmt: skip
    places = {**os.environ, "TMPDIR": str(tmp_path)}
    begun = subprocess.Popen([sys.executable, "-m", "ponddoor.cli", *asked], env=places)
    try:
        assert until(lambda: [pid for pid in under(str(tmp_path)) if pid != begun.pid], 60)
    finally:
        begun.kill()  # it can do nothing more itself
        begun.wait()
    assert until(lambda: not under(str(tmp_path)), 60)


def under(folder: str) -> list[int]:
    """The processes that name a folder in their arguments."""
    found = []
    for one in Path("/proc").iterdir():
        with contextlib.suppress(OSError):
            if one.name.isdigit() and folder.encode() in (one / "cmdline").read_bytes():
                found.append(int(one.name))
    return found


def until(what: Callable[[], object], seconds: float) -> bool:
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        if what():
            return True
        time.sleep(0.1)
    return False


@pytest.mark.parametrize(
    "arguments, told",
    [
        (("know", "--size", "1000000000"), "fronts, 2 to "),
        (("know", "--size", "1"), "1 fronts, 2 to "),
        (("control", "--under", "storm"), "no condition storm, expected calm"),
    ],
)
def test_what_can_not_be_measured_is_refused(tmp_path: Path, arguments: tuple[str, ...], told: str) -> None:
    out = tmp_path / "none.jsonl"
    done = command(*arguments, "--seed", "1", "--out", str(out))
    assert done.exit_code == 2 and told in done.output and done.output.count("\n") == 1
    assert not out.exists()


def test_sizes_beyond_the_machine_are_refused_before_anything_runs() -> None:
    fleet, crowd = measurement("control"), measurement("viewers")
    with pytest.raises(MeasureError, match="820 fronts need .* MB, 512 MB may be taken here"):
        refuse("control", fleet, 820, 1 << 30, 1 << 20)
    with pytest.raises(MeasureError, match="need 18200 descriptors, 10000 are allowed"):
        refuse("viewers", crowd, 18_000, 1 << 40, 10_000)
    refuse("control", fleet, 820, 1 << 40, 1 << 20)


def test_every_measurement_has_a_slope() -> None:
    for what in MODULES:
        assert len(measurement(what).sizes) >= 4, what
