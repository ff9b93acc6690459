"""One front without its sockets: feeds the decisions what happens and turns their actions into effects.

Clock, ids and answers come in; effects (ponddoor.front.effects) go out. The engine decides nothing of a
session: it keeps the timers, which attempt is out, which answer was given, and the repeats of requests.

Every way in takes `now` in microseconds and returns the effects in order."""

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
    """How far a session is."""

    WAITING = "waiting"
    PLAYING = "playing"
    ENDED = "ended"


@dataclass(slots=True)
class SessionRecord:
    """A session as the engine knows it. `out` is the attempt that no outcome has come for. `group` and
    `ladder` are those in force as it came: it keeps them to its end."""

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
        """When it was set up; a session that was handed over, when that was."""
        return self.setup_sent_at or self.requested_at

    @property
    def rate_kb(self) -> float:
        """What its rung takes, kB a second."""
        return self.ladder.rate_kb[self.rung] * self.group.rate_factor


@dataclass(slots=True)
class Counts:
    """What the engine has seen, for metrics."""

    answers: dict[str, int] = field(default_factory=dict)
    setups: dict[str, int] = field(default_factory=dict)
    stray: dict[str, int] = field(default_factory=dict)
    faults: int = 0
    decision_ns: int = 0
    events: int = 0

    def add(self, table: dict[str, int], word: str) -> None:
        table[word] = table.get(word, 0) + 1


class RepeatError(Exception):
    """A repeat key came with another request than before."""


class Engine:
    """One front's sessions, timers and repeats around one instance of the decisions."""

    def __init__(self, decisions: Decisions, facts: SiteFacts, gate: AdmissionGate) -> None:
        self.facts, self.gate, self.counts = facts, gate, Counts()
        self._driver = Driver(decisions)
        self._held: dict[str, SessionRecord] = {}
        self._by_req: dict[int, SessionRecord] = {}
        self._at_server: dict[int, dict[str, SessionRecord]] = {}
        self._repeats: dict[tuple[int, str], SessionRecord] = {}
        self._ended: dict[str, SessionRecord] = {}
        self._timers: list[
            tuple[int, int, str, int, int]
        ] = []  # (at, order, kind, cookie or req id, attempt)
        self._order = itertools.count()
        self._req_ids = itertools.count(1)
        self.requests_in_hand = 0
        self.on_event_handled: Callable[[int, ev.Event, list[act.Action]], None] | None = None

    # What the shells may look at

    @property
    def sessions_held(self) -> int:
        """Sessions waiting or playing."""
        return len(self._held)

    @property
    def next_due(self) -> int | None:
        """When `run_due_timers` must be called next."""
        return self._timers[0][0] if self._timers else None

    @property
    def come_back(self) -> int:
        """When a viewer that a limit turns away may come back (us); 0 where the site gives no such advice."""
        allow = self.facts.permissions
        return allow.max_come_back // 2 if allow.come_back else 0

    def find(self, sess: str) -> SessionRecord | None:
        return self._held.get(sess) or self._ended.get(sess)

    def find_repeat(self, tenant: int, repeat_key: str | None) -> SessionRecord | None:
        """The session that a repeat of a request would find."""
        return None if repeat_key is None else self._repeats.get((tenant, repeat_key))

    def sessions_at(self, server: int) -> list[SessionRecord]:
        return list(self._at_server.get(server, {}).values())

    def standing_since(self, server: int) -> int | None:
        """When the session that has stood longest at a server was set up; None where none stands."""
        for held in self._at_server.get(server, {}).values():
            return held.standing_since
        return None

    def has_sessions_at(self, server: int) -> bool:
        """Whether a session plays at a server."""
        return bool(self._at_server.get(server))

    def servers_in_use(self) -> list[int]:
        """Servers at which sessions play."""
        return [server for server, held in self._at_server.items() if held]

    # What happens

    def update_facts(self, now: int, facts: SiteFacts) -> list[Effect]:
        """Another version of the site is in force for who asks from here on."""
        self.facts = facts
        return self._feed(now, ev.NewTerms(facts), None)

    def request(
        self, now: int, sess: str, ask: ViewerRequest, repeat_key: str | None, means: ev.Means | None = None
    ) -> tuple[SessionRecord | None, list[Effect]]:
        """A viewer asks. Returns the session, new or repeated, or None and a Reply that names the limit.

        Raises RepeatError where the key was used for another request."""
        repeat = (ask.tenant, repeat_key) if repeat_key is not None else None
        if repeat is not None and (held := self._repeats.get(repeat)) is not None:
            if held.request != ask:
                raise RepeatError("the key was used with another request")
            return held, []
        refusal = self.gate.refusal(
            now, self.requests_in_hand, self.sessions_held, len(self._repeats) if repeat else -1
        )
        if refusal:
            self.counts.add(self.counts.answers, f"limit {refusal}")
            return None, [fx.Reply(sess, Answer("busy", come_back=self.come_back, why=refusal))]
        group, ladder = self.facts.groups[ask.service_group], self.facts.ladder
        held = SessionRecord(sess, next(self._req_ids), ask, now, repeat, group, ladder)
        self._held[sess] = self._by_req[held.req_id] = held
        if repeat is not None:
            self._repeats[repeat] = held
        self.requests_in_hand += 1
        return held, self._feed(now, self._request_event(held, means), held)

    def handed_over(self, now: int, sess: str, ask: ViewerRequest, server: int) -> list[Effect]:
        """A session that plays already; one that is held already stays as it is."""
        if sess in self._held or self.sessions_held >= self.gate.limits.held:
            return []
        group, ladder = self.facts.groups[ask.service_group], self.facts.ladder
        held = SessionRecord(
            sess, next(self._req_ids), ask, now, None, group, ladder, Phase.PLAYING,
            Answer("playing", server), 0, server,
        )  # fmt: skip
        self._held[sess] = self._by_req[held.req_id] = held
        self._at_server.setdefault(server, {})[sess] = held
        return self._feed(now, ev.HandedOver(self._request_event(held, None), server), held)

    def viewer_left(self, now: int, sess: str) -> list[Effect]:
        """The viewer is done: a waiting request is given up, a session that plays ends."""
        held = self._held.get(sess)
        if held is None:
            return []
        if held.phase is Phase.PLAYING:
            return [self._teardown(held), *self._end_playing(now, held, "over")]
        return self._withdraw(now, held, Answer("left"))

    def answer_now(self, now: int, sess: str, why: str) -> list[Effect]:
        """A request can't wait any longer. It is refused where no SETUP of it has gone out, else failed."""
        held = self._held.get(sess)
        if held is None or held.phase is not Phase.WAITING:
            return []
        if held.attempt < 0:
            return self._withdraw(now, held, Answer("busy", come_back=self.come_back, why=why))
        return self._withdraw(now, held, Answer("torn-down", why=why))

    def _withdraw(self, now: int, held: SessionRecord, answer: Answer) -> list[Effect]:
        """A waiting request ends with this answer; what is out of it is given up."""
        out: list[Effect] = [self._teardown(held)] if held.setup_pending else []
        was_out, held.setup_pending = held.setup_pending, False
        out += self._answer(now, held, answer)
        out += self._feed(now, ev.ViewerLeft(held.req_id), held)
        if was_out:
            out += self._feed(now, self._ended_event(now, held, ev.Result.CANCELLED, True), held)
        return out

    def setup_answered(
        self,
        now: int,
        sess: str,
        attempt: int,
        server: int,
        result: ev.Result | None,
        report: dict[str, float],
        asked: dict[str, float],
        passed: str = "",
    ) -> list[Effect]:
        """The outcome of a SETUP; `result` is None where the stream started; the viewer gets `passed`."""
        held = self._held.get(sess)
        if held is None or not held.setup_pending or held.attempt != attempt:
            # Guards against answers after the timeout or the cancel, and against a second one: a stream that
            # started all the same must not be left running, unless it is the one that plays.
            plays = held is not None and held.phase is Phase.PLAYING and held.attempt == attempt
            self.counts.add(self.counts.stray, "started" if result is None else result.value)
            return [] if plays or result is not None else [fx.SendTeardown(sess, attempt, server)]
        held.setup_pending = False
        self.counts.add(self.counts.setups, "started" if result is None else result.value)
        if result is not None:
            out: list[Effect] = [self._teardown(held)] if result is ev.Result.RESET else []
            return out + self._feed(now, self._ended_event(now, held, result, False, report), held)
        held.phase = Phase.PLAYING
        self._at_server.setdefault(held.server, {})[sess] = held
        out = self._answer(now, held, Answer("playing", held.server, held.rung, passed=passed))
        lag = now - held.setup_sent_at
        out += self._feed(now, ev.Started(held.req_id, held.attempt, held.server, lag), held)
        for name, kind in (("link", ev.NoteKind.LINK_ASKED), ("uplink", ev.NoteKind.UPLINK_ASKED)):
            if name in asked and held.phase is Phase.PLAYING:
                out += self._feed(now, ev.Note(held.req_id, kind, asked[name], held.server), held)
        return out

    def stream_ended(self, now: int, sess: str, attempt: int, why: str) -> list[Effect]:
        """A server says that a stream has ended: over, viewer-gone or lost."""
        held = self._held.get(sess)
        if held is None or held.phase is not Phase.PLAYING or held.attempt != attempt:
            return []
        return self._end_playing(now, held, why if why in END_RESULTS else "lost")

    def server_lost(
        self, now: int, server: int, still: frozenset[tuple[str, int]] = frozenset()
    ) -> list[Effect]:
        """A server is gone, or has forgotten all streams but `still`: sessions there are over."""
        out: list[Effect] = []
        for held in self.sessions_at(server):
            if (held.sess, held.attempt) not in still:
                out += self._end_playing(now, held, "lost")
        return out

    def server_note(self, now: int, server: int, kind: ev.NoteKind, value: float) -> list[Effect]:
        """A server's note, taken as one on a session of ours there; without one it tells nothing."""
        for held in self._at_server.get(server, {}).values():
            return self._feed(now, ev.Note(held.req_id, kind, value, server), held)
        return []

    def session_note(self, now: int, sess: str, kind: ev.NoteKind, value: float) -> list[Effect]:
        """A server's note on one session; of one that does not play it says nothing any more."""
        held = self._held.get(sess)
        if held is None or held.phase is not Phase.PLAYING:
            return []
        if kind is ev.NoteKind.RUNG:
            held.rung = round(value)
        return self._feed(now, ev.Note(held.req_id, kind, value, held.server), held)

    def player_hint(self, now: int, sess: str, means: ev.Means) -> list[Effect]:
        """What a player that plays can take; of one that does not it says nothing any more."""
        held = self._held.get(sess)
        if held is None or held.phase is not Phase.PLAYING:
            return []
        return self._feed(now, ev.PlayerHint(held.req_id, means), held)

    def server_hint(self, now: int, hint: ev.ServerHint) -> list[Effect]:
        return self._feed(now, hint, None)

    def probe_answered(
        self, now: int, server: int, lag: int, result: ev.Result, report: dict[str, float]
    ) -> list[Effect]:
        return self._feed(now, ev.Probed(server, lag, result, report), None)

    def server_news(self, now: int, scope: ev.NewsScope, rows: tuple[ev.ServerRow, ...]) -> list[Effect]:
        return self._feed(now, ev.ServerNews(scope, rows), None)

    def peer_message(self, now: int, peer: int, payload: bytes) -> list[Effect]:
        return self._feed(now, ev.PeerMessage(peer, payload), None)

    def run_due_timers(self, now: int) -> list[Effect]:
        """Carry out every timer up to `now`, in order."""
        out: list[Effect] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, number, attempt = heapq.heappop(self._timers)
            if kind == "cookie":
                out += self._feed(now, ev.TimerDue(number), None)
            elif kind == "setup":
                out += self._setup_late(now, self._by_req.get(number), attempt)
            else:
                self._forget(number)
        return out

    def stop(self, now: int) -> list[Effect]:
        """The front ends: every session is torn down, every waiting request answered."""
        out: list[Effect] = []
        for held in list(self._held.values()):
            if held.phase is Phase.PLAYING:
                out += [self._teardown(held), *self._end_playing(now, held, "lost")]
            else:
                out += [self._teardown(held)] if held.setup_pending else []
                out += self._answer(now, held, Answer("torn-down", why="front-stopped"))
        return out

    # Inside

    def _feed(self, now: int, event: ev.Event, held: SessionRecord | None) -> list[Effect]:
        begun = time.perf_counter_ns()
        try:
            actions = self._driver.handle(now, event)
        except Exception as problem:
            # Guards against a fault in the decisions: that session alone is answered torn down, none is lost.
            self.counts.faults += 1
            out: list[Effect] = [
                fx.WriteLog(
                    "error",
                    "decisions failed",
                    held.sess if held else "",
                    f"{type(problem).__name__}: {problem}",
                )
            ]
            if held is not None and held.phase is Phase.WAITING:
                out += [self._teardown(held)] if held.setup_pending else []
                out += self._answer(now, held, Answer("torn-down", why="fault"))
            return out
        finally:
            self.counts.decision_ns += time.perf_counter_ns() - begun
            self.counts.events += 1
        if self.on_event_handled is not None:
            self.on_event_handled(now, event, actions)
        out = []
        for action in actions:
            out += self._carry_out(now, action)
        return out

    def _carry_out(self, now: int, action: act.Action) -> list[Effect]:
        match action:
            case act.SetTimer(at, cookie):
                self._set_timer(at, "cookie", cookie)
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
                held = self._by_req.get(action.req_id)
                return [] if held is None else self._for_session(now, held, action)
            case _:
                raise TypeError(f"{action} is for the runtime, not for the engine")

    def _for_session(
        self,
        now: int,
        held: SessionRecord,
        action: act.Setup | act.SetRung | act.BusyReply | act.TearDown | act.Cancel | act.Move,
    ) -> list[Effect]:
        match action:
            case act.Setup(_, server, timeout):
                if held.phase is not Phase.WAITING:
                    # Guards against a SETUP for who is answered or has left, while the session is remembered.
                    moot = ev.Ended(held.req_id, held.attempt + 1, server, ev.Result.MOOT, True, 0, {})
                    return self._feed(now, moot, held)
                held.attempt, held.server, held.setup_pending, held.setup_sent_at = (
                    held.attempt + 1,
                    server,
                    True,
                    now,
                )
                left = held.requested_at + held.request.wait - now
                timeout = min(timeout, left) if timeout > 0 else left
                self._set_timer(now + timeout, "setup", held.req_id, held.attempt)
                return [fx.SendSetup(held.sess, held.attempt, server, held.request, held.rung, timeout)]
            case act.SetRung(_, rung):
                held.rung = rung
                if held.phase is not Phase.PLAYING:
                    return []
                change = fx.SendRung(held.sess, held.attempt, held.server, rung)
                return [change, fx.Push(held.sess, "rung", rung)]
            case act.BusyReply(_, come_back):
                return self._answer(now, held, Answer("busy", come_back=come_back))
            case act.TearDown():
                return self._answer(now, held, Answer("torn-down"))
            case act.Cancel(_, attempt):
                if not held.setup_pending or held.attempt != attempt:
                    return []
                held.setup_pending = False
                ended = self._ended_event(now, held, ev.Result.CANCELLED, False)
                return [self._teardown(held), *self._feed(now, ended, held)]
            case act.Move():
                if held.phase is not Phase.PLAYING:
                    return []
                return [
                    self._teardown(held),
                    fx.Push(held.sess, "moved"),
                    *self._end_playing(now, held, "viewer-gone"),
                ]

    def _request_event(self, held: SessionRecord, means: ev.Means | None) -> ev.SessionRequest:
        ask = held.request
        return ev.SessionRequest(
            held.req_id, ask.service_group, ask.tenant, ask.viewer, stable_id(ask.title), ask.wait,
            ask.length, ask.home, ask.span, ask.top, ask.moved, ask.again, means,
        )  # fmt: skip

    def _setup_late(self, now: int, held: SessionRecord | None, attempt: int) -> list[Effect]:
        if held is None or not held.setup_pending or held.attempt != attempt:
            return []
        held.setup_pending = False
        self.counts.add(self.counts.setups, ev.Result.TIMEOUT.value)
        ended = self._ended_event(now, held, ev.Result.TIMEOUT, False)
        return [self._teardown(held), *self._feed(now, ended, held)]

    def _ended_event(
        self,
        now: int,
        held: SessionRecord,
        result: ev.Result,
        final: bool,
        report: dict[str, float] | None = None,
    ) -> ev.Ended:
        return ev.Ended(
            held.req_id, held.attempt, held.server, result, final, now - held.setup_sent_at, report or {}
        )

    def _teardown(self, held: SessionRecord) -> Effect:
        return fx.SendTeardown(held.sess, held.attempt, held.server)

    def _end_playing(self, now: int, held: SessionRecord, why: str) -> list[Effect]:
        self._close(now, held, why)
        ended = self._ended_event(now, held, END_RESULTS[why], True)
        return [fx.Push(held.sess, "ended", why), *self._feed(now, ended, held)]

    def _answer(self, now: int, held: SessionRecord, answer: Answer) -> list[Effect]:
        """The one place where a waiting request is answered; what comes after the first is void."""
        if held.answer is not None:
            return []
        held.answer = answer
        self.requests_in_hand -= 1
        self.counts.add(self.counts.answers, answer.kind)
        if answer.kind != "playing":
            self._close(now, held, answer.kind)
        if answer.kind == "left" and held.repeat_key is not None:
            self._repeats.pop(held.repeat_key, None)  # nobody was answered: the same key may begin anew
            held.repeat_key = None
        return [fx.Reply(held.sess, answer)]

    def _close(self, now: int, held: SessionRecord, why: str) -> None:
        """Nobody plays any more. It is remembered a while, so that repeats and reads find it."""
        held.phase, held.end_reason = Phase.ENDED, why
        self._held.pop(held.sess, None)
        at = self._at_server.get(held.server)
        if at is not None and at.pop(held.sess, None) is not None and not at:
            del self._at_server[held.server]
        if held.repeat_key is not None or len(self._ended) < self.gate.limits.repeats:
            self._ended[held.sess] = held
            self._set_timer(now + self.gate.limits.repeat_time, "forget", held.req_id)
        else:
            self._by_req.pop(held.req_id, None)

    def _forget(self, req_id: int) -> None:
        held = self._by_req.pop(req_id, None)
        if held is not None:
            self._ended.pop(held.sess, None)
            if held.repeat_key is not None:
                self._repeats.pop(held.repeat_key, None)

    def _set_timer(self, at: int, kind: str, number: int, attempt: int = 0) -> None:
        heapq.heappush(self._timers, (at, next(self._order), kind, number, attempt))


def stable_id(title: str) -> int:
    """The number by which the decisions know a title."""
    return xxhash.xxh64_intdigest(title.encode())
