"""Search of many scenarios for seeds that break a rule, and reduction of a failing scenario to the fewest faults.

A day is one run of a scenario; it is good, bad (a check failed) or failed (it could not be run).
"""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

from sprucepost.cli.tables import problems, table
from sprucepost.rules.record import RESULT, SCENARIO
from sprucepost.standin.scenario import Fault, Scenario
from sprucepost.standin.scenario_generator import count_kinds, generate_scenario

DAYS = "days.jsonl"
OVERRUN_S = 120.0  # a day that takes longer than its length by more than this counts as failed
POLL_INTERVAL_S = 0.1


@dataclass
class Day:
    """A scenario that a child process is running; ``until`` is the monotonic time at which it counts as failed."""

    seed: int
    scenario: Scenario
    folder: Path
    child: subprocess.Popen[bytes]
    until: float


def start(seed: int, scenario: Scenario, folder: Path, source: Path | None = None) -> Day:
    """Start a quiet run that is recorded in ``folder``. ``source``: directory of another copy of the package to run."""
    folder = folder.absolute()
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / SCENARIO
    file.write_bytes(msgspec.json.format(msgspec.json.encode(scenario), indent=1))
    with (folder / "printed.txt").open("wb") as out:
        child = subprocess.Popen(
            [sys.executable, "-m", "sprucepost", "badday", str(file), "--quiet", "--record", str(folder)],
            stdout=out,
            stderr=subprocess.STDOUT,
            cwd=source,
        )
    return Day(seed, scenario, folder, child, time.monotonic() + scenario.length_s + OVERRUN_S)


def outcome(day: Day) -> dict[str, Any]:
    """Return the result of a day whose process has ended: ``good``, ``bad`` with the failed checks, or ``failed``."""
    found: dict[str, Any] = {"seed": day.seed, "faults": count_kinds(day.scenario.faults)}
    result = day.folder / RESULT
    if day.child.returncode not in (0, 1) or not result.exists():
        output = (day.folder / "printed.txt").read_text(errors="replace").strip().splitlines()
        return {**found, "verdict": "failed", "wrong": output[-1:] or ["no output"]}
    raw = json.loads(result.read_bytes())
    classes = raw["owners"]["classes"].values()
    wrong = problems(raw)
    found["asked"] = sum(cls["outcomes"].get("asked", 0) for cls in classes)
    found["checked"] = sum(rule["checked"] for rule in raw["rules"])
    found["undecided"] = sum(len(rule["undecided"]) for rule in raw["rules"])
    found["broken"] = {rule["rule"][0]: len(rule["broken"]) for rule in raw["rules"] if rule["broken"]}
    found["first"] = [line for rule in raw["rules"] for line in rule["broken"][:1]]
    return {**found, "verdict": "bad" if wrong else "good", "wrong": wrong}


def play_all(
    days: Iterator[tuple[int, Scenario, Path]],
    jobs: int,
    done: Callable[[Day, dict[str, Any]], None],
    source: Path | None = None,
) -> None:
    """Run days, ``jobs`` at a time, and call ``done`` with each as it ends. No child process outlives this call."""
    running: list[Day] = []
    more = True
    # Without a handler SIGTERM would end this process at once, and its children would run on as orphans.
    before = signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        while more or running:
            while more and len(running) < jobs:
                chosen = next(days, None)
                if chosen is None:
                    more = False
                else:
                    running.append(start(*chosen, source))
            for day in list(running):
                if day.child.poll() is None and time.monotonic() > day.until:
                    day.child.terminate()
                    day.child.wait()
                if day.child.poll() is not None:
                    running.remove(day)
                    done(day, outcome(day))
            time.sleep(POLL_INTERVAL_S)
    finally:
        for day in running:
            day.child.terminate()
        for day in running:
            day.child.wait()
        signal.signal(signal.SIGTERM, before)


def played_days(folder: Path) -> dict[int, dict[str, Any]]:
    """Return the results of an earlier, interrupted search by seed; truncated lines are ignored and run again."""
    played = {}
    if (folder / DAYS).exists():
        for line in (folder / DAYS).read_text().splitlines():
            try:
                day = json.loads(line)
            except ValueError:
                continue
            if day["verdict"] != "failed":
                played[int(day["seed"])] = day
    return played


def search(seeds: list[int], jobs: int, folder: Path, scenario_of: Callable[[int], Scenario], quiet: bool) -> int:
    """Run every seed without a result in ``folder`` and print a summary.

    Returns the exit status: 0 all days are good, 1 one is bad, 3 one failed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    played = played_days(folder)
    remaining = [seed for seed in seeds if seed not in played]
    found = [played[seed] for seed in seeds if seed in played]
    with (
        (folder / DAYS).open("a", buffering=1) as log,
        click.progressbar(length=len(seeds), label="days", file=sys.stderr, hidden=quiet) as bar,
    ):
        bar.update(len(found))

        def done(day: Day, result: dict[str, Any]) -> None:
            log.write(json.dumps(result) + "\n")
            found.append(result)
            if result["verdict"] == "good":
                shutil.rmtree(day.folder, ignore_errors=True)
            else:
                click.echo(result_line(result))
            bar.update(1)

        for result in found:
            if result["verdict"] != "good":
                click.echo(result_line(result))
        play_all(((seed, scenario_of(seed), folder / str(seed)) for seed in remaining), jobs, done)
    click.echo(summary(found))
    verdicts = Counter(result["verdict"] for result in found)
    return 3 if verdicts["failed"] else 1 if verdicts["bad"] else 0


def result_line(result: dict[str, Any]) -> str:
    """Return one line about a seed whose day was not good."""
    return f"seed {result['seed']}: {result['verdict']}: {'; '.join([*result['wrong'], *result.get('first', [])])}"


def summary(found: list[dict[str, Any]]) -> str:
    """Return a table of the injected faults, in all days and in bad ones, and the totals."""
    by_kind: dict[str, Counter[str]] = {}
    for result in found:
        for kind, count in result["faults"].items():
            row = by_kind.setdefault(kind, Counter())
            row["times"] += count
            row["days"] += 1
            row["bad"] += result["verdict"] != "good"
    head = ["fault", "days", "times", "in bad days"]
    rows = [[kind, row["days"], row["times"], row["bad"]] for kind, row in sorted(by_kind.items())]
    total = {key: sum(result.get(key, 0) for result in found) for key in ("asked", "checked", "undecided")}
    verdicts = Counter(result["verdict"] for result in found)
    counts = ", ".join(f"{verdicts[name]} {name}" for name in ("good", "bad", "failed"))
    share = total["undecided"] / max(1, total["checked"])
    return (
        f"{table(head, rows)}\n\n{len(found)} days: {counts}; {total['asked']} asks, {total['checked']} verdicts, "
        f"{total['undecided']} undecided ({share:.3%})"
    )


def shrink(scenario: Scenario, folder: Path, jobs: int, tries: int, report: Callable[[str], None]) -> Scenario | None:
    """Return the scenario with the fewest faults that still break a rule; None where it does not fail again.

    Delta debugging over the list of faults: halves first, then smaller pieces. Runs on real sockets are not
    deterministic, so each candidate is run ``tries`` times in parallel, and one failure is enough.
    """
    candidates = 0

    def broken_rules(faults: list[Fault]) -> set[str]:
        nonlocal candidates
        candidates += 1
        broken: set[str] = set()

        def done(day: Day, result: dict[str, Any]) -> None:
            broken.update(result.get("broken", {}))
            if result["verdict"] == "bad" and not result["broken"]:
                broken.update(problem.split()[0] for problem in result["wrong"])
            shutil.rmtree(day.folder, ignore_errors=True)

        day = msgspec.structs.replace(scenario, faults=faults)
        folders = [folder / f"shrink-{candidates}-{n}" for n in range(tries)]
        play_all(((scenario.seed, day, path) for path in folders), jobs, done)
        return broken

    targets = broken_rules(scenario.faults)
    if not targets:
        return None
    report(f"{len(scenario.faults)} faults break {', '.join(sorted(targets))}")
    faults, pieces = scenario.faults, 2
    while len(faults) > 1:
        size = max(1, len(faults) // pieces)
        for begin in range(0, len(faults), size):
            rest = faults[:begin] + faults[begin + size :]
            if rest and broken_rules(rest) & targets:
                report(f"{len(rest)} are enough: {', '.join(fault.kind for fault in rest)}")
                faults, pieces = rest, max(2, pieces - 1)
                break
        else:
            if size == 1:
                break
            pieces = min(len(faults), pieces * 2)
    return msgspec.structs.replace(scenario, faults=faults)


def parse_seeds(text: str) -> list[int]:
    """Parse ``A..B``, both included, or single seeds separated by commas; raise ValueError with the reason."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dots, last = part.partition("..")
        try:
            begin, end = int(first), int(last if dots else first)
        except ValueError:
            raise ValueError(f"{part!r} is neither a seed nor A..B") from None
        if end < begin:
            raise ValueError(f"{part!r} is a descending range")
        seeds += range(begin, end + 1)
    return list(dict.fromkeys(seeds))


def random_scenarios(length_s: float, peers: bool = False) -> Callable[[int], Scenario]:
    """Return a function that generates the scenario of a seed."""
    return lambda seed: generate_scenario(seed, length_s, peers)
