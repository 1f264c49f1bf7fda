"""The time at which the benchmark of the view considers a fleet settled."""

from __future__ import annotations

from typing import Any

from benchmarks.view_fleet import settled_ms
from tests.peers.fleet import Fleet


class LoggedFleet(Fleet):
    """A fleet that consists of log lines only."""

    def __init__(self, lines: dict[int, list[dict[str, Any]]]) -> None:
        self.lines = lines

    def logged(self, number: int, event: str) -> list[dict[str, Any]]:
        assert event == "view"
        return self.lines[number]


def line(at_ms: float, *here: str) -> dict[str, Any]:
    return {"at_ms": at_ms, "here": list(here), "away": []}


def test_a_fleet_is_settled_once_every_placer_has_logged_the_whole_fleet() -> None:
    fleet = LoggedFleet({0: [line(5.0, "p0", "p1")], 1: []})
    assert settled_ms(fleet, range(2)) is None
    fleet.lines[1].append(line(6.0, "p1"))
    assert settled_ms(fleet, range(2)) is None, "the last placer has logged only a part of the fleet"
    fleet.lines[1].append(line(7.0, "p0", "p1"))
    assert settled_ms(fleet, range(2)) == 7.0
    fleet.lines[0].append(line(9.0, "p0", "p1", "p2"))
    assert settled_ms(fleet, range(2)) == 7.0, "the first line of the whole fleet counts"
