"""Asks of one name: joined while the task is open, each answered once."""

from __future__ import annotations

from sprucepost.v1 import machine_pb2
from tests.placing.support import Walk


def test_a_session_that_asks_twice_is_owed_two_outcomes() -> None:
    walk = Walk()
    walk.submit(left_ms=400.0)  # no machine: it waits
    walk.submit(left_ms=400.0)
    walk.loop.pass_ms(400.0)
    assert walk.outcomes() == ["refused", "refused"] and walk.engine.counters["joined"] == 1
    walk.submit(left_ms=400.0)
    walk.loop.pass_ms(400.0)
    assert walk.outcomes() == ["refused"] * 3


def test_a_joined_ask_of_a_placed_task_is_answered_at_once_and_only_it() -> None:
    walk = Walk()
    link = walk.machine()
    walk.submit()
    walk.submit()
    walk.answer("m1", link.offers[0], accepted=machine_pb2.Accepted())
    assert walk.outcomes() == ["bound", "bound"] and len(link.offers) == 1
    walk.submit()
    assert walk.outcomes() == ["bound"] * 3


def test_a_cancelled_task_answers_every_ask_of_its_owner() -> None:
    walk = Walk()
    walk.submit()
    walk.submit()
    walk.cancel()
    assert walk.outcomes() == ["refused", "refused"] and walk.engine.ledger.open == 0
