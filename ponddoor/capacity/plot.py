"""Need over size with the limits drawn in (matplotlib): all needs as multiples of their limits over the
fleet's size, then one panel a need, its worst conditions as lines.

The picture names the digest of what it was drawn from, so that a picture left behind is found."""

import hashlib
import struct
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from ponddoor.capacity.project import Key, Projection, project
from ponddoor.capacity.records import Record
from ponddoor.capacity.rows import ROLES
from ponddoor.capacity.targets import Target

_TITLE = "Description"
_LINES = 6  # a panel
NEAR = 0.02  # of its limit: a need that stays below is in the first panel alone
_MOST_TEXT = 10_000


class PictureError(Exception):
    """A picture that can't be used: `str` names the file and what is wrong."""


def digest(target: Target, records: Iterable[Record]) -> str:
    """Of a target and its records: the same for the same content."""
    held = hashlib.sha256(msgspec.json.encode(target))
    for record in records:
        held.update(msgspec.json.encode(record))
    return held.hexdigest()


def panels(found: Mapping[Key, list[Projection]]) -> dict[str, list[Projection]]:
    """What is drawn: each need that has a limit and records, its projections under all conditions."""
    drawn: dict[str, list[Projection]] = {}
    for role in ROLES:
        for row in role.rows:
            for one in found[row.what, row.under, row.of]:
                if one.limit is not None and one.series is not None:
                    whose = role.mark.replace("-", " ")
                    drawn.setdefault(f"{whose}: {row.need}, over {row.of}", []).append(one)
    return drawn


def draw(target: Target, records: list[Record], picture: Path) -> int:
    """Draw all panels; returns how many there are. Raises OSError, RecordError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    held = panels(project(target, records))
    wide = 3
    near = {name: several for name, several in held.items() if max(map(_part, several)) >= NEAR}
    high = 1 + -(-len(near) // wide)
    drawn = plt.figure(figsize=(5 * wide, 3.2 * (high + 1)))
    grid = drawn.add_gridspec(high + 1, wide)
    _all(drawn.add_subplot(grid[0:2, 0:2]), held, target)
    for number, (name, several) in enumerate(near.items()):
        _panel(drawn.add_subplot(grid[2 + number // wide, number % wide]), name, several)
    drawn.tight_layout()
    picture.parent.mkdir(parents=True, exist_ok=True)
    drawn.savefig(picture, dpi=80, metadata={_TITLE: digest(target, records), "Software": None})
    plt.close(drawn)
    return len(held)


def _part(one: Projection) -> float:
    """The greatest need of a projection as a part of its limit."""
    most = one.limit.most if one.limit is not None else 1.0
    return max([one.figure, *one.measured.values()]) / most


def _all(axis: Any, held: Mapping[str, list[Projection]], target: Target) -> None:
    """Each need's worst condition as a multiple of its limit, over fronts that grow in step with all else."""
    if not held:
        axis.text(0.02, 0.5, "no need with a limit has a record yet", transform=axis.transAxes)
        return
    styles = ("-", "--", "-.", ":")
    for number, (name, several) in enumerate(held.items()):
        one = max(several, key=lambda each: each.figure)
        if one.limit is None or one.series is None:
            continue
        scale, most = target.fronts / one.size, one.limit.most
        sizes: list[float] = one.series.sizes
        if one.fit is not None:
            first = max(1.0, min(one.size / target.fronts, sizes[0]))
            shown = np.geomspace(first, max(one.size, sizes[-1]), 200)
            figures = [one.fitted(size) / most for size in shown]
        else:
            shown, figures = np.array(sizes), [need / most for need in one.measured.values()]
        label = f"{name} ({one.row.under})" + ("" if one.fit else ", no fit")
        positive = np.where(np.array(figures) > 0, figures, np.nan)
        line = axis.plot(shown * scale, positive, styles[number // 10 % 4], lw=1.2, label=label)
        means = [need / most or np.nan for need in one.measured.values()]
        axis.plot(np.array(sizes) * scale, means, ".", markersize=4, color=line[0].get_color())
    axis.axhline(1.0, color="red", lw=1.2)
    axis.text(0.005, 1.0, "limit", color="red", fontsize=8, va="bottom", transform=axis.get_yaxis_transform())
    axis.axvline(target.fronts, color="grey", lw=0.9, ls=":")
    _logarithmic(axis, True)
    axis.set_xlim(1, 3 * target.fronts)
    axis.set_ylim(bottom=1e-4)  # what is less is far from any limit
    axis.set_title("all needs as multiples of their limits", fontsize=9)
    axis.set_xlabel(
        "fronts, all other amounts in step; the target is dotted; points are measured", fontsize=8
    )
    axis.set_ylabel("times the limit", fontsize=8)
    # It lies in the empty third of its rows: the layout of all panels must not make room for it.
    axis.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5)).set_in_layout(False)


def _logarithmic(axis: Any, both: bool) -> None:
    """Logarithmic axes whose ticks are 1, 2 and 5 of each decade."""
    from matplotlib.ticker import FuncFormatter

    def shown(value: float, _: int) -> str:
        return format(value, ".12g") if format(value, "e")[0] in "125" else ""

    axis.set_xscale("log")
    axis.xaxis.set_minor_formatter(FuncFormatter(shown))
    axis.xaxis.set_major_formatter(FuncFormatter(shown))
    if both:
        axis.set_yscale("log")
        low, high = axis.get_ylim()
        axis.yaxis.set_major_formatter(FuncFormatter(shown))
        few = FuncFormatter(shown) if high < 200 * low else FuncFormatter(lambda *_: "")
        axis.yaxis.set_minor_formatter(few)
    axis.tick_params(which="both", labelsize=6)


def _panel(axis: Any, name: str, several: list[Projection]) -> None:
    first = several[0]
    assert first.limit is not None
    most = first.limit.most
    # The worst conditions alone: a panel of more lines can't be read. Two values of one target are one line.
    worst = sorted(several, key=lambda one: (-one.size, -one.figure))
    chosen = list({one.row: one for one in reversed(worst)}.values())[::-1][:_LINES]
    for one in chosen:
        if one.series is None:
            continue
        points = axis.plot(
            [point.size for point in one.series.points],
            [one.need(point.size, point.figure) for point in one.series.points],
            ".",
            markersize=4,
            label=one.row.under,
        )
        last = max(one.size, one.series.sizes[-1])
        if one.fit is not None:
            sizes = np.geomspace(one.series.sizes[0], last, 60)
            figures = [one.fitted(size) for size in sizes]
            axis.plot(sizes, figures, "-", lw=0.9, color=points[0].get_color())
            crossing = one.over_from
            if crossing is not None and crossing > one.series.sizes[0]:
                axis.plot([crossing], [most], "x", color="red", markersize=8)
    axis.axhline(most, color="red", lw=1.0)
    axis.text(
        0.01,
        most,
        "limit" if first.limit.stated else "limit (ours)",
        color="red",
        fontsize=7,
        va="bottom",
        transform=axis.get_yaxis_transform(),
    )
    for size in dict.fromkeys(one.size for one in several):
        axis.axvline(size, color="grey", lw=0.8, ls=":")
    least = min((p.figure for one in chosen if one.series for p in one.series.points), default=0)
    _logarithmic(axis, least > 0)
    axis.set_title(name.rpartition(", over ")[0], fontsize=8)
    axis.set_xlabel(first.row.of, fontsize=8)
    axis.set_ylabel(first.unit, fontsize=8)
    axis.legend(fontsize=6, loc="best")


def drawn_from(picture: Path) -> str:
    """The digest that a picture names; empty where it names none. Raises PictureError."""
    try:
        data = picture.read_bytes()
    except OSError as problem:
        raise PictureError(f"{picture}: {problem.strerror or problem}") from None
    if not data.startswith(b"\x89PNG\r\n\x1a\n"):
        raise PictureError(f"{picture}: no PNG")
    at = 8
    while at + 8 <= len(data):
        length, kind = struct.unpack(">I4s", data[at : at + 8])
        held = data[at + 8 : at + 8 + min(length, _MOST_TEXT)]
        if kind == b"tEXt" and held.startswith(_TITLE.encode() + b"\0"):
            return held.partition(b"\0")[2].decode("latin-1")
        at += 12 + length
    return ""
