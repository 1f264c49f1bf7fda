"""A host's answer that is held up or lost while notes and the release of the same task arrive."""

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


def hosts_that_end(platform: Platform, attrs: dict[str, str], cause: int, noted: bool) -> tuple[list[Host], list[Link]]:
    """Two hosts; the one that gets the task first ends it without its answer, the other would answer. Also the list
    that the first host's connection is added to."""
    ending: list[Link] = []

    def answer(link: Link, line: Line) -> None:
        link.send(MessageType.READY, line.sid, text="x")

    def end(link: Link, line: Line) -> None:
        if ending:
            answer(link, line)
            return
        ending.append(link)
        if noted:
            link.send(MessageType.EVENT, line.sid, NOTE)
        link.send(MessageType.CLOSE, line.sid, attrs, code=cause)

    found = [platform.host("s-1"), platform.host("s-2")]
    for host in found:
        host.on_open = end
    return found, ending


def opened(hosts: list[Host]) -> int:
    return sum(len(host.lines(MessageType.OPEN)) for host in hosts)


@pytest.mark.parametrize("cause", [41, 16, 31])
def test_a_release_that_overtakes_the_answer_of_a_task_with_notes_is_passed_on(tmp_path: Path, cause: int) -> None:
    """A note is sent of a standing task only, so the task is over and its client is owed the release."""

    def body(platform: Platform) -> Co[None]:
        hosts, ending = hosts_that_end(platform, {}, cause, noted=True)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE)).cause == 41
        ending[0].send(MessageType.READY, TASK, text="late")
        yield from sleep(100)
        assert opened(hosts) == 1 and len(messages_for(owner, TASK)) == 1
        assert not platform.standing() and not platform.service.tasks.ledger.open

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("note", ["evicted", "pushed_out", "sent_away"])
def test_a_release_that_names_an_end_of_accepted_tasks_is_passed_on(tmp_path: Path, note: str) -> None:
    def body(platform: Platform) -> Co[None]:
        hosts, _ = hosts_that_end(platform, {"note": note}, 41, noted=False)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE)).cause == 41
        yield from sleep(100)
        assert opened(hosts) == 1 and len(messages_for(owner, TASK)) == 1

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize(("cause", "noted"), [(41, False), (34, True), (102, True)])
def test_what_never_stood_is_offered_again(tmp_path: Path, cause: int, noted: bool) -> None:
    """A set-up that broke on its way, and one that by its host's word never ran."""

    def body(platform: Platform) -> Co[None]:
        hosts, _ = hosts_that_end(platform, {}, cause, noted)
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        assert opened(hosts) == 2 and len(messages_for(owner, TASK)) == 1 and platform.standing() == 1

    run_on_platform(tmp_path, body)


def test_a_client_that_names_the_task_once_more_is_not_kept_waiting_for_its_end(tmp_path: Path) -> None:
    """It may have heard from the host before it heard from us; the host has ended the task and says nothing more."""

    def body(platform: Platform) -> Co[None]:
        hosts, _ = hosts_that_end(platform, {}, 41, noted=True)
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
    ("line", "heard_by_client"),
    [
        (Line(MessageType.READY, SID, text="made"), ("answer", SID, "made")),
        (Line(MessageType.CLOSE, SID, {"note": "sent_away"}, 41), ("refuse", SID, 41, 0.0)),
    ],
)
@pytest.mark.parametrize("action", [i.Refuse, i.Fail])
def test_what_its_host_settles_while_the_module_gives_it_up_is_settled_once(
    line: Line, heard_by_client: tuple[object, ...], action: type[i.Refuse] | type[i.Fail]
) -> None:
    """Sockets are read between a decision and its being carried out; the task is not open any more by then."""
    harness = TaskHarness()
    harness.ask()
    [out] = harness.outs()

    def decide(now: float, events: list[i.Event]) -> list[i.Action]:
        if len(harness.events) > 1:
            return []
        harness.tasks.handle_answer(out, line)
        return [i.Fail(out.entry.request) if action is i.Fail else i.Refuse(out.entry.request, 0.0)]

    harness.driver.scheduler.handle = decide  # type: ignore[method-assign]
    harness.driver.schedule_batch()
    harness.loop.pass_ms(0.0)
    assert harness.events[1:] == [heard_by_client]
