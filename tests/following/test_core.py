"""The core of a front that follows the configuration: its answers one by one."""

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

SECOND = 1_000_000
LOG = committed()


def good(number: int) -> bool:
    """Whether fronts that refuse `held` with 7 at its end take this version."""
    return "7))" not in LOG[number - 1].text.split("(limits")[1].split("\n")[0]


class Front:
    """A core, its disk, and the world as far as a test plays it."""

    def __init__(self, kept: bytes = b"", me: int = 0, fronts: int = 10, instances: int = 5) -> None:
        self.refuses = self.fails = False
        self.core = Follower(me, fronts, instances, 7, 3 * SECOND, Path(), self.usable)
        self.now, self.disk, self.done = 1000 * SECOND, kept, list[Effect]()
        self.on(self.core.begin(self.now, 1, kept))

    def usable(self, site: Site) -> tuple[str, ...]:
        return ("no front can",) if site.limits.held % 10 == 7 or self.refuses else ()

    def on(self, effects: list[Effect]) -> "Front":
        """Carry out, with each writing done at once."""
        for effect in effects:
            self.done.append(effect)
            if isinstance(effect, Persist):
                assert self.core.pending_write is not None
                self.disk = self.disk if self.fails else effect.data
                self.on(self.core.write_finished(self.now, effect.number, not self.fails))
            if isinstance(effect, SendReport):
                self.on(self.core.report_finished(self.now, True))
        return self

    def wait(self, time: int) -> "Front":
        """Let time pass, with nothing that comes."""
        end = self.now + time
        while (due := self.core.next_due) is not None and due <= end:
            self.now = max(due, self.now)
            self.on(self.core.run_due(self.now))
        self.now = end
        return self

    def begun(self, number: int) -> "Front":
        """With an instance that has a version, which is in force."""
        while self.core.phase is Phase.AWAY:
            self.wait(SECOND // 10)
        held = LOG[number - 1]
        self.on(
            self.core.receive_full_state(self.now, self.core.current_instance, number, held.text, held.digest)
        )
        return self.wait(0)

    def line(self, data: bytes) -> "Front":
        return self.on(self.core.receive_line(self.now, self.core.current_instance, data))

    def lines(self, first: int, last: int) -> "Front":
        for held in LOG[first - 1 : last]:
            self.line(held.line)
        return self.wait(SECOND // 5)

    def beat(self, number: int, apart: bool = False) -> "Front":
        return self.line(msgspec.json.encode({"beat": number, "apart": apart}))

    def taken(self) -> list[int]:
        return [effect.number for effect in self.done if isinstance(effect, PutInForce)]

    def last(self, kind: type[Effect]) -> Effect | None:
        return next((effect for effect in reversed(self.done) if isinstance(effect, kind)), None)

    def said(self) -> list[str]:
        return [effect.event for effect in self.done if isinstance(effect, LogEvent)]


FIRST = next(number for number in range(10, 100) if all(good(one) for one in range(number, number + 6)))
BAD = next(number for number in range(5, 100) if good(number - 1) and not good(number) and good(number - 2))


@pytest.mark.parametrize("first", [1, 30, 77])
def test_steps_from_a_whole_state_lead_where_the_machine_is(first: int) -> None:
    front = Front().begun(first)
    for held in LOG[first:]:
        front.line(held.line).wait(SECOND // 5)
        assert (front.core.verified.number, front.core.verified.digest) == (held.number, held.digest)
    assert front.core.counts["fetches"] == 1 and front.core.counts["differs"] == 0


def test_parts_keep_their_order_where_a_form_came_first_by_one_that_is_gone() -> None:
    machine = Machine()
    machine.apply(1, packed(Change("a", "b", 1, taken_apart(parse(BASE, "-")))))
    part = "(group {} (start-target 1s) (setup-timeout 2s))"
    front = Front().begun(1)
    for index, (sets, drops) in enumerate(
        [
            ({"groups/z": part.format("z"), "groups/a": part.format("a")}, []),
            ({"titles/z": "(title z (home 0) (span 1))", "groups/b": part.format("b")}, ["groups/film"]),
            ({"groups/film": part.format("film"), "groups/news": part.format("news")}, ["titles/opera"]),
        ],
        2,
    ):
        machine.apply(index, packed(Change("a", "b", 1, sets, drops)))
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
        front.line(msgspec.json.encode({"version": index, "steps": steps, "digest": digest})).wait(SECOND)
        assert (front.core.version, front.core.digest) == (index, digest)
    assert machine.site is not None
    assert machine.site.group_names() == ("news", "z", "a", "b", "film")


def test_a_version_is_kept_before_it_is_in_force() -> None:
    front = Front().begun(FIRST)
    front.core.receive_line(front.now, front.core.current_instance, LOG[FIRST].line)
    front.now += SECOND // 5
    [keep] = [effect for effect in front.core.run_due(front.now) if not isinstance(effect, SendReport)]
    assert isinstance(keep, Persist) and front.core.version == FIRST
    [take] = front.core.write_finished(front.now, keep.number, True)
    assert (
        isinstance(take, PutInForce)
        and take.number == FIRST + 1
        and front.core.write_finished(front.now, keep.number, True) == []
    )
    again = Front(keep.data)
    assert again.taken() == [FIRST + 1] and again.core.digest == LOG[FIRST].digest


def test_a_life_is_later_than_the_one_before_whatever_the_clock_says() -> None:
    first = Front().begun(FIRST)
    lives = [first.core.life]
    for _ in range(3):
        first = Front(first.disk)  # the wall clock stands still
        lives.append(first.core.life)
    assert lives == [1, 2, 3, 4]


def test_a_burst_is_taken_as_one_and_a_steady_stream_is_taken() -> None:
    front = Front().begun(FIRST).lines(FIRST + 1, FIRST + 5)
    assert front.taken() == [FIRST, FIRST + 5]
    front = Front().begun(1)
    for held in LOG[1:101]:
        front.line(held.line).wait(SECOND // 20)
    assert len(front.taken()) > 10


def test_what_comes_twice_or_late_changes_nothing() -> None:
    front = Front().begun(FIRST).lines(FIRST + 1, FIRST + 1).lines(FIRST - 3, FIRST + 1)
    assert front.taken() == [FIRST, FIRST + 1] and front.core.counts["doubled"] == 5
    other = (front.core.current_instance + 1) % 5
    assert front.core.receive_line(front.now, other, LOG[FIRST + 1].line) == []
    assert front.core.receive_full_state(front.now, other, 99, LOG[98].text) == []
    assert front.core.connection_lost(front.now, other, Loss.BROKEN) == [] and front.core.counts["late"] == 3


@pytest.mark.parametrize("data", [
    b"", b"{}", b"[[", b"\xff\xfe", b'{"beat":-1}', b'{"version":0}', b'{"version":"4"}', b'{"beat":1e99}',
    b'{"version":%d,"steps":[{"key":"limits"}]}' % (FIRST + 1), b"[" * 100_000, b" " * (MAX_LINE_BYTES + 1),
    b'{"version":9007199254740993}', LOG[FIRST].line[:-9],
    b'{"version":%d,"steps":[{"key":"x/y","before":null,"after":"(x"}]}' % (FIRST + 1),
    b'{"version":%d,"steps":[{"key":"titles/q","before":null,"after":"%s"}]}' % (FIRST + 1, b"(" * 50_000),
], ids=range(15))  # fmt: skip
def test_nonsense_is_counted_and_left(data: bytes) -> None:
    front = Front().begun(FIRST).beat(FIRST)
    first = front.core.current_instance
    front.line(data)
    assert front.core.counts["nonsense"] + front.core.counts["oversize"] == 1
    assert isinstance(front.last(Disconnect), Disconnect) and front.core.current_instance != first
    front.wait(2 * SECOND)
    assert isinstance(front.last(Watch), Watch) and front.core.version == front.core.verified.number == FIRST
    for _ in range(3 * 5):
        front.line(data).wait(20 * SECOND)
    assert Counter(front.said())["config-nonsense"] + Counter(front.said())["config-oversize"] <= 5


def test_of_a_gap_what_is_missing_is_asked_for() -> None:
    front = Front().begun(FIRST).line(LOG[FIRST + 1].line)
    assert front.last(Watch) == Watch(front.core.current_instance, FIRST)
    first = front.core.current_instance
    front.line(LOG[FIRST + 1].line)
    assert (
        front.core.current_instance != first and front.core.counts["gap"] == 2
    )  # it does not have what is missing


def test_beats_of_what_does_not_come_are_asked_about() -> None:
    front = Front().begun(FIRST)
    for _ in range(3):
        front.beat(FIRST + 2).wait(SECOND)
    assert front.core.counts["missing-lines"] == 1 and front.last(Watch) == Watch(
        front.core.current_instance, FIRST
    )
    front.lines(FIRST + 1, FIRST + 2).beat(FIRST + 2)
    assert front.core.version == FIRST + 2


@pytest.mark.parametrize("wrong", ["digest", "before"])
def test_a_version_that_does_not_add_up_is_taken_not_in_part(wrong: str) -> None:
    line = msgspec.json.decode(LOG[FIRST + 1].line)
    if wrong == "digest":
        line["digest"] = "0" * 16
    else:
        line["steps"][0]["before"] = "(limits (held 3))"
    front = Front().begun(FIRST).lines(FIRST + 1, FIRST + 1)
    front.line(msgspec.json.encode(line)).wait(SECOND // 5)
    assert front.taken() == [FIRST, FIRST + 1] and front.core.unverified is front.core.verified
    assert front.core.phase is Phase.FETCHING and front.core.counts["fetches"] == 2
    front.begun(FIRST + 2)
    assert front.taken() == [FIRST, FIRST + 1, FIRST + 2]


@pytest.mark.parametrize(
    "text, digest",
    [
        ("", ""),
        ("(site", ""),
        ("(" * 50_000, ""),
        (LOG[40].text, LOG[41].digest),
        (LOG[40].text[:-9], ""),
        ("(cluster x)", ""),
    ],
    ids=range(6),
)
def test_a_whole_state_that_is_not_whole(text: str, digest: str) -> None:
    front = Front().begun(FIRST - 1).lines(FIRST, FIRST)
    front.on(front.core.history_unavailable(front.now, front.core.current_instance))
    assert front.last(Fetch) == Fetch(front.core.current_instance)
    front.on(front.core.receive_full_state(front.now, front.core.current_instance, 41, text, digest))
    assert front.core.verified.number == FIRST and front.core.counts["nonsense"] == 1
    assert front.core.phase is Phase.AWAY


def test_the_last_good_version_stays_and_the_next_good_one_is_taken() -> None:
    front = Front().begun(BAD - 1).lines(BAD, BAD)
    assert front.taken() == [BAD - 1] and front.core.refused == (BAD, "no front can")
    for _ in range(6):
        front.beat(BAD).wait(SECOND)
    told = front.last(SendReport)
    assert isinstance(told, SendReport) and (told.report.version, told.report.refused) == (BAD - 1, BAD)
    after = next(number for number in range(BAD, 120) if good(number))
    front = Front().begun(BAD - 1).lines(BAD, BAD).lines(BAD + 1, after)
    assert front.taken() == [BAD - 1, after] and front.core.refused == (0, "")


def test_a_bad_version_does_not_hide_the_good_one_before_it() -> None:
    front = Front().begun(BAD - 2).lines(BAD - 1, BAD)
    assert front.taken() == [BAD - 2, BAD - 1] and front.core.refused[0] == BAD


def test_what_was_refused_in_service_is_taken_at_the_next_start() -> None:
    front = Front().begun(FIRST)
    front.refuses = True
    front.lines(FIRST + 1, FIRST + 1)
    assert front.taken() == [FIRST]
    again = Front(front.disk)
    assert [type(effect) for effect in again.done] == [Persist, PutInForce] and again.taken() == [FIRST + 1]
    assert Front(again.disk).taken() == [FIRST + 1]


def test_a_first_version_that_was_refused_is_taken_at_the_next_start() -> None:
    core = Follower(0, 10, 5, 7, 3 * SECOND, Path(), lambda site: ("not in service",))
    core.begin(0, 1, b"")
    core.run_due(core.next_due or 0)
    core.receive_full_state(SECOND, core.current_instance, FIRST, LOG[FIRST - 1].text, LOG[FIRST - 1].digest)
    [keep] = [effect for effect in core.run_due(SECOND) if isinstance(effect, Persist)]
    again = Front(keep.data)
    assert again.taken() == [FIRST] and again.core.refused == (0, "")
    still = Follower(0, 10, 5, 7, 3 * SECOND, Path(), lambda site: ("not in service",))
    assert still.begin(0, 2, keep.data) == [] and still.refused[0] == FIRST


def test_what_can_not_be_kept_is_not_taken() -> None:
    front = Front().begun(FIRST)
    front.fails = True
    front.lines(FIRST + 1, FIRST + 1)
    for _ in range(20):
        front.beat(FIRST + 1).wait(SECOND)
    assert front.taken() == [FIRST] and front.said().count("config-not-kept") == 1
    assert front.core.counts["not-kept"] > 2
    front.fails = False
    for _ in range(6):
        front.beat(FIRST + 1).wait(SECOND)
    assert front.taken() == [FIRST, FIRST + 1]


def test_a_start_that_can_not_keep_takes_what_was_in_force() -> None:
    front = Front().begun(FIRST)
    front.refuses = True
    front.lines(FIRST + 1, FIRST + 1)
    core = Follower(0, 10, 5, 7, 3 * SECOND, Path(), lambda site: ())
    [keep] = core.begin(0, 2, front.disk)
    assert isinstance(keep, Persist)
    takes = [
        effect for effect in core.write_finished(0, keep.number, False) if isinstance(effect, PutInForce)
    ]
    assert [take.number for take in takes] == [FIRST]


@pytest.mark.parametrize("how", ["cut off", "body", "head", "format", "long"])
def test_what_was_kept_and_is_spoilt(how: str) -> None:
    kept = Front().begun(FIRST).disk
    at = kept.index(b"\n")
    spoilt = {
        "cut off": kept[:-5],
        "body": kept[: at + 50] + b"?" + kept[at + 51 :],
        "head": kept[:20] + b"9" + kept[21:],
        "format": kept.replace(b'"format":1', b'"format":2', 1),
        "long": kept + b" " * 20_000_000,
    }[how]
    front = Front(spoilt)
    assert front.said() == ["config-kept-unusable"] and front.taken() == []
    assert front.core.floor == (
        FIRST if how in ("cut off", "body") else 0
    )  # its own checksum saves the floor
    front.begun(FIRST - 1)
    assert front.taken() == ([] if front.core.floor == FIRST else [FIRST - 1])
    front.line(LOG[FIRST - 1].line) if front.core.phase is Phase.WATCHING else front.begun(FIRST)
    assert front.wait(SECOND).taken()[-1] == FIRST


def test_a_cluster_that_lost_its_disks_takes_no_front_back() -> None:
    front = Front(Front().begun(FIRST).disk)
    for _ in range(10):
        while front.core.phase is Phase.AWAY:
            front.wait(SECOND // 10)
        front.on(
            front.core.receive_full_state(
                front.now, front.core.current_instance, 1, LOG[0].text, LOG[0].digest
            )
        )
    assert front.taken() == [FIRST] and front.said().count("config-ahead-of-all") == 1
    told = front.last(SendReport)
    assert isinstance(told, SendReport) and told.report.version == FIRST
    front = Front().begun(FIRST).beat(FIRST)
    front.on(front.core.history_unavailable(front.now, front.core.current_instance, 1))
    assert front.core.counts["fetches"] == 1 and front.core.counts["lagging"] == 1  # nothing more was asked
    front.wait(2 * SECOND)
    front.on(front.core.history_unavailable(front.now, front.core.current_instance, 99))
    assert front.last(Fetch) == Fetch(front.core.current_instance)


def test_another_history_under_the_same_number_is_told() -> None:
    front = Front(Front().begun(FIRST).disk)
    while front.core.phase is Phase.AWAY:
        front.wait(SECOND // 10)
    front.on(
        front.core.receive_full_state(
            front.now, front.core.current_instance, FIRST, LOG[0].text, LOG[0].digest
        )
    )
    assert "config-forked" in front.said() and front.core.digest == LOG[FIRST - 1].digest


def test_a_number_that_nobody_has_drives_no_front_around_for_ever() -> None:
    front = Front().begun(FIRST).beat(10**9)
    for _ in range(200):
        if front.core.phase is not Phase.AWAY:
            front.beat(FIRST)
        front.wait(SECOND // 2)
    assert front.core.head == FIRST and front.core.phase is Phase.WATCHING
    before = front.core.counts["watches"]
    for _ in range(60):
        front.beat(FIRST).wait(SECOND)
    assert front.core.counts["watches"] == before


def test_silence_and_apart_turn_to_another_and_all_apart_to_none() -> None:
    front = Front().begun(FIRST)
    first = front.core.current_instance
    front.wait(3 * SECOND)
    assert front.core.current_instance != first and front.core.counts["silent"] == 1
    front = Front().begun(FIRST)
    for _ in range(40):
        if front.core.phase is Phase.WATCHING:
            front.beat(FIRST, apart=True)
        front.wait(SECOND // 2)
    assert front.core.unhealthy == set(range(5)) and front.said().count("config-apart") == 1
    before = front.core.counts["watches"]
    for _ in range(600):
        if front.core.phase is Phase.WATCHING:
            front.beat(FIRST, apart=True)
        front.wait(SECOND // 2)
    assert front.core.counts["watches"] - before <= 20 and front.core.version == FIRST
    while front.core.phase is Phase.AWAY:
        front.wait(SECOND // 10)
    front.beat(FIRST)
    assert front.core.apart_since is None and "config-together" in front.said()


def test_fronts_of_an_instance_that_dies_come_evenly_to_the_others() -> None:
    fleet = [Front(me=me, fronts=820).begun(FIRST).beat(FIRST) for me in range(0, 820, 5)]
    for front in fleet:
        front.on(front.core.connection_lost(front.now, 0, Loss.BROKEN))
    assert max(Counter(front.core.current_instance for front in fleet).values()) == 41
    moments = sorted((front.core.next_try or 0) - front.now for front in fleet)
    assert moments[-1] <= 2 * SECOND // 3 + MIN_RETRY_INTERVAL_US and moments[82] >= 2 * SECOND // 9


def test_the_even_period_of_a_long_outage() -> None:
    fleet = [ReconnectSchedule(me, 820, SECOND, me, period=OUTAGE_RETRY_PERIOD_US) for me in range(820)]
    tries = [front.lost(0, Loss.LATE) for front in fleet]
    later = []
    for front, moment in zip(fleet, tries, strict=True):
        while moment < 100 * SECOND:
            moment = front.lost(moment, Loss.LATE)
            later += [moment] if moment >= REDIRECT_LIMIT_US + OUTAGE_RETRY_PERIOD_US else []
    seconds = Counter(moment // SECOND for moment in later if 20 * SECOND <= moment < 100 * SECOND)
    assert set(seconds.values()) == {205} and len(seconds) == 80


def test_a_report_is_told_when_it_changes_and_not_too_often() -> None:
    front = Front(me=3).begun(FIRST).beat(FIRST).wait(SECOND)
    assert sum(isinstance(effect, SendReport) for effect in front.done) == 1
    for number in range(FIRST + 1, FIRST + 5):
        front.lines(number, number).beat(number).wait(SECOND)
    for _ in range(8):
        front.beat(FIRST + 4).wait(SECOND)
    told = [effect.report for effect in front.done if isinstance(effect, SendReport)]
    assert len(told) <= 3 and (told[-1].version, told[-1].digest) == (FIRST + 4, LOG[FIRST + 3].digest)
    assert [report.number for report in told] == list(range(1, len(told) + 1))
