"""Simulates a fleet's schedulers and cold machines: how many offers reach a machine in any window of `fall`.

Every process runs one :class:`~sprucepost.scheduler.Scheduler` with its own number, clock and random seed, and knows of
no other process. A machine starts cold at a random time, and each process is notified of it after a delay of its own.
Offers count when they *arrive*: after the delay between decision and write, a late connection and the network. The same
seed gives the same run.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from sprucepost import interface as i
from sprucepost.membership import Generation, Side, assign_slot
from sprucepost.scheduler import Scheduler
from sprucepost.simulation.cold_conditions import ColdStart, Conditions, MachineIncarnation
from sprucepost.simulation.event_queue import EventQueue

EPOCH_MS = 1_000_000.0  # wall clock at the start of a simulation
LEAD_TIME_FALLS = 1.5  # the first cold start comes so many `fall` later, when no process is new any more
TICK_MS = 2.0
TASK_LEFT_MS = 4000.0
NETWORK_MS = (0.3, 3.0)
DIAL_MS = (0.6, 6.0)
REFUSED_CONNECTION_MS = 2.0
NOTIFICATION_SLACK_MS = 50.0  # the platform's slack on all time limits
SERVICES = 2
ENDLESS_MS = 1e9
AMPLE = 1e6  # cores and memory of a machine: never scarce


def _settings(conditions: Conditions) -> i.Settings:
    """Return the settings that all processes share."""
    return i.Settings(
        number=0,
        n_instances=conditions.size,
        zone=0,
        zones=("a",),
        kinds=(i.MachineKind("std", AMPLE, AMPLE),),
        classes=(i.TaskClass("web", 800.0, 8000.0, i.Effect.SAFE, 1.0),),
        list_mode=i.ListMode.PUSH,
        max_attempts=10**9,
        accepts_cores=1.0,
        accepts_memory=1.0,
        cold_bears=conditions.cold_limit,
        fall=conditions.fall_ms,
        warm_after=20 * conditions.fall_ms,
        ask_every=10_000.0,
        tick=TICK_MS,
        room_in_list=True,
    )


def _entry(name: str, started: float) -> i.MachineEntry:
    return i.MachineEntry(name, i.MachineState.READY, 0, 0, 0, started, AMPLE, AMPLE)


class Address:
    """An address at which machines listen in turn; ``machine`` is None while none does."""

    def __init__(self) -> None:
        self.machine: MachineIncarnation | None = None


class Process:
    """One incarnation of a process."""

    def __init__(self, scheduler: Scheduler, skew_ms: float) -> None:
        self.scheduler, self.skew_ms = scheduler, skew_ms
        self.alive = True
        self.paused_until = 0.0
        # By machine: the start that it knows of, and since when.
        self.notified_starts: dict[str, tuple[float, float]] = {}
        self.attempts: Counter[int] = Counter()  # number of offers, by request
        self.idle: Counter[str] = Counter()  # number of connections without an open offer, by machine


@dataclass(frozen=True)
class Attempt:
    """One offer and the time of its decision."""

    process: Process
    request: int
    number: int
    machine: str
    decided: float


class FleetSimulation(EventQueue):
    """Simulates all processes and machines under the given conditions; :meth:`simulate` runs it to its end."""

    def __init__(
        self, conditions: Conditions, seed: int, scheduler: Callable[[i.Settings, int], Scheduler] = Scheduler
    ) -> None:
        super().__init__()
        self.conditions, self._seed, self._scheduler = conditions, seed, scheduler
        self.rng = random.Random(seed)
        self.now = EPOCH_MS
        self._ramp_start = EPOCH_MS + LEAD_TIME_FALLS * conditions.fall_ms
        self._ramp_end = self._ramp_start + conditions.ramp_falls * conditions.fall_ms
        self._incarnations: list[MachineIncarnation] = []
        self._addresses: dict[str, Address] = {}
        self._processes: dict[int, Process] = {}  # the latest incarnation, by number
        self._running: list[Process] = []
        self._listed: dict[str, i.MachineEntry] = {}  # the list that a process gets when it starts
        self._requests = 0
        self._settings = _settings(conditions)

    def simulate(self) -> list[ColdStart]:
        """Run the simulation; return the result of each incarnation of a cold machine that lasted a whole window."""
        conditions = self.conditions
        for n in range(conditions.machines):
            self._draw_machine(f"m{self._seed}-{n}")
        live = self.rng.sample(range(conditions.size), round(conditions.live_share * conditions.size))
        for number in live:
            self.at(EPOCH_MS + self.rng.uniform(0.0, 50.0), partial(self._start_process, number, conditions.size))
        self._draw_restarts(live)
        self._draw_stalls(live)
        self._draw_demand(live)
        self._draw_resize()
        self.run(self._ramp_end)
        return [
            machine.summary(conditions.fall_ms, conditions.cold_limit, self._ramp_end)
            for machine in self._incarnations
            if min(self._ramp_end, machine.ended) - machine.started >= conditions.fall_ms
        ]

    # Events drawn in advance

    def _within_ramp(self) -> float:
        """Draw a time in the first three fifths of the ramp."""
        return self._ramp_start + self.rng.uniform(0.0, 0.6 * (self._ramp_end - self._ramp_start))

    def _draw_machine(self, name: str) -> None:
        conditions, fall = self.conditions, self.conditions.fall_ms
        self._addresses[name] = Address()
        started = self._ramp_start + (0.0 if conditions.discovery.together else self.rng.uniform(0.0, fall))
        if conditions.discovery.known_before:
            self._listed[name] = _entry(name, 0.0)
        self.at(started, partial(self._start_machine, name, name))
        if conditions.machine_restarts or conditions.address_reused:
            ends = started + self.rng.uniform(0.5, 1.5) * fall
            returns = ends + self.rng.uniform(100.0, fall)
            successor = f"{name}-next" if conditions.address_reused else name
            self.at(ends, partial(self._end_machine, name))
            self.at(returns, partial(self._start_machine, successor, name))

    def _draw_restarts(self, live: list[int]) -> None:
        restarts = self.conditions.restarts
        for number in self.rng.sample(live, round(restarts.share * len(live))):
            for _ in range(restarts.times):
                self.at(self._within_ramp(), partial(self._restart, number))

    def _draw_stalls(self, live: list[int]) -> None:
        delays = self.conditions.delays
        for number in self.rng.sample(live, round(delays.stop_share * len(live))):
            self.at(self._within_ramp(), partial(self._stall, number, self.rng.uniform(*delays.stop_ms)))

    def _draw_demand(self, live: list[int]) -> None:
        """Schedule Poisson arrivals of tasks at the rate of the configured load."""
        demand, conditions = self.conditions.demand, self.conditions
        if demand.load is None:
            return
        weights = [1.0 / (rank + 1) ** demand.skew_exponent for rank in range(len(live))]
        rate = demand.load * conditions.cold_limit * conditions.machines / conditions.fall_ms
        burst = self._within_ramp()
        at = self._ramp_start
        while at < self._ramp_end:
            times = demand.burst_factor if burst <= at < burst + demand.burst_ms else 1.0
            at += self.rng.expovariate(rate * times)
            number = self.rng.choices(live, weights)[0]
            self.at(at, partial(self._submit_to, number))

    def _draw_resize(self) -> None:
        """Schedule a resize that is announced to the old processes before it begins (docs/fleet.md)."""
        size, new_size = self.conditions.size, round(self.conditions.growth * self.conditions.size)
        if new_size == size:
            return
        begins = self._within_ramp()
        generation = Generation(2, new_size, size, begins, ENDLESS_MS, announced=True)
        for number in range(max(size, new_size)):
            side = Side.OLD if number < size else Side.NEW
            self.at(begins + self.rng.uniform(0.0, 200.0), partial(self._change_membership, generation, number, side))

    # Machines

    def _start_machine(self, name: str, address: str) -> None:
        """Start a cold machine at an address; the one that was listed there before is gone."""
        machine = MachineIncarnation(name, self.now)
        self._incarnations.append(machine)
        self._addresses.setdefault(name, self._addresses[address])
        self._addresses[name].machine = machine
        entries = [_entry(name, self.now)]
        if name != address:
            entries.append(replace(self._listed[address], state=i.MachineState.GONE))
        self._listed.update((entry.machine, entry) for entry in entries)
        self._notify_all(tuple(entries))

    def _end_machine(self, name: str) -> None:
        machine = self._addresses[name].machine
        assert machine is not None
        machine.ended, self._addresses[name].machine = self.now, None

    def _notify_all(self, entries: tuple[i.MachineEntry, ...]) -> None:
        discovery = self.conditions.discovery
        for process in self._running:
            at = self.now + (0.0 if discovery.together else self.rng.uniform(*discovery.delay_ms))
            self.at(at, partial(self._do, process, partial(self._notify, process, entries)))
            if self.rng.random() < discovery.out_of_order_share:
                gone = tuple(replace(entry, state=i.MachineState.GONE, started=0.0) for entry in entries)
                at += self.rng.uniform(0.1, 1.0) * self.conditions.fall_ms
                self.at(at, partial(self._do, process, partial(self._notify, process, gone)))
                at += self.rng.uniform(0.0, 200.0)
                self.at(at, partial(self._do, process, partial(self._notify, process, entries)))

    def _notify(self, process: Process, entries: tuple[i.MachineEntry, ...]) -> None:
        for entry in entries:
            if entry.started > process.notified_starts.get(entry.machine, (0.0, 0.0))[0]:
                process.notified_starts[entry.machine] = entry.started, self.now
        self._handle(process, i.MachineList(i.ListKind.DELTA, entries))

    # Processes

    def _start_process(self, number: int, size: int) -> None:
        settings = replace(self._settings, number=number, n_instances=size)
        skew = self.rng.uniform(-self.conditions.skew_ms, self.conditions.skew_ms)
        process = Process(self._scheduler(settings, self.rng.randrange(2**32)), skew)
        self._processes[number] = process
        self._running.append(process)
        process.notified_starts = {name: (entry.started, 0.0) for name, entry in self._listed.items()}
        self._handle(process, i.MachineList(i.ListKind.FULL, tuple(self._listed.values())))
        if self.conditions.demand.load is None:
            for _ in range(SERVICES):
                self._submit(process)

    def _restart(self, number: int) -> None:
        restarts, process = self.conditions.restarts, self._processes.pop(number, None)
        if process is None:  # not running
            return
        size = process.scheduler.settings.n_instances
        self.at(self.now + restarts.overlap_ms, partial(self._kill, process))
        self.at(self.now + self.rng.uniform(*restarts.down_ms), partial(self._start_process, number, size))

    def _kill(self, process: Process) -> None:
        process.alive = False
        self._running.remove(process)

    def _stall(self, number: int, length_ms: float) -> None:
        if (process := self._processes.get(number)) is not None:
            process.paused_until = self.now + length_ms

    def _change_membership(self, generation: Generation, number: int, side: Side) -> None:
        found = assign_slot(generation, number, side, self.now)
        if side is Side.NEW:
            self._start_process(number, generation.size)
        event = i.Membership(found.fleet_size, found.slot if found.slots else 0, found.slots)
        self._handle(self._processes[number], event)

    def _do(self, process: Process, call: Callable[[], None]) -> None:
        """Make the call now, or when the process is no longer stalled."""
        if not process.alive:
            return
        if self.now < process.paused_until:
            self.at(process.paused_until, partial(self._do, process, call))
        else:
            call()

    def _handle(self, process: Process, *events: i.Event) -> None:
        self._do(process, partial(self._decide, process, list(events)))

    def _decide(self, process: Process, events: list[i.Event]) -> None:
        for action in process.scheduler.handle(self.now + process.skew_ms, events):
            if isinstance(action, i.SetTimer):
                self._set_timer(process, action)
            elif isinstance(action, i.Offer):
                self._offer(process, action)

    def _set_timer(self, process: Process, action: i.SetTimer) -> None:
        at = self.now + action.delay
        if at < self._ramp_end:
            self.at(at, partial(self._handle, process, i.TimerFired(action.name)))

    # Tasks

    def _submit_to(self, number: int) -> None:
        if (process := self._processes.get(number)) is not None:
            self._submit(process)

    def _submit(self, process: Process) -> None:
        self._requests += 1
        left = TASK_LEFT_MS if self.conditions.demand.load is not None else ENDLESS_MS
        service = f"s{self._requests % SERVICES}"
        self._handle(process, i.TaskRequest(self._requests, 0, service, 0.01, 0.01, left))

    def _offer(self, process: Process, offer: i.Offer) -> None:
        attempt = Attempt(process, offer.request, process.attempts[offer.request], offer.machine, self.now)
        process.attempts[offer.request] += 1
        written = self.now + self.rng.uniform(*self.conditions.delays.write_ms)
        self.at(written, partial(self._do, process, partial(self._connect, attempt)))
        if self.conditions.demand.load is None:
            self.at(self.now, partial(self._submit, process))

    def _connect(self, attempt: Attempt) -> None:
        """Send an offer on a connection of its own: an idle one, or a new one."""
        idle, delays = attempt.process.idle, self.conditions.delays
        if idle[attempt.machine]:
            idle[attempt.machine] -= 1
            self._write(attempt)
            return
        dial = self.rng.uniform(*DIAL_MS)
        if self.rng.random() < delays.late_dial_share:
            dial += self.rng.uniform(0.0, delays.late_dial_ms)
        self.at(self.now + dial, partial(self._do, attempt.process, partial(self._write, attempt)))

    def _write(self, attempt: Attempt) -> None:
        self.at(self.now + self.rng.uniform(*NETWORK_MS), partial(self._arrive, attempt))

    def _arrive(self, attempt: Attempt) -> None:
        machine = self._addresses[attempt.machine].machine
        if machine is None:
            attempt.process.idle[attempt.machine] = 0
            self.at(self.now + REFUSED_CONNECTION_MS, partial(self._refuse_connection, attempt))
            return
        machine.arrivals.append((self.now, self._was_notified(attempt.process, machine)))
        self.at(self.now + self.rng.uniform(*self.conditions.delays.answer_ms), partial(self._answer, attempt))

    def _was_notified(self, process: Process, machine: MachineIncarnation) -> bool:
        """Return whether the process was notified of this start longer ago than the slack on time limits."""
        started, since = process.notified_starts.get(machine.name, (0.0, 0.0))
        return started >= machine.started and self.now > since + NOTIFICATION_SLACK_MS

    def _refuse_connection(self, attempt: Attempt) -> None:
        ended = i.Outcome(attempt.request, attempt.number, i.Ending.CONNECT_FAILED, False)
        self._handle(attempt.process, ended)

    def _answer(self, attempt: Attempt) -> None:
        attempt.process.idle[attempt.machine] += 1
        accepted = i.Accepted(attempt.request, attempt.number, self.now - attempt.decided)
        ended = i.Outcome(attempt.request, attempt.number, i.Ending.OK, True)
        self._handle(attempt.process, accepted, ended)
