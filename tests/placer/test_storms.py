"""Storms: every owner's and machine's connection breaks at once, under load, again and again."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.list_storm import played
from sprucepost.loop import Co, sleep
from sprucepost.placer import discovery
from tests.placer.support import World, play, task
from tests.wire.support import wait_for

OWNERS, MACHINES, ASKS = 60, 6, 12


def test_every_owner_and_machine_reconnecting_at_once_loses_no_task() -> None:
    """Each owner has asks open when its stream breaks, and asks on while it has none. Every ask is answered once, and the
    checkers find no rule broken in the bytes."""

    def body(world: World) -> Co[Any]:
        for n in range(MACHINES):
            world.machine(f"m{n}", "room-a" if n % 2 else "room-b")
        placer = world.placer()
        front = world.tap.add("placer-0", placer.grpc_address)
        owners = [world.owner(front, f"owner-{n}") for n in range(OWNERS)]
        yield from world.ready(placer, MACHINES)
        yield from wait_for(lambda: all(owner.up for owner, _ in owners))
        asked = 0
        for round in range(ASKS):
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
                all(len(followed.frames) == ASKS for _, followed in owners)
                and all(followed.outcomes(name) for _, followed in owners for name in followed.frames)
            ),
            8000,
        )
        once = all(len(followed.outcomes(name)) == 1 for _, followed in owners for name in followed.frames)
        placed = sum(followed.outcomes(name) == ["bound"] for _, followed in owners for name in followed.frames)
        resumed = sum(sum(followed.sessions) for _, followed in owners)
        broken = {rule: found for rule, found in world.check_rules().items() if found}
        return asked, once, placed > asked / 4, resumed, broken, placer.engine.ledger.open

    asked, once, placed, resumed, broken, still = play(body)
    assert asked == OWNERS * ASKS and once and placed and broken == {} and still == 0
    assert resumed >= OWNERS  # they came back to their sessions


def test_no_placer_starves_for_a_list_that_works_off_calls_whose_callers_gave_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sixty first calls at once, four fifths of them not answered within a placer's patience. With the same patience each
    time only those ever got it that came first: the others' calls kept the list busy."""
    monkeypatch.setattr(discovery, "FIRST_UPDATE_TIMEOUT_MS", 400.0)

    found = played(60, 30.0, 300.0, 12_000.0)
    assert found["heard"] == 60 and found["most_calls_open"] <= 60 and found["calls"] <= 130
    monkeypatch.setattr(discovery, "SLOW_LIST_TIMEOUT_FACTOR", 1)  # as it was
    assert played(60, 30.0, 300.0, 8000.0)["heard"] < 60
