"""Rehearses a small day with seats, as processes on loopback, with killed fronts and lost traffic."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from ponddoor.audit.rules import Account
from ponddoor.audit.seats import seats_seen
from ponddoor.interface.facts import SiteFacts
from ponddoor.settings.site import load

DAYS = Path(__file__).with_name("days")
SECOND_US = 1_000_000


def test_a_day_with_seats_never_exceeds_the_limit_and_every_seat_comes_back(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "ponddoor.cli", "rehearse", str(DAYS / "seats.day"), "--no-baseline"]
    completed = subprocess.run(
        [*command, "--json", "--keep", str(tmp_path)], capture_output=True, timeout=120
    )
    assert completed.returncode == 0, completed.stdout.decode() + completed.stderr.decode()
    [run] = msgspec.json.decode(completed.stdout, type=list[dict[str, Any]])
    seats = run["seats"]
    assert seats["seats granted"] > 15 and 4 <= seats["most streams with a seat"] <= seats["seat limit"] == 8
    assert seats["most seats held"] <= 8 and seats["seat still held"] == 0
    assert seats["seat back after, last s"] < 6 and run["breaches"] == []
    assert run["tries"]["connections cut"] > 0 and run["tries"]["renewal granted"] > 0


def row(at_s: float, what: str, **fields: Any) -> dict[str, Any]:
    return {"at": round(at_s * SECOND_US), "who": "test", "what": what, **fields}


def started_session(at_s: float, sess: str) -> list[dict[str, Any]]:
    """Records of a session that is set up, starts and is answered with a seat, all at one time."""
    setup_fields = {
        "server": 1,
        "front": 0,
        "epoch": 1,
        "group": 0,
        "title": "one",
        "rung": 0,
        "timeout_us": SECOND_US,
    }
    answer = {"ask": sess, "sess": sess, "front": 0, "status": 201, "state": "playing", "limit": 1}
    stream_rows = [
        row(at_s, "setup", sess=sess, attempt=0, **setup_fields),
        row(at_s, "started", sess=sess, attempt=0),
    ]
    return [*stream_rows, row(at_s, "answer", **answer)]


def test_seat_figures_are_derived_from_the_records() -> None:
    facts: SiteFacts = load(DAYS / "seats.pond").facts
    refused = {"sess": "", "front": 0, "status": 503, "state": "busy-replied", "why": "no-seat", "limit": 1}
    rows = [
        row(1, "seat", front=0, seat="a", sess="x"),
        *started_session(1, "x"),
        row(2, "answer", ask="r1", **refused),
        row(3, "ended", sess="x", attempt=0, server=1),
        row(4.5, "seat-back", front=0, seat="a", why="expired"),
        row(5, "answer", ask="r2", **refused),
        row(6, "seat", front=0, seat="b", sess="y"),
        *started_session(6, "y"),
        row(7, "ended", sess="y", attempt=0, server=1),
        row(9, "seats-kept", front=0, seats=[]),  # the front restarted without this seat
        row(10, "seat", front=0, seat="c", sess="z"),
        row(10, "seat", front=1, seat="d", sess="w"),
    ]
    summary = seats_seen(Account(rows, facts))
    assert (summary.limit, summary.seats, summary.played, summary.held, summary.still_held) == (1, 4, 1, 2, 2)
    assert (summary.refused, summary.wrongly, summary.returns) == (2, 1, [1.5, 2.0])
