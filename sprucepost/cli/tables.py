"""Text tables, and the reports of ``badday`` and ``rules check``."""

from __future__ import annotations

from collections import Counter
from typing import Any

MAX_UNDECIDED_SHARE = 0.01  # of the verdicts of a run
OUTCOMES = (
    "asked",
    "placed",
    "refused",
    "failed",
    "no answer",
    "answered late",
    "placer lost",
    "handed over",
    "lost",
    "done",
)


def table(head: list[str], rows: list[list[Any]]) -> str:
    """Return a table whose columns are as wide as their widest cell; numbers are aligned to the right."""
    text = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[n]) for line in [head, *text]) for n in range(len(head))]

    def line(cells: list[str]) -> str:
        return "  ".join(
            cell.rjust(width) if cell.replace(".", "", 1).isdigit() else cell.ljust(width)
            for cell, width in zip(cells, widths, strict=True)
        ).rstrip()

    return "\n".join([line(head), "  ".join("-" * width for width in widths), *map(line, text)])


def rules_table(rules: list[dict[str, Any]]) -> str:
    """Return the counts of each rule's verdicts, with the first broken and undecided ones."""
    rows = [[rule["rule"], rule["checked"], len(rule["broken"]), len(rule["undecided"])] for rule in rules]
    lines = [table(["rule", "checked", "broken", "undecided"], rows)]
    for rule in rules:
        lines += [f"  {rule['rule']}: {text}" for text in rule["broken"][:10]]
        lines += [f"  {rule['rule']}: undecided: {text}" for text in rule["undecided"][:3]]
    return "\n".join(lines)


def problems(result: dict[str, Any]) -> list[str]:
    """Return a short text for each failed check of a run; empty where all passed."""
    owners, rules, found = result["owners"], result["rules"], []
    found += [f"rule {rule['rule']} is broken" for rule in rules if rule["broken"]]
    checked, undecided = (
        sum(of(rule) for rule in rules) for of in (lambda r: r["checked"], lambda r: len(r["undecided"]))
    )
    if undecided > MAX_UNDECIDED_SHARE * checked:
        found.append(f"{undecided} of {checked} verdicts undecided")
    if owners["second_answers"]:
        found.append(f"{owners['second_answers']} second answers")
    if owners["open"]:
        found.append(f"{owners['open']} asks without an answer")
    fallen = [name for name, machine in result["machines"].items() if machine["fallen"]]
    if fallen:
        found.append(f"cold machines fell over: {', '.join(fallen)}")
    wrong = {name: status for name, status in result["exits"].items() if status != 0}
    if wrong:
        found.append(f"exit statuses: {wrong}")
    return found


def report(result: dict[str, Any]) -> tuple[str, bool]:
    """Return the printed report and whether the run passed.

    It passes where no rule is broken, each request has exactly one outcome and all processes exited with status 0.
    """
    owners = result["owners"]
    classes = owners["classes"]
    shown = [name for name in OUTCOMES if any(cls["outcomes"].get(name) for cls in classes.values())]
    rows = [[name, *[cls["outcomes"].get(what, 0) for what in shown]] for name, cls in classes.items()]
    parts = [f"{result['scenario']}, seed {result['seed']}, {result['length_s']:g} s", ""]
    parts += [table(["class", *shown], rows), ""]
    quantiles = [
        [name, *[f"{cls[which][q]:g}" for which in ("answer_ms", "start_ms") for q in ("p50", "p90", "p99")]]
        for name, cls in classes.items()
    ]
    head = ["class", *[f"{which} {q}, ms" for which in ("answer", "start") for q in ("p50", "p90", "p99")]]
    parts += [table(head, quantiles), ""]
    refusals: Counter[str] = Counter()
    for machine in result["machines"].values():
        for name, count in machine["counts"].items():
            if name.startswith("refused "):
                refusals[name.removeprefix("refused ")] += count
    if refusals:
        parts += [table(["offers refused", "count"], [[name, count] for name, count in sorted(refusals.items())]), ""]
    parts += [rules_table(result["rules"]), ""]
    wrong = problems(result)
    parts.append("good: no rule broken, one outcome for each ask" if not wrong else f"BAD: {'; '.join(wrong)}")
    return "\n".join(parts), not wrong
