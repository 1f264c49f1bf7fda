"""The size of one run, which determines the processes that the runner starts."""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0


@dataclass(frozen=True)
class RunSize:
    """Size of the fleet and of its load. Rates are those of the whole fleet."""

    placers: int = 24
    """Members of the view, including the real placers."""
    workers: int = 24
    teams: int = 4
    running_tasks: int = 96
    starts_per_s: float = 4.0
    changes_per_day: float = 0.0
    """Changes of configuration, each applied at every placer."""
    restarts_per_day: float = 0.0
    """Workers that are restarted or replaced."""
    regions: int = 1
    zones: int = 5
    """Zones of all regions together, assigned to the regions in turn."""

    def __post_init__(self) -> None:
        """Raise ValueError for an invalid size."""
        for name in ("placers", "workers", "teams", "regions", "zones"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for name in ("running_tasks", "starts_per_s", "changes_per_day", "restarts_per_day"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if self.running_tasks and not self.starts_per_s:
            raise ValueError("running_tasks: without starts no task is ever running")

    @property
    def life_s(self) -> float:
        """Mean run time of a task in s at which as many tasks end as start."""
        return self.running_tasks / self.starts_per_s if self.starts_per_s else 0.0


VARIABLES = tuple(name for name in RunSize.__dataclass_fields__ if name != "zones")
"""Variables that a sweep may vary."""
