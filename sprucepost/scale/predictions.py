"""Predicted cost per process at the planned fleet size, headroom, and the size that first exceeds a budget.

The effects of variables are assumed to be additive: a figure at the planned size is the figure at the base size plus
what each variable adds when it alone changes from its base to its planned value. Runs that change one variable at a time
cannot show interactions between two variables.
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
"""All kinds of work except those in :data:`LOAD_KINDS`; the plan's budgets apply to this."""
LOAD_KINDS = ("placements", "clients")
"""Work that users request, as opposed to control."""

SMALLEST_FACTOR, FACTOR_STEP = 0.01, 0.01
"""First share of the plan, and step between shares, in the search for the first one that exceeds a budget."""

RESOLUTION = {
    "cpu_percent": 0.1,
    "memory_mib": 1.0,
    "bytes_out_per_s": 100.0,
    "bytes_in_per_s": 100.0,
    "messages_out_per_s": 1.0,
    "messages_in_per_s": 1.0,
    "descriptors": 3.0,
}
"""Differences too small to distinguish from variation within a run. Only these figures are compared with new results."""


class Target(Struct, frozen=True):
    """The planned size and the budget of a placer at that size."""

    name: str
    sizes: dict[str, float]
    """By variable name, as in results."""
    budget: dict[str, float]
    """Budget of one placer, by figure."""
    budgeted: frozenset[str] = frozenset({"placer", "node"})
    """Roles to which the budget applies."""


class Limit(StrEnum):
    """Whether and where a figure exceeds its budget."""

    AT = "breaks"
    BELOW = "broken at every size"
    NONE = "none found"


class Break(Struct, frozen=True):
    """The share of the plan, with all variables scaled together, at which a budget is first exceeded."""

    limit: Limit
    factor: float = math.nan
    """Where ``limit`` is AT: that share of the plan. Where it is NONE: the largest share that was examined."""
    variable: str = ""
    """The variable that adds most at that share; ``size`` is its value there."""
    size: float = math.nan


class Prediction(Struct, frozen=True):
    """One figure of one role at the planned size; a measurement at that size takes precedence over the fit."""

    role: str
    figure: str
    base: float
    """At the base size, as fitted."""
    at_plan: float
    error: float
    """Absolute, in the figure's unit: the slopes' stated errors, combined as if independent."""
    budget: float | None
    breaks: Break | None
    """None without a budget."""
    marked: tuple[str, ...]
    """Variables whose planned size is more than four times the largest measured one."""
    unmeasured: tuple[str, ...]
    """Variables of the plan for which this figure has no slope."""
    measured: float | None = None
    """Value measured in a run at the planned size."""

    @property
    def counts(self) -> float:
        """The best known value at the planned size: the measured one, else the predicted one."""
        return self.at_plan if self.measured is None else self.measured

    @property
    def headroom(self) -> float | None:
        """Budget divided by the figure; below 1 the budget is exceeded."""
        if self.budget is None:
            return None
        return self.budget / self.counts if self.counts > 0 else math.inf

    @property
    def refuted(self) -> bool:
        """Whether a run at the planned size exceeded a budget that the slopes predict to hold there."""
        over = self.budget is not None and self.measured is not None and self.measured > self.budget
        return over and self.breaks is not None and self.breaks.limit is Limit.NONE


class Comparison(Struct, frozen=True):
    """A newly measured figure compared with the prediction of the kept results."""

    role: str
    figure: str
    variable: str
    size: float
    predicted: float
    allowed: float
    """Absolute tolerance: the slope's stated error, but at least the figure's :data:`RESOLUTION`."""
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
    """The slopes of one figure of one role, and their common base sizes."""

    slopes: tuple[Slope, ...]
    base: dict[str, float]

    def at(self, sizes: Mapping[str, float]) -> float:
        """The figure at those sizes; a variable that has no slope or is not given adds nothing."""
        return max(0.0, self.at_base + sum(self.added(slope, sizes) for slope in self.slopes))

    @property
    def at_base(self) -> float:
        """The figure at the base sizes: the mean of what the slopes predict."""
        return sum(slope.fit.at(self._base(slope)) for slope in self.slopes) / len(self.slopes)

    def added(self, slope: Slope, sizes: Mapping[str, float]) -> float:
        """What one variable adds between the base and its size."""
        return slope.fit.at(sizes.get(slope.variable, self._base(slope))) - slope.fit.at(self._base(slope))

    def error(self, sizes: Mapping[str, float]) -> float:
        """Absolute error at those sizes; where no slope adds anything, the largest stated error at the base."""
        moved = [(slope, self.added(slope, sizes)) for slope in self.slopes]
        parts = [slope.error * slope.fit.at(sizes[slope.variable]) for slope, added in moved if added]
        parts.append(max(slope.error for slope in self.slopes) * self.at_base if not parts else 0.0)
        return math.sqrt(sum(part * part for part in parts))

    def _base(self, slope: Slope) -> float:
        return self.base.get(slope.variable, min(each.size for each in slope.observations))


def with_sums(results: Results) -> Results:
    """The same results with sums over directions and over kinds of control added, where their parts were measured."""

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


_CONTROL_OF_TOTAL = {"cpu_percent": CPU_CONTROL, BYTES_PER_S: BYTES_CONTROL}
"""Where control was not measured separately, the total is compared with its budget: control is at most the total."""


def predictions(slopes: Slopes, base: Mapping[str, float], target: Target) -> list[Prediction]:
    """Every figure of every role at the planned size."""
    found = []
    of_key = models(slopes, base)
    for (role, figure), model in sorted(of_key.items()):
        covered = {slope.variable for slope in model.slopes}
        sizes = {variable: size for variable, size in target.sizes.items() if variable in covered}
        part = _CONTROL_OF_TOTAL.get(figure, figure)
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
    """The smallest share of the plan at which the budget is exceeded.

    The search ends where a variable would exceed four times its largest measured size, but not below the plan itself.
    """
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
        costliest = max(model.slopes, key=lambda slope: model.added(slope, scaled))
        return Break(Limit.AT, factor, costliest.variable, scaled.get(costliest.variable, math.nan))
    return Break(Limit.NONE, largest)


def comparisons(of_key: Mapping[tuple[str, str], Model], measured: Results) -> list[Comparison]:
    """Compare new results with the predictions of the kept ones.

    Figures without a slope are not compared, nor are sizes beyond those that were measured for the kept results.
    """
    found = []
    for (role, figure, variable), observations in sorted(series(measured).items()):
        model = of_key.get((role, figure))
        slope = next((each for each in model.slopes if each.variable == variable), None) if model else None
        if model is None or slope is None or figure not in RESOLUTION:
            continue
        for size in sorted({each.size for each in observations if each.size <= slope.largest}):
            values = [each.value for each in observations if each.size == size]
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
