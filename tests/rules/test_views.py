"""Checks of views: the record of a correct run passes, and each planted violation is found."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from sprucepost.peers.codec import encode
from sprucepost.rules.checker import RuleResult, RunHistory
from sprucepost.rules.streams import Closed, Message
from sprucepost.rules.views import PEER_WATCH, check_views
from sprucepost.view.messages import Heartbeat, Hello, RecordUpdates, ViewMessage
from tests.view.test_view import record

NAMES = ("placer-0", "placer-1", "placer-2")
ENDED_AT_MS = 60_000.0
Lines = dict[str, list[dict[str, Any]]]


class Record:
    """Record of a run with three placers, the last of which is killed and restarted, and a member of another cluster."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = [
            {"what": "started", "at": 0.0, "placers": 3},
            {"what": "fault", "at": 20_000.0, "kind": "placer_kill"},
            {"what": "placer_killed", "at": 20_001.0, "placer": "placer-2"},
            {"what": "placer_started", "at": 30_000.0, "placer": "placer-2"},
            {"what": "fault_over", "at": 30_001.0, "kind": "placer_kill"},
            {"what": "peers_quiet", "at": 45_000.0},
            {"what": "ended", "at": ENDED_AT_MS},
        ]
        self.lines: Lines = {name: [] for name in NAMES}
        for name in NAMES:
            self.add_view(name, 1000.0, NAMES)
        for name in NAMES[:2]:
            self.add_view(name, 21_800.0, NAMES[:2], ["placer-2"])
        for name in NAMES:
            self.add_view(name, 31_000.0, NAMES)
        self.frames: list[Message | Closed] = []
        for n, name in enumerate(NAMES):
            self.add_message(n, name, NAMES[(n + 1) % 3], Hello("fleet", "s", record(n, name=name)))
            self.add_message(n, name, NAMES[(n + 1) % 3], Heartbeat(7), ENDED_AT_MS - 500.0)
        self.add_message(9, "stranger-0", "placer-0", Hello("another", "s", record(9, name="stranger-0")))
        self.add_message(9, "placer-0", "placer-0", Hello("fleet", "s", record(0, name="placer-0")), from_client=False)

    def add_view(self, name: str, at: float, here: Any, away: Any = ()) -> None:
        self.lines[name].append({"at_ms": at, "here": list(here), "away": list(away)})

    def add_message(
        self,
        stream: int,
        client: str,
        target: str,
        view_message: ViewMessage,
        at: float = 500.0,
        from_client: bool = True,
    ) -> None:
        message = Message(
            at, len(self.frames), stream, client, target, PEER_WATCH, 1, from_client, encode(view_message), 0.0
        )
        self.frames.append(message)

    def checked(self, run: RunHistory | None = None) -> dict[str, RuleResult]:
        return {
            result.rule: result for result in check_views(self.frames, self.events, self.lines, run or RunHistory())
        }


def test_a_correct_record_passes_and_is_checked() -> None:
    for result in Record().checked().values():
        assert not result.broken and not result.undecided and result.checked > 0


def sends_another_digest(record: Record) -> None:
    record.add_message(0, "placer-0", "placer-1", Heartbeat(8), ENDED_AT_MS - 100.0)


def sends_nothing_at_the_end(record: Record) -> None:
    record.frames = [frame for frame in record.frames if (frame.client, frame.at) != ("placer-1", ENDED_AT_MS - 500.0)]


def last_view_lacks_one(record: Record) -> None:
    record.add_view("placer-1", 50_000.0, NAMES[:2])


def shows_a_running_member_as_away(record: Record) -> None:
    record.add_view("placer-0", 50_000.0, NAMES[:2], ["placer-2"])
    record.add_view("placer-0", 51_000.0, NAMES)


def never_shows_a_killed_member_as_away(record: Record) -> None:
    del record.lines["placer-0"][1]


def shows_a_killed_member_as_away_too_late(record: Record) -> None:
    record.lines["placer-0"][1]["at_ms"] = 27_000.0


def sends_updates_to_another_cluster(record: Record) -> None:
    record.add_message(9, "placer-0", "placer-0", RecordUpdates(()), from_client=False)


def shows_a_member_of_another_cluster(record: Record) -> None:
    record.add_view("placer-0", 40_000.0, [*NAMES, "stranger-0"])
    record.add_view("placer-0", 41_000.0, NAMES)


@pytest.mark.parametrize(
    "plant, rule",
    [
        (sends_another_digest, "view settles"),
        (sends_nothing_at_the_end, "view settles"),
        (last_view_lacks_one, "view settles"),
        (shows_a_running_member_as_away, "view is told"),
        (never_shows_a_killed_member_as_away, "view is told"),
        (shows_a_killed_member_as_away_too_late, "view is told"),
        (sends_updates_to_another_cluster, "one fleet"),
        (shows_a_member_of_another_cluster, "one fleet"),
    ],
)
def test_each_planted_violation_is_found(plant: Callable[[Record], None], rule: str) -> None:
    record = Record()
    plant(record)
    broken = {name for name, result in record.checked().items() if result.broken}
    assert broken == {rule}


def test_what_the_evidence_leaves_open_is_not_checked_or_undecided() -> None:
    record = Record()
    shows_a_running_member_as_away(record)
    record.events[5:5] = [
        {"what": "fault", "at": 43_000.0, "kind": "peer_cut"},
        {"what": "fault_over", "at": 44_000.0, "kind": "peer_cut"},
    ]
    assert not record.checked()["view is told"].broken, "links were cut shortly before"
    record = Record()
    shows_a_running_member_as_away(record)
    starved = RunHistory(starved={"placer-2": [(47_000.0, 49_000.0)]})
    found = record.checked(starved)["view is told"]
    assert not found.broken and len(found.undecided) == 1
