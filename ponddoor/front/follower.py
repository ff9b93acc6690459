"""A front that follows the committed configuration, free of I/O: what came in, what is to be done out.

It watches one instance of those that agree, takes each version's steps onto what it holds, and puts a version
in force when it is whole, checked, usable here, and kept on disk. Moments in microseconds go in; chance is
its own. Docs: docs/notes/following.md.

What bounds it. Never back: a number at or under the one in force is never taken, nor one under the floor, the
newest number that ever was in force here, and that is durable before a version is in force. Whole or not at
all: a version follows the one held, finds each item as it says, and has the digest it says, or nothing of it
is taken and the whole state is asked for. What can't be used leaves the last good version in force, and the
next is looked at whole. Of what comes, lines, texts and tables have bounds; what is malformed is counted."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import msgspec
import xxhash

from ponddoor.config.machine import (
    MOST_KEYS,
    Item,
    MalformedError,
    assembled,
    digest_of,
    form_of,
    taken_apart,
)
from ponddoor.config.rollout import Report
from ponddoor.front.reconnect import MIN_RETRY_INTERVAL_US, Loss, ReconnectSchedule
from ponddoor.interface.seeded_random import SeededRandom
from ponddoor.settings.sexpr import MOST_BYTES, Listing, SettingsError, parse
from ponddoor.settings.site import Site, check

SECOND = 1_000_000
MOST_LINE = MOST_BYTES  # of one line of the watch
MOST_KEPT = 3 * MOST_BYTES  # of what is read back from disk: two states and what they are written in
MOST_NUMBER = 2**53
MOST_WHY = 200  # characters of a reason
MOST_DIGEST = 40  # characters of a digest
MOST_BURST = 8  # states of a burst that are at hand, should the newest be one that can't be used
EVEN = 4 * SECOND  # the period of tries in an outage: two of them fit into the 9 s that a return may take
HOP = SECOND // 10  # to the next instance, where the next try is not the next period's
CONNECT = 400_000  # how long a connection may take to come up: the shell's bound
LOOK = 30 * SECOND  # on average between two looks elsewhere while all instances are apart
LONG = 60 * SECOND  # an absence after which the whole state is asked for, not each step
MISSES = SECOND // 2  # between two beats that tell of a version, and it does not come
KEEP_AGAIN = 5 * SECOND  # after a failed write
FORMAT = 1


@dataclass(frozen=True, slots=True)
class Watch:
    """Open the watch for versions after one; an older watch is closed."""

    instance: int
    after: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the whole state; a watch is closed."""

    instance: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Close the watch, or what was asked."""


@dataclass(frozen=True, slots=True)
class Keep:
    """Make durable, whole or not at all; `kept` is called back with the number of this writing."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Take:
    """Put a version in force now, between two turns of the engine; it can't fail."""

    number: int
    digest: str
    site: Site


@dataclass(frozen=True, slots=True)
class Tell:
    """A report to an instance; `told` is called back."""

    instance: int
    report: Report


@dataclass(frozen=True, slots=True)
class Say:
    """A line of the log."""

    level: str
    event: str
    detail: str


Effect = Watch | Fetch | Leave | Keep | Take | Tell | Say


class _Step(msgspec.Struct, frozen=True):
    key: str
    before: str | None
    after: str | None
    place: int = 0


class _Line(msgspec.Struct, frozen=True):
    """A line of the watch: a version, or a beat."""

    version: int = 0
    steps: list[_Step] = []
    digest: str = ""
    beat: int = -1
    apart: bool = False


class _Written(msgspec.Struct, frozen=True):
    """A state on disk; an item is its key, text and place."""

    number: int
    items: list[tuple[str, str, int]]


class _Body(msgspec.Struct, frozen=True):
    in_force: _Written
    newest: _Written | None = None


class _Head(msgspec.Struct, frozen=True):
    """`floor` and `life` stand here, under a checksum of their own, so that they outlive a spoilt body."""

    format: int
    floor: int
    life: int
    size: int
    body: str
    own: str = ""

    def sum(self) -> str:
        told = f"{self.format} {self.floor} {self.life} {self.size} {self.body}"
        return xxhash.xxh3_64_hexdigest(told)


class UnusableError(Exception):
    """What came, or what was kept, can't be used."""


@dataclass(slots=True)
class State:
    """A whole state: its items and their parsed forms, by key. It is not changed once it is checked."""

    number: int = 0
    items: dict[str, Item] = field(default_factory=dict)
    forms: dict[str, Listing] = field(default_factory=dict)
    digest: str = ""
    size: int = 0  # characters of all items

    def copy(self) -> "State":
        return State(self.number, dict(self.items), dict(self.forms), self.digest, self.size)

    def written(self) -> _Written:
        return _Written(self.number, [(key, item.text, item.place) for key, item in self.items.items()])


class Phase(Enum):
    """What goes on with the instance at hand."""

    AWAY = "away"
    WATCHING = "watching"
    FETCHING = "fetching"


REASONS = ("lines", "beats", "doubled", "late", "nonsense", "oversize", "gap", "differs", "missing-lines",
           "lagging", "forked", "fetches", "watches", "silent", "apart", "taken", "refused", "not-kept",
           "not-told")  # fmt: skip


@dataclass(slots=True)
class Follower:
    """One front. `me` counts from 0 below `fronts`; `instances` is how many there are to watch. `usable` says
    why this front can't take a site in service; nothing: it can. Times in microseconds."""

    me: int
    fronts: int
    instances: int
    seed: int
    grace: int
    folder: Path
    usable: Callable[[Site], tuple[str, ...]]
    silence: int = 3 * SECOND
    report_every: int = 5 * SECOND
    settle: int = SECOND // 10

    version: int = 0  # in force; 0: none yet
    digest: str = ""
    head: int = 0  # the newest version known
    floor: int = 0  # the newest that ever was in force here
    refused: tuple[int, str] = (0, "")
    apart_since: int | None = None
    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(REASONS, 0))

    in_force: State = field(default_factory=State)
    known: State = field(default_factory=State)  # the newest whole one that was checked against its digest
    ahead: State = field(default_factory=State)  # `known` with the steps that came since
    burst: deque[State] = field(default_factory=lambda: deque(maxlen=MOST_BURST))  # from `known` to `ahead`

    at: int = 0
    phase: Phase = Phase.AWAY
    schedule: ReconnectSchedule = field(init=False)
    bad: set[int] = field(default_factory=set)  # lost, lagging or apart, since all was well
    lagging: set[int] = field(default_factory=set)  # behind what is held here, in a row
    short: set[int] = field(default_factory=set)  # behind what another instance has told of, in a row
    home: int | None = None  # the instance that answers though it is apart
    next_try: int | None = None
    move_at: int | None = None
    decide_at: int | None = None
    tell_at: int | None = None
    complain_at: int | None = None
    heard_at: int = 0  # when the last came, or was asked for
    last_heard: int | None = None
    came_whole: bool = False  # since the last beat
    fetched: bool = False  # in this visit, and no version came of the watch since
    again: bool = False  # likewise, the watch was opened anew
    met: bool = False  # something was heard in this visit
    hops: int = 0
    misses_since: int | None = None  # when a beat first told of versions that did not come since
    lags_since: int | None = None
    keeping: tuple[int, State, Site | None] | None = None  # the writing under way, and what it lets in force
    fallback: tuple[State, Site] | None = None  # at a start: what is taken where the writing fails
    writings: int = 0
    telling: bool = False
    last_told: int | None = None
    taken_at: int = 0
    life: int = 0
    reports: int = 0
    said: set[tuple[int, str]] = field(default_factory=set)
    _order: tuple[int, ...] = ()
    _chosen: int = 0  # the place in it of the instance that was chosen last
    _chance: SeededRandom = field(init=False)

    def __post_init__(self) -> None:
        self.schedule = ReconnectSchedule(self.me, self.fronts, self.grace, self.seed, period=EVEN)
        self._chance = SeededRandom(self.seed ^ 0x2545F4914F6CDD1D)
        self._chance.draw(2)
        first = self.me % self.instances
        others = [number for number in range(self.instances) if number != first]
        # Guards against an instance that dies and sends all that watched it to the same other one
        cut = (self.me // self.instances) % max(len(others), 1)
        self._order = (first, *others[cut:], *others[:cut])
        self.at = first

    # What happens

    def begin(self, now: int, wall: int, kept: bytes) -> list[Effect]:
        """The start, with what was kept; `wall` is the Unix clock in us. The version in force is taken up at
        once; a newer one that was kept and passes now is kept as the one in force first, and taken when that
        is durable."""
        self.life, self.next_try = wall, self.schedule.start(now)
        self.complain_at = now + 2 * self.silence
        try:
            force, newest = self._restored(kept)
        except UnusableError as problem:
            return [Say("error", "config-kept-unusable", f"{problem}; floor {self.floor}")]
        if not newest.number:
            return []
        self.known = self.ahead = newest
        self.head = newest.number
        site, why = self._usable(force) if force.number else (None, "")
        newer, why_not = self._usable(newest) if newest is not force else (None, "")
        if newer is not None:
            self.fallback = (force, site) if site is not None else None
            return self._keep(newest, newer)
        if newest is not force:
            self.refused = (newest.number, why_not)
        if not force.number:
            return []
        if site is None:
            self.refused = (newest.number, why_not or why)
            return [Say("error", "config-kept-refused", f"version {force.number}: {why}")]
        return [self._take(now, force, site), *self._keep(force, None)]

    def line(self, now: int, instance: int, data: bytes) -> list[Effect]:
        """A line of the watch, without its end."""
        if not self._watched(instance, Phase.WATCHING):
            self.counts["late"] += 1
            return []
        if len(data) > MOST_LINE:
            return self._nonsense(now, "oversize", f"a line of {len(data)} bytes")
        try:
            got = msgspec.json.decode(data, type=_Line)
        except (msgspec.MsgspecError, RecursionError):
            return self._nonsense(now, "nonsense", f"{data[:60]!r}")
        if not (0 < got.version < MOST_NUMBER or 0 <= got.beat < MOST_NUMBER):
            return self._nonsense(now, "nonsense", f"{data[:60]!r}")
        self.heard_at = now
        if got.version:
            return self._version(now, got)
        return self._beat(now, got)

    def whole(self, now: int, instance: int, number: int, text: str, digest: str = "") -> list[Effect]:
        """The whole state that was asked for, a site file."""
        if not self._watched(instance, Phase.FETCHING):
            self.counts["late"] += 1
            return []
        if not 0 <= number < MOST_NUMBER or len(text) > MOST_BYTES:
            return self._nonsense(now, "oversize", f"version {number} of {len(text)} characters")
        if self._lags(number):
            return self._behind(now, number)
        if self._advances(number):
            try:
                state = self._parted(number, text, digest)
            except UnusableError as problem:
                return self._nonsense(now, "nonsense", str(problem))
            self.known = state
            self._drop_ahead()
            self.head = max(self.head, number)
            self.decide_at = now
        elif digest and self.known.digest and digest != self.known.digest:
            self.counts["forked"] += 1
            self._once("forked")
            return [
                Say("error", "config-forked", f"instance {instance} has another version {number} than ours"),
                *self._watch(now),
            ]
        self.came_whole = True
        return self._watch(now)

    def not_kept(self, now: int, instance: int, newest: int = -1) -> list[Effect]:
        """The watch was answered with 410: the instance does not have the versions after ours. `newest` is
        its number, where it tells it."""
        if not self._watched(instance, Phase.WATCHING):
            self.counts["late"] += 1
            return []
        if newest >= 0 and self._lags(newest):
            return self._behind(now, newest)
        return self._whole_again(now)

    def lost(self, now: int, instance: int, how: Loss, gone: int = 0, stay_away: int = 0) -> list[Effect]:
        """The watch or what was asked has ended, or never came about."""
        if instance != self.at or self.phase is Phase.AWAY:
            self.counts["late"] += 1
            return []
        return self._turn(now, how, gone, stay_away)

    def kept(self, now: int, number: int, ok: bool) -> list[Effect]:
        """A writing is durable, or failed."""
        if self.keeping is None or self.keeping[0] != number:
            self.counts["late"] += 1
            return []
        _, state, site = self.keeping
        self.keeping = None
        if not ok:
            return self._not_durable(now, state)
        self.fallback = None
        self.said.discard((-1, "not-kept"))
        if site is None:
            self._decide(now)
            return []
        taken = self._take(now, state, site)
        self._decide(now)
        return [taken]

    def told(self, now: int, ok: bool) -> list[Effect]:
        """A report has come to the instance, or not."""
        self.telling = False
        if not ok:
            self.counts["not-told"] += 1
            self.tell_at = now + self.report_every
        return []

    def due(self, now: int) -> list[Effect]:
        """What is due by now."""
        out: list[Effect] = []
        if self.phase is Phase.AWAY and self.next_try is not None and now >= self.next_try:
            out += self._open(now)
        elif self.phase is not Phase.AWAY and now >= self.heard_at + self.silence:
            self.counts["silent"] += 1
            out += [Leave(), *self._turn(now, Loss.SILENT, self.silence)]
        elif self.move_at is not None and now >= self.move_at:
            self.move_at = None
            self._choose()
            out += self._open(now)
        if self.decide_at is not None and now >= self.decide_at:
            self.decide_at = None
            out += self._look(now)
        if self.tell_at is not None and now >= self.tell_at:
            out += self._tell(now)
        if self.complain_at is not None and now >= self.complain_at:
            self.complain_at = None
            if self._complain("apart"):
                held = f"version {self.version} stays in force"
                out.append(Say("warning", "config-apart", f"no instance that has heard of a leader; {held}"))
        return out

    @property
    def next_due(self) -> int | None:
        """When `due` is to be called next."""
        moments = [self.decide_at, self.tell_at, self.complain_at]
        if self.phase is Phase.AWAY:
            moments.append(self.next_try)
        else:
            moments += [self.heard_at + self.silence, self.move_at]
        return min((moment for moment in moments if moment is not None), default=None)

    # Guards, each taken out by a mutant of the simulation (ponddoor/config/followers_mutants.py)

    def _newer(self, number: int) -> bool:
        """Guards against an instance that lags, one that leads a minority, and one that lost its disk."""
        return number > self.version and number >= self.floor

    def _lags(self, number: int) -> bool:
        return number < max(self.known.number, self.floor)

    def _advances(self, number: int) -> bool:
        return number > self.known.number

    def _next(self, line: _Line) -> bool:
        """Guards against a version that is left out."""
        return line.version == self.ahead.number + 1

    def _follows(self, line: _Line) -> bool:
        """Guards against steps that lead elsewhere from what is held."""
        for step in line.steps:
            held = self.ahead.items.get(step.key)
            if (None if held is None else held.text) != step.before:
                return False
        return True

    def _same(self, digest: str, told: str) -> bool:
        """Guards against what was changed on the way, and against a state that came to be otherwise."""
        return not told or digest == told

    def _reasons(self, site: Site) -> tuple[str, ...]:
        """Why a site that passed the file's checks can't be taken here."""
        return self.usable(site)

    def _misses(self, now: int) -> bool:
        """Guards against lines that were lost while the connection stands: beats alone would do for ever."""
        return self.misses_since is not None and now - self.misses_since >= MISSES

    def _long_absent(self, now: int) -> bool:
        """Guards against a long absence that is made up for step by step, and a whole state that is asked for
        twice in one."""
        long = self.last_heard is None or now - self.last_heard > LONG or not self.known.number
        return long and not self.came_whole

    def _earlier(self) -> list[State]:
        """The states of a burst before its last. Guards against a bad version that hides a good one which
        came just before it."""
        return [one for one in self.burst if one is not self.known]

    def _kept_first(self) -> bool:
        """Guards against a front that dies with a version in force which it then knows nothing of."""
        return True

    # Lines

    def _watched(self, instance: int, phase: Phase) -> bool:
        """Guards against two instances whose lines cross where the front turns from one to the other."""
        return instance == self.at and self.phase is phase

    def _version(self, now: int, line: _Line) -> list[Effect]:
        self.counts["lines"] += 1
        self.head = max(self.head, line.version)
        if line.version <= self.ahead.number:
            self.counts["doubled"] += 1
            return self._heard(now)
        if not self._next(line):
            self.counts["gap"] += 1
            return self._watch_again(now)
        if not self._follows(line):
            self.counts["differs"] += 1
            return self._whole_again(now)
        try:
            self.ahead = self._stepped(line)
        except UnusableError as problem:
            return self._nonsense(now, "nonsense", str(problem))
        self.burst.append(self.ahead)
        self.again, self.misses_since = False, None
        if self.decide_at is None:
            # Guards against a burst that is checked a hundred times, and a steady stream that never is
            self.decide_at = now + self.settle
        return self._heard(now)

    def _stepped(self, line: _Line) -> State:
        """`ahead` with the steps of a line. Raises UnusableError, and has changed nothing then."""
        forms: dict[str, Listing] = {}
        for step in line.steps:
            if step.after is not None:
                try:
                    forms[step.key] = self._form(step.key, step.after)
                except (MalformedError, RecursionError) as problem:
                    raise UnusableError(str(problem)[:MOST_WHY]) from None
        state = self.ahead.copy()
        place = max((item.place for item in state.items.values()), default=0)
        # Places are relative here: what is new comes last, in the order of the places told
        for step in sorted(line.steps, key=lambda step: step.place):
            held = state.items.pop(step.key, None) if step.after is None else state.items.get(step.key)
            state.size -= len(held.text) if held is not None else 0
            if step.after is None:
                state.forms.pop(step.key, None)
                continue
            place += held is None
            text = str(forms[step.key])
            state.items[step.key] = Item(text, line.version, place if held is None else held.place)
            state.forms[step.key] = forms[step.key]
            state.size += len(text)
        state.number, state.digest = line.version, line.digest[:MOST_DIGEST]
        if len(state.items) > MOST_KEYS or state.size > MOST_BYTES:
            raise UnusableError(f"{len(state.items)} keys of {state.size} characters")
        return state

    def _parted(self, number: int, text: str, digest: str) -> State:
        """The state that a site file tells. Raises UnusableError."""
        try:
            forms = self._forms(text)
        except (MalformedError, SettingsError, RecursionError) as problem:
            raise UnusableError(str(problem)[:MOST_WHY]) from None
        items = {key: Item(str(form), number, at) for at, (key, form) in enumerate(forms.items(), 1)}
        state = State(number, items, forms, "", sum(len(item.text) for item in items.values()))
        state.digest = digest_of(assembled(items, forms))
        if not self._same(state.digest, digest):
            raise UnusableError(f"version {number} has digest {state.digest}, {digest[:40]} was told")
        return state

    def _forms(self, text: str) -> dict[str, Listing]:
        """The forms of a site file by key. Raises MalformedError, SettingsError, UnusableError."""
        texts = taken_apart(parse(text, "<whole>"))
        if len(texts) > MOST_KEYS:
            raise UnusableError(f"{len(texts)} keys, {MOST_KEYS} at most")
        return {key: self._form(key, one) for key, one in texts.items()}

    def _form(self, key: str, text: str) -> Listing:
        """Raises MalformedError."""
        return form_of(key, text)

    def _beat(self, now: int, line: _Line) -> list[Effect]:
        self.counts["beats"] += 1
        self.head = max(self.head, line.beat)
        if self._lags(line.beat):
            return [Leave(), *self._behind(now, line.beat)]
        if line.beat > self.ahead.number:
            self.misses_since = now if self.misses_since is None else self.misses_since
            if self._misses(now):
                self.counts["missing-lines"] += 1
                return self._watch_again(now)
        elif line.beat < self.head and not line.apart:
            self.lags_since = now if self.lags_since is None else self.lags_since
            if now - self.lags_since >= self.silence:
                self.short.add(self.at)
                if len(self.short) < self.instances:
                    self.counts["lagging"] += 1
                    return [Leave(), *self._turn(now, Loss.BROKEN)]
                # Guards against a number that one told and nobody has: all others would be left for ever
                self.head = max(self.known.number, line.beat)
        else:
            self.misses_since = self.lags_since = None
            self.short.clear()
        self.came_whole = False
        out = self._heard(now)
        return out + (self._apart(now) if line.apart else self._well(now))

    def _heard(self, now: int) -> list[Effect]:
        """Something usable came from the watch."""
        self.schedule.heard(now)
        self.last_heard, self.hops = now, 0
        if not self.met:
            self.met = True
            self._soon(now)
        return []

    def _well(self, now: int) -> list[Effect]:
        """The instance is with a leader."""
        self.bad.clear()
        self.lagging.clear()
        self.said.discard((-1, "ahead"))
        self.home = self.move_at = self.complain_at = None
        if self.apart_since is None:
            return []
        self.apart_since = None
        self._soon(now)
        if (-1, "apart") not in self.said:
            return []
        self.said.discard((-1, "apart"))
        return [Say("info", "config-together", f"instance {self.at} is with a leader")]

    def _apart(self, now: int) -> list[Effect]:
        """The instance has heard of no leader: another is looked for, once around and then seldom."""
        self.bad.add(self.at)
        self.home = self.at
        if self.apart_since is None or self.move_at is None:
            self.counts["apart"] += 1
        if self.apart_since is None:
            self._away_since(now)
            self._soon(now)
        if self.move_at is None and self.instances > 1:
            around = len(self.bad) >= self.instances
            self.move_at = now + LOOK // 2 + self._chance.draw(LOOK) if around else self.schedule.moved(now)
        return []

    def _away_since(self, moment: int) -> None:
        if self.apart_since is None:
            self.apart_since = moment
            self.complain_at = moment + 2 * self.silence

    # Instances

    def _open(self, now: int) -> list[Effect]:
        """Come to the instance at hand: for what is missing, or for all of it after a long absence."""
        self.met = self.fetched = self.again = False
        self.misses_since = self.lags_since = self.next_try = None
        if self._long_absent(now):
            return self._whole_again(now)
        return self._watch(now)

    def _watch(self, now: int) -> list[Effect]:
        self.phase, self.heard_at = Phase.WATCHING, now
        self.counts["watches"] += 1
        return [Watch(self.at, self.ahead.number)]

    def _watch_again(self, now: int) -> list[Effect]:
        """Ask for what is missing; twice in a row the instance does not have it."""
        if self.again:
            return [Leave(), *self._turn(now, Loss.BROKEN)]
        self.again, self.misses_since = True, None
        return self._watch(now)

    def _whole_again(self, now: int) -> list[Effect]:
        """Ask for the whole state; an instance whose steps do not lead on from it is left."""
        self._drop_ahead()
        if self.fetched:
            return [Leave(), *self._turn(now, Loss.BROKEN)]
        self.phase, self.heard_at, self.fetched = Phase.FETCHING, now, True
        self.counts["fetches"] += 1
        return [Fetch(self.at)]

    def _behind(self, now: int, number: int) -> list[Effect]:
        """The instance is behind this front. Where all are, they have lost what they agreed on: we stay."""
        self.counts["lagging"] += 1
        self.lagging.add(self.at)
        out: list[Effect] = []
        if len(self.lagging) == self.instances and self._complain("ahead"):
            here = f"version {max(self.known.number, self.floor)} here, {number} at instance {self.at}"
            out.append(Say("error", "config-ahead-of-all", here))
        if not self.telling and (self.last_told is None or now >= self.last_told + self.report_every):
            out.append(self._report(now))
        return out + self._turn(now, Loss.BROKEN)

    def _turn(self, now: int, how: Loss, gone: int = 0, stay_away: int = 0) -> list[Effect]:
        """Leave the instance at hand for the next one, when it is this front's turn."""
        self.phase, self.move_at = Phase.AWAY, None
        self.bad.add(self.at)
        self._away_since(now - gone)
        if self.home is not None and self.at != self.home:
            # Where all are apart one stays: it is looked elsewhere for no longer than one try takes
            self.at = self.home
            self.next_try = now + MIN_RETRY_INTERVAL_US + self._chance.draw(HOP)
            return []
        self.home = None
        self._choose()
        if self.schedule.outage_since is not None and self.hops < self._most_hops(how):
            self.hops += 1
            self.next_try = now + stay_away + MIN_RETRY_INTERVAL_US + self._chance.draw(HOP)
            return []
        self.hops = 0
        self.next_try = self.schedule.lost(now, how, gone, stay_away)
        return []

    def _most_hops(self, how: Loss) -> int:
        """To how many further instances one goes on at once. Where one refused, the way to it stands, and all
        may be asked. One that does not answer may be a machine that is gone: one more is asked, so that a few
        that are gone cost no period; more would bring back in one second a fleet that was cut off."""
        return {Loss.REFUSED: self.instances - 1, Loss.LATE: 1}.get(how, 0)

    def _choose(self) -> None:
        """The next instance in this front's own order, of which nothing bad is known where there is one."""
        places = [(self._chosen + turn) % self.instances for turn in range(1, self.instances + 1)]
        others = [place for place in places if self._order[place] != self.at] or places
        well = (place for place in others if self._order[place] not in self.bad)
        self._chosen = next(well, others[0])
        self.at = self._order[self._chosen]

    def _nonsense(self, now: int, reason: str, what: str) -> list[Effect]:
        """What can't be used is counted, said once of each instance, and the instance is left."""
        self.counts[reason] += 1
        out: list[Effect] = [Leave()]
        if self._once(reason):
            out.append(Say("warning", f"config-{reason}", f"instance {self.at}: {what}"))
        self._drop_ahead()
        return out + self._turn(now, Loss.BROKEN)

    def _once(self, what: str) -> bool:
        """Whether it was not said of the instance at hand yet."""
        new = (self.at, what) not in self.said
        self.said.add((self.at, what))
        return new

    def _complain(self, what: str) -> bool:
        """Whether it was not said of this front since it went by."""
        new = (-1, what) not in self.said
        self.said.add((-1, what))
        return new

    # Versions

    def _decide(self, now: int) -> None:
        """Look at what came meanwhile, when the effects of now are carried out."""
        if self.ahead.number > max(self.version, self.refused[0]) and self.decide_at is None:
            self.decide_at = now

    def _look(self, now: int) -> list[Effect]:
        """The newest that is held: is it what was told, and can it be in force?"""
        if self.keeping is not None:
            return []  # `kept` looks again
        if self.ahead is not self.known:
            if not self._true(self.ahead):
                self.counts["differs"] += 1
                self._drop_ahead()
                return self._whole_again(now) if self.phase is Phase.WATCHING else []
            self.known, self.fetched = self.ahead, False
        state, earlier = self.known, self._earlier()
        self.burst.clear()
        if not self._newer(state.number) or state.number == self.refused[0]:
            return []
        site, why = self._usable(state)
        out: list[Effect] = []
        if site is None:
            self.counts["refused"] += 1
            self.refused = (state.number, why)
            self._soon(now)
            out.append(Say("warning", "config-refused", f"version {state.number}: {why}"))
            for one in reversed(earlier):
                if self._newer(one.number) and self._true(one) and (site := self._usable(one)[0]):
                    state = one
                    break
        if site is not None and not self._kept_first():
            out.append(self._take(now, state, site))
            site = None
        return [*out, *self._keep(state, site)]

    def _true(self, state: State) -> bool:
        """Whether a state that steps led to has the digest that was told; from then on it has its own."""
        digest = digest_of(assembled(state.items, state.forms))
        same = self._same(digest, state.digest)
        state.digest = digest
        return same

    def _drop_ahead(self) -> None:
        self.ahead = self.known
        self.burst.clear()

    def _usable(self, state: State) -> tuple[Site | None, str]:
        """The site of a state, or why it can't be in force here."""
        try:
            site = self._checked(state)
        except SettingsError as problem:
            return None, str(problem.problems[0])[:MOST_WHY]
        except RecursionError:
            return None, "nested too deep"
        reasons = self._reasons(site)
        return (None, "; ".join(reasons)[:MOST_WHY]) if reasons else (site, "")

    def _checked(self, state: State) -> Site:
        """By the file's own checks. Raises SettingsError."""
        return check([assembled(state.items, state.forms)], "<configuration>", self.folder)

    def _take(self, now: int, state: State, site: Site) -> Take:
        self.in_force, self.version, self.digest = state, state.number, state.digest
        self.floor, self.taken_at = max(self.floor, state.number), now
        if self.refused[0] <= state.number:
            self.refused = (0, "")
        self.counts["taken"] += 1
        self._soon(now)
        return Take(state.number, state.digest, site)

    # What is kept

    def _keep(self, state: State, site: Site | None) -> list[Effect]:
        """Write down what is in force, or is to be when this is durable, and the newest where it differs."""
        self.writings += 1
        self.keeping = (self.writings, state, site)
        force = state if site is not None else self.in_force
        newest = self.known.written() if self.known.number > force.number else None
        body = msgspec.msgpack.encode(_Body(force.written(), newest))
        floor = max(force.number, self.floor)
        head = _Head(FORMAT, floor, self.life, len(body), xxhash.xxh3_64_hexdigest(body))
        head = msgspec.structs.replace(head, own=head.sum())
        return [Keep(self.writings, msgspec.json.encode(head) + b"\n" + body)]

    def _not_durable(self, now: int, state: State) -> list[Effect]:
        self.counts["not-kept"] += 1
        out: list[Effect] = []
        if self._complain("not-kept"):
            out.append(Say("error", "config-not-kept", f"version {state.number} could not be written"))
        if self.fallback is not None:
            out.append(self._take(now, *self.fallback))
            self.fallback = None
        self.decide_at = now + KEEP_AGAIN
        return out

    def _restored(self, kept: bytes) -> tuple[State, State]:
        """The state that was in force and the newest known; the floor is taken from what can be read. Raises
        UnusableError where there is something and it can't be used."""
        if not kept:
            return State(), State()
        if len(kept) > MOST_KEPT:
            raise UnusableError(f"{len(kept)} bytes were kept, {MOST_KEPT} at most")
        first, _, body = kept.partition(b"\n")
        try:
            head = msgspec.json.decode(first, type=_Head)
        except msgspec.MsgspecError:
            raise UnusableError("what was kept has no head") from None
        if head.own != head.sum():
            raise UnusableError("what was kept has a damaged head")
        # Guards against a wall clock that was set back: reports of this life would count as old ones
        self.floor, self.life = head.floor, max(self.life, head.life + 1)
        if head.format != FORMAT:
            raise UnusableError(f"what was kept is of format {head.format}, {FORMAT} is known")
        if len(body) < head.size:
            raise UnusableError(f"what was kept is cut off: {len(body)} bytes of {head.size}")
        if xxhash.xxh3_64_hexdigest(body) != head.body:
            raise UnusableError("what was kept is damaged")
        try:
            got = msgspec.msgpack.decode(body, type=_Body)
            force = self._read(got.in_force)
            return force, force if got.newest is None else self._read(got.newest)
        except (msgspec.MsgspecError, MalformedError, RecursionError) as problem:
            raise UnusableError(f"what was kept can't be read: {str(problem)[:MOST_WHY]}") from None

    def _read(self, written: _Written) -> State:
        """Raises MalformedError."""
        forms = {key: form_of(key, text) for key, text, _ in written.items}
        items = {key: Item(text, written.number, place) for key, text, place in written.items}
        size = sum(len(item.text) for item in items.values())
        digest = digest_of(assembled(items, forms)) if items else ""
        return State(written.number, items, forms, digest, size)

    # Reports

    def _soon(self, now: int) -> None:
        """A report at this front's place within a second, and not too soon after the last."""
        if self.tell_at is None:
            part = SECOND // max(self.fronts, 1)
            place = part * self.me + self._chance.draw(max(part, 1))
            first = 0 if self.last_told is None else self.last_told + self.report_every
            self.tell_at = max(now + place, first)

    def _tell(self, now: int) -> list[Effect]:
        if self.phase is Phase.AWAY or not self.met:
            self.tell_at = None  # it is told when an instance is heard
            return []
        if self.last_told is not None:
            # One that is not answered is given up after another time between two
            next_one = self.last_told + (2 if self.telling else 1) * self.report_every
            if now < next_one:
                self.tell_at = next_one
                return []
        self.tell_at = None
        return [self._report(now)]

    def _report(self, now: int) -> Tell:
        self.reports, self.telling, self.last_told = self.reports + 1, True, now
        refused, why = self.refused
        apart = 0 if self.apart_since is None else (now - self.apart_since) // 1000
        age = (now - self.taken_at) // 1000 if self.version else 0
        report = Report(
            self.me, self.life, self.reports, self.version, self.digest, age, self.head, refused, why, apart
        )
        return Tell(self.at, report)
