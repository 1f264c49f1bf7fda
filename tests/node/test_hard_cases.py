"""Hard cases of a full fleet, each played without a bench: one tick for all, a signal in a long poll, a name again."""

from __future__ import annotations

import json
import os
import signal
from dataclasses import replace
from pathlib import Path

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Word
from tests.cold_fleet import START, Member, worst_window
from tests.node.platform import Day, Paper, answers, heard, play, setup
from tests.node.test_process import SIDS, owner, placer
from tests.support import GONE, entry
from tests.wire.support import wait_for


def returned(number: int, size: int) -> Member:
    """One placer of a fleet that hears in one tick that the cold machines had gone and, late, that they are back."""
    machines = [entry(f"m{n}", started=START + 18_000.0, free_cores=1e6, free_memory=1e6) for n in range(3)]
    gone = i.MachineList(i.ListKind.DELTA, tuple(replace(machine, state=GONE) for machine in machines))
    back = i.MachineList(i.ListKind.DELTA, tuple(machines))
    return Member(number, size, timed_events=[(15_000.0, gone), (20_000.0, back)])


def test_a_zone_back_cold_and_told_late_to_all_in_one_tick_is_not_pushed_over() -> None:
    bears = 6.0
    fleet = [returned(n, 16) for n in range(16)]
    worst, offers = worst_window(fleet, bears, machines=3)
    _, before = worst_window(fleet, bears, machines=3, length=19_900.0)
    assert worst <= bears
    assert offers > before + 50, "once back, the machines are used again"
    alone, _ = worst_window([returned(0, 1) for _ in range(16)], bears, machines=3)
    assert alone > 2 * bears, "sixteen of which each holds itself for the only one do push them over"


def test_sighup_in_the_midst_of_a_long_poll_moves_the_program_to_the_other_bulletin(tmp_path: Path) -> None:
    def body(day: Day) -> Co[None]:
        first, second = day.host("s-1"), day.host("s-2")
        day.paper.tell(first.entry(), everything=True)
        with placer(day) as (pid, address):
            link = yield from owner(day, address)
            link.transport.write(setup(SIDS[0]))
            yield from heard(link, SIDS[0], Kind.ANSWER)
            yield from wait_for(lambda: day.paper._waiting)  # its question is out and has no answer yet
            old, day.paper = day.paper, Paper(day)
            day.paper.items = list(old.items)
            path = tmp_path / "n0" / "config.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "bulletin": day.paper.address}))
            asked = len(old.asked)
            os.kill(pid, signal.SIGHUP)
            yield from wait_for(lambda: day.paper.asked, 5000)
            assert day.paper.asked[0] == 1, "from where it was, not from the start"
            old.tell(first.entry(state="DRAINING"))  # what the old one says no longer counts
            day.paper.tell(second.entry(), first.entry(state="DRAINING"))
            yield from wait_for(lambda: len(day.paper.asked) > 1)
            link.transport.write(setup(SIDS[1]))
            yield from heard(link, SIDS[1], Kind.ANSWER)
            assert second.lines(Word.OPEN) and len(old.asked) == asked
            assert not [m for m in answers(link, SIDS[0]) if m.kind == Kind.RELEASE], "what stood stands"

    play(tmp_path, body)


def test_the_same_name_again_while_half_of_the_hosts_are_replaced(tmp_path: Path) -> None:
    """The next life of a placer knows nothing; tasks of the first stand at hosts that stay, and at hosts that go."""

    def body(day: Day) -> Co[None]:
        hosts = [day.host(f"s-{n}") for n in range(4)]
        day.paper.tell(*(host.entry() for host in hosts), everything=True)
        with placer(day) as (_, address):
            link = yield from owner(day, address)
            for n, sid in enumerate(SIDS[:16]):
                link.transport.write(setup(sid, FIGURES=f"cores:0.1;memory:0.1;service:{n:016x}"))
            yield from wait_for(lambda: all(answers(link, sid) for sid in SIDS[:16]))
        yield from wait_for(lambda: link.ended)  # it was killed, as the fleet's days do
        held = {line.sid: host for host in hosts for line in host.lines(Word.OPEN)}
        assert held.keys() == set(SIDS[:16])
        for host in hosts[:2]:
            host.die()
        newer = [day.host(f"t-{n}", hosts[n].port) for n in range(2)]  # other hosts at the addresses of those gone
        day.paper.tell(*(host.entry(state="DELETED") for host in hosts[:2]), *(host.entry() for host in newer))
        (tmp_path / "n0" / "config.json").unlink()
        (tmp_path / "n0").rmdir()
        with placer(day) as (_, address):
            link = yield from owner(day, address)
            for n, sid in enumerate(SIDS[16:48]):
                link.transport.write(setup(sid, FIGURES=f"cores:0.1;memory:0.1;service:{n:016x}"))
            yield from wait_for(lambda: all(answers(link, sid) for sid in SIDS[16:48]))
            assert all([m.kind for m in answers(link, sid)] == [Kind.ANSWER] for sid in SIDS[16:48])
            yield from sleep(300)
            placed = {line.sid for host in [*newer, *hosts[2:]] for line in host.lines(Word.OPEN)}
            assert placed >= set(SIDS[16:48]) and all(host.lines(Word.OPEN) for host in newer)
            closed = {line.sid for host in hosts[2:] for line in host.lines(Word.CLOSE)}
            assert not closed, "the next life lets nothing go that it does not know"

    play(tmp_path, body)
