"""Play random schedules of the membership view in parallel.

``python -m benchmarks.view_schedules FIRST COUNT [MOST] [JOBS]``: a schedule has at most MOST members (30), and JOBS
processes (4) run. Prints each schedule that broke a guarantee, the progress after every hundred, and a summary; exit status
1 if a guarantee was broken. The same seed plays the same schedule.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

from tests.view.schedules import problems


def play(schedule_sizes: tuple[int, int]) -> tuple[int, list[str]]:
    seed, members = schedule_sizes
    return seed, problems(seed, members)


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    max_members = int(sys.argv[3]) if len(sys.argv) > 3 else 30
    jobs = int(sys.argv[4]) if len(sys.argv) > 4 else 4
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        schedule_sizes = [(seed, 3 + seed % (max_members - 2)) for seed in range(first, first + count)]
        for played, (seed, found) in enumerate(pool.map(play, schedule_sizes, chunksize=4), 1):
            if found:
                failed += 1
                print(f"{seed}: {found[0]}", flush=True)
            if played % 100 == 0:
                print(f"{played} played, {failed} failed", flush=True)
    print(f"{count} schedules of 3 to {max_members} members from {first}: {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
