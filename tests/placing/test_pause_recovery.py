"""After a stall a placer places nothing on stale knowledge of machines, and still answers every owner in time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sprucepost import interface as i
from sprucepost.placing.pause_recovery import PauseRecovery
from sprucepost.v1 import machine_pb2
from tests.placing.support import PlacerHarness, VirtualLoop

FAILED = i.MachineList(i.ListKind.FAILED)


def test_after_a_stall_nothing_is_offered_until_a_message_of_the_list() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.stall(4000.0)
    harness.submit()
    harness.loop.pass_ms(300.0)
    assert not link.offers and harness.logs["paused"] == 1
    harness.engine.on_list_update(harness.loop.wall())  # a heartbeat: no earlier message has been missed
    harness.loop.pass_ms(150.0)
    assert len(link.offers) == 1


def test_a_stall_shorter_than_the_grace_changes_nothing() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.stall(harness.cluster.drain_grace_ms - 50.0)
    harness.submit()
    assert len(link.offers) == 1


def test_with_the_list_out_of_reach_a_machine_that_sends_a_message_gets_work() -> None:
    harness = PlacerHarness()
    link, other = harness.machine(), harness.machine("m2")
    harness.loop.stall(4000.0)
    harness.engine.roster.on_list(FAILED)
    harness.engine.on_machine_frame("m2", machine_pb2.FromMachine(request=99, running=machine_pb2.TaskRunning()))
    harness.submit()
    assert not link.offers and len(other.offers) == 1


def test_owners_are_answered_in_time_while_all_machines_are_suspect() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.stall(4000.0)
    harness.submit(left_ms=900.0)
    harness.loop.pass_ms(900.0)
    assert harness.outcomes() == ["refused"] and not link.offers


def test_machines_do_not_stay_suspect_forever() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.stall(4000.0)
    harness.engine.roster.on_list(FAILED)
    harness.loop.pass_ms(harness.cluster.list_ask_every_ms + 10.0)
    harness.submit()
    assert len(link.offers) == 1


def test_a_machine_that_the_list_closed_meanwhile_stays_closed() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.stall(4000.0)
    harness.loop.pass_ms(0.0)
    harness.tell_list("m1", state=2)
    harness.submit()
    harness.loop.pass_ms(500.0)
    assert not link.offers


STEPS = st.lists(st.tuples(st.sampled_from(["pause", "list", "failed", "a", "b"]), st.floats(0.0, 3000.0)), max_size=30)


@given(STEPS)
def test_machines_are_suspect_only_after_a_stall_and_for_a_limited_time(steps: list[tuple[str, float]]) -> None:
    recovery, now, stalled_at = PauseRecovery(1000.0, 2000.0), 0.0, None
    for what, ms in steps:
        now += ms
        if what == "pause":
            if recovery.on_pause(now, ms):
                assert ms >= 1000.0
                stalled_at = now
        elif what == "list":
            recovery.on_list_message()
            stalled_at = None
        elif what == "failed":
            recovery.on_list_failure()
        else:
            recovery.on_machine_message(what)
        suspect = [name for name in ("a", "b") if recovery.is_suspect(name, now)]
        assert not suspect or (stalled_at is not None and now < stalled_at + 2000.0)
    assert not recovery.is_suspect("a", now + 2000.0)


def test_bytes_that_arrive_early_in_a_stalled_poll_have_waited_for_all_of_it() -> None:
    """Otherwise answers are late: after a stop of 4,816 ms within a poll of 1,560 ms, one was 742 ms late."""
    harness = PlacerHarness()
    loop = harness.loop
    loop._after_poll(loop.time, 0.0)
    began, loop.time = loop.time, loop.time + 4816.0
    loop._after_poll(began, 1560.0)
    assert loop.unpolled_ms == 4816.0
    began, loop.time = loop.time, loop.time + 51.0
    loop._after_poll(began, 50.0)
    assert loop.unpolled_ms == 1.0  # the operating system's rounding


def test_a_loop_that_reports_stalls_polls_at_short_intervals() -> None:
    loop = VirtualLoop()
    loop.call_later(5000.0, lambda: None)
    loop.turn()
    assert loop.time == 1_005_000.0
    loop.on_stall(1000.0, lambda length: None)
    loop.call_later(5000.0, lambda: None)
    loop.turn()
    assert loop.time == 1_005_050.0


def test_after_a_stop_within_a_turn_sockets_are_polled_before_timers_fire() -> None:
    order: list[str] = []

    class Stopped(VirtualLoop):
        def _poll(self, wait_ms: float | None) -> None:
            super()._poll(wait_ms)
            order.append("poll")
            if len(order) == 1:
                self.time += 4000.0  # between the poll and the timers

    loop = Stopped()
    loop.call_soon(lambda: None)
    loop.call_later(600.0, lambda: order.append("time-out"))
    for _ in range(3):
        loop.turn()
    assert order[:3] == ["poll", "poll", "time-out"]
