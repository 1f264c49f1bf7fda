"""Time of one batch in the decision module: it blocks the process's sockets, so it is bounded after any change."""

from __future__ import annotations

import gc
import time

from sprucepost import interface as i
from sprucepost.adapter import settings_from
from sprucepost.scheduler import Scheduler
from tests.node.platform import settings

# A release is passed on within 1 s, even with a third of a core and two batches ahead of it.
MAX_BATCH_S = 1.0 / 3.0 / 2.0
MACHINES, REPLACED, SERVICES, WAITING = 400, 240, 1700, 400
START_MS = 1_700_000_000_000.0


class TimedScheduler:
    """One scheduler of a fleet with its timers; measures the longest processor time of a batch, in seconds."""

    def __init__(self, fill: float = 0.0) -> None:
        self.scheduler = Scheduler(settings_from(settings(n_instances=16)), 1)
        self.now, self.longest_batch_s, self.batches = START_MS, 0.0, 0
        self.timers: list[tuple[float, str]] = []
        self.free_cores = 32.0 * (1.0 - fill)
        self.update_list(i.ListKind.FULL, {f"m{n}": i.MachineState.READY for n in range(MACHINES)})

    def batch(self, *events: i.Event) -> None:
        began = time.process_time()
        actions = self.scheduler.handle(self.now, list(events))
        self.longest_batch_s = max(self.longest_batch_s, time.process_time() - began)
        self.batches += 1
        for action in actions:
            if isinstance(action, i.SetTimer):
                self.timers.append((self.now + action.delay, action.name))
            elif isinstance(action, i.Offer):
                self.accept_offer(action)

    def accept_offer(self, offer: i.Offer) -> None:
        """Have the machine accept the offer at once."""
        self.scheduler.handle(self.now, [i.Accepted(offer.request, 0, 1.0)])

    def update_list(self, kind: i.ListKind, states: dict[str, i.MachineState]) -> None:
        entries = [
            i.MachineEntry(name, state, n % 2, n, 0, 0.0, self.free_cores, 2 * self.free_cores)
            for n, (name, state) in enumerate(states.items())
        ]
        self.batch(i.MachineList(kind, tuple(entries)))

    def request_task(self, request: int, service: str) -> None:
        self.batch(i.TaskRequest(request, 0, service, cores=0.1, memory=0.1, left=3000.0))

    def advance(self, span_ms: float) -> None:
        """Advance the clock, fire the timers that come due, and have each machine accept its offers."""
        ends = self.now + span_ms
        while (due := min(self.timers))[0] <= ends:
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.batch(i.TimerFired(due[1]))
        self.now = ends


# Guards against reporting the end of a call seconds late: all services were revised in one batch after many machines
# had been replaced (incident 8).
def test_no_batch_of_a_turn_after_a_mass_replacement_delays_a_release() -> None:
    timed = TimedScheduler()
    for number in range(SERVICES):
        timed.request_task(number, f"service-{number}")
    timed.advance(1.0)
    timed.update_list(i.ListKind.DELTA, {f"m{n}": i.MachineState.GONE for n in range(REPLACED)})
    timed.update_list(i.ListKind.DELTA, {f"new{n}": i.MachineState.READY for n in range(REPLACED)})
    timed.longest_batch_s = 0.0
    gc.collect()  # as the node does at its start: a full collection of the test process itself takes up to 300 ms
    timed.advance(8500.0)  # one round of turns
    assert not any(service.request_count for service in timed.scheduler.services.values()), "a service was not revised"
    assert timed.longest_batch_s <= MAX_BATCH_S


# Guards against a process that is fully occupied by repeated searches of a machine for all waiting tasks.
def test_no_batch_that_searches_machines_for_waiting_tasks_delays_a_release() -> None:
    timed = TimedScheduler(fill=3.0)
    for number in range(WAITING):
        timed.request_task(number, f"service-{number}")
    timed.longest_batch_s = 0.0
    gc.collect()  # as the node does at its start: a full collection of the test process itself takes up to 300 ms
    timed.advance(250.0)  # two searches
    assert timed.longest_batch_s <= MAX_BATCH_S
