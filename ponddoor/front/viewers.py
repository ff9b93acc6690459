"""The HTTP/1.1 and JSON interface for viewers. docs/protocol.md lists every field, status and error."""

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
from ponddoor.seats.tokens import Token, TokenError, decode_token
from ponddoor.web.server import HttpError, Reply, Request, decode_json_body
from ponddoor.web.timing import within

SECOND = 1_000_000  # in microseconds
# A stream with this many unsent events ends with the event "too-far-behind".
MAX_QUEUED_EVENTS = 100
_HEARTBEAT_PERIOD_S = 1.0

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class SessionAsk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /sessions. Times are in milliseconds."""

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
    """The body of the POST requests below /seats: the token and the viewer that presents it."""

    token: Annotated[str, msgspec.Meta(max_length=2000)]
    viewer: Name


@dataclass(slots=True)
class Viewers:
    """Handles the HTTP requests of one front's viewers.

    `terms` is the configuration version that applies to new requests. It is replaced as a whole.
    `waiting` holds, by session, the futures of the clients that wait for an answer. `event_queues` holds, by
    session, one queue for each open event stream; None in a queue ends its stream."""

    terms: Terms
    engine: Engine
    apply: Callable[[Callable[[int], list[Effect]]], None]
    address_of: Callable[[int], str]
    observe: Callable[[str, float], None]
    waiting: dict[str, list[asyncio.Future[Answer]]] = field(default_factory=dict)
    event_queues: dict[str, list[asyncio.Queue[dict[str, Any] | None]]] = field(default_factory=dict)
    open_streams: int = 0
    dropped_streams: int = 0
    seating: Seating | None = None
    hinting: Hinting | None = None
    # Records the configuration versions with which each request was decided.
    record_event: Callable[..., None] | None = None
    # By session: entitlement, seat, viewer.
    seats: dict[str, tuple[Key, str, str]] = field(default_factory=dict)

    async def handle(self, request: Request) -> Reply:
        """Returns the reply to an HTTP request. Raises HttpError."""
        match request.method, request.path:
            case "POST", ("sessions",):
                return await self._request_session(request)
            case "GET", ("sessions", sess):
                record = self._find_session(sess)
                return Reply(200, self._session_state(record), self._cmsd_headers(record))
            case "GET", ("sessions", sess, "events"):
                return self._stream_events(self._find_session(sess))
            case "DELETE", ("sessions", sess):
                self._find_session(sess)
                self.apply(lambda now: self.engine.viewer_left(now, sess))
                return Reply(204)
            case "POST", ("sessions", sess, "hints"):
                return self._take_hints(self._find_session(sess), request)
            case "POST", ("seats", "renew"):
                return await self._renew(decode_json_body(request.body, SeatAsk))
            case "POST", ("seats", "return"):
                return self._return_seat(decode_json_body(request.body, SeatAsk))
            case "POST", ("seats", "look"):
                return self._token_status(decode_json_body(request.body, SeatAsk))
            case "GET", ("seats",):
                return Reply(200, {"seats": self._seating().entitlement_rows()})
            case _, ("sessions",) | ("sessions", _) | ("sessions", _, "events" | "hints"):
                raise HttpError(405, "method", f"{request.method} is not for this resource")
            case _:
                raise HttpError(404, "no-such-resource", "/" + "/".join(request.path)[:100])

    def carry_out(self, effect: Effect) -> None:
        """Passes an engine's answer to the waiting clients, or an event to the event streams."""
        match effect:
            case fx.Reply(sess, answer):
                if answer.kind != "playing":
                    self._release_seat(sess)
                for future in self.waiting.pop(sess, []):
                    if not future.done():
                        future.set_result(answer)
            case fx.Push(sess, event, value):
                line = {"event": event, "value": value}
                record = self.engine.find(sess)
                if event == "rung" and record is not None and self.hinting is not None:
                    line["cmsd"] = self.hinting.dynamic(record)
                if event == "moved":
                    self.seats.pop(sess, None)  # the viewer asks again with its token and keeps it
                if event == "ended":
                    self._release_seat(sess)
                    if self.hinting is not None:
                        self.hinting.session_ended(sess)
                for queue in self.event_queues.get(sess, []):
                    if queue.qsize() < MAX_QUEUED_EVENTS:
                        queue.put_nowait(line)
                    elif queue.qsize() == MAX_QUEUED_EVENTS:
                        self.dropped_streams += 1
                        queue.put_nowait({"event": "too-far-behind", "value": MAX_QUEUED_EVENTS})
                        queue.put_nowait(None)
                    if event == "ended" and queue.qsize() < MAX_QUEUED_EVENTS:
                        queue.put_nowait(None)

    def _find_session(self, sess: str) -> SessionRecord:
        record = self.engine.find(sess)
        if record is None:
            raise HttpError(404, "no-such-session", sess[:100])
        return record

    def _to_viewer_request(self, body: SessionAsk, key: str | None) -> ViewerRequest:
        """Converts the body of a request under the current terms. Raises HttpError.

        A repeat gets the answer of the first request even if the title or service group has changed since, so
        of a repeat only the viewer's own fields are read and the rest is taken from the first request."""
        group, tenant = self.terms.number_of_group(body.group), self.terms.number_of_tenant(body.tenant)
        repeat = self.engine.find_repeat(tenant, key) if tenant is not None else None
        if repeat is None or group is None or tenant is None:
            return self._validated_request(body)
        return replace(
            repeat.request, title=body.title, service_group=group, tenant=tenant, **_viewer_fields(body)
        )

    def _validated_request(self, body: SessionAsk) -> ViewerRequest:
        groups, tenants, site = self.terms.groups, self.terms.tenants, self.terms.site
        facts = site.facts
        if body.group not in groups:
            raise HttpError(422, "no-such-service-group", f"{body.group}: one of {', '.join(groups)}")
        if tenants and body.tenant not in tenants:
            raise HttpError(422, "no-such-tenant", f"{body.tenant!r}: one of {', '.join(tenants)}")
        place = site.titles.find(body.title)
        if place is None:
            raise HttpError(404, "no-such-title", body.title)
        group_number = groups[body.group]
        group = facts.groups[group_number]
        top = min(body.top, group.top, len(facts.ladder.rate_kb) - 1)
        if top < group.floor:
            raise HttpError(
                422, "top-below-floor", f"rung {top}: {body.group} plays at {group.floor} or above"
            )
        wait_us = group.setup_timeout if body.wait_ms is None else round(body.wait_ms * 1000)
        return ViewerRequest(
            body.title,
            group_number,
            tenants[body.tenant] if tenants else 0,
            place.home,
            place.span,
            top,
            min(wait_us, group.setup_timeout),
            **_viewer_fields(body),
        )

    async def _request_session(self, request: Request) -> Reply:
        started_s = asyncio.get_running_loop().time()
        body = decode_json_body(request.body, SessionAsk)
        key, terms = request.headers.get("idempotency-key"), self.terms
        viewer_request = self._to_viewer_request(body, key)
        if key is not None and not 1 <= len(key) <= 200:
            raise HttpError(400, "malformed-key", "an idempotency key has 1 to 200 characters")
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        sess = secrets.token_hex(12)
        granted: Granted | None = None
        if body.entitlement:
            repeat = self.engine.find_repeat(viewer_request.tenant, key)
            sess = repeat.sess if repeat is not None else sess
            seat_result = await self._take_seat(body, sess)
            if isinstance(seat_result, Refused):
                return self._reply(
                    "", Answer("busy", come_back=seat_result.retry_after, reason=seat_result.reason)
                )
            granted = seat_result
            if self.terms is not terms:
                # The configuration changed while the seat was granted. The engine has not seen the request
                # yet, so it is converted again: no request is decided by two versions.
                try:
                    viewer_request, terms = self._to_viewer_request(body, key), self.terms
                except HttpError:
                    if self.engine.find(sess) is None:
                        self._release_seat(sess)
                    raise
            # The time that the seat took counts towards the time that the viewer waits.
            spent_us = round((asyncio.get_running_loop().time() - started_s) * SECOND)
            viewer_request = replace(viewer_request, wait=max(0, viewer_request.wait - spent_us))
            if request.disconnected.is_set():
                self._release_seat(sess)
                return Reply(499, close_unanswered=True)
        record: SessionRecord | None = None
        refused: list[Answer] = []
        hinting = self.hinting
        means = hinting.on_request(request, body.cmcd, viewer_request) if hinting else None

        def submit(now: int) -> list[Effect]:
            nonlocal record
            if self.record_event is not None:
                self.record_event("decided", sess=sess, first=terms.version, answer=self.terms.version)
            record, effects = self.engine.request(now, sess, viewer_request, key, means)
            if record is None:
                refused.extend(effect.answer for effect in effects if isinstance(effect, fx.Reply))
                return []
            if record.answer is None:
                self.waiting.setdefault(record.sess, []).append(future)
            return effects

        try:
            self.apply(submit)
        except RepeatError as error:
            raise HttpError(422, "key-used-otherwise", str(error)) from None
        if record is None:
            self._release_seat(sess)
            return self._reply("", refused[0])
        final_record: SessionRecord = record
        if final_record.answer is None:
            request.on_disconnect = partial(self._stop_waiting, final_record, future)
            if request.disconnected.is_set():
                self._stop_waiting(final_record, future)
            if (await future).kind == "left" and request.disconnected.is_set():
                return Reply(499, close_unanswered=True)
        answer = final_record.answer
        assert answer is not None
        if final_record.sess == sess:
            self.observe(answer.kind, asyncio.get_running_loop().time() - started_s)
        reply = self._reply(final_record.sess, answer)
        reply.headers += self._cmsd_headers(final_record)
        if granted is not None and answer.kind == "playing" and isinstance(reply.body, dict):
            reply.body["token"] = self._seating().token(granted)
        return reply

    # Hints

    def _cmsd_headers(self, record: SessionRecord) -> tuple[tuple[str, str], ...]:
        if self.hinting is None or record.phase is not Phase.PLAYING:
            return ()
        return ((cmsd.DYNAMIC_HEADER, self.hinting.dynamic(record)),)

    def _take_hints(self, record: SessionRecord, request: Request) -> Reply:
        if self.hinting is None:
            raise HttpError(404, "no-hints", "this site takes no hints")
        taken_count = self.hinting.take_reports(record.sess, request)
        return Reply(200, {"taken": taken_count}, self._cmsd_headers(record))

    # Seats

    def _seating(self) -> Seating:
        if self.seating is None:
            raise HttpError(404, "no-entitlements", "this site has no entitlements")
        return self.seating

    async def _take_seat(self, body: SessionAsk, sess: str) -> Granted | Refused:
        """Takes a seat for a session, before the engine gets the request. A moved session presents its token
        and keeps its seat. Returns a Refused that the caller answers as busy. Raises HttpError for any other
        refusal."""
        seating, key = self._seating(), (body.tenant, body.entitlement)
        if not body.viewer:
            raise HttpError(422, "no-viewer", "a seat is bound to a viewer: name one")
        if body.token:
            token = self._verified_token(body.token)
            if (token.tenant, token.entitlement) != key:
                raise HttpError(403, "other-entitlement", token.entitlement)
            result = await seating.renew(token, body.viewer)
        else:
            result = await seating.take(key, body.viewer, sess)
        if isinstance(result, Refused):
            refusal = self._refusal_error(result)
            if refusal.status != 503:
                raise refusal
            return result
        self.seats[sess] = (key, result.seat, body.viewer)
        return result

    def _verified_token(self, text: str) -> Token:
        try:
            token = decode_token(text, self._seating().key)
        except TokenError as error:
            raise HttpError(403, error.code, "the token is not to be trusted") from None
        if token.front != self._seating().me:
            fronts = self.terms.site.fronts
            address = fronts[token.front].viewers if token.front < len(fronts) else None
            location = f"http://{address[0]}:{address[1]}/seats/renew" if address else ""
            raise HttpError(
                307, "another-front", "the front that granted it answers", (("Location", location),)
            )
        return token

    def _refusal_error(self, result: Refused) -> HttpError:
        status = {
            "no-such-entitlement": 422,
            "not-yours": 403,
            "expired": 410,
            "superseded": 409,
            "never-given": 409,
        }.get(result.reason, 503)
        seconds = max(1, math.ceil(result.retry_after / SECOND))
        headers = (("Retry-After", str(seconds)),) if status == 503 else ()
        return HttpError(status, result.reason, "no seat", headers)

    async def _renew(self, body: SeatAsk) -> Reply:
        result = await self._seating().renew(self._verified_token(body.token), body.viewer)
        if isinstance(result, Refused):
            raise self._refusal_error(result)
        return Reply(200, {"token": self._seating().token(result), "generation": result.generation})

    def _token_status(self, body: SeatAsk) -> Reply:
        token = self._verified_token(body.token)
        if token.viewer != body.viewer:
            raise HttpError(403, "not-yours", "the token is of another viewer")
        return Reply(200, self._seating().token_status(token))

    def _return_seat(self, body: SeatAsk) -> Reply:
        token = self._verified_token(body.token)
        self._seating().give_back((token.tenant, token.entitlement), token.seat, body.viewer)
        return Reply(204)

    def _release_seat(self, sess: str) -> None:
        """Returns the seat of a session that ended or never began."""
        seat = self.seats.pop(sess, None)
        if seat is not None and self.seating is not None:
            self.seating.give_back(*seat)

    def seat_ended(self, seat: str) -> None:
        """Ends the session of a seat that has expired."""
        for sess in [sess for sess, session_seat in self.seats.items() if session_seat[1] == seat]:
            del self.seats[sess]
            self.apply(lambda now, sess=sess: self.engine.viewer_left(now, sess))  # type: ignore[misc]

    def _stop_waiting(self, record: SessionRecord, future: asyncio.Future[Answer]) -> None:
        """Removes a client that disconnected while it waited. After the last one the viewer has left."""
        waiting = self.waiting.get(record.sess, [])
        if future.done() or future not in waiting:
            return
        waiting.remove(future)
        future.set_result(Answer("left"))
        if not waiting:
            self.waiting.pop(record.sess, None)
            self.apply(lambda now: self.engine.viewer_left(now, record.sess))

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

    def _session_state(self, record: SessionRecord) -> dict[str, Any]:
        state: dict[str, Any] = {
            "session": record.sess,
            "state": record.phase.value,
            "title": record.request.title,
            "group": record.group.name,
        }
        if record.phase is Phase.PLAYING:
            state |= {"server": self.address_of(record.server), "rung": record.rung}
        if record.phase is Phase.ENDED:
            state["end"] = record.end_reason
        return state

    def _stream_events(self, record: SessionRecord) -> Reply:
        if self.open_streams >= self.terms.site.limits.followers:
            raise HttpError(
                503, "too-many-followers", f"{self.open_streams} streams of events", (("Retry-After", "1"),)
            )
        queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        queue.put_nowait({"event": "state", "value": self._session_state(record)})
        if record.phase is Phase.ENDED:
            queue.put_nowait(None)
        return Reply(200, lines=self._events(record.sess, queue))

    async def _events(self, sess: str, queue: "asyncio.Queue[dict[str, Any] | None]") -> AsyncIterator[bytes]:
        self.event_queues.setdefault(sess, []).append(queue)
        self.open_streams += 1
        try:
            while True:
                try:
                    line = await within(_HEARTBEAT_PERIOD_S, queue.get())
                except TimeoutError:
                    line = {"event": "beat"}
                if line is None:
                    return
                yield msgspec.json.encode(line) + b"\n"
        finally:
            self.open_streams -= 1
            self.event_queues[sess].remove(queue)
            if not self.event_queues[sess]:
                del self.event_queues[sess]


def _viewer_fields(body: SessionAsk) -> dict[str, Any]:
    """The fields of ViewerRequest that the configuration does not bound or check."""
    return {
        "length": None if body.length_ms is None else round(body.length_ms * 1000),
        "viewer": stable_id(body.viewer) if body.viewer else 0,
        "again": body.again,
        "moved": body.moved,
        "asked_top": body.top,
    }
