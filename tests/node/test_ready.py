"""What a start waits for: nothing that discovery or a host may keep from it. On virtual time, in the order of events."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import binary
from sprucepost.node.binary import Code, Kind
from tests.node.platform import setup
from tests.node.virtual import DISCOVERY, LISTEN, Placer, VirtualSock, known_hosts, run_virtual

SID = "7e57aa5c7e000001"
TEST = binary.encode(Kind.TEST, SID, [(Code.CAUSE, b"\0")])


def passed(sock: VirtualSock) -> bool:
    """Whether the test that was sent on that connection has been passed."""
    return [(m.kind, m.cause) for m in binary.Decoder().feed(bytes(sock.sent))] == [(Kind.TESTED, 1)]


def passes_without_waiting(placer: Placer) -> Co[None]:
    """A test that lies in the backlog is passed before any time has to pass."""
    began = placer.loop.now()
    front = placer.loop.arrive(LISTEN, "127.0.0.9:1", TEST)
    for _ in range(6):  # turns: it is taken, read, answered
        yield from sleep(0)
    assert passed(front) and placer.loop.now() == began


def unanswered(placer: Placer) -> None:
    """Its dial does not come up."""


def silent(placer: Placer) -> None:
    for sock in placer.dialled(DISCOVERY):
        sock.up = True


def refusing(placer: Placer) -> None:
    for sock in placer.dialled(DISCOVERY):
        sock.up, sock.error = True, OSError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))


def whole_list(placer: Placer) -> None:
    """It tells everything anew as soon as it is asked."""
    body = json.dumps(known_hosts(1000) | {"no": 2, "items": [{**known_hosts(1000)["items"][0], "no": 2}]}).encode()
    for sock in placer.dialled(DISCOVERY):
        if sock.sent and not sock.inbox:
            sock.inbox.append(f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
        sock.up = True


def reload(placer: Placer) -> None:
    """SIGHUP names another discovery, which does not answer either."""
    placer.path.write_text(json.dumps({**placer.document, "bulletin": "127.0.0.3:2379"}))
    placer.service.reload()


@pytest.mark.parametrize("hosts", [0, 400, 1000])
@pytest.mark.parametrize("then", [unanswered, silent, refusing, whole_list, reload])
def test_ready_at_once_whatever_discovery_does(tmp_path: Path, hosts: int, then: Callable[[Placer], None]) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from passes_without_waiting(placer)
        for _ in range(200):
            then(placer)
            yield from sleep(50)
            yield from passes_without_waiting(placer)
        seen = placer.service.counters
        assert seen["lists"] > bool(hosts) if then is whole_list else seen["bulletin_failed"] > 2
        assert [line["hosts"] for line in placer.lines if line["event"] == "ready"] == [hosts]
        assert all(address[0] in ("127.0.0.2", "127.0.0.3") for address, _ in placer.loop.dialled), "no host is dialled"

    run_virtual(tmp_path, body, known=known_hosts(hosts))


@pytest.mark.parametrize("bad", [None, "", {"no": 1}, {"no": 1, "items": [{"no": 7}]}])
def test_ready_with_nothing_known(tmp_path: Path, bad: Any) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from passes_without_waiting(placer)
        assert len(placer.dialled(DISCOVERY)) == 1, "discovery is asked at once"

    run_virtual(tmp_path, body, known=bad)


def test_what_is_known_is_placed_on_before_discovery_has_said_anything(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        client = placer.loop.arrive(LISTEN, "127.0.0.9:1", setup(SID))
        for _ in range(20):
            placer.serve_hosts()
            yield from sleep(10)
        assert not any(sock.up for sock in placer.dialled(DISCOVERY))
        kinds = [message.kind for message in binary.Decoder().feed(bytes(client.sent))]
        assert kinds == [Kind.ANSWER, Kind.RELEASE]

    run_virtual(tmp_path, body, known=known_hosts(3))


def test_ready_while_all_known_hosts_keep_their_dials_waiting(tmp_path: Path) -> None:
    """Its peers were killed with it, and their systems answer nothing."""

    def body(placer: Placer) -> Co[None]:
        for n in range(20):
            placer.loop.arrive(LISTEN, f"127.0.0.9:{n}", setup(f"7e57aa5c7e{n + 16:06x}"))
        for _ in range(40):
            yield from sleep(25)
            yield from passes_without_waiting(placer)
        assert any(address != DISCOVERY for address, _ in placer.loop.dialled)

    run_virtual(tmp_path, body, known=known_hosts(400))
