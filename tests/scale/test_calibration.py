"""What calibration calls agreement."""

from __future__ import annotations

from sprucepost.scale.calibration import Agreement, agreement
from sprucepost.scale.results import FORMAT, Point, Results, Sample


def kept(hollow: bool, *messages: float) -> Results:
    samples = tuple(Sample("placer", f"placer{n}", {"messages_out_per_s": value}) for n, value in enumerate(messages))
    other = Sample("node", "node0", {"messages_out_per_s": 1000.0})
    point = Point("placers", 24, 0, 1, 6.0, 0.0, (*samples, other))
    return Results(FORMAT, "v", "command", "plan", 1, 8, (point,), hollow)


def test_the_mean_of_the_same_placers_is_compared() -> None:
    (found,) = agreement(kept(True, 4.0, 5.0), kept(False, 4.5, 5.5))
    assert (found.figure, found.hollow, found.real) == ("messages_out_per_s", 4.5, 5.0)
    assert round(found.difference, 3) == -0.1 and found.agrees
    (found,) = agreement(kept(True, 4.0), kept(False, 5.0))
    assert not found.agrees and "-20.0 %, does not agree" in str(found)


def test_something_beside_nothing_does_not_agree() -> None:
    assert Agreement("f", 0.0, 0.0, 0.0).agrees
    assert not Agreement("f", 1.0, 0.0, 0.0).agrees
