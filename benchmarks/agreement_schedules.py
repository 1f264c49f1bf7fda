"""Drawn schedules of Raft servers, many at a time: ``python -m benchmarks.agreement_schedules FIRST COUNT [JOBS]``.

Prints each schedule that broke an invariant and the sum, with what was done in all of them; exit status 1 where one broke.
The same seed plays the same schedule.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from tests.agreement.schedules import play


def one(seed: int) -> tuple[int, list[str], dict[str, int]]:
    try:
        cluster = play(seed)
    except AssertionError as error:  # the server's own
        return seed, [f"AssertionError: {error}"], {}
    return seed, cluster.violations, cluster.counts


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else 4
    began, bad, done = time.monotonic(), 0, Counter[str]()
    with ProcessPoolExecutor(jobs) as pool:
        for seed, found, counts in pool.map(one, range(first, first + count), chunksize=50):
            done.update(counts)
            if found:
                bad += 1
                print(f"{seed}: {found[0]}", flush=True)
    took = time.monotonic() - began
    print(f"{count} schedules from {first}, {jobs} at a time, {took:.0f} s: {bad} bad; {dict(done)}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
