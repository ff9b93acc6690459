"""Drives a front: open loop, arrivals drawn ahead, latency counted from the intended start, all of it kept in
an HDR histogram; or with a fixed number of requests in hand, to find what it can do."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool

LOWEST, HIGHEST, DIGITS = 1, 120_000_000, 3
PARTS = (50.0, 75.0, 90.0, 99.0, 99.9, 100.0)


def histogram() -> Any:
    """Microseconds."""
    return HdrHistogram(LOWEST, HIGHEST, DIGITS)


@dataclass(slots=True)
class Outcome:
    """What a run brought."""

    seconds: float = 0.0
    states: dict[str, int] = field(default_factory=dict)
    latency: Any = field(default_factory=histogram)

    def add(self, state: str, micros: float) -> None:
        self.states[state] = self.states.get(state, 0) + 1
        self.latency.record_value(min(max(round(micros), LOWEST), HIGHEST))

    @property
    def playing_per_s(self) -> float:
        return self.states.get("playing", 0) / self.seconds if self.seconds else 0.0

    def as_dict(self) -> dict[str, Any]:
        at = {f"p{part:g}": self.latency.get_value_at_percentile(part) / 1000 for part in PARTS}
        return {
            "seconds": self.seconds,
            "states": self.states,
            "playing_per_s": self.playing_per_s,
            "latency_ms": at,
            "histogram": self.latency.encode().decode(),
        }


@dataclass(slots=True)
class Generator:
    """Requests to some fronts in turn. `leave`: each session is ended as soon as it plays."""

    fronts: list[tuple[str, int]]
    groups: list[str]
    titles: list[str]
    tenants: list[str] = field(default_factory=list)
    leave: bool = True
    seed: int = 1
    headers: tuple[tuple[str, str], ...] = ()
    pools: list[Pool] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.pools = [Pool(host, port, 20_000, 2.0) for host, port in self.fronts]

    async def one(self, number: int, intended: float, out: Outcome) -> None:
        pool = self.pools[number % len(self.pools)]
        body = {
            "title": self.titles[number % len(self.titles)],
            "group": self.groups[number % len(self.groups)],
        }
        if self.tenants:
            body["tenant"] = self.tenants[number % len(self.tenants)]
        try:
            answer = await pool.request("POST", "/sessions", body, 30.0, self.headers)
            got = answer.json()
            state = str(got.get("state", answer.status))
        except (NotSentError, BrokenError, LateError) as problem:
            state, got = type(problem).__name__, {}
        out.add(state, (time.monotonic() - intended) * 1e6)
        if state == "playing" and self.leave:
            try:
                await pool.request("DELETE", f"/sessions/{got['session']}", None, 30.0)
            except (NotSentError, BrokenError, LateError):
                out.states["leave-failed"] = out.states.get("leave-failed", 0) + 1

    async def open_loop(self, rate: float, seconds: float) -> Outcome:
        """Arrivals by a Poisson process drawn ahead, whatever becomes of those before."""
        rng = np.random.default_rng(self.seed)
        at = np.cumsum(rng.exponential(1 / rate, max(1, int(rate * seconds))))
        out, begin, tasks = Outcome(), time.monotonic() + 0.05, set()
        for number, offset in enumerate(at):
            intended = begin + float(offset)
            wait = intended - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self.one(number, intended, out))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.gather(*tasks)
        out.seconds = time.monotonic() - begin
        return out

    async def in_hand(self, count: int, seconds: float, most: int | None = None) -> Outcome:
        """So many requests at a time, one after the other, until time is up or `most` were sent."""
        out, begin = Outcome(), time.monotonic()
        numbers = iter(range(most if most is not None else 10**9))

        async def go_on() -> None:
            for number in numbers:
                if time.monotonic() - begin >= seconds:
                    return
                await self.one(number, time.monotonic(), out)

        await asyncio.gather(*(go_on() for _ in range(count)))
        out.seconds = time.monotonic() - begin
        return out
