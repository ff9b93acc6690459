"""The audit proves something: for each rule a front broken on purpose is found, with session and moment."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ponddoor.audit.records import Recorder, read
from ponddoor.audit.rules import Breach, audit
from ponddoor.decide import Front
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface.script import Script
from ponddoor.settings.site import loads
from ponddoor.standins.media import Fault
from ponddoor.state import Server, Sess
from ponddoor.web.client import LateError

from .conftest import World, living, site_text


class NeverAnswers(Front):
    def session(self, req: ev.SessionRequest) -> Script:
        yield act.Wait(self.now + 3_600_000_000)


class SendsTwo(Front):
    """Sends on before the SETUP that is out has an outcome."""

    def upkeep(self) -> Iterable[Script]:
        return [self.again()]

    def again(self) -> Script:
        while not self.sessions:
            yield act.Wait(self.now + 10_000)
        yield act.Setup(next(iter(self.sessions)), next(iter(self.servers)), 1_000_000)


class DeafToDrains(Front):
    def record_server_news(self, news: ev.ServerNews) -> None:
        rows = tuple(as_ready(row) for row in news.rows)
        super().record_server_news(ev.ServerNews(news.scope, rows))


def as_ready(row: ev.ServerRow) -> ev.ServerRow:
    return ev.ServerRow(
        row.server, row.zone, row.kind, row.cell, ev.ServerState.READY, row.weight, row.started_at
    )


class Rushes(Front):
    def paced_until(self, server: Server) -> int:
        return 0

    def setup_backoff_until(self, server: Server) -> int:
        return 0


class ForgetsSeats(Front):
    def eligible_holders(self, sess: Sess, paced: bool = True) -> list[Server]:
        self.seats_in_use.clear()
        self.seats_in_use[sess.seat_key()] = -100
        return super().eligible_holders(sess, paced)

    def release(self, sess: Sess) -> None:
        self.seats_in_use.setdefault(sess.seat_key(), 0)
        super().release(sess)


class UnderTheFloor(Front):
    def serve(self, sess: Sess) -> Script:
        yield act.SetRung(sess.req.req_id, 0)
        got = yield act.Setup(sess.req.req_id, next(iter(self.servers)), 1_000_000)
        if isinstance(got, ev.Started):
            yield act.Play()
            return
        yield act.BusyReply(sess.req.req_id, 0)


class Spends(Front):
    def retries_exhausted(self, sess: Sess) -> bool:
        return len(sess.attempts) >= self.facts.permissions.max_attempts


async def one(world: World) -> None:
    with contextlib.suppress(LateError):
        await world.ask(timeout=2.6)


async def slowed(world: World) -> None:
    for media in world.media:
        media.fault(Fault("slow", size=3))
    await one(world)


async def rush(world: World) -> None:
    world.media[0].begin_anew()
    await world.until(lambda: world.listing.entries[100].started_us)
    await asyncio.sleep(0.3)  # told for longer than the audit's slack
    await asyncio.gather(*(world.ask() for _ in range(10)))


async def many(world: World) -> None:
    await asyncio.gather(*(world.ask() for _ in range(5)))


async def drained(world: World) -> None:
    for number in list(world.listing.entries):
        world.listing.publish(msgspec.structs.replace(world.listing.entries[number], state="draining"))
    await asyncio.sleep(0.5)  # longer than the grace
    await world.ask()


async def failing(world: World) -> None:
    for media in world.media:
        media.fault(Fault("fast_errors", size=1.0))
    await asyncio.gather(*(world.ask() for _ in range(4)))


BROKEN: dict[str, tuple[str, type[Front], Callable[[World], Any], dict[str, Any]]] = {
    "never answers": ("none lost", NeverAnswers, one, {}),
    "two SETUPs out": ("no double set-up", SendsTwo, slowed, {}),
    "an unsafe set-up again": ("no double set-up", Front, failing, {"group": "(effect unsafe)"}),
    "deaf to drains": ("drains kept", DeafToDrains, drained, {}),
    "rushes a cold server": ("cold servers", Rushes, rush, {"servers": 1, "streams": 4, "cold": "8s"}),
    "forgets seats": ("terms kept", ForgetsSeats, many, {"group": "(seats 2)"}),
    "under the floor": ("terms kept", UnderTheFloor, one, {"group": "(floor 1)"}),
    "spends beyond": ("setup budget", Spends, failing, {"rules": "(budget (spare 1) (ratio 0.1) (span 5s))"}),
}


class Resends(Front):
    def may_resend(self, sess: Sess, server: Server) -> bool:
        return True


@pytest.mark.parametrize("case", BROKEN.values(), ids=BROKEN.keys())
def test_a_front_broken_on_purpose_is_named(case: tuple[str, type[Front], Any, dict[str, Any]]) -> None:
    rule, deciding, cause, parts = case
    deciding = Resends if "effect" in str(parts) else deciding

    async def live() -> list[Breach]:
        world = World(deciding=deciding, **parts)
        async with living(world):
            await cause(world)
        return world.breaches()

    breaches = asyncio.run(live())
    assert {breach.rule for breach in breaches} == {rule}, list(map(str, breaches))
    assert all(breach.who and breach.at > 0 and breach.detail for breach in breaches)


@pytest.mark.parametrize("case", BROKEN.values(), ids=BROKEN.keys())
def test_a_sound_front_in_the_same_course_breaks_nothing(
    case: tuple[str, type[Front], Any, dict[str, Any]],
) -> None:
    _, _, cause, parts = case

    async def live() -> list[Breach]:
        world = World(**parts)
        async with living(world):
            await cause(world)
        return world.breaches()

    assert asyncio.run(live()) == []


def rows(*told: tuple[int, str, dict[str, Any]]) -> list[dict[str, Any]]:
    return [{"at": at * 1000, "who": "x", "what": what, **fields} for at, what, fields in told]


def asked(at: int, ask: str = "v") -> tuple[int, str, dict[str, Any]]:
    return at, "ask", {"ask": ask, "front": 0, "wait_us": 2_000_000, "group": 0}


def answered(at: int, state: str = "playing") -> tuple[int, str, dict[str, Any]]:
    return at, "answer", {"ask": "v", "front": 0, "status": 201, "state": state, "sess": "s", "unasked": 0}


LOST = {
    "late": rows(asked(0), answered(2600)),
    "twice": rows(asked(0), answered(100), answered(200)),
    "no final answer": rows(asked(0), answered(100, "malformed")),
    "broken off": rows(asked(0), (9, "no-answer", {"ask": "v", "front": 0, "why": "BrokenError"})),
}


@pytest.mark.parametrize("record", LOST.values(), ids=LOST.keys())
def test_ways_to_lose_a_request(record: list[dict[str, Any]]) -> None:
    assert [breach.rule for breach in audit(record, loads(site_text()).facts)] == ["none lost"]


def test_a_killed_front_owes_nothing_and_a_closed_one_took_nothing() -> None:
    gone = (9, "no-answer", {"ask": "v", "front": 0, "why": "BrokenError"})
    killed = rows(asked(0), (8, "killed", {"process": "front 0"}), gone)
    refused = rows(asked(0), (9, "not-taken", {"ask": "v", "front": 0}))
    for record in (killed, refused):
        assert audit(record, loads(site_text()).facts) == []


def test_a_record_cut_off_by_a_kill_is_read_as_far_as_it_goes(tmp_path: Path) -> None:
    path = tmp_path / "media.rec"
    recorder = Recorder(path, "media")
    for number in range(3):
        recorder.note("setup", number=number)
    path.write_bytes(path.read_bytes()[:-9])
    got, left_out = read(tmp_path)
    assert [row["number"] for row in got] == [0, 1] and len(left_out) == 1


def seated(number: int, at: int) -> list[tuple[int, str, dict[str, Any]]]:
    sess = f"s{number}"
    setup = {
        "sess": sess,
        "attempt": 0,
        "server": 1,
        "front": 0,
        "epoch": 1,
        "group": 0,
        "title": "t",
        "rung": 0,
        "timeout_us": 500_000,
    }
    state = {
        "ask": sess,
        "front": 0,
        "status": 201,
        "state": "playing",
        "sess": sess,
        "unasked": 0,
        "limit": 1,
    }
    ask = {"ask": sess, "front": 0, "wait_us": 2_000_000, "group": 0}
    return [
        (at, "ask", ask),
        (at + 1, "setup", setup),
        (at + 50, "started", {"sess": sess, "attempt": 0}),
        (at + 51, "outcome", {"sess": sess, "attempt": 0, "result": "started"}),
        (at + 52, "answer", state),
        (at + 2000, "ended", {"sess": sess, "attempt": 0, "why": "teardown"}),
    ]


def test_more_streams_than_seats_and_a_stolen_token_are_named() -> None:
    facts = loads(site_text()).facts
    both = sorted([*seated(1, 0), *seated(2, 1000)], key=lambda row: row[0])
    assert [(breach.rule, breach.who) for breach in audit(rows(*both), facts)] == [("seats", "s2")]
    assert audit(rows(*seated(1, 0), *seated(2, 3000)), facts) == []
    assert [breach.rule for breach in audit(rows((5, "stolen", {"sess": "v1"})), facts)] == ["seats"]
