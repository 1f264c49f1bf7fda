"""Drawn days: one seed is one day, every day can be played, and over many days every kind of fault is met."""

from __future__ import annotations

from collections import Counter
from typing import Any, get_args

import msgspec
import pytest

from sprucepost.loop import Co, Scope, in_scope
from sprucepost.settings.reading import decode
from sprucepost.standin.faults import FaultInjector
from sprucepost.standin.scenario import Fault, FaultKind, Scenario
from sprucepost.standin.scenario_generator import (
    COLD_START_FAULTS,
    FAULT_RANGES,
    PEER_FAULT_RANGES,
    count_kinds,
    generate_scenario,
)
from tests.placing.support import VirtualLoop


def test_a_seed_is_one_day_and_another_seed_another() -> None:
    assert (
        generate_scenario(5) == generate_scenario(5)
        and generate_scenario(5) != generate_scenario(6)
        and generate_scenario(5).faults != generate_scenario(6).faults
    )


def test_every_drawn_day_can_be_played_and_written_down() -> None:
    for seed in range(200):
        day = generate_scenario(seed)
        assert day.problems() == []
        assert decode(msgspec.json.encode(day), Scenario) == day
        assert generate_scenario(seed, peers=True).problems() == [] and generate_scenario(
            seed, peers=True
        ) == generate_scenario(seed, peers=True)
        assert all(0 < fault.at_s < day.length_s for fault in day.faults)


def test_over_many_days_every_kind_is_met_and_most_days_differ_in_kinds() -> None:
    assert set(FAULT_RANGES) | set(PEER_FAULT_RANGES) == set(get_args(FaultKind))
    days = [count_kinds(generate_scenario(seed).faults) for seed in range(150)]
    met = Counter(kind for day in days for kind in day)
    assert set(met) == set(FAULT_RANGES) and min(met.values()) >= 5
    assert len({tuple(day) for day in days}) > 140
    assert sum(bool(set(day) & set(COLD_START_FAULTS)) for day in days) > 90


class Stage:
    """Writes down what the fault injector does, and what is not undone."""

    def __init__(self) -> None:
        self.conditions: set[str] = set()
        self.down: set[str] = set()
        self.placers: set[int] = set(range(4))
        self.stalled: set[int] = set()
        self.limited: set[int] = set()
        self.clocks: dict[int, float] = {}
        self.twins: set[int] = set()
        self.lie = self.listless = False
        self.orders: Counter[str] = Counter()

    def order_machines(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.orders[order] += 1
        machine = arguments.get("machine", "")
        if order in ("crash", "mute"):
            self.down.add(machine)
        elif order == "up":
            assert machine in self.down, f"{machine} is started while it runs: its tasks would go without a new life"
            self.down.discard(machine)
        return {}
        yield

    def order_list(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.orders[order] += 1
        if order in ("lie", "truth"):
            self.lie = order == "lie"
        elif order == "down":
            self.listless = arguments["down"]
        return {}
        yield

    def order_proxy(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.orders[order] += 1
        if order == "set":
            self.conditions.add(arguments["name"])
        elif order == "lift":
            self.conditions.remove(arguments["name"])
        return {}
        yield

    def order_owners(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.orders[order] += 1
        return {}
        yield

    def add_machine(self, model: dict[str, Any], cold: bool) -> Co[None]:
        return
        yield

    def kill_placer(self, number: int) -> None:
        self.placers.discard(number)

    def term_placer(self, number: int) -> None:
        assert number in self.placers

    def start_placer(self, number: int) -> Co[None]:
        assert number not in self.placers
        self.placers.add(number)
        return
        yield

    def stall_placer(self, number: int, stalled: bool) -> None:
        (self.stalled.add if stalled else self.stalled.discard)(number)

    def limit_descriptors(self, number: int, limited: bool) -> None:
        (self.limited.add if limited else self.limited.discard)(number)

    def step_clock(self, number: int, by_ms: float) -> None:
        self.clocks[number] = by_ms

    def start_duplicate(self, number: int) -> Co[None]:
        self.twins.add(number)
        return
        yield

    def stop_duplicate(self, number: int) -> None:
        self.twins.discard(number)

    def resize(self, size: int, lead_ms: float, overlap_ms: float, notified: int = 0) -> Co[None]:
        assert size > 4
        return
        yield

    def record_event(self, what: str, **more: Any) -> None: ...


def play(day: Scenario) -> Stage:
    loop, stage = VirtualLoop(), Stage()

    def main(scope: Scope) -> Co[None]:
        injector = FaultInjector(loop, day, stage)
        yield from injector.setup()
        injector.play(scope)
        yield from injector.wait_until_lifted()

    loop.run(lambda: in_scope(main))
    return stage


def whole(stage: Stage) -> bool:
    gone = stage.conditions or stage.stalled or stage.limited or stage.twins or any(stage.clocks.values())
    return not gone and not stage.lie and not stage.listless and stage.placers == {0, 1, 2, 3}


@pytest.mark.parametrize("kind", sorted({**FAULT_RANGES, **PEER_FAULT_RANGES}))
def test_each_kind_of_fault_is_lifted_again(kind: str) -> None:
    day = msgspec.structs.replace(generate_scenario(3), placers=4, peers=True)
    fault = Fault(kind, 1.0, 4.0, 0.5, 2.0, 1.0, day.cluster.zones[0])  # type: ignore[arg-type]
    stage = play(msgspec.structs.replace(day, faults=[fault]))
    assert whole(stage)


def test_whole_drawn_days_leave_nothing_behind_however_their_faults_overlap() -> None:
    for seed in range(60):
        stage = play(msgspec.structs.replace(generate_scenario(seed, peers=seed % 2 == 1), placers=4))
        assert whole(stage), f"seed {seed}"
