"""Converts the planned fleet size to a prediction target: sizes by variable name, budgets by figure."""

from __future__ import annotations

from sprucepost.scale.predictions import BYTES_CONTROL, CPU_CONTROL, Target
from sprucepost.scale.settings import FleetSize


def target_of(size: FleetSize) -> Target:
    """The prediction target of a fleet size."""
    return Target(
        size.name,
        {
            "workers": float(size.workers),
            "placers": float(size.placers),
            "teams": float(size.teams.count),
            "running_tasks": float(size.work.running_tasks),
            "starts_per_s": size.work.peak_starts_per_s,
            "changes_per_day": float(size.changes.per_day),
            "restarts_per_day": size.disruptions.restarts_per_day,
            "regions": float(len(size.regions)),
        },
        {
            CPU_CONTROL: size.budgets.cpu_percent,
            "memory_mib": size.budgets.memory_mib,
            BYTES_CONTROL: size.budgets.bytes_per_s,
        },
    )
