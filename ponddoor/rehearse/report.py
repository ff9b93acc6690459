"""The table at the end of a rehearsal."""

from typing import Any

from ponddoor.audit.rules import RULES
from ponddoor.audit.seats import SeatsSeen
from ponddoor.rehearse.followed import RULES as FOLLOWED
from ponddoor.rehearse.run import Result

PARTS = (("median", 0.5), ("90th", 0.9), ("99th", 0.99), ("last", 1.0))


def as_dict(result: Result) -> dict[str, Any]:
    """A result for scripts."""
    starts = result.players["starts_ms"]
    return {
        "day": result.day,
        "seed": result.seed,
        "decisions": result.decisions,
        "viewers": result.players["viewers"],
        "service": result.whole,
        "worst_10_s": result.worst_window,
        "worst_group": result.worst_group,
        "groups": result.players["groups"],
        "tries": result.players["counts"],
        "setups": result.setups,
        "start_ms_p50": _at(starts, 0.5),
        "start_ms_p99": _at(starts, 0.99),
        "fell": result.fell,
        "breaches": [str(breach) for breach in result.breaches],
        "records_cut": len(result.left_out),
        "watched": watched_rows(result.players.get("watched", [])),
        "seats": seats_rows(result.seats) if result.seats else {},
        "sums": result.sums,
        "config": result.config.rows() if result.config else {},
        **({"hollow": result.hollow_dict} if result.hollow_dict else {}),
    }


def watched_rows(sessions: list[dict[str, float]]) -> dict[str, float]:
    """What sessions by segments were like, and the honest and the liars of them apart."""
    rows: dict[str, float] = {}
    for name, mine in (
        ("", sessions),
        (" of the honest", [s for s in sessions if not s["liar"]]),
        (" of liars", [s for s in sessions if s["liar"]]),
    ):
        if not mine or (name and len(mine) == len(sessions)):
            continue
        seconds = sum(s["seconds"] for s in mine)
        stalls = sorted(s["stalled"] for s in mine)
        rows["sessions by segments" + name] = len(mine)
        rows["  utility a segment" + name] = round(sum(s["utility"] for s in mine) / len(mine), 3)
        rows["  stalled, share of time" + name] = round(sum(stalls) / max(seconds, 1e-9), 4)
        rows["  stalled, 90th, s" + name] = round(_at(stalls, 0.9), 2)
        rows["  switches a minute" + name] = round(
            sum(s["switches"] for s in mine) * 60 / max(seconds, 1e-9), 2
        )
    return rows


def seats_rows(seen: SeatsSeen) -> dict[str, Any]:
    """What became of the seats; times in seconds."""
    return {
        "seat limit": seen.limit,
        "seats granted": seen.seats,
        "most streams with a seat": seen.played,
        "most seats held": seen.held,
        "seat still held": seen.still_held,
        "refused for want of a seat": seen.refused,
        "  while one was free": seen.wrongly,
        **{f"seat back after, {name} s": round(_at(seen.returns, part), 2) for name, part in PARTS},
    }


def table(results: list[Result]) -> str:
    """One column a run; a row a figure. Service is utility earned over utility wanted."""
    runs = [as_dict(result) for result in results]
    rows: list[tuple[str, list[str]]] = [
        ("", [f"{run['day']} {run['seed']} {run['decisions']}" for run in runs])
    ]
    for name, key in (("service", "service"), ("worst 10 s", "worst_10_s"), ("worst group", "worst_group")):
        rows.append((name, [f"{run[key]:.3f}" for run in runs]))
    for group in runs[0]["groups"]:
        rows.append((f"  {group}", [f"{run['groups'].get(group, 0):.3f}" for run in runs]))
    rows.append(("viewers", [str(run["viewers"]) for run in runs]))
    for word in sorted({word for run in runs for word in run["tries"]}):
        rows.append((f"  {word}", [str(run["tries"].get(word, 0)) for run in runs]))
    for word in sorted({word for run in runs for word in run["setups"]}):
        rows.append((f"SETUPs {word}", [str(run["setups"].get(word, 0)) for run in runs]))
    rows.append(("start, median ms", [f"{run['start_ms_p50']:.0f}" for run in runs]))
    rows.append(("start, 99th ms", [f"{run['start_ms_p99']:.0f}" for run in runs]))
    for part in ("watched", "seats", "sums", "config"):
        for name in dict.fromkeys(name for run in runs for name in run[part]):
            rows.append((name, [str(run[part].get(name, "")) for run in runs]))
    for rule in (*RULES, *(FOLLOWED if any(result.config for result in results) else ())):
        rows.append((rule, [_kept(result, rule) for result in results]))
    first = max(len(name) for name, _ in rows)
    widths = [max(len(cells[at]) for _, cells in rows) for at in range(len(runs))]
    lines = [
        f"{name:{first}}  " + "  ".join(f"{c:>{w}}" for c, w in zip(cells, widths, strict=True))
        for name, cells in rows
    ]
    breaches = [str(breach) for result in results for breach in result.breaches][:20]
    hollow = [line for result in results for line in result.hollow]
    return "\n".join([*lines, *hollow, *breaches])


def _kept(result: Result, rule: str) -> str:
    broken = sum(breach.rule == rule for breach in result.breaches)
    return f"{broken} BROKEN" if broken else "kept"


def _at(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
