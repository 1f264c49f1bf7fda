"""A host sends messages about a task on another connection than that of the set-up, before its answer."""

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


def offered_on_one_of_two(platform: Platform) -> Co[tuple[Host, Link, Link, Link]]:
    """Return a host with two connections, the owner of a task offered on one of them, that connection, and the other one."""
    host = platform.host("s-1")
    platform.start()
    owner = yield from two_connections(platform, host)
    offers: list[Link] = []

    def ignore_offer(link: Link, line: Line) -> None:
        offers.append(link)

    host.on_open = ignore_offer
    owner.transport.write(setup(TASK))
    yield from wait_for(lambda: bool(offers))
    [other] = [link for link in host.links if link is not offers[0]]
    return host, owner, offers[0], other


# Guards against a task that has ended at its host without its client being told, since the release arrived on another
# connection than that of the set-up (incident 8).
def test_a_release_on_another_connection_before_the_answer_is_passed_on(tmp_path: Path) -> None:
    def body(platform: Platform, noted: bool, cause: int) -> Co[None]:
        _, owner, carrier, other = yield from offered_on_one_of_two(platform)
        if noted:
            other.send(MessageType.EVENT, TASK, NOTE)
        other.send(MessageType.CLOSE, TASK, code=cause)
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE, 1000)).cause == 41
        carrier.send(MessageType.READY, TASK, text="late")
        yield from sleep(100)
        assert (
            len(messages_for(owner, TASK)) == 1 and platform.standing() == 2 and not platform.service.tasks.ledger.open
        )

    for noted, cause in itertools.product([True, False], [41, 16, 31]):
        run_on_platform(tmp_path, functools.partial(body, noted=noted, cause=cause))


# Guards against a task being offered again although a note on another connection has shown that it was accepted.
def test_a_note_on_another_connection_shows_that_a_released_task_was_accepted(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, owner, carrier, other = yield from offered_on_one_of_two(platform)
        other.send(MessageType.EVENT, TASK, NOTE)
        yield from sleep(50)
        carrier.send(MessageType.CLOSE, TASK, code=41)
        assert (yield from wait_for_message(owner, TASK, Kind.RELEASE, 1000)).cause == 41
        assert sum(line.sid == TASK for line in host.lines(MessageType.OPEN)) == 1

    run_on_platform(tmp_path, body)


def withdrawn_at_its_host(noted: bool) -> tuple[TaskHarness, Attempt]:
    """Return a task whose first attempt timed out at its host, with the next attempt offered; and the first attempt."""
    harness = TaskHarness()
    harness.submit()
    [first] = harness.offers()
    if noted:
        harness.tasks.handle_message(first.machine, Line(MessageType.EVENT, SID, NOTE))
    harness.loop.pass_ms(first.deadline - harness.loop.now() + 1.0)
    assert len(harness.offers()) == 2 and ("withdraw", first) in harness.events
    return harness, first


# Guards against a release being dropped because its attempt timed out right before it was read.
def test_a_release_of_an_accepted_task_crosses_its_withdrawal() -> None:
    harness, first = withdrawn_at_its_host(noted=True)
    latest = harness.offers()[-1]
    harness.tasks.handle_message(first.machine, Line(MessageType.CLOSE, SID, {}, 41))
    harness.loop.pass_ms(1)
    assert harness.events[-2:] == [("withdraw", latest), ("refuse", SID, 41, 0.0)]
    assert not harness.tasks.ledger.open and not harness.tasks.placed


# Guards against a client being told of an end by a mere reply to a withdrawal.
@pytest.mark.parametrize(
    ("noted", "cause"), [(True, 31), (False, 31), (True, 16), (False, 16), (True, 34), (True, 102)]
)
def test_a_reply_to_a_withdrawal_or_a_refusal_ends_no_later_attempt(noted: bool, cause: int) -> None:
    harness, first = withdrawn_at_its_host(noted)
    harness.tasks.handle_message(first.machine, Line(MessageType.CLOSE, SID, {}, cause))
    harness.send_from_host(MessageType.READY, text="made")
    assert harness.events[-1] == ("answer", SID, "made")


# Guards against a client being told of an end, or never told of one, by a host's reply to an earlier withdrawal.
@pytest.mark.parametrize("cause", [16, 31])
def test_a_reply_to_a_withdrawal_ends_no_task_that_a_later_attempt_placed(tmp_path: Path, cause: int) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from warm(platform, SIDS[0])
        carrier: list[Link] = []

        def answer_the_second(link: Link, line: Line) -> None:
            carrier.append(link)
            link.transport.on_end = lambda: None  # the host may still send messages there
            if len(carrier) > 1:
                link.send(MessageType.READY, line.sid, text="x")

        host.on_open = answer_the_second
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        # On the connection of the withdrawn set-up, which is still read.
        carrier[0].send(MessageType.CLOSE, TASK, code=cause)
        yield from sleep(50)
        assert platform.standing() == 2 and len(messages_for(owner, TASK)) == 1
        carrier[1].send(MessageType.CLOSE, TASK, code=41)
        yield from wait_for_message(owner, TASK, Kind.RELEASE)

    run_on_platform(tmp_path, body)


# Guards against the end of a set-up that was lost in transit being attributed to the attempt at the next host.
def test_the_reset_of_a_withdrawn_attempt_does_not_affect_another_hosts_attempt() -> None:
    harness = TaskHarness()
    harness.submit()
    [first] = harness.offers()
    harness.driver.push(
        i.MachineList(
            i.ListKind.DELTA, (i.MachineEntry(first.machine, i.MachineState.DRAINING, 0, 0, 0, 0.0, 32.0, 64.0),)
        )
    )
    harness.loop.pass_ms(first.deadline - harness.loop.now() + 1.0)
    assert harness.offers()[-1].machine != first.machine
    harness.tasks.handle_message(first.machine, Line(MessageType.CLOSE, SID, {}, 41))
    harness.send_from_host(MessageType.READY, text="made")
    assert harness.events[-1] == ("answer", SID, "made")
