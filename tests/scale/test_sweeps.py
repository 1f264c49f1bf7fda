"""What the sweeps move, against the planned size; results that are put together."""

from __future__ import annotations

import pytest
from msgspec import structs

from sprucepost.scale import deployment
from sprucepost.scale.fits import FARTHEST, SIZES_LEAST
from sprucepost.scale.results import ResultsError
from sprucepost.scale.size import VARIABLES
from sprucepost.scale.sweeps import BASE, FULL, FULL_REPEATS, QUICK, measure_full, merged_results, planned_size
from sprucepost.scale.target import target_of
from tests.scale.generated import generated
from tests.scale.support import size


def test_every_variable_of_the_plan_is_moved() -> None:
    assert set(VARIABLES) == set(FULL) == set(target_of(size("two-years")).sizes)


@pytest.mark.parametrize("variable", sorted(FULL))
def test_the_plan_is_within_reach_of_the_measured_sizes(variable: str) -> None:
    assert len(FULL[variable]) >= SIZES_LEAST and FULL_REPEATS >= 3
    assert target_of(size("two-years")).sizes[variable] <= FARTHEST * max(FULL[variable])
    assert getattr(BASE, variable) in FULL[variable]


def test_the_most_tasks_have_room_at_the_base() -> None:
    cores = BASE.workers * deployment.CORES
    assert max(FULL["running_tasks"]) * deployment.TASK_CORES <= 0.8 * cores


def test_the_quick_sweep_measures_what_the_full_one_has() -> None:
    assert all(set(sizes) <= set(FULL[variable]) for variable, sizes in QUICK.items())


def test_the_planned_size_is_the_target_of_the_predictions() -> None:
    planned, target = planned_size(size("two-years")), target_of(size("two-years"))
    assert {name: float(getattr(planned, name)) for name in VARIABLES} == target.sizes


def test_an_unknown_variable_is_told_before_anything_runs() -> None:
    with pytest.raises(ResultsError, match="weather: none of placers, workers"):
        measure_full(["placers", "weather"], 1, "small", "test")


def test_results_of_one_version_are_put_together_and_others_are_not() -> None:
    one, other = generated({"cpu_percent": (1.0, {})}, 1), generated({"cpu_percent": (1.0, {})}, 2)
    assert merged_results(one, other).points == one.points + other.points
    with pytest.raises(ResultsError, match="version: v0 in the kept results, v1 in the new ones"):
        merged_results(one, structs.replace(other, version="v1"))
