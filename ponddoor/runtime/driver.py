"""Runs the generators of one front: resumes each with what it waits for, and keeps their timers."""

from collections.abc import Iterable
from typing import Protocol

from ponddoor.interface.actions import Action, Play, SetTimer, Setup, Wait, WaitForPeerMessage
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
    """What the driver needs of the module that decides. `facts` is looked at when a session is opened."""

    facts: SiteFacts

    def clock(self, now: int) -> None: ...
    def observe(self, event: Event) -> None: ...
    def session(self, request: SessionRequest) -> Script: ...
    def handed_over(self, event: HandedOver) -> Script: ...
    def upkeep(self) -> Iterable[Script]: ...


class Driver:
    """Feeds events to a front and collects its actions."""

    def __init__(self, front: Decisions) -> None:
        self._front = front
        self._sessions: dict[int, Script] = {}
        self._timers: dict[int, tuple[Script, int | None]] = {}
        self._waits: dict[int, int] = {}
        self._listening: dict[int, tuple[Script, int | None]] = {}
        self._cookie = 0
        self._begun = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event in; returns what the front wants done, in order."""
        out: list[Action] = []
        self._front.clock(now)
        if isinstance(event, TimerDue):
            self._wake(event.cookie, out)
            return out
        if isinstance(event, NewTerms):
            # Between two events, so no script sees it change under its feet; a session keeps what it began by
            self._front.facts = event.facts
            return out
        self._front.observe(event)
        match event:
            case SessionRequest():
                self._begin(event.req_id, self._front.session(event), out)
            case HandedOver():
                self._begin(event.request.req_id, self._front.handed_over(event), out)
            case Started() | Ended() | ViewerLeft():
                script = self._sessions.get(event.req_id)
                if script is not None:
                    self._take(self._waits.get(event.req_id, -1))
                    self._resume(script, event.req_id, event, out)
            case PeerMessage():
                for cookie in list(self._listening):
                    self._resume(*self._take(cookie), event, out)
            case _:
                pass
        if not self._begun:
            self._begun = True
            for script in self._front.upkeep():
                self._resume(script, None, None, out)
        return out

    def _begin(self, req_id: int, script: Script, out: list[Action]) -> None:
        self._sessions[req_id] = script
        self._resume(script, req_id, None, out)

    def _wake(self, cookie: int, out: list[Action]) -> None:
        script, req_id = self._take(cookie)
        self._resume(script, req_id, None, out)

    def _take(self, cookie: int) -> tuple[Script | None, int | None]:
        """Whoever waits under a cookie waits no longer."""
        listener = self._listening.pop(cookie, (None, None))
        script, req_id = self._timers.pop(cookie, listener)
        if req_id is not None:
            self._waits.pop(req_id, None)
        return script, req_id

    def _resume(
        self, script: Script | None, req_id: int | None, value: ResumeValue, out: list[Action]
    ) -> None:
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
                case Wait(until) | WaitForPeerMessage(until):
                    self._cookie = (self._cookie + 1) % 2**32
                    if isinstance(action, WaitForPeerMessage):
                        self._listening[self._cookie] = (script, req_id)
                    if until is not None:
                        self._timers[self._cookie] = (script, req_id)
                        out.append(SetTimer(until, self._cookie))
                    if req_id is not None:
                        self._waits[req_id] = self._cookie
                    return
                case Setup():
                    out.append(action)
                    return
                case _:
                    out.append(action)
