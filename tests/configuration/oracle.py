"""An independent implementation of the fold described in docs/configuration.md, to compare replicas with."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sprucepost.configuration import Change, ChangeState, Position, ProblemKind
from sprucepost.configuration.document import Value
from tests.configuration.support import make_validator


@dataclass
class FoldResult:
    """The agreed values and the state of each change."""

    values: dict[str, Value] = field(default_factory=dict)
    states: dict[Position, ChangeState] = field(default_factory=dict)
    superseded_by: dict[Position, dict[str, Position]] = field(default_factory=dict)


def valid(values: dict[str, Value]) -> bool:
    return not any(problem.kind is ProblemKind.INVALID for problem in make_validator()(values))


def fold(changes: Iterable[Change]) -> FoldResult:
    """Folds all changes, from the first on, in their total order."""
    result = FoldResult()
    setters: dict[str, Position] = {}
    accepted: list[Change] = []
    for change in sorted(changes, key=lambda each: each.position):
        if change.baseline and accepted:
            result.states[change.position] = ChangeState.SUPERSEDED
            continue
        if not change.baseline and not accepted:
            result.states[change.position] = ChangeState.WAITING
            continue
        trial = dict(result.values)
        for edit in change.edits:
            if edit.removed:
                trial.pop(edit.key, None)
            else:
                trial[edit.key] = edit.value
        if not valid(trial):
            result.states[change.position] = ChangeState.REFUSED
            continue
        result.values = trial
        accepted.append(change)
        result.superseded_by[change.position] = {}
        for edit in change.edits:
            if edit.key in setters:
                result.superseded_by.setdefault(setters[edit.key], {})[edit.key] = change.position
            setters[edit.key] = change.position
    for change in accepted:
        replaced = len(result.superseded_by[change.position]) == len(change.edits)
        result.states[change.position] = ChangeState.SUPERSEDED if replaced else ChangeState.IN_FORCE
    return result


def author_saw(changes: dict[Position, Change], after: Position, before: Position, key: str) -> bool:
    """Whether the author of ``after`` had seen, directly or through others, the value of ``key`` by ``before``."""
    latest: Position | None = after
    while latest is not None and latest > before and latest in changes:
        edit = next((each for each in changes[latest].edits if each.key == key), None)
        latest = None if edit is None else edit.replaces
    return latest == before
