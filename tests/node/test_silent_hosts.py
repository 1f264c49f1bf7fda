"""Hosts that send nothing for a while, and their health checks."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import binary, health, jsonl, service
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import MessageType
from sprucepost.node.owner_releases import RELEASE_RETENTION_MS
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.virtual import LISTEN, Placer, host_address, run_virtual
from tests.wire.support import wait_for

TASK = "c0255aa5c7e00001"


def test_a_host_that_answers_its_checks_keeps_its_connection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The host is checked repeatedly on its one connection, however long it sends nothing else."""
    monkeypatch.setattr(health, "SUSPECT_AFTER_MS", 100.0)
    monkeypatch.setattr(health, "CHECK_TIMEOUT_MS", 10_000.0)
    monkeypatch.setattr(service, "TICK_MS", 50.0)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        yield from wait_for(lambda: len(host.lines(MessageType.PROBE)) >= 3)
        assert len(host.links) == 1
        assert platform.standing() == 1 and len(owner.received) == 1

    run_on_platform(tmp_path, body)


# Guards against an owner that gets no release within 8 s of the task's end, since the host's last message was read late.
@pytest.mark.parametrize("blocked_ms", [0.0, 150.0, 400.0, 2000.0])
def test_silence_counts_from_when_the_last_message_may_have_arrived(tmp_path: Path, blocked_ms: float) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        client = placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from sleep(5)
        [sock] = placer.dialled(host_address(0))
        sock.up = True
        yield from sleep(5)
        sock.inbox.append(jsonl.encode(MessageType.READY, TASK, text=jsonl.quoted("x")))
        yield from sleep(1000)
        sock.inbox.append(jsonl.encode(MessageType.EVENT, TASK, {"note": "cores", "value": "0.5"}))
        died = placer.loop.time  # right after that message, without a reset
        placer.loop.time += blocked_ms  # a turn that takes so long: the message stays unread
        yield from sleep(died + RELEASE_RETENTION_MS - placer.loop.time)
        assert [message.kind for message in binary.Decoder().feed(bytes(client.sent))] == [Kind.ANSWER, Kind.RELEASE]

    run_virtual(tmp_path, body)
