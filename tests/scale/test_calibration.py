"""Agreement of figures measured beside hollow and beside real placers."""

from __future__ import annotations

from sprucepost.scale.calibration import Agreement, agreement
from sprucepost.scale.results import FORMAT, Point, Results, Sample


def results_of(hollow: bool, *messages: float) -> Results:
    samples = tuple(Sample("placer", f"placer{n}", {"messages_out_per_s": value}) for n, value in enumerate(messages))
    other = Sample("node", "node0", {"messages_out_per_s": 1000.0})
    point = Point("placers", 24, 0, 1, 6.0, 0.0, (*samples, other))
    return Results(FORMAT, "v", "command", "plan", 1, 8, (point,), hollow)


def test_the_means_over_the_placers_are_compared() -> None:
    (found,) = agreement(results_of(True, 4.0, 5.0), results_of(False, 4.5, 5.5))
    assert (found.figure, found.hollow, found.real) == ("messages_out_per_s", 4.5, 5.0)
    assert round(found.difference, 3) == -0.1 and found.agrees
    (found,) = agreement(results_of(True, 4.0), results_of(False, 5.0))
    assert not found.agrees and "-20.0 %, does not agree" in str(found)


def test_a_nonzero_figure_does_not_agree_with_zero() -> None:
    assert Agreement("f", 0.0, 0.0, 0.0).agrees
    assert not Agreement("f", 1.0, 0.0, 0.0).agrees
