"""Converts a day of the simulator's benchmark into a scenario for real processes, scaled down.

A benchmark day gives times in us, machines and placers one by one, and its load as a share of the fleet's capacity.
What has no equivalent on loopback (queues in slots, error rates, skewed clocks of load reports) is left out.
"""

from __future__ import annotations

from typing import Any

from sprucepost.settings import SettingsError

_LOAD_MARGIN = 0.93  # share of the scarcest resource that is used: a fully packed fleet evicts tasks
_MACHINE_KINDS = ("crash", "vanish", "slow", "ageing", "class_fail", "answer_lost")
_KINDS = (*_MACHINE_KINDS, "balancer_stall", "burst", "hot_key", "heavy_tail", "zone_cut", "deploy", "shrink", "grow",
          "discovery_down", "discovery_stale", "reconnect")  # fmt: skip


def _task_rate_per_s(day: dict[str, Any], servers: list[dict[str, Any]], life_s: list[float]) -> float:
    """Return the new tasks per second that give the day's load on these machines."""
    fam, kinds = day["fam"], day["tiers"][0]["kinds"]
    cores = sum(kinds[server["kind"]]["cores"] for server in servers)
    memory = sum(fam["memory"][server["kind"]] for server in servers)
    demand = [0.0, 0.0, 0.0, 0.0]  # per task per second: cores and memory in use, cores and memory requested
    for cls, use, life in zip(day["classes"], fam["uses"], life_s, strict=True):
        shapes = use["shapes"]
        total = sum(shape[2] for shape in shapes)
        requested = [sum(shape[n] * shape[2] for shape in shapes) / total for n in (0, 1)]
        for n, (amount, share) in enumerate(
            ((requested[0], use["used"][0]), (requested[1], use["used"][1]), (requested[0], 1.0), (requested[1], 1.0))
        ):
            demand[n] += cls["share"] * life * amount * share
    available = (cores, memory, cores * fam["over"][0], memory * fam["over"][1])
    return float(
        day["traffic"]["load"] * _LOAD_MARGIN * min(h / n for h, n in zip(available, demand, strict=True) if n > 0)
    )


def _fault(bench_fault: dict[str, Any], day: dict[str, Any], total: int) -> dict[str, Any]:
    kind = bench_fault["kind"]
    if kind not in _KINDS:
        raise SettingsError([f"troubles: {kind!r} has no equivalent"])
    fault: dict[str, Any] = {
        "kind": kind, "at_s": bench_fault["at"] / 1e6, "len_s": bench_fault["len"] / 1e6, "size": bench_fault["size"],
        "extra": bench_fault["extra"],
    }  # fmt: skip
    if kind in _MACHINE_KINDS:
        fault["part"] = min(1.0, len(bench_fault["on"]) / total)
    elif kind == "balancer_stall":
        fault["part"] = min(1.0, len(bench_fault["on"]) / len(day["balancers"]))
    elif kind == "deploy":
        fault["part"] = min(1.0, sum(len(step["stop"]) for step in bench_fault["steps"]) / total)
    elif kind in ("hot_key", "reconnect"):
        fault["part"] = min(1.0, bench_fault["size"])
        fault["size"] = 2.0 if kind == "hot_key" else 1.0
    elif kind == "heavy_tail":
        fault["size"] = 1.0 + (bench_fault["size"] - 1.0) * min(1.0, 6.0 * bench_fault["extra"])
    elif kind == "zone_cut":
        fault["zone"] = day["zones"][bench_fault["which"]]
    if kind in ("class_fail", "heavy_tail"):
        fault["task_class"] = day["classes"][bench_fault["which"]]["name"]
    return fault


def convert(day: dict[str, Any], scale: float) -> dict[str, Any]:
    """Return a scenario, as plain data, with ``scale`` times the day's machines, placers and traffic.

    SettingsError if the day is of another kind of system or has a fault without an equivalent.
    """
    try:
        if day["family"] != "place":
            raise SettingsError([f"family: days of {day['family']!r} do not place tasks"])
        fam, tier = day["fam"], day["tiers"][0]
        servers = [server for server in day["servers"] if server["up"]]
        machines = max(len(day["zones"]), round(len(servers) * scale))
        uses = fam["uses"]
        life_s = [fam["life_s"] * use["life"] for use in uses]
        classes = []
        for cls, use in zip(day["classes"], uses, strict=True):
            classes.append(
                {
                    "name": cls["name"], "aim_ms": cls["aim"] / 1e3, "deadline_ms": cls["deadline"] / 1e3,
                    "effect": cls["effect"], "worth": cls["worth"], "late_worth": cls["late_worth"],
                    "start_worth": use["start_s"], "group": cls["group"], "window_ms": cls["window"] / 1e3,
                    "kind": None if use["on_kind"] < 0 else tier["kinds"][use["on_kind"]]["name"],
                    "spread": use["spread"], "most": use["most"] if use["spread"] != "none" else 0,
                    "priority": use["priority"], "calm": use["calm"], "fade": use["fade"],
                }
            )  # fmt: skip
        used_servers = [server for server in servers[:machines]]
        rate_per_s = _task_rate_per_s(day, used_servers, life_s)
        task_count = sum(life * cls["share"] * rate_per_s for life, cls in zip(life_s, day["classes"], strict=True))
        services = max(len(classes), round(task_count / max(1.0, sum(use["service"] for use in uses) / len(uses))))
        return {
            "name": f"{day['site']} {day['kind']}",
            "length_s": day["length"] / 1e6,
            "seed": int(day["noise"]) % 1_000_000,
            "cluster": {
                "zones": day["zones"],
                "kinds": [
                    {"name": kind["name"], "cores": kind["cores"], "memory": memory}
                    for kind, memory in zip(tier["kinds"], fam["memory"], strict=True)
                ],
                "classes": classes,
                "max_attempts": day["allow"]["max_attempts"],
                "accepts_cores": fam["over"][0],
                "accepts_memory": fam["over"][1],
                "cold_bears": max(12.0, day["fall_multiple"] * tier["stated_cold_from"] * fam["starts"]),
                "fall_ms": day["fall_for"] / 1e3,
                "warm_after_ms": tier["stated_cold"] / 1e3,
                "drain_grace_ms": day["drain_grace"] / 1e3,
                "list_ask_every_ms": 10_000.0,
                "max_retry_after_ms": day["clients"]["max_retry_after"] / 1e3,
                "owner_wait_ms": fam["settle"] / 1e3,
                "room_in_list": fam["view"],
                "report_counts": "used" if fam["by_use"] else "asked",
                "preempts": fam["preempt"],
            },
            "placers": max(1, round(len(day["balancers"]) * scale)),
            "fleet": {
                "machines": machines,
                "manners": {
                    "admit_ms": fam["admit_us"] / 1e3, "admit_queue": fam["admit_queue"], "starts": fam["starts"],
                    "setup": fam["setup"], "kept": fam["kept"], "sends_away": fam["drain_evicts"] != "none",
                    "report_ms": tier["report_period"] / 1e3,
                },
            },
            "traffic": {
                "rate_per_s": round(rate_per_s, 3),
                "services": services,
                "shares": {cls["name"]: cls["share"] for cls in day["classes"]},
                "shapes": {
                    cls["name"]: [shape[:2] for shape in use["shapes"]]
                    for cls, use in zip(day["classes"], uses, strict=True)
                },
                "life_s": {cls["name"]: life for cls, life in zip(day["classes"], life_s, strict=True)},
                "again_ms": fam["again"] / 1e3,
            },
            "list_late_ms": day["discovery"]["notice"] / 1e3,
            "same_ms": day["net"]["same"] / 1e3,
            "cross_ms": day["net"]["cross"] / 1e3,
            "class_manners": {
                cls["name"]: {
                    "cores_use": use["used"][0], "memory_use": use["used"][1], "use_sigma": use["use_sigma"],
                    "burst": use["burst"][0], "memory_burst": use["burst"][1],
                    "work_ms": min(60.0, cls["work"] / 1e3),
                }
                for cls, use in zip(day["classes"], uses, strict=True)
            },
            "faults": [_fault(bench_fault, day, len(servers)) for bench_fault in day["troubles"]],
        }  # fmt: skip
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise SettingsError([f"not a benchmark day: {type(error).__name__}: {error}"]) from None
