"""Scenario files: a cluster, its traffic and the faults at their times, as JSON with a schema.

A run of a scenario is called a day; all that is random in it derives from the scenario's seed.
"""

from __future__ import annotations

import random as _random  # the scenario's own seed, apart from any loop
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, structs

from sprucepost.settings import Cluster

FaultKind = Literal[
    "crash", "vanish", "slow", "ageing", "class_fail", "answer_lost", "balancer_stall", "burst", "hot_key", "heavy_tail",
    "zone_cut", "deploy", "shrink", "grow", "discovery_down", "discovery_stale", "reconnect", "placer_kill", "reset",
    "list_empty", "list_back", "list_gone", "one_way_cut", "slow_link", "descriptors", "clock_step", "same_number",
    "placer_stop", "resize", "ask_twice", "peer_cut", "peer_flap", "peer_slow", "peer_reset", "placer_crowd",
]  # fmt: skip
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0)]


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """One fault. ``docs/scenarios.md`` says for each kind what ``part``, ``size`` and ``extra`` mean."""

    kind: FaultKind
    at_s: Seconds
    len_s: Seconds = 5.0
    part: Share = 0.25
    size: float = 1.0
    extra: float = 0.0
    zone: str | None = None
    task_class: str | None = None


class FleetPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """Machines at the start, spread evenly over zones and kinds; ``manners`` are fields of the machine model."""

    machines: Annotated[int, Meta(ge=1)]
    cells_per_zone: Annotated[int, Meta(ge=1)] = 2
    manners: dict[str, Any] = {}


class Traffic(Struct, forbid_unknown_fields=True, frozen=True):
    """New tasks per second over all services; ``shares`` by class; shapes are (cores, memory) pairs to draw from."""

    rate_per_s: Annotated[float, Meta(gt=0)]
    services: Annotated[int, Meta(ge=1)]
    shares: dict[str, Annotated[float, Meta(gt=0)]]
    shapes: dict[str, Annotated[list[tuple[float, float]], Meta(min_length=1)]]
    life_s: dict[str, Annotated[float, Meta(gt=0)]]
    again_ms: Annotated[float, Meta(gt=0)] = 1200.0


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """A scenario: the cluster, its fleet and traffic, and the faults of one run."""

    name: str
    length_s: Annotated[float, Meta(gt=0)]
    cluster: Cluster
    placers: Annotated[int, Meta(ge=1)]
    fleet: FleetPlan
    traffic: Traffic
    faults: list[Fault] = []
    seed: int = 1
    list_late_ms: Seconds = 800.0
    list_lines_per_s: Annotated[float, Meta(gt=0)] = 20_000.0
    same_ms: Seconds = 0.3
    cross_ms: Seconds = 1.0
    peers: Annotated[
        bool,
        Meta(description="placers keep a view of the fleet; placers of another fleet are configured with its seeds"),
    ] = False
    class_manners: dict[str, dict[str, Any]] = {}

    def problems(self) -> list[str]:
        """Return what is wrong with the scenario, one line each."""
        found = [f"cluster.{line}" for line in self.cluster.problems()]
        classes = {cls.name for cls in self.cluster.classes}
        for key in ("shares", "shapes", "life_s"):
            named = set(getattr(self.traffic, key))
            found += [f"traffic.{key}.{name}: no class has this name" for name in sorted(named - classes)]
            if key != "shares":
                found += [f"traffic.{key}.{name}: missing" for name in sorted(set(self.traffic.shares) - named)]
        found += [f"class_manners.{name}: no class has this name" for name in sorted(set(self.class_manners) - classes)]
        for n, fault in enumerate(self.faults):
            if fault.zone is not None and fault.zone not in self.cluster.zones:
                found.append(f"faults[{n}].zone: {fault.zone!r} is none of cluster.zones")
            if fault.task_class is not None and fault.task_class not in classes:
                found.append(f"faults[{n}].task_class: no class is named {fault.task_class!r}")
            if fault.kind in ("zone_cut", "one_way_cut") and fault.zone is None:
                found.append(f"faults[{n}].zone: needed for a {fault.kind}")
            if fault.kind == "resize" and any(other.kind == "resize" for other in self.faults[:n]):
                found.append(f"faults[{n}].kind: a scenario may have one resize at most")
            if fault.kind.startswith("peer_") and not (self.peers and self.placers > 1):
                found.append(f"faults[{n}].kind: {fault.kind} needs peers and at least two placers")
            if fault.at_s > self.length_s:
                found.append(f"faults[{n}].at_s: after the end of the scenario")
        return found

    def scaled(self, length_s: float) -> Scenario:
        """Return the scenario with another length; the times of all faults are scaled with it."""
        factor = length_s / self.length_s
        faults = [structs.replace(fault, at_s=fault.at_s * factor, len_s=fault.len_s * factor) for fault in self.faults]
        return structs.replace(self, length_s=length_s, faults=faults)

    def rng(self, purpose: str) -> _random.Random:
        """Return a generator seeded by the scenario's seed and a purpose, the same in every process."""
        return _random.Random(f"{self.seed} {purpose}")

    def machine(self, number: int) -> dict[str, Any]:
        """Return the fields of machine ``number``'s model: its zone and cell, its size and its behaviour."""
        rng, cluster = self.rng(f"machine {number}"), self.cluster
        zone = cluster.zones[number % len(cluster.zones)]
        kind = cluster.kinds[number // len(cluster.zones) % len(cluster.kinds)]
        cell = number // len(cluster.zones) % self.fleet.cells_per_zone
        values: dict[str, Any] = {
            "name": f"m{number}",
            "kind": kind.name,
            "zone": zone,
            "cell": f"{zone}-{cell}",
            "cores": kind.cores,
            "memory": kind.memory,
            "accepts_cores": cluster.accepts_cores,
            "accepts_memory": cluster.accepts_memory,
            "warm_ms": cluster.warm_after_ms,
            "cold_bears": cluster.cold_bears,
            "fall_ms": cluster.fall_ms,
            "preempts": cluster.preempts,
            "report_counts": cluster.report_counts,
            "unclaimed_ms": cluster.owner_wait_ms + 1000.0,
        }
        for key, value in self.fleet.manners.items():
            values[key] = rng.uniform(*value) if isinstance(value, list) else value
        return values

    def services(self) -> list[dict[str, Any]]:
        """Return the services with their shapes and mean lifetimes."""
        rng, traffic, found = self.rng("services"), self.traffic, []
        names = sorted(traffic.shares)
        weights = [traffic.shares[name] for name in names]
        tenants = [tenant.name for tenant in self.cluster.tenants]
        for n in range(traffic.services):
            cls = names[n] if n < len(names) else rng.choices(names, weights)[0]  # each class has at least one
            cores, memory = rng.choice(traffic.shapes[cls])
            found.append(
                {
                    "name": f"{cls}-{n}",
                    "task_class": cls,
                    "cores": cores,
                    "memory": memory,
                    "life_ms": traffic.life_s[cls] * 1000.0,
                    "tenant": rng.choice(tenants) if tenants else "",
                }
            )
        return found
