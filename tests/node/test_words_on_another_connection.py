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
from sprucepost.node.jsonl import Line, Word
from tests.node.platform import Day, Host, Link, answers, heard, play, setup
from tests.node.test_crossings import SIDS, two_connections, warm
from tests.node.test_tasks import SID, Around
from tests.wire.support import wait_for

TASK = "c0355aa5c7e00001"
NOTE = {"note": "cores", "value": "0.5"}


def out_on_one_of_two(day: Day) -> Co[tuple[Host, Link, Link, Link]]:
    """A host with two connections, the owner of a task that is out on one of them, that connection, and the other."""
    host = day.host("s-1")
    day.start()
    owner = yield from two_connections(day, host)
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
    def body(day: Day, noted: bool, cause: int) -> Co[None]:
        _, owner, carrying, other = yield from out_on_one_of_two(day)
        if noted:
            other.say(Word.EVENT, TASK, NOTE)
        other.say(Word.CLOSE, TASK, code=cause)
        assert (yield from heard(owner, TASK, Kind.RELEASE, 1000)).cause == 41
        carrying.say(Word.READY, TASK, text="late")
        yield from sleep(100)
        assert len(answers(owner, TASK)) == 1 and day.standing() == 2 and not day.service.tasks.ledger.open

    for noted, cause in itertools.product([True, False], [41, 16, 31]):
        play(tmp_path, functools.partial(body, noted=noted, cause=cause))


# Guards against a task that is offered again though its note, on another connection, has told that it stood.
def test_a_note_on_another_connection_tells_that_a_release_is_of_a_task_that_stood(tmp_path: Path) -> None:
    def body(day: Day) -> Co[None]:
        host, owner, carrying, other = yield from out_on_one_of_two(day)
        other.say(Word.EVENT, TASK, NOTE)
        yield from sleep(50)
        carrying.say(Word.CLOSE, TASK, code=41)
        assert (yield from heard(owner, TASK, Kind.RELEASE, 1000)).cause == 41
        assert sum(line.sid == TASK for line in host.lines(Word.OPEN)) == 1

    play(tmp_path, body)


def withdrawn_at_its_host(noted: bool) -> tuple[Around, Attempt]:
    """A task whose first attempt's time was up at its host; the next attempt is out."""
    around = Around()
    around.ask()
    [first] = around.outs()
    if noted:
        around.tasks.heard(first.machine, Line(Word.EVENT, SID, NOTE))
    around.loop.pass_ms(first.until - around.loop.now() + 1.0)
    assert len(around.outs()) == 2 and ("give up", first) in around.events
    return around, first


# Guards against a release that is dropped because the time of its attempt was up right before it was read.
def test_a_release_of_a_task_that_stood_crosses_our_taking_it_back() -> None:
    around, first = withdrawn_at_its_host(noted=True)
    latest = around.outs()[-1]
    around.tasks.heard(first.machine, Line(Word.CLOSE, SID, {}, 41))
    around.loop.pass_ms(1)
    assert around.events[-2:] == [("give up", latest), ("refuse", SID, 41, 0.0)]
    assert not around.tasks.ledger.open and not around.tasks.standing


# Guards against a client that is told of an end by the mere echo of an attempt that was taken back.
@pytest.mark.parametrize(
    ("noted", "cause"), [(True, 31), (False, 31), (True, 16), (False, 16), (True, 34), (True, 102)]
)
def test_what_says_of_no_task_that_stood_ends_no_later_attempt(noted: bool, cause: int) -> None:
    around, first = withdrawn_at_its_host(noted)
    around.tasks.heard(first.machine, Line(Word.CLOSE, SID, {}, cause))
    around.say(Word.READY, text="made")
    assert around.events[-1] == ("answer", SID, "made")


# Guards against a caller that is told of an end, or never told of one, by a host's answer to an earlier taking back there.
@pytest.mark.parametrize("cause", [16, 31])
def test_an_answer_to_taking_back_ends_no_task_that_stands_by_a_later_attempt(tmp_path: Path, cause: int) -> None:
    def body(day: Day) -> Co[None]:
        host = day.host("s-1")
        day.start()
        owner = yield from warm(day, SIDS[0])
        carrying: list[Link] = []

        def hold_the_first(link: Link, line: Line) -> None:
            carrying.append(link)
            link.transport.on_end = lambda: None  # it may still say something there
            if len(carrying) > 1:
                link.say(Word.READY, line.sid, text="x")

        host.on_open = hold_the_first
        owner.transport.write(setup(TASK))
        yield from heard(owner, TASK, Kind.ANSWER)
        carrying[0].say(Word.CLOSE, TASK, code=cause)  # on the connection that was taken back, which is still read
        yield from sleep(50)
        assert day.standing() == 2 and len(answers(owner, TASK)) == 1
        carrying[1].say(Word.CLOSE, TASK, code=41)
        yield from heard(owner, TASK, Kind.RELEASE)

    play(tmp_path, body)


# Guards against the end of a set-up that broke on its way being taken for that of the next host's.
def test_a_break_of_what_was_taken_back_says_nothing_of_another_hosts_attempt() -> None:
    around = Around()
    around.ask()
    [first] = around.outs()
    around.driver.push(
        i.MachineList(
            i.ListKind.DELTA, (i.MachineEntry(first.machine, i.MachineState.DRAINING, 0, 0, 0, 0.0, 32.0, 64.0),)
        )
    )
    around.loop.pass_ms(first.until - around.loop.now() + 1.0)
    assert around.outs()[-1].machine != first.machine
    around.tasks.heard(first.machine, Line(Word.CLOSE, SID, {}, 41))
    around.say(Word.READY, text="made")
    assert around.events[-1] == ("answer", SID, "made")
