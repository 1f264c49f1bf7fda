"""Search of many scenarios and reduction of a failing one, mostly with results that a test sets instead of runs."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from sprucepost.cli import search as s
from sprucepost.standin.scenario import Scenario
from sprucepost.standin.scenario_generator import count_kinds, generate_scenario


def fake_runs(monkeypatch: pytest.MonkeyPatch, verdict: Any) -> list[int]:
    """Replace runs by the broken rules of ``verdict(scenario)``; return the list of seeds that are played."""
    played: list[int] = []

    def play_all(days: Any, jobs: int, done: Any, source: Any = None) -> None:
        for seed, scenario, folder in days:
            played.append(seed)
            folder.mkdir(parents=True, exist_ok=True)
            broken = verdict(scenario)
            result = {
                "seed": seed, "faults": count_kinds(scenario.faults), "verdict": "bad" if broken else "good",
                "wrong": ["rule broken"] if broken else [], "broken": broken, "asked": 10, "checked": 100, "undecided": 1,
                "first": [],
            }  # fmt: skip
            done(SimpleNamespace(folder=folder), result)

    monkeypatch.setattr(s, "play_all", play_all)
    return played


def test_seeds_are_parsed_from_ranges_and_lists() -> None:
    assert s.parse_seeds("3..5,9,4") == [3, 4, 5, 9]
    for invalid in ("", "a", "5..3", "1..b"):
        with pytest.raises(ValueError):
            s.parse_seeds(invalid)


def test_search_reports_bad_seeds_keeps_only_their_records_and_resumes(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    played = fake_runs(monkeypatch, lambda scenario: {"3": 1} if scenario.seed == 8 else {})
    assert s.search([7, 8], 2, tmp_path, s.random_scenarios(24.0), True) == 1
    out = capsys.readouterr().out
    assert "seed 8: bad: rule broken" in out and "2 days: 1 good, 1 bad, 0 failed; 20 asks" in out
    assert not (tmp_path / "7").exists() and (tmp_path / "8").exists()
    with (tmp_path / s.DAYS).open("a") as log:
        log.write('{"seed": 9, "verd')  # interrupted while writing a line
    assert s.search([7, 8, 9], 2, tmp_path, s.random_scenarios(24.0), True) == 1
    assert played == [7, 8, 9]
    monkeypatch.undo()
    assert s.search([7], 2, tmp_path, s.random_scenarios(24.0), True) == 0


def test_failed_run_is_neither_good_nor_skipped_by_the_next_search(tmp_path: Path) -> None:
    day = SimpleNamespace(seed=1, scenario=generate_scenario(1), folder=tmp_path, child=SimpleNamespace(returncode=3))
    (tmp_path / "printed.txt").write_text("sprucepost: placer-1 ended with status 1\n")
    result = s.outcome(day)  # type: ignore[arg-type]
    assert result["verdict"] == "failed" and result["wrong"] == ["sprucepost: placer-1 ended with status 1"]
    (tmp_path / s.DAYS).write_text(json.dumps(result) + "\n")
    assert s.played_days(tmp_path) == {}


def test_shrink_keeps_the_faults_that_fail_only_together(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    day = next(generate_scenario(seed) for seed in range(1000) if len(generate_scenario(seed).faults) >= 8)
    needed = [day.faults[1], day.faults[6]]

    def verdict(scenario: Scenario) -> dict[str, int]:
        return (
            {"2": 1} if all(fault in scenario.faults for fault in needed) else {"5": 1} if not scenario.faults else {}
        )

    fake_runs(monkeypatch, verdict)
    small = s.shrink(day, tmp_path, 1, 1, lambda text: None)
    assert small is not None and small.faults == needed
    fake_runs(monkeypatch, lambda scenario: {})
    assert s.shrink(day, tmp_path, 1, 1, lambda text: None) is None


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sprucepost", *arguments], capture_output=True, text=True, timeout=120, check=False
    )


def test_invalid_seeds_are_one_line_and_a_generated_scenario_is_valid(tmp_path: Path) -> None:
    completed = run("badday", "--seeds", "5..x", "--random")
    assert completed.returncode == 2 and completed.stderr == "sprucepost: --seeds: '5..x' is neither a seed nor A..B\n"
    file = tmp_path / "day.json"
    file.write_text(run("scenario", "draw", "--seed", "4").stdout)
    assert run("scenario", "check", str(file)).stdout == f"{file}: good\n"


def test_search_of_two_generated_scenarios_breaks_no_rule(tmp_path: Path) -> None:
    completed = run(
        "badday", "--seeds", "11..12", "--random", "--length", "10", "--jobs", "2", "--out", str(tmp_path), "--quiet"
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "2 days: 2 good, 0 bad, 0 failed" in completed.stdout and not (tmp_path / "11").exists()


def test_source_text_of_every_mutation_occurs_once(tmp_path: Path) -> None:
    from tools.mutants import ROOT, mutations, plant

    found = mutations()
    assert len(found) >= 20 and {mutation.rule for mutation in found} == set("12345V")
    for mutation in found:
        assert (ROOT / mutation.file).read_text().count(mutation.old) == 1, mutation.name
    plant(found[0], tmp_path)
    assert found[0].new in (tmp_path / found[0].file).read_text()


def test_terminated_search_ends_its_child_processes(tmp_path: Path) -> None:
    command = [
        sys.executable,
        "-m",
        "sprucepost",
        "badday",
        "--random",
        "--seeds",
        "1..2",
        "--jobs",
        "2",
        "--length",
        "24",
    ]
    search = subprocess.Popen([*command, "--out", str(tmp_path)], stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + 30.0
    while not list(tmp_path.glob("*/capture.bin")) and time.monotonic() < deadline:
        time.sleep(0.1)
    search.terminate()
    assert search.wait(30) == 143

    def remaining_processes() -> list[Path]:
        return [path for path in Path("/proc").glob("[0-9]*/cmdline") if str(tmp_path).encode() in read(path)]

    while remaining_processes() and time.monotonic() < deadline + 30.0:
        time.sleep(0.1)
    assert remaining_processes() == []


def read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:  # the process has ended
        return b""
