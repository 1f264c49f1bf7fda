"""Short soak runs without and with planted defects; :mod:`tests.node.soak` can be run by hand for longer."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
DURATION_S = 6
PARALLEL_RUNS = 4  # each uses a fifth of a core and waits for most of its time
SEEDS_PER_DEFECT = 2  # load and answers depend on timing, so one seed may miss a defect
FIRST_SEED_BY_DEFECT = {  # the first of the seeds run for each planted defect
    "a release is not sent": 1,
    "an answer is sent twice": 2,
    "a cancelled task runs on": 3,
    "a host's restart ends no task": 1,
    "a host's message is ignored": 3,
    "shutdown does not happen": 2,
}


def run_soak(seed: int, defect: str = "") -> tuple[int, str]:
    """Run one soak as a process; return its exit status, which is 1 on any violation, and its output."""
    seed_count = SEEDS_PER_DEFECT if defect else 1
    completed = subprocess.run(
        [sys.executable, "-m", "tests.node.soak", str(seed), str(seed + seed_count), str(DURATION_S), defect],
        cwd=ROOT, capture_output=True, text=True, check=False, timeout=120,
    )  # fmt: skip
    return completed.returncode, completed.stdout + completed.stderr


# Guards against failures under combined faults of system calls, clock, hosts, bulletin, signals and owners.
def test_owners_and_hosts_get_everything_due_under_random_faults() -> None:
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for status, text in pool.map(run_soak, (1, 2, 3, 4)):
            assert status == 0, text


# Guards against a soak that detects nothing.
def test_planted_defects_are_found() -> None:
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for status, text in pool.map(run_soak, FIRST_SEED_BY_DEFECT.values(), FIRST_SEED_BY_DEFECT):
            assert status == 1 and "\nbad " in text, text
