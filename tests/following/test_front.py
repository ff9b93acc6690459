"""Fronts that follow config instances: taking versions, refusing them, and restarting with a kept one."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ponddoor.decide import Front
from ponddoor.front import taking
from ponddoor.front.engine import Engine
from ponddoor.front.follower import Follower
from ponddoor.front.following import Following
from ponddoor.front.limits import AdmissionGate, LagMeter
from ponddoor.front.process import FrontProcess
from ponddoor.front.trace import replay
from ponddoor.interface import events as ev
from ponddoor.raft.core import Role
from ponddoor.seats.core import Granted
from ponddoor.settings.sexpr import SettingsError
from ponddoor.settings.site import loads
from ponddoor.web.server import Reply, Request, Server, ServerLimits
from tests.config.test_api import FIRST, put, served
from tests.front.conftest import site_text
from tests.front.test_engine import REQUEST

from .conftest import Fleet, fleet, follow_settings

CLIPS = "(group clips (start-target 1s) (setup-timeout 8s) (utility 1))"
FILM = "(group film (start-target 1s) (setup-timeout 8s) (utility 1) (top 0))"
TALK = "(group talk (start-target 1s) (setup-timeout 8s) (utility 1))"
LOW = "(ladder (rung (rate 50kB/s) (utility 1)))"
Scenario = Callable[[Fleet], Coroutine[Any, Any, None]]


def run_scenario(scenario: Scenario, folder: Path, **options: Any) -> None:
    """Runs the scenario against a `fleet` in `folder` with these options."""

    async def run() -> None:
        async with fleet(folder, **options) as deployment:
            await scenario(deployment)

    asyncio.run(run())


# Effect of a version on new and open requests


def test_a_new_request_uses_the_new_version_and_an_open_one_keeps_its_own(tmp_path: Path) -> None:
    async def scenario(deployment: Fleet) -> None:
        world, front = deployment.world, deployment.world.fronts[0]
        await deployment.change({"groups/clips": CLIPS})
        for media in world.media:
            media.awake.clear()  # the media server accepts a SETUP and does not answer it
        open_request = asyncio.create_task(world.ask())
        await world.until(lambda: world.seen("setup"))
        await deployment.change({"groups/clips": CLIPS[:-1] + " (top 0))", "ladder": LOW})
        [session] = front.engine._sessions.values()
        assert (session.group.top, len(session.ladder.rate_kb)) == (2, 3)
        for media in world.media:
            media.awake.set()
        old_answer = (await open_request).json()
        new_answer = (await world.ask()).json()
        assert (old_answer["state"], new_answer["state"], new_answer["rung"]) == ("playing", "playing", 0)
        # The session keeps its rung and rate to its end, although the new ladder does not have that rung.
        assert old_answer["rung"] == 2
        assert {stream.setup.rates_kb for media in world.media for stream in media.streams.values()} == {
            (100.0, 300.0, 900.0),
            (50.0,),
        }
        state = (await world.call("GET", f"/sessions/{old_answer['session']}")).json()
        assert (state["rung"], state["group"]) == (2, "clips")
        assert front.engine.counts.faults == 0

    run_scenario(scenario, tmp_path, timeout="8s")


def test_removed_and_added_groups_keep_their_numbers(tmp_path: Path) -> None:
    async def scenario(deployment: Fleet) -> None:
        world, front = deployment.world, deployment.world.fronts[0]
        await deployment.change({"groups/film": FILM})
        playing = (await world.ask(group="film")).json()
        assert (playing["state"], playing["rung"]) == ("playing", 0)
        await deployment.change({"groups/talk": TALK}, ("groups/clips",))
        assert front.terms.groups == {"film": 1, "talk": 2}
        refused = await world.ask(group="clips")
        assert (refused.status, refused.json()["error"]) == (422, "no-such-service-group")
        assert (await world.ask(group="talk")).json()["state"] == "playing"
        await deployment.change({"groups/clips": CLIPS}, ("groups/film",))
        assert front.terms.groups == {"clips": 0, "talk": 2}
        later_state = (await world.call("GET", f"/sessions/{playing['session']}")).json()
        assert (later_state["state"], later_state["group"]) == ("playing", "film")

    run_scenario(scenario, tmp_path)


def test_a_repeated_request_gets_the_first_answer_after_its_group_and_title_were_removed(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Fleet) -> None:
        world = deployment.world
        first = await world.ask(key="k")
        title_items = {"titles/u": '(title "u" (home 0) (span 1))'}
        await deployment.change({"groups/talk": TALK, **title_items}, ("groups/clips",))
        repeated, conflicting = await world.ask(key="k"), await world.ask(key="k", top=1)
        assert (repeated.status, repeated.json()["session"]) == (201, first.json()["session"])
        assert (conflicting.status, conflicting.json()["error"]) == (422, "key-used-otherwise")
        assert (await world.ask(group="talk")).json()["error"] == "no-such-title"

    run_scenario(scenario, tmp_path)


class DelayedSeating:
    """Grants seats once the test sets `granted`; records the seats that are given back."""

    def __init__(self) -> None:
        self.granted, self.requested, self.returned = asyncio.Event(), asyncio.Event(), list[str]()

    async def take(self, key: tuple[str, str], viewer: str, sess: str) -> Granted:
        self.requested.set()
        await self.granted.wait()
        return Granted(1, "seat", key, viewer, sess, 1, 1 << 60)

    def give_back(self, key: tuple[str, str], seat: str, viewer: str) -> None:
        self.returned.append(seat)

    def token(self, granted: Granted) -> str:
        return "token"


@pytest.mark.parametrize("group_removed", [True, False])
def test_a_request_that_waited_for_a_seat_is_decided_by_the_version_in_force_afterwards(
    tmp_path: Path, group_removed: bool
) -> None:
    async def scenario(deployment: Fleet) -> None:
        world, front = deployment.world, deployment.world.fronts[0]
        await deployment.change({"groups/clips": CLIPS})
        seating: Any = DelayedSeating()
        front.viewers.seating = seating
        request = asyncio.create_task(world.ask(viewer="v", entitlement="e"))
        await world.until(seating.requested.is_set)
        new_items = {"groups/talk": TALK} if group_removed else {"groups/clips": CLIPS[:-1] + " (top 0))"}
        await deployment.change(new_items, ("groups/clips",) if group_removed else ())
        seating.granted.set()
        answer = await request
        if group_removed:
            assert (answer.status, seating.returned) == (422, ["seat"])
        else:  # decided by the version in force at the time of the decision
            assert (answer.json()["rung"], answer.json()["token"], seating.returned) == (0, "token", [])

    run_scenario(scenario, tmp_path, timeout="8s")


def test_limits_and_entitlements_of_a_new_version_take_effect(tmp_path: Path) -> None:
    entitlements = "(entitlements (entitlement gold (limit 5)))"

    async def scenario(deployment: Fleet) -> None:
        front = deployment.world.fronts[0]
        gold = {"entitlements/gold": "(entitlement gold (limit 9))"}
        await deployment.change({"limits": "(limits (held 77) (drain-time 0s))", **gold})
        assert front.gate.limits.held == 77 and front.web.limits.write_timeout_s == 5.0
        assert front.seating is not None and front.seating.core.limits == {("", "gold"): 9}
        # Limits come from the version, not from the front's own file.
        assert front.reload(tmp_path / "none") is False

    run_scenario(scenario, tmp_path, seats=entitlements)


def test_a_trace_with_a_new_version_replays_to_the_same_decisions(tmp_path: Path) -> None:
    path = tmp_path / "front.trace"

    async def scenario(deployment: Fleet) -> None:
        world = deployment.world
        await world.fronts[0].stop()
        world.fronts[0] = front = FrontProcess(world.site, 0, None, seed=9, trace=path)
        await front.start()
        await world.until(lambda: world.ready(front) and front.terms.version == 1)
        await world.ask()
        await deployment.change({"ladder": LOW})
        await world.ask()

    run_scenario(scenario, tmp_path)
    replayed = replay(path)
    assert (replayed.different, replayed.first_difference) == (0, "") and replayed.events["NewTerms"] >= 1


# Versions that a front refuses


def test_a_front_that_refuses_a_version_keeps_the_previous_one_and_reports_the_refusal(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Fleet) -> None:
        world, front = deployment.world, deployment.world.fronts[0]
        rules = deployment.initial_items()["rules"]
        invalid = await deployment.commit({"rules": rules.replace("(cold 2s)", "(cold 3s)")})
        core = front.following.follower if front.following is not None else None
        assert core is not None
        await world.until(lambda: core.refused[0] == invalid)
        assert front.terms.version == invalid - 1 and "rules" in core.refused[1]
        assert (await world.ask()).json()["state"] == "playing"

        def refusal_reported() -> Any:
            received = deployment.instances.made[0].reports.held.get(0)
            return received is not None and received[0].refused == invalid and "rules" in received[0].why

        await world.until(refusal_reported)
        valid = await deployment.change({"rules": rules, "limits": "(limits (held 5) (drain-time 0s))"})
        assert (front.gate.limits.held, core.refused[0], front.terms.version) == (5, 0, valid)

    run_scenario(scenario, tmp_path)


def test_a_version_that_needs_a_restart_is_refused_in_service_and_taken_at_the_next_start(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Fleet) -> None:
        rules = deployment.initial_items()["rules"].replace("(cold 2s)", "(cold 3s)")
        restart_version = await deployment.commit({"rules": rules})
        following = deployment.world.fronts[0].following
        assert following is not None
        core = following.follower
        await deployment.world.until(
            lambda: core.refused[0] == restart_version and core.pending_write is None
        )
        front = await deployment.restart_front()
        assert (front.terms.version, front.engine.facts.rules.cold) == (restart_version, 3_000_000)

    run_scenario(scenario, tmp_path)


def site_terms() -> taking.Terms:
    return taking.initial_terms(loads(site_text(ports=[1, 2, 3], list_port=9)))


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ("(zones north)", "(zones north south)", "zones"),
        ("(streams 400)", "(streams 401)", "kinds"),
        ("(racks 1)", "(racks 2)", "plant"),
        ("(cold 2s)", "(cold 3s)", "rules"),
        ("(max-setups 3)", "(max-setups 4)", "permissions"),
        ("(how inline)", "(how off)", "reporting"),
        ("(attach-time 20s)", "(attach-time 21s)", "servers"),
        ("(start-target 400ms)", "(start-target 300ms)", "least start target"),
        ("(limits", "(prices (probe 1)) (limits", "prices"),
        ("(limits", "(entitlements (entitlement e (limit 1))) (limits", "none at this front's start"),
        ("(limits", "(entitlements (lease 40s)) (limits", "entitlements' times"),
        ("(limits", "(tenants (tenant t (share 1) (quota 5))) (limits", "tenants"),
    ],
)
def test_a_change_that_needs_a_restart_is_reported_with_its_reason(old: str, new: str, reason: str) -> None:
    text = site_text(ports=[1, 2, 3], list_port=9)
    assert text.count(old) == 1
    [problem] = taking.reasons_against(site_terms(), loads(text.replace(old, new)))
    assert reason in problem


def test_a_fronts_own_file_determines_its_zone_addresses_and_server_list(tmp_path: Path) -> None:
    own, text = loads(site_text(ports=[1, 2, 3], list_port=9)), site_text(ports=[4, 5, 6], list_port=8)
    elsewhere = text.replace("(zone north)", "(zone south)")
    version = loads(elsewhere.replace("(zones north)", "(zones south north)"))
    assert taking.reasons_against_start(own, version) == ()
    site = taking.site_at_start(own, version)
    assert site.listing == own.listing and site.fronts[0].viewers == own.fronts[0].viewers
    assert site.zones[site.fronts[0].zone] == "north" and site.facts_of(0, 1).zone == 1
    missing = loads(elsewhere.replace("(zones north)", "(zones south)"))
    assert "north" in taking.reasons_against_start(own, missing)[0]


def test_the_number_of_group_numbers_ever_used_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(taking, "MAX_NUMBERS", 2)
    terms, text = site_terms(), site_text(ports=[1, 2, 3], list_port=9)
    for number, fits in ((1, True), (2, False), (1, True)):
        name = f"g{number}"
        version = loads(text.replace("(group clips", f"(group {name}"))
        assert (taking.reasons_against(terms, version) == ()) is fits
        if fits:
            terms = taking.updated_terms(terms, version, number, "")
            assert terms.groups == {name: 1}


def test_sessions_are_resized_under_a_ladder_of_one_rung_without_a_fault() -> None:
    """Guards against a resize that raises in the decision code, after which no further resize would run."""
    upper_rungs = "(rung (rate 300kB/s) (utility 0.7))\n    (rung (rate 900kB/s) (utility 1))"
    site = loads(site_text(ports=[1, 2, 3], list_port=9).replace(upper_rungs, ""))
    facts = site.facts_of(0, 1)
    engine = Engine(Front(facts, 0), facts, AdmissionGate(site.limits, LagMeter(1 << 60)))
    row = ev.ServerRow(1, 0, 0, 0, ev.ServerState.READY, 2.0, 0)
    engine.server_news(0, ev.NewsScope.CACHED, (row,))
    now = 20_000_000
    engine.request(now, "a", replace(REQUEST, top=0), None)
    engine.setup_answered(now, "a", 0, 1, None, {}, {"link": 0.1})
    while (due := engine.next_due) is not None and due < now + 10_000_000:
        engine.run_due_timers(max(due, now))
    assert engine.counts.faults == 0 and engine.sessions_held == 1


# No return to an older version


def test_a_front_restarted_without_a_reachable_instance_uses_its_kept_version(tmp_path: Path) -> None:
    async def scenario(deployment: Fleet) -> None:
        version = await deployment.change({"groups/film": FILM}, ("groups/clips",))
        await deployment.close_apis()
        front = await deployment.restart_front()
        assert front.terms.version == version and front.terms.groups == {"film": 0}
        await deployment.world.until(lambda: deployment.world.ready(front))
        assert (await deployment.world.ask(group="film")).json()["state"] == "playing"
        assert (await deployment.world.ask()).status == 422

    run_scenario(scenario, tmp_path)


def test_a_front_with_a_damaged_kept_file_starts_from_its_own_file_and_keeps_its_version_floor(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Fleet) -> None:
        version = await deployment.change({"limits": "(limits (held 7) (drain-time 0s))"})
        [kept] = tmp_path.glob("*.config")
        await deployment.world.fronts[0].stop()
        kept.write_bytes(kept.read_bytes()[:-9])
        front = deployment.world.fronts[0] = await deployment.world.front(0)
        assert front.terms.version == 0 and front.following is not None
        assert front.following.follower.floor == version
        await deployment.wait_in_force(version)

    run_scenario(scenario, tmp_path)


def test_a_front_does_not_return_to_the_version_of_an_instance_that_lags(tmp_path: Path) -> None:
    async def scenario(deployment: Fleet) -> None:
        version = await deployment.change({"limits": "(limits (held 7) (drain-time 0s))"})
        async with served(tmp_path / "older") as older:
            await older.call("POST", "/config", {"who": "a", "why": "b", "sets": deployment.initial_items()})
            front = await deployment.restart_front(0, tuple(older.apis.values()))
            assert front.following is not None
            core = front.following.follower
            await deployment.world.until(lambda: core.counts["lagging"] >= 2)
            assert (front.terms.version, front.gate.limits.held) == (version, 7)

    run_scenario(scenario, tmp_path)


def test_a_version_that_can_not_be_written_to_disk_does_not_come_into_force(tmp_path: Path) -> None:
    async def scenario(deployment: Fleet) -> None:
        front = deployment.world.fronts[0]
        assert front.following is not None
        core = front.following.follower
        [kept] = tmp_path.glob("*.config")
        temporary = kept.with_name(f"{kept.name}.new")
        temporary.mkdir()  # a folder in place of the temporary file makes the write fail
        version = await deployment.commit({"limits": "(limits (held 7) (drain-time 0s))"})
        await deployment.world.until(lambda: core.counts["not-kept"] == 1)
        assert (front.terms.version, front.following.counts["not-written"]) == (version - 1, 1)
        temporary.rmdir()
        await deployment.wait_in_force(version)

    run_scenario(scenario, tmp_path)


# Loss of instances


def test_a_front_apart_from_the_majority_keeps_its_version_reports_it_and_catches_up_later(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Fleet) -> None:
        world, front = deployment.world, deployment.world.fronts[0]
        version, remaining = front.terms.version, deployment.instances.leader()
        for number in {0, 1, 2} - {remaining}:
            await deployment.stop_instance(number)
        assert front.following is not None
        core = front.following.follower
        await world.until(lambda: core.apart_since is not None and core.return_instance == remaining, 15)
        reports = deployment.instances.made[remaining].reports.held
        await world.until(lambda: 0 in reports and reports[0][0].apart_ms > 0, 15)
        assert front.terms.version == version and (await world.ask()).json()["state"] == "playing"
        for number in {0, 1, 2} - {remaining}:
            await deployment.restart_instance(number)
        await world.until(
            lambda: any(member.raft.role is Role.LEADER for member in deployment.instances.members)
        )
        await deployment.change({"limits": "(limits (held 7) (drain-time 0s))"})
        await world.until(lambda: core.apart_since is None, 15)

    run_scenario(scenario, tmp_path, instances=3)


def test_fronts_take_the_next_version_after_the_leader_is_lost_during_a_change(tmp_path: Path) -> None:
    async def scenario(deployment: Fleet) -> None:
        world, dead = deployment.world, deployment.instances.leader()
        await deployment.commit({"limits": "(limits (held 7) (drain-time 0s))"})
        await deployment.stop_instance(dead)
        alive = [member for n, member in enumerate(deployment.instances.members) if n != dead]
        await world.until(lambda: any(member.raft.role is Role.LEADER for member in alive))
        # The stopped member object still has the leader role.
        deployment.instances.members[dead].raft.role = Role.FOLLOWER
        version = await deployment.change({"limits": "(limits (held 8) (drain-time 0s))"})
        assert version == 3 and {front.gate.limits.held for front in world.fronts} == {8}
        await deployment.restart_instance(dead)

    run_scenario(scenario, tmp_path, instances=3, fronts=2)


# Invalid answers of instances


class FakeInstance:
    """An instance that answers with fixed watch lines and a fixed whole configuration."""

    def __init__(self, *lines: bytes, whole: bytes = b"", tag: str = '"v1"') -> None:
        self.lines, self.whole, self.tag, self.requested_paths = lines, whole, tag, list[str]()
        self.web = Server(self.handle, ServerLimits())

    async def handle(self, request: Request) -> Reply:
        self.requested_paths.append("/".join(request.path))
        if request.path == ("config", "file"):
            return Reply(200, self.whole, (("ETag", self.tag),))
        return Reply(200, lines=self.watch_lines()) if request.path == ("config", "watch") else Reply(204)

    async def watch_lines(self) -> Any:
        for line in self.lines:
            yield line


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ((b"what is this\n",), "nonsense"),
        ((b'{"version":2,"steps":[{"key":"lim\n',), "nonsense"),
        ((b'{"version":-3}\n',), "nonsense"),
        ((b'{"beat":"many"}\n',), "nonsense"),
        ((b'{"version":2,"steps":[{"key":"ladder","before":null,"after":"(ladder)"}]}\n',), "differs"),
        ((b'{"version":9,"steps":[]}\n',), "gap"),
        ((b"x" * 5_000_000,), "oversize"),
    ],
)
def test_an_invalid_watch_line_is_counted_and_changes_nothing(
    tmp_path: Path, lines: tuple[bytes, ...], reason: str
) -> None:
    async def scenario(deployment: Fleet) -> None:
        file = await deployment.instances.call("GET", "/config/file")
        fake = FakeInstance(*lines, whole=file.body, tag=file.headers["etag"])
        port = await fake.web.start("127.0.0.1", 0)
        front = await deployment.restart_front(
            0, (("127.0.0.1", port), *follow_settings(deployment.world).instances)
        )
        assert front.following is not None
        following, core = front.following, front.following.follower
        error_count: Callable[[], int] = lambda: core.counts[reason] + following.counts.get(reason, 0)  # noqa: E731
        await deployment.world.until(lambda: error_count() > 0)
        assert front.terms.version == 1 and "config/watch" in fake.requested_paths
        # The real instance, which comes second in the list, is followed to its new version.
        version = await deployment.change({"limits": "(limits (held 7) (drain-time 0s))"})
        assert front.gate.limits.held == 7 and front.terms.version == version
        await fake.web.close()

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    ("whole", "tag"),
    [(b"\xff\xfe", '"v5"'), (b"(site (zones", '"v5"'), (b"(site x)", "none"), (b"x" * 9_000_000, '"v5"')],
)
def test_an_unusable_whole_configuration_is_refused(tmp_path: Path, whole: bytes, tag: str) -> None:
    async def run() -> None:
        fake, taken = FakeInstance(whole=whole, tag=tag), list[Any]()
        port = await fake.web.start("127.0.0.1", 0)
        core = Follower(0, 1, 1, 5, 100_000, Path(), lambda site: ())
        following = Following(core, (("127.0.0.1", port),), taken.append, tmp_path / "kept.config")
        following.begin()
        async with asyncio.timeout(10):
            while len(fake.requested_paths) < 2:  # until the follower has retried
                await asyncio.sleep(0.005)
        assert not taken and not (tmp_path / "kept.config").exists() and not following.counts.get("faults")
        await following.close()
        await fake.web.close()

    asyncio.run(run())


def test_an_exception_in_the_check_of_a_version_is_counted_and_the_next_version_is_checked(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with served(tmp_path) as world:
            taken, raise_once = list[int](), [True]

            def usable(site: Any) -> tuple[str, ...]:
                if raise_once and raise_once.pop():
                    raise ZeroDivisionError
                return ()

            core, apis = Follower(0, 1, 1, 5, 100_000, Path(), usable), tuple(world.apis.values())
            following = Following(core, apis, lambda take: taken.append(take.number), None)
            following.begin()
            await world.call("POST", "/config", FIRST)
            async with asyncio.timeout(10):
                while not following.counts.get("faults"):
                    await asyncio.sleep(0.005)
                await world.call("PUT", "/config/items/limits", put("(limits (held 7))"))
                while not taken:
                    await asyncio.sleep(0.005)
            await following.close()

    asyncio.run(run())


# The follow form of the site file


@pytest.mark.parametrize(
    ("form", "message"),
    [
        ("(follow)", "no instance"),
        ("(follow (instance 5))", "found 5"),
        ('(follow (instance "a:1") (instance "a:1"))', "again"),
        ('(follow (instance "a:1") (silence 1s))', "found 1s"),
        ('(follow (instance "a:1") (every 1s))', "unknown field (every"),
    ],
)
def test_an_invalid_follow_form_is_refused_with_its_reason(form: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message.replace("(", r"\(")):
        loads(site_text(ports=[1, 2, 3], list_port=9, seats=form))


def test_a_site_file_without_a_follow_form_follows_no_instance_and_defaults_are_applied() -> None:
    assert loads(site_text(ports=[1, 2, 3], list_port=9)).follow is None
    side = loads(site_text(ports=[1, 2, 3], list_port=9, seats='(follow (instance "a:1"))')).follow
    assert side is not None and (side.silence, side.report_every) == (3_000_000, 5_000_000)
