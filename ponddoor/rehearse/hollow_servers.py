"""The media servers of hollow fronts: those of the stand-in, called in the process instead of over sockets.

One of these stands for a real server of the same number, seed and place, of whose link and places the fronts
of this process have their part. It takes the list's word on when it started and whether it is there."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import numpy as np

from ponddoor.audit.records import Recorder
from ponddoor.front import effects as fx
from ponddoor.front.roster import Entry
from ponddoor.interface import events as ev
from ponddoor.settings.site import Site
from ponddoor.standins.media import FRONT_GRACE, TICK, Fault, MediaServer, Setup, Stream

SECOND = 1_000_000
ACROSS = 0.002  # s, to a server and back
RESULTS = {"full": ev.Result.FULL, "error": ev.Result.ERROR, "cancelled": ev.Result.CANCELLED}
Noted = Callable[[int, ev.NoteKind, float], None]
Over = Callable[[int, str, int], None]
Outcome = Callable[[ev.Result | None, dict[str, float], dict[str, float]], None]


class Mute(Recorder):
    """Records nothing: what a pretended server sees is in no account of a run."""

    def __init__(self) -> None:
        super().__init__(None, "hollow")

    def note(self, what: str, **fields: Any) -> None:
        return


class PretendedServer(MediaServer):
    """`noted` is told a note on all sessions here, `over` that a stream here ended by itself."""

    def __init__(self, site: Site, entry: Entry, seed: int, part: float, noted: Noted, over: Over) -> None:
        super().__init__(site, entry, Mute(), seed, entry.started_us == 0, part)
        self.noted, self.over, self.up = noted, over, True
        self.takes = np.random.default_rng([seed, entry.server, 7])
        if entry.started_us:
            self.begun_at = time.monotonic() - max(0.0, time.time() - entry.started_us / SECOND)
        self.started_us = entry.started_us
        self._calls: set[asyncio.TimerHandle] = set()

    def begin(self) -> None:
        self.tasks = [asyncio.create_task(self.tick())]

    def end_all(self) -> None:
        """The process is over; nothing is called any more."""
        for task in self.tasks:
            task.cancel()
        for handle in [*self._calls, *self.delayed]:
            handle.cancel()

    def listed(self, entry: Entry) -> None:
        """What the list says now: a later start is a new process, that knows nothing."""
        if entry.started_us > self.started_us:
            self.begin_anew()
            self.started_us, self.begun_at = entry.started_us, time.monotonic()
            self.up = True
        self.entry = entry

    def down(self) -> None:
        """Its process was killed; whoever connects is refused."""
        self.up = False
        for key in list(self.streams):
            self.end(key, "killed")

    # What fronts ask of it

    def set_up(self, effect: fx.SendSetup, front: int, epoch: int, outcome: Outcome) -> None:
        """Answer a SETUP, after the time that one takes, unless it is cancelled before."""
        if not self.up:
            self._after(ACROSS, lambda: outcome(ev.Result.CONNECT_FAILED, {}, {}))
            return
        ask, key = effect.request, (effect.sess, effect.attempt)
        got = Setup(effect.sess, front, epoch, effect.attempt, ask.title, ask.service_group, effect.rung,
                    effect.timeout, ask.top)  # fmt: skip
        self.fall_if_rushed()
        over = self.pending[key] = asyncio.Event()
        slow = self.faults.get("slow")
        work = ACROSS + float(self.takes.uniform(*self.work_ms)) / 1000 * (slow.size if slow else 1)
        self._after(work, lambda: self._answer(got, over, outcome))

    def _answer(self, got: Setup, over: asyncio.Event, outcome: Outcome) -> None:
        key = (got.sess, got.attempt)
        if not self.up:
            self.pending.pop(key, None)
            outcome(ev.Result.RESET, {}, {})
            return
        if not over.is_set() and (self.fallen or not self.awake.is_set()):
            self._after(0.05, lambda: self._answer(got, over, outcome))
            return
        self.pending.pop(key, None)
        result = self.outcome(got, over.is_set())
        if result == "started":
            self.streams[key].attached = 1
        lost = self.faults.get("answer_lost")
        if lost and result == "started" and float(self.rng.uniform()) < lost.size:
            if lost.how == "reset":
                outcome(ev.Result.RESET, {}, {})
            return
        told = ("link_asked", "uplink_asked") if self.site.facts.plant.note_every else ()
        asked = {name.removesuffix("_asked"): self.load()[name] for name in told}
        report = self.report() if self.site.facts.reporting.value == "inline" else {}
        outcome(None if result == "started" else RESULTS[result], report, asked)

    def set_rung(self, sess: str, attempt: int, rung: int) -> None:
        stream = self.streams.get((sess, attempt))
        if self.up and stream is not None:
            stream.rung = rung

    def probed(self, timeout: int, outcome: Callable[[int, ev.Result, dict[str, float]], None]) -> None:
        """Answer a probe."""
        across = round(ACROSS * SECOND)
        if not self.up:
            self._after(ACROSS, lambda: outcome(across, ev.Result.CONNECT_FAILED, {}))
        elif not self.awake.is_set():
            self._after(timeout / SECOND, lambda: outcome(timeout, ev.Result.TIMEOUT, {}))
        else:
            self._after(ACROSS, lambda: outcome(across, ev.Result.SERVED, self.report()))

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        def carry() -> None:
            self._calls.discard(handle)
            call()

        handle = asyncio.get_running_loop().call_later(seconds, carry)
        self._calls.add(handle)

    # What differs from one behind sockets

    def end(self, key: tuple[str, int], why: str) -> None:
        stream: Stream | None = self.streams.get(key)
        super().end(key, why)
        if stream is not None and why != "teardown":
            self.over(stream.setup.front, key[0], key[1])

    def lose(self, front: int) -> None:
        """A front is gone: its streams end a grace later."""
        mine = [key for key, stream in self.streams.items() if stream.setup.front == front]

        def end() -> None:
            for key in mine:
                self.cancel(key)

        self._after(FRONT_GRACE, end)

    def tell_all(self, note: str, value: float) -> None:
        kinds = {
            "delivered": ev.NoteKind.DELIVERED,
            "link": ev.NoteKind.LINK_ASKED,
            "uplink": ev.NoteKind.UPLINK_ASKED,
        }
        late = self.site.facts.plant.note_delay / SECOND
        if note != "delivered" and "report_late" in self.faults:
            late += self.faults["report_late"].size
        self._after(late, lambda: self.noted(self.entry.server, kinds[note], value))

    async def tick(self) -> None:
        """As the stand-in's, of which no stream here is unattended and no front out of touch."""
        plant, told, last_told = self.site.facts.plant, 0.0, 0.0
        while True:
            await asyncio.sleep(TICK)
            if not self.up or not self.awake.is_set():
                continue
            now, load = time.monotonic(), self.load()
            share = min(1.0, 1 / max(load["link_asked"], 1e-9), 1 / max(load["uplink_asked"], 1e-9))
            self.share = 0.5 * self.share + 0.5 * share
            self.history.append((now, load))
            if now - told >= 1 and (self.share < 0.98 or self.short_before):
                told, self.short_before = now, self.share < 0.98
                self.tell_all("delivered", self.share)
            if plant.note_every and now - last_told >= plant.note_every / SECOND:
                last_told = now
                self.tell_all("link", load["link_asked"])
                if "uplink_asked" in self.site.facts.report_fields:
                    self.tell_all("uplink", load["uplink_asked"])

    def struck(self, fault: Fault) -> None:
        """A trouble that the rehearsal tells."""
        self.fault(fault)
