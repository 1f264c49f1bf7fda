"""Bounded histories for display and comparison; the oldest entries are dropped first."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

from sprucepost.configuration.change import Change, Position, Version
from sprucepost.configuration.timeline import HistoryEntry


class BoundedHistory:
    """Entries by position, bounded in number and in bytes. The entry that was added first is dropped first."""

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
        """Whether an entry was ever dropped for a newer one."""
        return self.dropped > 0

    def add(self, entry: HistoryEntry) -> None:
        """Adds an entry as the newest one, and drops the oldest ones that exceed the limits."""
        self.remove(entry.change.position)
        self._entries[entry.change.position] = entry
        self.size += entry.change.size
        while len(self._entries) > self._max_changes or self.size > self._max_bytes:
            self.remove(next(iter(self._entries)))
            self.dropped += 1

    def remove(self, position: Position) -> HistoryEntry | None:
        """Removes and returns the entry at that position, if present."""
        entry = self._entries.pop(position, None)
        if entry is not None:
            self.size -= entry.change.size
        return entry


class VersionLog:
    """The past versions of this replica, with the keys that changed from each to the next."""

    def __init__(self, versions: int, first: Version) -> None:
        self._steps: deque[tuple[Version, frozenset[str]]] = deque([(first, frozenset())], versions)

    def add(self, version: Version, changes: Iterable[Change]) -> None:
        """Records the version that results from these changes."""
        keys = frozenset(edit.key for change in changes for edit in change.edits)
        self._steps.append((version, keys))

    def keys_since(self, version: Version) -> frozenset[str] | None:
        """Returns the keys changed since that version; None if the replica never had the version or has dropped it."""
        keys: set[str] = set()
        for known, touched in reversed(self._steps):
            if known == version:
                return frozenset(keys)
            keys |= touched
        return None
