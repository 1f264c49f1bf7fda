"""The ledger records exactly one outcome per task in any order of calls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.placing.ledger import DuplicateOutcomeError, Entry, LateAction, Ledger, Outcome, late_action

OUTCOMES = (Outcome.PLACED, Outcome.REFUSED, Outcome.FAILED)


@pytest.mark.parametrize("first", OUTCOMES)
@pytest.mark.parametrize("second", OUTCOMES)
def test_a_second_outcome_is_rejected(first: Outcome, second: Outcome) -> None:
    ledger = Ledger()
    entry = ledger.take("t", 0, "s", 0.0)
    ledger.settle(entry, first, 1.0)
    with pytest.raises(DuplicateOutcomeError, match="t: "):
        ledger.settle(entry, second, 2.0)
    assert ledger.open == 0 and ledger.outcomes.total() == 1


@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from([*OUTCOMES, "end", "forget"])), max_size=40))
def test_counts_and_names_agree_after_any_steps(steps: list[tuple[str, object]]) -> None:
    ledger, now, taken = Ledger(), 0.0, 0
    for name, step in steps:
        now += 1.0
        entry = ledger.current(name)
        if entry is None:
            entry = ledger.take(name, 0, "s", now)
            taken += 1
        if isinstance(step, Outcome) and entry.outcome is Outcome.OPEN:
            ledger.settle(entry, step, now)
        elif step == "end" and entry.outcome is Outcome.PLACED:
            ledger.end(entry)
        elif step == "forget":
            ledger.forget(now - 3.0)
        assert ledger.open == len(ledger.open_entries()) == taken - ledger.outcomes.total()
    ledger.forget(now + 1.0)
    assert all(entry.outcome in (Outcome.OPEN, Outcome.PLACED) for entry in ledger._by_request.values())
    assert set(ledger._by_name) == {entry.name for entry in ledger._by_request.values()}


@pytest.mark.parametrize(
    "outcome, pending, cancelled, is_detached, action",
    [
        (None, None, False, False, LateAction.TAKE_OVER),
        (Outcome.OPEN, None, False, False, LateAction.PLACE),
        (Outcome.OPEN, 1, False, False, LateAction.WITHDRAW),
        (Outcome.OPEN, None, True, False, LateAction.WITHDRAW),
        (Outcome.PLACED, None, False, False, LateAction.WITHDRAW),
        (Outcome.PLACED, None, False, True, LateAction.RECLAIM),
        (Outcome.REFUSED, None, False, False, LateAction.WITHDRAW),
        (Outcome.FAILED, None, False, False, LateAction.SURFACE),
        (Outcome.FAILED, None, True, False, LateAction.WITHDRAW),
    ],
)
def test_the_action_for_a_late_message(
    outcome: Outcome | None, pending: int | None, cancelled: bool, is_detached: bool, action: LateAction
) -> None:
    entry = None if outcome is None else Entry(1, "t", 0, "s", outcome, pending_attempt=pending, cancelled=cancelled)
    assert late_action(entry, is_detached) is action
