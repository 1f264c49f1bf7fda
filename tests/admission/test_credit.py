"""Credit and the share of refusals, over any input."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucepost.admission.credit import Credit, max_min_bound
from sprucepost.admission.read_pauses import ReadPauses


@settings(deadline=None)
@given(st.lists(st.floats(0, 1000), min_size=1, max_size=30), st.floats(1, 5000))
def test_max_min(wants: list[float], total: float) -> None:
    """All is given away or all wants are met, and nobody has more than one who did not get what it wanted."""
    bound = max_min_bound(wants, total)
    given_out = [min(want, bound) for want in wants]
    assert sum(given_out) <= total * 1.000001
    if bound == float("inf"):
        assert sum(wants) <= total * 1.000001
    else:
        assert abs(sum(given_out) - total) <= total * 1e-6
        assert max(given_out) <= bound


@settings(deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.floats(0, 1e5)), max_size=60))
def test_credit_is_bounded_and_falls_only_while_the_line_stands(looks: list[tuple[bool, bool, float]]) -> None:
    credit = Credit()
    for standing, empty, fits in looks:
        before = credit.total
        credit.update(standing, empty, fits, 1000)
        assert 0 <= credit.total <= 1000
        if standing:
            assert 1 <= credit.total <= max(1, fits)
        elif before and empty:
            assert not credit.total or before < credit.total <= before + max(1, before // 4)
        else:
            assert credit.total == before
        for told in (0, 5):
            each = credit.per_owner_bound([3, 5, 900], told)
            assert (each >= 1) == bool(credit.total)


def test_the_bound_is_let_go_in_steps_while_the_line_runs_empty() -> None:
    credit = Credit()
    credit.update(True, False, 1.0, 1000)
    looks = 0
    while credit.total:
        before = credit.total
        credit.update(False, False, 1.0, 1000)  # it neither stands nor empties: the bound is right
        assert credit.total == before
        credit.update(False, True, 1.0, 1000)
        looks += 1
    assert 20 < looks < 40


def test_one_that_wants_little_leaves_its_part_to_the_others() -> None:
    credit = Credit()
    credit.update(True, False, 100.0, 1000)
    assert credit.per_owner_bound([2, 50, 50], 50) == 49  # 2 for the first, the rest evenly


@settings(deadline=None)
@given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 4)), min_size=1, max_size=400))
def test_nobody_is_left_unread_for_others_refusals(refusals: list[tuple[float, int]]) -> None:
    """A pause ends with the interval, and hits only who has had its even share of what refusing may cost."""
    pauses: ReadPauses[int] = ReadPauses(100.0)
    now, begun, of = 0.0, -1000.0, dict.fromkeys(range(5), 0)
    for passed, who in refusals:
        now += passed
        if now >= begun + 100.0:
            begun, of = now, dict.fromkeys(range(5), 0)
        of[who] += 1
        pause = pauses.record_refusal(who, now, 1.0)
        assert 0 <= pause <= begun + 100.0 - now + 1e-6
        if pause:
            assert (
                of[who] >= max(ReadPauses.MIN_REFUSALS, 100.0 / sum(1 for n in of.values() if n))
                and sum(of.values()) > 100
            )
    assert pauses.record_refusal(0, now, 0.0) == 0.0
