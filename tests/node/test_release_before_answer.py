"""A host's answer is delayed or lost while notes and the release of the same task arrive."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import Host, Link, Platform, messages_for, run_on_platform, setup, wait_for_message
from tests.node.test_tasks import SID, TaskHarness
from tests.wire.support import wait_for

TASK = "c0155aa5c7e00001"
NOTE = {"note": "cores", "value": "0.5"}


def hosts_that_release(
    platform: Platform, attrs: dict[str, str], cause: int, noted: bool
) -> tuple[list[Host], list[Link]]:
    """Return two hosts, and the list to which the connection of the first offer is added.

    The host that is offered the task first releases it without an answer; the other one would answer.
    """
    releasing_links: list[Link] = []

    def answer(link: Link, line: Line) -> None:
        link.send(MessageType.READY, line.sid, text="x")

    def end(link: Link, line: Line) -> None:
        if releasing_links:
            answer(link, line)
            return
        releasing_links.append(link)
        if noted:
            link.send(MessageType.EVENT, line.sid, NOTE)
        link.send(MessageType.CLOSE, line.sid, attrs, code=cause)

    found = [platform.host("s-1"), platform.host("s-2")]
    for host in found:
        host.on_open = end
    return found, releasing_links


def count_offers(hosts: list[Host]) -> int:
    return sum(len(host.lines(MessageType.OPEN)) for host in hosts)


@pytest.mark.parametrize("cause", [41, 16, 31])
def test_a_release_of_a_task_with_notes_is_passed_on_before_its_answer(tmp_path: Path, cause: int) -> None:
    """Notes are sent about accepted tasks only, so the task has ended and its client must be sent the release."""

    def body(platform: Platform) -> Co[None]:
        hosts, releasing_links = hosts_that_release(platform, {}, cause, noted=True)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE)).cause == 41
        releasing_links[0].send(MessageType.READY, TASK, text="late")
        yield from sleep(100)
        assert count_offers(hosts) == 1 and len(messages_for(owner, TASK)) == 1
        assert not platform.standing() and not platform.service.tasks.ledger.open

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("note", ["evicted", "pushed_out", "sent_away"])
def test_a_release_with_a_reason_of_accepted_tasks_is_passed_on(tmp_path: Path, note: str) -> None:
    def body(platform: Platform) -> Co[None]:
        hosts, _ = hosts_that_release(platform, {"note": note}, 41, noted=False)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE)).cause == 41
        yield from sleep(100)
        assert count_offers(hosts) == 1 and len(messages_for(owner, TASK)) == 1

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize(("cause", "noted"), [(41, False), (34, True), (102, True)])
def test_a_task_that_was_never_accepted_is_offered_again(tmp_path: Path, cause: int, noted: bool) -> None:
    """A set-up that was lost in transit, and one that by its host's message never ran."""

    def body(platform: Platform) -> Co[None]:
        hosts, _ = hosts_that_release(platform, {}, cause, noted)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        assert count_offers(hosts) == 2 and len(messages_for(owner, TASK)) == 1 and platform.standing() == 1

    run_on_platform(tmp_path, body)


def test_an_ended_task_that_its_client_reports_again_is_not_recorded_as_placed(tmp_path: Path) -> None:
    """The client may hear of the task from the host first; the host has ended it and will send no further release."""

    def body(platform: Platform) -> Co[None]:
        hosts, _ = hosts_that_release(platform, {}, 41, noted=True)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.RELEASE)
        [uid] = [host.uid for host in hosts if host.lines(MessageType.OPEN)]
        owner.transport.write(setup(TASK, FIGURES=f"cores:1;memory:2;service:00000000b4d65521;at:{uid}"))
        owner.transport.write(setup("c0155aa5c7e00002"))
        yield from wait_for_message(owner, "c0155aa5c7e00002", Kind.ANSWER)
        yield from wait_for(lambda: platform.standing() == 1)
        assert TASK not in platform.service.tasks.placed.get(uid, {})

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize(
    ("line", "message_to_client"),
    [
        (Line(MessageType.READY, SID, text="made"), ("answer", SID, "made")),
        (Line(MessageType.CLOSE, SID, {"note": "sent_away"}, 41), ("refuse", SID, 41, 0.0)),
    ],
)
@pytest.mark.parametrize("action", [i.Refuse, i.Fail])
def test_a_task_that_its_host_settles_while_the_scheduler_refuses_it_is_settled_once(
    line: Line, message_to_client: tuple[object, ...], action: type[i.Refuse] | type[i.Fail]
) -> None:
    """Sockets are read between a decision and its execution, so the task may not be open any more by then."""
    harness = TaskHarness()
    harness.submit()
    [attempt] = harness.offers()

    def decide(now: float, events: list[i.Event]) -> list[i.Action]:
        if len(harness.events) > 1:
            return []
        harness.tasks.handle_answer(attempt, line)
        return [i.Fail(attempt.entry.request) if action is i.Fail else i.Refuse(attempt.entry.request, 0.0)]

    harness.driver.scheduler.handle = decide  # type: ignore[method-assign]
    harness.driver.schedule_batch()
    harness.loop.pass_ms(0.0)
    assert harness.events[1:] == [message_to_client]
