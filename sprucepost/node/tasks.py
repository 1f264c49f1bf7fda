"""States of a task from its set-up to its release; free of sockets.

========= ================================== ========================================================== =========
state     event                              action                                                     new state
========= ================================== ========================================================== =========
(none)    set-up                             queued; ``TaskRequest`` once the tasks that are placed     waiting
                                             have been reported
(none)    set-up with ``at``                 ``TaskFound``; nothing is answered                         placed
open      set-up with ``at``                 kept until the set-up has its outcome                       open
placed    set-up with ``at`` of another      ``Outcome`` cancelled, ``TaskFound`` at that host; where    placed
          host                               that is not listed, once it is
(none)    set-up with ``at`` of a client     the owner is told that it is refused: it keeps the task,   (ended)
          that has handed over its share     and may hand it over to another placer
(none)    set-up with an early message       see ``early_messages``                                     (ended)
waiting   ``Offer``                          the host is sent it as soon as it can be written           offered
waiting,  ``Refuse``, ``Fail``               the owner is told at once; an open attempt is withdrawn    (ended)
offered
waiting,  cancelled, or the owner's          an open attempt is withdrawn, ``RequestAbandoned``         (ended)
offered   connection ended
offered   answer                             ``Accepted``; the owner is sent the answer                 placed
offered   release (16) with a description    ``Accepted``, ``Outcome`` ok; the owner is sent answer     (ended)
                                             and release
offered   refusal, error, void, reset        ``Outcome``                                                waiting
offered   reset of a task that was accepted  ``Outcome`` reset; the owner is told that it has failed    (ended)
          there: its answer is still in
          flight
offered   timeout                            withdrawn; ``Outcome`` timeout, or connect_failed if it    waiting
                                             was not written, or void if this machine kept it from
                                             being written
offered   its connection broke               ``Outcome`` reset                                          waiting
placed    note                               ``StatusNote``
placed    release: ok, reset                 ``Outcome``; the owner is sent the release                 (ended)
placed    release: cancelled                 ``Outcome``; nobody needs a release, unless the host was   (ended)
                                             asked to end the task before it was handed over
placed    release by the owner, or its       the host is told; ``Outcome`` cancelled                    (ended)
          connection ends before the answer
          was sent
placed    the list has another host at the   ``Outcome`` cancelled, ``TaskFound`` at that host            placed
          address, and its process has
          accepted the task
placed    its host is lost                   ``Outcome`` reset; the owner is sent the release; the     (ended)
                                             host is told nothing, as the task may have another
                                             placer by then
========= ================================== ========================================================== =========

What a host's message means depends on the state of the task at that host (below), not on the connection that it arrives
on: a host reports on a placed task on the connection of its set-up, or else on any open one.

=========== ==================== ================================ ==========================================
the task is note                 answer                           release
=========== ==================== ================================ ==========================================
placed      ``StatusNote``       counted                          the task ends, as above
there
offered     the host has         on the connection of its set-up  see :func:`releases.had_been_accepted`
there       accepted it, so its  only, which is where the host
            end must be          sends it
            reported to its
            owner
withdrawn   counted              counted                          of a task that had been accepted according
there                                                             to its notes or the release's reason: it
                                                                  ended before it was withdrawn, so it fails,
                                                                  unless it has its outcome
not there   counted              counted                          recorded for a set-up with ``at``
=========== ==================== ================================ ==========================================

The ledger rules out a second answer: it raises if a task is not open.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.node import releases
from sprucepost.node.adoption import Adoption, AdoptionPorts
from sprucepost.node.attempt import (
    Attempt,
    HandOver,
    HostsPort,
    OwnerPort,
    OwnersPort,
    SetUpResult,
    TaskState,
    Withdrawal,
)
from sprucepost.node.client_shares import ClientShares
from sprucepost.node.early_messages import CONCLUDED, EarlyMessage, EarlyMessageCache
from sprucepost.node.handovers import HandOvers, is_handed_over_at
from sprucepost.node.host_processes import HostProcesses
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.new_tasks import NewTasks
from sprucepost.node.owner_releases import RELEASE_RETENTION_MS
from sprucepost.node.parsing import SetUp
from sprucepost.node.placed_tasks import PlacedTasks
from sprucepost.node.process_identity import HostProcess, ProcessConnection, TaskEnd
from sprucepost.placing.ledger import Entry, Ledger, Outcome
from sprucepost.placing.scheduler_driver import SchedulerDriver

CAUSE_WITHDRAWN = 16  # sent to a host to withdraw a set-up or to end a placed task
SETTLED_RETENTION_MS = 1000.0  # what its owner sent before it had read a refusal or failure has arrived by then


class Tasks:
    """All tasks of this placer; ``owners`` and ``hosts`` must be set before use."""

    owners: OwnersPort
    hosts: HostsPort

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        settings: i.Settings,
        parse_load_report: Callable[[str | None], i.LoadReport | None],
        counters: Counter[str],
        max_handed_over: int = sys.maxsize,
    ) -> None:
        self.loop, self._driver, self._parse_load_report = loop, driver, parse_load_report
        self._tick_ms = settings.tick
        # Time after the first attempt in which hosts remember the key of a keyed task, by class.
        self._windows = [cls.window if cls.effect is i.Effect.KEYED else None for cls in settings.classes]
        self._has_groups = [cls.effect is i.Effect.KEYED and cls.group is not i.Scope.ALL for cls in settings.classes]
        self.ledger = Ledger()
        self.counters = counters
        self.closed_hosts: set[str] = set()  # hosts that get no new tasks: they drain, or have gone
        self.on_settled: Callable[[], None] = lambda: None
        self.trace: Callable[..., None] = lambda sid, state, **fields: None  # logs each step of a task
        self._handed_over = ClientShares(max_handed_over)
        self.early_messages = EarlyMessageCache(RELEASE_RETENTION_MS)
        self._placed = PlacedTasks(
            loop,
            driver,
            self.ledger,
            self.early_messages,
            self._handed_over,
            counters,
            lambda: self.owners,
            parse_load_report,
            self._trace,
        )
        self._handovers = HandOvers(
            self.ledger,
            self._placed,
            counters,
            lambda: self.hosts,
            lambda setup, owner: self.admit(setup, owner, 0.0),
            self._trace,
        )
        self._new_tasks = NewTasks(loop, driver, counters, lambda: self.hosts, self._refuse)
        self._adoption = Adoption(
            loop,
            driver,
            self.ledger,
            self._placed,
            self._new_tasks,
            self.early_messages,
            self._handed_over,
            counters,
            AdoptionPorts(lambda: self.owners, lambda: self.hosts, self._settle),
            self._trace,
        )
        # Requests settled since the last batch, and between that one and the one before: decisions on them may still come.
        self._recently_settled: set[int] = set()
        self._previously_settled: set[int] = set()
        driver.on_action, driver.before_batch = self._apply_decision, self._before_batch

    @property
    def placed(self) -> dict[str, dict[str, Entry]]:
        """Placed tasks by host and task id."""
        return self._placed.by_host

    @property
    def processes(self) -> HostProcesses:
        """The processes that run placed tasks."""
        return self._placed.processes

    def oldest_placed_ms(self) -> int:
        """Return for how long the oldest placed task has been placed, in ms; 0 where there is none."""
        return round(self._placed.oldest_age_ms())

    def _trace(self, sid: str, state: str, **fields: Any) -> None:
        self.trace(sid, state, **fields)

    # Owners

    def admit(self, setup: SetUp, owner: OwnerPort, waited_ms: float) -> SetUpResult:
        """Admit a new task, or one that a host runs already; ``waited_ms`` is how long the set-up lay unread."""
        entry = self.ledger.current(setup.sid)
        if entry is not None:
            if not setup.current_host:
                return SetUpResult.DUPLICATE_ID
            self._handovers.take(entry, HandOver(setup, owner))
            return SetUpResult.ADMITTED
        if setup.current_host:
            return self._adoption.admit(setup, owner, waited_ms)
        now = self.loop.now()
        if self.early_messages.get(setup.sid, now) is not None:
            self.counters["unwanted"] += 1
            self.trace(setup.sid, "unwanted")
            return SetUpResult.CANCELLED
        entry = self.ledger.take(setup.sid, setup.task_class, setup.service, now)
        entry.ask = TaskState(setup, owner)
        self.counters["taken"] += 1
        entry.deadline = now + max(0.0, setup.time_left_ms - waited_ms)
        self.trace(setup.sid, "taken", left=setup.time_left_ms, waited=round(waited_ms, 1))
        entry.ask.queued = True
        self._new_tasks.put(owner, entry, now)
        self._driver.schedule_batch()
        return SetUpResult.ADMITTED

    def _before_batch(self) -> None:
        self._new_tasks.before_batch()
        self._previously_settled, self._recently_settled = self._recently_settled, set()
        self._new_tasks.submit()

    def owner_cancelled(self, sid: str, client: str = "") -> bool:
        """Handle an owner's release: it cancels its set-up, or ends its placed task. ``client`` names its connection.

        Returns whether that was of use: a task or its end was known, and a set-up had been given to the scheduler.
        """
        entry = self.ledger.by_name(sid)
        if entry is None:
            return self._handle_unknown_cancelled(sid, client)
        if entry.outcome in (Outcome.REFUSED, Outcome.FAILED):
            self.trace(sid, "cancelled_late", why="crossed its outcome")
            return True
        if entry.outcome is Outcome.OPEN:
            was_queued: bool = entry.ask.queued
            entry.ask.owner.discard_set_up(sid)
            self._handovers.ended_by_owner(entry)
            self._cancel(entry, "by its owner")
            return not was_queued
        self.counters["ended_by_owner"] += 1
        self.hosts.end_task(entry.machine, sid)
        self._placed.end(entry, i.Ending.CANCELLED, None, "ended by its owner")
        return True

    def _handle_unknown_cancelled(self, sid: str, client: str) -> bool:
        """Handle the owner's release of a task that has ended, or whose set-up has not been read yet: messages on two
        connections may overtake each other. A task that was only presumed lost may run on, so its host is told.

        Returns whether the end of the task was known."""
        now = self.loop.now()
        self.trace(sid, "unknown", why="released by its owner")
        for host in self.early_messages.hosts_with(sid, CONCLUDED, now):
            self.hosts.end_task(host, sid)
            self.early_messages.record(sid, EarlyMessage.TASK_ENDED, now, host)
        self.owners.cancel_release(sid)
        if self.early_messages.hosts_with(sid, (EarlyMessage.TASK_ENDED,), now):
            return True
        self.early_messages.record(sid, EarlyMessage.CANCELLED_BY_OWNER, now, source=client)
        return False

    def owner_disconnected(self, sids: list[str]) -> None:
        """Cancel open set-ups whose owner's connection has ended."""
        for sid in sids:
            entry = self.ledger.current(sid)
            if entry is not None and entry.outcome is Outcome.OPEN:
                self._cancel(entry, "its owner's connection ended")

    def answer_unread(self, sid: str, owner: OwnerPort) -> None:
        """End a task whose answer was not sent before its owner's connection ended: nobody knows that it is placed."""
        entry = self.ledger.current(sid)
        if entry is None or entry.outcome is not Outcome.PLACED or entry.ask.owner is not owner:
            return
        if entry.ask.handover is not None:  # its owner knows that the task runs
            return
        self.counters["answers_unread"] += 1
        self.hosts.end_task(entry.machine, sid)
        why = "its answer was not sent before its owner's connection ended"
        self._placed.end(entry, i.Ending.CANCELLED, None, why, early_message=EarlyMessage.END_REQUESTED)

    def _cancel(self, entry: Entry, why: str) -> None:
        self.counters["given_up"] += 1
        self.trace(entry.name, "given_up", why=why)
        self._recently_settled.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self._withdraw(entry)
        if not entry.ask.queued:
            self._driver.push(i.RequestAbandoned(entry.request))

    def fail_open_tasks(self) -> None:
        """Fail all open tasks and tell their owners, since the process ends."""
        for entry in self.ledger.open_entries():
            self.counters["abandoned"] += 1
            self._fail(entry, "this placer ends")

    def fail_open(self, sids: list[str], why: str) -> None:
        """Fail those of the tasks that are open, and tell their owner."""
        for sid in sids:
            entry = self.ledger.current(sid)
            if entry is not None and entry.outcome is Outcome.OPEN:
                self._fail(entry, why)

    def _fail(self, entry: Entry, why: str) -> None:
        self._cancel(entry, why)
        entry.ask.owner.refuse(entry.name, releases.CAUSE_FAILED, 0.0)

    # The scheduler

    def _apply_decision(self, action: i.Offer | i.Refuse | i.Fail) -> None:
        entry = self.ledger.by_request(action.request)
        crossed = action.request in self._recently_settled or action.request in self._previously_settled
        if entry is not None and entry.outcome is not Outcome.OPEN and crossed:
            if isinstance(action, i.Offer):
                entry.attempts += 1
                self._driver.push(i.Outcome(entry.request, entry.attempts - 1, i.Ending.VOID, True))
            return
        if entry is None or entry.outcome is not Outcome.OPEN:
            raise AssertionError(f"{type(action).__name__} for request {action.request}, which is settled")
        if isinstance(action, i.Offer):
            self._offer(entry, action)
            return
        if isinstance(action, i.Refuse):
            self._refuse(entry, action.retry_after, "decided")
            return
        self._settle(entry, Outcome.FAILED)
        self._withdraw(entry)
        entry.ask.owner.refuse(entry.name, releases.CAUSE_FAILED, 0.0)
        self.counters["failed"] += 1
        self.trace(entry.name, "failed", why="decided")

    def _refuse(self, entry: Entry, stay_away_ms: float, why: str) -> None:
        """Refuse an open task: no host has it, and none will get it."""
        self._settle(entry, Outcome.REFUSED)
        self._withdraw(entry)
        entry.ask.owner.refuse(entry.name, releases.CAUSE_REFUSED, stay_away_ms)
        self.counters["refused"] += 1
        self.trace(entry.name, "refused", why=why)

    def _settle(self, entry: Entry, outcome: Outcome) -> None:
        self.ledger.settle(entry, outcome, self.loop.now())
        entry.ask.setup = replace(entry.ask.setup, description="")  # it is offered to no host again
        if entry.ask.handover is not None:
            self.loop.call_soon(lambda: self._handovers.take_kept(entry))
        self.on_settled()

    def _withdraw(self, entry: Entry) -> None:
        """Withdraw the open attempt of a task that is settled, if there is one."""
        attempt: Attempt | None = entry.ask.attempt
        if attempt is not None:
            self.hosts.withdraw(attempt, tell_host=not is_handed_over_at(attempt))
            self.end_attempt(attempt, i.Ending.CANCELLED)

    def _offer(self, entry: Entry, action: i.Offer) -> None:
        now = self.loop.now()
        attempt = Attempt(entry, entry.attempts, action.machine, now, now + action.timeout)
        entry.attempts += 1
        entry.pending_attempt = attempt.number
        entry.ask.attempt = attempt
        self.counters["offers"] += 1
        self.trace(entry.name, "offered", host=action.machine, attempt=attempt.number, timeout=round(action.timeout))
        attempt.timer = self.loop.call_later(action.timeout, lambda: self._expire(attempt))
        self.hosts.send_offer(attempt)

    # Attempts

    def owner_input_read(self, attempt: Attempt) -> bool:
        """Return whether the latest poll would have shown that the owner has disconnected or cancelled."""
        if attempt.ready_at is None:
            attempt.ready_at = self.loop.now()
        owner: OwnerPort = attempt.entry.ask.owner
        return owner.input_read(attempt.ready_at)

    def is_bound_to_group(self, attempt: Attempt) -> bool:
        """Return whether the task may have run, so that only a host of the group of that attempt may get it again."""
        return attempt.entry.ask.may_run_since is not None and self._has_groups[attempt.entry.task_class]

    def encode_offer(self, attempt: Attempt) -> bytes | None:
        """Return the offer to send now, with its remaining time; None if it must not be sent any more."""
        now, state = self.loop.now(), attempt.entry.ask
        left_ms = attempt.deadline - now
        if (
            state.attempt is not attempt
            or attempt.machine in self.closed_hosts
            or left_ms < min(self._tick_ms, (attempt.deadline - attempt.offered_at) / 2)
        ):
            return None
        window = self._windows[attempt.entry.task_class]
        if (
            window is not None
            and state.may_run_since is not None
            and now + 2 * self._tick_ms > state.may_run_since + window
        ):
            self.counters["beyond_window"] += 1  # it was in time when decided; hosts forget the key after the window
            return None
        setup: SetUp = state.setup
        return setup.offer(left_ms)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.entry.ask.attempt is not attempt:
            return
        if is_handed_over_at(attempt):
            self._fail(attempt.entry, "handed over at that host, whose answer has not come")
            return
        was_sent = self.hosts.was_sent(attempt)
        if was_sent:
            attempt.entry.ask.withdrawals[attempt.host] = Withdrawal(self.loop.now(), attempt.noted)
        self.counters["timeouts" if was_sent else "unsent"] += 1
        blames_host = self.hosts.unwritten_by_fault_of_host(attempt)
        unsent_ending = i.Ending.CONNECT_FAILED if blames_host else i.Ending.VOID
        self.hosts.withdraw(attempt)
        self.end_attempt(attempt, i.Ending.TIMEOUT if was_sent else unsent_ending)

    def end_attempt(
        self,
        attempt: Attempt,
        ending: i.Ending,
        reason: i.Reason = i.Reason.UNTOLD,
        report: i.LoadReport | None = None,
    ) -> None:
        """End an attempt without an answer, and report that to the scheduler once."""
        entry = attempt.entry
        if entry.ask.attempt is not attempt:
            return
        entry.ask.attempt = entry.pending_attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counters[f"ended_{ending.value}"] += 1
        self.trace(entry.name, "attempt_ended", host=attempt.machine, attempt=attempt.number, why=ending.value)
        if ending not in (i.Ending.FULL, i.Ending.CONNECT_FAILED, i.Ending.VOID) and entry.ask.may_run_since is None:
            entry.ask.may_run_since = attempt.offered_at
        closed = entry.outcome is not Outcome.OPEN
        is_located = self._is_located(attempt)
        self._driver.push(i.Outcome(entry.request, attempt.number, ending, closed, reason, report, is_located))

    def _is_located(self, attempt: Attempt) -> bool:
        """Return whether the host of the offer is the one that may have read it."""
        link = attempt.link
        return link is None or (attempt.host == attempt.machine and link.leads_to_listed_host(self.loop.now()))

    def handle_answer(self, attempt: Attempt, line: Line) -> None:
        """Handle a host's message on the connection of an open set-up: an answer, or how the attempt ended."""
        if line.type is MessageType.READY and line.text is not None:
            self._accept(attempt, line.text)
            return
        if line.code == releases.CAUSE_ENDED and line.text is not None:
            # An answer says that the task runs; a short task may have ended before that could be said, so it has been done.
            self._accept(attempt, line.text)
            self.handle_message(attempt.host, line)
            return
        self._handle_unanswered_release(attempt, line, other_connection=False)

    def _handle_unanswered_release(self, attempt: Attempt, line: Line, other_connection: bool) -> None:
        """Handle the release of a task that the host has not answered."""
        reason, report = releases.reason_of(line), self._parse_load_report(line.attrs.get("load"))
        if not releases.had_been_accepted(attempt, line, other_connection):
            self.end_attempt(attempt, releases.ending_of_unanswered(line), reason, report)
            return
        if other_connection:
            self.hosts.withdraw(attempt)  # nothing more is expected on the connection of the set-up
        self._fail_unanswered(attempt, reason, report)

    def _fail_unanswered(self, attempt: Attempt, reason: i.Reason, report: i.LoadReport | None) -> None:
        """Fail a task that its host had accepted and has ended, and whose answer was delayed or lost.

        A client must be sent the release within a second after an accepted task ends, so there is no further attempt:
        the client would take messages about that attempt, under the same id, for those of the ended task.
        """
        entry = attempt.entry
        self.counters["failed_unanswered"] += 1
        self.trace(entry.name, "failed", host=attempt.machine, why="released before its answer came")
        self._recently_settled.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self.early_messages.record(entry.name, EarlyMessage.TASK_ENDED, self.loop.now(), attempt.host)
        self.end_attempt(attempt, i.Ending.RESET, reason, report)
        entry.ask.owner.refuse(entry.name, releases.CAUSE_FAILED, 0.0)

    def _accept(self, attempt: Attempt, text: str) -> None:
        entry, now = attempt.entry, self.loop.now()
        entry.ask.attempt = entry.pending_attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        entry.machine, entry.attempt = attempt.machine, attempt.number
        self._recently_settled.add(entry.request)
        self._settle(entry, Outcome.PLACED)
        self._placed.record(entry, attempt.link.process if attempt.link is not None else None)
        self._placed.keep_connection(entry, entry.ask.owner)
        self.counters["placed"] += 1
        self.trace(entry.name, "stands", host=attempt.machine, attempt=attempt.number)
        self._driver.push(i.Accepted(entry.request, attempt.number, now - attempt.offered_at))
        entry.ask.owner.answer(entry.name, text)
        if attempt.host != attempt.machine:
            self._placed.move(entry, attempt.host, f"{attempt.machine} is replaced")

    # Messages of hosts about tasks that are placed, or not known to be open

    def handle_message(self, machine: str, line: Line, connection: ProcessConnection | None = None) -> None:
        """Handle a host's message about a task on a connection without an open set-up of that task."""
        entry = self._find_placed(machine, line.sid, connection)
        if entry is None:
            self._handle_message_for_unplaced(machine, line)
        else:
            self._placed.handle_message(entry, line, connection)

    def _find_placed(self, machine: str, sid: str, connection: ProcessConnection | None) -> Entry | None:
        return self._placed.find(machine, sid) or self._placed.find_by_connection(sid, connection, self.hosts.is_listed)

    def handle_confirmed_end(self, machine: str, line: Line, connection: ProcessConnection) -> None:
        """Handle a host's word that it has read the end of a task: one that is handed over all the same does not run."""
        entry = self._find_placed(machine, line.sid, connection)
        if entry is None:
            self.early_messages.confirm_requested_end(line, self.loop.now(), machine)
        elif entry.ask.end_requested:
            self._placed.end_as_confirmed(entry)

    def _handle_message_for_unplaced(self, machine: str, line: Line) -> None:
        """Handle a message about a task that is not known to be placed at that host."""
        entry = self.ledger.current(line.sid)
        if entry is not None and entry.outcome is Outcome.OPEN:
            attempt: Attempt | None = entry.ask.attempt
            if attempt is not None and attempt.host == machine and self.hosts.was_sent(attempt):
                if line.type is MessageType.EVENT:
                    attempt.noted = True
                    self.trace(line.sid, "noted", host=machine)
                    return
                if line.type is MessageType.CLOSE and releases.ends_open_attempt(attempt, line, self.loop.now()):
                    self._handle_unanswered_release(attempt, line, other_connection=True)
                    return
            elif self._ended_before_withdrawal(entry, machine, line):
                self._fail_withdrawn(entry, machine)
                return
        self._count_late(machine, line)
        if line.type is MessageType.CLOSE and entry is None:
            self.early_messages.record(line.sid, EarlyMessage.RELEASED_BY_HOST, self.loop.now(), machine, line)

    def handle_withdrawn_message(self, machine: str, line: Line) -> None:
        """Handle a message on the connection of a withdrawn set-up: it concerns no later attempt."""
        entry = self.ledger.current(line.sid)
        is_open = entry is not None and entry.outcome is Outcome.OPEN
        if entry is not None and is_open and self._ended_before_withdrawal(entry, machine, line):
            self._fail_withdrawn(entry, machine)
        else:
            self._count_late(machine, line)

    def _count_late(self, machine: str, line: Line) -> None:
        self.counters["late_words"] += 1
        self.trace(line.sid, "late_word", host=machine, word=line.type.value, code=line.code)

    def _ended_before_withdrawal(self, entry: Entry, machine: str, line: Line) -> bool:
        """Return whether the message is the release of a task that ended before the host read our withdrawal."""
        withdrawal: Withdrawal | None = entry.ask.withdrawals.get(machine)
        return line.type is MessageType.CLOSE and releases.preceded_withdrawal(withdrawal, line)

    def _fail_withdrawn(self, entry: Entry, machine: str) -> None:
        """Fail a task that ended at a host before its withdrawal was read; an open attempt elsewhere is withdrawn."""
        self.counters["failed_withdrawn"] += 1
        self.trace(entry.name, "failed", host=machine, why="released before its withdrawal was read")
        self._recently_settled.add(entry.request)
        self._settle(entry, Outcome.FAILED)
        self.early_messages.record(entry.name, EarlyMessage.TASK_ENDED, self.loop.now(), machine)
        self._withdraw(entry)
        if not entry.ask.queued:
            self._driver.push(i.RequestAbandoned(entry.request))
        entry.ask.owner.refuse(entry.name, releases.CAUSE_FAILED, 0.0)

    # The host list and expiry

    def host_lost(self, machine: str, why: str, end: TaskEnd | None = None) -> int:
        """End the tasks of a host that is presumed lost, and return their number. A task may run on all the same.

        ``end``: only those that ran in a process which is gone by that evidence.
        """
        return self._placed.lose(machine, why, end)

    def process_lost(self, process: HostProcess, machine: str, ended_at_host: bool) -> list[str]:
        """End the tasks of a process at a host whose silence has lasted for too long; return their ids.

        ``ended_at_host``: whether the host is told to end them; else a task may run on all the same.
        """
        return self._placed.lose_process(process, machine, ended_at_host)

    def move_to_replacement(self, machine: str, replacement: str) -> int:
        """Account for a host's tasks under the id of the one that has taken its place and runs them; return their number.

        What is recorded of other tasks there is recorded for the replacement as well.
        """
        number = self._placed.move_all(machine, replacement)
        self.early_messages.copy_ends(machine, replacement)
        return number

    def set_closed(self, machine: str, closed: bool) -> None:
        """Exclude the host from new tasks, or include it again."""
        (self.closed_hosts.add if closed else self.closed_hosts.discard)(machine)

    def host_listed(self, machine: str) -> None:
        """Place the tasks at a host that is listed now and at which owners have handed them over."""
        self._placed.host_listed(machine)

    def expire_records(self) -> None:
        """Drop refused and failed tasks, and early messages, that no message can concern any more."""
        now = self.loop.now()
        self.ledger.forget(now - SETTLED_RETENTION_MS)
        self.early_messages.expire(now)
