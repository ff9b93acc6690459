"""The core of a front that follows the shared configuration, free of I/O: events go in, effects come out.

The follower watches one configuration instance, applies the steps of each version to the state that it holds,
and puts a version in force once the state is complete, its digest matches, its site passes the checks, this
front can use it, and it is on disk. Callers pass the time in microseconds; random numbers come from a
generator of the follower's own. Docs: docs/notes/following.md.

Invariants:
- Versions never go back. A version is put in force only if its number is above the one in force and not below
  the floor, the newest number that was ever in force here. The floor is durable before a version is in force.
- A version is applied completely or not at all. It must be the successor of the one held, each step must find
  the item text that it names, and the result must have the digest stated. Otherwise nothing of it is applied
  and the watch is reopened or the full state requested.
- A version that can't be used leaves the last good version in force; the next version is evaluated as a
  whole.
- Lines, texts and tables are bounded in size. Malformed input is counted."""

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

SECOND = 1_000_000  # in us
MAX_LINE_BYTES = MOST_BYTES  # of one line of the watch
MAX_STORED_BYTES = 3 * MOST_BYTES  # the stored file holds up to two states and their encoding
VERSION_LIMIT = 2**53  # version numbers stay below it
MAX_REASON_CHARS = 200  # of a reason why a version can't be used
MAX_DIGEST_CHARS = 40
MAX_BURST_STATES = 8  # earlier states of a burst to fall back to when the newest can't be used
OUTAGE_RETRY_PERIOD_US = 4 * SECOND  # two periods fit into the 9 s within which a front must be back
RETRY_JITTER_US = SECOND // 10  # of an immediate retry at another instance
CONNECT_TIMEOUT_US = 400_000  # applied by the shell
MEAN_SEARCH_INTERVAL_US = 30 * SECOND  # between two tries of another instance while none has a leader
FULL_STATE_ABSENCE_US = 60 * SECOND  # after a longer absence the full state is requested, not each step
MISSING_LINES_TIMEOUT_US = SECOND // 2  # from the first heartbeat that names a version that has not arrived
WRITE_RETRY_INTERVAL_US = 5 * SECOND  # after a failed write
STORED_FORMAT = 1


@dataclass(frozen=True, slots=True)
class Watch:
    """Open the watch for versions after `after`; closes the previous connection."""

    instance: int
    after: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request the full state; closes the previous connection."""

    instance: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the watch or abandon the request for the full state."""


@dataclass(frozen=True, slots=True)
class Persist:
    """Write `data` to disk atomically, then call `write_finished` with the number of this write."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Put a version in force now, between two calls of the engine; it can't fail."""

    number: int
    digest: str
    site: Site


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to an instance, then call `report_finished`."""

    instance: int
    report: Report


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the log."""

    level: str
    event: str
    detail: str


Effect = Watch | Fetch | Disconnect | Persist | PutInForce | SendReport | LogEvent


class _Step(msgspec.Struct, frozen=True):
    """The change of one item: its text before and after, None where the item does not exist."""

    key: str
    before: str | None
    after: str | None
    place: int = 0


class _Line(msgspec.Struct, frozen=True):
    """A line of the watch: a version with its steps, or a heartbeat.

    `beat` is the newest version of the instance, `apart` says that it knows no leader."""

    version: int = 0
    steps: list[_Step] = []
    digest: str = ""
    beat: int = -1
    apart: bool = False


class _StoredState(msgspec.Struct, frozen=True):
    """A state on disk. Each item is its key, text and place."""

    number: int
    items: list[tuple[str, str, int]]


class _StoredBody(msgspec.Struct, frozen=True):
    """The state in force, and the newest verified state where it is a later one."""

    in_force: _StoredState
    newest: _StoredState | None = None


class _StoredHeader(msgspec.Struct, frozen=True):
    """The first line of the stored file.

    `floor` and `life` stand here under the checksum `own`, so that they survive a damaged body. `size` is the
    body's length in bytes, `body` its checksum."""

    format: int
    floor: int
    life: int
    size: int
    body: str
    own: str = ""

    def checksum(self) -> str:
        text = f"{self.format} {self.floor} {self.life} {self.size} {self.body}"
        return xxhash.xxh3_64_hexdigest(text)


class UnusableError(Exception):
    """A received or a stored state can't be used."""


@dataclass(slots=True)
class State:
    """A full state: its items and their parsed forms, by key. It is not modified after its digest is
    verified."""

    number: int = 0
    items: dict[str, Item] = field(default_factory=dict)
    forms: dict[str, Listing] = field(default_factory=dict)
    digest: str = ""
    char_count: int = 0  # of all item texts

    def copy(self) -> "State":
        return State(self.number, dict(self.items), dict(self.forms), self.digest, self.char_count)

    def to_stored(self) -> _StoredState:
        return _StoredState(self.number, [(key, item.text, item.place) for key, item in self.items.items()])


class Phase(Enum):
    """State of the connection to the current instance."""

    DISCONNECTED = "away"
    WATCHING = "watching"
    FETCHING = "fetching"


COUNTERS = ("lines", "beats", "doubled", "late", "nonsense", "oversize", "gap", "differs", "missing-lines",
           "lagging", "forked", "fetches", "watches", "silent", "apart", "taken", "refused", "not-kept",
           "not-told")  # fmt: skip


@dataclass(slots=True)
class Follower:
    """The follower of one front.

    `front_number` is the front's number, from 0 below `front_count`; `instance_count` is the number of
    configuration instances. `start_limit_us` is how long the configuration may take to arrive at a start; the
    first tries of all fronts are spread over at most a third of it. Paths in a site are relative to `folder`.
    `reasons_against` returns the reasons why this front can't take a site in service; an empty tuple means
    that it can. `silence_timeout_us` is the time without a line after which an instance counts as lost,
    `report_interval_us` the least time between two reports, `burst_delay_us` the delay from the first line of
    a burst to its evaluation. All times are in microseconds."""

    front_number: int
    front_count: int
    instance_count: int
    seed: int
    start_limit_us: int
    folder: Path
    reasons_against: Callable[[Site], tuple[str, ...]]
    silence_timeout_us: int = 3 * SECOND
    report_interval_us: int = 5 * SECOND
    burst_delay_us: int = SECOND // 10

    version: int = 0  # in force; 0: none yet
    digest: str = ""
    head: int = 0  # the newest version that any instance has named
    floor: int = 0  # the newest version that was ever in force here
    refused: tuple[int, str] = (0, "")  # the newest version that can't be used here, and the reason
    apart_since: int | None = None  # since when no instance with a leader has been reached
    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(COUNTERS, 0))

    in_force: State = field(default_factory=State)
    verified: State = field(default_factory=State)  # the newest full state whose digest was checked
    unverified: State = field(default_factory=State)  # `verified` with the steps received since
    # The states from `verified` (exclusive) to `unverified`, oldest first
    burst: deque[State] = field(default_factory=lambda: deque(maxlen=MAX_BURST_STATES))

    current_instance: int = 0
    phase: Phase = Phase.DISCONNECTED
    schedule: ReconnectSchedule = field(init=False)
    # Instances that were lost, lagging or without a leader since a leader was last known
    unhealthy: set[int] = field(default_factory=set)
    # Instances that were behind the state held here since a leader was last known
    lagging: set[int] = field(default_factory=set)
    behind_head: set[int] = field(default_factory=set)  # instances in a row that stayed behind `head`
    return_instance: int | None = None  # answers but knows no leader; used after a failed try elsewhere
    next_try_at: int | None = None
    switch_at: int | None = None  # when to try another instance while this one knows no leader
    evaluate_at: int | None = None
    report_at: int | None = None
    apart_warning_at: int | None = None
    last_activity_at: int = 0  # time of the last line or request
    last_usable_line_at: int | None = None
    full_state_received: bool = False  # since the last heartbeat
    full_state_requested: bool = False  # in this connection, with no version verified since
    watch_reopened: bool = False  # in this connection, with no version received since
    usable_line_received: bool = False  # in this connection
    immediate_retries: int = 0  # in a row, each at another instance
    lines_missing_since: int | None = None  # when a heartbeat first named a version that has not arrived
    instance_behind_since: int | None = None  # when a heartbeat first was behind `head`
    # The number of the write in progress, its state, and the site that it puts in force, if any
    pending_write: tuple[int, State, Site | None] | None = None
    fallback: tuple[State, Site] | None = None  # at the start: put in force if the write fails
    writes_started: int = 0
    report_in_flight: bool = False
    last_report_at: int | None = None
    in_force_since: int = 0
    life: int = 0  # Unix time of the start in microseconds; above that of every earlier start
    reports_made: int = 0
    # Instance (-1: this front as a whole) and subject of each condition that was logged
    logged: set[tuple[int, str]] = field(default_factory=set)
    _instance_order: tuple[int, ...] = ()  # in which this front tries the instances
    _position: int = 0  # in `_instance_order`, of the instance chosen last
    _random: SeededRandom = field(init=False)

    def __post_init__(self) -> None:
        self.schedule = ReconnectSchedule(
            self.front_number, self.front_count, self.start_limit_us, self.seed, period=OUTAGE_RETRY_PERIOD_US
        )
        self._random = SeededRandom(self.seed ^ 0x2545F4914F6CDD1D)
        self._random.draw(2)
        first_instance = self.front_number % self.instance_count
        other_instances = [number for number in range(self.instance_count) if number != first_instance]
        # Each front has its own order, so that the watchers of a failed instance spread over all others
        rotation = (self.front_number // self.instance_count) % max(len(other_instances), 1)
        self._instance_order = (first_instance, *other_instances[rotation:], *other_instances[:rotation])
        self.current_instance = first_instance

    # Events

    def begin(self, now: int, wall_clock_us: int, stored: bytes) -> list[Effect]:
        """Start with the bytes of the stored file; `wall_clock_us` is the Unix time.

        The stored version in force is put in force at once. If a newer stored version is usable now, it is
        first written as the one in force and takes effect when that write is durable."""
        self.life, self.next_try_at = wall_clock_us, self.schedule.start(now)
        self.apart_warning_at = now + 2 * self.silence_timeout_us
        try:
            in_force, newest = self._restore(stored)
        except UnusableError as problem:
            return [LogEvent("error", "config-kept-unusable", f"{problem}; version floor {self.floor}")]
        if not newest.number:
            return []
        self.verified = self.unverified = newest
        self.head = newest.number
        site, reason = self._usable_site(in_force) if in_force.number else (None, "")
        newest_site, newest_reason = self._usable_site(newest) if newest is not in_force else (None, "")
        if newest_site is not None:
            self.fallback = (in_force, site) if site is not None else None
            return self._persist(newest, newest_site)
        if newest is not in_force:
            self.refused = (newest.number, newest_reason)
        if not in_force.number:
            return []
        if site is None:
            self.refused = (newest.number, newest_reason or reason)
            return [
                LogEvent(
                    "error",
                    "config-kept-refused",
                    f"stored version {in_force.number} can't be used: {reason}",
                )
            ]
        return [self._put_in_force(now, in_force, site), *self._persist(in_force, None)]

    def receive_line(self, now: int, instance: int, data: bytes) -> list[Effect]:
        """Process a line of the watch, given without its line end."""
        if not self._is_current(instance, Phase.WATCHING):
            self.counts["late"] += 1
            return []
        if len(data) > MAX_LINE_BYTES:
            return self._reject_input(now, "oversize", f"line of {len(data)} bytes, at most {MAX_LINE_BYTES}")
        try:
            line = msgspec.json.decode(data, type=_Line)
        except (msgspec.MsgspecError, RecursionError):
            return self._reject_input(now, "nonsense", f"malformed line {data[:60]!r}")
        if not (0 < line.version < VERSION_LIMIT or 0 <= line.beat < VERSION_LIMIT):
            return self._reject_input(now, "nonsense", f"no valid version number in line {data[:60]!r}")
        self.last_activity_at = now
        if line.version:
            return self._receive_version(now, line)
        return self._receive_heartbeat(now, line)

    def receive_full_state(
        self, now: int, instance: int, number: int, text: str, digest: str = ""
    ) -> list[Effect]:
        """Process the full state that was requested: the text of a site file."""
        if not self._is_current(instance, Phase.FETCHING):
            self.counts["late"] += 1
            return []
        if not 0 <= number < VERSION_LIMIT or len(text) > MOST_BYTES:
            return self._reject_input(
                now,
                "oversize",
                f"full state of {len(text)} characters, at most {MOST_BYTES}, as version {number}",
            )
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
                    "error",
                    "config-forked",
                    f"instance {instance} has a different version {number} than this front",
                ),
                *self._open_watch(now),
            ]
        self.full_state_received = True
        return self._open_watch(now)

    def history_unavailable(self, now: int, instance: int, newest: int = -1) -> list[Effect]:
        """Process a 410 answer to the watch: the instance no longer has the versions after the one held here.

        `newest` is the newest version of the instance; -1 if it did not name it."""
        if not self._is_current(instance, Phase.WATCHING):
            self.counts["late"] += 1
            return []
        if newest >= 0 and self._behind_own_state(newest):
            return self._reject_lagging_instance(now, newest)
        return self._request_full_state(now)

    def connection_lost(
        self, now: int, instance: int, loss: Loss, elapsed_us: int = 0, min_wait_us: int = 0
    ) -> list[Effect]:
        """Process the end or the failure of the watch or of the request for the full state.

        It was lost `elapsed_us` ago; `min_wait_us` is the wait that the instance asked for, 0 if none."""
        if instance != self.current_instance or self.phase is Phase.DISCONNECTED:
            self.counts["late"] += 1
            return []
        return self._switch_instance(now, loss, elapsed_us, min_wait_us)

    def write_finished(self, now: int, number: int, ok: bool) -> list[Effect]:
        """Process the result of the write `number`: durable or failed."""
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
        effect = self._put_in_force(now, state, site)
        self._schedule_evaluation(now)
        return [effect]

    def report_finished(self, now: int, ok: bool) -> list[Effect]:
        """Process the result of the last report: delivered or failed."""
        self.report_in_flight = False
        if not ok:
            self.counts["not-told"] += 1
            self.report_at = now + self.report_interval_us
        return []

    def run_due(self, now: int) -> list[Effect]:
        """Do what is due by now."""
        effects: list[Effect] = []
        if self.phase is Phase.DISCONNECTED and self.next_try_at is not None and now >= self.next_try_at:
            effects += self._connect(now)
        elif self.phase is not Phase.DISCONNECTED and now >= self.last_activity_at + self.silence_timeout_us:
            self.counts["silent"] += 1
            effects += [Disconnect(), *self._switch_instance(now, Loss.SILENT, self.silence_timeout_us)]
        elif self.switch_at is not None and now >= self.switch_at:
            self.switch_at = None
            self._choose_next_instance()
            effects += self._connect(now)
        if self.evaluate_at is not None and now >= self.evaluate_at:
            self.evaluate_at = None
            effects += self._evaluate_newest(now)
        if self.report_at is not None and now >= self.report_at:
            effects += self._send_due_report(now)
        if self.apart_warning_at is not None and now >= self.apart_warning_at:
            self.apart_warning_at = None
            if self._first_for_front("apart"):
                in_force = f"version {self.version} stays in force"
                effects.append(
                    LogEvent("warning", "config-apart", f"no instance with a leader reached; {in_force}")
                )
        return effects

    @property
    def next_due(self) -> int | None:
        """When `run_due` is to be called next."""
        due_times = [self.evaluate_at, self.report_at, self.apart_warning_at]
        if self.phase is Phase.DISCONNECTED:
            due_times.append(self.next_try_at)
        else:
            due_times += [self.last_activity_at + self.silence_timeout_us, self.switch_at]
        return min((due for due in due_times if due is not None), default=None)

    # Rules, each of which a mutant of the simulation disables (ponddoor/config/followers_mutants.py)

    def _newer_than_in_force(self, number: int) -> bool:
        """Whether a version may replace the one in force.

        An older one comes from an instance that lags, that leads a minority, or that lost its disk."""
        return number > self.version and number >= self.floor

    def _behind_own_state(self, number: int) -> bool:
        return number < max(self.verified.number, self.floor)

    def _newer_than_verified(self, number: int) -> bool:
        return number > self.verified.number

    def _is_next_version(self, line: _Line) -> bool:
        """Whether a line is the successor of the state held; otherwise a version was skipped."""
        return line.version == self.unverified.number + 1

    def _matches_held_items(self, line: _Line) -> bool:
        """Whether each step finds the item text that it replaces; otherwise the states have diverged."""
        for step in line.steps:
            held = self.unverified.items.get(step.key)
            if (None if held is None else held.text) != step.before:
                return False
        return True

    def _digest_matches(self, digest: str, expected: str) -> bool:
        """Whether the digest is the stated one, if one is stated.

        Detects corruption in transit and a state that was built from other steps."""
        return not expected or digest == expected

    def _rejection_reasons(self, site: Site) -> tuple[str, ...]:
        """Why this front can't use a site that passed the checks of a site file."""
        return self.reasons_against(site)

    def _lines_overdue(self, now: int) -> bool:
        """Whether lines were lost on a live connection, where heartbeats alone would keep the watch open for
        ever."""
        return (
            self.lines_missing_since is not None
            and now - self.lines_missing_since >= MISSING_LINES_TIMEOUT_US
        )

    def _needs_full_state(self, now: int) -> bool:
        """Whether to request the full state on connecting: after a long absence, which would take many steps,
        and unless it was already received since the last heartbeat."""
        long_absent = (
            self.last_usable_line_at is None
            or now - self.last_usable_line_at > FULL_STATE_ABSENCE_US
            or not self.verified.number
        )
        return long_absent and not self.full_state_received

    def _earlier_in_burst(self) -> list[State]:
        """The states of a burst before its last, for a good version that is followed at once by a bad one."""
        return [state for state in self.burst if state is not self.verified]

    def _persists_first(self) -> bool:
        """Whether a version is made durable before it is in force.

        Otherwise a front that crashes in between would restart without the version that it had in force."""
        return True

    # Lines

    def _is_current(self, instance: int, phase: Phase) -> bool:
        """Whether input belongs to the current connection; after a switch, input of the previous instance may
        still arrive."""
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
            # Set by the first line only: a burst is evaluated once, a steady stream can't defer it for ever
            self.evaluate_at = now + self.burst_delay_us
        return self._note_usable_line(now)

    def _with_steps(self, line: _Line) -> State:
        """A copy of `unverified` with the steps of a line applied. Raises UnusableError."""
        forms: dict[str, Listing] = {}
        for step in line.steps:
            if step.after is not None:
                try:
                    forms[step.key] = self._parse_item(step.key, step.after)
                except (MalformedError, RecursionError) as problem:
                    raise UnusableError(str(problem)[:MAX_REASON_CHARS]) from None
        state = self.unverified.copy()
        place = max((item.place for item in state.items.values()), default=0)
        # Only the order of places counts: new items come last, in the order of the places in the line
        for step in sorted(line.steps, key=lambda step: step.place):
            held = state.items.pop(step.key, None) if step.after is None else state.items.get(step.key)
            state.char_count -= len(held.text) if held is not None else 0
            if step.after is None:
                state.forms.pop(step.key, None)
                continue
            place += held is None
            text = str(forms[step.key])
            state.items[step.key] = Item(text, line.version, place if held is None else held.place)
            state.forms[step.key] = forms[step.key]
            state.char_count += len(text)
        state.number, state.digest = line.version, line.digest[:MAX_DIGEST_CHARS]
        if len(state.items) > MOST_KEYS or state.char_count > MOST_BYTES:
            raise UnusableError(f"state too large: {len(state.items)} keys, {state.char_count} characters")
        return state

    def _parse_state(self, number: int, text: str, digest: str) -> State:
        """The state that a site file describes. Raises UnusableError."""
        try:
            forms = self._parse_items(text)
        except (MalformedError, SettingsError, RecursionError) as problem:
            raise UnusableError(str(problem)[:MAX_REASON_CHARS]) from None
        items = {key: Item(str(form), number, place) for place, (key, form) in enumerate(forms.items(), 1)}
        state = State(number, items, forms, "", sum(len(item.text) for item in items.values()))
        state.digest = digest_of(assembled(items, forms))
        if not self._digest_matches(state.digest, digest):
            raise UnusableError(f"version {number} has digest {state.digest}, expected {digest[:40]}")
        return state

    def _parse_items(self, text: str) -> dict[str, Listing]:
        """The forms of a site file by key. Raises MalformedError, SettingsError, UnusableError."""
        texts = taken_apart(parse(text, "<whole>"))
        if len(texts) > MOST_KEYS:
            raise UnusableError(f"{len(texts)} keys, {MOST_KEYS} at most")
        return {key: self._parse_item(key, item_text) for key, item_text in texts.items()}

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
            if now - self.instance_behind_since >= self.silence_timeout_us:
                self.behind_head.add(self.current_instance)
                if len(self.behind_head) < self.instance_count:
                    self.counts["lagging"] += 1
                    return [Disconnect(), *self._switch_instance(now, Loss.BROKEN)]
                # Otherwise a version that one instance named and no other has would cost every connection
                self.head = max(self.verified.number, line.beat)
        else:
            self.lines_missing_since = self.instance_behind_since = None
            self.behind_head.clear()
        self.full_state_received = False
        effects = self._note_usable_line(now)
        return effects + (self._leader_unknown(now) if line.apart else self._leader_known(now))

    def _note_usable_line(self, now: int) -> list[Effect]:
        """Note that the watch delivered a usable line."""
        self.schedule.heard(now)
        self.last_usable_line_at, self.immediate_retries = now, 0
        if not self.usable_line_received:
            self.usable_line_received = True
            self._schedule_report(now)
        return []

    def _leader_known(self, now: int) -> list[Effect]:
        """The current instance knows a leader."""
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
        return [LogEvent("info", "config-together", f"instance {self.current_instance} knows a leader")]

    def _leader_unknown(self, now: int) -> list[Effect]:
        """The current instance knows no leader: try each other instance once, then one now and then."""
        self.unhealthy.add(self.current_instance)
        self.return_instance = self.current_instance
        if self.apart_since is None or self.switch_at is None:
            self.counts["apart"] += 1
        if self.apart_since is None:
            self._note_apart_since(now)
            self._schedule_report(now)
        if self.switch_at is None and self.instance_count > 1:
            all_tried = len(self.unhealthy) >= self.instance_count
            self.switch_at = (
                now + MEAN_SEARCH_INTERVAL_US // 2 + self._random.draw(MEAN_SEARCH_INTERVAL_US)
                if all_tried
                else self.schedule.moved(now)
            )
        return []

    def _note_apart_since(self, since: int) -> None:
        if self.apart_since is None:
            self.apart_since = since
            self.apart_warning_at = since + 2 * self.silence_timeout_us

    # Instances

    def _connect(self, now: int) -> list[Effect]:
        """Connect to the current instance: to the watch, or for the full state after a long absence."""
        self.usable_line_received = self.full_state_requested = self.watch_reopened = False
        self.lines_missing_since = self.instance_behind_since = self.next_try_at = None
        if self._needs_full_state(now):
            return self._request_full_state(now)
        return self._open_watch(now)

    def _open_watch(self, now: int) -> list[Effect]:
        self.phase, self.last_activity_at = Phase.WATCHING, now
        self.counts["watches"] += 1
        return [Watch(self.current_instance, self.unverified.number)]

    def _reopen_watch(self, now: int) -> list[Effect]:
        """Reopen the watch to get missing lines; if they are missing again, leave the instance."""
        if self.watch_reopened:
            return [Disconnect(), *self._switch_instance(now, Loss.BROKEN)]
        self.watch_reopened, self.lines_missing_since = True, None
        return self._open_watch(now)

    def _request_full_state(self, now: int) -> list[Effect]:
        """Request the full state, or leave the instance if the steps after its last one did not apply
        either."""
        self._drop_unverified()
        if self.full_state_requested:
            return [Disconnect(), *self._switch_instance(now, Loss.BROKEN)]
        self.phase, self.last_activity_at, self.full_state_requested = Phase.FETCHING, now, True
        self.counts["fetches"] += 1
        return [Fetch(self.current_instance)]

    def _reject_lagging_instance(self, now: int, number: int) -> list[Effect]:
        """Leave an instance that is behind this front.

        If all instances are, they have lost committed versions; this front keeps its own."""
        self.counts["lagging"] += 1
        self.lagging.add(self.current_instance)
        effects: list[Effect] = []
        if len(self.lagging) == self.instance_count and self._first_for_front("ahead"):
            versions = (
                f"version {max(self.verified.number, self.floor)} here, "
                f"{number} at instance {self.current_instance}"
            )
            effects.append(LogEvent("error", "config-ahead-of-all", versions))
        if not self.report_in_flight and (
            self.last_report_at is None or now >= self.last_report_at + self.report_interval_us
        ):
            effects.append(self._next_report(now))
        return effects + self._switch_instance(now, Loss.BROKEN)

    def _switch_instance(
        self, now: int, loss: Loss, elapsed_us: int = 0, min_wait_us: int = 0
    ) -> list[Effect]:
        """Leave the current instance and schedule the connection to the next one."""
        self.phase, self.switch_at = Phase.DISCONNECTED, None
        self.unhealthy.add(self.current_instance)
        self._note_apart_since(now - elapsed_us)
        if self.return_instance is not None and self.current_instance != self.return_instance:
            # No instance knows a leader: after one failed try elsewhere, return to the one that answers
            self.current_instance = self.return_instance
            self.next_try_at = now + MIN_RETRY_INTERVAL_US + self._random.draw(RETRY_JITTER_US)
            return []
        self.return_instance = None
        self._choose_next_instance()
        if self.schedule.outage_since is not None and self.immediate_retries < self._max_immediate_retries(
            loss
        ):
            self.immediate_retries += 1
            self.next_try_at = now + min_wait_us + MIN_RETRY_INTERVAL_US + self._random.draw(RETRY_JITTER_US)
            return []
        self.immediate_retries = 0
        self.next_try_at = self.schedule.lost(now, loss, elapsed_us, min_wait_us)
        return []

    def _max_immediate_retries(self, loss: Loss) -> int:
        """The number of further instances to try at once after a loss.

        After a refusal all others may be tried, as the network path works. After a time-out the machine may
        be down, and one more is tried, so that a few failed machines cost no period. More tries would bring a
        fleet that was cut off back within one second."""
        return {Loss.REFUSED: self.instance_count - 1, Loss.LATE: 1}.get(loss, 0)

    def _choose_next_instance(self) -> None:
        """Choose the next instance in this front's order, a healthy one if there is any."""
        positions = [
            (self._position + offset) % self.instance_count for offset in range(1, self.instance_count + 1)
        ]
        others = [
            position for position in positions if self._instance_order[position] != self.current_instance
        ] or positions
        healthy = (position for position in others if self._instance_order[position] not in self.unhealthy)
        self._position = next(healthy, others[0])
        self.current_instance = self._instance_order[self._position]

    def _reject_input(self, now: int, reason: str, detail: str) -> list[Effect]:
        """Count unusable input, log it once per instance and reason, and leave the instance."""
        self.counts[reason] += 1
        effects: list[Effect] = [Disconnect()]
        if self._first_for_instance(reason):
            effects.append(
                LogEvent("warning", f"config-{reason}", f"instance {self.current_instance}: {detail}")
            )
        self._drop_unverified()
        return effects + self._switch_instance(now, Loss.BROKEN)

    def _first_for_instance(self, subject: str) -> bool:
        """Whether a subject is logged for the first time for the current instance."""
        new = (self.current_instance, subject) not in self.logged
        self.logged.add((self.current_instance, subject))
        return new

    def _first_for_front(self, subject: str) -> bool:
        """Whether a subject is logged for the first time for this front since the condition last ended."""
        new = (-1, subject) not in self.logged
        self.logged.add((-1, subject))
        return new

    # Versions

    def _schedule_evaluation(self, now: int) -> None:
        """Schedule the evaluation of versions that arrived during a write, after the effects of this call."""
        if self.unverified.number > max(self.version, self.refused[0]) and self.evaluate_at is None:
            self.evaluate_at = now

    def _evaluate_newest(self, now: int) -> list[Effect]:
        """Verify the newest state held, and write the newest usable one of the burst to put it in force."""
        if self.pending_write is not None:
            return []  # `write_finished` schedules the next evaluation
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
        site, reason = self._usable_site(state)
        effects: list[Effect] = []
        if site is None:
            self.counts["refused"] += 1
            self.refused = (state.number, reason)
            self._schedule_report(now)
            effects.append(
                LogEvent("warning", "config-refused", f"version {state.number} can't be used: {reason}")
            )
            for candidate in reversed(earlier):
                if (
                    self._newer_than_in_force(candidate.number)
                    and self._verify_digest(candidate)
                    and (site := self._usable_site(candidate)[0])
                ):
                    state = candidate
                    break
        if site is not None and not self._persists_first():
            effects.append(self._put_in_force(now, state, site))
            site = None
        return [*effects, *self._persist(state, site)]

    def _verify_digest(self, state: State) -> bool:
        """Whether a state built from steps has the digest stated; replaces that by the computed one."""
        digest = digest_of(assembled(state.items, state.forms))
        matches = self._digest_matches(digest, state.digest)
        state.digest = digest
        return matches

    def _drop_unverified(self) -> None:
        self.unverified = self.verified
        self.burst.clear()

    def _usable_site(self, state: State) -> tuple[Site | None, str]:
        """The site of a state, or the reason why it can't be in force here."""
        try:
            site = self._check_site(state)
        except SettingsError as problem:
            return None, str(problem.problems[0])[:MAX_REASON_CHARS]
        except RecursionError:
            return None, "forms nested too deeply"
        reasons = self._rejection_reasons(site)
        return (None, "; ".join(reasons)[:MAX_REASON_CHARS]) if reasons else (site, "")

    def _check_site(self, state: State) -> Site:
        """Check a state as a site file is checked. Raises SettingsError."""
        return check([assembled(state.items, state.forms)], "<configuration>", self.folder)

    def _put_in_force(self, now: int, state: State, site: Site) -> PutInForce:
        self.in_force, self.version, self.digest = state, state.number, state.digest
        self.floor, self.in_force_since = max(self.floor, state.number), now
        if self.refused[0] <= state.number:
            self.refused = (0, "")
        self.counts["taken"] += 1
        self._schedule_report(now)
        return PutInForce(state.number, state.digest, site)

    # Storage

    def _persist(self, state: State, site: Site | None) -> list[Effect]:
        """Write the state in force and the newest verified one, if that is later.

        With a `site`, `state` counts as in force and takes effect when the write is durable."""
        self.writes_started += 1
        self.pending_write = (self.writes_started, state, site)
        in_force = state if site is not None else self.in_force
        newest = self.verified.to_stored() if self.verified.number > in_force.number else None
        body = msgspec.msgpack.encode(_StoredBody(in_force.to_stored(), newest))
        floor = max(in_force.number, self.floor)
        header = _StoredHeader(STORED_FORMAT, floor, self.life, len(body), xxhash.xxh3_64_hexdigest(body))
        header = msgspec.structs.replace(header, own=header.checksum())
        return [Persist(self.writes_started, msgspec.json.encode(header) + b"\n" + body)]

    def _write_failed(self, now: int, state: State) -> list[Effect]:
        self.counts["not-kept"] += 1
        effects: list[Effect] = []
        if self._first_for_front("not-kept"):
            effects.append(
                LogEvent("error", "config-not-kept", f"version {state.number} could not be written to disk")
            )
        if self.fallback is not None:
            effects.append(self._put_in_force(now, *self.fallback))
            self.fallback = None
        self.evaluate_at = now + WRITE_RETRY_INTERVAL_US
        return effects

    def _restore(self, stored_bytes: bytes) -> tuple[State, State]:
        """The stored state in force and the newest stored state.

        Sets the floor and the life if the header is readable. Raises UnusableError if there is stored data
        that can't be used."""
        if not stored_bytes:
            return State(), State()
        if len(stored_bytes) > MAX_STORED_BYTES:
            raise UnusableError(f"stored file of {len(stored_bytes)} bytes, at most {MAX_STORED_BYTES}")
        header_line, _, body = stored_bytes.partition(b"\n")
        try:
            header = msgspec.json.decode(header_line, type=_StoredHeader)
        except msgspec.MsgspecError:
            raise UnusableError("stored file has no readable header") from None
        if header.own != header.checksum():
            raise UnusableError("stored file has a damaged header")
        # If the wall clock was set back, the reports of this life would otherwise count as outdated
        self.floor, self.life = header.floor, max(self.life, header.life + 1)
        if header.format != STORED_FORMAT:
            raise UnusableError(f"stored file has format {header.format}, expected {STORED_FORMAT}")
        if len(body) < header.size:
            raise UnusableError(f"stored file is truncated: {len(body)} of {header.size} bytes")
        if xxhash.xxh3_64_hexdigest(body) != header.body:
            raise UnusableError("stored file has a damaged body")
        try:
            stored = msgspec.msgpack.decode(body, type=_StoredBody)
            in_force = self._decode_state(stored.in_force)
            return in_force, in_force if stored.newest is None else self._decode_state(stored.newest)
        except (msgspec.MsgspecError, MalformedError, RecursionError) as problem:
            raise UnusableError(f"stored file can't be decoded: {str(problem)[:MAX_REASON_CHARS]}") from None

    def _decode_state(self, stored: _StoredState) -> State:
        """Raises MalformedError."""
        forms = {key: form_of(key, text) for key, text, _ in stored.items}
        items = {key: Item(text, stored.number, place) for key, text, place in stored.items}
        char_count = sum(len(item.text) for item in items.values())
        digest = digest_of(assembled(items, forms)) if items else ""
        return State(stored.number, items, forms, digest, char_count)

    # Reports

    def _schedule_report(self, now: int) -> None:
        """Schedule a report in this front's share of the next second, `report_interval_us` after the last one
        at the earliest."""
        if self.report_at is None:
            slot = SECOND // max(self.front_count, 1)
            delay = slot * self.front_number + self._random.draw(max(slot, 1))
            earliest = 0 if self.last_report_at is None else self.last_report_at + self.report_interval_us
            self.report_at = max(now + delay, earliest)

    def _send_due_report(self, now: int) -> list[Effect]:
        if self.phase is Phase.DISCONNECTED or not self.usable_line_received:
            self.report_at = None  # the first usable line schedules it anew
            return []
        if self.last_report_at is not None:
            # An unanswered report is given up after two report intervals
            next_report_at = (
                self.last_report_at + (2 if self.report_in_flight else 1) * self.report_interval_us
            )
            if now < next_report_at:
                self.report_at = next_report_at
                return []
        self.report_at = None
        return [self._next_report(now)]

    def _next_report(self, now: int) -> SendReport:
        self.reports_made, self.report_in_flight, self.last_report_at = self.reports_made + 1, True, now
        refused, reason = self.refused
        apart_ms = 0 if self.apart_since is None else (now - self.apart_since) // 1000
        age_ms = (now - self.in_force_since) // 1000 if self.version else 0
        report = Report(
            self.front_number,
            self.life,
            self.reports_made,
            self.version,
            self.digest,
            age_ms,
            self.head,
            refused,
            reason,
            apart_ms,
        )
        return SendReport(self.current_instance, report)
