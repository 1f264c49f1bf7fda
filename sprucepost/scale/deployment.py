"""The deployment that all processes of a run share: zones, machine kind, classes of tasks, teams."""

from __future__ import annotations

from typing import Any

from sprucepost.scale.size import RunSize
from sprucepost.settings import Cluster
from sprucepost.settings.cluster import Kind, TaskClass, Tenant

KIND = "standard"
CORES, MEMORY = 32.0, 64.0
RACK_WORKERS = 40
TASK_CORES, TASK_MEMORY = 1.0, 2.0
CLASS_SHARES = {"urgent": 0.1, "keyed": 0.2, "ordinary": 0.7}
"""Share of all submitted tasks by class."""


def zone_names(size: RunSize) -> list[str]:
    """Names of the zones, assigned to the regions in turn; there is at least one zone per region."""
    return [f"region{n % size.regions}-zone{n}" for n in range(max(size.zones, size.regions))]


def team_shares(teams: int) -> dict[str, float]:
    """Share of all tasks by team: the n-th team submits 1/n of the first team's tasks (Zipf). Shares add up to 1."""
    weights = [1.0 / (n + 1) for n in range(teams)]
    return {f"team{n}": weight / sum(weights) for n, weight in enumerate(weights)}


def cluster(size: RunSize) -> Cluster:
    """Cluster settings of every placer, machine and client of a run."""
    return Cluster(
        zones=zone_names(size),
        kinds=[Kind(KIND, CORES, MEMORY)],
        classes=[
            TaskClass("urgent", aim_ms=2300.0, deadline_ms=5000.0, effect="safe", worth=9.0, priority=3),
            TaskClass("keyed", aim_ms=5000.0, deadline_ms=10_000.0, effect="keyed", worth=3.0, window_ms=5000.0),
            TaskClass("ordinary", aim_ms=5000.0, deadline_ms=10_000.0, effect="safe", worth=1.0),
        ],
        max_attempts=3,
        accepts_cores=1.5,
        accepts_memory=1.5,
        cold_bears=12.0,
        fall_ms=2000.0,
        warm_after_ms=15_000.0,
        drain_grace_ms=1000.0,
        list_ask_every_ms=10_000.0,
        tenants=[Tenant(name, share) for name, share in team_shares(size.teams).items()],
        max_retry_after_ms=3000.0,
        report_counts="asked",
    )


def worker_models(size: RunSize) -> list[dict[str, Any]]:
    """Fields of ``standin.machine_types.MachineModel`` for each worker; zones take turns, racks fill in order."""
    zones, models = zone_names(size), []
    for number in range(size.workers):
        zone = zones[number % len(zones)]
        rack = number // len(zones) // RACK_WORKERS
        models.append(
            {
                "name": f"worker{number}",
                "kind": KIND,
                "zone": zone,
                "cell": f"{zone}-rack{rack}",
                "cores": CORES,
                "memory": MEMORY,
                "report_counts": "asked",
            }
        )
    return models
