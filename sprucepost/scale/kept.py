"""Results stored in the repository: the ``scale*.json`` files of one folder, distinguished by file name."""

from __future__ import annotations

from pathlib import Path
from statistics import fmean

from msgspec import Struct, structs

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
    """One results file, with the fits derived from it."""

    file: str
    results: Results
    """Includes the sums that :func:`with_sums` adds."""
    slopes: Slopes

    def models(self) -> dict[tuple[str, str], Model]:
        """Models by role and figure."""
        return models(self.slopes, self.results.base)

    def predictions(self, target: Target) -> list[Prediction]:
        """Every figure of every role at the planned size."""
        return predictions(self.slopes, self.results.base, target)

    def roles(self) -> set[str]:
        """Roles of which the run has samples."""
        return {sample.role for point in self.results.points for sample in point.samples}


def means(results: Results) -> dict[tuple[str, str], float]:
    """Mean of each figure by role and figure, over all processes and runs."""
    values: dict[tuple[str, str], list[float]] = {}
    for point in results.points:
        for sample in point.samples:
            for figure, value in sample.figures.items():
                values.setdefault((sample.role, figure), []).append(value)
    return {key: fmean(each) for key, each in values.items()}


class Calibration(Struct, frozen=True):
    """Results of the same fleet beside hollow and beside real processes."""

    hollow: Results
    real: Results


class Kept(Struct, frozen=True):
    """All results in a folder."""

    runs: tuple[KeptRun, ...]
    state: StateFile | None
    calibration: Calibration | None
    at_plan: Results | None = None
    """A run at the planned size itself."""

    def predictions(self, run: KeptRun, target: Target) -> list[Prediction]:
        """Predictions of a run, with values measured at the planned size where that size matches the target."""
        found = run.predictions(target)
        if self.at_plan is None or any(self.at_plan.base.get(name) != size for name, size in target.sizes.items()):
            return found
        measured = means(self.at_plan)
        return [structs.replace(each, measured=measured.get((each.role, each.figure))) for each in found]

    def run_of(self, role: str) -> KeptRun | None:
        """The run that measured a role; the first by file name."""
        return next((run for run in self.runs if role in run.roles()), None)


def kept_run(path: Path) -> KeptRun:
    """Read one file and fit it. Raises ResultsError or FitsError."""
    results = with_sums(load(path))
    return KeptRun(path.name, results, slopes(results))


def read_kept(folder: Path) -> Kept:
    """Read all results in a folder. Raises ResultsError where it has none or one is unreadable, FitsError without numpy."""
    paths = sorted(folder.glob(RUN_PATTERN))
    if not paths:
        raise ResultsError(f"{folder}: no {RUN_PATTERN}")
    special_files = {STATE_FILE, AT_PLAN_FILE, *CALIBRATION_FILES}
    runs = tuple(kept_run(path) for path in paths if path.name not in special_files)
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
    """Compare new results with the predictions of every kept run.

    Processor times are compared as measured, so on a machine of a different speed these comparisons do not hold.
    """
    return [each for run in kept.runs for each in comparisons(run.models(), measured)]
