"""Generates a random scenario from a seed: the cluster, its fleet and traffic, and its faults and their times.

The module uses no I/O and no clock. A seed gives the same scenario wherever it runs: with processes on loopback or on a
virtual clock. :data:`FAULT_RANGES` has the ranges from which each kind of fault is drawn. A scenario contains some of
the kinds, so that scenarios differ in what they test, and faults may overlap. The cluster's limits are random too: the
number of offers that a cold machine withstands, whether keys are unique per cell, per zone or everywhere, and the
deadlines.
"""

from __future__ import annotations

import random as _random  # the scenario's own seed, independent of any loop
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from msgspec import convert

from sprucepost.standin.scenario import Fault, Scenario

ValueRange = tuple[float, float]


@dataclass(frozen=True)
class FaultRanges:
    """The ranges from which one kind of fault is drawn; ``len_share`` is its length as a share of the day."""

    len_share: ValueRange = (0.05, 0.3)
    part: ValueRange = (0.1, 0.5)
    size: ValueRange = (1.0, 1.0)
    extra: ValueRange | None = None
    zone: bool = False
    max_per_day: int = 2  # largest number of such faults in one day


FAULT_RANGES: Mapping[str, FaultRanges] = {
    "crash": FaultRanges(len_share=(0.04, 0.25), part=(0.1, 0.6)),
    "vanish": FaultRanges(len_share=(0.08, 0.3), part=(0.08, 0.4)),
    "slow": FaultRanges(part=(0.1, 0.7), size=(2.0, 15.0)),
    "ageing": FaultRanges(len_share=(0.15, 0.3), part=(0.1, 0.4), size=(3.0, 15.0), extra=(1.0, 2.0)),
    "class_fail": FaultRanges(part=(0.2, 0.7)),
    "answer_lost": FaultRanges(len_share=(0.1, 0.4), part=(0.2, 0.9), size=(0.1, 0.9)),
    "balancer_stall": FaultRanges(part=(0.1, 1.0), size=(200.0, 5000.0), extra=(0.0, 3.0)),
    "burst": FaultRanges(len_share=(0.05, 0.2), size=(1.5, 3.0)),
    "ask_twice": FaultRanges(len_share=(0.1, 0.5), part=(0.1, 0.8)),
    "hot_key": FaultRanges(part=(0.1, 0.4), size=(1.5, 3.0)),
    "heavy_tail": FaultRanges(size=(1.5, 3.0)),
    "zone_cut": FaultRanges(len_share=(0.05, 0.3), zone=True),
    "deploy": FaultRanges(len_share=(0.2, 0.5), part=(0.3, 0.9), size=(0.1, 0.35), extra=(0.5, 2.5)),
    "shrink": FaultRanges(len_share=(0.1, 0.3), size=(1.2, 1.6), max_per_day=1),
    "grow": FaultRanges(len_share=(0.04, 0.2), size=(1.3, 2.2), extra=(0.5, 1.0), max_per_day=1),
    "discovery_down": FaultRanges(len_share=(0.08, 0.4)),
    "discovery_stale": FaultRanges(len_share=(0.1, 0.5), size=(1.0, 6.0)),
    "reconnect": FaultRanges(len_share=(0.01, 0.1), part=(0.1, 0.6)),
    "placer_kill": FaultRanges(len_share=(0.02, 0.15), part=(0.1, 0.5)),
    "reset": FaultRanges(len_share=(0.0, 0.0), part=(0.2, 1.0), max_per_day=3),
    "list_empty": FaultRanges(len_share=(0.05, 0.2), max_per_day=1),
    "list_back": FaultRanges(len_share=(0.05, 0.2), size=(1.0, 10.0), max_per_day=1),
    "list_gone": FaultRanges(len_share=(0.05, 0.2), part=(0.3, 0.6), max_per_day=1),
    "one_way_cut": FaultRanges(len_share=(0.05, 0.25), extra=(0.0, 1.0), zone=True),
    "slow_link": FaultRanges(part=(0.1, 0.7), size=(20.0, 800.0), extra=(0.0, 40_000.0)),
    "descriptors": FaultRanges(part=(0.1, 0.6)),
    "clock_step": FaultRanges(part=(0.1, 0.5), size=(-8000.0, 8000.0), max_per_day=1),
    "same_number": FaultRanges(len_share=(0.15, 0.4), part=(0.0, 0.0), max_per_day=1),
    "placer_stop": FaultRanges(len_share=(0.02, 0.1), part=(0.1, 0.4), size=(50.0, 2500.0)),
    "resize": FaultRanges(len_share=(0.2, 0.4), size=(1.2, 1.7), max_per_day=1),
}
PEER_FAULT_RANGES: Mapping[str, FaultRanges] = {  # further faults of days whose placers keep a view of the fleet
    "peer_cut": FaultRanges(len_share=(0.04, 0.45), part=(0.1, 0.5), extra=(0.0, 2.49), max_per_day=2),
    "peer_flap": FaultRanges(len_share=(0.1, 0.4), part=(0.1, 0.5), size=(150.0, 2500.0)),
    "peer_slow": FaultRanges(len_share=(0.1, 0.4), part=(0.1, 0.5), size=(50.0, 900.0)),
    "peer_reset": FaultRanges(len_share=(0.1, 0.5), part=(0.1, 1.0), extra=(0.3, 3.0), max_per_day=2),
    "balancer_stall": FAULT_RANGES["balancer_stall"],
    "placer_kill": FAULT_RANGES["placer_kill"],
    "placer_crowd": FaultRanges(len_share=(0.01, 0.05), part=(0.1, 0.3), size=(2.0, 6.0), max_per_day=1),
    "placer_stop": FAULT_RANGES["placer_stop"],
    "clock_step": FAULT_RANGES["clock_step"],
}
EFFECTS = (["safe", "keyed", "unsafe"], ["keyed", "unsafe"], ["safe", "keyed"], ["unsafe"], ["keyed", "keyed"])
COLD_START_FAULTS = ("crash", "deploy", "grow", "vanish", "ageing")  # kinds that leave machines that have just started


def generate_scenario(seed: int, length_s: float = 24.0, peers: bool = False) -> Scenario:
    """Return the scenario of a seed; consecutive seeds give unrelated scenarios.

    With ``peers`` the placers keep a view of the fleet, there are more of them, and there are faults between them.
    """
    rng = _random.Random(f"day {seed}")
    cluster = _cluster(rng)
    machines = rng.randint(5, 16)
    placers = rng.choice((2, 3, 4, 6, 8))
    raw: dict[str, Any] = {
        "name": "drawn",
        "length_s": length_s,
        "seed": seed,
        "cluster": cluster,
        "placers": placers,
        "fleet": {
            "machines": machines,
            "cells_per_zone": rng.randint(1, 3),
            "manners": {
                "admit_ms": [3, rng.choice((10, 25, 60))],
                "starts": rng.randint(2, 4),
                "setup": [4, 10],
                "sends_away": rng.random() < 0.5,
            },
        },
        "traffic": _traffic(rng, cluster, machines),
        "faults": _faults(rng, length_s, cluster["zones"]),
        "list_late_ms": rng.choice((100, 400, 800, 1500)),
        "cross_ms": rng.choice((0.5, 1, 5, 20)),
    }
    if peers:
        _add_peer_faults(_random.Random(f"peers {seed}"), raw)
    return convert(raw, Scenario)


def _add_peer_faults(rng: _random.Random, raw: dict[str, Any]) -> None:
    """Keep few of the other faults and add some between placers; half of the resizes are announced to one placer
    only."""
    raw.update(peers=True, placers=rng.choice((3, 5, 6, 7, 9)))
    other_faults = [fault for fault in raw["faults"] if fault["kind"] != "same_number"]
    raw["faults"] = rng.sample(other_faults, min(len(other_faults), rng.randint(0, 3)))
    for fault in raw["faults"]:
        if fault["kind"] == "resize":
            fault["extra"] = rng.choice((0.0, 1.0))
    for kind in rng.sample(sorted(PEER_FAULT_RANGES), rng.randint(1, 4)):
        for _ in range(rng.randint(1, PEER_FAULT_RANGES[kind].max_per_day)):
            fault = _fault(rng, kind, PEER_FAULT_RANGES[kind], raw["length_s"], raw["cluster"]["zones"])
            if kind == "peer_cut":
                fault["extra"] = float(round(fault["extra"]))
                if rng.random() < 0.4:
                    fault["zone"] = rng.choice(raw["cluster"]["zones"])
            raw["faults"].append(fault)
    raw["faults"].sort(key=lambda fault: (fault["at_s"], fault["kind"]))


def _cluster(rng: _random.Random) -> dict[str, Any]:
    zones = [f"room-{letter}" for letter in "abc"[: rng.randint(1, 3)]]
    effects = rng.choice(
        (["safe", "keyed", "unsafe"], ["keyed", "unsafe"], ["safe", "keyed"], ["unsafe"], ["keyed", "keyed"])
    )
    cold_bears = rng.choice((2, 3, 4, 6, 12))
    return {
        "zones": zones,
        "kinds": [{"name": "std", "cores": 24, "memory": 48}, {"name": "big", "cores": 48, "memory": 96}][
            : rng.randint(1, 2)
        ],
        "classes": [_class(rng, n, effect) for n, effect in enumerate(effects)],
        "max_attempts": rng.randint(2, 4),
        "accepts_cores": 1.5,
        "accepts_memory": 1.5,
        "cold_bears": cold_bears,
        "fall_ms": rng.choice((1500, 2000)),
        "warm_after_ms": rng.choice((6000, 10000, 15000)),
        "drain_grace_ms": rng.choice((500, 1000, 2000)),
        "list_ask_every_ms": rng.choice((2000, 4000)),
        "max_retry_after_ms": rng.choice((500, 2000)),
        "owner_wait_ms": rng.choice((2000, 3000)),
        "room_in_list": rng.random() < 0.8,
        "report_counts": rng.choice(("asked", "used")),
        "preempts": rng.random() < 0.3,
    }


def _class(rng: _random.Random, number: int, effect: str) -> dict[str, Any]:
    deadline_ms = rng.choice((1500, 3000, 5000))
    cls: dict[str, Any] = {
        "name": f"{effect}-{number}",
        "aim_ms": rng.choice((300, 600, 1200)),
        "deadline_ms": deadline_ms,
        "effect": effect,
        "worth": rng.choice((1, 3, 9)),
        "start_worth": rng.choice((0, 8)),
        "calm": 0.8,
        "fade": 0.2,
        "priority": rng.randint(0, 2),
    }
    if effect == "keyed":
        cls["group"] = rng.choice(("all", "zone", "cell"))
        cls["window_ms"] = rng.choice((1000, 2500, 6000))
    if rng.random() < 0.6:
        cls["spread"] = rng.choice(("machine", "cell", "zone"))
        cls["most"] = rng.randint(1, 5)
    return cls


def _traffic(rng: _random.Random, cluster: dict[str, Any], machines: int) -> dict[str, Any]:
    """Draw a load of 0.4 to 1.1 times what the fleet accepts, as many short or few long tasks."""
    names = [cls["name"] for cls in cluster["classes"]]
    mean_cores = sum(kind["cores"] for kind in cluster["kinds"]) / len(cluster["kinds"])
    rate_per_s, lifetime_s = rng.uniform(10.0, 35.0), rng.choice((3.0, 8.0, 15.0))
    cores = rng.uniform(0.4, 1.1) * machines * mean_cores / (rate_per_s * lifetime_s)
    cores = min(6.0, max(0.25, cores))
    shapes = [
        [round(cores * factor, 2), round(cores * factor * rng.uniform(0.8, 2.0), 2)] for factor in (0.5, 1.0, 1.5)
    ]
    return {
        "rate_per_s": round(rate_per_s, 1),
        "services": rng.randint(6, 40),
        "shares": {name: rng.randint(10, 60) for name in names},
        "shapes": {name: shapes for name in names},
        "life_s": {name: lifetime_s for name in names},
        "again_ms": rng.choice((400, 1200)),
    }


def _faults(rng: _random.Random, length_s: float, zones: list[str]) -> list[dict[str, Any]]:
    """Draw some kinds, each once or more. Every second day has at least one kind that leaves cold machines."""
    kinds = [kind for kind, ranges in FAULT_RANGES.items() if not ranges.zone or len(zones) > 1]
    chosen = rng.sample(kinds, rng.randint(2, 9))
    if rng.random() < 0.5 and not set(chosen) & set(COLD_START_FAULTS):
        chosen.append(rng.choice(COLD_START_FAULTS))
    faults = []
    for kind in chosen:
        ranges = FAULT_RANGES[kind]
        for _ in range(rng.randint(1, ranges.max_per_day) if rng.random() < 0.4 else 1):
            faults.append(_fault(rng, kind, ranges, length_s, zones))
    return sorted(faults, key=lambda fault: (fault["at_s"], fault["kind"]))


def _fault(rng: _random.Random, kind: str, ranges: FaultRanges, length_s: float, zones: list[str]) -> dict[str, Any]:
    fault: dict[str, Any] = {
        "kind": kind,
        "at_s": round(rng.uniform(0.05, 0.85) * length_s, 2),
        "len_s": round(rng.uniform(*ranges.len_share) * length_s, 2),
        "part": round(rng.uniform(*ranges.part), 2),
        "size": round(rng.uniform(*ranges.size), 2),
    }
    if ranges.extra is not None:  # 0 in half of the faults if 0 has a meaning of its own
        fault["extra"] = round(rng.uniform(*ranges.extra), 2) if ranges.extra[0] or rng.random() < 0.5 else 0.0
    if ranges.zone:
        fault["zone"] = rng.choice(zones)
    return fault


def count_kinds(faults: list[Fault]) -> dict[str, int]:
    """Return the number of faults of each kind."""
    counts: dict[str, int] = {}
    for fault in faults:
        counts[fault.kind] = counts.get(fault.kind, 0) + 1
    return dict(sorted(counts.items()))
