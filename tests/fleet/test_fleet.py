"""Fleets of processes under faults: each day is audited against the six rules and against its own limits.

The limits are on counts and on which faults were active when, with margins for a slow machine; none
requires a fast one. Some days are also played by a mutant, the program without one guard: its day must
exceed the limit."""

import asyncio
import multiprocessing
import sys
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from ponddoor.audit.records import read
from ponddoor.node.servers import Servers
from ponddoor.rehearse.day import load_day
from ponddoor.rehearse.nodes import NODE, NodeRehearsal
from ponddoor.rehearse.run import Rehearsal, Result
from ponddoor.rehearse.sums import first_tries, peak

DAYS = Path(__file__).parent / "days"
SECOND = 1_000_000
Row = dict[str, Any]
PARALLEL_DAYS = 3

# Mutants: code that takes a guard out of the program
SYNCHRONIZED = """
from ponddoor.front.reconnect import ReconnectSchedule
ReconnectSchedule._slot = lambda self, spread: 0
ReconnectSchedule.lost = lambda self, now, loss, elapsed=0, min_wait=0: now + 500_000
"""
EAGER_RETRIES = """
from ponddoor.front.reconnect import ReconnectSchedule
ReconnectSchedule._longest_wait = lambda self, remaining: 500_000
ReconnectSchedule._next_in_period = lambda self, now, min_wait: now + 500_000
"""
UNPACED = """
from ponddoor.decide import Front
Front.paced_until = lambda self, server: 0
"""
WARM_UNKNOWN = """
from ponddoor.decide import Front
Front.is_warm = lambda self, server: False
"""
EVIDENCE_IGNORED = """
from ponddoor.decide import Front
Front.is_avoided = lambda self, server: False
"""
CUT_OFF_UNNOTICED = """
from ponddoor.fleet.presence import Connectivity, Presence
Presence.connectivity = lambda self, now: Connectivity.FULL
"""
NO_TURNS = """
from ponddoor.node.servers import Servers
Servers.connect_delay = lambda self: 0
"""


def mutant(patch: str) -> tuple[str, ...]:
    """The command of the node without a guard."""
    return (
        sys.executable,
        "-c",
        f"{patch}\nimport sys\nfrom ponddoor.node.__main__ import main\nsys.exit(main())",
    )


@dataclass(frozen=True)
class Played:
    """The results, records and logs (by front) of a day."""

    result: Result
    rows: list[Row]
    logs: dict[int, str]

    def times_of(self, what: str, **fields: Any) -> list[int]:
        """When records of a kind with these fields were written."""
        return [row["at"] for row in self.rows if row["what"] == what and fields.items() <= row.items()]


def play(name: str, folder: Path, program: tuple[str, ...]) -> Played:
    day = load_day(DAYS / f"{name}.day")
    folder.mkdir(parents=True)
    if day.shell == "node":
        rehearsal: Rehearsal = NodeRehearsal(day, folder, program=program)
    else:
        (folder / "day.json").write_text(f'{{"file": "{DAYS / name}.day", "seed": {day.seed}}}')
        rehearsal = Rehearsal(day, folder)
    result = asyncio.run(rehearsal.play())
    logs = {me: (folder / f"front-{me}.log").read_text() for me in range(day.fronts)}
    return Played(result, read(folder)[0], logs)


# By case: the day and the program that plays it
CASES = {
    "list_down": ("list_down", NODE),
    "list_down eager retries": ("list_down", mutant(EAGER_RETRIES)),
    "stopped": ("stopped", NODE),
    "killed": ("killed", NODE),
    "cut_stalled": ("cut_stalled", NODE),
    "broken": ("broken", NODE),
    "broken synchronized": ("broken", mutant(SYNCHRONIZED)),
    "all_cold": ("all_cold", NODE),
    "all_cold unpaced": ("all_cold", mutant(UNPACED)),
    "newcomers": ("newcomers", NODE),
    "newcomers warm unknown": ("newcomers", mutant(WARM_UNKNOWN)),
    "reset": ("reset", NODE),
    "reset no turns": ("reset", mutant(NO_TURNS)),
    "roll": ("roll", NODE),
    "gone_since": ("gone_since", NODE),
    "deaf": ("deaf", NODE),
    "deaf cut-off unnoticed": ("deaf", mutant(CUT_OFF_UNNOTICED)),
    "failing": ("failing", NODE),
    "failing evidence ignored": ("failing", mutant(EVIDENCE_IGNORED)),
    "donors": ("donors", NODE),
    "islands": ("islands", NODE),
    "fronts": ("fronts", NODE),
    "terms": ("terms", NODE),
}


@pytest.fixture(scope="module")
def days(tmp_path_factory: pytest.TempPathFactory) -> "dict[str, Future[Played]]":
    """Plays all days, a few in parallel: they mostly wait."""
    folder = tmp_path_factory.mktemp("fleet")
    pool = ProcessPoolExecutor(PARALLEL_DAYS, multiprocessing.get_context("spawn"))
    return {
        case: pool.submit(play, name, folder / case.replace(" ", "-"), program)
        for case, (name, program) in CASES.items()
    }


@pytest.mark.parametrize("case", [case for case, (_, program) in CASES.items() if program is NODE])
def test_no_rule_is_broken_and_no_server_is_overloaded(days: "dict[str, Future[Played]]", case: str) -> None:
    played = days[case].result()
    assert not played.result.breaches, [str(breach) for breach in played.result.breaches]
    assert played.result.players["counts"].get("playing", played.result.players["counts"].get("over", 0)) > 20
    assert case == "all_cold" or not played.times_of("fell")


MAX_TRIES_IN_OUTAGE = 32  # of 16 fronts in 4 s: each tries once in that time, with a margin for jitter


def tries_in_outage(played: Played) -> list[int]:
    """When fronts tried to connect to the list that was down, from 10 s after it went down."""
    (down,), (back,) = played.times_of("order", on=True), played.times_of("order", on=False)
    return [tried_at for tried_at in played.times_of("came") if down + 10 * SECOND <= tried_at < back]


def test_a_list_that_is_down_is_tried_seldom_and_not_in_step(days: "dict[str, Future[Played]]") -> None:
    played = days["list_down"].result()
    (back,) = played.times_of("order", on=False)
    tries, sums = tries_in_outage(played), played.result.sums
    assert len(tries) <= MAX_TRIES_IN_OUTAGE, sums
    reconnected = {row["front"] for row in played.rows if row["what"] == "has-list" and row["at"] >= back}
    assert len(reconnected) == 16 and not played.times_of("list-fell")
    assert all(played.result.players["counts"].get(bad, 0) == 0 for bad in ("no-answer", "torn-down"))


def test_without_the_period_of_retries_an_outage_causes_more_tries(days: "dict[str, Future[Played]]") -> None:
    assert len(tries_in_outage(days["list_down eager retries"].result())) > 3 * MAX_TRIES_IN_OUTAGE


def test_reconnects_after_a_break_and_after_sighup_are_spread(days: "dict[str, Future[Played]]") -> None:
    peaks: dict[str, list[int]] = {}
    for case in ("broken", "broken synchronized"):
        played = days[case].result()
        events = [*played.times_of("order", on=True), *played.times_of("signal", number="SIGHUP")]
        tries = [first_tries(played.rows, event) for event in events]
        assert [len(times) for times in tries] == [12, 12]
        peaks[case] = [peak(times, 100_000) for times in tries]
    assert max(peaks["broken"]) <= 7 < max(peaks["broken synchronized"]), peaks


def test_fronts_that_resume_together_do_not_overload_the_list(days: "dict[str, Future[Played]]") -> None:
    played = days["stopped"].result()
    (resumed,) = played.times_of("signal", number="SIGCONT")
    assert (
        not played.times_of("list-fell")
        and len([tried_at for tried_at in played.times_of("came") if tried_at > resumed]) <= 2 * 12
    )


def test_stalled_or_cut_links_to_the_list_lose_no_session(days: "dict[str, Future[Played]]") -> None:
    played = days["cut_stalled"].result()
    counts = played.result.players["counts"]
    assert counts.get("playing") == played.result.players["viewers"], counts
    cut, stall = played.times_of("link-fault")[:2]
    assert (
        played.times_of("link-whole")[0] - cut >= 3 * SECOND
        and played.times_of("link-whole")[1] - stall >= 4 * SECOND
    )


def test_servers_that_are_all_cold_are_not_overloaded(days: "dict[str, Future[Played]]") -> None:
    paced, unpaced = days["all_cold"].result(), days["all_cold unpaced"].result()
    # If the machine pauses for half a second, paced set-ups arrive together and some servers may fall over:
    # up to a fifth of them
    assert paced.result.fell <= 3 < 10 <= unpaced.result.fell


def close_setups(played: Played) -> int:
    """SETUPs of restarted fronts that follow another of the same front at the same server within 3 s.

    For a cold server 12 fronts space their SETUPs by 4 s each."""
    last, count = dict[tuple[int, int], int](), 0
    for row in played.rows:
        if row["what"] == "setup" and row["epoch"] > 1:
            key = (row["front"], row["server"])
            count += row["at"] - last.get(key, -SECOND * 1000) < 3 * SECOND
            last[key] = row["at"]
    return count


def test_a_restarted_front_learns_which_servers_are_warm(days: "dict[str, Future[Played]]") -> None:
    known, unknown = days["newcomers"].result(), days["newcomers warm unknown"].result()
    assert close_setups(known) > 2 * close_setups(unknown) + 2, (
        close_setups(known),
        close_setups(unknown),
    )


def handshake_peak(played: Played) -> int:
    """The most handshakes at one server within 50 ms, in the half second after all connections were reset."""
    resets = played.times_of("link-reset")
    by_server: dict[int, list[int]] = {}
    for row in played.rows:
        if row["what"] == "handshake" and any(0 < row["at"] - reset_at < SECOND // 2 for reset_at in resets):
            by_server.setdefault(row["server"], []).append(row["at"])
    return max(peak(times, SECOND // 20) for times in by_server.values())


def test_connections_reset_together_are_reopened_in_turn(days: "dict[str, Future[Played]]") -> None:
    played, without_turns = days["reset"].result(), days["reset no turns"].result()
    assert len(played.times_of("link-reset")) == 2
    assert played.result.players["counts"].get("torn-down", 0) <= 10
    assert handshake_peak(played) < handshake_peak(without_turns)


def test_turns_of_fronts_are_spread_within_a_connect_timeout() -> None:
    engine: Any = None
    turns = [Servers(engine, engine, (), 250_000, me, 200).connect_delay() for me in range(200)]
    assert max(turns) < 250_000 and peak(turns, 10_000) <= 8


def test_the_relay_records_which_faults_were_active(days: "dict[str, Future[Played]]") -> None:
    rows = [row for row in days["cut_stalled"].result().rows if row["what"] == "link-fault"]
    assert [row["fault"]["cut"] for row in rows] == [True, False]
    assert [row["fault"]["stall"] for row in rows] == [False, True]


def cut_off(played: Played) -> set[int]:
    """The fronts that receive nothing from the others during the day's first link fault."""
    ways = next(row["ways"] for row in played.rows if row["what"] == "link-fault")
    return {int(name.partition(" ")[2]) for name in ways[0][1]}


def fronts_that_log(played: Played, *texts: str) -> set[int]:
    return {me for me, log in played.logs.items() if any(text in log for text in texts)}


def test_only_fronts_that_receive_nothing_log_it(days: "dict[str, Future[Played]]") -> None:
    played, unnoticed = days["deaf"].result(), days["deaf cut-off unnoticed"].result()
    assert len(cut_off(played)) == 4
    assert fronts_that_log(played, "hears-nothing") == cut_off(played)
    assert not fronts_that_log(unnoticed, "hears-nothing")


def setups_at_failing(played: Played) -> int:
    """SETUPs at servers that fail, from three seconds after they began to."""
    (began,), (ended,) = played.times_of("failing"), played.times_of("well-again")
    (servers,) = [row["servers"] for row in played.rows if row["what"] == "failing"]
    return sum(
        row["what"] == "setup" and row["server"] in servers and began + 3 * SECOND < row["at"] < ended
        for row in played.rows
    )


def test_fronts_that_share_evidence_avoid_a_failing_server_sooner(days: "dict[str, Future[Played]]") -> None:
    shared, unshared = days["failing"].result(), days["failing evidence ignored"].result()
    assert setups_at_failing(shared) < 0.7 * setups_at_failing(unshared), (
        setups_at_failing(shared),
        setups_at_failing(unshared),
    )
    assert len(fronts_that_log(shared, '"mechanism": "avoid"')) >= 3


def test_a_restarted_front_does_not_wait_for_bootstrap_replies(days: "dict[str, Future[Played]]") -> None:
    """It answers viewers although the fronts that it asks may be paused and 30% of all messages are lost."""
    played = days["donors"].result()
    killed = {
        int(row["process"].partition(" ")[2])
        for row in played.rows
        if row["what"] == "killed" and row["process"].startswith("front ")
    }
    restarted = {me: max(at for at in played.times_of("began", front=me)) for me in killed}
    for me, restarted_at in restarted.items():
        answers = [row["at"] for row in played.rows if row["what"] == "answer" and row["front"] == me]
        assert any(restarted_at < answered_at for answered_at in answers)
    assert not played.times_of("fell")
