"""The audit reports a front with a seeded fault, with rule, session and time, and accepts a correct front."""

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


class NeverAnswersFront(Front):
    """Waits an hour on each session request instead of deciding it."""

    def session(self, req: ev.SessionRequest) -> Script:
        yield act.Wait(self.now + 3_600_000_000)


class ConcurrentSetupsFront(Front):
    """Sends a second SETUP for a session while the first one is still in flight."""

    def upkeep(self) -> Iterable[Script]:
        return [self.send_second_setup()]

    def send_second_setup(self) -> Script:
        while not self.sessions:
            yield act.Wait(self.now + 10_000)
        yield act.Setup(next(iter(self.sessions)), next(iter(self.servers)), 1_000_000)


class IgnoresDrainsFront(Front):
    """Treats every server as ready, whatever state the server list gives."""

    def record_server_news(self, news: ev.ServerNews) -> None:
        rows = tuple(with_ready_state(row) for row in news.rows)
        super().record_server_news(ev.ServerNews(news.scope, rows))


def with_ready_state(row: ev.ServerRow) -> ev.ServerRow:
    return ev.ServerRow(
        row.server, row.zone, row.kind, row.cell, ev.ServerState.READY, row.weight, row.started_at
    )


class UnpacedFront(Front):
    """Applies neither pacing of cold servers nor backoff after failed set-ups."""

    def paced_until(self, server: Server) -> int:
        return 0

    def setup_backoff_until(self, server: Server) -> int:
        return 0


class MiscountsSeatsFront(Front):
    """Discards its count of seats in use, so that the seat limit never applies."""

    def eligible_holders(self, sess: Sess, paced: bool = True) -> list[Server]:
        self.seats_in_use.clear()
        self.seats_in_use[sess.seat_key()] = -100
        return super().eligible_holders(sess, paced)

    def release(self, sess: Sess) -> None:
        self.seats_in_use.setdefault(sess.seat_key(), 0)
        super().release(sess)


class BelowFloorFront(Front):
    """Sets every session up at rung 0, also where the group's floor is higher."""

    def serve(self, sess: Sess) -> Script:
        yield act.SetRung(sess.req.req_id, 0)
        outcome = yield act.Setup(sess.req.req_id, next(iter(self.servers)), 1_000_000)
        if isinstance(outcome, ev.Started):
            yield act.Play()
            return
        yield act.BusyReply(sess.req.req_id, 0)


class UnlimitedRetriesFront(Front):
    """Limits retries by the attempts per session only, not by the set-up budget."""

    def retries_exhausted(self, sess: Sess) -> bool:
        return len(sess.attempts) >= self.facts.permissions.max_attempts


async def send_request(world: World) -> None:
    with contextlib.suppress(LateError):
        await world.ask(timeout=2.6)


async def send_request_to_slow_servers(world: World) -> None:
    for media in world.media:
        media.fault(Fault("slow", size=3))
    await send_request(world)


async def send_burst_to_restarted_server(world: World) -> None:
    world.media[0].begin_anew()
    await world.until(lambda: world.listing.entries[100].started_us)
    await asyncio.sleep(0.3)  # the restart has been listed for longer than the audit's tolerance
    await asyncio.gather(*(world.ask() for _ in range(10)))


async def send_concurrent_requests(world: World) -> None:
    await asyncio.gather(*(world.ask() for _ in range(5)))


async def send_request_to_draining_servers(world: World) -> None:
    for number in list(world.listing.entries):
        world.listing.publish(msgspec.structs.replace(world.listing.entries[number], state="draining"))
    await asyncio.sleep(0.5)  # longer than the audit's grace period after a drain
    await world.ask()


async def send_requests_to_failing_servers(world: World) -> None:
    for media in world.media:
        media.fault(Fault("fast_errors", size=1.0))
    await asyncio.gather(*(world.ask() for _ in range(4)))


SEEDED_FAULTS: dict[str, tuple[str, type[Front], Callable[[World], Any], dict[str, Any]]] = {
    "never answers": ("none lost", NeverAnswersFront, send_request, {}),
    "two SETUPs in flight": ("no double set-up", ConcurrentSetupsFront, send_request_to_slow_servers, {}),
    "repeats an unsafe SETUP": (
        "no double set-up",
        Front,
        send_requests_to_failing_servers,
        {"group": "(effect unsafe)"},
    ),
    "ignores drains": ("drains kept", IgnoresDrainsFront, send_request_to_draining_servers, {}),
    "overloads a cold server": (
        "cold servers",
        UnpacedFront,
        send_burst_to_restarted_server,
        {"servers": 1, "streams": 4, "cold": "8s"},
    ),
    "miscounts seats": ("terms kept", MiscountsSeatsFront, send_concurrent_requests, {"group": "(seats 2)"}),
    "below the floor": ("terms kept", BelowFloorFront, send_request, {"group": "(floor 1)"}),
    "exceeds the set-up budget": (
        "setup budget",
        UnlimitedRetriesFront,
        send_requests_to_failing_servers,
        {"rules": "(budget (spare 1) (ratio 0.1) (span 5s))"},
    ),
}


class UnsafeResendFront(Front):
    """Sends a SETUP again also where the facts say that a repeat has an effect."""

    def may_resend(self, sess: Sess, server: Server) -> bool:
        return True


@pytest.mark.parametrize("case", SEEDED_FAULTS.values(), ids=SEEDED_FAULTS.keys())
def test_the_audit_names_the_rule_that_a_seeded_fault_breaks(
    case: tuple[str, type[Front], Any, dict[str, Any]],
) -> None:
    rule, front_class, provoke, site_options = case
    front_class = UnsafeResendFront if "effect" in str(site_options) else front_class

    async def run_world() -> list[Breach]:
        world = World(deciding=front_class, **site_options)
        async with living(world):
            await provoke(world)
        return world.breaches()

    breaches = asyncio.run(run_world())
    assert {breach.rule for breach in breaches} == {rule}, list(map(str, breaches))
    assert all(breach.who and breach.at > 0 and breach.detail for breach in breaches)


@pytest.mark.parametrize("case", SEEDED_FAULTS.values(), ids=SEEDED_FAULTS.keys())
def test_a_correct_front_breaks_no_rule_under_the_same_conditions(
    case: tuple[str, type[Front], Any, dict[str, Any]],
) -> None:
    _, _, provoke, site_options = case

    async def run_world() -> list[Breach]:
        world = World(**site_options)
        async with living(world):
            await provoke(world)
        return world.breaches()

    assert asyncio.run(run_world()) == []


def rows(*records: tuple[int, str, dict[str, Any]]) -> list[dict[str, Any]]:
    """Audit rows from (milliseconds, kind, fields)."""
    return [{"at": at_ms * 1000, "who": "x", "what": kind, **fields} for at_ms, kind, fields in records]


def request_row(at_ms: int, ask: str = "v") -> tuple[int, str, dict[str, Any]]:
    return at_ms, "ask", {"ask": ask, "front": 0, "wait_us": 2_000_000, "group": 0}


def answer_row(at_ms: int, state: str = "playing") -> tuple[int, str, dict[str, Any]]:
    return at_ms, "answer", {"ask": "v", "front": 0, "status": 201, "state": state, "sess": "s", "unasked": 0}


LOST_REQUESTS = {
    "late": rows(request_row(0), answer_row(2600)),
    "twice": rows(request_row(0), answer_row(100), answer_row(200)),
    "no final answer": rows(request_row(0), answer_row(100, "malformed")),
    "broken off": rows(request_row(0), (9, "no-answer", {"ask": "v", "front": 0, "why": "BrokenError"})),
}


@pytest.mark.parametrize("record", LOST_REQUESTS.values(), ids=LOST_REQUESTS.keys())
def test_a_request_without_one_timely_final_answer_is_reported_as_lost(record: list[dict[str, Any]]) -> None:
    assert [breach.rule for breach in audit(record, loads(site_text()).facts)] == ["none lost"]


def test_requests_to_a_killed_or_closed_front_are_not_reported_as_lost() -> None:
    no_answer = (9, "no-answer", {"ask": "v", "front": 0, "why": "BrokenError"})
    killed = rows(request_row(0), (8, "killed", {"process": "front 0"}), no_answer)
    not_taken = rows(request_row(0), (9, "not-taken", {"ask": "v", "front": 0}))
    for record in (killed, not_taken):
        assert audit(record, loads(site_text()).facts) == []


def test_a_truncated_record_file_is_read_up_to_the_last_whole_row(tmp_path: Path) -> None:
    path = tmp_path / "media.rec"
    recorder = Recorder(path, "media")
    for number in range(3):
        recorder.note("setup", number=number)
    path.write_bytes(path.read_bytes()[:-9])
    rows_read, truncated = read(tmp_path)
    assert [row["number"] for row in rows_read] == [0, 1] and len(truncated) == 1


def seated_session(number: int, at_ms: int) -> list[tuple[int, str, dict[str, Any]]]:
    """Records of a session that takes a seat with limit 1 and plays for two seconds."""
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
        (at_ms, "ask", ask),
        (at_ms + 1, "setup", setup),
        (at_ms + 50, "started", {"sess": sess, "attempt": 0}),
        (at_ms + 51, "outcome", {"sess": sess, "attempt": 0, "result": "started"}),
        (at_ms + 52, "answer", state),
        (at_ms + 2000, "ended", {"sess": sess, "attempt": 0, "why": "teardown"}),
    ]


def test_streams_beyond_the_seat_limit_and_a_stolen_token_break_the_seat_rule() -> None:
    facts = loads(site_text()).facts
    overlapping = sorted([*seated_session(1, 0), *seated_session(2, 1000)], key=lambda row: row[0])
    assert [(breach.rule, breach.who) for breach in audit(rows(*overlapping), facts)] == [("seats", "s2")]
    assert audit(rows(*seated_session(1, 0), *seated_session(2, 3000)), facts) == []
    assert [breach.rule for breach in audit(rows((5, "stolen", {"sess": "v1"})), facts)] == ["seats"]
