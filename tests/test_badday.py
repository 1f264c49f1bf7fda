"""Runs of the bad day with three seeds at once, and a second check of a run from its record."""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from sprucepost.cli.badday import Player
from sprucepost.cli.tables import report
from sprucepost.standin.scenario import Fault
from sprucepost.standin.scenario_generator import generate_scenario


def run(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "sprucepost", *arguments], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )


def test_three_runs_of_the_bad_day_break_no_rule(tmp_path: Path) -> None:
    days = {
        seed: run("badday", "--length", "24", "--seed", str(seed), "--quiet", "--record", str(tmp_path / str(seed)))
        for seed in (1, 2, 3)
    }
    for seed, day in days.items():
        out, _ = day.communicate(timeout=180)
        assert day.returncode == 0, f"seed {seed}:\n{out}"
        result = json.loads((tmp_path / str(seed) / "result.json").read_text())
        submitted = sum(cls["outcomes"]["asked"] for cls in result["owners"]["classes"].values())
        assert submitted > 200 and [rule["checked"] > 0 for rule in result["rules"]] == [True] * 5
        assert result["owners"]["second_answers"] == result["owners"]["open"] == 0
    again = run("rules", "check", str(tmp_path / "1"))
    out, _ = again.communicate(timeout=60)
    assert again.returncode == 0 and "5 spread kept" in out


def test_a_record_that_cannot_be_checked_is_reported(tmp_path: Path) -> None:
    check = run("rules", "check", str(tmp_path))
    out, _ = check.communicate(timeout=60)
    assert check.returncode == 2 and out.count("\n") == 1 and "No such file" in out


def test_a_terminated_day_leaves_no_process_running(tmp_path: Path) -> None:
    day = run("badday", "--length", "24", "--quiet", "--record", str(tmp_path))
    folder_bytes = str(tmp_path).encode()

    def running_processes() -> int:
        count = 0
        for entry in Path("/proc").iterdir():
            with contextlib.suppress(OSError):
                line = (entry / "cmdline").read_bytes() if entry.name.isdigit() else b""
                count += folder_bytes in line and b"badday" not in line
        return count

    until = time.monotonic() + 60.0
    while running_processes() < 10 and time.monotonic() < until:
        time.sleep(0.1)
    assert running_processes() >= 10
    day.terminate()
    assert day.wait(60) != 0
    assert running_processes() == 0


def test_placers_agree_on_a_view_after_faults_between_them(tmp_path: Path) -> None:
    """A generated scenario with fixed faults: a killed placer, a cut, and a resize that one placer is notified of."""
    day = generate_scenario(7, 16.0, peers=True)
    faults = [
        Fault("peer_cut", 1.0, 4.0, 0.4), Fault("placer_kill", 7.0, 3.0, 0.2),
        Fault("resize", 2.0, 9.0, size=1.3, extra=1.0),
        Fault("peer_reset", 8.0, 3.0, 1.0, extra=1.0), Fault("peer_slow", 9.0, 4.0, 0.4, 300.0),
    ]  # fmt: skip
    day = msgspec.structs.replace(day, placers=5, faults=faults)
    result = Player(day, tmp_path, quiet=True).run()
    assert report(result)[1], report(result)[0]
    views = {rule["rule"]: rule["checked"] for rule in result["rules"] if not rule["rule"][0].isdigit()}
    assert views["view settles"] in (6, 7) and views["one fleet"] > 10
