"""The placement decisions of one scheduler. Settings, events and actions: ``sprucepost/interface.py``.

Each service has a ranking of machines; the first is its current target. Time is divided into intervals of
INTERVAL_MS. Every scheduler has a turn once in a round of intervals, by its number, and revises the rankings
of its services then. A revision takes the first CANDIDATES machines that pass the filters, in an order that
belongs to the service and is the same at all schedulers. It ranks them by the larger of the requested shares
of cores and memory after the binds that are expected until the next turn, plus OVERFLOW_COST for what exceeds
the machine's admission limit, with random choice among nearly equal ones. The requested shares are those of
the delayed view (list or reports), corrected by this scheduler's own later binds and ends. Between two turns
a task goes to the first ranked machine that passes. Everything else in this module is a filter or a bounded
penalty on that path, or keeps one of the five rules.

All times and durations are in milliseconds.
"""

from __future__ import annotations

import hashlib
import math
import random
import zlib
from array import array
from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import islice
from typing import Any

from sprucepost import interface as i
from sprucepost.backoff import exponential_backoff
from sprucepost.interface import Effect, Ending, Reason, Scope

INTERVAL_MS = 2000.0  # close to the lag of the view, so that a turn sees the binds of the turn before
MAX_TURNS_PER_ROUND = 4  # several schedulers share a turn; in a longer round revisions would come too late
OVERFLOW_COST = 120.0  # for one whole machine of overflow: any overflow outweighs every other difference
COST_JITTER = 0.06  # share within which machines are equally good: more than one task, less than a trend
VIEW_LAG_MS = 2500.0  # until list or report shows a bind (accept, refresh, delivery) and notes are repeated
SUSPICION_MS = 1000.0  # first suspicion; doubled per earlier silence, four times that if surely lost
MAX_SUSPICION_MS = 4000.0  # before that factor: a machine that has recovered is tried again within this time
RECHECK_MS = 100.0  # between searches for a waiting task: far below the aim of any class, and cheap enough
STRAIN_COST = 0.3  # added to a share at full strain: enough to steer away, never more than overflow
PENDING_START_COST = 0.05  # added to a share for each own task that has not started on the machine yet
USAGE_SAMPLES = 200.0  # weight of the usage average in status notes, of which several hundred come a minute
MAX_USAGE = 100.0  # share of the request that one note counts for: a request may be next to nothing
MEMORY_TARGET = 0.9  # share of a machine's memory to plan for: above it all tasks slow down, at 1 it evicts
CANDIDATES = 4  # machines compared for a service: few keep its program loaded, several leave a choice
LIST_CALL_MS = 15.0  # of the list server's time for each scheduler's call, so that calls do not overload it
CANDIDATE_PENALTY = 0.2  # share by which one must be emptier than the one before: part of a start's cost
MAX_CALL_WORK = 2000  # machines examined in one call, about 5 us each: a longer call would delay other events
MEMORY_PRESSURE_THRESHOLD = 0.85  # share of a machine's memory in use above which it counts as strained


@dataclass
class Machine:
    """One machine as this scheduler sees it."""
    entry: i.MachineEntry
    started: float = 0.0
    reported_free: tuple[float, float] | None = None  # cores and memory by the delayed view, if there is one
    pending_changes: deque[tuple[float, int, Attempt]] = field(default_factory=deque)  # bind 1, end -1
    pending_totals: list[float] = field(default_factory=lambda: [0.0, 0.0])  # cores, memory of the changes
    compact_at: int = 64  # number of pending changes at which matching binds and ends are removed
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    answer_times: deque[float] = field(default_factory=deque)  # of offers that were recently answered
    suspicions: dict[int, tuple[int, float]] = field(default_factory=dict)  # by class: silences, end time
    refused_until: dict[float, float] = field(default_factory=dict)  # by the highest priority that is refused
    strain: tuple[float, float] = (0.0, 0.0)  # level from 0 to 1, end time

    def add_to_totals(self, sign: int, attempt: Attempt) -> None:
        self.pending_totals[0] += sign * attempt.task.ask.cores
        self.pending_totals[1] += sign * attempt.task.ask.memory

    def drop_changes(self, before: float) -> None:
        """Remove the changes up to this time: a newer view includes them."""
        while self.pending_changes and self.pending_changes[0][0] <= before:
            _, sign, attempt = self.pending_changes.popleft()
            self.add_to_totals(-sign, attempt)
        if not self.pending_changes:
            self.pending_totals = [0.0, 0.0]  # clears rounding errors

    def record_change(self, at: float, sign: int, attempt: Attempt) -> None:
        """Add an own bind (1) or end (-1) that the delayed view does not include yet.

        Without newer views (no list, and reports that do not give requested resources) nothing else removes
        changes; a bind and its end that are older than the lag cancel out.
        """
        self.pending_changes.append((at, sign, attempt))
        self.add_to_totals(sign, attempt)
        if len(self.pending_changes) >= self.compact_at:
            ended = {change[2] for change in self.pending_changes
                     if change[1] < 0 and change[0] <= at - VIEW_LAG_MS}
            pairs = ended.intersection(change[2] for change in self.pending_changes if change[1] > 0)
            self.keep_changes(change for change in self.pending_changes if change[2] not in pairs)
            self.compact_at = 64 + 2 * len(self.pending_changes)

    def keep_changes(self, changes: Iterable[tuple[float, int, Attempt]]) -> None:
        """Keep only these changes. Their totals are stored because every check of the machine reads them."""
        self.pending_changes, self.pending_totals = deque(changes), [0.0, 0.0]
        for _, sign, attempt in self.pending_changes:
            self.add_to_totals(sign, attempt)


@dataclass
class Service:
    """One service: its current ranking, and the requests since the last revision."""
    ranking: list[Machine] = field(default_factory=list)
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    request_count: int = 0
    last_request: i.TaskRequest | None = None


@dataclass
class Task:
    """One request from its arrival until its end."""
    ask: i.TaskRequest
    task_class: i.TaskClass
    deadline: float
    offer_count: int = 0
    open_attempt: Attempt | None = None
    uncertain_attempt: Attempt | None = None  # the first that ended without proof that the task did not run


@dataclass(eq=False)
class Attempt:
    """One offer of a task to a machine, until its outcome."""
    task: Task
    machine: Machine
    offered_at: float
    offered_to: i.MachineEntry  # the machine as it was listed then: the list may change
    accepted: bool = False
    running: bool = False


class Scheduler:
    """The decisions of one instance. Pass events to ``handle`` and carry out the actions that it returns."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.started_at = -math.inf
        self.actions: list[i.Action] = []
        self.machines: dict[str, Machine] = {}
        self.services: dict[str, Service] = {}
        self.machine_orders: dict[str, tuple[int, array[float], list[Machine]]] = {}  # changes seen, keys
        self.order_changes: list[tuple[str, int]] = []  # machines added, removed or resized; kind before
        self.dropped_changes = 0  # number of earlier order changes that are no longer kept
        self.tasks: dict[int, Task] = {}  # those without a final answer
        self.to_place: list[Task] = []  # those that need a machine now
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.accept_mean = min(task_class.aim for task_class in settings.classes) / 4
        self.accept_dev = self.accept_mean / 4
        size = settings.n_instances
        self.membership = i.Membership(size, settings.number % size, size)
        self.slot_changed_at = -math.inf
        self.turns_per_round = min(size, MAX_TURNS_PER_ROUND)
        self.accept_samples = 1
        self.tenant_cores = [0.0] * max(1, len(settings.tenants))  # cores of own tasks, by tenant
        self.usage = [0.5, 0.5]  # share of the requested cores and memory that own tasks use
        self.list_failures = 0
        self.recheck_pending = False
        self.call_work = 0  # machines examined in this call
        self.to_revise: list[str] = []  # services still to be revised in this turn, the next one last
        self.without_capacity: set[str] = set()  # services that found no machine in this call
        self.continuation_pending = False  # whether a timer will continue the unfinished work
        self.handlers: dict[type, Callable[[Any], object]] = {
            i.TaskRequest: self._on_task_request, i.TaskFound: self._on_task_found,
            i.Accepted: self._on_accepted, i.StatusNote: self._on_status_note, i.Outcome: self._on_outcome,
            i.MachineList: self._on_list, i.TimerFired: self._on_timer, i.Membership: self._on_membership,
            i.RequestAbandoned: lambda event: self.tasks.pop(event.request, None)}

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Process the events of one moment and return the actions to carry out, in order."""
        self.now, self.actions, self.call_work = now, [], 0
        if self.started_at == -math.inf:
            self.started_at = now
            self._schedule_turn()
            if self.settings.list_mode is i.ListMode.ASK:
                self._schedule_list_call(0.0)
        for event in events:
            self.handlers[type(event)](event)
        self._place_tasks()
        self._revise_rankings()
        if (self.to_place or self.to_revise) and not self.continuation_pending:
            self.continuation_pending = True
            self.actions.append(i.SetTimer(0.0, "more"))
        return self.actions

    # Events

    def _on_task_request(self, ask: i.TaskRequest) -> None:
        task = Task(ask, self.settings.classes[ask.task_class], self.now + ask.left)
        self.tasks[ask.request] = task
        self.to_place.append(task)
        service = self.services.setdefault(ask.service, Service())
        service.request_count, service.last_request = service.request_count + 1, ask
        self.actions.append(i.SetTimer(max(0.0, ask.left - self.settings.tick), f"answer:{ask.request}"))

    def _on_task_found(self, event: i.TaskFound) -> None:
        task = Task(event.request, self.settings.classes[event.request.task_class], math.inf, 1)
        machine = self.machines.setdefault(event.machine, Machine(i.MachineEntry(event.machine)))
        attempt = Attempt(task, machine, self.now, machine.entry, accepted=True, running=True)
        self._register_attempt(attempt, 0)

    def _on_accepted(self, event: i.Accepted) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None or attempt.accepted:
            return
        self._record_answer(attempt.machine)
        attempt.accepted, attempt.running = True, self.settings.runs_when_accepted
        attempt.machine.suspicions.pop(attempt.task.ask.task_class, None)
        self.accept_samples = min(self.accept_samples + 1, 16)  # the first few weigh more: few may follow
        self.accept_dev += (abs(event.elapsed - self.accept_mean) - self.accept_dev) / self.accept_samples
        self.accept_mean += (event.elapsed - self.accept_mean) / self.accept_samples
        self.tasks.pop(event.request, None)

    def _on_status_note(self, event: i.StatusNote) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None or not 0.0 <= event.value < math.inf:  # a machine may send anything
            return
        kind, requested = event.kind, (attempt.task.ask.cores, attempt.task.ask.memory)
        if kind is i.StatusKind.RUNNING:
            attempt.running = True
        elif kind in (i.StatusKind.CORES_USED, i.StatusKind.MEMORY_USED):
            index = kind - i.StatusKind.CORES_USED
            if requested[index] > 0:
                share = min(event.value / requested[index], MAX_USAGE)
                self.usage[index] += (share - self.usage[index]) / USAGE_SAMPLES
        else:
            level = 1 - event.value if kind is i.StatusKind.SERVED_SHARE else (
                (event.value - MEMORY_PRESSURE_THRESHOLD) / (1 - MEMORY_PRESSURE_THRESHOLD))
            attempt.machine.strain = min(max(level, 0.0), 1.0), self.now + VIEW_LAG_MS

    def _on_outcome(self, event: i.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        task, machine = attempt.task, attempt.machine
        for index in (machine.attempts, self.services[task.ask.service].attempts):
            index.pop((event.request, event.attempt))
        self.tenant_cores[task.ask.tenant] -= task.ask.cores
        if not attempt.accepted:
            self._record_answer(machine)
        if attempt.accepted and machine.reported_free is not None:
            machine.record_change(self.now, -1, attempt)
        else:
            machine.keep_changes(change for change in machine.pending_changes if change[2] is not attempt)
        self._drop_if_gone(machine)
        task.open_attempt = None
        if event.reason is Reason.UNTOLD and event.ending in (
                Ending.TIMEOUT, Ending.CONNECT_FAILED, Ending.RESET):
            self._suspect(attempt, certain=event.ending is Ending.CONNECT_FAILED or attempt.accepted)
        elif event.ending in (Ending.FULL, Ending.RESET):
            machine.suspicions.pop(task.ask.task_class, None)
            self._record_refusal(machine, task, event.reason)
        if event.report is not None and self.settings.report_counts is i.LoadBasis.ASKED:
            self._update_free(machine, event.report.free_cores, event.report.free_memory)
        if event.closed or attempt.accepted:
            self.tasks.pop(event.request, None)
        elif event.request in self.tasks:
            if event.ending not in (Ending.FULL, Ending.CONNECT_FAILED, Ending.VOID):
                task.uncertain_attempt = task.uncertain_attempt or attempt
                if not event.is_located:
                    task.uncertain_attempt.offered_to = i.MachineEntry(machine.entry.machine)
            self.to_place.append(task)

    def _on_list(self, event: i.MachineList) -> None:
        if event.kind is i.ListKind.FAILED:
            self.list_failures += 1
            self._schedule_list_call(
                exponential_backoff(SUSPICION_MS, self.list_failures - 1, self.settings.ask_every / 4))
            if self.list_failures == 1:
                self.actions.append(i.Log("list: call failed; using the previous list and own observations"))
            return
        self.list_failures = 0
        if event.kind is not i.ListKind.DELTA:  # a machine that a full list does not name is gone
            for name in sorted(self.machines.keys() - {entry.machine for entry in event.entries}):
                self._update_entry(replace(self.machines[name].entry, state=i.MachineState.GONE))
        for entry in event.entries:
            self._update_entry(entry)

    def _update_entry(self, entry: i.MachineEntry) -> None:
        machine = self.machines.setdefault(entry.machine, Machine(i.MachineEntry(entry.machine)))
        if entry.state is i.MachineState.GONE and -1 in (entry.zone, entry.cell):  # keep where it was
            known = machine.entry
            entry = replace(entry, zone=known.zone, cell=known.cell, kind=known.kind)
        gone = i.MachineState.GONE in (machine.entry.state, entry.state)
        if machine.entry.kind != entry.kind or (gone and machine.entry.state is not entry.state):
            self._record_order_change(machine.entry)
        machine.entry = entry
        if entry.started > machine.started:
            machine.started, machine.suspicions, machine.refused_until = entry.started, {}, {}
        if entry.state is i.MachineState.GONE and not self._must_retain(machine):
            del self.machines[entry.machine]
        elif self.settings.room_in_list:
            self._update_free(machine, entry.free_cores, entry.free_memory)

    def _must_retain(self, machine: Machine) -> bool:
        """Whether the state of a machine that has left the list is kept: while it has tasks or would be cold.

        Lists may arrive out of order and name it again; its recent offers and start time still count.
        """
        return bool(machine.attempts) or self._is_cold(machine)

    def _drop_if_gone(self, machine: Machine) -> None:
        """Remove a machine that has left the list. No list names it again, so it would be ranked for ever."""
        if machine.entry.state is i.MachineState.GONE and not self._must_retain(machine):
            self.machines.pop(machine.entry.machine, None)
            self._record_order_change(machine.entry)

    def _schedule_list_call(self, delay: float) -> None:
        """Set a timer to subscribe. Schedulers start together, so the time is random, over the length of all
        their calls."""
        spread = max(delay / 2, min(LIST_CALL_MS * self.membership.n_instances, self.settings.ask_every / 2))
        self.actions.append(i.SetTimer(delay / 2 + self.rng.uniform(0.0, spread), "list"))

    def _on_timer(self, event: i.TimerFired) -> None:
        kind, _, argument = event.name.partition(":")
        if kind == "answer":
            if task := self.tasks.get(int(argument)):
                self._give_up(task)
        elif kind == "turn":
            self._begin_turn()
            self._schedule_turn()
        elif kind == "list":
            self.actions.append(i.Subscribe())
        elif kind == "look":
            self.recheck_pending, self.to_place = False, [
                task for task in self.tasks.values() if task.open_attempt is None]
        elif kind == "more":
            self.continuation_pending = False

    def _on_membership(self, event: i.Membership) -> None:
        if (event.slot, event.slots) != (self.membership.slot, self.membership.slots):
            self.slot_changed_at = self.now  # offers that the previous slots may have sent must expire first
        self.membership, self.turns_per_round = event, min(event.n_instances, MAX_TURNS_PER_ROUND)

    # State of a machine

    def _update_free(self, machine: Machine, cores: float | None, memory: float | None) -> None:
        """Store newer free resources; keep own changes only while the delayed view may not include them."""
        if cores is not None and memory is not None:
            machine.reported_free = cores, memory
            machine.drop_changes(self.now - VIEW_LAG_MS)

    def _requested_resources(self, machine: Machine) -> tuple[float, float]:
        """Cores and memory requested on a machine: the delayed view and own later changes."""
        if machine.reported_free is None:  # without any view the other schedulers are assumed to do the same
            own, size = [a.task.ask for a in machine.attempts.values()], self.membership.n_instances
            return sum(ask.cores for ask in own) * size, sum(ask.memory for ask in own) * size
        kind = self.settings.kinds[machine.entry.kind]
        return (kind.cores - machine.reported_free[0] + machine.pending_totals[0],
                kind.memory - machine.reported_free[1] + machine.pending_totals[1])

    def _suspect(self, attempt: Attempt, certain: bool) -> None:
        """Avoid a machine that did not answer, whatever the cause, for a time that grows with each silence.

        This holds for the task's class alone, since the machine may serve others; then it is tried with one
        offer. A first time-out may only mean a lost answer, as may a connection that broke under an offer.
        """
        machine, class_index = attempt.machine, attempt.task.ask.task_class
        if attempt.accepted:
            machine.started = max(machine.started, self.now)  # it lost its tasks: cold when it returns
        silences, until = machine.suspicions.get(class_index, (0, 0.0))
        if self.now >= until:
            pause = exponential_backoff(SUSPICION_MS, silences, MAX_SUSPICION_MS)
            pause *= 4 if certain else bool(silences)
            machine.suspicions[class_index] = silences + 1, self.now + pause

    def _record_refusal(self, machine: Machine, task: Task, reason: Reason) -> None:
        """Avoid a machine that refused until the view can be newer or its queue has drained.

        A machine that sends its tasks away is draining, whatever a delayed list says, until it starts again.
        """
        pauses = {Reason.QUEUE_FULL: 2 * self.accept_mean, Reason.SENT_AWAY: self.settings.warm_after}
        pause = pauses.get(reason, VIEW_LAG_MS)
        level = task.task_class.priority if pause == VIEW_LAG_MS and self.settings.preempts else math.inf
        machine.refused_until[level] = max(machine.refused_until.get(level, 0.0), self.now + pause)

    def _is_cold(self, machine: Machine) -> bool:
        return machine.started > 0 and self.now < machine.started + self.settings.warm_after

    def _has_cold_allowance(self, machine: Machine) -> bool:
        """Whether a cold machine may get one more offer from this scheduler (rule 4); refused ones count too.

        If its allowance is below the number of slots, groups of slots alternate by windows of ``fall``, with
        one window of pause between.
        """
        if not self._is_cold(machine):
            return True
        window, allowance, slots = self.settings.fall, int(self.settings.cold_bears), self.membership.slots
        delay = min(2 * self.settings.tick, window / 2)  # at most, between a decision and its transmission
        if not allowance or (machine.started < self.started_at and self.now < self.started_at + window):
            return False  # an earlier incarnation of this scheduler may have used the allowance
        if not slots or self.now < self.slot_changed_at + 2 * window:
            return False  # the other schedulers change slots by their own clocks, up to one window apart
        groups = math.ceil(slots / allowance)
        turn, pause = divmod(math.floor(self.now / window) + zlib.crc32(machine.entry.machine.encode()), 2)
        ending = self.now % window > window - delay
        if groups > 1 and (pause or ending or self.membership.slot % groups != turn % groups):
            return False
        share = allowance // slots
        if self.now < machine.started + window + VIEW_LAG_MS:
            # Schedulers that have not learned of the start yet add up to half of the others' offers.
            share = min(share, round((allowance + 2 * math.sqrt(allowance) + 2) / 1.5 / slots))
        unanswered = sum(not attempt.accepted for attempt in machine.attempts.values())
        return unanswered + sum(at > self.now - window - delay for at in machine.answer_times) < max(1, share)

    def _record_answer(self, machine: Machine) -> None:
        """Record that an offer was answered or given up: if it reached the machine at all, it has by now."""
        while machine.answer_times and machine.answer_times[0] <= self.now - 2 * self.settings.fall:
            machine.answer_times.popleft()
        machine.answer_times.append(self.now)

    def _passes_counted(self, machine: Machine, task: Task, preempting: bool) -> bool:
        """:meth:`_passes_filters`, counted as work of this call."""
        self.call_work += 1
        return self._passes_filters(machine, task, preempting)

    def _passes_filters(self, machine: Machine, task: Task, preempting: bool = False) -> bool:
        """The filters: state, kind, refusals, cold allowance, suspicion, capacity, key group and spread."""
        task_class, ask = task.task_class, task.ask
        if machine.entry.state is not i.MachineState.READY or task_class.kind not in (-1, machine.entry.kind):
            return False
        if any(task_class.priority <= level and self.now < until
               for level, until in machine.refused_until.items()):
            return False
        if not self._has_cold_allowance(machine):
            return False
        until = machine.suspicions.get(ask.task_class, (0, 0.0))[1]
        if until and (self.now < until or any(not a.accepted for a in machine.attempts.values())):
            return False
        cores, memory = self._requested_resources(machine)
        kind = self.settings.kinds[machine.entry.kind]
        # What the machine accepts, or less where at the observed usage that much would starve or evict tasks.
        limits = (min(self.settings.accepts_cores,
                      max(1.0, (task_class.calm + task_class.fade) / self.usage[0])),
                  min(self.settings.accepts_memory, max(1.0, MEMORY_TARGET / self.usage[1])))
        over = cores + ask.cores > kind.cores * limits[0] or memory + ask.memory > kind.memory * limits[1]
        if over and not preempting:
            return False
        if (task.uncertain_attempt is not None and task_class.effect is not Effect.SAFE
                and not machine.entry.shares_group(task_class.group, task.uncertain_attempt.offered_to)):
            return False
        placed = self.services[ask.service].attempts.values()
        return task_class.spread is Scope.NONE or task_class.most > sum(
            machine.entry.shares_scope(task_class.spread, a.machine.entry) for a in placed)

    # Rankings and placement

    def _schedule_turn(self) -> None:
        index = math.floor(self.now / INTERVAL_MS) + 1
        index += (self.settings.number - index) % self.turns_per_round
        self.actions.append(i.SetTimer(index * INTERVAL_MS - self.now, "turn"))

    def order_key(self, service: str, machine: str, kind: int) -> float:
        """Sort key of a machine in a service's order: pseudo-random, larger machines more often in front."""
        digest = hashlib.blake2b(f"{service} {machine}".encode(), digest_size=6).digest()
        return -math.log((int.from_bytes(digest, "big") + 1) / 2**48) / self.settings.kinds[kind].cores

    def _record_order_change(self, entry: i.MachineEntry) -> None:
        """Have the machine's position checked in all orders; orders unused for long are rebuilt instead."""
        self.order_changes.append((entry.machine, entry.kind))
        if len(self.order_changes) > 64 + 2 * len(self.machines):
            self.dropped_changes += (dropped := len(self.order_changes) // 2)
            del self.order_changes[:dropped]

    def machine_order(self, service: str) -> list[Machine]:
        """All machines in the service's own order, which is the same at every scheduler.

        Its first few machines keep the service's program, whose first start costs several times a later one;
        and a gap that the delayed view shows to all schedulers is not filled by all of them. Only changed
        machines are positioned anew: sorting all for hundreds of services would block for seconds.
        """
        end = self.dropped_changes + len(self.order_changes)
        seen, keys, machines = self.machine_orders.get(service, (-1, array("d"), []))
        if seen == end:
            return machines
        if seen < self.dropped_changes:
            self.call_work += len(self.machines)
            pairs = sorted((self.order_key(service, m.entry.machine, m.entry.kind), m.entry.machine)
                           for m in self.machines.values())
            keys, machines = array("d", [at for at, _ in pairs]), [self.machines[name] for _, name in pairs]
        else:
            changed = dict(reversed(self.order_changes[seen - self.dropped_changes:]))  # the earliest kind
            self.call_work += len(changed)
            for name, kind in changed.items():
                machine = self.machines.get(name)
                at = bisect_left(keys, key := self.order_key(service, name, kind))
                if at < len(keys) and machines[at].entry.machine == name:
                    if machine is not None and machine.entry.kind == kind:
                        machines[at] = machine
                        continue
                    del keys[at], machines[at]
                if machine is not None:
                    if machine.entry.kind != kind:
                        at = bisect_left(keys, key := self.order_key(service, name, machine.entry.kind))
                    keys.insert(at, key)
                    machines.insert(at, machine)
        self.machine_orders[service] = end, keys, machines
        return machines

    def _rank(self, task: Task, preempting: bool = False) -> list[Machine]:
        """The first of the service's order that pass the filters, cheapest first, similar ones at random."""
        order = self.machine_order(task.ask.service)
        passing = (machine for machine in order if self._passes_counted(machine, task, preempting))
        candidates = list(islice(passing, CANDIDATES))
        expected = max(1.0, self.services[task.ask.service].request_count / self.turns_per_round)
        costs = [self._cost(machine, task, expected) + CANDIDATE_PENALTY * n
                 for n, machine in enumerate(candidates)]
        # Cold machines cost the average at least: they are empty because they are new, not better.
        average = sum(costs) / max(1, len(costs))
        costs = [max(cost, average * self._is_cold(machine)) + self.rng.uniform(0.0, COST_JITTER)
                 for cost, machine in zip(costs, candidates, strict=True)]
        return [candidates[n] for n in sorted(range(len(candidates)), key=costs.__getitem__)]

    def _cost(self, machine: Machine, task: Task, expected: float) -> float:
        """Cost of a machine as a share of its size, after ``expected`` binds like this task."""
        kind, (cores, memory) = self.settings.kinds[machine.entry.kind], self._requested_resources(machine)
        cores = (cores + expected * task.ask.cores) / kind.cores
        memory = (memory + expected * task.ask.memory) / kind.memory
        overflow = max(0.0, cores - self.settings.accepts_cores, memory - self.settings.accepts_memory)
        starting = PENDING_START_COST * sum(not attempt.running for attempt in machine.attempts.values())
        strain = STRAIN_COST * machine.strain[0] * (self.now < machine.strain[1])
        return max(cores, memory) + OVERFLOW_COST * overflow + starting + strain

    def _begin_turn(self) -> None:
        """Queue all services for revision and remove machines that have gone."""
        for machine in list(self.machines.values()):
            self._drop_if_gone(machine)
        self.to_revise = list(reversed(self.services))

    def _revise_rankings(self) -> None:
        """Revise services with requests, remove idle ones; work over the limit is left to the next call."""
        waiting = {task.ask.service for task in self.tasks.values()} if self.to_revise else set()
        done = 0
        while self.to_revise and (self.call_work < MAX_CALL_WORK or not done):
            name, done = self.to_revise.pop(), done + 1
            if (service := self.services.get(name)) is None:
                continue
            self.call_work += 1
            service.ranking = []
            if service.request_count and service.last_request is not None:
                task_class = self.settings.classes[service.last_request.task_class]
                service.ranking = self._rank(Task(service.last_request, task_class, 0.0))
                service.request_count = 0
            elif not service.attempts and name not in waiting:
                del self.services[name]
                self.machine_orders.pop(name, None)

    def _choose_machine(self, task: Task) -> Machine | None:
        service = self.services[task.ask.service]
        chosen = next((machine for machine in service.ranking if self._passes_filters(machine, task)), None)
        if chosen is None and (ranking := self._rank(task)):
            chosen = ranking[0]
            if task.uncertain_attempt is None:
                service.ranking = ranking
        if chosen is None and self.settings.preempts and task.task_class.priority > 0:
            # Full for this task, but the machine may preempt lower priorities: waiting would lose more.
            chosen = next(iter(self._rank(task, preempting=True)), None)
        return chosen

    def _place_tasks(self) -> None:
        """Place the waiting tasks, highest worth first; those that find no machine are searched for again."""
        if not self.to_place:
            return
        tasks = [t for t in self.to_place if t.ask.request in self.tasks and t.open_attempt is None]
        tasks.sort(key=self._effective_worth, reverse=True)
        self.to_place = []
        for n, task in enumerate(tasks):
            if self.call_work >= MAX_CALL_WORK:
                self.to_place = tasks[n:]
                return
            self.call_work += CANDIDATES
            if task.ask.service in self.without_capacity or not self._place_task(task):
                self.without_capacity.add(task.ask.service)  # similar tasks need not search again
        if self.without_capacity and not self.recheck_pending:
            self.recheck_pending = True
            self.actions.append(i.SetTimer(RECHECK_MS, "look"))
        self.without_capacity = set()

    def _effective_worth(self, task: Task) -> float:
        """Worth of the task, reduced where own traffic shows that its tenant is over its quota."""
        tenants, cores = self.settings.tenants, max(0.0, self.tenant_cores[task.ask.tenant])
        # A few own tasks say little about the whole fleet: two standard deviations are allowed for chance.
        surely_held = (cores - 2 * math.sqrt(cores)) * self.membership.n_instances
        over = tenants and surely_held > tenants[task.ask.tenant].quota_cores
        return (task.task_class.worth * (1 + task.task_class.priority)
                * (self.settings.over_share_worth if over else 1.0))

    def _place_task(self, task: Task) -> bool:
        """Offer the task, or answer it where an offer is no longer allowed; False if no machine was found."""
        spent = task.offer_count >= self.settings.max_attempts
        if task.uncertain_attempt is not None and task.task_class.effect is not Effect.SAFE:
            window = task.task_class.window if task.task_class.effect is Effect.KEYED else 0.0
            spent = spent or self.now >= task.uncertain_attempt.offered_at + window
        left = task.deadline - self.now - 2 * self.settings.tick
        if spent or left <= 0:
            self._give_up(task)
            return True
        machine = self._choose_machine(task)
        if machine is None:
            return False
        attempt = task.open_attempt = Attempt(task, machine, self.now, machine.entry)
        if machine.reported_free is not None:  # without any view there is nothing to correct
            machine.record_change(self.now, 1, attempt)
        self._register_attempt(attempt, task.offer_count)
        task.offer_count += 1
        timeout = min(left, self._offer_timeout(task, machine))
        self.actions.append(i.Offer(task.ask.request, machine.entry.machine, timeout))
        return True

    def _offer_timeout(self, task: Task, machine: Machine) -> float:
        """Timeout of one offer: observed accept times, and the queue of offers ahead of it at the machine.

        Other schedulers are taken to queue as many offers as this one, times the turns of a round. Offers
        that time out while they are queued would all be made twice. The timeout is doubled where a further
        attempt is not free of risk.
        """
        if task.task_class.effect is Effect.UNSAFE:
            return task.deadline - self.now
        unanswered = sum(not attempt.accepted for attempt in machine.attempts.values())  # includes this one
        queue = unanswered * self.turns_per_round * self.accept_mean
        usual = min(max(self.accept_mean + 4 * self.accept_dev, task.task_class.aim / 4) + queue,
                    task.task_class.aim * 2)
        return (usual if task.task_class.group is Scope.ALL or task.task_class.effect is Effect.SAFE
                else 2 * usual)

    def _register_attempt(self, attempt: Attempt, number: int) -> None:
        key = (attempt.task.ask.request, number)
        self.attempts[key] = attempt.machine.attempts[key] = attempt
        self.services.setdefault(attempt.task.ask.service, Service()).attempts[key] = attempt
        self.tenant_cores[attempt.task.ask.tenant] += attempt.task.ask.cores

    def _give_up(self, task: Task) -> None:
        """Send the final answer: refused only where a retry does no harm, otherwise failed."""
        if (task.open_attempt or task.uncertain_attempt) and task.task_class.effect is not Effect.SAFE:
            self.actions.append(i.Fail(task.ask.request))
        else:
            wait = self.rng.uniform(0.0, min(task.task_class.aim, self.settings.max_retry_after))
            self.actions.append(i.Refuse(task.ask.request, wait))
        del self.tasks[task.ask.request]
