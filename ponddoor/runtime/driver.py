"""Runs the scripts (generators) of one front's decisions: resumes each with the event that it waits for, and
keeps their timers."""

from collections.abc import Iterable
from typing import Protocol

from ponddoor.interface.actions import Action, Play, SetTimer, Setup, Wait, WaitForPeerMessage, Wake
from ponddoor.interface.events import (
    Ended,
    Event,
    HandedOver,
    NewTerms,
    PeerMessage,
    SessionRequest,
    Started,
    TimerDue,
    ViewerLeft,
)
from ponddoor.interface.facts import SiteFacts
from ponddoor.interface.script import ResumeValue, Script


class Decisions(Protocol):
    """The interface of the decisions that the driver uses.

    `facts` is the configuration; it may be replaced between two events and applies to sessions that begin
    then. `clock` sets the time before each event, `observe` takes in an event before any script is resumed
    with it. `session`, `handed_over` and `upkeep` return the scripts of a new session, of one that already
    plays and of what runs for as long as the front does."""

    facts: SiteFacts

    def clock(self, now: int) -> None: ...
    def observe(self, event: Event) -> None: ...
    def session(self, request: SessionRequest) -> Script: ...
    def handed_over(self, event: HandedOver) -> Script: ...
    def upkeep(self) -> Iterable[Script]: ...


class Driver:
    """Passes events to a front's decisions and collects their actions."""

    def __init__(self, front: Decisions) -> None:
        self._front = front
        self._sessions: dict[int, Script] = {}  # by req_id
        # Scripts that wait for a time or for a message of another front, by cookie, each with the req_id of
        # its session. A script that waits for both is in both tables.
        self._timers: dict[int, tuple[Script, int | None]] = {}
        self._cookie_of_session: dict[int, int] = {}  # of sessions that wait, by req_id
        self._awaiting_message: dict[int, tuple[Script, int | None]] = {}
        self._last_cookie = 0
        self._upkeep_started = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event; returns the actions that the decisions request, in order.

        The scripts of `upkeep` begin after the first event."""
        actions: list[Action] = []
        self._front.clock(now)
        if isinstance(event, TimerDue):
            self._fire_timer(event.cookie, actions)
            return actions
        if isinstance(event, NewTerms):
            # Replaced between two events, so that no script sees it change while it runs.
            self._front.facts = event.facts
            return actions
        self._front.observe(event)
        match event:
            case SessionRequest():
                self._start_session(event.req_id, self._front.session(event), actions)
            case HandedOver():
                self._start_session(event.request.req_id, self._front.handed_over(event), actions)
            case Started() | Ended() | ViewerLeft():
                script = self._sessions.get(event.req_id)
                if script is not None:
                    self._stop_waiting(self._cookie_of_session.get(event.req_id, -1))
                    self._resume(script, event.req_id, event, actions)
            case PeerMessage():
                for cookie in list(self._awaiting_message):
                    self._resume(*self._stop_waiting(cookie), event, actions)
            case _:
                pass
        if not self._upkeep_started:
            self._upkeep_started = True
            for script in self._front.upkeep():
                self._resume(script, None, None, actions)
        return actions

    def _start_session(self, req_id: int, script: Script, actions: list[Action]) -> None:
        self._sessions[req_id] = script
        self._resume(script, req_id, None, actions)

    def _fire_timer(self, cookie: int, actions: list[Action]) -> None:
        script, req_id = self._stop_waiting(cookie)
        self._resume(script, req_id, None, actions)

    def _stop_waiting(self, cookie: int) -> tuple[Script | None, int | None]:
        """Remove the wait with a cookie; returns its script and req_id, or None where there is none."""
        waiter = self._awaiting_message.pop(cookie, (None, None))
        script, req_id = self._timers.pop(cookie, waiter)
        if req_id is not None:
            self._cookie_of_session.pop(req_id, None)
        return script, req_id

    def _resume(
        self, script: Script | None, req_id: int | None, value: ResumeValue, actions: list[Action]
    ) -> None:
        """Run a script until it waits or ends, and collect its actions."""
        while script is not None:
            try:
                action = script.send(value)
            except StopIteration:
                if req_id is not None:
                    self._sessions.pop(req_id, None)
                return
            value = None
            match action:
                case Play():
                    return
                case Wait(until):
                    self._wait_until(until, script, req_id, actions)
                    return
                case WaitForPeerMessage(until):
                    cookie = (
                        self._new_cookie(req_id)
                        if until is None
                        else self._wait_until(until, script, req_id, actions)
                    )
                    self._awaiting_message[cookie] = (script, req_id)
                    return
                case Wake(other, at):
                    self._wake(other, at, actions)
                case Setup():
                    actions.append(action)
                    return
                case _:
                    actions.append(action)

    def _new_cookie(self, req_id: int | None) -> int:
        self._last_cookie = (self._last_cookie + 1) % 2**32
        if req_id is not None:
            self._cookie_of_session[req_id] = self._last_cookie
        return self._last_cookie

    def _wait_until(self, until: int, script: Script, req_id: int | None, actions: list[Action]) -> int:
        cookie = self._new_cookie(req_id)
        self._timers[cookie] = (script, req_id)
        actions.append(SetTimer(until, cookie))
        return cookie

    def _wake(self, req_id: int, at: int, actions: list[Action]) -> None:
        """Let a session's script wait until `at` instead. The old timer finds nothing."""
        cookie = self._cookie_of_session.get(req_id, -1)
        if cookie in self._timers and cookie not in self._awaiting_message:
            script, _ = self._stop_waiting(cookie)
            assert script is not None
            self._wait_until(at, script, req_id, actions)
