"""What a fleet of the planned size costs each process, from the fits; headroom, and the size at which it first breaks.

Variables are taken to add up: a figure at the plan is the figure at the base plus what each variable, moved alone, adds
on its way from the base to the plan. What two variables cost together beyond that is not seen by runs that move one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from enum import StrEnum

from msgspec import Struct, structs

from sprucepost.scale.fits import Slope, Slopes, series
from sprucepost.scale.results import Point, Results

BYTES_PER_S = "bytes_per_s"
"""Both directions."""
MESSAGES_PER_S = "messages_per_s"
"""Both directions."""
CPU_CONTROL = "cpu_percent.control"
BYTES_CONTROL = "bytes_per_s.control"
"""All kinds of work but those in :data:`LOAD_KINDS`; this is what the plan's budgets bound."""
LOAD_KINDS = ("placements", "clients")
"""Work that users ask for, as against control."""

SMALLEST_FACTOR, FACTOR_STEP = 0.01, 0.01
"""Shares of the plan that are looked at for the first one that breaks a budget."""

RESOLUTION = {
    "cpu_percent": 0.1,
    "memory_mib": 1.0,
    "bytes_out_per_s": 100.0,
    "bytes_in_per_s": 100.0,
    "messages_out_per_s": 1.0,
    "messages_in_per_s": 1.0,
    "descriptors": 3.0,
}
"""Differences too small to be told from a run's own unevenness. These are also the figures that are checked again."""

PROCESSOR_FIGURES = "cpu_percent"
"""Figures whose name begins so depend on how fast the machine is."""


class Target(Struct, frozen=True):
    """The planned size and what a placer may spend there."""

    name: str
    sizes: dict[str, float]
    """By the names that results call their variables."""
    budget: dict[str, float]
    """By figure, of one placer."""
    budgeted: frozenset[str] = frozenset({"placer", "node"})
    """Roles that the budget is for."""


class Limit(StrEnum):
    """Where a growing figure ends up."""

    AT = "breaks"
    BELOW = "broken at every size"
    NONE = "none found"


class Break(Struct, frozen=True):
    """The share of the plan, all variables moved together, at which a budget is first exceeded."""

    limit: Limit
    factor: float = math.nan
    """Where ``limit`` is AT: that share of the plan. Where it is NONE: the largest share that was looked at."""
    variable: str = ""
    """What adds most there, and its size."""
    size: float = math.nan


class Prediction(Struct, frozen=True):
    """One figure of one role at the planned size."""

    role: str
    figure: str
    base: float
    """At the base size, as fitted."""
    at_plan: float
    error: float
    """Absolute, in the figure's unit: the slopes' stated errors of what each says, as if independent."""
    budget: float | None
    breaks: Break | None
    """None without a budget."""
    marked: tuple[str, ...]
    """Variables that the plan moves more than four times beyond what was measured."""
    unmeasured: tuple[str, ...]
    """Variables of the plan that no slope of this figure covers."""

    @property
    def headroom(self) -> float | None:
        """Budget over prediction; below 1 it does not fit."""
        if self.budget is None:
            return None
        return self.budget / self.at_plan if self.at_plan > 0 else math.inf


class Comparison(Struct, frozen=True):
    """A newly measured figure beside what the kept results predict."""

    role: str
    figure: str
    variable: str
    size: float
    predicted: float
    allowed: float
    """Absolute: the slope's stated error, or what no run can tell apart."""
    measured: float

    @property
    def holds(self) -> bool:
        """Whether the prediction holds within its stated error."""
        return abs(self.measured - self.predicted) <= self.allowed

    @property
    def text(self) -> str:
        """One line for a terminal."""
        return (
            f"{self.role} {self.figure} at {self.variable} {self.size:g}: measured {self.measured:.4g}, "
            f"predicted {self.predicted:.4g} within {self.allowed:.3g}"
        )


class Model(Struct, frozen=True):
    """The slopes of one figure of one role, and the base that they share."""

    slopes: tuple[Slope, ...]
    base: dict[str, float]

    def at(self, sizes: Mapping[str, float]) -> float:
        """The figure where the variables have those sizes; one without a slope, or not given, counts for nothing."""
        return max(0.0, self.at_base + sum(self.added(slope, sizes) for slope in self.slopes))

    @property
    def at_base(self) -> float:
        """Each slope has a say on the base; their mean is taken."""
        return sum(slope.fit.at(self._base(slope)) for slope in self.slopes) / len(self.slopes)

    def added(self, slope: Slope, sizes: Mapping[str, float]) -> float:
        """What one variable adds between the base and its size."""
        return slope.fit.at(sizes.get(slope.variable, self._base(slope))) - slope.fit.at(self._base(slope))

    def error(self, sizes: Mapping[str, float]) -> float:
        """Absolute error at those sizes: a slope that adds nothing counts once, by the largest error at the base."""
        moved = [(slope, self.added(slope, sizes)) for slope in self.slopes]
        parts = [slope.error * slope.fit.at(sizes[slope.variable]) for slope, added in moved if added]
        parts.append(max(slope.error for slope in self.slopes) * self.at_base if not parts else 0.0)
        return math.sqrt(sum(part * part for part in parts))

    def _base(self, slope: Slope) -> float:
        return self.base.get(slope.variable, min(each.size for each in slope.observations))


def with_sums(results: Results) -> Results:
    """The same results with the sums over directions and over the kinds of control, as far as their parts were measured."""

    def summed(point: Point) -> Point:
        samples = (structs.replace(sample, figures=_summed(sample.figures)) for sample in point.samples)
        return structs.replace(point, samples=tuple(samples))

    return structs.replace(results, points=tuple(summed(point) for point in results.points))


def _summed(figures: Mapping[str, float]) -> dict[str, float]:
    found = dict(figures)
    for total, prefix in ((BYTES_PER_S, "bytes"), (MESSAGES_PER_S, "messages")):
        out, into = f"{prefix}_out_per_s", f"{prefix}_in_per_s"
        for name, value in figures.items():
            stem, _, kind = name.partition(".")
            if stem in (out, into):
                summed = f"{total}.{kind}" if kind else total
                found[summed] = found.get(summed, 0.0) + value
    for control, stem in ((CPU_CONTROL, "cpu_percent"), (BYTES_CONTROL, BYTES_PER_S)):
        kinds = {name.removeprefix(f"{stem}."): value for name, value in found.items() if name.startswith(f"{stem}.")}
        if kinds:
            found[control] = sum(value for kind, value in kinds.items() if kind not in LOAD_KINDS)
    return found


def models(slopes: Slopes, base: Mapping[str, float]) -> dict[tuple[str, str], Model]:
    """A model for each role and figure."""
    grouped: dict[tuple[str, str], list[Slope]] = {}
    for slope in slopes.fitted:
        grouped.setdefault((slope.role, slope.figure), []).append(slope)
    return {key: Model(tuple(each), dict(base)) for key, each in grouped.items()}


_WHOLE_OF = {"cpu_percent": CPU_CONTROL, BYTES_PER_S: BYTES_CONTROL}
"""Where control was not told apart, the whole is held against its budget: what fits as a whole fits."""


def predictions(slopes: Slopes, base: Mapping[str, float], target: Target) -> list[Prediction]:
    """Every figure of every role at the planned size."""
    found = []
    of_key = models(slopes, base)
    for (role, figure), model in sorted(of_key.items()):
        covered = {slope.variable for slope in model.slopes}
        sizes = {variable: size for variable, size in target.sizes.items() if variable in covered}
        part = _WHOLE_OF.get(figure, figure)
        bounded = figure if (role, part) in of_key or figure in target.budget else part
        budget = target.budget.get(bounded) if role in target.budgeted else None
        found.append(
            Prediction(
                role=role,
                figure=figure,
                base=model.at_base,
                at_plan=model.at(sizes),
                error=model.error(sizes),
                budget=budget,
                breaks=None if budget is None else first_break(model, sizes, budget),
                marked=tuple(slope.variable for slope in model.slopes if slope.beyond(sizes.get(slope.variable, 0.0))),
                unmeasured=tuple(variable for variable in target.sizes if variable not in covered),
            )
        )
    return found


def first_break(model: Model, sizes: Mapping[str, float], budget: float) -> Break:
    """The least share of the plan at which the budget is exceeded; looked for as far as no variable needs a mark."""
    largest = min(
        (4.0 * slope.largest / sizes[slope.variable] for slope in model.slopes if sizes.get(slope.variable)),
        default=1.0,
    )
    largest = max(1.0, largest)
    steps = int((largest - SMALLEST_FACTOR) / FACTOR_STEP) + 1
    for step in range(steps + 1):
        factor = SMALLEST_FACTOR + step * FACTOR_STEP
        scaled = {variable: factor * size for variable, size in sizes.items()}
        if model.at(scaled) <= budget:
            continue
        if step == 0:
            return Break(Limit.BELOW)
        dearest = max(model.slopes, key=lambda slope: model.added(slope, scaled))
        return Break(Limit.AT, factor, dearest.variable, scaled.get(dearest.variable, math.nan))
    return Break(Limit.NONE, largest)


def comparisons(of_key: Mapping[tuple[str, str], Model], measured: Results, speed: float = 1.0) -> list[Comparison]:
    """New results beside the kept ones' predictions.

    ``speed``: how many times as long the reference work took on the new machine, by which processor times are divided.
    Figures without a slope are not judged, nor are sizes beyond those that were measured for the kept results.
    """
    found = []
    for (role, figure, variable), observations in sorted(series(measured).items()):
        model = of_key.get((role, figure))
        slope = next((each for each in model.slopes if each.variable == variable), None) if model else None
        if model is None or slope is None or figure not in RESOLUTION:
            continue
        factor = speed if figure.startswith(PROCESSOR_FIGURES) else 1.0
        for size in sorted({each.size for each in observations if each.size <= slope.largest}):
            values = [each.value / factor for each in observations if each.size == size]
            predicted = model.at({**measured.base, variable: size})
            allowed = max(slope.error * predicted, RESOLUTION[figure])
            found.append(Comparison(role, figure, variable, size, predicted, allowed, sum(values) / len(values)))
    return found


def too_fast(slopes: Iterable[Slope]) -> list[str]:
    """A line for each figure that grows faster than n log n."""
    return [
        f"{slope.role} {slope.figure} grows faster than n log n with {slope.variable}"
        for slope in slopes
        if slope.too_fast
    ]
