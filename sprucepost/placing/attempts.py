"""An attempt from the scheduler's decision to its end.

An offer holds for one incarnation of a machine and for a time that starts at the decision. It may wait before it is
written: for a stream, for space in one, for the session to be resumed. So no offer frame waits in a queue; the frame is
built by :meth:`Attempts.build_offer` at the moment it is sent, with the time that is left, or not at all.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from typing import Any

from sprucepost import interface as i
from sprucepost.loop import Loop, Timer
from sprucepost.placing.ledger import Entry, Outcome
from sprucepost.placing.outcome_reporter import OutcomeReporter
from sprucepost.placing.ports import Key, MachinesPort
from sprucepost.placing.scheduler_driver import SchedulerDriver
from sprucepost.v1 import common_pb2, machine_pb2
from sprucepost.v1 import placer_pb2 as pb

_REASON_NUMBERS = frozenset(map(int, i.Reason))
_EFFECTS = {
    "safe": common_pb2.EFFECT_SAFE,
    "keyed": common_pb2.EFFECT_KEYED,
    "unsafe": common_pb2.EFFECT_UNSAFE,
}


class Attempt:
    """One attempt: waiting to be written, written, then accepted or ended.

    ``incarnation`` of the machine (0: not known); ``decided_at`` and ``deadline`` in ms on the loop's clock; ``turn``: the
    loop's turn in which the attempt was decided.
    """

    __slots__ = (
        "accepted",
        "deadline",
        "decided_at",
        "entry",
        "incarnation",
        "machine",
        "number",
        "timer",
        "turn",
        "written",
    )

    def __init__(
        self,
        entry: Entry,
        number: int,
        machine: str,
        incarnation: int,
        decided_at: float,
        deadline: float,
        turn: int = 0,
    ) -> None:
        self.entry, self.number, self.machine, self.incarnation = entry, number, machine, incarnation
        self.decided_at, self.deadline, self.turn = decided_at, deadline, turn
        self.written = self.accepted = False
        self.timer: Timer | None = None


class Attempts:
    """All attempts of a placer. ``machines`` is set by the code that assembles the placer.

    A placed task is *detached* while its machine holds it under an attempt of another process of this placer's number.
    """

    machines: MachinesPort

    def __init__(
        self, loop: Loop, driver: SchedulerDriver, reporter: OutcomeReporter, min_left_ms: float, counters: Counter[str]
    ) -> None:
        self.loop, self._driver, self._reporter = loop, driver, reporter
        self._min_left_ms = min_left_ms  # a delayed offer with less time left is not written
        self.counters = counters
        self.refusals: Counter[str] = Counter()
        self.closed_machines: set[str] = set()  # machines that must not get new offers now
        self.cold_until: dict[str, float] = {}  # by machine, in ms on the scheduler driver's clock
        self._by_key: dict[Key, Attempt] = {}
        self._by_machine: dict[str, dict[Key, Attempt]] = {}

    # Look-up

    def get(self, key: Key) -> Attempt | None:
        """The attempt of that key, until it has ended."""
        return self._by_key.get(key)

    def on_machine(self, machine: str) -> list[tuple[Key, Attempt]]:
        """The attempts on that machine."""
        return list(self._by_machine.get(machine, {}).items())

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self._by_key.values()))

    # Sending offers

    def offer(self, action: i.Offer) -> None:
        """Begin the attempt that the scheduler has decided on."""
        entry, link = self._reporter.ledger.by_request(action.request), self.machines.get(action.machine)
        if entry is None or entry.outcome is not Outcome.OPEN:
            raise AssertionError(f"offer for request {action.request}, which is not open")
        now = self.loop.now()
        incarnation = link.machine_incarnation if link is not None else 0
        attempt = Attempt(
            entry, entry.attempts, action.machine, incarnation, now, now + action.timeout, self.loop.turns
        )
        key = (entry.request, attempt.number)
        entry.attempts += 1
        entry.pending_attempt = attempt.number
        self._add(key, attempt)
        self.counters["offers"] += 1
        if link is None:  # listed without a usable address
            self.end(key, attempt, i.Ending.CONNECT_FAILED)
            return
        attempt.timer = self.loop.call_later(action.timeout, lambda: self._expire(key))
        link.offer(key)
        self._reporter.notify(entry, offered=pb.Offered(machine=action.machine, attempt=attempt.number))

    def _add(self, key: Key, attempt: Attempt) -> None:
        self._by_key[key] = attempt
        self._by_machine.setdefault(attempt.machine, {})[key] = attempt

    def build_offer(self, key: Key, incarnation: int) -> machine_pb2.Offer | None:
        """The offer frame to send now to that incarnation of its machine, or None if it must not be sent.

        It must not be sent once its attempt has ended, where the machine takes no new work, to another incarnation than
        the one it was decided for, to a cold machine in a later turn than the decision's, or with so little time left
        that it could not be answered. Delayed offers that were sent with their original time-out led to two concurrent
        attempts, and a machine that came back cold got what was meant for the warm one.

        None does not end the attempt: its time-out does, or the machine's next attach.
        """
        attempt = self._by_key.get(key)
        if (
            attempt is None
            or attempt.accepted
            or attempt.machine in self.closed_machines
            or attempt.incarnation not in (0, incarnation)
        ):
            return None
        if attempt.turn != self.loop.turns and self._driver.now() < self.cold_until.get(attempt.machine, 0.0):
            return None  # a cold machine's allowance counts from the decision; later it is another placer's share
        left = attempt.deadline - self.loop.now()
        if left < min(self._min_left_ms, (attempt.deadline - attempt.decided_at) / 2):
            return None
        attempt.incarnation, attempt.written = incarnation, True
        return machine_pb2.Offer(
            request=attempt.entry.request,
            attempt=attempt.number,
            name=attempt.entry.name,
            task=attempt.entry.ask,
            effect=_EFFECTS[self._reporter.class_of(attempt.entry).effect],
            wait_ms=left,
        )

    def _expire(self, key: Key) -> None:
        attempt = self._by_key.get(key)
        if attempt is None or attempt.accepted:
            return
        link = self.machines.get(attempt.machine)
        if link is not None:
            link.drop(key)
            if attempt.written:
                link.give_up_buffered()
        self.counters["timeouts" if attempt.written else "unsent"] += 1
        self.end(key, attempt, i.Ending.TIMEOUT if attempt.written else i.Ending.CONNECT_FAILED)

    def end(
        self,
        key: Key,
        attempt: Attempt,
        ending: i.Ending,
        reason: i.Reason = i.Reason.UNTOLD,
        load: machine_pb2.Load | None = None,
    ) -> None:
        """End the attempt and tell the scheduler, once."""
        self._by_key.pop(key, None)
        self._by_machine.get(attempt.machine, {}).pop(key, None)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.entry.pending_attempt == attempt.number and not attempt.accepted:
            attempt.entry.pending_attempt = None
        if not attempt.accepted and ending in (i.Ending.TIMEOUT, i.Ending.RESET, i.Ending.CANCELLED):
            attempt.entry.may_have_run = True
        report = _load_report(load) if load is not None else None
        closed = attempt.accepted or attempt.entry.outcome is not Outcome.OPEN
        self._driver.push(i.Outcome(key[0], key[1], ending, closed, reason, report))

    # Messages of a machine about one attempt

    def on_frame(self, key: Key, attempt: Attempt, frame: machine_pb2.FromMachine) -> None:
        """Handle a new frame about a known attempt."""
        kind = frame.WhichOneof("body")
        if kind == "refused":
            if not attempt.accepted:
                self._drop(attempt.machine, key)
                reason = _reason(frame.refused.reason)
                self.refusals[reason.name.lower()] += 1
                self.end(key, attempt, i.Ending.FULL, reason, frame.load)
            return
        if not attempt.accepted:  # the acceptance was lost, but the frame shows that the machine holds the task
            self.accept(key, attempt)
        if not attempt.accepted:
            return
        if kind == "running":
            self._driver.push(i.StatusNote(key[0], key[1], i.StatusKind.RUNNING, 1.0))
            self._reporter.notify(attempt.entry, running=pb.Running())
        elif kind == "use":
            self._use(key, attempt, frame.use)
        elif kind == "ended":
            self._ended(key, attempt, frame)

    def accept(self, key: Key, attempt: Attempt) -> None:
        """Mark the attempt as accepted: the machine holds the task."""
        self._drop(attempt.machine, key)
        entry = attempt.entry
        if attempt.timer is not None:
            attempt.timer.cancel()
        if entry.outcome is not Outcome.OPEN:  # settled or cancelled while the offer was pending
            self.withdraw(attempt.machine, key[0], key[1], self.machines.incarnation)
            self.end(key, attempt, i.Ending.CANCELLED)
            return
        attempt.accepted = True
        entry.pending_attempt = None
        entry.machine, entry.attempt = attempt.machine, attempt.number
        self._reporter.settle(entry, Outcome.PLACED)
        self._driver.push(i.Accepted(key[0], key[1], self.loop.now() - attempt.decided_at))
        self._reporter.report(entry, bound=pb.Bound(machine=attempt.machine, attempt=attempt.number))

    def _drop(self, machine: str, key: Key) -> None:
        link = self.machines.get(machine)
        if link is not None:
            link.drop(key)

    def _use(self, key: Key, attempt: Attempt, use: machine_pb2.TaskUse) -> None:
        for field, kind in (
            ("cores", i.StatusKind.CORES_USED),
            ("memory", i.StatusKind.MEMORY_USED),
            ("served_share", i.StatusKind.SERVED_SHARE),
            ("machine_memory", i.StatusKind.MACHINE_MEMORY),
        ):
            if use.HasField(field):
                self._driver.push(i.StatusNote(key[0], key[1], kind, getattr(use, field)))
        self._reporter.notify(attempt.entry, use=pb.Use(cores=use.cores, memory=use.memory))

    def _ended(self, key: Key, attempt: Attempt, frame: machine_pb2.FromMachine) -> None:
        ending = {
            machine_pb2.TaskEnded.DONE: i.Ending.OK,
            machine_pb2.TaskEnded.STOPPED: i.Ending.CANCELLED,
        }.get(frame.ended.how, i.Ending.RESET)
        self.end(key, attempt, ending, _reason(frame.ended.reason), frame.load)
        reported = {
            i.Ending.OK: pb.Ended.DONE,
            i.Ending.CANCELLED: pb.Ended.STOPPED,
        }.get(ending, pb.Ended.LOST)
        self._reporter.report_end(attempt.entry, pb.Ended(how=reported, reason=frame.ended.reason))

    def report_lost(self, key: Key, attempt: Attempt) -> None:
        """End a placed task that was lost with its machine, and report it."""
        self.end(key, attempt, i.Ending.RESET)
        self._reporter.report_end(attempt.entry, pb.Ended(how=pb.Ended.LOST))

    # Messages of a machine about all tasks that it holds

    def on_attached(self, machine: str, held: dict[Key, bool], held_of_others: set[str], restarted: bool) -> None:
        """Handle an attach with a new session.

        ``held``: the attempts that the machine names, and whether each runs; ``held_of_others``: names of the tasks that
        it has from other processes of this placer's number.
        """
        for key, attempt in self.on_machine(machine):
            if key in held:
                if not attempt.accepted:
                    self.accept(key, attempt)
                if held[key] and attempt.accepted:
                    self._driver.push(i.StatusNote(key[0], key[1], i.StatusKind.RUNNING, 1.0))
            elif attempt.accepted and attempt.entry.name in held_of_others and not restarted:
                self.end(key, attempt, i.Ending.VOID)  # detached
            elif attempt.accepted:
                self.report_lost(key, attempt)
            elif restarted:  # an unsent offer was for the previous incarnation and is not valid for another
                self._drop(machine, key)
                self.end(key, attempt, i.Ending.RESET if attempt.written else i.Ending.VOID)

    def on_machine_gone(self, machine: str) -> None:
        """Handle the removal of a machine: the tasks that it held are lost."""
        for key, attempt in self.on_machine(machine):
            if attempt.accepted:
                self.report_lost(key, attempt)
            else:
                self.end(key, attempt, i.Ending.RESET if attempt.written else i.Ending.VOID)
        self._by_machine.pop(machine, None)

    def set_closed(self, machine: str, closed: bool) -> None:
        """Stop new offers to the machine, or allow them again."""
        link = self.machines.get(machine)
        if not closed:
            self.closed_machines.discard(machine)
        else:
            self.closed_machines.add(machine)
            self.drop_unwritten(machine)
        if link is not None:
            link.close_to_offers(closed)

    def drop_unwritten(self, machine: str) -> None:
        """End attempts whose offers were not written. They never ran, so the scheduler may decide again."""
        for key, attempt in self.on_machine(machine):
            if not attempt.written and not attempt.accepted:
                self._drop(machine, key)
                self.end(key, attempt, i.Ending.VOID)

    # Tasks found running

    def is_detached(self, machine: str, entry: Entry) -> bool:
        """Whether the task is placed on that machine and no attempt stands for it."""
        return (
            entry.outcome is Outcome.PLACED
            and entry.machine == machine
            and (entry.request, entry.attempt) not in self._by_key
        )

    def adopt(self, machine: str, held: machine_pb2.Held, entry: Entry, request: i.TaskRequest) -> None:
        """Take over a task that already runs on that machine."""
        link = self.machines.get(machine)
        attempt = Attempt(
            entry, 0, machine, link.machine_incarnation if link is not None else 0, self.loop.now(), math.inf
        )
        entry.machine, entry.attempt, entry.pending_attempt = machine, 0, None
        attempt.accepted = attempt.written = True
        self._add((entry.request, 0), attempt)
        self._driver.push(i.TaskFound(request, machine))
        if link is not None:
            message = machine_pb2.Adopt(
                name=held.name,
                old_request=held.request,
                old_attempt=held.attempt,
                old_incarnation=held.incarnation,
                request=entry.request,
            )
            link.send(machine_pb2.ToMachine(adopt=message))
        self._reporter.report(entry, bound=pb.Bound(machine=machine, attempt=held.attempt, found=True))

    def withdraw(self, machine: str, request: int, attempt: int, incarnation: int) -> None:
        """Tell the machine to drop that offer or to stop that task."""
        link = self.machines.get(machine)
        if link is not None:
            self.counters["withdrawn"] += 1
            withdraw = machine_pb2.Withdraw(request=request, attempt=attempt, incarnation=incarnation)
            link.send(machine_pb2.ToMachine(withdraw=withdraw))


def _reason(number: int) -> i.Reason:
    """Return the reason of that number; one that only a later version knows counts as not given."""
    return i.Reason(number) if number in _REASON_NUMBERS else i.Reason.UNTOLD


def _load_report(load: machine_pb2.Load) -> i.LoadReport:
    def value(field: Any) -> float | None:
        return getattr(load, field) if load.HasField(field) else None

    return i.LoadReport(
        value("free_cores"), value("free_memory"), value("busy"), value("queue"), value("start_time_ms")
    )
