"""Need over size with the limits drawn in (matplotlib): one panel a need, its worst conditions as lines.

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
                    drawn.setdefault(f"{row.need}, {role.title.split(',')[0].split(' (')[0].lower()}"
                                     f", over {row.of}", []).append(one)  # fmt: skip
    return drawn


def draw(target: Target, records: list[Record], picture: Path) -> int:
    """Draw all panels; returns how many there are. Raises OSError, RecordError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    held = panels(project(target, records))
    wide = 3
    high = max(1, -(-len(held) // wide))
    drawn, axes = plt.subplots(high, wide, figsize=(5 * wide, 3.4 * high), squeeze=False)
    for axis, (name, several) in zip(axes.flat, held.items(), strict=False):
        _panel(axis, name, several)
    for axis in axes.flat[len(held) :]:
        axis.axis("off")
    if not held:
        axes[0, 0].text(0.0, 0.5, "no record has a limit yet")
    drawn.tight_layout()
    picture.parent.mkdir(parents=True, exist_ok=True)
    drawn.savefig(picture, dpi=80, metadata={_TITLE: digest(target, records), "Software": None})
    plt.close(drawn)
    return len(held)


def _panel(axis: Any, name: str, several: list[Projection]) -> None:
    first = several[0]
    assert first.limit is not None
    most = first.limit.most
    # The worst conditions alone: a panel of more lines can't be read.
    chosen = sorted(several, key=lambda one: -one.figure)[:_LINES]
    for one in chosen:
        if one.series is None:
            continue
        points = axis.plot(
            [point.size for point in one.series.points],
            [point.figure * one.factor for point in one.series.points],
            ".",
            markersize=4,
            label=one.row.under,
        )
        colour = points[0].get_color()
        last = max(one.size, one.series.sizes[-1])
        if one.fit is not None:
            sizes = np.geomspace(one.series.sizes[0], last, 60)
            axis.plot(sizes, [one.fit.at(size) * one.factor for size in sizes], "-", lw=0.9, color=colour)
            crossing = one.over_from
            if crossing is not None and crossing > one.series.sizes[0]:
                axis.plot([crossing], [most], "x", color="red", markersize=8)
    axis.axhline(most, color="red", lw=1.0)
    axis.text(0.01, most, "limit" if first.limit.stated else "limit (ours)", color="red", fontsize=7,
              va="bottom", transform=axis.get_yaxis_transform())  # fmt: skip
    for size in dict.fromkeys(one.size for one in several):
        axis.axvline(size, color="grey", lw=0.8, ls=":")
    axis.set_xscale("log")
    least = min((p.figure * one.factor for one in chosen if one.series for p in one.series.points), default=0)
    if least > 0:
        axis.set_yscale("log")
    axis.set_title(name, fontsize=8)
    axis.set_xlabel(first.row.of, fontsize=8)
    axis.set_ylabel(first.unit, fontsize=8)
    axis.tick_params(labelsize=7)
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
