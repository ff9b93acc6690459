"""What the seats cost: grants with and without a sync, recovery, messages as fronts grow, idle seats."""

import asyncio
import heapq
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from ponddoor.front.seating import Seating
from ponddoor.seats.core import Effect, Granted, Key, Refused, Seats, Send, Timing, Write
from ponddoor.store.files import Disk
from ponddoor.store.journal import Journal

KEY: Key = ("t", "e")
TIMING = Timing(seat_lifetime=10_000_000, lease=30_000_000)


class _Memory(Disk):
    """The same files without a sync: what memory alone would do."""

    def sync(self, name: str) -> None:
        return

    def sync_names(self) -> None:
        return


def clock() -> int:
    return time.monotonic_ns() // 1000


async def _grants(folder: Path, synced: bool, count: int, in_hand: int) -> tuple[float, list[float]]:
    """Grants and renewals a second at one front that is its own home, and each one's time in milliseconds."""
    seating = Seating(
        0, 1, {KEY: 10**9}, TIMING, bytes(32), folder, clock, lambda *_: None, lambda _: None, print
    )
    seating.start()
    if not synced:
        seating._journal.files = _Memory(folder)
    seating.core.no_leases_until = 0
    numbers, times = iter(range(count)), list[float]()

    async def viewer() -> None:
        for number in numbers:
            begun = time.perf_counter()
            got = await seating.take(KEY, f"v{number}", "s")
            times.append((time.perf_counter() - begun) * 1000)
            if isinstance(got, Refused):
                raise RuntimeError(got.reason)

    begun = time.perf_counter()
    await asyncio.gather(*(viewer() for _ in range(in_hand)))
    rate = count / (time.perf_counter() - begun)
    await seating.close()
    return rate, sorted(times)


def measure_grants(count: int, rounds: int = 3) -> dict[str, Any]:
    """With and without a sync, in turn, in one run."""
    rates: dict[str, list[float]] = {"synced": [], "memory": []}
    waits: dict[str, list[float]] = {"synced": [], "memory": []}
    for _ in range(rounds):
        for name in rates:
            with tempfile.TemporaryDirectory() as folder:
                rate, times = asyncio.run(_grants(Path(folder), name == "synced", count, 64))
                rates[name].append(rate)
                waits[name] += times
    out: dict[str, Any] = {}
    for name in rates:
        ordered = sorted(waits[name])
        out[name] = {
            "grants_per_s": sorted(rates[name])[rounds // 2],
            "ms_p50": ordered[len(ordered) // 2],
            "ms_p99": ordered[len(ordered) * 99 // 100],
        }
    return out


def measure_recovery(records: int) -> dict[str, float]:
    """Seconds to open a journal of so many records and to have the seats of it back."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(Disk(Path(folder)))
        journal.open()
        for number in range(records):
            journal.append(
                ["seat", f"0.1.{number % 1000}", *KEY, f"v{number % 1000}", "s", number // 1000 + 1, 10**18]
            )
            if number % 1000 == 999:
                journal.commit()
        journal.commit()
        journal.close()
        begun = time.perf_counter()
        journal = Journal(Disk(Path(folder)))
        held = journal.open()
        core = Seats(0, 1, {KEY: 10**9}, TIMING, 2, 0)
        core.recover(0, held.state, held.records)
        took = time.perf_counter() - begun
        journal.close()
        return {
            "records": float(len(held.records)),
            "seconds": took,
            "seats": float(len(core.share(KEY).seats)),
        }


class Fleet:
    """Many fronts in virtual time, with a network of some milliseconds and writes that take two."""

    def __init__(self, fronts: int, limit: int, seed: int = 1) -> None:
        self.rng, self.now, self.fronts = Random(seed), 10**9, fronts
        self.cores = [Seats(me, fronts, {KEY: limit}, TIMING, 1, 0) for me in range(fronts)]
        self.events: list[tuple[int, int, Any]] = []
        self.order = 0
        self.answers: dict[int, tuple[int, Granted | Refused]] = {}
        self.messages = 0
        for me, core in enumerate(self.cores):
            core.no_leases_until = 0
            self.run(me, core.start(self.now))

    def at(self, moment: int, what: Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (moment, self.order, what))

    def run(self, me: int, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Write(number):
                    self.at(
                        self.now + 2000, lambda n=number: self.run(me, self.cores[me].on_durable(self.now, n))
                    )
                case Send(peer, message):
                    self.messages += 1
                    late = self.now + self.rng.randint(1000, 20_000)
                    self.at(
                        late, lambda p=peer, m=message: self.run(p, self.cores[p].receive(self.now, me, m))
                    )
                case Granted(ticket) | Refused(ticket):
                    self.answers[ticket] = (self.now, effect)

    def until(self, end: int) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = end


def measure_shifting_load(
    fronts: int, limit: int, seconds: int, rate: float, seed: int = 1
) -> dict[str, float]:
    """A load that moves over the fronts: messages a grant, time to grant, and valid viewers refused while a
    seat was free, which one central counter that never fails would not refuse."""
    fleet, rng = Fleet(fronts, limit, seed), Random(seed)
    begin, asked, free_at, playing = fleet.now, dict[int, int](), dict[int, bool](), 0
    idle = list[float]()

    def tick(me: int) -> None:
        fleet.run(me, fleet.cores[me].tick(fleet.now))
        fleet.at(fleet.now + 50_000, lambda: tick(me))

    for me in range(fronts):
        fleet.at(begin + rng.randrange(50_000), lambda me=me: tick(me))
    at, ticket = float(begin), 0
    while at < begin + seconds * 1_000_000:
        at += rng.expovariate(rate) * 1_000_000
        fleet.until(round(at))
        middle = (at - begin) / (seconds * 1_000_000) * fronts
        me = int(rng.gauss(middle, max(1.0, fronts / 6))) % fronts
        playing = sum(len(core.share(KEY).seats) for core in fleet.cores)
        held = sum(core.share(KEY).count for core in fleet.cores)
        idle.append((held - playing) / limit)
        ticket += 1
        asked[ticket], free_at[ticket] = fleet.now, playing < limit
        fleet.run(me, fleet.cores[me].take(fleet.now, ticket, KEY, f"v{ticket}", "s"))

        def end(number: int = ticket, where: int = me) -> None:
            got = fleet.answers.get(number)
            if got is not None and isinstance(got[1], Granted):
                fleet.run(where, fleet.cores[where].give_back(fleet.now, KEY, got[1].seat, f"v{number}"))

        fleet.at(fleet.now + round(rng.uniform(2, 9) * 1_000_000), end)
    fleet.until(fleet.now + 2_000_000)
    granted = [n for n, (_, got) in fleet.answers.items() if isinstance(got, Granted)]
    waits = sorted((fleet.answers[n][0] - asked[n]) / 1000 for n in granted)
    wrong = sum(free_at[n] and isinstance(got, Refused) for n, (_, got) in fleet.answers.items())
    return {
        "fronts": float(fronts),
        "asked": float(ticket),
        "granted": float(len(granted)),
        "messages_per_grant": fleet.messages / max(1, len(granted)),
        "grant_ms_p50": waits[len(waits) // 2],
        "grant_ms_p99": waits[len(waits) * 99 // 100],
        "refused_while_free": wrong / ticket,
        "idle_elsewhere": sum(idle) / len(idle),
    }
