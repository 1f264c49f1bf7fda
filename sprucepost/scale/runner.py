"""Runs of the scale test: start fleets, wait until they settle, measure one interval, end them; sweeps over sizes.

    from sprucepost.scale.runner import RunOptions, sweep
    results = sweep({"placers": [12, 24, 48]}, base=RunSize(), repeats=3, options=RunOptions())

Events that are too rare for an interval of seconds (changes of configuration, restarts of workers) are triggered at an
accelerated rate, an hour's events in a minute, in an interval of their own after the first. The additional processor time,
divided by :data:`~sprucepost.scale.rare_events.RATE_MULTIPLIER`, is then added to that of the first.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.loop.epoll import EpollLoop
from sprucepost.scale import rare_events, results
from sprucepost.scale.fleet import Fleet, FleetOptions, RealPlacer
from sprucepost.scale.measure import (
    Counters,
    Reading,
    counter_figures,
    memory_mib,
    process_figures,
    read_counters,
    read_process,
    rounded,
    total_cpu_s,
)
from sprucepost.scale.processes import MEMORY_LIMIT_MIB, DoesNotFit, Limits, Needs, ProcessGroup, ScaleError
from sprucepost.scale.results import Point, Results, Sample
from sprucepost.scale.size import VARIABLES, RunSize
from sprucepost.scale.sockets import Ports, Traffic, connections, inodes
from sprucepost.scale.sources import attribution

STEP_S = 0.1
ReportProgress = Callable[[str], None]


class NotSettled(ScaleError):
    """A fleet was not settled in time; the text says what was waited for."""


@dataclass(frozen=True)
class RunOptions:
    """How points are measured."""

    fleet: FleetOptions = field(default_factory=FleetOptions)
    measure_s: float = 6.0
    """A multiple of the period of a quiet view's beats, which are in step with the begin of the interval: the last change of
    the view is a fixed time before both."""
    settle_limit_s: float = 120.0
    points_at_a_time: int = 1
    """Fleets that run beside each other over one interval."""
    seed: int = 1
    plan: str = "default"
    command: str = ""


@dataclass(frozen=True)
class Run:
    """One point to be measured."""

    variable: str
    value: float
    repeat: int
    size: RunSize


def print_progress(text: str) -> None:
    """Progress on a terminal, else nothing."""
    if sys.stderr.isatty():
        print(f"scale: {text}", file=sys.stderr, flush=True)


def sweep(
    sizes: Mapping[str, Sequence[float]],
    base: RunSize,
    repeats: int,
    options: RunOptions,
    report_progress: ReportProgress = print_progress,
) -> Results:
    """Move each variable alone over its sizes, the others as in ``base``; repeats and variables interleaved.

    DoesNotFit before anything is started where one of the runs would not fit the machine. ScaleError where a run fails.
    """
    runs = interleaved_runs(sizes, base, repeats)
    batches = [runs[at : at + options.points_at_a_time] for at in range(0, len(runs), options.points_at_a_time)]
    check(batches, options)
    points: list[Point] = []
    for number, batch in enumerate(batches):
        report_progress(
            f"{number + 1} of {len(batches)}: " + ", ".join(f"{run.variable}={run.value:g}" for run in batch)
        )
        points += measure(batch, options, report_progress)
    return Results(
        format=results.FORMAT,
        version=version(),
        command=options.command or " ".join(sys.argv),
        plan=options.plan,
        seed=options.seed,
        processors=os.cpu_count() or 1,
        points=tuple(points),
        hollow=options.fleet.hollow,
    )


def interleaved_runs(sizes: Mapping[str, Sequence[float]], base: RunSize, repeats: int) -> list[Run]:
    """All runs: a repeat after the other, within it the first size of each variable, then the second. ValueError where a
    variable or a size cannot be."""
    runs = []
    for repeat in range(repeats):
        for position in range(max(map(len, sizes.values()), default=0)):
            for variable, values in sizes.items():
                if position < len(values):
                    runs.append(Run(variable, values[position], repeat, size_with(base, variable, values[position])))
    return runs


def size_with(base: RunSize, variable: str, value: float) -> RunSize:
    """The base size with one variable at that value. Tasks run the shorter the more of them start and the fewer run."""
    if variable not in VARIABLES:
        raise ValueError(f"{variable}: none of {', '.join(VARIABLES)}")
    whole = isinstance(getattr(base, variable), int)
    change: dict[str, Any] = {variable: int(value) if whole else float(value)}
    return replace(base, **change)


def check(batches: Sequence[Sequence[Run]], options: RunOptions) -> None:
    """DoesNotFit where one of the batches takes more than the machine's limits."""
    limits, loop = Limits.of_this_machine(), EpollLoop(options.seed)
    try:
        for batch in batches:
            needs = Needs(1, 0, 0, 0.0)
            for run in batch:
                needs += Fleet(ProcessGroup(Path()), loop, "", run.size, options.fleet).needs()
            limits.check(needs)
    finally:
        loop.close()


def measure(batch: Sequence[Run], options: RunOptions, report_progress: ReportProgress = print_progress) -> list[Point]:
    """The points of some runs, whose fleets stand beside each other. All processes have ended when it returns or raises."""
    loop = EpollLoop(options.seed)
    try:
        with tempfile.TemporaryDirectory(prefix="sprucepost-scale-") as folder, ProcessGroup(Path(folder)) as group:
            fleets = [Fleet(group, loop, f"run{n}", run.size, options.fleet) for n, run in enumerate(batch)]
            settle(fleets, options.settle_limit_s, report_progress)
            check_memory(group)
            intervals = [Interval(fleet) for fleet in fleets]
            report_progress(f"measure for {options.measure_s:g} s")
            pass_interval(intervals, options.measure_s)
            rare = [RareEvents() for _ in fleets]
            for kind in rare_events.KINDS:
                measure_rare(kind, intervals, rare, options.measure_s, report_progress)
            return [point(*each, options) for each in zip(batch, intervals, rare, strict=True)]
    finally:
        loop.close()


def settle(fleets: Sequence[Fleet], limit_s: float, report_progress: ReportProgress) -> None:
    """Start all fleets and wait until each is settled. NotSettled where that takes longer than the limit, ScaleError where a
    process ends."""
    began, said = time.monotonic(), ""
    waiting = {fleet.name: fleet.bring_up() for fleet in fleets}
    while waiting:
        texts = {name: next(steps, None) for name, steps in waiting.items()}
        for fleet in fleets:
            fleet.check_running()
        waiting = {name: waiting[name] for name, text in texts.items() if text is not None}
        first = next((text for text in texts.values() if text is not None), "")
        if waiting and time.monotonic() - began > limit_s:
            raise NotSettled(f"not settled after {limit_s:g} s: {first}")
        if waiting and first.partition(",")[0] != said:
            said = first.partition(",")[0]
            report_progress(f"wait for {first}")
        time.sleep(STEP_S)
    report_progress(f"settled after {time.monotonic() - began:.1f} s")


def check_memory(group: ProcessGroup) -> None:
    """DoesNotFit where the run has grown beyond what was reckoned."""
    used = sum(memory_mib(process.pid) for process in group.processes)
    if used > MEMORY_LIMIT_MIB:
        raise DoesNotFit(f"the run uses {used:.0f} MiB of memory, the limit is {MEMORY_LIMIT_MIB:.0f}")


class Interval:
    """Readings of one fleet at the beginning and the end of an interval."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.before: dict[str, Reading] = {}
        self.after: dict[str, Reading] = {}
        self.counters: dict[str, tuple[Counters, Counters]] = {}
        self._first: dict[str, Counters] = {}
        self.connections: dict[Ports, Traffic] = {}
        self.starts: dict[str, dict[str, Any]] = {}
        self._pids = [process.pid for process in fleet.processes]
        self._run_before = (0.0, 0.0)
        self.run: dict[str, float] = {}
        self._platform_before: dict[str, int] = {}
        self.platform: dict[str, int] = {}

    def begin(self) -> None:
        """Counters first: what reading them costs a placer is not in its processor time."""
        self.fleet.ask(self.fleet.clients[0], "reset")
        self._platform_before = self._platform_counts()
        self._first = self._read_counters()
        self._run_before = time.monotonic(), total_cpu_s(self._pids)
        self.before = self._read(connections())

    def end(self) -> None:
        """The same in the other order. ScaleError where a process has ended meanwhile."""
        self.fleet.check_running()
        self.connections = connections()
        self.after = self._read(self.connections)
        self.run = self._run_figures()
        last = self._read_counters()
        self.counters = {name: (self._first[name], last[name]) for name in last}
        self.starts = self.fleet.ask(self.fleet.clients[0], "result")
        counts = self._platform_counts()
        self.platform = {name: number - self._platform_before.get(name, 0) for name, number in counts.items()}

    def _run_figures(self) -> dict[str, float]:
        """What the whole fleet has taken of the machine."""
        began_s, cpu_before_s = self._run_before
        return {
            "run.processes": float(len(self._pids)),
            "run.memory_mib": sum(map(memory_mib, self._pids)),
            "run.cpu_percent": 100.0 * (total_cpu_s(self._pids) - cpu_before_s) / (time.monotonic() - began_s),
        }

    def _platform_counts(self) -> dict[str, int]:
        platform = self.fleet.platform
        return {} if platform is None else msgspec.convert(self.fleet.ask(platform, "status"), dict[str, int])

    def _read(self, traffic: dict[Ports, Traffic]) -> dict[str, Reading]:
        processes = {placer.name: placer.process for placer in measured(self.fleet)} | {"list": self.fleet.list}
        processes |= {node.name: node.process for node in self.fleet.nodes}
        return {name: read_process(process.pid, traffic) for name, process in processes.items()}

    def _read_counters(self) -> dict[str, Counters]:
        return {placer.name: read_counters(placer.http) for placer in loaded(self.fleet)}

    def cpu_percent(self, placer: RealPlacer) -> float:
        before, after = self.before[placer.name], self.after[placer.name]
        return 100.0 * (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)

    def kinds(self) -> dict[str, float]:
        """Processor time of a loaded placer by kind of work."""
        references = {
            placer.name.removeprefix("reference-"): self.cpu_percent(placer)
            for placer in self.fleet.placers
            if placer.is_reference
        }
        return attribution(references, list(self.loaded_percent().values()))

    def loaded_percent(self) -> dict[str, float]:
        """Processor time of each loaded placer."""
        return {placer.name: self.cpu_percent(placer) for placer in loaded(self.fleet)}


def loaded(fleet: Fleet) -> list[RealPlacer]:
    """The real placers that are measured and no references: the same ones, also where all companions are real."""
    return [placer for placer in fleet.placers if not placer.is_reference][: fleet.options.real_placers]


def measured(fleet: Fleet) -> list[RealPlacer]:
    """The loaded placers and the references."""
    return loaded(fleet) + [placer for placer in fleet.placers if placer.is_reference]


def pass_interval(
    intervals: Sequence[Interval], seconds: float, each_step: Callable[[float], None] | None = None
) -> None:
    """Let an interval pass over all fleets. ``each_step`` is called with the seconds that have passed."""
    for interval in intervals:
        interval.begin()
    began = time.monotonic()
    while (passed := time.monotonic() - began) < seconds:
        if each_step is not None:
            each_step(passed)
        time.sleep(min(STEP_S, seconds - passed))
    for interval in intervals:
        interval.end()


@dataclass
class RareEvents:
    """What rare events cost each loaded placer of a fleet, and what became of them."""

    cpu_percent: dict[str, float] = field(default_factory=dict)
    fleet: dict[str, float] = field(default_factory=dict)


def measure_rare(
    kind: rare_events.Kind,
    quiet: Sequence[Interval],
    rare: Sequence[RareEvents],
    seconds: float,
    report_progress: ReportProgress,
) -> None:
    """Let one more interval pass, with events of that kind, over the fleets that have any."""
    pairs = [(interval, found) for interval, found in zip(quiet, rare, strict=True) if kind.per_day(interval.fleet)]
    if not pairs:
        return
    report_progress(f"measure {kind.name} for {seconds:g} s")
    schedules = [rare_events.Schedule(interval.fleet, kind, seconds) for interval, _ in pairs]
    during = [Interval(interval.fleet) for interval, _ in pairs]

    def step(passed_s: float) -> None:
        for schedule in schedules:
            schedule.step(passed_s)

    pass_interval(during, seconds, step)
    for (before, found), after, schedule in zip(pairs, during, schedules, strict=True):
        additional_s = rare_events.mean_additional_s(before.loaded_percent(), after.loaded_percent(), seconds)
        found.cpu_percent[kind.name] = schedule.percent(additional_s)
        if kind.name == "configuration":
            found.fleet |= rare_events.change_figures(schedule, loaded(before.fleet))


def point(run: Run, interval: Interval, rare: RareEvents, options: RunOptions) -> Point:
    """The figures of a run."""
    kinds = {f"cpu_percent.{kind}": value for kind, value in {**interval.kinds(), **rare.cpu_percent}.items()}
    samples = []
    for placer in loaded(interval.fleet):
        figures = {**placer_figures(interval, placer), **kinds}
        figures["cpu_percent"] += sum(rare.cpu_percent.values())
        samples.append(Sample("placer", placer.name, rounded(figures)))
    lists = process_figures(interval.before["list"], interval.after["list"], lambda _: "list")
    samples.append(Sample("list", "list", rounded(lists)))
    for node in interval.fleet.nodes:
        before, after = interval.before[node.name], interval.after[node.name]
        samples.append(Sample("node", node.name, rounded(process_figures(before, after, node_kinds(interval.fleet)))))
    return Point(
        variable=run.variable,
        size=run.value,
        repeat=run.repeat,
        seed=options.seed,
        seconds=options.measure_s,
        load_average=os.getloadavg()[0],
        samples=tuple(samples),
        fleet=rounded(fleet_figures(interval) | rare.fleet),
    )


def placer_figures(interval: Interval, placer: RealPlacer) -> dict[str, float]:
    """Of one real placer."""
    kind = connection_kinds(interval, placer)
    figures = process_figures(interval.before[placer.name], interval.after[placer.name], kind)
    return {**figures, **counter_figures(*interval.counters[placer.name])}


def connection_kinds(interval: Interval, placer: RealPlacer) -> Callable[[Ports], str]:
    """Which work a connection of that placer is for."""
    fleet = interval.fleet
    remote = {port_of(fleet.list_address): "list"}
    for workers in fleet.workers:
        remote |= {port_of(address): "placements" for address in workers.announcement.addresses}
    for members in fleet.members:
        remote |= {port_of(member.address): "peers" for member in members.announcement.members}
    remote |= {port_of(other.address): "peers" for other in fleet.placers}
    own, clients = port_of(placer.address), client_inodes(fleet)

    def kind(ports: Ports) -> str:
        local, far = ports
        if far in remote:
            return remote[far]
        other_end = interval.connections.get((far, local))
        if local != own or other_end is None:
            return "other"
        return "clients" if other_end.inode in clients else "peers"

    return kind


def node_kinds(fleet: Fleet) -> Callable[[Ports], str]:
    """Which work a connection of a node is for."""
    addresses = fleet.platform.announcement.addresses if fleet.platform is not None else []
    remote = {port_of(address): "placements" for address in addresses[1:]}
    remote |= {port_of(address): "list" for address in addresses[:1]}
    own = {port_of(node.address) for node in fleet.nodes}
    return lambda ports: remote.get(ports[1], "clients" if ports[0] in own else "other")


def client_inodes(fleet: Fleet) -> set[int]:
    """Sockets of all hollow clients."""
    return {inode for hollow in fleet.clients for inode in inodes(hollow.process.pid)}


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


def start_figures(starts: Mapping[str, Mapping[str, Any]]) -> dict[str, float]:
    """Start to running by class of work, and what was refused, late or lost."""
    figures: dict[str, float] = {}
    for name, result in starts.items():
        keys = ("started", "start_p99_ms", "start_worst_ms") if result["started"] else ("started",)
        figures |= {f"{key}.{name}": float(result[key]) for key in keys}
        outcomes = result["outcomes"]
        figures |= {f"outcome.{name}.{outcome.replace(' ', '_')}": float(n) for outcome, n in outcomes.items()}
    return figures


def fleet_figures(interval: Interval) -> dict[str, float]:
    """Of the whole fleet."""
    return {**start_figures(interval.starts), **node_outcomes(interval.platform), **interval.run}


def node_outcomes(counts: Mapping[str, int]) -> dict[str, float]:
    """What was asked of the nodes, and their answers by kind of message."""
    return {f"node.{name}": float(number) for name, number in counts.items()}


def version() -> str:
    """Of the checkout that runs: ``git describe``."""
    command = ["git", "describe", "--always", "--dirty"]
    try:
        found = subprocess.run(command, capture_output=True, text=True, cwd=Path(__file__).parent, check=False)
    except OSError:
        return "unknown"
    return found.stdout.strip() or "unknown"
