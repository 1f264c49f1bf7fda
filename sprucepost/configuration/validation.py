"""What a validator says of a whole configuration. The settings package supplies one; nothing here imports it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from sprucepost.configuration.document import Settings


class ProblemKind(Enum):
    """INVALID: no placer may run with it. UNKNOWN_KEY: this program can't judge it. LOCAL: it breaks this placer's own
    limits, others may run with it."""

    INVALID = "invalid"
    UNKNOWN_KEY = "unknown key"
    LOCAL = "local limit"


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a configuration. ``line`` is for people, names the key and is one line."""

    kind: ProblemKind
    key: str
    reason: str


Validator = Callable[[Settings], Sequence[Problem]]
"""Judges a whole configuration, given as values by key path. It is to make a document of them (:func:`document.expand`) and
may let its DocumentError through: that counts as INVALID. It must depend on nothing but the configuration, apart from LOCAL
problems, which may depend on this placer's own settings."""


def first_problem(problems: Sequence[Problem], kind: ProblemKind) -> Problem | None:
    """The first problem of that kind."""
    return next((problem for problem in problems if problem.kind is kind), None)


@dataclass(frozen=True, slots=True)
class ChangeableKeys:
    """The deployment-wide keys: each of ``prefixes`` and all that stands under it. All other keys are a placer's own."""

    prefixes: tuple[str, ...]

    def __contains__(self, key: object) -> bool:
        return isinstance(key, str) and any(
            key == prefix or key.startswith((f"{prefix}.", f"{prefix}[")) for prefix in self.prefixes
        )
