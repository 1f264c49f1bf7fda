"""The settings object of a small deployment with the figures of catania-main, as the placer gets it under ``settings``."""

from __future__ import annotations

from typing import Any

ROOMS = ["room-a", "room-b", "room-c"]


def catania(number: int = 0, instances: int = 3) -> dict[str, Any]:
    """Three rooms, the classes ``reading-api`` (safe) and ``billing-run`` (keyed, all nodes), a placer in room-a."""
    classes = [
        {
            "name": "reading-api", "objective": 800.0, "deadline": 8000.0, "effect": "pure", "key_scope": "all",
            "window": 5000.0, "late_value": 0.1, "worth": 3.0, "lasting": True,
        },
        {
            "name": "billing-run", "objective": 1000.0, "deadline": 5000.0, "effect": "token", "key_scope": "all",
            "window": 8000.0, "late_value": 0.2, "worth": 9.0, "lasting": True,
        },
    ]  # fmt: skip
    return {
        "areas": ROOMS,
        "skus": ["std-32", "big-64"],
        "classes": classes,
        "tenants": [],
        "me": number,
        "n_instances": instances,
        "zone": 0,
        "membership_mode": "ask",
        "granularity": 2.0,
        "over_share_worth": 0.1,
        "family": "place",
        "report": {"fields": ["x0", "x1", "queue", "util"], "how": "inline"},
        "policy_limits": {
            "cancel": True, "connect_timeout": 250.0, "keepalive": 30000.0, "max_attempts": 3, "max_open": 1000000,
            "max_retry_after": 3000.0, "may_duplicate": False, "peers": False, "probes": True, "retry_after": True,
        },
        "rules": {
            "answer_slack": 8.0, "ask_every": 10000.0, "cold_from": 0.23, "drain_grace": 2000.0, "fall": 3000.0,
            "fall_multiple": 4.0, "warm_after": 17000.0,
        },
        "family_info": {
            "admit_cores": 2.5, "accepts_memory": 1.5, "yes_at": "accepted", "sticks": False,
            "calm_level": [0.8, 0.8], "fades_over": [0.15, 0.15], "class_kind": [-1, -1], "class_start_s": [10.0, 8.0],
            "class_spread": ["zone", "zone"], "most_together": [3, 4], "precedence": [0, 0], "cold_bears": 112.0,
            "cores_by_kind": [31, 63], "memory_by_kind": [60.0, 139.0], "usual_cores": 0.98, "unit_memory": 1.7,
            "measured_by": "asked", "free_in_list": True, "makes_room": False, "quota_cores": [],
            "use_notes": True, "pressure_notes": True, "owner_wait": 3000.0,
        },
    }  # fmt: skip
