"""Predictions for a planned size: budgets, extrapolation marks, and contradictions by new results."""

from __future__ import annotations

import pytest
from msgspec import structs

from sprucepost.scale.fits import slopes
from sprucepost.scale.predictions import (
    BYTES_CONTROL,
    CPU_CONTROL,
    Comparison,
    Limit,
    Prediction,
    Target,
    comparisons,
    models,
    predictions,
    too_fast,
    with_sums,
)
from sprucepost.scale.results import Point, Results
from tests.scale.generated import BASE, Growth, generated

FIGURES: dict[str, tuple[float, dict[str, Growth]]] = {
    "cpu_percent": (0.8, {"placers": lambda n: 0.004 * n, "workers": lambda n: 0.001 * n}),
    "memory_mib": (40.0, {"workers": lambda n: 0.02 * n}),
    "bytes_out_per_s": (500.0, {"placers": lambda n: 2.0 * n}),
    "bytes_in_per_s": (300.0, {}),
}


def deviations(kept: Results, measured: Results) -> list[Comparison]:
    """Comparisons that do not hold."""
    return [each for each in comparisons(models(slopes(kept), kept.base), measured) if not each.holds]


PLAN = {"placers": 300.0, "workers": 1000.0, "teams": 4.0}


def target(**budget: float) -> Target:
    return Target("small", PLAN, budget)


def predicted(results: Results, figure: str, **budget: float) -> Prediction:
    found = predictions(slopes(with_sums(results)), results.base, target(**budget))
    return next(each for each in found if each.figure == figure)


@pytest.mark.parametrize("seed", range(5))
def test_effects_of_variables_are_additive_from_the_base(seed: int) -> None:
    found = predicted(generated(FIGURES, seed), "cpu_percent")
    assert found.base == pytest.approx(0.8, rel=0.05)
    assert found.at_plan == pytest.approx(0.8 + 0.004 * 276 + 0.001 * 976, rel=0.15)
    assert found.error > 0.0 and found.budget is None and found.breaks is None


def test_far_extrapolations_are_marked() -> None:
    found = predicted(generated(FIGURES, 1), "cpu_percent")
    assert found.marked == ("workers",)  # 1,000 of 200 measured; 300 placers of 96 are not


@pytest.mark.parametrize("seed", range(5))
def test_headroom_and_the_size_that_breaks_a_budget(seed: int) -> None:
    grows: dict[str, Growth] = {"placers": lambda n: 0.004 * n, "workers": lambda n: 0.0002 * n}
    found = predicted(generated({"cpu_percent": (0.8, grows)}, seed), "cpu_percent", cpu_percent=1.7)
    at_plan = 0.8 + 0.004 * (300 - 24) + 0.0002 * (1000 - 24)
    assert found.headroom == pytest.approx(1.7 / at_plan, rel=0.15)
    assert found.breaks is not None and found.breaks.limit is Limit.AT and found.breaks.variable == "placers"
    assert found.breaks.factor == pytest.approx((1.7 - 0.8 + 0.004 * 24 + 0.0002 * 24) / 1.4, abs=0.1)
    assert found.breaks.size == pytest.approx(300 * found.breaks.factor)


def test_a_budget_below_the_smallest_size_and_one_that_nothing_breaks() -> None:
    broken = predicted(generated(FIGURES, 1), "memory_mib", memory_mib=20.0).breaks
    whole = predicted(generated(FIGURES, 1), "memory_mib", memory_mib=4000.0).breaks
    assert broken is not None and broken.limit is Limit.BELOW
    assert whole is not None and whole.limit is Limit.NONE


def test_directions_are_summed_and_load_is_not_control() -> None:
    figures: dict[str, tuple[float, dict[str, Growth]]] = {
        "cpu_percent": (3.0, {}), "cpu_percent.peers": (1.0, {}), "cpu_percent.placements": (2.0, {}),
        "bytes_out_per_s": (30.0, {}), "bytes_in_per_s": (12.0, {}), "bytes_out_per_s.list": (20.0, {}),
        "bytes_in_per_s.clients": (12.0, {}), "bytes_in_per_s.list": (5.0, {}),
    }  # fmt: skip
    sample = with_sums(generated(figures, 3)).points[0].samples[0].figures
    assert sample["bytes_per_s"] == sample["bytes_out_per_s"] + sample["bytes_in_per_s"]
    assert sample[CPU_CONTROL] == sample["cpu_percent.peers"]
    assert sample[BYTES_CONTROL] == sample["bytes_out_per_s.list"] + sample["bytes_in_per_s.list"]


def test_the_total_is_compared_with_the_control_budget_where_control_was_not_measured() -> None:
    apart: dict[str, tuple[float, dict[str, Growth]]] = {"cpu_percent": (3.0, {}), "cpu_percent.peers": (1.0, {})}
    budget = {CPU_CONTROL: 1.7}
    for figures, bounded in ((apart, [CPU_CONTROL]), ({"cpu_percent": (3.0, {})}, ["cpu_percent"])):
        results = with_sums(generated(figures, 1))
        found = predictions(slopes(results), results.base, Target("small", PLAN, budget))
        assert [each.figure for each in found if each.budget is not None] == bounded


def test_an_unmeasured_variable_is_named() -> None:
    results = generated(FIGURES, 1)
    found = predictions(slopes(results), results.base, Target("other", {**PLAN, "regions": 2.0}, {}))
    assert all(each.unmeasured == ("regions",) for each in found)


@pytest.mark.parametrize("seed", range(20))
def test_another_run_of_the_same_program_is_within_the_stated_error(seed: int) -> None:
    kept = generated(FIGURES, 100 + seed)
    assert deviations(kept, generated(FIGURES, seed, repeats=1)) == []


def planted(results: Results, per_square: float) -> Results:
    """A copy of the results in which processor time grows with the square of the fleet as well."""

    def slowed(point: Point) -> Point:
        square = point.size**2 - BASE["placers"] ** 2 if point.variable == "placers" else 0.0
        samples = tuple(
            structs.replace(
                sample, figures={**sample.figures, "cpu_percent": sample.figures["cpu_percent"] + per_square * square}
            )
            for sample in point.samples
        )
        return structs.replace(point, samples=samples)

    return structs.replace(results, points=tuple(slowed(point) for point in results.points))


@pytest.mark.parametrize("seed", range(20))
def test_a_planted_quadratic_cost_is_detected(seed: int) -> None:
    honest, slow = generated(FIGURES, seed), planted(generated(FIGURES, 200 + seed), 1e-4)
    assert too_fast(slopes(honest).fitted) == []
    assert too_fast(slopes(slow).fitted) == ["placer cpu_percent grows faster than n log n with placers"]
    found = deviations(honest, slow)
    assert {(each.figure, each.variable, each.size) for each in found} >= {("cpu_percent", "placers", 96.0)}
    assert "placer cpu_percent at placers 96: measured" in found[-1].text


@pytest.mark.parametrize("seed", range(5))
def test_doubled_processor_time_is_the_only_contradiction(seed: int) -> None:
    """Processor times are compared as measured, so an unchanged program on a machine half as fast is reported too."""
    kept, points = generated(FIGURES, seed), []
    for point in generated(FIGURES, 50 + seed).points:
        samples = tuple(
            structs.replace(each, figures={**each.figures, "cpu_percent": 2.0 * each.figures["cpu_percent"]})
            for each in point.samples
        )
        points.append(structs.replace(point, samples=samples))
    slower = structs.replace(kept, points=tuple(points), reference_ms=40.0)
    found = deviations(kept, slower)
    assert {each.figure for each in found} == {"cpu_percent"}
    assert len(found) == len({(point.variable, point.size) for point in points})
