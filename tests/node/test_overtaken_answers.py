"""A host's answer that is held up or lost while notes and the release of the same task arrive."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Line, Word
from tests.node.platform import Day, Host, Link, answers, heard, play, setup
from tests.node.test_tasks import SID, Around
from tests.wire.support import wait_for

TASK = "c0155aa5c7e00001"
NOTE = {"note": "cores", "value": "0.5"}


def hosts_that_end(day: Day, attrs: dict[str, str], cause: int, noted: bool) -> tuple[list[Host], list[Link]]:
    """Two hosts; the one that gets the task first ends it without its answer, the other would answer. Also the list
    that the first host's connection is added to."""
    ending: list[Link] = []

    def answer(link: Link, line: Line) -> None:
        link.say(Word.READY, line.sid, text="x")

    def end(link: Link, line: Line) -> None:
        if ending:
            answer(link, line)
            return
        ending.append(link)
        if noted:
            link.say(Word.EVENT, line.sid, NOTE)
        link.say(Word.CLOSE, line.sid, attrs, code=cause)

    found = [day.host("s-1"), day.host("s-2")]
    for host in found:
        host.on_open = end
    return found, ending


def opened(hosts: list[Host]) -> int:
    return sum(len(host.lines(Word.OPEN)) for host in hosts)


@pytest.mark.parametrize("cause", [41, 16, 31])
def test_a_release_that_overtakes_the_answer_of_a_task_with_notes_is_passed_on(tmp_path: Path, cause: int) -> None:
    """A note is sent of a standing task only, so the task is over and its client is owed the release."""

    def body(day: Day) -> Co[None]:
        hosts, ending = hosts_that_end(day, {}, cause, noted=True)
        day.start()
        owner = yield from day.owner()
        owner.transport.write(setup(TASK))
        assert (yield from heard(owner, TASK, Kind.RELEASE)).cause == 41
        ending[0].say(Word.READY, TASK, text="late")
        yield from sleep(100)
        assert opened(hosts) == 1 and len(answers(owner, TASK)) == 1
        assert not day.standing() and not day.service.tasks.ledger.open

    play(tmp_path, body)


@pytest.mark.parametrize("note", ["evicted", "pushed_out", "sent_away"])
def test_a_release_that_names_an_end_of_accepted_tasks_is_passed_on(tmp_path: Path, note: str) -> None:
    def body(day: Day) -> Co[None]:
        hosts, _ = hosts_that_end(day, {"note": note}, 41, noted=False)
        day.start()
        owner = yield from day.owner()
        owner.transport.write(setup(TASK))
        assert (yield from heard(owner, TASK, Kind.RELEASE)).cause == 41
        yield from sleep(100)
        assert opened(hosts) == 1 and len(answers(owner, TASK)) == 1

    play(tmp_path, body)


@pytest.mark.parametrize(("cause", "noted"), [(41, False), (34, True), (102, True)])
def test_what_never_stood_is_offered_again(tmp_path: Path, cause: int, noted: bool) -> None:
    """A set-up that broke on its way, and one that by its host's word never ran."""

    def body(day: Day) -> Co[None]:
        hosts, _ = hosts_that_end(day, {}, cause, noted)
        day.start()
        owner = yield from day.owner()
        owner.transport.write(setup(TASK))
        yield from heard(owner, TASK, Kind.ANSWER)
        assert opened(hosts) == 2 and len(answers(owner, TASK)) == 1 and day.standing() == 1

    play(tmp_path, body)


def test_a_client_that_names_the_task_once_more_is_not_kept_waiting_for_its_end(tmp_path: Path) -> None:
    """It may have heard from the host before it heard from us; the host has ended the task and says nothing more."""

    def body(day: Day) -> Co[None]:
        hosts, _ = hosts_that_end(day, {}, 41, noted=True)
        day.start()
        owner = yield from day.owner()
        owner.transport.write(setup(TASK))
        yield from heard(owner, TASK, Kind.RELEASE)
        [uid] = [host.uid for host in hosts if host.lines(Word.OPEN)]
        owner.transport.write(setup(TASK, FIGURES=f"cores:1;memory:2;service:00000000b4d65521;at:{uid}"))
        owner.transport.write(setup("c0155aa5c7e00002"))
        yield from heard(owner, "c0155aa5c7e00002", Kind.ANSWER)
        yield from wait_for(lambda: day.standing() == 1)
        assert TASK not in day.service.tasks.standing.get(uid, {})

    play(tmp_path, body)


@pytest.mark.parametrize(
    ("line", "heard_by_client"),
    [
        (Line(Word.READY, SID, text="made"), ("answer", SID, "made")),
        (Line(Word.CLOSE, SID, {"note": "sent_away"}, 41), ("refuse", SID, 41, 0.0)),
    ],
)
@pytest.mark.parametrize("action", [i.Refuse, i.Fail])
def test_what_its_host_settles_while_the_module_gives_it_up_is_settled_once(
    line: Line, heard_by_client: tuple[object, ...], action: type[i.Refuse] | type[i.Fail]
) -> None:
    """Sockets are read between a decision and its being carried out; the task is not open any more by then."""
    around = Around()
    around.ask()
    [out] = around.outs()

    def decide(now: float, events: list[i.Event]) -> list[i.Action]:
        if len(around.events) > 1:
            return []
        around.tasks.answered(out, line)
        return [i.Fail(out.entry.request) if action is i.Fail else i.Refuse(out.entry.request, 0.0)]

    around.driver.scheduler.handle = decide  # type: ignore[method-assign]
    around.driver.schedule_batch()
    around.loop.pass_ms(0.0)
    assert around.events[1:] == [heard_by_client]
