"""Days played with hints and without, at the same time on the same seed, and the differences plotted."""

import asyncio
import tempfile
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ponddoor.rehearse.day import load_day
from ponddoor.rehearse.report import as_dict
from ponddoor.rehearse.run import Rehearsal, RehearsalError

FIGURES: dict[str, Callable[[dict[str, Any]], float]] = {
    "service by the rung in force": lambda run: run["service"],
    "utility a segment": lambda run: run["watched"].get("  utility a segment", 0.0),
    "stalled, share of time": lambda run: run["watched"].get("  stalled, share of time", 0.0),
    "switches a minute": lambda run: run["watched"].get("  switches a minute", 0.0),
    "start, median ms": lambda run: run["start_ms_p50"],
    "start, 99th ms": lambda run: run["start_ms_p99"],
    "utility of the honest": lambda run: _apart(run, "  utility a segment", " of the honest"),
    "utility of liars": lambda run: _apart(run, "  utility a segment", " of liars"),
}


def _apart(run: dict[str, Any], name: str, who: str) -> float:
    return float(run["watched"].get(name + who, run["watched"].get(name, 0.0) if "honest" in who else 0.0))


async def play_pairs(
    days: list[Path],
    seeds: int,
    jobs: int,
    shares: dict[str, float],
    out: Path,
    say: Callable[[str], None],
    against: str = "off",
) -> int:
    """Add a line of JSON a pair to a file; returns how many rules were broken. A pair that could not be
    played is said and left out."""
    gate, broken = asyncio.Semaphore(jobs), 0

    async def one(day: Path, seed: int) -> None:
        nonlocal broken
        async with gate:
            try:
                on, off = await asyncio.gather(
                    _played(day, seed, True, shares),
                    _played(day, seed, against == "truth", {**shares, "candid": float(against == "truth")}),
                )
            except RehearsalError as problem:
                say(f"{day.name}, seed {seed}: {problem}")
                return
        with out.open("ab") as file:
            row = {"day": on["day"], "seed": seed, "shares": shares, "against": against, "on": on, "off": off}
            file.write(msgspec.json.encode(row) + b"\n")
        faults = [*on["breaches"], *off["breaches"]]
        broken += len(faults)
        told = ", ".join(f"{name} {get(off):.3f} -> {get(on):.3f}" for name, get in list(FIGURES.items())[:4])
        say(f"{on['day']}, seed {seed}: {told}{''.join(f'; {fault}' for fault in faults[:3])}")

    await asyncio.gather(*(one(day, seed) for day in days for seed in range(1, seeds + 1)))
    return broken


async def _played(path: Path, seed: int, hints: bool, shares: dict[str, float]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="ponddoor-") as spare:
        day = load_day(path, seed, hints, shares)
        told = {"file": str(path.resolve()), "seed": seed, "hints": hints, "shares": shares}
        (Path(spare) / "day.json").write_bytes(msgspec.json.encode(told))
        return as_dict(await Rehearsal(day, Path(spare)).play())


def plotted(results: list[Path], picture: Path) -> str:
    """A picture of all pairs, with hints less without (or lies less truth), and a table of medians.

    Raises ValueError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [msgspec.json.decode(line) for path in results for line in path.read_bytes().splitlines() if line]
    groups: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        changed = ", lies against truth" if row.get("against") == "truth" else ""
        changed += "".join(f" {name}={value:g}" for name, value in sorted(row["shares"].items()))
        groups[row["day"].removeprefix("hints-") + changed].append(row)
    if not groups:
        raise ValueError("no pairs in these files")
    shown = list(FIGURES)[:6]
    figure, axes = pyplot.subplots(2, 3, figsize=(13, 3.2 + 0.5 * len(groups)), sharey=True)
    names = list(groups)
    lines = ["figure: " + " | ".join(names)]
    for name in FIGURES:
        cells = []
        for day in names:
            pairs = sorted((FIGURES[name](row["off"]), FIGURES[name](row["on"])) for row in groups[day])
            differences = sorted(on - off for off, on in pairs)
            off_middle = sorted(off for off, _ in pairs)[len(pairs) // 2]
            middle = differences[len(differences) // 2]
            better = sum(d > 0 for d in differences)
            cells.append(f"{off_middle:.4g} {middle:+.3g} ({better} of {len(pairs)} up)")
        lines.append(f"{name}: " + " | ".join(cells))
    for axis, name in zip(axes.flat, shown, strict=True):
        for at, day in enumerate(names):
            differences = [FIGURES[name](row["on"]) - FIGURES[name](row["off"]) for row in groups[day]]
            axis.plot(differences, [at] * len(differences), "o", alpha=0.5, markersize=5)
            axis.plot([sorted(differences)[len(differences) // 2]], [at], "k|", markersize=16)
        axis.axvline(0, color="grey", linewidth=0.8)
        axis.set_title(f"{name}: with hints less without", fontsize=9)
        axis.set_yticks(range(len(names)), names)
    figure.tight_layout()
    figure.savefig(picture, dpi=80)
    pyplot.close(figure)
    return "\n".join(lines)
