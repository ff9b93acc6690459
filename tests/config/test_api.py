"""The administration API on loopback: entity tags, problem details, repeats, redirects, watching."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ponddoor.config.api import ROUTES, Api, openapi, stop_serving
from ponddoor.config.machine import taken_apart as apart
from ponddoor.raft import member as shell
from ponddoor.raft.core import Members, Role
from ponddoor.raft.member import ClusterMember
from ponddoor.raft.wire import Identity
from ponddoor.rehearse.run import free_ports
from ponddoor.settings.sexpr import parse
from ponddoor.web.client import Pool, Response
from ponddoor.web.server import Server, ServerLimits
from ponddoor.web.timing import within
from tests.config.test_machine import FILM, TEXT

FIRST = {"who": "me", "why": "begin", "sets": apart(parse(TEXT, "t"))}


class Served:
    """A cluster whose members each serve the API."""

    def __init__(self, folder: Path, count: int) -> None:
        ports = free_ports(2 * count)
        self.apis = {n: ("127.0.0.1", ports[n]) for n in range(count)}
        addresses = {n: ("127.0.0.1", ports[count + n]) for n in range(count)}
        first = Members(frozenset(range(count)))
        self.members = [
            ClusterMember(Identity("c", n, 0, bytes(32)), first, addresses, folder / str(n))
            for n in range(count)
        ]
        self.made = [Api(member, self.apis, lambda: 5) for member in self.members]
        self.webs = [Server(api.handle, ServerLimits(max_connections_per_address=1000)) for api in self.made]

    async def start(self) -> None:
        for number, (member, web) in enumerate(zip(self.members, self.webs, strict=True)):
            await member.start()
            await web.start(*self.apis[number])
        async with asyncio.timeout(10):
            while not any(m.raft.role is Role.LEADER and m.raft.commit for m in self.members):
                await asyncio.sleep(0.01)

    def leader(self) -> int:
        return next(n for n, m in enumerate(self.members) if m.raft.role is Role.LEADER)

    async def call(
        self, method: str, path: str, body: Any = None, to: int | None = None, **headers: str
    ) -> Response:
        number = self.leader() if to is None else to
        pool = Pool(*self.apis[number], 2, 1.0)
        named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        try:
            return await pool.request(method, path, body, 8.0, named)
        finally:
            pool.close()


@contextlib.asynccontextmanager
async def served(folder: Path, count: int = 1) -> AsyncIterator[Served]:
    made = Served(folder, count)
    await made.start()
    try:
        yield made
    finally:
        for web, member in zip(made.webs, made.members, strict=True):
            await web.close()
            await member.stop()


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shell, "TICK", 0.02)


def put(text: str) -> dict[str, str]:
    return {"text": text, "who": "me", "why": "a reason"}


def test_a_change_that_waits_when_its_member_ends_is_answered(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path, 3) as world:
            await world.call("POST", "/config", FIRST)
            leader = world.leader()
            for number, member in enumerate(world.members):
                if number != leader:
                    await member.stop()
            waiting = asyncio.create_task(world.call("PUT", "/config/items/groups/film", put(FILM), leader))
            member = world.members[leader]
            while not member._calls:
                await asyncio.sleep(0)
            await stop_serving(world.webs[leader], member)
            answer = await waiting
            assert (answer.status, answer.json()["title"]) == (503, "stopped"), answer

    asyncio.run(within(30, live()))


def test_resources_tags_and_what_stands_in_the_way(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            assert (await world.call("POST", "/config", FIRST)).json()["version"] == 1
            made = await world.call("PUT", "/config/items/groups/film", put(FILM), If_None_Match="*")
            assert (made.status, made.headers["etag"]) == (200, '"v2"')
            got = await world.call("GET", "/config/items/groups/film")
            assert got.json() == {"key": "groups/film", "text": FILM, "version": 2}
            same = await world.call("GET", "/config/items/groups/film", If_None_Match='"v2"')
            assert (same.status, same.body) == (304, b"")
            again = await world.call("PUT", "/config/items/groups/film", put(FILM), If_None_Match="*")
            assert again.status == 412 and again.headers["content-type"] == "application/problem+json"
            assert again.json()["stale"] == {"groups/film": {"version": 2, "text": FILM}}
            other = FILM.replace("(utility 2)", "(utility 3)")
            assert (
                await world.call("PUT", "/config/items/groups/film", put(other), If_Match='"v1"')
            ).status == 412
            assert (
                await world.call("PUT", "/config/items/groups/film", put(other), If_Match="x")
            ).status == 412
            assert (
                await world.call("PUT", "/config/items/groups/film", put(other), If_Match='"v2"')
            ).status == 200
            dry = await world.call("DELETE", "/config/items/groups/film?dry-run=1", {"who": "a", "why": "b"})
            assert dry.json() == {"version": 4, "why": "", "dry_run": True}
            bad = await world.call("PUT", "/config/items/ladder", put("(ladder)"))
            assert bad.status == 422 and bad.json()["title"] == "unusable" and bad.json()["problems"]
            for method, path, status in (
                ("GET", "/config/items/none", 404),
                ("GET", "/none", 404),
                ("POST", "/config/items/x", 405),
                ("GET", "/config?limit=0", 422),
                ("GET", "/config/difference?from=9", 404),
            ):
                assert (await world.call(method, path)).status == status
            assert (await world.call("POST", "/config", {"who": "x"})).status == 422

    asyncio.run(live())


def test_pages_history_difference_rolling_back_and_the_file(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            keys: list[str] = []
            after: Any = ""
            while after is not None:
                page: Any = (await world.call("GET", f"/config?limit=4&after={after}")).json()
                keys += [row["key"] for row in page["items"]]
                after = page["next"]
            assert keys == sorted(FIRST["sets"])
            await world.call("PUT", "/config/items/groups/film", put(FILM))
            steps: Any = (await world.call("GET", "/config/difference?from=1&to=2")).json()["steps"]
            assert steps == [{"key": "groups/film", "before": None, "after": FILM}]
            back = await world.call("POST", "/config/rollback", {"to": 1, "who": "me", "why": "worse"})
            assert back.json()["version"] == 3
            rows: Any = (await world.call("GET", "/config/history?after=1")).json()["versions"]
            assert [(row["version"], row["why"], row["keys"]) for row in rows] == [
                (2, "a reason", ["groups/film"]),
                (3, "worse", ["groups/film"]),
            ]
            assert b"film" not in (await world.call("GET", "/config/file")).body

    asyncio.run(live())


def test_a_repeat_is_answered_as_the_first(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            first, second = [
                await world.call("PUT", "/config/items/groups/film", put(FILM), Idempotency_Key="k")
                for _ in range(2)
            ]
            assert (
                first.json()["version"] == second.json()["version"] == 2
                and second.json()["why"] == "repeated"
            )
            other = await world.call("PUT", "/config/items/groups/film", put(FILM + " "), Idempotency_Key="k")
            assert other.status == 422 and other.json()["title"] == "ident used otherwise"

    asyncio.run(live())


def test_any_member_answers_reads_and_redirects_changes(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path, 3) as world:
            leader = world.leader()
            other = (leader + 1) % 3
            told = await world.call("POST", "/config?dry-run=1", FIRST, to=other)
            assert told.status == 307
            host, port = world.apis[leader]
            assert told.headers["location"] == f"http://{host}:{port}/config?dry-run=1"
            await world.call("POST", "/config", FIRST)
            async with asyncio.timeout(5):
                while (await world.call("GET", "/config/items/ladder", to=other)).status != 200:
                    await asyncio.sleep(0.02)
            state: Any = (await world.call("GET", "/cluster", to=other)).json()
            assert (state["role"], state["leader"], state["voters"]) == ("follower", leader, [0, 1, 2])
            learner = await world.call("POST", "/cluster/members", {"member": 7, "what": "learner"})
            assert learner.json()["learners"] == [7]
            early = await world.call("POST", "/cluster/members", {"member": 7, "what": "voter"})
            assert (early.status, early.json()["title"]) == (409, "not caught up")
            assert (await world.call("POST", "/cluster/members", {"member": 7, "what": "x"})).status == 422
            assert (await world.call("POST", "/cluster/transfer", {"member": 9})).status == 422
            await world.call("POST", "/cluster/transfer", {"member": other})
            async with asyncio.timeout(5):
                while world.members[other].raft.role is not Role.LEADER:
                    await asyncio.sleep(0.02)

    asyncio.run(live())


def test_who_watches_sees_each_version_once_and_in_order(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            seen: list[int] = []
            pool = Pool(*world.apis[0], 2, 1.0)

            async def watch() -> None:
                async for line in pool.stream_lines("/config/watch?after=0", 5.0):
                    got = msgspec.json.decode(line, type=dict[str, Any])
                    if "version" in got:
                        seen.append(got["version"])
                    if len(seen) == 4:
                        return

            watching = asyncio.create_task(watch())
            for number in range(3):
                await world.call("PUT", "/config/items/limits", put(f"(limits (drain-time {number + 1}s))"))
            async with asyncio.timeout(5):
                await watching
            assert seen == [1, 2, 3, 4]
            assert (await world.call("GET", "/config/watch?after=99")).status == 410
            pool.close()

    asyncio.run(live())


def test_writers_at_once_lose_no_update(tmp_path: Path) -> None:
    async def live() -> None:
        async with served(tmp_path) as world:
            await world.call("POST", "/config", FIRST)
            pool = Pool(*world.apis[0], 300, 5.0)
            path = "/config/items/groups/count"

            async def add(number: int) -> None:
                """Add one to what is there, as often as it takes."""
                while True:
                    got = await pool.request("GET", path, None, 20.0)
                    text = str(got.json()["text"]) if got.status == 200 else ""
                    found = re.search(r"utility (\d+)", text)
                    count = int(found[1]) + 1 if found else 1
                    fresh = f"(group count (start-target 1s) (setup-timeout 3s) (utility {count}))"
                    tag = ("If-Match", got.headers["etag"]) if got.status == 200 else ("If-None-Match", "*")
                    answer = await pool.request("PUT", path, put(fresh), 20.0, (tag,))
                    if answer.status == 200:
                        return
                    assert answer.status in (412, 503, 504)

            for batch in range(0, 40, 20):
                await asyncio.gather(*(add(number) for number in range(batch, batch + 20)))
            assert "(utility 40)" in str((await world.call("GET", path)).json()["text"])
            pool.close()

    asyncio.run(live())


def test_the_document_names_every_route_that_is_served() -> None:
    document = openapi()
    served_here = {(path, method) for path, methods in document["paths"].items() for method in methods}
    assert served_here == {(route.path, route.method.lower()) for route in ROUTES}
    for route in ROUTES:
        assert callable(getattr(Api, f"_{route.name}"))
        told = document["paths"][route.path][route.method.lower()]
        assert set(told["responses"]) == {str(status) for status in route.answers}
        if route.body is not None:
            ref = told["requestBody"]["content"]["application/json"]["schema"]["$ref"]
            assert ref.rpartition("/")[2] in document["components"]["schemas"]
