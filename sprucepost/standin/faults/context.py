"""What faults share: the fleet that they are injected into, and which machines and placers each meets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.loop import Co, Loop, sleep
from sprucepost.standin.scenario import Fault, Scenario


class FleetControl(Protocol):
    """What can be done to a running fleet, whether of processes or of a simulation."""

    def order_machines(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the machines."""
        ...

    def order_list(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the list."""
        ...

    def order_proxy(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the relay."""
        ...

    def order_owners(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the owners."""
        ...

    def add_machine(self, model: dict[str, Any], cold: bool) -> Co[None]:
        """A machine joins, behind the relay, and the list hears of it."""
        ...

    def kill_placer(self, number: int) -> None:
        """End it with SIGKILL."""
        ...

    def term_placer(self, number: int) -> None:
        """Ask it to stop, and wait for nothing."""
        ...

    def start_placer(self, number: int) -> Co[None]:
        """Start it, and wait until it listens."""
        ...

    def stall_placer(self, number: int, stalled: bool) -> None:
        """Stop the process, or let it go on."""
        ...

    def limit_descriptors(self, number: int, limited: bool) -> None:
        """No new descriptor for that placer's process, or as many as before."""
        ...

    def step_clock(self, number: int, by_ms: float) -> None:
        """The wall clock of that placer's host is off by so much from now on."""
        ...

    def start_duplicate(self, number: int) -> Co[None]:
        """A second process with that placer's number."""
        ...

    def stop_duplicate(self, number: int) -> None:
        """End the second process with that placer's number."""
        ...

    def resize(self, size: int, lead_ms: float, overlap_ms: float, notified: int = 0) -> Co[None]:
        """Another number of placers, by an announced generation; returns when the new ones run.

        ``told``: so many of the old ones are told, 0 for all.
        """
        ...

    def record_event(self, what: str, **more: Any) -> None:
        """Something happened, for the run's own record."""
        ...


def hold(fault: Fault) -> Co[None]:
    """Wait for as long as a fault lasts."""
    yield from sleep(fault.len_s * 1000.0)


class FaultContext:
    """One day's fleet. What a fault meets is drawn from the day's seed and the fault's number."""

    def __init__(self, loop: Loop, scenario: Scenario, control: FleetControl) -> None:
        self.loop, self.scenario, self.control = loop, scenario, control
        self.machines: dict[str, dict[str, Any]] = {}  # those that are meant to be up
        self.machines_in_hand: set[str] = set()  # that a fault has taken down or is about to
        self.placers_down: set[int] = set()
        self._next_machine = 0

    def add_machine(self, cold: bool) -> Co[str]:
        """The scenario's next machine joins; its name."""
        model = self.scenario.machine(self._next_machine)
        self._next_machine += 1
        self.machines[model["name"]] = model
        yield from self.control.add_machine(model, cold)
        return str(model["name"])

    def pick_machines(self, fault: Fault, number: int, share: float | None = None) -> list[str]:
        """The machines that a fault meets: a share of those up, of its room where it names one."""
        rng = self.scenario.rng(f"fault {number}")
        up = [
            name
            for name, model in self.machines.items()
            if fault.zone in (None, model["zone"]) and name not in self.machines_in_hand
        ]
        return rng.sample(up, min(len(up), max(1, round((fault.part if share is None else share) * len(up)))))

    def pick_machines_to_stop(self, fault: Fault, number: int, share: float | None = None) -> list[str]:
        """The same for a fault that takes machines down: none that another one has in hand. One machine at least stays."""
        some = self.pick_machines(fault, number, share)[: max(0, len(self.machines) - len(self.machines_in_hand) - 1)]
        self.machines_in_hand.update(some)
        return some

    def restart_machine(self, name: str) -> Co[None]:
        """A machine that a fault had taken down comes back."""
        self.machines_in_hand.discard(name)
        if name in self.machines:
            told = yield from self.control.order_machines("up", machine=name)
            if "moved" in told:
                yield from self.control.order_proxy(
                    "add", name=name, target=told["moved"], zone=self.machines[name]["zone"]
                )

    def pick_placers(self, fault: Fault, number: int) -> list[int]:
        """The placers that a fault meets, of those that are up."""
        rng = self.scenario.rng(f"fault {number}")
        up = [placer for placer in range(self.scenario.placers) if placer not in self.placers_down]
        return rng.sample(up, min(len(up), max(1, round(fault.part * self.scenario.placers))))

    def start_placers(self, some: list[int]) -> Co[None]:
        """Placers that a fault had taken down come back."""
        for placer in some:
            yield from self.control.start_placer(placer)
            self.placers_down.discard(placer)


FaultFunction = Callable[[FaultContext, Fault, int], Co[None]]
"""Injects a fault and lifts it again; the number is the fault's place in its scenario."""
