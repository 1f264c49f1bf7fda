"""Which sizes are measured: the full sweep that results are kept of, and the quick one that is held against them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict

from msgspec import structs

from sprucepost.scale.results import Results, ResultsError
from sprucepost.scale.runner import RunOptions, sweep
from sprucepost.scale.settings import FleetSize
from sprucepost.scale.size import RunSize

BASE = RunSize(workers=50)
"""With room for the most tasks that are moved to: 1,600 cores; at 24 workers 1,200 tasks had to wait for each other."""
FULL: dict[str, tuple[float, ...]] = {
    "placers": (12, 24, 48, 96),
    "workers": (24, 50, 100, 250),
    "teams": (4, 16, 32, 64),
    "running_tasks": (96, 300, 600, 1200),
    "starts_per_s": (2, 4, 8, 17),
    "changes_per_day": (0, 160, 320, 640),
    "restarts_per_day": (0, 90, 185, 370),
    "regions": (1, 2, 3, 4),
}
"""The largest of each is at least a quarter of the plan's, so that no prediction for the plan needs a mark."""
FULL_REPEATS = 3
QUICK: dict[str, tuple[float, ...]] = {"placers": (12, 24, 48), "workers": (100,)}
"""Those that cost a placer most, up to what two minutes allow."""
QUICK_REPEATS = 1
FLEETS_AT_A_TIME = 4
"""Beside each other on eight cores; the same in both sweeps, so that processor times can be compared."""


def measure_full(variables: Sequence[str], repeats: int, plan: str, command: str) -> Results:
    """Move these variables, all where none is named. ResultsError for an unknown one, ScaleError where a run fails."""
    unknown = [name for name in variables if name not in FULL]
    if unknown:
        raise ResultsError(f"{unknown[0]}: none of {', '.join(FULL)}")
    return _measured({name: FULL[name] for name in variables or FULL}, repeats, plan, command)


def measure_at_plan(size: FleetSize, repeats: int, command: str) -> Results:
    """The planned size itself, all variables at once. ScaleError where the machine can't hold it or a run fails."""
    base = planned_size(size)
    return _measured({"placers": (size.placers,)}, repeats, size.name, command, base)


def planned_size(size: FleetSize) -> RunSize:
    """The plan as the size of a run."""
    return RunSize(
        placers=size.placers,
        workers=size.workers,
        teams=size.teams.count,
        running_tasks=size.work.running_tasks,
        starts_per_s=size.work.peak_starts_per_s,
        changes_per_day=float(size.changes.per_day),
        restarts_per_day=size.disruptions.restarts_per_day,
        regions=len(size.regions),
        zones=len(size.zones),
    )


def measure_quick(plan: str, command: str) -> Results:
    """The sweep of two minutes. ScaleError where a run fails."""
    return _measured(QUICK, QUICK_REPEATS, plan, command)


def _measured(
    sizes: Mapping[str, Sequence[float]], repeats: int, plan: str, command: str, base: RunSize = BASE
) -> Results:
    at_a_time = FLEETS_AT_A_TIME if base == BASE else 1
    options = RunOptions(points_at_a_time=at_a_time, plan=plan, command=command)
    found = sweep(sizes, base, repeats, options)
    kept_base = {name: float(value) for name, value in asdict(base).items()}
    return structs.replace(found, base=kept_base)


def merged_results(kept: Results, more: Results) -> Results:
    """Both sets of points in one. ResultsError where they are not of one version, base and plan."""
    for name in ("version", "base", "plan", "processors"):
        one, other = getattr(kept, name), getattr(more, name)
        if one != other:
            raise ResultsError(
                f"{name}: {one} in the kept results, {other} in the new ones: they can't be put together"
            )
    return structs.replace(kept, points=kept.points + more.points)
