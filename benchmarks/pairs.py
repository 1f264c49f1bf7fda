"""Compare the whole path of two versions, run concurrently on half of the processors each and then swapped.

``python -m benchmarks.pairs --baseline DIR [--rounds 3]``; writes ``docs/results/whole-path-pairs.json``: the CPU time
of a task here divided by that in the baseline. In sequence, two runs of one version differed fourfold on a host of varying
speed; run concurrently they meet the same conditions, and the swap cancels differences between the halves.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from sprucepost.cli.tables import table

ROOT = Path(__file__).parent.parent
FILE = Path("docs/results/whole-path.json")
CASES = ("one at a time", "64 open", "2 x 100 open")


def start_benchmark(checkout: Path, processors: set[int], *more: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.whole_path", *more], cwd=checkout, stdout=subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, processors),
    )  # fmt: skip


def pair(checkouts: list[Path], halves: list[set[int]], *more: str) -> list[dict[str, Any]]:
    """Run both checkouts concurrently and return their results; ``more`` are arguments for the first one."""
    processes = [start_benchmark(checkouts[0], halves[0], *more), start_benchmark(checkouts[1], halves[1])]
    for process in processes:
        if process.wait(120):
            raise SystemExit(f"whole_path ended with {process.returncode}")
    return [json.loads((checkout / FILE).read_text()) for checkout in checkouts]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", type=Path, required=True)
    parser.add_argument("--rounds", type=int, default=3, help="rounds of two pairs each")
    parser.add_argument("--out", type=Path, default=Path("docs/results/whole-path-pairs.json"))
    parser.add_argument("--peers", action="store_true", help="the placer of this checkout has five others in its view")
    arguments = parser.parse_args()
    checkouts = [ROOT, arguments.baseline.resolve()]
    processors = sorted(os.sched_getaffinity(0))
    middle = len(processors) // 2
    if not middle:
        raise SystemExit("pairs: needs at least two processors")
    halves = [set(processors[:middle]), set(processors[middle:])]
    original_files = [
        (checkout / FILE, (checkout / FILE).read_bytes()) for checkout in checkouts
    ]  # restored afterwards: a run of a pair is not a whole-path result
    ratios: dict[str, list[float]] = {name: [] for name in CASES}
    try:
        for _ in range(arguments.rounds):
            for order in (halves, halves[::-1]):
                here, there = pair(checkouts, order, *["--peers"] * arguments.peers)
                for name in CASES:
                    ratios[name].append(here[name]["cpu_us_each"] / there[name]["cpu_us_each"])
    finally:
        for path, data in original_files:
            path.write_bytes(data)
    mean = {name: math.exp(sum(map(math.log, found)) / len(found)) for name, found in ratios.items()}
    rows = [[name, f"{mean[name]:.2f}", *(f"{ratio:.2f}" for ratio in ratios[name])] for name in CASES]
    print(table(["case", "mean", *(f"pair {n + 1}" for n in range(2 * arguments.rounds))], rows))
    result = {
        name: {"mean": round(mean[name], 3), "pairs": [round(ratio, 3) for ratio in ratios[name]]} for name in CASES
    }
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
