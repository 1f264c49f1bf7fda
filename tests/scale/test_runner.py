"""The scale run: fleets come up, are measured and end; what does not fit is refused before."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from sprucepost.loop.epoll import EpollLoop
from sprucepost.scale import results
from sprucepost.scale.fleet import Fleet, FleetOptions
from sprucepost.scale.processes import DoesNotFit, Limits, Needs, NotStarted, ProcessGroup, ScaleError
from sprucepost.scale.runner import NotSettled, Run, RunOptions, check, interleaved_runs, measure, size_with, sweep
from sprucepost.scale.size import RunSize
from sprucepost.scale.sources import REFERENCES, attribution

ROOT = Path(__file__).parent.parent.parent
SMALL = RunSize(placers=6, workers=4, teams=2, running_tasks=8, starts_per_s=4.0)
SHORT = RunOptions(measure_s=2.0, settle_limit_s=180.0)


def children(pid: int) -> set[int]:
    """Processes whose parent is that one."""
    found = set()
    for status in Path("/proc").glob("[0-9]*/status"):
        try:
            text = status.read_text()
        except OSError:
            continue
        if f"\nPPid:\t{pid}\n" in text:
            found.add(int(status.parent.name))
    return found


def gone(pids: set[int], limit_s: float = 30.0) -> bool:
    """Whether all these processes end."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if not any(Path(f"/proc/{pid}").exists() for pid in pids):
            return True
        time.sleep(0.1)
    return False


# A whole run


def test_a_point_has_the_figures_of_its_real_processes_and_leaves_nothing_behind(tmp_path: Path) -> None:
    before = children(os.getpid())
    size = replace(SMALL, changes_per_day=1440.0, restarts_per_day=1440.0)
    found = sweep({"placers": [6]}, size, 1, SHORT, report_progress=lambda text: None)
    assert children(os.getpid()) == before
    results.save(found, tmp_path / "found.json")
    assert results.load(tmp_path / "found.json") == found
    (point,) = found.points
    assert (point.variable, point.size, point.repeat) == ("placers", 6, 0)
    by_role: dict[str, list[results.Sample]] = {}
    for sample in point.samples:
        by_role.setdefault(sample.role, []).append(sample)
        assert set(sample.figures) <= set(results.FIGURES)
        assert 0.0 < sample.figures["cpu_percent"] < 100.0 and sample.figures["memory_mib"] > 1.0
    assert {role: len(samples) for role, samples in by_role.items()} == {"placer": 3, "node": 2, "list": 1}
    for sample in by_role["placer"]:
        # Hollow members speak: beats come on each stream, as many as go out.
        assert sample.figures["messages_in_per_s"] > 0.0 and sample.figures["messages_out_per_s"] > 0.0
        assert sample.figures["bytes_in_per_s.peers"] > 0.0 and sample.figures["bytes_in_per_s.list"] > 0.0
        kinds = [sample.figures[f"cpu_percent.{kind}"] for kind in results.CPU_KINDS if kind != "log"]
        assert len(kinds) == len(results.CPU_KINDS) - 1
    assert point.fleet["changes_in_force"] == point.fleet["changes"] == 2.0
    asked = [value for name, value in point.fleet.items() if name.startswith("outcome.") and name.endswith(".asked")]
    assert sum(asked) + point.fleet.get("node.asked", 0.0) > 0.0


def test_real_companions_take_the_place_of_hollow_ones() -> None:
    options = replace(SHORT, fleet=FleetOptions(hollow=False, nodes=0))
    (point,) = measure([Run("placers", 5, 0, replace(SMALL, placers=5))], options, report_progress=lambda text: None)
    placers = [sample.process for sample in point.samples if sample.role == "placer"]
    assert placers == ["placer0", "placer1", "placer2"], "the same are measured as beside hollow ones"


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_ends_every_process_that_it_started(number: signal.Signals) -> None:
    program = (
        # Whoever started the tests in the background may have had SIGINT ignored, which is inherited.
        "import signal; signal.signal(signal.SIGINT, signal.default_int_handler);"
        "from sprucepost.scale.runner import *; from sprucepost.scale.size import RunSize;"
        "sweep({'placers': [6]}, RunSize(workers=4), 1, RunOptions(), lambda text: print(text, flush=True))"
    )
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE, cwd=ROOT, text=True) as runner:
        assert runner.stdout is not None
        for line in runner.stdout:
            if "quiet" in line:  # everything is up
                break
        started = children(runner.pid)
        assert len(started) > 5
        runner.send_signal(number)
        assert runner.wait(60) != 0
    assert gone(started)


def test_a_run_that_does_not_settle_ends_with_what_it_waited_for() -> None:
    before = children(os.getpid())
    with pytest.raises(NotSettled, match=r"^not settled after 0.5 s: .+$"):
        measure([Run("placers", 6, 0, SMALL)], replace(SHORT, settle_limit_s=0.5), report_progress=lambda text: None)
    assert children(os.getpid()) == before


# Refusals beforehand


def test_a_run_beyond_a_limit_is_refused_with_one_line_before_anything_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Limits, "of_this_machine", staticmethod(Limits))
    before = children(os.getpid())
    with pytest.raises(DoesNotFit, match=r"^this run needs \d+ processes, the limit is 300$"):
        sweep(
            {"placers": [400]},
            SMALL,
            1,
            RunOptions(fleet=FleetOptions(hollow=False)),
            report_progress=lambda text: None,
        )
    with pytest.raises(DoesNotFit, match=r"^this run needs \d+ descriptors in one process, the limit is 1024$"):
        sweep({"workers": [4, 5000]}, SMALL, 1, RunOptions(), report_progress=lambda text: None)
    assert children(os.getpid()) == before


@pytest.mark.parametrize(
    ("needs", "what"),
    [
        (Needs(301, 1, 1, 1.0), "processes"),
        (Needs(1, 1025, 1, 1.0), "descriptors"),
        (Needs(1, 1, 28_001, 1.0), "ports"),
        (Needs(1, 1, 1, 12_289.0), "MiB of memory"),
    ],
)
def test_each_limit_is_checked(needs: Needs, what: str) -> None:
    with pytest.raises(DoesNotFit, match=what):
        Limits().check(needs)
    Limits().check(Needs(300, 1024, 28_000, 12_288.0))


def test_runs_beside_each_other_are_reckoned_together() -> None:
    one = Needs(100, 500, 1000, 100.0)
    assert one + one == Needs(200, 500, 2000, 200.0)
    runs = [Run("placers", 40, 0, replace(SMALL, placers=40))] * 20
    check([runs[:1]] * 20, RunOptions())
    with pytest.raises(DoesNotFit, match="processes"):
        check([runs], RunOptions())


def test_the_needs_of_the_plan_fit_the_limits_of_a_run() -> None:
    loop = EpollLoop(1)
    size = RunSize(placers=350, workers=1000, teams=230, running_tasks=4500, starts_per_s=65.0, regions=2)
    needs = Fleet(ProcessGroup(Path()), loop, "plan", size, FleetOptions()).needs()
    loop.close()
    Limits(descriptors=20_000).check(needs)


def test_a_process_that_ends_at_its_start_is_named_with_its_last_words(tmp_path: Path) -> None:
    with ProcessGroup(tmp_path) as group:
        process = group.start("broken", ["-c", "raise SystemExit('no such file')"])
        with pytest.raises(NotStarted, match=r"^broken did not start: no such file$"):
            while process.announcement(dict) is None:
                time.sleep(0.05)


# Sweeps


def test_repeats_and_variables_are_interleaved() -> None:
    runs = interleaved_runs({"placers": [8, 16], "workers": [4]}, SMALL, 2)
    assert [(run.variable, run.value, run.repeat) for run in runs] == [
        ("placers", 8, 0), ("workers", 4, 0), ("placers", 16, 0),
        ("placers", 8, 1), ("workers", 4, 1), ("placers", 16, 1),
    ]  # fmt: skip
    assert [run.size.placers for run in runs] == [8, 6, 16, 8, 6, 16]


def test_a_size_that_cannot_be_is_refused() -> None:
    assert size_with(SMALL, "starts_per_s", 8).starts_per_s == 8.0
    with pytest.raises(ValueError, match=r"^nodes: none of placers"):
        size_with(SMALL, "nodes", 8)
    with pytest.raises(ValueError, match=r"^workers: must be at least 1$"):
        size_with(SMALL, "workers", 0)


def test_processor_time_is_told_apart_by_the_placers_that_lack_a_source() -> None:
    found = attribution({"bare": 1.0, "peers": 1.5, "list": 3.0, "clients": 3.25}, [5.0, 6.0])
    assert found == {"other": 1.0, "peers": 0.5, "list": 2.0, "clients": 0.25, "placements": 1.75}
    assert sum(found.values()) == 5.5, "together they are the mean of the loaded placers"
    assert attribution({"bare": 1.0}, [5.0]) == {}, "without all references nothing is attributed"
    assert set(REFERENCES) == {"bare", "peers", "list", "clients"}


def test_a_process_that_ends_ends_the_run_with_its_name(tmp_path: Path) -> None:
    loop = EpollLoop(1)
    try:
        with ProcessGroup(tmp_path) as group:
            fleet = Fleet(group, loop, "run0", SMALL, FleetOptions(nodes=0))
            steps = fleet.bring_up()
            while not fleet.workers:
                next(steps)
                time.sleep(0.05)
            fleet.check_running()
            fleet.list.kill()
            with pytest.raises(ScaleError, match=r"^run0-list has ended: "):
                fleet.check_running()
    finally:
        loop.close()
