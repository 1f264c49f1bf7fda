"""A real placer on loopback with a simulated platform around it."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sprucepost.loop import Co, TimedOut, connect, current, sleep
from sprucepost.node import binary, connection_states, feed, health, hosts, new_tasks, owner_link, service
from sprucepost.node.binary import Code, Kind
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import (
    DESCRIPTION,
    Host,
    Link,
    Platform,
    messages_for,
    run_on_platform,
    settings,
    setup,
    wait_for_message,
)
from tests.wire.support import wait_for

SIDS = [f"9b1f03aa5c7e2d{n:02x}" for n in range(40)]
Body = Callable[[Platform], Co[None]]


def placed(platform: Platform, owner: Link, sid: str, **changes: Any) -> Co[str]:
    """Send a set-up, wait for its answer, and return the answer's description."""
    owner.transport.write(setup(sid, **changes))
    message = yield from wait_for_message(owner, sid, Kind.ANSWER)
    return message.parameters[Code.DESCRIPTION].decode()


def do_nothing(link: Link, line: Line) -> None:
    """Handle a set-up without answering it."""


def test_set_up_answer_notes_release_and_test(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(binary.encode(Kind.TEST, SIDS[0], [(Code.CAUSE, b"\0")]))
        assert (yield from wait_for_message(owner, SIDS[0], Kind.TESTED)).cause == 1
        text = yield from placed(platform, owner, SIDS[1])
        assert text == host.description_for(SIDS[1])
        [line] = host.lines(MessageType.OPEN)
        assert line.text == SIDS[1] + DESCRIPTION
        host.links[0].send(MessageType.EVENT, SIDS[1], {"note": "runs", "value": "1"})
        host.links[0].send(MessageType.CLOSE, SIDS[1].upper(), {"load": "x0:30;x1:60;backlog:0"}, code=16)
        message = yield from wait_for_message(owner, SIDS[1], Kind.RELEASE)
        assert message.cause == 16 and platform.standing() == 0
        yield from placed(platform, owner, SIDS[2])
        owner.transport.write(binary.encode(Kind.RELEASE, SIDS[2], [(Code.CAUSE, b"\x1f")]))
        yield from wait_for(lambda: host.lines(MessageType.CLOSE))
        assert host.lines(MessageType.CLOSE)[0].sid == SIDS[2] and platform.standing() == 0

    run_on_platform(tmp_path, body)


def test_a_refusal_has_a_retry_delay_and_is_sent_promptly(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        host.on_open = lambda link, line: link.send(MessageType.CLOSE, line.sid, {}, code=47)
        platform.start()
        owner = yield from platform.owner()
        began = platform.loop.now()
        owner.transport.write(setup(SIDS[0]))
        message = yield from wait_for_message(owner, SIDS[0], Kind.RELEASE)
        assert message.cause == 34 and int(message.parameters[Code.STAY_AWAY]) >= 0
        assert len(host.lines(MessageType.OPEN)) == 3 and platform.loop.now() - began < 1500

    run_on_platform(tmp_path, body)


def test_a_release_is_received_on_the_next_connection_to_its_host(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        host.links[0].transport.abort()
        yield from wait_for(lambda: len(host.links) == 2, 1000)
        assert platform.standing() == 1 and not platform.service.counters["lost_refused"]
        host.links[1].send(MessageType.CLOSE, SIDS[0], code=16)
        assert (yield from wait_for_message(owner, SIDS[0], Kind.RELEASE)).cause == 16

    run_on_platform(tmp_path, body)


def test_tasks_of_a_dead_host_and_of_one_replaced_at_its_address_are_released(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        first, other = platform.host("s-1"), platform.host("s-2")
        other.on_open = do_nothing
        platform.start(known={"no": 1, "items": [_bulletin_event(1, first.entry())]})
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        first.die()
        assert (yield from wait_for_message(owner, SIDS[0], Kind.RELEASE)).cause == 41
        yield from wait_for(lambda: platform.service.counters["lost_refused"] == 1)

        platform.bulletin.publish(other.entry())
        platform.bulletin.publish(other.entry())  # the placer has event number 1 already
        yield from wait_for(lambda: "s-2" in platform.service.hosts.hosts)
        other.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
        yield from placed(platform, owner, SIDS[1])
        newer = Host(platform, "s-3")
        platform.bulletin.publish(newer.entry(endpoint=other.entry()["endpoint"]))
        assert (yield from wait_for_message(owner, SIDS[1], Kind.RELEASE)).cause == 41
        assert "s-2" not in platform.service.hosts.hosts

    run_on_platform(tmp_path, body)


def test_a_silent_host_is_probed_and_its_tasks_released_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(health, "SUSPECT_AFTER_MS", 100.0)
    monkeypatch.setattr(health, "SILENT_AFTER_MS", 1200.0)
    monkeypatch.setattr(health, "CHECK_TIMEOUT_MS", 300.0)
    monkeypatch.setattr(service, "TICK_MS", 50.0)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        yield from sleep(1800)
        assert platform.standing() == 1 and len(host.lines(MessageType.PROBE)) > 5, (
            "the host is kept while it answers health checks"
        )
        host.answers_probes = False
        began = platform.loop.now()
        assert (yield from wait_for_message(owner, SIDS[0], Kind.RELEASE)).cause == 41
        assert 1000 < platform.loop.now() - began < 1800
        host.answers_probes = True
        connections = len(host.links)
        owner.transport.write(setup(SIDS[1], FIGURES="cores:1;memory:2;service:s;at:s-1"))
        yield from wait_for(lambda: len(host.links) > connections)  # it can be reached again
        yield from sleep(500)
        assert not host.lines(MessageType.CLOSE), "the task may have another placer by now"
        assert len(messages_for(owner, SIDS[0])) == 2

    run_on_platform(tmp_path, body)


def test_a_host_is_not_probed_before_it_has_been_silent_for_long(tmp_path: Path) -> None:
    """Guards against too many health checks.

    Sixteen placers that checked 400 hosts after every 1.5 s of silence made two checks for each task.
    """
    assert health.SILENT_AFTER_MS < 8000
    assert health.SILENT_AFTER_MS - health.SUSPECT_AFTER_MS >= 3 * health.CHECK_TIMEOUT_MS

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        yield from sleep(3500)
        checked = len(host.lines(MessageType.PROBE))
        assert checked <= 1, "one that shows where the second connection leads"
        [known] = platform.service.tasks.processes.at("s-1")
        known.heard_at -= 2000  # it was last heard that long before
        host.links[0].send(MessageType.EVENT, SIDS[0], {"note": "cores", "value": "1"})
        yield from sleep(600)
        assert len(host.lines(MessageType.PROBE)) == checked, "a note shows that the host is alive"
        known.heard_at -= 4500
        yield from wait_for(lambda: len(host.lines(MessageType.PROBE)) > checked, 1000)

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("busy", [False, True])
def test_tasks_of_a_host_that_is_reachable_again_in_time_survive_a_network_failure(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, busy: bool
) -> None:
    """Guards against a reachable host that is found too late, since failed dials are retried less and less often.

    ``busy``: while a set-up was open on the connection that was checked, no other connection was dialled at all.
    """
    monkeypatch.setattr(health, "CHECK_TIMEOUT_MS", 200.0)
    monkeypatch.setattr(health, "SUSPECT_AFTER_MS", 400.0)
    monkeypatch.setattr(health, "SILENT_AFTER_MS", 2600.0)
    monkeypatch.setattr(service, "TICK_MS", 50.0)
    unreachable = [False]

    def connect_or_delay(loop: Any, task: Any, address: Any, limit_ms: float) -> Co[Any]:
        if unreachable[0]:
            yield from sleep(limit_ms)
            raise TimedOut(limit_ms)
        return (yield from connect(loop, task, address, limit_ms))

    monkeypatch.setattr(hosts, "connect", connect_or_delay)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        old = list(host.links)
        unreachable[0], host.answers_probes = True, False
        host.on_open = do_nothing
        if busy:
            owner.transport.write(setup(SIDS[1], CLASS="bill", KEY="k", LEFT="9000"))
        yield from sleep(2000)
        unreachable[0], host.answers_probes = False, True
        yield from wait_for(lambda: len(host.links) > len(old), 500)
        yield from sleep(900)
        assert platform.standing() == 1 and not messages_for(owner, SIDS[0])[1:], "the host was heard in time"
        assert not platform.service.counters["lost_silent"]

    run_on_platform(tmp_path, body)


def test_a_placer_that_was_paused_probes_a_host_before_declaring_it_silent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        platform.service.tasks.processes.at("s-1")[0].heard_at -= 20_000  # nothing was read in this time
        yield from wait_for(lambda: host.lines(MessageType.PROBED) or host.lines(MessageType.PROBE), 1000)
        yield from sleep(1500)
        assert platform.standing() == 1 and not platform.service.counters["lost_silent"]

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize(
    "invalid_data",
    [
        b"\xff\xfenoise\n", b'{"msg":"ready","sid":"' + SIDS[0].encode() + b'","attrs":{},"text":"cut\n',
        b'{"msg":"close","sid":"0","attrs":{},"code":47}\n', b"x" * 70_000, None,
    ],
)  # fmt: skip
def test_an_invalid_answer_ends_only_its_connection(tmp_path: Path, invalid_data: bytes | None) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[1])

        def once(link: Link, line: Line) -> None:
            host.on_open = lambda link, line: link.send(
                MessageType.READY, line.sid, text=host.description_for(line.sid)
            )
            if invalid_data is None:
                link.transport.abort()
            else:
                link.transport.write(invalid_data)

        host.on_open = once
        assert (yield from placed(platform, owner, SIDS[0])) == host.description_for(SIDS[0]), "a safe task is retried"
        assert platform.standing() == 2 and len(host.lines(MessageType.OPEN)) == 3
        assert platform.service.counters["ended_reset"] == 1 and not owner.ended

    run_on_platform(tmp_path, body)


def test_a_late_answer_of_a_first_attempt_does_not_answer_the_second_at_the_same_host(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        links: list[Link] = []

        def answer_late(link: Link, line: Line) -> None:
            links.append(link)
            if len(links) == 2:
                links[0].send(MessageType.READY, line.sid, text="first attempt")
                platform.loop.call_later(30, lambda: link.send(MessageType.READY, line.sid, text="second attempt"))

        host.on_open = answer_late
        platform.start()
        owner = yield from platform.owner()
        assert (yield from placed(platform, owner, SIDS[0])) == "second attempt"
        assert links[0] is not links[1] and [line.code for line in host.lines(MessageType.CLOSE)] == [16]

    run_on_platform(tmp_path, body)


def test_an_attempt_that_still_dials_when_its_host_drains_is_ended_immediately(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow: list[Any] = []

    def connect_or_delay(loop: Any, task: Any, address: Any, limit_ms: float) -> Co[Any]:
        if not slow or slow[0] == address:
            slow[:] = [address]
            yield from sleep(2500)
        return (yield from connect(loop, task, address, limit_ms))

    monkeypatch.setattr(hosts, "connect", connect_or_delay)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1"), platform.host("s-2")
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(SIDS[0], CLASS="bill", KEY="k"))
        yield from wait_for(lambda: slow)
        [first] = [host for host in platform.hosts.values() if host.port == slow[0][1]]
        platform.bulletin.publish(first.entry(state="DRAINING"))
        yield from wait_for_message(owner, SIDS[0], Kind.ANSWER)
        assert platform.service.counters["ended_moot"] == 1 and not first.lines(MessageType.OPEN)

    run_on_platform(tmp_path, body)


def test_an_offer_that_waits_for_a_connection_uses_the_first_free_one(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        half_answers: list[tuple[Link, Line]] = []

        def send_half_answer(link: Link, line: Line) -> None:
            link.transport.write(b'{"msg":"ready",')
            half_answers.append((link, line))

        host.on_open = send_half_answer
        platform.start(limits={"memory_mb": 64, "sockets": 6})  # at most two connections to a host
        owner = yield from platform.owner()
        owner.transport.write(b"".join(setup(sid, FIGURES=f"cores:1;memory:1;service:{sid}") for sid in SIDS[:2]))
        yield from wait_for(lambda: len(half_answers) == 2)
        owner.transport.write(setup(SIDS[2], FIGURES="cores:1;memory:1;service:s"))
        yield from wait_for(lambda: platform.service.tasks.ledger.open == 3)
        host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
        for link, line in half_answers:
            link.transport.write(f'"sid":"{line.sid}","attrs":{{}},"text":"x"}}\n'.encode())
        for sid in SIDS[:3]:
            yield from wait_for_message(owner, sid, Kind.ANSWER)
        assert len(host.links) == 2 and not platform.service.counters["unsent"]

    run_on_platform(tmp_path, body)


def test_a_reported_task_is_not_released_at_its_host(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "TICK_MS", 300.0)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        known = platform.service.hosts.hosts["s-1"]
        known.pending_ends = dict.fromkeys(SIDS[:2], platform.loop.now() + 5000)  # ended by their owner
        owner.transport.write(setup(SIDS[0], FIGURES="cores:1;memory:2;service:s;at:s-1"))
        yield from wait_for(lambda: host.lines(MessageType.CLOSE))
        assert [line.sid for line in host.lines(MessageType.CLOSE)] == [SIDS[1]] and platform.standing() == 1

    run_on_platform(tmp_path, body)


def test_an_incomplete_answer_and_surplus_answers(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")

        def answer_several_times(link: Link, line: Line) -> None:
            link.send(MessageType.READY, "f" * 16, text="unknown task")
            link.send(MessageType.READY, line.sid, text="first")
            link.send(MessageType.READY, line.sid, text="second")

        def answer_in_part(link: Link, line: Line) -> None:
            host.on_open = answer_several_times
            link.transport.write(b'{"msg":"ready","sid":"')

        host.on_open = answer_in_part
        platform.start()
        owner = yield from platform.owner()
        assert (yield from placed(platform, owner, SIDS[0])) == "first"
        yield from sleep(50)
        assert [m.kind for m in messages_for(owner, SIDS[0])] == [Kind.ANSWER] and len(owner.received) == 1
        assert platform.service.counters["late_words"] == 2

    run_on_platform(tmp_path, body)


def test_an_owners_connection_ends_before_its_answer_and_before_its_release(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        host.on_open = do_nothing
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for(lambda: host.lines(MessageType.OPEN))
        owner.transport.close()
        yield from wait_for(lambda: host.lines(MessageType.CLOSE))
        assert host.lines(MessageType.CLOSE)[0].code == 16 and platform.service.tasks.ledger.open == 0

        host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[1])
        yield from placed(platform, owner, SIDS[2])
        owner.transport.close()
        yield from wait_for(lambda: not platform.service.owners.links)
        host.links[-1].send(MessageType.CLOSE, SIDS[1], code=16)
        yield from wait_for(lambda: platform.standing() == 1)
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[3])
        assert (yield from wait_for_message(owner, SIDS[1], Kind.RELEASE)).cause == 16
        # This is not the connection on which its set-up came.
        owner.transport.write(binary.encode(Kind.RELEASE, SIDS[2], [(Code.CAUSE, b"\x10")]))
        yield from wait_for(lambda: platform.standing() == 1)

    run_on_platform(tmp_path, body)


def _bulletin_event(number: int, *entries: dict[str, Any]) -> dict[str, Any]:
    return {"no": number, "roster": {"rev": number, "all": number == 1, "targets": list(entries)}}


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff" + bytes(200), b"\x00\x01", b"\x00\x20half", b"", setup(SIDS[0], CLASS="nobody"), setup("0" * 16),
        setup(SIDS[0]) + setup(SIDS[0], DESCRIPTION="another"), setup(SIDS[0], LEFT="nan"), b"GET / HTTP/1.1\r\n\r\n",
        b"".join(setup(sid) + binary.encode(Kind.RELEASE, sid, [(Code.CAUSE, b"\x10")]) for sid in SIDS),
        binary.encode(Kind.RELEASE, "f" * 16, [(Code.CAUSE, b"\x10")]), b"\x40\x00" + bytes(20_000),
    ],
)  # fmt: skip
def test_misbehaving_owners_are_refused_or_closed_in_time_and_affect_nobody_else(tmp_path: Path, data: bytes) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        regular, misbehaving = (yield from platform.owner()), (yield from platform.owner())
        yield from placed(platform, regular, SIDS[-1], DESCRIPTION="usual")
        misbehaving.transport.write(data)
        yield from wait_for(lambda: misbehaving.ended or misbehaving.received, 2900)
        assert all(message.kind == Kind.RELEASE for message in misbehaving.received)
        assert platform.service.tasks.ledger.open == 0 and len(host.lines(MessageType.OPEN)) == 1
        assert not regular.ended and (yield from placed(platform, regular, SIDS[-2]))

    run_on_platform(tmp_path, body)


def test_tasks_at_an_unlisted_host_are_dropped_and_a_busy_owner_is_not_disconnected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two faults.

    Tasks at a host that no list names were kept indefinitely, and an owner whose reads all end within a message was cut off.
    """
    monkeypatch.setattr(health, "SILENT_AFTER_MS", 900.0)
    monkeypatch.setattr(connection_states, "REACTION_MS", 400.0)
    monkeypatch.setattr(connection_states, "FIRST_REACTION_MS", 700.0)
    monkeypatch.setattr(service, "TICK_MS", 50.0)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        misbehaving = yield from platform.owner()
        misbehaving.transport.write(setup(SIDS[0], FIGURES="cores:1;memory:2;service:s;at:s-none"))
        yield from wait_for(lambda: misbehaving.ended, 1500)
        busy = yield from platform.owner()
        data = b"".join(setup(sid, LEFT="2000") for sid in SIDS[1:12])
        step = len(data) // 11
        for at in range(0, len(data), step):
            busy.transport.write(data[max(0, at - 5) : at + step - 5])
            yield from sleep(100)
        assert not busy.ended and len(busy.received) >= 10
        yield from wait_for(lambda: "s-none" not in platform.service.tasks.placed, 1500)
        assert platform.service.counters["lost_unlisted"] == 1

    run_on_platform(tmp_path, body)


def test_many_silent_connections_leave_descriptors_for_active_owners(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        regular = yield from platform.owner()
        yield from placed(platform, regular, SIDS[0])
        task = yield from current()
        idle = []
        for _ in range(100):
            idle.append((yield from connect(platform.loop, task, platform.service.config.listen, 1000.0)))
        newer = yield from platform.owner()
        yield from placed(platform, newer, SIDS[1])
        assert len(platform.service.owners.links) <= 32 and not regular.ended
        yield from wait_for(lambda: len(platform.service.owners.links) == 2, connection_states.REACTION_MS + 1000)
        for transport in idle:
            transport.abort()

    run_on_platform(tmp_path, body)


def test_an_owner_with_placed_tasks_keeps_a_connection_for_their_releases(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing an idle connection whose task is placed, so that the release finds none (soak, seed 4711)."""
    monkeypatch.setattr(connection_states, "REACTION_MS", 200.0)
    monkeypatch.setattr(service, "TICK_MS", 50.0)
    idle = settings(policy_limits={**settings()["policy_limits"], "keepalive": 400.0})

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=idle, limits={"memory_mb": 64, "sockets": 12})
        links = platform.service.owners.links

        def end_task(sid: str) -> None:
            next(link for link in host.links if not link.ended).send(MessageType.CLOSE, sid, code=16)

        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        yield from sleep(900)
        assert not owner.ended, "idle, but its task is placed"
        task = yield from current()
        for _ in range(12):  # more than there are descriptors for
            yield from connect(platform.loop, task, platform.service.config.listen, 1000.0)
        yield from sleep(100)
        assert not owner.ended and len(links) <= 6, "connections that have sent nothing are closed first"
        yield from wait_for(lambda: len(links) == 1, 1500)
        end_task(SIDS[0])
        yield from wait_for_message(owner, SIDS[0], Kind.RELEASE)
        yield from wait_for(lambda: owner.ended, 1500)  # no task is placed any more, so the idle connection is closed
        assert not platform.service.counters["releases_waiting"]

        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[1])
        yield from placed(platform, owner, SIDS[2])
        owner.transport.abort()  # the connection breaks
        yield from wait_for(lambda: not links)
        end_task(SIDS[1])
        yield from wait_for(lambda: platform.service.counters["releases_waiting"] == 1)
        reconnected = yield from platform.owner()
        reconnected.transport.write(setup(SIDS[3], CLASS="nobody"))  # sends something, but no valid task
        yield from wait_for_message(reconnected, SIDS[1], Kind.RELEASE)
        yield from sleep(900)
        assert not reconnected.ended, "unproven and idle, but the only connection of an owner whose task is placed"
        end_task(SIDS[2])
        yield from wait_for_message(reconnected, SIDS[2], Kind.RELEASE)
        yield from wait_for(lambda: reconnected.ended, 1500)
        assert not platform.service.owners.placed_by_owner

    run_on_platform(tmp_path, body)


def test_a_new_connection_is_turned_away_when_all_others_are_needed(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(limits={"memory_mb": 64, "sockets": 12})
        needed = []
        for sid in SIDS[:6]:
            needed.append((yield from platform.owner()))
            yield from placed(platform, needed[-1], sid, FIGURES=f"cores:1;memory:1;service:{sid}")
        with contextlib.suppress(ConnectionError):  # it may be turned away while it still connects
            new_owner = yield from platform.owner()
            yield from wait_for(lambda: new_owner.ended)
        yield from wait_for(lambda: platform.service.counters["owners_turned_away"])
        assert not any(owner.ended for owner in needed) and platform.service.counters["owners_turned_away"] == 1

    run_on_platform(tmp_path, body)


def test_an_owner_that_does_not_read_is_disconnected_after_the_batch_that_answers_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a disconnect within the batch, which ended the owner's other set-ups before they were decided on."""
    monkeypatch.setattr(owner_link, "MAX_UNREAD_BYTES", 0)

    def body(platform: Platform) -> Co[None]:
        platform.bulletin.publish(everything=True)
        platform.start()
        owner = yield from platform.owner()
        # With so little time left each is refused in the batch in which the scheduler gets it.
        owner.transport.write(b"".join(setup(sid, LEFT="3") for sid in SIDS[: new_tasks.MAX_NEW_TASKS_PER_BATCH]))
        yield from wait_for(lambda: owner.ended)
        assert platform.service.counters["owner_unread"] == 1 and platform.service.tasks.ledger.open == 0
        assert platform.service.counters["refused"] == new_tasks.MAX_NEW_TASKS_PER_BATCH

    run_on_platform(tmp_path, body)


def test_the_bulletin_breaks_off_stays_silent_and_changes_its_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(feed, "LONG_POLL_MS", 200.0)
    monkeypatch.setattr(feed, "ANSWER_GRACE_MS", 100.0)

    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.start()
        seen = platform.service.tasks.closed_hosts
        yield from wait_for(lambda: platform.bulletin.requests)
        platform.bulletin.mode = "breaks"
        platform.bulletin.publish(first.entry(state="DRAINING"))
        yield from wait_for(lambda: platform.bulletin.requests.count(1) > 2)
        assert "s-1" not in seen and platform.service.feed.bulletin.last_number == 1
        platform.bulletin.mode = "answers"
        yield from wait_for(lambda: "s-1" in seen, 1500)
        platform.bulletin.mode = "silent"
        platform.bulletin.publish(first.entry(), second.entry(state="DRAINING"))
        yield from sleep(400)
        platform.bulletin.mode = "answers"
        yield from wait_for(lambda: seen == {"s-2"}, 1500)
        owner = yield from platform.owner()
        for sid in SIDS[:8]:
            yield from placed(platform, owner, sid, FIGURES=f"cores:1;memory:1;service:{sid}")
        assert not second.lines(MessageType.OPEN)

        old, platform.bulletin = platform.bulletin, type(platform.bulletin)(platform)
        platform.bulletin.items = list(old.items)
        environment = platform.service._environment
        good = Path(environment["BALANCER_CONFIG"]).read_text()
        Path(environment["BALANCER_CONFIG"]).write_text(good[:-9])
        platform.service.reload()
        assert platform.service.feed.address == platform.service.config.bulletin
        Path(environment["BALANCER_CONFIG"]).write_text(
            json.dumps({**json.loads(good), "bulletin": platform.bulletin.address})
        )
        platform.service.reload()
        yield from wait_for(lambda: platform.bulletin.requests)
        assert platform.bulletin.requests[0] == 3, "the event numbers continue"
        platform.bulletin.publish(second.entry())
        yield from wait_for(lambda: not seen)
        assert [json.loads(line)["event"] for line in platform.lines].count("reload_refused") == 1

    run_on_platform(tmp_path, body)


def test_a_bulletin_that_answers_at_once_is_polled_slowly_and_a_fault_is_logged_once(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        yield from wait_for(lambda: platform.bulletin.requests)
        platform.bulletin.mode = "hasty"
        platform.bulletin.publish(host.entry(az="attic"))
        yield from sleep(500)
        assert 2 <= len(platform.bulletin.requests) <= 15
        assert [json.loads(line)["event"] for line in platform.lines].count("bulletin_unreadable") == 1

    run_on_platform(tmp_path, body)


def test_a_shutdown_answers_admitted_requests_and_refuses_late_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "SHUTDOWN_ADMIT_MS", 300.0)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        yield from placed(platform, owner, SIDS[0])
        platform.service.begin_shutdown()
        owner.transport.write(binary.encode(Kind.TEST, SIDS[9], [(Code.CAUSE, b"\0")]))
        assert (yield from wait_for_message(owner, SIDS[9], Kind.TESTED)).cause == 0
        yield from placed(platform, owner, SIDS[1])
        second = yield from platform.owner()
        yield from placed(platform, second, SIDS[2])
        slow: list[Link] = []
        host.on_open = lambda link, line: slow.append(link)
        owner.transport.write(setup(SIDS[3]))
        yield from sleep(400)
        assert not platform.service.finished
        owner.transport.write(setup(SIDS[4]))
        assert (yield from wait_for_message(owner, SIDS[4], Kind.RELEASE)).cause == 34
        slow[-1].send(MessageType.READY, SIDS[3], text="late")
        yield from wait_for_message(owner, SIDS[3], Kind.ANSWER)
        yield from wait_for(lambda: platform.service.finished, 1000)
        assert not [line for line in host.lines(MessageType.CLOSE) if line.sid != SIDS[3]], "placed tasks keep running"

    run_on_platform(tmp_path, body)


# Runs the program as `run` does, and prints at exit which modules are loaded and which forbidden calls were made.
AUDITED_RUN = """
import atexit, runpy, sys
refused = []
def watch(event, args):
    if event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system"):
        refused.append(event)
    if event == "socket.__new__" and args[1] != 2:  # AF_INET
        refused.append(f"socket family {args[1]}")
sys.addaudithook(watch)
def report():
    print(sorted({name.split(".")[0] for name in sys.modules}), file=sys.stderr)
    print("refused:", refused, file=sys.stderr)
atexit.register(report)
sys.argv = ["sprucepost", "node"]
runpy.run_module("sprucepost", run_name="__main__")
"""


def test_the_program_loads_little_starts_no_process_reloads_and_exits_with_status_0(tmp_path: Path) -> None:
    """The fleet's environment forbids starting programs, fork, and Unix sockets."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        environment = dict(platform.environment())
        listen = json.loads((tmp_path / "config.json").read_text())["listen"].split(":")
        with subprocess.Popen(
            [sys.executable, "-c", AUDITED_RUN],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        ) as process:
            assert process.stdout is not None and process.stderr is not None
            ready = json.loads(process.stdout.readline())
            assert (ready["event"], ready["pid"]) == ("ready", process.pid)
            task = yield from current()
            transport = yield from connect(platform.loop, task, (listen[0], int(listen[1])), 3000.0)
            owner = Link(transport, binary.Decoder(), lambda link, message: None)
            yield from placed(platform, owner, SIDS[0])
            host.links[0].send(MessageType.CLOSE, SIDS[0], code=16)
            yield from wait_for_message(owner, SIDS[0], Kind.RELEASE)
            process.send_signal(signal.SIGHUP)
            events = (json.loads(line)["event"] for line in process.stdout)
            assert next(event for event in events if event not in ("task", "host", "owner_accepted")) == "reloaded"
            process.send_signal(signal.SIGTERM)
            yield from wait_for(lambda: process.poll() is not None, 10_000)
            assert process.returncode == 0
            loaded, refused = process.stderr.read().splitlines()
        assert "h11" in loaded and refused == "refused: []"
        assert not [name for name in ("google", "h2", "msgspec", "click", "structlog") if f"'{name}'" in loaded]

    run_on_platform(tmp_path, body)


def test_a_placer_that_cannot_start_prints_one_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text("{}")
    for environment in ({}, {"BALANCER_CONFIG": str(tmp_path / "config.json")}):
        done = subprocess.run(
            [sys.executable, "-m", "sprucepost", "node"], env=environment, capture_output=True, text=True, check=False
        )
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and done.stderr.startswith("sprucepost: ")
