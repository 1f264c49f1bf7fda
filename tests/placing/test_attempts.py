"""An offer is for one life of a machine and for the time that is left; both are held at the moment at which it goes out."""

from __future__ import annotations

import pytest

from sprucepost.v1 import machine_pb2
from tests.placing.support import Link, PlacerHarness


def waiting(harness: PlacerHarness, task_class: str = "web") -> Link:
    """A machine whose stream takes nothing, and a task whose offer waits for it."""
    link = harness.machine()
    link.behind = True
    harness.submit(task_class=task_class)
    assert link.queue and not link.offers
    return link


def test_an_offer_that_waited_carries_what_is_left_of_its_time() -> None:
    harness = PlacerHarness()
    link = waiting(harness)
    attempt = harness.engine.attempts.get(link.queue[0])
    assert attempt is not None
    timeout = attempt.deadline - attempt.decided_at
    harness.loop.pass_ms(timeout * 0.4)
    link.flush()
    assert link.offers[0].wait_ms == pytest.approx(timeout * 0.6, abs=1.0)


def test_an_offer_with_too_little_time_left_is_not_written_and_never_ran() -> None:
    harness = PlacerHarness()
    link = waiting(harness, "once")
    attempt = harness.engine.attempts.get(link.queue[0])
    assert attempt is not None
    harness.loop.pass_ms(attempt.deadline - attempt.decided_at - 12.0)
    link.flush()
    assert not link.offers
    harness.loop.pass_ms(60.0)
    assert harness.engine.counters["unsent"] == 1 and harness.outcomes() == [
        "refused"
    ]  # unsafe: so it was known never to run


def test_an_offer_that_is_sent_again_carries_what_is_left_or_is_void() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit()
    first, key = link.offers[0], (link.offers[0].request, link.offers[0].attempt)
    harness.loop.pass_ms(30.0)
    again = harness.engine.write(key, 1)
    assert again is not None and again.wait_ms == pytest.approx(first.wait_ms - 30.0, abs=1.0)
    harness.tell_list("m1", state=2)
    assert harness.engine.write(key, 1) is None


def test_an_offer_that_waited_is_not_for_the_machine_s_next_life() -> None:
    harness = PlacerHarness()
    link = waiting(harness, "once")
    first = link.queue[0]
    assert harness.engine.write(first, 2) is None
    harness.attach("m1", 2)
    assert first not in link.queue and not link.offers and harness.engine.attempts.get(first) is None
    entry = harness.engine.ledger.by_request(first[0])
    assert entry is not None and not entry.may_have_run  # it is known never to have run: a refusal is still true


def test_an_offer_that_went_out_to_the_life_before_may_have_run() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit(task_class="once", left_ms=1000.0)
    assert len(link.offers) == 1
    harness.attach("m1", 2)
    harness.loop.pass_ms(1000.0)
    assert harness.outcomes() == ["failed"] and len(link.offers) == 1


def test_a_machine_s_own_word_of_a_fresh_start_reaches_the_module_before_any_list() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.attach("m1", 2, started_ms=harness.loop.wall() - 100.0)
    harness.loop.pass_ms(0.0)
    known = harness.engine.driver.scheduler.machines["m1"]
    assert known.started == harness.loop.wall() - 100.0 and harness.logs["fresh_start"] == 1
    harness.tell_list("m1", started=0.0)  # a list that is behind takes nothing back
    harness.loop.pass_ms(0.0)
    assert known.started > 0 and not link.offers


def test_a_machine_without_a_stream_is_offered_nothing_until_it_has_one() -> None:
    harness = PlacerHarness()
    link = harness.machine(life=0)
    harness.submit()
    assert not link.queue and not list(harness.engine.attempts)
    harness.attach("m1", 5)
    harness.loop.pass_ms(150.0)
    assert len(link.offers) == 1


def test_what_waits_for_a_broken_stream_goes_to_another_machine_at_once() -> None:
    harness = PlacerHarness()
    link = waiting(harness, "once")
    other = harness.machine("m2")
    harness.engine.detached("m1")
    harness.loop.pass_ms(0.0)
    assert not link.queue and len(other.offers) == 1
    harness.submit("u")
    assert not link.queue and len(other.offers) == 2


def test_an_offer_to_a_cold_machine_goes_out_in_the_turn_of_its_decision_or_not_at_all() -> None:
    harness = PlacerHarness()
    harness.loop.pass_ms(3 * harness.cluster.fall_ms)  # what an earlier life of this placer may have spent has passed
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


def test_what_was_never_written_is_moot_when_the_machine_drains() -> None:
    harness = PlacerHarness()
    link = waiting(harness, "once")
    harness.tell_list("m1", state=2)
    harness.loop.pass_ms(0.0)
    assert not link.queue and not len(list(harness.engine.attempts))
    harness.loop.pass_ms(3000.0)
    assert harness.outcomes() == ["refused"]


def test_an_offer_whose_time_is_over_while_bytes_wait_has_them_given_up() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.submit()
    harness.loop.pass_ms(link.offers[0].wait_ms + 5.0)
    assert link.gave_up == 1 and harness.engine.counters["timeouts"] == 1


def test_another_machine_s_word_on_an_attempt_is_no_answer() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.machine("m2", state=2)
    harness.submit()
    harness.answer("m2", link.offers[0], accepted=machine_pb2.Accepted())
    assert harness.outcomes() == []
    harness.answer("m1", link.offers[0], accepted=machine_pb2.Accepted())
    assert harness.outcomes() == ["bound"]


def test_a_list_that_is_behind_takes_no_start_back() -> None:
    """It did, and the next attach of the same life then counted as another one: what was out there was given up."""
    harness = PlacerHarness()
    harness.loop.pass_ms(3 * harness.cluster.fall_ms)
    link = harness.machine()
    started = harness.loop.wall() - 100.0
    harness.attach("m1", 2, started_ms=started)
    harness.tell_list("m1", started=0.0)
    assert (
        harness.engine.attempts.cold_until["m1"]
        == started + harness.cluster.warm_after_ms + harness.cluster.clock_apart_ms
    )
    harness.loop.pass_ms(0.0)
    harness.submit(task_class="once")
    key = (link.offers[0].request, link.offers[0].attempt)
    harness.attach("m1", 2, started_ms=started)
    assert harness.engine.attempts.get(key) is not None and harness.logs["fresh_start"] == 1


def test_of_a_machine_that_is_gone_nothing_is_kept() -> None:
    harness = PlacerHarness()
    harness.machine(started=harness.loop.wall() - 10.0)
    harness.engine.detached("m1")
    harness.streams.links["m1"].attached = False
    harness.tell_list("m1", state=0)
    assert not harness.engine.attempts.cold_until and not harness.engine.attempts.closed_machines


def test_a_machine_is_cold_for_as_much_longer_as_clocks_may_be_apart() -> None:
    """A host's clock had stepped: its placer, 100 ms ahead, took a machine for warm that others still shared out."""
    harness = PlacerHarness()
    apart = harness.cluster.clock_apart_ms
    settings = harness.engine.driver.scheduler.settings
    assert apart == harness.cluster.fall_ms / 4 and settings.warm_after == harness.cluster.warm_after_ms + apart
