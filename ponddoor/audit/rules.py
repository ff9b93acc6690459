"""The six rules, judged from the records of players, media servers and list alone.

A breach names the rule, the session (or server) and the moment. `slack` is how far two processes' records of
one moment may lie apart, in microseconds: on one machine the clock is one, but a busy process reads late."""

import bisect
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from ponddoor.interface.facts import Effect, SiteFacts

Row = dict[str, Any]
FOREVER = 1 << 60
SLACK = 150_000
CHANCE = 2  # set-ups over a cold server's pace that chance may bring
RULES = (
    "none lost",
    "no double set-up",
    "drains kept",
    "cold servers",
    "terms kept",
    "setup budget",
    "seats",
)


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule."""

    rule: str
    who: str
    at: int
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.who} at {self.at / 1e6:.6f}: {self.detail}"


@dataclass(slots=True)
class Attempt:
    """One SETUP as the media server's record has it. `out_until` is when its front no longer waits for it."""

    sess: str
    number: int
    server: int
    front: int
    epoch: int
    group: int
    title: str
    rung: int
    at: int
    out_until: int
    started: int = 0
    ended: int = FOREVER
    result: str = ""

    @property
    def may_have_run(self) -> bool:
        return self.result not in ("full",)


@dataclass(slots=True)
class Account:
    """Everything the rules are judged from."""

    rows: list[Row]
    facts: SiteFacts
    slack: int = SLACK
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    by_sess: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    by_server: dict[int, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    kills: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    stops: dict[int, list[list[int]]] = field(default_factory=lambda: defaultdict(list))  # from, to

    def stopped(self, front: int, since: int, until: int) -> int:
        """How long a front's process stood still within a span: what it can't do then it does later."""
        return sum(max(0, min(to, until) - max(begun, since)) for begun, to in self.stops[front])

    def __post_init__(self) -> None:
        for row in self.rows:
            self._take(row)
        for name, times in self.kills.items():
            kind, _, number = name.partition(" ")
            for attempt in self.attempts.values():
                mine = attempt.server if kind == "media" else attempt.front
                if kind in ("media", "front") and mine == int(number):
                    last = next((at for at in times if at >= attempt.at), FOREVER)
                    attempt.ended = min(attempt.ended, last)
                    attempt.out_until = min(attempt.out_until, last)

    def _take(self, row: Row) -> None:
        at, what = int(row["at"]), row["what"]
        if what == "killed":
            self.kills[row["process"]].append(at)
        if what == "signal" and row["number"] in ("SIGSTOP", "SIGCONT"):
            for front in row["fronts"]:
                if row["number"] == "SIGSTOP":
                    self.stops[front].append([at, FOREVER])
                elif self.stops[front]:
                    self.stops[front][-1][1] = at
        if what == "setup":
            made = Attempt(
                row["sess"],
                row["attempt"],
                row["server"],
                row["front"],
                row["epoch"],
                row["group"],
                row["title"],
                row["rung"],
                at,
                at + row["timeout_us"],
            )
            self.attempts[(made.sess, made.number)] = made
            self.by_sess[made.sess].append(made)
            self.by_server[made.server].append(made)
        held = self.attempts.get((row.get("sess", ""), row.get("attempt", -1)))
        if held is None:
            return
        if what == "outcome":
            held.result, held.out_until = row["result"], min(held.out_until, at)
        elif what == "answer-lost":
            held.result = "answer lost"
            if row.get("how") == "reset":
                held.out_until = min(held.out_until, at)
        elif what in ("given-up", "teardown"):
            held.out_until = min(held.out_until, at)
            if not held.started:
                held.ended = min(held.ended, at)
        if what == "started":
            held.started = at
        elif what == "ended" or (what == "outcome" and row["result"] != "started"):
            held.ended = min(held.ended, at)


def audit(rows: list[Row], facts: SiteFacts, slack: int = SLACK) -> list[Breach]:
    """All breaches, by time. `facts` are the site's (of any front)."""
    account = Account(rows, facts, slack)
    found = [
        *none_lost(account),
        *no_double(account),
        *drains_kept(account),
        *cold_kept(account),
        *terms_kept(account),
        *budget_kept(account),
        *seats_kept(account),
    ]
    return sorted(found, key=lambda breach: breach.at)


def none_lost(account: Account) -> Iterator[Breach]:
    """Each request that a running front took has one answer, within the viewer's time and the grace."""
    grace, asks, answered = account.facts.rules.answer_grace, {}, set()
    kinds = {"playing", "busy-replied", "torn-down"}
    for row in account.rows:
        at, name = int(row["at"]), row.get("ask", "")
        if row["what"] == "ask":
            asks[name] = row
        elif row["what"] == "not-taken":
            asks.pop(name, None)
        elif row["what"] == "answer":
            if name in answered:
                yield Breach("none lost", name, at, "a second answer")
            answered.add(name)
            ask = asks.pop(name, row)
            took = at - int(ask["at"]) - account.stopped(row["front"], int(ask["at"]), at)
            if took > int(ask.get("wait_us", FOREVER)) + grace + account.slack:
                yield Breach("none lost", name, at, f"answered after {took / 1e6:.3f} s")
            if row["state"] not in kinds:
                yield Breach(
                    "none lost", name, at, f"no final answer: status {row['status']}, {row['state']}"
                )
            if row.get("unasked"):
                yield Breach("none lost", name, at, "an answer that nobody had asked for")
        elif row["what"] == "no-answer":
            ask = asks.pop(name, row)
            kills = account.kills.get(f"front {row['front']}", [])
            if row["why"] == "late" and account.stopped(row["front"], int(ask["at"]), at):
                continue
            if not any(int(ask["at"]) - account.slack <= kill <= at for kill in kills):
                yield Breach("none lost", name, at, f"no answer from front {row['front']}: {row['why']}")
    end = max((int(row["at"]) for row in account.rows), default=0)
    for name, ask in asks.items():
        due = int(ask["at"]) + int(ask["wait_us"]) + grace + account.slack
        kills = account.kills.get(f"front {ask['front']}", [])
        if due < end and not any(kill >= int(ask["at"]) for kill in kills):
            yield Breach("none lost", name, due, f"front {ask['front']} never answered")


def no_double(account: Account) -> Iterator[Breach]:
    """Never two SETUPs of a session out; unsafe and keyed ones are repeated only as their terms let them."""
    for sess, attempts in account.by_sess.items():
        attempts.sort(key=lambda a: a.number)
        for before, after in zip(attempts, attempts[1:], strict=False):
            if after.at < before.out_until - account.slack:
                yield Breach(
                    "no double set-up",
                    sess,
                    after.at,
                    f"SETUP {after.number} at server {after.server} while "
                    f"{before.number} is out at {before.server}",
                )
            group = account.facts.groups[after.group]
            if not before.may_have_run or group.effect is Effect.SAFE:
                continue
            late = after.at > before.at + group.memory + account.slack
            if group.effect is Effect.UNSAFE or late:
                yield Breach(
                    "no double set-up",
                    sess,
                    after.at,
                    f"SETUP {after.number} of {group.name} after "
                    f"{before.number} may have run at server {before.server}",
                )
        playing = [a for a in attempts if a.started]
        for before, after in zip(playing, playing[1:], strict=False):
            if after.started < before.ended - max(account.slack, 4_000_000):
                yield Breach(
                    "no double set-up", sess, after.started, f"plays at {before.server} and {after.server}"
                )
    for row in account.rows:
        attempts = account.by_sess.get(row.get("sess", ""), []) if row["what"] == "answer" else []
        if attempts and row["state"] == "busy-replied":
            group = account.facts.groups[attempts[0].group]
            ran = [a for a in attempts if a.may_have_run]
            if ran and group.effect is Effect.UNSAFE:
                yield Breach(
                    "no double set-up",
                    row["sess"],
                    int(row["at"]),
                    "busy-replied though a SETUP may have run",
                )


def drains_kept(account: Account) -> Iterator[Breach]:
    """No SETUP later than the grace after its front was told that the server drains or is gone."""
    told: dict[tuple[int, int], list[tuple[int, str]]] = defaultdict(list)
    known: dict[int, set[int]] = defaultdict(set)
    for row in account.rows:
        if row["what"] != "told":
            continue
        front, at, named = row["front"], int(row["at"]), {server for server, _, _ in row["rows"]}
        for server, state, _ in row["rows"]:
            told[(front, server)].append((at, state))
        if row["full"]:
            for server in known[front] - named:
                told[(front, server)].append((at, "gone"))
            known[front] = set()
        known[front] |= named
    grace = account.facts.rules.drain_grace + account.slack
    for attempt in account.attempts.values():
        news = told.get((attempt.front, attempt.server), [])
        last = bisect.bisect(news, (attempt.at, "~")) - 1
        begun = last
        while begun > 0 and news[begun][1] != "ready" and news[begun - 1][1] != "ready":
            begun -= 1  # told again what it knew: the grace counts from the first time
        if last >= 0 and news[last][1] != "ready" and attempt.at > news[begun][0] + grace:
            yield Breach(
                "drains kept",
                attempt.sess,
                attempt.at,
                f"SETUP to server {attempt.server}, told "
                f"{news[begun][1]} {(attempt.at - news[begun][0]) / 1e6:.3f} s before",
            )


def cold_kept(account: Account) -> Iterator[Breach]:
    """In any window of the rule's length a cold server is sent no more than the multiple of what it can take,
    by fronts that were told of its start, or saw it fail or be down before."""
    rules, plant = account.facts.rules, account.facts.plant
    starts: dict[int, list[Row]] = defaultdict(list)
    told: dict[tuple[int, int], int] = {}
    saw: dict[tuple[int, int], int] = {}
    for row in account.rows:
        if row["what"] == "begin" and not row["warm"]:
            starts[row["server"]].append(row)
        elif row["what"] == "told":
            for server, _, started in row["rows"]:
                if started:
                    told.setdefault((row["front"], started * 1_000_000 + server), int(row["at"]))
        elif row["what"] == "given-up":
            held = account.attempts.get((row["sess"], row["attempt"]))
            if held is not None:
                saw[(held.front, held.server)] = int(row["at"])
    for server, begins in starts.items():
        sent = sorted(account.by_server.get(server, []), key=lambda a: a.at)
        for begin in begins:
            since, key = int(begin["at"]), begin["started_us"] * 1_000_000 + server
            pace = plant.streams[begin["kind"]] / rules.cold * rules.fall_multiple
            cold = [a for a in sent if since <= a.at < since + rules.cold]
            for first, attempt in enumerate(cold):
                window = [a for a in cold[first:] if a.at < attempt.at + rules.fall]
                warmth = min(
                    1.0,
                    rules.cold_from + (1 - rules.cold_from) * (attempt.at + rules.fall - since) / rules.cold,
                )
                allowed = pace * rules.fall * warmth + CHANCE
                knew = [
                    a
                    for a in window
                    if told.get((a.front, key), FOREVER) < a.at - account.slack
                    or since - rules.cold < saw.get((a.front, server), -FOREVER) < a.at
                ]
                if len(window) > allowed and 2 * len(knew) > len(window):
                    yield Breach(
                        "cold servers",
                        f"server {server}",
                        attempt.at,
                        f"{len(window)} SETUPs in a window "
                        f"where {allowed:.1f} are allowed, the last of session {window[-1].sess}",
                    )
                    break  # one breach a start says enough


def terms_kept(account: Account) -> Iterator[Breach]:
    """No rung under a group's floor, and no more sessions of a title and group at a front than its seats."""
    groups = account.facts.groups
    for attempt in account.attempts.values():
        if attempt.rung < groups[attempt.group].floor:
            yield Breach(
                "terms kept", attempt.sess, attempt.at, f"SETUP at rung {attempt.rung} under the floor"
            )
    for row in account.rows:
        held = account.attempts.get((row.get("sess", ""), row.get("attempt", -1)))
        if row["what"] == "rung" and held is not None and row["rung"] < groups[held.group].floor:
            yield Breach("terms kept", held.sess, int(row["at"]), f"rung {row['rung']} under the floor")
    seats: dict[tuple[int, int, str, int], list[Attempt]] = defaultdict(list)
    for attempt in account.attempts.values():
        if groups[attempt.group].seats:
            seats[(attempt.front, attempt.epoch, attempt.title, attempt.group)].append(attempt)
    for (front, _, title, group), held_there in seats.items():
        moves = sorted(
            move
            for a in held_there
            for move in ((a.at, 1, a.sess), (max(a.at, _seat_until(a) - account.slack), -1, a.sess))
        )
        count = 0
        for at, step, sess in moves:
            count += step
            if count > groups[group].seats:
                yield Breach(
                    "terms kept",
                    sess,
                    at,
                    f"{count} sessions of {title} at front {front}, {groups[group].seats} seats",
                )


def _seat_until(attempt: Attempt) -> int:
    return attempt.ended if attempt.started else min(attempt.out_until, attempt.ended)


def seats_kept(account: Account) -> Iterator[Breach]:
    """No more streams of sessions with a seat than the entitlement's limit, and no token for a thief."""
    limits = {
        row["sess"]: int(row["limit"]) for row in account.rows if row["what"] == "answer" and row.get("limit")
    }
    moves: list[tuple[int, int, str]] = []
    for sess, limit in limits.items():
        for attempt in account.by_sess.get(sess, []):
            if attempt.started and limit:
                moves.append((attempt.started, 1, sess))
                moves.append((max(attempt.started, attempt.ended - account.slack), -1, sess))
    count = 0
    for at, step, sess in sorted(moves):
        count += step
        if count > limits[sess]:
            yield Breach("seats", sess, at, f"{count} play of {limits[sess]}")
    for row in account.rows:
        if row["what"] == "stolen":
            yield Breach("seats", str(row["sess"]), int(row["at"]), "a token renewed for another viewer")


def budget_kept(account: Account) -> Iterator[Breach]:
    """Further SETUPs of a front in any window: the spare ones and the share of the requests it took."""
    rules = account.facts.rules
    if rules.spare_setups is None:
        return
    taken: dict[int, list[int]] = defaultdict(list)
    further: dict[tuple[int, int], list[Attempt]] = defaultdict(list)
    for row in account.rows:
        if row["what"] == "ask":
            taken[row["front"]].append(int(row["at"]))
    for attempt in account.attempts.values():
        if attempt.number > 0:
            further[(attempt.front, attempt.epoch)].append(attempt)
    for (front, _), attempts in further.items():
        attempts.sort(key=lambda a: a.at)
        for last, attempt in enumerate(attempts):
            since = attempt.at - rules.resend_span + account.slack
            sent = sum(a.at > since for a in attempts[: last + 1])
            asked = sum(since - 2 * account.slack < at <= attempt.at for at in taken[front])
            if sent > rules.spare_setups + rules.resend_ratio * asked:
                yield Breach(
                    "setup budget",
                    attempt.sess,
                    attempt.at,
                    f"{sent} further SETUPs of front {front} in the span, {asked} requests taken",
                )
