"""The states of a task from its set-up to its release; free of sockets.

=========== ================================= ============================================================== ===========
state       on                                does                                                           then
=========== ================================= ============================================================== ===========
(none)      set-up                            in line; ``TaskRequest`` once what stands has been told        held
(none)      set-up with ``at``                ``TaskFound``; nothing is answered                             standing
(none)      set-up spoken of before           see ``early``                                                  (over)
held        ``Offer``                         the host gets it as soon as it can be written                  out
held, out   ``Refuse``, ``Fail``              the owner hears at once; what is out is given up               (over)
held, out   given up, or owner's connection   what is out is given up, ``Gone``                              (over)
            ended
out         answer                            ``Accepted``; the owner gets the answer                        standing
out         its end (16) with a description   ``Accepted``, ``Outcome`` ok; the owner gets answer and release  (over)
out         refusal, error, moot, reset       ``Outcome``                                                    held
out         reset of a task that had stood    ``Outcome`` reset; the owner hears that it has failed          (over)
            there: its answer is still on
            its way
out         its time is up                    given up; ``Outcome`` timeout, or connect_failed if unwritten,  held
                                              or moot if our own system kept it from being written
out         its connection broke              ``Outcome`` reset                                              held
standing    note                              ``Note``
standing    release: ok, reset                ``Outcome``; the owner is released                             (over)
standing    release: cancelled                ``Outcome``; nobody is owed a release                          (over)
standing    owner's release                   the host is told; ``Outcome`` cancelled                        (over)
standing    its host is lost                  ``Outcome`` reset; the owner is released; should the host      (over)
                                              come back, it is told to let the task go
=========== ================================= ============================================================== ===========

A word of a host is understood by what stands between us and that host for the task (below), not by the connection
that brings it: a host says what concerns a standing task on the connection of its set-up, otherwise on any open one.

=========== ================================= ============================== ======================================
the task is note                              answer                         release
=========== ================================= ============================== ======================================
standing    ``Note``                          counted                        it is over, as above
there
out there   it stands: so its end is owed to  on the connection of its       by the table of :meth:`_released_unanswered`
            its owner                         set-up only, which is where
                                              its host gives it
taken back  counted                           counted                        of a task that stood by its notes or by
there                                                                        the release's reason: it was over before
                                                                             we took it back, so it fails, unless it
                                                                             has its outcome
not there   counted                           counted                        kept for a set-up with ``at``
=========== ================================= ============================== ======================================

The ledger makes a second answer impossible: it raises where a task is not open.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.node import words
from sprucepost.node.attempt import Attempt, HostsPort, OwnerPort, OwnersPort, SetUpResult, TaskState, Withdrawal
from sprucepost.node.early import Early, EarlyWords
from sprucepost.node.jsonl import Line, Word, encode
from sprucepost.node.queue import FairQueue
from sprucepost.node.words import SetUp
from sprucepost.placing.desk import Desk
from sprucepost.placing.ledger import Entry, Ledger, Outcome

REFUSED, FAILED, BROKEN, ENDED = 34, 41, 41, 16  # causes that owners hear
# A host's causes that may answer our own taking back, seen up to 26 ms later: nobody is owed these.
TAKEN_BACK = (16, 31)
TAKEN_BACK_MS = 100.0  # after that such a cause on another connection is of a later attempt
# A host's causes that say that a set-up never stood there.
NEVER_STOOD = {34: i.Ending.FULL, 47: i.Ending.ERROR, 102: i.Ending.MOOT}
GIVEN_UP = 16  # the cause with which a set-up is taken back, and a standing task let go
LATE_MS = 8000.0  # an owner that could not be released hears of it for so long
FOUND_FIRST_MS = 100.0  # a new set-up waits so long for those that stand: half of the 0.2 s after which these count
BATCH_MOST = 8  # new tasks in one batch: each may cost the module 2 ms of a whole core, its service's first ask

# A host resets a task for these only once it has answered it: before that it hands the task back as full.
STOOD_REASONS = frozenset((i.Reason.EVICTED, i.Reason.PUSHED_OUT, i.Reason.SENT_AWAY))


class Tasks:
    """All tasks of this placer. ``owners`` and ``hosts`` are set by whoever puts the parts together."""

    owners: OwnersPort
    hosts: HostsPort

    def __init__(
        self,
        loop: Loop,
        desk: Desk,
        settings: i.Settings,
        report: Callable[[str | None], i.LoadReport | None],
        counters: Counter[str],
    ) -> None:
        self.loop, self._desk, self._report = loop, desk, report
        self._least = settings.tick
        self._windows = [cls.window if cls.effect is i.Effect.KEYED else None for cls in settings.classes]
        self.ledger = Ledger()
        self.counters = counters
        self.closed: set[str] = set()  # hosts that must get nothing new: they drain, or have gone
        self.standing: dict[str, dict[str, Entry]] = {}
        self.on_settled: Callable[[], None] = lambda: None
        self.trace: Callable[..., None] = lambda sid, state, **fields: None  # told of each step of a task
        self.early = EarlyWords(LATE_MS)
        self._queue: FairQueue[Entry] = FairQueue()  # new tasks of which the module is to be told
        # Requests settled since the last batch, and between that and the one before: the module may still decide on them.
        self._crossed: set[int] = set()
        self._crossed_before: set[int] = set()
        self._found: set[str] = set()  # services of tasks that stand, read since the last new ones were told
        desk.carry, desk.before = self._carry, self._tell

    # Owners

    def take(self, setup: SetUp, owner: OwnerPort, waited_ms: float) -> SetUpResult:
        """A new task, or one that a host holds already."""
        entry = self.ledger.current(setup.sid)
        if entry is not None:
            if not setup.at or entry.outcome is not Outcome.PLACED or entry.machine != setup.at:
                return SetUpResult.REPEATED
            if entry.ask.held and entry.ask.owner.closed:  # the owner says it once more, on another connection
                entry.ask.owner.unhold()
                self._hold(entry, owner)
            return SetUpResult.TAKEN
        now = self.loop.now()
        said, line = self.early.get(setup.sid, now)
        if said is Early.UNWANTED:
            self.counters["unwanted"] += 1
            self.trace(setup.sid, "unwanted", host=setup.at or None)
            if setup.at:
                self.hosts.let_go(setup.at, setup.sid)
                self.early.note(setup.sid, Early.OVER, now)
            return SetUpResult.UNWANTED
        if said is Early.OVER and setup.at:
            return SetUpResult.TAKEN
        entry = self.ledger.take(setup.sid, setup.task_class, setup.service, now)
        entry.ask = TaskState(setup, owner)
        if setup.at:
            self.counters["found"] += 1
            self.trace(setup.sid, "found", host=setup.at)
            entry.machine = setup.at
            self.ledger.settle(entry, Outcome.PLACED, now)
            self._stand(entry)
            self._desk.push(i.TaskFound(setup.request(entry.request, setup.left), setup.at))
            self._found.add(setup.service)
            if not self.hosts.adopt(setup.at, setup.sid):
                return SetUpResult.UNLISTED
            self._hold(entry, owner)
            if said is Early.ENDED and line[0] == setup.at:
                self.heard(*line)
            return SetUpResult.TAKEN
        self.counters["taken"] += 1
        entry.due = now + max(0.0, setup.left - waited_ms)
        self.trace(setup.sid, "taken", left=setup.left, waited=round(waited_ms, 1))
        entry.ask.in_line = True
        self._queue.put(owner, entry, now)
        self._desk.wake()
        return SetUpResult.TAKEN

    def _tell(self) -> None:
        """Ahead of a batch: tell the module of new tasks, once it knows of what stands.

        After a start owners tell what the placer holds, by the hundred and on several connections, and what they have
        told counts 0.2 s later for the rules on spread and repeats. A new task that is read in the same turns, or placed
        while the rest still lies unread, is placed on less than that. So the sockets are looked at again right before
        new tasks are placed, few at a time, since each may take long; and as long as such set-ups come new ones wait,
        though none for longer than ``FOUND_FIRST_MS``: a steady flow of them must not keep the new ones out.
        """
        if self._queue:
            self.loop.poll_now()
        self._crossed_before, self._crossed = self._crossed, set()
        if self._found:
            self.hosts.recall(self._found)
            self._found = set()
            if self._queue and self.loop.now() - self._queue.since < FOUND_FIRST_MS:
                self.counters["held_for_found"] += 1
                self.loop.call_soon(self._desk.wake)
                return
        now = self.loop.now()
        told = 0
        while self._queue and told < BATCH_MOST:
            entry = self._queue.pop()
            if entry.outcome is Outcome.OPEN:
                told += 1
                entry.ask.in_line = False
                self._desk.push(entry.ask.setup.request(entry.request, max(0.0, entry.due - now)))
        if self._queue:
            self.loop.call_soon(self._desk.wake)

    def owner_released(self, sid: str) -> None:
        """An owner gives its set-up up, or ends its task."""
        entry = self.ledger.current(sid)
        if entry is None:  # over, or not read yet: what owners say on two connections may cross
            self.trace(sid, "unknown", why="released by its owner")
            self.early.note(sid, Early.UNWANTED, self.loop.now())
            return
        if entry.outcome is Outcome.OPEN:
            entry.ask.owner.forget(sid)
            self._given_up(entry, "by its owner")
            return
        self.counters["ended_by_owner"] += 1
        self.hosts.let_go(entry.machine, sid)
        self._over(entry, i.Ending.CANCELLED, None, "ended by its owner")

    def owner_gone(self, sids: list[str]) -> None:
        """Its connection ended, and nobody waits there for those answers any more."""
        for sid in sids:
            entry = self.ledger.current(sid)
            if entry is not None and entry.outcome is Outcome.OPEN:
                self._given_up(entry, "its owner's connection ended")

    def _given_up(self, entry: Entry, why: str) -> None:
        self.counters["given_up"] += 1
        self.trace(entry.name, "given_up", why=why)
        self._crossed.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self._withdraw(entry)
        if not entry.ask.in_line:
            self._desk.push(i.Gone(entry.request))

    def abandon(self) -> None:
        """The process ends: what is still open has failed, and its owner hears so."""
        for entry in self.ledger.open_entries():
            self.counters["abandoned"] += 1
            self._given_up(entry, "this placer ends")
            entry.ask.owner.refuse(entry.name, FAILED, 0.0)

    # The module

    def _carry(self, action: i.Offer | i.Refuse | i.Fail) -> None:
        entry = self.ledger.by_request(action.request)
        crossed = action.request in self._crossed or action.request in self._crossed_before
        if entry is not None and entry.outcome is not Outcome.OPEN and crossed:
            if isinstance(action, i.Offer):
                entry.attempts += 1
                self._desk.push(i.Outcome(entry.request, entry.attempts - 1, i.Ending.MOOT, True))
            return
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
        self.trace(entry.name, "refused" if refused else "failed", why="decided")

    def _settle(self, entry: Entry, outcome: Outcome) -> None:
        self.ledger.settle(entry, outcome, self.loop.now())
        self.on_settled()

    def _withdraw(self, entry: Entry) -> None:
        """The task has its answer: what is out for it is given up."""
        attempt: Attempt | None = entry.ask.attempt
        if attempt is not None:
            self.hosts.give_up(attempt)
            self.end(attempt, i.Ending.CANCELLED)

    def _offer(self, entry: Entry, action: i.Offer) -> None:
        now = self.loop.now()
        attempt = Attempt(entry, entry.attempts, action.machine, now, now + action.timeout)
        entry.attempts += 1
        entry.out = attempt.number
        entry.ask.attempt = attempt
        self.counters["offers"] += 1
        self.trace(entry.name, "offered", host=action.machine, attempt=attempt.number, timeout=round(action.timeout))
        attempt.timer = self.loop.call_later(action.timeout, lambda: self._expire(attempt))
        self.hosts.place(attempt)

    # Attempts

    def caught_up(self, attempt: Attempt) -> bool:
        """Whether the latest look would have shown that whoever waits for it has left, or has given it up."""
        owner: OwnerPort = attempt.entry.ask.owner
        return owner.caught_up()

    def write(self, attempt: Attempt) -> bytes | None:
        """The offer as it is to go out now, with what is left of its time; None where it must not go out any more."""
        now, state = self.loop.now(), attempt.entry.ask
        left = attempt.until - now
        if (
            state.attempt is not attempt
            or attempt.machine in self.closed
            or left < min(self._least, (attempt.until - attempt.sent) / 2)
        ):
            return None
        window = self._windows[attempt.entry.task_class]
        if window is not None and state.may_run is not None and now + 2 * self._least > state.may_run + window:
            self.counters["beyond_window"] += 1  # in time when it was decided, and not any more: hosts forget the key
            return None
        setup: SetUp = state.setup
        attrs = {"class": setup.class_name, "key": setup.name}
        if setup.key:
            attrs["idem"] = setup.key
        attrs["left"] = str(int(left))
        return encode(Word.OPEN, setup.sid, attrs, text=setup.text)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.entry.ask.attempt is not attempt:
            return
        went = self.hosts.went_out(attempt)
        if went:
            attempt.entry.ask.withdrawn[attempt.machine] = Withdrawal(self.loop.now(), attempt.noted)
        self.counters["timeouts" if went else "unsent"] += 1
        unsent = i.Ending.MOOT if self.hosts.kept_from_dialling(attempt) else i.Ending.CONNECT_FAILED
        self.hosts.give_up(attempt)
        self.end(attempt, i.Ending.TIMEOUT if went else unsent)

    def end(
        self,
        attempt: Attempt,
        ending: i.Ending,
        reason: i.Reason = i.Reason.UNTOLD,
        report: i.LoadReport | None = None,
    ) -> None:
        """The attempt is over without an answer: tell the module, once."""
        entry = attempt.entry
        if entry.ask.attempt is not attempt:
            return
        entry.ask.attempt = entry.out = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counters[f"ended_{ending.value}"] += 1
        self.trace(entry.name, "attempt_ended", host=attempt.machine, attempt=attempt.number, why=ending.value)
        if ending not in (i.Ending.FULL, i.Ending.CONNECT_FAILED, i.Ending.MOOT) and entry.ask.may_run is None:
            entry.ask.may_run = attempt.sent
        closed = entry.outcome is not Outcome.OPEN
        self._desk.push(i.Outcome(entry.request, attempt.number, ending, closed, reason, report))

    def answered(self, attempt: Attempt, line: Line) -> None:
        """What a host says on the connection of an open set-up: an answer, or how the attempt ended."""
        if line.word is Word.READY and line.text is not None:
            self._accept(attempt, line.text)
            return
        if line.code == ENDED and line.text is not None:
            # Where an answer says that the task runs, one may have ended before it could be called running: it was done.
            self._accept(attempt, line.text)
            self.heard(attempt.machine, line)
            return
        self._released_unanswered(attempt, line, elsewhere=False)

    def _released_unanswered(self, attempt: Attempt, line: Line, elsewhere: bool) -> None:
        """The host has ended a task that it has not answered.

        A refusal never ran. Any other end is that of a task that stood where the host has sent a note of it, names a reason
        that only such tasks have, or says so on another connection than the set-up's; else the set-up broke on its way.
        """
        ending = NEVER_STOOD.get(line.code or 0, i.Ending.RESET)
        reason, report = self._reason(line), self._report(line.attrs.get("load"))
        earlier: Withdrawal | None = attempt.entry.ask.withdrawn.get(attempt.machine)
        noted = attempt.noted or (earlier is not None and earlier.noted)
        if ending is i.Ending.RESET and (noted or reason in STOOD_REASONS or elsewhere):
            if elsewhere:
                self.hosts.give_up(attempt)  # nothing more is to come on the connection that carries it
            self._fail_unanswered(attempt, reason, report)
        else:
            self.end(attempt, ending, reason, report)

    def _fail_unanswered(self, attempt: Attempt, reason: i.Reason, report: i.LoadReport | None) -> None:
        """The task stood at its host and is over, and the host's answer has not come: it was held up, or lost.

        What has stood and is over must be released towards its client within a second, so there is no further attempt:
        under the same id the client would hear of the next one instead.
        """
        entry = attempt.entry
        self.counters["failed_unanswered"] += 1
        self.trace(entry.name, "failed", host=attempt.machine, why="released before its answer came")
        self._crossed.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self.early.note(entry.name, Early.OVER, self.loop.now())
        self.end(attempt, i.Ending.RESET, reason, report)
        entry.ask.owner.refuse(entry.name, FAILED, 0.0)

    def _accept(self, attempt: Attempt, text: str) -> None:
        entry, now = attempt.entry, self.loop.now()
        entry.ask.attempt = entry.out = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        entry.machine, entry.attempt = attempt.machine, attempt.number
        self._crossed.add(entry.request)
        self._settle(entry, Outcome.PLACED)
        self._stand(entry)
        self._hold(entry, entry.ask.owner)
        self.counters["placed"] += 1
        self.trace(entry.name, "stands", host=attempt.machine, attempt=attempt.number)
        self._desk.push(i.Accepted(entry.request, attempt.number, now - attempt.sent))
        entry.ask.setup = replace(entry.ask.setup, text="")  # no host will get it again
        entry.ask.owner.answer(entry.name, text)

    # Standing tasks

    def _stand(self, entry: Entry) -> None:
        entry.ask.since = self.loop.now()
        self.standing.setdefault(entry.machine, {})[entry.name] = entry

    def _hold(self, entry: Entry, owner: OwnerPort) -> None:
        entry.ask.owner, entry.ask.held = owner, True
        owner.hold()

    def heard(self, machine: str, line: Line) -> None:
        """What a host says of a task on a connection that carries no open set-up of it."""
        entry = self.standing.get(machine, {}).get(line.sid)
        if entry is None:
            self._heard_before_it_stands(machine, line)
        elif line.word is Word.EVENT:
            kind, value = words.NOTES.get(line.attrs.get("note", "")), words.figure(line.attrs.get("value"))
            if kind is not None and value is not None:
                self._desk.push(i.Note(entry.request, entry.attempt, kind, value))
        elif line.word is Word.CLOSE:
            ending = {16: i.Ending.OK, 31: i.Ending.CANCELLED}.get(line.code or 0, i.Ending.RESET)
            cause = {i.Ending.OK: ENDED, i.Ending.RESET: BROKEN}.get(ending)
            why = f"host said {line.code}"
            self._over(entry, ending, cause, why, self._reason(line), self._report(line.attrs.get("load")))
        else:
            self.counters["late_words"] += 1

    def _heard_before_it_stands(self, machine: str, line: Line) -> None:
        """A word of a task that does not stand there, as far as we know."""
        entry = self.ledger.current(line.sid)
        if entry is not None and entry.outcome is Outcome.OPEN:
            attempt: Attempt | None = entry.ask.attempt
            if attempt is not None and attempt.machine == machine and self.hosts.went_out(attempt):
                if line.word is Word.EVENT:
                    attempt.noted = True
                    self.trace(line.sid, "noted", host=machine)
                    return
                if line.word is Word.CLOSE and self._is_of(attempt, line):
                    self._released_unanswered(attempt, line, elsewhere=True)
                    return
            elif line.word is Word.CLOSE and self._stood_when_withdrawn(entry, machine, line):
                self._fail_withdrawn(entry, machine)
                return
        self._count_late(machine, line)
        if line.word is Word.CLOSE and entry is None:
            self.early.note(line.sid, Early.ENDED, self.loop.now(), (machine, line))

    def heard_of_withdrawn(self, machine: str, line: Line) -> None:
        """What comes on the connection of a set-up that was taken back there: of none that was made since."""
        entry = self.ledger.current(line.sid)
        is_open = entry is not None and entry.outcome is Outcome.OPEN
        if (
            entry is not None
            and is_open
            and line.word is Word.CLOSE
            and self._stood_when_withdrawn(entry, machine, line)
        ):
            self._fail_withdrawn(entry, machine)
        else:
            self._count_late(machine, line)

    def _count_late(self, machine: str, line: Line) -> None:
        self.counters["late_words"] += 1
        self.trace(line.sid, "late_word", host=machine, word=line.word.value, code=line.code)

    def _is_of(self, attempt: Attempt, line: Line) -> bool:
        """Whether a release on another connection is of that attempt: refusals come on its own, and what we took back there
        before may be answered only now."""
        earlier: Withdrawal | None = attempt.entry.ask.withdrawn.get(attempt.machine)
        lately = earlier is not None and self.loop.now() - earlier.at < TAKEN_BACK_MS
        return line.code not in NEVER_STOOD and not (lately and line.code in TAKEN_BACK and not attempt.noted)

    def _stood_when_withdrawn(self, entry: Entry, machine: str, line: Line) -> bool:
        """Whether the release is of a copy that stood, said before the host had read that we took it back."""
        withdrawal: Withdrawal | None = entry.ask.withdrawn.get(machine)
        ended_by_itself = line.code not in NEVER_STOOD and line.code not in TAKEN_BACK
        stood = withdrawal is not None and (withdrawal.noted or self._reason(line) in STOOD_REASONS)
        return stood and ended_by_itself

    def _fail_withdrawn(self, entry: Entry, machine: str) -> None:
        """The task stood there and was over, which its owner is owed; whatever is out for it elsewhere is taken back."""
        self.counters["failed_withdrawn"] += 1
        self.trace(entry.name, "failed", host=machine, why="released while it was taken back")
        self._crossed.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self.early.note(entry.name, Early.OVER, self.loop.now())
        self._withdraw(entry)
        if not entry.ask.in_line:
            self._desk.push(i.Gone(entry.request))
        entry.ask.owner.refuse(entry.name, FAILED, 0.0)

    def lost(self, machine: str, why: str, before: float | None = None) -> int:
        """The host's tasks (those that stood before that time of the loop's clock) are gone, or taken for gone; how many."""
        there = self.standing.get(machine, {}).values()
        entries = [entry for entry in there if before is None or entry.ask.since < before]
        for entry in entries:
            self.counters[f"lost_{why}"] += 1
            self._over(entry, i.Ending.RESET, BROKEN, why)
        return len(entries)

    def _over(
        self,
        entry: Entry,
        ending: i.Ending,
        cause: int | None,
        why: str,
        reason: i.Reason = i.Reason.UNTOLD,
        report: i.LoadReport | None = None,
    ) -> None:
        there = self.standing[entry.machine]
        del there[entry.name]
        if not there:
            del self.standing[entry.machine]
        self.ledger.end(entry)
        self.early.note(entry.name, Early.OVER, self.loop.now())
        self.counters[f"over_{ending.value}"] += 1
        self.trace(entry.name, "over", host=entry.machine, why=why)
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
        self.early.forget(self.loop.now())
