"""Helpers for tests of the scheduler: default settings, list entries, and a cluster that returns its actions."""

from __future__ import annotations

from typing import Any

from sprucepost import interface as i
from sprucepost.scheduler import Scheduler

READY, DRAINING, GONE = i.MachineState.READY, i.MachineState.DRAINING, i.MachineState.GONE


def task_class(**changes: Any) -> i.TaskClass:
    """A task class with default values, except for ``changes``."""
    values: dict[str, Any] = {
        "name": "web",
        "aim": 800.0,
        "deadline": 8000.0,
        "effect": i.Effect.SAFE,
        "worth": 3.0,
    }
    return i.TaskClass(**{**values, **changes})


def settings(*classes: i.TaskClass, **changes: Any) -> i.Settings:
    """Settings of placer 0 of three, except for ``changes``."""
    values: dict[str, Any] = {
        "number": 0,
        "n_instances": 3,
        "zone": 0,
        "zones": ("a", "b", "c"),
        "kinds": (i.MachineKind("std", 32.0, 64.0),),
        "classes": classes or (task_class(),),
        "list_mode": i.ListMode.PUSH,
        "max_attempts": 3,
        "accepts_cores": 1.0,
        "accepts_memory": 1.0,
        "cold_bears": 12.0,
        "fall": 2000.0,
        "warm_after": 15000.0,
        "ask_every": 10000.0,
        "tick": 2.0,
        "max_retry_after": 3000.0,
        "room_in_list": True,
    }
    return i.Settings(**{**values, **changes})


def entry(name: str, **changes: Any) -> i.MachineEntry:
    """The list entry of an empty, ready machine, except for ``changes``."""
    values: dict[str, Any] = {
        "state": READY,
        "zone": 0,
        "cell": 0,
        "kind": 0,
        "started": 0.0,
        "free_cores": 32.0,
        "free_memory": 64.0,
    }
    return i.MachineEntry(name, **{**values, **changes})


def full_list(*entries: i.MachineEntry) -> i.MachineList:
    """A machine list that replaces the one before."""
    return i.MachineList(i.ListKind.FULL, entries)


class Cluster:
    """One scheduler, its clock in ms, and the machines of its first list."""

    def __init__(self, config: i.Settings, *entries: i.MachineEntry, seed: int = 1, now: float = 100000.0) -> None:
        self.scheduler = Scheduler(config, seed)
        self.now = now
        self.requests = 0
        self.first = self.scheduler.handle(now, [i.MachineList(i.ListKind.CACHED, entries)])

    def after(self, later: float, *events: i.Event) -> list[i.Action]:
        """Advance the clock by ``later`` ms, handle ``events`` and return the actions."""
        self.now += later
        return self.scheduler.handle(self.now, list(events))

    def task_request(self, service: str = "s", **changes: Any) -> i.TaskRequest:
        """A new task request for ``service`` with default values, except for ``changes``."""
        self.requests += 1
        values: dict[str, Any] = {"task_class": 0, "cores": 1.0, "memory": 2.0, "left": 8000.0}
        return i.TaskRequest(self.requests, service=service, **{**values, **changes})

    def place(self, service: str = "s", later: float = 0.0, **changes: Any) -> i.Offer | None:
        """Request placement of one task and return its offer, or None."""
        found = offers(self.after(later, self.task_request(service, **changes)))
        return found[0] if found else None

    def report_outcome(
        self, offer: i.Offer, ending: i.Ending, later: float = 5.0, attempt: int = 0, **more: Any
    ) -> list[i.Action]:
        """Report the outcome of an offer ``later`` ms later and return the actions."""
        return self.after(later, i.Outcome(offer.request, attempt, ending, more.pop("closed", False), **more))

    def accept(self, offer: i.Offer, later: float = 5.0) -> list[i.Action]:
        """Report that the machine accepted the first attempt after ``later`` ms and return the actions."""
        return self.after(later, i.Accepted(offer.request, 0, later))


def offers(actions: list[i.Action]) -> list[i.Offer]:
    """The offers among ``actions``."""
    return [action for action in actions if isinstance(action, i.Offer)]


def answers(actions: list[i.Action]) -> list[i.Refuse | i.Fail]:
    """The refusals and failures among ``actions``."""
    return [action for action in actions if isinstance(action, (i.Refuse, i.Fail))]


def timers(actions: list[i.Action]) -> dict[str, float]:
    """The timers that ``actions`` set: delay in ms by name."""
    return {action.name: action.delay for action in actions if isinstance(action, i.SetTimer)}
