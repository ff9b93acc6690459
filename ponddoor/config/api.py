"""The administration API: resources of the configuration over HTTP, served by any member.

Versions are entity tags with If-Match and If-None-Match (RFC 9110), problems are problem details (RFC 9457),
a repeat under one Idempotency-Key is answered as the first. What only a leader can do is redirected there
(307). The routes are one table, from which requests are dispatched and the OpenAPI document is made."""

import asyncio
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ponddoor.config.machine import Change, Machine, Outcome, Version, shown
from ponddoor.raft.core import Member, Members, as_voter, with_learner, without
from ponddoor.raft.member import ClusterMember, NotTakenError
from ponddoor.web.server import Reply, Request
from ponddoor.web.timing import within

ANSWER_WITHIN = 5.0
MOST_WATCHERS = 500
WATCH_AHEAD = 100
PAGE, MOST_PAGE = 100, 1000
_BEAT = 1.0
STATUS = {"stale": 412, "no-such-key": 404, "malformed": 422, "unusable": 422, "changes-nothing": 200,
          "ident-used-otherwise": 422, "not-leading": 503, "handing-over": 503, "too-many-proposals": 503,
          "too-many-waiting": 503, "too-many-reads": 503, "not-yet-leading": 503, "disk-failed": 503,
          "stopped": 503, "late": 504, "unknown": 504, "overwritten": 503, "too-large": 413,
          "change-under-way": 409, "not-caught-up": 409, "more-than-one": 422, "no-voter": 422}  # fmt: skip


class Put(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a change of one key."""

    text: str
    who: str
    why: str


class Drop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body that takes a key out."""

    who: str
    why: str


class Transaction(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a change of several keys, whole or not at all."""

    who: str
    why: str
    sets: dict[str, str] = {}
    drops: list[str] = []
    needs: dict[str, int] = {}


class Back(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body that rolls back."""

    to: int
    who: str
    why: str


class MemberChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a change of members: `what` is learner, voter or remove."""

    member: int
    what: str


class HandOver(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body that has another member lead."""

    member: int


class ProblemError(Exception):
    """A request that is answered with problem details."""

    def __init__(self, status: int, why: str, detail: str = "", headers: tuple[tuple[str, str], ...] = (),
                 **more: Any) -> None:  # fmt: skip
        super().__init__(detail or why)
        self.status, self.why, self.detail, self.headers, self.more = status, why, detail, headers, more

    def reply(self) -> Reply:
        body = {
            "type": f"urn:ponddoor:{self.why}",
            "title": self.why.replace("-", " "),
            "status": self.status,
        }
        body |= {"detail": self.detail} if self.detail else {}
        kind = (("Content-Type", "application/problem+json"),)
        return Reply(self.status, msgspec.json.encode({**body, **self.more}), (*kind, *self.headers))


@dataclass(frozen=True, slots=True)
class Route:
    """One resource and method: its path with {names}, what it does, its query and body, and its answers."""

    method: str
    path: str
    name: str
    summary: str
    body: type[msgspec.Struct] | None = None
    query: tuple[str, ...] = ()
    answers: tuple[int, ...] = (200,)


_WRITES = (200, 307, 404, 412, 422, 503, 504)
ROUTES = (
    Route("GET", "/config", "items", "Keys and their versions, a page at a time", query=("after", "limit")),
    Route("POST", "/config", "transact", "Change several keys, whole or not at all", Transaction,
          ("dry-run",), _WRITES),
    Route("GET", "/config/file", "file", "All of it as a site file"),
    Route("GET", "/config/history", "history", "Versions: who, when, why", query=("after", "limit")),
    Route("GET", "/config/difference", "difference", "What changed between two versions",
          query=("from", "to"), answers=(200, 404, 422)),
    Route("POST", "/config/rollback", "rollback", "Make things as they were, as a new version", Back,
          ("dry-run",), _WRITES),
    Route("GET", "/config/watch", "watch", "Versions after one, as they are committed: a JSON object a line",
          query=("after",), answers=(200, 410, 503)),
    Route("GET", "/config/items/{key}", "item", "One key", answers=(200, 304, 404)),
    Route("PUT", "/config/items/{key}", "put", "Set one key", Put, ("dry-run",), _WRITES),
    Route("DELETE", "/config/items/{key}", "drop", "Take one key out", Drop, ("dry-run",), _WRITES),
    Route("GET", "/cluster", "cluster", "This member, and what it knows of the others"),
    Route("POST", "/cluster/members", "change_members", "One member more or less", MemberChange,
          answers=(200, 307, 409, 422, 503, 504)),
    Route("POST", "/cluster/transfer", "transfer", "Have another member lead", HandOver,
          answers=(200, 307, 422, 503)),
    Route("GET", "/openapi.json", "openapi", "This document"),
)  # fmt: skip


def _pattern(path: str) -> re.Pattern[str]:
    return re.compile(re.sub(r"\\\{\w+\\\}", "(.+)", re.escape(path)))


_PATTERNS = [(route, _pattern(route.path)) for route in ROUTES]


def openapi() -> dict[str, Any]:
    """The OpenAPI 3.1 document of the routes."""
    bodies = [route.body for route in ROUTES if route.body is not None]
    schemas, components = msgspec.json.schema_components(bodies, ref_template="#/components/schemas/{name}")
    refs = dict(zip(bodies, schemas, strict=True))
    paths: dict[str, Any] = {}
    for route in ROUTES:
        told: dict[str, Any] = {"operationId": route.name, "summary": route.summary}
        told["responses"] = {str(status): {"description": _described(status)} for status in route.answers}
        parameters = [_parameter(name, "query") for name in route.query]
        parameters += [_parameter(name, "path") for name in re.findall(r"\{(\w+)\}", route.path)]
        if parameters:
            told["parameters"] = parameters
        if route.body is not None:
            told["requestBody"] = {
                "required": True,
                "content": {"application/json": {"schema": refs[route.body]}},
            }
        paths.setdefault(route.path, {})[route.method.lower()] = told
    info = {"title": "ponddoor administration", "version": "1"}
    return {"openapi": "3.1.0", "info": info, "paths": paths, "components": {"schemas": components}}


def _parameter(name: str, where: str) -> dict[str, Any]:
    kind = "string" if where == "path" or name == "dry-run" else "integer"
    return {"name": name, "in": where, "required": where == "path", "schema": {"type": kind}}


def _described(status: int) -> str:
    return {200: "done", 304: "not changed", 307: "the leader answers", 404: "not there", 409: "not now",
            410: "not kept any more", 412: "at another version", 422: "can't be used", 503: "not now",
            504: "not known whether it was committed"}[status]  # fmt: skip


@dataclass(slots=True)
class Api:
    """The API of one member. `apis` has the addresses of all members' APIs, for redirects."""

    member: ClusterMember
    apis: dict[Member, tuple[str, int]]
    wall: Callable[[], int] = lambda: time.time_ns() // 1000
    watchers: set["asyncio.Queue[Version | None]"] = field(default_factory=set)
    dropped_watchers: int = 0

    def __post_init__(self) -> None:
        self.member.committed = self._committed

    @property
    def machine(self) -> Machine:
        return self.member.machine

    async def handle(self, request: Request) -> Reply:
        path = "/" + "/".join(request.path)
        allowed = []
        try:
            for route, pattern in _PATTERNS:
                found = pattern.fullmatch(path)
                if found is None:
                    continue
                if route.method != request.method:
                    allowed.append(route.method)
                    continue
                work: Callable[..., Awaitable[Reply]] = getattr(self, f"_{route.name}")
                body = [_decoded(request.body, route.body)] if route.body is not None else []
                return await work(request, *found.groups(), *body)
            if allowed:
                raise ProblemError(405, "method", headers=(("Allow", ", ".join(allowed)),))
            raise ProblemError(404, "no-such-resource", path[:100])
        except ProblemError as problem:
            return problem.reply()
        except NotTakenError as problem:
            return self._not_taken(problem, request).reply()

    def _not_taken(self, problem: NotTakenError, request: Request) -> ProblemError:
        status = STATUS.get(problem.why, 503)
        leader = self.apis.get(problem.leader) if problem.leader is not None else None
        if problem.why == "not-leading" and leader is not None and problem.leader != self.member.identity.me:
            query = "&".join(f"{name}={value}" for name, value in request.query.items())
            where = f"http://{leader[0]}:{leader[1]}/{'/'.join(request.path)}{'?' + query if query else ''}"
            return ProblemError(307, "not-leading", "the leader answers", (("Location", where),))
        headers = (("Retry-After", "1"),) if status == 503 else ()
        return ProblemError(status, problem.why, headers=headers)

    # Reads, from what this member has applied

    async def _items(self, request: Request) -> Reply:
        after, limit = request.query.get("after", ""), _whole(request, "limit", PAGE, MOST_PAGE)
        keys = [key for key in sorted(self.machine.items) if key > after]
        rows = [{"key": key, "version": self.machine.items[key].version} for key in keys[:limit]]
        more = keys[limit - 1] if len(keys) > limit else None
        return Reply(200, {"version": self.machine.number, "items": rows, "next": more})

    async def _item(self, request: Request, key: str) -> Reply:
        item = self.machine.items.get(key)
        if item is None:
            raise ProblemError(404, "no-such-key", key[:100])
        tag = _tag(item.version)
        if request.headers.get("if-none-match") in (tag, "*"):
            return Reply(304, headers=(("ETag", tag),))
        return Reply(200, {"key": key, "text": item.text, "version": item.version}, (("ETag", tag),))

    async def _file(self, request: Request) -> Reply:
        headers = (("Content-Type", "text/plain; charset=utf-8"), ("ETag", _tag(self.machine.number)))
        return Reply(200, shown(self.machine.items).encode(), headers)

    async def _history(self, request: Request) -> Reply:
        after, limit = _whole(request, "after", 0), _whole(request, "limit", PAGE, MOST_PAGE)
        found = [version for version in self.machine.history if version.number > after]
        more = found[limit - 1].number if len(found) > limit else None
        return Reply(200, {"versions": [_row(version) for version in found[:limit]], "next": more})

    async def _difference(self, request: Request) -> Reply:
        new = _whole(request, "to", self.machine.number)
        try:
            steps = self.machine.difference(_whole(request, "from", max(new - 1, 0)), new)
        except KeyError as problem:
            raise ProblemError(404, "no-such-version", str(problem.args[0])) from None
        return Reply(200, {"steps": [msgspec.to_builtins(step) for step in steps]})

    async def _openapi(self, request: Request) -> Reply:
        return Reply(200, openapi())

    async def _cluster(self, request: Request) -> Reply:
        return Reply(200, self.member.status())

    # Changes

    async def _transact(self, request: Request, body: Transaction) -> Reply:
        return await self._change(
            request, Change(body.who, body.why, self.wall(), body.sets, body.drops, body.needs)
        )

    async def _put(self, request: Request, key: str, body: Put) -> Reply:
        needs = self._needs(request, key)
        return await self._change(
            request, Change(body.who, body.why, self.wall(), {key: body.text}, [], needs)
        )

    async def _drop(self, request: Request, key: str, body: Drop) -> Reply:
        needs = self._needs(request, key)
        return await self._change(request, Change(body.who, body.why, self.wall(), {}, [key], needs))

    async def _rollback(self, request: Request, body: Back) -> Reply:
        await self._read()
        try:
            change = self.machine.rollback(body.to, body.who, body.why, self.wall())
        except KeyError as problem:
            raise ProblemError(404, "no-such-version", str(problem.args[0])) from None
        return await self._change(request, change)

    def _needs(self, request: Request, key: str) -> dict[str, int]:
        """The preconditions of RFC 9110: If-Match names a version, If-None-Match: * that there is none."""
        match, none = request.headers.get("if-match"), request.headers.get("if-none-match")
        if none == "*":
            return {key: 0}
        if match is None:
            return {}
        found = re.fullmatch(r'"v(\d+)"', match.strip())
        if found is None:
            raise ProblemError(412, "stale", f"{match[:50]} is no version", stale={key: self._version(key)})
        return {key: int(found[1])}

    def _version(self, key: str) -> int:
        item = self.machine.items.get(key)
        return 0 if item is None else item.version

    async def _change(self, request: Request, change: Change) -> Reply:
        ident = request.headers.get("idempotency-key", "")
        if len(ident) > 200:
            raise ProblemError(422, "malformed", "an idempotency key has 200 characters at most")
        if request.query.get("dry-run"):
            await self._read()
            return self._answer(self.machine.tried(change), dry=True)
        change = msgspec.structs.replace(change, ident=ident)
        try:
            outcome = await within(ANSWER_WITHIN, self.member.change(change))
        except TimeoutError:
            raise ProblemError(504, "late", "it may yet be committed: ask again with the same key") from None
        return self._answer(outcome)

    def _answer(self, outcome: Outcome, dry: bool = False) -> Reply:
        if not outcome.version and outcome.why != "changes-nothing":
            more: dict[str, Any] = {}
            if outcome.stale:
                more["stale"] = {
                    key: {
                        "version": version,
                        "text": item.text if (item := self.machine.items.get(key)) else None,
                    }
                    for key, version in outcome.stale
                }
            if outcome.problems:
                more["problems"] = list(outcome.problems)
            raise ProblemError(STATUS.get(outcome.why, 422), outcome.why, **more)
        version = outcome.version or self.machine.number
        body = {"version": version, "why": outcome.why, "dry_run": dry}
        return Reply(200, body, () if dry else (("ETag", _tag(version)),))

    async def _read(self) -> None:
        try:
            await within(ANSWER_WITHIN, self.member.read())
        except TimeoutError:
            raise ProblemError(504, "late") from None

    async def _change_members(self, request: Request, body: MemberChange) -> Reply:
        held = self.member.raft.members
        made: dict[str, Callable[[Members, Member], Members]] = {
            "learner": with_learner, "voter": as_voter, "remove": without}  # fmt: skip
        if body.what not in made:
            raise ProblemError(422, "malformed", f"{body.what[:50]}: one of {', '.join(made)}")
        try:
            await within(ANSWER_WITHIN, self.member.members(made[body.what](held, body.member)))
        except TimeoutError:
            raise ProblemError(504, "late") from None
        return Reply(200, self.member.status())

    async def _transfer(self, request: Request, body: HandOver) -> Reply:
        self.member.hand_over(body.member)
        return Reply(200, self.member.status())

    # Watching

    def _committed(self, version: Version) -> None:
        for queue in list(self.watchers):
            if queue.qsize() < WATCH_AHEAD:
                queue.put_nowait(version)
            else:  # it is too far behind: its stream ends, and it comes again from where it was
                self.dropped_watchers += 1
                self.watchers.discard(queue)
                queue.put_nowait(None)

    async def _watch(self, request: Request) -> Reply:
        after = _whole(request, "after", self.machine.number)
        oldest = self.machine.history[0].number - 1 if self.machine.history else self.machine.number
        if not oldest <= after <= self.machine.number:
            raise ProblemError(410, "not-kept", f"versions after {oldest} to {self.machine.number} are")
        if len(self.watchers) >= MOST_WATCHERS:
            raise ProblemError(503, "too-many-watchers", headers=(("Retry-After", "1"),))
        queue: asyncio.Queue[Version | None] = asyncio.Queue()
        for version in self.machine.history:
            if version.number > after:
                queue.put_nowait(version)
        self.watchers.add(queue)
        return Reply(200, lines=self._lines(queue))

    async def _lines(self, queue: "asyncio.Queue[Version | None]") -> AsyncIterator[bytes]:
        try:
            while True:
                try:
                    version = await within(_BEAT, queue.get())
                except TimeoutError:
                    yield msgspec.json.encode({"beat": self.machine.number}) + b"\n"
                    continue
                if version is None:
                    return
                yield msgspec.json.encode({**_row(version), "steps": version.steps}) + b"\n"
        finally:
            self.watchers.discard(queue)


def _row(version: Version) -> dict[str, Any]:
    return {"version": version.number, "who": version.who, "why": version.why, "when_us": version.when_us,
            "keys": [step.key for step in version.steps]}  # fmt: skip


def _tag(version: int) -> str:
    return f'"v{version}"'


def _decoded(body: bytes, kind: type[msgspec.Struct]) -> msgspec.Struct:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as problem:
        raise ProblemError(422, "malformed", str(problem)) from None


def _whole(request: Request, name: str, default: int, most: int = 1 << 60) -> int:
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdigit() or int(text) > most or (name == "limit" and int(text) < 1):
        raise ProblemError(422, "malformed", f"{name}: {text[:30]}, expected a whole number up to {most}")
    return int(text)
