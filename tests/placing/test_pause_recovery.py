"""After a pause of its own a placer places nothing on what it can only believe, and answers every owner all the same."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sprucepost import interface as i
from sprucepost.placing.pause_recovery import PauseRecovery
from sprucepost.v1 import machine_pb2
from tests.placing.support import PlacerHarness, VirtualLoop

FAILED = i.MachineList(i.ListKind.FAILED)


def test_after_a_pause_nothing_is_offered_until_the_list_has_spoken() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.pause(4000.0)
    harness.submit()
    harness.loop.pass_ms(300.0)
    assert not link.offers and harness.logs["paused"] == 1
    harness.engine.hear_list(harness.loop.wall())  # a beat: nothing that was told before has been missed
    harness.loop.pass_ms(150.0)
    assert len(link.offers) == 1


def test_a_pause_shorter_than_the_grace_changes_nothing() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.pause(harness.cluster.drain_grace_ms - 50.0)
    harness.submit()
    assert len(link.offers) == 1


def test_with_the_list_out_of_reach_a_machine_that_speaks_is_there() -> None:
    harness = PlacerHarness()
    link, other = harness.machine(), harness.machine("m2")
    harness.loop.pause(4000.0)
    harness.engine.roster.on_list(FAILED)
    harness.engine.answer("m2", machine_pb2.FromMachine(request=99, running=machine_pb2.TaskRunning()))
    harness.submit()
    assert not link.offers and len(other.offers) == 1


def test_owners_are_answered_in_time_though_nothing_is_heard() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.pause(4000.0)
    harness.submit(left_ms=900.0)
    harness.loop.pass_ms(900.0)
    assert harness.outcomes() == ["refused"] and not link.offers


def test_a_pause_is_not_remembered_for_ever() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.pause(4000.0)
    harness.engine.roster.on_list(FAILED)
    harness.loop.pass_ms(harness.cluster.list_ask_every_ms + 10.0)
    harness.submit()
    assert len(link.offers) == 1


def test_a_machine_that_the_list_closed_meanwhile_stays_closed() -> None:
    harness = PlacerHarness()
    link = harness.machine()
    harness.loop.pause(4000.0)
    harness.loop.pass_ms(0.0)
    harness.tell_list("m1", state=2)
    harness.submit()
    harness.loop.pass_ms(500.0)
    assert not link.offers


STEPS = st.lists(st.tuples(st.sampled_from(["pause", "list", "failed", "a", "b"]), st.floats(0.0, 3000.0)), max_size=30)


@given(STEPS)
def test_doubt_ends_by_itself_and_only_a_pause_begins_it(steps: list[tuple[str, float]]) -> None:
    recovery, now, paused_at = PauseRecovery(1000.0, 2000.0), 0.0, None
    for what, ms in steps:
        now += ms
        if what == "pause":
            if recovery.on_pause(now, ms):
                assert ms >= 1000.0
                paused_at = now
        elif what == "list":
            recovery.on_list_message()
            paused_at = None
        elif what == "failed":
            recovery.on_list_failure()
        else:
            recovery.on_machine_message(what)
        suspect = [name for name in ("a", "b") if recovery.is_suspect(name, now)]
        assert not suspect or (paused_at is not None and now < paused_at + 2000.0)
    assert not recovery.is_suspect("a", now + 2000.0)


def test_bytes_that_came_early_in_a_wait_that_a_pause_fell_into_have_waited_for_all_of_it() -> None:
    """Stopped 4,816 ms within a wait that was to last 1,560: an answer to what came at its beginning was 742 ms late."""
    harness = PlacerHarness()
    loop = harness.loop
    loop._after_poll(loop.time, 0.0)
    began, loop.time = loop.time, loop.time + 4816.0
    loop._after_poll(began, 1560.0)
    assert loop.unpolled_ms == 4816.0
    began, loop.time = loop.time, loop.time + 51.0
    loop._after_poll(began, 50.0)
    assert loop.unpolled_ms == 1.0  # the system's own rounding


def test_a_loop_that_is_to_know_of_its_pauses_never_waits_long() -> None:
    loop = VirtualLoop()
    loop.call_later(5000.0, lambda: None)
    loop.turn()
    assert loop.time == 1_005_000.0
    loop.on_stall(1000.0, lambda length: None)
    loop.call_later(5000.0, lambda: None)
    loop.turn()
    assert loop.time == 1_005_050.0


def test_after_a_stop_in_the_midst_of_a_turn_the_sockets_are_looked_at_before_time_outs() -> None:
    order: list[str] = []

    class Stopped(VirtualLoop):
        def _poll(self, wait_ms: float | None) -> None:
            super()._poll(wait_ms)
            order.append("look")
            if len(order) == 1:
                self.time += 4000.0  # between the look and the timers

    loop = Stopped()
    loop.call_soon(lambda: None)
    loop.call_later(600.0, lambda: order.append("time-out"))
    for _ in range(3):
        loop.turn()
    assert order[:3] == ["look", "look", "time-out"]
