"""The decisions of sprucepost. Settings, events and actions: ``sprucepost/interface.py``.

Mechanism (ordinary path). Each service holds a ranking of machines, its target first. Time is cut into
intervals; in the interval whose index modulo N is this scheduler's number, it revises the rankings of its
services. A revision takes the first CANDIDATES machines that pass the filters, in an order of the service's
own that all schedulers share, and ranks them by the larger of the cores and memory shares asked for (late
view plus own later changes) after the expected binds of one interval, plus BETA on overflow of what the
machine accepts, at random among near-best. Between turns a task goes to the first ranked that passes. All
else here is a filter or a bounded penalty on that path, or keeps one of the rules.
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
from sprucepost.interface import Effect, Ending, Reason, Scope

INTERVAL_MS = 2000.0  # ms between two turns: about what the view lags, so a turn sees the last one's binds
MAX_TURNS_PER_ROUND = 4  # several schedulers in each: a longer round would revise nothing in time
BETA = 120.0  # cost of one whole machine of overflow: any overflow outranks every other difference
COST_JITTER = 0.06  # share within which machines are equally good: wider than a task, narrower than a trend
VIEW_LAG = 2500.0  # ms until list or report shows a bind (accept, refresh, delivery) and notes come again
SUSPICION_MS = 1000.0  # ms of suspicion, doubled for each silence before; four times that if surely lost
SUSPECT_MOST = 4000.0  # ms, likewise: a machine that is back is tried again within this
RECHECK = 100.0  # ms between looks for room for a held task: well inside any aim, cheap enough
STRAIN_COST = 0.3  # most that strain adds to a share: enough to steer away, never to outrank overflow
START_COST = 0.05  # share that each own task still waiting to start on the machine counts as
USE_NOTES = 200.0  # notes over which the use of what tasks ask for is learned: several hundred come a minute
HEADROOM = 0.9  # share of a machine's memory to plan for: above it all tasks slow, at 1 it evicts
CANDIDATES = 4  # machines compared for a service: few keep its program, several leave asked room a choice
LIST_CALL_MS = 15.0  # ms of the list's time to leave for each scheduler's call, so that they do not storm it
CANDIDATE_PENALTY = 0.2  # share by which one must be emptier than the one before: part of a start's cost
SLICE = 2000  # machines looked at in one call at most, some 5 us each: a longer one keeps events waiting
MEMORY_TIGHT = 0.85  # share of a machine's memory in use from which it counts as strained


@dataclass
class Machine:
    """One machine as this scheduler sees it: shut up to a priority, doubted for a class (silences, until)."""
    entry: i.MachineEntry
    started: float = 0.0
    room: tuple[float, float] | None = None
    pending_changes: deque[tuple[float, int, Attempt]] = field(default_factory=deque)  # own binds, ends
    pending_totals: list[float] = field(default_factory=lambda: [0.0, 0.0])  # their cores and memory
    tidy_at: int = 64  # length of the ledger at which pairs are looked for
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    answer_times: deque[float] = field(default_factory=deque)  # when each offer of late had its answer
    suspicions: dict[int, tuple[int, float]] = field(default_factory=dict)
    shut: dict[float, float] = field(default_factory=dict)
    strain: tuple[float, float] = (0.0, 0.0)

    def count(self, sign: int, attempt: Attempt) -> None:
        self.pending_totals[0] += sign * attempt.task.ask.cores
        self.pending_totals[1] += sign * attempt.task.ask.memory

    def cut(self, before: float) -> None:
        """A newer view has what is that old."""
        while self.pending_changes and self.pending_changes[0][0] <= before:
            _, sign, attempt = self.pending_changes.popleft()
            self.count(-sign, attempt)
        if not self.pending_changes:
            self.pending_totals = [0.0, 0.0]  # whatever rounding has left

    def enter(self, at: float, sign: int, attempt: Attempt) -> None:
        """An own bind or end that the late view lacks. Where no newer view comes (no list, reports that do
        not tell what is asked) nothing cuts the ledger: a bind and its end older than the lag cancel out."""
        self.pending_changes.append((at, sign, attempt))
        self.count(sign, attempt)
        if len(self.pending_changes) >= self.tidy_at:
            ended = {entry[2] for entry in self.pending_changes if entry[1] < 0 and entry[0] <= at - VIEW_LAG}
            pairs = ended.intersection(entry[2] for entry in self.pending_changes if entry[1] > 0)
            self.keep(entry for entry in self.pending_changes if entry[2] not in pairs)
            self.tidy_at = 64 + 2 * len(self.pending_changes)

    def keep(self, entries: Iterable[tuple[float, int, Attempt]]) -> None:
        """Only these entries, and their sums, which every look at the machine's room takes."""
        self.pending_changes, self.pending_totals = deque(entries), [0.0, 0.0]
        for _, sign, attempt in self.pending_changes:
            self.count(sign, attempt)


@dataclass
class Service:
    """One service: its held ranking, and the requests since it was last revised."""
    ranking: list[Machine] = field(default_factory=list)
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    asked: int = 0
    last: i.TaskRequest | None = None


@dataclass
class Task:
    """One request from its arrival until its end."""
    ask: i.TaskRequest
    cls: i.TaskClass
    deadline: float
    sent: int = 0
    out: Attempt | None = None
    may_run: Attempt | None = None


@dataclass(eq=False)
class Attempt:
    """One offer of a task to a machine, until its outcome."""
    task: Task
    machine: Machine
    sent: float
    accepted: bool = False
    running: bool = False


class Scheduler:
    """The decisions of one instance. Feed ``handle`` with events; carry out the actions that it returns."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.born = -math.inf
        self.actions: list[i.Action] = []
        self.machines: dict[str, Machine] = {}
        self.services: dict[str, Service] = {}
        self.machine_orders: dict[str, tuple[int, array[float], list[Machine]]] = {}  # moves, places
        self.order_changes: list[tuple[str, int]] = []  # who came, went or changed kind, and the kind before
        self.forgotten = 0  # so many moves more before those
        self.tasks: dict[int, Task] = {}  # those without a final answer
        self.to_place: list[Task] = []  # those to find a machine for now
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.accept_mean = min(cls.aim for cls in settings.classes) / 4
        self.accept_dev = self.accept_mean / 4
        size = settings.n_instances
        self.membership = i.Membership(size, settings.number % size, size)
        self.seated = -math.inf
        self.turns_per_round = min(size, MAX_TURNS_PER_ROUND)
        self.accepts = 1
        self.held = [0.0] * max(1, len(settings.tenants))  # cores of own tasks, by tenant
        self.use = [0.5, 0.5]  # share of the cores and memory asked for that own tasks use
        self.list_failures = 0
        self.looking = False
        self.work = 0  # machines looked at in this call
        self.unrevised: list[str] = []  # services that this turn has still to revise, the next one last
        self.no_room: set[str] = set()  # services just found without room
        self.more = False  # whether a timer will call for the rest
        self.on: dict[type, Callable[[Any], object]] = {
            i.TaskRequest: self._on_request, i.TaskFound: self._on_found, i.Accepted: self._on_accepted,
            i.StatusNote: self._on_note, i.Outcome: self._on_outcome, i.MachineList: self._on_list,
            i.TimerFired: self._on_timer, i.Membership: self._on_membership,
            i.RequestAbandoned: lambda event: self.tasks.pop(event.request, None)}

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Take the events of one moment and return what to do, in order."""
        self.now, self.actions, self.work = now, [], 0
        if self.born == -math.inf:
            self.born = now
            self._set_turn()
            if self.settings.list_mode is i.ListMode.ASK:
                self._call_list(0.0)
        for event in events:
            self.on[type(event)](event)
        self._place_waiting()
        self._revise()
        if (self.to_place or self.unrevised) and not self.more:
            self.more = True
            self.actions.append(i.SetTimer(0.0, "more"))
        return self.actions

    # Events

    def _on_request(self, ask: i.TaskRequest) -> None:
        task = Task(ask, self.settings.classes[ask.task_class], self.now + ask.left)
        self.tasks[ask.request] = task
        self.to_place.append(task)
        service = self.services.setdefault(ask.service, Service())
        service.asked, service.last = service.asked + 1, ask
        self.actions.append(i.SetTimer(max(0.0, ask.left - self.settings.tick), f"answer:{ask.request}"))

    def _on_found(self, event: i.TaskFound) -> None:
        task = Task(event.request, self.settings.classes[event.request.task_class], math.inf, 1)
        machine = self.machines.setdefault(event.machine, Machine(i.MachineEntry(event.machine)))
        self._record(Attempt(task, machine, self.now, accepted=True, running=True), 0)

    def _on_accepted(self, event: i.Accepted) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None or attempt.accepted:
            return
        self._answered(attempt.machine)
        attempt.accepted, attempt.running = True, self.settings.runs_when_accepted
        attempt.machine.suspicions.pop(attempt.task.ask.task_class, None)
        self.accepts = min(self.accepts + 1, 16)  # the first few count for more: they may be all there are
        self.accept_dev += (abs(event.elapsed - self.accept_mean) - self.accept_dev) / self.accepts
        self.accept_mean += (event.elapsed - self.accept_mean) / self.accepts
        self.tasks.pop(event.request, None)

    def _on_note(self, event: i.StatusNote) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        kind, asked = event.kind, (attempt.task.ask.cores, attempt.task.ask.memory)
        if kind is i.StatusKind.RUNNING:
            attempt.running = True
        elif kind in (i.StatusKind.CORES_USED, i.StatusKind.MEMORY_USED):
            which = kind - i.StatusKind.CORES_USED
            if asked[which] > 0:
                self.use[which] += (event.value / asked[which] - self.use[which]) / USE_NOTES
        else:
            level = 1 - event.value if kind is i.StatusKind.SERVED_SHARE else (
                (event.value - MEMORY_TIGHT) / (1 - MEMORY_TIGHT))
            attempt.machine.strain = min(max(level, 0.0), 1.0), self.now + VIEW_LAG

    def _on_outcome(self, event: i.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        task, machine = attempt.task, attempt.machine
        for index in (machine.attempts, self.services[task.ask.service].attempts):
            index.pop((event.request, event.attempt))
        self.held[task.ask.tenant] -= task.ask.cores
        if not attempt.accepted:
            self._answered(machine)
        if attempt.accepted and machine.room is not None:
            machine.enter(self.now, -1, attempt)
        else:
            machine.keep(entry for entry in machine.pending_changes if entry[2] is not attempt)
        self._forget_gone(machine)
        task.out = None
        if event.reason is Reason.UNTOLD and event.ending in (
                Ending.TIMEOUT, Ending.CONNECT_FAILED, Ending.RESET):
            self._suspect(attempt, certain=event.ending is Ending.CONNECT_FAILED or attempt.accepted)
        elif event.ending in (Ending.FULL, Ending.RESET):
            machine.suspicions.pop(task.ask.task_class, None)
            self._refused(machine, task, event.reason)
        if event.report is not None and self.settings.report_counts is i.LoadBasis.ASKED:
            self._see_room(machine, event.report.free_cores, event.report.free_memory)
        if event.closed or attempt.accepted:
            self.tasks.pop(event.request, None)
        elif event.request in self.tasks:
            if event.ending not in (Ending.FULL, Ending.CONNECT_FAILED, Ending.VOID) and task.may_run is None:
                task.may_run = attempt
            self.to_place.append(task)

    def _on_list(self, event: i.MachineList) -> None:
        if event.kind is i.ListKind.FAILED:
            self.list_failures += 1
            self._call_list(min(SUSPICION_MS * 2.0 ** (self.list_failures - 1), self.settings.ask_every / 4))
            if self.list_failures == 1:
                self.actions.append(i.Log("list: call failed; going by the old list and own evidence"))
            return
        self.list_failures = 0
        if event.kind is not i.ListKind.DELTA:  # a machine that a whole list does not name is gone
            for name in sorted(self.machines.keys() - {entry.machine for entry in event.entries}):
                self._see_entry(replace(self.machines[name].entry, state=i.MachineState.GONE))
        for entry in event.entries:
            self._see_entry(entry)

    def _see_entry(self, entry: i.MachineEntry) -> None:
        machine = self.machines.setdefault(entry.machine, Machine(i.MachineEntry(entry.machine)))
        gone = i.MachineState.GONE in (machine.entry.state, entry.state)
        if machine.entry.kind != entry.kind or (gone and machine.entry.state is not entry.state):
            self._move(machine.entry)
        machine.entry = entry
        if entry.started > machine.started:
            machine.started, machine.suspicions, machine.shut = entry.started, {}, {}
        if entry.state is i.MachineState.GONE and not self._needed(machine):
            del self.machines[entry.machine]
        elif self.settings.room_in_list:
            self._see_room(machine, entry.free_cores, entry.free_memory)

    def _needed(self, machine: Machine) -> bool:
        """Whether one that has gone is kept: for its tasks, and while it would be cold. A list out of order
        may name it again; what it was sent and when it started still count."""
        return bool(machine.attempts) or self._cold(machine)

    def _forget_gone(self, machine: Machine) -> None:
        """No list names it again, so else it would stay and be ranked for ever."""
        if machine.entry.state is i.MachineState.GONE and not self._needed(machine):
            self.machines.pop(machine.entry.machine, None)
            self._move(machine.entry)

    def _call_list(self, wait: float) -> None:
        """Subscribe at a time drawn from the length of all schedulers' calls: they start together."""
        spread = max(wait / 2, min(LIST_CALL_MS * self.membership.n_instances, self.settings.ask_every / 2))
        self.actions.append(i.SetTimer(wait / 2 + self.rng.uniform(0.0, spread), "list"))

    def _on_timer(self, event: i.TimerFired) -> None:
        word, _, rest = event.name.partition(":")
        if word == "answer":
            if task := self.tasks.get(int(rest)):
                self._give_up(task)
        elif word == "turn":
            self._begin_turn()
            self._set_turn()
        elif word == "list":
            self.actions.append(i.Subscribe())
        elif word == "look":
            self.looking, self.to_place = False, [task for task in self.tasks.values() if task.out is None]
        elif word == "more":
            self.more = False

    def _on_membership(self, event: i.Membership) -> None:
        if (event.slot, event.slots) != (self.membership.slot, self.membership.slots):
            self.seated = self.now  # what the seats before may have spent has to pass first
        self.membership, self.turns_per_round = event, min(event.n_instances, MAX_TURNS_PER_ROUND)

    # What is known of a machine

    def _see_room(self, machine: Machine, cores: float | None, memory: float | None) -> None:
        """Take a newer view of the room; keep own changes only as long as the late view may lack them."""
        if cores is not None and memory is not None:
            machine.room = cores, memory
            machine.cut(self.now - VIEW_LAG)

    def _requested_resources(self, machine: Machine) -> tuple[float, float]:
        """Cores and memory asked for on a machine: the late view and own later changes."""
        if machine.room is None:  # no view at all: the others are taken to do as we do
            own, others = [a.task.ask for a in machine.attempts.values()], self.membership.n_instances
            return sum(ask.cores for ask in own) * others, sum(ask.memory for ask in own) * others
        kind = self.settings.kinds[machine.entry.kind]
        return (kind.cores - machine.room[0] + machine.pending_totals[0],
                kind.memory - machine.room[1] + machine.pending_totals[1])

    def _suspect(self, attempt: Attempt, certain: bool) -> None:
        """Silence of any cause: leave the machine for a while that grows, for that class alone (it may serve
        others), then try it with one offer. A first time-out only says that an answer may be lost, and so
        does a connection that broke under an offer."""
        machine, cls = attempt.machine, attempt.task.ask.task_class
        if attempt.accepted:
            machine.started = max(machine.started, self.now)  # its tasks died with it: cold when it is back
        silences, until = machine.suspicions.get(cls, (0, 0.0))
        if self.now >= until:
            wait = min(SUSPICION_MS * 2.0 ** silences, SUSPECT_MOST) * (4 if certain else bool(silences))
            machine.suspicions[cls] = silences + 1, self.now + wait

    def _refused(self, machine: Machine, task: Task, reason: Reason) -> None:
        """A refusal teaches: no room, or not here, until the view can be newer, or a queue to drain. One that
        sends its tasks away drains, whatever a late list says, until it starts afresh."""
        pauses = {Reason.QUEUE_FULL: 2 * self.accept_mean, Reason.SENT_AWAY: self.settings.warm_after}
        pause = pauses.get(reason, VIEW_LAG)
        level = task.cls.priority if pause == VIEW_LAG and self.settings.preempts else math.inf
        machine.shut[level] = max(machine.shut.get(level, 0.0), self.now + pause)

    def _cold(self, machine: Machine) -> bool:
        return machine.started > 0 and self.now < machine.started + self.settings.warm_after

    def _cold_room(self, machine: Machine) -> bool:
        """Whether a cold machine bears one more offer of ours, refused ones counted too (rule 4). If it bears
        fewer offers than there are schedulers, groups of numbers take turns of a `fall`, a pause between."""
        if not self._cold(machine):
            return True
        fall, bears, seats = self.settings.fall, int(self.settings.cold_bears), self.membership.slots
        late = min(2 * self.settings.tick, fall / 2)  # what may lie between a decision and the wire
        if not bears or (machine.started < self.born and self.now < self.born + fall):
            return False  # an earlier life of this scheduler may have spent the allowance
        if not seats or self.now < self.seated + 2 * fall:
            return False  # the others take other seats at their own clocks' time: up to a `fall` apart
        groups = math.ceil(seats / bears)
        turn, between = divmod(math.floor(self.now / fall) + zlib.crc32(machine.entry.machine.encode()), 2)
        ends = self.now % fall > fall - late
        if groups > 1 and (between or ends or self.membership.slot % groups != turn % groups):
            return False
        share = bears // seats
        if self.now < machine.started + fall + VIEW_LAG:  # who has not been told yet adds up to half of ours
            share = min(share, round((bears + 2 * math.sqrt(bears) + 2) / 1.5 / seats))
        pending = sum(not attempt.accepted for attempt in machine.attempts.values())
        return pending + sum(at > self.now - fall - late for at in machine.answer_times) < max(1, share)

    def _answered(self, machine: Machine) -> None:
        """An offer was answered or given up: it reached the machine by now, if it did at all."""
        while machine.answer_times and machine.answer_times[0] <= self.now - 2 * self.settings.fall:
            machine.answer_times.popleft()
        machine.answer_times.append(self.now)

    def _looks_fit(self, machine: Machine, task: Task, push: bool) -> bool:
        """:meth:`_fits`, counted."""
        self.work += 1
        return self._fits(machine, task, push)

    def _fits(self, machine: Machine, task: Task, push: bool = False) -> bool:
        """The filters: list, kind, room, refusals, suspicion, cold allowance, spread and key group."""
        cls, ask = task.cls, task.ask
        if machine.entry.state is not i.MachineState.READY or cls.kind not in (-1, machine.entry.kind):
            return False
        if any(cls.priority <= level and self.now < until for level, until in machine.shut.items()):
            return False
        if not self._cold_room(machine):
            return False
        until = machine.suspicions.get(ask.task_class, (0, 0.0))[1]
        if until and (self.now < until or any(not a.accepted for a in machine.attempts.values())):
            return False
        cores, memory = self._requested_resources(machine)
        kind = self.settings.kinds[machine.entry.kind]
        # What the machine accepts, or less where the seen use says that so much would starve or evict tasks.
        bears = (min(self.settings.accepts_cores, max(1.0, (cls.calm + cls.fade) / self.use[0])),
                 min(self.settings.accepts_memory, max(1.0, HEADROOM / self.use[1])))
        over = cores + ask.cores > kind.cores * bears[0] or memory + ask.memory > kind.memory * bears[1]
        if over and not push:
            return False
        if (task.may_run is not None and cls.effect is not Effect.SAFE
                and not machine.entry.shares_scope(cls.group, task.may_run.machine.entry)):
            return False
        held = self.services[ask.service].attempts.values()
        return cls.spread is Scope.NONE or cls.most > sum(
            machine.entry.shares_scope(cls.spread, a.machine.entry) for a in held)

    # The ordinary path

    def _set_turn(self) -> None:
        index = math.floor(self.now / INTERVAL_MS) + 1
        index += (self.settings.number - index) % self.turns_per_round
        self.actions.append(i.SetTimer(index * INTERVAL_MS - self.now, "turn"))

    def order_key(self, service: str, machine: str, kind: int) -> float:
        """Where a machine stands in a service's order: by chance, larger ones more often in front."""
        digest = hashlib.blake2b(f"{service} {machine}".encode(), digest_size=6).digest()
        return -math.log((int.from_bytes(digest, "big") + 1) / 2**48) / self.settings.kinds[kind].cores

    def _move(self, entry: i.MachineEntry) -> None:
        """Its place in the orders has to be looked at; those that were not used for long are made anew."""
        self.order_changes.append((entry.machine, entry.kind))
        if len(self.order_changes) > 64 + 2 * len(self.machines):
            self.forgotten += (cut := len(self.order_changes) // 2)
            del self.order_changes[:cut]

    def machine_order(self, name: str) -> list[Machine]:
        """All machines, in an order the same at every scheduler: its first few keep the program, whose first
        start costs several times the next, and the gap that a late view shows to all is not filled by all.
        Only who has moved is placed anew: all machines for hundreds of services would stop us for seconds."""
        till = self.forgotten + len(self.order_changes)
        seen, places, machines = self.machine_orders.get(name, (-1, array("d"), []))
        if seen == till:
            return machines
        if seen < self.forgotten:
            self.work += len(self.machines)
            placed = sorted((self.order_key(name, m.entry.machine, m.entry.kind), m.entry.machine)
                            for m in self.machines.values())
            places, machines = array("d", [at for at, _ in placed]), [self.machines[key] for _, key in placed]
        else:
            moved = dict(reversed(self.order_changes[seen - self.forgotten:]))  # as it was at first
            self.work += len(moved)
            for key, kind in moved.items():
                machine = self.machines.get(key)
                at = bisect_left(places, place := self.order_key(name, key, kind))
                if at < len(places) and machines[at].entry.machine == key:
                    if machine is not None and machine.entry.kind == kind:
                        machines[at] = machine
                        continue
                    del places[at], machines[at]
                if machine is not None:
                    if machine.entry.kind != kind:
                        at = bisect_left(places, place := self.order_key(name, key, machine.entry.kind))
                    places.insert(at, place)
                    machines.insert(at, machine)
        self.machine_orders[name] = till, places, machines
        return machines

    def _rank(self, task: Task, push: bool = False) -> list[Machine]:
        """The first of the service's order that pass the filters, cheapest first, near ones at random."""
        order = self.machine_order(task.ask.service)
        passing = (machine for machine in order if self._looks_fit(machine, task, push))
        fit = list(islice(passing, CANDIDATES))
        expected = max(1.0, self.services[task.ask.service].asked / self.turns_per_round)
        costs = [self._cost(machine, task, expected) + CANDIDATE_PENALTY * n for n, machine in enumerate(fit)]
        average = sum(costs) / max(1, len(costs))  # for cold ones: empty because they are new, not good
        costs = [max(cost, average * self._cold(machine)) + self.rng.uniform(0.0, COST_JITTER)
                 for cost, machine in zip(costs, fit, strict=True)]
        return [fit[n] for n in sorted(range(len(fit)), key=costs.__getitem__)]

    def _cost(self, machine: Machine, task: Task, expected: float) -> float:
        kind, (cores, memory) = self.settings.kinds[machine.entry.kind], self._requested_resources(machine)
        cores = (cores + expected * task.ask.cores) / kind.cores
        memory = (memory + expected * task.ask.memory) / kind.memory
        overflow = max(0.0, cores - self.settings.accepts_cores, memory - self.settings.accepts_memory)
        starting = START_COST * sum(not attempt.running for attempt in machine.attempts.values())
        strain = STRAIN_COST * machine.strain[0] * (self.now < machine.strain[1])
        return max(cores, memory) + BETA * overflow + starting + strain

    def _begin_turn(self) -> None:
        """Our turn: all services are to be revised; machines that have gone are forgotten."""
        for machine in list(self.machines.values()):
            self._forget_gone(machine)
        self.unrevised = list(reversed(self.services))

    def _revise(self) -> None:
        """Revise services that ask, forget the others; what a call has no time for is done by the next."""
        waiting = {task.ask.service for task in self.tasks.values()} if self.unrevised else set()
        done = 0
        while self.unrevised and (self.work < SLICE or not done):
            name, done = self.unrevised.pop(), done + 1
            if (service := self.services.get(name)) is None:
                continue
            self.work += 1
            service.ranking = []
            if service.asked and service.last is not None:
                cls = self.settings.classes[service.last.task_class]
                service.ranking = self._rank(Task(service.last, cls, 0.0))
                service.asked = 0
            elif not service.attempts and name not in waiting:
                del self.services[name]
                self.machine_orders.pop(name, None)

    def _choose_machine(self, task: Task) -> Machine | None:
        service = self.services[task.ask.service]
        held = next((machine for machine in service.ranking if self._fits(machine, task)), None)
        if held is None and (ranking := self._rank(task)):
            held = ranking[0]
            if task.may_run is None:
                service.ranking = ranking
        if held is None and self.settings.preempts and task.cls.priority > 0:
            # Full for us, but not for a machine that pushes lower priorities out: waiting would lose more.
            held = next(iter(self._rank(task, push=True)), None)
        return held

    def _place_waiting(self) -> None:
        """Place what waits, dearest first; what finds no room is held and looked at again."""
        if not self.to_place:
            return
        due = [t for t in self.to_place if t.ask.request in self.tasks and t.out is None]
        due.sort(key=self._effective_worth, reverse=True)
        self.to_place = []
        for n, task in enumerate(due):
            if self.work >= SLICE:
                self.to_place = due[n:]
                return
            self.work += CANDIDATES
            if task.ask.service in self.no_room or not self._place(task):
                self.no_room.add(task.ask.service)  # alike tasks need not look again
        if self.no_room and not self.looking:
            self.looking = True
            self.actions.append(i.SetTimer(RECHECK, "look"))
        self.no_room = set()

    def _effective_worth(self, task: Task) -> float:
        """Worth of the task, less beyond its tenant's share, as far as own traffic tells."""
        tenants, held = self.settings.tenants, max(0.0, self.held[task.ask.tenant])
        # Few own tasks tell little of all: a tenant is over its quota only where chance does not explain it.
        sure = (held - 2 * math.sqrt(held)) * self.membership.n_instances
        over = tenants and sure > tenants[task.ask.tenant].quota_cores
        return task.cls.worth * (1 + task.cls.priority) * (self.settings.over_share_worth if over else 1.0)

    def _place(self, task: Task) -> bool:
        """Offer the task, or answer it where that is no longer allowed; False where there is no room."""
        spent = task.sent >= self.settings.max_attempts
        if task.may_run is not None and task.cls.effect is not Effect.SAFE:
            window = task.cls.window if task.cls.effect is Effect.KEYED else 0.0
            spent = spent or self.now >= task.may_run.sent + window
        left = task.deadline - self.now - 2 * self.settings.tick
        if spent or left <= 0:
            self._give_up(task)
            return True
        machine = self._choose_machine(task)
        if machine is None:
            return False
        attempt = task.out = Attempt(task, machine, self.now)
        if machine.room is not None:  # without any view there is nothing to correct
            machine.enter(self.now, 1, attempt)
        self._record(attempt, task.sent)
        task.sent += 1
        patience = min(left, self._offer_timeout(task, machine))
        self.actions.append(i.Offer(task.ask.request, machine.entry.machine, patience))
        return True

    def _offer_timeout(self, task: Task, machine: Machine) -> float:
        """Patience with one offer, from seen accept times and the line of offers that the machine has yet to
        look at (others' too, as many as there are turns): given up there, all would be offered twice. More
        where a further attempt is not free."""
        if task.cls.effect is Effect.UNSAFE:
            return task.deadline - self.now
        unanswered = sum(not attempt.accepted for attempt in machine.attempts.values())  # this one included
        line = unanswered * self.turns_per_round * self.accept_mean
        usual = min(max(self.accept_mean + 4 * self.accept_dev, task.cls.aim / 4) + line, task.cls.aim * 2)
        return usual if task.cls.group is Scope.ALL or task.cls.effect is Effect.SAFE else 2 * usual

    def _record(self, attempt: Attempt, number: int) -> None:
        key = (attempt.task.ask.request, number)
        self.attempts[key] = attempt.machine.attempts[key] = attempt
        self.services.setdefault(attempt.task.ask.service, Service()).attempts[key] = attempt
        self.held[attempt.task.ask.tenant] += attempt.task.ask.cores

    def _give_up(self, task: Task) -> None:
        """The final answer: refused only where a retry does no harm, else failed."""
        if (task.out or task.may_run) and task.cls.effect is not Effect.SAFE:
            self.actions.append(i.Fail(task.ask.request))
        else:
            wait = self.rng.uniform(0.0, min(task.cls.aim, self.settings.max_retry_after))
            self.actions.append(i.Refuse(task.ask.request, wait))
        del self.tasks[task.ask.request]
