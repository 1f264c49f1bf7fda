"""Whether a configuration may be: the injected validator, the keys that may be changed, and the bounds on size."""

from __future__ import annotations

from collections.abc import Sequence

from sprucepost.configuration.change import Change
from sprucepost.configuration.document import DocumentError
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.validation import ChangeableKeys, Problem, ProblemKind, Validator

MAX_CACHED_RESULTS = 256  # configurations whose problems are kept,
MAX_CACHED_KEYS = 4096  # and keys that are known to be deployment-wide


class ConfigurationChecker:
    """Judges whole configurations. All but LOCAL problems follow from the configuration and this program alone."""

    def __init__(self, validator: Validator, changeable: ChangeableKeys, limits: Limits) -> None:
        self._validator, self._changeable, self._limits = validator, changeable, limits
        self._known: dict[int, Sequence[Problem]] = {}  # by the configuration's digest
        self._deployment_wide: set[str] = set()  # keys that were found to be

    def problems(self, state: SettingsState) -> Sequence[Problem]:
        """All that is wrong with these values."""
        if state.digest not in self._known:
            if len(self._known) >= MAX_CACHED_RESULTS:
                del self._known[next(iter(self._known))]
            self._known[state.digest] = self._find_problems(state)
        return self._known[state.digest]

    def forget(self) -> None:
        """This placer's own settings have changed, and with them what LOCAL problems there are."""
        self._known.clear()

    def unknown_key(self, change: Change) -> str | None:
        """A key of the change that isn't deployment-wide, as far as this program knows."""
        return next((edit.key for edit in change.edits if edit.key not in self._changeable), None)

    def _find_problems(self, state: SettingsState) -> Sequence[Problem]:
        found = self._size_problems(state)
        found += [
            Problem(ProblemKind.UNKNOWN_KEY, key, f"{key}: not a deployment-wide key of this program")
            for key in sorted(state.values.keys() - self._deployment_wide)
            if not self._is_deployment_wide(key)
        ]
        try:
            return found + list(self._validator(dict(state.values)))
        except DocumentError as error:
            line = str(error)
            return [*found, Problem(ProblemKind.INVALID, line.partition(":")[0], line)]

    def _is_deployment_wide(self, key: str) -> bool:
        if key not in self._changeable:
            return False
        if len(self._deployment_wide) < MAX_CACHED_KEYS:
            self._deployment_wide.add(key)
        return True

    def _size_problems(self, state: SettingsState) -> list[Problem]:
        limits = self._limits
        if state.size > limits.configuration_bytes:
            line = f"configuration: {state.size} bytes, {limits.configuration_bytes} at most"
            return [Problem(ProblemKind.INVALID, "configuration", line)]
        if len(state.values) > limits.configuration_keys:
            line = f"configuration: {len(state.values)} keys, {limits.configuration_keys} at most"
            return [Problem(ProblemKind.INVALID, "configuration", line)]
        return []
