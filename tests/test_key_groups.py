"""A keyed task that may have run is offered again only in the group of the machine that had the attempt."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from sprucepost import interface as i
from tests.support import GONE, Cluster, entry, full_list, offers, settings, task_class

HOME, OTHER = 1, 2  # cells, and zones
UNKNOWN = -1
WINDOW_MS = 5000.0
RECHECK_MS = 100.0

Change = Callable[[str], list[i.MachineList]]
"""Changes of the list, by the field that holds the group's index."""


def delta(*entries: i.MachineEntry) -> i.MachineList:
    return i.MachineList(i.ListKind.DELTA, entries)


def deleted_without_location(scope: str) -> list[i.MachineList]:
    return [delta(i.MachineEntry("first", GONE))]


def whole_list_before_deleted(scope: str) -> list[i.MachineList]:
    return [full_list(entry("other", **{scope: OTHER})), delta(i.MachineEntry("first", GONE))]


def deleted_twice(scope: str) -> list[i.MachineList]:
    listed = [delta(i.MachineEntry("first", GONE)), delta(entry("next", **{scope: OTHER}))]
    return [*listed, delta(i.MachineEntry("next", GONE)), delta(entry("first", **{scope: OTHER}))]


def listed_elsewhere(scope: str) -> list[i.MachineList]:
    return [delta(entry("first", **{scope: OTHER}))]


def new_machine_without_location(scope: str) -> list[i.MachineList]:
    return [delta(i.MachineEntry("first", GONE), entry("new", **{scope: UNKNOWN}))]


CHANGES = [
    deleted_without_location, whole_list_before_deleted, deleted_twice, listed_elsewhere, new_machine_without_location,
]  # fmt: skip


def cluster_with_uncertain_task(scope: str, first: int = HOME) -> Cluster:
    """Return a cluster whose machine ``first`` had a task that it has lost, and one that may have run there."""
    keyed = task_class(effect=i.Effect.KEYED, group=i.Scope(scope), window=WINDOW_MS)
    cluster = Cluster(settings(keyed), entry("first", **{scope: first}))
    standing = cluster.place()
    assert standing is not None
    cluster.accept(standing)
    offer = cluster.place()
    assert offer is not None and offer.machine == "first"
    cluster.report_outcome(standing, i.Ending.RESET, closed=True)
    cluster.after(0.0, delta(entry("other", **{scope: OTHER})))
    assert offers(cluster.report_outcome(offer, i.Ending.RESET)) == []
    return cluster


def machines_offered(cluster: Cluster, *events: i.Event) -> list[str]:
    """Return the machines to which tasks are offered at these events, or soon after them."""
    actions = cluster.after(10.0, *events) + cluster.after(RECHECK_MS, i.TimerFired("look"))
    return [offer.machine for offer in offers(actions)]


# Guards against review case 7: a second try outside the group of the first, whose machine the list had dropped.
@pytest.mark.parametrize("scope", ["cell", "zone"])
@pytest.mark.parametrize("change", CHANGES)
def test_no_change_of_the_list_widens_the_group_of_an_attempt(scope: str, change: Change) -> None:
    cluster = cluster_with_uncertain_task(scope)
    for update in change(scope):
        assert machines_offered(cluster, update) == []
    assert machines_offered(cluster, delta(entry("mate", **{scope: HOME}))) == ["mate"]


@pytest.mark.parametrize("scope", ["cell", "zone"])
def test_an_attempt_at_an_unknown_location_is_the_last(scope: str) -> None:
    cluster = cluster_with_uncertain_task(scope, first=UNKNOWN)
    assert machines_offered(cluster, delta(entry("mate", **{scope: HOME}), entry("new", **{scope: UNKNOWN}))) == []


# Guards against a second copy in the group of the offer, where another group's machine may have had the attempt.
@pytest.mark.parametrize("scope", ["cell", "zone"])
@pytest.mark.parametrize("unlocated", [0, 1])
def test_no_attempt_follows_one_that_ran_where_nobody_knows(scope: str, unlocated: int) -> None:
    keyed = task_class(effect=i.Effect.KEYED, group=i.Scope(scope), window=WINDOW_MS)
    cluster = Cluster(settings(keyed, max_attempts=5), entry("first", **{scope: HOME}))
    offer = cluster.place()
    assert offer is not None
    for attempt in range(unlocated + 1):
        reset = i.Outcome(offer.request, attempt, i.Ending.RESET, False, is_located=attempt != unlocated)
        offered = machines_offered(cluster, reset)
        assert offered == (["first"] if attempt < unlocated else [])
    assert machines_offered(cluster, delta(entry("mate", **{scope: HOME}))) == []


# Guards against tasks of a service that count in every domain, since the list has forgotten where their machine was.
def test_a_machine_that_has_gone_keeps_its_location_for_the_spread() -> None:
    spread = task_class(spread=i.Scope.ZONE, most=1)
    cluster = Cluster(settings(spread), entry("first", zone=HOME))
    placed = cluster.place()
    assert placed is not None
    cluster.accept(placed)
    cluster.after(0.0, delta(i.MachineEntry("first", GONE), entry("other", zone=OTHER)))
    second = cluster.place()
    assert second is not None and second.machine == "other"
