"""Compare the placer's CPU time of a refused request with that of a placed one, in one run.

``python -m benchmarks.refusals [--profile FILE]``; writes ``docs/results/refusals.json``. The same requests go to a placer
at a rate that it sustains; at five times that rate to one that may have a single open task, so that it refuses nearly all;
and at many times that rate to one whose queue refuses, from an owner that accepts batched refusals and from an older one.
Figures are the processes' own CPU time per request, including idle work. The queue refuses only a part, and a placement
costs less under a flood; two floods of different sizes separate the two costs.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.bursts import Owner
from benchmarks.stream_cpu import cpu_s
from benchmarks.whole_path import read_json_line, start
from sprucepost.loop import Co, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from tests.placer.support import cluster

BURST_INTERVAL_MS, LENGTH_MS = 50.0, 5000.0
PLACED, REFUSED, FLOODS = 80, 400, (450, 650)  # requests in one burst: a sustainable number, and larger ones


def cost(open_tasks: int, size: int, profile: Path | None = None, batches: bool = True) -> dict[str, Any]:
    processes: list[subprocess.Popen[str]] = []
    try:
        driver = start(["benchmarks.light", "0", "12", "serve"])
        processes.append(driver)
        listed = read_json_line(driver)["list"]
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "placer.json"
            raw = msgspec.to_builtins(cluster(accepts_cores=1e4, accepts_memory=1e4, report_counts="asked"))
            options = {
                "number": 0, "instances": 1, "zone": "room-a", "list": f"127.0.0.1:{listed}", "seed": 1,
                "limits": {"open_tasks": open_tasks},
            }  # fmt: skip
            file.write_text(json.dumps({"cluster": raw, "placer": options}))
            under = ["cProfile", "-o", str(profile), "-m"] if profile is not None else []
            process = start([*under, "sprucepost", "placer", str(file)])
            processes.append(process)
            address = str(read_json_line(process)["listen"])
            time.sleep(1.0)
            loop = EpollLoop(1)

            def main(scope: Scope) -> Co[dict[str, Any]]:
                owner = Owner(loop, scope, address)
                owner.link.accepts_credit, owner.link.accepts_batches = False, batches
                while not owner.link.up:
                    yield from sleep(20.0)
                yield from owner.play(size, BURST_INTERVAL_MS, 1000.0)
                before = cpu_s(process.pid)
                found = yield from owner.play(size, BURST_INTERVAL_MS, LENGTH_MS)
                spent = cpu_s(process.pid) - before
                scope.cancel()
                return {**found, "cpu_us_each": round(spent / found["asked"] * 1e6, 1)}

            try:
                return dict(loop.run(lambda: in_scope(main)))
            finally:
                loop.close()
                process.terminate()
                process.wait(10)
    finally:
        for process in processes:
            process.kill()


def refused_to_placed_cost(less: dict[str, Any], more: dict[str, Any]) -> float:
    """Return the cost of a refused request relative to a placed one, from two floods with different shares of refusals."""
    (placed, refused, cost_us), (placed_more, refused_more, cost_more_us) = (
        (
            row["asked"] * (1.0 - row["refused_share"]),
            row["asked"] * row["refused_share"],
            row["asked"] * row["cpu_us_each"],
        )
        for row in (less, more)
    )
    det = placed * refused_more - placed_more * refused
    each_refused = (placed * cost_more_us - placed_more * cost_us) / det
    each_placed = (cost_us * refused_more - cost_more_us * refused) / det
    return float(each_refused / each_placed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", type=Path, help="write a profile of the refusing placer, for pstats")
    arguments = parser.parse_args()
    if arguments.profile is not None:
        print(cost(1, REFUSED, arguments.profile.resolve()))
        sys.exit(0)
    result = {"placed": cost(20_000, PLACED), "refused": cost(1, REFUSED)}
    placed = result["placed"]["cpu_us_each"]
    result["ratio"] = {"refused_to_placed": round(result["refused"]["cpu_us_each"] / placed, 3)}
    for name, batches in (("by_the_line", True), ("by_the_line_of_before", False)):
        rows = result[name] = [cost(20_000, size, None, batches) for size in FLOODS]
        result["ratio"][name] = round(refused_to_placed_cost(*rows), 3)
    print(json.dumps(result, indent=1))
    Path("docs/results/refusals.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
