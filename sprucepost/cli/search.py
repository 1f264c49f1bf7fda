"""Many days, several at a time: which seeds break a rule. And a bad day cut to the fewest faults that still break it."""

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
PATIENCE_S = 120.0  # beyond its own length, after which a day counts as failed
POLL_S = 0.1


@dataclass
class Day:
    """One day that is being played by a process of its own."""

    seed: int
    scenario: Scenario
    folder: Path
    child: subprocess.Popen[bytes]
    until: float


def start(seed: int, scenario: Scenario, folder: Path, source: Path | None = None) -> Day:
    """Play it, quietly; its record goes to ``folder``. ``source``: run the package that lies there, not this one."""
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
    return Day(seed, scenario, folder, child, time.monotonic() + scenario.length_s + PATIENCE_S)


def outcome(day: Day) -> dict[str, Any]:
    """What became of a day whose process has ended: ``good``, ``bad`` with what was wrong, or ``failed``."""
    found: dict[str, Any] = {"seed": day.seed, "faults": count_kinds(day.scenario.faults)}
    result = day.folder / RESULT
    if day.child.returncode not in (0, 1) or not result.exists():
        said = (day.folder / "printed.txt").read_text(errors="replace").strip().splitlines()
        return {**found, "verdict": "failed", "wrong": said[-1:] or ["no word"]}
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
    """Play days, ``jobs`` at a time; ``done`` hears of each as it ends. No child outlives this."""
    running: list[Day] = []
    more = True
    # Without a handler SIGTERM ends this process on the spot, and its days play on with nobody to hear of them.
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
            time.sleep(POLL_S)
    finally:
        for day in running:
            day.child.terminate()
        for day in running:
            day.child.wait()
        signal.signal(signal.SIGTERM, before)


def played_days(folder: Path) -> dict[int, dict[str, Any]]:
    """The days that an earlier, interrupted search has played; a line that broke off is played again."""
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


def search(seeds: list[int], jobs: int, folder: Path, day_of: Callable[[int], Scenario], quiet: bool) -> int:
    """Play every seed that ``folder`` has not got yet and print what was found; 0 all good, 1 a bad day, 3 one failed."""
    folder.mkdir(parents=True, exist_ok=True)
    played = played_days(folder)
    left = [seed for seed in seeds if seed not in played]
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
                click.echo(line(result))
            bar.update(1)

        for result in found:
            if result["verdict"] != "good":
                click.echo(line(result))
        play_all(((seed, day_of(seed), folder / str(seed)) for seed in left), jobs, done)
    click.echo(summary(found))
    verdicts = Counter(result["verdict"] for result in found)
    return 3 if verdicts["failed"] else 1 if verdicts["bad"] else 0


def line(result: dict[str, Any]) -> str:
    """One line for a bad seed."""
    return f"seed {result['seed']}: {result['verdict']}: {'; '.join([*result['wrong'], *result.get('first', [])])}"


def summary(found: list[dict[str, Any]]) -> str:
    """The faults that were met, in good days and bad ones, and the totals."""
    met: dict[str, Counter[str]] = {}
    for result in found:
        for kind, count in result["faults"].items():
            row = met.setdefault(kind, Counter())
            row["times"] += count
            row["days"] += 1
            row["bad"] += result["verdict"] != "good"
    head = ["fault", "days", "times", "in bad days"]
    rows = [[kind, row["days"], row["times"], row["bad"]] for kind, row in sorted(met.items())]
    total = {key: sum(result.get(key, 0) for result in found) for key in ("asked", "checked", "undecided")}
    verdicts = Counter(result["verdict"] for result in found)
    words = ", ".join(f"{verdicts[name]} {name}" for name in ("good", "bad", "failed"))
    share = total["undecided"] / max(1, total["checked"])
    return (
        f"{table(head, rows)}\n\n{len(found)} days: {words}; {total['asked']} asks, {total['checked']} verdicts, "
        f"{total['undecided']} undecided ({share:.3%})"
    )


def shrink(scenario: Scenario, folder: Path, jobs: int, tries: int, say: Callable[[str], None]) -> Scenario | None:
    """The fewest faults of a bad day that still break a rule that it broke; None where it does not break again.

    Delta debugging over the list of faults: halves first, then smaller pieces. A day on real sockets is not the same each
    time, so each candidate is played ``tries`` times at once, and one break is enough.
    """
    played = 0

    def breaks(faults: list[Fault]) -> set[str]:
        nonlocal played
        played += 1
        broken: set[str] = set()

        def done(day: Day, result: dict[str, Any]) -> None:
            broken.update(result.get("broken", {}))
            if result["verdict"] == "bad" and not result["broken"]:
                broken.update(word.split()[0] for word in result["wrong"])
            shutil.rmtree(day.folder, ignore_errors=True)

        day = msgspec.structs.replace(scenario, faults=faults)
        folders = [folder / f"shrink-{played}-{n}" for n in range(tries)]
        play_all(((scenario.seed, day, path) for path in folders), jobs, done)
        return broken

    wanted = breaks(scenario.faults)
    if not wanted:
        return None
    say(f"{len(scenario.faults)} faults break {', '.join(sorted(wanted))}")
    faults, pieces = scenario.faults, 2
    while len(faults) > 1:
        size = max(1, len(faults) // pieces)
        for begin in range(0, len(faults), size):
            rest = faults[:begin] + faults[begin + size :]
            if rest and breaks(rest) & wanted:
                say(f"{len(rest)} are enough: {', '.join(fault.kind for fault in rest)}")
                faults, pieces = rest, max(2, pieces - 1)
                break
        else:
            if size == 1:
                break
            pieces = min(len(faults), pieces * 2)
    return msgspec.structs.replace(scenario, faults=faults)


def parse_seeds(text: str) -> list[int]:
    """``A..B``, both included, or single seeds with commas. ValueError with the reason."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dots, last = part.partition("..")
        try:
            begin, end = int(first), int(last if dots else first)
        except ValueError:
            raise ValueError(f"{part!r} is neither a seed nor A..B") from None
        if end < begin:
            raise ValueError(f"{part!r} runs backwards")
        seeds += range(begin, end + 1)
    return list(dict.fromkeys(seeds))


def random_scenarios(length_s: float, peers: bool = False) -> Callable[[int], Scenario]:
    return lambda seed: generate_scenario(seed, length_s, peers)
