"""An offer holds for one machine incarnation and for the time that is left; both are checked when it is sent."""

from __future__ import annotations

from typing import cast

import pytest

from sprucepost.v1 import common_pb2, machine_pb2
from tests.placing.support import Link, PlacerHarness


def waiting_offer(harness: PlacerHarness, task_class: str = "web") -> Link:
    """A machine whose stream accepts nothing, and a task whose offer waits for it."""
    link = harness.machine()
    link.behind = True
    harness.submit(task_class=task_class)
    assert link.queue and not link.offers
    return link


def test_a_delayed_offer_carries_the_time_that_is_left() -> None:
    harness = PlacerHarness()
    link = waiting_offer(harness)
    attempt = harness.engine.attempts.get(link.queue[0])
    assert attempt is not None
    timeout = attempt.deadline - attempt.decided_at
    harness.loop.pass_ms(timeout * 0.4)
    link.flush()
    assert link.offers[0].wait_ms == pytest.approx(timeout * 0.6, abs=1.0)


def test_an_offer_with_too_little_time_left_is_not_written_and_known_never_to_have_run() -> None:
    harness = PlacerHarness()
    link = waiting_offer(harness, "once")
    attempt = harness.engine.attempts.get(link.queue[0])
    assert attempt is not None
    harness.loop.pass_ms(attempt.deadline - attempt.decided_at - 12.0)
    link.flush()
    assert not link.offers
    harness.loop.pass_ms(60.0)
    # The class is unsafe, so a refusal shows that the task is known never to have run.
    assert harness.engine.counters["unsent"] == 1 and harness.outcomes() == ["refused"]


def test_an_offer_sent_again_carries_the_time_that_is_left_or_is_void() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit()
    first, key = link.offers[0], (link.offers[0].request, link.offers[0].attempt)
    harness.loop.pass_ms(30.0)
    again = harness.engine.build_offer(key, 1)
    assert again is not None and again.wait_ms == pytest.approx(first.wait_ms - 30.0, abs=1.0)
    harness.tell_list("m1", state=2)
    assert harness.engine.build_offer(key, 1) is None


def test_a_delayed_offer_is_not_sent_to_the_next_incarnation_of_its_machine() -> None:
    harness = PlacerHarness()
    link = waiting_offer(harness, "once")
    first = link.queue[0]
    assert harness.engine.build_offer(first, 2) is None
    harness.attach("m1", 2)
    assert first not in link.queue and not link.offers and harness.engine.attempts.get(first) is None
    entry = harness.engine.ledger.by_request(first[0])
    assert entry is not None and not entry.may_have_run  # it is known never to have run, so a refusal is still safe


def test_an_offer_sent_to_the_previous_incarnation_may_have_run() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit(task_class="once", left_ms=1000.0)
    assert len(link.offers) == 1
    harness.attach("m1", 2)
    harness.loop.pass_ms(1000.0)
    assert harness.outcomes() == ["failed"] and len(link.offers) == 1


def test_a_machine_s_report_of_a_fresh_start_reaches_the_scheduler_before_any_list() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.attach("m1", 2, started_ms=harness.loop.wall() - 100.0)
    harness.loop.pass_ms(0.0)
    known = harness.engine.driver.scheduler.machines["m1"]
    assert known.started == harness.loop.wall() - 100.0 and harness.logs["fresh_start"] == 1
    harness.tell_list("m1", started=0.0)  # a list that lags does not undo it
    harness.loop.pass_ms(0.0)
    assert known.started > 0 and not link.offers


def test_a_machine_without_a_stream_gets_no_offers_until_it_has_one() -> None:
    harness = PlacerHarness()
    link = harness.machine(life=0)
    harness.submit()
    assert not link.queue and not list(harness.engine.attempts)
    harness.attach("m1", 5)
    harness.loop.pass_ms(150.0)
    assert len(link.offers) == 1


def test_an_offer_that_waits_for_a_broken_stream_goes_to_another_machine_at_once() -> None:
    harness = PlacerHarness()
    link = waiting_offer(harness, "once")
    other = harness.machine("m2")
    harness.engine.on_machine_detached("m1")
    harness.loop.pass_ms(0.0)
    assert not link.queue and len(other.offers) == 1
    harness.submit("u")
    assert not link.queue and len(other.offers) == 2


def test_an_offer_to_a_cold_machine_is_sent_in_the_turn_of_its_decision_or_not_at_all() -> None:
    harness = PlacerHarness()
    # Afterwards the allowance that an earlier incarnation of this placer may have used has expired.
    harness.loop.pass_ms(3 * harness.cluster.fall_ms)
    link = harness.machine(started=harness.loop.wall() - 10.0)
    link.behind = True
    harness.submit(task_class="once")
    harness.loop.pass_ms(10.0)
    assert len(link.queue) == 1
    link.flush()
    assert not link.offers
    link.behind = False
    harness.submit("u")
    assert [offer.name for offer in link.offers] == ["u"]


def test_an_unwritten_offer_is_void_when_its_machine_drains() -> None:
    harness = PlacerHarness()
    link = waiting_offer(harness, "once")
    harness.tell_list("m1", state=2)
    harness.loop.pass_ms(0.0)
    assert not link.queue and not len(list(harness.engine.attempts))
    harness.loop.pass_ms(3000.0)
    assert harness.outcomes() == ["refused"]


def test_buffered_bytes_are_discarded_when_an_offer_times_out() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit()
    harness.loop.pass_ms(link.offers[0].wait_ms + 5.0)
    assert link.discarded_buffers == 1 and harness.engine.counters["timeouts"] == 1


def test_a_message_of_another_machine_does_not_answer_an_attempt() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.machine("m2", state=2)
    harness.submit()
    harness.answer("m2", link.offers[0], accepted=machine_pb2.Accepted())
    assert harness.outcomes() == []
    harness.answer("m1", link.offers[0], accepted=machine_pb2.Accepted())
    assert harness.outcomes() == ["bound"]


def test_a_list_that_lags_does_not_undo_a_reported_start() -> None:
    """Otherwise the next attach of the same incarnation counts as a restart, and its pending attempts are ended."""
    harness = PlacerHarness()
    harness.loop.pass_ms(3 * harness.cluster.fall_ms)
    link = harness.machine()
    started = harness.loop.wall() - 100.0
    harness.attach("m1", 2, started_ms=started)
    harness.tell_list("m1", started=0.0)
    assert (
        harness.engine.attempts.cold_until["m1"]
        == started + harness.cluster.warm_after_ms + harness.cluster.max_clock_skew_ms
    )
    harness.loop.pass_ms(0.0)
    harness.submit(task_class="once")
    key = (link.offers[0].request, link.offers[0].attempt)
    harness.attach("m1", 2, started_ms=started)
    assert harness.engine.attempts.get(key) is not None and harness.logs["fresh_start"] == 1


def test_no_state_is_kept_of_a_machine_that_is_gone() -> None:
    harness = PlacerHarness()
    harness.machine(started=harness.loop.wall() - 10.0)
    harness.engine.on_machine_detached("m1")
    harness.streams.links["m1"].attached = False
    harness.tell_list("m1", state=0)
    assert not harness.engine.attempts.cold_until and not harness.engine.attempts.closed_machines


def test_the_cold_period_is_extended_by_the_allowed_clock_difference() -> None:
    """Otherwise a placer whose host's clock has stepped 100 ms ahead takes a machine for warm that others treat as cold."""
    harness = PlacerHarness()
    max_clock_skew_ms = harness.cluster.max_clock_skew_ms
    settings = harness.engine.driver.scheduler.settings
    assert (
        max_clock_skew_ms == harness.cluster.fall_ms / 4
        and settings.warm_after == harness.cluster.warm_after_ms + max_clock_skew_ms
    )


# Guards against a crash: a machine of a later version gives a reason that this placer does not know.
@pytest.mark.parametrize("body", ["refused", "ended"])
def test_an_unknown_reason_counts_as_none(body: str) -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit()
    offer = link.offers[0]
    key = (offer.request, offer.attempt)
    unknown = cast(common_pb2.Reason, 99)
    if body == "refused":
        harness.answer("m1", offer, refused=machine_pb2.OfferRefused(reason=unknown))
        assert harness.engine.attempts.refusals["untold"] == 1
    else:
        harness.answer("m1", offer, accepted=machine_pb2.Accepted())
        harness.answer("m1", offer, ended=machine_pb2.TaskEnded(how=machine_pb2.TaskEnded.DONE, reason=unknown))
    assert harness.engine.attempts.get(key) is None
