"""Stop of the recording proxy."""

from __future__ import annotations

from typing import Any

from sprucepost.loop import Co, sleep
from sprucepost.standin.recording_proxy import LinkCondition
from tests.placer.support import World, run_in_world, task
from tests.wire.support import wait_for


def test_a_stopped_proxy_records_and_forwards_nothing_more() -> None:
    """Data that still waited to be forwarded was written to the closed capture file, which ended the process."""

    def body(world: World) -> Co[Any]:
        world.machine("m0")
        placer = world.placer()
        front = world.tap.add("placer-0", placer.grpc_address)
        owner, _ = world.owner(front)
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: owner.up)
        world.tap.set_condition("slow", LinkCondition(target="placer-0", delay_ms=60.0))
        for n in range(5):
            owner.submit(f"t{n}", task(), 2000)
        yield from sleep(20.0)
        world.tap.stop()
        recorded = len(world.captured)
        yield from sleep(200.0)
        return len(world.captured) - recorded, placer.engine.counters["submitted"], len(world.tap.connections), owner.up

    assert run_in_world(body) == (0, 0, 0, False)
