"""Settings that describe the size of a fleet, as one JSON file: planned load, control budgets and failure rates.

``deploy/scale/two-years.json`` is the size the project is designed for, ``deploy/scale/small.json`` the one used in CI.
Rates are of the whole fleet. What a plan needs beyond the users' figures (shares, shapes) has its own key, so that no
assumption is hidden in the code.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from sprucepost.settings.cluster import Count, Name, NotNegative, Positive

DAY_S = 86_400.0
YEAR_DAYS = 365.0
SHARE_TOLERANCE = 1e-6

Share = Annotated[float, Meta(ge=0, le=1)]


class Region(Struct, forbid_unknown_fields=True, frozen=True):
    """Zones whose network is one; between regions it may be cut for minutes."""

    name: Name
    zones: Annotated[list[Name], Meta(min_length=1)]


class WorkClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of work."""

    name: Name
    job_share: Annotated[Share, Meta(description="of all jobs; the classes' shares add up to 1")]
    aim_ms: Annotated[Positive, Meta(description="from the request to the running task")]
    worth: Annotated[Positive, Meta(description="of one task that started within its aim")]


class Work(Struct, forbid_unknown_fields=True, frozen=True):
    """What a day asks for."""

    jobs_per_day: Annotated[int, Meta(ge=1, le=1_000_000)]
    peak_starts_per_s: Annotated[Positive, Meta(description="task starts a second, over peak_s")]
    running_tasks: Annotated[Count, Meta(description="the most that run at a time")]
    largest_gang: Annotated[int, Meta(ge=2, le=4096, description="tasks that start together or not at all")]
    classes: Annotated[list[WorkClass], Meta(min_length=1)]
    peak_s: Annotated[Positive, Meta(le=3600, description="how long the peak lasts")] = 10.0
    peak_hour: Annotated[float, Meta(ge=0, lt=24, description="time of day of the peak")] = 14.0
    daily_swing: Annotated[
        Share, Meta(description="0: the same all day; 1: twice the mean at peak_hour, none at night")
    ] = 0.8
    tasks_per_job: Annotated[float, Meta(ge=1, le=200, description="mean over all jobs")] = 8.0
    gang_share: Annotated[Share, Meta(description="of all jobs")] = 0.1


class Teams(Struct, forbid_unknown_fields=True, frozen=True):
    """Who asks, and how much of the fleet each team may hold."""

    count: Annotated[int, Meta(ge=1, le=10_000)]
    skew: Annotated[
        float, Meta(ge=0, le=4, description="0: all ask alike; 1: the n-th asks an n-th of the first (Zipf)")
    ] = 1.2
    quota_headroom: Annotated[
        Positive, Meta(description="a team's quota, as a multiple of what it holds at the peak")
    ] = 1.5
    over_asking: Annotated[
        Share, Meta(description="of the teams: those whose quota is half of what they hold at the peak")
    ] = 0.05
    dominant_share: Annotated[Share, Meta(description="of the jobs, by one team, on the day that is drawn for it")] = (
        0.9
    )


class Changes(Struct, forbid_unknown_fields=True, frozen=True):
    """Changes of configuration."""

    per_day: Annotated[int, Meta(ge=0, le=100_000)]
    in_force_ms: Annotated[Positive, Meta(description="at every process, from the operator's command")]
    fleet_wide_share: Annotated[Share, Meta(description="of the changes; the others concern one team")] = 0.2
    reloadable_share: Annotated[
        Share, Meta(description="of the changes; those whose keys a running placer takes (sprucepost.settings.reload)")
    ] = 0.1


class Budgets(Struct, forbid_unknown_fields=True, frozen=True):
    """What control may cost."""

    cpu_percent: Annotated[Positive, Meta(description="of one core, each placer")]
    memory_mib: Annotated[Positive, Meta(description="each placer")]
    bytes_per_s: Annotated[Positive, Meta(description="each placer, out and in")]
    control_machines: Count


class Disruptions(Struct, forbid_unknown_fields=True, frozen=True):
    """What fails or is taken out, how often and for how long."""

    failures_per_day: Annotated[NotNegative, Meta(description="machines that fail")]
    restarts_per_day: Annotated[NotNegative, Meta(description="machines that are restarted or replaced")]
    rack_outages_per_year: NotNegative
    zone_outages_per_year: NotNegative
    region_cuts_per_year: NotNegative
    failure_s: Annotated[Positive, Meta(description="a failed machine is away, mean")] = 3600.0
    restart_s: Annotated[Positive, Meta(description="a restarted machine is away, mean")] = 180.0
    rack_outage_s: Positive = 1800.0
    zone_outage_s: Positive = 3600.0
    region_cut_s: Positive = 600.0


class FleetSize(Struct, forbid_unknown_fields=True, frozen=True):
    """The file that the scale run reads."""

    name: Name
    workers: Annotated[int, Meta(ge=1, le=100_000)]
    workers_per_rack: Annotated[int, Meta(ge=1, le=1_000)]
    placers: Annotated[int, Meta(ge=1, le=4_096)]
    regions: Annotated[list[Region], Meta(min_length=1)]
    work: Work
    teams: Teams
    changes: Changes
    budgets: Budgets
    disruptions: Disruptions

    @property
    def zones(self) -> list[tuple[str, str]]:
        """Pairs of region and zone names, in the order of the file."""
        return [(region.name, zone) for region in self.regions for zone in region.zones]

    @property
    def processes(self) -> int:
        """Number of processes that must apply each configuration change: all placers, and one per control machine."""
        return self.placers + self.budgets.control_machines

    def problems(self) -> list[str]:
        """Invalid combinations of values, one line each, with the key's path."""
        found = []
        for key, names in (
            ("regions", [region.name for region in self.regions]),
            ("regions.zones", [zone for _, zone in self.zones]),
            ("work.classes", [each.name for each in self.work.classes]),
        ):
            found += [f"{key}: {name!r} appears twice" for name in sorted(set(names)) if names.count(name) > 1]
        if self.workers < len(self.zones):
            found.append(f"workers: {len(self.zones)} zones need at least one each")
        return found + self._work_problems()

    def _work_problems(self) -> list[str]:
        found = []
        work = self.work
        shares = sum(each.job_share for each in work.classes)
        if abs(shares - 1.0) > SHARE_TOLERANCE:
            found.append(f"work.classes: the job_share of all add up to {shares:g}, not 1")
        if work.largest_gang > work.running_tasks:
            found.append("work.largest_gang: must not be above work.running_tasks")
        day_tasks = work.jobs_per_day * work.tasks_per_job
        if work.peak_starts_per_s * work.peak_s > day_tasks / 2:
            found.append(f"work.peak_starts_per_s: the peak alone would be over half of a day's {day_tasks:g} tasks")
        if work.peak_starts_per_s * work.peak_s > work.running_tasks:
            found.append("work.peak_s: the peak starts more tasks than work.running_tasks")
        return found
