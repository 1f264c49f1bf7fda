"""The fleet runner; and a small fleet that is resized both ways and restarted under load, checked from its traffic."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.fleet_day import Day
from tests.test_settings import valid_document


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sprucepost", "fleet", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_fleet_of_24_is_resized_and_restarted_under_load_without_losing_a_task(tmp_path: Path) -> None:
    day = Day(24, 8, 6, 6.0, 30.0, tmp_path, short=True)
    assert day.play(), day.result
    result: dict[str, Any] = day.result
    assert result["outcomes"]["asked"] > 300 and result["worst_cold_window"] <= 6
    assert (
        sum(result["outcomes"].get(name, 0) for name in ("placed", "refused", "failed")) == result["outcomes"]["asked"]
    )


def test_crashed_placer_is_restarted_on_its_socket(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    raw = valid_document()
    raw["placer"]["list"] = "127.0.0.1:9"
    file.write_text(json.dumps(raw))
    folder = tmp_path / "fleet"
    # Without a list no placer becomes ready: the runner reports it and leaves no process behind.
    completed = run("status", "--dir", str(folder))
    assert completed.returncode == 2 and "no fleet runs here" in completed.stderr
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
        deadline = time.monotonic() + 5.0
        reports: list[str] = []
        while not reports and time.monotonic() < deadline:
            reports += runner.restart_crashed()
            time.sleep(0.05)
        assert reports == ["placer 0 ended with status -9, started again"]
        assert runner.state(first) == "no list of machines yet" and first.address(first.grpc) == address
        assert first.restarts == 1 and first.pause_s > 0.5
        assert runner.stop(0) == 0
    finally:
        runner.kill()
