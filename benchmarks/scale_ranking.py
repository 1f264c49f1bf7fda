"""Rank the unmet demands of a planned day by harm, and test whether the first place depends on one assumption.

``python -m benchmarks.scale_ranking [SETTINGS] [SEED]`` (deploy/scale/two-years.json, 1); prints Markdown tables. No
process is started: the plan is generated, and ``sprucepost.scale.present`` says how the program handles it.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence

from sprucepost.scale.demands import Outcome, Ranked, count, rank
from sprucepost.scale.plan import Plan, draw
from sprucepost.scale.present import HAND_S_PER_PROCESS, ROLL_S_PER_PROCESS, Assumptions, observe, unseen_excess
from sprucepost.scale.sensitivity import cases, together
from sprucepost.scale.settings import FleetSize
from sprucepost.settings import SettingsError, read

SETTINGS = "deploy/scale/two-years.json"


def markdown(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def ranking(plan: Plan, assumptions: Assumptions) -> str:
    head = ["demand", "instances", "missed", "starts", "worth", "time", "score", "basis", "why"]
    return markdown(head, [_row(each) for each in rank(count(plan, observe(plan, assumptions)))])


def _row(ranked: Ranked) -> list[str]:
    outcome: Outcome = ranked.outcome
    harm = outcome.harm
    shares = ["", "", ""] if harm is None else [f"{share:.2%}" for share in (harm.starts, harm.worth, harm.time)]
    missed = "" if outcome.missed is None else f"{outcome.missed:,.0f}"
    score = "" if ranked.score is None else f"{ranked.score:.4f}"
    return [
        outcome.demand.value,
        f"{outcome.demanded:,.0f}",
        missed,
        *shares,
        score,
        outcome.basis.value,
        outcome.reason,
    ]


def sensitivity(size: FleetSize, seed: int) -> str:
    head = ["assumption", "value", "first", "score", "second", "score", "times"]
    rows = []
    for case in cases(size, seed):
        first, second = case.first, case.second
        rows.append([
            case.assumption, case.value, first.outcome.demand.value, f"{first.score or 0:.3f}",
            second.outcome.demand.value, f"{second.score or 0:.3f}", f"{case.margin:.1f}",
        ])  # fmt: skip
    return markdown(head, rows)


def main(arguments: Sequence[str]) -> int:
    path, seed = (arguments[0] if arguments else SETTINGS), int(arguments[1]) if len(arguments) > 1 else 1
    try:
        size = read(path, FleetSize)
    except SettingsError as error:
        for line in error.lines:
            print(f"sprucepost: {line}", file=sys.stderr)
        return 2
    plan = draw(size, seed)
    print(
        f"{size.name}, seed {seed}: {len(plan.jobs):,} jobs, {plan.tasks:,} task starts, {size.processes} processes\n"
    )
    print("Unmet demands:\n")
    print(ranking(plan, Assumptions()))
    print(f"\nEach change by hand ({HAND_S_PER_PROCESS:g} s), one gang member in ten late:\n")
    print(ranking(plan, Assumptions(HAND_S_PER_PROCESS, 0.1)))
    roll_s = ROLL_S_PER_PROCESS * size.processes
    print(f"\nChanges as quick as a roll ({roll_s:.0f} s each), one gang member in a hundred late:\n")
    print(ranking(plan, Assumptions(ROLL_S_PER_PROCESS, 0.01)))
    print("\nOne assumption varied at a time:\n")
    print(sensitivity(size, seed))
    print("\nHow often each comes first, over all weights and 1, 0.3 and 0.1 of what an old configuration places:\n")
    firsts = [
        [name, ", ".join(f"{demand.value} {number}" for demand, number in counter.most_common())]
        for name, counter in together(size, seed).items()
    ]
    print(markdown(["counted", "first"], firsts))
    restarts = sum(not change.reloadable for change in plan.changes) * size.placers
    quota = plan.quotas[0]
    unseen = unseen_excess(quota, 2.0 * quota, size.placers)
    print(f"\nPlacers that do not see that the largest team exceeds its quota twofold: {unseen:.1%}")
    print(f"Restarts of placers that the day's changes need: {restarts:,}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
