"""What the replicated log is made of: entries, the members that keep it, and snapshots."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

ENTRY_OVERHEAD_BYTES = 24  # index, term and framing, about


@dataclass(frozen=True, slots=True)
class Members:
    """The cluster's configuration: voters decide, learners only receive the log.

    A server's id stands for one incarnation: without a disk, a restart makes another member.
    """

    voters: frozenset[str] = frozenset()
    learners: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        return self.voters | self.learners

    def is_quorum(self, servers: Set[str]) -> bool:
        """Whether these are more than half of the voters."""
        return 2 * len(self.voters & servers) > len(self.voters)


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Identifies one entry: at one index several terms may have written, and one of them is committed."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log: a command, a change of the members, or neither (what a new leader begins its term with)."""

    index: int
    term: int
    command: bytes | None = None
    members: Members | None = None

    @property
    def size(self) -> int:
        """About how many bytes it takes on the wire and in memory."""
        names = sum(map(len, self.members.all)) if self.members is not None else 0
        return ENTRY_OVERHEAD_BYTES + len(self.command or b"") + names


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after applying an index; it replaces all entries up to that index."""

    index: int
    term: int
    members: Members
    state: bytes
