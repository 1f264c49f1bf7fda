"""Sizes of the sweeps compared with the planned size, and merged results."""

from __future__ import annotations

import pytest
from msgspec import structs

from sprucepost.scale import deployment
from sprucepost.scale.fits import MAX_EXTRAPOLATION_FACTOR, MIN_SIZES
from sprucepost.scale.results import ResultsError
from sprucepost.scale.size import VARIABLES
from sprucepost.scale.sweeps import BASE, FULL, FULL_REPEATS, QUICK, measure_full, merged_results, planned_size
from sprucepost.scale.target import target_of
from tests.scale.generated import generated
from tests.scale.support import size


def test_the_full_sweep_varies_every_variable_of_the_plan() -> None:
    assert set(VARIABLES) == set(FULL) == set(target_of(size("two-years")).sizes)


@pytest.mark.parametrize("variable", sorted(FULL))
def test_the_plan_is_close_enough_to_the_measured_sizes_for_predictions(variable: str) -> None:
    assert len(FULL[variable]) >= MIN_SIZES and FULL_REPEATS >= 3
    assert target_of(size("two-years")).sizes[variable] <= MAX_EXTRAPOLATION_FACTOR * max(FULL[variable])
    assert getattr(BASE, variable) in FULL[variable]


def test_the_most_tasks_fit_the_workers_of_the_base_size() -> None:
    cores = BASE.workers * deployment.CORES
    assert max(FULL["running_tasks"]) * deployment.TASK_CORES <= 0.8 * cores


def test_the_quick_sweep_measures_sizes_of_the_full_one() -> None:
    assert all(set(sizes) <= set(FULL[variable]) for variable, sizes in QUICK.items())


def test_the_planned_size_is_the_target_of_the_predictions() -> None:
    planned, target = planned_size(size("two-years")), target_of(size("two-years"))
    assert {name: float(getattr(planned, name)) for name in VARIABLES} == target.sizes


def test_an_unknown_variable_is_refused_before_anything_runs() -> None:
    with pytest.raises(ResultsError, match="weather: none of placers, workers"):
        measure_full(["placers", "weather"], 1, "small", "test")


def test_only_results_of_the_same_version_are_merged() -> None:
    one, other = generated({"cpu_percent": (1.0, {})}, 1), generated({"cpu_percent": (1.0, {})}, 2)
    assert merged_results(one, other).points == one.points + other.points
    with pytest.raises(ResultsError, match="version: v0 in the kept results, v1 in the new ones"):
        merged_results(one, structs.replace(other, version="v1"))
