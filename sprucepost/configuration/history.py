"""What is kept for display and for comparison beside the live changes: bounded, the oldest go first."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

from sprucepost.configuration.change import Change, Position, Version
from sprucepost.configuration.timeline import HistoryEntry


class BoundedHistory:
    """Entries by position, at most so many and of so many bytes. The one that was added first goes first."""

    def __init__(self, changes: int, size: int) -> None:
        self._max_changes, self._max_bytes = changes, size
        self._entries: dict[Position, HistoryEntry] = {}
        self.size = 0
        self.dropped = 0

    def __contains__(self, position: Position) -> bool:
        return position in self._entries

    def __iter__(self) -> Iterator[HistoryEntry]:
        return iter(list(self._entries.values()))

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def has_dropped(self) -> bool:
        """Whether anything had to go for something newer."""
        return self.dropped > 0

    def add(self, entry: HistoryEntry) -> None:
        self.remove(entry.change.position)
        self._entries[entry.change.position] = entry
        self.size += entry.change.size
        while len(self._entries) > self._max_changes or self.size > self._max_bytes:
            self.remove(next(iter(self._entries)))
            self.dropped += 1

    def remove(self, position: Position) -> HistoryEntry | None:
        entry = self._entries.pop(position, None)
        if entry is not None:
            self.size -= entry.change.size
        return entry


class VersionLog:
    """The versions that this replica has had, and which keys changed from each to the next."""

    def __init__(self, versions: int, first: Version) -> None:
        self._steps: deque[tuple[Version, frozenset[str]]] = deque([(first, frozenset())], versions)

    def add(self, version: Version, changes: Iterable[Change]) -> None:
        """These changes led to this version."""
        keys = frozenset(edit.key for change in changes for edit in change.edits)
        self._steps.append((version, keys))

    def keys_since(self, version: Version) -> frozenset[str] | None:
        """Keys that changes have touched since the replica had that version; None where it never had, or forgot it."""
        keys: set[str] = set()
        for known, touched in reversed(self._steps):
            if known == version:
                return frozenset(keys)
            keys |= touched
        return None
