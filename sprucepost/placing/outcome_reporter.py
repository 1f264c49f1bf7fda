"""Settles the one outcome of each task: in the ledger, in the owner's share of open tasks, and to all that wait for it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from sprucepost import interface as i
from sprucepost.admission import Admission
from sprucepost.placing.ledger import Entry, Ledger, Outcome
from sprucepost.placing.ports import OwnersPort
from sprucepost.placing.scheduler_driver import SchedulerDriver
from sprucepost.settings import Cluster, TaskClass
from sprucepost.v1 import placer_pb2 as pb

SETTLED_RETENTION_MS = 60_000.0  # how long a settled task is kept, so that a late message of a machine finds it


class OutcomeReporter:
    """Settles tasks and notifies sessions. ``owners`` is set by the code that assembles the placer."""

    owners: OwnersPort

    def __init__(
        self,
        driver: SchedulerDriver,
        ledger: Ledger,
        cluster: Cluster,
        admission: Admission[Entry],
        counters: Counter[str],
    ) -> None:
        self._driver, self.ledger, self._cluster, self._admission, self.counters = (
            driver,
            ledger,
            cluster,
            admission,
            counters,
        )
        self.on_settled: Callable[[], None] = lambda: None

    def class_of(self, entry: Entry) -> TaskClass:
        """The class of a task."""
        return self._cluster.classes[entry.task_class]

    def notify(self, entry: Entry, **body: Any) -> None:
        """Send a frame about the task to every session that asked for it."""
        for token in entry.sessions:
            self.owners.tell(token, pb.PlacerFrame(task=entry.name, **body))

    def report(self, entry: Entry, **body: Any) -> None:
        """Send the outcome once per submission, also where several submissions of one session were joined.

        One answer for all of them is not enough: a session that submitted again while its placer was stalled got a
        single answer for both and waited for the other forever.
        """
        for token, pending_outcomes in entry.sessions.items():
            entry.sessions[token] = 0
            for _ in range(pending_outcomes):
                self.owners.tell(token, pb.PlacerFrame(task=entry.name, **body))

    def settle(self, entry: Entry, outcome: Outcome) -> None:
        """Record the outcome without reporting it."""
        self.ledger.settle(entry, outcome, self._driver.now())
        if entry.owner is not None:
            self._admission.open_tasks.closed(entry.owner)
            entry.owner = None
            if outcome is Outcome.PLACED and entry.dequeued_at:
                self._admission.record_placement(self._driver.loop.now() - entry.dequeued_at)
        self.on_settled()
        self.counters[f"outcome {outcome.value} {self.class_of(entry).name}"] += 1

    def refuse(self, entry: Entry, why: str, retry_after_ms: float = 0.0) -> None:
        """Settle an open task as refused and report it."""
        self.settle(entry, Outcome.REFUSED)
        self.report(entry, refused=pb.Refused(why=why, retry_after_ms=retry_after_ms))

    def fail(self, entry: Entry, why: str) -> None:
        """Settle an open task as failed and report it."""
        self.settle(entry, Outcome.FAILED)
        self.report(entry, failed=pb.Failed(why=why))

    def abandon(self, entry: Entry, why: str) -> None:
        """Settle an open task that is no longer worked on: as refused where a retry is safe, else as failed."""
        self._driver.push(i.RequestAbandoned(entry.request))
        if self.refusal_is_safe(entry):
            self.refuse(entry, why)
        else:
            self.fail(entry, why)

    def on_decision(self, action: i.Refuse | i.Fail) -> None:
        """Carry out the scheduler's final decision on a task."""
        entry = self.ledger.by_request(action.request)
        if entry is None or entry.outcome is not Outcome.OPEN:
            self.counters["late_answers"] += 1  # the task was placed in the same turn
        elif isinstance(action, i.Refuse):
            self.refuse(entry, "no machine took it in time", action.retry_after)
        else:
            self.fail(entry, "an attempt may have run")

    def refusal_is_safe(self, entry: Entry) -> bool:
        """Whether the task can be refused now. A refusal promises that a retry does no harm."""
        cls = self.class_of(entry)
        if cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all"):
            return True
        return entry.pending_attempt is None and not entry.may_have_run

    def report_end(self, entry: Entry, ended: pb.Ended) -> None:
        """Remove a placed task that has ended and report its end."""
        self.counters[f"ended {pb.Ended.How.Name(ended.how).lower()}"] += 1
        self.ledger.end(entry)
        self.notify(entry, ended=ended)

    # Stopping

    def last_deadline(self) -> float:
        """When the last owner of an open task gives up, in ms on the loop's clock."""
        return max((entry.deadline for entry in self.ledger.open_entries()), default=self._driver.loop.now())

    def refuse_unattempted(self) -> int:
        """Refuse every open task without a pending attempt, where that is safe, so that its owner can go elsewhere at once.

        Returns how many were refused.
        """
        chosen = [e for e in self.ledger.open_entries() if e.pending_attempt is None and self.refusal_is_safe(e)]
        for entry in chosen:
            self.abandon(entry, "this placer is leaving")
        self.counters["handed_back"] += len(chosen)
        return len(chosen)

    def settle_all(self) -> int:
        """Settle every task still open, at the end of a stop. Returns how many there were."""
        entries = self.ledger.open_entries()
        for entry in entries:
            self.abandon(entry, "this placer is leaving")
        return len(entries)

    def purge_settled(self) -> None:
        """Drop settled tasks for which no late message is expected any more."""
        self.ledger.forget(self._driver.now() - SETTLED_RETENTION_MS)
