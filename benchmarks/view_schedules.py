"""Drawn schedules of the view, many at a time: ``python -m benchmarks.view_schedules FIRST COUNT [MOST] [JOBS]``.

MOST members at the most (30), JOBS processes (4). Prints each schedule that broke a promise, every hundred played, and
the sum; exit status 1 where one broke. The same seed plays the same schedule.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

from tests.view.schedules import problems


def play(drawn: tuple[int, int]) -> tuple[int, list[str]]:
    seed, members = drawn
    return seed, problems(seed, members)


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    most = int(sys.argv[3]) if len(sys.argv) > 3 else 30
    jobs = int(sys.argv[4]) if len(sys.argv) > 4 else 4
    bad = 0
    with ProcessPoolExecutor(jobs) as pool:
        drawn = [(seed, 3 + seed % (most - 2)) for seed in range(first, first + count)]
        for played, (seed, found) in enumerate(pool.map(play, drawn, chunksize=4), 1):
            if found:
                bad += 1
                print(f"{seed}: {found[0]}", flush=True)
            if played % 100 == 0:
                print(f"{played} played, {bad} bad", flush=True)
    print(f"{count} schedules of 3 to {most} members from {first}: {bad} bad")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
