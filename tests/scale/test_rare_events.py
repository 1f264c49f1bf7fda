"""Rare events in an interval of seconds."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop.epoll import EpollLoop
from sprucepost.scale.fleet import Fleet, FleetOptions
from sprucepost.scale.processes import ProcessGroup
from sprucepost.scale.rare_events import KINDS, Kind, Schedule
from sprucepost.scale.size import RunSize


def fleet(size: RunSize) -> Fleet:
    loop = EpollLoop(1)
    try:
        return Fleet(ProcessGroup(Path()), loop, "test", size, FleetOptions())
    finally:
        loop.close()


def test_an_hour_of_events_falls_into_a_minute_and_into_its_first_half() -> None:
    happened: list[int] = []
    kind = Kind("changes", lambda fleet: fleet.size.changes_per_day, lambda fleet, number: happened.append(number))
    schedule = Schedule(fleet(RunSize(changes_per_day=720.0)), kind, 6.0)
    assert schedule.events == 3, "0.5 a second"
    counts = []
    for passed_s in (0.0, 0.9, 1.1, 2.1, 5.9):
        schedule.step(passed_s)
        counts.append(len(happened))
    assert counts == [1, 1, 2, 3, 3] and happened == [0, 1, 2]


def test_what_an_event_costs_counts_at_the_planned_rate() -> None:
    schedule = Schedule(fleet(RunSize(restarts_per_day=864.0)), KINDS[1], 5.0)
    assert schedule.events == 3
    assert schedule.percent(additional_cpu_s=0.3) == pytest.approx(100.0 * 0.1 * 0.01)


def test_a_rare_kind_has_one_event() -> None:
    schedule = Schedule(fleet(RunSize(changes_per_day=1.0)), KINDS[0], 6.0)
    assert schedule.events == 1
