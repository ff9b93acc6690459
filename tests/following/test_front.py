"""Fronts that follow: what a version changes for who, what is refused, and what outlives a restart."""

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
from ponddoor.web.server import Bounds, Reply, Request, Server
from tests.config.test_api import FIRST, put, served
from tests.front.conftest import site_text
from tests.front.test_engine import REQUEST

from .conftest import Fleet, fleet, follow_of

CLIPS = "(group clips (start-target 1s) (setup-timeout 8s) (utility 1))"
FILM = "(group film (start-target 1s) (setup-timeout 8s) (utility 1) (top 0))"
TALK = "(group talk (start-target 1s) (setup-timeout 8s) (utility 1))"
LOW = "(ladder (rung (rate 50kB/s) (utility 1)))"
Live = Callable[[Fleet], Coroutine[Any, Any, None]]


def lived(live: Live, folder: Path, **parts: Any) -> None:
    async def run() -> None:
        async with fleet(folder, **parts) as made:
            await live(made)

    asyncio.run(run())


# What a version changes, and for whom


def test_the_next_request_has_it_and_an_open_one_is_decided_under_its_own(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        world, front = made.world, made.world.fronts[0]
        await made.change({"groups/clips": CLIPS})
        for media in world.media:
            media.awake.clear()  # they take a SETUP and answer none
        open_one = asyncio.create_task(world.ask())
        await world.until(lambda: world.seen("setup"))
        await made.change({"groups/clips": CLIPS[:-1] + " (top 0))", "ladder": LOW})
        [held] = front.engine._sessions.values()
        assert (held.group.top, len(held.ladder.rate_kb)) == (2, 3)
        for media in world.media:
            media.awake.set()
        old = (await open_one).json()
        new = (await world.ask()).json()
        assert (old["state"], new["state"], new["rung"]) == ("playing", "playing", 0)
        assert old["rung"] == 2  # of a rung that is on no ladder any more, at its rate to its end
        assert {stream.setup.rates_kb for media in world.media for stream in media.streams.values()} == {
            (100.0, 300.0, 900.0),
            (50.0,),
        }
        state = (await world.call("GET", f"/sessions/{old['session']}")).json()
        assert (state["rung"], state["group"]) == (2, "clips")
        assert front.engine.counts.faults == 0

    lived(live, tmp_path, timeout="8s")


def test_groups_dropped_and_added_keep_their_numbers(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        world, front = made.world, made.world.fronts[0]
        await made.change({"groups/film": FILM})
        plays = (await world.ask(group="film")).json()
        assert (plays["state"], plays["rung"]) == ("playing", 0)
        await made.change({"groups/talk": TALK}, ("groups/clips",))
        assert front.terms.groups == {"film": 1, "talk": 2}
        refused = await world.ask(group="clips")
        assert (refused.status, refused.json()["error"]) == (422, "no-such-service-group")
        assert (await world.ask(group="talk")).json()["state"] == "playing"
        await made.change({"groups/clips": CLIPS}, ("groups/film",))
        assert front.terms.groups == {"clips": 0, "talk": 2}
        still = (await world.call("GET", f"/sessions/{plays['session']}")).json()
        assert (still["state"], still["group"]) == ("playing", "film")

    lived(live, tmp_path)


def test_a_repeat_is_answered_as_the_first_whatever_went_since(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        world = made.world
        first = await world.ask(key="k")
        only = {"titles/u": '(title "u" (home 0) (span 1))'}
        await made.change({"groups/talk": TALK, **only}, ("groups/clips",))
        again, other = await world.ask(key="k"), await world.ask(key="k", top=1)
        assert (again.status, again.json()["session"]) == (201, first.json()["session"])
        assert (other.status, other.json()["error"]) == (422, "key-used-otherwise")
        assert (await world.ask(group="talk")).json()["error"] == "no-such-title"

    lived(live, tmp_path)


class SlowSeats:
    """Seats that are granted when the test says so."""

    def __init__(self) -> None:
        self.granted, self.asked, self.back = asyncio.Event(), asyncio.Event(), list[str]()

    async def take(self, key: tuple[str, str], viewer: str, sess: str) -> Granted:
        self.asked.set()
        await self.granted.wait()
        return Granted(1, "seat", key, viewer, sess, 1, 1 << 60)

    def give_back(self, key: tuple[str, str], seat: str, viewer: str) -> None:
        self.back.append(seat)

    def token(self, got: Granted) -> str:
        return "token"


@pytest.mark.parametrize("gone", [True, False])
def test_a_version_that_comes_while_a_seat_is_waited_for(tmp_path: Path, gone: bool) -> None:
    async def live(made: Fleet) -> None:
        world, front = made.world, made.world.fronts[0]
        await made.change({"groups/clips": CLIPS})
        seats: Any = SlowSeats()
        front.viewers.seating = seats
        asked = asyncio.create_task(world.ask(viewer="v", entitlement="e"))
        await world.until(seats.asked.is_set)
        fresh = {"groups/talk": TALK} if gone else {"groups/clips": CLIPS[:-1] + " (top 0))"}
        await made.change(fresh, ("groups/clips",) if gone else ())
        seats.granted.set()
        answer = await asked
        if gone:
            assert (answer.status, seats.back) == (422, ["seat"])
        else:  # all of it by the version in force as the decisions are asked
            assert (answer.json()["rung"], answer.json()["token"], seats.back) == (0, "token", [])

    lived(live, tmp_path, timeout="8s")


def test_limits_and_entitlements_are_taken(tmp_path: Path) -> None:
    seats = "(entitlements (entitlement gold (limit 5)))"

    async def live(made: Fleet) -> None:
        front = made.world.fronts[0]
        gold = {"entitlements/gold": "(entitlement gold (limit 9))"}
        await made.change({"limits": "(limits (held 77) (drain-time 0s))", **gold})
        assert front.gate.limits.held == 77 and front.web.bounds.write_time == 5.0
        assert front.seating is not None and front.seating.core.limits == {("", "gold"): 9}
        assert front.reload(tmp_path / "none") is False  # the version's limits count, not the file's

    lived(live, tmp_path, seats=seats)


def test_a_trace_has_the_version_and_is_decided_the_same(tmp_path: Path) -> None:
    path = tmp_path / "front.trace"

    async def live(made: Fleet) -> None:
        world = made.world
        await world.fronts[0].stop()
        world.fronts[0] = front = FrontProcess(world.site, 0, None, seed=9, trace=path)
        await front.start()
        await world.until(lambda: world.ready(front) and front.terms.version == 1)
        await world.ask()
        await made.change({"ladder": LOW})
        await world.ask()

    lived(live, tmp_path)
    found = replay(path)
    assert (found.different, found.first_difference) == (0, "") and found.events["NewTerms"] >= 1


# What is refused


def test_a_refused_version_keeps_the_last_good_one_and_is_told(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        world, front = made.world, made.world.fronts[0]
        rules = made.first()["rules"]
        bad = await made.commit({"rules": rules.replace("(cold 2s)", "(cold 3s)")})
        core = front.following.follower if front.following is not None else None
        assert core is not None
        await world.until(lambda: core.refused[0] == bad)
        assert front.terms.version == bad - 1 and "rules" in core.refused[1]
        assert (await world.ask()).json()["state"] == "playing"

        def told() -> Any:
            held = made.instances.made[0].reports.held.get(0)
            return held is not None and held[0].refused == bad and "rules" in held[0].why

        await world.until(told)
        good = await made.change({"rules": rules, "limits": "(limits (held 5) (drain-time 0s))"})
        assert (front.gate.limits.held, core.refused[0], front.terms.version) == (5, 0, good)

    lived(live, tmp_path)


def test_what_can_not_change_in_service_is_named_and_taken_at_the_next_start(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        rules = made.first()["rules"].replace("(cold 2s)", "(cold 3s)")
        bad = await made.commit({"rules": rules})
        following = made.world.fronts[0].following
        assert following is not None
        core = following.follower
        await made.world.until(lambda: core.refused[0] == bad and core.pending_write is None)
        front = await made.again()
        assert (front.terms.version, front.engine.facts.rules.cold) == (bad, 3_000_000)

    lived(live, tmp_path)


def base() -> taking.Terms:
    return taking.initial_terms(loads(site_text(ports=[1, 2, 3], list_port=9)))


@pytest.mark.parametrize(
    ("old", "new", "why"),
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
def test_what_a_front_in_service_does_not_take(old: str, new: str, why: str) -> None:
    text = site_text(ports=[1, 2, 3], list_port=9)
    assert text.count(old) == 1
    [found] = taking.reasons_against(base(), loads(text.replace(old, new)))
    assert why in found


def test_where_a_front_stands_is_its_own_files(tmp_path: Path) -> None:
    own, text = loads(site_text(ports=[1, 2, 3], list_port=9)), site_text(ports=[4, 5, 6], list_port=8)
    elsewhere = text.replace("(zone north)", "(zone south)")
    version = loads(elsewhere.replace("(zones north)", "(zones south north)"))
    assert taking.reasons_against_start(own, version) == ()
    site = taking.site_at_start(own, version)
    assert site.listing == own.listing and site.fronts[0].viewers == own.fronts[0].viewers
    assert site.zones[site.fronts[0].zone] == "north" and site.facts_of(0, 1).zone == 1
    missing = loads(elsewhere.replace("(zones north)", "(zones south)"))
    assert "north" in taking.reasons_against_start(own, missing)[0]


def test_numbers_have_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(taking, "MAX_NUMBERS", 2)
    terms, text = base(), site_text(ports=[1, 2, 3], list_port=9)
    for number, fits in ((1, True), (2, False), (1, True)):
        name = f"g{number}"
        version = loads(text.replace("(group clips", f"(group {name}"))
        assert (taking.reasons_against(terms, version) == ()) is fits
        if fits:
            terms = taking.updated_terms(terms, version, number, "")
            assert terms.groups == {name: 1}


def test_a_ladder_of_one_rung_stops_nothing() -> None:
    """The first resize after it would end in the decisions, and none would follow."""
    three = "(rung (rate 300kB/s) (utility 0.7))\n    (rung (rate 900kB/s) (utility 1))"
    site = loads(site_text(ports=[1, 2, 3], list_port=9).replace(three, ""))
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


# Never back


def test_with_no_instance_in_reach_a_restart_takes_up_what_was_kept(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        version = await made.change({"groups/film": FILM}, ("groups/clips",))
        await made.down()
        front = await made.again()
        assert front.terms.version == version and front.terms.groups == {"film": 0}
        await made.world.until(lambda: made.world.ready(front))
        assert (await made.world.ask(group="film")).json()["state"] == "playing"
        assert (await made.world.ask()).status == 422

    lived(live, tmp_path)


def test_a_spoilt_file_begins_by_the_fronts_own_and_never_goes_under_what_was(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        version = await made.change({"limits": "(limits (held 7) (drain-time 0s))"})
        [kept] = tmp_path.glob("*.config")
        await made.world.fronts[0].stop()
        kept.write_bytes(kept.read_bytes()[:-9])
        front = made.world.fronts[0] = await made.world.front(0)
        assert front.terms.version == 0 and front.following is not None
        assert front.following.follower.floor == version
        await made.in_force(version)

    lived(live, tmp_path)


def test_an_older_instance_is_not_followed_back(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        version = await made.change({"limits": "(limits (held 7) (drain-time 0s))"})
        async with served(tmp_path / "older") as older:
            await older.call("POST", "/config", {"who": "a", "why": "b", "sets": made.first()})
            front = await made.again(0, tuple(older.apis.values()))
            assert front.following is not None
            core = front.following.follower
            await made.world.until(lambda: core.counts["lagging"] >= 2)
            assert (front.terms.version, front.gate.limits.held) == (version, 7)

    lived(live, tmp_path)


def test_what_can_not_be_written_is_not_in_force(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        front = made.world.fronts[0]
        assert front.following is not None
        core = front.following.follower
        [kept] = tmp_path.glob("*.config")
        beside = kept.with_name(f"{kept.name}.new")
        beside.mkdir()  # nothing can be written there
        version = await made.commit({"limits": "(limits (held 7) (drain-time 0s))"})
        await made.world.until(lambda: core.counts["not-kept"] == 1)
        assert (front.terms.version, front.following.counts["not-written"]) == (version - 1, 1)
        beside.rmdir()
        await made.in_force(version)

    lived(live, tmp_path)


# Instances that are lost


def test_apart_it_keeps_its_version_says_so_and_is_at_the_newest_once_they_are_together(
    tmp_path: Path,
) -> None:
    async def live(made: Fleet) -> None:
        world, front = made.world, made.world.fronts[0]
        version, left = front.terms.version, made.instances.leader()
        for number in {0, 1, 2} - {left}:
            await made.lose(number)
        assert front.following is not None
        core = front.following.follower
        await world.until(lambda: core.apart_since is not None and core.return_instance == left, 15)
        reports = made.instances.made[left].reports.held
        await world.until(lambda: 0 in reports and reports[0][0].apart_ms > 0, 15)
        assert front.terms.version == version and (await world.ask()).json()["state"] == "playing"
        for number in {0, 1, 2} - {left}:
            await made.bring_back(number)
        await world.until(lambda: any(m.raft.role is Role.LEADER for m in made.instances.members))
        await made.change({"limits": "(limits (held 7) (drain-time 0s))"})
        await world.until(lambda: core.apart_since is None, 15)

    lived(live, tmp_path, instances=3)


def test_a_leader_that_dies_in_a_change_holds_up_no_front(tmp_path: Path) -> None:
    async def live(made: Fleet) -> None:
        world, dead = made.world, made.instances.leader()
        await made.commit({"limits": "(limits (held 7) (drain-time 0s))"})
        await made.lose(dead)
        alive = [member for n, member in enumerate(made.instances.members) if n != dead]
        await world.until(lambda: any(member.raft.role is Role.LEADER for member in alive))
        made.instances.members[dead].raft.role = Role.FOLLOWER  # it is gone, and does not know
        version = await made.change({"limits": "(limits (held 8) (drain-time 0s))"})
        assert version == 3 and {front.gate.limits.held for front in world.fronts} == {8}
        await made.bring_back(dead)

    lived(live, tmp_path, instances=3, fronts=2)


# What comes of instances that tell nonsense


class Fake:
    """An instance that answers as it is told."""

    def __init__(self, *lines: bytes, whole: bytes = b"", tag: str = '"v1"') -> None:
        self.lines, self.whole, self.tag, self.asked = lines, whole, tag, list[str]()
        self.web = Server(self.handle, Bounds())

    async def handle(self, request: Request) -> Reply:
        self.asked.append("/".join(request.path))
        if request.path == ("config", "file"):
            return Reply(200, self.whole, (("ETag", self.tag),))
        return Reply(200, lines=self.told()) if request.path == ("config", "watch") else Reply(204)

    async def told(self) -> Any:
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
def test_nonsense_on_the_watch_changes_nothing_and_is_counted(
    tmp_path: Path, lines: tuple[bytes, ...], reason: str
) -> None:
    async def live(made: Fleet) -> None:
        file = await made.instances.call("GET", "/config/file")
        fake = Fake(*lines, whole=file.body, tag=file.headers["etag"])
        port = await fake.web.start("127.0.0.1", 0)
        front = await made.again(0, (("127.0.0.1", port), *follow_of(made.world).instances))
        assert front.following is not None
        following, core = front.following, front.following.follower
        counts: Callable[[], int] = lambda: core.counts[reason] + following.counts.get(reason, 0)  # noqa: E731
        await made.world.until(lambda: counts() > 0)
        assert front.terms.version == 1 and "config/watch" in fake.asked
        version = await made.change({"limits": "(limits (held 7) (drain-time 0s))"})  # the other one counts
        assert front.gate.limits.held == 7 and front.terms.version == version
        await fake.web.close()

    lived(live, tmp_path)


@pytest.mark.parametrize(
    ("whole", "tag"),
    [(b"\xff\xfe", '"v5"'), (b"(site (zones", '"v5"'), (b"(site x)", "none"), (b"x" * 9_000_000, '"v5"')],
)
def test_a_whole_state_that_can_not_be_used_is_refused(tmp_path: Path, whole: bytes, tag: str) -> None:
    async def run() -> None:
        fake, taken = Fake(whole=whole, tag=tag), list[Any]()
        port = await fake.web.start("127.0.0.1", 0)
        core = Follower(0, 1, 1, 5, 100_000, Path(), lambda site: ())
        following = Following(core, (("127.0.0.1", port),), taken.append, tmp_path / "kept.config")
        following.begin()
        async with asyncio.timeout(10):
            while len(fake.asked) < 2:  # it is asked again, and still nothing is in force
                await asyncio.sleep(0.005)
        assert not taken and not (tmp_path / "kept.config").exists() and not following.counts.get("faults")
        await following.close()
        await fake.web.close()

    asyncio.run(run())


def test_a_fault_inside_is_counted_and_the_next_is_looked_at(tmp_path: Path) -> None:
    async def run() -> None:
        async with served(tmp_path) as world:
            taken, first = list[int](), [True]

            def usable(site: Any) -> tuple[str, ...]:
                if first and first.pop():
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


# The file


@pytest.mark.parametrize(
    ("form", "words"),
    [
        ("(follow)", "no instance"),
        ("(follow (instance 5))", "found 5"),
        ('(follow (instance "a:1") (instance "a:1"))', "again"),
        ('(follow (instance "a:1") (silence 1s))', "found 1s"),
        ('(follow (instance "a:1") (every 1s))', "unknown field (every"),
    ],
)
def test_a_form_that_can_not_be_used_is_named(form: str, words: str) -> None:
    with pytest.raises(SettingsError, match=words.replace("(", r"\(")):
        loads(site_text(ports=[1, 2, 3], list_port=9, seats=form))


def test_a_file_without_it_follows_nobody() -> None:
    assert loads(site_text(ports=[1, 2, 3], list_port=9)).follow is None
    side = loads(site_text(ports=[1, 2, 3], list_port=9, seats='(follow (instance "a:1"))')).follow
    assert side is not None and (side.silence, side.report_every) == (3_000_000, 5_000_000)
