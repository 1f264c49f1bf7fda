"""Edge cases of a full fleet without a benchmark: one tick for all, a signal during a long poll, a reused name."""

from __future__ import annotations

import json
import os
import signal
from dataclasses import replace
from pathlib import Path

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import MessageType
from tests.cold_fleet import START, Member, worst_window
from tests.node.platform import BulletinServer, Platform, messages_for, run_on_platform, setup, wait_for_message
from tests.node.test_process import SIDS, owner, placer
from tests.support import GONE, entry
from tests.wire.support import wait_for


def placer_told_of_return(number: int, size: int) -> Member:
    """Return a placer that is told in one tick that the cold machines had gone and, late, that they are back."""
    machines = [entry(f"m{n}", started=START + 18_000.0, free_cores=1e6, free_memory=1e6) for n in range(3)]
    gone = i.MachineList(i.ListKind.DELTA, tuple(replace(machine, state=GONE) for machine in machines))
    back = i.MachineList(i.ListKind.DELTA, tuple(machines))
    return Member(number, size, timed_events=[(15_000.0, gone), (20_000.0, back)])


def test_a_zone_that_is_back_cold_and_reported_late_to_all_in_one_tick_is_not_overloaded() -> None:
    max_cold_offers = 6.0
    fleet = [placer_told_of_return(n, 16) for n in range(16)]
    worst, offers = worst_window(fleet, max_cold_offers, machines=3)
    _, before = worst_window(fleet, max_cold_offers, machines=3, length=19_900.0)
    assert worst <= max_cold_offers
    assert offers > before + 50, "the machines are used again once they are back"
    alone, _ = worst_window([placer_told_of_return(0, 1) for _ in range(16)], max_cold_offers, machines=3)
    assert alone > 2 * max_cold_offers, "sixteen placers that each act as if they were alone overload the machines"


def test_sighup_during_a_long_poll_moves_the_placer_to_the_other_bulletin(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(first.entry(), everything=True)
        with placer(platform) as (pid, address):
            link = yield from owner(platform, address)
            link.transport.write(setup(SIDS[0]))
            yield from wait_for_message(link, SIDS[0], Kind.ANSWER)
            yield from wait_for(lambda: platform.bulletin._waiting)  # its question is out and has no answer yet
            old, platform.bulletin = platform.bulletin, BulletinServer(platform)
            platform.bulletin.items = list(old.items)
            path = tmp_path / "n0" / "config.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "bulletin": platform.bulletin.address}))
            asked = len(old.requests)
            os.kill(pid, signal.SIGHUP)
            yield from wait_for(lambda: platform.bulletin.requests, 5000)
            assert platform.bulletin.requests[0] == 1, "it continues from the last number, not from the start"
            old.publish(first.entry(state="DRAINING"))  # what the old one says no longer counts
            platform.bulletin.publish(second.entry(), first.entry(state="DRAINING"))
            yield from wait_for(lambda: len(platform.bulletin.requests) > 1)
            link.transport.write(setup(SIDS[1]))
            yield from wait_for_message(link, SIDS[1], Kind.ANSWER)
            assert second.lines(MessageType.OPEN) and len(old.requests) == asked
            assert not [m for m in messages_for(link, SIDS[0]) if m.kind == Kind.RELEASE], "placed tasks stay placed"

    run_on_platform(tmp_path, body)


def test_a_placer_restarts_under_its_name_while_half_of_the_hosts_are_replaced(tmp_path: Path) -> None:
    """The next incarnation of a placer knows nothing; tasks of the first run at hosts that stay and at hosts that go."""

    def body(platform: Platform) -> Co[None]:
        hosts = [platform.host(f"s-{n}") for n in range(4)]
        platform.bulletin.publish(*(host.entry() for host in hosts), everything=True)
        with placer(platform) as (_, address):
            link = yield from owner(platform, address)
            for n, sid in enumerate(SIDS[:16]):
                link.transport.write(setup(sid, FIGURES=f"cores:0.1;memory:0.1;service:{n:016x}"))
            yield from wait_for(lambda: all(messages_for(link, sid) for sid in SIDS[:16]))
        yield from wait_for(lambda: link.ended)  # it was killed, as the fleet's days do
        placed_at = {line.sid: host for host in hosts for line in host.lines(MessageType.OPEN)}
        assert placed_at.keys() == set(SIDS[:16])
        for host in hosts[:2]:
            host.die()
        # Other hosts at the addresses of those that have gone.
        replacements = [platform.host(f"t-{n}", hosts[n].port) for n in range(2)]
        platform.bulletin.publish(
            *(host.entry(state="DELETED") for host in hosts[:2]), *(host.entry() for host in replacements)
        )
        (tmp_path / "n0" / "config.json").unlink()
        (tmp_path / "n0").rmdir()
        with placer(platform) as (_, address):
            link = yield from owner(platform, address)
            for n, sid in enumerate(SIDS[16:48]):
                link.transport.write(setup(sid, FIGURES=f"cores:0.1;memory:0.1;service:{n:016x}"))
            yield from wait_for(lambda: all(messages_for(link, sid) for sid in SIDS[16:48]))
            assert all([m.kind for m in messages_for(link, sid)] == [Kind.ANSWER] for sid in SIDS[16:48])
            yield from sleep(300)
            placed = {line.sid for host in [*replacements, *hosts[2:]] for line in host.lines(MessageType.OPEN)}
            assert placed >= set(SIDS[16:48]) and all(host.lines(MessageType.OPEN) for host in replacements)
            closed = {line.sid for host in hosts[2:] for line in host.lines(MessageType.CLOSE)}
            assert not closed, "the next incarnation ends no task that it does not know"

    run_on_platform(tmp_path, body)
