"""A front on real sockets, with simulated media servers and list in the same process, and injected faults."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ponddoor.front import roster
from ponddoor.front.sealed import Seal
from ponddoor.front.words import wall_clock_us
from ponddoor.settings.site import loads
from ponddoor.standins.media import Fault
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool

from .conftest import World, site_text

Run = Callable[..., None]


async def send_raw(port: int, data: bytes, wait: float = 3.0, source: str = "127.0.0.1") -> bytes:
    """Sends bytes and returns what comes back until the peer closes or `wait` seconds have passed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0))
    received = b""
    with contextlib.suppress(TimeoutError, OSError):
        writer.write(data)
        async with asyncio.timeout(wait):
            while chunk := await reader.read(65536):
                received += chunk
    writer.close()
    return received


def test_a_session_from_request_to_end(in_world: Run) -> None:
    async def live(world: World) -> None:
        answer = await world.ask(top=2)
        body = answer.json()
        assert (answer.status, body["state"]) == (201, "playing") and answer.headers["location"].endswith(
            str(body["session"])
        )
        assert [key[0] for key in world.streams()] == [body["session"]]
        state = (await world.call("GET", f"/sessions/{body['session']}")).json()
        assert (state["state"], state["server"]) == ("playing", body["server"])
        assert (await world.call("DELETE", f"/sessions/{body['session']}")).status == 204
        await world.until(lambda: not world.streams())
        assert (await world.call("GET", f"/sessions/{body['session']}")).json()["end"] == "over"

    in_world(live)


def test_the_state_and_the_end_of_a_session_are_sent_as_events(in_world: Run) -> None:
    async def live(world: World) -> None:
        sess = str((await world.ask()).json()["session"])
        pool = Pool("127.0.0.1", world.front_ports[0])
        lines: list[bytes] = []

        async def read_events() -> None:
            async for line in pool.stream_lines(f"/sessions/{sess}/events", 5.0):
                lines.append(line)

        reader = asyncio.create_task(read_events())
        await world.until(lambda: lines)
        await world.call("DELETE", f"/sessions/{sess}")
        with contextlib.suppress(BrokenError):
            await reader
        assert b'"state"' in lines[0] and b'"ended"' in lines[-1]

    in_world(live)


def test_a_closed_connection_cancels_the_setup(in_world: Run) -> None:
    async def live(world: World) -> None:
        for media in world.media:
            media.fault(Fault("slow", size=40))
        with contextlib.suppress(LateError):
            await world.ask(timeout=0.15)
        await world.until(lambda: world.fronts[0].engine.sessions_held == 0)
        await world.until(lambda: world.seen("teardown"))
        await world.until(lambda: not any(media.pending for media in world.media))
        assert not world.streams() and len(world.seen("setup")) == 1

    in_world(live, audited=False)


def test_a_repeat_of_an_undecided_request_starts_no_second_session(in_world: Run) -> None:
    async def live(world: World) -> None:
        first, second = await asyncio.gather(world.ask(key="k"), world.ask(key="k"))
        third = await world.ask(key="k")
        assert first.json() == second.json() == third.json() and len(world.seen("setup")) == 1
        assert (await world.ask(key="k", title="other")).status == 422

    in_world(live, audited=False)


def test_one_of_two_clients_waiting_for_a_session_may_leave(in_world: Run) -> None:
    async def live(world: World) -> None:
        for media in world.media:
            media.fault(Fault("slow", size=3))
        staying = asyncio.create_task(world.ask(key="k"))
        await world.until(lambda: world.fronts[0].engine.requests_in_hand)
        with contextlib.suppress(LateError):
            await world.ask(key="k", timeout=0.05)
        assert (await staying).status == 201

    in_world(live, audited=False)


async def start_faulty_server(answer: bytes, hold: bool) -> tuple[asyncio.Server, int]:
    """Starts a server that reads a request, writes `answer`, and then closes or, with `hold`, waits."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await reader.read(65536)
            writer.write(answer)
            if hold:
                await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, int(server.sockets[0].getsockname()[1])


FAULTY_ANSWERS = {
    "never answers": (b"", True),
    "half an answer": (b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"sess', False),
    "no HTTP": (b"what?\r\n\r\n", False),
    "closes at once": (b"", False),
    "another's answer": (
        b'HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"sess":"x","attempt":0,"result":"started"}  ',
        True,
    ),
}


@pytest.mark.parametrize("faulty_answer", FAULTY_ANSWERS.values(), ids=FAULTY_ANSWERS.keys())
def test_a_faulty_server_costs_one_more_setup_but_no_session(
    in_world: Run, faulty_answer: tuple[bytes, bool]
) -> None:
    async def live(world: World) -> None:
        server, port = await start_faulty_server(*faulty_answer)
        entry = world.listing.entries[100]
        faulty_entry = msgspec.structs.replace(entry, server=7, address=f"127.0.0.1:{port}", weight=50.0)
        world.listing.publish(faulty_entry)
        await world.until(lambda: 7 in world.fronts[0].servers.links)
        answer = await world.ask()
        assert answer.status == 201 and answer.json()["server"] != faulty_entry.address
        assert world.fronts[0].engine.counts.setups["started"] == 1
        assert sum(world.fronts[0].engine.counts.setups.values()) == 2
        server.close()

    in_world(live)


def test_a_lost_answer_is_torn_down_and_set_up_elsewhere(in_world: Run) -> None:
    async def live(world: World) -> None:
        for media in world.media[:2]:
            media.fault(Fault("answer_lost", size=1.0, how="silent"))
        answer = await world.ask()
        assert answer.status == 201
        await world.until(lambda: [key[0] for key in world.streams()] == [answer.json()["session"]])

    in_world(live)


def test_a_server_that_dies_during_play_ends_its_sessions(in_world: Run) -> None:
    async def live(world: World) -> None:
        sess = str((await world.ask()).json()["session"])
        media = next(media for media in world.media if media.streams)
        await media.close()
        await world.until(lambda: world.fronts[0].engine.sessions_held == 0, 4)
        assert (await world.call("GET", f"/sessions/{sess}")).json()["end"] == "lost"

    in_world(live)


def test_a_silent_server_loses_its_sessions_and_ends_its_streams_when_it_is_back(in_world: Run) -> None:
    async def live(world: World) -> None:
        await world.ask()
        media = next(media for media in world.media if media.streams)
        media.fault(Fault("hang"))
        await world.until(lambda: world.fronts[0].engine.sessions_held == 0, 5)
        media.fault(Fault("hang", on=False))
        await world.until(lambda: not media.streams, 4)
        assert world.seen("ended", why="teardown") or world.seen("ended", why="front-gone")

    in_world(live)


def test_a_lost_connection_alone_ends_no_session(in_world: Run) -> None:
    async def live(world: World) -> None:
        await world.ask()
        media = next(media for media in world.media if media.streams)
        old_notes = media.notes[0]
        media.web.abort_connections()
        await world.until(lambda: media.notes.get(0, old_notes) is not old_notes, 4)
        await world.until(lambda: world.fronts[0].servers.links[media.entry.server].up, 4)
        assert world.fronts[0].engine.sessions_held == 1 and len(media.streams) == 1

    in_world(live)


SPOILT_LINES = (b'{"note":"beat\xff\xfe"}', b"[" * 100_000, b"noise", b'{"note":7}')


@pytest.mark.parametrize("spoilt", SPOILT_LINES, ids=["no-utf8", "deep", "noise", "other-type"])
def test_a_spoilt_line_of_a_servers_notes_ends_neither_the_stream_nor_a_session(
    in_world: Run, spoilt: bytes
) -> None:
    async def live(world: World) -> None:
        await world.ask()
        media = next(media for media in world.media if media.streams)
        old_notes = media.notes[0]
        old_notes[1].put_nowait(msgspec.Raw(spoilt))  # type: ignore[arg-type]
        await world.until(lambda: media.notes.get(0, old_notes) is not old_notes, 4)
        await world.until(lambda: world.fronts[0].servers.links[media.entry.server].up, 4)
        assert world.fronts[0].engine.sessions_held == 1 and len(media.streams) == 1

    in_world(live)


@pytest.mark.parametrize("spoilt", [b'{"list_id":"\xff\xfe","version":1,"servers":[]}', *SPOILT_LINES])
def test_a_spoilt_line_of_the_list_is_unusable(spoilt: bytes) -> None:
    """A line that is no UTF-8 ended the watch of the list for good."""
    with pytest.raises(msgspec.MsgspecError):
        roster.decode(spoilt)


def test_a_restarted_server_has_lost_its_sessions(in_world: Run) -> None:
    async def live(world: World) -> None:
        await world.ask()
        media = next(media for media in world.media if media.streams)
        media.begin_anew()
        await world.until(lambda: world.fronts[0].engine.sessions_held == 0, 4)
        await world.until(lambda: world.fronts[0].servers.links[media.entry.server].up)

    in_world(live)


def test_a_killed_front_leaves_no_streams_and_serves_after_a_restart(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        for _ in range(4):
            await world.ask()
        assert len(world.streams()) == 4
        old_front = world.fronts.pop()
        await old_front.web.close()
        await old_front.metrics_web.close()
        await old_front.listing.close()
        await old_front.servers.close(0.0)
        old_front.kill()
        await world.until(lambda: not world.streams(), 5)
        assert {row["why"] for row in world.seen("ended")} == {"front-gone"}
        world.fronts.append(await world.front(0))
        assert (await world.ask()).status == 201

    in_world(live, kept=tmp_path / "kept.list")


def test_a_cold_server_is_not_overloaded_by_a_front_that_just_started(in_world: Run) -> None:
    async def live(world: World) -> None:
        world.media[0].begin_anew()
        await world.until(lambda: world.listing.entries[100].started_us)
        await world.fronts.pop().stop()
        world.fronts.append(await world.front(0))
        answers = await asyncio.gather(*(world.ask() for _ in range(30)))
        assert {answer.status for answer in answers} <= {201, 503}
        assert not world.seen("fell")

    in_world(live, servers=1, streams=20, cold="8s")


def test_a_front_starts_with_the_kept_list_if_the_list_is_unreachable(in_world: Run, tmp_path: Path) -> None:
    kept = tmp_path / "kept.list"

    async def live(world: World) -> None:
        await world.fronts.pop().stop()
        await world.listing.web.close()
        world.fronts.append(await world.front(0))
        assert not world.fronts[0].listing.reachable
        await world.until(lambda: world.ready(world.fronts[0]))
        assert (await world.ask()).status == 201

    in_world(live, kept=kept)


@pytest.mark.parametrize("request_state", ["waiting for a server", "just sent", "not accepted yet"])
def test_a_request_during_the_stop_of_a_front_gets_a_complete_answer(
    in_world: Run, request_state: str
) -> None:
    async def live(world: World) -> None:
        body = b'{"title": "t", "group": "clips"}'
        head = b"POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        data, port = head + body, world.front_ports[0]
        front = world.fronts.pop()
        if request_state == "waiting for a server":
            for media in world.media:
                media.fault(Fault("hang"))
            answer_task = asyncio.create_task(send_raw(port, data))
            await world.until(lambda: front.engine.requests_in_hand)
        elif request_state == "just sent":
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await world.until(lambda: front.web.open_connections)
            writer.write(data)
            answer_task = asyncio.create_task(reader.read(65536))
        else:
            viewer = socket.create_connection(("127.0.0.1", port))
            viewer.sendall(data)
            viewer.setblocking(False)
            answer_task = asyncio.create_task(asyncio.get_running_loop().sock_recv(viewer, 65536))
        await front.stop()
        answer = await answer_task
        status = b"HTTP/1.1 502" if request_state == "waiting for a server" else b"HTTP/1.1 503"
        assert answer.startswith(status) and answer.endswith(b"}"), answer

    in_world(live)


def test_without_any_list_viewers_get_a_busy_reply_at_once(in_world: Run) -> None:
    async def live(world: World) -> None:
        await world.fronts.pop().stop()
        await world.listing.web.close()
        world.fronts.append(await world.front(0))
        answer = await world.ask()
        assert (answer.status, answer.json()["state"]) == (
            503,
            "busy-replied",
        ) and "retry-after" in answer.headers

    in_world(live)


def test_polled_discovery_resumes_when_the_list_is_reachable_again(in_world: Run) -> None:
    async def live(world: World) -> None:
        assert (await world.ask()).status == 201
        world.listing.down = True
        world.listing.web.abort_connections()
        await world.until(lambda: not world.fronts[0].listing.reachable, 4)
        assert (await world.ask()).status == 201  # with the last known list
        world.listing.down = False
        await world.until(lambda: world.fronts[0].listing.reachable, 6)
        world.listing.publish(msgspec.structs.replace(world.listing.entries[100], state="draining"))
        await world.until(lambda: world.fronts[0].listing.roster.version == world.listing.version, 4)

    in_world(live, mode="ask")


def test_a_draining_server_gets_no_new_setups(in_world: Run) -> None:
    async def live(world: World) -> None:
        for number in (100, 101):
            world.listing.publish(msgspec.structs.replace(world.listing.entries[number], state="draining"))
        roster = world.fronts[0].listing.roster
        await world.until(lambda: roster.version == world.listing.version)
        setups_before = len(world.seen("setup"))
        await asyncio.gather(*(world.ask() for _ in range(6)))
        assert {row["server"] for row in world.seen("setup")[setups_before:]} == {102}

    in_world(live)


def test_a_blocked_event_loop_refuses_late_requests_at_once_and_recovers(in_world: Run) -> None:
    async def live(world: World) -> None:
        requests = [asyncio.create_task(world.ask()) for _ in range(5)]
        await asyncio.sleep(0)
        time.sleep(0.4)  # blocks the front too, which runs in this event loop
        answers = await asyncio.gather(*requests)
        assert {answer.json()["error"] for answer in answers} == {"loop-lag"}
        await world.until(lambda: world.fronts[0].gate.lag.last < 100_000)
        assert (await world.ask()).status == 201

    in_world(live, limits="(loop-lag 200ms)")


BAD_REQUESTS = {
    "no HTTP": (b"\x16\x03\x01 hello\r\n\r\n", b"400"),
    "no host": (b"GET /sessions HTTP/1.1\r\n\r\n", b"400"),
    "header too large": (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 3000, b"431"),
    "body too large": (
        b"POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 600\r\n\r\n" + b"a" * 600,
        b"413",
    ),
    "slow header": (b"GET /sessions HT", b"408"),
    "slow body": (b"POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{", b"408"),
    "no JSON": (b"POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n{", b"400"),
    "unknown field": (b'POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\n{"a":1}', b"400"),
    "no such resource": (b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n", b"404"),
    "no such method": (b"PUT /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", b"405"),
}


def test_each_bad_request_gets_its_error_and_other_requests_are_served(in_world: Run) -> None:
    async def live(world: World) -> None:
        port = world.front_ports[0]
        bad_requests = [asyncio.create_task(send_raw(port, data, 1.2)) for data, _ in BAD_REQUESTS.values()]
        assert (await world.ask()).status == 201
        answers = await asyncio.gather(*bad_requests)
        for (name, (_, status)), answer in zip(BAD_REQUESTS.items(), answers, strict=True):
            assert answer.split(b" ")[1:2] == [status], (name, answer[:80])
            assert b'"error"' in answer and b'"detail"' in answer, name

    in_world(live, limits="(header-time 300ms) (header-size 2kB) (body-size 500B)")


@pytest.mark.parametrize(
    ("body", "status", "error"),
    [
        ({"group": "x"}, 422, "no-such-service-group"),
        ({"top": -1}, 400, "malformed-body"),
        ({"title": ""}, 400, "malformed-body"),
        ({"wait_ms": 0}, 400, "malformed-body"),
    ],
)
def test_requests_with_unknown_names_or_invalid_values_are_refused(
    in_world: Run, body: dict[str, Any], status: int, error: str
) -> None:
    async def live(world: World) -> None:
        answer = await world.ask(**body)
        assert (answer.status, answer.json()["error"]) == (status, error) and not world.seen("setup")

    in_world(live, audited=False)


def test_idle_connections_and_slow_readers_do_not_delay_others(in_world: Run) -> None:
    async def live(world: World) -> None:
        port = world.front_ports[0]
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(1500)]
        sess = str((await world.ask()).json()["session"])
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
        writer.write(b"GET /sessions/x HTTP/1.1\r\nHost: x\r\n\r\n" * 30_000)  # never reads the replies
        started_s = time.monotonic()
        answers = await asyncio.gather(*(world.ask() for _ in range(20)))
        assert {answer.status for answer in answers} == {201} and time.monotonic() - started_s < 3
        assert (await world.call("GET", f"/sessions/{sess}")).status == 200
        for _, stream_writer in [*idle, (reader, writer)]:
            stream_writer.transport.abort()

    in_world(live, limits="(write-time 300ms)")


def test_connections_over_a_limit_get_a_503(in_world: Run) -> None:
    async def live(world: World) -> None:
        port = world.front_ports[0]
        connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        await world.until(lambda: world.fronts[0].web.open_connections == 4)
        assert (await send_raw(port, b"", 1.0)).startswith(b"HTTP/1.1 503")
        answer = await send_raw(
            port, b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0, "127.0.0.2"
        )
        assert answer.startswith(b"HTTP/1.1 404")  # the limit per address applies to each address alone
        for _, writer in connections:
            writer.close()

    in_world(live, limits="(connections 6) (per-address 4)")


def test_idle_connections_are_closed_after_the_idle_time(in_world: Run) -> None:
    async def live(world: World) -> None:
        assert await send_raw(world.front_ports[0], b"", 2.0) == b""

    in_world(live, limits="(idle-time 100ms)")


def test_fronts_accept_gossip_only_from_one_another(in_world: Run) -> None:
    async def live(world: World) -> None:
        first, second = world.fronts
        await world.ask(0)
        await world.until(lambda: second.decisions.fleet.counts.origins)  # type: ignore[attr-defined]
        target = world.site.fronts[1].words
        forged_payload = Seal(bytes(16), 0, 2, 10_000_000).seal(wall_clock_us(), b"x")
        # The right key, but sent from an address that is no front's.
        misaddressed_payload = Seal(world.site.words.key, 0, 2, 10_000_000).seal(wall_clock_us(), b"x")
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=target
        )
        for data in (forged_payload, misaddressed_payload, b"", b"cut"):
            transport.sendto(data)
        await world.until(lambda: second.words.seal.refused.get("forged") == 1)
        await world.until(lambda: second.words.lost.get("address") == 1)
        assert second.words.seal.refused.get("cut", 0) >= 1
        transport.close()

    in_world(live, fronts=2, permissions="(messages yes)")


def test_fronts_configured_with_different_front_counts_refuse_each_other(in_world: Run) -> None:
    async def live(world: World) -> None:
        ports = [
            port for front in world.site.fronts for _, port in (front.viewers, front.words, front.metrics)
        ]
        site_of_three = loads(site_text(3, world.list_port, [*ports, 1, 2, 3], permissions="(messages yes)"))
        await world.fronts.pop().stop()
        world.fronts.append(await world.front(1, site_of_three))
        await world.until(lambda: world.fronts[0].words.seal.miscounted == {1: 3}, 6)
        await world.until(lambda: world.fronts[1].words.seal.miscounted == {0: 2}, 6)
        assert not world.fronts[1].decisions.fleet.counts.origins  # type: ignore[attr-defined]

    in_world(live, fronts=2, permissions="(messages yes)")


def test_drain_answers_pending_requests_and_reload_changes_limits(in_world: Run, tmp_path: Path) -> None:
    async def live(world: World) -> None:
        front, file = world.fronts[0], tmp_path / "site.pond"
        file.write_text(world.text.replace("(drain-time 0s)", "(drain-time 0s) (held 1)"))
        assert front.reload(file)
        assert [(await world.ask()).status for _ in range(2)] == [201, 503]
        file.write_text(world.text.replace("(drain-time 0s)", "(drain-time 0s) (held many)"))
        assert not front.reload(file) and front.gate.limits.held == 1
        front.gate.limits = world.site.limits
        pending = asyncio.create_task(world.ask())
        await world.until(lambda: front.engine.requests_in_hand)
        front.drain()
        assert (await world.ask()).json()["error"] == "draining"
        assert (await pending).status == 201

    in_world(live)


def test_metrics_have_help_lines_and_bounded_labels(in_world: Run) -> None:
    async def live(world: World) -> None:
        for _ in range(3):
            await world.ask()
        pool = Pool(*world.site.fronts[0].metrics)
        text = (await pool.request("GET", "/metrics")).body.decode()
        assert 'ponddoor_answers_total{kind="playing"} 3.0' in text and "# HELP ponddoor_idle_kb" in text
        assert sum(line.startswith("ponddoor_idle_kb{") for line in text.splitlines()) == 3
        assert (await pool.request("GET", "/")).status == 404
        pool.close()

    in_world(live)


def test_reading_the_metrics_changes_no_decision_state(in_world: Run) -> None:
    async def live(world: World) -> None:
        front: Any = world.fronts[0].decisions
        before = (front.now, front.fleet.now, dict(front.fleet.synced_cache), dict(front.fleet.synced_since))
        world.fronts[0].active_mechanisms.log_changes(front, before[0] + 5_000_000)
        list(world.fronts[0]._metric_samples())
        assert (front.now, front.fleet.now, front.fleet.synced_cache, front.fleet.synced_since) == before

    in_world(live)


def test_a_request_refused_by_a_full_pool_reports_that_nothing_was_sent() -> None:
    async def live() -> None:
        server, port = await start_faulty_server(b"", True)
        pool = Pool("127.0.0.1", port, 1)
        waiting = asyncio.create_task(pool.request("GET", "/", timeout=0.3))
        await asyncio.sleep(0)
        while not pool.open_connections:
            await asyncio.sleep(0)
        with pytest.raises(NotSentError) as refused:
            await pool.request("GET", "/")
        assert refused.value.pool_full
        with pytest.raises(LateError):
            await waiting
        assert pool.open_connections == 0
        server.close()

    asyncio.run(live())


def test_an_unsolicited_answer_closes_its_connection() -> None:
    async def live() -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        server, port = await start_faulty_server(answer * 2, True)
        pool = Pool("127.0.0.1", port)
        await pool.request("GET", "/")
        assert (pool.unsolicited_responses, pool.open_connections) == (1, 0)
        server.close()

    asyncio.run(live())
