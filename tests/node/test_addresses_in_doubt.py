"""Keyed tasks that may have run, and an address whose connections have all been reset: another host may answer there now."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.loop import Co
from sprucepost.node.address_holders import Age
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import settings
from tests.node.plays import PlayFailure, Variant, failures
from tests.node.test_tasks import SID, TaskHarness
from tests.node.virtual import host_address
from tests.node.virtual_platform import OwnerConnection, Process, VirtualPlatform

TASK = "c0855aa5c7e00001"
WINDOW_MS, LEFT_MS = 5000.0, 6000.0
HOME, OTHER = 0, 1  # racks, and the rooms of the same number
ROOMS = ("room-a", "room-b")
NEVER_MS = 1e9
VARIANTS = (Variant(), *(Variant(late_ms=late_ms) for late_ms in (50.0, 200.0)), Variant(reverses_order=True))

Body = Callable[["Stage"], Co[None]]


class Stage:
    """A placer with one keyed task open at the host ``s-0``, which has answered another one."""

    def __init__(self, platform: VirtualPlatform, scope: str, late_ms: float) -> None:
        self.platform, self.late_ms = platform, late_ms
        self.first = platform.start_process("s-0")
        platform.publish(self.entry(self.first, HOME, boot_ms=0), everything=True)
        classes = [
            {
                "name": "web", "objective": 400.0, "deadline": LEFT_MS, "effect": "token", "worth": 3.0, "window": WINDOW_MS,
                "key_scope": scope,
            }
        ]  # fmt: skip
        self.owner: OwnerConnection = platform.connect(platform.start_placer(settings=settings(classes=classes)))

    def entry(self, process: Process, group: int, **changes: Any) -> dict[str, Any]:
        return process.entry(pod_group=group, az=ROOMS[group], **changes)

    def submit(self) -> None:
        self.owner.submit(TASK, LEFT=str(int(LEFT_MS)), KEY="k" * 32)

    def open_task(self) -> Co[None]:
        """Have the task open at the first host."""
        yield from self.platform.run(100.0)
        self.first.accept_ms = NEVER_MS
        self.submit()
        yield from self.platform.run(200.0)
        if TASK not in self.first.answers_due:
            raise PlayFailure("the task is not open at the first host")

    def change_hands(self, uid: str = "s-1") -> Process:
        """Have another host take the address of the first one, which dies with resets; no dial is refused."""
        holder = next(process for process in self.platform.processes if process.alive)
        self.platform.kill(holder, refuses_dials=False)
        process = self.platform.start_process(uid)
        self.platform.be_late(self.late_ms)
        return process

    def has(self, process: Process) -> bool:
        return TASK in process.standing or TASK in process.answers_due

    def check(self, process: Process, gets_task: bool) -> None:
        """Check whether that host has the task."""
        if self.has(process) is not gets_task:
            raise PlayFailure(f"{process.uid} has {'not ' if gets_task else ''}got the task")


def change_hands_unlisted(stage: Stage, unlisted_ms: float) -> Co[Process]:
    """Open the task, and have the next host take the address; return it once it has been unlisted for so long."""
    yield from stage.open_task()
    new = stage.change_hands()
    yield from stage.platform.run(unlisted_ms)
    stage.check(new, gets_task=False)
    return new


def before_the_list_names_it(stage: Stage) -> Co[None]:
    new = yield from change_hands_unlisted(stage, 2000.0)
    stage.platform.tell(stage.entry(new, OTHER))
    yield from stage.platform.run(500.0)
    stage.check(new, gets_task=False)
    mate = stage.platform.start_process("s-2", host_address(2))
    stage.platform.tell(stage.entry(mate, HOME))
    yield from stage.platform.run(1000.0)
    stage.check(mate, gets_task=True)


def a_new_host_of_the_group(stage: Stage) -> Co[None]:
    new = yield from change_hands_unlisted(stage, 1000.0)
    stage.platform.tell(stage.entry(new, HOME))
    yield from stage.platform.run(1500.0)
    stage.check(new, gets_task=True)


def the_address_changes_hands_twice(stage: Stage) -> Co[None]:
    yield from stage.open_task()
    second = stage.change_hands()
    second.accept_ms = NEVER_MS
    yield from stage.platform.run(600.0)
    stage.platform.publish(stage.entry(second, HOME))
    third = stage.change_hands("s-3")
    yield from stage.platform.run(20.0)
    stage.platform.deliver()
    yield from stage.platform.run(1500.0)
    stage.check(third, gets_task=False)
    stage.platform.tell(stage.entry(second, HOME, state="DELETED"), stage.entry(third, OTHER))
    yield from stage.platform.run(500.0)
    stage.check(third, gets_task=False)


def the_first_try_at_another_host(stage: Stage) -> Co[None]:
    """The first try itself goes to the next host at the address, and is reset there: where it may have run is not known."""
    yield from stage.platform.run(100.0)
    stage.owner.submit("c0855aa5c7e00002", KEY="l" * 32)
    yield from stage.platform.run(200.0)
    new = stage.change_hands()
    new.accept_ms = NEVER_MS
    yield from stage.platform.run(20.0)
    stage.submit()
    yield from stage.platform.run(300.0)
    stage.check(new, gets_task=True)
    stage.platform.end_connections(new)
    mate = stage.platform.start_process("s-2", host_address(2))
    stage.platform.tell(stage.entry(mate, HOME))
    yield from stage.platform.run(1000.0)
    stage.check(mate, gets_task=False)


BODIES: dict[str, Body] = {
    "before the list names the new host": before_the_list_names_it,
    "a new host of the group": a_new_host_of_the_group,
    "the address changes hands twice": the_address_changes_hands_twice,
    "the first try at another host": the_first_try_at_another_host,
}


def run(folder: Path, body: Body, scope: str) -> list[str]:
    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        yield from body(Stage(platform, scope, variant.late_ms))

    return failures(folder, {scope: play}, VARIANTS)


# Guards against a second try that another group's host reads, as it has the address of the first one and is not listed yet.
@pytest.mark.parametrize("scope", ["cell", "zone"])
@pytest.mark.parametrize("name", BODIES)
def test_a_second_try_reaches_no_host_outside_its_group(tmp_path: Path, name: str, scope: str) -> None:
    assert run(tmp_path, BODIES[name], scope) == []


# The plays could fail: without the doubt about the address they do.
@pytest.mark.parametrize("name", BODIES)
def test_a_planted_defect_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    monkeypatch.setattr(Host, "is_doubted", lambda self, now: False)
    assert run(tmp_path, BODIES[name], "cell") != []


# Guards against a connection to the next host that is taken for one to the host before, whose reset is read later.
def test_a_connection_that_came_up_before_a_reset_was_read_is_in_doubt() -> None:
    host = Host("s-0", host_address(0), 0.0, Age())
    links = [HostLink(host, SimpleNamespace(), now, 1, now) for now in (1000.0, 5000.0)]  # type: ignore[arg-type]
    host.links += links
    host.doubt(5010.0, process_at=1000.0, open_until=4990.0)
    assert [link.leads_to_listed_host(5010.0) for link in links] == [True, False]
    host.confirm(4995.0)  # the list tells of its start
    assert [link.leads_to_listed_host(5010.0) for link in links] == [True, True]


@pytest.mark.parametrize("leads_to_listed_host", [True, False])
def test_the_scheduler_is_told_whether_the_host_of_the_offer_had_the_attempt(leads_to_listed_host: bool) -> None:
    harness = TaskHarness()
    harness.submit(SID, KEY="k" * 32, CLASS="bill")
    harness.leads_to_listed_host = leads_to_listed_host
    attempt = harness.offers()[-1]
    harness.tasks.handle_answer(attempt, Line(MessageType.CLOSE, SID, {}, 41))
    harness.loop.pass_ms(1)
    [outcome] = [event for event in harness.scheduler_events if isinstance(event, i.Outcome)]
    assert outcome.is_located is leads_to_listed_host
