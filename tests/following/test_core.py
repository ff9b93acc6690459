"""The core of a configuration follower: the effects of single events, free of I/O."""

from collections import Counter
from pathlib import Path

import msgspec
import pytest

from ponddoor.config.followers import BASE, committed
from ponddoor.config.machine import Change, Machine, assembled, digest_of, packed, taken_apart
from ponddoor.front.follower import (
    MAX_LINE_BYTES,
    OUTAGE_RETRY_PERIOD_US,
    Disconnect,
    Effect,
    Fetch,
    Follower,
    LogEvent,
    Persist,
    Phase,
    PutInForce,
    SendReport,
    Watch,
)
from ponddoor.front.reconnect import MIN_RETRY_INTERVAL_US, REDIRECT_LIMIT_US, Loss, ReconnectSchedule
from ponddoor.settings.sexpr import parse
from ponddoor.settings.site import Site

SECOND = 1_000_000  # in us
VERSIONS = committed()  # version n is the entry n - 1


def is_usable(number: int) -> bool:
    """Whether the fronts of these tests can use a version: the `held` limit of its site must not end in 7."""
    return "7))" not in VERSIONS[number - 1].text.split("(limits")[1].split("\n")[0]


class FrontHarness:
    """A follower with a disk in memory, a simulated clock, and effects that are carried out at once.

    `refuse_all` makes the front refuse every site, `fail_writes` makes every write fail."""

    def __init__(
        self, stored: bytes = b"", front_number: int = 0, fronts: int = 10, instances: int = 5
    ) -> None:
        self.refuse_all = self.fail_writes = False
        self.core = Follower(front_number, fronts, instances, 7, 3 * SECOND, Path(), self.reasons_against)
        self.now, self.disk, self.effects = 1000 * SECOND, stored, list[Effect]()
        self.carry_out(self.core.begin(self.now, 1, stored))

    def reasons_against(self, site: Site) -> tuple[str, ...]:
        return ("no front can",) if site.limits.held % 10 == 7 or self.refuse_all else ()

    def carry_out(self, effects: list[Effect]) -> "FrontHarness":
        """Record effects; writes and reports finish at once."""
        for effect in effects:
            self.effects.append(effect)
            if isinstance(effect, Persist):
                assert self.core.pending_write is not None
                self.disk = self.disk if self.fail_writes else effect.data
                self.carry_out(self.core.write_finished(self.now, effect.number, not self.fail_writes))
            if isinstance(effect, SendReport):
                self.carry_out(self.core.report_finished(self.now, True))
        return self

    def advance(self, duration_us: int) -> "FrontHarness":
        """Advance the clock and run what falls due; no input arrives."""
        end = self.now + duration_us
        while (due := self.core.next_due) is not None and due <= end:
            self.now = max(due, self.now)
            self.carry_out(self.core.run_due(self.now))
        self.now = end
        return self

    def load(self, number: int) -> "FrontHarness":
        """Connect to an instance and receive the full state of a version, which is then evaluated."""
        while self.core.phase is Phase.DISCONNECTED:
            self.advance(SECOND // 10)
        version = VERSIONS[number - 1]
        self.carry_out(
            self.core.receive_full_state(
                self.now, self.core.current_instance, number, version.text, version.digest
            )
        )
        return self.advance(0)

    def receive_line(self, data: bytes) -> "FrontHarness":
        return self.carry_out(self.core.receive_line(self.now, self.core.current_instance, data))

    def receive_versions(self, first: int, last: int) -> "FrontHarness":
        """Receive the lines of versions `first` to `last` in a burst, which is then evaluated."""
        for version in VERSIONS[first - 1 : last]:
            self.receive_line(version.line)
        return self.advance(SECOND // 5)

    def receive_heartbeat(self, number: int, apart: bool = False) -> "FrontHarness":
        return self.receive_line(msgspec.json.encode({"beat": number, "apart": apart}))

    def versions_in_force(self) -> list[int]:
        """The numbers of all versions that were put in force, in order."""
        return [effect.number for effect in self.effects if isinstance(effect, PutInForce)]

    def last_effect(self, kind: type[Effect]) -> Effect | None:
        return next((effect for effect in reversed(self.effects) if isinstance(effect, kind)), None)

    def logged_events(self) -> list[str]:
        return [effect.event for effect in self.effects if isinstance(effect, LogEvent)]


# The first of six usable versions in a row
USABLE = next(
    number
    for number in range(10, 100)
    if all(is_usable(candidate) for candidate in range(number, number + 6))
)
# An unusable version after two usable ones
UNUSABLE = next(
    number
    for number in range(5, 100)
    if is_usable(number - 1) and not is_usable(number) and is_usable(number - 2)
)


@pytest.mark.parametrize("first", [1, 30, 77])
def test_steps_applied_to_a_full_state_give_the_states_of_the_state_machine(first: int) -> None:
    front = FrontHarness().load(first)
    for version in VERSIONS[first:]:
        front.receive_line(version.line).advance(SECOND // 5)
        assert (front.core.verified.number, front.core.verified.digest) == (version.number, version.digest)
    assert front.core.counts["fetches"] == 1 and front.core.counts["differs"] == 0


def test_items_keep_their_order_after_the_first_item_of_a_kind_is_removed() -> None:
    machine = Machine()
    machine.apply(1, packed(Change("a", "b", 1, taken_apart(parse(BASE, "-")))))
    group = "(group {} (start-target 1s) (setup-timeout 2s))"
    front = FrontHarness().load(1)
    for number, (sets, drops) in enumerate(
        [
            ({"groups/z": group.format("z"), "groups/a": group.format("a")}, []),
            ({"titles/z": "(title z (home 0) (span 1))", "groups/b": group.format("b")}, ["groups/film"]),
            ({"groups/film": group.format("film"), "groups/news": group.format("news")}, ["titles/opera"]),
        ],
        2,
    ):
        machine.apply(number, packed(Change("a", "b", 1, sets, drops)))
        steps = [
            {
                "key": step.key,
                "before": step.before,
                "after": step.after,
                "place": machine.items[step.key].place if step.after else 0,
            }
            for step in machine.history[-1].steps
        ]
        digest = digest_of(assembled(machine.items))
        front.receive_line(
            msgspec.json.encode({"version": number, "steps": steps, "digest": digest})
        ).advance(SECOND)
        assert (front.core.version, front.core.digest) == (number, digest)
    assert machine.site is not None
    assert machine.site.group_names() == ("news", "z", "a", "b", "film")


def test_a_version_is_on_disk_before_it_is_in_force() -> None:
    front = FrontHarness().load(USABLE)
    front.core.receive_line(front.now, front.core.current_instance, VERSIONS[USABLE].line)
    front.now += SECOND // 5
    [persist] = [effect for effect in front.core.run_due(front.now) if not isinstance(effect, SendReport)]
    assert isinstance(persist, Persist) and front.core.version == USABLE
    [put_in_force] = front.core.write_finished(front.now, persist.number, True)
    assert (
        isinstance(put_in_force, PutInForce)
        and put_in_force.number == USABLE + 1
        and front.core.write_finished(front.now, persist.number, True) == []
    )
    restarted = FrontHarness(persist.data)
    assert restarted.versions_in_force() == [USABLE + 1] and restarted.core.digest == VERSIONS[USABLE].digest


def test_the_life_of_a_restarted_front_increases_even_if_the_wall_clock_does_not() -> None:
    front = FrontHarness().load(USABLE)
    lives = [front.core.life]
    for _ in range(3):
        front = FrontHarness(front.disk)  # begins with the same wall clock time
        lives.append(front.core.life)
    assert lives == [1, 2, 3, 4]


def test_only_the_last_version_of_a_burst_is_put_in_force_and_a_steady_stream_is_not_deferred() -> None:
    front = FrontHarness().load(USABLE).receive_versions(USABLE + 1, USABLE + 5)
    assert front.versions_in_force() == [USABLE, USABLE + 5]
    front = FrontHarness().load(1)
    for version in VERSIONS[1:101]:
        front.receive_line(version.line).advance(SECOND // 20)
    assert len(front.versions_in_force()) > 10


def test_repeated_lines_and_input_of_another_instance_change_nothing() -> None:
    front = (
        FrontHarness()
        .load(USABLE)
        .receive_versions(USABLE + 1, USABLE + 1)
        .receive_versions(USABLE - 3, USABLE + 1)
    )
    assert front.versions_in_force() == [USABLE, USABLE + 1] and front.core.counts["doubled"] == 5
    other_instance = (front.core.current_instance + 1) % 5
    assert front.core.receive_line(front.now, other_instance, VERSIONS[USABLE + 1].line) == []
    assert front.core.receive_full_state(front.now, other_instance, 99, VERSIONS[98].text) == []
    assert (
        front.core.connection_lost(front.now, other_instance, Loss.BROKEN) == []
        and front.core.counts["late"] == 3
    )


@pytest.mark.parametrize("data", [
    b"", b"{}", b"[[", b"\xff\xfe", b'{"beat":-1}', b'{"version":0}', b'{"version":"4"}', b'{"beat":1e99}',
    b'{"version":%d,"steps":[{"key":"limits"}]}' % (USABLE + 1), b"[" * 100_000, b" " * (MAX_LINE_BYTES + 1),
    b'{"version":9007199254740993}', VERSIONS[USABLE].line[:-9],
    b'{"version":%d,"steps":[{"key":"x/y","before":null,"after":"(x"}]}' % (USABLE + 1),
    b'{"version":%d,"steps":[{"key":"titles/q","before":null,"after":"%s"}]}' % (USABLE + 1, b"(" * 50_000),
], ids=range(15))  # fmt: skip
def test_a_malformed_line_is_counted_and_its_instance_left(data: bytes) -> None:
    front = FrontHarness().load(USABLE).receive_heartbeat(USABLE)
    first_instance = front.core.current_instance
    front.receive_line(data)
    assert front.core.counts["nonsense"] + front.core.counts["oversize"] == 1
    assert (
        isinstance(front.last_effect(Disconnect), Disconnect)
        and front.core.current_instance != first_instance
    )
    front.advance(2 * SECOND)
    assert (
        isinstance(front.last_effect(Watch), Watch)
        and front.core.version == front.core.verified.number == USABLE
    )
    for _ in range(3 * 5):
        front.receive_line(data).advance(20 * SECOND)
    assert (
        Counter(front.logged_events())["config-nonsense"] + Counter(front.logged_events())["config-oversize"]
        <= 5
    )


def test_a_gap_reopens_the_watch_and_a_second_gap_leaves_the_instance() -> None:
    front = FrontHarness().load(USABLE).receive_line(VERSIONS[USABLE + 1].line)
    assert front.last_effect(Watch) == Watch(front.core.current_instance, USABLE)
    first_instance = front.core.current_instance
    front.receive_line(VERSIONS[USABLE + 1].line)  # the instance lacks the missing version as well
    assert front.core.current_instance != first_instance and front.core.counts["gap"] == 2


def test_heartbeats_of_a_version_that_does_not_arrive_reopen_the_watch() -> None:
    front = FrontHarness().load(USABLE)
    for _ in range(3):
        front.receive_heartbeat(USABLE + 2).advance(SECOND)
    assert front.core.counts["missing-lines"] == 1 and front.last_effect(Watch) == Watch(
        front.core.current_instance, USABLE
    )
    front.receive_versions(USABLE + 1, USABLE + 2).receive_heartbeat(USABLE + 2)
    assert front.core.version == USABLE + 2


@pytest.mark.parametrize("wrong_field", ["digest", "before"])
def test_a_version_with_a_wrong_digest_or_item_text_is_not_applied_in_part(wrong_field: str) -> None:
    line = msgspec.json.decode(VERSIONS[USABLE + 1].line)
    if wrong_field == "digest":
        line["digest"] = "0" * 16
    else:
        line["steps"][0]["before"] = "(limits (held 3))"
    front = FrontHarness().load(USABLE).receive_versions(USABLE + 1, USABLE + 1)
    front.receive_line(msgspec.json.encode(line)).advance(SECOND // 5)
    assert front.versions_in_force() == [USABLE, USABLE + 1] and front.core.unverified is front.core.verified
    assert front.core.phase is Phase.FETCHING and front.core.counts["fetches"] == 2
    front.load(USABLE + 2)
    assert front.versions_in_force() == [USABLE, USABLE + 1, USABLE + 2]


@pytest.mark.parametrize(
    "text, digest",
    [
        ("", ""),
        ("(site", ""),
        ("(" * 50_000, ""),
        (VERSIONS[40].text, VERSIONS[41].digest),
        (VERSIONS[40].text[:-9], ""),
        ("(cluster x)", ""),
    ],
    ids=range(6),
)
def test_a_malformed_full_state_is_refused_and_its_instance_left(text: str, digest: str) -> None:
    front = FrontHarness().load(USABLE - 1).receive_versions(USABLE, USABLE)
    front.carry_out(front.core.history_unavailable(front.now, front.core.current_instance))
    assert front.last_effect(Fetch) == Fetch(front.core.current_instance)
    front.carry_out(front.core.receive_full_state(front.now, front.core.current_instance, 41, text, digest))
    assert front.core.verified.number == USABLE and front.core.counts["nonsense"] == 1
    assert front.core.phase is Phase.DISCONNECTED


def test_the_last_usable_version_stays_in_force_until_the_next_usable_one() -> None:
    front = FrontHarness().load(UNUSABLE - 1).receive_versions(UNUSABLE, UNUSABLE)
    assert front.versions_in_force() == [UNUSABLE - 1] and front.core.refused == (UNUSABLE, "no front can")
    for _ in range(6):
        front.receive_heartbeat(UNUSABLE).advance(SECOND)
    sent = front.last_effect(SendReport)
    assert isinstance(sent, SendReport) and (sent.report.version, sent.report.refused) == (
        UNUSABLE - 1,
        UNUSABLE,
    )
    next_usable = next(number for number in range(UNUSABLE, 120) if is_usable(number))
    front = (
        FrontHarness()
        .load(UNUSABLE - 1)
        .receive_versions(UNUSABLE, UNUSABLE)
        .receive_versions(UNUSABLE + 1, next_usable)
    )
    assert front.versions_in_force() == [UNUSABLE - 1, next_usable] and front.core.refused == (0, "")


def test_the_usable_version_before_an_unusable_one_of_the_same_burst_is_put_in_force() -> None:
    front = FrontHarness().load(UNUSABLE - 2).receive_versions(UNUSABLE - 1, UNUSABLE)
    assert front.versions_in_force() == [UNUSABLE - 2, UNUSABLE - 1] and front.core.refused[0] == UNUSABLE


def test_a_version_refused_in_service_is_put_in_force_at_the_next_start() -> None:
    front = FrontHarness().load(USABLE)
    front.refuse_all = True
    front.receive_versions(USABLE + 1, USABLE + 1)
    assert front.versions_in_force() == [USABLE]
    restarted = FrontHarness(front.disk)
    assert [type(effect) for effect in restarted.effects] == [
        Persist,
        PutInForce,
    ] and restarted.versions_in_force() == [USABLE + 1]
    assert FrontHarness(restarted.disk).versions_in_force() == [USABLE + 1]


def test_a_refused_first_version_is_put_in_force_at_the_next_start() -> None:
    core = Follower(0, 10, 5, 7, 3 * SECOND, Path(), lambda site: ("not in service",))
    core.begin(0, 1, b"")
    core.run_due(core.next_due or 0)
    core.receive_full_state(
        SECOND, core.current_instance, USABLE, VERSIONS[USABLE - 1].text, VERSIONS[USABLE - 1].digest
    )
    [persist] = [effect for effect in core.run_due(SECOND) if isinstance(effect, Persist)]
    restarted = FrontHarness(persist.data)
    assert restarted.versions_in_force() == [USABLE] and restarted.core.refused == (0, "")
    still_refusing = Follower(0, 10, 5, 7, 3 * SECOND, Path(), lambda site: ("not in service",))
    assert still_refusing.begin(0, 2, persist.data) == [] and still_refusing.refused[0] == USABLE


def test_a_version_that_can_not_be_written_is_not_put_in_force() -> None:
    front = FrontHarness().load(USABLE)
    front.fail_writes = True
    front.receive_versions(USABLE + 1, USABLE + 1)
    for _ in range(20):
        front.receive_heartbeat(USABLE + 1).advance(SECOND)
    assert front.versions_in_force() == [USABLE] and front.logged_events().count("config-not-kept") == 1
    assert front.core.counts["not-kept"] > 2
    front.fail_writes = False
    for _ in range(6):
        front.receive_heartbeat(USABLE + 1).advance(SECOND)
    assert front.versions_in_force() == [USABLE, USABLE + 1]


def test_a_start_with_a_failing_disk_puts_the_stored_version_in_force() -> None:
    front = FrontHarness().load(USABLE)
    front.refuse_all = True
    front.receive_versions(USABLE + 1, USABLE + 1)
    core = Follower(0, 10, 5, 7, 3 * SECOND, Path(), lambda site: ())
    [persist] = core.begin(0, 2, front.disk)
    assert isinstance(persist, Persist)
    versions = [
        effect for effect in core.write_finished(0, persist.number, False) if isinstance(effect, PutInForce)
    ]
    assert [version.number for version in versions] == [USABLE]


@pytest.mark.parametrize("damage", ["truncated", "body", "header", "format", "oversize"])
def test_a_damaged_stored_file_is_not_used_and_its_floor_kept_if_the_header_is_intact(damage: str) -> None:
    stored = FrontHarness().load(USABLE).disk
    line_end = stored.index(b"\n")
    damaged = {
        "truncated": stored[:-5],
        "body": stored[: line_end + 50] + b"?" + stored[line_end + 51 :],
        "header": stored[:20] + b"9" + stored[21:],
        "format": stored.replace(b'"format":1', b'"format":2', 1),
        "oversize": stored + b" " * 20_000_000,
    }[damage]
    front = FrontHarness(damaged)
    assert front.logged_events() == ["config-kept-unusable"] and front.versions_in_force() == []
    # The header has a checksum of its own
    assert front.core.floor == (USABLE if damage in ("truncated", "body") else 0)
    front.load(USABLE - 1)
    assert front.versions_in_force() == ([] if front.core.floor == USABLE else [USABLE - 1])
    front.receive_line(VERSIONS[USABLE - 1].line) if front.core.phase is Phase.WATCHING else front.load(
        USABLE
    )
    assert front.advance(SECOND).versions_in_force()[-1] == USABLE


def test_no_front_returns_to_an_older_version_of_a_cluster_that_lost_its_disks() -> None:
    front = FrontHarness(FrontHarness().load(USABLE).disk)
    for _ in range(10):
        while front.core.phase is Phase.DISCONNECTED:
            front.advance(SECOND // 10)
        front.carry_out(
            front.core.receive_full_state(
                front.now, front.core.current_instance, 1, VERSIONS[0].text, VERSIONS[0].digest
            )
        )
    assert front.versions_in_force() == [USABLE] and front.logged_events().count("config-ahead-of-all") == 1
    sent = front.last_effect(SendReport)
    assert isinstance(sent, SendReport) and sent.report.version == USABLE
    front = FrontHarness().load(USABLE).receive_heartbeat(USABLE)
    front.carry_out(front.core.history_unavailable(front.now, front.core.current_instance, 1))
    # The full state of an instance that lags is not requested
    assert front.core.counts["fetches"] == 1 and front.core.counts["lagging"] == 1
    front.advance(2 * SECOND)
    front.carry_out(front.core.history_unavailable(front.now, front.core.current_instance, 99))
    assert front.last_effect(Fetch) == Fetch(front.core.current_instance)


def test_a_different_state_under_the_version_number_held_is_logged() -> None:
    front = FrontHarness(FrontHarness().load(USABLE).disk)
    while front.core.phase is Phase.DISCONNECTED:
        front.advance(SECOND // 10)
    front.carry_out(
        front.core.receive_full_state(
            front.now, front.core.current_instance, USABLE, VERSIONS[0].text, VERSIONS[0].digest
        )
    )
    assert "config-forked" in front.logged_events() and front.core.digest == VERSIONS[USABLE - 1].digest


def test_a_version_number_that_no_other_instance_names_does_not_cost_connections_for_ever() -> None:
    front = FrontHarness().load(USABLE).receive_heartbeat(10**9)
    for _ in range(200):
        if front.core.phase is not Phase.DISCONNECTED:
            front.receive_heartbeat(USABLE)
        front.advance(SECOND // 2)
    assert front.core.head == USABLE and front.core.phase is Phase.WATCHING
    watches_before = front.core.counts["watches"]
    for _ in range(60):
        front.receive_heartbeat(USABLE).advance(SECOND)
    assert front.core.counts["watches"] == watches_before


def test_a_silent_or_leaderless_instance_is_left_and_few_tries_are_made_while_all_are_leaderless() -> None:
    front = FrontHarness().load(USABLE)
    first_instance = front.core.current_instance
    front.advance(3 * SECOND)
    assert front.core.current_instance != first_instance and front.core.counts["silent"] == 1
    front = FrontHarness().load(USABLE)
    for _ in range(40):
        if front.core.phase is Phase.WATCHING:
            front.receive_heartbeat(USABLE, apart=True)
        front.advance(SECOND // 2)
    assert front.core.unhealthy == set(range(5)) and front.logged_events().count("config-apart") == 1
    watches_before = front.core.counts["watches"]
    for _ in range(600):
        if front.core.phase is Phase.WATCHING:
            front.receive_heartbeat(USABLE, apart=True)
        front.advance(SECOND // 2)
    assert front.core.counts["watches"] - watches_before <= 20 and front.core.version == USABLE
    while front.core.phase is Phase.DISCONNECTED:
        front.advance(SECOND // 10)
    front.receive_heartbeat(USABLE)
    assert front.core.apart_since is None and "config-together" in front.logged_events()


def test_the_fronts_of_a_failed_instance_spread_evenly_over_the_others_and_over_time() -> None:
    fleet = [
        FrontHarness(front_number=number, fronts=820).load(USABLE).receive_heartbeat(USABLE)
        for number in range(0, 820, 5)
    ]
    for front in fleet:
        front.carry_out(front.core.connection_lost(front.now, 0, Loss.BROKEN))
    # 164 fronts spread over the 4 remaining instances
    assert max(Counter(front.core.current_instance for front in fleet).values()) == 41
    waits = sorted((front.core.next_try_at or 0) - front.now for front in fleet)
    assert waits[-1] <= 2 * SECOND // 3 + MIN_RETRY_INTERVAL_US and waits[82] >= 2 * SECOND // 9


def test_tries_during_a_long_outage_are_spread_evenly_over_each_second() -> None:
    schedules = [
        ReconnectSchedule(number, 820, SECOND, number, period=OUTAGE_RETRY_PERIOD_US) for number in range(820)
    ]
    first_tries = [schedule.lost(0, Loss.LATE) for schedule in schedules]
    later_tries = []
    for schedule, moment in zip(schedules, first_tries, strict=True):
        while moment < 100 * SECOND:
            moment = schedule.lost(moment, Loss.LATE)
            later_tries += [moment] if moment >= REDIRECT_LIMIT_US + OUTAGE_RETRY_PERIOD_US else []
    tries_by_second = Counter(
        moment // SECOND for moment in later_tries if 20 * SECOND <= moment < 100 * SECOND
    )
    # 820 fronts, each of which tries once in 4 s
    assert set(tries_by_second.values()) == {205} and len(tries_by_second) == 80


def test_a_change_is_reported_and_the_rate_of_reports_is_limited() -> None:
    front = FrontHarness(front_number=3).load(USABLE).receive_heartbeat(USABLE).advance(SECOND)
    assert sum(isinstance(effect, SendReport) for effect in front.effects) == 1
    for number in range(USABLE + 1, USABLE + 5):
        front.receive_versions(number, number).receive_heartbeat(number).advance(SECOND)
    for _ in range(8):
        front.receive_heartbeat(USABLE + 4).advance(SECOND)
    reports = [effect.report for effect in front.effects if isinstance(effect, SendReport)]
    assert len(reports) <= 3 and (reports[-1].version, reports[-1].digest) == (
        USABLE + 4,
        VERSIONS[USABLE + 3].digest,
    )
    assert [report.number for report in reports] == list(range(1, len(reports) + 1))
