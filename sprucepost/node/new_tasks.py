"""New tasks on their way to the scheduler: in turn by client, a few in each batch, and after reports of placed tasks.

After a restart owners report the tasks that this placer has placed, by the hundred and on several connections, and the rules
on spread and repeats count these reports 0.2 s later. A new task that is read in the same turns of the loop, or submitted
while other reports are still unread, is placed without them. So the sockets are polled again right before new tasks are
submitted, a few at a time, since each may take long. While such reports arrive new tasks wait, but none longer than
``FOUND_TASKS_WAIT_MS``, and not for a client that reports without end: a steady flow of reports must not starve them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.loop import Loop
from sprucepost.node.attempt import HostsPort, OwnerPort
from sprucepost.node.fair_queue import FairQueue
from sprucepost.placing.ledger import Entry, Outcome
from sprucepost.placing.scheduler_driver import SchedulerDriver

# A new set-up waits this long for reports of placed tasks: half of the 0.2 s after which the scheduler counts them.
FOUND_TASKS_WAIT_MS = 100.0
# Each new task may cost the scheduler 2 ms of a whole core if it is the first request of its service.
MAX_NEW_TASKS_PER_BATCH = 8
MAX_QUEUED_TASKS_PER_BATCH = 64  # with those that have been cancelled meanwhile or have no time left


class NewTasks:
    """New tasks that the scheduler has not been told of. ``refuse`` takes a task, a time to stay away and a reason."""

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        counters: Counter[str],
        hosts: Callable[[], HostsPort],
        refuse: Callable[[Entry, float, str], None],
    ) -> None:
        self._loop, self._driver, self._counters, self._hosts, self._refuse = loop, driver, counters, hosts, refuse
        self._queue: FairQueue[Entry] = FairQueue()
        self._found_services: set[str] = set()  # services of tasks reported as placed since the last submission
        self._waits_for_reports = False  # whether more such reports may follow at once

    def put(self, owner: OwnerPort, entry: Entry, now: float) -> None:
        """Queue a task of that client."""
        self._queue.put(owner, entry, now)

    def found(self, service: str, more_may_follow: bool) -> None:
        """Note that a task of that service has been reported as placed."""
        self._found_services.add(service)
        self._waits_for_reports |= more_may_follow

    def before_batch(self) -> None:
        """Read what has arrived, as it may report placed tasks."""
        if self._queue:
            self._loop.poll_now()

    def submit(self) -> None:
        """Submit new tasks to the scheduler, ahead of a batch."""
        if self._found_services:
            self._hosts().withdraw_unsent(self._found_services)
            self._found_services, waits = set(), self._waits_for_reports
            self._waits_for_reports = False
            oldest_arrival = self._queue.oldest_arrival(self._may_leave_queue)
            if waits and self._loop.now() - oldest_arrival < FOUND_TASKS_WAIT_MS:
                self._counters["held_for_found"] += 1
                self._loop.call_soon(self._driver.schedule_batch)
                return
        if self._queue:
            self._submit_from_queue()
        if self._queue:
            self._loop.call_soon(self._driver.schedule_batch)

    def _submit_from_queue(self) -> None:
        now, taken, submitted = self._loop.now(), 0, 0
        while taken < MAX_QUEUED_TASKS_PER_BATCH and submitted < MAX_NEW_TASKS_PER_BATCH:
            entry = self._queue.pop(self._may_leave_queue)
            if entry is None:
                return
            taken += 1
            if entry.outcome is not Outcome.OPEN:
                continue
            entry.ask.queued = False
            if now < entry.deadline:
                submitted += 1
                self._driver.push(entry.ask.setup.request(entry.request, entry.deadline - now))
            else:
                self._refuse(entry, 0.0, "no time left")

    def _may_leave_queue(self, entry: Entry) -> bool:
        """Return whether a task need not be queued any longer: one of a client that floods could not be offered yet."""
        owner: OwnerPort = entry.ask.owner
        return entry.outcome is not Outcome.OPEN or not owner.is_flooding or self._loop.now() >= entry.deadline
