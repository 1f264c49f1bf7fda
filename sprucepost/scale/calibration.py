"""Whether hollow companions load a real neighbour as real ones do: the same placers measured beside both."""

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
"""Of a figure beside real companions."""
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
"""What is compared."""


@dataclass(frozen=True)
class Agreement:
    """One figure of the real neighbours, over all runs."""

    figure: str
    hollow: float
    """Mean beside hollow companions."""
    real: float
    spread: float
    """Standard deviation of the single processes beside real companions."""

    @property
    def difference(self) -> float:
        """Of hollow from real, as a share of real."""
        if self.hollow == self.real:
            return 0.0
        return self.hollow / self.real - 1.0 if self.real else math.inf

    @property
    def agrees(self) -> bool:
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
    """Results beside hollow and beside real companions, one run of each after the other."""
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
    """The figures that both have measured."""
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
