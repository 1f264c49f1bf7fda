"""Run a placer process for a long time with new owners, services and tasks, with and without a list.

``python -m benchmarks.soak_placer [--minutes 60] [--rate 300]``; writes ``docs/results/soak-placer.json``. Starts a placer
process and minimal machines. Owners with separate sessions are replaced continually, all of them every two seconds, and
every request is of a new service. In the second half the list and the machines are gone. The results are the memory growth
over the last half of each part, and the CPU per request.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.whole_path import read_json_line
from sprucepost.loop import Address, Co, Loop, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.standin.owner_link import OwnerLink
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb
from tests.placer.support import cluster

OWNERS, RENEW_MS, SAMPLES = 8, 2000.0, 40
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def resident_kib(pid: int) -> int:
    for text in Path(f"/proc/{pid}/status").read_text().splitlines():
        if text.startswith("VmRSS"):
            return int(text.split()[1])
    return 0


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class RotatingOwners:
    """Owners that are replaced continually, and the outcomes of their requests."""

    def __init__(self, loop: Loop, scope: Scope, address: Address) -> None:
        self._loop, self._scope, self._address = loop, scope, address
        self.outcomes: dict[str, int] = {}
        self.asked = self.owners = 0
        self._links: list[OwnerLink] = []

    def _frame(self, frame: pb.PlacerFrame) -> None:
        kind = str(frame.WhichOneof("body"))
        if kind in ("bound", "refused", "failed"):
            self.outcomes[kind] = self.outcomes.get(kind, 0) + 1

    def renew(self) -> None:
        """Add an owner and remove the oldest, whose last requests were answered long before."""
        self.owners += 1
        self._links.append(
            OwnerLink(self._loop, self._scope, self._address, f"owner-{self.owners}", self._frame, lambda resumed: None)
        )
        if len(self._links) > 2 * OWNERS:
            self._links.pop(0).task.cancel()

    def ask(self) -> None:
        up = [link for link in self._links[-OWNERS:] if link.up] or [link for link in self._links if link.up]
        if not up:
            return
        self.asked += 1
        task = common_pb2.Task(
            task_class=("web", "bill", "once")[self.asked % 3], service=f"s{self.asked}", cores=0.01, memory=0.01,
            life_ms=200.0,
        )  # fmt: skip
        up[self.asked % len(up)].submit(f"t{self.asked}", task, 2000.0)


def run_part(asking: RotatingOwners, loop: Loop, pid: int, length_ms: float, rate: float) -> Co[list[dict[str, float]]]:
    """Send requests for ``length_ms``; return samples of memory and CPU."""
    rows, began, cpu, asked = [], loop.now(), cpu_s(pid), asking.asked
    base, sample = asking.asked, 1
    renewed = began
    while (passed := loop.now() - began) < length_ms:
        if loop.now() - renewed >= RENEW_MS / OWNERS:
            renewed += RENEW_MS / OWNERS
            asking.renew()
        before = asking.asked
        while asking.asked - base < passed * rate / 1000.0:
            asking.ask()
            if asking.asked == before:
                break  # no owner is connected
        if passed >= sample * length_ms / SAMPLES:
            now = cpu_s(pid)
            each = (now - cpu) / max(1, asking.asked - asked) * 1e6
            at_s = round(passed / 1000.0, 1)
            rows.append({"at_s": at_s, "resident_kib": resident_kib(pid), "cpu_us_each": round(each, 1)})
            cpu, asked, sample = now, asking.asked, sample + 1
        yield from sleep(5.0)
    return rows


def summary(rows: list[dict[str, float]]) -> dict[str, float]:
    half = rows[len(rows) // 2 :]
    tenth = max(1, len(rows) // 10)
    return {
        "grown_last_half_kib": half[-1]["resident_kib"] - half[0]["resident_kib"],
        "cpu_us_each_first": sum(row["cpu_us_each"] for row in rows[1 : 1 + tenth]) / tenth,
        "cpu_us_each_last": sum(row["cpu_us_each"] for row in rows[-tenth:]) / tenth,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=300.0)
    arguments = parser.parse_args()
    length_ms = arguments.minutes * 30_000.0
    loop = EpollLoop(1)
    processes: list[subprocess.Popen[str]] = []

    def start(*command: str) -> subprocess.Popen[str]:
        processes.append(
            subprocess.Popen(
                [sys.executable, "-m", *command], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL, text=True,
            )
        )  # fmt: skip
        return processes[-1]

    try:
        machines = start("benchmarks.light", "0", "12", "serve")
        listed = read_json_line(machines)["list"]
        with tempfile.TemporaryDirectory() as name:
            raw = msgspec.to_builtins(cluster(accepts_cores=1e4, accepts_memory=1e4, report_counts="asked"))
            options = {
                "number": 0, "instances": 1, "zone": "room-a", "list": f"127.0.0.1:{listed}", "seed": 1, "resume_ms": 3000.0,
            }  # fmt: skip
            file = Path(name) / "placer.json"
            file.write_text(json.dumps({"cluster": raw, "placer": options}))
            placer = start("sprucepost", "placer", str(file))
            host, _, port = str(read_json_line(placer)["listen"]).rpartition(":")

            def body(scope: Scope) -> Co[dict[str, Any]]:
                asking = RotatingOwners(loop, scope, (host, int(port)))
                asking.renew()
                yield from sleep(1500.0)
                result: dict[str, Any] = {"minutes": arguments.minutes, "rate": arguments.rate}
                rows = yield from run_part(asking, loop, placer.pid, length_ms, arguments.rate)
                result["with_list"] = {**summary(rows), "asked": asking.asked, "samples": rows}
                before = asking.asked
                machines.kill()  # without machines and list, requests are refused within their deadline
                rows = yield from run_part(asking, loop, placer.pid, length_ms, arguments.rate)
                result["without_list"] = {**summary(rows), "asked": asking.asked - before, "samples": rows}
                yield from sleep(2500.0)
                result |= {"owners": asking.owners, "asked": asking.asked, "outcomes": asking.outcomes}
                scope.cancel()
                return result

            result = dict(loop.run(lambda: in_scope(body)))
    finally:
        loop.close()
        for process in processes:
            process.kill()
    for key in ("with_list", "without_list"):
        print(key, {name: value for name, value in result[key].items() if name != "samples"})
    print({name: result[name] for name in ("owners", "asked", "outcomes")})
    Path("docs/results/soak-placer.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
