"""Tasks that a placer has ended in doubt and told their host to end, and that are handed over since they run on."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from sprucepost.loop import Co
from sprucepost.node.binary import Kind
from sprucepost.node.early_messages import EarlyMessage
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.placed_tasks import PlacedTasks
from sprucepost.node.tasks import Tasks
from tests.node.plays import RELEASE_DUE_MS, VARIANTS, Play, PlayFailure, Variant, failures, start, tasks_of
from tests.node.test_tasks import SID, TaskHarness, harness_with_placed_task
from tests.node.virtual_platform import VirtualPlatform

FORGET_AFTER_MS = 4000.0  # from the reset of all connections until the host forgets those that have come up since
TOLD_BY_MS = 9000.0  # from that reset until the tasks are told as lost
RUNS_MS = 5000.0  # a task that is handed over
HANDED_OVER_AFTER_MS = (600.0, 3000.0, 6000.0)  # the release


def forgotten_play(after_ms: float, by_another: bool) -> Play:
    """A host resets its connections and later forgets the new ones, so its tasks are told as lost while they run."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        process, owners = start(platform, variant)
        yield from platform.run(100.0)
        tasks = ["c0755aa5c7e00001", "c0755aa5c7e00002"]
        for owner in owners:
            owner.submit(*tasks_of(owner, tasks))
        yield from platform.run(1000.0)
        platform.end_connections(process, "reset")
        platform.be_late(variant.late_ms)
        yield from platform.run(FORGET_AFTER_MS)
        while process.connections:
            platform.end_connection(process, "forget")
        given = [sid for owner in owners for sid in tasks_of(owner, tasks)]
        told_by = platform.loop.time + TOLD_BY_MS - FORGET_AFTER_MS
        while any(owner.kinds(sid)[1:] != [Kind.RELEASE] for owner in owners for sid in tasks_of(owner, tasks)):
            yield from platform.run(50.0)
            if platform.loop.time > told_by:
                raise PlayFailure(f"not told as lost: {[owner.told for owner in owners]}")
        if any(sid not in process.standing for sid in given):
            raise PlayFailure("ended at the host: the play needs tasks that run on")
        yield from platform.run(after_ms)
        now_with = [platform.connect(owner.placer, "127.0.2.9") if by_another else owner for owner in owners]
        for owner, new in zip(owners, now_with, strict=True):
            new.submit(*tasks_of(owner, tasks), at=process.uid)
        yield from platform.run(RUNS_MS)
        if any(sid not in process.standing for sid in given):
            raise PlayFailure("a task that has been handed over was ended at its host")
        ended = platform.loop.time
        for sid in given:
            platform.end_task(process, sid)
        yield from platform.run(RELEASE_DUE_MS)
        for owner, new in zip(owners, now_with, strict=True):
            for sid in tasks_of(owner, tasks):
                if not any(task == sid and kind == Kind.RELEASE and at >= ended for at, task, kind, _ in new.told):
                    raise PlayFailure(f"{sid} has ended, and its owner was not told")

    return play


# Guards against review case 6: a task that was ended in doubt runs on, its hand-over is dropped, and its end is never told.
@pytest.mark.parametrize("by_another", [False, True])
@pytest.mark.parametrize("after_ms", HANDED_OVER_AFTER_MS)
def test_a_task_that_was_ended_in_doubt_is_kept_once_handed_over(
    tmp_path: Path, after_ms: float, by_another: bool
) -> None:
    assert failures(tmp_path, {"forgotten": forgotten_play(after_ms, by_another)}, VARIANTS) == []


def ended_in_doubt() -> tuple[TaskHarness, str]:
    """Return a harness whose one task has been ended in doubt, and its host, which was told to end it."""
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    [entry] = harness.tasks.placed[host].values()
    harness.tasks.process_lost(entry.ask.process.identity.current(), host, ended_at_host=True)
    assert harness.events[-1] == ("release", SID, 41)
    return harness, host


def hand_over(harness: TaskHarness, host: str) -> None:
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")


def test_a_set_up_that_crosses_the_release_of_a_task_in_doubt_places_nothing() -> None:
    harness, host = ended_in_doubt()
    harness.loop.pass_ms(20.0)
    hand_over(harness, host)
    assert harness.count_placed_tasks() == 0 and harness.event_kinds().count("release") == 1


def _cut_by_host(harness: TaskHarness, host: str) -> None:
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 31))


def _confirmed_by_host(harness: TaskHarness, host: str) -> None:
    connection = harness.connection(host).process
    harness.tasks.handle_confirmed_end(host, Line(MessageType.CLOSED, SID, {}), connection)


# Guards against an owner that is not told that its host has ended the task after all, as it was asked to before.
@pytest.mark.parametrize("says", [_cut_by_host, _confirmed_by_host])
@pytest.mark.parametrize("is_handed_over_first", [True, False])
def test_the_owner_is_told_when_the_host_says_that_it_was_told_to_end_the_task(
    says: Callable[[TaskHarness, str], None], is_handed_over_first: bool
) -> None:
    harness, host = ended_in_doubt()
    if not is_handed_over_first:
        says(harness, host)
    harness.loop.pass_ms(600.0)
    hand_over(harness, host)
    if is_handed_over_first:
        assert harness.count_placed_tasks() == 1
        says(harness, host)
    assert harness.count_placed_tasks() == 0
    assert harness.events[-2:] == [("release", SID, 41), ("release", SID, 41)]


# Guards against a task that is placed while the message that ends it is on its way to its host, which may not say so.
def test_a_task_is_told_as_lost_whose_end_is_on_its_way_to_its_host(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, host = ended_in_doubt()
    harness.loop.pass_ms(600.0)
    monkeypatch.setattr(TaskHarness, "is_being_ended", lambda self, machine, sid: True)
    hand_over(harness, host)
    assert harness.count_placed_tasks() == 0 and harness.events[-1] == ("release", SID, 41)


def test_an_owners_end_of_a_task_in_doubt_is_told_to_the_host_again() -> None:
    harness, host = ended_in_doubt()
    harness.tasks.owner_cancelled(SID)
    assert harness.events[-1] == ("end task", host, SID)


# Guards against a task whose answer its owner has not had and whose host has not read its end: handed over, it was dropped.
def test_a_task_whose_answer_was_not_sent_is_kept_once_handed_over() -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.answer_unread(SID, harness)
    assert harness.events[-1] == ("end task", host, SID)
    harness.loop.pass_ms(600.0)
    hand_over(harness, host)
    assert harness.count_placed_tasks() == 1
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.events[-1] == ("release", SID, 16)


# Guards against plays that could not fail: a concluded end that counts as one that was heard is found.
def test_a_planted_defect_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = PlacedTasks.lose_process

    def lose_process(self: PlacedTasks, process: object, machine: str, ended_at_host: bool) -> list[str]:
        ended = real(self, process, machine, ended_at_host)  # type: ignore[arg-type]
        for sid in ended:
            self._early_messages.record(sid, EarlyMessage.TASK_ENDED, self._loop.now(), machine)
        return ended

    monkeypatch.setattr(PlacedTasks, "lose_process", lose_process)
    assert failures(tmp_path, {"planted": forgotten_play(3000.0, by_another=False)}, (Variant(),)) != []


def test_the_states_are_reached(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The plays end tasks in doubt with their host told; a silence without an answer would be another state."""
    told: list[bool] = []
    real = Tasks.process_lost

    def process_lost(self: Tasks, process: object, machine: str, ended_at_host: bool) -> list[str]:
        told.append(ended_at_host)
        return real(self, process, machine, ended_at_host)  # type: ignore[arg-type]

    monkeypatch.setattr(Tasks, "process_lost", process_lost)
    assert failures(tmp_path, {"forgotten": forgotten_play(3000.0, by_another=False)}, (Variant(),)) == []
    assert told == [True]
