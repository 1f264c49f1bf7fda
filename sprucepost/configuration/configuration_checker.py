"""Checks whole configurations: the injected validator, the changeable keys and the size limits."""

from __future__ import annotations

from collections.abc import Sequence

from sprucepost.configuration.change import Change
from sprucepost.configuration.document import DocumentError
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.validation import ChangeableKeys, Problem, ProblemKind, Validator

MAX_CACHED_RESULTS = 256  # configurations
MAX_CACHED_KEYS = 4096  # keys found to be deployment-wide


class ConfigurationChecker:
    """Checks whole configurations.

    All problems except LOCAL ones depend on the configuration and this program version alone.
    """

    def __init__(self, validator: Validator, changeable: ChangeableKeys, limits: Limits) -> None:
        self._validator, self._changeable, self._limits = validator, changeable, limits
        self._results: dict[int, Sequence[Problem]] = {}  # by digest of the configuration
        self._deployment_wide: set[str] = set()  # cache of keys that passed the check

    def problems(self, state: SettingsState) -> Sequence[Problem]:
        """Returns all problems of these settings; results are cached."""
        if state.digest not in self._results:
            if len(self._results) >= MAX_CACHED_RESULTS:
                del self._results[next(iter(self._results))]
            self._results[state.digest] = self._find_problems(state)
        return self._results[state.digest]

    def clear_cache(self) -> None:
        """Drops the cached results: this placer's own settings have changed, and with them the LOCAL problems."""
        self._results.clear()

    def unknown_key(self, change: Change) -> str | None:
        """Returns a key of the change that this program does not know as deployment-wide, if any."""
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
            reason = str(error)
            return [*found, Problem(ProblemKind.INVALID, reason.partition(":")[0], reason)]

    def _is_deployment_wide(self, key: str) -> bool:
        if key not in self._changeable:
            return False
        if len(self._deployment_wide) < MAX_CACHED_KEYS:
            self._deployment_wide.add(key)
        return True

    def _size_problems(self, state: SettingsState) -> list[Problem]:
        limits = self._limits
        if state.size > limits.configuration_bytes:
            reason = f"configuration: {state.size} bytes, {limits.configuration_bytes} at most"
            return [Problem(ProblemKind.INVALID, "configuration", reason)]
        if len(state.values) > limits.configuration_keys:
            reason = f"configuration: {len(state.values)} keys, {limits.configuration_keys} at most"
            return [Problem(ProblemKind.INVALID, "configuration", reason)]
        return []
