"""Hosts that say nothing for a while, and the health checks that find out."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co
from sprucepost.node import health, service
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Word
from tests.node.platform import Day, heard, play, setup
from tests.wire.support import wait_for

TASK = "c0255aa5c7e00001"


def test_a_host_that_answers_its_checks_keeps_its_connection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checked again and again on the one connection, however long the host has nothing else to say."""
    monkeypatch.setattr(health, "SUSPECT_AFTER_MS", 100.0)
    monkeypatch.setattr(health, "CHECK_TIMEOUT_MS", 10_000.0)
    monkeypatch.setattr(service, "TICK_MS", 50.0)

    def body(day: Day) -> Co[None]:
        host = day.host("s-1")
        day.start()
        owner = yield from day.owner()
        owner.transport.write(setup(TASK))
        yield from heard(owner, TASK, Kind.ANSWER)
        yield from wait_for(lambda: len(host.lines(Word.PROBE)) >= 3)
        assert len(host.links) == 1
        assert day.standing() == 1 and len(owner.got) == 1

    play(tmp_path, body)
