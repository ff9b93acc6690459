"""Measures the cost of seats: grants with and without disk syncs, recovery, and messages between fronts."""

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


class _UnsyncedDisk(Disk):
    """The same files without syncs: the cost of a journal that need not survive a crash."""

    def sync(self, name: str) -> None:
        return

    def sync_names(self) -> None:
        return


def clock_us() -> int:
    return time.monotonic_ns() // 1000


async def _grant_rate(folder: Path, synced: bool, count: int, concurrency: int) -> tuple[float, list[float]]:
    """Takes `count` seats at one front that is its own home, `concurrency` at a time.

    Returns the grants per second, and the time of each in milliseconds, in ascending order."""
    seating = Seating(
        0, 1, {KEY: 10**9}, TIMING, bytes(32), folder, clock_us, lambda *_: None, lambda _: None, print
    )
    seating.start()
    if not synced:
        seating._journal.files = _UnsyncedDisk(folder)
    seating.core.no_leases_until = 0
    numbers, times_ms = iter(range(count)), list[float]()

    async def viewer() -> None:
        for number in numbers:
            started = time.perf_counter()
            result = await seating.take(KEY, f"v{number}", "s")
            times_ms.append((time.perf_counter() - started) * 1000)
            if isinstance(result, Refused):
                raise RuntimeError(result.reason)

    started = time.perf_counter()
    await asyncio.gather(*(viewer() for _ in range(concurrency)))
    rate = count / (time.perf_counter() - started)
    await seating.close()
    return rate, sorted(times_ms)


def measure_grants(count: int, rounds: int = 3) -> dict[str, Any]:
    """The rate and the times of grants with and without syncs, which take turns in each round."""
    rates: dict[str, list[float]] = {"synced": [], "memory": []}
    times_ms: dict[str, list[float]] = {"synced": [], "memory": []}
    for _ in range(rounds):
        for name in rates:
            with tempfile.TemporaryDirectory() as folder:
                rate, round_times_ms = asyncio.run(_grant_rate(Path(folder), name == "synced", count, 64))
                rates[name].append(rate)
                times_ms[name] += round_times_ms
    result: dict[str, Any] = {}
    for name in rates:
        ordered = sorted(times_ms[name])
        result[name] = {
            "grants_per_s": sorted(rates[name])[rounds // 2],
            "ms_p50": ordered[len(ordered) // 2],
            "ms_p99": ordered[len(ordered) * 99 // 100],
        }
    return result


def measure_recovery(records: int) -> dict[str, float]:
    """The time in seconds to open a journal of so many records and to restore their seats."""
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
        started = time.perf_counter()
        journal = Journal(Disk(Path(folder)))
        recovery = journal.open()
        core = Seats(0, 1, {KEY: 10**9}, TIMING, 2, 0)
        core.recover(0, recovery.state, recovery.records)
        seconds = time.perf_counter() - started
        journal.close()
        return {
            "records": float(len(recovery.records)),
            "seconds": seconds,
            "seats": float(len(core.share(KEY).seats)),
        }


class Fleet:
    """Many fronts in virtual time in microseconds. A message takes 1 to 20 ms, a write 2 ms."""

    def __init__(self, fronts: int, limit: int, seed: int = 1) -> None:
        self.rng, self.now, self.fronts = Random(seed), 10**9, fronts
        self.cores = [Seats(me, fronts, {KEY: limit}, TIMING, 1, 0) for me in range(fronts)]
        self.events: list[tuple[int, int, Any]] = []
        self.last_event = 0
        self.replies: dict[int, tuple[int, Granted | Refused]] = {}
        self.messages = 0
        for me, core in enumerate(self.cores):
            core.no_leases_until = 0
            self.apply_effects(me, core.start(self.now))

    def schedule_at(self, moment: int, callback: Any) -> None:
        self.last_event += 1
        heapq.heappush(self.events, (moment, self.last_event, callback))

    def apply_effects(self, me: int, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Write(number):
                    self.schedule_at(
                        self.now + 2000,
                        lambda n=number: self.apply_effects(me, self.cores[me].on_durable(self.now, n)),
                    )
                case Send(peer, message):
                    self.messages += 1
                    arrival = self.now + self.rng.randint(1000, 20_000)
                    self.schedule_at(
                        arrival,
                        lambda p=peer, m=message: self.apply_effects(
                            p, self.cores[p].receive(self.now, me, m)
                        ),
                    )
                case Granted(ticket) | Refused(ticket):
                    self.replies[ticket] = (self.now, effect)

    def run_until(self, end: int) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end


def measure_shifting_load(
    fronts: int, limit: int, seconds: int, rate: float, seed: int = 1
) -> dict[str, float]:
    """Measures a load of `rate` requests per second whose centre moves over all fronts.

    Returns the messages per grant, the time to grant, the share of requests refused while a seat was free (a
    central counter that never fails would refuse none of them), and the share of the limit that fronts held
    without using it."""
    fleet, rng = Fleet(fronts, limit, seed), Random(seed)
    started, requested_at, was_free, playing = fleet.now, dict[int, int](), dict[int, bool](), 0
    idle_ratios = list[float]()

    def tick(me: int) -> None:
        fleet.apply_effects(me, fleet.cores[me].tick(fleet.now))
        fleet.schedule_at(fleet.now + 50_000, lambda: tick(me))

    for me in range(fronts):
        fleet.schedule_at(started + rng.randrange(50_000), lambda me=me: tick(me))
    moment, ticket = float(started), 0
    while moment < started + seconds * 1_000_000:
        moment += rng.expovariate(rate) * 1_000_000
        fleet.run_until(round(moment))
        centre = (moment - started) / (seconds * 1_000_000) * fronts
        me = int(rng.gauss(centre, max(1.0, fronts / 6))) % fronts
        playing = sum(len(core.share(KEY).seats) for core in fleet.cores)
        held = sum(core.share(KEY).count for core in fleet.cores)
        idle_ratios.append((held - playing) / limit)
        ticket += 1
        requested_at[ticket], was_free[ticket] = fleet.now, playing < limit
        fleet.apply_effects(me, fleet.cores[me].take(fleet.now, ticket, KEY, f"v{ticket}", "s"))

        def give_back(number: int = ticket, front: int = me) -> None:
            reply = fleet.replies.get(number)
            if reply is not None and isinstance(reply[1], Granted):
                fleet.apply_effects(
                    front, fleet.cores[front].give_back(fleet.now, KEY, reply[1].seat, f"v{number}")
                )

        fleet.schedule_at(fleet.now + round(rng.uniform(2, 9) * 1_000_000), give_back)
    fleet.run_until(fleet.now + 2_000_000)
    granted = [number for number, (_, reply) in fleet.replies.items() if isinstance(reply, Granted)]
    grant_times_ms = sorted((fleet.replies[number][0] - requested_at[number]) / 1000 for number in granted)
    refused_while_free = sum(
        was_free[number] and isinstance(reply, Refused) for number, (_, reply) in fleet.replies.items()
    )
    return {
        "fronts": float(fronts),
        "asked": float(ticket),
        "granted": float(len(granted)),
        "messages_per_grant": fleet.messages / max(1, len(granted)),
        "grant_ms_p50": grant_times_ms[len(grant_times_ms) // 2],
        "grant_ms_p99": grant_times_ms[len(grant_times_ms) * 99 // 100],
        "refused_while_free": refused_while_free / ticket,
        "idle_elsewhere": sum(idle_ratios) / len(idle_ratios),
    }
