"""Runs the checkers of the five rules on the events of a run."""

from __future__ import annotations

from collections.abc import Iterable

from sprucepost.rules import trace as t
from sprucepost.rules.checker import Checker, RuleResult, RunHistory
from sprucepost.rules.cold_kept import ColdKept
from sprucepost.rules.drains_kept import DrainsKept
from sprucepost.rules.no_effect_twice import NoEffectTwice
from sprucepost.rules.no_task_lost import NoTaskLost
from sprucepost.rules.spread_kept import SpreadKept
from sprucepost.settings import Cluster

CHECKERS: tuple[type[Checker], ...] = (NoTaskLost, NoEffectTwice, DrainsKept, ColdKept, SpreadKept)


def check_rules(events: Iterable[t.Event], cluster: Cluster, history: RunHistory) -> list[RuleResult]:
    """Return the results of the five rules on a run; ``events`` in the order of the capture."""
    checkers = [checker_class(cluster, history) for checker_class in CHECKERS]
    for event in events:
        for checker in checkers:
            checker.observe(event)
    for checker in checkers:
        checker.finish()
    return [checker.result for checker in checkers]
