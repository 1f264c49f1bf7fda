"""Reconnection storms: all connections of owners and machines break at once, under load, repeatedly."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.list_storm import run_storm
from sprucepost.loop import Co, sleep
from sprucepost.placer import discovery
from tests.placer.support import World, run_in_world, task
from tests.wire.support import wait_for

OWNERS, MACHINES, REQUESTS = 60, 6, 12


def test_every_owner_and_machine_reconnecting_at_once_loses_no_task() -> None:
    """Owners have open requests when their streams break, and go on sending requests without one.

    Every request must be answered once, and the checkers must find no rule broken in the recorded bytes.
    """

    def body(world: World) -> Co[Any]:
        for n in range(MACHINES):
            world.machine(f"m{n}", "room-a" if n % 2 else "room-b")
        placer = world.placer()
        proxy_address = world.tap.add("placer-0", placer.grpc_address)
        owners = [world.owner(proxy_address, f"owner-{n}") for n in range(OWNERS)]
        yield from world.ready(placer, MACHINES)
        yield from wait_for(lambda: all(owner.up for owner, _ in owners))
        asked = 0
        for round in range(REQUESTS):
            for n, (owner, _) in enumerate(owners):
                owner.submit(f"{n}-{round}", task("web" if n % 2 else "bill", life_ms=60), 3000)
                asked += 1
            yield from sleep(60)
            if round % 4 == 2:
                world.tap.break_connections("reset", target="placer-0")
                for m in range(MACHINES):
                    world.tap.break_connections("reset", target=f"m{m}")
        yield from wait_for(
            lambda: (
                all(len(received.frames) == REQUESTS for _, received in owners)
                and all(received.outcomes(name) for _, received in owners for name in received.frames)
            ),
            8000,
        )
        once = all(len(received.outcomes(name)) == 1 for _, received in owners for name in received.frames)
        placed = sum(received.outcomes(name) == ["bound"] for _, received in owners for name in received.frames)
        resumed = sum(sum(received.sessions) for _, received in owners)
        broken = {rule: found for rule, found in world.check_rules().items() if found}
        return asked, once, placed > asked / 4, resumed, broken, placer.engine.ledger.open

    asked, once, placed, resumed, broken, still_open = run_in_world(body)
    assert asked == OWNERS * REQUESTS and once and placed and broken == {} and still_open == 0
    assert resumed >= OWNERS  # owners resumed their sessions


def test_no_placer_starves_if_the_list_serves_calls_whose_callers_gave_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sixty first calls arrive at once, four fifths of which are not answered within a placer's timeout.

    With the same timeout for every call only the earliest calls were ever answered: the list was busy with calls whose
    callers had given up.
    """
    monkeypatch.setattr(discovery, "FIRST_UPDATE_TIMEOUT_MS", 400.0)

    found = run_storm(60, 30.0, 300.0, 12_000.0)
    assert found["heard"] == 60 and found["most_calls_open"] <= 60 and found["calls"] <= 130
    monkeypatch.setattr(discovery, "SLOW_LIST_TIMEOUT_FACTOR", 1)  # the behaviour before
    assert run_storm(60, 30.0, 300.0, 8000.0)["heard"] < 60
