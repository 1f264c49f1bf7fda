"""Drawn schedules keep the promises of docs/configuration.md, and find every planted defect."""

from __future__ import annotations

import pytest

from tests.configuration.defects import DEFECTS, planted
from tests.configuration.schedules import problems

# Where a defect shows first, as a search over `problems(seed)` from 0 found; the others show in the first ten.
SHOWS_AT = {
    "a_limited_program_never_asks_for_verdicts": 287,
    "a_limited_program_trusts_its_guess": 54,
    "a_refused_change_keeps_some_edits": 49,
    "an_invalid_result_is_accepted": 19,
    "every_baseline_counts": 19,
    "what_a_later_base_holds_again_is_shown_no_more": 12642,
    "what_a_program_does_not_know_is_not_relayed": 132,
    "what_is_older_than_the_base_is_dropped": 58,
    "what_one_flush_cannot_hold_is_lost": 83,
    "what_was_confirmed_is_never_doubted": 54,
}


FOUND = (287, 5978, 8358, 9909, 12642, 15605)  # which broke a promise, or a check, of an earlier version


@pytest.mark.parametrize("seed", FOUND)
def test_schedules_that_once_found_something_keep_the_promises(seed: int) -> None:
    assert problems(seed) == []


@pytest.mark.parametrize("first", range(0, 200, 10))
def test_drawn_schedules_keep_the_promises(first: int) -> None:
    broken = {seed: problems(seed) for seed in range(first, first + 10)}
    assert not {seed: found for seed, found in broken.items() if found}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_a_planted_defect_is_found(name: str) -> None:
    seeds = [SHOWS_AT[name]] if name in SHOWS_AT else range(10)
    with planted(name):
        assert any(problems(seed) for seed in seeds)
