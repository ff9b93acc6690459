"""Hints over sockets: received on requests, reports and servers' notes, and returned as CMSD."""

import asyncio
from collections.abc import Callable
from typing import Any

from ponddoor.hints import cmcd, cmsd
from ponddoor.standins.media import Fault
from ponddoor.web.client import Pool, Response

from .conftest import World

Run = Callable[..., None]


async def ask(
    world: World, path: str = "/sessions", headers: dict[str, str] | None = None, **body: Any
) -> Response:
    port = world.fronts[0].port
    pool = Pool("127.0.0.1", port, 2, 1.0)
    request_body = {"title": "film", "group": "clips", **body}
    try:
        return await pool.request("POST", path, request_body, 3.0, tuple((headers or {}).items()))
    finally:
        pool.close()


def intake(world: World) -> Any:
    hinting = world.fronts[0].hinting
    assert hinting is not None
    return hinting.intake


def cmsd_values(answer: Response) -> dict[str, Any]:
    hops, read = cmsd.read_dynamic(answer.headers["cmsd-dynamic"])
    assert not read.lost
    return hops[-1].values


def test_hints_limit_the_rung_in_every_carrier_and_the_answer_has_cmsd(in_world: Run) -> None:
    async def live(world: World) -> None:
        plain = await ask(world)
        assert plain.json()["rung"] == 2 and cmsd_values(plain)["mb"] == 7200
        low = {"mtp": 1000}  # 1000 kbps are 125 kB a second; a rung may use nine tenths of it
        in_headers = await ask(world, headers=cmcd.write_headers(low))
        in_query = await ask(world, path=f"/sessions?{cmcd.write_query(low)}")
        in_body = await ask(world, cmcd=low)
        for answer in (in_headers, in_query, in_body):
            assert answer.json()["rung"] == 0 and cmsd_values(answer)["mb"] == 800
        state = await world.call("GET", f"/sessions/{in_body.json()['session']}")
        assert cmsd_values(state)["mb"] == 800
        disputed = await ask(world, f"/sessions?{cmcd.write_query(low)}", cmcd.write_headers({"mtp": 90_000}))
        assert disputed.json()["rung"] == 2 and intake(world).counts["lost carriers-disagree"] == 1

    in_world(live)


def test_malformed_hints_do_not_fail_the_request(in_world: Run) -> None:
    async def live(world: World) -> None:
        for text in ("bl=,,=", '"', "mtp=x", "a" * 9000, "mtp=1000;;"):
            answer = await ask(world, headers={"CMCD-Request": text, "CMCD-Nothing": "1"})
            assert answer.status == 201 and answer.json()["rung"] == 2
        assert sum(count for name, count in intake(world).counts.items() if name.startswith("lost")) >= 5

    in_world(live)


def test_reports_reach_the_decisions_only_for_a_session_that_plays(in_world: Run) -> None:
    async def live(world: World) -> None:
        sess = (await ask(world, viewer="v")).json()["session"]
        port = world.fronts[0].port
        pool = Pool("127.0.0.1", port, 2, 1.0)

        async def report(text: bytes, kind: str = cmcd.REPORT_MEDIA_TYPE, session: object = sess) -> Response:
            return await pool.request("POST", f"/sessions/{session}/hints", text, 3.0, content_type=kind)

        batch = cmcd.write_reports([{"e": "t", "ts": 9_000, "tb": 900}, {"e": "ps", "ts": 5_000, "tb": 500}])
        answer = await report(batch)
        # The second report comes within half a second of the first and is dropped.
        assert answer.json() == {"taken": 1} and cmsd_values(answer)["mb"] == 7200
        record = world.fronts[0].engine.find(str(sess))
        assert record is not None
        means = world.fronts[0].decisions.sessions[record.req_id].means  # type: ignore[attr-defined]
        assert means is not None and means.top_kb == 62.5
        assert (await report(b"\xff\xfe")).json() == {"taken": 0}
        assert (await report(b"x", "text/plain")).status == 415
        assert (await report(batch, session="nobody")).status == 404
        await world.call("DELETE", f"/sessions/{sess}")
        assert (await report(batch)).json() == {"taken": 0}
        assert intake(world).counts["dropped no-such-session"] == 2
        pool.close()

    in_world(live)


def test_a_server_forwards_hints_and_reports_its_own_state(in_world: Run) -> None:
    async def live(world: World) -> None:
        answer = await ask(world)
        sess = str(answer.json()["session"])
        host, _, port = str(answer.json()["server"]).rpartition(":")
        media = next(media for media in world.media if media.entry.address.endswith(f":{port}"))
        pool = Pool(host, int(port), 2, 1.0)
        headers = tuple(cmcd.write_headers({"mtp": 90_000, "bl": 2000, "sid": sess}).items())
        segment = await pool.request("GET", f"/segment/{sess}?rung=1", None, 5.0, headers)
        static_values = cmsd.read_static(segment.headers["cmsd-static"]).values
        assert segment.status == 200 and static_values["d"] == 1000 and len(segment.body) > 1000
        assert (await pool.request("GET", "/segment/nobody", None, 5.0)).status == 404
        await world.until(lambda: intake(world).counts.get("taken passed-on", 0) == 1)
        await world.until(lambda: intake(world).counts.get("taken server", 0) >= 1)
        media.fault(Fault("hint_lies", how="duress"))
        hinting = world.fronts[0].hinting
        assert hinting is not None
        await world.until(lambda: hinting.servers[media.entry.server].duress)
        assert cmsd_values(await world.call("GET", f"/sessions/{sess}"))["du"] is True
        pool.close()

    in_world(live)


def test_a_flood_of_reports_does_not_fail_session_requests(in_world: Run) -> None:
    async def live(world: World) -> None:
        sess = (await ask(world)).json()["session"]
        pool = Pool("127.0.0.1", world.fronts[0].port, 40, 1.0)
        batch = cmcd.write_reports([{"e": "t", "mtp": 9000, "bl": 1000 + number} for number in range(100)])

        async def send_reports() -> None:
            for _ in range(3):
                answer = await pool.request(
                    "POST", f"/sessions/{sess}/hints", batch, 5.0, content_type=cmcd.REPORT_MEDIA_TYPE
                )
                assert answer.status == 200

        senders = [asyncio.create_task(send_reports()) for _ in range(20)]
        answers = [await ask(world) for _ in range(5)]
        await asyncio.gather(*senders)
        assert [answer.status for answer in answers] == [201] * 5
        counts = intake(world).counts
        assert counts["taken report"] < 20 and counts["dropped overtaken"] + counts["dropped sampled"] > 5900
        pool.close()

    in_world(live)


def test_a_site_without_hints_accepts_and_sends_none(in_world: Run) -> None:
    async def live(world: World) -> None:
        answer = await ask(world, headers=cmcd.write_headers({"mtp": 1000}))
        assert answer.json()["rung"] == 2 and "cmsd-dynamic" not in answer.headers
        report_answer = await world.call("POST", f"/sessions/{answer.json()['session']}/hints", 0, {"mtp": 1})
        assert (report_answer.status, report_answer.json()["error"]) == (404, "no-hints")

    in_world(live, seats="(hints no)")
