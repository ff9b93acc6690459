"""Which version each front has in force: what an instance keeps, what all say together, and the command."""

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


def report(front: int = 0, version: int = 3, life: int = 1, number: int = 1, **more: Any) -> Report:
    return Report(front, life, number, version, more.pop("digest", "d"), 500, version, **more)


def row(front: int, version: int = 3, ago_ms: int = 100, watching: bool = True, **more: Any) -> Row:
    return Row(front, watching, ago_ms, report(front, version, **more))


def told(me: int, *rows: Row, version: int = 3, digest: str = "d", apart: bool = False) -> Told:
    return Told(me, version, digest, 900, apart, list(rows))


# What an instance keeps


def test_the_newer_of_two_counts_in_whatever_order_they_come() -> None:
    held = Reports()
    first, second, reborn = report(number=1), report(number=2, version=4), report(life=2, version=1)
    assert [held.take(now, one) for now, one in enumerate((second, first, second, reborn, second))] == [
        "",
        "old",
        "old",
        "",
        "old",
    ]
    assert held.held[0] == (reborn, 3) and held.counts == {"taken": 2, "old": 3}


def test_the_table_has_a_bound_and_the_forgotten_make_room() -> None:
    held = Reports(most=2)
    assert [held.take(now, report(now)) for now in range(3)] == ["", "", "too-many"]
    assert held.take(5, report(1, number=2)) == ""  # who is in it stays in it
    assert held.take(rollout.FORGOTTEN, report(7)) == "" and set(held.held) == {1, 7}


def test_who_is_no_more_is_forgotten_and_who_is_quiet_is_not() -> None:
    held = Reports()
    for front in range(3):
        held.take(front, report(front))
    held.forget(rollout.FORGOTTEN, {0})
    assert set(held.held) == {0, 1, 2}
    held.forget(rollout.FORGOTTEN + 1, {0})
    assert set(held.held) == {0, 2}


# What all say together


def test_reports_are_merged_by_life_and_number() -> None:
    old, new = row(0, 2, number=1, ago_ms=5), row(0, 3, number=2, ago_ms=900)
    for pair in ((old, new), (new, old)):
        found = merged([told(0, pair[0]), told(1, pair[1])], {})
        assert [(stand.how, stand.version) for stand in found.stands] == [("in-force", 3)] and found.whole


@pytest.mark.parametrize(
    ("one", "how"),
    [
        (row(0), "in-force"),
        (row(0, 4), "in-force"),  # it has gone by
        (row(0, ago_ms=60_000, watching=False), "in-force"),  # gone, but none goes back
        (row(0, 2), "lagging"),
        (row(0, 2, ago_ms=60_000), "lagging"),  # it is still watched for
        (row(0, 2, ago_ms=60_000, watching=False), "gone"),
        (row(0, 2, refused=3, why="rules"), "refused"),
        (row(0, 3, digest="other"), "differs"),
        (Row(0, True), "unheard"),
    ],
)
def test_how_a_front_stands(one: Row, how: str) -> None:
    found = merged([told(0, one)], {})
    assert [stand.how for stand in found.stands] == [how] and found.whole == (how == "in-force")
    assert found.count()[how] == 1 and f"1 {how}" in lines(found)[0]


def test_who_was_never_heard_is_missed_where_their_number_is_known() -> None:
    found = merged([told(0, row(0)), told(1, row(9))], {2: "refused"}, fronts=3)
    assert [(stand.front, stand.how) for stand in found.stands] == [
        (0, "in-force"),
        (1, "unheard"),
        (2, "unheard"),
    ]
    said = lines(found)
    assert "instance 2 is out of reach: refused" in said and "front 1 unheard" in said and not found.whole


def test_an_older_version_and_none_at_all() -> None:
    assert merged([told(0, row(0, 2))], {}, version=2).whole
    assert not merged([told(0, version=0, digest="")], {}).whole
    assert not merged([], {0: "refused"}).whole
    assert "instance 0 is apart" in lines(merged([told(0, row(0), apart=True)], {}))


def test_a_crowd_of_laggards_is_shown_in_part() -> None:
    said = lines(merged([told(0, *(row(front, 2) for front in range(rollout.SHOWN + 5)))], {}))
    assert "and 5 more that are lagging" in said and len(said) == rollout.SHOWN + 2


# The API


def test_a_bad_report_is_refused_and_counted(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            world.made[0].reports.most = 1
            good: dict[str, Any] = msgspec.to_builtins(report())
            for spoil in (
                {"front": -1},
                {"version": -1},
                {"life": "x"},
                {"why": "w" * 201},
                {"more": 1},
                {"digest": "d" * 41},
                {"number": 1 << 63},
            ):
                assert (await world.call("POST", "/config/fronts", good | spoil)).status == 422
            assert (await world.call("POST", "/config/fronts", b"not json")).status == 422
            assert (await world.call("POST", "/config/fronts", b"{" + b" " * 20_000)).status == 413
            assert (await world.call("POST", "/config/fronts", good)).status == 204
            assert (await world.call("POST", "/config/fronts", good)).status == 409
            full = await world.call("POST", "/config/fronts", good | {"front": 1})
            assert (full.status, full.headers["retry-after"]) == (503, "60")
            got: Any = (await world.call("GET", "/config/fronts")).json()
            assert got["counts"] == {"bad": 8, "taken": 1, "old": 1, "too-many": 1, "dropped-watchers": 0}

    asyncio.run(live())


def test_fronts_are_told_a_page_at_a_time_with_who_watches(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            for front in (0, 2, 5):
                await world.call("POST", "/config/fronts", report(front))
            pool = Pool(*world.apis[0], 4, 1.0)
            watching = pool.lines("/config/watch?after=1&front=3", 5.0)
            assert msgspec.json.decode(await anext(watching)) == {"beat": 1, "apart": False}
            rows: list[Any] = []
            after: Any = ""
            while after is not None:
                page = f"/config/fronts?limit=2{after and f'&after={after}'}"
                got: Any = (await world.call("GET", page)).json()
                rows += [(one["front"], one["watching"], one["report"] is not None) for one in got["rows"]]
                after = got["next"]
            assert rows == [(0, False, True), (2, False, True), (3, True, False), (5, False, True)]
            assert (got["version"], got["digest"]) == (1, world.made[0].machine.digest) and got[
                "since_ms"
            ] >= 0
            await watching.aclose()
            pool.close()

    asyncio.run(live())


async def seen(world: Served, path: str, count: int) -> list[dict[str, Any]]:
    pool, got = Pool(*world.apis[0], 2, 1.0), list[dict[str, Any]]()
    async for line in pool.lines(path, 5.0):
        got.append(msgspec.json.decode(line, type=dict[str, Any]))
        if len(got) == count:
            break
    pool.close()
    return got


def test_a_versions_line_has_its_digest_and_its_steps_their_places(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            await world.call("PUT", "/config/items/groups/film", put(FILM))
            machine = world.made[0].machine
            _, second = await seen(world, "/config/watch?after=0", 2)
            [step] = second["steps"]
            file = await world.call("GET", "/config/file")
            assert second["digest"] == machine.digest == file.headers["config-digest"]
            assert step["place"] == machine.items["groups/film"].place > 1
            line = world.made[0]._line(machine.history[0])
            assert world.made[0]._line(machine.history[0]) is line  # made once, however many watch
            late = await world.call("GET", "/config/watch?after=9")
            assert (late.status, late.headers["etag"]) == (410, '"v2"')

    asyncio.run(live())


def test_a_front_watches_once_and_watchers_have_a_bound(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            made, pool = world.made[0], Pool(*world.apis[0], 9, 1.0)
            made.most_watchers = 2
            first = pool.lines("/config/watch?front=1", 5.0)
            await anext(first)
            second = pool.lines("/config/watch?front=1", 5.0)
            await anext(second)
            assert len(made.watchers) == 1 and made._named[1] in made.watchers
            with pytest.raises(Exception, match="the stream ended"):
                await anext(first)
            third = pool.lines("/config/watch?front=2", 5.0)
            await anext(third)
            assert (await world.call("GET", "/config/watch")).status == 503
            assert (await world.call("GET", "/config/watch?front=x")).status == 422
            await second.aclose()
            await third.aclose()
            pool.close()

    asyncio.run(live())


def test_a_snapshot_that_brings_several_versions_tells_who_watches(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            member, ahead = world.members[0], Machine()
            ahead.restore(member.machine.state())
            for number in (2, 3):
                sets = {"limits": f"(limits (drain-time {number}s))"}
                ahead.apply(number, packed(Change("a", "b", 1, sets)))
            pool = Pool(*world.apis[0], 2, 1.0)
            watching = pool.lines("/config/watch?after=1", 5.0)
            await anext(watching)
            member.machine.restore(ahead.state())
            member.restored()
            came = [msgspec.json.decode(await anext(watching), type=dict[str, Any]) for _ in "ab"]
            numbers = [line["version"] for line in came]
            assert numbers == [2, 3] and member.machine.digest == ahead.digest
            await watching.aclose()
            pool.close()

    asyncio.run(live())


def test_what_an_earlier_release_kept_is_still_read() -> None:
    machine = Machine()
    machine.apply(1, packed(Change("me", "first", 5, taken_apart(parse(TEXT, "t")))))
    whole = msgspec.msgpack.decode(machine.state(), type=dict[str, Any])
    for version in whole["history"]:
        del version["digest"]
        for step in version["steps"]:
            del step["place"]
    again = Machine()
    again.restore(msgspec.msgpack.encode(whole))
    assert again.digest == machine.digest and again.history[0].digest == ""


def test_a_version_that_no_front_could_read_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = Machine()
    monkeypatch.setattr("ponddoor.config.machine.MOST_WHOLE", len(TEXT) + 200)
    assert machine.apply(1, packed(Change("a", "b", 1, taken_apart(parse(TEXT, "t"))))).version == 1
    fits = Change("a", "b", 1, {"groups/film": FILM})
    over = Change("a", "b", 1, {f"titles/t{n}": f"(title t{n} (home 0) (span 1))" for n in range(20)})
    assert machine.apply(2, packed(over)).why == "malformed" and machine.apply(3, packed(fits)).version == 2


# Apart


def test_who_hears_no_leader_for_a_while_is_apart_and_an_election_is_no_while() -> None:
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


def cluster(folder: Path, apis: dict[int, tuple[str, int]]) -> str:
    (folder / "key").write_text("00" * 32)
    members = " ".join(
        f'(member {n} (peers "127.0.0.1:{n + 1}") (api "{host}:{port}"))' for n, (host, port) in apis.items()
    )
    path = folder / "cluster.pond"
    path.write_text(f'(cluster c (key-file "key") {members})')
    return str(path)


async def run(*words: str) -> tuple[int, str]:
    """The command as a process of its own: its status and what it said."""
    command = (sys.executable, "-m", "ponddoor.cli", "config", "rollout", *words)
    process = await asyncio.create_subprocess_exec(*command, stdout=PIPE, stderr=STDOUT)
    said, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, said.decode()


def test_the_command_waits_for_all_fronts_and_names_who_has_it_not(tmp_path: Path) -> None:
    async def live() -> None:
        async with fleet(tmp_path, instances=3, fronts=2) as made:
            file = cluster(tmp_path, made.instances.apis)
            version = await made.commit({"limits": "(limits (held 9) (drain-time 0s))"})
            status, said = await run("--cluster", file, "--fronts", "2", "--within", "20s")
            assert status == 0 and said.startswith(
                f"version {version} of 2 fronts: 2 in-force, committed "
            ), said
            rules = made.first()["rules"].replace("(cold 2s)", "(cold 3s)")
            bad = await made.commit({"rules": rules})

            def all_told(among: list[Api]) -> bool:
                held = [api.reports.held for api in among]
                return len({n for one in held for n, got in one.items() if got[0].refused == bad}) == 2

            await made.world.until(lambda: all_told(made.instances.made))
            await made.instances.webs[0].close()
            await made.world.until(lambda: all_told(made.instances.made[1:]))  # who watched there moves on
            status, said = await run("--cluster", file, "--within", "0s")
            assert status == 1 and "2 refused" in said and "rules: only at a start" in said, said
            assert "instance 0 is out of reach" in said
            status, said = await run("--cluster", file, "--within", "0s", "--version", str(version), "--json")
            found = msgspec.json.decode(said, type=dict[str, Any])
            assert status == 0 and found["whole"] and found["counts"]["in-force"] == 2
            status, said = await run("--cluster", file, "--within", "0s", "--version", "2", "--fronts", "3")
            assert status == 1 and "front 2 unheard" in said

    asyncio.run(live())


@pytest.mark.parametrize(
    "words", [("--within", "soon"), ("--within", "9"), ("--fronts", "0"), ("--version", "x")]
)
def test_input_that_can_not_be_used(tmp_path: Path, words: tuple[str, ...]) -> None:
    file = cluster(tmp_path, {0: ("127.0.0.1", 9)})
    got = CliRunner().invoke(config, ["rollout", "--cluster", file, *words])
    assert got.exit_code == 2
    nowhere = CliRunner().invoke(config, ["rollout", "--cluster", str(tmp_path / "none")])
    assert nowhere.exit_code == 2 and nowhere.output.count("\n") == 1


@pytest.mark.parametrize(("soft", "most"), [(1024, 960), (2064, 2000), (20_000, 2000), (-1, 2000)])
def test_the_descriptors_at_hand_bound_the_connections(
    monkeypatch: pytest.MonkeyPatch, soft: int, most: int
) -> None:
    monkeypatch.setattr("resource.getrlimit", lambda what: (soft, 1 << 20))
    assert _connections() == most


def test_nobody_in_reach(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            file = cluster(tmp_path, world.apis)
            await world.webs[0].close()
            status, said = await run("--cluster", file, "--within", "0s")
            assert status == 1 and "instance 0 is out of reach" in said

    asyncio.run(live())
