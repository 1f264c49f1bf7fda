"""Measure when a started `sprucepost node` is ready, and its cost: ``python -m benchmarks.node_ready``.

A placer is ready when it passes its first test, which is sent as soon as it accepts a connection. For each condition the
real program is started ten times with its hosts in ``known``, and measured until it is ready: its CPU time, its voluntary
context switches (waits), and the elapsed time. On a third of a core a start takes three times its CPU time plus the time
that it waits; the number of waits does not depend on the machine, so waits are counted and not timed. Writes
``docs/results/node-ready.json``.

=============== ==================================================================
condition       discovery
=============== ==================================================================
answers         answers as soon as it has something to report
late            answers after 3 s
whole lists     sends the whole list again in every answer
silent          accepts connections and never answers
down            refuses connections
unreachable     its host does not answer connection attempts
reload          answers; SIGHUP is sent when the process listens, and every 20 ms
many lists      answers; its history is fifty whole lists in sequence
idle crowd      answers; 300 idle clients keep connecting and reconnect as soon as they are closed
thirty at once  answers; thirty processes are started together
=============== ==================================================================
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sprucepost.cli.tables import table
from sprucepost.loop import Co, Transport, connect, current, sleep
from sprucepost.node import binary
from sprucepost.node.binary import Code, Kind
from tests.node.platform import BulletinServer, Link, Platform, run_on_platform
from tests.node.program import cpu_s
from tests.node.test_descriptors import PROVEN, IdleClient

CORE_SHARE = 1 / 3  # share of a core that the placer has; CPU time is divided by it
LIMIT_S = 10.0  # time limit for a restarted placer to become ready
LATE_MS, RELOAD_MS, DIAL_RETRY_MS, GIVE_UP_MS = 3000.0, 20.0, 2.0, 60_000.0
STARTS, TOGETHER = 10, 30
HOSTS = (400, 1000)
CONDITIONS = (
    "answers", "late", "whole lists", "silent", "down", "unreachable", "reload", "many lists", "idle crowd", "thirty at once"
)  # fmt: skip
MANY_LISTS, IDLE_CLIENTS = 50, 300
TEST_MESSAGE_ID = "7e" * 8
PORT = 2905


@dataclass(frozen=True)
class Start:
    """Measurements of one start, until the first test was passed."""

    cpu_s: float
    waits: int
    real_s: float


class Discovery(BulletinServer):
    """A discovery service that treats requests as ``condition`` says."""

    condition = "answers"

    def _answer(self, transport: Transport, after: int) -> None:
        if self.condition == "late":
            self.platform.loop.call_later(LATE_MS, lambda: super(Discovery, self)._answer(transport, after))
        else:
            super()._answer(transport, after)

    def _question(self, transport: Transport, data: bytes) -> None:
        if self.condition == "whole lists":
            last = self.items[-1]
            self.items = [{"no": last["no"] + 1, "roster": last["roster"]}]
        super()._question(transport, data)

    def document(self, after: int = 0) -> dict[str, Any]:
        return {"no": self.items[-1]["no"], "items": [item for item in self.items if item["no"] > after]}


def discovery(platform: Platform, condition: str, hosts: int) -> Discovery:
    """Return a discovery service with that condition and number of hosts."""
    found = Discovery(platform)
    host = platform.host("s-0")
    found.tell(*(host.entry(uid=f"s-{n}", endpoint=f"127.1.{n // 250}.{n % 250 + 1}:9") for n in range(hosts)),
               everything=True)  # fmt: skip
    if condition == "many lists":
        roster = found.items[0]["roster"]
        found.items = [{"no": n + 1, "roster": roster} for n in range(MANY_LISTS)]
    found.condition = condition
    if condition == "silent":
        found.mode = "silent"
    elif condition == "down":
        found.acceptor.close()
    return found


@contextmanager
def unreachable() -> Iterator[str]:
    """Yield an address that accepts no connection: its backlog is full, so that further attempts are not answered."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(address)
        yield f"{address[0]}:{address[1]}"
        for filler in fillers:
            filler.close()


def waits(pid: int) -> int:
    """Return the number of voluntary context switches of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("voluntary_ctxt_switches"))


def start(
    platform: Platform, environment: dict[str, str], listen: tuple[str, int], condition: str, found: list[Start]
) -> Co[None]:
    """Start the program, measure until it passes its first test, and kill it."""
    began = platform.loop.now()
    with subprocess.Popen(
        [sys.executable, "-m", "sprucepost", "node"], env={**os.environ, **environment}, stdout=subprocess.DEVNULL
    ) as process:
        try:
            link = yield from listening(platform, listen)
            if condition == "reload":
                reload(platform, process)
            link.transport.write(binary.encode(Kind.TEST, TEST_MESSAGE_ID, [(Code.CAUSE, b"\0")]))
            while not link.received:
                yield from sleep(1.0)
                if platform.loop.now() - began > GIVE_UP_MS or process.poll() is not None:
                    raise SystemExit(f"{condition}: the program did not become ready")
            assert [message.cause for message in link.received] == [1]
            found.append(Start(cpu_s(process.pid), waits(process.pid), (platform.loop.now() - began) / 1000.0))
            link.transport.abort()
        finally:
            process.kill()


def listening(platform: Platform, address: tuple[str, int]) -> Co[Link]:
    """Connect to the program as soon as it accepts connections."""
    task = yield from current()
    while True:
        try:
            transport = yield from connect(platform.loop, task, address, GIVE_UP_MS)
        except OSError:
            yield from sleep(DIAL_RETRY_MS)
            continue
        return Link(transport, binary.Decoder(), lambda link, message: None)


def reload(platform: Platform, process: subprocess.Popen[bytes]) -> None:
    """Send SIGHUP now and every ``RELOAD_MS`` until the process has ended."""
    if process.poll() is None:
        process.send_signal(signal.SIGHUP)
        platform.loop.call_later(RELOAD_MS, lambda: reload(platform, process))


def condition_starts(condition: str, hosts: int, starts: int) -> list[Start]:
    """Measure all starts under one condition."""
    found: list[Start] = []

    def body(platform: Platform) -> Co[None]:
        platform.bulletin = discovery(platform, condition, hosts)
        together = TOGETHER if condition == "thirty at once" else 1
        with unreachable() as nowhere:
            address = nowhere if condition == "unreachable" else platform.bulletin.address
            for _ in range(0, starts, together):
                wanted = len(found) + together
                idle: list[IdleClient] = []
                for n in range(together):
                    environment, listen = configured(platform, n, address)
                    if condition == "idle crowd":
                        idle = [IdleClient(platform, listen, PROVEN + k, Counter()) for k in range(IDLE_CLIENTS)]
                    platform._scope.spawn(start(platform, environment, listen, condition, found), f"start {n}")
                while len(found) < wanted:
                    yield from sleep(5.0)
                for client in idle:
                    client.stop()

    with tempfile.TemporaryDirectory() as folder:
        run_on_platform(Path(folder), body)
    return found


def configured(platform: Platform, number: int, address: str) -> tuple[dict[str, str], tuple[str, int]]:
    """Write a separate configuration for one process; return its environment and the address at which it will listen."""
    folder = platform.folder
    platform.folder = folder / f"n{number}"
    platform.folder.mkdir(exist_ok=True)
    listen = f"127.2.0.{number + 1}", PORT  # a separate address, so that no other process can take the port
    environment = platform.environment(
        name=platform.folder.name,
        listen=f"{listen[0]}:{listen[1]}",
        bulletin=address,
        limits={"memory_mb": 64, "sockets": 256},
    )
    platform.folder = folder
    return dict(environment), listen


def summary(starts: list[Start]) -> dict[str, float]:
    """Return the results of one condition; ``third_of_a_core_s_most`` is scaled to a third of a core."""
    cpu = [each.cpu_s for each in starts]
    return {
        "starts": len(starts),
        "cpu_s_median": round(statistics.median(cpu), 3),
        "cpu_s_most": round(max(cpu), 3),
        "third_of_a_core_s_most": round(max(cpu) / CORE_SHARE, 2),
        "waits_most": max(each.waits for each in starts),
        "real_s_most": round(max(each.real_s for each in starts), 2),
        "ready_within_limit": sum(max(each.cpu_s / CORE_SHARE, each.real_s) <= LIMIT_S for each in starts),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=STARTS)
    parser.add_argument("--out", type=Path, default=Path("docs/results/node-ready.json"))
    arguments = parser.parse_args()
    report: dict[str, dict[str, dict[str, float]]] = {}
    for hosts in HOSTS:
        report[f"{hosts} hosts"] = {
            condition: summary(condition_starts(condition, hosts, arguments.starts)) for condition in CONDITIONS
        }
    names = list(report["400 hosts"]["answers"])
    rows = [
        [hosts, condition, *(str(found[name]) for name in names)]
        for hosts, conditions in report.items()
        for condition, found in conditions.items()
    ]
    print(table(["", "condition", *names], rows))
    arguments.out.write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
