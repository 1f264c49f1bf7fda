"""A host speaks of a task on another connection than the one that carried its set-up, before it has answered there."""

from __future__ import annotations

import functools
import itertools
from pathlib import Path

import pytest

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.node.attempt import Attempt
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import Host, Link, Platform, messages_for, run_on_platform, setup, wait_for_message
from tests.node.test_crossings import SIDS, two_connections, warm
from tests.node.test_tasks import SID, TaskHarness
from tests.wire.support import wait_for

TASK = "c0355aa5c7e00001"
NOTE = {"note": "cores", "value": "0.5"}


def out_on_one_of_two(platform: Platform) -> Co[tuple[Host, Link, Link, Link]]:
    """A host with two connections, the owner of a task that is out on one of them, that connection, and the other."""
    host = platform.host("s-1")
    platform.start()
    owner = yield from two_connections(platform, host)
    carried: list[Link] = []

    def leave_out(link: Link, line: Line) -> None:
        carried.append(link)

    host.on_open = leave_out
    owner.transport.write(setup(TASK))
    yield from wait_for(lambda: bool(carried))
    [other] = [link for link in host.links if link is not carried[0]]
    return host, owner, carried[0], other


# Guards against a call that was over at its host and whose caller was never told, since the word came on a connection
# that did not carry its set-up (incident 8).
def test_a_release_on_another_connection_before_the_answer_is_passed_on(tmp_path: Path) -> None:
    def body(platform: Platform, noted: bool, cause: int) -> Co[None]:
        _, owner, carrying, other = yield from out_on_one_of_two(platform)
        if noted:
            other.send(MessageType.EVENT, TASK, NOTE)
        other.send(MessageType.CLOSE, TASK, code=cause)
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE, 1000)).cause == 41
        carrying.send(MessageType.READY, TASK, text="late")
        yield from sleep(100)
        assert (
            len(messages_for(owner, TASK)) == 1 and platform.standing() == 2 and not platform.service.tasks.ledger.open
        )

    for noted, cause in itertools.product([True, False], [41, 16, 31]):
        run_on_platform(tmp_path, functools.partial(body, noted=noted, cause=cause))


# Guards against a task that is offered again though its note, on another connection, has told that it stood.
def test_a_note_on_another_connection_tells_that_a_release_is_of_a_task_that_stood(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, owner, carrying, other = yield from out_on_one_of_two(platform)
        other.send(MessageType.EVENT, TASK, NOTE)
        yield from sleep(50)
        carrying.send(MessageType.CLOSE, TASK, code=41)
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE, 1000)).cause == 41
        assert sum(line.sid == TASK for line in host.lines(MessageType.OPEN)) == 1

    run_on_platform(tmp_path, body)


def withdrawn_at_its_host(noted: bool) -> tuple[TaskHarness, Attempt]:
    """A task whose first attempt's time was up at its host; the next attempt is out."""
    harness = TaskHarness()
    harness.ask()
    [first] = harness.outs()
    if noted:
        harness.tasks.handle_message(first.machine, Line(MessageType.EVENT, SID, NOTE))
    harness.loop.pass_ms(first.deadline - harness.loop.now() + 1.0)
    assert len(harness.outs()) == 2 and ("give up", first) in harness.events
    return harness, first


# Guards against a release that is dropped because the time of its attempt was up right before it was read.
def test_a_release_of_a_task_that_stood_crosses_our_taking_it_back() -> None:
    harness, first = withdrawn_at_its_host(noted=True)
    latest = harness.outs()[-1]
    harness.tasks.handle_message(first.machine, Line(MessageType.CLOSE, SID, {}, 41))
    harness.loop.pass_ms(1)
    assert harness.events[-2:] == [("give up", latest), ("refuse", SID, 41, 0.0)]
    assert not harness.tasks.ledger.open and not harness.tasks.placed


# Guards against a client that is told of an end by the mere echo of an attempt that was taken back.
@pytest.mark.parametrize(
    ("noted", "cause"), [(True, 31), (False, 31), (True, 16), (False, 16), (True, 34), (True, 102)]
)
def test_what_says_of_no_task_that_stood_ends_no_later_attempt(noted: bool, cause: int) -> None:
    harness, first = withdrawn_at_its_host(noted)
    harness.tasks.handle_message(first.machine, Line(MessageType.CLOSE, SID, {}, cause))
    harness.say(MessageType.READY, text="made")
    assert harness.events[-1] == ("answer", SID, "made")


# Guards against a caller that is told of an end, or never told of one, by a host's answer to an earlier taking back there.
@pytest.mark.parametrize("cause", [16, 31])
def test_an_answer_to_taking_back_ends_no_task_that_stands_by_a_later_attempt(tmp_path: Path, cause: int) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from warm(platform, SIDS[0])
        carrying: list[Link] = []

        def hold_the_first(link: Link, line: Line) -> None:
            carrying.append(link)
            link.transport.on_end = lambda: None  # it may still say something there
            if len(carrying) > 1:
                link.send(MessageType.READY, line.sid, text="x")

        host.on_open = hold_the_first
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        carrying[0].send(
            MessageType.CLOSE, TASK, code=cause
        )  # on the connection that was taken back, which is still read
        yield from sleep(50)
        assert platform.standing() == 2 and len(messages_for(owner, TASK)) == 1
        carrying[1].send(MessageType.CLOSE, TASK, code=41)
        yield from wait_for_message(owner, TASK, Kind.RELEASE)

    run_on_platform(tmp_path, body)


# Guards against the end of a set-up that broke on its way being taken for that of the next host's.
def test_a_break_of_what_was_taken_back_says_nothing_of_another_hosts_attempt() -> None:
    harness = TaskHarness()
    harness.ask()
    [first] = harness.outs()
    harness.driver.push(
        i.MachineList(
            i.ListKind.DELTA, (i.MachineEntry(first.machine, i.MachineState.DRAINING, 0, 0, 0, 0.0, 32.0, 64.0),)
        )
    )
    harness.loop.pass_ms(first.deadline - harness.loop.now() + 1.0)
    assert harness.outs()[-1].machine != first.machine
    harness.tasks.handle_message(first.machine, Line(MessageType.CLOSE, SID, {}, 41))
    harness.say(MessageType.READY, text="made")
    assert harness.events[-1] == ("answer", SID, "made")
