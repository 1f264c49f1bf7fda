"""The settings that a fold has reached, the change that set each of them, and undo records."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.configuration.change import Edit, Position
from sprucepost.configuration.document import Value, canonical_json, key_fingerprint


@dataclass(frozen=True, slots=True)
class Undo:
    """The state of one key before an edit."""

    key: str
    present: bool
    value: Value
    setter: Position | None


class SettingsState:
    """Values by key, with an incrementally updated digest and size.

    ``setters`` names the change that last set or removed each key; a removed key keeps its setter.
    """

    def __init__(self) -> None:
        self.values: dict[str, Value] = {}
        self.setters: dict[str, Position] = {}
        self.digest = 0
        self.size = 0  # bytes of canonical JSON

    def copy(self) -> SettingsState:
        """Returns an independent copy."""
        other = SettingsState()
        other.values, other.setters = dict(self.values), dict(self.setters)
        other.digest, other.size = self.digest, self.size
        return other

    def edit(self, edit: Edit, setter: Position) -> Undo:
        """Applies one edit; returns the record that undoes it."""
        key = edit.key
        undo = Undo(key, key in self.values, self.values.get(key), self.setters.get(key))
        self._remove(key)
        if not edit.removed:
            self._put(key, edit.value)
        self.setters[key] = setter
        return undo

    def put(self, key: str, value: Value, setter: Position) -> None:
        """Sets a value and its setter, as read from a snapshot."""
        self._remove(key)
        self._put(key, value)
        self.setters[key] = setter

    def restore(self, undo: Undo) -> None:
        """Undoes one edit. Edits must be undone in reverse order."""
        self._remove(undo.key)
        if undo.present:
            self._put(undo.key, undo.value)
        if undo.setter is None:
            self.setters.pop(undo.key, None)
        else:
            self.setters[undo.key] = undo.setter

    def forget_removed(self, up_to: Position | None = None) -> None:
        """Drops the setters of removed keys; with ``up_to``, only of keys removed at or before that position."""
        removed = [key for key in self.setters if key not in self.values]
        for key in removed:
            if up_to is None or self.setters[key] <= up_to:
                del self.setters[key]

    def _put(self, key: str, value: Value) -> None:
        self.values[key] = value
        self.digest ^= key_fingerprint(key, value)
        self.size += len(key.encode()) + len(canonical_json(value).encode())

    def _remove(self, key: str) -> None:
        if key in self.values:
            value = self.values.pop(key)
            self.digest ^= key_fingerprint(key, value)
            self.size -= len(key.encode()) + len(canonical_json(value).encode())
