"""One generated day of a fleet: topology, jobs, configuration changes and disruptions, from its size and a seed.

The same size, seed and kind of day give the same plan. Each subject has its own random stream, so that a special day
differs from the ordinary day of the same seed only in what defines it. Times are seconds from midnight.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from functools import cached_property
from itertools import accumulate

from sprucepost.loop import Rng
from sprucepost.scale.settings import DAY_S, FleetSize

LIFE_SIGMA = 1.0
"""Sigma of the lognormal distribution of job run times: most are short, a few last for hours."""
LONGEST_JOB = 20
"""Most tasks of a job that is not a gang, as a multiple of the mean of such jobs."""
FIT_STEPS = 20
"""Bisection steps in the search for the scale of run times."""
LONGEST_MEAN_LIFE_S = DAY_S
HOUR_S = 3600.0
MINUTE_S = 60.0


class Day(Enum):
    """Kinds of days."""

    ORDINARY = "ordinary"
    DOMINANT_TEAM = "dominant-team"
    """One team submits most of the jobs."""
    RACK = "rack"
    """A rack fails while machines are being restarted."""
    ZONE = "zone"
    """A zone fails at the peak."""
    REGION_CUT = "region-cut"
    """The first region is cut off from the others at the peak, and both sides change configuration meanwhile."""


class DisruptionKind(Enum):
    """What happens to machines."""

    FAILURE = "failure"
    RESTART = "restart"
    RACK = "rack"
    ZONE = "zone"
    REGION_CUT = "region-cut"


@dataclass(frozen=True, slots=True)
class Place:
    """Location of a process; ``rack`` is unique within the fleet."""

    region: str
    zone: str
    rack: str


@dataclass(frozen=True, slots=True)
class Job:
    """Tasks that are submitted together; each runs for ``life_s`` seconds."""

    at_s: float
    team: int
    task_class: str
    tasks: int
    gang: bool
    life_s: float


@dataclass(frozen=True, slots=True)
class Change:
    """A change of configuration, made by an operator at ``placer``."""

    at_s: float
    placer: int
    team: int | None
    """The team whose setting changes; None where the change applies to the whole fleet."""
    reloadable: bool
    """Whether a running placer can reload it; otherwise it needs a restart."""


@dataclass(frozen=True, slots=True)
class Disruption:
    """``workers`` are down, or on the far side of a partition, from ``at_s`` for ``length_s`` seconds."""

    at_s: float
    length_s: float
    kind: DisruptionKind
    target: str
    workers: tuple[int, ...]


@dataclass(frozen=True)
class Plan:
    """One generated day. Workers, placers and teams are identified by their index from 0."""

    size: FleetSize
    seed: int
    day: Day
    workers: tuple[Place, ...]
    placers: tuple[Place, ...]
    quotas: tuple[int, ...]
    """Most tasks that each team may have running."""
    jobs: tuple[Job, ...]
    changes: tuple[Change, ...]
    disruptions: tuple[Disruption, ...]

    @cached_property
    def tasks(self) -> int:
        """Number of task starts in the day."""
        return sum(job.tasks for job in self.jobs)

    @cached_property
    def task_seconds(self) -> float:
        """Total run time of all tasks of the day, in seconds."""
        return sum(job.tasks * job.life_s for job in self.jobs)


@dataclass(frozen=True, slots=True)
class PressedRates:
    """Event rates of a time-compressed (pressed) run, in events per second.

    Only events whose handling is measured as a cost per event are compressed: configuration changes, restarts and
    failures. Task starts come at the unchanged peak rate, and heartbeats, aims, time-outs and the bound on changes keep
    their durations: compressing those would measure a different program. The cost of each compressed event is multiplied
    by the rate of the day, not of the run.
    """

    press: float
    task_starts: float
    changes: float
    restarts: float
    failures: float


def pressed_rates(size: FleetSize, press: float = HOUR_S / MINUTE_S) -> PressedRates:
    """Rates of a run that compresses ``press`` seconds of the day into one second."""
    return PressedRates(
        press=press,
        task_starts=size.work.peak_starts_per_s,
        changes=press * size.changes.per_day / DAY_S,
        restarts=press * size.disruptions.restarts_per_day / DAY_S,
        failures=press * size.disruptions.failures_per_day / DAY_S,
    )


def draw(size: FleetSize, seed: int, day: Day = Day.ORDINARY) -> Plan:
    """Generate the plan of one day."""
    workers = _places(size, size.workers, size.workers_per_rack)
    shares = team_shares(size, day)
    jobs = _jobs(size, seed, shares)
    return Plan(
        size=size,
        seed=seed,
        day=day,
        workers=workers,
        placers=_places(size, size.placers, size.workers_per_rack),
        quotas=_quotas(size, seed, team_shares(size, Day.ORDINARY)),
        jobs=jobs,
        changes=_changes(size, seed, day),
        disruptions=_disruptions(size, seed, day, workers),
    )


def running_peak(jobs: Iterable[Job]) -> int:
    """Largest number of tasks that run at the same time."""
    return max(level for _, level in running_course(jobs))


def running_course(jobs: Iterable[Job]) -> list[tuple[float, int]]:
    """Number of running tasks from each time on, in order. Tasks that run past midnight count at the beginning of the day,
    as if identical days followed each other."""
    return _course((job.at_s, job.life_s, job.tasks) for job in jobs)


def _course(spans: Iterable[tuple[float, float, int]]) -> list[tuple[float, int]]:
    """As :func:`running_course`, from start times, durations and task counts."""
    steps: list[tuple[float, int]] = []
    carried = 0
    for at_s, length_s, tasks in spans:
        days, end_s = divmod(at_s + length_s, DAY_S)
        steps += ((at_s, tasks), (end_s, -tasks))
        carried += tasks * int(days)
    steps.sort()
    levels = accumulate((step for _, step in steps), initial=carried)
    return list(zip((0.0, *(at for at, _ in steps)), levels, strict=True))


def team_shares(size: FleetSize, day: Day) -> tuple[float, ...]:
    """The share of each team among the jobs, the largest first."""
    weights = [(n + 1) ** -size.teams.skew for n in range(size.teams.count)]
    shares = [weight / sum(weights) for weight in weights]
    if day is Day.DOMINANT_TEAM and size.teams.count > 1:
        others = (1.0 - size.teams.dominant_share) / (1.0 - shares[0])
        shares = [size.teams.dominant_share, *(share * others for share in shares[1:])]
    return tuple(shares)


def _places(size: FleetSize, count: int, per_rack: int) -> tuple[Place, ...]:
    """Places spread evenly over zones; the first zones get one more where the count does not divide evenly."""
    places = []
    for n in range(count):
        region, zone = size.zones[n % len(size.zones)]
        within_zone = n // len(size.zones)
        places.append(Place(region, zone, f"{zone}-rack-{within_zone // per_rack}"))
    return tuple(places)


def _quotas(size: FleetSize, seed: int, shares: Sequence[float]) -> tuple[int, ...]:
    """Quota of each team: a multiple of its running tasks at the peak, or half of those tasks for over-asking teams.

    Every team may run at least one gang of the largest size.
    """
    rng = Rng(f"quotas {seed}")
    over_asking = set(rng.sample(range(len(shares)), round(size.teams.over_asking * len(shares))))
    quotas = []
    for team, share in enumerate(shares):
        multiple = 0.5 if team in over_asking else size.teams.quota_headroom
        quotas.append(max(size.work.largest_gang, math.ceil(multiple * share * size.work.running_tasks)))
    return tuple(quotas)


def _jobs(size: FleetSize, seed: int, shares: Sequence[float]) -> tuple[Job, ...]:
    work = size.work
    when, what, teams = Rng(f"moments {seed}"), Rng(f"jobs {seed}"), Rng(f"teams {seed}")
    cumulative = list(accumulate(shares))
    kinds = list(accumulate(each.job_share for each in work.classes))
    drawn = [_job_size(size, what) for _ in range(work.jobs_per_day)]
    at_peak = _peak_jobs(drawn, work.peak_starts_per_s * work.peak_s)
    jobs = []
    for number, (tasks, gang) in enumerate(drawn):
        at_s = _peak_moment(size, when) if number < at_peak else _moment(size, when)
        task_class = what.choices(work.classes, cum_weights=kinds)[0].name
        team = teams.choices(range(len(shares)), cum_weights=cumulative)[0]
        jobs.append(Job(at_s, team, task_class, tasks, gang, what.lognormvariate(-(LIFE_SIGMA**2) / 2, LIFE_SIGMA)))
    jobs.sort(key=lambda job: job.at_s)
    return _scaled_lives(jobs, work.running_tasks)


def _job_size(size: FleetSize, rng: Rng) -> tuple[int, bool]:
    """Number of tasks of one job, and whether it is a gang. Gang sizes are uniform on a logarithmic scale; the sizes of
    other jobs give the configured mean over all jobs."""
    work = size.work
    gang = rng.random() < work.gang_share
    if gang:
        return min(work.largest_gang, int(math.exp(rng.uniform(math.log(2), math.log(work.largest_gang + 1))))), True
    mean = _single_mean(size)
    if mean <= 1.0:
        return 1, False
    tasks = 1 + int(rng.expovariate(-math.log(1.0 - 1.0 / mean)))
    return min(tasks, math.ceil(LONGEST_JOB * mean)), False


def _single_mean(size: FleetSize) -> float:
    """Mean number of tasks of a job that is not a gang, derived from the mean over all jobs."""
    work = size.work
    if work.gang_share >= 1.0:
        return 1.0
    width = math.log((work.largest_gang + 1) / 2)
    gang_mean = sum(n * math.log((n + 1) / n) for n in range(2, work.largest_gang + 1)) / width
    return max(1.0, (work.tasks_per_job - work.gang_share * gang_mean) / (1.0 - work.gang_share))


def _peak_jobs(drawn: Sequence[tuple[int, bool]], tasks: float) -> int:
    """Number of leading jobs that together have at least ``tasks`` tasks."""
    total = 0
    for number, (size, _) in enumerate(drawn):
        if total >= tasks:
            return number
        total += size
    return len(drawn)


def _peak_moment(size: FleetSize, rng: Rng) -> float:
    return size.work.peak_hour * HOUR_S + rng.uniform(0.0, size.work.peak_s)


def _moment(size: FleetSize, rng: Rng) -> float:
    """Random time of the day, denser around the peak hour."""
    swing = size.work.daily_swing
    while True:
        at_s = rng.uniform(0.0, DAY_S)
        height = 1.0 + swing * math.cos(2 * math.pi * (at_s / DAY_S - size.work.peak_hour / 24.0))
        if rng.random() * (1.0 + swing) < height:
            return at_s


def _scaled_lives(jobs: Sequence[Job], running: int) -> tuple[Job, ...]:
    """The jobs, with run times scaled so that at most ``running`` tasks run at the same time."""

    def fits(mean_s: float) -> bool:
        spans = ((job.at_s, min(DAY_S, job.life_s * mean_s), job.tasks) for job in jobs)
        return max(level for _, level in _course(spans)) <= running

    mean_s = _greatest(fits, LONGEST_MEAN_LIFE_S)
    return tuple(replace(job, life_s=min(DAY_S, job.life_s * mean_s)) for job in jobs)


def _greatest(holds: Callable[[float], bool], most: float) -> float:
    """The greatest number up to ``most`` that meets a monotonic condition (true below some threshold), by bisection."""
    low, high = 0.0, most
    for _ in range(FIT_STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if holds(middle) else (low, middle)
    return low


def _changes(size: FleetSize, seed: int, day: Day) -> tuple[Change, ...]:
    rng = Rng(f"changes {seed}")
    found = [_change(size, rng, _moment(size, rng)) for _ in range(size.changes.per_day)]
    if day is Day.REGION_CUT:
        found += _changes_during_cut(size, rng)
    return tuple(sorted(found, key=lambda change: change.at_s))


def _change(size: FleetSize, rng: Rng, at_s: float, placer: int | None = None) -> Change:
    number = rng.randrange(size.placers) if placer is None else placer
    team = None if rng.random() < size.changes.fleet_wide_share else rng.randrange(size.teams.count)
    return Change(at_s, number, team, rng.random() < size.changes.reloadable_share)


def _changes_during_cut(size: FleetSize, rng: Rng) -> list[Change]:
    """One additional change in each region, so that every day with a partition has some during it."""
    start, length = size.work.peak_hour * HOUR_S, size.disruptions.region_cut_s
    places = _places(size, size.placers, size.workers_per_rack)
    found = []
    for region in size.regions:
        inside = [n for n, place in enumerate(places) if place.region == region.name]
        if inside:
            found.append(_change(size, rng, min(DAY_S, start + rng.uniform(0.0, length)), rng.choice(inside)))
    return found


def _disruptions(size: FleetSize, seed: int, day: Day, workers: Sequence[Place]) -> tuple[Disruption, ...]:
    rates = size.disruptions
    rng = Rng(f"disruptions {seed}")
    found = _of_single_workers(size, rng, DisruptionKind.FAILURE, rates.failures_per_day, rates.failure_s)
    found += _of_single_workers(size, rng, DisruptionKind.RESTART, rates.restarts_per_day, rates.restart_s)
    at_s = size.work.peak_hour * HOUR_S
    if day is Day.RACK:
        rack = rng.choice(sorted({place.rack for place in workers}))
        found.append(_of_group(at_s, rates.rack_outage_s, DisruptionKind.RACK, rack, workers))
    elif day is Day.ZONE:
        _, zone = rng.choice(size.zones)
        found.append(_of_group(at_s, rates.zone_outage_s, DisruptionKind.ZONE, zone, workers))
    elif day is Day.REGION_CUT:
        region = size.regions[0].name
        found.append(_of_group(at_s, rates.region_cut_s, DisruptionKind.REGION_CUT, region, workers))
    return tuple(sorted(found, key=lambda each: (each.at_s, each.target)))


def _of_single_workers(
    size: FleetSize, rng: Rng, kind: DisruptionKind, per_day: float, mean_s: float
) -> list[Disruption]:
    """Disruptions at the given rate, uniform over the day; the fractional part is rounded at random."""
    count = int(per_day) + (rng.random() < per_day % 1.0)
    found = []
    for _ in range(count):
        worker = rng.randrange(size.workers)
        length_s = min(DAY_S, rng.expovariate(1.0 / mean_s))
        found.append(Disruption(rng.uniform(0.0, DAY_S), length_s, kind, f"worker-{worker}", (worker,)))
    return found


def _of_group(at_s: float, length_s: float, kind: DisruptionKind, target: str, workers: Sequence[Place]) -> Disruption:
    inside = tuple(n for n, place in enumerate(workers) if target in (place.region, place.zone, place.rack))
    return Disruption(at_s, length_s, kind, target, inside)
