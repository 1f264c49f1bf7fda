"""A usual client beside clients that misuse the placer: what the one gets, and what becomes of the others.

``python -m benchmarks.rude_clients [KIND ...] [--clients 1] [--seconds 6] [--address 127.0.0.1] [--stop-after S] [--again]``

Starts a placer process, three hosts and a bulletin (the stand-ins of ``review/``) and a process with the rude clients
(:mod:`benchmarks.rude_client_kinds`). A usual client sends a set-up each ``SET_UP_INTERVAL_S`` and ends the task
``TASK_LIFE_S`` after its answer. One line a kind: what the usual client got, how many rude clients had no reaction within
3 s, and the memory of the placer at the start, at its peak and ``SETTLE_S`` after the end. With ``--stop-after``, SIGTERM is
sent that many seconds into the flood, and the line ends with the time until the process ended and its status. ``--again``
plays the flood twice on one placer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.rude_client_kinds import FLOODS, RELEASED_CAUSE, SLOW
from benchmarks.soak_placer import cpu_s, resident_kib
from review.platform_standin import ANSWER, LOOPBACK, RELEASE, Bulletin, Host, Owner, Placer, Record, Task, encode
from review.settings import ROOMS, catania

SET_UP_INTERVAL_S, TASK_LIFE_S, LEFT_MS = 0.1, 1.0, 2000
SAMPLE_INTERVAL_S = 0.05  # between readings of the memory
SETTLE_S = 1.5  # after the flood, before the memory is read again
STOP_LIMIT_S = 10.0


@dataclass
class Result:
    """What was seen with one kind of rude client."""

    latencies_ms: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    memory_mib: list[float] = field(default_factory=list)  # at the start, at the peak, and after each flood
    cpu_s: float = 0.0
    rude: dict[str, int] = field(default_factory=dict)
    stopped: str = ""

    def line(self, kind: str) -> str:
        ordered = sorted(self.latencies_ms) or [float("nan")]
        p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
        memory = " ".join(f"{value:.0f}" for value in self.memory_mib)
        usual = " ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        rude = " ".join(f"{name} {count}" for name, count in self.rude.items())
        latency = f"median {ordered[len(ordered) // 2]:.0f} p99 {p99:.0f} worst {ordered[-1]:.0f} ms"
        return (
            f"{kind:22} usual: {usual}; {latency}; rude: {rude}; MiB: {memory}; cpu {self.cpu_s:.1f} s {self.stopped}"
        )


class UsualClient:
    """Sends a set-up at a steady rate on one connection, and ends each task some time after its answer."""

    def __init__(self, record: Record, placer: Placer, result: Result) -> None:
        self._owner, self._result, self._record = Owner(record, "usual", placer.address), result, record
        self._owner.told = self._told
        self._serial = 0
        self.sends = True

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        connection = await self._owner.connect()
        self._connection = connection
        due = loop.time()
        while self.sends:
            if connection.ended:
                connection = self._connection = await self._owner.connect()
            self._serial += 1
            sid = f"{0xABCDEF:08x}{self._serial:08x}"
            self._owner.submit(
                connection, Task(sid, f"usual-{sid}", "reading-api", f"{self._serial % 20:016x}", LEFT_MS)
            )
            due += SET_UP_INTERVAL_S
            await asyncio.sleep(max(0.0, due - loop.time()))

    def _told(self, task: Task, kind: int, cause: int) -> None:
        if kind == ANSWER:
            self._result.latencies_ms.append((self._record.now() - task.sent_at) * 1000)
            asyncio.get_running_loop().call_later(TASK_LIFE_S, self._end, task)

    def _end(self, task: Task) -> None:
        if not self._connection.ended:
            self._connection.send(encode(RELEASE, task.sid, RELEASED_CAUSE))

    def count(self) -> None:
        """Count each set-up's outcome."""
        for task in self._owner.tasks.values():
            if task.answers:
                self._result.outcomes["answered"] += 1
            elif task.releases:
                self._result.outcomes["refused" if task.releases[0][1] in (34, 42, 102) else "failed"] += 1
            else:
                self._result.outcomes["unanswered"] += 1


async def _watch_memory(pid: int, result: Result) -> None:
    while True:
        result.memory_mib[1] = max(result.memory_mib[1], resident_kib(pid) / 1024)
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _flood(kind: str, options: argparse.Namespace, placer: Placer) -> dict[str, int]:
    host, port = placer.address
    command = [kind, host, str(port), str(options.clients), str(options.seconds), options.address]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.rude_client_kinds", *command, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    found: dict[str, int] = json.loads(output.splitlines()[-1])
    return found


async def _stop(options: argparse.Namespace, placer: Placer, usual: UsualClient, result: Result) -> None:
    await asyncio.sleep(options.stop_after)
    loop = asyncio.get_running_loop()
    began = loop.time()
    placer.signal(signal.SIGTERM)
    loop.call_later(0.6, setattr, usual, "sends", False)  # the platform sends set-ups for that long
    while placer.exit_status() is None and loop.time() - began < STOP_LIMIT_S:
        await asyncio.sleep(0.005)
    result.stopped = f"; ended after {loop.time() - began:.2f} s with {placer.exit_status()}"


async def play(kind: str, options: argparse.Namespace, folder: Path) -> Result:
    """Play one kind of rude client and return what was seen."""
    record, result = Record(folder / f"record-{kind}.txt"), Result()
    bulletin = Bulletin(record)
    await bulletin.start()
    hosts = [Host(record, f"s-0000000{n}", ROOMS[n], n, 31.0, 60.0) for n in range(3)]
    for host in hosts:
        await host.start()
    bulletin.publish(*hosts, everything=True)
    placer = Placer(record, folder, f"n-{kind}", catania(instances=1), bulletin)
    try:
        placer.start()
        await placer.ready()
        assert placer.process is not None
        pid = placer.process.pid
        await asyncio.sleep(0.5)
        usual = UsualClient(record, placer, result)
        sending = asyncio.ensure_future(usual.run())
        await asyncio.sleep(0.5)
        result.memory_mib = [resident_kib(pid) / 1024] * 2
        watching, began = asyncio.ensure_future(_watch_memory(pid, result)), cpu_s(pid)
        stopping = _stop(options, placer, usual, result) if options.stop_after else asyncio.sleep(0)
        for _ in range(2 if options.again else 1):
            result.rude, _ = await asyncio.gather(_flood(kind, options, placer), stopping)
            stopping = asyncio.sleep(0)
            if placer.exit_status() is None:
                result.cpu_s = cpu_s(pid) - began
                await asyncio.sleep(SETTLE_S)
                result.memory_mib.append(resident_kib(pid) / 1024)
        usual.sends = False
        await asyncio.sleep(LEFT_MS / 1000 + 0.1 if not options.stop_after else 0.0)
        for task in (sending, watching):
            task.cancel()
        usual.count()
        if placer.exit_status() is not None and not options.stop_after:
            result.stopped = f"; CRASHED: {placer.log_tail()}"
        if options.keep:
            Path(options.keep, f"{kind}.log").write_text("\n".join(placer.log_lines()))
        return result
    finally:
        placer.kill()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("kinds", nargs="*", metavar="KIND", help=", ".join([*FLOODS, *SLOW]))
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--address", default=LOOPBACK, help="from which the rude clients connect")
    parser.add_argument("--stop-after", type=float, default=0.0, metavar="S")
    parser.add_argument("--again", action="store_true")
    parser.add_argument("--keep", help="folder for the placers' logs")
    options = parser.parse_args()
    for kind in options.kinds or [*FLOODS, *SLOW]:
        if kind not in FLOODS and kind not in SLOW:
            parser.error(f"no such kind: {kind}")
        with tempfile.TemporaryDirectory() as folder:
            print(asyncio.run(play(kind, options, Path(folder))).line(kind), flush=True)


def _limit_descriptors() -> None:
    import resource

    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))


if __name__ == "__main__":
    os.chdir(Path(__file__).parent.parent)
    _limit_descriptors()
    main()
