"""The adapter run as a process that reads batches and writes replies."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

from sprucepost.adapter import settings_from

INFO: dict[str, Any] = {
    "me": 0,
    "n_instances": 2,
    "zone": 0,
    "areas": ["a", "b"],
    "skus": ["std"],
    "granularity": 1.0,
    "membership_mode": "push",
    "over_share_worth": 0.5,
    "unheard_of": {"x": 1},
    "classes": [{"name": "web", "objective": 500.0, "deadline": 4000.0, "effect": "pure", "worth": 1.0}],
    "tenants": [{"name": "t", "share": 1.0}],
    "family_info": {
        "cores_by_kind": [16],
        "memory_by_kind": [32],
        "admit_cores": 1.0,
        "accepts_memory": 1.0,
        "cold_bears": 8.0,
        "free_in_list": True,
        "measured_by": "asked",
        "yes_at": "accepted",
        "quota_cores": [10.0],
        "class_spread": ["zone"],
        "most_together": [50],
    },
    "policy_limits": {"max_attempts": 3, "max_retry_after": 1000.0},
    "report": {"how": "inline", "fields": ["x0", "x1", "novel"]},
    "rules": {"fall": 2000.0, "warm_after": 10000.0, "ask_every": 10000.0},
}
ROWS = ["ROW 0 32.0 1 host_one 0 - 1 16.0 0", "ROW 1 32.0 1 host_two 1 - 1 16.0 0"]


def instance_up(name: str, info: dict[str, Any] = INFO) -> list[str]:
    return [f"UP {name} 7 {json.dumps(info)}", "ROSTER 0 2", *ROWS, f"DIRECTORY_UPDATE {name} 1 0 2"]


def batch_text(now: float, *lines: str) -> str:
    return "\n".join([f"TURN {now}", *lines, "FLUSH"]) + "\n"


def demand_line(name: str, number: int, service: str = "c:s") -> str:
    return f"DEMAND {name} {number} 0 0 task-{number} 4000.0 - {service} 1 2.5 0"


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sprucepost.adapter"],
        input=text,
        text=True,
        check=False,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def test_an_empty_batch_gets_an_empty_reply() -> None:
    process = run_adapter("TURN 8412.25\nFLUSH\n")
    assert (process.returncode, process.stdout, process.stderr) == (0, "END\n", "")


def test_a_task_runs_from_its_request_to_its_end() -> None:
    reply = run_adapter(batch_text(100.0, *instance_up("placer-0"), demand_line("placer-0", 11))).stdout.splitlines()
    offers = [line for line in reply if line.startswith("TRY")]
    assert len(offers) == 1
    _, name, number, host, limit = offers[0].split()
    assert (name, number) == ("placer-0", "11") and host in ("host_one", "host_two") and float(limit) > 0
    text = batch_text(100.0, *instance_up("placer-0"), demand_line("placer-0", 11))
    text += batch_text(
        110.0,
        f"ACCEPTED placer-0 11 0 {host} 10.0",
        f"STATUS_NOTE placer-0 11 0 {host} 1 0.5",
        f"STATUS_NOTE placer-0 11 0 {host} 77 0.5",
    )
    text += batch_text(900.0, f"RESPONSE placer-0 11 0 {host} ok 800.0 1 - 15.0,30.0,3")
    text += batch_text(950.0, "LAPSED placer-0 11", "BELL placer-0 answer:11", "NOVELTY placer-0 1 2 3")
    process = run_adapter(text)
    assert process.returncode == 0 and process.stderr == ""
    assert process.stdout.split("END\n")[1:] == ["", "", "", ""]


def test_a_killed_instance_is_removed_and_may_start_again() -> None:
    text = batch_text(100.0, *instance_up("placer-0"), demand_line("placer-0", 1))
    text += batch_text(200.0, "KILLED placer-0", demand_line("placer-0", 2))
    text += batch_text(
        300.0,
        *instance_up("placer-0"),
        "FOUND placer-0 3 0 0 task-1 9.0 5.0 c:s 1 2.5 1 host_one",
        demand_line("placer-0", 4),
    )
    process = run_adapter(text)
    replies = process.stdout.split("END\n")
    assert replies[1] == "" and "TRY placer-0 4" in replies[2] and process.returncode == 0


def test_an_instance_decides_the_same_alone_and_beside_others_under_any_hash_seed() -> None:
    def input_for(*names: str) -> str:
        text = batch_text(100.0, *(line for name in names for line in instance_up(name)))
        for step in range(60):
            now = 110.0 + 40 * step
            text += batch_text(now, *(demand_line(name, step, f"c:{step % 7}") for name in names))
        return text

    together = run_adapter(input_for("placer-0", "placer-1")).stdout.splitlines()
    for name in ("placer-0", "placer-1"):
        alone = run_adapter(input_for(name), hash_seed="12345").stdout.splitlines()
        lines = [line for line in together if f" {name} " in line]
        assert lines == [line for line in alone if line != "END"]
        assert any(line.startswith("TRY") for line in lines)


@pytest.mark.parametrize(
    "text",
    [
        "FLUSH\n",
        "TURN x\nFLUSH\n",
        "TURN 1\nTURN 2\n",
        "TURN 1\n",
        "TURN nan\nFLUSH\n",
        batch_text(1.0, "UP placer-0 7 {bad json"),
        batch_text(1.0, "UP placer-0 7 {}"),
        batch_text(1.0, "ROSTER 0 2", ROWS[0]),
        batch_text(1.0, ROWS[0]),
        batch_text(1.0, *instance_up("p"), "DIRECTORY_UPDATE p 1 9 1"),
        batch_text(1.0, *instance_up("p"), "DEMAND p x"),
        batch_text(1.0, *instance_up("p"), "DEMAND p 1 0"),
        batch_text(1.0, *instance_up("p"), "RESPONSE p 1 0 h vanished 1 0 - -"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line_on_stderr(text: str) -> None:
    process = run_adapter(text)
    assert process.returncode == 1
    assert len(process.stderr.splitlines()) == 1 and process.stderr.startswith("sprucepost: line ")


def test_an_exception_in_the_scheduler_is_reported_as_a_failure() -> None:
    process = run_adapter(
        batch_text(1.0, *instance_up("placer-0"), "DEMAND placer-0 1 99 0 task-1 4000.0 - c:s 1 2.5 0")
    )
    assert process.returncode == 0
    assert [line.split()[0] for line in process.stdout.splitlines()] == ["BAIL_OUT", "END"]
    assert "IndexError" in process.stdout


@pytest.mark.parametrize(
    "key",
    [
        "me",
        "n_instances",
        "zone",
        "areas",
        "granularity",
        "membership_mode",
        "classes",
        "family_info",
        "family_info.cores_by_kind",
        "family_info.admit_cores",
        "family_info.cold_bears",
        "rules.fall",
        "rules.warm_after",
        "rules.ask_every",
        "policy_limits.max_attempts",
    ],
)
def test_the_error_names_a_missing_setting(key: str) -> None:
    info = json.loads(json.dumps(INFO))
    container = info
    *path, last = key.split(".")
    for part in path:
        container = container[part]
    del container[last]
    with pytest.raises(ValueError, match=key):
        settings_from(info)


@pytest.mark.parametrize(
    ("path", "value", "expected_key"),
    [
        (("n_instances",), 0, "n_instances"),
        (("zone",), 5, "zone"),
        (("membership_mode",), "gossip", "membership_mode"),
        (("rules", "fall"), -1, "fall"),
        (("family_info", "cold_bears"), float("inf"), "cold_bears"),
        (("granularity",), "soon", "granularity"),
        (("areas",), "a", "areas"),
        (("classes", 0, "effect"), "odd", "effect"),
        (("classes", 0, "objective"), 0, "aim"),
        (("family_info", "most_together"), [0], "most"),
        (("family_info", "memory_by_kind"), [], "memory_by_kind"),
        (("policy_limits", "max_retry_after"), "long", "policy_limits.max_retry_after"),
    ],
)
def test_the_error_names_an_invalid_setting(path: tuple[Any, ...], value: object, expected_key: str) -> None:
    info = json.loads(json.dumps(INFO))
    container = info
    for part in path[:-1]:
        container = container[part]
    container[path[-1]] = value
    with pytest.raises(ValueError, match=expected_key):
        settings_from(info)
