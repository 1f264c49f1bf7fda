"""What the current program supports of a planned day, derived from plan and code without a run. Performs no I/O.

Demands that the program does not implement are counted as missed in full (:attr:`Basis.NOT_CARRIED`). Where an existing
mechanism can be used instead, how well it works is an assumption, listed in :class:`Assumptions`.

- Changes: no process is notified of another's change. A running placer reloads five keys at SIGHUP
  (``settings.reload``), each process from its own file; all other keys need a restart of every placer. ``fleet roll``
  restarts the placers of one machine.
- Gangs: a request is one task. Neither front has a message for tasks that start together, nor does the decision module
  reserve capacity for some until the others have theirs.
- Quotas: a placer multiplies its own traffic by the number of placers (``scheduler._effective_worth``) and lowers the
  worth of a team that is certainly above its quota; nothing rejects or delays such a task, so every start beyond a quota
  happens.
- Regions: a member of the view names its host and its capacity; nothing names a region.
- Starts, memory and bytes at this size need a measurement and are not estimated here.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sprucepost.scale.demands import (
    Basis,
    ChangesObserved,
    Demand,
    GangsObserved,
    Observed,
    ProcessObserved,
    QuotasObserved,
    class_worths,
)
from sprucepost.scale.plan import Job, Plan
from sprucepost.scale.settings import DAY_S

ROLL_S_PER_PROCESS = 54.0 / 350.0
"""From a rolling restart of 350 placers on one machine (docs/results/fleet-350.json): the fastest way to apply a setting."""
HAND_S_PER_PROCESS = 10.0
"""An operator writes one file on one machine and sends one signal; an assumption on the short side."""
QUIET_VIEW_CPU_PERCENT = 1.79
"""CPU of a placer among 100 with a view, on eight cores (docs/results.md); not measured at 300."""
PROCESS_SAMPLES = 10
"""Number of evenly spaced processes that represent all; processes get a change one after the other."""


@dataclass(frozen=True, slots=True)
class Assumptions:
    """How well existing mechanisms can be made to serve."""

    rollout_s_per_process: float | None = None
    """Each process gets a change this many seconds after the previous one, and changes are rolled out one after the other.
    None: the program delivers changes to no process."""
    member_late: float | None = None
    """Probability that one task of a gang starts late or never, independently; None: no gang counts as complete."""
    stale_effect: float = 1.0
    """Share of the placements by an outdated configuration that the new one would have made differently."""
    cpu_percent: float | None = QUIET_VIEW_CPU_PERCENT


STRICT = Assumptions()
"""Every demand that the program does not implement counts as missed."""


def observe(plan: Plan, assumptions: Assumptions = STRICT) -> Observed:
    """Observations of the planned day with the current program."""
    processes = () if assumptions.cpu_percent is None else (ProcessObserved(cpu_percent=assumptions.cpu_percent),)
    return Observed(
        basis={
            Demand.GANGS: Basis.NOT_CARRIED if assumptions.member_late is None else Basis.DERIVED,
            Demand.QUOTAS: Basis.NOT_CARRIED,
            Demand.CHANGES: Basis.NOT_CARRIED if assumptions.rollout_s_per_process is None else Basis.DERIVED,
            Demand.PROCESSOR: Basis.MEASURED,
            Demand.REGIONS: Basis.NOT_CARRIED,
        },
        gangs=gangs(plan, assumptions.member_late),
        quotas=quotas(plan),
        changes=changes(plan, assumptions.rollout_s_per_process, assumptions.stale_effect),
        processes=processes,
        regions_known=False,
        reasons=(
            (Demand.STARTS, "to be measured by the scale run"),
            (Demand.URGENT_STARTS, "to be measured by the scale run"),
            (Demand.GANGS, "a request is one task"),
            (Demand.QUOTAS, "judged by own traffic alone, and nothing is held back"),
            (Demand.CHANGES, "a file and a SIGHUP or a restart for each process"),
            (Demand.PROCESSOR, "a view of 100 placers, not of this size"),
            (Demand.MEMORY, "to be measured by the scale run"),
            (Demand.BYTES, "to be measured by the scale run"),
            (Demand.REGIONS, "the view knows hosts and rooms"),
        ),
    )


def gangs(plan: Plan, member_late: float | None) -> GangsObserved:
    """Incomplete gangs, where each member starts in time or not independently of the others."""
    worths = class_worths(plan)
    missed = tasks = worth = task_s = 0.0
    for job in plan.jobs:
        if not job.gang:
            continue
        chance = 1.0 if member_late is None else 1.0 - (1.0 - member_late) ** job.tasks
        missed += chance
        tasks += chance * job.tasks
        worth += chance * job.tasks * worths[job.task_class]
        task_s += chance * job.tasks * job.life_s
    return GangsObserved(missed, tasks, worth, task_s)


def quotas(plan: Plan) -> QuotasObserved:
    """Starts beyond quotas and the run time of those tasks, where nothing delays them."""
    worths = class_worths(plan)
    by_team: dict[int, list[Job]] = {}
    for job in plan.jobs:
        by_team.setdefault(job.team, []).append(job)
    starts = worth = task_s = 0.0
    for team, jobs in by_team.items():
        for job, excess in _beyond(jobs, plan.quotas[team]):
            starts += excess
            worth += excess * worths[job.task_class]
            task_s += excess * job.life_s
    return QuotasObserved(starts, worth, task_s)


def _beyond(jobs: Sequence[Job], quota: int) -> list[tuple[Job, int]]:
    """The tasks of each job that start while their team's quota is used up. The day begins with nothing running."""
    found = []
    running: list[tuple[float, int]] = []  # end, tasks
    for job in jobs:
        running = [(end, tasks) for end, tasks in running if end > job.at_s]
        held = sum(tasks for _, tasks in running)
        excess = min(job.tasks, max(0, held + job.tasks - quota))
        if excess:
            found.append((job, excess))
        running.append((job.at_s + job.life_s, job.tasks))
    return found


def unseen_excess(quota: int, held: float, placers: int) -> float:
    """Probability that a placer does not recognize a team as above its quota, where all placers together hold ``held``
    one-core tasks of it. The number per placer is Poisson distributed; the rule is ``scheduler._effective_worth``'s."""
    mean = held / placers
    unseen, chance, number = 0.0, math.exp(-mean), 0
    while (number - 2 * math.sqrt(number)) * placers <= quota:
        unseen += chance
        number += 1
        chance *= mean / number
    return min(1.0, unseen)


def changes(plan: Plan, rollout_s_per_process: float | None, stale_effect: float = 1.0) -> ChangesObserved:
    """Effects of outdated configuration until each process has received each change, times ``stale_effect``."""
    processes = plan.size.processes
    bound_s = plan.size.changes.in_force_ms / 1000.0
    begun = _rollouts(plan, rollout_s_per_process)
    late = 0
    starts = worth = process_s = 0.0
    for sample in range(PROCESS_SAMPLES):
        position = (sample + 0.5) / PROCESS_SAMPLES * processes
        windows = []
        for change, at_s in zip(plan.changes, begun, strict=True):
            end_s = math.inf if rollout_s_per_process is None else at_s + position * rollout_s_per_process
            windows.append((change.at_s, min(DAY_S, end_s), change.team))
            late += end_s - change.at_s > bound_s
        process_s += _covered([(a, b) for a, b, _ in windows]) * processes / PROCESS_SAMPLES
        stale_starts, stale_worth = _stale_starts(plan, windows)
        starts += stale_starts / PROCESS_SAMPLES
        worth += stale_worth / PROCESS_SAMPLES
    late_instances = float(round(late * processes / PROCESS_SAMPLES))
    return ChangesObserved(late_instances, starts * stale_effect, worth * stale_effect, process_s * stale_effect)


def _rollouts(plan: Plan, s_per_process: float | None) -> list[float]:
    """When the rollout of each change begins: after the previous one has finished."""
    free_s, begun = 0.0, []
    for change in plan.changes:
        at_s = max(change.at_s, free_s)
        begun.append(at_s)
        free_s = at_s + plan.size.processes * (s_per_process or 0.0)
    return begun


def _covered(windows: Sequence[tuple[float, float]]) -> float:
    """Total length of the union of the windows, in seconds."""
    return sum(end - start for start, end in _merged(windows))


def _merged(windows: Sequence[tuple[float, float]]) -> list[tuple[float, float]]:
    merged: list[tuple[float, float]] = []
    for start, end in sorted(windows):
        if end <= start:
            continue
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return merged


def _stale_starts(plan: Plan, windows: Sequence[tuple[float, float, int | None]]) -> tuple[float, float]:
    """Task starts, and their worth, of teams for which a change is not in force at that moment."""
    worths = class_worths(plan)
    for_all = [(start, end) for start, end, team in windows if team is None]
    by_team: dict[int, list[tuple[float, float]]] = {}
    for start, end, team in windows:
        if team is not None:
            by_team.setdefault(team, []).append((start, end))
    inside_all = _lookup(for_all)
    inside = {team: _lookup(for_all + own) for team, own in by_team.items()}
    starts = worth = 0.0
    for job in plan.jobs:
        if inside.get(job.team, inside_all)(job.at_s):
            starts += job.tasks
            worth += job.tasks * worths[job.task_class]
    return starts, worth


def _lookup(windows: Sequence[tuple[float, float]]) -> Callable[[float], bool]:
    """Return a function that tells whether a time lies in any of the windows."""
    merged = _merged(windows)
    begins = [start for start, _ in merged]

    def inside(at_s: float) -> bool:
        place = bisect_right(begins, at_s) - 1
        return place >= 0 and at_s < merged[place][1]

    return inside
