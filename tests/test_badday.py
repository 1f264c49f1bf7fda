"""The bad day itself, with three seeds at once, and that its verdict can be had again from its record."""

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


def test_three_bad_days_break_no_rule(tmp_path: Path) -> None:
    days = {
        seed: run("badday", "--length", "24", "--seed", str(seed), "--quiet", "--record", str(tmp_path / str(seed)))
        for seed in (1, 2, 3)
    }
    for seed, day in days.items():
        out, _ = day.communicate(timeout=180)
        assert day.returncode == 0, f"seed {seed}:\n{out}"
        result = json.loads((tmp_path / str(seed) / "result.json").read_text())
        asked = sum(cls["outcomes"]["asked"] for cls in result["owners"]["classes"].values())
        assert asked > 200 and [rule["checked"] > 0 for rule in result["rules"]] == [True] * 5
        assert result["owners"]["second_answers"] == result["owners"]["open"] == 0
    again = run("rules", "check", str(tmp_path / "1"))
    out, _ = again.communicate(timeout=60)
    assert again.returncode == 0 and "5 spread kept" in out


def test_a_record_that_cannot_be_judged_is_named(tmp_path: Path) -> None:
    check = run("rules", "check", str(tmp_path))
    out, _ = check.communicate(timeout=60)
    assert check.returncode == 2 and out.count("\n") == 1 and "No such file" in out


def test_a_day_that_is_ended_leaves_no_process_behind(tmp_path: Path) -> None:
    day = run("badday", "--length", "24", "--quiet", "--record", str(tmp_path))
    ours = str(tmp_path).encode()

    def left() -> int:
        count = 0
        for entry in Path("/proc").iterdir():
            with contextlib.suppress(OSError):
                line = (entry / "cmdline").read_bytes() if entry.name.isdigit() else b""
                count += ours in line and b"badday" not in line
        return count

    until = time.monotonic() + 60.0
    while left() < 10 and time.monotonic() < until:
        time.sleep(0.1)
    assert left() >= 10
    day.terminate()
    assert day.wait(60) != 0
    assert left() == 0


def test_a_day_with_faults_between_placers_settles(tmp_path: Path) -> None:
    """Drawn whole from its seed, with a crash, a cut and a change of size told to one placer put in."""
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
