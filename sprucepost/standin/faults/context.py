"""Context of the fault functions: the fleet under test, and the choice of the machines and placers that a fault
affects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.loop import Co, Loop, sleep
from sprucepost.standin.scenario import Fault, Scenario


class FleetControl(Protocol):
    """Operations on a running fleet, of processes or of a simulation."""

    def order_machines(self, order: str, /, **arguments: Any) -> Co[Any]:
        """Send an order to the machines and return its result."""
        ...

    def order_list(self, order: str, /, **arguments: Any) -> Co[Any]:
        """Send an order to the list and return its result."""
        ...

    def order_proxy(self, order: str, /, **arguments: Any) -> Co[Any]:
        """Send an order to the recording proxy and return its result."""
        ...

    def order_owners(self, order: str, /, **arguments: Any) -> Co[Any]:
        """Send an order to the owners and return its result."""
        ...

    def add_machine(self, model: dict[str, Any], cold: bool) -> Co[None]:
        """Add a machine behind the recording proxy and announce it to the list."""
        ...

    def kill_placer(self, number: int) -> None:
        """Kill a placer with SIGKILL."""
        ...

    def term_placer(self, number: int) -> None:
        """Ask a placer to stop, without waiting for it."""
        ...

    def start_placer(self, number: int) -> Co[None]:
        """Start a placer, and wait until it listens."""
        ...

    def stall_placer(self, number: int, stalled: bool) -> None:
        """Suspend a placer's process, or resume it."""
        ...

    def limit_descriptors(self, number: int, limited: bool) -> None:
        """Deny new file descriptors to a placer's process, or restore its limit."""
        ...

    def step_clock(self, number: int, by_ms: float) -> None:
        """Set the offset of the wall clock of a placer's host."""
        ...

    def start_duplicate(self, number: int) -> Co[None]:
        """Start a second process with a placer's number."""
        ...

    def stop_duplicate(self, number: int) -> None:
        """Stop the second process with a placer's number."""
        ...

    def resize(self, size: int, lead_ms: float, overlap_ms: float, notified: int = 0) -> Co[None]:
        """Change the number of placers by an announced generation; return when the new ones run.

        ``notified`` is how many of the old placers are notified, 0 for all.
        """
        ...

    def record_event(self, what: str, **more: Any) -> None:
        """Write an event to the run's record."""
        ...


def wait_duration(fault: Fault) -> Co[None]:
    """Wait for the fault's duration."""
    yield from sleep(fault.len_s * 1000.0)


class FaultContext:
    """The fleet of a run. What a fault affects is drawn from the scenario's seed and the fault's number."""

    def __init__(self, loop: Loop, scenario: Scenario, control: FleetControl) -> None:
        self.loop, self.scenario, self.control = loop, scenario, control
        self.machines: dict[str, dict[str, Any]] = {}  # those that are meant to be up
        self.machines_taken: set[str] = set()  # machines that a fault has taken down or is about to
        self.placers_down: set[int] = set()
        self._next_machine = 0

    def add_machine(self, cold: bool) -> Co[str]:
        """Add the scenario's next machine and return its name."""
        model = self.scenario.machine(self._next_machine)
        self._next_machine += 1
        self.machines[model["name"]] = model
        yield from self.control.add_machine(model, cold)
        return str(model["name"])

    def pick_machines(self, fault: Fault, number: int, share: float | None = None) -> list[str]:
        """Choose the machines that a fault affects: a share of those up, in its zone if it names one."""
        rng = self.scenario.rng(f"fault {number}")
        up = [
            name
            for name, model in self.machines.items()
            if fault.zone in (None, model["zone"]) and name not in self.machines_taken
        ]
        return rng.sample(up, min(len(up), max(1, round((fault.part if share is None else share) * len(up)))))

    def pick_machines_to_stop(self, fault: Fault, number: int, share: float | None = None) -> list[str]:
        """Choose machines for a fault that takes them down.

        None that another fault has taken is chosen, and at least one machine stays up.
        """
        chosen = self.pick_machines(fault, number, share)[: max(0, len(self.machines) - len(self.machines_taken) - 1)]
        self.machines_taken.update(chosen)
        return chosen

    def restart_machine(self, name: str) -> Co[None]:
        """Restart a machine that a fault has taken down."""
        self.machines_taken.discard(name)
        if name in self.machines:
            result = yield from self.control.order_machines("up", machine=name)
            if "moved" in result:
                yield from self.control.order_proxy(
                    "add", name=name, target=result["moved"], zone=self.machines[name]["zone"]
                )

    def pick_placers(self, fault: Fault, number: int) -> list[int]:
        """Choose the placers that a fault affects from those that are up."""
        rng = self.scenario.rng(f"fault {number}")
        up = [placer for placer in range(self.scenario.placers) if placer not in self.placers_down]
        return rng.sample(up, min(len(up), max(1, round(fault.part * self.scenario.placers))))

    def start_placers(self, chosen: list[int]) -> Co[None]:
        """Start placers that a fault has taken down."""
        for placer in chosen:
            yield from self.control.start_placer(placer)
            self.placers_down.discard(placer)


FaultFunction = Callable[[FaultContext, Fault, int], Co[None]]
"""Injects a fault and lifts it again; the number is the fault's index in the scenario."""
