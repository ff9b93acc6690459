"""What hints cost: each step alone, and set-ups with hints and without, in turn on one front."""

import time
from collections.abc import Callable
from statistics import median
from typing import Any

from ponddoor.decide import Front
from ponddoor.hints import cmcd, cmsd
from ponddoor.hints.intake import SECOND, Intake
from ponddoor.interface import events as ev
from ponddoor.interface.facts import SiteFacts
from ponddoor.load.measure import SITE, bed
from ponddoor.runtime.driver import Driver
from ponddoor.settings.site import loads

HINTS = {"bl": 4200, "mtp": 25_400, "dl": 4200, "su": True, "tb": 16_000, "rtp": 40_000, "ot": "v", "st": "v",
         "sf": "o", "sid": "a" * 24}  # fmt: skip
TIMES, ROUNDS = 500, 15


def _micros(work: Callable[[int], object]) -> float:
    """The median over rounds of what one call takes."""
    took = []
    for round_ in range(ROUNDS):
        begun = time.perf_counter()
        for number in range(TIMES):
            work(round_ * TIMES + number)
        took.append((time.perf_counter() - begun) / TIMES * 1e6)
    return round(median(took), 2)


def _playing(facts: SiteFacts) -> Driver:
    """A front with one server and one session that plays."""
    driver = Driver(Front(facts, 0))
    row = ev.ServerRow(1, 0, 0, 0, ev.ServerState.READY, 1.0, 0)
    driver.handle(0, ev.ServerNews(ev.NewsScope.CACHED, (row,)))
    request = ev.SessionRequest(7, 0, 0, 0, 1, 10 * SECOND, None, 0, 8, 4)
    driver.handle(10 * SECOND, request)
    driver.handle(10 * SECOND, ev.Started(7, 0, 1, 1000))
    return driver


def alone() -> dict[str, Any]:
    """Microseconds of each step: read, take in and judge, tell the decisions, write the answer's header."""
    headers = {name.lower(): text for name, text in cmcd.write_headers(HINTS).items()}
    report = cmcd.write_reports([{**HINTS, "e": "t", "ts": 1_700_000_000_000}])
    intake, facts = (
        Intake(),
        loads(SITE.format(servers=1, link=1e4, uplink=1e7, list=1, viewers=2, words=3, metrics=4)).facts_of(
            0, 1
        ),
    )
    driver = _playing(facts)
    intake.update_session(0, "s", "v", "t", 1, 200.0)

    def take(number: int) -> object:
        now = (number + 10) * SECOND
        intake.record_server_share(now, 1, 1.0)
        return intake.accept_session_hints(now, "s", HINTS)

    def apply(number: int) -> object:
        now = 11 * SECOND + number
        return driver.handle(now, ev.PlayerHint(7, ev.Means(now, 3000.0, 2000.0, 4_200_000)))

    return {
        "read_headers_us": _micros(lambda n: cmcd.read_headers(headers)),
        "read_report_us": _micros(lambda n: cmcd.read_reports(report)),
        "take_in_us": _micros(take),
        "apply_us": _micros(apply),
        "write_cmsd_us": _micros(lambda n: cmsd.write_dynamic([cmsd.Hop("site-0", {"mb": n, "etp": 900})])),
    }


async def beside(seconds: float, rounds: int) -> dict[str, Any]:
    """Set-ups a second of one front with hints on each request and without, in turn, 32 in hand."""
    ratios, times, carried = [], [], tuple(cmcd.write_headers(HINTS).items())
    async with bed(8) as made:
        await made.front()
        plain = made.generator(made.viewers)
        hinted = made.generator(made.viewers)
        hinted.headers = carried
        await plain.in_hand(32, 2.0)  # warm
        for number in range(rounds):
            rates = {}
            for name in ("hinted", "plain") if number % 2 else ("plain", "hinted"):
                out = await {"plain": plain, "hinted": hinted}[name].in_hand(32, seconds)
                rates[name] = out.playing_per_s
            ratios.append(rates["hinted"] / rates["plain"])
            times.append(1e6 / rates["plain"])
    ratios.sort()
    return {
        "set_up_us": round(median(times), 1),
        "with_hints_over_without": round(median(ratios), 3),
        "ratios": [round(ratio, 3) for ratio in ratios],
    }
