"""A day drawn whole from a seed: the deployment, its fleet and traffic, and which faults meet it when.

Free of I/O and clock. One seed, one day, wherever it is played: on loopback by processes, or on a virtual clock. Every kind
of fault is a row of :data:`FAULTS`, with the ranges that its fields are drawn from; a day takes some of the rows, so that
days differ in what they are about, and faults overlap as they come. What a day is asked to hold is drawn too: few cold
offers allowed and much demand on new machines, keys that stand in a cell, a zone or everywhere, short patience.
"""

from __future__ import annotations

import random as _random  # the day's own seed, apart from any loop
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from msgspec import convert

from sprucepost.standin.scenario import Fault, Scenario

Range = tuple[float, float]


@dataclass(frozen=True)
class FaultRanges:
    """How one kind of fault is drawn; ``len_s`` as a share of the day, times where it lasts."""

    len_share: Range = (0.05, 0.3)
    part: Range = (0.1, 0.5)
    size: Range = (1.0, 1.0)
    extra: Range | None = None
    zone: bool = False
    most: int = 2  # in one day


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
    "shrink": FaultRanges(len_share=(0.1, 0.3), size=(1.2, 1.6), most=1),
    "grow": FaultRanges(len_share=(0.04, 0.2), size=(1.3, 2.2), extra=(0.5, 1.0), most=1),
    "discovery_down": FaultRanges(len_share=(0.08, 0.4)),
    "discovery_stale": FaultRanges(len_share=(0.1, 0.5), size=(1.0, 6.0)),
    "reconnect": FaultRanges(len_share=(0.01, 0.1), part=(0.1, 0.6)),
    "placer_kill": FaultRanges(len_share=(0.02, 0.15), part=(0.1, 0.5)),
    "reset": FaultRanges(len_share=(0.0, 0.0), part=(0.2, 1.0), most=3),
    "list_empty": FaultRanges(len_share=(0.05, 0.2), most=1),
    "list_back": FaultRanges(len_share=(0.05, 0.2), size=(1.0, 10.0), most=1),
    "list_gone": FaultRanges(len_share=(0.05, 0.2), part=(0.3, 0.6), most=1),
    "one_way_cut": FaultRanges(len_share=(0.05, 0.25), extra=(0.0, 1.0), zone=True),
    "slow_link": FaultRanges(part=(0.1, 0.7), size=(20.0, 800.0), extra=(0.0, 40_000.0)),
    "descriptors": FaultRanges(part=(0.1, 0.6)),
    "clock_step": FaultRanges(part=(0.1, 0.5), size=(-8000.0, 8000.0), most=1),
    "same_number": FaultRanges(len_share=(0.15, 0.4), part=(0.0, 0.0), most=1),
    "placer_stop": FaultRanges(len_share=(0.02, 0.1), part=(0.1, 0.4), size=(50.0, 2500.0)),
    "resize": FaultRanges(len_share=(0.2, 0.4), size=(1.2, 1.7), most=1),
}
PEER_FAULT_RANGES: Mapping[
    str, FaultRanges
] = {  # what days are drawn from besides whose placers keep a view of their fleet
    "peer_cut": FaultRanges(len_share=(0.04, 0.45), part=(0.1, 0.5), extra=(0.0, 2.49), most=2),
    "peer_flap": FaultRanges(len_share=(0.1, 0.4), part=(0.1, 0.5), size=(150.0, 2500.0)),
    "peer_slow": FaultRanges(len_share=(0.1, 0.4), part=(0.1, 0.5), size=(50.0, 900.0)),
    "peer_reset": FaultRanges(len_share=(0.1, 0.5), part=(0.1, 1.0), extra=(0.3, 3.0), most=2),
    "balancer_stall": FAULT_RANGES["balancer_stall"],
    "placer_kill": FAULT_RANGES["placer_kill"],
    "placer_crowd": FaultRanges(len_share=(0.01, 0.05), part=(0.1, 0.3), size=(2.0, 6.0), most=1),
    "placer_stop": FAULT_RANGES["placer_stop"],
    "clock_step": FAULT_RANGES["clock_step"],
}
EFFECTS = (["safe", "keyed", "unsafe"], ["keyed", "unsafe"], ["safe", "keyed"], ["unsafe"], ["keyed", "keyed"])
COLD_START_FAULTS = ("crash", "deploy", "grow", "vanish", "ageing")  # what leaves machines that have just come up


def generate_scenario(seed: int, length_s: float = 24.0, peers: bool = False) -> Scenario:
    """The day of that seed. Seeds are apart: two that follow each other have nothing in common. With ``peers`` its placers
    keep a view of their fleet, there are more of them, and they have faults of their own besides."""
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
        _peers(_random.Random(f"peers {seed}"), raw)
    return convert(raw, Scenario)


def _peers(rng: _random.Random, raw: dict[str, Any]) -> None:
    """Fewer of the usual faults, and some between placers; half of the resizes are told to one placer only."""
    raw.update(peers=True, placers=rng.choice((3, 5, 6, 7, 9)))
    usual = [fault for fault in raw["faults"] if fault["kind"] != "same_number"]
    raw["faults"] = rng.sample(usual, min(len(usual), rng.randint(0, 3)))
    for fault in raw["faults"]:
        if fault["kind"] == "resize":
            fault["extra"] = rng.choice((0.0, 1.0))
    for kind in rng.sample(sorted(PEER_FAULT_RANGES), rng.randint(1, 4)):
        for _ in range(rng.randint(1, PEER_FAULT_RANGES[kind].most)):
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
    bears = rng.choice((2, 3, 4, 6, 12))
    return {
        "zones": zones,
        "kinds": [{"name": "std", "cores": 24, "memory": 48}, {"name": "big", "cores": 48, "memory": 96}][
            : rng.randint(1, 2)
        ],
        "classes": [_class(rng, n, effect) for n, effect in enumerate(effects)],
        "max_attempts": rng.randint(2, 4),
        "accepts_cores": 1.5,
        "accepts_memory": 1.5,
        "cold_bears": bears,
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
    deadline = rng.choice((1500, 3000, 5000))
    cls: dict[str, Any] = {
        "name": f"{effect}-{number}",
        "aim_ms": rng.choice((300, 600, 1200)),
        "deadline_ms": deadline,
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
    """A load of 0.4 to 1.1 of what the fleet accepts, by many short or few long tasks."""
    names = [cls["name"] for cls in cluster["classes"]]
    mean = sum(kind["cores"] for kind in cluster["kinds"]) / len(cluster["kinds"])
    rate, life = rng.uniform(10.0, 35.0), rng.choice((3.0, 8.0, 15.0))
    cores = rng.uniform(0.4, 1.1) * machines * mean / (rate * life)
    cores = min(6.0, max(0.25, cores))
    shapes = [[round(cores * by, 2), round(cores * by * rng.uniform(0.8, 2.0), 2)] for by in (0.5, 1.0, 1.5)]
    return {
        "rate_per_s": round(rate, 1),
        "services": rng.randint(6, 40),
        "shares": {name: rng.randint(10, 60) for name in names},
        "shapes": {name: shapes for name in names},
        "life_s": {name: life for name in names},
        "again_ms": rng.choice((400, 1200)),
    }


def _faults(rng: _random.Random, length_s: float, zones: list[str]) -> list[dict[str, Any]]:
    """Some kinds, each once or more. Every second day at least one kind that leaves cold machines is among them."""
    kinds = [kind for kind, row in FAULT_RANGES.items() if not row.zone or len(zones) > 1]
    chosen = rng.sample(kinds, rng.randint(2, 9))
    if rng.random() < 0.5 and not set(chosen) & set(COLD_START_FAULTS):
        chosen.append(rng.choice(COLD_START_FAULTS))
    faults = []
    for kind in chosen:
        row = FAULT_RANGES[kind]
        for _ in range(rng.randint(1, row.most) if rng.random() < 0.4 else 1):
            faults.append(_fault(rng, kind, row, length_s, zones))
    return sorted(faults, key=lambda fault: (fault["at_s"], fault["kind"]))


def _fault(rng: _random.Random, kind: str, row: FaultRanges, length_s: float, zones: list[str]) -> dict[str, Any]:
    fault: dict[str, Any] = {
        "kind": kind,
        "at_s": round(rng.uniform(0.05, 0.85) * length_s, 2),
        "len_s": round(rng.uniform(*row.len_share) * length_s, 2),
        "part": round(rng.uniform(*row.part), 2),
        "size": round(rng.uniform(*row.size), 2),
    }
    if row.extra is not None:  # half of the days without it, where none is a meaning of its own
        fault["extra"] = round(rng.uniform(*row.extra), 2) if row.extra[0] or rng.random() < 0.5 else 0.0
    if row.zone:
        fault["zone"] = rng.choice(zones)
    return fault


def count_kinds(faults: list[Fault]) -> dict[str, int]:
    """How often each kind of fault is in a day."""
    counts: dict[str, int] = {}
    for fault in faults:
        counts[fault.kind] = counts.get(fault.kind, 0) + 1
    return dict(sorted(counts.items()))
