"""Generated scenarios: a seed gives one scenario, every scenario is valid, many contain every kind of fault."""

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


def test_a_seed_gives_one_scenario_and_other_seeds_give_others() -> None:
    assert (
        generate_scenario(5) == generate_scenario(5)
        and generate_scenario(5) != generate_scenario(6)
        and generate_scenario(5).faults != generate_scenario(6).faults
    )


def test_every_generated_scenario_is_valid_and_can_be_stored() -> None:
    for seed in range(200):
        day = generate_scenario(seed)
        assert day.problems() == []
        assert decode(msgspec.json.encode(day), Scenario) == day
        assert generate_scenario(seed, peers=True).problems() == [] and generate_scenario(
            seed, peers=True
        ) == generate_scenario(seed, peers=True)
        assert all(0 < fault.at_s < day.length_s for fault in day.faults)


def test_many_scenarios_contain_every_fault_kind_and_differ_in_kinds() -> None:
    assert set(FAULT_RANGES) | set(PEER_FAULT_RANGES) == set(get_args(FaultKind))
    days = [count_kinds(generate_scenario(seed).faults) for seed in range(150)]
    kind_counts = Counter(kind for day in days for kind in day)
    assert set(kind_counts) == set(FAULT_RANGES) and min(kind_counts.values()) >= 5
    assert len({tuple(day) for day in days}) > 140
    assert sum(bool(set(day) & set(COLD_START_FAULTS)) for day in days) > 90


class FakeFleet:
    """Fleet control that records the fault injector's actions and which of them are not undone."""

    def __init__(self) -> None:
        self.conditions: set[str] = set()
        self.down: set[str] = set()
        self.placers: set[int] = set(range(4))
        self.stalled: set[int] = set()
        self.limited: set[int] = set()
        self.clocks: dict[int, float] = {}
        self.duplicates: set[int] = set()
        self.serves_wrong_list = self.list_down = False
        self.order_counts: Counter[str] = Counter()

    def order_machines(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.order_counts[order] += 1
        machine = arguments.get("machine", "")
        if order in ("crash", "mute"):
            self.down.add(machine)
        elif order == "up":
            assert machine in self.down, (
                f"{machine} is restarted while it runs: its tasks would vanish without a new incarnation"
            )
            self.down.discard(machine)
        return {}
        yield

    def order_list(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.order_counts[order] += 1
        if order in ("lie", "truth"):
            self.serves_wrong_list = order == "lie"
        elif order == "down":
            self.list_down = arguments["down"]
        return {}
        yield

    def order_proxy(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.order_counts[order] += 1
        if order == "set":
            self.conditions.add(arguments["name"])
        elif order == "lift":
            self.conditions.remove(arguments["name"])
        return {}
        yield

    def order_owners(self, order: str, /, **arguments: Any) -> Co[Any]:
        self.order_counts[order] += 1
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
        self.duplicates.add(number)
        return
        yield

    def stop_duplicate(self, number: int) -> None:
        self.duplicates.discard(number)

    def resize(self, size: int, lead_ms: float, overlap_ms: float, notified: int = 0) -> Co[None]:
        assert size > 4
        return
        yield

    def record_event(self, what: str, **more: Any) -> None: ...


def play(day: Scenario) -> FakeFleet:
    loop, fleet = VirtualLoop(), FakeFleet()

    def main(scope: Scope) -> Co[None]:
        injector = FaultInjector(loop, day, fleet)
        yield from injector.setup()
        injector.play(scope)
        yield from injector.wait_until_lifted()

    loop.run(lambda: in_scope(main))
    return fleet


def is_restored(fleet: FakeFleet) -> bool:
    active = fleet.conditions or fleet.stalled or fleet.limited or fleet.duplicates or any(fleet.clocks.values())
    return not active and not fleet.serves_wrong_list and not fleet.list_down and fleet.placers == {0, 1, 2, 3}


@pytest.mark.parametrize("kind", sorted({**FAULT_RANGES, **PEER_FAULT_RANGES}))
def test_each_kind_of_fault_is_lifted_again(kind: str) -> None:
    day = msgspec.structs.replace(generate_scenario(3), placers=4, peers=True)
    fault = Fault(kind, 1.0, 4.0, 0.5, 2.0, 1.0, day.cluster.zones[0])  # type: ignore[arg-type]
    fleet = play(msgspec.structs.replace(day, faults=[fault]))
    assert is_restored(fleet)


def test_all_faults_of_generated_scenarios_are_lifted_however_they_overlap() -> None:
    for seed in range(60):
        fleet = play(msgspec.structs.replace(generate_scenario(seed, peers=seed % 2 == 1), placers=4))
        assert is_restored(fleet), f"seed {seed}"
