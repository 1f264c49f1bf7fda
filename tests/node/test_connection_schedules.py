"""Random schedules of clients' connections, and planted defects that they must find.

To run more seeds: ``python -m tests.node.test_connection_schedules FROM TO``.
"""

from __future__ import annotations

import math
import sys
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from sprucepost.node import connection_states, owner_link, owners
from sprucepost.node.connection_states import ConnectionFacts, Review
from sprucepost.node.owner_link import OwnerLink
from sprucepost.node.tasks import Tasks
from tests.node.connection_schedules import ConnectionSchedule

SCHEDULES = 100


def faults(seeds: range, folder: Path) -> list[str]:
    return [fault for seed in seeds for fault in ConnectionSchedule(seed).play(folder)]


# Guards against a connection that is kept without an end, or ended before its requests have their outcomes (issue 57).
def test_in_every_random_schedule_connections_end_in_time(tmp_path: Path) -> None:
    assert faults(range(SCHEDULES), tmp_path) == []


def _keep_partial(facts: ConnectionFacts, idle_ms: float) -> Review:
    return connection_states.review(replace(facts, partial_since=None), idle_ms)


def _keep_without_message(facts: ConnectionFacts, idle_ms: float) -> Review:
    found = connection_states.review(facts, idle_ms)
    return found if facts.has_sent_message else replace(found, ends_at=math.inf)


def _keep_for_owner(facts: ConnectionFacts, idle_ms: float) -> Review:
    return connection_states.review(replace(facts, unanswered_since=None), idle_ms)


def _end_with_requests_open(facts: ConnectionFacts, idle_ms: float) -> Review:
    return connection_states.review(replace(facts, open_set_ups=0), idle_ms)


def _do_nothing(*_: object) -> None: ...


DEFECTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "half a message has no deadline": lambda patch: patch.setattr(owners, "review", _keep_partial),
    "a silent client has no deadline": lambda patch: patch.setattr(owners, "review", _keep_without_message),
    "a message of no use has no deadline": lambda patch: patch.setattr(owners, "review", _keep_for_owner),
    "a request taken back counts as answered": lambda patch: patch.setattr(OwnerLink, "await_answer", _do_nothing),
    "open requests keep no connection": lambda patch: patch.setattr(owners, "review", _end_with_requests_open),
    "open requests are dropped with a connection": lambda patch: patch.setattr(Tasks, "fail_open", _do_nothing),
    "an owner that reads counts as one that does not": lambda patch: patch.setattr(owner_link, "MAX_UNREAD_BYTES", 0),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_are_found(monkeypatch: pytest.MonkeyPatch, tmp_path: Path, defect: str) -> None:
    DEFECTS[defect](monkeypatch)
    assert any(faults(range(seed, seed + 1), tmp_path) for seed in range(SCHEDULES)), defect


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        found = faults(range(int(sys.argv[1]), int(sys.argv[2])), Path(folder))
    print("\n".join(found) or "no fault")
    sys.exit(bool(found))
