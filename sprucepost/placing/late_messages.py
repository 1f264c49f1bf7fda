"""Words that no attempt waits for: an acceptance after its time-out, what a machine held through a restart of this
placer, and owners' hand-overs. What each means against the books is ``ledger.late_action``."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.placing.attempts import Attempts
from sprucepost.placing.ledger import Entry, LateAction, Ledger, Outcome, late_action
from sprucepost.placing.outcome_reporter import OutcomeReporter
from sprucepost.placing.ports import MachinesPort, SessionPort
from sprucepost.placing.scheduler_driver import SchedulerDriver
from sprucepost.placing.task_catalog import TaskCatalog
from sprucepost.v1 import common_pb2, machine_pb2
from sprucepost.v1 import placer_pb2 as pb

HAND_OVER_MS = 30_000.0  # how long a handed-over task waits for its machine to attach


class LateMessages:
    """``machines`` is set by whoever puts the parts together."""

    machines: MachinesPort

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        ledger: Ledger,
        reporter: OutcomeReporter,
        attempts: Attempts,
        catalog: TaskCatalog,
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        self.loop, self._driver, self._ledger, self._reporter = loop, driver, ledger, reporter
        self._attempts, self._catalog, self._log, self.counters = attempts, catalog, log, counters
        self._hand_overs: dict[str, dict[str, tuple[bytes, common_pb2.Task]]] = {}  # by machine, then task
        self._surfaced: dict[str, tuple[str, machine_pb2.Held]] = {}  # by task: where, and as what

    # A machine's word

    def on_accepted(self, machine: str, frame: machine_pb2.FromMachine) -> None:
        """Accepted after its time-out. The entry may be over; the name finds it while a late word can matter."""
        entry = self._ledger.by_request(frame.request)
        self.counters["late_accepts"] += 1
        if entry is None:
            self._attempts.withdraw(machine, frame.request, frame.attempt, self.machines.incarnation)
            return
        held = machine_pb2.Held(
            name=entry.name,
            task=entry.ask,
            request=frame.request,
            attempt=frame.attempt,
            incarnation=self.machines.incarnation,
        )
        self.on_held(machine, held)

    def on_held(self, machine: str, held: machine_pb2.Held) -> None:
        """A machine holds a task that no attempt of ours waits for."""
        entry = self._ledger.by_name(held.name)
        action = late_action(entry)
        self.counters[f"late {action.value}"] += 1
        self._log("late_word", task=held.name, machine=machine, word=action.value)
        if action is LateAction.PLACE:
            assert entry is not None
            self._place(machine, held, entry)
        elif action is LateAction.TAKE_OVER:
            waiting = self._hand_overs.get(machine, {}).pop(held.name, None)
            self._take_over(machine, held, waiting[0] if waiting is not None else None)
        elif action is LateAction.SURFACE:
            assert entry is not None
            self._surfaced[held.name] = machine, held
            link = self.machines.get(machine)
            if link is not None:
                release = machine_pb2.Release(request=held.request, attempt=held.attempt, incarnation=held.incarnation)
                link.send(machine_pb2.ToMachine(release=release))
            self._reporter.notify(entry, surfaced=pb.Surfaced(machine=machine))
        else:
            self._attempts.withdraw(machine, held.request, held.attempt, held.incarnation)

    def _place(self, machine: str, held: machine_pb2.Held, entry: Entry) -> None:
        """It is the answer to a task still open."""
        self._driver.push(i.RequestAbandoned(entry.request))
        self._reporter.settle(entry, Outcome.PLACED)
        self._ledger.renumber(entry)
        self._attempts.adopt(machine, held, entry, self._catalog.request(entry, 0.0))

    def _take_over(self, machine: str, held: machine_pb2.Held, token: bytes | None) -> None:
        """A task that runs and is nobody's here becomes ours."""
        if self._catalog.problem(held.name, held.task) is not None:
            self._attempts.withdraw(machine, held.request, held.attempt, held.incarnation)
            return
        entry = self._ledger.take(held.name, self._catalog.classes[held.task.task_class], held.task.service,
                                  self._driver.now())  # fmt: skip
        if token is not None:
            entry.sessions[token] = 1
        self._reporter.settle(entry, Outcome.PLACED)
        entry.ask = held.task
        self._attempts.adopt(machine, held, entry, self._catalog.request(entry, 0.0))

    # An owner's word

    def hand_over(self, session: SessionPort, name: str, hand_over: pb.HandOver) -> None:
        """An owner says that the task runs on that machine."""
        entry, machine = self._ledger.current(name), hand_over.machine
        if entry is not None and entry.outcome is Outcome.PLACED:
            entry.sessions.setdefault(session.token, 0)
            bound = pb.Bound(machine=entry.machine, attempt=entry.attempt, found=True)
            session.send(pb.PlacerFrame(task=name, bound=bound))
            return
        surfaced = self._surfaced.pop(name, None)
        if surfaced is not None and entry is None:
            self._take_over(surfaced[0], surfaced[1], session.token)
            return
        link = self.machines.get(machine)
        if entry is not None or self._catalog.problem(name, hand_over.task) or link is None or link.attached:
            session.send(pb.PlacerFrame(task=name, ended=pb.Ended(how=pb.Ended.LOST)))
            return
        # The machine is known and has not attached yet: what it holds will tell.
        self._hand_overs.setdefault(machine, {})[name] = session.token, hand_over.task
        self.loop.call_later(HAND_OVER_MS, lambda: self._fail_hand_over(machine, name))

    def _fail_hand_over(self, machine: str, name: str) -> None:
        waiting = self._hand_overs.get(machine, {}).pop(name, None)
        if waiting is not None:
            self._reporter.owners.tell(waiting[0], pb.PlacerFrame(task=name, ended=pb.Ended(how=pb.Ended.LOST)))

    def fail_missing_hand_overs(self, machine: str) -> None:
        """All that the machine holds has been named, or it is gone: what was handed over and is not there is lost."""
        for name in list(self._hand_overs.get(machine, {})):
            self._fail_hand_over(machine, name)
        self._hand_overs.pop(machine, None)

    def purge(self) -> None:
        """Forget surfaced copies of tasks that the books have forgotten."""
        for name in [name for name in self._surfaced if self._ledger.by_name(name) is None]:
            del self._surfaced[name]
