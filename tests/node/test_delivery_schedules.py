"""Random schedules of connections that end around messages, and planted defects that they must find.

To run more seeds: ``python -m tests.node.test_delivery_schedules FROM TO``.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

import pytest

from sprucepost.loop import Transport
from sprucepost.node.delivery import Deliveries
from sprucepost.node.host import HostLink
from sprucepost.node.jsonl import MessageType, encode
from sprucepost.node.owner_releases import OwnerReleases
from sprucepost.node.task_ends import TaskEnds
from tests.node.delivery_schedules import DeliverySchedule

SCHEDULES = 300
DEFECT_SCHEDULES = 60


def faults(seeds: Iterable[int]) -> list[str]:
    found = []
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            found += DeliverySchedule(seed).play(Path(folder))
    return found


# Guards against clients that are told nothing of an end, or are told again of what they have read, and against tasks that
# run on after their clients have ended them, in any order of ends of tasks and of connections.
def test_in_every_random_schedule_each_message_takes_effect_at_its_peer() -> None:
    assert faults(range(SCHEDULES)) == []


def _write_and_forget(self: TaskEnds, link: HostLink, sid: str) -> None:
    link.transport.write(encode(MessageType.CLOSE, sid, code=16))


DEFECTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "sent is taken for delivered": lambda patch: patch.setattr(
        Deliveries, "undelivered", lambda self, open_at: self.unsent()
    ),
    "an end counts from when it is read": lambda patch: patch.setattr(
        Transport, "open_until", property(lambda self: self._loop.now())
    ),
    "the latest poll shows what is not handled yet": lambda patch: patch.setattr(
        Transport, "known_open_at", property(lambda self: self._loop.polled_at)
    ),
    "an end of a task is forgotten when its host closes": lambda patch: patch.setattr(
        TaskEnds, "_write", _write_and_forget
    ),
    "what has been delivered is sent again": lambda patch: patch.setattr(
        Deliveries, "_drop_delivered", lambda self, open_at: None
    ),
    "an address is an owner": lambda patch: patch.setattr(OwnerReleases, "_send_copies", lambda self, guesses: None),
}


FIRST_SEEDS = {"the latest poll shows what is not handled yet": 200}
"""For a defect that shows in one of some hundred schedules only: where to begin."""


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_are_found(monkeypatch: pytest.MonkeyPatch, defect: str) -> None:
    DEFECTS[defect](monkeypatch)
    first = FIRST_SEEDS.get(defect, 0)
    assert any(faults([seed]) for seed in range(first, first + DEFECT_SCHEDULES))


if __name__ == "__main__":
    found = faults(range(int(sys.argv[1]), int(sys.argv[2])))
    print("\n".join(found) or "no fault")
    sys.exit(bool(found))
