"""An attempt from the module's decision to its end, and the two things that every offer's truth hangs on.

An offer is for one life of a machine and for a time that runs from the decision on. It may wait before it is written: for
a stream, for room in one, for the session to be resumed. So an offer is not a frame that lies in a queue; it is made by
:meth:`Attempts.write` at the moment at which it goes out, with what is left of its time, or not at all.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from typing import Any

from sprucepost import interface as i
from sprucepost.loop import Loop, Timer
from sprucepost.placing.answers import Answers
from sprucepost.placing.desk import Desk
from sprucepost.placing.ledger import Entry, Outcome
from sprucepost.placing.ports import Key, MachinesPort
from sprucepost.v1 import common_pb2, machine_pb2
from sprucepost.v1 import placer_pb2 as pb

_EFFECTS = {
    "safe": common_pb2.EFFECT_SAFE,
    "keyed": common_pb2.EFFECT_KEYED,
    "unsafe": common_pb2.EFFECT_UNSAFE,
}


class Out:
    """One attempt: waiting to be written, written, then accepted or over."""

    __slots__ = ("accepted", "entry", "life", "machine", "number", "sent", "timer", "turn", "until", "written")

    def __init__(
        self, entry: Entry, number: int, machine: str, life: int, sent: float, until: float, turn: int = 0
    ) -> None:
        self.entry, self.number, self.machine, self.life = entry, number, machine, life
        self.sent, self.until, self.turn = sent, until, turn
        self.written = self.accepted = False
        self.timer: Timer | None = None


class Attempts:
    """All attempts of a placer. ``machines`` is set by whoever puts the parts together."""

    machines: MachinesPort

    def __init__(self, loop: Loop, desk: Desk, answers: Answers, least_ms: float, counters: Counter[str]) -> None:
        self.loop, self._desk, self._answers = loop, desk, answers
        self._least = least_ms  # an offer that has waited is not worth writing with less left than this
        self.counters = counters
        self.refusals: Counter[str] = Counter()
        self.closed: set[str] = set()  # machines that must get nothing new now
        self.cold_until: dict[str, float] = {}  # on the desk's clock
        self._all: dict[Key, Out] = {}
        self._on: dict[str, dict[Key, Out]] = {}

    # Looking

    def get(self, key: Key) -> Out | None:
        return self._all.get(key)

    def on(self, machine: str) -> list[tuple[Key, Out]]:
        return list(self._on.get(machine, {}).items())

    def __iter__(self) -> Iterator[Out]:
        return iter(list(self._all.values()))

    # Out

    def offer(self, action: i.Offer) -> None:
        """The module has decided: the attempt begins."""
        entry, link = self._answers.ledger.by_request(action.request), self.machines.get(action.machine)
        if entry is None or entry.outcome is not Outcome.OPEN:
            raise AssertionError(f"an offer for request {action.request}, which is over")
        now = self.loop.now()
        life = link.life if link is not None else 0
        out = Out(entry, entry.attempts, action.machine, life, now, now + action.timeout, self.loop.turns)
        key = (entry.request, out.number)
        entry.attempts += 1
        entry.out = out.number
        self._add(key, out)
        self.counters["offers"] += 1
        if link is None:  # listed without an address that can be used
            self.end(key, out, i.Ending.CONNECT_FAILED)
            return
        out.timer = self.loop.call_later(action.timeout, lambda: self._expire(key))
        link.offer(key)
        self._answers.tell(entry, offered=pb.Offered(machine=action.machine, attempt=out.number))

    def _add(self, key: Key, out: Out) -> None:
        self._all[key] = out
        self._on.setdefault(out.machine, {})[key] = out

    def write(self, key: Key, life: int) -> machine_pb2.Offer | None:
        """The offer as it is to go out now to that life of its machine; None where it must not.

        It must not once its attempt is over, where the machine takes nothing new, for another life than the one that it was
        decided for, to a cold machine at another time than it was decided for, or with so little time left that it could
        not be answered. Offers that went out with their first time-out after a wait had two attempts out at once, and a
        machine that came back cold got what was meant for the warm one. None is not the attempt's end: its time-out, or the
        machine's attach, is.
        """
        out = self._all.get(key)
        if out is None or out.accepted or out.machine in self.closed or out.life not in (0, life):
            return None
        if out.turn != self.loop.turns and self._desk.now() < self.cold_until.get(out.machine, 0.0):
            return None  # what a cold machine bears is reckoned from the decision: later, it is somebody else's share
        left = out.until - self.loop.now()
        if left < min(self._least, (out.until - out.sent) / 2):
            return None
        out.life, out.written = life, True
        return machine_pb2.Offer(
            request=out.entry.request,
            attempt=out.number,
            name=out.entry.name,
            task=out.entry.ask,
            effect=_EFFECTS[self._answers.class_of(out.entry).effect],
            wait_ms=left,
        )

    def _expire(self, key: Key) -> None:
        out = self._all.get(key)
        if out is None or out.accepted:
            return
        link = self.machines.get(out.machine)
        if link is not None:
            link.drop(key)
            if out.written:
                link.give_up_buffered()
        self.counters["timeouts" if out.written else "unsent"] += 1
        self.end(key, out, i.Ending.TIMEOUT if out.written else i.Ending.CONNECT_FAILED)

    def end(
        self,
        key: Key,
        out: Out,
        ending: i.Ending,
        reason: i.Reason = i.Reason.UNTOLD,
        load: machine_pb2.Load | None = None,
    ) -> None:
        """The attempt is over: tell the module, once."""
        self._all.pop(key, None)
        self._on.get(out.machine, {}).pop(key, None)
        if out.timer is not None:
            out.timer.cancel()
        if out.entry.out == out.number and not out.accepted:
            out.entry.out = None
        if not out.accepted and ending in (i.Ending.TIMEOUT, i.Ending.RESET, i.Ending.CANCELLED):
            out.entry.may_run = True
        report = _load_report(load) if load is not None else None
        closed = out.accepted or out.entry.outcome is not Outcome.OPEN
        self._desk.push(i.Outcome(key[0], key[1], ending, closed, reason, report))

    # Words of a machine on an attempt

    def take(self, key: Key, out: Out, frame: machine_pb2.FromMachine) -> None:
        """A new frame about an attempt that is known."""
        kind = frame.WhichOneof("body")
        if kind == "refused":
            if not out.accepted:
                self._drop(out.machine, key)
                reason = i.Reason(frame.refused.reason)
                self.refusals[reason.name.lower()] += 1
                self.end(key, out, i.Ending.FULL, reason, frame.load)
            return
        if not out.accepted:  # where the answer itself was lost, that the machine holds the task says as much
            self.accept(key, out)
        if not out.accepted:
            return
        if kind == "running":
            self._desk.push(i.StatusNote(key[0], key[1], i.StatusKind.RUNNING, 1.0))
            self._answers.tell(out.entry, running=pb.Running())
        elif kind == "use":
            self._use(key, out, frame.use)
        elif kind == "ended":
            self._ended(key, out, frame)

    def accept(self, key: Key, out: Out) -> None:
        """The machine holds the task."""
        self._drop(out.machine, key)
        entry = out.entry
        if out.timer is not None:
            out.timer.cancel()
        if entry.outcome is not Outcome.OPEN:  # answered or cancelled while the offer was out
            self.withdraw(out.machine, key[0], key[1], self.machines.incarnation)
            self.end(key, out, i.Ending.CANCELLED)
            return
        out.accepted = True
        entry.out = None
        entry.machine, entry.attempt = out.machine, out.number
        self._answers.settle(entry, Outcome.PLACED)
        self._desk.push(i.Accepted(key[0], key[1], self.loop.now() - out.sent))
        self._answers.outcome(entry, bound=pb.Bound(machine=out.machine, attempt=out.number))

    def _drop(self, machine: str, key: Key) -> None:
        link = self.machines.get(machine)
        if link is not None:
            link.drop(key)

    def _use(self, key: Key, out: Out, use: machine_pb2.TaskUse) -> None:
        for field, kind in (
            ("cores", i.StatusKind.CORES_USED),
            ("memory", i.StatusKind.MEMORY_USED),
            ("served_share", i.StatusKind.SERVED_SHARE),
            ("machine_memory", i.StatusKind.MACHINE_MEMORY),
        ):
            if use.HasField(field):
                self._desk.push(i.StatusNote(key[0], key[1], kind, getattr(use, field)))
        self._answers.tell(out.entry, use=pb.Use(cores=use.cores, memory=use.memory))

    def _ended(self, key: Key, out: Out, frame: machine_pb2.FromMachine) -> None:
        ending = {
            machine_pb2.TaskEnded.DONE: i.Ending.OK,
            machine_pb2.TaskEnded.STOPPED: i.Ending.CANCELLED,
        }.get(frame.ended.how, i.Ending.RESET)
        self.end(key, out, ending, i.Reason(frame.ended.reason), frame.load)
        told = {
            i.Ending.OK: pb.Ended.DONE,
            i.Ending.CANCELLED: pb.Ended.STOPPED,
        }.get(ending, pb.Ended.LOST)
        self._answers.over(out.entry, pb.Ended(how=told, reason=frame.ended.reason))

    def lost(self, key: Key, out: Out) -> None:
        """A placed task went with its machine."""
        self.end(key, out, i.Ending.RESET)
        self._answers.over(out.entry, pb.Ended(how=pb.Ended.LOST))

    # Words of a machine on all that it holds

    def attached(self, machine: str, held: dict[Key, bool], new_life: bool) -> None:
        """The machine attached with a new session; ``held`` are the attempts that it names, and whether they run."""
        for key, out in self.on(machine):
            if key in held:
                if not out.accepted:
                    self.accept(key, out)
                if held[key] and out.accepted:
                    self._desk.push(i.StatusNote(key[0], key[1], i.StatusKind.RUNNING, 1.0))
            elif out.accepted:
                self.lost(key, out)
            elif new_life:  # an offer that never went out was for the life before, and is for no other
                self._drop(machine, key)
                self.end(key, out, i.Ending.RESET if out.written else i.Ending.VOID)

    def buried(self, machine: str) -> None:
        """The machine is gone for good: what it held is lost."""
        for key, out in self.on(machine):
            if out.accepted:
                self.lost(key, out)
            else:
                self.end(key, out, i.Ending.RESET if out.written else i.Ending.VOID)
        self._on.pop(machine, None)

    def close(self, machine: str, closed: bool) -> None:
        """The machine must get nothing new from now on, or may again."""
        link = self.machines.get(machine)
        if not closed:
            self.closed.discard(machine)
        else:
            self.closed.add(machine)
            self.unwritten(machine)
        if link is not None:
            link.close_to_offers(closed)

    def unwritten(self, machine: str) -> None:
        """What was not written never will be, and never ran: the module may decide anew."""
        for key, out in self.on(machine):
            if not out.written and not out.accepted:
                self._drop(machine, key)
                self.end(key, out, i.Ending.VOID)

    # Tasks that were found running

    def found(self, machine: str, held: machine_pb2.Held, entry: Entry, request: i.TaskRequest) -> None:
        """The task runs on that machine and is this placer's from now on."""
        link = self.machines.get(machine)
        out = Out(entry, 0, machine, link.life if link is not None else 0, self.loop.now(), math.inf)
        entry.machine, entry.attempt, entry.out = machine, 0, None
        out.accepted = out.written = True
        self._add((entry.request, 0), out)
        self._desk.push(i.TaskFound(request, machine))
        if link is not None:
            adopt = machine_pb2.Adopt(
                name=held.name,
                old_request=held.request,
                old_attempt=held.attempt,
                old_incarnation=held.incarnation,
                request=entry.request,
            )
            link.send(machine_pb2.ToMachine(adopt=adopt))
        self._answers.outcome(entry, bound=pb.Bound(machine=machine, attempt=held.attempt, found=True))

    def withdraw(self, machine: str, request: int, attempt: int, incarnation: int) -> None:
        """Have the machine drop that offer or stop that task."""
        link = self.machines.get(machine)
        if link is not None:
            self.counters["withdrawn"] += 1
            withdraw = machine_pb2.Withdraw(request=request, attempt=attempt, incarnation=incarnation)
            link.send(machine_pb2.ToMachine(withdraw=withdraw))


def _load_report(load: machine_pb2.Load) -> i.LoadReport:
    def value(field: Any) -> float | None:
        return getattr(load, field) if load.HasField(field) else None

    return i.LoadReport(
        value("free_cores"), value("free_memory"), value("busy"), value("queue"), value("start_time_ms")
    )
