"""The five rules, each as a checker that is fed events in order and asked for its result at the end."""

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
    """The results of the five rules on a run."""
    checkers = [kind(cluster, history) for kind in CHECKERS]
    for event in events:
        for checker in checkers:
            checker.observe(event)
    for checker in checkers:
        checker.finish()
    return [checker.result for checker in checkers]
