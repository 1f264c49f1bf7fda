"""The program, as `run` starts it, under adverse conditions: paused, out of descriptors, two processes on one core."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from sprucepost.loop import Co, Transport, connect, current, sleep
from sprucepost.node import binary
from sprucepost.node.binary import Code, Kind
from sprucepost.node.jsonl import MessageType
from tests.node.platform import Link, Platform, messages_for, run_on_platform, setup, wait_for_message
from tests.node.program import cpu_s
from tests.wire.support import wait_for

SIDS = [f"5c07aa5c7e{n:06x}" for n in range(400)]


@contextmanager
def placer(
    platform: Platform, name: str = "n0", before: Callable[[], None] | None = None
) -> Iterator[tuple[int, tuple[str, int]]]:
    """Run a placer's process; yields its process id and address, and kills it on exit.

    ``before`` is called in the child before the program is executed.
    """
    platform.folder = platform.folder / name
    platform.folder.mkdir()
    environment = dict(platform.environment(name=name))
    document = json.loads((platform.folder / "config.json").read_text())
    platform.folder = platform.folder.parent
    host, port = document["listen"].split(":")
    with subprocess.Popen(
        [sys.executable, "-m", "sprucepost", "node"], env=environment, stdout=subprocess.PIPE, preexec_fn=before
    ) as process:
        try:
            assert process.stdout is not None
            assert json.loads(process.stdout.readline())["event"] == "ready"
            os.set_blocking(process.stdout.fileno(), False)  # the pipe buffers some lines; the others are not read
            yield process.pid, (host, int(port))
            assert process.poll() is None, "the process has ended by itself"
        finally:
            process.send_signal(signal.SIGCONT)
            process.kill()


def owner(platform: Platform, address: tuple[str, int]) -> Co[Link]:
    """Connect an owner to that address."""
    task = yield from current()
    transport = yield from connect(platform.loop, task, address, 3000.0)
    return Link(transport, binary.Decoder(), lambda link, message: None)


def test_a_pause_loses_no_placed_task_and_answers_no_request_late(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        with placer(platform) as (pid, address):
            link = yield from owner(platform, address)
            link.transport.write(setup(SIDS[0]))
            yield from wait_for_message(link, SIDS[0], Kind.ANSWER)
            os.kill(pid, signal.SIGSTOP)
            link.transport.write(setup(SIDS[1], LEFT="500") + setup(SIDS[2], LEFT="5500"))
            yield from sleep(1500)
            os.kill(pid, signal.SIGCONT)
            yield from wait_for_message(link, SIDS[1], Kind.RELEASE)  # its time was up before it was read
            yield from wait_for_message(link, SIDS[2], Kind.ANSWER)
            assert (
                not host.lines(MessageType.CLOSE)
                and [line.sid for line in host.lines(MessageType.OPEN)].count(SIDS[1]) == 0
            )
            host.links[0].send(MessageType.CLOSE, SIDS[0], code=16)
            assert (yield from wait_for_message(link, SIDS[0], Kind.RELEASE)).cause == 16

    run_on_platform(tmp_path, body)


def test_without_free_descriptors_connected_owners_are_served_and_others_later(tmp_path: Path) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (16, 16))  # the configuration says 64

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        with placer(platform, before=limit_descriptors) as (pid, address):
            link = yield from owner(platform, address)
            link.transport.write(setup(SIDS[0]))
            yield from wait_for_message(link, SIDS[0], Kind.ANSWER)
            task = yield from current()
            others: list[Transport] = []
            for _ in range(24):  # the kernel accepts them all; the process cannot
                others.append((yield from connect(platform.loop, task, address, 3000.0)))
            yield from sleep(300)
            before = cpu_s(pid)
            link.transport.write(setup(SIDS[1]))
            yield from wait_for_message(link, SIDS[1], Kind.ANSWER)
            yield from sleep(700)
            assert cpu_s(pid) - before < 0.5, "the process does not spin on a listener that it cannot serve"
            for transport in others:
                transport.abort()
            newer = yield from owner(platform, address)
            newer.transport.write(setup(SIDS[2]))
            yield from wait_for_message(newer, SIDS[2], Kind.ANSWER, 8000)

    run_on_platform(tmp_path, body)


def test_two_placers_on_one_core_answer_everything_in_time(tmp_path: Path) -> None:
    core = min(os.sched_getaffinity(0))

    def body(platform: Platform) -> Co[None]:
        for n in range(4):
            platform.host(f"s-{n}")
        platform.bulletin.publish(*(host.entry() for host in platform.hosts.values()), everything=True)

        def pin_to_core() -> None:
            os.sched_setaffinity(0, {core})

        with placer(platform, "n0", pin_to_core) as (_, first), placer(platform, "n1", pin_to_core) as (_, second):
            links = [(yield from owner(platform, first)), (yield from owner(platform, second))]
            for n, sid in enumerate(SIDS[:120]):
                figures = f"cores:0.1;memory:0.1;service:{n % 20:016x}"
                links[n % 2].transport.write(setup(sid, FIGURES=figures, LEFT="5000"))
                yield from sleep(5)
            yield from wait_for(lambda: all(messages_for(links[n % 2], sid) for n, sid in enumerate(SIDS[:120])), 8000)
            for n, sid in enumerate(SIDS[:120]):
                assert [m.kind for m in messages_for(links[n % 2], sid)] == [Kind.ANSWER]

    run_on_platform(tmp_path, body)


def test_a_task_that_is_cancelled_and_sent_again_within_a_millisecond_gets_one_answer(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        with placer(platform) as (_, address):
            link = yield from owner(platform, address)
            cancellation = [(Code.CAUSE, b"\x10")]
            for n in range(0, 200, 2):  # in one write: a set-up, its cancellation, and the same task under the next id
                link.transport.write(
                    setup(SIDS[n], NAME="t", FIGURES="cores:0.1;memory:0.1;service:s")
                    + binary.encode(Kind.RELEASE, SIDS[n], cancellation)
                    + setup(SIDS[n + 1], NAME="t", FIGURES="cores:0.1;memory:0.1;service:s")
                )
            yield from wait_for(lambda: all(messages_for(link, sid) for sid in SIDS[1:200:2]), 8000)
            assert all([m.kind for m in messages_for(link, sid)] == [Kind.ANSWER] for sid in SIDS[1:200:2])
            assert not any(m.kind == Kind.ANSWER for sid in SIDS[0:200:2] for m in messages_for(link, sid))
            placed = {line.sid for line in host.lines(MessageType.OPEN)} - {
                line.sid for line in host.lines(MessageType.CLOSE)
            }
            assert placed == set(SIDS[1:200:2]), "no cancelled task is placed"

    run_on_platform(tmp_path, body)
