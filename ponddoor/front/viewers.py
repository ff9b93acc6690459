"""The shell towards viewers: HTTP/1.1 and JSON. docs/protocol.md has every field, status and error."""

import asyncio
import math
import secrets
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Annotated, Any

import msgspec

from ponddoor.front import effects as fx
from ponddoor.front.effects import Answer, Effect, ViewerRequest
from ponddoor.front.engine import Engine, Phase, RepeatError, SessionRecord, stable_id
from ponddoor.front.hinting import Hinting
from ponddoor.front.seating import Seating
from ponddoor.front.taking import Terms
from ponddoor.hints import cmsd
from ponddoor.seats.core import Granted, Key, Refused
from ponddoor.seats.tokens import Token, TokenError, opened
from ponddoor.web.server import HttpError, Reply, Request, decoded
from ponddoor.web.timing import within

SECOND = 1_000_000
EVENTS_AHEAD = 100  # events that a follower may be behind; then its stream ends and says so
_BEAT = 1.0

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class SessionAsk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a request for a session. Times in milliseconds."""

    title: Name
    group: Name
    tenant: Annotated[str, msgspec.Meta(max_length=200)] = ""
    viewer: Annotated[str, msgspec.Meta(max_length=200)] = ""
    top: Annotated[int, msgspec.Meta(ge=0, le=255)] = 255
    length_ms: Annotated[float, msgspec.Meta(ge=0, le=86_400_000)] | None = None
    wait_ms: Annotated[float, msgspec.Meta(gt=0, le=3_600_000)] | None = None
    again: bool = False
    moved: bool = False
    entitlement: Annotated[str, msgspec.Meta(max_length=100)] = ""
    token: Annotated[str, msgspec.Meta(max_length=2000)] = ""
    cmcd: dict[str, Any] | None = None


class SeatAsk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a renewal: the token, and who shows it."""

    token: Annotated[str, msgspec.Meta(max_length=2000)]
    viewer: Name


@dataclass(slots=True)
class Viewers:
    """The HTTP side of one front. `terms` is what who comes now is decided by; all of it changes at once."""

    terms: Terms
    engine: Engine
    apply: Callable[[Callable[[int], list[Effect]]], None]
    address_of: Callable[[int], str]
    observe: Callable[[str, float], None]
    waiting: dict[str, list[asyncio.Future[Answer]]] = field(default_factory=dict)
    followers: dict[str, list[asyncio.Queue[dict[str, Any] | None]]] = field(default_factory=dict)
    following: int = 0
    dropped_followers: int = 0
    seating: Seating | None = None
    hinting: Hinting | None = None
    noted: Callable[..., None] | None = None  # writes down by which versions each request was decided
    seats: dict[str, tuple[Key, str, str]] = field(default_factory=dict)  # session: entitlement, seat, viewer

    async def handle(self, request: Request) -> Reply:
        match request.method, request.path:
            case "POST", ("sessions",):
                return await self._ask(request)
            case "GET", ("sessions", sess):
                found = self._found(sess)
                return Reply(200, self._state(found), self._dynamic(found))
            case "GET", ("sessions", sess, "events"):
                return self._follow(self._found(sess))
            case "DELETE", ("sessions", sess):
                self._found(sess)
                self.apply(lambda now: self.engine.viewer_left(now, sess))
                return Reply(204)
            case "POST", ("sessions", sess, "hints"):
                return self._report(self._found(sess), request)
            case "POST", ("seats", "renew"):
                return await self._renew(decoded(request.body, SeatAsk))
            case "POST", ("seats", "return"):
                return self._return_seat(decoded(request.body, SeatAsk))
            case "POST", ("seats", "look"):
                return self._look(decoded(request.body, SeatAsk))
            case "GET", ("seats",):
                return Reply(200, {"seats": self._seating().shown()})
            case _, ("sessions",) | ("sessions", _) | ("sessions", _, "events" | "hints"):
                raise HttpError(405, "method", f"{request.method} is not for this resource")
            case _:
                raise HttpError(404, "no-such-resource", "/" + "/".join(request.path)[:100])

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case fx.Reply(sess, answer):
                if answer.kind != "playing":
                    self._drop_seat(sess)
                for future in self.waiting.pop(sess, []):
                    if not future.done():
                        future.set_result(answer)
            case fx.Push(sess, what, value):
                line = {"event": what, "value": value}
                held = self.engine.find(sess)
                if what == "rung" and held is not None and self.hinting is not None:
                    line["cmsd"] = self.hinting.dynamic(held)
                if what == "moved":
                    self.seats.pop(sess, None)  # its viewer comes again with the token, and keeps the seat
                if what == "ended":
                    self._drop_seat(sess)
                    if self.hinting is not None:
                        self.hinting.over(sess)
                for queue in self.followers.get(sess, []):
                    if queue.qsize() < EVENTS_AHEAD:
                        queue.put_nowait(line)
                    elif queue.qsize() == EVENTS_AHEAD:
                        self.dropped_followers += 1
                        queue.put_nowait({"event": "too-far-behind", "value": EVENTS_AHEAD})
                        queue.put_nowait(None)
                    if what == "ended" and queue.qsize() < EVENTS_AHEAD:
                        queue.put_nowait(None)

    def _found(self, sess: str) -> SessionRecord:
        held = self.engine.find(sess)
        if held is None:
            raise HttpError(404, "no-such-session", sess[:100])
        return held

    def _asked(self, body: SessionAsk, key: str | None) -> ViewerRequest:
        """What a request asks for, under the terms of now. A repeat is answered as the first was, whatever
        has become of its title or service group since: only what the viewer says of it is looked at."""
        group, tenant = self.terms.number_of_group(body.group), self.terms.number_of_tenant(body.tenant)
        known = self.engine.find_repeat(tenant, key) if tenant is not None else None
        if known is None or group is None or tenant is None:
            return self._checked(body)
        return replace(known.request, title=body.title, service_group=group, tenant=tenant, **_said(body))

    def _checked(self, body: SessionAsk) -> ViewerRequest:
        names, tenants, site = self.terms.groups, self.terms.tenants, self.terms.site
        facts = site.facts
        if body.group not in names:
            raise HttpError(422, "no-such-service-group", f"{body.group}: one of {', '.join(names)}")
        if tenants and body.tenant not in tenants:
            raise HttpError(422, "no-such-tenant", f"{body.tenant!r}: one of {', '.join(tenants)}")
        place = site.titles.find(body.title)
        if place is None:
            raise HttpError(404, "no-such-title", body.title)
        number = names[body.group]
        group = facts.groups[number]
        top = min(body.top, group.top, len(facts.ladder.rate_kb) - 1)
        if top < group.floor:
            raise HttpError(
                422, "top-below-floor", f"rung {top}: {body.group} plays at {group.floor} or above"
            )
        wait = group.setup_timeout if body.wait_ms is None else round(body.wait_ms * 1000)
        return ViewerRequest(
            body.title,
            number,
            tenants[body.tenant] if tenants else 0,
            place.home,
            place.span,
            top,
            min(wait, group.setup_timeout),
            **_said(body),
        )

    async def _ask(self, request: Request) -> Reply:
        began = asyncio.get_running_loop().time()
        body = decoded(request.body, SessionAsk)
        key, terms = request.headers.get("idempotency-key"), self.terms
        ask = self._asked(body, key)
        if key is not None and not 1 <= len(key) <= 200:
            raise HttpError(400, "malformed-key", "an idempotency key has 1 to 200 characters")
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        sess = secrets.token_hex(12)
        granted: Granted | None = None
        if body.entitlement:
            known = self.engine.find_repeat(ask.tenant, key)
            sess = known.sess if known is not None else sess
            taken = await self._take_seat(body, sess)
            if isinstance(taken, Refused):
                return self._reply("", Answer("busy", come_back=taken.come_back, reason=taken.why))
            granted = taken
            if self.terms is not terms:
                # Guards against a request of which one half is decided by one version and one by the next:
                # nothing of it has been asked of the decisions yet, so all of it is looked at anew.
                try:
                    ask, terms = self._asked(body, key), self.terms
                except HttpError:
                    if self.engine.find(sess) is None:
                        self._drop_seat(sess)
                    raise
            # Guards against a viewer whose time is up while the decisions still count all of it.
            spent = round((asyncio.get_running_loop().time() - began) * SECOND)
            ask = replace(ask, wait=max(0, ask.wait - spent))
            if request.gone.is_set():
                self._drop_seat(sess)
                return Reply(499, drop=True)
        held: SessionRecord | None = None
        refused: list[Answer] = []
        hinting = self.hinting
        means = hinting.on_request(request, body.cmcd, ask) if hinting else None

        def take(now: int) -> list[Effect]:
            nonlocal held
            if self.noted is not None:
                self.noted("decided", sess=sess, first=terms.version, answer=self.terms.version)
            held, out = self.engine.request(now, sess, ask, key, means)
            if held is None:
                refused.extend(effect.answer for effect in out if isinstance(effect, fx.Reply))
                return []
            if held.answer is None:
                self.waiting.setdefault(held.sess, []).append(future)
            return out

        try:
            self.apply(take)
        except RepeatError as problem:
            raise HttpError(422, "key-used-otherwise", str(problem)) from None
        if held is None:
            self._drop_seat(sess)
            return self._reply("", refused[0])
        held_now: SessionRecord = held
        if held_now.answer is None:
            request.when_gone = partial(self._leave, held_now, future)
            if request.gone.is_set():
                self._leave(held_now, future)
            if (await future).kind == "left" and request.gone.is_set():
                return Reply(499, drop=True)
        answer = held_now.answer
        assert answer is not None
        if held_now.sess == sess:
            self.observe(answer.kind, asyncio.get_running_loop().time() - began)
        reply = self._reply(held_now.sess, answer)
        reply.headers += self._dynamic(held_now)
        if granted is not None and answer.kind == "playing" and isinstance(reply.body, dict):
            reply.body["token"] = self._seating().token(granted)
        return reply

    # Hints

    def _dynamic(self, held: SessionRecord) -> tuple[tuple[str, str], ...]:
        if self.hinting is None or held.phase is not Phase.PLAYING:
            return ()
        return ((cmsd.DYNAMIC, self.hinting.dynamic(held)),)

    def _report(self, held: SessionRecord, request: Request) -> Reply:
        if self.hinting is None:
            raise HttpError(404, "no-hints", "this site takes no hints")
        taken = self.hinting.report(held.sess, request)
        return Reply(200, {"taken": taken}, self._dynamic(held))

    # Seats

    def _seating(self) -> Seating:
        if self.seating is None:
            raise HttpError(404, "no-entitlements", "this site has no entitlements")
        return self.seating

    async def _take_seat(self, body: SessionAsk, sess: str) -> Granted | Refused:
        """A seat before the decisions are asked; a moved session shows its token and keeps the seat it
        has."""
        seating, key = self._seating(), (body.tenant, body.entitlement)
        if not body.viewer:
            raise HttpError(422, "no-viewer", "a seat is bound to a viewer: name one")
        if body.token:
            token = self._opened(body.token)
            if (token.tenant, token.entitlement) != key:
                raise HttpError(403, "other-entitlement", token.entitlement)
            got = await seating.renew(token, body.viewer)
        else:
            got = await seating.take(key, body.viewer, sess)
        if isinstance(got, Refused):
            refusal = self._refusal(got)
            if refusal.status != 503:
                raise refusal
            return got
        self.seats[sess] = (key, got.seat, body.viewer)
        return got

    def _opened(self, text: str) -> Token:
        try:
            token = opened(text, self._seating().key)
        except TokenError as problem:
            raise HttpError(403, problem.why, "the token is not to be trusted") from None
        if token.front != self._seating().me:
            fronts = self.terms.site.fronts
            place = fronts[token.front].viewers if token.front < len(fronts) else None
            where = f"http://{place[0]}:{place[1]}/seats/renew" if place else ""
            raise HttpError(307, "another-front", "the front that granted it answers", (("Location", where),))
        return token

    def _refusal(self, got: Refused) -> HttpError:
        status = {
            "no-such-entitlement": 422,
            "not-yours": 403,
            "expired": 410,
            "superseded": 409,
            "never-given": 409,
        }.get(got.why, 503)
        seconds = max(1, math.ceil(got.come_back / SECOND))
        headers = (("Retry-After", str(seconds)),) if status == 503 else ()
        return HttpError(status, got.why, "no seat", headers)

    async def _renew(self, ask: SeatAsk) -> Reply:
        got = await self._seating().renew(self._opened(ask.token), ask.viewer)
        if isinstance(got, Refused):
            raise self._refusal(got)
        return Reply(200, {"token": self._seating().token(got), "generation": got.generation})

    def _look(self, ask: SeatAsk) -> Reply:
        token = self._opened(ask.token)
        if token.viewer != ask.viewer:
            raise HttpError(403, "not-yours", "the token is of another viewer")
        return Reply(200, self._seating().look(token))

    def _return_seat(self, ask: SeatAsk) -> Reply:
        token = self._opened(ask.token)
        self._seating().give_back((token.tenant, token.entitlement), token.seat, ask.viewer)
        return Reply(204)

    def _drop_seat(self, sess: str) -> None:
        """A session that ended, or never began, gives its seat back at once."""
        held = self.seats.pop(sess, None)
        if held is not None and self.seating is not None:
            self.seating.give_back(*held)

    def seat_ended(self, seat: str) -> None:
        """A seat ran out: its session must not go on."""
        for sess in [sess for sess, held in self.seats.items() if held[1] == seat]:
            del self.seats[sess]
            self.apply(lambda now, sess=sess: self.engine.viewer_left(now, sess))  # type: ignore[misc]

    def _leave(self, held: SessionRecord, future: asyncio.Future[Answer]) -> None:
        """A waiting client is gone; with the last one who waits for this session, so is the viewer."""
        waiting = self.waiting.get(held.sess, [])
        if future.done() or future not in waiting:
            return
        waiting.remove(future)
        future.set_result(Answer("left"))
        if not waiting:
            self.waiting.pop(held.sess, None)
            self.apply(lambda now: self.engine.viewer_left(now, held.sess))

    def _reply(self, sess: str, answer: Answer) -> Reply:
        if answer.kind == "playing":
            body = {
                "session": sess,
                "state": "playing",
                "server": self.address_of(answer.server),
                "rung": answer.rung,
            }
            return Reply(201, body, (("Location", f"/sessions/{sess}"),))
        if answer.kind == "busy":
            seconds = max(1, math.ceil(answer.come_back / SECOND))
            body = {
                "session": sess,
                "state": "busy-replied",
                "error": answer.reason or "busy",
                "come_back_ms": answer.come_back / 1000,
            }
            return Reply(503, body, (("Retry-After", str(seconds)),))
        return Reply(502, {"session": sess, "state": "torn-down", "error": answer.reason or answer.kind})

    def _state(self, held: SessionRecord) -> dict[str, Any]:
        state: dict[str, Any] = {
            "session": held.sess,
            "state": held.phase.value,
            "title": held.request.title,
            "group": held.group.name,
        }
        if held.phase is Phase.PLAYING:
            state |= {"server": self.address_of(held.server), "rung": held.rung}
        if held.phase is Phase.ENDED:
            state["end"] = held.end_reason
        return state

    def _follow(self, held: SessionRecord) -> Reply:
        if self.following >= self.terms.site.limits.followers:
            raise HttpError(
                503, "too-many-followers", f"{self.following} streams of events", (("Retry-After", "1"),)
            )
        queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        queue.put_nowait({"event": "state", "value": self._state(held)})
        if held.phase is Phase.ENDED:
            queue.put_nowait(None)
        return Reply(200, lines=self._events(held.sess, queue))

    async def _events(self, sess: str, queue: "asyncio.Queue[dict[str, Any] | None]") -> AsyncIterator[bytes]:
        self.followers.setdefault(sess, []).append(queue)
        self.following += 1
        try:
            while True:
                try:
                    line = await within(_BEAT, queue.get())
                except TimeoutError:
                    line = {"event": "beat"}
                if line is None:
                    return
                yield msgspec.json.encode(line) + b"\n"
        finally:
            self.following -= 1
            self.followers[sess].remove(queue)
            if not self.followers[sess]:
                del self.followers[sess]


def _said(body: SessionAsk) -> dict[str, Any]:
    """The fields of an ask that are the viewer's own word."""
    return {
        "length": None if body.length_ms is None else round(body.length_ms * 1000),
        "viewer": stable_id(body.viewer) if body.viewer else 0,
        "again": body.again,
        "moved": body.moved,
        "asked_top": body.top,
    }
