"""Tests of the rollout view: the version each front reports as in force, merged over the config instances."""

import asyncio
import sys
from asyncio.subprocess import PIPE, STDOUT
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from ponddoor.config import rollout
from ponddoor.config.api import Api
from ponddoor.config.commands import _connections, config
from ponddoor.config.machine import Change, Machine, packed, taken_apart
from ponddoor.config.rollout import Report, Reports, Row, Told, lines, merged
from ponddoor.raft.core import Append, Limits, Members, Raft, Role, Voted
from ponddoor.settings.sexpr import parse
from ponddoor.web.client import Pool
from tests.config.test_api import FIRST, Served, put, served
from tests.config.test_machine import FILM, TEXT

from .conftest import fleet


def make_report(front: int = 0, version: int = 3, life: int = 1, number: int = 1, **more: Any) -> Report:
    return Report(front, life, number, version, more.pop("digest", "d"), 500, version, **more)


def make_row(front: int, version: int = 3, ago_ms: int = 100, watching: bool = True, **more: Any) -> Row:
    return Row(front, watching, ago_ms, make_report(front, version, **more))


def make_told(me: int, *rows: Row, version: int = 3, digest: str = "d", apart: bool = False) -> Told:
    return Told(me, version, digest, 900, apart, list(rows))


# The reports that an instance holds


def test_a_later_report_or_life_replaces_an_earlier_one_in_any_order_of_arrival() -> None:
    reports = Reports()
    first, second, restarted = (
        make_report(number=1),
        make_report(number=2, version=4),
        make_report(life=2, version=1),
    )
    assert [
        reports.take(now, report) for now, report in enumerate((second, first, second, restarted, second))
    ] == [
        "",
        "old",
        "old",
        "",
        "old",
    ]
    assert reports.held[0] == (restarted, 3) and reports.counts == {"taken": 2, "old": 3}


def test_the_number_of_reports_is_bounded_and_expired_reports_make_room() -> None:
    reports = Reports(most=2)
    assert [reports.take(now, make_report(now)) for now in range(3)] == ["", "", "too-many"]
    # A front that is already in a full table is updated.
    assert reports.take(5, make_report(1, number=2)) == ""
    assert reports.take(rollout.FORGOTTEN, make_report(7)) == "" and set(reports.held) == {1, 7}


def test_reports_of_removed_fronts_expire_and_those_of_known_silent_fronts_do_not() -> None:
    reports = Reports()
    for front in range(3):
        reports.take(front, make_report(front))
    reports.forget(rollout.FORGOTTEN, {0})
    assert set(reports.held) == {0, 1, 2}
    reports.forget(rollout.FORGOTTEN + 1, {0})
    assert set(reports.held) == {0, 2}


# Merging the reports of all instances


def test_reports_are_merged_by_life_and_number() -> None:
    older, newer = make_row(0, 2, number=1, ago_ms=5), make_row(0, 3, number=2, ago_ms=900)
    for pair in ((older, newer), (newer, older)):
        summary = merged([make_told(0, pair[0]), make_told(1, pair[1])], {})
        assert [(stand.how, stand.version) for stand in summary.stands] == [("in-force", 3)] and summary.whole


@pytest.mark.parametrize(
    ("front_row", "how"),
    [
        (make_row(0), "in-force"),
        (make_row(0, 4), "in-force"),  # the front has a newer version in force
        # Not heard any more, but no front returns to an older version.
        (make_row(0, ago_ms=60_000, watching=False), "in-force"),
        (make_row(0, 2), "lagging"),
        (make_row(0, 2, ago_ms=60_000), "lagging"),  # an instance still has its watch
        (make_row(0, 2, ago_ms=60_000, watching=False), "gone"),
        (make_row(0, 2, refused=3, why="rules"), "refused"),
        (make_row(0, 3, digest="other"), "differs"),
        (Row(0, True), "unheard"),
    ],
)
def test_a_front_is_classified_by_its_report_and_its_watch(front_row: Row, how: str) -> None:
    summary = merged([make_told(0, front_row)], {})
    assert [stand.how for stand in summary.stands] == [how] and summary.whole == (how == "in-force")
    assert summary.count()[how] == 1 and f"1 {how}" in lines(summary)[0]


def test_fronts_that_never_reported_count_as_unheard_when_the_number_of_fronts_is_known() -> None:
    summary = merged([make_told(0, make_row(0)), make_told(1, make_row(9))], {2: "refused"}, fronts=3)
    assert [(stand.front, stand.how) for stand in summary.stands] == [
        (0, "in-force"),
        (1, "unheard"),
        (2, "unheard"),
    ]
    output = lines(summary)
    assert (
        "instance 2 is out of reach: refused" in output and "front 1 unheard" in output and not summary.whole
    )


def test_a_rollout_is_judged_for_an_older_version_and_is_incomplete_without_a_version_or_instance() -> None:
    assert merged([make_told(0, make_row(0, 2))], {}, version=2).whole
    assert not merged([make_told(0, version=0, digest="")], {}).whole
    assert not merged([], {0: "refused"}).whole
    assert "instance 0 is apart" in lines(merged([make_told(0, make_row(0), apart=True)], {}))


def test_the_list_of_lagging_fronts_is_truncated_in_the_output() -> None:
    output = lines(merged([make_told(0, *(make_row(front, 2) for front in range(rollout.SHOWN + 5)))], {}))
    assert "and 5 more that are lagging" in output and len(output) == rollout.SHOWN + 2


# The API


def test_an_invalid_report_is_refused_and_counted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as world:
            world.made[0].reports.most = 1
            valid_body: dict[str, Any] = msgspec.to_builtins(make_report())
            for invalid_field in (
                {"front": -1},
                {"version": -1},
                {"life": "x"},
                {"why": "w" * 201},
                {"more": 1},
                {"digest": "d" * 41},
                {"number": 1 << 63},
            ):
                assert (await world.call("POST", "/config/fronts", valid_body | invalid_field)).status == 422
            assert (await world.call("POST", "/config/fronts", b"not json")).status == 422
            assert (await world.call("POST", "/config/fronts", b"{" + b" " * 20_000)).status == 413
            assert (await world.call("POST", "/config/fronts", valid_body)).status == 204
            assert (await world.call("POST", "/config/fronts", valid_body)).status == 409
            full = await world.call("POST", "/config/fronts", valid_body | {"front": 1})
            assert (full.status, full.headers["retry-after"]) == (503, "60")
            listing: Any = (await world.call("GET", "/config/fronts")).json()
            assert listing["counts"] == {"bad": 8, "taken": 1, "old": 1, "too-many": 1, "dropped-watchers": 0}

    asyncio.run(scenario())


def test_fronts_are_listed_in_pages_with_whether_each_watches(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            for front in (0, 2, 5):
                await world.call("POST", "/config/fronts", make_report(front))
            pool = Pool(*world.apis[0], 4, 1.0)
            watching = pool.stream_lines("/config/watch?after=1&front=3", 5.0)
            assert msgspec.json.decode(await anext(watching)) == {"beat": 1, "apart": False}
            rows: list[Any] = []
            after: Any = ""
            while after is not None:
                path = f"/config/fronts?limit=2{after and f'&after={after}'}"
                page: Any = (await world.call("GET", path)).json()
                rows += [(row["front"], row["watching"], row["report"] is not None) for row in page["rows"]]
                after = page["next"]
            assert rows == [(0, False, True), (2, False, True), (3, True, False), (5, False, True)]
            assert (page["version"], page["digest"]) == (1, world.made[0].machine.digest) and page[
                "since_ms"
            ] >= 0
            await watching.aclose()
            pool.close()

    asyncio.run(scenario())


async def watch_lines(world: Served, path: str, count: int) -> list[dict[str, Any]]:
    """Reads the first `count` lines of a watch."""
    pool, received = Pool(*world.apis[0], 2, 1.0), list[dict[str, Any]]()
    async for line in pool.stream_lines(path, 5.0):
        received.append(msgspec.json.decode(line, type=dict[str, Any]))
        if len(received) == count:
            break
    pool.close()
    return received


def test_a_watch_line_has_the_digest_of_its_version_and_the_place_of_each_step(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            await world.call("PUT", "/config/items/groups/film", put(FILM))
            machine = world.made[0].machine
            _, second = await watch_lines(world, "/config/watch?after=0", 2)
            [step] = second["steps"]
            file = await world.call("GET", "/config/file")
            assert second["digest"] == machine.digest == file.headers["config-digest"]
            assert step["place"] == machine.items["groups/film"].place > 1
            line = world.made[0]._line(machine.history[0])
            assert world.made[0]._line(machine.history[0]) is line  # encoded once for all watchers
            ahead = await world.call("GET", "/config/watch?after=9")
            assert (ahead.status, ahead.headers["etag"]) == (410, '"v2"')

    asyncio.run(scenario())


def test_a_new_watch_of_a_front_replaces_its_earlier_one_and_the_number_of_watchers_is_bounded(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as world:
            api, pool = world.made[0], Pool(*world.apis[0], 9, 1.0)
            api.most_watchers = 2
            first = pool.stream_lines("/config/watch?front=1", 5.0)
            await anext(first)
            second = pool.stream_lines("/config/watch?front=1", 5.0)
            await anext(second)
            assert len(api.watchers) == 1 and api._named[1] in api.watchers
            with pytest.raises(Exception, match="the stream ended"):
                await anext(first)
            third = pool.stream_lines("/config/watch?front=2", 5.0)
            await anext(third)
            assert (await world.call("GET", "/config/watch")).status == 503
            assert (await world.call("GET", "/config/watch?front=x")).status == 422
            await second.aclose()
            await third.aclose()
            pool.close()

    asyncio.run(scenario())


def test_a_restored_snapshot_sends_each_of_its_new_versions_to_watchers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            member, ahead = world.members[0], Machine()
            ahead.restore(member.machine.state())
            for number in (2, 3):
                sets = {"limits": f"(limits (drain-time {number}s))"}
                ahead.apply(number, packed(Change("a", "b", 1, sets)))
            pool = Pool(*world.apis[0], 2, 1.0)
            watching = pool.stream_lines("/config/watch?after=1", 5.0)
            await anext(watching)
            member.machine.restore(ahead.state())
            member.restored()
            received = [msgspec.json.decode(await anext(watching), type=dict[str, Any]) for _ in "ab"]
            numbers = [line["version"] for line in received]
            assert numbers == [2, 3] and member.machine.digest == ahead.digest
            await watching.aclose()
            pool.close()

    asyncio.run(scenario())


def test_state_without_digests_and_places_as_an_earlier_release_wrote_it_is_still_read() -> None:
    machine = Machine()
    machine.apply(1, packed(Change("me", "first", 5, taken_apart(parse(TEXT, "t")))))
    state = msgspec.msgpack.decode(machine.state(), type=dict[str, Any])
    for version in state["history"]:
        del version["digest"]
        for step in version["steps"]:
            del step["place"]
    restored = Machine()
    restored.restore(msgspec.msgpack.encode(state))
    assert restored.digest == machine.digest and restored.history[0].digest == ""


def test_a_version_larger_than_a_front_can_read_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = Machine()
    monkeypatch.setattr("ponddoor.config.machine.MOST_WHOLE", len(TEXT) + 200)
    assert machine.apply(1, packed(Change("a", "b", 1, taken_apart(parse(TEXT, "t"))))).version == 1
    fits = Change("a", "b", 1, {"groups/film": FILM})
    oversize = Change("a", "b", 1, {f"titles/t{n}": f"(title t{n} (home 0) (span 1))" for n in range(20)})
    assert (
        machine.apply(2, packed(oversize)).why == "malformed" and machine.apply(3, packed(fits)).version == 2
    )


# Detecting that an instance is apart from the majority


def test_a_member_without_a_leader_is_apart_only_after_longer_than_an_election() -> None:
    limits = Limits()
    raft = Raft(0, Members(frozenset(range(3))), limits, 7)
    raft.recover(1, None, [])
    raft.heard(1, Append(1, 0, 0, (), 0, 1))
    for tick in range(limits.election + limits.apart + 1):
        assert raft.apart == (tick > limits.election + limits.apart)
        raft.tick()
    raft.tick()
    assert raft.apart
    raft.heard(1, Append(raft.term + 1, 0, 0, (), 0, 1))
    raft.tick()
    assert not raft.apart


def test_a_leader_without_a_majority_is_apart() -> None:
    limits = Limits()
    raft = Raft(0, Members(frozenset(range(3))), limits, 7)
    raft.recover(0, None, [])
    while raft.role is not Role.LEADER:
        raft.durable(raft.written)
        raft.tick()
        raft.heard(1, Voted(raft.term + raft.standing_pre, True, raft.standing_pre))
    for _ in range(2 * limits.election + limits.apart + 2):
        raft.durable(raft.written)
        raft.tick()
    assert raft.role is not Role.LEADER and raft.apart


# The command


def write_cluster_file(folder: Path, apis: dict[int, tuple[str, int]]) -> str:
    """Writes a cluster file that names these API addresses, and returns its path."""
    (folder / "key").write_text("00" * 32)
    members = " ".join(
        f'(member {n} (peers "127.0.0.1:{n + 1}") (api "{host}:{port}"))' for n, (host, port) in apis.items()
    )
    path = folder / "cluster.pond"
    path.write_text(f'(cluster c (key-file "key") {members})')
    return str(path)


async def run_rollout(*arguments: str) -> tuple[int, str]:
    """Runs `ponddoor config rollout` as a process of its own; returns its exit status and its output."""
    command = (sys.executable, "-m", "ponddoor.cli", "config", "rollout", *arguments)
    process = await asyncio.create_subprocess_exec(*command, stdout=PIPE, stderr=STDOUT)
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


def test_the_command_waits_for_all_fronts_and_names_those_without_the_version(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, instances=3, fronts=2) as deployment:
            file = write_cluster_file(tmp_path, deployment.instances.apis)
            version = await deployment.commit({"limits": "(limits (held 9) (drain-time 0s))"})
            status, output = await run_rollout("--cluster", file, "--fronts", "2", "--within", "20s")
            assert status == 0 and output.startswith(
                f"version {version} of 2 fronts: 2 in-force, committed "
            ), output
            rules = deployment.initial_items()["rules"].replace("(cold 2s)", "(cold 3s)")
            invalid = await deployment.commit({"rules": rules})

            def refusals_reported(apis: list[Api]) -> bool:
                reports = [api.reports.held for api in apis]
                return (
                    len({n for held in reports for n, pair in held.items() if pair[0].refused == invalid})
                    == 2
                )

            await deployment.world.until(lambda: refusals_reported(deployment.instances.made))
            await deployment.instances.webs[0].close()
            # Fronts that watched instance 0 move to the others.
            await deployment.world.until(lambda: refusals_reported(deployment.instances.made[1:]))
            status, output = await run_rollout("--cluster", file, "--within", "0s")
            assert status == 1 and "2 refused" in output and "rules: only at a start" in output, output
            assert "instance 0 is out of reach" in output
            status, output = await run_rollout(
                "--cluster", file, "--within", "0s", "--version", str(version), "--json"
            )
            result = msgspec.json.decode(output, type=dict[str, Any])
            assert status == 0 and result["whole"] and result["counts"]["in-force"] == 2
            status, output = await run_rollout(
                "--cluster", file, "--within", "0s", "--version", "2", "--fronts", "3"
            )
            assert status == 1 and "front 2 unheard" in output

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "arguments", [("--within", "soon"), ("--within", "9"), ("--fronts", "0"), ("--version", "x")]
)
def test_invalid_arguments_and_a_missing_cluster_file_are_usage_errors(
    tmp_path: Path, arguments: tuple[str, ...]
) -> None:
    file = write_cluster_file(tmp_path, {0: ("127.0.0.1", 9)})
    invalid = CliRunner().invoke(config, ["rollout", "--cluster", file, *arguments])
    assert invalid.exit_code == 2
    missing_file = CliRunner().invoke(config, ["rollout", "--cluster", str(tmp_path / "none")])
    assert missing_file.exit_code == 2 and missing_file.output.count("\n") == 1


@pytest.mark.parametrize(
    ("soft_limit", "connections"), [(1024, 960), (2064, 2000), (20_000, 2000), (-1, 2000)]
)
def test_the_limit_of_file_descriptors_bounds_the_connections(
    monkeypatch: pytest.MonkeyPatch, soft_limit: int, connections: int
) -> None:
    monkeypatch.setattr("resource.getrlimit", lambda resource: (soft_limit, 1 << 20))
    assert _connections() == connections


def test_the_command_fails_when_no_instance_answers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as world:
            file = write_cluster_file(tmp_path, world.apis)
            await world.webs[0].close()
            status, output = await run_rollout("--cluster", file, "--within", "0s")
            assert status == 1 and "instance 0 is out of reach" in output

    asyncio.run(scenario())
