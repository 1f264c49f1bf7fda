"""Demands of a planned day, counted as met or missed, and ranked by the harm of missing them. Performs no I/O.

A run (or :mod:`sprucepost.scale.present`, from the plan alone) fills in :class:`Observed`; :func:`count` makes one
:class:`Outcome` of each demand; :func:`rank` orders them.

====================== ============================================== ==================================================
demand                 one instance                                   counted as missed
====================== ============================================== ==================================================
starts                 a task start of a class that is not urgent     later than the class's aim, or never
urgent starts          a task start of the class with the least aim   the same
gangs                  a gang                                         some of its tasks started late or never, or some
                                                                      started while others did not
quotas                 a task start                                   made while its team had its quota running
changes                a change at a process                          in force there later than the bound, or never
processor, memory,     a process                                      above the budget
bytes
regions                a second of the year                           regions are partitioned and nothing detects it
====================== ============================================== ==================================================

Harm is expressed in three measures, each as a share of the whole day's total, so that different demands can be compared:
task starts, their worth (settings: ``work.classes``), and time (of tasks or of processes, depending on the demand).
The weights between them are an assumption; :mod:`sprucepost.scale.sensitivity` varies it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from sprucepost.scale.plan import Plan
from sprucepost.scale.settings import DAY_S, YEAR_DAYS


class Demand(Enum):
    """What users require of a planned day."""

    STARTS = "starts"
    URGENT_STARTS = "urgent starts"
    GANGS = "gangs"
    QUOTAS = "quotas"
    CHANGES = "changes"
    PROCESSOR = "processor"
    MEMORY = "memory"
    BYTES = "bytes"
    REGIONS = "regions"


class Basis(Enum):
    """Source of a count."""

    MEASURED = "measured"
    DERIVED = "derived from the plan"
    NOT_CARRIED = "not carried"
    """The program does not implement it: every instance counts as missed."""
    OPEN = "not measured"


@dataclass(frozen=True, slots=True)
class Harm:
    """Cost of missed demands, as shares from 0 to 1 of the day's task starts, their worth, and time."""

    starts: float = 0.0
    worth: float = 0.0
    time: float = 0.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """One demand on one day; ``missed`` and ``harm`` are None where they are unknown."""

    demand: Demand
    demanded: float
    missed: float | None
    harm: Harm | None
    basis: Basis
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StartsObserved:
    """Observed task starts of one class."""

    task_class: str
    started: int
    late: int
    """Later than the class's aim, or never."""


@dataclass(frozen=True, slots=True)
class GangsObserved:
    """Totals over the gangs of which not all tasks started in time."""

    missed: float
    tasks: float
    worth: float
    task_s: float


@dataclass(frozen=True, slots=True)
class QuotasObserved:
    """Starts made while the team was already at its quota, and the run time of tasks beyond quotas."""

    starts: float
    worth: float
    task_s: float


@dataclass(frozen=True, slots=True)
class ChangesObserved:
    """Late changes (counted per process), the starts placed by an outdated configuration, and for how long it was used."""

    late: float
    starts: float
    worth: float
    process_s: float
    """Seconds in which some change was not in force, summed over processes."""


@dataclass(frozen=True, slots=True)
class ProcessObserved:
    """Resources that one process used; None where not measured."""

    cpu_percent: float | None = None
    memory_mib: float | None = None
    bytes_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Observed:
    """What a run observed of a planned day; None where not observed."""

    basis: dict[Demand, Basis]
    starts: tuple[StartsObserved, ...] = ()
    gangs: GangsObserved | None = None
    quotas: QuotasObserved | None = None
    changes: ChangesObserved | None = None
    processes: tuple[ProcessObserved, ...] = ()
    regions_known: bool | None = None
    reasons: tuple[tuple[Demand, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Weights:
    """Relative weight of each measure of harm."""

    starts: float = 1.0
    worth: float = 1.0
    time: float = 1.0

    def score(self, harm: Harm) -> float:
        """The weighted mean of the shares, from 0 to 1."""
        total = self.starts + self.worth + self.time
        return (self.starts * harm.starts + self.worth * harm.worth + self.time * harm.time) / total


EQUAL = Weights()


@dataclass(frozen=True, slots=True)
class Ranked:
    """An outcome and its score; ``score`` is None where the harm is unknown."""

    outcome: Outcome
    score: float | None


def count(plan: Plan, observed: Observed) -> tuple[Outcome, ...]:
    """Count each demand of the planned day as met or missed, in the order of :class:`Demand`."""
    urgent = min(plan.size.work.classes, key=lambda each: each.aim_ms).name
    budgets, processes = plan.size.budgets, observed.processes
    counted = {
        Demand.STARTS: _starts(plan, observed.starts, lambda name: name != urgent),
        Demand.URGENT_STARTS: _starts(plan, observed.starts, lambda name: name == urgent),
        Demand.GANGS: _gangs(plan, observed.gangs),
        Demand.QUOTAS: _quotas(plan, observed.quotas),
        Demand.CHANGES: _changes(plan, observed.changes),
        Demand.PROCESSOR: _budget(plan, budgets.cpu_percent, [each.cpu_percent for each in processes]),
        Demand.MEMORY: _budget(plan, budgets.memory_mib, [each.memory_mib for each in processes]),
        Demand.BYTES: _budget(plan, budgets.bytes_per_s, [each.bytes_per_s for each in processes]),
        Demand.REGIONS: _regions(plan, observed.regions_known),
    }
    return tuple(_outcome(demand, counted[demand], observed) for demand in Demand)


def rank(outcomes: Iterable[Outcome], weights: Weights = EQUAL) -> tuple[Ranked, ...]:
    """Outcomes by descending score; those of unknown harm come last."""
    ranked = [Ranked(each, None if each.harm is None else weights.score(each.harm)) for each in outcomes]
    return tuple(sorted(ranked, key=lambda each: (each.score is None, -(each.score or 0.0), each.outcome.demand.value)))


def first(outcomes: Iterable[Outcome], weights: Weights = EQUAL) -> Demand | None:
    """The demand with the highest score; None where none is known to be missed."""
    top = rank(outcomes, weights)[0]
    return top.outcome.demand if top.score else None


def class_worths(plan: Plan) -> dict[str, float]:
    """The worth of a task that started in time, by class."""
    return {each.name: each.worth for each in plan.size.work.classes}


def day_worth(plan: Plan) -> float:
    """The worth of all task starts of the day."""
    worths = class_worths(plan)
    return sum(job.tasks * worths[job.task_class] for job in plan.jobs)


@dataclass(frozen=True, slots=True)
class _Count:
    """Instances of one demand; ``missed`` and ``harm`` are None where they are unknown."""

    demanded: float
    missed: float | None = None
    harm: Harm | None = None


def _outcome(demand: Demand, counted: _Count, observed: Observed) -> Outcome:
    basis = Basis.OPEN if counted.missed is None else observed.basis.get(demand, Basis.MEASURED)
    reason = dict(observed.reasons).get(demand, "")
    return Outcome(demand, counted.demanded, counted.missed, counted.harm, basis, reason)


def _harm(plan: Plan, starts: float, worth: float, task_s: float) -> Harm:
    return Harm(starts / plan.tasks, worth / day_worth(plan), task_s / plan.task_seconds)


def _starts(plan: Plan, observed: Sequence[StartsObserved], selects: Callable[[str], bool]) -> _Count:
    """Late starts of the selected classes. Counts of a run shorter than a day are scaled to the whole day."""
    worths = class_worths(plan)
    requested = {
        name: sum(job.tasks for job in plan.jobs if job.task_class == name) for name in worths if selects(name)
    }
    seen = {each.task_class: each for each in observed if each.task_class in requested and each.started}
    demanded = float(sum(requested.values()))
    if not seen:
        return _Count(demanded)
    late = {name: requested[name] * each.late / each.started for name, each in seen.items()}
    missed = sum(late.values())
    worth = sum(late[name] * worths[name] for name in late)
    return _Count(demanded, missed, Harm(missed / plan.tasks, worth / day_worth(plan), missed / plan.tasks))


def _gangs(plan: Plan, observed: GangsObserved | None) -> _Count:
    demanded = float(sum(job.gang for job in plan.jobs))
    if observed is None:
        return _Count(demanded)
    return _Count(demanded, observed.missed, _harm(plan, observed.tasks, observed.worth, observed.task_s))


def _quotas(plan: Plan, observed: QuotasObserved | None) -> _Count:
    if observed is None:
        return _Count(plan.tasks)
    return _Count(plan.tasks, observed.starts, _harm(plan, observed.starts, observed.worth, observed.task_s))


def _changes(plan: Plan, observed: ChangesObserved | None) -> _Count:
    processes = plan.size.processes
    demanded = float(len(plan.changes) * processes)
    if observed is None:
        return _Count(demanded)
    time = observed.process_s / (processes * DAY_S)
    return _Count(demanded, observed.late, Harm(observed.starts / plan.tasks, observed.worth / day_worth(plan), time))


def _budget(plan: Plan, budget: float, figures: Sequence[float | None]) -> _Count:
    """Placers above a budget. Time harm grows with the excess and reaches 1 at twice the budget."""
    demanded = float(plan.size.placers)
    over = [max(0.0, figure / budget - 1.0) for figure in figures if figure is not None]
    if not over:
        return _Count(demanded)
    missed = demanded * sum(excess > 0 for excess in over) / len(over)
    return _Count(demanded, missed, Harm(time=sum(min(1.0, excess) for excess in over) / len(over)))


def _regions(plan: Plan, known: bool | None) -> _Count:
    """Seconds of a year in which regions are partitioned; all work requested in that time counts as harmed."""
    partitioned_s = plan.size.disruptions.region_cuts_per_year * plan.size.disruptions.region_cut_s
    if known is None:
        return _Count(partitioned_s)
    if known:
        return _Count(partitioned_s, 0.0, Harm())
    share = partitioned_s / (YEAR_DAYS * DAY_S)
    return _Count(partitioned_s, partitioned_s, Harm(share, share, share))
