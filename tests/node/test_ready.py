"""A starting placer waits neither for discovery nor for a host. On virtual time."""

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
    """Whether the placer has answered the test on that connection as passed."""
    return [(m.kind, m.cause) for m in binary.Decoder().feed(bytes(sock.sent))] == [(Kind.TESTED, 1)]


def passes_without_waiting(placer: Placer) -> Co[None]:
    """A test from the listener's backlog is passed without virtual time passing."""
    began = placer.loop.now()
    front = placer.loop.arrive(LISTEN, "127.0.0.9:1", TEST)
    for _ in range(6):  # turns: the connection is accepted, read, answered
        yield from sleep(0)
    assert passed(front) and placer.loop.now() == began


def unreachable(placer: Placer) -> None:
    """The dial to discovery does not complete."""


def silent(placer: Placer) -> None:
    for sock in placer.dialled(DISCOVERY):
        sock.up = True


def refusing(placer: Placer) -> None:
    for sock in placer.dialled(DISCOVERY):
        sock.up, sock.error = True, OSError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))


def full_list(placer: Placer) -> None:
    """Discovery answers each request at once with the full list."""
    body = json.dumps(known_hosts(1000) | {"no": 2, "items": [{**known_hosts(1000)["items"][0], "no": 2}]}).encode()
    for sock in placer.dialled(DISCOVERY):
        if sock.sent and not sock.inbox:
            sock.inbox.append(f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
        sock.up = True


def reload(placer: Placer) -> None:
    """SIGHUP switches to another discovery, which does not answer either."""
    placer.path.write_text(json.dumps({**placer.document, "bulletin": "127.0.0.3:2379"}))
    placer.service.reload()


@pytest.mark.parametrize("hosts", [0, 400, 1000])
@pytest.mark.parametrize("discovery", [unreachable, silent, refusing, full_list, reload])
def test_ready_at_once_whatever_discovery_does(tmp_path: Path, hosts: int, discovery: Callable[[Placer], None]) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from passes_without_waiting(placer)
        for _ in range(200):
            discovery(placer)
            yield from sleep(50)
            yield from passes_without_waiting(placer)
        seen = placer.service.counters
        assert seen["lists"] > bool(hosts) if discovery is full_list else seen["bulletin_failed"] > 2
        assert [line["hosts"] for line in placer.lines if line["event"] == "ready"] == [hosts]
        assert all(address[0] in ("127.0.0.2", "127.0.0.3") for address, _ in placer.loop.dialled), "no host is dialled"

    run_virtual(tmp_path, body, known=known_hosts(hosts))


@pytest.mark.parametrize("bad", [None, "", {"no": 1}, {"no": 1, "items": [{"no": 7}]}])
def test_ready_without_known_hosts(tmp_path: Path, bad: Any) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from passes_without_waiting(placer)
        assert len(placer.dialled(DISCOVERY)) == 1, "discovery is polled at once"

    run_virtual(tmp_path, body, known=bad)


def test_tasks_are_placed_on_known_hosts_before_discovery_answers(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        client = placer.loop.arrive(LISTEN, "127.0.0.9:1", setup(SID))
        for _ in range(20):
            placer.serve_hosts()
            yield from sleep(10)
        assert not any(sock.up for sock in placer.dialled(DISCOVERY))
        kinds = [message.kind for message in binary.Decoder().feed(bytes(client.sent))]
        assert kinds == [Kind.ANSWER, Kind.RELEASE]

    run_virtual(tmp_path, body, known=known_hosts(3))


def test_ready_while_all_dials_to_known_hosts_are_pending(tmp_path: Path) -> None:
    """The hosts' machines went down together with the placer and do not answer."""

    def body(placer: Placer) -> Co[None]:
        for n in range(20):
            placer.loop.arrive(LISTEN, f"127.0.0.9:{n}", setup(f"7e57aa5c7e{n + 16:06x}"))
        for _ in range(40):
            yield from sleep(25)
            yield from passes_without_waiting(placer)
        assert any(address != DISCOVERY for address, _ in placer.loop.dialled)

    run_virtual(tmp_path, body, known=known_hosts(400))
