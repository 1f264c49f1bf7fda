"""Hollow workers: machines that answer offers and report their free resources to the list, but run no work.

A hollow placer has no streams to workers, since its load on a real placer would be the same without them: what its
tasks change is the workers' free resources, and with them the list. These tasks are offered to the machines within the
process, at the rate that the hollow placers would have. Streams, sessions and reports are served to every placer that
attaches.
"""

from __future__ import annotations

from itertools import count
from typing import Any

from sprucepost.loop import Co, Loop, Scope, sleep
from sprucepost.placer.daemon import format_address, parse_address
from sprucepost.scale import deployment
from sprucepost.scale.hollow.settings import WorkersFile
from sprucepost.standin.machine_types import AttemptId, MachineModel, MachineState, Offer
from sprucepost.standin.machines import MachinePool, MachineServer, class_models
from sprucepost.standin.orders import OrderService

HOLLOW_PLACER_NUMBER = 1_000_000
"""Placer number of the tasks of hollow placers at a worker; no real placer has it."""
OFFER_TIMEOUT_MS = 5000.0
RESTART_DURATION_MS = 2000.0
"""Time that a restarted worker is down."""
IDLE_POLL_MS = 1000.0


class ReportingField(MachinePool):
    """Reports a worker when its requested resources have changed, not each time that a task reports its use."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._reported_requests: dict[str, tuple[float, float]] = {}

    def on_activity(self, host: MachineServer) -> None:
        """Handle an event at a machine; called for each of them."""
        name, requested = host.model.model.name, host.model.requested()
        if self._reported_requests.get(name) != requested:
            self._reported_requests[name] = requested
            self.mark_changed(host)


class Workers:
    """All hollow workers of this process."""

    def __init__(self, loop: Loop, scope: Scope, file: WorkersFile) -> None:
        self._loop, self._scope = loop, scope
        self._rng = loop.rng()
        self._classes = class_models(file.cluster, {})
        self.field = ReportingField(loop, scope, file.cluster, self._classes, parse_address(file.list_address))
        scope.spawn(self.field.report(), "reports")
        for fields in file.workers:
            host = self.field.add(MachineModel(**fields))
            host.listed_address = format_address(host.address)
            self.field.mark_changed(host)
        self._hosts = list(self.field.machines.values())
        self._requests = count(1)
        self._starts_per_s = 0.0
        self._life_ms = 1.0
        scope.spawn(self._start_tasks(), "tasks of hollow placers")

    @property
    def addresses(self) -> list[str]:
        """Addresses of the workers, in the order of the settings."""
        return [host.listed_address for host in self._hosts]

    # Tasks of hollow placers

    def _start_tasks(self) -> Co[None]:
        """Start tasks independently of each other at the current rate (a Poisson process)."""
        while True:
            rate = self._starts_per_s
            yield from sleep(self._rng.expovariate(rate / 1000.0) if rate else IDLE_POLL_MS)
            if rate:
                self._offer(self._rng.choice(self._hosts))

    def _offer(self, host: MachineServer) -> None:
        number = next(self._requests)
        shares = deployment.CLASS_SHARES
        name = self._rng.choices(list(shares), list(shares.values()))[0]
        offer = Offer(
            attempt_id=AttemptId(HOLLOW_PLACER_NUMBER, 1, number, 0),
            name=f"hollow-{id(self)}-{number}",
            cls=self._classes[name],
            service=f"{name}-{number % 20}",
            cores=deployment.TASK_CORES,
            memory=deployment.TASK_MEMORY,
            tenant="",
            life_ms=self._rng.expovariate(1.0 / self._life_ms),
            wait_ms=OFFER_TIMEOUT_MS,
        )
        host.model.offer(offer, self.field.now())
        host.schedule()

    # Restarts

    def _restart(self, host: MachineServer) -> Co[None]:
        host.crash()
        yield from sleep(RESTART_DURATION_MS)
        host.start(cold=True)

    # Orders

    def orders(self) -> OrderService:
        """The orders ``tasks``: start those of hollow placers; ``restart``: a worker; ``status``: number of tasks."""
        return OrderService({"tasks": self._tasks, "restart": self._restart_one, "status": self._status})

    def _tasks(self, starts_per_s: float, running: int, life_ms: float) -> dict[str, Any]:
        """Start ``running`` tasks at once and then new ones at the given rate.

        Run times are exponential: the remaining run time of a running task then has the same distribution as a whole
        one.
        """
        self._starts_per_s, self._life_ms = starts_per_s, life_ms
        for number in range(running):
            self._offer(self._hosts[number % len(self._hosts)])
        return {}

    def _restart_one(self) -> dict[str, Any]:
        running = [host for host in self._hosts if host.model.state is MachineState.READY]
        if running:
            self._scope.spawn(self._restart(self._rng.choice(running)), "restart")
        return {}

    def _status(self) -> dict[str, Any]:
        return {"tasks": sum(len(host.model.tasks) for host in self._hosts)}
