"""The interface of the validator, which the settings package implements; nothing here imports that package."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from sprucepost.configuration.document import Settings


class ProblemKind(Enum):
    """Kinds of problems.

    INVALID: no placer may run with the configuration. UNKNOWN_KEY: this program version cannot check it. LOCAL: it
    violates this placer's own limits; other placers may run with it.
    """

    INVALID = "invalid"
    UNKNOWN_KEY = "unknown key"
    LOCAL = "local limit"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a configuration. ``reason`` is a single line for operators that names the key."""

    kind: ProblemKind
    key: str
    reason: str


Validator = Callable[[Settings], Sequence[Problem]]
"""Checks a whole configuration, given as values by key path.

A validator builds a document from them (:func:`document.expand`) and may let DocumentError propagate, which counts as
INVALID. Its result must depend on the configuration alone, except for LOCAL problems, which may depend on this placer's
own settings.
"""


def first_problem(problems: Sequence[Problem], kind: ProblemKind) -> Problem | None:
    """Returns the first problem of that kind."""
    return next((problem for problem in problems if problem.kind is kind), None)


@dataclass(frozen=True, slots=True)
class ChangeableKeys:
    """The deployment-wide keys: the ``prefixes`` and all keys below them.

    All other keys belong to each placer's own file.
    """

    prefixes: tuple[str, ...]

    def __contains__(self, key: object) -> bool:
        return isinstance(key, str) and any(
            key == prefix or key.startswith((f"{prefix}.", f"{prefix}[")) for prefix in self.prefixes
        )
