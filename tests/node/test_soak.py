"""A short soak, and defects that it must find; :mod:`tests.node.soak` plays more by hand."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SECONDS = 6
AT_ONCE = 4  # soaks side by side: each uses a fifth of a core and waits for most of its time
SEEDS_EACH = 2  # for a defect: load and answers depend on timing, so that one seed may pass it by
FOUND_BY = {  # the first of them
    "a release is not sent": 1,
    "an answer is sent twice": 2,
    "a cancelled task runs on": 3,
    "a host's restart ends no task": 1,
    "a host's message is ignored": 3,
    "shutdown does not happen": 2,
}


def soak(seed: int, defect: str = "") -> tuple[int, str]:
    """The exit status, 1 where somebody was not given what was owed, and what was printed."""
    seeds = SEEDS_EACH if defect else 1
    done = subprocess.run(
        [sys.executable, "-m", "tests.node.soak", str(seed), str(seed + seeds), str(SECONDS), defect],
        cwd=ROOT, capture_output=True, text=True, check=False, timeout=120,
    )  # fmt: skip
    return done.returncode, done.stdout + done.stderr


# Guards against whatever several faults at once do: system calls, clock, hosts, list, signals and owners.
def test_under_drawn_faults_everybody_gets_what_is_owed() -> None:
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for status, text in pool.map(soak, (1, 2, 3, 4)):
            assert status == 0, text


# Guards against a soak that sees nothing.
def test_planted_defects_are_found() -> None:
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for status, text in pool.map(soak, FOUND_BY.values(), FOUND_BY):
            assert status == 1 and "\nbad " in text, text
