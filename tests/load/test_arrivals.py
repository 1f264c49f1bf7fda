"""Arrivals of load plans: times, shares, seeds, and plans that are rejected."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucepost.load.arrivals import TaskArrival, arrival_times, task_arrivals
from sprucepost.load.plan import Bursts, Class, Plan, Poisson, Ramp, Replay, Steady, Surge
from sprucepost.settings import SettingsError
from sprucepost.settings.reading import decode

CLASSES = [Class("web", 3.0), Class("bill", 1.0, aim_ms=900.0)]
ARRIVALS = st.one_of(
    st.builds(Steady, st.floats(1, 500)),
    st.builds(
        Poisson, st.floats(1, 500), st.lists(st.builds(Surge, st.floats(0, 2), st.floats(2.1, 4), st.floats(1, 5)))
    ),
    st.builds(Bursts, st.integers(1, 50), st.floats(20, 900), st.floats(0, 2000)),
    st.builds(Ramp, st.floats(1, 500), st.floats(1, 500)),
)


@settings(deadline=None, max_examples=50)
@given(ARRIVALS, st.integers(0, 100), st.integers(1, 20), st.floats(0, 3))
def test_arrivals_are_ordered_within_the_length_and_reproducible(
    shape: Steady | Poisson | Bursts | Ramp, seed: int, owners: int, skew: float
) -> None:
    plan = Plan(shape, CLASSES, 3.0, seed, owners, skew, 4)
    arrivals = list(task_arrivals(plan))
    assert arrivals == list(task_arrivals(plan))
    assert all(a.at_ms <= b.at_ms for a, b in pairwise(arrivals))
    last_ms = 3000.0 + (shape.jitter_ms if isinstance(shape, Bursts) else 0.0)
    assert all(0 <= arrival.at_ms <= last_ms and 0 <= arrival.owner < owners for arrival in arrivals)


def test_rates_are_kept_and_surges_begin_and_end_on_time() -> None:
    def within(arrivals: list[float], low: float, high: float) -> int:
        return sum(low <= at < high for at in arrivals)

    surge = list(arrival_times(Poisson(100.0, [Surge(10.0, 15.0, 4.0)]), 20_000.0, random.Random(1)))
    assert 850 < within(surge, 0, 10_000) < 1150 and 1800 < within(surge, 10_000, 15_000) < 2200
    assert 400 < within(surge, 15_000, 20_000) < 600
    ramp = list(arrival_times(Ramp(10.0, 400.0), 20_000.0, random.Random(1)))
    assert within(ramp, 0, 2000) < 120 and within(ramp, 18_000, 20_000) > 650
    steady = list(arrival_times(Steady(50.0), 2000.0, random.Random(1)))
    assert len(steady) == 100 and steady[1] == 20.0
    bursts = Counter(arrival_times(Bursts(30, 500.0), 2000.0, random.Random(1)))
    assert bursts == {0.0: 30, 500.0: 30, 1000.0: 30, 1500.0: 30}


def test_classes_and_owners_get_their_shares() -> None:
    arrivals = list(task_arrivals(Plan(Steady(1000.0), CLASSES, 10.0, 1, 4, 1.0)))
    classes, owners = (
        Counter(arrival.task_class for arrival in arrivals),
        Counter(arrival.owner for arrival in arrivals),
    )
    assert 7200 < classes["web"] < 7800
    assert 4500 < owners[0] < 5100 and 2200 < owners[1] < 2600 and 1000 < owners[3] < 1400


def test_another_seed_gives_other_times_and_the_number_of_owners_does_not() -> None:
    base = Plan(Poisson(100.0), CLASSES, 2.0, 1, 4)
    other, owners = Plan(Poisson(100.0), CLASSES, 2.0, 2, 4), Plan(Poisson(100.0), CLASSES, 2.0, 1, 40)
    assert [a.at_ms for a in task_arrivals(base)] != [a.at_ms for a in task_arrivals(other)]
    assert [a.at_ms for a in task_arrivals(base)] == [a.at_ms for a in task_arrivals(owners)]


def test_a_replay_keeps_the_recorded_arrivals_at_the_speed_of_the_plan() -> None:
    recorded = [TaskArrival(n * 100.0, "web", n, "s", 1.0, 1.0, 900.0, 400.0, 50.0) for n in range(30)]
    arrivals = list(task_arrivals(Plan(Replay("x", 2.0), length_s=1.0, owners=4), recorded))
    assert [arrival.at_ms for arrival in arrivals] == [n * 50.0 for n in range(20)]
    assert {arrival.owner for arrival in arrivals} == {0, 1, 2, 3} and arrivals[3].left_ms == 900.0


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('{"arrivals": {"shape": "steady", "rate": 5}}', "classes: at least one is needed"),
        ('{"arrivals": {"shape": "replay", "record": "x"}, "classes": [{"name": "a"}]}', "classes: a replay has"),
        ('{"arrivals": {"shape": "steady", "rate": 5}, "classes": [{"name": "a"}, {"name": "a"}]}', "classes[1].name"),
        (
            '{"arrivals": {"shape": "poisson", "rate": 5, "surges": [{"from_s": 2, "to_s": 1, "times": 2}]},'
            ' "classes": [{"name": "a"}]}',
            "arrivals.surges[0].to_s",
        ),
        ('{"arrivals": {"shape": "steady", "rate": -5}, "classes": [{"name": "a"}]}', "arrivals.rate"),
        ('{"arrivals": {"shape": "storm"}, "classes": [{"name": "a"}]}', "arrivals.shape"),
    ],
)
def test_a_contradictory_plan_is_rejected_with_the_key(text: str, line: str) -> None:
    with pytest.raises(SettingsError) as error:
        decode(text.encode(), Plan, "plan.json")
    assert line in error.value.lines[0]


def test_a_folder_without_a_record_is_rejected(tmp_path: Path) -> None:
    from sprucepost.load.recorded import read_recorded_arrivals

    with pytest.raises(SettingsError):
        read_recorded_arrivals(tmp_path)
