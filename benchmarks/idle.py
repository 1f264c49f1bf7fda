"""Measure memory and start time of an idle placer process.

``python -m benchmarks.idle`` writes ``docs/results/idle.json``.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from tests.placer.support import cluster

RUNS = 7
# Bytecode is cached, as in an installation; the first run writes the cache and is not counted.
ENVIRONMENT = {key: value for key, value in os.environ.items() if key != "PYTHONDONTWRITEBYTECODE"}


def measure_start(file: Path) -> tuple[float, int]:
    """Return the seconds until a placer listens and its resident KiB measure_start second later."""
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "sprucepost", "placer", str(file)],
        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, env=ENVIRONMENT,
    )  # fmt: skip
    assert process.stdout is not None
    process.stdout.readline()
    took = time.monotonic() - began
    time.sleep(1.0)
    status = Path(f"/proc/{process.pid}/status").read_text()
    process.kill()
    process.wait()
    return took, next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "placer.json"
        placer = {"number": 0, "instances": 1, "zone": "room-a", "list": "127.0.0.1:9"}
        file.write_text(json.dumps({"cluster": msgspec.to_builtins(cluster()), "placer": placer}))
        measure_start(file)
        runs = [measure_start(file) for _ in range(RUNS)]
    result = {
        "start_s": round(statistics.median(run[0] for run in runs), 3),
        "resident_mib": round(statistics.median(run[1] for run in runs) / 1024, 1),
    }
    Path("docs/results/idle.json").write_text(json.dumps(result, indent=1) + "\n")
    print(f"listens after {result['start_s']} s, {result['resident_mib']} MiB resident (medians of {RUNS})")


if __name__ == "__main__":
    main()
