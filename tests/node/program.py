"""The program itself in a process of its own, with a real limit of descriptors and a log that can be read."""

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

START_TIMEOUT_MS = 20_000.0  # for a start on a machine that is busy with other things


def cpu_s(pid: int) -> float:
    """Processor time that the one thread of a process has used, user and system, in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


@dataclass(frozen=True)
class Program:
    """A running placer: its process, where it listens, and the file that its log goes to."""

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    log: Path

    def lines(self, event: str = "") -> list[dict[str, Any]]:
        """The whole lines of its log so far; those of one event where it is named."""
        whole, _, _ = self.log.read_text().rpartition("\n")
        found = [json.loads(line) for line in whole.splitlines()]
        return [line for line in found if event in ("", line["event"])]

    def descriptors(self) -> int:
        """How many descriptors it holds now."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@contextmanager
def running(platform: Platform, descriptors: int | None = None, **changes: Any) -> Iterator[Program]:
    """The program with that limit of descriptors; it must live to the end of the block, and is killed there."""
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
    """A client's new connection."""
    task = yield from current()
    transport: Transport = yield from connect(platform.loop, task, program.address, 3000.0)
    return Link(transport, binary.Decoder(), lambda link, message: None)


def passes_test(platform: Platform, program: Program, sid: str) -> Co[Link]:
    """Wait until the program listens, and until it has passed a test; the connection on which it has."""
    yield from wait_for(lambda: program.lines("ready"), START_TIMEOUT_MS)
    link = yield from connected(platform, program)
    link.transport.write(binary.encode(Kind.TEST, sid, [(Code.CAUSE, b"\0")]))
    assert (yield from wait_for_message(link, sid, Kind.TESTED, START_TIMEOUT_MS)).cause == 1
    return link
