"""Sweep variables of the scale run and keep the results: ``python -m benchmarks.scale_sweep placers=12,24,48,96 [...]``."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from sprucepost.scale.fleet import FleetOptions
from sprucepost.scale.processes import ScaleError
from sprucepost.scale.results import save
from sprucepost.scale.runner import RunOptions, size_with, sweep
from sprucepost.scale.size import RunSize


def parse_sizes(text: str) -> tuple[str, list[float]]:
    """Parse ``NAME=SIZE,SIZE``."""
    name, _, values = text.partition("=")
    return name, [float(value) for value in values.split(",")]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("variables", nargs="+", type=parse_sizes, metavar="NAME=SIZE,SIZE")
    parser.add_argument(
        "--at",
        nargs="*",
        default=[],
        type=parse_sizes,
        metavar="NAME=SIZE",
        help="the other variables; by default those of RunSize",
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--at-a-time", type=int, default=4, help="points measured concurrently")
    parser.add_argument("--seconds", type=float, default=6.0, help="of each measured interval")
    parser.add_argument("--settle", type=float, default=120.0, help="maximum seconds until a fleet is settled")
    parser.add_argument("--real", action="store_true", help="real peers instead of hollow ones")
    parser.add_argument("--out", type=Path, required=True)
    arguments = parser.parse_args()
    command = f"python -m benchmarks.scale_sweep {' '.join(sys.argv[1:])}"
    options = RunOptions(
        fleet=FleetOptions(hollow=not arguments.real),
        measure_s=arguments.seconds,
        settle_limit_s=arguments.settle,
        points_at_a_time=arguments.at_a_time,
        command=command,
    )
    began = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - began:6.1f} s  {text}", file=sys.stderr, flush=True)

    try:
        base = RunSize()
        for name, (size, *_) in arguments.at:
            base = size_with(base, name, size)
        save(sweep(dict(arguments.variables), base, arguments.repeats, options, print_progress), arguments.out)
    except ScaleError as error:
        print(f"scale: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
