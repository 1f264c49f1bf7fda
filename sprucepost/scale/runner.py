"""Runs of the scale test: start fleets, wait until they settle, measure one interval, end them; sweeps over sizes.

    from sprucepost.scale.runner import RunOptions, sweep
    results = sweep({"placers": [12, 24, 48]}, base=RunSize(), repeats=3, options=RunOptions())

Events that are too rare for an interval of seconds (changes of configuration, restarts of workers) are triggered at an
accelerated rate, an hour's events in a minute, in an interval of their own after the first. The additional processor
time, divided by :data:`~sprucepost.scale.rare_events.RATE_MULTIPLIER`, is then added to that of the first.
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

POLL_INTERVAL_S = 0.1
ReportProgress = Callable[[str], None]


class NotSettled(ScaleError):
    """A fleet did not settle in time; the text names what was waited for."""


@dataclass(frozen=True)
class RunOptions:
    """Options of the measurement of points."""

    fleet: FleetOptions = field(default_factory=FleetOptions)
    measure_s: float = 6.0
    """A multiple of the heartbeat period of an idle view.

    Heartbeats are in phase with the start of the interval, since both come a fixed time after the view's last change.
    """
    settle_limit_s: float = 120.0
    points_at_a_time: int = 1
    """Number of fleets that run at the same time over one interval."""
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
    """Print progress to stderr if it is a terminal."""
    if sys.stderr.isatty():
        print(f"scale: {text}", file=sys.stderr, flush=True)


def sweep(
    sizes: Mapping[str, Sequence[float]],
    base: RunSize,
    repeats: int,
    options: RunOptions,
    report_progress: ReportProgress = print_progress,
) -> Results:
    """Vary each variable alone over its sizes, the others as in ``base``; repeats and variables are interleaved.

    Raises DoesNotFit before anything is started if one of the runs does not fit the machine, ScaleError if a run fails.
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
    """All runs, repeat by repeat; a repeat has the first size of each variable, then the second, and so on.

    Raises ValueError for an unknown variable or an invalid size.
    """
    runs = []
    for repeat in range(repeats):
        for position in range(max(map(len, sizes.values()), default=0)):
            for variable, values in sizes.items():
                if position < len(values):
                    runs.append(Run(variable, values[position], repeat, size_with(base, variable, values[position])))
    return runs


def size_with(base: RunSize, variable: str, value: float) -> RunSize:
    """The base size with one variable set to ``value``. Task run time is running tasks divided by starts per second."""
    if variable not in VARIABLES:
        raise ValueError(f"{variable}: none of {', '.join(VARIABLES)}")
    whole = isinstance(getattr(base, variable), int)
    change: dict[str, Any] = {variable: int(value) if whole else float(value)}
    return replace(base, **change)


def check(batches: Sequence[Sequence[Run]], options: RunOptions) -> None:
    """Raise DoesNotFit if one of the batches exceeds the machine's limits."""
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
    """Measure runs whose fleets run at the same time. All processes have ended when it returns or raises."""
    loop = EpollLoop(options.seed)
    try:
        with tempfile.TemporaryDirectory(prefix="sprucepost-scale-") as folder, ProcessGroup(Path(folder)) as group:
            fleets = [Fleet(group, loop, f"run{n}", run.size, options.fleet) for n, run in enumerate(batch)]
            settle(fleets, options.settle_limit_s, report_progress)
            check_memory(group)
            intervals = [Interval(fleet) for fleet in fleets]
            report_progress(f"measure for {options.measure_s:g} s")
            measure_interval(intervals, options.measure_s)
            rare = [RareEvents() for _ in fleets]
            for kind in rare_events.KINDS:
                measure_rare(kind, intervals, rare, options.measure_s, report_progress)
            return [point(*each, options) for each in zip(batch, intervals, rare, strict=True)]
    finally:
        loop.close()


def settle(fleets: Sequence[Fleet], limit_s: float, report_progress: ReportProgress) -> None:
    """Start all fleets and wait until each is settled.

    Raises NotSettled if that takes longer than the limit, ScaleError if a process ends.
    """
    start_s, said = time.monotonic(), ""
    waiting = {fleet.name: fleet.bring_up() for fleet in fleets}
    while waiting:
        texts = {name: next(steps, None) for name, steps in waiting.items()}
        for fleet in fleets:
            fleet.check_running()
        waiting = {name: waiting[name] for name, text in texts.items() if text is not None}
        first = next((text for text in texts.values() if text is not None), "")
        if waiting and time.monotonic() - start_s > limit_s:
            raise NotSettled(f"not settled after {limit_s:g} s: {first}")
        if waiting and first.partition(",")[0] != said:
            said = first.partition(",")[0]
            report_progress(f"wait for {first}")
        time.sleep(POLL_INTERVAL_S)
    report_progress(f"settled after {time.monotonic() - start_s:.1f} s")


def check_memory(group: ProcessGroup) -> None:
    """Raise DoesNotFit if the run uses more memory than the limit."""
    used = sum(memory_mib(process.pid) for process in group.processes)
    if used > MEMORY_LIMIT_MIB:
        raise DoesNotFit(f"the run uses {used:.0f} MiB of memory, the limit is {MEMORY_LIMIT_MIB:.0f}")


class Interval:
    """Readings of one fleet at the start and the end of an interval."""

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
        """Take the first readings; counters come first, so that reading them does not count as processor time."""
        self.fleet.send_order(self.fleet.clients[0], "reset")
        self._platform_before = self._platform_counts()
        self._first = self._read_counters()
        self._run_before = time.monotonic(), total_cpu_s(self._pids)
        self.before = self._read(connections())

    def end(self) -> None:
        """Take the last readings, in the opposite order. Raises ScaleError if a process has ended in the meantime."""
        self.fleet.check_running()
        self.connections = connections()
        self.after = self._read(self.connections)
        self.run = self._run_figures()
        last = self._read_counters()
        self.counters = {name: (self._first[name], last[name]) for name in last}
        self.starts = self.fleet.send_order(self.fleet.clients[0], "result")
        counts = self._platform_counts()
        self.platform = {name: number - self._platform_before.get(name, 0) for name, number in counts.items()}

    def _run_figures(self) -> dict[str, float]:
        """Resources that the whole fleet has used."""
        start_s, cpu_before_s = self._run_before
        return {
            "run.processes": float(len(self._pids)),
            "run.memory_mib": sum(map(memory_mib, self._pids)),
            "run.cpu_percent": 100.0 * (total_cpu_s(self._pids) - cpu_before_s) / (time.monotonic() - start_s),
        }

    def _platform_counts(self) -> dict[str, int]:
        platform = self.fleet.platform
        return {} if platform is None else msgspec.convert(self.fleet.send_order(platform, "status"), dict[str, int])

    def _read(self, traffic: dict[Ports, Traffic]) -> dict[str, Reading]:
        processes = {placer.name: placer.process for placer in measured(self.fleet)} | {"list": self.fleet.list}
        processes |= {node.name: node.process for node in self.fleet.nodes}
        return {name: read_process(process.pid, traffic) for name, process in processes.items()}

    def _read_counters(self) -> dict[str, Counters]:
        return {placer.name: read_counters(placer.http) for placer in loaded(self.fleet)}

    def cpu_percent(self, placer: RealPlacer) -> float:
        """Processor time of a placer over the interval, in per cent of one core."""
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
    """The measured real placers that are no references; the same ones if all placers are real."""
    return [placer for placer in fleet.placers if not placer.is_reference][: fleet.options.real_placers]


def measured(fleet: Fleet) -> list[RealPlacer]:
    """The loaded placers and the references."""
    return loaded(fleet) + [placer for placer in fleet.placers if placer.is_reference]


def measure_interval(
    intervals: Sequence[Interval], seconds: float, each_step: Callable[[float], None] | None = None
) -> None:
    """Measure an interval of all fleets. ``each_step`` is called repeatedly with the elapsed seconds."""
    for interval in intervals:
        interval.begin()
    start_s = time.monotonic()
    while (elapsed_s := time.monotonic() - start_s) < seconds:
        if each_step is not None:
            each_step(elapsed_s)
        time.sleep(min(POLL_INTERVAL_S, seconds - elapsed_s))
    for interval in intervals:
        interval.end()


@dataclass
class RareEvents:
    """Cost of rare events for each loaded placer of a fleet, and figures of their effects."""

    cpu_percent: dict[str, float] = field(default_factory=dict)
    fleet: dict[str, float] = field(default_factory=dict)


def measure_rare(
    kind: rare_events.Kind,
    quiet: Sequence[Interval],
    rare: Sequence[RareEvents],
    seconds: float,
    report_progress: ReportProgress,
) -> None:
    """Measure one more interval with events of that kind in the fleets that have any."""
    pairs = [(interval, found) for interval, found in zip(quiet, rare, strict=True) if kind.per_day(interval.fleet)]
    if not pairs:
        return
    report_progress(f"measure {kind.name} for {seconds:g} s")
    schedules = [rare_events.Schedule(interval.fleet, kind, seconds) for interval, _ in pairs]
    during = [Interval(interval.fleet) for interval, _ in pairs]

    def step(elapsed_s: float) -> None:
        for schedule in schedules:
            schedule.step(elapsed_s)

    measure_interval(during, seconds, step)
    for (before, found), after, schedule in zip(pairs, during, schedules, strict=True):
        additional_s = rare_events.mean_additional_s(before.loaded_percent(), after.loaded_percent(), seconds)
        found.cpu_percent[kind.name] = schedule.percent(additional_s)
        if kind.name == "configuration":
            found.fleet |= rare_events.change_figures(schedule, loaded(before.fleet))


def point(run: Run, interval: Interval, rare: RareEvents, options: RunOptions) -> Point:
    """The figures of a run as a point of the results."""
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
    """Figures of one real placer."""
    kind = connection_kinds(interval, placer)
    figures = process_figures(interval.before[placer.name], interval.after[placer.name], kind)
    return {**figures, **counter_figures(*interval.counters[placer.name])}


def connection_kinds(interval: Interval, placer: RealPlacer) -> Callable[[Ports], str]:
    """Function that gives the kind of work of a connection of the placer."""
    fleet = interval.fleet
    remote = {port_of(fleet.list_address): "list"}
    for workers in fleet.workers:
        remote |= {port_of(address): "placements" for address in workers.announcement.addresses}
    for members in fleet.members:
        remote |= {port_of(member.address): "peers" for member in members.announcement.members}
    remote |= {port_of(other.address): "peers" for other in fleet.placers}
    own, clients = port_of(placer.address), client_inodes(fleet)

    def kind(ports: Ports) -> str:
        local, remote_port = ports
        if remote_port in remote:
            return remote[remote_port]
        other_end = interval.connections.get((remote_port, local))
        if local != own or other_end is None:
            return "other"
        return "clients" if other_end.inode in clients else "peers"

    return kind


def node_kinds(fleet: Fleet) -> Callable[[Ports], str]:
    """Function that gives the kind of work of a connection of a node."""
    addresses = fleet.platform.announcement.addresses if fleet.platform is not None else []
    remote = {port_of(address): "placements" for address in addresses[1:]}
    remote |= {port_of(address): "list" for address in addresses[:1]}
    own = {port_of(node.address) for node in fleet.nodes}
    return lambda ports: remote.get(ports[1], "clients" if ports[0] in own else "other")


def client_inodes(fleet: Fleet) -> set[int]:
    """Inodes of the sockets of all hollow clients."""
    return {inode for hollow in fleet.clients for inode in inodes(hollow.process.pid)}


def port_of(address: str) -> int:
    """Port of an address ``HOST:PORT``."""
    return int(address.rpartition(":")[2])


def start_figures(starts: Mapping[str, Mapping[str, Any]]) -> dict[str, float]:
    """Start times and counts of outcomes by class of task."""
    figures: dict[str, float] = {}
    for name, result in starts.items():
        keys = ("started", "start_p99_ms", "start_worst_ms") if result["started"] else ("started",)
        figures |= {f"{key}.{name}": float(result[key]) for key in keys}
        outcomes = result["outcomes"]
        figures |= {f"outcome.{name}.{outcome.replace(' ', '_')}": float(n) for outcome, n in outcomes.items()}
    return figures


def fleet_figures(interval: Interval) -> dict[str, float]:
    """Figures of the whole fleet."""
    return {**start_figures(interval.starts), **node_outcomes(interval.platform), **interval.run}


def node_outcomes(counts: Mapping[str, int]) -> dict[str, float]:
    """Numbers of set-ups sent to the nodes, and of their answers by kind of message."""
    return {f"node.{name}": float(number) for name, number in counts.items()}


def version() -> str:
    """Version of the running checkout, from ``git describe``."""
    command = ["git", "describe", "--always", "--dirty"]
    try:
        found = subprocess.run(command, capture_output=True, text=True, cwd=Path(__file__).parent, check=False)
    except OSError:
        return "unknown"
    return found.stdout.strip() or "unknown"
