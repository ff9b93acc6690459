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
MAX_LINE_BYTES = MOST_BYTES  # of one line of the watch
MAX_STORED_BYTES = 3 * MOST_BYTES  # of what is read back from disk: two states and what they are written in
VERSION_LIMIT = 2**53
MAX_REASON_CHARS = 200  # characters of a reason
MAX_DIGEST_CHARS = 40  # characters of a digest
MAX_BURST_STATES = 8  # states of a burst that are at hand, should the newest be one that can't be used
OUTAGE_RETRY_PERIOD_US = (
    4 * SECOND
)  # the period of tries in an outage: two of them fit into the 9 s that a return may take
RETRY_JITTER_US = SECOND // 10  # to the next instance, where the next try is not the next period's
CONNECT_TIMEOUT_US = 400_000  # how long a connection may take to come up: the shell's bound
MEAN_SEARCH_INTERVAL_US = 30 * SECOND  # on average between two looks elsewhere while all instances are apart
FULL_STATE_ABSENCE_US = 60 * SECOND  # an absence after which the whole state is asked for, not each step
MISSING_LINES_TIMEOUT_US = SECOND // 2  # between two beats that tell of a version, and it does not come
WRITE_RETRY_INTERVAL_US = 5 * SECOND  # after a failed write
STORED_FORMAT = 1


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
class Disconnect:
    """Close the watch, or what was asked."""


@dataclass(frozen=True, slots=True)
class Persist:
    """Make durable, whole or not at all; `kept` is called back with the number of this writing."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Put a version in force now, between two turns of the engine; it can't fail."""

    number: int
    digest: str
    site: Site


@dataclass(frozen=True, slots=True)
class SendReport:
    """A report to an instance; `told` is called back."""

    instance: int
    report: Report


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line of the log."""

    level: str
    event: str
    detail: str


Effect = Watch | Fetch | Disconnect | Persist | PutInForce | SendReport | LogEvent


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


COUNTERS = ("lines", "beats", "doubled", "late", "nonsense", "oversize", "gap", "differs", "missing-lines",
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
    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(COUNTERS, 0))

    in_force: State = field(default_factory=State)
    verified: State = field(default_factory=State)  # the newest whole one that was checked against its digest
    unverified: State = field(default_factory=State)  # `known` with the steps that came since
    burst: deque[State] = field(
        default_factory=lambda: deque(maxlen=MAX_BURST_STATES)
    )  # from `known` to `ahead`

    current_instance: int = 0
    phase: Phase = Phase.AWAY
    schedule: ReconnectSchedule = field(init=False)
    unhealthy: set[int] = field(default_factory=set)  # lost, lagging or apart, since all was well
    lagging: set[int] = field(default_factory=set)  # behind what is held here, in a row
    behind_head: set[int] = field(default_factory=set)  # behind what another instance has told of, in a row
    return_instance: int | None = None  # the instance that answers though it is apart
    next_try: int | None = None
    switch_at: int | None = None
    evaluate_at: int | None = None
    report_at: int | None = None
    apart_warning_at: int | None = None
    last_activity_at: int = 0  # when the last came, or was asked for
    last_usable_line_at: int | None = None
    full_state_received: bool = False  # since the last beat
    full_state_requested: bool = False  # in this visit, and no version came of the watch since
    watch_reopened: bool = False  # likewise, the watch was opened anew
    usable_line_received: bool = False  # something was heard in this visit
    immediate_retries: int = 0
    lines_missing_since: int | None = None  # when a beat first told of versions that did not come since
    instance_behind_since: int | None = None
    pending_write: tuple[int, State, Site | None] | None = (
        None  # the writing under way, and what it lets in force
    )
    fallback: tuple[State, Site] | None = None  # at a start: what is taken where the writing fails
    writes_started: int = 0
    report_in_flight: bool = False
    last_report_at: int | None = None
    in_force_since: int = 0
    life: int = 0
    reports_made: int = 0
    logged: set[tuple[int, str]] = field(default_factory=set)
    _order: tuple[int, ...] = ()
    _position: int = 0  # the place in it of the instance that was chosen last
    _random: SeededRandom = field(init=False)

    def __post_init__(self) -> None:
        self.schedule = ReconnectSchedule(
            self.me, self.fronts, self.grace, self.seed, period=OUTAGE_RETRY_PERIOD_US
        )
        self._random = SeededRandom(self.seed ^ 0x2545F4914F6CDD1D)
        self._random.draw(2)
        first = self.me % self.instances
        others = [number for number in range(self.instances) if number != first]
        # Guards against an instance that dies and sends all that watched it to the same other one
        cut = (self.me // self.instances) % max(len(others), 1)
        self._order = (first, *others[cut:], *others[:cut])
        self.current_instance = first

    # What happens

    def begin(self, now: int, wall: int, kept: bytes) -> list[Effect]:
        """The start, with what was kept; `wall` is the Unix clock in us. The version in force is taken up at
        once; a newer one that was kept and passes now is kept as the one in force first, and taken when that
        is durable."""
        self.life, self.next_try = wall, self.schedule.start(now)
        self.apart_warning_at = now + 2 * self.silence
        try:
            force, newest = self._restore(kept)
        except UnusableError as problem:
            return [LogEvent("error", "config-kept-unusable", f"{problem}; floor {self.floor}")]
        if not newest.number:
            return []
        self.verified = self.unverified = newest
        self.head = newest.number
        site, why = self._usable_site(force) if force.number else (None, "")
        newer, why_not = self._usable_site(newest) if newest is not force else (None, "")
        if newer is not None:
            self.fallback = (force, site) if site is not None else None
            return self._persist(newest, newer)
        if newest is not force:
            self.refused = (newest.number, why_not)
        if not force.number:
            return []
        if site is None:
            self.refused = (newest.number, why_not or why)
            return [LogEvent("error", "config-kept-refused", f"version {force.number}: {why}")]
        return [self._put_in_force(now, force, site), *self._persist(force, None)]

    def receive_line(self, now: int, instance: int, data: bytes) -> list[Effect]:
        """A line of the watch, without its end."""
        if not self._is_current(instance, Phase.WATCHING):
            self.counts["late"] += 1
            return []
        if len(data) > MAX_LINE_BYTES:
            return self._reject_input(now, "oversize", f"a line of {len(data)} bytes")
        try:
            got = msgspec.json.decode(data, type=_Line)
        except (msgspec.MsgspecError, RecursionError):
            return self._reject_input(now, "nonsense", f"{data[:60]!r}")
        if not (0 < got.version < VERSION_LIMIT or 0 <= got.beat < VERSION_LIMIT):
            return self._reject_input(now, "nonsense", f"{data[:60]!r}")
        self.last_activity_at = now
        if got.version:
            return self._receive_version(now, got)
        return self._receive_heartbeat(now, got)

    def receive_full_state(
        self, now: int, instance: int, number: int, text: str, digest: str = ""
    ) -> list[Effect]:
        """The whole state that was asked for, a site file."""
        if not self._is_current(instance, Phase.FETCHING):
            self.counts["late"] += 1
            return []
        if not 0 <= number < VERSION_LIMIT or len(text) > MOST_BYTES:
            return self._reject_input(now, "oversize", f"version {number} of {len(text)} characters")
        if self._behind_own_state(number):
            return self._reject_lagging_instance(now, number)
        if self._newer_than_verified(number):
            try:
                state = self._parse_state(number, text, digest)
            except UnusableError as problem:
                return self._reject_input(now, "nonsense", str(problem))
            self.verified = state
            self._drop_unverified()
            self.head = max(self.head, number)
            self.evaluate_at = now
        elif digest and self.verified.digest and digest != self.verified.digest:
            self.counts["forked"] += 1
            self._first_for_instance("forked")
            return [
                LogEvent(
                    "error", "config-forked", f"instance {instance} has another version {number} than ours"
                ),
                *self._open_watch(now),
            ]
        self.full_state_received = True
        return self._open_watch(now)

    def history_unavailable(self, now: int, instance: int, newest: int = -1) -> list[Effect]:
        """The watch was answered with 410: the instance does not have the versions after ours. `newest` is
        its number, where it tells it."""
        if not self._is_current(instance, Phase.WATCHING):
            self.counts["late"] += 1
            return []
        if newest >= 0 and self._behind_own_state(newest):
            return self._reject_lagging_instance(now, newest)
        return self._request_full_state(now)

    def connection_lost(
        self, now: int, instance: int, how: Loss, gone: int = 0, stay_away: int = 0
    ) -> list[Effect]:
        """The watch or what was asked has ended, or never came about."""
        if instance != self.current_instance or self.phase is Phase.AWAY:
            self.counts["late"] += 1
            return []
        return self._switch_instance(now, how, gone, stay_away)

    def write_finished(self, now: int, number: int, ok: bool) -> list[Effect]:
        """A writing is durable, or failed."""
        if self.pending_write is None or self.pending_write[0] != number:
            self.counts["late"] += 1
            return []
        _, state, site = self.pending_write
        self.pending_write = None
        if not ok:
            return self._write_failed(now, state)
        self.fallback = None
        self.logged.discard((-1, "not-kept"))
        if site is None:
            self._schedule_evaluation(now)
            return []
        taken = self._put_in_force(now, state, site)
        self._schedule_evaluation(now)
        return [taken]

    def report_finished(self, now: int, ok: bool) -> list[Effect]:
        """A report has come to the instance, or not."""
        self.report_in_flight = False
        if not ok:
            self.counts["not-told"] += 1
            self.report_at = now + self.report_every
        return []

    def run_due(self, now: int) -> list[Effect]:
        """What is due by now."""
        out: list[Effect] = []
        if self.phase is Phase.AWAY and self.next_try is not None and now >= self.next_try:
            out += self._connect(now)
        elif self.phase is not Phase.AWAY and now >= self.last_activity_at + self.silence:
            self.counts["silent"] += 1
            out += [Disconnect(), *self._switch_instance(now, Loss.SILENT, self.silence)]
        elif self.switch_at is not None and now >= self.switch_at:
            self.switch_at = None
            self._choose_next_instance()
            out += self._connect(now)
        if self.evaluate_at is not None and now >= self.evaluate_at:
            self.evaluate_at = None
            out += self._evaluate_newest(now)
        if self.report_at is not None and now >= self.report_at:
            out += self._send_due_report(now)
        if self.apart_warning_at is not None and now >= self.apart_warning_at:
            self.apart_warning_at = None
            if self._first_for_front("apart"):
                held = f"version {self.version} stays in force"
                out.append(
                    LogEvent("warning", "config-apart", f"no instance that has heard of a leader; {held}")
                )
        return out

    @property
    def next_due(self) -> int | None:
        """When `due` is to be called next."""
        moments = [self.evaluate_at, self.report_at, self.apart_warning_at]
        if self.phase is Phase.AWAY:
            moments.append(self.next_try)
        else:
            moments += [self.last_activity_at + self.silence, self.switch_at]
        return min((moment for moment in moments if moment is not None), default=None)

    # Guards, each taken out by a mutant of the simulation (ponddoor/config/followers_mutants.py)

    def _newer_than_in_force(self, number: int) -> bool:
        """Guards against an instance that lags, one that leads a minority, and one that lost its disk."""
        return number > self.version and number >= self.floor

    def _behind_own_state(self, number: int) -> bool:
        return number < max(self.verified.number, self.floor)

    def _newer_than_verified(self, number: int) -> bool:
        return number > self.verified.number

    def _is_next_version(self, line: _Line) -> bool:
        """Guards against a version that is left out."""
        return line.version == self.unverified.number + 1

    def _matches_held_items(self, line: _Line) -> bool:
        """Guards against steps that lead elsewhere from what is held."""
        for step in line.steps:
            held = self.unverified.items.get(step.key)
            if (None if held is None else held.text) != step.before:
                return False
        return True

    def _digest_matches(self, digest: str, told: str) -> bool:
        """Guards against what was changed on the way, and against a state that came to be otherwise."""
        return not told or digest == told

    def _rejection_reasons(self, site: Site) -> tuple[str, ...]:
        """Why a site that passed the file's checks can't be taken here."""
        return self.usable(site)

    def _lines_overdue(self, now: int) -> bool:
        """Guards against lines that were lost while the connection stands: beats alone would do for ever."""
        return (
            self.lines_missing_since is not None
            and now - self.lines_missing_since >= MISSING_LINES_TIMEOUT_US
        )

    def _needs_full_state(self, now: int) -> bool:
        """Guards against a long absence that is made up for step by step, and a whole state that is asked for
        twice in one."""
        long = (
            self.last_usable_line_at is None
            or now - self.last_usable_line_at > FULL_STATE_ABSENCE_US
            or not self.verified.number
        )
        return long and not self.full_state_received

    def _earlier_in_burst(self) -> list[State]:
        """The states of a burst before its last. Guards against a bad version that hides a good one which
        came just before it."""
        return [one for one in self.burst if one is not self.verified]

    def _persists_first(self) -> bool:
        """Guards against a front that dies with a version in force which it then knows nothing of."""
        return True

    # Lines

    def _is_current(self, instance: int, phase: Phase) -> bool:
        """Guards against two instances whose lines cross where the front turns from one to the other."""
        return instance == self.current_instance and self.phase is phase

    def _receive_version(self, now: int, line: _Line) -> list[Effect]:
        self.counts["lines"] += 1
        self.head = max(self.head, line.version)
        if line.version <= self.unverified.number:
            self.counts["doubled"] += 1
            return self._note_usable_line(now)
        if not self._is_next_version(line):
            self.counts["gap"] += 1
            return self._reopen_watch(now)
        if not self._matches_held_items(line):
            self.counts["differs"] += 1
            return self._request_full_state(now)
        try:
            self.unverified = self._with_steps(line)
        except UnusableError as problem:
            return self._reject_input(now, "nonsense", str(problem))
        self.burst.append(self.unverified)
        self.watch_reopened, self.lines_missing_since = False, None
        if self.evaluate_at is None:
            # Guards against a burst that is checked a hundred times, and a steady stream that never is
            self.evaluate_at = now + self.settle
        return self._note_usable_line(now)

    def _with_steps(self, line: _Line) -> State:
        """`ahead` with the steps of a line. Raises UnusableError, and has changed nothing then."""
        forms: dict[str, Listing] = {}
        for step in line.steps:
            if step.after is not None:
                try:
                    forms[step.key] = self._parse_item(step.key, step.after)
                except (MalformedError, RecursionError) as problem:
                    raise UnusableError(str(problem)[:MAX_REASON_CHARS]) from None
        state = self.unverified.copy()
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
        state.number, state.digest = line.version, line.digest[:MAX_DIGEST_CHARS]
        if len(state.items) > MOST_KEYS or state.size > MOST_BYTES:
            raise UnusableError(f"{len(state.items)} keys of {state.size} characters")
        return state

    def _parse_state(self, number: int, text: str, digest: str) -> State:
        """The state that a site file tells. Raises UnusableError."""
        try:
            forms = self._parse_items(text)
        except (MalformedError, SettingsError, RecursionError) as problem:
            raise UnusableError(str(problem)[:MAX_REASON_CHARS]) from None
        items = {key: Item(str(form), number, at) for at, (key, form) in enumerate(forms.items(), 1)}
        state = State(number, items, forms, "", sum(len(item.text) for item in items.values()))
        state.digest = digest_of(assembled(items, forms))
        if not self._digest_matches(state.digest, digest):
            raise UnusableError(f"version {number} has digest {state.digest}, {digest[:40]} was told")
        return state

    def _parse_items(self, text: str) -> dict[str, Listing]:
        """The forms of a site file by key. Raises MalformedError, SettingsError, UnusableError."""
        texts = taken_apart(parse(text, "<whole>"))
        if len(texts) > MOST_KEYS:
            raise UnusableError(f"{len(texts)} keys, {MOST_KEYS} at most")
        return {key: self._parse_item(key, one) for key, one in texts.items()}

    def _parse_item(self, key: str, text: str) -> Listing:
        """Raises MalformedError."""
        return form_of(key, text)

    def _receive_heartbeat(self, now: int, line: _Line) -> list[Effect]:
        self.counts["beats"] += 1
        self.head = max(self.head, line.beat)
        if self._behind_own_state(line.beat):
            return [Disconnect(), *self._reject_lagging_instance(now, line.beat)]
        if line.beat > self.unverified.number:
            self.lines_missing_since = now if self.lines_missing_since is None else self.lines_missing_since
            if self._lines_overdue(now):
                self.counts["missing-lines"] += 1
                return self._reopen_watch(now)
        elif line.beat < self.head and not line.apart:
            self.instance_behind_since = (
                now if self.instance_behind_since is None else self.instance_behind_since
            )
            if now - self.instance_behind_since >= self.silence:
                self.behind_head.add(self.current_instance)
                if len(self.behind_head) < self.instances:
                    self.counts["lagging"] += 1
                    return [Disconnect(), *self._switch_instance(now, Loss.BROKEN)]
                # Guards against a number that one told and nobody has: all others would be left for ever
                self.head = max(self.verified.number, line.beat)
        else:
            self.lines_missing_since = self.instance_behind_since = None
            self.behind_head.clear()
        self.full_state_received = False
        out = self._note_usable_line(now)
        return out + (self._leader_unknown(now) if line.apart else self._leader_known(now))

    def _note_usable_line(self, now: int) -> list[Effect]:
        """Something usable came from the watch."""
        self.schedule.heard(now)
        self.last_usable_line_at, self.immediate_retries = now, 0
        if not self.usable_line_received:
            self.usable_line_received = True
            self._schedule_report(now)
        return []

    def _leader_known(self, now: int) -> list[Effect]:
        """The instance is with a leader."""
        self.unhealthy.clear()
        self.lagging.clear()
        self.logged.discard((-1, "ahead"))
        self.return_instance = self.switch_at = self.apart_warning_at = None
        if self.apart_since is None:
            return []
        self.apart_since = None
        self._schedule_report(now)
        if (-1, "apart") not in self.logged:
            return []
        self.logged.discard((-1, "apart"))
        return [LogEvent("info", "config-together", f"instance {self.current_instance} is with a leader")]

    def _leader_unknown(self, now: int) -> list[Effect]:
        """The instance has heard of no leader: another is looked for, once around and then seldom."""
        self.unhealthy.add(self.current_instance)
        self.return_instance = self.current_instance
        if self.apart_since is None or self.switch_at is None:
            self.counts["apart"] += 1
        if self.apart_since is None:
            self._note_apart_since(now)
            self._schedule_report(now)
        if self.switch_at is None and self.instances > 1:
            around = len(self.unhealthy) >= self.instances
            self.switch_at = (
                now + MEAN_SEARCH_INTERVAL_US // 2 + self._random.draw(MEAN_SEARCH_INTERVAL_US)
                if around
                else self.schedule.moved(now)
            )
        return []

    def _note_apart_since(self, moment: int) -> None:
        if self.apart_since is None:
            self.apart_since = moment
            self.apart_warning_at = moment + 2 * self.silence

    # Instances

    def _connect(self, now: int) -> list[Effect]:
        """Come to the instance at hand: for what is missing, or for all of it after a long absence."""
        self.usable_line_received = self.full_state_requested = self.watch_reopened = False
        self.lines_missing_since = self.instance_behind_since = self.next_try = None
        if self._needs_full_state(now):
            return self._request_full_state(now)
        return self._open_watch(now)

    def _open_watch(self, now: int) -> list[Effect]:
        self.phase, self.last_activity_at = Phase.WATCHING, now
        self.counts["watches"] += 1
        return [Watch(self.current_instance, self.unverified.number)]

    def _reopen_watch(self, now: int) -> list[Effect]:
        """Ask for what is missing; twice in a row the instance does not have it."""
        if self.watch_reopened:
            return [Disconnect(), *self._switch_instance(now, Loss.BROKEN)]
        self.watch_reopened, self.lines_missing_since = True, None
        return self._open_watch(now)

    def _request_full_state(self, now: int) -> list[Effect]:
        """Ask for the whole state; an instance whose steps do not lead on from it is left."""
        self._drop_unverified()
        if self.full_state_requested:
            return [Disconnect(), *self._switch_instance(now, Loss.BROKEN)]
        self.phase, self.last_activity_at, self.full_state_requested = Phase.FETCHING, now, True
        self.counts["fetches"] += 1
        return [Fetch(self.current_instance)]

    def _reject_lagging_instance(self, now: int, number: int) -> list[Effect]:
        """The instance is behind this front. Where all are, they have lost what they agreed on: we stay."""
        self.counts["lagging"] += 1
        self.lagging.add(self.current_instance)
        out: list[Effect] = []
        if len(self.lagging) == self.instances and self._first_for_front("ahead"):
            here = (
                f"version {max(self.verified.number, self.floor)} here, "
                f"{number} at instance {self.current_instance}"
            )
            out.append(LogEvent("error", "config-ahead-of-all", here))
        if not self.report_in_flight and (
            self.last_report_at is None or now >= self.last_report_at + self.report_every
        ):
            out.append(self._next_report(now))
        return out + self._switch_instance(now, Loss.BROKEN)

    def _switch_instance(self, now: int, how: Loss, gone: int = 0, stay_away: int = 0) -> list[Effect]:
        """Leave the instance at hand for the next one, when it is this front's turn."""
        self.phase, self.switch_at = Phase.AWAY, None
        self.unhealthy.add(self.current_instance)
        self._note_apart_since(now - gone)
        if self.return_instance is not None and self.current_instance != self.return_instance:
            # Where all are apart one stays: it is looked elsewhere for no longer than one try takes
            self.current_instance = self.return_instance
            self.next_try = now + MIN_RETRY_INTERVAL_US + self._random.draw(RETRY_JITTER_US)
            return []
        self.return_instance = None
        self._choose_next_instance()
        if self.schedule.outage_since is not None and self.immediate_retries < self._max_immediate_retries(
            how
        ):
            self.immediate_retries += 1
            self.next_try = now + stay_away + MIN_RETRY_INTERVAL_US + self._random.draw(RETRY_JITTER_US)
            return []
        self.immediate_retries = 0
        self.next_try = self.schedule.lost(now, how, gone, stay_away)
        return []

    def _max_immediate_retries(self, how: Loss) -> int:
        """To how many further instances one goes on at once. Where one refused, the way to it stands, and all
        may be asked. One that does not answer may be a machine that is gone: one more is asked, so that a few
        that are gone cost no period; more would bring back in one second a fleet that was cut off."""
        return {Loss.REFUSED: self.instances - 1, Loss.LATE: 1}.get(how, 0)

    def _choose_next_instance(self) -> None:
        """The next instance in this front's own order, of which nothing bad is known where there is one."""
        places = [(self._position + turn) % self.instances for turn in range(1, self.instances + 1)]
        others = [place for place in places if self._order[place] != self.current_instance] or places
        well = (place for place in others if self._order[place] not in self.unhealthy)
        self._position = next(well, others[0])
        self.current_instance = self._order[self._position]

    def _reject_input(self, now: int, reason: str, what: str) -> list[Effect]:
        """What can't be used is counted, said once of each instance, and the instance is left."""
        self.counts[reason] += 1
        out: list[Effect] = [Disconnect()]
        if self._first_for_instance(reason):
            out.append(LogEvent("warning", f"config-{reason}", f"instance {self.current_instance}: {what}"))
        self._drop_unverified()
        return out + self._switch_instance(now, Loss.BROKEN)

    def _first_for_instance(self, what: str) -> bool:
        """Whether it was not said of the instance at hand yet."""
        new = (self.current_instance, what) not in self.logged
        self.logged.add((self.current_instance, what))
        return new

    def _first_for_front(self, what: str) -> bool:
        """Whether it was not said of this front since it went by."""
        new = (-1, what) not in self.logged
        self.logged.add((-1, what))
        return new

    # Versions

    def _schedule_evaluation(self, now: int) -> None:
        """Look at what came meanwhile, when the effects of now are carried out."""
        if self.unverified.number > max(self.version, self.refused[0]) and self.evaluate_at is None:
            self.evaluate_at = now

    def _evaluate_newest(self, now: int) -> list[Effect]:
        """The newest that is held: is it what was told, and can it be in force?"""
        if self.pending_write is not None:
            return []  # `kept` looks again
        if self.unverified is not self.verified:
            if not self._verify_digest(self.unverified):
                self.counts["differs"] += 1
                self._drop_unverified()
                return self._request_full_state(now) if self.phase is Phase.WATCHING else []
            self.verified, self.full_state_requested = self.unverified, False
        state, earlier = self.verified, self._earlier_in_burst()
        self.burst.clear()
        if not self._newer_than_in_force(state.number) or state.number == self.refused[0]:
            return []
        site, why = self._usable_site(state)
        out: list[Effect] = []
        if site is None:
            self.counts["refused"] += 1
            self.refused = (state.number, why)
            self._schedule_report(now)
            out.append(LogEvent("warning", "config-refused", f"version {state.number}: {why}"))
            for one in reversed(earlier):
                if (
                    self._newer_than_in_force(one.number)
                    and self._verify_digest(one)
                    and (site := self._usable_site(one)[0])
                ):
                    state = one
                    break
        if site is not None and not self._persists_first():
            out.append(self._put_in_force(now, state, site))
            site = None
        return [*out, *self._persist(state, site)]

    def _verify_digest(self, state: State) -> bool:
        """Whether a state that steps led to has the digest that was told; from then on it has its own."""
        digest = digest_of(assembled(state.items, state.forms))
        same = self._digest_matches(digest, state.digest)
        state.digest = digest
        return same

    def _drop_unverified(self) -> None:
        self.unverified = self.verified
        self.burst.clear()

    def _usable_site(self, state: State) -> tuple[Site | None, str]:
        """The site of a state, or why it can't be in force here."""
        try:
            site = self._check_site(state)
        except SettingsError as problem:
            return None, str(problem.problems[0])[:MAX_REASON_CHARS]
        except RecursionError:
            return None, "nested too deep"
        reasons = self._rejection_reasons(site)
        return (None, "; ".join(reasons)[:MAX_REASON_CHARS]) if reasons else (site, "")

    def _check_site(self, state: State) -> Site:
        """By the file's own checks. Raises SettingsError."""
        return check([assembled(state.items, state.forms)], "<configuration>", self.folder)

    def _put_in_force(self, now: int, state: State, site: Site) -> PutInForce:
        self.in_force, self.version, self.digest = state, state.number, state.digest
        self.floor, self.in_force_since = max(self.floor, state.number), now
        if self.refused[0] <= state.number:
            self.refused = (0, "")
        self.counts["taken"] += 1
        self._schedule_report(now)
        return PutInForce(state.number, state.digest, site)

    # What is kept

    def _persist(self, state: State, site: Site | None) -> list[Effect]:
        """Write down what is in force, or is to be when this is durable, and the newest where it differs."""
        self.writes_started += 1
        self.pending_write = (self.writes_started, state, site)
        force = state if site is not None else self.in_force
        newest = self.verified.written() if self.verified.number > force.number else None
        body = msgspec.msgpack.encode(_Body(force.written(), newest))
        floor = max(force.number, self.floor)
        head = _Head(STORED_FORMAT, floor, self.life, len(body), xxhash.xxh3_64_hexdigest(body))
        head = msgspec.structs.replace(head, own=head.sum())
        return [Persist(self.writes_started, msgspec.json.encode(head) + b"\n" + body)]

    def _write_failed(self, now: int, state: State) -> list[Effect]:
        self.counts["not-kept"] += 1
        out: list[Effect] = []
        if self._first_for_front("not-kept"):
            out.append(LogEvent("error", "config-not-kept", f"version {state.number} could not be written"))
        if self.fallback is not None:
            out.append(self._put_in_force(now, *self.fallback))
            self.fallback = None
        self.evaluate_at = now + WRITE_RETRY_INTERVAL_US
        return out

    def _restore(self, kept: bytes) -> tuple[State, State]:
        """The state that was in force and the newest known; the floor is taken from what can be read. Raises
        UnusableError where there is something and it can't be used."""
        if not kept:
            return State(), State()
        if len(kept) > MAX_STORED_BYTES:
            raise UnusableError(f"{len(kept)} bytes were kept, {MAX_STORED_BYTES} at most")
        first, _, body = kept.partition(b"\n")
        try:
            head = msgspec.json.decode(first, type=_Head)
        except msgspec.MsgspecError:
            raise UnusableError("what was kept has no head") from None
        if head.own != head.sum():
            raise UnusableError("what was kept has a damaged head")
        # Guards against a wall clock that was set back: reports of this life would count as old ones
        self.floor, self.life = head.floor, max(self.life, head.life + 1)
        if head.format != STORED_FORMAT:
            raise UnusableError(f"what was kept is of format {head.format}, {STORED_FORMAT} is known")
        if len(body) < head.size:
            raise UnusableError(f"what was kept is cut off: {len(body)} bytes of {head.size}")
        if xxhash.xxh3_64_hexdigest(body) != head.body:
            raise UnusableError("what was kept is damaged")
        try:
            got = msgspec.msgpack.decode(body, type=_Body)
            force = self._decode_state(got.in_force)
            return force, force if got.newest is None else self._decode_state(got.newest)
        except (msgspec.MsgspecError, MalformedError, RecursionError) as problem:
            raise UnusableError(f"what was kept can't be read: {str(problem)[:MAX_REASON_CHARS]}") from None

    def _decode_state(self, written: _Written) -> State:
        """Raises MalformedError."""
        forms = {key: form_of(key, text) for key, text, _ in written.items}
        items = {key: Item(text, written.number, place) for key, text, place in written.items}
        size = sum(len(item.text) for item in items.values())
        digest = digest_of(assembled(items, forms)) if items else ""
        return State(written.number, items, forms, digest, size)

    # Reports

    def _schedule_report(self, now: int) -> None:
        """A report at this front's place within a second, and not too soon after the last."""
        if self.report_at is None:
            part = SECOND // max(self.fronts, 1)
            place = part * self.me + self._random.draw(max(part, 1))
            first = 0 if self.last_report_at is None else self.last_report_at + self.report_every
            self.report_at = max(now + place, first)

    def _send_due_report(self, now: int) -> list[Effect]:
        if self.phase is Phase.AWAY or not self.usable_line_received:
            self.report_at = None  # it is told when an instance is heard
            return []
        if self.last_report_at is not None:
            # One that is not answered is given up after another time between two
            next_one = self.last_report_at + (2 if self.report_in_flight else 1) * self.report_every
            if now < next_one:
                self.report_at = next_one
                return []
        self.report_at = None
        return [self._next_report(now)]

    def _next_report(self, now: int) -> SendReport:
        self.reports_made, self.report_in_flight, self.last_report_at = self.reports_made + 1, True, now
        refused, why = self.refused
        apart = 0 if self.apart_since is None else (now - self.apart_since) // 1000
        age = (now - self.in_force_since) // 1000 if self.version else 0
        report = Report(
            self.me,
            self.life,
            self.reports_made,
            self.version,
            self.digest,
            age,
            self.head,
            refused,
            why,
            apart,
        )
        return SendReport(self.current_instance, report)
