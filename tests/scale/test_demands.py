"""Demands of a planned day: counts, harm, ranking, and what the current program supports."""

from __future__ import annotations

import math

import pytest

from sprucepost.scale.demands import (
    Basis,
    ChangesObserved,
    Demand,
    GangsObserved,
    Harm,
    Observed,
    Outcome,
    ProcessObserved,
    QuotasObserved,
    StartsObserved,
    Weights,
    count,
    day_worth,
    first,
    rank,
)
from sprucepost.scale.plan import Change, Day, Job, Plan
from sprucepost.scale.present import Assumptions, changes, gangs, observe, quotas, unseen_excess
from sprucepost.scale.sensitivity import cases, together
from sprucepost.scale.settings import DAY_S
from tests.scale.support import plan, size


def by_demand(outcomes: tuple[Outcome, ...]) -> dict[Demand, Outcome]:
    return {each.demand: each for each in outcomes}


def harm_of(outcome: Outcome) -> Harm:
    assert outcome.harm is not None
    return outcome.harm


def hand_made(jobs: tuple[Job, ...], changed: tuple[Change, ...] = (), quota: int = 4) -> Plan:
    drawn = plan()
    return Plan(drawn.size, 0, Day.ORDINARY, drawn.workers, drawn.placers, (quota,) * 12, jobs, changed, ())


def test_unobserved_demands_are_open_and_ranked_last() -> None:
    outcomes = count(plan(), Observed(basis={}))
    assert [each.demand for each in outcomes] == list(Demand)
    assert all(each.basis is Basis.OPEN and each.missed is None and each.harm is None for each in outcomes)
    assert all(each.score is None for each in rank(outcomes)) and first(outcomes) is None


def test_a_day_that_meets_every_demand_has_no_first_missed_demand() -> None:
    met = Observed(
        basis={},
        starts=tuple(StartsObserved(each.name, 100, 0) for each in size().work.classes),
        gangs=GangsObserved(0, 0, 0, 0),
        quotas=QuotasObserved(0, 0, 0),
        changes=ChangesObserved(0, 0, 0, 0),
        processes=(ProcessObserved(1.7, 128, 9000),),
        regions_known=True,
    )
    outcomes = count(plan(), met)
    assert all(each.missed == 0 and each.harm == Harm() and each.basis is Basis.MEASURED for each in outcomes)
    assert first(outcomes) is None


def test_late_starts_of_a_short_run_are_scaled_to_the_day() -> None:
    found = by_demand(count(plan(), Observed(basis={}, starts=(StartsObserved("urgent", 10, 5),))))
    urgent = found[Demand.URGENT_STARTS]
    tasks = sum(job.tasks for job in plan().jobs if job.task_class == "urgent")
    assert urgent.missed == tasks / 2 and found[Demand.STARTS].missed is None
    assert math.isclose(harm_of(urgent).worth, 5 * tasks / 2 / day_worth(plan()))


def test_an_exceeded_budget_counts_by_its_excess() -> None:
    processes = (ProcessObserved(1.7, 64, None), ProcessObserved(2.55, 512, None))
    found = by_demand(count(plan(), Observed(basis={}, processes=processes)))
    assert math.isclose(harm_of(found[Demand.PROCESSOR]).time, 0.25)
    assert harm_of(found[Demand.MEMORY]).time == 0.5 and found[Demand.MEMORY].missed == 4.5
    assert found[Demand.BYTES].basis is Basis.OPEN


def test_weights_decide_between_measures_of_harm() -> None:
    outcomes = (
        Outcome(Demand.GANGS, 1, 1, Harm(starts=0.5), Basis.DERIVED),
        Outcome(Demand.QUOTAS, 1, 1, Harm(time=0.3), Basis.DERIVED),
    )
    assert first(outcomes) is Demand.GANGS and first(outcomes, Weights(0, 0, 1)) is Demand.QUOTAS
    assert rank(outcomes, Weights(1, 1, 2))[0].score == 0.15


def test_lateness_of_a_change_depends_on_the_position_in_the_rollout() -> None:
    """Fifteen processes a second apart: a tenth of them each, at 0.75 s, 2.25 s, 3.75 s and so on."""
    jobs = (Job(100.0, 0, "batch", 10, False, 60.0),)
    late = changes(hand_made(jobs, (Change(99.0, 0, None, False),)), 1.0)
    assert late.late == round(15 * 0.8) and math.isclose(late.starts, 9.0)
    assert math.isclose(late.process_s, 15 * 7.5)


def test_a_change_affects_its_team_and_waits_for_the_previous_one() -> None:
    jobs = (Job(100.0, 1, "batch", 10, False, 60.0), Job(102.0, 2, "batch", 1, False, 60.0))
    changed = (Change(99.0, 0, 2, True), Change(99.0, 0, 3, True))
    assert math.isclose(changes(hand_made(jobs, changed), 1.0).starts, 0.8)
    never = changes(hand_made(jobs, changed), None)
    assert never.late == 30 and math.isclose(never.starts, 1.0)
    assert math.isclose(never.process_s, 15 * (DAY_S - 99.0))
    assert changes(hand_made(jobs, changed), 0.0).late == 0
    one_after_the_other = changes(hand_made(jobs, changed), 1.0).process_s
    assert math.isclose(one_after_the_other, 15 * (15 + 7.5))


def test_gangs_are_complete_only_if_each_member_starts() -> None:
    jobs = (Job(1.0, 0, "batch", 2, True, 10.0), Job(2.0, 0, "batch", 50, False, 10.0))
    found = gangs(hand_made(jobs), 0.5)
    assert (found.missed, found.tasks, found.task_s) == (0.75, 1.5, 15.0)
    assert gangs(hand_made(jobs), None).missed == 1 and gangs(hand_made(jobs), 0.0).missed == 0


def test_only_starts_beyond_a_quota_count() -> None:
    jobs = (
        Job(0.0, 0, "batch", 3, False, 10.0),
        Job(5.0, 0, "service", 3, False, 10.0),  # two beyond
        Job(5.0, 1, "service", 4, False, 10.0),
        Job(20.0, 0, "batch", 4, False, 10.0),
    )
    assert quotas(hand_made(jobs)) == QuotasObserved(2, 4, 20.0)


def test_a_placer_among_hundreds_rarely_detects_a_team_above_its_quota() -> None:
    assert unseen_excess(64, 128, 300) > 0.99
    assert unseen_excess(64, 6400, 300) < 0.05 and unseen_excess(64, 6400, 1) == 0.0
    assert all(0 <= unseen_excess(quota, held, 9) <= 1 for quota in (1, 50) for held in (0.0, 1.0, 500.0))


def test_unimplemented_demands_are_missed_in_full_and_marked() -> None:
    found = by_demand(count(plan(), observe(plan())))
    for demand in (Demand.GANGS, Demand.CHANGES, Demand.REGIONS):
        assert found[demand].basis is Basis.NOT_CARRIED and found[demand].missed == found[demand].demanded
    for demand in (Demand.STARTS, Demand.URGENT_STARTS, Demand.MEMORY, Demand.BYTES):
        assert found[demand].basis is Basis.OPEN
    assert all(each.reason for each in found.values())
    eased = by_demand(count(plan(), observe(plan(), Assumptions(0.1, 0.01))))
    assert eased[Demand.CHANGES].basis is eased[Demand.GANGS].basis is Basis.DERIVED
    assert harm_of(eased[Demand.CHANGES]).time < harm_of(found[Demand.CHANGES]).time


@pytest.mark.parametrize("seed", [1, 2])
def test_harm_is_a_share_of_the_day(seed: int) -> None:
    for day in Day:
        for outcome in count(plan(seed, day), observe(plan(seed, day))):
            harm = outcome.harm or Harm()
            assert all(-1e-9 <= share <= 1 + 1e-9 for share in (harm.starts, harm.worth, harm.time))


def test_sensitivity_varies_each_assumption_and_is_reproducible() -> None:
    found = list(cases(size(), 1))
    assert found == list(cases(size(), 1))
    moved = {case.assumption for case in found}
    assert {"weights", "changes reach processes", "members of gangs late", "work.gang_share", "seed", "day"} <= moved
    assert all((case.first.score or 0) >= (case.second.score or 0) and case.margin >= 1 for case in found)
    counters = together(size(), 1)
    assert len(counters) == 9 and {sum(counter.values()) for counter in counters.values()} == {21}
