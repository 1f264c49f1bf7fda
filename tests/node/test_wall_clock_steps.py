"""A machine's wall clock steps by an hour while tasks stand; the hosts' and the list's clocks do not."""

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
    """A loop whose wall clock is off by ``step`` ms."""

    def __init__(self) -> None:
        super().__init__(1)
        self.step = 0.0

    def wall(self) -> float:
        return super().wall() + self.step


# Guards against a call whose caller is never told that its host has started anew, since our clock was set forward.
@pytest.mark.parametrize("step", [HOUR_MS, 7000.0, 0.0, -HOUR_MS])
@pytest.mark.parametrize("stands", ["before the step", "after the step"])
def test_a_restart_that_the_list_tells_of_ends_what_stood_before_it(tmp_path: Path, step: float, stands: str) -> None:
    loop = SteppingLoop()

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        if stands == "after the step":
            loop.step = step
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        loop.step = step
        yield from sleep(20)
        platform.bulletin.publish(host.entry(boot_ms=loop.wall() - step))
        yield from wait_for_message(owner, TASK, Kind.RELEASE)

    run_on_platform(tmp_path, body, loop)


# Guards against a caller that is told of an end while its call runs, since our clock was set back.
@pytest.mark.parametrize("step", [HOUR_MS, -7000.0, 0.0, -HOUR_MS])
@pytest.mark.parametrize("stands", ["before the step", "after the step"])
def test_a_start_that_the_list_tells_of_late_ends_nothing_that_stood_since(
    tmp_path: Path, step: float, stands: str
) -> None:
    loop = SteppingLoop()

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        started = loop.wall()
        yield from sleep(20)
        owner = yield from platform.owner()
        if stands == "after the step":
            loop.step = step
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        loop.step = step
        lists = platform.service.counters["lists"]
        platform.bulletin.publish(host.entry(boot_ms=started))
        yield from wait_for(lambda: platform.service.counters["lists"] > lists)
        yield from sleep(50)
        assert platform.standing() == 1

    run_on_platform(tmp_path, body, loop)
