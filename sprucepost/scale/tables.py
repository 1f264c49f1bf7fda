"""The tables of a scale run: for a terminal, and for ``docs/CAPACITY.md``. What was not measured says so."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from statistics import fmean, median

from msgspec import Struct

from sprucepost.scale.calibration import agreement
from sprucepost.scale.fits import Shape, Slope
from sprucepost.scale.kept import Calibration, Kept, KeptRun
from sprucepost.scale.predictions import (
    BYTES_CONTROL,
    CPU_CONTROL,
    Break,
    Comparison,
    Limit,
    Model,
    Prediction,
    Target,
)
from sprucepost.scale.results import Results
from sprucepost.scale.roles import ROLES, Role
from sprucepost.scale.state import StateEntry

NOT_MEASURED = "not measured"
COMMAND_COLUMN = "command"
SHARE_SHOWN = 0.05
"""Of a figure at the plan: what adds less is not in the table of growth."""
FLEET_TIMES = ("start_p99_ms", "start_worst_ms", "change_in_force")
"""Beginnings of the names of a fleet's figures that are times."""
BUDGETED = (CPU_CONTROL, "memory_mib", BYTES_CONTROL)
WHOLE = ("cpu_percent", "bytes_per_s")
"""What the budgeted figures are parts of."""


class Table(Struct, frozen=True):
    """Text by rows; ``name`` is that of its markers on the page."""

    name: str
    head: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def all_tables(kept: Kept, target: Target) -> list[Table]:
    """Every table of the page, in its order."""
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
    found = {each.figure: each for each in run.predictions(target) if each.role == role.samples} if run else {}
    cells = [_at_plan(found.get(figure)) if figure else _absent(role) for figure in role.figures]
    budgeted = [each for each in found.values() if each.budget is not None] if role.judged else []
    return (
        role.name,
        *cells,
        _least_headroom(budgeted),
        _first_break(budgeted),
        ", ".join(f"`{module}`" for module in role.mechanism),
        f"`{run.results.command}`" if run else _without_command(role),
    )


def _absent(role: Role) -> str:
    return "-" if role.samples else NOT_MEASURED


def _without_command(role: Role) -> str:
    return f"none: {role.note}" if role.note else "none"


def _at_plan(prediction: Prediction | None) -> str:
    if prediction is None:
        return NOT_MEASURED
    mark = " \N{DAGGER}" if prediction.marked else ""
    return f"{number(prediction.at_plan)} \N{PLUS-MINUS SIGN} {number(prediction.error)}{mark}"


def _least_headroom(budgeted: Sequence[Prediction]) -> str:
    known = [(each.headroom, each.figure) for each in budgeted if each.headroom is not None]
    if not known:
        return "-"
    headroom, figure = min(known)
    return f"{number(headroom)} ({figure_name(figure)})"


def _first_break(budgeted: Sequence[Prediction]) -> str:
    breaks = [(each.breaks, each.figure) for each in budgeted if each.breaks is not None]
    if not breaks:
        return "-"
    first, figure = min(breaks, key=lambda each: _order(each[0]))
    return f"{break_text(first)} ({figure_name(figure)})"


def _order(where: Break) -> tuple[int, float]:
    rank = {Limit.BELOW: 0, Limit.AT: 1, Limit.NONE: 2}[where.limit]
    return rank, 0.0 if where.limit is Limit.BELOW else where.factor


def break_text(where: Break) -> str:
    """Where a budget is first exceeded, in words."""
    if where.limit is Limit.BELOW:
        return "every size"
    if where.limit is Limit.NONE:
        return f"not up to {number(where.factor)} of the plan"
    return f"{number(where.factor)} of the plan: {number(where.size)} {where.variable}"


# Budgets


def budgets_table(kept: Kept, target: Target) -> Table:
    """Each budget of each role that has one: as measured at the base, and at the planned size."""
    head = (
        "role",
        "figure",
        "at the base",
        "at the plan",
        "budget",
        "headroom",
        "first breaks at",
        "not moved",
        COMMAND_COLUMN,
    )
    rows = []
    for run in kept.runs:
        for each in run.predictions(target):
            if each.budget is None or each.headroom is None or each.breaks is None:
                continue
            rows.append(
                (
                    each.role, figure_name(each.figure), number(each.base), _at_plan(each), number(each.budget),
                    number(each.headroom), break_text(each.breaks), ", ".join(each.unmeasured) or "-",
                    f"`{run.results.command}`",
                )
            )  # fmt: skip
    return Table("budgets", head, tuple(rows))


def at_plan_table(kept: Kept, measured: Results) -> Table:
    """A run at the planned size beside what the slopes predict for it, all variables at once."""
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
    """Budgeted figures, and what they are held against, at the sizes of a run that is larger than all that were fitted."""
    found = []
    values: dict[tuple[str, str], list[float]] = {}
    for point in measured.points:
        for sample in point.samples:
            for figure, value in sample.figures.items():
                values.setdefault((sample.role, figure), []).append(value)
    for (role, figure), model in sorted(run.models().items()):
        if figure in (*BUDGETED, *WHOLE) and (role, figure) in values:
            mean = fmean(values[role, figure])
            sizes = {slope.variable: measured.base[slope.variable] for slope in model.slopes}
            found.append(Comparison(role, figure, "", math.nan, model.at(sizes), model.error(sizes), mean))
    return found


# State


def state_table(kept: Kept, target: Target) -> Table:
    """Entries that each role holds at the planned size, and what one takes."""
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
    """What adds to a budgeted figure on the way from the base to the plan."""
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
    """What the whole fleet showed: times from start to running and of changes, over all runs of a file. No prediction."""
    head = ("figure", "median of the runs", "worst", "with", "load average then", COMMAND_COLUMN)
    rows = []
    for run in kept.runs:
        names = sorted({name for point in run.results.points for name in point.fleet if name.startswith(FLEET_TIMES)})
        for name in names:
            points = [point for point in run.results.points if name in point.fleet]
            worst = max(points, key=lambda point: point.fleet[name])
            rows.append(
                (
                    name.replace("_", " "), number(median(point.fleet[name] for point in points)), number(worst.fleet[name]),
                    f"{number(worst.size)} {worst.variable}", number(worst.load_average), f"`{run.results.command}`",
                )
            )  # fmt: skip
    return Table("starts", head, tuple(rows))


def slopes_table(run: KeptRun) -> Table:
    """Every slope of a run, for a terminal."""
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
    """The real neighbours' figures beside hollow and beside real companions."""
    head = ("figure", "beside real", "deviation", "beside hollow", "difference", "within 10 %", COMMAND_COLUMN)
    rows = tuple(
        (
            figure_name(each.figure), number(each.real), number(each.spread), number(each.hollow),
            percent(each.difference), "yes" if each.agrees else "no", f"`{calibration.hollow.command}`",
        )
        for each in agreement(calibration.hollow, calibration.real)
    )  # fmt: skip
    return Table("calibration", head, rows)


# Words and numbers


def number(value: float) -> str:
    """Three digits, without an exponent."""
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
    """A signed share as whole per cent."""
    return "-" if not math.isfinite(share) else f"{100.0 * share:+.0f} %"


def figure_name(figure: str) -> str:
    """A figure for readers: ``cpu_percent.control`` as ``cpu (control)``."""
    stem, _, kind = figure.partition(".")
    name = stem.removesuffix("_percent").removesuffix("_mib").removesuffix("_per_s").replace("_", " ")
    return f"{name} ({kind})" if kind else name


def commands(tables: Iterable[Table]) -> list[str]:
    """The cells that name commands."""
    return [
        row[table.head.index(COMMAND_COLUMN)] for table in tables for row in table.rows if COMMAND_COLUMN in table.head
    ]
