"""Hand-overs of tasks that are not known here: a host runs the task already, and its owner wants it looked after. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.node.attempt import HostsPort, OwnerPort, OwnersPort, SetUpResult, TaskState
from sprucepost.node.client_shares import ClientShares
from sprucepost.node.early_messages import EarlyMessage, EarlyMessageCache
from sprucepost.node.jsonl import MessageType
from sprucepost.node.new_tasks import NewTasks
from sprucepost.node.parsing import SetUp
from sprucepost.node.placed_tasks import CAUSE_LOST, PlacedTasks
from sprucepost.placing.ledger import Entry, Ledger, Outcome
from sprucepost.placing.scheduler_driver import SchedulerDriver

# A set-up with ``at`` that was sent before the release of its task was read has arrived by then.
RELEASE_CROSSING_MS = 50.0


@dataclass(frozen=True, slots=True)
class AdoptionPorts:
    """What adoption needs of the other parts."""

    owners: Callable[[], OwnersPort]
    hosts: Callable[[], HostsPort]
    settle: Callable[[Entry, Outcome], None]  # records the outcome of a task


class Adoption:
    """Places tasks that their hosts run already, unless their end is known."""

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        ledger: Ledger,
        placed: PlacedTasks,
        new_tasks: NewTasks,
        early_messages: EarlyMessageCache,
        handed_over: ClientShares,
        counters: Counter[str],
        ports: AdoptionPorts,
        trace: Callable[..., None],
    ) -> None:
        self._loop, self._driver, self._ledger, self._placed = loop, driver, ledger, placed
        self._new_tasks, self._early_messages, self._handed_over = new_tasks, early_messages, handed_over
        self._counters, self._ports, self._trace = counters, ports, trace

    def admit(self, setup: SetUp, owner: OwnerPort, waited_ms: float) -> SetUpResult:
        """Place the task of a set-up with ``at``; ``waited_ms`` is how long the set-up lay unread."""
        now, host = self._loop.now(), setup.current_host
        if self._has_ended_at_host(setup, now):
            self._counters["repeats_of_ended"] += 1
            self._trace(setup.sid, "repeat_of_ended", host=host)
            self._ports.owners().release_again(owner, setup.sid)
            return SetUpResult.ADMITTED
        if self._early_messages.get(setup.sid, now) is not None:
            self._counters["unwanted"] += 1
            self._trace(setup.sid, "unwanted", host=host)
            self._ports.hosts().end_task(host, setup.sid)
            self._early_messages.record(setup.sid, EarlyMessage.TASK_ENDED, now, host)
            return SetUpResult.CANCELLED
        if not self._handed_over.admits(owner):
            self._counters["over_share"] += 1
            self._trace(setup.sid, "over_share", host=host)
            return SetUpResult.OVER_SHARE
        entry = self._ledger.take(setup.sid, setup.task_class, setup.service, now)
        entry.ask = TaskState(setup, owner)
        self._place(entry, waited_ms)
        is_listed = self._ports.hosts().adopt(host, setup.sid)
        if is_listed:
            self._placed.keep_connection(entry, owner)
        self._end_if_told(entry, is_listed)
        return SetUpResult.ADMITTED if is_listed else SetUpResult.HOST_UNKNOWN

    def _has_ended_at_host(self, setup: SetUp, now: float) -> bool:
        """Whether the task has ended at the host that the set-up names, so that its owner has been sent the release.

        A presumed end counts only while the set-up may have crossed the release. One that comes later tells that the task
        runs there, and its owner knows better.
        """
        if self._early_messages.ended_since(setup.sid, now - RELEASE_CROSSING_MS):  # at that host, under another id
            return True
        record = self._early_messages.get(setup.sid, now, setup.current_host)
        if record is None or record.message is EarlyMessage.RELEASED_BY_HOST:
            return False
        return record.message is EarlyMessage.TASK_ENDED or now - record.at <= RELEASE_CROSSING_MS

    def _place(self, entry: Entry, waited_ms: float) -> None:
        """Place a new entry for a task that its host runs already."""
        setup: SetUp = entry.ask.setup
        owner: OwnerPort = entry.ask.owner
        host = setup.current_host
        record = self._early_messages.get(setup.sid, self._loop.now(), host)
        entry.ask.end_requested = record is not None and record.message is EarlyMessage.END_REQUESTED
        self._counters["found"] += 1
        self._trace(setup.sid, "found", host=host)
        entry.machine = host
        entry.ask.handed_over_by = owner
        self._handed_over.add(owner)
        self._ports.settle(entry, Outcome.PLACED)
        self._placed.record(entry, None, waited_ms)
        self._driver.push(i.TaskFound(setup.request(entry.request, setup.time_left_ms), host))
        self._new_tasks.found(setup.service, more_may_follow=not owner.is_flooding)
        self._ports.owners().cancel_release(setup.sid)

    def _end_if_told(self, entry: Entry, is_listed: bool) -> None:
        """End the task at once where its host has released it before, or may be about to read that it is to end it."""
        sid, host = entry.name, entry.machine
        release = self._early_messages.release_of(sid, self._loop.now(), host if is_listed else None)
        if release is not None and release.type is MessageType.CLOSED:
            self._placed.end_as_confirmed(entry)
        elif release is not None:
            self._placed.handle_message(entry, release, None)
        elif self._ports.hosts().is_being_ended(host, sid):
            why, message = "its host is being told to end it", EarlyMessage.END_REQUESTED
            self._placed.end(entry, i.Ending.RESET, CAUSE_LOST, why, early_message=message)
