"""Change the configuration of placer processes: ``python -m benchmarks.configuration_fleet [SIZE ...]``.

Changes are made one after another, each at a random placer. The placers' own log lines (one host, one clock) show how long
a change takes to be in force at each other placer, counted from the first line of that change. CPU time and bytes for a
change are those of the phase with changes minus those of an idle phase of the same length. Writes
``docs/results/configuration-fleet.json``.
"""

from __future__ import annotations

import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.view_fleet import bytes_sent, cpu_s, wait_for_views
from sprucepost.cli.configuration import call_placer
from sprucepost.placer.configuration_service import PROPOSE_PATH
from sprucepost.settings import ConfigurationOptions
from sprucepost.settings.cluster import Tenant
from sprucepost.v1 import configuration_pb2 as pb
from tests.peers.fleet import Fleet

CHANGES = 40
CHANGE_INTERVAL_S = 1.0  # between two changes
LAST_CHANGE_WAIT_S = 10.0  # for the last change to reach all placers; log lines that are absent then count as missing
TENANTS = 230  # as in the two-year plan
OUT = Path("docs/results/configuration-fleet.json")


def propose(fleet: Fleet, number: int, key: str, value: float) -> bool:
    """Propose a change at a placer; return whether it was accepted."""
    edits = [pb.ConfigurationKeyEdit(key=key, value=json.dumps(value))]
    request = pb.ConfigurationProposal(edits=edits, author="benchmark").SerializeToString()
    receipt = pb.ConfigurationReceipt.FromString(call_placer(f"127.0.0.1:{fleet.ports[number]}", PROPOSE_PATH, request))
    if receipt.refusal:
        print(receipt.refusal, file=sys.stderr)
    return not receipt.refusal


def total_usage(fleet: Fleet) -> tuple[float, float]:
    """Return the CPU seconds and the bytes sent to other placers so far, summed over all placers."""
    cpu = sum(cpu_s(process.pid) for process in fleet.processes.values())
    return cpu, sum(bytes_sent(fleet, number) for number in fleet.processes)


def start_fleet(fleet: Fleet) -> None:
    """Start the placers; wait until all see each other and have the fleet's first change."""
    fleet.start(*range(fleet.size), deployment=deployment())
    wait_for_views(fleet, lambda shown: sum(m["condition"] == "here" for m in shown["members"]) == fleet.size, 180.0)
    for _ in range(60):
        if propose(fleet, 0, "cluster.max_attempts", 5):
            break
        time.sleep(1.0)
    fleet.wait(lambda: all(fleet.logged(number, "configuration") for number in fleet.processes), 60.0)


def deployment() -> dict[str, Any]:
    return {"tenants": [Tenant(f"team-{number}", 1.0, 100.0) for number in range(TENANTS)]}


def change(fleet: Fleet, rng: random.Random) -> int:
    """Make ``CHANGES`` changes one after another; return how many were accepted."""
    accepted = 0
    until = time.monotonic()
    for step in range(CHANGES):
        key = f"cluster.tenants[team-{rng.randrange(TENANTS)}].quota_cores"
        accepted += propose(fleet, rng.randrange(fleet.size), key, 200.0 + step)
        until += CHANGE_INTERVAL_S
        time.sleep(max(0.0, until - time.monotonic()))
    return accepted


def delays(fleet: Fleet) -> tuple[list[float], list[float], int]:
    """Return the delays per change and placer, the delays per change until all placers have it, and the missing log lines.

    Delays are in ms from the first log line of that change.
    """
    found: dict[tuple[int, str], list[float]] = {}  # concurrent changes may have the same number
    for number in fleet.processes:
        for line in fleet.logged(number, "configuration"):
            found.setdefault((line["number"], " ".join(line["keys"])), []).append(line["at_ms"])
    first = min(found)  # the fleet's first change is not counted
    each, whole, missing = [], [], 0
    for times in (times for number, times in found.items() if number != first):
        began = min(times)
        each += [at - began for at in sorted(times)[1:]]
        whole.append(max(times) - began)
        missing += fleet.size - len(times)
    return sorted(each), sorted(whole), missing


def quantile(ordered: list[float], share: float) -> float:
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1)


def play(size: int, folder: Path) -> dict[str, Any]:
    with Fleet(folder, size, f"fleet{size}", configuration=ConfigurationOptions()) as fleet:
        start_fleet(fleet)
        time.sleep(3.0)
        start = total_usage(fleet)
        time.sleep(CHANGES * CHANGE_INTERVAL_S)
        quiet = total_usage(fleet)
        accepted = change(fleet, random.Random(size))
        changed = total_usage(fleet)
        time.sleep(LAST_CHANGE_WAIT_S)
        each, whole, missing = delays(fleet)
    extra = [(changed[n] - quiet[n]) - (quiet[n] - start[n]) for n in range(2)]
    per = accepted * size
    return {
        "size": size, "changes": accepted, "missing": missing, "load_average": round(os.getloadavg()[0], 1),
        "in_force_ms": {"p50": quantile(each, 0.5), "p99": quantile(each, 0.99), "worst": round(each[-1], 1)},
        "in_force_at_all_ms": {"p50": quantile(whole, 0.5), "worst": round(whole[-1], 1)},
        "cpu_ms_for_change_and_placer": round(1000.0 * extra[0] / per, 2),
        "bytes_for_change_and_placer": round(extra[1] / per),
        "quiet_cpu_percent": round(100.0 * (quiet[0] - start[0]) / (CHANGES * CHANGE_INTERVAL_S) / size, 2),
        "quiet_bytes_per_s": round((quiet[1] - start[1]) / (CHANGES * CHANGE_INTERVAL_S) / size),
    }  # fmt: skip


def main() -> int:
    rows = []
    for size in [int(word) for word in sys.argv[1:]] or [24, 50]:
        with tempfile.TemporaryDirectory(prefix="sprucepost-configuration-") as folder:
            row = play(size, Path(folder))
        print(json.dumps(row), flush=True)
        rows.append(row)
    OUT.write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
