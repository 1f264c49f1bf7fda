"""How a measured figure grows with one variable: least squares over a few shapes, the shape chosen by AICc.

Runs of one size are separate observations. A shape is left out where its growth would be negative: a figure that
falls with the size is predicted as constant, which errs on the dear side.

AICc (Hurvich and Tsai, 1989) charges each further coefficient, the more the fewer observations there are. Growth that is
faster than n log n is not a shape to predict with; :func:`grows_too_fast` looks for it, and what it finds is a fault.

The largest measured size is predicted from the others first (:class:`HoldOut`); the error of that is the honest one.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import StrEnum
from types import ModuleType

from msgspec import Struct

from sprucepost.scale.results import Results

SIZES_LEAST = 4
"""Measured sizes without which no shape is chosen."""

RUNS_LEAST = 2
"""Runs of each size, on average, without which no shape is chosen."""

FARTHEST = 4.0
"""Times the largest measured size: predictions beyond that are marked."""

ERROR_LEAST = 0.1
"""No prediction is said to be better than that: what runs of one size differ by on a quiet machine."""

RESOLUTION = 1e-3
"""Share of a figure's mean below which residuals tell nothing."""

SUPPORTED = 2.0
"""Difference in AICc up to which the worse model has substantial support (Burnham and Anderson, 2002): noise on a constant
isn't taken for growth, which would be carried far beyond the measured sizes."""

DECISIVE = 6.0
"""Difference in AICc from which the worse model has little support (Burnham and Anderson, 2002, say 4 to 7)."""

SQUARE_SHARE_LEAST = 0.1
"""Share of the figure at the largest size that the square has to account for to be a finding."""


class FitsError(Exception):
    """Why nothing can be fitted, in one plain line."""


class Shape(StrEnum):
    """How a figure grows; the value is what tables show."""

    CONSTANT = "constant"
    LOGARITHMIC = "log n"
    LINEAR = "n"
    LINEARITHMIC = "n log n"


Term = Callable[[float], float]

_TERMS: dict[Shape, Term] = {
    Shape.LOGARITHMIC: math.log1p,
    Shape.LINEAR: float,
    Shape.LINEARITHMIC: lambda size: size * math.log1p(size),
}
"""Of sizes that may be 0, therefore ``log(1 + n)``."""


class Observation(Struct, frozen=True):
    """One figure of one run: the mean over the real processes of a role."""

    size: float
    value: float


class Regression(Struct, frozen=True):
    """Least squares of a sum of terms."""

    coefficients: tuple[float, ...]
    """In the terms' order."""
    criterion: float
    """AICc; the least is the best, infinite where there are too few observations for so many coefficients."""
    residual: float
    """Root mean square, in the figure's unit."""


class Fit(Struct, frozen=True):
    """``intercept + growth * term(size)``."""

    shape: Shape
    intercept: float
    growth: float
    criterion: float
    """As in :class:`Regression`."""
    residual: float

    def at(self, size: float) -> float:
        """The figure predicted for a size."""
        term = _TERMS.get(self.shape)
        return self.intercept + (self.growth * term(size) if term is not None else 0.0)


class HoldOut(Struct, frozen=True):
    """The largest measured size, predicted from the others."""

    size: float
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        """Share of the measured value; positive: the prediction was too high."""
        if self.measured == 0.0:
            return 0.0 if self.predicted == 0.0 else math.inf
        return (self.predicted - self.measured) / abs(self.measured)


class Slope(Struct, frozen=True):
    """One figure of one role over one variable."""

    role: str
    figure: str
    variable: str
    observations: tuple[Observation, ...]
    fit: Fit
    hold_out: HoldOut
    too_fast: bool
    """It grows faster than n log n."""

    @property
    def largest(self) -> float:
        """The largest measured size."""
        return max(each.size for each in self.observations)

    @property
    def error(self) -> float:
        """Stated relative error: the worst of the hold-out's, of the runs' spread about the fit, and the least stated."""
        spread = max(_relative(each.value, self.fit.at(each.size)) for each in self.observations)
        return max(abs(self.hold_out.error), spread, ERROR_LEAST)

    def beyond(self, size: float) -> bool:
        """Whether a prediction for that size is to be marked."""
        return size > FARTHEST * self.largest


def _relative(value: float, expected: float) -> float:
    if expected == 0.0:
        return 0.0 if value == 0.0 else math.inf
    return abs(value - expected) / abs(expected)


def numpy() -> ModuleType:
    """The numeric library. FitsError where it is not installed."""
    try:
        import numpy as library
    except ImportError:
        raise FitsError("fits need numpy, which is not installed: pip install 'sprucepost[scale]'") from None
    return library


# One series


def best_fit(observations: Sequence[Observation]) -> Fit:
    """The shape with the least AICc, constant where that is nearly as good. FitsError where numpy is missing."""
    fits = [_fitted(shape, observations) for shape in Shape]
    best = min((fit for fit in fits if fit.growth >= 0.0), key=lambda fit: fit.criterion)
    constant = next(fit for fit in fits if fit.shape is Shape.CONSTANT)
    return constant if constant.criterion - best.criterion < SUPPORTED else best


def hold_out(observations: Sequence[Observation]) -> HoldOut:
    """Predict the largest size from the others."""
    largest = max(each.size for each in observations)
    others = [each for each in observations if each.size < largest]
    return HoldOut(largest, best_fit(others).at(largest), _mean_at(observations, largest))


def grows_too_fast(observations: Sequence[Observation]) -> bool:
    """Whether the square of the size explains the figure, and no sum of the shapes does.

    Costs add up, so no coefficient may be negative here: a line below zero with n log n on top of it is as curved as a
    square over the few sizes that can be measured.
    """
    largest = max(each.size for each in observations)
    squares = _possible([(_square,), (float, _square), (_constant, _square), (_constant, float, _square)], observations)
    if not squares:
        return False
    best = min(squares, key=lambda regression: regression.criterion)
    share = best.coefficients[-1] * _square(largest)
    if share < SQUARE_SHARE_LEAST * abs(_mean_at(observations, largest)):
        return False
    slower = _possible(_slower_sums(), observations)
    return min(regression.criterion for regression in slower) - best.criterion > DECISIVE


def _possible(sums: Sequence[tuple[Term, ...]], observations: Sequence[Observation]) -> list[Regression]:
    """The regressions without a negative coefficient."""
    found = [_least_squares(terms, observations) for terms in sums]
    return [regression for regression in found if min(regression.coefficients) >= 0.0]


def _slower_sums() -> list[tuple[Term, ...]]:
    """Sums of the shapes, with and without a constant."""
    terms = list(_TERMS.values())
    sums: list[tuple[Term, ...]] = [(term,) for term in terms]
    sums.append((float, _TERMS[Shape.LINEARITHMIC]))
    return [(_constant,), *sums, *((_constant, *each) for each in sums)]


def _constant(_size: float) -> float:
    return 1.0


def _square(size: float) -> float:
    return size * size


def _mean_at(observations: Sequence[Observation], size: float) -> float:
    values = [each.value for each in observations if each.size == size]
    return sum(values) / len(values)


def _fitted(shape: Shape, observations: Sequence[Observation]) -> Fit:
    terms = (_constant, _TERMS[shape]) if shape in _TERMS else (_constant,)
    found = _least_squares(terms, observations)
    growth = found.coefficients[1] if shape in _TERMS else 0.0
    return Fit(shape, found.coefficients[0], growth, found.criterion, found.residual)


def _least_squares(terms: Sequence[Term], observations: Sequence[Observation]) -> Regression:
    library = numpy()
    columns = [[term(each.size) for term in terms] for each in observations]
    values = library.array([each.value for each in observations])
    coefficients, *_ = library.linalg.lstsq(library.array(columns), values, rcond=None)
    residuals = values - library.array(columns) @ coefficients
    mean_square = float(residuals @ residuals) / len(observations)
    floor = (RESOLUTION * float(abs(values).mean())) ** 2
    return Regression(
        tuple(float(each) for each in coefficients),
        _corrected_akaike(max(mean_square, floor), len(observations), len(terms) + 1),
        math.sqrt(mean_square),
    )


def _corrected_akaike(mean_square: float, observations: int, parameters: int) -> float:
    """AICc of a least-squares model; ``parameters`` counts the coefficients and the variance."""
    freedom = observations - parameters - 1
    if freedom <= 0:
        return math.inf
    if mean_square == 0.0:  # all values are 0: the model with the fewest parameters
        return float(parameters)
    correction = 2.0 * parameters * (parameters + 1) / freedom
    return observations * math.log(mean_square) + 2.0 * parameters + correction


# Whole results


class Skipped(Struct, frozen=True):
    """A series to which nothing was fitted, and why."""

    role: str
    figure: str
    variable: str
    why: str


class Slopes(Struct, frozen=True):
    """All series of one file of results."""

    fitted: tuple[Slope, ...]
    skipped: tuple[Skipped, ...]

    def of(self, role: str, figure: str) -> list[Slope]:
        """Those of one figure of one role, one for each variable."""
        return [slope for slope in self.fitted if (slope.role, slope.figure) == (role, figure)]


def series(results: Results) -> dict[tuple[str, str, str], list[Observation]]:
    """Observations by role, figure and variable: of each run the mean over the role's real processes."""
    found: dict[tuple[str, str, str], list[Observation]] = {}
    for point in results.points:
        values: dict[tuple[str, str], list[float]] = {}
        for sample in point.samples:
            for figure, value in sample.figures.items():
                values.setdefault((sample.role, figure), []).append(value)
        for (role, figure), each in values.items():
            observation = Observation(point.size, sum(each) / len(each))
            found.setdefault((role, figure, point.variable), []).append(observation)
    return found


def slopes(results: Results) -> Slopes:
    """Fit every series with enough sizes and runs. FitsError where numpy is missing."""
    fitted, skipped = [], []
    for (role, figure, variable), observations in sorted(series(results).items()):
        why = _too_few(observations)
        if why:
            skipped.append(Skipped(role, figure, variable, why))
            continue
        fitted.append(
            Slope(
                role, figure, variable, tuple(observations), best_fit(observations), hold_out(observations),
                grows_too_fast(observations),
            )
        )  # fmt: skip
    return Slopes(tuple(fitted), tuple(skipped))


def _too_few(observations: Sequence[Observation]) -> str:
    sizes = len({each.size for each in observations})
    if sizes < SIZES_LEAST:
        return f"{sizes} sizes, {SIZES_LEAST} are needed"
    if len(observations) < RUNS_LEAST * sizes:
        return f"{len(observations)} runs of {sizes} sizes, {RUNS_LEAST} of each are needed"
    return ""
