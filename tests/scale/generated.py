"""Synthetic scale results with known growth and noise, which the fits must recover."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from sprucepost.scale.results import FORMAT, Point, Results, Sample

Growth = Callable[[float], float]
"""What one variable adds to a figure at a given size; 0 at its base."""

BASE = {"placers": 24.0, "workers": 24.0, "teams": 4.0}
SIZES = {"placers": (12, 24, 48, 96), "workers": (24, 50, 100, 200), "teams": (4, 8, 16, 32)}
NOISE = 0.02


def generated(
    figures: Mapping[str, tuple[float, Mapping[str, Growth]]],
    seed: int,
    role: str = "placer",
    repeats: int = 3,
    processes: int = 2,
    sizes: Mapping[str, tuple[float, ...]] = SIZES,
) -> Results:
    """``figures``: a name, its value at the base and what each variable adds; noise is relative, drawn from ``seed``."""
    rng = random.Random(seed)

    def sample(number: int, variable: str, size: float) -> Sample:
        values = {
            name: (base + (grows[variable](size) - grows[variable](BASE[variable]) if variable in grows else 0.0))
            * rng.gauss(1.0, NOISE)
            for name, (base, grows) in figures.items()
        }
        return Sample(role, f"{role}-{number}", values)

    points = [
        Point(
            variable, float(size), repeat, rng.randrange(2**31), 20.0, 1.0,
            tuple(sample(number, variable, size) for number in range(processes)),
        )
        for repeat in range(repeats)
        for variable, each in sizes.items()
        for size in each
    ]  # fmt: skip
    return Results(FORMAT, "v0", "generated", "small", seed, 8, tuple(points), base=dict(BASE))
