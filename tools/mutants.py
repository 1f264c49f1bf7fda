"""Insert defects into the placer, one at a time, and count the random days until a checker catches each.

    python tools/mutants.py [NAME ...] [--jobs 6] [--days 30] [--seed N] [--out docs/results/mutants.json]

A mutation replaces a piece of the placer's source text (see ``mutations.json`` in this folder) in a copy of the package;
the simulated peers and the checkers in the copy are unchanged. Exit status 1 if a defect was not caught.
"""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from sprucepost.cli.search import Day, play_all, random_scenarios
from sprucepost.cli.tables import table

ROOT = Path(__file__).parent.parent
VIEW = "V"  # in place of a rule's number: the defect is in the fleet's view
MUTATIONS = Path(__file__).parent / "mutations.json"


class Mutation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``rule``: number of the rule that the defect breaks, or ``VIEW``. ``old`` occurs exactly once in ``file``."""

    name: str
    rule: str
    file: str
    old: str
    new: str


def mutations() -> list[Mutation]:
    return msgspec.json.decode(MUTATIONS.read_bytes(), type=list[Mutation])


def plant(mutation: Mutation, folder: Path) -> None:
    """Copy the package to ``folder`` with the defect; ValueError unless its text occurs exactly once."""
    text = (ROOT / mutation.file).read_text()
    if text.count(mutation.old) != 1:
        raise ValueError(f"{mutation.name}: its text occurs {text.count(mutation.old)} times in {mutation.file}")
    shutil.copytree(ROOT / "sprucepost", folder / "sprucepost", ignore=shutil.ignore_patterns("__pycache__"))
    (folder / mutation.file).write_text(text.replace(mutation.old, mutation.new))


def play_until_caught(mutation: Mutation, seed: int, days: int, jobs: int) -> dict[str, Any]:
    """Play random days until one breaks a rule or ``days`` are over; return the row of results."""
    row: dict[str, Any] = {"name": mutation.name, "rule": mutation.rule, "days": 0, "caught": False}
    with tempfile.TemporaryDirectory(prefix="sprucepost-mutant-") as temporary:
        folder = Path(temporary)
        plant(mutation, folder)
        day_of = random_scenarios(24.0, peers=mutation.rule == VIEW)

        def done(day: Day, result: dict[str, Any]) -> None:
            row["days"] += 1
            shutil.rmtree(day.folder, ignore_errors=True)
            row["failed"] = row.get("failed", 0) + (result["verdict"] == "failed")
            if result["verdict"] == "bad" and not row["caught"]:
                row.update(caught=True, seed=day.seed, broken=result.get("broken", {}), wrong=result["wrong"])

        chosen = iter(range(seed, seed + days))
        while not row["caught"] and row["days"] < days:
            batch = [next(chosen) for _ in range(min(jobs, days - row["days"]))]
            play_all(((n, day_of(n), folder / str(n)) for n in batch), jobs, done, folder)
    return row


@click.command()
@click.argument("names", nargs=-1)
@click.option("--jobs", type=click.IntRange(1), default=6, show_default=True)
@click.option("--days", type=click.IntRange(1), default=30, show_default=True)
@click.option("--seed", type=int, help="Seed of the first day; by default the current time.")
@click.option("--out", type=click.Path(path_type=Path), help="Add the rows to this file.")
def main(names: tuple[str, ...], jobs: int, days: int, seed: int | None, out: Path | None) -> None:
    """Insert defects and count the days until each is caught."""
    wanted = [mutation for mutation in mutations() if not names or mutation.name in names]
    rows = []
    for mutation in wanted:
        row = play_until_caught(mutation, int(time.time()) if seed is None else seed, days, jobs)
        rows.append(row)
        click.echo(json.dumps(row))
        if out is not None:
            before = json.loads(out.read_text()) if out.exists() else []
            kept = [other for other in before if other["name"] != mutation.name]
            out.write_text(json.dumps([*kept, row], indent=1) + "\n")
    head = ["defect", "against rule", "caught", "days", "by rules"]
    shown = []
    for row in rows:
        by = "".join(row.get("broken", {})) or "; ".join(row.get("wrong", ["-"]))
        shown.append([row["name"], row["rule"], "yes" if row["caught"] else "NO", row["days"], by])
    click.echo(table(head, shown))
    sys.exit(0 if all(row["caught"] for row in rows) else 1)


if __name__ == "__main__":
    main()
