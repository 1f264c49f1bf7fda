"""Tables that follow from the planned size itself: what each failure takes away, and what a drawn day is not given.

The second takes what one placer costs from the kept runs where they have measured it.
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
    """Control machines by zone, handed out in turn."""
    zones = [zone for _, zone in size.zones]
    machines = size.budgets.control_machines
    return {zone: machines // len(zones) + (n < machines % len(zones)) for n, zone in enumerate(zones)}


def days_table(size: FleetSize) -> Table:
    """A row for each kind of failure. Workers, placers and tasks are taken as even over zones."""
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
    fails = size.disruptions
    zones, zone_machines = len(size.zones), max(control_zones(size).values())
    smaller = min(size.regions, key=lambda region: len(region.zones))
    apart = len(smaller.zones) / zones
    apart_machines = sum(control_zones(size)[zone] for zone in smaller.zones)
    rack = size.workers_per_rack / size.workers
    rows = (
        ("a worker", f"{number(fails.failures_per_day)} a day", fails.failure_s, 1.0 / size.workers, 0.0, 0),
        ("a worker, replaced", f"{number(fails.restarts_per_day)} a day", fails.restart_s, 1.0 / size.workers, 0.0, 0),
        ("a rack", _yearly(fails.rack_outages_per_year), fails.rack_outage_s, rack, 0.0, 0),
        ("a zone", _yearly(fails.zone_outages_per_year), fails.zone_outage_s, 1.0 / zones, 1.0 / zones, zone_machines),
        (
            f"the link to region {smaller.name}", _yearly(fails.region_cuts_per_year), fails.region_cut_s, apart, apart,
            apart_machines,
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
    """What a drawn day asks for and is not given, the worst first."""
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
    """Costs of a placer at the plan as the kept runs predict them, in place of what is known from elsewhere."""
    run = kept.run_of("placer")
    if run is None:
        return observed
    at_plan = {each.figure: each.at_plan for each in run.predictions(target) if each.role == "placer"}
    process = ProcessObserved(at_plan.get(CPU_CONTROL), at_plan.get("memory_mib"), at_plan.get(BYTES_CONTROL))
    costs = (Demand.PROCESSOR, Demand.MEMORY, Demand.BYTES)
    reasons = [(demand, reason) for demand, reason in observed.reasons if demand not in costs]
    reasons += [(demand, "predicted for one placer from the scale run") for demand in costs]
    basis = {**observed.basis, **dict.fromkeys(costs, Basis.DERIVED)}
    return replace(observed, basis=basis, processes=(process,), reasons=tuple(reasons))
