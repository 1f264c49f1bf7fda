"""Messages that must take effect at a peer whose connection ends: releases, ends of tasks and answers."""

from __future__ import annotations

from pathlib import Path

from sprucepost.loop import Co
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from tests.node.plays import (
    DELIVERY_VARIANTS,
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
from tests.node.virtual_platform import STEP_MS, OwnerConnection, Process, VirtualPlatform, run_on_virtual_platform

WATCHED_MS = 9500.0
SETTLE_MS = 500.0  # after which nothing is on its way, also where placers have a third of a core


def submit_all(platform: VirtualPlatform, owners: list[OwnerConnection], tasks: list[str]) -> Co[None]:
    """Have each owner set up its tasks, and wait until they stand."""
    for owner in owners:
        owner.submit(*tasks_of(owner, tasks))
    yield from platform.run(SETTLE_MS)


def connect_others(platform: VirtualPlatform, uses: str, process: Process, first: int) -> Co[list[OwnerConnection]]:
    """Connect to each placer from the owners' address; each connection has had a task, or has only sent a test."""
    others = [platform.connect(placer) for placer in platform.placers]
    if uses == "tests":
        for other in others:
            other.sock.inbox.append(binary.encode(Kind.TEST, "0" * 16, []))
        yield from platform.run(SETTLE_MS)
        return others
    tasks = sids(first, 1)
    yield from submit_all(platform, others, tasks)
    end_all(platform, process, others, tasks)
    yield from platform.run(SETTLE_MS)
    return others


def end_all(platform: VirtualPlatform, process: Process, owners: list[OwnerConnection], tasks: list[str]) -> float:
    """End the owners' tasks at their process; return when that was."""
    for owner in owners:
        for sid in tasks_of(owner, tasks):
            platform.end_task(process, sid)
    return platform.loop.time


def check_told(clients: list[list[OwnerConnection]], tasks: list[str], due: float) -> None:
    """Check that each client, with all its connections, has been told of the end of its tasks, once on each at the most."""
    for connections in clients:
        for sid in tasks_of(connections[0], tasks):
            found = [
                [at for at, task, kind, _ in each.told if task == sid and kind == Kind.RELEASE] for each in connections
            ]
            times = sorted(at for each in found for at in each)
            if not times or times[0] > due or max(map(len, found)) > 1:
                raise PlayFailure(f"{sid} was due by {due:.0f} and released at {found}")


# A stranger at the owner's address


def stranger(how: str, uses: str, returns_after_ms: float) -> Play:
    """An owner's connection ends while its tasks stand; another client has one from its address. The owner comes again
    some time after the end of the tasks."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        process, owners = start(platform, variant)
        tasks = sids(0)
        yield from submit_all(platform, owners, tasks)
        yield from connect_others(platform, uses, process, first=100)
        for owner in owners:
            owner.close(how)
        yield from platform.run(50.0)
        ended_at = end_all(platform, process, owners, tasks)
        platform.be_late(variant.late_ms)
        yield from platform.run(returns_after_ms)
        again = [platform.connect(placer) for placer in platform.placers]
        yield from submit_all(platform, again, sids(200, 1))
        yield from platform.run(WATCHED_MS)
        check_told([[owner] for owner in again], tasks, ended_at + END_DUE_MS)

    return play


def stranger_beside_second_connection(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """As before, but the owner has a second connection, which was used before that of the stranger."""
    process, owners = start(platform, variant)
    tasks = sids(0)
    yield from submit_all(platform, owners, tasks)
    second = yield from connect_others(platform, "has had a task", process, first=300)
    yield from connect_others(platform, "has had a task", process, first=100)
    for owner in owners:
        owner.close()
    yield from platform.run(50.0)
    ended_at = end_all(platform, process, owners, tasks)
    platform.be_late(variant.late_ms)
    yield from platform.run(WATCHED_MS)
    check_told([[owner] for owner in second], tasks, ended_at + RELEASE_DUE_MS)


def returns_with_hand_overs(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """The owner comes again and hands the tasks over, of whose end it has not heard."""
    process, owners = start(platform, variant)
    tasks = sids(0)
    yield from submit_all(platform, owners, tasks)
    yield from connect_others(platform, "has had a task", process, first=100)
    for owner in owners:
        owner.close()
    yield from platform.run(50.0)
    end_all(platform, process, owners, tasks)
    platform.be_late(variant.late_ms)
    yield from platform.run(200.0)
    again, came_at = [platform.connect(placer) for placer in platform.placers], platform.loop.time
    for owner in again:
        owner.submit(*tasks_of(owner, tasks), at=process.uid)
    yield from platform.run(WATCHED_MS)
    check_told([[owner] for owner in again], tasks, came_at + 200.0 + variant.late_ms)


def beside_many(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """As with a second connection, but thousands of another client's tasks end at that time whose connection has ended."""
    process, owners = start(platform, variant)
    tasks = sids(0)
    yield from submit_all(platform, owners, tasks)
    second = yield from connect_others(platform, "has had a task", process, first=300)
    for number in range(8):
        yield from connect_others(platform, "has had a task", process, first=400 + number)
    others = [platform.connect(placer) for placer in platform.placers]
    many = sids(0x1000, 2000)
    for other in others:
        for sid in tasks_of(other, many):
            platform.run_task(process, sid)
        other.submit(*tasks_of(other, many), at=process.uid)
    yield from platform.run(SETTLE_MS)
    for each in (*others, *owners):
        each.close()
    yield from platform.run(50.0)
    ended_at = end_all(platform, process, [*others], many)
    end_all(platform, process, owners, tasks)
    yield from platform.run(2 * RELEASE_DUE_MS)
    check_told([[owner] for owner in second], tasks, ended_at + RELEASE_DUE_MS)


def end_while_stopping(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """As before, but the placers are about to end when the tasks do: nobody can confirm in time."""
    process, owners = start(platform, variant)
    tasks = sids(0)
    yield from submit_all(platform, owners, tasks)
    second = yield from connect_others(platform, "has had a task", process, first=300)
    yield from connect_others(platform, "has had a task", process, first=100)
    for owner in owners:
        owner.close()
    for placer in platform.placers:
        placer.service.begin_shutdown()
    while not all(placer.service.owners.refuses_set_ups for placer in platform.placers):
        yield from platform.run(STEP_MS)
    yield from platform.run(200.0)  # of the 250 ms that are left
    ended_at = end_all(platform, process, owners, tasks)
    yield from platform.run(RELEASE_DUE_MS)
    check_told([[owner] for owner in second], tasks, ended_at + RELEASE_DUE_MS)


# Guards against an owner that is never told of its tasks' end, since another client at its address was taken for it.
def test_a_release_reaches_its_owner_beside_other_clients_at_its_address(tmp_path: Path) -> None:
    plays = {
        f"{how}, the other {uses}, returns after {returns_after_ms:.0f}": stranger(how, uses, returns_after_ms)
        for how in ("close", "reset")
        for uses in ("has had a task", "tests")
        for returns_after_ms in (200.0, 1900.0)
    }
    plays["has a second connection"] = stranger_beside_second_connection
    plays["hands the tasks over"] = returns_with_hand_overs
    assert failures(tmp_path, plays, DELIVERY_VARIANTS) == []
    assert failures(tmp_path, {"has one when the placer ends": end_while_stopping}) == []
    assert failures(tmp_path, {"has one beside thousands of ends": beside_many}, DELIVERY_VARIANTS[:1]) == []


# Guards against a client that gets no reaction, since releases of another client's tasks count as one.
def test_releases_that_may_be_another_clients_are_no_reaction(tmp_path: Path) -> None:
    def body(platform: VirtualPlatform) -> Co[None]:
        process, [owner] = start(platform, Variant())
        tasks = sids(0, 20)
        for sid in tasks:
            platform.run_task(process, sid)
        owner.submit(*tasks, at=process.uid)
        yield from platform.run(100.0)
        owner.close()
        other = platform.connect(platform.placers[0])
        other.end_tasks("c0655aa5c7effff0")  # is not known
        for sid in tasks:
            yield from platform.run(150.0)
            platform.end_task(process, sid)
        assert other.told and other.sock.ended

    run_on_virtual_platform(tmp_path, body)


# Guards against a placer that is busy with the releases of a client which misuses it, each time that the client comes again.
def test_releases_of_a_client_that_misuses_the_placer_are_sent_once(tmp_path: Path) -> None:
    def body(platform: VirtualPlatform) -> Co[None]:
        process, [client] = start(platform, Variant())
        tasks = sids(0, 50)
        for sid in tasks:
            platform.run_task(process, sid)
        connections = [client]
        client.submit(*tasks, at=process.uid)
        yield from platform.run(100.0)
        for number in range(4):
            connections[-1].sock.inbox.append(b"\x00\x01\x07")  # no message has that length
            yield from platform.run(20.0)
            for sid in list(process.standing) if not number else []:
                platform.end_task(process, sid)
            connections.append(platform.connect(platform.placers[0]))
            connections[-1].submit(*sids(0x100 + number, 1))
            yield from platform.run(20.0)
        yield from platform.run(500.0)
        assert [sum(each.kinds(sid).count(Kind.RELEASE) for each in connections) for sid in tasks] == [1] * len(tasks)

    run_on_virtual_platform(tmp_path, body)


# Guards against an owner that is never told, since its connection was ended for its input before it had read the release.
def test_a_release_in_doubt_on_a_connection_that_is_ended_for_its_input_is_sent_again(tmp_path: Path) -> None:
    def body(platform: VirtualPlatform) -> Co[None]:
        process, [owner] = start(platform, Variant())
        tasks = tasks_of(owner, sids(0))
        yield from submit_all(platform, [owner], sids(0))
        for sid in tasks:
            platform.end_task(process, sid)
        yield from platform.run(STEP_MS)
        owner.closed = True  # it reads nothing more
        owner.sock.inbox.append(b"\x00\x01\x07")  # no message has that length
        yield from platform.run(100.0)
        again = platform.connect(platform.placers[0])
        again.submit(*sids(200, 1))
        yield from platform.run(SETTLE_MS)
        assert [again.kinds(sid) for sid in tasks] == [[Kind.RELEASE]] * len(tasks)

    run_on_virtual_platform(tmp_path, body)


# A release that crosses the end of its connection


def crossed_release(how: str, second: str, closes_after_ms: float) -> Play:
    """Hosts release tasks; their owners end their connections before the placers read either, or a moment after the placers
    have sent the releases, which they have not read."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        process, owners = start(platform, variant)
        tasks = sids(0)
        yield from submit_all(platform, owners, tasks)
        others: list[OwnerConnection] = []
        if second == "is there":
            others = yield from connect_others(platform, "has had a task", process, first=100)
        ended_at = end_all(platform, process, owners, tasks)
        yield from platform.run(closes_after_ms)
        for owner in owners:
            owner.close(how)
        platform.be_late(variant.late_ms)
        yield from platform.run(SETTLE_MS)
        if second == "comes later":
            others = [platform.connect(placer) for placer in platform.placers]
            yield from submit_all(platform, others, sids(200, 1))
        yield from platform.run(WATCHED_MS)
        due = ended_at + (RELEASE_DUE_MS if second == "is there" else END_DUE_MS)
        check_told([[owner] for owner in others], tasks, due)

    return play


# Guards against an owner that is never told of its tasks' end, since the release was written to a connection that the owner
# had closed by then.
def test_a_release_that_crosses_the_end_of_its_connection_reaches_its_owner(tmp_path: Path) -> None:
    plays = {
        f"{how} after {after_ms:.0f}, another connection {second}": crossed_release(how, second, after_ms)
        for how in ("close", "reset")
        for after_ms in (0.0, STEP_MS)
        for second in ("is there", "comes later")
    }
    assert failures(tmp_path, plays, DELIVERY_VARIANTS) == []


# An owner's end of a task that crosses the end of the host's connections


def crossed_end(how: str, closes_after_ms: float) -> Play:
    """Owners end standing tasks; the host ends its connections before the placers read either, or a moment after the placers
    have told it, which it has not read."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        process, owners = start(platform, variant)
        tasks = sids(0)
        yield from submit_all(platform, owners, tasks)
        for owner in owners:
            owner.end_tasks(*tasks_of(owner, tasks))
        yield from platform.run(closes_after_ms)
        platform.end_connections(process, how)
        platform.be_late(variant.late_ms)
        yield from platform.run(WATCHED_MS)
        if process.standing:
            raise PlayFailure(f"{len(process.standing)} of {TASKS * len(owners)} tasks run on")

    return play


# Guards against tasks that run on after their owners have ended them, since their host has closed the connection on which it
# was to be told.
def test_a_task_ends_whose_owner_ends_it_while_its_host_ends_connections(tmp_path: Path) -> None:
    plays = {
        f"{how} after {after_ms:.0f}": crossed_end(how, after_ms)
        for how in ("close", "reset")
        for after_ms in (0.0, STEP_MS)
    }
    assert failures(tmp_path, plays, DELIVERY_VARIANTS) == []


# Answers that nobody can have read


def unread_answer(how: str) -> Play:
    """Hosts answer and owners end their connections before the placers read either."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        process, owners = start(platform, variant)
        tasks = sids(0)
        process.accept_ms = 200.0
        for owner in owners:
            owner.submit(*tasks_of(owner, tasks))
        while len(process.answers_due) < TASKS * len(owners):
            yield from platform.run(5.0)
        while process.answers_due:
            platform.be_late(5.0)
        for owner in owners:
            owner.close(how)
        platform.be_late(variant.late_ms)
        yield from platform.run(WATCHED_MS)
        if process.standing:
            raise PlayFailure(f"{len(process.standing)} of {TASKS * len(owners)} tasks run, and nobody knows of them")

    return play


# Guards against tasks that run and belong to nobody, since their answers were written to connections that had ended.
def test_a_task_whose_answer_nobody_can_have_read_is_ended(tmp_path: Path) -> None:
    plays: dict[str, Play] = {how: unread_answer(how) for how in ("close", "reset")}
    assert failures(tmp_path, plays, DELIVERY_VARIANTS) == []
