"""The machine's wall clock is wrong already when the placer starts; the clock of the list is right."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node.binary import Kind
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.test_wall_clock_steps import HOUR_MS, SteppingLoop
from tests.wire.support import wait_for

TASK = "c0455aa5c7e00001"
OFFSETS_MS = [HOUR_MS, 7000.0, 0.0, -7000.0, -HOUR_MS]


def lists_applied(platform: Platform) -> int:
    return platform.service.counters["lists"]


# Guards against an owner that gets no release after its host has restarted, since the placer's clock was set forward.
@pytest.mark.parametrize("offset_ms", [HOUR_MS, 0.0, -7000.0, -HOUR_MS])
def test_a_listed_restart_releases_the_tasks_accepted_before_it(tmp_path: Path, offset_ms: float) -> None:
    loop = SteppingLoop()
    loop.offset_ms = offset_ms

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        yield from sleep(20)
        platform.bulletin.publish(host.entry(boot_ms=loop.wall() - offset_ms))
        yield from wait_for_message(owner, TASK, Kind.RELEASE)

    run_on_platform(tmp_path, body, loop)


# Guards against an owner that gets a release while its task runs, since the placer's clock was set back.
@pytest.mark.parametrize("offset_ms", OFFSETS_MS)
def test_a_start_that_is_listed_late_releases_no_task_accepted_since(tmp_path: Path, offset_ms: float) -> None:
    loop = SteppingLoop()
    loop.offset_ms = offset_ms

    def body(platform: Platform) -> Co[None]:
        host, other = platform.host("s-1"), platform.host("s-2")
        platform.start()
        yield from wait_for(lambda: platform.service.feed.last_answer_at > 0)
        platform.bulletin.publish(other.entry(boot_ms=loop.wall() - offset_ms))  # shows how far apart the clocks are
        yield from wait_for(lambda: lists_applied(platform) > 1)
        started = loop.wall() - offset_ms
        yield from sleep(150)  # the first start was listed within the 50 ms between two requests
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        yield from sleep(50)
        platform.bulletin.publish(*(each.entry(boot_ms=started) for each in (host, other)))
        yield from wait_for(lambda: lists_applied(platform) > 2)
        yield from sleep(50)
        assert platform.standing() == 1

    run_on_platform(tmp_path, body, loop)


# Guards against loading a cold host like a warm one, and sparing a warm one for an hour, since the clock was set.
@pytest.mark.parametrize("offset_ms", OFFSETS_MS)
def test_the_decision_module_gets_the_real_age_of_a_host_that_has_just_started(
    tmp_path: Path, offset_ms: float
) -> None:
    loop = SteppingLoop()
    loop.offset_ms = offset_ms

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        yield from wait_for(lambda: platform.service.feed.last_answer_at > 0)
        started = loop.wall() - offset_ms
        yield from sleep(200)
        platform.bulletin.publish(host.entry(boot_ms=started))
        yield from wait_for(lambda: lists_applied(platform) > 1)
        yield from sleep(50)
        scheduler = platform.service.driver.scheduler
        age = platform.service.driver.now() - scheduler.machines["s-1"].started
        assert 0.0 <= age <= 3500.0, "at most the usual delay of the list, and not in the future"
        platform.bulletin.publish(host.entry(boot_ms=started, state="DRAINING"))
        yield from wait_for(lambda: lists_applied(platform) > 2)
        yield from sleep(50)
        grown = platform.service.driver.now() - scheduler.machines["s-1"].started - age
        assert grown >= 50.0, "a host that is listed again has not restarted"

    run_on_platform(tmp_path, body, loop)


# Guards against hosts of the first list that count as warm for long until each of them restarts.
def test_starts_of_the_first_list_are_corrected_once_a_later_start_shows_the_clock_ahead(tmp_path: Path) -> None:
    loop = SteppingLoop()
    loop.offset_ms = HOUR_MS

    def body(platform: Platform) -> Co[None]:
        young, other = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(young.entry(boot_ms=loop.wall() - HOUR_MS - 1000), other.entry(), everything=True)
        platform.start()
        yield from wait_for(lambda: platform.service.feed.last_answer_at > 0)
        platform.bulletin.publish(other.entry(boot_ms=loop.wall() - HOUR_MS))
        yield from wait_for(lambda: lists_applied(platform) > 1)
        yield from sleep(50)
        scheduler = platform.service.driver.scheduler
        assert 1000.0 <= platform.service.driver.now() - scheduler.machines["s-1"].started <= 4500.0

    run_on_platform(tmp_path, body, loop)
