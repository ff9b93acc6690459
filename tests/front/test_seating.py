"""Seats on sockets: tokens, renewals, thieves, restarts, and a count over two fronts that never exceeds the
limit."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ponddoor.seats.core import Refused
from ponddoor.seats.tokens import Token, made
from ponddoor.standins.media import Fault
from ponddoor.web.client import Answer
from ponddoor.web.timing import within

from .conftest import World

Run = Callable[..., None]
SEATS = "(entitlements (entitlement film (limit {limit})) (token {token}) (lease {lease}) (come-back 300ms))"


def seats(limit: int, token: str = "5s", lease: str = "10s") -> str:
    return SEATS.format(limit=limit, token=token, lease=lease)


async def past_silence(world: World) -> None:
    """A front without a journal grants nothing until all it could have granted has lapsed."""
    for front in world.fronts:
        assert front.seating is not None
        front.seating.core.silent_until = 0


async def watch(world: World, viewer: str, me: int = 0, **body: Any) -> Answer:
    return await world.ask(me, entitlement="film", viewer=viewer, **body)


def test_a_seat_is_taken_before_the_decisions_are_asked_and_comes_back(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        assert (await watch(world, "a", timeout=3)).status == 503  # silent: it has no journal
        await past_silence(world)
        first = await watch(world, "a")
        assert first.status == 201 and first.json()["token"]
        refused = await watch(world, "b")
        assert (refused.status, refused.json()["error"]) == (
            503,
            "no-seat",
        ) and "retry-after" in refused.headers
        assert len(world.seen("setup")) == 1
        await world.call("DELETE", f"/sessions/{first.json()['session']}")
        assert (await watch(world, "b")).status == 201
        shown: Any = (await world.call("GET", "/seats")).json()["seats"]
        assert (shown[0]["held"], shown[0]["limit"]) == (1, 1)

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1, "1s", "2s"))


def test_a_token_can_be_looked_at(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        held = (await watch(world, "a")).json()

        async def look(viewer: str = "a", me: int = 0) -> Answer:
            return await world.call("POST", "/seats/look", me, {"token": held["token"], "viewer": viewer})

        seen: Any = (await look()).json()
        assert (seen["session"], seen["generation"], seen["newest"], seen["runs"]) == (
            held["session"],
            1,
            1,
            True,
        )
        assert 0 < seen["expires_in_ms"] <= 5000
        await world.call("POST", "/seats/renew", 0, {"token": held["token"], "viewer": "a"})
        assert (await look()).json()["newest"] == 2
        assert (await look("thief")).json()["error"] == "not-yours"
        assert (await look(me=1)).status == 307
        await world.call("POST", "/seats/return", 0, {"token": held["token"], "viewer": "a"})
        gone: Any = (await look()).json()
        assert (gone["runs"], gone["newest"], gone["expires_in_ms"]) == (False, 0, 0)

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(4))


def test_renewals_and_thieves(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        token = (await watch(world, "a")).json()["token"]

        async def renew(text: Any, viewer: str = "a", me: int = 0) -> Answer:
            return await world.call("POST", "/seats/renew", me, {"token": text, "viewer": viewer})

        first, again = await asyncio.gather(renew(token), renew(token))
        assert first.json()["generation"] == again.json()["generation"] == 2
        newest = first.json()["token"]
        assert (await renew(newest)).json()["generation"] == 3
        assert (await renew(token)).json()["error"] == "superseded"
        assert (await renew(newest, "thief")).status == 403
        assert (await renew(str(newest)[:-2])).status == 403
        forged = Token("", "film", "a", "s", "x", 1, 0, 0)
        assert (await renew(made(forged, bytes(32)))).json()["error"] == "forged-token"
        elsewhere = await renew(newest, me=1)
        assert elsewhere.status == 307 and str(world.front_ports[0]) in elsewhere.headers["location"]

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(4))


def test_a_seat_that_runs_out_ends_its_session(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        assert (await watch(world, "a")).status == 201
        await world.until(lambda: not world.streams(), 5)
        assert (await watch(world, "b")).status == 201

    in_world(live, kept=tmp_path / "k", seats=seats(1, "1s", "3s"))


def test_a_set_up_that_fails_gives_its_seat_back_at_once(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        for media in world.media:
            media.fault(Fault("fast_errors", size=1.0))
        assert (await watch(world, "a")).status == 503
        for media in world.media:
            media.fault(Fault("fast_errors", on=False))
        seating = world.fronts[0].seating
        assert seating is not None and seating.entitlement_rows()[0]["held"] == 0
        assert (await watch(world, "b")).status == 201

    in_world(live, kept=tmp_path / "k", seats=seats(1))


def test_a_front_that_restarts_honours_its_seats(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        token = (await watch(world, "a")).json()["token"]
        old = world.fronts.pop()
        assert old.seating is not None
        old.viewers.seats.clear()  # killed: nobody gives anything back
        await old.stop()
        world.fronts.append(await world.front(0))
        assert (await watch(world, "b")).json()["error"] == "no-seat"
        got = await world.call("POST", "/seats/renew", 0, {"token": token, "viewer": "a"})
        assert got.json()["generation"] == 2

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1))


def test_two_fronts_never_seat_more_than_the_limit(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        most, over, answers = 0, asyncio.Event(), list[int]()

        async def count() -> None:
            nonlocal most
            while not over.is_set():
                most = max(most, len(world.streams()))
                await asyncio.sleep(0.002)

        async def viewer(number: int) -> None:
            for turn in range(4):
                got = await watch(world, f"v{number}", (number + turn) % 2)
                answers.append(got.status)
                if got.status == 201:
                    await asyncio.sleep(0.05)
                    await world.call("DELETE", f"/sessions/{got.json()['session']}", (number + turn) % 2)

        counting = asyncio.create_task(count())
        await asyncio.gather(*(viewer(number) for number in range(12)))
        over.set()
        await counting
        assert 0 < most <= 3 and set(answers) <= {201, 503} and answers.count(201) >= 6
        await world.until(lambda: not world.streams())

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(3))


def test_a_rolling_restart_loses_no_seat_and_admits_none_twice(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await past_silence(world)
        tokens: list[Any] = []
        for me in range(2):
            got = await watch(world, f"v{me}", me)
            assert got.status == 201
            tokens.append(got.json()["token"])
        for me in range(2):
            old = world.fronts.pop(0)
            old.viewers.seats.clear()  # killed: nobody gives anything back
            await old.stop()
            world.fronts.append(await world.front(me))
        for me in range(2):
            assert (await watch(world, "late", me)).json()["error"] == "no-seat"
            got = await world.call("POST", "/seats/renew", me, {"token": tokens[me], "viewer": f"v{me}"})
            assert got.json().get("generation") == 2, got.body

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(2))


def test_seating_that_has_closed_leaves_nobody_waiting(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        seating = world.fronts[0].seating
        assert seating is not None
        await past_silence(world)
        await seating.close()
        [key] = seating.core.limits
        got = await within(5, seating.take(key, "a", "1"))
        assert isinstance(got, Refused) and got.why == "front-stopped"

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1))


def test_a_fault_in_a_tick_of_seating_is_a_refusal_to_all(in_world: Run, tmp_path: Path) -> None:
    def faulty(now: int) -> Any:
        raise RuntimeError("a fault")

    async def live(world: World) -> None:
        seating = world.fronts[0].seating
        assert seating is not None
        seating.core.tick = faulty  # type: ignore[method-assign]
        while not seating._failed:
            await asyncio.sleep(0.001)
        [key] = seating.core.limits
        got = await within(5, seating.take(key, "a", "1"))
        assert isinstance(got, Refused) and got.why == "faulted"

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1))
