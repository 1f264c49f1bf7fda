"""The log of one server in memory: the position of a snapshot, and the entries after it."""

from __future__ import annotations

from collections.abc import Iterable

from sprucepost.agreement.entries import Entry, Members, Snapshot


class Log:
    """Entries with consecutive indices. Those up to ``snapshot_index`` are in the snapshot and no longer available."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self.snapshot_index, self.snapshot_term = snapshot.index, snapshot.term
        self.size_bytes = 0
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Members]] = [(snapshot.index, snapshot.members)]  # by index, oldest first
        self.extend(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot_term

    @property
    def members(self) -> Members:
        """The latest members in the log: a change takes effect when appended, committed or not (Ongaro, 2014, 4.1)."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the latest membership change."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """The members according to the log up to that index."""
        return next(members for at, members in reversed(self._members) if at <= index)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at that index; None before the snapshot and after the end."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if not self.snapshot_index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot_index - 1].term

    def entries_after(self, index: int, max_bytes: int, max_entries: int) -> tuple[Entry, ...]:
        """The entries after that index within both limits, but at least one if there is any."""
        start = index - self.snapshot_index
        found: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += entry.size
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def entries_between(self, after: int, until: int) -> tuple[Entry, ...]:
        """The entries after one index up to and including another."""
        return tuple(self._entries[after - self.snapshot_index : until - self.snapshot_index])

    def extend(self, entries: Iterable[Entry]) -> None:
        """Append entries; the first one must follow the last index."""
        for entry in entries:
            assert entry.index == self.last_index + 1, "indices are consecutive"
            self._entries.append(entry)
            self.size_bytes += entry.size
            if entry.members is not None:
                self._members.append((entry.index, entry.members))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from that index on."""
        start = index - self.snapshot_index - 1
        self.size_bytes -= sum(entry.size for entry in self._entries[start:])
        del self._entries[start:]
        while self._members[-1][0] >= index:
            self._members.pop()

    def compact(self, index: int) -> None:
        """Discard the entries up to that index, which a snapshot contains."""
        term, members = self.term_at(index), self.members_at(index)
        assert term is not None
        count = index - self.snapshot_index
        self.size_bytes -= sum(entry.size for entry in self._entries[:count])
        del self._entries[:count]
        self.snapshot_index, self.snapshot_term = index, term
        self._members = [(index, members)] + [(at, later) for at, later in self._members if at > index]
