"""How long the decision module keeps its process from its sockets: no batch may take long, whatever has changed."""

from __future__ import annotations

import time

from sprucepost import interface as i
from sprucepost.adapter import settings_from
from sprucepost.scheduler import Scheduler
from tests.node.platform import settings

# A release has to be passed on within 1 s, also on a third of a core and while two batches lie before it.
BATCH_MOST_S = 1.0 / 3.0 / 2.0
MACHINES, MOVED, SERVICES, WAITING = 400, 240, 1700, 400
START_MS = 1_700_000_000_000.0


class Fleet:
    """One scheduler of several, its timers, and the longest processor time of a batch so far."""

    def __init__(self, fill: float = 0.0) -> None:
        self.scheduler = Scheduler(settings_from(settings(n_instances=16)), 1)
        self.now, self.longest, self.batches = START_MS, 0.0, 0
        self.timers: list[tuple[float, str]] = []
        self.free = 32.0 * (1.0 - fill)
        self.list(i.ListKind.FULL, {f"m{n}": i.MachineState.READY for n in range(MACHINES)})

    def batch(self, *events: i.Event) -> None:
        began = time.process_time()
        actions = self.scheduler.handle(self.now, list(events))
        self.longest = max(self.longest, time.process_time() - began)
        self.batches += 1
        for action in actions:
            if isinstance(action, i.SetTimer):
                self.timers.append((self.now + action.delay, action.name))
            elif isinstance(action, i.Offer):
                self.accept(action)

    def accept(self, offer: i.Offer) -> None:
        """The machine accepts it at once."""
        self.scheduler.handle(self.now, [i.Accepted(offer.request, 0, 1.0)])

    def list(self, kind: i.ListKind, states: dict[str, i.MachineState]) -> None:
        entries = [
            i.MachineEntry(name, state, n % 2, n, 0, 0.0, self.free, 2 * self.free)
            for n, (name, state) in enumerate(states.items())
        ]
        self.batch(i.MachineList(kind, tuple(entries)))

    def ask(self, request: int, service: str) -> None:
        self.batch(i.TaskRequest(request, 0, service, cores=0.1, memory=0.1, left=3000.0))

    def run(self, span_ms: float) -> None:
        """Let the timers that come due within that time fire, and each machine accept what it is offered."""
        ends = self.now + span_ms
        while (due := min(self.timers))[0] <= ends:
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.batch(i.TimerFired(due[1]))
        self.now = ends


# Guards against a call that is over and whose caller is told seconds late, since all services were revised in one batch
# after many machines had come and gone (incident 8).
def test_a_turn_after_a_mass_replacement_leaves_the_sockets_no_longer_than_a_release_may_wait() -> None:
    fleet = Fleet()
    for number in range(SERVICES):
        fleet.ask(number, f"service-{number}")
    fleet.run(1.0)
    fleet.list(i.ListKind.DELTA, {f"m{n}": i.MachineState.GONE for n in range(MOVED)})
    fleet.list(i.ListKind.DELTA, {f"new{n}": i.MachineState.READY for n in range(MOVED)})
    fleet.longest = 0.0
    fleet.run(8500.0)  # a round of turns
    assert not any(service.asked for service in fleet.scheduler.services.values()), "each service was revised"
    assert fleet.longest <= BATCH_MOST_S


# Guards against a process that looks for room for all that waits, again and again, and does nothing else.
def test_looking_for_room_for_all_that_waits_leaves_the_sockets_no_longer_than_a_release_may_wait() -> None:
    fleet = Fleet(fill=3.0)
    for number in range(WAITING):
        fleet.ask(number, f"service-{number}")
    fleet.longest = 0.0
    fleet.run(250.0)  # two looks
    assert fleet.longest <= BATCH_MOST_S
