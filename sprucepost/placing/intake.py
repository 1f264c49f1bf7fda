"""Handles what owners submit: a task is opened, joined to one that exists, cancelled, or refused at once."""

from __future__ import annotations

from collections import Counter

from sprucepost.admission import Admission, AdmissionRequest
from sprucepost.loop import Loop
from sprucepost.placing.attempts import Attempts
from sprucepost.placing.ledger import Entry, Ledger, Outcome
from sprucepost.placing.outcome_reporter import OutcomeReporter
from sprucepost.placing.ports import SessionPort
from sprucepost.placing.scheduler_driver import SchedulerDriver
from sprucepost.placing.task_catalog import TaskCatalog
from sprucepost.v1 import placer_pb2 as pb

NO_TIME = "no time is left to place it"
MAX_SUBMISSION_MS = 3_600_000.0  # an owner that states a longer wait is taken to wait this long


class Intake:
    """Handles submissions and cancellations. ``margin_ms``: an answer is sent this long before its owner gives up."""

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        ledger: Ledger,
        reporter: OutcomeReporter,
        attempts: Attempts,
        catalog: TaskCatalog,
        admission: Admission[Entry],
        margin_ms: float,
        counters: Counter[str],
    ) -> None:
        self.loop, self._driver, self._ledger, self._reporter = loop, driver, ledger, reporter
        self._attempts, self._catalog, self._admission, self._margin_ms, self.counters = (
            attempts,
            catalog,
            admission,
            margin_ms,
            counters,
        )
        self.leaving = False  # no new task is accepted

    def submit(self, session: SessionPort, name: str, submission: pb.Submission) -> None:
        """Open a task, join the submission to one of that name that is open or placed, or refuse it."""
        task = submission.task
        self.counters["submitted"] += 1
        entry = self._ledger.current(name)
        if entry is None:
            refusal = self._early_refusal(session.owner, task.task_class)
            if refusal:  # the rest of the submission need not be checked
                self.counters["turned_away"] += 1
                self._refuse(session, name, *refusal)
                return
        else:
            # The same name again, from this owner or another: one task, one outcome, reported to each that submitted it.
            pending_outcomes = entry.sessions.setdefault(session.token, 0)
            self.counters["joined"] += 1
            if entry.outcome is not Outcome.PLACED:
                entry.sessions[session.token] = pending_outcomes + 1
            else:
                bound = pb.Bound(machine=entry.machine, attempt=entry.attempt, found=True)
                session.send(pb.PlacerFrame(task=name, bound=bound))
            return
        problem = self._catalog.problem(name, task)
        if problem is not None:
            self._refuse(session, name, problem, is_invalid=True)
            return
        if self.leaving:
            self._refuse(session, name, "this placer is leaving")
            return
        # The owner's time runs from the submission. A submission that waited in the socket while this process was stalled
        # or busy has already spent some of it: otherwise an answer would be late by the length of the stall.
        left_ms = min(submission.left_ms, MAX_SUBMISSION_MS) - session.waited_ms()
        if not left_ms > 2 * self._margin_ms:
            self._refuse(session, name, NO_TIME)
            return
        now, class_number = self.loop.now(), self._catalog.classes[task.task_class]
        worth, aim_ms = self._catalog.worth[task.task_class], self._catalog.aim_ms[class_number]
        request = AdmissionRequest(session.owner, worth, left_ms - 2 * self._margin_ms, aim_ms, submission.repeat)
        verdict = self._admission.decide(request, now)
        if verdict.why:
            self.counters["turned_away"] += 1
            self._refuse(session, name, verdict.why, verdict.retry_after_ms)
            return
        entry = self._ledger.take(name, class_number, task.service, self._driver.now())
        entry.sessions[session.token] = 1
        entry.ask, entry.deadline, entry.owner, entry.repeat = task, now + left_ms, session.owner, submission.repeat
        self._admission.open_tasks.opened(session.owner)
        self._admission.enqueue(entry, request, now)
        self._driver.schedule_batch()

    def _early_refusal(self, owner: str, task_class: str) -> tuple[str, float] | None:
        """Why no submission of that owner and class can be admitted now, and the retry time in ms; None if one may be."""
        refusal = self._admission.refusal_if_full()
        if refusal is None and task_class in self._catalog.worth:
            aim_ms = self._catalog.aim_ms[self._catalog.classes[task_class]]
            return self._admission.recent_refusal(owner, self._catalog.worth[task_class], aim_ms, self.loop.now())
        return refusal

    def dequeue_tasks(self) -> None:
        """Pass the queued tasks whose turn it is to the scheduler; runs ahead of each batch.

        The rest is looked at in the next turn, after the sockets, so that a burst delays neither machines' answers nor
        other owners.
        """
        admission = self._admission
        if not admission.has_queued:
            return
        now = self.loop.now()
        chosen, expired = admission.dequeue(now)
        for entry in expired:
            if entry.outcome is Outcome.OPEN:  # else cancelled, or found running, while queued
                self.counters["waited_too_long"] += 1
                self._reporter.refuse(entry, NO_TIME)
        for entry in chosen:
            if entry.outcome is Outcome.OPEN:
                entry.dequeued_at = now
                self._driver.push(self._catalog.request(entry, entry.deadline - now, entry.repeat))
        if len(admission.queue):
            self.loop.call_later(0.0, self._driver.schedule_batch)

    def _refuse(
        self, session: SessionPort, name: str, why: str, retry_after_ms: float = 0.0, is_invalid: bool = False
    ) -> None:
        """Refuse a submission without opening a task."""
        self.counters["refused_at_once"] += 1
        session.refuse(name, why, retry_after_ms, is_invalid)

    def cancel(self, session: SessionPort, name: str) -> None:
        """Cancel the session's submissions of that task, and the task itself if no other session waits for it."""
        entry = self._ledger.current(name)
        if entry is None or session.token not in entry.sessions:
            return
        if len(entry.sessions) > 1:
            session.released(name, entry.sessions.pop(session.token))  # other sessions still wait for it
            return
        entry.cancelled = True
        if entry.outcome is Outcome.OPEN:
            self._reporter.abandon(entry, "cancelled by its owner")
        else:
            self._attempts.withdraw(entry.machine, entry.request, entry.attempt, self._attempts.machines.incarnation)
