"""Seats over sockets: tokens, renewals, stolen tokens, restarts, and the limit across two fronts."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ponddoor.seats.core import Refused
from ponddoor.seats.tokens import Token, encode_token
from ponddoor.standins.media import Fault
from ponddoor.web.client import Response
from ponddoor.web.timing import within

from .conftest import World

Run = Callable[..., None]
SEATS = "(entitlements (entitlement film (limit {limit})) (token {token}) (lease {lease}) (come-back 300ms))"


def seats(limit: int, token: str = "5s", lease: str = "10s") -> str:
    return SEATS.format(limit=limit, token=token, lease=lease)


async def end_silence(world: World) -> None:
    """Lets every front grant seats at once.

    A front without a journal otherwise grants none until all seats that it may have granted have expired."""
    for front in world.fronts:
        assert front.seating is not None
        front.seating.core.no_leases_until = 0


async def request_with_seat(world: World, viewer: str, me: int = 0, **body: Any) -> Response:
    return await world.ask(me, entitlement="film", viewer=viewer, **body)


def test_a_seat_is_taken_before_a_setup_and_given_back_at_the_end(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        # No grants yet: the front has no journal.
        assert (await request_with_seat(world, "a", timeout=3)).status == 503
        await end_silence(world)
        first = await request_with_seat(world, "a")
        assert first.status == 201 and first.json()["token"]
        refused = await request_with_seat(world, "b")
        assert (refused.status, refused.json()["error"]) == (
            503,
            "no-seat",
        ) and "retry-after" in refused.headers
        assert len(world.seen("setup")) == 1
        await world.call("DELETE", f"/sessions/{first.json()['session']}")
        assert (await request_with_seat(world, "b")).status == 201
        seat_rows: Any = (await world.call("GET", "/seats")).json()["seats"]
        assert (seat_rows[0]["held"], seat_rows[0]["limit"]) == (1, 1)

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1, "1s", "2s"))


def test_the_state_of_a_token_can_be_requested(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        session = (await request_with_seat(world, "a")).json()

        async def token_status(viewer: str = "a", me: int = 0) -> Response:
            return await world.call("POST", "/seats/look", me, {"token": session["token"], "viewer": viewer})

        status: Any = (await token_status()).json()
        assert (status["session"], status["generation"], status["newest"], status["runs"]) == (
            session["session"],
            1,
            1,
            True,
        )
        assert 0 < status["expires_in_ms"] <= 5000
        await world.call("POST", "/seats/renew", 0, {"token": session["token"], "viewer": "a"})
        assert (await token_status()).json()["newest"] == 2
        assert (await token_status("thief")).json()["error"] == "not-yours"
        assert (await token_status(me=1)).status == 307
        await world.call("POST", "/seats/return", 0, {"token": session["token"], "viewer": "a"})
        returned: Any = (await token_status()).json()
        assert (returned["runs"], returned["newest"], returned["expires_in_ms"]) == (False, 0, 0)

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(4))


def test_renewals_succeed_and_stolen_old_or_forged_tokens_are_refused(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        token = (await request_with_seat(world, "a")).json()["token"]

        async def renew(token_text: Any, viewer: str = "a", me: int = 0) -> Response:
            return await world.call("POST", "/seats/renew", me, {"token": token_text, "viewer": viewer})

        first, second = await asyncio.gather(renew(token), renew(token))
        assert first.json()["generation"] == second.json()["generation"] == 2
        newest = first.json()["token"]
        assert (await renew(newest)).json()["generation"] == 3
        assert (await renew(token)).json()["error"] == "superseded"
        assert (await renew(newest, "thief")).status == 403
        assert (await renew(str(newest)[:-2])).status == 403
        forged = Token("", "film", "a", "s", "x", 1, 0, 0)
        assert (await renew(encode_token(forged, bytes(32)))).json()["error"] == "forged-token"
        redirect = await renew(newest, me=1)
        assert redirect.status == 307 and str(world.front_ports[0]) in redirect.headers["location"]

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(4))


def test_an_expired_seat_ends_its_session(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        assert (await request_with_seat(world, "a")).status == 201
        await world.until(lambda: not world.streams(), 5)
        assert (await request_with_seat(world, "b")).status == 201

    in_world(live, kept=tmp_path / "k", seats=seats(1, "1s", "3s"))


def test_a_failed_setup_gives_its_seat_back_at_once(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        for media in world.media:
            media.fault(Fault("fast_errors", size=1.0))
        assert (await request_with_seat(world, "a")).status == 503
        for media in world.media:
            media.fault(Fault("fast_errors", on=False))
        seating = world.fronts[0].seating
        assert seating is not None and seating.entitlement_rows()[0]["held"] == 0
        assert (await request_with_seat(world, "b")).status == 201

    in_world(live, kept=tmp_path / "k", seats=seats(1))


def test_a_restarted_front_keeps_its_seats(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        token = (await request_with_seat(world, "a")).json()["token"]
        old_front = world.fronts.pop()
        assert old_front.seating is not None
        old_front.viewers.seats.clear()  # as after a kill: no seat is given back
        await old_front.stop()
        world.fronts.append(await world.front(0))
        assert (await request_with_seat(world, "b")).json()["error"] == "no-seat"
        result = await world.call("POST", "/seats/renew", 0, {"token": token, "viewer": "a"})
        assert result.json()["generation"] == 2

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1))


def test_two_fronts_never_grant_more_seats_than_the_limit(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        max_streams, finished, statuses = 0, asyncio.Event(), list[int]()

        async def count_streams() -> None:
            nonlocal max_streams
            while not finished.is_set():
                max_streams = max(max_streams, len(world.streams()))
                await asyncio.sleep(0.002)

        async def viewer(number: int) -> None:
            for turn in range(4):
                result = await request_with_seat(world, f"v{number}", (number + turn) % 2)
                statuses.append(result.status)
                if result.status == 201:
                    await asyncio.sleep(0.05)
                    await world.call("DELETE", f"/sessions/{result.json()['session']}", (number + turn) % 2)

        counter = asyncio.create_task(count_streams())
        await asyncio.gather(*(viewer(number) for number in range(12)))
        finished.set()
        await counter
        assert 0 < max_streams <= 3 and set(statuses) <= {201, 503} and statuses.count(201) >= 6
        await world.until(lambda: not world.streams())

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(3))


def test_a_rolling_restart_loses_no_seat_and_grants_none_twice(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        await end_silence(world)
        tokens: list[Any] = []
        for me in range(2):
            result = await request_with_seat(world, f"v{me}", me)
            assert result.status == 201
            tokens.append(result.json()["token"])
        for me in range(2):
            old_front = world.fronts.pop(0)
            old_front.viewers.seats.clear()  # as after a kill: no seat is given back
            await old_front.stop()
            world.fronts.append(await world.front(me))
        for me in range(2):
            assert (await request_with_seat(world, "late", me)).json()["error"] == "no-seat"
            result = await world.call("POST", "/seats/renew", me, {"token": tokens[me], "viewer": f"v{me}"})
            assert result.json().get("generation") == 2, result.body

    in_world(live, audited=False, kept=tmp_path / "k", fronts=2, seats=seats(2))


def test_a_request_after_close_is_refused_and_does_not_wait(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        seating = world.fronts[0].seating
        assert seating is not None
        await end_silence(world)
        await seating.close()
        [key] = seating.core.limits
        result = await within(5, seating.take(key, "a", "1"))
        assert isinstance(result, Refused) and result.reason == "front-stopped"

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1))


def test_an_exception_in_a_tick_refuses_all_later_requests(in_world: Run, tmp_path: Path) -> None:
    def failing_tick(now: int) -> Any:
        raise RuntimeError("a fault")

    async def live(world: World) -> None:
        seating = world.fronts[0].seating
        assert seating is not None
        seating.core.tick = failing_tick  # type: ignore[method-assign]
        while not seating._failed:
            await asyncio.sleep(0.001)
        [key] = seating.core.limits
        result = await within(5, seating.take(key, "a", "1"))
        assert isinstance(result, Refused) and result.reason == "faulted"

    in_world(live, audited=False, kept=tmp_path / "k", seats=seats(1))
