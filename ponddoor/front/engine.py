"""One front without its sockets: feeds events to the decisions and turns the resulting actions into effects.

Clock, ids and answers are passed in; effects (ponddoor.front.effects) are returned. The engine makes no
decision about a session: it keeps the timers, the pending attempt, the answer given and repeated requests.

Every public method that handles something takes `now` in microseconds and returns the effects in the order in
which they must be carried out."""

import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from ponddoor.front import effects as fx
from ponddoor.front.effects import Answer, Effect, ViewerRequest
from ponddoor.front.limits import AdmissionGate
from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface.facts import Ladder, ServiceGroup, SiteFacts
from ponddoor.runtime.driver import Decisions, Driver

END_RESULTS = {"over": ev.Result.SERVED, "viewer-gone": ev.Result.CANCELLED, "lost": ev.Result.RESET}


class Phase(Enum):
    """The state of a session in the engine."""

    WAITING = "waiting"
    PLAYING = "playing"
    ENDED = "ended"


@dataclass(slots=True)
class SessionRecord:
    """A session as the engine knows it.

    `setup_pending` says whether `attempt` has no outcome yet. `group` and `ladder` are those in force when
    the request came; the session keeps them until it ends. `repeat_key` is the tenant and the idempotency
    key. Times are in microseconds."""

    sess: str
    req_id: int
    request: ViewerRequest
    requested_at: int
    repeat_key: tuple[int, str] | None
    group: ServiceGroup
    ladder: Ladder
    phase: Phase = Phase.WAITING
    answer: Answer | None = None
    attempt: int = -1
    server: int = -1
    setup_pending: bool = False
    setup_sent_at: int = 0
    rung: int = 0
    end_reason: str = ""

    @property
    def standing_since(self) -> int:
        """When its SETUP was sent, or when it was handed over to this front; microseconds."""
        return self.setup_sent_at or self.requested_at

    @property
    def handed_over(self) -> bool:
        """Whether it played already when this front was told of it."""
        return self.phase is not Phase.WAITING and self.setup_sent_at == 0

    @property
    def rate_kb(self) -> float:
        """The bandwidth of its rung, kB per second."""
        return self.ladder.rate_kb[self.rung] * self.group.rate_factor


@dataclass(slots=True)
class Counts:
    """Counters for metrics and logs. `stray` counts SETUP outcomes that no pending attempt waited for."""

    answers: dict[str, int] = field(default_factory=dict)
    setups: dict[str, int] = field(default_factory=dict)
    stray: dict[str, int] = field(default_factory=dict)
    faults: int = 0
    decision_ns: int = 0
    events: int = 0

    def increment(self, table: dict[str, int], key: str) -> None:
        table[key] = table.get(key, 0) + 1


class RepeatError(Exception):
    """An idempotency key was used again with a different request."""


class Engine:
    """The sessions, timers and repeated requests of one front, around one instance of the decisions.

    `on_event_handled` is called with the time, the event and the actions that the decisions returned."""

    def __init__(self, decisions: Decisions, facts: SiteFacts, gate: AdmissionGate) -> None:
        self.facts, self.gate, self.counts = facts, gate, Counts()
        self._driver = Driver(decisions)
        self._sessions: dict[str, SessionRecord] = {}
        self._by_req_id: dict[int, SessionRecord] = {}
        self._playing_by_server: dict[int, dict[str, SessionRecord]] = {}
        self._repeats: dict[tuple[int, str], SessionRecord] = {}
        self._ended: dict[str, SessionRecord] = {}
        # (due at, sequence number, kind, cookie or request id, attempt)
        self._timers: list[tuple[int, int, str, int, int]] = []
        self._timer_sequence = itertools.count()
        self._next_req_id = itertools.count(1)
        self.requests_in_hand = 0
        self.on_event_handled: Callable[[int, ev.Event, list[act.Action]], None] | None = None

    # State that callers may read

    @property
    def sessions_held(self) -> int:
        """Sessions waiting or playing."""
        return len(self._sessions)

    @property
    def next_due(self) -> int | None:
        """When `run_due_timers` must be called next; None without timers."""
        return self._timers[0][0] if self._timers else None

    @property
    def come_back(self) -> int:
        """After how many us a viewer refused by a limit may retry; 0 if the site gives no such advice."""
        permissions = self.facts.permissions
        return permissions.max_come_back // 2 if permissions.come_back else 0

    def find(self, sess: str) -> SessionRecord | None:
        return self._sessions.get(sess) or self._ended.get(sess)

    def find_repeat(self, tenant: int, repeat_key: str | None) -> SessionRecord | None:
        """The session that was begun with this idempotency key, if any."""
        return None if repeat_key is None else self._repeats.get((tenant, repeat_key))

    def sessions_at(self, server: int) -> list[SessionRecord]:
        return list(self._playing_by_server.get(server, {}).values())

    def standing_since(self, server: int) -> int | None:
        """The `standing_since` of the oldest session at a server; None without sessions there."""
        for session in self._playing_by_server.get(server, {}).values():
            return session.standing_since
        return None

    def has_sessions_at(self, server: int) -> bool:
        """Whether any session plays at a server."""
        return bool(self._playing_by_server.get(server))

    def servers_in_use(self) -> list[int]:
        """The servers at which sessions play."""
        return [server for server, sessions in self._playing_by_server.items() if sessions]

    # Events

    def update_facts(self, now: int, facts: SiteFacts) -> list[Effect]:
        """Puts another version of the site in force for requests from now on."""
        self.facts = facts
        return self._handle_event(now, ev.NewTerms(facts), None)

    def request(
        self,
        now: int,
        sess: str,
        request: ViewerRequest,
        repeat_key: str | None,
        means: ev.Means | None = None,
    ) -> tuple[SessionRecord | None, list[Effect]]:
        """Starts a session for a viewer's request, or finds the one that its idempotency key began.

        Returns the session; or None and a Reply that names the limit which was reached. Raises RepeatError if
        the key was used for another request."""
        full_key = (request.tenant, repeat_key) if repeat_key is not None else None
        if full_key is not None and (session := self._repeats.get(full_key)) is not None:
            if session.request != request:
                raise RepeatError("the key was used with another request")
            return session, []
        refusal = self.gate.refusal(
            now, self.requests_in_hand, self.sessions_held, len(self._repeats) if full_key else -1
        )
        if refusal:
            self.counts.increment(self.counts.answers, f"limit {refusal}")
            return None, [fx.Reply(sess, Answer("busy", come_back=self.come_back, reason=refusal))]
        group, ladder = self.facts.groups[request.service_group], self.facts.ladder
        session = SessionRecord(sess, next(self._next_req_id), request, now, full_key, group, ladder)
        self._sessions[sess] = self._by_req_id[session.req_id] = session
        if full_key is not None:
            self._repeats[full_key] = session
        self.requests_in_hand += 1
        return session, self._handle_event(now, self._request_event(session, means), session)

    def handed_over(self, now: int, sess: str, request: ViewerRequest, server: int) -> list[Effect]:
        """Takes over a session that already plays at a server. A session known here stays as it is."""
        if sess in self._sessions or self.sessions_held >= self.gate.limits.held:
            return []
        group, ladder = self.facts.groups[request.service_group], self.facts.ladder
        session = SessionRecord(
            sess, next(self._next_req_id), request, now, None, group, ladder, Phase.PLAYING,
            Answer("playing", server), 0, server,
        )  # fmt: skip
        self._sessions[sess] = self._by_req_id[session.req_id] = session
        self._playing_by_server.setdefault(server, {})[sess] = session
        return self._handle_event(now, ev.HandedOver(self._request_event(session, None), server), session)

    def viewer_left(self, now: int, sess: str) -> list[Effect]:
        """Handles the end by the viewer: cancels a waiting request or ends a playing session."""
        session = self._sessions.get(sess)
        if session is None:
            return []
        if session.phase is Phase.PLAYING:
            return [self._teardown_effect(session), *self._end_session(now, session, "over")]
        return self._withdraw(now, session, Answer("left"))

    def answer_now(self, now: int, sess: str, reason: str) -> list[Effect]:
        """Answers a waiting request now: busy if no SETUP was sent for it, otherwise torn down."""
        session = self._sessions.get(sess)
        if session is None or session.phase is not Phase.WAITING:
            return []
        if session.attempt < 0:
            return self._withdraw(now, session, Answer("busy", come_back=self.come_back, reason=reason))
        return self._withdraw(now, session, Answer("torn-down", reason=reason))

    def _withdraw(self, now: int, session: SessionRecord, answer: Answer) -> list[Effect]:
        """Ends a waiting request with this answer and abandons its pending SETUP."""
        effects: list[Effect] = [self._teardown_effect(session)] if session.setup_pending else []
        was_pending, session.setup_pending = session.setup_pending, False
        effects += self._answer(now, session, answer)
        effects += self._handle_event(now, ev.ViewerLeft(session.req_id), session)
        if was_pending:
            effects += self._handle_event(
                now, self._setup_ended_event(now, session, ev.Result.CANCELLED, True), session
            )
        return effects

    def setup_answered(
        self,
        now: int,
        sess: str,
        attempt: int,
        server: int,
        result: ev.Result | None,
        report: dict[str, float],
        asked: dict[str, float],
        viewer_text: str = "",
    ) -> list[Effect]:
        """Handles the outcome of a SETUP.

        `result` is None if the stream started; then the viewer is given `viewer_text`. `asked` may have the
        load asked of the server's link and of its rack's uplink, as ratios to their capacity."""
        session = self._sessions.get(sess)
        if session is None or not session.setup_pending or session.attempt != attempt:
            # The outcome came after the timeout or the cancel, or a second time. A stream that started anyway
            # must not be left running, unless it is the one that plays.
            is_playing_attempt = (
                session is not None and session.phase is Phase.PLAYING and session.attempt == attempt
            )
            self.counts.increment(self.counts.stray, "started" if result is None else result.value)
            return (
                [] if is_playing_attempt or result is not None else [fx.SendTeardown(sess, attempt, server)]
            )
        session.setup_pending = False
        self.counts.increment(self.counts.setups, "started" if result is None else result.value)
        if result is not None:
            effects: list[Effect] = [self._teardown_effect(session)] if result is ev.Result.RESET else []
            return effects + self._handle_event(
                now, self._setup_ended_event(now, session, result, False, report), session
            )
        session.phase = Phase.PLAYING
        self._playing_by_server.setdefault(session.server, {})[sess] = session
        effects = self._answer(
            now, session, Answer("playing", session.server, session.rung, viewer_text=viewer_text)
        )
        lag = now - session.setup_sent_at
        effects += self._handle_event(
            now, ev.Started(session.req_id, session.attempt, session.server, lag), session
        )
        for name, kind in (("link", ev.NoteKind.LINK_ASKED), ("uplink", ev.NoteKind.UPLINK_ASKED)):
            if name in asked and session.phase is Phase.PLAYING:
                effects += self._handle_event(
                    now, ev.Note(session.req_id, kind, asked[name], session.server), session
                )
        return effects

    def stream_ended(self, now: int, sess: str, attempt: int, reason: str) -> list[Effect]:
        """Ends the session of a stream that its server reports as ended: over, viewer-gone or lost."""
        session = self._sessions.get(sess)
        if session is None or session.phase is not Phase.PLAYING or session.attempt != attempt:
            return []
        return self._end_session(now, session, reason if reason in END_RESULTS else "lost")

    def server_lost(
        self, now: int, server: int, still_running: frozenset[tuple[str, int]] = frozenset()
    ) -> list[Effect]:
        """Ends the sessions at a server that is gone, or that has lost all streams except `still_running`."""
        effects: list[Effect] = []
        for session in self.sessions_at(server):
            if (session.sess, session.attempt) not in still_running:
                effects += self._end_session(now, session, "lost")
        return effects

    def server_note(self, now: int, server: int, kind: ev.NoteKind, value: float) -> list[Effect]:
        """Passes on a server's note as a note on one of its sessions; dropped if it has none."""
        for session in self._playing_by_server.get(server, {}).values():
            return self._handle_event(now, ev.Note(session.req_id, kind, value, server), session)
        return []

    def session_note(self, now: int, sess: str, kind: ev.NoteKind, value: float) -> list[Effect]:
        """Passes on a server's note on one session, if that session plays."""
        session = self._sessions.get(sess)
        if session is None or session.phase is not Phase.PLAYING:
            return []
        if kind is ev.NoteKind.RUNG:
            session.rung = round(value)
        return self._handle_event(now, ev.Note(session.req_id, kind, value, session.server), session)

    def player_hint(self, now: int, sess: str, means: ev.Means) -> list[Effect]:
        """Passes on what a player can take, if its session plays."""
        session = self._sessions.get(sess)
        if session is None or session.phase is not Phase.PLAYING:
            return []
        return self._handle_event(now, ev.PlayerHint(session.req_id, means), session)

    def server_hint(self, now: int, hint: ev.ServerHint) -> list[Effect]:
        return self._handle_event(now, hint, None)

    def probe_answered(
        self, now: int, server: int, lag: int, result: ev.Result, report: dict[str, float]
    ) -> list[Effect]:
        return self._handle_event(now, ev.Probed(server, lag, result, report), None)

    def server_news(self, now: int, scope: ev.NewsScope, rows: tuple[ev.ServerRow, ...]) -> list[Effect]:
        return self._handle_event(now, ev.ServerNews(scope, rows), None)

    def peer_message(self, now: int, peer: int, payload: bytes) -> list[Effect]:
        return self._handle_event(now, ev.PeerMessage(peer, payload), None)

    def run_due_timers(self, now: int, due_by: int | None = None, limit: int | None = None) -> list[Effect]:
        """Runs the timers that are due at `due_by` (by default `now`), in order, at most `limit` of them."""
        effects: list[Effect] = []
        due_by, ran = now if due_by is None else due_by, 0
        while self._timers and self._timers[0][0] <= due_by and (limit is None or ran < limit):
            ran += 1
            _, _, kind, number, attempt = heapq.heappop(self._timers)
            if kind == "cookie":
                effects += self._handle_event(now, ev.TimerDue(number), None)
            elif kind == "setup":
                effects += self._setup_timed_out(now, self._by_req_id.get(number), attempt)
            else:
                self._forget(number)
        return effects

    def stop(self, now: int) -> list[Effect]:
        """Tears down every session and answers every waiting request, because the front stops."""
        effects: list[Effect] = []
        for session in list(self._sessions.values()):
            if session.phase is Phase.PLAYING:
                effects += [self._teardown_effect(session), *self._end_session(now, session, "lost")]
            else:
                effects += [self._teardown_effect(session)] if session.setup_pending else []
                effects += self._answer(now, session, Answer("torn-down", reason="front-stopped"))
        return effects

    # Internals

    def _handle_event(self, now: int, event: ev.Event, session: SessionRecord | None) -> list[Effect]:
        started_ns = time.perf_counter_ns()
        try:
            actions = self._driver.handle(now, event)
        except Exception as error:
            # A fault in the decisions affects the session concerned alone, which is answered as torn down.
            self.counts.faults += 1
            effects: list[Effect] = [
                fx.WriteLog(
                    "error",
                    "decisions failed",
                    session.sess if session else "",
                    f"{type(error).__name__}: {error}",
                )
            ]
            if session is not None and session.phase is Phase.WAITING:
                effects += [self._teardown_effect(session)] if session.setup_pending else []
                effects += self._answer(now, session, Answer("torn-down", reason="fault"))
            return effects
        finally:
            self.counts.decision_ns += time.perf_counter_ns() - started_ns
            self.counts.events += 1
        if self.on_event_handled is not None:
            self.on_event_handled(now, event, actions)
        effects = []
        for action in actions:
            effects += self._apply_action(now, action)
        return effects

    def _apply_action(self, now: int, action: act.Action) -> list[Effect]:
        match action:
            case act.SetTimer(due_at, cookie):
                self._set_timer(due_at, "cookie", cookie)
                return []
            case act.SendPeerMessage(peer, payload):
                return [fx.SendGossip(peer, payload)]
            case act.Probe(server):
                return [fx.SendProbe(server)]
            case act.CloseIdle(server):
                return [fx.CloseIdle(server)]
            case act.Watch(active):
                return [fx.WatchList(active)]
            case act.FetchServers():
                return [fx.FetchList()]
            case act.Log(text):
                return [fx.WriteLog("info", text)]
            case act.Setup() | act.SetRung() | act.BusyReply() | act.TearDown() | act.Cancel() | act.Move():
                session = self._by_req_id.get(action.req_id)
                return [] if session is None else self._apply_session_action(now, session, action)
            case _:
                raise TypeError(f"the engine does not handle {action}; the runtime must")

    def _apply_session_action(
        self,
        now: int,
        session: SessionRecord,
        action: act.Setup | act.SetRung | act.BusyReply | act.TearDown | act.Cancel | act.Move,
    ) -> list[Effect]:
        match action:
            case act.Setup(_, server, timeout):
                if session.phase is not Phase.WAITING:
                    # Already answered or left: the session is only remembered, so no SETUP goes out for it.
                    moot = ev.Ended(session.req_id, session.attempt + 1, server, ev.Result.MOOT, True, 0, {})
                    return self._handle_event(now, moot, session)
                session.attempt, session.server, session.setup_pending, session.setup_sent_at = (
                    session.attempt + 1,
                    server,
                    True,
                    now,
                )
                remaining = session.requested_at + session.request.wait - now
                timeout = min(timeout, remaining) if timeout > 0 else remaining
                self._set_timer(now + timeout, "setup", session.req_id, session.attempt)
                return [
                    fx.SendSetup(
                        session.sess, session.attempt, server, session.request, session.rung, timeout
                    )
                ]
            case act.SetRung(_, rung):
                session.rung = rung
                if session.phase is not Phase.PLAYING:
                    return []
                change = fx.SendRung(session.sess, session.attempt, session.server, rung)
                return [change, fx.Push(session.sess, "rung", rung)]
            case act.BusyReply(_, come_back):
                return self._answer(now, session, Answer("busy", come_back=come_back))
            case act.TearDown():
                return self._answer(now, session, Answer("torn-down"))
            case act.Cancel(_, attempt):
                if not session.setup_pending or session.attempt != attempt:
                    return []
                session.setup_pending = False
                ended = self._setup_ended_event(now, session, ev.Result.CANCELLED, False)
                return [self._teardown_effect(session), *self._handle_event(now, ended, session)]
            case act.Move():
                if session.phase is not Phase.PLAYING:
                    return []
                return [
                    self._teardown_effect(session),
                    fx.Push(session.sess, "moved"),
                    *self._end_session(now, session, "viewer-gone"),
                ]

    def _request_event(self, session: SessionRecord, means: ev.Means | None) -> ev.SessionRequest:
        request = session.request
        return ev.SessionRequest(
            session.req_id, request.service_group, request.tenant, request.viewer, stable_id(request.title),
            request.wait, request.length, request.home, request.span, request.top, request.moved,
            request.again, means,
        )  # fmt: skip

    def _setup_timed_out(self, now: int, session: SessionRecord | None, attempt: int) -> list[Effect]:
        if session is None or not session.setup_pending or session.attempt != attempt:
            return []
        session.setup_pending = False
        self.counts.increment(self.counts.setups, ev.Result.TIMEOUT.value)
        ended = self._setup_ended_event(now, session, ev.Result.TIMEOUT, False)
        return [self._teardown_effect(session), *self._handle_event(now, ended, session)]

    def _setup_ended_event(
        self,
        now: int,
        session: SessionRecord,
        result: ev.Result,
        final: bool,
        report: dict[str, float] | None = None,
    ) -> ev.Ended:
        return ev.Ended(
            session.req_id,
            session.attempt,
            session.server,
            result,
            final,
            now - session.setup_sent_at,
            report or {},
        )

    def _teardown_effect(self, session: SessionRecord) -> Effect:
        return fx.SendTeardown(session.sess, session.attempt, session.server)

    def _end_session(self, now: int, session: SessionRecord, reason: str) -> list[Effect]:
        self._close(now, session, reason)
        ended = self._setup_ended_event(now, session, END_RESULTS[reason], True)
        return [fx.Push(session.sess, "ended", reason), *self._handle_event(now, ended, session)]

    def _answer(self, now: int, session: SessionRecord, answer: Answer) -> list[Effect]:
        """Answers a waiting request. Later answers to the same request are dropped."""
        if session.answer is not None:
            return []
        session.answer = answer
        self.requests_in_hand -= 1
        self.counts.increment(self.counts.answers, answer.kind)
        if answer.kind != "playing":
            self._close(now, session, answer.kind)
        if answer.kind == "left" and session.repeat_key is not None:
            self._repeats.pop(session.repeat_key, None)  # no viewer was answered: the key may be used again
            session.repeat_key = None
        return [fx.Reply(session.sess, answer)]

    def _close(self, now: int, session: SessionRecord, reason: str) -> None:
        """Marks a session as ended and keeps it for a while, so that repeats and reads find it."""
        session.phase, session.end_reason = Phase.ENDED, reason
        self._sessions.pop(session.sess, None)
        sessions = self._playing_by_server.get(session.server)
        if sessions is not None and sessions.pop(session.sess, None) is not None and not sessions:
            del self._playing_by_server[session.server]
        if session.repeat_key is not None or len(self._ended) < self.gate.limits.repeats:
            self._ended[session.sess] = session
            self._set_timer(now + self.gate.limits.repeat_time, "forget", session.req_id)
        else:
            self._by_req_id.pop(session.req_id, None)

    def _forget(self, req_id: int) -> None:
        session = self._by_req_id.pop(req_id, None)
        if session is not None:
            self._ended.pop(session.sess, None)
            if session.repeat_key is not None:
                self._repeats.pop(session.repeat_key, None)

    def _set_timer(self, due_at: int, kind: str, number: int, attempt: int = 0) -> None:
        heapq.heappush(self._timers, (due_at, next(self._timer_sequence), kind, number, attempt))


def stable_id(name: str) -> int:
    """The 64-bit hash by which the decisions know a title or viewer; equal in every process."""
    return xxhash.xxh64_intdigest(name.encode())
