"""Count what a fleet sends to cold machines: ``python -m benchmarks.cold_starts [NAME] [SIZE ...] [--starts N]``.

For each condition, fleet size and allowance: the starts' worst windows of ``fall`` (mean, 99.9th percentile, worst) against
the bound up to which an excess is attributed to chance, and the mean share of the allowance that was used. Runs the real
decision module in virtual time. Adds its rows under NAME (``after``) to ``docs/results/cold-starts.json``.
"""

from __future__ import annotations

import argparse
import json
import os
from concurrent.futures import Executor, ProcessPoolExecutor
from dataclasses import asdict, replace
from functools import partial
from pathlib import Path

from sprucepost.simulation.cold_conditions import (
    ColdStart,
    Conditions,
    Delays,
    Demand,
    Discovery,
    Restarts,
    Summary,
    summarise,
)
from sprucepost.simulation.cold_starts import FleetSimulation

RESULTS = Path("docs/results/cold-starts.json")
SIZES = (16, 24, 32)
SMALL_ALLOWANCE = 12.0  # as in the existing small deployments
LARGE_ALLOWANCES = {16: 166.0}  # as in the deployment with 16 processes; other sizes take three per process
STARTS = 1000

USUAL_TRAFFIC = Demand(load=1.0)
BUSY_LOOPS = Delays(write_ms=(0.0, 60.0))
BASE = Conditions(SIZES[0], SMALL_ALLOWANCE)
CONDITIONS: dict[str, Conditions] = {
    "shares rounded, tasks waiting everywhere": BASE,
    "all told in one tick": replace(BASE, discovery=Discovery(together=True)),
    "clocks 50 ms apart, tasks waiting": replace(BASE, skew_ms=50.0),
    "clocks 50 ms apart, usual traffic, busy loops": replace(
        BASE, skew_ms=50.0, demand=USUAL_TRAFFIC, delays=BUSY_LOOPS
    ),
    "uneven traffic": replace(BASE, demand=Demand(load=1.0, skew_exponent=1.0)),
    "a burst, eightfold": replace(BASE, demand=Demand(load=0.5, burst_factor=8.0)),
    "written up to 60 ms late": replace(BASE, delays=BUSY_LOOPS),
    "half of the loops stop, 0.1 to 2 s": replace(
        BASE, delays=replace(BUSY_LOOPS, stop_share=0.5, stop_ms=(100.0, 2000.0))
    ),
    "3 in 10 dials up to 1 s late": replace(BASE, delays=Delays(late_dial_share=0.3)),
    "all dials up to 1 s late, told in one tick": replace(
        BASE, delays=Delays(late_dial_share=1.0), discovery=Discovery(together=True)
    ),
    "all dials up to 1 s late, usual traffic": replace(BASE, delays=Delays(late_dial_share=1.0), demand=USUAL_TRAFFIC),
    "7 in 10 restarted": replace(BASE, restarts=Restarts(0.7)),
    "1 in 10 restarted, old life beside the new for 3 s": replace(BASE, restarts=Restarts(0.1, overlap_ms=3000.0)),
    "half live": replace(BASE, live_share=0.5),
    "half live, each restarted twice": replace(BASE, live_share=0.5, restarts=Restarts(1.0, times=2)),
    "started again within the ramp": replace(BASE, machine_restarts=True),
    "address taken by another within the ramp": replace(BASE, address_reused=True),
    "fleet grows by half": replace(BASE, growth=1.5),
    "told 0 to 3 s late": replace(BASE, discovery=Discovery((0.0, 3000.0))),
    "told out of order: there, gone, there": replace(BASE, discovery=Discovery(out_of_order_share=1.0)),
    "known machine, told 0 to 0.2 s late, usual traffic": replace(
        BASE, discovery=Discovery(known_before=True), demand=USUAL_TRAFFIC
    ),
    "known machine, told 0 to 3 s late, usual traffic": replace(
        BASE, discovery=Discovery((0.0, 3000.0), known_before=True), demand=USUAL_TRAFFIC
    ),
    "answers after 0.2 to 2 s": replace(BASE, delays=Delays(answer_ms=(200.0, 2000.0))),
    "much at once": replace(
        BASE,
        skew_ms=50.0,
        demand=Demand(load=1.0, skew_exponent=0.5, burst_factor=4.0),
        delays=replace(BUSY_LOOPS, late_dial_share=0.3, stop_share=0.2, stop_ms=(100.0, 1000.0)),
        restarts=Restarts(0.3),
        discovery=Discovery(out_of_order_share=0.3),
    ),
}


def allowances(size: int) -> tuple[float, ...]:
    """Return allowances smaller than, equal to and larger than the fleet."""
    return SMALL_ALLOWANCE, float(size), LARGE_ALLOWANCES.get(size, 3.0 * size)


def play(conditions: Conditions, seed: int) -> list[ColdStart]:
    return FleetSimulation(conditions, seed).simulate()


def measure(pool: Executor, conditions: Conditions, starts: int) -> Summary:
    """Simulate at least ``starts`` random starts and summarise them."""
    plays = -(-starts // conditions.machines)
    groups = pool.map(partial(play, conditions), range(1, plays + 1), chunksize=5)
    return summarise([start for group in groups for start in group], conditions.bound)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", default="after")
    parser.add_argument("sizes", nargs="*", type=int, default=list(SIZES))
    parser.add_argument("--starts", type=int, default=STARTS)
    parser.add_argument(
        "--only", action="append", help="part of a condition's name; may be repeated to match any of several"
    )
    parser.add_argument("--allowance", type=float, help="only this allowance")
    parser.add_argument("--workers", type=int, default=len(os.sched_getaffinity(0)))
    arguments = parser.parse_args()
    parts = arguments.only or [""]
    wanted = {name: found for name, found in CONDITIONS.items() if any(part in name for part in parts)}
    with ProcessPoolExecutor(arguments.workers) as pool:
        for size in arguments.sizes:
            for allowance in [arguments.allowance] if arguments.allowance else allowances(size):
                for name, conditions in wanted.items():
                    found = measure(pool, replace(conditions, size=size, cold_limit=allowance), arguments.starts)
                    print(f"{size:3} {allowance:4.0f} {name:52} {found}", flush=True)
                    save_row(arguments.name, f"{size} processes, {allowance:.0f} borne", name, found)
    return 0


def save_row(label: str, setting: str, condition: str, found: Summary) -> None:
    """Add the row to the results file and keep the other rows."""
    rows = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    rows.setdefault(label, {}).setdefault(setting, {})[condition] = asdict(found)
    RESULTS.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    raise SystemExit(main())
