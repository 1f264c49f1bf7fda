"""Generated days are reproducible by seed, stay within the size's bounds and have its rates."""

from __future__ import annotations

import math
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucepost.scale.plan import Day, DisruptionKind, draw, pressed_rates, running_course, running_peak, team_shares
from sprucepost.scale.settings import DAY_S
from tests.scale.support import plan, size

SEEDS = range(1, 9)


def test_a_seed_reproduces_its_day_and_another_seed_differs() -> None:
    assert draw(size(), 3) == draw(size(), 3)
    assert draw(size(), 3).jobs != draw(size(), 4).jobs


@settings(deadline=None, max_examples=25)
@given(
    st.integers(0, 1000),
    st.sampled_from(list(Day)),
    st.integers(5, 80),
    st.integers(20, 300),
    st.integers(1, 40),
    st.floats(0, 1),
    st.integers(1, 12),
)
def test_everything_lies_within_the_size(
    seed: int, day: Day, workers: int, jobs: int, teams: int, gang_share: float, placers: int
) -> None:
    small = size()
    work = msgspec.structs.replace(
        small.work, jobs_per_day=jobs, gang_share=gang_share, peak_starts_per_s=1, peak_s=5, running_tasks=100
    )
    team = msgspec.structs.replace(small.teams, count=teams)
    drawn = draw(msgspec.structs.replace(small, workers=workers, placers=placers, work=work, teams=team), seed, day)
    assert len(drawn.workers) == workers and len(drawn.placers) == placers and len(drawn.quotas) == teams
    assert len(drawn.jobs) == jobs and running_peak(drawn.jobs) <= 100
    for job in drawn.jobs:
        assert 0 <= job.at_s < DAY_S and 0 <= job.life_s <= DAY_S and 0 <= job.team < teams and job.tasks >= 1
        assert not job.gang or 2 <= job.tasks <= work.largest_gang
    for change in drawn.changes:
        assert 0 <= change.at_s <= DAY_S and 0 <= change.placer < placers
        assert change.team is None or 0 <= change.team < teams
    for disruption in drawn.disruptions:
        assert 0 <= disruption.at_s < DAY_S and 0 < disruption.length_s <= DAY_S
        assert disruption.workers and all(0 <= worker < workers for worker in disruption.workers)


def test_running_tasks_are_counted_over_midnight() -> None:
    job = plan().jobs[0]
    late = type(job)(DAY_S - 10.0, 0, "batch", 3, False, 20.0)
    noon = type(job)(DAY_S / 2, 0, "batch", 5, False, DAY_S)
    assert running_course([late]) == [(0.0, 3), (10.0, 0), (DAY_S - 10.0, 3)]
    assert running_peak([late, noon]) == 8


def test_the_day_of_two_years_from_now_has_its_totals_and_peak() -> None:
    found = plan(name="two-years")
    work = found.size.work
    assert len(found.jobs) == 16_000 and len(found.changes) == 640 and len(found.workers) == 1000
    assert math.isclose(found.tasks / len(found.jobs), work.tasks_per_job, rel_tol=0.05)
    start = work.peak_hour * 3600.0
    at_peak = sum(job.tasks for job in found.jobs if start <= job.at_s < start + work.peak_s)
    assert work.peak_starts_per_s * work.peak_s <= at_peak <= 1.3 * work.peak_starts_per_s * work.peak_s
    assert 0.98 * 4500 <= running_peak(found.jobs) <= 4500
    gangs = [job.tasks for job in found.jobs if job.gang]
    assert max(gangs) == 64 and math.isclose(len(gangs) / len(found.jobs), work.gang_share, rel_tol=0.1)
    kinds = Counter(disruption.kind for disruption in found.disruptions)
    assert kinds == {DisruptionKind.FAILURE: 8, DisruptionKind.RESTART: 370}
    assert set(Counter(place.zone for place in found.workers).values()) == {200}
    assert set(Counter(place.rack for place in found.workers).values()) == {20}


def test_a_few_teams_submit_most_jobs() -> None:
    asked = Counter(job.team for job in plan(name="two-years").jobs)
    assert sum(count for _, count in asked.most_common(23)) > 0.6 * 16_000


def test_shares_of_teams_add_up_and_one_may_have_most() -> None:
    for day in Day:
        assert math.isclose(sum(team_shares(size(), day)), 1.0)
    dominant = [plan(seed, Day.DOMINANT_TEAM) for seed in SEEDS]
    asked = sum(job.team == 0 for each in dominant for job in each.jobs) / sum(len(each.jobs) for each in dominant)
    assert math.isclose(asked, 0.9, abs_tol=0.02)
    assert all(each.quotas == plan(seed).quotas for seed, each in zip(SEEDS, dominant, strict=True))


def test_most_jobs_are_submitted_around_the_peak_hour() -> None:
    for seed in SEEDS:
        near = sum(abs(job.at_s / 3600.0 - 14.0) < 6.0 for job in plan(seed).jobs)
        assert near > 0.65 * len(plan(seed).jobs)


@pytest.mark.parametrize(
    "day, kind, count",
    [(Day.RACK, DisruptionKind.RACK, 5), (Day.ZONE, DisruptionKind.ZONE, 10)],
)
def test_a_rack_or_zone_fails_at_the_peak_while_machines_restart(day: Day, kind: DisruptionKind, count: int) -> None:
    for seed in SEEDS:
        (group,) = [each for each in plan(seed, day).disruptions if each.kind is kind]
        assert group.at_s == 14 * 3600.0 and len(group.workers) == count
        places = {plan(seed).workers[worker] for worker in group.workers}
        assert {group.target} == {place.rack if day is Day.RACK else place.zone for place in places}
        others = [each for each in plan(seed, day).disruptions if each is not group]
        assert tuple(others) == plan(seed).disruptions


def test_both_sides_of_a_partition_change_configuration() -> None:
    for seed in SEEDS:
        cut_day = plan(seed, Day.REGION_CUT)
        (cut,) = [each for each in cut_day.disruptions if each.kind is DisruptionKind.REGION_CUT]
        during = [change for change in cut_day.changes if cut.at_s <= change.at_s <= cut.at_s + cut.length_s]
        assert {cut_day.placers[change.placer].region for change in during} == {"north", "south"}
        assert {cut_day.workers[worker].region for worker in cut.workers} == {"north"}


def test_fractional_daily_rates_occur_at_their_rate() -> None:
    rates = msgspec.structs.replace(size().disruptions, failures_per_day=0.3, restarts_per_day=0)
    work = msgspec.structs.replace(size().work, jobs_per_day=20, peak_s=1, peak_starts_per_s=1)
    rare = msgspec.structs.replace(size(), disruptions=rates, work=work)
    days = [len(draw(rare, seed).disruptions) for seed in range(400)]
    assert set(days) == {0, 1} and 0.23 < sum(days) / len(days) < 0.37


def test_pressed_rates_scale_events_and_not_durations() -> None:
    rates = pressed_rates(size("two-years"))
    assert rates.press == 60.0 and rates.task_starts == 65
    assert math.isclose(rates.changes * 60.0, 640 / 24) and math.isclose(rates.restarts * 60.0, 370 / 24)
    assert pressed_rates(size("two-years"), 1.0).failures == 8 / DAY_S
