"""Fits of how a measured figure grows with one variable: least squares over a few shapes, selected by AICc.

Runs of one size are separate observations. A shape whose growth coefficient is negative is rejected: a figure that
falls with the size is predicted as constant, which overestimates the cost.

AICc (Hurvich and Tsai, 1989) penalizes each additional coefficient, more strongly the fewer observations there are.
Growth faster than n log n is not used for predictions; :func:`grows_too_fast` detects it, and each case it reports is a
defect.

The largest measured size is also predicted from the smaller ones (:class:`HoldOut`); that error is out of sample.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import StrEnum
from types import ModuleType

from msgspec import Struct

from sprucepost.scale.results import Results

MIN_SIZES = 4
"""Number of distinct measured sizes that a fit requires."""

MIN_RUNS_PER_SIZE = 2
"""Mean number of runs of each size that a fit requires."""

MAX_EXTRAPOLATION_FACTOR = 4.0
"""Multiple of the largest measured size beyond which predictions are marked."""

MIN_STATED_ERROR = 0.1
"""Smallest relative error stated for a prediction: runs of one size differ by this much on a quiet machine."""

RESIDUAL_RESOLUTION = 1e-3
"""Share of a figure's mean below which residuals carry no information."""

SUPPORTED_AICC_DIFFERENCE = 2.0
"""Difference in AICc up to which the worse model has substantial support (Burnham and Anderson, 2002). It keeps noise on a
constant from being fitted as growth, which would be extrapolated far beyond the measured sizes."""

DECISIVE_AICC_DIFFERENCE = 6.0
"""Difference in AICc from which the worse model has little support (Burnham and Anderson, 2002, give 4 to 7)."""

MIN_QUADRATIC_SHARE = 0.1
"""Smallest share of the figure at the largest size that the quadratic term must account for to be reported."""


class FitsError(Exception):
    """Nothing can be fitted; the message gives the reason in one line."""


class Shape(StrEnum):
    """How a figure grows; tables show the value."""

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
"""Growth term of each shape. Sizes may be 0, therefore ``log(1 + n)``."""


class Observation(Struct, frozen=True):
    """One figure of one run: the mean over the real processes of a role."""

    size: float
    value: float


class Regression(Struct, frozen=True):
    """Result of a least-squares regression on a sum of terms."""

    coefficients: tuple[float, ...]
    """In the terms' order."""
    criterion: float
    """AICc; the lowest is the best, infinite where there are too few observations for the number of coefficients."""
    residual: float
    """Root mean square, in the figure's unit."""


class Fit(Struct, frozen=True):
    """Fitted function ``intercept + growth * term(size)``."""

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
        """Error as a share of the measured value; positive where the prediction was too high."""
        if self.measured == 0.0:
            return 0.0 if self.predicted == 0.0 else math.inf
        return (self.predicted - self.measured) / abs(self.measured)


class Slope(Struct, frozen=True):
    """Growth of one figure of one role with one variable."""

    role: str
    figure: str
    variable: str
    observations: tuple[Observation, ...]
    fit: Fit
    hold_out: HoldOut
    too_fast: bool
    """Whether it grows faster than n log n."""

    @property
    def largest(self) -> float:
        """The largest measured size."""
        return max(each.size for each in self.observations)

    @property
    def error(self) -> float:
        """Stated relative error: the largest of the hold-out error, the spread of runs around the fit and the minimum."""
        spread = max(_relative(each.value, self.fit.at(each.size)) for each in self.observations)
        return max(abs(self.hold_out.error), spread, MIN_STATED_ERROR)

    def beyond(self, size: float) -> bool:
        """Whether a prediction for that size extrapolates too far and is marked."""
        return size > MAX_EXTRAPOLATION_FACTOR * self.largest


def _relative(value: float, expected: float) -> float:
    if expected == 0.0:
        return 0.0 if value == 0.0 else math.inf
    return abs(value - expected) / abs(expected)


def numpy() -> ModuleType:
    """Import and return numpy. Raises FitsError where it is not installed."""
    try:
        import numpy as library
    except ImportError:
        raise FitsError("fits need numpy, which is not installed: pip install 'sprucepost[scale]'") from None
    return library


# One series


def best_fit(observations: Sequence[Observation]) -> Fit:
    """The shape with the lowest AICc, or constant where that is nearly as good. Raises FitsError without numpy."""
    fits = [_fit_shape(shape, observations) for shape in Shape]
    best = min((fit for fit in fits if fit.growth >= 0.0), key=lambda fit: fit.criterion)
    constant = next(fit for fit in fits if fit.shape is Shape.CONSTANT)
    return constant if constant.criterion - best.criterion < SUPPORTED_AICC_DIFFERENCE else best


def hold_out(observations: Sequence[Observation]) -> HoldOut:
    """Predict the largest size from the others."""
    largest = max(each.size for each in observations)
    others = [each for each in observations if each.size < largest]
    return HoldOut(largest, best_fit(others).at(largest), _mean_at(observations, largest))


def grows_too_fast(observations: Sequence[Observation]) -> bool:
    """Whether the square of the size explains the figure and no sum of the slower shapes does.

    Costs are additive, so no coefficient may be negative: over the few sizes that can be measured, n log n plus a
    negative linear term is as curved as a square.
    """
    largest = max(each.size for each in observations)
    squares = _nonnegative_regressions(
        [(_quadratic,), (float, _quadratic), (_constant, _quadratic), (_constant, float, _quadratic)], observations
    )
    if not squares:
        return False
    best = min(squares, key=lambda regression: regression.criterion)
    share = best.coefficients[-1] * _quadratic(largest)
    if share < MIN_QUADRATIC_SHARE * abs(_mean_at(observations, largest)):
        return False
    slower = _nonnegative_regressions(_subquadratic_sums(), observations)
    return min(regression.criterion for regression in slower) - best.criterion > DECISIVE_AICC_DIFFERENCE


def _nonnegative_regressions(sums: Sequence[tuple[Term, ...]], observations: Sequence[Observation]) -> list[Regression]:
    """Regressions on the given sums that have no negative coefficient."""
    found = [_least_squares(terms, observations) for terms in sums]
    return [regression for regression in found if min(regression.coefficients) >= 0.0]


def _subquadratic_sums() -> list[tuple[Term, ...]]:
    """Sums of the shapes' terms, with and without a constant."""
    terms = list(_TERMS.values())
    sums: list[tuple[Term, ...]] = [(term,) for term in terms]
    sums.append((float, _TERMS[Shape.LINEARITHMIC]))
    return [(_constant,), *sums, *((_constant, *each) for each in sums)]


def _constant(_size: float) -> float:
    return 1.0


def _quadratic(size: float) -> float:
    return size * size


def _mean_at(observations: Sequence[Observation], size: float) -> float:
    values = [each.value for each in observations if each.size == size]
    return sum(values) / len(values)


def _fit_shape(shape: Shape, observations: Sequence[Observation]) -> Fit:
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
    floor = (RESIDUAL_RESOLUTION * float(abs(values).mean())) ** 2
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
    """A series that was not fitted, with the reason."""

    role: str
    figure: str
    variable: str
    why: str


class Slopes(Struct, frozen=True):
    """Fits of all series of one results file."""

    fitted: tuple[Slope, ...]
    skipped: tuple[Skipped, ...]

    def of(self, role: str, figure: str) -> list[Slope]:
        """Slopes of one figure of one role, one for each variable."""
        return [slope for slope in self.fitted if (slope.role, slope.figure) == (role, figure)]


def series(results: Results) -> dict[tuple[str, str, str], list[Observation]]:
    """Observations by role, figure and variable: for each run, the mean over the role's real processes."""
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
    """Fit every series with enough sizes and runs. Raises FitsError where numpy is missing."""
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
    if sizes < MIN_SIZES:
        return f"{sizes} sizes, {MIN_SIZES} are needed"
    if len(observations) < MIN_RUNS_PER_SIZE * sizes:
        return f"{len(observations)} runs of {sizes} sizes, {MIN_RUNS_PER_SIZE} of each are needed"
    return ""
