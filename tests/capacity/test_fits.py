"""Fits of made figures: each form is found again, and nothing is claimed where it may not be."""

import math
import random
from collections.abc import Callable

import pytest

from ponddoor.capacity.fits import Point, Shape, enough, fitted

SIZES = (20, 50, 100, 200, 400, 820)
FORMS: list[tuple[Shape, Callable[[float], float]]] = [
    (Shape.CONSTANT, lambda n: 2.2),
    (Shape.LINEAR, lambda n: 5 + 0.3 * n),
    (Shape.LINEAR, lambda n: 4e6 + 20_000 * n),
    (Shape.N_LOG_N, lambda n: 1e-4 * n * math.log(n)),
    (Shape.SQUARED, lambda n: 1 + 0.002 * n * n),
    (Shape.POWER, lambda n: 0.1 * n**1.5),
    (Shape.POWER, lambda n: 3 * n**0.5),
]


def made(form: Callable[[float], float], noise: float = 0.0, seed: int = 1) -> list[Point]:
    chance = random.Random(seed)
    return [Point(n, k, form(n) * (1 + chance.gauss(0, noise))) for n in SIZES for k in range(3)]


@pytest.mark.parametrize("noise", [0.0, 0.01, 0.03])
@pytest.mark.parametrize("case", range(len(FORMS)))
def test_each_form_is_found_again_with_noise(case: int, noise: float) -> None:
    shape, form = FORMS[case]
    for seed in range(10):
        fit = fitted(made(form, noise, seed))
        assert fit is not None and fit.shape is shape
        assert fit.at(1640) == pytest.approx(form(1640), rel=0.01 + 4 * noise)
        assert fit.sizes == SIZES and fit.repetitions == 3
        assert fit.low <= (fit.base if shape is Shape.CONSTANT else fit.value) <= fit.high


def test_the_spread_of_a_slope_holds_its_true_value() -> None:
    held = [fitted(made(lambda n: 5 + 0.3 * n, 0.03, seed)) for seed in range(40)]
    assert all(fit is not None for fit in held)
    assert sum(fit.low <= 0.3 <= fit.high for fit in held if fit) >= 20  # by chance 30 of 40


def test_what_is_no_form_is_claimed_as_none() -> None:
    assert fitted(made(lambda n: 10 if n < 300 else 1000)) is None


def test_one_figure_far_off_makes_no_form_fit() -> None:
    points = made(lambda n: 2 + 0.07 * n, 0.02)
    assert fitted(points) is not None
    wild = [Point(p.size, p.repetition, p.figure + 40 * (p.size == 50 and p.repetition == 2)) for p in points]
    assert fitted(wild) is None


def test_what_is_nothing_everywhere_is_a_constant() -> None:
    fit = fitted(made(lambda n: 0.0))
    assert fit is not None and fit.shape is Shape.CONSTANT and fit.at(5_000) == 0


@pytest.mark.parametrize(("sizes", "repetitions"), [(3, 3), (4, 2), (6, 1), (0, 3)])
def test_too_few_figures_give_no_fit(sizes: int, repetitions: int) -> None:
    points = [Point(n, k, 1.0 * n) for n in SIZES[:sizes] for k in range(repetitions)]
    assert not enough(points) and fitted(points) is None
