"""The administration API: resources of the configuration over HTTP, served by any member.

Versions are entity tags with If-Match and If-None-Match (RFC 9110), problems are problem details (RFC 9457),
a repeat under one Idempotency-Key is answered as the first. What only a leader can do is redirected there
(307). The routes are one table, from which requests are dispatched and the OpenAPI document is made.

Fronts follow by the watch, and tell by reports what they have in force (rollout.py). A version's line is made
once, however many watch."""

import asyncio
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ponddoor.config.machine import MOST_HISTORY, Change, Machine, Outcome, Version, shown
from ponddoor.config.rollout import Report, Reports, Row, Told
from ponddoor.raft.core import Member, Members, as_voter, with_learner, without
from ponddoor.raft.member import ClusterMember, NotTakenError
from ponddoor.web.server import Reply, Request, Server
from ponddoor.web.timing import within

ANSWER_WITHIN = 5.0
MOST_WATCHERS = 1000  # 820 fronts at the one instance that is left, and people
WATCH_AHEAD = 100
IN_HAND_S = 1.0  # at the end, for what can still be answered
LAST_ANSWERS_S = 0.5  # then, for what waits to be told that the member has stopped
PAGE, MOST_PAGE = 100, 1000
MOST_FRONT = 65_535
_BEAT = 1.0
STATUS = {"stale": 412, "no-such-key": 404, "malformed": 422, "unusable": 422, "changes-nothing": 200,
          "ident-used-otherwise": 422, "not-leading": 503, "handing-over": 503, "too-many-proposals": 503,
          "too-many-waiting": 503, "too-many-reads": 503, "not-yet-leading": 503, "disk-failed": 503,
          "faulted": 503,
          "stopped": 503, "late": 504, "unknown": 504, "overwritten": 503, "too-large": 413,
          "change-under-way": 409, "not-caught-up": 409, "more-than-one": 422, "no-voter": 422}  # fmt: skip


async def stop_serving(web: Server, member: ClusterMember) -> None:
    """End a member and its API: every request that has come is answered before its connection closes."""
    await web.shut_down(IN_HAND_S)
    await member.stop()
    await web.shut_down(LAST_ANSWERS_S)
    await web.close()


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

    def __init__(
        self, status: int, why: str, detail: str = "", headers: tuple[tuple[str, str], ...] = (), **more: Any
    ) -> None:
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
          query=("after", "front"), answers=(200, 410, 503)),
    Route("POST", "/config/fronts", "report", "What a front has in force, told by itself", Report,
          answers=(204, 409, 422, 503)),
    Route("GET", "/config/fronts", "fronts", "What fronts have told this member, a page at a time",
          query=("after", "limit")),
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
    return {200: "done", 204: "taken", 304: "not changed", 307: "the leader answers", 404: "not there",
            409: "not now", 410: "not kept any more", 412: "at another version", 422: "can't be used",
            503: "not now", 504: "not known whether it was committed"}[status]  # fmt: skip


@dataclass(slots=True, eq=False)
class Watcher:
    """Whoever follows the versions; `front` is None where none is named. None in the queue ends its
    stream."""

    front: int | None
    queue: "asyncio.Queue[bytes | None]" = field(default_factory=asyncio.Queue)
    last: int = 0  # the newest version in the queue


@dataclass(slots=True)
class Api:
    """The API of one member. `apis` has the addresses of all members' APIs, for redirects."""

    member: ClusterMember
    apis: dict[Member, tuple[str, int]]
    wall: Callable[[], int] = lambda: time.time_ns() // 1000
    clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000
    most_watchers: int = MOST_WATCHERS
    watchers: set[Watcher] = field(default_factory=set)
    dropped_watchers: int = 0
    reports: Reports = field(default_factory=Reports)
    _named: dict[int, Watcher] = field(default_factory=dict)  # by front
    _encoded: dict[int, bytes] = field(default_factory=dict)  # lines of the newest versions
    _beat: tuple[tuple[int, bool], bytes] = ((-1, False), b"")
    _whole: tuple[tuple[int, str], bytes] = ((-1, ""), b"")
    _since: tuple[int, int] = (0, 0)  # the newest version, and when it was applied here

    def __post_init__(self) -> None:
        self.member.committed, self.member.restored = self._committed, self._restored

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
                body = [self._body(request, route)] if route.body is not None else []
                return await work(request, *found.groups(), *body)
            if allowed:
                raise ProblemError(405, "method", headers=(("Allow", ", ".join(allowed)),))
            raise ProblemError(404, "no-such-resource", path[:100])
        except ProblemError as problem:
            return problem.reply()
        except NotTakenError as problem:
            return self._not_taken(problem, request).reply()

    def _body(self, request: Request, route: Route) -> msgspec.Struct:
        assert route.body is not None
        try:
            return _decoded(request.body, route.body)
        except ProblemError:
            if route.body is Report:
                self.reports.count("bad")
            raise

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
        machine = self.machine  # text, version and digest are of one moment: nothing is awaited between them
        headers = (
            ("Content-Type", "text/plain; charset=utf-8"),
            ("ETag", _tag(machine.number)),
            ("Config-Digest", machine.digest),
        )
        if self._whole[0] != (machine.number, machine.digest):  # made once for all who ask
            text = shown(machine.items, machine.forms).encode()
            self._whole = ((machine.number, machine.digest), text)
        return Reply(200, self._whole[1], headers)

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
        rows = [{"key": step.key, "before": step.before, "after": step.after} for step in steps]
        return Reply(200, {"steps": rows})

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
            "learner": with_learner,
            "voter": as_voter,
            "remove": without,
        }
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
        self._since = (version.number, self.clock())
        line = self._line(version)
        for watcher in list(self.watchers):
            self._queue(watcher, version.number, line)

    def _restored(self) -> None:
        """A snapshot has brought several versions at once: who watches is told those that are kept."""
        self._encoded.clear()
        self._since = (self.machine.number, self.clock())
        for watcher in list(self.watchers):
            self._catch_up(watcher)

    def _catch_up(self, watcher: Watcher) -> None:
        if watcher.last < self._oldest():
            self._end(watcher)  # some are not kept: it comes again and is told so
            return
        for version in self.machine.history:
            if version.number > watcher.last:
                self._queue(watcher, version.number, self._line(version), MOST_HISTORY)

    def _queue(self, watcher: Watcher, number: int, line: bytes, most: int = WATCH_AHEAD) -> None:
        if watcher.queue.qsize() < most:
            watcher.queue.put_nowait(line)
            watcher.last = number
        else:  # it is too far behind: its stream ends, and it comes again from where it was
            self.dropped_watchers += 1
            self._end(watcher)

    def _end(self, watcher: Watcher) -> None:
        self._forget(watcher)
        watcher.queue.put_nowait(None)

    def _forget(self, watcher: Watcher) -> None:
        self.watchers.discard(watcher)
        if watcher.front is not None and self._named.get(watcher.front) is watcher:
            del self._named[watcher.front]

    def _oldest(self) -> int:
        """The oldest version after which all are kept."""
        return self.machine.history[0].number - 1 if self.machine.history else self.machine.number

    def _line(self, version: Version) -> bytes:
        line = self._encoded.get(version.number)
        if line is None:
            told = {**_row(version), "steps": version.steps}
            told |= {"digest": version.digest} if version.digest else {}
            line = msgspec.json.encode(told) + b"\n"
            if version.number > self.machine.number - WATCH_AHEAD:
                self._encoded[version.number] = line
            for number in [n for n in self._encoded if n <= self.machine.number - WATCH_AHEAD]:
                del self._encoded[number]
        return line

    def _beat_line(self) -> bytes:
        about = (self.machine.number, self.member.apart)
        if about != self._beat[0]:
            self._beat = (about, msgspec.json.encode({"beat": about[0], "apart": about[1]}) + b"\n")
        return self._beat[1]

    async def _watch(self, request: Request) -> Reply:
        after = _whole(request, "after", self.machine.number)
        front = _whole(request, "front", -1, MOST_FRONT)
        oldest = self._oldest()
        if not oldest <= after <= self.machine.number:
            kept = f"versions after {oldest} to {self.machine.number} are"
            raise ProblemError(410, "not-kept", kept, (("ETag", _tag(self.machine.number)),))
        if len(self.watchers) >= self.most_watchers:
            raise ProblemError(503, "too-many-watchers", headers=(("Retry-After", "1"),))
        watcher = Watcher(front if front >= 0 else None, last=after)
        if watcher.front is not None:
            before = self._named.get(watcher.front)
            if before is not None:  # guards against what a cut left behind: a front watches once
                self._end(before)
            self._named[watcher.front] = watcher
        self.watchers.add(watcher)
        self._catch_up(watcher)
        return Reply(200, lines=self._lines(watcher))

    async def _lines(self, watcher: Watcher) -> AsyncIterator[bytes]:
        try:
            if watcher.queue.empty():
                yield self._beat_line()  # at once: whoever comes learns whether this member is apart
            while True:
                try:
                    line = await within(_BEAT, watcher.queue.get())
                except TimeoutError:
                    line = self._beat_line()
                if line is None:
                    return
                yield line
        finally:
            self._forget(watcher)

    # What fronts have in force

    async def _report(self, request: Request, body: Report) -> Reply:
        why = self.reports.take(self.clock(), body)
        if why:
            status, headers = (409, ()) if why == "old" else (503, (("Retry-After", "60"),))
            raise ProblemError(
                status, f"{why}-report" if why == "old" else "too-many-fronts", headers=headers
            )
        return Reply(204)

    async def _fronts(self, request: Request) -> Reply:
        after, limit = _whole(request, "after", -1), _whole(request, "limit", PAGE, MOST_PAGE)
        held, now, machine = self.reports.held, self.clock(), self.machine
        self.reports.forget(now, self._named)
        numbers = sorted(number for number in {*held, *self._named} if number > after)
        rows = [self._front(number, now) for number in numbers[:limit]]
        since = (now - self._since[1]) // 1000 if self._since[0] == machine.number and machine.number else -1
        more = numbers[limit - 1] if len(numbers) > limit else None
        told = Told(
            self.member.identity.me,
            machine.number,
            machine.digest,
            since,
            self.member.apart,
            rows,
            more,
            {**self.reports.counts, "dropped-watchers": self.dropped_watchers},
        )
        return Reply(200, told)

    def _front(self, number: int, now: int) -> Row:
        report, came = self.reports.held.get(number, (None, now))
        return Row(number, number in self._named, (now - came) // 1000, report)


def _row(version: Version) -> dict[str, Any]:
    return {
        "version": version.number,
        "who": version.who,
        "why": version.why,
        "when_us": version.when_us,
        "keys": [step.key for step in version.steps],
    }


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
