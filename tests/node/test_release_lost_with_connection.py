"""A host's release is lost with a broken connection while another connection to that host is open."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import Host, Link, Platform, run_on_platform, setup, wait_for_message
from tests.wire.support import wait_for

TASKS = ("c0455aa5c7e00001", "c0455aa5c7e00002")


def two_connections(platform: Platform, host: Host) -> Co[Link]:
    """Start the placer and have it use two connections to the host, each with a placed task; return the owner's link."""
    host.on_open = lambda link, line: _answer_later(platform, link, line)
    platform.start()
    owner = yield from platform.owner()
    for sid in TASKS:
        owner.transport.write(setup(sid))
    for sid in TASKS:
        yield from wait_for_message(owner, sid, Kind.ANSWER)
    yield from wait_for(lambda: len(host.links) == 2)
    return owner


def _answer_later(platform: Platform, link: Link, line: Line) -> None:
    platform.loop.call_later(30.0, lambda: link.send(MessageType.READY, line.sid, text="x"))


# Guards against a client that is never told of its task's end: the host repeats the release on a new connection only.
@pytest.mark.parametrize("how", ["reset", "malformed"])
def test_a_release_lost_with_a_connection_arrives_on_a_new_one(tmp_path: Path, how: str) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        owner = yield from two_connections(platform, host)
        broken = next(link for link in host.links if any(line.sid == TASKS[0] for line in link.received))
        if how == "reset":
            broken.transport.abort()
        else:
            broken.transport.write(b"no line of any sort\n")
        yield from wait_for(lambda: len(host.links) == 3)
        host.links[2].send(MessageType.CLOSE, TASKS[0], code=16)
        yield from wait_for_message(owner, TASKS[0], Kind.RELEASE)
        assert platform.standing() == 1

    run_on_platform(tmp_path, body)


# Guards against a new connection for each one that the host closes properly: all input before the end has been read.
def test_a_connection_that_its_host_closes_properly_is_not_replaced_while_another_is_open(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        yield from two_connections(platform, host)
        host.links[0].transport.close()
        yield from sleep(600)
        assert len(host.links) == 2

    run_on_platform(tmp_path, body)
