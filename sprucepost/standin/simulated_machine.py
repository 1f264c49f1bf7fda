"""Model of a machine that runs tasks, without I/O and clock: the caller gives the time and the input, and gets events.

- Offers are processed one at a time from a bounded queue.
- Offers are accepted while the requests of all accepted tasks stay within the machine's overcommit factors.
- An offer is answered when it is accepted; only a few tasks start at a time.
- The first start of a program takes several times as long as later ones.
- A cold machine starts tasks more slowly and fails for good when it is overloaded.
- Tasks use more or less than they requested; busy cores degrade service, and a memory shortage evicts tasks.
- A drain keeps the tasks or sends them away.
- A key group holds one copy of each keyed task.

Times are in ms, cores and memory in the units of the cluster's settings.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from functools import partial

from sprucepost.loop import Rng
from sprucepost.standin.key_group import KeyGroup
from sprucepost.standin.machine_types import (
    AttemptId,
    ClassModel,
    EndKind,
    LoadReport,
    MachineEvent,
    MachineModel,
    MachineState,
    Offer,
    OfferAnswered,
    Reason,
    Task,
    TaskEnded,
    TaskStarted,
    TaskUse,
)

DEFAULT_LIFETIME_MS = 20_000.0
USE_REPORT_MS = 1000.0  # interval between two reports of a task's use
FALL_REFERENCE_START_MS = 40.0  # start time from which the load that a cold machine withstands is computed
CORES_USE_SIGMA, MEMORY_USE_SIGMA = 0.2, 0.05  # sigma of each redraw of a task's use
MAX_EXTRA_MEMORY_FACTOR = 1.5  # cap on the factor by which extra use raises a task's memory
MEMORY_SHORTAGE_FROM, MEMORY_SHORTAGE_SPAN = (
    0.92,
    0.08,
)  # share of the memory from which service degrades, and the span to the full loss
MEMORY_SHORTAGE_LOSS = 0.7  # share of their service that tasks lose at full shortage
REPORTED_SERVICE_BELOW, REPORTED_MEMORY_ABOVE = 0.95, 0.85


class SimulatedMachine:
    """One machine. ``on_event`` is called with each event at the time at which it happens."""

    def __init__(
        self,
        model: MachineModel,
        rng: Rng,
        on_event: Callable[[MachineEvent], None],
        group: Callable[[ClassModel], KeyGroup] | None = None,
    ) -> None:
        self.model, self._rng, self._emit = model, rng, on_event
        own = KeyGroup()
        self._group = group or (lambda cls: own)
        self.state = MachineState.READY
        self.started = 0.0
        self.slow = 1.0  # factor on the duration of admissions and starts
        self.fallen = False
        self.deaf_class: str | None = None  # offers of this class are not answered
        self.extra_use: dict[str, float] = {}  # factor on use, by service name or "class:NAME"
        self.tasks: dict[AttemptId, Task] = {}
        self._queue: deque[Offer] = deque()
        self._starting: dict[AttemptId, Task] = {}
        self._waiting: deque[Task] = deque()
        self._cached_programs: dict[str, float] = {}  # program by service, kept after its last task ended, oldest first
        self._timers: list[tuple[float, int, Callable[[float], None]]] = []
        self._timer_count = 0
        self._is_admitting = False
        self._cold_offers: deque[float] = deque()  # arrival times of offers while cold
        self._report: tuple[float, LoadReport] | None = None
        self.offers_in_fall = 0  # the largest number of offers in any window of fall_ms while cold

    # Time

    def next_due(self) -> float | None:
        """Return the time of the next timer, None if there is none."""
        return self._timers[0][0] if self._timers else None

    def advance(self, now: float) -> None:
        """Run all timers that are due by ``now``, in order."""
        while self._timers and self._timers[0][0] <= now:
            at, _, call = heapq.heappop(self._timers)
            call(at)

    def _schedule(self, when: float, call: Callable[[float], None]) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, call))

    # Start and stop

    def up(self, now: float, cold: bool = True) -> None:
        """Start without tasks; not ``cold`` means that the machine has been up since before the simulation began."""
        self.down()
        self.state, self.fallen = MachineState.READY, False
        self.started = now if cold else 0.0
        self._cold_offers.clear()
        self.offers_in_fall = 0

    def down(self) -> None:
        """Stop at once: all tasks are dropped without an event."""
        for task in [*self.tasks.values()]:
            task.has_ended = True
            if task.offer.cls.keyed:
                self._group(task.offer.cls).task_ended(task, False)
        self.state = MachineState.DOWN
        self.tasks.clear()
        self._queue.clear()
        self._starting.clear()
        self._waiting.clear()
        self._cached_programs.clear()
        self._timers.clear()
        self._is_admitting = False
        self._report = None
        self.slow, self.deaf_class = 1.0, None

    def drain(self, now: float) -> None:
        """Refuse new tasks; running ones go on or are sent away, as ``sends_away`` says."""
        if self.state is MachineState.READY:
            self.state = MachineState.DRAINING
            if self.model.sends_away:
                for task in list(self.tasks.values()):
                    self.end(task, EndKind.LOST, now, Reason.SENT_AWAY)

    # Load

    def requested(self) -> tuple[float, float]:
        """Return the cores and memory that accepted tasks request."""
        offers = [task.offer for task in self.tasks.values()]
        return sum(o.cores for o in offers), sum(o.memory for o in offers)

    def used(self) -> tuple[float, float]:
        """Return the cores and memory that running tasks use."""
        running = [task.use for task in self.tasks.values() if task.running]
        return sum(cores for cores, _ in running), sum(memory for _, memory in running)

    def busy(self) -> float:
        """Return the share of the cores that tasks and starts use."""
        return (self.used()[0] + len(self._starting)) / self.model.cores

    def report(self, now: float) -> LoadReport:
        """Return the load report, at most ``report_ms`` old."""
        if self._report is None or now - self._report[0] >= self.model.report_ms:
            cores, memory = self.requested() if self.model.report_counts == "asked" else self.used()
            waiting = len(self._queue) + len(self._waiting) + len(self._starting)
            self._report = (
                now,
                LoadReport(self.model.cores - cores, self.model.memory - memory, min(1.0, self.busy()), float(waiting)),
            )
        return self._report[1]

    def pace(self, now: float) -> float:
        """Return the share of the full speed of starts, which grows linearly while a cold machine warms up."""
        if not self.started or not self.model.warm_ms:
            return 1.0
        share = min(1.0, (now - self.started) / self.model.warm_ms)
        return self.model.cold_from + (1.0 - self.model.cold_from) * share

    # Offers

    def offer(self, offer: Offer, now: float) -> None:
        """Queue an offer that has arrived, or refuse it if the queue is full."""
        if self.state is MachineState.DOWN or self.fallen:
            return
        if self._record_cold_offer(now):
            return
        if offer.cls.name == self.deaf_class:
            return
        if offer.attempt_id in self.tasks or any(waiting.attempt_id == offer.attempt_id for waiting in self._queue):
            return
        offer.arrived = now
        if len(self._queue) >= self.model.admit_queue:
            self._emit(OfferAnswered(offer.attempt_id, Reason.QUEUE_FULL))
            return
        self._queue.append(offer)
        self._schedule_admission(now)

    def _record_cold_offer(self, now: float) -> bool:
        """Count an offer to a cold machine, and return whether the machine has failed. Beyond the load that it
        withstands it fails and stays down."""
        model = self.model
        if not self.started or now >= self.started + model.warm_ms:
            return False
        self._cold_offers.append(now)
        while self._cold_offers[0] <= now - model.fall_ms:
            self._cold_offers.popleft()
        self.offers_in_fall = max(self.offers_in_fall, len(self._cold_offers))
        sustainable_offers = (
            model.fall_multiple
            * self.pace(now)
            * model.starts
            * model.fall_ms
            / (FALL_REFERENCE_START_MS * model.setup)
        )
        if len(self._cold_offers) > max(model.cold_bears, sustainable_offers):
            self.fallen = True
            self.down()
        return self.fallen

    def _schedule_admission(self, now: float) -> None:
        if not self._is_admitting and self._queue:
            self._is_admitting = True
            self._schedule(now + self.model.admit_ms * self.slow, self._admit_next)

    def _admit_next(self, now: float) -> None:
        self._is_admitting = False
        if self._queue:
            offer = self._queue.popleft()
            reason = self._refusal(offer, now)
            if reason is None:
                self._accept(offer, now)
            else:
                self._emit(OfferAnswered(offer.attempt_id, reason))
        self._schedule_admission(now)

    def _refusal(self, offer: Offer, now: float) -> Reason | None:
        model = self.model
        late = now - offer.arrived > offer.wait_ms
        if self.state is not MachineState.READY or late or offer.cls.kind not in (None, model.kind):
            return Reason.NOT_HERE
        if offer.cls.keyed and self._group(offer.cls).has_copy(offer.name, now):
            return Reason.NOT_HERE
        cores, memory = self.requested()
        over_cores = cores + offer.cores - model.accepts_cores * model.cores
        over_memory = memory + offer.memory - model.accepts_memory * model.memory
        if over_cores <= 0 and over_memory <= 0:
            return None
        if model.preempts and self._preempt(offer, over_cores, over_memory, now):
            return None
        return Reason.NO_CORES if over_cores > 0 else Reason.NO_MEMORY

    def _preempt(self, offer: Offer, cores: float, memory: float, now: float) -> bool:
        """Preempt tasks of lower priority, the lowest and largest first, if that frees enough; return whether it
        did."""
        lower = [task for task in self.tasks.values() if task.offer.cls.priority < offer.cls.priority]
        lower.sort(key=lambda task: (task.offer.cls.priority, -task.offer.cores, task.offer.attempt_id))
        chosen: list[Task] = []
        for task in lower:
            if cores <= 0 and memory <= 0:
                break
            chosen.append(task)
            cores, memory = cores - task.offer.cores, memory - task.offer.memory
        if cores > 0 or memory > 0:
            return False
        for task in chosen:
            self.end(task, EndKind.LOST, now, Reason.PUSHED_OUT)
        return True

    def _accept(self, offer: Offer, now: float) -> None:
        task = Task(offer, now)
        cls = offer.cls

        def spread(mean: float, sigma: float) -> float:
            return mean * math.exp(self._rng.gauss(-sigma * sigma / 2, sigma))

        task.factor = spread(cls.cores_use, cls.use_sigma), spread(cls.memory_use, cls.use_sigma / 2)
        self.tasks[offer.attempt_id] = task
        if cls.keyed:
            self._group(cls).add(task, lambda at: self.end(task, EndKind.UNCLAIMED, at), now)
        self._emit(OfferAnswered(offer.attempt_id, None))
        self._waiting.append(task)
        self._start_next(now)

    # Tasks

    def _start_next(self, now: float) -> None:
        while self._waiting and len(self._starting) < self.model.starts:
            task = self._waiting.popleft()
            if task.has_ended:
                continue
            self._starting[task.offer.attempt_id] = task
            service = task.offer.service
            has_program = service in self._cached_programs or any(
                other.offer.service == service and other.running for other in self.tasks.values()
            )
            work = task.offer.cls.work_ms * (1.0 if has_program else self.model.setup)
            contention = max(1.0, self.busy())
            start_ms = work * self.slow * contention / self.pace(now)
            self._schedule(now + start_ms, partial(self._start_completed, task))

    def _start_completed(self, task: Task, now: float) -> None:
        self._starting.pop(task.offer.attempt_id, None)
        if not task.has_ended:
            task.running = True
            self._cached_programs.pop(task.offer.service, None)
            lifetime_ms = task.offer.life_ms or DEFAULT_LIFETIME_MS
            task.until = now + lifetime_ms
            self._schedule(task.until, lambda at: self.end(task, EndKind.DONE, at))
            self._draw_use(task, now)
            self._emit(TaskStarted(task.offer.attempt_id))
            self._schedule(now + USE_REPORT_MS, lambda at: self._report_use(task, at))
        self._start_next(now)

    def _draw_use(self, task: Task, now: float) -> None:
        """Redraw the task's use, schedule the next redraw, and evict tasks if memory has run out."""
        if task.has_ended:
            return
        offer, cls = task.offer, task.offer.cls
        extra = self.extra_use.get(offer.service, 1.0) * self.extra_use.get(f"class:{cls.name}", 1.0)
        cores_swing = math.exp(self._rng.gauss(0.0, CORES_USE_SIGMA))
        cores = min(task.factor[0] * cores_swing * extra, cls.burst)
        memory_swing = math.exp(self._rng.gauss(0.0, MEMORY_USE_SIGMA))
        memory = min(task.factor[1] * memory_swing * min(extra, MAX_EXTRA_MEMORY_FACTOR), cls.memory_burst)
        task.use = offer.cores * cores, offer.memory * memory
        self._schedule(now + self.model.change_ms * self._rng.uniform(0.7, 1.3), lambda at: self._draw_use(task, at))
        self._evict(now)

    def redraw(self, now: float) -> None:
        """Redraw the use of all running tasks after a change of ``extra_use``."""
        for task in list(self.tasks.values()):
            if task.running:
                self._draw_use(task, now)

    def _evict(self, now: float) -> None:
        while self.used()[1] > self.model.memory:
            running = [task for task in self.tasks.values() if task.running]
            victim = min(
                running,
                key=lambda t: (t.offer.cls.priority, t.offer.memory - t.use[1], t.offer.attempt_id),
                default=None,
            )
            if victim is None:
                return
            self.end(victim, EndKind.LOST, now, Reason.EVICTED)

    def served(self, cls: ClassModel) -> float:
        """Return the share of full service that a running task of this class gets."""
        contention_share = 1.0 if self.busy() <= cls.calm else max(0.0, 1.0 - (self.busy() - cls.calm) / cls.fade)
        memory = self.used()[1] / self.model.memory
        shortage = min(1.0, max(0.0, (memory - MEMORY_SHORTAGE_FROM) / MEMORY_SHORTAGE_SPAN))
        return contention_share * (1.0 - MEMORY_SHORTAGE_LOSS * shortage)

    def _report_use(self, task: Task, now: float) -> None:
        if task.has_ended:
            return
        share, memory = self.served(task.offer.cls), self.used()[1] / self.model.memory
        self._emit(
            TaskUse(
                task.offer.attempt_id,
                task.use[0],
                task.use[1],
                share if share < REPORTED_SERVICE_BELOW else None,
                memory if memory > REPORTED_MEMORY_ABOVE else None,
            )
        )
        self._schedule(now + USE_REPORT_MS, lambda at: self._report_use(task, at))

    def end(self, task: Task, kind: EndKind, now: float, reason: Reason = Reason.UNTOLD) -> None:
        """End a task, free its resources and start the next waiting one."""
        if task.has_ended:
            return
        task.has_ended = True
        offer = task.offer
        self.tasks.pop(offer.attempt_id, None)
        self._starting.pop(offer.attempt_id, None)
        if offer.cls.keyed:
            self._group(offer.cls).task_ended(task, kind is EndKind.DONE)
        if not any(other.offer.service == offer.service for other in self.tasks.values()):
            self._cached_programs.pop(offer.service, None)
            self._cached_programs[offer.service] = now
            while len(self._cached_programs) > self.model.kept:
                del self._cached_programs[next(iter(self._cached_programs))]
        self._emit(TaskEnded(offer.attempt_id, kind, reason))
        self._start_next(now)

    # Messages of placers about their attempts

    def withdraw(self, attempt_id: AttemptId, now: float) -> None:
        """Drop the queued offer or stop the task."""
        self._queue = deque(offer for offer in self._queue if offer.attempt_id != attempt_id)
        task = self.tasks.get(attempt_id)
        if task is not None:
            self.end(task, EndKind.STOPPED, now)

    def unclaim(self, attempt_id: AttemptId, now: float) -> None:
        """Mark the task as released by its placer: it stops after ``unclaimed_ms`` unless it is adopted before."""
        task = self.tasks.get(attempt_id)
        if task is not None and task.claimed:
            task.claimed = False

            def stop(at: float) -> None:
                if not task.claimed:
                    self.end(task, EndKind.UNCLAIMED, at)

            self._schedule(now + self.model.unclaimed_ms, stop)

    def adopt(self, attempt_id: AttemptId, new_id: AttemptId) -> bool:
        """Give a task the identity of another attempt; False if there is no such task."""
        task = self.tasks.pop(attempt_id, None)
        if task is None:
            return False
        task.offer.attempt_id, task.claimed = new_id, True
        self.tasks[new_id] = task
        if attempt_id in self._starting:
            self._starting[new_id] = self._starting.pop(attempt_id)
        return True

    def held(self, number: int) -> list[Task]:
        """Return the tasks that came from a placer number."""
        return [task for task in self.tasks.values() if task.offer.attempt_id[0] == number]
