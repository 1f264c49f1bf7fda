"""The log of one keeper in memory: a snapshot's place, and the entries after it. Bounded by bytes."""

from __future__ import annotations

from collections.abc import Iterable

from sprucepost.agreement.words import Entry, Members, Snapshot


class Log:
    """Indices grow by one; ``base`` is the snapshot's. Nothing up to ``base`` can be asked for any more."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self.base, self.base_term = snapshot.index, snapshot.term
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Members]] = [(snapshot.index, snapshot.members)]  # oldest first, by index
        self.bytes = 0
        self.extend(entries)

    @property
    def last(self) -> int:
        return self.base + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """The newest in the log, committed or not: it counts from the moment it is there (Ongaro, 2014, 4.1)."""
        return self._members[-1][1]

    @property
    def members_at(self) -> int:
        return self._members[-1][0]

    def members_before(self, index: int) -> Members:
        """Who keeps the log by what stands up to that index."""
        return next(members for at, members in reversed(self._members) if at <= index)

    def term_at(self, index: int) -> int | None:
        """None where it is not known: before the snapshot, or after the end."""
        if index == self.base:
            return self.base_term
        return self._entries[index - self.base - 1].term if self.base < index <= self.last else None

    def after(self, index: int, bytes_most: int, count_most: int) -> tuple[Entry, ...]:
        """Entries after that index: one at the least, where there is one, and no more than the bounds allow."""
        found: list[Entry] = []
        size = 0
        for entry in self._entries[index - self.base : index - self.base + count_most]:
            size += entry.size
            if found and size > bytes_most:
                break
            found.append(entry)
        return tuple(found)

    def between(self, after: int, until: int) -> tuple[Entry, ...]:
        """Entries after one index up to another."""
        return tuple(self._entries[after - self.base : until - self.base])

    def extend(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            assert entry.index == self.last + 1, "indices grow by one"
            self._entries.append(entry)
            self.bytes += entry.size
            if entry.members is not None:
                self._members.append((entry.index, entry.members))

    def cut(self, since: int) -> None:
        """Entries from that index on are void."""
        for entry in self._entries[since - self.base - 1 :]:
            self.bytes -= entry.size
        del self._entries[since - self.base - 1 :]
        while self._members[-1][0] >= since:
            self._members.pop()

    def compact(self, index: int) -> None:
        """Forget the entries up to that index, which a snapshot has."""
        term, members = self.term_at(index), self.members_before(index)
        assert term is not None
        self.bytes -= sum(entry.size for entry in self._entries[: index - self.base])
        del self._entries[: index - self.base]
        self.base, self.base_term = index, term
        self._members = [(index, members)] + [(at, who) for at, who in self._members if at > index]
