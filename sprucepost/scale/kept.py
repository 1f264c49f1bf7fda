"""The results that a checkout keeps: ``scale*.json`` in one folder, told apart by their names."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct

from sprucepost.scale.fits import Slopes, slopes
from sprucepost.scale.predictions import (
    Comparison,
    Model,
    Prediction,
    Target,
    comparisons,
    models,
    predictions,
    with_sums,
)
from sprucepost.scale.results import Results, ResultsError, load
from sprucepost.scale.state import StateFile, load_state

STATE_FILE = "scale-state.json"
CALIBRATION_FILES = ("scale-calibration-hollow.json", "scale-calibration-real.json")
AT_PLAN_FILE = "scale-at-plan.json"
RUN_PATTERN = "scale*.json"


class KeptRun(Struct, frozen=True):
    """One file of results and what follows from it."""

    file: str
    results: Results
    """With the sums."""
    slopes: Slopes

    def models(self) -> dict[tuple[str, str], Model]:
        """By role and figure."""
        return models(self.slopes, self.results.base)

    def predictions(self, target: Target) -> list[Prediction]:
        """Every figure of every role at the planned size."""
        return predictions(self.slopes, self.results.base, target)

    def roles(self) -> set[str]:
        """Roles that it has samples of."""
        return {sample.role for point in self.results.points for sample in point.samples}


class Calibration(Struct, frozen=True):
    """The same fleet with hollow and with real companions."""

    hollow: Results
    real: Results


class Kept(Struct, frozen=True):
    """All of a folder."""

    runs: tuple[KeptRun, ...]
    state: StateFile | None
    calibration: Calibration | None
    at_plan: Results | None = None
    """A run at the planned size itself."""

    def run_of(self, role: str) -> KeptRun | None:
        """The run that measured a role; the first by its file's name."""
        return next((run for run in self.runs if role in run.roles()), None)


def kept_run(path: Path) -> KeptRun:
    """Read one file and fit it. ResultsError, FitsError."""
    results = with_sums(load(path))
    return KeptRun(path.name, results, slopes(results))


def read_kept(folder: Path) -> Kept:
    """Read all of a folder. ResultsError where there is nothing or a file cannot be read; FitsError without numpy."""
    paths = sorted(folder.glob(RUN_PATTERN))
    if not paths:
        raise ResultsError(f"{folder}: no {RUN_PATTERN}")
    apart = {STATE_FILE, AT_PLAN_FILE, *CALIBRATION_FILES}
    runs = tuple(kept_run(path) for path in paths if path.name not in apart)
    state = folder / STATE_FILE
    hollow, real = (folder / name for name in CALIBRATION_FILES)
    at_plan = folder / AT_PLAN_FILE
    both = hollow.exists() and real.exists()
    return Kept(
        runs,
        load_state(state) if state.exists() else None,
        Calibration(with_sums(load(hollow)), with_sums(load(real))) if both else None,
        with_sums(load(at_plan)) if at_plan.exists() else None,
    )


def compared(kept: Kept, measured: Results) -> list[Comparison]:
    """New results beside the predictions of every kept run; processor times by both machines' reference work."""
    found = []
    for run in kept.runs:
        both = run.results.reference_ms and measured.reference_ms
        speed = measured.reference_ms / run.results.reference_ms if both else 1.0
        found += comparisons(run.models(), measured, speed)
    return found
