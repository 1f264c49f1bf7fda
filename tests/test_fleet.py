"""The fleet runner, and a day of a small fleet: started, resized both ways and rolled under load, judged from the bytes."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.fleet_day import Day
from tests.test_settings import good


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sprucepost", "fleet", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_a_fleet_of_24_is_resized_and_rolled_under_load_without_losing_a_task(tmp_path: Path) -> None:
    day = Day(24, 8, 6, 6.0, 30.0, tmp_path, short=True)
    assert day.play(), day.result
    result: dict[str, Any] = day.result
    assert result["outcomes"]["asked"] > 300 and result["worst_cold_window"] <= 6
    assert (
        sum(result["outcomes"].get(name, 0) for name in ("placed", "refused", "failed")) == result["outcomes"]["asked"]
    )


def test_a_crashed_placer_is_started_again_on_its_socket(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    raw = good()
    raw["placer"]["list"] = "127.0.0.1:9"
    file.write_text(json.dumps(raw))
    folder = tmp_path / "fleet"
    # Without a list none becomes ready: the runner says so and leaves none behind.
    late = run("status", "--dir", str(folder))
    assert late.returncode == 2 and "no fleet runs here" in late.stderr
    from sprucepost.cli.runner import Runner

    folder.mkdir()
    runner = Runner(raw, folder, lambda line: None)
    runner.size = 1
    try:
        first = runner.start(0)
        assert runner.state(first) == "no list of machines yet"
        address = first.address(first.grpc)
        assert first.process is not None
        first.process.kill()
        first.process.wait()
        assert runner.state(first) == "down"
        until = time.monotonic() + 5.0
        said: list[str] = []
        while not said and time.monotonic() < until:
            said += runner.restart_crashed()
            time.sleep(0.05)
        assert said == ["placer 0 ended with status -9, started again"]
        assert runner.state(first) == "no list of machines yet" and first.address(first.grpc) == address
        assert first.restarts == 1 and first.pause_s > 0.5
        assert runner.stop(0) == 0
    finally:
        runner.kill()
