"""Random schedules of processes that come back empty at their addresses, and planted defects that they must find.

To run more seeds: ``python -m tests.node.test_return_schedules FROM TO``.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

import pytest

from sprucepost.loop import Co
from sprucepost.node.health import HealthChecks
from sprucepost.node.host import Host, HostLink
from sprucepost.node.process_identity import HostProcess
from tests.node.return_schedules import ReturnSchedule
from tests.node.virtual_platform import VirtualPlatform, run_on_virtual_platform

SCHEDULES = 300
DEFECT_SCHEDULES = 60
TIME_ALONE_MS = 500.0


def faults(seeds: Iterable[int]) -> list[str]:
    found = []
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            found += ReturnSchedule(seed).play(Path(folder))
    return found


# Guards against owners that are told late or never of what ran at a process that is gone, and of the end of what runs where
# something shows it, in any order of deaths, returns, cuts, broken connections, entries of the list and hand-overs.
def test_in_every_random_schedule_silence_is_that_of_the_process_that_runs_a_task() -> None:
    assert faults(range(SCHEDULES)) == []


# Guards against a test platform on which a killed placer lives on: a dial of it came up 5 ms after its death, and it ended
# tasks that the next placer looked after.
@pytest.mark.parametrize("seed", [51735, 72038])
def test_a_killed_placer_ends_no_task_of_the_next_one(seed: int) -> None:
    assert faults([seed]) == []


def test_a_dial_of_a_killed_placer_does_not_come_up(tmp_path: Path) -> None:
    def body(platform: VirtualPlatform) -> Co[None]:
        process = platform.start_process("s-0")
        process.is_cut_off = True
        platform.publish(process.entry(), everything=True)
        platform.connect(platform.start_placer()).submit("d1655aa500000000")
        yield from platform.run(100.0)
        assert platform.loop.dialled and not process.connections
        platform.kill_placer(platform.placers[0])
        process.is_cut_off = False
        yield from platform.run(1000.0)
        assert not platform.came_up_at and not platform.offers

    run_on_virtual_platform(tmp_path, body)


def _hear_by_host(patch: pytest.MonkeyPatch) -> None:
    real = HealthChecks.message_received

    def message_received(self: HealthChecks, host: Host, link: HostLink) -> None:
        real(self, host, link)
        for process in self._processes.at(host.uid):
            process.heard_at = max(process.heard_at, link.process.process.heard_at)

    patch.setattr(HealthChecks, "message_received", message_received)


def _bind_all(self: HealthChecks, host: Host, link: HostLink) -> HostProcess:
    process = link.process.process
    for other in self._processes.at(host.uid):
        process = self._processes.merge(process, other)
    return process


FIRST_SEEDS = {"connections that follow each other lead to one process": 250}
"""For defects that show in one of some hundred schedules only: where to begin."""

DEFECTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "silence is that of the host": _hear_by_host,
    "an answer on a new connection shows the tasks of before": lambda patch: patch.setattr(
        HealthChecks, "_bind_unheard", _bind_all
    ),
    "connections that follow each other lead to one process": lambda patch: patch.setattr(
        HostProcess, "lived_with", lambda self, other: abs(self.alive_from - other.heard_at) < TIME_ALONE_MS
    ),
    "a host is not told to end what is in doubt": lambda patch: patch.setattr(
        HealthChecks, "answers_beside", lambda self, host, process: False
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_are_found(monkeypatch: pytest.MonkeyPatch, defect: str) -> None:
    DEFECTS[defect](monkeypatch)
    first = FIRST_SEEDS.get(defect, 0)
    assert any(faults([seed]) for seed in range(first, first + DEFECT_SCHEDULES))


if __name__ == "__main__":
    found = faults(range(int(sys.argv[1]), int(sys.argv[2])))
    print("\n".join(found) or "no fault")
    sys.exit(bool(found))
