"""What the fronts saw of servers: evidence, each piece with its witness, its age and its number of tries.

No front's judgement travels. Of each witness the newest word counts, by its life and stamp; what is older
than `lasts` is gone. Who reads it decides; a witness's word is one voice, however often it is told."""

from collections.abc import Iterable
from dataclasses import dataclass

from ponddoor.interface.chance import LONG_AGO

SERVERS = 4096  # of which evidence is held
MOST = 15  # tries of a kind that one word tells


@dataclass(frozen=True, slots=True)
class Seen:
    """What one front saw of a server lately: set-ups that failed and that went well, the last of each."""

    failed: int = 0
    well: int = 0
    failed_at: int = LONG_AGO
    well_at: int = LONG_AGO

    def newest(self) -> int:
        return max(self.failed_at, self.well_at)


@dataclass(frozen=True, slots=True)
class View:
    """What others saw of a server: fronts whose newest end there was bad, all their tries, and the newest."""

    against: int = 0
    failed: int = 0
    tries: int = 0
    failed_at: int = LONG_AGO
    well_at: int = LONG_AGO

    def bad(self, witnesses: int, own: int = LONG_AGO) -> bool:
        """Whether so many witnesses speak against a server, half of all tries failed, and neither a try that
        went well nor our own last one, at `own`, is newer than the last that failed."""
        newer = self.failed_at > max(self.well_at, own)
        return self.against >= witnesses and newer and 2 * self.failed >= self.tries


NOTHING = View()


@dataclass(frozen=True, slots=True)
class _Word:
    life: int
    stamp: int
    seen: Seen


class Evidence:
    """All evidence in hand. Times in the front's own microseconds."""

    def __init__(self, lasts: int) -> None:
        self.lasts = lasts
        self._words: dict[int, dict[int, _Word]] = {}
        self._sums: dict[int, tuple[int, View]] = {}  # what a keeper's answer told, and when
        self.refused = 0

    def tell(self, now: int, witness: int, life: int, stamp: int, server: int, seen: Seen) -> bool:
        """A witness's word of a server; whether it was news."""
        if seen.newest() <= now - self.lasts:
            return False
        words = self._words.get(server)
        if words is None:
            if len(self._words) >= SERVERS:
                self._tidy(now)
            if len(self._words) >= SERVERS:
                self.refused += 1
                return False
            words = self._words[server] = {}
        held = words.get(witness)
        if held is not None and (life, stamp) <= (held.life, held.stamp):
            return False
        words[witness] = _Word(life, stamp, seen)
        return True

    def sum(self, now: int, server: int, view: View) -> None:
        """A keeper's answer: what it has from all others."""
        if server in self._sums or len(self._sums) < SERVERS:
            self._sums[server] = (now, view)

    def forget(self, server: int) -> None:
        """Its process is another one now."""
        self._words.pop(server, None)
        self._sums.pop(server, None)

    def view(self, now: int, server: int, without: int = -1) -> View:
        """What the witnesses but one saw, of the time that evidence lasts; or a keeper's sum of that."""
        words = self._words.get(server)
        told = self._sums.get(server)
        if told is not None and (told[0] <= now - self.lasts or not words):
            view = told[1] if told[0] > now - self.lasts else NOTHING
            return view if max(view.failed_at, view.well_at) > now - self.lasts else NOTHING
        against = failed = tries = 0
        failed_at = well_at = LONG_AGO
        gone = []
        for witness, word in (words or {}).items():
            seen = word.seen
            if seen.newest() <= now - self.lasts:
                gone.append(witness)
                continue
            if witness == without:
                continue
            against += seen.failed_at > seen.well_at
            failed, tries = failed + seen.failed, tries + seen.failed + seen.well
            failed_at, well_at = max(failed_at, seen.failed_at), max(well_at, seen.well_at)
        for witness in gone:
            del self._words[server][witness]
        own = View(against, failed, tries, failed_at, well_at)
        return max(own, told[1], key=lambda v: max(v.failed_at, v.well_at)) if told is not None else own

    def of(self, now: int, witness: int, most: int) -> list[tuple[int, Seen]]:
        """What one front saw: of bad servers first, the newest first, so many at most."""
        rows = [
            (server, words[witness].seen)
            for server, words in self._words.items()
            if witness in words and words[witness].seen.newest() > now - self.lasts
        ]
        rows.sort(key=lambda r: (r[1].failed_at <= r[1].well_at, -r[1].newest(), r[0]))
        return rows[:most]

    def witnesses(self, server: int) -> dict[int, Seen]:
        """Who says what, for people."""
        return {witness: word.seen for witness, word in self._words.get(server, {}).items()}

    def servers(self) -> Iterable[int]:
        return self._words.keys() | self._sums.keys()

    def _tidy(self, now: int) -> None:
        for server in list(self._words):
            self.view(now, server)
            if not self._words[server]:
                del self._words[server]
