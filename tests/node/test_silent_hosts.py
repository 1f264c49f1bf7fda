"""Hosts that say nothing for a while, and the health checks that find out."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import binary, health, jsonl, service
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import MessageType
from sprucepost.node.tasks import RELEASE_RETENTION_MS
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.virtual import LISTEN, Placer, host_address, run_virtual
from tests.wire.support import wait_for

TASK = "c0255aa5c7e00001"


def test_a_host_that_answers_its_checks_keeps_its_connection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checked again and again on the one connection, however long the host has nothing else to say."""
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


# Guards against a call that is over for 8 s and whose caller is not told, since its host's last words were read late.
@pytest.mark.parametrize("stood_still_ms", [0.0, 150.0, 400.0, 2000.0])
def test_silence_counts_from_when_the_last_words_may_have_been_said(tmp_path: Path, stood_still_ms: float) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        client = placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from sleep(5)
        [carrying] = placer.dialled(host_address(0))
        carrying.up = True
        yield from sleep(5)
        carrying.inbox.append(jsonl.encode(MessageType.READY, TASK, text=jsonl.quoted("x")))
        yield from sleep(1000)
        carrying.inbox.append(jsonl.encode(MessageType.EVENT, TASK, {"note": "cores", "value": "0.5"}))
        died = placer.loop.time  # right after that word, and without a sign
        placer.loop.time += stood_still_ms  # a turn that takes so long: the word lies unread
        yield from sleep(died + RELEASE_RETENTION_MS - placer.loop.time)
        assert [message.kind for message in binary.Decoder().feed(bytes(client.sent))] == [Kind.ANSWER, Kind.RELEASE]

    run_virtual(tmp_path, body)
