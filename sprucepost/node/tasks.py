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
from sprucepost.node import parsing
from sprucepost.node.attempt import Attempt, HostsPort, OwnerPort, OwnersPort, SetUpResult, TaskState, Withdrawal
from sprucepost.node.early_messages import EarlyMessage, EarlyMessageCache
from sprucepost.node.fair_queue import FairQueue
from sprucepost.node.jsonl import Line, Word, encode
from sprucepost.node.parsing import SetUp
from sprucepost.placing.desk import Desk
from sprucepost.placing.ledger import Entry, Ledger, Outcome

CAUSE_REFUSED, FAILED, BROKEN, ENDED = 34, 41, 41, 16  # causes that owners hear
# A host's causes that may answer our own taking back, seen up to 26 ms later: nobody is owed these.
TAKEN_BACK = (16, 31)
WITHDRAWAL_REPLY_MS = 100.0  # after that such a cause on another connection is of a later attempt
# A host's causes that say that a set-up never stood there.
NEVER_STOOD = {34: i.Ending.FULL, 47: i.Ending.ERROR, 102: i.Ending.VOID}
CAUSE_WITHDRAWN = 16  # the cause with which a set-up is taken back, and a standing task let go
RELEASE_RETENTION_MS = 8000.0  # an owner that could not be released hears of it for so long
FOUND_FIRST_MS = 100.0  # a new set-up waits so long for those that stand: half of the 0.2 s after which these count
# Each new task may cost the decision module 2 ms of a whole core if it is the first request of its service.
MAX_NEW_TASKS_PER_BATCH = 8

# A host resets a task for these only once it has answered it: before that it hands the task back as full.
ACCEPTED_TASK_REASONS = frozenset((i.Reason.EVICTED, i.Reason.PUSHED_OUT, i.Reason.SENT_AWAY))


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
        self.closed_hosts: set[str] = set()  # hosts that must get nothing new: they drain, or have gone
        self.placed: dict[str, dict[str, Entry]] = {}
        self.on_settled: Callable[[], None] = lambda: None
        self.trace: Callable[..., None] = lambda sid, state, **fields: None  # told of each step of a task
        self.early_messages = EarlyMessageCache(RELEASE_RETENTION_MS)
        self._queue: FairQueue[Entry] = FairQueue()  # new tasks of which the module is to be told
        # Requests settled since the last batch, and between that and the one before: the module may still decide on them.
        self._crossed: set[int] = set()
        self._crossed_before: set[int] = set()
        self._found: set[str] = set()  # services of tasks that stand, read since the last new ones were told
        desk.carry, desk.before = self._carry, self._tell

    # Owners

    def admit(self, setup: SetUp, owner: OwnerPort, waited_ms: float) -> SetUpResult:
        """A new task, or one that a host holds already."""
        entry = self.ledger.current(setup.sid)
        if entry is not None:
            if not setup.current_host or entry.outcome is not Outcome.PLACED or entry.machine != setup.current_host:
                return SetUpResult.DUPLICATE_ID
            if entry.ask.keeps_connection and entry.ask.owner.closed:  # reported again on another connection
                entry.ask.owner.remove_placed_task()
                self._hold(entry, owner)
            return SetUpResult.ADMITTED
        now = self.loop.now()
        said, line = self.early_messages.get(setup.sid, now)
        if said is EarlyMessage.CANCELLED_BY_OWNER:
            self.counters["unwanted"] += 1
            self.trace(setup.sid, "unwanted", host=setup.current_host or None)
            if setup.current_host:
                self.hosts.end_task(setup.current_host, setup.sid)
                self.early_messages.note(setup.sid, EarlyMessage.TASK_ENDED, now)
            return SetUpResult.CANCELLED
        if said is EarlyMessage.TASK_ENDED and setup.current_host:
            return SetUpResult.ADMITTED
        entry = self.ledger.take(setup.sid, setup.task_class, setup.service, now)
        entry.ask = TaskState(setup, owner)
        if setup.current_host:
            self.counters["found"] += 1
            self.trace(setup.sid, "found", host=setup.current_host)
            entry.machine = setup.current_host
            self.ledger.settle(entry, Outcome.PLACED, now)
            self._stand(entry)
            self._desk.push(i.TaskFound(setup.request(entry.request, setup.time_left_ms), setup.current_host))
            self._found.add(setup.service)
            if not self.hosts.adopt(setup.current_host, setup.sid):
                return SetUpResult.HOST_UNKNOWN
            self._hold(entry, owner)
            if said is EarlyMessage.RELEASED_BY_HOST and line[0] == setup.current_host:
                self.handle_message(*line)
            return SetUpResult.ADMITTED
        self.counters["taken"] += 1
        entry.due = now + max(0.0, setup.time_left_ms - waited_ms)
        self.trace(setup.sid, "taken", left=setup.time_left_ms, waited=round(waited_ms, 1))
        entry.ask.queued = True
        self._queue.put(owner, entry, now)
        self._desk.wake()
        return SetUpResult.ADMITTED

    def _tell(self) -> None:
        """Ahead of a batch: tell the module of new tasks, once it knows of what stands.

        After a start owners tell what the placer holds, by the hundred and on several connections, and what they have
        told counts 0.2 s later for the rules on spread and repeats. A new task that is read in the same turns, or placed
        while the rest still lies unread, is placed on less than that. So the sockets are looked at again right before
        new tasks are placed, few at a time, since each may take long; and as long as such set-ups come new ones wait,
        though none for longer than ``FOUND_FIRST_MS``: a steady flow of them must not keep the new ones out.
        """
        if self._queue:
            self.loop.look()
        self._crossed_before, self._crossed = self._crossed, set()
        if self._found:
            self.hosts.withdraw_unsent(self._found)
            self._found = set()
            if self._queue and self.loop.now() - self._queue.since < FOUND_FIRST_MS:
                self.counters["held_for_found"] += 1
                self.loop.call_soon(self._desk.wake)
                return
        now = self.loop.now()
        told = 0
        while self._queue and told < MAX_NEW_TASKS_PER_BATCH:
            entry = self._queue.pop()
            if entry.outcome is Outcome.OPEN:
                told += 1
                entry.ask.queued = False
                self._desk.push(entry.ask.setup.request(entry.request, max(0.0, entry.due - now)))
        if self._queue:
            self.loop.call_soon(self._desk.wake)

    def owner_cancelled(self, sid: str) -> None:
        """An owner gives its set-up up, or ends its task."""
        entry = self.ledger.current(sid)
        if entry is None:  # over, or not read yet: what owners say on two connections may cross
            self.trace(sid, "unknown", why="released by its owner")
            self.early_messages.note(sid, EarlyMessage.CANCELLED_BY_OWNER, self.loop.now())
            return
        if entry.outcome is Outcome.OPEN:
            entry.ask.owner.discard_set_up(sid)
            self._given_up(entry, "by its owner")
            return
        self.counters["ended_by_owner"] += 1
        self.hosts.end_task(entry.machine, sid)
        self._over(entry, i.Ending.CANCELLED, None, "ended by its owner")

    def owner_disconnected(self, sids: list[str]) -> None:
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
        if not entry.ask.queued:
            self._desk.push(i.RequestAbandoned(entry.request))

    def fail_open_tasks(self) -> None:
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
                self._desk.push(i.Outcome(entry.request, entry.attempts - 1, i.Ending.VOID, True))
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
        entry.ask.owner.refuse(entry.name, CAUSE_REFUSED if refused else FAILED, stay_away)
        self.counters["refused" if refused else "failed"] += 1
        self.trace(entry.name, "refused" if refused else "failed", why="decided")

    def _settle(self, entry: Entry, outcome: Outcome) -> None:
        self.ledger.settle(entry, outcome, self.loop.now())
        self.on_settled()

    def _withdraw(self, entry: Entry) -> None:
        """The task has its answer: what is out for it is given up."""
        attempt: Attempt | None = entry.ask.attempt
        if attempt is not None:
            self.hosts.withdraw(attempt)
            self.end_attempt(attempt, i.Ending.CANCELLED)

    def _offer(self, entry: Entry, action: i.Offer) -> None:
        now = self.loop.now()
        attempt = Attempt(entry, entry.attempts, action.machine, now, now + action.timeout)
        entry.attempts += 1
        entry.out = attempt.number
        entry.ask.attempt = attempt
        self.counters["offers"] += 1
        self.trace(entry.name, "offered", host=action.machine, attempt=attempt.number, timeout=round(action.timeout))
        attempt.timer = self.loop.call_later(action.timeout, lambda: self._expire(attempt))
        self.hosts.send_offer(attempt)

    # Attempts

    def owner_input_read(self, attempt: Attempt) -> bool:
        """Whether the latest look would have shown that whoever waits for it has left, or has given it up."""
        owner: OwnerPort = attempt.entry.ask.owner
        return owner.input_read()

    def encode_offer(self, attempt: Attempt) -> bytes | None:
        """The offer as it is to go out now, with what is left of its time; None where it must not go out any more."""
        now, state = self.loop.now(), attempt.entry.ask
        left = attempt.deadline - now
        if (
            state.attempt is not attempt
            or attempt.machine in self.closed_hosts
            or left < min(self._least, (attempt.deadline - attempt.offered_at) / 2)
        ):
            return None
        window = self._windows[attempt.entry.task_class]
        if (
            window is not None
            and state.may_run_since is not None
            and now + 2 * self._least > state.may_run_since + window
        ):
            self.counters["beyond_window"] += 1  # in time when it was decided, and not any more: hosts forget the key
            return None
        setup: SetUp = state.setup
        attrs = {"class": setup.class_name, "key": setup.name}
        if setup.key:
            attrs["idem"] = setup.key
        attrs["left"] = str(int(left))
        return encode(Word.OPEN, setup.sid, attrs, text=setup.description)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.entry.ask.attempt is not attempt:
            return
        went = self.hosts.was_sent(attempt)
        if went:
            attempt.entry.ask.withdrawals[attempt.machine] = Withdrawal(self.loop.now(), attempt.noted)
        self.counters["timeouts" if went else "unsent"] += 1
        unsent = i.Ending.VOID if self.hosts.connection_failed_locally(attempt) else i.Ending.CONNECT_FAILED
        self.hosts.withdraw(attempt)
        self.end_attempt(attempt, i.Ending.TIMEOUT if went else unsent)

    def end_attempt(
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
        if ending not in (i.Ending.FULL, i.Ending.CONNECT_FAILED, i.Ending.VOID) and entry.ask.may_run_since is None:
            entry.ask.may_run_since = attempt.offered_at
        closed = entry.outcome is not Outcome.OPEN
        self._desk.push(i.Outcome(entry.request, attempt.number, ending, closed, reason, report))

    def handle_answer(self, attempt: Attempt, line: Line) -> None:
        """What a host says on the connection of an open set-up: an answer, or how the attempt ended."""
        if line.word is Word.READY and line.text is not None:
            self._accept(attempt, line.text)
            return
        if line.code == ENDED and line.text is not None:
            # Where an answer says that the task runs, one may have ended before it could be called running: it was done.
            self._accept(attempt, line.text)
            self.handle_message(attempt.machine, line)
            return
        self._released_unanswered(attempt, line, elsewhere=False)

    def _released_unanswered(self, attempt: Attempt, line: Line, elsewhere: bool) -> None:
        """The host has ended a task that it has not answered.

        A refusal never ran. Any other end is that of a task that stood where the host has sent a note of it, names a reason
        that only such tasks have, or says so on another connection than the set-up's; else the set-up broke on its way.
        """
        ending = NEVER_STOOD.get(line.code or 0, i.Ending.RESET)
        reason, report = self._reason(line), self._report(line.attrs.get("load"))
        earlier: Withdrawal | None = attempt.entry.ask.withdrawals.get(attempt.machine)
        noted = attempt.noted or (earlier is not None and earlier.noted)
        if ending is i.Ending.RESET and (noted or reason in ACCEPTED_TASK_REASONS or elsewhere):
            if elsewhere:
                self.hosts.withdraw(attempt)  # nothing more is to come on the connection that carries it
            self._fail_unanswered(attempt, reason, report)
        else:
            self.end_attempt(attempt, ending, reason, report)

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
        self.early_messages.note(entry.name, EarlyMessage.TASK_ENDED, self.loop.now())
        self.end_attempt(attempt, i.Ending.RESET, reason, report)
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
        self._desk.push(i.Accepted(entry.request, attempt.number, now - attempt.offered_at))
        entry.ask.setup = replace(entry.ask.setup, description="")  # no host will get it again
        entry.ask.owner.answer(entry.name, text)

    # Standing tasks

    def _stand(self, entry: Entry) -> None:
        entry.ask.placed_at = self.loop.now()
        self.placed.setdefault(entry.machine, {})[entry.name] = entry

    def _hold(self, entry: Entry, owner: OwnerPort) -> None:
        entry.ask.owner, entry.ask.keeps_connection = owner, True
        owner.add_placed_task()

    def handle_message(self, machine: str, line: Line) -> None:
        """What a host says of a task on a connection that carries no open set-up of it."""
        entry = self.placed.get(machine, {}).get(line.sid)
        if entry is None:
            self._heard_before_it_stands(machine, line)
        elif line.word is Word.EVENT:
            kind, value = parsing.NOTES.get(line.attrs.get("note", "")), parsing.parse_number(line.attrs.get("value"))
            if kind is not None and value is not None:
                self._desk.push(i.StatusNote(entry.request, entry.attempt, kind, value))
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
            if attempt is not None and attempt.machine == machine and self.hosts.was_sent(attempt):
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
            self.early_messages.note(line.sid, EarlyMessage.RELEASED_BY_HOST, self.loop.now(), (machine, line))

    def handle_withdrawn_message(self, machine: str, line: Line) -> None:
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
        earlier: Withdrawal | None = attempt.entry.ask.withdrawals.get(attempt.machine)
        lately = earlier is not None and self.loop.now() - earlier.at < WITHDRAWAL_REPLY_MS
        return line.code not in NEVER_STOOD and not (lately and line.code in TAKEN_BACK and not attempt.noted)

    def _stood_when_withdrawn(self, entry: Entry, machine: str, line: Line) -> bool:
        """Whether the release is of a copy that stood, said before the host had read that we took it back."""
        withdrawal: Withdrawal | None = entry.ask.withdrawals.get(machine)
        ended_by_itself = line.code not in NEVER_STOOD and line.code not in TAKEN_BACK
        stood = withdrawal is not None and (withdrawal.noted or self._reason(line) in ACCEPTED_TASK_REASONS)
        return stood and ended_by_itself

    def _fail_withdrawn(self, entry: Entry, machine: str) -> None:
        """The task stood there and was over, which its owner is owed; whatever is out for it elsewhere is taken back."""
        self.counters["failed_withdrawn"] += 1
        self.trace(entry.name, "failed", host=machine, why="released while it was taken back")
        self._crossed.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self.early_messages.note(entry.name, EarlyMessage.TASK_ENDED, self.loop.now())
        self._withdraw(entry)
        if not entry.ask.queued:
            self._desk.push(i.RequestAbandoned(entry.request))
        entry.ask.owner.refuse(entry.name, FAILED, 0.0)

    def host_lost(self, machine: str, why: str, before: float | None = None) -> int:
        """The host's tasks (those that stood before that time of the loop's clock) are gone, or taken for gone; how many."""
        there = self.placed.get(machine, {}).values()
        entries = [entry for entry in there if before is None or entry.ask.placed_at < before]
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
        there = self.placed[entry.machine]
        del there[entry.name]
        if not there:
            del self.placed[entry.machine]
        self.ledger.end(entry)
        self.early_messages.note(entry.name, EarlyMessage.TASK_ENDED, self.loop.now())
        self.counters[f"over_{ending.value}"] += 1
        self.trace(entry.name, "over", host=entry.machine, why=why)
        self._desk.push(i.Outcome(entry.request, entry.attempt, ending, True, reason, report))
        if entry.ask.keeps_connection:
            entry.ask.owner.remove_placed_task()
        if cause is not None:
            self.owners.release(entry.ask.owner, entry.name, cause)

    def _reason(self, line: Line) -> i.Reason:
        return parsing.REASONS.get(line.attrs.get("note", ""), i.Reason.UNTOLD)

    # The list

    def set_closed(self, machine: str, closed: bool) -> None:
        """The host must get nothing new from now on, or may again."""
        (self.closed_hosts.add if closed else self.closed_hosts.discard)(machine)

    def expire_records(self) -> None:
        """Drop what was refused or failed: a word of a host on it finds nothing that waits for it."""
        self.ledger.forget(self.loop.now())
        self.early_messages.forget(self.loop.now())
