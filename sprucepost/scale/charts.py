"""Charts of measured figures and their fits, with tables, as one HTML page."""

from __future__ import annotations

from typing import Any

from sprucepost.plotting import COLOURS, html_page, html_table, pyplot, svg_element
from sprucepost.scale.fits import Slope
from sprucepost.scale.kept import KeptRun
from sprucepost.scale.predictions import Target
from sprucepost.scale.tables import BUDGETED, Table, figure_name

CURVE_POINTS = 60
COLUMNS = 3


def report(run: KeptRun, target: Target, tables: list[Table]) -> str:
    """HTML page of one run. Raises ChartsUnavailable where matplotlib is missing."""
    parts = [svg_element(_figure(slopes, target)) for slopes in _by_figure(run) if slopes]
    parts += [f"<h2>{table.name}</h2>" + html_table(table.head, table.rows) for table in tables if table.rows]
    return html_page(f"sprucepost scale, {run.results.version}", "".join(parts))


def _by_figure(run: KeptRun) -> list[list[Slope]]:
    roles = sorted({slope.role for slope in run.slopes.fitted})
    return [run.slopes.of(role, figure) for role in roles for figure in BUDGETED]


def _figure(slopes: list[Slope], target: Target) -> Any:
    """One chart per variable: runs as dots, the fit as a line up to the planned size, the budget as a dotted line."""
    rows = -(-len(slopes) // COLUMNS)
    figure, axes = pyplot().subplots(rows, COLUMNS, figsize=(12, 3.2 * rows), squeeze=False)
    for each, slope in zip(axes.flat, slopes, strict=False):
        _chart(each, slope, target)
    for unused in list(axes.flat)[len(slopes) :]:
        unused.set_visible(False)
    figure.suptitle(f"{slopes[0].role}: {figure_name(slopes[0].figure)}")
    figure.tight_layout()
    return figure


def _chart(axes: Any, slope: Slope, target: Target) -> None:
    largest = max(slope.largest, target.sizes.get(slope.variable, 0.0))
    sizes = [largest * n / CURVE_POINTS for n in range(CURVE_POINTS + 1)]
    axes.plot(
        [each.size for each in slope.observations], [each.value for each in slope.observations], "o", color=COLOURS[0]
    )
    axes.plot(sizes, [slope.fit.at(size) for size in sizes], color=COLOURS[1], label=str(slope.fit.shape.value))
    if slope.role in target.budgeted and slope.figure in target.budget:
        axes.axhline(target.budget[slope.figure], color="black", ls=":", label="budget")
    axes.set_xlabel(slope.variable)
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right", fontsize="small")
