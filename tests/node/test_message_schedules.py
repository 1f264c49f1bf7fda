"""Random schedules of hosts' messages, and planted defects that they must find.

To run more seeds: ``python -m tests.node.test_message_schedules FROM TO``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.node import releases
from sprucepost.node.tasks import Tasks
from tests.node.message_schedules import Schedule

SCHEDULES = 100


def faults(seeds: range) -> list[str]:
    return [fault for seed in seeds for fault in Schedule(seed).play()]


# Guards against a task that has ended at its host without its client being told, in any order of the host's messages.
def test_in_every_random_schedule_clients_are_told_of_ended_tasks() -> None:
    assert faults(range(SCHEDULES)) == []


def _fail_silently(self: Tasks, attempt: Any, reason: Any, report: Any) -> None:
    self.end_attempt(attempt, i.Ending.RESET)


def _drop(self: Tasks, machine: str, line: Any) -> None:
    self.counters["late_words"] += 1


DEFECTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "messages on other connections are dropped": lambda patch: patch.setattr(
        Tasks, "_handle_message_for_unplaced", _drop
    ),
    "a release on another connection is not matched to the attempt": lambda patch: patch.setattr(
        releases, "ends_open_attempt", lambda attempt, line, now: False
    ),
    "messages that cross a withdrawal are dropped": lambda patch: patch.setattr(
        releases, "preceded_withdrawal", lambda withdrawal, line: False
    ),
    "reasons of accepted tasks are unknown": lambda patch: patch.setattr(
        releases, "ACCEPTED_TASK_REASONS", frozenset()
    ),
    "a failure before the answer is not reported": lambda patch: patch.setattr(
        Tasks, "_fail_unanswered", _fail_silently
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_are_found(monkeypatch: pytest.MonkeyPatch, defect: str) -> None:
    DEFECTS[defect](monkeypatch)
    assert any(Schedule(seed).play() for seed in range(SCHEDULES))


if __name__ == "__main__":
    found = faults(range(int(sys.argv[1]), int(sys.argv[2])))
    print("\n".join(found) or "none")
