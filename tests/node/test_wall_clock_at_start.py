"""A machine's wall clock is off already when the placer starts there; the list's clock is not."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.test_wall_clock_steps import HOUR_MS, SteppingLoop
from tests.wire.support import wait_for

TASK = "c0455aa5c7e00001"
OFF = [HOUR_MS, 7000.0, 0.0, -7000.0, -HOUR_MS]


def lists_of(platform: Platform) -> int:
    return platform.service.counters["lists"]


# Guards against a call whose caller is never told that its host has started anew, since our clock was set forward.
@pytest.mark.parametrize("off", [HOUR_MS, 0.0, -7000.0, -HOUR_MS])
def test_a_restart_that_the_list_tells_of_ends_what_stood_before_it(tmp_path: Path, off: float) -> None:
    loop = SteppingLoop()
    loop.step = off

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        yield from sleep(20)
        platform.bulletin.publish(host.entry(boot_ms=loop.wall() - off))
        yield from wait_for_message(owner, TASK, Kind.RELEASE)

    run_on_platform(tmp_path, body, loop)


# Guards against a caller that is told of an end while its call runs, since our clock was set back.
@pytest.mark.parametrize("off", OFF)
def test_a_start_that_the_list_tells_of_late_ends_nothing_that_stood_since(tmp_path: Path, off: float) -> None:
    loop = SteppingLoop()
    loop.step = off

    def body(platform: Platform) -> Co[None]:
        host, other = platform.host("s-1"), platform.host("s-2")
        platform.start()
        yield from wait_for(lambda: platform.service.feed.last_answer_at > 0)
        platform.bulletin.publish(other.entry(boot_ms=loop.wall() - off))  # shows how far the clocks are apart
        yield from wait_for(lambda: lists_of(platform) > 1)
        started = loop.wall() - off
        yield from sleep(150)  # the first start was listed within the 50 ms that lie between two questions
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        yield from sleep(50)
        platform.bulletin.publish(*(each.entry(boot_ms=started) for each in (host, other)))
        yield from wait_for(lambda: lists_of(platform) > 2)
        yield from sleep(50)
        assert platform.standing() == 1

    run_on_platform(tmp_path, body, loop)


# Guards against a cold host that gets a warm one's load, and a warm one that is spared for an hour, since our clock was set.
@pytest.mark.parametrize("off", OFF)
def test_a_host_that_has_just_started_is_as_old_for_the_module_as_it_is(tmp_path: Path, off: float) -> None:
    loop = SteppingLoop()
    loop.step = off

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        yield from wait_for(lambda: platform.service.feed.last_answer_at > 0)
        started = loop.wall() - off
        yield from sleep(200)
        platform.bulletin.publish(host.entry(boot_ms=started))
        yield from wait_for(lambda: lists_of(platform) > 1)
        yield from sleep(50)
        scheduler = platform.service.driver.scheduler
        age = platform.service.driver.now() - scheduler.machines["s-1"].started
        assert 0.0 <= age <= 3500.0, "no older than the list may be late, and not of the future"
        platform.bulletin.publish(host.entry(boot_ms=started, state="DRAINING"))
        yield from wait_for(lambda: lists_of(platform) > 2)
        yield from sleep(50)
        grown = platform.service.driver.now() - scheduler.machines["s-1"].started - age
        assert grown >= 50.0, "told once more it has not started anew"

    run_on_platform(tmp_path, body, loop)


# Guards against hosts of the first list that count as long warm until each of them starts anew.
def test_what_the_first_list_told_is_put_right_once_a_start_shows_our_clock_ahead(tmp_path: Path) -> None:
    loop = SteppingLoop()
    loop.step = HOUR_MS

    def body(platform: Platform) -> Co[None]:
        young, other = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(young.entry(boot_ms=loop.wall() - HOUR_MS - 1000), other.entry(), everything=True)
        platform.start()
        yield from wait_for(lambda: platform.service.feed.last_answer_at > 0)
        platform.bulletin.publish(other.entry(boot_ms=loop.wall() - HOUR_MS))
        yield from wait_for(lambda: lists_of(platform) > 1)
        yield from sleep(50)
        scheduler = platform.service.driver.scheduler
        assert 1000.0 <= platform.service.driver.now() - scheduler.machines["s-1"].started <= 4500.0

    run_on_platform(tmp_path, body, loop)
