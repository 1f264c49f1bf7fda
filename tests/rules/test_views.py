"""The checks of views: an honest record passes, and each way of breaking a promise is found in it."""

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
ENDED = 60_000.0
Lines = dict[str, list[dict[str, Any]]]


class Record:
    """A quiet day of three placers, of which the last one is killed and started again; and a stranger who says hello."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = [
            {"what": "started", "at": 0.0, "placers": 3},
            {"what": "fault", "at": 20_000.0, "kind": "placer_kill"},
            {"what": "placer_killed", "at": 20_001.0, "placer": "placer-2"},
            {"what": "placer_started", "at": 30_000.0, "placer": "placer-2"},
            {"what": "fault_over", "at": 30_001.0, "kind": "placer_kill"},
            {"what": "peers_quiet", "at": 45_000.0},
            {"what": "ended", "at": ENDED},
        ]
        self.lines: Lines = {name: [] for name in NAMES}
        for name in NAMES:
            self.view(name, 1000.0, NAMES)
        for name in NAMES[:2]:
            self.view(name, 21_800.0, NAMES[:2], ["placer-2"])
        for name in NAMES:
            self.view(name, 31_000.0, NAMES)
        self.frames: list[Message | Closed] = []
        for n, name in enumerate(NAMES):
            self.say(n, name, NAMES[(n + 1) % 3], Hello("fleet", "s", record(n, name=name)))
            self.say(n, name, NAMES[(n + 1) % 3], Heartbeat(7), ENDED - 500.0)
        self.say(9, "stranger-0", "placer-0", Hello("another", "s", record(9, name="stranger-0")))
        self.say(9, "placer-0", "placer-0", Hello("fleet", "s", record(0, name="placer-0")), from_client=False)

    def view(self, name: str, at: float, here: Any, away: Any = ()) -> None:
        self.lines[name].append({"at_ms": at, "here": list(here), "away": list(away)})

    def say(
        self, stream: int, client: str, target: str, word: ViewMessage, at: float = 500.0, from_client: bool = True
    ) -> None:
        message = Message(at, len(self.frames), stream, client, target, PEER_WATCH, 1, from_client, encode(word), 0.0)
        self.frames.append(message)

    def checked(self, run: RunHistory | None = None) -> dict[str, RuleResult]:
        return {
            result.rule: result for result in check_views(self.frames, self.events, self.lines, run or RunHistory())
        }


def test_an_honest_record_passes_and_is_looked_at() -> None:
    for result in Record().checked().values():
        assert not result.broken and not result.undecided and result.checked > 0


def another_digest(record: Record) -> None:
    record.say(0, "placer-0", "placer-1", Heartbeat(8), ENDED - 100.0)


def silent_at_the_end(record: Record) -> None:
    record.frames = [frame for frame in record.frames if (frame.client, frame.at) != ("placer-1", ENDED - 500.0)]


def last_view_lacks_one(record: Record) -> None:
    record.view("placer-1", 50_000.0, NAMES[:2])


def calls_a_living_one_away(record: Record) -> None:
    record.view("placer-0", 50_000.0, NAMES[:2], ["placer-2"])
    record.view("placer-0", 51_000.0, NAMES)


def never_misses_the_killed(record: Record) -> None:
    del record.lines["placer-0"][1]


def misses_it_late(record: Record) -> None:
    record.lines["placer-0"][1]["at_ms"] = 27_000.0


def talks_to_strangers(record: Record) -> None:
    record.say(9, "placer-0", "placer-0", RecordUpdates(()), from_client=False)


def shows_a_stranger(record: Record) -> None:
    record.view("placer-0", 40_000.0, [*NAMES, "stranger-0"])
    record.view("placer-0", 41_000.0, NAMES)


@pytest.mark.parametrize(
    "plant, rule",
    [
        (another_digest, "view settles"), (silent_at_the_end, "view settles"), (last_view_lacks_one, "view settles"),
        (calls_a_living_one_away, "view is told"), (never_misses_the_killed, "view is told"),
        (misses_it_late, "view is told"), (talks_to_strangers, "one fleet"), (shows_a_stranger, "one fleet"),
    ],
)  # fmt: skip
def test_each_broken_promise_is_found(plant: Callable[[Record], None], rule: str) -> None:
    record = Record()
    plant(record)
    broken = {name for name, result in record.checked().items() if result.broken}
    assert broken == {rule}


def test_what_cannot_be_known_is_not_checked_or_undecided() -> None:
    record = Record()
    calls_a_living_one_away(record)
    record.events[5:5] = [
        {"what": "fault", "at": 43_000.0, "kind": "peer_cut"},
        {"what": "fault_over", "at": 44_000.0, "kind": "peer_cut"},
    ]
    assert not record.checked()["view is told"].broken, "links were cut shortly before"
    record = Record()
    calls_a_living_one_away(record)
    starved = RunHistory(starved={"placer-2": [(47_000.0, 49_000.0)]})
    found = record.checked(starved)["view is told"]
    assert not found.broken and len(found.undecided) == 1
