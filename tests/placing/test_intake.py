"""Submissions of one name are joined while the task is open, and each is answered once."""

from __future__ import annotations

from sprucepost.v1 import machine_pb2
from tests.placing.support import PlacerHarness


def test_a_session_that_submits_a_task_twice_gets_two_outcomes() -> None:
    harness = PlacerHarness()
    harness.submit(left_ms=400.0)  # there is no machine, so it waits
    harness.submit(left_ms=400.0)
    harness.loop.pass_ms(400.0)
    assert harness.outcomes() == ["refused", "refused"] and harness.engine.counters["joined"] == 1
    harness.submit(left_ms=400.0)
    harness.loop.pass_ms(400.0)
    assert harness.outcomes() == ["refused"] * 3


def test_a_submission_of_a_placed_task_is_answered_at_once_and_only_it() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit()
    harness.submit()
    harness.answer("m1", link.offers[0], accepted=machine_pb2.Accepted())
    assert harness.outcomes() == ["bound", "bound"] and len(link.offers) == 1
    harness.submit()
    assert harness.outcomes() == ["bound"] * 3


def test_a_cancelled_task_answers_every_submission_of_its_owner() -> None:
    harness = PlacerHarness()
    harness.submit()
    harness.submit()
    harness.cancel()
    assert harness.outcomes() == ["refused", "refused"] and harness.engine.ledger.open == 0
