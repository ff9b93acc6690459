"""Rehearses a day on which fronts follow config instances under faults, and tests the audit of such days.

Fronts and instances are processes. The day is judged by counts and by its audit, never by a time that only a
fast machine meets."""

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
SECOND_US = 1_000_000
Row = dict[str, Any]


def test_after_a_day_of_faults_all_fronts_run_the_newest_valid_version_and_no_rule_is_broken(
    tmp_path: Path,
) -> None:
    command = [sys.executable, "-m", "ponddoor.cli", "rehearse", str(DAYS / "following.day"), "--no-baseline"]
    completed = subprocess.run(
        [*command, "--json", "--keep", str(tmp_path)], capture_output=True, timeout=170
    )
    assert completed.returncode == 0, completed.stdout.decode() + completed.stderr.decode()
    [run] = msgspec.json.decode(completed.stdout, type=list[dict[str, Any]])
    day = load_day(DAYS / "following.day")
    front_count, config = day.fronts + day.hollow, run["config"]
    assert run["breaches"] == []
    assert config["config.in-force, fronts"] == front_count
    assert config["config.title-known, fronts"] == day.fronts
    assert config["config.rollout, fronts, as ponddoor config tells"] == front_count
    rows, _ = read(next(tmp_path.iterdir()))
    row_counts = Counter(row["what"] for row in rows)
    kinds = Counter(row["kind"] for row in rows if row["what"] == "change-answered")
    assert all(kinds[kind.value] for kind in Kind), kinds
    assert all(row["version"] != -1 for row in rows if row["what"] == "change-answered")
    refusals = {row["front"] for row in rows if row["what"] == "version-refused"}
    assert set(range(day.fronts)) <= refusals, "a front accepted changed prices while in service"
    assert any(row["what"] == "killed" and row["process"].startswith("instance") for row in rows)
    assert row_counts["decided"] >= run["viewers"] > 50
    newest = max(row["version"] for row in rows if row["what"] == "committed")
    last_version: dict[int, int] = {}
    for row in rows:
        if row["what"] == "in-force":
            last_version[row["front"]] = row["version"]
    assert last_version == dict.fromkeys(range(front_count), newest)


# The audit of a day with configuration changes


def row(at_s: float, what: str, **fields: Any) -> Row:
    return {"at": round(at_s * SECOND_US), "who": "test", "what": what, **fields}


def change_sent(number: int, kind: Kind = Kind.GOOD) -> Row:
    return row(0.5, "change-sent", number=number, kind=kind.value, title="")


def committed(at_s: float, version: int) -> Row:
    return row(at_s, "committed", version=version, why=f"change {version}", when_us=0, instance=0)


def in_force(at_s: float, front: int, version: int, digest: str = "") -> Row:
    return row(at_s, "in-force", front=front, version=version, digest=digest or f"d{version}")


def audit_rows(*rows: Row, fronts: int = 2, hollow: int = 0) -> Followed:
    measured_from = row(0, "config-measured-from", moment=0)
    instance_sums = [
        row(30, "instance-sums", instance=n, seconds=3.0, memory=0, received=0, sent=0, writes=0, raft=0,
            most_connections=0, requests=[])
        for n in range(2)
    ]  # fmt: skip
    ordered = sorted([measured_from, *rows, *instance_sums], key=lambda row: int(row["at"]))
    return followed(ordered, fronts, hollow, Instances(2, True, "calm"))


def test_spread_counts_a_newer_version_as_arrival_and_starts_for_a_cut_front_at_its_return() -> None:
    instances = ["instance 0", "instance 1"]
    cut = {"ways": [[["front 1"], instances], [instances, ["front 1"]]], "fault": {"cut": True}}
    audit = audit_rows(
        change_sent(2),
        change_sent(3),
        committed(1, 2),
        committed(2, 3),
        in_force(1.25, 0, 2),
        in_force(2.5, 0, 3),
        row(0.9, "link-fault", **cut),
        row(8, "link-whole", **cut),
        in_force(8.5, 1, 3),
    )
    assert [spread.after for spread in audit.spreads] == [[0.25, 0.5], [0.5, 0.5]]
    assert audit.figures["config.in-force.all"] == (0.5, "s")
    assert audit.figures["config.in-force.returned.all"] == (0.5, "s")
    assert audit.figures["config.in-force.not-cut.p999"] == (0.5, "s")
    assert audit.figures["config.instance-cpu"] == (0.1, "cores an instance, most")
    assert not audit.breaches


def test_a_front_without_the_version_is_missing_and_one_that_refused_it_is_counted_separately() -> None:
    rows = [
        change_sent(2),
        change_sent(3, Kind.REFUSED_BY_FRONTS),
        committed(1, 2),
        committed(2, 3),
        in_force(1.5, 0, 2),
    ]
    audit = audit_rows(*rows, row(2.1, "version-refused", front=0, version=3, why="prices"))
    accepted, refused = audit.spreads
    assert (accepted.missing, accepted.until(0.5), accepted.until(1.0)) == ([1], 0.5, None)
    assert (refused.refused, refused.missing) == ([0], [1])
    assert audit.figures["config.in-force"] == (1.0, "fronts") and "config.in-force.all" not in audit.figures


def test_versions_committed_too_late_in_the_day_are_left_out_of_the_spreads() -> None:
    assert audit_rows(change_sent(2), committed(25, 2), in_force(25.5, 0, 2)).spreads == []


def setup_sent(at_s: float, top_kb: float, sess: str = "a") -> Row:
    return row(at_s, "setup", front=0, sess=sess, rates_kb=[10.0, top_kb])


def test_the_rates_in_a_setup_must_be_those_of_the_version_in_force() -> None:
    changes = [{**change_sent(2), "top_kb": 80.0}, {**change_sent(3), "top_kb": 81.0}]
    rows = [*changes, committed(1, 2), committed(4, 3), in_force(1.5, 0, 2), in_force(4.5, 0, 3)]
    request = [row(4.4, "ask", ask="q"), row(4.8, "answer", ask="q", sess="a")]
    assert not audit_rows(*rows, *request, setup_sent(4.45, 80.0)).breaches
    assert not audit_rows(*rows, *request, setup_sent(4.7, 81.0)).breaches
    two_versions = audit_rows(*rows, *request, setup_sent(4.45, 80.0), setup_sent(4.6, 81.0)).breaches
    assert [breach.rule for breach in two_versions] == [RULES[0]]
    later_request = [row(6, "ask", ask="q"), row(7, "answer", ask="q", sess="a")]
    assert [breach.rule for breach in audit_rows(*rows, *later_request, setup_sent(6.5, 80.0)).breaches] == [
        RULES[0]
    ]


ROWS_BREAKING: dict[str, list[Row]] = {
    RULES[0]: [row(1, "decided", front=0, sess="a", first=2, answer=3)],
    RULES[1]: [in_force(1, 0, 3), in_force(2, 0, 2)],
    RULES[2]: [in_force(1, 0, 2, "x"), in_force(1, 1, 2, "y")],
    RULES[3]: [row(1, "version-refused", front=0, version=2, why="w"), in_force(2, 0, 2)],
    RULES[4]: [committed(1, 2), {**committed(2, 3), "why": "change 2"}],
}


@pytest.mark.parametrize("rule", RULES)
def test_a_breach_of_each_rule_is_reported(rule: str) -> None:
    assert [breach.rule for breach in audit_rows(*ROWS_BREAKING[rule]).breaches] == [rule]


def test_a_version_that_real_fronts_must_refuse_is_a_breach_on_real_fronts_and_not_on_hollow_ones() -> None:
    rows = [change_sent(2, Kind.REFUSED_BY_FRONTS), committed(1, 2), in_force(1.5, 0, 2), in_force(1.5, 1, 2)]
    assert [breach.who for breach in audit_rows(*rows, fronts=1, hollow=1).breaches] == ["front 0"]


# Generated configuration changes


def test_changes_are_reproducible_from_their_seed_and_have_the_effect_of_their_kind() -> None:
    day = load_day(DAYS / "following.day")
    site = day.site.node[0]
    assert isinstance(site, Listing)
    cells, pace = day.site.facts.plant.cells, Pace(SECOND_US // 2, 0, 0.3, 5)
    changes = plan(pace, site, cells, 60 * SECOND_US)
    assert changes == plan(pace, site, cells, 60 * SECOND_US) and len(changes) == 96
    assert changes != plan(Pace(SECOND_US // 2, 0, 0.3, 6), site, cells, 60 * SECOND_US)
    machine = Machine(DAYS.parents[2] / "examples" / "scale")
    first = Change("t", "begin", 0, taken_apart([site]))
    assert machine.apply(1, msgspec.msgpack.encode(first)).version == 1
    prices = machine.items["prices"].text
    for index, change in enumerate(changes, 2):
        data = msgspec.msgpack.encode(Change("t", change.why, 0, change.sets, list(change.drops)))
        outcome = machine.apply(index, data)
        assert bool(outcome.version) == (change.kind is not Kind.REFUSED_BY_INSTANCES), (change, outcome)
        assert (machine.items["prices"].text != prices) == (change.kind is Kind.REFUSED_BY_FRONTS) or (
            change.kind is Kind.REFUSED_BY_INSTANCES
        )
    assert {change.kind for change in changes} == set(Kind)


@pytest.mark.parametrize(
    ("fields", "message"),
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
def test_an_invalid_day_file_is_refused(tmp_path: Path, fields: str, message: str) -> None:
    path = tmp_path / "bad.day"
    site = DAYS.parents[2] / "examples" / "planning.pond"
    path.write_text(f'(day bad (site "{site}") {fields})')
    with pytest.raises(SettingsError, match=message):
        load_day(path)


# Relayed streams with loss and cuts


def test_the_relay_delays_lost_segments_by_the_resend_time_and_no_others() -> None:
    network = Network(rng=random.Random(3))
    assert network.resent_after(Fault(loss=0.5), 10 * SEGMENT) == 0.0
    delays = Counter(round(network.resent_after(Fault(resent=0.1), 100), 3) for _ in range(10_000))
    assert 850 < 10_000 - delays[0.0] < 1150
    assert 750 < delays[RESENT_AFTER] < 1050 and 50 < delays[round(3 * RESENT_AFTER, 3)] < 150
    ten_segment_delays = [network.resent_after(Fault(resent=0.1), 10 * SEGMENT) for _ in range(2000)]
    assert 0.5 < sum(delay > 0 for delay in ten_segment_delays) / 2000 < 0.8  # expected: 1 - 0.9 ** 10 = 0.65


def test_connections_opened_and_closed_during_a_cut_never_reach_the_target() -> None:
    async def scenario() -> tuple[list[bytes], list[tuple[str, str, int]]]:
        network, received = Network(), list[bytes]()
        opened: list[tuple[str, str, int]] = []
        network.opened = lambda source, target, more: opened.append((source, target, more))

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append(b"")  # one entry for each connection
            received[-1] = await reader.read(100)
            writer.close()

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        try:
            relay_address = await network.stream("front 0", "instance 0", server.sockets[0].getsockname()[:2])
            rules = network.put({"front 0"}, {"instance 0"}, Fault(cut=True))
            for _ in range(3):
                _, writer = await asyncio.open_connection(*relay_address)
                writer.write(b"GET /config/watch")
                await writer.drain()
                writer.close()
            async with asyncio.timeout(10):
                while len(network._wires) < 3:  # the relay has accepted all three and holds them
                    await asyncio.sleep(0.001)
            network.lift(rules)  # all three clients have closed before
            reader, writer = await asyncio.open_connection(*relay_address)
            writer.write(b"GET /config/file")
            await writer.drain()
            assert await reader.read() == b""
            writer.close()
        finally:
            network.close()
            server.close()
        return received, opened

    async def scenario_with_timeout() -> tuple[list[bytes], list[tuple[str, str, int]]]:
        async with asyncio.timeout(20):
            return await scenario()

    received, opened = asyncio.run(scenario_with_timeout())
    assert received == [b"GET /config/file"]
    assert opened[0] == ("front 0", "instance 0", 1) and len(opened) <= 2


def test_a_relay_at_its_connection_limit_refuses_new_ones_and_accepts_again_after_closes() -> None:
    async def scenario() -> tuple[int, bytes]:
        network = Network(most_wires=2)

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.read(100))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        try:
            async with asyncio.timeout(20):
                relay_address = await network.stream(
                    "front 0", "instance 0", server.sockets[0].getsockname()[:2]
                )
                connections = [await asyncio.open_connection(*relay_address) for _ in range(2)]
                for reader, writer in connections:
                    writer.write(b"one")
                    assert await reader.read(100) == b"one"
                reader, _ = await asyncio.open_connection(*relay_address)
                with pytest.raises(ConnectionResetError):
                    await reader.read(1)
                for _, writer in connections:
                    writer.close()
                while network._wires:
                    await asyncio.sleep(0.001)
                reader, writer = await asyncio.open_connection(*relay_address)
                writer.write(b"two")
                echoed = await reader.read(100)
                writer.close()
                return network.turned_away, echoed
        finally:
            network.close()
            server.close()

    assert asyncio.run(scenario()) == (1, b"two")
