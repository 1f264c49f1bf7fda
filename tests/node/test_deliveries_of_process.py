"""A placer's process over loopback: releases and ends of tasks that meet the end of a connection, or another client."""

from __future__ import annotations

import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path

from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import MessageType
from tests.node.platform import Host, Link, Platform, messages_for, run_on_platform, setup, wait_for_message
from tests.node.program import Program, connected, passes_test, running
from tests.node.test_crossings import release
from tests.wire.support import wait_for

TASKS = [f"de11aa5c7e{n:06x}" for n in range(4)]
STRANGERS_TASK, TEST, LATER_TASK = "de11aa5c7e0000f0", "de11aa5c7e0000f1", "de11aa5c7e0000f2"
STOPPED_MS = 50.0

Play = Callable[[Platform, Program, Host], Co[None]]


def run_play(folder: Path, play: Play) -> None:
    """Run a play with a placer's process that has passed a test, and one host."""
    folder.mkdir(exist_ok=True)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        with running(platform) as program:
            yield from passes_test(platform, program, TEST)
            yield from play(platform, program, host)

    run_on_platform(folder, body)


def placed(platform: Platform, program: Program, *sids: str) -> Co[Link]:
    """Connect a client and have these tasks placed for it."""
    client = yield from connected(platform, program)
    for sid in sids:
        client.transport.write(setup(sid))
    for sid in sids:
        yield from wait_for_message(client, sid, Kind.ANSWER)
    return client


def end_at_host(host: Host, *sids: str) -> None:
    """Have the host release tasks on the connections of their set-ups."""
    for sid in sids:
        link = next(link for link in host.links if any(line.sid == sid for line in link.received))
        link.send(MessageType.CLOSE, sid, code=16)


def wait_for_releases(client: Link, limit_ms: float) -> Co[None]:
    """Wait until the client has been told of the end of all tasks, once each on this connection."""
    yield from wait_for(lambda: all(messages_for(client, sid) for sid in TASKS), limit_ms)
    assert all([message.kind for message in messages_for(client, sid)] == [Kind.RELEASE] for sid in TASKS)


# Guards against an owner that is never told of its tasks' end, since another client at its address was taken for it.
def test_a_release_reaches_its_owner_beside_another_client_at_its_address(tmp_path: Path) -> None:
    def play(how: str, platform: Platform, program: Program, host: Host) -> Co[None]:
        owner = yield from placed(platform, program, *TASKS)
        yield from placed(platform, program, STRANGERS_TASK)
        (owner.transport.close if how == "close" else owner.transport.abort)()
        yield from sleep(50)
        end_at_host(host, *TASKS)
        yield from sleep(200)
        again = yield from placed(platform, program, LATER_TASK)
        yield from wait_for_releases(again, 8000)

    for how in ("close", "reset"):
        run_play(tmp_path / how, partial(play, how))


# Guards against an owner that is never told of its tasks' end, since the release was written to a connection that the owner
# had closed by then.
def test_a_release_that_crosses_the_end_of_its_connection_reaches_its_owner(tmp_path: Path) -> None:
    def play(platform: Platform, program: Program, host: Host) -> Co[None]:
        owner = yield from placed(platform, program, *TASKS)
        program.process.send_signal(signal.SIGSTOP)
        end_at_host(host, *TASKS)
        yield from sleep(STOPPED_MS)
        owner.transport.close()
        yield from sleep(STOPPED_MS)
        program.process.send_signal(signal.SIGCONT)
        yield from sleep(200)
        again = yield from placed(platform, program, LATER_TASK)
        yield from wait_for_releases(again, 8000)

    run_play(tmp_path, play)


# Guards against tasks that run on after their owner has ended them, since their host has closed the connection on which it
# was to be told.
def test_a_task_ends_whose_owner_ends_it_while_its_host_ends_connections(tmp_path: Path) -> None:
    def play(how: str, platform: Platform, program: Program, host: Host) -> Co[None]:
        owner = yield from placed(platform, program, *TASKS)
        program.process.send_signal(signal.SIGSTOP)
        owner.transport.write(b"".join(release(sid) for sid in TASKS))
        yield from sleep(STOPPED_MS)
        ended, read_before = list(host.links), {sid for link in host.links for sid in _ends(link)}
        for link in ended:
            (link.transport.close if how == "close" else link.transport.abort)()
        yield from sleep(STOPPED_MS)
        program.process.send_signal(signal.SIGCONT)
        assert not read_before
        yield from wait_for(lambda: set(TASKS) <= {sid for link in host.links for sid in _ends(link)}, 8000)

    for how in ("close", "reset"):
        run_play(tmp_path / how, partial(play, how))


def _ends(link: Link) -> list[str]:
    """Return the tasks that the host has been told to end on that connection."""
    return [line.sid for line in link.received if line.type is MessageType.CLOSE]
