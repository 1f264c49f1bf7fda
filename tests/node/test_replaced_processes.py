"""An address changes hands: what belongs to the process that has gone is released, and what the next one runs stands."""

from __future__ import annotations

import itertools
from pathlib import Path

from sprucepost.loop import Co
from sprucepost.node.binary import Kind
from tests.node.plays import (
    END_DUE_MS,
    RELEASE_DUE_MS,
    TASKS,
    Play,
    PlayFailure,
    Variant,
    failures,
    sids,
    start,
    tasks_of,
)
from tests.node.virtual import host_address
from tests.node.virtual_platform import OwnerConnection, Process, VirtualPlatform

LIST_DELAY_MS = 1000.0  # from a start to its entry in the list


def replace(platform: VirtualPlatform, process: Process, variant: Variant, uid: str = "") -> Co[list[Process]]:
    """End a process and start others at its address, one after another; the last one lives."""
    processes = [process]
    for number in range(variant.replacements):
        platform.kill(processes[-1])
        yield from platform.run(30.0)
        processes.append(platform.start_process(uid or f"s-{8 + number}"))
        yield from platform.run(100.0)
    platform.be_late(variant.late_ms)
    return processes


def tell_of(platform: VirtualPlatform, processes: list[Process]) -> None:
    """Have the list tell of each replacement."""
    for old, new in itertools.pairwise(processes):
        platform.tell(old.entry(state="DELETED"), new.entry())


def check_released(owners: list[OwnerConnection], tasks: list[str], since: float) -> None:
    """Check that each owner has been told of the end of its tasks, once and in time."""
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            times = [at for at, task, kind, _ in owner.told if task == sid and kind == Kind.RELEASE]
            if len(times) != 1 or times[0] > since + END_DUE_MS:
                raise PlayFailure(f"{sid} ended at {since:.0f} and was released at {times}")


def hand_over(platform: VirtualPlatform, owners: list[OwnerConnection], tasks: list[str], at: str) -> None:
    for owner in owners:
        owner.submit(*tasks_of(owner, tasks), at=at)


def run_all(platform: VirtualPlatform, process: Process, owners: list[OwnerConnection], tasks: list[str]) -> None:
    """Have the owners' tasks stand at a process, set up before the placers were started."""
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            platform.run_task(process, sid)


def check_standing(process: Process, owners: list[OwnerConnection], tasks: list[str]) -> None:
    """Check that the owners' tasks stand at the process and that nobody has been told of an end."""
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            if sid not in process.standing or Kind.RELEASE in owner.kinds(sid):
                raise PlayFailure(f"{sid} stands: {sid in process.standing}, its owner was sent {owner.kinds(sid)}")


def check_ends_are_told(
    platform: VirtualPlatform, process: Process, owners: list[OwnerConnection], tasks: list[str]
) -> Co[None]:
    """End the tasks at their process and check that the owners are told within a second."""
    began = platform.loop.time
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            platform.end_task(process, sid)
    yield from platform.run(RELEASE_DUE_MS)
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            if owner.kinds(sid).count(Kind.RELEASE) != 1:
                raise PlayFailure(f"{sid} ended at {began:.0f}; its owner was sent {owner.kinds(sid)}")


# Answers that are read after their process has gone


def read_late(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """A process answers and dies, and another one starts, while the placers do not run."""
    old, owners = start(platform, variant)
    yield from platform.run(100.0)
    tasks = sids(0)
    for owner in owners:
        owner.submit(*tasks_of(owner, tasks))
    while len(old.answers_due) < TASKS * len(owners):
        yield from platform.run(5.0)
    platform.be_late(40.0)
    if len(old.standing) < TASKS * len(owners):
        raise PlayFailure("the process has not answered")
    processes, died = [old], platform.loop.time
    for number in range(variant.replacements):
        platform.kill(processes[-1])
        platform.be_late(50.0)
        processes.append(platform.start_process(f"s-{8 + number}"))
    platform.be_late(100.0 + variant.late_ms)
    yield from platform.run(LIST_DELAY_MS)
    tell_of(platform, processes)
    yield from platform.run(9000.0)
    check_released(owners, tasks, died)


# Tasks that are handed over at a host whose process has gone


def hand_over_before_list(how: str) -> Play:
    """Tasks are handed over at a host whose address has changed hands, before the list tells of it."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        old, owners = start(platform, variant)
        tasks = sids(0)
        run_all(platform, old, owners, tasks)
        yield from platform.run(100.0)
        processes = yield from replace(platform, old, variant, uid="s-0" if how == "restarted" else "")
        yield from platform.run(300.0)
        hand_over(platform, owners, tasks, at="s-0")
        handed_over_at = platform.loop.time
        yield from platform.run(LIST_DELAY_MS)
        if how == "restarted" or how == "new id alone":
            for new in processes[1:]:
                platform.tell(new.entry())
        elif how == "old id first":
            platform.tell(old.entry(state="DELETED"))
            yield from platform.run(400.0)
            for new in processes[1:]:
                platform.tell(new.entry())
        else:
            tell_of(platform, processes)
        yield from platform.run(9000.0)
        check_released(owners, tasks, handed_over_at + 200.0)

    return play


def start_between(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """The placers start with a list that has the process that has gone; owners hand over before the list tells."""
    old = platform.start_process("s-0")
    platform.publish(old.entry(boot_ms=0), everything=True)
    processes = yield from replace(platform, old, variant)
    for _ in range(variant.placers):
        platform.start_placer()
    yield from platform.run(50.0)
    owners = [platform.connect(placer) for placer in platform.placers]
    tasks = sids(0)
    hand_over(platform, owners, tasks, at="s-0")
    handed_over_at = platform.loop.time
    yield from platform.run(800.0)
    platform.be_late(variant.late_ms)
    tell_of(platform, processes)
    yield from platform.run(9000.0)
    check_released(owners, tasks, handed_over_at + 200.0)


def hand_over_before_first_listing(how: str) -> Play:
    """Tasks are handed over at a host that no list has yet, whose process dies before the list has the host."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        _, owners = start(platform, variant)
        new, tasks = platform.start_process("s-7", host_address(1)), sids(0)
        run_all(platform, new, owners, tasks)
        hand_over(platform, owners, tasks, at=new.uid)
        handed_over_at = platform.loop.time
        yield from platform.run(20.0)
        for _ in range(variant.replacements):
            platform.kill(new, how)
            yield from platform.run(300.0)
            if how == "reset":
                new = platform.start_process("s-7", host_address(1))
        platform.be_late(variant.late_ms)
        yield from platform.run(LIST_DELAY_MS - variant.late_ms)
        platform.tell(new.entry())
        yield from platform.run(9000.0)
        check_released(owners, tasks, handed_over_at + 200.0)

    return play


def end_before_hand_over(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """A new process reports ends before the list has it; their owners hand over a moment after the list has told."""
    old, owners = start(platform, variant)
    yield from platform.run(100.0)
    processes = yield from replace(platform, old, variant)
    new, tasks, others = processes[-1], sids(0), sids(100)
    for owner in owners:
        owner.submit(*tasks_of(owner, others))  # brings a connection
    yield from platform.run(300.0)
    run_all(platform, new, owners, tasks)
    yield from platform.run(300.0)
    ended_at = platform.loop.time
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            platform.end_task(new, sid)
    yield from platform.run(100.0)
    tell_of(platform, processes)
    platform.be_late(variant.late_ms)
    hand_over(platform, owners, tasks, at=new.uid)
    yield from platform.run(9000.0)
    check_released(owners, tasks, ended_at)


# Guards against owners that are never told of the end of their tasks, since a new process at the address of the one that
# ran them was taken for it: by the time at which an answer was read, or at which the tasks were handed over.
def test_what_stood_at_a_process_that_has_gone_is_released(tmp_path: Path) -> None:
    plays: dict[str, Play] = {"read late": read_late, "started between": start_between}
    for how in ("both listed", "new id alone", "old id first", "restarted"):
        plays[f"handed over, {how}"] = hand_over_before_list(how)
    for how in ("reset", "silence"):
        plays[f"handed over before the first listing, {how}"] = hand_over_before_first_listing(how)
    plays["ended before the hand-over"] = end_before_hand_over
    assert failures(tmp_path, plays) == []


# Entries of an old id that come late


def late_entry(state: str) -> Play:
    """An entry of the id that had the address before comes once more, and then its end."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        old, owners = start(platform, variant)
        yield from platform.run(100.0)
        processes = yield from replace(platform, old, variant)
        platform.tell(processes[-1].entry(), *(each.entry(state="DELETED", boot_ms=0) for each in processes[1:-1]))
        tasks = sids(0)
        for owner in owners:
            owner.submit(*tasks_of(owner, tasks))
        yield from platform.run(300.0)
        new = processes[-1]
        check_standing(new, owners, tasks)
        platform.be_late(variant.late_ms)
        platform.tell(old.entry(state=state, boot_ms=0))
        yield from platform.run(500.0)
        check_standing(new, owners, tasks)
        platform.tell(old.entry(state="DELETED"))
        yield from platform.run(500.0)
        check_standing(new, owners, tasks)
        yield from check_ends_are_told(platform, new, owners, tasks)
        more = sids(100)
        for owner in owners:
            owner.submit(*tasks_of(owner, more))
        yield from platform.run(500.0)
        check_standing(new, owners, more)

    return play


# Guards against owners that are told of the end of running tasks, and against a process to which nothing connects any more,
# since an old id that is listed late takes back its address.
def test_a_late_entry_of_an_old_id_changes_that_id_only(tmp_path: Path) -> None:
    plays = {state: late_entry(state) for state in ("SERVING", "DRAINING")}
    assert failures(tmp_path, plays) == []


# Hand-overs that contradict what is known


def hand_over_under_new_id(when: str) -> Play:
    """A new process accepts tasks before the list tells of it; their owners hand them over at its id."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        old, owners = start(platform, variant)
        yield from platform.run(100.0)
        processes = yield from replace(platform, old, variant)
        new, tasks = processes[-1], sids(0)
        for owner in owners:
            owner.submit(*tasks_of(owner, tasks))
        yield from platform.run(300.0)
        check_standing(new, owners, tasks)
        if when == "after the list has told":
            tell_of(platform, processes)
        others = [platform.connect(placer) for placer in platform.placers]
        open_tasks = sids(200, 1)
        new.accept_ms = 100.0  # a set-up stays open on the connection that hands over
        for other in others:
            other.submit(*tasks_of(other, open_tasks))
        hand_over(platform, others, tasks, at=new.uid)
        yield from platform.run(50.0)
        platform.be_late(variant.late_ms)
        yield from platform.run(500.0)
        if any(other.sock.ended for other in others):
            raise PlayFailure("the connection that handed over has been ended")
        check_standing(new, others, open_tasks)
        if when == "before the list tells":
            tell_of(platform, processes)
        yield from platform.run(2000.0)
        for owner in owners:
            owner.sock.inbox.append(b"")
        yield from platform.run(100.0)
        check_standing(new, owners, tasks)
        yield from check_ends_are_told(platform, new, others, tasks)

    return play


# Guards against an owner's connection that is ended with all that is open on it, since the owner knows better than the list
# which process runs its task.
def test_a_hand_over_that_contradicts_what_is_known_ends_no_connection(tmp_path: Path) -> None:
    plays = {when: hand_over_under_new_id(when) for when in ("before the list tells", "after the list has told")}
    assert failures(tmp_path, plays) == []


def hand_over_before_host_is_listed(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """A process at another address has tasks, and their owners hand them over before the list has it."""
    old, owners = start(platform, variant)
    new, tasks = platform.start_process("s-7", host_address(1)), sids(0)
    run_all(platform, new, owners, tasks)
    yield from replace(platform, old, variant)
    hand_over(platform, owners, tasks, at=new.uid)
    yield from platform.run(LIST_DELAY_MS)
    platform.be_late(variant.late_ms)
    platform.tell(new.entry())
    yield from platform.run(9000.0)
    if any(owner.sock.ended for owner in owners):
        raise PlayFailure("the connection that handed over has been ended")
    check_standing(new, owners, tasks)
    yield from check_ends_are_told(platform, new, owners, tasks)


# Guards against an owner's connection that is ended although a task stands which it has handed over: nothing is left to tell
# the end on.
def test_the_connection_of_a_hand_over_at_a_host_that_is_listed_later_is_kept(tmp_path: Path) -> None:
    assert failures(tmp_path, {"handed over, not listed": hand_over_before_host_is_listed}) == []


def set_up_while_listed(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """Set-ups are open at a new process when the list tells of it."""
    old, owners = start(platform, variant)
    yield from platform.run(100.0)
    processes = yield from replace(platform, old, variant)
    new, tasks = processes[-1], sids(0)
    new.accept_ms = 100.0
    for owner in owners:
        owner.submit(*tasks_of(owner, tasks))
    while len(new.answers_due) < TASKS * len(owners):
        yield from platform.run(5.0)
    tell_of(platform, processes)
    yield from platform.run(1000.0)
    check_standing(new, owners, tasks)
    again = {sid: number for sid, number in platform.offers.items() if number > 1}
    if again:
        raise PlayFailure(f"set up more than once: {again}")
    yield from check_ends_are_told(platform, new, owners, tasks)


# Guards against set-ups that are made twice, since their connections are reset when the list tells of the process to which
# they lead.
def test_set_ups_at_a_new_process_go_on_when_it_is_listed(tmp_path: Path) -> None:
    assert failures(tmp_path, {"set up while listed": set_up_while_listed}) == []
