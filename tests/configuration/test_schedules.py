"""Random schedules uphold the guarantees of docs/configuration.md, and detect every injected defect."""

from __future__ import annotations

import pytest

from tests.configuration.defects import DEFECTS, with_defect
from tests.configuration.schedules import violations_of

# The first seed, searched from 0, whose schedule detects the defect; the first ten seeds detect the others.
FIRST_FAILING_SEED = {
    "verdicts_never_sent": 287,
    "unchecked_changes_treated_as_confirmed": 54,
    "refused_change_partially_applied": 49,
    "invalid_result_accepted": 19,
    "every_baseline_applied": 19,
    "changes_in_a_later_base_missing_from_history": 12642,
    "unchecked_changes_not_relayed": 132,
    "changes_before_the_cut_dropped": 58,
    "changes_above_the_flush_limit_lost": 83,
    "confirmation_never_withdrawn": 54,
}


REGRESSION_SEEDS = (287, 5978, 8358, 9909, 12642, 15605)  # violated a guarantee or a check in an earlier version


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_schedules_that_once_failed_uphold_the_guarantees(seed: int) -> None:
    assert violations_of(seed) == []


@pytest.mark.parametrize("first", range(0, 200, 10))
def test_random_schedules_uphold_the_guarantees(first: int) -> None:
    failures = {seed: violations_of(seed) for seed in range(first, first + 10)}
    assert not {seed: found for seed, found in failures.items() if found}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_an_injected_defect_is_detected(name: str) -> None:
    seeds = [FIRST_FAILING_SEED[name]] if name in FIRST_FAILING_SEED else range(10)
    with with_defect(name):
        assert any(violations_of(seed) for seed in seeds)
