"""Whether a configuration may be: the injected validator, the keys that may be changed, and the bounds on size."""

from __future__ import annotations

from collections.abc import Sequence

from sprucepost.configuration.change import Change
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.validation import (
    ChangeableKeys,
    Problem,
    ProblemKind,
    Validator,
    structure_problems,
)

REMEMBERED = 256  # configurations whose problems are kept


class Judge:
    """Judges whole configurations. All but LOCAL problems follow from the configuration and this program alone."""

    def __init__(self, validator: Validator, changeable: ChangeableKeys, limits: Limits) -> None:
        self._validator, self._changeable, self._limits = validator, changeable, limits
        self._known: dict[int, Sequence[Problem]] = {}

    def problems(self, state: SettingsState) -> Sequence[Problem]:
        """All that is wrong with these values."""
        if state.digest not in self._known:
            if len(self._known) >= REMEMBERED:
                del self._known[next(iter(self._known))]
            self._known[state.digest] = self._judged(state)
        return self._known[state.digest]

    def forget(self) -> None:
        """This placer's own settings have changed, and with them what LOCAL problems there are."""
        self._known.clear()

    def foreign_key(self, change: Change) -> str | None:
        """A key of the change that isn't deployment-wide, as far as this program knows."""
        return next((edit.key for edit in change.edits if edit.key not in self._changeable), None)

    def _judged(self, state: SettingsState) -> Sequence[Problem]:
        structure = structure_problems(state.values)
        found = self._size_problems(state) + structure
        found += [
            Problem(ProblemKind.UNKNOWN_KEY, key, f"{key}: not a deployment-wide key of this program")
            for key in state.values
            if key not in self._changeable
        ]
        if not structure:
            found += self._validator(dict(state.values))
        return found

    def _size_problems(self, state: SettingsState) -> list[Problem]:
        limits = self._limits
        if state.size > limits.configuration_bytes:
            line = f"configuration: {state.size} bytes, {limits.configuration_bytes} at most"
            return [Problem(ProblemKind.INVALID, "configuration", line)]
        if len(state.values) > limits.configuration_keys:
            line = f"configuration: {len(state.values)} keys, {limits.configuration_keys} at most"
            return [Problem(ProblemKind.INVALID, "configuration", line)]
        return []
