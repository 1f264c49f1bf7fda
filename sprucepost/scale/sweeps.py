"""Sizes that are measured: the full sweep, whose results are kept, and the quick one, which is compared with them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict

from msgspec import structs

from sprucepost.scale.results import Results, ResultsError
from sprucepost.scale.runner import RunOptions, sweep
from sprucepost.scale.settings import FleetSize
from sprucepost.scale.size import RunSize

BASE = RunSize(workers=50)
"""1,600 cores, enough for the most tasks of the sweep: with 24 workers 1,200 tasks had to wait for each other."""
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
"""The largest of each is at least a quarter of the plan's, so that no prediction for the plan is marked as far."""
FULL_REPEATS = 3
QUICK: dict[str, tuple[float, ...]] = {"placers": (12, 24, 48), "workers": (100,)}
"""The variables that cost a placer most, up to the sizes that two minutes allow."""
QUICK_REPEATS = 1
CONCURRENT_FLEETS = 4
"""Fleets measured at the same time on eight cores; the same in both sweeps, so that processor times are comparable."""


def measure_full(variables: Sequence[str], repeats: int, plan: str, command: str) -> Results:
    """Vary these variables, or all if none is named.

    Raises ResultsError for an unknown variable, ScaleError if a run fails.
    """
    unknown = [name for name in variables if name not in FULL]
    if unknown:
        raise ResultsError(f"{unknown[0]}: none of {', '.join(FULL)}")
    return _measured({name: FULL[name] for name in variables or FULL}, repeats, plan, command)


def measure_at_plan(size: FleetSize, repeats: int, command: str) -> Results:
    """Measure the planned size itself, all variables at once.

    Raises ScaleError if the machine is too small or a run fails.
    """
    base = planned_size(size)
    return _measured({"placers": (size.placers,)}, repeats, size.name, command, base)


def planned_size(size: FleetSize) -> RunSize:
    """The size of a run that corresponds to the plan."""
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
    """Measure the quick sweep, which takes two minutes. Raises ScaleError if a run fails."""
    return _measured(QUICK, QUICK_REPEATS, plan, command)


def _measured(
    sizes: Mapping[str, Sequence[float]], repeats: int, plan: str, command: str, base: RunSize = BASE
) -> Results:
    concurrent_fleets = CONCURRENT_FLEETS if base == BASE else 1
    options = RunOptions(points_at_a_time=concurrent_fleets, plan=plan, command=command)
    found = sweep(sizes, base, repeats, options)
    kept_base = {name: float(value) for name, value in asdict(base).items()}
    return structs.replace(found, base=kept_base)


def merged_results(kept: Results, more: Results) -> Results:
    """The points of both results together. Raises ResultsError if version, base, plan or processors differ."""
    for name in ("version", "base", "plan", "processors"):
        one, other = getattr(kept, name), getattr(more, name)
        if one != other:
            raise ResultsError(
                f"{name}: {one} in the kept results, {other} in the new ones: they can't be put together"
            )
    return structs.replace(kept, points=kept.points + more.points)
