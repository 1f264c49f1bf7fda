"""Play random schedules of Raft servers in parallel: ``python -m benchmarks.agreement_schedules FIRST COUNT [JOBS]``.

Prints each schedule that broke an invariant and a summary with counts of the events in all schedules; exit status 1 if
an invariant was broken. The same seed plays the same schedule.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from tests.agreement.schedules import play


def play_one(seed: int) -> tuple[int, list[str], dict[str, int]]:
    try:
        cluster = play(seed)
    except AssertionError as error:  # an assertion inside the server
        return seed, [f"AssertionError: {error}"], {}
    return seed, cluster.violations, cluster.counts


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else 4
    began, failed, events = time.monotonic(), 0, Counter[str]()
    with ProcessPoolExecutor(jobs) as pool:
        for seed, violations, counts in pool.map(play_one, range(first, first + count), chunksize=50):
            events.update(counts)
            if violations:
                failed += 1
                print(f"{seed}: {violations[0]}", flush=True)
    took = time.monotonic() - began
    print(f"{count} schedules from {first}, {jobs} at a time, {took:.0f} s: {failed} failed; {dict(events)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
