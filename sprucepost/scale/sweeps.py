"""Which sizes are measured: the full sweep that results are kept of, and the quick one that is held against them."""

from __future__ import annotations

from sprucepost.scale.results import Results, ResultsError

REPEATS = 3
FULL: dict[str, tuple[float, ...]] = {
    "placers": (12, 24, 48, 96),
    "workers": (24, 50, 100, 250),
    "teams": (4, 16, 32, 64),
    "running_tasks": (96, 300, 600, 1200),
    "starts_per_s": (2, 4, 8, 17),
    "changes_per_day": (0, 160, 320, 640),
    "restarts_per_day": (0, 93, 185, 370),
    "regions": (1, 2, 3, 4),
}
"""The largest of each is at least a quarter of the plan's, so that no prediction for the plan needs a mark."""
QUICK: dict[str, tuple[float, ...]] = {"placers": (12, 24, 48), "workers": (50,)}


def measured(quick: bool, command: str) -> Results:
    """Run a sweep. ResultsError: this version has no processes to run yet."""
    raise ResultsError(f"{command}: this version can't start processes yet")
