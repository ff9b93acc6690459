"""How a stand-in player watches by segments: it fetches, keeps a buffer, stalls, switches, and says so in
CMCD.

Three kinds choose their rung by themselves: by throughput, by buffer, or always the highest. Who heeds takes
no more than the rung in force. A liar claims ten times its throughput, or that it always starves."""

import time
from dataclasses import dataclass, field

import numpy as np

from ponddoor.hints import cmcd
from ponddoor.hints.fields import Values
from ponddoor.interface.facts import Ladder

SEGMENT = 1.0  # seconds of media in one
FULL = 8.0  # seconds of buffer after which a player waits
KINDS = ("throughput", "buffer", "highest")


@dataclass(slots=True)
class Habits:
    """One player's kind, whether it heeds and how it lies ("", tenfold, starved), and its access in kB/s."""

    kind: str
    heeds: bool
    lie: str
    access_kb: float
    malformed: float
    candid: bool = False

    @classmethod
    def drawn(
        cls,
        rng: np.random.Generator,
        ladder: Ladder,
        heed: float,
        liars: float,
        weak: float,
        malformed: float,
    ) -> "Habits":
        """One player of a day; the arguments are the shares of each sort."""
        kind = KINDS[int(rng.choice(len(KINDS), p=(0.6, 0.3, 0.1)))]
        lie = ("tenfold", "starved")[int(rng.integers(2))] if rng.random() < liars else ""
        access = 1.3 * ladder.rate_kb[0] if rng.random() < weak else 1e9
        return cls(kind, bool(rng.random() < heed), lie, access, malformed)


@dataclass(slots=True)
class Buffer:
    """What a player has left to play, by the clock; it plays in real time and stalls when there is
    nothing."""

    at: float
    seconds: float = 0.0
    playing: bool = False
    stalled: float = 0.0
    starved: bool = False  # since the last hint

    def drain(self, now: float) -> None:
        gone = now - self.at
        self.at = now
        if not self.playing:
            return
        if gone > self.seconds:
            self.stalled += gone - self.seconds
            self.starved = True
        self.seconds = max(0.0, self.seconds - gone)

    def add(self, now: float) -> None:
        self.drain(now)
        self.seconds += SEGMENT
        self.playing = True


@dataclass(slots=True)
class Watching:
    """One session's segments, their count, and what its hints say."""

    habits: Habits
    ladder: Ladder
    factor: float
    top: int
    sess: str
    rng: np.random.Generator
    buffer: Buffer = field(default_factory=lambda: Buffer(time.monotonic()))
    got_kb: float = 0.0
    rung: int = -1
    switches: int = 0
    fetched: int = 0
    worth: float = 0.0  # the sum of the utility of its segments

    def rate(self, rung: int) -> float:
        return self.ladder.rate_kb[rung] * self.factor

    def choose(self, in_force: int) -> int:
        """The rung of the next segment."""
        match self.habits.kind:
            case "throughput" if self.got_kb:
                rung = max((r for r in range(self.top + 1) if self.rate(r) <= 0.8 * self.got_kb), default=0)
            case "buffer":
                rung = min(self.top, int(self.buffer.seconds / FULL * (self.top + 1)))
            case "highest":
                rung = self.top
            case _:
                rung = in_force
        return min(rung, in_force) if self.habits.heeds else rung

    def took(self, now: float, rung: int, seconds: float) -> None:
        """A segment has come."""
        kb = self.rate(rung) * SEGMENT / max(seconds, 1e-3)
        self.got_kb = kb if not self.got_kb else 0.6 * self.got_kb + 0.4 * kb
        self.switches += self.rung not in (-1, rung)
        self.rung, self.fetched = rung, self.fetched + 1
        self.worth += self.ladder.utility[rung]
        self.buffer.add(now)

    def values(self) -> Values:
        """What it says of itself, in truth or not."""
        made: Values = {
            "bl": round(self.buffer.seconds * 1000),
            "dl": round(self.buffer.seconds * 1000),
            "tb": round(self.rate(self.top) * 8),
            "sid": self.sess,
            "sf": "o",
            "st": "v",
            "ot": "v",
            "su": self.fetched < 2,
        }
        if self.got_kb:
            made["mtp"] = round(min(self.got_kb, self.habits.access_kb) * 8)
        if self.habits.access_kb < 1e9:
            made["rtp"] = round(self.habits.access_kb * 8)
        if self.buffer.starved:
            made["bs"], self.buffer.starved = True, False
        if self.habits.candid:
            return made
        if self.habits.lie == "tenfold" and "mtp" in made:
            made["mtp"] *= 10
        if self.habits.lie == "starved":
            made["bs"] = True
        return made

    def headers(self) -> tuple[tuple[str, str], ...]:
        """The four headers; now and then one of them is damaged."""
        made = cmcd.write_headers(self.values())
        if self.rng.random() < self.habits.malformed:
            name = sorted(made)[int(self.rng.integers(len(made)))]
            damage = int(self.rng.integers(4))
            text = made[name]
            made[name] = (text[: len(text) // 2] + '"', text + ",,=", "((" + text, text * 400)[damage]
        return tuple(made.items())

    def report(self) -> bytes:
        """An interval report of version 2."""
        stamp = time.time_ns() // 1_000_000
        return cmcd.write_reports([{**self.values(), "e": "t", "sta": "p", "ts": stamp}])
