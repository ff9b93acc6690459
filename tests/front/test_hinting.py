"""Hints on sockets: in on requests, reports and servers' notes, out as CMSD."""

import asyncio
from collections.abc import Callable
from typing import Any

from ponddoor.hints import cmcd, cmsd
from ponddoor.standins.media import Fault
from ponddoor.web.client import Answer, Pool

from .conftest import World

Run = Callable[..., None]


async def ask(
    world: World, path: str = "/sessions", headers: dict[str, str] | None = None, **body: Any
) -> Answer:
    port = world.fronts[0].port
    pool = Pool("127.0.0.1", port, 2, 1.0)
    told = {"title": "film", "group": "clips", **body}
    try:
        return await pool.request("POST", path, told, 3.0, tuple((headers or {}).items()))
    finally:
        pool.close()


def intake(world: World) -> Any:
    hinting = world.fronts[0].hinting
    assert hinting is not None
    return hinting.intake


def said(answer: Answer) -> dict[str, Any]:
    hops, read = cmsd.read_dynamic(answer.headers["cmsd-dynamic"])
    assert not read.lost
    return hops[-1].values


def test_hints_bound_the_rung_in_every_carrier_and_cmsd_comes_back(in_world: Run) -> None:
    async def live(world: World) -> None:
        plain = await ask(world)
        assert plain.json()["rung"] == 2 and said(plain)["mb"] == 7200
        low = {"mtp": 1000}  # kbps: 125 kB a second, of which a rung may use nine tenths
        in_headers = await ask(world, headers=cmcd.write_headers(low))
        in_query = await ask(world, path=f"/sessions?{cmcd.write_query(low)}")
        in_body = await ask(world, cmcd=low)
        for answer in (in_headers, in_query, in_body):
            assert answer.json()["rung"] == 0 and said(answer)["mb"] == 800
        state = await world.call("GET", f"/sessions/{in_body.json()['session']}")
        assert said(state)["mb"] == 800
        disputed = await ask(world, f"/sessions?{cmcd.write_query(low)}", cmcd.write_headers({"mtp": 90_000}))
        assert disputed.json()["rung"] == 2 and intake(world).counts["lost carriers-disagree"] == 1

    in_world(live)


def test_malformed_hints_never_cost_the_request(in_world: Run) -> None:
    async def live(world: World) -> None:
        for text in ("bl=,,=", '"', "mtp=x", "a" * 9000, "mtp=1000;;"):
            answer = await ask(world, headers={"CMCD-Request": text, "CMCD-Nothing": "1"})
            assert answer.status == 201 and answer.json()["rung"] == 2
        assert sum(n for what, n in intake(world).counts.items() if what.startswith("lost")) >= 5

    in_world(live)


def test_reports_reach_the_decisions_and_those_of_others_do_not(in_world: Run) -> None:
    async def live(world: World) -> None:
        sess = (await ask(world, viewer="v")).json()["session"]
        port = world.fronts[0].port
        pool = Pool("127.0.0.1", port, 2, 1.0)

        async def report(text: bytes, kind: str = cmcd.REPORTS, of: object = sess) -> Answer:
            return await pool.request("POST", f"/sessions/{of}/hints", text, 3.0, kind=kind)

        batch = cmcd.write_reports([{"e": "t", "ts": 9_000, "tb": 900}, {"e": "ps", "ts": 5_000, "tb": 500}])
        got = await report(batch)
        assert (
            got.json() == {"taken": 1} and said(got)["mb"] == 7200
        )  # the later one comes within half a second
        held = world.fronts[0].engine.find(str(sess))
        assert held is not None
        means = world.fronts[0].decisions.sessions[held.req_id].means  # type: ignore[attr-defined]
        assert means is not None and means.top_kb == 62.5
        assert (await report(b"\xff\xfe")).json() == {"taken": 0}
        assert (await report(b"x", "text/plain")).status == 415
        assert (await report(batch, of="nobody")).status == 404
        await world.call("DELETE", f"/sessions/{sess}")
        assert (await report(batch)).json() == {"taken": 0}
        assert intake(world).counts["dropped no-such-session"] == 2
        pool.close()

    in_world(live)


def test_a_server_passes_hints_on_and_says_how_it_does(in_world: Run) -> None:
    async def live(world: World) -> None:
        answer = await ask(world)
        sess = str(answer.json()["session"])
        host, _, port = str(answer.json()["server"]).rpartition(":")
        media = next(m for m in world.media if m.entry.address.endswith(f":{port}"))
        pool = Pool(host, int(port), 2, 1.0)
        headers = tuple(cmcd.write_headers({"mtp": 90_000, "bl": 2000, "sid": sess}).items())
        segment = await pool.request("GET", f"/segment/{sess}?rung=1", None, 5.0, headers)
        fixed = cmsd.read_static(segment.headers["cmsd-static"]).values
        assert segment.status == 200 and fixed["d"] == 1000 and len(segment.body) > 1000
        assert (await pool.request("GET", "/segment/nobody", None, 5.0)).status == 404
        await world.until(lambda: intake(world).counts.get("taken passed-on", 0) == 1)
        await world.until(lambda: intake(world).counts.get("taken server", 0) >= 1)
        media.fault(Fault("hint_lies", how="duress"))
        hinting = world.fronts[0].hinting
        assert hinting is not None
        await world.until(lambda: hinting.servers[media.entry.server].duress)
        assert said(await world.call("GET", f"/sessions/{sess}"))["du"] is True
        pool.close()

    in_world(live)


def test_a_storm_of_reports_leaves_set_ups_unharmed(in_world: Run) -> None:
    async def live(world: World) -> None:
        sess = (await ask(world)).json()["session"]
        pool = Pool("127.0.0.1", world.fronts[0].port, 40, 1.0)
        batch = cmcd.write_reports([{"e": "t", "mtp": 9000, "bl": 1000 + n} for n in range(100)])

        async def storm() -> None:
            for _ in range(3):
                answer = await pool.request("POST", f"/sessions/{sess}/hints", batch, 5.0, kind=cmcd.REPORTS)
                assert answer.status == 200

        storms = [asyncio.create_task(storm()) for _ in range(20)]
        answers = [await ask(world) for _ in range(5)]
        await asyncio.gather(*storms)
        assert [answer.status for answer in answers] == [201] * 5
        counts = intake(world).counts
        assert counts["taken report"] < 20 and counts["dropped overtaken"] + counts["dropped sampled"] > 5900
        pool.close()

    in_world(live)


def test_a_site_without_hints_takes_and_sends_none(in_world: Run) -> None:
    async def live(world: World) -> None:
        answer = await ask(world, headers=cmcd.write_headers({"mtp": 1000}))
        assert answer.json()["rung"] == 2 and "cmsd-dynamic" not in answer.headers
        got = await world.call("POST", f"/sessions/{answer.json()['session']}/hints", 0, {"mtp": 1})
        assert (got.status, got.json()["error"]) == (404, "no-hints")

    in_world(live, seats="(hints no)")
