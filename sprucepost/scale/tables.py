"""Tables of scale results for a terminal and for ``docs/CAPACITY.md``. Missing measurements are marked as such."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import median

from msgspec import Struct

from sprucepost.scale.calibration import agreement
from sprucepost.scale.fits import Shape, Slope
from sprucepost.scale.kept import Calibration, Kept, KeptRun, means
from sprucepost.scale.predictions import (
    BYTES_CONTROL,
    CPU_CONTROL,
    Comparison,
    Limit,
    Model,
    Prediction,
    Target,
)
from sprucepost.scale.results import Point, Results
from sprucepost.scale.roles import ROLES, Role
from sprucepost.scale.state import StateEntry

NOT_MEASURED = "not measured"
COMMAND_COLUMN = "command"
SHARE_SHOWN = 0.05
"""Share of a figure at the plan below which a variable's contribution is left out of the growth table."""
FLEET_TIMES = ("start_p99_ms", "start_worst_ms", "change_in_force")
"""Name prefixes of the fleet's figures that are times."""
BUDGETED = (CPU_CONTROL, "memory_mib", BYTES_CONTROL)
WHOLE = ("cpu_percent", "bytes_per_s")
"""Totals of which the budgeted figures are parts."""


class Table(Struct, frozen=True):
    """Rows of text; ``name`` is the name in the table's markers on the page."""

    name: str
    head: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def all_tables(kept: Kept, target: Target) -> list[Table]:
    """All tables of the page that follow from kept results, in page order."""
    tables = [
        roles_table(kept, target),
        budgets_table(kept, target),
        state_table(kept, target),
        growth_table(kept, target),
        errors_table(kept),
        starts_table(kept),
    ]
    if kept.at_plan is not None:
        tables.append(at_plan_table(kept, kept.at_plan))
    if kept.calibration is not None:
        tables.append(calibration_table(kept.calibration))
    return tables


# What a role costs


def roles_table(kept: Kept, target: Target) -> Table:
    """A row for each role at the planned size."""
    head = (
        "role", "CPU, % of a core", "memory, MiB", "bytes/s", "messages/s", "least headroom", "first breaks at",
        "carried by", COMMAND_COLUMN,
    )  # fmt: skip
    return Table("roles", head, tuple(_role_row(role, kept, target) for role in ROLES))


def _role_row(role: Role, kept: Kept, target: Target) -> tuple[str, ...]:
    run = kept.run_of(role.samples) if role.samples else None
    found = {each.figure: each for each in kept.predictions(run, target) if each.role == role.samples} if run else {}
    cells = [_at_plan(found.get(figure)) if figure else _absent(role) for figure in role.figures]
    budgeted = [each for each in found.values() if each.budget is not None] if role.judged else []
    return (
        role.name,
        *cells,
        _least_headroom(budgeted),
        _first_break(budgeted),
        ", ".join(f"`{module}`" for module in role.mechanism),
        _command(kept, run, found.values()) if run else _without_command(role),
    )


def _command(kept: Kept, run: KeptRun, shown: Iterable[Prediction]) -> str:
    """Commands that produced a row: the sweep, and the run at the planned size where it measured some of the row."""
    both = kept.at_plan is not None and any(each.measured is not None for each in shown)
    return f"`{run.results.command}`" + (f", `{kept.at_plan.command}`" if both and kept.at_plan else "")


def _absent(role: Role) -> str:
    return "-" if role.samples else NOT_MEASURED


def _without_command(role: Role) -> str:
    return f"none: {role.note}" if role.note else "none"


def _at_plan(prediction: Prediction | None) -> str:
    if prediction is None:
        return NOT_MEASURED
    if prediction.measured is not None:
        return f"{number(prediction.measured)} measured"
    return predicted_text(prediction)


def predicted_text(prediction: Prediction) -> str:
    """A prediction with its error, marked where it extrapolates too far."""
    mark = " \N{DAGGER}" if prediction.marked else ""
    return f"{number(prediction.at_plan)} \N{PLUS-MINUS SIGN} {number(prediction.error)}{mark}"


def _least_headroom(budgeted: Sequence[Prediction]) -> str:
    known = [(each.headroom, each.figure) for each in budgeted if each.headroom is not None]
    if not known:
        return "-"
    headroom, figure = min(known)
    return f"{number(headroom)} ({figure_name(figure)})"


def _first_break(budgeted: Sequence[Prediction]) -> str:
    if not budgeted:
        return "-"
    first = min(budgeted, key=_break_order)
    return f"{break_text(first)} ({figure_name(first.figure)})"


def _break_order(prediction: Prediction) -> tuple[int, float]:
    where = prediction.breaks
    if where is None or where.limit is Limit.BELOW:
        return 0, 0.0
    if where.limit is Limit.AT:
        return 1, where.factor
    return (1, 1.0) if prediction.refuted else (2, where.factor)


def break_text(prediction: Prediction) -> str:
    """Text that says where a budget is first exceeded."""
    where = prediction.breaks
    if where is None:
        return "-"
    if prediction.refuted:
        return "below the plan, as measured there"
    if where.limit is Limit.BELOW:
        return "every size"
    if where.limit is Limit.NONE:
        return f"not up to {number(where.factor)} of the plan"
    return f"{number(where.factor)} of the plan: {number(where.size)} {where.variable}"


# Budgets


def budgets_table(kept: Kept, target: Target) -> Table:
    """Each budget of each role that has one, with the figure at the base and at the planned size."""
    costs = ("at the base", "predicted", "measured at the plan", "budget", "headroom", "first breaks at")
    head = ("role", "figure", *costs, COMMAND_COLUMN)
    rows = []
    for run in kept.runs:
        for each in kept.predictions(run, target):
            if each.budget is None or each.headroom is None or each.breaks is None:
                continue
            rows.append(
                (
                    each.role, figure_name(each.figure), number(each.base), predicted_text(each),
                    NOT_MEASURED if each.measured is None else number(each.measured), number(each.budget),
                    number(each.headroom), break_text(each), _command(kept, run, [each]),
                )
            )  # fmt: skip
    return Table("budgets", head, tuple(rows))


def at_plan_table(kept: Kept, measured: Results) -> Table:
    """A run at the planned size compared with the slopes' predictions for it, with all variables changed at once."""
    head = ("role", "figure", "predicted", "measured", "difference", "within the stated error", COMMAND_COLUMN)
    rows = []
    for each in (each for run in kept.runs for each in run_comparisons(run, measured)):
        difference = each.measured / each.predicted - 1.0 if each.predicted else math.nan
        rows.append(
            (
                each.role, figure_name(each.figure), f"{number(each.predicted)} \N{PLUS-MINUS SIGN} {number(each.allowed)}",
                number(each.measured), percent(difference), "yes" if each.holds else "no", f"`{measured.command}`",
            )
        )  # fmt: skip
    return Table("at-plan", head, tuple(rows))


def run_comparisons(run: KeptRun, measured: Results) -> list[Comparison]:
    """Compare budgeted figures and their totals with a run larger than all fitted ones, at that run's sizes."""
    found = []
    values = means(measured)
    for (role, figure), model in sorted(run.models().items()):
        if figure in (*BUDGETED, *WHOLE) and (role, figure) in values:
            mean = values[role, figure]
            sizes = {slope.variable: measured.base[slope.variable] for slope in model.slopes}
            found.append(Comparison(role, figure, "", math.nan, model.at(sizes), model.error(sizes), mean))
    return found


# State


def state_table(kept: Kept, target: Target) -> Table:
    """State entries that each role holds at the planned size, and the size of one entry."""
    head = ("role", "entry", "entries at the plan", "encoded, B", "in memory, B", "in memory, all", COMMAND_COLUMN)
    if kept.state is None:
        return Table("state", head, ())
    names = {role.key: role.name for role in ROLES}
    rows = tuple(_state_row(entry, names[entry.role], target, kept.state.command) for entry in kept.state.entries)
    return Table("state", head, rows)


def _state_row(entry: StateEntry, role: str, target: Target, command: str) -> tuple[str, ...]:
    count = target.sizes[entry.variable] / (target.sizes["placers"] if entry.shared else 1.0)
    return (
        role,
        entry.entry,
        f"{number(count)} {entry.variable}" + (" / placers" if entry.shared else ""),
        "-" if entry.encoded_bytes is None else number(entry.encoded_bytes),
        "-" if entry.memory_bytes is None else number(entry.memory_bytes),
        "-" if entry.memory_bytes is None else f"{number(count * entry.memory_bytes / 1024.0)} KiB",
        f"`{command}`",
    )


# Growth and its errors


def growth_table(kept: Kept, target: Target) -> Table:
    """Variables that increase a budgeted figure between the base size and the plan."""
    head = ("role", "figure", "grows with", "as", "measured up to", "plan", "adds", "hold-out error", COMMAND_COLUMN)
    rows = []
    for run in kept.runs:
        for (role, figure), model in sorted(run.models().items()):
            if figure in BUDGETED and role in target.budgeted:
                rows += _growth_rows(run, model, target)
    return Table("growth", head, tuple(rows))


def _growth_rows(run: KeptRun, model: Model, target: Target) -> list[tuple[str, ...]]:
    at_plan = model.at(target.sizes)
    moved = [(model.added(slope, target.sizes), slope) for slope in model.slopes]
    shown = [(added, slope) for added, slope in moved if abs(added) >= SHARE_SHOWN * at_plan or slope.too_fast]
    return [
        _growth_row(run, slope, added, target.sizes.get(slope.variable, math.nan))
        for added, slope in sorted(shown, key=lambda each: -each[0])
    ]


def _growth_row(run: KeptRun, slope: Slope, added: float, planned: float) -> tuple[str, ...]:
    return (
        slope.role,
        figure_name(slope.figure),
        slope.variable,
        "faster than n log n" if slope.too_fast else str(slope.fit.shape.value),
        number(slope.largest),
        number(planned) + (" \N{DAGGER}" if slope.beyond(planned) else ""),
        number(added),
        percent(slope.hold_out.error),
        f"`{run.results.command}`",
    )


def errors_table(kept: Kept) -> Table:
    """Hold-out errors of all slopes, by figure."""
    head = ("role", "figure", "slopes", "median hold-out error", "worst", "of", COMMAND_COLUMN)
    rows = []
    for run in kept.runs:
        grouped: dict[tuple[str, str], list[Slope]] = {}
        for slope in run.slopes.fitted:
            if slope.figure in (*BUDGETED, *WHOLE):
                grouped.setdefault((slope.role, slope.figure), []).append(slope)
        for (role, figure), each in sorted(grouped.items()):
            worst = max(each, key=lambda slope: abs(slope.hold_out.error))
            rows.append(
                (
                    role, figure_name(figure), str(len(each)),
                    percent(median(abs(slope.hold_out.error) for slope in each)).lstrip("+"), percent(worst.hold_out.error),
                    worst.variable, f"`{run.results.command}`",
                )
            )  # fmt: skip
    return Table("errors", head, tuple(rows))


def starts_table(kept: Kept) -> Table:
    """Start and change times measured over the whole fleet, for all runs of a file. Contains no predictions."""
    head = ("figure", "events", "median of the runs", "worst", "with", "load average then", COMMAND_COLUMN)
    rows = []
    for results in [run.results for run in kept.runs] + ([kept.at_plan] if kept.at_plan is not None else []):
        names = sorted({name for point in results.points for name in point.fleet if name.startswith(FLEET_TIMES)})
        for name in names:
            points = [point for point in results.points if name in point.fleet]
            worst = max(points, key=lambda point: point.fleet[name])
            rows.append(
                (
                    name.replace("_", " "), number(sum(_events(point, name) for point in points)),
                    number(median(point.fleet[name] for point in points)), number(worst.fleet[name]),
                    f"{number(worst.size)} {worst.variable}", number(worst.load_average), f"`{results.command}`",
                )
            )  # fmt: skip
    return Table("starts", head, tuple(rows))


def _events(point: Point, name: str) -> float:
    """Number of events from which a time was computed."""
    task_class = name.partition(".")[2]
    return point.fleet.get(f"started.{task_class}" if task_class else "changes_in_force", 0.0)


def slopes_table(run: KeptRun) -> Table:
    """Slopes of a run that are not constant, for a terminal."""
    head = ("role", "figure", "variable", "shape", "sizes", "hold-out", "stated error")
    rows = tuple(
        (
            slope.role, slope.figure, slope.variable,
            "faster than n log n" if slope.too_fast else str(slope.fit.shape.value),
            " ".join(number(size) for size in sorted({each.size for each in slope.observations})),
            percent(slope.hold_out.error), percent(slope.error),
        )
        for slope in run.slopes.fitted
        if slope.fit.shape is not Shape.CONSTANT or slope.too_fast
    )  # fmt: skip
    return Table("slopes", head, rows)


# Calibration


def calibration_table(calibration: Calibration) -> Table:
    """Figures of the same real placers beside hollow and beside real processes."""
    head = ("figure", "beside real", "deviation", "beside hollow", "difference", "within 10 %", COMMAND_COLUMN)
    rows = tuple(
        (
            figure_name(each.figure), number(each.real), number(each.spread), number(each.hollow),
            percent(each.difference), "yes" if each.agrees else "no", f"`{calibration.hollow.command}`",
        )
        for each in agreement(calibration.hollow, calibration.real)
    )  # fmt: skip
    return Table("calibration", head, rows)


# Text and number formats


def number(value: float) -> str:
    """Format with three significant digits, without an exponent."""
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "without bound"
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{round(value, 2 - math.floor(math.log10(abs(value)))):,.{digits}f}"
    return text.rstrip("0").rstrip(".") if digits else text


def percent(share: float) -> str:
    """Format a signed share as a whole percentage."""
    return "-" if not math.isfinite(share) else f"{100.0 * share:+.0f} %"


def figure_name(figure: str) -> str:
    """Readable name of a figure: ``cpu_percent.control`` as ``cpu (control)``."""
    stem, _, kind = figure.partition(".")
    name = stem.removesuffix("_percent").removesuffix("_mib").removesuffix("_per_s").replace("_", " ")
    return f"{name} ({kind})" if kind else name


def commands(tables: Iterable[Table]) -> list[str]:
    """The cells of the command column of all tables."""
    return [
        row[table.head.index(COMMAND_COLUMN)] for table in tables for row in table.rows if COMMAND_COLUMN in table.head
    ]
