"""Connections of owners that bring more at once than is handled in one visit: reading them pauses."""

from __future__ import annotations

from pathlib import Path

from sprucepost.loop import Co, sleep
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from tests.node.platform import setup
from tests.node.virtual import LISTEN, Placer, run_virtual

BURST, LATER = 30, 3  # set-ups at once
SILENCE_MS = 9000.0  # longer than a set-up may wait


# Guards against set-ups that are refused unplaced as too old, since their connection was paused once, seconds before.
def test_a_pause_long_ago_shortens_no_set_up(tmp_path: Path) -> None:
    def served(placer: Placer, duration_ms: float) -> Co[None]:
        ends = placer.loop.time + duration_ms
        while placer.loop.time < ends:
            placer.serve_hosts()
            yield from sleep(5)

    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        sids = [f"c0a55aa5c7e{n:05x}" for n in range(BURST + LATER)]
        client = placer.loop.arrive(LISTEN, "127.0.2.1:1", b"".join(map(setup, sids[:BURST])))
        yield from served(placer, SILENCE_MS)
        assert not client.closed
        client.inbox.append(b"".join(map(setup, sids[BURST:])))
        yield from served(placer, 1000.0)
        answered = [
            message.task for message in binary.Decoder().feed(bytes(client.sent)) if message.kind == Kind.ANSWER
        ]
        assert sorted(answered) == sids

    run_virtual(tmp_path, body)
