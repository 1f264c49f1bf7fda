"""Compare measured placers among hollow and among real peers: ``python -m benchmarks.scale_calibration [PLACERS]``.

Writes ``docs/results/scale-calibration-hollow.json`` and ``docs/results/scale-calibration-real.json``; exit status 1 if a
figure differs by more than a tenth.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path

from sprucepost.scale.calibration import agreement, calibrate
from sprucepost.scale.fleet import FleetOptions
from sprucepost.scale.processes import ScaleError
from sprucepost.scale.results import save
from sprucepost.scale.runner import RunOptions
from sprucepost.scale.size import RunSize

STARTS_PER_S_PER_PLACER = 0.2  # as in the plan: 65 starts a second for 350 placers
TASKS_PER_PLACER = 4
REAL_PLACERS = 8  # measured placers; several, since the random load of each differs much


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("placers", type=int, nargs="?", default=50)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0, help="of each measured interval")
    parser.add_argument("--folder", type=Path, default=Path("docs/results"))
    arguments = parser.parse_args()
    placers = arguments.placers
    size = replace(
        RunSize(),
        placers=placers,
        starts_per_s=STARTS_PER_S_PER_PLACER * placers,
        running_tasks=TASKS_PER_PLACER * placers,
    )
    command = f"python -m benchmarks.scale_calibration {' '.join(sys.argv[1:])}".strip()
    options = RunOptions(
        FleetOptions(real_placers=REAL_PLACERS, nodes=0),
        measure_s=arguments.seconds,
        settle_limit_s=180.0,
        plan="calibration",
        command=command,
    )
    began = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - began:6.1f} s  {text}", file=sys.stderr, flush=True)

    try:
        hollow, real = calibrate(size, arguments.repeats, options, print_progress)
    except ScaleError as error:
        print(f"scale: {error}", file=sys.stderr)
        return 2
    save(hollow, arguments.folder / "scale-calibration-hollow.json")
    save(real, arguments.folder / "scale-calibration-real.json")
    found = agreement(hollow, real)
    print("\n".join(map(str, found)))
    return 0 if all(each.agrees for each in found) else 1


if __name__ == "__main__":
    sys.exit(main())
