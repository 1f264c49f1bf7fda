"""Tasks that a machine has under attempts of another process of the placer's number."""

from __future__ import annotations

import pytest

from sprucepost.v1 import machine_pb2
from tests.placing.support import Link, PlacerHarness

OTHER_INCARNATION = 12


def placed(harness: PlacerHarness, link: Link, task_class: str = "web") -> machine_pb2.Held:
    """Place a task; return how its machine names it once another process of the number has taken it over."""
    harness.submit(task_class=task_class)
    offer = link.offers[-1]
    harness.answer("m1", offer, accepted=machine_pb2.Accepted())
    assert harness.outcomes() == ["bound"]
    return machine_pb2.Held(name="t", task=offer.task, request=31, incarnation=OTHER_INCARNATION, running=True)


def ended(harness: PlacerHarness) -> list[int]:
    return [frame.ended.how for frame in harness.streams.owner_frames if frame.WhichOneof("body") == "ended"]


def adopted(link: Link) -> list[machine_pb2.Adopt]:
    return [frame.adopt for frame in link.sent if frame.WhichOneof("body") == "adopt"]


@pytest.mark.parametrize("task_class", ["web", "once"])
def test_a_task_that_another_process_of_the_number_took_over_is_not_reported_as_lost(task_class: str) -> None:
    """The owner was told that it was lost and submitted it again, so that it ran twice."""
    harness = PlacerHarness()
    link = harness.machine()
    held = placed(harness, link, task_class)
    for incarnation in (OTHER_INCARNATION, OTHER_INCARNATION + 1):  # the number may change hands again and again
        held.incarnation = incarnation
        harness.attach("m1", 1, held=[held])
        harness.loop.pass_ms(0.0)
        assert not ended(harness) and harness.outcomes() == ["bound"]
        assert len(harness.engine.driver.scheduler.attempts) == len(harness.engine.attempts.on_machine("m1")) == 1
    taken = adopted(link)
    assert [(adopt.old_request, adopt.old_incarnation) for adopt in taken] == [(31, 12), (31, 13)]
    done = machine_pb2.TaskEnded(how=machine_pb2.TaskEnded.DONE)
    harness.engine.on_machine_frame("m1", machine_pb2.FromMachine(request=taken[-1].request, ended=done))
    assert ended(harness) == [machine_pb2.TaskEnded.DONE]
    harness.loop.pass_ms(0.0)
    assert not harness.engine.driver.scheduler.attempts and not len(harness.engine.reporter.ledger)


def test_a_task_that_was_cancelled_while_another_process_had_it_is_withdrawn() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    held = placed(harness, link)
    harness.cancel()
    link.sent.clear()
    harness.attach("m1", 1, held=[held])
    assert [frame.WhichOneof("body") for frame in link.sent] == ["adopt", "withdraw"]
    assert link.sent[1].withdraw.request == link.sent[0].adopt.request
    stopped = machine_pb2.TaskEnded(how=machine_pb2.TaskEnded.STOPPED)
    harness.engine.on_machine_frame("m1", machine_pb2.FromMachine(request=link.sent[1].withdraw.request, ended=stopped))
    assert ended(harness) == [machine_pb2.TaskEnded.STOPPED]


def test_a_task_that_the_machine_has_under_its_own_attempt_keeps_it() -> None:
    """A second copy, of an attempt that was given up, is withdrawn."""
    harness = PlacerHarness()
    link = harness.machine()
    copy = placed(harness, link)
    own = machine_pb2.Held(name="t", task=copy.task, request=link.offers[0].request, incarnation=9, running=True)
    harness.attach("m1", 1, held=[own, copy])
    assert not ended(harness) and not adopted(link)
    assert [frame.withdraw.request for frame in link.sent if frame.WhichOneof("body") == "withdraw"] == [31]


def test_of_two_copies_of_a_detached_task_one_is_kept() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    held = placed(harness, link)
    other = machine_pb2.Held()
    other.CopyFrom(held)
    other.request = 32
    harness.attach("m1", 1, held=[held, other])
    assert not ended(harness) and [adopt.old_request for adopt in adopted(link)] == [31]
    assert [frame.withdraw.request for frame in link.sent if frame.WhichOneof("body") == "withdraw"] == [32]


def test_a_task_of_a_machine_that_has_restarted_is_lost_whatever_it_has_now() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    held = placed(harness, link)
    harness.attach("m1", 2, held=[held])
    assert ended(harness) == [machine_pb2.TaskEnded.LOST]


def test_a_task_that_another_machine_has_is_lost() -> None:
    """Another copy on another machine does not stand for the one that is gone."""
    harness = PlacerHarness()
    link = harness.machine()
    held = placed(harness, link)
    harness.machine("m2")
    harness.attach("m2", 1, held=[held])
    assert not ended(harness) and not adopted(harness.streams.links["m2"])
    harness.attach("m1", 1)
    assert ended(harness) == [machine_pb2.TaskEnded.LOST]
