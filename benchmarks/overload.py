"""Offer up to five times the capacity of a placer, side by side with another version's placer.

``python -m benchmarks.overload [--baseline DIR]``; writes ``docs/results/overload.json`` and ``overload.html``. Each
placer is pinned to a processor that it shares with busy loops, so that generators on the others can offer five times its
capacity. The peak is determined first; then twice and five times the peak are offered: by owners that accept credit, and by
older owners, which accept neither credit nor batched refusals. At each load all versions are measured before the next load.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.whole_path import read_json_line
from sprucepost.cli.tables import table
from sprucepost.load.report import render_page
from sprucepost.plotting import ChartsUnavailable
from tests.placer.support import cluster

BUSY_LOOPS, GENERATORS, LENGTH_S = 3, 3, 5.0
PEAK_SEARCH = (
    300.0,
    1.4,
)  # initial requests per second, and the factor of each step until less than PEAK_GOODPUT_SHARE of the load is goodput
PEAK_GOODPUT_SHARE = 0.8
LOAD_FACTORS = (2.0, 5.0)
OWNERS = {"credit": {"credit": True, "batches": True}, "of before": {"credit": False, "batches": False}}
ROOT = Path(__file__).parent.parent
CLUSTER = cluster(accepts_cores=1e4, accepts_memory=1e4, report_counts="asked")
WORTH = {cls.name: cls.worth / max(c.worth for c in CLUSTER.classes) for cls in CLUSTER.classes}


class Bench:
    """The processes of a run; :meth:`end` kills them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: list[subprocess.Popen[str]] = []
        self._pids: dict[str, int] = {}  # of the placers, by address

    def start(self, checkout: Path, *arguments: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL, text=True, cwd=checkout,
        )  # fmt: skip
        self._processes.append(process)
        return process

    def placer(self, checkout: Path, listed: int, cpu: int) -> str:
        """Start a placer of that checkout on one processor, shared only with busy loops; return its address."""
        options = {"number": 0, "instances": 1, "zone": "room-a", "list": f"127.0.0.1:{listed}", "seed": 1}
        file = self.folder / f"placer-{cpu}.json"
        file.write_text(json.dumps({"cluster": msgspec.to_builtins(CLUSTER), "placer": options}))
        process = self.start(checkout, "sprucepost", "placer", str(file))
        address = str(read_json_line(process)["listen"])
        os.sched_setaffinity(process.pid, {cpu})
        self._pids[address] = process.pid
        for _ in range(BUSY_LOOPS):
            busy_loop = subprocess.Popen([sys.executable, "-c", "while True: pass"], text=True)
            self._processes.append(busy_loop)
            os.sched_setaffinity(busy_loop.pid, {cpu})
        return address

    def offer(self, address: str, rate: float, seed: int, owners: dict[str, bool]) -> dict[str, Any]:
        """Run the generators concurrently; return their combined figures."""
        runs, cpu_s = [], self._cpu_s(address)
        for n in range(GENERATORS):
            plan = {
                "arrivals": {"shape": "poisson", "rate": rate / GENERATORS},
                "classes": [
                    {"name": name, "cores": 0.01, "memory": 0.01, "left_ms": 2000, "aim_ms": 500} for name in WORTH
                ],
                "length_s": LENGTH_S, "seed": seed * 10 + n, "owners": 4, **owners,
            }  # fmt: skip
            file, save = self.folder / f"plan-{n}.json", self.folder / f"figures-{n}.json"
            file.write_text(json.dumps(plan))
            command = [sys.executable, "-m", "sprucepost", "load", address, "--plan", str(file), "--save", str(save)]
            runs.append((subprocess.Popen(command, stdout=subprocess.DEVNULL, cwd=ROOT), save))
        figures = []
        for process, save in runs:
            process.wait(180)
            figures.append(json.loads(save.read_text()))
        good = {name: sum(f["classes"].get(name, {}).get("good", 0) for f in figures) for name in WORTH}
        most = max(len(f["buckets"]) for f in figures)
        rows = [[f["buckets"][n] for f in figures if n < len(f["buckets"])] for n in range(most)]
        return {
            "offered_per_s": sum(f["offered_per_s"] for f in figures),
            "goodput_per_s": round(sum(f["goodput_per_s"] for f in figures), 1),
            "cpu_s": round(self._cpu_s(address) - cpu_s, 3),  # of the placer, until the last generator has ended
            "worth_per_s": round(sum(good[name] * WORTH[name] for name in WORTH) / LENGTH_S, 1),
            "placed_p99_ms": max(f["placed_ms"]["p99"] for f in figures),
            "held": sum(f["held"] for f in figures),
            "unanswered": sum(f["unanswered"] for f in figures),
            "second": sum(f["outcomes"].get("second", 0) for f in figures),
            "left_late_p99_ms": max(f["left_late_ms"]["p99"] for f in figures),
            "bucket_ms": figures[0]["bucket_ms"],
            "buckets": [[*(sum(b[k] for b in row) for k in range(4)), max(b[4] for b in row)] for row in rows],
        }

    def _cpu_s(self, address: str) -> float:
        fields = Path(f"/proc/{self._pids[address]}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        for process in self._processes:
            process.kill()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", type=Path)
    parser.add_argument("--out", type=Path, default=Path("docs/results/overload.json"))
    arguments = parser.parse_args()
    checkouts = {"here": ROOT}
    if arguments.baseline is not None:
        checkouts["baseline"] = arguments.baseline.resolve()
    os.sched_setaffinity(0, set(range(len(checkouts), os.cpu_count() or 2)))
    with tempfile.TemporaryDirectory() as name:
        bench = Bench(Path(name))
        try:
            listed = read_json_line(bench.start(ROOT, "benchmarks.light", "0", "12", "serve"))["list"]
            addresses = {
                version: bench.placer(folder, listed, n) for n, (version, folder) in enumerate(checkouts.items())
            }
            time.sleep(1.5)
            result = measure_versions(bench, addresses)
        finally:
            bench.end()
    report(result, arguments.out)


def measure_versions(bench: Bench, addresses: dict[str, str]) -> dict[str, Any]:
    """Measure for each version its peak, and each load above it by each kind of owners."""
    seek: dict[str, list[dict[str, Any]]] = {version: [] for version in addresses}
    rate, seeking, n = PEAK_SEARCH[0], list(addresses), 0
    while seeking:
        for version in list(seeking):
            found = bench.offer(addresses[version], rate, n, OWNERS["credit"])
            seek[version].append({"rate": rate, **found})
            print(version, round(rate), found["goodput_per_s"], found["placed_p99_ms"], found["cpu_s"], flush=True)
            if found["goodput_per_s"] < PEAK_GOODPUT_SHARE * found["offered_per_s"]:
                seeking.remove(version)
        rate, n = rate * PEAK_SEARCH[1], n + 1
    result: dict[str, Any] = {}
    for version, rows in seek.items():
        result[version] = {"peak_per_s": max(row["goodput_per_s"] for row in rows), "seek": rows, "above": []}
    for times in LOAD_FACTORS:
        for kind, owners in OWNERS.items():
            for version, address in addresses.items():
                time.sleep(2.0)
                found = bench.offer(address, times * result[version]["peak_per_s"], int(100 * times), owners)
                result[version]["above"].append({"times": times, "owners": kind, **found})
                print(version, times, kind, found["goodput_per_s"], found["placed_p99_ms"], found["cpu_s"], flush=True)
    return result


def report(result: dict[str, Any], out: Path) -> None:
    lines = []
    for version, found in result.items():
        peak = found["peak_per_s"]
        for row in found["above"]:
            lines.append(
                [version, f"{peak:.0f}", f"{row['times']:g}", row["owners"], f"{row['goodput_per_s'] / peak:.2f}",
                 f"{row['worth_per_s']:.0f}", f"{row['placed_p99_ms']:.0f}", row["unanswered"]]
            )  # fmt: skip
    head = ["version", "peak, good/s", "times", "owners", "of peak", "worth/s", "placed p99, ms", "unanswered"]
    print(table(head, lines))
    sides = {f"{version}, 5 times, credit": row for version, found in result.items() for row in found["above"]
             if row["times"] == 5.0 and row["owners"] == "credit"}  # fmt: skip
    try:
        chart = render_page("Five times a placer's capacity", sides, {})
        out.with_suffix(".html").write_text("\n".join(text.rstrip() for text in chart.splitlines()) + "\n")
    except ChartsUnavailable as error:
        print(error)
    out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
