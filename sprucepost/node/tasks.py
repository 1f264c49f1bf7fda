"""The walk of a task from its set-up to its release; free of sockets.

=========== ================================= ============================================================== ===========
state       on                                does                                                           then
=========== ================================= ============================================================== ===========
(none)      set-up                            ``TaskRequest``                                                held
(none)      set-up with ``at``                ``TaskFound``; nothing is answered                             standing
held        ``Offer``                         the host gets it as soon as it can be written                  out
held, out   ``Refuse``, ``Fail``              the owner hears at once; what is out is given up               (over)
held, out   given up, or owner's connection   what is out is given up, ``Gone``                              (over)
            ended
out         answer                            ``Accepted``; the owner gets the answer                        standing
out         refusal, error, moot, reset       ``Outcome``                                                    held
out         its time is up                    given up; ``Outcome`` timeout, or connect_failed if unwritten  held
out         its connection broke              ``Outcome`` reset                                              held
standing    note                              ``Note``
standing    release: ok, reset                ``Outcome``; the owner is released                             (over)
standing    release: cancelled                ``Outcome``; nobody is owed a release                          (over)
standing    owner's release                   the host is told; ``Outcome`` cancelled                        (over)
standing    its host is lost                  ``Outcome`` reset; the owner is released; should the host      (over)
                                              come back, it is told to let the task go
=========== ================================= ============================================================== ===========

The ledger makes a second answer impossible: it raises where a task is not open. Whatever else a host says of a task (a
second answer, one that was given up, one that nobody knows) finds no state that waits for it, and is counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import Any, Protocol

from sprucepost import interface as i
from sprucepost.loop import Loop, Timer
from sprucepost.node import words
from sprucepost.node.jsonl import Line, Word, encode
from sprucepost.node.words import SetUp
from sprucepost.placing.desk import Desk
from sprucepost.placing.ledger import Entry, Ledger, Outcome

REFUSED, FAILED, BROKEN, ENDED = 34, 41, 41, 16  # causes that owners hear
GIVEN_UP = 16  # the cause with which a set-up is taken back, and a standing task let go
LATE_MS = 8000.0  # an owner that could not be released hears of it for so long


class Taken(Enum):
    """What became of a set-up."""

    TAKEN = "taken"
    UNLISTED = "unlisted"  # taken, though its ``at`` names a host that no list has told of
    REPEATED = "repeated"  # its id is that of another task


class OwnerPort(Protocol):
    """One owner's connection."""

    @property
    def closed(self) -> bool: ...
    def hold(self) -> None:
        """A task that came on it stands: it, or another of its owner's, is needed until the release."""
        ...

    def unhold(self) -> None:
        """Such a task is over."""
        ...

    def answer(self, sid: str, text: str) -> None: ...
    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None: ...


class OwnersPort(Protocol):
    """All owners' connections."""

    def release(self, link: OwnerPort, sid: str, cause: int) -> None:
        """Tell the owner that its task is over: on that connection, else on another."""
        ...


class HostsPort(Protocol):
    """All hosts' connections."""

    def place(self, out: Out) -> None:
        """Write the offer when :meth:`Tasks.write` gives it; end the attempt where it cannot be written."""
        ...

    def give_up(self, out: Out) -> None:
        """Take the set-up back where it was written; forget it where it was not."""
        ...

    def let_go(self, machine: str, sid: str) -> None:
        """Have the host end a standing task."""
        ...

    def adopt(self, machine: str, sid: str) -> bool:
        """The task is ours to look after there, and not to be let go any more; False where the host is not listed."""
        ...


class Walk:
    """What a task's entry in the ledger carries."""

    __slots__ = ("held", "out", "owner", "setup", "since")

    def __init__(self, setup: SetUp, owner: OwnerPort) -> None:
        self.setup, self.owner = setup, owner
        self.out: Out | None = None
        self.since = 0.0  # wall-clock ms from which it stands
        self.held = False  # whether its owner's connection is kept for its release


class Out:
    """One attempt, from the module's decision until its end."""

    __slots__ = ("entry", "link", "machine", "number", "sent", "timer", "until", "written")

    def __init__(self, entry: Entry, number: int, machine: str, sent: float, until: float) -> None:
        self.entry, self.number, self.machine, self.sent, self.until = entry, number, machine, sent, until
        self.written = False
        self.timer: Timer | None = None
        self.link: Any = None  # the host's connection that carries it, or is to

    @property
    def sid(self) -> str:
        """The id of its task."""
        return self.entry.name


class Tasks:
    """All tasks of this placer. ``owners`` and ``hosts`` are set by whoever puts the parts together."""

    owners: OwnersPort
    hosts: HostsPort

    def __init__(
        self,
        loop: Loop,
        desk: Desk,
        least_ms: float,
        report: Callable[[str | None], i.LoadReport | None],
        counters: Counter[str],
    ) -> None:
        self.loop, self._desk, self._least, self._report = loop, desk, least_ms, report
        self.ledger = Ledger()
        self.counters = counters
        self.closed: set[str] = set()  # hosts that must get nothing new: they drain, or have gone
        self.standing: dict[str, dict[str, Entry]] = {}
        self.on_settled: Callable[[], None] = lambda: None
        desk.carry = self._carry

    # Owners

    def take(self, setup: SetUp, owner: OwnerPort, waited_ms: float) -> Taken:
        """A new task, or one that a host holds already."""
        entry = self.ledger.current(setup.sid)
        if entry is not None:
            if not setup.at or entry.outcome is not Outcome.PLACED or entry.machine != setup.at:
                return Taken.REPEATED
            if entry.ask.held and entry.ask.owner.closed:  # the owner says it once more, on another connection
                entry.ask.owner.unhold()
                self._hold(entry, owner)
            return Taken.TAKEN
        now = self.loop.now()
        entry = self.ledger.take(setup.sid, setup.task_class, setup.service, now)
        entry.ask = Walk(setup, owner)
        if setup.at:
            self.counters["found"] += 1
            entry.machine = setup.at
            self.ledger.settle(entry, Outcome.PLACED, now)
            self._stand(entry)
            self._desk.push(i.TaskFound(setup.request(entry.request, setup.left), setup.at))
            if not self.hosts.adopt(setup.at, setup.sid):
                return Taken.UNLISTED
            self._hold(entry, owner)
            return Taken.TAKEN
        self.counters["taken"] += 1
        left = max(0.0, setup.left - waited_ms)
        entry.due = now + left
        self._desk.push(setup.request(entry.request, left))
        return Taken.TAKEN

    def owner_released(self, sid: str) -> None:
        """An owner gives its set-up up, or ends its task."""
        entry = self.ledger.current(sid)
        if entry is None:
            return
        if entry.outcome is Outcome.OPEN:
            self._given_up(entry)
            return
        self.counters["ended_by_owner"] += 1
        self.hosts.let_go(entry.machine, sid)
        self._over(entry, i.Ending.CANCELLED, None)

    def owner_gone(self, sids: list[str]) -> None:
        """Its connection ended, and nobody waits there for those answers any more."""
        for sid in sids:
            entry = self.ledger.current(sid)
            if entry is not None and entry.outcome is Outcome.OPEN:
                self._given_up(entry)

    def _given_up(self, entry: Entry) -> None:
        self.counters["given_up"] += 1
        self._settle(entry, Outcome.FAILED)
        self._withdraw(entry)
        self._desk.push(i.Gone(entry.request))

    # The module

    def _carry(self, action: i.Offer | i.Refuse | i.Fail) -> None:
        entry = self.ledger.by_request(action.request)
        if entry is None or entry.outcome is not Outcome.OPEN:
            raise AssertionError(f"{type(action).__name__} for request {action.request}, which is over")
        if isinstance(action, i.Offer):
            self._offer(entry, action)
            return
        refused = isinstance(action, i.Refuse)
        self._settle(entry, Outcome.REFUSED if refused else Outcome.FAILED)
        self._withdraw(entry)
        stay_away = action.retry_after if isinstance(action, i.Refuse) else 0.0
        entry.ask.owner.refuse(entry.name, REFUSED if refused else FAILED, stay_away)
        self.counters["refused" if refused else "failed"] += 1

    def _settle(self, entry: Entry, outcome: Outcome) -> None:
        self.ledger.settle(entry, outcome, self.loop.now())
        self.on_settled()

    def _withdraw(self, entry: Entry) -> None:
        """The task has its answer: what is out for it is given up."""
        out: Out | None = entry.ask.out
        if out is not None:
            self.hosts.give_up(out)
            self.end(out, i.Ending.CANCELLED)

    def _offer(self, entry: Entry, action: i.Offer) -> None:
        now = self.loop.now()
        out = Out(entry, entry.attempts, action.machine, now, now + action.timeout)
        entry.attempts += 1
        entry.out = out.number
        entry.ask.out = out
        self.counters["offers"] += 1
        out.timer = self.loop.call_later(action.timeout, lambda: self._expire(out))
        self.hosts.place(out)

    # Attempts

    def write(self, out: Out) -> bytes | None:
        """The offer as it is to go out now, with what is left of its time; None where it must not go out any more."""
        left = out.until - self.loop.now()
        if (
            out.entry.ask.out is not out
            or out.machine in self.closed
            or left < min(self._least, (out.until - out.sent) / 2)
        ):
            return None
        setup: SetUp = out.entry.ask.setup
        attrs = {"class": setup.class_name, "key": setup.name}
        if setup.key:
            attrs["idem"] = setup.key
        attrs["left"] = str(int(left))
        return encode(Word.OPEN, setup.sid, attrs, text=setup.text)

    def _expire(self, out: Out) -> None:
        if out.entry.ask.out is not out:
            return
        self.counters["timeouts" if out.written else "unsent"] += 1
        self.hosts.give_up(out)
        self.end(out, i.Ending.TIMEOUT if out.written else i.Ending.CONNECT_FAILED)

    def end(
        self,
        out: Out,
        ending: i.Ending,
        reason: i.Reason = i.Reason.UNTOLD,
        report: i.LoadReport | None = None,
    ) -> None:
        """The attempt is over without an answer: tell the module, once."""
        entry = out.entry
        if entry.ask.out is not out:
            return
        entry.ask.out = entry.out = None
        if out.timer is not None:
            out.timer.cancel()
        self.counters[f"ended_{ending.value}"] += 1
        closed = entry.outcome is not Outcome.OPEN
        self._desk.push(i.Outcome(entry.request, out.number, ending, closed, reason, report))

    def answered(self, out: Out, line: Line) -> None:
        """What a host says on the connection of an open set-up: an answer, or how the attempt ended."""
        if line.word is Word.READY and line.text is not None:
            self._accept(out, line.text)
            return
        ending = {34: i.Ending.FULL, 47: i.Ending.ERROR, 102: i.Ending.MOOT}.get(line.code or 0, i.Ending.RESET)
        self.end(out, ending, self._reason(line), self._report(line.attrs.get("load")))

    def _accept(self, out: Out, text: str) -> None:
        entry, now = out.entry, self.loop.now()
        entry.ask.out = entry.out = None
        if out.timer is not None:
            out.timer.cancel()
        entry.machine, entry.attempt = out.machine, out.number
        self._settle(entry, Outcome.PLACED)
        self._stand(entry)
        self._hold(entry, entry.ask.owner)
        self.counters["placed"] += 1
        self._desk.push(i.Accepted(entry.request, out.number, now - out.sent))
        entry.ask.setup = replace(entry.ask.setup, text="")  # no host will get it again
        entry.ask.owner.answer(entry.name, text)

    # Standing tasks

    def _stand(self, entry: Entry) -> None:
        entry.ask.since = self.loop.wall()
        self.standing.setdefault(entry.machine, {})[entry.name] = entry

    def _hold(self, entry: Entry, owner: OwnerPort) -> None:
        entry.ask.owner, entry.ask.held = owner, True
        owner.hold()

    def heard(self, machine: str, line: Line) -> None:
        """What a host says of a task for which no set-up is open on that connection."""
        entry = self.standing.get(machine, {}).get(line.sid)
        if entry is None:
            self.counters["late_words"] += 1
        elif line.word is Word.EVENT:
            kind, value = words.NOTES.get(line.attrs.get("note", "")), words.figure(line.attrs.get("value"))
            if kind is not None and value is not None:
                self._desk.push(i.Note(entry.request, entry.attempt, kind, value))
        elif line.word is Word.CLOSE:
            ending = {16: i.Ending.OK, 31: i.Ending.CANCELLED}.get(line.code or 0, i.Ending.RESET)
            cause = {i.Ending.OK: ENDED, i.Ending.RESET: BROKEN}.get(ending)
            self._over(entry, ending, cause, self._reason(line), self._report(line.attrs.get("load")))
        else:
            self.counters["late_words"] += 1

    def lost(self, machine: str, why: str, before: float | None = None) -> int:
        """The host's tasks (those from before that wall-clock time) are gone, or must be taken for gone; how many."""
        there = self.standing.get(machine, {}).values()
        entries = [entry for entry in there if before is None or entry.ask.since < before]
        for entry in entries:
            self.counters[f"lost_{why}"] += 1
            self._over(entry, i.Ending.RESET, BROKEN)
        return len(entries)

    def _over(
        self,
        entry: Entry,
        ending: i.Ending,
        cause: int | None,
        reason: i.Reason = i.Reason.UNTOLD,
        report: i.LoadReport | None = None,
    ) -> None:
        there = self.standing[entry.machine]
        del there[entry.name]
        if not there:
            del self.standing[entry.machine]
        self.ledger.end(entry)
        self.counters[f"over_{ending.value}"] += 1
        self._desk.push(i.Outcome(entry.request, entry.attempt, ending, True, reason, report))
        if entry.ask.held:
            entry.ask.owner.unhold()
        if cause is not None:
            self.owners.release(entry.ask.owner, entry.name, cause)

    def _reason(self, line: Line) -> i.Reason:
        return words.REASONS.get(line.attrs.get("note", ""), i.Reason.UNTOLD)

    # The list

    def close(self, machine: str, closed: bool) -> None:
        """The host must get nothing new from now on, or may again."""
        (self.closed.add if closed else self.closed.discard)(machine)

    def forget(self) -> None:
        """Drop what was refused or failed: a word of a host on it finds nothing that waits for it."""
        self.ledger.forget(self.loop.now())
