"""Injects the faults of a scenario, each at its time, and lifts them again."""

from __future__ import annotations

from typing import Any

from sprucepost.loop import Co, Loop, Scope, Task, sleep
from sprucepost.standin.faults.client_faults import CLIENT_FAULTS
from sprucepost.standin.faults.context import FaultContext, FaultFunction, FleetControl
from sprucepost.standin.faults.discovery_faults import DISCOVERY_FAULTS
from sprucepost.standin.faults.link_faults import LINK_FAULTS
from sprucepost.standin.faults.machine_faults import MACHINE_FAULTS
from sprucepost.standin.faults.placer_faults import PLACER_FAULTS
from sprucepost.standin.scenario import Fault, Scenario

FAULT_FUNCTIONS: dict[str, FaultFunction] = {
    **MACHINE_FAULTS,
    **CLIENT_FAULTS,
    **DISCOVERY_FAULTS,
    **PLACER_FAULTS,
    **LINK_FAULTS,
}
POLL_MS = 50.0  # interval of checks whether all faults have been lifted


class FaultInjector:
    """Injects the faults of one run."""

    def __init__(self, loop: Loop, scenario: Scenario, control: FleetControl) -> None:
        self._scenario, self._control = scenario, control
        self._context = FaultContext(loop, scenario, control)
        self._fault_tasks: list[Task[None]] = []

    @property
    def machines(self) -> dict[str, dict[str, Any]]:
        """The machines that are meant to be up, by name."""
        return self._context.machines

    def setup(self) -> Co[None]:
        """Add the machines that are up at the start."""
        scenario = self._scenario
        yield from self._control.order_proxy("latency", same_ms=scenario.same_ms, cross_ms=scenario.cross_ms)
        for _ in range(scenario.fleet.machines):
            yield from self._context.add_machine(cold=False)

    def play(self, scope: Scope) -> None:
        """Start a task for each fault, which waits for the fault's time."""
        for number, fault in enumerate(self._scenario.faults):
            self._fault_tasks.append(scope.spawn(self._inject(fault, number), f"fault {number} {fault.kind}"))

    def wait_until_lifted(self) -> Co[None]:
        """Wait until every fault has been lifted."""
        while not all(task.done for task in self._fault_tasks):
            yield from sleep(POLL_MS)

    def _inject(self, fault: Fault, number: int) -> Co[None]:
        yield from sleep(fault.at_s * 1000.0)
        self._control.record_event("fault", kind=fault.kind, len_s=fault.len_s, part=fault.part, size=fault.size)
        yield from FAULT_FUNCTIONS[fault.kind](self._context, fault, number)
        self._control.record_event("fault_over", kind=fault.kind)
