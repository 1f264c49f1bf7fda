"""Credit and read pauses, over any input."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucepost.admission.credit import Credit, max_min_bound
from sprucepost.admission.read_pauses import ReadPauses


@settings(deadline=None)
@given(st.lists(st.floats(0, 1000), min_size=1, max_size=30), st.floats(1, 5000))
def test_max_min_fairness(demands: list[float], total: float) -> None:
    """Either the total is used up or all demands are met, and none gets more than one whose demand is not met."""
    bound = max_min_bound(demands, total)
    granted = [min(demand, bound) for demand in demands]
    assert sum(granted) <= total * 1.000001
    if bound == float("inf"):
        assert sum(demands) <= total * 1.000001
    else:
        assert abs(sum(granted) - total) <= total * 1e-6
        assert max(granted) <= bound


@settings(deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.floats(0, 1e5)), max_size=60))
def test_credit_is_bounded_and_falls_only_under_overload(updates: list[tuple[bool, bool, float]]) -> None:
    credit = Credit()
    for refuses, was_empty, affordable in updates:
        before = credit.total
        credit.update(refuses, was_empty, affordable, 1000)
        assert 0 <= credit.total <= 1000
        if refuses:
            assert 1 <= credit.total <= max(1, affordable)
        elif before and was_empty:
            assert not credit.total or before < credit.total <= before + max(1, before // 4)
        else:
            assert credit.total == before
        for previous in (0, 5):
            each = credit.per_owner_bound([3, 5, 900], previous)
            assert (each >= 1) == bool(credit.total)


def test_the_bound_is_lifted_in_steps_while_the_queue_runs_empty() -> None:
    credit = Credit()
    credit.update(True, False, 1.0, 1000)
    updates = 0
    while credit.total:
        before = credit.total
        credit.update(False, False, 1.0, 1000)  # neither an overload nor an was_empty queue: the bound stays
        assert credit.total == before
        credit.update(False, True, 1.0, 1000)
        updates += 1
    assert 20 < updates < 40


def test_an_owner_with_few_submissions_leaves_its_share_to_the_others() -> None:
    credit = Credit()
    credit.update(True, False, 100.0, 1000)
    assert credit.per_owner_bound([2, 50, 50], 50) == 49  # 2 for the first, the rest is divided evenly


@settings(deadline=None)
@given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 4)), min_size=1, max_size=400))
def test_no_session_is_paused_for_the_refusals_of_others(refusals: list[tuple[float, int]]) -> None:
    """A pause ends with the interval and affects only sessions that have had an even share of the cost of refusals."""
    pauses: ReadPauses[int] = ReadPauses(100.0)
    now, interval_start, of = 0.0, -1000.0, dict.fromkeys(range(5), 0)
    for elapsed_ms, session in refusals:
        now += elapsed_ms
        if now >= interval_start + 100.0:
            interval_start, of = now, dict.fromkeys(range(5), 0)
        of[session] += 1
        pause = pauses.record_refusal(session, now, 1.0)
        assert 0 <= pause <= interval_start + 100.0 - now + 1e-6
        if pause:
            assert (
                of[session] >= max(ReadPauses.MIN_REFUSALS, 100.0 / sum(1 for n in of.values() if n))
                and sum(of.values()) > 100
            )
    assert pauses.record_refusal(0, now, 0.0) == 0.0
