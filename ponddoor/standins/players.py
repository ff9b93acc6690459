"""Players: they ask, play, leave, and come back after a break, and count their own utility.

One process plays all viewers of a day. Utility is counted as docs/operating.md says: by the second wanted, at
the worth of the top rung that the viewer can use; earned at the rung in force, less what is short; a session
that began after its start target earns nothing."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy as np

from ponddoor.audit.records import Recorder
from ponddoor.hints import cmcd
from ponddoor.rehearse.day import SECOND, Day, Viewer, draw
from ponddoor.standins.segments import FULL, Habits, Watching
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool

WINDOW = 10.0  # seconds of a window of the count
LEAVE_AT = 0.75  # a share under which viewers begin to leave
SILENCE = 3.0  # seconds without a word from the server, after which a viewer takes it for lost
TRIES = 8


@dataclass(slots=True)
class Tally:
    """Utility offered and earned, by window and by service group, and what happened."""

    offered: dict[tuple[int, int], float] = field(default_factory=dict)
    earned: dict[tuple[int, int], float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    starts: list[float] = field(default_factory=list)
    watched: list[dict[str, float]] = field(default_factory=list)  # of each session by segments

    def add(
        self,
        table: dict[tuple[int, int], float],
        begin: float,
        at: float,
        seconds: float,
        group: int,
        worth: float,
    ) -> None:
        window = int(max(at - begin, 0) / WINDOW)
        table[(window, group)] = table.get((window, group), 0.0) + worth * seconds

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


class Players:
    """All viewers of one day."""

    def __init__(self, day: Day, recorder: Recorder, addresses: list[tuple[str, int]]) -> None:
        self.day, self.rec, self.tally = day, recorder, Tally()
        self.fronts = [Pool(host, port, 20_000, 1.0, 5.0) for host, port in addresses]
        places = day.site.fronts
        zones = [places[n % len(places)].zone for n in range(len(addresses))]
        self.near = {
            zone: [n for n, z in enumerate(zones) if z == zone] or list(range(len(zones)))
            for zone in range(max(1, len(day.site.zones)))
        }
        self.begin = 0.0
        self.unseated: set[str] = set()
        self.in_force: dict[str, int] = {}  # session: its rung, as the server last told it
        self.cuts = [trouble for trouble in day.troubles if trouble.kind == "connections_cut"]

    async def run(self, begin: float) -> dict[str, Any]:
        """Play the day from a moment of the monotonic clock; returns the count."""
        self.begin = begin
        viewers = draw(self.day)
        await asyncio.gather(*(self.watch(viewer) for viewer in viewers))
        return self.summary(len(viewers))

    def summary(self, viewers: int) -> dict[str, Any]:
        names, last = self.day.site.group_names(), int(self.day.length / SECOND / WINDOW)
        offered, earned = self.tally.offered, self.tally.earned

        def ratio(keep: Any) -> float:
            wanted = sum(v for k, v in offered.items() if keep(k))
            return sum(v for k, v in earned.items() if keep(k)) / wanted if wanted else 1.0

        windows = [ratio(lambda k, w=w: k[0] == w) for w in range(max(1, last))]
        groups = {name: ratio(lambda k, g=g: k[1] == g) for g, name in enumerate(names)}
        return {
            "viewers": viewers,
            "whole": ratio(lambda k: True),
            "windows": windows,
            "groups": groups,
            "counts": self.tally.counts,
            "watched": self.tally.watched,
            "starts_ms": sorted(round(s * 1000, 1) for s in self.tally.starts),
        }

    async def watch(self, viewer: Viewer) -> None:
        """One viewer from its coming to its going, over all its tries."""
        day, rng = self.day, np.random.default_rng([self.day.seed, 9, viewer.number])
        group, ladder = day.site.facts.groups[viewer.group], day.site.facts.ladder
        start = self.begin + viewer.at / SECOND
        await asyncio.sleep(max(0.0, start - time.monotonic()))
        end = start + viewer.stay / SECOND
        day_end = self.begin + day.length / SECOND
        end = min(end, day_end)
        wanted = group.utility * ladder.utility[viewer.top]
        second = start
        while second < end:
            self.tally.add(
                self.tally.offered, self.begin, second, min(1.0, end - second), viewer.group, wanted
            )
            second += 1.0
        moved = False
        for number in range(TRIES):
            if time.monotonic() >= end - 0.2:
                return
            why, come_back = await self.attempt(viewer, number, end, rng, moved)
            moved = why == "moved"
            self.tally.count(why)
            if why == "over" or (not moved and rng.random() > day.returns):
                return
            pause = rng.uniform(*day.come_back) / SECOND
            await asyncio.sleep(0.3 if moved else max(pause, come_back))

    async def attempt(
        self, viewer: Viewer, number: int, end: float, rng: np.random.Generator, moved: bool
    ) -> tuple[str, float]:
        """One try; returns how it ended and the advice when to come back, in seconds."""
        day, site = self.day, self.day.site
        group, fronts = site.facts.groups[viewer.group], self.near[viewer.zone]
        front = int(fronts[int(rng.beta(2, 3) * len(fronts))]) if viewer.front < 0 else viewer.front
        name, wait = f"v{viewer.number}.{number}", group.setup_timeout / SECOND
        body = {
            "title": viewer.title,
            "group": group.name,
            "top": viewer.top,
            "viewer": f"v{viewer.number}",
            "length_ms": (end - time.monotonic()) * 1000 * float(rng.uniform(0.7, 1.4)),
            "again": number > 0,
            "moved": moved,
        }
        if site.facts.tenants:
            body["tenant"] = site.facts.tenants[viewer.tenant].name
        limit = 0
        if self.day.entitlement:
            body["entitlement"] = self.day.entitlement
            limit = site.seats.limits.get((str(body.get("tenant", "")), self.day.entitlement), 0)
        seen, hinted = None, site.hints
        if day.segments:
            habits = Habits.drawn(rng, site.facts.ladder, day.heed, day.liars, day.weak, day.malformed)
            habits.candid = day.candid
            seen = Watching(habits, site.facts.ladder, group.rate_factor, viewer.top, "", rng)
        asked = time.monotonic()
        self.rec.note("ask", ask=name, front=front, wait_us=group.setup_timeout, group=viewer.group)
        pool = self.fronts[front]
        try:
            if await self.cut(pool, "/sessions", body, rng, name):
                self.rec.note("ask", ask=name, front=front, wait_us=group.setup_timeout, group=viewer.group)
            headers = (("Idempotency-Key", name), *(seen.headers() if seen is not None and hinted else ()))
            answer = await pool.request("POST", "/sessions", body, wait + 2.0, headers)
            got: dict[str, Any] = answer.json()
        except NotSentError:
            self.rec.note("not-taken", ask=name, front=front)
            return "not-taken", 0.0
        except (BrokenError, LateError) as problem:
            self.rec.note("no-answer", ask=name, front=front, why=type(problem).__name__)
            return "no-answer", 0.0
        sess, state = str(got.get("session", "")), str(got.get("state", "malformed"))
        self.rec.note(
            "answer",
            ask=name,
            front=front,
            status=answer.status,
            state=state,
            sess=sess,
            limit=limit,
            why=str(got.get("error", "")),
            unasked=pool.unsolicited_responses,
        )
        if state != "playing":
            return state, float(got.get("come_back_ms", 0.0)) / 1000
        lag = time.monotonic() - asked
        self.tally.starts.append(lag)
        renewing = asyncio.create_task(self.renew(pool, str(got.get("token", "")), f"v{viewer.number}", rng))
        timely = lag <= group.start_target / SECOND
        fetching = None
        if seen is not None:
            seen.sess, seen.buffer.at = sess, time.monotonic()
            fetching = asyncio.create_task(self.fetch(seen, pool, str(got["server"]), int(got["rung"]), end))
        why = await self.play(viewer, str(got["server"]), sess, end, timely, rng, seen)
        if fetching is not None and seen is not None:
            fetching.cancel()
            self.watched(seen, viewer, timely, time.monotonic() - asked - lag)
        renewing.cancel()
        if self.day.entitlement and rng.random() < 0.1:
            return "vanished", 0.0  # says nothing: seat and stream come back by themselves
        self.rec.note("end", ask=name, front=front, sess=sess, why=why)
        with contextlib.suppress(NotSentError, BrokenError, LateError):
            await pool.request("DELETE", f"/sessions/{sess}", timeout=1.0)
        return why, 0.0

    async def cut(
        self, pool: Pool, path: str, body: dict[str, Any], rng: np.random.Generator, key: str
    ) -> bool:
        """Whether the day cut the viewer's connection as it asked; then it asks again with the same key."""
        now = (time.monotonic() - self.begin) * SECOND
        share = sum(
            trouble.figures["size"] for trouble in self.cuts if 0 <= now - trouble.at < trouble.length
        )
        if not share or rng.random() >= share:
            return False
        self.tally.count("connections cut")
        with contextlib.suppress(TimeoutError, NotSentError, BrokenError, LateError):
            async with asyncio.timeout(float(rng.uniform(0, 0.03))):
                await pool.request("POST", path, body, 2.0, (("Idempotency-Key", key),))
        return True

    async def fetch(self, seen: Watching, front: Pool, server: str, rung: int, end: float) -> None:
        """Segment after segment, as long as the session plays; every two seconds a report to the front."""
        host, _, port = server.rpartition(":")
        pool, reported = Pool(host, int(port or 0), 2, 1.0), time.monotonic()
        hints = self.day.site.hints
        try:
            while (now := time.monotonic()) < end:
                seen.buffer.drain(now)
                if seen.buffer.seconds > FULL:
                    await asyncio.sleep(seen.buffer.seconds - FULL)
                    continue
                if hints and now - reported > 2:
                    reported = now
                    with contextlib.suppress(NotSentError, BrokenError, LateError):
                        path = f"/sessions/{seen.sess}/hints"
                        await front.request(
                            "POST", path, seen.report(), 1.0, content_type=cmcd.REPORT_MEDIA_TYPE
                        )
                chosen = seen.choose(self.in_force.get(seen.sess, rung))
                path, headers = f"/segment/{seen.sess}?rung={chosen}", seen.headers() if hints else ()
                begun = time.monotonic()
                try:
                    answer = await pool.request("GET", path, None, 10.0, headers)
                except (NotSentError, BrokenError, LateError):
                    await asyncio.sleep(0.2)
                    continue
                if answer.status != 200:
                    await asyncio.sleep(0.2)
                    continue
                least = seen.rate(chosen) / seen.habits.access_kb
                await asyncio.sleep(max(0.0, begun + least - time.monotonic()))
                seen.took(time.monotonic(), chosen, time.monotonic() - begun)
        finally:
            seen.buffer.drain(time.monotonic())
            pool.close()

    def watched(self, seen: Watching, viewer: Viewer, timely: bool, seconds: float) -> None:
        """What a session by segments was like."""
        self.in_force.pop(seen.sess, None)
        worth = seen.worth / max(seen.fetched, 1) if timely else 0.0
        row = {"seconds": seconds, "stalled": seen.buffer.stalled, "switches": seen.switches}
        row |= {"utility": worth, "segments": seen.fetched, "liar": float(bool(seen.habits.lie))}
        row |= {"weak": float(seen.habits.access_kb < 1e9), "heeds": float(seen.habits.heeds)}
        self.tally.watched.append({**row, "group": viewer.group})

    async def renew(self, pool: Pool, token: str, viewer: str, rng: np.random.Generator) -> None:
        """Keep a seat: renew in time, now and then twice at once, with an old token, or as somebody else."""
        oldest = token
        while token:
            await asyncio.sleep(self.day.site.seats.token / SECOND / 3)
            chance = float(rng.random())
            asks = [(token, viewer)] * (2 if chance < 0.2 else 1)
            asks += [(oldest, viewer)] * (0.2 <= chance < 0.3) + [(token, "thief")] * (chance > 0.9)
            for text, who in asks:
                with contextlib.suppress(NotSentError, BrokenError, LateError):
                    body = {"token": text, "viewer": who}
                    await self.cut(pool, "/seats/renew", body, rng, "")
                    answer = await pool.request("POST", "/seats/renew", body, 2.0)
                    self.tally.count(f"renewal {answer.json().get('error', 'granted')}")
                    if answer.status == 200 and who == "thief":
                        self.rec.note("stolen", sess=viewer)
                    token = str(answer.json().get("token", token))
                    if answer.status == 410 and who == viewer:  # it ran out: an honest viewer stops
                        self.unseated.add(viewer)
                        return

    async def play(
        self,
        viewer: Viewer,
        server: str,
        sess: str,
        end: float,
        timely: bool,
        rng: np.random.Generator,
        seen: Watching | None,
    ) -> str:
        """Watch until the end, a break, or until too little comes."""
        facts = self.day.site.facts
        group, ladder = facts.groups[viewer.group], facts.ladder
        host, _, port = server.rpartition(":")
        pool = Pool(host, int(port or 0), 2, 1.0)
        rung, share, at, short_since = -1, 1.0, time.monotonic(), 0.0
        stream = pool.stream_lines(f"/play/{sess}", SILENCE)

        def earn() -> None:
            nonlocal at
            now = min(time.monotonic(), end)
            worth = ladder.utility[rung] * group.utility if timely and rung >= 0 else 0.0
            worth *= max(0.0, 1 - ladder.short_cost * (1 - share)) if share < 0.98 else 1.0
            self.tally.add(self.tally.earned, self.begin, at, max(0.0, now - at), viewer.group, worth)
            at = max(at, now)

        try:
            async with asyncio.timeout(max(0.0, end - time.monotonic())):
                async for line in stream:
                    got = msgspec.json.decode(line, type=dict[str, Any])
                    earn()
                    if f"v{viewer.number}" in self.unseated:
                        self.unseated.discard(f"v{viewer.number}")
                        return "seat-lost"
                    if got.get("over"):
                        return "broken"
                    if rung not in (-1, got["rung"]):
                        self.tally.count("switches")
                        self.tally.add(
                            self.tally.earned,
                            self.begin,
                            at,
                            -ladder.switch_cost_s,
                            viewer.group,
                            group.utility if timely else 0.0,
                        )
                    rung, share = got["rung"], got["share"]
                    self.in_force[sess] = rung
                    now = time.monotonic()
                    short_since = (short_since or now) if share < LEAVE_AT else 0.0
                    if short_since and now - short_since > 2 and rng.random() < 0.15:
                        return "left-short"
        except TimeoutError:
            earn()
            return "over"
        except (NotSentError, BrokenError, LateError, msgspec.MsgspecError):
            share = 0.0
            return "broken"
        finally:
            await stream.aclose()
        return "broken"
