"""What owners ask: taken, joined to a task that is here already, cancelled, or refused at once."""

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
ASK_MOST_MS = 3_600_000.0  # an owner that says that it waits for longer is taken to wait so long


class Intake:
    """``margin_ms``: an answer goes out this long before its owner gives up."""

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
        self._attempts, self._catalog, self._admission, self._margin, self.counters = (
            attempts,
            catalog,
            admission,
            margin_ms,
            counters,
        )
        self.leaving = False  # nothing new is taken

    def submit(self, session: SessionPort, name: str, submission: pb.Submission) -> None:
        task = submission.task
        self.counters["submitted"] += 1
        entry = self._ledger.current(name)
        if entry is None:
            closed = self._closed(session.owner, task.task_class)
            if closed:  # not worth a look at what else it asks for
                self.counters["turned_away"] += 1
                self._refuse(session, name, *closed)
                return
        else:
            # The same name again, by this owner or another: one task, one outcome, told to each that asked.
            owed = entry.sessions.setdefault(session.token, 0)
            self.counters["joined"] += 1
            if entry.outcome is not Outcome.PLACED:
                entry.sessions[session.token] = owed + 1
            else:
                bound = pb.Bound(machine=entry.machine, attempt=entry.attempt, found=True)
                session.send(pb.PlacerFrame(task=name, bound=bound))
            return
        problem = self._catalog.problem(name, task)
        if problem is not None:
            self._refuse(session, name, problem)
            return
        if self.leaving:
            self._refuse(session, name, "this placer is leaving")
            return
        # The owner's time runs from when it asked. What lay in the socket while this process stood still or was busy
        # has spent some of it already: without this an answer is late by as much as the pause was long.
        left = min(submission.left_ms, ASK_MOST_MS) - session.waited_ms()
        if not left > 2 * self._margin:
            self._refuse(session, name, NO_TIME)
            return
        now, number = self.loop.now(), self._catalog.classes[task.task_class]
        worth, aim = self._catalog.worth[task.task_class], self._catalog.aim_ms[number]
        ask = AdmissionRequest(session.owner, worth, left - 2 * self._margin, aim, submission.repeat)
        verdict = self._admission.decide(ask, now)
        if verdict.why:
            self.counters["turned_away"] += 1
            self._refuse(session, name, verdict.why, verdict.retry_after_ms)
            return
        entry = self._ledger.take(name, number, task.service, self._driver.now())
        entry.sessions[session.token] = 1
        entry.ask, entry.deadline, entry.owner, entry.repeat = task, now + left, session.owner, submission.repeat
        self._admission.open_tasks.opened(session.owner)
        self._admission.enqueue(entry, ask, now)
        self._driver.schedule_batch()

    def _closed(self, owner: str, task_class: str) -> tuple[str, float] | None:
        """Why no ask of that owner and class can be let in now, and the time to wait."""
        full = self._admission.refusal_if_full()
        if full is None and task_class in self._catalog.worth:
            aim = self._catalog.aim_ms[self._catalog.classes[task_class]]
            return self._admission.recent_refusal(owner, self._catalog.worth[task_class], aim, self.loop.now())
        return full

    def take_up(self) -> None:
        """Before the module decides: those whose turn it is go to it. What still waits then is looked at again in the
        next turn, after the sockets: a burst keeps neither machines' answers nor other owners waiting."""
        admission = self._admission
        if not admission.has_queued:
            return
        now = self.loop.now()
        chosen, over = admission.dequeue(now)
        for entry in over:
            if entry.outcome is Outcome.OPEN:  # else cancelled, or found running, while it waited
                self.counters["waited_too_long"] += 1
                self._reporter.refuse(entry, NO_TIME)
        for entry in chosen:
            if entry.outcome is Outcome.OPEN:
                entry.dequeued_at = now
                self._driver.push(self._catalog.request(entry, entry.deadline - now, entry.repeat))
        if len(admission.queue):
            self.loop.call_later(0.0, self._driver.schedule_batch)

    def _refuse(self, session: SessionPort, name: str, why: str, retry_after_ms: float = 0.0) -> None:
        """No request is opened for it."""
        self.counters["refused_at_once"] += 1
        session.refuse(name, why, retry_after_ms)

    def cancel(self, session: SessionPort, name: str) -> None:
        entry = self._ledger.current(name)
        if entry is None or session.token not in entry.sessions:
            return
        if len(entry.sessions) > 1:
            session.released(name, entry.sessions.pop(session.token))  # others still want it
            return
        entry.cancelled = True
        if entry.outcome is Outcome.OPEN:
            self._reporter.abandon(entry, "cancelled by its owner")
        else:
            self._attempts.withdraw(entry.machine, entry.request, entry.attempt, self._attempts.machines.incarnation)
