"""Which process has an address, by the list alone."""

from __future__ import annotations

import random
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.node.address_holders import MAX_FORMER_IDS, AddressHolders
from sprucepost.node.bulletin import Bulletin

A, B = ("10.0.0.1", 2905), ("10.0.0.2", 2905)
KINDS = (i.MachineKind("std", 32, 64.0),)
SEQUENCES = 300


def target(uid: str, address: tuple[str, int] = A, started: float = 0.0, state: str = "SERVING") -> dict[str, Any]:
    return {
        "uid": uid, "endpoint": f"{address[0]}:{address[1]}", "az": "room-a", "model": "std", "pod_group": 0,
        "state": state, "boot_ms": started, "open": [1.0, 1.0],
    }  # fmt: skip


class ListReader:
    """Reads events as the placer does, and keeps which hosts it would use at which address."""

    def __init__(self) -> None:
        self.bulletin = Bulletin(("room-a",), KINDS)
        self.used: dict[str, tuple[str, int]] = {}

    def read(self, *events: dict[str, Any]) -> None:
        update = self.bulletin.apply({"no": events[-1]["no"], "items": list(events)})
        if update is None:
            return
        if update.list.kind is i.ListKind.FULL:
            self.used.clear()
        for entry in update.list.entries:
            if entry.state is i.MachineState.GONE:
                self.used.pop(entry.machine, None)
            else:
                self.used[entry.machine] = update.addresses[entry.machine]


def event(number: int, *targets: dict[str, Any], everything: bool = False) -> dict[str, Any]:
    return {"no": number, "roster": {"all": everything, "targets": list(targets)}}


def used_after(*events: list[dict[str, Any]], together: bool) -> dict[str, tuple[str, int]]:
    reader = ListReader()
    numbered = [event(number, *targets, everything=number == 1) for number, targets in enumerate(events, 1)]
    for each in [numbered] if together else [[one] for one in numbered]:
        reader.read(*each)
    return reader.used


# Guards against an address that goes back to the process that has gone: which is there is told by the listed starts, and
# where they are equal by which id was named last for the first time.
@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("started", [5.0, 0.0])
@pytest.mark.parametrize("state", ["SERVING", "DRAINING"])
def test_an_address_stays_with_the_process_that_started_last(together: bool, started: float, state: str) -> None:
    listed, replaced = [target("x")], [target("y", started=started)]
    late, gone = [target("x", state=state)], [target("x", state="DELETED")]
    assert used_after(listed, replaced, together=together) == {"y": A}
    assert used_after(listed, replaced, late, together=together) == {"y": A}
    assert used_after(listed, gone, replaced, late, together=together) == {"y": A}
    assert used_after(listed, replaced, late, gone, together=together) == {"y": A}
    moved = [target("x", B)]
    assert used_after(listed, replaced, moved, together=together) == {"y": A, "x": B}
    restarted = [target("x", started=9.0)]
    assert used_after(listed, replaced, restarted, together=together) == {"x": A}
    assert used_after(listed, replaced, [target("y", state="DELETED")], late, together=together) == {"x": A}


# Guards against a process that leaves the list because an entry of an earlier one of its id comes late.
@pytest.mark.parametrize("together", [True, False])
def test_a_late_entry_of_an_earlier_process_of_an_id_changes_nothing(together: bool) -> None:
    moved, late = [target("x", B, started=9.0)], [target("x", A, started=5.0)]
    assert used_after([target("x")], moved, late, together=together) == {"x": B}
    assert used_after([target("x")], moved, [target("x", state="DELETED")], late, together=together) == {}


def test_ids_that_have_left_are_forgotten_after_many_others() -> None:
    holders = AddressHolders()
    for number in range(2 * MAX_FORMER_IDS):
        holders.add(f"s-{number}", A, 0.0)
        holders.remove(f"s-{number}")
    assert len(holders._former) == MAX_FORMER_IDS and not holders._ids


# Guards against a large fleet whose second whole list makes the program forget which processes started last.
def test_a_whole_list_keeps_the_ages_of_more_hosts_than_are_remembered() -> None:
    holders = AddressHolders()
    fleet = [(f"s-{number}", (f"10.1.{number // 250}.{number % 250}", 2905)) for number in range(3 * MAX_FORMER_IDS)]
    for _ in range(2):
        holders.begin_whole_list()
        for uid, address in fleet:
            holders.add(uid, address, 0.0)
    assert [holders.age_of(uid).order for uid, _ in fleet] == list(range(1, len(fleet) + 1)) and not holders._former


# Guards against two hosts of one address, and against a result that depends on how events are put into responses.
def test_in_every_drawn_list_an_address_has_one_holder_however_events_are_grouped() -> None:
    for seed in range(SEQUENCES):
        rng = random.Random(seed)
        single, grouped = ListReader(), ListReader()
        pending: list[dict[str, Any]] = []
        for number in range(1, 30):
            targets = [
                target(
                    rng.choice("vwxyz"),
                    rng.choice((A, A, B)),
                    rng.choice((0.0, 0.0, 5.0, 9.0)),
                    rng.choice(("SERVING", "SERVING", "DRAINING", "DELETED")),
                )
                for _ in range(rng.randrange(1, 4))
            ]
            everything = number == 1 or rng.random() < 0.1
            if everything and pending:  # in one response, what comes before a whole list is not read
                grouped.read(*pending)
                pending = []
            pending.append(event(number, *targets, everything=everything))
            single.read(pending[-1])
            assert len(set(single.used.values())) == len(single.used), f"seed {seed}: {single.used}"
            if rng.random() < 0.4:
                grouped.read(*pending)
                pending = []
        if pending:
            grouped.read(*pending)
        assert grouped.used == single.used, f"seed {seed}"
