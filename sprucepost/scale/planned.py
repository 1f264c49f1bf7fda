"""Tables derived from the planned size itself: what each failure removes, and which demands of a day are not met.

The demands table takes the cost of one placer from the kept runs where they have measured it.
"""

from __future__ import annotations

from dataclasses import replace

from sprucepost.scale.demands import Basis, Demand, Observed, ProcessObserved, count, rank
from sprucepost.scale.kept import Kept
from sprucepost.scale.plan import draw
from sprucepost.scale.predictions import BYTES_CONTROL, CPU_CONTROL, Target
from sprucepost.scale.present import observe
from sprucepost.scale.settings import YEAR_DAYS, FleetSize
from sprucepost.scale.tables import COMMAND_COLUMN, Table, all_tables, number
from sprucepost.scale.target import target_of

COMMAND = "sprucepost scale page"
PLAN_SEED = 1


def page_tables(kept: Kept, size: FleetSize) -> list[Table]:
    """Every table of the page."""
    target = target_of(size)
    return [*all_tables(kept, target), days_table(size), demands_table(kept, size, target)]


def control_zones(size: FleetSize) -> dict[str, int]:
    """Number of control machines by zone, assigned round-robin."""
    zones = [zone for _, zone in size.zones]
    machines = size.budgets.control_machines
    return {zone: machines // len(zones) + (n < machines % len(zones)) for n, zone in enumerate(zones)}


def days_table(size: FleetSize) -> Table:
    """A row for each kind of failure, assuming that workers, placers and tasks are spread evenly over zones."""
    head = (
        "what goes",
        "how often",
        "for",
        "workers",
        "tasks at the peak",
        "placers",
        "control machines",
        COMMAND_COLUMN,
    )
    rates = size.disruptions
    zones, zone_machines = len(size.zones), max(control_zones(size).values())
    smaller = min(size.regions, key=lambda region: len(region.zones))
    cut_share = len(smaller.zones) / zones
    cut_machines = sum(control_zones(size)[zone] for zone in smaller.zones)
    rack = size.workers_per_rack / size.workers
    rows = (
        ("a worker", f"{number(rates.failures_per_day)} a day", rates.failure_s, 1.0 / size.workers, 0.0, 0),
        ("a worker, replaced", f"{number(rates.restarts_per_day)} a day", rates.restart_s, 1.0 / size.workers, 0.0, 0),
        ("a rack", _yearly(rates.rack_outages_per_year), rates.rack_outage_s, rack, 0.0, 0),
        ("a zone", _yearly(rates.zone_outages_per_year), rates.zone_outage_s, 1.0 / zones, 1.0 / zones, zone_machines),
        (
            f"the link to region {smaller.name}", _yearly(rates.region_cuts_per_year), rates.region_cut_s, cut_share,
            cut_share, cut_machines,
        ),
    )  # fmt: skip
    return Table("days", head, tuple(_row(size, *row) for row in rows))


def _row(
    size: FleetSize, what: str, often: str, seconds: float, workers: float, placers: float, machines: int
) -> tuple[str, ...]:
    return (
        what,
        often,
        f"{number(seconds / 60.0)} min",
        number(workers * size.workers),
        number(workers * size.work.running_tasks),
        number(placers * size.placers),
        str(machines),
        f"`{COMMAND}`",
    )


def _yearly(times: float) -> str:
    return f"every {number(YEAR_DAYS / times)} days"


# Demands


def demands_table(kept: Kept, size: FleetSize, target: Target) -> Table:
    """Demands of a generated day and how far they are missed, the worst first."""
    head = ("demand", "of a day", "missed", "score", "known from", "why", COMMAND_COLUMN)
    plan = draw(size, PLAN_SEED)
    ranked = rank(count(plan, _with_costs(observe(plan), kept, target)))
    rows = tuple(
        (
            each.outcome.demand.value,
            number(each.outcome.demanded),
            "-" if each.outcome.missed is None else number(each.outcome.missed),
            "-" if each.score is None else number(each.score),
            each.outcome.basis.value,
            each.outcome.reason,
            f"`{COMMAND}`",
        )
        for each in ranked
    )
    return Table("demands", head, rows)


def _with_costs(observed: Observed, kept: Kept, target: Target) -> Observed:
    """Replace the observed costs of a placer by those that the kept runs give for the planned size."""
    run = kept.run_of("placer")
    if run is None:
        return observed
    at_plan = {each.figure: each.counts for each in kept.predictions(run, target) if each.role == "placer"}
    process = ProcessObserved(at_plan.get(CPU_CONTROL), at_plan.get("memory_mib"), at_plan.get(BYTES_CONTROL))
    costs = (Demand.PROCESSOR, Demand.MEMORY, Demand.BYTES)
    reasons = [(demand, reason) for demand, reason in observed.reasons if demand not in costs]
    reasons += [(demand, "what a gRPC placer costs, by the scale runs") for demand in costs]
    basis = {**observed.basis, **dict.fromkeys(costs, Basis.DERIVED)}
    return replace(observed, basis=basis, processes=(process,), reasons=tuple(reasons))
