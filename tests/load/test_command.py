"""``sprucepost load`` as a command: plans, two sides, a replayed recording, an HTML page, and errors."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sprucepost.load.recorded import read_recorded_arrivals
from sprucepost.load.report import flat_figures, render_page
from sprucepost.loop import sleep
from sprucepost.rules.record import CAPTURE, CLUSTER
from sprucepost.wire.capture import MAGIC
from tests.placer.support import World, cluster, run_in_world, task
from tests.wire.support import wait_for

PLAN = {
    "arrivals": {"shape": "bursts", "size": 20, "every_ms": 200},
    "classes": [{"name": "web", "share": 2, "cores": 0.01, "memory": 0.01}, {"name": "bill", "cores": 0.01}],
    "length_s": 1.0,
    "owners": 3,
}


def load(*arguments: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "sprucepost", "load", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def address(listen: Any) -> str:
    return f"{listen[0]}:{listen[1]}"


def test_two_plans_run_side_by_side_on_two_placers_with_a_page(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_text(json.dumps(PLAN))
    (tmp_path / "b.json").write_text(json.dumps({**PLAN, "credit": False, "batches": False}))

    def body(world: World) -> Any:
        world.machine("m1", cores=500.0, memory=500.0)
        placers = [world.placer(n, 2) for n in range(2)]
        for placer in placers:
            yield from world.ready(placer, 1)
        process = load(
            address(placers[0].grpc_address), "--versus", address(placers[1].grpc_address), "--plan",
            str(tmp_path / "a.json"), "--versus-plan", str(tmp_path / "b.json"),
            "--save", str(tmp_path / "f.json"), "--html", str(tmp_path / "f.html"),
        )  # fmt: skip
        yield from wait_for(lambda: process.poll() is not None, 30_000)
        return process.returncode, process.communicate(), [p.engine.counters["submitted"] for p in placers]

    status, (out, err), submitted = run_in_world(body, limit_ms=40_000)
    assert status == 0, err
    figures = json.loads((tmp_path / "f.json").read_text())
    assert submitted == [100, 100] and figures["first"]["due"] == figures["second"]["due"] == 100
    assert figures["first"]["classes"].keys() == {"bill", "web"} and "ratio" in out
    text = (tmp_path / "f.html").read_text()
    assert "<svg" in text and "placed_ms p99" in text and "http" not in text.split("</svg>")[1]


def test_a_recorded_run_is_read_for_a_replay(tmp_path: Path) -> None:
    def record_run(world: World) -> Any:
        world.machine("m1")
        placer = world.placer()
        front = world.tap.add("placer-0", placer.grpc_address)
        owners = [world.owner(front, name) for name in ("a", "b")]
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: all(owner.up for owner, _ in owners))
        for n in range(6):
            owner, followed = owners[n % 2]
            owner.submit(f"t{n}", task(life_ms=20.0 + n), 900)
            while not followed.outcomes(f"t{n}"):
                yield from sleep(2.0)
        # A retry: left out, since the owners of a replay retry by themselves.
        owners[0][0].submit("t0", task(life_ms=20), 900)
        yield from wait_for(lambda: len(owners[0][1].outcomes("t0")) == 2)
        return b"".join(world.captured)

    capture = run_in_world(record_run)
    assert capture.startswith(MAGIC)
    (tmp_path / CAPTURE).write_bytes(capture)
    (tmp_path / CLUSTER).write_text(json.dumps(msgspec.to_builtins(cluster())))
    arrivals = read_recorded_arrivals(tmp_path)
    assert [arrival.life_ms for arrival in arrivals] == [20.0 + n for n in range(6)] and {
        arrival.owner for arrival in arrivals
    } == {0, 1}
    assert arrivals[0].at_ms == 0.0 and arrivals[0].left_ms == pytest.approx(900.0, abs=1.0)


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (["127.0.0.1:1"], 2, "--plan, or --class and --rate"),
        (["127.0.0.1:1", "--plan", "nowhere.json"], 2, "nowhere.json"),
        (["127.0.0.1:1", "--class", "web", "--rate", "5", "--against", "nowhere.json"], 2, "nowhere.json"),
        (["127.0.0.1:1", "--class", "web", "--rate", "5", "--burst", "3", "1", "2"], 2, "arrivals.surges[0].to_s"),
    ],
)
def test_an_unusable_plan_is_reported_in_one_line(arguments: list[str], status: int, text: str) -> None:
    process = load(*arguments)
    _, err = process.communicate(timeout=30)
    assert process.returncode == status and text in err and err.count("\n") == 1 and "Traceback" not in err


def test_the_same_figures_give_the_same_page() -> None:
    figures = {
        "due": 3,
        "classes": {"web": {"due": 3}},
        "bucket_ms": 250.0,
        "buckets": [[3, 2, 2, 1, 80.0], [0, 0, 0, 0, 0]],
    }
    assert render_page("t", {"a": figures}, {}) == render_page("t", {"a": figures}, {})
    assert flat_figures(figures) == {"due": 3, "classes web due": 3}
