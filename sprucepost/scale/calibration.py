"""Checks that hollow processes load real placers as real ones do: measures the same placers beside both."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import fmean, stdev

from msgspec import structs

from sprucepost.scale.results import Results
from sprucepost.scale.runner import ReportProgress, RunOptions, print_progress, sweep
from sprucepost.scale.size import RunSize

TOLERANCE = 0.1
"""Largest accepted difference, as a share of the figure beside real companions."""
FIGURES = (
    "cpu_percent",
    "cpu_percent.peers",
    "bytes_out_per_s",
    "bytes_in_per_s",
    "bytes_out_per_s.peers",
    "bytes_in_per_s.peers",
    "view_bytes_out_per_s",
    "view_bytes_in_per_s",
    "messages_out_per_s",
    "messages_in_per_s",
)
"""Figures that are compared."""


@dataclass(frozen=True)
class Agreement:
    """Comparison of one figure of the real placers, over all runs."""

    figure: str
    hollow: float
    """Mean beside hollow companions."""
    real: float
    spread: float
    """Standard deviation over the individual processes beside real companions."""

    @property
    def difference(self) -> float:
        """Difference of hollow from real, as a share of real."""
        if self.hollow == self.real:
            return 0.0
        return self.hollow / self.real - 1.0 if self.real else math.inf

    @property
    def agrees(self) -> bool:
        """Whether the difference is within :data:`TOLERANCE`."""
        return abs(self.difference) <= TOLERANCE

    def __str__(self) -> str:
        verdict = "agrees" if self.agrees else "does not agree"
        return (
            f"{self.figure}: {self.hollow:.3f} beside hollow, {self.real:.3f} (deviation {self.spread:.3f}) beside real, "
            f"{100 * self.difference:+.1f} %, {verdict}"
        )


def calibrate(
    size: RunSize, repeats: int, options: RunOptions, report_progress: ReportProgress = print_progress
) -> tuple[Results, Results]:
    """Measure beside hollow and beside real companions, alternating between them. Returns both results."""
    found: dict[bool, Results] = {}
    for repeat in range(repeats):
        for hollow in (True, False):
            fleet = replace(options.fleet, hollow=hollow)
            once = sweep({"placers": [size.placers]}, size, 1, replace(options, fleet=fleet), report_progress)
            before = found[hollow].points if hollow in found else ()
            points = tuple(structs.replace(point, repeat=repeat) for point in once.points)
            found[hollow] = structs.replace(once, points=before + points)
    return found[True], found[False]


def agreement(hollow: Results, real: Results) -> list[Agreement]:
    """Comparisons of the figures that both results contain."""
    agreements = []
    for figure in FIGURES:
        beside_hollow, beside_real = _values(hollow, figure), _values(real, figure)
        if beside_hollow and beside_real:
            spread = stdev(beside_real) if len(beside_real) > 1 else 0.0
            agreements.append(Agreement(figure, fmean(beside_hollow), fmean(beside_real), spread))
    return agreements


def _values(results: Results, figure: str) -> Sequence[float]:
    samples = [sample for point in results.points for sample in point.samples if sample.role == "placer"]
    return [sample.figures[figure] for sample in samples if figure in sample.figures]
