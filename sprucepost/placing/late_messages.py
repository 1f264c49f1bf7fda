"""Handles messages that no attempt waits for.

These are an acceptance after its time-out, a task that a machine held while this placer restarted, and an owner's
hand-over. ``ledger.late_action`` decides what each means.
"""

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

HAND_OVER_TIMEOUT_MS = 30_000.0  # how long a handed-over task waits for its machine to attach


class LateMessages:
    """Acts on late messages and hand-overs. ``machines`` is set by the code that assembles the placer."""

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
        # By machine, then by task: the session and the task.
        self._hand_overs: dict[str, dict[str, tuple[bytes, common_pb2.Task]]] = {}
        self._surfaced: dict[str, tuple[str, machine_pb2.Held]] = {}  # by task: the machine, and what it holds

    # Machines

    def on_accepted(self, machine: str, frame: machine_pb2.FromMachine) -> None:
        """Handle an acceptance that came after the attempt's time-out. The task may be settled by now."""
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
        """Handle a task that a machine holds and that no attempt of this placer waits for."""
        entry = self._ledger.by_name(held.name)
        action = late_action(entry, entry is not None and self._attempts.is_detached(machine, entry))
        self.counters[f"late {action.value}"] += 1
        self._log("late_word", task=held.name, machine=machine, word=action.value)
        if action is LateAction.PLACE:
            assert entry is not None
            self._place(machine, held, entry)
        elif action is LateAction.TAKE_OVER:
            waiting = self._hand_overs.get(machine, {}).pop(held.name, None)
            self._take_over(machine, held, waiting[0] if waiting is not None else None)
        elif action is LateAction.RECLAIM:
            assert entry is not None
            self._adopt_renumbered(machine, held, entry)
            if entry.cancelled:  # the machine did not know the attempt that was withdrawn then
                self._attempts.withdraw(machine, entry.request, entry.attempt, self.machines.incarnation)
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
        """Bind an open task to the machine that holds it."""
        self._driver.push(i.RequestAbandoned(entry.request))
        self._reporter.settle(entry, Outcome.PLACED)
        self._adopt_renumbered(machine, held, entry)

    def _adopt_renumbered(self, machine: str, held: machine_pb2.Held, entry: Entry) -> None:
        self._ledger.renumber(entry)
        self._attempts.adopt(machine, held, entry, self._catalog.request(entry, 0.0))

    def _take_over(self, machine: str, held: machine_pb2.Held, token: bytes | None) -> None:
        """Take over a running task that this placer does not know."""
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

    # Owners

    def hand_over(self, session: SessionPort, name: str, hand_over: pb.HandOver) -> None:
        """Handle an owner's statement that the task runs on that machine."""
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
        # The machine is known but not attached yet: its attach will name what it holds.
        self._hand_overs.setdefault(machine, {})[name] = session.token, hand_over.task
        self.loop.call_later(HAND_OVER_TIMEOUT_MS, lambda: self._fail_hand_over(machine, name))

    def _fail_hand_over(self, machine: str, name: str) -> None:
        waiting = self._hand_overs.get(machine, {}).pop(name, None)
        if waiting is not None:
            self._reporter.owners.tell(waiting[0], pb.PlacerFrame(task=name, ended=pb.Ended(how=pb.Ended.LOST)))

    def fail_missing_hand_overs(self, machine: str) -> None:
        """Report as lost the handed-over tasks that the machine does not hold.

        Called once the machine has named all that it holds, or is gone.
        """
        for name in list(self._hand_overs.get(machine, {})):
            self._fail_hand_over(machine, name)
        self._hand_overs.pop(machine, None)

    def purge(self) -> None:
        """Drop surfaced tasks that the ledger no longer keeps."""
        for name in [name for name in self._surfaced if self._ledger.by_name(name) is None]:
            del self._surfaced[name]
