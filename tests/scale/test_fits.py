"""Fits recover the growth of generated results and detect quadratic growth."""

from __future__ import annotations

import math
import random
import subprocess
import sys

import pytest

from sprucepost.scale.fits import (
    MIN_STATED_ERROR,
    Observation,
    Shape,
    best_fit,
    grows_too_fast,
    hold_out,
    slopes,
)
from tests.scale.generated import SIZES, Growth, generated

GROWTHS: dict[Shape, Growth] = {
    Shape.CONSTANT: lambda n: 0.0,
    Shape.LOGARITHMIC: lambda n: 4.0 * math.log1p(n),
    Shape.LINEAR: lambda n: 0.5 * n,
    Shape.LINEARITHMIC: lambda n: 0.2 * n * math.log1p(n),
}


def observed(
    growth: Growth, seed: int, noise: float = 0.02, sizes: tuple[int, ...] = (12, 24, 48, 96)
) -> list[Observation]:
    rng = random.Random(seed)
    return [Observation(size, (10.0 + growth(size)) * rng.gauss(1.0, noise)) for _ in range(3) for size in sizes]


@pytest.mark.parametrize("shape", [Shape.CONSTANT, Shape.LOGARITHMIC, Shape.LINEAR])
def test_the_generating_shape_is_recovered(shape: Shape) -> None:
    found = [best_fit(observed(GROWTHS[shape], seed)).shape for seed in range(100)]
    assert found.count(shape) >= 90


def test_without_noise_every_shape_is_exact() -> None:
    for shape, growth in GROWTHS.items():
        fit = best_fit(observed(growth, 0, noise=0.0))
        assert fit.shape is shape
        assert fit.at(400) == pytest.approx(10.0 + growth(400))


@pytest.mark.parametrize("shape", list(Shape))
def test_a_prediction_for_four_times_the_largest_size_is_near(shape: Shape) -> None:
    growth = GROWTHS[shape]
    off = [best_fit(observed(growth, seed)).at(384) / (10.0 + growth(384)) - 1.0 for seed in range(100)]
    assert sum(abs(each) <= 0.3 for each in off) >= 95


def test_a_figure_that_falls_is_predicted_as_constant() -> None:
    fit = best_fit(observed(lambda n: -0.08 * n, 3))
    assert (fit.shape, fit.growth) == (Shape.CONSTANT, 0.0)


def test_the_largest_size_is_predicted_from_the_others_alone() -> None:
    observations = [Observation(size, float(size)) for size in (1, 2, 4) for _ in range(3)]
    observations += [Observation(8, 16.0)] * 3
    held = hold_out(observations)
    assert (held.size, held.measured) == (8, 16.0)
    assert held.predicted == pytest.approx(8.0) and held.error == pytest.approx(-0.5)


@pytest.mark.parametrize("shape", list(Shape))
def test_allowed_growth_is_not_reported(shape: Shape) -> None:
    found = [grows_too_fast(observed(GROWTHS[shape], seed)) for seed in range(200)]
    assert sum(found) <= 2


def test_a_figure_that_falls_and_levels_off_is_not_reported() -> None:
    """A share of a fixed load: fewer tasks for each placer, the more placers there are."""
    found = [grows_too_fast(observed(lambda n: 600.0 / n - 8.0, seed, noise=0.05)) for seed in range(200)]
    assert sum(found) == 0


def test_quadratic_growth_is_detected() -> None:
    found = [grows_too_fast(observed(lambda n: 0.1 * n + 0.01 * n * n, seed)) for seed in range(100)]
    assert sum(found) >= 95


def test_all_values_zero_is_constant() -> None:
    observations = [Observation(size, 0.0) for size in (1, 2, 4, 8) for _ in range(3)]
    assert best_fit(observations).shape is Shape.CONSTANT
    assert hold_out(observations).error == 0.0 and not grows_too_fast(observations)


def test_slopes_are_formed_for_each_series_and_processes_are_averaged() -> None:
    results = generated({"cpu_percent": (1.0, {"placers": lambda n: 0.02 * n})}, seed=5)
    found = slopes(results)
    assert {(s.role, s.figure, s.variable) for s in found.fitted} == {("placer", "cpu_percent", v) for v in SIZES}
    placers = next(slope for slope in found.fitted if slope.variable == "placers")
    assert len(placers.observations) == 12 and placers.fit.shape is Shape.LINEAR
    assert placers.error >= MIN_STATED_ERROR and placers.beyond(385) and not placers.beyond(384)


@pytest.mark.parametrize(("sizes", "repeats"), [((12, 24, 48), 3), ((12, 24, 48, 96), 1)])
def test_too_few_sizes_or_runs_are_skipped_with_the_reason(sizes: tuple[int, ...], repeats: int) -> None:
    results = generated({"cpu_percent": (1.0, {})}, 1, repeats=repeats, sizes={"placers": sizes})
    found = slopes(results)
    assert not found.fitted and [each.variable for each in found.skipped] == ["placers"]
    assert "needed" in found.skipped[0].why


def test_without_numpy_the_error_is_one_line() -> None:
    program = (
        "import sys; sys.modules['numpy'] = None\n"
        "from sprucepost.scale.fits import FitsError, Observation, best_fit\n"
        "try: best_fit([Observation(1, 1)])\n"
        "except FitsError as error: print(error)"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert done.stdout.count("\n") == 1 and "numpy" in done.stdout
