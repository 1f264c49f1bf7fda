"""Runs the placer in a process of its own, with a real limit of descriptors and its log in a file."""

from __future__ import annotations

import json
import os
import resource
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sprucepost.loop import Co, Transport, connect, current
from sprucepost.node import binary
from sprucepost.node.binary import Code, Kind
from tests.node.platform import Link, Platform, wait_for_message
from tests.wire.support import wait_for

START_TIMEOUT_MS = 20_000.0  # enough on a busy machine


def cpu_s(pid: int) -> float:
    """The processor time of a process with one thread, user and system, in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


@dataclass(frozen=True)
class Program:
    """A running placer: its process, the address it listens on, and its log file."""

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    log: Path

    def lines(self, event: str = "") -> list[dict[str, Any]]:
        """The complete lines of its log so far, of all events or of one."""
        whole, _, _ = self.log.read_text().rpartition("\n")
        found = [json.loads(line) for line in whole.splitlines()]
        return [line for line in found if event in ("", line["event"])]

    def descriptors(self) -> int:
        """The number of its open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@contextmanager
def running(platform: Platform, descriptors: int | None = None, **changes: Any) -> Iterator[Program]:
    """Run the placer with that limit of descriptors. It must not exit before the end of the block, where it is killed."""
    environment = dict(platform.environment(**changes))
    host, port = json.loads((platform.folder / "config.json").read_text())["listen"].split(":")

    def limit() -> None:
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    log = platform.folder / "log"
    with (
        log.open("wb") as output,
        subprocess.Popen(
            [sys.executable, "-m", "sprucepost", "node"],
            env=environment, stdout=output, stderr=subprocess.STDOUT, preexec_fn=limit,
        ) as process,
    ):  # fmt: skip
        try:
            yield Program(process, (host, int(port)), log)
            assert process.poll() is None, log.read_text()[-2000:]
        finally:
            process.kill()


def connected(platform: Platform, program: Program) -> Co[Link]:
    """Connect a client to the program."""
    task = yield from current()
    transport: Transport = yield from connect(platform.loop, task, program.address, 3000.0)
    return Link(transport, binary.Decoder(), lambda link, message: None)


def passes_test(platform: Platform, program: Program, sid: str) -> Co[Link]:
    """Wait until the program is ready and passes a test; returns the connection of the test."""
    yield from wait_for(lambda: program.lines("ready"), START_TIMEOUT_MS)
    link = yield from connected(platform, program)
    link.transport.write(binary.encode(Kind.TEST, sid, [(Code.CAUSE, b"\0")]))
    assert (yield from wait_for_message(link, sid, Kind.TESTED, START_TIMEOUT_MS)).cause == 1
    return link
