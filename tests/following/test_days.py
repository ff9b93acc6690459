"""Fronts as processes that follow instances as processes, under faults; and what judges such a day.

A day is judged by counts and by its audit, none by a time that only a fast machine keeps."""

import asyncio
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ponddoor.audit.records import read
from ponddoor.config.machine import Change, Machine, taken_apart
from ponddoor.rehearse.changes import Instances, Kind, Pace, plan
from ponddoor.rehearse.day import load_day
from ponddoor.rehearse.followed import RULES, Followed, followed
from ponddoor.rehearse.relay import RESENT_AFTER, SEGMENT, Fault, Network
from ponddoor.settings.sexpr import Listing, SettingsError

DAYS = Path(__file__).parent / "days"
SECOND = 1_000_000
Row = dict[str, Any]


def test_a_day_of_faults_ends_with_every_good_version_in_force_and_no_bad_one(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "ponddoor.cli", "rehearse", str(DAYS / "following.day"), "--no-baseline"]
    done = subprocess.run([*command, "--json", "--keep", str(tmp_path)], capture_output=True, timeout=170)
    assert done.returncode == 0, done.stdout.decode() + done.stderr.decode()
    [run] = msgspec.json.decode(done.stdout, type=list[dict[str, Any]])
    day = load_day(DAYS / "following.day")
    everybody, config = day.fronts + day.hollow, run["config"]
    assert run["breaches"] == []
    assert config["config.in-force, fronts"] == everybody
    assert config["config.title-known, fronts"] == day.fronts
    assert config["config.rollout, fronts, as ponddoor config tells"] == everybody
    rows, _ = read(next(tmp_path.iterdir()))
    seen = Counter(row["what"] for row in rows)
    kinds = Counter(row["kind"] for row in rows if row["what"] == "change-answered")
    assert all(kinds[kind.value] for kind in Kind), kinds
    assert all(row["version"] != -1 for row in rows if row["what"] == "change-answered")
    refusals = {row["front"] for row in rows if row["what"] == "version-refused"}
    assert set(range(day.fronts)) <= refusals, "a front took prices in service"
    assert any(row["what"] == "killed" and row["process"].startswith("instance") for row in rows)
    assert seen["decided"] >= run["viewers"] > 50
    newest = max(row["version"] for row in rows if row["what"] == "committed")
    last: dict[int, int] = {}
    for row in rows:
        if row["what"] == "in-force":
            last[row["front"]] = row["version"]
    assert last == dict.fromkeys(range(everybody), newest)


# What judges


def row(at: float, what: str, **fields: Any) -> Row:
    return {"at": round(at * SECOND), "who": "test", "what": what, **fields}


def sent(number: int, kind: Kind = Kind.GOOD) -> Row:
    return row(0.5, "change-sent", number=number, kind=kind.value, title="")


def committed(at: float, version: int) -> Row:
    return row(at, "committed", version=version, why=f"change {version}", when_us=0, instance=0)


def taken(at: float, front: int, version: int, digest: str = "") -> Row:
    return row(at, "in-force", front=front, version=version, digest=digest or f"d{version}")


def judged(*rows: Row, fronts: int = 2, hollow: int = 0) -> Followed:
    begun = row(0, "config-measured-from", moment=0)
    sums = [
        row(30, "instance-sums", instance=n, seconds=3.0, memory=0, received=0, sent=0, writes=0, raft=0,
            most_connections=0, requests=[])
        for n in range(2)
    ]  # fmt: skip
    ordered = sorted([begun, *rows, *sums], key=lambda one: int(one["at"]))
    return followed(ordered, fronts, hollow, Instances(2, True, "calm"))


def test_a_newer_version_counts_and_a_cut_front_from_its_return() -> None:
    instances = ["instance 0", "instance 1"]
    cut = {"ways": [[["front 1"], instances], [instances, ["front 1"]]], "fault": {"cut": True}}
    found = judged(
        sent(2),
        sent(3),
        committed(1, 2),
        committed(2, 3),
        taken(1.25, 0, 2),
        taken(2.5, 0, 3),
        row(0.9, "link-fault", **cut),
        row(8, "link-whole", **cut),
        taken(8.5, 1, 3),
    )
    assert [one.after for one in found.spreads] == [[0.25, 0.5], [0.5, 0.5]]
    assert found.figures["config.in-force.all"] == (0.5, "s")
    assert found.figures["config.in-force.returned.all"] == (0.5, "s")
    assert found.figures["config.in-force.not-cut.p999"] == (0.5, "s")
    assert found.figures["config.instance-cpu"] == (0.1, "cores an instance, most")
    assert not found.breaches


def test_a_front_that_never_has_it_is_missing_and_a_refusal_is_told_apart() -> None:
    rows = [sent(2), sent(3, Kind.REFUSED_BY_FRONTS), committed(1, 2), committed(2, 3), taken(1.5, 0, 2)]
    found = judged(*rows, row(2.1, "version-refused", front=0, version=3, why="prices"))
    good, bad = found.spreads
    assert (good.missing, good.until(0.5), good.until(1.0)) == ([1], 0.5, None)
    assert (bad.refused, bad.missing) == ([0], [1])
    assert found.figures["config.in-force"] == (1.0, "fronts") and "config.in-force.all" not in found.figures


def test_late_versions_are_not_judged() -> None:
    assert judged(sent(2), committed(25, 2), taken(25.5, 0, 2)).spreads == []


def setup(at: float, top_kb: float, sess: str = "a") -> Row:
    return row(at, "setup", front=0, sess=sess, rates_kb=[10.0, top_kb])


def test_what_servers_are_told_is_held_against_what_was_in_force() -> None:
    sets = [{**sent(2), "top_kb": 80.0}, {**sent(3), "top_kb": 81.0}]
    rows = [*sets, committed(1, 2), committed(4, 3), taken(1.5, 0, 2), taken(4.5, 0, 3)]
    asked = [row(4.4, "ask", ask="q"), row(4.8, "answer", ask="q", sess="a")]
    assert not judged(*rows, *asked, setup(4.45, 80.0)).breaches
    assert not judged(*rows, *asked, setup(4.7, 81.0)).breaches
    two = judged(*rows, *asked, setup(4.45, 80.0), setup(4.6, 81.0)).breaches
    assert [breach.rule for breach in two] == [RULES[0]]
    late = [row(6, "ask", ask="q"), row(7, "answer", ask="q", sess="a")]
    assert [b.rule for b in judged(*rows, *late, setup(6.5, 80.0)).breaches] == [RULES[0]]


BROKEN: dict[str, list[Row]] = {
    RULES[0]: [row(1, "decided", front=0, sess="a", first=2, answer=3)],
    RULES[1]: [taken(1, 0, 3), taken(2, 0, 2)],
    RULES[2]: [taken(1, 0, 2, "x"), taken(1, 1, 2, "y")],
    RULES[3]: [row(1, "version-refused", front=0, version=2, why="w"), taken(2, 0, 2)],
    RULES[4]: [committed(1, 2), {**committed(2, 3), "why": "change 2"}],
}


@pytest.mark.parametrize("rule", RULES)
def test_each_rule_is_seen_to_be_broken(rule: str) -> None:
    assert [breach.rule for breach in judged(*BROKEN[rule]).breaches] == [rule]


def test_a_version_that_no_real_front_can_take_is_found_in_force_there_alone() -> None:
    rows = [sent(2, Kind.REFUSED_BY_FRONTS), committed(1, 2), taken(1.5, 0, 2), taken(1.5, 1, 2)]
    assert [breach.who for breach in judged(*rows, fronts=1, hollow=1).breaches] == ["front 0"]


# Changes


def test_changes_are_drawn_from_their_seed_and_do_what_they_are_for() -> None:
    day = load_day(DAYS / "following.day")
    site = day.site.node[0]
    assert isinstance(site, Listing)
    cells, pace = day.site.facts.plant.cells, Pace(SECOND // 2, 0, 0.3, 5)
    drawn = plan(pace, site, cells, 60 * SECOND)
    assert drawn == plan(pace, site, cells, 60 * SECOND) and len(drawn) == 96
    assert drawn != plan(Pace(SECOND // 2, 0, 0.3, 6), site, cells, 60 * SECOND)
    machine = Machine(DAYS.parents[2] / "examples" / "scale")
    first = Change("t", "begin", 0, taken_apart([site]))
    assert machine.apply(1, msgspec.msgpack.encode(first)).version == 1
    prices = machine.items["prices"].text
    for index, change in enumerate(drawn, 2):
        data = msgspec.msgpack.encode(Change("t", change.why, 0, change.sets, list(change.drops)))
        outcome = machine.apply(index, data)
        assert bool(outcome.version) == (change.kind is not Kind.REFUSED_BY_INSTANCES), (change, outcome)
        assert (machine.items["prices"].text != prices) == (change.kind is Kind.REFUSED_BY_FRONTS) or (
            change.kind is Kind.REFUSED_BY_INSTANCES
        )
    assert {change.kind for change in drawn} == set(Kind)


@pytest.mark.parametrize(
    ("held", "told"),
    [
        ("(changes (every 1s))", "without instances"),
        ("(instances 0)", "1 to 9"),
        ("(instances many)", "1 to 9"),
        ("(instances 3) (shell node)", "nodes do not follow"),
        ("(instances 3) (changes (every 1s) (a-minute 5))", "one of them"),
        ("(at 1s (instances_killed))", "without instances"),
        ("(instances 3) (at 1s (instances_killed (how gently)))", "leader-in-change"),
    ],
)
def test_a_day_that_can_not_be_played_is_refused(tmp_path: Path, held: str, told: str) -> None:
    path = tmp_path / "bad.day"
    site = DAYS.parents[2] / "examples" / "planning.pond"
    path.write_text(f'(day bad (site "{site}") {held})')
    with pytest.raises(SettingsError, match=told):
        load_day(path)


# Streams that lose


def test_what_a_stream_loses_comes_later_and_nothing_else_does() -> None:
    network = Network(rng=random.Random(3))
    assert network.resent_after(Fault(loss=0.5), 10 * SEGMENT) == 0.0
    waits = Counter(round(network.resent_after(Fault(resent=0.1), 100), 3) for _ in range(10_000))
    assert 850 < 10_000 - waits[0.0] < 1150
    assert 750 < waits[RESENT_AFTER] < 1050 and 50 < waits[round(3 * RESENT_AFTER, 3)] < 150
    longer = [network.resent_after(Fault(resent=0.1), 10 * SEGMENT) for _ in range(2000)]
    assert 0.5 < sum(wait > 0 for wait in longer) / 2000 < 0.8  # 1 - 0.9 ** 10 = 0.65


def test_what_was_tried_behind_a_cut_never_reaches_the_far_end() -> None:
    async def work() -> tuple[list[bytes], list[tuple[str, str, int]]]:
        network, came = Network(), list[bytes]()
        opened: list[tuple[str, str, int]] = []
        network.opened = lambda source, target, more: opened.append((source, target, more))

        async def far(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            came.append(b"")  # a connection
            came[-1] = await reader.read(100)
            writer.close()

        server = await asyncio.start_server(far, "127.0.0.1", 0)
        try:
            there = await network.stream("front 0", "instance 0", server.sockets[0].getsockname()[:2])
            rules = network.put({"front 0"}, {"instance 0"}, Fault(cut=True))
            for _ in range(3):
                _, writer = await asyncio.open_connection(*there)
                writer.write(b"GET /config/watch")
                await writer.drain()
                writer.close()
            async with asyncio.timeout(10):
                while len(network._wires) < 3:  # the relay has them, and holds them
                    await asyncio.sleep(0.001)
            network.lift(rules)  # all three gave up before
            reader, writer = await asyncio.open_connection(*there)
            writer.write(b"GET /config/file")
            await writer.drain()
            assert await reader.read() == b""
            writer.close()
        finally:
            network.close()
            server.close()
        return came, opened

    async def bounded() -> tuple[list[bytes], list[tuple[str, str, int]]]:
        async with asyncio.timeout(20):
            return await work()

    came, opened = asyncio.run(bounded())
    assert came == [b"GET /config/file"]
    assert opened[0] == ("front 0", "instance 0", 1) and len(opened) <= 2


def test_a_relay_that_has_enough_connections_turns_away_and_goes_on() -> None:
    async def work() -> tuple[int, bytes]:
        network = Network(most_wires=2)

        async def far(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.read(100))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(far, "127.0.0.1", 0)
        try:
            async with asyncio.timeout(20):
                there = await network.stream("front 0", "instance 0", server.sockets[0].getsockname()[:2])
                held = [await asyncio.open_connection(*there) for _ in range(2)]
                for reader, writer in held:
                    writer.write(b"one")
                    assert await reader.read(100) == b"one"
                reader, _ = await asyncio.open_connection(*there)
                with pytest.raises(ConnectionResetError):
                    await reader.read(1)
                for _, writer in held:
                    writer.close()
                while network._wires:
                    await asyncio.sleep(0.001)
                reader, writer = await asyncio.open_connection(*there)
                writer.write(b"two")
                got = await reader.read(100)
                writer.close()
                return network.turned_away, got
        finally:
            network.close()
            server.close()

    assert asyncio.run(work()) == (1, b"two")
