"""Fleet size settings: the values of the shipped file, and files that are rejected."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sprucepost.scale.settings import FleetSize
from sprucepost.settings import SettingsError, schema
from sprucepost.settings.reading import decode
from tests.scale.support import size

SCHEMA = Path(__file__).parent.parent.parent / "docs" / "scale.schema.json"


def lines(raw: Any) -> list[str]:
    with pytest.raises(SettingsError) as error:
        decode(json.dumps(raw).encode(), FleetSize, "f")
    return error.value.lines


def test_the_size_of_two_years_from_now_is_the_users() -> None:
    found = size("two-years")
    assert (found.workers, len(found.regions), len(found.zones), found.teams.count) == (1000, 2, 5, 230)
    work, changes, budgets, disruptions = found.work, found.changes, found.budgets, found.disruptions
    assert (work.jobs_per_day, work.peak_starts_per_s, work.running_tasks, work.largest_gang) == (16_000, 65, 4500, 64)
    assert min(each.aim_ms for each in work.classes) == 2300
    assert (changes.per_day, changes.in_force_ms) == (640, 3000)
    assert (budgets.cpu_percent, budgets.memory_mib, budgets.bytes_per_s) == (1.7, 128, 9000)
    assert budgets.control_machines == 6 and 260 <= found.placers <= 350
    assert (disruptions.failures_per_day, disruptions.restarts_per_day) == (8, 370)


@pytest.mark.parametrize(
    "path, value, line",
    [
        ("workers", 0, "workers: expected int >= 1"),
        ("workers", 4, "workers: 5 zones need at least one each"),
        ("placers", 5000, "placers: expected int <= 4096"),
        ("worker", 1, "worker: unknown key"),
        ("work.peak_s", "long", "work.peak_s: expected float, got str"),
        ("work.largest_gang", 500, "work.largest_gang: must not be above work.running_tasks"),
        ("work.peak_s", 60, "work.peak_s: the peak starts more tasks than work.running_tasks"),
        ("work.classes.0.job_share", 0.5, "work.classes: the job_share of all add up to 1.45, not 1"),
        ("work.classes.1.name", "urgent", "work.classes: 'urgent' appears twice"),
        ("regions.1.zones.0", "north-a", "regions.zones: 'north-a' appears twice"),
        ("regions.1.name", "north", "regions: 'north' appears twice"),
        ("budgets.memory", 1, "budgets.memory: unknown key"),
        ("changes.fleet_wide_share", 1.5, "changes.fleet_wide_share: expected float <= 1.0"),
    ],
)
def test_each_fault_is_one_line_with_its_key(path: str, value: Any, line: str) -> None:
    raw = msgspec.to_builtins(size())
    at = raw
    *way, last = path.split(".")
    for key in way:
        at = at[int(key)] if isinstance(at, list) else at[key]
    at[int(last) if isinstance(at, list) else last] = value
    assert lines(raw) == [f"f: {line}"]


def test_a_peak_that_is_most_of_the_day_is_rejected() -> None:
    raw = msgspec.to_builtins(size())
    raw["work"].update(jobs_per_day=10, peak_starts_per_s=20)
    assert lines(raw) == ["f: work.peak_starts_per_s: the peak alone would be over half of a day's 80 tasks"]


def test_the_published_schema_is_fresh() -> None:
    assert SCHEMA.read_text() == schema(FleetSize)
