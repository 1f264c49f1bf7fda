"""What owners ask: taken, joined to a task that is here already, cancelled, or refused at once."""

from __future__ import annotations

from collections import Counter

from sprucepost.door import Ask, Door
from sprucepost.loop import Loop
from sprucepost.placing.answers import Answers
from sprucepost.placing.attempts import Attempts
from sprucepost.placing.desk import Desk
from sprucepost.placing.ledger import Ledger, Outcome
from sprucepost.placing.ports import SessionPort
from sprucepost.placing.tasks import Tasks
from sprucepost.v1 import placer_pb2 as pb

ASK_MOST_MS = 3_600_000.0  # an owner that says that it waits for longer is taken to wait so long


class Intake:
    """``margin_ms``: an answer goes out this long before its owner gives up."""

    def __init__(
        self,
        loop: Loop,
        desk: Desk,
        ledger: Ledger,
        answers: Answers,
        attempts: Attempts,
        tasks: Tasks,
        door: Door,
        margin_ms: float,
        counters: Counter[str],
    ) -> None:
        self.loop, self._desk, self._ledger, self._answers = loop, desk, ledger, answers
        self._attempts, self._tasks, self._door, self._margin, self.counters = (
            attempts,
            tasks,
            door,
            margin_ms,
            counters,
        )
        self.leaving = False  # nothing new is taken

    def submit(self, session: SessionPort, name: str, submission: pb.Submission) -> None:
        task = submission.task
        self.counters["submitted"] += 1
        entry = self._ledger.current(name)
        if entry is not None:
            # The same name again, by this owner or another: one task, one outcome, told to each that asked.
            owed = entry.sessions.setdefault(session.token, 0)
            self.counters["joined"] += 1
            if entry.outcome is not Outcome.PLACED:
                entry.sessions[session.token] = owed + 1
            else:
                bound = pb.Bound(machine=entry.machine, attempt=entry.attempt, found=True)
                session.send(pb.PlacerFrame(task=name, bound=bound))
            return
        problem = self._tasks.problem(name, task)
        if problem is not None:
            self._refuse(session, name, problem)
            return
        if self.leaving:
            self._refuse(session, name, "this placer is leaving")
            return
        verdict = self._door.ask(
            Ask(session.owner, self._tasks.worth[task.task_class], submission.repeat), self.loop.now()
        )
        if verdict.why:
            self.counters["turned_away"] += 1
            self._refuse(session, name, verdict.why, verdict.retry_after_ms)
            return
        # The owner's time runs from when it asked. What lay in the socket while this process stood still or was busy
        # has spent some of it already: without this an answer is late by as much as the pause was long.
        left = min(submission.left_ms, ASK_MOST_MS) - session.waited_ms()
        if not left > 2 * self._margin:
            self._refuse(session, name, "no time is left to place it")
            return
        number = self._tasks.classes[task.task_class]
        entry = self._ledger.take(name, number, task.service, self._desk.now())
        entry.sessions[session.token] = 1
        self._door.opened(session.owner)
        entry.ask, entry.due, entry.owner = task, self.loop.now() + left, session.owner
        self._desk.push(self._tasks.request(entry, left, submission.repeat))

    def _refuse(self, session: SessionPort, name: str, why: str, retry_after_ms: float = 0.0) -> None:
        """No request is opened for it."""
        self.counters["refused_at_once"] += 1
        session.send(pb.PlacerFrame(task=name, refused=pb.Refused(why=why, retry_after_ms=retry_after_ms)))

    def cancel(self, session: SessionPort, name: str) -> None:
        entry = self._ledger.current(name)
        if entry is None or session.token not in entry.sessions:
            return
        if len(entry.sessions) > 1:
            session.released(name, entry.sessions.pop(session.token))  # others still want it
            return
        entry.cancelled = True
        if entry.outcome is Outcome.OPEN:
            self._answers.give_up(entry, "cancelled by its owner")
        else:
            self._attempts.withdraw(entry.machine, entry.request, entry.attempt, self._attempts.machines.incarnation)
