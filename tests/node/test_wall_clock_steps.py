"""The machine's wall clock steps by up to an hour while tasks run; the clocks of the hosts and the list do not."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.node.binary import Kind
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.wire.support import wait_for

TASK = "c0455aa5c7e00001"
HOUR_MS = 3_600_000.0


class SteppingLoop(EpollLoop):
    """A loop whose wall clock is off by ``offset_ms``."""

    def __init__(self) -> None:
        super().__init__(1)
        self.offset_ms = 0.0

    def wall(self) -> float:
        return super().wall() + self.offset_ms


# Guards against an owner that gets no release after its host has restarted, since the placer's clock was set forward.
@pytest.mark.parametrize("step_ms", [HOUR_MS, 7000.0, 0.0, -HOUR_MS])
@pytest.mark.parametrize("accepted", ["before the step", "after the step"])
def test_a_listed_restart_releases_the_tasks_accepted_before_it(tmp_path: Path, step_ms: float, accepted: str) -> None:
    loop = SteppingLoop()

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        if accepted == "after the step":
            loop.offset_ms = step_ms
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        loop.offset_ms = step_ms
        yield from sleep(20)
        platform.bulletin.publish(host.entry(boot_ms=loop.wall() - step_ms))
        yield from wait_for_message(owner, TASK, Kind.RELEASE)

    run_on_platform(tmp_path, body, loop)


# Guards against an owner that gets a release while its task runs, since the placer's clock was set back.
@pytest.mark.parametrize("step_ms", [HOUR_MS, -7000.0, 0.0, -HOUR_MS])
@pytest.mark.parametrize("accepted", ["before the step", "after the step"])
def test_a_start_that_is_listed_late_releases_no_task_accepted_since(
    tmp_path: Path, step_ms: float, accepted: str
) -> None:
    loop = SteppingLoop()

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        started = loop.wall()
        yield from sleep(20)
        owner = yield from platform.owner()
        if accepted == "after the step":
            loop.offset_ms = step_ms
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        loop.offset_ms = step_ms
        lists = platform.service.counters["lists"]
        platform.bulletin.publish(host.entry(boot_ms=started))
        yield from wait_for(lambda: platform.service.counters["lists"] > lists)
        yield from sleep(50)
        assert platform.standing() == 1

    run_on_platform(tmp_path, body, loop)
