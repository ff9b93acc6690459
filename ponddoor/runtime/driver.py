"""Runs the generators of one front: resumes each with what it waits for, and keeps their timers."""

from collections.abc import Iterable
from typing import Protocol

from ponddoor.interface.actions import Action, Play, SetTimer, Setup, Wait
from ponddoor.interface.events import Ended, Event, HandedOver, SessionRequest, Started, TimerDue, ViewerLeft
from ponddoor.interface.script import Resumed, Script


class Decisions(Protocol):
    """What the driver needs of the module that decides."""

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
        self._cookie = 0
        self._begun = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event in; returns what the front wants done, in order."""
        out: list[Action] = []
        self._front.clock(now)
        if isinstance(event, TimerDue):
            self._wake(event.cookie, out)
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
                    self._timers.pop(self._waits.pop(event.req_id, -1), None)
                    self._resume(script, event.req_id, event, out)
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
        script, req_id = self._timers.pop(cookie, (None, None))
        if script is None:
            return
        if req_id is not None:
            self._waits.pop(req_id, None)
        self._resume(script, req_id, None, out)

    def _resume(self, script: Script, req_id: int | None, value: Resumed, out: list[Action]) -> None:
        while True:
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
                case Wait():
                    self._cookie = (self._cookie + 1) % 2**32
                    self._timers[self._cookie] = (script, req_id)
                    if req_id is not None:
                        self._waits[req_id] = self._cookie
                    out.append(SetTimer(action.until, self._cookie))
                    return
                case Setup():
                    out.append(action)
                    return
                case _:
                    out.append(action)
