"""Measure bursts at a sustainable mean load: how many requests are refused, and how long the placed ones wait.

``python -m benchmarks.bursts [--baseline DIR]``; writes ``docs/results/bursts.json``. One owner and one placer; the same
bursts on a fresh placer, ten idle seconds after an overload, and after a pause of the process (SIGSTOP for 4 s during
work). ``--baseline``: another checkout whose placer is measured in the same way after this one, in the same run.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.whole_path import read_json_line
from sprucepost.cli.tables import table
from sprucepost.loop import Co, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.standin.owner_link import OwnerLink
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb
from tests.placer.support import cluster

BURSTS = ((100, 200.0), (500, 1000.0), (1000, 2000.0), (2000, 4000.0))  # requests in a burst, ms between bursts
PHASE_LENGTH_MS = 8000.0
ROOT = Path(__file__).parent.parent


class Owner:
    """Sends bursts of requests and records the outcome of each."""

    def __init__(self, loop: EpollLoop, scope: Scope, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.loop, self.link = (
            loop,
            OwnerLink(loop, scope, (host, int(port)), "owner", self._frame, lambda resumed: None),
        )
        self.sent: dict[str, float] = {}
        self.bound: list[float] = []
        self.refused = self.failed = self.number = 0

    def _frame(self, frame: pb.PlacerFrame) -> None:
        kind = frame.WhichOneof("body")
        if kind not in ("bound", "refused", "failed") or frame.task not in self.sent:
            return
        took = self.loop.now() - self.sent.pop(frame.task)
        if kind == "bound":
            self.bound.append(took)
        else:
            self.refused += kind == "refused"
            self.failed += kind == "failed"

    def burst(self, size: int) -> None:
        for _ in range(size):
            self.number += 1
            name = f"t{self.number}"
            self.sent[name] = self.loop.now()
            task = common_pb2.Task(
                task_class="web", service=f"s{self.number % 50}", cores=0.01, memory=0.01, life_ms=100
            )
            self.link.submit(name, task, 3000.0)

    def play(self, size: int, every_ms: float, length_ms: float) -> Co[dict[str, float]]:
        self.bound, self.refused, self.failed = [], 0, 0
        until, due = self.loop.now() + length_ms, self.loop.now()
        asked = 0
        while due < until:
            self.burst(size)
            asked += size
            due += every_ms
            yield from sleep(max(0.0, due - self.loop.now()))
        while self.sent and self.loop.now() < until + 5000.0:
            yield from sleep(20.0)
        lost = len(self.sent)
        self.sent.clear()
        waits = sorted(self.bound) or [0.0]
        return {
            "asked": asked, "refused_share": self.refused / asked, "failed": self.failed, "unanswered": lost,
            "p50_ms": round(waits[len(waits) // 2], 1), "p99_ms": round(waits[int(len(waits) * 0.99)], 1),
        }  # fmt: skip


def phases(address: str, placer: int) -> dict[str, Any]:
    loop = EpollLoop(1)

    def main(scope: Scope) -> Co[dict[str, Any]]:
        owner, result = Owner(loop, scope, address), {}
        while not owner.link.up:
            yield from sleep(20.0)

        def shapes() -> Co[dict[str, Any]]:
            rows = {}
            for size, every in BURSTS:
                rows[f"{size} every {every:g} ms"] = yield from owner.play(size, every, PHASE_LENGTH_MS)
                yield from sleep(500.0)
            return rows

        result["fresh"] = yield from shapes()
        result["overload"] = {"300 every 60 ms": (yield from owner.play(300, 60.0, 3000.0))}
        yield from sleep(10_000.0)
        result["after an overload"] = yield from shapes()
        owner.burst(500)
        os.kill(placer, signal.SIGSTOP)
        yield from sleep(4000.0)
        os.kill(placer, signal.SIGCONT)
        yield from sleep(10_000.0)
        owner.sent.clear()
        result["after a pause"] = yield from shapes()
        scope.cancel()
        return result

    try:
        return dict(loop.run(lambda: in_scope(main)))
    finally:
        loop.close()


def measure_checkout(checkout: Path) -> dict[str, Any]:
    """Measure all phases on a placer of that checkout."""
    processes = []

    def start(folder: Path, *arguments: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL, text=True, cwd=folder,
        )  # fmt: skip
        processes.append(process)
        return process

    try:
        listed = read_json_line(start(ROOT, "benchmarks.light", "0", "12", "serve"))["list"]
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "placer.json"
            raw = msgspec.to_builtins(cluster(accepts_cores=1e4, accepts_memory=1e4, report_counts="asked"))
            options = {"number": 0, "instances": 1, "zone": "room-a", "list": f"127.0.0.1:{listed}", "seed": 1}
            file.write_text(json.dumps({"cluster": raw, "placer": options}))
            process = start(checkout, "sprucepost", "placer", str(file))
            address = str(read_json_line(process)["listen"])
            time.sleep(1.0)
            return phases(address, process.pid)
    finally:
        for process in processes:
            process.kill()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", type=Path)
    parser.add_argument("--out", type=Path, default=Path("docs/results/bursts.json"))
    arguments = parser.parse_args()
    result = {"here": measure_checkout(ROOT)}
    if arguments.baseline is not None:
        result["baseline"] = measure_checkout(arguments.baseline.resolve())
    rows = [
        [name, phase, shape, row["asked"], f"{row['refused_share']:.2%}", row["p50_ms"], row["p99_ms"], row["unanswered"]]
        for name, of in result.items() for phase, shapes in of.items() for shape, row in shapes.items()
    ]  # fmt: skip
    print(table(["version", "phase", "bursts", "asked", "refused", "p50, ms", "p99, ms", "unanswered"], rows))
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
