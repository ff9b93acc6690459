"""Fits of measured figures over sizes: constant, linear, n log n, n squared, and a power where none of them
fits (numpy, least squares).

The rule. A figure's residual counts relative to the mean of its size (to a twentieth of the largest mean at
least), since spreads grow with figures. Of linear, n log n and n squared the one with the least sum of
squares is taken, linear unless another's sum is under `CLEARLY` of its own. A constant is kept unless the
sum falls by more than its own unexplained part would by chance (`STEADY`). What is taken fits where each
mean lies off by `MOST_OFF` at most, or by thrice its standard error where that is more, and by `FAR_OFF` at
most in any case. Where it does not fit, a power of the size is tried; where that does not either, nothing
is claimed."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np
from numpy.typing import NDArray

LEAST_SIZES, LEAST_REPETITIONS = 4, 3
CLEARLY = 0.7  # of the linear form's sum of squares
STEADY = 12.0  # the F statistic of one coefficient more that a constant bears
MOST_OFF = 0.10
FAR_OFF = 0.25  # repetitions that scatter so widely bear no form
ERRORS = 3.0
_FLOOR = 0.05  # of the largest mean: what lies below is judged by this much
Floats = NDArray[np.float64]


class Shape(Enum):
    """The forms in which a need may grow with a size n."""

    CONSTANT = "constant"
    LINEAR = "linear"
    N_LOG_N = "n log n"
    SQUARED = "n squared"
    POWER = "power"


@dataclass(frozen=True, slots=True)
class Point:
    """One measured figure at a size."""

    size: float
    repetition: int
    figure: float


@dataclass(frozen=True, slots=True)
class Fit:
    """How a need grows: `base + value * g(n)`, or `value * n ** power`. `low` and `high` are the least and
    the greatest value when each repetition is fitted alone; `residual` is the largest, relative."""

    shape: Shape
    base: float
    value: float
    power: float
    low: float
    high: float
    residual: float
    sizes: tuple[float, ...]
    repetitions: int

    def at(self, size: float) -> float:
        """The figure at a size; never under nothing."""
        if self.shape is Shape.POWER:
            return float(self.value * size**self.power)
        return max(0.0, self.base + self.value * float(_grown(self.shape, np.array([size]))[0]))


def enough(points: Sequence[Point]) -> bool:
    """Whether there are four sizes or more with three repetitions or more."""
    counts: dict[float, int] = {}
    for point in points:
        counts[point.size] = counts.get(point.size, 0) + 1
    return sum(count >= LEAST_REPETITIONS for count in counts.values()) >= LEAST_SIZES


def fitted(points: Sequence[Point]) -> Fit | None:
    """The fit by the rule above; None where there are too few points or no form fits. Sizes are over 0."""
    if not enough(points):
        return None
    sizes = np.array([point.size for point in points])
    figures = np.array([point.figure for point in points])
    different = np.unique(sizes)
    means = np.array([figures[sizes == size].mean() for size in different])
    scale = np.maximum(np.abs(means), _FLOOR * np.abs(means).max())
    if not scale.any():
        return _made(Shape.CONSTANT, 0.0, 0.0, 1.0, points, 0.0)
    of_point = scale[np.searchsorted(different, sizes)]
    spread = _spread(sizes, figures, of_point)
    shape, base, value = _best(sizes, figures, of_point)
    counts = np.array([(sizes == size).sum() for size in different])
    allowed = np.maximum(MOST_OFF, np.minimum(FAR_OFF, ERRORS * spread / np.sqrt(counts)))
    off = np.abs(means - base - value * _grown(shape, different)) / scale
    if (off <= allowed).all():
        return _made(shape, base, value, 1.0, points, float(off.max()))
    if means.min() <= 0:
        return None
    power, logged = np.polyfit(np.log(different), np.log(means), 1)
    factor = float(np.exp(logged))
    off = np.abs(means - factor * different**power) / scale
    if (off > allowed).any():
        return None
    return _made(Shape.POWER, 0.0, factor, float(power), points, float(off.max()))


def _best(sizes: Floats, figures: Floats, scale: Floats) -> tuple[Shape, float, float]:
    growing = [Shape.LINEAR, Shape.N_LOG_N, Shape.SQUARED]
    tried: dict[Shape, tuple[float, float, float]] = {
        shape: _line(shape, sizes, figures, scale) for shape in (Shape.CONSTANT, *growing)
    }
    best = min(growing, key=lambda shape: tried[shape][2])
    if tried[best][2] > CLEARLY * tried[Shape.LINEAR][2]:
        best = Shape.LINEAR
    left, still = tried[best][2], tried[Shape.CONSTANT][2]
    # A perfect form leaves nothing: what rounding leaves must not count as a slope.
    chance = max(left, 1e-18 * len(sizes)) / (len(sizes) - 2)
    if still - left <= STEADY * chance:
        best = Shape.CONSTANT
    return best, tried[best][0], tried[best][1]


def _line(shape: Shape, sizes: Floats, figures: Floats, scale: Floats) -> tuple[float, float, float]:
    """Base, value and the sum of squares of relative residuals."""
    ones = np.ones_like(sizes) / scale
    if shape is Shape.CONSTANT:
        base = float((ones @ (figures / scale)) / (ones @ ones))
        return base, 0.0, float((((figures - base) / scale) ** 2).sum())
    grown = _grown(shape, sizes)
    by = float(grown.max())  # columns of like size: least squares of bytes over sizes stay well conditioned
    columns = np.column_stack([ones, grown / by / scale])
    found, *_ = np.linalg.lstsq(columns, figures / scale, rcond=None)
    base, value = float(found[0]), float(found[1]) / by
    return base, value, float((((figures - base - value * grown) / scale) ** 2).sum())


def _grown(shape: Shape, sizes: Floats) -> Floats:
    if shape is Shape.CONSTANT:
        return np.zeros_like(sizes)
    if shape is Shape.N_LOG_N:
        return np.asarray(sizes * np.log(sizes))
    return np.asarray(sizes**2 if shape is Shape.SQUARED else sizes)


def _spread(sizes: Floats, figures: Floats, scale: Floats) -> float:
    """The standard deviation of a figure about the mean of its size, relative, over all sizes together."""
    squares, free = 0.0, 0
    for size in np.unique(sizes):
        of_size = figures[sizes == size] / scale[sizes == size]
        squares += float(((of_size - of_size.mean()) ** 2).sum())
        free += len(of_size) - 1
    return math.sqrt(squares / max(1, free))


def _made(shape: Shape, base: float, value: float, power: float, points: Sequence[Point], off: float) -> Fit:
    alone: list[float] = []
    for repetition in {point.repetition for point in points}:
        own = [point for point in points if point.repetition == repetition]
        if len({point.size for point in own}) < LEAST_SIZES:
            continue
        sizes = np.array([point.size for point in own])
        figures = np.array([point.figure for point in own])
        scale = np.maximum(np.abs(figures), _FLOOR * np.abs(figures).max())
        if shape is Shape.POWER:
            if figures.min() > 0:
                alone.append(float(np.exp(np.polyfit(np.log(sizes), np.log(figures), 1)[1])))
        elif scale.any():
            found = _line(shape, sizes, figures, scale)
            alone.append(found[0] if shape is Shape.CONSTANT else found[1])
    own_value = base if shape is Shape.CONSTANT else value
    counts = [sum(point.size == size for point in points) for size in {point.size for point in points}]
    return Fit(
        shape,
        base,
        value,
        power,
        min([*alone, own_value]),
        max([*alone, own_value]),
        off,
        tuple(sorted({point.size for point in points})),
        min(counts),
    )
